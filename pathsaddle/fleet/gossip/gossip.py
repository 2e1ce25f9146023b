"""One layer that carries what members share: small records by (member, life, version) and topic,
and larger documents.

In the tradition of Scuttlebutt (van Renesse, Dumitriu, Gough, Thomas 2008): each member alone writes its
records and numbers each writing; of a member's life another knows up to which number it lacks nothing
(`seen`), and two compare those numbers. What is new is also passed on at once, a few times by each, so that
comparing only mends what was lost. Ours: what goes is paid from the purse that membership pays from, behind
it; and every age is an interval that no other clock can make untrue.

Bounds. Bytes and datagrams a second: the rate_limiter's, with all else that the member sends; a partition's end adds
nothing to it. Kept: MOST_TOPICS records of at most BODY bytes for each member that is taken to be there,
MOST_DOCUMENTS documents of LARGEST. Lives: of a member's records only those of the highest life heard of are
ever told, none once that life is over; its end is told once (`ended`). Ages: a record was put no less than
`least` and no more than `most` ticks ago, by our clock, while no clock runs off by more than DRIFT. How that
is known: it came `least` old, so it was put before it came; and when its owner was surely still without it
(`Row.ago` in an answer, reckoned from before our question), it was not yet put. One that nobody answers for
has no `most`. A message's arrival proves nothing else.

No I/O: fed datagrams and moments, says what to send (`out`). All chance comes from one Random.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import ceil, log10
from random import Random

from pathsaddle.fleet.gossip.messages import (
    MAX_RECORD_BYTES,
    PIECE,
    ROOM,
    Ask,
    Delta,
    Digest,
    DigestReply,
    GossipMessage,
    News,
    Packet,
    Piece,
    Row,
    Told,
    decode,
    encode,
    size_of,
)
from pathsaddle.fleet.messages import DatagramRejectedError
from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT
from pathsaddle.fleet.rate_limiter import RateLimiter

NEVER = -(1 << 60)
LONGER = (
    1 + 2.1 * MAX_CLOCK_DRIFT
)  # by how much more our clock may run while another's tells a span; (1 + d) / (1 - d)
SHORTER = 1 - 2.1 * MAX_CLOCK_DRIFT
SPREAD = 3  # each news is passed on so many times the logarithm of the fleet's size
FANOUT = 2  # to so many at a time
MAX_DIGEST_ROWS = 24  # of a comparison
MOST_TOPICS = 32
MOST_MEMBERS = 4096
MAX_DOCUMENT_BYTES = 256 << 10  # bytes of a document
MOST_DOCUMENTS = 8
WINDOW = 8  # pieces asked for at once
MOST_GIVING = 16  # pieces asked of us that wait for the rate_limiter
# What is left of the rate_limiter to others: probes, answers and shares first, then all else of membership's, then
# comparisons, news, bulk. Down to what it may leave, carrying spends it all while many tell of much: as long as that
# was less than membership's news needs, no accusation went round and each suspicion lasted its longest.
SHARES, COMPARISONS, NEWS, BULK = 0.1, 0.45, 0.5, 0.6


@dataclass(slots=True)
class Record:
    topic: str
    version: int
    body: bytes
    after: int  # it was put after this moment of ours, NEVER: nothing is known
    before: int  # and before this one

    def age(self, now: int) -> tuple[int, int | None]:
        """(least, most) ticks since it was put; most None: nobody answered for it."""
        return max(0, now - self.before), now - self.after if self.after > NEVER else None


@dataclass(slots=True)
class Origin:
    """All that we have of one member's life."""

    life: int
    seen: int = 0  # we lack nothing up to this version
    stood: int = 0  # at some moment after `stood_at` its highest version was this
    stood_at: int = NEVER
    records: dict[str, Record] = field(default_factory=dict)


@dataclass(frozen=True)
class Peer:
    life: int
    address: str


@dataclass(frozen=True)
class GossipRecord:
    """A record as its users see it, ages in ticks. sure: how long ago at most its owner had nothing later
    than we have; None: that is not known.
    """

    member: str
    life: int
    version: int
    body: bytes
    least: int
    most: int | None
    sure: int | None


@dataclass(slots=True)
class Partial:
    """A document on its way to us."""

    holders: list[str]
    size: int = -1
    pieces: dict[int, bytes] = field(default_factory=dict)
    under_way: int = 0  # how many pieces asked for have not come
    asked: int = NEVER  # when last
    whom: str = ""
    only: str = ""  # after a false one: pieces of this member alone
    told: int = NEVER  # when a piece last came

    @property
    def count(self) -> int:
        return max(1, -(-self.size // PIECE))


class Gossip:
    def __init__(
        self,
        name: str,
        life: int,
        fleet: str,
        key: bytes,
        rate_limiter: RateLimiter,
        beat: int,
        chance: Random,
        now: int,
    ) -> None:
        """`beat`: between two comparisons."""
        self.name, self.fleet, self.key, self.rate_limiter, self.beat, self.chance = (
            name,
            fleet,
            key,
            rate_limiter,
            beat,
            chance,
        )
        self.mine = Origin(life)
        self.peers: dict[str, Peer] = {}  # who is taken to be there
        self.lives: dict[str, int] = {}  # the highest life heard of
        self.origins: dict[str, Origin] = {name: self.mine}
        # (member, topic) still to be passed on, and how often it was
        self.news: dict[tuple[str, str], int] = {}
        self.out: list[tuple[str, bytes]] = []
        self.over: list[tuple[str, int]] = []  # lives that ended, each told once; for whoever empties it
        self.counts: dict[str, int] = {}
        # echo -> (when, whom) of comparisons that may still be answered
        self.asked: dict[int, tuple[int, str]] = {}
        self.compared: str | None = (
            None  # the last name of the last page compared; "": of all; None: none was
        )
        self.documents: dict[bytes, bytes] = {}
        self.partial: dict[bytes, Partial] = {}
        self.giving: dict[tuple[str, bytes, int], None] = {}  # (to, digest, number) asked of us
        self.heard_at = now  # when anything last came
        self.compare_due = now + int(beat * chance.random())
        self.news_due = self.bulk_due = now

    # What users put in and ask for.

    def put(self, topic: str, body: bytes, now: int) -> int:
        """Our record of that topic from now on; its version. ValueError: too long, or one topic too many."""
        if len(body) > MAX_RECORD_BYTES or len(topic) > 64:
            raise ValueError(
                f"{topic}: {len(body)} bytes; at most {MAX_RECORD_BYTES} may, a document carries more"
            )
        mine = self.mine
        old = mine.records.get(topic)
        if old is not None and old.body == body:
            return old.version
        if old is None and len(mine.records) >= MOST_TOPICS:
            raise ValueError(f"{topic}: {MOST_TOPICS} topics are there already")
        mine.seen += 1
        mine.records[topic] = Record(topic, mine.seen, body, now, now)
        self.news[self.name, topic] = 0
        self.news_due = min(self.news_due, now)
        return mine.seen

    def records(self, topic: str, now: int) -> list[GossipRecord]:
        """Of all whose life is not over, by name."""
        found = []
        for name in sorted(self.origins):
            origin = self.origins[name]
            record = origin.records.get(topic)
            if record is None:
                continue
            if origin is self.mine:
                sure: int | None = 0
            else:
                sure = (
                    now - origin.stood_at if origin.seen >= origin.stood and origin.stood_at > NEVER else None
                )
            found.append(GossipRecord(name, origin.life, record.version, record.body, *record.age(now), sure))
        return found

    def keep(self, document: bytes) -> bytes:
        """A document of our own: its digest, by which records may name it. ValueError: too large."""
        if len(document) > MAX_DOCUMENT_BYTES:
            raise ValueError(f"a document of {len(document)} bytes; at most {MAX_DOCUMENT_BYTES} may")
        digest = hashlib.sha256(document).digest()
        self._kept(digest, document)
        return digest

    def document(self, digest: bytes) -> bytes | None:
        """Whole and checked, or None. Asked for again it is not forgotten before others."""
        found = self.documents.pop(digest, None)
        if found is not None:
            self.documents[digest] = found
        return found

    def need(self, digest: bytes, of: str, now: int) -> None:
        """Let it come; `of`: whose record names it."""
        if digest in self.documents or len(digest) != 32:
            return
        partial = self.partial.get(digest)
        if partial is None:
            if len(self.partial) >= MOST_DOCUMENTS:
                self.partial.pop(next(iter(self.partial)))
            partial = self.partial[digest] = Partial([])
        if of and of != self.name and of not in partial.holders:
            partial.holders.append(of)
        self._ask(digest, partial, now)

    def _kept(self, digest: bytes, document: bytes) -> None:
        self.documents[digest] = document
        while len(self.documents) > MOST_DOCUMENTS:
            del self.documents[next(iter(self.documents))]

    # Who is there, as membership sees it.

    def on_member_joined(self, name: str, life: int, address: str) -> None:
        """Also: back, after it was taken for dead."""
        if name == self.name or life < self.lives.get(name, 0):
            return
        self._life(name, life)
        self.peers[name] = Peer(life, address)

    def on_member_left(self, name: str, life: int) -> None:
        """Its records count no more; told once."""
        if name == self.name:
            return
        peer = self.peers.get(name)
        if peer is not None and peer.life <= life:
            del self.peers[name]
        self._life(name, life)
        origin = self.origins.get(name)
        if origin is not None and origin.life <= life:
            self._drop(name)

    def _life(self, name: str, life: int) -> None:
        """The highest heard of holds; what an older one put ends."""
        if len(self.lives) >= MOST_MEMBERS and name not in self.lives:
            # The longest unheard of whose life is over goes: without a peer nothing of it is taken anyway.
            gone = next((n for n in self.lives if n not in self.peers), next(iter(self.lives)))
            del self.lives[gone]
        if life > self.lives.get(name, 0):
            self.lives.pop(name, None)
            self.lives[name] = life
        origin = self.origins.get(name)
        if origin is not None and origin.life < life:
            self._drop(name)

    def _drop(self, name: str) -> None:
        origin = self.origins.pop(name)
        self.over.append((name, origin.life))
        for key in [key for key in self.news if key[0] == name]:
            del self.news[key]

    def on_new_incarnation(self, life: int, now: int) -> None:
        """We have another life: all that we have put is put anew in it."""
        old = self.mine
        self.mine = self.origins[self.name] = Origin(life)
        for topic, record in old.records.items():
            self.mine.seen += 1
            self.mine.records[topic] = Record(topic, self.mine.seen, record.body, now, now)
            self.news[self.name, topic] = 0
        self.news_due = min(self.news_due, now)

    # Time.

    def wake(self, now: int) -> int:
        """Does what is due; when it wants to be called again."""
        if now >= self.news_due:
            self._pass_on(now)
        if now >= self.compare_due:
            # More often among many: a page holds few of them.
            rounds = 1 + len(self.origins) // 100
            self.compare_due = now + int(self.beat / rounds * (0.75 + self.chance.random() / 2))
            self._compare(now)
        if now >= self.bulk_due and (self.partial or self.giving):
            self.bulk_due = now + self.beat // 20
            for digest, partial in list(self.partial.items()):
                self._ask(digest, partial, now)
            self._give_on(now)
        return self.due(now)

    def due(self, now: int) -> int:
        due = self.compare_due
        if self.news:
            due = min(due, self.news_due)
        if self.partial or self.giving:
            due = min(due, self.bulk_due)
        return max(due, now + 1)

    # Sending.

    def send(self, to: str, said: list[GossipMessage], now: int, spare: float) -> bool:
        """False: nobody of that name is there, or nothing is left for it in this second."""
        peer = self.peers.get(to)
        if peer is None:
            return False
        data = encode(Packet(self.fleet, self.name, self.mine.life, to, said), self.key)
        if len(data) > ROOM + 17 or not self.rate_limiter.try_consume(len(data), now, spare):
            self._count("held back")
            return False
        self.out.append((peer.address, data))
        return True

    def _room(self, to: str) -> int:
        return ROOM - len(self.fleet) - len(self.name) - len(to) - 24

    def _pass_on(self, now: int) -> None:
        """What is new, told least often first, to a few drawn."""
        self.news_due = now + self.beat // 5
        names = sorted(self.peers)
        if not names or not self.news:
            self.news.clear()
            return
        most = SPREAD * ceil(log10(len(names) + 2))
        for to in self.chance.sample(names, min(FANOUT, len(names))):
            room, deltas, told = self._room(to), [], []
            for key in sorted(self.news, key=self.news.__getitem__):
                name, topic = key
                origin = self.origins[name]
                delta = self._news_of(name, origin, origin.records[topic], now)
                room -= size_of(delta)
                if room < 0:
                    break
                told.append(key)
                if name != to:
                    deltas.append(delta)
            if deltas and not self.send(to, [News(deltas)], now, NEWS):
                return
            for key in told:
                self.news[key] += 1
                if self.news[key] >= most:
                    del self.news[key]
            if not self.news:
                return

    def _news_of(self, name: str, origin: Origin, record: Record, now: int) -> Delta:
        """One record alone. With all up to it seen we know that nothing of what it follows still stands."""
        since = record.version - 1
        if origin.seen >= record.version:
            since = max((r.version for r in origin.records.values() if r.version < record.version), default=0)
        return Delta(name, origin.life, since, record.version, [self._told(record, now)])

    def _told(self, record: Record, now: int) -> Told:
        least, most = record.age(now)
        return Told(record.topic, record.version, record.body, least, -1 if most is None else most)

    def _delta(self, name: str, since: int, room: int, now: int) -> tuple[Delta, bool]:
        """What follows `since`, in order, as far as there is room; whether that is all."""
        origin = self.origins[name]
        told: list[Told] = []
        for record in sorted(origin.records.values(), key=lambda r: r.version):
            if not since < record.version <= origin.seen:
                continue
            one = self._told(record, now)
            room -= size_of(one) + 2
            if room < 0:
                return Delta(name, origin.life, since, told[-1].version if told else since, told), False
            told.append(one)
        return Delta(name, origin.life, since, origin.seen, told), True

    def _row(self, name: str, origin: Origin, now: int) -> Row:
        if origin is self.mine:
            return Row(name, origin.life, origin.seen, 0)
        # Versions grow: had it `stood` after that moment, it had what we have seen since at some later one.
        known = origin.stood_at > NEVER and origin.seen >= origin.stood
        return Row(name, origin.life, origin.seen, now - origin.stood_at if known else -1)

    def _between(self, first: str, last: str) -> Iterator[str]:
        return (name for name in sorted(self.origins) if name > first and (not last or name <= last))

    def _compare(self, now: int, to: str = "", first: str | None = None) -> None:
        if not self.peers:
            return
        to = to if to in self.peers else self.chance.choice(sorted(self.peers))
        turn = first is None
        if first is None:
            # Page after page, so that each name has its turn: from a drawn name to the end, the first of N
            # names was compared once in N, and a record of its that was not passed on was lacked for as long.
            names = sorted(self.origins)
            if self.compared is None:  # a drawn begin alone, so that not all compare the same at once
                start = self.chance.randrange(len(names)) if len(names) > MAX_DIGEST_ROWS else 0
                self.compared = names[start - 1] if start else ""
            first = self.compared if self.compared < names[-1] else ""
        rows: list[Row] = []
        room, last = self._room(to) - 40, ""
        for name in self._between(first, ""):
            row = self._row(name, self.origins[name], now)
            room -= size_of(row)
            if room < 0 or len(rows) >= MAX_DIGEST_ROWS:
                last = rows[-1].name
                break
            rows.append(row)
        echo = self.chance.getrandbits(53)
        for old in [old for old, (when, _) in self.asked.items() if when < now - 60 * self.beat][:32] or (
            [next(iter(self.asked))] if len(self.asked) >= 64 else []
        ):
            del self.asked[old]
        if self.send(to, [Digest(echo, first, last, rows)], now, COMPARISONS):
            self.asked[echo] = now, to
            if turn:
                self.compared = last

    # Hearing.

    def on_datagram(self, data: bytes, now: int) -> Packet | None:
        """A datagram has come; what of it is for others than this layer is theirs to read.
        None: it was refused, counted.
        """
        try:
            packet = decode(data, self.key, self.fleet)
            if packet.to != self.name or packet.name == self.name:
                raise DatagramRejectedError("misdirected")
            if packet.life < self.lives.get(packet.name, 0):
                raise DatagramRejectedError("older")
        except DatagramRejectedError as fault:
            self._count(f"refused {fault}")
            return None
        peer = self.peers.get(packet.name)
        if peer is None or peer.life != packet.life:
            # Of whom membership does not know as there: nothing is taken of it, and nobody to answer.
            self._count("refused unknown")
            return None
        self._count("taken")
        self.heard_at = now
        for said in packet.said:
            if isinstance(said, News):
                for delta in said.deltas:
                    self._take(delta, now, None)
            elif isinstance(said, Digest):
                self._answer(packet.name, said, now)
            elif isinstance(said, DigestReply):
                self._answered(packet.name, said, now)
            elif isinstance(said, Ask):
                self._give(packet.name, said, now)
            elif isinstance(said, Piece):
                self._piece(packet.name, said, now)
        return packet

    def _take(self, delta: Delta, now: int, asked: int | None) -> None:
        """`asked`: when we asked for it, if this is an answer."""
        name = delta.name
        peer = self.peers.get(name)
        if peer is None or peer.life != delta.life or delta.life < self.lives.get(name, 0):
            self._count("other life")
            return
        origin = self.origins.get(name)
        if origin is None:
            origin = self.origins[name] = Origin(delta.life)
        for told in delta.records:
            old = origin.records.get(told.topic)
            if len(told.body) > MAX_RECORD_BYTES or told.least < 0:
                continue
            if old is None and len(origin.records) >= MOST_TOPICS:
                self._count("no room")
                continue
            after = origin.stood_at if told.version > origin.stood else NEVER
            if asked is not None and told.most >= 0:
                after = max(after, asked - int(told.most * LONGER) - 1)
            before = now - int(told.least * SHORTER)
            if old is not None and told.version <= old.version:
                if told.version == old.version:
                    old.after, old.before = max(old.after, after), min(old.before, before)
                continue
            origin.records[told.topic] = Record(told.topic, told.version, told.body, after, before)
            self.news[name, told.topic] = 0
            self.news_due = min(self.news_due, now + self.beat // 5)
        if delta.since <= origin.seen < delta.upto:
            origin.seen = delta.upto

    def _answer(self, to: str, said: Digest, now: int) -> None:
        theirs = {row.name: row for row in said.rows}
        rows: list[Row] = []
        deltas: list[Delta] = []
        room, more = self._room(to) - 20, False
        for name in dict.fromkeys([*self._between(said.first, said.last), *theirs]):
            row, origin = theirs.get(name), self.origins.get(name)
            if origin is None:
                if name in self.peers and row is not None and row.life == self.peers[name].life and row.seen:
                    rows.append(Row(name, row.life, 0, -1))  # we lack it all
                    room -= size_of(rows[-1])
                continue
            mine = self._row(name, origin, now)
            since = row.seen if row is not None and row.life == origin.life else 0
            if row is not None and row.life > origin.life:
                continue
            if name == to:  # of itself it needs to be told only what we lack
                since = max(since, origin.seen)
            later = (
                name != to
                and mine.ago >= 0
                and (row is None or row.ago < 0 or mine.ago < row.ago or since < origin.seen)
            )
            if later or (row is not None and since > origin.seen):
                if room - size_of(mine) < 0:
                    more = True
                    break
                rows.append(mine)
                room -= size_of(mine)
            if since < origin.seen:
                delta, whole = self._delta(name, since, room - 40, now)
                if delta.upto > since:
                    deltas.append(delta)
                    room -= size_of(delta) + 3
                more = more or not whole
        self.send(to, [DigestReply(said.echo, rows, deltas, more)], now, COMPARISONS)

    def _answered(self, who: str, said: DigestReply, now: int) -> None:
        asked = self.asked.get(said.echo)
        if asked is None or asked[1] != who:
            self._count("no question")
            return
        del self.asked[said.echo]
        for delta in said.deltas:
            self._take(delta, now, asked[0])
        room, deltas = self._room(who), []
        for row in said.rows:
            peer, origin = self.peers.get(row.name), self.origins.get(row.name)
            if peer is None or peer.life != row.life:
                # Our own among them: what the other lacks of us.
                if origin is not self.mine or row.life > origin.life:
                    continue
            elif origin is None:
                origin = self.origins[row.name] = Origin(row.life)
            if origin is not self.mine and row.ago >= 0:
                at = asked[0] - int(row.ago * LONGER) - 1
                if at > origin.stood_at:
                    origin.stood, origin.stood_at = row.seen, at
            since = row.seen if row.life == origin.life else 0
            if since < origin.seen and room > 60:
                delta, _ = self._delta(row.name, since, room - 40, now)
                if delta.upto > since:
                    deltas.append(delta)
                    room -= size_of(delta) + 3
        if deltas:
            self.send(who, [News(deltas)], now, COMPARISONS)
        if said.more:  # the same again before long: what is lacking fills more than one answer
            self.compare_due = min(self.compare_due, now + self.beat // 4)

    # Documents.

    def _ask(self, digest: bytes, partial: Partial, now: int) -> None:
        late = now - self.beat // 2
        if partial.asked <= late:
            partial.under_way = 0
        if partial.under_way > (WINDOW // 2 if partial.size >= 0 else 0) or not self.peers:
            return
        if partial.told <= now - self.beat and partial.whom:
            # Nothing came for a beat: another, who may have it.
            if partial.whom in partial.holders:
                partial.holders.remove(partial.whom)
            partial.whom = ""
            if partial.only:
                partial.only = self.chance.choice(sorted(self.peers))
        there = [name for name in partial.holders if name in self.peers]
        whom = partial.only or (
            self.chance.choice(there) if there else self.chance.choice(sorted(self.peers))
        )
        if partial.size < 0:
            most, lacks = 1, b""
        else:
            most, bits = WINDOW - partial.under_way, 0
            for n in range(partial.count):
                if n not in partial.pieces:
                    bits |= 1 << n
            lacks = bits.to_bytes(-(-partial.count // 8), "little")
        partial.whom = whom
        if self.send(whom, [Ask(digest, most, lacks)], now, BULK):
            partial.under_way += most
            partial.asked, partial.told = now, max(partial.told, now)

    def _give(self, to: str, said: Ask, now: int) -> None:
        whole, partial = self.documents.get(said.digest), self.partial.get(said.digest)
        if whole is not None:
            numbers = list(range(max(1, -(-len(whole) // PIECE))))
        elif partial is not None:
            numbers = sorted(partial.pieces)
        else:
            return
        lacks = int.from_bytes(said.lacks[: MAX_DOCUMENT_BYTES // PIECE], "little")
        numbers = [
            n for n in numbers if (not lacks or lacks >> n & 1) and (to, said.digest, n) not in self.giving
        ]
        # In no order: those who have some then have different ones for one another.
        for number in self.chance.sample(
            numbers, max(0, min(said.most, WINDOW, len(numbers), MOST_GIVING - len(self.giving)))
        ):
            self.giving[to, said.digest, number] = None
        self._give_on(now)

    def _give_on(self, now: int) -> None:
        """As the rate_limiter allows: what it refuses goes a little later, without being asked for again."""
        for to, digest, number in list(self.giving):
            whole, partial = self.documents.get(digest), self.partial.get(digest)
            if whole is not None:
                piece = Piece(digest, len(whole), number, whole[number * PIECE : (number + 1) * PIECE])
            elif partial is not None and number in partial.pieces:
                piece = Piece(digest, partial.size, number, partial.pieces[number])
            else:
                del self.giving[to, digest, number]
                continue
            if to in self.peers and not self.rate_limiter.can_consume(ROOM, now, BULK):
                return
            del self.giving[to, digest, number]
            self.send(to, [piece], now, BULK)

    def _piece(self, who: str, said: Piece, now: int) -> None:
        partial = self.partial.get(said.digest)
        if partial is None or not 0 <= said.size <= MAX_DOCUMENT_BYTES or partial.only not in ("", who):
            return
        partial.under_way = max(0, partial.under_way - 1)
        if partial.size < 0:
            partial.size = said.size
        if said.size != partial.size or not 0 <= said.number < partial.count or said.number in partial.pieces:
            return
        if len(said.data) != min(PIECE, partial.size - said.number * PIECE):
            return
        partial.pieces[said.number] = said.data
        partial.told = now
        if who not in partial.holders:
            partial.holders.append(who)
        if len(partial.pieces) < partial.count:
            self._ask(said.digest, partial, now)
            return
        whole = b"".join(partial.pieces[n] for n in range(partial.count))
        if hashlib.sha256(whole).digest() == said.digest:
            del self.partial[said.digest]
            self._kept(said.digest, whole)
            self._count("documents")
            return
        # Somebody's piece is false, and whose is not known: once more, all of it from one.
        self._count("document false")
        others = [name for name in sorted(self.peers) if name != partial.only]
        self.partial[said.digest] = Partial(
            partial.holders, only=self.chance.choice(others) if others else ""
        )

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
