"""An inventory as numbers: what a planner may choose, and the figures by which any choice is judged.

Units of one kind are alike, and so are the bays of one island: the choice is how many units of each kind
stand on each island at the end (`Counts`), not which one in which bay. That is what keeps it small: 200
islands and 10,000 units are some hundred whole numbers, and no two choices differ by names alone.
"""

from __future__ import annotations

from dataclasses import dataclass

from pathsaddle.placement.inventory import COMING, Inventory, Island, Kind, State

Counts = list[list[int]]  # units by island and kind
PER = 1000  # headroom is told in thousandths of the demand


@dataclass(frozen=True)
class Problem:
    islands: tuple[Island, ...]  # those that are up
    kinds: tuple[Kind, ...]
    stay: tuple[tuple[int, ...], ...]  # units that are coming or serving now
    serving: tuple[tuple[int, ...], ...]
    pool: tuple[int, ...]  # units here, in no bay
    rooms: tuple[int, ...]  # bays that can be used once what fails or leaves is pulled
    part: tuple[tuple[int, ...], ...]  # thousandths of slots asked for, at the high end
    part_low: tuple[tuple[int, ...], ...]
    width: tuple[int, ...]
    width_low: tuple[int, ...]
    usual: tuple[int, ...]
    limits: tuple[
        tuple[int, int, int], ...
    ]  # power, ports, what switches carry; where more is held already, that
    last: tuple[tuple[int, ...], ...] | None = None  # what the plan before wanted

    def fits(self, counts: Counts, i: int, k: int) -> bool:
        """One more unit of kind k on island i."""
        row = counts[i]
        if not self.islands[i].holds(self.kinds[k].name) or sum(row) >= self.rooms[i]:
            return False
        power = ports = carries = 0
        for at, kind in enumerate(self.kinds):
            units = row[at] + (at == k)
            power += units * kind.power
            ports += units * kind.ports
            carries += units * kind.carries
        limit = self.limits[i]
        return power <= limit[0] and ports <= limit[1] and carries <= limit[2]

    def least(self, i: int, k: int) -> int:
        """Units of kind k that no plan may take off island i: those on their way."""
        return self.stay[i][k] - self.serving[i][k]


@dataclass(frozen=True)
class Figures:
    """widest: by kind, the slots that the widest job may have whichever one island is lost. headroom: the
    least over islands and kinds of slots against demand, thousandths; None where nothing is asked for.
    stranded: slots on islands where no job of usual width fits, or on none. moves: serving units taken
    elsewhere. changes: against the last plan.
    """

    widest: tuple[int, ...]
    reached: tuple[bool, ...]
    headroom: int | None
    headroom_low: int | None
    stranded: int
    moves: int
    changes: int


def widest(slots: list[int]) -> int:
    """Of one kind, by island: what still fits after the loss of any one, that is, the second largest."""
    first = second = 0
    for one in slots:
        if one > first:
            first, second = one, first
        elif one > second:
            second = one
    return second


def least(problem: Problem, counts: Counts, part: tuple[tuple[int, ...], ...]) -> int | None:
    found: int | None = None
    for i, row in enumerate(part):
        for k, asked in enumerate(row):
            if asked:
                head = counts[i][k] * problem.kinds[k].slots * PER * PER // asked
                found = head if found is None or head < found else found
    return found


def figures(problem: Problem, counts: Counts) -> Figures:
    kinds = range(len(problem.kinds))
    slots = [[row[k] * problem.kinds[k].slots for row in counts] for k in kinds]
    wide = tuple(widest(row) for row in slots)
    fitting = sum(one for k in kinds for one in slots[k] if one >= problem.usual[k])
    whole = sum(
        (problem.pool[k] + sum(row[k] for row in problem.stay)) * problem.kinds[k].slots for k in kinds
    )
    moves = sum(max(0, problem.stay[i][k] - row[k]) for i, row in enumerate(counts) for k in kinds)
    changes = (
        0
        if problem.last is None
        else sum(abs(row[k] - problem.last[i][k]) for i, row in enumerate(counts) for k in kinds) // 2
    )
    return Figures(
        wide,
        tuple(wide[k] >= problem.width[k] for k in kinds),
        least(problem, counts, problem.part),
        least(problem, counts, problem.part_low),
        whole - fitting,
        moves,
        changes,
    )


def problem_of(inventory: Inventory, last: dict[str, dict[str, int]] | None = None) -> Problem:
    """last: units by island and kind that the plan before this one wanted at its end."""
    islands = tuple(island for island in inventory.islands if island.up)
    kinds = inventory.kinds
    at = {island.name: i for i, island in enumerate(islands)}
    of = {kind.name: k for k, kind in enumerate(kinds)}
    stay = [[0] * len(kinds) for _ in islands]
    serving = [[0] * len(kinds) for _ in islands]
    pool = [0] * len(kinds)
    for unit in inventory.units:
        k = of[unit.kind]
        if unit.state is State.HERE:
            pool[k] += 1
        elif unit.bay and (unit.state in COMING or unit.state is State.SERVING):
            i = at.get(inventory.island_of[unit.bay].name)
            if i is not None:
                stay[i][k] += 1
                serving[i][k] += unit.state is State.SERVING
    blocked = {bay: why for bay, why in inventory.blocked}
    # A limit that was lowered below what stands there: nothing is added, and nothing has to go for it.
    rooms = tuple(
        max(sum(bay not in blocked for bay in island.bays), sum(row))
        for island, row in zip(islands, stay, strict=True)
    )
    limits = tuple(
        (
            max(island.power, sum(units * kind.power for units, kind in zip(row, kinds, strict=True))),
            max(island.ports, sum(units * kind.ports for units, kind in zip(row, kinds, strict=True))),
            max(island.carries, sum(units * kind.carries for units, kind in zip(row, kinds, strict=True))),
        )
        for island, row in zip(islands, stay, strict=True)
    )
    parts = {}
    for end in ("low", "high"):
        parts[end] = [[0] * len(kinds) for _ in islands]
        for row in inventory.demand:
            k = of[row.kind]
            # An island's demand is its part, by bays, of the jobs that it could hold: none of what is too wide for it.
            could = [i for i, island in enumerate(islands) if island.holds(row.kind)]
            could = [i for i in could if _most(kinds[k], rooms[i], limits[i]) >= row.width] or could
            bays = sum(rooms[i] for i in could)
            for i in could:
                if bays:
                    # Rounded up: an island's demand is never told as less than it is.
                    parts[end][i][k] += -(-row.width * getattr(row, end) * PER * rooms[i] // bays)
    before = None
    if last is not None:
        before = tuple(
            tuple(last.get(island.name, {}).get(kind.name, 0) for kind in kinds) for island in islands
        )
    return Problem(
        islands,
        kinds,
        _rows(stay),
        _rows(serving),
        tuple(pool),
        rooms,
        _rows(parts["high"]),
        _rows(parts["low"]),
        tuple(inventory.width(kind.name) for kind in kinds),
        tuple(inventory.width(kind.name, "low") for kind in kinds),
        tuple(inventory.usual(kind.name) for kind in kinds),
        limits,
        before,
    )


def _most(kind: Kind, rooms: int, limits: tuple[int, int, int]) -> int:
    """Slots of this kind alone that an island could hold."""
    return kind.slots * min(
        [
            rooms,
            *(
                limit // one
                for limit, one in zip(limits, (kind.power, kind.ports, kind.carries), strict=True)
                if one
            ),
        ]
    )


def _rows(rows: Counts) -> tuple[tuple[int, ...], ...]:
    return tuple(tuple(row) for row in rows)
