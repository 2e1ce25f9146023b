"""Anti-entropy by Scuttlebutt: two members compare versions and send each other what is missing.

After van Renesse, Dumitriu, Gough, Thomas, "Efficient Reconciliation and Flow Control for Anti-Entropy
Protocols" (2008). Owns the exchanges that may still be answered, the position of the next page and the timer.
`Gossip` calls it. It performs no I/O.

An exchange: the digest of one page; the reply with the deltas that its receiver has and the entries of what
it lacks; and, where the reply lacks something, a dissemination with those deltas.
"""

from __future__ import annotations

from dataclasses import dataclass

from pathsaddle.fleet.gossip import counters
from pathsaddle.fleet.gossip.dissemination import Disseminator
from pathsaddle.fleet.gossip.messages import (
    UNKNOWN,
    Delta,
    Digest,
    DigestEntry,
    DigestReply,
    Dissemination,
    size_of,
)
from pathsaddle.fleet.gossip.records import DRIFT_UPPER_FACTOR, MemberRecords, RecordStore
from pathsaddle.fleet.gossip.sending import ANTI_ENTROPY_RESERVE, GossipContext

MAX_DIGEST_ENTRIES = 24  # of one page: fills about a datagram with names of usual length
MEMBERS_PER_EXTRA_ROUND = 100  # among more members there are more exchanges: a page holds few of them
MAX_PENDING_EXCHANGES = 64
MAX_EXPIRED_PER_EXCHANGE = 32  # exchanges that are forgotten by one new one
EXCHANGE_INTERVALS = 60  # after so many intervals no reply is accepted any more
EXCHANGE_ID_BITS = 53  # exact also where a reader has only floating point
DIGEST_BYTES = 40  # of a digest besides its entries
REPLY_BYTES = 20  # of a reply besides its entries and deltas
DELTA_BYTES = 40  # of a delta besides its records
DELTA_FRAMING_BYTES = 3  # what a delta may add to the length fields of the list that holds it
MIN_DELTA_BYTES = 60  # with less space left no delta is begun
REPEATS_PER_INTERVAL = 4  # exchanges, while replies leave something out


@dataclass(frozen=True)
class PendingExchange:
    """A digest of ours that may still be answered."""

    sent_at: int
    peer: str


class _ReplyBuilder:
    """Collects the reply to one digest as far as a datagram has room."""

    def __init__(self, store: RecordStore, to: str, remaining_bytes: int, now: int) -> None:
        self.store, self.to, self.remaining_bytes, self.now = store, to, remaining_bytes, now
        self.entries: list[DigestEntry] = []
        self.deltas: list[Delta] = []
        self.has_more = False

    def add(self, name: str, theirs: DigestEntry | None) -> bool:
        """Adds what is to be said of one member; False: an entry did not fit, so the reply is full."""
        member = self.store.members.get(name)
        if member is None:
            if theirs is not None:
                self._ask_for_all(name, theirs)
            return True
        if theirs is not None and theirs.incarnation > member.incarnation:
            return True
        after = _known_version(theirs, member)
        if name == self.to:  # of itself a member needs to be told only what we lack
            after = max(after, member.complete_up_to)
        ours = self.store.digest_entry(name, member, self.now)
        is_lacking = theirs is not None and after > member.complete_up_to
        if is_lacking or self._is_later(ours, theirs, after < member.complete_up_to):
            size_bytes = size_of(ours)
            if self.remaining_bytes - size_bytes < 0:
                self.has_more = True
                return False
            self.entries.append(ours)
            self.remaining_bytes -= size_bytes
        if after < member.complete_up_to:
            self._add_delta(name, after)
        return True

    def _ask_for_all(self, name: str, theirs: DigestEntry) -> None:
        """We have nothing of a member that both of us take for alive."""
        peer = self.store.peers.get(name)
        if peer is not None and theirs.incarnation == peer.incarnation and theirs.complete_up_to:
            self.entries.append(DigestEntry(name, theirs.incarnation, 0, UNKNOWN))
            self.remaining_bytes -= size_of(self.entries[-1])

    def _is_later(self, ours: DigestEntry, theirs: DigestEntry | None, has_delta: bool) -> bool:
        """Whether our confirmation of that member tells the other something."""
        if ours.member == self.to or ours.confirmed_ago_ticks < 0:
            return False
        return (
            theirs is None
            or theirs.confirmed_ago_ticks < 0
            or ours.confirmed_ago_ticks < theirs.confirmed_ago_ticks
            or has_delta
        )

    def _add_delta(self, name: str, after_version: int) -> None:
        part = self.store.delta_after(name, after_version, self.remaining_bytes - DELTA_BYTES, self.now)
        if part.delta.up_to_version > after_version:
            self.deltas.append(part.delta)
            self.remaining_bytes -= size_of(part.delta) + DELTA_FRAMING_BYTES
        self.has_more = self.has_more or not part.is_complete


def _known_version(theirs: DigestEntry | None, member: MemberRecords) -> int:
    """Up to which version of the member's incarnation the other one has everything."""
    if theirs is None or theirs.incarnation != member.incarnation:
        return 0
    return theirs.complete_up_to


class AntiEntropy:
    """One member's exchanges.

    Invariant: each name is compared as often as any other (`TurnsStory`): a page goes on where the last one
    that was sent ended. From a drawn name to the end, the first of N names was compared once in N exchanges,
    and a record of it that was not passed on was lacked for as long.

    Args:
        context: what the parts of gossip share.
        disseminator: passes on what an exchange brought.
        now: the start.
    """

    def __init__(self, context: GossipContext, disseminator: Disseminator, now: int) -> None:
        self.store, self.sender, self.disseminator = context.store, context.sender, disseminator
        self.interval_ticks, self.rng = context.interval_ticks, context.rng
        self.pending: dict[int, PendingExchange] = {}
        # The last name of the last page that was sent; "": it went to the end; None: no page was sent yet.
        self.last_name: str | None = None
        self.due = now + int(self.interval_ticks * self.rng.random())

    def run(self, now: int) -> None:
        """Starts the exchange that is due, and sets the moment of the next one."""
        rounds = 1 + len(self.store.members) // MEMBERS_PER_EXTRA_ROUND
        self.due = now + int(self.interval_ticks / rounds * (0.75 + self.rng.random() / 2))
        self.start(now)

    def start(self, now: int, to: str = "", after_name: str | None = None) -> None:
        """Sends a digest.

        Args:
            now: the moment.
            to: a peer; empty, or none of the peers: one is drawn.
            after_name: where the page begins; None: where the last one ended.
        """
        peers = self.store.peers
        if not peers:
            return
        if to not in peers:
            to = self.rng.choice(sorted(peers))
        is_turn = after_name is None
        if after_name is None:
            after_name = self._next_page()
        entries: list[DigestEntry] = []
        remaining_bytes, last_name = self.sender.max_message_bytes(to) - DIGEST_BYTES, ""
        for name in self.store.names_between(after_name, ""):
            entry = self.store.digest_entry(name, self.store.members[name], now)
            remaining_bytes -= size_of(entry)
            if remaining_bytes < 0 or len(entries) >= MAX_DIGEST_ENTRIES:
                last_name = entries[-1].member
                break
            entries.append(entry)
        exchange_id = self.rng.getrandbits(EXCHANGE_ID_BITS)
        self._forget_old(now)
        digest = Digest(exchange_id, after_name, last_name, entries)
        if self.sender.send(to, [digest], now, ANTI_ENTROPY_RESERVE):
            self.pending[exchange_id] = PendingExchange(now, to)
            if is_turn:
                self.last_name = last_name

    def _next_page(self) -> str:
        """After which name the next page begins."""
        names = sorted(self.store.members)
        if (
            self.last_name is None
        ):  # only the beginning is drawn, so that not all members compare the same page
            start = self.rng.randrange(len(names)) if len(names) > MAX_DIGEST_ENTRIES else 0
            self.last_name = names[start - 1] if start else ""
        return self.last_name if self.last_name < names[-1] else ""

    def _forget_old(self, now: int) -> None:
        oldest = now - EXCHANGE_INTERVALS * self.interval_ticks
        expired = [number for number, exchange in self.pending.items() if exchange.sent_at < oldest]
        forgotten = expired[:MAX_EXPIRED_PER_EXCHANGE]
        if not forgotten and len(self.pending) >= MAX_PENDING_EXCHANGES:
            forgotten = [next(iter(self.pending))]
        for number in forgotten:
            del self.pending[number]

    def on_digest(self, sender: str, digest: Digest, now: int) -> None:
        """Answers with what the sender lacks, and with entries of what we lack or know later."""
        theirs = {entry.member: entry for entry in digest.entries}
        reply = _ReplyBuilder(self.store, sender, self.sender.max_message_bytes(sender) - REPLY_BYTES, now)
        page = self.store.names_between(digest.after_name, digest.last_name)
        for name in dict.fromkeys([*page, *theirs]):
            if not reply.add(name, theirs.get(name)):
                break
        message = DigestReply(digest.exchange_id, reply.entries, reply.deltas, reply.has_more)
        self.sender.send(sender, [message], now, ANTI_ENTROPY_RESERVE)

    def on_digest_reply(self, sender: str, reply: DigestReply, now: int) -> None:
        """Takes in the deltas, confirms versions, and sends what the answering member lacks."""
        exchange = self.pending.get(reply.exchange_id)
        if exchange is None or exchange.peer != sender:
            self.store.counts[counters.UNKNOWN_EXCHANGE] += 1
            return
        del self.pending[reply.exchange_id]
        for delta in reply.deltas:
            self.apply(delta, now, exchange.sent_at)
        remaining_bytes = self.sender.max_message_bytes(sender)
        deltas: list[Delta] = []
        for entry in reply.entries:
            member = self._confirm(entry, exchange.sent_at)
            if member is None:
                continue
            after = _known_version(entry, member)
            if after < member.complete_up_to and remaining_bytes > MIN_DELTA_BYTES:
                delta = self.store.delta_after(entry.member, after, remaining_bytes - DELTA_BYTES, now).delta
                if delta.up_to_version > after:
                    deltas.append(delta)
                    remaining_bytes -= size_of(delta) + DELTA_FRAMING_BYTES
        if deltas:
            self.sender.send(sender, [Dissemination(deltas)], now, ANTI_ENTROPY_RESERVE)
        if reply.has_more:  # the next exchange comes soon: what is lacking fills more than one reply
            self.due = min(self.due, now + self.interval_ticks // REPEATS_PER_INTERVAL)

    def apply(self, delta: Delta, now: int, requested_at: int | None) -> None:
        """Takes in a delta, and has what is new passed on; `requested_at`: if it is an answer."""
        if self.store.apply_delta(delta, now, requested_at):
            self.disseminator.schedule(now + self.disseminator.round_ticks)

    def _confirm(self, entry: DigestEntry, requested_at: int) -> MemberRecords | None:
        """Notes when the entry's member had no later version; None: the entry is of no use."""
        store = self.store
        peer, member = store.peers.get(entry.member), store.members.get(entry.member)
        if peer is None or peer.incarnation != entry.incarnation:
            # Our own entry among them: what the other lacks of us.
            if member is not store.own or entry.incarnation > member.incarnation:
                return None
        elif member is None:
            member = store.members[entry.member] = MemberRecords(entry.incarnation)
        if member is not store.own and entry.confirmed_ago_ticks >= 0:
            at = requested_at - int(entry.confirmed_ago_ticks * DRIFT_UPPER_FACTOR) - 1
            if at > member.confirmed_at:
                member.confirmed_version, member.confirmed_at = entry.complete_up_to, at
        return member
