"""Measures what control traffic costs a configured dispatcher, and compares it with the budget.

`config/dispatcher.py` makes it where `control.meter` is on; the platform's program has none of it. Measured
here is what `net` does for control. Membership, gossip, quotas, leases, settings and the spec are measured in
their own drivers.

Left out, since measuring it would cost more than it does: the look at the watch before each attempt, and
reading the answer of a worker probe off its connection.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Coroutine, Mapping
from enum import StrEnum
from typing import Any

from pathsaddle.config.schema import Control
from pathsaddle.control_metrics import PURPOSES, ControlMeter, Purpose
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.pump import CountingSocket, SocketFactory
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire.forms import MessageDecoder
from pathsaddle.net.wire.http import ClientProtocol, Message
from pathsaddle.net.wire.terms import Peer
from pathsaddle.scheduler_types import LoadReport, Worker

# In seconds: over so long the mean of processor time is compared with the budget, and so far apart are two
# lines of one kind.
MINUTE = 60
STATUS_LINE_BYTES = len("HTTP/1.1 200 OK\r\n\r\n")  # of a probe's answer: its reason phrase isn't kept
HEADER_OVERHEAD_BYTES = len(": \r\n")
NANOSECONDS = 1e9  # in a second
MAX_NAMED_PURPOSES = 3  # that a line names as those that took most


class BudgetItem(StrEnum):
    """What may be over budget; the value is a part of a counter's name, `control.over.*`."""

    CORE = "core"
    RECEIVED = "received"
    SENT = "sent"


LAST_SECOND_INDEX = {BudgetItem.RECEIVED: 1, BudgetItem.SENT: 2}  # of `PurposeCost.last`


class MeteredStream:
    """Opens the sockets of one client, one after the other, and measures their bytes.

    Attributes:
        meter: What measures.
    """

    def __init__(self, meter: ControlMeter, open_stream: SocketFactory) -> None:
        """Opens nothing yet; `open_stream` opens a TCP socket to an address."""
        self.meter, self._open_stream = meter, open_stream
        self._socket: CountingSocket | None = None
        self._received_bytes = self._sent_bytes = 0  # of the present socket, as far as they are in the meter

    def open(self, address: str) -> tuple[CountingSocket, Peer]:
        """Opens the next socket, as `net` asks for one."""
        self.count_bytes()  # what the socket before has transferred since
        self._socket, peer = self._open_stream(address)
        self._received_bytes = self._sent_bytes = 0
        return self._socket, peer

    def count_bytes(self) -> None:
        """Adds to the meter what the socket has transferred since the last call."""
        if self._socket is None:
            return
        received, sent = self._socket.received_bytes, self._socket.sent_bytes
        if (received, sent) != (self._received_bytes, self._sent_bytes):
            new_received, new_sent = received - self._received_bytes, sent - self._sent_bytes
            self._received_bytes, self._sent_bytes = received, sent
            self.meter.came("list", new_received)
            self.meter.went("list", new_sent)


class MeteredWatch(DiscoveryWatch):
    """The watch on the endpoint list, with its processor time and bytes measured.

    Measured is each step of its reader, from the socket's bytes to what the decisions do with them.
    """

    def __init__(
        self, stream: MeteredStream, address: str, index: int, service: TxnService, counters: Counters
    ) -> None:
        """Begins no connection yet.

        Args:
            stream: Opens the sockets, and measures.
            address: Of discovery, host:port.
            index: The index of the list that is known already.
            service: What is given the changes of the list.
            counters: The process's counters.
        """
        super().__init__(address, index, service, counters, stream.open)
        self._stream = stream

    async def _follow(self) -> None:
        await self._stream.meter.steps("list", super()._follow(), self._stream.count_bytes)


class MeteredWords(MessageDecoder):
    """Reads the wire's names; measures the reading of load reports and the bytes of probes' answers."""

    meter: ControlMeter

    @classmethod
    def of(cls, words: MessageDecoder, meter: ControlMeter) -> MeteredWords:
        """Makes a measured reader of the same names."""
        metered = cls.__new__(cls)
        metered.__dict__.update(words.__dict__)
        metered.meter = meter
        return metered

    def report(self, load: Any) -> LoadReport | None:
        """Reads a worker's load report, wherever it stood."""
        self.meter.came("reports", len(load if isinstance(load, str) else str(load)))
        return self.meter.runs("reports", lambda: MessageDecoder.decode_report(self, load))

    def extract_report(self, answer: Message) -> LoadReport | None:
        """Reads the load report in an answer; that of a probe counts with all its bytes."""
        if self.meter.within("looks"):
            headers_bytes = sum(
                len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in answer.raw_headers
            )
            self.meter.came("looks", STATUS_LINE_BYTES + len(answer.body) + headers_bytes)
        return super().extract_report(answer)


class DispatcherMetering:
    """One dispatcher's meter, the budget for control, and what the control address answers about both.

    Attributes:
        budget: The table `[control]`; another one applies from the next second on.
        meter: What measures.
    """

    def __init__(self, budget: Control, counters: Counters, memory_mb: Callable[[], float]) -> None:
        """Begins the first second and minute.

        Args:
            budget: The table `[control]`.
            counters: The process's counters.
            memory_mb: The process's own memory, in megabytes.
        """
        self.budget, self.counters, self.memory_mb = budget, counters, memory_mb
        self.meter = ControlMeter()
        self.meter.second_ended = self._on_second_ended
        self._memory_at_start_mb = memory_mb()
        # By purpose, what is in the counters: microseconds of processor time, bytes received, bytes sent.
        self._counted: dict[Purpose, tuple[int, int, int]] = dict.fromkeys(PURPOSES, (0, 0, 0))
        self._minute_start = 0  # the second at which the running minute began
        self._minute_start_ns = dict.fromkeys(PURPOSES, 0)  # processor time by then
        self._last_line: dict[BudgetItem, int] = {}  # the second of the last line about it

    def meter_log(self) -> None:
        """Measures the writing of each line of the log."""
        logbook.METERED[:] = [lambda write: self.meter.runs("log", write)]

    def write_log_line(self, line: str) -> None:
        """Writes a line of the log to standard error, and counts its characters."""
        self.meter.went("log", len(line))
        sys.stderr.write(line)
        sys.stderr.flush()

    def meter_worker_probes(self, service: TxnService) -> None:
        """Measures each probe of a worker, and the bytes of its request."""
        probe, workers, request = service.looks, service.workers, ClientProtocol()

        def metered_probe(worker: Worker) -> Coroutine[Any, Any, None]:
            """The probe of one worker, measured."""
            host = workers.addresses.get(worker.tag, "")
            self.meter.went("looks", len(request.send_request("GET", service.look_target, host, [])))
            return self.meter.steps("looks", probe(worker))

        service.looks = metered_probe

    def view(self) -> dict[str, Any]:
        """What the control address answers about the cost of control, as JSON."""
        return {
            **self.meter.view(),
            "memory_mb": round(self.memory_mb(), 1),
            "memory_mb_at_start": round(self._memory_at_start_mb, 1),
            "budget": {"core": self.budget.core, "bytes": self.budget.bytes},
        }

    def _on_second_ended(self) -> None:
        self._update_counters()
        self._check_bytes(BudgetItem.RECEIVED)
        self._check_bytes(BudgetItem.SENT)
        if self.meter.second >= self._minute_start + MINUTE:
            self._check_core()

    def _update_counters(self) -> None:
        for purpose, cost in self.meter.spent.items():
            now, before = (cost.ns // 1000, cost.got, cost.said), self._counted[purpose]
            self._counted[purpose] = now
            for name, total, counted in zip(("us", "in", "out"), now, before, strict=True):
                if total != counted:
                    self.counters.add(f"control.{purpose}.{name}", total - counted)

    def _check_bytes(self, item: BudgetItem) -> None:
        """Compares the bytes of the last whole second with the budget."""
        index, limit = LAST_SECOND_INDEX[item], self.budget.bytes
        if limit is None:
            return
        transferred = self.meter.all.last[index]
        if transferred > limit:
            by_purpose = {purpose: cost.last[index] for purpose, cost in self.meter.bound()}
            self._report_over(item, f"{transferred} bytes {item} in one second of {limit}", by_purpose)

    def _check_core(self) -> None:
        """Compares the processor time of the minute that has ended with the budget; begins the next one."""
        spent_ns = {purpose: cost.ns - self._minute_start_ns[purpose] for purpose, cost in self.meter.bound()}
        core = sum(spent_ns.values()) / NANOSECONDS / (self.meter.second - self._minute_start)
        self._minute_start = self.meter.second
        self._minute_start_ns = {purpose: cost.ns for purpose, cost in self.meter.spent.items()}
        limit = self.budget.core
        if limit is not None and core > limit:
            self._report_over(BudgetItem.CORE, f"{core:.4f} of a core over a minute of {limit:g}", spent_ns)

    def _report_over(self, item: BudgetItem, how: str, by_purpose: Mapping[Purpose, int]) -> None:
        """Counts that something was over budget; once a minute, logs it with the purposes that took most."""
        self.counters.add(f"control.over.{item}")
        if self.meter.second >= self._last_line.get(item, -MINUTE) + MINUTE:
            self._last_line[item] = self.meter.second
            purposes = sorted(
                (purpose for purpose, size in by_purpose.items() if size),
                key=lambda purpose: -by_purpose[purpose],
            )
            logbook.control_over(how=how, most=", ".join(purposes[:MAX_NAMED_PURPOSES]))
