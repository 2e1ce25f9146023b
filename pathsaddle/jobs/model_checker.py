"""Model checking of the life of jobs: every order of crash, sync, send, delivery, callback, lease end, cancel,
expiry and restart, for a few jobs and workers, to a stated depth.

The steps' legality and what a worker's word means are `life`'s own functions, so that what is checked is what runs.
The disk syncs records in order; a crash loses what was not synced. A posting under way when its dispatcher dies may
still arrive. A worker that dies forgets all, and what was under way to it dies with its connections.
Invariants, after each step:

- a job whose client was told that it is taken on is on disk;
- an end that a client saw is the one on disk, now and after any restart;
- a once-only job has begun to run at most once;
- a job that was declined, or whose client was told so, has not run, where it may not run again;
- leases on disk are numbered upwards.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from pathsaddle.jobs import state_machine
from pathsaddle.jobs.state_machine import (
    End,
    InvalidTransitionError,
    JobRecord,
    JobStateMachine,
    Kind,
    Next,
    Word,
)
from pathsaddle.trade import Semantics

LEASES = 2  # a job at the most
EXPIRES = 1 << 40


class Rec(NamedTuple):
    """A record, as a value that can be hashed."""

    kind: Kind
    job: int
    number: int = 0
    worker: int = -1
    end: End | None = None


class Held(NamedTuple):
    """What a worker has of a job."""

    job: int
    number: int
    done: bool


@dataclass(frozen=True, slots=True)
class State:
    up: bool
    disk: tuple[Rec, ...]
    queue: tuple[Rec, ...]  # written and not synced
    sent: tuple[tuple[int, int], ...]  # (job, lease) whose posting has left in this life
    unsure: tuple[tuple[int, int], ...]  # leases from before our last start, not matched yet
    flying: tuple[tuple[int, int, int], ...]  # postings under way: (job, lease, worker)
    held: tuple[tuple[Held, ...], ...]  # by worker
    fences: tuple[tuple[int, ...], ...]  # by worker, by job: leases up to this one are refused
    restarted: tuple[bool, ...]  # workers that have died and forgotten
    runs: tuple[int, ...]  # by job: how often it began
    told: tuple[bool, ...]  # by job: its client was told that it is taken on
    seen: tuple[End | None, ...]  # by job: the end that its client saw
    crashes: int  # left to happen


class Broken(Exception):
    """An invariant does not hold; says which, and by what steps."""


class Model:
    """Jobs of the given kinds, before so many workers, with so many crashes of the dispatcher and of workers."""

    def __init__(self, kinds: list[Semantics], workers: int = 2, crashes: int = 2) -> None:
        self.kinds = kinds
        self.workers = workers
        many, few = len(kinds), range(workers)
        self.start = State(
            True,
            (),
            (),
            (),
            (),
            (),
            tuple(() for _ in few),
            tuple((0,) * many for _ in few),
            (False,) * workers,
            (0,) * many,
            (False,) * many,
            (None,) * many,
            crashes,
        )

    def job(self, records: tuple[Rec, ...], number: int) -> JobStateMachine | None:
        """The job as its records tell it, by `life`'s own steps; none: not accepted."""
        made: JobStateMachine | None = None
        for rec in records:
            if rec.job != number:
                continue
            if rec.kind is Kind.ACCEPT:
                made = JobStateMachine(str(number), self.kinds[number], 0, EXPIRES)
            elif made is not None:
                made.apply(JobRecord(rec.kind, made.tag, 0, rec.number, str(rec.worker), rec.end))
        return made

    def next(self, state: State) -> Iterator[tuple[str, State]]:
        """Every step that may follow."""
        if not state.up:
            yield "restart", self._restart(state)
        else:
            yield from self._dispatcher(state)
            if state.crashes:
                yield (
                    "crash",
                    replace(state, up=False, queue=(), sent=(), unsure=(), crashes=state.crashes - 1),
                )
        yield from self._workers(state)

    def _restart(self, state: State) -> State:
        unsure = []
        for number in range(len(self.kinds)):
            job = self.job(state.disk, number)
            if job is not None and job.open:
                unsure += [(number, lease.number) for lease in job.in_doubt()]
        return replace(state, up=True, unsure=tuple(unsure))

    def _write(self, state: State, rec: Rec) -> State:
        return replace(state, queue=(*state.queue, rec))

    def _dispatcher(self, state: State) -> Iterator[tuple[str, State]]:
        if state.queue:
            rec = state.queue[0]
            synced = replace(state, disk=(*state.disk, rec), queue=state.queue[1:])
            if rec.kind is Kind.ACCEPT:
                synced = replace(synced, told=_put(state.told, rec.job, True))
            elif rec.kind is Kind.FINAL:
                synced = replace(synced, seen=_put(state.seen, rec.job, rec.end))
            yield f"sync {rec.kind.value} {rec.job}", synced
        all_records = state.disk + state.queue
        for number, semantics in enumerate(self.kinds):
            job = self.job(all_records, number)
            if job is None:
                yield f"accept {number}", self._write(state, Rec(Kind.ACCEPT, number))
                continue
            if not job.open:
                continue
            unsure = any(doubt[0] == number for doubt in state.unsure)
            if len(job.leases) < LEASES and not unsure:
                for worker in range(self.workers):
                    rec = Rec(Kind.INTENT, number, job.next_number, worker)
                    try:  # the program asks `life` before it writes
                        self.job((*all_records, rec), number)
                    except InvalidTransitionError:
                        continue
                    yield f"intent {number} at {worker}", self._write(state, rec)
            for rec in state.disk:  # on disk first, then the bytes
                mark = (rec.job, rec.number)
                if (
                    rec.kind is Kind.INTENT
                    and rec.job == number
                    and mark not in state.sent
                    and mark not in state.unsure
                    and job.leases[-1].number == rec.number
                    and not job.leases[-1].never_ran
                ):
                    yield (
                        f"send {number}",
                        replace(
                            state,
                            sent=(*state.sent, mark),
                            flying=(*state.flying, (number, rec.number, rec.worker)),
                        ),
                    )
            for lease in job.in_doubt():
                mark = (number, lease.number)
                if mark in state.unsure or mark in state.sent:
                    yield from self._ask(state, number, lease.number, int(lease.worker), mark in state.unsure)
            yield f"cancel {number}", self._write(state, Rec(Kind.FINAL, number, end=End.CANCELLED))
            harmless = semantics is Semantics.REPEATABLE or not job.in_doubt()
            end = End.DECLINED if harmless else End.REVERSED
            yield f"expire {number}", self._write(state, Rec(Kind.FINAL, number, end=end))

    def _word(self, state: State, number: int, lease: int, worker: int) -> tuple[Word, State]:
        for held in state.held[worker]:
            if held.job == number:
                return (Word.DONE if held.done else Word.RUNNING), state
        if state.restarted[worker]:
            return Word.NONE, state
        fences = _put(
            state.fences, worker, _put(state.fences[worker], number, max(lease, state.fences[worker][number]))
        )
        return Word.NEVER, replace(state, fences=fences)

    def _ask(
        self, state: State, number: int, lease: int, worker: int, after: bool
    ) -> Iterator[tuple[str, State]]:
        word, asked = self._word(state, number, lease, worker)
        semantics = self.kinds[number]
        follows = (
            state_machine.after_restart(word, 0, EXPIRES)
            if after
            else state_machine.lapsed(word, semantics, 0, EXPIRES)
        )
        mark = (number, lease)
        matched = replace(
            asked,
            unsure=tuple(m for m in asked.unsure if m != mark),
            sent=asked.sent if mark in asked.sent else (*asked.sent, mark),
        )
        name = f"ask {number} of {worker}: {word.name}"
        if follows is Next.SETTLE:
            yield name, self._write(matched, Rec(Kind.FINAL, number, end=End.SETTLED))
        elif follows is Next.CLEAR:
            yield name, self._write(matched, Rec(Kind.CLEAR, number, lease))
        elif follows in (Next.RESUME, Next.DOUBT):
            yield name, matched

    def _workers(self, state: State) -> Iterator[tuple[str, State]]:
        for flight in state.flying:
            number, lease, worker = flight
            rest = replace(state, flying=tuple(f for f in state.flying if f != flight))
            yield f"lose {number}", rest
            known = any(held.job == number for held in state.held[worker])
            if lease <= state.fences[worker][number] or known:
                continue
            begun = replace(
                rest,
                held=_put(rest.held, worker, (*rest.held[worker], Held(number, lease, False))),
                runs=_put(rest.runs, number, rest.runs[number] + 1),
            )
            yield f"begin {number} at {worker}", begun
        for worker in range(self.workers):
            for held in state.held[worker]:
                if not held.done:
                    done = tuple(h._replace(done=True) if h is held else h for h in state.held[worker])
                    yield f"done {held.job} at {worker}", replace(state, held=_put(state.held, worker, done))
                elif state.up and not state.unsure:
                    # Its callback, again and again: late, doubled, of an older lease.
                    job = self.job(state.disk + state.queue, held.job)
                    if job is not None and job.open and job.lease_of(str(worker), None) is not None:
                        yield (
                            f"callback {held.job}",
                            self._write(state, Rec(Kind.FINAL, held.job, end=End.SETTLED)),
                        )
            if state.crashes and (state.held[worker] or any(state.fences[worker])):
                yield (
                    f"worker {worker} dies",
                    replace(
                        state,
                        crashes=state.crashes - 1,
                        held=_put(state.held, worker, ()),
                        flying=tuple(f for f in state.flying if f[2] != worker),
                        fences=_put(state.fences, worker, (0,) * len(self.kinds)),
                        restarted=_put(state.restarted, worker, True),
                    ),
                )

    def check(self, state: State) -> None:
        """Raises Broken."""
        for number, semantics in enumerate(self.kinds):
            job = self.job(state.disk, number)
            if state.told[number] and job is None:
                raise Broken(f"job {number} was taken on and is not on disk")
            if state.seen[number] is not None and (job is None or job.end is not state.seen[number]):
                raise Broken(f"job {number} was seen {state.seen[number]} and is not so on disk")
            if semantics is Semantics.ONCE_ONLY and state.runs[number] > 1:
                raise Broken(f"once-only job {number} began {state.runs[number]} times")
            if semantics is Semantics.ONCE_ONLY and state.seen[number] is End.DECLINED and state.runs[number]:
                raise Broken(f"once-only job {number} was declined and has run")
            numbers = [lease.number for lease in job.leases] if job is not None else []
            if job is not None and numbers != sorted(dict.fromkeys(numbers)):
                raise Broken(f"job {number} has leases {job.leases}")

    def search(self, depth: int) -> int:
        """How many states there are to that depth; raises Broken with the steps that led there."""
        self.check(self.start)
        known: dict[State, tuple[State, str] | None] = {self.start: None}
        edge = [self.start]
        for _ in range(depth):
            following = []
            for state in edge:
                for name, other in self.next(state):
                    if other in known:
                        continue
                    known[other] = (state, name)
                    try:
                        self.check(other)
                    except (Broken, InvalidTransitionError) as fault:
                        raise Broken(f"{fault}\n" + "\n".join(self._steps(known, other))) from None
                    following.append(other)
            edge = following
        return len(known)

    @staticmethod
    def _steps(known: dict[State, tuple[State, str] | None], state: State) -> list[str]:
        steps = []
        at: State = state
        while (before := known[at]) is not None:
            at, name = before
            steps.append(name)
        return steps[::-1]


def _put(row: tuple, at: int, value: object) -> tuple:  # type: ignore[type-arg]
    return (*row[:at], value, *row[at + 1 :])
