"""Which sync requests a reading of the register answers: those that came before it began, and no others.

A lease rests on a reading that began after its request. Used by `server.py` alone. No I/O.
"""

from __future__ import annotations

from typing import NewType

from pathsaddle.settings.messages import SyncRequest
from pathsaddle.settings.timing import NEVER_DUE, SECOND

ReadingNumber = NewType("ReadingNumber", int)

IDLE_READ_TICKS = SECOND  # from one reading to the next where nobody asks
READ_TICKS = SECOND // 4  # and where somebody does
MAX_OPEN_READINGS = 4  # older ones, of which nothing was ever heard, are given up


class RegisterReadings:
    """The readings that were begun, and the requests that wait for one.

    Attributes:
        is_wanted: Whether a reading should begin.
        waiting: The latest request of each subscriber that waits for a reading to begin.
        answering: By reading, the requests that it answers.
        read_at: When the last reading began, in ticks.
    """

    def __init__(self, now: int) -> None:
        """Wants a reading at once."""
        self.is_wanted = True
        self.waiting: dict[str, SyncRequest] = {}
        self.answering: dict[ReadingNumber, dict[str, SyncRequest]] = {}
        self.read_at = now - SECOND
        self._count = 0

    def add(self, request: SyncRequest, now: int) -> None:
        """Lets a request wait for the next reading that begins."""
        self.waiting[request.sender] = request
        if now >= self.read_at + READ_TICKS:
            self.is_wanted = True

    def update(self, now: int) -> None:
        """Wants a reading if one is due."""
        if now >= self.read_at + (READ_TICKS if self.waiting else IDLE_READ_TICKS):
            self.is_wanted = True

    def begin(self, now: int) -> ReadingNumber:
        """Notes that a reading begins after this call; returns its number."""
        self._count += 1
        number = ReadingNumber(self._count)
        self.read_at, self.is_wanted = now, False
        self.answering[number], self.waiting = self.waiting, {}
        for old in list(self.answering)[:-MAX_OPEN_READINGS]:
            del self.answering[old]
        return number

    def finish(self, number: ReadingNumber) -> dict[str, SyncRequest]:
        """Returns the requests that this reading answers, and forgets it."""
        return self.answering.pop(number, {})

    def put_back(self, requests: dict[str, SyncRequest]) -> None:
        """Lets requests wait on that could not be answered.

        A later one of the same subscriber counts instead.
        """
        self.waiting = {**requests, **self.waiting}

    def next_due(self) -> int:
        """When the next reading is to be wanted, in ticks; never, where one is wanted already."""
        if self.is_wanted:
            return NEVER_DUE
        return self.read_at + (READ_TICKS if self.waiting else IDLE_READ_TICKS)
