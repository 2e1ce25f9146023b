"""The inventory: kinds, islands with bays, units with their states, demand as intervals, targets.

Every module of the package reads these values; `placement_state` makes new ones. They are immutable and
know no rules: `invariants` has those. The fields of Kind, Island, Unit, Demand and Target are stored as
JSON in the ledger under their names, so the names are part of the file format.

Two numbers belong to an inventory. `revision` grows with every change. `base` grows with every change that
no plan foresaw: a unit that arrives, dies or is found elsewhere, an island that is lost, other demand or
targets. A plan is made for one base and ends with it; the plan's own steps do not end it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property

DEFAULT_COLD_BUDGET = 4  # units; what an inventory file has that does not say `cold`


class UnitState(StrEnum):
    """The state of a unit. The values are stored in the ledger and stand in inventory files."""

    ORDERED = "ordered"
    HERE = "here"  # in the store, in no bay
    RESERVED = "reserved"  # a bay is reserved for it
    INSTALLING = "installing"  # in its bay, as the island reported
    COLD = "cold"  # warming up
    SERVING = "serving"
    FAILING = "failing"  # in its bay; with no bay: found where it should not be
    WITHDRAWN = "withdrawn"  # with a bay: draining there; with no bay: out of use


BAY_HOLDING_STATES = (
    UnitState.RESERVED,
    UnitState.INSTALLING,
    UnitState.COLD,
    UnitState.SERVING,
    UnitState.FAILING,
    UnitState.WITHDRAWN,
)
INCOMING_STATES = (UnitState.RESERVED, UnitState.INSTALLING, UnitState.COLD)


@dataclass(frozen=True)
class Kind:
    """A kind of unit.

    Attributes:
        name: unique among kinds.
        slots: how many slots of a job one unit has.
        power: watts that one unit draws of its island.
        ports: ports of its island that one unit takes.
        carries: what one unit takes of the capacity of its island's switches.
    """

    name: str
    slots: int
    power: int = 0
    ports: int = 0
    carries: int = 0


@dataclass(frozen=True)
class Island:
    """A set of bays that one fast interconnect joins.

    Attributes:
        name: unique among islands.
        zone: the failure zone, for people and checkers.
        bays: the names of its bays.
        power: the limit in watts.
        ports: the limit of ports.
        carries: the capacity of its switches.
        kinds: the kinds that it may hold; empty: any.
        up: false while it is lost or taken down.
    """

    name: str
    zone: str
    bays: tuple[str, ...]
    power: int
    ports: int
    carries: int
    kinds: tuple[str, ...] = ()
    up: bool = True

    def can_hold(self, kind: str) -> bool:
        """Return whether units of this kind may stand on the island."""
        return not self.kinds or kind in self.kinds


@dataclass(frozen=True)
class Unit:
    """One unit of hardware.

    Attributes:
        name: unique among units.
        kind: the name of its kind.
        state: its state.
        bay: the bay that it holds; empty: none.
        number: the fencing token of the planner that reserved the bay.
        renewed: how often the reservation was renewed.
        fit: false once it is known to be dead; a fit unit can be used again after it was pulled.
    """

    name: str
    kind: str
    state: UnitState
    bay: str = ""
    number: int = 0
    renewed: int = 0
    fit: bool = True


@dataclass(frozen=True)
class Demand:
    """The large jobs of a kind and width (slots) asked for at once: from `low` to `high` of them."""

    kind: str
    width: int
    low: int
    high: int


@dataclass(frozen=True)
class Target:
    """A job of `width` slots of the kind is to fit whichever one island is lost."""

    kind: str
    width: int


class DemandEnd(StrEnum):
    """An end of the intervals of demand: the name of the field of Demand."""

    LOW = "low"
    HIGH = "high"


def jobs_at(demand: Demand, end: DemandEnd) -> int:
    """Return the number of jobs at one end of the interval."""
    return demand.low if end is DemandEnd.LOW else demand.high


@dataclass(frozen=True)
class Inventory:
    """All that there is, at one revision.

    Attributes:
        kinds: all kinds.
        islands: all islands, up or not.
        units: all units, in the order in which they became known.
        demand: the large jobs that are asked for.
        targets: the operator's targets.
        blocked: (bay, unit) of a unit that was found there and should not be: nothing is put into the bay
            until the unit is pulled or the bay is reported as cleared.
        cold_budget: how many units may be cold at once.
        revision: grows with every change.
        base: grows with every change that no plan foresaw.
    """

    kinds: tuple[Kind, ...]
    islands: tuple[Island, ...]
    units: tuple[Unit, ...]
    demand: tuple[Demand, ...] = ()
    targets: tuple[Target, ...] = ()
    blocked: tuple[tuple[str, str], ...] = ()
    cold_budget: int = DEFAULT_COLD_BUDGET
    revision: int = 0
    base: int = 0

    @cached_property
    def kind_by_name(self) -> dict[str, Kind]:
        """Kinds by their names."""
        return {kind.name: kind for kind in self.kinds}

    @cached_property
    def island_by_bay(self) -> dict[str, Island]:
        """The island of each bay."""
        return {bay: island for island in self.islands for bay in island.bays}

    @cached_property
    def unit_by_bay(self) -> dict[str, Unit]:
        """The unit that holds each bay, from its reservation until it is pulled."""
        return {unit.bay: unit for unit in self.units if unit.bay}

    @cached_property
    def unit_by_name(self) -> dict[str, Unit]:
        """Units by their names."""
        return {unit.name: unit for unit in self.units}

    def is_blocked(self, bay: str) -> bool:
        """Return whether a unit was found in the bay that should not be there."""
        return any(blocked_bay == bay for blocked_bay, _ in self.blocked)

    def target_width(self, kind: str, end: DemandEnd = DemandEnd.HIGH) -> int:
        """Return the width in slots of the widest job of the kind that must fit.

        It is the operator's target; without one, the widest job that is asked for at that end of the
        interval.
        """
        targets = [target.width for target in self.targets if target.kind == kind]
        if targets:
            return max(targets)
        return max(
            (demand.width for demand in self.demand if demand.kind == kind and jobs_at(demand, end) > 0),
            default=0,
        )

    def median_width(self, kind: str) -> int:
        """Return the width in slots of the middle job of the kind that is asked for; 0 without demand."""
        jobs_by_width = sorted((demand.width, demand.high) for demand in self.demand if demand.kind == kind)
        total, seen = sum(high for _, high in jobs_by_width), 0
        for width, high in jobs_by_width:
            seen += high
            if 2 * seen >= total:
                return width
        return 0


@dataclass(frozen=True)
class JobCount:
    """The large jobs of one kind and width that are open at one dispatcher.

    Attributes:
        member: the dispatcher.
        kind: the kind of unit that the jobs need.
        width: slots of each job.
        jobs: how many.
        age_ticks: how old the count is.
    """

    member: str
    kind: str
    width: int
    jobs: int
    age_ticks: int


def sum_demand(
    counts: tuple[JobCount, ...], members: tuple[str, ...], max_age_ticks: int, max_jobs: int
) -> tuple[Demand, ...]:
    """Sum the members' counts as intervals.

    Args:
        counts: the last count of each member, kind and width.
        members: all members, also those that never reported.
        max_age_ticks: a member without a count that is as fresh as this is unknown.
        max_jobs: an unknown member may have none, or as many as this of each kind and width that anybody
            reports (or what it reported last, if that is more).
    """
    demand = []
    for kind, width in sorted({(count.kind, count.width) for count in counts}):
        low = high = 0
        count_by_member = {
            count.member: count for count in counts if (count.kind, count.width) == (kind, width)
        }
        fresh_members = {count.member for count in counts if count.age_ticks <= max_age_ticks}
        for member in members:
            count = count_by_member.get(member)
            if count is not None and count.age_ticks <= max_age_ticks:
                low, high = low + count.jobs, high + count.jobs
            elif member not in fresh_members:
                high += max(max_jobs, count.jobs if count is not None else 0)
        demand.append(Demand(kind, width, low, high))
    return tuple(demand)
