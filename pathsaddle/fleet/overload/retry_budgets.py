"""Retry budgets: how many retries, trials and probes all members together may send besides first attempts.

Bound: in any second, over all members, no more of a kind is sent than its budget for the fleet, and to any
group of workers no more than its budget there, as far as the limiter's own bound goes (`fleet/quota/`:
leases, which need no message to arrive). The tests of `tests/test_overload_ground.py` that plant bad
histories break it. A member that hears nothing keeps its own share; where that share holds nothing, nothing
is sent. The first attempt of a request never takes from a budget.

The admission gate owns the one instance of a member. The limiter is handed in.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol


class BudgetKind(StrEnum):
    """What a budget is for. The values are the budgets' names in `[fleet.budgets]`."""

    REPEAT = "repeat"  # a further attempt of a request
    TRIAL = "trial"  # the first request to a worker that is under suspicion
    LOOK = "look"  # a probe of a worker's load
    RETURN = "return"
    LIST = "list"
    CONNECT = "connect"


class Limiter(Protocol):
    """What a quota limiter offers to the budgets."""

    def try_acquire(self, budget: str, units: int, now: int) -> bool:
        """Take so many units now and return whether they could be taken.

        Raises:
            KeyError: The configuration has no budget of this name.
        """
        ...


class Budgets:
    """One member's access to all budgets. A budget that the configuration does not name limits nothing."""

    def __init__(self, limiter: Limiter) -> None:
        self.limiter = limiter
        self.refused: dict[BudgetKind, int] = dict.fromkeys(BudgetKind, 0)

    def try_acquire(self, kind: BudgetKind, worker_group: str | None, now: int) -> bool:
        """Take one unit of the group's budget and one of the fleet's, and return whether both were to be had.

        The group's comes first, since it is the narrower: a unit of the fleet's is then rarely taken in vain.
        """
        is_granted = worker_group is None or self._try_acquire(f"{kind}.{worker_group}", now)
        if not is_granted or not self._try_acquire(kind.value, now):
            self.refused[kind] += 1
            return False
        return True

    def _try_acquire(self, budget: str, now: int) -> bool:
        try:
            return self.limiter.try_acquire(budget, 1, now)
        except KeyError:
            return True


def budget_kind(is_retry: bool, is_suspect: bool) -> BudgetKind | None:
    """Return the budget that an attempt takes from; None for a first attempt to a worker in good standing."""
    if is_suspect:
        return BudgetKind.TRIAL
    return BudgetKind.REPEAT if is_retry else None
