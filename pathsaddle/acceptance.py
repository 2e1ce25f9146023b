"""How long workers take to accept a posting, and by when a posting should have been accepted. No I/O."""

from __future__ import annotations

from collections import deque

from pathsaddle.scheduler_types import MILLISECOND, SECOND, Posting
from pathsaddle.worker_state import FOREVER, SchemePause

MIN_ACCEPT_TIMEOUT = 150 * MILLISECOND
MAX_ACCEPT_TIMEOUT = SECOND
DELAY_MULTIPLE = 3  # of the longest delay seen
SAMPLE_COUNT = 32
MIN_PAUSE = (
    2 * SECOND
)  # of a scheme at a worker that did not accept a posting; each in a row is twice as long
MAX_PAUSE_DOUBLINGS = 3


def pause_after(posting: Posting, previous: SchemePause | None, now: int) -> SchemePause:
    """Return the pause of a scheme at a worker that has not accepted this posting in time.

    Postings that were sent before a pause began do not lengthen it: all that a stalled worker holds are
    unaccepted at once, for one reason.

    Args:
        posting: The posting that was not accepted.
        previous: The scheme's last pause there; None if the worker has accepted a posting since.
        now: The current time, in ticks.
    """
    if previous is None:
        return SchemePause(now, now + MIN_PAUSE, 1)
    if posting.sent_at <= previous.began_at:
        return previous
    doublings = min(previous.number, MAX_PAUSE_DOUBLINGS)
    return SchemePause(now, now + (MIN_PAUSE << doublings), previous.number + 1)


class AcceptanceDelays:
    """The delays of the last acceptances, of all workers together."""

    def __init__(self) -> None:
        self._delays: deque[int] = deque(maxlen=SAMPLE_COUNT)

    def record(self, delay: int) -> None:
        """Record how long a worker took to accept a posting, in ticks."""
        self._delays.append(delay)

    def record_withdrawal(self, delay: int) -> None:
        """Record how long a worker took to answer the withdrawal of a posting that it had not accepted.

        The acceptance of a withdrawn posting is never read. Without this the timeout would stay too short for
        as long as the way to the workers is slow.
        """
        if delay > max(self._delays, default=0):
            self._delays.append(delay)

    def deadline(self, posting: Posting) -> int:
        """Return the time by which the worker should have accepted the posting.

        Workers report acceptance at once. A worker may serve all schemes but one and look alive by the
        others: a third of one scheme's txns waited for their expiry at such workers.

        Returns:
            A time in ticks; FOREVER for a posting that is accepted, or if no worker has accepted any yet.
        """
        if posting.accepted_at is not None or posting.last_progress_at is not None or not self._delays:
            return FOREVER
        timeout = max(MIN_ACCEPT_TIMEOUT, DELAY_MULTIPLE * max(self._delays))
        return posting.sent_at + min(MAX_ACCEPT_TIMEOUT, timeout)
