"""The job service's commits: one entry point for all writes, which notices a disk that fails or lags.

Every part of the job service writes through `StoreCommits`. It decides nothing about jobs; the admission asks
it whether new ones can be accepted.
"""

from __future__ import annotations

import asyncio
from collections import deque

from pathsaddle.jobs.errors import STORE_IO_ERRORS, StoreFencedError
from pathsaddle.jobs.state_machine import Ticks
from pathsaddle.jobs.store import Store
from pathsaddle.jobs.store_rows import StoreWrite
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.scheduler_types import MILLISECOND, SECOND

RETRY_INTERVAL: Ticks = SECOND // 10  # between attempts at a commit that failed
FAILING_PERIOD: Ticks = SECOND  # after a failed commit: new jobs are rejected at once
SLOW_AFTER: Ticks = SECOND  # of waiting for one commit: new jobs are rejected
FOREVER: Ticks = 1 << 60  # later than any moment of a process


class StoreCommits:
    """Puts writes into the store and keeps what their commits say of the disk.

    Attributes:
        store: The store.
    """

    def __init__(self, store: Store, clock: Clock, counters: Counters) -> None:
        self.store = store
        self._clock = clock
        self._counters = counters
        self._failing_until: Ticks = 0
        self._pending_since: deque[Ticks] = deque()  # since when commits wait, the oldest first

    def put(self, *writes: StoreWrite) -> asyncio.Future[None]:
        """Return a future that is done once the writes are on disk (`Store.put`)."""
        begun_at = self._clock.now()
        self._pending_since.append(begun_at)
        done = self.store.put(*writes)
        done.add_done_callback(lambda _: self._on_committed(begun_at, done))
        return done

    async def put_until(self, deadline: Ticks, *writes: StoreWrite) -> bool:
        """Put writes again and again until they are on disk, the store is another's, or the deadline comes.

        Returns:
            Whether they are on disk.
        """
        while True:
            try:
                await asyncio.shield(self.put(*writes))
                return True
            except StoreFencedError:
                return False
            except STORE_IO_ERRORS:
                if self._clock.now() + RETRY_INTERVAL >= deadline:
                    return False
                await asyncio.sleep(seconds(RETRY_INTERVAL))

    def is_failing(self, now: Ticks) -> bool:
        """Whether a commit has failed within the last second, or the store is lost."""
        return now < self._failing_until

    def is_slow(self, now: Ticks) -> bool:
        """Whether a commit has waited for over a second."""
        return bool(self._pending_since) and now - self._pending_since[0] > SLOW_AFTER

    def _on_committed(self, begun_at: Ticks, done: asyncio.Future[None]) -> None:
        self._pending_since.remove(begun_at)
        self._counters.most("jobs.commit_ms_most", (self._clock.now() - begun_at) / MILLISECOND)
        if done.cancelled() or (error := done.exception()) is None:
            return
        is_lost = isinstance(error, StoreFencedError)
        if not is_lost and self._clock.now() >= self._failing_until:
            logbook.store_ill(why=error)
        elif is_lost and self._failing_until < FOREVER:
            logbook.store_lost(why=error)
        self._counters.add("jobs.commit_failed")
        self._failing_until = FOREVER if is_lost else self._clock.now() + FAILING_PERIOD
