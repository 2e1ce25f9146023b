"""Decodes requests, callbacks, load reports and list records into scheduler types, and encodes headers."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterable, Mapping
from copy import copy
from dataclasses import dataclass
from itertools import count
from math import isfinite
from typing import Any
from urllib.parse import quote
from zlib import crc32

from pathsaddle.net.wire import terms
from pathsaddle.net.wire.http import HttpError, Message
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
# Headers that concern one connection only, or that the dispatcher sets itself. All other headers of a
# client's request are forwarded to the worker.
NOT_FORWARDED = (
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
LISTED_STATES = {"active": ListedState.READY, "leaving": ListedState.DRAINING, "left": ListedState.GONE}
OUTCOMES = {"done": Outcome.SETTLED, "failed": Outcome.ERROR, "returned": Outcome.FULL, "lost": Outcome.RESET}
TXN_ID = re.compile(r"[!-~]{1,128}")
NUMBER = re.compile(r"[0-9]{1,12}([.][0-9]{1,9})?")
MAX_KEY_BYTES = 256  # longer affinity keys are cut to this length
STARTED, RUNNING = "started", "running"


@dataclass(slots=True)
class Callback:
    """A message of a worker about a posting: its outcome, or progress."""

    tag: str
    worker: str
    state_name: str  # the name of the state, for the counters
    outcome: Outcome | None  # set if the posting has ended
    is_progress: bool  # a progress message of a posting that has not ended
    has_started: bool  # this message says that the worker has just begun to run the posting
    progress: float  # the part of the work that is done, as the worker reports it
    result: bytes
    report: LoadReport | None


@dataclass(slots=True)
class ListRow:
    """An entry of the worker list: a worker, and the address at which this dispatcher reaches it."""

    worker: Worker
    address: str


def parse_number(text: str) -> float:
    """Parse an unsigned decimal number; raises ValueError for nan, inf, 1e99, 1_0 and a sign."""
    if not NUMBER.fullmatch(text):
        raise ValueError(f"{text[:20]!r}")
    return float(text)


def parse_finite(value: Any) -> float:
    """Return a worker's figure as a number; raises ValueError, TypeError or OverflowError if it is none."""
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"{value!r:.20} is not finite")
    return number


def parse_pairs(text: str) -> dict[str, str]:
    """Parse `name=value,name=value`; parts without a value are ignored."""
    return dict(part.strip().split("=", 1) for part in text.split(",") if "=" in part)


def key_of(target: bytes) -> str | None:
    """Return the affinity key of a request, the query parameter `k`; None if it is missing or empty."""
    for part in target.partition(b"?")[2].split(b"&"):
        name, equals, value = part.partition(b"=")
        if name == b"k" and equals and value:
            return value[:MAX_KEY_BYTES].decode("latin-1")
    return None


class MessageDecoder:
    """Decodes messages by the configured names of schemes, customers, zones and machine kinds.

    A new configuration makes a new instance (`with_changes`); the old one still decodes by the names as they
    were.
    """

    def __init__(self, values: dict[str, Any], config: SchedulerConfig) -> None:
        """Take the names from the settings in `values`, and what they name from `config`.

        Raises:
            terms.InvalidSettingError: A name is missing or not unique, so that no request could use it.
        """
        settings = terms.SettingsSection(values, "settings")
        self.schemes: dict[str, Scheme] = dict(zip(self._names(settings, "Schemes"), config.schemes))
        self.customers: dict[str, Customer] = dict(zip(self._names(settings, "Customers"), config.customers))
        self.zones: dict[str, int] = {name: i for i, name in enumerate(settings.names("Azs"))}
        self.machines: dict[str, int] = {name: i for i, name in enumerate(settings.names("Kinds"))}
        self._new_indexes = count(max(len(self.schemes), len(self.customers)))  # an index is never reused
        # Called with the reason for each load report that cannot be decoded.
        self.on_malformed_report: Callable[[str], None] = lambda reason: None

    @staticmethod
    def _names(settings: terms.SettingsSection, key: str) -> list[str]:
        found: dict[str, None] = {}
        for row in settings.rows(key):
            name = row.text("Name")
            if not name or name in found:
                raise row.invalid("Name", "a unique name")
            found[name] = None
        return list(found)

    def with_changes(
        self,
        schemes: Mapping[str, Scheme | None],
        customers: Mapping[str, Customer | None],
        zones: Iterable[str] = (),
    ) -> MessageDecoder:
        """Return a copy with these schemes and customers added, changed or removed (None), by name.

        A name keeps its index until it is removed. A changed scheme is a new object, so that an accepted txn
        ends under the scheme by which it was accepted. A changed customer keeps its object and gets the new
        quota, which no longer matters to accepted txns.
        """
        updated = copy(self)
        updated.schemes = dict(self.schemes)
        if any(customer is None or name not in self.customers for name, customer in customers.items()):
            updated.customers = dict(self.customers)  # hundreds of entries: no copy if only quotas change
        for name, scheme in schemes.items():
            old = updated.schemes.get(name)
            if scheme is None:
                updated.schemes.pop(name, None)
            else:
                scheme.index = old.index if old is not None else next(self._new_indexes)
                updated.schemes[name] = scheme
        for name, customer in customers.items():
            known = updated.customers.get(name)
            if customer is None:
                updated.customers.pop(name, None)
            elif known is not None:
                known.quota_rate, known.traffic_share = customer.quota_rate, customer.traffic_share
            else:
                customer.index = next(self._new_indexes)
                updated.customers[name] = customer
        for name in zones:
            self.zones.setdefault(name, len(self.zones))
        return updated

    # From clients.

    def decode_txn(self, call: Message, now: int) -> Txn:
        """Decode a client's request.

        Raises:
            HttpError: The request is not a valid txn; `status` is the status to answer with.
        """
        tag, kind = call.text(b"req-id"), call.text(b"req-kind")
        path = call.target.partition(b"?")[0].lstrip(b"/").partition(b"/")[0].decode("latin-1")
        scheme = self.schemes.get(path)
        customer = self.customers.get(call.text(b"req-owner") or "")
        if not tag or not TXN_ID.fullmatch(tag):
            raise HttpError(400, "no Req-Id")
        if scheme is None or (kind is not None and kind not in self.schemes):
            raise HttpError(404, "no such kind of job")
        if kind is not None and kind != path:
            raise HttpError(400, "two kinds of job at once")
        if customer is None and self.customers:
            raise HttpError(403, "no such owner")
        try:
            deadline_ms = call.text(b"req-deadline-ms")
            expiry = scheme.expiry if deadline_ms is None else int(parse_number(deadline_ms) * MILLISECOND)
            cost = parse_number(call.text(b"req-cost") or "0")
            extra = parse_pairs(call.text(b"req-extra") or "")
            slots, memory = parse_number(extra.get("slots", "1")), extra.get("memory")
            if expiry > terms.LONGEST or slots <= 0:
                raise ValueError("out of all bounds")
            return Txn(
                tag,
                scheme,
                customer,
                now,
                now + min(expiry, scheme.expiry or expiry),
                hint=max(1, -(-int(cost) // 100)) if cost > 0 else None,
                slots=slots,
                memory=None if memory is None else parse_number(memory),
                key=key_of(call.target),
                is_retry=call.text(b"req-retry") == "1",
            )
        except ValueError as fault:
            raise HttpError(400, f"a figure that is none: {fault}") from None

    # From workers.

    def decode_callback(self, body: bytes) -> Callback:
        """Decode the body of a worker's callback.

        Raises:
            HttpError: The body is not a valid callback.
        """
        try:
            message = json.loads(body)
            result = message.get("result", "")
            if not isinstance(result, str):
                result = json.dumps(result, separators=(",", ":"))
            load, state = message.get("load"), str(message["state"])
            outcome, is_progress = OUTCOMES.get(state), state in (STARTED, RUNNING)
            return Callback(
                str(message["id"]),
                str(message["from"]),
                state if outcome or is_progress else "other",
                outcome,
                is_progress,
                state == STARTED,
                parse_finite(message.get("share") or 0.0),
                result.encode("utf-8", "surrogatepass"),
                self.decode_report(load) if load is not None else None,
            )
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            OverflowError,
            RecursionError,
        ) as fault:
            raise HttpError(400, f"no callback: {type(fault).__name__}") from None

    def decode_report(self, load: Any) -> LoadReport | None:
        """Decode a load report, an object or name=value text; None if it is malformed or all zeros.

        A worker reports zeros before its first measurement. If they were taken to mean that the worker is
        full, the dispatcher would decline txns for half a second at each start.
        """
        if isinstance(load, str):
            load = parse_pairs(load)
        try:
            values = [
                (name, parse_finite(value)) for name, value in load.items() if value not in (None, "", "-")
            ]
        except (ValueError, TypeError, AttributeError, OverflowError) as fault:
            self.on_malformed_report(str(fault))
            return None
        return terms.report(values) if any(value for _, value in values) else None

    def extract_report(self, answer: Message) -> LoadReport | None:
        """Decode the load report in the `Srv-Load` header or in the body of a worker's answer, if any."""
        load = answer.text(b"srv-load")
        if load is not None:
            return self.decode_report(load)
        if answer.body.lstrip()[:1] == b"{":
            try:
                body = json.loads(answer.body)
            except (ValueError, RecursionError) as fault:
                self.on_malformed_report(type(fault).__name__)
                return None
            return self.decode_report(body.get("load", body))
        return self.decode_report(answer.body.decode("latin-1")) if b"=" in answer.body else None

    # From discovery.

    def decode_list_line(self, line: bytes) -> tuple[int, ListUpdate, list[ListRow]]:
        """Decode a record from the watch, the stream of changes to the worker list.

        Returns:
            The index, the kind and the entries of the record, as `decode_list` returns them.

        Raises:
            HttpError: The record is malformed.
        """
        try:
            record = json.loads(line)
            return self.decode_list(record)
        except (ValueError, KeyError, TypeError, AttributeError) as fault:
            raise HttpError(400, f"malformed list record: {type(fault).__name__}") from None

    def decode_list(self, record: dict[str, Any]) -> tuple[int, ListUpdate, list[ListRow]]:
        """Return the index, the kind and the entries of a list record."""
        rows = []
        for entry in record.get("endpoints") or []:
            since_ms, name = int(entry.get("since_ms") or 0), str(entry["name"])
            # A worker with an unknown status gets no new postings; the other entries stay valid.
            listed_state = LISTED_STATES.get(entry.get("status"), ListedState.DRAINING)
            rows.append(
                ListRow(
                    Worker(
                        name,
                        self.zones.setdefault(str(entry.get("zone")), len(self.zones)),
                        int(entry.get("group") or 0),
                        self.machines.setdefault(str(entry.get("type")), len(self.machines)),
                        1.0 if (weight := entry.get("weight")) is None else float(weight),
                        since_ms * MILLISECOND if since_ms > 0 else None,
                        listed_state,
                        crc32(name.encode()),
                    ),
                    str(entry.get("address") or ""),
                )
            )
        return (
            int(record["index"]),
            ListUpdate.COMPLETE if record.get("snapshot") else ListUpdate.CHANGES,
            rows,
        )


# To workers.


def posting_headers(call: Message, time_left: int) -> list[tuple[bytes, bytes]]:
    """Return the headers of a posting: those of the client to forward, and the time left.

    The time left is rounded down, since a worker must not expect the dispatcher to wait for longer.
    """
    forwarded = [(name, value) for name, value in call.raw_headers if name.lower() not in NOT_FORWARDED]
    return [*forwarded, (b"Req-Deadline-Ms", b"%d" % max(1, time_left // MILLISECOND))]


def cancellation_target(tag: str) -> bytes:
    """Return the request target by which a worker cancels a txn's posting."""
    return b"/jobs/" + quote(tag, safe="").encode()


def outcome_of(answer: Message) -> Outcome | None:
    """Return the outcome that a posting's answer states; None for 202, after which a callback states it."""
    if answer.status == 202:
        return None
    if answer.status in (503, 504) and answer.headers.get(b"srv-declined") == b"1":
        return Outcome.FULL
    # Of the 4xx statuses, 408 and 429 describe a temporary condition and not a fault of the request.
    is_bad_request = 400 <= answer.status < 500 and answer.status not in (408, 429)
    return Outcome.UNUSABLE if is_bad_request else Outcome.ERROR


def probe_target(reports: bool) -> bytes:
    """Return the request target of a probe.

    Args:
        reports: Whether workers answer a probe with a load report.
    """
    return LOAD if reports else HEALTH


def probe_outcome(answer: Message) -> Outcome:
    """Return the outcome that a probe's answer states."""
    if answer.status == 200:
        return Outcome.SETTLED
    return Outcome.FULL if answer.status == 503 else Outcome.ERROR


# To discovery.


def watch_target(index: int) -> bytes:
    """Return the request target of a watch for the list's changes after `index`."""
    return b"/v1/endpoints?stream=1&index=%d" % index


# To clients.


def retry_after_header(retry_after: int) -> tuple[str, ...]:
    """Return the Retry-After header for a delay in ticks, in seconds; none for 0."""
    return (f"Retry-After: {retry_after / SECOND:.4f}",) if retry_after > 0 else ()
