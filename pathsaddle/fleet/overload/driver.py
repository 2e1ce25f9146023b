"""The driver of an admission gate: it updates the gate by a timer and publishes its load summary.

It owns the timer and nothing else. A process that takes part in a fleet starts one beside its
`MembershipDriver`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pathsaddle.fleet.overload.admission_gate import OverloadGate
from pathsaddle.fleet.overload.peer_summaries import PeerRecord
from pathsaddle.fleet.udp_driver import MembershipDriver
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.scheduler_types import SECOND

TOPIC = "load"
PUBLISH_INTERVAL_TICKS = SECOND // 2
MEMBERS_AT_FULL_PACE = (
    64  # with more of them each publishes more rarely, so that the bytes of all stay the same
)


class ShedLevelDriver:
    """One process's gate in its fleet.

    Args:
        membership: The driver of the fleet's membership, with shared state.
        gate: The gate.
        before_update: Called before each update, to hand the gate what was seen.
        after_update: Called after each update, with the new level in place.
    """

    def __init__(
        self,
        membership: MembershipDriver,
        gate: OverloadGate,
        before_update: Callable[[], None],
        after_update: Callable[[], None],
    ) -> None:
        assert membership.shared is not None, "a configuration with [fleet.budgets] has shared state"
        self.membership, self.shared, self.gate = membership, membership.shared, gate
        self.before_update, self.after_update = before_update, after_update
        self.publish_due = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Update once and set the timer; called inside the event loop."""
        self._loop = asyncio.get_running_loop()
        self._on_timer()

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_timer(self) -> None:
        now = self.membership.clock.now()
        due = now + PUBLISH_INTERVAL_TICKS
        try:
            due = self.membership.meter.runs("level", lambda: self._update(now))
        except Exception as error:  # noqa: BLE001  # a defect of ours, whatever it is
            # A defect of ours, whatever it is, must not end the timer: the gate goes by its own share
            # meanwhile.
            self.membership.counters.add("fleet.fault")
            logbook.fault_level(error, why=f"{type(error).__name__} {error}")
        self._timer = self._loop.call_later(max(0.0, seconds(due - now)), self._on_timer)

    def _update(self, now: int) -> int:
        self.before_update()
        records = (
            PeerRecord(row.member, row.life, row.version, row.body, row.least, row.most)
            for row in self.shared.carry.records(TOPIC, now)
        )
        self.gate.store_records(records, now)
        due = self.gate.update(now)
        self.after_update()
        if now >= self.publish_due:
            members = self.gate.options.members
            self.publish_due = now + max(
                PUBLISH_INTERVAL_TICKS, PUBLISH_INTERVAL_TICKS * members // MEMBERS_AT_FULL_PACE
            )
            self.shared.carry.put(TOPIC, self.gate.encoded_summary(now), now)
        return due
