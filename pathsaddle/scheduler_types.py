"""Plain types shared by the scheduler, its driver and the transports.

Times are whole ticks (tenths of a millisecond). Objects refer to each other directly; a transport keeps the
ids of its protocol in `tag` fields, which only that transport reads.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

MILLISECOND = 10
SECOND = 10_000
# Timing of the worker list, from the operators' protocol. A watch sends a line at least every 2 s. A change
# that a silent watch missed counts as delivered to this dispatcher after LIST_NOTIFIED_AFTER, whether or not
# it has arrived. docs/fleet.md derives how the other times add up to this one.
LIST_SILENCE_TIMEOUT = 3 * SECOND  # a watch, or a call for one, is broken after this time without a line
LIST_NOTIFIED_AFTER = 6 * SECOND
LIST_ANSWER_TIMEOUT = 3 * SECOND // 2  # part of LIST_NOTIFIED_AFTER: for the answer to a repeated call
LIST_TIMER_SLACK = SECOND // 10  # for late timers, event loop iterations and the latency of the first byte
LIST_VALIDITY = LIST_NOTIFIED_AFTER - LIST_TIMER_SLACK
# After a redirect, a change that the new address knows counts as delivered to this dispatcher 4 s later.
LIST_VALIDITY_AFTER_MOVE = 4 * SECOND - LIST_TIMER_SLACK


class Semantics(Enum):
    """Whether a txn may run more than once."""

    REPEATABLE = "may run again"
    REFERENCED = "carries a key by which a group of workers recognizes a repeat"
    ONCE_ONLY = "must never run twice"


class DeduplicationGroup(Enum):
    """The set of workers that deduplicate a referenced txn's repeats among themselves."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How a posting ended."""

    SETTLED = "settled"
    ERROR = "the worker answered with an error"
    UNUSABLE = "the worker rejected the call as invalid"
    FULL = "rejected unread because the worker is full"
    TIMED_OUT = "no answer in time"
    UNCONNECTED = "no connection"
    RESET = "connection lost"
    CANCELLED = "cancelled"
    MOOT = "never sent"

    @property
    def never_ran(self) -> bool:
        """Whether the worker certainly did not run the posting."""
        return self in (Outcome.FULL, Outcome.UNCONNECTED, Outcome.MOOT)


class ListedState(Enum):
    """A worker's state in the worker list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListUpdate(Enum):
    """The kind of an update from the worker list."""

    CHANGES = "changed entries only"
    COMPLETE = "the complete list"
    CACHED = "the complete list from a cache, possibly out of date"
    FAILED = "a call failed or the subscription broke"
    SILENT = "nothing arrived on a subscription, or after the call for one, for LIST_SILENCE_TIMEOUT"
    REDIRECTED = "the list is served at another address from now on"


@dataclass(slots=True, eq=False)
class Scheme:
    """A class of txns: their value, their deadlines, and whether they may run again."""

    index: int
    semantics: Semantics
    sla_time: int
    expiry: int
    value: float
    late_value: float  # factor on `value` after the SLA time; 0: a late answer is worth nothing
    stretch: float  # multiple of a txn's own running time that is added to its SLA time
    group: DeduplicationGroup
    window: int  # how long workers recognize a repeat, ticks
    machine: int | None = None  # machine type that it needs; None: any


@dataclass(slots=True, eq=False)
class Customer:
    """A customer and its share of the fleet."""

    index: int
    quota_rate: float  # txns per second within its share, over all dispatchers; 0: no share is set
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
    name_hash: int = 0  # a hash of its name, the same at every dispatcher
    is_known_draining: bool = False  # the list reported it as draining, and not as ready since then

    def __post_init__(self) -> None:
        self.is_known_draining = self.listed_state is ListedState.DRAINING

    def update_from(self, row: Worker) -> None:
        """Copy the listed attributes from `row`.

        `row` is a new object for the same worker; this object lives as long as the dispatcher's process.
        """
        self.zone, self.cell, self.machine = row.zone, row.cell, row.machine
        self.weight, self.started_at, self.listed_state = row.weight, row.started_at, row.listed_state
        self.is_known_draining = self.listed_state is not ListedState.READY and (
            self.is_known_draining or row.is_known_draining
        )

    def can_receive_postings(self, delisted_workers_usable: bool) -> bool:
        """Return whether the list permits new postings to this worker (rule 3).

        Args:
            delisted_workers_usable: a worker that is listed as gone, or omitted, still accepts postings
                unless it was reported as draining before.
        """
        return self.listed_state is ListedState.READY or (
            delisted_workers_usable and self.listed_state is ListedState.GONE and not self.is_known_draining
        )


@dataclass(slots=True)
class LoadReport:
    """The load that a worker reports; None for figures that the site's reports omit."""

    free_slots: float | None = None
    queued_jobs: float | None = None
    held_slots: float | None = None
    error_rate: float | None = None
    request_rate: float | None = None


@dataclass(slots=True, eq=False)
class Txn:
    """One request of a client, and the scheduler's state for it until its final answer."""

    tag: str
    scheme: Scheme
    customer: Customer | None
    arrived_at: int
    expires_at: int  # deadline for its final answer
    hint: int | None = None  # the client's estimate of its running time, ticks
    slots: float = 1.0
    memory: float | None = None
    key: str | None = None  # data that it needs; a worker caches the data of the last few keys
    is_retry: bool = False
    postings: list[Posting] = field(default_factory=list)
    is_closed: bool = False
    is_deadline_shortened: bool = False  # a shutdown moved `expires_at` to an earlier time
    # Until when workers recognize a repeat of an attempt that another region made; None: none may have run.
    remote_repeat_deadline: int | None = None
    lifecycle: Generator[Action, Any, None] | None = None
    queue_entry: tuple[tuple[float, int], int, Txn] | None = None  # its entry in the queue
    first_seen_at: int = 0  # when its client first sent it, as far as known
    retry_fingerprint: tuple[Any, ...] = ()  # attributes that a retry by its client shares with it
    unused_share: float = 0.0  # fraction of its customer's token bucket left when it arrived
    key_workers_full_until: int = 0  # until then no worker that caches its key has room
    key_worker_count: float = 0.0  # workers that the traffic for its key keeps busy
    is_over_share: bool = False  # exceeds its customer's share
    work_type: Any = None  # slots and machine type, see `worker_state.WorkType`
    work: int = 1  # hint times slots
    slack_ratio: float = 1.0  # time left over time needed, as of the last scan
    probed_workers: list[Any] = field(default_factory=list)  # of the last round of probes for this txn
    probes_valid_until: int = 0  # when the txn stops waiting for those probes
    probe_rounds: int = 0
    wait_number: int = 0  # number of the current wait; timers of earlier waits are stale

    def shorten_deadline(self, by: int) -> bool:
        """Move the deadline to the earlier time `by`, for a shutdown; return False if it is not earlier."""
        if by >= self.expires_at:
            return False
        self.expires_at, self.is_deadline_shortened = by, True
        return True


@dataclass(slots=True, eq=False)
class Posting:
    """One sending of a txn to a worker."""

    txn: Txn
    worker: Worker
    number: int
    sent_at: int
    outcome: Outcome | None = None
    ended_at: int = 0
    started_at: int | None = None
    accepted_at: int | None = None  # when the worker acknowledged it, where workers do so
    last_progress_at: int | None = None  # when the last progress message arrived
    progress: float = 0.0
    work: int = 0
    is_cancelled: bool = False
    may_still_run: bool = False  # it has ended here, but its worker has not confirmed that it is withdrawn
    worker_started_at: int | None = None  # the worker's listed start when the posting was decided

    @property
    def is_in_flight(self) -> bool:
        """Whether no outcome has arrived yet."""
        return self.outcome is None

    @property
    def may_have_run(self) -> bool:
        """Whether the worker may have started to run it."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True, frozen=True)
class StartPosting:
    """Send the txn to a worker; the txn is resumed immediately with its Posting."""

    worker: Worker
    timeout: int


@dataclass(slots=True, frozen=True)
class CancelPosting:
    """Cancel a posting; its outcome still arrives."""

    posting: Posting


@dataclass(slots=True, frozen=True)
class Wait:
    """Suspend the txn until `until` or an earlier event.

    The txn is resumed with the Posting that has changed, with the Worker that has room for it, or with None
    at `until` or when a shutdown shortens its deadline.
    """

    until: int


@dataclass(slots=True, frozen=True)
class Decline:
    """Final answer: the txn was not run, and a retry does no harm."""

    retry_after: int = 0
    try_elsewhere: bool = False  # only this dispatcher's shutdown prevents the txn: retry at another one


@dataclass(slots=True, frozen=True)
class Reverse:
    """Final answer: the txn failed, and its effect is unknown."""


Action = StartPosting | CancelPosting | Wait | Decline | Reverse


class Transport(Protocol):
    """The operations that a protocol implementation offers to the scheduler."""

    def post(self, posting: Posting, timeout_ticks: int) -> None:
        """Send a posting to its worker, which has that long to answer."""

    def cancel(self, posting: Posting) -> None:
        """Cancel a posting; its outcome is still reported."""

    def decline(self, txn: Txn, retry_after_ticks: int, try_elsewhere: bool) -> None:
        """Answer the client that the txn was not run and may be retried."""

    def reverse(self, txn: Txn) -> None:
        """Answer the client that the txn failed."""

    def probe(self, worker: Worker) -> None:
        """Ask a worker for a load report."""

    def subscribe(self) -> None:
        """Call for the worker list."""

    def wake(self, delay_ticks: int) -> None:
        """Call back after that delay."""

    def note(self, text: str) -> None:
        """Write a line to the log."""


class AdmissionGate(Protocol):
    """The fleet's limits on one dispatcher; without a gate the dispatcher decides alone.

    `scheduler` is the calling Scheduler.
    """

    def admits(self, txn: Txn, scheduler: Any) -> bool:
        """Return whether the txn may have its first posting; always True once it has a posting."""

    def permits_posting(self, txn: Txn, worker: Worker, scheduler: Any) -> bool:
        """Return whether this posting may be sent now; if so, it counts as sent."""

    def can_probe(self, worker: Worker, scheduler: Any) -> bool:
        """Return whether this worker may be probed now; if so, the probe counts as sent."""

    def retry_after(self, txn: Txn, scheduler: Any) -> int:
        """Return the wait that the client is advised before a retry, ticks; 0: no advice."""


@dataclass(slots=True)
class SchedulerConfig:
    """The settings of one dispatcher. The scheduler copies what it needs and does not keep the object."""

    schemes: list[Scheme]
    customers: list[Customer]
    dispatchers: int
    number: int  # index of this dispatcher among them, from 0
    zone: int
    tick: int
    list_needs_subscription: bool  # the list is sent only to subscribers
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
    max_retry_after: int  # 0: clients ignore advice
    progress_interval: int  # 0: workers send no progress messages
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
    # Workers start any queued job that fits, so a job that needs a whole worker waits until one is empty.
    allows_backfill: bool = False
    # Workers that are listed as gone, or omitted, without draining before still accept postings.
    delisted_workers_usable: bool = False
    max_open_txns: int = 1 << 60  # limit on simultaneously open txns
    # The list is pushed to a local agent. A change counts as delivered to this dispatcher as soon as the
    # agent has it, and binds one drain grace later.
    is_list_pushed: bool = False
    # An open watch sends a line at least every 2 s. Without a new line, the list expires after LIST_VALIDITY.
    has_watch_heartbeats: bool = False
