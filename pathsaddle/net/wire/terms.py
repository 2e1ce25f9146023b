"""What a dispatcher is told at its start, by the bench's first message and by the configuration alike.

The wire counts nanoseconds; a time that limits us is rounded down and a time that has passed is rounded up,
so that no limit is overstepped.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pathsaddle.trade import SECOND, Customer, Group, Report, Scheme, Semantics, Terms

TICK = 100_000  # nanoseconds in a tenth of a millisecond

SEMANTICS = {"safe": Semantics.REPEATABLE, "keyed": Semantics.REFERENCED, "unsafe": Semantics.ONCE_ONLY}
REPORT_FIELDS = {"x0": "free", "waiting": "waiting", "queue": "waiting", "active": "held", "inflight": "held",
                 "err_rps": "errors", "eps": "errors", "rps": "rate", "qps": "rate"}


Peer = tuple[str, int]


def peer_of(address: str) -> Peer:
    """An address as sockets want it; raises ValueError where it is none."""
    host, _, port = address.rpartition(":")
    if not host or not 0 <= int(port) < 1 << 16:
        raise ValueError(f"no address: {address[:80]!r}")
    return host.strip("[]"), int(port)


def limit(ns: int) -> int:
    return ns // TICK


def passed(ns: int) -> int:
    return -(-ns // TICK)


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


def terms(told: dict[str, Any]) -> Terms:
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
        overtakes=job.get("QueueOrder") == "backfill",
        dropped_stay_open=bool(duty.get("DroppedStayOpen")),
        most_open=allowed.get("OpenCap") or 1 << 60,
    )


def report_fields(told: dict[str, Any]) -> list[str]:
    """The names of a load report's figures, in the order in which a row gives them."""
    return list((told.get("Report") or {}).get("Fields") or [])


def report(figures: list[tuple[str, Any]]) -> Report | None:
    """Figures that we do not use, and those left out, stay None."""
    told = Report()
    for name, value in figures:
        if name in REPORT_FIELDS and value not in (None, "", "-"):
            setattr(told, REPORT_FIELDS[name], float(value))
    return told if figures else None


@dataclass(slots=True, frozen=True)
class Reach:
    """How long connections to workers may take to come up and may stand idle."""

    connect_within: int
    idle_within: int


def reach(told: dict[str, Any]) -> Reach:
    allowed = told.get("Limits") or {}
    return Reach(limit(allowed.get("ConnectTimeout") or 0) or SECOND,
                 limit(allowed.get("IdleClose") or 0) or 60 * SECOND)
