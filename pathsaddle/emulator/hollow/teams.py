"""What teams cost a dispatcher: `customers` of its charter, each with its share.

Run: one real dispatcher with so many teams: its file, the checker, its start, its memory, a reload, and how long a
call waits that is sent right behind the reload's signal. In process, without sockets and in virtual time: the program's
own loop and decisions with so many teams, a txn's cost, what the look at all shares each quarter second costs, and
what shares become for a team whose traffic moves from all dispatchers to one.
"""

from __future__ import annotations

import asyncio
import bisect
import heapq
import itertools
import json
import signal
import statistics
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from pathsaddle.config.loader import platform_settings, read_configuration
from pathsaddle.config.schema import Configuration
from pathsaddle.emulator.hollow.serving import Ground, rss_mib
from pathsaddle.scheduler import MIN_BUCKET_TXNS
from pathsaddle.scheduler_driver import SchedulerDriver
from pathsaddle.scheduler_types import (
    SECOND,
    Customer,
    DeduplicationGroup,
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
from pathsaddle.worker_state import CustomerUsage

JOB = SECOND // 10  # how long a job runs at a worker in process
RELOADS = 5


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """workers, rate, txns: in process, of the one dispatcher whose txns are timed; txns a second, and how many.
    dispatchers: of the fleet in which a team's traffic moves; one of them is played. busy: txns a second of all teams
    over all of them, at the peak. used: what part of its share a team uses. before, after: virtual seconds around the
    move. zipf: how the teams' traffic falls off: the k-th sends 1 / k to this power; 0: all alike. hops: virtual
    seconds for which a team goes to the next dispatcher each second.
    """

    workers: int = 50
    rate: float = 100.0
    txns: int = 2000
    dispatchers: int = 200
    busy: float = 270.0
    used: float = 0.8
    before: float = 300.0
    after: float = 30.0
    zipf: float = 1.1
    hops: int = 60


FIGURES: dict[str, tuple[str, str]] = {
    "charter_bytes": ("bytes", "the file of a dispatcher with so many teams, as TOML"),
    "settings_bytes": ("bytes", "what the program makes of it, as JSON"),
    "check_ms": ("ms", "the checker's processor time over that file, in process, the middle of five"),
    "start_ms": ("ms", "a real dispatcher: from the process's start to its ready line"),
    "rss_mib": ("MiB", "a real dispatcher's memory when it is ready"),
    "reload_ms": (
        "ms",
        "a real dispatcher: SIGHUP until it says that it read its file again, the middle of five",
    ),
    "reload_stall_ms": (
        "ms",
        "a real dispatcher: the longest that a call sent right behind a SIGHUP waited, of five",
    ),
    "choice_us_per_txn": (
        "us",
        ("in process: processor time of loop and decisions for a txn from arrival to end, teams by the skew"),
    ),
    "housekeeping_us": (
        "us",
        "in process: processor time of one look at all teams' shares, made four times a second",
    ),
    "refused_budgets": (
        "budgets",
        (
            "of so many under [fleet.budgets], one for each team, how many more there are than the "
            "charter's checker takes"
        ),
    ),
    "even_over": (
        "part",
        (
            "in process: of one dispatcher's txns, each team within its share and spread evenly over all "
            "dispatchers, how many it took to be over their team's share"
        ),
    ),
    "moved_over": (
        "part",
        (
            "in process: of the txns of the busiest team, which stays within its share and sends all to that "
            "dispatcher since the move, how many it took to be over it"
        ),
    ),
    "share_there": (
        "part",
        "in process: the part of its share that the team is granted there at the end; 1 is right",
    ),
    "share_right_s": (
        "s",
        (
            "in process: from the move until the team is granted nine tenths of its share there; the length of "
            "the look (setting `after`) where it never is"
        ),
    ),
    "hop_times": (
        "times",
        (
            "in process: a team with an even share of the peak that goes to the next dispatcher each second: "
            "txns taken to be within its share, over what its share is in that time"
        ),
    ),
}
COUNTED = frozenset(
    {
        "charter_bytes",
        "settings_bytes",
        "refused_budgets",
        "even_over",
        "moved_over",
        "share_there",
        "share_right_s",
        "hop_times",
    }
)


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB) of one play with `point` teams."""
    return 2, 160.0 + 0.1 * point


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` teams."""
    text = charter_text(point)
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "teams.toml"
        file.write_text(text, encoding="utf-8")
        charter = read_configuration(file)
        found = {
            "charter_bytes": float(len(text)),
            "settings_bytes": float(len(json.dumps(platform_settings(charter)))),
            "check_ms": statistics.median(1e3 * spent(lambda: read_configuration(file)) for _ in range(5)),
            "refused_budgets": float(refused_budgets(point, Path(folder))),
        }
        found |= asyncio.run(_real(Path(folder), charter))
    found["choice_us_per_txn"] = choice_us(point, seed, setting)
    found["housekeeping_us"] = housekeeping_us(point, seed)
    found["hop_times"] = hop_times(point, setting)
    return found | moved(point, seed, setting)


def spent(what: Callable[[], Any]) -> float:
    """Seconds of processor time."""
    before = time.process_time()
    what()
    return time.process_time() - before


def charter_text(
    teams: int, listen: str = "127.0.0.1:1", discovery: str = "127.0.0.1:1", more: str = ""
) -> str:
    """A dispatcher's file with so many teams."""
    rows = "".join(
        f'[[customers]]\nname = "team-{i:04d}"\nallowance = 5.25\nportion = {1 / teams:.6f}\n'
        for i in range(teams)
    )
    return (
        f'name = "d0"\nlisten = "{listen}"\ndiscovery = "{discovery}"\n'
        '[[schemes]]\nname = "render"\nsemantics = "repeatable"\nsla = "2s"\nexpiry = "5s"\n' + rows + more
    )


def refused_budgets(count: int, folder: Path) -> int:
    """How many budgets of so many are too many for the checker: halved in until the most that it takes is found."""

    def taken(budgets: int) -> bool:
        rows = "".join(f'"team-{i:04d}" = 5\n' for i in range(budgets))
        file = folder / "budgets.toml"
        file.write_text(
            charter_text(
                1,
                more='[fleet]\nname = "scale"\nkey = "0123456789abcdef"\n'
                'listen = "127.0.0.1:7000"\n[fleet.budgets]\n' + rows,
            ),
            encoding="utf-8",
        )
        from pathsaddle.errors import Error

        try:
            read_configuration(file)
        except Error:
            return False
        return True

    if taken(count):
        return 0
    return count - (bisect.bisect_left(range(count), True, key=lambda budgets: not taken(budgets)) - 1)


async def _real(folder: Path, charter: Configuration) -> dict[str, float]:
    def table(number: int, listen: str, discovery: str) -> dict[str, Any]:
        return {
            "name": "d0",
            "listen": listen,
            "discovery": discovery,
            "schemes": [{"name": "render", "semantics": "repeatable", "sla": "2s", "expiry": "5s"}],
            "customers": [
                {"name": one.name, "allowance": one.allowance, "portion": one.portion}
                for one in charter.customers
            ],
        }

    ground = Ground(folder, 1, 2, 0.1, table)
    try:
        await ground.begin()
        one = ground.dispatchers[0]
        begun = time.perf_counter()
        one.begin()
        start = await one.says("serving") - begun
        await one.ready()
        memory = rss_mib(one.pid)
        reloads, stalls = [], []
        for _ in range(RELOADS):
            since, begun = one.said(), time.perf_counter()
            one.signal(signal.SIGHUP)
            await one.asked()
            stalls.append(time.perf_counter() - begun)
            reloads.append(await one.says("configuration read again", since) - begun)
    finally:
        await ground.end()
    return {
        "start_ms": 1e3 * start,
        "rss_mib": memory,
        "reload_ms": 1e3 * statistics.median(reloads),
        "reload_stall_ms": 1e3 * max(stalls),
    }


class Teams:
    """Draws teams by their skew."""

    def __init__(self, count: int, zipf: float) -> None:
        weights = [1 / (k + 1) ** zipf for k in range(count)]
        self.parts = [weight / sum(weights) for weight in weights]  # of all traffic
        self.sums = list(itertools.accumulate(self.parts))

    def draw(self, chance: Random) -> int:
        return min(bisect.bisect_right(self.sums, chance.random()), len(self.sums) - 1)


class HollowDoor:
    """A dispatcher in process, one of so many: the program's own loop and decisions, in virtual time. Every posting
    settles after JOB.
    """

    def __init__(self, customers: list[Customer], workers: int, dispatchers: int, seed: int) -> None:
        self.heap: list[tuple[int, int, Callable[[], None]]] = []  # (when, order, what)
        self.count, self.now = itertools.count(), 100 * SECOND
        scheme = Scheme(
            index=0,
            semantics=Semantics.REPEATABLE,
            sla_time=2 * SECOND,
            expiry=5 * SECOND,
            value=1.0,
            late_value=0.0,
            stretch=0.0,
            group=DeduplicationGroup.ALL,
            window=0,
        )
        self.scheme = scheme
        terms = SchedulerConfig(
            schemes=[scheme],
            customers=customers,
            dispatchers=dispatchers,
            number=0,
            zone=0,
            tick=20,
            list_needs_subscription=False,
            list_poll_interval=10 * SECOND,
            answer_slack=0,
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
            progress_interval=0,
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
        self.settled = self.declined = 0
        self.alarm = -1
        self.loop = SchedulerDriver(self, terms, seed, self.now)
        self.loop.set_now(self.now)
        self.loop.on_list_update(ListUpdate.COMPLETE, [Worker(f"w{i}") for i in range(workers)])
        self.loop.run_pending()

    def later(self, when: int, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.count), what))

    def at(self, now: int) -> None:
        self.now = now
        self.loop.set_now(now)

    def run(self, until: int) -> None:
        """All that is due before that moment."""
        while self.heap and self.heap[0][0] < until:
            now, _, what = heapq.heappop(self.heap)
            self.at(now)
            what()
        self.at(until)

    def arrive(self, tag: str, customer: Customer) -> Txn:
        txn = Txn(tag, self.scheme, customer, self.now, self.now + self.scheme.expiry, hint=10)
        self.loop.start_txn(txn)
        self.loop.run_pending()
        return txn

    def post(self, posting: Posting, within: int) -> None:
        begun = self.now

        def ends() -> None:
            self.settled += not posting.txn.is_closed
            self.loop.on_posting_ended(
                posting,
                Outcome.SETTLED,
                self.now - begun,
                True,
                LoadReport(free_slots=8.0, queued_jobs=0.0, held_slots=0.0),
            )
            self.loop.run_pending()

        self.later(begun + JOB, ends)

    def wake(self, delay: int) -> None:
        due = self.alarm = self.now + delay

        def rings() -> None:
            if due == self.alarm:
                self.loop.on_wakeup()
                self.loop.run_pending()

        self.later(due, rings)

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        self.declined += 1

    def reverse(self, txn: Txn) -> None:
        self.declined += 1

    def cancel(self, posting: Posting) -> None:
        """Its outcome comes all the same."""

    def probe(self, worker: Worker) -> None:
        """Not allowed by the terms."""

    def subscribe(self) -> None:
        """Not wanted: the list speaks by itself."""

    def note(self, text: str) -> None:
        """Nobody reads it."""


def choice_us(teams: int, seed: int, setting: Setting) -> float:
    """Microseconds of processor time of one dispatcher's loop and decisions for each txn."""
    chance, skew = Random(seed), Teams(teams, setting.zipf)
    customers = [Customer(i, 1.25 * setting.rate * part, part) for i, part in enumerate(skew.parts)]
    door = HollowDoor(customers, setting.workers, 1, seed)
    drawn = [
        (door.now + int(i * SECOND / setting.rate), customers[skew.draw(chance)]) for i in range(setting.txns)
    ]
    before = time.process_time()
    for i, (at, customer) in enumerate(drawn):
        door.run(at)
        door.arrive(f"t{i}", customer)
    door.run(drawn[-1][0] + SECOND)
    return 1e6 * (time.process_time() - before) / setting.txns


def housekeeping_us(teams: int, seed: int) -> float:
    """Microseconds of processor time of one look at all shares, after each team has sent something."""
    chance = Random(seed)
    customers = [Customer(i, 5.25, 1 / teams) for i in range(teams)]
    door = HollowDoor(customers, 1, 1, seed)
    choice = door.loop.scheduler
    for account in choice.customer_usage.values():
        account.arrivals.extend(sorted(door.now - chance.randrange(60 * SECOND) for _ in range(10)))
    looks = max(20, 20_000 // teams)

    def look() -> None:
        for _ in range(looks):
            choice.update_traffic_share()

    return 1e6 * spent(look) / looks


def moved(teams: int, seed: int, setting: Setting) -> dict[str, float]:
    """The busiest team's traffic moves from all dispatchers to one, which is played; no team is ever over its share.
    What a dispatcher takes a team's share to be hangs on its own txns alone, so the others need not be played.
    """
    chance, skew = Random(seed), Teams(teams, setting.zipf)
    customers = [Customer(i, setting.busy * part / setting.used, part) for i, part in enumerate(skew.parts)]
    door = HollowDoor(customers, setting.workers, setting.dispatchers, seed)
    move = door.now + int(setting.before * SECOND)
    end = move + int(setting.after * SECOND)
    arrivals: list[tuple[int, int, bool]] = []
    for since, until, rate, hers in (
        (door.now, end, setting.busy / setting.dispatchers, False),
        (move, end, setting.busy * skew.parts[0], True),
    ):
        at = since + chance.expovariate(rate) * SECOND
        while at < until:
            team = 0 if hers else skew.draw(chance)
            if hers or team or at < move:
                arrivals.append((int(at), team, hers))
            at += chance.expovariate(rate) * SECOND
    over, right = {False: [0], True: [0]}, 0
    for number, (moment, team, hers) in enumerate(sorted(arrivals)):
        door.run(moment)
        txn = door.arrive(f"t{number}", customers[team])
        over[hers].append(txn.is_over_share)
        if hers and not right and granted(door) >= 0.9:
            right = moment - move
    return {
        "even_over": sum(over[False]) / max(1, len(over[False]) - 1),
        "moved_over": sum(over[True]) / max(1, len(over[True]) - 1),
        "share_there": min(1.0, granted(door)),
        "share_right_s": (right or end - move) / SECOND,
    }


def granted(door: HollowDoor) -> float:
    """What part of a team's share this dispatcher takes to be its own to grant, as `Scheduler.register_txn` has it."""
    return 1.15 * door.loop.scheduler.traffic_share


def hop_times(teams: int, setting: Setting) -> float:
    """Each dispatcher has an account of the team of its own, which begins full."""
    share = setting.busy / teams
    even, within = 1.15 / setting.dispatchers, 0
    for second in range(setting.hops):
        account = CustomerUsage(share / SECOND, second * SECOND, MIN_BUCKET_TXNS)
        sends = max(10, int(10 * share))
        within += sum(account.try_consume(second * SECOND + i * SECOND // sends, even) for i in range(sends))
    return within / (share * setting.hops)
