"""The ledger on disk: one SQLite file that any number of planners' processes share, one change at a time.

Each change is one transaction: the state as it is now, the change's own checks, what came of it and its
audit events, all or nothing, synced before the caller learns of it. A planner that was stopped between its
look and its reservation therefore meets the state as it is when it writes, not as it was when it looked;
one that is killed at any moment leaves a change that was made or one that was not.

The names of tables, columns and JSON members are the file format; this module alone knows them.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from pathsaddle.errors import why
from pathsaddle.placement.audit_changes import change_events, opening_events, rejection_events
from pathsaddle.placement.audit_events import KEEPER, AuditEvent
from pathsaddle.placement.changes import Change
from pathsaddle.placement.errors import InvalidInventoryError, LedgerUnusableError, PlanRejectedError
from pathsaddle.placement.invariants import find_violations
from pathsaddle.placement.inventory import Demand, Inventory, Island, Kind, Target, Unit
from pathsaddle.placement.inventory_file import REMEDIES
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import Plan

FORMAT_VERSION = 1
LOCK_TIMEOUT_S = 2.0  # how long a change waits for another process's
SCHEMA = """
    CREATE TABLE meta (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE parts (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE units (name TEXT PRIMARY KEY, place INTEGER NOT NULL, value BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE story (row INTEGER PRIMARY KEY, at INTEGER NOT NULL, what TEXT NOT NULL, more BLOB NOT NULL);
"""
INVENTORY_PARTS: dict[str, Any] = {  # rows of `parts`, each with its type
    "kinds": tuple[Kind, ...],
    "islands": tuple[Island, ...],
    "demand": tuple[Demand, ...],
    "targets": tuple[Target, ...],
    "blocked": tuple[tuple[str, str], ...],
}
PLAN_PART = "plan"
# What the file's surroundings cause; any other error of SQLite means that the file is damaged.
SURROUNDINGS = (
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_PERM,
)
PRIMARY_CODE_MASK = 0xFF  # the low byte of SQLite's extended error code


class StoredEvent(NamedTuple):
    """An audit event as it is stored: when (ticks of the wall clock), its name and its members."""

    at: int
    what: str
    more: dict[str, Any]


class LedgerFile:
    """A ledger that exists.

    Every method raises LedgerUnusableError, with nothing changed, where the file cannot be used.

    Args:
        path: the file.
        clock: returns ticks of the wall clock, for audit events alone.
    """

    def __init__(self, path: Path, clock: Callable[[], int]) -> None:
        if not path.exists():
            raise LedgerUnusableError(
                f"{path}: no such file",
                f"make one with `python -m pathsaddle.placement FILE --ledger {path}`",
            )
        self.path, self._clock = path, clock
        self.cached_state: PlacementState | None = None
        try:
            self._database = _open_database(path)
            row = self._database.execute("SELECT value FROM meta WHERE key = 'version'").fetchone()
        except sqlite3.Error as error:
            raise LedgerUnusableError(
                f"{path}: can't be opened: {why(error)}",
                f"name a placement ledger that this user may write, in place "
                f"of {path}, or make one with `python -m pathsaddle.placement FILE --ledger NEW`",
            ) from None
        if row is None or row[0] != FORMAT_VERSION:
            raise LedgerUnusableError(
                f"{path}: is of version {row[0] if row else 0}, and this program writes {FORMAT_VERSION}",
                f"run the release that wrote {path}, or make a new one with "
                "`python -m pathsaddle.placement FILE --ledger NEW`",
            )

    def close(self) -> None:
        """Close the file."""
        self._database.close()

    def read(self) -> PlacementState:
        """Return the state as it is committed."""
        with self._translate_errors():
            self._database.execute("BEGIN")
            try:
                return self._load()
            finally:
                self._database.execute("ROLLBACK")

    def apply(self, change: Change) -> PlacementState:
        """Make a change and return the state after it; raise PlanRejectedError with nothing changed.

        The audit events of a rejection are stored too.
        """
        with self._translate_errors():
            self._database.execute("BEGIN IMMEDIATE")
            try:
                after = self._apply(change)
            except BaseException:
                if self._database.in_transaction:
                    self._database.execute("ROLLBACK")
                raise
        self.cached_state = after
        return after

    def _apply(self, change: Change) -> PlacementState:
        """Make the change within the transaction that has begun, and commit."""
        before = self._load()
        try:
            after = change.apply(before)
        except PlanRejectedError as error:
            self._store_events(rejection_events(change, before, error))
            self._database.execute("COMMIT")
            raise
        if after is not before:
            _store_state(self._database, before, after)
            self._store_events(change_events(change, before, after))
        self._database.execute("COMMIT")
        return after

    def audit_events(self) -> list[StoredEvent]:
        """Return all that became true, in order."""
        try:
            return [
                StoredEvent(at, what, msgspec.json.decode(more))
                for at, what, more in self._database.execute("SELECT at, what, more FROM story ORDER BY row")
            ]
        except sqlite3.Error as error:
            raise self._unusable(error) from None
        except msgspec.MsgspecError as error:
            raise self._damaged(error) from None

    def _load(self) -> PlacementState:
        """Read the state within a transaction; the cached one, while its revision is the one on disk."""
        try:
            meta = {
                str(key): int(value) for key, value in self._database.execute("SELECT key, value FROM meta")
            }
            if self.cached_state is None or self.cached_state.inventory.revision != meta["revision"]:
                self.cached_state = self._decode(meta)
            return self.cached_state
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as error:
            raise self._damaged(error) from None

    def _decode(self, meta: dict[str, int]) -> PlacementState:
        types = INVENTORY_PARTS | {PLAN_PART: Plan | None}
        parts = {
            name: msgspec.json.decode(value, type=types[name])
            for name, value in self._database.execute("SELECT name, value FROM parts")
        }
        units = tuple(
            msgspec.json.decode(row[0], type=Unit)
            for row in self._database.execute("SELECT value FROM units ORDER BY place")
        )
        plan = parts.pop(PLAN_PART)
        inventory = Inventory(
            units=units, cold_budget=meta["cold"], revision=meta["revision"], base=meta["base"], **parts
        )
        return PlacementState(inventory, meta["number"], plan)

    def _store_events(self, events: list[AuditEvent]) -> None:
        """Store events at the present moment, or at the last one's where the clock was set back."""
        last = self._database.execute("SELECT at FROM story ORDER BY row DESC LIMIT 1").fetchone()
        _store_events(self._database, max(self._clock(), last[0] if last else 0), events)

    @contextlib.contextmanager
    def _translate_errors(self) -> Iterator[None]:
        try:
            yield
        except sqlite3.Error as error:
            raise self._unusable(error) from None

    def _damaged(self, error: Exception) -> LedgerUnusableError:
        reason = f"it lacks {error}" if isinstance(error, KeyError) else why(error)
        return LedgerUnusableError(
            f"{self.path}: is damaged: {reason}",
            f"put a copy from before in place of {self.path}, or make a new one "
            "with `python -m pathsaddle.placement FILE --ledger NEW`",
        )

    def _unusable(self, error: sqlite3.Error) -> LedgerUnusableError:
        if getattr(error, "sqlite_errorcode", 0) & PRIMARY_CODE_MASK not in SURROUNDINGS:
            return self._damaged(error)
        return LedgerUnusableError(
            f"{self.path}: can't be used: {why(error)}",
            f"wait for who holds {self.path} open for writing, or end "
            f"it (`fuser {self.path}` names it), or make room on its disk",
        )


def create_ledger(path: Path, inventory: Inventory, clock: Callable[[], int]) -> LedgerFile:
    """Create a ledger.

    Args:
        path: a file that does not exist.
        inventory: what there is.
        clock: returns ticks of the wall clock, for audit events alone.

    Raises:
        LedgerUnusableError: the file exists, or cannot be made.
        InvalidInventoryError: the inventory breaks a rule.
    """
    if path.exists():
        raise LedgerUnusableError(
            f"{path}: stands there already",
            f"name another file after --ledger, or tell what changed by `python -m "
            f"pathsaddle.placement tell {path}`",
        )
    for rule, detail in find_violations(inventory):
        raise InvalidInventoryError(
            f"{path}: {rule}: {detail}", REMEDIES[rule].format("the inventory that it was to be made of")
        )
    try:
        database = _open_database(path)
        database.execute("BEGIN IMMEDIATE")
        for statement in SCHEMA.split(";"):
            database.execute(statement)
        state = PlacementState(inventory)
        _store_state(database, None, state)
        _store_events(database, clock(), opening_events(state))
        database.execute("COMMIT")
        database.close()
    except sqlite3.Error as error:
        raise LedgerUnusableError(
            f"{path}: can't be made: {why(error)}",
            f"make the folder {path.parent}, or let the user who runs this "
            "write there, or name another file after --ledger",
        ) from None
    return LedgerFile(path, clock)


def _open_database(path: Path) -> sqlite3.Connection:
    database = sqlite3.connect(path, isolation_level=None, timeout=LOCK_TIMEOUT_S)
    database.execute("PRAGMA journal_mode = WAL")
    database.execute("PRAGMA synchronous = FULL")
    return database


def _store_events(database: sqlite3.Connection, at: int, events: list[AuditEvent]) -> None:
    database.executemany(
        "INSERT INTO story (at, what, more) VALUES (?, ?, ?)",
        [(at, event.event_name, msgspec.json.encode({"who": KEEPER} | event.members())) for event in events],
    )


def _parts(state: PlacementState) -> dict[str, object]:
    """Return what the rows of `parts` hold."""
    return {name: getattr(state.inventory, name) for name in INVENTORY_PARTS} | {PLAN_PART: state.plan}


def _store_state(database: sqlite3.Connection, before: PlacementState | None, after: PlacementState) -> None:
    """Store what differs from the state before, within a transaction."""
    old_parts = {} if before is None else _parts(before)
    for name, value in _parts(after).items():
        if before is None or value is not old_parts[name]:
            database.execute("INSERT OR REPLACE INTO parts VALUES (?, ?)", (name, msgspec.json.encode(value)))
    inventory = after.inventory
    old_units = {} if before is None else before.inventory.unit_by_name
    database.executemany(
        "INSERT OR REPLACE INTO units VALUES (?, ?, ?)",
        [
            (unit.name, position, msgspec.json.encode(unit))
            for position, unit in enumerate(inventory.units)
            if old_units.get(unit.name) is not unit
        ],
    )
    for key, number in (
        ("version", FORMAT_VERSION),
        ("revision", inventory.revision),
        ("base", inventory.base),
        ("cold", inventory.cold_budget),
        ("number", after.number),
    ):
        database.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (key, number))
