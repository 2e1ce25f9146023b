"""What an operator does with a store's file: list it, verify it, copy it, put a copy in its place.

`pathsaddle jobs` calls these functions. They never open the store as its owner; only `restore` changes its
file, and only while no dispatcher holds its lock.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import shutil
import sqlite3
from pathlib import Path

from pathsaddle.errors import why
from pathsaddle.jobs.errors import NotAStoreError, StoreInUseError, StoreNotFoundError, store_error_from
from pathsaddle.jobs.schema import connect_read_only
from pathsaddle.jobs.store_rows import StoredJob, load_jobs


def read_jobs(path: Path) -> list[StoredJob]:
    """Return all jobs that a store holds, the oldest first.

    Raises:
        StoreUnusableError: There is no store, or it cannot be read.
    """
    if not path.exists():
        raise StoreNotFoundError(path=path)
    try:
        return load_jobs(connect_read_only(path)).jobs
    except sqlite3.Error as error:
        raise store_error_from(path, error) from None


def verify(path: Path) -> list[str]:
    """Return all that is wrong in a store; nothing is changed.

    Raises:
        StoreUnusableError: There is no store, or it cannot be read.
    """
    if not path.exists():
        raise StoreNotFoundError(path=path)
    try:
        database = connect_read_only(path)
        damage = [str(row[0]) for row in database.execute("PRAGMA integrity_check") if row[0] != "ok"]
        return damage + load_jobs(database).findings
    except sqlite3.Error as error:
        store_error = store_error_from(path, error)
        if isinstance(store_error, NotAStoreError):
            return [why(error)]
        raise store_error from None


def backup(path: Path, copy: Path) -> None:
    """Copy a store while it is in use; the copy is there whole or not at all.

    Raises:
        StoreUnusableError: The store cannot be read, or the copy cannot be written.
    """
    if not path.exists():
        raise StoreNotFoundError(path=path)
    part = copy.with_name(copy.name + ".part")
    try:
        part.unlink(missing_ok=True)
        part.touch()  # first: what can't be written there must not be reported of the store
    except OSError as error:
        raise store_error_from(copy, error) from None
    try:
        with (
            contextlib.closing(connect_read_only(path)) as source,
            contextlib.closing(sqlite3.connect(part)) as target,
        ):
            source.backup(target)
        with part.open("rb") as file:
            os.fsync(file.fileno())
        part.replace(copy)
    except (sqlite3.Error, OSError) as error:
        part.unlink(missing_ok=True)
        raise store_error_from(copy if isinstance(error, OSError) else path, error) from None


def restore(copy: Path, path: Path) -> None:
    """Put a copy in a store's place; what the store held stays beside it as `.before`.

    Raises:
        StoreUnusableError: The copy is no whole store, a dispatcher has the store open, or it cannot be
            written.
    """
    if findings := verify(copy):
        raise NotAStoreError(path=copy, why=findings[0])
    try:
        with path.with_name(path.name + ".lock").open("ab") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            part = path.with_name(path.name + ".part")
            shutil.copyfile(copy, part)
            for old in (path, path.with_name(path.name + "-wal"), path.with_name(path.name + "-shm")):
                if old.exists():
                    old.replace(old.with_name(old.name.replace(path.name, path.name + ".before")))
            part.replace(path)
    except BlockingIOError:
        raise StoreInUseError(path=path) from None
    except OSError as error:
        raise store_error_from(path, error) from None
