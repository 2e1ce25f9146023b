"""Stories of the virtual ground: time, connections in memory, hosts that die, runs that repeat themselves."""

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


class MomentsStory(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = Moments()  # type: ignore[abstract]
        self.net = Net(self.loop)
        self.one, self.other = Host(self.net, "one"), Host(self.net, "other")

    def run_all(self, *work: Coroutine[Any, Any, Any]) -> list[Any]:
        async def all_of_it() -> list[Any]:
            return await asyncio.gather(*work)

        return list(self.loop.run_until_complete(all_of_it()))

    def listen(self, host: Host, backlog: int = 8) -> Any:
        sock = self.net.stream(host)
        sock.bind(("10.0.0.1", 80))
        sock.listen(backlog)
        return sock

    async def connected(self) -> tuple[Any, Any]:
        server, client = self.listen(self.one), self.net.stream(self.other)
        await self.loop.sock_connect(client, ("10.0.0.1", 80))
        there, _ = await self.loop.sock_accept(server)
        return client, there

    def test_time_that_nobody_uses_costs_nothing(self) -> None:
        async def long() -> float:
            await asyncio.sleep(86_400.0)
            return self.loop.time()

        self.assertEqual(self.run_all(long()), [86_400.0])

    def test_what_is_due_at_one_moment_runs_in_the_order_in_which_it_was_asked_for(self) -> None:
        seen: list[int] = []
        for i in range(50):
            self.loop.call_later(1.0, seen.append, i)
        self.loop.call_at(1.0, seen.append, 50)
        self.run_all(asyncio.sleep(1.0))
        self.assertEqual(seen, list(range(51)))

    def test_a_task_that_yields_without_end_at_one_moment_is_reported(self) -> None:
        async def spins() -> None:
            while True:
                await asyncio.sleep(0)

        self.one.run(spins)
        with mock.patch.object(moments, "STEPS", 1000), self.assertRaises(Spinning) as caught:
            self.loop.run_forever()
        self.assertIn("one: ", str(caught.exception))

    def test_a_step_that_never_yields_is_reported_where_it_stands(self) -> None:
        async def hangs() -> None:
            while True:
                pass

        self.one.run(hangs)
        with mock.patch.object(moments, "PATIENCE", 1), self.assertRaises(Spinning) as caught:
            self.loop.run_forever()
        self.assertIn("does not yield, at", str(caught.exception))
        self.assertIn("test_virtual.py", str(caught.exception))

    def test_everybody_waiting_for_somebody_is_an_error_and_no_hang(self) -> None:
        with self.assertRaisesRegex(RuntimeError, "no timer is left"):
            self.run_all(self.loop.create_future())  # type: ignore[arg-type]

    def test_a_peer_that_half_closes_still_hears(self) -> None:
        async def story() -> bytes:
            client, there = await self.connected()
            await self.loop.sock_sendall(client, b"last")
            client.shutdown(1)
            self.assertEqual(await self.loop.sock_recv(there, 10), b"last")
            self.assertEqual(await self.loop.sock_recv(there, 10), b"")
            with self.assertRaises(BrokenPipeError):
                await self.loop.sock_sendall(client, b"more")
            await self.loop.sock_sendall(there, b"answer")
            return await self.loop.sock_recv(client, 10)

        self.assertEqual(self.run_all(story()), [b"answer"])

    def test_closing_with_bytes_unread_resets(self) -> None:
        async def story() -> None:
            client, there = await self.connected()
            await self.loop.sock_sendall(client, b"unread")
            there.close()
            with self.assertRaises(ConnectionResetError):
                await self.loop.sock_recv(client, 10)

        self.run_all(story())

    def test_a_sender_waits_for_a_slow_reader(self) -> None:
        async def story() -> float:
            client, there = await self.connected()

            async def slow() -> None:
                for _ in range(9):
                    await asyncio.sleep(1.0)
                    await self.loop.sock_recv(there, 100_000)

            reading = self.loop.create_task(slow())
            await self.loop.sock_sendall(client, b"x" * 900_000)
            sent = self.loop.time()
            await reading
            return sent

        self.assertGreater(self.run_all(story())[0], 5.0)

    def test_a_full_accept_queue_lets_connects_hang_until_there_is_room(self) -> None:
        async def story() -> None:
            server = self.listen(self.one, 2)
            for _ in range(2):
                await self.loop.sock_connect(self.net.stream(self.other), ("10.0.0.1", 80))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(5.0):
                    await self.loop.sock_connect(self.net.stream(self.other), ("10.0.0.1", 80))
            late = self.loop.create_task(
                self.loop.sock_connect(self.net.stream(self.other), ("10.0.0.1", 80))
            )
            await asyncio.sleep(1.0)
            self.assertFalse(late.done())
            await self.loop.sock_accept(server)
            await late

        self.run_all(story())

    def test_descriptors_used_up_fail_the_next_socket_and_the_next_accept(self) -> None:
        async def story() -> None:
            few = Host(self.net, "few", descriptors=10)
            server = self.listen(few)
            await self.loop.sock_connect(self.net.stream(self.other), ("10.0.0.1", 80))
            self.net.stream(few)
            with self.assertRaises(OSError) as caught:
                await self.loop.sock_accept(server)
            self.assertEqual(caught.exception.errno, errno.EMFILE)
            with self.assertRaises(OSError):
                self.net.stream(few)

        self.run_all(story())

    def test_a_killed_host_runs_no_more_and_its_connections_are_reset(self) -> None:
        ran: list[float] = []

        async def ticks() -> None:
            try:
                while True:
                    await asyncio.sleep(1.0)
                    ran.append(self.loop.time())
            finally:
                ran.append(-1.0)

        async def story() -> None:
            client, _ = await self.connected()
            self.one.run(ticks)
            self.loop.call_later(2.5, self.one.kill)
            with self.assertRaises(ConnectionResetError):
                await self.loop.sock_recv(client, 10)
            with self.assertRaises(ConnectionRefusedError):
                await self.loop.sock_connect(self.net.stream(self.other), ("10.0.0.1", 80))
            await asyncio.sleep(5.0)

        self.run_all(story())
        self.assertEqual(ran, [1.0, 2.0, -1.0])
        self.assertEqual(self.loop.faults, [])

    def test_signals_reach_the_host_that_listens_for_them(self) -> None:
        heard: list[int] = []

        async def life() -> None:
            self.loop.add_signal_handler(15, heard.append, 15)
            await asyncio.sleep(9.0)

        self.one.run(life)
        self.loop.call_later(1.0, self.one.signal, 15)
        self.loop.call_later(1.0, self.other.signal, 15)
        self.run_all(asyncio.sleep(2.0))
        self.assertEqual(heard, [15])


class DigestStory(unittest.TestCase):
    def test_the_same_seed_gives_the_same_bytes_under_any_hash_seed(self) -> None:
        found = []
        for seed, hash_seed in ((7, "0"), (7, "12345"), (8, "0")):
            done = subprocess.run(
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
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
            found.append(done.stdout.rpartition("digest ")[2].split()[0])
        self.assertEqual(found[0], found[1])
        self.assertNotEqual(found[0], found[2])


if __name__ == "__main__":
    unittest.main()
