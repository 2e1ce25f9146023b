"""Leases of running jobs: recorded before an attempt, renewed by signs of life, asked for after silence.

The job service calls `JobLeases` around each attempt. What a worker's report means is decided by
`state_machine`; leases from before a restart are taken up by `recovery`.
"""

from __future__ import annotations

import asyncio

from pathsaddle.jobs import state_machine
from pathsaddle.jobs.active_job import ActiveJob
from pathsaddle.jobs.job_context import JobContext
from pathsaddle.jobs.state_machine import (
    JobStateMachine,
    Lease,
    LeaseCleared,
    LeaseDecision,
    LeaseIntended,
    Ticks,
)
from pathsaddle.jobs.worker_client import LeaseAnswer
from pathsaddle.net.memory.ledger import Exchange
from pathsaddle.net.service.clock import seconds
from pathsaddle.scheduler_types import MILLISECOND, Outcome


class JobLeases:
    """The leases that are out."""

    def __init__(self, context: JobContext) -> None:
        self._host = context.host
        self._registry = context.registry
        self._commits = context.commits
        self._polling = context.polling
        self._worker_client = context.worker_client
        self._lease_ticks = context.options.lease_ticks

    async def prepare_attempt(self, exchange: Exchange) -> bool:
        """Record an attempt's lease; return whether it may be sent.

        The intent is on disk before the first byte leaves. An attempt that may not be sent is ended here as
        never sent.
        """
        attempt = exchange.posting
        job = self._registry.jobs.get(attempt.txn.tag)
        if job is None or not job.machine.is_open:
            self._host.end_attempt(exchange, Outcome.MOOT)
            return False
        machine, now = job.machine, self._host.clock.now()
        intent = LeaseIntended(machine.job_id, now, machine.next_lease_number, attempt.worker.tag)
        machine.apply(intent)
        lease = machine.leases[-1]
        if not await self._commits.put_until(attempt.sent_at + exchange.timeout_ticks - MILLISECOND, intent):
            lease.never_ran = True
            self._host.end_attempt(exchange, Outcome.MOOT)
            return False
        self._polling.answer_polls(job)
        if not attempt.is_in_flight or attempt.txn.is_closed or self._commits.store.is_fenced:
            self.clear(machine, lease)
            self._host.end_attempt(exchange, Outcome.MOOT)
            return False
        call = exchange.entry.request
        call.headers[b"job-lease"] = b"%d" % lease.number
        call.raw_headers = [line for line in call.raw_headers if line[0].lower() != b"job-lease"]
        call.raw_headers.append((b"Job-Lease", b"%d" % lease.number))
        self._host.start_task(self.watch(job, exchange, lease))
        return True

    def on_attempt_ending(self, exchange: Exchange, outcome: Outcome) -> None:
        """Clear the lease of an attempt that is known never to have run, just before it gets its outcome."""
        attempt = exchange.posting
        job = self._registry.jobs.get(attempt.txn.tag)
        if job is not None and attempt.is_in_flight and outcome.never_ran:
            lease = job.machine.find_lease(attempt.worker.tag)
            if lease is not None and not lease.never_ran:
                self.clear(job.machine, lease)

    def clear(self, machine: JobStateMachine, lease: Lease) -> None:
        """Record that a lease never ran; nobody waits for the commit."""
        cleared = LeaseCleared(machine.job_id, lease.number)
        machine.apply(cleared)
        self._commits.put(cleared)

    async def watch(self, job: ActiveJob, exchange: Exchange, lease: Lease) -> None:
        """While a lease is out: a sign of life renews it; after silence for its time its worker is asked."""
        attempt, machine, clock = exchange.posting, job.machine, self._host.clock
        queried_at = clock.now()
        while attempt.is_in_flight and machine.is_open:
            last_sign = max(attempt.sent_at, attempt.last_progress_at or 0, queried_at)
            remaining = last_sign + self._lease_ticks - clock.now()
            if remaining > 0:
                await asyncio.sleep(seconds(remaining))
                continue
            if not exchange.is_sent:
                return
            answer = await self._worker_client.query_lease(machine.job_id, lease)
            queried_at = clock.now()
            if not attempt.is_in_flight or not machine.is_open:
                return
            self._act_on_lapse(machine, exchange, lease, answer, queried_at)

    def _act_on_lapse(
        self, machine: JobStateMachine, exchange: Exchange, lease: Lease, answer: LeaseAnswer, now: Ticks
    ) -> None:
        decision = state_machine.decide_after_lapse(answer.report, machine.semantics, now, machine.expires_at)
        self._host.counters.add(f"jobs.lapsed.{decision.value}")
        match decision:
            case LeaseDecision.SUCCEED:
                self._host.end_attempt(exchange, Outcome.SETTLED, answer.result)
            case LeaseDecision.CLEAR:
                self.clear(machine, lease)
                self._host.end_attempt(exchange, Outcome.MOOT)
            case LeaseDecision.DOUBT:
                self._host.give_up_attempt(exchange, Outcome.TIMED_OUT)
            case LeaseDecision.RESUME:
                self._host.note_progress(exchange.posting)
            case LeaseDecision.ASK_AGAIN:
                pass  # the watch asks again after another period
