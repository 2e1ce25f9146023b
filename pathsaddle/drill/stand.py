"""The server for the bench: many dispatchers in one process, each with its own transport, on two streams.

A batch is MARK, events, GO; the reply is one line per action, then END. Instances share nothing: each has its
own driver, workers and txns.
"""

from __future__ import annotations

import json
import traceback
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from pathsaddle.drill import codec
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.terms import TICK, limit, passed
from pathsaddle.scheduler_driver import SchedulerDriver
from pathsaddle.scheduler_types import Posting, Txn, Worker

WAKE = "wake"


class SchedulerCallError(Exception):
    """The scheduler raised an exception on a well-formed line."""


def call_scheduler(function: Callable[..., Any], *arguments: Any) -> Any:
    """Call into the scheduler.

    Raises:
        SchedulerCallError: the call raised an exception; the message has its cause and place.
    """
    try:
        return function(*arguments)
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        raise SchedulerCallError(
            f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
        ) from error


class DispatcherInstance:
    """One dispatcher's transport to the wire, which maps the wire's ids to objects."""

    def __init__(self, number: str, seed: int, settings: str, now: int) -> None:
        self.number = number
        self.actions: list[str] = []
        parsed = json.loads(settings)
        self.config = terms.terms(parsed)
        self.report_columns = terms.report_fields(parsed)
        self.workers: dict[str, Worker] = {}
        self.txns: dict[str, Txn] = {}
        self.driver = call_scheduler(SchedulerDriver, self, self.config, seed, now)

    # The scheduler's transport.

    def post(self, posting: Posting, timeout_ticks: int) -> None:
        """Send a posting to its worker."""
        timeout_ns = timeout_ticks * TICK
        self.actions.append(f"HAND_OFF {self.number} {posting.txn.tag} {timeout_ns} {posting.worker.tag}")

    def cancel(self, posting: Posting) -> None:
        """Cancel a posting."""
        self.actions.append(f"CANCEL {self.number} {posting.txn.tag} {posting.number}")

    def decline(self, txn: Txn, retry_after_ticks: int, try_elsewhere: bool) -> None:
        """Answer the client that the txn was not run and may be retried."""
        self.actions.append(f"PUSH_BACK {self.number} {txn.tag} {retry_after_ticks * TICK}")

    def reverse(self, txn: Txn) -> None:
        """Answer the client that the txn failed."""
        self.actions.append(f"FINISH_ERROR {self.number} {txn.tag}")

    def probe(self, worker: Worker) -> None:
        """Ask a worker for a load report."""
        self.actions.append(f"SAMPLE {self.number} {worker.tag}")

    def subscribe(self) -> None:
        """Call for the worker list."""
        self.actions.append(f"TAIL {self.number} 1")

    def wake(self, delay_ticks: int) -> None:
        """Call back after that delay."""
        self.actions.append(f"SLEEP {self.number} {delay_ticks * TICK} {WAKE}")

    def note(self, text: str) -> None:
        """Write a line to the log."""
        self.actions.append(f"PRINT {self.number} {text}")

    # Events from the wire.

    def on_ask(self, parts: list[str]) -> None:
        """Start a new txn."""
        _, _, tag, scheme, billing, entity, ttl, hint, width, memory, _ = parts
        now = self.driver.now
        customers = self.config.customers
        customer = int(codec.parse_optional(billing) or 0)
        options = int(codec.parse_optional(parts[10]) or 0)
        work_ns = codec.parse_optional(hint)
        memory_size = codec.parse_optional(memory)
        txn = Txn(
            tag,
            self.config.schemes[int(scheme)],
            customers[customer] if customer < len(customers) else None,
            now,
            now + limit(int(ttl)),
            hint=max(1, passed(int(work_ns))) if work_ns is not None and int(work_ns) > 0 else None,
            slots=float(codec.parse_optional(width) or 1),
            memory=float(memory_size) if memory_size is not None else None,
            key=codec.parse_optional(entity),
            is_retry=bool(options & 2),
        )
        self.txns[tag] = txn
        call_scheduler(self.driver.start_txn, txn)

    def on_settled(self, parts: list[str]) -> None:
        """Record the outcome of a posting."""
        _, _, tag, spent_ns, closes, _, _, number, outcome, report = parts
        txn = self.txns.get(tag)
        posting = txn.postings[int(number)] if txn is not None and int(number) < len(txn.postings) else None
        if txn is None or posting is None or not posting.is_in_flight:
            raise codec.MalformedLineError("the outcome is of a posting that is not in flight")
        call_scheduler(
            self.driver.on_posting_ended,
            posting,
            codec.OUTCOMES[outcome],
            passed(int(codec.parse_optional(spent_ns) or 0)),
            closes == "1",
            codec.parse_report(report, self.report_columns),
        )
        self._forget(txn)

    def on_hangup(self, parts: list[str]) -> None:
        """Close a txn whose client is gone."""
        txn = self.txns.get(parts[2])
        if txn is not None:
            call_scheduler(self.driver.abandon_txn, txn)
            self._forget(txn)

    def on_notice(self, parts: list[str]) -> None:
        """Record a progress message from a worker."""
        txn = self.txns.get(parts[2])
        if txn is not None and int(parts[3]) < len(txn.postings):
            posting = txn.postings[int(parts[3])]
            if posting.is_in_flight:
                level = codec.parse_optional(parts[6]) if len(parts) > 6 else None
                progress = float(level) if level and parts[5] == "2" else 0.0
                call_scheduler(self.driver.on_progress, posting, parts[5] == "1", progress)

    def on_elapsed(self, parts: list[str]) -> None:
        """Record the wake-up that the driver requested."""
        if parts[2] == WAKE:
            call_scheduler(self.driver.on_wakeup)

    def on_ping_result(self, parts: list[str]) -> None:
        """Record the result of a probe."""
        call_scheduler(
            self.driver.on_probe_result,
            self.workers[parts[2]],
            codec.OUTCOMES[parts[3]],
            passed(int(codec.parse_optional(parts[4]) or 0)),
            codec.parse_report(parts[5] if len(parts) > 5 else "-", self.report_columns),
        )

    def on_backends_changed(self, parts: list[str], rows: list[Worker]) -> None:
        """Apply an update of the worker list."""
        listed = []
        for row in rows:
            known = self.workers.setdefault(row.tag, row)
            if known is not row:
                known.update_from(row)
            listed.append(known)
        call_scheduler(self.driver.on_list_update, codec.LIST_UPDATES[parts[2]], listed)

    def ignore(self, parts: list[str]) -> None:
        """Ignore an event about streams or peers, as no scheme streams here and dispatchers share nothing."""

    def finish_batch(self) -> None:
        """Resume the txns that are due, and forget closed txns once there are many."""
        call_scheduler(self.driver.run_pending)
        if len(self.txns) > 64:
            for txn in [txn for txn in self.txns.values() if txn.is_closed]:
                self._forget(txn)

    def _forget(self, txn: Txn) -> None:
        if txn.is_closed and not any(posting.is_in_flight for posting in txn.postings):
            self.txns.pop(txn.tag, None)


HANDLERS: dict[str, tuple[int, Callable[[DispatcherInstance, list[str]], None]]] = {
    "ASK": (11, DispatcherInstance.on_ask),
    "SETTLED": (10, DispatcherInstance.on_settled),
    "HANGUP": (3, DispatcherInstance.on_hangup),
    "NOTICE": (6, DispatcherInstance.on_notice),
    "ELAPSED": (3, DispatcherInstance.on_elapsed),
    "PING_RESULT": (5, DispatcherInstance.on_ping_result),
    "HEADERS": (6, DispatcherInstance.ignore),
    "NEIGHBOUR_SAYS": (4, DispatcherInstance.ignore),
}


class BenchServer:
    """Reads batches of events for all instances, and writes their actions."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[str, DispatcherInstance] = {}
        self.reply_lines: list[str] = []
        self.now = 0
        # Instances with events in this batch, in the order of their first event, which a set would not keep.
        self.active_instances: dict[str, None] = {}

    def run(self) -> None:
        """Serve batches until the input ends.

        Raises:
            MalformedLineError: a line does not follow the grammar.
        """
        lines = iter(self.source.readline, "")
        for line in lines:
            line = line.rstrip("\n")
            if not line:
                continue
            if not line.startswith("MARK "):
                raise codec.MalformedLineError(f"a batch begins with MARK, not {line[:80]!r}")
            self.run_batch(line, lines)
            self.reply_lines.append("END\n")
            self.sink.write("\n".join(self.reply_lines))
            self.sink.flush()
            self.reply_lines.clear()

    def run_batch(self, mark: str, lines: Iterator[str]) -> None:
        """Handle the events of one batch up to GO, then collect the actions of the instances concerned."""
        try:
            self.now = limit(int(mark.split(" ")[1]))
        except ValueError:
            raise codec.MalformedLineError(f"MARK without a time: {mark[:80]!r}") from None
        self.active_instances.clear()
        for raw in lines:
            line = raw.rstrip("\n")
            if line == "GO":
                break
            if line:
                self.handle_event(line, lines)
        else:
            raise codec.MalformedLineError("input ended inside a batch")
        for number in self.active_instances:
            instance = self.instances.get(number)
            if instance is not None:
                self._guard(number, instance.finish_batch)
                self.reply_lines += instance.actions
                instance.actions.clear()

    def handle_event(self, line: str, lines: Iterator[str]) -> None:
        """Handle one event; `lines` has the rows that may follow its line."""
        name, _, rest = line.partition(" ")
        try:
            if name == "BORN":
                number, seed, settings = rest.split(" ", 2)
                self.active_instances[str(int(number))] = None
                self._guard(number, lambda: self._start_instance(number, int(seed), settings))
            elif name == "EXIT":
                number = rest.split(" ")[0]
                self.instances.pop(number, None)  # its actions of this batch go with it
                self.active_instances.pop(number, None)
            elif name == "BACKENDS_CHANGED":
                parts = line.split(" ")
                rows = []
                for _ in range(int(parts[4]) if len(parts) > 4 and parts[4] != "-" else 0):
                    row = next(lines, "").rstrip("\n").split(" ")
                    if row[0] != "ROW":
                        raise codec.MalformedLineError(f"{row[0]!r} instead of a ROW")
                    rows.append(codec.parse_worker(row))
                if parts[2] not in codec.LIST_UPDATES:
                    raise codec.MalformedLineError(f"unknown kind of list update {parts[2]!r}")
                self._deliver(parts[1], lambda instance: instance.on_backends_changed(parts, rows))
            elif name in HANDLERS:
                min_parts, handler = HANDLERS[name]
                parts = line.split(" ")
                if name == "ASK":
                    parts += ["-"] * (11 - len(parts))
                elif name == "SETTLED":
                    parts += ["-"] * (10 - len(parts))
                if len(parts) < min_parts:
                    raise codec.MalformedLineError(
                        f"{len(parts) - 1} values, at least {min_parts - 1} expected"
                    )
                self._deliver(parts[1], lambda instance: handler(instance, parts))
            else:
                raise codec.MalformedLineError("unknown event name")
        except codec.MalformedLineError as error:
            raise codec.MalformedLineError(f"malformed line {line[:120]!r}: {error}") from None
        except (ValueError, KeyError, IndexError) as error:
            raise codec.MalformedLineError(
                f"malformed line {line[:120]!r}: {type(error).__name__} {error}"
            ) from None

    def _start_instance(self, number: str, seed: int, settings: str) -> None:
        self.instances[number] = DispatcherInstance(number, seed, settings, self.now)

    def _deliver(self, number: str, action: Callable[[DispatcherInstance], None]) -> None:
        instance = self.instances.get(number)
        if instance is None:
            raise codec.MalformedLineError("no such instance was started")
        self.active_instances[number] = None
        instance.driver.set_now(self.now)
        self._guard(number, lambda: action(instance))

    def _guard(self, number: str, action: Callable[[], None]) -> None:
        """Run `action`; report an exception of the scheduler in the reply instead of a wrong reply.

        The bench ends the run when it reads the report.
        """
        try:
            action()
        except SchedulerCallError as error:
            self.reply_lines.append(f"EXCEPTION {number} {error}")
