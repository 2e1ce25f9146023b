"""The datagram around one message of shared settings: at most 1,200 bytes, signed.

As in `fleet.messages`: a byte that names the form, then msgpack of one message, then the first 16 bytes of
HMAC-SHA256 over all before. What can't be used is rejected by its reason; nothing of it is believed. It
knows no socket. What comes twice, late or never is the cores' matter, and so is whether a change set or
snapshot is one at all (`documents.validated`).
"""

from __future__ import annotations

import hmac

import msgspec

from pathsaddle.settings.documents import DIGEST_CHARS
from pathsaddle.settings.messages import (
    CHUNK_BYTES,
    MAX_DATAGRAM_BYTES,
    AppliedAck,
    AppliedSummary,
    Chunk,
    ChunkManifest,
    ChunkRequest,
    CommitNotice,
    LeaseRenewal,
    Message,
    ProposalAck,
    SyncRequest,
)

FORM = 83  # no other's: fleet has 1 and 2, federation and consensus 65
SIGNATURE_BYTES = 16
MAX_NAME_CHARS = 64
REJECTION_REASONS = ("cut", "stranger", "newer")


class DatagramRejectedError(ValueError):
    """A datagram that is not read; its text is one of REJECTION_REASONS. It never leaves the driver."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def encode(message: Message, key: bytes) -> bytes:
    """Returns the datagram of a message, signed with the servers' and subscribers' key."""
    body = bytes((FORM,)) + _encode(message)
    data = body + hmac.digest(key, body, "sha256")[:SIGNATURE_BYTES]
    assert len(data) <= MAX_DATAGRAM_BYTES, f"{type(message).__name__} of {len(data)} bytes"
    return data


def decode(data: bytes, key: bytes) -> Message:
    """Reads and checks a datagram; raises DatagramRejectedError."""
    if not 1 + SIGNATURE_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
        raise DatagramRejectedError("cut")
    body, signature = data[:-SIGNATURE_BYTES], data[-SIGNATURE_BYTES:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SIGNATURE_BYTES], signature):
        raise DatagramRejectedError("stranger")
    if body[0] != FORM:
        raise DatagramRejectedError("newer")
    try:
        message: Message = _decode(body[1:])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        raise DatagramRejectedError("cut") from None
    if not 0 < len(message.sender) <= MAX_NAME_CHARS or not _is_valid(message):
        raise DatagramRejectedError("cut")
    return message


def _is_valid(message: Message) -> bool:
    """Whether the fields of a message mean something; the kinds of documents were checked by their type."""
    is_valid = True
    match message:
        case SyncRequest() | LeaseRenewal() | ProposalAck() | AppliedAck():
            is_valid = _is_revision(message.revision, message.digest)
        case CommitNotice():
            is_valid = _is_revision(*message.committed)
        case AppliedSummary():
            is_valid = all(_is_revision(group.revision, group.digest) for group in message.groups)
        case ChunkManifest():
            is_valid = (
                _is_revision(*message.target)
                and len(message.digest) == DIGEST_CHARS
                and message.size_bytes > 0
            )
        case ChunkRequest():
            is_valid = message.first >= 0 and message.count > 0
        case Chunk():
            is_valid = message.index >= 0 and len(message.data) <= CHUNK_BYTES
    return is_valid


def _is_revision(revision: int, digest: str) -> bool:
    """Whether these are a revision and its digest; only that before any change set has none."""
    return revision >= 0 and len(digest) == (DIGEST_CHARS if revision else 0)
