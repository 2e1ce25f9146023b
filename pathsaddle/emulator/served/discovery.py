"""Discovery emulated: workers' list, told late, by whole lists and watches; it may fail, forget, move."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import httptools
import msgspec

from pathsaddle.emulator.ground import speech
from pathsaddle.emulator.ground.speech import Hearing
from pathsaddle.emulator.served.workers import Worker
from pathsaddle.emulator.served.world import TICKS, Listener, Sites, Wire, World

BEAT = 2.0  # seconds between signs of life of a watch on which nothing changes
PATIENCE = 2.0  # seconds that a call waits for its turn; it finds no place behind twice as much work
HANG = 0.5  # seconds in which a call that can't be served is held before it is refused


@dataclass(slots=True)
class Change:
    index: int
    worker: str
    status: str


@dataclass(slots=True)
class View:
    """What one dispatcher may be told by now: changes reach each of them at another moment."""

    index: int
    status: dict[str, str]
    since: dict[str, int]
    last: int = 0  # when the last change becomes visible
    log: list[Change] = field(default_factory=list)
    watch: asyncio.Event = field(default_factory=asyncio.Event)
    wires: dict[Wire, None] = field(default_factory=dict)


class DiscoveryServer:
    def __init__(self, world: World, sites: Sites, workers: dict[str, Worker]) -> None:
        self.world = world
        self.sites = sites
        self.workers = workers
        self.chance = world.chance("roster")
        self.index = 1
        self.status = dict.fromkeys(workers, "active")
        self.since = dict.fromkeys(workers, 0)
        self.views = [
            View(1, dict(self.status), dict(self.since)) for _ in range(world.plan.fleet.dispatchers)
        ]
        self.wall = 0.0  # Unix seconds at the run's start
        self.extra = 0  # by how much word is later than usual
        self.down = 0
        self.watching: dict[Wire, int] = {}  # open watches: of which dispatcher
        self.hushed: dict[Wire, None] = {}  # those that say nothing more
        self.moves = 0
        self.busy_until = 0  # when all calls that have come are worked through, where there is a bound
        self.addresses = [sites.address("roster", d, 0) for d in range(world.plan.fleet.dispatchers)]
        self._open()

    def _open(self) -> None:
        self.place = self.sites.place(f"roster{self.moves or ''}", "")
        self.listeners = [
            Listener(self.place, address, self._handler(d)) for d, address in enumerate(self.addresses)
        ]

    def _handler(self, dispatcher: int) -> Any:
        def handle(sock: Any) -> Coroutine[Any, Any, None]:
            return self._serve(sock, dispatcher)

        return handle

    # Changes.

    def change(self, worker: str, status: str, since: int | None = None) -> None:
        """`since`: the moment of a worker's new start."""
        self.index += 1
        self.status[worker] = status
        self.world.add("changed", worker=worker, status=status, index=self.index)
        if since is not None:
            self.since[worker] = int((self.wall + since / TICKS) * 1000)
        low, high = self.world.plan.fleet.lag
        for dispatcher, view in enumerate(self.views):
            now = self.world.now()
            view.last = max(view.last, now + int(low + (high - low) * self.chance.random()) + self.extra)
            self.world.loop.call_later(
                (view.last - now) / TICKS, self._visible, dispatcher, worker, status, self.since[worker]
            )

    def _visible(self, dispatcher: int, worker: str, status: str, since: int) -> None:
        view = self.views[dispatcher]
        view.index += 1
        view.status[worker], view.since[worker] = status, since
        view.log.append(Change(view.index, worker, status))
        view.watch.set()

    # Its ills.

    def outage(self) -> None:
        self.down += 1
        if self.down == 1:
            self.place.kill()

    def back(self) -> None:
        self.down = max(0, self.down - 1)
        if not self.down and not self.place.alive:
            self._open()

    def hush(self) -> None:
        for wire, dispatcher in self.watching.items():
            if wire not in self.hushed:
                self.hushed[wire] = None
                self.world.add("hushed", dispatcher=dispatcher)

    def restart(self) -> None:
        """Another process, whose versions begin elsewhere."""
        self.outage()
        for view in self.views:
            view.index, view.log = self.chance.randrange(100_000, 1_000_000), []
        self.back()

    def move(self) -> None:
        """To another address; who moves each dispatcher's watch there is its operator."""
        self.place.kill()
        self.moves += 1
        self.addresses = [self.sites.address("roster", d, self.moves) for d in range(len(self.views))]
        if not self.down:
            self._open()

    # Calls that come.

    async def _serve(self, sock: Any, dispatcher: int) -> None:
        wire = Wire(self.world, self.place, sock, self.sites.zone_of(dispatcher))
        hearing = Hearing(calls=True)
        try:
            while True:
                at, data = await wire.recv()
                if not data:
                    return
                for said in hearing.feed(data, at):
                    self.world.events.add(said.whole, "asked_list", dispatcher=dispatcher)
                    path, _, query = said.target.partition("?")
                    if path != "/v1/endpoints":
                        await wire.send(speech.answer(404))
                    elif not await self._turn():
                        await wire.send(speech.answer(503))
                    elif "stream=1" in query:
                        index = int(query.rpartition("index=")[2] or 0)
                        await self._watch(wire, dispatcher, index)
                        return
                    else:
                        view = self.views[dispatcher]
                        await wire.send(speech.answer(200, body=self._line(dispatcher, view, None)))
                        self._told(dispatcher, view, list(view.status))
        except (OSError, httptools.HttpParserError, ValueError):
            pass
        finally:
            if self.place.alive:
                wire.close()

    async def _turn(self) -> bool:
        """Whether a call gets its turn in time; one that has waited too long is worked on all the same."""
        rate = self.world.plan.fleet.roster_rate
        if not rate:
            return True
        now = self.world.now()
        due = max(now, self.busy_until) + int(TICKS / rate)
        if due - now > 2 * PATIENCE * TICKS:
            return False
        self.busy_until = due
        await asyncio.sleep(min(PATIENCE, (due - now) / TICKS))
        return due - now <= PATIENCE * TICKS

    async def _watch(self, wire: Wire, dispatcher: int, index: int) -> None:
        view = self.views[dispatcher]
        self.world.add("watched", dispatcher=dispatcher)
        wire.on_gone = lambda at: self.world.events.add(at, "unwatched", dispatcher=dispatcher)
        self.watching[wire] = dispatcher
        try:
            await wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            known = any(change.index == index for change in view.log) or index == view.index
            sent, first = index if known else None, True
            while wire.gone_at is None:
                if wire in self.hushed:
                    await asyncio.sleep(BEAT)
                    continue
                changed = (
                    None
                    if sent is None
                    else list(dict.fromkeys(change.worker for change in view.log if change.index > sent))
                )
                view.watch.clear()
                if first or changed is None or changed:
                    first = False
                    line, now = self._line(dispatcher, view, changed), view.index
                    names = changed if changed is not None else list(view.status)
                    statuses = {name: view.status[name] for name in names}
                    await wire.send(b"%x\r\n%s\r\n" % (len(line), line))
                    sent = now
                    for name in names:
                        self.world.add("told_list", dispatcher=dispatcher, worker=name, status=statuses[name])
                    continue
                if sent != view.index:
                    sent = None  # another's versions: the whole list
                    continue
                try:
                    async with asyncio.timeout(BEAT):
                        await view.watch.wait()
                except TimeoutError:
                    if wire not in self.hushed:
                        await wire.send(b"1\r\n\n\r\n")
        finally:
            del self.watching[wire]
            self.hushed.pop(wire, None)
            if wire.gone_at is None:
                self.world.add("unwatched", dispatcher=dispatcher)

    def _told(self, dispatcher: int, view: View, names: list[str]) -> None:
        for name in names:
            self.world.add("told_list", dispatcher=dispatcher, worker=name, status=view.status[name])

    def _line(self, dispatcher: int, view: View, names: list[str] | None) -> bytes:
        return (
            msgspec.json.encode(
                {
                    "index": view.index,
                    "snapshot": names is None,
                    "endpoints": self.rows(dispatcher, view, names),
                }
            )
            + b"\n"
        )

    def rows(self, dispatcher: int, view: View, names: list[str] | None) -> list[dict[str, Any]]:
        """In the wire's form; a whole list leaves out who is gone."""
        found = []
        for name in names if names is not None else view.status:
            worker, status = self.workers[name], view.status[name]
            if names is None and status == "left":
                continue
            found.append(
                {
                    "name": name,
                    "address": worker.addresses[dispatcher],
                    "zone": worker.zone,
                    "type": worker.kind.kind,
                    "group": worker.cell,
                    "status": status,
                    "weight": worker.weight(),
                    "since_ms": view.since[name],
                }
            )
        return found

    def known(self, dispatcher: int) -> dict[str, Any]:
        """What a dispatcher has that starts now: the list as it may be told by now."""
        view = self.views[dispatcher]
        return {"index": view.index, "snapshot": True, "endpoints": self.rows(dispatcher, view, None)}
