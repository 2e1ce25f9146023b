"""The one clock: tenths of a millisecond of Unix time, stepped by the monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable

from pathsaddle.scheduler_types import SECOND


class Clock:
    """Workers' starts come as Unix time; everything else is measured from here, and must never step back."""

    def __init__(
        self, wall: Callable[[], float] = time.time, steady: Callable[[], float] = time.monotonic
    ) -> None:
        self._steady = steady
        self._offset = wall() - steady()

    def now(self) -> int:
        return int((self._steady() + self._offset) * SECOND)


def seconds(ticks: int) -> float:
    return ticks / SECOND
