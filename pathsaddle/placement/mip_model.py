"""The allocation as a mixed-integer program: variables and constraints, independent of any solver.

`solver` builds it, adds objectives and bounds, and hands it to HiGHS. The order of columns and rows is part
of the result: HiGHS may answer differently for another order.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from pathsaddle.placement.problem import PER_MILLE, Capacity, Counts, IslandKind, Problem, draw_of

INFINITY = float("inf")
MAX_HEADROOM = 100 * PER_MILLE  # thousandths: more headroom than this is no better
ISLANDS_FOR_TARGET = 2  # a job fits after the loss of any one island if it fits on two


@dataclass(frozen=True)
class Term:
    """One variable of a constraint, with its coefficient."""

    column: int
    coefficient: float


@dataclass(frozen=True)
class Constraint:
    """A sum of terms that must lie between two bounds."""

    low: float
    high: float
    terms: tuple[Term, ...]


@dataclass
class MipModel:
    """Columns (variables with bounds) and rows (constraints)."""

    low: list[float] = field(default_factory=list)
    high: list[float] = field(default_factory=list)
    is_integer: list[bool] = field(default_factory=list)
    constraints: list[Constraint] = field(default_factory=list)

    def add_column(self, low: float, high: float, is_integer: bool = True) -> int:
        """Add a variable; return its index."""
        self.low.append(low)
        self.high.append(high)
        self.is_integer.append(is_integer)
        return len(self.low) - 1

    def add_constraint(self, low: float, high: float, *terms: Term) -> None:
        """Add a constraint; terms whose coefficient is 0 are left out."""
        self.constraints.append(Constraint(low, high, tuple(term for term in terms if term.coefficient)))


@dataclass
class Variables:
    """The columns of a model by their meaning.

    Attributes:
        units: units by island and kind.
        headroom: the least headroom of all, in thousandths.
        widest: by kind, slots of the widest job that fits after the loss of an island, up to the target.
        kind_headroom: by kind, its least headroom.
        fitting: units on islands where a job of median width fits.
        removed: serving units that leave.
        changed: units that differ from what the previous plan wanted.
        is_wide: whether the island counts as one of those that hold the widest job.
        is_fitting: whether a job of median width fits on the island.
    """

    units: list[list[int]]
    headroom: int
    widest: list[int] = field(default_factory=list)
    kind_headroom: list[int] = field(default_factory=list)
    fitting: dict[IslandKind, int] = field(default_factory=dict)
    removed: dict[IslandKind, int] = field(default_factory=dict)
    changed: dict[IslandKind, int] = field(default_factory=dict)
    is_wide: dict[IslandKind, int] = field(default_factory=dict)
    is_fitting: dict[IslandKind, int] = field(default_factory=dict)


class BuiltModel(NamedTuple):
    """A model and the meaning of its columns."""

    model: MipModel
    variables: Variables


def build_model(problem: Problem) -> BuiltModel:
    """Build the constraints that every allocation keeps, and the variables that objectives use."""
    builder = _ModelBuilder(problem)
    for k in range(len(problem.kinds)):
        builder.add_headroom(k)
        builder.add_widest(k)
        for i in builder.islands_for(k):
            builder.add_fitting(i, k)
            builder.add_moves(i, k)
    if not any(map(any, problem.demand_share)):
        builder.model.high[builder.variables.headroom] = 0
    return BuiltModel(builder.model, builder.variables)


class _ModelBuilder:
    """A model under construction: first the counts and what limits them, then each kind's variables."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        self.model = model = MipModel()
        kinds, self.islands = range(len(problem.kinds)), range(len(problem.islands))
        units = [
            [model.add_column(problem.incoming(i, k), self._most(i, k)) for k in kinds] for i in self.islands
        ]
        draws: tuple[Callable[[Capacity], int], ...] = (
            lambda capacity: capacity.power,
            lambda capacity: capacity.ports,
            lambda capacity: capacity.carries,
        )
        for i, limit in enumerate(problem.limits):
            model.add_constraint(-INFINITY, problem.usable_bays[i], *(Term(units[i][k], 1.0) for k in kinds))
            for draw in draws:
                model.add_constraint(
                    -INFINITY,
                    draw(limit),
                    *(Term(units[i][k], float(draw(draw_of(problem.kinds[k])))) for k in kinds),
                )
        for k in kinds:
            model.add_constraint(
                -INFINITY, problem.total_units(k), *(Term(units[i][k], 1.0) for i in self.islands)
            )
        self.variables = Variables(units, headroom=model.add_column(0, MAX_HEADROOM, False))

    def _most(self, i: int, k: int) -> int:
        """Return the most units of kind `k` that may stand on island `i`."""
        problem = self.problem
        if not problem.islands[i].can_hold(problem.kinds[k].name):
            return problem.committed[i][k]
        return max(problem.committed[i][k], min(problem.usable_bays[i], problem.total_units(k)))

    def islands_for(self, k: int) -> list[int]:
        """Return the islands on which units of kind `k` may stand."""
        return [i for i in self.islands if self._most(i, k)]

    def add_headroom(self, k: int) -> None:
        """Bound the headroom of a kind, and with it the least of all."""
        problem, model, variables = self.problem, self.model, self.variables
        sharing = [i for i in self.islands if problem.demand_share[i][k]]
        kind_headroom = model.add_column(0, MAX_HEADROOM if sharing else 0, False)
        variables.kind_headroom.append(kind_headroom)
        if sharing:
            model.add_constraint(0, INFINITY, Term(kind_headroom, 1.0), Term(variables.headroom, -1.0))
        for i in sharing:
            per_unit = problem.kinds[k].slots * PER_MILLE * PER_MILLE / problem.demand_share[i][k]
            model.add_constraint(
                0, INFINITY, Term(variables.units[i][k], per_unit), Term(kind_headroom, -1.0)
            )

    def add_widest(self, k: int) -> None:
        """Bound the widest job that fits after a loss by the slots of at least two islands."""
        problem, model, variables = self.problem, self.model, self.variables
        target = problem.target_width[k]
        widest = model.add_column(0, target, False)
        variables.widest.append(widest)
        if not target:
            return
        islands = self.islands_for(k)
        for i in islands:
            is_wide = variables.is_wide[i, k] = model.add_column(0, 1)
            model.add_constraint(
                -INFINITY,
                target,
                Term(widest, 1.0),
                Term(variables.units[i][k], -float(problem.kinds[k].slots)),
                Term(is_wide, float(target)),
            )
        model.add_constraint(
            ISLANDS_FOR_TARGET, INFINITY, *(Term(variables.is_wide[i, k], 1.0) for i in islands)
        )

    def add_fitting(self, i: int, k: int) -> None:
        """Count the units where a job of median width fits."""
        problem, model, variables = self.problem, self.model, self.variables
        units, slots, most = variables.units[i][k], problem.kinds[k].slots, self._most(i, k)
        fitting = variables.fitting[i, k] = model.add_column(0, most, False)
        model.add_constraint(0, INFINITY, Term(units, 1.0), Term(fitting, -1.0))
        if problem.median_width[k] > slots:
            is_fitting = variables.is_fitting[i, k] = model.add_column(0, 1)
            needed = float(-(-problem.median_width[k] // slots))
            model.add_constraint(0, INFINITY, Term(units, 1.0), Term(is_fitting, -needed))
            model.add_constraint(-INFINITY, 0, Term(fitting, 1.0), Term(is_fitting, -float(most)))

    def add_moves(self, i: int, k: int) -> None:
        """Count the serving units that leave, and the differences from the previous plan."""
        problem, model, variables = self.problem, self.model, self.variables
        units = variables.units[i][k]
        if problem.serving[i][k]:
            removed = variables.removed[i, k] = model.add_column(0, problem.serving[i][k], False)
            model.add_constraint(problem.committed[i][k], INFINITY, Term(units, 1.0), Term(removed, 1.0))
        if problem.previous_wanted is not None:
            previous = problem.previous_wanted[i][k]
            changed = variables.changed[i, k] = model.add_column(0, problem.usable_bays[i] + previous, False)
            model.add_constraint(-previous, INFINITY, Term(changed, 1.0), Term(units, -1.0))
            model.add_constraint(previous, INFINITY, Term(changed, 1.0), Term(units, 1.0))


def values_of(problem: Problem, model: MipModel, variables: Variables, counts: Counts) -> list[float]:
    """Compute the value of every column from the counts alone: a start for the solver."""
    values = [0.0] * len(model.low)
    kinds = range(len(problem.kinds))
    for i, columns in enumerate(variables.units):
        for k in kinds:
            values[columns[k]] = counts[i][k]
    for k in kinds:
        values[variables.kind_headroom[k]] = _kind_headroom(problem, counts, k)
        _set_widest(problem, variables, counts, k, values)
    values[variables.headroom] = min(
        (values[variables.kind_headroom[k]] for k in kinds if any(row[k] for row in problem.demand_share)),
        default=0,
    )
    for (i, k), column in variables.is_fitting.items():
        values[column] = counts[i][k] * problem.kinds[k].slots >= problem.median_width[k]
    for (i, k), column in variables.fitting.items():
        is_fitting = (i, k) not in variables.is_fitting or values[variables.is_fitting[i, k]]
        values[column] = counts[i][k] if is_fitting else 0
    for (i, k), column in variables.removed.items():
        values[column] = max(0, problem.committed[i][k] - counts[i][k])
    if problem.previous_wanted is not None:
        for (i, k), column in variables.changed.items():
            values[column] = abs(counts[i][k] - problem.previous_wanted[i][k])
    return values


def _kind_headroom(problem: Problem, counts: Counts, k: int) -> float:
    """Return the least headroom of one kind, as a fraction of a thousandth as the model has it."""
    headrooms = [
        counts[i][k] * problem.kinds[k].slots * PER_MILLE * PER_MILLE / problem.demand_share[i][k]
        for i in range(len(counts))
        if problem.demand_share[i][k]
    ]
    return min(*headrooms, MAX_HEADROOM) if headrooms else 0


def _set_widest(problem: Problem, variables: Variables, counts: Counts, k: int, values: list[float]) -> None:
    """Set the columns of the widest job: its two islands are those with most units."""
    candidates = [i for i, kind in variables.is_wide if kind == k]
    largest = sorted(candidates, key=lambda i: -counts[i][k])[:ISLANDS_FOR_TARGET]
    for i in largest:
        values[variables.is_wide[i, k]] = 1
    if len(largest) == ISLANDS_FOR_TARGET:
        second = counts[largest[1]][k] * problem.kinds[k].slots
        values[variables.widest[k]] = min(problem.target_width[k], second)
