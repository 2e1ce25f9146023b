"""The changes of a placement state: what planners do, and what islands and stores report.

A ledger applies them (`Ledger.apply`), one at a time. Each is a value with a pure `apply`; `event_name` is
the name under which audit events store it and the log shows it.

A planner's change is rejected (PlanRejectedError, nothing changed) unless the state's checks allow it. A
report is true whatever any plan says and is never rejected; reported again, it changes nothing and returns
the same state. Where it contradicts the state, the bay is blocked until that is cleared up.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import ClassVar, Protocol

from pathsaddle.placement.errors import PlanRejectedError, RejectionReason
from pathsaddle.placement.inventory import Demand, Inventory, Island, Target, Unit, UnitState
from pathsaddle.placement.placement_state import PlacementState, StepTicket
from pathsaddle.placement.plan import Plan, StepAction

INSIGNIFICANT_CHANGE = 0.1  # demand that differs by this part or by one job ends no plan
INSIGNIFICANT_JOBS = 1


class Change(Protocol):
    """A change of the placement state."""

    event_name: ClassVar[str]

    def apply(self, state: PlacementState) -> PlacementState:
        """Return the state after the change; raise PlanRejectedError if it is not allowed."""


# What planners do.


@dataclass(frozen=True)
class BeginPlanner:
    """A planner begins, with a fencing token that is higher than any before."""

    event_name: ClassVar[str] = "take"
    number: int

    def apply(self, state: PlacementState) -> PlacementState:
        """Make its number the one that counts."""
        if self.number <= state.number:
            raise PlanRejectedError(RejectionReason.NUMBER, f"{self.number} comes after {state.number}")
        return replace(state, number=self.number).with_inventory(state.inventory)


@dataclass(frozen=True)
class ReplacePlan:
    """A plan, as a whole, in place of the one before."""

    event_name: ClassVar[str] = "replaced"
    plan: Plan

    def apply(self, state: PlacementState) -> PlacementState:
        """Make it the current plan."""
        state.check_number(self.plan.number)
        state.check_base(self.plan.base)
        return replace(state, plan=self.plan).with_inventory(state.inventory)


@dataclass(frozen=True)
class ReserveBay:
    """The bay of a step is reserved for its unit, under the planner's number."""

    event_name: ClassVar[str] = "reserve"
    ticket: StepTicket

    def apply(self, state: PlacementState) -> PlacementState:
        """Reserve the bay."""
        step = state.check_step(self.ticket, StepAction.ADD)
        unit = state.unit(step.unit)
        if unit.state is not UnitState.HERE:
            raise PlanRejectedError(RejectionReason.STATE, f"{unit.name} is {unit.state}")
        state.check_bay(unit, step.bay)
        reserved = replace(unit, state=UnitState.RESERVED, bay=step.bay, number=self.ticket.number, renewed=0)
        return state.with_units(reserved)


@dataclass(frozen=True)
class RenewReservations:
    """The leases of all reservations of this planner begin anew."""

    event_name: ClassVar[str] = "renew"
    number: int

    def apply(self, state: PlacementState) -> PlacementState:
        """Count one renewal more for each."""
        state.check_number(self.number)
        return state.with_units(
            *(
                replace(unit, renewed=unit.renewed + 1)
                for unit in state.inventory.units
                if unit.state is UnitState.RESERVED and unit.number == self.number
            )
        )


@dataclass(frozen=True)
class EndReservation:
    """Another planner's reservation ends.

    Its lease certainly ended: this planner saw it stand for the lease since that renewal.

    Attributes:
        number: this planner's fencing token.
        unit_name: the unit.
        renewals: how often the reservation had been renewed when it was seen.
    """

    event_name: ClassVar[str] = "lapse"
    number: int
    unit_name: str
    renewals: int

    def apply(self, state: PlacementState) -> PlacementState:
        """Put the unit back into the store."""
        state.check_number(self.number)
        unit = state.unit(self.unit_name)
        if (
            unit.state is not UnitState.RESERVED
            or unit.renewed != self.renewals
            or unit.number >= self.number
        ):
            raise PlanRejectedError(
                RejectionReason.LEASE,
                f"{unit.name} is {unit.state}, renewed {unit.renewed} times by {unit.number}",
            )
        return state.with_unforeseen(replace(unit, state=UnitState.HERE, bay=""))


@dataclass(frozen=True)
class StartWarmUp:
    """An installed unit may warm up, if the cold budget has room."""

    event_name: ClassVar[str] = "cold"
    number: int
    unit_name: str

    def apply(self, state: PlacementState) -> PlacementState:
        """Make the unit cold."""
        state.check_number(self.number)
        unit = state.unit(self.unit_name)
        if unit.state is not UnitState.INSTALLING:
            raise PlanRejectedError(RejectionReason.STATE, f"{unit.name} is {unit.state}")
        state.check_cold_budget()
        return state.with_units(replace(unit, state=UnitState.COLD))


@dataclass(frozen=True)
class WithdrawUnit:
    """The unit of a step drains; it holds its bay until it is pulled."""

    event_name: ClassVar[str] = "withdraw"
    ticket: StepTicket

    def apply(self, state: PlacementState) -> PlacementState:
        """Take the unit out of service."""
        unit = state.unit(state.check_step(self.ticket, StepAction.WITHDRAW).unit)
        if unit.state not in (UnitState.SERVING, UnitState.FAILING):
            raise PlanRejectedError(RejectionReason.STATE, f"{unit.name} is {unit.state}")
        return state.with_units(replace(unit, state=UnitState.WITHDRAWN))


# What islands and stores report.


@dataclass(frozen=True)
class AddUnits:
    """Units were ordered, or arrived in the store; a batch is one report."""

    event_name: ClassVar[str] = "came"
    units: tuple[Unit, ...]

    def apply(self, state: PlacementState) -> PlacementState:
        """Add those that are new, or that were ordered and are here now."""
        known = state.inventory.unit_by_name
        new = [
            unit
            for unit in self.units
            if unit.name not in known
            or (known[unit.name].state is UnitState.ORDERED and unit.state is not UnitState.ORDERED)
        ]
        if not new:
            return state
        if all(unit.state is UnitState.ORDERED for unit in new):
            return state.with_units(*new)
        return state.with_unforeseen(*new)


@dataclass(frozen=True)
class ReportUnitFound:
    """An island finds this unit in this bay."""

    event_name: ClassVar[str] = "put"
    unit_name: str
    bay: str

    def apply(self, state: PlacementState) -> PlacementState:
        """Install the unit where it was expected or may be; block the bay otherwise."""
        inventory, bay = state.inventory, self.bay
        unit = inventory.unit_by_name.get(self.unit_name)
        if unit is not None and unit.bay == bay:
            if unit.state is UnitState.RESERVED:
                return state.with_units(replace(unit, state=UnitState.INSTALLING))
            return state
        if (bay, self.unit_name) in inventory.blocked:
            return state
        units = []
        if unit is not None and (not unit.bay or unit.state is UnitState.RESERVED):
            if unit.fit and _is_bay_usable(state, unit, bay):
                return state.with_unforeseen(replace(unit, state=UnitState.INSTALLING, bay=bay))
            units.append(replace(unit, state=UnitState.FAILING, bay=""))
        holder = inventory.unit_by_bay.get(bay)
        if holder is not None and holder.state is UnitState.RESERVED:
            units.append(replace(holder, state=UnitState.HERE, bay=""))
        blocked = (*inventory.blocked, (bay, self.unit_name))
        return state.with_unforeseen(*units, inventory=replace(inventory, blocked=blocked))


def _is_bay_usable(state: PlacementState, unit: Unit, bay: str) -> bool:
    """Return whether a unit that was found in a bay may stay there."""
    try:
        state.check_bay(unit, bay)
    except PlanRejectedError:
        return False
    return True


@dataclass(frozen=True)
class ReportUnitWarm:
    """A cold unit is warm, and serves from now on."""

    event_name: ClassVar[str] = "warmed"
    unit_name: str

    def apply(self, state: PlacementState) -> PlacementState:
        """Take it into service."""
        unit = state.inventory.unit_by_name.get(self.unit_name)
        if unit is None or unit.state is not UnitState.COLD:
            return state
        return state.with_units(replace(unit, state=UnitState.SERVING))


@dataclass(frozen=True)
class ReportUnitDead:
    """A unit does not work, wherever it is."""

    event_name: ClassVar[str] = "dead"
    unit_name: str

    def apply(self, state: PlacementState) -> PlacementState:
        """Mark it; one that stands in a bay fails there until it is pulled."""
        unit = state.inventory.unit_by_name.get(self.unit_name)
        if unit is None or not unit.fit:
            return state
        if unit.bay and unit.state is not UnitState.RESERVED:
            return state.with_unforeseen(replace(unit, fit=False, state=UnitState.FAILING))
        return state.with_unforeseen(replace(unit, fit=False, state=UnitState.WITHDRAWN, bay=""))


@dataclass(frozen=True)
class ReportUnitPulled:
    """A unit is out of its bay, or of the bay where it should not have been."""

    event_name: ClassVar[str] = "pulled"
    unit_name: str

    def apply(self, state: PlacementState) -> PlacementState:
        """Free its bay, and put it into the store if it works."""
        inventory = state.inventory
        unit = inventory.unit_by_name.get(self.unit_name)
        blocked = tuple(row for row in inventory.blocked if row[1] != self.unit_name)
        cleared = replace(inventory, blocked=blocked)
        if unit is None or unit.state not in (UnitState.WITHDRAWN, UnitState.FAILING):
            return state if blocked == inventory.blocked else state.with_unforeseen(inventory=cleared)
        if unit.state is UnitState.WITHDRAWN and not unit.bay:
            return state
        pulled = replace(unit, state=UnitState.HERE if unit.fit else UnitState.WITHDRAWN, bay="")
        # What a step withdrew was foreseen; what is pulled otherwise was not.
        if blocked == inventory.blocked and unit.state is UnitState.WITHDRAWN:
            return state.with_units(pulled)
        return state.with_unforeseen(pulled, inventory=cleared)


@dataclass(frozen=True)
class ReportBayCleared:
    """Nothing is in the bay that should not be there."""

    event_name: ClassVar[str] = "cleared"
    bay: str

    def apply(self, state: PlacementState) -> PlacementState:
        """Unblock the bay; a unit that was found there is in the store."""
        inventory = state.inventory
        blocked = tuple(row for row in inventory.blocked if row[0] != self.bay)
        if blocked == inventory.blocked:
            return state
        found = [inventory.unit_by_name.get(name) for bay, name in inventory.blocked if bay == self.bay]
        units = [
            replace(unit, state=UnitState.HERE)
            for unit in found
            if unit is not None and unit.state is UnitState.FAILING and not unit.bay
        ]
        return state.with_unforeseen(*units, inventory=replace(inventory, blocked=blocked))


@dataclass(frozen=True)
class ChangeIsland:
    """An island is new, lost, back, or has other limits."""

    event_name: ClassVar[str] = "island"
    island: Island

    def apply(self, state: PlacementState) -> PlacementState:
        """Take it over. Reservations on a lost island end: that is the island's report."""
        inventory, island = state.inventory, self.island
        island_by_name = {known.name: known for known in inventory.islands}
        if island_by_name.get(island.name) == island:
            return state
        released = [
            replace(unit, state=UnitState.HERE, bay="")
            for unit in inventory.units
            if not island.up and unit.state is UnitState.RESERVED and unit.bay in island.bays
        ]
        island_by_name[island.name] = island
        islands = tuple(island_by_name.values())
        return state.with_unforeseen(*released, inventory=replace(inventory, islands=islands))


@dataclass(frozen=True)
class ChangeDemand:
    """What dispatchers count, and the operator's targets."""

    event_name: ClassVar[str] = "asked"
    demand: tuple[Demand, ...]
    targets: tuple[Target, ...]

    def apply(self, state: PlacementState) -> PlacementState:
        """Take them over; a small change is left until it has grown, so that it ends no plan."""
        if self._is_insignificant(state.inventory):
            return state
        return state.with_unforeseen(
            inventory=replace(state.inventory, demand=self.demand, targets=self.targets)
        )

    def _is_insignificant(self, inventory: Inventory) -> bool:
        if self.targets != inventory.targets:
            return False
        old = {(demand.kind, demand.width): demand.high for demand in inventory.demand}
        new = {(demand.kind, demand.width): demand.high for demand in self.demand}
        return old.keys() == new.keys() and all(
            abs(new[key] - jobs) <= max(INSIGNIFICANT_JOBS, INSIGNIFICANT_CHANGE * jobs)
            for key, jobs in old.items()
        )
