"""Stories of durable jobs: crashes at every step, words of workers, stores that are ill, old, shared or torn."""

import asyncio
import contextlib
import dataclasses
import json
import sqlite3
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from pathsaddle.emulator.ground.links import Host, Net
from pathsaddle.emulator.ground.moments import Moments
from pathsaddle.jobs import model_checker, state_machine
from pathsaddle.jobs.errors import StoreFencedError, StoreUnusableError
from pathsaddle.jobs.job_service import JobService, JobServiceOptions
from pathsaddle.jobs.maintenance import backup, read_jobs, verify
from pathsaddle.jobs.registry import OPEN_JOB_BYTES
from pathsaddle.jobs.schema import MIGRATIONS, connect
from pathsaddle.jobs.state_machine import (
    CancelRequested,
    InvalidTransitionError,
    JobEnded,
    JobOutcome,
    JobStateMachine,
    LeaseCleared,
    LeaseDecision,
    LeaseIntended,
    LeaseReport,
)
from pathsaddle.jobs.store import Store
from pathsaddle.jobs.store_rows import JobRecord
from pathsaddle.jobs.store_writer import EmulatedDiskWriter, ThreadWriter
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import KnownSending
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.workers import ConnectionLostError, RequestNotSentError
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import ListRow, MessageDecoder
from pathsaddle.net.wire.http import HttpError, Message
from pathsaddle.scheduler_types import MILLISECOND, SECOND, ListUpdate, Semantics, Worker
from tests.fakehost import SETTINGS

PLATFORM_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "Schemes": [{**row, "OverdueValue": 0.5} for row in SETTINGS["Schemes"]],
}
ROOT = Path(__file__).parent.parent
ONCE, AGAIN = Semantics.ONCE_ONLY, Semantics.REPEATABLE
OPTIONS = JobServiceOptions(
    lease_ticks=5 * SECOND,
    retention_ticks=60 * SECOND,
    longest_poll_ticks=30 * SECOND,
    recover_within_ticks=SECOND,
    margin_ticks=50 * MILLISECOND,
)


class StateMachineStory(unittest.TestCase):
    def job(self, semantics: Semantics = ONCE) -> JobStateMachine:
        return JobStateMachine("j", semantics, 0, 100 * SECOND)

    def intent(self, job: JobStateMachine, number: int) -> None:
        job.apply(LeaseIntended("j", 0, number, "w"))

    def test_lease_numbers_only_grow_and_non_idempotent_jobs_wait_for_certainty(self) -> None:
        job = self.job()
        self.intent(job, 1)
        with self.assertRaises(InvalidTransitionError):
            self.intent(job, 2)
        job.apply(LeaseCleared("j", number=1))
        with self.assertRaises(InvalidTransitionError):
            self.intent(job, 1)
        self.intent(job, 2)
        job.apply(JobEnded("j", 0, outcome=JobOutcome.SUCCEEDED))
        with self.assertRaises(InvalidTransitionError):
            job.apply(JobEnded("j", 0, outcome=JobOutcome.FAILED))

    def test_what_a_workers_report_means(self) -> None:
        for report, decision in (
            (LeaseReport.RUNNING, LeaseDecision.RESUME),
            (LeaseReport.DONE, LeaseDecision.SUCCEED),
            (LeaseReport.NEVER_RAN, LeaseDecision.CLEAR),
            (LeaseReport.FAILED, LeaseDecision.DOUBT),
            (LeaseReport.UNKNOWN, LeaseDecision.ASK_AGAIN),
        ):
            self.assertIs(state_machine.decide_after_restart(report, 0, 10), decision)
        self.assertIs(state_machine.decide_after_restart(LeaseReport.UNKNOWN, 10, 10), LeaseDecision.DOUBT)
        self.assertIs(
            state_machine.decide_after_lapse(LeaseReport.UNKNOWN, AGAIN, 0, 10), LeaseDecision.DOUBT
        )
        self.assertIs(
            state_machine.decide_after_lapse(LeaseReport.UNKNOWN, ONCE, 0, 10), LeaseDecision.ASK_AGAIN
        )

    def test_a_clock_stepped_back_gives_no_job_more_time_than_it_had(self) -> None:
        self.assertEqual(state_machine.expiry_after_restart(1000, 1500, 200), 700)
        self.assertEqual(state_machine.expiry_after_restart(1000, 1500, 1200), 1500)

    def test_every_order_of_steps(self) -> None:
        states = model_checker.Model([ONCE, AGAIN]).search(10)
        print(f"model: {states} states of two jobs to depth 10", file=sys.stderr)
        self.assertGreater(states, 40_000)

    def test_the_model_finds_what_is_wrong(self) -> None:
        real = state_machine.decide_after_restart

        def trusting(report: LeaseReport, now: int, expires_at: int) -> LeaseDecision:
            return LeaseDecision.CLEAR if report is LeaseReport.UNKNOWN else real(report, now, expires_at)

        with (
            mock.patch.object(state_machine, "decide_after_restart", trusting),
            self.assertRaises(model_checker.InvariantViolatedError) as caught,
        ):
            model_checker.Model([ONCE]).search(18)
        self.assertIn("once-only job 0", str(caught.exception))


class StoreStory(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "jobs.db"
        self.stores: list[Store] = []

    def store(self, lock: bool = True) -> Store:
        store = Store(self.path, ThreadWriter(), use_lock=lock)
        self.addCleanup(store.close)
        self.found = store.open()
        return store

    @staticmethod
    def accepted(job_id: str, key: str | None = None, call: bytes = b"[]\n") -> JobRecord:
        return JobRecord(job_id, "acme", key, b"d", ONCE, 100, 9_999, call)

    async def test_what_was_put_is_there_whole_after_a_restart(self) -> None:
        store = self.store()
        await store.put(self.accepted("a", "k"), LeaseIntended("a", 5, 1, "w"))
        await store.put(LeaseCleared("a", number=1), LeaseIntended("a", 6, 2, "x"))
        await store.put(CancelRequested("a", 7))
        await store.put(JobEnded("a", 8, outcome=JobOutcome.SUCCEEDED, status=200, result=b"\x00r"))
        store.close()
        record, job = (self.store(), self.found[0])[1]
        self.assertEqual((record.key, record.digest), ("k", b"d"))
        self.assertEqual([(lease.number, lease.never_ran) for lease in job.leases], [(1, True), (2, False)])
        self.assertEqual(
            (job.is_cancel_requested, job.outcome, job.result), (True, JobOutcome.SUCCEEDED, b"\x00r")
        )

    async def test_many_that_wait_are_one_commit(self) -> None:
        store = self.store()
        await asyncio.gather(*(store.put(self.accepted(f"a{i}")) for i in range(500)))
        self.assertLess(store.commit_count, 250)
        self.assertEqual(store.written_count, 500)

    async def test_a_write_that_can_not_stand_fails_alone(self) -> None:
        store = self.store()
        await store.put(self.accepted("a", "k"))
        puts = [store.put(self.accepted(job_id, key)) for job_id, key in (("b", "x"), ("c", "k"), ("d", "y"))]
        results = await asyncio.gather(*puts, return_exceptions=True)
        self.assertEqual(
            [type(result) for result in results], [type(None), sqlite3.IntegrityError, type(None)]
        )
        self.assertEqual([job.job_id for _, job in read_jobs(self.path)], ["a", "b", "d"])

    async def test_two_processes_on_one_store(self) -> None:
        first = self.store()
        with self.assertRaisesRegex(StoreUnusableError, "another process"):
            self.store()
        second = self.store(lock=False)  # as on a disk without locks
        with self.assertRaises(StoreFencedError):
            await first.put(self.accepted("a"))
        with self.assertRaises(StoreFencedError):
            await first.put(self.accepted("b"))
        await second.put(self.accepted("c"))
        self.assertEqual([job.job_id for _, job in read_jobs(self.path)], ["c"])

    async def test_an_older_schema_is_brought_up_and_a_newer_one_refused(self) -> None:
        db = sqlite3.connect(self.path)
        db.executescript(MIGRATIONS[1] + "PRAGMA user_version = 1;")
        record = self.accepted("old", "k")
        db.execute(
            "INSERT INTO jobs VALUES (?,?,?,?,?,?,?,?)",
            (
                "old",
                record.owner,
                record.key,
                "ONCE_ONLY",
                record.accepted_at,
                record.expires_at,
                record.call,
                record.checksum,
            ),
        )
        db.commit()
        db.close()
        self.store().close()
        self.assertEqual(self.found[0][0].digest, b"")
        self.assertEqual(verify(self.path), [])
        with connect(self.path) as db:
            db.execute("PRAGMA user_version = 99")
        with self.assertRaisesRegex(StoreUnusableError, "newer"):
            self.store()

    async def test_a_flipped_row_is_set_aside_alone_and_verify_names_it(self) -> None:
        store = self.store()
        await store.put(self.accepted("good"), self.accepted("bad", call=b"[1]\n"))
        store.close()
        with connect(self.path) as db:
            db.execute("UPDATE jobs SET call = x'00' WHERE job = 'bad'")
        self.assertIn("bad: its sum is off", verify(self.path)[0])
        again = self.store()
        self.assertEqual([job.job_id for _, job in self.found], ["good"])
        self.assertEqual(len(again.findings), 1)

    async def test_a_torn_page_is_no_store(self) -> None:
        store = self.store()
        await asyncio.gather(*(store.put(self.accepted(f"a{i}", call=b"x" * 3000)) for i in range(50)))
        store.close()
        data = bytearray(self.path.read_bytes())
        data[8192:12_288] = bytes(4096)
        self.path.write_bytes(data)
        self.assertTrue(verify(self.path))

    async def test_backup_while_in_use_and_restore(self) -> None:
        store = self.store()
        await store.put(self.accepted("a"))
        copy = self.path.with_name("copy.db")
        backup(self.path, copy)
        await store.put(self.accepted("b"))
        run = [sys.executable, "-m", "pathsaddle", "jobs"]

        def command(*words: str) -> subprocess.CompletedProcess[str]:
            return subprocess.run([*run, *words], cwd=ROOT, capture_output=True, text=True, check=False)

        done = command("restore", str(copy), str(self.path))
        self.assertEqual(done.returncode, 2)
        self.assertIn("another process has it open", done.stderr)
        store.close()
        self.assertEqual(command("restore", str(copy), str(self.path)).returncode, 0)
        listed = command("list", str(self.path), "--open").stdout
        self.assertEqual([json.loads(line)["id"] for line in listed.splitlines()], ["a"])
        self.assertEqual(json.loads(command("show", str(self.path), "a").stdout)["state"], "accepted")
        self.assertEqual(command("verify", str(self.path)).returncode, 0)
        self.assertEqual(command("show", str(self.path), "b").returncode, 2)


class FakeWorkers:
    """Workers whose answers the test sets: what was sent to them, and what they were asked."""

    def __init__(self, story: "JobServiceStory") -> None:
        self.story = story
        self.connect_timeout = SECOND
        self.attempts: list[tuple[str, str, int]] = []  # worker, job, lease
        self.reports: dict[str, dict[str, Any] | None] = {}  # by worker: its answer to a query
        self.queries: list[tuple[str, str]] = []
        self.withdrawals: list[tuple[str, int]] = []  # worker, attempts sent before
        self.loses_withdrawals = False
        self.mode = "take"
        self.on_connection_broken: Any = None
        self.links = mock.Mock()

    def set_address(self, worker: str, address: str) -> None:
        pass

    async def call(
        self,
        worker: str,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        begins: Any = lambda sending: None,
        is_query: bool = False,
    ) -> Message:
        if method == "GET" and target.startswith(b"/jobs/"):
            self.queries.append((worker, target.decode()))
            report = self.reports.get(worker)
            if report is None:
                raise RequestNotSentError("silent")
            return Message(status=200 if report else 404, body=json.dumps(report).encode())
        if method == "DELETE":
            self.withdrawals.append((worker, len(self.attempts)))
            if self.loses_withdrawals:
                raise RequestNotSentError("silent")
        if method != "POST":
            return Message(status=200, body=b'{"x0":8,"queue":0,"inflight":0}')
        if self.mode == "hangs":
            await asyncio.sleep(99.0)
        sending = KnownSending(False)
        begins(sending)
        job_id = dict(headers)[b"Req-Id"].decode()
        self.story.check_intent(job_id, int(dict(headers).get(b"Job-Lease", b"0")))
        self.attempts.append((worker, job_id, int(dict(headers).get(b"Job-Lease", b"0"))))
        sending.is_complete = True
        if self.mode == "reset":
            raise ConnectionLostError("reset")
        return Message(status=202)


class JobServiceStory(unittest.TestCase):
    """A durable txn service on the virtual loop with a disk that loses what was not synced."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "jobs.db"
        self.loop = Moments()  # type: ignore[abstract]
        self.net = Net(self.loop)
        self.wall = self.loop.wall
        self.options = OPTIONS
        self.host: Host | None = None
        self.fake_workers = FakeWorkers(self)
        self.answers: list[tuple[int, dict[str, Any]]] = []

    def check_intent(self, job_id: str, lease: int) -> None:
        """What the disk says when the first byte leaves."""
        [job] = [job for _, job in read_jobs(self.path) if job.job_id == job_id]
        self.assertEqual(job.leases[-1].number, lease, "its intent is on disk before it leaves")

    async def _make_service(self, workers: int = 1, sync: float = 0.002) -> None:
        self.disk = EmulatedDiskWriter(self.loop, Random(1), sync)
        self.store = Store(self.path, self.disk, use_lock=False, synchronous="OFF")
        known = terms.terms(PLATFORM_SETTINGS)
        self.service = JobService(
            known,
            MessageDecoder(PLATFORM_SETTINGS, known),
            7,
            Clock(self.wall, self.loop.time),
            self.fake_workers,
            Counters(),
            lambda: None,
            store=self.store,
            options=self.options,
            rng=Random(1),
        )
        self.service.listed(ListUpdate.COMPLETE, [ListRow(Worker(f"w{i}"), "x:1") for i in range(workers)])

    def start(self, **options: Any) -> None:
        self.host = Host(self.net, "d")
        self.run_work(self._make_service(**options))

    def begin(self) -> None:
        assert self.host is not None
        self.host.run(self.service.begin)
        self.advance(0.5)

    def crash(self) -> None:
        assert self.host is not None
        self.host.kill()
        self.disk.crash()
        self.store.close()

    def run_work(self, work: Any) -> Any:
        assert self.host is not None
        task = self.host.run(lambda: work)

        async def wait() -> Any:
            return await task

        return self.loop.run_until_complete(wait())

    def advance(self, time: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(time))

    def call(
        self, method: bytes, target: bytes, body: bytes = b"b", **headers: str
    ) -> tuple[int, dict[str, Any]]:
        """Status and body of a call that is answered within two virtual seconds."""
        answers: list[tuple[int, dict[str, Any]]] = []
        lines = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in {"Req-Owner": "acme", **headers}.items()
        ]
        message = Message(
            method, target, headers={n.lower(): v for n, v in lines}, raw_headers=lines, body=body
        )

        def answer(status: int, body: bytes, _: tuple[str, ...], keep: bool) -> None:
            answers.append((status, json.loads(body) if body[:1] == b"{" else {"text": body.decode()}))

        async def take() -> None:
            try:
                if target == b"/callback":
                    self.service.receive_callback(self.service.words.decode_callback(body), answer)
                else:
                    self.service.take(message, answer)
            except HttpError as fault:
                answers.append((fault.status, {"why": str(fault)}))

        self.run_work(take())
        for _ in range(40):
            if answers:
                return answers[0]
            self.advance(0.05)
        return 0, {}

    def submit(
        self, key: str = "k", scheme: bytes = b"charge", body: bytes = b"b"
    ) -> tuple[int, dict[str, Any]]:
        return self.call(b"POST", b"/jobs/" + scheme, body, Idempotency_Key=key)

    def status(self, job_id: str) -> dict[str, Any]:
        return self.call(b"GET", f"/jobs/{job_id}".encode())[1]

    def call_back(self, job_id: str, state: str = "done", worker: str = "w0") -> int:
        return self.call(
            b"POST",
            b"/callback",
            json.dumps({"id": job_id, "from": worker, "state": state, "result": "r"}).encode(),
        )[0]

    def start_with_running_job(self, **options: Any) -> str:
        """A started one with one job out at w0."""
        self.start(**options)
        self.begin()
        status, shown = self.submit()
        self.assertEqual(status, 202)
        self.advance(0.2)
        self.assertEqual(len(self.fake_workers.attempts), 1)
        return str(shown["id"])

    def test_accepted_run_and_polled(self) -> None:
        job_id = self.start_with_running_job()
        self.assertEqual(self.status(job_id)["state"], "leased")
        self.assertEqual(self.call_back(job_id), 204)
        shown = self.status(job_id)
        self.assertEqual((shown["state"], shown["result"], shown["status"]), ("settled", "r", 200))
        self.assertEqual(self.call_back(job_id), 204, "doubled: answered, and counted once")
        self.assertEqual(self.status(job_id), shown)

    def test_the_same_key_is_the_same_job_and_another_body_a_conflict(self) -> None:
        job_id = self.start_with_running_job()
        self.assertEqual(self.submit()[1]["id"], job_id)
        self.assertEqual(self.submit(body=b"other")[0], 409)
        self.assertEqual(self.call(b"POST", b"/jobs/charge")[0], 400, "no key")
        self.crash()
        self.fake_workers.reports["w0"] = {"state": "running"}
        self.start()
        self.begin()
        self.assertEqual(self.submit()[1]["id"], job_id, "also after a restart")

    def test_the_same_submission_twice_at_once_is_not_accepted_before_it_is_on_disk(self) -> None:
        self.start()
        self.begin()
        self.disk.ill = OSError(28, "no space left")
        head = {b"Req-Owner": b"acme", b"Idempotency-Key": b"k"}
        message = Message(
            b"POST",
            b"/jobs/charge",
            headers={n.lower(): v for n, v in head.items()},
            raw_headers=list(head.items()),
            body=b"b",
        )
        statuses: list[int] = []

        async def twice() -> None:
            for _ in range(2):
                self.service.take(message, lambda status, *_: statuses.append(status))

        self.run_work(twice())
        self.advance(0.2)
        self.assertEqual(statuses, [503, 503])

    def test_a_key_may_come_again_after_its_retention(self) -> None:
        job_id = self.start_with_running_job()
        self.call_back(job_id)
        self.advance(90.0)
        status, shown = self.submit()
        self.assertEqual(status, 202)
        self.assertNotEqual(shown["id"], job_id)
        self.assertEqual(self.call(b"GET", f"/jobs/{job_id}".encode())[0], 404)

    def end_jobs(self, count: int, room: int) -> dict[str, dict[str, Any]]:
        """So many jobs that have ended, by id with what is shown of each; memory is for so many of them."""
        self.options = dataclasses.replace(OPTIONS, ended_memory_bytes=room * 1100)
        self.start()
        self.begin()
        shown: dict[str, dict[str, Any]] = {}
        for i in range(count):
            job_id = str(self.submit(f"k{i}")[1]["id"])
            self.advance(0.1)
            if i % 3 == 2:
                self.assertEqual(self.call(b"DELETE", f"/jobs/{job_id}".encode())[1]["state"], "cancelled")
            else:
                self.assertEqual(self.call_back(job_id), 204)
            shown[job_id] = self.status(job_id)
        self.assertEqual(len(self.fake_workers.attempts), count)
        return shown

    def check_known(self, known: dict[str, dict[str, Any]]) -> None:
        """All of them are answered for as on their first day, and none is posted again."""
        posted = len(self.fake_workers.attempts)
        for i, (job_id, shown) in enumerate(known.items()):
            self.assertEqual(self.status(job_id), shown)
            self.assertEqual(self.submit(f"k{i}"), (202, shown))
            self.assertEqual(self.submit(f"k{i}", body=b"other")[0], 409)
            self.assertEqual(self.call(b"DELETE", f"/jobs/{job_id}".encode()), (200, shown))
            self.assertEqual(
                self.call(b"GET", f"/jobs/{job_id}?wait_ms=9000&since=99".encode()), (200, shown)
            )
            self.assertEqual(self.call(b"GET", f"/jobs/{job_id}".encode(), Req_Owner="other")[0], 404)
            self.assertEqual(self.call(b"POST", b"/charge", Req_Id=job_id)[0], 409, "an id is used once")
            self.assertEqual(self.call_back(job_id), 204, "late: answered, and nothing follows")
        self.advance(1.0)
        self.assertEqual(len(self.fake_workers.attempts), posted)

    def test_ended_jobs_take_memory_up_to_a_bound_and_are_known_from_disk(self) -> None:
        """All of a month's stayed in memory: 251 MiB at 100,000 where 192 were configured."""
        known = self.end_jobs(12, room=4)
        self.assertLessEqual(len(self.service.registry.jobs), 4)
        self.assertEqual(
            (len(self.service.registry.by_key), len(self.service.registry.ended)),
            (len(self.service.registry.jobs),) * 2,
        )
        self.assertEqual(
            [(job.entry, job.record.call) for job in self.service.registry.ended], [(None, b"")] * 4
        )
        self.check_known(known)

    def test_open_jobs_take_memory_up_to_a_bound_and_beyond_it_new_ones_are_rejected_with_the_reason(
        self,
    ) -> None:
        """All of them are in memory, and nothing declined new ones for it: 249 to 577 MiB at 100,000."""
        self.options = dataclasses.replace(OPTIONS, open_memory_bytes=3 * OPEN_JOB_BYTES + 1)
        self.start()
        self.begin()
        job_ids = [str(self.submit(f"k{i}")[1]["id"]) for i in range(3)]
        with mock.patch.object(logbook, "note") as note:
            for _ in range(2):
                status, shown = self.submit("k4")
                self.assertEqual(
                    (status, shown), (503, {"why": "as many jobs are open as its memory has room for"})
                )
            self.assertEqual(
                self.call(b"POST", b"/charge", Req_Id="c1")[0], 503, "nor one whose client waits"
            )
        self.assertEqual((note.call_count, self.service.counters["jobs.full"]), (1, 3))
        self.assertEqual(self.submit("k0")[0], 202, "one that was accepted is the same job again")
        self.advance(0.2)
        self.assertEqual(self.call_back(job_ids[0]), 204)
        self.advance(0.1)
        self.assertEqual(self.call(b"DELETE", f"/jobs/{job_ids[1]}".encode())[1]["state"], "cancelled")
        self.advance(0.2)
        self.assertEqual(self.submit("k4")[0], 202, "there is room again")

    def test_more_open_jobs_than_its_memory_has_room_for_are_all_recovered_after_a_restart(self) -> None:
        self.start()
        self.begin()
        for i in range(4):
            self.assertEqual(self.submit(f"k{i}")[0], 202)
        self.advance(0.2)
        self.crash()
        self.options = dataclasses.replace(OPTIONS, open_memory_bytes=2 * OPEN_JOB_BYTES)
        self.fake_workers.reports["w0"] = {"state": "running"}
        self.start()
        self.begin()
        self.assertEqual(len([job for job in self.service.registry.jobs.values() if job.is_open]), 4)
        self.assertEqual(self.submit("k4")[0], 503)
        for job in list(self.service.registry.jobs.values()):
            self.assertEqual(self.call_back(job.machine.job_id), 204)
        self.advance(0.3)
        self.assertEqual(self.service.registry.open_bytes, 0, "what is reckoned comes back to nothing")
        self.assertEqual(self.submit("k4")[0], 202)

    def test_a_job_whose_acceptance_the_disk_refused_takes_no_room(self) -> None:
        self.start()
        self.begin()
        self.disk.ill = OSError(28, "no space left")
        self.assertEqual(self.submit()[0], 503)
        self.assertEqual(self.service.registry.open_bytes, 0)

    def test_a_start_reads_the_open_jobs_alone_and_knows_the_ended_ones(self) -> None:
        known = self.end_jobs(6, room=100)
        self.crash()
        self.start()
        self.assertEqual((self.service.recovery.stored_jobs, self.service.registry.jobs), ([], {}))
        self.assertEqual(self.submit("k0")[0], 503, "recovering")
        self.begin()
        self.check_known(known)
        self.assertEqual(self.service.registry.jobs, {})

    def test_what_is_on_disk_alone_is_deleted_after_its_retention(self) -> None:
        known = self.end_jobs(6, room=0)
        self.assertEqual(self.service.registry.jobs, {})
        self.advance(90.0)
        self.assertEqual(list(read_jobs(self.path)), [])
        for job_id in known:
            self.assertEqual(self.call(b"GET", f"/jobs/{job_id}".encode())[0], 404)
        self.assertEqual(self.submit("k0")[0], 202)
        self.advance(0.2)
        self.assertEqual(len(self.fake_workers.attempts), 7)

    def test_jobs_past_their_retention_are_deleted_a_minute_s_worth_at_a_time(self) -> None:
        """An eighth of a month's at once, 112,000, keeps the disk for seconds, in which new jobs are declined."""
        self.options = dataclasses.replace(OPTIONS, retention_ticks=9600 * SECOND)
        self.start()
        self.begin()
        self.advance(60.0)  # the eighths of a retention count from the start
        job_id = str(self.submit()[1]["id"])
        self.advance(0.2)
        self.assertEqual(self.call_back(job_id), 204)
        self.advance(9590.0)
        self.assertEqual(len(list(read_jobs(self.path))), 1)
        self.advance(140.0)  # the next eighth would be 1,000 s later
        self.assertEqual(list(read_jobs(self.path)), [])

    def test_an_ended_job_whose_rows_are_flipped_or_that_can_not_be_read(self) -> None:
        first, second = self.end_jobs(2, room=0)
        with connect(self.path) as db:
            db.execute("UPDATE finals SET result = x'00' WHERE job = ?", (first,))
        self.assertEqual(self.call(b"GET", f"/jobs/{first}".encode())[0], 404, "set aside")
        self.crash()
        self.start()
        self.begin()
        self.assertEqual(self.status(second)["state"], "settled")
        assert self.store._reader is not None
        self.store._reader.close()
        for method, target in (
            (b"GET", f"/jobs/{second}"),
            (b"DELETE", f"/jobs/{second}"),
            (b"POST", "/jobs/charge"),
        ):
            self.assertEqual(self.call(method, target.encode(), Idempotency_Key="k1")[0], 503)
        self.assertEqual(
            self.call(b"POST", b"/charge", Req_Id=second)[0], 503, "not posted where it may be known"
        )
        self.assertEqual(len(self.fake_workers.attempts), 2)

    def test_a_crash_between_the_send_and_its_record_can_not_be(self) -> None:
        """The record comes first; where the sync was lost, nothing was sent."""
        self.start(sync=1.0)
        self.begin()
        self.advance(1.0)
        self.submit()
        self.advance(0.3)
        self.crash()  # within the group commit that holds the intent, or just after
        leases = [len(job.leases) for _, job in read_jobs(self.path)]
        self.assertLessEqual(len(self.fake_workers.attempts), leases[0])

    def test_a_crash_between_the_record_and_the_send(self) -> None:
        """On disk, never sent: the worker's word that it never had it lets it go out under the next lease."""
        self.start()
        self.begin()
        self.fake_workers.mode = "hangs"
        job_id = str(self.submit()[1]["id"])
        self.advance(0.2)
        self.crash()
        self.fake_workers.mode = "take"
        self.assertEqual([len(job.leases) for _, job in read_jobs(self.path)], [1])
        self.fake_workers.reports["w0"] = {"state": "never", "fence": 1}
        self.start()
        self.begin()
        self.advance(3.0)
        self.assertEqual(self.fake_workers.attempts, [("w0", job_id, 2)])

    def test_non_idempotent_in_doubt_is_never_sent_again_and_fails_at_expiry(self) -> None:
        job_id = self.start_with_running_job(workers=2)
        self.crash()
        self.fake_workers.reports.clear()
        self.start(workers=2)
        self.begin()
        self.advance(5.0)
        self.assertEqual(self.status(job_id)["state"], "leased")
        self.advance(6.0)
        self.assertEqual((self.status(job_id)["state"], len(self.fake_workers.attempts)), ("reversed", 1))
        self.assertTrue(self.status(job_id)["may_have_run"])

    def test_a_job_whose_request_class_is_gone_holds_up_no_other(self) -> None:
        job_id = self.start_with_running_job()
        self.crash()
        gone = {**PLATFORM_SETTINGS, "Schemes": PLATFORM_SETTINGS["Schemes"][:1]}
        with mock.patch.dict(PLATFORM_SETTINGS, gone):
            self.start()
            self.begin()
        self.assertTrue(self.service.recovery.is_done)
        self.assertEqual(self.status(job_id)["state"], "leased")

    def test_a_fence_for_another_lease_says_nothing(self) -> None:
        job_id = self.start_with_running_job()
        self.crash()
        self.fake_workers.reports["w0"] = {"state": "never", "fence": 7}
        self.start()
        self.begin()
        self.advance(3.0)
        self.assertEqual((self.status(job_id)["state"], len(self.fake_workers.attempts)), ("leased", 1))

    def test_callbacks_before_during_and_after_recovery(self) -> None:
        job_id = self.start_with_running_job()
        self.crash()
        self.start()
        self.assertEqual(
            self.call(b"GET", f"/jobs/{job_id}".encode())[0], 503, "recovering: answered at once"
        )
        self.assertEqual(self.submit("other")[0], 503)
        during: list[int] = []
        callback = self.service.words.decode_callback(
            json.dumps({"id": job_id, "from": "w0", "state": "done", "result": "r"}).encode()
        )
        self.run_work(asyncio.sleep(0))

        async def comes() -> None:
            self.service.receive_callback(callback, lambda status, *_: during.append(status))

        self.run_work(comes())
        self.fake_workers.reports["w0"] = {"state": "running"}
        self.begin()
        self.advance(1.5)
        self.assertEqual(during, [204], "job, and answered once it is on disk")
        self.assertEqual(self.status(job_id)["state"], "settled")
        self.assertEqual(self.call_back(job_id, "failed"), 204, "out of order, and too late to matter")
        self.assertEqual(self.status(job_id)["state"], "settled")

    def test_a_returned_of_before_a_restart_does_not_end_the_next_attempt_there(self) -> None:
        """Guards against running a once-only job twice: the crash lost the answer to `returned`."""
        job_id = self.start_with_running_job()
        self.fake_workers.mode = "hangs"
        self.assertEqual(self.call_back(job_id, "returned"), 204)
        self.advance(0.2)
        self.crash()
        self.fake_workers.mode = "take"
        self.fake_workers.reports["w0"] = {"state": "never", "fence": 2}
        self.start()
        self.begin()
        self.advance(3.0)
        sent = len(self.fake_workers.attempts)
        self.assertEqual(self.call_back(job_id, "returned"), 204)
        self.advance(3.0)
        self.assertEqual((sent, len(self.fake_workers.attempts)), (2, 2))
        self.assertEqual(self.call_back(job_id), 204)
        self.assertEqual(self.status(job_id)["state"], "settled")

    def test_a_worker_silent_for_long_that_then_reports_progress_keeps_its_lease(self) -> None:
        job_id = self.start_with_running_job()
        self.fake_workers.reports["w0"] = {"state": "running"}
        self.advance(6.0)
        self.assertTrue(self.fake_workers.queries, "its lease was over: it was asked")
        self.assertEqual(self.call_back(job_id, "running"), 204)
        self.assertEqual(self.call_back(job_id), 204)
        self.assertEqual((self.status(job_id)["state"], len(self.fake_workers.attempts)), ("settled", 1))

    def test_a_late_result_of_an_older_lease_is_taken_and_counted_once(self) -> None:
        self.start(workers=2)
        self.begin()
        job_id = str(self.submit(scheme=b"render")[1]["id"])
        self.advance(7.0)
        self.assertEqual(
            [lease for _, _, lease in self.fake_workers.attempts], [1, 2], "its first lease lapsed"
        )
        first, second = (worker for worker, _, _ in self.fake_workers.attempts)
        self.assertEqual(self.call_back(job_id, worker=first), 204)
        self.assertEqual(self.status(job_id)["state"], "settled")
        self.assertEqual(self.call_back(job_id, worker=second), 204)
        self.assertEqual(self.service.counters["jobs.settled"], 1)

    def test_an_attempt_whose_lease_has_lapsed_is_withdrawn_before_the_next(self) -> None:
        """Guards against two attempts at once where that is forbidden: a lapsed one was ended here alone."""
        self.start(workers=2)
        self.begin()
        self.service.two_at_once = False
        self.submit(scheme=b"render")
        self.advance(7.0)
        self.assertEqual(len(self.fake_workers.attempts), 2)
        self.assertEqual(self.fake_workers.withdrawals[:1], [(self.fake_workers.attempts[0][0], 1)])

    def test_without_a_withdrawal_no_attempt_follows_a_lapsed_lease_where_two_are_forbidden(self) -> None:
        self.start(workers=2)
        self.begin()
        self.service.two_at_once = False
        self.fake_workers.loses_withdrawals = True
        self.submit(scheme=b"render")
        self.advance(7.0)
        self.assertEqual(len(self.fake_workers.attempts), 1)

    def test_a_cancel_that_was_under_way_at_a_crash(self) -> None:
        job_id = self.start_with_running_job()

        async def request_cancel() -> None:
            await self.store.put(CancelRequested(job_id, 1))

        self.run_work(request_cancel())
        self.crash()
        self.fake_workers.reports["w0"] = {"state": "running"}
        self.start()
        self.begin()
        self.assertEqual(self.status(job_id)["state"], "cancelled")
        self.assertEqual(self.call(b"DELETE", f"/jobs/{job_id}".encode())[0], 200)

    def test_a_cancel_of_a_running_job_ends_it_once(self) -> None:
        job_id = self.start_with_running_job()
        self.assertEqual(self.call(b"DELETE", f"/jobs/{job_id}".encode())[1]["state"], "cancelled")
        self.assertEqual(self.call_back(job_id), 204)
        self.assertEqual(self.status(job_id)["state"], "cancelled")

    def take_waiting_call(self) -> list[int]:
        """Make a call whose client waits on its connection; return the statuses that it is answered."""
        statuses: list[int] = []
        head = {b"Req-Owner": b"acme", b"Req-Id": b"call", b"Req-Deadline-Ms": b"4000"}
        lines = list(head.items())
        message = Message(
            b"POST", b"/charge", headers={n.lower(): v for n, v in lines}, raw_headers=lines, body=b"b"
        )

        async def take() -> None:
            self.service.take(message, lambda status, *_: statuses.append(status))

        self.run_work(take())
        self.advance(0.3)
        return statuses

    def test_the_client_of_a_call_whose_job_is_cancelled_is_answered(self) -> None:
        """Guards against a client that waits for ever: only polls were told of the end of a cancelled job."""
        for workers in (1, 0):
            with self.subTest(workers=workers):
                self.path = self.path.with_name(f"jobs-{workers}.db")
                self.start(workers=workers)
                self.begin()
                statuses = self.take_waiting_call()
                self.assertEqual(self.call(b"DELETE", b"/jobs/call")[1]["state"], "cancelled")
                self.assertEqual(statuses, [410])
                self.advance(5.0)
                self.assertEqual(statuses, [410], "one final answer")

    def test_a_cancelled_job_leaves_no_request_in_memory(self) -> None:
        """Guards against a growth of memory: a job that was cancelled before any attempt stayed in the ledger."""
        self.start(workers=0)
        self.begin()
        job_id = self.submit()[1]["id"]
        self.advance(0.2)
        self.assertIn(job_id, self.service.ledger)
        self.call(b"DELETE", f"/jobs/{job_id}".encode())
        self.advance(0.2)
        self.assertNotIn(job_id, self.service.ledger)

    def test_expiry_while_the_dispatcher_is_down(self) -> None:
        job_id = self.start_with_running_job()
        self.crash()
        self.advance(30.0)
        self.fake_workers.reports["w0"] = {"state": "done", "result": "r"}
        self.start()
        self.begin()
        self.assertEqual(
            self.status(job_id)["state"], "settled", "the worker's word counts as long as it is open"
        )
        self.crash()
        other = Path(self.path.parent / "other.db")
        self.path = other
        self.start()
        self.begin()
        job_id = str(self.submit("late")[1]["id"])
        self.crash()
        self.advance(30.0)
        self.fake_workers.reports["w0"] = None
        self.start()
        self.begin()
        self.advance(1.0)
        self.assertIn(self.status(job_id)["state"], ("reversed", "declined"))

    def test_the_clock_stepped_back(self) -> None:
        job_id = self.start_with_running_job()
        self.crash()
        self.wall = lambda: self.loop.wall() - 3600.0  # type: ignore[method-assign]
        self.start()
        self.begin()
        self.advance(12.0)
        self.assertEqual(self.status(job_id)["state"], "reversed", "no hour more")

    def test_a_full_disk_rejects_what_is_new_and_what_is_open_goes_on(self) -> None:
        job_id = self.start_with_running_job()
        self.disk.ill = OSError(28, "no space left")
        status, shown = self.submit("second")
        self.assertEqual((status, "no space left" in shown["why"]), (503, True))
        self.assertEqual(self.submit("third")[0], 503)
        self.run_work(asyncio.sleep(0))
        self.call_back(job_id)
        self.assertEqual(self.status(job_id)["state"], "leased", "not shown before it is on disk")
        self.disk.ill = None
        self.advance(1.5)
        self.assertEqual(self.status(job_id)["state"], "settled")
        self.assertEqual(self.submit("second")[0], 202)

    def test_intents_that_the_disk_refused_leave_a_gap_and_lose_no_job(self) -> None:
        """Seeds 115 and 155: leases 1 to 3 were never on disk, the fourth was, and the job was set aside."""
        self.start()
        self.begin()
        job_id = str(self.submit(scheme=b"render")[1]["id"])
        with mock.patch.object(self.store, "_commit", side_effect=sqlite3.OperationalError("full")):
            self.advance(0.4)
        self.advance(3.0)
        self.crash()
        jobs = [job for _, job in read_jobs(self.path)]
        self.assertEqual([job.job_id for job in jobs], [job_id])
        gap = JobStateMachine("g", AGAIN, 0, 10)
        gap.apply(LeaseIntended("g", 0, 4, "w"))
        self.assertEqual(gap.next_lease_number, 5)

    def test_a_call_is_answered_by_its_expiry_whatever_the_disk_does(self) -> None:
        """Seed 39: the commit failed a moment before, and was tried again before the client was told."""
        self.start()
        self.begin()
        answers: list[tuple[int, float]] = []
        head = {b"Req-Owner": b"acme", b"Req-Id": b"call", b"Req-Deadline-Ms": b"4000"}
        message = Message(
            b"POST",
            b"/charge",
            headers={n.lower(): v for n, v in head.items()},
            raw_headers=list(head.items()),
            body=b"b",
        )

        async def take() -> None:
            self.service.take(message, lambda status, *_: answers.append((status, self.loop.time())))

        begun = self.loop.time()
        self.run_work(take())
        self.advance(0.3)
        self.assertEqual(len(self.fake_workers.attempts), 1)
        self.disk.ill = OSError(28, "no space left")
        self.call_back("call")
        self.advance(3.0)
        self.assertEqual([status for status, _ in answers], [500], "nothing can be promised")
        self.assertLessEqual(answers[0][1] - begun, 4.001)

    def test_a_slow_disk_rejects_what_is_new_and_sends_nothing_early(self) -> None:
        self.start()
        self.begin()
        self.disk.slow = 5.0
        answer = self.submit("a")
        self.assertEqual(answer[0], 0, "not accepted before it is on disk")
        self.assertEqual(
            (self.submit("b"), len(self.fake_workers.attempts)), ((503, {"why": "the store is slow"}), 0)
        )

    def test_a_dispatcher_that_lost_the_store_stops_sending_at_once(self) -> None:
        self.start_with_running_job()
        other = Store(self.path, ThreadWriter(), use_lock=False)
        other.open()
        self.addCleanup(other.close)
        self.assertEqual(self.submit("second")[0], 503)
        self.assertEqual(self.submit("third")[1]["why"], "the store is another process's now")
        self.advance(1.0)
        self.assertEqual(len(self.fake_workers.attempts), 1)
        self.assertFalse(self.service.ready)

    def test_many_open_jobs_are_recovered_in_time(self) -> None:
        self.start()
        store = self.store

        def call(job_id: str) -> bytes:
            return json.dumps(["/render", [["Req-Owner", "acme"], ["Req-Id", job_id]]]).encode() + b"\nb"

        now = int(self.loop.wall() * SECOND)
        store._commit(
            [
                JobRecord(f"j{i}", "acme", f"k{i}", b"", AGAIN, now, now + 10 * SECOND, call(f"j{i}"))
                for i in range(5000)
            ]
        )
        self.crash()
        self.start()
        self.begin()
        self.assertTrue(self.service.recovery.is_done)
        self.assertGreater(len(self.fake_workers.attempts), 0)
        self.assertLessEqual(
            self.service.run_queue.running_count,
            512,
            "the others wait in order, and cost the decisions nothing",
        )
        self.advance(12.0)
        with contextlib.suppress(Exception):
            self.crash()
        self.assertEqual([job.job_id for _, job in read_jobs(self.path) if job.is_open], [])


if __name__ == "__main__":
    unittest.main()
