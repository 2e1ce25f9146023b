"""Start and stop of a dispatcher: reading its configuration, building its parts, and shutting it down."""

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
from pathsaddle.net.service.front import ClientLimits, Front
from pathsaddle.net.service.ground import Environment
from pathsaddle.net.service.workers import Workers
from pathsaddle.net.wire.birth import WHERE, StartConfig, birth
from pathsaddle.scheduler_types import MILLISECOND, SECOND, ListUpdate

SPARE_DESCRIPTORS = 12  # for the listener, an accept, the discovery watch, and sockets that are being closed
CONNECTION_MB = 0.02  # memory of one connection, its tasks included
# Granted however little room there is.
MIN_CONNECTIONS, MIN_BODY_MB, MIN_HEAD_MB, MIN_CLOSED_IDS_MB = 16, 1.0, 0.5, 0.25
SWEEP_INTERVAL = SECOND // 4  # between checks of the event loop's lag, of idle connections and of memory
LAG_WARNING_THRESHOLD = 50 * MILLISECOND  # each time limit is 50 ms longer on real sockets
COMING = SECOND // 2  # how long after SIGTERM clients are expected to open new connections
MAX_DRAIN_TIME = 3 * SECOND  # after SIGTERM, for open txns; SIGKILL follows 0.7 s after its end
LATE_TXN_TIME = 350 * MILLISECOND  # of those 0.7 s: for txns that arrive after SIGTERM
FLUSH_TIME = 100 * MILLISECOND  # of those 0.7 s: for writing the last answers
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)


class Dispatcher:
    """One dispatcher process: its client side, its worker connections and its watch on discovery.

    Attributes:
        environment: Clock, sockets and configuration file.
        discovery: The watch on discovery's worker list.
        clock: The process's clock.
        counters: The process's counters.
        memory_mb: The memory limit.
        workers: The connections to workers.
        service: Decides txns.
        front: The listener and the clients' connections.
        fellows: The part in a fleet of dispatchers; None without one.
    """

    def __init__(self, config: StartConfig, environment: Environment) -> None:
        self.environment = environment
        self.discovery: DiscoveryWatch
        self.clock = environment.clock
        self.counters = Counters()
        self.memory_mb = config.memory_mb
        # Descriptors that the event loop and the log have open already are counted as used.
        free = config.sockets - environment.descriptors() - SPARE_DESCRIPTORS
        # Of the free memory, a third is for connections, a quarter for bodies, an eighth for heads, which may
        # take twice that (`ClientLimits.head_share`), a sixteenth for the ids of closed txns, and the rest
        # for all else.
        free_mb = max(0.0, 0.9 * config.memory_mb - environment.memory_mb())
        limits = ClientLimits(
            max(MIN_CONNECTIONS, int(min(free, free_mb / 3 / CONNECTION_MB))),
            int(max(MIN_BODY_MB, min(1e3, free_mb / 4)) * 1e6),
            int(max(MIN_HEAD_MB, min(1e3, free_mb / 8)) * 1e6),
        )
        self.workers = Workers(config.timeouts, free // 4, self.clock, self.counters, environment.stream)
        config.scheduler.max_open_txns = min(
            config.scheduler.max_open_txns, min(limits.connections, free - free // 4) * 3 // 4
        )
        self.service = environment.service(
            config.scheduler,
            config.decoder,
            config.seed,
            self.clock,
            self.workers,
            self.counters,
            lambda: self.discovery.call_discovery(),
        )
        self.service.ledger.closed_ids.max_bytes = int(max(MIN_CLOSED_IDS_MB, min(1e3, free_mb) / 16) * 1e6)
        self.discovery = environment.watch(config.discovery, config.list_index, self.service, self.counters)
        self.service.catch_up = self.discovery.catch_up
        self.service.listed(ListUpdate.CACHED, config.list_rows)
        try:
            self.front = Front(
                config.listen, free, limits, self.service, self.clock, self.counters, environment.stream
            )
        except (OSError, ValueError) as fault:
            from pathsaddle.net.service.place import bind_error

            raise bind_error(fault, "listen", config.listen, environment.file()) from None
        self.workers.free_descriptor = self.front.ensure_free_descriptor
        self.fellows = environment.fellows(self.counters)
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down."""
        # From here on a second SIGTERM changes nothing, and SIGHUP is handled as long as txns are open.
        events = asyncio.get_running_loop()
        events.add_signal_handler(signal.SIGTERM, self._stop.set)
        events.add_signal_handler(signal.SIGINT, self._stop.set)
        events.add_signal_handler(signal.SIGUSR1, self.report)
        events.add_signal_handler(signal.SIGHUP, self.reread)
        if self.fellows is not None:
            self.fellows.begin()  # before "serving" is logged: it raises if it can't bind its control address
        logbook.serving()
        startup = events.create_task(self.service.begin())
        maintenance = events.create_task(self._run_maintenance())
        await self._stop.wait()
        await self._finish()
        maintenance.cancel()
        startup.cancel()
        await self.service.finish()
        if self.fellows is not None:
            self.fellows.end()
        self.report()

    async def _finish(self) -> None:
        logbook.stopping(unanswered=len(self.service.ledger.unanswered_entries()))
        if self.fellows is not None:
            self.fellows.leave()
        schemes = (*self.service.words.schemes.values(), *self.service.ledger.open_schemes())
        drain_time = min(MAX_DRAIN_TIME, max((scheme.expiry for scheme in schemes), default=MAX_DRAIN_TIME))
        started_at = self.clock.now()
        deadline = started_at + drain_time + LATE_TXN_TIME
        self.service.stop(deadline)
        # Clients go on using their open connections, and there may be no other dispatcher for them. In an
        # earlier version, which closed these connections at once, 4 in 10 txns of a zone with one dispatcher
        # failed until the next dispatcher started.
        while self.clock.now() < started_at + drain_time and (
            self.clock.now() < started_at + COMING or self.front.is_in_use()
        ):
            await asyncio.sleep(seconds(FLUSH_TIME) / 5)
        self.front.is_stopping = True
        # Workers' callbacks may still need a new connection; clients' connections are closed once idle.
        while not self.front.close_idle_connections() and self.clock.now() < deadline:
            await asyncio.sleep(seconds(FLUSH_TIME) / 5)
        await self.front.close_listener()
        # Connections that waited in the kernel's accept queue get an answer; no posting starts any more.
        self.service.stop(min(deadline, self.clock.now()))
        while not self.front.close_idle_connections() and self.clock.now() < deadline + FLUSH_TIME:
            await asyncio.sleep(seconds(FLUSH_TIME) / 5)
        logbook.stopped(unanswered=len(self.service.ledger.unanswered_entries()))
        self.discovery.stop("stopping")
        for connection in list(self.front.connections):
            connection.end("stopping")
        for worker in self.service.known:
            self.workers.links.close_idle(worker, "stopping")

    async def _run_maintenance(self) -> None:
        while True:
            due = self.clock.now() + SWEEP_INTERVAL
            await asyncio.sleep(seconds(SWEEP_INTERVAL))
            lag = self.clock.now() - due
            self.counters.most("lag_ms_most", lag / MILLISECOND)
            if lag > LAG_WARNING_THRESHOLD:
                logbook.late(ms=lag // MILLISECOND)
            self.workers.links.close_expired(self.clock.now())
            self.front.sweep()
            self.counters.most("links_most", self.workers.links.count)
            memory = self.environment.memory_mb()
            self.counters.most("memory_mb_most", memory)
            if memory > 0.9 * self.memory_mb:
                logbook.memory(mb=memory, most=self.memory_mb)

    def reread(self) -> None:
        """Read the configuration file again, and take over discovery's address from it.

        Nothing else can change while txns are open. A file that can't be read changes nothing.
        """
        self.counters.add("reread")
        try:
            address = self.environment.moved()
        except Error as fault:
            self.counters.add("reread.failed")
            logbook.not_reread(why=" / ".join(str(fault).splitlines()))
            return
        logbook.reread(discovery=address)
        self.discovery.move(address)

    def report(self) -> None:
        """Log the counters."""
        logbook.counters(counters=self.counters.text())


async def serve(environment: Environment) -> None:
    """Start a dispatcher and serve until it is signalled to end.

    Raises:
        Error: The configuration can't be used.
    """
    dispatcher = Dispatcher(birth(environment.told()), environment)
    gc.collect()
    gc.freeze()  # objects made at start live as long as the process: later collections skip them
    await dispatcher.run()


def run(environment: Environment) -> None:
    """Run one dispatcher in the foreground until it is signalled to end.

    Raises:
        Error: The configuration can't be used.
    """
    # SIGHUP asks to read the configuration file again. Until one is in use, there is nothing to read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        uvloop.run(serve(environment))
    finally:
        # The event loop no longer handles these signals, and the interpreter restores the default action of
        # each signal that has a handler as it exits: a late signal would then kill the process and set its
        # exit code. Blocking them would not help, because the event loop's threads would receive them.
        for signal_number in HANDLED_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)


def main() -> int:
    """Run a dispatcher that $GW_CONFIG configures; return the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    logbook.open_log()
    if WHERE not in os.environ:
        logbook.untold(variable=WHERE)
        return 2
    try:
        run(Environment())
    except Error as fault:
        logbook.refused(name=fault.name, what=fault.what, do=fault.do)
        return fault.code
    return 0
