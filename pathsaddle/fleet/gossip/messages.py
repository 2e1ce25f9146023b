"""The datagrams of gossip and quotas: msgpack under the fleet's signature, with a form byte of their own.

Owns the wire format: the order of the fields, the tags and the size limits. The gossip parts and
`quota/shared_state.py` build and read these messages. The module holds no state and performs no I/O.

Every struct is a msgpack array, so the names here are not on the wire; the order of the fields and the tags
are, and they must not change. An envelope holds any number of messages for one recipient. A datagram that
cannot be used raises `DatagramRejectedError`, whose text is the reason by which it is counted.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec
from msgspec import Struct

from pathsaddle.fleet.messages import CARRIED, MAX_DATAGRAM_BYTES, SUM, DatagramRejectedError, opened, sealed

MAX_RECORD_BYTES = 400  # of one record's body; a larger value travels as a document
CHUNK_BYTES = 900  # of a document in one datagram, so that the datagram stays under MAX_DATAGRAM_BYTES
DOCUMENT_HASH_BYTES = 32  # of SHA-256
MAX_PAYLOAD_BYTES = MAX_DATAGRAM_BYTES - SUM - 1  # what the signature and the form byte leave
MAX_INCARNATION = (
    1 << 62
)  # exclusive; a larger one would not fit a signed 64-bit integer after a few increments
UNKNOWN = -1  # stands on the wire for an age or a span that is not known

DocumentHash: TypeAlias = bytes  # the SHA-256 of a document, by which records name it


class WireRecord(Struct, array_like=True, frozen=True):
    """A record of one member, with its age as the sender knows it.

    Attributes:
        topic: under which its owner put it.
        version: the owner's number of this write.
        body: at most MAX_RECORD_BYTES.
        min_age_ticks: the least age, by the sender's clock.
        max_age_ticks: the greatest age, by the sender's clock; UNKNOWN where nobody answered for the record.
    """

    topic: str
    version: int
    body: bytes
    min_age_ticks: int
    max_age_ticks: int


class Delta(Struct, array_like=True, frozen=True):
    """Records of one member's incarnation, in Scuttlebutt's sense.

    A receiver that has everything up to `after_version` has everything up to `up_to_version` with these
    records.
    """

    member: str
    incarnation: int
    after_version: int
    up_to_version: int
    records: list[WireRecord]


class DigestEntry(Struct, array_like=True, frozen=True):
    """How much the sender knows of one member's incarnation.

    Attributes:
        member: whose records these are.
        incarnation: of that member.
        complete_up_to: the sender lacks no record up to this version.
        confirmed_ago_ticks: at some moment of the last so many ticks the member had no later version; UNKNOWN
            where nobody confirmed that.
    """

    member: str
    incarnation: int
    complete_up_to: int
    confirmed_ago_ticks: int


class Dissemination(Struct, array_like=True, tag=0, frozen=True):
    """Deltas that are sent without a question: new records, and what a digest reply asked for."""

    deltas: list[Delta]


class Digest(Struct, array_like=True, tag=1, frozen=True):
    """One page of what the sender has: the first message of an anti-entropy exchange.

    Attributes:
        exchange_id: drawn by the sender; the reply repeats it.
        after_name: the entries are all that the sender has of names after this one.
        last_name: up to and with this name; empty: to the end.
        entries: of that page.
    """

    exchange_id: int
    after_name: str
    last_name: str
    entries: list[DigestEntry]


class DigestReply(Struct, array_like=True, tag=2, frozen=True):
    """The answer to a digest.

    Attributes:
        exchange_id: as in the digest.
        entries: of members of whom the answering one knows something later, or lacks something.
        deltas: what the digest's sender lacks.
        has_more: whether something did not fit into this reply.
    """

    exchange_id: int
    entries: list[DigestEntry]
    deltas: list[Delta]
    has_more: bool


class ChunkRequest(Struct, array_like=True, tag=3, frozen=True):
    """Asks for chunks of a document, whichever of them the recipient has.

    Attributes:
        document: the document's hash.
        max_chunks: how many at most.
        missing_bits: little-endian, one bit for each chunk that is missing; empty: any chunk.
    """

    document: DocumentHash
    max_chunks: int
    missing_bits: bytes = b""


class Chunk(Struct, array_like=True, tag=4, frozen=True):
    """A chunk of a document; `size_bytes` is the size of the whole document."""

    document: DocumentHash
    size_bytes: int
    index: int
    data: bytes


class QuotaRequestMessage(Struct, array_like=True, tag=5, frozen=True):
    """A `quota.leases.QuotaRequest` of the envelope's sender."""

    quota: str
    number: int
    units: int
    renews: int = 0


class GrantMessage(Struct, array_like=True, tag=6, frozen=True):
    """A `quota.leases.Grant` of the envelope's sender to its recipient."""

    quota: str
    taker_incarnation: int
    number: int
    units: int
    lease_ticks: int


class ReleaseMessage(Struct, array_like=True, tag=7, frozen=True):
    """A `quota.leases.Release` of the envelope's sender."""

    quota: str
    number: int


GossipMessage: TypeAlias = (
    Dissemination
    | Digest
    | DigestReply
    | ChunkRequest
    | Chunk
    | QuotaRequestMessage
    | GrantMessage
    | ReleaseMessage
)


class Envelope(Struct, array_like=True, frozen=True):
    """The frame of a datagram: from whom, to whom, and the messages."""

    fleet: str
    sender: str
    incarnation: int
    recipient: str
    messages: list[GossipMessage]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


def size_of(message: Struct) -> int:
    """The encoded size of a message or a part of one, in bytes."""
    return len(_encode(message))


def encode(envelope: Envelope, key: bytes) -> bytes:
    """The signed datagram."""
    return sealed(CARRIED, _encode(envelope), key)


def decode(data: bytes, key: bytes, fleet: str) -> Envelope:
    """Verifies and decodes a datagram.

    Raises:
        DatagramRejectedError: its signature, form or content is not that of a member of `fleet`.
    """
    form, payload = opened(data, key)
    if form != CARRIED:
        raise DatagramRejectedError("newer")
    try:
        envelope = _decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise DatagramRejectedError("cut") from None
    if envelope.fleet != fleet:
        raise DatagramRejectedError("fleet")
    if not envelope.sender or not 0 <= envelope.incarnation < MAX_INCARNATION:
        raise DatagramRejectedError("cut")
    return envelope
