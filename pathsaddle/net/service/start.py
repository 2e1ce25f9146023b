"""Start and stop: what is read at start, what is built from it, and how it ends."""

from __future__ import annotations

import asyncio
import gc
import os
import signal

import uvloop

from pathsaddle.errors import Error
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.front import Front, Room
from pathsaddle.net.service.ground import Ground
from pathsaddle.net.service.workers import Workers
from pathsaddle.net.wire.birth import WHERE, Birth, birth
from pathsaddle.scheduler_types import MILLISECOND, SECOND, ListUpdate

SPARE = 12  # descriptors for the listener, discovery's watch and connections on their way out
CONNECTION_MB = 0.02  # what a connection takes of us and of our tasks, measured
FEW, FEW_MB = 16, 1.0  # as many connections, and as much for bodies, are had in whatever room
BEAT = SECOND // 4  # between looks at our own lag and at idle links
SLACK = 50 * MILLISECOND  # what sockets are given on top of each limit of the rules
COMING = SECOND // 2  # after SIGTERM: for so long new connections still come
LONGEST = 3 * SECOND  # what is left to a txn after SIGTERM at the most; SIGKILL comes 0.7 s later
LATER = 350 * MILLISECOND  # of those 0.7 s: what we use for txns that came after SIGTERM
LAST_BYTES = 100 * MILLISECOND  # and for bringing out the last answers
HEARD = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class Dispatcher:
    def __init__(self, told: Birth, ground: Ground) -> None:
        self.ground = ground
        self.discovery: DiscoveryWatch
        self.clock = ground.clock
        self.counters = Counters()
        self.memory_mb = told.memory_mb
        # What the event loop and the log hold already is counted, not guessed.
        free = told.sockets - ground.descriptors() - SPARE
        # So is memory: a part of what is left goes to connections, one to bodies, the rest is for all else.
        spare = max(0.0, 0.9 * told.memory_mb - ground.memory_mb())
        room = Room(
            max(FEW, int(min(free, spare / 3 / CONNECTION_MB))), int(max(FEW_MB, min(1e3, spare / 4)) * 1e6)
        )
        self.workers = Workers(told.reach, free // 4, self.clock, self.counters, ground.stream)
        told.terms.max_open_txns = min(
            told.terms.max_open_txns, min(room.connections, free - free // 4) * 3 // 4
        )
        self.service = ground.service(
            told.terms,
            told.words,
            told.seed,
            self.clock,
            self.workers,
            self.counters,
            lambda: self.discovery.ask(),
        )
        self.discovery = ground.watch(told.discovery, told.index, self.service, self.counters)
        self.service.catch_up = self.discovery.catch_up
        self.service.listed(ListUpdate.REMEMBERED, told.rows)
        try:
            self.front = Front(
                told.listen, free, room, self.service, self.clock, self.counters, ground.stream
            )
        except (OSError, ValueError) as fault:
            from pathsaddle.net.service.place import unhad

            raise unhad(fault, "listen", told.listen, ground.file()) from None
        self.workers.make_room = self.front.spare_descriptor
        self.fellows = ground.fellows(self.counters)
        self._stop = asyncio.Event()

    async def run(self) -> None:
        # From here on a second SIGTERM changes nothing, and a SIGHUP is heard as long as txns are open.
        events = asyncio.get_running_loop()
        events.add_signal_handler(signal.SIGTERM, self._stop.set)
        events.add_signal_handler(signal.SIGINT, self._stop.set)
        events.add_signal_handler(signal.SIGUSR1, self.report)
        events.add_signal_handler(signal.SIGHUP, self.reread)
        if self.fellows is not None:
            self.fellows.begin()  # first: where its control address can't be had, we never said that we serve
        logbook.serving()
        beginning = events.create_task(self.service.begin())
        watching = events.create_task(self._look_after())
        await self._stop.wait()
        await self._finish()
        watching.cancel()
        beginning.cancel()
        await self.service.finish()
        if self.fellows is not None:
            self.fellows.end()
        self.report()

    async def _finish(self) -> None:
        logbook.stopping(unanswered=len(self.service.ledger.unanswered()))
        if self.fellows is not None:
            self.fellows.leave()
        schemes = (*self.service.words.schemes.values(), *self.service.ledger.schemes())
        longest = min(LONGEST, max((scheme.expiry for scheme in schemes), default=LONGEST))
        begun = self.clock.now()
        by = begun + longest + LATER
        self.service.stop(by)
        # Clients go on with the connections they have, and nobody else may be there for them: closed at once,
        # four in ten txns of a zone with one dispatcher failed until the next was ready.
        while self.clock.now() < begun + longest and (
            self.clock.now() < begun + COMING or self.front.in_use()
        ):
            await asyncio.sleep(seconds(LAST_BYTES) / 5)
        self.front.stopping = True
        # Workers' callbacks may still want a new connection; clients' are closed as they come to rest.
        while not self.front.quiet() and self.clock.now() < by:
            await asyncio.sleep(seconds(LAST_BYTES) / 5)
        await self.front.shut()
        # Whoever waited in the kernel's queue is answered, and no more than that: nothing is begun any more.
        self.service.stop(min(by, self.clock.now()))
        while not self.front.quiet() and self.clock.now() < by + LAST_BYTES:
            await asyncio.sleep(seconds(LAST_BYTES) / 5)
        logbook.stopped(unanswered=len(self.service.ledger.unanswered()))
        self.discovery.stop("stopping")
        for connection in list(self.front.connections):
            connection.end("stopping")
        for worker in self.service.known:
            self.workers.links.drop_idle(worker, "stopping")

    async def _look_after(self) -> None:
        while True:
            due = self.clock.now() + BEAT
            await asyncio.sleep(seconds(BEAT))
            lag = self.clock.now() - due
            self.counters.most("lag_ms_most", lag / MILLISECOND)
            if lag > SLACK:
                logbook.late(ms=lag // MILLISECOND)
            self.workers.links.sweep(self.clock.now())
            self.front.sweep()
            self.counters.most("links_most", self.workers.links.count)
            memory = self.ground.memory_mb()
            self.counters.most("memory_mb_most", memory)
            if memory > 0.9 * self.memory_mb:
                logbook.memory(mb=memory, most=self.memory_mb)

    def reread(self) -> None:
        """Of a file that was replaced only discovery's address is taken over: nothing else can change under
        what is open. One that can't be read leaves all as it is.
        """
        self.counters.add("reread")
        try:
            address = self.ground.moved()
        except Error as fault:
            self.counters.add("reread.failed")
            logbook.not_reread(why=" / ".join(str(fault).splitlines()))
            return
        logbook.reread(discovery=address)
        self.discovery.move(address)

    def report(self) -> None:
        logbook.counters(counters=self.counters.text())


async def serve(ground: Ground) -> None:
    dispatcher = Dispatcher(birth(ground.told()), ground)
    gc.collect()
    gc.freeze()  # what is made at start stays: no later collection walks it
    await dispatcher.run()


def run(ground: Ground) -> None:
    """One dispatcher in the foreground, until it is told to end."""
    # Until there is a file in use there is none to read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        uvloop.run(serve(ground))
    finally:
        # Nobody hears them any more, and the interpreter's end puts back the default of each that has a handler: that
        # would end us with the signal's code. Not blocked: the event loop's threads would take them.
        for told in HEARD:
            signal.signal(told, signal.SIG_IGN)


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logbook.open_log()
    if WHERE not in os.environ:
        logbook.untold(variable=WHERE)
        return 2
    try:
        run(Ground())
    except Error as fault:
        logbook.refused(name=fault.name, what=fault.what, do=fault.do)
        return fault.code
    return 0
