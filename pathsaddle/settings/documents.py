"""What shared settings are made of: rows, groups that change them, snapshots, their digests and their limits.

A row is a key (`customers.NAME`, `schemes.NAME`, `budgets.NAME`, `zones`, `rules`, `members.NAME`) and a value: canonical
JSON (sorted keys, no spaces) of what stands in that table of the charter. `members.NAME` says who must have a revision
before it is in force: `{"region":R,"zone":Z}`, with `"gone":true` where the operator's word is that it never starts again
with the disk that it had; only such a row may be removed.

A group changes rows, all or none, and makes one revision. It names the digest of the group before it, so that whoever has
(revision, digest) as committed can prove every group below. Revision 0 has no rows and the digest "". No I/O.
"""

from __future__ import annotations

import hashlib
import re
from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import Struct

MAX_KEY_CHARS = 128  # characters of a key
MAX_VALUE_BYTES = 4096  # bytes of a value
MAX_ENTRIES = 20_000
MAX_CHANGES = 64  # rows that one group changes
MAX_CHANGESET_BYTES = 32 << 10  # bytes of their keys and values together
MAX_TEXT_CHARS = 200  # characters of an author or a reason
MAX_SNAPSHOT_BYTES = 96 << 20  # bytes: more than ROWS rows of the greatest size encoded
TABLES = ("customers", "schemes", "budgets", "members")  # with a name each
SINGLE = ("zones", "rules")
INITIAL_REVISION = (0, "")  # revision and digest before any group
_KEY = re.compile(rf"(?:{'|'.join(SINGLE)}|(?:{'|'.join(TABLES)})\.[^\s\x00-\x1f]+)")


class InvalidDocumentError(ValueError):
    """A group or snapshot that nobody may take; its text says what is wrong with it. Steers our own code alone: what an
    operator reads of it is one of `settings/errors.py`.
    """


class Change(Struct, array_like=True, frozen=True):
    """One row's change. value: canonical JSON; None: the row is removed."""

    key: str
    value: bytes | None


class ChangeSet(Struct, array_like=True, frozen=True):
    """Changes that count together or not at all.

    revision: 1 and up, each once. before: digest of the group of revision - 1 ("" of none). author, reason: for people.
    at: milliseconds since 1970 UTC by its author's clock, for people alone. puts: each key once.
    """

    revision: int
    before: str
    author: str
    reason: str
    at: int
    puts: tuple[Change, ...]


class Snapshot(Struct, array_like=True, frozen=True):
    """All rows at a revision. digest: of the group that made the revision. rows: (key, value), by key."""

    revision: int
    digest: str
    rows: tuple[tuple[str, bytes], ...] = ()


_encode = msgspec.msgpack.Encoder().encode
_group = msgspec.msgpack.Decoder(ChangeSet).decode
_snapshot = msgspec.msgpack.Decoder(Snapshot).decode
_json = msgspec.json.Decoder().decode


def canonical(value: Any) -> bytes:
    """A value's one form in bytes: JSON with sorted keys and no spaces. Raises Wrong."""
    try:
        return msgspec.json.encode(value, order="deterministic")
    except (TypeError, ValueError, msgspec.MsgspecError) as fault:
        raise InvalidDocumentError(f"no JSON: {fault}") from None


def decode_value(data: bytes) -> Any:
    """Raises Wrong."""
    try:
        return _json(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as fault:
        raise InvalidDocumentError(f"no JSON: {fault}") from None


def content_hash(data: bytes) -> str:
    """32 hexadecimal digits."""
    return hashlib.blake2b(data, digest_size=16).hexdigest()


def encode_document(one: ChangeSet | Snapshot) -> bytes:
    return _encode(one)


def digest_of(group: ChangeSet) -> str:
    return content_hash(_encode(group))


def validated(group: ChangeSet) -> ChangeSet:
    """The same. Raises Wrong."""
    if not 0 < group.revision < 1 << 53:
        raise InvalidDocumentError(f"revision {group.revision}")
    if (len(group.before) != 32) != (group.revision == 1):
        raise InvalidDocumentError(f"revision {group.revision} after the digest {group.before!r}")
    for name, words in (("author", group.author), ("reason", group.reason)):
        if len(words) > MAX_TEXT_CHARS:
            raise InvalidDocumentError(f"{name}: {len(words)} characters, {MAX_TEXT_CHARS} at most")
    if not 1 <= len(group.puts) <= MAX_CHANGES:
        raise InvalidDocumentError(f"{len(group.puts)} rows, 1 to {MAX_CHANGES} in a group")
    seen = dict.fromkeys(put.key for put in group.puts)
    if len(seen) < len(group.puts):
        raise InvalidDocumentError("a key stands there twice")
    size = 0
    for put in group.puts:
        check_entry(put.key, put.value)
        size += len(put.key.encode()) + len(put.value or b"")
    if size > MAX_CHANGESET_BYTES:
        raise InvalidDocumentError(f"{size} bytes, {MAX_CHANGESET_BYTES} at most in a group")
    return group


def check_entry(key: str, value: bytes | None) -> None:
    """Raises Wrong where this is no row."""
    if len(key) > MAX_KEY_CHARS or not _KEY.fullmatch(key):
        raise InvalidDocumentError(f"{key[:MAX_KEY_CHARS]!r} is no key of shared settings")
    if value is None:
        return
    if len(value) > MAX_VALUE_BYTES:
        raise InvalidDocumentError(f"{key}: {len(value)} bytes, {MAX_VALUE_BYTES} at most")
    if canonical(decode_value(value)) != value:
        raise InvalidDocumentError(f"{key}: not canonical JSON")


def decode_changeset(data: bytes) -> ChangeSet:
    """Raises Wrong."""
    try:
        return validated(_group(data))
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise InvalidDocumentError(f"no group: {fault}") from None


def decode_snapshot(data: bytes) -> Snapshot:
    """Raises Wrong."""
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise InvalidDocumentError(f"{len(data)} bytes")
    try:
        found = _snapshot(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as fault:
        raise InvalidDocumentError(f"no snapshot: {fault}") from None
    if (
        len(found.rows) > MAX_ENTRIES
        or found.revision < 0
        or (len(found.digest) != 32) != (found.revision == 0)
    ):
        raise InvalidDocumentError("no snapshot")
    if any(one[0] >= two[0] for one, two in zip(found.rows, found.rows[1:], strict=False)):
        raise InvalidDocumentError("rows out of order")
    for key, value in found.rows:
        check_entry(key, value)
    return found


def snapshot_of(revision: int, digest: str, rows: Mapping[str, bytes]) -> Snapshot:
    return Snapshot(revision, digest, tuple(sorted(rows.items())))
