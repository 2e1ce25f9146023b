"""Tests of the virtual environment: time, in-memory connections, hosts that die, reproducible runs."""

import asyncio
import errno
import os
import subprocess
import sys
import unittest
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from unittest import mock

from pathsaddle.emulator.ground import moments
from pathsaddle.emulator.ground.links import Host, Net
from pathsaddle.emulator.ground.moments import Moments, Spinning

ROOT = Path(__file__).parent.parent
HERE = "10.0.0.1:80"


class VirtualLoopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Moments()  # type: ignore[abstract]
        self.net = Net(self.loop)
        self.server_host, self.client_host = Host(self.net, "one"), Host(self.net, "other")

    def run_all(self, *coroutines: Coroutine[Any, Any, Any]) -> list[Any]:
        async def gather_all() -> list[Any]:
            return await asyncio.gather(*coroutines)

        return list(self.loop.run_until_complete(gather_all()))

    def listen(self, host: Host, backlog: int = 8) -> Any:
        sock = self.net.stream(host)
        sock.bind(("10.0.0.1", 80))
        sock.listen(backlog)
        return sock

    async def connect(self) -> tuple[Any, Any]:
        listener, client = self.listen(self.server_host), self.net.stream(self.client_host)
        await self.loop.sock_connect(client, ("10.0.0.1", 80))
        server, _ = await self.loop.sock_accept(listener)
        return client, server

    def test_idle_time_passes_at_once(self) -> None:
        async def sleep_for_a_day() -> float:
            await asyncio.sleep(86_400.0)
            return self.loop.time()

        self.assertEqual(self.run_all(sleep_for_a_day()), [86_400.0])

    def test_handles_due_at_the_same_moment_run_in_the_order_of_their_calls(self) -> None:
        order: list[int] = []
        for i in range(50):
            self.loop.call_later(1.0, order.append, i)
        self.loop.call_at(1.0, order.append, 50)
        self.run_all(asyncio.sleep(1.0))
        self.assertEqual(order, list(range(51)))

    def test_a_task_that_yields_without_end_at_one_moment_is_reported(self) -> None:
        async def yield_forever() -> None:
            while True:
                await asyncio.sleep(0)

        self.server_host.run(yield_forever)
        with mock.patch.object(moments, "STEPS", 1000), self.assertRaises(Spinning) as caught:
            self.loop.run_forever()
        self.assertIn("one: ", str(caught.exception))

    def test_a_step_that_never_yields_is_reported_with_its_place(self) -> None:
        async def never_yield() -> None:
            while True:
                pass

        self.server_host.run(never_yield)
        with mock.patch.object(moments, "PATIENCE", 1), self.assertRaises(Spinning) as caught:
            self.loop.run_forever()
        self.assertIn("does not yield, at", str(caught.exception))
        self.assertIn("test_virtual.py", str(caught.exception))

    def test_a_deadlock_raises_an_error(self) -> None:
        with self.assertRaisesRegex(RuntimeError, "no timer is left"):
            self.run_all(self.loop.create_future())  # type: ignore[arg-type]

    def test_a_peer_that_half_closed_still_receives(self) -> None:
        async def scenario() -> bytes:
            client, server = await self.connect()
            await self.loop.sock_sendall(client, b"last")
            client.shutdown(1)
            self.assertEqual(await self.loop.sock_recv(server, 10), b"last")
            self.assertEqual(await self.loop.sock_recv(server, 10), b"")
            with self.assertRaises(BrokenPipeError):
                await self.loop.sock_sendall(client, b"more")
            await self.loop.sock_sendall(server, b"answer")
            return await self.loop.sock_recv(client, 10)

        self.assertEqual(self.run_all(scenario()), [b"answer"])

    def test_closing_with_unread_bytes_resets_the_connection(self) -> None:
        async def scenario() -> None:
            client, server = await self.connect()
            await self.loop.sock_sendall(client, b"unread")
            server.close()
            with self.assertRaises(ConnectionResetError):
                await self.loop.sock_recv(client, 10)

        self.run_all(scenario())

    def test_a_sender_waits_for_a_slow_reader(self) -> None:
        async def scenario() -> float:
            client, server = await self.connect()

            async def read_slowly() -> None:
                for _ in range(9):
                    await asyncio.sleep(1.0)
                    await self.loop.sock_recv(server, 100_000)

            reader = self.loop.create_task(read_slowly())
            await self.loop.sock_sendall(client, b"x" * 900_000)
            sent_at = self.loop.time()
            await reader
            return sent_at

        self.assertGreater(self.run_all(scenario())[0], 5.0)

    def test_connects_wait_while_the_accept_queue_is_full(self) -> None:
        async def scenario() -> None:
            listener = self.listen(self.server_host, 2)
            for _ in range(2):
                await self.loop.sock_connect(self.net.stream(self.client_host), ("10.0.0.1", 80))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(5.0):
                    await self.loop.sock_connect(self.net.stream(self.client_host), ("10.0.0.1", 80))
            pending = self.loop.create_task(
                self.loop.sock_connect(self.net.stream(self.client_host), ("10.0.0.1", 80))
            )
            await asyncio.sleep(1.0)
            self.assertFalse(pending.done())
            await self.loop.sock_accept(listener)
            await pending

        self.run_all(scenario())

    def test_without_free_descriptors_socket_and_accept_fail(self) -> None:
        async def scenario() -> None:
            limited = Host(self.net, "few", descriptors=10)
            listener = self.listen(limited)
            await self.loop.sock_connect(self.net.stream(self.client_host), ("10.0.0.1", 80))
            self.net.stream(limited)
            with self.assertRaises(OSError) as caught:
                await self.loop.sock_accept(listener)
            self.assertEqual(caught.exception.errno, errno.EMFILE)
            with self.assertRaises(OSError):
                self.net.stream(limited)

        self.run_all(scenario())

    def test_a_killed_host_stops_and_its_connections_are_reset(self) -> None:
        ticks: list[float] = []

        async def tick_every_second() -> None:
            try:
                while True:
                    await asyncio.sleep(1.0)
                    ticks.append(self.loop.time())
            finally:
                ticks.append(-1.0)

        async def scenario() -> None:
            client, _ = await self.connect()
            self.server_host.run(tick_every_second)
            self.loop.call_later(2.5, self.server_host.kill)
            with self.assertRaises(ConnectionResetError):
                await self.loop.sock_recv(client, 10)
            with self.assertRaises(ConnectionRefusedError):
                await self.loop.sock_connect(self.net.stream(self.client_host), ("10.0.0.1", 80))
            await asyncio.sleep(5.0)

        self.run_all(scenario())
        self.assertEqual(ticks, [1.0, 2.0, -1.0])
        self.assertEqual(self.loop.faults, [])

    def test_a_signal_reaches_only_its_host(self) -> None:
        received: list[int] = []

        async def handle_signals() -> None:
            self.loop.add_signal_handler(15, received.append, 15)
            await asyncio.sleep(9.0)

        self.server_host.run(handle_signals)
        self.loop.call_later(1.0, self.server_host.signal, 15)
        self.loop.call_later(1.0, self.client_host.signal, 15)
        self.run_all(asyncio.sleep(2.0))
        self.assertEqual(received, [15])


class DigestTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_bytes_under_any_hash_seed(self) -> None:
        digests = []
        for seed, hash_seed in ((7, "0"), (7, "12345"), (8, "0")):
            result = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "pathsaddle",
                    "demo",
                    "--virtual",
                    "--seed",
                    str(seed),
                    "--seconds",
                    "8",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
            )
            self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
            digests.append(result.stdout.rpartition("digest ")[2].split()[0])
        self.assertEqual(digests[0], digests[1])
        self.assertNotEqual(digests[0], digests[2])


if __name__ == "__main__":
    unittest.main()
