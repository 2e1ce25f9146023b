"""Members as real processes at twice capacity, with what is between them broken,
and their logs judged together.

A third hears nothing for a while; the one with the most load is stopped for longer than a lease and wakes
with an old level, and meanwhile one is heard by nobody though it hears all; half are killed, and what they
were offered comes to the rest. Faults are the ground's: relays, SIGSTOP, SIGKILL.
`python -m pathsaddle.emulator.overload.processes` prints what broke and ends with 0 only if nothing did.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from pathsaddle.emulator.ground.air import Air, Blight
from pathsaddle.emulator.ground.ports import udp_places
from pathsaddle.emulator.ground.relays import Relays
from pathsaddle.emulator.overload.judge import Judge
from pathsaddle.event_log import Event, read
from pathsaddle.scheduler_types import SECOND

MEMBERS, COULD, LEASE = 9, 12.0, 3 * SECOND
RATE = 2 * COULD / 0.2 / (MEMBERS + 2)  # txns a second, each; the first one has three times as much
BUDGETS = {"repeat": 12, "look": 40, "trial": 4, "repeat.w0": 6, "look.w0": 15, "look.w1": 15, "trial.w1": 3}
RETURNS = 12.0


@dataclass(frozen=True)
class Times:
    """Seconds from the start: the third is cut off, then one is stopped, then half are killed."""

    cut: tuple[float, float] = (8.0, 15.0)
    stop: tuple[float, float] = (19.0, 25.0)
    kill: float = 29.0
    end: float = 36.0


async def play(folder: Path, times: Times, seed: int) -> list[Event]:
    """One run; its processes are ended whatever happens."""
    names = [f"d{number}" for number in range(MEMBERS)]
    places = iter(udp_places(2 * MEMBERS))
    ways = {name: (next(places), next(places)) for name in names}
    began = time.monotonic()
    start = int(time.time() * SECOND)
    air = Air(Random(seed), lambda one, other: 0.001)
    relays = Relays(lambda: int((time.monotonic() - began) * SECOND), air, ways)
    marks: list[Event] = []
    processes: dict[str, asyncio.subprocess.Process] = {}
    files = []

    def mark(what: str, **more: Any) -> None:
        marks.append(Event(int(time.time() * SECOND) - start, what, {"who": "k"} | more))

    async def until(moment: float) -> None:
        await asyncio.sleep(max(0.0, moment - (time.monotonic() - began)))

    def rates(name: str, rate: float) -> None:
        stdin = processes[name].stdin
        assert stdin is not None
        stdin.write(f"rate {rate}\n".encode())

    marks.append(
        Event(
            0,
            "overload.plan",
            {
                "who": "k",
                "policy": "fleet",
                "members": MEMBERS,
                "surge": None,
                "back_within": 0.0,
                "returns": RETURNS,
                "allowance": COULD,
            },
        )
    )
    marks += [
        Event(0, "share.budget", {"who": "d0", "budget": budget, "units": units})
        for budget, units in BUDGETS.items()
    ]
    try:
        for number, name in enumerate(names):
            told = {
                "name": name,
                "number": number,
                "members": MEMBERS,
                "start": start,
                "seed": seed,
                "could": COULD,
                "rate": RATE * (3 if number == 0 else 1),
                "listen": ways[name][0],
                "address": ways[name][1],
                "seeds": [ways[one][1] for one in names[:3]],
                "budgets": BUDGETS,
                "returns": RETURNS,
                "lease": LEASE,
            }
            files.append((folder / name).open("wb"))
            processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pathsaddle.emulator.overload.member",
                json.dumps(told),
                stdin=asyncio.subprocess.PIPE,
                stdout=files[-1],
            )
        await until(times.cut[0])
        third = names[3:6]
        mark("fault", kind="cut", long=int((times.cut[1] - times.cut[0]) * SECOND), members=third)
        blight = Blight(frozenset(third), frozenset(names), lost=1.0)
        air.blights[blight] = None
        await until(times.cut[1])
        air.blights.pop(blight)
        await until(times.stop[0])
        mark("fault", kind="stall", long=int((times.stop[1] - times.stop[0]) * SECOND), members=names[:1])
        processes["d0"].send_signal(signal.SIGSTOP)
        oneway = Blight(frozenset(["d1"]), frozenset(names[2:]), oneway=True, lost=1.0)
        mark(
            "fault",
            kind="cut",
            long=int((times.stop[1] - times.stop[0]) * SECOND),
            members=["d1"],
            oneway=True,
        )
        air.blights[oneway] = None
        await until(times.stop[1])
        air.blights.pop(oneway)
        processes["d0"].send_signal(signal.SIGCONT)
        await until(times.kill)
        half = names[-(MEMBERS // 2) :]
        mark("fault", kind="kill", long=0, members=half)
        for name in half:
            processes[name].kill()
        rest = [name for name in names if name not in half]
        for name in rest:
            rates(name, RATE * (3 if name == "d0" else 1) + RATE * len(half) / len(rest))
        await until(times.end)
    finally:
        for process in processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        relays.end()
        for file in files:
            file.close()
    mark("overload.end", bytes=sum(meter.bytes for meter in air.meters.values()))
    rows = [event for name in names for event in whole(folder / name)]
    return sorted(marks + rows, key=lambda event: event.at)


def whole(path: Path) -> list[Event]:
    """What a process wrote; the line that a kill cut short is none."""
    text = path.read_bytes()
    path.write_bytes(text[: text.rfind(b"\n") + 1])
    return read(path)


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        rows = asyncio.run(play(Path(folder), Times(), 1))
    judge = Judge()
    judge.read(rows)
    for bound, at, what in judge.found[:20]:
        print(f"BROKEN {bound} at {at / SECOND:.2f} s: {what}")
    figures = judge.figures
    print(
        f"{MEMBERS} processes, {len(rows)} events, {figures.postings} postings, {figures.repeats} repeats, "
        f"{figures.trials} trials, "
        f"{figures.looks} looks, {figures.declined} declined, widest inversion {figures.widest:.2f} bands, "
        f"{figures.turns} turns, {figures.most_returns} returns in a second, {figures.bytes:.0f} B/s each"
    )
    return 1 if judge.found else 0


if __name__ == "__main__":
    sys.exit(main())
