"""Gossip among the members of a fleet: small records by member, version and topic, and larger documents.

`Gossip` composes the parts and is their interface: the record store (`records.py`), dissemination of new
records (`dissemination.py`), anti-entropy (`anti_entropy.py`) and the transfer of documents (`documents.py`),
which all send by way of `sending.py`. `quota/shared_state.py` drives it; users put and read records through
it. Gossip performs no I/O: it is fed datagrams and moments, and says in `out` what is to be sent. All
randomness comes from one Random.

Each member alone writes its records and numbers each write, in the tradition of Scuttlebutt (van Renesse,
Dumitriu, Gough, Thomas 2008). What differs from it: new records are also passed on at once; everything that
is sent is paid for by the rate limiter that membership pays from, behind membership; and every age is an
interval that no other member's clock can falsify.

Bounds: bytes and datagrams in a second by the rate limiter; memory by MAX_TOPICS records of MAX_RECORD_BYTES
for each member that is alive, and MAX_DOCUMENTS documents of MAX_DOCUMENT_BYTES.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from pathsaddle.fleet.gossip import counters
from pathsaddle.fleet.gossip.anti_entropy import AntiEntropy
from pathsaddle.fleet.gossip.dissemination import Disseminator
from pathsaddle.fleet.gossip.documents import DocumentTransfer
from pathsaddle.fleet.gossip.messages import (
    Chunk,
    ChunkRequest,
    Digest,
    DigestReply,
    Dissemination,
    DocumentHash,
    Envelope,
    GossipMessage,
    decode,
)
from pathsaddle.fleet.gossip.records import GossipRecord, MemberRecords, RecordStore
from pathsaddle.fleet.gossip.sending import GossipContext, GossipSender
from pathsaddle.fleet.messages import DatagramRejectedError
from pathsaddle.fleet.rate_limiter import RateLimiter


class Gossip:
    """One member's part in the fleet's gossip.

    Args:
        name: our member's name.
        incarnation: our member's incarnation.
        fleet: the fleet's name; datagrams of another one are rejected.
        key: the fleet's secret, which signs datagrams.
        rate_limiter: shared with membership.
        interval_ticks: between two anti-entropy exchanges, on the mean.
        rng: the one source of randomness.
        now: the start, by our monotonic clock in ticks.

    Attributes:
        peers: members that membership reports as alive.
        origins: the records that we have, by member.
        news: new records that are still to be disseminated.
        over: (member, incarnation) of incarnations that ended, each once; whoever reads it empties it.
        documents: whole and verified, by hash.
        out: (address, datagram) to be sent; the driver empties it.
        counts: by the names of `counters.py`.
    """

    def __init__(  # noqa: PLR0913, PLR0917  # the driver's interface: what a member is told at its start
        self,
        name: str,
        incarnation: int,
        fleet: str,
        key: bytes,
        rate_limiter: RateLimiter,
        interval_ticks: int,
        rng: Random,
        now: int,
    ) -> None:
        self.name, self.fleet, self.key = name, fleet, key
        self.rate_limiter, self.rng = rate_limiter, rng
        self.counts: Counter[str] = Counter()
        self.store = RecordStore(name, incarnation, self.counts)
        self.peers, self.origins = self.store.peers, self.store.members
        self.news, self.over = self.store.undisseminated, self.store.ended
        self.sender = GossipSender(self.store, fleet, key, rate_limiter)
        self.out = self.sender.out
        context = GossipContext(self.store, self.sender, interval_ticks, rng)
        self.dissemination = Disseminator(context, now)
        self.anti_entropy = AntiEntropy(context, self.dissemination, now)
        self.transfer = DocumentTransfer(context, now)
        self.documents = self.transfer.documents

    @property
    def mine(self) -> MemberRecords:
        """Our own records."""
        return self.store.own

    # Records and documents.

    def put(self, topic: str, body: bytes, now: int) -> int:
        """Replaces our record of that topic.

        Returns:
            The record's version.

        Raises:
            ValueError: the body or the topic is too long, or there are MAX_TOPICS topics already.
        """
        if self.store.put(topic, body, now):
            self.dissemination.schedule(now)
        return self.store.own.records[topic].version

    def records(self, topic: str, now: int) -> list[GossipRecord]:
        """The records of that topic of all members whose incarnation is not over, ordered by member."""
        return self.store.view(topic, now)

    def keep(self, document: bytes) -> DocumentHash:
        """Adds a document of our own; records may name it by the returned hash.

        Raises:
            ValueError: it is larger than MAX_DOCUMENT_BYTES.
        """
        return self.transfer.add(document)

    def document(self, document_hash: DocumentHash) -> bytes | None:
        """The whole, verified document, or None."""
        return self.transfer.get(document_hash)

    def need(self, document_hash: DocumentHash, holder: str, now: int) -> None:
        """Has a document fetched, if it is missing; `holder`: a member whose record names it."""
        self.transfer.request(document_hash, holder, now)

    # Who is alive, as membership reports it.

    def on_member_joined(self, name: str, incarnation: int, address: str) -> None:
        """Membership takes this incarnation for alive, for the first time or again."""
        self.store.on_member_joined(name, incarnation, address)

    def on_member_left(self, name: str, incarnation: int) -> None:
        """Membership takes this incarnation for over."""
        self.store.on_member_left(name, incarnation)

    def on_new_incarnation(self, incarnation: int, now: int) -> None:
        """We have another incarnation: all records that we have put are put again in it."""
        self.store.on_new_incarnation(incarnation, now)
        self.dissemination.schedule(now)

    # Time.

    def wake(self, now: int) -> int:
        """Does what is due; returns when it wants to be called again."""
        if now >= self.dissemination.due:
            self.dissemination.run(now)
        if now >= self.anti_entropy.due:
            self.anti_entropy.run(now)
        if now >= self.transfer.due and self.transfer.is_active:
            self.transfer.run(now)
        return self.due(now)

    def due(self, now: int) -> int:
        """When `wake` is to be called, in ticks; always after `now`."""
        due = self.anti_entropy.due
        if self.news:
            due = min(due, self.dissemination.due)
        if self.transfer.is_active:
            due = min(due, self.transfer.due)
        return max(due, now + 1)

    # Messages.

    def send(self, to: str, messages: list[GossipMessage], now: int, reserve: float) -> bool:
        """Queues one datagram.

        Args:
            to: a peer's name.
            messages: in one datagram.
            now: the moment.
            reserve: the part of the rate limiter's capacity that is left to others.

        Returns:
            False where there is no such peer, or the rate limiter has nothing left for it.
        """
        return self.sender.send(to, messages, now, reserve)

    def on_datagram(self, data: bytes, now: int) -> Envelope | None:
        """Handles a datagram; messages in it that are not gossip's are the caller's to read.

        Returns:
            The envelope; None where it was rejected, which is counted.
        """
        try:
            envelope = decode(data, self.key, self.fleet)
            if envelope.recipient != self.name or envelope.sender == self.name:
                raise DatagramRejectedError("misdirected")
            if envelope.incarnation < self.store.incarnations.get(envelope.sender, 0):
                raise DatagramRejectedError("older")
        except DatagramRejectedError as error:
            self.counts[counters.REJECTED.format(reason=error)] += 1
            return None
        peer = self.peers.get(envelope.sender)
        if peer is None or peer.incarnation != envelope.incarnation:
            # Membership does not take the sender for alive: nothing of it is believed, and nobody is there to
            # answer.
            self.counts[counters.REJECTED_UNKNOWN_SENDER] += 1
            return None
        self.counts[counters.ACCEPTED] += 1
        for message in envelope.messages:
            self._on_message(envelope.sender, message, now)
        return envelope

    def _on_message(self, sender: str, message: GossipMessage, now: int) -> None:
        if isinstance(message, Dissemination):
            for delta in message.deltas:
                self.anti_entropy.apply(delta, now, None)
        elif isinstance(message, Digest):
            self.anti_entropy.on_digest(sender, message, now)
        elif isinstance(message, DigestReply):
            self.anti_entropy.on_digest_reply(sender, message, now)
        elif isinstance(message, ChunkRequest):
            self.transfer.on_chunk_request(sender, message, now)
        elif isinstance(message, Chunk):
            self.transfer.on_chunk(sender, message, now)
