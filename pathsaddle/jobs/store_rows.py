"""What the store's tables hold: writes become rows, and rows become jobs again.

`Store` writes and reads with it inside its own transactions; the operator's commands read with it. It opens
no database and begins no transaction. The names of tables and columns, and the texts in them, are the store's
format and stay.
"""

from __future__ import annotations

import sqlite3
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

from pathsaddle.jobs.state_machine import (
    CancelRequested,
    InvalidTransitionError,
    JobEnded,
    JobOutcome,
    JobStateMachine,
    JobTransition,
    LeaseCleared,
    LeaseIntended,
    Ticks,
)
from pathsaddle.scheduler_types import Semantics

SELECT_JOB = "SELECT job, owner, key, digest, semantics, accepted, expires, call, sum FROM jobs"
SELECT_LEASE = "SELECT job, number, worker, at, never_ran FROM leases"
SELECT_FINAL = "SELECT job, kind, status, at, result, sum FROM finals"
SELECT_CANCEL = "SELECT job, at FROM cancels"
IS_OPEN = "NOT EXISTS (SELECT 1 FROM finals WHERE finals.job = {}.job)"  # of the table that is filled in
Row: TypeAlias = tuple[Any, ...]  # as SQLite returns it, in the order of the SELECT
ROW_ERRORS = (InvalidTransitionError, KeyError, ValueError, TypeError)  # rows are not what was written


@dataclass(slots=True)
class JobRecord:
    """A job as it was accepted: what is needed to send it again after a restart.

    Attributes:
        job_id: The id, unique in a store.
        owner: The tenant that submitted it.
        key: The client's idempotency key; None where the client waits on its connection.
        digest: The digest of all that makes two submissions the same job.
        semantics: Whether it may run again.
        accepted_at: When it was accepted.
        expires_at: The last moment for its final answer.
        call: The stored call (`submitted_call.encode_call`).
    """

    job_id: str
    owner: str
    key: str | None
    digest: bytes
    semantics: Semantics
    accepted_at: Ticks
    expires_at: Ticks
    call: bytes

    @property
    def checksum(self) -> int:
        """The CRC-32 in the row, without what schema 1 did not have, so that its rows' sums hold."""
        text = "\0".join(
            (
                self.job_id,
                self.owner,
                self.key or "",
                self.semantics.name,
                str(self.accepted_at),
                str(self.expires_at),
            )
        )
        return zlib.crc32(self.call, zlib.crc32(text.encode()))


@dataclass(slots=True, frozen=True)
class DeleteEndedJobs:
    """All jobs that ended before a moment are deleted."""

    ended_before: Ticks


StoreWrite: TypeAlias = JobRecord | JobTransition | DeleteEndedJobs


class StoredJob(NamedTuple):
    """A job as the store holds it: its record, and the state that its transitions lead to."""

    record: JobRecord
    machine: JobStateMachine


class LoadedJobs(NamedTuple):
    """The jobs of a store.

    Attributes:
        jobs: In the order in which they were accepted.
        findings: For each job whose rows are not what was written, its id and what is wrong.
    """

    jobs: list[StoredJob]
    findings: list[str]


def checksum_of_end(ended: JobEnded) -> int:
    """Return the CRC-32 that stands in the row of a final answer."""
    text = f"{ended.job_id}\0{ended.outcome.value}\0{ended.status}"
    return zlib.crc32(ended.result, zlib.crc32(text.encode()))


def apply_write(database: sqlite3.Connection, write: StoreWrite) -> None:
    """Write one row, or delete some, inside the caller's transaction.

    Raises:
        sqlite3.Error: The row cannot be written; an `IntegrityError` where its id or key is there already.
    """
    match write:
        case JobRecord():
            _insert_record(database, write)
        case DeleteEndedJobs():
            _delete_ended(database, write.ended_before)
        case LeaseIntended():
            database.execute(
                "INSERT INTO leases (job, number, worker, at) VALUES (?,?,?,?)",
                (write.job_id, write.number, write.worker, write.at),
            )
        case LeaseCleared():
            database.execute(
                "UPDATE leases SET never_ran = 1 WHERE job = ? AND number = ?", (write.job_id, write.number)
            )
        case CancelRequested():
            database.execute("INSERT OR IGNORE INTO cancels VALUES (?,?)", (write.job_id, write.at))
        case JobEnded():
            database.execute(
                "INSERT INTO finals VALUES (?,?,?,?,?,?)",
                (
                    write.job_id,
                    write.outcome.value,
                    write.status,
                    write.at,
                    write.result,
                    checksum_of_end(write),
                ),
            )


def _insert_record(database: sqlite3.Connection, record: JobRecord) -> None:
    database.execute(
        "INSERT INTO jobs (job, owner, key, semantics, accepted, expires, call, sum, digest) "
        "VALUES (?,?,?,?,?,?,?,?,?)",
        (
            record.job_id,
            record.owner,
            record.key,
            record.semantics.name,
            record.accepted_at,
            record.expires_at,
            record.call,
            record.checksum,
            record.digest,
        ),
    )


def _delete_ended(database: sqlite3.Connection, ended_before: Ticks) -> None:
    job_ids = database.execute("SELECT job FROM finals WHERE at < ?", (ended_before,)).fetchall()
    for table in ("jobs", "leases", "cancels", "finals"):
        database.executemany(f"DELETE FROM {table} WHERE job = ?", job_ids)


def decode_job(row: Row, leases: Iterable[Row], cancel: Row | None, final: Row | None) -> StoredJob:
    """Return the job that its rows describe.

    Args:
        row: As `SELECT_JOB` returns it.
        leases: As `SELECT_LEASE` returns them, by number.
        cancel: The time of the wish to cancel, if there is one.
        final: As `SELECT_FINAL` returns it, without the id, if there is one.

    Raises:
        InvalidTransitionError, KeyError, ValueError, TypeError: The rows are not what was written
            (`ROW_ERRORS`).
    """
    job_id, owner, key, digest, semantics, accepted_at, expires_at, call, checksum = row
    job_id = str(job_id)
    record = JobRecord(job_id, owner, key, digest, Semantics[semantics], accepted_at, expires_at, call)
    if record.checksum != checksum:
        raise InvalidTransitionError("its sum is off")
    machine = JobStateMachine(job_id, record.semantics, record.accepted_at, record.expires_at)
    machine.change_count = int(record.key is not None)  # its client was told that it is accepted
    for _, number, worker, at, never_ran in leases:
        machine.apply(LeaseIntended(job_id, at, number, worker))
        machine.leases[-1].never_ran = bool(never_ran)
    if cancel is not None:
        machine.apply(CancelRequested(job_id, cancel[0]))
    if final is not None:
        outcome, status, at, result, checksum = final
        ended = JobEnded(job_id, at, JobOutcome(outcome), status, result)
        if checksum_of_end(ended) != checksum:
            raise InvalidTransitionError("its final answer's sum is off")
        machine.apply(ended)
    return StoredJob(record, machine)


def load_jobs(database: sqlite3.Connection, include_ended: bool = True) -> LoadedJobs:
    """Read all jobs of a database, those that have ended only if `include_ended`.

    Raises:
        sqlite3.Error: The file cannot be read.
    """
    which_jobs = which_leases = ""
    if not include_ended:
        which_jobs, which_leases = f" WHERE {IS_OPEN.format('jobs')}", f" WHERE {IS_OPEN.format('leases')}"
    leases: dict[str, list[Row]] = {}
    for row in database.execute(f"{SELECT_LEASE}{which_leases} ORDER BY job, number"):
        leases.setdefault(row[0], []).append(row)
    finals = {row[0]: row[1:] for row in database.execute(SELECT_FINAL)} if include_ended else {}
    cancels = {row[0]: row[1:] for row in database.execute(SELECT_CANCEL)}
    loaded = LoadedJobs([], [])
    for row in database.execute(f"{SELECT_JOB}{which_jobs} ORDER BY accepted, job"):
        job_id = str(row[0])
        try:
            job = decode_job(row, leases.get(job_id, ()), cancels.get(job_id), finals.get(job_id))
        except ROW_ERRORS as error:
            loaded.findings.append(f"{job_id}: {error}")
        else:
            loaded.jobs.append(job)
    return loaded


def load_ended_job(database: sqlite3.Connection, job_id: str) -> StoredJob | None:
    """Read one job whose final answer is on disk; None where there is none.

    Raises:
        InvalidTransitionError: Its rows are not what was written.
        sqlite3.Error: The file cannot be read.
    """
    database.execute("BEGIN")  # one state of the store for all four
    try:
        row = database.execute(f"{SELECT_JOB} WHERE job = ?", (job_id,)).fetchone()
        final = database.execute(f"{SELECT_FINAL} WHERE job = ?", (job_id,)).fetchone()
        leases = database.execute(f"{SELECT_LEASE} WHERE job = ? ORDER BY number", (job_id,)).fetchall()
        cancel = database.execute("SELECT at FROM cancels WHERE job = ?", (job_id,)).fetchone()
    finally:
        database.execute("COMMIT")
    try:
        return None if row is None or final is None else decode_job(row, leases, cancel, final[1:])
    except (KeyError, ValueError, TypeError) as error:
        raise InvalidTransitionError(f"{job_id}: {error}") from None
