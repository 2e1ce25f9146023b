"""The driver of one dispatcher's scheduler: it resumes txns, keeps their timers and calls the transport.

It knows no protocol and makes no decisions. For each group of simultaneous events the transport calls
`set_now`, then one method per event, then `run_pending`, which gives queued txns the workers that have room.
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
    """Runs the lifecycles of one dispatcher's txns over a transport."""

    def __init__(
        self,
        transport: Transport,
        config: SchedulerConfig,
        seed: int,
        now: int,
        gate: AdmissionGate | None = None,
    ) -> None:
        self.transport = transport
        self.now = now
        self.scheduler = Scheduler(config, seed, now, transport, gate)
        self._timers: list[tuple[int, int, Txn, int]] = []
        self._timer_count = 0
        self._wake_at: int | None = None

    def set_now(self, now: int) -> None:
        """Set the time of the events that follow."""
        self.now = now
        self.scheduler.now = now

    def start_txn(self, txn: Txn) -> None:
        """Start the lifecycle of a new txn."""
        txn.lifecycle = self.scheduler.serve(txn)
        self._resume(txn, None)

    def resume_txn(self, txn: Txn, postings: list[Posting]) -> None:
        """Start a txn from before a restart of this process; its earlier postings may still be running."""
        txn.postings += postings
        self.scheduler.adopt_postings(txn)
        self.start_txn(txn)

    def abandon_txn(self, txn: Txn) -> None:
        """Close a txn whose client is gone."""
        self._close(txn)

    def shorten_deadline(self, txn: Txn, by: int) -> None:
        """Move an open txn's deadline forward to `by`, for a shutdown."""
        if not txn.is_closed and txn.shorten_deadline(by):
            self._resume(txn, None)

    def on_posting_ended(
        self,
        posting: Posting,
        outcome: Outcome,
        spent_ticks: int,
        is_final_answer: bool,
        report: LoadReport | None,
    ) -> None:
        """Record a posting's outcome.

        Args:
            posting: the posting, which was in flight until now.
            outcome: how it ended.
            spent_ticks: time since the posting was sent.
            is_final_answer: the transport has answered the client with it, so that the txn is closed.
            report: the load report that came with it.
        """
        posting.outcome = outcome
        posting.ended_at = self.now
        self.scheduler.on_posting_ended(posting, spent_ticks, report)
        if is_final_answer:
            self._close(posting.txn)
        elif not posting.txn.is_closed:
            self._resume(posting.txn, posting)

    def can_begin_posting(self, posting: Posting) -> bool:
        """Return whether the posting may still be sent.

        The transport asks right before the first byte, as things may change while a connection is set up.
        """
        return self.scheduler.can_begin(posting)

    def can_post_after(self, posting: Posting) -> bool:
        """Return whether the txn may be posted again even if this posting has run."""
        return self.now < self.scheduler.postable_until(posting.txn)

    def on_withdrawal_answered(self, posting: Posting, delay_ticks: int) -> None:
        """Record that a worker has answered the withdrawal of a posting, and how long that took."""
        self.scheduler.on_withdrawal_answered(posting, delay_ticks)

    def on_posting_accepted(self, posting: Posting) -> None:
        """Record the worker's acknowledgement of a posting."""
        posting.accepted_at = self.now
        self.scheduler.on_posting_accepted(posting)

    def on_progress(self, posting: Posting, has_started: bool, progress: float) -> None:
        """Record a progress message: whether it says that the run starts now, and the part that is done."""
        posting.last_progress_at = self.now
        if has_started and posting.started_at is None:
            posting.started_at = self.now
        posting.progress = max(posting.progress, progress)
        self.scheduler.on_progress(posting)

    def on_probe_result(
        self, worker: Worker, outcome: Outcome, spent_ticks: int, report: LoadReport | None
    ) -> None:
        """Record the result of a probe."""
        self.scheduler.on_probe_result(worker, outcome, spent_ticks, report)

    def on_connection_broken(self, worker: Worker) -> None:
        """Record that a worker closed a connection that carried no posting."""
        self.scheduler.on_connection_broken(worker)

    def on_list_update(self, update: ListUpdate, workers: Iterable[Worker]) -> None:
        """Pass on an update of the worker list."""
        self.scheduler.on_list_update(update, workers)

    def is_list_settled(self, now: int) -> bool:
        """Return whether the list is valid, or a call for it has failed."""
        return not self.scheduler.is_list_stale(now) or self.scheduler.list_failures > 0

    def on_wakeup(self) -> None:
        """Note that the wake-up that was requested from the transport has come."""
        if self._wake_at is not None and self._wake_at <= self.now:
            self._wake_at = None

    def run_pending(self) -> None:
        """Resume txns whose timers are due, give queued txns free workers, and request the next wake-up."""
        while self._timers and self._timers[0][0] <= self.now:
            _, _, txn, wait_number = heapq.heappop(self._timers)
            if not txn.is_closed and txn.wait_number == wait_number:
                self._resume(txn, None)
        while (grant := self.scheduler.grant_next()) is not None:
            self._resume(*grant)
        next_due = self.scheduler.housekeeping()
        while self._timers and (
            self._timers[0][2].is_closed or self._timers[0][2].wait_number != self._timers[0][3]
        ):
            heapq.heappop(self._timers)
        if self._timers:
            next_due = min(next_due, self._timers[0][0])
        if self._wake_at is None or self._wake_at > next_due:
            self._wake_at = max(next_due, self.now + 1)
            self.transport.wake(self._wake_at - self.now)

    def _resume(self, txn: Txn, result: Any) -> None:
        txn.wait_number += 1
        assert txn.lifecycle is not None
        try:
            while True:
                match txn.lifecycle.send(result):
                    case Wait(until):
                        self._timer_count += 1
                        heapq.heappush(self._timers, (until, self._timer_count, txn, txn.wait_number))
                        return
                    case StartPosting(worker, timeout):
                        result = Posting(txn, worker, len(txn.postings), self.now)
                        txn.postings.append(result)
                        self.transport.post(result, timeout)
                    case CancelPosting(posting):
                        posting.is_cancelled = True
                        self.transport.cancel(posting)
                        result = None
                    case Decline(retry_after, try_elsewhere):
                        self.transport.decline(txn, retry_after, try_elsewhere)
                        break
                    case Reverse():
                        self.transport.reverse(txn)
                        break
        except StopIteration:
            pass
        self._close(txn)

    def _close(self, txn: Txn) -> None:
        """Close a txn that has its final answer or has lost its client."""
        if txn.is_closed:
            return
        txn.is_closed = True
        self.scheduler.on_txn_closed(txn)
        if txn.lifecycle is not None:
            txn.lifecycle.close()
            txn.lifecycle = None
