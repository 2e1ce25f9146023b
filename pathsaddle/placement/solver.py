"""The allocation by HiGHS. Only a planner's process imports this module, never a dispatcher.

The aims in their order, each solved with what the earlier ones reached as a bound: the targets, then the
least headroom, then stranded slots and, last, moves. A move costs in the second aim too: MOVE_PRICE
thousandths of the least headroom, and a change against the previous plan CHANGE_PRICE, so that a small
change of demand does not turn a plan over. The greedy allocation is the start, and the answer where the
solver has nothing better in time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import highspy
import numpy as np

from pathsaddle.placement.greedy import choose_greedily
from pathsaddle.placement.mip_model import INFINITY, MipModel, Term, build_model, values_of
from pathsaddle.placement.problem import Counts, Problem

MOVE_PRICE = 2.0  # thousandths of the least headroom for a serving unit that moves
CHANGE_PRICE = 0.2  # the same for a unit that the previous plan wanted elsewhere
KIND_HEADROOM_WEIGHT = 0.1  # how much the least headroom of each single kind counts beside the least of all
RELATIVE_GAP = 0.005  # the solver stops here: less is less than one unit on one island
MIN_SOLVE_S = 0.05  # HiGHS needs some time to return even its start
IMPROVEMENT = 1e-6  # an answer counts as better only by more than the solver's tolerance

TARGET_TIME_SHARE = 0.3  # of the time that is left, for each aim
HEADROOM_TIME_SHARE = 0.7
STRANDED_TIME_SHARE = 0.9
TARGET_SCALE = 100.0  # a target that is reached in full is worth so much in the first aim
TARGET_MOVE_PRICE = 0.01  # in the first aim: moves decide only between equals
HEADROOM_SLACK = (
    0.001  # part of the second aim that the last one may give up, to have something to choose from
)
STORED_SLOT_WEIGHT = (
    0.05  # in the last aim: a slot in a bay where no median job fits, beside one where it does
)
STRANDED_MOVE_PRICE = 0.1
STRANDED_CHANGE_PRICE = 0.02

Costs = dict[int, float]  # coefficient of the objective by column


class SolverResult(NamedTuple):
    """The columns' values, None where there is no answer in time; and the bound of the objective."""

    values: list[float] | None
    bound: float


class Reached(NamedTuple):
    """The value of an objective, and its bound."""

    value: float
    bound: float


def maximize(
    model: MipModel, costs: Costs, start: list[float], time_limit_s: float, seed: int
) -> SolverResult:
    """Maximize the sum of costs, from a feasible start, on one thread."""
    highs = highspy.Highs()  # type: ignore[no-untyped-call]
    highs.setOptionValue("output_flag", False)
    highs.setOptionValue("time_limit", max(time_limit_s, MIN_SOLVE_S))
    highs.setOptionValue("threads", 1)
    highs.setOptionValue("random_seed", seed)
    highs.setOptionValue("mip_rel_gap", RELATIVE_GAP)
    highs.passModel(_to_highs(model, costs))
    given = highspy.HighsSolution()
    given.col_value = start
    highs.setSolution(given)
    highs.run()
    info = highs.getInfo()
    if info.primal_solution_status != int(highspy.SolutionStatus.kSolutionStatusFeasible):
        return SolverResult(None, info.mip_dual_bound)
    return SolverResult(list(highs.getSolution().col_value), info.mip_dual_bound)


def _to_highs(model: MipModel, costs: Costs) -> highspy.HighsLp:
    lp = highspy.HighsLp()
    lp.num_col_, lp.num_row_ = len(model.low), len(model.constraints)
    cost = np.zeros(len(model.low))
    for column, coefficient in costs.items():
        cost[column] = coefficient
    lp.col_cost_ = cost
    lp.col_lower_ = np.array(model.low, dtype=float)
    lp.col_upper_ = np.array(model.high, dtype=float)
    lp.row_lower_ = np.array([row.low for row in model.constraints], dtype=float)
    lp.row_upper_ = np.array([row.high for row in model.constraints], dtype=float)
    lp.integrality_ = [
        highspy.HighsVarType.kInteger if is_integer else highspy.HighsVarType.kContinuous
        for is_integer in model.is_integer
    ]
    lp.sense_ = highspy.ObjSense.kMaximize
    terms = [term for row in model.constraints for term in row.terms]
    lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    lp.a_matrix_.start_ = np.cumsum([0, *(len(row.terms) for row in model.constraints)])
    lp.a_matrix_.index_ = np.array([term.column for term in terms], dtype=np.int32)
    lp.a_matrix_.value_ = np.array([term.coefficient for term in terms], dtype=float)
    return lp


@dataclass(frozen=True)
class SolverAnswer:
    """The solver's allocation.

    Attributes:
        counts: units by island and kind.
        method: `solver`, or `greedy` where the solver had nothing better in time.
        value: the least headroom less what moves cost: the second aim as it is here.
        bound: what the second aim can be at most.
    """

    counts: Counts
    method: str
    value: float
    bound: float

    @property
    def gap(self) -> float:
        """The distance of value and bound, as a part of the bound."""
        return 0.0 if self.bound <= 0 else max(0.0, (self.bound - self.value) / self.bound)


def solve_placement(
    problem: Problem, time_limit_s: float, clock: Callable[[], float], seed: int = 1
) -> SolverAnswer:
    """Choose the counts within about a time limit.

    Args:
        problem: what may be chosen from.
        time_limit_s: seconds of `clock`.
        clock: returns seconds.
        seed: of the solver.
    """
    solution = _StagedSolution(problem, clock, clock() + time_limit_s, seed)
    solution.reach_targets()
    reached = solution.raise_headroom()
    solution.reduce_stranded()
    return SolverAnswer(solution.unit_counts(), solution.method, reached.value, reached.bound)


class _StagedSolution:
    """The best values so far. Each stage improves them under the bounds that the stages before set."""

    def __init__(self, problem: Problem, clock: Callable[[], float], deadline_s: float, seed: int) -> None:
        self.problem, self.seed = problem, seed
        self._clock, self._deadline_s = clock, deadline_s
        self.model, self.variables = build_model(problem)
        self.method = "greedy"
        self.values = values_of(problem, self.model, self.variables, choose_greedily(problem))
        self._kinds = range(len(problem.kinds))

    def unit_counts(self) -> Counts:
        """Return the units by island and kind."""
        return self._read_counts(self.values)

    def _read_counts(self, values: list[float]) -> Counts:
        return [[round(values[column]) for column in columns] for columns in self.variables.units]

    def _prices(self, move: float, change: float) -> Costs:
        """Return the costs of moves and changes."""
        moves = dict.fromkeys(self.variables.removed.values(), -move)
        return moves | dict.fromkeys(self.variables.changed.values(), -change)

    def _improve(self, costs: Costs, time_share: float) -> float:
        """Solve, keep the answer if it is better, and return the bound."""
        time_limit_s = (self._deadline_s - self._clock()) * time_share
        result = maximize(self.model, costs, self.values, time_limit_s, self.seed)
        if result.values is not None and self._is_better(costs, result.values):
            # The counts decide: the columns that depend on them are computed anew, without the solver's
            # tolerance.
            values = values_of(self.problem, self.model, self.variables, self._read_counts(result.values))
            if self._is_better(costs, values):
                self.values, self.method = values, "solver"
        return max(result.bound, _objective(costs, self.values))

    def _is_better(self, costs: Costs, values: list[float]) -> bool:
        return _objective(costs, values) > _objective(costs, self.values) + IMPROVEMENT

    def reach_targets(self) -> None:
        """Reach the first aim, the widest job of each kind.

        It is solved only where the greedy allocation misses a target.
        """
        target_width = self.problem.target_width
        costs = {
            self.variables.widest[k]: TARGET_SCALE / target_width[k] for k in self._kinds if target_width[k]
        }
        if any(self.values[column] < self.model.high[column] for column in costs):
            moves = dict.fromkeys(self.variables.removed.values(), -TARGET_MOVE_PRICE)
            self._improve(costs | moves, TARGET_TIME_SHARE)
        for column in costs:
            self.model.low[column] = self.values[column]

    def raise_headroom(self) -> Reached:
        """Reach the second aim, the least headroom less what moves and changes cost.

        Return its value and its bound.
        """
        kinds = [k for k in self._kinds if any(row[k] for row in self.problem.demand_share)]
        costs = (
            {self.variables.headroom: 1.0}
            | {self.variables.kind_headroom[k]: KIND_HEADROOM_WEIGHT / len(kinds) for k in kinds}
            | self._prices(MOVE_PRICE, CHANGE_PRICE / 2)
        )
        bound = self._improve(costs, HEADROOM_TIME_SHARE)
        value = _objective(costs, self.values)
        terms = (Term(column, coefficient) for column, coefficient in costs.items())
        self.model.add_constraint(value - HEADROOM_SLACK * abs(value), INFINITY, *terms)
        return Reached(value, bound)

    def reduce_stranded(self) -> None:
        """Reach the last aim, slots where a median job fits.

        What fits no such job is better in a bay than in the store, but for that nothing else is given up.
        """
        slots = [float(kind.slots) for kind in self.problem.kinds]
        costs = (
            {column: slots[k] for (_, k), column in self.variables.fitting.items()}
            | {
                columns[k]: STORED_SLOT_WEIGHT * self.problem.kinds[k].slots
                for columns in self.variables.units
                for k in self._kinds
            }
            | self._prices(STRANDED_MOVE_PRICE, STRANDED_CHANGE_PRICE)
        )
        self._improve(costs, STRANDED_TIME_SHARE)


def _objective(costs: Costs, values: list[float]) -> float:
    """Return the sum of costs at these values."""
    return sum(coefficient * values[column] for column, coefficient in costs.items())
