"""Drives one dispatcher: resumes txns, keeps timers, turns their orders into calls on a door.

It knows no protocol and decides nothing. A door calls `at(now)` before each group of events that share a
moment, then one method per event, then `turn()`, which lets held txns have the room that has shown.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any

from pathsaddle.scheduler import Choice
from pathsaddle.scheduler_types import (
    Cancel,
    Decline,
    Door,
    Gate,
    ListNews,
    Outcome,
    Post,
    Posting,
    Report,
    Reverse,
    Terms,
    Txn,
    Wait,
    Worker,
)


class Loop:
    def __init__(self, door: Door, terms: Terms, seed: int, now: int, gate: Gate | None = None) -> None:
        self.door = door
        self.now = now
        self.choice = Choice(terms, seed, now, door, gate)
        self._timers: list[tuple[int, int, Txn, int]] = []
        self._order = 0
        self._wake: int | None = None

    def at(self, now: int) -> None:
        self.now = now
        self.choice.now = now

    def arrive(self, txn: Txn) -> None:
        txn.run = self.choice.serve(txn)
        self._resume(txn, None)

    def resume(self, txn: Txn, postings: list[Posting]) -> None:
        """A txn from before our own restart; what was posted for it then may still run."""
        txn.postings += postings
        self.choice.adopt(txn)
        self.arrive(txn)

    def hang_up(self, txn: Txn) -> None:
        self._close(txn)

    def hasten(self, txn: Txn, by: int) -> None:
        """We are to end: its final answer is due by then, however long its client would wait."""
        if not txn.closed and txn.cut_to(by):
            self._resume(txn, None)

    def ended(
        self, posting: Posting, outcome: Outcome, spent: int, closes: bool, report: Report | None
    ) -> None:
        posting.outcome = outcome
        posting.ended = self.now
        self.choice.ended(posting, spent, report)
        if closes:
            self._close(posting.txn)
        elif not posting.txn.closed:
            self._resume(posting.txn, posting)

    def may_begin(self, posting: Posting) -> bool:
        """Asked right before its first byte: what it was decided on may have passed while a connection came up."""
        return self.choice.may_begin(posting)

    def taken(self, posting: Posting) -> None:
        posting.taken = self.now
        self.choice.taken(posting)

    def news(self, posting: Posting, started: bool, level: float) -> None:
        posting.noted = self.now
        if started and posting.started is None:
            posting.started = self.now
        posting.level = max(posting.level, level)
        self.choice.noted(posting)

    def probed(self, worker: Worker, outcome: Outcome, spent: int, report: Report | None) -> None:
        self.choice.probed(worker, outcome, spent, report)

    def broke(self, worker: Worker) -> None:
        """A connection to it, no posting's, was ended from over there."""
        self.choice.broke(worker)

    def listed(self, news: ListNews, workers: Iterable[Worker]) -> None:
        self.choice.listed(news, workers)

    def list_told(self, now: int) -> bool:
        """Whether the list is sure, or has been called for in vain."""
        return not self.choice.list_unsure(now) or self.choice.list_failures > 0

    def woken(self) -> None:
        if self._wake is not None and self._wake <= self.now:
            self._wake = None

    def turn(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            _, _, txn, pending = heapq.heappop(self._timers)
            if not txn.closed and txn.pending == pending:
                self._resume(txn, None)
        while (grant := self.choice.grant()) is not None:
            self._resume(*grant)
        nearest = self.choice.housekeeping()
        while self._timers and (
            self._timers[0][2].closed or self._timers[0][2].pending != self._timers[0][3]
        ):
            heapq.heappop(self._timers)
        if self._timers:
            nearest = min(nearest, self._timers[0][0])
        if self._wake is None or self._wake > nearest:
            self._wake = max(nearest, self.now + 1)
            self.door.wake(self._wake - self.now)

    def _resume(self, txn: Txn, result: Any) -> None:
        txn.pending += 1
        assert txn.run is not None
        try:
            while True:
                match txn.run.send(result):
                    case Wait(until):
                        self._order += 1
                        heapq.heappush(self._timers, (until, self._order, txn, txn.pending))
                        return
                    case Post(worker, within):
                        result = Posting(txn, worker, len(txn.postings), self.now)
                        txn.postings.append(result)
                        self.door.post(result, within)
                    case Cancel(posting):
                        posting.cancelled = True
                        self.door.cancel(posting)
                        result = None
                    case Decline(come_back, elsewhere):
                        self.door.decline(txn, come_back, elsewhere)
                        break
                    case Reverse():
                        self.door.reverse(txn)
                        break
        except StopIteration:
            pass
        self._close(txn)

    def _close(self, txn: Txn) -> None:
        """The final answer is out, or the client is gone: nothing more is done for this txn."""
        if txn.closed:
            return
        txn.closed = True
        self.choice.closed(txn)
        if txn.run is not None:
            txn.run.close()
            txn.run = None
