"""An inventory as numbers: what a planner may choose, and the figures by which any allocation is assessed.

Units of one kind are alike, and so are the bays of one island. An allocation is therefore how many units of
each kind stand on each island at the end (`Counts`), not which unit in which bay. That keeps it small: 200
islands and 10,000 units are some hundred integers, and no two allocations differ by names alone.

`greedy` and `solver` choose, `plan` orders the steps to what was chosen. Indexes: `i` is an island of
`Problem.islands`, `k` a kind of `Problem.kinds`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from pathsaddle.placement.inventory import (
    INCOMING_STATES,
    DemandEnd,
    Inventory,
    Island,
    Kind,
    UnitState,
    jobs_at,
)

Counts = list[list[int]]  # units by island and kind
IslandKind = tuple[int, int]  # indexes of an island and a kind
Table = tuple[tuple[int, ...], ...]  # values by island and kind
UnitsByIsland = dict[str, dict[str, int]]  # units by the names of island and kind
PER_MILLE = 1000  # headroom and shares of demand are in thousandths


class Allocation(NamedTuple):
    """How many units of each kind stand on each island at the end.

    Attributes:
        counts: units by island and kind at the end.
        method: who chose: `solver`, `greedy`, or a baseline's name.
        gap: distance from the solver's bound, as a part of the bound; 0 where there is none.
    """

    counts: Counts
    method: str
    gap: float


ChooseCounts = Callable[["Problem"], Allocation]


class Capacity(NamedTuple):
    """What an island has, or a unit draws: watts, ports, and capacity of switches."""

    power: int
    ports: int
    carries: int


def draw_of(kind: Kind) -> Capacity:
    """Return what one unit of the kind draws."""
    return Capacity(kind.power, kind.ports, kind.carries)


@dataclass(frozen=True)
class Problem:
    """What a planner may choose from.

    Attributes:
        islands: the islands that are up.
        kinds: all kinds.
        committed: units that are incoming or serving.
        serving: units that serve.
        available: units in the store, by kind.
        usable_bays: bays by island that can be used once what fails or drains is pulled.
        demand_share: thousandths of slots asked for, at the high end.
        demand_share_low: the same at the low end.
        target_width: slots of the widest job that must fit, by kind.
        target_width_low: the same at the low end of demand.
        median_width: slots of the middle job asked for, by kind.
        limits: the islands' limits; where more is held already, that.
        previous_wanted: what the plan before wanted; None: there was none.
    """

    islands: tuple[Island, ...]
    kinds: tuple[Kind, ...]
    committed: Table
    serving: Table
    available: tuple[int, ...]
    usable_bays: tuple[int, ...]
    demand_share: Table
    demand_share_low: Table
    target_width: tuple[int, ...]
    target_width_low: tuple[int, ...]
    median_width: tuple[int, ...]
    limits: tuple[Capacity, ...]
    previous_wanted: Table | None = None

    def has_capacity(self, counts: Counts, i: int, k: int) -> bool:
        """Return whether one more unit of kind `k` can stand on island `i`."""
        row = counts[i]
        if not self.islands[i].can_hold(self.kinds[k].name) or sum(row) >= self.usable_bays[i]:
            return False
        power = ports = carries = 0
        for at, kind in enumerate(self.kinds):
            units = row[at] + (at == k)
            power += units * kind.power
            ports += units * kind.ports
            carries += units * kind.carries
        limit = self.limits[i]
        return power <= limit.power and ports <= limit.ports and carries <= limit.carries

    def incoming(self, i: int, k: int) -> int:
        """Return the units of kind `k` on their way to island `i`: no plan may take them off it."""
        return self.committed[i][k] - self.serving[i][k]

    def total_units(self, k: int) -> int:
        """Return all units of kind `k` that a plan can count on."""
        return self.available[k] + sum(row[k] for row in self.committed)


@dataclass(frozen=True)
class Figures:
    """How good an allocation is.

    Attributes:
        widest: by kind, slots of the widest job that fits whichever one island is lost.
        reached: by kind, whether that reaches the target.
        headroom: the least over islands and kinds of slots against demand, in thousandths; None without
            demand.
        headroom_low: the same against the low end of demand.
        stranded: slots on islands where no job of median width fits, or on none.
        moves: serving units that are taken elsewhere.
        changes: units that the previous plan wanted elsewhere.
    """

    widest: tuple[int, ...]
    reached: tuple[bool, ...]
    headroom: int | None
    headroom_low: int | None
    stranded: int
    moves: int
    changes: int


def widest_after_loss(slots: list[int]) -> int:
    """Return what still fits after the loss of any one island: the second largest of one kind's slots."""
    first = second = 0
    for one in slots:
        if one > first:
            first, second = one, first
        elif one > second:
            second = one
    return second


def headroom_of(problem: Problem, units: int, share: int, k: int) -> int:
    """Return the headroom of so many units of kind `k` against a share of demand, in thousandths."""
    return units * problem.kinds[k].slots * PER_MILLE * PER_MILLE // share


def least_headroom(problem: Problem, counts: Counts, demand_share: Table) -> int | None:
    """Return the least headroom over islands and kinds, in thousandths; None without demand."""
    return min(
        (
            headroom_of(problem, counts[i][k], share, k)
            for i, row in enumerate(demand_share)
            for k, share in enumerate(row)
            if share
        ),
        default=None,
    )


def assess(problem: Problem, counts: Counts) -> Figures:
    """Compute the figures of an allocation."""
    kinds = range(len(problem.kinds))
    slots = [[row[k] * problem.kinds[k].slots for row in counts] for k in kinds]
    widest = tuple(widest_after_loss(row) for row in slots)
    fitting = sum(one for k in kinds for one in slots[k] if one >= problem.median_width[k])
    total = sum(problem.total_units(k) * problem.kinds[k].slots for k in kinds)
    moves = sum(max(0, problem.committed[i][k] - row[k]) for i, row in enumerate(counts) for k in kinds)
    changes = 0
    if problem.previous_wanted is not None:
        previous = problem.previous_wanted
        changes = sum(abs(row[k] - previous[i][k]) for i, row in enumerate(counts) for k in kinds) // 2
    return Figures(
        widest=widest,
        reached=tuple(widest[k] >= problem.target_width[k] for k in kinds),
        headroom=least_headroom(problem, counts, problem.demand_share),
        headroom_low=least_headroom(problem, counts, problem.demand_share_low),
        stranded=total - fitting,
        moves=moves,
        changes=changes,
    )


def build_problem(inventory: Inventory, previous_wanted: UnitsByIsland | None = None) -> Problem:
    """Turn an inventory into numbers.

    Args:
        inventory: what there is.
        previous_wanted: the units that the plan before this one wanted at its end.
    """
    islands = tuple(island for island in inventory.islands if island.up)
    kinds = inventory.kinds
    committed, serving, available = _count_units(inventory, islands)
    blocked = {bay for bay, _ in inventory.blocked}
    # Where a limit was lowered below what stands there, nothing is added, and nothing has to leave for it.
    usable_bays = tuple(
        max(sum(bay not in blocked for bay in island.bays), sum(row))
        for island, row in zip(islands, committed, strict=True)
    )
    limits = tuple(_limits(island, row, kinds) for island, row in zip(islands, committed, strict=True))
    previous = None
    if previous_wanted is not None:
        previous = tuple(
            tuple(previous_wanted.get(island.name, {}).get(kind.name, 0) for kind in kinds)
            for island in islands
        )
    return Problem(
        islands=islands,
        kinds=kinds,
        committed=_as_table(committed),
        serving=_as_table(serving),
        available=tuple(available),
        usable_bays=usable_bays,
        demand_share=_share_demand(inventory, islands, usable_bays, limits, DemandEnd.HIGH),
        demand_share_low=_share_demand(inventory, islands, usable_bays, limits, DemandEnd.LOW),
        target_width=tuple(inventory.target_width(kind.name) for kind in kinds),
        target_width_low=tuple(inventory.target_width(kind.name, DemandEnd.LOW) for kind in kinds),
        median_width=tuple(inventory.median_width(kind.name) for kind in kinds),
        limits=limits,
        previous_wanted=previous,
    )


class _UnitCounts(NamedTuple):
    committed: Counts
    serving: Counts
    available: list[int]


def _count_units(inventory: Inventory, islands: tuple[Island, ...]) -> _UnitCounts:
    """Count the units of the islands and of the store."""
    kinds = inventory.kinds
    island_index = {island.name: i for i, island in enumerate(islands)}
    kind_index = {kind.name: k for k, kind in enumerate(kinds)}
    found = _UnitCounts(
        [[0] * len(kinds) for _ in islands], [[0] * len(kinds) for _ in islands], [0] * len(kinds)
    )
    for unit in inventory.units:
        k = kind_index[unit.kind]
        if unit.state is UnitState.HERE:
            found.available[k] += 1
        elif unit.bay and (unit.state in INCOMING_STATES or unit.state is UnitState.SERVING):
            i = island_index.get(inventory.island_by_bay[unit.bay].name)
            if i is not None:
                found.committed[i][k] += 1
                found.serving[i][k] += unit.state is UnitState.SERVING
    return found


def _limits(island: Island, row: list[int], kinds: tuple[Kind, ...]) -> Capacity:
    """Return the island's limits, or what its units draw where that is more."""
    return Capacity(
        max(island.power, sum(units * kind.power for units, kind in zip(row, kinds, strict=True))),
        max(island.ports, sum(units * kind.ports for units, kind in zip(row, kinds, strict=True))),
        max(island.carries, sum(units * kind.carries for units, kind in zip(row, kinds, strict=True))),
    )


def _share_demand(
    inventory: Inventory,
    islands: tuple[Island, ...],
    usable_bays: tuple[int, ...],
    limits: tuple[Capacity, ...],
    end: DemandEnd,
) -> Table:
    """Share the demand among islands, by bays, in thousandths of slots.

    An island has a part of those jobs only that it could hold: none of what is too wide for it.
    """
    kind_index = {kind.name: k for k, kind in enumerate(inventory.kinds)}
    shares = [[0] * len(inventory.kinds) for _ in islands]
    for demand in inventory.demand:
        k = kind_index[demand.kind]
        allowed = [i for i, island in enumerate(islands) if island.can_hold(demand.kind)]
        wide_enough = [
            i for i in allowed if _most_slots(inventory.kinds[k], usable_bays[i], limits[i]) >= demand.width
        ]
        sharing = wide_enough or allowed
        bays = sum(usable_bays[i] for i in sharing)
        for i in sharing:
            if bays:
                # Rounded up, so that an island's demand is never reckoned as less than it is.
                shares[i][k] += -(-demand.width * jobs_at(demand, end) * PER_MILLE * usable_bays[i] // bays)
    return _as_table(shares)


def _most_slots(kind: Kind, bays: int, limits: Capacity) -> int:
    """Return the slots of this kind alone that an island could hold."""
    most_by_limit = [limit // draw for limit, draw in zip(limits, draw_of(kind), strict=True) if draw]
    return kind.slots * min([bays, *most_by_limit])


def _as_table(rows: Counts) -> Table:
    return tuple(tuple(row) for row in rows)
