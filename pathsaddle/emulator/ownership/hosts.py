"""Simulated machines: a clock that may be off, a process that may be paused and killed, an acceptor's disk.

`simulation.py` makes the hosts and carries what they send; the cores that they run are the program's own.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any, Protocol

from pathsaddle.consensus.acceptor import Acceptor
from pathsaddle.consensus.campaign import NEVER
from pathsaddle.consensus.events import LeaseEvent
from pathsaddle.consensus.lease_manager import LeaseManager
from pathsaddle.consensus.messages import FencingToken, Incarnation, Message, Outgoing, Ticks
from pathsaddle.consensus.stored_state import DiskWrite, StoredState
from pathsaddle.scheduler_types import SECOND

DEFAULT_SYNC_TICKS = 5
MAX_INBOX_MESSAGES = 4096
DISK_RETRY_TICKS = SECOND  # until an acceptor whose disk was full starts again
STOP_PACES = 3  # from SIGTERM to the end of the process
COMMIT_PROBABILITY = 0.1  # of each look of a lease holder
READ_PROBABILITY = 0.02  # of each look of another member
EFFECT_DELAY_TICKS = (1, 3)  # between the look at a lease and the effect's first byte
INCARNATIONS_PER_TICK = 64
MAX_CLOCK_OFFSET_TICKS = 1 << 30


@dataclass
class Disk(StoredState):
    """What of an acceptor is synced.

    Attributes:
        sync_ticks: How long a sync takes.
        is_full: Whether a sync fails.
    """

    is_intact: bool = True
    sync_ticks: Ticks = DEFAULT_SYNC_TICKS
    is_full: bool = False

    def copy(self) -> Disk:
        """Return a copy that does not change with this one."""
        return Disk(
            dict(self.keys),
            dict(self.peer_incarnations),
            self.incarnation,
            is_intact=self.is_intact,
            sync_ticks=self.sync_ticks,
        )


@dataclass(frozen=True)
class Sync:
    """A turn whose writes are on their way to the disk."""

    writes: list[DiskWrite]
    messages: list[Outgoing]


@dataclass(frozen=True)
class Packet:
    """A message under way, with what its envelope tells."""

    sender: str
    receiver: str
    incarnation: Incarnation
    known_incarnations: dict[str, Incarnation]
    message: Message


class HostEnvironment(Protocol):
    """What hosts ask of the simulation that they are in; `simulation.py` says what each is."""

    rng: Random
    now: Ticks
    lease_ticks: Ticks
    work_interval_ticks: Ticks
    acceptors: list[str]
    keys: list[str]
    stores: list[str]
    syncs: int
    answer_before_sync: bool
    release_before_stop: bool

    def call_at(self, moment: Ticks, action: Callable[[], None]) -> None:
        """Act at a moment of true time."""

    def send(self, host: Host, outgoing: list[Outgoing]) -> None:
        """Send a host's messages."""

    def delays(self, sender: str, receiver: str) -> list[Ticks]:
        """Draw the delays of all copies of one packet."""

    def receive_effect(self, store: str, key: str, fencing_token: FencingToken, sender: str) -> None:
        """Let an effect reach a store."""

    def log(self, what: str, who: str, **members: Any) -> None:
        """Add an event to the log."""

    def on_lease_event(self, host: MemberHost, event: LeaseEvent) -> None:
        """Log what happened in a host's lease manager."""


class Host:
    """A machine with a process.

    Attributes:
        clock_rate: How fast its clock runs.
        is_up: Whether the process runs.
        paused_until: Until when it is paused, in true time.
        starts: How often the process started.
    """

    def __init__(self, simulation: HostEnvironment, name: str, clock_rate: float) -> None:
        self.simulation, self.name, self.clock_rate = simulation, name, clock_rate
        self.clock_offset = simulation.rng.randrange(MAX_CLOCK_OFFSET_TICKS)
        self.is_up, self.paused_until, self.starts = True, 0, 0

    def now(self) -> Ticks:
        """Return what its clock shows."""
        return int(self.simulation.now * self.clock_rate) + self.clock_offset

    def true_time(self, moment: Ticks) -> Ticks:
        """Return when its clock shows a moment."""
        return -int(-(moment - self.clock_offset) / self.clock_rate // 1)

    def call_later(self, ticks: Ticks, action: Callable[[], None]) -> None:
        """Act after a time by its own clock; never if the process has ended, later if it is paused."""
        start = self.starts

        def run() -> None:
            """Act, unless the process has ended or is paused."""
            if not self.is_up or start != self.starts:
                return
            if self.simulation.now < self.paused_until:
                self.simulation.call_at(self.paused_until, run)
            else:
                action()

        self.simulation.call_at(self.simulation.now + max(1, int(ticks / self.clock_rate) + 1), run)

    def call_at_local(self, moment: Ticks, action: Callable[[], None]) -> None:
        """Act when its own clock shows a moment."""
        self.call_later(max(1, moment - self.now()), action)

    def envelope_incarnation(self) -> Incarnation:
        """Return the incarnation that its envelopes state; 0: it is no acceptor."""
        return 0

    def known_incarnations(self) -> Mapping[str, Incarnation]:
        """Return the incarnations that its envelopes tell."""
        return {}

    def start(self) -> None:
        """Start the process."""
        raise NotImplementedError

    def kill(self) -> None:
        """End the process at once."""
        raise NotImplementedError

    def receive(self, packet: Packet) -> None:
        """Take in a message."""
        raise NotImplementedError


class AcceptorHost(Host):
    """A host with an acceptor and its disk."""

    def __init__(self, simulation: HostEnvironment, name: str, clock_rate: float) -> None:
        super().__init__(simulation, name, clock_rate)
        self.disk = Disk()
        self.inbox: list[Packet] = []
        self.sync: Sync | None = None
        self.start()

    def start(self) -> None:
        """Start the process from its disk."""
        self.is_up, self.starts = True, self.starts + 1
        self.inbox, self.sync = [], None
        incarnation = max(self.disk.incarnation + 1, self.simulation.now)
        self.acceptor = Acceptor(self.name, self.simulation.acceptors, self.disk, incarnation, self.now())
        self.wake()

    def start_if_down(self) -> None:
        """Start the process unless it runs."""
        if not self.is_up:
            self.start()

    def envelope_incarnation(self) -> Incarnation:
        """Return the acceptor's incarnation."""
        return self.acceptor.incarnation

    def known_incarnations(self) -> Mapping[str, Incarnation]:
        """Return the incarnations that the acceptor knows."""
        return self.acceptor.incarnations

    def wake(self) -> None:
        """Let the acceptor look at the time."""
        self.acceptor.wake(self.now())
        self.flush()
        if not self.acceptor.is_participating:
            self.call_at_local(self.acceptor.next_wakeup(), self.wake)

    def receive(self, packet: Packet) -> None:
        """Put a message into the inbox."""
        if len(self.inbox) < MAX_INBOX_MESSAGES:
            self.inbox.append(packet)
        if self.sync is None:
            self.run_turn()

    def run_turn(self) -> None:
        """Let the acceptor take what waits."""
        inbox, self.inbox = self.inbox, []
        was_participating = self.acceptor.is_participating
        for packet in inbox:
            self.acceptor.learn_incarnations(packet.known_incarnations, self.now())
            self.acceptor.on_message(packet.sender, packet.message, self.now())
        self.flush()
        if was_participating and not self.acceptor.is_participating:
            self.wake()

    def flush(self) -> None:
        """Write and send what the acceptor wants, unless its disk is writing."""
        acceptor = self.acceptor
        if self.sync is not None:
            return
        writes, acceptor.writes = acceptor.writes, []
        messages, acceptor.messages = acceptor.messages, []
        if not writes:
            self.simulation.send(self, messages)
            return
        self.sync = Sync(writes, messages)
        if self.simulation.answer_before_sync:
            self.simulation.send(self, messages)
        self.call_later(self.disk.sync_ticks, self.on_synced)

    def on_synced(self) -> None:
        """Send what waited for the disk."""
        assert self.sync is not None
        sync, self.sync = self.sync, None
        if self.disk.is_full:
            self.kill()
            self.simulation.call_at(self.simulation.now + DISK_RETRY_TICKS, self.start_if_down)
            return
        for write in sync.writes:
            self.disk.apply(write)
        self.simulation.syncs += 1
        if not self.simulation.answer_before_sync:
            self.simulation.send(self, sync.messages)
        if self.inbox or self.acceptor.writes:
            self.run_turn()

    def kill(self) -> None:
        """End the process at once; of what was not synced, any part may be on disk."""
        if not self.is_up:
            return
        self.is_up = False
        if self.sync is not None:
            writes = self.sync.writes
            for write in writes[: self.simulation.rng.randrange(len(writes) + 1)]:
                self.disk.apply(write)
            self.sync = None


class MemberHost(Host):
    """A host that campaigns for all keys.

    While it holds a lease it acts: it looks at its lease, and a while later its effect is on its way.
    """

    def __init__(self, simulation: HostEnvironment, name: str, clock_rate: float, is_preferred: bool) -> None:
        super().__init__(simulation, name, clock_rate)
        self.is_preferred = is_preferred
        self.start()

    def start(self) -> None:
        """Start the process with a new incarnation."""
        self.is_up, self.starts = True, self.starts + 1
        self.alarm = 0
        simulation = self.simulation
        self.lease_manager = LeaseManager(
            self.name,
            simulation.now * INCARNATIONS_PER_TICK + self.starts,
            simulation.acceptors,
            simulation.lease_ticks,
            simulation.rng,
        )
        self.lease_manager.record_history()
        for key in simulation.keys:
            self.lease_manager.campaign(key, self.now(), self.is_preferred)
        self.wake()
        if simulation.work_interval_ticks:
            self.call_later(simulation.rng.randrange(1, simulation.work_interval_ticks), self.work)

    def known_incarnations(self) -> Mapping[str, Incarnation]:
        """Return the incarnations that the lease manager knows."""
        return self.lease_manager.known_incarnations

    def wake(self) -> None:
        """Let the lease manager look at the time."""
        self.lease_manager.wake(self.now())
        self.flush()

    def flush(self) -> None:
        """Log and send what the lease manager wants, and set its alarm."""
        manager = self.lease_manager
        for event in manager.take_events():
            self.simulation.on_lease_event(self, event)
        self.simulation.send(self, manager.take_messages())
        next_wakeup = manager.next_wakeup()
        if next_wakeup < NEVER:
            self.alarm += 1
            alarm = self.alarm

            def ring() -> None:
                """Wake, unless a later alarm was set."""
                if alarm == self.alarm:
                    self.wake()

            self.call_at_local(next_wakeup, ring)

    def receive(self, packet: Packet) -> None:
        """Hand a message to the lease manager."""
        self.lease_manager.learn_incarnations(packet.known_incarnations)
        self.lease_manager.on_message(packet.sender, packet.incarnation, packet.message, self.now())
        self.flush()

    def work(self) -> None:
        """Act, commit and read, for each key as the lease allows."""
        simulation, manager = self.simulation, self.lease_manager
        for key in simulation.keys:
            fencing_token = manager.fencing_token(key, self.now())
            if fencing_token:
                simulation.log("act", self.name, key=key, number=fencing_token)
                # What lies between the look and the byte: little, or as long as the process is paused.
                delay = simulation.rng.randrange(*EFFECT_DELAY_TICKS)
                self.call_later(delay, partial(self.send_effect, key, fencing_token))
                if simulation.rng.random() < COMMIT_PROBABILITY:
                    manager.commit(key, b"%d" % simulation.now, self.now())
            elif simulation.rng.random() < READ_PROBABILITY:
                request_id = manager.read(key, self.now())
                if request_id:
                    operation_id = f"{self.name}/{manager.incarnation}/{request_id}"
                    simulation.log("reg.call", self.name, op=operation_id, key=key, kind="read")
        self.flush()
        self.call_later(simulation.work_interval_ticks, self.work)

    def send_effect(self, key: str, fencing_token: FencingToken) -> None:
        """Send an effect to each store."""
        simulation = self.simulation
        for store in simulation.stores:
            for delay in simulation.delays(self.name, store):
                receive = partial(simulation.receive_effect, store, key, fencing_token, self.name)
                simulation.call_at(simulation.now + delay, receive)

    def kill(self) -> None:
        """End the process at once."""
        if self.is_up:
            self.is_up = False
            self.simulation.log("member.ended", self.name, why="killed")

    def terminate(self) -> None:
        """SIGTERM: release all leases, repeat that for a while, end."""
        simulation, manager = self.simulation, self.lease_manager
        if not self.is_up or simulation.now < self.paused_until:
            return
        if simulation.release_before_stop:
            for key in manager.held_keys(self.now()):
                simulation.send(self, manager.campaigns[key].proposer.stop().messages)
            self.flush()
        else:
            manager.stop(self.now())
            self.flush()
        self.call_later(STOP_PACES * manager.pace, self.kill)
