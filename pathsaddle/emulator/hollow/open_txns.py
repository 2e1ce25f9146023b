"""Slope 5: what open txns take of one dispatcher, against how many are open at once.

The program's own decisions, loop, ledger and words (`choice`, `loop`, `net.memory.ledger`, `net.wire.forms`)
in this process, behind a door that writes down what it is told: no sockets, so a txn's connection, its task
and its timer are left out (`open_sockets` has those). Time is handed in. The txns are either all with workers
that never answer, or all held, since no worker has room.
"""

from __future__ import annotations

import json
import time
from typing import Annotated, Any

import msgspec

from pathsaddle.config.loader import platform_config
from pathsaddle.config.schema import Configuration
from pathsaddle.config.validation import validate
from pathsaddle.net.memory.ledger import Entry, Exchange, KnownSending, Ledger
from pathsaddle.net.wire.birth import StartConfig, birth
from pathsaddle.net.wire.http import Message
from pathsaddle.scheduler_driver import SchedulerDriver
from pathsaddle.scheduler_types import SECOND, ListUpdate, LoadReport, Outcome, Posting, Txn, Worker

LAST = 100  # arrivals and looks that are timed
WATCHED = 60  # tenths of a second over which watching is timed: some times of silence


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """workers: how many the list has.
    body: bytes of a call's body.
    stop_within: seconds from SIGTERM in which all must have their answer.
    """

    workers: Annotated[int, msgspec.Meta(ge=1)] = 100
    body: Annotated[int, msgspec.Meta(ge=0)] = 200
    stop_within: Annotated[float, msgspec.Meta(gt=0)] = 3.35


FIGURES = {
    "posted": ("1", "txns of the first part that are with a worker"),
    "posted_bytes": ("bytes", "memory for each open txn that is with a worker, by the allocator, no sockets"),
    "held": ("1", "txns of the second part that are held"),
    "held_bytes": ("bytes", "memory for each held txn, by the allocator, no sockets"),
    "arrival_us": ("us", "processor time to take one more and to look at those held, while all are held"),
    "look_us": ("us", "processor time of one look at those held when nothing has happened"),
    "freed_us": ("us", "processor time of a turn in which one slot is free and one of those held gets it"),
    "hasten_held_s": ("s", "processor time at SIGTERM to bring all held txns' expiry forward"),
    "hasten_posted_s": ("s", "the same of all that are with workers"),
    "answered": (
        "1",
        "part of the held and posted that have their answer by then, no later than `stop_within`",
    ),
    "watch_us": ("us", "processor time a second for each txn that is with a worker which says nothing of it"),
    "adopt_us": ("us", "processor time to take up a txn from before a restart whose posting may still run"),
}
COUNTED = frozenset({"posted", "posted_bytes", "held", "held_bytes", "answered"})


class Door:
    """Writes down what it is asked."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger = ledger
        self.answers: dict[str, str] = {}
        self.alarm = 0

    def post(self, posting: Posting, within: int) -> None:
        entry = self.ledger[posting.txn.tag]
        entry.exchanges.append(Exchange(posting, entry, within))

    def cancel(self, posting: Posting) -> None:
        pass

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        self.answers[txn.tag] = "declined"

    def reverse(self, txn: Txn) -> None:
        self.answers[txn.tag] = "reversed"

    def probe(self, worker: Worker) -> None:
        pass

    def subscribe(self) -> None:
        pass

    def wake(self, delay: int) -> None:
        self.alarm = delay

    def note(self, text: str) -> None:
        pass


class Member:
    """One dispatcher without its sockets."""

    def __init__(self, seed: int, setting: Setting, free: float) -> None:
        self.setting = setting
        self.born = birth_of(seed, setting)
        self.now = 100 * SECOND
        self.ledger = Ledger(lambda: self.now, lambda txn: txn.scheme.expiry)
        self.door = Door(self.ledger)
        self.loop = SchedulerDriver(self.door, self.born.scheduler, seed, self.now)
        self.loop.set_now(self.now)
        self.workers = [row.worker for row in self.born.list_rows]
        self.loop.on_list_update(ListUpdate.COMPLETE, self.workers)
        self.reports(self.workers, free)
        self.count = 0

    def reports(self, workers: list[Worker], free: float) -> None:
        for worker in workers:
            self.loop.on_probe_result(
                worker, Outcome.SETTLED, 10, LoadReport(free_slots=free, queued_jobs=0.0, held_slots=8.0)
            )

    def txn(self) -> Entry:
        self.count += 1
        tag = f"{self.count:016x}"
        lines = [
            (b"Req-Id", tag.encode()),
            (b"Req-Kind", b"usual"),
            (b"Req-Owner", b"acme"),
            (b"Req-Deadline-Ms", b"600000"),
            (b"Req-Cost", b"1000"),
            (b"Content-Type", b"application/json"),
        ]
        call = Message(
            b"POST",
            b"/usual",
            headers={name.lower(): value for name, value in lines},
            raw_headers=lines,
            body=bytes(self.setting.body),
        )
        entry = Entry(self.born.decoder.decode_txn(call, self.now), call, answers_nothing)
        self.ledger.open(entry)
        return entry

    def passes(self) -> None:
        """A tenth of a second in which nothing happens."""
        self.now += SECOND // 10
        self.loop.set_now(self.now)
        self.loop.on_wakeup()
        self.loop.run_pending()

    def takes(self, turn: bool) -> None:
        self.loop.start_txn(self.txn().txn)
        if turn:
            self.loop.run_pending()


def answers_nothing(status: int, body: bytes, lines: tuple[str, ...], keep: bool) -> None:
    pass


def birth_of(seed: int, setting: Setting) -> StartConfig:
    charter = validate(
        Configuration,
        {
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:1",
            "seed": f"{seed:x}",
            "customers": [{"name": "acme", "allowance": 1000.0}],
            "allowed": {"probe": False},
            "schemes": [{"name": "usual", "semantics": "repeatable", "sla": "10min", "expiry": "10min"}],
        },
        "open_txns",
    )
    rows: list[dict[str, Any]] = [
        {
            "name": f"w{i}",
            "address": f"127.0.0.1:{20_000 + i}",
            "zone": "here",
            "type": "m",
            "group": 0,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }
        for i in range(setting.workers)
    ]
    return birth(json.dumps(platform_config(charter, {"index": 1, "snapshot": True, "endpoints": rows})))


def needs(point: int, setting: Setting) -> tuple[int, float]:
    return 1, 80.0 + 0.03 * point


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    import tracemalloc

    by = int(setting.stop_within * SECOND)
    found: dict[str, float] = {}
    answered = 0.0
    for name, free in (("posted", 2.0 * point), ("held", 0.0)):
        member = Member(seed, setting, free)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for _ in range(point):
            member.takes(turn=name == "posted")
        found[f"{name}_bytes"] = (tracemalloc.get_traced_memory()[0] - before) / point
        tracemalloc.stop()
        member.loop.run_pending()
        out = sum(bool(entry.exchanges) for entry in member.ledger.unanswered_entries())
        found[name] = out if name == "posted" else len(member.loop.scheduler.waiting)
        if name == "held":
            found |= looks(member)
        else:
            begun = time.process_time()
            for _ in range(WATCHED):
                member.passes()
            found["watch_us"] = (time.process_time() - begun) / point / (WATCHED / 10) * 1e6
        entries = member.ledger.unanswered_entries()
        begun = time.process_time()
        for entry in entries:
            member.loop.shorten_deadline(entry.txn, member.now + by)
        found[f"hasten_{name}_s"] = time.process_time() - begun
        member.now += by
        member.loop.set_now(member.now)
        member.loop.run_pending()
        answered += sum(entry.txn.tag in member.door.answers for entry in entries) / len(entries) / 2
    return {**found, "answered": answered, "adopt_us": adoption(point, seed, setting)}


def looks(member: Member) -> dict[str, float]:
    """With as many held as the point says: what more txns, looks and a free slot cost."""
    choice, loop = member.loop.scheduler, member.loop

    def each(times: int, what: Any) -> float:
        begun = time.process_time()
        for _ in range(times):
            what()
        return (time.process_time() - begun) / times * 1e6

    look = each(LAST, member.passes)
    arrival = each(LAST, lambda: member.takes(turn=True))
    worker = member.workers[0]

    def freed() -> None:
        member.reports([worker], 1.0 + len(choice.workers[worker].in_flight))
        loop.run_pending()

    return {"look_us": look, "arrival_us": arrival, "freed_us": each(LAST, freed)}


def adoption(point: int, seed: int, setting: Setting) -> float:
    member = Member(seed, setting, 0.0)
    entries = [member.txn() for _ in range(point)]
    begun = time.process_time()
    for i, entry in enumerate(entries):
        posting = Posting(entry.txn, member.workers[i % len(member.workers)], 0, member.now - SECOND)
        entry.exchanges.append(
            Exchange(posting, entry, 600 * SECOND, sending=KnownSending(), is_accepted=True)
        )
        member.loop.resume_txn(entry.txn, [posting])
    member.loop.run_pending()
    return (time.process_time() - begun) / point * 1e6
