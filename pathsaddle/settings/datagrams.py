"""The form of what members and keepers of shared settings send one another: one datagram, at most 1,200 bytes, signed.

As `fleet.messages`: a byte that names the form, then msgpack of one of `sync.Said`, then the first 16 bytes of HMAC-SHA256 over
all before. What can't be used is refused by its reason; nothing of it is believed. Knows no socket. What comes twice, late or
never is the cores' matter; that a group or snapshot is one at all, too (`forms.checked`).
"""

from __future__ import annotations

import hmac

import msgspec

from pathsaddle.settings.sync import (
    CHANGESET,
    CHUNK_BYTES,
    MAX_DATAGRAM_BYTES,
    SNAPSHOT,
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

FORM = 83  # no other's: fleet has 1 and 2, federation and ownership 65
SUM = 16
MOST_NAME = 64
REJECTION_REASONS = ("cut", "stranger", "newer")


class DatagramRejectedError(ValueError):
    """A datagram that is not read; its text is the reason, one of REASONS. Never leaves the driver."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def encode(said: Message, key: bytes) -> bytes:
    body = bytes((FORM,)) + _encode(said)
    data = body + hmac.digest(key, body, "sha256")[:SUM]
    assert len(data) <= MAX_DATAGRAM_BYTES, f"{type(said).__name__} of {len(data)} bytes"
    return data


def decode(data: bytes, key: bytes) -> Message:
    """Raises Refused."""
    if not 1 + SUM < len(data) <= MAX_DATAGRAM_BYTES:
        raise DatagramRejectedError("cut")
    body, told = data[:-SUM], data[-SUM:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SUM], told):
        raise DatagramRejectedError("stranger")
    if body[0] != FORM:
        raise DatagramRejectedError("newer")
    try:
        said: Message = _decode(body[1:])
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        raise DatagramRejectedError("cut") from None
    if not 0 < len(said.name) <= MOST_NAME or not _meant(said):
        raise DatagramRejectedError("cut")
    return said


def _meant(said: Message) -> bool:
    if isinstance(said, SyncRequest | LeaseRenewal | ProposalAck | AppliedAck):
        return _known(said.revision, said.digest)
    if isinstance(said, CommitNotice):
        return _known(*said.known)
    if isinstance(said, AppliedSummary):
        return all(_known(revision, digest) for revision, digest, _ in said.rows)
    if isinstance(said, ChunkManifest):
        return (
            _known(*said.known)
            and said.what in (CHANGESET, SNAPSHOT)
            and len(said.digest) == 32
            and said.size > 0
        )
    if isinstance(said, ChunkRequest):
        return said.what in (CHANGESET, SNAPSHOT) and said.first >= 0 and said.count > 0
    if isinstance(said, Chunk):
        return said.what in (CHANGESET, SNAPSHOT) and said.first >= 0 and len(said.data) <= CHUNK_BYTES
    return True


def _known(revision: int, digest: str) -> bool:
    """Of a revision and its digest; only that before any group has none."""
    return revision >= 0 and len(digest) == (32 if revision else 0)
