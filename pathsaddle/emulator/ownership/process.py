"""python -m pathsaddle.emulator.ownership.process CHARTER EVENTS STORE...: a real process with work to do.

It votes and campaigns as the configuration file says. While it holds a key's lease it looks at it, and sends
an effect to each store (UDP: key, fencing token, name, id), and changes and reads the key's data. What
happens goes to EVENTS as histories want it, each line before what it announces, moments by the one clock of
this machine. A store is the test's: it asks a fence.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import sys
from pathlib import Path
from random import SystemRandom
from typing import Any

import msgspec

from pathsaddle.config.loader import read_configuration
from pathsaddle.consensus.events import (
    BallotEnded,
    BallotStarted,
    LeaseAcquired,
    LeaseEvent,
    LeaseLost,
    LeaseRenewed,
    OperationKind,
    Outcome,
    OwnLeaseReleased,
)
from pathsaddle.consensus.fleet_member import register_config
from pathsaddle.consensus.udp_driver import RegisterDriver, monotonic_ticks
from pathsaddle.event_log import Event
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Environment
from pathsaddle.net.wire.terms import parse_peer
from pathsaddle.scheduler_types import SECOND

WORK_PAUSE_SECONDS = 0.01
QUERY_PAUSE_SECONDS = 0.1
STOP_PACES = 3  # between stop and end, so that a release may be lost


class Worker:
    """What the process does under its leases, and the log of it."""

    def __init__(self, register: RegisterDriver, events: Path, stores: list[str]) -> None:
        self.register, self.name = register, register.config.name
        self.file = events.open("ab", buffering=0)
        self.stores = [parse_peer(store) for store in stores]
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.effects = 0
        register.lease_manager.record_history()
        register.on_event.append(self.on_event)

    def log(self, what: str, at: int = 0, **members: Any) -> None:
        """Write one line; the members are those of docs/histories.md."""
        event = Event(at or monotonic_ticks(), what, {"who": self.name, **members})
        self.file.write(msgspec.json.encode(event) + b"\n")

    def on_event(self, event: LeaseEvent) -> None:
        """Log what happened in the lease manager."""
        incarnation = self.register.lease_manager.incarnation
        match event:
            case LeaseAcquired() | LeaseRenewed():
                self.log(
                    "lease",
                    key=event.key,
                    number=event.fencing_token,
                    life=incarnation,
                    until=event.lease_end,
                    **{"from": monotonic_ticks()},
                )
            case LeaseLost() | OwnLeaseReleased():
                self.log(
                    "lease.end",
                    key=event.key,
                    number=event.fencing_token,
                    life=incarnation,
                    why=event.reason,
                )
            case BallotStarted():
                self._log_ballot_started(event)
            case BallotEnded():
                self._log_ballot_ended(event)

    def _log_ballot_started(self, event: BallotStarted) -> None:
        members: dict[str, Any] = {"op": event.operation_id, "key": event.key, "kind": event.kind}
        if event.kind != OperationKind.TAKE:
            members["number"] = event.fencing_token
        if event.kind == OperationKind.SET:
            members |= {"value": event.data.decode(), "revision": event.revision}
        self.log("reg.call", **members)

    def _log_ballot_ended(self, event: BallotEnded) -> None:
        members: dict[str, Any] = {"op": event.operation_id, "outcome": event.outcome}
        if event.outcome == Outcome.OK:
            members |= {
                "number": event.fencing_token,
                "owner": self.name,
                "revision": event.revision,
                "value": event.data.decode() or None,
            }
        self.log("reg.end", **members)

    async def work(self) -> None:
        """Send effects for the keys whose leases it holds."""
        manager = self.register.lease_manager
        while True:
            for key in self.register.config.keys:
                now = monotonic_ticks()  # whatever stops us after the look, the look was then
                fencing_token = manager.fencing_token(key, now)
                if not fencing_token:
                    continue
                self.effects += 1
                self.log("act", now, key=key, number=fencing_token, id=f"{self.name}/{self.effects}")
                text = f"{key} {fencing_token} {self.name} {manager.incarnation}/{self.effects}"
                for store in self.stores:
                    with contextlib.suppress(OSError):
                        self.socket.sendto(text.encode(), store)
            await asyncio.sleep(WORK_PAUSE_SECONDS)

    async def query(self) -> None:
        """Change the data of keys whose leases it holds, and read the others."""
        reads = 0
        while True:
            for key in self.register.config.keys:
                if self.register.fencing_token(key):
                    await self.register.put(key, b"%s/%d" % (self.name.encode(), self.effects))
                    continue
                reads += 1
                await self._read(key, reads)
            await asyncio.sleep(QUERY_PAUSE_SECONDS)

    async def _read(self, key: str, count: int) -> None:
        operation_id = f"{self.name}/{self.register.lease_manager.incarnation}/read/{count}"
        self.log("reg.call", op=operation_id, key=key, kind="read")
        value = await self.register.read(key)
        if value is None:
            self.log("reg.end", op=operation_id, outcome="unknown")
            return
        self.log(
            "reg.end",
            op=operation_id,
            outcome="ok",
            number=value.fencing_token,
            owner=value.holder,
            revision=value.revision,
            value=value.data.decode() or None,
        )


async def main(file: str, events: str, *stores: str) -> None:
    """Run until SIGTERM."""
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    configuration = read_configuration(Path(file))
    logbook.open_log(configuration.log.level, configuration.log.form)
    register = RegisterDriver(register_config(configuration), Environment(), SystemRandom(), Counters())
    worker = Worker(register, Path(events), list(stores))
    worker.log("member.began", life=register.lease_manager.incarnation)
    register.begin()
    tasks = [asyncio.create_task(worker.work()), asyncio.create_task(worker.query())]
    await stop.wait()
    register.stop()
    for task in tasks:
        task.cancel()
    await asyncio.sleep(STOP_PACES * register.lease_manager.pace / SECOND)
    register.end()
    worker.log("member.ended", why="left")


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
