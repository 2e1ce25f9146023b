"""The clock that leases are reckoned by, and the incarnations drawn from the wall clock.

The driver uses both.
"""

from __future__ import annotations

import time
from random import Random

from pathsaddle.consensus.messages import Incarnation, Ticks

NANOSECONDS_PER_TICK = 100_000
INCARNATION_RANDOM_BITS = 20  # below the milliseconds, so that two machines do not draw the same


def monotonic_ticks() -> Ticks:
    """Return the ticks of the monotonic clock that goes on while the machine sleeps."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_TICK


def next_incarnation(previous: Incarnation, rng: Random) -> Incarnation:
    """Return an incarnation above the previous one that no other process has.

    It is made of the milliseconds of the wall clock and of random bits.
    """
    milliseconds = time.time_ns() // 1_000_000
    drawn = milliseconds << INCARNATION_RANDOM_BITS | rng.randrange(1 << INCARNATION_RANDOM_BITS)
    return max(previous + 1, drawn)
