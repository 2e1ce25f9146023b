"""The states and transitions of a durable job, free of I/O: what may follow what.

A job is accepted and then leased to one worker after another. The number of a lease only grows (it is a
fencing token); a lease is intended, sent, taken by its worker, and runs. A job ends once: succeeded,
rejected, failed or cancelled. Four steps are records on disk, and each must be synced before the next byte
leaves:

    accept   before the client is told that the job is accepted
    intent   before the first byte of the attempt leaves
    final    before the client sees the answer
    cancel   before the client is told that its wish is known

`clear` is a fifth: a lease is known never to have run. It may be late or lost, which only makes the
dispatcher more careful: a lease that is intended and not cleared may have run.

The job service and the model checker call these functions, so that what is checked is what runs. This module
never reads a clock, a file or a socket.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from pathsaddle.scheduler_types import Semantics

Ticks: TypeAlias = (
    int  # tenths of a millisecond; a moment counts from the Unix epoch, so that it outlasts a process
)


class JobOutcome(Enum):
    """The one final answer of a job. The values stand on disk, in JSON answers and in names of counters."""

    SUCCEEDED = "settled"
    REJECTED = "declined"
    FAILED = "reversed"
    CANCELLED = "cancelled"


class InvalidTransitionError(ValueError):
    """A transition cannot follow the ones before it, or a stored row is not what was written."""


@dataclass(slots=True)
class Lease:
    """The right of one worker to run a job.

    Attributes:
        number: The fencing token; it grows with each lease of a job.
        worker: The name of the worker.
        intended_at: When the intent was recorded.
        never_ran: Whether the lease is known, by the worker's report or by us, never to have run.
    """

    number: int
    worker: str
    intended_at: Ticks
    never_ran: bool = False


@dataclass(slots=True, frozen=True)
class LeaseIntended:
    """A lease is about to be sent to its worker."""

    job_id: str
    at: Ticks
    number: int
    worker: str


@dataclass(slots=True, frozen=True)
class LeaseCleared:
    """A lease is known never to have run."""

    job_id: str
    number: int


@dataclass(slots=True, frozen=True)
class CancelRequested:
    """The client wants the job cancelled."""

    job_id: str
    at: Ticks


@dataclass(slots=True, frozen=True)
class JobEnded:
    """The one final answer.

    Attributes:
        job_id: The job.
        at: When it ended.
        outcome: How it ended.
        status: The HTTP status of the answer.
        result: The body of the answer.
    """

    job_id: str
    at: Ticks
    outcome: JobOutcome
    status: int = 0
    result: bytes = b""


JobTransition: TypeAlias = LeaseIntended | LeaseCleared | CancelRequested | JobEnded


@dataclass(slots=True, eq=False)
class JobStateMachine:
    """A job as its transitions describe it.

    Attributes:
        job_id: The id, unique in a store.
        semantics: Whether the job may run again.
        accepted_at: When it was accepted.
        expires_at: The last moment for its final answer.
        leases: All its leases, the oldest first.
        is_cancel_requested: Whether its client wants it cancelled.
        outcome: How it ended; None while it is open.
        status: The HTTP status of the final answer.
        result: The body of the final answer.
        ended_at: When it ended; 0 while it is open.
        change_count: How often what its client may see has changed.
    """

    job_id: str
    semantics: Semantics
    accepted_at: Ticks
    expires_at: Ticks
    leases: list[Lease] = field(default_factory=list)
    is_cancel_requested: bool = False
    outcome: JobOutcome | None = None
    status: int = 0
    result: bytes = b""
    ended_at: Ticks = 0
    change_count: int = 0

    @property
    def is_open(self) -> bool:
        """Whether it has no final answer yet."""
        return self.outcome is None

    @property
    def next_lease_number(self) -> int:
        """The lowest number that the next lease may have."""
        return self.leases[-1].number + 1 if self.leases else 1

    def leases_in_doubt(self) -> list[Lease]:
        """Return the leases that may have run, the last first."""
        return [lease for lease in reversed(self.leases) if not lease.never_ran]

    def find_lease(self, worker: str, number: int | None = None) -> Lease | None:
        """Return the last lease of a worker, or the one with the number that the worker reports."""
        for lease in reversed(self.leases):
            if lease.worker == worker and (number is None or lease.number == number):
                return lease
        return None

    def apply(self, transition: JobTransition) -> None:
        """Apply a transition; a running service and the replay of a store use the same function.

        Raises:
            InvalidTransitionError: The transition cannot follow the ones before it.
        """
        if isinstance(transition, LeaseCleared):
            for lease in self.leases:
                if lease.number == transition.number:
                    lease.never_ran = True
            return
        if not self.is_open:
            raise InvalidTransitionError(f"{self.job_id}: {STEP_NAMES[type(transition)]} after its end")
        match transition:
            case LeaseIntended():
                self._intend(transition)
            case CancelRequested():
                self.is_cancel_requested = True
            case JobEnded():
                self.outcome, self.status, self.result = (
                    transition.outcome,
                    transition.status,
                    transition.result,
                )
                self.ended_at = transition.at
        self.change_count += 1

    def _intend(self, transition: LeaseIntended) -> None:
        # Numbers only grow; a lease whose intent the disk refused was never sent, and leaves a gap.
        if transition.number < self.next_lease_number:
            raise InvalidTransitionError(
                f"{self.job_id}: lease {transition.number} where {self.next_lease_number} is next"
            )
        if self.semantics is Semantics.ONCE_ONLY and (doubtful := self.leases_in_doubt()):
            raise InvalidTransitionError(
                f"{self.job_id}: once-only, and lease {doubtful[0].number} may have run"
            )
        self.leases.append(Lease(transition.number, transition.worker, transition.at))


# The names of the steps, as messages of `InvalidTransitionError` and `pathsaddle jobs verify` have them.
STEP_NAMES: dict[type[JobTransition], str] = {
    LeaseIntended: "intent",
    LeaseCleared: "clear",
    CancelRequested: "cancel",
    JobEnded: "final",
}


class LeaseReport(Enum):
    """What a worker says of a lease when it is asked."""

    RUNNING = "it has the job"
    DONE = "it has done the job, and the result is with the report"
    FAILED = "it began and has failed"
    NEVER_RAN = "it never began, and will refuse this lease from now on"
    UNKNOWN = "it can't say, or can't be reached"


class LeaseDecision(Enum):
    """What follows for a lease. The values are the ends of the names of counters."""

    RESUME = "resume"  # wait for it as before
    SUCCEED = "settle"  # its result is the job's
    CLEAR = "clear"  # it never ran
    DOUBT = "doubt"  # it may have run, and nobody will report more
    ASK_AGAIN = "ask"  # ask the worker again later


def decide_after_restart(report: LeaseReport, now: Ticks, expires_at: Ticks) -> LeaseDecision:
    """Decide what a worker's report after the dispatcher's own restart means for its lease.

    Until expiry a worker that cannot say is asked again, since it may come back; meanwhile nothing is sent
    that could have a second effect.
    """
    if report is LeaseReport.RUNNING:
        return LeaseDecision.RESUME
    if report is LeaseReport.DONE:
        return LeaseDecision.SUCCEED
    if report is LeaseReport.NEVER_RAN:
        return LeaseDecision.CLEAR
    if report is LeaseReport.FAILED or now >= expires_at:
        return LeaseDecision.DOUBT
    return LeaseDecision.ASK_AGAIN


def decide_after_lapse(
    report: LeaseReport, semantics: Semantics, now: Ticks, expires_at: Ticks
) -> LeaseDecision:
    """Decide what follows for a lease that has been without a sign of life for its time.

    A job that may run again is given up there; a non-idempotent one waits for the worker's own report until
    its expiry.
    """
    if report is LeaseReport.UNKNOWN and semantics is not Semantics.ONCE_ONLY:
        return LeaseDecision.DOUBT
    return decide_after_restart(report, now, expires_at)


def expiry_after_restart(accepted_at: Ticks, expires_at: Ticks, now: Ticks) -> Ticks:
    """Return when a job expires whose dispatcher has restarted.

    The clock may have been stepped back meanwhile: no job lasts longer from now than it had in all.
    """
    return min(expires_at, now + max(0, expires_at - accepted_at))
