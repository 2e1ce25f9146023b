"""A rollout: what the leading planner does next, from the placement state as it was last read.

`planner` and the emulator carry out its steps; it does no I/O. It keeps almost nothing: what is done is
read off the state, so that a planner that takes over, or comes back after a kill, goes on from what is
there. What it keeps are leases: until when it may certainly have a bay installed without reading the state,
and since when it has seen another planner's reservation stand unrenewed.

Invariant: an island is told to install only before the possible end of the lease, counted by a slow clock
    from before the reservation was asked for; another planner's reservation is ended only after its certain
    end, counted by a fast clock from after it was seen. The clocks need not agree, only not drift by more
    than CLOCK_DRIFT. Test: `test_a_reservation_is_ended_only_after_its_lease_by_the_slower_of_two_clocks`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, NamedTuple

from pathsaddle.placement.changes import (
    Change,
    EndReservation,
    RenewReservations,
    ReserveBay,
    StartWarmUp,
    WithdrawUnit,
)
from pathsaddle.placement.inventory import INCOMING_STATES, Inventory, Unit, UnitState
from pathsaddle.placement.placement_state import PlacementState, StepTicket
from pathsaddle.placement.plan import Plan, StepAction, is_done, must_wait

CLOCK_DRIFT = 0.02  # as for the fleet's leases
RESERVE_AHEAD = 4  # units that are reserved beyond those that may be cold at once


@dataclass(frozen=True)
class RolloutStep:
    """The base of all steps.

    Attributes:
        name: what the planner's output shows as `does`.
        unit: the unit's name; empty: the step is about no single unit.
        bay: the bay's name; empty: the step is about no bay.
    """

    name: ClassVar[str]
    unit: str = ""
    bay: str = ""


@dataclass(frozen=True)
class StopRollout(RolloutStep):
    """A later planner has begun: this one does nothing any more."""

    name: ClassVar[str] = "stop"


@dataclass(frozen=True)
class MakePlan(RolloutStep):
    """There is no plan for this base: make one."""

    name: ClassVar[str] = "plan"


@dataclass(frozen=True)
class LedgerStep(RolloutStep):
    """A step that changes the ledger."""

    def change(self, state: PlacementState, number: int) -> Change:
        """Return the change, for a planner of this number that has read this state."""
        raise NotImplementedError


@dataclass(frozen=True)
class RenewStep(LedgerStep):
    """The planner's own reservations are to be renewed."""

    name: ClassVar[str] = "renew"

    def change(self, state: PlacementState, number: int) -> Change:
        """Return the renewal."""
        return RenewReservations(number)


@dataclass(frozen=True)
class EndReservationStep(LedgerStep):
    """Another planner's reservation, renewed so often, certainly expired."""

    name: ClassVar[str] = "lapse"
    renewals: int = 0

    def change(self, state: PlacementState, number: int) -> Change:
        """Return the end of the reservation."""
        return EndReservation(number, self.unit, self.renewals)


@dataclass(frozen=True)
class StartWarmUpStep(LedgerStep):
    """An installed unit may warm up."""

    name: ClassVar[str] = "cold"

    def change(self, state: PlacementState, number: int) -> Change:
        """Return the start of its warming up."""
        return StartWarmUp(number, self.unit)


@dataclass(frozen=True)
class PlanStep(LedgerStep):
    """A step of the current plan, with its index there."""

    step_index: int = -1

    def ticket(self, state: PlacementState, number: int) -> StepTicket:
        """Return which step is taken, on which state."""
        assert state.plan is not None
        return StepTicket(number, state.inventory.base, state.plan.name, self.step_index)


@dataclass(frozen=True)
class ReserveStep(PlanStep):
    """The bay is to be reserved for the unit."""

    name: ClassVar[str] = "reserve"

    def change(self, state: PlacementState, number: int) -> Change:
        """Return the reservation."""
        return ReserveBay(self.ticket(state, number))


@dataclass(frozen=True)
class WithdrawStep(PlanStep):
    """The unit is to drain."""

    name: ClassVar[str] = "withdraw"

    def change(self, state: PlacementState, number: int) -> Change:
        """Return the withdrawal."""
        return WithdrawUnit(self.ticket(state, number))


@dataclass(frozen=True)
class IslandOrder(RolloutStep):
    """An order to the island of `bay`, given with the planner's number; harmless when repeated."""


@dataclass(frozen=True)
class InstallOrder(IslandOrder):
    """Install the unit in the bay."""

    name: ClassVar[str] = "install"


@dataclass(frozen=True)
class WarmUpOrder(IslandOrder):
    """Warm up the unit."""

    name: ClassVar[str] = "warm"


@dataclass(frozen=True)
class PullOrder(IslandOrder):
    """Pull the unit out of the bay."""

    name: ClassVar[str] = "pull"


class _SeenReservation(NamedTuple):
    """Another planner's reservation as it was first seen."""

    number: int
    renewals: int
    since_ticks: int


class Rollout:
    """The rollout of one planner under one number.

    Args:
        number: the planner's fencing token.
        lease_ticks: how long a reservation stands without renewal.
    """

    def __init__(self, number: int, lease_ticks: int) -> None:
        self.number = number
        self.lease_ticks = lease_ticks
        self.possible_ends: dict[str, int] = {}  # by unit, in ticks: until then it may be installed
        self._seen: dict[str, _SeenReservation] = {}  # by unit

    def certain_lease_ticks(self) -> int:
        """Return after how many ticks a lease is over by any clock."""
        return -int(-self.lease_ticks * (1 + CLOCK_DRIFT) // 1) + 1

    def possible_lease_ticks(self) -> int:
        """Return for how many ticks a lease stands by any clock."""
        return int(self.lease_ticks * (1 - 2 * CLOCK_DRIFT)) - 1

    def on_reserved(self, unit: str, requested_at: int) -> None:
        """Note a reservation that was made or renewed.

        Args:
            unit: its name.
            requested_at: the moment, in ticks, before it was asked for.
        """
        self.possible_ends[unit] = requested_at + self.possible_lease_ticks()

    def on_renewed(self, inventory: Inventory, requested_at: int) -> None:
        """Note that all own reservations in this inventory were renewed."""
        for unit in inventory.units:
            if self._is_own(unit):
                self.on_reserved(unit.name, requested_at)

    def _is_own(self, unit: Unit) -> bool:
        return unit.state is UnitState.RESERVED and unit.number == self.number

    def _may_install(self, unit: Unit, now: int) -> bool:
        return now < self.possible_ends.get(unit.name, now)

    def orders_without_ledger(self, inventory: Inventory, now: int) -> list[IslandOrder]:
        """Return what is done while the ledger cannot be read: installs, while their leases stand."""
        return [
            InstallOrder(unit.name, unit.bay)
            for unit in inventory.units
            if self._is_own(unit) and self._may_install(unit, now)
        ]

    def is_complete(self, state: PlacementState) -> bool:
        """Return whether all steps of the current plan are done, and nothing is on its way in or out."""
        plan, inventory = state.plan, state.inventory
        return (
            plan is not None
            and plan.base == inventory.base
            and all(is_done(inventory, step) for step in plan.steps)
            and not any(
                unit.state in INCOMING_STATES or (unit.state is UnitState.WITHDRAWN and unit.bay)
                for unit in inventory.units
            )
        )

    def due_steps(self, state: PlacementState, now: int) -> list[RolloutStep]:
        """Return what is due, in order.

        Args:
            state: as it was read just now.
            now: ticks of this process's monotonic clock.
        """
        inventory, plan = state.inventory, state.plan
        if state.number > self.number:
            return [StopRollout()]
        steps: list[RolloutStep] = []
        if self._renewal_is_due(inventory, now):
            steps.append(RenewStep())
        self._forget_ended(inventory)
        for unit in inventory.units:
            steps += self._unit_steps(unit, now)
        if plan is None or plan.base != inventory.base:
            return [*steps, MakePlan()]
        return steps + self._plan_steps(inventory, plan)

    def _renewal_is_due(self, inventory: Inventory, now: int) -> bool:
        """Return whether half of an own reservation's lease is over."""
        half_ticks = self.possible_lease_ticks() // 2
        return any(
            self._is_own(unit) and now >= self.possible_ends.get(unit.name, 0) - half_ticks
            for unit in inventory.units
        )

    def _forget_ended(self, inventory: Inventory) -> None:
        """Forget what was seen of other planners' reservations that no longer stand."""
        reserved = {
            unit.name
            for unit in inventory.units
            if unit.state is UnitState.RESERVED and not self._is_own(unit)
        }
        self._seen = {name: seen for name, seen in self._seen.items() if name in reserved}

    def _unit_steps(self, unit: Unit, now: int) -> list[RolloutStep]:
        """Return what is due for a unit whatever the plan is."""
        if self._is_own(unit):
            return [InstallOrder(unit.name, unit.bay)] if self._may_install(unit, now) else []
        if unit.state is UnitState.RESERVED:
            return self._expiry_steps(unit, now)
        if unit.state is UnitState.INSTALLING:
            return [StartWarmUpStep(unit.name, unit.bay)]
        if unit.state is UnitState.COLD:
            return [WarmUpOrder(unit.name, unit.bay)]
        if unit.state is UnitState.WITHDRAWN and unit.bay:
            return [PullOrder(unit.name, unit.bay)]
        return []

    def _expiry_steps(self, unit: Unit, now: int) -> list[RolloutStep]:
        """Watch another planner's reservation; end it when its lease is certainly over."""
        seen = self._seen.get(unit.name)
        if seen is None or (seen.number, seen.renewals) != (unit.number, unit.renewed):
            seen = self._seen[unit.name] = _SeenReservation(unit.number, unit.renewed, now)
        if now >= seen.since_ticks + self.certain_lease_ticks():
            return [EndReservationStep(unit.name, renewals=unit.renewed)]
        return []

    def _plan_steps(self, inventory: Inventory, plan: Plan) -> list[RolloutStep]:
        """Return the steps of the current plan that may begin."""
        steps: list[RolloutStep] = []
        busy = sum(unit.state in (UnitState.RESERVED, UnitState.INSTALLING) for unit in inventory.units)
        for index, step in enumerate(plan.steps):
            unit = inventory.unit_by_name[step.unit]
            if step.does is StepAction.ADD:
                has_capacity = busy < inventory.cold_budget + RESERVE_AHEAD
                if unit.state is UnitState.HERE and has_capacity and not must_wait(inventory, plan, index):
                    steps.append(ReserveStep(unit.name, step.bay, index))
                    busy += 1
            elif is_done(inventory, step):
                continue
            elif unit.state is UnitState.FAILING and not unit.bay:
                # It is where it should not be, and holds nothing.
                steps.append(PullOrder(unit.name, step.bay))
            elif unit.state in (UnitState.SERVING, UnitState.FAILING) and not must_wait(
                inventory, plan, index
            ):
                steps.append(WithdrawStep(unit.name, step.bay, index))
        return steps
