"""The life of a durable job, free of I/O: which step may follow which, and what must be on disk before what.

A job is accepted, then leased to one worker after another. A lease has a number that only grows (a fencing
token) and goes through intended, sent, taken, running. A job ends once: settled, declined, reversed or
cancelled. Of these steps only four are records on disk, and each must be synced before the next byte leaves:

    accept   before the client is told that it has been taken on
    intent   before the first byte of the posting leaves
    final    before the client sees the answer
    cancel   before the client is told that its wish is known

`clear` is a fifth: a lease is known never to have run. It may be late or lost, which only makes us more careful:
what was intended and is not cleared may have run.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from pathsaddle.trade import Semantics


class Kind(Enum):
    """The kinds of records."""

    ACCEPT = "accept"
    INTENT = "intent"
    CLEAR = "clear"
    CANCEL = "cancel"
    FINAL = "final"


class End(Enum):
    """The one final answer."""

    SETTLED = "settled"
    DECLINED = "declined"
    REVERSED = "reversed"
    CANCELLED = "cancelled"


class InvalidTransitionError(ValueError):
    """A record that can't follow the ones before it."""


@dataclass(slots=True)
class Lease:
    number: int
    worker: str
    at: int
    never_ran: bool = False  # known, by the worker's word or ours


@dataclass(slots=True)
class JobRecord:
    """One step as it stands on disk."""

    kind: Kind
    job: str
    at: int = 0
    number: int = 0  # of a lease
    worker: str = ""
    end: End | None = None
    status: int = 0
    result: bytes = b""


@dataclass(slots=True, eq=False)
class JobStateMachine:
    """A job as its records tell it."""

    tag: str
    semantics: Semantics
    accepted: int
    expires: int
    leases: list[Lease] = field(default_factory=list)
    cancel: bool = False
    end: End | None = None
    status: int = 0
    result: bytes = b""
    ended: int = 0
    changes: int = 0  # how often what its client may see has changed

    @property
    def open(self) -> bool:
        return self.end is None

    def in_doubt(self) -> list[Lease]:
        """The leases that may have run, the last first."""
        return [lease for lease in reversed(self.leases) if not lease.never_ran]

    def apply(self, record: JobRecord) -> None:
        """Raises Impossible where the record can't follow; replaying a store and living use the same."""
        if record.kind is Kind.CLEAR:
            for lease in self.leases:
                if lease.number == record.number:
                    lease.never_ran = True
            return
        if not self.open:
            raise InvalidTransitionError(f"{self.tag}: {record.kind.value} after its end")
        if record.kind is Kind.INTENT:
            # They only grow; one whose intent the disk refused was never sent, and leaves a gap.
            if record.number < self.next_number:
                raise InvalidTransitionError(
                    f"{self.tag}: lease {record.number} where {self.next_number} is next"
                )
            if self.semantics is Semantics.ONCE_ONLY and self.in_doubt():
                raise InvalidTransitionError(
                    f"{self.tag}: once-only, and lease {self.in_doubt()[0].number} may have run"
                )
            self.leases.append(Lease(record.number, record.worker, record.at))
        elif record.kind is Kind.CANCEL:
            self.cancel = True
        elif record.kind is Kind.FINAL:
            assert record.end is not None
            self.end, self.status, self.result = record.end, record.status, record.result
            self.ended = record.at
        self.changes += 1

    @property
    def next_number(self) -> int:
        return self.leases[-1].number + 1 if self.leases else 1

    def lease_of(self, worker: str, number: int | None) -> Lease | None:
        """The lease that a worker's word is about; by its number where it says one."""
        for lease in reversed(self.leases):
            if lease.worker == worker and (number is None or lease.number == number):
                return lease
        return None


class Word(Enum):
    """What a worker says of a lease when asked after our restart."""

    RUNNING = "it has the job"
    DONE = "it has done it, and here is the result"
    FAILED = "it began and has failed"
    NEVER = "it never began, and will refuse this lease from now on"
    NONE = "it can't say, or can't be reached"


class Next(Enum):
    """What follows for the lease."""

    RESUME = "wait for it as before"
    SETTLE = "its result is the job's"
    CLEAR = "it never ran"
    DOUBT = "it may have run, and nobody will tell more"
    ASK = "ask again later"


def after_restart(word: Word, now: int, expires: int) -> Next:
    """What a worker's word after our own restart means for its lease: until expiry we go on asking whoever can't
    say, since it may come back; nothing is posted meanwhile where that could be a second effect.
    """
    if word is Word.RUNNING:
        return Next.RESUME
    if word is Word.DONE:
        return Next.SETTLE
    if word is Word.NEVER:
        return Next.CLEAR
    if word is Word.FAILED or now >= expires:
        return Next.DOUBT
    return Next.ASK


def lapsed(word: Word, semantics: Semantics, now: int, expires: int) -> Next:
    """A lease has been without a sign of life for its time. Who may run again is let go; a once-only one waits for
    the worker's own word until its expiry.
    """
    if word is Word.NONE and semantics is not Semantics.ONCE_ONLY:
        return Next.DOUBT
    return after_restart(word, now, expires)


def expires_after_restart(accepted: int, expires: int, now: int) -> int:
    """The clock may have been stepped back while we were away: no job lasts longer from now than it had in all."""
    return min(expires, now + max(0, expires - accepted))
