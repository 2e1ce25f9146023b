"""A change as an operator writes it, and as a group has it. No I/O.

Written: tables as in a charter, but by name: `[customers.NAME]`, `[schemes.NAME]`, `[budgets]` (NAME = rate), `zones`,
`[rules]`, `[members.NAME]`, and `remove = [keys]`. Each table that stands there takes its row's place whole.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated, Any

from msgspec import Meta

from pathsaddle.config.schema import ConfigTable, Configuration, RequestClassTable, Rules, TenantTable
from pathsaddle.config.validation import InvalidConfigError, validate
from pathsaddle.errors import Error
from pathsaddle.settings.documents import SINGLE, TABLES, Change, InvalidDocumentError, canonical, check_entry
from pathsaddle.settings.errors import ChangeRejectedError, RestartRequiredError, ValidationError

WHY = "each process takes it from its own charter as it starts"
WHAT = "known are customers.NAME, schemes.NAME, budgets.NAME, members.NAME, zones, rules and remove"


class MemberRow(ConfigTable):
    """Who must have a revision before it is in force.

    region: where it is. zone: there. gone: it never starts again with the disk that it had.
    """

    region: str
    zone: str = ""
    gone: bool = False


class BudgetRow(ConfigTable):
    """A budget that all share.

    rate: units a second, of all together.
    """

    rate: Annotated[int, Meta(ge=1)]


def parse_change_file(told: Mapping[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Rows by key, and the keys to be removed, of a file's tables. Raises Refused, a line a fault."""
    rows: dict[str, Any] = {}
    remove: list[str] = []
    faults: list[Error] = []
    for table, value in told.items():
        if table == "remove":
            if isinstance(value, list) and all(isinstance(key, str) for key in value):
                remove = value
            else:
                faults.append(ValidationError(key="remove", why="a list of keys is wanted"))
        elif table in SINGLE:
            rows[table] = value
        elif table in TABLES and isinstance(value, Mapping):
            rows |= {f"{table}.{name}": one for name, one in value.items()}
        elif table in TABLES:
            faults.append(ValidationError(key=table, why="a table by name is wanted"))
        else:
            faults.append(_unshared(table))
    if faults:
        raise ChangeRejectedError(list(map(str, faults)))
    return rows, remove


def changes_from_tables(rows: Mapping[str, Any], remove: Sequence[str]) -> tuple[Change, ...]:
    """What a group has of it, by key. Raises Refused, a line a fault."""
    faults: list[Error] = []
    puts: dict[str, bytes | None] = {}
    for key, value in rows.items():
        table = key.partition(".")[0]
        if table not in (*TABLES, *SINGLE):
            faults.append(_unshared(key))
            continue
        try:
            puts[key] = canonical(value)
            check_entry(key, puts[key])
            _fits(key, value)
        except InvalidDocumentError as fault:
            faults.append(ValidationError(key=key, why=str(fault).removeprefix(f"{key}: ")))
        except InvalidConfigError as fault:
            faults += fault.faults
    for key in remove:
        try:
            check_entry(key, None)
        except InvalidDocumentError as fault:
            faults.append(ValidationError(key=key, why=str(fault)))
        if key in rows or remove.count(key) > 1:
            faults.append(ValidationError(key=key, why="it is to be removed, and stands there a second time"))
        puts[key] = None
    if not puts and not faults:
        faults.append(ValidationError(key="the file", why="it changes nothing"))
    if faults:
        raise ChangeRejectedError(list(dict.fromkeys(map(str, faults))))
    return tuple(Change(key, puts[key]) for key in sorted(puts))


def _unshared(key: str) -> Error:
    table = key.partition(".")[0]
    if table in Configuration.__struct_fields__:
        return RestartRequiredError(key=key, why=WHY)
    return ValidationError(key=key, why=f"no such table; {WHAT}")


def _fits(key: str, value: Any) -> None:
    """By the charter's checker, row by row; that rows fit together is judged where a charter is at hand (`applied.py`).
    Raises Faulty.
    """
    table, _, name = key.partition(".")
    if table in ("customers", "schemes"):
        kind: type[TenantTable | RequestClassTable] = (
            TenantTable if table == "customers" else RequestClassTable
        )
        validate(kind, {**value, "name": name} if isinstance(value, Mapping) else value, key)
    elif table == "members":
        validate(MemberRow, value, key)
    elif table == "rules":
        validate(Rules, value, key)
    elif table == "budgets":
        validate(BudgetRow, {"rate": value}, key)
    elif not (isinstance(value, list) and value and all(isinstance(one, str) and one for one in value)):
        raise InvalidDocumentError("a list of names is wanted")
