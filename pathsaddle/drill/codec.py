"""Parsing of the fields of the bench's lines into the scheduler's types."""

from __future__ import annotations

from zlib import crc32

from pathsaddle.net.wire import terms
from pathsaddle.net.wire.terms import passed
from pathsaddle.scheduler_types import ListedState, ListUpdate, LoadReport, Outcome, Worker

OUTCOMES = {
    "1": Outcome.SETTLED,
    "2": Outcome.ERROR,
    "3": Outcome.FULL,
    "4": Outcome.TIMED_OUT,
    "5": Outcome.UNCONNECTED,
    "6": Outcome.RESET,
    "7": Outcome.CANCELLED,
    "8": Outcome.MOOT,
}
LIST_UPDATES = {
    "D": ListUpdate.CHANGES,
    "F": ListUpdate.COMPLETE,
    "C": ListUpdate.CACHED,
    "X": ListUpdate.FAILED,
}
LISTED_STATES = {"Ready": ListedState.READY, "Terminating": ListedState.DRAINING, "Gone": ListedState.GONE}


class MalformedLineError(Exception):
    """A line does not follow the grammar of the bench's wire."""


def parse_optional(text: str) -> str | None:
    """Return a field's text, or None for `-`, which stands for an absent value."""
    return None if text == "-" else text


def parse_report(row: str, fields: list[str]) -> LoadReport | None:
    """Return the load report in a row of comma-separated figures, one for each of `fields`."""
    return None if row in ("-", "") else terms.report(list(zip(fields, row.split(","))))


def parse_worker(parts: list[str]) -> Worker:
    """Return the worker in the parts of a line: ROW share boot type locality block health address."""
    weight, boot, machine, zone, cell, health, tag = parts[1:8]
    started_ns = int(parse_optional(boot) or 0)
    return Worker(
        tag,
        int(parse_optional(zone) or 0),
        int(parse_optional(cell) or 0),
        int(parse_optional(machine) or 0),
        float(parse_optional(weight) or 1),
        passed(started_ns) if started_ns > 0 else None,
        LISTED_STATES[health],
        crc32(tag.encode()),
    )
