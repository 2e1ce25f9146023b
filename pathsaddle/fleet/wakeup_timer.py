"""The timer of a driver: at most one wake-up is pending, and none during the pause after a failure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pathsaddle.net.service.clock import Clock, seconds

NO_WAKEUP = 1 << 60  # ticks: later than any moment


class WakeupTimer:
    """Calls back at the earliest moment that was asked for.

    Attributes:
        due_at: When it goes off, in ticks, while a wake-up is pending.
        failures: How many wake-ups have failed in a row.
        not_before: The end of the pause after a failed wake-up: datagrams in a burst must not use up all
            tries.
    """

    def __init__(self, clock: Clock, wake: Callable[[], None]) -> None:
        self.clock, self.wake = clock, wake
        self.due_at = NO_WAKEUP
        self.failures = 0
        self.not_before = 0
        self._handle: asyncio.TimerHandle | None = None

    def schedule(self, due: int) -> None:
        """Has the timer go off at `due` at the latest, but not before the pause after a failure is over."""
        due = max(due, self.not_before)
        if self._handle is not None:
            if self.due_at <= due:
                return
            self._handle.cancel()
        self.due_at = due
        delay_seconds = max(0.0, seconds(due - self.clock.now()))
        self._handle = asyncio.get_running_loop().call_later(delay_seconds, self._go_off)

    def cancel(self) -> None:
        """Drops the pending wake-up."""
        if self._handle is not None:
            self._handle.cancel()

    def _go_off(self) -> None:
        self._handle = None
        self.wake()
