"""A change as an operator writes it, and as a group has it. No I/O.

Written: tables as in a charter, but by name: `[customers.NAME]`, `[schemes.NAME]`, `[budgets]` (NAME = rate), `zones`,
`[rules]`, `[members.NAME]`, and `remove = [keys]`. Each table that stands there takes its row's place whole.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Annotated, Any

from msgspec import Meta

from pathsaddle.config.schema import Charter, Customer, Form, Rules, Scheme
from pathsaddle.config.validation import Faulty, check
from pathsaddle.errors import Error
from pathsaddle.settings.documents import SINGLE, TABLES, Put, Wrong, canonical, row
from pathsaddle.settings.errors import Refused, Restart, Unfit

WHY = "each process takes it from its own charter as it starts"
WHAT = "known are customers.NAME, schemes.NAME, budgets.NAME, members.NAME, zones, rules and remove"


class MemberRow(Form):
    """Who must have a revision before it is in force.

    region: where it is. zone: there. gone: it never starts again with the disk that it had.
    """

    region: str
    zone: str = ""
    gone: bool = False


class BudgetRow(Form):
    """A budget that all share.

    rate: units a second, of all together.
    """

    rate: Annotated[int, Meta(ge=1)]


def written(told: Mapping[str, Any]) -> tuple[dict[str, Any], list[str]]:
    """Rows by key, and the keys to be removed, of a file's tables. Raises Refused, a line a fault."""
    rows: dict[str, Any] = {}
    remove: list[str] = []
    faults: list[Error] = []
    for table, value in told.items():
        if table == "remove":
            if isinstance(value, list) and all(isinstance(key, str) for key in value):
                remove = value
            else:
                faults.append(Unfit(key="remove", why="a list of keys is wanted"))
        elif table in SINGLE:
            rows[table] = value
        elif table in TABLES and isinstance(value, Mapping):
            rows |= {f"{table}.{name}": one for name, one in value.items()}
        elif table in TABLES:
            faults.append(Unfit(key=table, why="a table by name is wanted"))
        else:
            faults.append(_unshared(table))
    if faults:
        raise Refused(list(map(str, faults)))
    return rows, remove


def puts_of(rows: Mapping[str, Any], remove: Sequence[str]) -> tuple[Put, ...]:
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
            row(key, puts[key])
            _fits(key, value)
        except Wrong as fault:
            faults.append(Unfit(key=key, why=str(fault).removeprefix(f"{key}: ")))
        except Faulty as fault:
            faults += fault.faults
    for key in remove:
        try:
            row(key, None)
        except Wrong as fault:
            faults.append(Unfit(key=key, why=str(fault)))
        if key in rows or remove.count(key) > 1:
            faults.append(Unfit(key=key, why="it is to be removed, and stands there a second time"))
        puts[key] = None
    if not puts and not faults:
        faults.append(Unfit(key="the file", why="it changes nothing"))
    if faults:
        raise Refused(list(dict.fromkeys(map(str, faults))))
    return tuple(Put(key, puts[key]) for key in sorted(puts))


def _unshared(key: str) -> Error:
    table = key.partition(".")[0]
    if table in Charter.__struct_fields__:
        return Restart(key=key, why=WHY)
    return Unfit(key=key, why=f"no such table; {WHAT}")


def _fits(key: str, value: Any) -> None:
    """By the charter's checker, row by row; that rows fit together is judged where a charter is at hand (`applied.py`).
    Raises Faulty.
    """
    table, _, name = key.partition(".")
    if table in ("customers", "schemes"):
        kind: type[Customer | Scheme] = Customer if table == "customers" else Scheme
        check(kind, {**value, "name": name} if isinstance(value, Mapping) else value, key)
    elif table == "members":
        check(MemberRow, value, key)
    elif table == "rules":
        check(Rules, value, key)
    elif table == "budgets":
        check(BudgetRow, {"rate": value}, key)
    elif not (isinstance(value, list) and value and all(isinstance(one, str) and one for one in value)):
        raise Wrong("a list of names is wanted")
