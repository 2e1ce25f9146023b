"""The records that one member knows: its own and those of each other member, by incarnation and version.

Owns the record table, who is alive as membership reported it, the ages of records and the set of records that
are still to be disseminated. `Gossip` and its parts (dissemination, anti-entropy) read and change it. It
sends nothing, draws no random numbers and performs no I/O.

Incarnations: of a member's records only those of the highest incarnation heard of are shown, and none once
that incarnation is over; its end is reported once, in `ended`.

Ages: a record was put no less than `min_ticks` and no more than `max_ticks` ago by our clock, while no clock
drifts by more than MAX_CLOCK_DRIFT. How that is known: the record arrived `min_age_ticks` old, so it was put
before it arrived; and where its owner was certainly still without it (`confirmed_ago_ticks` in an answer,
counted from before our question), it was not yet put. A record that nobody answers for has no greatest age.
The arrival of a message proves nothing else.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from pathsaddle.fleet.gossip import counters
from pathsaddle.fleet.gossip.messages import (
    MAX_RECORD_BYTES,
    UNKNOWN,
    Delta,
    DigestEntry,
    WireRecord,
    size_of,
)
from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT

NEVER = -(1 << 60)  # a moment before any clock's start
# By how much more, or less, our clock may run while another clock measures a span: (1 + d) / (1 - d), rounded
# up.
DRIFT_UPPER_FACTOR = 1 + 2.1 * MAX_CLOCK_DRIFT
DRIFT_LOWER_FACTOR = 1 - 2.1 * MAX_CLOCK_DRIFT
MAX_TOPICS = 32  # of one member: bounds the memory that a member can take at every other one
MAX_TOPIC_CHARS = 64
MAX_KNOWN_MEMBERS = 4096  # whose highest incarnation is remembered
RECORD_FRAMING_BYTES = 2  # what a record may add to the length fields of the list that holds it


@dataclass(frozen=True)
class AgeInterval:
    """Bounds on how long ago a record was put, in ticks; no `max_ticks`: nobody answered for the record."""

    min_ticks: int
    max_ticks: int | None


@dataclass(slots=True)
class StoredRecord:
    """A record with the moments, by our clock, between which its owner put it."""

    topic: str
    version: int
    body: bytes
    put_after: int  # NEVER: nothing is known
    put_before: int

    def age(self, now: int) -> AgeInterval:
        """How long ago the record was put."""
        max_ticks = now - self.put_after if self.put_after > NEVER else None
        return AgeInterval(max(0, now - self.put_before), max_ticks)

    def to_wire(self, now: int) -> WireRecord:
        """The record as it is sent at `now`."""
        age = self.age(now)
        max_age_ticks = UNKNOWN if age.max_ticks is None else age.max_ticks
        return WireRecord(self.topic, self.version, self.body, age.min_ticks, max_age_ticks)


@dataclass(slots=True)
class MemberRecords:
    """Everything that we have of one member's incarnation.

    Attributes:
        incarnation: of the member.
        complete_up_to: we lack no record up to this version.
        confirmed_version: the member's highest version at some moment after `confirmed_at`.
        confirmed_at: by our clock; NEVER: nobody confirmed anything.
        records: by topic.
    """

    incarnation: int
    complete_up_to: int = 0
    confirmed_version: int = 0
    confirmed_at: int = NEVER
    records: dict[str, StoredRecord] = field(default_factory=dict)

    def confirmed_ago(self, now: int) -> int | None:
        """How many ticks ago at most the member had nothing later than we have; None: that is not known.

        Versions grow: a member that had `confirmed_version` after `confirmed_at` had what we completed since
        at some later moment.
        """
        if self.confirmed_at > NEVER and self.complete_up_to >= self.confirmed_version:
            return now - self.confirmed_at
        return None


@dataclass(frozen=True)
class Peer:
    """A member that membership reports as alive."""

    incarnation: int
    address: str


class RecordKey(NamedTuple):
    """Names one record of the highest incarnation of a member."""

    member: str
    topic: str


@dataclass(frozen=True)
class DeltaPart:
    """A delta as far as it fits; `is_complete`: nothing was left out."""

    delta: Delta
    is_complete: bool


@dataclass(frozen=True)
class GossipRecord:
    """A record as the users of gossip see it.

    Attributes:
        member: whose record it is.
        life: that member's incarnation.
        version: the owner's number of this write.
        body: at most MAX_RECORD_BYTES.
        least: its least age in ticks.
        most: its greatest age in ticks; None: nobody answered for it.
        confirmed_ago_ticks: how long ago at most its owner had nothing later than we have; None: not known.
    """

    member: str
    life: int
    version: int
    body: bytes
    least: int
    most: int | None
    confirmed_ago_ticks: int | None


class RecordStore:
    """The records of all members as one member knows them.

    Invariant: a record that is shown is of the highest incarnation heard of, and of none that is over
    (`emulator/state/mutants.py`: "an old life's records live on", "a dead member's records stay").

    Args:
        name: our member's name.
        incarnation: our member's incarnation.
        counts: where rejected deltas and records are counted.
    """

    def __init__(self, name: str, incarnation: int, counts: Counter[str]) -> None:
        self.name = name
        self.counts = counts
        self.own = MemberRecords(incarnation)
        self.peers: dict[str, Peer] = {}
        self.incarnations: dict[str, int] = {}  # the highest heard of
        self.members: dict[str, MemberRecords] = {name: self.own}
        self.undisseminated: dict[RecordKey, int] = {}  # how often each new record was passed on
        self.ended: list[
            tuple[str, int]
        ] = []  # (member, incarnation), each once; whoever reads it empties it

    # What users put in and read.

    def put(self, topic: str, body: bytes, now: int) -> bool:
        """Replaces our record of that topic; False: it has this body already.

        Raises:
            ValueError: the body or the topic is too long, or we have MAX_TOPICS topics already.
        """
        if len(body) > MAX_RECORD_BYTES or len(topic) > MAX_TOPIC_CHARS:
            raise ValueError(
                f"{topic}: {len(body)} bytes; at most {MAX_RECORD_BYTES} may, a document carries more"
            )
        old = self.own.records.get(topic)
        if old is not None and old.body == body:
            return False
        if old is None and len(self.own.records) >= MAX_TOPICS:
            raise ValueError(f"{topic}: {MAX_TOPICS} topics are there already")
        self._write(topic, body, now)
        return True

    def _write(self, topic: str, body: bytes, now: int) -> None:
        own = self.own
        own.complete_up_to += 1
        own.records[topic] = StoredRecord(topic, own.complete_up_to, body, now, now)
        self.undisseminated[RecordKey(self.name, topic)] = 0

    def view(self, topic: str, now: int) -> list[GossipRecord]:
        """The records of that topic of all members whose incarnation is not over, ordered by member."""
        found = []
        for name in sorted(self.members):
            member = self.members[name]
            record = member.records.get(topic)
            if record is None:
                continue
            age = record.age(now)
            found.append(
                GossipRecord(
                    name,
                    member.incarnation,
                    record.version,
                    record.body,
                    age.min_ticks,
                    age.max_ticks,
                    0 if member is self.own else member.confirmed_ago(now),
                )
            )
        return found

    # Who is alive, as membership reports it.

    def on_member_joined(self, name: str, incarnation: int, address: str) -> None:
        """Membership takes this incarnation for alive, for the first time or again."""
        if name == self.name or incarnation < self.incarnations.get(name, 0):
            return
        self.observe_incarnation(name, incarnation)
        self.peers[name] = Peer(incarnation, address)

    def on_member_left(self, name: str, incarnation: int) -> None:
        """Membership takes this incarnation for over: its records are dropped, its end is reported once."""
        if name == self.name:
            return
        peer = self.peers.get(name)
        if peer is not None and peer.incarnation <= incarnation:
            del self.peers[name]
        self.observe_incarnation(name, incarnation)
        member = self.members.get(name)
        if member is not None and member.incarnation <= incarnation:
            self._drop(name)

    def on_new_incarnation(self, incarnation: int, now: int) -> None:
        """We have another incarnation: all records that we have put are put again in it."""
        old = self.own
        self.own = self.members[self.name] = MemberRecords(incarnation)
        for topic, record in old.records.items():
            self._write(topic, record.body, now)

    def observe_incarnation(self, name: str, incarnation: int) -> None:
        """The highest incarnation heard of counts; what an older one put is dropped."""
        if len(self.incarnations) >= MAX_KNOWN_MEMBERS and name not in self.incarnations:
            # Forget the one whose incarnation is over and that was heard of longest ago: without a peer
            # nothing of it is accepted anyway.
            forgotten = next(
                (n for n in self.incarnations if n not in self.peers), next(iter(self.incarnations))
            )
            del self.incarnations[forgotten]
        if incarnation > self.incarnations.get(name, 0):
            self.incarnations.pop(name, None)
            self.incarnations[name] = incarnation
        member = self.members.get(name)
        if member is not None and member.incarnation < incarnation:
            self._drop(name)

    def _drop(self, name: str) -> None:
        member = self.members.pop(name)
        self.ended.append((name, member.incarnation))
        for key in [key for key in self.undisseminated if key.member == name]:
            del self.undisseminated[key]

    # Deltas and digests.

    def apply_delta(self, delta: Delta, now: int, requested_at: int | None) -> bool:
        """Takes in what is newer than what we have.

        Args:
            delta: of another member's records.
            now: the moment of its arrival.
            requested_at: when we asked for it; None: it came without a question, so it proves no greatest
                age.

        Returns:
            Whether there is a new record.
        """
        name = delta.member
        peer = self.peers.get(name)
        if (
            peer is None
            or peer.incarnation != delta.incarnation
            or delta.incarnation < self.incarnations.get(name, 0)
        ):
            self.counts[counters.OTHER_INCARNATION] += 1
            return False
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = MemberRecords(delta.incarnation)
        has_new = False
        for record in delta.records:
            if self._apply_record(member, record, now, requested_at):
                self.undisseminated[RecordKey(name, record.topic)] = 0
                has_new = True
        if delta.after_version <= member.complete_up_to < delta.up_to_version:
            member.complete_up_to = delta.up_to_version
        return has_new

    def _apply_record(
        self, member: MemberRecords, record: WireRecord, now: int, requested_at: int | None
    ) -> bool:
        old = member.records.get(record.topic)
        if len(record.body) > MAX_RECORD_BYTES or record.min_age_ticks < 0:
            return False
        if old is None and len(member.records) >= MAX_TOPICS:
            self.counts[counters.TOO_MANY_TOPICS] += 1
            return False
        put_after = member.confirmed_at if record.version > member.confirmed_version else NEVER
        if requested_at is not None and record.max_age_ticks >= 0:
            put_after = max(put_after, requested_at - int(record.max_age_ticks * DRIFT_UPPER_FACTOR) - 1)
        put_before = now - int(record.min_age_ticks * DRIFT_LOWER_FACTOR)
        if old is not None and record.version <= old.version:
            if record.version == old.version:
                old.put_after, old.put_before = max(old.put_after, put_after), min(old.put_before, put_before)
            return False
        member.records[record.topic] = StoredRecord(
            record.topic, record.version, record.body, put_after, put_before
        )
        return True

    def delta_of(self, key: RecordKey, now: int) -> Delta:
        """One record alone.

        Where we have everything up to it, we know that nothing between it and the record before still holds.
        """
        member = self.members[key.member]
        record = member.records[key.topic]
        after = record.version - 1
        if member.complete_up_to >= record.version:
            after = max((r.version for r in member.records.values() if r.version < record.version), default=0)
        return Delta(key.member, member.incarnation, after, record.version, [record.to_wire(now)])

    def delta_after(self, name: str, after_version: int, max_bytes: int, now: int) -> DeltaPart:
        """The member's records after that version, in order of their versions, as far as they fit."""
        member = self.members[name]
        chosen: list[WireRecord] = []
        remaining_bytes = max_bytes
        for record in sorted(member.records.values(), key=lambda r: r.version):
            if not after_version < record.version <= member.complete_up_to:
                continue
            wire = record.to_wire(now)
            remaining_bytes -= size_of(wire) + RECORD_FRAMING_BYTES
            if remaining_bytes < 0:
                reached = chosen[-1].version if chosen else after_version
                return DeltaPart(Delta(name, member.incarnation, after_version, reached, chosen), False)
            chosen.append(wire)
        return DeltaPart(Delta(name, member.incarnation, after_version, member.complete_up_to, chosen), True)

    def digest_entry(self, name: str, member: MemberRecords, now: int) -> DigestEntry:
        """What a digest says of that member."""
        confirmed_ago = 0 if member is self.own else member.confirmed_ago(now)
        return DigestEntry(
            name,
            member.incarnation,
            member.complete_up_to,
            UNKNOWN if confirmed_ago is None else confirmed_ago,
        )

    def names_between(self, after_name: str, last_name: str) -> Iterator[str]:
        """The names of known members after the one up to the other, in order; no `last_name`: to the end."""
        return (
            name
            for name in sorted(self.members)
            if name > after_name and (not last_name or name <= last_name)
        )
