"""The pool of connections to workers without sockets, and the system calls that one call costs."""

from __future__ import annotations

import asyncio
import unittest
from random import Random
from unittest import mock

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.links import Links, WorkerPool
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.pump import CountingSocket, drain, stream
from pathsaddle.net.service.workers import Workers
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import ConnectionTimeouts
from pathsaddle.scheduler_types import MILLISECOND

COOLDOWN, IDLE_TIMEOUT = 50, 1000


class FakeLink:
    """A link without a socket that counts how often the pool reads its state."""

    def __init__(self, rests: bool = True) -> None:
        self.needs_cooldown = rests
        self.idle_since = 0
        self.reads = 0
        self.is_sound = self.has_nothing_unread = True
        self.code = ""

    @property
    def has_ended(self) -> bool:
        self.reads += 1
        return bool(self.code)

    @property
    def is_usable(self) -> bool:
        return self.is_sound and self.has_nothing_unread and not self.code

    def end(self, code: str) -> None:
        self.code = self.code or code


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.links: Links[FakeLink] = Links(64, IDLE_TIMEOUT, COOLDOWN)
        self.pool: WorkerPool[FakeLink] = self.links.pool("w")

    def answered(self, now: int, rests: bool = True) -> FakeLink:
        link = FakeLink(rests)
        self.pool.used_count += 1
        self.links.put_back(self.pool, link, now)
        return link

    def test_the_link_count_is_kept_without_a_sum_over_all_workers(self) -> None:
        """Each accept reads the count several times, and a sum over 1,900 pools took 190 us each time."""
        random, max_count = Random(7), 0
        for now in range(2000):
            pool = self.links.pool(f"w{random.randrange(5)}")
            step = random.randrange(8)
            if step == 0:
                pool.used_count += 1  # as a link that is being connected
            elif step == 1 and pool.used_count:
                self.links.release_slot(pool)
            elif step == 2:
                self.links.acquire(pool, now)
            elif step == 3 and pool.used_count:
                link = FakeLink(rests=random.random() < 0.5)
                link.is_sound = random.random() < 0.8
                self.links.put_back(pool, link, now)
            elif step == 4:
                self.links.close_cooling(pool)
            elif step == 5:
                self.links.close_oldest()
            elif step == 6 and random.random() < 0.2:
                self.links.close_expired(now)
            elif step == 7 and random.random() < 0.2:
                self.links.remove_worker(f"w{random.randrange(5)}")
            expected = sum(each.used_count + len(each.idle_links) for each in self.links.pools.values())
            self.assertEqual(self.links.count, expected)
            max_count = max(max_count, expected)
        self.assertGreater(max_count, 5)
        with mock.patch.object(WorkerPool, "count", new_callable=mock.PropertyMock) as pool_count:
            self.assertEqual(self.links.count, expected)
            pool_count.assert_not_called()

    def test_no_link_is_taken_while_cooling_down_and_of_the_ready_ones_the_latest_is(self) -> None:
        first, second, third = (self.answered(now) for now in (0, 10, 20))
        self.assertIsNone(self.links.acquire(self.pool, COOLDOWN - 1))
        self.assertIs(self.links.acquire(self.pool, COOLDOWN + 10), second)
        self.assertIs(self.links.acquire(self.pool, COOLDOWN + 10), first)
        self.assertIsNone(self.links.acquire(self.pool, COOLDOWN + 10))
        self.assertIs(self.links.acquire(self.pool, COOLDOWN + 20), third)
        self.assertEqual((self.pool.used_count, self.pool.count), (3, 3))

    def test_a_link_that_answered_a_probe_is_taken_at_once_even_behind_cooling_ones(self) -> None:
        self.answered(0)
        probed = self.answered(1, rests=False)
        self.answered(2)
        self.assertIs(self.links.acquire(self.pool, 2), probed)
        self.assertIsNone(self.links.acquire(self.pool, 2))

    def test_a_call_does_not_scan_the_cooling_links(self) -> None:
        """A fast worker has as many cooling links as answers in a cooldown, and each call read them all."""
        cooling = [self.answered(now) for now in range(40)]
        for link in cooling:
            link.reads = 0
        for now in range(5):
            self.assertIsNone(self.links.acquire(self.pool, 40 + now))
        self.assertLessEqual(sum(link.reads for link in cooling), 5)

    def test_a_link_that_ended_while_cooling_is_never_taken_and_the_next_sweep_removes_it(self) -> None:
        links = [self.answered(now) for now in range(3)]
        links[1].end("worker-closed")
        self.links.close_expired(5)
        self.assertEqual(self.pool.count, 2)
        links[0].end("worker-closed")
        self.assertIs(self.links.acquire(self.pool, COOLDOWN + 5), links[2])
        self.assertIsNone(self.links.acquire(self.pool, COOLDOWN + 5))

    def test_a_link_with_an_answer_to_another_call_is_not_put_back(self) -> None:
        link = FakeLink()
        link.is_sound = False
        self.pool.used_count += 1
        self.links.put_back(self.pool, link, 0)
        self.assertEqual((self.pool.count, link.code), (0, "worker-stirred"))

    def test_a_link_with_unread_bytes_when_it_is_taken_is_ended(self) -> None:
        link = self.answered(0)
        link.has_nothing_unread = False
        self.assertIsNone(self.links.acquire(self.pool, COOLDOWN))
        self.assertEqual((self.pool.count, link.code), (0, "worker-stirred"))

    def test_cooling_links_count_against_the_limits_and_the_oldest_makes_room_first(self) -> None:
        first, second = self.answered(0), self.answered(1)
        self.assertTrue(self.links.close_cooling(self.pool))
        self.assertEqual((first.code, second.code), ("resting", ""))
        self.links.close_oldest()
        self.assertEqual((second.code, self.pool.count), ("room", 0))
        self.assertFalse(self.links.close_cooling(self.pool))
        self.links.close_oldest()

    def test_links_are_closed_at_the_idle_timeout_and_when_their_worker_is_gone(self) -> None:
        expired, recent = self.answered(0), self.answered(IDLE_TIMEOUT - 1)
        self.links.close_expired(IDLE_TIMEOUT)
        self.assertEqual((expired.code, recent.code), ("idle", ""))
        self.links.remove_worker("w")
        self.assertEqual((recent.code, self.links.pools), ("worker-gone", {}))


class CallCostTest(unittest.IsolatedAsyncioTestCase):
    """The system calls and timers that a call on a kept connection costs."""

    async def asyncSetUp(self) -> None:
        closed = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while head := await reader.readline():
                if head == b"\r\n":
                    await reader.readexactly(1)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            closed.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.now = 0.0
        self.workers = Workers(
            ConnectionTimeouts(10_000 * MILLISECOND, 60_000 * MILLISECOND),
            8,
            Clock(wall=lambda: 0.0, steady=lambda: self.now),
            Counters(),
        )
        self.addAsyncCleanup(closed.wait)
        self.addCleanup(self.workers.links.close_idle, "w", "stopping")
        host, port = server.sockets[0].getsockname()
        self.workers.set_address("w", f"{host}:{port}")
        await self.post()
        self.now += 0.06

    async def post(self) -> None:
        self.assertEqual((await self.workers.call("w", "POST", b"/x", [], b"x")).status, 202)

    async def test_taking_a_link_peeks_at_its_socket_once(self) -> None:
        peeked_at: list[int] = []
        peek = CountingSocket.has_unread_input

        def counting_peek(sock: CountingSocket) -> bool:
            peeked_at.append(sock.sent_bytes)
            return peek(sock)

        with mock.patch.object(CountingSocket, "has_unread_input", counting_peek):
            await self.post()
        self.assertEqual(len(peeked_at), 1)
        self.assertEqual(self.workers.counters["connect.made"], 1)

    async def test_a_call_on_an_idle_link_without_a_time_limit_sets_no_timer(self) -> None:
        with mock.patch.object(asyncio, "timeout", side_effect=AssertionError("a timer was set")):
            await self.post()

    async def test_a_write_to_a_peer_that_reads_nothing_ends_at_its_time_limit(self) -> None:
        server = await asyncio.start_server(lambda reader, writer: reader.read(0), "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        sock, peer = stream("{}:{}".format(*server.sockets[0].getsockname()))
        with sock:
            await asyncio.get_running_loop().sock_connect(sock, peer)
            ring = Ring()
            ring.put(b"x" * 30_000_000)
            with self.assertRaises(TimeoutError):
                await drain(sock, ring, 50 * MILLISECOND)
