"""What there is: kinds, islands with bays, units with their states, demand as intervals. Plain values, never
changed.

Two numbers stand on it all. `revision` grows with every change. `base` grows with each that no plan foresaw:
a unit that comes, is dead or elsewhere, an island that goes, another demand or target. A plan is reckoned on
a base and dies with it; its own steps do not end it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property


class State(StrEnum):
    ORDERED = "ordered"
    HERE = "here"  # in the store, in no bay
    RESERVED = "reserved"  # a bay is kept for it
    INSTALLING = "installing"  # in its bay, by the island's word
    COLD = "cold"
    SERVING = "serving"
    FAILING = "failing"  # in its bay or, with none, found where it should not be
    WITHDRAWN = (
        "withdrawn"  # with a bay: takes nothing new and leaves when what runs on it ends; with none: gone
    )


HOLDS = (State.RESERVED, State.INSTALLING, State.COLD, State.SERVING, State.FAILING, State.WITHDRAWN)
COMING = (State.RESERVED, State.INSTALLING, State.COLD)


@dataclass(frozen=True)
class Kind:
    """Of unit: its slots, and what it draws of an island's power (watts), ports and of what the switches
    carry.
    """

    name: str
    slots: int
    power: int = 0
    ports: int = 0
    carries: int = 0


@dataclass(frozen=True)
class Island:
    """kinds: those that it may hold; none: any. up: not lost or taken down."""

    name: str
    zone: str
    bays: tuple[str, ...]
    power: int
    ports: int
    carries: int
    kinds: tuple[str, ...] = ()
    up: bool = True

    def holds(self, kind: str) -> bool:
        return not self.kinds or kind in self.kinds


@dataclass(frozen=True)
class Unit:
    name: str
    kind: str
    state: State
    bay: str = ""
    number: int = 0  # of the planner that reserved it
    renewed: int = 0  # grows with each renewal of its reservation
    fit: bool = True  # not known to be dead: what is pulled can be put elsewhere


@dataclass(frozen=True)
class Demand:
    """So many large jobs of this kind and width (slots) at once: at least `low`, at most `high`."""

    kind: str
    width: int
    low: int
    high: int


@dataclass(frozen=True)
class Target:
    """A job of so many slots of the kind fits whichever one island is lost."""

    kind: str
    width: int


@dataclass(frozen=True)
class Inventory:
    """blocked: (bay, unit) that was found there and should not be: nothing is put there until it is pulled,
    or there is word that it is not there. cold: how many units may be cold at once (rule 4).
    """

    kinds: tuple[Kind, ...]
    islands: tuple[Island, ...]
    units: tuple[Unit, ...]
    demand: tuple[Demand, ...] = ()
    targets: tuple[Target, ...] = ()
    blocked: tuple[tuple[str, str], ...] = ()
    cold: int = 4
    revision: int = 0
    base: int = 0

    @cached_property
    def kind(self) -> dict[str, Kind]:
        return {kind.name: kind for kind in self.kinds}

    @cached_property
    def island_of(self) -> dict[str, Island]:
        """By bay."""
        return {bay: island for island in self.islands for bay in island.bays}

    @cached_property
    def holder(self) -> dict[str, Unit]:
        """By bay, who holds it, from reservation to removal."""
        return {unit.bay: unit for unit in self.units if unit.bay}

    @cached_property
    def unit(self) -> dict[str, Unit]:
        return {unit.name: unit for unit in self.units}

    def width(self, kind: str, end: str = "high") -> int:
        """The widest job that must fit: the charter's target, else the widest that is asked for at that
        end.
        """
        told = [target.width for target in self.targets if target.kind == kind]
        if told:
            return max(told)
        return max(
            (row.width for row in self.demand if row.kind == kind and getattr(row, end) > 0), default=0
        )

    def usual(self, kind: str) -> int:
        """The width of the middle job asked for."""
        rows = sorted((row.width, row.high) for row in self.demand if row.kind == kind)
        whole, seen = sum(high for _, high in rows), 0
        for width, high in rows:
            seen += high
            if 2 * seen >= whole:
                return width
        return 0


@dataclass(frozen=True)
class Count:
    """What one dispatcher counts of large jobs open at it, and how old that word is (ticks)."""

    member: str
    kind: str
    width: int
    jobs: int
    age: int


def demand(counts: tuple[Count, ...], members: tuple[str, ...], fresh: int, most: int) -> tuple[Demand, ...]:
    """The sum over members, as intervals: one whose word is older than `fresh` ticks, or that never told, may
    have none or as many as `most` of each kind and width that anybody tells (or what it told last, if
    more).
    """
    rows = []
    for kind, width in sorted({(count.kind, count.width) for count in counts}):
        low = high = 0
        told = {count.member: count for count in counts if (count.kind, count.width) == (kind, width)}
        heard = {count.member for count in counts if count.age <= fresh}
        for member in members:
            count = told.get(member)
            if count is not None and count.age <= fresh:
                low, high = low + count.jobs, high + count.jobs
            elif member not in heard:
                high += max(most, count.jobs if count is not None else 0)
        rows.append(Demand(kind, width, low, high))
    return tuple(rows)
