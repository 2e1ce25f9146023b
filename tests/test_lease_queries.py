"""Queries about leases at workers that answer each call twice."""

import asyncio
import contextlib

from pathsaddle.jobs.state_machine import Lease, LeaseReport
from pathsaddle.jobs.worker_client import WorkerClient
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.workers import ConnectionLostError, Workers
from pathsaddle.net.wire.terms import ConnectionTimeouts
from pathsaddle.scheduler_types import SECOND
from tests.test_sockets import Peers

SECOND_ANSWER_DELAY = 0.01  # seconds
QUERY_COUNT = 12


class SecondAnswerTest(Peers):
    """Guards against a job that ends with another job's result: a second answer was taken for the next query's."""

    async def answer_twice(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split()[1]
                state = b"done" if target.startswith(b"/jobs/") else b"none"
                result = target.removeprefix(b"/jobs/").partition(b"?")[0]
                body = b'{"state":"%s","result":"%s"}' % (state, result)
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                writer.write(answer)
                await asyncio.sleep(SECOND_ANSWER_DELAY)
                writer.write(answer)

    async def asyncSetUp(self) -> None:
        counters = Counters()
        self.workers = Workers(ConnectionTimeouts(5 * SECOND, 60 * SECOND), 8, Clock(), counters)
        self.workers.set_address("w", await self.peer(self.answer_twice))
        self.client = WorkerClient(self.workers, counters)

    async def query(self, job_id: str) -> None:
        answer = await self.client.query_lease(job_id, Lease(1, "w", 0))
        self.assertEqual((answer.report, answer.result), (LeaseReport.DONE, job_id.encode()))

    async def test_each_query_gets_the_answer_about_its_own_job(self) -> None:
        for number in range(QUERY_COUNT):
            await self.query(f"one-{number}")
        await asyncio.gather(*(self.query(f"all-{number}") for number in range(QUERY_COUNT)))

    async def test_a_second_answer_to_a_probe_is_not_taken_for_a_query_s(self) -> None:
        for number in range(QUERY_COUNT):
            with contextlib.suppress(ConnectionLostError):  # by a second answer: a lost probe does no harm
                await self.workers.call("w", "GET", b"/health", [])
            await self.query(f"probed-{number}")
