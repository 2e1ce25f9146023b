"""The thin driver of a gate: its moments, and its records by the layer that carries what members share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from pathsaddle.fleet.overload.admission_gate import OverloadGate
from pathsaddle.fleet.udp_driver import MembershipDriver
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.trade import SECOND

TOPIC = "load"
TELLS = SECOND // 2  # rarer among many, so that what all tell stays the same


class ShedLevelDriver:
    """One process's gate in its fleet. `before`: called before each of its moments, to tell it what was seen;
    `after` it, with the level as it stands.
    """

    def __init__(
        self,
        fellows: MembershipDriver,
        gate: OverloadGate,
        before: Callable[[], None],
        after: Callable[[], None],
    ) -> None:
        assert fellows.shared is not None, "a charter with [fleet.budgets] has shared state"
        self.fellows, self.shared, self.gate = fellows, fellows.shared, gate
        self.before, self.after = before, after
        self.tell_due = 0
        self._alarm: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        self._events = asyncio.get_running_loop()
        self._wake()

    def end(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()

    def _wake(self) -> None:
        now = self.fellows.clock.now()
        due = now + TELLS
        try:
            due = self.fellows.meter.runs("level", lambda: self._moment(now))
        except Exception as fault:  # noqa: BLE001
            # a defect of ours, whatever it is: the gate goes by its own part meanwhile
            self.fellows.counters.add("fleet.fault")
            logbook.fault_level(fault, why=f"{type(fault).__name__} {fault}")
        self._alarm = self._events.call_later(max(0.0, seconds(due - now)), self._wake)

    def _moment(self, now: int) -> int:
        self.before()
        rows = (
            (shown.member, shown.life, shown.version, shown.body, (shown.least, shown.most))
            for shown in self.shared.carry.records(TOPIC, now)
        )
        self.gate.hears(rows, now)
        due = self.gate.wake(now)
        self.after()
        if now >= self.tell_due:
            self.tell_due = now + max(TELLS, TELLS * self.gate.ways.members // 64)
            self.shared.carry.put(TOPIC, self.gate.word(now), now)
        return due
