"""Shared settings' entries as a configuration, and a configuration's as entries.

An entry is a key (`customers.NAME`, `schemes.NAME`, `budgets.NAME`, `zones`, `rules`) and canonical JSON of
what stands in that table of the configuration file, every field written out: a default that changes with
the program must not change what was committed. `members.NAME` names subscribers and stands in no
configuration; it is passed over here. What entries hold they hold whole: a tenant without an entry is none.
`zones` or `rules` without an entry stay as the configuration has them.

Whatever stands in an entry is checked as the configuration file's tables are, and the whole configuration
with it. Called by `config/dispatcher.py` and by config servers. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

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


# Units of durations, with their ticks; the first that divides a duration is written.
_DURATION_UNITS = (("s", 10_000), ("ms", 10), ("us", 1))
_MICROSECONDS_PER_TICK = 100
_MAX_QUOTA_RATE = 1_000_000  # units a second


class CheckedEntries(NamedTuple):
    """Entries that fit together, with the configuration that was made of them."""

    configuration: Configuration
    entries: Mapping[str, bytes]


def _plain(value: Any) -> Any:
    """Returns a value as TOML would have it: durations by their unit, without loss."""
    if isinstance(value, Duration):
        unit, ticks = next((unit, ticks) for unit, ticks in _DURATION_UNITS if value % ticks == 0)
        return f"{value // ticks * (_MICROSECONDS_PER_TICK if unit == 'us' else 1)}{unit}"
    return value


def _encode_table(table: RequestClassTable | TenantTable | Rules) -> bytes:
    """Returns a table as an entry's value, without its name, which is the key's, and without what is None."""
    fields = {
        name: _plain(value)
        for name in table.__struct_fields__
        if name != "name" and (value := getattr(table, name)) is not None
    }
    return _encode_json(fields)


def _encode_json(value: Any) -> bytes:
    return msgspec.json.encode(value, order="deterministic")


def entries_of(configuration: Configuration) -> dict[str, bytes]:
    """Returns what of a configuration is shared, by key."""
    entries = {f"customers.{one.name}": _encode_table(one) for one in configuration.customers}
    entries |= {f"schemes.{one.name}": _encode_table(one) for one in configuration.schemes}
    if configuration.fleet is not None:
        entries |= {
            f"budgets.{name}": _encode_json(rate) for name, rate in configuration.fleet.budgets.items()
        }
    return entries | {
        "zones": _encode_json(configuration.zones),
        "rules": _encode_table(configuration.rules),
    }


def changed_entries(before: Configuration, after: Configuration) -> list[tuple[str, bytes | None]]:
    """Returns the entries that differ, by key, as a change set puts them; None: the entry is removed."""
    old, new = entries_of(before), entries_of(after)
    return [(key, new.get(key)) for key in sorted(old.keys() | new.keys()) if old.get(key) != new.get(key)]


def restart_required(before: Configuration, after: Configuration) -> list[str]:
    """Returns the keys that differ and ask for a restart, a line each: `key: why`."""
    return [f"{key}: {why}" for key, why in reload.restart_reasons(before, after).items()]


def configuration_with(
    configuration: Configuration, entries: Mapping[str, bytes], known: Mapping[str, bytes] | None = None
) -> Configuration:
    """Returns the configuration with these entries in place of its own.

    Args:
        configuration: It is left as it is.
        entries: All of them, by key.
        known: The entries that `configuration` has, where the caller knows them: what has the same value
            there is not read again.

    Raises:
        InvalidConfigError: Each fault is a line with its key.
    """
    reader = _EntryReader(configuration, entries_of(configuration) if known is None else known)
    for key in sorted(entries):
        reader.read(key, entries[key])
    return reader.finish()


def check_consistency(entries: Mapping[str, bytes], before: CheckedEntries | None = None) -> CheckedEntries:
    """Checks whether entries fit together, in a configuration that says the least of all else.

    What only a subscriber's own configuration tells (its machines, its zone, its parts of quotas) is not
    checked, nor that no request class is there yet.

    Args:
        entries: All of them, by key.
        before: What the last call returned; it spares reading again what has not changed.

    Raises:
        InvalidConfigError: Each fault is a line with its key.
    """
    configuration, known = before or CheckedEntries(
        Configuration(
            listen="127.0.0.1:1",
            discovery="127.0.0.1:1",
            schemes=[],
            fleet=FleetTable(name="any", key="0" * 16, listen="127.0.0.1:1"),
        ),
        {},
    )
    if not any(key.startswith("schemes.") for key in entries):
        entries = {**entries, "schemes.any": b'{"expiry":"10s","semantics":"repeatable","sla":"2s"}'}
    machines: dict[str, None] = {}
    for key, value in entries.items():
        if key.startswith("schemes.") and isinstance(table := _decode_json(key, value, []), dict):
            machines |= {one: None for one in [table.get("machine")] if isinstance(one, str)}
    # Of zones and rules without an entry the defaults hold, not those of the revision before.
    blank = Configuration(listen="127.0.0.1:1", discovery="127.0.0.1:1", schemes=[])
    known = {key: value for key, value in known.items() if key.partition(".")[0] in NAMED_TABLES}
    configuration = replace(configuration, machines=list(machines), zones=blank.zones, rules=blank.rules)
    return CheckedEntries(configuration_with(configuration, entries, known), entries)


class _EntryReader:
    """Reads entries, one after another, into a copy of a configuration; collects the faults."""

    def __init__(self, configuration: Configuration, known: Mapping[str, bytes]) -> None:
        self.configuration, self.known = configuration, known
        self.present: dict[str, Any] = {f"customers.{one.name}": one for one in configuration.customers}
        self.present |= {f"schemes.{one.name}": one for one in configuration.schemes}
        self.faults: list[ConfigKeyError] = []
        self.tables: dict[str, list[Any]] = {"customers": [], "schemes": []}
        self.budgets: dict[str, int] = {}
        self.zones, self.rules = configuration.zones, configuration.rules

    def read(self, key: str, value: bytes) -> None:
        """Reads one entry."""
        table, _, name = key.partition(".")
        is_known = self.known.get(key) == value
        if table in self.tables and name:
            if is_known and key in self.present:
                self.tables[table].append(self.present[key])
            elif (one := _read_table(NAMED_TABLES[table], key, value, self.faults, name)) is not None:
                self.tables[table].append(one)
        elif table == "budgets" and name:
            self.budgets[name] = _decode_json(key, value, self.faults)
        elif key == "zones":
            self.zones = self.zones if is_known else _decode_json(key, value, self.faults)
        elif key == "rules":
            self.rules = self.rules if is_known else _read_table(Rules, key, value, self.faults)
        elif table != "members" or not name:
            self.faults.append(
                UnknownKeyError(
                    SOURCE_NAME,
                    key,
                    hint="known are customers.NAME, schemes.NAME, budgets.NAME, zones, rules",
                )
            )

    def finish(self) -> Configuration:
        """Returns the configuration; raises InvalidConfigError with all faults."""
        fleet = _fleet_with(self.configuration, self.budgets, self.faults)
        zones = self.zones
        if not (isinstance(zones, list) and all(isinstance(zone, str) for zone in zones)):
            self.faults.append(
                WrongTypeError(SOURCE_NAME, "zones", shown=display_value(zones), may="a list, each a text")
            )
        if self.faults:
            raise InvalidConfigError(self.faults)
        found = replace(
            self.configuration,
            customers=self.tables["customers"],
            schemes=self.tables["schemes"],
            zones=zones,
            rules=self.rules,
            fleet=fleet,
        )
        invalid = [_with_entry_key(one, found) for one in found.amiss()]
        if invalid:
            raise InvalidConfigError(invalid)
        return found


def _with_entry_key(fault: InvalidValueError, configuration: Configuration) -> ConfigKeyError:
    """Returns the fault under the entry's key: an operator of shared settings knows no places in a list."""
    table, bracket, rest = fault.key.partition("[")
    if bracket:
        index, _, field = rest.partition("]")
        fault.key = f"{table}.{getattr(configuration, table)[int(index)].name}{field}"
    return fault.of(SOURCE_NAME, "")


def _decode_json(key: str, value: bytes, faults: list[ConfigKeyError]) -> Any:
    try:
        return msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as fault:
        faults.append(TomlSyntaxError(SOURCE_NAME, key, form="JSON", why=str(fault)))
        return None


def _read_table(kind: type[Any], key: str, value: bytes, faults: list[ConfigKeyError], name: str = "") -> Any:
    """Reads one entry as the configuration file's table; None, and a fault, where it is none."""
    before = len(faults)
    table = _decode_json(key, value, faults)
    if len(faults) > before:
        return None
    if not isinstance(table, dict):
        faults.append(WrongTypeError(SOURCE_NAME, key, shown=display_value(table), may="a table"))
        return None
    if name and "name" in table:
        faults.append(UnknownKeyError(SOURCE_NAME, f"{key}.name", hint="the name is the key's"))
        return None
    try:
        return validate(kind, {**table, "name": name} if name else table, SOURCE_NAME, key)
    except InvalidConfigError as fault:
        faults += fault.faults
        return None


def _fleet_with(
    configuration: Configuration, budgets: dict[str, int], faults: list[ConfigKeyError]
) -> FleetTable | None:
    """Returns the configuration's fleet with these quotas; adds what is wrong to the faults."""
    if configuration.fleet is None:
        if budgets:
            faults.append(
                MissingKeyError(
                    SOURCE_NAME, "fleet", may="a table [fleet], where a member of budgets is named,"
                )
            )
        return None
    if budgets == configuration.fleet.budgets:
        return configuration.fleet
    for name, rate in budgets.items():
        if type(rate) is not int or not 1 <= rate <= _MAX_QUOTA_RATE:
            faults.append(
                WrongTypeError(
                    SOURCE_NAME,
                    f"budgets.{name}",
                    shown=display_value(rate),
                    may="a whole number at least 1 at most 1e+06",
                )
            )
    found = replace(configuration.fleet, budgets=budgets)
    if not faults:
        faults += [one.of(SOURCE_NAME, "fleet") for one in found.amiss()]
    return found
