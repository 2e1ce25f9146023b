"""The level: what stands below it is declined at once,
by every member that knows the same sums at the same place.

Bound (differ): two members whose sums lead to levels t and u differ at most by |t - u| + 2 DEAD, once each
has had |t - u| / FALLS seconds; sums that differ by a part e of what could be served, where marginal bands
hold at least a part m of it, lead to levels that differ by e / m bands.
Bound (part): one member's word, whatever it says, counts in offered work as at most TWICE times what the
middle member offers, or its own part of what could be served where that is more, and in what could be served
as one of n voices of a mean clipped to half and twice the middle one.
Bound (pace): in any second a level rises by at most RISES and falls by at most FALLS bands.
Bound (turns): while the sums call for a level within DEAD of the one that stands, it stands; within DEAD over
the root of the part heard, where that is not the whole: ten times as far where it is a hundredth. It moves
slower by that root as well, to a quarter.

Whoever is not heard keeps its part of what can be served: the rest share theirs,
and what trims teach them above it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from pathsaddle.fleet.overload.load_summary import LoadSummary
from pathsaddle.fleet.overload.shed_rank import RANK_BANDS
from pathsaddle.trade import SECOND

TIGHTEN_INTERVAL = 12.0  # bands a second: harm comes quickly
RELAX_INTERVAL = 4.0  # and trust slowly: the whole scale in four seconds
DEAD = 0.1  # bands
TWICE = 2.0
LONG = 8.0  # the longest line that one may tell of
STALE = 4 * SECOND  # a word of this age at the least is as good as none


def middle(figures: Iterable[float]) -> float:
    rows = sorted(figures)
    return (rows[(len(rows) - 1) // 2] + rows[len(rows) // 2]) / 2 if rows else 0.0


class LoadTotals:
    """What the words add up to, for one member at one moment.

    words: those that are heard, its own included. part: of each member, by the charter.
    """

    def __init__(self, words: Sequence[LoadSummary], part: float) -> None:
        self.heard = min(1.0, part * len(words))
        mid = middle(word.could for word in words)
        coulds = [min(2.0 * mid, max(0.5 * mid, word.could)) for word in words]
        self.could = sum(coulds) / max(1, len(words))
        mid = middle(word.trim for word in words)
        trims = [min(1.5 * mid, max(0.67 * mid, word.trim)) for word in words]
        self.trim = sum(trims) / max(1, len(words))
        # Of a member with few txns one that waits is a long line: the mean of all is what tells.
        self.line = sum(min(LONG, word.line) for word in words) / max(1, len(words))
        self.idle = sum(min(1.0, word.free) for word in words) / max(1, len(words))
        # What nobody else vouches for: a member that tells a hundred times its load is counted as a busy one.
        most = max(TWICE * middle(word.total for word in words), part * self.could)
        scales = [min(1.0, most / word.total) if word.total > most else 1.0 for word in words]
        if all(scale == 1.0 for scale in scales):
            rows: list[list[float]] = [word.offered for word in words]
        else:
            rows = [
                [one * scale for one in word.offered] if scale < 1.0 else word.offered
                for word, scale in zip(words, scales)
            ]
        self.offered = [sum(column) for column in zip(*rows)] if rows else [0.0] * RANK_BANDS
        # A burst of a second is not overload: lines take it up. A second that is quieter than those before it
        # counts at once. The lesser of both is taken of the sum: of each member's own few txns it would be
        # far under the truth.
        whole = sum(self.offered)
        steady = sum(word.steady * scale for word, scale in zip(words, scales))
        if 0.0 < steady < whole:
            self.offered = [part * steady / whole for part in self.offered]
        self.customers: dict[int, float] = {}
        for word, scale in zip(words, scales):
            for who, rate in word.customers.items():
                self.customers[who] = self.customers.get(who, 0.0) + rate * scale

    @property
    def supply(self) -> float:
        """Slots for those that are heard, as far as trims go."""
        return self.could * self.heard * self.trim

    def target(self) -> float:
        """The least level above which what is offered fits; 0: all of it does."""
        left = self.supply
        for place in reversed(range(RANK_BANDS)):
            offered = self.offered[place]
            if offered > left:
                return place + 1.0 - max(0.0, left) / offered
            left -= offered
        return 0.0

    def free(self) -> float:
        """Slots that what is offered leaves idle."""
        return max(0.0, self.supply - sum(self.offered))


class ShedLevel:
    def __init__(self, now: int) -> None:
        self.stands = 0.0
        self.at = now

    def moves(self, target: float, heard: float, now: int) -> float:
        """Towards the target at its pace. A small step only where the target is the floor: there it must not
        hang. heard: part of the fleet that the sums are from; few txns jump about more than many,
        by the root.
        """
        spent = min(SECOND, max(0, now - self.at)) / SECOND  # a stall of our own is no licence to leap
        self.at = max(self.at, now)
        off = target - self.stands
        if abs(off) > DEAD / max(0.001, heard) ** 0.5 or target == 0.0:
            spent *= max(0.25, heard**0.5)
            self.stands += min(TIGHTEN_INTERVAL * spent, max(-RELAX_INTERVAL * spent, off))
        return self.stands
