"""Federations that break a bound on purpose: each must be caught, and by name.

They are patches for one run in this process; nothing of the program imports them.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any
from unittest import mock

from pathsaddle.emulator.federation.plans import COURSES, Plan
from pathsaddle.emulator.federation.pool import Piece, Pool
from pathsaddle.federation.routing import Candidate, RegionRouter, RoutedRequest
from pathsaddle.federation.spare_capacity import ReleaseNotice, SpareCapacityLender
from pathsaddle.federation.spec import Rule, Spec
from pathsaddle.fleet.quota.leases import QuotaLedger
from pathsaddle.leased_versions import AppliedAck, LeaseRenewal, Version, VersionServer, VersionSubscriber

Patches = list[Any]


def _loosened_on_arrival() -> Patches:
    """What is offered counts as if it were committed."""

    def offered(self: VersionSubscriber, version: Version) -> VersionSubscriber:
        return (
            self
            if version.number <= self.known[0]
            else replace(self, base=version, known=(version.number, version.digest))
        )

    return [mock.patch.object(VersionSubscriber, "offered", offered)]


def _force_early() -> Patches:
    """In force as soon as it is committed."""
    return [mock.patch.object(VersionServer, "waits_for", lambda self, now: ())]


def _force_by_offer() -> Patches:
    """A member's word of having the text counts, though it doesn't know of any commit."""

    def has(self: VersionSubscriber) -> AppliedAck | None:
        last = max((self.base, *self.offers), key=lambda one: one.number)
        return AppliedAck(self.name, last.number, last.digest)

    def hears(self: VersionServer, have: AppliedAck) -> VersionServer:
        rows = dict(self.rows)
        rows[have.name] = max(have.number, rows.get(have.name, 0))
        after = tuple(sorted(rows.items()))
        return self if after == self.rows else replace(self, rows=after)

    return [
        mock.patch.object(VersionSubscriber, "has", has),
        mock.patch.object(VersionServer, "hears", hears),
    ]


def _lease_by_arrival() -> Patches:
    """A lease counts from when the answer comes."""

    def renewed(self: VersionSubscriber, told: LeaseRenewal, now: int) -> VersionSubscriber:
        if (told.name, told.life) != (self.name, self.life) or told.number < self.known[0]:
            return self
        return replace(self.committed(told.number, told.digest), until=max(self.until, now + self.lease))

    return [mock.patch.object(VersionSubscriber, "renewed", renewed)]


def _widest() -> Patches:
    """Who hears nothing goes by the widest that it knows."""

    def rule(self: VersionSubscriber, scheme: str, now: int) -> Rule:
        found = self.base.spec.rule(scheme, self.here)
        for offer in self.offers:
            found = replace(found, may=found.may | offer.spec.rule(scheme, self.here).may)
        return found

    return [mock.patch.object(VersionSubscriber, "rule", rule)]


def _crosses_twice() -> Patches:
    """What another region sent is sent on, as if it were a client's."""
    whole = RegionRouter.choose

    def choose(
        self: RegionRouter, job: RoutedRequest, rule: Rule, spec: Spec, version: int, now: int
    ) -> Candidate:
        return whole(self, replace(job, origin=self.here), rule, spec, version, now)

    return [mock.patch.object(RegionRouter, "choose", choose)]


def _foreigners_first() -> Patches:
    """Whoever comes from abroad is taken on and begun, whether own jobs wait or not."""

    def asked(
        self: SpareCapacityLender, scheme: str, rule: Rule, here: str, free: ReleaseNotice, now: int
    ) -> str:
        return "" if here in rule.may else "residency"

    def pop(self: Pool) -> Piece | None:
        queue = self.foreign or self.own
        return queue.popleft() if queue else None

    return [mock.patch.object(SpareCapacityLender, "asked", asked), mock.patch.object(Pool, "next", pop)]


def _again_after_silence() -> Patches:
    """A once-only job whose posting abroad was silent is posted again."""
    whole = RegionRouter.choose

    def choose(
        self: RegionRouter, job: RoutedRequest, rule: Rule, spec: Spec, version: int, now: int
    ) -> Candidate:
        return whole(self, job, replace(rule, semantics="repeatable"), spec, version, now)

    return [mock.patch.object(RegionRouter, "choose", choose)]


def _lends_twice() -> Patches:
    """What was lent goes on being used by its owner."""
    return [mock.patch.object(QuotaLedger, "own", lambda self, now: self.part)]


# name -> (patches, the finding by which the judge names it; "model": found by every order of events)
IN_MODEL = ("loosened-on-arrival", "force-early", "force-by-offer", "lease-by-arrival", "widest")
MUTANTS: dict[str, tuple[Callable[[], Patches], str]] = {
    "loosened-on-arrival": (_loosened_on_arrival, "loosened-early"),
    "force-early": (_force_early, "force-early"),
    "force-by-offer": (_force_by_offer, "model"),
    "lease-by-arrival": (_lease_by_arrival, "model"),
    "widest": (_widest, "beyond-lease"),
    "crosses-twice": (_crosses_twice, "crossed-twice"),
    "foreigners-first": (_foreigners_first, "own-after-foreign"),
    "again-after-silence": (_again_after_silence, "two-regions"),
    "lends-twice": (_lends_twice, "rights-over-budget"),
}


def shown_in(name: str) -> Plan:
    """A run in which it does harm."""
    if name == "lends-twice":
        return Plan(seconds=45, load=0.7, troubles=COURSES["lost"])
    return Plan(seconds=55, load=0.85, troubles=COURSES["all"])


@contextlib.contextmanager
def mutant(name: str) -> Iterator[None]:
    with contextlib.ExitStack() as stack:
        for patch in MUTANTS[name][0]():
            stack.enter_context(patch)
        yield
