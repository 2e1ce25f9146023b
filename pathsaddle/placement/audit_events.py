"""The audit events of a placement state: what each change made true, for checkers (docs/histories.md).

A ledger writes them in the order in which the changes became true. The members of an event are the fields
of its class, in their order, behind `who`; names and order are stored, so they are part of the file format.
`audit_changes` makes them.

Beside the events that all checkers know: `island.lost`, `island.back`; `bay.leave`: the unit takes nothing
new; `bay.fail`; `planner.did`: another change by a planner, with its number. The `revision` and `now` of a
reservation are bases of the inventory.
"""

from __future__ import annotations

from typing import Any, ClassVar

import msgspec
from msgspec import UNSET, UnsetType

KEEPER = "k"  # who writes the events


class AuditEvent(msgspec.Struct, frozen=True):
    """The base of all audit events. `event_name` is stored as `what`."""

    event_name: ClassVar[str]

    def members(self) -> dict[str, Any]:
        """Return the members in the order in which they are stored, without those that are unset."""
        members: dict[str, Any] = msgspec.to_builtins(self)
        return members


class IslandLimits(AuditEvent, frozen=True):
    """An island, at first or after it changed."""

    event_name: ClassVar[str] = "island.limits"
    island: str
    zone: str
    bays: int
    power: int
    ports: int
    carries: int


class IslandLost(AuditEvent, frozen=True):
    """An island is lost or taken down."""

    event_name: ClassVar[str] = "island.lost"
    island: str


class IslandBack(AuditEvent, frozen=True):
    """An island is up again, or new."""

    event_name: ClassVar[str] = "island.back"
    island: str


class ColdBudget(AuditEvent, frozen=True):
    """How many units may be cold at once."""

    event_name: ClassVar[str] = "cold.budget"
    units: int


class UnitNeeds(AuditEvent, frozen=True):
    """A unit that became known, and what it draws."""

    event_name: ClassVar[str] = "unit.needs"
    unit: str
    kind: str
    slots: int
    power: int
    ports: int
    carries: int


class PlannerBegan(AuditEvent, frozen=True):
    """A planner began under a number."""

    event_name: ClassVar[str] = "planner"
    number: int


class PlannerDid(AuditEvent, frozen=True):
    """A planner made a change that has no event of its own."""

    event_name: ClassVar[str] = "planner.did"
    does: str
    number: int


class PlanReplaced(AuditEvent, frozen=True):
    """A new plan is the current one."""

    event_name: ClassVar[str] = "plan.new"
    plan: str
    number: int
    revision: int
    by: str
    gap: float
    steps: int
    notes: tuple[str, ...]


class StepBegun(AuditEvent, frozen=True):
    """A step was begun. `before`: what had to be done before it, as [action, unit, bay]."""

    event_name: ClassVar[str] = "plan.step"
    plan: str
    step: int
    state: str
    does: str
    unit: str
    bay: str
    number: int
    widest: dict[str, int]
    target: dict[str, int]
    why: str
    after: tuple[int, ...]
    before: list[list[str]]


class StepDone(AuditEvent, frozen=True):
    """A step is done."""

    event_name: ClassVar[str] = "plan.step"
    plan: str
    step: int
    state: str
    unit: str
    does: str
    bay: str


class ChangeRejected(AuditEvent, frozen=True):
    """A planner asked for a change and did not get it; nothing was changed."""

    event_name: ClassVar[str] = "refused"
    does: str
    why: str
    more: str


class BayReserved(AuditEvent, frozen=True):
    """A bay was reserved for a unit. `is_report`: an island reported it, no planner asked."""

    event_name: ClassVar[str] = "bay.reserve"
    unit: str
    bay: str
    island: str
    by: str
    number: int
    taken: bool
    revision: int
    now: int
    is_report: bool = msgspec.field(name="word")


class ReservationRejected(AuditEvent, frozen=True):
    """A planner asked for a bay and did not get it."""

    event_name: ClassVar[str] = "bay.reserve"
    unit: str
    bay: str
    island: str
    by: str
    number: int
    revision: int
    now: int
    taken: bool


class UnitOut(AuditEvent, frozen=True):
    """A unit is out of its bay."""

    event_name: ClassVar[str] = "bay.out"
    unit: str
    bay: str


class BayReleased(AuditEvent, frozen=True):
    """A bay is free. `why`: `word`, an island's report; `lease`, the reservation's lease ended."""

    event_name: ClassVar[str] = "bay.release"
    unit: str
    bay: str
    why: str


class UnitStateEvent(AuditEvent, frozen=True):
    """A unit in a bay has a new state. `step`: the step of the plan that a planner took."""

    unit: str
    bay: str
    island: str
    step: int | UnsetType = UNSET


class UnitInstalling(UnitStateEvent, frozen=True):
    """A unit is in its bay."""

    event_name: ClassVar[str] = "bay.install"


class UnitCold(UnitStateEvent, frozen=True):
    """A unit warms up."""

    event_name: ClassVar[str] = "bay.warm"


class UnitServing(UnitStateEvent, frozen=True):
    """A unit serves."""

    event_name: ClassVar[str] = "bay.serve"


class UnitFailing(UnitStateEvent, frozen=True):
    """A unit does not work."""

    event_name: ClassVar[str] = "bay.fail"


class UnitDraining(UnitStateEvent, frozen=True):
    """A unit takes nothing new from now on."""

    event_name: ClassVar[str] = "bay.leave"
