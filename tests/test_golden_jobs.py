"""The durable jobs read and write the same bytes as commit f469a1f (tests/data/write_jobs.py).

Since then an attempt whose lease has lapsed is withdrawn, which one counter of the HTTP answers shows.
"""

import asyncio
import contextlib
import json
import sqlite3
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pathsaddle.jobs.maintenance import backup, read_jobs
from pathsaddle.jobs.state_machine import (
    CancelRequested,
    JobEnded,
    JobOutcome,
    LeaseCleared,
    LeaseIntended,
)
from pathsaddle.jobs.store import Store
from pathsaddle.jobs.store_rows import JobRecord, StoreWrite, checksum_of_end
from pathsaddle.jobs.store_writer import ThreadWriter
from pathsaddle.jobs.submitted_call import (
    decode_call,
    digest_of,
    encode_call,
    idempotency_key_of,
    to_worker_call,
)
from pathsaddle.net.wire.http import Message
from pathsaddle.scheduler_types import Semantics
from tests import test_jobs
from tests.data import jobs_steps

ROOT = Path(__file__).resolve().parent.parent
GOLDEN_STORE = ROOT / "tests" / "data" / "jobs.db"
GOLDEN: dict[str, Any] = json.loads((ROOT / "tests" / "data" / "jobs.json").read_text(encoding="utf-8"))


def write_of(step: dict[str, Any]) -> StoreWrite:
    """The store's write for a recorded step."""
    match step["kind"]:
        case "accept":
            return JobRecord(
                step["job"],
                step["owner"],
                step["key"],
                bytes.fromhex(step["digest"]),
                Semantics[step["semantics"]],
                step["accepted"],
                step["expires"],
                bytes.fromhex(step["call"]),
            )
        case "intent":
            return LeaseIntended(step["job"], step["at"], step["number"], step["worker"])
        case "clear":
            return LeaseCleared(step["job"], step["number"])
        case "cancel":
            return CancelRequested(step["job"], step["at"])
    outcome, result = JobOutcome(step["end"]), bytes.fromhex(step["result"])
    return JobEnded(step["job"], step["at"], outcome, step["status"], result)


WRITES = [write_of(step) for step in jobs_steps.STORE_STEPS]


async def write_store(path: Path) -> None:
    """One commit for each step, as the golden file was written."""
    store = Store(path, ThreadWriter())
    store.open()
    for write in WRITES:
        await store.put(write)
    store.close()


class GoldenStoreStory(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        asyncio.run(write_store(self.folder / "jobs.db"))

    def test_the_store_holds_the_same_rows(self) -> None:
        with contextlib.closing(sqlite3.connect(self.folder / "jobs.db")) as database:
            self.assertEqual(list(database.iterdump()), GOLDEN["dump"])

    def test_a_backup_has_the_same_bytes(self) -> None:
        """Another release of SQLite may lay pages out otherwise; then the rows of the copy are compared alone."""
        copy = self.folder / "copy.db"
        backup(self.folder / "jobs.db", copy)
        with contextlib.closing(sqlite3.connect(copy)) as database:
            self.assertEqual(list(database.iterdump()), GOLDEN["dump"])
        if sqlite3.sqlite_version == GOLDEN["sqlite"]:
            self.assertEqual(copy.read_bytes(), GOLDEN_STORE.read_bytes())

    def test_the_golden_file_is_read_as_it_was_written(self) -> None:
        copy = self.folder / "golden.db"
        copy.write_bytes(GOLDEN_STORE.read_bytes())
        jobs = {stored.record.job_id: stored for stored in read_jobs(copy)}
        self.assertEqual(
            {job_id: stored.record for job_id, stored in jobs.items()},
            {write.job_id: write for write in WRITES if isinstance(write, JobRecord)},
        )
        ends = {write.job_id: write for write in WRITES if isinstance(write, JobEnded)}
        for job_id, stored in jobs.items():
            machine, end = stored.machine, ends.get(job_id)
            with self.subTest(job_id):
                self.assertEqual(machine.is_open, end is None)
                if end is not None:
                    self.assertEqual(
                        (machine.outcome, machine.status, machine.result, machine.ended_at),
                        (end.outcome, end.status, end.result, end.at),
                    )
                leases = [
                    write for write in WRITES if isinstance(write, LeaseIntended) and write.job_id == job_id
                ]
                cleared = {
                    write.number
                    for write in WRITES
                    if isinstance(write, LeaseCleared) and write.job_id == job_id
                }
                self.assertEqual(
                    [
                        (lease.number, lease.worker, lease.intended_at, lease.never_ran)
                        for lease in machine.leases
                    ],
                    [(lease.number, lease.worker, lease.at, lease.number in cleared) for lease in leases],
                )
                self.assertEqual(
                    machine.is_cancel_requested,
                    any(isinstance(write, CancelRequested) and write.job_id == job_id for write in WRITES),
                )

    def test_checksums(self) -> None:
        records = [write for write in WRITES if isinstance(write, JobRecord)]
        ends = [write for write in WRITES if isinstance(write, JobEnded)]
        self.assertEqual([record.checksum for record in records], GOLDEN["sums"]["accept"])
        self.assertEqual([checksum_of_end(end) for end in ends], GOLDEN["sums"]["final"])

    def test_the_commands_print_the_same(self) -> None:
        commands = jobs_steps.commands(self.folder, ROOT, sys.executable)
        self.assertEqual(list(commands), list(GOLDEN["commands"]))
        for words, golden in GOLDEN["commands"].items():
            with self.subTest(words):
                self.assertEqual(commands[words], golden)


class GoldenCallStory(unittest.TestCase):
    def test_submitted_calls(self) -> None:
        for (lines, target, body), golden in zip(jobs_steps.CALLS, GOLDEN["calls"], strict=True):
            pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in lines]
            call = Message(
                b"POST",
                target.encode("latin-1"),
                headers={name.lower(): value for name, value in pairs},
                raw_headers=pairs,
                body=bytes.fromhex(body),
            )
            worker_call = to_worker_call(call, "j1-1-00000001")
            row = jobs_steps.call_row(
                call,
                encode_call(call),
                encode_call(worker_call),
                digest_of(call),
                idempotency_key_of(call),
            )
            self.assertEqual(row, golden)
            self.assertEqual(decode_call(bytes.fromhex(golden["packed"])), call)
            self.assertEqual(decode_call(bytes.fromhex(golden["inner"])), worker_call)


class GoldenHttpStory(unittest.TestCase):
    def test_the_http_answers_and_counters_are_the_same(self) -> None:
        story = test_jobs.JobServiceStory()
        story.setUp()
        self.addCleanup(story.doCleanups)

        def counters() -> str:
            return story.service.counters.text()

        answers = jobs_steps.http_answers(
            jobs_steps.Harness(
                start=story.start,
                begin=story.begin,
                die=story.crash,
                wait=story.advance,
                call=story.call,
                report=story.fake_workers.reports.__setitem__,
                counters=counters,
            )
        )
        for answer, golden in zip(answers, GOLDEN["http"], strict=True):
            self.assertEqual(answer, golden)
            if isinstance(answer, list) and isinstance(answer[5], dict):
                self.assertEqual(list(answer[5]), list(golden[5]), "the members have their order")


if __name__ == "__main__":
    unittest.main()
