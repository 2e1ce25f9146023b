"""Stories of the pool of connections to workers, alone and with no socket: what rests, what it costs, whose it is."""

from __future__ import annotations

import asyncio
import unittest
from random import Random
from unittest import mock

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.links import Links, WorkerPool
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.pump import Tallied, drain, stream
from pathsaddle.net.service.workers import Workers
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import Reach
from pathsaddle.scheduler_types import MILLISECOND

REST, KEEP = 50, 1000


class Planted:
    """A connection as the pool sees it; it counts how often the pool looked at it."""

    def __init__(self, rests: bool = True) -> None:
        self.rests = rests
        self.idle_since = 0
        self.looks = 0
        self.sound = self.quiet = True
        self.code = ""

    @property
    def ended(self) -> bool:
        self.looks += 1
        return bool(self.code)

    @property
    def usable(self) -> bool:
        return self.sound and self.quiet and not self.code

    def end(self, code: str) -> None:
        self.code = self.code or code


class PoolStory(unittest.TestCase):
    def setUp(self) -> None:
        self.links: Links[Planted] = Links(64, KEEP, REST)
        self.pool: WorkerPool[Planted] = self.links.pool("w")

    def answered(self, now: int, rests: bool = True) -> Planted:
        link = Planted(rests)
        self.pool.used += 1
        self.links.put_back(self.pool, link, now)
        return link

    def test_how_many_there_are_is_known_without_a_walk_over_all_workers(self) -> None:
        """Asked several times an accept: a sum over 1,900 workers' pools took 190 us each time."""
        chance, out = Random(7), 0
        for now in range(2000):
            pool = self.links.pool(f"w{chance.randrange(5)}")
            step = chance.randrange(8)
            if step == 0:
                pool.used += 1  # as one that comes up
            elif step == 1 and pool.used:
                self.links.release(pool)
            elif step == 2:
                self.links.take(pool, now)
            elif step == 3 and pool.used:
                link = Planted(rests=chance.random() < 0.5)
                link.sound = chance.random() < 0.8
                self.links.put_back(pool, link, now)
            elif step == 4:
                self.links.gives_up_resting(pool)
            elif step == 5:
                self.links.let_go_oldest()
            elif step == 6 and chance.random() < 0.2:
                self.links.sweep(now)
            elif step == 7 and chance.random() < 0.2:
                self.links.forget(f"w{chance.randrange(5)}")
            there = sum(one.used + len(one.idle) for one in self.links.pools.values())
            self.assertEqual(self.links.count, there)
            out = max(out, there)
        self.assertGreater(out, 5)
        with mock.patch.object(WorkerPool, "count", new_callable=mock.PropertyMock) as each:
            self.assertEqual(self.links.count, there)
            each.assert_not_called()

    def test_none_is_taken_in_its_rest_and_of_those_that_have_rested_the_last_put_back(self) -> None:
        first, second, third = (self.answered(now) for now in (0, 10, 20))
        self.assertIsNone(self.links.take(self.pool, REST - 1))
        self.assertIs(self.links.take(self.pool, REST + 10), second)
        self.assertIs(self.links.take(self.pool, REST + 10), first)
        self.assertIsNone(self.links.take(self.pool, REST + 10))
        self.assertIs(self.links.take(self.pool, REST + 20), third)
        self.assertEqual((self.pool.used, self.pool.count), (3, 3))

    def test_what_answered_a_look_is_taken_at_once_also_behind_resting_ones(self) -> None:
        self.answered(0)
        looked = self.answered(1, rests=False)
        self.answered(2)
        self.assertIs(self.links.take(self.pool, 2), looked)
        self.assertIsNone(self.links.take(self.pool, 2))

    def test_resting_ones_are_not_gone_through_at_each_call(self) -> None:
        """A worker that answers fast has as many resting as it answers in a rest: each call looked at all of them."""
        resting = [self.answered(now) for now in range(40)]
        for link in resting:
            link.looks = 0
        for now in range(5):
            self.assertIsNone(self.links.take(self.pool, 40 + now))
        self.assertLessEqual(sum(link.looks for link in resting), 5)

    def test_one_that_ended_in_its_rest_is_never_taken_and_goes_at_the_next_sweep(self) -> None:
        links = [self.answered(now) for now in range(3)]
        links[1].end("worker-closed")
        self.links.sweep(5)
        self.assertEqual(self.pool.count, 2)
        links[0].end("worker-closed")
        self.assertIs(self.links.take(self.pool, REST + 5), links[2])
        self.assertIsNone(self.links.take(self.pool, REST + 5))

    def test_one_with_an_answer_that_was_not_its_calls_is_not_put_back(self) -> None:
        link = Planted()
        link.sound = False
        self.pool.used += 1
        self.links.put_back(self.pool, link, 0)
        self.assertEqual((self.pool.count, link.code), (0, "worker-stirred"))

    def test_one_on_which_something_lies_by_the_time_it_is_taken_is_ended(self) -> None:
        link = self.answered(0)
        link.quiet = False
        self.assertIsNone(self.links.take(self.pool, REST))
        self.assertEqual((self.pool.count, link.code), (0, "worker-stirred"))

    def test_resting_ones_count_against_the_caps_and_make_way_the_oldest_first(self) -> None:
        first, second = self.answered(0), self.answered(1)
        self.assertTrue(self.links.gives_up_resting(self.pool))
        self.assertEqual((first.code, second.code), ("resting", ""))
        self.links.let_go_oldest()
        self.assertEqual((second.code, self.pool.count), ("room", 0))
        self.assertFalse(self.links.gives_up_resting(self.pool))
        self.links.let_go_oldest()

    def test_an_idle_one_of_old_is_let_go_and_a_worker_that_is_gone_keeps_none(self) -> None:
        old, young = self.answered(0), self.answered(KEEP - 1)
        self.links.sweep(KEEP)
        self.assertEqual((old.code, young.code), ("idle", ""))
        self.links.forget("w")
        self.assertEqual((young.code, self.links.pools), ("worker-gone", {}))


class CostStory(unittest.IsolatedAsyncioTestCase):
    """What a call on a kept connection takes of the kernel and of the event loop."""

    async def asyncSetUp(self) -> None:
        over = asyncio.Event()

        async def accepting(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while head := await reader.readline():
                if head == b"\r\n":
                    await reader.readexactly(1)
                    writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            over.set()

        server = await asyncio.start_server(accepting, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.now = 0.0
        self.workers = Workers(
            Reach(10_000 * MILLISECOND, 60_000 * MILLISECOND),
            8,
            Clock(wall=lambda: 0.0, steady=lambda: self.now),
            Counters(),
        )
        self.addAsyncCleanup(over.wait)
        self.addCleanup(self.workers.links.drop_idle, "w", "stopping")
        host, port = server.sockets[0].getsockname()
        self.workers.located("w", f"{host}:{port}")
        await self.post()
        self.now += 0.06

    async def post(self) -> None:
        self.assertEqual((await self.workers.call("w", "POST", b"/x", [], b"x")).status, 202)

    async def test_the_kernel_is_asked_once_for_what_lies_unread_right_before_the_link_is_taken(self) -> None:
        peeks: list[int] = []
        stirred = Tallied.stirred

        def counted(sock: Tallied) -> bool:
            peeks.append(sock.given)
            return stirred(sock)

        with mock.patch.object(Tallied, "stirred", counted):
            await self.post()
        self.assertEqual(len(peeks), 1)
        self.assertEqual(self.workers.counters["connect.made"], 1)

    async def test_no_timer_is_set_where_a_link_is_there_and_no_limit_is_told(self) -> None:
        with mock.patch.object(asyncio, "timeout", side_effect=AssertionError("a timer")):
            await self.post()

    async def test_where_a_limit_is_told_a_peer_that_takes_nothing_is_waited_for_no_longer(self) -> None:
        listening = await asyncio.start_server(lambda reader, writer: reader.read(0), "127.0.0.1", 0)
        self.addAsyncCleanup(listening.wait_closed)
        self.addCleanup(listening.close)
        sock, peer = stream("{}:{}".format(*listening.sockets[0].getsockname()))
        with sock:
            await asyncio.get_running_loop().sock_connect(sock, peer)
            ring = Ring()
            ring.put(b"x" * 30_000_000)
            with self.assertRaises(TimeoutError):
                await drain(sock, ring, 50 * MILLISECOND)
