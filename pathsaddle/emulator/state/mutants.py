"""Faults planted in the shared state, each of which its judge must find under the name that it has there."""

from __future__ import annotations

from contextlib import ExitStack
from dataclasses import replace
from typing import Any
from unittest import mock

from pathsaddle.emulator.state.ground import Ground, varied
from pathsaddle.emulator.state.judge import judge
from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.quota import leases, quota_limiter
from pathsaddle.fleet.quota.leases import Grant, Lease, QuotaLedger, Release
from pathsaddle.fleet.quota.quota_limiter import QuotaBudget, QuotaLimiter
from pathsaddle.fleet.rate_limiter import SECOND

_lent_by, _own, _asked, _fallback, _take, _life, _claimed, _row, _returns, _fall, _ended = (
    QuotaLedger.lent_by,
    QuotaLedger.own,
    QuotaLimiter.asked,
    QuotaLimiter._fallback,
    Gossip._take,
    Gossip._life,
    Gossip.on_new_incarnation,
    Gossip._row,
    QuotaLedger.returns,
    QuotaLimiter._fallback,
    Gossip.on_member_left,
)


def _by_arrival(self: QuotaLedger, lend: Grant, now: int) -> QuotaLedger:
    after = _lent_by(self, lend, now)
    return replace(
        after,
        held=tuple(
            (*row[:3], Lease(row[3].units, now + self.lease)) if row not in self.held else row
            for row in after.held
        ),
    )


def _twice(self: QuotaLedger, lend: Grant, now: int) -> QuotaLedger:
    """The asking stays open, and what it brought is not looked for."""
    after = _lent_by(self, lend, now)
    return replace(after, open=self.open)


def _new_life_forgets(self: QuotaLedger, now: int) -> int:
    return self.part - sum(loan.units for loan in self.lent if now < loan.until)


def _forgets(self: QuotaLimiter, one: QuotaBudget, now: int) -> None:
    """Takes silence for the end of what it lent."""
    _fallback(self, one, now)
    if now - self.heard_at > one.dealt.lease // 4:
        one.state = replace(one.state, lent=())


def _all_lives(self: Gossip, name: str, life: int) -> None:
    """What an older life put is let stand."""
    self.lives[name] = max(life, self.lives.get(name, 0))


def _no_end(self: Gossip, name: str, life: int) -> None:
    self.peers.pop(name, None)


def _used_before(self: QuotaLimiter, budget: str, want: Any, now: int) -> None:
    """Lends also what it used within the last window."""
    one = self.budgets[budget]
    kept, one.sum, one.need = one.sum, 0, 0
    _asked(self, budget, want, now)
    one.sum = kept


def _by_the_border(self: QuotaLimiter, one: QuotaBudget, now: int) -> None:
    """Counts from the last whole second, not from a second ago."""
    while one.spent and one.spent[0][0] < now // SECOND * SECOND:
        one.sum -= one.spent.popleft()[1]
    while one.wants and one.wants[0][0] <= now - self.window:
        one.wants.popleft()


def _goes_on(self: QuotaLedger, number: int, now: int) -> tuple[QuotaLedger, Release]:
    """Gives back what it goes on using."""
    return self.at(now), Release(self.name, self.life, number)


def _sure_by_arrival(self: Gossip, name: str, origin: Any, now: int) -> Any:
    """Tells others that all it has was the last just now."""
    row = _row(self, name, origin, now)
    return row if origin is self.mine else type(row)(row.name, row.life, row.seen, 0)


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
    "new life forgets what was lent": ("rights-over-budget", [(QuotaLedger, "own", _new_life_forgets)]),
    "fallback forgets what was lent": ("rights-over-budget", [(QuotaLimiter, "_fallback", _forgets)]),
    "owner's lease too short": (
        "rights-over-budget",
        [(QuotaLedger, "_surely", lambda self: self.lease // 2)],
    ),
    "given back and used on": ("rights-over-budget", [(QuotaLedger, "returns", _goes_on)]),
    "no rest after a lease": (
        "spent-over-budget",
        [(quota_limiter, "new_ledger", lambda *told: leases.new_ledger(*told[:5]))],
    ),
    "lent though just used": ("spent-over-budget", [(QuotaLimiter, "asked", _used_before)]),
    "counted by the second's border": ("spent-over-budget", [(QuotaLimiter, "_clear", _by_the_border)]),
    "an old life's records live on": ("old-life", [(Gossip, "_life", _all_lives)]),
    "a dead member's records stay": ("old-life", [(Gossip, "on_member_left", _no_end)]),
    "sure by arrival": ("sure-outside", [(Gossip, "_row", _sure_by_arrival)]),
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
