"""Control's cost where an operator serves: what hangs on the meter, and the budget that it is held against.

The platform's program has none of it. Metered here is what `net` does for control; membership, carrying, shares, owners,
settings and the spec are metered in their own drivers. Left out, since it can't be told from a txn's own cost for less than
itself: the look at the watch before each posting, and reading a look's answer off its connection.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from pathsaddle.config.schema import Control
from pathsaddle.control_metrics import PURPOSES, ControlMeter, Purpose
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.pump import Opening, Tallied
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire.forms import Words
from pathsaddle.net.wire.http import Calling, Message
from pathsaddle.net.wire.terms import Peer
from pathsaddle.trade import Report, Worker

MINUTE = (
    60  # seconds whose mean of processor time is held against the budget, and between two lines of one kind
)
STATUS_LINE = len("HTTP/1.1 200 OK\r\n\r\n")  # of a look's answer: its phrase isn't kept


class MeteredWatch(DiscoveryWatch):
    """The list: each step of its reader, from the socket's bytes to the decisions' own part, and what crosses there."""

    def __init__(
        self,
        meter: ControlMeter,
        address: str,
        index: int,
        service: TxnService,
        counters: Counters,
        opening: Opening,
    ) -> None:
        super().__init__(address, index, service, counters, self._opens)
        self.meter, self._real_opening = meter, opening
        self._sock: Tallied | None = None
        self._counted = (0, 0)

    def _opens(self, address: str) -> tuple[Tallied, Peer]:
        self._tallies()  # what the one before has brought since
        self._sock, peer = self._real_opening(address)
        self._counted = (0, 0)
        return self._sock, peer

    def _tallies(self) -> None:
        if self._sock is not None:
            (got, said), now = self._counted, (self._sock.taken, self._sock.given)
            self._counted = now
            if now != (got, said):
                self.meter.came("list", now[0] - got)
                self.meter.went("list", now[1] - said)

    async def _follow(self) -> None:
        await self.meter.steps("list", super()._follow(), self._tallies)


class MeteredWords(Words):
    """Reports, wherever they come; and the bytes of looks' answers."""

    meter: ControlMeter

    @classmethod
    def of(cls, words: Words, meter: ControlMeter) -> MeteredWords:
        made = cls.__new__(cls)
        made.__dict__.update(words.__dict__)
        made.meter = meter
        return made

    def report(self, load: Any) -> Report | None:
        self.meter.came("reports", len(load if isinstance(load, str) else str(load)))
        return self.meter.runs("reports", lambda: Words.report(self, load))

    def report_in(self, answer: Message) -> Report | None:
        if self.meter.within("looks"):
            self.meter.came(
                "looks",
                STATUS_LINE
                + len(answer.body)
                + sum(len(name) + len(value) + 4 for name, value in answer.lines),
            )
        return super().report_in(answer)


class DispatcherMetering:
    """One dispatcher's meter, its budget, and what others are told of it. `memory_mb`: the process's own."""

    def __init__(self, budget: Control, counters: Counters, memory_mb: Callable[[], float]) -> None:
        self.budget, self.counters, self.memory_mb = budget, counters, memory_mb
        self.meter = ControlMeter()
        self.meter.second_ended = self._second_ended
        self.bare_mb = memory_mb()
        self._counted = dict.fromkeys(PURPOSES, (0, 0, 0))
        self._minute = 0  # the second at which it began
        self._spent_by = dict.fromkeys(PURPOSES, 0)  # processor time by then, ns
        self._said: dict[str, int] = {}  # by what was over: the second of its last line

    def begins(self) -> None:
        logbook.METERED[:] = [lambda write: self.meter.runs("log", write)]

    def writes(self, line: Any) -> None:
        """The log's sink."""
        self.meter.went("log", len(line))
        sys.stderr.write(line)
        sys.stderr.flush()

    def service(self, service: TxnService) -> None:
        look, workers, request = service.looks, service.workers, Calling()

        def looks(worker: Worker) -> Coroutine[Any, Any, None]:
            self.meter.went(
                "looks",
                len(request.ask("GET", service.look_target, workers.addresses.get(worker.tag, ""), [])),
            )
            return self.meter.steps("looks", look(worker))

        service.looks = looks

    def view(self) -> dict[str, Any]:
        return {
            **self.meter.view(),
            "memory_mb": round(self.memory_mb(), 1),
            "memory_mb_at_start": round(self.bare_mb, 1),
            "budget": {"core": self.budget.core, "bytes": self.budget.bytes},
        }

    # Each second.

    def _second_ended(self) -> None:
        for purpose, spent in self.meter.spent.items():
            now, before = (spent.ns // 1000, spent.got, spent.said), self._counted[purpose]
            self._counted[purpose] = now
            for name, count, had in zip(("us", "in", "out"), now, before, strict=True):
                if count != had:
                    self.counters.add(f"control.{purpose}.{name}", count - had)
        for at, way in ((1, "received"), (2, "sent")):
            if self.budget.bytes is not None and (took := self.meter.all.last[at]) > self.budget.bytes:
                self._over(
                    way,
                    f"{took} bytes {way} in one second of {self.budget.bytes}",
                    {purpose: one.last[at] for purpose, one in self.meter.bound()},
                )
        if self.meter.second >= self._minute + MINUTE:
            took_ns = {purpose: one.ns - self._spent_by[purpose] for purpose, one in self.meter.bound()}
            core = sum(took_ns.values()) / 1e9 / (self.meter.second - self._minute)
            self._minute = self.meter.second
            self._spent_by = {purpose: one.ns for purpose, one in self.meter.spent.items()}
            if self.budget.core is not None and core > self.budget.core:
                self._over("core", f"{core:.4f} of a core over a minute of {self.budget.core:g}", took_ns)

    def _over(self, what: str, how: str, parts: Mapping[Purpose, int]) -> None:
        self.counters.add(f"control.over.{what}")
        if self.meter.second >= self._said.get(what, -MINUTE) + MINUTE:
            self._said[what] = self.meter.second
            most = sorted(
                (purpose for purpose, size in parts.items() if size), key=lambda purpose: -parts[purpose]
            )
            logbook.control_over(how=how, most=", ".join(most[:3]))
