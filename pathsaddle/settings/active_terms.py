"""The entries at one revision, as the text that `leased_versions.py` judges.

They say who is waited for, and what a newer revision forbids.

Rights are compared entry by entry and field by field; LIMIT_RULES says which fields are rights and which
way is tighter. What no right names (a portion, a latency objective) changes with the commit, like a
relaxation. "No tighter than" is an order, so it is transitive: a revision that forbids nothing of the one
before it, and is itself not tightened, lets the older one stand.

Versions of one line share one table (Baker's persistent array): the newest used has it, the others the
difference on the way there. So a server's history costs what was changed, not entries times revisions. No
I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from pathsaddle.config.units import parse_duration
from pathsaddle.settings.documents import Change, ChangeSet, InvalidDocumentError, canonical, decode_value

UNLIMITED = float("inf")


def _ticks(value: Any) -> float:
    return float(value) if isinstance(value, (int, float)) else float(parse_duration(value))


def _quota(value: Any) -> float:
    return float(value) or UNLIMITED  # 0 sets none


class LimitRule(NamedTuple):
    """A field that is a right.

    Attributes:
        field: Its name.
        default: What holds where it is not written.
        breadth: A measure of the field's value: the more it allows the greater.
    """

    field: str
    default: Any
    breadth: Callable[[Any], float]


def _ranked(*names: str) -> Callable[[Any], float]:
    return lambda value: float(names.index(value))


# Defaults are the configuration file's (config/schema.py); a test holds both together.
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
    """Returns the table of an entry's key."""
    return key.partition(".")[0]


def permits(key: str, old: bytes | None, new: bytes | None) -> bool:
    """Whether `new` allows all that `old` does.

    Args:
        key: The entry's.
        old: Its value; None: there is no such entry, and nobody may do what it would name.
        new: The same of the value with which it is compared.
    """
    table = table_of(key)
    if table == "rules":  # without an entry the defaults hold
        old, new = old or b"{}", new or b"{}"
    if old is None or old == new:
        return True
    if new is None:
        return table in ("zones", "members")
    first, second = decode_value(old), decode_value(new)
    try:
        if table == "budgets":
            return float(first) <= float(second)
        return all(
            limit.breadth(first.get(limit.field, limit.default))
            <= limit.breadth(second.get(limit.field, limit.default))
            for limit in LIMIT_RULES[table]
        )
    except (AttributeError, TypeError, ValueError):
        return False  # of another form than the configuration file's: nothing is known of it


def tighter(key: str, one: bytes | None, other: bytes | None) -> bytes | None:
    """Returns the value `one` of an entry with each right the lesser of both."""
    if permits(key, one, other):
        return one
    table = table_of(key)
    if table == "rules":
        one, other = one or b"{}", other or b"{}"
    if one is None or other is None:
        return None
    if table == "budgets":
        return other
    first, second = decode_value(one), decode_value(other)
    try:
        for limit in LIMIT_RULES[table]:
            field = limit.field
            if limit.breadth(second.get(field, limit.default)) < limit.breadth(
                first.get(field, limit.default)
            ):
                first[field] = second.get(field, limit.default)
    except (AttributeError, TypeError, ValueError, InvalidDocumentError):
        return other
    return canonical(first)


class Members(NamedTuple):
    """What the entries `members.NAME` say.

    Attributes:
        regions: Of those who must have a revision before it is active, by name.
        retired: Who, by the operator's word, never starts again with the disk that it had.
    """

    regions: dict[str, str]
    retired: tuple[str, ...]


class ActiveTerms:
    """Entries at a revision; never changed, as far as anybody outside can tell.

    Attributes:
        tenant_count: How many tenants (`customers.NAME`) there are; none: anybody is one.
        member_entries: What the entries `members.NAME` say.
        table: The line's table, in the version that has it; for other versions of the line alone, as all
            that follow.
        next_version: Towards the version that has the table; None in that one.
        undo: The entries that differ from those at `next_version`.
    """

    __slots__ = ("member_entries", "next_version", "table", "tenant_count", "undo")

    def __init__(self, entries: Mapping[str, bytes]) -> None:
        """Begins a line of versions; the entries are copied."""
        self.table: dict[str, bytes] | None = dict(entries)
        self.next_version: ActiveTerms | None = None  # towards the one that has the table
        self.undo: dict[str, bytes | None] = {}  # the entries here that differ from those at `_next`
        self.tenant_count = sum(map(_is_tenant, entries))
        self.member_entries = _members_of(entries)

    def after(self, changeset: ChangeSet) -> ActiveTerms:
        """Returns the entries with these changes.

        It costs what the changes are; if this is not the version that has the table, the way there as well.
        """
        self._take_table()
        table = self.table
        assert table is not None
        successor = ActiveTerms.__new__(ActiveTerms)
        successor.table, successor.next_version, successor.undo = table, None, {}
        undo: dict[str, bytes | None] = {}
        successor.tenant_count, has_member_changes = self.tenant_count, False
        for change in changeset.changes:
            before = undo[change.key] = table.get(change.key)
            if change.value is None:
                table.pop(change.key, None)
            else:
                table[change.key] = change.value
            if _is_tenant(change.key):
                successor.tenant_count += (change.value is not None) - (before is not None)
            has_member_changes = has_member_changes or change.key.startswith("members.")
        successor.member_entries = _members_of(table) if has_member_changes else self.member_entries
        self.table, self.next_version, self.undo = None, successor, undo
        return successor

    def get(self, key: str) -> bytes | None:
        """Returns an entry's value; None: there is no such entry."""
        version = self
        while version.next_version is not None:
            if key in version.undo:
                return version.undo[key]
            version = version.next_version
        assert version.table is not None
        return version.table.get(key)

    def rows(self) -> dict[str, bytes]:
        """Returns all entries by key: a copy, the caller's own."""
        version, undo = self, dict[str, bytes | None]()
        while version.next_version is not None:
            undo = {**version.undo, **undo}
            version = version.next_version
        assert version.table is not None
        entries = dict(version.table)
        _put(entries, undo)
        return entries

    def __len__(self) -> int:
        self._take_table()
        return len(self.table or ())

    def differing(self, other: ActiveTerms) -> list[str]:
        """Returns the keys that may differ, sorted: what was changed on the way from one to the other."""
        mine, others = self._path(), other._path()
        if mine[-1] is not others[-1]:
            return sorted({**self.rows(), **other.rows()})
        while mine and others and mine[-1] is others[-1]:
            mine.pop()
            others.pop()
        return sorted({key for version in (*mine, *others) for key in version.undo})

    def members(self) -> dict[str, str]:
        """Returns the region, by name, of those who must have a revision before it is active.

        The mapping must not be changed.
        """
        return self.member_entries.regions

    def retired(self) -> tuple[str, ...]:
        """Returns who, by the operator's word, never starts again with the disk that it had."""
        return self.member_entries.retired

    def has_member(self, name: str, here: str) -> bool:
        """Whether that subscriber may hold a lease in that region."""
        return self.member_entries.regions.get(name) == here

    def withdrawn(self, new: ActiveTerms, here: str) -> bool:
        """Whether somebody that hears nothing would, by these entries, do what `new` forbids.

        Where that somebody is does not matter.
        """
        if new.tenant_count and not self.tenant_count:
            return True  # anybody was a tenant
        return any(
            not (_is_tenant(key) and not new.tenant_count) and not permits(key, self.get(key), new.get(key))
            for key in self.differing(new)
        )

    def narrowed(self, other: ActiveTerms) -> ActiveTerms:
        """Returns the entries with each right the lesser of both.

        Where that would leave no tenant, which reads as anybody, the tenants stay: that part waits for its
        commit, as a relaxation does.
        """
        changes: list[Change] = []
        tenant_changes: list[Change] = []
        left = self.tenant_count
        for key in self.differing(other):
            before, value = self.get(key), other.get(key)
            if not _is_tenant(key):
                value = tighter(key, before, value)
            elif self.tenant_count and other.tenant_count:
                value = tighter(key, before, value)
                left -= value is None and before is not None
            elif self.tenant_count:
                continue  # anybody there: ours are the tighter
            if value != before:
                (tenant_changes if _is_tenant(key) else changes).append(Change(key, value))
        if left or not self.tenant_count:
            changes += tenant_changes
        return self.after(ChangeSet(0, "", "", "", 0, tuple(changes))) if changes else self

    def _path(self) -> list[ActiveTerms]:
        """The versions from this one to the one that has the table."""
        path = [self]
        while path[-1].next_version is not None:
            path.append(path[-1].next_version)
        return path

    def _take_table(self) -> None:
        """Moves the table here; each version on the way gets the difference to the one that has it then."""
        *versions, holder = self._path()
        for version in reversed(versions):
            table = holder.table
            assert table is not None
            back: dict[str, bytes | None] = {key: table.get(key) for key in version.undo}
            _put(table, version.undo)
            holder.table, holder.next_version, holder.undo = None, version, back
            version.table, version.next_version, version.undo = table, None, {}
            holder = version


def _is_tenant(key: str) -> bool:
    return key.startswith("customers.")


def _put(entries: dict[str, bytes], values: Mapping[str, bytes | None]) -> None:
    """Puts values in place; None removes one."""
    for key, value in values.items():
        if value is None:
            entries.pop(key, None)
        else:
            entries[key] = value


def _members_of(entries: Mapping[str, bytes]) -> Members:
    regions: dict[str, str] = {}
    retired = []
    for key in sorted(key for key in entries if key.startswith("members.")):
        name = key.partition(".")[2]
        try:
            value = decode_value(entries[key])
            if value.get("gone"):
                retired.append(name)
            else:
                regions[name] = str(value.get("region", ""))
        except (InvalidDocumentError, AttributeError):
            regions[name] = ""  # somebody is meant: it is waited for rather than forgotten
    return Members(regions, tuple(retired))
