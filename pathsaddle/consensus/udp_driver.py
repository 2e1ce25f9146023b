"""The driver of a process's part in the register: one socket, one timer, an acceptor, log lines.

It feeds `LeaseManager` and `AcceptorHost` with datagrams and moments and carries out their output. A defect
inside a core ends neither: it is logged, and the next moment is set all the same. Dispatchers, planners,
config servers and committers each own a `RegisterDriver`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from pathsaddle.consensus.acceptor_host import AcceptorHost, HostCallbacks, Received
from pathsaddle.consensus.clock import monotonic_ticks, next_incarnation
from pathsaddle.consensus.datagram_channel import DatagramChannel, Environment
from pathsaddle.consensus.errors import StorageError
from pathsaddle.consensus.events import (
    CommitOutcomeUnknown,
    Committed,
    LeaseAcquired,
    LeaseEvent,
    LeaseLost,
    OwnLeaseReleased,
    ReadCompleted,
)
from pathsaddle.consensus.lease_manager import LeaseManager
from pathsaddle.consensus.messages import (
    TO_ACCEPTOR,
    Envelope,
    FencingToken,
    Incarnation,
    Outgoing,
    RequestId,
    Revision,
    Value,
)
from pathsaddle.consensus.register_config import RegisterConfig
from pathsaddle.consensus.view import RegisterView, view_of
from pathsaddle.control_metrics import NullMeter
from pathsaddle.errors import access, why
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.scheduler_types import SECOND

__all__ = ["RegisterConfig", "RegisterDriver", "monotonic_ticks"]

MAX_SLEEP_TICKS = SECOND  # after a defect of ours the timer goes on a second later, never silently stops


class RegisterDriver:
    """One process's part: an acceptor, if its name is among them, and a lease manager for its keys.

    Attributes:
        config: What the process was told.
        lease_manager: The lease manager.
        on_event: Called with each event, after it was logged.
    """

    def __init__(
        self, config: RegisterConfig, environment: Environment, rng: Random, counters: Counters
    ) -> None:
        """Store a new incarnation, open the acceptor's log and bind the socket.

        Args:
            config: What the process is told.
            environment: Where its socket comes from.
            rng: The one random generator.
            counters: Count datagrams and disk writes.

        Raises:
            StorageError: The directory cannot be read or written.
            VoterSetMismatchError: The log belongs to other acceptors.
            Error: The address cannot be had (`net/service/place.py`).
        """
        self.config = config
        self.on_event: list[Callable[[LeaseEvent], None]] = []
        incarnation = _store_incarnation(config, rng)
        self.lease_manager = LeaseManager(config.name, incarnation, config.acceptors, config.lease_ticks, rng)
        self.host: AcceptorHost | None = None
        if config.name in config.acceptors:
            callbacks = HostCallbacks(self._send, self._flush, self._wake)
            self.host = AcceptorHost(config, rng, counters, callbacks)
        self.channel = DatagramChannel(config, environment, counters)
        self._meter = NullMeter()
        self._reads: dict[RequestId, asyncio.Future[Value | None]] = {}
        self._commits: dict[tuple[str, Revision], asyncio.Future[bool]] = {}
        self._to_self: list[tuple[Incarnation, Outgoing]] = []
        self._alarm: asyncio.TimerHandle | None = None
        self._loop: asyncio.AbstractEventLoop
        self._is_flushing = False

    @property
    def owner(self) -> LeaseManager:
        """The lease manager under its former name, by which `settings/` and `placement/` reach it."""
        return self.lease_manager

    @property
    def meter(self) -> NullMeter:
        """What counts the processor time and the bytes of this purpose."""
        return self._meter

    @meter.setter
    def meter(self, meter: NullMeter) -> None:
        """Hand the meter on to the socket and the acceptor."""
        self._meter = self.channel.meter = meter
        if self.host is not None:
            self.host.meter = meter

    # What its process asks and wants.

    def fencing_token(self, key: str) -> FencingToken:
        """Return the fencing token for an effect that begins now; 0: none may.

        It is to be asked for just before each effect. Any thread may call it.
        """
        return self.lease_manager.fencing_token(key, monotonic_ticks())

    async def read(self, key: str) -> Value | None:
        """Return what the register holds, proven by a majority; None where there was none in time."""
        request_id = self.lease_manager.read(key, monotonic_ticks())
        if not request_id:
            return None
        done: asyncio.Future[Value | None] = self._loop.create_future()
        self._reads[request_id] = done
        self._flush()
        return await done

    async def put(self, key: str, data: bytes) -> bool:
        """Commit new data of a key that we hold the lease of.

        False: it was not tried, or its outcome is unknown.
        """
        revision = self.lease_manager.commit(key, data, monotonic_ticks())
        if not revision:
            return False
        done: asyncio.Future[bool] = self._loop.create_future()
        self._commits[key, revision] = done
        self._wake()
        return await done

    def begin(self) -> None:
        """Start within the running event loop: campaign for the configured keys, and answer."""
        self._loop = asyncio.get_running_loop()
        now = monotonic_ticks()
        for key, is_preferred in self.config.keys.items():
            self.lease_manager.campaign(key, now, is_preferred)
        self._loop.add_reader(self.channel.fileno(), self._on_readable)
        self._wake()

    def stop(self) -> None:
        """Give all leases back at once; until `end` the release may be sent again."""
        self.lease_manager.stop(monotonic_ticks())
        self._flush()

    def end(self) -> None:
        """Close the socket and end all tasks; whoever waits for a read or a commit is cancelled."""
        if self._alarm is not None:
            self._alarm.cancel()
        self._loop.remove_reader(self.channel.fileno())
        self.channel.close()
        if self.host is not None:
            self.host.close()
        for read in self._reads.values():
            read.cancel()
        for commit in self._commits.values():
            commit.cancel()

    def view(self) -> RegisterView:
        """Return what this process believes."""
        acceptor = self.host.acceptor if self.host is not None else None
        return view_of(self.lease_manager, acceptor, monotonic_ticks())

    # Datagrams and the timer.

    def _on_readable(self) -> None:
        self.meter.runs("owners", self._receive)

    def _receive(self) -> None:
        self.channel.receive(self._on_envelope)
        self._wake()

    def _on_envelope(self, envelope: Envelope, incarnations: dict[str, Incarnation]) -> None:
        self.lease_manager.learn_incarnations(incarnations)
        now = monotonic_ticks()
        for message in envelope.messages:
            if isinstance(message, TO_ACCEPTOR):
                if self.host is not None:
                    self.host.enqueue(Received(envelope.sender, incarnations, message))
            else:
                self.lease_manager.on_message(envelope.sender, envelope.incarnation, message, now)

    def _wake(self) -> None:
        self.meter.runs("owners", self._on_time)

    def _on_time(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        next_wakeup = monotonic_ticks() + MAX_SLEEP_TICKS
        try:
            self.lease_manager.wake(monotonic_ticks())
            if self.host is not None:
                self.host.run_turn()
            self._flush()
            next_wakeup = min(self.lease_manager.next_wakeup(), next_wakeup)
            if self.host is not None:
                next_wakeup = min(self.host.next_wakeup(), next_wakeup)
        except Exception as error:  # noqa: BLE001  # a defect of ours must not stop the timer
            logbook.fault_ownership(error)
        delay_ticks = max(1, next_wakeup - monotonic_ticks())
        self._alarm = self._loop.call_later(delay_ticks / SECOND, self._wake)

    # Output.

    def _flush(self) -> None:
        """Deal with events, then send messages; what this process sends to itself is received at once."""
        if self._is_flushing:
            return
        self._is_flushing = True
        manager = self.lease_manager
        try:
            while manager.has_output() or self._to_self:
                for event in manager.take_events():
                    self._deal_with(event)
                self._send(manager.take_messages(), 0)
                self._receive_from_self()
                if self.host is not None:
                    self.host.run_turn()
        finally:
            self._is_flushing = False

    def _send(self, outgoing: list[Outgoing], incarnation: Incarnation) -> None:
        """Send as the acceptor with this incarnation, or, if it is 0, as the lease manager."""
        name = self.config.name
        self._to_self += [(incarnation, one) for one in outgoing if one.receiver == name]
        known = self.host.known_incarnations() if incarnation and self.host is not None else None
        if known is None:
            known = self.lease_manager.known_incarnations
        self.channel.send([one for one in outgoing if one.receiver != name], incarnation, known)

    def _receive_from_self(self) -> None:
        waiting, self._to_self = self._to_self, []
        for incarnation, (name, message) in waiting:
            if isinstance(message, TO_ACCEPTOR):
                if self.host is not None:
                    self.host.enqueue(Received(name, {}, message))
            else:
                self.lease_manager.on_message(name, incarnation, message, monotonic_ticks())

    def _deal_with(self, event: LeaseEvent) -> None:
        match event:
            case LeaseAcquired():
                logbook.owner(key=event.key, number=event.fencing_token)
            case LeaseLost():
                logbook.owner_lost(key=event.key, number=event.fencing_token, why=event.reason)
            case OwnLeaseReleased():
                logbook.owner_given(key=event.key, number=event.fencing_token, why=event.reason)
            case ReadCompleted():
                read = self._reads.pop(event.request_id, None)
                if read is not None and not read.done():
                    read.set_result(event.value)
            case Committed() | CommitOutcomeUnknown():
                commit = self._commits.pop((event.key, event.revision), None)
                if commit is not None and not commit.done():
                    commit.set_result(isinstance(event, Committed))
        for listener in self.on_event:
            listener(event)


def _store_incarnation(config: RegisterConfig, rng: Random) -> Incarnation:
    """Draw this process's incarnation and store it before it is told to anybody."""
    store = IncarnationStore(config.directory, f"{config.name}.owner")
    try:
        incarnation = next_incarnation(store.last(), rng)
        store.keep(incarnation)
    except OSError as error:
        raise StorageError(
            f"{config.directory}: {why(error)}",
            access(error, config.directory, config.directory) + f", at fleet.owners.folder in {config.file}",
        ) from None
    return incarnation
