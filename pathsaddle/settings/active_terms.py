"""The rows at one revision, as the text that `leased_versions.py` judges: whose word counts, and what a newer one forbids.

Rights are compared key by key and field by field; LIMITS says which fields are rights and which way is narrower. What no
right names (a portion, an SLA time) changes with the commit, like a loosening. "No narrower than" is an order, so it is
transitive: a revision that forbids nothing of the one before it, and is itself not narrowed, lets the older one stand.

Versions of one line share one table (Baker's persistent array): the newest used has it, the others the difference on the
way there. So a keeper's history costs what was changed, not rows times revisions. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from pathsaddle.config.units import parse_duration
from pathsaddle.settings.documents import Change, ChangeSet, InvalidDocumentError, canonical, decode_value

FAR = float("inf")


def _ticks(value: Any) -> float:
    return float(value) if isinstance(value, (int, float)) else float(parse_duration(value))


def _quota(value: Any) -> float:
    return float(value) or FAR  # 0 sets none


class LimitRule(NamedTuple):
    """A field that is a right. missing: what holds where it isn't written. wide: the wider the greater."""

    field: str
    missing: Any
    wide: Callable[[Any], float]


def _ranked(*names: str) -> Callable[[Any], float]:
    return lambda value: float(names.index(value))


# Defaults are the charter's (config/schema.py); a test holds both together.
LIMIT_RULES: dict[str, tuple[LimitRule, ...]] = {
    "customers": (LimitRule("allowance", 0, _quota),),
    "schemes": (
        LimitRule("semantics", "repeatable", _ranked("once-only", "referenced", "repeatable")),
        LimitRule("group", "all", _ranked("cell", "zone", "all")),
        LimitRule("window", "0s", _ticks),
    ),
    "rules": (
        LimitRule("answer_slack", "0s", _ticks),
        LimitRule("drain_grace", "500ms", _ticks),
        LimitRule("dropped_stay_open", False, float),
        LimitRule("ask_within", "10s", _ticks),
        LimitRule("cold_share", 0.3, float),
        LimitRule("cold_time", "9s", lambda value: -_ticks(value)),
        LimitRule("fall_multiple", 4.0, float),
        LimitRule("fall_time", "2s", _ticks),
    ),
    "zones": (),
    "members": (),
}


def table_of(key: str) -> str:
    return key.partition(".")[0]


def permits(key: str, old: bytes | None, new: bytes | None) -> bool:
    """Whether `new` allows all that `old` does. None: there is no such row, and nobody may what it would name."""
    table = table_of(key)
    if table == "rules":  # without a row the defaults hold
        old, new = old or b"{}", new or b"{}"
    if old is None or old == new:
        return True
    if new is None:
        return table in ("zones", "members")
    one, two = decode_value(old), decode_value(new)
    try:
        if table == "budgets":
            return float(one) <= float(two)
        return all(
            limit.wide(one.get(limit.field, limit.missing)) <= limit.wide(two.get(limit.field, limit.missing))
            for limit in LIMIT_RULES[table]
        )
    except (AttributeError, TypeError, ValueError):
        return False  # of another form than the charter's: nothing is known of it


def tighter(key: str, one: bytes | None, two: bytes | None) -> bytes | None:
    """`one`, with each right the lesser of the two's."""
    if permits(key, one, two):
        return one
    table = table_of(key)
    if table == "rules":
        one, two = one or b"{}", two or b"{}"
    if one is None or two is None:
        return None
    if table == "budgets":
        return two
    first, second = decode_value(one), decode_value(two)
    try:
        for limit in LIMIT_RULES[table]:
            field = limit.field
            if limit.wide(second.get(field, limit.missing)) < limit.wide(first.get(field, limit.missing)):
                first[field] = second.get(field, limit.missing)
    except (AttributeError, TypeError, ValueError, InvalidDocumentError):
        return two
    return canonical(first)


class ActiveTerms:
    """Rows at a revision; never changed, as far as anybody outside can tell."""

    __slots__ = ("_members", "_next", "_rows", "_undo", "customers")

    def __init__(self, rows: Mapping[str, bytes]) -> None:
        self._rows: dict[str, bytes] | None = dict(rows)
        self._next: ActiveTerms | None = None  # towards the one that has the table
        self._undo: dict[str, bytes | None] = {}  # the rows here that differ from those at `_next`
        self.customers = sum(key.startswith("customers.") for key in rows)  # none: anybody is one
        self._members = _members(rows)

    def after(self, group: ChangeSet) -> ActiveTerms:
        """With these changes. Costs what they are; if this is not the one that has the table, the way there as well."""
        self._takes_table()
        rows = self._rows
        assert rows is not None
        made = ActiveTerms.__new__(ActiveTerms)
        made._rows, made._next, made._undo = rows, None, {}
        undo: dict[str, bytes | None] = {}
        made.customers, anew = self.customers, False
        for put in group.puts:
            was = undo[put.key] = rows.get(put.key)
            if put.value is None:
                rows.pop(put.key, None)
            else:
                rows[put.key] = put.value
            if put.key.startswith("customers."):
                made.customers += (put.value is not None) - (was is not None)
            anew = anew or put.key.startswith("members.")
        made._members = _members(rows) if anew else self._members
        self._rows, self._next, self._undo = None, made, undo
        return made

    def _takes_table(self) -> None:
        way: list[ActiveTerms] = []
        at = self
        while at._next is not None:
            way.append(at)
            at = at._next
        for node in reversed(way):
            rows = at._rows
            assert rows is not None
            back: dict[str, bytes | None] = {key: rows.get(key) for key in node._undo}
            for key, value in node._undo.items():
                if value is None:
                    rows.pop(key, None)
                else:
                    rows[key] = value
            at._rows, at._next, at._undo = None, node, back
            node._rows, node._next, node._undo = rows, None, {}
            at = node

    def get(self, key: str) -> bytes | None:
        at = self
        while at._next is not None:
            if key in at._undo:
                return at._undo[key]
            at = at._next
        assert at._rows is not None
        return at._rows.get(key)

    def rows(self) -> dict[str, bytes]:
        """A copy, the caller's own."""
        at, over = self, dict[str, bytes | None]()
        while at._next is not None:
            over = {**at._undo, **over}
            at = at._next
        assert at._rows is not None
        rows = dict(at._rows)
        for key, value in over.items():
            if value is None:
                rows.pop(key, None)
            else:
                rows[key] = value
        return rows

    def __len__(self) -> int:
        self._takes_table()
        return len(self._rows or ())

    def differing(self, other: ActiveTerms) -> list[str]:
        """The keys that may differ, sorted: what was changed on the way from one to the other."""
        ways: list[list[ActiveTerms]] = []
        for at in (self, other):
            way = [at]
            while way[-1]._next is not None:
                way.append(way[-1]._next)
            ways.append(way)
        one, two = ways
        if one[-1] is not two[-1]:
            return sorted({**self.rows(), **other.rows()})
        while one and two and one[-1] is two[-1]:
            one.pop()
            two.pop()
        return sorted({key for way in ways for at in way for key in at._undo})

    def members(self) -> dict[str, str]:
        """Name -> region of those whose word counts. Not to be changed."""
        return self._members[0]

    def gone(self) -> tuple[str, ...]:
        """Who, by the operator's word, never starts again with the disk that it had."""
        return self._members[1]

    def has_member(self, name: str, here: str) -> bool:
        return self._members[0].get(name) == here

    def withdrawn(self, new: ActiveTerms, here: str) -> bool:
        """Whether somebody that hears nothing would, by this, do what `new` forbids; wherever it is."""
        if new.customers and not self.customers:
            return True  # anybody was a customer
        return any(
            not (table_of(key) == "customers" and not new.customers)
            and not permits(key, self.get(key), new.get(key))
            for key in self.differing(new)
        )

    def narrowed(self, other: ActiveTerms) -> ActiveTerms:
        """With each right the lesser of the two's. Where that would leave no customer, which reads as anybody, customers
        stay: that part waits for its commit, as a loosening does.
        """
        puts: list[Change] = []
        customers: list[Change] = []
        left = self.customers
        for key in self.differing(other):
            mine, value = self.get(key), other.get(key)
            if table_of(key) != "customers":
                value = tighter(key, mine, value)
            elif self.customers and other.customers:
                value = tighter(key, mine, value)
                left -= value is None and mine is not None
            elif self.customers:
                continue  # anybody there: ours are the narrower
            if value != mine:
                (customers if table_of(key) == "customers" else puts).append(Change(key, value))
        if left or not self.customers:
            puts += customers
        return self.after(ChangeSet(0, "", "", "", 0, tuple(puts))) if puts else self


def _members(rows: Mapping[str, bytes]) -> tuple[dict[str, str], tuple[str, ...]]:
    found: dict[str, str] = {}
    gone = []
    for key in sorted(key for key in rows if key.startswith("members.")):
        name = key.partition(".")[2]
        try:
            told = decode_value(rows[key])
            if told.get("gone"):
                gone.append(name)
            else:
                found[name] = str(told.get("region", ""))
        except (InvalidDocumentError, AttributeError):
            found[name] = ""  # somebody is meant: it is waited for rather than forgotten
    return found, tuple(gone)
