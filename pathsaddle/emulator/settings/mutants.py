"""Faults planted in the settings' code or their driver's order; each must be found under its bound."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

from pathsaddle import leased_versions
from pathsaddle.emulator.settings import world
from pathsaddle.emulator.settings.world import Plan, Process
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.settings import commit_round
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import ChangeSet
from pathsaddle.settings.store import Store
from pathsaddle.settings.sync import ConfigServer, ConfigSubscriber


def _force_early() -> Any:
    def judged(self: Any, now: int, memo: Any) -> Any:
        return replace(self, force=self.history[-1].number) if self.history else self

    return mock.patch.object(leased_versions.VersionServer, "judged_each", judged)


def _halves() -> Any:
    whole = ActiveTerms.after

    def half(self: ActiveTerms, group: ChangeSet) -> ActiveTerms:
        return whole(self, replace_puts(group) if group.revision and len(group.puts) < 32 else group)

    return mock.patch.object(ActiveTerms, "after", half)


def replace_puts(group: ChangeSet) -> ChangeSet:
    return ChangeSet(group.revision, group.before, group.author, group.reason, group.at, group.puts[:1])


def _word_before_disk() -> Any:
    """What is sent leaves at once, the disk follows a second later, and a kill between loses it."""
    effects = Process.effects

    def hasty(self: Process) -> None:
        disk, machine, life = self.disk, self.machine, self.life
        writes, machine.writes = machine.writes, []
        effects(self)
        if writes and not self.keeper:

            def later() -> None:
                if self.life == life and self.up:
                    for write in writes:
                        disk.write(write)

            self.world.at(self.world.now + 3 * world.SECOND, later)
        else:
            for write in writes:
                disk.write(write)

    return mock.patch.object(Process, "effects", hasty)


def _offer_widens() -> Any:
    def wide(self: ConfigSubscriber, now: int) -> Any:
        offers = self.holder.offers
        return (offers[-1] if offers else self.holder.base).spec.rows()

    return mock.patch.object(ConfigSubscriber, "rows", wide)


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
    begins = ConfigSubscriber.__init__

    def trusting(self: ConfigSubscriber, *args: Any, **more: Any) -> None:
        begins(self, *args, **more)
        self.proven = True

    return mock.patch.object(ConfigSubscriber, "__init__", trusting)


def _half_a_batch() -> Any:
    """Of what is to be committed together a keeper keeps, and serves, the first half, and says that it has all."""
    keeps = ConfigServer._keeps

    def half(self: ConfigServer, groups: Sequence[ChangeSet], now: int) -> bool:
        return keeps(self, groups[: (len(groups) + 1) // 2], now)

    return mock.patch.object(ConfigServer, "_keeps", half)


def _refused_counts() -> Any:
    """Nobody looks whether a group can be the next."""
    return mock.patch.object(Store, "fits", lambda self, group: None)


def _outrun_counts() -> Any:
    return mock.patch.object(commit_round, "expected", lambda change, revision: True)


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
