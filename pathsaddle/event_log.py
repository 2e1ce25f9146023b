"""The log of a run: what happened, as its peers saw it, one event a line.

The emulator, the planner and every process that writes a history log append events; invariant checkers (`emulator/`)
and history checkers (`histories/`) read them and nothing else. This module knows no kind of event: names and members are
those of docs/histories.md and of each checker.

Peers stamp an event with the moment at which the bytes crossed the program's own sockets, so an event may be appended
after later ones.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec


class Event(msgspec.Struct):
    """One thing that happened.

    Attributes:
        at: when, in ticks (tenths of a millisecond) since the run's start.
        what: its kind.
        more: its members, by name.
    """

    at: int
    what: str
    more: dict[str, Any]


class EventLog:
    """The events of one run, in the order in which they were appended."""

    def __init__(self) -> None:
        self.rows: list[Event] = []

    def add(self, at: int, what: str, **more: Any) -> None:
        """Append an event; the arguments are `Event`'s attributes."""
        self.rows.append(Event(at, what, more))

    def lines(self) -> Iterable[bytes]:
        """Return each event as a line of JSON, without its line feed."""
        return map(msgspec.json.encode, self.rows)

    def digest(self, more: bytes = b"") -> str:
        """Return a hash of all events: equal for two runs in which the same happened.

        Args:
            more: a digest of the bytes that crossed, where the environment knows them.
        """
        whole = hashlib.blake2b(more, digest_size=12)
        for line in self.lines():
            whole.update(line)
        return whole.hexdigest()

    def write(self, path: Path) -> None:
        """Write all events to a file. Raises OSError."""
        path.write_bytes(b"\n".join(self.lines()) + b"\n")


def read(path: Path) -> list[Event]:
    """Read a file that `write` wrote.

    Raises:
        OSError: the file can't be read.
        msgspec.DecodeError, msgspec.ValidationError: a line is no event.
    """
    return [msgspec.json.decode(line, type=Event) for line in path.read_bytes().splitlines() if line]
