"""The thin driver around a config server's or subscriber's core.

It has one socket, one timer, and a directory on a thread of its own.

What a core made goes out once its writes are on disk, in order; only then a subscriber acts by it. A fault
inside a core is caught here and logged by name, and the core is made anew from its disk, as after a crash:
what it had in memory beyond the disk was said to nobody. A disk that can't be written ends the driver:
nothing of that output is said, and what the process acted by stays. `subscriber_driver.py` and
`server_driver.py` are the two drivers; whoever starts one decides where its log goes.
"""

from __future__ import annotations

import asyncio
import time
import traceback
from collections import deque
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from random import Random
from typing import Any, Generic, NamedTuple, TypeVar

from pathsaddle.consensus.udp_driver import monotonic_ticks
from pathsaddle.control_metrics import NullMeter
from pathsaddle.errors import Error
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.net.service.place import bind_error
from pathsaddle.net.wire.terms import Peer, parse_peer
from pathsaddle.settings.active_settings import ActiveSettings
from pathsaddle.settings.control_endpoint import ControlEndpoint
from pathsaddle.settings.control_messages import Answer, Request
from pathsaddle.settings.datagrams import DatagramRejectedError, decode, encode
from pathsaddle.settings.disk import SettingsDirectory
from pathsaddle.settings.driver_config import DriverConfig, bind_socket
from pathsaddle.settings.errors import NoQuorumError, StorageError, ValidationError
from pathsaddle.settings.events import Event
from pathsaddle.settings.messages import MAX_DATAGRAM_BYTES, Message
from pathsaddle.settings.output import Output
from pathsaddle.settings.server import ConfigServer
from pathsaddle.settings.subscriber import ConfigSubscriber
from pathsaddle.settings.sync_peer import PeerConfig
from pathsaddle.settings.timing import SECOND

MAX_DATAGRAMS_PER_TURN = 64
MAX_QUEUED_OUTPUTS = (
    2048  # that wait for the disk; datagrams beyond are dropped, as any network may drop them
)
RESTART_DELAY_TICKS = SECOND  # until a core that faulted is made anew
MAX_TRACE_CHARS = 2000  # of a defect's trace in the log

C = TypeVar("C", ConfigSubscriber, ConfigServer)
# Logs an event: its name, then its fields as keywords.
LogEvent = Callable[..., None]


class _QueuedOutput(NamedTuple):
    """What a core made, and by what its process acts once that is on disk."""

    output: Output
    acting: ActiveSettings


class SettingsDriver(Generic[C]):
    """The base of both drivers.

    It is longer than other classes: core, disk, socket and timer follow one order, which stands here in
    one place.

    Attributes:
        core: None after a defect until it is made anew, and after the end.
        meter: Of control traffic and its cost; whoever starts the driver may set another.
        rejected: Datagrams that were not used, by reason.
        ended: Set when the driver ended by itself.
        fault: By which it ended.
    """

    def __init__(self, config: DriverConfig, rng: Random, log: LogEvent) -> None:
        """Reads the directory, makes the core and binds the socket.

        Args:
            config: What it is told.
            rng: All that the core draws comes from it.
            log: Gets each event.

        Raises:
            StorageError: The directory can't be read, or is not as it was written.
            Error: The address can't be had (net/service/place.py).
        """
        self.config, self.rng, self.log = config, rng, log
        self.directory = SettingsDirectory(config.directory, config.name, config.location)
        self.incarnation = self.directory.next_incarnation(time.time_ns() // 1_000_000)
        self.rate_limiter = RateLimiter(
            config.max_bytes_per_second, config.max_datagrams_per_second, monotonic_ticks()
        )
        self.addresses: dict[str, Peer] = {
            name: parse_peer(address) for name, address in config.servers.items()
        }
        self.core: C | None = self._make_core()
        self.sock = bind_socket(config)
        self.disk_thread = ThreadPoolExecutor(1, "settings")
        self.queue: deque[_QueuedOutput] = deque()
        self.is_syncing = False
        self.rejected: dict[str, int] = {}
        self.ended = asyncio.Event()
        self.fault: Error | None = None
        self.meter = NullMeter()
        self.control = ControlEndpoint(self)
        self._loop: asyncio.AbstractEventLoop
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def begin(self) -> None:
        """Begins to take datagrams and requests; raises Error where the control address can't be had."""
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self.sock.fileno(), self._on_readable)
        if self.config.control:
            host, port = parse_peer(self.config.control)[:2]
            try:
                await self.control.start(host, port)
            except OSError as fault:
                table, _, file = self.config.location.partition(" in ")
                raise bind_error(fault, f"{table}.control", self.config.control, file) from None
        self.turn(lambda core, now: core.wake(now))

    async def end(self) -> None:
        """Waits for what the disk is at; sends nothing more."""
        self.core = None
        self._cancel_timer()
        self.control.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._loop.remove_reader(self.sock.fileno())
        self.sock.close()
        await self._loop.run_in_executor(None, self.disk_thread.shutdown)
        self.directory.close()

    # What the two drivers do differently

    def _make_core(self) -> C:
        """Makes the core by what the directory has."""
        raise NotImplementedError

    def _acting_by(self, core: C) -> ActiveSettings:
        """By what the process acts once the core's writes are on disk."""
        return ActiveSettings()

    def _act(self, acting: ActiveSettings) -> None:
        """Acts by settings that are on disk now; whatever it raises ends the driver."""

    def _after_turn(self, core: C) -> None:
        """Does whatever else a turn of the core may ask for."""

    def _notify_waiters(self) -> None:
        """Looks whether something has come true for which somebody waits."""

    def _accepts(self, message: Message, source: Peer) -> bool:
        """Whether the message's sender is known, or becomes so by it."""
        return message.sender in self.config.servers

    @property
    def request_kinds(self) -> tuple[str, ...]:
        """The requests that it answers at its control address."""
        raise NotImplementedError

    async def answer(self, request: Request) -> Answer:
        """Answers a request at the control address; raises Error."""
        raise NotImplementedError

    def check_available(self) -> None:
        """Raises NoQuorumError where there is no core."""
        if self.core is None:
            raise NoQuorumError(
                f"{self.config.name} has ended, or is made anew after a fault of ours",
                f"look in the log of {self.config.name}, and ask again, or another",
            )

    def _peer_config(self, servers: tuple[str, ...]) -> PeerConfig:
        config = self.config
        return PeerConfig(config.name, config.region, self.incarnation, servers, config.lease_ticks)

    # Turns: a call into the core, then the disk, then datagrams

    def turn(self, call: Callable[[C, int], int]) -> None:
        """Calls into the core, and carries out what it made.

        Args:
            call: Gets the core and the time in ticks, and returns when `wake` is due.
        """
        core = self.core
        if core is None:
            return
        try:
            due = call(core, monotonic_ticks())
            output, acting = core.take_output(), self._acting_by(core)
        except Exception as fault:  # noqa: BLE001  # whatever it is, as a crash
            self._on_core_fault(fault)
            return
        self._set_timer(due)
        if output.writes or output.messages or output.events:
            self.queue.append(_QueuedOutput(output, acting))
            self._drain()
        self._after_turn(core)

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a task that is cancelled at the end."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, due: int) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(max(1, due - monotonic_ticks()) / SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self.meter.runs("settings", lambda: self.turn(lambda core, now: core.wake(now)))

    def _drain(self) -> None:
        while self.queue and not self.is_syncing:
            if self.queue[0].output.writes:
                batch, self.queue = list(self.queue), deque()
                self.is_syncing = True
                self.start_task(self._write(batch))
            else:
                self._carry_out(*self.queue.popleft())

    async def _write(self, batch: list[_QueuedOutput]) -> None:
        writes = [write for queued in batch for write in queued.output.writes]
        try:
            await self._loop.run_in_executor(self.disk_thread, self.directory.write, writes)
        except Exception as fault:  # noqa: BLE001  # its own, or a defect of ours: the same
            error = StorageError(
                f"{self.config.directory}: {type(fault).__name__}: {fault}",
                "report the trace in the log",
            )
            self._die(fault if isinstance(fault, Error) else error, fault)
            return
        finally:
            self.is_syncing = False
        self.meter.runs("settings", lambda: self._on_written(batch))

    def _on_written(self, batch: list[_QueuedOutput]) -> None:
        for queued in batch:
            self._carry_out(*queued)
        self._drain()

    def _carry_out(self, output: Output, acting: ActiveSettings) -> None:
        """Acts, logs and sends; the output's writes are on disk.

        It acts before it says so: a server that hears of it may prove the revision active.
        """
        if self.ended.is_set():
            return
        try:
            self._act(acting)
        except Exception as fault:  # noqa: BLE001  # of who listens
            # What is not in service must not be said to be: silence, and servers name it as the one they
            # wait for.
            self._die(
                ValidationError(
                    f"revision {acting.revision} could not be taken into service: "
                    f"{type(fault).__name__}: {fault}",
                    f"report the trace at driver.fault in the log of {self.config.name}, and restart it",
                ),
                fault,
            )
            return
        for event in output.events:
            try:
                self._log_event(event)
            except Exception as fault:  # noqa: BLE001  # this line alone
                self.report_fault(fault)
        now = monotonic_ticks()
        for recipient, message in output.messages:
            self._send(recipient, message, now)
        self._notify_waiters()

    def _send(self, recipient: str, message: Message, now: int) -> None:
        address = self.addresses.get(recipient)
        if address is None:
            return
        try:
            data = encode(message, self.config.key)
            self.sock.sendto(data, address)
            self.meter.went("settings", len(data))
        except OSError:  # as any network may lose it
            self._count_rejected("unsent", now)
        except Exception as fault:  # noqa: BLE001  # this datagram alone
            self.report_fault(fault)

    def _log_event(self, event: Event) -> None:
        self.log(event.log_name, **event.log_fields())

    # What goes wrong

    def report_fault(self, fault: BaseException) -> None:
        """Logs a defect of ours with its trace."""
        trace = "".join(traceback.format_exception(fault))[-MAX_TRACE_CHARS:]
        self.log("driver.fault", why=f"{type(fault).__name__}: {fault}", trace=trace)

    def _on_core_fault(self, fault: BaseException) -> None:
        """As a crash: what is in memory beyond the disk is forgotten."""
        self.report_fault(fault)
        self.core = None
        self.queue.clear()
        self._restart_later()
        self._notify_waiters()

    def _restart_later(self) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(RESTART_DELAY_TICKS / SECOND, self._restart)

    def _restart(self) -> None:
        if self.is_syncing:
            self._restart_later()
            return
        try:
            self.directory.load()
            self.incarnation = self.directory.next_incarnation(self.incarnation + 1)
            self.core = self._make_core()
        except Error as fault:
            self._die(fault, fault)
            return
        self.log("mended", life=self.incarnation)
        self.turn(lambda core, now: core.wake(now))

    def _die(self, error: Error, cause: BaseException) -> None:
        self.core, self.fault = None, error
        self.queue.clear()
        self._cancel_timer()
        self.report_fault(cause)
        self.log("ended", why=str(error))
        self.ended.set()
        self._notify_waiters()

    # Datagrams

    def _on_readable(self) -> None:
        self.meter.runs("settings", self._receive)

    def _receive(self) -> None:
        """By a reader: a datagram's source is wanted, and uvloop has no `sock_recvfrom`."""
        try:
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                data, source = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
                self.meter.came("settings", len(data))
                try:
                    message = decode(data, self.config.key)
                except DatagramRejectedError as why:
                    self._count_rejected(str(why), monotonic_ticks())
                    continue
                if len(self.queue) < MAX_QUEUED_OUTPUTS and self._accepts(message, source):
                    self.on_message(message)
        except BlockingIOError:
            pass
        except OSError:  # such as a peer's port that nobody has
            self._count_rejected("socket", monotonic_ticks())

    def on_message(self, message: Message) -> None:
        """Hands a message of an accepted sender to the core."""
        self.turn(lambda core, now: core.on_message(message, now))

    def _count_rejected(self, reason: str, now: int) -> None:
        """Counts; anybody can send what is rejected, so there is a line only when the count has doubled."""
        self.rejected[reason] = count = self.rejected.get(reason, 0) + 1
        if count & (count - 1) == 0:
            self.log("datagrams", why=reason, count=count)
