"""The directory of one config server or subscriber.

It has the committed entries and change sets, the proposals, and the incarnation.

`snapshot`: entries at one revision. `log`: frames of the change sets that follow, one frame for all that
one call had to write. `offers`: proposals, that is change sets that are not committed. A frame: its length
and the CRC-32 of those four bytes, a blake2b-16 of the body, the body (msgpack). Snapshot, offers, and a
log that begins anew take their predecessor's place whole: written, synced, renamed, the directory synced.

Bound: what `write` returned from is there after a crash. A crash within `write` leaves the log's last frame
torn, and no
other: it is cut off, so that a batch counts whole or not at all. Anything else that is not as written
raises StorageError: a process that went on with half of its change sets would act on what was proven to be
over. A disk that loses what it synced, and in the last frame alone, can't be told from a crash.

Two files are never renamed at once: a log may still have change sets that a newer snapshot has in it. They
are passed over, and what follows must follow. Called by the drivers, `write` on a thread of its own.
"""

from __future__ import annotations

import hashlib
import os
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple, TypeVar

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
from pathsaddle.settings.output import DiskWrite
from pathsaddle.settings.proposals import MAX_PROPOSALS
from pathsaddle.settings.store import MAX_LOG_CHANGESETS, Store

HEADER_BYTES = 24  # length, its CRC-32, hash of the body
HASH_BYTES = 16
T = TypeVar("T")
_encode = msgspec.msgpack.Encoder().encode
_decode_batch = msgspec.msgpack.Decoder(tuple[bytes, ...]).decode


class Frames(NamedTuple):
    """The bodies of a file's frames, and the byte at which a torn tail begins.

    That is the end, where there is none.
    """

    bodies: list[bytes]
    end: int


def frame(body: bytes) -> bytes:
    """Returns the frame around a body."""
    length = len(body).to_bytes(4, "big")
    checksum = zlib.crc32(length).to_bytes(4, "big")
    return length + checksum + hashlib.blake2b(body, digest_size=HASH_BYTES).digest() + body


def read_frames(data: bytes) -> Frames:
    """Reads a file's frames.

    Raises InvalidDocumentError where anything but the last frame is not as written.
    """
    bodies: list[bytes] = []
    at = 0
    while at < len(data):
        header = data[at : at + HEADER_BYTES]
        is_unwritten = not any(header) and not any(data[at:])  # space that was given and never written
        if len(header) < HEADER_BYTES or is_unwritten:
            break
        length = int.from_bytes(header[:4], "big")
        if zlib.crc32(header[:4]) != int.from_bytes(header[4:8], "big"):
            raise InvalidDocumentError(f"no frame begins at byte {at}")
        body = data[at + HEADER_BYTES : at + HEADER_BYTES + length]
        if len(body) < length:
            break
        if hashlib.blake2b(body, digest_size=HASH_BYTES).digest() != header[8:]:
            if at + HEADER_BYTES + length == len(data):
                break
            raise InvalidDocumentError(f"the frame at byte {at} isn't what its sum says")
        bodies.append(body)
        at += HEADER_BYTES + length
    return Frames(bodies, at)


class SettingsDirectory:
    """One process's directory.

    Attributes:
        store: What `load` found as committed; the core that it is handed to has it from then on.
        proposals: What `load` found besides, and what was written since.
        log_count: Change sets in the log's file.
        last_revision: The highest one on disk.
    """

    def __init__(
        self, directory: Path, name: str, location: str, *, max_log: int = MAX_LOG_CHANGESETS
    ) -> None:
        """Makes the directory, if it is not there, and reads it.

        Args:
            directory: Of this process alone.
            name: Of this process.
            location: The key and file that name the directory, for an operator.
            max_log: Change sets that stay in the log.

        Raises:
            StorageError: It can't be read or made, or is not as it was written.
        """
        self.directory, self.name, self.location, self.max_log = directory, name, location, max_log
        self._incarnations = IncarnationStore(directory, name)
        self._log = -1
        self.load()

    def load(self) -> None:
        """Reads what the disk has, anew; raises StorageError."""
        self.close()
        self._run(self._open_log)
        try:
            snapshot = self._read_snapshot()
            changesets = self._read_log(snapshot)
            self.store = Store(snapshot, changesets, max_log=self.max_log)
            proposals = [decode_changeset(body) for body in self._read_file("offers")]
        except InvalidDocumentError as fault:
            raise StorageError(
                f"{self.directory}: {fault}",
                "move the folder away, keep it for who looks into this, and start again: what is "
                f"committed comes from the keepers; its place is said at {self.location}",
            ) from None
        self.proposals = [one for one in proposals if one.revision > self.store.revision]
        self.log_count, self.last_revision = len(changesets), self.store.revision

    def next_incarnation(self, at_least: int) -> int:
        """Returns a number above any earlier run's, which is on disk then; raises StorageError."""
        incarnation = max(self._incarnations.last() + 1, at_least)
        self._run(lambda: self._incarnations.keep(incarnation))
        return incarnation

    def age_ms(self, now: float) -> int | None:
        """Returns the milliseconds since `log` or `snapshot` was last written; None: nothing is there.

        Args:
            now: Seconds since 1970 UTC.
        """
        if not self.store.revision:
            return None
        paths = (self.directory / "log", self.directory / "snapshot")
        times = [path.stat().st_mtime for path in paths if path.exists()]
        return max(0, int((now - max(times)) * 1000))

    def write(self, writes: Sequence[DiskWrite]) -> None:
        """Writes all, in order, and syncs.

        Raises:
            StorageError: Nothing may be said that goes by these writes, and `load` is due.
        """
        self._run(lambda: self._write(writes))

    def close(self) -> None:
        """Closes the log's file."""
        if self._log >= 0:
            os.close(self._log)
            self._log = -1

    def _write(self, writes: Sequence[DiskWrite]) -> None:
        batch: list[ChangeSet] = []
        proposals = list(self.proposals)
        last = self.last_revision
        for write in writes:
            changeset = write.changeset
            if write.snapshot is not None:
                batch = []  # what came before it is in it
                self._replace_file("snapshot", frame(encode_document(write.snapshot)))
                self._restart_log(())
                self.log_count, last = 0, write.snapshot.revision
            elif changeset is not None and write.is_committed:
                batch.append(changeset)
                last = changeset.revision
            elif changeset is not None:
                if write.replaced_digests:  # as the core has it: what may be committed stays, however old
                    proposals = [one for one in proposals if digest_of(one) not in write.replaced_digests]
                proposals.append(changeset)
        if batch:
            self._append(batch)
        self.last_revision = last
        proposals = [one for one in proposals if one.revision > last][-MAX_PROPOSALS:]
        if proposals != self.proposals:
            self._replace_file("offers", b"".join(frame(encode_document(one)) for one in proposals))
            self.proposals = proposals
        if self.log_count > 2 * self.max_log:
            self._compact()

    def _append(self, changesets: Sequence[ChangeSet]) -> None:
        data = memoryview(_log_frame(changesets))
        while data:
            data = data[os.write(self._log, data) :]
        os.fsync(self._log)
        self.log_count += len(changesets)

    def _compact(self) -> None:
        snapshot = self._read_snapshot()
        changesets = self._read_log(snapshot)
        store = Store(snapshot, changesets[: -self.max_log], max_log=1)
        self._replace_file("snapshot", frame(encode_document(store.snapshot())))
        self._restart_log(changesets[-self.max_log :])
        self.log_count = self.max_log

    def _open_log(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self._log = os.open(self.directory / "log", os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        self._sync_directory()

    def _restart_log(self, changesets: Sequence[ChangeSet]) -> None:
        self._replace_file("log", _log_frame(changesets) if changesets else b"")
        os.close(self._log)
        self._open_log()

    def _read_snapshot(self) -> Snapshot | None:
        bodies = self._read_file("snapshot")
        if len(bodies) > 1:
            raise InvalidDocumentError("snapshot: more than one frame")
        return decode_snapshot(bodies[0]) if bodies else None

    def _read_log(self, snapshot: Snapshot | None) -> list[ChangeSet]:
        """The log's change sets after the snapshot. Cuts off a torn tail."""
        data = self._run((self.directory / "log").read_bytes)
        try:
            bodies, end = read_frames(data)
            if end < len(data):
                self._run(lambda: self._cut_log(end))
            found = [decode_changeset(one) for body in bodies for one in _decode_batch(body)]
        except (InvalidDocumentError, msgspec.DecodeError, msgspec.ValidationError) as fault:
            raise InvalidDocumentError(f"log: {fault}") from None
        at = snapshot.revision if snapshot is not None else 0
        for changeset in found:
            if snapshot is not None and changeset.revision == at and digest_of(changeset) != snapshot.digest:
                raise InvalidDocumentError(f"log: its revision {at} isn't the snapshot's")
        return [changeset for changeset in found if changeset.revision > at]

    def _cut_log(self, end: int) -> None:
        os.ftruncate(self._log, end)
        os.fsync(self._log)

    def _read_file(self, name: str) -> list[bytes]:
        """The frames of a file that is replaced whole: nothing in it may be torn."""
        path = self.directory / name
        if not self._run(path.exists):
            return []
        data = self._run(path.read_bytes)
        try:
            bodies, end = read_frames(data)
        except InvalidDocumentError as fault:
            raise InvalidDocumentError(f"{name}: {fault}") from None
        if end < len(data):
            raise InvalidDocumentError(f"{name}: it ends within a frame")
        return bodies

    def _replace_file(self, name: str, data: bytes) -> None:
        new = self.directory / f"{name}.new"
        with new.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new.replace(self.directory / name)
        self._sync_directory()

    def _sync_directory(self) -> None:
        handle = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def _run(self, call: Callable[[], T]) -> T:
        """Calls; an OSError becomes a StorageError that names the directory and where it is configured."""
        try:
            return call()
        except OSError as fault:
            raise StorageError(
                f"{self.directory}: {why(fault)}",
                access(fault, self.directory, self.directory) + f", at {self.location}",
            ) from None


def _log_frame(changesets: Sequence[ChangeSet]) -> bytes:
    return frame(_encode([encode_document(changeset) for changeset in changesets]))
