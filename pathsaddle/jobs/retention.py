"""Once a second: waiting jobs past expiry are rejected, ended ones past retention are deleted.

The job service runs one sweeper for as long as it lives.
"""

from __future__ import annotations

import asyncio

from pathsaddle.jobs.job_context import JobContext
from pathsaddle.jobs.state_machine import Ticks
from pathsaddle.jobs.store_rows import DeleteEndedJobs
from pathsaddle.scheduler_types import SECOND

SWEEP_INTERVAL_SECONDS = 1.0
# The longest between two deletions: an eighth of a month's jobs at once keeps the disk for seconds.
MAX_DELETE_INTERVAL: Ticks = 60 * SECOND
DELETIONS_PER_RETENTION = 8  # where the retention is short


class RetentionSweeper:
    """Removes what is past its time."""

    def __init__(self, context: JobContext) -> None:
        self._host = context.host
        self._registry = context.registry
        self._commits = context.commits
        self._run_queue = context.run_queue
        self._retention_ticks = retention_ticks = context.options.retention_ticks
        self._delete_interval = max(
            SECOND, min(MAX_DELETE_INTERVAL, retention_ticks // DELETIONS_PER_RETENTION)
        )

    async def run(self) -> None:
        """Sweep until it is cancelled."""
        next_delete_at = self._host.clock.now()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            now = self._host.clock.now()
            self._run_queue.reject_expired(now)
            if now < next_delete_at:
                continue
            next_delete_at = now + self._delete_interval
            ended_before = now - self._retention_ticks
            if self._registry.drop_ended(ended_before):
                self._commits.put(DeleteEndedJobs(ended_before))
