"""Receives documents that are too large for one datagram.

It keeps the chunks, asks for missing ones and checks the whole document.

Used by both cores. What a received document means is the core's matter; sending chunks is `catch_up.py`'s.
No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import NamedTuple

from pathsaddle.settings.documents import (
    MAX_SNAPSHOT_BYTES,
    ChangeSet,
    InvalidDocumentError,
    Snapshot,
    content_hash,
    decode_changeset,
    decode_snapshot,
    id_of,
)
from pathsaddle.settings.events import InputRejected, QueueFull
from pathsaddle.settings.messages import CHUNK_BYTES, Chunk, ChunkManifest, ChunkRequest, DocumentKind
from pathsaddle.settings.output import Outbox
from pathsaddle.settings.timing import INITIAL_RETRY_TICKS, MAX_RETRY_TICKS, NEVER_DUE, backoff_ticks

CHUNK_WINDOW = 8  # chunks asked for at once
MAX_TRANSFERS = 2  # documents on their way to one process
MAX_RETRIES = (
    8  # after which the sender is taken to be gone; whoever is asked next announces the document anew
)


class TransferKey(NamedTuple):
    """Which document a transfer is of."""

    kind: DocumentKind
    digest: str


@dataclass(frozen=True)
class PartialTransfer:
    """A document on its way.

    Attributes:
        manifest: The last announcement; its sender is asked next.
        chunks: Those that came, by number.
        requested_until: The first chunk that was not yet asked for.
        due: When chunks are asked for again, in ticks.
        tries: How often the same chunks were asked for again.
    """

    manifest: ChunkManifest
    chunks: Mapping[int, bytes] = field(default_factory=dict)
    requested_until: int = 0
    due: int = 0
    tries: int = 0

    @property
    def count(self) -> int:
        """Chunks of the whole document."""
        return -(-self.manifest.size_bytes // CHUNK_BYTES)


@dataclass(frozen=True)
class CompleteTransfer:
    """A document that has come whole, with its announcement; its bytes are what the announced digest says."""

    manifest: ChunkManifest
    data: bytes


class ChunkReceiver:
    """The documents on their way to one process, MAX_TRANSFERS at most."""

    def __init__(self, name: str, outbox: Outbox, rng: Random) -> None:
        """Starts with no transfer.

        Args:
            name: Of this process, as the sender of requests.
            outbox: Where requests and events go.
            rng: Draws the waits before requests are repeated.
        """
        self.name, self.outbox, self.rng = name, outbox, rng
        self.transfers: dict[TransferKey, PartialTransfer] = {}

    def start(self, manifest: ChunkManifest, now: int) -> None:
        """Asks for the announced document.

        An announcement that is repeated asks for nothing that is on its way.
        """
        key = TransferKey(manifest.kind, manifest.digest)
        if not 0 < manifest.size_bytes <= MAX_SNAPSHOT_BYTES:
            return
        if key in self.transfers:
            if self.transfers[key].manifest.size_bytes == manifest.size_bytes:
                self.transfers[key] = replace(self.transfers[key], manifest=manifest)
            return
        if len(self.transfers) >= MAX_TRANSFERS:
            oldest = next(iter(self.transfers))
            del self.transfers[oldest]
            self.outbox.report(QueueFull("texts in pieces: the oldest was given up", digest=oldest.digest))
        self.transfers[key] = PartialTransfer(manifest)
        self._request(key, now)

    def accept(self, chunk: Chunk, now: int) -> CompleteTransfer | None:
        """Takes a chunk.

        Returns:
            The whole document, once all of it is there and is what its digest says.
        """
        key = TransferKey(chunk.kind, chunk.digest)
        transfer = self.transfers.get(key)
        if transfer is None or not 0 <= chunk.index < transfer.count or chunk.index in transfer.chunks:
            return None
        transfer = self.transfers[key] = replace(
            transfer, chunks={**transfer.chunks, chunk.index: chunk.data}
        )
        if len(transfer.chunks) < transfer.count:
            if all(i in transfer.chunks for i in range(transfer.requested_until)):
                self._request(key, now)
            return None
        del self.transfers[key]
        data = b"".join(transfer.chunks[i] for i in range(transfer.count))
        if len(data) != transfer.manifest.size_bytes or content_hash(data) != chunk.digest:
            self.outbox.report(
                InputRejected("pieces that are not what their digest says", digest=chunk.digest)
            )
            return None
        return CompleteTransfer(transfer.manifest, data)

    def decode(self, transfer: CompleteTransfer) -> ChangeSet | Snapshot | None:
        """Reads a document that came whole; None, and an event, where it is not what was announced."""
        manifest = transfer.manifest
        found: ChangeSet | Snapshot
        try:
            if manifest.kind == DocumentKind.CHANGESET:
                found = decode_changeset(transfer.data)
            else:
                found = decode_snapshot(transfer.data)
        except InvalidDocumentError as fault:
            self.outbox.report(InputRejected(str(fault), digest=manifest.digest))
            return None
        if id_of(found) != manifest.target:
            self.outbox.report(
                InputRejected("a text of another revision than was announced", digest=manifest.digest)
            )
            return None
        return found

    def retry_overdue(self, now: int) -> None:
        """Asks again for what is late, and gives up what was asked for MAX_RETRIES times."""
        for key in [key for key, transfer in self.transfers.items() if transfer.due <= now]:
            if self.transfers[key].tries >= MAX_RETRIES:
                del self.transfers[key]
            else:
                self._request(key, now, is_retry=True)

    def next_due(self) -> int:
        """When `retry_overdue` has something to do next, in ticks."""
        return min((transfer.due for transfer in self.transfers.values()), default=NEVER_DUE)

    def _request(self, key: TransferKey, now: int, is_retry: bool = False) -> None:
        transfer = self.transfers[key]
        first = next(i for i in range(transfer.count + 1) if i not in transfer.chunks)
        tries = transfer.tries + 1 if is_retry else 0
        self.transfers[key] = replace(
            transfer,
            requested_until=min(first + CHUNK_WINDOW, transfer.count),
            tries=tries,
            due=now + INITIAL_RETRY_TICKS + backoff_ticks(self.rng, tries, MAX_RETRY_TICKS),
        )
        self.outbox.send(transfer.manifest.sender, ChunkRequest(self.name, *key, first, CHUNK_WINDOW), now)
