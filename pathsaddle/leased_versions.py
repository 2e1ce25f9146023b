"""Versions of the spec by rule, not by arrival: what a member may do, and when a tightening is in force.

Bound: at no instant after a version was told to be in force is a job posted to, or data read in, a region
that it forbids, unless a later version that allows it was committed before; whatever is lost, doubled, late,
whoever stops, restarts, or is cut off, as long as no clock runs off by more than DRIFT.

Why. A version has a number from a register that only grows, and the digest of its text; that is all that is
needed of the register. Whoever goes by more than home alone holds a lease: somebody has read the register
*after* it asked, and the lease counts from before the asking, by a clock taken to be slow. So once a number
is committed, no lease on a lower one outlasts `surely` of a lease from then, whoever dies, and nobody need
remember what was granted: several keepers at once do no harm. What is offered and not committed binds as far
as it narrows, at once, and allows nothing. So a loosening waits for its commit, and a tightening doesn't.

In force sooner than a lease from its commit: when all who could act on an older one say that they have it
*committed*. A word of having the mere offer proves nothing: its sayer may start again from an older disk and
be granted the older number once more, before the commit. After it every reading gives the new one.

Home alone holds without a lease. So a version that forbids what an older one has as home can't be in force
by the end of leases: each member of that region has to say so, and keeps what it said on disk, synced before.

A spec is whatever says what `Text` does: the federation's (`federation/spec.py`), where alone means home alone,
and the rows of `settings/active_terms.py`, where it means all that they allow. No I/O; ticks of a monotonic clock of
each.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import TYPE_CHECKING, Any, Generic, Protocol, Self

from pathsaddle.federation.spec import Rule, Spec
from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT

LEASE = 100_000  # ticks
NEVER = -1 << 60
MOST_OPEN = 8  # askings that may still be answered


def certain_lease_end(lease: int) -> int:
    """A lease's length by a clock that may be fast: over by then for certain."""
    return -int(-lease * (1 + MAX_CLOCK_DRIFT) // 1) + 1


def maybe(lease: int) -> int:
    """And by one that may be slow: not over until then for certain."""
    return int(lease * (1 - 2 * MAX_CLOCK_DRIFT)) - 1


class Text(Protocol):
    """What a version says, as far as it is judged here."""

    def members(self) -> dict[str, str]:
        """Member -> its region: who must have a version before it is in force."""

    def has_member(self, name: str, here: str) -> bool:
        """Whether that member may hold a lease in that region."""

    def withdrawn(self, new: Any, here: str) -> bool:
        """Whether somebody in `here` that hears nothing would, by this text, do what `new` forbids."""


class Narrows(Protocol):
    def narrowed(self, other: Self, /) -> Self:
        """What both allow."""


if TYPE_CHECKING:
    from typing_extensions import TypeVar  # mypy's own; nothing of it is imported when this runs

    T = TypeVar("T", bound=Text, default=Spec)
    N = TypeVar("N", bound=Narrows)
else:
    from typing import TypeVar

    T, N = TypeVar("T"), TypeVar("N")


@dataclass(frozen=True)
class Version(Generic[T]):
    number: int
    digest: str
    spec: T = field(compare=False, repr=False)


@dataclass(frozen=True)
class Offer(Generic[T]):
    """A text that may become the version of that number."""

    version: Version[T]


@dataclass(frozen=True)
class CommitNotice:
    """The register has this number with this digest, or a higher one."""

    number: int
    digest: str


@dataclass(frozen=True)
class AppliedAck:
    """`name` goes by this number, and knows that it is committed."""

    name: str
    number: int
    digest: str


@dataclass(frozen=True)
class SyncRequest:
    """Asks what is committed. echo: grows with each asking of a life."""

    name: str
    life: int
    echo: int


@dataclass(frozen=True)
class LeaseRenewal:
    """What the register had after that asking came."""

    name: str
    life: int
    echo: int
    number: int
    digest: str


@dataclass(frozen=True)
class VersionSubscriber(Generic[T]):
    """What one member knows; never changed, only replaced.

    base: the highest committed version whose text it has. known: (number, digest) of the highest committed.
    offers: of higher numbers than known. until: of its own clock, the end of its lease; a new life has none.
    """

    name: str
    here: str
    life: int
    lease: int
    base: Version[T]
    known: tuple[int, str]
    offers: tuple[Version[T], ...] = ()
    until: int = NEVER
    echo: int = 0
    open: tuple[tuple[int, int], ...] = ()

    def asks(self, now: int) -> tuple[VersionSubscriber[T], SyncRequest]:
        echo = self.echo + 1
        return replace(self, echo=echo, open=(*self.open, (echo, now))[-MOST_OPEN:]), SyncRequest(
            self.name, self.life, echo
        )

    def offered(self, version: Version[T]) -> VersionSubscriber[T]:
        """Binds at once as far as it narrows; is kept until a commit settles its number."""
        if (version.number, version.digest) == self.known:  # settled already: it is the one committed
            return self if version == self.base else replace(self, base=version)
        if version in self.offers or version.number <= self.known[0]:
            return self
        return replace(self, offers=(*self.offers, version))

    def committed(self, number: int, digest: str) -> VersionSubscriber[T]:
        # The same number with another digest: what this member was started with is not what was committed.
        if number < self.known[0] or (number, digest) == self.known:
            return self
        base = next((one for one in self.offers if (one.number, one.digest) == (number, digest)), self.base)
        return replace(
            self,
            known=(number, digest),
            base=base,
            offers=tuple(one for one in self.offers if one.number > number),
        )

    def caught_up(self, version: Version[T]) -> VersionSubscriber[T]:
        """A version that is surely committed, perhaps below the highest known: on the way to that one. Keep it on disk,
        synced, before any word of it.
        """
        if version.number <= self.base.number:
            return self
        if version.number >= self.known[0]:
            return self.offered(version).committed(version.number, version.digest)
        return replace(self, base=version)

    def told(self, commit: CommitNotice) -> tuple[VersionSubscriber[T], AppliedAck | None]:
        """Keep what it returns on disk, synced, before the word is sent."""
        after = self.committed(commit.number, commit.digest)
        return after, after.has()

    def has(self) -> AppliedAck | None:
        if (self.base.number, self.base.digest) != self.known:
            return None
        return AppliedAck(self.name, *self.known)

    def renewed(self, told: LeaseRenewal, now: int) -> VersionSubscriber[T]:
        asked = dict(self.open).get(told.echo)
        if asked is None or (told.name, told.life) != (self.name, self.life) or told.number < self.known[0]:
            return self
        after = self.committed(told.number, told.digest)
        until = asked + maybe(self.lease)
        if until <= self.until and after is self:
            return self
        return replace(
            after, until=max(self.until, until), open=tuple(row for row in self.open if row[0] > told.echo)
        )

    def ends(self) -> int:
        """Until when it goes by `base` and more than home alone: not at all, where a higher one is known without its
        text, or where the spec doesn't name this member.
        """
        if (self.base.number, self.base.digest) != self.known or not self.base.spec.has_member(
            self.name, self.here
        ):
            return NEVER
        return self.until

    def leased(self, now: int) -> bool:
        """Whether it may go by more than home alone now; asked before each use."""
        return now < self.ends()

    def narrowest(self, right: Callable[[T], N]) -> N:
        """Of what is known; `right`: what is asked for, of one text."""
        found = right(self.base.spec)
        for offer in self.offers:
            found = found.narrowed(right(offer.spec))
        return found

    def rule(self: VersionSubscriber[Spec], scheme: str, now: int) -> Rule:
        """The narrowest of what is known; home alone without a lease."""
        rule = self.narrowest(lambda spec: spec.rule(scheme, self.here))
        return rule if self.leased(now) else rule.alone()


def new_subscriber(name: str, here: str, life: int, lease: int, version: Version[T]) -> VersionSubscriber[T]:
    """A life begins with the version that its disk has: any committed one."""
    return VersionSubscriber(name, here, life, lease, version, (version.number, version.digest))


@dataclass(frozen=True)
class VersionServer(Generic[T]):
    """Reads the register for others and tells what is in force; holds no right that another keeper lacks.

    history: the texts of committed versions that it knows. since: when it learnt of the highest. rows:
    (member, highest number that it said to have). force: the highest number told to be in force.
    gone: members that, by the operator's word, never start again with the disk that they had.
    begins: the lowest number that `history` is to hold. cleared: a number that was in force by this keeper's own
    proof, and of which it still has the text; 0: none. learnt: (number, when it first knew of that or a higher one).
    """

    lease: int
    born: int
    known: tuple[int, str] = (0, "")
    history: tuple[Version[T], ...] = ()
    since: int = 0
    rows: tuple[tuple[str, int], ...] = ()
    force: int = 0
    gone: tuple[str, ...] = ()
    begins: int = 1
    cleared: int = 0
    learnt: tuple[tuple[int, int], ...] = field(default=(), compare=False)  # `judged_each` alone goes by it

    def reads(self, number: int, digest: str, version: Version[T] | None, now: int) -> VersionServer[T]:
        """What the register has now, with the text where it is at hand."""
        history = self.history
        if (
            version is not None
            and version not in history
            and (version.number, version.digest) == (number, digest)
        ):
            history = tuple(sorted((*history, version), key=lambda one: one.number))
        if number > self.known[0]:
            return replace(
                self, known=(number, digest), since=now, history=history, learnt=(*self.learnt, (number, now))
            )
        return replace(self, history=history) if history is not self.history else self

    def answers(self, ask: SyncRequest) -> LeaseRenewal:
        """After a reading of the register that began after the asking came."""
        return LeaseRenewal(ask.name, ask.life, ask.echo, *self.known)

    def hears(self, have: AppliedAck) -> VersionServer[T]:
        if (have.number, have.digest) != self.known and not any(
            (one.number, one.digest) == (have.number, have.digest) for one in self.history
        ):
            return self
        rows = dict(self.rows)
        if rows.get(have.name, 0) >= have.number:
            return self
        rows[have.name] = have.number
        return replace(self, rows=tuple(sorted(rows.items())))

    def waits_for(self, now: int) -> tuple[str, ...]:
        """The members without whose word, or before whose lease's end, the highest version is not in force;
        "?" where this keeper does not know all versions that somebody may go by.
        """
        number = self.known[0]
        if not self.history or (self.history[-1].number, self.history[-1].digest) != self.known:
            return ("?",)
        whole = [one.number for one in self.history] == list(range(self.begins, number + 1))
        over = now >= self.since + certain_lease_end(self.lease)
        if not whole:
            return ("?",)
        told = dict(self.rows)
        names: dict[str, str] = {}
        for one in self.history:
            names.update(one.spec.members())
        late = []
        for name, here in sorted(names.items()):
            has = told.get(name, 0)
            if has >= number or name in self.gone:
                continue
            has = max(has, self.cleared)
            # Below where the history begins nobody can tell any more what it goes by.
            if not over or (has < self.begins > 1) or has <= _last_withdrawn(self.history, here):
                late.append(name)
        return tuple(late)

    def judged(self, now: int) -> VersionServer[T]:
        if self.force < self.known[0] and not self.waits_for(now):
            return replace(self, force=self.known[0])
        return self

    def judged_each(self, now: int, memo: dict[tuple[int, str], int]) -> VersionServer[T]:
        """As `judged`, but of every version: where commits follow one another closely the highest is never had by all.
        What makes the highest in force makes any: its number was committed before `learnt`, and who has a higher one goes
        by what was committed later. memo: kept by the caller for one line of versions, where a number's text and all
        below it never differ.
        """
        if not self.history or self.history[-1].number - self.begins + 1 != len(self.history):
            return self
        top, told = self.history[-1].number, dict(self.rows)
        over = max(
            (number for number, at in self.learnt if now >= at + certain_lease_end(self.lease)), default=0
        )
        first: dict[str, tuple[int, str]] = {}
        last: object = None
        for one in self.history:
            members = one.spec.members()
            if members is not last:
                last = members
                for name, here in members.items():
                    first[name] = (first.get(name, (one.number, ""))[0], here)
        behind = []
        for name, (since, here) in sorted(first.items()):
            has = max(told.get(name, 0), self.cleared)
            if has < top and name not in self.gone:
                behind.append((since, here, has))

        def late(i: int, since: int, here: str, has: int) -> bool:
            number = self.history[i].number
            if number < since or has >= number:
                return False
            if number > over or has < self.begins > 1:
                return True
            if (number, here) not in memo:
                memo[number, here] = _last_withdrawn(self.history[: i + 1], here)
            return has <= memo[number, here]

        for i in range(len(self.history) - 1, -1, -1):
            if self.history[i].number <= self.force:
                break
            if not any(late(i, *row) for row in behind):
                return replace(self, force=self.history[i].number)
        return self

    def cut(self, most: int) -> VersionServer[T]:
        """Without what is below the version in force, and of the rest the latest `most`.

        Sound only where `withdrawn` is the complement of an order, so transitive (the federation's is not: home alone
        by an older version may be allowed by the next and forbidden by one after it, though that forbids nothing
        of the next), and where a text leaves out nobody who may still go by an older one. Why: let f be in force by
        this keeper's proof and n later. Whoever had not said f then had no lease on less, never again has one, and
        f forbids nothing of any version x that it may go by. If n forbids something of x, then, since x is within f,
        n forbids it of f: f in place of x finds it. So such a member counts as if it had said f (`cleared`).
        What goes by `most` is not proven so: whoever has said nothing from there on is waited for.
        """
        cleared = max(self.cleared, self.force)
        begins = max(self.begins, cleared, self.history[-1].number - most + 1 if self.history else 0)
        if begins == self.begins and cleared == self.cleared:
            return self
        return replace(
            self,
            begins=begins,
            cleared=cleared,
            history=tuple(one for one in self.history if one.number >= begins),
            learnt=tuple(row for row in self.learnt if row[0] >= begins),
        )


@lru_cache(64)
def _last_withdrawn(history: tuple[Version[Any], ...], here: str) -> int:
    """The highest number of a version by which somebody in `here` that hears nothing would do what the last forbids;
    0: none.
    """
    new = history[-1].spec
    return next((one.number for one in history[-2::-1] if one.spec.withdrawn(new, here)), -1)


@dataclass(frozen=True)
class VersionChange:
    """region: which is allowed no more, or newly; empty where another right of the scheme differs. key:
    which.
    """

    scheme: str
    region: str
    key: str
    tightens: bool


def compare_versions(old: Spec, new: Spec) -> list[VersionChange]:
    """All that `new` takes away or gives, in the order of schemes and regions. Order of failing over,
    home and copies are no
    rights: they change with the commit, like a loosening.
    """
    found = []
    for name in sorted({**old.schemes, **new.schemes}):
        if name not in old.schemes or name not in new.schemes:
            # Outside a spec it stays where it was taken: with it each region but its own is given or taken.
            inside = (new if name in new.schemes else old).rule(name, "")
            found += [
                VersionChange(name, region, "scheme", name not in new.schemes)
                for region in sorted(inside.may)
            ]
            found += [
                VersionChange(name, region, "scheme", name in new.schemes)
                for region in sorted(new.regions)
                if region not in inside.may
            ]
            continue
        one, two = old.rule(name, ""), new.rule(name, "")
        found += [
            VersionChange(name, region, "may", region in one.may) for region in sorted(one.may ^ two.may)
        ]
        found += [
            VersionChange(name, "", f"when.{word}", word in one.when) for word in sorted(one.when ^ two.when)
        ]
        if one.at_most != two.at_most:
            found.append(VersionChange(name, "", "at_most", two.at_most < one.at_most))
        if one.staleness != two.staleness:
            far = 1 << 60
            found.append(
                VersionChange(
                    name,
                    "",
                    "staleness",
                    (far if two.staleness is None else two.staleness)
                    < (far if one.staleness is None else one.staleness),
                )
            )
    for name in sorted({**old.data, **new.data}):
        found += [
            VersionChange(f"data.{name}", region, "may", region in old.readable(name))
            for region in sorted(old.readable(name) ^ new.readable(name))
        ]
    return found
