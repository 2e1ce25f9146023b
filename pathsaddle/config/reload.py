"""What of a configuration may change while its dispatcher serves, and how it comes into service.

Two configurations are compared by key. What may change does so between two events of the running dispatcher;
a key that may not is named with the reason. A request that was accepted ends by the request class under which
it was accepted. A quota and a figure of the rules bind from the next decision on, whether lowered or raised;
a quota of the fleet binds as `fleet/quota/quota_limiter.py` describes.

The operator's file read again and the entries of shared settings (`settings/configuration.py`) both come
here, and end in the translation that a start uses (`config/loader.py`): no value is read in two ways. The
cost grows with what has changed, except for one look at each name.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Sequence
from typing import NamedTuple, TypeVar

from msgspec.structs import replace

from pathsaddle.config.errors import InvalidValueError
from pathsaddle.config.loader import platform_settings
from pathsaddle.config.reloadable_keys import RELOADABLE_KEYS, changed_keys
from pathsaddle.config.schema import Configuration, RequestClassTable, TenantTable
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire import terms
from pathsaddle.scheduler_types import Customer, Scheme

NamedTable = TypeVar("NamedTable", RequestClassTable, TenantTable)
V = TypeVar("V")
RESTART_REASONS = {  # by table or key; the longest one that is the key, or begins its path, counts
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
# What changes even where the rest of a configuration does not fit the keys that need a restart: it fits any
# of them.
ALWAYS_RELOADABLE_KEYS = ("discovery", "log.level")


class ReloadResult(NamedTuple):
    """What a reload comes to.

    Attributes:
        configuration: What the dispatcher serves by from now on.
        unchanged_keys: The keys that stay as they were, each with the reason.
    """

    configuration: Configuration
    unchanged_keys: dict[str, str]


def reloaded(before: Configuration, after: Configuration) -> ReloadResult:
    """Decides what can be taken over without a restart.

    Args:
        before: What the dispatcher serves by.
        after: What it should serve by.

    Returns:
        What it can serve by, and the keys that stay: those that ask for a restart, and those that do not fit
        them.
    """
    unchanged = restart_reasons(before, after)
    differing = changed_keys(before, after)
    merged = _with_keys(before, after, [key for key in differing if key not in unchanged])
    contradictions = list(_contradictions(merged))
    if contradictions:
        reason = f"beside what stays: {contradictions[0].of('the charter', '')}"
        for key in differing:
            if key not in ALWAYS_RELOADABLE_KEYS and key not in unchanged:
                unchanged[key] = reason
        merged = _with_keys(before, after, ALWAYS_RELOADABLE_KEYS)
    return ReloadResult(merged, unchanged)


def restart_reasons(before: Configuration, after: Configuration) -> dict[str, str]:
    """The keys that differ and ask for a restart, each with the reason."""
    found = {key: _restart_reason(key) for key in changed_keys(before, after) if key not in RELOADABLE_KEYS}
    if bool(before.customers) != bool(after.customers):
        found["customers"] = (
            "without any customer anybody may send, with one nobody else: calls under way can't be told which"
        )
    if before.home_zone() != after.home_zone():
        found["zone" if before.zone != after.zone else "zones"] = RESTART_REASONS["zone"]
    if before.federation is not None and _semantics_by_name(before) != _semantics_by_name(after):
        found["schemes"] = (
            "names and semantics stand in the federation's spec too, which is held against them at the start"
        )
    if before.fleet is not None and after.fleet is not None:
        if after.fleet.budgets and not before.fleet.budgets:
            found["fleet.budgets"] = "a member that began without any carries nothing shared"
    elif before.fleet is not None or after.fleet is not None:
        # The quotas come and go with the table itself: there is no member to give them to.
        found["fleet"] = found["fleet.budgets"] = RESTART_REASONS["fleet"]
    return found


def _restart_reason(key: str) -> str:
    """The reason of the key itself, else of the innermost table that has one."""
    parts = key.split(".")
    prefixes = (".".join(parts[:length]) for length in range(len(parts), 0, -1))
    return next(RESTART_REASONS[prefix] for prefix in prefixes if prefix in RESTART_REASONS)


def _semantics_by_name(configuration: Configuration) -> dict[str, str]:
    return {request_class.name: request_class.semantics for request_class in configuration.schemes}


def _contradictions(configuration: Configuration) -> Iterator[InvalidValueError]:
    """The contradictions that a mixture of two configurations can bring about."""
    yield from configuration.amiss()
    if configuration.fleet is not None:
        yield from configuration.fleet.amiss()


def _with_keys(before: Configuration, after: Configuration, keys: Sequence[str]) -> Configuration:
    """`before` with these keys of `after`."""
    changes: dict[str, object] = {}
    changes_by_table: dict[str, dict[str, object]] = {}
    for key in keys:
        table, dot, name = key.partition(".")
        if dot:
            changes_by_table.setdefault(table, {})[name] = getattr(getattr(after, table), name)
        else:
            changes[key] = getattr(after, key)
    for table, values in changes_by_table.items():
        changes[table] = replace(getattr(before, table), **values)
    return replace(before, **changes)


def changed_tables(old: list[NamedTable], new: list[NamedTable]) -> dict[str, NamedTable | None]:
    """The tables that are new or have changed, by name, in the order of `new`; None for each that is gone."""
    old_by_name = {table.name: table for table in old}
    found: dict[str, NamedTable | None] = {
        table.name: table for table in new if old_by_name.get(table.name) != table
    }
    names = {table.name for table in new}
    return found | {name: None for name in old_by_name if name not in names}


def apply_reload(service: TxnService, before: Configuration, after: Configuration) -> None:
    """Takes a configuration into service.

    Args:
        service: The service that decides requests by `before`.
        before: What it serves by.
        after: What it is to serve by, as `reloaded` made it, so that nothing in it asks for a restart.
    """
    request_classes = changed_tables(before.schemes, after.schemes)
    tenants = changed_tables(before.customers, after.customers)
    changed_only = replace(
        after,
        schemes=[table for table in request_classes.values() if table is not None],
        customers=[table for table in tenants.values() if table is not None],
    )
    new_terms = terms.terms(platform_settings(changed_only))
    schemes: dict[str, Scheme | None] = _replace_values(request_classes, new_terms.schemes)
    customers: dict[str, Customer | None] = _replace_values(tenants, new_terms.customers)
    words = service.words.with_changes(schemes, customers, after.zones)
    all_terms = dataclasses.replace(
        new_terms, schemes=list(words.schemes.values()), customers=list(words.customers.values())
    )
    service.retune(all_terms, words)


def _replace_values(changed: dict[str, NamedTable | None], values: Sequence[V]) -> dict[str, V | None]:
    """The same names, with these values in turn where there is a table, and None where it is gone."""
    found: dict[str, V | None] = dict.fromkeys(changed)
    present = (name for name, table in changed.items() if table is not None)
    found.update(zip(present, values, strict=True))
    return found
