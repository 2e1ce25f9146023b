"""The plan as a mixed-integer program for HiGHS. Imported in a planner's process alone: never on a
dispatcher's loop.

The aims in their order, each solved with what the earlier ones reached as a bound: the targets, then the
least headroom, then what is stranded and, last, moves. A move costs in the second too: PRICE thousandths of
the least headroom, and a change against the last plan CHANGE, so that a small change of what is told does not
turn a plan over.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import highspy
import numpy as np

from pathsaddle.placement.greedy import greedy
from pathsaddle.placement.problem import PER, Counts, Problem

PRICE = 2.0
CHANGE = 0.2
KINDS = 0.1  # how much the least headroom of each single kind counts beside the least of all
GAP = 0.005


@dataclass
class Model:
    """Columns and rows, of no solver."""

    low: list[float] = field(default_factory=list)
    high: list[float] = field(default_factory=list)
    whole: list[bool] = field(default_factory=list)
    rows: list[tuple[float, float, list[tuple[int, float]]]] = field(default_factory=list)

    def column(self, low: float, high: float, whole: bool = True) -> int:
        self.low.append(low)
        self.high.append(high)
        self.whole.append(whole)
        return len(self.low) - 1

    def row(self, low: float, high: float, *terms: tuple[int, float]) -> None:
        self.rows.append((low, high, [term for term in terms if term[1]]))


INF = float("inf")


@dataclass
class Columns:
    n: list[list[int]]
    wide: list[int]  # by kind
    head: int
    heads: list[int]
    fit: dict[tuple[int, int], int]
    out: dict[tuple[int, int], int]
    change: dict[tuple[int, int], int]
    two: dict[tuple[int, int], int]
    enough: dict[tuple[int, int], int]


def model_of(problem: Problem) -> tuple[Model, Columns]:
    model = Model()
    kinds, islands = range(len(problem.kinds)), range(len(problem.islands))
    whole = [problem.pool[k] + sum(row[k] for row in problem.stay) for k in kinds]

    def most(i: int, k: int) -> int:
        if not problem.islands[i].holds(problem.kinds[k].name):
            return problem.stay[i][k]
        return max(problem.stay[i][k], min(problem.rooms[i], whole[k]))

    n = [[model.column(problem.least(i, k), most(i, k)) for k in kinds] for i in islands]
    for i, limits in enumerate(problem.limits):
        model.row(-INF, problem.rooms[i], *((n[i][k], 1.0) for k in kinds))
        for limit, name in zip(limits, ("power", "ports", "carries"), strict=True):
            model.row(-INF, limit, *((n[i][k], float(getattr(problem.kinds[k], name))) for k in kinds))
    for k in kinds:
        model.row(-INF, whole[k], *((n[i][k], 1.0) for i in islands))
    head = model.column(0, 100 * PER, False)
    cols = Columns(n, [], head, [], {}, {}, {}, {}, {})
    for k, kind in enumerate(problem.kinds):
        asked = [i for i in islands if problem.part[i][k]]
        cols.heads.append(model.column(0, 100 * PER if asked else 0, False))
        if asked:
            model.row(0, INF, (cols.heads[k], 1.0), (head, -1.0))
        for i in asked:
            model.row(0, INF, (n[i][k], kind.slots * PER * PER / problem.part[i][k]), (cols.heads[k], -1.0))
        cols.wide.append(model.column(0, problem.width[k], False))
        can = [i for i in islands if most(i, k)]
        if problem.width[k]:
            for i in can:
                cols.two[i, k] = model.column(0, 1)
                model.row(
                    -INF,
                    problem.width[k],
                    (cols.wide[k], 1.0),
                    (n[i][k], -float(kind.slots)),
                    (cols.two[i, k], float(problem.width[k])),
                )
            model.row(2, INF, *((cols.two[i, k], 1.0) for i in can))
        for i in can:
            fit = cols.fit[i, k] = model.column(0, most(i, k), False)
            model.row(0, INF, (n[i][k], 1.0), (fit, -1.0))
            if problem.usual[k] > kind.slots:
                enough = cols.enough[i, k] = model.column(0, 1)
                model.row(0, INF, (n[i][k], 1.0), (enough, -float(-(-problem.usual[k] // kind.slots))))
                model.row(-INF, 0, (fit, 1.0), (enough, -float(most(i, k))))
            if problem.serving[i][k]:
                out = cols.out[i, k] = model.column(0, problem.serving[i][k], False)
                model.row(problem.stay[i][k], INF, (n[i][k], 1.0), (out, 1.0))
            if problem.last is not None:
                change = cols.change[i, k] = model.column(0, problem.rooms[i] + problem.last[i][k], False)
                model.row(-problem.last[i][k], INF, (change, 1.0), (n[i][k], -1.0))
                model.row(problem.last[i][k], INF, (change, 1.0), (n[i][k], 1.0))
    if not any(map(any, problem.part)):
        model.high[head] = 0
    return model, cols


def values(problem: Problem, model: Model, cols: Columns, counts: Counts) -> list[float]:
    """All columns from how many stand where: a start for the solver."""
    found = [0.0] * len(model.low)
    kinds = range(len(problem.kinds))
    for i, row in enumerate(cols.n):
        for k in kinds:
            found[row[k]] = counts[i][k]
    for k, kind in enumerate(problem.kinds):
        heads = [
            counts[i][k] * kind.slots * PER * PER / problem.part[i][k]
            for i in range(len(counts))
            if problem.part[i][k]
        ]
        found[cols.heads[k]] = min(*heads, 100 * PER) if heads else 0
        order = sorted(((i, j) for i, j in cols.two if j == k), key=lambda at: -counts[at[0]][k])[:2]
        for at in order:
            found[cols.two[at]] = 1
        if len(order) == 2:
            found[cols.wide[k]] = min(problem.width[k], counts[order[1][0]][k] * kind.slots)
    found[cols.head] = min(
        (found[cols.heads[k]] for k in kinds if any(row[k] for row in problem.part)), default=0
    )
    for (i, k), enough in cols.enough.items():
        found[enough] = counts[i][k] * problem.kinds[k].slots >= problem.usual[k]
    for (i, k), fit in cols.fit.items():
        found[fit] = counts[i][k] if (i, k) not in cols.enough or found[cols.enough[i, k]] else 0
    for (i, k), out in cols.out.items():
        found[out] = max(0, problem.stay[i][k] - counts[i][k])
    for (i, k), change in cols.change.items():
        assert problem.last is not None
        found[change] = abs(counts[i][k] - problem.last[i][k])
    return found


def solve(
    model: Model, costs: dict[int, float], start: list[float], seconds: float, seed: int
) -> tuple[list[float] | None, float]:
    """Greatest sum of costs: (columns, or None where it has no answer in time; its bound)."""
    highs = highspy.Highs()  # type: ignore[no-untyped-call]
    highs.setOptionValue("output_flag", False)
    highs.setOptionValue("time_limit", max(seconds, 0.05))
    highs.setOptionValue("threads", 1)
    highs.setOptionValue("random_seed", seed)
    highs.setOptionValue("mip_rel_gap", GAP)
    lp = highspy.HighsLp()
    lp.num_col_, lp.num_row_ = len(model.low), len(model.rows)
    cost = np.zeros(len(model.low))
    for at, one in costs.items():
        cost[at] = one
    lp.col_cost_ = cost
    lp.col_lower_ = np.array(model.low, dtype=float)
    lp.col_upper_ = np.array(model.high, dtype=float)
    lp.row_lower_ = np.array([row[0] for row in model.rows], dtype=float)
    lp.row_upper_ = np.array([row[1] for row in model.rows], dtype=float)
    lp.integrality_ = [
        highspy.HighsVarType.kInteger if one else highspy.HighsVarType.kContinuous for one in model.whole
    ]
    lp.sense_ = highspy.ObjSense.kMaximize
    lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    lp.a_matrix_.start_ = np.cumsum([0, *(len(row[2]) for row in model.rows)])
    lp.a_matrix_.index_ = np.array([at for row in model.rows for at, _ in row[2]], dtype=np.int32)
    lp.a_matrix_.value_ = np.array([one for row in model.rows for _, one in row[2]], dtype=float)
    highs.passModel(lp)
    given = highspy.HighsSolution()
    given.col_value = start
    highs.setSolution(given)
    highs.run()
    info = highs.getInfo()
    if info.primal_solution_status != int(highspy.SolutionStatus.kSolutionStatusFeasible):
        return None, info.mip_dual_bound
    return list(highs.getSolution().col_value), info.mip_dual_bound


@dataclass(frozen=True)
class Answer:
    """by: `solver`, or `greedy` where the solver had nothing better in time. bound: what the least headroom,
    less what moves cost, can at most be; value: what it is here. gap: their distance, a part of the bound.
    """

    counts: Counts
    by: str
    value: float
    bound: float

    @property
    def gap(self) -> float:
        return 0.0 if self.bound <= 0 else max(0.0, (self.bound - self.value) / self.bound)


def planned(problem: Problem, seconds: float, clock: Callable[[], float], seed: int = 1) -> Answer:
    """Within about `seconds` of a clock handed in, which tells seconds."""
    end = clock() + seconds
    model, cols = model_of(problem)
    kinds = range(len(problem.kinds))
    best, by = greedy(problem), "greedy"
    now = values(problem, model, cols, best)
    moves = dict.fromkeys(cols.out.values(), -1.0)
    changes = dict.fromkeys(cols.change.values(), -1.0)

    def stage(costs: dict[int, float], share: float) -> float:
        """Solves, takes what is better, tells the bound."""
        nonlocal now, by
        found, bound = solve(model, costs, now, (end - clock()) * share, seed)
        if found is not None and _sum(costs, found) > _sum(costs, now) + 1e-6:
            counts = [[round(found[at]) for at in row] for row in cols.n]
            again = values(problem, model, cols, counts)
            if _sum(costs, again) > _sum(costs, now) + 1e-6:
                now, by = again, "solver"
        return max(bound, _sum(costs, now))

    reach = {cols.wide[k]: 100.0 / problem.width[k] for k in kinds if problem.width[k]}
    if any(now[at] < model.high[at] for at in reach):
        stage(reach | dict.fromkeys(moves, -0.01), 0.3)
    for at in reach:
        model.low[at] = now[at]
    asked = [k for k in kinds if any(row[k] for row in problem.part)]
    aim = (
        {cols.head: 1.0}
        | {cols.heads[k]: KINDS / len(asked) for k in asked}
        | dict.fromkeys(moves, -PRICE)
        | dict.fromkeys(changes, -CHANGE / 2)
    )
    bound = stage(aim, 0.7)
    value = _sum(aim, now)
    # What the second aim reached is kept but for a thousandth, so that the last ones have something to choose from.
    model.row(value - 0.001 * abs(value), INF, *aim.items())
    # What fits no job of usual width is better in a bay than in the store, but for that nothing else is given up.
    last = (
        {at: float(problem.kinds[k].slots) for (_, k), at in cols.fit.items()}
        | {row[k]: 0.05 * problem.kinds[k].slots for row in cols.n for k in kinds}
        | dict.fromkeys(moves, -0.1)
        | dict.fromkeys(changes, -0.02)
    )
    stage(last, 0.9)
    counts = [[round(now[at]) for at in row] for row in cols.n]
    return Answer(counts, by, value, bound)


def _sum(costs: dict[int, float], found: list[float]) -> float:
    return sum(one * found[at] for at, one in costs.items())
