"""The law by which a figure grows with a size, from kept plays: fitted, chosen, and what it leaves
unexplained.

Each candidate y = a + b f(n) is fitted by least squares to all plays. A law is judged by leaving one point
out with all its plays and predicting it from the others: the root of the mean square of these errors, as a
part of the figure's mean. Chosen is the slowest law whose error is at most a tenth above the least: a faster
one has to earn its place. A law is ruled out where its error is twice the chosen one's or more; one that is
not stays named with the result.

Weighed: R² (never falls with a faster law), AICc (with four to six points its correction is as large as what
it corrects), the error at the points that were fitted (says nothing of those between or beyond). Free of I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from pathsaddle.errors import Error

LAWS: dict[str, Callable[[float], float]] = {  # in the order of their growth
    "constant": lambda n: 0.0,
    "n": lambda n: n,
    "nlogn": lambda n: n * math.log(n),
    "n2": lambda n: n * n,
}
WORDS = {"constant": "constant", "n": "n", "nlogn": "n log n", "n2": "n²"}
POINTS, FACTOR = 4, 8  # at least so many, the last so many times the first
EARNS = 1.1  # a slower law may err so many times as much as the best
RULED_OUT = 2.0  # a law that errs so many times as much as the chosen one
EXACT = 1e-9  # of the mean: less than that is the floating point's


class FewPoints(Error):
    name = "experiment.few-points"
    what = "{figure}: {count} points from {first:g} to {last:g} give no law"
    do = "measure 4 points at least, the last 8 times the first: write them at points of the plan and run it"


@dataclass(frozen=True)
class Slope:
    """A figure's law. a, b: of y = a + b f(n). error: of left-out points, a part of the mean. errors: of all
    candidates. spread: between plays of a point, most over the points, a part of the point's mean.
    unexplained: root mean square of the points' residuals, a part of the mean; worst: the largest residual, a
    part of its point's mean, at worst_at.
    """

    law: str
    a: float
    b: float
    points: tuple[float, ...]
    means: tuple[float, ...]
    plays: int  # the fewest at a point
    errors: Mapping[str, float]
    spread: float
    unexplained: float
    worst: float
    worst_at: float

    def at(self, n: float) -> float:
        return self.a + self.b * LAWS[self.law](n)

    @property
    def margins(self) -> dict[str, float]:
        """How many times as much each other law errs."""
        own = max(self.errors[self.law], EXACT)
        return {law: max(error, EXACT) / own for law, error in self.errors.items() if law != self.law}

    @property
    def rivals(self) -> list[str]:
        """Laws that these points don't rule out. Where all fit exactly they are the same law, with b = 0."""
        return [
            law for law, margin in self.margins.items() if margin < RULED_OUT and self.errors[law] > EXACT
        ]

    def predicts(self, n: float) -> Prediction:
        """At a measured point the mean of its plays, elsewhere by the law."""
        last = self.points[-1]
        if n in self.points:
            return Prediction(self.means[self.points.index(n)], True, n / last)
        return Prediction(self.at(n), False, n / last)


@dataclass(frozen=True)
class Prediction:
    """measured: the very point was played. beyond: how many times the last measured point the size is."""

    value: float
    measured: bool
    beyond: float


def least_squares(law: str, rows: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """(a, b) of y = a + b f(n)."""
    f = LAWS[law]
    mean = sum(y for _, y in rows) / len(rows)
    middle = sum(f(n) for n, _ in rows) / len(rows)
    below = sum((f(n) - middle) ** 2 for n, _ in rows)
    if below == 0:
        return mean, 0.0
    b = sum((f(n) - middle) * (y - mean) for n, y in rows) / below
    return mean - b * middle, b


def left_out(law: str, plays: Mapping[float, Sequence[float]]) -> float:
    """Root mean square of the errors at each point, predicted from the others."""
    squares = []
    for point, values in plays.items():
        a, b = least_squares(law, [(n, y) for n, ys in plays.items() if n != point for y in ys])
        squares.append((sum(values) / len(values) - a - b * LAWS[law](point)) ** 2)
    return math.sqrt(sum(squares) / len(squares))


def fit(
    figure: str, plays: Mapping[float, Sequence[float]], candidates: Sequence[str] = tuple(LAWS)
) -> Slope:
    """plays: by point, the figure of each play. Raises FewPoints."""
    plays = {point: plays[point] for point in sorted(plays) if plays[point]}
    points = tuple(plays)
    if len(points) < POINTS or points[-1] < FACTOR * points[0]:
        raise FewPoints(
            figure=figure, count=len(points), first=min(points, default=0), last=max(points, default=0)
        )
    means = tuple(sum(values) / len(values) for values in plays.values())
    size = abs(sum(means) / len(means)) or 1.0
    errors = {law: left_out(law, plays) / size for law in LAWS if law in candidates}
    least = min(errors.values())
    law = next(law for law, error in errors.items() if error <= least * EARNS + EXACT)
    a, b = least_squares(law, [(n, y) for n, ys in plays.items() for y in ys])
    residuals = [y - a - b * LAWS[law](n) for n, y in zip(points, means, strict=True)]
    parts = [abs(gap) / (abs(y) or size) for gap, y in zip(residuals, means, strict=True)]
    return Slope(
        law=law,
        a=a,
        b=b,
        points=points,
        means=means,
        plays=min(map(len, plays.values())),
        errors=errors,
        spread=max((max(ys) - min(ys)) / (abs(sum(ys) / len(ys)) or size) for ys in plays.values()),
        unexplained=math.sqrt(sum(gap * gap for gap in residuals) / len(residuals)) / size,
        worst=max(parts),
        worst_at=points[parts.index(max(parts))],
    )


def number(value: float) -> str:
    """Three figures that count."""
    if value == 0 or not math.isfinite(value):
        return "0" if value == 0 else str(value)
    digits = 2 - math.floor(math.log10(abs(value)))
    return f"{round(value, digits):,.{max(0, digits)}f}"


def told(slope: Slope) -> str:
    """The law with its numbers: `8.19 + 0.0312 n`."""
    if slope.law == "constant":
        return f"constant, {number(slope.a)}"
    term = {"n": "n", "nlogn": "n ln n", "n2": "n²"}[slope.law]
    return f"{number(slope.a)} {'-' if slope.b < 0 else '+'} {number(abs(slope.b))} {term}"


def judged(slope: Slope) -> str:
    """Why this law: the others with their margins."""
    out = [
        f"{WORDS[law]} ({margin:.1f} times the error)"
        if margin < 1000
        else f"{WORDS[law]} (over 1000 times the error)"
        for law, margin in slope.margins.items()
        if margin >= RULED_OUT
    ]
    left = [f"{WORDS[law]} ({slope.margins[law]:.2f} times)" for law in slope.rivals]
    return "; ".join(
        [
            *([f"ruled out {', '.join(out)}"] if out else []),
            *([f"not ruled out {', '.join(left)}"] if left else []),
        ]
    )
