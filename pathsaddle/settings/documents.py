"""The documents of shared settings: entries, change sets, snapshots, their digests and their limits.

An entry is a key (`customers.NAME`, `schemes.NAME`, `budgets.NAME`, `zones`, `rules`, `members.NAME`) with
a value: canonical JSON (sorted keys, no spaces) of what stands in that table of the configuration file.
`members.NAME` says which subscriber must have a revision before it is active: `{"region":R,"zone":Z}`, with
`"gone":true` where the operator says that it never starts again with the disk that it had; only such an
entry may be removed.

A change set changes entries, all or none, and makes one revision. It names the digest of the change set
before it, so that whoever has (revision, digest) as committed can prove every change set below. Revision 0
has no entries and the digest "".

Every Struct is a msgpack array: the order of its fields is the format on the wire and on disk, the fields'
names are not. No I/O.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

MAX_KEY_CHARS = 128
MAX_VALUE_BYTES = 4096
MAX_ENTRIES = 20_000
MAX_CHANGES = 64  # entries that one change set changes
MAX_CHANGESET_BYTES = 32 << 10  # of its keys and values together
MAX_TEXT_CHARS = 200  # of an author or a reason
MAX_SNAPSHOT_BYTES = 96 << 20  # more than MAX_ENTRIES entries of the greatest size encoded
MAX_REVISION = 1 << 53  # exclusive: JSON readers have no more whole numbers
DIGEST_CHARS = 32  # hexadecimal, of blake2b with 16 bytes
TABLES = ("customers", "schemes", "budgets", "members")  # whose entries have a name each
SINGLE = ("zones", "rules")
_KEY = re.compile(rf"(?:{'|'.join(SINGLE)}|(?:{'|'.join(TABLES)})\.[^\s\x00-\x1f]+)")


class RevisionId(NamedTuple):
    """A revision, and the digest of the change set that made it."""

    revision: int
    digest: str


class Link(NamedTuple):
    """A change set's place: its revision, and the digest of the change set before it."""

    revision: int
    previous_digest: str


INITIAL_REVISION = RevisionId(0, "")  # before any change set


class InvalidDocumentError(ValueError):
    """A change set or snapshot that nobody may take; its text says what is wrong with it.

    It steers our own code alone: what an operator reads of it is one of `settings/errors.py`.
    """


class Change(Struct, array_like=True, frozen=True):
    """The change of one entry.

    Canonical JSON is put under the key, or, where the value is None, the entry is removed.
    """

    key: str
    value: bytes | None


class ChangeSet(Struct, array_like=True, frozen=True):
    """Changes that count together or not at all.

    Attributes:
        revision: 1 and up, each once.
        previous_digest: Of the change set of revision - 1; "" of none.
        author: For people.
        reason: For people.
        created_ms: Milliseconds since 1970 UTC by its author's clock, for people alone.
        changes: Each key once.
    """

    revision: int
    previous_digest: str
    author: str
    reason: str
    created_ms: int
    changes: tuple[Change, ...]

    @property
    def link(self) -> Link:
        """Its place among the change sets."""
        return Link(self.revision, self.previous_digest)

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys that it changes, in its order."""
        return tuple(change.key for change in self.changes)


class Snapshot(Struct, array_like=True, frozen=True):
    """All entries at a revision.

    Attributes:
        revision: Of the last change set in it.
        digest: Of that change set.
        entries: Keys with their values, sorted by key.
    """

    revision: int
    digest: str
    entries: tuple[tuple[str, bytes], ...] = ()


_encode = msgspec.msgpack.Encoder().encode
_decode_changeset = msgspec.msgpack.Decoder(ChangeSet).decode
_decode_snapshot = msgspec.msgpack.Decoder(Snapshot).decode
_decode_json = msgspec.json.Decoder().decode


def canonical(value: Any) -> bytes:
    """Returns a value's one form in bytes.

    JSON with sorted keys and no spaces; raises InvalidDocumentError.
    """
    try:
        return msgspec.json.encode(value, order="deterministic")
    except (TypeError, ValueError, msgspec.MsgspecError) as fault:
        raise InvalidDocumentError(f"no JSON: {fault}") from None


def decode_value(data: bytes) -> Any:
    """Reads an entry's value; raises InvalidDocumentError."""
    try:
        return _decode_json(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as fault:
        raise InvalidDocumentError(f"no JSON: {fault}") from None


def content_hash(data: bytes) -> str:
    """Returns a hash of DIGEST_CHARS hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=DIGEST_CHARS // 2).hexdigest()


def encode_document(document: ChangeSet | Snapshot) -> bytes:
    """Returns the bytes of a document on the wire and on disk."""
    return _encode(document)


def digest_of(changeset: ChangeSet) -> str:
    """Returns the hash of an encoded change set."""
    return content_hash(_encode(changeset))


def id_of(document: ChangeSet | Snapshot) -> RevisionId:
    """Returns the revision to which a document leads."""
    digest = digest_of(document) if isinstance(document, ChangeSet) else document.digest
    return RevisionId(document.revision, digest)


def validated(changeset: ChangeSet) -> ChangeSet:
    """Checks all of a change set that can be checked by itself.

    Returns:
        The same.

    Raises:
        InvalidDocumentError: It is no change set; the text says why.
    """
    if not 0 < changeset.revision < MAX_REVISION:
        raise InvalidDocumentError(f"revision {changeset.revision}")
    if (len(changeset.previous_digest) != DIGEST_CHARS) != (changeset.revision == 1):
        raise InvalidDocumentError(
            f"revision {changeset.revision} after the digest {changeset.previous_digest!r}"
        )
    for name, text in (("author", changeset.author), ("reason", changeset.reason)):
        if len(text) > MAX_TEXT_CHARS:
            raise InvalidDocumentError(f"{name}: {len(text)} characters, {MAX_TEXT_CHARS} at most")
    if not 1 <= len(changeset.changes) <= MAX_CHANGES:
        raise InvalidDocumentError(f"{len(changeset.changes)} rows, 1 to {MAX_CHANGES} in a group")
    if len(set(changeset.keys)) < len(changeset.changes):
        raise InvalidDocumentError("a key stands there twice")
    size = 0
    for change in changeset.changes:
        check_entry(change.key, change.value)
        size += len(change.key.encode()) + len(change.value or b"")
    if size > MAX_CHANGESET_BYTES:
        raise InvalidDocumentError(f"{size} bytes, {MAX_CHANGESET_BYTES} at most in a group")
    return changeset


def check_entry(key: str, value: bytes | None) -> None:
    """Raises InvalidDocumentError where this is no entry, or no removal of one."""
    if len(key) > MAX_KEY_CHARS or not _KEY.fullmatch(key):
        raise InvalidDocumentError(f"{key[:MAX_KEY_CHARS]!r} is no key of shared settings")
    if value is None:
        return
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidDocumentError(f"{key}: {len(value)} bytes, {MAX_VALUE_BYTES} at most")
    if canonical(decode_value(value)) != value:
        raise InvalidDocumentError(f"{key}: not canonical JSON")


def decode_changeset(data: bytes) -> ChangeSet:
    """Reads and checks a change set; raises InvalidDocumentError."""
    try:
        return validated(_decode_changeset(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise InvalidDocumentError(f"no group: {fault}") from None


def decode_snapshot(data: bytes) -> Snapshot:
    """Reads and checks a snapshot; raises InvalidDocumentError."""
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise InvalidDocumentError(f"{len(data)} bytes")
    try:
        found = _decode_snapshot(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise InvalidDocumentError(f"no snapshot: {fault}") from None
    if (
        len(found.entries) > MAX_ENTRIES
        or found.revision < 0
        or (len(found.digest) != DIGEST_CHARS) != (found.revision == 0)
    ):
        raise InvalidDocumentError("no snapshot")
    if any(one[0] >= two[0] for one, two in zip(found.entries, found.entries[1:], strict=False)):
        raise InvalidDocumentError("rows out of order")
    for key, value in found.entries:
        check_entry(key, value)
    return found


def snapshot_of(revision: int, digest: str, entries: Mapping[str, bytes]) -> Snapshot:
    """Returns the snapshot that has these entries."""
    return Snapshot(revision, digest, tuple(sorted(entries.items())))
