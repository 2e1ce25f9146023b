"""A fake transport for scheduler tests: it records what the driver requests and plays the workers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from pathsaddle.scheduler_driver import SchedulerDriver
from pathsaddle.scheduler_types import (
    SECOND,
    Customer,
    DeduplicationGroup,
    ListedState,
    ListUpdate,
    LoadReport,
    Outcome,
    Posting,
    SchedulerConfig,
    Scheme,
    Semantics,
    Txn,
    Worker,
)

REPEATABLE, REFERENCED, ONCE_ONLY = Semantics.REPEATABLE, Semantics.REFERENCED, Semantics.ONCE_ONLY


# The settings of a dispatcher on sockets, in the form of its configuration.
SETTINGS: dict[str, Any] = {
    "Azs": ["a", "b"],
    "Balancers": 1,
    "Discovery": "automatic",
    "Kinds": ["m1", "m2"],
    "Period": 2_000_000,
    "Customers": [{"AllowancePerS": 50.0, "Name": "acme", "Portion": 1.0}],
    "Limits": {
        "Cancelling": True,
        "ConnectTimeout": 250_000_000,
        "IdleClose": 2_000_000_000,
        "MaxPostings": 4,
        "MaxRetryAfter": 2_000_000_000,
        "MayDuplicate": True,
        "Probing": True,
        "RetryAfter": True,
    },
    "Obligations": {
        "AskEvery": 10_000_000_000,
        "ColdShare": 0.3,
        "DrainGrace": 500_000_000,
        "Fall": 2_000_000_000,
        "FallMultiple": 4.0,
        "RampTime": 9_000_000_000,
    },
    "Report": {"Fields": ["x0", "waiting", "active"], "Source": "answers"},
    "Schemes": [
        {
            "Expiry": 10_000_000_000,
            "Name": "render",
            "Semantics": "safe",
            "SlaTime": 2_000_000_000,
            "Value": 1.0,
        },
        {
            "Expiry": 10_000_000_000,
            "Name": "charge",
            "Semantics": "unsafe",
            "SlaTime": 2_000_000_000,
            "Value": 1.0,
        },
    ],
}


def scheme(semantics: Semantics = REPEATABLE, **overrides: object) -> Scheme:
    defaults = dict(  # noqa: C408  # shaped like the constructor call
        index=0,
        semantics=semantics,
        sla_time=SECOND,
        expiry=10 * SECOND,
        value=1.0,
        late_value=0.0,
        stretch=1.25,
        group=DeduplicationGroup.ALL,
        window=5 * SECOND,
    )
    return Scheme(**{**defaults, **overrides})  # type: ignore[arg-type]


class FakeHost:
    """A transport that records every request, with a clock that the test moves."""

    def __init__(
        self,
        *schemes: Scheme,
        workers: int = 2,
        customers: list[Customer] | None = None,
        news: ListUpdate = ListUpdate.COMPLETE,
        seed: int = 7,
        **config: object,
    ) -> None:
        defaults = dict(  # noqa: C408  # shaped like the constructor call
            schemes=list(schemes) or [scheme()],
            customers=customers or [],
            dispatchers=1,
            number=0,
            zone=0,
            tick=20,
            list_needs_subscription=False,
            list_poll_interval=10 * SECOND,
            answer_slack=80,
            drain_grace=5000,
            slow_start_share=0.3,
            slow_start_time=9 * SECOND,
            overload_multiple=4.0,
            overload_window=2 * SECOND,
            max_postings=4,
            allows_hedging=True,
            can_cancel=True,
            can_probe=False,
            max_retry_after=0,
            progress_interval=2 * SECOND,
            reports_start=False,
            over_share_value=0.1,
            value_by_work=False,
            price_cross=0.0,
            price_probe=0.0,
            price_waste=0.0,
            price_late=0.0,
            price_handshake=0.0,
            reports_in_answers=True,
            reports_in_probes=True,
        )
        self.terms = SchedulerConfig(**{**defaults, **config})  # type: ignore[arg-type]
        self.now = 100 * SECOND
        self.posted: list[Posting] = []
        self.answers: dict[str, list[str]] = {}
        self.cancelled: list[Posting] = []
        self.sent_on: list[str] = []
        self.probes: list[Worker] = []
        self.subscribed = 0
        self.alarm: int | None = None
        self.workers = [Worker(f"w{i}") for i in range(workers)]
        self.loop = SchedulerDriver(self, self.terms, seed, self.now)
        self.loop.set_now(self.now)
        self.loop.on_list_update(news, self.workers)
        self.loop.run_pending()

    def post(self, posting: Posting, timeout_ticks: int) -> None:
        assert not posting.txn.is_closed, "posted after the final answer"
        self.posted.append(posting)

    def cancel(self, posting: Posting) -> None:
        self.cancelled.append(posting)

    def decline(self, txn: Txn, retry_after_ticks: int, try_elsewhere: bool) -> None:
        if try_elsewhere:
            self.sent_on.append(txn.tag)
        self.answers.setdefault(txn.tag, []).append("declined")

    def reverse(self, txn: Txn) -> None:
        self.answers.setdefault(txn.tag, []).append("reversed")

    def probe(self, worker: Worker) -> None:
        self.probes.append(worker)

    def subscribe(self) -> None:
        self.subscribed += 1

    def wake(self, delay_ticks: int) -> None:
        self.alarm = self.now + delay_ticks

    def note(self, text: str) -> None:
        pass

    # Events that a test triggers.

    def ask(self, tag: str, of: int = 0, lasts: int | None = None, **overrides: object) -> Txn:
        scheme = self.terms.schemes[of]
        txn = Txn(
            tag,
            scheme,
            overrides.pop("customer", None),  # type: ignore[arg-type]
            self.now,
            self.now + (lasts or scheme.expiry),
            **overrides,  # type: ignore[arg-type]
        )
        self.loop.set_now(self.now)
        self.loop.start_txn(txn)
        self.loop.run_pending()
        return txn

    def end(
        self, posting: Posting, outcome: Outcome = Outcome.SETTLED, report: LoadReport | None = None
    ) -> None:
        self.loop.set_now(self.now)
        is_settled = outcome is Outcome.SETTLED
        if is_settled:
            self.answers.setdefault(posting.txn.tag, []).append("settled")
        self.loop.on_posting_ended(posting, outcome, self.now - posting.sent_at, is_settled, report)
        self.loop.run_pending()

    def take(self, posting: Posting) -> None:
        self.loop.set_now(self.now)
        self.loop.on_posting_accepted(posting)

    def tell(self, worker: Worker, report: LoadReport | None, outcome: Outcome = Outcome.SETTLED) -> None:
        """Deliver the result of a probe."""
        self.loop.set_now(self.now)
        self.loop.on_probe_result(worker, outcome, 10, report)
        self.loop.run_pending()

    def list(self, update: ListUpdate, *workers: Worker) -> None:
        self.loop.set_now(self.now)
        self.loop.on_list_update(update, workers)
        self.loop.run_pending()

    def standing(self, worker: Worker, state: ListedState) -> None:
        worker.update_from(replace(worker, listed_state=state))
        self.list(ListUpdate.CHANGES, worker)

    def start(self, posting: Posting) -> None:
        self.loop.set_now(self.now)
        self.loop.on_progress(posting, True, 0.0)
        self.loop.run_pending()

    def progress(self, posting: Posting, progress: float = 0.1) -> None:
        self.loop.set_now(self.now)
        self.loop.on_progress(posting, False, progress)
        self.loop.run_pending()

    def passes(self, ticks: int) -> None:
        """Advance the clock, waking the driver whenever it has requested that."""
        until = self.now + ticks
        while self.alarm is not None and self.alarm <= until:
            self.now, self.alarm = self.alarm, None
            self.loop.set_now(self.now)
            self.loop.on_wakeup()
            self.loop.run_pending()
        self.now = until


def full(queued_jobs: float = 1.0) -> LoadReport:
    return LoadReport(free_slots=0.0, queued_jobs=queued_jobs, held_slots=2.0 + queued_jobs)


def idle(free_slots: float = 2.0) -> LoadReport:
    return LoadReport(free_slots=free_slots, queued_jobs=0.0, held_slots=2.0 - free_slots)
