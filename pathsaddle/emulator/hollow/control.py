"""What control costs a real dispatcher, by what it was for, as its own meter tells; held against the process's own time.

One real `serve` among hollow members (real datagrams, a process of their own), with a hollow list, hollow workers and
hollow clients in the measuring process. Parts: rest; changes of the list, one at a time, with no txn; one whole list
again; txns at a fixed rate. At the border of each the meter is asked at the control address, and the kernel for the
process's processor time. Who asks is itself answered by the process: that is in its time and in no purpose.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import uvloop

from pathsaddle.control_metrics import PURPOSES, ControlMeter
from pathsaddle.emulator.ground.ports import udp_ports
from pathsaddle.emulator.hollow import sockets_members, workers
from pathsaddle.emulator.hollow.fleet_ground import KEY
from pathsaddle.emulator.hollow.served import Clients, HollowList, Workers, until
from pathsaddle.emulator.hollow.sockets_members import LONGEST, Shard, spent_us
from pathsaddle.emulator.stage import ends_with_us
from pathsaddle.errors import FINDING, Error
from pathsaddle.fleet.control_client import query_dispatcher

CALLS = 20_000  # of an empty call through a meter, by which its own cost is reckoned
MARK = 0.02  # seconds between two looks at what is waited for


class Setting(workers.Setting, forbid_unknown_fields=True):
    """As of `workers`; members: hollow ones beside the real dispatcher. meter: off for the trial without it."""

    members: int = 10
    budgets: int = 1
    meter: bool = True


FIGURES: dict[str, tuple[str, str]] = {
    "rest_core": (
        "part",
        "of a core that control takes of a real dispatcher at rest, by its meter; hollow peers",
    ),
    "rest_process_core": ("part", "of a core that the whole process takes at rest, by the kernel"),
    "rest_metered_part": ("part", "of the process's time at rest that purposes of control explain"),
    "rest_in_s": ("bytes/s", "received for control at rest, by its meter, real datagrams"),
    "rest_out_s": ("bytes/s", "sent for control at rest, by its meter, real datagrams"),
    "list_us_per_change": ("us", "for the list, by the meter, for each change by delta"),
    "list_whole_us": ("us", "for the list, by the meter, for one whole list in which nothing changed"),
    "list_in": ("bytes", "received for the list up to the end of the changes"),
    "list_bytes_whole": ("bytes", "of it the first whole list, on the hollow list's wire"),
    "list_bytes_rest": ("bytes", "of it all else that the hollow list wrote by then"),
    "list_bytes_untold": ("bytes", "that the hollow list wrote and the meter has not, at the end"),
    "most_in": ("bytes", "received for control in its worst second, the start among them"),
    "most_out": ("bytes", "sent for control in its worst second"),
    "reports_us_per_txn": ("us", "for reports, by the meter, a settled txn"),
    "log_us_per_txn": ("us", "for log lines, by the meter, a settled txn"),
    "process_us_per_txn": ("us", "of the whole process, by the kernel, a settled txn, less the rest's"),
    "txns": ("", "settled in the steady part"),
    "meter_calls_per_txn": ("", "calls through the meter in the steady part, a settled txn"),
    "meter_us_per_call": (
        "us",
        "what the meter itself takes a call, in a loop of empty ones beside the play",
    ),
    "meter_part": ("part", "reckoned: of the process's time in the steady part that the meter itself takes"),
    "over_the_process": ("", "parts in which purposes took more than the process: the meter would be wrong"),
    "memory_mb": ("MB", "the process's own memory at the end, by its own word"),
    "memory_over_start_mb": ("MB", "of it what came since it was built, the list and peers not yet known"),
    "faults": ("", "faults that it counted"),
    **{f"{purpose}_us": ("us", f"for {purpose} in the whole play, by the meter") for purpose in PURPOSES},
}
COUNTED = frozenset(
    {"list_in", "list_bytes_whole", "list_bytes_rest", "list_bytes_untold", "over_the_process", "faults"}
)


class NoMeter(Error):
    name = "hollow.no-meter"
    what = "the dispatcher whose control is measured did not {step} in {seconds:g} s: {last}"
    do = "run the plan again on a quieter machine; if that does not help, report it with the commit it ran"
    code = FINDING


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB) of one play."""
    return 3, 320.0 + 0.08 * point


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` workers; raises NoMeter, sockets_members.NoAnswer."""
    with tempfile.TemporaryDirectory() as space, ExitStack() as ends:
        return uvloop.run(_Play(point, seed, setting, Path(space), ends).play())


def meter_us() -> float:
    """What one call through a meter costs on this machine now, us."""
    meter = ControlMeter()
    begun = time.thread_time_ns()
    for _ in range(CALLS):
        meter.runs("list", _nothing)
    through = time.thread_time_ns() - begun
    begun = time.thread_time_ns()
    for _ in range(CALLS):
        _nothing()
    return max(0.0, (through - (time.thread_time_ns() - begun)) / CALLS / 1000)


def _nothing() -> None:
    pass


class _Play:
    def __init__(self, point: int, seed: int, setting: Setting, space: Path, ends: ExitStack) -> None:
        self.point, self.seed, self.setting, self.space, self.ends = point, seed, setting, space, ends
        self.random = Random(seed)
        self.over = 0
        self.pid = 0
        self.control = ""

    async def play(self) -> dict[str, float]:
        setting = self.setting
        zones = [f"z{i:02}" for i in range(setting.zones)]
        self.workers = Workers(
            workers.charter(setting, "127.0.0.1:1", "127.0.0.1:1"),
            self.point,
            setting.slots,
            setting.waiting,
            setting.run,
            zones,
        )
        try:
            await self.workers.open()
            self.list = HollowList(self.workers.rows)
            try:
                return await self._with(await self.list.open())
            finally:
                self.list.end()
        finally:
            self.workers.end()

    def _members(self) -> list[str]:
        """Hollow members in a process of their own: their addresses."""
        if not self.setting.members:
            return []
        addresses = [f"127.0.0.1:{port}" for port in udp_ports(self.setting.members)]
        told = sockets_members.Setting(shard=len(addresses), budgets=self.setting.budgets)
        shard = Shard(
            self.ends,
            self.space,
            {"first": 0, "addresses": addresses, "seed": self.seed, "setting": msgspec.to_builtins(told)},
        )
        shard.says(shard.hears())
        shard.hears()
        return addresses

    def _charter(self, discovery: str, addresses: list[str]) -> Path:
        with socket.socket() as one, socket.socket() as other:  # chosen last, as in `workers`
            one.bind(("127.0.0.1", 0))
            other.bind(("127.0.0.1", 0))
            self.workers.dispatcher = one.getsockname()
            self.control = "{}:{}".format(*other.getsockname())
        told = workers.charter(self.setting, "{}:{}".format(*self.workers.dispatcher), discovery)
        count = len(addresses) + 1
        kept = ("listen", "discovery", "zones", "zone", "machines")
        charter: dict[str, Any] = {key: getattr(told, key) for key in kept} | {
            "name": "real",
            "dispatchers": max(self.setting.dispatchers, count),
            "number": count - 1,
            "limits": {"sockets": self.setting.sockets},
            "control": {"meter": self.setting.meter},
            "schemes": [{"name": "task", "semantics": "repeatable", "sla": "2s", "expiry": "10s"}],
            "fleet": {
                "name": "hollow",
                "key": KEY.decode(),
                "listen": f"127.0.0.1:{udp_ports(1)[0]}",
                "seeds": addresses[:3],
                "control": self.control,
                "lease": "2s",
                "budgets": {f"budget-{n:03}": 10 * count for n in range(self.setting.budgets)},
            },
        }
        file = self.space / "real.json"
        file.write_text(json.dumps(charter), encoding="utf-8")
        return file

    async def _with(self, discovery: str) -> dict[str, float]:
        addresses = await asyncio.get_running_loop().run_in_executor(None, self._members)
        file, log = self._charter(discovery, addresses), self.space / "real.log"
        with log.open("wb") as out:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pathsaddle",
                "serve",
                str(file),
                stdout=out,
                stderr=out,
                preexec_fn=ends_with_us,
            )
        self.pid = process.pid
        try:
            await self._until("ask for the list", lambda: bool(self.list.watched), log)
            return await self._parts(log)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def _until(self, step: str, holds: Any, log: Path) -> None:
        if not await until(holds, LONGEST):
            lines = log.read_text(errors="replace").splitlines()
            raise NoMeter(step=step, seconds=LONGEST, last=lines[-1] if lines else "it said nothing")

    async def _asked(self, word: str) -> dict[str, Any]:
        return await asyncio.get_running_loop().run_in_executor(None, query_dispatcher, self.control, word)

    async def _part(self, work: Any) -> tuple[dict[str, Any], dict[str, Any], float, float]:
        """(the meter before, after, the process's us meanwhile, seconds)."""
        used, begun, before = spent_us(self.pid), time.monotonic(), await self._asked("control")
        await work
        after = await self._asked("control")
        took, span = spent_us(self.pid) - used, time.monotonic() - begun
        metered = sum(_us(after, purpose) - _us(before, purpose) for purpose in PURPOSES)
        self.over += metered > took
        return before, after, took, span

    async def _parts(self, log: Path) -> dict[str, float]:
        setting, found = self.setting, dict.fromkeys(FIGURES, 0.0)
        if self.setting.members:
            await self._met(log)
        await asyncio.sleep(workers.SETTLES)

        first = float(self.list.whole_bytes)
        before, after, took, span = await self._part(asyncio.sleep(setting.rest))
        control = after["control"]["us"] - before["control"]["us"]
        rest_us_s = took / span
        found |= {
            "rest_core": control / 1e6 / span,
            "rest_process_core": took / 1e6 / span,
            "rest_metered_part": control / max(1.0, took),
            "rest_in_s": (after["control"]["in"] - before["control"]["in"]) / span,
            "rest_out_s": (after["control"]["out"] - before["control"]["out"]) / span,
        }

        before, after, took, span = await self._part(self._changes())
        found["list_us_per_change"] = (_us(after, "list") - _us(before, "list")) / setting.changes
        told = await self._list_heard()
        found |= {
            "list_in": float(told),
            "list_bytes_whole": first,
            "list_bytes_rest": self.list.written - first,
        }
        before, after, took, span = await self._part(self._whole())
        found["list_whole_us"] = float(_us(after, "list") - _us(before, "list"))

        clients = Clients(self.workers, "task", setting.run, self.seed)
        try:
            self.workers.start(clients.go(setting.rate))
            await asyncio.sleep(1.0)
            settled = clients.settled
            before, after, took, span = await self._part(asyncio.sleep(setting.steady))
            settled = clients.settled - settled
            clients.running = False
        finally:
            clients.end()
        calls = sum(_calls(after, purpose) - _calls(before, purpose) for purpose in PURPOSES)
        each = max(1, settled)
        cost = meter_us()
        found |= {
            "txns": float(settled),
            "process_us_per_txn": (took - rest_us_s * span) / each,
            "reports_us_per_txn": (_us(after, "reports") - _us(before, "reports")) / each,
            "log_us_per_txn": (_us(after, "log") - _us(before, "log")) / each,
            "meter_calls_per_txn": calls / each,
            "meter_us_per_call": cost,
            "meter_part": calls * cost / max(1.0, took),
        }

        told = await self._list_heard()
        found["list_bytes_untold"] = float(self.list.written - told)
        last = await self._asked("control")
        found |= {f"{purpose}_us": float(_us(last, purpose)) for purpose in PURPOSES}
        found |= {
            "most_in": float(last["control"]["most_in"]),
            "most_out": float(last["control"]["most_out"]),
            "memory_mb": last["memory_mb"],
            "memory_over_start_mb": last["memory_mb"] - last["memory_mb_at_start"],
            "over_the_process": float(self.over),
            "faults": float(log.read_text(errors="replace").count("fault ")),
        }
        return found

    async def _met(self, log: Path) -> None:
        end = time.monotonic() + LONGEST
        while (
            sum(
                row["state"] == "alive" and row["name"] != "real"
                for row in (await self._asked("members"))["members"]
            )
            < self.setting.members
        ):
            if time.monotonic() > end:
                raise NoMeter(
                    step="meet all members", seconds=LONGEST, last=log.read_text(errors="replace")[-200:]
                )
            await asyncio.sleep(MARK)

    async def _list_heard(self) -> int:
        """What the meter has for the list once that is all that was written, or LONGEST later. The hollow list writes
        nothing between the answer and who asked.
        """
        end = time.monotonic() + LONGEST
        while True:
            told = int((await self._asked("control"))["purposes"]["list"]["in"])
            if told == self.list.written or time.monotonic() > end:
                return told
            await asyncio.sleep(MARK)

    async def _changes(self) -> None:
        """Of drawn workers, as in `workers`: it drains, it is ready again."""
        drains: list[str] = []
        for n in range(self.setting.changes):
            name = drains.pop() if n % 2 else self.workers.all[self.random.randrange(self.point)].name
            self.list.rows[name]["status"] = "active" if n % 2 else "leaving"
            if not n % 2:
                drains.append(name)
            self.list.change(name)
            await asyncio.sleep(1 / self.setting.changes_rate)

    async def _whole(self) -> None:
        self.list.whole()
        await self._list_heard()


def _us(told: dict[str, Any], purpose: str) -> int:
    return int(told["purposes"].get(purpose, {}).get("us", 0))


def _calls(told: dict[str, Any], purpose: str) -> int:
    return int(told["purposes"].get(purpose, {}).get("calls", 0))
