"""Where a placement state is kept: the interface that a rollout needs, and a ledger in memory.

`ledger_file` is the ledger that planners' processes share. Only a ledger applies changes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pathsaddle.placement.audit_changes import change_events, opening_events, rejection_events
from pathsaddle.placement.audit_events import AuditEvent
from pathsaddle.placement.changes import Change
from pathsaddle.placement.errors import PlanRejectedError
from pathsaddle.placement.placement_state import PlacementState


class Ledger(Protocol):
    """All that a rollout needs of the place where the state is kept."""

    def read(self) -> PlacementState:
        """Return the state as it is certainly committed."""

    def apply(self, change: Change) -> PlacementState:
        """Make a change and return the state after it; raise PlanRejectedError with nothing changed."""


def _ignore_event(_event: AuditEvent) -> None:
    """Do nothing: nobody wants the events."""


class MemoryLedger:
    """A ledger that ends with its process: for planning alone, and for the emulator.

    Args:
        state: what is placed at first.
        on_event: is called with each audit event.
    """

    def __init__(self, state: PlacementState, on_event: Callable[[AuditEvent], None] = _ignore_event) -> None:
        self.state = state
        self._on_event = on_event
        for event in opening_events(state):
            on_event(event)

    def read(self) -> PlacementState:
        """Return the state."""
        return self.state

    def apply(self, change: Change) -> PlacementState:
        """Make a change and return the state after it; raise PlanRejectedError with nothing changed."""
        before = self.state
        try:
            self.state = change.apply(before)
        except PlanRejectedError as error:
            for event in rejection_events(change, before, error):
                self._on_event(event)
            raise
        if self.state is not before:
            for event in change_events(change, before, self.state):
                self._on_event(event)
        return self.state
