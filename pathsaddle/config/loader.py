"""Translates the operator's file to the platform's JSON, after which both are read by the same code.

`pathsaddle serve` reads the file here; the JSON goes to `net/wire/birth.py` like the platform's own, so that
no value is read in two ways. Names on the wire (`Schemes`, `unsafe`) appear in this module and in `net/wire`
only.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any, TypeAlias

from pathsaddle.config.schema import (
    Allowed,
    Configuration,
    Prices,
    Reports,
    RequestClassTable,
    Rules,
    TenantTable,
)
from pathsaddle.config.toml_loader import load_toml
from pathsaddle.config.validation import validate

PlatformJson: TypeAlias = dict[str, Any]  # an object as the platform writes it; `net/wire` reads it by key
TICK_NS = 100_000  # nanoseconds in a tick, a tenth of a millisecond
SEMANTICS = {"repeatable": "safe", "referenced": "keyed", "once-only": "unsafe"}  # file: wire


def read_configuration(path: str | Path) -> Configuration:
    """Reads and checks a file.

    Raises:
        InvalidConfigError: The file can't be read, or something is wrong in it.
    """
    return validate(Configuration, load_toml(path), str(path))


def platform_config(configuration: Configuration, known: PlatformJson | None = None) -> PlatformJson:
    """Translates a configuration to the platform's whole document.

    Args:
        configuration: What the operator's file says.
        known: The endpoint list that the document carries; without it, an empty one.

    Returns:
        What the platform's file would say of the same dispatcher.
    """
    limits = configuration.limits
    return {
        "name": configuration.name,
        "listen": configuration.listen,
        "discovery": configuration.discovery,
        "seed": configuration.seed,
        "limits": {"sockets": limits.sockets, "memory_mb": limits.memory / 1e6},
        "known": known or {"index": 0, "snapshot": True, "endpoints": []},
        "settings": platform_settings(configuration),
    }


def platform_settings(configuration: Configuration) -> PlatformJson:
    """Translates a configuration to the object that the platform calls `settings`."""
    prices, reports = configuration.prices, configuration.reports
    zone = configuration.zones.index(configuration.zone) if configuration.zone is not None else 0
    return {
        "Azs": list(configuration.zones),
        "Kinds": list(configuration.machines),
        "Balancers": configuration.dispatchers,
        "Me": configuration.number,
        "Zone": zone,
        "Period": _nanoseconds(configuration.tick),
        "Discovery": "subscribe",
        "Customers": [_tenant(tenant) for tenant in configuration.customers],
        "Schemes": [_request_class(request_class) for request_class in configuration.schemes],
        "FamilyInfo": _worker_family(reports, configuration.machines, configuration.schemes),
        "Limits": _limits(configuration),
        "Obligations": _obligations(configuration.rules),
        "Prices": _prices(prices),
        "ExcessValue": prices.over_share,
        "ValueBasis": "work" if prices.by_work else "txn",
        "Report": {"Source": reports.source, "Fields": list(reports.fields)},
    }


def _nanoseconds(ticks: int | None) -> int:
    return (ticks or 0) * TICK_NS


def _tenant(tenant: TenantTable) -> PlatformJson:
    return {"Name": tenant.name, "AllowancePerS": tenant.allowance, "Portion": tenant.portion}


def _request_class(request_class: RequestClassTable) -> PlatformJson:
    return {
        "Name": request_class.name,
        "Semantics": SEMANTICS[request_class.semantics],
        "SlaTime": _nanoseconds(request_class.sla),
        "AimStretch": request_class.stretch,
        "Expiry": _nanoseconds(request_class.expiry),
        "Value": request_class.value,
        "OverdueValue": request_class.late_value,
        "Group": request_class.group,
        "Window": _nanoseconds(request_class.window),
    }


def _worker_family(
    reports: Reports, machines: list[str], request_classes: list[RequestClassTable]
) -> PlatformJson:
    return {
        "Progress": _nanoseconds(reports.progress),
        "TellsStart": reports.starts,
        "QueueOrder": reports.order,
        "ClassKind": [
            machines.index(request_class.machine) if request_class.machine is not None else -1
            for request_class in request_classes
        ],
    }


def _limits(configuration: Configuration) -> PlatformJson:
    allowed: Allowed = configuration.allowed
    return {
        "MaxPostings": allowed.postings,
        "MayDuplicate": allowed.two_at_once,
        "Cancelling": allowed.cancel,
        "Probing": allowed.probe,
        "RetryAfter": allowed.come_back > 0,
        "MaxRetryAfter": _nanoseconds(allowed.come_back),
        "ConnectTimeout": _nanoseconds(configuration.reach.connect),
        "IdleClose": _nanoseconds(configuration.reach.idle),
        "OpenCap": configuration.limits.open,
    }


def _obligations(rules: Rules) -> PlatformJson:
    return {
        "AnswerSlack": _nanoseconds(rules.answer_slack),
        "DrainGrace": _nanoseconds(rules.drain_grace),
        "DroppedStayOpen": rules.dropped_stay_open,
        "AskEvery": _nanoseconds(rules.ask_within),
        "ColdShare": rules.cold_share,
        "RampTime": _nanoseconds(rules.cold_time),
        "FallMultiple": rules.fall_multiple,
        "Fall": _nanoseconds(rules.fall_time),
    }


def _prices(prices: Prices) -> PlatformJson:
    return {
        "CrossZone": prices.cross,
        "Probe": prices.probe,
        "Waste": prices.waste,
        "LateFail": prices.late,
        "Handshake": prices.handshake,
    }
