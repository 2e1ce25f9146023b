"""A member as a process of its own: the program's membership, carrying layer, limiter and gate over real
sockets, and a stream of offered txns in place of clients. It writes events, a line each,
and takes `rate N` on its standard input.

`python -m pathsaddle.emulator.overload.member JSON`, as `processes` starts it.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

import msgspec

from pathsaddle.event_log import Event
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.membership import MembershipOptions as FleetWays
from pathsaddle.fleet.overload.admission_gate import GateOptions, OverloadGate
from pathsaddle.fleet.overload.driver import ShedLevelDriver
from pathsaddle.fleet.overload.retry_budgets import BudgetKind
from pathsaddle.fleet.overload.shed_rank import AdmissionRequest
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.udp_driver import MembershipConfig, MembershipDriver
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Environment
from pathsaddle.scheduler_types import SECOND

RUN = SECOND // 5
VALUES = (1.0, 2.0, 4.0, 12.0)
FAILS = 0.3  # of its postings, which are to be sent again


class Member:
    def __init__(self, told: dict[str, Any], write: Callable[[bytes], Any]) -> None:
        self.told, self.write = told, write
        self.name, self.start = told["name"], told["start"]
        self.rate: float = told["rate"]
        self.chance = Random(f"{told['seed']} {self.name}")
        number, members = told["number"], told["members"]
        dealt = {
            budget: QuotaConfig(whole, whole // members + (number < whole % members), told["lease"])
            for budget, whole in told["budgets"].items()
        }
        ways = FleetWays("overload", b"sixteen bytes or more", SECOND // 5, SECOND * 6 // 100, 48_000, 200)
        self.fellows = MembershipDriver(
            MembershipConfig(
                self.name, "east", told["listen"], told["address"], told["seeds"], "", ways, budgets=dealt
            ),
            Environment(),
            IncarnationStore(None, self.name),
            Random(f"{self.name} fellows"),
            Counters(),
        )
        self.fellows.quiet = True
        assert self.fellows.shared is not None
        now = self.fellows.clock.now()
        self.gate = OverloadGate(
            GateOptions(
                b"the same for all",
                members,
                4.75 / RUN,
                {f"c{c}": told["could"] for c in range(4)},
                told["returns"],
                SECOND // 2,
                8 * SECOND,
            ),
            self.name,
            number,
            self.fellows.shared.limiter,
            now,
        )
        self.levels = ShedLevelDriver(self.fellows, self.gate, self.before, self.after)
        self.count = 0

    def log(self, at: int, what: str, **more: Any) -> None:
        self.write(msgspec.json.encode(Event(at - self.start, what, {"who": self.name} | more)) + b"\n")

    def before(self) -> None:
        # Nothing here runs: slots are as the plan says, all of them busy.
        self.gate.observe_workers(self.told["could"], 0.0, 0.0)

    def after(self) -> None:
        self.log(self.gate.updated_at, "shed.level", level=self.gate.level.value)

    def offers(self) -> None:
        now, chance = self.fellows.clock.now(), self.chance
        self.count += 1
        scheme, run = (
            chance.randrange(len(VALUES)),
            max(RUN // 8, int(chance.lognormvariate(-0.32, 0.8) * RUN)),
        )
        # Some identities come to several members: each must be shed alike everywhere.
        key = f"k{chance.randrange(400)}"
        ask = AdmissionRequest(
            f"c{chance.randrange(4)}", key, f"s{scheme}", VALUES[scheme], 0.3, float(run), 2 * SECOND, run
        )
        woken = self.gate.updated_at
        given = self.gate.admit(ask, now)
        if self.gate.updated_at != woken:
            self.after()
        txn = f"{self.name}/{self.count}"
        self.log(
            now,
            "shed.in" if given.is_admitted else "shed.out",
            txn=txn,
            customer=ask.tenant,
            key=key,
            scheme=ask.request_class,
            period=given.period,
            standing=given.shed_rank,
            level=given.shed_level,
            over=given.is_over_quota,
            work=ask.work_slot_ticks,
            wait=given.retry_after_ticks,
            why=given.reason.value,
        )
        if given.is_admitted:
            worker = f"w{chance.randrange(4)}"
            if self.gate.try_acquire(BudgetKind.LOOK, worker, now):
                self.log(now, "look", worker=worker)
            self.log(now, "post.sent", post=f"{txn}/1", txn=txn, worker=worker, kind="first")
            if chance.random() < FAILS and self.gate.try_acquire(BudgetKind.REPEAT, worker, now):
                self.log(now, "post.sent", post=f"{txn}/2", txn=txn, worker=worker, kind="repeat")

    async def trials(self) -> None:
        """A worker that all have failed at, and all want to try again in the same moment: each whole
        second.
        """
        while True:
            await asyncio.sleep((SECOND - self.fellows.clock.now() % SECOND) / SECOND)
            now = self.fellows.clock.now()
            if self.gate.try_acquire(BudgetKind.TRIAL, "w1", now):
                self.count += 1
                self.log(
                    now,
                    "post.sent",
                    post=f"{self.name}/t{self.count}",
                    txn=f"{self.name}/t{self.count}",
                    worker="w1",
                    kind="trial",
                )

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_reader(sys.stdin.fileno(), self.told_more)
        self.fellows.begin()
        self.levels.start()
        self.log(self.fellows.clock.now(), "member.began", life=self.fellows.life)
        trials = loop.create_task(self.trials())
        while self.rate > 0:
            await asyncio.sleep(self.chance.expovariate(self.rate))
            self.offers()
        trials.cancel()
        self.levels.stop()
        self.fellows.end()

    def told_more(self) -> None:
        words = sys.stdin.readline().split()
        # Whoever started us has gone: so do we.
        self.rate = float(words[1]) if len(words) == 2 and words[0] == "rate" else 0.0


if __name__ == "__main__":
    # Each line at once: what a SIGKILL takes with it can't be judged.
    asyncio.run(Member(json.loads(sys.argv[1]), partial(os.write, 1)).run())
