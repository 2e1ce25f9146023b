"""The SQLite schema of the job store, its numbered migrations, and how a connection is made.

`Store` and the operator's commands open databases with it. It never writes a job.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from pathsaddle.jobs.errors import StoreSchemaTooNewError

SCHEMA_VERSION = 2
BUSY_TIMEOUT_SECONDS = 5.0  # for another process, such as a backup, to release the database
# SQLite keeps the text of each CREATE as it is here, so that a line break is a change of the file's bytes; a
# backslash at the end of a line is none.
MIGRATIONS: dict[int, str] = {
    1: """
        CREATE TABLE meta (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
        INSERT INTO meta VALUES ('epoch', 0);
        CREATE TABLE jobs (job TEXT PRIMARY KEY, owner TEXT NOT NULL, key TEXT, semantics TEXT NOT NULL,
            accepted INTEGER NOT NULL, expires INTEGER NOT NULL, \
call BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;
        CREATE UNIQUE INDEX by_key ON jobs (owner, key) WHERE key IS NOT NULL;
        CREATE TABLE leases (job TEXT NOT NULL, number INTEGER NOT NULL, \
worker TEXT NOT NULL, at INTEGER NOT NULL,
            never_ran INTEGER NOT NULL DEFAULT 0, PRIMARY KEY (job, number)) WITHOUT ROWID;
        CREATE TABLE finals (job TEXT PRIMARY KEY, kind TEXT NOT NULL, \
status INTEGER NOT NULL, at INTEGER NOT NULL,
            result BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;
        CREATE TABLE cancels (job TEXT PRIMARY KEY, at INTEGER NOT NULL) WITHOUT ROWID;
    """,
    2: """
        ALTER TABLE jobs ADD COLUMN digest BLOB NOT NULL DEFAULT x'';
        CREATE INDEX by_end ON finals (at);
    """,
}


def connect(path: Path, synchronous: str = "FULL") -> sqlite3.Connection:
    """Open a database in WAL mode.

    Args:
        path: Its file, which is made where it is not there.
        synchronous: SQLite's pragma; `OFF` where a disk is only emulated.

    Raises:
        sqlite3.Error: The file cannot be opened or is no database.
    """
    database = sqlite3.connect(
        path, isolation_level=None, check_same_thread=False, timeout=BUSY_TIMEOUT_SECONDS
    )
    database.execute("PRAGMA journal_mode = WAL")
    database.execute(f"PRAGMA synchronous = {synchronous}")
    return database


def connect_read_only(path: Path) -> sqlite3.Connection:
    """Open a database that another process may have in use, without the right to change it."""
    return sqlite3.connect(f"file:{path}?mode=ro", uri=True)


def migrate(database: sqlite3.Connection) -> None:
    """Bring a database to today's schema, a version at a time, each whole or not at all.

    Raises:
        StoreSchemaTooNewError: A newer release has written it.
        sqlite3.Error: The file cannot be read or written.
    """
    version = int(database.execute("PRAGMA user_version").fetchone()[0])
    if version > SCHEMA_VERSION:
        raise StoreSchemaTooNewError(path="the store", version=version, known=SCHEMA_VERSION)
    for number in range(version + 1, SCHEMA_VERSION + 1):
        database.executescript(
            f"BEGIN IMMEDIATE; {MIGRATIONS[number]} PRAGMA user_version = {number}; COMMIT;"
        )
