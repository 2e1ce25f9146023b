"""Faults planted in the settings' code or their driver's order; each must be found under its bound."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

import msgspec

from pathsaddle import leased_versions
from pathsaddle.emulator.settings import world
from pathsaddle.emulator.settings.world import Plan, Process
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.settings import commit_round
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import ChangeSet
from pathsaddle.settings.proposer import Proposer
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber_state import SubscriberState


def _force_early() -> Any:
    def judged(self: Any, now: int, memo: Any) -> Any:
        return replace(self, force=self.history[-1].number) if self.history else self

    return mock.patch.object(leased_versions.VersionServer, "judged_each", judged)


def _halves() -> Any:
    whole = ActiveTerms.after

    def half(self: ActiveTerms, group: ChangeSet) -> ActiveTerms:
        return whole(self, first_change(group) if group.revision and len(group.changes) < 32 else group)

    return mock.patch.object(ActiveTerms, "after", half)


def first_change(group: ChangeSet) -> ChangeSet:
    return msgspec.structs.replace(group, changes=group.changes[:1])


def _word_before_disk() -> Any:
    """What is sent leaves at once, the disk follows a second later, and a kill between loses it."""
    carry_out = Process.carry_out

    def hasty(self: Process) -> None:
        disk, outbox, incarnation = self.disk, self.core.outbox, self.incarnation
        writes, outbox.writes = outbox.writes, []
        carry_out(self)
        if writes and not self.keeper:

            def later() -> None:
                if self.incarnation == incarnation and self.up:
                    for write in writes:
                        disk.write(write)

            self.world.at(self.world.now + 3 * world.SECOND, later)
        else:
            for write in writes:
                disk.write(write)

    return mock.patch.object(Process, "carry_out", hasty)


def _offer_widens() -> Any:
    def wide(self: SubscriberState) -> Any:
        offers = self.versions.offers
        return (offers[-1] if offers else self.versions.base).spec.rows()

    return mock.patch.object(SubscriberState, "entries", wide)


def _lease_from_answer() -> Any:
    renewed = leased_versions.VersionSubscriber.renewed

    def late(self: Any, told: Any, now: int) -> Any:
        after = renewed(self, told, now)
        return (
            replace(after, until=now + self.lease)
            if after is not self and after.until > self.until
            else after
        )

    return mock.patch.object(leased_versions.VersionSubscriber, "renewed", late)


def _unpaid() -> Any:
    return mock.patch.object(RateLimiter, "try_consume", lambda self, size, now, spare=0.0: True)


def _lost_disk_trusted() -> Any:
    begin = SubscriberState.__init__

    def trusting(self: SubscriberState, *args: Any, **more: Any) -> None:
        begin(self, *args, **more)
        self.is_proven = True

    return mock.patch.object(SubscriberState, "__init__", trusting)


def _half_a_batch() -> Any:
    """Of what is to be committed together a keeper keeps, and serves, the first half, and says that it has all."""
    hold = Proposer.hold

    def half(self: Proposer, groups: Sequence[ChangeSet], now: int) -> bool:
        return hold(self, groups[: (len(groups) + 1) // 2], now)

    return mock.patch.object(Proposer, "hold", half)


def _refused_counts() -> Any:
    """Nobody looks whether a group can be the next."""
    return mock.patch.object(Store, "check_next", lambda self, group: None)


def _outrun_counts() -> Any:
    return mock.patch.object(commit_round, "is_expected", lambda change, revision: True)


ROUGH = Plan(faults=0.7, loss=0.15, lease=2.0, quiet=1.0)
SLOW = Plan(keepers=1, way=1200.0, lease=2.0, loss=0.3, faults=0, changes=120, quiet=1.0)
MANY = Plan(changes=400, seconds=10.0, faults=0.0, astray=0.2)
BUSY = Plan(members=20, changes=600, keeper_bytes=6_000, quiet=1.0)
# name -> (the bound that finds it, how it is planted, on which plan)
MUTANTS: dict[str, tuple[str, Callable[[], Any], Plan]] = {
    "force told early": ("in-force", _force_early, Plan(quiet=1.0)),
    "a group by halves": ("whole", _halves, Plan(quiet=1.0)),
    "the word before the disk": ("back", _word_before_disk, Plan(quiet=1.0)),
    "an offer widens": ("unborn", _offer_widens, Plan(quiet=1.0)),
    "a lease from its answer on": ("in-force", _lease_from_answer, SLOW),
    "nothing is paid for": ("bytes", _unpaid, BUSY),
    "a lost disk trusted": ("in-force", _lost_disk_trusted, ROUGH),
    "half of a batch kept": ("stuck", _half_a_batch, MANY),
    "a refused one counted": ("verdict", _refused_counts, MANY),
    "an outrun one counted": ("verdict", _outrun_counts, MANY),
}


@contextmanager
def planted(name: str) -> Iterator[str]:
    """With that fault in place; the bound that has to find it."""
    bound, how, _ = MUTANTS[name]
    with how():
        yield bound
