"""What goes wrong, and when: the plan's faults turned into moments, drawn by the seed."""

from __future__ import annotations

import asyncio
import fnmatch
import signal
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Protocol

from pathsaddle.emulator.ground.air import Air, Blight
from pathsaddle.emulator.plan import FAULTS, Trouble, named
from pathsaddle.emulator.served.clients import Clients
from pathsaddle.emulator.served.discovery import DiscoveryServer
from pathsaddle.emulator.served.workers import OneSided, Worker
from pathsaddle.emulator.served.world import TICKS, Way, World

DRAIN_END = 0.05  # seconds between looks whether a drained worker has finished
BACK_AFTER = 2.0  # seconds until a drained worker's process starts anew
SECOND_WITHIN = 200  # ticks in which a second answer comes, where the plan does not say


class Dispatchers(Protocol):
    """The dispatchers of a run, by number: all that can be done to their processes."""

    numbers: list[int]

    @property
    def disks(self) -> Mapping[int, Any]:
        """Of those with a store, on the virtual ground."""

    async def start(self, dispatcher: int, again: bool = False) -> None: ...
    def kill(self, dispatcher: int) -> None: ...
    def lose(self, dispatcher: int, how: str) -> None: ...
    def signal(self, dispatcher: int, sig: int) -> None: ...
    async def gone(self, dispatcher: int) -> None: ...
    def stall(self, dispatcher: int) -> None: ...
    def go_on(self, dispatcher: int) -> None: ...
    def clock_step(self, dispatcher: int, seconds: float) -> None: ...
    def clock_rate(self, dispatcher: int, rate: float) -> None: ...


class Faults:
    """When what strikes whom; and what strikes dispatchers, what they tell one another, and the network."""

    def __init__(
        self,
        world: World,
        start: Callable[[Coroutine[Any, Any, None]], object],
        dispatchers: Dispatchers,
        air: Air,
        died: Callable[[int], None] = lambda dispatcher: None,
        parted: Callable[[], None] = lambda: None,
    ) -> None:
        """`start`: begins a task of the ground's. `died`: tells whoever deals out connections. `parted`: the
        weather's cuts have changed.
        """
        self.world = world
        self.start = start
        self.dispatchers = dispatchers
        self.air = air
        self.died = died
        self.parted = parted
        self.workers: dict[str, Worker] = {}
        self.count = 0
        self.busy: dict[tuple[str, str], None] = {}  # whom something strikes that ends by itself
        self.chances = [world.chance(f"fault {n}") for n in range(len(world.plan.faults))]

    def begin(self) -> None:
        for number, trouble in enumerate(self.world.plan.faults):
            if trouble.after:
                continue
            self.start(self._come(number, trouble))

    async def _come(self, number: int, trouble: Trouble) -> None:
        """One line of the plan: once, again and again, or at random."""
        end = self.world.plan.seconds * TICKS
        last = min(end, trouble.until or end)
        due = trouble.at if trouble.at is not None else 0
        while True:
            if trouble.at is None:
                due = due + int(self.chances[number].expovariate(trouble.rate / 60.0) * TICKS)
            if due >= last:
                return
            await asyncio.sleep(max(0, due - self.world.now()) / TICKS)
            self._comes(number, trouble)
            for follower, other in enumerate(self.world.plan.faults):
                if other.after == trouble.kind:
                    self.start(self._follows(follower, other))
            if trouble.at is not None and not trouble.every:
                return
            if trouble.at is not None:
                due = due + trouble.every

    def _comes(self, number: int, trouble: Trouble) -> None:
        names = self._names(trouble)
        if names:
            chance = self.chances[number]
            whom = (
                names
                if trouble.of and trouble.at is not None and "*" in trouble.of
                else [chance.choice(names)]
            )
            for name in whom:
                self.start(self._strike(trouble, name))

    async def _follows(self, number: int, trouble: Trouble) -> None:
        await asyncio.sleep((trouble.at or 0) / TICKS)
        self._comes(number, trouble)

    def _names(self, trouble: Trouble) -> list[str]:
        """Whom it may strike now: nobody who is struck already by what can't come twice."""
        of = FAULTS[trouble.kind]
        names = {
            "worker": list(self.workers),
            "dispatcher": [f"d{d}" for d in self.dispatchers.numbers],
            "zone": list(self.world.charter.zones),
        }.get(of, [trouble.of])
        if of in ("worker", "dispatcher", "zone") and trouble.of:
            names = fnmatch.filter(names, trouble.of)
        return [name for name in names if (of, name) not in self.busy]

    async def _strike(self, trouble: Trouble, name: str) -> None:
        of = FAULTS[trouble.kind]
        whole = of in ("worker", "dispatcher", "zone")
        if whole:
            self.busy[of, name] = None
        self.count += 1
        # Of the one that begins now, until it first waits.
        self.chance = self.world.chance(f"strike {self.count}")
        self.world.add("fault", kind=trouble.kind, of=name, lasts=int(trouble.for_))
        try:
            method = getattr(self, "_" + trouble.kind.replace("-", "_"))
            await method(trouble, name)
        finally:
            if whole:
                self.busy.pop((of, name), None)
        self.world.add("fault_over", kind=trouble.kind, of=name)

    async def _lasts(self, trouble: Trouble) -> None:
        if not trouble.for_:
            await self.world.loop.create_future()
        await asyncio.sleep(trouble.for_ / TICKS)

    # Dispatchers.

    async def _kill(self, trouble: Trouble, name: str) -> None:
        number = int(name[1:])
        self.dispatchers.kill(number)
        self.died(number)
        self.dispatchers.lose(number, trouble.how or "synced")
        await self._lasts(trouble)
        await self.dispatchers.start(number, again=True)

    async def _term(self, trouble: Trouble, name: str) -> None:
        """A planned restart: SIGTERM, and a new one once it has ended."""
        number = int(name[1:])
        self.world.add("stopping", dispatcher=number)
        self.dispatchers.signal(number, signal.SIGTERM)
        self.died(number)
        await self.dispatchers.gone(number)
        await self._lasts(trouble)
        await self.dispatchers.start(number, again=True)

    async def _disk_ill(self, trouble: Trouble, name: str) -> None:
        """Every commit fails, as on a disk that is full. On the virtual ground alone."""
        disk = self.dispatchers.disks.get(int(name[1:]))
        if disk is not None:
            disk.ill = OSError(28, "no space left")
            await self._lasts(trouble)
            disk.ill = None

    async def _disk_slow(self, trouble: Trouble, name: str) -> None:
        """One sync takes `strength` seconds more. On the virtual ground alone."""
        disk = self.dispatchers.disks.get(int(name[1:]))
        if disk is not None:
            disk.slow = trouble.strength
            await self._lasts(trouble)
            disk.slow = 0.0

    async def _hup(self, trouble: Trouble, name: str) -> None:
        self.dispatchers.signal(int(name[1:]), signal.SIGHUP)

    async def _stall(self, trouble: Trouble, name: str) -> None:
        """It stands still, as by SIGSTOP, and goes on with what it believed."""
        number = int(name[1:])
        self.dispatchers.stall(number)
        self.died(number)
        await self._lasts(trouble)
        self.dispatchers.go_on(number)

    async def _clock_step(self, trouble: Trouble, name: str) -> None:
        """Its wall clock is off by `strength` seconds from now on. On the virtual ground alone."""
        self.dispatchers.clock_step(int(name[1:]), trouble.strength * (-1 if trouble.how == "back" else 1))

    async def _clock_rate(self, trouble: Trouble, name: str) -> None:
        """Its monotonic clock runs faster, or slower, by the part `strength`. On the virtual ground alone."""
        number, off = int(name[1:]), trouble.strength * (-1 if trouble.how == "slow" else 1)
        self.dispatchers.clock_rate(number, 1.0 + off)
        await self._lasts(trouble)
        self.dispatchers.clock_rate(number, 1.0)

    # What dispatchers tell one another.

    async def _blight(self, trouble: Trouble, name: str, **more: float) -> None:
        plan, charter = self.world.plan, self.world.charter
        one = (
            named(plan, charter, trouble.of)
            if trouble.of
            else [f"d{self.chance.choice(self.dispatchers.numbers)}"]
        )
        other = (
            named(plan, charter, trouble.among)
            if trouble.among
            else [f"d{d}" for d in self.dispatchers.numbers if f"d{d}" not in one]
        )
        blight = Blight(frozenset(one), frozenset(other), trouble.oneway, **more)
        self.world.add(
            "blight", kind=trouble.kind, one=sorted(one), other=sorted(other), oneway=trouble.oneway
        )
        self.air.blights[blight] = None
        await self._lasts(trouble)
        self.air.blights.pop(blight)

    async def _link_cut(self, trouble: Trouble, name: str) -> None:
        """Nothing gets through."""
        await self._blight(trouble, name, lost=1.0)

    async def _link_lossy(self, trouble: Trouble, name: str) -> None:
        """The part `strength` is lost."""
        await self._blight(trouble, name, lost=min(1.0, trouble.strength))

    async def _link_slow(self, trouble: Trouble, name: str) -> None:
        """All takes `extra` longer, one way."""
        await self._blight(trouble, name, extra=trouble.extra / TICKS)

    async def _link_doubles(self, trouble: Trouble, name: str) -> None:
        """The part `strength` comes twice, the second up to `extra` later."""
        await self._blight(trouble, name, doubled=min(1.0, trouble.strength), shuffle=trouble.extra / TICKS)

    async def _link_shuffles(self, trouble: Trouble, name: str) -> None:
        """Each takes up to `extra` longer, so that they come out of their order."""
        await self._blight(trouble, name, shuffle=trouble.extra / TICKS)

    # The network.

    async def _reset(self, trouble: Trouble, name: str) -> None:
        """Messages break their connection at some byte, with the chance `strength`."""
        self.world.weather.resets = min(1.0, trouble.strength)
        await self._lasts(trouble)
        self.world.weather.resets = 0.0

    async def _cut(self, trouble: Trouble, name: str) -> None:
        """A zone is cut off from all others and comes back."""
        await self._silence(trouble, name)

    async def _slow_link(self, trouble: Trouble, name: str) -> None:
        """A zone's way to another, or to all: `extra` longer each way, and `strength` of what is sent is lost."""
        way = Way(name, (trouble.among,) if trouble.among else None, int(trouble.extra), trouble.strength)
        self.world.weather.ways[way] = None
        await self._lasts(trouble)
        self.world.weather.ways.pop(way)

    async def _cut_worker(self, trouble: Trouble, name: str) -> None:
        await self._silence(trouble, name)

    async def _silence(self, trouble: Trouble, name: str) -> None:
        self.world.weather.cut[name] = None
        self.parted()
        await self._lasts(trouble)
        self.world.weather.heal(name)
        self.parted()


class ServedFaults(Faults):
    """Also what strikes those whom dispatchers serve and who serve for them: workers, discovery, load."""

    def __init__(
        self,
        world: World,
        start: Callable[[Coroutine[Any, Any, None]], object],
        dispatchers: Dispatchers,
        air: Air,
        died: Callable[[int], None],
        parted: Callable[[], None],
        workers: dict[str, Worker],
        discovery: DiscoveryServer,
        clients: Clients,
        moved: Callable[[int], None],
    ) -> None:
        """`moved`: a dispatcher's operator writes where discovery is."""
        super().__init__(world, start, dispatchers, air, died, parted)
        self.workers, self.discovery, self.clients, self.moved = workers, discovery, clients, moved

    # Workers.

    async def _freeze(self, trouble: Trouble, name: str) -> None:
        worker = self.workers[name]
        worker.freeze()
        await self._lasts(trouble)
        worker.thaw()

    async def _silent(self, trouble: Trouble, name: str) -> None:
        """It goes on accepting and answers nothing, then its process is found dead."""
        worker = self.workers[name]
        worker.freeze()
        await self._lasts(trouble)
        worker.crash()
        self.discovery.change(name, "left")
        await asyncio.sleep(1.0)
        await self._again(name)

    async def _crash(self, trouble: Trouble, name: str) -> None:
        worker = self.workers[name]
        worker.crash()
        self.discovery.change(name, "left")
        await self._lasts(trouble)
        await self._again(name)

    async def _again(self, name: str) -> None:
        worker = self.workers[name]
        worker.restart()
        if worker.place.alive:
            self.discovery.change(name, "active", since=worker.started)

    async def _drain(self, trouble: Trouble, name: str) -> None:
        """Marked as leaving for a while; then its process ends once its jobs have, and later starts anew."""
        worker = self.workers[name]
        self.discovery.change(name, "leaving")
        await self._lasts(trouble)
        while worker.jobs and worker.place.alive:
            await asyncio.sleep(DRAIN_END)
        worker.crash(told=False)
        self.discovery.change(name, "left")
        await asyncio.sleep(BACK_AFTER)
        await self._again(name)

    async def _slow(self, trouble: Trouble, name: str) -> None:
        worker = self.workers[name]
        worker.hinder(trouble.strength)
        await self._lasts(trouble)
        worker.hinder(0.0)

    async def _errors(self, trouble: Trouble, name: str) -> None:
        worker = self.workers[name]
        worker.errors = trouble.strength
        await self._lasts(trouble)
        worker.errors = 0.0

    async def _untaken(self, trouble: Trouble, name: str) -> None:
        worker = self.workers[name]
        scheme = trouble.scheme or self.world.charter.schemes[0].name
        worker.untaken[scheme] = None
        await self._lasts(trouble)
        worker.untaken.pop(scheme, None)

    async def _lie(self, trouble: Trouble, name: str) -> None:
        """`strength`: the part of its load that it shows, where its reports are low."""
        worker = self.workers[name]
        worker.lie(trouble.how or "zero", trouble.strength)
        await self._lasts(trouble)
        worker.lies = ""

    async def _flap(self, trouble: Trouble, name: str) -> None:
        """Up and down by turns; `strength`: the part of a turn in which it is down."""
        chance, how = self.chance, trouble.how or "crash"
        end = self.world.now() + trouble.for_ if trouble.for_ else 1 << 60
        while self.world.now() < end:
            turn = trouble.turn * (0.5 + chance.random()) / TICKS
            await asyncio.sleep(turn * (1.0 - trouble.strength))
            if self.world.now() >= end:
                return
            await self._down(trouble, name, how, turn * trouble.strength)

    async def _down(self, trouble: Trouble, name: str, how: str, lasts: float) -> None:
        worker, discovery = self.workers[name], self.discovery
        if how == "errors":
            worker.errors = 1.0
            await asyncio.sleep(lasts)
            worker.errors = 0.0
            return
        if how == "hang":
            worker.hang(True)
            await asyncio.sleep(lasts)
            worker.hang(False)
            return
        if how == "silence":
            worker.freeze()
        else:
            worker.crash()
        if trouble.listed:
            discovery.change(name, "left")
        await asyncio.sleep(lasts)
        if how == "silence":
            worker.crash(told=False)
        worker.restart(trouble.listed)
        if trouble.listed and worker.place.alive:
            discovery.change(name, "active", since=worker.started)

    async def _one_sided(self, trouble: Trouble, name: str) -> None:
        """Bad for some dispatchers, and as usual for the rest."""
        worker, numbers = self.workers[name], self.dispatchers.numbers
        among = (
            [d for d in numbers if fnmatch.fnmatch(f"d{d}", trouble.among)]
            if trouble.among
            else self.chance.sample(numbers, max(1, len(numbers) // 2))
        )
        side = OneSided(trouble.how or "loss", among, trouble.strength)
        way = Way(name, tuple(f"d{d}" for d in among), int(trouble.extra), 0.0)
        if side.how == "slow":
            self.world.weather.ways[way] = None
        worker.sides[side] = None
        await self._lasts(trouble)
        worker.sides.pop(side)
        self.world.weather.ways.pop(way, None)

    async def _reap(self, trouble: Trouble, name: str) -> None:
        """Its idle connections are dropped unseen after `strength` seconds without use."""
        worker = self.workers[name]
        worker.reaped = (int(trouble.strength * TICKS), trouble.how or "reset")
        await self._lasts(trouble)
        worker.reaped = (0, "")

    async def _late_reports(self, trouble: Trouble, name: str) -> None:
        """By `strength` seconds."""
        worker = self.workers[name]
        worker.late = int(trouble.strength * TICKS)
        await self._lasts(trouble)
        worker.late = 0

    async def _full_accept(self, trouble: Trouble, name: str) -> None:
        worker = self.workers[name]
        listeners = worker.listeners
        for listener in listeners:
            listener.deafen()
        await self._lasts(trouble)
        if worker.place.alive and worker.listeners is listeners:
            for listener in listeners:
                listener.hear()

    async def _callbacks_twice(self, trouble: Trouble, name: str) -> None:
        worker = self.workers[name]
        worker.twice = True
        await self._lasts(trouble)
        worker.twice = False

    async def _second_answer(self, trouble: Trouble, name: str) -> None:
        """The part `strength` of its postings is answered twice, the second 1 to 20 ms later, or up to `extra`."""
        worker = self.workers[name]
        worker.again = (trouble.strength, trouble.how or "same", (trouble.extra or SECOND_WITHIN) / TICKS)
        await self._lasts(trouble)
        worker.again = (0.0, "", 0.0)

    # Discovery.

    async def _outage(self, trouble: Trouble, name: str) -> None:
        self.discovery.outage()
        await self._lasts(trouble)
        self.discovery.back()

    async def _roster_restart(self, trouble: Trouble, name: str) -> None:
        self.discovery.restart()

    async def _roster_moves(self, trouble: Trouble, name: str) -> None:
        """To another address; the operator tells every dispatcher after `for`."""
        self.discovery.move()
        await self._lasts(trouble)
        for number in self.dispatchers.numbers:
            self.moved(number)
            self.dispatchers.signal(number, signal.SIGHUP)

    async def _watch_silent(self, trouble: Trouble, name: str) -> None:
        """The watches that are open now say nothing more, and stay open; who asks anew is answered."""
        self.discovery.hush()

    async def _roster_late(self, trouble: Trouble, name: str) -> None:
        """By `strength` seconds."""
        self.discovery.extra += int(trouble.strength * TICKS)
        await self._lasts(trouble)
        self.discovery.extra -= int(trouble.strength * TICKS)

    # The load.

    async def _heavy(self, trouble: Trouble, name: str) -> None:
        """One scheme's jobs cost `strength` times the usual."""
        scheme = trouble.scheme or self.world.charter.schemes[0].name
        self.clients.heavy[scheme] = max(1.0, trouble.strength)
        await self._lasts(trouble)
        self.clients.heavy.pop(scheme, None)

    async def _surge(self, trouble: Trouble, name: str) -> None:
        """One customer (`of`), or the first, sends `strength` times the usual."""
        customers = self.world.charter.customers
        whom = name or (customers[0].name if customers else "all")
        self.clients.surge[whom] = max(1.0, trouble.strength)
        await self._lasts(trouble)
        self.clients.surge.pop(whom, None)
