"""A plan: how many units of each kind each island is to have, as steps in an order in which large jobs fit
all the way.

Bound: at each step the widest job of each kind fits as the target says, whichever one island is lost, or the
plan said beforehand that it cannot, how wide a job then fits, and why. Reckoned with what serves alone: what
is on its way counts when it serves. What adds comes first, then what takes least away; a step that takes away
waits until all before it are done, one that adds only for what makes its room or brings its unit.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from pathsaddle.placement.inventory import Inventory, State, Unit
from pathsaddle.placement.problem import PER, Counts, Problem, figures, problem_of, widest

PLACE, WITHDRAW = "place", "withdraw"


@dataclass(frozen=True)
class Step:
    """place: reserve, install, warm and serve `unit` in `bay`. withdraw: it takes nothing new and leaves
    `bay`. widest: by kind, slots of the widest job that surely fits from this step's beginning on until the
    next one that withdraws, whichever island is lost: what is placed between them is not counted, since it
    comes up side by side. why: where that is less than the target. after: the steps that must be done before
    it may begin.
    """

    does: str
    unit: str
    bay: str
    widest: dict[str, int]
    why: str = ""
    after: tuple[int, ...] = ()


@dataclass(frozen=True)
class Plan:
    """name: unique. wanted: units by island and kind at the end. reaches: by kind, what fits then, whichever
    island is lost. by, gap: as the answer says. notes: for people.
    """

    name: str
    number: int
    base: int
    steps: tuple[Step, ...]
    wanted: dict[str, dict[str, int]]
    target: dict[str, int]
    reaches: dict[str, int]
    by: str
    gap: float
    notes: tuple[str, ...] = ()


def done(inventory: Inventory, step: Step) -> bool:
    unit = inventory.unit.get(step.unit)
    if unit is None:
        return False
    if step.does == PLACE:
        return unit.bay == step.bay and unit.state is State.SERVING
    return unit.bay != step.bay and (step.bay, step.unit) not in inventory.blocked


def waits(inventory: Inventory, plan: Plan, at: int) -> bool:
    """Step `at` must not begin yet."""
    return any(not done(inventory, plan.steps[before]) for before in plan.steps[at].after)


class _Sim:
    """What stands where while the steps are put in order."""

    def __init__(self, inventory: Inventory, problem: Problem, counts: Counts) -> None:
        self.problem, self.counts = problem, counts
        self.kinds = range(len(problem.kinds))
        at = {island.name: i for i, island in enumerate(problem.islands)}
        of = {kind.name: k for k, kind in enumerate(problem.kinds)}
        blocked = {bay: unit for bay, unit in inventory.blocked}
        self.free = [
            [bay for bay in island.bays if bay not in inventory.holder and bay not in blocked]
            for island in problem.islands
        ]
        self.draws = [[0, 0, 0] for _ in problem.islands]
        self.now = [list(row) for row in problem.serving]
        self.pool: list[list[Unit]] = [[] for _ in self.kinds]
        self.there: dict[tuple[int, int], list[Unit]] = {}
        self.leaving: list[tuple[Unit, str]] = []
        for unit in sorted(inventory.units, key=lambda unit: unit.name):
            k = of[unit.kind]
            if unit.state is State.HERE:
                self.pool[k].append(unit)
            elif unit.bay and inventory.island_of[unit.bay].up:
                i = at[inventory.island_of[unit.bay].name]
                self.draw(i, k, 1)
                if unit.state is State.SERVING:
                    self.there.setdefault((i, k), []).append(unit)
                elif unit.state in (State.FAILING, State.WITHDRAWN):
                    self.leaving.append((unit, unit.bay))
        for bay, name in inventory.blocked:
            if (
                name in inventory.unit
                and inventory.unit[name].state is State.FAILING
                and not inventory.unit[name].bay
            ):
                self.leaving.append((inventory.unit[name], bay))
        self.of, self.at, self.island_of = of, at, inventory.island_of
        self.todo = {
            (i, k): counts[i][k] - problem.stay[i][k]
            for i in range(len(counts))
            for k in self.kinds
            if counts[i][k] > problem.stay[i][k]
        }
        self.over = {
            (i, k): problem.stay[i][k] - counts[i][k]
            for i in range(len(counts))
            for k in self.kinds
            if counts[i][k] < problem.stay[i][k]
        }

    def draw(self, i: int, k: int, by: int) -> None:
        kind = self.problem.kinds[k]
        for at, one in enumerate((kind.power, kind.ports, kind.carries)):
            self.draws[i][at] += by * one

    def widest(self) -> dict[str, int]:
        return {
            kind.name: widest([row[k] * kind.slots for row in self.now])
            for k, kind in enumerate(self.problem.kinds)
        }

    def can(self, i: int, k: int) -> bool:
        kind, limit = self.problem.kinds[k], self.problem.limits[i]
        return bool(self.todo.get((i, k)) and self.free[i] and self.pool[k]) and all(
            drawn + one <= most
            for drawn, one, most in zip(
                self.draws[i], (kind.power, kind.ports, kind.carries), limit, strict=True
            )
        )

    def place(self, i: int, k: int) -> tuple[str, str]:
        unit, bay = self.pool[k].pop(0), self.free[i].pop(0)
        self.draw(i, k, 1)
        self.now[i][k] += 1
        self.todo[i, k] -= 1
        if not self.todo[i, k]:
            del self.todo[i, k]
        return unit.name, bay

    def pulled(self, unit: Unit, bay: str) -> None:
        if unit.bay and self.island_of[bay].up:
            i, k = self.at[self.island_of[bay].name], self.of[unit.kind]
            self.draw(i, k, -1)
            self.free[i].append(bay)
        if unit.fit:
            self.pool[self.of[unit.kind]].append(unit)

    def key(self, i: int, k: int, short: dict[str, int]) -> tuple[int, int, int, int]:
        """What is placed first: what a target still lacks, on the islands nearest to it; then the least
        headroom.
        """
        kind, part = self.problem.kinds[k], self.problem.part[i][k]
        slots = self.now[i][k] * kind.slots
        lacks = (
            short.get(kind.name, 0) > 0 and self.counts[i][k] * kind.slots >= self.problem.width[k] > slots
        )
        return (0, -slots, i, k) if lacks else (1, slots * PER * PER // part if part else 10**9, i, k)


def steps_of(
    inventory: Inventory, problem: Problem, counts: Counts
) -> tuple[tuple[Step, ...], tuple[str, ...]]:
    """(steps, notes): from what is there to `counts`."""
    sim = _Sim(inventory, problem, counts)
    steps: list[Step] = []
    notes: list[str] = []
    target = {kind.name: problem.width[k] for k, kind in enumerate(problem.kinds)}
    final = figures(problem, counts)
    last = {kind.name: final.widest[k] for k, kind in enumerate(problem.kinds)}

    def add(
        does: str, unit: str, bay: str, wide: dict[str, int], because: str, after: Iterable[int] = ()
    ) -> None:
        short = [name for name, width in target.items() if wide[name] < width]
        why = "; ".join(
            f"{name}: {wide[name]} of {target[name]}, "
            + (
                f"no plan reaches more than {last[name]} with what is here"
                if last[name] <= wide[name]
                else because
            )
            for name in short
        )
        steps.append(Step(does, unit, bay, wide, why, tuple(sorted(after))))

    floor = sim.widest()
    frees: dict[int, list[int]] = {}  # by island, the steps that make room on it
    out: dict[str, int] = {}  # unit: the step that brings it out
    for unit, bay in sim.leaving:
        # It serves nothing: nothing that does waits for it but what needs its room.
        out[unit.name] = len(steps)
        if sim.island_of[bay].up:
            frees.setdefault(sim.at[sim.island_of[bay].name], []).append(len(steps))
        add(WITHDRAW, unit.name, bay, floor, "what is still to be installed does not serve yet")
        sim.pulled(unit, bay)
    barrier = len(steps)  # since the last step that took something away, itself among them
    while sim.todo or sim.over:
        wide = sim.widest()
        short = {name: width - wide[name] for name, width in target.items()}
        heap = [sim.key(i, k, short) for i, k in sim.todo if sim.can(i, k)]
        heapify(heap)
        while heap:
            was = heappop(heap)
            i, k = was[2], was[3]
            if not sim.can(i, k):
                continue
            if (again := sim.key(i, k, short)) > was and heap and again > heap[0]:
                heappush(heap, again)
                continue
            name, bay = sim.place(i, k)
            add(
                PLACE,
                name,
                bay,
                floor,
                "what is still to be installed does not serve yet",
                [
                    *frees.get(i, ()),
                    *([out[name]] if name in out and out[name] not in frees.get(i, ()) else ()),
                ],
            )
            wide = sim.widest() if short.get(problem.kinds[k].name, 0) > 0 else wide
            short = {name: width - wide[name] for name, width in target.items()}
            if sim.can(i, k):
                heappush(heap, sim.key(i, k, short))
        if not sim.over:
            break

        def lost(at: tuple[int, int]) -> tuple[int, bool, int, int]:
            """How far below the target it takes the widest job; then whether somebody waits for that room."""
            i, k = at
            sim.now[i][k] -= 1
            fall = max(0, problem.width[k] - sim.widest()[problem.kinds[k].name])
            sim.now[i][k] += 1
            return fall, not any(j == i for j, _ in sim.todo), i, k

        i, k = min(sim.over, key=lost)
        unit = sim.there[i, k].pop()
        sim.now[i][k] -= 1
        sim.over[i, k] -= 1
        if not sim.over[i, k]:
            del sim.over[i, k]
        wide = sim.widest()
        # What does not wait for this step may begin on either side of it.
        floor = {name: min(floor[name], one) for name, one in wide.items()}
        frees.setdefault(i, []).append(len(steps))
        out[unit.name] = len(steps)
        add(
            WITHDRAW,
            unit.name,
            unit.bay,
            wide,
            f"{unit.name} must leave {problem.islands[i].name} before its room or it can be used elsewhere",
            range(barrier, len(steps)),
        )
        barrier = len(steps) - 1
        sim.pulled(unit, unit.bay)
    for i, k in sim.todo:
        notes.append(
            f"{problem.islands[i].name}: {sim.todo[i, k]} of {problem.kinds[k].name} find no room on the way"
        )
    for k, kind in enumerate(problem.kinds):
        if left := len(sim.pool[k]):
            notes.append(f"{left} of {kind.name} stay out: no bay, power, port or switch has room for more")
        if not final.reached[k]:
            whole = (problem.pool[k] + sum(row[k] for row in problem.stay)) * kind.slots
            notes.append(
                f"{kind.name}: {final.widest[k]} of {problem.width[k]} slots fit after the loss of an island: "
                + (
                    f"two islands need {2 * problem.width[k]}, {whole} are here"
                    if whole < 2 * problem.width[k]
                    else "no two islands have room for so many"
                )
            )
        if final.widest[k] < problem.width_low[k]:
            notes.append(
                f"{kind.name}: nor does what is asked for at the low end, {problem.width_low[k]}, fit"
            )
    for bay, name in inventory.blocked:
        notes.append(
            f"bay {bay} is not used: {name} was found there; have it pulled, or say that it is not there"
        )
    for island, limits in zip(problem.islands, problem.limits, strict=True):
        if limits > (island.power, island.ports, island.carries):
            notes.append(f"{island.name}: more stands there than its limits now allow; nothing is added")
    return tuple(steps), tuple(notes)


def plan_of(
    inventory: Inventory,
    number: int,
    last: Plan | None,
    choose: Callable[[Problem], tuple[Counts, str, float]],
) -> Plan:
    """choose: from a problem to (counts, by whom, distance from the bound)."""
    problem = problem_of(inventory, None if last is None else last.wanted)
    counts, by, gap = choose(problem)
    steps, notes = steps_of(inventory, problem, counts)
    return Plan(
        f"{number}/{inventory.base}",
        number,
        inventory.base,
        steps,
        {
            island.name: {kind.name: counts[i][k] for k, kind in enumerate(problem.kinds)}
            for i, island in enumerate(problem.islands)
        },
        {kind.name: problem.width[k] for k, kind in enumerate(problem.kinds)},
        dict(zip((kind.name for kind in problem.kinds), figures(problem, counts).widest, strict=True)),
        by,
        gap,
        notes,
    )
