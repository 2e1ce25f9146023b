"""Model checking of the states of jobs: every order of steps, for a few jobs and workers, to a stated depth.

The steps are crash, sync, send, delivery, callback, end of a lease, cancel, expiry and restart. Which step
may follow, and what a worker's report means, are `state_machine`'s own functions, so that what is checked is
what runs. The disk syncs records in order; a crash loses what was not synced. An attempt that is under way
when its dispatcher dies may still arrive. A worker that dies forgets all, and what was under way to it dies
with its connections.

Invariants, checked after each step (broken by tests/test_jobs.py, `test_the_model_finds_what_is_wrong`):

- a job whose client was told that it is accepted is on disk;
- an end that a client saw is the one on disk, now and after any restart;
- a non-idempotent job has begun to run at most once;
- a non-idempotent job that was rejected, or whose client was told so, has not run;
- leases on disk are numbered upwards.

Tests call it; the service never does.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, TypeVar

from pathsaddle.jobs import state_machine
from pathsaddle.jobs.state_machine import (
    InvalidTransitionError,
    JobEnded,
    JobOutcome,
    JobStateMachine,
    LeaseCleared,
    LeaseDecision,
    LeaseIntended,
    LeaseReport,
)
from pathsaddle.scheduler_types import Semantics

MAX_LEASES = 2  # of a job
EXPIRES_AT = 1 << 40  # after every moment of the model, whose clock stands still at 0

T = TypeVar("T")


class RecordKind(Enum):
    """The kinds of records that the model's disk holds."""

    ACCEPT = "accept"
    INTENT = "intent"
    CLEAR = "clear"
    FINAL = "final"


class Record(NamedTuple):
    """A record on disk, as a value that can be hashed."""

    kind: RecordKind
    job: int
    number: int = 0
    worker: int = -1
    outcome: JobOutcome | None = None


class LeaseId(NamedTuple):
    """A lease of a job."""

    job: int
    number: int


class Delivery(NamedTuple):
    """An attempt under way to a worker."""

    job: int
    number: int
    worker: int


class HeldJob(NamedTuple):
    """What a worker has of a job."""

    job: int
    number: int
    is_done: bool


@dataclass(frozen=True, slots=True)
class ModelState:
    """One state of the dispatcher, its disk and its workers.

    Attributes:
        is_up: Whether the dispatcher runs.
        disk: Synced records.
        unsynced: Records that are written and not synced.
        sent: Leases whose attempt has left in this run.
        unsure: Leases from before the last start whose workers have not been asked yet.
        deliveries: Attempts under way.
        held: By worker, the jobs that it has.
        fences: By worker and job, the lease up to which attempts are refused.
        forgetful: By worker, whether it has died and forgotten.
        run_counts: By job, how often it began.
        accepted: By job, whether its client was told that it is accepted.
        seen: By job, the end that its client saw.
        crashes_left: Crashes that may still happen.
    """

    is_up: bool
    disk: tuple[Record, ...]
    unsynced: tuple[Record, ...]
    sent: tuple[LeaseId, ...]
    unsure: tuple[LeaseId, ...]
    deliveries: tuple[Delivery, ...]
    held: tuple[tuple[HeldJob, ...], ...]
    fences: tuple[tuple[int, ...], ...]
    forgetful: tuple[bool, ...]
    run_counts: tuple[int, ...]
    accepted: tuple[bool, ...]
    seen: tuple[JobOutcome | None, ...]
    crashes_left: int


class Step(NamedTuple):
    """A step with its name and the state that it leads to."""

    name: str
    state: ModelState


class ReportedState(NamedTuple):
    """A worker's report, and the state after it was asked."""

    report: LeaseReport
    state: ModelState


class InvariantViolatedError(Exception):
    """An invariant does not hold; the message says which, and by what steps."""


class Model:
    """Jobs of the given semantics, so many workers, and so many crashes of the dispatcher and of workers."""

    def __init__(self, semantics: list[Semantics], workers: int = 2, crashes: int = 2) -> None:
        self.semantics = semantics
        self.workers = workers
        jobs = len(semantics)
        self.start = ModelState(
            is_up=True,
            disk=(),
            unsynced=(),
            sent=(),
            unsure=(),
            deliveries=(),
            held=((),) * workers,
            fences=((0,) * jobs,) * workers,
            forgetful=(False,) * workers,
            run_counts=(0,) * jobs,
            accepted=(False,) * jobs,
            seen=(None,) * jobs,
            crashes_left=crashes,
        )

    def search(self, depth: int) -> int:
        """Return how many states there are to that depth.

        Raises:
            InvariantViolatedError: An invariant is broken; with the steps that led there.
        """
        self.check(self.start)
        known: dict[ModelState, Step | None] = {self.start: None}
        edge = [self.start]
        for _ in range(depth):
            following = []
            for state in edge:
                for name, other in self.next_steps(state):
                    if other in known:
                        continue
                    known[other] = Step(name, state)
                    try:
                        self.check(other)
                    except (InvariantViolatedError, InvalidTransitionError) as error:
                        steps = "\n".join(_steps_to(known, other))
                        raise InvariantViolatedError(f"{error}\n{steps}") from None
                    following.append(other)
            edge = following
        return len(known)

    def check(self, state: ModelState) -> None:
        """Check the invariants.

        Raises:
            InvariantViolatedError: One does not hold.
        """
        for number, semantics in enumerate(self.semantics):
            job = self._replay(state.disk, number)
            seen, runs = state.seen[number], state.run_counts[number]
            if state.accepted[number] and job is None:
                raise InvariantViolatedError(f"job {number} was accepted and is not on disk")
            if seen is not None and (job is None or job.outcome is not seen):
                raise InvariantViolatedError(f"job {number} was seen {seen} and is not so on disk")
            if semantics is Semantics.ONCE_ONLY and runs > 1:
                raise InvariantViolatedError(f"once-only job {number} began {runs} times")
            if semantics is Semantics.ONCE_ONLY and seen is JobOutcome.REJECTED and runs:
                raise InvariantViolatedError(f"once-only job {number} was rejected and has run")
            numbers = [lease.number for lease in job.leases] if job is not None else []
            if job is not None and numbers != sorted(dict.fromkeys(numbers)):
                raise InvariantViolatedError(f"job {number} has leases {job.leases}")

    def next_steps(self, state: ModelState) -> Iterator[Step]:
        """Generate every step that may follow."""
        if not state.is_up:
            yield Step("restart", self._restart(state))
        else:
            yield from self._dispatcher_steps(state)
            if state.crashes_left:
                crashed = replace(
                    state, is_up=False, unsynced=(), sent=(), unsure=(), crashes_left=state.crashes_left - 1
                )
                yield Step("crash", crashed)
        yield from self._delivery_steps(state)
        for worker in range(self.workers):
            yield from self._worker_steps(state, worker)

    def _replay(self, records: tuple[Record, ...], number: int) -> JobStateMachine | None:
        """Return a job as its records describe it, by `state_machine`'s steps; None if not accepted."""
        machine: JobStateMachine | None = None
        for record in records:
            if record.job != number:
                continue
            if record.kind is RecordKind.ACCEPT:
                machine = JobStateMachine(str(number), self.semantics[number], 0, EXPIRES_AT)
            elif machine is not None and record.kind is RecordKind.INTENT:
                machine.apply(LeaseIntended(machine.job_id, 0, record.number, str(record.worker)))
            elif machine is not None and record.kind is RecordKind.CLEAR:
                machine.apply(LeaseCleared(machine.job_id, record.number))
            elif machine is not None:
                assert record.outcome is not None
                machine.apply(JobEnded(machine.job_id, 0, record.outcome))
        return machine

    def _restart(self, state: ModelState) -> ModelState:
        unsure = []
        for number in range(len(self.semantics)):
            job = self._replay(state.disk, number)
            if job is not None and job.is_open:
                unsure += [LeaseId(number, lease.number) for lease in job.leases_in_doubt()]
        return replace(state, is_up=True, unsure=tuple(unsure))

    def _dispatcher_steps(self, state: ModelState) -> Iterator[Step]:
        if state.unsynced:
            yield self._sync(state)
        records = state.disk + state.unsynced
        for number, semantics in enumerate(self.semantics):
            job = self._replay(records, number)
            if job is None:
                yield Step(f"accept {number}", _write(state, Record(RecordKind.ACCEPT, number)))
                continue
            if not job.is_open:
                continue
            if len(job.leases) < MAX_LEASES and not any(lease.job == number for lease in state.unsure):
                yield from self._intent_steps(state, number, job)
            yield from self._send_steps(state, number, job)
            for lease in job.leases_in_doubt():
                lease_id = LeaseId(number, lease.number)
                if lease_id in state.unsure or lease_id in state.sent:
                    yield from self._ask_steps(state, lease_id, int(lease.worker))
            cancelled = Record(RecordKind.FINAL, number, outcome=JobOutcome.CANCELLED)
            yield Step(f"cancel {number}", _write(state, cancelled))
            is_harmless = semantics is Semantics.REPEATABLE or not job.leases_in_doubt()
            outcome = JobOutcome.REJECTED if is_harmless else JobOutcome.FAILED
            yield Step(f"expire {number}", _write(state, Record(RecordKind.FINAL, number, outcome=outcome)))

    @staticmethod
    def _sync(state: ModelState) -> Step:
        record = state.unsynced[0]
        synced = replace(state, disk=(*state.disk, record), unsynced=state.unsynced[1:])
        if record.kind is RecordKind.ACCEPT:
            synced = replace(synced, accepted=_replaced(state.accepted, record.job, True))
        elif record.kind is RecordKind.FINAL:
            synced = replace(synced, seen=_replaced(state.seen, record.job, record.outcome))
        return Step(f"sync {record.kind.value} {record.job}", synced)

    def _intent_steps(self, state: ModelState, number: int, job: JobStateMachine) -> Iterator[Step]:
        for worker in range(self.workers):
            record = Record(RecordKind.INTENT, number, job.next_lease_number, worker)
            try:  # the service applies a transition before it writes
                self._replay((*state.disk, *state.unsynced, record), number)
            except InvalidTransitionError:
                continue
            yield Step(f"intent {number} at {worker}", _write(state, record))

    @staticmethod
    def _send_steps(state: ModelState, number: int, job: JobStateMachine) -> Iterator[Step]:
        for record in state.disk:  # on disk first, then the bytes
            lease_id = LeaseId(record.job, record.number)
            if (
                record.kind is RecordKind.INTENT
                and record.job == number
                and lease_id not in state.sent
                and lease_id not in state.unsure
                and job.leases[-1].number == record.number
                and not job.leases[-1].never_ran
            ):
                delivery = Delivery(number, record.number, record.worker)
                sent = replace(state, sent=(*state.sent, lease_id), deliveries=(*state.deliveries, delivery))
                yield Step(f"send {number}", sent)

    def _ask_steps(self, state: ModelState, lease_id: LeaseId, worker: int) -> Iterator[Step]:
        number = lease_id.job
        report, queried = self._report(state, lease_id, worker)
        if lease_id in state.unsure:
            decision = state_machine.decide_after_restart(report, 0, EXPIRES_AT)
        else:
            decision = state_machine.decide_after_lapse(report, self.semantics[number], 0, EXPIRES_AT)
        matched = replace(
            queried,
            unsure=tuple(other for other in queried.unsure if other != lease_id),
            sent=queried.sent if lease_id in queried.sent else (*queried.sent, lease_id),
        )
        name = f"ask {number} of {worker}: {report.name}"
        if decision is LeaseDecision.SUCCEED:
            succeeded = Record(RecordKind.FINAL, number, outcome=JobOutcome.SUCCEEDED)
            yield Step(name, _write(matched, succeeded))
        elif decision is LeaseDecision.CLEAR:
            yield Step(name, _write(matched, Record(RecordKind.CLEAR, number, lease_id.number)))
        elif decision in (LeaseDecision.RESUME, LeaseDecision.DOUBT):
            yield Step(name, matched)

    @staticmethod
    def _report(state: ModelState, lease_id: LeaseId, worker: int) -> ReportedState:
        for held in state.held[worker]:
            if held.job == lease_id.job:
                return ReportedState(LeaseReport.DONE if held.is_done else LeaseReport.RUNNING, state)
        if state.forgetful[worker]:
            return ReportedState(LeaseReport.UNKNOWN, state)
        fences = state.fences[worker]
        fence = max(lease_id.number, fences[lease_id.job])
        raised = _replaced(state.fences, worker, _replaced(fences, lease_id.job, fence))
        return ReportedState(LeaseReport.NEVER_RAN, replace(state, fences=raised))

    @staticmethod
    def _delivery_steps(state: ModelState) -> Iterator[Step]:
        for delivery in state.deliveries:
            number, lease, worker = delivery
            rest = replace(state, deliveries=tuple(d for d in state.deliveries if d != delivery))
            yield Step(f"lose {number}", rest)
            is_held = any(held.job == number for held in state.held[worker])
            if lease <= state.fences[worker][number] or is_held:
                continue
            begun = replace(
                rest,
                held=_replaced(rest.held, worker, (*rest.held[worker], HeldJob(number, lease, False))),
                run_counts=_replaced(rest.run_counts, number, rest.run_counts[number] + 1),
            )
            yield Step(f"begin {number} at {worker}", begun)

    def _worker_steps(self, state: ModelState, worker: int) -> Iterator[Step]:
        for held in state.held[worker]:
            if not held.is_done:
                jobs = tuple(job._replace(is_done=True) if job is held else job for job in state.held[worker])
                done = replace(state, held=_replaced(state.held, worker, jobs))
                yield Step(f"done {held.job} at {worker}", done)
            elif state.is_up and not state.unsure:
                # Its callback, again and again: late, doubled, of an older lease.
                machine = self._replay(state.disk + state.unsynced, held.job)
                if machine is not None and machine.is_open and machine.find_lease(str(worker)) is not None:
                    record = Record(RecordKind.FINAL, held.job, outcome=JobOutcome.SUCCEEDED)
                    yield Step(f"callback {held.job}", _write(state, record))
        if state.crashes_left and (state.held[worker] or any(state.fences[worker])):
            dead = replace(
                state,
                crashes_left=state.crashes_left - 1,
                held=_replaced(state.held, worker, ()),
                deliveries=tuple(d for d in state.deliveries if d.worker != worker),
                fences=_replaced(state.fences, worker, (0,) * len(self.semantics)),
                forgetful=_replaced(state.forgetful, worker, True),
            )
            yield Step(f"worker {worker} dies", dead)


def _write(state: ModelState, record: Record) -> ModelState:
    return replace(state, unsynced=(*state.unsynced, record))


def _steps_to(known: dict[ModelState, Step | None], state: ModelState) -> list[str]:
    """Return the names of the steps to a state; `known` has for each state the step before it."""
    names = []
    while (step := known[state]) is not None:
        names.append(step.name)
        state = step.state
    return names[::-1]


def _replaced(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    return (*values[:index], value, *values[index + 1 :])
