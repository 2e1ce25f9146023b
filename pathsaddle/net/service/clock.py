"""The process's clock: Unix time in ticks of 0.1 ms, advanced by the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable

from pathsaddle.scheduler_types import SECOND


class Clock:
    """Unix time that never steps back.

    Workers report their start times as Unix time, so this clock uses the same epoch. It reads the wall clock
    once, when it is created, and the monotonic clock after that: durations are measured with it as well.
    """

    def __init__(
        self, wall: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._steady = steady
        self._offset = wall() - steady()

    def now(self) -> int:
        """Return the current time in ticks."""
        return int((self._steady() + self._offset) * SECOND)


def seconds(ticks: int) -> float:
    """Convert ticks to seconds."""
    return ticks / SECOND
