"""What the parts of the job service need of the request service that they belong to.

`JobService` implements the protocol over `TxnService`. The parts reach the decisions, the event loop and each
other's entry points through it alone, so that they can be read one at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Protocol

from pathsaddle.jobs.active_job import ActiveJob, FinalAnswer
from pathsaddle.jobs.state_machine import Ticks
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Entry, Exchange, Ledger
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.wire.forms import MessageDecoder
from pathsaddle.scheduler_types import Outcome, Posting, Txn, Worker


class JobHost(Protocol):
    """The request service, as its parts see it.

    Attributes:
        clock: The clock, in ticks of Unix time.
        counters: The process's counters.
        ledger: The open requests and their attempts.
        known: The workers by name, as the endpoint list describes them.
        words: The settings by which a call becomes a request.
        stopping: By when everything must be answered, once the process is to end.
    """

    clock: Clock
    counters: Counters
    ledger: Ledger
    known: dict[str, Worker]
    words: MessageDecoder
    stopping: int | None

    @property
    def event_loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of all parts."""

    @property
    def is_recovered(self) -> bool:
        """Whether all open jobs of the last run are taken up."""

    def start_task(self, work: Coroutine[object, object, object]) -> None:
        """Run a coroutine as a task that the service holds; an error in it is logged and counted."""

    def advance_decisions(self) -> Ticks:
        """Set the decisions' time to now, have them take a turn soon, and return the time."""

    def submit_request(self, request: Txn) -> None:
        """Have the decisions serve a new request."""

    def resume_request(self, request: Txn, attempts: list[Posting]) -> None:
        """Have the decisions serve a request whose earlier attempts may still run."""

    def abandon_request(self, request: Txn) -> None:
        """Tell the decisions that nothing more is wanted of a request."""

    def note_progress(self, attempt: Posting) -> None:
        """Tell the decisions that a worker still has an attempt."""

    def cancel(self, posting: Posting) -> None:
        """Withdraw an attempt from its worker."""

    def end_attempt(self, exchange: Exchange, outcome: Outcome, result: bytes = b"") -> None:
        """Give an attempt its one outcome; a successful one answers its request."""

    def give_up_attempt(self, exchange: Exchange, outcome: Outcome) -> None:
        """Withdraw an attempt from its worker, and give it its outcome after that."""

    def answer_success(self, entry: Entry, result: bytes) -> None:
        """Answer a request with a worker's result."""

    def end_job(
        self, job: ActiveJob, answer: FinalAnswer, headers: tuple[str, ...] = (), keep: bool = True
    ) -> asyncio.Future[None] | None:
        """Give a job its one final answer (`JobCompletion.end_job`)."""
