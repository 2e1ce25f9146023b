"""The thin driver: datagrams between the socket and the core, its timer, its log lines, its control address."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from pathsaddle.fleet.lives import Lives, NoFolder
from pathsaddle.fleet.members import Change, Membership, Ways, life_of
from pathsaddle.fleet.state.limiter import Dealt
from pathsaddle.fleet.state.shared import Shared
from pathsaddle.fleet.wire import ALIVE, CARRIED, DEAD, FORM, LEFT, MOST, STATES, Row
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.wire.terms import Peer, peer_of
from pathsaddle.trade import MILLISECOND, SECOND

AT_ONCE = 64  # datagrams read in one go before others have their turn
TALK = 2 * SECOND  # for one who asks at the control address
ASKERS = 8  # of them at a time


class Ground(Protocol):
    """What it takes from the machine."""

    clock: Clock

    def stream(self, address: str) -> tuple[socket.socket, Peer]: ...

    def datagrams(self, address: str) -> tuple[socket.socket, Peer]: ...


@dataclass
class Told:
    """A member as its operator wants it.

    listen: where it takes datagrams. address: where others send them, as they reach it. control: where
    `pathsaddle fleet` asks; empty: nowhere. budgets: by name, of rates that all share; None: no state is shared.
    """

    name: str
    zone: str
    listen: str
    address: str
    seeds: list[str]
    control: str
    ways: Ways
    budgets: dict[str, Dealt] | None = None


class Fellows:
    """One process's membership. `on_change` hears of each change after it was logged."""

    def __init__(self, told: Told, ground: Ground, lives: Lives, chance: Random, counters: Counters) -> None:
        self.told, self.ground, self.lives, self.counters = told, ground, lives, counters
        self.clock = ground.clock
        self.on_change: list[Callable[[Change], None]] = []
        self.quiet = False  # no log line for each change, where a thousand of them share one machine
        now = self.clock.now()
        life = life_of(now // MILLISECOND, lives.last(), chance)
        try:
            lives.keep(life)
        except OSError as fault:
            raise NoFolder(fault) from None
        me = Row(told.name, life, 0, ALIVE, told.address, told.zone, FORM if told.budgets is None else CARRIED)
        self.life = life
        self.core = Membership(me, told.ways, told.seeds, chance, now)
        self.shared: Shared | None = None
        if told.budgets is not None:
            self.shared = Shared(told.name, life, told.ways.fleet, told.ways.key, self.core.purse, told.ways.beat,
                                 told.budgets, chance, now)
        self.sock, peer = ground.datagrams(told.listen)
        self.sock.bind(peer)
        self._peers: dict[str, Peer | None] = {}
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 1 << 60
        self._events: asyncio.AbstractEventLoop
        self._tasks: list[asyncio.Task[None]] = []
        self._control: socket.socket | None = None
        self._askers = 0

    def begin(self) -> None:
        self._events = asyncio.get_running_loop()
        if self.shared is not None:
            self.shared.limiter.stir = self._stir
        self._tasks.append(self._events.create_task(self._read()))
        if self.told.control:
            self._control, peer = self.ground.stream(self.told.control)
            self._control.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._control.bind(peer)
            self._control.listen(ASKERS)
            self._tasks.append(self._events.create_task(self._listen(self._control)))
        self._wake()

    def leave(self) -> None:
        """We end: told at once."""
        self.core.leave(self.clock.now())
        self._flush()

    def end(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        for task in self._tasks:
            task.cancel()
        self.sock.close()
        if self._control is not None:
            self._control.close()

    # Datagrams and the timer.

    async def _read(self) -> None:
        while True:
            try:
                data = await self._events.sock_recv(self.sock, MOST + 1)
            except OSError as fault:  # such as a peer's port that nobody has: told to the next call
                self.counters.add("fleet.socket")
                logbook.fleet_socket(why=fault)
                await asyncio.sleep(0.05)
                continue
            try:
                for _ in range(AT_ONCE):
                    hears = self.shared if self.shared is not None and data[:1] == bytes((CARRIED,)) else self.core
                    hears.heard(data, self.clock.now())
                    data = self.sock.recv(MOST + 1)
            except OSError:
                pass
            self._flush()
            now = self.clock.now()
            self._set(min(self.core.due(now), self.shared.due(now) if self.shared is not None else now + SECOND))

    def _wake(self) -> None:
        self._alarm = None
        due = self.core.wake(self.clock.now())
        if self.shared is not None and not (self.core.silent or self.core.gone):
            due = min(due, self.shared.wake(self.clock.now()))
        self._flush()
        self._set(due)

    def _set(self, due: int) -> None:
        if self._alarm is not None:
            if self._alarm_at <= due:
                return
            self._alarm.cancel()
        self._alarm_at = due
        self._alarm = self._events.call_later(max(0.0, seconds(due - self.clock.now())), self._wake)

    def _flush(self) -> None:
        """What changed is logged, a new life is on disk, then what is to be said is said."""
        core = self.core
        changes, core.changes = core.changes, []
        if core.me.life != self.life:
            self.life = core.me.life
            try:
                self.lives.keep(self.life)
            except OSError as fault:
                # Told all the same: a later life that is lower is refuted by whoever remembers this one.
                logbook.fleet_disk(why=fault)
            if self.shared is not None:
                self.shared.claimed(self.life, self.clock.now())
        for change in changes:
            self._log(change)
            if self.shared is not None:
                self._there(self.shared, change)
            for hear in self.on_change:
                hear(change)
        out, core.out = core.out, []
        if self.shared is not None:
            out += self._shared(self.shared)
        for address, data in out:
            peer = self._peer(address)
            if peer is None:
                continue
            try:
                self.sock.sendto(data, peer)
            except OSError:
                self.counters.add("fleet.unsent")
            else:
                self.counters.add("fleet.sent")
                self.counters.add("fleet.bytes", len(data))

    def _stir(self) -> None:
        self._events.call_soon(self._flush)

    def _there(self, shared: Shared, change: Change) -> None:
        """Who shares: members that are taken to be there and read this form of datagrams."""
        member = self.core.members.get(change.name)
        if change.state >= DEAD or member is None or not member.here:
            shared.ended(change.name, change.life)
        elif member.row.form >= CARRIED:
            shared.joined(change.name, member.row.life, member.row.address)

    def _shared(self, shared: Shared) -> list[tuple[str, bytes]]:
        """What the shared state has to say; notes are logged."""
        shared.say(self.clock.now())
        for note in shared.limiter.notes:
            self.counters.add(f"fleet.budget.{note.what}")
            if not self.quiet:
                logbook.fleet_budget(budget=note.budget, now=note.what, usable=note.usable, why=note.why)
        shared.limiter.notes.clear()
        shared.carry.over.clear()
        out = shared.out[:]
        shared.out.clear()
        return out

    def _peer(self, address: str) -> Peer | None:
        """Others tell addresses: one that is none must not harm us."""
        if address not in self._peers:
            if len(self._peers) >= 8192:
                self._peers.clear()
            try:
                self._peers[address] = peer_of(address)
            except ValueError:
                self._peers[address] = None
        return self._peers[address]

    def _log(self, change: Change) -> None:
        if self.quiet:
            return
        more: dict[str, Any] = {"member": change.name, "life": change.life, "why": change.why}
        if change.name != self.told.name:
            logbook.fleet_member(**more, now=STATES[change.state])
        elif change.state == LEFT and self.core.silent:
            logbook.fleet_doubled(**more)
        else:
            logbook.fleet_self(**more)

    # The control address.

    async def _listen(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = await self._events.sock_accept(listener)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            if self._askers >= ASKERS:
                sock.close()
                continue
            sock.setblocking(False)
            self._tasks = [task for task in self._tasks if not task.done()]
            self._tasks.append(self._events.create_task(self._answer(sock)))

    async def _answer(self, sock: socket.socket) -> None:
        """One line asks, one line of JSON answers."""
        self._askers += 1
        try:
            async with asyncio.timeout(seconds(TALK)):
                asked = b""
                while b"\n" not in asked and len(asked) < 100:
                    data = await self._events.sock_recv(sock, 100)
                    if not data:
                        return
                    asked += data
                word = asked.split(b"\n")[0].decode("ascii", "replace").strip()
                if word == "budgets" and self.shared is not None:
                    told = self.shared.view(self.clock.now())
                else:
                    told = self.view() if word == "members" else {"fault": f"{word!r} asked; members may be, and budgets "
                                                                           "where the charter's [fleet.budgets] has one"}
                await self._events.sock_sendall(sock, json.dumps(told).encode() + b"\n")
        except (OSError, TimeoutError):
            pass
        finally:
            self._askers -= 1
            with contextlib.suppress(OSError):
                sock.close()

    def view(self) -> dict[str, Any]:
        """What this member believes, times in milliseconds ago."""
        now, core = self.clock.now(), self.core

        def ago(moment: int) -> int | None:
            return (now - moment) // MILLISECOND if moment >= 0 else None
        return {
            "fleet": core.ways.fleet, "name": core.me.name, "life": core.me.life, "zone": core.me.zone,
            "address": core.me.address, "health": core.health, "silent": core.silent, "alone": core.alone(),
            "counts": dict(sorted(core.counts.items())),
            "members": [{"name": row.name, "life": row.life, "count": row.count, "state": STATES[row.state],
                         "zone": row.zone, "address": row.address, "form": row.form, "by": row.by,
                         "for": ago(member.since), "heard": ago(member.heard), "heard_by": ago(member.heard_by)}
                        for member in (core.members[name] for name in sorted(core.members))
                        for row in (member.row,)]}
