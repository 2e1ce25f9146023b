"""Clients that stop in the middle of a request take no more memory than the program may have.

The least limits that the operators' pages name, and as many clients as they say: a third of the descriptors. Each form of
request is the one that takes the most memory for its bytes.
"""

import asyncio
import contextlib
import itertools
import resource
import unittest
from pathlib import Path
from random import Random
from typing import ClassVar

from tests.test_program import BOUND, Program

MEMORY_MB, SOCKETS = 32, 256
BAD_CLIENTS = SOCKETS // 3
HEAD = b"POST /render HTTP/1.1\r\nHost: x\r\nReq-Owner: acme\r\nReq-Kind: render\r\nReq-Deadline-Ms: 3000\r\n"
WAITING_JOB = HEAD + b"Req-Id: bad-%d\r\nContent-Length: 0\r\n\r\n"


def short_lines() -> bytes:
    """A head of many short lines, each with a name of its own."""
    letters = b"abcdefghijklmnopqrstuvwxyz0123456789"
    names = (bytes(name) for name in itertools.product(letters, repeat=2))
    return HEAD + b"".join(name + b":\r\n" for name in itertools.islice(names, 1200))


REQUESTS = {
    "short header lines": short_lines(),
    "as many lines as a head may have": HEAD + b"".join(b"x%d: %s\r\n" % (i, b"y" * 150) for i in range(95)),
    "a long header line": HEAD + b"X: " + b"y" * 16_000,
    "small chunks": HEAD + b"Req-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nxy\r\n" * 30_000,
    "requests behind a waiting one": b"GET / HTTP/1.1\r\n\r\n" * 5_000,
}


def private_memory_mb(process: int) -> float:
    """A process's own resident pages, without those that it shares."""
    resident, shared = Path(f"/proc/{process}/statm").read_text().split()[1:3]
    return (int(resident) - int(shared)) * resource.getpagesize() / 1e6


class ClientMemoryTest(Program):
    limits: ClassVar = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}

    async def stop_inside(self, number: int, form: str) -> None:
        """Send an unfinished request, and stay until the program ends the connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        before = WAITING_JOB % number if form == "requests behind a waiting one" else b""
        with contextlib.suppress(ConnectionError):
            writer.write(before + REQUESTS[form])
            await asyncio.wait_for(reader.read(), BOUND)
        writer.close()

    async def test_clients_that_stop_inside_a_request_stay_within_the_memory_limit(self) -> None:
        """Guards against a crash: a head of short lines took forty times the memory of its bytes."""
        for number, form in enumerate(REQUESTS):
            with self.subTest(form):
                self.mood = "hold"
                bad = [asyncio.create_task(self.stop_inside(i, form)) for i in range(BAD_CLIENTS)]
                most = private_memory_mb(self.program.pid)
                while not all(task.done() for task in bad):
                    await asyncio.sleep(0.01)
                    most = max(most, private_memory_mb(self.program.pid))
                self.assertLess(most, MEMORY_MB)
                self.mood = "done"
                self.assertEqual((await self.call(self.job(f"usual-{number}")))[0], 200)


class ComingAndGoingTest(Program):
    """Hundreds of clients that stop inside a request, and come again as soon as they are answered."""

    limits: ClassVar = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}

    async def visit(self, rng: Random) -> None:
        """Come again and again: for the answer, or for some time without reading."""
        for _ in range(8):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            with contextlib.suppress(ConnectionError):
                writer.write(REQUESTS["a long header line"])
                await writer.drain()
                if rng.random() < 0.7:
                    await asyncio.wait_for(reader.read(1), BOUND)
                else:
                    await asyncio.sleep(3 * rng.random())
            writer.transport.abort()

    async def test_what_connections_that_have_ended_had_read_takes_no_memory(self) -> None:
        """Guards against a kill for memory: each ended connection kept its head until the garbage collector ran."""
        bad = [asyncio.create_task(self.visit(Random(number))) for number in range(400)]
        most = 0.0
        while not all(task.done() for task in bad):
            await asyncio.sleep(0.01)
            most = max(most, private_memory_mb(self.program.pid))
        self.assertLess(most, MEMORY_MB)


if __name__ == "__main__":
    unittest.main()
