"""How settings get from keepers to members: two machines without I/O, and what they say to one another.

Bounds: nobody acts on a revision that never was committed, but for what an offer narrows (`unborn`); nobody goes back, nor
does its disk (`back`); once a revision is told in force nobody acts, leased, on an older one, and nobody does what it
forbids (`in-force`); a group is seen whole or not at all (`whole`). Leases, offers and the proof of in force are those of
`leased_versions.py`; the case for them stands there.

What a driver must do:
- Hand in each message, decoded and from a known sender, by `heard(said, now)`; call `wake(now)` when the time it returned
  last has come (each call returns the next one; sooner does no harm, later delays and breaks nothing).
- After each call take `ready()`: first do all of its `writes`, in order, and sync the disk; only then send its `out`, in
  order; then act by `told`. A `Have`, or an `Asking`, names what is on disk: sent before the sync, a member that starts
  again from its older disk would act on what was told to be over. A disk that can't be written: send nothing of that
  `ready`, end the process.
- `now`: ticks of a tenth of a millisecond of one monotonic clock, that goes on while the process stands, and runs off by
  less than DRIFT (2%). `life`: of this run of the process, higher than that of any earlier one under the name (the wall
  clock in milliseconds will do, but for a clock set back: keep the last on disk). `chance`: one seeded Random.
- `rate_limiter`: a fleet.rate_limiter.Purse, this process's own for all that it sends of settings; `size(said)` tells the bytes that a
  message takes with its envelope. What isn't paid waits in a queue (catch-up, repeats) or is dropped (answers: asked again).
- A keeper: whenever `wants_reading` and no reading of the register runs, call `begins(now)` and only after that begin one
  by a majority of voters; report it by `read(number, ..)` with the number that `begins` gave, or, nothing proven,
  `unread(number, now)`. Who asked before `begins` is answered by it, nobody else. After an own change of the register's
  value has been acknowledged: a reading at once.
- A member at revision 0 has no disk, or never heard of any group: nothing of shared settings allows it anything yet, and
  a driver serves nothing by them before revision 1.
- A keeper's offers on disk: those of revisions that were committed meanwhile may go; the latest OFFERS others stay. Hand
  them in at the start in the order in which they were written.
- A purse of less than 4,800 bytes a second never pays for a whole datagram of catch-up (half stands ready, half of that is
  left to answers): give it more.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any, Protocol

import msgspec
from msgspec import Struct

from pathsaddle import leased_versions
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.leased_versions import Version, VersionSubscriber
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import (
    INITIAL_REVISION,
    ChangeSet,
    InvalidDocumentError,
    Snapshot,
    content_hash,
    decode_changeset,
    decode_snapshot,
    digest_of,
    encode_document,
    validated,
)
from pathsaddle.settings.documents import (
    MAX_SNAPSHOT_BYTES as MOST_SNAPSHOT,
)
from pathsaddle.settings.store import Store

SECOND = 10_000  # ticks
DEFAULT_LEASE = 10 * SECOND
MAX_DATAGRAM_BYTES = 1200  # bytes, with its envelope
ENVELOPE = 17  # bytes: a form and a sum, as in fleet/messages.py
CHUNK_BYTES = 1024  # bytes of a group or snapshot in one datagram
CHANGESET, SNAPSHOT = 0, 1  # what pieces are of
CHUNK_WINDOW = 8  # pieces asked for at once
ANSWER_TIMEOUT = SECOND  # within which a keeper answers, or the next is asked
INITIAL_RETRY_DELAY = SECOND  # the first wait before something is asked for again; doubles
FAR = 1 << 60

# Bounded; reached, it is told as `full`.
MAX_PROPOSALS = 16  # a keeper's, not committed
MAX_ROUND_CHANGESETS = 8  # groups that are offered, and committed, together; half of OFFERS: a keeper that has not yet heard of the last ones
# committed has room for the next
MAX_HELD_PROPOSALS = 4  # a member's offers, not committed
MAX_PENDING_CHANGESETS = 64  # committed groups that wait for one before them
MAX_SUBSCRIBERS = 1024  # members that a keeper serves
MAX_REVOCATION_HISTORY = 256  # revisions not in force of which a keeper knows what they withdrew
# In any second of catch-up to one member, so that who comes back stays within what control may take of it: 13,000 bytes
# in all, also where it has asked two keepers. Half of it comes back a second (fleet/rate_limiter.py): 51 KB of rows take 17 s.
CLIENT_BYTES, CLIENT_DATAGRAMS = 6_000, 64
GOSSIP_REPEATS = (
    3  # times that a word is told to the other keepers at once; all are told again every half lease
)
MAX_TRANSFERS = 2  # groups or snapshots on their way to one machine in pieces


class SyncRequest(Struct, array_like=True, frozen=True, tag=1):
    """Member to keeper: what is committed? Also its word that it has (revision, digest) as committed, on disk; whoever
    answers sends what comes after. echo: grows with each asking of a life.
    """

    name: str
    life: int
    echo: int
    revision: int
    digest: str


class LeaseRenewal(Struct, array_like=True, frozen=True, tag=2):
    """Keeper to member: what the register had by a reading that began after that asking came."""

    name: str
    to: str
    life: int
    echo: int
    revision: int
    digest: str


class Proposal(Struct, array_like=True, frozen=True, tag=3):
    """A group that may come to be committed: committing keeper to keepers, keeper to members of its region. then: to keepers
    alone, what follows it and is to be committed with it, one after another. All in one datagram: no keeper has a part.
    """

    name: str
    group: ChangeSet
    then: tuple[ChangeSet, ...] = ()


class ProposalAck(Struct, array_like=True, frozen=True, tag=4):
    """Keeper to committing keeper: the offered group, all of them, of which this is the last, are on its disk."""

    name: str
    revision: int
    digest: str


class CommitNotice(Struct, array_like=True, frozen=True, tag=5):
    """Keeper to member (or keeper): committed groups, in order, one after another. known: (revision, digest) of the highest
    committed. Groups that don't fit into one datagram come as pieces instead, and `groups` is empty.
    """

    name: str
    known: tuple[int, str]
    groups: tuple[ChangeSet, ...] = ()


class AppliedAck(Struct, array_like=True, frozen=True, tag=6):
    """Member to keeper: it acts by this, knows it committed, and has it on disk."""

    name: str
    revision: int
    digest: str


class AppliedSummary(Struct, array_like=True, frozen=True, tag=7):
    """Keeper to keeper: what members said to have. rows: (revision, digest, names)."""

    name: str
    rows: tuple[tuple[int, str, tuple[str, ...]], ...]


class ChunkManifest(Struct, array_like=True, frozen=True, tag=8):
    """There is something in pieces. digest: of a group, or hash of a snapshot's bytes. known: what it leads to when taken: for
    a snapshot its (revision, group's digest). size: bytes. offer: the group is not committed.
    """

    name: str
    what: int
    digest: str
    known: tuple[int, str]
    size: int
    offer: bool = False


class ChunkRequest(Struct, array_like=True, frozen=True, tag=9):
    """Send pieces from `first` on, `count` of them."""

    name: str
    what: int
    digest: str
    first: int
    count: int


class Chunk(Struct, array_like=True, frozen=True, tag=10):
    name: str
    what: int
    digest: str
    first: int
    data: bytes


Message = (
    SyncRequest
    | LeaseRenewal
    | Proposal
    | ProposalAck
    | CommitNotice
    | AppliedAck
    | AppliedSummary
    | ChunkManifest
    | ChunkRequest
    | Chunk
)


_encode = msgspec.msgpack.Encoder().encode


class DiskWrite(Struct, frozen=True):
    """To be put on disk, synced, before `out` is sent. group: is appended to the committed log (committed) or kept beside it
    as an offer (a keeper's). over: digests of the offers that made room for it. snapshot: takes the place of rows and log;
    later groups follow it.
    """

    group: ChangeSet | None = None
    snapshot: Snapshot | None = None
    committed: bool = True
    over: tuple[str, ...] = ()


class Happened(Struct, frozen=True):
    """For the log, counters and whoever applies the rows.

    what: one of
      applied   (member) acts by `revision` now; keys: rows whose value in effect may have changed
      offered   (member, keeper) holds a group that isn't committed; keys as above
      leased, alone   (member) has a lease, or none any more; until: ticks
      committed (keeper) read as committed, with its text here
      force     (keeper) `revision` is in force
      kept      (keeper) a majority of keepers has all of the proposed groups on disk: the register may be changed now, to
                the last of them
      diverged  what is on disk isn't what was committed under that revision; why: both digests
      full      a bounded queue was full and dropped something: why says which and what
      silent    (member) its keeper says nothing; why: the next one's name
      refused   what was said can't be used: why
    """

    what: str
    revision: int = 0
    digest: str = ""
    keys: tuple[str, ...] = ()
    until: int = 0
    name: str = ""
    why: str = ""


class Output(Struct, frozen=True):
    """What one or several calls made: do `writes` and sync, then send `out`, then act by `told`."""

    writes: tuple[DiskWrite, ...]
    out: tuple[tuple[str, Message], ...]
    told: tuple[Happened, ...]


class Status(Struct, frozen=True):
    """revision, digest: acted by. known: highest heard of as committed. leased; until: end of the lease, ticks (meaningless
    without one). age: ticks since a keeper last proved what is committed, None in a life where none did. offers: revisions
    offered and not settled. keeper: whom it asks.
    """

    revision: int
    digest: str
    known: int
    leased: bool
    until: int
    age: int | None
    offers: tuple[int, ...]
    keeper: str


def nearest_servers(keepers: Mapping[str, str], name: str, region: str) -> list[str]:
    """Those of that region first; of the others each member has an order of its own, so that who leaves a keeper doesn't go
    where all others go. keepers: regions by name.
    """
    return sorted(keepers, key=lambda one: (keepers[one] != region, content_hash(f"{name} {one}".encode())))


def size_of(said: Message) -> int:
    return len(_encode(said)) + ENVELOPE


class SendBudget(Protocol):
    """As fleet.rate_limiter.Purse."""

    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool: ...


@dataclass(frozen=True)
class PartialTransfer:
    """A text on its way in pieces. have: by number. until: the first piece not yet asked for. due: when it is asked again."""

    announce: ChunkManifest
    have: Mapping[int, bytes] = field(default_factory=dict)
    until: int = 0
    due: int = 0
    tries: int = 0

    @property
    def count(self) -> int:
        return -(-self.announce.size // CHUNK_BYTES)


class SyncPeer:
    """What members and keepers have in common: what goes out, and texts that come in pieces."""

    def __init__(
        self,
        name: str,
        region: str,
        life: int,
        store: Store,
        chance: Random,
        rate_limiter: SendBudget,
        size: Callable[[Message], int] | None,
    ) -> None:
        self.name, self.region, self.life, self.store = name, region, life, store
        self.chance, self.rate_limiter, self.size = chance, rate_limiter, size or size_of
        self.writes: list[DiskWrite] = []
        self.out: list[tuple[str, Message]] = []
        self.told: list[Happened] = []
        self.parts: dict[tuple[int, str], PartialTransfer] = {}

    def ready(self) -> Output:
        """What came together since it was last called; empties it."""
        made = Output(tuple(self.writes), tuple(self.out), tuple(self.told))
        self.writes, self.out, self.told = [], [], []
        return made

    def tell(self, what: str, **more: Any) -> None:
        self.told.append(Happened(what, **more))

    def say(self, to: str, said: Message, now: int, spare: float = 0.0) -> bool:
        """Whether it was paid for. spare: what part of the rate_limiter is left to others."""
        if not self.rate_limiter.try_consume(self.size(said), now, spare):
            return False
        self.out.append((to, said))
        return True

    def backoff(self, tries: int, most: int) -> int:
        return int(min(most, INITIAL_RETRY_DELAY << min(tries, 16)) * self.chance.uniform(0.5, 1.0))

    # Pieces

    def announced(self, said: ChunkManifest, now: int) -> None:
        """It is wanted; repeats ask for nothing that is on its way."""
        key = (said.what, said.digest)
        if not 0 < said.size <= MOST_SNAPSHOT:
            return
        if key in self.parts:
            if self.parts[key].announce.size == said.size:  # whoever spoke last is asked next
                self.parts[key] = replace(self.parts[key], announce=said)
            return
        if len(self.parts) >= MAX_TRANSFERS:
            oldest = next(iter(self.parts))
            del self.parts[oldest]
            self.tell("full", digest=oldest[1], why="texts in pieces: the oldest was given up")
        self.parts[key] = PartialTransfer(said)
        self.wants(key, now)

    def wants(self, key: tuple[int, str], now: int, again: bool = False) -> None:
        part = self.parts[key]
        first = next(i for i in range(part.count + 1) if i not in part.have)
        tries = part.tries + 1 if again else 0
        self.parts[key] = replace(
            part,
            until=min(first + CHUNK_WINDOW, part.count),
            tries=tries,
            due=now + INITIAL_RETRY_DELAY + self.backoff(tries, 16 * SECOND),
        )
        self.say(part.announce.name, ChunkRequest(self.name, *key, first, CHUNK_WINDOW), now)

    def took(self, said: Chunk, now: int) -> tuple[ChunkManifest, bytes] | None:
        """The whole text and how it was announced, once it is there and is what its digest says."""
        key = (said.what, said.digest)
        part = self.parts.get(key)
        if part is None or not 0 <= said.first < part.count or said.first in part.have:
            return None
        part = self.parts[key] = replace(part, have={**part.have, said.first: said.data})
        if len(part.have) < part.count:
            if all(i in part.have for i in range(part.until)):
                self.wants(key, now)
            return None
        del self.parts[key]
        data = b"".join(part.have[i] for i in range(part.count))
        if len(data) != part.announce.size or content_hash(data) != said.digest:
            self.tell("refused", digest=said.digest, why="pieces that are not what their digest says")
            return None
        return part.announce, data

    def text(self, announce: ChunkManifest, data: bytes) -> ChangeSet | Snapshot | None:
        """None, and told: it is not what was announced."""
        try:
            found = decode_changeset(data) if announce.what == CHANGESET else decode_snapshot(data)
        except InvalidDocumentError as fault:
            self.tell("refused", digest=announce.digest, why=str(fault))
            return None
        if (
            found.revision,
            digest_of(found) if isinstance(found, ChangeSet) else found.digest,
        ) != announce.known:
            self.tell("refused", digest=announce.digest, why="a text of another revision than was announced")
            return None
        return found

    def pieces_due(self, now: int) -> int:
        """Asks again for what is late; when that is due next."""
        for key in [key for key, part in self.parts.items() if part.due <= now]:
            if self.parts[key].tries >= 8:
                del self.parts[
                    key
                ]  # whoever announced it is gone; it is announced anew by whoever is asked next
            else:
                self.wants(key, now, again=True)
        return min((part.due for part in self.parts.values()), default=FAR)


class ConfigSubscriber(SyncPeer):
    """A dispatcher's part: applies groups in order and whole, asks for its lease, says what it has."""

    def __init__(
        self,
        name: str,
        region: str,
        life: int,
        store: Store,
        keepers: Sequence[str],
        chance: Random,
        rate_limiter: SendBudget,
        now: int,
        lease: int = DEFAULT_LEASE,
        size: Callable[[Message], int] | None = None,
    ) -> None:
        """store: what its disk has (committed alone), or an empty one. keepers: names, nearest first; one at least."""
        super().__init__(name, region, life, store, chance, rate_limiter, size)
        self.keepers, self.lease = tuple(keepers), lease
        self.holder: VersionSubscriber[ActiveTerms] = leased_versions.new_subscriber(
            name, region, life, lease, Version(store.revision, store.digest, store.terms)
        )
        self.pending: dict[int, ChangeSet] = {}
        self.held: dict[str, ChangeSet] = {}  # offers, by digest
        self.at = 0  # which keeper is asked
        self.tries = 0  # keepers in a row that said nothing
        self.asked: int | None = None  # when, and no answer yet
        self.again_due = FAR  # when it is asked once more, lest one lost datagram send its member elsewhere
        self.ask_due = now + int(chance.uniform(0, SECOND // 4))  # all may start in this moment
        self.lag_due, self.lag_tries = FAR, 0
        self.home_due = FAR  # when the nearest keeper is tried again
        self.proved: int | None = None
        self.was_leased = False
        # A disk that is empty may have been lost, after the word of what was on it: what it gets on the way to the latest
        # revision may long be forbidden. It acts on nothing, and keeps nothing, until it has had a lease.
        self.proven = store.revision > 0
        self._rows: (
            tuple[Version[ActiveTerms], tuple[Version[ActiveTerms], ...], Mapping[str, bytes]] | None
        ) = None

    # What it acts by

    def rows(self, now: int) -> Mapping[str, bytes]:
        """What it acts by: the committed rows that it has, narrowed by offers; none before it is `proven`. Not to be
        changed; another object after any change.
        """
        if not self.proven:
            return {}
        holder = self.holder
        if self._rows is None or self._rows[0] is not holder.base or self._rows[1] is not holder.offers:
            self._rows = (holder.base, holder.offers, holder.narrowest(lambda terms: terms).rows())
        return self._rows[2]

    def leased(self, now: int) -> bool:
        return self.holder.leased(now)

    def status(self, now: int) -> Status:
        base = self.holder.base
        return Status(
            base.number,
            base.digest,
            self.holder.known[0],
            self.leased(now),
            self.holder.until,
            None if self.proved is None else now - self.proved,
            tuple(sorted(one.number for one in self.holder.offers)),
            self.keepers[self.at],
        )

    # Events

    def heard(self, said: Message, now: int) -> int:
        """When `wake` is due."""
        if isinstance(said, LeaseRenewal):
            self._renewed(said, now)
        elif isinstance(said, CommitNotice):
            self._committed(said.known, said.groups, said.name, now)
        elif isinstance(said, Proposal):
            self._offered(said.group, said.name, now)
        elif isinstance(said, ChunkManifest):
            self._announced(said, now)
        elif isinstance(said, Chunk):
            found = self.took(said, now)
            if found is not None:
                self._whole(*found, now)
        return self._due(now)

    def wake(self, now: int) -> int:
        """When it is due next."""
        if self.asked is not None and now >= self.asked + ANSWER_TIMEOUT:
            before, self.asked, self.again_due = self.keepers[self.at], None, FAR
            self.at, self.tries = (self.at + 1) % len(self.keepers), self.tries + 1
            self.home_due = now + int(6 * self.lease * self.chance.uniform(0.5, 1.5)) if self.at else FAR
            self.tell("silent", name=before, why=f"{self.keepers[self.at]} is asked next")
            self.ask_due = now + self.backoff(self.tries - 2, self.lease // 2) if self.tries > 1 else now
        if now >= self.home_due and self.asked is None:
            self.at, self.home_due = 0, FAR
        if now >= self.again_due:
            self.again_due = FAR
            self.asks(now)
        if now >= self.ask_due:
            self.asks(now)
        if self._behind() and now >= self.lag_due:
            self._lags(now)
        self.pieces_due(now)
        return self._due(now)

    def asks(self, now: int) -> None:
        """For a lease and for what it lacks."""
        self.holder, ask = self.holder.asks(now)
        base = self.holder.base
        self.say(
            self.keepers[self.at], SyncRequest(self.name, self.life, ask.echo, base.number, base.digest), now
        )
        if self.asked is None:
            self.asked, self.again_due = now, now + ANSWER_TIMEOUT // 2
        self.ask_due = now + int(self.lease / 3 * self.chance.uniform(0.8, 1.0))

    def _renewed(self, said: LeaseRenewal, now: int) -> None:
        if (said.to, said.life) != (self.name, self.life):
            return
        before, asked = self.store.revision, dict(self.holder.open).get(said.echo)
        self._knows((said.revision, said.digest))
        self.holder = self.holder.renewed(
            leased_versions.LeaseRenewal(said.to, said.life, said.echo, said.revision, said.digest), now
        )
        if asked is None:
            self._lagging(now)
            return
        self.proved = asked if self.proved is None else max(self.proved, asked)
        self.asked, self.tries, self.again_due = None, 0, FAR
        self.ask_due = now + int(self.lease / 3 * self.chance.uniform(0.8, 1.0))
        self._lagging(now)
        if self.store.revision > before:
            self._answers(said.name, before, now)

    def _committed(self, known: tuple[int, str], groups: Iterable[ChangeSet], sender: str, now: int) -> None:
        before = self.store.revision
        for group in groups:
            if group.before in self.held:  # what a committed group follows is committed
                self._waits(self.held[group.before])
            self._waits(group)
        self._drain()
        self._knows(known)
        self._answers(sender, before, now)

    def _knows(self, known: tuple[int, str]) -> None:
        """The highest committed, or a lower. A group that was offered and is the one committed is applied here, on disk as any
        other: `holder.told` alone would act by it unkept.
        """
        if known[1] in self.held:
            self._waits(self.held[known[1]])
            self._drain()
        self.holder = self.holder.told(leased_versions.CommitNotice(*known))[0]

    def _answers(self, sender: str, before: int, now: int) -> None:
        """The word of what it has; where it lacks something, no oftener than it gets on or a wait is over: else a text that
        doesn't fit would go to and fro for ever.
        """
        self._lagging(now)
        base = self.holder.base
        if not self._behind() or self.store.revision > before:
            self.say(sender, AppliedAck(self.name, base.number, base.digest), now)
            if self._behind():
                self.lag_due, self.lag_tries = now + INITIAL_RETRY_DELAY, 0
        elif now >= self.lag_due - INITIAL_RETRY_DELAY and not self.lag_tries:
            self._lags(now, sender)

    def _behind(self) -> bool:
        return (self.holder.base.number, self.holder.base.digest) != self.holder.known

    def _lagging(self, now: int) -> None:
        if not self._behind():
            self.lag_due, self.lag_tries = FAR, 0
        elif self.lag_due == FAR:
            self.lag_due, self.lag_tries = now + INITIAL_RETRY_DELAY, 0

    def _lags(self, now: int, to: str = "") -> None:
        """Says what it has, so that what comes after it is sent."""
        base = self.holder.base
        self.say(to or self.keepers[self.at], AppliedAck(self.name, base.number, base.digest), now)
        self.lag_tries += 1
        self.lag_due = now + INITIAL_RETRY_DELAY + self.backoff(self.lag_tries, 16 * SECOND)

    def _waits(self, group: ChangeSet) -> None:
        """A committed group, until those before it are there."""
        if group.revision <= self.store.revision or group.revision in self.pending:
            return
        if len(self.pending) >= MAX_PENDING_CHANGESETS:
            self.tell(
                "full",
                revision=group.revision,
                why=f"groups that wait for {self.store.revision + 1}: it is dropped",
            )
            return
        self.pending[group.revision] = group

    def _drain(self) -> None:
        while (group := self.pending.pop(self.store.revision + 1, None)) is not None:
            try:
                self._applies(group)
            except InvalidDocumentError as fault:
                self.tell(
                    "diverged" if group.before != self.store.digest else "refused",
                    revision=group.revision,
                    digest=digest_of(group),
                    why=str(fault),
                )
                self.pending.clear()
        for revision in [one for one in self.pending if one <= self.store.revision]:
            del self.pending[revision]

    def _applies(self, group: ChangeSet) -> None:
        """Whole; on disk before any word of it. Raises Wrong."""
        digest, old = digest_of(group), self.holder
        offer = next(
            (one for one in old.offers if (one.number, one.digest) == (group.revision, digest)), None
        )
        terms = self.store.append(group, offer.spec if offer is not None else None)
        if self.proven:
            self.writes.append(DiskWrite(group))
        self._goes_by(offer or Version(group.revision, digest, terms), tuple(put.key for put in group.puts))

    def _goes_by(self, version: Version[ActiveTerms], keys: Iterable[str]) -> None:
        old = self.holder
        self.holder = old.caught_up(version)
        # Offers no longer hold where their number is settled, or what they narrowed was of the older rows.
        offers = tuple(one for one in self.holder.offers if one.number > version.number)
        self.held = {digest: group for digest, group in self.held.items() if group.revision > version.number}
        if offers != self.holder.offers:
            self.holder = replace(self.holder, offers=offers)
        over = {key for one in old.offers for key in old.base.spec.differing(one.spec)}
        self.tell(
            "applied", revision=version.number, digest=version.digest, keys=tuple(sorted(over.union(keys)))
        )

    def _offered(self, group: ChangeSet, sender: str, now: int) -> None:
        digest = digest_of(group)
        known = (group.revision, digest)
        if known == self.holder.known and group.revision > self.store.revision:
            self._committed(known, (group,), sender, now)
            return
        if (
            (group.revision, group.before) != (self.store.revision + 1, self.store.digest)
            or any((one.number, one.digest) == known for one in self.holder.offers)
            or group.revision <= self.holder.known[0]
        ):
            return
        if len(self.holder.offers) >= MAX_HELD_PROPOSALS:
            self.tell(
                "full",
                revision=group.revision,
                digest=digest,
                why=f"{MAX_HELD_PROPOSALS} offers are held: it is left",
            )
            return
        try:
            self.store.fits(group)
        except InvalidDocumentError as fault:
            self.tell("refused", revision=group.revision, digest=digest, why=str(fault))
            return
        self.holder = self.holder.offered(Version(group.revision, digest, self.store.terms.after(group)))
        self.held[digest] = group
        self.tell(
            "offered", revision=group.revision, digest=digest, keys=tuple(put.key for put in group.puts)
        )

    def _announced(self, said: ChunkManifest, now: int) -> None:
        if said.known[0] <= self.store.revision or (
            said.offer
            and (said.known[0] != self.store.revision + 1 or len(self.holder.offers) >= MAX_HELD_PROPOSALS)
        ):
            return
        if not said.offer:
            before = self.store.revision
            self._knows(said.known)
            self._answers(said.name, before, now)
            if said.known[0] <= self.store.revision:
                return
            if said.what == CHANGESET and said.known[0] > self.store.revision + MAX_PENDING_CHANGESETS:
                return
        self.announced(said, now)

    def _whole(self, announce: ChunkManifest, data: bytes, now: int) -> None:
        found, before = self.text(announce, data), self.store.revision
        if isinstance(found, ChangeSet):
            if announce.offer:
                self._offered(found, announce.name, now)
                return
            self._waits(found)
            self._drain()
        elif found is not None and found.revision > self.store.revision:
            old = self.store.terms
            terms = self.store.replaced(found)
            if self.proven:
                self.writes.append(DiskWrite(snapshot=found))
            self._goes_by(
                Version(found.revision, found.digest, terms),
                [key for key in old.differing(terms) if old.get(key) != terms.get(key)],
            )
            self._drain()
        self._answers(announce.name, before, now)

    def _due(self, now: int) -> int:
        leased = self.leased(now)
        if leased and not self.proven:
            self.proven, self._rows = True, None
            self.writes.append(DiskWrite(snapshot=self.store.snapshot()))
            self.tell(
                "applied",
                revision=self.holder.base.number,
                digest=self.holder.base.digest,
                keys=tuple(sorted(self.holder.base.spec.rows())),
            )
        if leased != self.was_leased:
            self.was_leased = leased
            self.tell(
                "leased" if leased else "alone",
                revision=self.holder.base.number,
                digest=self.holder.base.digest,
                until=self.holder.until,
            )
        return min(
            self.ask_due,
            self.again_due,
            FAR if self.asked is None else self.asked + ANSWER_TIMEOUT,
            self.lag_due,
            self.home_due if self.asked is None else FAR,
            self.holder.ends() if leased else FAR,
            min((part.due for part in self.parts.values()), default=FAR),
        )


@dataclass(frozen=True)
class Client:
    """A member that asks this keeper. at: when it last did. has: (revision, digest). offer: the digest of the last offer
    that was sent to it.
    """

    at: int
    has: tuple[int, str]
    offer: str = ""


@dataclass(frozen=True)
class PendingProposal:
    """groups: one after another. digest: of the last. kept: keepers that have all of them on disk."""

    groups: tuple[ChangeSet, ...]
    digest: str
    kept: tuple[str, ...]
    due: int
    told: bool = False


class ConfigServer(SyncPeer):
    """Has the texts, serves who asks it, tells what is in force. Several at once do no harm."""

    def __init__(
        self,
        name: str,
        region: str,
        life: int,
        store: Store,
        peers: Sequence[str],
        chance: Random,
        rate_limiter: SendBudget,
        now: int,
        lease: int = DEFAULT_LEASE,
        offers: Sequence[ChangeSet] = (),
        size: Callable[[Message], int] | None = None,
    ) -> None:
        """store, offers: what its disk has. peers: the other keepers' names. lease: the members', the longest of them."""
        super().__init__(name, region, life, store, chance, rate_limiter, size)
        self.peers, self.lease = tuple(peers), lease
        version = Version(store.revision, store.digest, store.terms)
        self.core: leased_versions.VersionServer[ActiveTerms] = leased_versions.VersionServer(
            lease,
            now,
            (store.revision, store.digest),
            (version,),
            now,
            begins=store.revision,
            learnt=((store.revision, now),),
        )
        self.offers = {digest_of(group): group for group in offers if group.revision > store.revision}
        self.offers = dict(list(self.offers.items())[-MAX_PROPOSALS:])
        self.clients: dict[str, Client] = {}
        self.wants_reading = True
        self.readings, self.read_at = 0, now - SECOND
        self.waiting: dict[str, SyncRequest] = {}
        self.answering: dict[int, dict[str, SyncRequest]] = {}
        self.target: tuple[int, str] = INITIAL_REVISION  # committed, and a text is missing
        self.target_due, self.target_tries = FAR, 0
        self.feeds: dict[str, tuple[int, str]] = {}  # who lacks what comes after this
        self.serving: dict[str, ChunkRequest] = {}
        self.paced: dict[
            str, RateLimiter
        ] = {}  # what catch-up may send to each, of those that were sent any lately
        self.snapshots: dict[str, tuple[tuple[int, str], bytes]] = {}
        self.proposal: PendingProposal | None = None
        self.fresh: dict[str, int] = {}  # of our clients' words: how often each is still told to peers
        self.gossip_due, self.refresh_due = FAR, now + lease // 2
        self.pump_due, self.push_due, self.judge_due, self.judged_at = (
            FAR,
            now + INITIAL_RETRY_DELAY,
            FAR,
            now,
        )
        self.memo: dict[tuple[int, str], int] = {}  # of this line, for `judged_each`
        self._gone()

    # Events

    def heard(self, said: Message, now: int) -> int:
        """When `wake` is due."""
        if isinstance(said, SyncRequest):
            self._asked(said, now)
        elif isinstance(said, AppliedAck):
            self._has(said.name, (said.revision, said.digest), now)
        elif isinstance(said, AppliedSummary):
            for revision, digest, names in said.rows:
                self._hears(names, revision, digest, now)
        elif isinstance(said, ChunkRequest):
            self.serving[said.name] = said
            self._pump(now)
        elif said.name in self.peers:
            self._peer(said, now)
        return self._due(now)

    def _peer(self, said: Message, now: int) -> None:
        if isinstance(said, Proposal):
            self._offered(said, now)
        elif isinstance(said, ProposalAck):
            proposal = self.proposal
            if proposal is not None and said.digest == proposal.digest and said.name not in proposal.kept:
                self.proposal = replace(proposal, kept=(*proposal.kept, said.name))
                self._kept()
        elif isinstance(said, CommitNotice):
            before = self.store.revision
            self._spreads([group for group in said.groups if self._takes(group, now)], now)
            self._learns(*said.known, now)
            if before < self.store.revision < self.core.known[0]:
                self.say(said.name, AppliedAck(self.name, self.store.revision, self.store.digest), now)
        elif isinstance(said, ChunkManifest):
            if said.known[0] > self.store.revision:
                if not said.offer:
                    self._learns(*said.known, now)
                self.announced(said, now)
        elif isinstance(said, Chunk):
            whole = self.took(said, now)
            if whole is not None:
                self._whole(*whole, now)

    def wake(self, now: int) -> int:
        """When it is due next."""
        if now >= self.read_at + SECOND:
            self.wants_reading = True
        if self.waiting and now >= self.read_at + SECOND // 4:
            self.wants_reading = True
        if self.core.known != (self.store.revision, self.store.digest) and now >= self.target_due:
            self._asks_peer(now)
        proposal = self.proposal
        if proposal is not None and now >= proposal.due:
            self.proposal = replace(proposal, due=now + INITIAL_RETRY_DELAY // 2)
            for name in self.peers:
                if name not in proposal.kept:
                    self._offers(name, proposal.groups, now)
        if now >= self.gossip_due:
            self._gossips(list(self.fresh), now)
            self.fresh = {name: left - 1 for name, left in self.fresh.items() if left > 1}
            self.gossip_due = now + SECOND // 2 if self.fresh else FAR
        if now >= self.refresh_due:
            self.refresh_due = now + int(self.lease / 2 * self.chance.uniform(0.8, 1.2))
            self.clients = {
                name: client for name, client in self.clients.items() if now < client.at + 2 * self.lease
            }
            self._gossips(list(self.clients), now)
        if now >= self.push_due:
            self.push_due = now + INITIAL_RETRY_DELAY
            known = (self.store.revision, self.store.digest)
            for name, client in self.clients.items():
                if client.has != known and client.has[0] <= known[0] and now < client.at + self.lease:
                    self.feeds.setdefault(name, client.has)
        self.pieces_due(now)
        over = self.over_due()
        if now >= min(self.judge_due, over):
            self.judges(now)
        self._pump(now)
        return self._due(now)

    def begins(self, now: int) -> int:
        """A reading of the register begins after this call; its number."""
        self.readings += 1
        self.read_at, self.wants_reading = now, False
        self.answering[self.readings], self.waiting = self.waiting, {}
        for number in list(self.answering)[:-4]:  # readings of which nothing was ever heard
            del self.answering[number]
        return self.readings

    def read(self, reading: int, revision: int, digest: str, now: int) -> int:
        """A majority of voters proved this, asked after `begins` gave that number. When `wake` is due."""
        asked = self.answering.pop(reading, {})
        if not self._learns(revision, digest, now):
            return self._due(now)
        if self.core.known != (self.store.revision, self.store.digest):
            # Of what it can't serve it says nothing; who asked is answered once the text is there, or asks another.
            self.waiting = {**asked, **self.waiting}
            return self._due(now)
        for ask in asked.values():
            told = self.core.answers(leased_versions.SyncRequest(ask.name, ask.life, ask.echo))
            if not self.say(
                ask.name,
                LeaseRenewal(self.name, told.name, told.life, told.echo, told.number, told.digest),
                now,
            ):
                self.tell("full", name=ask.name, why="the rate_limiter: a renewal was dropped")
        return self._due(now)

    def unread(self, reading: int, now: int) -> int:
        """Nothing was proven by it. When `wake` is due."""
        self.waiting = {**self.answering.pop(reading, {}), **self.waiting}
        return self._due(now)

    # Proposing

    def joins(self, groups: Sequence[ChangeSet]) -> bool:
        """Whether these, one after another, may be proposed together: one alone always may."""
        return len(groups) == 1 or (
            len(groups) <= MAX_ROUND_CHANGESETS
            and self.size(Proposal(self.name, groups[0], tuple(groups[1:]))) <= MAX_DATAGRAM_BYTES
        )

    def propose(self, group: ChangeSet, now: int, then: Sequence[ChangeSet] = ()) -> int:
        """Offers it to keepers and members, and to keepers what is to be committed with it, all or none: `joins` says so.
        `kept` is told once a majority of keepers has all on disk. The caller owns the register's key and has looked that
        (revision - 1, before) is the latest. Raises forms.Wrong. When `wake` is due.
        """
        groups = (group, *then)
        if not self.joins(groups):
            raise InvalidDocumentError(f"{len(groups)} groups, which don't go out together")
        store = self.store.copy()
        for one in groups:
            store.append(one)
        if not self._keeps(groups, now):
            raise InvalidDocumentError(f"{MAX_PROPOSALS} offers are held that no reading has settled")
        self.proposal = PendingProposal(groups, store.digest, (self.name,), now + INITIAL_RETRY_DELAY // 2)
        for name in self.peers:
            self._offers(name, groups, now)
        self._kept()
        return self._due(now)

    def withdraw(self, now: int) -> None:
        """Proposes no more: the register refused, or time is over. Members keep what they heard until a commit."""
        self.proposal = None

    def _kept(self) -> None:
        proposal = self.proposal
        if (
            proposal is not None
            and not proposal.told
            and len(proposal.kept) >= (len(self.peers) + 1) // 2 + 1
        ):
            self.proposal = replace(proposal, told=True)
            self.tell("kept", revision=proposal.groups[-1].revision, digest=proposal.digest)

    def _offers(self, to: str, groups: Sequence[ChangeSet], now: int) -> bool:
        said: Message = Proposal(self.name, groups[0], tuple(groups[1:]))
        if self.size(said) > MAX_DATAGRAM_BYTES:  # one alone
            said = self._announces(groups[0], True)
        return self.say(to, said, now)

    def _announces(self, group: ChangeSet, offer: bool) -> ChunkManifest:
        digest = digest_of(group)
        return ChunkManifest(
            self.name, CHANGESET, digest, (group.revision, digest), len(encode_document(group)), offer
        )

    def _offered(self, said: Proposal, now: int) -> None:
        sender, last = said.name, (said.group, *said.then)[-1]
        digest = digest_of(last)
        if last.revision <= self.store.revision:
            if self.store.digest_at(last.revision) == digest:
                self.say(sender, ProposalAck(self.name, last.revision, digest), now)
            return
        groups = (said.group, *said.then)
        if any(digest_of(one) not in self.offers for one in groups):
            try:
                if len(groups) > MAX_ROUND_CHANGESETS:
                    raise InvalidDocumentError(
                        f"{len(groups)} groups, {MAX_ROUND_CHANGESETS} at most together"
                    )
                for one, after in zip(groups, (*groups[1:], None), strict=True):
                    validated(one)
                    if after is not None and (after.revision, after.before) != (
                        one.revision + 1,
                        digest_of(one),
                    ):
                        raise InvalidDocumentError(
                            f"{after.revision} doesn't follow {one.revision}, with which it came"
                        )
            except InvalidDocumentError as fault:
                self.tell("refused", revision=last.revision, digest=digest, name=sender, why=str(fault))
                return
            if not self._keeps(tuple(one for one in groups if one.revision > self.store.revision), now):
                return
            if (last.revision, digest) == self.core.known:
                self._learns(last.revision, digest, now)
        self.say(sender, ProposalAck(self.name, last.revision, digest), now)

    def _keeps(self, groups: Sequence[ChangeSet], now: int) -> bool:
        """Whether all are on disk when what is sent leaves; none, if there is no room for one. At the bound only what surely
        never counts makes room: a rival of its own revision (whoever proposes this has looked and found none committed, and
        owns the key), or of one that it follows. All else may be committed, and this may be one of the few that have its
        text.
        """
        offers = dict(self.offers)
        new: list[tuple[ChangeSet, str, tuple[str, ...]]] = []
        for group in groups:
            digest = digest_of(group)
            if digest in offers:
                continue
            over: tuple[str, ...] = ()
            if len(offers) >= MAX_PROPOSALS:
                follows = dict[str, int]()
                at = offers.get(group.before)
                while at is not None and digest_of(at) not in follows:
                    follows[digest_of(at)] = at.revision
                    at = offers.get(at.before)
                settled = {group.revision: None, **dict.fromkeys(follows.values())}
                oldest = next(
                    (one for one, held in offers.items() if one not in follows and held.revision in settled),
                    None,
                )
                if oldest is None:
                    self.tell(
                        "full",
                        revision=group.revision,
                        digest=digest,
                        why=f"{MAX_PROPOSALS} offers that may count: it is left",
                    )
                    return False
                over = (oldest,)
                del offers[oldest]
            offers[digest] = group
            new.append((group, digest, over))
        for group, digest, over in new:
            for oldest in over:
                self.tell(
                    "full",
                    revision=self.offers.pop(oldest).revision,
                    digest=oldest,
                    why=f"{MAX_PROPOSALS} offers: the oldest goes",
                )
            self.offers[digest] = group
            self.writes.append(DiskWrite(group, committed=False, over=over))
            self.tell(
                "offered", revision=group.revision, digest=digest, keys=tuple(put.key for put in group.puts)
            )
            if (group.revision, group.before) == (self.store.revision + 1, self.store.digest):
                for name, client in list(self.clients.items()):
                    # Unpaid it is left: an offer is a favour, the commit comes by itself.
                    if client.has == (self.store.revision, self.store.digest) and self._offers(
                        name, (group,), now
                    ):
                        self.clients[name] = replace(client, offer=digest)
        return True

    # What is committed

    def _learns(self, revision: int, digest: str, now: int) -> bool:
        """The register has, or had, this. False, and told: here is something else."""
        here = self.store.digest_at(revision) if revision <= self.store.revision else None
        if here is not None and here != digest:
            self.tell("diverged", revision=revision, digest=digest, why=f"{here} is on disk")
            return False
        if revision > self.core.known[0]:
            self.core = self.core.reads(revision, digest, None, now)
        way: list[ChangeSet] = []
        at = self.offers.get(self.core.known[1])
        while at is not None:
            way.append(at)
            at = self.offers.get(at.before) if at.before != self.store.digest else None
        if way and (way[-1].before, way[-1].revision) == (self.store.digest, self.store.revision + 1):
            taken: list[ChangeSet] = []
            for group in reversed(way):
                if not self._takes(group, now):
                    break
                taken.append(group)
            self._spreads(taken, now)
        if self.core.known == (self.store.revision, self.store.digest):
            self.target_due, self.target_tries = FAR, 0
            if self.waiting:
                self.wants_reading = True
        elif self.target_due == FAR:
            self._asks_peer(now)
        return True

    def _asks_peer(self, now: int) -> None:
        self.target_tries += 1
        self.target_due = now + INITIAL_RETRY_DELAY + self.backoff(self.target_tries, 16 * SECOND)
        if self.peers:
            self.say(
                self.chance.choice(self.peers),
                AppliedAck(self.name, self.store.revision, self.store.digest),
                now,
            )

    def _takes(self, group: ChangeSet, now: int) -> bool:
        """One that is surely committed."""
        if group.revision != self.store.revision + 1:
            return False
        try:
            terms = self.store.append(group)
        except InvalidDocumentError as fault:
            self.tell(
                "diverged" if group.before != self.store.digest else "refused",
                revision=group.revision,
                digest=digest_of(group),
                why=str(fault),
            )
            return False
        self.writes.append(DiskWrite(group))
        digest = self.store.digest
        self._goes_by(Version(group.revision, digest, terms), tuple(put.key for put in group.puts), now)
        proposal = self.proposal
        if (
            proposal is not None
            and group.revision >= proposal.groups[0].revision
            and group not in proposal.groups[:-1]
        ):
            self.proposal = None  # it is the last of them, or a rival's
            if proposal.digest == digest:
                for name in self.peers:
                    self.say(name, CommitNotice(self.name, (group.revision, digest)), now)
        self.judge_due = min(self.judge_due, now + SECOND // 20)
        return True

    def _spreads(self, taken: Sequence[ChangeSet], now: int) -> None:
        """What was taken just now, one after another, to our members: who had what the first follows is sent as many as go
        into one datagram (the first it may have, as an offer); all else follows by what each says to have.
        """
        if not taken:
            return
        known, digest = (self.store.revision, self.store.digest), digest_of(taken[0])
        for name, client in list(self.clients.items()):
            if name in self.feeds:
                continue
            if client.has != (taken[0].revision - 1, taken[0].before):
                self.feeds[name] = client.has
                continue
            groups = tuple(taken[1:] if client.offer == digest else taken)
            count = self._fit(groups)
            said = (
                CommitNotice(self.name, known, groups[:count])
                if count or not groups
                else self._announces(groups[0], False)
            )
            if not self.say(name, said, now):
                self.feeds[name] = client.has
        self._pump(now)

    def _goes_by(self, version: Version[ActiveTerms], keys: tuple[str, ...], now: int) -> None:
        self.core = self.core.reads(version.number, version.digest, version, now)
        self.offers = {one: group for one, group in self.offers.items() if group.revision > version.number}
        self._gone()
        self.tell("committed", revision=version.number, digest=version.digest, keys=keys)

    def _whole(self, announce: ChunkManifest, data: bytes, now: int) -> None:
        found, before = self.text(announce, data), self.store.revision
        if isinstance(found, ChangeSet):
            if announce.offer:
                self._offered(Proposal(announce.name, found), now)
                return
            if self._takes(found, now):
                self._spreads([found], now)
        elif found is not None and found.revision > self.store.revision:
            terms = self.store.replaced(found)
            self.writes.append(DiskWrite(snapshot=found))
            version = Version(found.revision, found.digest, terms)
            # What was before it is not known here: whoever has said nothing from it on is waited for.
            self.core = replace(self.core, history=(), begins=found.revision)
            self._goes_by(version, (), now)
            for name, client in self.clients.items():
                self.feeds[name] = client.has
            self.judge_due = min(self.judge_due, now + SECOND // 20)
        self._learns(*self.core.known, now)
        if before < self.store.revision < self.core.known[0]:
            self.say(announce.name, AppliedAck(self.name, self.store.revision, self.store.digest), now)

    def _gone(self) -> None:
        """Whose newest row in what is kept of the past says so."""
        found: dict[str, bool] = {}
        last: Any = None
        for one in reversed(self.core.history):
            if one.spec.members() is last:
                continue
            last = one.spec.members()
            found = {**dict.fromkeys(one.spec.gone(), True), **dict.fromkeys(last, False), **found}
        gone = tuple(sorted(name for name, away in found.items() if away))
        if gone != self.core.gone:
            self.core = replace(self.core, gone=gone)

    # Members

    def _asked(self, said: SyncRequest, now: int) -> None:
        if len(self.clients) >= MAX_SUBSCRIBERS and said.name not in self.clients:
            self.tell("full", name=said.name, why=f"{MAX_SUBSCRIBERS} members are served: it is not answered")
            return
        self.waiting[said.name] = said
        if now >= self.read_at + SECOND // 4:
            self.wants_reading = True
        client = self.clients.get(said.name)
        self.clients[said.name] = (
            replace(client, at=now) if client is not None else Client(now, (said.revision, said.digest))
        )
        self._has(said.name, (said.revision, said.digest), now)

    def _has(self, name: str, has: tuple[int, str], now: int) -> None:
        client = self.clients.get(name)
        if client is not None and client.has != has:
            self.clients[name] = replace(client, has=has)
        if client is not None and name not in self.peers:
            self._hears((name,), *has, now, own=True)
        if has[0] < self.store.revision or (has[0] == self.store.revision and has[1] != self.store.digest):
            if len(self.feeds) < MAX_SUBSCRIBERS or name in self.feeds:
                self.feeds[name] = has
            else:
                self.tell("full", name=name, why=f"{MAX_SUBSCRIBERS} wait for what they lack: it asks again")
            self._pump(now)

    def _hears(self, names: Iterable[str], revision: int, digest: str, now: int, own: bool = False) -> None:
        if revision > self.core.known[0]:
            self._learns(revision, digest, now)  # whoever says to have it knows that it is committed
        before = self.core
        members = self.store.terms.members()
        for name in names:
            if name in members:
                old = self.core
                self.core = old.hears(leased_versions.AppliedAck(name, revision, digest))
                if own and self.core is not old:
                    self.fresh[name] = GOSSIP_REPEATS
                    if self.gossip_due == FAR:
                        self.gossip_due = now + SECOND // 4
        if self.core is not before:
            self.judge_due = min(self.judge_due, now + SECOND // 20)

    def judges(self, now: int) -> None:
        """Tells what is in force by now."""
        before, self.judge_due, self.judged_at = self.core.force, FAR, now
        self.core = self.core.judged_each(now, self.memo)
        if self.core.force > before:
            digest = next(one.digest for one in self.core.history if one.number == self.core.force)
            self.tell("force", revision=self.core.force, digest=digest)
        if self.core.force > before or len(self.core.history) > MAX_REVOCATION_HISTORY:
            self.core = self.core.cut(MAX_REVOCATION_HISTORY)
            self.memo = {key: last for key, last in self.memo.items() if key[0] >= self.core.begins}
            members = self.store.terms.members()
            if len(self.core.rows) > len(members):
                self.core = replace(self.core, rows=tuple(row for row in self.core.rows if row[0] in members))

    def over_due(self) -> int:
        """When the leases on what is below some revision not in force are surely over, of those that nobody looked at since."""
        return next(
            (
                at
                for at in (
                    at + leased_versions.certain_lease_end(self.lease)
                    for number, at in self.core.learnt
                    if number > self.core.force
                )
                if at > self.judged_at
            ),
            FAR,
        )

    def _gossips(self, names: Iterable[str], now: int) -> None:
        """Our clients' words, to the other keepers: by revision, so that the usual case is a list of names."""
        rows = dict(self.core.rows)
        told: dict[int, list[str]] = {}
        for name in names:
            if name in rows:
                told.setdefault(rows[name], []).append(name)
        known = {one.number: one.digest for one in self.core.history}
        said = []
        for revision, group in sorted(told.items()):
            digest = known.get(revision) or self.store.digest_at(revision)
            if digest is not None:
                said += [(revision, digest, tuple(group[i : i + 8])) for i in range(0, len(group), 8)]
        while said:
            count = len(said)
            while (
                count > 1 and self.size(AppliedSummary(self.name, tuple(said[:count]))) > MAX_DATAGRAM_BYTES
            ):
                count -= 1
            for peer in self.peers:
                self.say(peer, AppliedSummary(self.name, tuple(said[:count])), now)
            said = said[count:]

    # What is sent as far as the rate_limiter allows

    def _pump(self, now: int) -> None:
        """Each in turn: who is behind gets the next groups, who asked for pieces gets the next one."""
        self.pump_due = FAR
        for name, has in list(self.feeds.items()):
            said = self._next(has)
            if said is not None and not self._paces(name, said, now):
                continue
            if said is not None and not self.say(name, said, now, 0.25):
                self.pump_due = now + SECOND // 20
                break
            del self.feeds[name]
        while self.serving:
            before = len(self.serving)
            for name, want in list(self.serving.items()):
                data = self._data(want)
                part = (
                    data[want.first * CHUNK_BYTES : (want.first + 1) * CHUNK_BYTES]
                    if data is not None
                    else b""
                )
                said = Chunk(self.name, want.what, want.digest, want.first, part)
                if part and not self._paces(name, said, now):
                    continue
                if part and not self.say(name, said, now, 0.5):
                    self.pump_due = now + SECOND // 20
                    return
                del self.serving[name]
                before = -1
                if part and want.count > 1:
                    self.serving[name] = ChunkRequest(
                        want.name, want.what, want.digest, want.first + 1, min(want.count, CHUNK_WINDOW) - 1
                    )
            if before >= 0:
                break  # each that is left waits for its own pace

    def _paces(self, name: str, said: Message, now: int) -> bool:
        """Whether it is within what one may be sent of catch-up in a second."""
        if name not in self.paced:
            if len(self.paced) >= MAX_SUBSCRIBERS:
                del self.paced[next(iter(self.paced))]
            self.paced[name] = RateLimiter(CLIENT_BYTES, CLIENT_DATAGRAMS, now)
        if self.paced[name].try_consume(self.size(said), now):
            return True
        self.pump_due = min(self.pump_due, now + SECOND // 20)
        return False

    def _next(self, has: tuple[int, str]) -> Message | None:
        groups = self.store.since(has[0]) if self.store.digest_at(has[0]) == has[1] else None
        known = (self.store.revision, self.store.digest)
        if groups is None:
            if has[0] >= known[0]:
                return None
            digest, of, data = self._snapshot()
            return ChunkManifest(self.name, SNAPSHOT, digest, of, len(data))
        if not groups:
            return None
        count = self._fit(groups)
        return CommitNotice(self.name, known, groups[:count]) if count else self._announces(groups[0], False)

    def _fit(self, groups: Sequence[ChangeSet]) -> int:
        """How many of the first go into one Commit."""
        count, size = 0, self.size(CommitNotice(self.name, (self.store.revision, self.store.digest)))
        for group in groups:
            size += len(encode_document(group))
            if size > MAX_DATAGRAM_BYTES - 8:
                break
            count += 1
        return count

    def _snapshot(self) -> tuple[str, tuple[int, str], bytes]:
        known = (self.store.revision, self.store.digest)
        for digest, (of, data) in self.snapshots.items():
            # One that the log leads on from is as good: who is on its way with it must not begin anew at each commit.
            if self.store.since(of[0]) is not None and self.store.digest_at(of[0]) == of[1]:
                return digest, of, data
        data = encode_document(self.store.snapshot())
        digest = content_hash(data)
        self.snapshots[digest] = (known, data)
        while len(self.snapshots) > 2:
            del self.snapshots[next(iter(self.snapshots))]
        return digest, known, data

    def _data(self, want: ChunkRequest) -> bytes | None:
        if want.what == SNAPSHOT:
            return self.snapshots[want.digest][1] if want.digest in self.snapshots else None
        group = self.offers.get(want.digest)
        if group is None:
            group = next((one for digest, one in reversed(self.store.log) if digest == want.digest), None)
        return None if group is None else encode_document(group)

    # What an operator asks

    def waits_for(self, now: int) -> tuple[str, ...]:
        """Who keeps the highest committed revision from being in force, by name; "?": this keeper lacks a text."""
        return () if self.core.force >= self.core.known[0] else self.core.waits_for(now)

    def status(self, now: int) -> dict[str, Any]:
        """revision, digest: committed, with its text here. known: committed. force; waits_for: of `known`. rows: name ->
        revision that it said to have. queue: members that wait for what they lack. offers: revisions not committed.
        """
        return {
            "revision": self.store.revision,
            "digest": self.store.digest,
            "known": self.core.known[0],
            "force": self.core.force,
            "waits_for": list(self.waits_for(now)),
            "rows": dict(self.core.rows),
            "queue": len(self.feeds) + len(self.serving),
            "offers": sorted(group.revision for group in self.offers.values()),
        }

    def _due(self, now: int) -> int:
        return min(
            FAR if self.wants_reading else self.read_at + (SECOND // 4 if self.waiting else SECOND),
            self.gossip_due,
            self.refresh_due,
            self.push_due,
            self.pump_due,
            self.target_due,
            FAR if self.proposal is None else self.proposal.due,
            self.judge_due,
            self.over_due(),
            min((part.due for part in self.parts.values()), default=FAR),
        )
