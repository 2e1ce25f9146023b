"""Leases on versions: which rights a member has now, and when a version is in force.

Guarantee: once a version is reported to be in force, no job is posted to a region that it forbids and no data
is read there, unless a later version that allows the region was committed before. The guarantee holds when
messages are lost, duplicated or late and when processes stop, restart or are partitioned, as long as no clock
drifts by more than MAX_CLOCK_DRIFT.

The register supplies a number that only grows and the digest of the version's text. A member that uses
rights beyond its home region holds a lease. Before a server grants the lease, it reads the register, and
this reading begins after the member's request has arrived. The member counts the lease from the time when it
sent the request, and assumes that its clock is slow. Hence every lease on a lower number has ended
`certain_lease_end(lease)` ticks after a number is committed, whichever process dies. No server has to
remember the leases that it granted, so several servers may run at once. A proposal that is not committed yet
narrows the rights at once and grants none. A relaxation therefore waits for its commit, and a tightening
does not.

A version is in force before the leases end if every member that could act on an older one has acknowledged
that it has the version *committed*. An acknowledgement of the mere proposal would prove nothing: its sender
could restart from an older disk and get a lease on the older number again before the commit. After the commit
every reading of the register returns the new number.

The home region needs no lease. If a version forbids something that an older one allows there, the end of the
leases does not put it in force: each member of that region has to acknowledge it, and has to sync what it
acknowledges to disk before.

A spec is any type that implements `VersionContent`: the federation's spec (`federation/spec.py`), where a
member without a lease may use its home region alone, and the entries of `settings/active_terms.py`, where
it may use all that they allow. The module does no I/O. Times are ticks of the local monotonic clock of each
process.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import TYPE_CHECKING, Any, Generic, Protocol, Self

from pathsaddle.federation.spec import Rule, Spec
from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT

LEASE = 100_000  # ticks
NO_LEASE = -1 << 60  # the end of a lease that was never granted, ticks
MAX_OPEN_REQUESTS = 8  # sync requests that a reply may still answer


def certain_lease_end(lease: int) -> int:
    """Return after how many ticks a lease has certainly ended, by a clock that may be fast."""
    return -int(-lease * (1 + MAX_CLOCK_DRIFT) // 1) + 1


def safe_lease_ticks(lease: int) -> int:
    """Return for how many ticks a lease has certainly not ended, by a clock that may be slow."""
    return int(lease * (1 - 2 * MAX_CLOCK_DRIFT)) - 1


class VersionContent(Protocol):
    """The content of a version, as far as this module uses it."""

    def members(self) -> dict[str, str]:
        """Return the region of each member that must have a version before it is in force."""

    def has_member(self, name: str, here: str) -> bool:
        """Return whether the member `name` may hold a lease in the region `here`."""

    def withdrawn(self, new: Any, here: str) -> bool:
        """Return whether this version allows, without a lease, something that `new` forbids.

        That is what a member in the region `here` that receives no messages would go on doing.
        """


class SupportsNarrowed(Protocol):
    """Rights that can be intersected."""

    def narrowed(self, other: Self, /) -> Self:
        """Return the rights that both allow."""


if TYPE_CHECKING:
    from typing_extensions import TypeVar  # needed by mypy alone

    T = TypeVar("T", bound=VersionContent, default=Spec)
    N = TypeVar("N", bound=SupportsNarrowed)
else:
    from typing import TypeVar

    T, N = TypeVar("T"), TypeVar("N")


@dataclass(frozen=True)
class Version(Generic[T]):
    """A numbered spec; two versions with one number and digest are equal."""

    number: int
    digest: str
    spec: T = field(compare=False, repr=False)


@dataclass(frozen=True)
class Offer(Generic[T]):
    """A proposal: a spec that may be committed under that number."""

    version: Version[T]


@dataclass(frozen=True)
class CommitNotice:
    """Tells that the register has committed this number with this digest, or a higher one."""

    number: int
    digest: str


@dataclass(frozen=True)
class AppliedAck:
    """Acknowledges that the member `name` acts by this number and knows that it is committed."""

    name: str
    number: int
    digest: str


@dataclass(frozen=True)
class SyncRequest:
    """Asks a server for the committed version.

    Attributes:
        name: The member that asks.
        life: Its incarnation.
        echo: The number of the request in this incarnation; it grows.
    """

    name: str
    life: int
    echo: int


@dataclass(frozen=True)
class LeaseRenewal:
    """Answers a `SyncRequest` with what the register had after the request arrived."""

    name: str
    life: int
    echo: int
    number: int
    digest: str


@dataclass(frozen=True)
class VersionSubscriber(Generic[T]):
    """The state of one member. It is immutable: each method returns the next state.

    Attributes:
        name: The member.
        here: Its region.
        life: Its incarnation.
        lease: The length of a lease, ticks.
        base: The highest committed version whose spec the member has.
        known: Number and digest of the highest version that it knows to be committed.
        offers: Proposals with numbers above `known`.
        until: The end of its lease by its own clock; a new incarnation has none.
        echo: The number of the last sync request.
        open: Number and time of each sync request that a reply may still answer.
    """

    name: str
    here: str
    life: int
    lease: int
    base: Version[T]
    known: tuple[int, str]
    offers: tuple[Version[T], ...] = ()
    until: int = NO_LEASE
    echo: int = 0
    open: tuple[tuple[int, int], ...] = ()

    def asks(self, now: int) -> tuple[VersionSubscriber[T], SyncRequest]:
        """Return the next state and the sync request to send."""
        echo = self.echo + 1
        return replace(self, echo=echo, open=(*self.open, (echo, now))[-MAX_OPEN_REQUESTS:]), SyncRequest(
            self.name, self.life, echo
        )

    def offered(self, version: Version[T]) -> VersionSubscriber[T]:
        """Add a proposal. It narrows the rights at once, until a commit decides its number."""
        if (version.number, version.digest) == self.known:  # this very version is committed
            return self if version == self.base else replace(self, base=version)
        if version in self.offers or version.number <= self.known[0]:
            return self
        return replace(self, offers=(*self.offers, version))

    def committed(self, number: int, digest: str) -> VersionSubscriber[T]:
        """Record that a number is committed, and drop the proposals up to it."""
        # The number may equal that of `known` and the digest may differ: then the member was started with
        # another version under this number than the committed one.
        if number < self.known[0] or (number, digest) == self.known:
            return self
        base = next((one for one in self.offers if (one.number, one.digest) == (number, digest)), self.base)
        return replace(
            self,
            known=(number, digest),
            base=base,
            offers=tuple(offer for offer in self.offers if offer.number > number),
        )

    def caught_up(self, version: Version[T]) -> VersionSubscriber[T]:
        """Add a version that is certainly committed, even one below the highest that is known.

        The caller syncs the returned state to disk before it sends anything about the version.
        """
        if version.number <= self.base.number:
            return self
        if version.number >= self.known[0]:
            return self.offered(version).committed(version.number, version.digest)
        return replace(self, base=version)

    def told(self, commit: CommitNotice) -> tuple[VersionSubscriber[T], AppliedAck | None]:
        """Record a commit, and return the acknowledgement if the member has the committed version.

        The caller syncs the returned state to disk before it sends the acknowledgement.
        """
        after = self.committed(commit.number, commit.digest)
        return after, after.has()

    def has(self) -> AppliedAck | None:
        """Return the acknowledgement of the highest committed version, or None if its spec is missing."""
        if (self.base.number, self.base.digest) != self.known:
            return None
        return AppliedAck(self.name, *self.known)

    def renewed(self, reply: LeaseRenewal, now: int) -> VersionSubscriber[T]:
        """Extend the lease by the reply to an open request, counted from the sending of that request."""
        sent = dict(self.open).get(reply.echo)
        if sent is None or (reply.name, reply.life) != (self.name, self.life) or reply.number < self.known[0]:
            return self
        after = self.committed(reply.number, reply.digest)
        until = sent + safe_lease_ticks(self.lease)
        if until <= self.until and after is self:
            return self
        return replace(
            after, until=max(self.until, until), open=tuple(ask for ask in self.open if ask[0] > reply.echo)
        )

    def ends(self) -> int:
        """Return until when the member may use the rights of `base` that need a lease.

        That is `NO_LEASE` if a higher version is known without its spec, or if the spec does not name the
        member.
        """
        if (self.base.number, self.base.digest) != self.known or not self.base.spec.has_member(
            self.name, self.here
        ):
            return NO_LEASE
        return self.until

    def leased(self, now: int) -> bool:
        """Return whether the member may use leased rights now; callers check it before each use."""
        return now < self.ends()

    def narrowest(self, right: Callable[[T], N]) -> N:
        """Return the intersection of one right over `base` and all proposals.

        Args:
            right: Returns the right that one spec grants.
        """
        narrowed = right(self.base.spec)
        for offer in self.offers:
            narrowed = narrowed.narrowed(right(offer.spec))
        return narrowed

    def rule(self: VersionSubscriber[Spec], scheme: str, now: int) -> Rule:
        """Return what `base` and all proposals allow; without a lease, the home region alone."""
        rule = self.narrowest(lambda spec: spec.rule(scheme, self.here))
        return rule if self.leased(now) else rule.alone()


def new_subscriber(name: str, here: str, life: int, lease: int, version: Version[T]) -> VersionSubscriber[T]:
    """Return the state of a new incarnation, which starts with any committed version that its disk has."""
    return VersionSubscriber(name, here, life, lease, version, (version.number, version.digest))


@dataclass(frozen=True)
class VersionServer(Generic[T]):
    """The state of a server, which grants leases by the register and reports what is in force.

    All servers are equal: none has a right that another one lacks.

    Attributes:
        lease: The length of a lease, ticks.
        born: When the server started.
        known: Number and digest of the highest committed version that it has read.
        history: The committed versions whose specs it has, by number.
        since: When it first read of the highest one.
        rows: Each member with the highest number that it has acknowledged.
        force: The highest number that was reported to be in force.
        gone: Members that never start again with their old disk, as the operator has stated.
        begins: The lowest number that `history` is to hold.
        cleared: A number that this server proved to be in force and whose spec it still has; 0 if none.
        learnt: Each number with the time when the server first knew of it or of a higher one.
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
    learnt: tuple[tuple[int, int], ...] = field(default=(), compare=False)  # used by `judged_each` alone

    def reads(self, number: int, digest: str, version: Version[T] | None, now: int) -> VersionServer[T]:
        """Record the highest committed version of the register, with its spec if that is available."""
        history = self.history
        if (
            version is not None
            and version not in history
            and (version.number, version.digest) == (number, digest)
        ):
            history = tuple(sorted((*history, version), key=lambda entry: entry.number))
        if number > self.known[0]:
            return replace(
                self, known=(number, digest), since=now, history=history, learnt=(*self.learnt, (number, now))
            )
        return replace(self, history=history) if history is not self.history else self

    def answers(self, request: SyncRequest) -> LeaseRenewal:
        """Return the reply; the last reading of the register must have begun after the request."""
        return LeaseRenewal(request.name, request.life, request.echo, *self.known)

    def hears(self, ack: AppliedAck) -> VersionServer[T]:
        """Record an acknowledgement, unless its version is not known to be committed."""
        if (ack.number, ack.digest) != self.known and not any(
            (version.number, version.digest) == (ack.number, ack.digest) for version in self.history
        ):
            return self
        acknowledged = dict(self.rows)
        if acknowledged.get(ack.name, 0) >= ack.number:
            return self
        acknowledged[ack.name] = ack.number
        return replace(self, rows=tuple(sorted(acknowledged.items())))

    def waits_for(self, now: int) -> tuple[str, ...]:
        """Return the members for which the highest version waits before it is in force.

        Each of them has to acknowledge the version, or its lease has to end. The result is ("?",) if this
        server does not know all versions that a member may act by.
        """
        number = self.known[0]
        if not self.history or (self.history[-1].number, self.history[-1].digest) != self.known:
            return ("?",)
        is_complete = [version.number for version in self.history] == list(range(self.begins, number + 1))
        expired = now >= self.since + certain_lease_end(self.lease)
        if not is_complete:
            return ("?",)
        acknowledged = dict(self.rows)
        regions: dict[str, str] = {}
        for version in self.history:
            regions.update(version.spec.members())
        missing = []
        for name, here in sorted(regions.items()):
            acked = acknowledged.get(name, 0)
            if acked >= number or name in self.gone:
                continue
            acked = max(acked, self.cleared)
            # If a member has acknowledged no number from `begins` on, the history does not show by which
            # version it acts.
            if not expired or (acked < self.begins > 1) or acked <= _last_withdrawn(self.history, here):
                missing.append(name)
        return tuple(missing)

    def judged(self, now: int) -> VersionServer[T]:
        """Put the highest version in force if it waits for no member."""
        if self.force < self.known[0] and not self.waits_for(now):
            return replace(self, force=self.known[0])
        return self

    def judged_each(self, now: int, memo: dict[tuple[int, str], int]) -> VersionServer[T]:
        """Put the highest version in force that waits for no member, even one below the highest committed.

        If commits follow one another closely, there is never a time when all members have the highest one.
        The conditions for the highest version hold for any: its number was committed before its time in
        `learnt`, and a member with a higher number acts by a later commit.

        Args:
            now: The time of this server's clock.
            memo: The results of `_last_withdrawn` by number and region. The caller keeps it for one line of
                versions, in which the spec of a number and all specs below it never change.
        """
        if not self.history or self.history[-1].number - self.begins + 1 != len(self.history):
            return self
        highest, acknowledged = self.history[-1].number, dict(self.rows)
        expired = max(
            (number for number, at in self.learnt if now >= at + certain_lease_end(self.lease)), default=0
        )
        joined: dict[str, tuple[int, str]] = {}
        last_members: object = None
        for version in self.history:
            members = version.spec.members()
            if members is not last_members:
                last_members = members
                for name, here in members.items():
                    joined[name] = (joined.get(name, (version.number, ""))[0], here)
        behind = []
        for name, (since, here) in sorted(joined.items()):
            acked = max(acknowledged.get(name, 0), self.cleared)
            if acked < highest and name not in self.gone:
                behind.append((since, here, acked))

        def is_missing(index: int, since: int, here: str, acked: int) -> bool:
            number = self.history[index].number
            if number < since or acked >= number:
                return False
            if number > expired or acked < self.begins > 1:
                return True
            if (number, here) not in memo:
                memo[number, here] = _last_withdrawn(self.history[: index + 1], here)
            return acked <= memo[number, here]

        for index in range(len(self.history) - 1, -1, -1):
            if self.history[index].number <= self.force:
                break
            if not any(is_missing(index, *row) for row in behind):
                return replace(self, force=self.history[index].number)
        return self

    def cut(self, most: int) -> VersionServer[T]:
        """Drop the versions below the one in force, and keep at most the latest `most` of the rest.

        This is sound only under two conditions. First, the relation "not `withdrawn`" is an order, and so
        transitive. That of the federation is not: the next version may allow only with a lease what an
        older one allows without, and a later version may forbid it, although it forbids nothing that the
        next one allows without a lease. Second, a spec leaves out no member that may still act by an older
        version.

        Proof: let f be in force by this server's own proof, and let n be later. A member that had not
        acknowledged f at that time had no lease on a lower number and never gets one again, and f forbids
        nothing of any version x by which the member may act. If n forbids something of x, then n forbids it
        of f, since x is within f. So a check against f in place of x finds it. Such a member therefore
        counts as if it had acknowledged f (`cleared`).

        The versions dropped because of `most` are not covered by the proof: a member that has acknowledged
        nothing from `begins` on is waited for.
        """
        cleared = max(self.cleared, self.force)
        begins = max(self.begins, cleared, self.history[-1].number - most + 1 if self.history else 0)
        if begins == self.begins and cleared == self.cleared:
            return self
        return replace(
            self,
            begins=begins,
            cleared=cleared,
            history=tuple(version for version in self.history if version.number >= begins),
            learnt=tuple(entry for entry in self.learnt if entry[0] >= begins),
        )


@lru_cache(64)
def _last_withdrawn(history: tuple[Version[Any], ...], here: str) -> int:
    """Return the highest number whose spec has rights withdrawn by the last version, or -1 if there is none.

    `VersionContent.withdrawn` decides this, for a member in the region `here` that receives no messages.
    """
    new = history[-1].spec
    return next((one.number for one in history[-2::-1] if one.spec.withdrawn(new, here)), -1)


@dataclass(frozen=True)
class VersionChange:
    """One difference between two specs.

    Attributes:
        scheme: The scheme, or `data.` and the name of the data.
        region: The region that is no longer or newly allowed; empty if another right differs.
        key: The right that differs.
        tightens: Whether the new spec allows less.
    """

    scheme: str
    region: str
    key: str
    tightens: bool


def compare_versions(old: Spec, new: Spec) -> list[VersionChange]:
    """Return all rights that `new` withdraws or grants, by scheme and region.

    The order of failover, the home and the copies are no rights: they change with the commit, like a
    relaxation.
    """
    changes = []
    for name in sorted({**old.schemes, **new.schemes}):
        if name not in old.schemes or name not in new.schemes:
            # A job of a scheme outside the spec stays in the region that accepted it. So adding a scheme
            # allows its regions and forbids the others, and removing it does the opposite.
            inside_rule = (new if name in new.schemes else old).rule(name, "")
            changes += [
                VersionChange(name, region, "scheme", name not in new.schemes)
                for region in sorted(inside_rule.may)
            ]
            changes += [
                VersionChange(name, region, "scheme", name in new.schemes)
                for region in sorted(new.regions)
                if region not in inside_rule.may
            ]
            continue
        old_rule, new_rule = old.rule(name, ""), new.rule(name, "")
        changes += [
            VersionChange(name, region, "may", region in old_rule.may)
            for region in sorted(old_rule.may ^ new_rule.may)
        ]
        changes += [
            VersionChange(name, "", f"when.{condition}", condition in old_rule.when)
            for condition in sorted(old_rule.when ^ new_rule.when)
        ]
        if old_rule.at_most != new_rule.at_most:
            changes.append(VersionChange(name, "", "at_most", new_rule.at_most < old_rule.at_most))
        if old_rule.staleness != new_rule.staleness:
            unlimited = 1 << 60
            changes.append(
                VersionChange(
                    name,
                    "",
                    "staleness",
                    (unlimited if new_rule.staleness is None else new_rule.staleness)
                    < (unlimited if old_rule.staleness is None else old_rule.staleness),
                )
            )
    for name in sorted({**old.data, **new.data}):
        changes += [
            VersionChange(f"data.{name}", region, "may", region in old.readable(name))
            for region in sorted(old.readable(name) ^ new.readable(name))
        ]
    return changes
