"""A slow way to the workers puts out no second posting of a txn at one worker, nor, where forbidden, anywhere.

Real sockets; the workers play the way: what reaches them, and what they answer, arrives `WAY_SECONDS` later.
"""

import asyncio
import unittest
from unittest import mock

from pathsaddle import acceptance
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import Workers
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import ListRow, MessageDecoder
from pathsaddle.net.wire.http import Message
from pathsaddle.net.wire.terms import ConnectionTimeouts
from pathsaddle.scheduler_types import MILLISECOND, SECOND, ListUpdate, LoadReport, Worker
from tests import test_sockets
from tests.fakehost import SETTINGS

WAY_SECONDS = 0.1  # each way, of the 50 to 140 ms that the pages name
JOBS, WORKERS = 3, 12


class SlowWorker:
    """A worker that takes each job at once and runs it until it is withdrawn."""

    def __init__(self, test: "SlowWayTest", name: str) -> None:
        self.test = test
        self.name = name
        self.way_seconds = 0.0
        self.loses_withdrawals = False
        self.running: set[str] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            await asyncio.sleep(self.way_seconds)
            status = 202 if head.startswith(b"POST") else 204
            if status != 202 and self.loses_withdrawals:
                continue
            if status == 202 and reader.at_eof():
                return  # its end came before the answer: the posting is given up
            if status == 202:
                self.take(head.split(b"Req-Id: ")[1].split(b"\r\n")[0].decode())
            else:
                self.running.discard(head.split()[1].rpartition(b"/")[2].decode())
            await asyncio.sleep(self.way_seconds)
            writer.write(b"HTTP/1.1 %d x\r\n%s\r\n" % (status, b"Content-Length: 0\r\n" * (status == 202)))

    def take(self, tag: str) -> None:
        self.test.repeated += [(self.name, tag)] * (tag in self.running)
        self.running.add(tag)
        at = [worker.name for worker in self.test.slow_workers if tag in worker.running]
        self.test.most_at_once = max(self.test.most_at_once, len(at))


class SlowWayTest(test_sockets.Peers):
    worker_count = WORKERS
    may_duplicate = False

    async def asyncSetUp(self) -> None:
        limits = {**SETTINGS["Limits"], "MayDuplicate": self.may_duplicate, "Probing": False}
        settings = {**SETTINGS, "Limits": limits}
        config = terms.terms(settings)
        clock, self.counters = Clock(), Counters()
        self.most_at_once = 0
        self.repeated: list[tuple[str, str]] = []  # what a worker was sent while it was running it
        workers = Workers(ConnectionTimeouts(700 * MILLISECOND, 60_000), 32, clock, self.counters)
        decoder = MessageDecoder(settings, config)
        self.service = TxnService(config, decoder, 7, clock, workers, self.counters, lambda: None)
        self.slow_workers = [SlowWorker(self, f"w{i}") for i in range(self.worker_count)]
        rows = [ListRow(Worker(one.name), await self.peer(one.serve)) for one in self.slow_workers]
        self.service.listed(ListUpdate.COMPLETE, rows)
        for row in rows:
            self.service.loop.scheduler.apply_report(
                self.service.loop.scheduler.workers[row.worker], LoadReport(free_slots=64.0)
            )

    async def ask(self, tag: str) -> None:
        headers = {b"req-id": tag.encode(), b"req-owner": b"acme", b"req-deadline-ms": b"4000"}
        raw = [(b"Req-Id", tag.encode())]
        call = Message(b"POST", b"/render", headers=headers, raw_headers=raw)
        self.service.take(call, lambda *_: None)
        await asyncio.sleep(0.02)

    async def slow_down(self) -> None:
        """Have each worker accept at once for a while; then the way becomes slow."""
        for i in range(4):
            await self.ask(f"quick-{i}")
        await test_sockets.until(
            lambda: all(
                entry.txn.postings and entry.txn.postings[0].accepted_at
                for entry in self.service.ledger.unanswered_entries()
            )
        )
        for worker in self.slow_workers:
            worker.way_seconds = WAY_SECONDS

    async def test_a_posting_whose_acceptance_is_on_its_way_does_not_run_beside_the_next(self) -> None:
        """Guards against two at once: the connection was closed before the 202 on it was read, and no DELETE sent."""
        await self.slow_down()
        for i in range(JOBS):
            await self.ask(f"slow-{i}")
        await asyncio.sleep(1.5)
        self.assertEqual(self.most_at_once, 1)
        self.assertGreater(self.counters["outcome.cancelled"], 0, "the way was slow enough to matter")


class RepeatedPostingTest(SlowWayTest):
    """The same where two at once are allowed, but never at one worker."""

    worker_count = 2
    may_duplicate = True

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        patch = mock.patch.object(acceptance, "MIN_PAUSE", SECOND // 4)
        patch.start()
        self.addCleanup(patch.stop)

    async def test_a_posting_whose_acceptance_is_on_its_way_does_not_run_beside_the_next(self) -> None:
        """Guards against two attempts at one worker: the first was given up by a close that crossed its 202."""
        await self.slow_down()
        for i in range(JOBS):
            await self.ask(f"slow-{i}")
        await asyncio.sleep(1.5)
        self.assertEqual(self.repeated, [])
        self.assertGreater(self.counters["outcome.cancelled"], 0, "the way was slow enough to matter")

    async def test_a_worker_whose_withdrawals_are_lost_gets_no_second_posting(self) -> None:
        """Guards against the same where the way is so slow that no withdrawal is answered in time."""
        await self.slow_down()
        for worker in self.slow_workers:
            worker.loses_withdrawals = True
        for i in range(JOBS):
            await self.ask(f"slow-{i}")
        await asyncio.sleep(1.5)
        self.assertEqual(self.repeated, [])


if __name__ == "__main__":
    unittest.main()
