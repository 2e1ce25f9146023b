"""The plain types that the decisions, the loop and every door share.

Times are whole tenths of a millisecond. Objects point to each other; a door that speaks a protocol keeps
its ids in `tag` fields, and nobody but that door reads them.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

MILLISECOND = 10
SECOND = 10_000
# The list's clock, as the operators' protocol has it: a watch says something every 2 s; what one that has fallen silent
# misses counts as told LIST_TOLD later, whether or not it ever comes. docs/fleet.md reckons the sum.
LIST_SILENCE_TIMEOUT = (
    3 * SECOND
)  # without a line, after which a watch, and a call for one, is taken for dead
LIST_NOTIFIED_AFTER = 6 * SECOND
LIST_ANSWER_TIMEOUT = 3 * SECOND // 2  # of that, what the call that asks again may take until it is answered
LIST_TIMER_SLACK = (
    SECOND // 10
)  # and what timers, turns of the event loop and the way of a first byte may take
LIST_VALIDITY = LIST_NOTIFIED_AFTER - LIST_TIMER_SLACK
LIST_VALIDITY_AFTER_MOVE = (
    4 * SECOND - LIST_TIMER_SLACK
)  # after which what the place that we were moved to tells counts as told


class Semantics(Enum):
    REPEATABLE = "may run again"
    REFERENCED = "carries a mark by which a group of workers knows a repeat"
    ONCE_ONLY = "must never run twice"


class DeduplicationGroup(Enum):
    """The workers that drop a referenced txn's repeats together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How a posting ended."""

    SETTLED = "settled"
    ERROR = "the worker answered with an error"
    UNUSABLE = "the worker says that the call itself is none"
    FULL = "turned away unseen"
    TIMED_OUT = "no answer in time"
    UNCONNECTED = "no connection"
    RESET = "connection lost"
    CANCELLED = "cancelled"
    MOOT = "never sent"

    @property
    def never_ran(self) -> bool:
        return self in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT)


class ListedState(Enum):
    """What the list says of a worker."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListUpdate(Enum):
    """What kind of word came from the list."""

    CHANGES = "changed entries only"
    WHOLE = "the complete list"
    REMEMBERED = "the complete list as last held, maybe out of date"
    FAILED = "a call failed or the subscription broke"
    SILENT = (
        "nothing came on a subscription for LIST_SILENCE_TIMEOUT, or since the call for it: taken for dead"
    )
    MOVED = "it is to be had elsewhere from now on"


@dataclass(slots=True, eq=False)
class Scheme:
    """A kind of txn: what it is worth, how long it may take, how often it may run."""

    index: int
    semantics: Semantics
    sla_time: int
    expiry: int
    value: float
    late_value: float
    stretch: float
    group: DeduplicationGroup
    window: int
    machine: int | None = None


@dataclass(slots=True, eq=False)
class Customer:
    index: int
    quota_rate: float  # txns a second within its share, over all dispatchers; 0 where none is set
    traffic_share: float


@dataclass(slots=True, eq=False)
class Worker:
    """A worker as the list describes it."""

    tag: str
    zone: int = 0
    cell: int = 0
    machine: int = 0
    weight: float = 1.0
    started_at: int | None = None  # when its process last started; None: long ago
    listed_state: ListedState = ListedState.READY
    name_hash: int = 0  # a number drawn from its name, alike at every dispatcher
    is_known_draining: bool = False  # we were told that it drains, and not since that it is ready

    def __post_init__(self) -> None:
        self.is_known_draining = self.listed_state is ListedState.DRAINING

    def update_from(self, row: Worker) -> None:
        """The object stays the same for as long as we live; the list's rows only say what changed."""
        self.zone, self.cell, self.machine = row.zone, row.cell, row.machine
        self.weight, self.started_at, self.listed_state = row.weight, row.started_at, row.listed_state
        self.is_known_draining = self.listed_state is not ListedState.READY and (
            self.is_known_draining or row.is_known_draining
        )

    def can_receive_postings(self, dropped_stay_open: bool) -> bool:
        """Rule 3: whether something new may go there by the list. Where the settings say that dropped workers
        stay open, a draining that was told binds alone, also after it is listed as gone or left out.
        """
        return self.listed_state is ListedState.READY or (
            dropped_stay_open and self.listed_state is ListedState.GONE and not self.is_known_draining
        )


@dataclass(slots=True)
class LoadReport:
    """A worker's word on its load; None where the site's reports leave a figure out."""

    free_slots: float | None = None
    queued_jobs: float | None = None
    held_slots: float | None = None
    error_rate: float | None = None
    request_rate: float | None = None


@dataclass(slots=True, eq=False)
class Txn:
    tag: str
    scheme: Scheme
    customer: Customer | None
    arrived_at: int
    expires_at: int  # the last moment for its final answer
    hint: int | None = None
    slots: float = 1.0
    memory: float | None = None
    key: str | None = None  # what it is about; a worker keeps the data of the last few keys that it served
    is_retry: bool = False
    postings: list[Posting] = field(default_factory=list)
    is_closed: bool = False
    is_deadline_shortened: bool = False  # its expiry was brought forward, since we are to end
    lifecycle: Generator[Action, Any, None] | None = None
    queue_entry: tuple[tuple[float, int], int, Txn] | None = None  # where it stands among the held
    first_seen_at: int = 0  # when its client first asked, as far as we know
    retry_fingerprint: tuple[Any, ...] = ()  # what its client's next try would have in common with it
    unused_share: float = 0.0  # what part of its customer's share for the moment was left as it came
    key_workers_full_until: int = 0  # all keepers of its key have turned us away: until when that holds
    key_worker_count: float = 0.0  # how many workers its key's part of the traffic fills
    is_over_share: bool = False  # beyond its customer's share
    work_type: Any = None  # its type and work, to the design
    work: int = 1
    slack_ratio: float = 1.0  # time left over time needed, as of this scan
    probed_workers: list[Any] = field(
        default_factory=list
    )  # what its last look asked, and until when that counts
    probes_valid_until: int = 0
    probe_rounds: int = 0
    wait_number: int = 0  # which of its waits is the current one; a timer of an older one is stale

    def shorten_deadline(self, by: int) -> bool:
        """Whether its final answer is due earlier by this, since we are to end."""
        if by >= self.expires_at:
            return False
        self.expires_at, self.is_deadline_shortened = by, True
        return True


@dataclass(slots=True, eq=False)
class Posting:
    txn: Txn
    worker: Worker
    number: int
    sent_at: int
    outcome: Outcome | None = None
    ended_at: int = 0
    started_at: int | None = None
    accepted_at: int | None = None  # when the worker said that it has it, where workers say so
    last_progress_at: int | None = None  # the last sign of life
    progress: float = 0.0
    work: int = 0
    is_cancelled: bool = False
    worker_started_at: int | None = None  # the worker's start, as listed when it was decided

    @property
    def is_in_flight(self) -> bool:
        return self.outcome is None

    @property
    def may_have_run(self) -> bool:
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True, frozen=True)
class StartPosting:
    """Send the txn to a worker; the txn is resumed at once with its Posting."""

    worker: Worker
    timeout: int


@dataclass(slots=True, frozen=True)
class CancelPosting:
    """Stop waiting on a posting; its outcome still comes."""

    posting: Posting


@dataclass(slots=True, frozen=True)
class Wait:
    """Resumed with a Posting that has news, with a Worker that has room, or with None at `until`."""

    until: int


@dataclass(slots=True, frozen=True)
class Decline:
    """Final answer: not done, and trying again is harmless."""

    retry_after: int = 0
    try_elsewhere: bool = False  # only our own end is in its way: its client had better not come back here


@dataclass(slots=True, frozen=True)
class Reverse:
    """Final answer: it failed, and nothing is promised of its effect."""


Action = StartPosting | CancelPosting | Wait | Decline | Reverse


class Transport(Protocol):
    """What a protocol offers the dispatcher behind it."""

    def post(self, posting: Posting, within: int) -> None: ...

    def cancel(self, posting: Posting) -> None: ...

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None: ...

    def reverse(self, txn: Txn) -> None: ...

    def probe(self, worker: Worker) -> None: ...

    def subscribe(self) -> None: ...

    def wake(self, delay: int) -> None: ...

    def note(self, text: str) -> None: ...


class AdmissionGate(Protocol):
    """What the fleet says of what one dispatcher would do; `choice` is the one who asks. None stands for it alone."""

    def admits(self, txn: Txn, choice: Any) -> bool:
        """Whether its first posting may be looked for; a txn that has one is in."""

    def permits_posting(self, txn: Txn, worker: Worker, choice: Any) -> bool:
        """Whether this posting may go there now: asked just before, and taken as sent if so."""

    def can_probe(self, worker: Worker, choice: Any) -> bool: ...

    def retry_after(self, txn: Txn, choice: Any) -> int:
        """What its client is advised, ticks; 0: nothing."""


@dataclass(slots=True)
class SchedulerConfig:
    """What a dispatcher is told at its start. The decisions turn it into what they use and let it go."""

    schemes: list[Scheme]
    customers: list[Customer]
    dispatchers: int
    number: int  # ours among them, from 0
    zone: int
    tick: int
    list_needs_subscription: bool  # the list speaks only when asked for
    list_poll_interval: int
    answer_slack: int
    drain_grace: int
    slow_start_share: float
    slow_start_time: int
    overload_multiple: float
    overload_window: int
    max_postings: int
    allows_hedging: bool
    can_cancel: bool
    can_probe: bool
    max_retry_after: int  # 0 where clients take no advice
    progress_interval: int  # 0 where workers send no progress
    reports_start: bool
    over_share_value: float
    value_by_work: bool
    price_cross: float
    price_probe: float
    price_waste: float
    price_late: float
    price_handshake: float
    reports_in_answers: bool
    reports_in_probes: bool
    allows_backfill: bool = (
        False  # a worker starts whatever fits first, so that a wide job waits until it is empty
    )
    delisted_workers_usable: bool = (
        False  # a worker listed as gone, or left out, without draining may be posted to
    )
    max_open_txns: int = 1 << 60  # txns that we can hold open at once
    is_list_pushed: bool = False  # the list comes to an agent of ours by itself: what that has counts as told
    has_watch_heartbeats: bool = (
        False  # an open watch says at least every 2 s that nothing has changed: word stands no longer
    )
