"""The Scheduler alone against workers: what a decision, a list and a change of it cost, with no socket around it.

The program's own SchedulerDriver, Scheduler and list parser run in this process, on virtual time. Around them stand a hollow door
and hollow workers: each posting is taken at once, runs for the time that it was hinted at and settles with a report.
The path of events is the same for a seed, so counts do not depend on the machine; times are processor time of this
thread, spent inside of the program's calls alone.
"""

from __future__ import annotations

import gc
import heapq
import json
import time
import tracemalloc
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import msgspec

from pathsaddle.config.loader import platform_config
from pathsaddle.config.schema import Configuration
from pathsaddle.config.validation import validate
from pathsaddle.net.wire.birth import birth
from pathsaddle.net.wire.forms import ListRow
from pathsaddle.scheduler_driver import SchedulerDriver
from pathsaddle.scheduler_types import (
    MILLISECOND,
    SECOND,
    ListUpdate,
    LoadReport,
    Outcome,
    Posting,
    Txn,
    Worker,
)
from pathsaddle.worker_state import WorkerState

LOOK_TAKES = 2 * MILLISECOND  # until a look is answered
CHANGES = 100  # changes of the list, one at a time
ORDERS = 8  # keys never seen before, for one order each


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """rate: txns a second to this dispatcher. run: seconds that one runs. txns: how many are timed. slots: of a worker.
    dispatchers: how many share the workers. zones: over which the workers stand. held: txns that wait when every worker
    is full. looks: times that they are looked at, timed.
    """

    rate: float = 50.0
    run: float = 0.2
    txns: int = 200
    slots: int = 2
    dispatchers: int = 20
    zones: int = 25
    held: int = 64
    looks: int = 50


FIGURES: dict[str, tuple[str, str]] = {
    "txn_us": (
        "us",
        "processor time of one settled txn in Loop and Choice: arrival, looks, posting, end; hollow workers",
    ),
    "call_us_p99": ("us", "processor time of one call into Loop and the turn behind it, the 99th percentile"),
    "scans_per_txn": ("", "scans over the workers for one settled txn (Choice.rooms)"),
    "scanned_per_txn": ("", "workers that these scans pass for one settled txn"),
    "ranked_per_txn": ("", "loads worked out for one settled txn (Choice.load)"),
    "looks_per_txn": ("", "looks at workers for one settled txn"),
    "unsettled": ("", "txns of the timed ones that did not settle"),
    "held_us": ("us", "processor time of one look at the held txns when every worker is full"),
    "rest_us_per_s": ("us/s", "processor time a second with no txn: housekeeping"),
    "whole_ms": ("ms", "processor time for one whole list again: read, told, nothing changed"),
    "whole_read_ms": ("ms", "of it: reading the line (JSON to rows)"),
    "change_us": ("us", "processor time for one change of one worker: read, told, one turn"),
    "order_ms": (
        "ms",
        "processor time for the order of workers of one key not seen since the last change of the list",
    ),
    "bytes_per_worker": ("bytes", "memory of Choice and its list for one worker, fresh (tracemalloc)"),
    "bytes_per_worker_used": ("bytes", "the same after the timed txns"),
    "list_bytes": ("bytes", "length of a whole list's line"),
    "change_bytes": ("bytes", "length of a line with one change"),
}
COUNTED = frozenset(
    {
        "scans_per_txn",
        "scanned_per_txn",
        "ranked_per_txn",
        "looks_per_txn",
        "unsettled",
        "bytes_per_worker",
        "bytes_per_worker_used",
        "list_bytes",
        "change_bytes",
    }
)


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB) of one play."""
    return 1, 100.0 + 0.02 * point


def row_of(number: int, zones: int, status: str = "active", address: str = "127.0.0.1:9") -> dict[str, Any]:
    """A worker as discovery tells of it."""
    return {
        "name": f"w{number:05}",
        "address": address,
        "zone": f"z{number % zones:02}",
        "type": "m",
        "group": number // 4,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }


def line_of(rows: list[dict[str, Any]], index: int, whole: bool) -> bytes:
    """One line of discovery's watch."""
    return msgspec.json.encode({"index": index, "snapshot": whole, "endpoints": rows}) + b"\n"


def charter(setting: Setting) -> Configuration:
    return validate(
        Configuration,
        {
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:9",
            "dispatchers": setting.dispatchers,
            "machines": ["m"],
            "zones": [f"z{i:02}" for i in range(setting.zones)],
            "zone": "z00",
            "schemes": [{"name": "task", "semantics": "repeatable", "sla": "2s", "expiry": "10s"}],
        },
        "scan",
    )


class HollowDoor:
    """The loop's door, and the workers behind it: what it is told is due later, in virtual time."""

    def __init__(self, setting: Setting, seed: int, workers: int) -> None:
        self.setting = setting
        self.random = Random(seed)
        self.now = 100 * SECOND
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.alarm: int | None = None
        self.settled = self.looks = self.ended = 0
        self.full = False
        self.spent: list[int] = []  # nanoseconds of each group of calls into the program
        self.workers = workers
        self.index = 1
        known = {"index": 1, "snapshot": True, "endpoints": []}
        self.born = birth(json.dumps(platform_config(charter(setting), known)))
        self.born.scheduler.has_watch_heartbeats = (
            False  # the list here speaks by lines alone: no beat tells that it is still there
        )
        self.scheme = self.born.scheduler.schemes[0]
        self.run = int(setting.run * SECOND)
        self.known: dict[str, Worker] = {}
        self.out: dict[Worker, int] = {}
        self.loop = SchedulerDriver(self, self.born.scheduler, seed, self.now)

    # What the loop asks for.

    def post(self, posting: Posting, within: int) -> None:
        self.out[posting.worker] = self.out.get(posting.worker, 0) + 1
        self.later(MILLISECOND, lambda: self.loop.on_posting_accepted(posting))
        self.later(self.run, lambda: self._settles(posting))

    def cancel(self, posting: Posting) -> None:
        pass

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        self.ended += 1

    def reverse(self, txn: Txn) -> None:
        self.ended += 1

    def probe(self, worker: Worker) -> None:
        self.looks += 1
        self.later(
            LOOK_TAKES,
            lambda: self.loop.on_probe_result(worker, Outcome.SETTLED, LOOK_TAKES, self._report(worker)),
        )

    def subscribe(self) -> None:
        pass

    def wake(self, delay: int) -> None:
        self.alarm = self.now + delay

    def note(self, text: str) -> None:
        pass

    # The workers' part.

    def _report(self, worker: Worker) -> LoadReport:
        held = float(self.setting.slots if self.full else self.out.get(worker, 0))
        return LoadReport(free_slots=self.setting.slots - held, queued_jobs=0.0, held_slots=held)

    def _settles(self, posting: Posting) -> None:
        self.out[posting.worker] -= 1
        self.settled += posting.outcome is None
        self.loop.on_posting_ended(
            posting, Outcome.SETTLED, self.now - posting.sent_at, True, self._report(posting.worker)
        )

    def later(self, after: int, act: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (self.now + after, self.order, act))

    # Time.

    def goes(self, act: Callable[[], None]) -> None:
        """One event and the turn behind it, timed."""
        begun = time.thread_time_ns()
        self.loop.set_now(self.now)
        act()
        self.loop.run_pending()
        self.spent.append(time.thread_time_ns() - begun)

    def until(self, moment: int) -> None:
        while True:
            due = self.queue[0][0] if self.queue else moment + 1
            if self.alarm is not None and self.alarm < due:
                due = self.alarm
            if due > moment:
                break
            self.now = max(self.now, due)
            if self.alarm is not None and self.alarm <= self.now:
                self.alarm = None
                self.goes(self.loop.on_wakeup)
            else:
                self.goes(heapq.heappop(self.queue)[2])
        self.now = moment

    def arrives(self, tag: str) -> None:
        txn = Txn(tag, self.scheme, None, self.now, self.now + self.scheme.expiry, hint=self.run)
        self.goes(lambda: self.loop.start_txn(txn))

    def hears(self, line: bytes) -> tuple[int, int]:
        """A line of the list, read and told; nanoseconds for reading, and for the rest."""
        begun = time.thread_time_ns()
        self.index, news, rows = self.born.decoder.decode_list_line(line)
        read = time.thread_time_ns()
        self.follows(news, rows)
        return read - begun, time.thread_time_ns() - read

    def follows(self, news: ListUpdate, rows: Iterable[ListRow]) -> None:
        """As the txn service does it."""
        told_now = []
        for row in rows:
            known = self.known.setdefault(row.worker.tag, row.worker)
            if known is not row.worker:
                known.update_from(row.worker)
            told_now.append(known)
        self.loop.set_now(self.now)
        self.loop.on_list_update(news, told_now)
        self.loop.run_pending()

    # The parts of a play.

    def lists(self) -> bytes:
        return line_of([row_of(i, self.setting.zones) for i in range(self.workers)], 1, True)

    def txns(self, count: int) -> None:
        """So many arrive, evenly with some jitter, and all end."""
        gap = SECOND / self.setting.rate
        due = float(self.now)
        for n in range(count):
            due += gap * (0.5 + self.random.random())
            self.until(int(due))
            self.arrives(f"t{self.now}-{n}")
        self.until(self.now + self.scheme.expiry)


def scan(setting: Setting, seed: int, workers: int) -> HollowDoor:
    """One that has its list and has been warmed by some txns."""
    door = HollowDoor(setting, seed, workers)
    door.hears(door.lists())
    door.txns(64)
    return door


def counted(setting: Setting, seed: int, workers: int) -> dict[str, float]:
    """The same path again, counted: what is wrapped would cost time in the timed one."""
    gc.collect()
    tracemalloc.start()
    try:
        door = HollowDoor(setting, seed, workers)
        line = door.lists()
        gc.collect()
        before = tracemalloc.get_traced_memory()[0]
        door.hears(line)
        gc.collect()
        fresh = tracemalloc.get_traced_memory()[0]
        door.txns(64)
        choice = door.loop.scheduler
        scans = scanned = ranked = 0
        rooms, load = choice.competing_workers, choice.load

        def rooms_counted(states: Iterable[WorkerState]) -> dict[WorkerState, float]:
            nonlocal scans, scanned
            several = list(states)
            scans, scanned = scans + 1, scanned + len(several)
            return rooms(several)

        def load_counted(state: WorkerState, free_slots: float, txn: Txn) -> float:
            nonlocal ranked
            ranked += 1
            return load(state, free_slots, txn)

        choice.competing_workers, choice.load = rooms_counted, load_counted  # type: ignore[method-assign]
        settled, looks = door.settled, door.looks
        door.txns(setting.txns)
        done = max(1, door.settled - settled)
        found = {
            "scans_per_txn": scans / done,
            "scanned_per_txn": scanned / done,
            "ranked_per_txn": ranked / done,
            "looks_per_txn": (door.looks - looks) / done,
            "unsettled": float(setting.txns - (door.settled - settled)),
        }
        del choice.competing_workers, choice.load
        choice.scored_workers = []
        door.spent.clear()
        gc.collect()
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    return {
        **found,
        "bytes_per_worker": (fresh - before) / workers,
        "bytes_per_worker_used": (used - before) / workers,
        "list_bytes": float(len(line)),
    }


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play in this process, with `point` workers."""
    door = scan(setting, seed, point)
    settled = door.settled
    door.spent.clear()
    door.txns(setting.txns)
    done = max(1, door.settled - settled)
    spent = sorted(door.spent)
    figures = {"txn_us": sum(spent) / done / 1e3, "call_us_p99": spent[len(spent) * 99 // 100] / 1e3}
    # At rest.
    door.spent.clear()
    for _ in range(40):  # ten seconds: housekeeping has something to do each quarter of one, whoever wakes it
        door.until(door.now + SECOND // 4)
        door.goes(lambda: None)
    figures["rest_us_per_s"] = sum(door.spent) / 10 / 1e3
    # Lists.
    line = door.lists()
    times = sorted(door.hears(line) for _ in range(5))
    figures["whole_ms"] = sum(times[2]) / 1e6
    figures["whole_read_ms"] = times[2][0] / 1e6
    changes = [
        line_of(
            [row_of(door.random.randrange(point), setting.zones, "leaving" if n % 2 else "active")],
            n + 2,
            False,
        )
        for n in range(CHANGES)
    ]
    figures["change_us"] = sum(sum(door.hears(change)) for change in changes) / CHANGES / 1e3
    figures["change_bytes"] = float(max(map(len, changes)))
    door.hears(line)
    begun = time.thread_time_ns()
    for n in range(ORDERS):
        door.loop.scheduler.key_order(f"key {n}")
    figures["order_ms"] = (time.thread_time_ns() - begun) / ORDERS / 1e6
    # Every worker is full, and says so.
    door.full = True
    for worker in list(door.known.values()):
        full = LoadReport(free_slots=0.0, queued_jobs=2.0, held_slots=door.setting.slots + 2.0)
        for _ in range(2):
            door.goes(lambda w=worker, r=full: door.loop.on_probe_result(w, Outcome.SETTLED, 10, r))  # type: ignore[misc]
    for n in range(setting.held):
        door.arrives(f"h{n}")
    door.spent.clear()
    for _ in range(setting.looks):
        door.now += 10 * MILLISECOND
        door.loop.scheduler.scan_due = door.now
        door.goes(lambda: None)
    figures["held_us"] = sum(door.spent) / setting.looks / 1e3
    return {**figures, **counted(setting, seed, point)}
