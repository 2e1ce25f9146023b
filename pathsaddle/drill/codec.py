"""The bench's words and units, and no others' business: lines in, trade types out, and back.

The wire counts nanoseconds; a time that limits us is rounded down and a time that has passed is rounded up,
so that no limit is overstepped.
"""

from __future__ import annotations

import json
from typing import Any
from zlib import crc32

from pathsaddle.trade import (
    Customer,
    Group,
    ListNews,
    Outcome,
    Report,
    Scheme,
    Semantics,
    Standing,
    Terms,
    Worker,
)

TICK = 100_000  # nanoseconds in a tenth of a millisecond

OUTCOMES = {"1": Outcome.SETTLED, "2": Outcome.ERROR, "3": Outcome.FULL, "4": Outcome.TIMED_OUT,
            "5": Outcome.UNCONNECTED, "6": Outcome.RESET, "7": Outcome.CANCELLED, "8": Outcome.MOOT}
NEWS = {"D": ListNews.CHANGES, "F": ListNews.WHOLE, "C": ListNews.REMEMBERED, "X": ListNews.FAILED}
STANDINGS = {"Ready": Standing.READY, "Terminating": Standing.DRAINING, "Gone": Standing.GONE}
SEMANTICS = {"safe": Semantics.REPEATABLE, "keyed": Semantics.REFERENCED, "unsafe": Semantics.ONCE_ONLY}
REPORT_FIELDS = {"x0": "free", "waiting": "waiting", "active": "held", "err_rps": "errors", "rps": "rate"}


class Malformed(Exception):
    """A line that breaks the wire's grammar."""


def limit(ns: int) -> int:
    return ns // TICK


def passed(ns: int) -> int:
    return -(-ns // TICK)


def optional(part: str) -> str | None:
    return None if part == "-" else part


def scheme(index: int, row: dict[str, Any], job: dict[str, Any]) -> Scheme:
    stretch = job.get("ClassStretch") or []
    machine = job.get("ClassKind") or []
    needed = machine[index] if index < len(machine) else -1
    return Scheme(
        index=index,
        semantics=SEMANTICS[row.get("Semantics") or "unsafe"],
        sla_time=limit(row.get("SlaTime") or row.get("Expiry") or 0),
        expiry=limit(row.get("Expiry") or 0),
        value=float(row.get("Value") or 0),
        late_value=float(row.get("OverdueValue") or 0),
        stretch=float(row.get("AimStretch") or (stretch[index] if index < len(stretch) else 0) or 0),
        group=Group(row.get("Group") or "all"),
        window=limit(row.get("Window") or 0),
        machine=needed if needed is not None and needed >= 0 else None,
    )


def terms(text: str) -> Terms:
    told = json.loads(text)
    job = told.get("FamilyInfo") or {}
    allowed = told.get("Limits") or {}
    duty = told.get("Obligations") or {}
    price = told.get("Prices") or {}
    report = told.get("Report") or {}
    source = report.get("Source") or "none"
    return Terms(
        schemes=[scheme(i, row, job) for i, row in enumerate(told.get("Schemes") or [])],
        customers=[Customer(i, float(row.get("AllowancePerS") or 0), float(row.get("Portion") or 0))
                   for i, row in enumerate(told.get("Customers") or [])],
        dispatchers=max(1, told.get("Balancers") or 1),
        number=told.get("Me") or 0,
        zone=told.get("Zone") or 0,
        tick=passed(told.get("Period") or 0),
        must_ask=told.get("Discovery") == "subscribe",
        ask_within=limit(duty.get("AskEvery") or 0),
        answer_slack=limit(duty.get("AnswerSlack") or 0),
        drain_grace=limit(duty.get("DrainGrace") or 0),
        cold_share=float(duty.get("ColdShare") or 0),
        cold_time=passed(duty.get("RampTime") or 0),
        fall_multiple=float(duty.get("FallMultiple") or 0),
        fall_time=passed(duty.get("Fall") or 0),
        max_postings=allowed.get("MaxPostings") or 1,
        two_at_once=bool(allowed.get("MayDuplicate")),
        may_cancel=bool(allowed.get("Cancelling")),
        may_probe=bool(allowed.get("Probing")),
        come_back_most=limit(allowed.get("MaxRetryAfter") or 0) if allowed.get("RetryAfter") else 0,
        progress_every=passed(job.get("Progress") or 0),
        tells_start=bool(job.get("TellsStart")),
        over_share=float(told.get("ExcessValue") or 0),
        value_by_work=told.get("ValueBasis") == "work",
        price_cross=float(price.get("CrossZone") or 0),
        price_probe=float(price.get("Probe") or 0),
        price_waste=float(price.get("Waste") or 0),
        price_late=float(price.get("LateFail") or 0),
        price_handshake=float(price.get("Handshake") or 0),
        reports_in_answers=source == "answers",
        reports_in_probes=source in ("answers", "probe"),
    )


def report_fields(text: str) -> list[str | None]:
    """For each place of a load report the trade's name of the figure; None for those we do not use."""
    told = json.loads(text).get("Report") or {}
    return [REPORT_FIELDS.get(name) for name in told.get("Fields") or []]


def report(row: str, fields: list[str | None]) -> Report | None:
    if row == "-" or row == "":
        return None
    figures = Report()
    for name, value in zip(fields, row.split(",")):
        if name is not None and value not in ("", "-"):
            setattr(figures, name, float(value))
    return figures


def worker(parts: list[str]) -> Worker:
    """ROW share boot type locality block health address"""
    share, boot, kind, zone, cell, health, tag = parts[1:8]
    started = int(optional(boot) or 0)
    return Worker(tag, int(optional(zone) or 0), int(optional(cell) or 0), int(optional(kind) or 0),
                  float(optional(share) or 1), passed(started) if started > 0 else None, STANDINGS[health],
                  crc32(tag.encode()))
