"""Federations that break a bound on purpose: each must be caught, and by name.

They are patches for one run in this process; nothing of the program imports them.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any
from unittest import mock

from pathsaddle.federation.spec import Rule
from pathsaddle.federation.versions import Have, Holder, Keeper, Renewed, Version

Patches = list[Any]


def _loosened_on_arrival() -> Patches:
    """What is offered counts as if it were committed."""
    def offered(self: Holder, version: Version) -> Holder:
        return self if version.number <= self.known[0] else replace(
            self, base=version, known=(version.number, version.digest))
    return [mock.patch.object(Holder, "offered", offered)]


def _force_early() -> Patches:
    """In force as soon as it is committed."""
    return [mock.patch.object(Keeper, "waits_for", lambda self, now: ())]


def _force_by_offer() -> Patches:
    """A member's word of having the text counts, though it doesn't know of any commit."""
    def has(self: Holder) -> Have | None:
        last = max((self.base, *self.offers), key=lambda one: one.number)
        return Have(self.name, last.number, last.digest)

    def hears(self: Keeper, have: Have) -> Keeper:
        rows = dict(self.rows)
        rows[have.name] = max(have.number, rows.get(have.name, 0))
        after = tuple(sorted(rows.items()))
        return self if after == self.rows else replace(self, rows=after)
    return [mock.patch.object(Holder, "has", has), mock.patch.object(Keeper, "hears", hears)]


def _lease_by_arrival() -> Patches:
    """A lease counts from when the answer comes."""
    def renewed(self: Holder, told: Renewed, now: int) -> Holder:
        if (told.name, told.life) != (self.name, self.life) or told.number < self.known[0]:
            return self
        return replace(self.committed(told.number, told.digest), until=max(self.until, now + self.lease))
    return [mock.patch.object(Holder, "renewed", renewed)]


def _widest() -> Patches:
    """Who hears nothing goes by the widest that it knows."""
    def rule(self: Holder, scheme: str, now: int) -> Rule:
        found = self.base.spec.rule(scheme, self.here)
        for offer in self.offers:
            found = replace(found, may=found.may | offer.spec.rule(scheme, self.here).may)
        return found
    return [mock.patch.object(Holder, "rule", rule)]


# name -> (patches, the finding by which the world's judge names it, or "model": found by every order of events alone)
MUTANTS: dict[str, tuple[Callable[[], Patches], str]] = {
    "loosened-on-arrival": (_loosened_on_arrival, "loosened-early"),
    "force-early": (_force_early, "forbidden-region"),
    "force-by-offer": (_force_by_offer, "model"),
    "lease-by-arrival": (_lease_by_arrival, "model"),
    "widest": (_widest, "beyond-lease"),
}


@contextlib.contextmanager
def mutant(name: str) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for patch in MUTANTS[name][0]():
            stack.enter_context(patch)
        yield
