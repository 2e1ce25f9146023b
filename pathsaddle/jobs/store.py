"""The store: SQLite in WAL, one writer, one owner, group commit, numbered schema, checksums.

All writes go through `Store.put`, which returns a future that is done once they are on disk; whatever waits
while one commit syncs goes into the next together, in order. Each commit checks in its own transaction that
the epoch is still ours: a process that lost the store learns so before anything of it is written. The job
service owns one store; the emulator and the experiments open stores of their own. The store never decides
what follows for a job.
"""

from __future__ import annotations

import asyncio
import fcntl
import sqlite3
from pathlib import Path
from typing import IO

from pathsaddle.jobs.errors import StoreFencedError, StoreInUseError, StoreSchemaTooNewError, store_error_from
from pathsaddle.jobs.schema import connect, migrate
from pathsaddle.jobs.store_rows import StoredJob, StoreWrite, apply_write, load_ended_job, load_jobs
from pathsaddle.jobs.store_writer import StoreWriter, resolve

SELECT_EPOCH = "SELECT value FROM meta WHERE key = 'epoch'"


class Store:
    """One owner's store. Call `open` first; only `put` may be used beside the thread that opened it.

    Attributes:
        path: Its file.
        writer: Where its commits are made.
        epoch: The number of this opening; it grows with each.
        commit_count: Commits made.
        written_count: Writes in them.
        is_fenced: Whether another process has taken the store over.
        findings: What is wrong with jobs whose rows are not what was written, at the opening.
    """

    def __init__(
        self, path: Path, writer: StoreWriter, use_lock: bool = True, synchronous: str = "FULL"
    ) -> None:
        self.path = path
        self.writer = writer
        self.epoch = 0
        self.commit_count = 0
        self.written_count = 0
        self.is_fenced = False
        self.findings: list[str] = []
        self._use_lock = use_lock
        self._synchronous = synchronous
        self._lock: IO[bytes] | None = None
        self._database: sqlite3.Connection | None = None
        self._reader: sqlite3.Connection | None = None  # its reads wait for no commit

    def open(self, include_ended: bool = True) -> list[StoredJob]:
        """Take the store over and read the jobs in it, those that have ended only if `include_ended`.

        Raises:
            StoreUnusableError: The file cannot be opened, is no store, is too new, or another process has it.
        """
        self._acquire_lock()
        try:
            self._database = connect(self.path, self._synchronous)
            migrate(self._database)
            with self._database:
                self._database.execute("BEGIN IMMEDIATE")
                self._database.execute("UPDATE meta SET value = value + 1 WHERE key = 'epoch'")
            self.epoch = int(self._database.execute(SELECT_EPOCH).fetchone()[0])
            jobs, self.findings = load_jobs(self._database, include_ended)
            self._reader = connect(self.path, self._synchronous)
            self._reader.execute("PRAGMA query_only = ON")
        except StoreSchemaTooNewError as error:
            self._release()
            raise StoreSchemaTooNewError(**{**error.told, "path": self.path}) from None
        except sqlite3.Error as error:
            self._release()
            raise store_error_from(self.path, error) from None
        self.writer.start(self._commit)
        return jobs

    def put(self, *writes: StoreWrite) -> asyncio.Future[None]:
        """Return a future that is done once the writes are on disk.

        It fails with `sqlite3.Error` or `OSError` where a commit failed, or with `StoreFencedError` for good.
        """
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.is_fenced:
            resolve(done, StoreFencedError(str(self.path)))
        else:
            self.writer.put(list(writes), done)
        return done

    # Look-ups of one job, from the thread in which `open` was called: some page reads, no wait for a commit.
    # What is not committed yet is not seen. All raise sqlite3.Error where the file can't be read.

    def find_ended(self, job_id: str) -> StoredJob | None:
        """Return a job whose final answer is on disk.

        Raises:
            InvalidTransitionError: Its rows are not what was written.
            sqlite3.Error: The file cannot be read.
        """
        return load_ended_job(self._reading(), job_id)

    def find_by_key(self, owner: str, key: str) -> str | None:
        """Return the id of the job that was submitted under this idempotency key."""
        row = (
            self._reading()
            .execute("SELECT job FROM jobs WHERE owner = ? AND key = ?", (owner, key))
            .fetchone()
        )
        return None if row is None else str(row[0])

    def contains(self, job_id: str) -> bool:
        """Whether the store holds a job of this id."""
        found = self._reading().execute("SELECT 1 FROM jobs WHERE job = ?", (job_id,)).fetchone()
        return found is not None

    def count_ended(self) -> int:
        """Return how many jobs with a final answer the store holds."""
        return int(self._reading().execute("SELECT count(*) FROM finals").fetchone()[0])

    def close(self) -> None:
        """Commit what waits, close the file and release the lock."""
        self.writer.stop()
        self._release()

    def _commit(self, writes: list[StoreWrite]) -> None:
        database = self._database
        assert database is not None
        try:
            database.execute("BEGIN IMMEDIATE")
            if database.execute(SELECT_EPOCH).fetchone()[0] != self.epoch:
                self.is_fenced = True
                raise StoreFencedError(f"{self.path}: another process has taken it over")
            for write in writes:
                apply_write(database, write)
            database.execute("COMMIT")
        except BaseException:
            if database.in_transaction:
                database.execute("ROLLBACK")
            raise
        self.commit_count += 1
        self.written_count += len(writes)

    def _reading(self) -> sqlite3.Connection:
        assert self._reader is not None
        return self._reader

    def _acquire_lock(self) -> None:
        if not self._use_lock:
            return
        try:
            self._lock = self.path.with_name(self.path.name + ".lock").open("ab")
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._release()
            raise StoreInUseError(path=self.path) from None
        except OSError as error:
            raise store_error_from(self.path, error) from None

    def _release(self) -> None:
        for database in (self._reader, self._database):
            if database is not None:
                database.close()
        if self._lock is not None:
            self._lock.close()
