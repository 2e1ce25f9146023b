"""Which audit events a change makes: from the change, and the states before and after it.

Ledgers call it for every change, made or rejected. It does no I/O and changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from msgspec import UNSET, UnsetType

from pathsaddle.placement import audit_events as events
from pathsaddle.placement.audit_events import KEEPER, AuditEvent
from pathsaddle.placement.changes import (
    BeginPlanner,
    Change,
    EndReservation,
    RenewReservations,
    ReplacePlan,
    ReportUnitPulled,
    ReportUnitWarm,
    ReserveBay,
    StartWarmUp,
    WithdrawUnit,
)
from pathsaddle.placement.errors import PlanRejectedError
from pathsaddle.placement.inventory import Island, Unit, UnitState
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import StepAction, is_done

STATE_EVENTS: dict[UnitState, type[events.UnitStateEvent]] = {
    UnitState.INSTALLING: events.UnitInstalling,
    UnitState.COLD: events.UnitCold,
    UnitState.SERVING: events.UnitServing,
    UnitState.FAILING: events.UnitFailing,
    UnitState.WITHDRAWN: events.UnitDraining,
}


@dataclass(frozen=True)
class _Cause:
    """What made a unit change.

    Attributes:
        release_reason: why its bay became free.
        is_report: whether an island reported it; a planner's step made it otherwise.
        base: the base on which the planner reserved.
        current_base: the base when the reservation was made; None: that of the state after the change.
        step: the step's index in the plan.
    """

    release_reason: str = "word"
    is_report: bool = True
    base: int | None = None
    current_base: int | None = None
    step: int | UnsetType = UNSET


REPORT = _Cause()


def opening_events(state: PlacementState) -> list[AuditEvent]:
    """Return the events of a new ledger: all that stands there at first."""
    found: list[AuditEvent] = [_island_limits(island) for island in state.inventory.islands]
    found.append(events.ColdBudget(state.inventory.cold_budget))
    for unit in state.inventory.units:
        found.append(_unit_needs(state, unit))
        if unit.bay:
            before = Unit(unit.name, unit.kind, UnitState.HERE)
            if unit.state is UnitState.SERVING:  # as it must have come about
                for passed in (UnitState.INSTALLING, UnitState.COLD):
                    after = replace(unit, state=passed)
                    found += _unit_events(state, before, after, REPORT)
                    before = after
            found += _unit_events(state, before, unit, REPORT)
    return found


def change_events(change: Change, before: PlacementState, after: PlacementState) -> list[AuditEvent]:
    """Return the events of a change that was made."""
    found = _planner_events(change, before, after)
    cause = _cause(change, before)
    island_by_name = {island.name: island for island in before.inventory.islands}
    for island in after.inventory.islands:
        found += _island_events(island_by_name.get(island.name), island)
    for unit in after.inventory.units:
        old = before.inventory.unit_by_name.get(unit.name)
        if old is None:
            found.append(_unit_needs(after, unit))
        elif old is not unit and old != unit:
            found += _unit_events(after, old, unit, cause)
    return found + _done_events(change, before, after)


def rejection_events(change: Change, before: PlacementState, error: PlanRejectedError) -> list[AuditEvent]:
    """Return the events of a change that was rejected."""
    found: list[AuditEvent] = [events.ChangeRejected(change.event_name, error.reason, str(error))]
    if not isinstance(change, ReserveBay):
        return found
    ticket, plan = change.ticket, before.plan
    if plan is None or ticket.plan_name != plan.name:
        return found
    step = plan.steps[ticket.step_index]
    if step.does is StepAction.ADD:
        island = before.inventory.island_by_bay.get(step.bay)
        found.append(
            events.ReservationRejected(
                unit=step.unit,
                bay=step.bay,
                island=island.name if island else "",
                by=f"p{ticket.number}",
                number=ticket.number,
                revision=ticket.base,
                now=before.inventory.base,
                taken=False,
            )
        )
    return found


def _cause(change: Change, before: PlacementState) -> _Cause:
    if isinstance(change, ReserveBay | WithdrawUnit):
        assert before.plan is not None
        return _Cause(
            is_report=False,
            base=min(change.ticket.base, before.plan.base),
            current_base=before.inventory.base,
            step=change.ticket.step_index,
        )
    return _Cause(release_reason="lease") if isinstance(change, EndReservation) else REPORT


def _planner_events(change: Change, before: PlacementState, after: PlacementState) -> list[AuditEvent]:
    """Return the events of a planner's change itself, without what it did to units."""
    if isinstance(change, BeginPlanner):
        return [events.PlannerBegan(change.number)]
    if isinstance(change, ReplacePlan) and after.plan is not None:
        plan = after.plan
        return [
            events.PlanReplaced(
                plan=plan.name,
                number=plan.number,
                revision=plan.base,
                by=plan.by,
                gap=plan.gap,
                steps=len(plan.steps),
                notes=plan.notes,
            )
        ]
    if isinstance(change, RenewReservations | EndReservation | StartWarmUp):
        return [events.PlannerDid(change.event_name, change.number)]
    if isinstance(change, ReserveBay | WithdrawUnit):
        return [_step_begun(change, before)]
    return []


def _step_begun(change: ReserveBay | WithdrawUnit, before: PlacementState) -> AuditEvent:
    plan, ticket = before.plan, change.ticket
    assert plan is not None
    step = plan.steps[ticket.step_index]
    earlier = [plan.steps[index] for index in step.after]
    return events.StepBegun(
        plan=ticket.plan_name,
        step=ticket.step_index,
        state="begun",
        does="reserve" if isinstance(change, ReserveBay) else "release",
        unit=step.unit,
        bay=step.bay,
        number=ticket.number,
        widest=step.widest,
        target=plan.target,
        why=step.why,
        after=step.after,
        before=[[one.does, one.unit, one.bay] for one in earlier],
    )


def _done_events(change: Change, before: PlacementState, after: PlacementState) -> list[AuditEvent]:
    """Return the events of steps that became done; of a new plan, those that are done already."""
    plan = after.plan
    if plan is None or not isinstance(change, ReportUnitWarm | ReportUnitPulled | ReplacePlan):
        return []
    found: list[AuditEvent] = []
    for index, step in enumerate(plan.steps):
        became_done = isinstance(change, ReplacePlan) or (
            step.unit == change.unit_name and not is_done(before.inventory, step)
        )
        if became_done and is_done(after.inventory, step):
            found.append(
                events.StepDone(
                    plan=plan.name,
                    step=index,
                    state="done",
                    unit=step.unit,
                    does="serve" if step.does is StepAction.ADD else "release",
                    bay=step.bay,
                )
            )
    return found


def _island_limits(island: Island) -> AuditEvent:
    return events.IslandLimits(
        island.name, island.zone, len(island.bays), island.power, island.ports, island.carries
    )


def _island_events(old: Island | None, island: Island) -> list[AuditEvent]:
    if old == island:
        return []
    found = [_island_limits(island)]
    if (old is None or old.up) != island.up:
        found.append(events.IslandBack(island.name) if island.up else events.IslandLost(island.name))
    return found


def _unit_needs(state: PlacementState, unit: Unit) -> AuditEvent:
    kind = state.inventory.kind_by_name[unit.kind]
    return events.UnitNeeds(unit.name, kind.name, kind.slots, kind.power, kind.ports, kind.carries)


def _unit_events(state: PlacementState, old: Unit, unit: Unit, cause: _Cause) -> list[AuditEvent]:
    """Return the events of one unit's change."""
    found: list[AuditEvent] = []
    if old.bay and old.bay != unit.bay:
        if old.state is not UnitState.RESERVED:
            found.append(events.UnitOut(unit.name, old.bay))
        found.append(events.BayReleased(unit.name, old.bay, cause.release_reason))
    if not unit.bay:
        return found
    if old.bay != unit.bay:
        found.append(_bay_reserved(state, unit, cause))
    if (unit.state is not old.state or old.bay != unit.bay) and unit.state in STATE_EVENTS:
        island = state.inventory.island_by_bay[unit.bay].name
        found.append(STATE_EVENTS[unit.state](unit.name, unit.bay, island, cause.step))
    return found


def _bay_reserved(state: PlacementState, unit: Unit, cause: _Cause) -> AuditEvent:
    """Return the event of a unit's new bay.

    What an island found is no planner's doing: it stands under the number that counts.
    """
    number = state.number if cause.is_report else unit.number
    base = state.inventory.base
    return events.BayReserved(
        unit=unit.name,
        bay=unit.bay,
        island=state.inventory.island_by_bay[unit.bay].name,
        by=KEEPER if cause.is_report else f"p{number}",
        number=number,
        taken=True,
        revision=base if cause.base is None else cause.base,
        now=base if cause.current_base is None else cause.current_base,
        is_report=cause.is_report,
    )
