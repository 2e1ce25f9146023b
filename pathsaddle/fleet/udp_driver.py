"""The thin driver: datagrams between the socket and the core, its timer, its log lines, its control address.

A defect of ours inside the core is caught here, counted (`fleet.fault`) and logged by name with its trace, one line a
second at most. Whatever it struck is given up alone: a datagram is dropped, who hears of a change hears of the next,
who asks at the control address is told. A timer that fails is set again a beat later; with the WAKES-th failure in a
row the membership ends, since one that answers and no longer looks would be taken for well: its socket closes, others
find it dead, `pathsaddle fleet` says so, jobs go on.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from pathsaddle.control_metrics import NullMeter, Purpose
from pathsaddle.errors import access, why
from pathsaddle.fleet.incarnation_store import IncarnationStore, IncarnationStoreError
from pathsaddle.fleet.membership import Membership, MembershipChange, MembershipOptions, next_incarnation
from pathsaddle.fleet.messages import (
    ALIVE,
    CARRIED,
    DEAD,
    FORM,
    LEFT,
    MAX_DATAGRAM_BYTES,
    STATES,
    MemberRecord,
)
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.quota.shared_state import SharedState
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.wire.terms import Peer, peer_of
from pathsaddle.trade import MILLISECOND, SECOND

AT_ONCE = 64  # datagrams read in one go before others have their turn
TALK = 2 * SECOND  # for one who asks at the control address
ASKERS = 8  # of them at a time
MAX_TIMER_FAILURES = 8  # failures of the core's timer in a row by which the membership ends
DOUBT = SECOND  # between two log lines of faults: what comes in between is counted
WORDS = ("members", "budgets", "control")  # that may be asked at the control address


def _said(fault: Exception) -> str:
    return f"{type(fault).__name__}: {fault}" if str(fault) else type(fault).__name__


class Environment(Protocol):
    """What it takes from the machine."""

    clock: Clock

    def stream(self, address: str) -> tuple[socket.socket, Peer]: ...

    def datagrams(self, address: str) -> tuple[socket.socket, Peer]: ...


@dataclass
class MembershipConfig:
    """A member as its operator wants it.

    listen: where it takes datagrams. address: where others send them, as they reach it. control: where
    `pathsaddle fleet` asks; empty: nowhere. file: where all that stands, for an operator. budgets: by name, of rates that all
    share; None: no state is shared.
    """

    name: str
    zone: str
    listen: str
    address: str
    seeds: list[str]
    control: str
    ways: MembershipOptions
    file: str = "the charter"
    budgets: dict[str, QuotaConfig] | None = None


class MembershipDriver:
    """One process's membership. `on_change` hears of each change after it was logged."""

    def __init__(
        self,
        told: MembershipConfig,
        ground: Environment,
        lives: IncarnationStore,
        chance: Random,
        counters: Counters,
    ) -> None:
        self.told, self.ground, self.lives, self.counters = told, ground, lives, counters
        self.clock = ground.clock
        self.on_change: list[Callable[[MembershipChange], None]] = []
        self.quiet = False  # no log line for each change, where a thousand of them share one machine
        self.meter = NullMeter()
        self.control: Callable[[], dict[str, Any]] | None = (
            None  # what is told of control's cost, where it is metered
        )
        now = self.clock.now()
        life = next_incarnation(now // MILLISECOND, lives.last(), chance)
        try:
            lives.keep(life)
        except OSError as fault:
            folder = getattr(getattr(lives, "path", None), "parent", "")  # a stand-in's disk has no path
            raise IncarnationStoreError(
                "",
                access(fault, folder, folder) + f", at fleet.folder in {told.file}",
                file=told.file,
                folder=folder,
                why=why(fault),
            ) from None
        me = MemberRecord(
            told.name, life, 0, ALIVE, told.address, told.zone, FORM if told.budgets is None else CARRIED
        )
        self.life = life
        self.core = Membership(me, told.ways, told.seeds, chance, now)
        self.shared: SharedState | None = None
        if told.budgets is not None:
            self.shared = SharedState(
                told.name,
                life,
                told.ways.fleet,
                told.ways.key,
                self.core.rate_limiter,
                told.ways.beat,
                told.budgets,
                chance,
                now,
            )
        try:
            self.sock, peer = ground.datagrams(told.listen)
            self.sock.bind(peer)
        except (OSError, ValueError) as fault:
            from pathsaddle.net.service.place import unhad

            raise unhad(fault, "fleet.listen", told.listen, told.file) from None
        self._peers: dict[str, Peer | None] = {}
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 1 << 60
        self._events: asyncio.AbstractEventLoop
        self._tasks: list[asyncio.Task[None]] = []
        self._reader: asyncio.Task[None] | None = None
        self._control: socket.socket | None = None
        self._askers = 0
        self._failed = 0  # wakes in a row
        self._not_before = (
            0  # the next wake after a failed one: datagrams in a burst must not use up all of WAKES
        )
        self._doubted = -DOUBT  # when a fault was logged last
        self.ended = ""  # by which fault of ours; empty: it goes on

    def begin(self) -> None:
        self._events = asyncio.get_running_loop()
        if self.shared is not None:
            self.shared.limiter.stir = self._stir
        self._reader = self._events.create_task(self._read())
        self._tasks.append(self._reader)
        if self.told.control:
            try:
                self._control, peer = self.ground.stream(self.told.control)
                self._control.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self._control.bind(peer)
                self._control.listen(ASKERS)
            except (OSError, ValueError) as fault:
                from pathsaddle.net.service.place import unhad

                raise unhad(fault, "fleet.control", self.told.control, self.told.file) from None
            self._tasks.append(self._events.create_task(self._listen(self._control)))
        self._wake()

    def metered(self, meter: NullMeter, control: Callable[[], dict[str, Any]]) -> None:
        """Before `begin`: what membership and carrying cost is metered, and told at the control address."""
        self.meter, self.control = meter, control
        if self.shared is not None:
            self.shared.meter = meter

    def retune(self, budgets: dict[str, QuotaConfig]) -> None:
        """Other budgets from now on (`Limiter.retune`); where none was told at the start nothing is shared."""
        if self.shared is not None and not self.ended:
            self.shared.limiter.retune(budgets, self.clock.now())
            self._stir()

    def leave(self) -> None:
        """We end: told at once."""
        if self.ended:
            return
        try:
            if self.shared is not None:
                self.shared.leave(self.clock.now())
            self.core.leave(self.clock.now())
            self._flush()
        except Exception as fault:  # noqa: BLE001  # a defect of ours, whatever it is
            self._fault("the word that we leave", fault, "others find us dead instead")

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
        while not self.ended:
            try:
                data = await self._events.sock_recv(self.sock, MAX_DATAGRAM_BYTES + 1)
            except OSError as fault:  # such as a peer's port that nobody has: told to the next call
                if self.ended:
                    return
                self.counters.add("fleet.socket")
                logbook.fleet_socket(why=why(fault))
                await asyncio.sleep(0.05)
                continue
            for left in range(AT_ONCE, 0, -1):
                self._heard(data)
                if left == 1:  # what is not heard in this turn stays with the kernel
                    break
                try:
                    data = self.sock.recv(MAX_DATAGRAM_BYTES + 1)
                except OSError:
                    break
            try:
                self._flush()
                now = self.clock.now()
                due = min(
                    self.core.due(now), self.shared.due(now) if self.shared is not None else now + SECOND
                )
            except Exception as fault:  # noqa: BLE001  # a defect of ours, whatever it is
                self._fault("what datagrams led to", fault, "the timer looks after it")
                due = self.clock.now() + self.told.ways.beat
            self._set(due)

    def _heard(self, data: bytes) -> None:
        try:
            hears = (
                self.shared
                if self.shared is not None and data[:1] == bytes((CARRIED,)) and not self.core.silent
                else self.core
            )
            purpose: Purpose = "membership" if hears is self.core else "carrying"
            self.meter.came(purpose, len(data))
            self.meter.runs(purpose, lambda: hears.on_datagram(data, self.clock.now()))
        except Exception as fault:  # noqa: BLE001  # a defect of ours, whatever it is
            self._fault("a datagram", fault, "it is dropped, the next is read")

    def _wake(self) -> None:
        self._alarm = None
        try:
            due = self.meter.runs("membership", lambda: self.core.wake(self.clock.now()))
            shared = self.shared
            if shared is not None and not (self.core.silent or self.core.gone):
                due = min(due, self.meter.runs("carrying", lambda: shared.wake(self.clock.now())))
            self._flush()
        except Exception as fault:  # noqa: BLE001  # a defect of ours, whatever it is
            self._failed += 1
            if self._failed >= MAX_TIMER_FAILURES:
                self._give_up(fault)
                return
            self._fault(
                "its timer",
                fault,
                f"it is tried again after a beat, {MAX_TIMER_FAILURES - self._failed} more times",
            )
            due = self._not_before = self.clock.now() + self.told.ways.beat
        else:
            self._failed = 0
        self._set(due)

    def _fault(self, step: str, fault: Exception, then: str, always: bool = False) -> None:
        self.counters.add("fleet.fault")
        now = self.clock.now()
        if always or now - self._doubted >= DOUBT:
            self._doubted = now
            logbook.fault_member(fault, step=step, why=_said(fault), then=then)

    def _give_up(self, fault: Exception) -> None:
        """Visibly: nothing of ours is heard any more, and whoever asks here is told."""
        self.ended = _said(fault)
        self._fault("its timer", fault, "the membership has ended, jobs go on", always=True)
        if self._alarm is not None:
            self._alarm.cancel()
        if self._reader is not None:
            self._reader.cancel()
        self.sock.close()

    def _set(self, due: int) -> None:
        if self.ended:
            return
        due = max(due, self._not_before)
        if self._alarm is not None:
            if self._alarm_at <= due:
                return
            self._alarm.cancel()
        self._alarm_at = due
        self._alarm = self._events.call_later(max(0.0, seconds(due - self.clock.now())), self._wake)

    def _flush(self) -> None:
        """What changed is logged, a new life is on disk, then what is to be said is said."""
        self.meter.runs("membership", self._flushes)

    def _flushes(self) -> None:
        core = self.core
        changes, core.changes = core.changes, []
        if core.me.life != self.life:
            self.life = core.me.life
            try:
                self.lives.keep(self.life)
            except OSError as fault:
                # Told all the same: a later life that is lower is refuted by whoever remembers this one.
                logbook.fleet_disk(why=why(fault))
            if self.shared is not None:
                self.shared.on_new_incarnation(self.life, self.clock.now())
        for change in changes:
            self._log(change)
            if self.shared is not None:
                self._there(self.shared, change)
            for hear in self.on_change:
                try:
                    hear(change)
                except Exception as fault:  # noqa: BLE001  # a defect of ours, whatever it is
                    self.counters.add("fleet.fault")
                    logbook.fault_hearer(fault, member=change.name, why=_said(fault))
        out, core.out = core.out, []
        self._send("membership", out)
        if self.shared is not None:
            self.meter.runs("carrying", lambda: self._send("carrying", self._shared()))
            if core.silent:  # another process has our name, and with it our part
                self.shared.limiter.close()

    def _send(self, purpose: Purpose, out: list[tuple[str, bytes]]) -> None:
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
                self.meter.went(purpose, len(data))

    def _stir(self) -> None:
        self._events.call_soon(self._flush)

    def _there(self, shared: SharedState, change: MembershipChange) -> None:
        """Who shares: members that are taken to be there and read this form of datagrams."""
        member = self.core.members.get(change.name)
        if change.state >= DEAD or member is None or not member.here:
            shared.on_member_left(change.name, change.life)
        elif member.row.form >= CARRIED:
            shared.on_member_joined(change.name, member.row.life, member.row.address)

    def _shared(self) -> list[tuple[str, bytes]]:
        """What the shared state has to say; notes are logged."""
        shared = self.shared
        assert shared is not None
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

    def _log(self, change: MembershipChange) -> None:
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
            except OSError as fault:
                self.counters.add("fleet.control")
                logbook.accept_failed(why=f"{self.told.control} (fleet.control): {why(fault)}")
                await asyncio.sleep(0.5)
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
                await self._events.sock_sendall(sock, self._told(word) + b"\n")
        except (OSError, TimeoutError):
            pass
        finally:
            self._askers -= 1
            with contextlib.suppress(OSError):
                sock.close()

    def _told(self, word: str) -> bytes:
        try:
            if word not in WORDS:
                return json.dumps(
                    {
                        "fault": f"{word!r} was asked, and it knows {', '.join(WORDS)}",
                        "name": "control.no-such-word",
                    }
                ).encode()
            if self.ended:
                return json.dumps(
                    {
                        "fault": f"its membership has ended by a fault of its own: {self.ended}",
                        "name": "control.ended",
                    }
                ).encode()
            if word == "budgets":
                if self.shared is None:
                    return json.dumps(
                        {"fault": "its charter's [fleet.budgets] names none", "name": "control.no-budgets"}
                    ).encode()
                return json.dumps(self.shared.view(self.clock.now())).encode()
            if word == "control":
                if self.control is None:
                    return json.dumps(
                        {"fault": "its charter's [control] has meter = false", "name": "control.unmetered"}
                    ).encode()
                return json.dumps({"name": self.told.name, "life": self.life, **self.control()}).encode()
            return json.dumps(self.view()).encode()
        except Exception as fault:  # noqa: BLE001  # a defect of ours, whatever it is
            self.counters.add("fleet.fault")
            logbook.fault_control(fault, why=_said(fault))
            return json.dumps(
                {"fault": f"a fault of its own: {_said(fault)}", "name": "control.fault"}
            ).encode()

    def view(self) -> dict[str, Any]:
        """What this member believes, times in milliseconds ago."""
        now, core = self.clock.now(), self.core

        def ago(moment: int) -> int | None:
            return (now - moment) // MILLISECOND if moment >= 0 else None

        return {
            "fleet": core.ways.fleet,
            "name": core.me.name,
            "life": core.me.life,
            "zone": core.me.zone,
            "address": core.me.address,
            "health": core.health,
            "silent": core.silent,
            "alone": core.alone(),
            "counts": dict(sorted(core.counts.items())),
            "members": [
                {
                    "name": row.name,
                    "life": row.life,
                    "count": row.count,
                    "state": STATES[row.state],
                    "zone": row.zone,
                    "address": row.address,
                    "form": row.form,
                    "by": row.by,
                    "for": ago(member.since),
                    "heard": ago(member.heard),
                    "heard_by": ago(member.heard_by),
                }
                for member in (core.members[name] for name in sorted(core.members))
                for row in (member.row,)
            ],
        }
