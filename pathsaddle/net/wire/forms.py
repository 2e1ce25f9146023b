"""The forms of our messages: what a call, a callback or a line of the list says, in the trade's words."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping
from copy import copy
from dataclasses import dataclass
from itertools import count
from typing import Any
from urllib.parse import quote
from zlib import crc32

from pathsaddle.net.wire import terms
from pathsaddle.net.wire.http import Broken, Message
from pathsaddle.scheduler_types import (
    MILLISECOND,
    SECOND,
    Customer,
    ListedState,
    ListUpdate,
    LoadReport,
    Outcome,
    SchedulerConfig,
    Scheme,
    Txn,
    Worker,
)

READY, CALLBACK = b"/ready", b"/callback"
HEALTH, LOAD = b"/health", b"/status/load"
# What belongs to one connection, or what we set ourselves; all else that a client says goes on to the worker.
OWN = (
    b"connection",
    b"content-length",
    b"expect",
    b"host",
    b"keep-alive",
    b"proxy-connection",
    b"req-deadline-ms",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
)
STANDINGS = {"active": ListedState.READY, "leaving": ListedState.DRAINING, "left": ListedState.GONE}
ENDS = {"done": Outcome.SETTLED, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
ID = re.compile(r"[!-~]{1,128}")
FIGURE = re.compile(r"[0-9]{1,12}([.][0-9]{1,9})?")
LONGEST_KEY = 256  # bytes of a key that tell it from others
STARTED, RUNNING = "started", "running"


@dataclass(slots=True)
class Callback:
    tag: str
    worker: str
    name: str  # of its state, for the counters
    outcome: Outcome | None  # of a posting that has ended
    note: bool  # a sign of life of one that has not
    started: bool
    level: float
    result: bytes
    report: LoadReport | None


@dataclass(slots=True)
class Row:
    """A line of the list: a worker, and where this dispatcher reaches it."""

    worker: Worker
    address: str


def figure(text: str) -> float:
    """A figure as the wire writes it; Python would also read nan, inf, 1e99, 1_0 and a sign."""
    if not FIGURE.fullmatch(text):
        raise ValueError(f"{text[:20]!r}")
    return float(text)


def pairs(text: str) -> dict[str, str]:
    """name=value,name=value; what has no value is passed over."""
    return dict(part.strip().split("=", 1) for part in text.split(",") if "=" in part)


def key_of(target: bytes) -> str | None:
    """What the call is about, by its query's `k`; None where it says nothing of it."""
    for part in target.partition(b"?")[2].split(b"&"):
        name, equals, value = part.partition(b"=")
        if name == b"k" and equals and value:
            return value[:LONGEST_KEY].decode("latin-1")
    return None


class Words:
    """The names that the wire uses for what the trade knows as objects and numbers. Other terms make other words
    (`retuned`): whoever holds on to these reads an older call as it was read then.
    """

    def __init__(self, given: dict[str, Any], known: SchedulerConfig) -> None:
        """Raises terms.Amiss: a call goes by these names, and one without or with another's is never reached."""
        told = terms.Told(given, "settings")
        self.schemes: dict[str, Scheme] = dict(zip(self._names(told, "Schemes"), known.schemes))
        self.customers: dict[str, Customer] = dict(zip(self._names(told, "Customers"), known.customers))
        self.zones: dict[str, int] = {name: i for i, name in enumerate(told.names("Azs"))}
        self.machines: dict[str, int] = {name: i for i, name in enumerate(told.names("Kinds"))}
        self._fresh = count(max(len(self.schemes), len(self.customers)))  # of an index no other ever has

    @staticmethod
    def _names(told: terms.Told, key: str) -> list[str]:
        found: dict[str, None] = {}
        for row in told.rows(key):
            name = row.text("Name")
            if not name or name in found:
                raise row.amiss("Name", "a name that no other has")
            found[name] = None
        return list(found)

    def retuned(
        self,
        schemes: Mapping[str, Scheme | None],
        customers: Mapping[str, Customer | None],
        zones: Iterable[str] = (),
    ) -> Words:
        """Words with these by name, new or changed, or gone (None). An index stays with its name until that is gone.

        A changed scheme is another object, so that a txn goes to its end by the one under which it was taken. A
        customer stays the same one, with another quota: of a txn that was taken it says nothing any more.
        """
        made = copy(self)
        made.schemes = dict(self.schemes)
        if any(customer is None or name not in self.customers for name, customer in customers.items()):
            made.customers = dict(self.customers)  # of hundreds: not for each quota that changes
        for name, scheme in schemes.items():
            old = made.schemes.get(name)
            if scheme is None:
                made.schemes.pop(name, None)
            else:
                scheme.index = old.index if old is not None else next(self._fresh)
                made.schemes[name] = scheme
        for name, customer in customers.items():
            known = made.customers.get(name)
            if customer is None:
                made.customers.pop(name, None)
            elif known is not None:
                known.quota_rate, known.traffic_share = customer.quota_rate, customer.traffic_share
            else:
                customer.index = next(self._fresh)
                made.customers[name] = customer
        for name in zones:
            self.zones.setdefault(name, len(self.zones))
        return made

    # From clients.

    def txn(self, call: Message, now: int) -> Txn:
        tag, kind = call.text(b"req-id"), call.text(b"req-kind")
        path = call.target.partition(b"?")[0].lstrip(b"/").partition(b"/")[0].decode("latin-1")
        scheme = self.schemes.get(path)
        customer = self.customers.get(call.text(b"req-owner") or "")
        if not tag or not ID.fullmatch(tag):
            raise Broken(400, "no Req-Id")
        if scheme is None or (kind is not None and kind not in self.schemes):
            raise Broken(404, "no such kind of job")
        if kind is not None and kind != path:
            raise Broken(400, "two kinds of job at once")
        if customer is None and self.customers:
            raise Broken(403, "no such owner")
        try:
            within = call.text(b"req-deadline-ms")
            lasts = scheme.expiry if within is None else int(figure(within) * MILLISECOND)
            cost = figure(call.text(b"req-cost") or "0")
            extra = pairs(call.text(b"req-extra") or "")
            slots, memory = figure(extra.get("slots", "1")), extra.get("memory")
            if lasts > terms.LONGEST or slots <= 0:
                raise ValueError("out of all bounds")
            return Txn(
                tag,
                scheme,
                customer,
                now,
                now + min(lasts, scheme.expiry or lasts),
                hint=max(1, -(-int(cost) // 100)) if cost > 0 else None,
                slots=slots,
                memory=None if memory is None else figure(memory),
                key=key_of(call.target),
                is_retry=call.text(b"req-retry") == "1",
            )
        except ValueError as fault:
            raise Broken(400, f"a figure that is none: {fault}") from None

    # From workers.

    def callback(self, body: bytes) -> Callback:
        try:
            told = json.loads(body)
            result = told.get("result", "")
            if not isinstance(result, str):
                result = json.dumps(result, separators=(",", ":"))
            load, state = told.get("load"), str(told["state"])
            outcome, note = ENDS.get(state), state in (STARTED, RUNNING)
            return Callback(
                str(told["id"]),
                str(told["from"]),
                state if outcome or note else "other",
                outcome,
                note,
                state == STARTED,
                float(told.get("share") or 0.0),
                result.encode("utf-8", "surrogatepass"),
                self.report(load) if load is not None else None,
            )
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as fault:
            raise Broken(400, f"no callback: {type(fault).__name__}") from None

    def report(self, load: Any) -> LoadReport | None:
        """A load report as an object or as name=value text; one that can't be read says nothing.

        Nor does one of zeros alone: a worker asked before its first measurement gives that, and read as full
        it had a calm day begin with half a second of declines.
        """
        if isinstance(load, str):
            load = pairs(load)
        try:
            figures = [(name, float(value)) for name, value in load.items() if value not in (None, "", "-")]
            return terms.report(figures) if any(value for _, value in figures) else None
        except (ValueError, TypeError, AttributeError):
            return None

    def report_in(self, answer: Message) -> LoadReport | None:
        load = answer.text(b"srv-load")
        if load is not None:
            return self.report(load)
        if answer.body.lstrip()[:1] == b"{":
            try:
                told = json.loads(answer.body)
                return self.report(told.get("load", told))
            except ValueError:
                return None
        return self.report(answer.body.decode("latin-1")) if b"=" in answer.body else None

    # From discovery.

    def list_line(self, line: bytes) -> tuple[int, ListUpdate, list[Row]]:
        try:
            told = json.loads(line)
            return self.list(told)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            raise Broken(400, f"no line of the list: {type(fault).__name__}") from None

    def list(self, told: dict[str, Any]) -> tuple[int, ListUpdate, list[Row]]:
        rows = []
        for entry in told.get("endpoints") or []:
            since, name = int(entry.get("since_ms") or 0), str(entry["name"])
            # Nothing new for a worker whose status we can't read; the others' lines still count.
            standing = STANDINGS.get(entry.get("status"), ListedState.DRAINING)
            rows.append(
                Row(
                    Worker(
                        name,
                        self.zones.setdefault(str(entry.get("zone")), len(self.zones)),
                        int(entry.get("group") or 0),
                        self.machines.setdefault(str(entry.get("type")), len(self.machines)),
                        1.0 if (weight := entry.get("weight")) is None else float(weight),
                        since * MILLISECOND if since > 0 else None,
                        standing,
                        crc32(name.encode()),
                    ),
                    str(entry.get("address") or ""),
                )
            )
        return int(told["index"]), ListUpdate.WHOLE if told.get("snapshot") else ListUpdate.CHANGES, rows


# To workers.


def posting_headers(call: Message, within: int) -> list[tuple[bytes, bytes]]:
    """Time left is rounded down: a worker must not hope for longer than we wait."""
    passed_on = [(name, value) for name, value in call.lines if name.lower() not in OWN]
    return [*passed_on, (b"Req-Deadline-Ms", b"%d" % max(1, within // MILLISECOND))]


def withdrawal_target(tag: str) -> bytes:
    return b"/jobs/" + quote(tag, safe="").encode()


def outcome_of(answer: Message) -> Outcome | None:
    """What an answer to a posting says; None: taken, and the rest comes by callback."""
    if answer.status == 202:
        return None
    if answer.status in (503, 504) and answer.headers.get(b"srv-declined") == b"1":
        return Outcome.FULL
    # Of the codes that blame the caller two speak of the moment, not of what was sent.
    blames = 400 <= answer.status < 500 and answer.status not in (408, 429)
    return Outcome.UNUSABLE if blames else Outcome.ERROR


def look_target(reports: bool) -> bytes:
    return LOAD if reports else HEALTH


def look_outcome(answer: Message) -> Outcome:
    if answer.status == 200:
        return Outcome.SETTLED
    return Outcome.FULL if answer.status == 503 else Outcome.ERROR


# To discovery.


def watch_target(index: int) -> bytes:
    return b"/v1/endpoints?stream=1&index=%d" % index


# To clients.


def come_back_header(come_back: int) -> tuple[str, ...]:
    return (f"Retry-After: {come_back / SECOND:.4f}",) if come_back > 0 else ()
