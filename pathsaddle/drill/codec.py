"""The bench's words, and no others' business: lines in, trade types out, and back."""

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
NEWS = {"D": ListUpdate.CHANGES, "F": ListUpdate.WHOLE, "C": ListUpdate.REMEMBERED, "X": ListUpdate.FAILED}
STANDINGS = {"Ready": ListedState.READY, "Terminating": ListedState.DRAINING, "Gone": ListedState.GONE}


class Malformed(Exception):
    """A line that breaks the wire's grammar."""


def optional(part: str) -> str | None:
    return None if part == "-" else part


def report(row: str, fields: list[str]) -> LoadReport | None:
    return None if row in ("-", "") else terms.report(list(zip(fields, row.split(","))))


def worker(parts: list[str]) -> Worker:
    """ROW share boot type locality block health address"""
    share, boot, kind, zone, cell, health, tag = parts[1:8]
    started = int(optional(boot) or 0)
    return Worker(
        tag,
        int(optional(zone) or 0),
        int(optional(cell) or 0),
        int(optional(kind) or 0),
        float(optional(share) or 1),
        passed(started) if started > 0 else None,
        STANDINGS[health],
        crc32(tag.encode()),
    )
