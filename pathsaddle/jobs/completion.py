"""The one final answer of a job: on disk first, then whoever waits is told.

All parts of the job service end jobs here; nothing that comes later makes another end of one. Completion
never decides how a job ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pathsaddle.jobs.active_job import ActiveJob, FinalAnswer
from pathsaddle.jobs.errors import STORE_IO_ERRORS, StoreFencedError
from pathsaddle.jobs.job_context import JobContext
from pathsaddle.jobs.state_machine import JobEnded, JobOutcome
from pathsaddle.jobs.store_commits import RETRY_INTERVAL
from pathsaddle.jobs.store_writer import resolve
from pathsaddle.net.service.clock import seconds

Notify = Callable[[bool], None]  # told whether the end is on disk; at once where that is not known in time
HTTP_RESULT_UNKNOWN = 500


def notify_nobody(_is_recorded: bool) -> None:
    """Do nothing: nobody waits on a connection for this job."""


class JobCompletion:
    """Ends jobs.

    Attributes:
        last_commit: The commit of the end that an event has just led to, for the callback that must wait for
            it.
    """

    def __init__(self, context: JobContext) -> None:
        self._host = context.host
        self._registry = context.registry
        self._commits = context.commits
        self._run_queue = context.run_queue
        self._polling = context.polling
        self.last_commit: asyncio.Future[None] | None = None

    def end_job(
        self, job: ActiveJob, answer: FinalAnswer, headers: tuple[str, ...] = (), keep: bool = True
    ) -> asyncio.Future[None] | None:
        """Give a job its final answer, unless it has one, and answer the client that waits for it.

        The client is answered when the end is on disk; with 500 where that is not known by the job's expiry
        or can no more be had, as nobody will ever know what became of it here.

        Args:
            job: The job.
            answer: How it ends.
            headers: Of the answer on the client's connection.
            keep: Whether the connection stays open.

        Returns:
            The future that is done once the end is on disk; None where the job had ended before.
        """
        machine = job.machine
        if not machine.is_open:
            return None
        now = self._host.clock.now()
        ended = JobEnded(machine.job_id, now, answer.outcome, answer.status, answer.body)
        machine.apply(ended)
        end_commit = job.end_commit = self.last_commit = self._host.event_loop.create_future()
        self._run_queue.release_slot(job)
        self._host.counters.add(f"jobs.{answer.outcome.value}")
        notify = self._take_client(job, answer, headers, keep)
        self._host.start_task(self._record_end(job, ended, end_commit, notify))
        self._run_queue.schedule_admission()
        return end_commit

    def _take_client(
        self, job: ActiveJob, answer: FinalAnswer, headers: tuple[str, ...], keep: bool
    ) -> Notify:
        """Close the job's request; return what answers the client that waits on its connection."""
        entry = job.entry
        if entry is None:
            return notify_nobody
        self._host.event_loop.call_soon(self._host.ledger.close, entry)
        send, entry.answer = entry.answer, None
        if send is None:
            return notify_nobody

        def notify(is_recorded: bool) -> None:
            """Answer the client that waits."""
            if is_recorded:
                send(answer.status, answer.body, headers, keep)
            else:
                send(HTTP_RESULT_UNKNOWN, b"", (), keep)

        return notify

    def succeed(self, job: ActiveJob, result: bytes) -> None:
        """End a job with a worker's result, also where its lease was given up."""
        entry = job.entry
        if entry is not None and not entry.txn.is_closed and entry.txn.lifecycle is not None:
            self._host.answer_success(entry, result)
            self._host.abandon_request(entry.txn)
        else:
            self.end_job(job, FinalAnswer(JobOutcome.SUCCEEDED, 200, result))

    async def _record_end(
        self, job: ActiveJob, ended: JobEnded, end_commit: asyncio.Future[None], notify: Notify
    ) -> None:
        """Commit the end until it is on disk or the store is lost.

        A caller that waits is told that nothing is known where its expiry comes before the disk is done.
        """
        is_notified = False
        while True:
            commit = self._commits.put(ended)
            if not is_notified:
                await asyncio.wait([commit], timeout=max(0.0, seconds(self._time_left(job))))
                if not commit.done():
                    is_notified = True
                    self._host.counters.add("jobs.unrecorded_in_time")
                    notify(False)
            try:
                await commit
                break
            except StoreFencedError as error:
                if not is_notified:
                    notify(False)
                resolve(end_commit, error)
                return
            except STORE_IO_ERRORS:
                pause = RETRY_INTERVAL if is_notified else max(0, min(RETRY_INTERVAL, self._time_left(job)))
                await asyncio.sleep(seconds(pause))
        job.end_commit = None
        resolve(end_commit, None)
        if not is_notified:
            notify(True)
        self._polling.answer_polls(job)
        self._registry.retain_ended(job)

    def _time_left(self, job: ActiveJob) -> int:
        """Ticks until the job's expiry."""
        return job.machine.expires_at - self._host.clock.now()
