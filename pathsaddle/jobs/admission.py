"""What clients bring: submissions (`POST /jobs/CLASS`) and calls whose clients wait on their connections.

A job is on disk before its client is told that it is accepted. While the store cannot be written, is slow or
is lost, and while open jobs take all the memory that is for them, new jobs are rejected at once with the
reason. Admission never looks at workers.
"""

from __future__ import annotations

import asyncio
from random import Random

from pathsaddle.jobs.active_job import ActiveJob
from pathsaddle.jobs.errors import STORE_IO_ERRORS, StoreFencedError
from pathsaddle.jobs.http_answers import send_job, send_refusal
from pathsaddle.jobs.job_context import JobContext
from pathsaddle.jobs.registry import MAX_ERROR_TEXT
from pathsaddle.jobs.state_machine import JobStateMachine, Ticks
from pathsaddle.jobs.store_rows import JobRecord
from pathsaddle.jobs.submitted_call import (
    digest_of,
    encode_call,
    idempotency_key_of,
    owner_of,
    to_worker_call,
)
from pathsaddle.net.memory.ledger import Answer, Entry
from pathsaddle.net.service import logbook
from pathsaddle.net.wire.http import HttpError, Message
from pathsaddle.scheduler_types import SECOND, Txn

FULL_LOG_INTERVAL: Ticks = 60 * SECOND  # between two log lines of memory that is full of open jobs
JOB_ID_RANDOM_BITS = 32


class JobAdmission:
    """Accepts new jobs, or says why not."""

    def __init__(self, context: JobContext, rng: Random, id_suffix: str) -> None:
        self._host = context.host
        self._registry = context.registry
        self._commits = context.commits
        self._run_queue = context.run_queue
        self._options = context.options
        self._rng = rng
        self._id_suffix = id_suffix
        self._submission_count = 0
        self._full_logged_at: Ticks = -FULL_LOG_INTERVAL

    def take_submission(self, call: Message, answer: Answer) -> None:
        """Answer 202 and the job's id once it is on disk; under the same key with the same job.

        Raises:
            HttpError: No idempotency key (400), the key is another job's (409), the call is no request (400,
                404), or the store cannot be read (503).
        """
        key, owner, digest = idempotency_key_of(call), owner_of(call), digest_of(call)
        known = self._registry.by_key.get((owner, key))
        if known is None and self._host.is_recovered:
            known = self._registry.find_ended_by_key(owner, key)
        if known is not None:
            if known.record.digest != digest:
                raise HttpError(409, "this key is another job's")
            self._host.start_task(self._answer_repeated(known, answer))
            return
        reason = self._refusal_reason() or ("we are to end" if self._host.stopping is not None else None)
        if reason is not None:
            self._refuse(answer, reason)
            return
        worker_call = to_worker_call(call, self._new_job_id())
        request = self._host.words.decode_txn(worker_call, self._host.clock.now())
        job = self._make_job(request, owner, key, digest, worker_call)
        job.request_parser = self._host.words
        self._registry.add_key(job)
        self._registry.add_open(job)
        self._host.counters.add("jobs.submitted")
        # From here, not from the task: the same submission may come again before that has had its first turn.
        job.accept_commit = self._commits.put(job.record)
        self._host.start_task(self._accept(job, job.accept_commit, answer))

    def take_call(self, call: Message, answer: Answer) -> Entry | None:
        """Serve a call whose client waits on its connection as a job of the same store.

        Returns:
            Its request in the ledger; None where it is rejected at once.

        Raises:
            HttpError: The call is no request, its id is not new (409), or the store cannot be read (503).
        """
        reason = self._refusal_reason()
        if reason is not None:
            self._refuse(answer, reason)
            return None
        host = self._host
        request = host.words.decode_txn(call, host.advance_decisions())
        job_id = request.tag
        if job_id in self._registry.jobs or host.ledger.has_seen(job_id) or self._registry.is_on_disk(job_id):
            raise HttpError(409, "this id is not new")
        job = self._make_job(request, owner_of(call), None, digest_of(call), call)
        self._registry.add_open(job)
        # Its commit comes before that of its first intent, which is waited for: it needs no wait of its own.
        self._commits.put(job.record)
        # A short call gives up no more than half of its time for the sync of its end.
        request.expires_at -= min(self._options.margin_ticks, (request.expires_at - request.arrived_at) // 2)
        if host.stopping is not None:
            request.shorten_deadline(host.stopping)
        entry = job.entry = Entry(request, call, answer)
        host.ledger.open(entry)
        host.counters.add("txn.taken")
        self._run_queue.occupy_slot(job)
        host.submit_request(request)
        return entry

    def _new_job_id(self) -> str:
        self._submission_count += 1
        random_part = self._rng.getrandbits(JOB_ID_RANDOM_BITS)
        epoch = self._commits.store.epoch
        return f"j{epoch:x}-{self._submission_count:x}-{random_part:08x}{self._id_suffix}"

    @staticmethod
    def _make_job(request: Txn, owner: str, key: str | None, digest: bytes, call: Message) -> ActiveJob:
        job_id, semantics = request.tag, request.scheme.semantics
        stored_call = encode_call(call)
        record = JobRecord(
            job_id, owner, key, digest, semantics, request.arrived_at, request.expires_at, stored_call
        )
        return ActiveJob(JobStateMachine(job_id, semantics, request.arrived_at, request.expires_at), record)

    async def _accept(self, job: ActiveJob, accept_commit: asyncio.Future[None], answer: Answer) -> None:
        try:
            await asyncio.shield(accept_commit)
        except (*STORE_IO_ERRORS, StoreFencedError) as error:
            # After an error in the sync nobody knows whether it is on disk: under its key it may come again.
            self._registry.remove_unaccepted(job)
            send_refusal(answer, f"the store can't be written: {error}"[:MAX_ERROR_TEXT])
            return
        job.accept_commit = None
        job.machine.change_count += 1
        send_job(answer, job, 202)
        self._run_queue.line_up(job)

    async def _answer_repeated(self, job: ActiveJob, answer: Answer) -> None:
        """Answer a repeated submission; its first may not be on disk yet."""
        if job.accept_commit is not None:
            await asyncio.wait([job.accept_commit])
        if job.machine.job_id not in self._registry.jobs and job.machine.is_open:
            send_refusal(answer, "the store can't be written")
            return
        send_job(answer, job, 202)

    def _refuse(self, answer: Answer, reason: str) -> None:
        self._host.counters.add("jobs.closed")
        send_refusal(answer, reason)

    def _refusal_reason(self) -> str | None:
        """Return why no new job is accepted now."""
        now = self._host.clock.now()
        if self._commits.store.is_fenced:
            return "the store is another process's now"
        if not self._host.is_recovered:
            return "recovering"
        if self._commits.is_failing(now):
            return "the store can't be written"
        if self._commits.is_slow(now):
            return "the store is slow"
        if self._registry.is_full:
            self._report_full(now)
            return "as many jobs are open as its memory has room for"
        return None

    def _report_full(self, now: Ticks) -> None:
        self._host.counters.add("jobs.full")
        if now >= self._full_logged_at + FULL_LOG_INTERVAL:
            self._full_logged_at = now
            logbook.note(
                text=f"new jobs are declined: the open ones take {self._registry.open_bytes} bytes of the "
                f"{self._options.open_memory_bytes} that limits.memory leaves them"
            )
