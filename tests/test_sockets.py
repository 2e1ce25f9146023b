"""Stories of the drivers on the loopback: links to workers, accepted connections, the watch, a look."""

import asyncio
import contextlib
import resource
import socket
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Sending
from pathsaddle.net.service import discovery as discovery_module
from pathsaddle.net.service import front as front_module
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.front import Front, Room
from pathsaddle.net.service.pump import Tallied
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import Lost, NeverSent, Workers
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import Row, Words
from pathsaddle.net.wire.http import Message
from pathsaddle.net.wire.terms import Reach
from pathsaddle.scheduler_types import MILLISECOND, SECOND, ListUpdate, Outcome, Worker
from tests.fakehost import SETTINGS

Answering = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
BOUND = 30.0  # seconds for anything that is waited for, on however busy a machine


async def until(holds: Callable[[], Any]) -> None:
    async with asyncio.timeout(BOUND):
        while not holds():
            await asyncio.sleep(0.005)


class Peers(unittest.IsolatedAsyncioTestCase):
    async def peer(self, answering: Answering) -> str:
        """A listener that plays a worker or discovery; its address."""

        async def played(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.came += 1
            try:
                await answering(reader, writer)
            finally:
                writer.close()

        self.came = 0
        server = await asyncio.start_server(played, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"


class LinkStory(Peers):
    async def workers(self, answering: Answering, idle: int = 60_000, sockets: int = 8) -> Workers:
        self.counters, self.ahead = Counters(), 0.0
        clock = Clock(steady=lambda: time.monotonic() + self.ahead)
        workers = Workers(Reach(200 * MILLISECOND, idle), sockets, clock, self.counters)
        workers.located("w", await self.peer(answering))
        return workers

    async def post(self, workers: Workers, body: bytes = b"x") -> Message:
        return await workers.call("w", "POST", b"/render", [(b"Req-Id", b"a")], body)

    @staticmethod
    async def accepting(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\nx"):
            writer.write(ACCEPTED)

    async def test_a_link_is_kept_and_used_again(self) -> None:
        workers = await self.workers(self.accepting)
        for _ in range(5):
            self.assertEqual((await self.post(workers)).status, 202)
            self.ahead += 0.05
        self.assertEqual(self.came, 1)

    async def test_a_link_rests_after_an_answer_while_a_second_one_may_come_and_never_after_a_look(
        self,
    ) -> None:
        async def looked_at(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        workers = await self.workers(self.accepting)
        first = workers.clock.now()
        workers.clock._steady = lambda: 0.0  # time stands still
        for made in (1, 2, 3):
            await self.post(workers)
            self.assertEqual(self.came, made)
        self.assertLessEqual(workers.clock.now(), first)
        workers.located("v", await self.peer(looked_at))
        for _ in range(3):
            await workers.call("v", "GET", b"/health", [])
        self.assertEqual(self.came, 1)

    async def test_at_its_cap_a_worker_is_called_on_new_connections_not_on_resting_ones(self) -> None:
        workers = await self.workers(self.accepting, sockets=2)
        workers.clock._steady = lambda: 0.0
        for _ in range(5):
            self.assertEqual((await self.post(workers)).status, 202)
        self.assertEqual((self.came, workers.links.count), (5, 2))
        self.assertEqual(self.counters["link_end.resting"], 3)

    async def test_a_second_answer_never_passes_for_the_next_calls(self) -> None:
        """Twice in one piece, in a piece of its own at once, and while the next call waits for a connection: the
        next posting, which is being done, looked as if it had never run.
        """
        declined = b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
        for apart in (False, True):

            def twice(apart: bool = apart) -> Answering:
                async def answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                    await reader.readuntil(b"\r\n\r\nx")
                    if self.came > 1:
                        writer.write(ACCEPTED)
                        await reader.read()
                    writer.write(declined if apart else declined * 2)
                    await writer.drain()
                    self.first.set()
                    if apart:
                        await self.again.wait()
                        writer.write(declined)
                    await reader.read()

                return answers

            self.first, self.again = asyncio.Event(), asyncio.Event()
            workers = await self.workers(twice())
            if apart:
                self.assertEqual((await self.post(workers)).status, 503)
                link = workers.links.pool("w").idle[0]
                self.ahead += 0.06  # it has rested; the second answer is here, and its reader has not run
                self.again.set()
                while not link.ended and not link.sock.stirred():
                    await asyncio.sleep(0)
            else:
                with self.assertRaises(
                    Lost
                ):  # which of the two is meant nobody knows: no proof that it never ran
                    await self.post(workers)
            self.ahead += 0.06
            self.assertEqual((await self.post(workers)).status, 202, apart)

    async def test_a_second_answer_to_a_look_never_passes_for_the_postings_behind_it(self) -> None:
        """Behind the posting: its own answer counts and the link is used no more. Before it: another link is used. With
        503, which a posting may be answered with too: it may have run, and the late 202 is no other call's.
        """
        looked = b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n"
        for status, before, expected in (
            (b"200 OK", False, [202, 202]),
            (b"200 OK", True, [202, 202]),
            (b"503 No", False, [503, 202]),
        ):

            async def answers(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                status: bytes = status,
                before: bool = before,
            ) -> None:
                looks = 0
                while head := await reader.readuntil(b"\r\n\r\n"):  # breaks off where the link is ended
                    if head.startswith(b"GET"):
                        writer.write(looked % status)
                        if before:
                            await self.again.wait()
                            writer.write(looked % status)
                        looks += 1
                        continue
                    if looks and not before:
                        writer.write(looked % status)
                    looks = 0
                    await reader.readexactly(1)
                    writer.write(ACCEPTED)

            async def played(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    await answers(reader, writer)

            with self.subTest(status=status, before=before):
                self.again = asyncio.Event()
                workers = await self.workers(played)
                await workers.call("w", "GET", b"/health", [])
                link = workers.links.pool("w").idle[0]
                if before:
                    self.again.set()
                    while not link.ended and not link.sock.stirred():
                        await asyncio.sleep(0)
                said = []
                for _ in expected:
                    try:
                        answer = await asyncio.wait_for(self.post(workers), BOUND)
                        self.assertNotIn(b"srv-declined", answer.headers, "nothing says that it never ran")
                        said.append(answer.status)
                    except Lost:  # in one piece with the 202 behind it: not told apart, and no proof either
                        said.append(503)
                    self.ahead += 0.06
                self.assertEqual((said, self.came), (expected, 2))
                self.assertEqual(self.counters["answer.stray"], int(status == b"200 OK" and not before))

    async def test_what_lies_unread_on_a_kept_link_ends_it_before_it_is_taken(self) -> None:
        """A FIN, half a line, or bytes that recv_into has taken and whose reader has not resumed."""
        workers = await self.workers(self.accepting)
        link: Any = None
        for plant in ("unread", "taken"):
            await self.post(workers)
            link = workers.links.pool("w").idle[-1]
            self.ahead += 0.06
            if plant == "unread":
                with mock.patch.object(Tallied, "stirred", side_effect=[True, False]):
                    await self.post(workers)
            else:
                link.sock.taken += 4
                await self.post(workers)
            self.assertTrue(link.ended, plant)
        self.assertEqual((self.came, self.counters["link_end.worker-stirred"]), (3, 2))

    async def test_an_answer_before_the_call_is_there_whole_stops_it_and_it_has_never_run(self) -> None:
        async def hasty(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            self.read = len(await reader.read())

        self.read = -1
        workers = await self.workers(hasty)
        body = b"x" * 30_000_000  # more than the kernel takes
        with self.assertRaises(NeverSent):
            await self.post(workers, body)
        while self.read < 0:
            await asyncio.sleep(0.01)
        self.assertLess(self.read, len(body))
        self.assertEqual(self.counters["link_end.worker-early"], 1)

    async def test_what_the_kernel_took_is_sent_whatever_our_task_has_seen_of_it(self) -> None:
        """Uvloop resumes who waits for sock_sendall a turn after the last send: given up in that turn, a posting
        that its worker had whole was said never to have run.
        """
        workers = await self.workers(self.accepting)
        seen: list[tuple[bool, bool]] = []
        kept: list[Sending] = []
        send = Tallied.send

        def watched(sock: Tallied, data: Any, flags: int = 0) -> int:
            before = kept[0].whole if kept else False
            count = send(sock, data, flags)
            seen.append((before, kept[0].whole if kept else False))  # our task has not resumed
            return count

        with mock.patch.object(Tallied, "send", watched):
            await workers.call("w", "POST", b"/render", [(b"Req-Id", b"a")], b"x", kept.append)
        self.assertEqual(seen, [(False, True)])

    async def test_answers_without_end_are_bounded_and_interim_ones_are_none(self) -> None:
        pieces = iter(
            (
                b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + ACCEPTED,
                b"HTTP/1.1 202 A\r\nX: " + b"y" * 40_000,
                b"HTTP/1.1 202 A\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 80_000,
            )
        )

        async def endless(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(next(pieces))
            await reader.read()

        workers = await self.workers(endless)
        self.assertEqual((await self.post(workers)).status, 202)
        for _ in range(2):
            with self.assertRaises(Lost):
                await asyncio.wait_for(self.post(workers), BOUND)
        self.assertEqual(self.counters["link_end.worker-malformed"], 2)

    async def test_a_link_near_the_workers_idle_limit_is_not_used_any_more(self) -> None:
        workers = await self.workers(self.accepting, idle=100 * MILLISECOND)
        await self.post(workers)
        await asyncio.sleep(0.07)
        await self.post(workers)
        self.assertEqual(self.came, 2)
        await asyncio.sleep(0.07)
        workers.links.sweep(workers.clock.now())
        self.assertEqual(workers.links.count, 0)

    async def test_a_link_that_the_worker_closed_is_not_used_any_more(self) -> None:
        async def once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(ACCEPTED)

        workers = await self.workers(once)
        await self.post(workers)
        await asyncio.sleep(0.02)
        self.assertEqual((await self.post(workers)).status, 202)
        self.assertEqual(self.came, 2)

    async def test_one_call_at_a_time_on_a_link_and_no_more_links_than_the_cap(self) -> None:
        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\nx"):
                counts.append(workers.links.count)
                await asyncio.sleep(0.02)
                writer.write(ACCEPTED)

        counts: list[int] = []
        workers = await self.workers(slow, sockets=2)
        answers = await asyncio.gather(*(self.post(workers) for _ in range(8)))
        self.assertEqual([answer.status for answer in answers], [202] * 8)
        self.assertLessEqual(max(counts), 2)  # whichever rest is given up for a new one, at every instant

    async def test_a_worker_that_answers_nothing_holds_up_no_other_and_its_waiters_have_a_limit(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        workers = await self.workers(silent, sockets=4)
        stuck = [asyncio.create_task(self.post(workers)) for _ in range(4)]
        await asyncio.sleep(0.02)
        with self.assertRaises(NeverSent):
            await self.post(workers)
        workers.located("v", await self.peer(self.accepting))
        answer = await workers.call("v", "POST", b"/render", [], b"x")
        self.assertEqual(answer.status, 202)
        for task in stuck:
            task.cancel()
        await asyncio.gather(*stuck, return_exceptions=True)
        self.assertEqual(workers.links.pool("w").used, 0)

    async def test_refused_and_never_coming_up_are_known_not_to_have_run(self) -> None:
        workers = await self.workers(self.accepting)
        with socket.socket() as deaf, socket.socket() as first, socket.socket() as second:
            deaf.bind(("127.0.0.1", 0))
            workers.located("w", "{}:{}".format(*deaf.getsockname()))
            with self.assertRaises(NeverSent):
                await self.post(workers)
            deaf.listen(0)
            for filler in (first, second):  # the kernel's queue is full: nothing more comes up
                filler.setblocking(False)
                filler.connect_ex(deaf.getsockname())
            await asyncio.sleep(0.02)
            with self.assertRaises(NeverSent):
                await asyncio.wait_for(self.post(workers), BOUND)
        workers.located("w", "no address")
        with self.assertRaises(NeverSent):
            await self.post(workers)
        self.assertEqual((self.counters["connect.refused"], self.counters["connect.late"]), (2, 1))

    async def test_a_break_after_the_last_byte_may_have_run_and_one_before_it_has_not(self) -> None:
        async def dies(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        workers = await self.workers(dies)
        with self.assertRaises(Lost):
            await self.post(workers)
        with self.assertRaises(NeverSent):
            await self.post(workers, b"x" * 30_000_000)  # more than the kernel takes: the break comes midway

    async def test_what_is_no_answer_ends_that_link_alone(self) -> None:
        async def babbles(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(b"what?\r\n\r\n")

        workers = await self.workers(babbles)
        with self.assertRaises(Lost):
            await self.post(workers)
        self.assertEqual(self.counters["link_end.worker-malformed"], 1)


class FrontStory(Peers):
    async def asyncSetUp(self) -> None:
        self.counters, clock = Counters(), Clock()
        known = terms.terms(SETTINGS)
        workers = Workers(Reach(2000, 60_000), 8, clock, self.counters)
        service = TxnService(known, Words(SETTINGS, known), 7, clock, workers, self.counters, lambda: None)
        service.listed(ListUpdate.WHOLE, [Row(Worker("w"), "127.0.0.1:1")])
        self.front = Front("127.0.0.1:0", 10, Room(10, 100_000), service, clock, self.counters)
        self.addCleanup(self.front.sock.close)
        self.address = self.front.sock.getsockname()

    async def connect(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def test_at_the_limit_the_longest_idle_one_goes_and_the_new_one_is_served(self) -> None:
        ready = b"GET /ready HTTP/1.1\r\n\r\n"
        first, _ = await self.connect(ready)
        await first.readuntil(b"\r\n\r\n")
        for _ in range(3):
            reader, _ = await self.connect(ready)
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BOUND))
        self.assertEqual(await first.read(), b"")
        self.assertGreaterEqual(self.counters["visit_end.room"], 2)

    async def test_at_the_limit_one_whose_first_call_is_on_its_way_is_not_closed(self) -> None:
        fresh = [await self.connect(b"") for _ in range(2)]
        await asyncio.sleep(0.02)
        waiting, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.02)
        for reader, writer in fresh:
            writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BOUND))
        self.assertIn(b"200 OK", await asyncio.wait_for(waiting.readuntil(b"\r\n\r\n"), BOUND))

    async def test_without_descriptors_it_neither_dies_nor_spins_and_goes_on_later(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        waiting = socket.create_connection(self.address)
        waiting.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
            begun = time.monotonic()
            await until(lambda: self.counters["accept.emfile"])
            await asyncio.sleep(0.2)
            took = time.monotonic() - begun
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.assertLessEqual(self.counters["accept.emfile"], 7 * max(1.0, took / 0.2), "it spins")
        waiting.setblocking(False)
        self.assertIn(
            b"200 OK", await asyncio.wait_for(asyncio.get_running_loop().sock_recv(waiting, 100), BOUND)
        )
        waiting.close()

    async def test_a_peer_that_does_not_read_is_let_go_and_others_are_served(self) -> None:
        with mock.patch.object(front_module, "WRITE_TIMEOUT", SECOND // 10):
            await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
            await until(lambda: self.front.connections)
            connection = next(iter(self.front.connections))
            connection._put(b"x" * 30_000_000)
            reader, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BOUND))
            await until(lambda: self.counters["visit_end.unread"])
        self.assertEqual(self.counters["visit_end.unread"], 1)

    async def test_too_long_a_body_is_413_even_while_the_client_is_still_writing(self) -> None:
        head = b"POST /render HTTP/1.1\r\nContent-Length: 900000\r\n\r\n"
        reader, _ = await self.connect(head + b"x" * 900_000)
        self.assertIn(b"413", await reader.readuntil(b"\r\n\r\n"))

    async def test_the_next_call_may_come_in_pieces_before_the_answer_to_the_first(self) -> None:
        job = (
            b"POST /render HTTP/1.1\r\nReq-Id: a\r\nReq-Kind: render\r\nReq-Owner: acme\r\n"
            b"Req-Deadline-Ms: 100\r\nContent-Length: 0\r\n\r\n"
        )
        reader, writer = await self.connect(job + b"GET /re")
        self.assertIn(b"503", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BOUND))
        await asyncio.sleep(0.02)
        writer.write(b"ady HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BOUND))

    async def test_a_fault_in_one_connection_ends_that_one_alone(self) -> None:
        with mock.patch.object(self.front.service, "take", side_effect=ZeroDivisionError):
            reader, _ = await self.connect(b"POST /render HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(await asyncio.wait_for(reader.read(), BOUND), b"")
        reader, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), BOUND))
        self.assertEqual(self.counters["visit_end.fault"], 1)

    async def test_a_peer_that_closes_its_side_after_the_call_still_gets_the_answer(self) -> None:
        reader, writer = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        writer.write_eof()  # as a worker may after a callback: without the answer it would tell it again
        self.assertIn(b"200 OK", await asyncio.wait_for(reader.read(), BOUND))

    async def test_silence_and_half_a_call_end_in_time_and_what_is_kept_between_calls_stays(self) -> None:
        self.front.descriptor_limit = 20
        kept, writer = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        await kept.readuntil(b"\r\n\r\n")
        silent, _ = await self.connect(b"")
        halves = [
            (await self.connect(half))[0]
            for half in (
                b"POST /render HT",
                b"POST /render HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc",
                b"GET /ready HTTP/1.1\r\n\r\nGET /re",
            )
        ]
        await asyncio.sleep(0.05)
        with mock.patch.multiple(
            front_module, REQUEST_TIMEOUT=SECOND // 50, LINGER_IDLE_TIMEOUT=SECOND // 50
        ):
            self.front.sweep()
            self.assertEqual(await asyncio.wait_for(silent.read(), BOUND), b"")
            await asyncio.sleep(0.05)
            self.front.sweep()
            for half in halves:
                self.assertIn(b"HTTP/1.1 408", await asyncio.wait_for(half.read(), BOUND))
        writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(kept.readuntil(b"\r\n\r\n"), BOUND))

    async def test_a_peer_that_goes_on_sending_reads_its_answer_and_all_it_sent_took_no_memory(self) -> None:
        reader, writer = await self.connect(b"POST /render HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
        for _ in range(60):
            writer.write(b"x" * 1_000_000)
            await asyncio.wait_for(writer.drain(), BOUND)
        connection = next(iter(self.front.connections))
        self.assertEqual((self.front.held_body_bytes, len(connection.input)), (0, 0))
        self.assertIn(b"413", await asyncio.wait_for(reader.read(), BOUND))

    async def test_bodies_that_are_short_enough_each_and_too_much_together_are_turned_away(self) -> None:
        head = b"POST /render HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
        first, _ = await self.connect(head + b"x" * 59_000)
        await until(lambda: self.front.held_body_bytes == 59_000)
        second, _ = await self.connect(head + b"x" * 59_000)
        self.assertIn(b"503", await asyncio.wait_for(second.readuntil(b"\r\n\r\n"), BOUND))
        await until(lambda: self.front.held_body_bytes == 59_000)
        for connection in list(self.front.connections):
            connection.end("closed")
        self.assertEqual((self.front.held_body_bytes, first.at_eof()), (0, False))

    async def test_strangers_leave_before_usual_peers_whose_idle_connections_are_kept(self) -> None:
        job = (
            b"POST /render HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 10\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.front.descriptor_limit = 12
        usual, writer = await self.connect(job)
        self.assertIn(b"503", await asyncio.wait_for(usual.readuntil(b"\r\n\r\n"), BOUND))
        for _ in range(4):
            asked, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
            await asyncio.wait_for(asked.readuntil(b"\r\n\r\n"), BOUND)
            await self.connect(b"")
        late, _ = await self.connect(job.replace(b": a\r", b": b\r"))
        self.assertIn(b"503", await asyncio.wait_for(late.readuntil(b"\r\n\r\n"), BOUND))
        writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(usual.readuntil(b"\r\n\r\n"), BOUND))


class WatchStory(Peers):
    async def watch(self, answering: Answering) -> list[tuple[ListUpdate, int]]:
        """What the decisions are told by one watch, until it ends."""
        told: list[tuple[ListUpdate, int]] = []
        done = asyncio.Event()

        class Told:
            words = Words(SETTINGS, terms.terms(SETTINGS))

            def listed(self, news: ListUpdate, rows: list[Row]) -> None:
                told.append((news, len(rows)))
                if news in (ListUpdate.FAILED, ListUpdate.SILENT):
                    done.set()

        self.counters = Counters()
        self.discovery = DiscoveryWatch(await self.peer(answering), 4, Told(), self.counters)  # type: ignore[arg-type]
        with mock.patch.multiple(discovery_module, LIST_SILENCE_TIMEOUT=SECOND, FIRST=2 * SECOND):
            self.discovery.ask()
            await asyncio.wait_for(done.wait(), BOUND)
        await asyncio.sleep(0.1)  # nothing more is told
        return told

    @staticmethod
    def chunk(data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data)

    HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    LINE = b'{"index":5,"snapshot":true,"endpoints":[{"name":"w","status":"active","address":"x:1"}]}\n'

    async def test_beats_keep_it_alive_and_silence_past_them_ends_it_without_a_new_call(self) -> None:
        async def beats(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.call = await reader.readuntil(b"\r\n\r\n")
            writer.write(self.HEAD + self.chunk(self.LINE[:30]))
            for piece in (self.LINE[30:], b"\n", b"\n", b"\n"):
                await asyncio.sleep(0.4)  # together longer than silence may last
                writer.write(self.chunk(piece))
            await reader.read()

        beat = (ListUpdate.CHANGES, 0)  # each is told: word stands for so long after it, and no longer
        self.assertEqual(
            await self.watch(beats), [(ListUpdate.WHOLE, 1), beat, beat, beat, (ListUpdate.SILENT, 0)]
        )
        self.assertIn(b"index=4 ", self.call)
        self.assertEqual((self.discovery.index, self.came, self.counters["watch_end.silent"]), (5, 1, 1))

    async def test_a_machine_that_is_cut_off_fails_the_call(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        self.assertEqual(await self.watch(silent), [(ListUpdate.SILENT, 0)])
        self.assertEqual(self.counters["watch_end.unanswered"], 1)

    async def test_a_call_that_fails_or_makes_no_sense_is_told_once(self) -> None:
        for said, code in (
            (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "status-503"),
            (b"", "closed"),
            (self.HEAD + self.chunk(b"{}\n"), "malformed"),
            (b"what?\r\n", "malformed"),
            (self.HEAD + self.chunk(self.LINE) + b"0\r\n\r\n", "ended"),
        ):

            async def says(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, said: bytes = said
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(said)

            told = await self.watch(says)
            self.assertEqual(told[-1], (ListUpdate.FAILED, 0))
            self.assertEqual((self.came, self.counters[f"watch_end.{code}"]), (1, 1), code)


class LookStory(Peers):
    async def test_a_look_that_is_not_answered_has_a_limit(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        counters, clock, known = Counters(), Clock(), terms.terms(SETTINGS)
        workers = Workers(Reach(50 * MILLISECOND, 60_000), 8, clock, counters)
        service = TxnService(known, Words(SETTINGS, known), 7, clock, workers, counters, lambda: None)
        worker = Worker("w")
        service.listed(ListUpdate.WHOLE, [Row(worker, await self.peer(silent))])
        outcomes: list[Outcome] = []
        service.loop.on_probe_result = lambda w, outcome, spent, report: outcomes.append(outcome)  # type: ignore
        service.probe(worker)
        await until(lambda: outcomes)
        self.assertEqual(outcomes, [Outcome.TIMED_OUT])
