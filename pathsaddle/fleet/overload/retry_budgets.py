"""What all members together may do beside first postings, and what falls on one worker of it.

Bound: in any second, over all members, no more of a kind than its budget for the fleet, and at any worker no
more than its budget there: as far as the limiter's own bound goes (shares on lease: nothing has to arrive for
it). Who hears nothing has its part; what a part holds none of does not happen,
and the first posting of a txn never asks.
"""

from __future__ import annotations

from typing import Protocol

REPEAT, TRIAL, LOOK, RETURN, LIST, CONNECT = "repeat", "trial", "look", "return", "list", "connect"
KINDS = (REPEAT, TRIAL, LOOK, RETURN, LIST, CONNECT)


class Limiter(Protocol):
    def try_acquire(self, budget: str, units: int, now: int) -> bool:
        """Whether so many units may be used now; they are, if so."""
        ...


class Budgets:
    """The limiter raises KeyError for a name that the charter deals nothing for: such a budget binds
    nothing.
    """

    def __init__(self, limiter: Limiter) -> None:
        self.limiter = limiter
        self.refused: dict[str, int] = dict.fromkeys(KINDS, 0)

    def try_acquire(self, kind: str, worker: str | None, now: int) -> bool:
        """The worker's first, which is the narrower: a unit of the fleet's is rarely taken for nothing."""
        if (worker is not None and not self._try_acquire(f"{kind}.{worker}", now)) or not self._try_acquire(
            kind, now
        ):
            self.refused[kind] += 1
            return False
        return True

    def _try_acquire(self, budget: str, now: int) -> bool:
        try:
            return self.limiter.try_acquire(budget, 1, now)
        except KeyError:
            return True
