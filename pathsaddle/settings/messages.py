"""The messages between config servers and subscribers, one Struct for each kind.

Fields stand in the order of the wire.

Every Struct is a msgpack array: the order of its fields and its tag are the wire format, its field names
are not on the wire. `datagrams.py` puts one message into one signed datagram. Nothing here checks what a
message says; that is `datagrams.decode`'s and the cores' task. No I/O.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec
from msgspec import Struct

from pathsaddle.settings.documents import ChangeSet, RevisionId

MAX_DATAGRAM_BYTES = 1200  # with its envelope
ENVELOPE_BYTES = 17  # a byte for the form and 16 of the signature, as in fleet/messages.py
CHUNK_BYTES = 1024  # of a document in one datagram


class DocumentKind(IntEnum):
    """What chunks are pieces of."""

    CHANGESET = 0
    SNAPSHOT = 1


class SyncRequest(Struct, array_like=True, frozen=True, tag=1):
    """A subscriber asks a server what is committed, and for a lease.

    It also says that the subscriber has (revision, digest) as committed, on its disk: whoever answers sends
    what follows.

    Attributes:
        sender: The subscriber.
        incarnation: Of the subscriber's run.
        echo: Grows with each request of an incarnation.
        revision: The revision by which the subscriber acts.
        digest: Of that revision.
    """

    sender: str
    incarnation: int
    echo: int
    revision: int
    digest: str


class LeaseRenewal(Struct, array_like=True, frozen=True, tag=2):
    """A server tells a subscriber what the register held, by a reading that began after the request came.

    Attributes:
        sender: The server.
        subscriber: Whose request is answered.
        incarnation: As in the request.
        echo: As in the request.
        revision: The latest committed revision.
        digest: Of that revision.
    """

    sender: str
    subscriber: str
    incarnation: int
    echo: int
    revision: int
    digest: str


class Proposal(Struct, array_like=True, frozen=True, tag=3):
    """A change set that may come to be committed.

    It goes to the other servers, and to the subscribers of the server's region.

    Attributes:
        sender: The server that commits.
        changeset: The first change set.
        following: To servers alone: the change sets that are to be committed with it, one after another.
            All go in one datagram, so that no server has a part.
    """

    sender: str
    changeset: ChangeSet
    following: tuple[ChangeSet, ...] = ()


class ProposalAck(Struct, array_like=True, frozen=True, tag=4):
    """A server tells the committing server that a whole proposal is on its disk.

    Attributes:
        sender: The server that has it.
        revision: Of the proposal's last change set.
        digest: Of the same.
    """

    sender: str
    revision: int
    digest: str


class CommitNotice(Struct, array_like=True, frozen=True, tag=5):
    """A server tells a subscriber, or another server, which revision is committed.

    Attributes:
        sender: The server.
        committed: The highest committed revision that the server knows.
        changesets: Committed change sets, one after another, that lead there. Those that do not fit into a
            datagram come in chunks instead, and this is empty.
    """

    sender: str
    committed: RevisionId
    changesets: tuple[ChangeSet, ...] = ()


class AppliedAck(Struct, array_like=True, frozen=True, tag=6):
    """A subscriber acts by a revision, knows that it is committed, and has it on its disk.

    Between servers it says what the sender has, and so asks for what follows.

    Attributes:
        sender: The subscriber or server.
        revision: What it has.
        digest: Of that revision.
    """

    sender: str
    revision: int
    digest: str


class AppliedGroup(NamedTuple):
    """The subscribers that have acknowledged one revision."""

    revision: int
    digest: str
    names: tuple[str, ...]


class AppliedSummary(Struct, array_like=True, frozen=True, tag=7):
    """A server tells the others what subscribers have acknowledged to it.

    Attributes:
        sender: The server.
        groups: Subscribers by revision.
    """

    sender: str
    groups: tuple[AppliedGroup, ...]


class ChunkManifest(Struct, array_like=True, frozen=True, tag=8):
    """A document is at hand that goes in chunks.

    Attributes:
        sender: Who has it.
        kind: What it is.
        digest: Of the change set, or the hash of the snapshot's bytes.
        target: The revision to which it leads.
        size_bytes: Of the encoded document.
        is_proposal: Whether the change set is not committed.
    """

    sender: str
    kind: DocumentKind
    digest: str
    target: RevisionId
    size_bytes: int
    is_proposal: bool = False


class ChunkRequest(Struct, array_like=True, frozen=True, tag=9):
    """Asks for `count` chunks of a document, from the number `first` on."""

    sender: str
    kind: DocumentKind
    digest: str
    first: int
    count: int


class Chunk(Struct, array_like=True, frozen=True, tag=10):
    """The chunk of a document with the number `index`: CHUNK_BYTES of it, the last one what is left."""

    sender: str
    kind: DocumentKind
    digest: str
    index: int
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


def size_of(message: Message) -> int:
    """Returns the bytes of the datagram that would carry the message."""
    return len(_encode(message)) + ENVELOPE_BYTES
