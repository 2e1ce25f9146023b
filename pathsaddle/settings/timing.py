"""Ticks, delays and back-off that servers and subscribers have in common.

No I/O, no state.
"""

from __future__ import annotations

from random import Random

SECOND = 10_000  # ticks
DEFAULT_LEASE_TICKS = 10 * SECOND
ANSWER_TIMEOUT_TICKS = SECOND  # a server answers within it, or the next one is asked
INITIAL_RETRY_TICKS = SECOND  # the first wait before something is asked for again; it doubles with each try
MAX_RETRY_TICKS = 16 * SECOND
NEVER_DUE = 1 << 60  # a due time that no clock reaches
_MAX_DOUBLINGS = 16  # keeps the shift small however often something was tried


def backoff_ticks(rng: Random, tries: int, max_ticks: int) -> int:
    """Draws the wait before the next try.

    Args:
        rng: One draw is taken from it.
        tries: How often it was tried in vain; the wait doubles with each.
        max_ticks: The longest wait.

    Returns:
        Between half of the wait and all of it, in ticks, so that those who failed together do not come back
        together.
    """
    return int(min(max_ticks, INITIAL_RETRY_TICKS << min(tries, _MAX_DOUBLINGS)) * rng.uniform(0.5, 1.0))
