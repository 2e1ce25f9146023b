"""Rates that all members together must not exceed, as one member asks for them just before each use.

Owns the decision whether a use may be made (`try_acquire`), and the change of quotas in service (`retune`);
lending and borrowing stand in `exchange.py`, the bound on units in `leases.py`. The overload gate and retries
call `try_acquire`, `SharedState` drives the rest. It performs no I/O; all randomness comes from one Random.

Invariant: in any second the units used by all members together are no more than the quota, whatever is lost,
duplicated or late, whichever member stops, restarts or is cut off, as long as no clock drifts by more than
MAX_CLOCK_DRIFT and the parts add up to the quota (`quota/model_checker.py` with uses; judge
`spent-over-budget`).

Why it holds. A unit is one use a second. At each instant it is usable at one member at most (`leases.py`),
and there it is used once in any WINDOW, a second by a clock that is taken to be fast: so far back uses are
counted, and what remains is what is usable at that instant less those. Where a unit changes its place it was
not used for a WINDOW: an owner grants only what it did not use within the last one; the end of a lease is
followed by a WINDOW (the guard time) before its owner has it again; a new incarnation uses nothing for its
first one. So no border of seconds lets a burst through: a second may begin anywhere.

A process that is suspended between `try_acquire` and the use itself moves that one use: n members that were
suspended may bring n uses, one each, into a second that is not theirs. Nothing that asks beforehand can
prevent that; `try_acquire` called after the suspension is refused what has ended in it.

Changed in service, the bound is the greatest rate by which any member goes, and for a quota that was lowered
or taken out the old rate until the last lease under it is certainly over: no more than a lease and two
WINDOWs after the last member has its new configuration. A raised or new quota is used at once: the operator
who raises it has said that all may. Why. Equal parts of a lower rate are each no greater, and what a lower
part has granted beyond itself is what the old one had; so at each instant owners' parts and leases are no
more than the old parts. A lease that the new part does not cover is not renewed. A quota that is taken out
leaves its leases to run out; put in again it begins as in a new incarnation (`new_ledger`), with numbers
beyond the old ones.

Floor: a member that receives nothing has its part less what it granted, and all of it a lease later.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from pathsaddle.fleet.quota.events import QuotaShort
from pathsaddle.fleet.quota.exchange import QuotaExchange
from pathsaddle.fleet.quota.leases import new_ledger
from pathsaddle.fleet.quota.local_quota import WINDOW, LocalQuota, QuotaConfig
from pathsaddle.fleet.rate_limiter import SECOND

__all__ = ["WINDOW", "QuotaConfig", "QuotaLimiter"]

SHORT_EVENT_TICKS = 10 * SECOND  # between two QuotaShort events of one quota


class QuotaLimiter(QuotaExchange):
    """Several quotas of one member; see `QuotaExchange` for the arguments and attributes."""

    def __init__(  # noqa: PLR0913, PLR0917  # what a member is told at its start
        self,
        name: str,
        incarnation: int,
        configs: dict[str, QuotaConfig],
        rng: Random,
        now: int,
        window: int = WINDOW,
    ) -> None:
        super().__init__(name, incarnation, configs, rng, now, window)
        self.max_removed_number = 0  # the highest request number of a quota that was taken out

    # Using.

    def try_acquire(self, quota_name: str, units: int, now: int) -> bool:
        """Whether so many uses may be made now; call it just before them, it counts them as made.

        Raises:
            KeyError: there is no such quota.
        """
        quota = self.budgets[quota_name]
        if units <= self.free(quota_name, now):
            quota.record_use(units, now)
            return True
        quota.record_refusal(units, now)
        if now >= quota.request_due:
            self._request(quota, now)
            if self.out:
                self.stir()
        if now - quota.short_reported_at >= SHORT_EVENT_TICKS:
            quota.short_reported_at = now
            self.notes.append(QuotaShort(quota_name, quota.state.usable(now), quota.demand))
        return False

    def free(self, quota_name: str, now: int) -> int:
        """How many units `try_acquire` would grant now.

        Raises:
            KeyError: there is no such quota.
        """
        quota = self.budgets[quota_name]
        quota.forget_old(now)
        # In the first window an earlier incarnation's uses, just before it ended, still count.
        if self.closed or now < self.started_at + self.window:
            return 0
        return max(0, quota.state.usable(now) - quota.used)

    # Changes in service.

    def retune(self, configs: dict[str, QuotaConfig], now: int) -> None:
        """These quotas from now on; the module's docstring has the bound meanwhile."""
        for name in [name for name in self.budgets if name not in configs]:
            removed = self.budgets.pop(name)
            self._release_all(removed, now)
            self.max_removed_number = max(self.max_removed_number, removed.state.asked)
            del self.spares[name]
        for name, config in configs.items():
            quota = self.budgets.get(name)
            if quota is None:
                self._add(name, config, now)
            elif quota.dealt != config:
                quota.dealt, quota.state = config, replace(quota.state, part=config.part)
                quota.demand = min(quota.demand, config.rate)
        self.due = now

    def _add(self, name: str, config: QuotaConfig, now: int) -> None:
        ledger = new_ledger(self.name, self.life, config.part, config.lease, now, self.window)
        self.budgets[name] = LocalQuota(
            name, config, replace(ledger, asked=self.max_removed_number), self.window
        )
        self.spares[name] = {}

    def leave(self, now: int) -> None:
        """We end: what we hold is released at once; our own part is used to the end."""
        self.leaving, self.there = True, []
        for quota in self.budgets.values():
            self._release_all(quota, now)

    def close(self) -> None:
        """Another process has our name too: nothing is used, asked for or granted any more."""
        self.closed = self.leaving = True
        self.there = []
