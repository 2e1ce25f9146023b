"""Seven members as real processes, what is between them broken by relays,
they themselves stopped and killed; then the judge.

    python -m pathsaddle.emulator.state.processes --seconds 600 --seed 1 --events all.log

Its last lines are figures; exit 0 only if every bound held. Faults come from here: relays, signals, lost
folders. Each process dies with this one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from pathsaddle.emulator.ground.air import Air, Blight
from pathsaddle.emulator.ground.ports import udp_ports
from pathsaddle.emulator.ground.relays import Relays
from pathsaddle.emulator.state.judge import Verdict, judge
from pathsaddle.event_log import Event, read
from pathsaddle.fleet.rate_limiter import SECOND

BUDGET, RATE, LEASE = "uses", 140, 2
FIRST = ("third", "oneway", "owner", "taker", "stall", "loss", "halves")  # each once, then at random


def _dies_with_us() -> None:
    import ctypes

    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL), 0, 0, 0)


class Run:
    def __init__(self, folder: Path, seed: int, members: int = 7) -> None:
        self.folder, self.seed, self.chance = folder, seed, Random(f"processes {seed}")
        self.names = [f"d{n}" for n in range(members)]
        ports = udp_ports(2 * members)
        self.own = dict(zip(self.names, (f"127.0.0.1:{port}" for port in ports[:members]), strict=True))
        self.ours = dict(zip(self.names, (f"127.0.0.1:{port}" for port in ports[members:]), strict=True))
        self.start = time.monotonic()
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.events: list[Event] = []
        self.air = Air(Random(f"air {seed}"), lambda one, other: 0.0)

    def now(self) -> int:
        return int((time.monotonic() - self.start) * SECOND)

    def log(self, what: str, **more: Any) -> None:
        self.events.append(Event(self.now(), what, more))

    def begin(self, name: str) -> None:
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        charter = {
            "name": name,
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:9",
            "number": self.names.index(name),
            "dispatchers": len(self.names),
            "schemes": [{"name": "a", "semantics": "repeatable", "expiry": "5s"}],
            "fleet": {
                "name": "f",
                "key": "sixteen bytes or more",
                "listen": self.own[name],
                "address": self.ours[name],
                "seeds": [self.ours["d0"], self.ours["d1"]],
                "folder": str(folder),
                "beat": "200ms",
                "patience": "80ms",
                "budgets": {BUDGET: RATE},
                "lease": f"{LEASE}s",
            },
        }
        told = {
            "charter": charter,
            "seed": self.seed,
            "start": self.start,
            "log": str(self.folder / f"{name}.log"),
        }
        with (self.folder / f"{name}.err").open("ab") as err:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "pathsaddle.emulator.state.user", json.dumps(told)],
                stderr=err,
                stdout=err,
                preexec_fn=_dies_with_us,  # noqa: PLW1509  # one thread
            )

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()
        self.log("member.ended", who=name, why="killed")

    def blight(self, some: list[str], **more: Any) -> Blight:
        blight = Blight(frozenset(some), frozenset(name for name in self.names if name not in some), **more)
        self.air.blights[blight] = None
        return blight

    def last(self, what: str) -> list[str]:
        """Who told such a line in the last moments: whom it hits while units are on their way."""
        found = []
        for name in self.names:
            try:
                lines = (self.folder / f"{name}.log").read_bytes()[-3000:].splitlines()[1:]
            except OSError:
                continue
            units = [json.loads(line)["more"]["units"] for line in lines if b"share.rights" in line]
            part = RATE // len(self.names)
            if units and (units[-1] < part if what == "owner" else units[-1] > part):
                found.append(name)
        return [name for name in found if name in self.running] or sorted(self.running)

    async def fault(self, kind: str) -> None:
        chance = self.chance
        self.log("fault", kind=kind)
        if kind in ("owner", "taker"):
            name = chance.choice(self.last(kind))
            self.kill(name)
            if chance.random() < 0.3:  # its disk is lost
                shutil.rmtree(self.folder / name)
            await asyncio.sleep(chance.choice((0.0, 1.0)))
            self.begin(name)
            await asyncio.sleep(1.2 * LEASE)
        elif kind == "stall":  # longer than the lease
            name = chance.choice(self.last("taker"))
            self.running[name].send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.6 * LEASE)
            self.running[name].send_signal(signal.SIGCONT)
            await asyncio.sleep(0.5)
        else:
            some = chance.sample(self.names, {"third": 2, "halves": 3}.get(kind, 1))
            blight = (
                self.blight(some, lost=0.3, doubled=0.3, shuffle=0.3)
                if kind == "loss"
                else self.blight(some, oneway=kind == "oneway", lost=1.0)
            )
            await asyncio.sleep((2.2 if kind == "third" else 1.2) * LEASE)
            del self.air.blights[blight]
            await asyncio.sleep(0.5)

    async def play(self, seconds: float) -> None:
        relays = Relays(self.now, self.air, {name: (self.own[name], self.ours[name]) for name in self.names})
        try:
            for name in self.names:
                self.begin(name)
            await asyncio.sleep(2 * LEASE + 1)
            kinds = list(FIRST)
            while self.now() < seconds * SECOND:
                await self.fault(kinds.pop(0) if kinds else self.chance.choice(FIRST))
        finally:
            for name in sorted(self.running):
                self.kill(name)
            relays.end()

    def judged(self) -> Verdict:
        for name in self.names:
            self.events += read(self.folder / f"{name}.log")
        return judge(self.events)


def main(seconds: float, seed: int, events: str) -> int:
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Path(folder), seed)
        asyncio.run(run.play(seconds))
        verdict = run.judged()
        if events:
            run.events.sort(key=lambda event: event.at)
            Path(events).write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in run.events))
        for name in run.names:
            said = (Path(folder) / f"{name}.err").read_text()
            if said:
                verdict.faults.append(f"process-failed: {name}: {said[-500:]}")
        took = {name: run.air.meters[name].most(0) for name in run.names}
    kinds = [event.more["kind"] for event in run.events if event.what == "fault"]
    lent = max((event.more["units"] for event in run.events if event.what == "share.rights"), default=0)
    print(
        f"processes {len(run.names)}, faults {len(kinds)}: {', '.join(sorted(set(kinds)))}; cpus "
        f"{os.cpu_count()}"
    )
    print(
        f"uses {verdict.spent}, the most in a second {verdict.most_spent} of {RATE}; usable at most "
        f"{verdict.most_rights}, "
        f"at one {lent} of its part of {RATE // len(run.names)}; bytes in a second at most "
        f"{max(took.values())}"
    )
    for fault in verdict.faults:
        print(f"BROKEN {fault}")
    return 1 if verdict.faults or not verdict.spent else 0


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--events", default="", help="a file that all that was logged is written to, a line each"
    )
    told = parser.parse_args()
    sys.exit(main(told.seconds, told.seed, told.events))
