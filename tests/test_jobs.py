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
from pathsaddle.jobs.job_service import OPEN, JobService, JobServiceOptions
from pathsaddle.jobs.state_machine import (
    End,
    InvalidTransitionError,
    JobRecord,
    JobStateMachine,
    Kind,
    Next,
    Word,
)
from pathsaddle.jobs.store import (
    MIGRATIONS,
    Accepted,
    DiskWriter,
    Store,
    StoreFencedError,
    StoreUnusableError,
    ThreadWriter,
    backup,
    connect,
    rows,
    verify,
)
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Whole
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.workers import Lost, NeverSent
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import Row, Words
from pathsaddle.net.wire.http import Broken, Message
from pathsaddle.trade import MILLISECOND, SECOND, ListNews, Semantics, Worker
from tests.fakehost import SETTINGS

TOLD: dict[str, Any] = {**SETTINGS, "Schemes": [{**row, "OverdueValue": 0.5} for row in SETTINGS["Schemes"]]}
ROOT = Path(__file__).parent.parent
ONCE, AGAIN = Semantics.ONCE_ONLY, Semantics.REPEATABLE
WAYS = JobServiceOptions(
    lease=5 * SECOND,
    retention=60 * SECOND,
    longest_poll=30 * SECOND,
    recover_within=SECOND,
    margin=50 * MILLISECOND,
)


class LifeStory(unittest.TestCase):
    def job(self, semantics: Semantics = ONCE) -> JobStateMachine:
        return JobStateMachine("j", semantics, 0, 100 * SECOND)

    def intent(self, job: JobStateMachine, number: int) -> None:
        job.apply(JobRecord(Kind.INTENT, "j", 0, number, "w"))

    def test_leases_only_grow_and_once_only_waits_for_certainty(self) -> None:
        job = self.job()
        self.intent(job, 1)
        with self.assertRaises(InvalidTransitionError):
            self.intent(job, 2)
        job.apply(JobRecord(Kind.CLEAR, "j", number=1))
        with self.assertRaises(InvalidTransitionError):
            self.intent(job, 1)
        self.intent(job, 2)
        job.apply(JobRecord(Kind.FINAL, "j", end=End.SETTLED))
        with self.assertRaises(InvalidTransitionError):
            job.apply(JobRecord(Kind.FINAL, "j", end=End.REVERSED))

    def test_what_a_workers_word_means(self) -> None:
        for word, follows in (
            (Word.RUNNING, Next.RESUME),
            (Word.DONE, Next.SETTLE),
            (Word.NEVER, Next.CLEAR),
            (Word.FAILED, Next.DOUBT),
            (Word.NONE, Next.ASK),
        ):
            self.assertIs(state_machine.after_restart(word, 0, 10), follows)
        self.assertIs(state_machine.after_restart(Word.NONE, 10, 10), Next.DOUBT)
        self.assertIs(state_machine.lapsed(Word.NONE, AGAIN, 0, 10), Next.DOUBT)
        self.assertIs(state_machine.lapsed(Word.NONE, ONCE, 0, 10), Next.ASK)

    def test_a_clock_stepped_back_gives_no_job_more_time_than_it_had(self) -> None:
        self.assertEqual(state_machine.expires_after_restart(1000, 1500, 200), 700)
        self.assertEqual(state_machine.expires_after_restart(1000, 1500, 1200), 1500)

    def test_every_order_of_steps(self) -> None:
        states = model_checker.Model([ONCE, AGAIN]).search(10)
        print(f"model: {states} states of two jobs to depth 10", file=sys.stderr)
        self.assertGreater(states, 40_000)

    def test_the_model_finds_what_is_wrong(self) -> None:
        real = state_machine.after_restart

        def trusting(word: Word, now: int, expires: int) -> Next:
            return Next.CLEAR if word is Word.NONE else real(word, now, expires)

        with (
            mock.patch.object(state_machine, "after_restart", trusting),
            self.assertRaises(model_checker.Broken) as caught,
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
        store = Store(self.path, ThreadWriter(), lock=lock)
        self.addCleanup(store.close)
        self.found = store.open()
        return store

    @staticmethod
    def accepted(tag: str, key: str | None = None, call: bytes = b"[]\n") -> Accepted:
        return Accepted(tag, "acme", key, b"d", ONCE, 100, 9_999, call)

    async def test_what_was_put_is_there_whole_after_a_restart(self) -> None:
        store = self.store()
        await store.put(self.accepted("a", "k"), JobRecord(Kind.INTENT, "a", 5, 1, "w"))
        await store.put(JobRecord(Kind.CLEAR, "a", number=1), JobRecord(Kind.INTENT, "a", 6, 2, "x"))
        await store.put(JobRecord(Kind.CANCEL, "a", 7))
        await store.put(JobRecord(Kind.FINAL, "a", 8, end=End.SETTLED, status=200, result=b"\x00r"))
        store.close()
        told, job = (self.store(), self.found[0])[1]
        self.assertEqual((told.key, told.digest), ("k", b"d"))
        self.assertEqual([(lease.number, lease.never_ran) for lease in job.leases], [(1, True), (2, False)])
        self.assertEqual((job.cancel, job.end, job.result), (True, End.SETTLED, b"\x00r"))

    async def test_many_that_wait_are_one_commit(self) -> None:
        store = self.store()
        await asyncio.gather(*(store.put(self.accepted(f"a{i}")) for i in range(500)))
        self.assertLess(store.commits, 250)
        self.assertEqual(store.written, 500)

    async def test_a_write_that_can_not_stand_fails_alone(self) -> None:
        store = self.store()
        await store.put(self.accepted("a", "k"))
        puts = [store.put(self.accepted(tag, key)) for tag, key in (("b", "x"), ("c", "k"), ("d", "y"))]
        told = await asyncio.gather(*puts, return_exceptions=True)
        self.assertEqual([type(fault) for fault in told], [type(None), sqlite3.IntegrityError, type(None)])
        self.assertEqual([job.tag for _, job in rows(self.path)], ["a", "b", "d"])

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
        self.assertEqual([job.tag for _, job in rows(self.path)], ["c"])

    async def test_an_older_schema_is_brought_up_and_a_newer_one_refused(self) -> None:
        db = sqlite3.connect(self.path)
        db.executescript(MIGRATIONS[1] + "PRAGMA user_version = 1;")
        told = self.accepted("old", "k")
        db.execute(
            "INSERT INTO jobs VALUES (?,?,?,?,?,?,?,?)",
            ("old", told.owner, told.key, "ONCE_ONLY", told.accepted, told.expires, told.call, told.sum),
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
        self.assertEqual([job.tag for _, job in self.found], ["good"])
        self.assertEqual(len(again.set_aside), 1)

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

        def command(*told: str) -> subprocess.CompletedProcess[str]:
            return subprocess.run([*run, *told], cwd=ROOT, capture_output=True, text=True, check=False)

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


class Played:
    """Workers as the story has them: what was posted, what is asked, what is answered."""

    def __init__(self, story: "TxnServiceStory") -> None:
        self.story = story
        self.connect_within = SECOND
        self.posted: list[tuple[str, str, int]] = []  # worker, job, lease
        self.words: dict[str, dict[str, Any] | None] = {}  # by worker: its answer to a query
        self.asked: list[tuple[str, str]] = []
        self.mood = "take"
        self.broke: Any = None
        self.links = mock.Mock()

    def located(self, worker: str, address: str) -> None:
        pass

    async def call(
        self,
        worker: str,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        begins: Any = lambda sending: None,
    ) -> Message:
        if method == "GET" and target.startswith(b"/jobs/"):
            self.asked.append((worker, target.decode()))
            word = self.words.get(worker)
            if word is None:
                raise NeverSent("silent")
            return Message(status=200 if word else 404, body=json.dumps(word).encode())
        if method != "POST":
            return Message(status=200, body=b'{"x0":8,"queue":0,"inflight":0}')
        if self.mood == "hangs":
            await asyncio.sleep(99.0)
        sending = Whole(False)
        begins(sending)
        tag = dict(headers)[b"Req-Id"].decode()
        self.story.check_intent(tag, int(dict(headers).get(b"Job-Lease", b"0")))
        self.posted.append((worker, tag, int(dict(headers).get(b"Job-Lease", b"0"))))
        sending.whole = True
        if self.mood == "reset":
            raise Lost("reset")
        return Message(status=202)


class TxnServiceStory(unittest.TestCase):
    """A durable txn service on the virtual loop with a disk that loses what was not synced."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "jobs.db"
        self.loop = Moments()  # type: ignore[abstract]
        self.net = Net(self.loop)
        self.wall = self.loop.wall
        self.ways = WAYS
        self.host: Host | None = None
        self.played = Played(self)
        self.answers: list[tuple[int, dict[str, Any]]] = []

    def check_intent(self, tag: str, lease: int) -> None:
        """What the disk says when the first byte leaves."""
        [job] = [job for _, job in rows(self.path) if job.tag == tag]
        self.assertEqual(job.leases[-1].number, lease, "its intent is on disk before it leaves")

    async def life(self, workers: int = 1, sync: float = 0.002) -> None:
        self.disk = DiskWriter(self.loop, Random(1), sync)
        self.store = Store(self.path, self.disk, lock=False, sync="OFF")
        known = terms.terms(TOLD)
        self.service = JobService(
            known,
            Words(TOLD, known),
            7,
            Clock(self.wall, self.loop.time),
            self.played,
            Counters(),
            lambda: None,
            store=self.store,
            ways=self.ways,
            chance=Random(1),
        )
        self.service.listed(ListNews.WHOLE, [Row(Worker(f"w{i}"), "x:1") for i in range(workers)])

    def starts(self, **more: Any) -> None:
        self.host = Host(self.net, "d")
        self.do(self.life(**more))

    def begins(self) -> None:
        assert self.host is not None
        self.host.run(self.service.begin)
        self.passes(0.5)

    def dies(self) -> None:
        assert self.host is not None
        self.host.kill()
        self.disk.crash()
        self.store.close()

    def do(self, work: Any) -> Any:
        assert self.host is not None
        task = self.host.run(lambda: work)

        async def wait() -> Any:
            return await task

        return self.loop.run_until_complete(wait())

    def passes(self, time: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(time))

    def call(
        self, method: bytes, target: bytes, body: bytes = b"b", **headers: str
    ) -> tuple[int, dict[str, Any]]:
        """Status and body of a call that is answered within two virtual seconds."""
        told: list[tuple[int, dict[str, Any]]] = []
        lines = [
            (name.replace("_", "-").encode(), value.encode())
            for name, value in {"Req-Owner": "acme", **headers}.items()
        ]
        message = Message(method, target, headers={n.lower(): v for n, v in lines}, lines=lines, body=body)

        def answer(status: int, said: bytes, _: tuple[str, ...], keep: bool) -> None:
            told.append((status, json.loads(said) if said[:1] == b"{" else {"text": said.decode()}))

        async def take() -> None:
            try:
                if target == b"/callback":
                    self.service.heard(self.service.words.callback(body), answer)
                else:
                    self.service.take(message, answer)
            except Broken as fault:
                told.append((fault.status, {"why": str(fault)}))

        self.do(take())
        for _ in range(40):
            if told:
                return told[0]
            self.passes(0.05)
        return 0, {}

    def submit(
        self, key: str = "k", scheme: bytes = b"charge", body: bytes = b"b"
    ) -> tuple[int, dict[str, Any]]:
        return self.call(b"POST", b"/jobs/" + scheme, body, Idempotency_Key=key)

    def status(self, tag: str) -> dict[str, Any]:
        return self.call(b"GET", f"/jobs/{tag}".encode())[1]

    def back(self, tag: str, state: str = "done", worker: str = "w0") -> int:
        return self.call(
            b"POST",
            b"/callback",
            json.dumps({"id": tag, "from": worker, "state": state, "result": "r"}).encode(),
        )[0]

    def submitted(self, **more: Any) -> str:
        """A started one with one job out at w0."""
        self.starts(**more)
        self.begins()
        status, told = self.submit()
        self.assertEqual(status, 202)
        self.passes(0.2)
        self.assertEqual(len(self.played.posted), 1)
        return str(told["id"])

    def test_taken_on_run_and_asked_for(self) -> None:
        tag = self.submitted()
        self.assertEqual(self.status(tag)["state"], "leased")
        self.assertEqual(self.back(tag), 204)
        shown = self.status(tag)
        self.assertEqual((shown["state"], shown["result"], shown["status"]), ("settled", "r", 200))
        self.assertEqual(self.back(tag), 204, "doubled: answered, and counted once")
        self.assertEqual(self.status(tag), shown)

    def test_the_same_key_is_the_same_job_and_another_body_a_conflict(self) -> None:
        tag = self.submitted()
        self.assertEqual(self.submit()[1]["id"], tag)
        self.assertEqual(self.submit(body=b"other")[0], 409)
        self.assertEqual(self.call(b"POST", b"/jobs/charge")[0], 400, "no key")
        self.dies()
        self.played.words["w0"] = {"state": "running"}
        self.starts()
        self.begins()
        self.assertEqual(self.submit()[1]["id"], tag, "also after a restart")

    def test_the_same_submission_twice_at_once_is_not_taken_on_before_it_is_on_disk(self) -> None:
        self.starts()
        self.begins()
        self.disk.ill = OSError(28, "no space left")
        head = {b"Req-Owner": b"acme", b"Idempotency-Key": b"k"}
        message = Message(
            b"POST",
            b"/jobs/charge",
            headers={n.lower(): v for n, v in head.items()},
            lines=list(head.items()),
            body=b"b",
        )
        said: list[int] = []

        async def twice() -> None:
            for _ in range(2):
                self.service.take(message, lambda status, *_: said.append(status))

        self.do(twice())
        self.passes(0.2)
        self.assertEqual(said, [503, 503])

    def test_a_key_may_come_again_after_its_retention(self) -> None:
        tag = self.submitted()
        self.back(tag)
        self.passes(90.0)
        status, told = self.submit()
        self.assertEqual(status, 202)
        self.assertNotEqual(told["id"], tag)
        self.assertEqual(self.call(b"GET", f"/jobs/{tag}".encode())[0], 404)

    def ended(self, count: int, room: int) -> dict[str, dict[str, Any]]:
        """So many jobs that have ended, by id with what is shown of each; memory is for so many of them."""
        self.ways = dataclasses.replace(WAYS, ended=room * 1100)
        self.starts()
        self.begins()
        told: dict[str, dict[str, Any]] = {}
        for i in range(count):
            tag = str(self.submit(f"k{i}")[1]["id"])
            self.passes(0.1)
            if i % 3 == 2:
                self.assertEqual(self.call(b"DELETE", f"/jobs/{tag}".encode())[1]["state"], "cancelled")
            else:
                self.assertEqual(self.back(tag), 204)
            told[tag] = self.status(tag)
        self.assertEqual(len(self.played.posted), count)
        return told

    def known(self, told: dict[str, dict[str, Any]]) -> None:
        """All of them are answered for as on their first day, and none is posted again."""
        posted = len(self.played.posted)
        for i, (tag, shown) in enumerate(told.items()):
            self.assertEqual(self.status(tag), shown)
            self.assertEqual(self.submit(f"k{i}"), (202, shown))
            self.assertEqual(self.submit(f"k{i}", body=b"other")[0], 409)
            self.assertEqual(self.call(b"DELETE", f"/jobs/{tag}".encode()), (200, shown))
            self.assertEqual(self.call(b"GET", f"/jobs/{tag}?wait_ms=9000&since=99".encode()), (200, shown))
            self.assertEqual(self.call(b"GET", f"/jobs/{tag}".encode(), Req_Owner="other")[0], 404)
            self.assertEqual(self.call(b"POST", b"/charge", Req_Id=tag)[0], 409, "an id is used once")
            self.assertEqual(self.back(tag), 204, "late: answered, and nothing follows")
        self.passes(1.0)
        self.assertEqual(len(self.played.posted), posted)

    def test_ended_jobs_take_memory_up_to_a_bound_and_are_known_from_disk(self) -> None:
        """All of a month's stayed in memory: 251 MiB at 100,000 though told 192."""
        told = self.ended(12, room=4)
        self.assertLessEqual(len(self.service.jobs), 4)
        self.assertEqual((len(self.service.by_key), len(self.service.ended)), (len(self.service.jobs),) * 2)
        self.assertEqual([(kept.entry, kept.told.call) for kept in self.service.ended], [(None, b"")] * 4)
        self.known(told)

    def test_open_jobs_take_memory_up_to_a_bound_and_beyond_it_new_ones_are_declined_with_the_reason(
        self,
    ) -> None:
        """All of them are in memory, and nothing declined new ones for it: 249 to 577 MiB at 100,000 though told 192."""
        self.ways = dataclasses.replace(WAYS, open=3 * OPEN + 1)
        self.starts()
        self.begins()
        tags = [str(self.submit(f"k{i}")[1]["id"]) for i in range(3)]
        with mock.patch.object(logbook, "note") as note:
            for _ in range(2):
                status, told = self.submit("k4")
                self.assertEqual(
                    (status, told), (503, {"why": "as many jobs are open as its memory has room for"})
                )
            self.assertEqual(
                self.call(b"POST", b"/charge", Req_Id="c1")[0], 503, "nor one whose client waits"
            )
        self.assertEqual((note.call_count, self.service.counters["jobs.full"]), (1, 3))
        self.assertEqual(self.submit("k0")[0], 202, "one that was accepted is the same job again")
        self.passes(0.2)
        self.assertEqual(self.back(tags[0]), 204)
        self.passes(0.1)
        self.assertEqual(self.call(b"DELETE", f"/jobs/{tags[1]}".encode())[1]["state"], "cancelled")
        self.passes(0.2)
        self.assertEqual(self.submit("k4")[0], 202, "there is room again")

    def test_more_open_jobs_than_its_memory_has_room_for_are_all_taken_up_after_a_restart(self) -> None:
        self.starts()
        self.begins()
        for i in range(4):
            self.assertEqual(self.submit(f"k{i}")[0], 202)
        self.passes(0.2)
        self.dies()
        self.ways = dataclasses.replace(WAYS, open=2 * OPEN)
        self.played.words["w0"] = {"state": "running"}
        self.starts()
        self.begins()
        self.assertEqual(len([kept for kept in self.service.jobs.values() if kept.open]), 4)
        self.assertEqual(self.submit("k4")[0], 503)
        for kept in list(self.service.jobs.values()):
            self.assertEqual(self.back(kept.job.tag), 204)
        self.passes(0.3)
        self.assertEqual(self.service.open_bytes, 0, "what is reckoned comes back to nothing")
        self.assertEqual(self.submit("k4")[0], 202)

    def test_a_job_whose_acceptance_the_disk_refused_takes_no_room(self) -> None:
        self.starts()
        self.begins()
        self.disk.ill = OSError(28, "no space left")
        self.assertEqual(self.submit()[0], 503)
        self.assertEqual(self.service.open_bytes, 0)

    def test_a_start_reads_the_open_jobs_alone_and_knows_the_ended_ones(self) -> None:
        told = self.ended(6, room=100)
        self.dies()
        self.starts()
        self.assertEqual((self.service.born_with, self.service.jobs), ([], {}))
        self.assertEqual(self.submit("k0")[0], 503, "recovering")
        self.begins()
        self.known(told)
        self.assertEqual(self.service.jobs, {})

    def test_what_is_on_disk_alone_is_let_go_after_its_retention(self) -> None:
        told = self.ended(6, room=0)
        self.assertEqual(self.service.jobs, {})
        self.passes(90.0)
        self.assertEqual(list(rows(self.path)), [])
        for tag in told:
            self.assertEqual(self.call(b"GET", f"/jobs/{tag}".encode())[0], 404)
        self.assertEqual(self.submit("k0")[0], 202)
        self.passes(0.2)
        self.assertEqual(len(self.played.posted), 7)

    def test_jobs_past_their_retention_are_let_go_a_minute_s_worth_at_a_time(self) -> None:
        """An eighth of a month's at once, 112,000, keeps the disk for seconds, in which new jobs are declined."""
        self.ways = dataclasses.replace(WAYS, retention=9600 * SECOND)
        self.starts()
        self.begins()
        self.passes(60.0)  # the eighths of a retention count from the start
        tag = str(self.submit()[1]["id"])
        self.passes(0.2)
        self.assertEqual(self.back(tag), 204)
        self.passes(9590.0)
        self.assertEqual(len(list(rows(self.path))), 1)
        self.passes(140.0)  # the next eighth would be 1,000 s later
        self.assertEqual(list(rows(self.path)), [])

    def test_an_ended_job_whose_rows_are_flipped_or_that_can_not_be_read(self) -> None:
        first, second = self.ended(2, room=0)
        with connect(self.path) as db:
            db.execute("UPDATE finals SET result = x'00' WHERE job = ?", (first,))
        self.assertEqual(self.call(b"GET", f"/jobs/{first}".encode())[0], 404, "set aside")
        self.dies()
        self.starts()
        self.begins()
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
        self.assertEqual(len(self.played.posted), 2)

    def test_a_crash_between_the_send_and_its_record_can_not_be(self) -> None:
        """The record comes first; where the sync was lost, nothing was sent."""
        self.starts(sync=1.0)
        self.begins()
        self.passes(1.0)
        self.submit()
        self.passes(0.3)
        self.dies()  # within the group commit that holds the intent, or just after
        leases = [len(job.leases) for _, job in rows(self.path)]
        self.assertLessEqual(len(self.played.posted), leases[0])

    def test_a_crash_between_the_record_and_the_send(self) -> None:
        """On disk, never sent: the worker's word that it never had it lets it go out under the next lease."""
        self.starts()
        self.begins()
        self.played.mood = "hangs"
        tag = str(self.submit()[1]["id"])
        self.passes(0.2)
        self.dies()
        self.played.mood = "take"
        self.assertEqual([len(job.leases) for _, job in rows(self.path)], [1])
        self.played.words["w0"] = {"state": "never", "fence": 1}
        self.starts()
        self.begins()
        self.passes(3.0)
        self.assertEqual(self.played.posted, [("w0", tag, 2)])

    def test_once_only_in_doubt_is_never_posted_again_and_reversed_at_expiry(self) -> None:
        tag = self.submitted(workers=2)
        self.dies()
        self.played.words.clear()
        self.starts(workers=2)
        self.begins()
        self.passes(5.0)
        self.assertEqual(self.status(tag)["state"], "leased")
        self.passes(6.0)
        self.assertEqual((self.status(tag)["state"], len(self.played.posted)), ("reversed", 1))
        self.assertTrue(self.status(tag)["may_have_run"])

    def test_a_job_whose_scheme_is_gone_holds_up_no_other(self) -> None:
        tag = self.submitted()
        self.dies()
        gone = {**TOLD, "Schemes": TOLD["Schemes"][:1]}
        with mock.patch.dict(TOLD, gone):
            self.starts()
            self.begins()
        self.assertTrue(self.service.recovered)
        self.assertEqual(self.status(tag)["state"], "leased")

    def test_a_fence_for_another_lease_says_nothing(self) -> None:
        tag = self.submitted()
        self.dies()
        self.played.words["w0"] = {"state": "never", "fence": 7}
        self.starts()
        self.begins()
        self.passes(3.0)
        self.assertEqual((self.status(tag)["state"], len(self.played.posted)), ("leased", 1))

    def test_callbacks_before_during_and_after_recovery(self) -> None:
        tag = self.submitted()
        self.dies()
        self.starts()
        self.assertEqual(self.call(b"GET", f"/jobs/{tag}".encode())[0], 503, "recovering: said at once")
        self.assertEqual(self.submit("other")[0], 503)
        during: list[int] = []
        told = self.service.words.callback(
            json.dumps({"id": tag, "from": "w0", "state": "done", "result": "r"}).encode()
        )
        self.do(asyncio.sleep(0))

        async def comes() -> None:
            self.service.heard(told, lambda status, *_: during.append(status))

        self.do(comes())
        self.played.words["w0"] = {"state": "running"}
        self.begins()
        self.passes(1.5)
        self.assertEqual(during, [204], "kept, and answered once it is on disk")
        self.assertEqual(self.status(tag)["state"], "settled")
        self.assertEqual(self.back(tag, "failed"), 204, "out of order, and too late to matter")
        self.assertEqual(self.status(tag)["state"], "settled")

    def test_a_worker_silent_for_long_that_then_reports_progress_keeps_its_lease(self) -> None:
        tag = self.submitted()
        self.played.words["w0"] = {"state": "running"}
        self.passes(6.0)
        self.assertTrue(self.played.asked, "its lease was over: it was asked")
        self.assertEqual(self.back(tag, "running"), 204)
        self.assertEqual(self.back(tag), 204)
        self.assertEqual((self.status(tag)["state"], len(self.played.posted)), ("settled", 1))

    def test_a_late_result_of_an_older_lease_is_taken_and_counted_once(self) -> None:
        self.starts(workers=2)
        self.begins()
        tag = str(self.submit(scheme=b"render")[1]["id"])
        self.passes(7.0)
        self.assertEqual([lease for _, _, lease in self.played.posted], [1, 2], "its first lease lapsed")
        first, second = (worker for worker, _, _ in self.played.posted)
        self.assertEqual(self.back(tag, worker=first), 204)
        self.assertEqual(self.status(tag)["state"], "settled")
        self.assertEqual(self.back(tag, worker=second), 204)
        self.assertEqual(self.service.counters["jobs.settled"], 1)

    def test_a_cancel_that_was_on_its_way_when_we_died(self) -> None:
        tag = self.submitted()

        async def wish() -> None:
            await self.store.put(JobRecord(Kind.CANCEL, tag, 1))

        self.do(wish())
        self.dies()
        self.played.words["w0"] = {"state": "running"}
        self.starts()
        self.begins()
        self.assertEqual(self.status(tag)["state"], "cancelled")
        self.assertEqual(self.call(b"DELETE", f"/jobs/{tag}".encode())[0], 200)

    def test_a_cancel_of_a_running_job_ends_it_once(self) -> None:
        tag = self.submitted()
        self.assertEqual(self.call(b"DELETE", f"/jobs/{tag}".encode())[1]["state"], "cancelled")
        self.assertEqual(self.back(tag), 204)
        self.assertEqual(self.status(tag)["state"], "cancelled")

    def test_expiry_during_our_absence(self) -> None:
        tag = self.submitted()
        self.dies()
        self.passes(30.0)
        self.played.words["w0"] = {"state": "done", "result": "r"}
        self.starts()
        self.begins()
        self.assertEqual(
            self.status(tag)["state"], "settled", "the worker's word counts as long as it is open"
        )
        self.dies()
        other = Path(self.path.parent / "other.db")
        self.path = other
        self.starts()
        self.begins()
        tag = str(self.submit("late")[1]["id"])
        self.dies()
        self.passes(30.0)
        self.played.words["w0"] = None
        self.starts()
        self.begins()
        self.passes(1.0)
        self.assertIn(self.status(tag)["state"], ("reversed", "declined"))

    def test_the_clock_stepped_back(self) -> None:
        tag = self.submitted()
        self.dies()
        self.wall = lambda: self.loop.wall() - 3600.0  # type: ignore[method-assign]
        self.starts()
        self.begins()
        self.passes(12.0)
        self.assertEqual(self.status(tag)["state"], "reversed", "no hour more")

    def test_a_full_disk_declines_what_is_new_and_what_is_open_goes_on(self) -> None:
        tag = self.submitted()
        self.disk.ill = OSError(28, "no space left")
        status, told = self.submit("second")
        self.assertEqual((status, "no space left" in told["why"]), (503, True))
        self.assertEqual(self.submit("third")[0], 503)
        self.do(asyncio.sleep(0))
        self.back(tag)
        self.assertEqual(self.status(tag)["state"], "leased", "not told before it is on disk")
        self.disk.ill = None
        self.passes(1.5)
        self.assertEqual(self.status(tag)["state"], "settled")
        self.assertEqual(self.submit("second")[0], 202)

    def test_intents_that_the_disk_refused_leave_a_gap_and_lose_no_job(self) -> None:
        """Seeds 115 and 155: leases 1 to 3 were never on disk, the fourth was, and the job was set aside."""
        self.starts()
        self.begins()
        tag = str(self.submit(scheme=b"render")[1]["id"])
        with mock.patch.object(self.store, "_commit", side_effect=sqlite3.OperationalError("full")):
            self.passes(0.4)
        self.passes(3.0)
        self.dies()
        told = [job for _, job in rows(self.path)]
        self.assertEqual([job.tag for job in told], [tag])
        gap = JobStateMachine("g", AGAIN, 0, 10)
        gap.apply(JobRecord(Kind.INTENT, "g", 0, 4, "w"))
        self.assertEqual(gap.next_number, 5)

    def test_a_call_is_answered_by_its_expiry_whatever_the_disk_does(self) -> None:
        """Seed 39: the commit failed a moment before, and was tried again before the client was told."""
        self.starts()
        self.begins()
        answers: list[tuple[int, float]] = []
        head = {b"Req-Owner": b"acme", b"Req-Id": b"call", b"Req-Deadline-Ms": b"4000"}
        message = Message(
            b"POST",
            b"/charge",
            headers={n.lower(): v for n, v in head.items()},
            lines=list(head.items()),
            body=b"b",
        )

        async def take() -> None:
            self.service.take(message, lambda status, *_: answers.append((status, self.loop.time())))

        begun = self.loop.time()
        self.do(take())
        self.passes(0.3)
        self.assertEqual(len(self.played.posted), 1)
        self.disk.ill = OSError(28, "no space left")
        self.back("call")
        self.passes(3.0)
        self.assertEqual([status for status, _ in answers], [500], "nothing can be promised")
        self.assertLessEqual(answers[0][1] - begun, 4.001)

    def test_a_slow_disk_declines_what_is_new_and_sends_nothing_early(self) -> None:
        self.starts()
        self.begins()
        self.disk.slow = 5.0
        asked = self.submit("a")
        self.assertEqual(asked[0], 0, "not taken on before it is on disk")
        self.assertEqual(
            (self.submit("b"), len(self.played.posted)), ((503, {"why": "the store is slow"}), 0)
        )

    def test_one_that_lost_the_store_stops_posting_at_once(self) -> None:
        self.submitted()
        other = Store(self.path, ThreadWriter(), lock=False)
        other.open()
        self.addCleanup(other.close)
        self.assertEqual(self.submit("second")[0], 503)
        self.assertEqual(self.submit("third")[1]["why"], "the store is another process's now")
        self.passes(1.0)
        self.assertEqual(len(self.played.posted), 1)
        self.assertFalse(self.service.ready)

    def test_a_hundred_thousand_open_jobs_are_taken_up_in_time(self) -> None:
        self.starts()
        store = self.store

        def call(tag: str) -> bytes:
            return json.dumps(["/render", [["Req-Owner", "acme"], ["Req-Id", tag]]]).encode() + b"\nb"

        now = int(self.loop.wall() * SECOND)
        store._commit(
            [
                Accepted(f"j{i}", "acme", f"k{i}", b"", AGAIN, now, now + 10 * SECOND, call(f"j{i}"))
                for i in range(5000)
            ]
        )
        self.dies()
        self.starts()
        self.begins()
        self.assertTrue(self.service.recovered)
        self.assertGreater(len(self.played.posted), 0)
        self.assertLessEqual(
            self.service.live, 512, "the others wait in order, and cost the decisions nothing"
        )
        self.passes(12.0)
        with contextlib.suppress(Exception):
            self.dies()
        self.assertEqual([job.tag for _, job in rows(self.path) if job.open], [])


if __name__ == "__main__":
    unittest.main()
