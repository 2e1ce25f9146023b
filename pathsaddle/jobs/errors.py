"""The errors of the job store: those that an operator reads, and the one that steers the job service.

`docs/errors.md` lists the former. The names and texts are stable.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from pathsaddle.errors import Error, access, why


class StoreFencedError(Exception):
    """Another process has taken the store over: nothing of this process is written any more."""


class StoreUnusableError(Error):
    """The store cannot be opened, read or copied. `path`: its file."""

    name = "store.unusable"
    what = "{path}: can't be used: {why}"


class StoreInUseError(StoreUnusableError):
    """Another process holds the store's lock."""

    name = "store.in-use"
    what = "{path}: another process has it open"
    do = (
        "end that process (`fuser {path}.lock` names it), or give each dispatcher a file of its own at "
        "jobs.path"
    )


class StoreNotFoundError(StoreUnusableError):
    """There is no file."""

    name = "store.no-file"
    what = "{path}: no such file"
    do = "say the file that stands at jobs.path in the dispatcher's charter instead of {path}"


class NotAStoreError(StoreUnusableError):
    """The file is no SQLite database, or none of jobs, or is corrupt."""

    name = "store.no-database"
    what = "{path}: is no store of jobs: {why}"
    do = "say another file, or put a backup in its place with `pathsaddle jobs restore COPY {path}`"


class StoreSchemaTooNewError(StoreUnusableError):
    """A newer release has written the store."""

    name = "store.newer"
    what = "{path}: its schema {version} is newer than this program's, {known}"
    do = "run the release that wrote {path}, or one after it"


class JobNotFoundError(StoreUnusableError):
    """The store does not hold the job that the operator asks for."""

    name = "store.no-job"
    what = "{path}: holds no job {job}"
    do = "look at `pathsaddle jobs list {path}`: an ended job is let go after jobs.retention"


def store_error_from(path: Path, error: Exception) -> StoreUnusableError:
    """Return what an error of the kernel or of SQLite means to the operator who owns the file.

    Args:
        path: The file of the store.
        error: What was caught. A `StoreUnusableError` is returned as it is.
    """
    if isinstance(error, StoreUnusableError):
        return error
    if isinstance(error, OSError):
        return StoreUnusableError("", access(error, path, path.parent), path=path, why=why(error))
    code = getattr(error, "sqlite_errorname", "") or ""
    if code.startswith(("SQLITE_NOTADB", "SQLITE_CORRUPT")) or "no such table" in str(error):
        return NotAStoreError(path=path, why=why(error))
    if path.is_dir():
        return StoreUnusableError(
            "", f"name a file instead of the folder {path}", path=path, why="it is a folder"
        )
    if code.startswith(("SQLITE_BUSY", "SQLITE_LOCKED")):
        return StoreInUseError(path=path)
    remedy = f"see that {path.parent} is there, has room, and can be written by the user who runs this"
    if code.startswith("SQLITE_READONLY"):
        remedy = f"let the user who runs this write {path} and in {path.parent}"
    return StoreUnusableError("", remedy, path=path, why=why(error))


STORE_IO_ERRORS = (
    sqlite3.Error,
    OSError,
)  # what reads and commits may raise where the disk or the file is at fault
