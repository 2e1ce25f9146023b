"""What the decisions keep of workers, customers and zones: plain types, with their sums.

They are told what was seen and hold figures ready; what follows from those is `choice`'s alone. Times are
tenths of a millisecond.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

from pathsaddle.scheduler_types import SECOND, LoadReport, Posting, Scheme, Worker

WorkType = tuple[float, int | None]  # what the paper calls j: slot count and the machine a scheme needs
FOREVER = 1 << 60


class WorkerState:
    """What this dispatcher knows of one worker from its own traffic."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.in_flight: list[Posting] = []
        self.initial_backlog: dict[
            WorkType, float
        ] = {}  # what a new worker starts with on top, fading as own jobs finish
        self.backlog: dict[
            WorkType, int
        ] = {}  # backlogged work by type: added at each send, removed at its outcome
        self.in_flight_history: list[tuple[int, int]] = [(-FOREVER, 0)]  # (when, own out from then)
        self.report: LoadReport | None = None
        self.reported_at = 0  # when the report came
        self.last_figures: tuple[float | None, ...] = ()  # its last report's figures
        self.described_at, self.own_in_flight_then = (
            -FOREVER,
            0,
        )  # the moment that it describes, and own postings out then
        self.others_load: tuple[int, list[float]] | None = (
            None  # others' load by each guess of the reports' age
        )
        self.others_readings: deque[float] = deque(maxlen=8)  # others' jobs there less the slots, as reported
        self.slot_samples: deque[float] = deque(maxlen=8)  # slots, as the last reports add up
        self.last_alive_at = 0  # last sign of life: an answer or a progress note
        self.pace_samples: deque[float] = deque(
            maxlen=12
        )  # time taken over time expected, of the last settled ones
        self.pace = 1.0
        self.slot_count = 0.0  # slots: the most that the last reports add up to
        self.free_slots_estimate = 0.0  # free slots as last worked out
        self.free_slots_estimate_until = 0  # until when that holds if nothing happens
        self.start_delays: deque[int] = deque(maxlen=8)  # from posting to start, of the last postings here
        self.is_probing, self.probed_at = False, 0  # being probed, and when it last was
        self.consecutive_failures = 0  # failures in a row
        self.last_full_at = -FOREVER  # when it last turned us away
        self.last_success_at = -FOREVER  # when an own txn last settled there
        self.error_backoff_until = (
            0  # after an own posting failed there: until when what that loses stays away
        )
        self.ejected_until = 0  # after failures: nothing before this moment
        # Silent for too long, and since when: one posting at a time until it speaks.
        self.is_suspect, self.suspected_at = False, 0
        self.scheme_pauses: dict[
            Scheme, tuple[int, int]
        ] = {}  # left untaken here: (until when none go, how often)
        self.last_reached_at = 0  # when the last posting was sent that has started
        self.trial_posting: Posting | None = None  # the last posting there since
        self.lost_trials = 0  # postings in a row that a suspect has swallowed
        self.recent_sends: deque[tuple[int, int, bool]] = (
            deque()
        )  # (when, work, if cold then) of the last sends
        self.started_at: int | None = worker.started_at
        self.connection_broken_at = -FOREVER  # when a connection to it last broke or was refused
        self.may_be_warming_up = (
            worker.started_at is not None
        )  # it may be cold: one look for both, in each scan
        self.delisted_at = -FOREVER  # when the list last called it gone, or left it out
        self.inferred_restart_at = -FOREVER  # since when it is taken to have started anew, unlisted

    def own_in_flight_at(self, moment: int) -> int:
        """How many own postings were out there at that moment."""
        # By halves: ten guesses at a report's age, each looked for from the end, took a third of the CPU.
        return self.in_flight_history[max(0, bisect_left(self.in_flight_history, (moment + 1,)) - 1)][1]

    def record_in_flight(self, now: int) -> None:
        """Own postings out have changed."""
        self.in_flight_history.append((now, len(self.in_flight)))
        if len(self.in_flight_history) > 1024:
            del self.in_flight_history[:512]

    def mark_alive(self, now: int) -> None:
        """A sign of life."""
        self.last_alive_at, self.is_suspect, self.lost_trials, self.free_slots_estimate_until = (
            now,
            False,
            0,
            0,
        )


class CustomerUsage:
    """A customer's use of its share, as far as it comes through us."""

    def __init__(self, allowance: float, now: int, least: float) -> None:
        self.quota_rate = allowance  # txns in a tenth of a millisecond, over all dispatchers
        self.min_bucket_size = least  # txns that its purse holds at the least
        self.tokens = float("inf")  # full at the start, whatever its size turns out to be
        self.refilled_at, self.arrivals = now, deque[int](maxlen=64)

    def arrival_rate(self, now: int) -> float:
        """Txns in a tenth of a millisecond, over the last ones; 0 while they are too few."""
        return len(self.arrivals) / max(1, now - self.arrivals[0]) if len(self.arrivals) > 7 else 0.0

    def bucket_size(self, part: float) -> float:
        """Txns that the purse holds, where that part of the tier's traffic comes through us."""
        # Fewer txns than that say nothing of a rate: at half a txn a second most of a small customer's were
        # taken to be over its share, while it was under.
        return max(self.min_bucket_size, 4 * self.quota_rate * part * SECOND)

    def try_consume(self, now: int, part: float) -> bool:
        """Takes one txn out of the purse, if it is in it."""
        self.tokens = min(
            self.bucket_size(part), self.tokens + (now - self.refilled_at) * self.quota_rate * part
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ZoneBaseline:
    """What the last looks at one zone's workers found: what is believed of those not heard from."""

    def __init__(self) -> None:
        self.readings: deque[tuple[int, float]] = deque(maxlen=32)  # (when, others' jobs less slots)
        self.mean = -1.0

    def add_reading(self, now: int, told: float) -> None:
        self.readings.append((now, told))
        self.update_mean(now)

    def update_mean(self, now: int, lasts: float = FOREVER) -> None:
        while self.readings and now - self.readings[0][0] > lasts:
            self.readings.popleft()
        # A few samples say little: lean on one free slot, which is where a look begins.
        self.mean = (sum(told for _, told in self.readings) - 3.0) / (len(self.readings) + 3)
