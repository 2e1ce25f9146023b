"""The event log of a run, as its peers observed it: one JSON event per line.

The emulator, the planner and every process that writes a history log append events; invariant checkers
(`emulator/`) and history checkers (`histories/`) read nothing else. The kinds of events and their members are
defined in docs/histories.md and by each checker, not in this module.

An event carries the moment at which the bytes crossed the program's own sockets, so events may be appended
out of order.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec


class Event(msgspec.Struct):
    """One event.

    Attributes:
        at: ticks (tenths of a millisecond) since the start of the run.
        what: the kind of the event.
        more: the event's members, by name.
    """

    at: int
    what: str
    more: dict[str, Any]


class EventLog:
    """The events of one run, in the order in which they were appended."""

    def __init__(self) -> None:
        self.rows: list[Event] = []

    def add(self, at: int, what: str, **more: Any) -> None:
        """Append an event; see `Event` for the arguments."""
        self.rows.append(Event(at, what, more))

    def lines(self) -> Iterable[bytes]:
        """Return each event as a line of JSON, without its line feed."""
        return map(msgspec.json.encode, self.rows)

    def digest(self, more: bytes = b"") -> str:
        """Return a hash of all events, equal for two identical runs.

        Args:
            more: a digest of the transferred bytes, where the environment records them.
        """
        digest = hashlib.blake2b(more, digest_size=12)
        for line in self.lines():
            digest.update(line)
        return digest.hexdigest()

    def write(self, path: Path) -> None:
        """Write all events to a file.

        Raises:
            OSError: the file can't be written.
        """
        path.write_bytes(b"\n".join(self.lines()) + b"\n")


def read(path: Path) -> list[Event]:
    """Read a file written by `EventLog.write`.

    Raises:
        OSError: the file can't be read.
        msgspec.DecodeError: a line is not valid JSON.
        msgspec.ValidationError: a line is not an event.
    """
    return [msgspec.json.decode(line, type=Event) for line in path.read_bytes().splitlines() if line]
