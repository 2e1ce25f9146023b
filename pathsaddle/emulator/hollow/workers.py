"""One real dispatcher against hollow workers, a hollow list and hollow clients: what it takes, seen from outside.

The dispatcher is a process of its own, started as the platform starts it; all else is hollow and stands in the process
that measures. A play goes through parts: the start with an old list; rest; txns at a fixed rate; changes of the list, one
at a time; the whole list again; a tenth of the workers starting anew at once, under the same rate; last, each worker
keeps a connection for its callbacks, as real ones do, and the same rate goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import AsyncIterator
from pathlib import Path
from random import Random

import msgspec
import uvloop

from pathsaddle.config.loader import platform_config
from pathsaddle.config.schema import Configuration
from pathsaddle.config.validation import validate
from pathsaddle.emulator.hollow.outside import cpu_seconds, descriptors, memory_mib
from pathsaddle.emulator.hollow.served import Clients, HollowList, Workers, until
from pathsaddle.emulator.stage import ends_with_us
from pathsaddle.errors import FINDING, Error

READY_IN, LIST_IN, ENDS_IN = 15.0, 10.0, 5.0  # seconds at most
SETTLES = 0.5  # seconds after which what was begun has had its effect
SAMPLE = 0.1  # seconds between looks at descriptors
WHOLE = 3  # whole lists again
CALLS = 600  # workers a second that call back for the first time in the last part
MARK = 0.02  # seconds between tries whether it is ready


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """rate: txns a second. run: seconds that one runs. slots, waiting: of a worker. dispatchers: how many share the workers
    by what this one is told. zones: over which the workers stand. sockets: descriptors that it is told it has. rest, steady,
    cold, full: seconds of these parts. changes: of the list. changes_rate: a second.
    """

    rate: float = 40.0
    run: float = 0.2
    slots: int = 2
    waiting: int = 8
    dispatchers: int = 20
    zones: int = 25
    sockets: int = 1024
    rest: float = 1.5
    steady: float = 3.0
    changes: int = 40
    changes_rate: float = 20.0
    cold: float = 2.0
    full: float = 2.0


FIGURES: dict[str, tuple[str, str]] = {
    "ready_ms": (
        "ms",
        "a real dispatcher's time from its start, with an old list of all, until it says that it is ready",
    ),
    "rss_mib": ("MiB", "its resident memory at rest, after the list is had"),
    "pss_mib": ("MiB", "its proportional part of memory at rest, after the list is had"),
    "rss_end_mib": ("MiB", "its resident memory at the end of the play"),
    "cpu_rest_ms_per_s": (
        "ms/s",
        "its processor time, user and system, a second at rest; hollow workers and list",
    ),
    "cpu_us_per_txn": (
        "us",
        "its processor time a settled txn at the fixed rate, less the rest's; hollow workers, clients",
    ),
    "over_ms_p50": (
        "ms",
        "time until a txn is settled beyond its running time, the median; hollow workers, clients",
    ),
    "unsettled": ("", "txns of the steady part that were declined, failed or lost"),
    "cpu_ms_per_change": (
        "ms",
        "its processor time for one change of the list by delta, less the rest's; hollow list",
    ),
    "list_bytes_whole": ("bytes", "one whole list on the hollow list's wire"),
    "list_bytes_per_change": ("bytes", "one change of one worker on the hollow list's wire"),
    "whole_list_ms": ("ms", "its processor time for one whole list again in which nothing changed"),
    "cold_cpu_us_per_txn": (
        "us",
        "its processor time a settled txn while a tenth of the hollow workers start anew at once",
    ),
    "cold_connections": ("", "connections that came up meanwhile, from it and to it"),
    "cold_unsettled": ("", "txns of that part that were declined, failed or lost"),
    "full_cpu_us_per_txn": ("us", "its processor time a settled txn once each hollow worker has called back"),
    "full_unsettled": ("", "txns of that part that were declined, failed or lost"),
    "full_let_go": ("", "kept connections that it ended in that part, and while they came up"),
    "workers_connected": ("", "hollow workers that have a connection from or to it at the end of that part"),
    "connections_refused": (
        "",
        "connections to it that were refused, or ended with a call on them, in the whole play",
    ),
    "connections_most": (
        "",
        "connections that it had at most, the watch apart, as their other ends count them",
    ),
    "descriptors_most": ("", "descriptors that it had at most, sampled ten times a second"),
    "descriptors_spare": ("", "told descriptors less those it had at most"),
    "late_ms_most": ("ms", "how late its event loop was at most, by its own counter"),
    "faults": ("", "faults that it counted"),
    "hollow_kib_per_worker": ("KiB", "what one hollow worker takes of the measuring process"),
}
COUNTED = frozenset(
    {
        "list_bytes_whole",
        "list_bytes_per_change",
        "connections_most",
        "connections_refused",
        "descriptors_most",
        "descriptors_spare",
        "workers_connected",
        "faults",
    }
)


class NeverReady(Error):
    name = "hollow.never-ready"
    what = (
        "the dispatcher that is measured was not ready, or did not ask for the list, in {seconds:g} s: {last}"
    )
    do = "run the plan again on a quieter machine; if that does not help, report it with the commit it ran"
    code = FINDING


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB) of one play: the measuring process with all that is hollow, and the dispatcher."""
    return 2, 160.0 + 0.06 * point


def charter(setting: Setting, listen: str, discovery: str) -> Configuration:
    zones = [f"z{i:02}" for i in range(setting.zones)]
    return validate(
        Configuration,
        {
            "listen": listen,
            "discovery": discovery,
            "dispatchers": setting.dispatchers,
            "machines": ["m"],
            "zones": zones,
            "zone": zones[0],
            "limits": {"sockets": setting.sockets},
            "schemes": [{"name": "task", "semantics": "repeatable", "sla": "2s", "expiry": "10s"}],
        },
        "hollow",
    )


@contextlib.asynccontextmanager
async def dispatcher(file: Path, log: Path) -> AsyncIterator[asyncio.subprocess.Process]:
    """A real one, told by that file; it is ended, whatever happens."""
    with log.open("wb") as out:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pathsaddle",
            stdout=out,
            stderr=out,
            preexec_fn=ends_with_us,
            env={**os.environ, "GW_CONFIG": str(file)},
        )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` workers; raises NeverReady."""
    with tempfile.TemporaryDirectory() as space:
        return uvloop.run(_Play(point, seed, setting, Path(space)).play())


class _Play:
    def __init__(self, point: int, seed: int, setting: Setting, space: Path) -> None:
        self.point, self.seed, self.setting, self.space = point, seed, setting, space
        self.random = Random(seed)
        self.found: dict[str, float] = {}
        self.descriptors = 0

    async def play(self) -> dict[str, float]:
        setting = self.setting
        zones = [f"z{i:02}" for i in range(setting.zones)]
        before = memory_mib(os.getpid())[0]
        rough = charter(setting, "127.0.0.1:1", "127.0.0.1:1")
        self.workers = Workers(rough, self.point, setting.slots, setting.waiting, setting.run, zones)
        try:
            await self.workers.open()
            self.found["hollow_kib_per_worker"] = (memory_mib(os.getpid())[0] - before) * 1024 / self.point
            self.list = HollowList(self.workers.rows)
            try:
                return await self._with(await self.list.open())
            finally:
                self.list.end()
        finally:
            self.workers.end()

    async def _with(self, discovery: str) -> dict[str, float]:
        with (
            socket.socket() as one
        ):  # chosen last: thousands of listeners took a port that was chosen before them
            one.bind(("127.0.0.1", 0))
            self.workers.dispatcher = one.getsockname()
        listen = "{}:{}".format(*self.workers.dispatcher)
        old = {"index": 1, "snapshot": True, "endpoints": self.workers.rows}
        file, log = self.space / "d.json", self.space / "d.log"
        file.write_text(
            json.dumps(platform_config(charter(self.setting, listen, discovery), old)), encoding="utf-8"
        )
        loop = asyncio.get_running_loop()
        begun = loop.time()
        async with dispatcher(file, log) as process:
            self.pid = process.pid
            while not await loop.run_in_executor(None, _ready, listen):
                self._patience(loop.time() - begun < READY_IN and process.returncode is None, READY_IN, log)
                await asyncio.sleep(MARK)
            self.found["ready_ms"] = (loop.time() - begun) * 1e3
            self._patience(await until(lambda: bool(self.list.watched), LIST_IN), LIST_IN, log)
            sampling = loop.create_task(self._samples())
            try:
                await self._parts()
            finally:
                sampling.cancel()
            self.found |= {
                "rss_end_mib": memory_mib(self.pid)[0],
                "descriptors_most": float(self.descriptors),
                "descriptors_spare": float(self.setting.sockets - self.descriptors),
                "connections_most": float(self.workers.tally.most),
                "connections_refused": float(self.workers.tally.refused),
            }
            process.send_signal(signal.SIGUSR1)
            self._patience(await until(lambda: b" counters " in log.read_bytes(), ENDS_IN), ENDS_IN, log)
            counters = dict(
                part.partition("=")[::2]
                for part in log.read_text(errors="replace").rpartition(" counters ")[2].split()
            )
            self.found |= {
                "late_ms_most": float(counters.get("lag_ms_most", 0)),
                "faults": float(counters.get("fault", 0)),
            }
        return self.found

    def _patience(self, true: bool, seconds: float, log: Path) -> None:
        if not true:
            lines = log.read_text(errors="replace").splitlines()
            raise NeverReady(seconds=seconds, last=lines[-1] if lines else "it said nothing")

    async def _samples(self) -> None:
        while True:
            self.descriptors = max(self.descriptors, descriptors(self.pid))
            await asyncio.sleep(SAMPLE)

    async def _parts(self) -> None:
        setting, found, tally = self.setting, self.found, self.workers.tally
        await asyncio.sleep(SETTLES)
        found["rss_mib"], found["pss_mib"] = memory_mib(self.pid)
        used, span = await self._spent(asyncio.sleep(setting.rest))
        self.rest = used / span
        found["cpu_rest_ms_per_s"] = self.rest * 1e3
        clients = Clients(self.workers, "task", setting.run, self.seed)
        try:
            # One txn in a steady state is a txn among others: the first ones meet workers not heard from.
            found["cpu_us_per_txn"], found["unsettled"] = await self._txns(clients, setting.steady, warm=1.0)
            times = sorted(clients.times)
            found["over_ms_p50"] = times[len(times) // 2] * 1e3 if times else 0.0
            used, span = await self._spent(self._changes())
            found["cpu_ms_per_change"] = (used - self.rest * span) / setting.changes * 1e3
            found["list_bytes_per_change"] = float(self.list.change_bytes)
            used, span = await self._spent(self._whole())
            found["whole_list_ms"] = (used - self.rest * span) / WHOLE * 1e3
            found["list_bytes_whole"] = float(self.list.whole_bytes)
            before = tally.taken + tally.given
            self.workers.start(self._cold())
            found["cold_cpu_us_per_txn"], found["cold_unsettled"] = await self._txns(clients, setting.cold)
            found["cold_connections"] = float(tally.taken + tally.given - before)
            before = tally.let_go
            await self._all_call()
            found["full_cpu_us_per_txn"], found["full_unsettled"] = await self._txns(clients, setting.full)
            found["full_let_go"] = float(tally.let_go - before)
            found["workers_connected"] = float(self.workers.connected())
        finally:
            clients.end()

    async def _spent(self, work: object) -> tuple[float, float]:
        """Seconds of its processor time, and how long that took."""
        used, begun = cpu_seconds(self.pid), time.monotonic()
        await work  # type: ignore[misc]
        return cpu_seconds(self.pid) - used, time.monotonic() - begun

    async def _txns(self, clients: Clients, seconds: float, warm: float = 0.0) -> tuple[float, float]:
        """Processor time, us a settled txn, and how many did not settle; the rate goes on until all have ended."""
        self.workers.start(clients.go(self.setting.rate))
        await asyncio.sleep(warm)
        asked, settled, bad = (
            clients.asked,
            clients.settled,
            clients.declined + clients.failed + clients.broken,
        )
        clients.times.clear()
        used, span = await self._spent(asyncio.sleep(seconds))
        settled = clients.settled - settled
        clients.running = False
        await until(lambda: not clients.open, 10.0 + SETTLES)
        unsettled = clients.declined + clients.failed + clients.broken - bad + clients.open
        assert clients.asked > asked
        return (used - self.rest * span) / max(1, settled) * 1e6, float(unsettled)

    async def _changes(self) -> None:
        """Of drawn workers: it drains, it is ready again."""
        drains: list[str] = []
        for n in range(self.setting.changes):
            name = drains.pop() if n % 2 else self.workers.all[self.random.randrange(self.point)].name
            self.list.rows[name]["status"] = "active" if n % 2 else "leaving"
            if not n % 2:
                drains.append(name)
            self.list.change(name)
            await asyncio.sleep(1 / self.setting.changes_rate)
        await asyncio.sleep(SETTLES / 2)

    async def _whole(self) -> None:
        for _ in range(WHOLE):
            self.list.whole()
            await asyncio.sleep(SETTLES / 2)

    async def _cold(self) -> None:
        await asyncio.sleep(SETTLES / 2)
        numbers = sorted(self.random.sample(range(self.point), max(1, self.point // 10)))
        await self.workers.restart(numbers)
        self.list.change(*(self.workers.all[n].name for n in numbers))

    async def _all_call(self) -> None:
        begun = asyncio.get_running_loop().time()
        for n, worker in enumerate(self.workers.all):
            worker.calls()
            await asyncio.sleep(max(0.0, begun + n / CALLS - asyncio.get_running_loop().time()))
        await asyncio.sleep(SETTLES)


def _ready(listen: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{listen}/ready", timeout=1.0) as answer:
            return bool(answer.status == 200)
    except (OSError, urllib.error.URLError):
        return False
