"""The book on a disk: one SQLite file that any number of planners' processes share, one change at a time.

Each change is one transaction: the book as it stands now, the change's own guards (`book`), what came of it
and its story, all or nothing, synced before it is told. So a planner that was stopped between its look and
its reservation finds the numbers as they are when it writes, not as they were when it looked; one killed at
any moment leaves a change that was made or one that was not.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import msgspec

from pathsaddle.errors import why
from pathsaddle.placement.audit_events import KEEPER, opening, refused, told
from pathsaddle.placement.errors import PlanRejectedError, Untrue, Unusable
from pathsaddle.placement.files import MENDS
from pathsaddle.placement.invariants import violations
from pathsaddle.placement.inventory import Demand, Inventory, Island, Kind, Target, Unit
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import Plan

VERSION = 1
PATIENCE = 2.0  # seconds
SCHEMA = """
    CREATE TABLE meta (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE parts (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE units (name TEXT PRIMARY KEY, place INTEGER NOT NULL, value BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE story (row INTEGER PRIMARY KEY, at INTEGER NOT NULL, what TEXT NOT NULL, more BLOB NOT NULL);
"""
PARTS: dict[str, Any] = {
    "kinds": tuple[Kind, ...],
    "islands": tuple[Island, ...],
    "demand": tuple[Demand, ...],
    "targets": tuple[Target, ...],
    "blocked": tuple[tuple[str, str], ...],
    "plan": Plan | None,
}


class Ledger(Protocol):
    """Where the book is kept. All that a walk needs of it."""

    def read(self) -> PlacementState:
        """As it stands, surely committed."""

    def do(self, does: str, *words: Any) -> PlacementState:
        """A change by its name in Book. Returns what came of it; raises Refused, with nothing changed."""


class Memory:
    """A book that lives no longer than its process: for planning alone, and for the virtual ground."""

    def __init__(
        self, book: PlacementState, tell: Callable[[str, dict[str, Any]], None] = lambda what, more: None
    ) -> None:
        self.book = book
        self.tell = tell
        for what, more in opening(book):
            tell(what, more)

    def read(self) -> PlacementState:
        return self.book

    def do(self, does: str, *words: Any) -> PlacementState:
        before = self.book
        try:
            self.book = getattr(before, does)(*words)
        except PlanRejectedError as why:
            for what, more in refused(does, words, before, why):
                self.tell(what, more)
            raise
        if self.book is not before:
            for what, more in told(does, words, before, self.book):
                self.tell(what, more)
        return self.book


SURROUNDINGS = (
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_LOCKED,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_CANTOPEN,
    sqlite3.SQLITE_PERM,
)


class File:
    """clock: ticks, for the story alone. `read` and `do` raise Unusable where the file can't be had for
    PATIENCE seconds, with nothing changed.
    """

    def __init__(self, path: Path, clock: Callable[[], int]) -> None:
        if not path.exists():
            raise Unusable(
                f"{path}: no such file",
                f"make one with `python -m pathsaddle.placement FILE --ledger {path}`",
            )
        self.path, self.clock = path, clock
        self.cache: PlacementState | None = None
        try:
            self.base = _opened(path)
            row = self.base.execute("SELECT value FROM meta WHERE key = 'version'").fetchone()
        except sqlite3.Error as fault:
            raise Unusable(
                f"{path}: can't be opened: {why(fault)}",
                f"name a placement ledger that this user may write, in place "
                f"of {path}, or make one with `python -m pathsaddle.placement FILE --ledger NEW`",
            ) from None
        if row is None or row[0] != VERSION:
            raise Unusable(
                f"{path}: is of version {row[0] if row else 0}, and this program writes {VERSION}",
                f"run the release that wrote {path}, or make a new one with `python -m pathsaddle.placement FILE "
                "--ledger NEW`",
            )

    def close(self) -> None:
        self.base.close()

    def _meta(self) -> dict[str, int]:
        return {str(key): int(value) for key, value in self.base.execute("SELECT key, value FROM meta")}

    def _book(self) -> PlacementState:
        """Within a transaction. What was read before is used again while its revision is the one on the disk."""
        try:
            return self._whole()
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError) as fault:
            raise self._damaged(fault) from None

    def _whole(self) -> PlacementState:
        meta = self._meta()
        if self.cache is not None and self.cache.inventory.revision == meta["revision"]:
            return self.cache
        parts = {
            name: msgspec.json.decode(value, type=PARTS[name])
            for name, value in self.base.execute("SELECT name, value FROM parts")
        }
        units = tuple(
            msgspec.json.decode(row[0], type=Unit)
            for row in self.base.execute("SELECT value FROM units ORDER BY place")
        )
        plan = parts.pop("plan")
        inventory = Inventory(
            units=units, cold=meta["cold"], revision=meta["revision"], base=meta["base"], **parts
        )
        self.cache = PlacementState(inventory, meta["number"], plan)
        return self.cache

    def read(self) -> PlacementState:
        try:
            self.base.execute("BEGIN")
            try:
                return self._book()
            finally:
                self.base.execute("ROLLBACK")
        except sqlite3.Error as fault:
            raise self._unusable(fault) from None

    def do(self, does: str, *words: Any) -> PlacementState:
        try:
            return self._do(does, words)
        except sqlite3.Error as fault:
            raise self._unusable(fault) from None

    def _damaged(self, fault: Exception) -> Unusable:
        said = f"it lacks {fault}" if isinstance(fault, KeyError) else why(fault)
        return Unusable(
            f"{self.path}: is damaged: {said}",
            f"put a copy from before in place of {self.path}, or make a new one "
            "with `python -m pathsaddle.placement FILE --ledger NEW`",
        )

    def _unusable(self, fault: sqlite3.Error) -> Unusable:
        # The low byte of SQLite's code; what is not of the file's surroundings is in the file.
        if getattr(fault, "sqlite_errorcode", 0) & 0xFF not in SURROUNDINGS:
            return self._damaged(fault)
        return Unusable(
            f"{self.path}: can't be used: {why(fault)}",
            f"wait for who holds {self.path} open for writing, or end "
            f"it (`fuser {self.path}` names it), or make room on its disk",
        )

    def _do(self, does: str, words: tuple[Any, ...]) -> PlacementState:
        self.base.execute("BEGIN IMMEDIATE")
        try:
            before = self._book()
            try:
                after: PlacementState = getattr(before, does)(*words)
            except PlanRejectedError as why:
                self._tell(refused(does, words, before, why))
                self.base.execute("COMMIT")
                raise
            if after is not before:
                _written(self.base, before, after)
                self._tell(told(does, words, before, after))
            self.base.execute("COMMIT")
        except BaseException:
            if self.base.in_transaction:
                self.base.execute("ROLLBACK")
            raise
        self.cache = after
        return after

    def _tell(self, rows: list[tuple[str, dict[str, Any]]]) -> None:
        last = self.base.execute("SELECT at FROM story ORDER BY row DESC LIMIT 1").fetchone()
        _tell(self.base, max(self.clock(), last[0] if last else 0), rows)

    def story(self) -> list[tuple[int, str, dict[str, Any]]]:
        """All that became true, in order: (at, what, more). Raises Unusable."""
        try:
            return [
                (at, what, msgspec.json.decode(more))
                for at, what, more in self.base.execute("SELECT at, what, more FROM story ORDER BY row")
            ]
        except sqlite3.Error as fault:
            raise self._unusable(fault) from None
        except msgspec.MsgspecError as fault:
            raise self._damaged(fault) from None


def _opened(path: Path) -> sqlite3.Connection:
    base = sqlite3.connect(path, isolation_level=None, timeout=PATIENCE)
    base.execute("PRAGMA journal_mode = WAL")
    base.execute("PRAGMA synchronous = FULL")
    return base


def _tell(base: sqlite3.Connection, at: int, rows: list[tuple[str, dict[str, Any]]]) -> None:
    base.executemany(
        "INSERT INTO story (at, what, more) VALUES (?, ?, ?)",
        [(at, what, msgspec.json.encode({"who": KEEPER} | more)) for what, more in rows],
    )


def _written(base: sqlite3.Connection, before: PlacementState | None, after: PlacementState) -> None:
    """What differs, within a transaction."""
    new, old = after.inventory, before.inventory if before is not None else None
    for name in PARTS:
        value = after.plan if name == "plan" else getattr(new, name)
        if before is None or value is not (before.plan if name == "plan" else getattr(old, name)):
            base.execute("INSERT OR REPLACE INTO parts VALUES (?, ?)", (name, msgspec.json.encode(value)))
    known = {} if old is None else old.unit
    base.executemany(
        "INSERT OR REPLACE INTO units VALUES (?, ?, ?)",
        [
            (unit.name, place, msgspec.json.encode(unit))
            for place, unit in enumerate(new.units)
            if known.get(unit.name) is not unit
        ],
    )
    for key, value in (
        ("version", VERSION),
        ("revision", new.revision),
        ("base", new.base),
        ("cold", new.cold),
        ("number", after.number),
    ):
        base.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (key, value))


def made(path: Path, inventory: Inventory, clock: Callable[[], int]) -> File:
    """A new ledger. Raises Unusable where one stands there, Untrue where the inventory breaks a rule."""
    if path.exists():
        raise Unusable(
            f"{path}: stands there already",
            f"name another file after --ledger, or tell what changed by `python -m "
            f"pathsaddle.placement tell {path}`",
        )
    for name, what in violations(inventory):
        raise Untrue(f"{path}: {name}: {what}", MENDS[name].format("the inventory that it was to be made of"))
    try:
        base = _opened(path)
        base.execute("BEGIN IMMEDIATE")
        for statement in SCHEMA.split(";"):
            base.execute(statement)
        book = PlacementState(inventory)
        _written(base, None, book)
        _tell(base, clock(), opening(book))
        base.execute("COMMIT")
        base.close()
    except sqlite3.Error as fault:
        raise Unusable(
            f"{path}: can't be made: {why(fault)}",
            f"make the folder {path.parent}, or let the user who runs this "
            "write there, or name another file after --ledger",
        ) from None
    return File(path, clock)
