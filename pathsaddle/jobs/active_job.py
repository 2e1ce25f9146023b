"""A job and what this process has of it in memory, and the limits under which the job service works.

The parts of the job service share these objects; each part says which of the fields it changes.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from pathsaddle.jobs.state_machine import JobOutcome, JobStateMachine, Ticks
from pathsaddle.jobs.store_rows import JobRecord
from pathsaddle.net.memory.ledger import Answer, Entry
from pathsaddle.net.wire.forms import MessageDecoder


@dataclass(slots=True, frozen=True)
class JobServiceOptions:
    """What the configuration says of jobs.

    Attributes:
        lease_ticks: A lease without a sign of life for so long has its worker asked.
        retention_ticks: How long ended jobs are kept.
        longest_poll_ticks: The most that a status request may wait for a change.
        recover_within_ticks: The most that a start waits for the endpoint list.
        margin_ticks: By how much earlier than its expiry a job must be decided, so that its end can be
            synced.
        ended_memory_bytes: What ended jobs may take in memory; all others are read from disk when they are
            asked for.
        open_memory_bytes: What open jobs may take in memory, beyond which new ones are rejected. What was
            accepted before stays, also over a restart.
    """

    lease_ticks: Ticks
    retention_ticks: Ticks
    longest_poll_ticks: Ticks
    recover_within_ticks: Ticks
    margin_ticks: Ticks
    ended_memory_bytes: int = 4_000_000
    open_memory_bytes: int = 96_000_000


@dataclass(slots=True, frozen=True)
class FinalAnswer:
    """How a job ends and what its client is answered."""

    outcome: JobOutcome
    status: int
    body: bytes = b""


CALLER_DISCONNECTED = FinalAnswer(JobOutcome.CANCELLED, 499)  # nobody is left who waits for the answer
CANCELLED_BY_CLIENT = FinalAnswer(JobOutcome.CANCELLED, 410)
EXPIRED_NEVER_SENT = FinalAnswer(JobOutcome.REJECTED, 503)
EXPIRED_IN_DOUBT = FinalAnswer(JobOutcome.FAILED, 500)


@dataclass(slots=True, eq=False)
class PendingPoll:
    """A status request that waits for a change, and the timer at whose end it is answered without one."""

    answer: Answer
    timer: asyncio.TimerHandle


@dataclass(slots=True, eq=False)
class ActiveJob:
    """A job and what this process has of it.

    Attributes:
        machine: Its state.
        record: What was accepted; the call is dropped once the job's end is on disk.
        request_parser: The settings by which it was accepted, until it stands before the decisions.
        entry: Its request, once it stands before the decisions.
        polls: The status requests that wait for a change.
        is_running: Whether it takes one of the slots before the decisions.
        accept_commit: Done once it is on disk; None afterwards.
        end_commit: Done once its end is on disk; None while it has no end, and afterwards.
    """

    machine: JobStateMachine
    record: JobRecord
    request_parser: MessageDecoder | None = None
    entry: Entry | None = None
    polls: list[PendingPoll] = field(default_factory=list)
    is_running: bool = False
    accept_commit: asyncio.Future[None] | None = None
    end_commit: asyncio.Future[None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether it is open to its clients: until its end is on disk."""
        return self.machine.is_open or self.end_commit is not None

    @property
    def change_count(self) -> int:
        """The changes that its clients may see: an end that is not on disk is none."""
        return self.machine.change_count - (self.end_commit is not None)
