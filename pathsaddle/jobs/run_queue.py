"""The accepted jobs that wait for a slot before the decisions, and the requests that jobs become there.

Only so many jobs stand before the decisions at once, each in a slot; the others wait in the order in which
they were accepted and cost the decisions nothing. Admission and recovery line jobs up, completion releases
slots. The queue never writes to the store.
"""

from __future__ import annotations

from collections import deque

from pathsaddle.jobs.active_job import EXPIRED_NEVER_SENT, ActiveJob, FinalAnswer
from pathsaddle.jobs.job_host import JobHost
from pathsaddle.jobs.state_machine import JobOutcome, Ticks
from pathsaddle.jobs.submitted_call import decode_call
from pathsaddle.net.memory.ledger import Entry
from pathsaddle.net.wire.http import HttpError
from pathsaddle.scheduler_types import Outcome, Posting

MAX_RUNNING_JOBS = (
    512  # before the decisions at once: their cost of a turn grows with all that they have open
)


class RunQueue:
    """The jobs that wait, and the number of those that stand before the decisions.

    Attributes:
        waiting: Accepted jobs that are not before the decisions yet, the oldest first.
        running_count: Jobs before the decisions.
    """

    def __init__(self, host: JobHost, margin_ticks: Ticks) -> None:
        self._host = host
        self._margin_ticks = margin_ticks
        self.waiting: deque[ActiveJob] = deque()
        self.running_count = 0
        self._is_admission_scheduled = False

    def line_up(self, job: ActiveJob) -> None:
        """Add a job behind all that wait."""
        self.waiting.append(job)
        self.admit()

    def admit(self) -> None:
        """Bring the jobs that have waited longest before the decisions while slots are free.

        One that is past its expiry is rejected: it was never sent.
        """
        self._is_admission_scheduled = False
        while self.waiting and self.running_count < MAX_RUNNING_JOBS:
            job = self.waiting.popleft()
            if not job.machine.is_open:
                continue
            if self._is_expired(job, self._host.clock.now()):
                self._host.end_job(job, EXPIRED_NEVER_SENT)
                continue
            try:
                entry = job.entry or self.open_entry(job)
            except (HttpError, ValueError) as error:
                status = getattr(error, "status", 400)
                self._host.end_job(job, FinalAnswer(JobOutcome.FAILED, status, str(error).encode()))
                continue
            entry.earlier_workers = frozenset(lease.worker for lease in job.machine.leases)
            self.run(job, entry, [])

    def schedule_admission(self) -> None:
        """Have `admit` called soon, where a job waits.

        It is not called from here: a thousand jobs past their expiry would each end the next one, in depth.
        """
        if self.waiting and not self._is_admission_scheduled:
            self._is_admission_scheduled = True
            self._host.event_loop.call_soon(self.admit)

    def reject_expired(self, now: Ticks) -> None:
        """Reject the waiting jobs that are past their expiry, and not only when a slot is free."""
        expired = [job for job in self.waiting if self._is_expired(job, now)]
        if expired:
            self.waiting = deque(job for job in self.waiting if not self._is_expired(job, now))
            for job in expired:
                self._host.end_job(job, EXPIRED_NEVER_SENT)

    def open_entry(self, job: ActiveJob) -> Entry:
        """Make a request of a job's stored call and open it in the ledger.

        Raises:
            HttpError, ValueError: By today's settings the call is no request any more.
        """
        call = decode_call(job.record.call)
        request = (job.request_parser or self._host.words).decode_txn(call, self._host.clock.now())
        request.expires_at = job.machine.expires_at - self._margin_ticks
        job.entry, job.request_parser = Entry(request, call, None), None
        self._host.ledger.open(job.entry)
        return job.entry

    def run(self, job: ActiveJob, entry: Entry, attempts: list[Posting]) -> None:
        """Hand a request to the decisions, with the attempts that may still run."""
        if not job.machine.is_open:
            self.discard_entry(entry)
            return
        self.occupy_slot(job)
        self._host.resume_request(entry.txn, attempts)

    def discard_entry(self, entry: Entry) -> None:
        """Close a request that the decisions have never seen, since its job has ended."""
        for exchange in entry.exchanges:
            exchange.posting.outcome = exchange.posting.outcome or Outcome.MOOT
        entry.txn.is_closed = True
        self._host.ledger.close(entry)

    def occupy_slot(self, job: ActiveJob) -> None:
        """Count a job as one before the decisions."""
        job.is_running = True
        self.running_count += 1

    def release_slot(self, job: ActiveJob) -> None:
        """Give back the slot of a job, if it has one."""
        if job.is_running:
            job.is_running = False
            self.running_count -= 1

    def _is_expired(self, job: ActiveJob, now: Ticks) -> bool:
        return now >= job.machine.expires_at - self._margin_ticks
