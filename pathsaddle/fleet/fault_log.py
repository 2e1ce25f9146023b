"""Defects of ours inside the core of membership: counted, and logged by name with their trace.

Whatever a defect struck is given up alone; `udp_driver.py` says what follows from each.
"""

from __future__ import annotations

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock
from pathsaddle.scheduler_types import SECOND

LOG_INTERVAL_TICKS = SECOND  # between two log lines: defects in between are counted alone


def describe(error: Exception) -> str:
    """Returns an error's class with its text, if it has one."""
    return f"{type(error).__name__}: {error}" if str(error) else type(error).__name__


class FaultLog:
    """Counts defects as `fleet.fault`, and logs those of the core at most once a second."""

    def __init__(self, counters: Counters, clock: Clock) -> None:
        self.counters, self.clock = counters, clock
        self._logged_at = -LOG_INTERVAL_TICKS

    def report(self, step: str, error: Exception, then: str, always: bool = False) -> None:
        """Reports a defect of the core.

        Args:
            step: What was under way.
            error: The defect.
            then: What follows from it.
            always: Whether it is logged however short the last one is ago.
        """
        self.counters.add("fleet.fault")
        now = self.clock.now()
        if always or now - self._logged_at >= LOG_INTERVAL_TICKS:
            self._logged_at = now
            logbook.fault_member(error, step=step, why=describe(error), then=then)

    def report_listener(self, error: Exception, member: str) -> None:
        """Reports a defect of a listener that was told of a member's change."""
        self.counters.add("fleet.fault")
        logbook.fault_hearer(error, member=member, why=describe(error))

    def report_control(self, error: Exception) -> None:
        """Reports a defect while a query at the control address was answered."""
        self.counters.add("fleet.fault")
        logbook.fault_control(error, why=describe(error))
