"""Translates the scheduler's calls (`scheduler_types.AdmissionGate`) into the terms of the fleet's gate.

It reads the scheduler's state and writes one thing only: a suspect worker whose trial is refused is closed
for a moment. A request is identified everywhere by its tenant, its affinity key (its hint and size where it
has none) and its class, by the numbers of the configuration. Workers share a few budgets by the lot that is
drawn from their names. List calls take from no budget: rule 3 needs no other dispatcher.

`scheduler.py` calls the four methods of `scheduler_types.AdmissionGate`, whose names are that protocol's.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from pathsaddle.fleet.overload.admission_gate import AdmissionVerdict, OverloadGate
from pathsaddle.fleet.overload.retry_budgets import BudgetKind, budget_kind
from pathsaddle.fleet.overload.shed_rank import AdmissionRequest
from pathsaddle.scheduler_types import SECOND, ListedState, Txn, Worker

if TYPE_CHECKING:
    from pathsaddle.scheduler import Scheduler

MAX_OPEN_VERDICTS = 4096  # rejections whose advice was not yet asked for
# Groups of workers, each with budgets of its own: a configuration names budgets before it knows any worker.
WORKER_GROUPS = 4
REFUSED_TRIAL_PAUSE_TICKS = SECOND // 10  # the worker would rank first again at once
LOST_WORK_SHARE = 0.5  # of a run: what an attempt that may have run is taken to have spent


def worker_group(worker: Worker) -> str:
    """Return whose budgets a worker uses, alike at all members.

    Workers of one group are together limited by what limits each of them.
    """
    return f"w{worker.name_hash % WORKER_GROUPS}"


class SchedulerAdmissionGate:
    """Implements `scheduler_types.AdmissionGate`.

    Attributes:
        core: This member's gate; whoever carries records feeds and asks it directly.
        update_due: The tick of the next update.
        verdicts: Rejections by request, until the advice is asked for.
    """

    def __init__(self, core: OverloadGate) -> None:
        self.core = core
        self.update_due = 0
        self.verdicts: dict[Txn, AdmissionVerdict] = {}

    def admission_request(self, txn: Txn, choice: Scheduler) -> AdmissionRequest:
        """Return what the gate has to know of a request."""
        run_ticks = choice.run_time_of(txn)
        key = txn.key if txn.key is not None else f"{txn.hint} {txn.slots} {txn.memory}"
        lost_slot_ticks = run_ticks * txn.slots * LOST_WORK_SHARE
        return AdmissionRequest(
            tenant=str(txn.customer.index) if txn.customer is not None else "",
            key=key,
            request_class=str(txn.scheme.index),
            value=choice.value_of(txn),
            late_share=txn.scheme.late_value,
            work_slot_ticks=run_ticks * txn.slots,
            time_left_ticks=choice.in_time_until(txn) + int(run_ticks) - choice.now,
            run_ticks=int(run_ticks),
            spent_slot_ticks=sum(lost_slot_ticks for attempt in txn.postings if attempt.may_have_run),
            is_retry=txn.is_retry,
        )

    def observe_workers(self, choice: Scheduler) -> None:
        """Hand the core what the scheduler believes of the workers."""
        states = [
            state for state in choice.workers.values() if state.worker.listed_state is ListedState.READY
        ]
        slots = {state: state.slot_count or choice.min_slot_count for state in states}
        # A worker that only this member can't reach counts whole: the others are served by it, and queues
        # show a sum that is too high.
        capacity_slots = sum(size / state.pace for state, size in slots.items())
        fresh = [
            (slots[state], choice.free_slots(state))
            for state in states
            if choice.now - state.reported_at < SECOND
        ]
        fresh_slots = sum(size for size, _ in fresh)
        idle_share = queue_per_slot = 0.0
        if fresh_slots:
            idle_share = sum(min(size, max(0.0, free)) for size, free in fresh) / fresh_slots
            queue_per_slot = sum(max(0.0, -free) for _, free in fresh) / fresh_slots
        queue_per_slot += len(choice.waiting) / max(1.0, sum(slots.values()) * self.core.member_share)
        self.core.observe_workers(capacity_slots, idle_share, queue_per_slot)
        self.core.rejection_rate = min(1.0, choice.rejection_level())

    def update_if_due(self, choice: Scheduler) -> None:
        """Update the core where its next update is due."""
        if choice.now >= self.update_due:
            self.observe_workers(choice)
            self.update_due = self.core.update(choice.now)

    # trade.Gate.

    def admits(self, txn: Txn, choice: Scheduler) -> bool:
        """Return whether the request may have its first attempt.

        Rule 2 comes first: a request that has been sent may have run, and is the scheduler's alone from then
        on.
        """
        if txn.postings:
            return True
        self.update_if_due(choice)
        verdict = self.core.admit(self.admission_request(txn, choice), choice.now)
        if not verdict.is_admitted:
            self.verdicts[txn] = verdict
            if len(self.verdicts) > MAX_OPEN_VERDICTS:
                del self.verdicts[next(iter(self.verdicts))]
        return verdict.is_admitted

    def permits_posting(self, txn: Txn, worker: Worker, choice: Scheduler) -> bool:
        """Return whether this attempt may go to this worker now; if so, it counts as sent."""
        kind = budget_kind(bool(txn.postings), choice.workers[worker].is_suspect)
        if kind is None or self.core.try_acquire(kind, worker_group(worker), choice.now):
            return True
        if kind is BudgetKind.TRIAL:
            choice.workers[worker].ejected_until = choice.now + REFUSED_TRIAL_PAUSE_TICKS
        return False

    def can_probe(self, worker: Worker, choice: Scheduler) -> bool:
        """Return whether this worker may be probed now; if so, it counts as sent."""
        return self.core.try_acquire(BudgetKind.LOOK, worker_group(worker), choice.now)

    def retry_after(self, txn: Txn, choice: Scheduler) -> int:
        """Return the ticks that the client of a rejected request is told to wait; 0: no advice.

        A wait beyond the longest that the deployment allows is not told either: cut down to it, all would be
        told the same.
        """
        verdict = self.verdicts.pop(txn, None)
        if verdict is not None:
            wait_ticks = verdict.retry_after_ticks
        else:
            wait_ticks = self.core.advise_retry(self.admission_request(txn, choice), choice.now)
        return wait_ticks if wait_ticks <= choice.max_retry_after else 0
