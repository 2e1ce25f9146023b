"""Budgets dealt by shares on lease among the members of an emulated run: shares.State as it is, over lossy ways.

Bound: in any second all members together use no more of a budget than its units. shares.State keeps each unit usable at
one place at a time; here each is used once a second besides: lent only if it was not used for a second, not used
by its taker in the last second of the lease, and counted over a second that is longer by the drift.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from pathsaddle.fleet.state import shares
from pathsaddle.trade import SECOND

LEASE = 4 * SECOND
LONG = int(SECOND * (1 + 2 * shares.DRIFT)) + 1  # a second by a clock that may be fast
ASKS = SECOND // 10  # how often one asks for more of a budget
FINE = 4  # shares to a unit: of its part a member lends a half, and a part of one would lend nothing


class Leases:
    """One member's rights to all budgets. Implements the gate's Limiter."""

    def __init__(self, name: str, number: int, units: dict[str, int], members: int, chance: Random,
                 spent: Callable[[str, int], None], now: int) -> None:
        self.name, self.number, self.chance, self.spent = name, number, chance, spent
        self.members = members
        self.states: dict[str, shares.State] = {}
        first = 0
        for budget, whole in units.items():
            # What doesn't come out even goes to the next members for each budget, the same by everyone's reckoning:
            # where a worker's budget holds less than one for each, all hold some at some workers.
            part = FINE * (whole // members + ((number - first) % members < whole % members))
            first = (first + whole % members) % members
            # Everybody lived before, for all that is known: what an earlier life may have lent is not used at first.
            self.states[budget] = shares.born(name, 1, part, LEASE, now - 2 * LEASE)
        self.used: dict[str, deque[int]] = {}
        self.wants: dict[str, int] = {}  # budget: when it was last short
        self.asked: dict[str, int] = {}
        self.wanted: dict[str, int] = {}  # when a budget was last asked for here

    def uses(self, budget: str, now: int) -> deque[int]:
        used = self.used.setdefault(budget, deque())
        while used and used[0] <= now - LONG:
            used.popleft()
        return used

    def takes(self, budget: str, units: int, now: int) -> bool:
        used, state, shared = self.uses(budget, now), self.states[budget], units * FINE
        held = sum(row[3].units for row in state.held if now + LONG < row[3].until)
        self.wanted[budget] = now
        if len(used) + shared > state.own(now) + held:
            self.wants[budget] = now
            return False
        used.extend([now] * shared)
        self.spent(budget, units)
        return True

    def asks(self, now: int) -> list[tuple[int, str, shares.Want]]:
        """What is short now is asked of somebody, who differs each time: (member, budget, asking)."""
        out: list[tuple[int, str, shares.Want]] = []
        for budget, short in list(self.wants.items()):
            if now - short > SECOND:
                del self.wants[budget]
            elif len(out) < 2 and now - self.asked.get(budget, -ASKS) >= ASKS:
                self.asked[budget] = now
                self.states[budget], want = self.states[budget].want(FINE, now)
                other = self.chance.randrange(self.members)
                if other != self.number:
                    out.append((other, budget, want))
        return out

    def asked_by(self, budget: str, want: shares.Want, now: int) -> shares.Lend | None:
        state = self.states[budget]
        own = state.own(now)
        # Who wants it itself keeps one more than it has used.
        keeps = FINE if now - self.wanted.get(budget, -SECOND) < SECOND else 0
        spare = own - len(self.uses(budget, now)) - keeps
        self.states[budget], lend = state.asked_by(want, max(0, spare), now)
        return lend

    def lent(self, budget: str, lend: shares.Lend, now: int) -> None:
        self.states[budget] = self.states[budget].lent_by(lend, now)
