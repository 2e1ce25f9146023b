"""After a start: open jobs become requests again, and workers are asked about leases in doubt.

The job service runs it once, before it accepts anything. Until it is done, clients get a prompt 503 and
callbacks are held. What a worker's report means is decided by `state_machine`; recovery sends no attempt
itself.
"""

from __future__ import annotations

import asyncio
import contextlib

from pathsaddle.jobs import state_machine
from pathsaddle.jobs.active_job import CALLER_DISCONNECTED, EXPIRED_IN_DOUBT, ActiveJob
from pathsaddle.jobs.cancellation import JobCancellation
from pathsaddle.jobs.completion import JobCompletion
from pathsaddle.jobs.job_context import JobContext
from pathsaddle.jobs.leases import JobLeases
from pathsaddle.jobs.state_machine import JobStateMachine, Lease, LeaseDecision, LeaseReport, Ticks
from pathsaddle.jobs.store_rows import StoredJob
from pathsaddle.net.memory.ledger import Entry, Exchange, KnownSending
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.wire.http import HttpError
from pathsaddle.scheduler_types import MILLISECOND, Outcome, Posting, Semantics

JOBS_PER_SLICE = 100  # jobs taken up between two turns of the event loop
MAX_CONCURRENT_QUERIES = 64  # at a time
NO_TIME_LIMIT: Ticks = 1 << 60  # the attempts of the last run have no timer of their own


class JobRecovery:
    """Takes up the jobs of the last run.

    Attributes:
        stored_jobs: The open jobs as the store was opened with them, until `run` takes them up.
        is_done: Whether all are taken up.
        endpoints_known: Set once the endpoint list has been read.
    """

    def __init__(
        self,
        context: JobContext,
        stored_jobs: list[StoredJob],
        leases: JobLeases,
        completion: JobCompletion,
        cancellation: JobCancellation,
    ) -> None:
        self._host = context.host
        self._registry = context.registry
        self._run_queue = context.run_queue
        self._worker_client = context.worker_client
        self._options = context.options
        self._leases = leases
        self._completion = completion
        self._cancellation = cancellation
        self.stored_jobs = stored_jobs
        self.is_done = False
        self.endpoints_known = asyncio.Event()

    async def run(self, findings: list[str]) -> None:
        """Ask the workers what became of their leases, and then let the decisions go on.

        Args:
            findings: Of jobs whose rows are not what was written; they are logged and set aside.
        """
        begun_at = self._host.clock.now()
        open_jobs = self._register(begun_at)
        for finding in findings:
            logbook.job_set_aside(what=finding)
        doubtful = [job for job in open_jobs if job.machine.leases_in_doubt()]
        if doubtful:
            with contextlib.suppress(TimeoutError):  # after it, the list that we were started with has to do
                async with asyncio.timeout(seconds(self._options.recover_within_ticks)):
                    await self.endpoints_known.wait()
        await self._take_up_doubtful(doubtful)
        for i, job in enumerate(open_jobs):
            if job.machine.is_open and job.entry is None and not job.machine.leases_in_doubt():
                self._take_up_certain(job)
            if i % JOBS_PER_SLICE == 0:
                await asyncio.sleep(0)
        self.is_done = True
        logbook.recovered(
            jobs=len(self._registry.jobs) + self._registry.on_disk_count,
            open=len(open_jobs),
            asked=len(doubtful),
            ms=(self._host.clock.now() - begun_at) // MILLISECOND,
        )

    def _register(self, now: Ticks) -> list[ActiveJob]:
        jobs = [ActiveJob(stored.machine, stored.record) for stored in self.stored_jobs]
        self.stored_jobs = []
        for job in jobs:
            machine = job.machine
            self._registry.add_open(job)
            self._registry.add_key(job)
            machine.expires_at = state_machine.expiry_after_restart(
                machine.accepted_at, machine.expires_at, now
            )
        return jobs

    async def _take_up_doubtful(self, jobs: list[ActiveJob]) -> None:
        gate = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

        async def take_up(job: ActiveJob) -> None:
            """Take up one job when fewer than the most are being taken up."""
            async with gate:
                try:
                    await self._take_up(job)
                except (
                    HttpError,
                    ValueError,
                ):  # its request class is gone: that job alone waits for its worker
                    self._host.start_task(self._wait_for_report(job))

        for i in range(0, len(jobs), JOBS_PER_SLICE):
            await asyncio.gather(*(take_up(job) for job in jobs[i : i + JOBS_PER_SLICE]))

    def _take_up_certain(self, job: ActiveJob) -> None:
        """Take up a job that is known not to run anywhere."""
        if job.machine.is_cancel_requested:
            self._cancellation.finish_interrupted(job)
        elif job.record.key is None:
            self._host.end_job(job, CALLER_DISCONNECTED)  # its connection died with our last run
        else:
            self._run_queue.line_up(job)

    async def _take_up(self, job: ActiveJob) -> None:
        """Ask about each lease of a job in doubt; the workers' reports become the states of its attempts.

        Raises:
            HttpError, ValueError: By today's settings its call is no request any more.
        """
        machine = job.machine
        if machine.is_cancel_requested:
            self._cancellation.finish_interrupted(job)
            return
        entry = self._run_queue.open_entry(job)
        workers = {lease.worker for lease in machine.leases}
        entry.earlier_workers = frozenset(workers.difference(self._host.known))
        attempts = []
        for i, lease in enumerate(machine.leases):
            worker = self._host.known.get(lease.worker)
            if worker is None:
                continue  # its report may still come, as a late result
            attempt = Posting(entry.txn, worker, i, lease.intended_at, accepted_at=lease.intended_at)
            exchange = Exchange(attempt, entry, NO_TIME_LIMIT, sending=KnownSending(), is_accepted=True)
            entry.exchanges.append(exchange)
            attempts.append(attempt)
            if lease.never_ran:
                attempt.outcome = Outcome.MOOT
            elif not await self._take_up_lease(job, exchange, lease):
                self._run_queue.discard_entry(entry)
                return
        for number, attempt in enumerate(attempts):
            attempt.number = number
        self._continue(job, entry, attempts)

    async def _take_up_lease(self, job: ActiveJob, exchange: Exchange, lease: Lease) -> bool:
        """Ask the worker of a lease and act on its report; return whether the job goes on."""
        machine = job.machine
        answer = await self._worker_client.query_lease(machine.job_id, lease)
        if not machine.is_open:  # its result came meanwhile
            return False
        now = self._host.clock.now()
        decision = state_machine.decide_after_restart(answer.report, now, machine.expires_at)
        self._host.counters.add(f"jobs.after_restart.{decision.value}")
        match decision:
            case LeaseDecision.SUCCEED:
                self._completion.succeed(job, answer.result)
                return False
            case LeaseDecision.CLEAR:
                self._leases.clear(machine, lease)
                exchange.posting.outcome = Outcome.MOOT
            case LeaseDecision.DOUBT:
                exchange.posting.outcome = Outcome.RESET
            case LeaseDecision.RESUME | LeaseDecision.ASK_AGAIN:
                self._host.start_task(self._leases.watch(job, exchange, lease))
        return True

    def _continue(self, job: ActiveJob, entry: Entry, attempts: list[Posting]) -> None:
        is_out = any(attempt.is_in_flight for attempt in attempts)
        has_caller = job.record.key is not None
        if not has_caller and not job.machine.leases_in_doubt():
            self._run_queue.discard_entry(entry)
            self._host.end_job(job, CALLER_DISCONNECTED)
        elif not has_caller or (not is_out and self._must_not_run_again(job.machine)):
            # Its caller is gone with our last run and may ask anew, or nobody on the list has it: no more
            # attempts, and whatever is still reported of it counts until its expiry.
            self._run_queue.discard_entry(entry)
            self._host.start_task(self._wait_for_report(job))
        else:
            self._run_queue.run(job, entry, attempts)

    @staticmethod
    def _must_not_run_again(machine: JobStateMachine) -> bool:
        return machine.semantics is not Semantics.REPEATABLE and bool(machine.leases_in_doubt())

    async def _wait_for_report(self, job: ActiveJob) -> None:
        """Wait for a job that nobody on the list has and that may have run: its worker may come back."""
        machine, clock = job.machine, self._host.clock
        while machine.is_open and clock.now() < machine.expires_at - self._options.margin_ticks:
            remaining = max(MILLISECOND, machine.expires_at - clock.now())
            await asyncio.sleep(seconds(min(self._options.lease_ticks, remaining)) / 2)
            for lease in machine.leases_in_doubt():
                if machine.is_open and lease.worker in self._host.known:
                    answer = await self._worker_client.query_lease(machine.job_id, lease)
                    if machine.is_open and answer.report is LeaseReport.DONE:
                        self._completion.succeed(job, answer.result)
        if machine.is_open:
            self._host.end_job(job, EXPIRED_IN_DOUBT)
