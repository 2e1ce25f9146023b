"""Hollow workers, list and clients around one real dispatcher: the protocol's answers by script, thousands in one loop.

What crosses is the protocol's, on real sockets of the loopback, by the emulator's own wire code; behind it stands
nothing but a timer. A hollow worker leaves out what one job does to another (memory, uneven speed) and every ill but a
cold start, a drain and a death; a hollow list has no lag.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

import httptools
import msgspec

from pathsaddle.config.schema import Configuration
from pathsaddle.emulator.ground import speech
from pathsaddle.emulator.ground.speech import Hearing, Said
from pathsaddle.scheduler_types import SECOND

BEAT = 2.0  # seconds between signs of life on a watch
NOTICED = 0.3  # seconds after which the machine's agent tells of a process that died
DOWN = 0.02  # seconds of a restart in which nobody listens
TRIES, AGAIN = 10, 0.05  # of a callback, and seconds between them
HISTORY = 4096  # changes after which who knows an older version gets the whole list


@dataclass(slots=True)
class Tally:
    """Connections of the dispatcher, as seen from their other ends."""

    taken: int = 0  # that the dispatcher made to workers
    given: int = 0  # that workers and clients made to the dispatcher
    open: int = 0
    most: int = 0
    refused: int = 0  # given that were refused, or ended with a call on them and no answer
    let_go: int = 0  # given that the dispatcher ended while nothing was on them

    def opens(self) -> None:
        self.open += 1
        self.most = max(self.most, self.open)


class _Peer(asyncio.Protocol):
    """One connection: bytes to messages."""

    def __init__(self, tally: Tally, calls: bool) -> None:
        self.tally = tally
        self.hearing = Hearing(calls=calls)
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.tally.opens()

    def connection_lost(self, exc: Exception | None) -> None:
        self.tally.open -= 1
        self.gone()

    def data_received(self, data: bytes) -> None:
        try:
            for said in self.hearing.feed(data, 0):
                self.heard(said)
        except httptools.HttpParserError:
            self.transport.abort()

    def heard(self, said: Said) -> None:
        raise NotImplementedError

    def gone(self) -> None:
        pass


class _ServerConnection(_Peer):
    """A connection that a dispatcher made to a worker."""

    def __init__(self, worker: Worker) -> None:
        super().__init__(worker.fleet.tally, calls=True)
        self.worker = worker

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.tally.taken += 1
        self.worker.connections[self] = None

    def heard(self, said: Said) -> None:
        self.transport.write(self.worker.hears(said))

    def gone(self) -> None:
        self.worker.connections.pop(self, None)


class Back(_Peer):
    """A worker's kept connection to the dispatcher for callbacks: one call at a time, the others wait their turn.

    `busy` from the moment a connection is asked for, a call is written or a pause begins until that is over: only
    then may the next thing begin. Two callbacks due in one turn of the event loop each opened a connection before
    this held from the asking on, and the first callback was told three times.
    """

    def __init__(self, fleet: Workers) -> None:
        super().__init__(fleet.tally, calls=False)
        self.fleet = fleet
        self.queue: deque[tuple[bytes, int]] = deque()  # bodies, and how often each was tried
        self.busy = False
        self.asked = False  # the first of the queue is written, and not answered yet
        self.pause: asyncio.TimerHandle | None = None
        self.ended = False

    def tell(self, body: bytes) -> None:
        self.queue.append((speech.call("POST", "/callback", {}, body), 0))
        self._next()

    def connects(self) -> None:
        self.busy = True
        self.hearing = Hearing(calls=False)
        self.fleet.start(self._connect())

    async def _connect(self) -> None:
        self.tally.given += 1
        try:
            await self.fleet.loop.create_connection(lambda: self, *self.fleet.dispatcher)
        except OSError:
            self.tally.refused += 1
            self._again()
            return
        if self.transport is None:
            self._pause()  # it ended before we were resumed
            return
        self.busy = False
        self._next()

    def _next(self) -> None:
        if self.ended or self.busy or not self.queue:
            return
        if self.transport is None:
            self.connects()
            return
        self.busy = self.asked = True
        self.transport.write(self.queue[0][0])

    def heard(self, said: Said) -> None:
        if self.asked:
            self.queue.popleft()
        self.busy = self.asked = False
        self.fleet.called_back += said.status in (200, 204)
        if not said.keep:
            self.busy = True  # until it is gone
            self.transport.close()
        else:
            self._next()

    def gone(self) -> None:
        self.transport = None
        if self.ended:
            return
        if self.asked:
            self.tally.refused += 1
            self._again()
        else:
            self.tally.let_go += 1
            if self.queue:
                self._pause()
            else:
                self.busy = False

    def _again(self) -> None:
        call, tried = self.queue.popleft() if self.queue else (b"", TRIES)
        if tried < TRIES:
            self.queue.appendleft((call, tried + 1))
        self._pause()

    def _pause(self) -> None:
        self.busy, self.asked = True, False
        if self.pause is None:
            self.pause = self.fleet.loop.call_later(AGAIN, self._tries)

    def _tries(self) -> None:
        self.pause, self.busy = None, False
        self._next()

    def end(self) -> None:
        self.ended = True
        self.queue.clear()
        if self.transport is not None:
            self.transport.abort()


class Worker:
    """One hollow worker: what it holds is its name, its running jobs' timers and its connections."""

    __slots__ = ("back", "connections", "fleet", "line", "name", "running", "server", "started")

    def __init__(self, fleet: Workers, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.running: dict[str, asyncio.TimerHandle] = {}
        self.line: deque[tuple[str, float]] = deque()
        self.connections: dict[_ServerConnection, None] = {}
        self.back: Back | None = None
        self.server: Any = None
        self.started: float | None = None  # of the loop's clock; None: long ago

    async def opens(self, port: int = 0) -> str:
        self.server = await self.fleet.loop.create_server(
            lambda: _ServerConnection(self), "127.0.0.1", port, backlog=64
        )
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def hears(self, said: Said) -> bytes:
        if said.method == "POST":
            return self._posting(said)
        if said.method == "GET" and said.target in ("/health", "/status/load"):
            self.fleet.looked += 1
            return speech.answer(
                200, body=msgspec.json.encode(self.report()) if said.target != "/health" else b""
            )
        if said.method == "DELETE":
            tag = said.target.rpartition("/")[2]
            self.line = deque(job for job in self.line if job[0] != tag)
            return speech.answer(204)
        return speech.answer(404)

    def _posting(self, said: Said) -> bytes:
        tag, fleet = said.headers.get("req-id", ""), self.fleet
        if not tag:
            return speech.answer(400)
        fleet.posted += 1
        takes = float(said.headers.get("req-cost", 0)) / 1000 or fleet.run
        if len(self.running) < fleet.slots:
            self._runs(tag, takes)
        elif len(self.line) < fleet.waiting:
            self.line.append((tag, takes))
        else:
            fleet.turned_away += 1
            load = ",".join(f"{name}={value:g}" for name, value in self.report().items())
            return speech.answer(503, {"Srv-Declined": "1", "Srv-Load": load})
        return speech.answer(202)

    def able(self) -> float:
        """What part of its work it can do: less for a while after its start."""
        rules = self.fleet.charter.rules
        if self.started is None:
            return 1.0
        warm = min(1.0, (self.fleet.loop.time() - self.started) * SECOND / max(1, rules.cold_time))
        return rules.cold_share + (1.0 - rules.cold_share) * warm

    def _runs(self, tag: str, takes: float) -> None:
        self.running[tag] = self.fleet.loop.call_later(takes / self.able(), self._done, tag)

    def _done(self, tag: str) -> None:
        del self.running[tag]
        if self.line:
            self._runs(*self.line.popleft())
        self._tells({"id": tag, "from": self.name, "state": "done", "result": "ok", "load": self.report()})

    def _tells(self, told: dict[str, Any]) -> None:
        if self.back is None:
            self.back = Back(self.fleet)
        self.back.tell(msgspec.json.encode(told))

    def calls(self) -> None:
        """A callback of a job that nobody knows: answered at once, and its connection stays."""
        self._tells(
            {
                "id": f"none-{self.name}",
                "from": self.name,
                "state": "done",
                "result": "",
                "load": self.report(),
            }
        )

    def report(self) -> dict[str, float]:
        held, line = len(self.running) + len(self.line), len(self.line)
        figures = {
            "x0": float(self.fleet.slots - len(self.running)),
            "queue": line,
            "waiting": line,
            "inflight": held,
            "active": held,
        }
        return {name: figures[name] for name in self.fleet.charter.reports.fields if name in figures}

    def dies(self) -> None:
        """Its process: its connections end, what it held is lost, and the machine's agent tells so."""
        lost = [*self.running, *(tag for tag, _ in self.line)]
        for timer in self.running.values():
            timer.cancel()
        self.running.clear()
        self.line.clear()
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()
        if self.back is not None:
            self.back.end()
            self.back = None
        for tag in lost:
            self.fleet.loop.call_later(
                NOTICED,
                self.fleet.agent.tell,
                msgspec.json.encode({"id": tag, "from": self.name, "state": "lost"}),
            )


class Workers:
    """All of them, in this process."""

    def __init__(
        self, charter: Configuration, count: int, slots: int, waiting: int, run: float, zones: list[str]
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.charter = charter
        self.slots, self.waiting, self.run = slots, waiting, run
        self.zones = zones
        self.tally = Tally()
        self.dispatcher: tuple[str, int] = ("127.0.0.1", 9)
        self.posted = self.looked = self.turned_away = self.called_back = 0
        self.all = [Worker(self, f"w{i:05}") for i in range(count)]
        self.rows: list[dict[str, Any]] = []
        self.agent = Back(self)
        self.tasks: dict[asyncio.Task[Any], None] = {}

    def start(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    async def open(self) -> None:
        for i, worker in enumerate(self.all):
            address = await worker.opens()
            self.rows.append(
                {
                    "name": worker.name,
                    "address": address,
                    "zone": self.zones[i % len(self.zones)],
                    "type": "m",
                    "group": i // 4,
                    "status": "active",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            )

    async def restart(self, numbers: Iterable[int]) -> None:
        """All of these at once, each at its old address; their rows say since when."""
        those = list(numbers)
        for n in those:
            self.all[n].dies()
        await asyncio.sleep(DOWN)
        for n in those:
            worker, row = self.all[n], self.rows[n]
            await worker.opens(int(row["address"].rpartition(":")[2]))
            worker.started = self.loop.time()
            row["since_ms"] = int(time.time() * 1000)

    def connected(self) -> int:
        """Workers with a connection from or to the dispatcher."""
        return sum(
            bool(w.connections) or (w.back is not None and w.back.transport is not None) for w in self.all
        )

    def end(self) -> None:
        for worker in self.all:
            worker.dies()
        self.agent.end()
        for task in list(self.tasks):
            task.cancel()


class _Asked(_Peer):
    """One connection to the hollow list."""

    def __init__(self, discovery: HollowList) -> None:
        super().__init__(Tally(), calls=True)
        self.discovery = discovery
        self.sent: int | None = None  # the version that its watch has; None: no watch

    def heard(self, said: Said) -> None:
        path, _, query = said.target.partition("?")
        if path != "/v1/endpoints":
            self.transport.write(speech.answer(404))
        elif "stream=1" in query:
            self.discovery.writes(self, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.discovery.watches(self, int(query.rpartition("index=")[2] or 0))
        else:
            self.transport.write(speech.answer(200, body=self.discovery.line(None)))

    def gone(self) -> None:
        self.discovery.watching.pop(self, None)


class HollowList:
    """Discovery's stand-in: rows that are told whole or by change, each line made once for all who watch."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        self.rows = {row["name"]: row for row in rows}
        self.index = self.oldest = 1000  # another process's versions than any that a dispatcher starts with
        self.changes: deque[tuple[int, str]] = deque()
        self.watching: dict[_Asked, None] = {}
        self.watched = 0  # watches begun
        self.whole_bytes = self.change_bytes = 0  # of the last line of each kind, its chunk's frame with it
        self.written = 0  # bytes, to all watches
        self.server: Any = None
        self.beat: asyncio.TimerHandle | None = None

    async def open(self) -> str:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: _Asked(self), "127.0.0.1", 0)
        self._beats()
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def _beats(self) -> None:
        for asked in self.watching:
            self.writes(asked, b"1\r\n\n\r\n")
        self.beat = asyncio.get_running_loop().call_later(BEAT, self._beats)

    def line(self, names: list[str] | None) -> bytes:
        rows = [self.rows[name] for name in (names if names is not None else self.rows)]
        if names is None:
            rows = [row for row in rows if row["status"] != "left"]
        return (
            msgspec.json.encode({"index": self.index, "snapshot": names is None, "endpoints": rows}) + b"\n"
        )

    def watches(self, asked: _Asked, index: int) -> None:
        self.watched += 1
        self.watching[asked] = None
        if self.oldest <= index <= self.index:
            self._tells([asked], list(dict.fromkeys(name for at, name in self.changes if at > index)))
        else:
            self._tells([asked], None)

    def _tells(self, those: Iterable[_Asked], names: list[str] | None) -> None:
        line = self.line(names)
        chunk = b"%x\r\n%s\r\n" % (len(line), line)
        if names is None:
            self.whole_bytes = len(chunk)
        else:
            self.change_bytes = len(chunk)
        for asked in those:
            asked.sent = self.index
            self.writes(asked, chunk)

    def writes(self, asked: _Asked, data: bytes) -> None:
        self.written += len(data)
        asked.transport.write(data)

    def change(self, *names: str) -> None:
        """Told at once, all of them in one line, to all who watch."""
        self.index += 1
        for name in names:
            self.changes.append((self.index, name))
        while len(self.changes) > HISTORY:
            self.oldest = self.changes.popleft()[0]
        self._tells(self.watching, list(names))

    def whole(self) -> None:
        self.index += 1
        self.changes.clear()
        self.oldest = self.index
        self._tells(self.watching, None)

    def end(self) -> None:
        if self.beat is not None:
            self.beat.cancel()
        for asked in list(self.watching):
            asked.transport.abort()
        if self.server is not None:
            self.server.close()


class _Asking(_Peer):
    """A client's kept connection: one call at a time."""

    def __init__(self, clients: Clients) -> None:
        super().__init__(clients.tally, calls=False)
        self.clients = clients
        self.begun: float | None = None  # of the call that is out

    def asks(self, call: bytes) -> None:
        self.begun = self.clients.loop.time()
        self.transport.write(call)

    def heard(self, said: Said) -> None:
        assert self.begun is not None
        self.clients.answered(said.status, self.clients.loop.time() - self.begun)
        self.begun = None
        if said.keep:
            self.clients.idle.append(self)
        else:
            self.transport.close()

    def gone(self) -> None:
        if self in self.clients.idle:
            self.clients.idle.remove(self)
            self.tally.let_go += 1
        if self.begun is not None:
            self.begun = None
            self.tally.refused += 1
            self.clients.broken += 1


class Clients:
    """Arrivals at a fixed rate that wait for nobody's answer, on kept connections."""

    def __init__(self, workers: Workers, scheme: str, run: float, seed: int) -> None:
        self.loop = workers.loop
        self.workers, self.tally = workers, workers.tally
        self.random = Random(seed)
        self.scheme, self.run = scheme, run
        self.idle: list[_Asking] = []
        self.asked = self.settled = self.declined = self.failed = self.broken = 0
        self.times: list[float] = []  # seconds to a settled answer, less the running time
        self.running = False

    def answered(self, status: int, took: float) -> None:
        self.settled += status == 200
        self.declined += status == 503
        self.failed += status not in (200, 503)
        if status == 200:
            self.times.append(took - self.run)

    @property
    def open(self) -> int:
        return self.asked - self.settled - self.declined - self.failed - self.broken

    async def ask(self) -> None:
        self.asked += 1
        call = speech.call(
            "POST",
            f"/{self.scheme}",
            {
                "Req-Id": f"t{self.asked}-{self.random.getrandbits(32):08x}",
                "Req-Kind": self.scheme,
                "Req-Deadline-Ms": "10000",
                "Req-Cost": f"{self.run * 1000:.0f}",
            },
            b"{}",
        )
        while self.idle:
            client = self.idle.pop()
            if not client.transport.is_closing():
                client.asks(call)
                return
        self.tally.given += 1
        try:
            _, made = await self.loop.create_connection(lambda: _Asking(self), *self.workers.dispatcher)
        except OSError:
            self.tally.refused += 1
            self.broken += 1
            return
        made.asks(call)

    async def go(self, rate: float) -> None:
        """Until it is stopped."""
        self.running, due = True, self.loop.time()
        while self.running:
            due += (0.5 + self.random.random()) / rate
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            self.workers.start(self.ask())

    def end(self) -> None:
        self.running = False
        for client in self.idle:
            client.transport.abort()


async def until(true: Callable[[], bool], within: float) -> bool:
    """Whether it came true in that time."""
    loop = asyncio.get_running_loop()
    by = loop.time() + within
    while not true():
        if loop.time() >= by:
            return False
        await asyncio.sleep(0.005)
    return True
