"""The whole program, started by `run` of deploy/balancer.toml and spoken to over sockets.

Its settings call the list automatic and it is born with an empty one: it is ready only if it watches it
all the same.
"""

import asyncio
import contextlib
import json
import os
import signal
import tempfile
import tomllib
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import ClassVar

from tests.fakehost import SETTINGS
from tests.ports import tcp_port

ROOT = Path(__file__).parent.parent
BOUND = 30.0  # seconds for anything that is waited for, on however busy a machine
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]


class Program(unittest.IsolatedAsyncioTestCase):
    """One program, with a worker and a discovery that the test plays."""

    limits: ClassVar = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

    async def asyncSetUp(self) -> None:
        self.mood = "done"  # what the worker does with the next posting
        self.seen: list[bytes] = []  # the first lines of what came to the worker
        self.told_to_end = False
        worker = await asyncio.start_server(self.work, "127.0.0.1", 0)
        discovery = await asyncio.start_server(self.list, "127.0.0.1", 0)
        for server in (worker, discovery):
            self.addCleanup(server.close)
        self.worker = "{}:{}".format(*worker.sockets[0].getsockname())
        self.port = tcp_port()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.config = Path(folder.name) / "config.json"
        self.config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "8c1f30d27a5be964",
                    "discovery": "{}:{}".format(*discovery.sockets[0].getsockname()),
                    "limits": self.limits,
                    "known": {"index": 0, "snapshot": True, "endpoints": []},
                    "settings": SETTINGS,
                }
            )
        )
        self.program = await asyncio.create_subprocess_shell(
            RUN, cwd=ROOT, env={**os.environ, "GW_CONFIG": str(self.config)}, stderr=asyncio.subprocess.PIPE
        )
        self.log, self.stirs = b"", asyncio.Condition()
        self.reading = asyncio.create_task(self.reads())
        self.addAsyncCleanup(self.stopped)
        async with asyncio.timeout(BOUND):
            while True:
                try:
                    if (await self.call(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def reads(self) -> None:
        """The program's log, as it is written."""
        assert self.program.stderr is not None
        while line := await self.program.stderr.readline():
            self.log += line
            await self.stir()

    async def stir(self) -> None:
        async with self.stirs:
            self.stirs.notify_all()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Something came to the worker, or the program wrote a line: until that holds."""
        async with asyncio.timeout(BOUND), self.stirs:
            await self.stirs.wait_for(holds)

    async def comes(self, count: int) -> None:
        """So many postings have reached the worker."""
        await self.until(lambda: sum(line.startswith(b"POST") for line in self.seen) >= count)

    def tell_to_end(self) -> None:
        """Once: a second SIGTERM in the moment between its loop's end and its own finds no handler any more."""
        if self.program.returncode is None and not self.told_to_end:
            self.told_to_end = True
            self.program.send_signal(signal.SIGTERM)

    async def stopped(self) -> tuple[int, str]:
        self.tell_to_end()
        async with asyncio.timeout(BOUND):
            await self.program.wait()
            await self.reading
        return self.program.returncode or 0, self.log.decode()

    # The peers that the story plays.

    async def list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        line = (
            json.dumps(
                {
                    "index": 1,
                    "snapshot": True,
                    "endpoints": [
                        {
                            "name": "w",
                            "address": self.worker,
                            "zone": "a",
                            "type": "m1",
                            "group": 0,
                            "status": "active",
                            "weight": 1.0,
                            "since_ms": 0,
                        }
                    ],
                }
            ).encode()
            + b"\n"
        )
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line))
        await reader.read()
        writer.close()

    @staticmethod
    async def head(reader: asyncio.StreamReader) -> bytes:
        try:
            return await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    async def work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.addCleanup(writer.close)
        while head := await self.head(reader):
            self.seen.append(head.split(b"\r\n")[0])
            await self.stir()
            if not head.startswith(b"POST"):
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"x0":8,"queue":0}')
                continue
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            body = await reader.readexactly(length)
            if self.mood == "reset":
                writer.transport.abort()
                return
            writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            if self.mood != "hold":
                tag = head.split(b"Req-Id: ")[1].split(b"\r\n")[0].decode()
                self.assertEqual(await self.back(tag, result=body.decode().upper()), 204)

    async def back(self, tag: str, **more: str) -> int:
        told = json.dumps({"id": tag, "from": "w", "state": "done", **more}).encode()
        head = b"POST /callback HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(told)
        return (await self.call(head + told))[0]

    async def call(self, data: bytes) -> tuple[int, bytes, bytes]:
        """Status, head and body of one call on a connection of its own."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        try:
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BOUND)
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            return int(head.split()[1]), head, await reader.readexactly(int(length or b"0"))
        finally:
            writer.close()

    @staticmethod
    def job(tag: str, kind: str = "render", within: int = 3000, body: bytes = b"hello") -> bytes:
        return (
            b"POST /%s?k=1 HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\n"
            b"Req-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s"
            % (kind.encode(), tag.encode(), kind.encode(), within, len(body), body)
        )


class ProgramStory(Program):
    async def test_settled_and_the_path_goes_on_unchanged(self) -> None:
        status, _, body = await self.call(self.job("a", body=b"x" * 60_000))
        self.assertEqual((status, body), (200, b"X" * 60_000))
        self.assertIn(b"POST /render?k=1 HTTP/1.1", self.seen)

    async def test_a_reset_is_reversed_if_once_only_and_posted_again_if_it_may_be(self) -> None:
        self.mood = "reset"
        self.assertEqual((await self.call(self.job("once", "charge")))[0], 500)
        again = asyncio.create_task(self.call(self.job("again")))
        await self.comes(2)
        self.mood = "done"
        self.assertEqual((await again)[0], 200)

    async def test_declined_in_time_when_it_can_not_be_done(self) -> None:
        self.mood = "hold"
        begun = asyncio.get_running_loop().time()
        status, head, _ = await self.call(self.job("a", within=300))
        self.assertEqual(status, 503)
        self.assertIn(b"Retry-After: ", head)
        self.assertLess(asyncio.get_running_loop().time() - begun, 0.45)

    async def test_a_client_that_hangs_up_ends_its_own_txn_alone(self) -> None:
        self.mood = "hold"
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self.job("left"))
        stays = asyncio.create_task(self.call(self.job("stays")))
        await self.comes(2)
        writer.close()
        await self.until(lambda: b"code=hung-up" in self.log)
        self.assertEqual(await self.back("left", result="?"), 204)
        self.assertEqual(await self.back("stays", result="!"), 204)
        self.assertEqual((await stays)[2], b"!")
        _, log = await self.stopped()
        self.assertIn("txn.hung_up=1", log)
        self.assertIn("code=hung-up", log)

    async def test_nothing_is_sent_for_a_client_that_left_behind_much_unread_input(self) -> None:
        """Guards against an attempt for a client that had gone: its FIN was seen only after all its bytes."""
        for number in range(6):
            await self.call(self.job(f"usual-{number}"))  # so that a connection to the worker is kept
            await asyncio.sleep(0.1)  # and has rested
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            sock = writer.get_extra_info("socket")
            self.program.send_signal(signal.SIGSTOP)
            requests = [self.job(f"left-{number}-{i}", "charge", body=b"x" * 60_000) for i in range(40)]
            with contextlib.suppress(BlockingIOError):
                os.write(sock.fileno(), b"".join(requests))
            writer.transport.abort()
            await asyncio.sleep(0.2)
            self.program.send_signal(signal.SIGCONT)
        await self.call(self.job("last"))
        _, log = await self.stopped()
        self.assertIn("posting.sent=7 ", log)
        self.assertEqual(sum(line.startswith(b"POST /charge") for line in self.seen), 0)

    async def test_malformed_and_unknown_calls_get_their_answers_and_nobody_else_minds(self) -> None:
        for data, status in (
            (b"\x01\x02\r\n\r\n", 400),
            (b"GET /render HTTP/1.1\r\n\r\n", 405),
            (self.job("a").replace(b"Req-Id: a\r\n", b""), 400),
            (self.job("a", "x"), 404),
            (b"POST /callback HTTP/1.1\r\nContent-Length: 1\r\n\r\n{", 400),
            (self.job("a", body=b"x" * 70_000), 413),
        ):
            self.assertEqual((await self.call(data))[0], status)
        self.assertEqual((await self.call(self.job("b")))[0], 200)

    async def test_told_to_end_it_takes_what_still_comes_answers_all_and_exits_0(self) -> None:
        reader, kept = await asyncio.open_connection("127.0.0.1", self.port)
        kept.write(self.job("first"))
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\nHELLO"))
        self.mood = "hold"
        runs = asyncio.create_task(self.call(self.job("runs", "charge", within=9000)))
        soon = asyncio.create_task(self.call(self.job("soon")))
        await self.comes(3)
        self.tell_to_end()
        begun = asyncio.get_running_loop().time()
        await self.back("soon", result="?")
        self.assertEqual((await soon)[0], 200)
        await asyncio.sleep(0.3)
        self.mood = "done"
        self.assertEqual((await self.call(self.job("new")))[0], 200)
        for late in ("late", "later"):
            await asyncio.sleep(1.0)
            kept.write(self.job(late))
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\nHELLO"), "nobody else may be there")
        self.assertEqual(await asyncio.wait_for(reader.read(), BOUND), b"", "idle ones are closed in the end")
        self.assertEqual((await runs)[0], 500, "it may have run")
        code, log = await self.stopped()
        self.assertEqual(code, 0)
        self.assertLess(asyncio.get_running_loop().time() - begun, 3.7)
        self.assertIn("stopped unanswered=0", log)
        kept.close()

    async def test_told_to_read_again_it_watches_the_new_place_and_keeps_what_is_open(self) -> None:
        self.mood = "hold"
        runs = asyncio.create_task(self.call(self.job("runs", within=60_000)))
        await self.comes(1)
        told = json.loads(self.config.read_text())
        lists: asyncio.Queue[None] = asyncio.Queue()

        async def elsewhere(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            lists.put_nowait(None)
            await self.list(reader, writer)

        bad = ("{", "[]", "{}", '{"discovery": 7}', '{"discovery": "nowhere"}', '{"discovery": ":80"}')
        for i, text in enumerate(bad):
            self.config.write_text(text)
            self.program.send_signal(signal.SIGHUP)
            await self.until(lambda i=i: self.log.count(b"configuration not read again") > i)
        for _ in range(3):
            server = await asyncio.start_server(elsewhere, "127.0.0.1", 0)
            self.addCleanup(server.close)
            where = "{}:{}".format(*server.sockets[0].getsockname())
            self.config.write_text(json.dumps({**told, "discovery": where}))
            self.program.send_signal(signal.SIGHUP)
            await asyncio.wait_for(lists.get(), BOUND)
        self.config.unlink()
        self.program.send_signal(signal.SIGHUP)
        await self.until(lambda: self.log.count(b"configuration not read again") > len(bad))
        await self.back("runs", result="?")
        self.assertEqual((await runs)[2], b"?")
        self.mood = "done"
        self.assertEqual((await self.call(self.job("next")))[0], 200)
        self.tell_to_end()
        self.program.send_signal(signal.SIGHUP)
        code, log = await self.stopped()
        self.assertEqual((code, log.count("reread.failed=8 "), log.count("code=moved")), (0, 1, 3))

    async def test_counters_are_printed_on_a_signal_and_at_exit(self) -> None:
        await self.call(self.job("a"))
        self.program.send_signal(signal.SIGUSR1)
        await self.until(lambda: b" counters " in self.log)
        await self.call(self.job("b"))
        _, log = await self.stopped()
        first, last = (line for line in log.splitlines() if "counters" in line)
        self.assertIn("txn.settled=1 ", first)
        self.assertIn("txn.settled=2 ", last)
        self.assertIn("posting.sent=2 ", last)
