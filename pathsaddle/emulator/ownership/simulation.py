"""Acceptors, lease managers and receivers of effects in virtual time: the cores on simulated machines.

A host has a clock that may be off, may be paused and go on, and may be killed; an acceptor has a disk that
keeps what was synced and any part of what was not. What is sent meets cut links by ordered pair, loss,
duplication, and copies that come minutes late. One seed gives one run. The log (`events`) states true time,
since the simulation writes it; `judge.py` and `linear.py` read that log alone.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from pathsaddle.consensus.events import (
    BallotEnded,
    BallotStarted,
    LeaseAcquired,
    LeaseEvent,
    LeaseLost,
    LeaseRenewed,
    OperationKind,
    Outcome,
    OwnLeaseReleased,
    ReadCompleted,
)
from pathsaddle.consensus.fencing import Fence
from pathsaddle.consensus.messages import (
    FencingToken,
    Outgoing,
    Ticks,
    encoded_size,
)
from pathsaddle.emulator.ownership.hosts import AcceptorHost, Host, MemberHost, Packet
from pathsaddle.event_log import EventLog
from pathsaddle.scheduler_types import MILLISECOND, SECOND

LINK_TICKS = 5  # a link's shortest delay
LINK_JITTER_TICKS = 30  # rarely reached: the fourth power of a uniform draw
DUPLICATE_DELAY_TICKS = SECOND
LATE_DELAY_TICKS = 120 * SECOND


@dataclass(frozen=True)
class Layout:
    """Who is there, and how leases and clocks are.

    Attributes:
        members: How many members campaign.
        acceptors: How many acceptors there are.
        keys: How many keys.
        lease_ticks: The length of a lease.
        clock_error: By which part clocks run faster or slower at most.
        work_interval_ticks: Between two looks of a member; 0: members do not act.
        not_preferred: How many of the members are not preferred.
    """

    members: int = 5
    acceptors: int = 3
    keys: int = 1
    lease_ticks: Ticks = SECOND
    clock_error: float = 0.01
    work_interval_ticks: Ticks = 60 * MILLISECOND
    not_preferred: int = 0


class Simulation:
    """One run.

    Attributes:
        now: True time.
        cut_links: Links that lose all, by ordered pair of names.
        link_lags: By how much links are slower, by ordered pair. loss, duplication, late_copies: The parts of
        what is sent that are lost, come twice, come again up to two minutes later.
        max_extra_delay: Up to so much longer each packet takes. answer_before_sync, release_before_stop,
        unfenced_store: What mutants break.
    """

    def __init__(self, seed: int, layout: Layout | None = None) -> None:
        layout = layout or Layout()
        self.rng = Random(seed)
        self.now: Ticks = 0
        self._sequence = 0
        self._queue: list[tuple[Ticks, int, Callable[[], None]]] = []
        self.events = EventLog()
        self.lease_ticks, self.work_interval_ticks = layout.lease_ticks, layout.work_interval_ticks
        self.acceptors = [f"v{i}" for i in range(layout.acceptors)]
        self.keys = [f"k{i}" for i in range(layout.keys)]
        self.stores = ["s0", "s1"]
        self.fences = {store: Fence(is_durable=True) for store in self.stores}
        self.cut_links: dict[tuple[str, str], None] = {}
        self.link_lags: dict[tuple[str, str], Ticks] = {}
        self.loss = self.duplication = self.late_copies = 0.0
        self.max_extra_delay: Ticks = 0
        self.sent = self.sent_bytes = self.syncs = 0
        self.count_bytes = False
        self.answer_before_sync = self.release_before_stop = False
        self.unfenced_store = ""
        error = layout.clock_error

        def draw_rate() -> float:
            """Draw the rate of a clock: often one of the extremes."""
            return 1 + self.rng.choice((-error, error, self.rng.uniform(-error, error)))

        self.hosts: dict[str, AcceptorHost | MemberHost] = {}
        for name in self.acceptors:
            self.hosts[name] = AcceptorHost(self, name, draw_rate())
        for i in range(layout.members):
            self.hosts[f"m{i}"] = MemberHost(self, f"m{i}", draw_rate(), i >= layout.not_preferred)

    # Time.

    def call_at(self, moment: Ticks, action: Callable[[], None]) -> None:
        """Act at a moment of true time."""
        self._sequence += 1
        heapq.heappush(self._queue, (max(moment, self.now), self._sequence, action))

    def run(self, until: Ticks) -> None:
        """Let time pass."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    # The network.

    def delays(self, sender: str, receiver: str) -> list[Ticks]:
        """Draw the delays of all copies of one packet."""
        draw = self.rng.random
        if (sender, receiver) in self.cut_links:
            return []
        is_lost = self.loss and draw() < self.loss
        delays = [] if is_lost else [LINK_TICKS + int(LINK_JITTER_TICKS * draw() ** 4)]
        if delays and (sender, receiver) in self.link_lags:
            delays[0] += self.link_lags[sender, receiver]
        if delays and self.max_extra_delay:
            delays[0] += int(self.max_extra_delay * draw())
        if self.duplication and draw() < self.duplication:
            delays.append(int(DUPLICATE_DELAY_TICKS * draw()))
        if self.late_copies and draw() < self.late_copies:
            delays.append(int(LATE_DELAY_TICKS * draw()))
        return delays

    def send(self, host: Host, outgoing: list[Outgoing]) -> None:
        """Send a host's messages."""
        if not outgoing:
            return
        incarnation, known = host.envelope_incarnation(), dict(host.known_incarnations())
        for receiver, message in outgoing:
            self.sent += 1
            if self.count_bytes:
                self.sent_bytes += encoded_size(message)
            packet = Packet(host.name, receiver, incarnation, known, message)
            for delay in self.delays(host.name, receiver):
                self.call_at(self.now + delay, partial(self.deliver, packet))

    def deliver(self, packet: Packet) -> None:
        """Hand a packet to its receiver: not if that is down, and later if it is paused."""
        host = self.hosts.get(packet.receiver)
        if host is None or not host.is_up:
            return
        if self.now < host.paused_until:
            self.call_at(host.paused_until, partial(self.deliver, packet))
            return
        host.receive(packet)

    def receive_effect(self, store: str, key: str, fencing_token: FencingToken, sender: str) -> None:
        """Let an effect reach a store, which asks its fence."""
        is_admitted = self.fences[store].admit(key, fencing_token).is_admitted
        is_admitted = is_admitted or store == self.unfenced_store
        self.log("effect", store, key=key, number=fencing_token, by=sender, taken=is_admitted)

    # The log.

    def log(self, what: str, who: str, **members: Any) -> None:
        """Add an event to the log; the members are those of docs/histories.md."""
        self.events.add(self.now, what, who=who, **members)

    def on_lease_event(self, host: MemberHost, event: LeaseEvent) -> None:
        """Log what happened in a host's lease manager."""
        match event:
            case LeaseAcquired() | LeaseRenewed():
                self.log(
                    "lease",
                    host.name,
                    key=event.key,
                    number=event.fencing_token,
                    life=host.lease_manager.incarnation,
                    until=host.true_time(event.lease_end),
                    fresh=isinstance(event, LeaseAcquired),
                    **{"from": self.now},
                )
            case LeaseLost() | OwnLeaseReleased():
                self.log(
                    "lease.end",
                    host.name,
                    key=event.key,
                    number=event.fencing_token,
                    life=host.lease_manager.incarnation,
                    why=event.reason,
                )
            case BallotStarted():
                self._log_ballot_started(host, event)
            case BallotEnded():
                self._log_ballot_ended(host, event)
            case ReadCompleted():
                self._log_read(host, event)

    def _log_ballot_started(self, host: MemberHost, event: BallotStarted) -> None:
        members: dict[str, Any] = {"op": event.operation_id, "key": event.key, "kind": event.kind}
        if event.kind != OperationKind.TAKE:
            members["number"] = event.fencing_token
        if event.kind == OperationKind.SET:
            members |= {"value": event.data.decode(), "revision": event.revision}
        self.log("reg.call", host.name, **members)

    def _log_ballot_ended(self, host: MemberHost, event: BallotEnded) -> None:
        members: dict[str, Any] = {"op": event.operation_id, "outcome": event.outcome}
        if event.outcome == Outcome.OK:
            members |= {
                "number": event.fencing_token,
                "owner": host.name,
                "revision": event.revision,
                "value": event.data.decode() or None,
            }
        self.log("reg.end", host.name, **members)

    def _log_read(self, host: MemberHost, event: ReadCompleted) -> None:
        value = event.value
        members: dict[str, Any] = {
            "op": f"{host.name}/{host.lease_manager.incarnation}/{event.request_id}",
            "outcome": Outcome.UNKNOWN if value is None else Outcome.OK,
        }
        if value is not None:
            members |= {
                "number": value.fencing_token,
                "owner": value.holder,
                "revision": value.revision,
                "value": value.data.decode() or None,
                "lapsed": False,
            }
        self.log("reg.end", host.name, **members)
