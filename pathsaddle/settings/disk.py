"""A process's folder: rows and groups committed, a keeper's offers, the number of its life.

`snapshot`: rows at one revision. `log`: frames of groups that follow, one frame for all that one call had to write.
`offers`: groups that aren't committed. A frame: its length and the CRC-32 of those four bytes, a blake2b-16 of the body, the
body (msgpack). Snapshot, offers, and a log that begins anew take their predecessor's place whole: written, synced,
renamed, the folder synced.

Bound: what `write` returned from is there after a crash. A crash within `write` leaves the log's last frame torn, and no
other: it is cut off, so that a batch counts whole or not at all. Anything else that isn't as written is NoDisk: a process
that went on with half of its groups would act on what was told to be over. A disk that loses what it synced, and in the
last frame alone, can't be told from a crash.

Two files are never renamed at once: a log may still have groups that a newer snapshot has in it. They are passed over, and
what follows must follow.
"""

from __future__ import annotations

import hashlib
import os
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

import msgspec

from pathsaddle.errors import access, why
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.settings.documents import (
    ChangeSet,
    InvalidDocumentError,
    Snapshot,
    decode_changeset,
    decode_snapshot,
    digest_of,
    encode_document,
)
from pathsaddle.settings.errors import StorageError
from pathsaddle.settings.store import LOG, Store
from pathsaddle.settings.sync import MAX_PROPOSALS, DiskWrite

HEAD = 24
MOST = 1 << 30  # bytes of a frame
T = TypeVar("T")
_encode = msgspec.msgpack.Encoder().encode
_bodies = msgspec.msgpack.Decoder(tuple[bytes, ...]).decode


def framed(body: bytes) -> bytes:
    length = len(body).to_bytes(4, "big")
    return (
        length + zlib.crc32(length).to_bytes(4, "big") + hashlib.blake2b(body, digest_size=16).digest() + body
    )


def frames(data: bytes) -> tuple[list[bytes], int]:
    """The bodies, and at which byte a torn tail begins (the end, where none is). Raises Wrong where anything but the last
    frame is amiss.
    """
    found: list[bytes] = []
    at = 0
    while at < len(data):
        head = data[at : at + HEAD]
        if len(head) < HEAD or (
            not any(head) and not any(data[at:])
        ):  # or space that was given and never written
            break
        length = int.from_bytes(head[:4], "big")
        if zlib.crc32(head[:4]) != int.from_bytes(head[4:8], "big"):
            raise InvalidDocumentError(f"no frame begins at byte {at}")
        body = data[at + HEAD : at + HEAD + length]
        if len(body) < length:
            break
        if hashlib.blake2b(body, digest_size=16).digest() != head[8:]:
            if at + HEAD + length == len(data):
                break
            raise InvalidDocumentError(f"the frame at byte {at} isn't what its sum says")
        found.append(body)
        at += HEAD + length
    return found, at


class SettingsDirectory:
    """One process's. `store`, `offers`: what `load` found; the core that `store` is handed to has it from then on."""

    def __init__(self, folder: Path, name: str, at: str, *, keep: int = LOG) -> None:
        """at: the key and file that name the folder, for an operator. keep: groups that stay in the log. Raises NoDisk."""
        self.folder, self.name, self.at, self.keep = folder, name, at, keep
        self.lives = IncarnationStore(folder, name)
        self._log = -1
        self.load()

    def load(self) -> None:
        """What the disk has, anew. Raises NoDisk."""
        self.close()
        self._had(self._opens)
        try:
            snapshot = self._snapshot()
            groups = self._groups(snapshot)
            self.store = Store(snapshot, groups, keep=self.keep)
            offers = [decode_changeset(body) for body in self._frames("offers")]
        except InvalidDocumentError as fault:
            raise StorageError(
                f"{self.folder}: {fault}",
                "move the folder away, keep it for who looks into this, and start again: what is "
                f"committed comes from the keepers; its place is said at {self.at}",
            ) from None
        self.offers = [one for one in offers if one.revision > self.store.revision]
        self.count, self.last = len(groups), self.store.revision

    def _opens(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._log = os.open(self.folder / "log", os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        self._syncs()

    def life(self, least: int) -> int:
        """A number above any earlier one's, kept before it is told to anybody. Raises NoDisk."""
        life = max(self.lives.last() + 1, least)
        self._had(lambda: self.lives.keep(life))
        return life

    def age(self, now: float) -> int | None:
        """Milliseconds since `log` or `snapshot` was last written; now: seconds since 1970. None: nothing is there."""
        if not self.store.revision:
            return None
        times = [
            path.stat().st_mtime for path in (self.folder / "log", self.folder / "snapshot") if path.exists()
        ]
        return max(0, int((now - max(times)) * 1000))

    def write(self, writes: Sequence[DiskWrite]) -> None:
        """All of it, in order, synced. Raises NoDisk; then nothing may be said that goes by it, and `load` is due."""
        self._had(lambda: self._writes(writes))

    def close(self) -> None:
        if self._log >= 0:
            os.close(self._log)
            self._log = -1

    # Within

    def _writes(self, writes: Sequence[DiskWrite]) -> None:
        batch: list[ChangeSet] = []
        offers = list(self.offers)
        last = self.last
        for one in writes:
            if one.snapshot is not None:
                batch = []  # what came before it is in it
                self._replaces("snapshot", framed(encode_document(one.snapshot)))
                self._begins_log(())
                self.count, last = 0, one.snapshot.revision
            elif one.group is not None and one.committed:
                batch.append(one.group)
                last = one.group.revision
            elif one.group is not None:
                if one.over:  # as the core has it: what may be committed stays, however old
                    offers = [held for held in offers if digest_of(held) not in one.over]
                offers.append(one.group)
        if batch:
            self._appends(batch)
        self.last = last
        offers = [one for one in offers if one.revision > last][-MAX_PROPOSALS:]
        if offers != self.offers:
            self._replaces("offers", b"".join(framed(encode_document(one)) for one in offers))
            self.offers = offers
        if self.count > 2 * self.keep:
            self._compacts()

    def _appends(self, groups: Sequence[ChangeSet]) -> None:
        data = memoryview(framed(_encode([encode_document(one) for one in groups])))
        while data:
            data = data[os.write(self._log, data) :]
        os.fsync(self._log)
        self.count += len(groups)

    def _compacts(self) -> None:
        snapshot = self._snapshot()
        groups = self._groups(snapshot)
        store = Store(snapshot, groups[: -self.keep], keep=1)
        self._replaces("snapshot", framed(encode_document(store.snapshot())))
        self._begins_log(groups[-self.keep :])
        self.count = self.keep

    def _begins_log(self, groups: Sequence[ChangeSet]) -> None:
        self._replaces("log", framed(_encode([encode_document(one) for one in groups])) if groups else b"")
        os.close(self._log)
        self._opens()

    def _snapshot(self) -> Snapshot | None:
        found = self._frames("snapshot")
        if len(found) > 1:
            raise InvalidDocumentError("snapshot: more than one frame")
        return decode_snapshot(found[0]) if found else None

    def _groups(self, snapshot: Snapshot | None) -> list[ChangeSet]:
        """The log's, after the snapshot. Cuts off a torn tail."""
        data = self._had(lambda: (self.folder / "log").read_bytes())
        try:
            bodies, end = frames(data)
            if end < len(data):
                self._had(lambda: self._cuts(end))
            found = [decode_changeset(body) for many in bodies for body in _bodies(many)]
        except (InvalidDocumentError, msgspec.DecodeError, msgspec.ValidationError) as fault:
            raise InvalidDocumentError(f"log: {fault}") from None
        at = snapshot.revision if snapshot is not None else 0
        for one in found:
            if snapshot is not None and one.revision == at and digest_of(one) != snapshot.digest:
                raise InvalidDocumentError(f"log: its revision {at} isn't the snapshot's")
        return [one for one in found if one.revision > at]

    def _cuts(self, end: int) -> None:
        os.ftruncate(self._log, end)
        os.fsync(self._log)

    def _frames(self, name: str) -> list[bytes]:
        """Of a file that is replaced whole: nothing in it may be torn."""
        path = self.folder / name
        if not self._had(path.exists):
            return []
        data = self._had(path.read_bytes)
        try:
            found, end = frames(data)
        except InvalidDocumentError as fault:
            raise InvalidDocumentError(f"{name}: {fault}") from None
        if end < len(data):
            raise InvalidDocumentError(f"{name}: it ends within a frame")
        return found

    def _replaces(self, name: str, data: bytes) -> None:
        new = self.folder / f"{name}.new"
        with new.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new.replace(self.folder / name)
        self._syncs()

    def _syncs(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _had(self, call: Callable[[], T]) -> T:
        try:
            return call()
        except OSError as fault:
            raise StorageError(
                f"{self.folder}: {why(fault)}", access(fault, self.folder, self.folder) + f", at {self.at}"
            ) from None
