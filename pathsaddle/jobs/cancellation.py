"""`DELETE /jobs/ID`: a client wants its job cancelled.

The wish is on disk before it is answered. The job service hands in the calls; recovery takes up wishes of the
last run.
"""

from __future__ import annotations

import asyncio

from pathsaddle.jobs.active_job import CANCELLED_BY_CLIENT, ActiveJob
from pathsaddle.jobs.http_answers import RETRY_WHILE_RECOVERING, send_job, send_refusal
from pathsaddle.jobs.job_context import JobContext
from pathsaddle.jobs.polling import find_own_job
from pathsaddle.jobs.state_machine import CancelRequested, Ticks
from pathsaddle.net.memory.ledger import Answer
from pathsaddle.net.wire.http import Message
from pathsaddle.scheduler_types import SECOND

CANCEL_COMMIT_TIMEOUT: Ticks = (
    SECOND  # for the wish to be on disk; afterwards the client is told to come back
)


class JobCancellation:
    """Cancels jobs at their clients' wish."""

    def __init__(self, context: JobContext) -> None:
        self._host = context.host
        self._registry = context.registry
        self._commits = context.commits
        self._worker_client = context.worker_client

    def take_cancel_call(self, call: Message, answer: Answer) -> None:
        """Answer a wish to cancel with the job as it is then; a job that has ended stays as it is.

        Raises:
            HttpError: There is no such job of this tenant, or the store cannot be read.
        """
        if not self._host.is_recovered:
            send_refusal(answer, "recovering", RETRY_WHILE_RECOVERING)
            return
        job = find_own_job(self._registry, call)
        if job.machine.is_open and not job.machine.is_cancel_requested:
            self._host.start_task(self._cancel(job, answer))
        elif job.end_commit is not None:
            job.end_commit.add_done_callback(lambda _: send_job(answer, job))
        else:
            send_job(answer, job)

    def finish_interrupted(self, job: ActiveJob) -> None:
        """End a job whose client's wish is on disk, and whose dispatcher died before it was met."""
        for lease in job.machine.leases_in_doubt():
            if lease.worker in self._host.known:
                self._host.start_task(self._worker_client.withdraw(job.machine.job_id, lease.worker))
        self._host.end_job(job, CANCELLED_BY_CLIENT)

    async def _cancel(self, job: ActiveJob, answer: Answer) -> None:
        """Record the wish, withdraw what is out and end the job.

        Its last lease shows whether it ran all the same.
        """
        machine, clock = job.machine, self._host.clock
        deadline = clock.now() + CANCEL_COMMIT_TIMEOUT
        if not await self._commits.put_until(deadline, CancelRequested(machine.job_id, clock.now())):
            send_refusal(answer, "the store can't be written")
            return
        if machine.is_open:
            machine.apply(CancelRequested(machine.job_id, clock.now()))
            entry = job.entry
            if entry is not None and not entry.txn.is_closed:
                for exchange in entry.exchanges:
                    attempt = exchange.posting
                    if attempt.is_in_flight and not attempt.is_cancelled:
                        attempt.is_cancelled = True
                        self._host.cancel(attempt)
                self._host.abandon_request(entry.txn)
            end_commit = self._host.end_job(job, CANCELLED_BY_CLIENT)
            if end_commit is not None:
                await asyncio.wait([end_commit])
        send_job(answer, job)
