"""Shared settings' rows as a charter, and a charter's as rows.

A row is a key (`customers.NAME`, `schemes.NAME`, `budgets.NAME`, `zones`, `rules`) and canonical JSON of what stands in
that table of the charter, every field written out: a default that changes with the program must not change what was
committed. `members.NAME` says who hears of changes and stands in no charter; it is passed over here. What rows hold they
hold whole: a customer without a row is none. `zones` or `rules` without a row stay as the charter has them.

Whatever stands in a row is checked by the charter's own checker, and the whole charter with it. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec.structs import replace

from pathsaddle.config import reload
from pathsaddle.config.schema import Configuration, FleetTable, RequestClassTable, Rules, TenantTable
from pathsaddle.config.units import Duration
from pathsaddle.config.validation import (
    ConfigKeyError,
    InvalidConfigError,
    InvalidValueError,
    MissingKeyError,
    TomlSyntaxError,
    UnknownKeyError,
    WrongTypeError,
    display_value,
    validate,
)

NAMED_TABLES: dict[str, type[RequestClassTable | TenantTable]] = {
    "customers": TenantTable,
    "schemes": RequestClassTable,
}
SOURCE_NAME = "shared settings"  # in the place of a file's name, in faults


def _plain(value: Any) -> Any:
    """As TOML would have it: durations by their unit, without loss."""
    if isinstance(value, Duration):
        unit, ticks = next(
            (unit, ticks) for unit, ticks in (("s", 10_000), ("ms", 10), ("us", 1)) if value % ticks == 0
        )
        return f"{value // ticks * (100 if unit == 'us' else 1)}{unit}"
    return value


def _row(form: RequestClassTable | TenantTable | Rules) -> bytes:
    """Without its name, which is the key's, and without what is none."""
    told = {
        name: _plain(value)
        for name in form.__struct_fields__
        if name != "name" and (value := getattr(form, name)) is not None
    }
    return _json(told)


def _json(value: Any) -> bytes:
    return msgspec.json.encode(value, order="deterministic")


def entries_of(charter: Configuration) -> dict[str, bytes]:
    """What of a charter is shared, by key."""
    rows = {f"customers.{one.name}": _row(one) for one in charter.customers}
    rows |= {f"schemes.{one.name}": _row(one) for one in charter.schemes}
    if charter.fleet is not None:
        rows |= {f"budgets.{name}": _json(rate) for name, rate in charter.fleet.budgets.items()}
    return rows | {"zones": _json(charter.zones), "rules": _row(charter.rules)}


def changed_entries(before: Configuration, after: Configuration) -> list[tuple[str, bytes | None]]:
    """The rows that differ, by key, as a group puts them; None: the row goes."""
    old, new = entries_of(before), entries_of(after)
    return [(key, new.get(key)) for key in sorted(old.keys() | new.keys()) if old.get(key) != new.get(key)]


def restart_required(before: Configuration, after: Configuration) -> list[str]:
    """The keys that differ and ask for a restart, a line each: `key: why`."""
    return [f"{key}: {why}" for key, why in reload.restart_reasons(before, after).items()]


def configuration_with(
    charter: Configuration, rows: Mapping[str, bytes], stands: Mapping[str, bytes] | None = None
) -> Configuration:
    """The charter with these rows in place of its own; `charter` itself is left as it is.

    stands: the rows that `charter` stands for, where the caller has them: what has the same value there isn't read again.
    Raises Faulty, each fault a line with its key.
    """
    known = entries_of(charter) if stands is None else stands
    had: dict[str, Any] = {f"customers.{one.name}": one for one in charter.customers}
    had |= {f"schemes.{one.name}": one for one in charter.schemes}
    faults: list[ConfigKeyError] = []
    made: dict[str, list[Any]] = {"customers": [], "schemes": []}
    budgets: dict[str, int] = {}
    zones, rules = charter.zones, charter.rules
    for key in sorted(rows):
        table, _, name = key.partition(".")
        value = rows[key]
        if table in made and name:
            if known.get(key) == value and key in had:
                made[table].append(had[key])
            elif (one := _read(NAMED_TABLES[table], key, value, faults, name)) is not None:
                made[table].append(one)
        elif table == "budgets" and name:
            budgets[name] = _json_at(key, value, faults)
        elif key == "zones":
            zones = zones if known.get(key) == value else _json_at(key, value, faults)
        elif key == "rules":
            rules = rules if known.get(key) == value else _read(Rules, key, value, faults)
        elif table != "members" or not name:
            faults.append(
                UnknownKeyError(
                    SOURCE_NAME,
                    key,
                    hint="known are customers.NAME, schemes.NAME, budgets.NAME, zones, rules",
                )
            )
    fleet = _fleet(charter, budgets, faults)
    if not (isinstance(zones, list) and all(isinstance(zone, str) for zone in zones)):
        faults.append(
            WrongTypeError(SOURCE_NAME, "zones", shown=display_value(zones), may="a list, each a text")
        )
    if faults:
        raise InvalidConfigError(faults)
    found = replace(
        charter, customers=made["customers"], schemes=made["schemes"], zones=zones, rules=rules, fleet=fleet
    )
    amiss = [_keyed(one, found) for one in found.amiss()]
    if amiss:
        raise InvalidConfigError(amiss)
    return found


def check_consistency(
    rows: Mapping[str, bytes], before: tuple[Configuration, Mapping[str, bytes]] | None = None
) -> tuple[Configuration, Mapping[str, bytes]]:
    """Whether rows fit together, in a charter that says of all else the least; what was made of them, for the next call's
    `before`, which spares reading again what hasn't changed. What only a member's own charter tells (its machines, its zone,
    its parts of budgets) isn't judged, nor that no scheme is there yet. Raises Faulty, each fault a line with its key.
    """
    made, stands = before or (
        Configuration(
            listen="127.0.0.1:1",
            discovery="127.0.0.1:1",
            schemes=[],
            fleet=FleetTable(name="any", key="0" * 16, listen="127.0.0.1:1"),
        ),
        {},
    )
    if not any(key.startswith("schemes.") for key in rows):
        rows = {**rows, "schemes.any": b'{"expiry":"10s","semantics":"repeatable","sla":"2s"}'}
    machines: dict[str, None] = {}
    for key, value in rows.items():
        if key.startswith("schemes.") and isinstance(told := _json_at(key, value, []), dict):
            machines |= {one: None for one in [told.get("machine")] if isinstance(one, str)}
    # Of zones and rules without a row the defaults hold, not those of the revision before.
    blank = Configuration(listen="127.0.0.1:1", discovery="127.0.0.1:1", schemes=[])
    stands = {key: value for key, value in stands.items() if key.partition(".")[0] in NAMED_TABLES}
    return configuration_with(
        replace(made, machines=list(machines), zones=blank.zones, rules=blank.rules), rows, stands
    ), rows


def _keyed(amiss: InvalidValueError, charter: Configuration) -> ConfigKeyError:
    """Under the row's key: an operator of shared settings knows no places in a list."""
    table, bracket, rest = amiss.key.partition("[")
    if bracket:
        place, _, field = rest.partition("]")
        amiss.key = f"{table}.{getattr(charter, table)[int(place)].name}{field}"
    return amiss.of(SOURCE_NAME, "")


def _json_at(key: str, value: bytes, faults: list[ConfigKeyError]) -> Any:
    try:
        return msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as fault:
        faults.append(TomlSyntaxError(SOURCE_NAME, key, form="JSON", why=str(fault)))
        return None


def _read(kind: type[Any], key: str, value: bytes, faults: list[ConfigKeyError], name: str = "") -> Any:
    """One row by the charter's checker."""
    before = len(faults)
    told = _json_at(key, value, faults)
    if len(faults) > before:
        return None
    if not isinstance(told, dict):
        faults.append(WrongTypeError(SOURCE_NAME, key, shown=display_value(told), may="a table"))
        return None
    if name and "name" in told:
        faults.append(UnknownKeyError(SOURCE_NAME, f"{key}.name", hint="the name is the key's"))
        return None
    try:
        return validate(kind, {**told, "name": name} if name else told, SOURCE_NAME, key)
    except InvalidConfigError as fault:
        faults += fault.faults
        return None


def _fleet(
    charter: Configuration, budgets: dict[str, int], faults: list[ConfigKeyError]
) -> FleetTable | None:
    if charter.fleet is None:
        if budgets:
            faults.append(
                MissingKeyError(
                    SOURCE_NAME, "fleet", may="a table [fleet], where a member of budgets is named,"
                )
            )
        return None
    if budgets == charter.fleet.budgets:
        return charter.fleet
    for name, rate in budgets.items():
        if type(rate) is not int or not 1 <= rate <= 1_000_000:
            faults.append(
                WrongTypeError(
                    SOURCE_NAME,
                    f"budgets.{name}",
                    shown=display_value(rate),
                    may="a whole number at least 1 at most 1e+06",
                )
            )
    found = replace(charter.fleet, budgets=budgets)
    if not faults:
        faults += [one.of(SOURCE_NAME, "fleet") for one in found.amiss()]
    return found
