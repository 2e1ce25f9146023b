"""Faults planted in the shared state, each of which its judge must find under the name that it has there."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import replace
from typing import Any
from unittest import mock

from pathsaddle.emulator.state.ground import Ground, varied
from pathsaddle.emulator.state.judge import judge
from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.gossip.messages import DigestEntry
from pathsaddle.fleet.gossip.records import MemberRecords, RecordStore
from pathsaddle.fleet.quota import exchange, leases
from pathsaddle.fleet.quota.leases import Grant, QuotaLedger, Release, ReleaseOutcome
from pathsaddle.fleet.quota.local_quota import LocalQuota
from pathsaddle.fleet.quota.quota_limiter import QuotaLimiter
from pathsaddle.fleet.rate_limiter import SECOND

_lent_by, _asked, _check_isolation, _digest_entry = (
    QuotaLedger.lent_by,
    QuotaLimiter.asked,
    QuotaLimiter._check_isolation,
    RecordStore.digest_entry,
)


def _by_arrival(self: QuotaLedger, grant: Grant, now: int) -> QuotaLedger:
    after = _lent_by(self, grant, now)
    return replace(
        after,
        held=tuple(
            replace(lease, until=now + self.lease_ticks) if lease not in self.held else lease
            for lease in after.held
        ),
    )


def _twice(self: QuotaLedger, grant: Grant, now: int) -> QuotaLedger:
    """The request stays pending, and what it brought is not looked for."""
    after = _lent_by(self, grant, now)
    return replace(after, pending=self.pending)


def _new_incarnation_forgets(self: QuotaLedger, now: int) -> int:
    return self.part - sum(lease.units for lease in self.lent if now < lease.until)


def _forgets(self: QuotaLimiter, quota: LocalQuota, now: int) -> None:
    """Takes silence for the end of what it granted."""
    _check_isolation(self, quota, now)
    if now - self.heard_at > quota.dealt.lease // 4:
        quota.state = replace(quota.state, lent=())


def _all_incarnations(self: RecordStore, name: str, incarnation: int) -> None:
    """What an older incarnation put is let stand."""
    self.incarnations[name] = max(incarnation, self.incarnations.get(name, 0))


def _no_end(self: Gossip, name: str, incarnation: int) -> None:
    self.peers.pop(name, None)


def _used_before(self: QuotaLimiter, quota_name: str, request: Any, now: int) -> None:
    """Grants also what it used within the last window."""
    quota = self.budgets[quota_name]
    used, quota.used, quota.demand = quota.used, 0, 0
    _asked(self, quota_name, request, now)
    quota.used = used


def _by_the_border(self: LocalQuota, now: int) -> None:
    """Counts from the last whole second, not from a second ago."""
    while self.uses and self.uses[0].at < now // SECOND * SECOND:
        self.used -= self.uses.popleft().units
    while self.refusals and self.refusals[0].at <= now - self.window_ticks:
        self.refusals.popleft()


def _still_uses(self: QuotaLedger, number: int, now: int) -> ReleaseOutcome:
    """Releases what it goes on using."""
    return ReleaseOutcome(self.at(now), Release(self.name, self.incarnation, number))


def _sure_by_arrival(self: RecordStore, name: str, member: MemberRecords, now: int) -> DigestEntry:
    """Tells others that all it has was the last just now."""
    entry = _digest_entry(self, name, member, now)
    if member is self.own:
        return entry
    return DigestEntry(entry.member, entry.incarnation, entry.complete_up_to, 0)


AIMED: dict[str, dict[str, Any]] = {  # plans that come to the point sooner than the usual mix
    "lease by the taker's arrival": {
        "kinds": ("slow",),
        "faults": 1.0,
        "lease": 3.0,
        "want": 3.0,
        "hot": 0.3,
        "seconds": 60.0,
        "mood": (10.0, 20.0),
        "rate": 300,
    },
    "new life forgets what was lent": {
        "kinds": ("kill",),
        "faults": 0.5,
        "lease": 10.0,
        "want": 3.0,
        "hot": 0.3,
        "mood": (8.0, 12.0),
        "rate": 100,
    },
    "fallback forgets what was lent": {"kinds": ("cut all", "cut one way"), "lease": 10.0, "hot": 0.3},
    "no rest after a lease": {
        "kinds": ("cut all",),
        "faults": 0.5,
        "lease": 2.0,
        "hot": 0.6,
        "want": 6.0,
        "rate": 100,
        "mood": (2.0, 4.0),
    },
}
MUTANTS: dict[str, tuple[str, list[tuple[Any, str, Any]]]] = {
    "lease by the taker's arrival": ("rights-over-budget", [(QuotaLedger, "lent_by", _by_arrival)]),
    "transfer credited twice": ("rights-over-budget", [(QuotaLedger, "lent_by", _twice)]),
    "new life forgets what was lent": (
        "rights-over-budget",
        [(QuotaLedger, "own", _new_incarnation_forgets)],
    ),
    "fallback forgets what was lent": ("rights-over-budget", [(QuotaLimiter, "_check_isolation", _forgets)]),
    "owner's lease too short": (
        "rights-over-budget",
        [(QuotaLedger, "certain_lease_ticks", lambda self: self.lease_ticks // 2)],
    ),
    "given back and used on": ("rights-over-budget", [(QuotaLedger, "release", _still_uses)]),
    "no rest after a lease": (
        "spent-over-budget",
        [(exchange, "new_ledger", lambda *args: leases.new_ledger(*args[:5]))],
    ),
    "lent though just used": ("spent-over-budget", [(QuotaLimiter, "asked", _used_before)]),
    "counted by the second's border": ("spent-over-budget", [(LocalQuota, "forget_old", _by_the_border)]),
    "an old life's records live on": ("old-life", [(RecordStore, "observe_incarnation", _all_incarnations)]),
    "a dead member's records stay": ("old-life", [(Gossip, "on_member_left", _no_end)]),
    "sure by arrival": ("sure-outside", [(RecordStore, "digest_entry", _sure_by_arrival)]),
}


FOUND = {"no rest after a lease": 52, "lent though just used": 17}  # the seed that found it last: tried first
FEW = ("lease by the taker's arrival",)  # found sooner among three than among five


def caught(name: str, most: int = 60) -> tuple[int, str]:
    """(seeds played until it was found, how); raises AssertionError where it was not."""
    expected, patches = MUTANTS[name]
    seeds = dict.fromkeys([FOUND.get(name, 1), *range(1, most + 1)])
    members = 3 if name in FEW else 5
    with ExitStack() as stack:
        for where, what, instead in patches:
            stack.enter_context(mock.patch.object(where, what, instead))
        for played, seed in enumerate(seeds, 1):
            verdict = judge(Ground(replace(varied(members, seed), **AIMED.get(name, {}))).run().rows)
            found = [fault for fault in verdict.faults if fault.startswith(expected)]
            if found:
                return played, found[0]
    raise AssertionError(f"{name}: not found in {len(seeds)} seeds")
