"""Transfers documents in chunks; a document is named by its SHA-256, by which the whole is verified.

Owns the documents that we have, those on their way to us, and the chunks that others asked us for. `Gossip`
calls it. It performs no I/O, and knows nothing of what a document means.

Chunks are requested from any member that may have some of them, in a window. Where the whole has another
hash, some chunk was corrupt and nobody knows whose: the document is then requested again, from one member
alone, another one each time.

Bounds: MAX_DOCUMENTS documents of MAX_DOCUMENT_BYTES; MAX_QUEUED_CHUNKS chunks that wait for the rate
limiter.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field

from pathsaddle.fleet.gossip import counters
from pathsaddle.fleet.gossip.messages import (
    CHUNK_BYTES,
    DOCUMENT_HASH_BYTES,
    Chunk,
    ChunkRequest,
    DocumentHash,
)
from pathsaddle.fleet.gossip.records import NEVER
from pathsaddle.fleet.gossip.sending import CHUNK_RESERVE, GossipContext

MAX_DOCUMENT_BYTES = 256 << 10  # the largest plan or specification, with room
MAX_DOCUMENTS = 8  # that we have; as many may be on their way
WINDOW_CHUNKS = 8  # requested at once
MAX_QUEUED_CHUNKS = 16  # requested of us, that wait for the rate limiter
ROUNDS_PER_INTERVAL = (
    20  # how often, in one interval of anti-entropy, requests and queued chunks are looked at
)
LATE_PER_INTERVAL = 2  # a request is given up for lost after the interval divided by this
BITS_PER_BYTE = 8


def chunk_count(size_bytes: int) -> int:
    """How many chunks a document of that size has; an empty one has one."""
    return max(1, -(-size_bytes // CHUNK_BYTES))


@dataclass(slots=True)
class PartialDocument:
    """A document on its way to us.

    Attributes:
        holders: members that may have chunks of it.
        size_bytes: of the whole; below 0: not known yet.
        chunks: those that arrived, by index.
        in_flight: how many requested chunks did not arrive yet.
        requested_at: when chunks were requested last.
        requested_from: of whom.
        only_from: after a corrupt document: chunks of this member alone count; empty: of any.
        progress_at: when a chunk arrived last, or the first was requested.
    """

    holders: list[str]
    size_bytes: int = -1
    chunks: dict[int, bytes] = field(default_factory=dict)
    in_flight: int = 0
    requested_at: int = NEVER
    requested_from: str = ""
    only_from: str = ""
    progress_at: int = NEVER

    @property
    def chunk_count(self) -> int:
        """How many chunks the whole has."""
        return chunk_count(self.size_bytes)

    def missing_bits(self) -> bytes:
        """The chunks that did not arrive, as `ChunkRequest.missing_bits` has them."""
        bits = 0
        for index in range(self.chunk_count):
            if index not in self.chunks:
                bits |= 1 << index
        return bits.to_bytes(-(-self.chunk_count // BITS_PER_BYTE), "little")

    def is_missing(self, chunk: Chunk) -> bool:
        """Whether the chunk may be of this document, and is missing."""
        return (
            chunk.size_bytes == self.size_bytes
            and 0 <= chunk.index < self.chunk_count
            and chunk.index not in self.chunks
            and len(chunk.data) == min(CHUNK_BYTES, self.size_bytes - chunk.index * CHUNK_BYTES)
        )


@dataclass(frozen=True)
class QueuedChunk:
    """A chunk that a peer asked for."""

    to: str
    document: DocumentHash
    index: int


class DocumentTransfer:
    """One member's documents.

    Args:
        context: what the parts of gossip share.
        now: the start.
    """

    def __init__(self, context: GossipContext, now: int) -> None:
        self.store, self.sender, self.counts = context.store, context.sender, context.store.counts
        self.interval_ticks, self.rng = context.interval_ticks, context.rng
        self.documents: dict[DocumentHash, bytes] = {}
        self.partial: dict[DocumentHash, PartialDocument] = {}
        self.queue: dict[QueuedChunk, None] = {}  # in order of the requests
        self.due = now

    @property
    def is_active(self) -> bool:
        """Whether a document is on its way to us or from us."""
        return bool(self.partial or self.queue)

    def add(self, document: bytes) -> DocumentHash:
        """A document of our own.

        Raises:
            ValueError: it is larger than MAX_DOCUMENT_BYTES.
        """
        if len(document) > MAX_DOCUMENT_BYTES:
            raise ValueError(f"a document of {len(document)} bytes; at most {MAX_DOCUMENT_BYTES} may")
        document_hash = hashlib.sha256(document).digest()
        self._store(document_hash, document)
        return document_hash

    def get(self, document_hash: DocumentHash) -> bytes | None:
        """The whole, verified document, or None. One that is used is forgotten after those that are not."""
        document = self.documents.pop(document_hash, None)
        if document is not None:
            self.documents[document_hash] = document
        return document

    def request(self, document_hash: DocumentHash, holder: str, now: int) -> None:
        """Has the document fetched, if it is missing; `holder`: a member whose record names it."""
        if document_hash in self.documents or len(document_hash) != DOCUMENT_HASH_BYTES:
            return
        partial = self.partial.get(document_hash)
        if partial is None:
            if len(self.partial) >= MAX_DOCUMENTS:
                self.partial.pop(next(iter(self.partial)))
            partial = self.partial[document_hash] = PartialDocument([])
        if holder and holder != self.store.name and holder not in partial.holders:
            partial.holders.append(holder)
        self._request_chunks(document_hash, partial, now)

    def run(self, now: int) -> None:
        """Requests what is missing, and sends what the rate limiter allows."""
        self.due = now + self.interval_ticks // ROUNDS_PER_INTERVAL
        for document_hash, partial in list(self.partial.items()):
            self._request_chunks(document_hash, partial, now)
        self._send_queued(now)

    def on_chunk_request(self, sender: str, request: ChunkRequest, now: int) -> None:
        """Queues chunks that we have and the sender lacks.

        They are drawn in no order, so that members that have some of them have different ones for one
        another.
        """
        document, partial = self.documents.get(request.document), self.partial.get(request.document)
        if document is not None:
            indexes = list(range(chunk_count(len(document))))
        elif partial is not None:
            indexes = sorted(partial.chunks)
        else:
            return
        missing = int.from_bytes(request.missing_bits[: MAX_DOCUMENT_BYTES // CHUNK_BYTES], "little")
        indexes = [
            index
            for index in indexes
            if (not missing or missing >> index & 1)
            and QueuedChunk(sender, request.document, index) not in self.queue
        ]
        count = min(request.max_chunks, WINDOW_CHUNKS, len(indexes), MAX_QUEUED_CHUNKS - len(self.queue))
        for index in self.rng.sample(indexes, max(0, count)):
            self.queue[QueuedChunk(sender, request.document, index)] = None
        self._send_queued(now)

    def on_chunk(self, sender: str, chunk: Chunk, now: int) -> None:
        """Takes in a chunk of a document that we requested; requests more, or verifies the whole."""
        partial = self.partial.get(chunk.document)
        if (
            partial is None
            or not 0 <= chunk.size_bytes <= MAX_DOCUMENT_BYTES
            or partial.only_from not in ("", sender)
        ):
            return
        partial.in_flight = max(0, partial.in_flight - 1)
        if partial.size_bytes < 0:
            partial.size_bytes = chunk.size_bytes
        if not partial.is_missing(chunk):
            return
        partial.chunks[chunk.index] = chunk.data
        partial.progress_at = now
        if sender not in partial.holders:
            partial.holders.append(sender)
        if len(partial.chunks) < partial.chunk_count:
            self._request_chunks(chunk.document, partial, now)
        else:
            self._complete(chunk.document, partial)

    def _complete(self, document_hash: DocumentHash, partial: PartialDocument) -> None:
        document = b"".join(partial.chunks[index] for index in range(partial.chunk_count))
        if hashlib.sha256(document).digest() == document_hash:
            del self.partial[document_hash]
            self._store(document_hash, document)
            self.counts[counters.DOCUMENTS] += 1
            return
        # Some member's chunk is corrupt, and whose is not known: once more, everything from one member.
        self.counts[counters.CORRUPT_DOCUMENTS] += 1
        others = [name for name in sorted(self.store.peers) if name != partial.only_from]
        self.partial[document_hash] = PartialDocument(
            partial.holders, only_from=self.rng.choice(others) if others else ""
        )

    def _store(self, document_hash: DocumentHash, document: bytes) -> None:
        self.documents[document_hash] = document
        while len(self.documents) > MAX_DOCUMENTS:
            del self.documents[next(iter(self.documents))]

    def _request_chunks(self, document_hash: DocumentHash, partial: PartialDocument, now: int) -> None:
        if partial.requested_at <= now - self.interval_ticks // LATE_PER_INTERVAL:
            partial.in_flight = 0
        max_in_flight = WINDOW_CHUNKS // 2 if partial.size_bytes >= 0 else 0
        if partial.in_flight > max_in_flight or not self.store.peers:
            return
        if partial.progress_at <= now - self.interval_ticks and partial.requested_from:
            self._give_up_on_holder(partial)
        holder = self._choose_holder(partial)
        if partial.size_bytes < 0:
            max_chunks, missing_bits = 1, b""
        else:
            max_chunks, missing_bits = WINDOW_CHUNKS - partial.in_flight, partial.missing_bits()
        partial.requested_from = holder
        if self.sender.send(
            holder, [ChunkRequest(document_hash, max_chunks, missing_bits)], now, CHUNK_RESERVE
        ):
            partial.in_flight += max_chunks
            partial.requested_at, partial.progress_at = now, max(partial.progress_at, now)

    def _give_up_on_holder(self, partial: PartialDocument) -> None:
        """No chunk arrived for an interval: another member may have the document."""
        if partial.requested_from in partial.holders:
            partial.holders.remove(partial.requested_from)
        partial.requested_from = ""
        if partial.only_from:
            partial.only_from = self.rng.choice(sorted(self.store.peers))

    def _choose_holder(self, partial: PartialDocument) -> str:
        if partial.only_from:
            return partial.only_from
        alive = [name for name in partial.holders if name in self.store.peers]
        return self.rng.choice(alive or sorted(self.store.peers))

    def _send_queued(self, now: int) -> None:
        """As the rate limiter allows: what it refuses is sent a little later, without another request."""
        for queued in list(self.queue):
            chunk = self._chunk(queued)
            if chunk is None:
                del self.queue[queued]
                continue
            if queued.to in self.store.peers and not self.sender.can_send_chunk(now):
                return
            del self.queue[queued]
            self.sender.send(queued.to, [chunk], now, CHUNK_RESERVE)

    def _chunk(self, queued: QueuedChunk) -> Chunk | None:
        document, partial = self.documents.get(queued.document), self.partial.get(queued.document)
        if document is not None:
            start = queued.index * CHUNK_BYTES
            return Chunk(queued.document, len(document), queued.index, document[start : start + CHUNK_BYTES])
        if partial is not None and queued.index in partial.chunks:
            return Chunk(queued.document, partial.size_bytes, queued.index, partial.chunks[queued.index])
        return None
