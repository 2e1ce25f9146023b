"""All decisions of one dispatcher.

How it is called: `loop.Loop` makes one Choice and tells it what it sees (`listed`, `ended`, `noted`,
`probed`, `closed`). `serve(txn)` is the life of a txn, read top to bottom; it yields the orders of `trade`
and is resumed with what came of them. After each group of events `grant()` names the next held txn and the
worker it gets, until it says None, and `housekeeping()` does what is due (the list, probes) and tells when
it wants to be called again.
The interface, both ways, is in `scheduler_types.py`: SchedulerConfig and Transport at the bottom. Times are
tenths of a millisecond.
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

from pathsaddle.worker_state import FOREVER, CustomerUsage, WorkerState, WorkType, ZoneBaseline

from pathsaddle.scheduler_types import (  # isort: skip  # as many to a line as fit
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

FEW_TURNED_AWAY = 0.3  # doubt below which a try without prompt word is better than holding
HANDFUL = 8.0  # txns that must come in excess before a customer is taken to be over its share
STEEP = 2  # how sharply the chance of ending in time falls with the time needed
ENOUGH = 0.3  # free slots, as expected, that make a posting worth a try
LOOKS, FEW = 3, 3  # how often, and at how many workers, a txn has a look before it is posted
SURE = 2.5  # standard errors by which late word must explain reports better than prompt word does
CLAIMS = 3  # rejections that tell together whether word is late
CHEAP = 0.02  # a price for crossing under which no chance is told apart so finely: all zones are one
KEEPERS = 2  # workers for a key beyond what its part of the traffic fills, so that a busy one has a neighbour
KEYS = 512  # of how many keys we remember the order, and of how many txns the key
LOOK = 10 * MILLISECOND  # how often held txns are looked at when nothing has happened
# Guesses of a report's age.
AGES = tuple(SECOND * n // 100 for n in (1, 20, 40, 70, 100, 140, 200, 280, 400, 550))


class Scheduler:
    def __init__(
        self, terms: SchedulerConfig, seed: int, now: int, door: Transport, gate: AdmissionGate | None = None
    ) -> None:
        chance = Random(seed)
        self.random, self.choose = chance.random, chance.choice
        self.transport, self.gate, self.tick = door, gate, max(1, terms.tick)
        self.now = self.born = self.look_due = self.probe_due = self.judged = now
        self.workers: dict[Worker, WorkerState] = {}
        self.home, self.held, self.open, self.most_open = terms.zone, 0, 0, terms.max_open_txns
        self.granted = False  # somebody has just got a worker: the next may get one too
        self.ranked: list[tuple[float, WorkerState]] = []  # the last scan: who competed, with what load
        self.barred: dict[tuple[Any, ...], None] = {}  # what found no worker
        self.waiting: list[tuple[tuple[float, int], int, Txn]] = []  # held txns, the next to go first
        self.number, self.dispatchers = terms.number, terms.dispatchers
        # Who has the next place in a turn is a sixth of us further on: neighbours may all be of one zone.
        apart = next(n for n in range(1 + self.dispatchers // 6, FOREVER) if gcd(n, self.dispatchers) == 1)
        self.cold_step = pow(apart, -1, self.dispatchers)
        self.part = self.even_part = 1.0 / terms.dispatchers  # what of the tier's traffic seems to be ours
        self.reserve = 1.5  # slots kept free of what is over its customer's share
        self.probe_every = (
            0
            if not (terms.can_probe and terms.reports_in_probes)
            else (SECOND // 2 if not terms.reports_in_answers else SECOND // 10)
        )
        # Probes may cost one point in a hundred of what is asked for, and no more.
        self.probe_price = terms.price_probe
        self.probe_income = min(100.0, 0.01 / max(0.0001, terms.price_probe))
        self.probe_purse, self.probe_always = 10 * self.probe_income, not terms.reports_in_answers
        self.probe_times: deque[int] = deque([self.tick], maxlen=16)
        self.tells_start, self.overtakes = terms.reports_start, terms.allows_backfill
        self.hears = terms.reports_in_answers or (terms.can_probe and terms.reports_in_probes)
        self.starts: deque[int] = deque(maxlen=32)  # from posting to start, over the last ones
        self.takes: deque[int] = deque(maxlen=32)  # from posting to the worker's word that it has it
        self.turned_away: deque[int] = deque(maxlen=8)  # when the last postings were turned away
        self.usual_run = self.mean_job = float(SECOND)
        self.hints: deque[float] = deque(maxlen=48)  # work of the last jobs that came with hints at it
        self.keep_for = LOOK  # how long a worked out room holds, against ranking a fleet anew each event
        self.best_pace = 1.0  # the fastest worker's: the nearest we see to the yardstick of hints
        self.least_slots = 1.0  # what the smallest worker we know holds: the guide to a cold one's size
        self.late_start, self.age = 40 * MILLISECOND + 2 * self.tick, AGES[0]
        self.misses: deque[tuple[int, list[float]]] = deque(maxlen=48)  # (when, by how much each age is off)
        self.usual: dict[int, ZoneBaseline] = {}  # by zone
        self.asked_of: deque[str] = deque(maxlen=KEYS)  # the keys of the last txns
        self.order = lru_cache(KEYS)(self.in_order)
        # Of the last txns with a key: (slots, slots times running time).
        self.works: deque[tuple[float, float]] = deque(maxlen=KEYS)
        self.wide_from = 0.0  # slots from which on a job takes a whole worker
        self.wide: dict[WorkerState, None] = {}  # who serves jobs that take a whole worker, and no others
        self.dark: dict[int, dict[Worker, None]] = {}  # by zone: who broke since the last sign of life in it
        self.dark_until: dict[int, int] = {}
        self.claims: deque[bool] = deque(maxlen=CLAIMS)  # whether the last that turned us away claimed room
        self.belied_until = (
            -FOREVER
        )  # a worker turned us away and claimed room: until when that speaks of all
        self.silence = terms.progress_interval + terms.progress_interval // 2
        self.must_ask, self.list_failures = terms.list_needs_subscription, 0
        self.list_lost, self.list_due, self.list_by = now, FOREVER, -FOREVER
        # Pushed, a change counts as told once our agent has it, watch or no watch, and binds a grace later.
        self.list_grace = max(0, terms.drain_grace - LIST_TIMER_SLACK) if terms.is_list_pushed else FOREVER
        # On sockets what discovery had 6 s before a birth counts as told from then on, whatever `known` says;
        # and word of an open watch stands no longer. Elsewhere it is good while the list need not be asked.
        self.list_strict, self.list_word = (
            terms.has_watch_heartbeats,
            LIST_VALIDITY if terms.has_watch_heartbeats else FOREVER,
        )
        self.list_had, self.list_asked = False, now
        self.list_sure = now + min(
            self.list_grace, 0 if terms.has_watch_heartbeats else terms.list_poll_interval - LIST_TIMER_SLACK
        )
        self.stayed: deque[bool] = deque(maxlen=16)  # whether the last that waited at home found room there
        self.landed: deque[bool] = deque(maxlen=16)  # whether the last crossings were taken in
        self.known: dict[Any, int] = {}  # what was declined lately, and when it was first asked for
        self.mean_worth, self.worths = 1.0, deque[float](maxlen=96)
        self.arrivals: deque[int] = deque(maxlen=32)  # when the last txns came
        # A call never answered must not leave us wordless until deemed told, nor end before it can fail.
        self.ask_again = max(LIST_SILENCE_TIMEOUT + LIST_TIMER_SLACK, terms.list_poll_interval // 2)
        # The list service works through all dispatchers' calls in turn, also through those that no longer
        # wait: asked by 28 in one moment it answered nobody for the rest of a day. So births, breaks and
        # failures are spread by how many we are, and no call is rarer than makes us deemed told (`listed`).
        self.list_spread = min((terms.dispatchers - 1) * SECOND // 10, terms.list_poll_interval // 2)
        self.list_rarest = max(2 * SECOND, 3 * self.list_spread)
        if self.must_ask:
            spread = (
                min(self.list_spread, LIST_SILENCE_TIMEOUT)
                if terms.has_watch_heartbeats
                else self.list_spread
            )
            self.list_due = now + int(spread * self.random())
        self.runs, self.accounts, self.fall_time = (
            dict[Scheme, deque[int]](),
            dict[Any, CustomerUsage](),
            FOREVER,
        )
        self.update_config(terms)

    def update_config(self, terms: SchedulerConfig, still: Iterable[Scheme] = ()) -> None:
        """Terms that may change in service, from this moment on. A scheme whose index was there keeps what
        was learnt of it; `still` are those that open txns were taken by and that are no more.
        """
        if terms.overload_window > self.fall_time:
            self.born = self.now  # what went to the cold before the old span is forgotten: as after our start
        self.schemes, now_by = terms.schemes, {s.index: s for s in terms.schemes}
        learnt = {s.index: runs for s, runs in self.runs.items()}
        self.runs = {s: learnt.get(s.index, deque(maxlen=48)) for s in (*terms.schemes, *still)}
        for book in self.workers.values():
            book.scheme_pauses = {
                now_by[s.index]: mute for s, mute in book.scheme_pauses.items() if s.index in now_by
            }
        self.accounts = {
            customer: self.accounts.get(customer) or CustomerUsage(0.0, self.now, HANDFUL)
            for customer in terms.customers
            if customer.quota_rate > 0
        }
        for customer, account in self.accounts.items():
            account.quota_rate = customer.quota_rate / SECOND  # of which ours is a part
        self.for_trials = (
            list(filter(self.runs_again_anywhere, terms.schemes))
            or [s for s in terms.schemes if s.semantics is Semantics.REFERENCED]
            or terms.schemes
        )
        self.all_at_risk = not any(map(self.runs_again_anywhere, self.for_trials))
        self.looks_around = self.probe_every and (self.probe_always or (self.all_at_risk and self.silence))
        self.max_postings, self.two_at_once = terms.max_postings, terms.allows_hedging
        self.may_cancel, self.dropped_stay_open = terms.can_cancel, terms.delisted_workers_usable
        self.cold_share, self.cold_time, self.fall_time = (
            terms.slow_start_share,
            terms.slow_start_time,
            terms.overload_window,
        )
        self.cold_whole = 0.5 * terms.overload_multiple * terms.overload_window
        # Among many an even part of what a slot bears at its coldest holds no job: all goes to the turns.
        self.cold_by_turns = self.cold_whole * terms.slow_start_share / terms.dispatchers < SECOND // 10
        # Prices, in units of the mean txn's worth.
        self.by_work, self.over_share = terms.value_by_work, terms.over_share_value
        self.cross_price, self.max_retry_after = terms.price_cross, terms.max_retry_after
        self.stirred = True  # something has happened since the last look at held txns

    # The life of a txn.

    def serve(self, txn: Txn) -> Generator[Action, Any, None]:
        self.open += 1
        self.appraise(txn)
        for posting in txn.postings:
            yield from self.watch(txn, posting)
        # Full to the last txn we would have no connection left for the word that ends one of them.
        while self.open <= self.most_open and (not self.gate or self.gate.admits(txn, self)):
            until = self.worth_posting_until(txn)
            if self.now >= until:
                break  # nothing more can be done for it: say so now, not when its time is up
            self.hold(txn)
            held_at, news = self.now, None
            while self.now < (
                until := min(until, self.give_up_at(txn) if txn.is_deadline_shortened else self.last(txn))
            ):
                in_time = self.in_time_until(txn)
                news = yield Wait(min(until, in_time) if self.now < in_time else until)
                if isinstance(news, Worker):
                    break
                self.release(txn)  # a late answer is worth less: it stands back behind those still in time
                self.hold(txn)
            self.release(txn)
            if self.now > held_at and (not isinstance(news, Worker) or news.zone == self.home):
                self.stayed.append(isinstance(news, Worker))
            if not isinstance(news, Worker):
                break
            posting = yield StartPosting(news, txn.expires_at - self.now)
            self.on_posting_sent(posting)
            yield from self.watch(txn, posting)
        while any(p.is_in_flight for p in txn.postings) and self.now < self.last(txn):
            yield Wait(self.last(txn))
        if self.may_decline(txn) and not self.unusable(txn):
            self.remember(txn)
            wait = self.gate.retry_after(txn, self) if self.gate else self.max_retry_after
            yield Decline(wait, txn.is_deadline_shortened and self.give_up_at(txn) < self.in_time_until(txn))
        else:
            yield Reverse()

    def watch(self, txn: Txn, posting: Posting) -> Generator[Action, Any, None]:
        """Until it has ended, or another is to be looked for."""
        while posting.is_in_flight and self.now < self.last(txn):
            yield Wait(min(self.last(txn), self.look_again_at(posting)))
            if posting.is_in_flight and self.now < self.last(txn) and self.elsewhere(txn, posting):
                if self.two_at_once and not (self.may_cancel and self.now >= self.take_due(posting)):
                    break
                if not posting.is_cancelled:
                    yield CancelPosting(posting)

    def adopt_postings(self, txn: Txn) -> None:
        """What was posted for it before our own restart weighs on its workers like what we send now."""
        txn.work_type, txn.work = self.type_of(txn), self.work_of(txn)
        for posting in txn.postings:
            if posting.is_in_flight:
                self.on_posting_sent(posting)

    def last(self, txn: Txn) -> int:
        return txn.expires_at - self.tick  # for its final answer; who is to end brings the expiry forward

    def may_post_again(self, txn: Txn) -> bool:
        """Rule 2, the first half: whether another posting, to some worker, can do no harm now."""
        return self.now < min(self.last(txn), self.may_go_on_until(txn)) and (
            self.two_at_once or not any(p.is_in_flight and p.may_have_run for p in txn.postings)
        )

    def may_post(self, txn: Txn, worker: Worker) -> bool:
        """And whether to this worker; what is the same for all workers is asked once, for the CPU's sake."""
        return not any(
            (p.is_in_flight and p.worker is worker)
            or (p.may_have_run and not self.same_group(txn.scheme, p.worker, worker))
            for p in txn.postings
        )

    def can_begin(self, posting: Posting) -> bool:
        """The same again at its first byte: coming up, a connection took time."""
        txn, worker = posting.txn, posting.worker
        return (
            not txn.is_closed
            and worker.can_receive_postings(self.dropped_stay_open)
            and worker.started_at == posting.worker_started_at
            and not self.is_list_stale(self.now)
            and self.now < min(self.last(txn), self.may_go_on_until(txn, posting))
        )

    def may_go_on_until(self, txn: Txn, but: Posting | None = None) -> int:
        """Until when another posting, to some worker, could yet do no harm; `but` is one decided already."""
        risky = [p for p in txn.postings if p.may_have_run and p is not but]
        if self.unusable(txn):
            return 0
        if len(txn.postings) - (but is not None) >= self.max_postings:
            return 0
        if risky and txn.scheme.semantics is Semantics.ONCE_ONLY:
            return 0
        if risky and txn.scheme.semantics is Semantics.REFERENCED:
            return min(p.sent_at for p in risky) + txn.scheme.window - self.tick
        return FOREVER

    def may_decline(self, txn: Txn) -> bool:
        """Rule 2, the second half: whether telling the client to try again can do no harm."""
        return self.runs_again_anywhere(txn.scheme) or not any(p.may_have_run for p in txn.postings)

    def unusable(self, txn: Txn) -> bool:
        """Two workers agree that it can't be used: nobody's fault here, and coming back is no use."""
        return sum(p.outcome is Outcome.UNUSABLE for p in txn.postings) > 1

    def runs_again_anywhere(self, scheme: Scheme) -> bool:
        return scheme.semantics is Semantics.REPEATABLE or (
            scheme.semantics is Semantics.REFERENCED and scheme.group is DeduplicationGroup.ALL
        )

    def same_group(self, scheme: Scheme, one: Worker, other: Worker) -> bool:
        if scheme.semantics is not Semantics.REFERENCED or scheme.group is DeduplicationGroup.ALL:
            return True
        return one.zone == other.zone if scheme.group is DeduplicationGroup.ZONE else one.cell == other.cell

    # Choosing a worker.

    def type_of(self, txn: Txn) -> WorkType:
        return (txn.slots, txn.scheme.machine)

    def work_of(self, txn: Txn) -> int:
        return max(1, int(txn.hint * txn.slots)) if txn.hint is not None else 1

    def room(self, book: WorkerState) -> float:
        """Free slots there now: the last report, less what was sent since, plus what ended since."""
        if self.now >= book.free_slots_estimate_until:
            book.free_slots_estimate = self.room_now(book)
            book.free_slots_estimate_until = self.now + self.keep_for
        return book.free_slots_estimate

    def room_now(self, book: WorkerState) -> float:
        report = book.report
        usual = self.usual.get(book.worker.zone)
        told_usual = usual.mean if usual is not None else 0.0
        if book.may_be_warming_up and self.cold_by_turns and self.cold_for(book):
            # Others have no turn there either: what is usual in its zone says nothing of it.
            if report is None or report.free_slots is None:
                return self.least_slots - len(book.in_flight)
            told_usual = -self.least_slots
        if report is None or report.free_slots is None:
            # Of a worker not heard from we know what is usual elsewhere, not that it is idle.
            if usual is not None:
                return -usual.mean - len(book.in_flight)
            return 1.0 if len(book.in_flight) < 2 else 0.0
        # Word of others' jobs fades as those end and others come: back to what it mostly is here.
        told = self.burden(report) - book.own_in_flight_then
        kept = exp(-(self.now - book.described_at) / self.usual_run)
        if usual is not None:
            # Few own readings say less than what is usual in its zone.
            mostly = (sum(book.others_readings) + 2.0 * told_usual) / (len(book.others_readings) + 2)
            told = kept * told + (1.0 - kept) * mostly
        room = -told - len(book.in_flight)
        if self.tells_start and (waits := self.waits(book)) > self.late_start:
            # What has not started by now stands in a line that is no shorter than what would have run since;
            # a worker that hangs, or says less than it holds, shows by nothing else.
            room = min(room, -waits / self.usual_run * (book.slot_count or self.least_slots))
        return room

    def waits(self, book: WorkerState) -> int:
        """How long the first in line has waited. What was posted before one that has started, or before the
        worker fell silent, is lost more likely than in line.
        """
        since = max(book.last_reached_at, book.suspected_at if book.is_suspect else 0)
        return next(
            (self.now - p.sent_at for p in book.in_flight if p.started_at is None and p.sent_at > since), 0
        )

    def burden(self, report: LoadReport) -> float:
        """Jobs there less slots. Free slots behind a waiting job are no room: a third of those turned away
        had gone to workers whose first in line waited for memory.
        """
        if report.queued_jobs is not None and report.queued_jobs >= 0.5:
            return report.queued_jobs
        return -(report.free_slots or 0.0)

    def crowded(self, book: WorkerState) -> bool:
        # Postings there have lately stood in its queue: no place for what others lose by.
        return any(delay > self.late_start for delay in book.start_delays)

    def judge_starts(self) -> None:
        # By the quickest: when all stand in queues a quarter of them, or half, tells how long those are.
        typical = min(self.starts, default=20 * MILLISECOND)
        # No finer than a tick: where starts are seen as they come, other zones' plain way was late by it.
        self.late_start = 2 * max(typical, self.tick) + 2 * self.tick

    def mean_run(self) -> float:
        runs = [run for scheme in self.schemes for run in self.runs[scheme]]
        return sum(runs) / len(runs) if runs else float(SECOND)

    def load(self, book: WorkerState, room: float, txn: Txn) -> float:
        own: float = book.backlog.get(txn.work_type, 0) + txn.work
        if book.initial_backlog:
            own += book.initial_backlog.get(txn.work_type, 0.0)
        crowd = max(0.0, (book.slot_count or self.least_slots) - room)
        pace = book.pace
        if book.may_be_warming_up and (left := self.cold_for(book)):
            pace /= self.able(left)
        return own * (1.0 + crowd) * pace * min(100.0, 1.0 + (pace / txn.slack_ratio) ** STEEP)

    def in_order(self, key: str) -> list[WorkerState]:
        """The workers in the order in which they are to keep the key's data, alike at every dispatcher."""
        return sorted(
            self.workers.values(),
            key=lambda book: blake2b(f"{book.worker.name_hash} {key}".encode()).digest(),
        )

    def keepers(self, txn: Txn) -> dict[WorkerState, float]:
        """The workers that keep the data of the txn's key: the first that are open to it in the key's order,
        as many as the key's part of the traffic fills, and KEEPERS more.

        Whoever else runs it fetches the data from a store that all share, and holds its slots meanwhile: sent
        anywhere, a quarter of a job more, and once the store had no more to give, jobs of no keeper held the
        whole fleet. So a keeper's turning us away decides, not the room believed there; the next in the order
        takes its place, and one that is away or shut has none.
        """
        assert txn.key is not None
        # Apart until half of its postings were turned away.
        wide = bool(self.wide) and txn.slots >= self.wide_from
        mixes = 2 * len(txn.postings) > self.max_postings
        share = len(self.wide) / max(1, len(self.workers))
        left = (
            KEEPERS + len(txn.postings) + int(1.25 * txn.key_worker_count * (share if wide else 1.0 - share))
        )
        order, kept, soonest = self.order(txn.key), {}, FOREVER
        # The first few are mostly enough; the rest is looked at only when it comes to that.
        parts = (self.rooms(part) for part in (order[: 2 * left], order[2 * left :]))
        for book, room in chain.from_iterable(map(dict.items, parts)):
            if ((book in self.wide) == wide or mixes) and self.eligible(book, txn):
                soonest = min(soonest, again := book.last_full_at + int(self.usual_run / 4))
                if self.now > again:
                    kept[book] = room
                left -= 1
                if not left:
                    break
        txn.key_workers_full_until = soonest if not kept and soonest < FOREVER else 0
        return kept

    def judge_wide(self) -> None:
        """Where a worker starts whatever fits, a job that needs all its slots waits until it is empty: 0.6 s
        at the median, for jobs of 0.1 s. As many workers as such jobs fill, a quarter more, serve them and no
        others but those often turned away elsewhere: the first of an order, alike at every dispatcher.
        """
        self.wide.clear()
        # What the smallest is known to hold is no measure: of one full of others' jobs we see little room.
        sizes = sorted(book.slot_count for book in self.workers.values() if book.slot_count > 0)
        if not self.overtakes or not sizes or len(self.works) < 64:
            return
        self.wide_from = max(2.0, 0.75 * sizes[len(sizes) * 3 // 4])
        whole = sum(work for _, work in self.works)
        part = sum(work for slots, work in self.works if slots >= self.wide_from) / whole
        ready = [book for book in self.order("") if book.worker.listed_state is ListedState.READY]
        for book in ready[: int(1.25 * part * len(ready) + 0.5)]:
            self.wide[book] = None

    def doubt(self) -> float:
        """Rejections by several workers at once say that all are fuller than believed."""
        return sum(exp(-(self.now - when) / self.usual_run) for when in self.turned_away) / 8

    def chance(self, book: WorkerState, txn: Txn) -> float:
        # That it would end in time there: the paper's workers are alike, ours are not.
        return 1.0 / min(100.0, 1.0 + (book.pace / txn.slack_ratio) ** STEEP)

    def ease(self, txn: Txn) -> float:
        # Time left over time needed.
        return max(0.001, (self.wanted_by(txn) - self.now) / self.run_of(txn))

    def eligible(self, book: WorkerState, txn: Txn) -> bool:
        worker = book.worker
        machine = txn.scheme.machine
        return (
            (machine is None or worker.machine == machine)
            and (not txn.postings or self.may_post(txn, worker))
            and (not book.scheme_pauses or self.now >= book.scheme_pauses.get(txn.scheme, (0, 0))[0])
            # Only what can be posted again anywhere is risked on a suspect; where no scheme can, what may
            # run again somewhere, else whatever comes, once a look was answered: or it stays for good.
            and (
                not book.is_suspect
                or (
                    txn.scheme in self.for_trials
                    and (not self.all_at_risk or not self.probe_every or book.reported_at > book.suspected_at)
                )
            )
            # And what one error loses is not risked where one has lately failed.
            and (self.now >= book.error_backoff_until or txn.scheme.semantics is not Semantics.ONCE_ONLY)
            and not (txn.is_over_share and self.tells_start and self.crowded(book))
            and (not book.may_be_warming_up or self.cold_allows(book, txn))
        )

    def need(self, txn: Txn) -> float:
        return (
            (self.reserve if txn.is_over_share else 0.0)
            + txn.slots
            - 1.0
            + ENOUGH
            + (0.25 + self.doubt() / 2) * len(txn.postings)
        )

    def blind(self, rooms: dict[WorkerState, float]) -> bool:
        """Word is late and most jobs are others': a try tells more than the expected room that holding
        goes by, as long as few were turned away lately.
        """
        if self.age <= self.usual_run / 2 or self.doubt() >= FEW_TURNED_AWAY:
            return False
        jobs = sum(max(0.0, book.slot_count - room) for book, room in rooms.items())
        return 4 * sum(len(book.in_flight) for book in rooms) < jobs

    def best(self, txn: Txn, rooms: dict[WorkerState, float], blind: bool) -> WorkerState | None:
        need = self.need(txn)
        blind = blind and not txn.is_over_share
        if txn.key is not None:
            rooms, need = self.keepers(txn), -float(FOREVER)
        plain = not txn.postings and not txn.is_over_share and txn.scheme.machine is None
        loads = [
            (self.load(book, room, txn), book)
            for book, room in rooms.items()
            if (room >= need or (blind and self.now - book.last_full_at > self.usual_run / 2))
            # What nearly all workers pass at once, against a call for each of them.
            and (
                (
                    plain
                    and not book.may_be_warming_up
                    and not book.is_suspect
                    and not book.scheme_pauses
                    and self.now >= book.error_backoff_until
                )
                or self.eligible(book, txn)
            )
        ]
        self.ranked = loads
        if txn.scheme.semantics is Semantics.ONCE_ONLY and txn.key is None:
            # What an error loses goes where we have lately seen one end well: each of forty dispatchers
            # learnt of a failing worker by a txn of its own, and half of what that lost was once-only.
            proven = self.now - int(8 * self.usual_run)
            loads = [entry for entry in loads if entry[1].last_success_at > proven] or loads
        if self.cross_price < CHEAP or txn.key is not None:
            return self.least(loads)
        near = self.least([entry for entry in loads if entry[1].worker.zone == self.home])
        far = self.least([entry for entry in loads if entry[1].worker.zone != self.home])
        return far if far is not None and self.crossing_pays(txn, near, far) else near

    def least(self, loads: list[tuple[float, WorkerState]]) -> WorkerState | None:
        """The design: full scan for the least scaled backlog of the txn's own type, ties at random."""
        least, winners = float("inf"), []
        for load, book in loads:
            if load < least:
                least, winners = load, [book]
            elif load == least:
                winners.append(book)
        return self.choose(winners) if len(winners) > 1 else winners[0] if winners else None

    def crossing_pays(self, txn: Txn, near: WorkerState | None, far: WorkerState) -> bool:
        """Whether another zone's worker raises the chance of ending in time by more than the crossing costs.

        Without room at home, go by what came of the last txns that waited for it.
        """
        if near is not None:
            stay = self.chance(near, txn)
        else:
            left = (self.give_up_at(txn) - self.now) / max(1, self.give_up_at(txn) - txn.first_seen_at)
            stay = left * (1 + sum(self.stayed)) / (2 + len(self.stayed))
        taken = (1 + sum(self.landed)) / (1 + len(self.landed))
        return self.worth(txn) / self.mean_worth * (self.chance(far, txn) * taken - stay) > self.cross_price

    def is_list_stale(self, now: int) -> bool:
        """A change may count as told that we have not heard: nothing goes out that a drain would forbid."""
        return self.must_ask and now >= self.list_sure

    def grant_next(self) -> tuple[Txn, Worker] | None:
        """The next held txn that gets a worker: the most valuable first, then the most urgent."""
        if self.is_list_stale(self.now):
            self.look_due = self.now + LOOK
            return None
        if not self.waiting or (not self.stirred and not self.granted and self.now < self.look_due):
            return None
        if self.stirred or self.now >= self.look_due:
            self.barred.clear()
        self.stirred, self.granted, self.look_due = False, False, self.now + max(LOOK, self.keep_for // 4)
        rooms: dict[WorkerState, float] | None = None
        most, blind = -float(FOREVER), False
        for _, _, txn in self.waiting[:64]:
            # Txns that are alike to every worker fail alike: one try for all of them, for the CPU's sake.
            worth = int(4 * self.worth(txn) / self.mean_worth)
            alike = (txn.scheme, txn.is_over_share, worth, len(txn.postings), txn.key)
            if alike in self.barred or self.now <= txn.key_workers_full_until:
                continue
            if self.now < txn.probes_valid_until and any(book.is_probing for book in txn.probed_workers):
                self.look_due = min(self.look_due, txn.probes_valid_until)
                continue
            if txn.postings and not self.may_post_again(txn):
                continue
            if rooms is None and (txn.key is None or not self.probe_always):
                rooms = self.rooms(self.workers.values())
                most, blind = max(rooms.values(), default=-FOREVER), self.blind(rooms)
            txn.slack_ratio = self.ease(txn)
            # Where nobody has the room it needs no scan is made for it: many are held when all are full.
            tried = blind or txn.key is not None or most >= self.need(txn)
            book = self.best(txn, rooms or {}, blind) if tried else None
            looks = self.look(txn, book, rooms or {})
            if (
                book is not None
                and not looks
                and (not self.gate or self.gate.permits_posting(txn, book.worker, self))
            ):
                self.granted = True
                return txn, book.worker
            if book is None and not any(p.may_have_run for p in txn.postings):
                self.barred[alike] = None
        return None

    def rooms(self, books: Iterable[WorkerState]) -> dict[WorkerState, float]:
        """Those of the workers that compete, with their room; none is ranked before a txn needs it."""
        now = self.now
        # Whoever has not answered a look in the time that looks take may be gone: not now.
        overdue = -FOREVER if self.probe_always else now - 2 * max(self.probe_times) - self.tick
        dark = [zone for zone, until in self.dark_until.items() if now < until]
        return {
            book: book.free_slots_estimate if now < book.free_slots_estimate_until else self.room(book)
            for book in books
            if ((worker := book.worker).listed_state is ListedState.READY or self.outlives(book))
            and now >= book.ejected_until
            and not (dark and worker.zone in dark)
            and not (book.is_suspect and self.trial_runs(book))
            and not (book.is_probing and book.probed_at < overdue)
        }

    def trial_runs(self, book: WorkerState) -> bool:
        """Whether a suspect has a posting that may yet tell. Where none can be withdrawn and none run again,
        one that it swallowed stays out until its expiry: the next waits as long as those before were mute.
        """
        if not self.all_at_risk:
            return bool(book.in_flight)
        return (
            book.trial_posting is not None
            and book.trial_posting.is_in_flight
            and self.now < book.trial_posting.sent_at + (self.silence << min(book.lost_trials, 2))
        )

    def outlives(self, book: WorkerState) -> bool:
        """Listed as gone without having drained, where that does not bind: its own sign of life decides."""
        return max(
            book.last_alive_at, book.reported_at
        ) > book.delisted_at and book.worker.can_receive_postings(self.dropped_stay_open)

    def look(self, txn: Txn, chosen: WorkerState | None, rooms: dict[WorkerState, float]) -> bool:
        """Buys fresh word of the few that the scan ranks first, where it would go by stale word or by none.

        With hundreds of dispatchers the own backlog is mostly zero and the last answer from a worker long
        past: without this the scan is a draw among all that are not known to be full.
        """
        if not self.probe_every or self.probe_always or self.age > self.probe_every or self.probe_purse < 1.0:
            return False
        if chosen is not None and (
            self.now - chosen.reported_at < self.probe_every or txn.probe_rounds >= LOOKS
        ):
            return False
        if chosen is None and (
            self.now < txn.probes_valid_until + self.keep_for or self.probe_purse < 2 * FEW
        ):
            return False  # all full: what a wait may spend must not be missing when there is a choice
        home = chosen is None or chosen.worker.zone == self.home
        loads = (
            self.ranked
            if chosen is not None
            else [
                (self.load(book, room, txn), book) for book, room in rooms.items() if self.eligible(book, txn)
            ]
        )
        ranked = [
            (load, self.random(), book)
            for load, book in loads
            if self.now - book.reported_at >= self.probe_every
            and not book.is_probing
            and (self.cross_price <= 0 or (book.worker.zone == self.home) == home)
        ]
        ranked.sort(key=lambda entry: entry[:2])
        may = (book for _, _, book in ranked if not self.gate or self.gate.can_probe(book.worker, self))
        txn.probed_workers = list(islice(may, min(FEW, int(self.probe_purse))))
        for book in txn.probed_workers:
            self.probe(book)
        txn.probe_rounds += chosen is not None
        txn.probes_valid_until = self.now + 2 * max(self.probe_times) + self.tick
        return bool(txn.probed_workers)

    def probe(self, book: WorkerState) -> None:
        self.probe_purse -= 1.0
        book.is_probing, book.probed_at = True, self.now
        self.transport.probe(book.worker)

    def rank(self, txn: Txn) -> tuple[float, int]:
        # Among txns of like worth the customer that has used least of its share goes first.
        worth = self.worth(txn) * (1.0 if self.now < self.in_time_until(txn) else txn.scheme.late_value)
        return -worth / self.run_of(txn) * (1.0 + min(1.0, txn.unused_share)), self.give_up_at(txn)

    # What a txn is worth, and how long it is worth holding.

    def appraise(self, txn: Txn) -> None:
        txn.work_type, txn.work = self.type_of(txn), self.work_of(txn)
        self.runs.setdefault(txn.scheme, deque(maxlen=48))  # terms may have changed twice since it was taken
        txn.retry_fingerprint = (txn.scheme, txn.customer, txn.hint, txn.slots, txn.memory)
        if txn.hint is not None:
            self.hints.append(txn.hint * txn.slots)
        txn.first_seen_at = self.first_asked(txn)
        if not self.hears and self.dispatchers >= len(self.workers):
            # Nobody tells of load, and we send less than one worker runs: keepers fill up unseen.
            txn.key = None
        if txn.key is not None:
            txn.key_worker_count = (
                len(self.workers) * self.asked_of.count(txn.key) / max(1, len(self.asked_of))
            )
            self.asked_of.append(txn.key)
            self.works.append((txn.slots, txn.slots * self.run_of(txn)))
        self.probe_purse = min(self.probe_purse + self.probe_income, 20 * self.probe_income)
        self.worths.append(self.worth(txn))
        self.arrivals.append(self.now)
        self.mean_worth = sum(self.worths) / len(self.worths)
        account = self.accounts.get(txn.customer) if txn.customer is not None else None
        if account is not None:
            account.arrivals.append(self.now)
            txn.is_over_share = not account.try_consume(self.now, 1.15 * self.part)
            txn.unused_share = account.tokens / account.bucket_size(self.part)

    def judge_part(self) -> None:
        """The share is the whole tier's and we see a part of it, not always an even one: the middle
        customer's traffic tells which. One that floods us does not move the middle.
        """
        rates = sorted(
            account.arrival_rate(self.now) / account.quota_rate for account in self.accounts.values()
        )
        if len(rates) > 1:
            middle = (rates[(len(rates) - 1) // 2] + rates[len(rates) // 2]) / 2
            self.part = min(2.0 * self.even_part, max(self.even_part, middle))

    def remember(self, txn: Txn) -> None:
        self.known[txn.retry_fingerprint] = txn.first_seen_at
        if len(self.known) > 512:
            del self.known[next(iter(self.known))]

    def first_asked(self, txn: Txn) -> int:
        """The SLA time runs from a client's first try. Its next try has another id, but is known by its hint:
        in overload half of what arrived was tries that could no longer be in time (incident i8141a7).
        """
        first = self.known.pop(txn.retry_fingerprint, self.now) if txn.hint is not None else self.now
        if txn.is_retry and first == self.now:
            first -= txn.scheme.sla_time  # its earlier try was held at least this long before it was declined
        return first if self.now - first < txn.scheme.expiry else self.now

    def worth(self, txn: Txn) -> float:
        worth = txn.scheme.value * (txn.hint or 1 if self.by_work else 1)
        return worth * self.over_share if txn.is_over_share else worth

    def wanted_by(self, txn: Txn) -> int:
        scheme = txn.scheme
        alone = self.run_of(txn) * (1.0 if txn.hint is not None else self.best_pace)
        return txn.first_seen_at + scheme.sla_time + int(scheme.stretch * alone)

    def run_of(self, txn: Txn) -> float:
        if txn.hint is not None:
            return float(txn.hint)
        runs = self.runs[txn.scheme]
        return sum(runs) / len(runs) if runs else float(max(1, txn.scheme.sla_time))

    def give_up_at(self, txn: Txn) -> int:
        last = self.last(txn)
        late_counts = txn.scheme.late_value > 0
        if (
            late_counts or txn.is_deadline_shortened
        ):  # what can't end before we do is told so while it can be had elsewhere
            last = int(last - self.run_of(txn))
        return last if late_counts else min(last, self.in_time_until(txn))

    def worth_posting_until(self, txn: Txn) -> int:
        return min(self.give_up_at(txn), self.may_go_on_until(txn))

    def in_time_until(self, txn: Txn) -> int:
        scheme = txn.scheme
        # Past its SLA time an unhinted txn is in time only if it happens to be a long one.
        spare = self.wanted_by(txn) - txn.first_seen_at - scheme.sla_time - int(self.run_of(txn))
        return txn.first_seen_at + scheme.sla_time + max(0, spare // (1 if txn.hint is not None else 2))

    def hold(self, txn: Txn) -> None:
        self.stirred = True
        txn.queue_entry, self.held = (self.rank(txn), self.held + 1, txn), self.held + 1
        insort(self.waiting, txn.queue_entry)

    def release(self, txn: Txn) -> None:
        if txn.queue_entry is not None:
            del self.waiting[bisect_left(self.waiting, txn.queue_entry)]
            txn.queue_entry = None

    # Watching postings.

    def look_again_at(self, posting: Posting) -> int:
        if self.now < (due := self.take_due(posting)) < FOREVER:
            return due
        if not self.silence:
            return FOREVER
        book = self.workers[posting.worker]
        return max(self.now + self.silence // 8, max(book.last_alive_at, posting.sent_at) + self.silence)

    def elsewhere(self, txn: Txn, posting: Posting) -> bool:
        """A silent worker has the txn: whether to look for another that can run it too."""
        book = self.workers[posting.worker]
        self.judge_silence(book)
        untaken = self.now >= self.take_due(posting)
        if untaken and not posting.is_cancelled:
            _, times = book.scheme_pauses.get(txn.scheme, (0, 0))
            book.scheme_pauses[txn.scheme] = (self.now + (2 * SECOND << min(times, 3)), times + 1)
        return (
            (book.is_suspect or untaken)
            and (self.two_at_once or self.may_cancel)
            and self.now < self.worth_posting_until(txn)
        )

    def take_due(self, posting: Posting) -> int:
        """Workers say at once that they have it. One may serve all schemes but this, and by those look alive:
        a third of one scheme's txns waited out their expiry at such workers.
        """
        if posting.accepted_at is not None or posting.last_progress_at is not None or not self.takes:
            return FOREVER
        return posting.sent_at + min(SECOND, max(150 * MILLISECOND, 3 * max(self.takes)))

    def judge_silence(self, book: WorkerState) -> None:
        silent = (
            self.silence
            and book.in_flight
            and self.now - max(book.last_alive_at, book.in_flight[0].sent_at) >= self.silence
        )
        if silent and not book.is_suspect:
            book.suspected_at, book.trial_posting, book.is_suspect = self.now, None, True

    # Cold workers.

    def cold_for(self, book: WorkerState) -> int:
        if self.may_have_risen(book):
            return self.cold_time
        return max(
            0, max(book.worker.started_at or -FOREVER, book.inferred_restart_at) + self.cold_time - self.now
        )

    def able(self, left: int) -> float:
        """What part of its work a worker can do that is cold for so long yet, at the least."""
        return self.cold_share + (1.0 - self.cold_share) * (1.0 - left / self.cold_time)

    def may_have_risen(self, book: WorkerState) -> bool:
        """While the list is out of reach nobody tells of a new start: two workers were pushed over that had
        died and come back meanwhile. What broke shortly before we knew the list lost counts too.
        """
        return self.list_failures > 0 and book.connection_broken_at > max(
            book.inferred_restart_at, self.list_lost - self.ask_again
        )

    def cold_allows(self, book: WorkerState, txn: Txn) -> bool:
        """Rule 4: our part of what a worker that has just started can bear, over any span."""
        left = self.cold_for(book)
        if not left:
            return True
        if self.now < self.born + self.fall_time or (txn.hint is None and not self.runs[txn.scheme]):
            return False  # what we sent before our own restart may weigh on it yet; its size nobody knows
        since = (
            FOREVER if book.worker.started_at is None else book.worker.started_at
        )  # sent since, told later
        spent = self.weighs(txn) + sum(w for at, w, cold in self.sent_lately(book) if cold or at >= since)
        slots = self.least_slots if self.hints else book.slot_count or self.least_slots
        whole = self.cold_whole * self.able(left) * slots
        if self.cold_by_turns:
            # Beyond N mean jobs in a span, what it is allowed, 2 root N + 2 are chance: half of it a turn: a
            # span touches two; a third of N is kept for what each gets wrong of runs (docs/fleet.md).
            mean = self.mean_job
            if not self.hints:
                mean *= self.unsure(sum(len(self.runs[s]) for s in self.schemes))
            jobs = 2.0 * whole / mean
            turn = (jobs * (1.0 if self.hints else 2 / 3) + 2.0 * sqrt(jobs) + 2.0) * mean / 2.0
            at_once = max(2, int(turn / mean / (2 if self.hints else 1)))  # uneven (hinted) ones by two
            if at_once >= self.dispatchers:
                return spent <= 2.0 * turn / self.dispatchers  # everyone's, in any span
            return spent <= turn / at_once and self.cold_turn(book, at_once)
        return spent <= whole / self.dispatchers or (self.cold_turn(book) and spent <= whole / 4)

    def weighs(self, txn: Txn) -> float:
        """What it is reckoned at: without hints dearer, for the mean of a few runs is low as often as not."""
        work = self.run_of(txn) * txn.slots
        return work if txn.hint is not None else work * self.unsure(len(self.runs[txn.scheme]))

    def unsure(self, runs: int) -> float:
        return 1.0 + 3.0 / max(1, runs)

    def sent_lately(self, book: WorkerState) -> deque[tuple[int, int, bool]]:
        while book.recent_sends and book.recent_sends[0][0] <= self.now - self.fall_time - self.tick:
            book.recent_sends.popleft()
        return book.recent_sends

    def cold_turn(self, book: WorkerState, at_once: int = 1) -> bool:
        """By clock, the worker's start and its lot, alike for all, the first at_once of an order have one of
        a span. Each reckons at_once anew each moment: the few of one have to be among the many of another.
        """
        if book.worker.started_at is None or book.inferred_restart_at > book.worker.started_at:
            return False  # the others guess another start, or none
        turn = (self.now - book.worker.started_at) // max(1, self.fall_time)
        return (self.number - book.worker.name_hash - turn) * self.cold_step % self.dispatchers < at_once

    # What is seen.

    def on_posting_sent(self, posting: Posting) -> None:
        book = self.workers[posting.worker]
        book.free_slots_estimate_until = 0
        posting.work, posting.worker_started_at = posting.txn.work, book.worker.started_at
        if book.is_suspect:
            book.trial_posting = posting
        kind = posting.txn.work_type
        book.in_flight.append(posting)
        book.record_in_flight(self.now)
        book.backlog[kind] = book.backlog.get(kind, 0) + posting.work
        if self.may_have_risen(book):
            book.inferred_restart_at = self.now
        self.sent_lately(book).append((self.now, int(self.weighs(posting.txn)), self.cold_for(book) > 0))

    def on_posting_ended(self, posting: Posting, spent: int, report: LoadReport | None) -> None:
        book = self.workers[posting.worker]
        book.in_flight.remove(posting)
        book.record_in_flight(self.now)
        self.stirred, book.free_slots_estimate_until = True, 0
        book.backlog[posting.txn.work_type] -= posting.work
        outcome = posting.outcome
        if posting.worker.zone != self.home:
            self.landed.append(posting.may_have_run)
        if outcome is Outcome.SETTLED:
            took = self.now - (posting.started_at or posting.sent_at)
            book.pace_samples.append(max(0.1, min(10.0, took / self.run_of(posting.txn))))
            # Few samples of work this uneven say little: lean on the middle of the road.
            book.pace = exp(sum(map(log, book.pace_samples)) / (len(book.pace_samples) + 3))
            self.runs[posting.txn.scheme].append(max(1, took))
            book.mark_alive(self.now)
            self.lights(book.worker)
            book.consecutive_failures, book.last_success_at = 0, self.now
            # Whoever found unusable what this one has done was at fault itself, and is known for it only now.
            for earlier in (p for p in posting.txn.postings if p.outcome is Outcome.UNUSABLE):
                self.fails(self.workers[earlier.worker])
            book.initial_backlog = {kind: work / 2 for kind, work in book.initial_backlog.items() if work > 1}
        elif book.is_suspect and outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            # A worker that stands still keeps each new posting: trials grow rarer.
            book.lost_trials += 1
            book.ejected_until = self.now + (self.silence << min(book.lost_trials - 1, 2))
        elif outcome in (Outcome.ERROR, Outcome.UNCONNECTED, Outcome.RESET):
            self.fails(book)
            if outcome is not Outcome.ERROR:
                self.on_connection_broken(book.worker)
                self.darkens(book.worker)
            else:
                # Where our next posting there is seconds away, waits that double from milliseconds never
                # bind: each of forty dispatchers met the same failing workers three to four times.
                long = int(8 * self.usual_run)
                book.error_backoff_until = self.now + long
                book.ejected_until = max(book.ejected_until, self.now + min(long, self.turn_comes()))
        if outcome is Outcome.FULL:
            self.turned_away.append(self.now)
            book.last_full_at = self.now
            told = report if report is not None and report.free_slots is not None else None
            if told is not None:
                self.claims.append((told.free_slots or 0.0) >= 0.5 and (told.queued_jobs or 0.0) < 0.5)
                if self.claims[-1]:
                    # It claims room and turns us away: the claim is old. One may be a race that was lost by
                    # milliseconds to another dispatcher; most of the last ones speak of all word (judge_age).
                    if sum(self.claims) > CLAIMS // 2:
                        self.belied_until = self.now + int(8 * self.usual_run)
                        self.judge_age()
                    told = None
                self.judge_age()
            # Told now and at first hand: older word that there is room is no longer believed.
            full = LoadReport(free_slots=0.0, queued_jobs=told.queued_jobs if told is not None else 0.0)
            if report is not None:
                # Counts among the answers' reports; where only probes report, those are the fairer sample.
                book.others_readings.append(max(1.0, self.burden(full)) - len(book.in_flight))
                self.usual.setdefault(book.worker.zone, ZoneBaseline()).add_reading(
                    self.now, book.others_readings[-1]
                )
            book.report, book.described_at, book.reported_at, book.own_in_flight_then = (
                full,
                self.now,
                self.now,
                len(book.in_flight),
            )
        elif report is not None:
            self.read(book, report)

    def darkens(self, worker: Worker) -> None:
        """A zone was lost five seconds before the list said so: each dispatcher has few txns to tell fifteen
        workers by, and spent all four postings of one on them. Several that fail with no sign of life from
        any of their zone speak for the rest of it, where there are other zones to go to.
        """
        dark = self.dark.setdefault(worker.zone, {})
        dark[worker] = None
        if len(dark) >= FEW and any(book.worker.zone != worker.zone for book in self.workers.values()):
            self.dark_until[worker.zone] = self.now + min(2 * SECOND, SECOND // 4 << len(dark) - FEW)

    def lights(self, worker: Worker) -> None:
        if self.dark.pop(worker.zone, None) is not None:
            self.dark_until.pop(worker.zone, None)

    def turn_comes(self) -> int:  # how long it takes until we have sent each worker a txn
        return len(self.workers) * (self.now - self.arrivals[0]) // len(self.arrivals) if self.arrivals else 0

    def fails(self, book: WorkerState) -> None:
        book.consecutive_failures += 1
        book.ejected_until = self.now + min(
            4 * SECOND, 20 * MILLISECOND << min(book.consecutive_failures, 10)
        )

    def on_connection_broken(self, worker: Worker) -> None:
        self.workers[worker].connection_broken_at, self.workers[worker].may_be_warming_up = self.now, True

    def read(self, book: WorkerState, report: LoadReport) -> None:
        self.lights(book.worker)
        if report.free_slots is None:
            return
        word = (report.free_slots, report.queued_jobs, report.held_slots)
        if (
            self.tells_start
            and word == book.last_figures
            and any(part is not None and part % 1.0 for part in word)
        ):
            # A measured figure, the same to its last digit, is the same reading, now older, and must not
            # stand over what starts told since: taken for fresh, all met at whoever had once been idle.
            book.reported_at = self.now
            return
        book.last_figures = word
        load = self.burden(report)
        others = [load - book.own_in_flight_at(self.now - age) for age in AGES]
        if book.others_load is not None and self.now - book.others_load[0] < 3 * SECOND:
            self.misses.append((self.now, [(a - b) ** 2 for a, b in zip(others, book.others_load[1])]))
        book.others_load = (self.now, others)
        book.others_readings.append(load - book.own_in_flight_at(self.now - self.age))
        self.usual.setdefault(book.worker.zone, ZoneBaseline()).add_reading(
            self.now, book.others_readings[-1]
        )
        book.slot_samples.append(
            report.free_slots
            + (
                report.held_slots - (report.queued_jobs or 0.0)
                if report.held_slots is not None
                else book.own_in_flight_at(self.now - self.age)
            )
        )
        book.slot_count, book.free_slots_estimate_until = max(book.slot_samples), 0
        if self.now - self.age >= book.described_at:
            book.report, book.reported_at = report, self.now
            book.described_at = self.now - self.age
            book.own_in_flight_then = book.own_in_flight_at(book.described_at)

    def judge_age(self) -> None:
        """How old reports are on arrival: the age at which others' load, as they imply it, jumps least."""
        for usual in self.usual.values():
            usual.update_mean(self.now, 8 * self.usual_run)
        # With few txns a late spell would be remembered for most of the day.
        while self.misses and self.now - self.misses[0][0] > 8 * SECOND:
            self.misses.popleft()
        self.age = AGES[0]
        if len(self.misses) >= 8:
            sums = [sum(column) for column in zip(*(off for _, off in self.misses))]
            # Few samples fit some age by chance: it has to fit far better than a prompt one.
            best = min(sums)
            enough = best * (2.1 - len(self.misses) / 48) + 0.01
            gains = [off[0] - off[sums.index(best)] for _, off in self.misses]
            # And in most samples, by more than their spread: with few own postings between two reports a jump
            # or two of others' load chose an age; a third of all postings of forty dispatchers went blind.
            if sum(gains) > SURE * sum(gain * gain for gain in gains) ** 0.5:
                self.age = next(age for age, total in zip(AGES, sums) if total <= enough)
        if self.now < self.belied_until:
            # Turned away by a worker that claims to be idle: word is old, nobody knows how old, and a look
            # buys more of the same; all who believe it meet at the same few workers.
            self.age = AGES[-1]

    def on_posting_accepted(self, posting: Posting) -> None:
        self.takes.append(self.now - posting.sent_at)
        self.workers[posting.worker].scheme_pauses.pop(posting.txn.scheme, None)

    def on_progress(self, posting: Posting) -> None:
        book = self.workers[posting.worker]
        book.mark_alive(self.now)
        self.lights(book.worker)
        if posting.started_at == self.now:
            self.starts.append(self.now - posting.sent_at)
            book.start_delays.append(self.now - posting.sent_at)
            book.last_reached_at = max(book.last_reached_at, posting.sent_at)
            if self.tells_start and posting.sent_at > book.described_at:
                self.shows(book, posting)

    def shows(self, book: WorkerState, posting: Posting) -> None:
        """A start tells at first hand what was there when it was posted: a free slot, or a line as long as
        what has run since.
        """
        waited, size = self.now - posting.sent_at, book.slot_count or self.least_slots
        free = book.report.free_slots or 0.0 if book.report is not None else 0.0
        if waited <= self.late_start:
            book.report = LoadReport(free_slots=max(1.0, free), queued_jobs=0.0)
        else:
            book.report = LoadReport(free_slots=0.0, queued_jobs=max(1.0, waited / self.usual_run * size))
        book.described_at, book.own_in_flight_then, book.free_slots_estimate_until = (
            posting.sent_at,
            book.own_in_flight_at(posting.sent_at - 1),
            0,
        )

    def on_probe_result(
        self, worker: Worker, outcome: Outcome, spent: int, report: LoadReport | None
    ) -> None:
        book = self.workers[worker]
        book.is_probing, self.stirred = False, True
        if report is not None:
            self.probe_times.append(spent)
            self.read(book, report)
        elif outcome is not Outcome.SETTLED and not self.probe_always:
            # It drains or is gone before the list says so: known at the price of a look, not of a posting.
            self.fails(book)
            self.darkens(worker)

    def on_txn_closed(self, txn: Txn) -> None:
        self.open -= 1
        self.release(txn)

    # The list, and what is due.

    def on_list_update(self, news: ListUpdate, workers: Iterable[Worker]) -> None:
        if news is ListUpdate.FAILED or news is ListUpdate.SILENT:
            self.list_lost = self.list_lost if self.list_failures else self.now
            self.list_failures += 1
            # What a watch missed counts as told from its last line on, a failed call proves that nothing was
            # to be had at its begin, and the next is over in time: doubled past that, drains broke. Births
            # leave others room.
            took = max(1, self.now - self.list_asked) if self.list_due < FOREVER else 0
            self.list_had = self.list_had and (took > 0 or self.now < self.list_sure)  # else we stood still
            sure = self.now - (took or LIST_SILENCE_TIMEOUT) + LIST_VALIDITY
            if self.now < self.list_by:
                sure = min(sure, self.list_by)
            by = sure - max(LIST_ANSWER_TIMEOUT, took) - self.now
            had = self.list_had or not self.list_strict
            soon = self.list_had or (self.list_failures < 2 and (had or news is ListUpdate.SILENT))
            # A refusal that came late had waited among too many. Each call costs the list service as much as
            # one that it answers, waited for or not: where all came again within 6 s nobody was answered.
            late = self.list_strict and news is ListUpdate.FAILED and took > LIST_ANSWER_TIMEOUT
            wait = min(
                max(SECOND // 2, self.list_spread) << min(self.list_failures - had, 8),
                by if soon else self.list_rarest if late else LIST_VALIDITY,
                self.list_rarest if had else FOREVER,
            )
            if news is ListUpdate.FAILED and self.now >= self.list_by:
                sure = min(sure, self.now - took + self.list_grace)
            # What had been missed before, by a birth or while we stood still, no failed call takes back.
            self.list_sure = sure if had else self.list_sure
            least = 0.6 if late else 0.1
            self.list_due = self.now + int(max(SECOND // 2, wait) * (least + (1.0 - least) * self.random()))
            self.stirred = True
            return
        if news is ListUpdate.MOVED:
            # At once: what the new place tells counts as told soon; failures of the old say nothing of it.
            self.list_failures, self.list_due = 0, self.now
            self.list_by = self.list_sure = min(self.list_sure, self.now + LIST_VALIDITY_AFTER_MOVE)
            return
        if news is not ListUpdate.REMEMBERED:
            self.list_failures, self.list_due, self.list_had = 0, FOREVER, True
            self.list_sure = self.now + self.list_word
        self.stirred, told = True, dict.fromkeys(workers)
        if news is ListUpdate.CHANGES and not told:
            return  # a beat: we have heard
        self.order.cache_clear()
        if news is not ListUpdate.CHANGES:
            for worker in self.workers:
                if worker not in told and worker.listed_state is not ListedState.GONE:
                    worker.listed_state = ListedState.GONE
                    self.workers[worker].delisted_at = self.now
        mean: dict[WorkType, float] | None = (
            None  # worked out once a list: a pass for each entry was quadratic
        )
        for worker in told:
            book = self.workers.get(worker)
            if book is not None and worker.listed_state is ListedState.GONE:
                book.delisted_at = self.now
            if book is not None and worker.started_at == book.started_at:
                continue
            mean = mean if mean is not None else self.mean_backlog()
            if book is None:
                book = self.workers[worker] = WorkerState(worker)
            # The design: a worker not yet heard from starts at the others' mean backlog.
            book.initial_backlog = dict(mean)
            book.started_at = worker.started_at
            book.may_be_warming_up = book.may_be_warming_up or worker.started_at is not None
            book.report, book.is_suspect = None, False
            book.consecutive_failures = book.ejected_until = book.free_slots_estimate_until = 0

    def mean_backlog(self) -> dict[WorkType, float]:
        others = [
            book
            for worker, book in self.workers.items()
            if worker.started_at == book.started_at and worker.listed_state is ListedState.READY
        ]
        kinds = dict.fromkeys(kind for book in others for kind in book.backlog)
        return {kind: sum(book.backlog.get(kind, 0) for book in others) / len(others) for kind in kinds}

    def housekeeping(self) -> int:
        due = FOREVER
        if self.must_ask:
            if self.now >= self.list_due:
                # The call before is given up: it has failed.
                if self.list_due == self.list_asked + self.ask_again and (
                    self.list_had or not self.list_strict
                ):
                    self.list_sure = max(
                        self.list_sure, self.list_asked + min(LIST_VALIDITY, self.list_grace)
                    )
                self.list_asked, self.list_due = self.now, self.now + self.ask_again
                self.transport.subscribe()
            due = self.list_due
        if self.now >= self.judged + SECOND // 4:
            self.judged = self.now
            self.judge_age()
            self.judge_part()
            self.judge_starts()
            self.usual_run = self.mean_run()
            self.mean_job = sum(self.hints) / len(self.hints) if self.hints else self.usual_run
            # What a probe takes of a worker is not told; no more than the shortest of the last ones took.
            self.probe_income = min(
                100.0, 0.01 / max(0.0001, self.probe_price + min(self.probe_times) / self.usual_run)
            )
            self.keep_for = max(LOOK, int(self.usual_run / 16))
            self.best_pace = min((b.pace for b in self.workers.values()), default=1.0)
            self.least_slots = min(
                (b.slot_count for b in self.workers.values() if b.slot_count > 0), default=1.0
            )
            self.judge_wide()
        if self.looks_around:
            if self.now >= self.probe_due:
                self.probe_due = self.probe_around()
            due = min(due, self.probe_due)
        if self.waiting:
            due = min(due, self.look_due)
        return due

    def probe_around(self) -> int:
        """The workers heard from longest ago, home ones first, as far as the purse goes; where answers report
        too, the suspects alone. A suspect's return is earned: by an answered look, then by one posting that
        starts.
        """
        every = self.probe_every if self.probe_always else self.silence
        due = self.now + every
        for book in sorted(self.workers.values(), key=lambda b: (b.worker.zone != self.home, b.probed_at)):
            if (
                book.is_probing
                or not (self.probe_always or book.is_suspect)
                or not book.worker.can_receive_postings(self.dropped_stay_open)
            ):
                continue
            next_look = max(book.probed_at, book.reported_at) + every
            if self.now < next_look:
                due = min(due, next_look)
            elif self.probe_purse < 1.0 or (self.gate and not self.gate.can_probe(book.worker, self)):
                return self.now + every // 8
            else:
                self.probe(book)
        return due
