"""What happened in a run, as its peers saw it: the one thing that the judge reads.

An event is a moment (tenths of a millisecond since the run's start), what it is, and its fields. Peers stamp it
with the moment at which the bytes crossed the program's own sockets, so that it may be told later than others.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec


class Event(msgspec.Struct):
    at: int
    what: str
    more: dict[str, Any]


class Events:
    def __init__(self) -> None:
        self.rows: list[Event] = []

    def add(self, at: int, what: str, **more: Any) -> None:
        self.rows.append(Event(at, what, more))

    def lines(self) -> Iterable[bytes]:
        return map(msgspec.json.encode, self.rows)

    def digest(self, more: bytes = b"") -> str:
        """Of all that happened; `more`: of the bytes that crossed, where the ground knows."""
        whole = hashlib.blake2b(more, digest_size=12)
        for line in self.lines():
            whole.update(line)
        return whole.hexdigest()

    def write(self, path: Path) -> None:
        path.write_bytes(b"\n".join(self.lines()) + b"\n")


def read(path: Path) -> list[Event]:
    """Raises msgspec.DecodeError or ValidationError where a line is no event."""
    return [msgspec.json.decode(line, type=Event) for line in path.read_bytes().splitlines() if line]
