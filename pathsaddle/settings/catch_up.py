"""Sends subscribers, and other servers, what they lack.

They are sent change sets, or a snapshot in chunks, as fast as it is paid for.

Each recipient is paced by a limiter of its own, so that who comes back stays within what control messages
may take of it; all together are paid by the server's limiter, a part of which is left to answers. Used by
`server.py` alone. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.settings.chunks import CHUNK_WINDOW
from pathsaddle.settings.documents import (
    ChangeSet,
    RevisionId,
    content_hash,
    digest_of,
    encode_document,
    id_of,
)
from pathsaddle.settings.events import QueueFull
from pathsaddle.settings.messages import (
    CHUNK_BYTES,
    MAX_DATAGRAM_BYTES,
    Chunk,
    ChunkManifest,
    ChunkRequest,
    CommitNotice,
    DocumentKind,
    Message,
)
from pathsaddle.settings.output import Outbox
from pathsaddle.settings.proposals import ProposalStore
from pathsaddle.settings.store import Store
from pathsaddle.settings.timing import NEVER_DUE, SECOND

MAX_RECIPIENTS = 1024  # that wait for what they lack, or were sent any of it lately
# In any second of catch-up to one recipient, so that who comes back stays within what control may take of
# it: 13,000 bytes in all, also where it has asked two servers. Half of it comes back a second
# (fleet/rate_limiter.py): 51 KB of entries take 17 s.
RECIPIENT_BYTES, RECIPIENT_DATAGRAMS = 6_000, 64
RETRY_TICKS = SECOND // 20  # until what was not paid for is tried again
CHANGESETS_RESERVE = 0.25  # of the server's limiter that is left to answers by change sets
CHUNKS_RESERVE = 0.5  # and by chunks
MAX_SNAPSHOTS = 2  # encoded ones that are kept for requests of their chunks
_NOTICE_MARGIN_BYTES = 8  # for the lengths of msgpack arrays


class PreparedSnapshot(NamedTuple):
    """An encoded snapshot, its hash and the revision to which it leads."""

    digest: str
    target: RevisionId
    data: bytes


def manifest_of(sender: str, changeset: ChangeSet, *, is_proposal: bool) -> ChunkManifest:
    """Returns the announcement of a change set that goes in chunks."""
    return ChunkManifest(
        sender,
        DocumentKind.CHANGESET,
        digest_of(changeset),
        id_of(changeset),
        len(encode_document(changeset)),
        is_proposal,
    )


class CatchUp:
    """The recipients that lack something, and what each is sent next.

    Attributes:
        lagging: By name, the revision after which something is lacking.
        chunk_requests: By name, the chunks that were asked for and are not yet sent.
        due: When something is sent next, in ticks.
    """

    def __init__(self, name: str, outbox: Outbox, store: Store, proposals: ProposalStore) -> None:
        """Starts with no recipient.

        Args:
            name: Of the server.
            outbox: Where messages go.
            store: What is committed, as far as the server has it.
            proposals: Whose chunks may be asked for, too.
        """
        self.name, self.outbox, self.store, self.proposals = name, outbox, store, proposals
        self.lagging: dict[str, RevisionId] = {}
        self.chunk_requests: dict[str, ChunkRequest] = {}
        self.due = NEVER_DUE
        self._limiters: dict[str, RateLimiter] = {}
        self._snapshots: dict[str, PreparedSnapshot] = {}

    @property
    def queue_length(self) -> int:
        """How many wait for something."""
        return len(self.lagging) + len(self.chunk_requests)

    def enqueue(self, name: str, applied: RevisionId) -> None:
        """Puts a recipient among those that are sent what comes after `applied`, if there is room."""
        if len(self.lagging) < MAX_RECIPIENTS or name in self.lagging:
            self.lagging[name] = applied
        else:
            self.outbox.report(
                QueueFull(f"{MAX_RECIPIENTS} wait for what they lack: it asks again", name=name)
            )

    def pump(self, now: int) -> None:
        """Sends each recipient in turn what is paid for.

        Who lags gets the next change sets, who asked for chunks the next one.
        """
        self.due = NEVER_DUE
        for name, applied in list(self.lagging.items()):
            message = self._next_message(applied)
            if message is not None and not self._is_paced(name, message, now):
                continue
            if message is not None and not self.outbox.send(name, message, now, CHANGESETS_RESERVE):
                self.due = now + RETRY_TICKS
                break
            del self.lagging[name]
        while self.chunk_requests:
            progress = self._pump_chunks(now)
            if not progress:
                break  # all that are left wait for their own pace, or for the server's limiter

    def notice_of(self, changesets: Sequence[ChangeSet]) -> Message:
        """The message by which committed change sets go.

        As many of the first as fit, or the manifest of a large one.
        """
        count = self._count_fitting(changesets)
        if count or not changesets:
            return CommitNotice(self.name, self.store.id, tuple(changesets[:count]))
        return manifest_of(self.name, changesets[0], is_proposal=False)

    def _pump_chunks(self, now: int) -> bool:
        """Sends each that asked the next chunk; whether one got on and the limiter is not exhausted."""
        progress = False
        for name, request in list(self.chunk_requests.items()):
            data = self._document(request)
            start = request.first * CHUNK_BYTES
            part = data[start : start + CHUNK_BYTES] if data is not None else b""
            chunk = Chunk(self.name, request.kind, request.digest, request.first, part)
            if part and not self._is_paced(name, chunk, now):
                continue
            if part and not self.outbox.send(name, chunk, now, CHUNKS_RESERVE):
                self.due = now + RETRY_TICKS
                return False
            del self.chunk_requests[name]
            progress = True
            if part and request.count > 1:
                self.chunk_requests[name] = ChunkRequest(
                    request.sender,
                    request.kind,
                    request.digest,
                    request.first + 1,
                    min(request.count, CHUNK_WINDOW) - 1,
                )
        return progress

    def _is_paced(self, name: str, message: Message, now: int) -> bool:
        """Whether it is within what one may be sent of catch-up in a second; it counts as sent then."""
        if name not in self._limiters:
            if len(self._limiters) >= MAX_RECIPIENTS:
                del self._limiters[next(iter(self._limiters))]
            self._limiters[name] = RateLimiter(RECIPIENT_BYTES, RECIPIENT_DATAGRAMS, now)
        if self._limiters[name].try_consume(self.outbox.size_of(message), now):
            return True
        self.due = min(self.due, now + RETRY_TICKS)
        return False

    def _next_message(self, applied: RevisionId) -> Message | None:
        changesets = None
        if self.store.digest_at(applied.revision) == applied.digest:
            changesets = self.store.changesets_after(applied.revision)
        if changesets is None:
            if applied.revision >= self.store.revision:
                return None
            snapshot = self._prepare_snapshot()
            return ChunkManifest(
                self.name, DocumentKind.SNAPSHOT, snapshot.digest, snapshot.target, len(snapshot.data)
            )
        return self.notice_of(changesets) if changesets else None

    def _count_fitting(self, changesets: Sequence[ChangeSet]) -> int:
        """How many of the first go into one CommitNotice."""
        count, size = 0, self.outbox.size_of(CommitNotice(self.name, self.store.id))
        for changeset in changesets:
            size += len(encode_document(changeset))
            if size > MAX_DATAGRAM_BYTES - _NOTICE_MARGIN_BYTES:
                break
            count += 1
        return count

    def _prepare_snapshot(self) -> PreparedSnapshot:
        for snapshot in self._snapshots.values():
            # One that the log leads on from is as good: who is on its way with it must not begin again at
            # each commit.
            revision, digest = snapshot.target
            if self.store.changesets_after(revision) is not None and self.store.digest_at(revision) == digest:
                return snapshot
        data = encode_document(self.store.snapshot())
        snapshot = PreparedSnapshot(content_hash(data), self.store.id, data)
        self._snapshots[snapshot.digest] = snapshot
        while len(self._snapshots) > MAX_SNAPSHOTS:
            del self._snapshots[next(iter(self._snapshots))]
        return snapshot

    def _document(self, request: ChunkRequest) -> bytes | None:
        """The bytes of which chunks are asked for; None: they are not here."""
        if request.kind == DocumentKind.SNAPSHOT:
            snapshot = self._snapshots.get(request.digest)
            return None if snapshot is None else snapshot.data
        changeset = self.proposals.held.get(request.digest)
        if changeset is None:
            changeset = self.store.changeset_named(request.digest)
        return None if changeset is None else encode_document(changeset)
