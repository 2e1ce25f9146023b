"""One tiny host for every story: it keeps what the loop orders and plays the workers' part."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from pathsaddle.scheduler_driver import Loop
from pathsaddle.scheduler_types import (
    SECOND,
    Customer,
    Group,
    ListNews,
    Outcome,
    Posting,
    Report,
    Scheme,
    Semantics,
    Standing,
    Terms,
    Txn,
    Worker,
)

REPEATABLE, REFERENCED, ONCE_ONLY = Semantics.REPEATABLE, Semantics.REFERENCED, Semantics.ONCE_ONLY


# As the configuration of a dispatcher on sockets gives it.
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


def scheme(semantics: Semantics = REPEATABLE, **more: object) -> Scheme:
    given = dict(  # noqa: C408  # reads like the call that it is for
        index=0,
        semantics=semantics,
        sla_time=SECOND,
        expiry=10 * SECOND,
        value=1.0,
        late_value=0.0,
        stretch=1.25,
        group=Group.ALL,
        window=5 * SECOND,
    )
    return Scheme(**{**given, **more})  # type: ignore[arg-type]


class FakeHost:
    """A door that writes down what it is asked, and a clock."""

    def __init__(
        self,
        *schemes: Scheme,
        workers: int = 2,
        customers: list[Customer] | None = None,
        news: ListNews = ListNews.WHOLE,
        seed: int = 7,
        **terms: object,
    ) -> None:
        given = dict(  # noqa: C408  # reads like the call that it is for
            schemes=list(schemes) or [scheme()],
            customers=customers or [],
            dispatchers=1,
            number=0,
            zone=0,
            tick=20,
            must_ask=False,
            ask_within=10 * SECOND,
            answer_slack=80,
            drain_grace=5000,
            cold_share=0.3,
            cold_time=9 * SECOND,
            fall_multiple=4.0,
            fall_time=2 * SECOND,
            max_postings=4,
            two_at_once=True,
            may_cancel=True,
            may_probe=False,
            come_back_most=0,
            progress_every=2 * SECOND,
            tells_start=False,
            over_share=0.1,
            value_by_work=False,
            price_cross=0.0,
            price_probe=0.0,
            price_waste=0.0,
            price_late=0.0,
            price_handshake=0.0,
            reports_in_answers=True,
            reports_in_probes=True,
        )
        self.terms = Terms(**{**given, **terms})  # type: ignore[arg-type]
        self.now = 100 * SECOND
        self.posted: list[Posting] = []
        self.answers: dict[str, list[str]] = {}
        self.cancelled: list[Posting] = []
        self.sent_on: list[str] = []
        self.probes: list[Worker] = []
        self.subscribed = 0
        self.alarm: int | None = None
        self.workers = [Worker(f"w{i}") for i in range(workers)]
        self.loop = Loop(self, self.terms, seed, self.now)
        self.loop.at(self.now)
        self.loop.listed(news, self.workers)
        self.loop.turn()

    def post(self, posting: Posting, within: int) -> None:
        assert not posting.txn.closed, "posted after the final answer"
        self.posted.append(posting)

    def cancel(self, posting: Posting) -> None:
        self.cancelled.append(posting)

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        if elsewhere:
            self.sent_on.append(txn.tag)
        self.answers.setdefault(txn.tag, []).append("declined")

    def reverse(self, txn: Txn) -> None:
        self.answers.setdefault(txn.tag, []).append("reversed")

    def probe(self, worker: Worker) -> None:
        self.probes.append(worker)

    def subscribe(self) -> None:
        self.subscribed += 1

    def wake(self, delay: int) -> None:
        self.alarm = self.now + delay

    def note(self, text: str) -> None:
        pass

    # The story's side.

    def ask(self, tag: str, of: int = 0, lasts: int | None = None, **more: object) -> Txn:
        asked = self.terms.schemes[of]
        txn = Txn(
            tag,
            asked,
            more.pop("customer", None),
            self.now,  # type: ignore[arg-type]
            self.now + (lasts or asked.expiry),
            **more,
        )  # type: ignore[arg-type]
        self.loop.at(self.now)
        self.loop.arrive(txn)
        self.loop.turn()
        return txn

    def end(self, posting: Posting, outcome: Outcome = Outcome.SETTLED, report: Report | None = None) -> None:
        self.loop.at(self.now)
        done = outcome is Outcome.SETTLED
        if done:
            self.answers.setdefault(posting.txn.tag, []).append("settled")
        self.loop.ended(posting, outcome, self.now - posting.sent, done, report)
        self.loop.turn()

    def take(self, posting: Posting) -> None:
        self.loop.at(self.now)
        self.loop.taken(posting)

    def tell(self, worker: Worker, report: Report | None, outcome: Outcome = Outcome.SETTLED) -> None:
        """What a look at a worker finds."""
        self.loop.at(self.now)
        self.loop.probed(worker, outcome, 10, report)
        self.loop.turn()

    def list(self, news: ListNews, *workers: Worker) -> None:
        self.loop.at(self.now)
        self.loop.listed(news, workers)
        self.loop.turn()

    def standing(self, worker: Worker, standing: Standing) -> None:
        worker.follows(replace(worker, standing=standing))
        self.list(ListNews.CHANGES, worker)

    def start(self, posting: Posting) -> None:
        self.loop.at(self.now)
        self.loop.news(posting, True, 0.0)
        self.loop.turn()

    def progress(self, posting: Posting, level: float = 0.1) -> None:
        self.loop.at(self.now)
        self.loop.news(posting, False, level)
        self.loop.turn()

    def passes(self, time: int) -> None:
        """Let time pass, waking the loop whenever it asked to be woken."""
        until = self.now + time
        while self.alarm is not None and self.alarm <= until:
            self.now, self.alarm = self.alarm, None
            self.loop.at(self.now)
            self.loop.woken()
            self.loop.turn()
        self.now = until


def full(waiting: float = 1.0) -> Report:
    return Report(free=0.0, waiting=waiting, held=2.0 + waiting)


def idle(free: float = 2.0) -> Report:
    return Report(free=free, waiting=0.0, held=2.0 - free)
