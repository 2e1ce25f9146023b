"""Which keys may change while a dispatcher serves, and which keys differ between two configurations.

`config/reload.py` decides with them what a reload takes over; `check --explain` prints the column "in
service" from them.
"""

from __future__ import annotations

from msgspec import Struct

# `config/reload.py` has the few cases in which one of these may not change after all.
RELOADABLE_KEYS = frozenset(
    (
        "discovery",
        "log.level",
        "zones",
        "schemes",
        "customers",
        "rules.answer_slack",
        "rules.drain_grace",
        "rules.dropped_stay_open",
        "rules.cold_share",
        "rules.cold_time",
        "rules.fall_multiple",
        "rules.fall_time",
        "allowed.postings",
        "allowed.cancel",
        "allowed.come_back",
        "prices.cross",
        "prices.over_share",
        "fleet.budgets",
        "control.core",
        "control.bytes",
    )
)


def changed_keys(before: Struct, after: Struct) -> list[str]:
    """The paths of the keys at which two configurations differ, in the order of the fields of `after`."""
    old, new = _values_by_path(before, ""), _values_by_path(after, "")
    return [path for path in dict.fromkeys([*new, *old]) if old.get(path) != new.get(path)]


def _values_by_path(table: Struct, prefix: str) -> dict[str, object]:
    """The values of a table and of all tables in it, by key path; a list of tables is one value."""
    values: dict[str, object] = {}
    for name in table.__struct_fields__:
        value = getattr(table, name)
        if isinstance(value, Struct):
            values |= _values_by_path(value, f"{prefix}{name}.")
        else:
            values[prefix + name] = value
    return values
