"""A voter's disk: one file that only grows, each record's sum over itself and the sum before;
synced before it is told.

Bound: what `open` gives as whole is all that was ever synced by `append`, in this file and no other. A record
that is cut, whose sum is wrong, or after which something else stands makes the log torn: what may have been
told from it is unknown. The first record names the file's own inode and the moment of its birth: a copy that
was put back from elsewhere, and is older than it was, is not this file. A snapshot of the whole disk put back
below the file system is not seen here; the numbers of starts, which other voters know, show it where there
was a start in between, and the others' word heals it where enough of them are heard.
"""

from __future__ import annotations

import contextlib
import ctypes
import hashlib
import os
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from pathsaddle.consensus.acceptor import DiskWrite
from pathsaddle.consensus.errors import AlreadyInitializedError, StorageError, VoterSetMismatchError
from pathsaddle.consensus.messages import Ballot, Value
from pathsaddle.errors import access, why

SUM = 8
MOST = 1 << 16  # bytes of a record
LARGE = 1 << 20  # bytes from which on it is written anew, if what it holds now is a quarter or less
NAME = "register.log"
Kept = tuple[Ballot, Ballot, Value]


class Head(msgspec.Struct, array_like=True):
    """whole: founded as such, not begun where a register should have been."""

    form: int
    voter: str
    voters: list[str]
    file: tuple[int, int]
    whole: bool


class Line(msgspec.Struct, array_like=True):
    key: str
    kept: Kept | None
    voter: str
    start: int
    whole: bool


@dataclass
class Held:
    """What a log holds. why: what is wrong with it, where it is not whole."""

    rows: dict[str, Kept] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)
    start: int = 0
    whole: bool = False
    why: str = ""


def identity(path: Path) -> tuple[int, int]:
    """Inode and birth of a file, in nanoseconds: an inode alone is given again to the next file made. Birth
    is 0 where the system can't tell it; then the inode goes alone.
    """
    inode = os.stat(path).st_ino
    try:
        # statx(AT_FDCWD, path, 0, STATX_BTIME, ...): stx_btime stands at byte 80 of what it fills in.
        found = ctypes.create_string_buffer(256)
        if ctypes.CDLL(None).statx(-100, os.fsencode(path), 0, 0x800, found) == 0:
            mask = int.from_bytes(found.raw[:4], sys.byteorder)
            seconds = int.from_bytes(found.raw[80:88], sys.byteorder, signed=True)
            return (
                inode,
                seconds * 10**9 + int.from_bytes(found.raw[88:92], sys.byteorder) if mask & 0x800 else 0,
            )
    except (AttributeError, OSError):
        pass
    return inode, 0


def _record(before: bytes, body: bytes) -> tuple[bytes, bytes]:
    told = hashlib.blake2b(before + body, digest_size=SUM).digest()
    return len(body).to_bytes(4, "big") + told + body, told


def _lines(writes: Iterable[DiskWrite]) -> list[bytes]:
    return [
        msgspec.msgpack.encode(Line(one.key, one.kept, one.voter, one.start, one.whole)) for one in writes
    ]


class AcceptorLog:
    """Raises NoDisk, OtherVoters."""

    def __init__(self, folder: Path, name: str, voters: Iterable[str]) -> None:
        self.path, self.name, self.voters = folder / NAME, name, sorted(voters)
        self.file, self.told, self.size, self.live = -1, b"", 0, 0
        try:
            self.held = self._read() if self.path.exists() else Held(why="there is none")
            if not self.held.whole and (self.held.why or self.held.start == 0):
                # What is left of it was true once, and helps;
                # a fresh file is begun that says that it is not whole.
                self._anew(False)
            else:
                self.file = os.open(self.path, os.O_WRONLY | os.O_APPEND)
        except OSError as fault:
            raise StorageError(
                f"{self.path}: {why(fault)}",
                access(fault, self.path, self.path.parent) + ", at fleet.owners.folder, on a disk with room",
            ) from None

    def _read(self) -> Held:
        data = self.path.read_bytes()
        bodies, at, told = [], 0, b""
        held = Held(whole=True)
        while at < len(data):
            size = int.from_bytes(data[at : at + 4], "big")
            body = data[at + 4 + SUM : at + 4 + SUM + size]
            record, told = _record(told, body)
            if size > MOST or data[at : at + len(record)] != record or len(body) < size:
                held.whole, held.why = False, f"torn at byte {at}"
                break
            bodies.append(body)
            at += len(record)
        if not bodies:
            return Held(why=held.why or "it is empty")
        head = msgspec.msgpack.decode(bodies[0], type=Head)
        if head.voters != self.voters or head.voter != self.name:
            raise VoterSetMismatchError(
                f"{self.path} is of voter {head.voter} among {', '.join(head.voters)}, the charter says "
                f"{self.name} among "
                f"{', '.join(self.voters)}",
                "write the same names at fleet.owners.voters as the register was founded with "
                "(a voter's machine is replaced under its old name, with an empty folder)",
            )
        for body in bodies[1:]:
            line = msgspec.msgpack.decode(body, type=Line)
            if line.kept is not None:
                held.rows[line.key] = line.kept
            elif line.voter == self.name:
                held.start, held.whole = line.start, line.whole
            else:
                held.starts[line.voter] = line.start
        if held.start == 0:
            held.whole = head.whole
        held.whole = held.whole and not held.why
        if tuple(head.file) != identity(self.path):
            held.whole, held.why = False, "a copy of another file: older than it was, maybe"
        self.told, self.size, self.live = told, at, LARGE // 4
        return held

    def _anew(self, whole: bool) -> None:
        """The file anew, with what is held, in the place of the old one."""
        other = self.path.with_suffix(".new")
        file = os.open(other, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        try:
            head = Head(1, self.name, self.voters, identity(other), whole)
            writes = [DiskWrite(key, kept) for key, kept in self.held.rows.items()]
            writes += [DiskWrite(voter=voter, start=start) for voter, start in self.held.starts.items()]
            if self.held.start:
                writes.append(DiskWrite(voter=self.name, start=self.held.start, whole=whole))
            told, data = b"", b""
            for body in [msgspec.msgpack.encode(head), *_lines(writes)]:
                record, told = _record(told, body)
                data += record
            _write(file, data)
            os.fsync(file)
            os.replace(other, self.path)
            folder = os.open(self.path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except BaseException:
            os.close(file)
            raise
        if self.file >= 0:
            os.close(self.file)
        self.file, self.told, self.size, self.live = file, told, len(data), len(data)

    def append(self, writes: list[DiskWrite]) -> None:
        """On disk when it returns. Raises OSError: then what of it stands is unknown,
        and the log is to be opened anew.
        """
        data, told = b"", self.told
        for body in _lines(writes):
            record, told = _record(told, body)
            data += record
        try:
            _write(self.file, data)
            os.fdatasync(self.file)
        except OSError:
            # What was written in part would make it torn; nothing of it was told, so it may go.
            with contextlib.suppress(OSError):
                os.ftruncate(self.file, self.size)
            raise
        self.size += len(data)
        self.told = told
        for one in writes:
            if one.kept is not None:
                self.held.rows[one.key] = one.kept
            elif one.voter == self.name:
                self.held.start, self.held.whole = one.start, one.whole
            else:
                self.held.starts[one.voter] = one.start
        if self.size > 4 * max(self.live, LARGE // 4):
            self._anew(self.held.whole)

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
            self.file = -1


def _write(file: int, data: bytes) -> None:
    while data:
        data = data[os.write(file, data) :]


def create_log(folder: Path, name: str, voters: Iterable[str]) -> None:
    """The register begins, empty: done once for each voter, before the first start, and never again. Raises
    Founded, NoDisk.
    """
    path = folder / NAME
    if path.exists():
        raise AlreadyInitializedError(
            f"{path}: a register is there already",
            f"go on with {path}: it is founded once in its life, also where it was lost since",
        )
    log = AcceptorLog.__new__(AcceptorLog)
    log.path, log.name, log.voters, log.file, log.held = path, name, sorted(voters), -1, Held()
    try:
        log._anew(True)
    except OSError as fault:
        raise StorageError(
            f"{path}: {why(fault)}", access(fault, path, path.parent) + ", at fleet.owners.folder"
        ) from None
    log.close()
