"""A process of a member that makes uses at random, by the program's own driver,
and writes what it may do and what it does.

Told by one JSON object as its argument. Each line is written before what it announces can have an effect: a
fall of rights before the datagram that gives them away goes out, rights before a use by them.
SIGKILL loses nothing that was written.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from pathsaddle.config.fleet import membership_config as fellow
from pathsaddle.config.schema import Configuration
from pathsaddle.config.validation import validate
from pathsaddle.event_log import Event
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.quota.shared_state import SPARE_TOPIC, SharedState
from pathsaddle.fleet.udp_driver import MembershipDriver
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Environment
from pathsaddle.scheduler_types import SECOND


class User:
    def __init__(self, told: dict[str, Any]) -> None:
        self.charter = validate(Configuration, told["charter"], "argument")
        assert self.charter.fleet is not None
        self.told, self.chance = told, Random(f"{told['seed']} {self.charter.name} {os.getpid()}")
        self.log = os.open(told["log"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        ground = Environment()
        folder = self.charter.fleet.folder
        self.fellows = MembershipDriver(
            fellow(self.charter),
            ground,
            IncarnationStore(Path(folder) if folder else None, self.charter.name),
            self.chance,
            Counters(),
        )
        self.fellows.quiet = True
        self.clock = ground.clock
        # One start for all processes, to a tick: the steady clock of the machine.
        self.base = int((told["start"] + ground.clock._offset) * SECOND)
        self.rights: dict[str, tuple[int, list[tuple[int, int]]]] = {}
        assert self.fellows.shared is not None
        self.shared: SharedState = self.fellows.shared
        say, shared = self.shared.say, self.shared

        def told_first(now: int) -> None:
            self.tell(now)
            say(now)

        shared.say = told_first  # type: ignore[method-assign]

    def write(self, now: int, what: str, **more: Any) -> None:
        event = Event(now - self.base, what, {"who": self.charter.name, **more})
        os.write(self.log, msgspec.json.encode(event) + b"\n")

    def tell(self, now: int) -> None:
        """What is usable of each budget, until the next of it ends, and what is left then."""
        for name, one in self.shared.limiter.budgets.items():
            state = one.state
            # Of our own that comes back meanwhile nothing is counted before it is told; of what is held each
            # ends at its time, also while we stand still.
            own, left = state.own(now), state.usable(now)
            steps = []
            for lease in sorted(
                (lease for lease in state.held if lease.until > now), key=lambda lease: lease.until
            ):
                left -= lease.units
                steps.append((lease.until - self.base, left))
            rights = own, steps
            if rights != self.rights.get(name):
                self.rights[name] = rights
                until = steps[0][0] if steps else now - self.base + 3600 * SECOND
                self.write(
                    now,
                    "share.rights",
                    budget=name,
                    units=state.usable(now),
                    until=until,
                    floor=own,
                    steps=steps,
                )

    async def use(self, budget: str, rate: int) -> None:
        """As often as its mood has it, three times its part or nothing."""
        until, wants = 0, 0.0
        while True:
            now = self.clock.now()
            if now >= until:
                until = now + int(self.chance.uniform(1.5, 4) * SECOND)
                wants = rate * self.chance.choice((0.0, 0.0, 1.0, 2.0))
            if not wants:
                await asyncio.sleep(0.1)
                continue
            now = self.clock.now()
            self.tell(now)
            if self.shared.limiter.try_acquire(budget, 1, now):
                self.write(now, "share.spend", budget=budget, units=1)
            await asyncio.sleep(self.chance.expovariate(wants))

    async def look(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            now = self.clock.now()
            for shown in self.shared.carry.records(SPARE_TOPIC, now):
                self.write(
                    now,
                    "record",
                    member=shown.member,
                    life=shown.life,
                    version=shown.version,
                    least=shown.least,
                    most=shown.most,
                    sure=shown.confirmed_ago_ticks,
                )

    async def run(self) -> None:
        now = self.clock.now()
        self.write(now, "member.began", life=self.fellows.life)
        fleet = self.charter.fleet
        assert fleet is not None
        for budget, rate in fleet.budgets.items():
            self.write(now, "share.budget", budget=budget, units=rate)
        self.fellows.begin()
        await asyncio.gather(self.look(), *(self.use(budget, rate) for budget, rate in fleet.budgets.items()))


if __name__ == "__main__":
    asyncio.run(User(json.loads(sys.argv[1])).run())
