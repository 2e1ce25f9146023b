"""Carries out what the cores of membership want done: disk writes first, then events, then datagrams."""

from __future__ import annotations

from collections.abc import Callable

from pathsaddle.control_metrics import NullMeter
from pathsaddle.errors import why
from pathsaddle.fleet.datagram_socket import DatagramSocket
from pathsaddle.fleet.fault_log import FaultLog
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.membership import Membership, MembershipChange
from pathsaddle.fleet.messages import CARRIED, DEAD, LEFT, STATES
from pathsaddle.fleet.quota.shared_state import SharedState
from pathsaddle.net.service import logbook


class CoreOutput:
    """Stores incarnations, logs and reports changes, and sends datagrams.

    Attributes:
        incarnation: The one that is on disk and told to others.
        on_change: Called with each change, after it was logged.
        is_quiet: No log line for each change.
    """

    def __init__(
        self,
        core: Membership,
        shared: SharedState | None,
        incarnations: IncarnationStore,
        datagrams: DatagramSocket,
        fault_log: FaultLog,
    ) -> None:
        self.core, self.shared = core, shared
        self.incarnations, self.datagrams, self.fault_log = incarnations, datagrams, fault_log
        self.incarnation = core.me.incarnation
        self.on_change: list[Callable[[MembershipChange], None]] = []
        self.is_quiet = False

    def flush(self, meter: NullMeter) -> None:
        """Carries out all that the cores want done so far."""
        meter.runs("membership", lambda: self._flush_cores(meter))

    def _flush_cores(self, meter: NullMeter) -> None:
        core = self.core
        changes = core.take_changes()
        if core.me.incarnation != self.incarnation:
            self._change_incarnation(core.me.incarnation)
        for change in changes:
            self._report(change)
        self.datagrams.send(core.take_datagrams(), "membership", meter)
        shared = self.shared
        if shared is not None:
            meter.runs("carrying", lambda: self._flush_shared(shared, meter))
            if core.is_silent:  # another process has our name, and with it our part of the quotas
                shared.limiter.close()

    def _change_incarnation(self, incarnation: int) -> None:
        self.incarnation = incarnation
        try:
            self.incarnations.keep(incarnation)
        except OSError as error:
            # It is told all the same: a later incarnation that is lower is refuted by members that remember
            # this one.
            logbook.fleet_disk(why=why(error))
        if self.shared is not None:
            self.shared.on_new_incarnation(incarnation, self.fault_log.clock.now())

    def _report(self, change: MembershipChange) -> None:
        """Logs a change and tells it to the shared state and to all listeners."""
        if not self.is_quiet:
            self._log(change)
        if self.shared is not None:
            self._update_peers(self.shared, change)
        for listener in self.on_change:
            try:
                listener(change)
            except Exception as error:  # noqa: BLE001  # a defect of ours, whatever it is
                self.fault_log.report_listener(error, change.name)

    def _log(self, change: MembershipChange) -> None:
        name, incarnation = change.name, change.incarnation
        if name != self.core.me.name:
            logbook.fleet_member(member=name, life=incarnation, why=change.why, now=STATES[change.state])
        elif change.state == LEFT and self.core.is_silent:
            logbook.fleet_doubled(member=name, life=incarnation, why=change.why)
        else:
            logbook.fleet_self(member=name, life=incarnation, why=change.why)

    def _update_peers(self, shared: SharedState, change: MembershipChange) -> None:
        """Tells the shared state who shares: members that are present and decode its datagrams."""
        member = self.core.members.get(change.name)
        if change.state >= DEAD or member is None or not member.is_present:
            shared.on_member_left(change.name, change.incarnation)
        elif member.record.form >= CARRIED:
            record = member.record
            shared.on_member_joined(change.name, record.incarnation, record.address)

    def _flush_shared(self, shared: SharedState, meter: NullMeter) -> None:
        """Sends what the shared state has to say, and logs its notes."""
        shared.say(self.fault_log.clock.now())
        for note in shared.limiter.notes:
            self.fault_log.counters.add(f"fleet.budget.{note.what}")
            if not self.is_quiet:
                logbook.fleet_budget(budget=note.budget, now=note.what, usable=note.usable, why=note.why)
        shared.limiter.notes.clear()
        shared.carry.over.clear()
        datagrams = shared.out[:]
        shared.out.clear()
        self.datagrams.send(datagrams, "carrying", meter)
