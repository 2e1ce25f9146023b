"""What all emulated peers share: time, chance, the network between, the places they run in."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from pathsaddle.config.schema import Configuration
from pathsaddle.emulator.ground.links import Host, Net
from pathsaddle.emulator.ground.speech import Hearing, Said
from pathsaddle.emulator.plan import Plan
from pathsaddle.event_log import EventLog
from pathsaddle.net.service import pump

TICKS = 10_000
RESET = struct.pack("ii", 1, 0)
MOST_AT_ONCE = 64 * 1024
SIP = 64  # bytes that a slow reader takes at a time


class World:
    """One run: its plan, its seed, and what has happened."""

    def __init__(
        self, plan: Plan, charter: Configuration, seed: int, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.plan = plan
        self.charter = charter
        self.seed = seed
        self.loop = loop
        # A virtual host's own clock may be off; the run's is not.
        self.true_time: Callable[[], float] = getattr(loop, "true_time", loop.time)
        self.begun = loop.time()
        self.events = EventLog()
        self.weather = Weather(self)

    def now(self) -> int:
        return int((self.true_time() - self.begun) * TICKS + 0.5)

    def chance(self, whose: str) -> Random:
        """A source of its own for each peer, so that one that draws more changes nobody else's luck."""
        return Random(f"{self.seed}/{whose}")

    def add(self, what: str, **more: Any) -> None:
        self.events.add(self.now(), what, **more)


class Way:
    """Trouble on the way between two places: what crosses takes longer, or is lost."""

    def __init__(self, one: str, others: tuple[str, ...] | None, extra: int, lost: float) -> None:
        self.one = one
        self.others = others  # none: everywhere else
        self.extra = extra
        self.lost = lost

    def meets(self, ends: tuple[str, ...]) -> bool:
        """`ends`: two zones, then the names of who is there."""
        if self.one not in ends:
            return False
        return ends[0] != ends[1] if self.others is None else any(name in ends for name in self.others)


class Weather:
    """What happens between two places: delay, and for a while silence, losses or resets."""

    def __init__(self, world: World) -> None:
        self.network = world.plan.fleet.network
        self.random = world.chance("network").random
        self.loop = world.loop
        self.cut: dict[str, None] = {}  # zones and workers that nothing reaches
        self.ways: dict[Way, None] = {}
        self.resets = 0.0  # chance that a message breaks its connection midway
        self._waiting: list[asyncio.Future[None]] = []

    def delay(self, one: str, other: str, *names: str) -> float:
        base = int(self.network.near if one == other else self.network.far)
        base += sum(way.extra for way in self.ways if way.meets((one, other, *names)))
        return base * (1.0 + self.network.spread * self.random()) / TICKS

    def loses(self, *ends: str) -> bool:
        """Whether what is sent now between them is lost on its way."""
        return any(way.lost and self.random() < way.lost for way in self.ways if way.meets(ends))

    def parted(self, one: str, other: str, *names: str) -> bool:
        if not self.cut:
            return False
        return (one != other and (one in self.cut or other in self.cut)) or any(n in self.cut for n in names)

    async def passes(self, one: str, other: str, *names: str) -> None:
        """Until what was sent gets there; after a silence that may be long."""
        while self.parted(one, other, *names):
            waiter: asyncio.Future[None] = self.loop.create_future()
            self._waiting.append(waiter)
            await waiter
        await asyncio.sleep(self.delay(one, other, *names))

    def heal(self, name: str) -> None:
        self.cut.pop(name, None)
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            if not waiter.done():
                waiter.set_result(None)

    def breaks(self, size: int) -> int | None:
        """After how many bytes of a message its connection breaks, if it does."""
        if self.resets and self.random() < self.resets:
            return int(self.random() * (size + 1))
        return None


class Hosts:
    """Dispatchers as hosts: what can be done to one besides killing it. Part of a stage of the virtual ground."""

    world: World
    net: Net
    hosts: dict[int, Host]

    def stall(self, dispatcher: int) -> None:
        self.world.add("stalled", dispatcher=dispatcher)
        self.hosts[dispatcher].stall()

    def go_on(self, dispatcher: int) -> None:
        self.world.add("goes_on", dispatcher=dispatcher)
        self.net.loop.go_on(self.hosts[dispatcher])

    def clock_step(self, dispatcher: int, seconds: float) -> None:
        self.hosts[dispatcher].wall_off += seconds

    def clock_rate(self, dispatcher: int, rate: float) -> None:
        self.hosts[dispatcher].run_clock(rate)


class Place:
    """Where a peer runs: on the kernel's sockets, in this process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, name: str, zone: str) -> None:
        self.loop = loop
        self.name = name
        self.zone = zone
        self.alive = True
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.sockets: dict[Any, None] = {}

    def stream(self, address: str) -> tuple[Any, tuple[str, int]]:
        sock, peer = pump.stream(address)
        self.sockets[sock] = None
        return sock, peer

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self.loop.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and (fault := task.exception()) is not None:
            self.loop.call_exception_handler({"message": f"in {self.name}", "exception": fault})

    def let_go(self, sock: Any) -> None:
        self.sockets.pop(sock, None)
        self.loop.call_soon(sock.close)  # after whoever reads it has let go of it

    def accepted(self, sock: Any) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sockets[sock] = None

    def kill(self) -> None:
        self.alive = False
        for task in list(self.tasks):
            task.cancel()
        for sock in list(self.sockets):
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            except OSError:
                pass
            self.let_go(sock)


class VirtualPlace(Place):
    """A host of the virtual ground."""

    def __init__(self, net: Net, name: str, zone: str) -> None:
        super().__init__(net.loop, name, zone)
        self.net = net
        self.host = Host(net, name, zone)

    def stream(self, address: str) -> tuple[Any, tuple[str, int]]:
        sock = self.net.stream(self.host)
        host, _, port = address.rpartition(":")
        return sock, (host, int(port))

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self.host.run(lambda: work)
        task.add_done_callback(self._done)
        return task

    def let_go(self, sock: Any) -> None:
        sock.close()

    def accepted(self, sock: Any) -> None:
        pass

    def kill(self) -> None:
        self.alive = False
        self.host.kill()


class Sites:
    """Where everybody stands and is reached: what a room needs of the ground it is on."""

    def __init__(self, zones: list[str]) -> None:
        self.zones = zones

    def place(self, name: str, zone: str) -> Place:
        raise NotImplementedError

    def address(self, kind: str, dispatcher: int, number: int) -> str:
        """Where somebody listens: `dispatcher` itself, or a peer for that dispatcher."""
        raise NotImplementedError

    def listen_of(self, dispatcher: int) -> str:
        return self.address("dispatcher", dispatcher, 0)

    def zone_of(self, dispatcher: int) -> str:
        return self.zones[dispatcher % len(self.zones)]


class VirtualSites(Sites):
    def __init__(self, zones: list[str], net: Net) -> None:
        super().__init__(zones)
        self.net = net

    def place(self, name: str, zone: str) -> Place:
        return VirtualPlace(self.net, name, zone)

    def address(self, kind: str, dispatcher: int, number: int) -> str:
        if kind == "dispatcher":
            return f"10.0.0.{dispatcher + 1}:8000"
        if kind == "roster":
            return f"10.2.{number}.{dispatcher + 1}:7000"
        return f"10.1.{number >> 8}.{number & 255}:{9000 + dispatcher}"


class SocketSites(Sites):
    """Free ports of the loopback, each kept for whom it was first found for."""

    def __init__(self, zones: list[str], loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(zones)
        self.loop = loop
        self.port = 11_000 + os.getpid() * 61 % 17_000
        self.taken: dict[tuple[str, int, int], str] = {}

    def place(self, name: str, zone: str) -> Place:
        return Place(self.loop, name, zone)

    def address(self, kind: str, dispatcher: int, number: int) -> str:
        key = (kind, dispatcher, number)
        while key not in self.taken:
            self.port = self.port + 1 if self.port < 32_000 else 11_000
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    sock.bind(("127.0.0.1", self.port))
                except OSError:
                    continue
            self.taken[key] = f"127.0.0.1:{self.port}"
        return self.taken[key]


async def always() -> None:
    pass


class Wire:
    """A peer's end of one connection: what it reads comes through the weather, what it writes goes through it.

    `gone_at`: when the other side closed or reset, as its bytes crossed. `gate` is waited for before anything
    is heard: a frozen process reads nothing, though its kernel takes it all.
    """

    def __init__(
        self,
        world: World,
        place: Place,
        sock: Any,
        there: str,
        *names: str,
        gate: Callable[[], Awaitable[None]] = always,
        on_gone: Callable[[int], None] = lambda at: None,
        sips: float = 0.0,
    ) -> None:
        self.sips = sips  # seconds between the few bytes that a slow reader takes; 0: it reads all at once
        self.world = world
        self.place = place
        self.sock = sock
        self.ends = (place.zone, there, *names)
        self.gate = gate
        self.on_gone = on_gone
        self.gone_at: int | None = None
        self.closed = False
        self.broken = False  # by the network between
        self._come: deque[tuple[int, bytes]] = deque()
        self._news: asyncio.Future[None] | None = None
        self._reader = place.start(self._read())

    async def _read(self) -> None:
        try:
            while data := await self.world.loop.sock_recv(self.sock, SIP if self.sips else MOST_AT_ONCE):
                if self.sips:
                    await asyncio.sleep(self.sips)
                at = self.world.weather.breaks(len(data))
                if at is not None:
                    self._come.append((self.world.now(), data[:at]))
                    self.broken = True
                    self.abort()
                    break
                self._come.append((self.world.now(), data))
                self._stir()
        except OSError:
            pass
        self._gone()

    def _gone(self) -> None:
        if self.gone_at is None:
            self.gone_at = self.world.now()
            self._stir()
            if not self.closed:
                self.on_gone(self.gone_at)

    def _stir(self) -> None:
        if self._news is not None and not self._news.done():
            self._news.set_result(None)

    async def recv(self) -> tuple[int, bytes]:
        """The next bytes and when they crossed; none: the other side is gone."""
        while not self._come:
            if self.gone_at is not None:
                return self.gone_at, b""
            self._news = self.world.loop.create_future()
            try:
                await self._news
            finally:
                self._news = None
        at, data = self._come.popleft()
        await self.world.weather.passes(*self.ends)
        await self.gate()
        return at, data

    async def send(self, data: bytes) -> int:
        """When its last byte crossed; raises OSError where that did not happen."""
        await self.world.weather.passes(*self.ends)
        await self.gate()
        if self.closed:
            raise ConnectionResetError("closed")
        at = self.world.weather.breaks(len(data))
        if at is not None and at < len(data):
            self.broken = True
            if at:
                await self.world.loop.sock_sendall(self.sock, data[:at])
            self.abort()
            raise ConnectionResetError("broken midway")
        await self.world.loop.sock_sendall(self.sock, data)
        return self.world.now()

    async def said(self, hearing: Hearing) -> Said | None:
        """The next whole message; none: the other side is gone before its end."""
        while True:
            at, data = await self.recv()
            if not data:
                return None
            if found := hearing.feed(data, at):
                return found[0]

    def crossed(self) -> int:
        """When the last bytes came that nobody has heard yet; 0: none did."""
        return self._come[-1][0] if self._come else 0

    def end_of_sending(self) -> None:
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._reader.cancel()
            self._stir()
            self.gone_at = self.world.now() if self.gone_at is None else self.gone_at
            self.place.let_go(self.sock)

    def abort(self) -> None:
        if not self.closed:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            except OSError:
                pass
            gone = self.gone_at is None
            self.close()
            if gone and self.gone_at is not None:
                self.on_gone(self.gone_at)


class Listener:
    """Takes connections at an address and serves each by a coroutine of the place."""

    def __init__(self, place: Place, address: str, serve: Callable[[Any], Coroutine[Any, Any, None]]) -> None:
        self.place = place
        self.serve = serve
        self.sock, peer = place.stream(address)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(peer)
        self.sock.listen(256)
        self.deaf = False
        self.address = address
        self._fillers: list[Any] = []
        self._task = place.start(self._accept())

    async def _accept(self) -> None:
        while True:
            sock, _ = await self.place.loop.sock_accept(self.sock)
            self.place.accepted(sock)
            self.place.start(self.serve(sock))

    def deafen(self) -> None:
        """Nothing is accepted any more and the queue is full: a connect to here hangs."""
        if not self.deaf:
            self.deaf = True
            self._task.cancel()
            self.sock.listen(1)
            for _ in range(2):
                filler, peer = self.place.stream(self.address)
                self._fillers.append(filler)
                self.place.start(self._fill(filler, peer))

    async def _fill(self, filler: Any, peer: tuple[str, int]) -> None:
        try:
            await self.place.loop.sock_connect(filler, peer)
        except OSError:
            pass

    def hear(self) -> None:
        if self.deaf:
            self.deaf = False
            for filler in self._fillers:
                self.place.let_go(filler)
            self._fillers.clear()
            self.sock.listen(256)
            self._task = self.place.start(self._accept())

    def close(self) -> None:
        self._task.cancel()
        self.place.let_go(self.sock)
