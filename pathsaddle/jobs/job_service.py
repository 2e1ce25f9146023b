"""The request service with a store behind it: each step is on disk before the next byte leaves.

It takes the place of the plain `TxnService` where the configuration has a `[jobs]` table. What may follow for
a job is told by `state_machine`, which knows no I/O; what is sent, and to whom, is decided by `Scheduler` as
without a store. While the store cannot be written new jobs are rejected at once with the reason, what is open
goes on, and the log says so.

This module assembles the parts and connects them with `TxnService`; each concern has a module of its own (see
the package).
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from pathsaddle.jobs.active_job import CALLER_DISCONNECTED, ActiveJob, FinalAnswer, JobServiceOptions
from pathsaddle.jobs.admission import JobAdmission
from pathsaddle.jobs.cancellation import JobCancellation
from pathsaddle.jobs.completion import JobCompletion
from pathsaddle.jobs.job_context import JobContext
from pathsaddle.jobs.leases import JobLeases
from pathsaddle.jobs.polling import JobPolling
from pathsaddle.jobs.recovery import JobRecovery
from pathsaddle.jobs.registry import JobRegistry
from pathsaddle.jobs.retention import RetentionSweeper
from pathsaddle.jobs.run_queue import RunQueue
from pathsaddle.jobs.state_machine import JobOutcome, Ticks
from pathsaddle.jobs.store import Store
from pathsaddle.jobs.store_commits import StoreCommits
from pathsaddle.jobs.submitted_call import JOBS_PATH
from pathsaddle.jobs.worker_client import WorkerClient
from pathsaddle.net.memory.ledger import Answer, Entry, Exchange
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire.forms import Callback, ListRow
from pathsaddle.net.wire.http import Message
from pathsaddle.scheduler_types import ListUpdate, LoadReport, Outcome, Posting, Txn

__all__ = ["JobService", "JobServiceOptions"]


@dataclass(slots=True, frozen=True)
class EarlyCallback:
    """A worker's callback that came before the recovery was done."""

    callback: Callback
    answer: Answer


class JobService(TxnService):
    """Serves durable jobs and calls; the parts see it as their `JobHost`.

    Attributes:
        store: Its store, which it opens as its owner and closes.
        registry: The jobs in memory.
        run_queue: The jobs that wait for a slot before the decisions.
        recovery: What is taken up of the last run.

    Args:
        *request_service_arguments: Those of `TxnService`.
        store: A store that is not open yet.
        options: What the configuration says of jobs.
        rng: Draws a part of each job's id.
        id_suffix: The end of each job's id. Workers know repeats by the id, so that no two processes, and no
            two lives of one, may have the same; empty where `rng` alone makes the ids differ.

    Raises:
        StoreUnusableError: The store cannot be opened.
    """

    def __init__(
        self,
        *request_service_arguments: Any,
        store: Store,
        options: JobServiceOptions,
        rng: Random,
        id_suffix: str = "",
    ) -> None:
        # First of all: where the store can't be had nothing has been asked of the event loop yet.
        stored_jobs = store.open(include_ended=False)
        super().__init__(*request_service_arguments)
        self.store = store
        self.registry = JobRegistry(store, options, self.counters)
        self.run_queue = RunQueue(self, options.margin_ticks)
        self._polling = JobPolling(self, self.registry, options.longest_poll_ticks)
        context = JobContext(
            host=self,
            registry=self.registry,
            commits=StoreCommits(store, self.clock, self.counters),
            run_queue=self.run_queue,
            polling=self._polling,
            worker_client=WorkerClient(self.workers, self.counters),
            options=options,
        )
        self._completion = JobCompletion(context)
        self._admission = JobAdmission(context, rng, id_suffix)
        self._cancellation = JobCancellation(context)
        self._leases = JobLeases(context)
        self._sweeper = RetentionSweeper(context)
        self.recovery = JobRecovery(context, stored_jobs, self._leases, self._completion, self._cancellation)
        self._early_callbacks: list[EarlyCallback] = []

    @property
    def ready(self) -> bool:
        """Whether a worker is known, the open jobs are taken up, and the store is ours."""
        return super().ready and self.recovery.is_done and not self.store.is_fenced

    async def begin(self) -> None:
        """Take up what is open, hear the callbacks that came meanwhile, and start the retention."""
        await self.recovery.run(self.store.findings)
        early, self._early_callbacks = self._early_callbacks, []
        for one in early:
            self.receive_callback(one.callback, one.answer)
        self._start(self._sweeper.run())

    async def finish(self) -> None:
        """Close the store; its commits are counted."""
        self.store.close()
        self.counters.most("jobs.commits", self.store.commit_count)
        self.counters.most("jobs.records", self.store.written_count)

    def stop(self, by: int) -> None:
        """Answer who waits on a connection by then; submitted jobs stay open for the store's next owner."""
        self.stopping = by
        self._at()
        for entry in self.ledger.unanswered_entries():
            if entry.answer is not None:
                self._guard(entry.txn, partial(self.loop.shorten_deadline, entry.txn, by))

    def listed(self, news: ListUpdate, rows: list[ListRow]) -> None:
        """Take the endpoint list over; the recovery waits for its first."""
        super().listed(news, rows)
        if news in (ListUpdate.COMPLETE, ListUpdate.CHANGES):
            self.recovery.endpoints_known.set()

    # What clients bring.

    def takes(self, call: Message) -> bool:
        """Whether a call that is no POST is about a job."""
        return call.method in (b"GET", b"DELETE") and call.target.startswith(JOBS_PATH)

    def take(self, call: Message, answer: Answer) -> Entry | None:
        """Serve a client's call; None where no request hangs on its connection.

        Raises:
            HttpError: The call cannot be served; its status is the answer.
        """
        if not call.target.startswith(JOBS_PATH):
            return self._admission.take_call(call, answer)
        if call.method == b"POST":
            self._admission.take_submission(call, answer)
        elif call.method == b"GET":
            self._polling.take_status_call(call, answer)
        else:
            self._cancellation.take_cancel_call(call, answer)
        return None

    @staticmethod
    def id_lifetime(txn: Txn) -> int:
        """Return 0: the store knows the ids of closed jobs."""
        return 0

    def hang_up(self, entry: Entry) -> None:
        """The client of a call is gone: nothing more is done for it, and the store says so."""
        super().hang_up(entry)
        job = self.registry.jobs.get(entry.txn.tag)
        if job is not None and job.machine.is_open:
            self.end_job(job, CALLER_DISCONNECTED)

    # What workers bring.

    def receive_callback(self, callback: Callback, answer: Answer) -> None:
        """Answer a worker's callback with 204 only once what it led to is on disk.

        A worker that has its 204 will not repeat the callback. Before the recovery is done, callbacks with an
        outcome are held.
        """
        if not self.recovery.is_done and callback.outcome is not None:
            self._early_callbacks.append(EarlyCallback(callback, answer))
            return
        self._completion.last_commit = None
        self.apply_callback(callback)
        commit, self._completion.last_commit = self._completion.last_commit, None
        job = self.registry.jobs.get(callback.tag)
        if commit is None and job is not None and callback.outcome is not None:
            commit = job.end_commit
        if commit is None:
            answer(204, b"", (), True)
            return

        def send(done: asyncio.Future[None]) -> None:
            """Answer the worker once the commit is done."""
            is_on_disk = not done.cancelled() and done.exception() is None
            answer(204 if is_on_disk else 503, b"", (), True)

        commit.add_done_callback(send)

    def apply_callback(self, callback: Callback) -> None:
        """Act on a callback; a result of a lease that was given up is taken while the job is open."""
        job = self.registry.jobs.get(callback.tag)
        exchange = self.ledger.find_exchange(callback.tag, callback.worker)
        if (
            job is not None
            and job.machine.is_open
            and exchange is None
            and callback.outcome is Outcome.SETTLED
            and job.machine.find_lease(callback.worker) is not None
        ):
            self.counters.add("jobs.late_result")
            self._completion.succeed(job, callback.result)
            return
        if job is not None and not job.machine.is_open and callback.outcome is not None:
            self.counters.add("jobs.after_end")
        super().apply_callback(callback)

    # One attempt: its intent first, its lease cleared where it never ran.

    async def _carry(self, exchange: Exchange) -> None:
        if await self._leases.prepare_attempt(exchange):
            await super()._carry(exchange)

    def _end(
        self, exchange: Exchange, outcome: Outcome, report: LoadReport | None = None, result: bytes = b""
    ) -> None:
        self._leases.on_attempt_ending(exchange, outcome)
        super()._end(exchange, outcome, report, result)

    # The final answer of a request.

    def _answer(  # noqa: PLR0913, PLR0917  # the signature of TxnService
        self,
        txn: Txn,
        kind: str,
        status: int,
        body: bytes = b"",
        headers: tuple[str, ...] = (),
        keep: bool = True,
    ) -> None:
        job = self.registry.jobs.get(txn.tag)
        if job is None:
            super()._answer(txn, kind, status, body, headers, keep)
            return
        self.counters.add(f"txn.{kind}")
        answer = FinalAnswer(JobOutcome(kind), status, body)
        self.end_job(job, answer, headers, keep)
        self._events.call_soon(self.ledger.close, self.ledger[txn.tag])

    # What the parts need of the request service (`JobHost`).

    @property
    def event_loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of all parts."""
        return self._events

    @property
    def is_recovered(self) -> bool:
        """Whether all open jobs of the last run are taken up."""
        return self.recovery.is_done

    def start_task(self, work: Coroutine[object, object, object]) -> None:
        """Run a coroutine as a task that the service holds; an error in it is logged and counted."""
        self._start(work)

    def advance_decisions(self) -> Ticks:
        """Set the decisions' time to now, have them take a turn soon, and return the time."""
        self._at()
        return self.loop.now

    def submit_request(self, request: Txn) -> None:
        """Have the decisions serve a new request."""
        self._guard(request, lambda: self.loop.start_txn(request))

    def resume_request(self, request: Txn, attempts: list[Posting]) -> None:
        """Have the decisions serve a request whose earlier attempts may still run."""
        self._at()
        self._guard(request, lambda: self.loop.resume_txn(request, attempts))

    def abandon_request(self, request: Txn) -> None:
        """Tell the decisions that nothing more is wanted of a request."""
        self._at()
        self._guard(request, lambda: self.loop.abandon_txn(request))

    def note_progress(self, attempt: Posting) -> None:
        """Tell the decisions that a worker still has an attempt."""
        self._at()
        self._guard(attempt.txn, lambda: self.loop.on_progress(attempt, False, 0.0))

    def end_attempt(self, exchange: Exchange, outcome: Outcome, result: bytes = b"") -> None:
        """Give an attempt its one outcome; a successful one answers its request."""
        self._end(exchange, outcome, result=result)

    def give_up_attempt(self, exchange: Exchange, outcome: Outcome) -> None:
        """Withdraw an attempt from its worker, and give it its outcome after that."""
        self._give_up(exchange, outcome)

    def answer_success(self, entry: Entry, result: bytes) -> None:
        """Answer a request with a worker's result."""
        self._answer(entry.txn, "settled", 200, result)

    def end_job(
        self, job: ActiveJob, answer: FinalAnswer, headers: tuple[str, ...] = (), keep: bool = True
    ) -> asyncio.Future[None] | None:
        """Give a job its one final answer (`JobCompletion.end_job`)."""
        return self._completion.end_job(job, answer, headers, keep)
