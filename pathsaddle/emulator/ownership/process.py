"""python -m pathsaddle.emulator.ownership.process CHARTER EVENTS STORE...: a real process of the program with
work to do.

It votes and stands as the charter says; while it owns a key it looks, and sends an effect to each store (UDP:
key, number, name, id), and changes and reads the key's data. What happens goes to EVENTS as histories want
it, each line before what it announces, moments by the one clock of this machine.
A store is the test's: it asks a fence.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path
from random import SystemRandom
from typing import Any

import msgspec

from pathsaddle.config.loader import read_configuration
from pathsaddle.consensus.fleet_member import register_config
from pathsaddle.consensus.lease_manager import Happened
from pathsaddle.consensus.udp_driver import RegisterDriver, monotonic_ticks
from pathsaddle.emulator.events import Event
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Ground
from pathsaddle.net.wire.terms import peer_of

PAUSE = 0.01


class Worked:
    def __init__(self, register: RegisterDriver, events: Path, stores: list[str]) -> None:
        self.register, self.name = register, register.told.name
        self.file = events.open("ab", buffering=0)
        self.stores = [peer_of(store) for store in stores]
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.count = 0
        register.owner.histories = True
        register.hear.append(self.hear)

    def log(self, what: str, at: int = 0, **more: Any) -> None:
        self.file.write(
            msgspec.json.encode(Event(at or monotonic_ticks(), what, {"who": self.name, **more})) + b"\n"
        )

    def hear(self, one: Happened) -> None:
        more: dict[str, Any] = {"key": one.key, "number": one.number}
        life = self.register.owner.life
        if one.what in ("owner", "held"):
            self.log("lease", **more, life=life, until=one.until, **{"from": monotonic_ticks()})
        elif one.what in ("lost", "given"):
            self.log("lease.end", **more, life=life, why=one.why)
        elif one.what == "call":
            more = {"op": one.op, "key": one.key, "kind": one.kind}
            if one.kind != "take":
                more["number"] = one.number
            if one.kind == "set":
                more |= {"value": one.data.decode(), "revision": one.revision}
            self.log("reg.call", **more)
        elif one.what == "end":
            more = {"op": one.op, "outcome": one.why}
            if one.why == "ok":
                more |= {
                    "number": one.number,
                    "owner": self.name,
                    "revision": one.revision,
                    "value": one.data.decode() or None,
                }
            self.log("reg.end", **more)

    async def work(self) -> None:
        while True:
            for key in self.register.told.keys:
                now = monotonic_ticks()  # whatever stops us after the look, the look was then
                number = self.register.owner.fencing_token(key, now)
                if not number:
                    continue
                self.count += 1
                self.log("act", now, key=key, number=number, id=f"{self.name}/{self.count}")
                for store in self.stores:
                    text = f"{key} {number} {self.name} {self.register.owner.life}/{self.count}"
                    try:
                        self.sock.sendto(text.encode(), store)
                    except OSError:
                        pass
            await asyncio.sleep(PAUSE)

    async def ask(self) -> None:
        """Changes what it owns, reads what it does not."""
        asked = 0
        while True:
            for key in self.register.told.keys:
                if self.register.fencing_token(key):
                    await self.register.put(key, b"%s/%d" % (self.name.encode(), self.count))
                    continue
                asked += 1
                op = f"{self.name}/{self.register.owner.life}/read/{asked}"
                self.log("reg.call", op=op, key=key, kind="read")
                value = await self.register.read(key)
                if value is None:
                    self.log("reg.end", op=op, outcome="unknown")
                else:
                    self.log(
                        "reg.end",
                        op=op,
                        outcome="ok",
                        number=value.number,
                        owner=value.owner,
                        revision=value.revision,
                        value=value.data.decode() or None,
                    )
            await asyncio.sleep(0.1)


async def main(charter: str, events: str, *stores: str) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    told_by = read_configuration(Path(charter))
    logbook.open_log(told_by.log.level, told_by.log.form)
    register = RegisterDriver(register_config(told_by), Ground(), SystemRandom(), Counters())
    worked = Worked(register, Path(events), list(stores))
    worked.log("member.began", life=register.owner.life)
    register.begin()
    tasks = [asyncio.create_task(worked.work()), asyncio.create_task(worked.ask())]
    await stop.wait()
    register.stop()
    for task in tasks:
        task.cancel()
    await asyncio.sleep(3 * register.owner.pace / 10_000)
    register.end()
    worked.log("member.ended", why="left")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
