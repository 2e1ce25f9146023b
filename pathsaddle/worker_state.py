"""Plain state that the scheduler keeps for each worker, customer and zone.

These classes record observations and derive simple sums from them; all decisions are made by
`scheduler.Scheduler`. Times are ticks (tenths of a millisecond).
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass

from pathsaddle.scheduler_types import SECOND, LoadReport, Posting, Scheme, Worker

WorkType = tuple[float, int | None]  # slots that a txn takes, and the machine type that its scheme needs
FOREVER = 1 << 60


@dataclass(frozen=True, slots=True)
class SchemePause:
    """A time in which a worker gets no posting of a scheme, since it did not accept one in time."""

    began_at: int
    ends_at: int
    number: int  # how many pauses in a row, this one included


class WorkerState:
    """What this dispatcher has observed of one worker through its own traffic."""

    def __init__(self, worker: Worker) -> None:
        self.worker = worker
        self.in_flight: list[Posting] = []
        # Backlog that a new worker is assumed to have; it is halved with each own txn that settles there.
        self.initial_backlog: dict[WorkType, float] = {}
        # Work in flight by type: added with each posting, removed with its outcome.
        self.backlog: dict[WorkType, int] = {}
        self.in_flight_history: list[tuple[int, int]] = [
            (-FOREVER, 0)
        ]  # (since when, own postings in flight)
        self.report: LoadReport | None = None
        self.reported_at = 0  # when `report` arrived
        self.last_figures: tuple[float | None, ...] = ()  # figures of the last report
        # The moment that `report` describes, and the own postings in flight at that moment.
        self.described_at, self.own_in_flight_then = -FOREVER, 0
        # From the last report: (arrival time, jobs of other dispatchers minus the slots, for each of
        # `scheduler.CANDIDATE_AGES`).
        self.others_load: tuple[int, list[float]] | None = None
        self.others_readings: deque[float] = deque(maxlen=8)  # reported jobs of others minus the slots
        self.slot_samples: deque[float] = deque(maxlen=8)  # slots, as computed from the last reports
        self.last_alive_at = 0  # last sign of life: an answer or a progress message
        # Actual over expected running time of the last settled txns.
        self.pace_samples: deque[float] = deque(maxlen=12)
        self.pace = 1.0
        self.slot_count = 0.0  # slots: the maximum of `slot_samples`
        self.free_slots_estimate = 0.0  # free slots, cached
        self.free_slots_estimate_until = 0  # end of its validity; an event resets it to 0
        self.start_delays: deque[int] = deque(maxlen=8)  # from sending to start, of the last postings here
        self.is_probing, self.probed_at = False, 0  # a probe is in flight; when the last one was sent
        self.consecutive_failures = 0
        self.last_full_at = -FOREVER  # when it last rejected a posting as full
        self.last_success_at = -FOREVER  # when an own txn last settled there
        # Once-only txns avoid the worker until this moment, after an own posting failed there with an error.
        self.error_backoff_until = 0
        self.ejected_until = 0  # after failures, no posting is sent before this moment
        # The worker was silent for too long, and when that was noticed. Until it shows a sign of life, it
        # gets one posting at a time.
        self.is_suspect, self.suspected_at = False, 0
        # The last pause of each scheme whose postings this worker did not accept in time.
        self.scheme_pauses: dict[Scheme, SchemePause] = {}
        self.last_reached_at = 0  # latest send time of a posting that has started
        self.trial_posting: Posting | None = None  # the last posting sent while it was suspect
        self.lost_trials = 0  # trial postings in a row that ended without an answer
        # (when, work, whether the worker was warming up) of the last postings
        self.recent_sends: deque[tuple[int, int, bool]] = deque()
        self.started_at: int | None = worker.started_at
        self.connection_broken_at = -FOREVER  # when a connection to it last broke or was refused
        # False while neither a listed start nor a broken connection is known. Scans test this flag first, and
        # look at the listed and the inferred start only if it is set.
        self.may_be_warming_up = worker.started_at is not None
        self.delisted_at = -FOREVER  # when the list last reported it as gone or omitted it
        self.inferred_restart_at = -FOREVER  # when it presumably restarted without the list saying so

    def own_in_flight_at(self, moment: int) -> int:
        """Return how many own postings were in flight at that moment."""
        # A binary search: linear scans for ten assumed report ages took a third of the CPU time.
        return self.in_flight_history[max(0, bisect_left(self.in_flight_history, (moment + 1,)) - 1)][1]

    def is_paused(self, scheme: Scheme, now: int) -> bool:
        """Return whether the worker gets no posting of the scheme now."""
        pause = self.scheme_pauses.get(scheme)
        return pause is not None and now < pause.ends_at

    def record_in_flight(self, now: int) -> None:
        """Append the current number of own postings in flight to the history."""
        self.in_flight_history.append((now, len(self.in_flight)))
        if len(self.in_flight_history) > 1024:
            del self.in_flight_history[:512]

    def mark_alive(self, now: int) -> None:
        """Record a sign of life and clear the suspicion."""
        self.last_alive_at, self.is_suspect, self.lost_trials, self.free_slots_estimate_until = (
            now,
            False,
            0,
            0,
        )


class CustomerUsage:
    """A token bucket for the part of a customer's traffic that passes through this dispatcher.

    Args:
        quota_rate: txns per tick over all dispatchers.
        now: current time, ticks.
        min_bucket_size: the least number of txns that the bucket holds when full.
    """

    def __init__(self, quota_rate: float, now: int, min_bucket_size: float) -> None:
        self.quota_rate = quota_rate
        self.min_bucket_size = min_bucket_size
        self.tokens = float("inf")  # starts full, at whatever size `bucket_size` returns later
        self.refilled_at, self.arrivals = now, deque[int](maxlen=64)

    def arrival_rate(self, now: int) -> float:
        """Return txns per tick over the last arrivals; 0 with fewer than 8 of them."""
        return len(self.arrivals) / max(1, now - self.arrivals[0]) if len(self.arrivals) > 7 else 0.0

    def bucket_size(self, traffic_share: float) -> float:
        """Return how many txns a full bucket holds if this share of all traffic passes this dispatcher."""
        # The minimum is there because a rate can't be told from fewer txns: at 0.5 txn/s most txns of a small
        # customer counted as over its share while it was under.
        return max(self.min_bucket_size, 4 * self.quota_rate * traffic_share * SECOND)

    def try_consume(self, now: int, traffic_share: float) -> bool:
        """Refill the bucket and take one token; return False if there is none."""
        self.tokens = min(
            self.bucket_size(traffic_share),
            self.tokens + (now - self.refilled_at) * self.quota_rate * traffic_share,
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class ZoneBaseline:
    """The mean load of one zone's workers, assumed for workers that have not reported."""

    def __init__(self) -> None:
        self.readings: deque[tuple[int, float]] = deque(maxlen=32)  # (when, jobs of others minus the slots)
        self.mean = -1.0

    def add_reading(self, now: int, excess_jobs: float) -> None:
        """Add one worker's reading: jobs of other dispatchers minus its slots."""
        self.readings.append((now, excess_jobs))
        self.update_mean(now)

    def update_mean(self, now: int, max_age_ticks: float = FOREVER) -> None:
        """Drop the readings older than `max_age_ticks` and compute the mean of the rest."""
        while self.readings and now - self.readings[0][0] > max_age_ticks:
            self.readings.popleft()
        # With few samples the mean tends to one free slot (-1), at which a probe becomes worthwhile.
        self.mean = (sum(excess_jobs for _, excess_jobs in self.readings) - 3.0) / (len(self.readings) + 3)
