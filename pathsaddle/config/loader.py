"""From the operator's file to what the platform's JSON says: from there both go one road (`birth`)."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from pathsaddle.config.schema import Configuration
from pathsaddle.config.validation import load_toml, validate

TICK = 100_000  # nanoseconds in a tenth of a millisecond
SEMANTICS = {"repeatable": "safe", "referenced": "keyed", "once-only": "unsafe"}


def read_configuration(path: str | Path) -> Configuration:
    """The checked file; raises Faulty."""
    return validate(Configuration, load_toml(path), str(path))


def platform_settings(charter: Configuration) -> dict[str, Any]:
    """The object that the platform calls `settings`."""

    def ns(ticks: int | None) -> int:
        return (ticks or 0) * TICK

    rules, allowed, prices = charter.rules, charter.allowed, charter.prices
    zone = charter.zones.index(charter.zone) if charter.zone is not None else 0
    return {
        "Azs": list(charter.zones),
        "Kinds": list(charter.machines),
        "Balancers": charter.dispatchers,
        "Me": charter.number,
        "Zone": zone,
        "Period": ns(charter.tick),
        "Discovery": "subscribe",
        "Customers": [
            {"Name": c.name, "AllowancePerS": c.allowance, "Portion": c.portion} for c in charter.customers
        ],
        "Schemes": [
            {
                "Name": s.name,
                "Semantics": SEMANTICS[s.semantics],
                "SlaTime": ns(s.sla),
                "AimStretch": s.stretch,
                "Expiry": ns(s.expiry),
                "Value": s.value,
                "OverdueValue": s.late_value,
                "Group": s.group,
                "Window": ns(s.window),
            }
            for s in charter.schemes
        ],
        "FamilyInfo": {
            "Progress": ns(charter.reports.progress),
            "TellsStart": charter.reports.starts,
            "QueueOrder": charter.reports.order,
            "ClassKind": [
                charter.machines.index(s.machine) if s.machine is not None else -1 for s in charter.schemes
            ],
        },
        "Limits": {
            "MaxPostings": allowed.postings,
            "MayDuplicate": allowed.two_at_once,
            "Cancelling": allowed.cancel,
            "Probing": allowed.probe,
            "RetryAfter": allowed.come_back > 0,
            "MaxRetryAfter": ns(allowed.come_back),
            "ConnectTimeout": ns(charter.reach.connect),
            "IdleClose": ns(charter.reach.idle),
            "OpenCap": charter.limits.open,
        },
        "Obligations": {
            "AnswerSlack": ns(rules.answer_slack),
            "DrainGrace": ns(rules.drain_grace),
            "DroppedStayOpen": rules.dropped_stay_open,
            "AskEvery": ns(rules.ask_within),
            "ColdShare": rules.cold_share,
            "RampTime": ns(rules.cold_time),
            "FallMultiple": rules.fall_multiple,
            "Fall": ns(rules.fall_time),
        },
        "Prices": {
            "CrossZone": prices.cross,
            "Probe": prices.probe,
            "Waste": prices.waste,
            "LateFail": prices.late,
            "Handshake": prices.handshake,
        },
        "ExcessValue": prices.over_share,
        "ValueBasis": "work" if prices.by_work else "txn",
        "Report": {"Source": charter.reports.source, "Fields": list(charter.reports.fields)},
    }


def platform_config(charter: Configuration, known: dict[str, Any] | None = None) -> dict[str, Any]:
    """What the platform's file would say of the same dispatcher."""
    return {
        "name": charter.name,
        "listen": charter.listen,
        "discovery": charter.discovery,
        "seed": charter.seed,
        "limits": {"sockets": charter.limits.sockets, "memory_mb": charter.limits.memory / 1e6},
        "known": known or {"index": 0, "snapshot": True, "endpoints": []},
        "settings": platform_settings(charter),
    }
