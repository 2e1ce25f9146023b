"""Logs read and put in order, what a finding is, and what every checker has in common.

Nothing here or in any checker imports the program, but for what all errors have in common: only the form of an event (docs/histories.md, "Vocabulary") binds.

Clocks: every writer has its own. A checker is told `skew`: by how many ticks any of them may be off true time
at any moment. Events of two writers are in sure order only if they are more than twice that apart; what is
not sure accuses nobody. So a greater skew finds less, and a checker told the true bound never accuses a
history that was right.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from pathlib import Path
from typing import Any, ClassVar

import msgspec

from pathsaddle.errors import access, why
from pathsaddle.event_log import Event
from pathsaddle.histories.faults import HistoryError, Malformed, NoLogs, Unreadable

__all__ = [
    "BROKEN",
    "MOMENTS",
    "MOST",
    "NEVER",
    "SECOND",
    "Checker",
    "Clocks",
    "Event",
    "Finding",
    "HistoryError",
    "check",
    "in_order",
    "plain",
    "read",
    "read_folder",
    "write",
]

SECOND = 10_000
NEVER = -(1 << 60)
MOST = 1000  # findings of one checker that are kept; the rest are counted
MOMENTS = ("from", "until", "expiry", "declined")  # fields that are moments of the writer's clock
BROKEN = (KeyError, TypeError, ValueError, AttributeError)


@dataclass(frozen=True)
class Finding:
    """name: stable, by which planted histories are found again. events: those that contradict each other."""

    checker: str
    name: str
    says: str
    events: tuple[Event, ...]

    def __str__(self) -> str:
        return f"{self.checker}: {self.name}: {self.says}"


class Checker:
    """Fed events in the order of `at`, keeps what it needs of them, and finds.

    Bound: `findings` holds at most MOST; `found` counts all.
    """

    name: ClassVar[str] = ""

    def __init__(self, skew: int = 0) -> None:
        self.skew = skew
        self.findings: list[Finding] = []
        self.found = 0
        self.on: dict[str, Callable[[Event], None]] = {}
        self._waiting: list[tuple[int, int, Callable[[Event], None], Event]] = []
        self._order = 0

    def feed(self, event: Event) -> None:
        """Never raises: an event that lacks what its name asks for is a finding of its own."""
        waiting = self._waiting
        while waiting and waiting[0][0] < event.at:
            self._judge()
        act = self.on.get(event.what)
        if act is None:
            return
        try:
            act(event)
        except BROKEN as fault:
            self.find("log-broken", f"{event.what} can't be read: {type(fault).__name__}: {fault}", event)

    def done(self) -> None:
        """The log is over."""
        while self._waiting:
            self._judge()

    def later(self, judge: Callable[[Event], None], event: Event, at: int = NEVER) -> None:
        """Judges an event (or what it says of the moment `at`) once all is known that may truly have come
        before: `skew` twice, later. For that long what others wrote with a later moment may have been first;
        events of the very moment are waited for too.
        """
        self._order += 1
        heappush(self._waiting, (max(at, event.at) + 2 * self.skew, self._order, judge, event))

    def _judge(self) -> None:
        _, _, judge, event = heappop(self._waiting)
        try:
            judge(event)
        except BROKEN as fault:
            self.find("log-broken", f"{event.what} can't be read: {type(fault).__name__}: {fault}", event)

    def find(self, name: str, says: str, *events: Event) -> None:
        self.found += 1
        if len(self.findings) < MOST:
            self.findings.append(Finding(self.name, name, says, events))

    def group(self, event: Event) -> Hashable:
        """What is judged together; events of other groups may be left out of a history that is made small."""
        return None

    def stays(self, events: Sequence[Event], finding: Finding) -> list[int]:
        """Places of events that a history made small must keep, though no finding names them: those that,
        left out, could make what was right look wrong. Asked of a checker that has read them all.
        """
        return []


def check(events: Iterable[Event], checkers: Sequence[Checker]) -> list[Finding]:
    """All findings, in the order of checkers. events: in the order of `at` (`in_order`)."""
    events = events if isinstance(events, list) else list(events)
    for checker in checkers:
        feed, on = checker.feed, checker.on
        for event in events:
            # Most events are not this checker's; what waits must not wait for one that is.
            if event.what in on:
                feed(event)
        checker.done()
    return [finding for checker in checkers for finding in checker.findings]


def in_order(events: Iterable[Event]) -> list[Event]:
    """By `at`; what one writer wrote at one moment stays in its order."""
    return sorted(events, key=lambda event: event.at)


class Clocks(Checker):
    """Each writer's moments never go back; without that nothing else is worth reading."""

    name = "clocks"

    def run(self, files: Iterable[Iterable[Event]]) -> list[Finding]:
        """files: each as it was written, before it is put in order."""
        for events in files:
            last: dict[str, Event] = {}
            for event in events:
                who = event.more.get("who")
                if not isinstance(who, str):
                    continue  # the ground's own notes; where a checker needs it, its absence is found there
                before = last.get(who)
                if before is not None and event.at < before.at:
                    self.find("clock-back", f"{who} wrote {event.at} after {before.at}", before, event)
                last[who] = event
        return self.findings


def read(path: Path) -> list[Event]:
    """One file's events: lines that begin with a brace; other lines are the program's words and let be. A
    last line that was cut by a kill is left out. Raises HistoryError where another line can't be read.
    """
    try:
        lines = path.read_bytes().split(b"\n")
    except OSError as fault:
        raise Unreadable("", access(fault, path), file=path, why=why(fault)) from fault
    decode = msgspec.json.Decoder(Event).decode
    events = []
    for number, line in enumerate(lines, 1):
        if not line.startswith(b"{"):
            continue
        try:
            events.append(decode(line))
        except (msgspec.DecodeError, msgspec.ValidationError) as fault:
            if number == len(lines):
                break  # no line end: it was being written
            raise Malformed(file=path, line=number, why=why(fault)) from fault
    return events


def read_folder(folder: Path) -> list[list[Event]]:
    """Each member's file as it was written, by name. Raises HistoryError."""
    if folder.is_file():
        return [read(folder)]
    paths = sorted(path for form in ("*.jsonl", "*.log") for path in folder.glob(form))
    if not paths:
        raise NoLogs(folder=folder)
    return [read(path) for path in paths]


def write(path: Path, events: Iterable[Event]) -> None:
    path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in events))


def plain(value: Any) -> Hashable:
    """A value as something that can be compared and kept: JSON's lists and objects by their text."""
    if isinstance(value, dict | list):
        return msgspec.json.encode(value, order="sorted")
    return value  # type: ignore[no-any-return]
