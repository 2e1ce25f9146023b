"""An acceptor's disk: one file that only grows, with a checksum over each record and the checksum before it.

Invariant: what is reported as intact is all that was ever synced by `append`, in this file and no other. A
record that is cut, whose checksum is wrong, or after which something else stands makes the log torn: what was
answered by it is unknown. The first record names the file's own inode and the time of its creation, so that a
copy that was put back from elsewhere, and may be older than the file was, is not taken for it. Broken and
found in `StorageTest` of `tests/test_consensus.py`. A snapshot of the whole disk that is put back below the
file system is not seen here; incarnations, which other acceptors know, show it where there was a start in
between, and the others' state heals it where enough of them answer.

The driver calls `append` in a thread of its own. The module never decides what is written.
"""

from __future__ import annotations

import contextlib
import ctypes
import hashlib
import os
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec

from pathsaddle.consensus.errors import AlreadyInitializedError, StorageError, VoterSetMismatchError
from pathsaddle.consensus.messages import Incarnation, KeyState
from pathsaddle.consensus.stored_state import (
    DiskWrite,
    KeyWrite,
    OwnIncarnationWrite,
    PeerIncarnationWrite,
    StoredState,
)
from pathsaddle.errors import access, why

FORMAT = 1
CHECKSUM_BYTES = 8
LENGTH_BYTES = 4
MAX_RECORD_BYTES = 1 << 16
# From this size on the file is rewritten once its live records are a quarter of it or less.
MIN_COMPACTION_BYTES = 1 << 20
COMPACTION_RATIO = 4
FILE_NAME = "register.log"

AT_FDCWD = -100  # Linux: a path is taken from the working directory
STATX_BTIME = 0x800  # Linux: the mask bit for the time of creation
STATX_BUFFER_BYTES = 256  # Linux: the size of struct statx
STATX_MASK = slice(0, 4)  # offsets in struct statx
STATX_BTIME_SECONDS = slice(80, 88)
STATX_BTIME_NANOSECONDS = slice(88, 92)


class FileIdentity(NamedTuple):
    """A file's inode, and its creation in nanoseconds: an inode alone is given again to the next file."""

    inode: int
    created_at_ns: int


class Header(msgspec.Struct, array_like=True):
    """The first record. `is_intact`: initialized as a new register, not begun where one should have been."""

    format: int
    acceptor: str
    acceptors: list[str]
    file: FileIdentity
    is_intact: bool


class Record(msgspec.Struct, array_like=True):
    """Every further record: a key's state, or an incarnation of the acceptor that it names."""

    key: str = ""
    state: KeyState | None = None
    acceptor: str = ""
    incarnation: Incarnation = 0
    is_intact: bool = False


class Frame(NamedTuple):
    """A record as it stands in the file, and its checksum."""

    data: bytes
    checksum: bytes


class Owner(NamedTuple):
    """Whose log it is: an acceptor, and the names of all acceptors in order."""

    acceptor: str
    acceptors: list[str]


class NewLog(NamedTuple):
    """A log that was just written: open for appending, its last checksum, its size in bytes."""

    file: int
    checksum: bytes
    size: int


def file_identity(path: Path) -> FileIdentity:
    """Return what tells a file from a copy; the creation is 0 where the system does not tell it."""
    inode = path.stat().st_ino
    try:
        buffer = ctypes.create_string_buffer(STATX_BUFFER_BYTES)
        if ctypes.CDLL(None).statx(AT_FDCWD, os.fsencode(path), 0, STATX_BTIME, buffer) == 0:
            raw = buffer.raw
            if not int.from_bytes(raw[STATX_MASK], sys.byteorder) & STATX_BTIME:
                return FileIdentity(inode, 0)
            seconds = int.from_bytes(raw[STATX_BTIME_SECONDS], sys.byteorder, signed=True)
            nanoseconds = int.from_bytes(raw[STATX_BTIME_NANOSECONDS], sys.byteorder)
            return FileIdentity(inode, seconds * 10**9 + nanoseconds)
    except (AttributeError, OSError):
        pass
    return FileIdentity(inode, 0)


def _frame(previous_checksum: bytes, body: bytes) -> Frame:
    checksum = hashlib.blake2b(previous_checksum + body, digest_size=CHECKSUM_BYTES).digest()
    return Frame(len(body).to_bytes(LENGTH_BYTES, "big") + checksum + body, checksum)


def _chain(checksum: bytes, bodies: Iterable[bytes]) -> Frame:
    """Return the frames of several records as one."""
    data = b""
    for body in bodies:
        frame, checksum = _frame(checksum, body)
        data += frame
    return Frame(data, checksum)


def _encode_record(write: DiskWrite) -> bytes:
    if isinstance(write, KeyWrite):
        record = Record(key=write.key, state=write.state)
    elif isinstance(write, OwnIncarnationWrite):
        record = Record(acceptor=write.acceptor, incarnation=write.incarnation, is_intact=write.is_intact)
    else:
        record = Record(acceptor=write.acceptor, incarnation=write.incarnation)
    return msgspec.msgpack.encode(record)


class AcceptorLog:
    """The log of one acceptor, open for appending.

    Attributes:
        stored: What the log holds. It stays up to date with `append`.
    """

    def __init__(self, directory: Path, name: str, acceptors: Iterable[str]) -> None:
        """Open the log of an acceptor.

        Args:
            directory: The operator's directory for it.
            name: The acceptor's name.
            acceptors: The names of all acceptors.

        Raises:
            StorageError: The directory or the file cannot be read or written.
            VoterSetMismatchError: The log belongs to another acceptor, or to another set of acceptors.
        """
        self.path, self.name, self.acceptors = directory / FILE_NAME, name, sorted(acceptors)
        self._file, self._checksum, self._size, self._live_size = -1, b"", 0, 0
        try:
            self.stored = self._read() if self.path.exists() else StoredState(damage="there is none")
            if not self.stored.is_intact and (self.stored.damage or self.stored.incarnation == 0):
                # What is left of it was true once, and helps; a new file says that it is not intact.
                self._rewrite(is_intact=False)
            else:
                self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        except OSError as error:
            raise StorageError(
                f"{self.path}: {why(error)}",
                access(error, self.path, self.path.parent) + ", at fleet.owners.folder, on a disk with room",
            ) from None

    def _read(self) -> StoredState:
        data = self.path.read_bytes()
        bodies: list[bytes] = []
        position, checksum = 0, b""
        stored = StoredState(is_intact=True)
        while position < len(data):
            size = int.from_bytes(data[position : position + LENGTH_BYTES], "big")
            start = position + LENGTH_BYTES + CHECKSUM_BYTES
            body = data[start : start + size]
            frame, checksum = _frame(checksum, body)
            is_complete = data[position : position + len(frame)] == frame and len(body) == size
            if size > MAX_RECORD_BYTES or not is_complete:
                stored.is_intact, stored.damage = False, f"torn at byte {position}"
                break
            bodies.append(body)
            position += len(frame)
        if not bodies:
            return StoredState(damage=stored.damage or "it is empty")
        header = msgspec.msgpack.decode(bodies[0], type=Header)
        self._check_acceptors(header)
        for body in bodies[1:]:
            stored.apply(self._write_of(msgspec.msgpack.decode(body, type=Record)))
        if stored.incarnation == 0:
            stored.is_intact = header.is_intact
        stored.is_intact = stored.is_intact and not stored.damage
        if header.file != file_identity(self.path):
            stored.is_intact, stored.damage = False, "a copy of another file: older than it was, maybe"
        self._checksum, self._size = checksum, position
        self._live_size = MIN_COMPACTION_BYTES // COMPACTION_RATIO
        return stored

    def _check_acceptors(self, header: Header) -> None:
        if header.acceptors != self.acceptors or header.acceptor != self.name:
            raise VoterSetMismatchError(
                f"{self.path} is of voter {header.acceptor} among {', '.join(header.acceptors)}, "
                f"the charter says {self.name} among {', '.join(self.acceptors)}",
                "write the same names at fleet.owners.voters as the register was founded with "
                "(a voter's machine is replaced under its old name, with an empty folder)",
            )

    def _write_of(self, record: Record) -> DiskWrite:
        if record.state is not None:
            return KeyWrite(record.key, record.state)
        if record.acceptor == self.name:
            return OwnIncarnationWrite(record.acceptor, record.incarnation, record.is_intact)
        return PeerIncarnationWrite(record.acceptor, record.incarnation)

    def _rewrite(self, is_intact: bool) -> None:
        """Put a new file with what is stored in the place of the old one."""
        new = _write_new_log(self.path, Owner(self.name, self.acceptors), self.stored, is_intact)
        self.close()
        self._file, self._checksum, self._size, self._live_size = new.file, new.checksum, new.size, new.size

    def append(self, writes: list[DiskWrite]) -> None:
        """Write and sync; all is on disk when it returns.

        Raises:
            OSError: What of it is on disk is unknown, and the log is to be opened anew.
        """
        data, checksum = _chain(self._checksum, map(_encode_record, writes))
        try:
            _write_all(self._file, data)
            os.fdatasync(self._file)
        except OSError:
            # What was written in part would make the log torn; nothing was answered by it, so that it may go.
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, self._size)
            raise
        self._size += len(data)
        self._checksum = checksum
        for write in writes:
            self.stored.apply(write)
        if self._size > COMPACTION_RATIO * max(self._live_size, MIN_COMPACTION_BYTES // COMPACTION_RATIO):
            self._rewrite(self.stored.is_intact)

    def close(self) -> None:
        """Close the file; a second call does nothing."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def _write_all(file: int, data: bytes) -> None:
    while data:
        data = data[os.write(file, data) :]


def _write_new_log(path: Path, owner: Owner, stored: StoredState, is_intact: bool) -> NewLog:
    """Write a new log beside the path, sync it, and move it there. Raises OSError."""
    new_path = path.with_suffix(".new")
    file = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
    try:
        header = Header(FORMAT, *owner, file_identity(new_path), is_intact)
        writes: list[DiskWrite] = [KeyWrite(key, state) for key, state in stored.keys.items()]
        writes += [PeerIncarnationWrite(*peer) for peer in stored.peer_incarnations.items()]
        if stored.incarnation:
            writes.append(OwnIncarnationWrite(owner.acceptor, stored.incarnation, is_intact))
        data, checksum = _chain(b"", [msgspec.msgpack.encode(header), *map(_encode_record, writes)])
        _write_all(file, data)
        os.fsync(file)
        new_path.replace(path)
        directory = os.open(path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)
    except BaseException:
        os.close(file)
        raise
    return NewLog(file, checksum, len(data))


def create_log(directory: Path, name: str, acceptors: Iterable[str]) -> None:
    """Begin an empty register: done once for each acceptor, before its first start, and never again.

    Raises:
        AlreadyInitializedError: There is a register in the directory.
        StorageError: The directory cannot be written.
    """
    path = directory / FILE_NAME
    if path.exists():
        raise AlreadyInitializedError(
            f"{path}: a register is there already",
            f"go on with {path}: it is founded once in its life, also where it was lost since",
        )
    try:
        os.close(_write_new_log(path, Owner(name, sorted(acceptors)), StoredState(), is_intact=True).file)
    except OSError as error:
        raise StorageError(
            f"{path}: {why(error)}", access(error, path, path.parent) + ", at fleet.owners.folder"
        ) from None
