"""The two clocks of a planner's process, both in ticks. The emulator has clocks of its own."""

from __future__ import annotations

import time

from pathsaddle.scheduler_types import SECOND

NANOSECONDS = 10**9  # of a second


def wall_clock_ticks() -> int:
    """Return the time of day, for the moments of events alone."""
    return time.time_ns() * SECOND // NANOSECONDS


def monotonic_ticks() -> int:
    """Return a clock that nobody sets, and that goes on while the process or the machine is suspended."""
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime_ns(clock) * SECOND // NANOSECONDS
