"""The drill stand: hosts many dispatchers, each behind its own door, on one pair of streams.

A batch is MARK, events, GO; the reply is one line per action and END. Instances share nothing here either:
every one has its own loop, its own workers and its own txns.
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


class DecisionFault(Exception):
    """The decisions themselves failed; the line that set them off was well formed."""


def decide(act: Callable[..., Any], *given: Any) -> Any:
    try:
        return act(*given)
    except Exception as fault:
        place = traceback.extract_tb(fault.__traceback__)[-1]
        raise DecisionFault(f"{type(fault).__name__}: {fault} ({place.name}, line {place.lineno})") from fault


class Instance:
    """One dispatcher's door to the wire: it alone knows which id is which object."""

    def __init__(self, number: str, seed: int, settings: str, now: int) -> None:
        self.number = number
        self.out: list[str] = []
        told = json.loads(settings)
        self.terms = terms.terms(told)
        self.fields = terms.report_fields(told)
        self.workers: dict[str, Worker] = {}
        self.txns: dict[str, Txn] = {}
        self.loop = decide(SchedulerDriver, self, self.terms, seed, now)

    # What the loop asks of a door.

    def post(self, posting: Posting, within: int) -> None:
        time = within * TICK
        self.out.append(f"HAND_OFF {self.number} {posting.txn.tag} {time} {posting.worker.tag}")

    def cancel(self, posting: Posting) -> None:
        self.out.append(f"CANCEL {self.number} {posting.txn.tag} {posting.number}")

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        self.out.append(f"PUSH_BACK {self.number} {txn.tag} {come_back * TICK}")

    def reverse(self, txn: Txn) -> None:
        self.out.append(f"FINISH_ERROR {self.number} {txn.tag}")

    def probe(self, worker: Worker) -> None:
        self.out.append(f"SAMPLE {self.number} {worker.tag}")

    def subscribe(self) -> None:
        self.out.append(f"TAIL {self.number} 1")

    def wake(self, delay: int) -> None:
        self.out.append(f"SLEEP {self.number} {delay * TICK} {WAKE}")

    def note(self, text: str) -> None:
        self.out.append(f"PRINT {self.number} {text}")

    # What the wire brings.

    def ask(self, parts: list[str]) -> None:
        _, _, tag, kind, billing, entity, ttl, hint, width, memory, _ = parts
        now = self.loop.now
        customers = self.terms.customers
        payer = int(codec.optional(billing) or 0)
        options = int(codec.optional(parts[10]) or 0)
        work = codec.optional(hint)
        amount = codec.optional(memory)
        txn = Txn(
            tag,
            self.terms.schemes[int(kind)],
            customers[payer] if payer < len(customers) else None,
            now,
            now + limit(int(ttl)),
            hint=max(1, passed(int(work))) if work is not None and int(work) > 0 else None,
            slots=float(codec.optional(width) or 1),
            memory=float(amount) if amount is not None else None,
            key=codec.optional(entity),
            is_retry=bool(options & 2),
        )
        self.txns[tag] = txn
        decide(self.loop.start_txn, txn)

    def settled(self, parts: list[str]) -> None:
        _, _, tag, spent, closes, _, _, number, outcome, row = parts
        txn = self.txns.get(tag)
        posting = txn.postings[int(number)] if txn is not None and int(number) < len(txn.postings) else None
        if txn is None or posting is None or not posting.is_in_flight:
            raise codec.Malformed("an outcome for a posting that is not out")
        decide(
            self.loop.on_posting_ended,
            posting,
            codec.OUTCOMES[outcome],
            passed(int(codec.optional(spent) or 0)),
            closes == "1",
            codec.report(row, self.fields),
        )
        self._forget(txn)

    def hangup(self, parts: list[str]) -> None:
        txn = self.txns.get(parts[2])
        if txn is not None:
            decide(self.loop.abandon_txn, txn)
            self._forget(txn)

    def notice(self, parts: list[str]) -> None:
        txn = self.txns.get(parts[2])
        if txn is not None and int(parts[3]) < len(txn.postings):
            posting = txn.postings[int(parts[3])]
            if posting.is_in_flight:
                level = codec.optional(parts[6]) if len(parts) > 6 else None
                share = float(level) if level and parts[5] == "2" else 0.0
                decide(self.loop.on_progress, posting, parts[5] == "1", share)

    def elapsed(self, parts: list[str]) -> None:
        if parts[2] == WAKE:
            decide(self.loop.on_wakeup)

    def ping_result(self, parts: list[str]) -> None:
        decide(
            self.loop.on_probe_result,
            self.workers[parts[2]],
            codec.OUTCOMES[parts[3]],
            passed(int(codec.optional(parts[4]) or 0)),
            codec.report(parts[5] if len(parts) > 5 else "-", self.fields),
        )

    def list_news(self, parts: list[str], rows: list[Worker]) -> None:
        told = []
        for row in rows:
            known = self.workers.setdefault(row.tag, row)
            if known is not row:
                known.update_from(row)
            told.append(known)
        decide(self.loop.on_list_update, codec.NEWS[parts[2]], told)

    def ignore(self, parts: list[str]) -> None:
        """Streams and peers: no scheme streams here, and dispatchers share nothing."""

    def turn(self) -> None:
        decide(self.loop.run_pending)
        if len(self.txns) > 64:
            for txn in [txn for txn in self.txns.values() if txn.is_closed]:
                self._forget(txn)

    def _forget(self, txn: Txn) -> None:
        if txn.is_closed and not any(posting.is_in_flight for posting in txn.postings):
            self.txns.pop(txn.tag, None)


HANDLERS: dict[str, tuple[int, Callable[[Instance, list[str]], None]]] = {
    "ASK": (11, Instance.ask),
    "SETTLED": (10, Instance.settled),
    "HANGUP": (3, Instance.hangup),
    "NOTICE": (6, Instance.notice),
    "ELAPSED": (3, Instance.elapsed),
    "PING_RESULT": (5, Instance.ping_result),
    "HEADERS": (6, Instance.ignore),
    "NEIGHBOUR_SAYS": (4, Instance.ignore),
}


class Stand:
    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source = source
        self.sink = sink
        self.instances: dict[str, Instance] = {}
        self.out: list[str] = []
        self.now = 0
        self.touched: dict[str, None] = {}  # in order of first event: a dict, since a set has no order

    def run(self) -> None:
        lines = iter(self.source.readline, "")
        for line in lines:
            line = line.rstrip("\n")
            if not line:
                continue
            if not line.startswith("MARK "):
                raise codec.Malformed(f"a batch begins with MARK, not {line[:80]!r}")
            self.batch(line, lines)
            self.out.append("END\n")
            self.sink.write("\n".join(self.out))
            self.sink.flush()
            self.out.clear()

    def batch(self, mark: str, lines: Iterator[str]) -> None:
        try:
            self.now = limit(int(mark.split(" ")[1]))
        except ValueError:
            raise codec.Malformed(f"no clock in {mark[:80]!r}") from None
        self.touched.clear()
        for raw in lines:
            line = raw.rstrip("\n")
            if line == "GO":
                break
            if line:
                self.event(line, lines)
        else:
            raise codec.Malformed("input ended inside a batch")
        for number in self.touched:
            instance = self.instances.get(number)
            if instance is not None:
                self._guard(number, instance.turn)
                self.out += instance.out
                instance.out.clear()

    def event(self, line: str, lines: Iterator[str]) -> None:
        word, _, rest = line.partition(" ")
        try:
            if word == "BORN":
                number, seed, settings = rest.split(" ", 2)
                self.touched[str(int(number))] = None
                self._guard(number, lambda: self._born(number, int(seed), settings))
            elif word == "EXIT":
                number = rest.split(" ")[0]
                self.instances.pop(number, None)  # and with it what it wanted done in this batch
                self.touched.pop(number, None)
            elif word == "BACKENDS_CHANGED":
                parts = line.split(" ")
                rows = []
                for _ in range(int(parts[4]) if len(parts) > 4 and parts[4] != "-" else 0):
                    row = next(lines, "").rstrip("\n").split(" ")
                    if row[0] != "ROW":
                        raise codec.Malformed(f"{row[0]!r} where a ROW was due")
                    rows.append(codec.worker(row))
                if parts[2] not in codec.NEWS:
                    raise codec.Malformed(f"no list news is called {parts[2]!r}")
                self._deliver(parts[1], lambda instance: instance.list_news(parts, rows))
            elif word in HANDLERS:
                fewest, handler = HANDLERS[word]
                parts = line.split(" ")
                if word == "ASK":
                    parts += ["-"] * (11 - len(parts))
                elif word == "SETTLED":
                    parts += ["-"] * (10 - len(parts))
                if len(parts) < fewest:
                    raise codec.Malformed(f"{len(parts) - 1} values, {fewest - 1} due")
                self._deliver(parts[1], lambda instance: handler(instance, parts))
            else:
                raise codec.Malformed("no message has this name")
        except codec.Malformed as fault:
            raise codec.Malformed(f"malformed line {line[:120]!r}: {fault}") from None
        except (ValueError, KeyError, IndexError) as fault:
            raise codec.Malformed(f"malformed line {line[:120]!r}: {type(fault).__name__} {fault}") from None

    def _born(self, number: str, seed: int, settings: str) -> None:
        self.instances[number] = Instance(number, seed, settings, self.now)

    def _deliver(self, number: str, act: Callable[[Instance], None]) -> None:
        instance = self.instances.get(number)
        if instance is None:
            raise codec.Malformed("no such instance has been born")
        self.touched[number] = None
        instance.loop.set_now(self.now)
        self._guard(number, lambda: act(instance))

    def _guard(self, number: str, act: Callable[[], None]) -> None:
        """A fault in the decisions ends the day with its cause, instead of a silent wrong answer."""
        try:
            act()
        except DecisionFault as fault:
            self.out.append(f"EXCEPTION {number} {fault}")
