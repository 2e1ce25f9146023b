"""When those that were declined are told to come back: spread so that who returns in any second fits what is
free then.

Bound: of the returns that all members advised, no second holds more than the budget, with nothing told among
them. Each member's part of half the budget is dealt out over whole seconds, members' odd ones at phases of
their own; any second touches two whole ones, so that halves add up to the budget also where clocks disagree
on where a second begins. What finds no place within the longest advice is advised nothing. What will be free
is not known ahead: so much of a second's places is used as is free now, at least a tenth, so that somebody
tries; and each is let in by the level as all are.
"""

from __future__ import annotations

from pathsaddle.trade import SECOND


class RetryAdvice:
    """most: returns in any second that all may advise; part: ours of them. phase: 0 to 1, spread evenly over
    the members. longest: the longest advice, ticks.
    """

    def __init__(self, most: float, part: float, phase: float, longest: int) -> None:
        self.each, self.phase, self.longest = most * part / 2, phase, longest
        self.seconds: dict[int, int] = {}  # returns advised, by second

    def holds(self, second: int, free: float) -> int:
        """Returns that a second holds for us; a part of less than one has one every so many seconds."""
        whole = int(self.each * (second + 1) + self.phase) - int(self.each * second + self.phase)
        used = max(0.1, min(1.0, free))
        return int(whole * used + (second * 0.618 + self.phase) % 1.0)

    def advise(self, place: float, free: float, soonest: int, now: int) -> int:
        """Ticks to wait; 0: no advice. place: the txn's draw, 0 to 1.
        free: what part of all slots is free now.
        """
        for second in range((now + soonest) // SECOND + 1, (now + self.longest) // SECOND):
            taken = self.seconds.get(second, 0)
            if taken < min(self.holds(second, free), self.holds(second, 1.0)):
                self.seconds[second] = taken + 1
                return second * SECOND + int(place * (SECOND - 1)) - now
        return 0

    def passes(self, now: int) -> None:
        """What is over is let go."""
        for second in [second for second in self.seconds if second < now // SECOND]:
            del self.seconds[second]
