"""What a place among N dispatchers costs on real sockets: hollow members with real datagrams on the loopback, in real
time, dozens to a process; and beside them one real dispatcher with `[fleet]` in its charter, and one without.

The difference of those two is what the fleet costs a real process; a hollow member's share of its process's
processor time is the same without the rest of a dispatcher, and with what one event loop saves where dozens share
it. All members know all at the start; nothing changes while it is measured. No ways: the loopback's.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack, suppress
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from pathsaddle.emulator.ground.ports import udp_ports
from pathsaddle.emulator.hollow.fleet_ground import KEY, introduced
from pathsaddle.emulator.hollow.places import places
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.membership import MembershipOptions
from pathsaddle.fleet.messages import MemberRecord
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.rate_limiter import SECOND
from pathsaddle.fleet.udp_driver import MembershipConfig, MembershipDriver
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Environment

LEASE = 2  # seconds: the shortest that a charter may say
LONGEST = 30.0  # seconds that any step may take before the play is given up


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """shard: members to a process. settle, rest: seconds before and while it is measured. real: whether the two real
    dispatchers run as well; without them their figures are 0.
    """

    shard: int = 50
    budgets: int = 1
    settle: float = 14.0
    rest: float = 8.0
    real: bool = True


FIGURES: dict[str, tuple[str, str]] = {
    "cpu_us_s": (
        "us/s",
        "user and system time of the hollow members' processes for each member, real sockets",
    ),
    "bytes_out_s": ("bytes/s", "sent by a hollow member at rest, by its driver's counter, real sockets"),
    "datagrams_out_s": (
        "1/s",
        "datagrams sent by a hollow member at rest, by its driver's counter, real sockets",
    ),
    "pss_kib": (
        "KiB",
        "that a hollow member adds to its process (proportional set size), all of its peers known",
    ),
    "real_us_s": (
        "us/s",
        "user and system time of one real dispatcher with [fleet] among the hollow, no workers",
    ),
    "alone_us_s": ("us/s", "user and system time of one real dispatcher without [fleet], no workers"),
    "real_bytes_out_s": ("bytes/s", "sent by the real dispatcher with [fleet] among the hollow members"),
    "real_pss_mib": ("MiB", "proportional set size of the real dispatcher with [fleet]"),
    "alone_pss_mib": ("MiB", "proportional set size of the real dispatcher without [fleet]"),
}
COUNTED: frozenset[str] = frozenset()  # real time: who is late sends less


def needs(point: int, setting: Setting) -> tuple[int, float]:
    shards = -(-point // setting.shard)
    return 1 + shards + 2 * setting.real, 60 + 40 * shards + point * point * 0.004 + 80 * setting.real


class NoAnswer(RuntimeError):
    """A process that a play started said nothing in time, or ended."""


# A process with some of the members.


async def shard(told: dict[str, Any]) -> None:
    """Speaks lines of JSON: its members' rows; then, told all rows, `begun`; what was spent at each further line."""
    events, setting = asyncio.get_running_loop(), msgspec.convert(told["setting"], Setting)
    before, counters, some = pss_kib("self"), Counters(), []
    addresses: list[str] = told["addresses"]
    count = len(addresses) + setting.real
    quotas = {f"budget-{n:03}": QuotaConfig(10 * count, 10, LEASE * SECOND) for n in range(setting.budgets)}
    for place in places(len(addresses))[told["first"] : told["first"] + setting.shard]:
        address = addresses[place.number]
        options = MembershipOptions("hollow", KEY)
        driver = MembershipDriver(
            MembershipConfig(
                place.name, place.zone, address, address, addresses[:3], "", options, budgets=quotas
            ),
            Environment(),
            IncarnationStore(None, place.name),
            Random(f"{told['seed']}/{place.name}"),
            counters,
        )
        driver.quiet = True
        some.append(driver)

    def say(what: Any) -> None:
        print(msgspec.json.encode(what).decode(), flush=True)

    async def line() -> str:
        return await events.run_in_executor(None, sys.stdin.readline)

    say([driver.core.me for driver in some])
    rows = await line()
    if not rows:  # nobody speaks to us any more
        return
    introduced(some, msgspec.json.decode(rows, type=list[MemberRecord]), LEASE)
    for driver in some:
        driver.begin()
    say("begun")
    while await line():
        used = resource.getrusage(resource.RUSAGE_SELF)
        say(
            {
                "us": (used.ru_utime + used.ru_stime) * 1e6,
                "bytes": counters["fleet.bytes"],
                "datagrams": counters["fleet.sent"],
                "pss_kib": pss_kib("self") - before,
            }
        )
    for driver in some:
        driver.end()


def pss_kib(process: int | str) -> int:
    with open(f"/proc/{process}/smaps_rollup", encoding="ascii") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("Pss:"))


# The play.


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` hollow members. NoAnswer: a process of it failed."""
    with ExitStack() as ends:
        folder = Path(ends.enter_context(tempfile.TemporaryDirectory()))
        addresses = [f"127.0.0.1:{port}" for port in udp_ports(point)]
        shards = [
            Shard(
                ends,
                folder,
                {
                    "first": first,
                    "addresses": addresses,
                    "seed": seed,
                    "setting": msgspec.to_builtins(setting),
                },
            )
            for first in range(0, point, setting.shard)
        ]
        rows = [row for one in shards for row in one.hears()]
        for one in shards:
            one.says(rows)
        for one in shards:
            one.hears()
        real = [Real(ends, folder, kind, addresses, setting) for kind in ("real", "alone") if setting.real]
        time.sleep(setting.settle)
        begun = time.monotonic()
        first = [one.spent() for one in shards], [one.spent() for one in real]
        time.sleep(setting.rest)
        last = [one.spent() for one in shards], [one.spent() for one in real]
        span = time.monotonic() - begun
    figures = dict.fromkeys(FIGURES, 0.0)
    for figure, name in (("cpu_us_s", "us"), ("bytes_out_s", "bytes"), ("datagrams_out_s", "datagrams")):
        figures[figure] = (
            sum(b[name] - a[name] for a, b in zip(first[0], last[0], strict=True)) / span / point
        )
    figures["pss_kib"] = sum(one["pss_kib"] for one in last[0]) / point
    for whom, a, b in zip(real, first[1], last[1], strict=True):
        figures[f"{whom.kind}_us_s"] = (b["us"] - a["us"]) / span
        figures[f"{whom.kind}_pss_mib"] = b["pss_kib"] / 1024
        if whom.kind == "real":
            figures["real_bytes_out_s"] = (b["bytes"] - a["bytes"]) / span
    return figures


def ended(process: subprocess.Popen[str]) -> None:
    with suppress(ProcessLookupError):
        process.kill()
    process.communicate()


class Shard:
    """A process with some of the members, as the play speaks to it; it ends when nobody does any more."""

    def __init__(self, ends: ExitStack, folder: Path, told: dict[str, Any]) -> None:
        self.errors = folder / f"{told['first']}.err"
        with self.errors.open("w") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", __name__, json.dumps(told)],
                text=True,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        ends.callback(ended, self.process)

    def says(self, what: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(what).decode() + "\n")
        self.process.stdin.flush()

    def hears(self) -> Any:
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise NoAnswer(f"a process with hollow members ended: {self.errors.read_text()[-500:]}")
        return msgspec.json.decode(line)

    def spent(self) -> dict[str, float]:
        self.says("spent")
        told: dict[str, float] = self.hears()
        return told


CHARTER = """name = "{name}"
listen = "127.0.0.1:0"
discovery = "127.0.0.1:9"
dispatchers = {count}
number = {number}
zones = ["r0-z00"]
[[schemes]]
name = "a"
semantics = "repeatable"
expiry = "5s"
"""
FLEET = """[fleet]
name = "hollow"
key = "{key}"
listen = "{address}"
seeds = {seeds}
folder = "{folder}"
lease = "2s"
[fleet.budgets]
"""


class Real:
    """A real dispatcher, `python -m pathsaddle serve`; its processor time as the kernel has it."""

    def __init__(
        self, ends: ExitStack, folder: Path, kind: str, addresses: list[str], setting: Setting
    ) -> None:
        self.kind, self.log = kind, folder / f"{kind}.log"
        count = len(addresses) + 1
        text = CHARTER.format(name=f"r0-z00-{kind}", count=count, number=count - 1)
        if kind == "real":
            text += FLEET.format(
                key=KEY.decode(),
                address=f"127.0.0.1:{udp_ports(1)[0]}",
                folder=folder,
                seeds=json.dumps(addresses[:3]),
            )
            text += "".join(f"budget-{n:03} = {10 * count}\n" for n in range(setting.budgets))
        path = folder / f"{kind}.toml"
        path.write_text(text)
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "pathsaddle", "serve", str(path)],
                text=True,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        ends.callback(ended, self.process)
        self._until("serving")

    def _until(self, word: str, after: int = 0) -> str:
        """The first line with this word after so many bytes of its log."""
        end = time.monotonic() + LONGEST
        while time.monotonic() < end:
            for line in self.log.read_text()[after:].splitlines():
                if word in line:
                    return line
            if self.process.poll() is not None:
                break
            time.sleep(0.02)
        raise NoAnswer(f"a dispatcher said nothing of {word!r}: {self.log.read_text()[-500:]}")

    def spent(self) -> dict[str, float]:
        """By the kernel, in us; what it sent by its own counters, asked for by SIGUSR1."""
        sent = 0.0
        if self.kind == "real":
            after = len(self.log.read_text())
            self.process.send_signal(signal.SIGUSR1)
            counters = dict(
                word.split("=", 1) for word in self._until("fleet.bytes=", after).split() if "=" in word
            )
            sent = float(counters["fleet.bytes"].strip('"},'))
        return {"us": spent_us(self.process.pid), "bytes": sent, "pss_kib": float(pss_kib(self.process.pid))}


def spent_us(process: int) -> float:
    """Of all its threads, user and system."""
    total = 0
    for thread in os.listdir(f"/proc/{process}/task"):
        with open(f"/proc/{process}/task/{thread}/schedstat", encoding="ascii") as file:
            total += int(file.read().split()[0])
    return total / 1000


if __name__ == "__main__":
    import uvloop

    uvloop.run(shard(json.loads(sys.argv[1])))
