"""What of a charter may change while its dispatcher serves, and how it comes into service.

Two charters are compared by key. What may change does, between two events of the running dispatcher; what may not is
named with the reason. A txn that was taken goes to its end by the scheme under which it was taken. Lowered or raised, a
quota and a rule's figure bind from the next decision on, a budget as `fleet/quota/quota_limiter.py` has it.

An operator's file read again and rows of shared settings (`settings/configuration.py`) go this one road, which ends in the road
that a start takes (`config/loader.py`): no value is read in two ways. What it costs grows with what has changed, but for
one look at each name.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace as replaced
from typing import TypeVar

from msgspec.structs import replace

from pathsaddle.config.loader import platform_settings
from pathsaddle.config.schema import (
    RELOADABLE_KEYS,
    Configuration,
    RequestClassTable,
    TenantTable,
    changed_keys,
)
from pathsaddle.config.validation import InvalidValueError
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire import terms
from pathsaddle.trade import Customer as Known
from pathsaddle.trade import Scheme as Kind

Row = TypeVar("Row", RequestClassTable, TenantTable)
RESTART_REASONS = {  # by table or key, the longest that fits
    "listen": "the address is had at the start",
    "name": "others and the log know the process by it",
    "seed": "all chance was drawn from it at the start",
    "number": "the cold workers' turns are dealt by it",
    "dispatchers": "shares are dealt by it",
    "zone": "the process does not move",
    "machines": "workers' kinds are told apart by its order",
    "tick": "timers count in it",
    "limits": "the machine's means are shared out at the start",
    "allowed.two_at_once": "open txns were withdrawn under the old rule",
    "allowed.probe": "looks are dealt out at the start",
    "rules.ask_within": "the list's clock runs by it",
    "reports": "what workers have told was read by it",
    "prices": "what was learnt was weighed by it",
    "reach": "connections stand by it",
    "log": "the log is open in its form",
    "control": "the meter hangs where it was hung at the start",
    "jobs": "the store is open",
    "fleet": "others know this member by it",
    "federation": "other regions know this member by it",
    "settings": "keepers know this member by it",
}


def restart_reasons(before: Configuration, after: Configuration) -> dict[str, str]:
    """The keys that differ and ask for a restart, each with the reason."""
    found = {}
    for key in changed_keys(before, after):
        if key not in RELOADABLE_KEYS:
            parts = key.split(".")
            found[key] = next(
                RESTART_REASONS[at]
                for n in range(len(parts), 0, -1)
                if (at := ".".join(parts[:n])) in RESTART_REASONS
            )
    if bool(before.customers) != bool(after.customers):
        found["customers"] = (
            "without any customer anybody may send, with one nobody else: calls under way can't be told which"
        )
    if home_zone(before) != home_zone(after):
        found["zone" if before.zone != after.zone else "zones"] = RESTART_REASONS["zone"]
    if before.federation is not None and _kinds(before) != _kinds(after):
        found["schemes"] = (
            "names and semantics stand in the federation's spec too, which is held against them at the start"
        )
    if before.fleet is not None and after.fleet is not None:
        if bool(before.fleet.budgets) < bool(after.fleet.budgets):
            found["fleet.budgets"] = "a member that began without any carries nothing shared"
    elif (before.fleet is None) != (after.fleet is None):
        # Its budgets as well: with the table itself they come and go, and there is nothing to take them into.
        found["fleet"] = found["fleet.budgets"] = RESTART_REASONS["fleet"]
    return found


def home_zone(charter: Configuration) -> str:
    return charter.zone if charter.zone is not None else charter.zones[0]


def _kinds(charter: Configuration) -> dict[str, str]:
    return {scheme.name: scheme.semantics for scheme in charter.schemes}


def reloaded(before: Configuration, after: Configuration) -> tuple[Configuration, dict[str, str]]:
    """What the dispatcher of `before` can serve by now that `after` is wanted, and the keys that stay, with the reason:
    those that ask for a restart, and such as do not fit them.
    """
    stays = restart_reasons(before, after)
    made = _of(before, after, [key for key in changed_keys(before, after) if key not in stays])
    amiss = list(_amiss(made))
    if amiss:
        kept = ("discovery", "log.level")
        for key in changed_keys(before, after):
            if key not in kept and key not in stays:
                stays[key] = f"beside what stays: {amiss[0].of('the charter', '')}"
        made = _of(before, after, list(kept))
    return made, stays


def _amiss(charter: Configuration) -> Iterator[InvalidValueError]:
    yield from charter.amiss()
    if charter.fleet is not None:
        yield from charter.fleet.amiss()


def _of(before: Configuration, after: Configuration, keys: list[str]) -> Configuration:
    """`before` with these keys of `after`."""
    top: dict[str, object] = {}
    tables: dict[str, dict[str, object]] = {}
    for key in keys:
        table, dot, name = key.partition(".")
        if dot:
            tables.setdefault(table, {})[name] = getattr(getattr(after, table), name)
        else:
            top[key] = getattr(after, key)
    for table, values in tables.items():
        top[table] = replace(getattr(before, table), **values)
    return replace(before, **top)


def changed_rows(old: list[Row], new: list[Row]) -> dict[str, Row | None]:
    """By name what is new or has changed, None for what is gone."""
    had = {row.name: row for row in old}
    found: dict[str, Row | None] = {row.name: row for row in new if had.get(row.name) != row}
    names = {row.name for row in new}
    return found | {name: None for name in had if name not in names}


def apply_reload(service: TxnService, before: Configuration, after: Configuration) -> None:
    """Takes `after` into service where txns are served by `before`: as `in_service` has made it, so that nothing
    in it asks for a restart.
    """
    schemes, customers = (
        changed_rows(before.schemes, after.schemes),
        changed_rows(before.customers, after.customers),
    )
    made = terms.terms(
        platform_settings(
            replace(
                after,
                schemes=[one for one in schemes.values() if one is not None],
                customers=[one for one in customers.values() if one is not None],
            )
        )
    )
    kinds: dict[str, Kind | None] = dict.fromkeys(schemes)
    kinds |= dict(zip((name for name, one in schemes.items() if one is not None), made.schemes, strict=True))
    owners: dict[str, Known | None] = dict.fromkeys(customers)
    owners |= dict(
        zip((name for name, one in customers.items() if one is not None), made.customers, strict=True)
    )
    words = service.words.retuned(kinds, owners, after.zones)
    service.retune(
        replaced(made, schemes=list(words.schemes.values()), customers=list(words.customers.values())), words
    )
