"""Drives one dispatcher: resumes txns, keeps timers, turns their orders into calls on a door.

It knows no protocol and decides nothing. A door calls `at(now)` before each group of events that share a
moment, then one method per event, then `turn()`, which lets held txns have the room that has shown.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any

from pathsaddle.scheduler import Scheduler
from pathsaddle.scheduler_types import (
    AdmissionGate,
    CancelPosting,
    Decline,
    ListUpdate,
    LoadReport,
    Outcome,
    Posting,
    Reverse,
    SchedulerConfig,
    StartPosting,
    Transport,
    Txn,
    Wait,
    Worker,
)


class SchedulerDriver:
    def __init__(
        self, door: Transport, terms: SchedulerConfig, seed: int, now: int, gate: AdmissionGate | None = None
    ) -> None:
        self.transport = door
        self.now = now
        self.scheduler = Scheduler(terms, seed, now, door, gate)
        self._timers: list[tuple[int, int, Txn, int]] = []
        self._order = 0
        self._wake: int | None = None

    def set_now(self, now: int) -> None:
        self.now = now
        self.scheduler.now = now

    def start_txn(self, txn: Txn) -> None:
        txn.lifecycle = self.scheduler.serve(txn)
        self._resume(txn, None)

    def resume_txn(self, txn: Txn, postings: list[Posting]) -> None:
        """A txn from before our own restart; what was posted for it then may still run."""
        txn.postings += postings
        self.scheduler.adopt_postings(txn)
        self.start_txn(txn)

    def abandon_txn(self, txn: Txn) -> None:
        self._close(txn)

    def shorten_deadline(self, txn: Txn, by: int) -> None:
        """We are to end: its final answer is due by then, however long its client would wait."""
        if not txn.is_closed and txn.shorten_deadline(by):
            self._resume(txn, None)

    def on_posting_ended(
        self, posting: Posting, outcome: Outcome, spent: int, closes: bool, report: LoadReport | None
    ) -> None:
        posting.outcome = outcome
        posting.ended_at = self.now
        self.scheduler.on_posting_ended(posting, spent, report)
        if closes:
            self._close(posting.txn)
        elif not posting.txn.is_closed:
            self._resume(posting.txn, posting)

    def can_begin_posting(self, posting: Posting) -> bool:
        """Asked right before its first byte: what it was decided on may have passed while a connection came up."""
        return self.scheduler.can_begin(posting)

    def on_posting_accepted(self, posting: Posting) -> None:
        posting.accepted_at = self.now
        self.scheduler.on_posting_accepted(posting)

    def on_progress(self, posting: Posting, started: bool, level: float) -> None:
        posting.last_progress_at = self.now
        if started and posting.started_at is None:
            posting.started_at = self.now
        posting.progress = max(posting.progress, level)
        self.scheduler.on_progress(posting)

    def on_probe_result(
        self, worker: Worker, outcome: Outcome, spent: int, report: LoadReport | None
    ) -> None:
        self.scheduler.on_probe_result(worker, outcome, spent, report)

    def on_connection_broken(self, worker: Worker) -> None:
        """A connection to it, no posting's, was ended from over there."""
        self.scheduler.on_connection_broken(worker)

    def on_list_update(self, news: ListUpdate, workers: Iterable[Worker]) -> None:
        self.scheduler.on_list_update(news, workers)

    def is_list_settled(self, now: int) -> bool:
        """Whether the list is sure, or has been called for in vain."""
        return not self.scheduler.is_list_stale(now) or self.scheduler.list_failures > 0

    def on_wakeup(self) -> None:
        if self._wake is not None and self._wake <= self.now:
            self._wake = None

    def run_pending(self) -> None:
        while self._timers and self._timers[0][0] <= self.now:
            _, _, txn, pending = heapq.heappop(self._timers)
            if not txn.is_closed and txn.wait_number == pending:
                self._resume(txn, None)
        while (grant := self.scheduler.grant_next()) is not None:
            self._resume(*grant)
        nearest = self.scheduler.housekeeping()
        while self._timers and (
            self._timers[0][2].is_closed or self._timers[0][2].wait_number != self._timers[0][3]
        ):
            heapq.heappop(self._timers)
        if self._timers:
            nearest = min(nearest, self._timers[0][0])
        if self._wake is None or self._wake > nearest:
            self._wake = max(nearest, self.now + 1)
            self.transport.wake(self._wake - self.now)

    def _resume(self, txn: Txn, result: Any) -> None:
        txn.wait_number += 1
        assert txn.lifecycle is not None
        try:
            while True:
                match txn.lifecycle.send(result):
                    case Wait(until):
                        self._order += 1
                        heapq.heappush(self._timers, (until, self._order, txn, txn.wait_number))
                        return
                    case StartPosting(worker, within):
                        result = Posting(txn, worker, len(txn.postings), self.now)
                        txn.postings.append(result)
                        self.transport.post(result, within)
                    case CancelPosting(posting):
                        posting.is_cancelled = True
                        self.transport.cancel(posting)
                        result = None
                    case Decline(come_back, elsewhere):
                        self.transport.decline(txn, come_back, elsewhere)
                        break
                    case Reverse():
                        self.transport.reverse(txn)
                        break
        except StopIteration:
            pass
        self._close(txn)

    def _close(self, txn: Txn) -> None:
        """The final answer is out, or the client is gone: nothing more is done for this txn."""
        if txn.is_closed:
            return
        txn.is_closed = True
        self.scheduler.on_txn_closed(txn)
        if txn.lifecycle is not None:
            txn.lifecycle.close()
            txn.lifecycle = None
