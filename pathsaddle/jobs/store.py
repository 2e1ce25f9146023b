"""The store: SQLite in WAL, one writer, group commit, numbered schema, sums over what matters, one owner.

All writes go through `put`, which returns a future that is done once they are on disk; whatever waits while one
commit syncs goes into the next together, in order. Each commit checks in its own transaction that the epoch is
still ours: a process that lost the store learns so before anything of it is written.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import queue
import shutil
import sqlite3
import threading
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import IO, Any, Protocol

from pathsaddle.errors import Error, access, why
from pathsaddle.jobs.state_machine import End, InvalidTransitionError, JobRecord, JobStateMachine, Kind
from pathsaddle.trade import Semantics

VERSION = 2
MIGRATIONS: dict[int, str] = {
    1: """
        CREATE TABLE meta (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
        INSERT INTO meta VALUES ('epoch', 0);
        CREATE TABLE jobs (job TEXT PRIMARY KEY, owner TEXT NOT NULL, key TEXT, semantics TEXT NOT NULL,
            accepted INTEGER NOT NULL, expires INTEGER NOT NULL, call BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;
        CREATE UNIQUE INDEX by_key ON jobs (owner, key) WHERE key IS NOT NULL;
        CREATE TABLE leases (job TEXT NOT NULL, number INTEGER NOT NULL, worker TEXT NOT NULL, at INTEGER NOT NULL,
            never_ran INTEGER NOT NULL DEFAULT 0, PRIMARY KEY (job, number)) WITHOUT ROWID;
        CREATE TABLE finals (job TEXT PRIMARY KEY, kind TEXT NOT NULL, status INTEGER NOT NULL, at INTEGER NOT NULL,
            result BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID;
        CREATE TABLE cancels (job TEXT PRIMARY KEY, at INTEGER NOT NULL) WITHOUT ROWID;
    """,
    2: """
        ALTER TABLE jobs ADD COLUMN digest BLOB NOT NULL DEFAULT x'';
        CREATE INDEX by_end ON finals (at);
    """,
}


class StoreFencedError(Exception):
    """Another process has the store now: nothing of ours is written any more."""


class StoreUnusableError(Error):
    """The store can't be opened. `path`: its file."""

    name = "store.unusable"
    what = "{path}: can't be used: {why}"


class InUse(StoreUnusableError):
    name = "store.in-use"
    what = "{path}: another process has it open"
    do = "end that process (`fuser {path}.lock` names it), or give each dispatcher a file of its own at jobs.path"


class NoFile(StoreUnusableError):
    name = "store.no-file"
    what = "{path}: no such file"
    do = "say the file that stands at jobs.path in the dispatcher's charter instead of {path}"


class NoDatabase(StoreUnusableError):
    name = "store.no-database"
    what = "{path}: is no store of jobs: {why}"
    do = "say another file, or put a backup in its place with `pathsaddle jobs restore COPY {path}`"


class Newer(StoreUnusableError):
    name = "store.newer"
    what = "{path}: its schema {version} is newer than this program's, {known}"
    do = "run the release that wrote {path}, or one after it"


class JobNotFoundError(StoreUnusableError):
    name = "store.no-job"
    what = "{path}: holds no job {job}"
    do = "look at `pathsaddle jobs list {path}`: an ended job is let go after jobs.retention"


def unusable(path: Path, fault: Exception) -> StoreUnusableError:
    """What the kernel's or SQLite's word means for who owns the file."""
    if isinstance(fault, StoreUnusableError):
        return fault
    if isinstance(fault, OSError):
        return StoreUnusableError("", access(fault, path, path.parent), path=path, why=why(fault))
    code = getattr(fault, "sqlite_errorname", "") or ""
    if code.startswith(("SQLITE_NOTADB", "SQLITE_CORRUPT")) or "no such table" in str(fault):
        return NoDatabase(path=path, why=why(fault))
    if path.is_dir():
        return StoreUnusableError(
            "", f"name a file instead of the folder {path}", path=path, why="it is a folder"
        )
    if code.startswith(("SQLITE_BUSY", "SQLITE_LOCKED")):
        return InUse(path=path)
    if code.startswith("SQLITE_READONLY"):
        return StoreUnusableError(
            "", f"let the user who runs this write {path} and in {path.parent}", path=path, why=why(fault)
        )
    return StoreUnusableError(
        "",
        f"see that {path.parent} is there, has room, and can be written by the user who runs this",
        path=path,
        why=why(fault),
    )


@dataclass(slots=True)
class Accepted:
    """A job as it came: what is needed to post it again after a restart."""

    job: str
    owner: str
    key: str | None
    digest: bytes
    semantics: Semantics
    accepted: int
    expires: int
    call: bytes

    @property
    def sum(self) -> int:
        # What schema 1 had not is left out, so that its rows' sums still hold.
        text = "\0".join(
            (self.job, self.owner, self.key or "", self.semantics.name, str(self.accepted), str(self.expires))
        )
        return zlib.crc32(self.call, zlib.crc32(text.encode()))


@dataclass(slots=True)
class Forget:
    """Ended jobs from before a moment are let go."""

    before: int


Write = Accepted | JobRecord | Forget


def final_sum(record: JobRecord) -> int:
    assert record.end is not None
    return zlib.crc32(
        record.result, zlib.crc32(f"{record.job}\0{record.end.value}\0{record.status}".encode())
    )


class Writer(Protocol):
    """Where commits are made: a thread, or a stand-in for a disk in virtual time."""

    def begin(self, commit: Callable[[list[Write]], None]) -> None: ...

    def put(self, writes: list[Write], done: asyncio.Future[None]) -> None: ...

    def end(self) -> None: ...


def tell_done(done: asyncio.Future[None], fault: BaseException | None) -> None:
    if not done.done():
        if fault is None:
            done.set_result(None)
        else:
            done.set_exception(fault)
            done.exception()  # who gave up waiting has its own trouble


Waiting = tuple[list[Write], asyncio.Future[None]]


def commit_all(commit: Callable[[list[Write]], None], group: list[Waiting]) -> list[BaseException | None]:
    """All in one commit, and what came of each. Where one of them can't stand (an id that is there already), each
    is committed alone, so that it fails alone.
    """
    try:
        commit([write for writes, _ in group for write in writes])
        return [None] * len(group)
    except sqlite3.IntegrityError as fault:
        if len(group) == 1:
            return [fault]
        return [commit_all(commit, [one])[0] for one in group]
    except (sqlite3.Error, OSError, StoreFencedError) as fault:
        return [fault] * len(group)


class ThreadWriter:
    """One thread that commits all that waits, again and again."""

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[tuple[list[Write], asyncio.Future[None]] | None] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None

    def begin(self, commit: Callable[[list[Write]], None]) -> None:
        self._thread = threading.Thread(target=self._run, args=(commit,), name="jobs", daemon=True)
        self._thread.start()

    def put(self, writes: list[Write], done: asyncio.Future[None]) -> None:
        self._queue.put((writes, done))

    def _run(self, commit: Callable[[list[Write]], None]) -> None:
        last = False
        while not last:
            group = [self._queue.get()]
            while not self._queue.empty():
                group.append(self._queue.get())
            last = None in group
            waiting = [entry for entry in group if entry is not None]
            if not waiting:
                continue
            faults = commit_all(commit, waiting)
            loop = waiting[0][1].get_loop()
            try:
                loop.call_soon_threadsafe(self._tell, [done for _, done in waiting], faults)
            except RuntimeError:
                return  # the loop has ended, and all who waited with it

    @staticmethod
    def _tell(group: list[asyncio.Future[None]], faults: list[BaseException | None]) -> None:
        for done, fault in zip(group, faults, strict=True):
            tell_done(done, fault)

    def end(self) -> None:
        self._queue.put(None)
        if self._thread is not None:
            self._thread.join()


class DiskWriter:
    """A disk in virtual time: each sync takes its time; what was not synced when its process is killed is lost, or
    by luck of the seed was there already. `ill`: an error that each commit meets for a while; `slow`: seconds more
    for one sync.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, chance: Random, sync: float) -> None:
        self.loop = loop
        self.chance = chance
        self.sync = sync
        self.slow = 0.0
        self.ill: Exception | None = None
        self.syncs = 0
        self._waiting: list[Waiting] = []
        self._under_way: list[Waiting] = []
        self._commit: Callable[[list[Write]], None] = lambda writes: None

    def begin(self, commit: Callable[[list[Write]], None]) -> None:
        self._commit = commit

    def put(self, writes: list[Write], done: asyncio.Future[None]) -> None:
        self._waiting.append((writes, done))
        if not self._under_way:
            self._start()

    def _start(self) -> None:
        self._under_way, self._waiting = self._waiting, []
        if self._under_way:
            takes = self.slow + self.sync * (0.5 + self.chance.random())
            self.loop.call_later(takes, self._synced)

    def _synced(self) -> None:
        group, self._under_way = self._under_way, []
        faults: list[BaseException | None] = [self.ill] * len(group)
        if self.ill is None:
            faults = commit_all(self._commit, group)
            self.syncs += 1
        for (_, done), fault in zip(group, faults, strict=True):
            tell_done(done, fault)
        self._start()

    def crash(self) -> None:
        """Its process is killed: the commit under way is whole on disk or not there at all."""
        group, self._under_way, self._waiting = self._under_way, [], []
        if group and self.ill is None and self.chance.random() < 0.5:
            commit_all(self._commit, group)

    def end(self) -> None:
        while self._under_way or self._waiting:
            self._synced()


class Store:
    """One owner's store. `open` before all else; not to be used from two threads but through `put`."""

    def __init__(self, path: Path, writer: Writer, lock: bool = True, sync: str = "FULL") -> None:
        self.path = path
        self.writer = writer
        self.lock = lock
        self.sync = sync
        self.epoch = 0
        self.commits = 0
        self.written = 0
        self.fenced = False
        self.set_aside: list[str] = []  # jobs whose rows are not what was written
        self._lock: IO[bytes] | None = None
        self._db: sqlite3.Connection | None = None
        self._reader: sqlite3.Connection | None = None  # its reads wait for no commit

    def open(self, ended: bool = True) -> list[tuple[Accepted, JobStateMachine]]:
        """Takes the store over and reads the jobs in it, those that have ended only if `ended`; raises Unusable."""
        try:
            if self.lock:
                self._lock = self.path.with_name(self.path.name + ".lock").open("ab")
                fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self._let_go()
            raise InUse(path=self.path) from None
        except OSError as fault:
            raise unusable(self.path, fault) from None
        try:
            self._db = connect(self.path, self.sync)
            migrate(self._db)
            with self._db:
                self._db.execute("BEGIN IMMEDIATE")
                self._db.execute("UPDATE meta SET value = value + 1 WHERE key = 'epoch'")
            self.epoch = int(self._db.execute("SELECT value FROM meta WHERE key = 'epoch'").fetchone()[0])
            found, self.set_aside = load(self._db, ended)
            self._reader = connect(self.path, self.sync)
            self._reader.execute("PRAGMA query_only = ON")
        except (sqlite3.Error, Newer) as fault:
            self._let_go()
            if isinstance(fault, Newer):
                raise Newer(**{**fault.told, "path": self.path}) from None
            raise unusable(self.path, fault) from None
        self.writer.begin(self._commit)
        return found

    def put(self, *writes: Write) -> asyncio.Future[None]:
        """Done once they are on disk; fails with sqlite3.Error, OSError, or Fenced for good."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.fenced:
            tell_done(done, StoreFencedError(str(self.path)))
        else:
            self.writer.put(list(writes), done)
        return done

    def _commit(self, writes: list[Write]) -> None:
        db = self._db
        assert db is not None
        try:
            db.execute("BEGIN IMMEDIATE")
            if db.execute("SELECT value FROM meta WHERE key = 'epoch'").fetchone()[0] != self.epoch:
                self.fenced = True
                raise StoreFencedError(f"{self.path}: another process has taken it over")
            for write in writes:
                _write(db, write)
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise
        self.commits += 1
        self.written += len(writes)

    # One job at a time, from the thread that `open` was called in: some page reads, no wait for a commit. What is not
    # committed yet is not seen. All raise sqlite3.Error where the file can't be read.

    def ended(self, job: str) -> tuple[Accepted, JobStateMachine] | None:
        """A job whose end is on disk. Raises Impossible where its rows are not what was written."""
        db = self._reader
        assert db is not None
        db.execute("BEGIN")  # one state of the store for all four
        try:
            row = db.execute(f"{JOB} WHERE job = ?", (job,)).fetchone()
            final = db.execute(f"{FINAL} WHERE job = ?", (job,)).fetchone()
            leases = db.execute(f"{LEASE} WHERE job = ? ORDER BY number", (job,)).fetchall()
            cancel = db.execute("SELECT at FROM cancels WHERE job = ?", (job,)).fetchone()
        finally:
            db.execute("COMMIT")
        try:
            return None if row is None or final is None else made(row, leases, cancel, final[1:])
        except (KeyError, ValueError, TypeError) as fault:
            raise InvalidTransitionError(f"{job}: {fault}") from None

    def under(self, owner: str, key: str) -> str | None:
        """The job that was handed in so."""
        assert self._reader is not None
        row = self._reader.execute(
            "SELECT job FROM jobs WHERE owner = ? AND key = ?", (owner, key)
        ).fetchone()
        return None if row is None else str(row[0])

    def knows(self, job: str) -> bool:
        assert self._reader is not None
        return self._reader.execute("SELECT 1 FROM jobs WHERE job = ?", (job,)).fetchone() is not None

    def ended_count(self) -> int:
        assert self._reader is not None
        return int(self._reader.execute("SELECT count(*) FROM finals").fetchone()[0])

    def close(self) -> None:
        self.writer.end()
        self._let_go()

    def _let_go(self) -> None:
        for db in (self._reader, self._db):
            if db is not None:
                db.close()
        if self._lock is not None:
            self._lock.close()


def connect(path: Path, sync: str = "FULL") -> sqlite3.Connection:
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=5.0)
    db.execute("PRAGMA journal_mode = WAL")
    db.execute(f"PRAGMA synchronous = {sync}")
    return db


def migrate(db: sqlite3.Connection) -> None:
    """To today's schema, a version at a time, each whole or not at all; raises Unusable for a newer one."""
    version = int(db.execute("PRAGMA user_version").fetchone()[0])
    if version > VERSION:
        raise Newer(path="the store", version=version, known=VERSION)
    for number in range(version + 1, VERSION + 1):
        db.executescript(f"BEGIN IMMEDIATE; {MIGRATIONS[number]} PRAGMA user_version = {number}; COMMIT;")


def _write(db: sqlite3.Connection, write: Write) -> None:
    if isinstance(write, Accepted):
        db.execute(
            "INSERT INTO jobs (job, owner, key, semantics, accepted, expires, call, sum, digest) "
            "VALUES (?,?,?,?,?,?,?,?,?)",
            (
                write.job,
                write.owner,
                write.key,
                write.semantics.name,
                write.accepted,
                write.expires,
                write.call,
                write.sum,
                write.digest,
            ),
        )
    elif isinstance(write, Forget):
        _forget(db, write.before)
    elif write.kind is Kind.INTENT:
        db.execute(
            "INSERT INTO leases (job, number, worker, at) VALUES (?,?,?,?)",
            (write.job, write.number, write.worker, write.at),
        )
    elif write.kind is Kind.CLEAR:
        db.execute("UPDATE leases SET never_ran = 1 WHERE job = ? AND number = ?", (write.job, write.number))
    elif write.kind is Kind.CANCEL:
        db.execute("INSERT OR IGNORE INTO cancels VALUES (?,?)", (write.job, write.at))
    elif write.kind is Kind.FINAL:
        assert write.end is not None
        db.execute(
            "INSERT INTO finals VALUES (?,?,?,?,?,?)",
            (write.job, write.end.value, write.status, write.at, write.result, final_sum(write)),
        )


JOB = "SELECT job, owner, key, digest, semantics, accepted, expires, call, sum FROM jobs"
LEASE = "SELECT job, number, worker, at, never_ran FROM leases"
FINAL = "SELECT job, kind, status, at, result, sum FROM finals"
OPEN = "NOT EXISTS (SELECT 1 FROM finals WHERE finals.job = {}.job)"
Rows = tuple[Any, ...]


def made(
    row: Rows, leases: Iterable[Rows], cancel: Rows | None, final: Rows | None
) -> tuple[Accepted, JobStateMachine]:
    """A job as its rows tell; raises Impossible, KeyError, ValueError, TypeError where they can't be what was
    written.
    """
    tag = str(row[0])
    told = Accepted(tag, row[1], row[2], row[3], Semantics[row[4]], row[5], row[6], row[7])
    if told.sum != row[8]:
        raise InvalidTransitionError("its sum is off")
    job = JobStateMachine(tag, told.semantics, told.accepted, told.expires)
    job.changes = int(told.key is not None)  # its client was told that it is taken on
    for _, number, worker, at, never_ran in leases:
        job.apply(JobRecord(Kind.INTENT, tag, at, number, worker))
        job.leases[-1].never_ran = bool(never_ran)
    if cancel is not None:
        job.apply(JobRecord(Kind.CANCEL, tag, cancel[0]))
    if final is not None:
        kind, status, at, result, sum_ = final
        record = JobRecord(Kind.FINAL, tag, at, end=End(kind), status=status, result=result)
        if final_sum(record) != sum_:
            raise InvalidTransitionError("its final answer's sum is off")
        job.apply(record)
    return told, job


def load(
    db: sqlite3.Connection, ended: bool = True
) -> tuple[list[tuple[Accepted, JobStateMachine]], list[str]]:
    """All jobs as their records tell, those that have ended only if `ended`, and those whose rows are not what was
    written or contradict each other.
    """
    jobs, of = ("", "") if ended else (f" WHERE {OPEN.format('jobs')}", f" WHERE {OPEN.format('leases')}")
    leases: dict[str, list[Rows]] = {}
    for row in db.execute(f"{LEASE}{of} ORDER BY job, number"):
        leases.setdefault(row[0], []).append(row)
    finals = {row[0]: row[1:] for row in db.execute(FINAL)} if ended else {}
    cancels = {row[0]: row[1:] for row in db.execute("SELECT job, at FROM cancels")}
    found, bad = [], []
    for row in db.execute(f"{JOB}{jobs} ORDER BY accepted, job"):
        tag = str(row[0])
        try:
            found.append(made(row, leases.get(tag, ()), cancels.get(tag), finals.get(tag)))
        except (InvalidTransitionError, KeyError, ValueError, TypeError) as fault:
            bad.append(f"{tag}: {fault}")
    return found, bad


def _forget(db: sqlite3.Connection, before: int) -> None:
    gone = db.execute("SELECT job FROM finals WHERE at < ?", (before,)).fetchall()
    for table in ("jobs", "leases", "cancels", "finals"):
        db.executemany(f"DELETE FROM {table} WHERE job = ?", gone)


def verify(path: Path) -> list[str]:
    """All that is wrong in a store; nothing is changed. Raises Unusable where there is none, or it can't be read."""
    if not path.exists():
        raise NoFile(path=path)
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        found = [str(row[0]) for row in db.execute("PRAGMA integrity_check") if row[0] != "ok"]
        return found + load(db)[1]
    except sqlite3.Error as fault:
        told = unusable(path, fault)
        if isinstance(told, NoDatabase):
            return [why(fault)]
        raise told from None


def backup(path: Path, to: Path) -> None:
    """A whole copy while the store is in use; there whole or not at all."""
    if not path.exists():
        raise NoFile(path=path)
    part = to.with_name(to.name + ".part")
    try:
        part.unlink(missing_ok=True)
        part.touch()  # first: what can't be written there must not be said of the store
    except OSError as fault:
        raise unusable(to, fault) from None
    try:
        with (
            contextlib.closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as source,
            contextlib.closing(sqlite3.connect(part)) as target,
        ):
            source.backup(target)
        with part.open("rb") as file:
            os.fsync(file.fileno())
        part.replace(to)
    except (sqlite3.Error, OSError) as fault:
        part.unlink(missing_ok=True)
        raise unusable(to if isinstance(fault, OSError) else path, fault) from None


def rows(path: Path) -> Iterable[tuple[Accepted, JobStateMachine]]:
    """What a store holds, read only."""
    if not path.exists():
        raise NoFile(path=path)
    try:
        return load(sqlite3.connect(f"file:{path}?mode=ro", uri=True))[0]
    except sqlite3.Error as fault:
        raise unusable(path, fault) from None


def restore(copy: Path, path: Path) -> None:
    """A copy in a store's place; what the store held stays beside it as `.before`. Raises Unusable."""
    if found := verify(copy):
        raise NoDatabase(path=copy, why=found[0])
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
        raise InUse(path=path) from None
    except OSError as fault:
        raise unusable(path, fault) from None
