"""The order of steps from what stands there now to the counts that were chosen.

`planning` calls it. First everything that fails or drains is pulled. Then what can be added is added, and
one unit at a time is withdrawn, the one whose loss takes least from the widest job. A step that withdraws
waits until all steps before it are done; one that adds waits only for what makes its room or brings its
unit, so that units come up side by side. Test:
`test_a_full_fleet_moves_one_at_a_time_and_never_below_the_announced_width`.
"""

from __future__ import annotations

from collections.abc import Iterable
from heapq import heapify, heappop, heappush
from typing import NamedTuple

from pathsaddle.placement.inventory import Inventory, Unit, UnitState
from pathsaddle.placement.plan import Step, StepAction
from pathsaddle.placement.problem import (
    Capacity,
    Counts,
    Figures,
    IslandKind,
    Problem,
    assess,
    draw_of,
    headroom_of,
    widest_after_loss,
)

NO_DEMAND_HEADROOM = 10**9  # thousandths: an island without demand comes after all that have some
NOT_YET_SERVING = "what is still to be installed does not serve yet"

Widths = dict[str, int]  # slots of a job by kind


class OrderedSteps(NamedTuple):
    """The steps, and notes for people."""

    steps: tuple[Step, ...]
    notes: tuple[str, ...]


def order_steps(inventory: Inventory, problem: Problem, counts: Counts) -> OrderedSteps:
    """Order the steps from what stands there now to `counts`."""
    order = _StepOrder(inventory, problem, counts)
    order.pull_leaving()
    while order.simulation.missing or order.simulation.surplus:
        order.add_all_possible()
        if not order.simulation.surplus:
            break
        order.withdraw_one()
    return OrderedSteps(tuple(order.steps), tuple(_notes(inventory, problem, order.simulation, order.final)))


class _Priority(NamedTuple):
    """What is added first: the least. `rank` 0: a target lacks it."""

    rank: int
    value: int
    island: int
    kind: int


class _UnitAtBay(NamedTuple):
    unit: Unit
    bay: str


class _Simulation:
    """What stands where while the steps are put in order."""

    def __init__(self, inventory: Inventory, problem: Problem, counts: Counts) -> None:
        self.problem, self.counts = problem, counts
        self.island_by_bay = inventory.island_by_bay
        self.island_index = {island.name: i for i, island in enumerate(problem.islands)}
        self.kind_index = {kind.name: k for k, kind in enumerate(problem.kinds)}
        self.free_bays = [
            [bay for bay in island.bays if bay not in inventory.unit_by_bay and not inventory.is_blocked(bay)]
            for island in problem.islands
        ]
        self.drawn = [Capacity(0, 0, 0) for _ in problem.islands]
        self.serving = [list(row) for row in problem.serving]
        self.available: list[list[Unit]] = [[] for _ in problem.kinds]
        self.serving_units: dict[IslandKind, list[Unit]] = {}
        self.leaving: list[_UnitAtBay] = []
        for unit in sorted(inventory.units, key=lambda unit: unit.name):
            self._enter(unit)
        for bay, name in inventory.blocked:
            blocking = inventory.unit_by_name.get(name)
            if blocking is not None and blocking.state is UnitState.FAILING and not blocking.bay:
                self.leaving.append(_UnitAtBay(blocking, bay))
        self.missing: dict[IslandKind, int] = {}
        self.surplus: dict[IslandKind, int] = {}
        for i, row in enumerate(counts):
            for k, wanted in enumerate(row):
                if wanted > problem.committed[i][k]:
                    self.missing[i, k] = wanted - problem.committed[i][k]
                elif wanted < problem.committed[i][k]:
                    self.surplus[i, k] = problem.committed[i][k] - wanted

    def _enter(self, unit: Unit) -> None:
        """Put a unit where it stands now."""
        k = self.kind_index[unit.kind]
        if unit.state is UnitState.HERE:
            self.available[k].append(unit)
        elif unit.bay and self.island_by_bay[unit.bay].up:
            i = self.island_index[self.island_by_bay[unit.bay].name]
            self._draw(i, k, 1)
            if unit.state is UnitState.SERVING:
                self.serving_units.setdefault((i, k), []).append(unit)
            elif unit.state in (UnitState.FAILING, UnitState.WITHDRAWN):
                self.leaving.append(_UnitAtBay(unit, unit.bay))

    def _draw(self, i: int, k: int, units: int) -> None:
        """Count what so many more units draw of the island."""
        drawn, draw = self.drawn[i], draw_of(self.problem.kinds[k])
        self.drawn[i] = Capacity(
            drawn.power + units * draw.power,
            drawn.ports + units * draw.ports,
            drawn.carries + units * draw.carries,
        )

    def widest(self) -> Widths:
        """Return the slots of the widest job of each kind that fits whichever one island is lost."""
        return {
            kind.name: widest_after_loss([row[k] * kind.slots for row in self.serving])
            for k, kind in enumerate(self.problem.kinds)
        }

    def can_add(self, i: int, k: int) -> bool:
        """Return whether a unit of the kind is missing on the island, is in the store, and has room."""
        if not (self.missing.get((i, k)) and self.free_bays[i] and self.available[k]):
            return False
        drawn, draw, limit = self.drawn[i], draw_of(self.problem.kinds[k]), self.problem.limits[i]
        return all(before + more <= most for before, more, most in zip(drawn, draw, limit, strict=True))

    def add(self, i: int, k: int) -> _UnitAtBay:
        """Take the next unit and the next free bay; return both."""
        unit, bay = self.available[k].pop(0), self.free_bays[i].pop(0)
        self._draw(i, k, 1)
        self.serving[i][k] += 1
        _take_one(self.missing, i, k)
        return _UnitAtBay(unit, bay)

    def withdraw(self, i: int, k: int) -> Unit:
        """Take a serving unit out of service; it keeps its bay."""
        unit = self.serving_units[i, k].pop()
        self.serving[i][k] -= 1
        _take_one(self.surplus, i, k)
        return unit

    def pull(self, unit: Unit, bay: str) -> None:
        """Free the bay, and put a fit unit into the store."""
        if unit.bay and self.island_by_bay[bay].up:
            i, k = self.island_index[self.island_by_bay[bay].name], self.kind_index[unit.kind]
            self._draw(i, k, -1)
            self.free_bays[i].append(bay)
        if unit.fit:
            self.available[self.kind_index[unit.kind]].append(unit)

    def priority(self, i: int, k: int, shortfall: Widths) -> _Priority:
        """Return what is added first: what a target lacks, nearest island first; then the least headroom."""
        kind, share, units = self.problem.kinds[k], self.problem.demand_share[i][k], self.serving[i][k]
        slots = units * kind.slots
        if (
            shortfall.get(kind.name, 0) > 0
            and self.counts[i][k] * kind.slots >= self.problem.target_width[k] > slots
        ):
            return _Priority(0, -slots, i, k)
        return _Priority(1, headroom_of(self.problem, units, share, k) if share else NO_DEMAND_HEADROOM, i, k)

    def loss(self, i: int, k: int) -> _Priority:
        """Return how far below the target a withdrawal takes the widest job, and who waits for its bay."""
        self.serving[i][k] -= 1
        fall = max(0, self.problem.target_width[k] - self.widest()[self.problem.kinds[k].name])
        self.serving[i][k] += 1
        return _Priority(fall, not any(missing_i == i for missing_i, _ in self.missing), i, k)


def _take_one(units: dict[IslandKind, int], i: int, k: int) -> None:
    """Count one unit less; the entry goes with the last."""
    units[i, k] -= 1
    if not units[i, k]:
        del units[i, k]


class _StepOrder:
    """The steps so far, and what later ones depend on."""

    def __init__(self, inventory: Inventory, problem: Problem, counts: Counts) -> None:
        self.problem = problem
        self.simulation = _Simulation(inventory, problem, counts)
        self.steps: list[Step] = []
        self.final = assess(problem, counts)
        self.target = {kind.name: problem.target_width[k] for k, kind in enumerate(problem.kinds)}
        self._final_widest = {kind.name: self.final.widest[k] for k, kind in enumerate(problem.kinds)}
        self._floor = self.simulation.widest()  # what surely fits, whatever of the steps since is done
        self._bay_freeing_steps: dict[int, list[int]] = {}  # by island, the steps that make room on it
        self._store_step: dict[str, int] = {}  # by unit, the step that brings it into the store
        self._barrier = 0  # the last step that withdrew; the next one waits for it and all since

    def _append(
        self, action: StepAction, at: _UnitAtBay, widest: Widths, reason: str, after: Iterable[int] = ()
    ) -> None:
        """Append a step, with the reason where the widest job is below the target."""
        reasons = []
        for name, width in self.target.items():
            if widest[name] < width:
                final = self._final_widest[name]
                because = (
                    f"no plan reaches more than {final} with what is here"
                    if final <= widest[name]
                    else reason
                )
                reasons.append(f"{name}: {widest[name]} of {width}, {because}")
        step = Step(action, at.unit.name, at.bay, widest, "; ".join(reasons), tuple(sorted(after)))
        self.steps.append(step)

    def pull_leaving(self) -> None:
        """Pull what fails or drains. It serves nothing: only what needs its room waits for it."""
        simulation = self.simulation
        for leaving in simulation.leaving:
            island = simulation.island_by_bay[leaving.bay]
            self._store_step[leaving.unit.name] = len(self.steps)
            if island.up:
                i = simulation.island_index[island.name]
                self._bay_freeing_steps.setdefault(i, []).append(len(self.steps))
            self._append(StepAction.WITHDRAW, leaving, self._floor, NOT_YET_SERVING)
            simulation.pull(leaving.unit, leaving.bay)
        self._barrier = len(self.steps)

    def _shortfall(self, widest: Widths) -> Widths:
        return {name: width - widest[name] for name, width in self.target.items()}

    def add_all_possible(self) -> None:
        """Add every unit that is missing and has room."""
        simulation = self.simulation
        widest = simulation.widest()
        shortfall = self._shortfall(widest)
        heap = [
            simulation.priority(i, k, shortfall) for i, k in simulation.missing if simulation.can_add(i, k)
        ]
        heapify(heap)
        while heap:
            priority = heappop(heap)
            i, k = priority.island, priority.kind
            if not simulation.can_add(i, k):
                continue
            current = simulation.priority(i, k, shortfall)
            if current > priority and heap and current > heap[0]:
                heappush(heap, current)
                continue
            self._add(i, k)
            if shortfall.get(self.problem.kinds[k].name, 0) > 0:
                widest = simulation.widest()
            shortfall = self._shortfall(widest)
            if simulation.can_add(i, k):
                heappush(heap, simulation.priority(i, k, shortfall))

    def _add(self, i: int, k: int) -> None:
        """Add one unit: it waits for what makes room on its island and for what brings it into the store."""
        added = self.simulation.add(i, k)
        after = list(self._bay_freeing_steps.get(i, ()))
        store_step = self._store_step.get(added.unit.name)
        if store_step is not None and store_step not in after:
            after.append(store_step)
        self._append(StepAction.ADD, added, self._floor, NOT_YET_SERVING, after)

    def withdraw_one(self) -> None:
        """Withdraw the unit that takes least from the widest job; it waits for all steps since the last."""
        simulation = self.simulation
        i, k = min(simulation.surplus, key=lambda at: simulation.loss(*at))
        unit = simulation.withdraw(i, k)
        widest = simulation.widest()
        # What does not wait for this step may begin on either side of it.
        self._floor = {name: min(self._floor[name], width) for name, width in widest.items()}
        self._bay_freeing_steps.setdefault(i, []).append(len(self.steps))
        self._store_step[unit.name] = len(self.steps)
        self._append(
            StepAction.WITHDRAW,
            _UnitAtBay(unit, unit.bay),
            widest,
            f"{unit.name} must leave {self.problem.islands[i].name} "
            "before its room or it can be used elsewhere",
            range(self._barrier, len(self.steps)),
        )
        self._barrier = len(self.steps) - 1
        simulation.pull(unit, unit.bay)


def _notes(inventory: Inventory, problem: Problem, simulation: _Simulation, final: Figures) -> list[str]:
    """Say what the plan does not reach, and why."""
    notes = [
        f"{problem.islands[i].name}: {units} of {problem.kinds[k].name} find no room on the way"
        for (i, k), units in simulation.missing.items()
    ]
    for k in range(len(problem.kinds)):
        notes += _kind_notes(problem, simulation, final, k)
    notes += [
        f"bay {bay} is not used: {name} was found there; have it pulled, or say that it is not there"
        for bay, name in inventory.blocked
    ]
    notes += [
        f"{island.name}: more stands there than its limits now allow; nothing is added"
        for island, limits in zip(problem.islands, problem.limits, strict=True)
        if limits > (island.power, island.ports, island.carries)
    ]
    return notes


def _kind_notes(problem: Problem, simulation: _Simulation, final: Figures, k: int) -> list[str]:
    kind, target, widest = problem.kinds[k], problem.target_width[k], final.widest[k]
    notes = []
    if left := len(simulation.available[k]):
        notes.append(f"{left} of {kind.name} stay out: no bay, power, port or switch has room for more")
    if not final.reached[k]:
        total = problem.total_units(k) * kind.slots
        reason = (
            f"two islands need {2 * target}, {total} are here"
            if total < 2 * target
            else "no two islands have room for so many"
        )
        notes.append(f"{kind.name}: {widest} of {target} slots fit after the loss of an island: {reason}")
    if widest < problem.target_width_low[k]:
        low = problem.target_width_low[k]
        notes.append(f"{kind.name}: nor does what is asked for at the low end, {low}, fit")
    return notes
