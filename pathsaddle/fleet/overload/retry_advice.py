"""Retry advice: when the clients of rejected requests should come back.

The returns are spread so that those of any second fit what is idle then.

Bound: of the returns that all members advised, no second holds more than the budget, with no message among
the members (`RetryAdviceSpread.test_all_members_advice_together_fits_any_second` breaks it). Each member's
share of half the budget is dealt out over whole seconds, and the fractions of the members have phases of
their own. Any second overlaps two whole ones, so that the halves add up to the budget also where clocks
disagree on where a second begins. Where no second within the longest wait has a return left, there is no
advice.

What will be idle cannot be known ahead. The share of a second's returns that is used is the share of slots
that is idle now, and at least a tenth, so that some clients try; each of them is then subject to the shed
level like every request.

The admission gate owns the one instance of a member.
"""

from __future__ import annotations

from pathsaddle.scheduler_types import SECOND

MIN_IDLE_SHARE = 0.1  # used also where nothing is idle, so that some clients try
GOLDEN_RATIO = 0.618  # spreads the rounding of a partly used second evenly over the seconds


class RetryAdvice:
    """One member's advice.

    Args:
        fleet_returns: Returns in any second that all members together may advise.
        member_share: This member's share of them, from 0 to 1.
        phase: From 0 to 1, spread evenly over the members.
        max_wait_ticks: The longest wait that is advised.
    """

    def __init__(self, fleet_returns: float, member_share: float, phase: float, max_wait_ticks: int) -> None:
        self.returns_per_second = fleet_returns * member_share / 2
        self.phase, self.max_wait_ticks = phase, max_wait_ticks
        self.advised_by_second: dict[int, int] = {}

    def allowed_returns(self, second: int, idle_share: float) -> int:
        """Return how many returns this member may advise for a second.

        A member whose share is less than one return a second has one every so many seconds.
        """
        rate, phase = self.returns_per_second, self.phase
        allowed = int(rate * (second + 1) + phase) - int(rate * second + phase)
        used_share = max(MIN_IDLE_SHARE, min(1.0, idle_share))
        return int(allowed * used_share + (second * GOLDEN_RATIO + phase) % 1.0)

    def advise(self, fraction: float, idle_share: float, min_wait_ticks: int, now: int) -> int:
        """Reserve one return and give the ticks to wait, or 0 where no second has one left.

        Args:
            fraction: The request's hash, from 0 to 1; it selects the moment within the second.
            idle_share: The share of all slots that is idle now.
            min_wait_ticks: The shortest wait that is advised.
            now: Ticks of Unix time.
        """
        first, end = (now + min_wait_ticks) // SECOND + 1, (now + self.max_wait_ticks) // SECOND
        for second in range(first, end):
            taken = self.advised_by_second.get(second, 0)
            if taken < min(self.allowed_returns(second, idle_share), self.allowed_returns(second, 1.0)):
                self.advised_by_second[second] = taken + 1
                return second * SECOND + int(fraction * (SECOND - 1)) - now
        return 0

    def forget_past(self, now: int) -> None:
        """Drop the counts of seconds that are over."""
        for second in [second for second in self.advised_by_second if second < now // SECOND]:
            del self.advised_by_second[second]
