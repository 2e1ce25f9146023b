"""The scheduling decisions of one dispatcher.

`scheduler_driver.SchedulerDriver` owns one Scheduler and reports events to it (`on_list_update`,
`on_posting_ended`, `on_progress`, `on_probe_result`, `on_txn_closed`). `serve(txn)` is the lifecycle of a
txn as a generator: it yields actions and is resumed with their results. After each group of events
`grant_next()` returns the next held txn with the worker that it gets, until it returns None. Then
`housekeeping()` does what is due (list requests, estimates, probes) and returns when it has to run again.

The paper's rule is in `load` and `least`: the worker with the least backlogged work of the txn's own type,
scaled by its reported queue length, gets the txn.

The interface in both directions is in `scheduler_types.py`: SchedulerConfig, Transport, AdmissionGate and the
actions. Times are in ticks of a tenth of a millisecond. This module does no I/O.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Generator, Iterable
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, islice
from math import exp, gcd, log, sqrt
from random import Random
from typing import Any

from pathsaddle.acceptance import AcceptanceDelays, pause_after
from pathsaddle.worker_state import FOREVER, CustomerUsage, WorkerState, WorkType, ZoneBaseline

from pathsaddle.scheduler_types import (  # isort: skip
    LIST_ANSWER_TIMEOUT,
    LIST_VALIDITY_AFTER_MOVE,
    LIST_SILENCE_TIMEOUT,
    LIST_TIMER_SLACK,
    LIST_VALIDITY,
    MILLISECOND,
    SECOND,
    CancelPosting,
    Decline,
    Transport,
    AdmissionGate,
    DeduplicationGroup,
    ListUpdate,
    Action,
    Outcome,
    StartPosting,
    Posting,
    LoadReport,
    Reverse,
    Scheme,
    Semantics,
    ListedState,
    SchedulerConfig,
    Txn,
    Wait,
    Worker,
)

BLIND_MAX_REJECTION_LEVEL = 0.3  # highest rejection level at which posting on late reports beats holding
MIN_BUCKET_TXNS = 8.0  # txns in excess before a customer counts as over its share
RISK_EXPONENT = 2  # exponent by which the chance to end in time falls with the time needed
MIN_EXPECTED_FREE_SLOTS = 0.3  # expected free slots that justify a posting
# Largest number of probe rounds per txn, and workers probed in a round. SAMPLE_WORKERS is also the number of
# failed workers that suspends a zone.
MAX_PROBE_ROUNDS, SAMPLE_WORKERS = 3, 3
AGE_MIN_STANDARD_ERRORS = 2.5  # standard errors by which late reports must fit better than prompt ones
CLAIM_WINDOW = 3  # recent rejections that are checked together for outdated reports
# In units of the mean txn's value. Below this price all zones count as one, because the estimated chances to
# end in time are too coarse to compare.
NEGLIGIBLE_CROSS_PRICE = 0.02
# Workers for a key beyond those its traffic fills, so that a busy one has a substitute.
SPARE_KEY_WORKERS = 2
KEY_HISTORY_SIZE = 512  # keys whose worker order is cached, and txns whose key is remembered
SCAN_INTERVAL = 10 * MILLISECOND  # longest time between scans of held txns when nothing happens
# Candidate ages of a load report on arrival, in ticks.
CANDIDATE_AGES = tuple(SECOND * n // 100 for n in (1, 20, 40, 70, 100, 140, 200, 280, 400, 550))


class Scheduler:
    """Decides which worker gets which txn and when, from what one dispatcher has seen."""

    def __init__(
        self,
        config: SchedulerConfig,
        seed: int,
        now: int,
        transport: Transport,
        gate: AdmissionGate | None = None,
    ) -> None:
        generator = Random(seed)
        self.random, self.choose = generator.random, generator.choice
        self.transport, self.gate, self.tick = transport, gate, max(1, config.tick)
        self.now = self.history_start = self.scan_due = self.probe_due = self.estimates_updated_at = now
        self.workers: dict[Worker, WorkerState] = {}
        self.home_zone, self.hold_count, self.open_count, self.max_open_txns = (
            config.zone,
            0,
            0,
            config.max_open_txns,
        )
        # The last scan granted a worker, so that the next scan may grant another one.
        self.has_granted = False
        # (load, worker) of each candidate in the last scan.
        self.scored_workers: list[tuple[float, WorkerState]] = []
        # Classes of txns that found no worker in this scan.
        self.unplaceable_classes: dict[tuple[Any, ...], None] = {}
        # Held txns, highest priority first.
        self.waiting: list[tuple[tuple[float, int], int, Txn]] = []
        self.index, self.dispatchers = config.number, config.dispatchers
        # The next dispatcher in turn has a number a sixth of the fleet further on, because neighbouring
        # numbers may all be in one zone.
        stride = next(n for n in range(1 + self.dispatchers // 6, FOREVER) if gcd(n, self.dispatchers) == 1)
        self.turn_step = pow(stride, -1, self.dispatchers)
        # The dispatcher's estimated share of the fleet's traffic, and the share if all dispatchers had the
        # same.
        self.traffic_share = self.even_traffic_share = 1.0 / config.dispatchers
        # Slots that must stay free after a posting for a customer over its share.
        self.over_share_reserve = 1.5
        self.probe_interval = (
            0
            if not (config.can_probe and config.reports_in_probes)
            else (SECOND // 2 if not config.reports_in_answers else SECOND // 10)
        )
        # Probes may cost at most one hundredth of the value of the requested work.
        self.probe_price = config.price_probe
        self.probe_tokens_per_txn = min(100.0, 0.01 / max(0.0001, config.price_probe))
        self.probe_tokens, self.probes_all_workers = (
            10 * self.probe_tokens_per_txn,
            not config.reports_in_answers,
        )
        self.probe_durations: deque[int] = deque([self.tick], maxlen=16)
        self.reports_start, self.allows_backfill = config.reports_start, config.allows_backfill
        self.has_load_reports = config.reports_in_answers or (config.can_probe and config.reports_in_probes)
        self.fleet_start_delays: deque[int] = deque(maxlen=32)  # from sending a posting to its start, ticks
        # From sending a posting to its acceptance, ticks.
        self.acceptance_delays = AcceptanceDelays()
        # When workers last rejected a posting as full.
        self.rejection_times: deque[int] = deque(maxlen=8)
        self.mean_run_time = self.mean_job_work = float(SECOND)
        self.hinted_work: deque[float] = deque(maxlen=48)  # slot ticks of the last jobs with a hint
        # How long an estimate of free slots is reused; without reuse each event ranked the whole fleet anew.
        self.estimate_lifetime = SCAN_INTERVAL
        # Pace of the fastest worker, the closest observable reference for hints.
        self.fastest_pace = 1.0
        # Slots of the smallest known worker, the guess for the size of a cold one.
        self.min_slot_count = 1.0
        self.late_start_delay, self.report_age = 40 * MILLISECOND + 2 * self.tick, CANDIDATE_AGES[0]
        # (when, squared error by candidate age).
        self.age_errors: deque[tuple[int, list[float]]] = deque(maxlen=48)
        self.zone_baselines: dict[int, ZoneBaseline] = {}  # by zone
        self.recent_keys: deque[str] = deque(maxlen=KEY_HISTORY_SIZE)  # keys of the last txns
        self.key_order = lru_cache(KEY_HISTORY_SIZE)(self.rank_workers_for_key)
        # (slots, slots times run time) of the last txns with a key.
        self.keyed_work: deque[tuple[float, float]] = deque(maxlen=KEY_HISTORY_SIZE)
        self.wide_job_min_slots = 0.0  # slots from which a job needs a whole worker
        # Workers that serve only jobs that need a whole worker.
        self.wide_job_workers: dict[WorkerState, None] = {}
        # By zone: the workers that failed since the zone's last sign of life.
        self.zone_failures: dict[int, dict[Worker, None]] = {}
        self.zone_suspended_until: dict[int, int] = {}
        # For recent rejections: whether the worker reported free slots.
        self.rejection_claims: deque[bool] = deque(maxlen=CLAIM_WINDOW)
        # Until when all reports count as outdated, because workers rejected postings while reporting free
        # slots.
        self.reports_distrusted_until = -FOREVER
        self.silence_timeout = config.progress_interval + config.progress_interval // 2
        self.needs_list_subscription, self.list_failures = config.list_needs_subscription, 0
        self.list_lost_at, self.list_request_due, self.list_move_deadline = now, FOREVER, -FOREVER
        # A pushed change counts as delivered once the local agent has it, with or without an open watch, and
        # becomes binding one drain grace later.
        self.list_push_grace = (
            max(0, config.drain_grace - LIST_TIMER_SLACK) if config.is_list_pushed else FOREVER
        )
        # With watch heartbeats (on sockets), every change that discovery held 6 s before this start counts as
        # delivered from the start on, whatever the `known` list of the config says. So the list is invalid
        # until discovery answers, and the data of an open watch expires if no heartbeat arrives. Without
        # watch heartbeats, the data stays valid as long as the list does not have to be requested.
        self.has_watch_heartbeats, self.list_validity = (
            config.has_watch_heartbeats,
            LIST_VALIDITY if config.has_watch_heartbeats else FOREVER,
        )
        self.has_list, self.list_requested_at = False, now
        self.list_valid_until = now + min(
            self.list_push_grace,
            0 if config.has_watch_heartbeats else config.list_poll_interval - LIST_TIMER_SLACK,
        )
        # For recent txns held for the home zone: whether they got a worker there.
        self.home_wait_results: deque[bool] = deque(maxlen=16)
        # For recent postings to other zones: whether the worker took them in.
        self.crossing_results: deque[bool] = deque(maxlen=16)
        # First request time of recently declined txns, by retry fingerprint.
        self.first_requests: dict[Any, int] = {}
        self.mean_value, self.recent_values = 1.0, deque[float](maxlen=96)
        self.arrival_times: deque[int] = deque(maxlen=32)  # when the last txns arrived
        # This timeout of an unanswered request has to end before a missed change counts as delivered, but not
        # before the request can fail by itself.
        self.list_request_timeout = max(
            LIST_SILENCE_TIMEOUT + LIST_TIMER_SLACK, config.list_poll_interval // 2
        )
        # The list service processes the requests of all dispatchers in turn, including those whose client no
        # longer waits: 28 requests in one moment kept it from answering anybody for the rest of a day. So
        # requests after a start, a break or a failure are spread by the number of dispatchers, and the
        # longest wait stays below the time after which a change counts as delivered (`on_list_update`).
        self.list_spread = min((config.dispatchers - 1) * SECOND // 10, config.list_poll_interval // 2)
        self.list_max_retry_wait = max(2 * SECOND, 3 * self.list_spread)
        if self.needs_list_subscription:
            spread = (
                min(self.list_spread, LIST_SILENCE_TIMEOUT)
                if config.has_watch_heartbeats
                else self.list_spread
            )
            self.list_request_due = now + int(spread * self.random())
        self.run_times, self.customer_usage, self.overload_window = (
            dict[Scheme, deque[int]](),
            dict[Any, CustomerUsage](),
            FOREVER,
        )
        self.update_config(config)

    def update_config(self, config: SchedulerConfig, retired_schemes: Iterable[Scheme] = ()) -> None:
        """Apply the settings that may change in service, from now on.

        A scheme whose index existed before keeps its run times. `retired_schemes` are schemes of open txns
        that the config no longer has.
        """
        if config.overload_window > self.overload_window:
            # Sends before the shorter old window are forgotten, so that cold workers have to wait as after a
            # restart.
            self.history_start = self.now
        self.schemes, scheme_by_index = config.schemes, {s.index: s for s in config.schemes}
        run_times = {s.index: runs for s, runs in self.run_times.items()}
        self.run_times = {
            s: run_times.get(s.index, deque(maxlen=48)) for s in (*config.schemes, *retired_schemes)
        }
        for state in self.workers.values():
            state.scheme_pauses = {
                scheme_by_index[s.index]: pause
                for s, pause in state.scheme_pauses.items()
                if s.index in scheme_by_index
            }
        self.customer_usage = {
            customer: self.customer_usage.get(customer) or CustomerUsage(0.0, self.now, MIN_BUCKET_TXNS)
            for customer in config.customers
            if customer.quota_rate > 0
        }
        for customer, usage in self.customer_usage.items():
            usage.quota_rate = customer.quota_rate / SECOND  # over all dispatchers
        self.trial_schemes = (
            list(filter(self.is_repeatable_anywhere, config.schemes))
            or [s for s in config.schemes if s.semantics is Semantics.REFERENCED]
            or config.schemes
        )
        self.has_no_repeatable_scheme = not any(map(self.is_repeatable_anywhere, self.trial_schemes))
        self.probes_periodically = self.probe_interval and (
            self.probes_all_workers or (self.has_no_repeatable_scheme and self.silence_timeout)
        )
        self.max_postings, self.allows_hedging = config.max_postings, config.allows_hedging
        self.can_cancel, self.delisted_workers_usable = config.can_cancel, config.delisted_workers_usable
        self.slow_start_share, self.ramp_time, self.overload_window = (
            config.slow_start_share,
            config.slow_start_time,
            config.overload_window,
        )
        self.slow_start_work_per_slot = 0.5 * config.overload_multiple * config.overload_window
        # With many dispatchers, an even share of what a slot can do when it is coldest holds no whole job
        # (0.1 s). Then the whole budget is given out in turns.
        self.uses_slow_start_turns = (
            self.slow_start_work_per_slot * config.slow_start_share / config.dispatchers < SECOND // 10
        )
        # Prices are in units of the mean txn's value.
        self.value_by_work, self.over_share_value = config.value_by_work, config.over_share_value
        self.price_cross, self.max_retry_after = config.price_cross, config.max_retry_after
        self.has_events = True  # since the last scan of held txns

    # Lifecycle of a txn.

    def serve(self, txn: Txn) -> Generator[Action, Any, None]:
        """Run the lifecycle of a txn, from its arrival to its final answer."""
        self.open_count += 1
        self.register_txn(txn)
        for posting in txn.postings:
            yield from self.watch_posting(txn, posting)
        # A txn above the limit of open txns is not posted: if open txns took every connection, none would be
        # left for the message that ends one of them.
        while self.open_count <= self.max_open_txns and (not self.gate or self.gate.admits(txn, self)):
            until = self.post_until(txn)
            if self.now >= until:
                break  # nothing more can be done: answer now instead of at the expiry
            self.hold(txn)
            held_at, event = self.now, None
            while self.now < (
                until := min(
                    until, self.give_up_at(txn) if txn.is_deadline_shortened else self.answer_by(txn)
                )
            ):
                in_time = self.in_time_until(txn)
                event = yield Wait(min(until, in_time) if self.now < in_time else until)
                if isinstance(event, Worker):
                    break
                # A late answer is worth less: the txn moves behind those still in time.
                self.release(txn)
                self.hold(txn)
            self.release(txn)
            if self.now > held_at and (not isinstance(event, Worker) or event.zone == self.home_zone):
                self.home_wait_results.append(isinstance(event, Worker))
            if not isinstance(event, Worker):
                break
            posting = yield StartPosting(event, txn.expires_at - self.now)
            self.on_posting_sent(posting)
            yield from self.watch_posting(txn, posting)
        while any(p.is_in_flight for p in txn.postings) and self.now < self.answer_by(txn):
            yield Wait(self.answer_by(txn))
        if self.can_decline(txn) and not self.is_unusable(txn):
            self.remember_declined(txn)
            wait = self.gate.retry_after(txn, self) if self.gate else self.max_retry_after
            yield Decline(wait, txn.is_deadline_shortened and self.give_up_at(txn) < self.in_time_until(txn))
        else:
            yield Reverse()

    def watch_posting(self, txn: Txn, posting: Posting) -> Generator[Action, Any, None]:
        """Wait until the posting has ended or the txn needs another worker."""
        while posting.is_in_flight and self.now < self.answer_by(txn):
            yield Wait(min(self.answer_by(txn), self.recheck_at(posting)))
            if posting.is_in_flight and self.now < self.answer_by(txn) and self.should_move(txn, posting):
                if self.allows_hedging and not (
                    self.can_cancel and self.now >= self.acceptance_delays.deadline(posting)
                ):
                    break
                if not posting.is_cancelled:
                    yield CancelPosting(posting)

    def adopt_postings(self, txn: Txn) -> None:
        """Count postings from before a restart of this process as load of their workers, like new ones."""
        txn.work_type, txn.work = self.work_type_of(txn), self.work_of(txn)
        for posting in txn.postings:
            if posting.is_in_flight:
                self.on_posting_sent(posting)

    def answer_by(self, txn: Txn) -> int:
        """Return the time by which the final answer must be sent.

        A shutdown of this process brings the expiry forward.
        """
        return txn.expires_at - self.tick

    def can_post_again(self, txn: Txn) -> bool:
        """Decide whether another posting, to some worker, is safe now (rule 2, first half)."""
        return self.now < min(self.answer_by(txn), self.postable_until(txn)) and (
            self.allows_hedging or not any(p.is_in_flight and p.may_have_run for p in txn.postings)
        )

    def can_post_to(self, txn: Txn, worker: Worker) -> bool:
        """Decide whether another posting to this worker is safe (rule 2, first half).

        `can_post_again` holds the checks that are the same for all workers, so that they run once.
        """
        return not any(
            (p.worker is worker and (p.is_in_flight or p.may_still_run))
            or (p.may_have_run and not self.shares_dedup_group(txn.scheme, p.worker, worker))
            for p in txn.postings
        )

    def can_begin(self, posting: Posting) -> bool:
        """Decide whether a posting is still safe right before its first byte.

        Opening a connection takes time, in which the conditions may have changed.
        """
        txn, worker = posting.txn, posting.worker
        return (
            not txn.is_closed
            and worker.can_receive_postings(self.delisted_workers_usable)
            and worker.started_at == posting.worker_started_at
            and not self.is_list_stale(self.now)
            and self.now < min(self.answer_by(txn), self.postable_until(txn, posting))
        )

    def postable_until(self, txn: Txn, excluded: Posting | None = None) -> int:
        """Return the time until which another posting, to some worker, is safe.

        Args:
            txn: The txn to post.
            excluded: A posting that is already decided and does not count.
        """
        possible_runs = [p for p in txn.postings if p.may_have_run and p is not excluded]
        if self.is_unusable(txn):
            return 0
        if len(txn.postings) - (excluded is not None) >= self.max_postings:
            return 0
        if possible_runs and txn.scheme.semantics is Semantics.ONCE_ONLY:
            return 0
        if txn.scheme.semantics is not Semantics.REFERENCED:
            return FOREVER
        deadlines = [self.repeat_deadline(txn.scheme, p.sent_at) for p in possible_runs]
        if txn.remote_repeat_deadline is not None:
            # Workers of another region are in none of the groups that only a part of the workers forms.
            deadlines.append(txn.remote_repeat_deadline if self.is_repeatable_anywhere(txn.scheme) else 0)
        return min(deadlines, default=FOREVER)

    def repeat_deadline(self, scheme: Scheme, sent_at: int) -> int:
        """Return until when a referenced txn may be sent again.

        Args:
            scheme: Its scheme; workers recognize a repeat for the scheme's window.
            sent_at: When the first attempt that may have run was sent.
        """
        return sent_at + scheme.window - self.tick

    def can_decline(self, txn: Txn) -> bool:
        """Decide whether the client may safely be told to try again (rule 2, second half)."""
        return self.is_repeatable_anywhere(txn.scheme) or not (
            txn.remote_repeat_deadline is not None or any(p.may_have_run for p in txn.postings)
        )

    def is_unusable(self, txn: Txn) -> bool:
        """Return whether two workers agree that the request is unusable, so that a retry is pointless."""
        return sum(p.outcome is Outcome.UNUSABLE for p in txn.postings) > 1

    def is_repeatable_anywhere(self, scheme: Scheme) -> bool:
        """Return whether a txn of the scheme may safely run again at any worker."""
        return scheme.semantics is Semantics.REPEATABLE or (
            scheme.semantics is Semantics.REFERENCED and scheme.group is DeduplicationGroup.ALL
        )

    def shares_dedup_group(self, scheme: Scheme, one: Worker, other: Worker) -> bool:
        """Return whether two workers drop repeats of the scheme's txns together."""
        if scheme.semantics is not Semantics.REFERENCED or scheme.group is DeduplicationGroup.ALL:
            return True
        return one.zone == other.zone if scheme.group is DeduplicationGroup.ZONE else one.cell == other.cell

    # Choice of a worker.

    def work_type_of(self, txn: Txn) -> WorkType:
        """Return the paper's type of a txn: its slots and the machine that its scheme needs."""
        return (txn.slots, txn.scheme.machine)

    def work_of(self, txn: Txn) -> int:
        """Return the txn's work in slot ticks, or 1 if it has no hint."""
        return max(1, int(txn.hint * txn.slots)) if txn.hint is not None else 1

    def free_slots(self, state: WorkerState) -> float:
        """Return the worker's estimated free slots, cached for `estimate_lifetime` if nothing happens."""
        if self.now >= state.free_slots_estimate_until:
            state.free_slots_estimate = self.estimate_free_slots(state)
            state.free_slots_estimate_until = self.now + self.estimate_lifetime
        return state.free_slots_estimate

    def estimate_free_slots(self, state: WorkerState) -> float:
        """Estimate the free slots now: the last report, less later sends, plus later ends."""
        report = state.report
        baseline = self.zone_baselines.get(state.worker.zone)
        zone_excess = baseline.mean if baseline is not None else 0.0
        if state.may_be_warming_up and self.uses_slow_start_turns and self.slow_start_left(state):
            # At a cold worker the other dispatchers are restricted to their turns too, so it counts as idle
            # instead of as busy as its zone's mean.
            if report is None or report.free_slots is None:
                return self.min_slot_count - len(state.in_flight)
            zone_excess = -self.min_slot_count
        if report is None or report.free_slots is None:
            # An unreported worker is assumed to be as busy as its zone's mean, not idle.
            if baseline is not None:
                return -baseline.mean - len(state.in_flight)
            return 1.0 if len(state.in_flight) < 2 else 0.0
        # Reported load of other dispatchers' jobs decays towards the usual load, as those jobs end and others
        # come.
        excess = self.excess_jobs(report) - state.own_in_flight_then
        weight = exp(-(self.now - state.described_at) / self.mean_run_time)
        if baseline is not None:
            # With few readings of its own, a worker's usual load leans on its zone's mean, which counts as
            # two readings.
            usual_excess = (sum(state.others_readings) + 2.0 * zone_excess) / (len(state.others_readings) + 2)
            excess = weight * excess + (1.0 - weight) * usual_excess
        free = -excess - len(state.in_flight)
        if self.reports_start and (queue_wait := self.queue_wait(state)) > self.late_start_delay:
            # A posting that has not started by now is in a queue at least as long as the work that would have
            # run since. Nothing else shows a worker that hangs or reports less than it holds.
            free = min(free, -queue_wait / self.mean_run_time * (state.slot_count or self.min_slot_count))
        return free

    def queue_wait(self, state: WorkerState) -> int:
        """Return how long the first queued posting at the worker has waited, in ticks.

        A posting sent before one that has started, or before the worker fell silent, is more likely lost than
        queued, and is skipped.
        """
        since = max(state.last_reached_at, state.suspected_at if state.is_suspect else 0)
        return next(
            (self.now - p.sent_at for p in state.in_flight if p.started_at is None and p.sent_at > since), 0
        )

    def excess_jobs(self, report: LoadReport) -> float:
        """Return the reported jobs less the slots of a worker.

        Free slots behind a waiting job don't count: a third of the rejected postings had gone to workers
        whose first queued job waited for memory.
        """
        if report.queued_jobs is not None and report.queued_jobs >= 0.5:
            return report.queued_jobs
        return -(report.free_slots or 0.0)

    def has_queued_lately(self, state: WorkerState) -> bool:
        """Return whether recent postings queued there; txns over their customer's share then stay away."""
        return any(delay > self.late_start_delay for delay in state.start_delays)

    def update_late_start_delay(self) -> None:
        """Update the delay above which a posting counts as queued instead of started at once."""
        # This is the minimum and not the quartile or the median, because those measure the queues when all
        # workers have queues.
        typical = min(self.fleet_start_delays, default=20 * MILLISECOND)
        # The limit is no finer than a tick: where starts are seen at once, a finer limit took the plain
        # network delay of other zones for a queue.
        self.late_start_delay = 2 * max(typical, self.tick) + 2 * self.tick

    def compute_mean_run_time(self) -> float:
        """Return the mean of the last run times of all schemes, in ticks."""
        runs = [run for scheme in self.schemes for run in self.run_times[scheme]]
        return sum(runs) / len(runs) if runs else float(SECOND)

    def load(self, state: WorkerState, free_slots: float, txn: Txn) -> float:
        """Score a worker for a txn by the paper's rule, lower is better.

        The score is the backlogged work of the txn's own type, scaled by the reported queue length, the
        worker's pace and its risk of ending late.
        """
        own: float = state.backlog.get(txn.work_type, 0) + txn.work
        if state.initial_backlog:
            own += state.initial_backlog.get(txn.work_type, 0.0)
        queue_length = max(0.0, (state.slot_count or self.min_slot_count) - free_slots)
        pace = state.pace
        if state.may_be_warming_up and (time_left := self.slow_start_left(state)):
            pace /= self.slow_start_capacity(time_left)
        return own * (1.0 + queue_length) * pace * min(100.0, 1.0 + (pace / txn.slack_ratio) ** RISK_EXPONENT)

    def rank_workers_for_key(self, key: str) -> list[WorkerState]:
        """Return the workers in the order of preference for a key's data, the same at every dispatcher."""
        return sorted(
            self.workers.values(),
            key=lambda state: blake2b(f"{state.worker.name_hash} {key}".encode()).digest(),
        )

    def key_workers(self, txn: Txn) -> dict[WorkerState, float]:
        """Choose the workers that keep the data of the txn's key, with their free slots.

        These are the first eligible ones in the key's order, as many as the key's share of the traffic fills,
        and SPARE_KEY_WORKERS more. Any other worker fetches the data from a shared store and holds its slots
        meanwhile: jobs sent anywhere took a quarter longer, and once the store was saturated, jobs outside
        the key's workers held the whole fleet. So a key's worker is passed over only if it has lately
        rejected a posting as full, and not because of its estimated free slots. Each posting of the txn adds
        the next worker in the order. A worker that is absent or not eligible does not count towards the
        number.
        """
        assert txn.key is not None
        # Wide and narrow jobs stay on separate workers until more than half of a txn's allowed postings are
        # used.
        is_wide = bool(self.wide_job_workers) and txn.slots >= self.wide_job_min_slots
        any_width = 2 * len(txn.postings) > self.max_postings
        wide_share = len(self.wide_job_workers) / max(1, len(self.workers))
        wanted = (
            SPARE_KEY_WORKERS
            + len(txn.postings)
            + int(1.25 * txn.key_worker_count * (wide_share if is_wide else 1.0 - wide_share))
        )
        order, selected, retry_at = self.key_order(txn.key), {}, FOREVER
        # The first few workers are mostly enough; the rest is estimated only on demand.
        batches = (self.competing_workers(batch) for batch in (order[: 2 * wanted], order[2 * wanted :]))
        for state, free_slots in chain.from_iterable(map(dict.items, batches)):
            if ((state in self.wide_job_workers) == is_wide or any_width) and self.is_eligible(state, txn):
                retry_at = min(retry_at, pause_end := state.last_full_at + int(self.mean_run_time / 4))
                if self.now > pause_end:
                    selected[state] = free_slots
                wanted -= 1
                if not wanted:
                    break
        txn.key_workers_full_until = retry_at if not selected and retry_at < FOREVER else 0
        return selected

    def update_wide_job_workers(self) -> None:
        """Choose the workers that serve only jobs that need a whole worker.

        Where a worker starts any job that fits, a job that needs all its slots waits until it is empty: 0.6 s
        at the median, for jobs of 0.1 s. So a group of workers, a quarter more than these jobs need, serves
        only them and the jobs that were often rejected elsewhere. The group is the first part of an order
        that is the same at every dispatcher.
        """
        self.wide_job_workers.clear()
        # The smallest known worker is no measure: one full of other dispatchers' jobs shows few of its slots.
        slot_counts = sorted(state.slot_count for state in self.workers.values() if state.slot_count > 0)
        if not self.allows_backfill or not slot_counts or len(self.keyed_work) < 64:
            return
        self.wide_job_min_slots = max(2.0, 0.75 * slot_counts[len(slot_counts) * 3 // 4])
        total_work = sum(work for _, work in self.keyed_work)
        wide_share = (
            sum(work for slots, work in self.keyed_work if slots >= self.wide_job_min_slots) / total_work
        )
        ready_workers = [
            state for state in self.key_order("") if state.worker.listed_state is ListedState.READY
        ]
        for state in ready_workers[: int(1.25 * wide_share * len(ready_workers) + 0.5)]:
            self.wide_job_workers[state] = None

    def rejection_level(self) -> float:
        """Return the level of recent rejections, each decaying over the mean run time.

        Rejections by several workers at once show that all are fuller than estimated.
        """
        return sum(exp(-(self.now - at) / self.mean_run_time) for at in self.rejection_times) / 8

    def in_time_chance(self, state: WorkerState, txn: Txn) -> float:
        """Return the chance to end in time at the worker; unlike in the paper, workers differ in pace."""
        return 1.0 / min(100.0, 1.0 + (state.pace / txn.slack_ratio) ** RISK_EXPONENT)

    def compute_slack_ratio(self, txn: Txn) -> float:
        """Return the txn's time left over its time needed."""
        return max(0.001, (self.sla_deadline(txn) - self.now) / self.run_time_of(txn))

    def is_eligible(self, state: WorkerState, txn: Txn) -> bool:
        """Decide whether the txn may go to the worker, apart from free slots."""
        worker = state.worker
        machine = txn.scheme.machine
        return (
            (machine is None or worker.machine == machine)
            and (not txn.postings or self.can_post_to(txn, worker))
            and (not state.scheme_pauses or not state.is_paused(txn.scheme, self.now))
            # A suspect gets only txns that may run again at any worker. If no scheme allows that, it gets
            # referenced txns, and if there are no referenced schemes either, any txn. In these two cases it
            # has to answer a probe first (where probes carry reports). Without any txns it would stay a
            # suspect for good.
            and (
                not state.is_suspect
                or (
                    txn.scheme in self.trial_schemes
                    and (
                        not self.has_no_repeatable_scheme
                        or not self.probe_interval
                        or state.reported_at > state.suspected_at
                    )
                )
            )
            # A txn that a single error loses does not go where a posting has failed lately.
            and (self.now >= state.error_backoff_until or txn.scheme.semantics is not Semantics.ONCE_ONLY)
            and not (txn.is_over_share and self.reports_start and self.has_queued_lately(state))
            and (not state.may_be_warming_up or self.fits_slow_start(state, txn))
        )

    def required_slots(self, txn: Txn) -> float:
        """Return the free slots that a worker must have for the txn."""
        return (
            (self.over_share_reserve if txn.is_over_share else 0.0)
            + txn.slots
            - 1.0
            + MIN_EXPECTED_FREE_SLOTS
            + (0.25 + self.rejection_level() / 2) * len(txn.postings)
        )

    def should_post_blindly(self, free_slots: dict[WorkerState, float]) -> bool:
        """Decide whether to post without the required free slots.

        If reports are late and most jobs belong to other dispatchers, a posting tells more than an estimate
        of free slots, as long as few postings were rejected lately.
        """
        if self.report_age <= self.mean_run_time / 2 or self.rejection_level() >= BLIND_MAX_REJECTION_LEVEL:
            return False
        jobs = sum(max(0.0, state.slot_count - free) for state, free in free_slots.items())
        return 4 * sum(len(state.in_flight) for state in free_slots) < jobs

    def choose_worker(
        self, txn: Txn, free_slots: dict[WorkerState, float], is_blind: bool
    ) -> WorkerState | None:
        """Choose the worker for a txn, or None if it has to be held."""
        required = self.required_slots(txn)
        is_blind = is_blind and not txn.is_over_share
        if txn.key is not None:
            free_slots, required = self.key_workers(txn), -float(FOREVER)
        is_unrestricted = not txn.postings and not txn.is_over_share and txn.scheme.machine is None
        loads = [
            (self.load(state, free, txn), state)
            for state, free in free_slots.items()
            if (free >= required or (is_blind and self.now - state.last_full_at > self.mean_run_time / 2))
            # Inlines the checks that nearly all workers pass, to save a call for each of them.
            and (
                (
                    is_unrestricted
                    and not state.may_be_warming_up
                    and not state.is_suspect
                    and not state.scheme_pauses
                    and self.now >= state.error_backoff_until
                )
                or self.is_eligible(state, txn)
            )
        ]
        self.scored_workers = loads
        if txn.scheme.semantics is Semantics.ONCE_ONLY and txn.key is None:
            # A single error loses a once-only txn, so it prefers workers where a txn has settled lately: each
            # of forty dispatchers learned of a failing worker by a txn of its own, and half of the txns lost
            # that way were once-only.
            proven_since = self.now - int(8 * self.mean_run_time)
            loads = [entry for entry in loads if entry[1].last_success_at > proven_since] or loads
        if self.price_cross < NEGLIGIBLE_CROSS_PRICE or txn.key is not None:
            return self.least(loads)
        near = self.least([entry for entry in loads if entry[1].worker.zone == self.home_zone])
        far = self.least([entry for entry in loads if entry[1].worker.zone != self.home_zone])
        return far if far is not None and self.should_cross(txn, near, far) else near

    def least(self, loads: list[tuple[float, WorkerState]]) -> WorkerState | None:
        """Choose the worker with the least load, ties at random (the paper's rule).

        The caller scans all candidates; `load` scales the backlog of the txn's own type by the queue length.
        """
        lowest, winners = float("inf"), []
        for load, state in loads:
            if load < lowest:
                lowest, winners = load, [state]
            elif load == lowest:
                winners.append(state)
        return self.choose(winners) if len(winners) > 1 else winners[0] if winners else None

    def should_cross(self, txn: Txn, near: WorkerState | None, far: WorkerState) -> bool:
        """Decide whether the higher chance to end in time at another zone's worker is worth the crossing.

        Without free slots in the home zone, the results of the last txns held for it set the chance there.
        """
        if near is not None:
            home_chance = self.in_time_chance(near, txn)
        else:
            left_share = (self.give_up_at(txn) - self.now) / max(1, self.give_up_at(txn) - txn.first_seen_at)
            home_chance = left_share * (1 + sum(self.home_wait_results)) / (2 + len(self.home_wait_results))
        accepted_share = (1 + sum(self.crossing_results)) / (1 + len(self.crossing_results))
        return (
            self.value_of(txn)
            / self.mean_value
            * (self.in_time_chance(far, txn) * accepted_share - home_chance)
            > self.price_cross
        )

    def is_list_stale(self, now: int) -> bool:
        """Return whether a change that this dispatcher has not received may count as delivered.

        Nothing is posted while the list is stale, because the missed change could be a drain of the worker.
        """
        return self.needs_list_subscription and now >= self.list_valid_until

    def grant_next(self) -> tuple[Txn, Worker] | None:
        """Choose the next held txn that gets a worker: the highest value first, then the most urgent."""
        if self.is_list_stale(self.now):
            self.scan_due = self.now + SCAN_INTERVAL
            return None
        if not self.waiting or (not self.has_events and not self.has_granted and self.now < self.scan_due):
            return None
        if self.has_events or self.now >= self.scan_due:
            self.unplaceable_classes.clear()
        self.has_events, self.has_granted, self.scan_due = (
            False,
            False,
            self.now + max(SCAN_INTERVAL, self.estimate_lifetime // 4),
        )
        free_slots: dict[WorkerState, float] | None = None
        max_free, is_blind = -float(FOREVER), False
        for _, _, txn in self.waiting[:64]:
            # Txns of one class fail alike at every worker, so that one attempt per class saves CPU time.
            value_class = int(4 * self.value_of(txn) / self.mean_value)
            txn_class = (txn.scheme, txn.is_over_share, value_class, len(txn.postings), txn.key)
            if txn_class in self.unplaceable_classes or self.now <= txn.key_workers_full_until:
                continue
            if self.now < txn.probes_valid_until and any(state.is_probing for state in txn.probed_workers):
                self.scan_due = min(self.scan_due, txn.probes_valid_until)
                continue
            if txn.postings and not self.can_post_again(txn):
                continue
            if free_slots is None and (txn.key is None or not self.probes_all_workers):
                free_slots = self.competing_workers(self.workers.values())
                max_free, is_blind = (
                    max(free_slots.values(), default=-FOREVER),
                    self.should_post_blindly(free_slots),
                )
            txn.slack_ratio = self.compute_slack_ratio(txn)
            # No scan is needed if no worker has the required free slots: many txns are held when all workers
            # are full.
            is_feasible = is_blind or txn.key is not None or max_free >= self.required_slots(txn)
            state = self.choose_worker(txn, free_slots or {}, is_blind) if is_feasible else None
            is_probing = self.probe_candidates(txn, state, free_slots or {})
            if (
                state is not None
                and not is_probing
                and (not self.gate or self.gate.permits_posting(txn, state.worker, self))
            ):
                self.has_granted = True
                return txn, state.worker
            if state is None and not any(p.may_have_run for p in txn.postings):
                self.unplaceable_classes[txn_class] = None
        return None

    def competing_workers(self, states: Iterable[WorkerState]) -> dict[WorkerState, float]:
        """Return the free slots of each worker that competes, without ranking them."""
        now = self.now
        # A worker that has not answered a probe in the time that probes take may be gone.
        cutoff = -FOREVER if self.probes_all_workers else now - 2 * max(self.probe_durations) - self.tick
        suspended_zones = [zone for zone, until in self.zone_suspended_until.items() if now < until]
        return {
            s: s.free_slots_estimate if now < s.free_slots_estimate_until else self.free_slots(s)
            for s in states
            if ((worker := s.worker).listed_state is ListedState.READY or self.is_still_alive(s))
            and now >= s.ejected_until
            and not (suspended_zones and worker.zone in suspended_zones)
            and not (s.is_suspect and self.has_running_trial(s))
            and not (s.is_probing and s.probed_at < cutoff)
        }

    def has_running_trial(self, state: WorkerState) -> bool:
        """Return whether a suspect has a posting that may still show whether it is alive.

        Where no posting can be withdrawn and none can run again, a posting that the worker swallowed stays in
        flight until its expiry. Then the next trial waits longer the more trials were lost before.
        """
        if not self.has_no_repeatable_scheme:
            return bool(state.in_flight)
        return (
            state.trial_posting is not None
            and state.trial_posting.is_in_flight
            and self.now < state.trial_posting.sent_at + (self.silence_timeout << min(state.lost_trials, 2))
        )

    def is_still_alive(self, state: WorkerState) -> bool:
        """Return whether a delisted worker that did not drain is usable, because it has shown life since.

        This applies where the config does not make a delisting binding.
        """
        return max(
            state.last_alive_at, state.reported_at
        ) > state.delisted_at and state.worker.can_receive_postings(self.delisted_workers_usable)

    def probe_candidates(
        self, txn: Txn, chosen: WorkerState | None, free_slots: dict[WorkerState, float]
    ) -> bool:
        """Probe the few workers that the scan ranks first, if their reports are stale or missing.

        With hundreds of dispatchers, the own backlog is mostly zero and the last answer of a worker is long
        past: without probes the scan is a random choice among all workers not known to be full.

        Returns:
            Whether probes were sent, so that the txn waits for their results.
        """
        if (
            not self.probe_interval
            or self.probes_all_workers
            or self.report_age > self.probe_interval
            or self.probe_tokens < 1.0
        ):
            return False
        if chosen is not None and (
            self.now - chosen.reported_at < self.probe_interval or txn.probe_rounds >= MAX_PROBE_ROUNDS
        ):
            return False
        if chosen is None and (
            self.now < txn.probes_valid_until + self.estimate_lifetime
            or self.probe_tokens < 2 * SAMPLE_WORKERS
        ):
            return False  # all are full: keep the probe budget for when there is a choice
        is_home = chosen is None or chosen.worker.zone == self.home_zone
        loads = (
            self.scored_workers
            if chosen is not None
            else [
                (self.load(state, free, txn), state)
                for state, free in free_slots.items()
                if self.is_eligible(state, txn)
            ]
        )
        ranked = [
            (load, self.random(), state)
            for load, state in loads
            if self.now - state.reported_at >= self.probe_interval
            and not state.is_probing
            and (self.price_cross <= 0 or (state.worker.zone == self.home_zone) == is_home)
        ]
        ranked.sort(key=lambda entry: entry[:2])
        allowed = (
            state for _, _, state in ranked if not self.gate or self.gate.can_probe(state.worker, self)
        )
        txn.probed_workers = list(islice(allowed, min(SAMPLE_WORKERS, int(self.probe_tokens))))
        for state in txn.probed_workers:
            self.probe(state)
        txn.probe_rounds += chosen is not None
        txn.probes_valid_until = self.now + 2 * max(self.probe_durations) + self.tick
        return bool(txn.probed_workers)

    def probe(self, state: WorkerState) -> None:
        """Send one probe to the worker and pay for it."""
        self.probe_tokens -= 1.0
        state.is_probing, state.probed_at = True, self.now
        self.transport.probe(state.worker)

    def priority(self, txn: Txn) -> tuple[float, int]:
        """Return the sort key of a held txn, lowest first.

        Among txns of similar value, the customer that has used least of its share goes first.
        """
        value = self.value_of(txn) * (1.0 if self.now < self.in_time_until(txn) else txn.scheme.late_value)
        return -value / self.run_time_of(txn) * (1.0 + min(1.0, txn.unused_share)), self.give_up_at(txn)

    # The value of a txn, and how long holding it pays.

    def register_txn(self, txn: Txn) -> None:
        """Record an arriving txn: its work, key, first request time and its customer's usage."""
        txn.work_type, txn.work = self.work_type_of(txn), self.work_of(txn)
        # The config may have changed twice since the txn was taken in, so `run_times` may lack its scheme.
        self.run_times.setdefault(txn.scheme, deque(maxlen=48))
        txn.retry_fingerprint = (txn.scheme, txn.customer, txn.hint, txn.slots, txn.memory)
        if txn.hint is not None:
            self.hinted_work.append(txn.hint * txn.slots)
        txn.first_seen_at = self.first_request_at(txn)
        if not self.has_load_reports and self.dispatchers >= len(self.workers):
            # Without load reports, and with fewer own txns than one worker runs, a key's workers would fill
            # up unseen.
            txn.key = None
        if txn.key is not None:
            txn.key_worker_count = (
                len(self.workers) * self.recent_keys.count(txn.key) / max(1, len(self.recent_keys))
            )
            self.recent_keys.append(txn.key)
            self.keyed_work.append((txn.slots, txn.slots * self.run_time_of(txn)))
        self.probe_tokens = min(self.probe_tokens + self.probe_tokens_per_txn, 20 * self.probe_tokens_per_txn)
        self.recent_values.append(self.value_of(txn))
        self.arrival_times.append(self.now)
        self.mean_value = sum(self.recent_values) / len(self.recent_values)
        usage = self.customer_usage.get(txn.customer) if txn.customer is not None else None
        if usage is not None:
            usage.arrivals.append(self.now)
            txn.is_over_share = not usage.try_consume(self.now, 1.15 * self.traffic_share)
            txn.unused_share = usage.tokens / usage.bucket_size(self.traffic_share)

    def update_traffic_share(self) -> None:
        """Update the share of the fleet's traffic that comes through this dispatcher.

        Customers' shares are for the whole fleet, and this dispatcher may see an uneven part of their
        traffic. The median customer shows which part; a single customer that floods does not move the median.
        """
        rates = sorted(
            usage.arrival_rate(self.now) / usage.quota_rate for usage in self.customer_usage.values()
        )
        if len(rates) > 1:
            median = (rates[(len(rates) - 1) // 2] + rates[len(rates) // 2]) / 2
            self.traffic_share = min(2.0 * self.even_traffic_share, max(self.even_traffic_share, median))

    def remember_declined(self, txn: Txn) -> None:
        """Remember a declined txn, to recognize its client's next attempt."""
        self.first_requests[txn.retry_fingerprint] = txn.first_seen_at
        if len(self.first_requests) > 512:
            del self.first_requests[next(iter(self.first_requests))]

    def first_request_at(self, txn: Txn) -> int:
        """Return when the client first requested the txn, from which its SLA time runs.

        A retry has another id but is recognized by its hint: in overload, half of the arrivals were retries
        that could no longer be in time (incident i8141a7).
        """
        first = self.first_requests.pop(txn.retry_fingerprint, self.now) if txn.hint is not None else self.now
        if txn.is_retry and first == self.now:
            # Its earlier attempt was held at least this long before it was declined.
            first -= txn.scheme.sla_time
        return first if self.now - first < txn.scheme.expiry else self.now

    def value_of(self, txn: Txn) -> float:
        """Return the value of a txn, reduced if its customer is over its share."""
        value = txn.scheme.value * (txn.hint or 1 if self.value_by_work else 1)
        return value * self.over_share_value if txn.is_over_share else value

    def sla_deadline(self, txn: Txn) -> int:
        """Return the time by which the txn has to end to be in time."""
        scheme = txn.scheme
        run_time = self.run_time_of(txn) * (1.0 if txn.hint is not None else self.fastest_pace)
        return txn.first_seen_at + scheme.sla_time + int(scheme.stretch * run_time)

    def run_time_of(self, txn: Txn) -> float:
        """Return the expected run time of the txn, in ticks."""
        if txn.hint is not None:
            return float(txn.hint)
        runs = self.run_times[txn.scheme]
        return sum(runs) / len(runs) if runs else float(max(1, txn.scheme.sla_time))

    def give_up_at(self, txn: Txn) -> int:
        """Return the time after which holding the txn no longer pays."""
        deadline = self.answer_by(txn)
        late_counts = txn.scheme.late_value > 0
        # A txn that can't end before this process does is answered while it can still be served elsewhere.
        if late_counts or txn.is_deadline_shortened:
            deadline = int(deadline - self.run_time_of(txn))
        return deadline if late_counts else min(deadline, self.in_time_until(txn))

    def post_until(self, txn: Txn) -> int:
        """Return the time after which a posting of the txn is unsafe or no longer pays."""
        return min(self.give_up_at(txn), self.postable_until(txn))

    def in_time_until(self, txn: Txn) -> int:
        """Return the time until which a posting of the txn can still end in time."""
        scheme = txn.scheme
        # For a txn without a hint, half of the slack counts: after its SLA time, it is in time only if its
        # run turns out to be a long one.
        slack = self.sla_deadline(txn) - txn.first_seen_at - scheme.sla_time - int(self.run_time_of(txn))
        return txn.first_seen_at + scheme.sla_time + max(0, slack // (1 if txn.hint is not None else 2))

    def hold(self, txn: Txn) -> None:
        """Queue the txn until a worker has free slots for it."""
        self.has_events = True
        txn.queue_entry, self.hold_count = (self.priority(txn), self.hold_count + 1, txn), self.hold_count + 1
        insort(self.waiting, txn.queue_entry)

    def release(self, txn: Txn) -> None:
        """Remove the txn from the queue of held txns."""
        if txn.queue_entry is not None:
            del self.waiting[bisect_left(self.waiting, txn.queue_entry)]
            txn.queue_entry = None

    # Monitoring of postings.

    def recheck_at(self, posting: Posting) -> int:
        """Return when a posting has to be checked next for acceptance or silence."""
        if self.now < (due := self.acceptance_delays.deadline(posting)) < FOREVER:
            return due
        if not self.silence_timeout:
            return FOREVER
        state = self.workers[posting.worker]
        return max(
            self.now + self.silence_timeout // 8,
            max(state.last_alive_at, posting.sent_at) + self.silence_timeout,
        )

    def should_move(self, txn: Txn, posting: Posting) -> bool:
        """Decide whether to look for another worker, as this one is silent or has not accepted the txn."""
        state = self.workers[posting.worker]
        self.update_suspicion(state)
        is_unaccepted = self.now >= self.acceptance_delays.deadline(posting)
        if is_unaccepted and not posting.is_cancelled:
            previous = state.scheme_pauses.get(txn.scheme)
            state.scheme_pauses[txn.scheme] = pause_after(posting, previous, self.now)
        return (
            (state.is_suspect or is_unaccepted)
            and (self.allows_hedging or self.can_cancel)
            and self.now < self.post_until(txn)
        )

    def update_suspicion(self, state: WorkerState) -> None:
        """Make a worker with postings a suspect after the silence timeout without a sign of life."""
        is_silent = (
            self.silence_timeout
            and state.in_flight
            and self.now - max(state.last_alive_at, state.in_flight[0].sent_at) >= self.silence_timeout
        )
        if is_silent and not state.is_suspect:
            state.suspected_at, state.trial_posting, state.is_suspect = self.now, None, True

    # Cold workers.

    def slow_start_left(self, state: WorkerState) -> int:
        """Return how long the worker is still in slow start, in ticks; 0 if it is not."""
        if self.is_restart_possible(state):
            return self.ramp_time
        return max(
            0, max(state.worker.started_at or -FOREVER, state.inferred_restart_at) + self.ramp_time - self.now
        )

    def slow_start_capacity(self, time_left: int) -> float:
        """Return the least fraction of its full capacity that a worker has with this slow-start time left."""
        return self.slow_start_share + (1.0 - self.slow_start_share) * (1.0 - time_left / self.ramp_time)

    def is_restart_possible(self, state: WorkerState) -> bool:
        """Return whether a worker may have restarted unnoticed, while the list is unreachable.

        Without a list no new start is reported: two workers that had restarted meanwhile were overloaded. A
        connection that broke shortly before the loss of the list was noticed counts too.
        """
        return self.list_failures > 0 and state.connection_broken_at > max(
            state.inferred_restart_at, self.list_lost_at - self.list_request_timeout
        )

    def fits_slow_start(self, state: WorkerState, txn: Txn) -> bool:
        """Decide whether a posting keeps to this dispatcher's share of a cold worker's capacity (rule 4)."""
        time_left = self.slow_start_left(state)
        if not time_left:
            return True
        if self.now < self.history_start + self.overload_window or (
            txn.hint is None and not self.run_times[txn.scheme]
        ):
            # Sends before this process started may still load the worker, or the job's size is unknown.
            return False
        # Sends since the worker's start count, even if the list reported that start later.
        since = FOREVER if state.worker.started_at is None else state.worker.started_at
        work = self.charge(txn) + sum(w for at, w, cold in self.last_sends(state) if cold or at >= since)
        slot_count = self.min_slot_count if self.hinted_work else state.slot_count or self.min_slot_count
        budget = self.slow_start_work_per_slot * self.slow_start_capacity(time_left) * slot_count
        if self.uses_slow_start_turns:
            # Beyond the budget of N mean jobs per window, 2 sqrt(N) + 2 jobs are allowed for chance. One turn
            # gets half of the sum, because a window touches two turns. Without hints a third of N is kept
            # back for each dispatcher's errors in run times (docs/fleet.md).
            mean_work = self.mean_job_work
            if not self.hinted_work:
                mean_work *= self.error_factor(sum(len(self.run_times[s]) for s in self.schemes))
            jobs = 2.0 * budget / mean_work
            turn_work = (
                (jobs * (1.0 if self.hinted_work else 2 / 3) + 2.0 * sqrt(jobs) + 2.0) * mean_work / 2.0
            )
            # Hinted jobs are uneven, so that each sender gets the work of two mean jobs.
            senders = max(2, int(turn_work / mean_work / (2 if self.hinted_work else 1)))
            if senders >= self.dispatchers:
                # All dispatchers may send in any window.
                return work <= 2.0 * turn_work / self.dispatchers
            return work <= turn_work / senders and self.has_slow_start_turn(state, senders)
        return work <= budget / self.dispatchers or (self.has_slow_start_turn(state) and work <= budget / 4)

    def charge(self, txn: Txn) -> float:
        """Return the work that a txn is charged against a slow-start budget, in slot ticks.

        Without a hint the charge is higher, because the mean of a few run times is often too low.
        """
        work = self.run_time_of(txn) * txn.slots
        return work if txn.hint is not None else work * self.error_factor(len(self.run_times[txn.scheme]))

    def error_factor(self, runs: int) -> float:
        """Return the factor on a mean run time that allows for the error of a mean of so few runs."""
        return 1.0 + 3.0 / max(1, runs)

    def last_sends(self, state: WorkerState) -> deque[tuple[int, int, bool]]:
        """Return (when, work, whether cold) of the sends to the worker in the last overload window."""
        while state.recent_sends and state.recent_sends[0][0] <= self.now - self.overload_window - self.tick:
            state.recent_sends.popleft()
        return state.recent_sends

    def has_slow_start_turn(self, state: WorkerState, senders: int = 1) -> bool:
        """Decide whether this dispatcher is one of the `senders` that may post to a cold worker now.

        Each overload window has its own senders. The order follows from the clock, the worker's start and its
        name hash, the same at every dispatcher. Each dispatcher computes `senders` anew each time, so that a
        smaller set must be contained in a larger one.
        """
        if state.worker.started_at is None or state.inferred_restart_at > state.worker.started_at:
            return False  # the other dispatchers assume another start, or none
        turn = (self.now - state.worker.started_at) // max(1, self.overload_window)
        return (self.index - state.worker.name_hash - turn) * self.turn_step % self.dispatchers < senders

    # Events.

    def on_posting_sent(self, posting: Posting) -> None:
        """Record a posting that goes out: its backlog and its slow-start work."""
        state = self.workers[posting.worker]
        state.free_slots_estimate_until = 0
        posting.work, posting.worker_started_at = posting.txn.work, state.worker.started_at
        if state.is_suspect:
            state.trial_posting = posting
        work_type = posting.txn.work_type
        state.in_flight.append(posting)
        state.record_in_flight(self.now)
        state.backlog[work_type] = state.backlog.get(work_type, 0) + posting.work
        if self.is_restart_possible(state):
            state.inferred_restart_at = self.now
        self.last_sends(state).append(
            (self.now, int(self.charge(posting.txn)), self.slow_start_left(state) > 0)
        )

    def on_posting_ended(self, posting: Posting, spent: int, report: LoadReport | None) -> None:
        """Record the outcome of a posting and the report that came with it."""
        state = self.workers[posting.worker]
        state.in_flight.remove(posting)
        state.record_in_flight(self.now)
        self.has_events, state.free_slots_estimate_until = True, 0
        state.backlog[posting.txn.work_type] -= posting.work
        outcome = posting.outcome
        if posting.worker.zone != self.home_zone:
            self.crossing_results.append(posting.may_have_run)
        if outcome is Outcome.SETTLED:
            run_time = self.now - (posting.started_at or posting.sent_at)
            state.pace_samples.append(max(0.1, min(10.0, run_time / self.run_time_of(posting.txn))))
            # A few samples of work this uneven say little, so the mean leans on a pace of 1, which counts as
            # three samples.
            state.pace = exp(sum(map(log, state.pace_samples)) / (len(state.pace_samples) + 3))
            self.run_times[posting.txn.scheme].append(max(1, run_time))
            state.mark_alive(self.now)
            self.clear_zone_failures(state.worker)
            state.consecutive_failures, state.last_success_at = 0, self.now
            # If another worker answered that this txn is unusable, that worker was itself at fault. This
            # shows only now that the txn has settled here.
            for earlier in (p for p in posting.txn.postings if p.outcome is Outcome.UNUSABLE):
                self.eject_after_failure(self.workers[earlier.worker])
            state.initial_backlog = {
                work_type: work / 2 for work_type, work in state.initial_backlog.items() if work > 1
            }
        elif state.is_suspect and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            # A stalled worker keeps each new posting, so that trials become rarer.
            state.lost_trials += 1
            state.ejected_until = self.now + (self.silence_timeout << min(state.lost_trials - 1, 2))
        elif outcome in (Outcome.ERROR, Outcome.UNCONNECTED, Outcome.RESET):
            self.eject_after_failure(state)
            if outcome is not Outcome.ERROR:
                self.on_connection_broken(state.worker)
                self.record_zone_failure(state.worker)
            else:
                # An exponential backoff that starts at milliseconds has no effect if this dispatcher's next
                # posting to the worker is seconds away: each of forty dispatchers met the same failing
                # workers three to four times. So the backoff here follows the mean run time.
                backoff = int(8 * self.mean_run_time)
                state.error_backoff_until = self.now + backoff
                state.ejected_until = max(
                    state.ejected_until, self.now + min(backoff, self.mean_send_interval())
                )
        if outcome is Outcome.FULL:
            self.rejection_times.append(self.now)
            state.last_full_at = self.now
            known_load = report if report is not None and report.free_slots is not None else None
            if known_load is not None:
                self.rejection_claims.append(
                    (known_load.free_slots or 0.0) >= 0.5 and (known_load.queued_jobs or 0.0) < 0.5
                )
                if self.rejection_claims[-1]:
                    # A rejection by a worker that reports free slots shows an outdated report. A single one
                    # may be a race lost by milliseconds to another dispatcher; a majority of the last ones
                    # discredits all reports (see the report age).
                    if sum(self.rejection_claims) > CLAIM_WINDOW // 2:
                        self.reports_distrusted_until = self.now + int(8 * self.mean_run_time)
                        self.update_report_age()
                    known_load = None
                self.update_report_age()
            # The rejection is current and first-hand: an older report of free slots is no longer believed.
            full_report = LoadReport(
                free_slots=0.0, queued_jobs=known_load.queued_jobs if known_load is not None else 0.0
            )
            if report is not None:
                # If answers carry reports, the rejection counts as a reading of other dispatchers' load. If
                # only probes carry reports, it does not count, because probes are the less biased sample.
                state.others_readings.append(max(1.0, self.excess_jobs(full_report)) - len(state.in_flight))
                self.zone_baselines.setdefault(state.worker.zone, ZoneBaseline()).add_reading(
                    self.now, state.others_readings[-1]
                )
            state.report, state.described_at, state.reported_at, state.own_in_flight_then = (
                full_report,
                self.now,
                self.now,
                len(state.in_flight),
            )
        elif report is not None:
            self.apply_report(state, report)

    def record_zone_failure(self, worker: Worker) -> None:
        """Record a failed worker, and suspend its zone when several failed without any sign of life from it.

        A zone was lost 5 s before the list said so: each dispatcher has few txns to learn of fifteen workers,
        and spent all four postings of a txn on them. Several failures stand for the rest of the zone, if
        there are other zones to use.
        """
        failed = self.zone_failures.setdefault(worker.zone, {})
        failed[worker] = None
        if len(failed) >= SAMPLE_WORKERS and any(
            state.worker.zone != worker.zone for state in self.workers.values()
        ):
            self.zone_suspended_until[worker.zone] = self.now + min(
                2 * SECOND, SECOND // 4 << len(failed) - SAMPLE_WORKERS
            )

    def clear_zone_failures(self, worker: Worker) -> None:
        """Lift the suspension of a worker's zone after a sign of life."""
        if self.zone_failures.pop(worker.zone, None) is not None:
            self.zone_suspended_until.pop(worker.zone, None)

    def mean_send_interval(self) -> int:
        """Return the time in which this dispatcher sends, on average, one txn to each worker, in ticks."""
        return (
            len(self.workers) * (self.now - self.arrival_times[0]) // len(self.arrival_times)
            if self.arrival_times
            else 0
        )

    def eject_after_failure(self, state: WorkerState) -> None:
        """Record a failure of the worker and eject it with exponential backoff."""
        state.consecutive_failures += 1
        state.ejected_until = self.now + min(
            4 * SECOND, 20 * MILLISECOND << min(state.consecutive_failures, 10)
        )

    def on_connection_broken(self, worker: Worker) -> None:
        """Record that a connection to the worker broke, so that it may have restarted."""
        self.workers[worker].connection_broken_at, self.workers[worker].may_be_warming_up = self.now, True

    def apply_report(self, state: WorkerState, report: LoadReport) -> None:
        """Apply a load report to the worker's state and to the estimates of its zone and the report age."""
        self.clear_zone_failures(state.worker)
        if report.free_slots is None:
            return
        figures = (report.free_slots, report.queued_jobs, report.held_slots)
        if (
            self.reports_start
            and figures == state.last_figures
            and any(part is not None and part % 1.0 for part in figures)
        ):
            # A measured figure that repeats to its last digit is the same reading, now older, and may not
            # replace what starts have shown since. When it counted as fresh, all dispatchers met at a worker
            # that had once been idle.
            state.reported_at = self.now
            return
        state.last_figures = figures
        excess = self.excess_jobs(report)
        others = [excess - state.own_in_flight_at(self.now - age) for age in CANDIDATE_AGES]
        if state.others_load is not None and self.now - state.others_load[0] < 3 * SECOND:
            self.age_errors.append((self.now, [(a - b) ** 2 for a, b in zip(others, state.others_load[1])]))
        state.others_load = (self.now, others)
        state.others_readings.append(excess - state.own_in_flight_at(self.now - self.report_age))
        self.zone_baselines.setdefault(state.worker.zone, ZoneBaseline()).add_reading(
            self.now, state.others_readings[-1]
        )
        state.slot_samples.append(
            report.free_slots
            + (
                report.held_slots - (report.queued_jobs or 0.0)
                if report.held_slots is not None
                else state.own_in_flight_at(self.now - self.report_age)
            )
        )
        state.slot_count, state.free_slots_estimate_until = max(state.slot_samples), 0
        if self.now - self.report_age >= state.described_at:
            state.report, state.reported_at = report, self.now
            state.described_at = self.now - self.report_age
            state.own_in_flight_then = state.own_in_flight_at(state.described_at)

    def update_report_age(self) -> None:
        """Update the estimated age of reports on arrival.

        It is the age at which the other dispatchers' load, as the reports imply it, changes least between
        reports.
        """
        for baseline in self.zone_baselines.values():
            baseline.update_mean(self.now, 8 * self.mean_run_time)
        # With few txns, one period of late reports would be remembered for most of the day.
        while self.age_errors and self.now - self.age_errors[0][0] > 8 * SECOND:
            self.age_errors.popleft()
        self.report_age = CANDIDATE_AGES[0]
        if len(self.age_errors) >= 8:
            sums = [sum(column) for column in zip(*(errors for _, errors in self.age_errors))]
            # A few samples fit some age by chance, so an age has to fit far better than prompt reports do.
            best = min(sums)
            acceptable = best * (2.1 - len(self.age_errors) / 48) + 0.01
            gains = [errors[0] - errors[sums.index(best)] for _, errors in self.age_errors]
            # It also has to fit better in most samples, by more than their spread: with few own postings
            # between two reports, one or two jumps of other dispatchers' load selected an age, and a third of
            # all postings of forty dispatchers were sent blindly.
            if sum(gains) > AGE_MIN_STANDARD_ERRORS * sum(gain * gain for gain in gains) ** 0.5:
                self.report_age = next(age for age, total in zip(CANDIDATE_AGES, sums) if total <= acceptable)
        if self.now < self.reports_distrusted_until:
            # Workers that reject postings claim to be idle: reports are old, by an unknown age, and a probe
            # returns more of the same. All dispatchers that believe them meet at the same few workers.
            self.report_age = CANDIDATE_AGES[-1]

    def on_posting_accepted(self, posting: Posting) -> None:
        """Record that the worker has accepted the posting, which ends the pause of its scheme there."""
        self.acceptance_delays.record(self.now - posting.sent_at)
        self.workers[posting.worker].scheme_pauses.pop(posting.txn.scheme, None)

    def on_withdrawal_answered(self, posting: Posting, delay: int) -> None:
        """Record that a posting no longer runs.

        Where it was not accepted, this shows how long an acceptance may take now.
        """
        posting.may_still_run = False
        self.has_events = True
        if posting.accepted_at is None:
            self.acceptance_delays.record_withdrawal(delay)

    def on_progress(self, posting: Posting) -> None:
        """Record a sign of life of the worker, and the start of the posting if it has just started."""
        state = self.workers[posting.worker]
        state.mark_alive(self.now)
        self.clear_zone_failures(state.worker)
        if posting.started_at == self.now:
            self.fleet_start_delays.append(self.now - posting.sent_at)
            state.start_delays.append(self.now - posting.sent_at)
            state.last_reached_at = max(state.last_reached_at, posting.sent_at)
            if self.reports_start and posting.sent_at > state.described_at:
                self.apply_start_delay(state, posting)

    def apply_start_delay(self, state: WorkerState, posting: Posting) -> None:
        """Replace the report by what the start of a posting shows at first hand.

        There was a free slot when it was sent, or a queue as long as the work that has run since.
        """
        start_delay, slot_count = self.now - posting.sent_at, state.slot_count or self.min_slot_count
        free_slots = state.report.free_slots or 0.0 if state.report is not None else 0.0
        if start_delay <= self.late_start_delay:
            state.report = LoadReport(free_slots=max(1.0, free_slots), queued_jobs=0.0)
        else:
            state.report = LoadReport(
                free_slots=0.0, queued_jobs=max(1.0, start_delay / self.mean_run_time * slot_count)
            )
        state.described_at, state.own_in_flight_then, state.free_slots_estimate_until = (
            posting.sent_at,
            state.own_in_flight_at(posting.sent_at - 1),
            0,
        )

    def on_probe_result(
        self, worker: Worker, outcome: Outcome, spent: int, report: LoadReport | None
    ) -> None:
        """Apply the result of a probe to the worker's state."""
        state = self.workers[worker]
        state.is_probing, self.has_events = False, True
        if report is not None:
            self.probe_durations.append(spent)
            self.apply_report(state, report)
        elif outcome is not Outcome.SETTLED and not self.probes_all_workers:
            # The worker drains or is gone before the list says so: learned at the price of a probe, not of a
            # posting.
            self.eject_after_failure(state)
            self.record_zone_failure(worker)

    def on_txn_closed(self, txn: Txn) -> None:
        """Forget a txn that has its final answer or whose client is gone."""
        self.open_count -= 1
        self.release(txn)

    # The worker list, and periodic work.

    def on_list_update(self, update: ListUpdate, workers: Iterable[Worker]) -> None:
        """Apply an update of the worker list, or schedule the next request after a failure."""
        if update is ListUpdate.FAILED or update is ListUpdate.SILENT:
            self.list_lost_at = self.list_lost_at if self.list_failures else self.now
            self.list_failures += 1
            # When a watch breaks, the time until a missed change counts as delivered runs from the watch's
            # last line. When a request fails, it runs from the request's start, because the failure proves
            # that no list was available then. The next request has to end within that time: a longer doubled
            # wait broke drains. Requests after a start are less urgent and yield to those of other
            # dispatchers.
            call_time = max(1, self.now - self.list_requested_at) if self.list_request_due < FOREVER else 0
            # An expired list with no request in flight means that this process was paused: the list counts as
            # lost.
            self.has_list = self.has_list and (call_time > 0 or self.now < self.list_valid_until)
            valid_until = self.now - (call_time or LIST_SILENCE_TIMEOUT) + LIST_VALIDITY
            if self.now < self.list_move_deadline:
                valid_until = min(valid_until, self.list_move_deadline)
            retry_budget = valid_until - max(LIST_ANSWER_TIMEOUT, call_time) - self.now
            was_valid = self.has_list or not self.has_watch_heartbeats
            is_urgent = self.has_list or (
                self.list_failures < 2 and (was_valid or update is ListUpdate.SILENT)
            )
            # A late refusal shows that the list service has too many requests in its queue. A request whose
            # client no longer waits costs the service as much as an answered one: when all dispatchers
            # retried within 6 s, none was answered.
            is_late = (
                self.has_watch_heartbeats and update is ListUpdate.FAILED and call_time > LIST_ANSWER_TIMEOUT
            )
            wait = min(
                max(SECOND // 2, self.list_spread) << min(self.list_failures - was_valid, 8),
                retry_budget if is_urgent else self.list_max_retry_wait if is_late else LIST_VALIDITY,
                self.list_max_retry_wait if was_valid else FOREVER,
            )
            if update is ListUpdate.FAILED and self.now >= self.list_move_deadline:
                valid_until = min(valid_until, self.now - call_time + self.list_push_grace)
            # After a start or a pause of this process, the list is already invalid, and a failed request does
            # not make it valid again: changes may have been missed before the request.
            self.list_valid_until = valid_until if was_valid else self.list_valid_until
            min_fraction = 0.6 if is_late else 0.1
            self.list_request_due = self.now + int(
                max(SECOND // 2, wait) * (min_fraction + (1.0 - min_fraction) * self.random())
            )
            self.has_events = True
            return
        if update is ListUpdate.REDIRECTED:
            # Requested at once: changes at the new address soon count as delivered, and failures of the old
            # one don't matter.
            self.list_failures, self.list_request_due = 0, self.now
            self.list_move_deadline = self.list_valid_until = min(
                self.list_valid_until, self.now + LIST_VALIDITY_AFTER_MOVE
            )
            return
        if update is not ListUpdate.CACHED:
            self.list_failures, self.list_request_due, self.has_list = 0, FOREVER, True
            self.list_valid_until = self.now + self.list_validity
        self.has_events, listed = True, dict.fromkeys(workers)
        if update is ListUpdate.CHANGES and not listed:
            return  # a heartbeat without changes
        self.key_order.cache_clear()
        if update is not ListUpdate.CHANGES:
            for worker in self.workers:
                if worker not in listed and worker.listed_state is not ListedState.GONE:
                    worker.listed_state = ListedState.GONE
                    self.workers[worker].delisted_at = self.now
        # Computed once per list, because a pass for each entry was quadratic.
        initial_backlog: dict[WorkType, float] | None = None
        for worker in listed:
            state = self.workers.get(worker)
            if state is not None and worker.listed_state is ListedState.GONE:
                state.delisted_at = self.now
            if state is not None and worker.started_at == state.started_at:
                continue
            initial_backlog = initial_backlog if initial_backlog is not None else self.mean_backlog()
            if state is None:
                state = self.workers[worker] = WorkerState(worker)
            # The paper's rule: a worker without history starts at the mean backlog of the others.
            state.initial_backlog = dict(initial_backlog)
            state.started_at = worker.started_at
            state.may_be_warming_up = state.may_be_warming_up or worker.started_at is not None
            state.report, state.is_suspect = None, False
            state.consecutive_failures = state.ejected_until = state.free_slots_estimate_until = 0

    def mean_backlog(self) -> dict[WorkType, float]:
        """Return the mean backlog of the ready workers by work type."""
        others = [
            state
            for worker, state in self.workers.items()
            if worker.started_at == state.started_at and worker.listed_state is ListedState.READY
        ]
        work_types = dict.fromkeys(work_type for state in others for work_type in state.backlog)
        return {
            work_type: sum(state.backlog.get(work_type, 0) for state in others) / len(others)
            for work_type in work_types
        }

    def housekeeping(self) -> int:
        """Do what is due (list request, estimates, probes) and return when to run again."""
        due = FOREVER
        if self.needs_list_subscription:
            if self.now >= self.list_request_due:
                # The request before is given up and counts as failed.
                if self.list_request_due == self.list_requested_at + self.list_request_timeout and (
                    self.has_list or not self.has_watch_heartbeats
                ):
                    self.list_valid_until = max(
                        self.list_valid_until,
                        self.list_requested_at + min(LIST_VALIDITY, self.list_push_grace),
                    )
                self.list_requested_at, self.list_request_due = self.now, self.now + self.list_request_timeout
                self.transport.subscribe()
            due = self.list_request_due
        if self.now >= self.estimates_updated_at + SECOND // 4:
            self.estimates_updated_at = self.now
            self.update_report_age()
            self.update_traffic_share()
            self.update_late_start_delay()
            self.mean_run_time = self.compute_mean_run_time()
            self.mean_job_work = (
                sum(self.hinted_work) / len(self.hinted_work) if self.hinted_work else self.mean_run_time
            )
            # The cost of a probe to a worker is not reported; it is at most the shortest recent probe
            # duration.
            self.probe_tokens_per_txn = min(
                100.0, 0.01 / max(0.0001, self.probe_price + min(self.probe_durations) / self.mean_run_time)
            )
            self.estimate_lifetime = max(SCAN_INTERVAL, int(self.mean_run_time / 16))
            self.fastest_pace = min((s.pace for s in self.workers.values()), default=1.0)
            self.min_slot_count = min(
                (s.slot_count for s in self.workers.values() if s.slot_count > 0), default=1.0
            )
            self.update_wide_job_workers()
        if self.probes_periodically:
            if self.now >= self.probe_due:
                self.probe_due = self.probe_due_workers()
            due = min(due, self.probe_due)
        if self.waiting:
            due = min(due, self.scan_due)
        return due

    def probe_due_workers(self) -> int:
        """Probe the workers with the oldest reports, home zone first, as far as the probe budget goes.

        Where answers carry reports too, only suspects are probed. A suspect is trusted again after an
        answered probe and then one posting that starts.

        Returns:
            When the next probe is due.
        """
        interval = self.probe_interval if self.probes_all_workers else self.silence_timeout
        due = self.now + interval
        for state in sorted(
            self.workers.values(), key=lambda s: (s.worker.zone != self.home_zone, s.probed_at)
        ):
            if (
                state.is_probing
                or not (self.probes_all_workers or state.is_suspect)
                or not state.worker.can_receive_postings(self.delisted_workers_usable)
            ):
                continue
            next_probe = max(state.probed_at, state.reported_at) + interval
            if self.now < next_probe:
                due = min(due, next_probe)
            elif self.probe_tokens < 1.0 or (self.gate and not self.gate.can_probe(state.worker, self)):
                return self.now + interval // 8
            else:
                self.probe(state)
        return due
