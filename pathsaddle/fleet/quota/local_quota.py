"""One quota as one member goes by it: its ledger, its uses of the last window and what it wanted of late.

Owns the count of uses and the measure of demand. `QuotaLimiter` and `QuotaExchange` read and change it. It
decides nothing about other members and performs no I/O.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT, QuotaLedger
from pathsaddle.fleet.rate_limiter import SECOND

WINDOW = int(SECOND * (1 + MAX_CLOCK_DRIFT)) + 1  # ticks: a second by a clock that is taken to be fast
QUIET_TICKS = SECOND  # so far back the own demand is looked at before anything is granted
MIN_REQUEST_PAUSE_TICKS = SECOND // 10  # between requests; twice as long after each that brought nothing
MAX_REFUSALS = 512  # that are counted: of a burst so many say enough
NEVER = -(1 << 60)  # a moment before any clock's start


@dataclass(frozen=True)
class QuotaConfig:
    """What the configuration says of one quota.

    Attributes:
        rate: of all members together, in units a second.
        part: our own units.
        lease: for how many ticks units are granted.
    """

    rate: int
    part: int
    lease: int


class Use(NamedTuple):
    """Units that were used, or refused, at one moment."""

    at: int
    units: int


@dataclass(slots=True)
class LocalQuota:
    """One quota of one member.

    Attributes:
        name: of the quota.
        dealt: its configuration.
        state: its ledger.
        window_ticks: over which uses are counted.
        uses: of the last window; `used` is the sum of their units.
        refusals: uses of the last window that were refused.
        demand: the most units that were wanted in a window of late, and since when (`demand_at`).
        request_due: no request before this moment.
        request_pause_ticks: between the last request and the next.
        answered: of each taker the incarnation and number of the last request that was granted.
        acquired_units: in all.
        refused_units: in all.
        short_reported_at: when QuotaShort was reported last.
        is_isolated: no other member was heard for a lease.
    """

    name: str
    dealt: QuotaConfig
    state: QuotaLedger
    window_ticks: int
    uses: deque[Use] = field(default_factory=deque)
    used: int = 0
    refusals: deque[Use] = field(default_factory=deque)
    demand: int = 0
    demand_at: int = 0
    request_due: int = 0
    request_pause_ticks: int = MIN_REQUEST_PAUSE_TICKS
    answered: dict[str, tuple[int, int]] = field(default_factory=dict)
    acquired_units: int = 0
    refused_units: int = 0
    short_reported_at: int = NEVER
    is_isolated: bool = False

    def forget_old(self, now: int) -> None:
        """Drops the uses and refusals that are a window old."""
        while self.uses and self.uses[0].at <= now - self.window_ticks:
            self.used -= self.uses.popleft().units
        while self.refusals and self.refusals[0].at <= now - self.window_ticks:
            self.refusals.popleft()

    def record_use(self, units: int, now: int) -> None:
        """Units are used at `now`."""
        self.uses.append(Use(now, units))
        self.used += units
        self.acquired_units += units
        self._update_demand(now)

    def record_refusal(self, units: int, now: int) -> None:
        """Units were wanted at `now` and refused."""
        self.refused_units += units
        if units:
            self.refusals.append(Use(now, units))
            if len(self.refusals) > MAX_REFUSALS:
                self.refusals.popleft()
        self._update_demand(now)

    def _update_demand(self, now: int) -> None:
        demand = self.used + min(sum(refusal.units for refusal in self.refusals), self.dealt.rate)
        if demand >= self.demand or now - self.demand_at > QUIET_TICKS:
            self.demand, self.demand_at = min(demand, self.dealt.rate), now

    def current_demand(self, now: int) -> int:
        """The units wanted of late; what is used where nothing was wanted for QUIET_TICKS."""
        return self.demand if now - self.demand_at <= 2 * QUIET_TICKS else self.used

    def lacking(self, now: int) -> int:
        """How many units are wanted beyond those that are usable; below 0: how many are to spare."""
        return self.current_demand(now) - self.state.usable(now)

    def unneeded(self, now: int, ledger: QuotaLedger) -> int:
        """How many usable units of that ledger are neither used in the last window nor wanted of late."""
        return ledger.usable(now) - max(self.used, self.current_demand(now))
