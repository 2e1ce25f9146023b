"""What a planner prints: one JSON line an event. docs/placement.md lists them for operators.

`planner` and `commands` write them. The members of an event are the fields of its class, in their order,
behind `who`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import BinaryIO, ClassVar

import msgspec

from pathsaddle.event_log import Event


class PlannerEvent(msgspec.Struct, frozen=True):
    """The base of all events. `event_name` is printed as `what`."""

    event_name: ClassVar[str]


class PlannerStarted(PlannerEvent, frozen=True):
    """The planner's number is the one that counts."""

    event_name: ClassVar[str] = "planner"
    number: int


class PlannerEnded(PlannerEvent, frozen=True):
    """Another number than the planner's counts; the process ends."""

    event_name: ClassVar[str] = "planner.ended"
    why: str
    more: str


class LeadershipLost(PlannerEvent, frozen=True):
    """The lease on the planner's key is over; nothing more happens under this number."""

    event_name: ClassVar[str] = "planner.lost"
    number: int


class PlanningBegan(PlannerEvent, frozen=True):
    """A plan is being made for this base."""

    event_name: ClassVar[str] = "plan.began"
    revision: int
    number: int


class ChangeApplied(PlannerEvent, frozen=True):
    """The ledger was changed."""

    event_name: ClassVar[str] = "did"
    does: str
    unit: str
    bay: str
    number: int


class ChangeRefused(PlannerEvent, frozen=True):
    """The ledger rejected a change, and why."""

    event_name: ClassVar[str] = "refused"
    does: str
    why: str
    unit: str
    number: int


class IslandOrdered(PlannerEvent, frozen=True):
    """An order to an island or its staff."""

    event_name: ClassVar[str] = "order"
    does: str
    unit: str
    bay: str
    number: int


class LedgerUnavailable(PlannerEvent, frozen=True):
    """The ledger cannot be read: nothing new is reserved."""

    event_name: ClassVar[str] = "unheard"
    what: str
    do: str


class EventPrinter:
    """Writes events as lines.

    Args:
        output: a binary stream.
        planner_name: stands in each event as `who`.
        clock: returns ticks of the wall clock.
    """

    def __init__(self, output: BinaryIO, planner_name: str, clock: Callable[[], int]) -> None:
        self._output, self._planner_name, self._clock = output, planner_name, clock

    def write(self, event: PlannerEvent) -> None:
        """Write one event, and flush it."""
        members = {"who": self._planner_name} | msgspec.to_builtins(event)
        line = msgspec.json.encode(Event(self._clock(), event.event_name, members))
        self._output.write(line + b"\n")
        self._output.flush()
