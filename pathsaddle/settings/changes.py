"""A change as an operator writes it, and as a change set has it. No I/O.

Written: tables as in a configuration file, but by name: `[customers.NAME]`, `[schemes.NAME]`, `[budgets]`
(NAME = rate), `zones`, `[rules]`, `[members.NAME]`, and `remove = [keys]`. Each table that stands there
takes its entry's place whole. Called by `pathsaddle settings apply` and by a config server's control
endpoint.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated, Any, NamedTuple

from msgspec import Meta

from pathsaddle.config.schema import ConfigTable, Configuration, Rules
from pathsaddle.config.validation import InvalidConfigError, validate
from pathsaddle.errors import Error
from pathsaddle.settings.active_terms import table_of
from pathsaddle.settings.configuration import NAMED_TABLES
from pathsaddle.settings.documents import SINGLE, TABLES, Change, InvalidDocumentError, canonical, check_entry
from pathsaddle.settings.errors import ChangeRejectedError, RestartRequiredError, ValidationError

_RESTART_REASON = "each process takes it from its own charter as it starts"
_KNOWN_TABLES = "known are customers.NAME, schemes.NAME, budgets.NAME, members.NAME, zones, rules and remove"


class MemberEntry(ConfigTable):
    """A subscriber that must have a revision before it is active.

    region: where it is. zone: there. gone: it never starts again with the disk that it had.
    """

    region: str
    zone: str = ""
    gone: bool = False


class QuotaEntry(ConfigTable):
    """A quota that all share.

    rate: units a second, of all together.
    """

    rate: Annotated[int, Meta(ge=1)]


class ParsedChange(NamedTuple):
    """What a file of changes asks for.

    Attributes:
        entries: Values by key, as TOML has them.
        removed: The keys of entries that are to be removed.
    """

    entries: dict[str, Any]
    removed: list[str]


def parse_change_file(tables: Mapping[str, Any]) -> ParsedChange:
    """Reads a file's tables; raises ChangeRejectedError with a line for each fault."""
    entries: dict[str, Any] = {}
    removed: list[str] = []
    faults: list[Error] = []
    for table, value in tables.items():
        if table == "remove":
            if isinstance(value, list) and all(isinstance(key, str) for key in value):
                removed = value
            else:
                faults.append(ValidationError(key="remove", why="a list of keys is wanted"))
        elif table in SINGLE:
            entries[table] = value
        elif table in TABLES and isinstance(value, Mapping):
            entries |= {f"{table}.{name}": one for name, one in value.items()}
        elif table in TABLES:
            faults.append(ValidationError(key=table, why="a table by name is wanted"))
        else:
            faults.append(_unshared(table))
    if faults:
        raise ChangeRejectedError(list(map(str, faults)))
    return ParsedChange(entries, removed)


def changes_from_tables(entries: Mapping[str, Any], removed: Sequence[str]) -> tuple[Change, ...]:
    """Returns what a change set has of an operator's change, sorted by key.

    Args:
        entries: Values by key, as TOML or JSON has them.
        removed: The keys of entries that are to be removed.

    Raises:
        ChangeRejectedError: With a line for each fault.
    """
    faults: list[Error] = []
    values: dict[str, bytes | None] = {}
    for key, value in entries.items():
        if table_of(key) not in (*TABLES, *SINGLE):
            faults.append(_unshared(key))
            continue
        try:
            values[key] = canonical(value)
            check_entry(key, values[key])
            _check_value(key, value)
        except InvalidDocumentError as fault:
            faults.append(ValidationError(key=key, why=str(fault).removeprefix(f"{key}: ")))
        except InvalidConfigError as fault:
            faults += fault.faults
    for key in removed:
        try:
            check_entry(key, None)
        except InvalidDocumentError as fault:
            faults.append(ValidationError(key=key, why=str(fault)))
        if key in entries or removed.count(key) > 1:
            faults.append(ValidationError(key=key, why="it is to be removed, and stands there a second time"))
        values[key] = None
    if not values and not faults:
        faults.append(ValidationError(key="the file", why="it changes nothing"))
    if faults:
        raise ChangeRejectedError(list(dict.fromkeys(map(str, faults))))
    return tuple(Change(key, values[key]) for key in sorted(values))


def _unshared(key: str) -> Error:
    if table_of(key) in Configuration.__struct_fields__:
        return RestartRequiredError(key=key, why=_RESTART_REASON)
    return ValidationError(key=key, why=f"no such table; {_KNOWN_TABLES}")


def _check_value(key: str, value: Any) -> None:
    """Checks one entry as the configuration file's are; raises InvalidConfigError or InvalidDocumentError.

    Whether entries fit together is checked where a configuration is at hand (`configuration.py`).
    """
    table, _, name = key.partition(".")
    if table in NAMED_TABLES:
        validate(NAMED_TABLES[table], {**value, "name": name} if isinstance(value, Mapping) else value, key)
    elif table == "members":
        validate(MemberEntry, value, key)
    elif table == "rules":
        validate(Rules, value, key)
    elif table == "budgets":
        validate(QuotaEntry, {"rate": value}, key)
    elif not (isinstance(value, list) and value and all(isinstance(one, str) and one for one in value)):
        raise InvalidDocumentError("a list of names is wanted")
