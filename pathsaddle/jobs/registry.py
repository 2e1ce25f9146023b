"""Which jobs are in memory, what they take there, and the look-ups of all others on disk.

All open jobs are in memory. Of the ended ones memory holds the last, without their calls, up to a bound; the
others are read from the store when they are asked for. Every part of the job service finds jobs here; the
registry changes no job's state.
"""

from __future__ import annotations

from collections import deque

from pathsaddle.jobs.active_job import ActiveJob, JobServiceOptions
from pathsaddle.jobs.errors import STORE_IO_ERRORS
from pathsaddle.jobs.state_machine import InvalidTransitionError, Ticks
from pathsaddle.jobs.store import Store
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.wire.http import HttpError

# Bytes of memory that an ended job takes beside its result (kept/jobs_store.jsonl: 1,460 with a call).
ENDED_JOB_BYTES = 1000
# Bytes of memory that an open job takes beside its call: 2,860 with one of 200 bytes in the dearest of three
# runs at 30,000 (kept/jobs_store-open.jsonl). Beyond the bound that follows, two of three took twice as much
# a job.
OPEN_JOB_BYTES = 3000
MAX_ERROR_TEXT = 200  # characters of an error that a client is shown


class JobRegistry:
    """The jobs in memory, by id and by idempotency key, and the way to those on disk.

    Attributes:
        jobs: By id.
        by_key: By tenant and idempotency key.
        ended: Those in memory whose end is on disk, the oldest first. With all of a month's in memory a
            process took 251 MiB at 100,000 jobs where 192 were configured.
        ended_bytes: What the ended ones take, as estimated.
        open_bytes: What the open ones take, as estimated: it grows with their number and their calls.
        on_disk_count: About how many are on disk alone.
    """

    def __init__(self, store: Store, options: JobServiceOptions, counters: Counters) -> None:
        self._store = store
        self._options = options
        self._counters = counters
        self.jobs: dict[str, ActiveJob] = {}
        self.by_key: dict[tuple[str, str], ActiveJob] = {}
        self.ended: deque[ActiveJob] = deque()
        self.ended_bytes = 0
        self.open_bytes = 0
        self.on_disk_count = store.count_ended()

    @property
    def is_full(self) -> bool:
        """Whether the open jobs take all the memory that is for them."""
        return self.open_bytes >= self._options.open_memory_bytes

    def add_open(self, job: ActiveJob) -> None:
        """Add an open job by its id, and count its memory."""
        self.jobs[job.machine.job_id] = job
        self.open_bytes += OPEN_JOB_BYTES + len(job.record.call)

    def add_key(self, job: ActiveJob) -> None:
        """Add a job that was submitted under an idempotency key by that key."""
        if job.record.key is not None:
            self.by_key[job.record.owner, job.record.key] = job

    def remove_unaccepted(self, job: ActiveJob) -> None:
        """Remove a job whose acceptance the disk refused."""
        if self.jobs.pop(job.machine.job_id, None) is not None:
            self._release_open(job)
        self.by_key.pop((job.record.owner, job.record.key or ""), None)

    def retain_ended(self, job: ActiveJob) -> None:
        """Take over a job whose end is on disk.

        Nothing that was needed to send it stays in memory, and of the ended jobs only the last within the
        bound.
        """
        self._release_open(job)
        job.entry, job.record.call = None, b""
        self.ended.append(job)
        self.ended_bytes += self._ended_size(job)
        while self.ended_bytes > self._options.ended_memory_bytes:
            oldest = self.ended.popleft()
            self.ended_bytes -= self._ended_size(oldest)
            self._evict(oldest)
            self.on_disk_count += 1

    def drop_ended(self, ended_before: Ticks) -> bool:
        """Drop the ended jobs that are past their retention; return whether the store may hold such jobs."""
        expired = [job for job in self.ended if job.machine.ended_at < ended_before]
        self.ended = deque(job for job in self.ended if job.machine.ended_at >= ended_before)
        for job in expired:
            self.ended_bytes -= self._ended_size(job)
            self._evict(job)
        return bool(expired or self.on_disk_count)

    def find(self, job_id: str) -> ActiveJob | None:
        """Return a job from memory or, where it has ended, from disk.

        Raises:
            HttpError: The store cannot be read (503).
        """
        return self.jobs.get(job_id) or self._find_on_disk(job_id)

    def find_ended_by_key(self, owner: str, key: str) -> ActiveJob | None:
        """Return the ended job of an idempotency key from disk.

        One that has not ended is in memory, or its acceptance failed.

        Raises:
            HttpError: The store cannot be read (503).
        """
        if not self.on_disk_count:
            return None
        try:
            job_id = self._store.find_by_key(owner, key)
        except STORE_IO_ERRORS as error:
            raise self._unreadable(error) from None
        return None if job_id is None or job_id in self.jobs else self._find_on_disk(job_id)

    def is_on_disk(self, job_id: str) -> bool:
        """Whether the store holds a job that is not in memory.

        Raises:
            HttpError: The store cannot be read (503).
        """
        try:
            return bool(self.on_disk_count) and self._store.contains(job_id)
        except STORE_IO_ERRORS as error:
            raise self._unreadable(error) from None

    def _find_on_disk(self, job_id: str) -> ActiveJob | None:
        if not self.on_disk_count:
            return None
        self._counters.add("jobs.read_back")
        try:
            stored = self._store.find_ended(job_id)
        except InvalidTransitionError as error:
            logbook.job_set_aside(what=str(error))
            return None
        except STORE_IO_ERRORS as error:
            raise self._unreadable(error) from None
        return None if stored is None else ActiveJob(stored.machine, stored.record)

    def _unreadable(self, error: Exception) -> HttpError:
        self._counters.add("jobs.unread")
        return HttpError(503, f"the store can't be read: {error}"[:MAX_ERROR_TEXT])

    def _release_open(self, job: ActiveJob) -> None:
        self.open_bytes -= OPEN_JOB_BYTES + len(job.record.call)

    def _evict(self, job: ActiveJob) -> None:
        self.jobs.pop(job.machine.job_id, None)
        record = job.record
        if record.key is not None and self.by_key.get((record.owner, record.key)) is job:
            del self.by_key[record.owner, record.key]

    @staticmethod
    def _ended_size(job: ActiveJob) -> int:
        return ENDED_JOB_BYTES + len(job.machine.result)
