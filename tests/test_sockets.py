"""The connection drivers over loopback sockets: links to workers, accepted connections, watch and probe."""

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
from pathsaddle.net.service.front import ClientLimits, Front
from pathsaddle.net.service.pump import CountingSocket
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import ConnectionLostError, RequestNotSentError, Workers
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import ListRow, MessageDecoder
from pathsaddle.net.wire.http import Message
from pathsaddle.net.wire.terms import ConnectionTimeouts
from pathsaddle.scheduler_types import MILLISECOND, SECOND, ListUpdate, Outcome, Worker
from tests.fakehost import SETTINGS

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ACCEPTED = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
TIMEOUT_SECONDS = 30.0  # for anything that a test waits for, even on a busy machine


async def until(is_true: Callable[[], Any]) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not is_true():
            await asyncio.sleep(0.005)


class Peers(unittest.IsolatedAsyncioTestCase):
    async def peer(self, handler: Handler) -> str:
        """Start a listener that stands in for a worker or discovery, and return its address."""

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connection_count += 1
            try:
                await handler(reader, writer)
            finally:
                writer.close()

        self.connection_count = 0
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"


class LinkTest(Peers):
    async def workers(self, handler: Handler, idle: int = 60_000, sockets: int = 8) -> Workers:
        self.counters, self.ahead = Counters(), 0.0
        clock = Clock(steady=lambda: time.monotonic() + self.ahead)
        workers = Workers(ConnectionTimeouts(200 * MILLISECOND, idle), sockets, clock, self.counters)
        workers.set_address("w", await self.peer(handler))
        return workers

    async def post(self, workers: Workers, body: bytes = b"x") -> Message:
        return await workers.call("w", "POST", b"/render", [(b"Req-Id", b"a")], body)

    @staticmethod
    async def accept_postings(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readuntil(b"\r\n\r\nx"):
            writer.write(ACCEPTED)

    async def test_a_link_is_reused(self) -> None:
        workers = await self.workers(self.accept_postings)
        for _ in range(5):
            self.assertEqual((await self.post(workers)).status, 202)
            self.ahead += 0.05
        self.assertEqual(self.connection_count, 1)

    async def test_a_link_rests_after_the_answer_to_a_posting_but_not_to_a_probe(
        self,
    ) -> None:
        async def answer_probes(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        workers = await self.workers(self.accept_postings)
        first = workers.clock.now()
        workers.clock._steady = lambda: 0.0  # the clock stands still
        for connections in (1, 2, 3):
            await self.post(workers)
            self.assertEqual(self.connection_count, connections)
        self.assertLessEqual(workers.clock.now(), first)
        workers.set_address("v", await self.peer(answer_probes))
        for _ in range(3):
            await workers.call("v", "GET", b"/health", [])
        self.assertEqual(self.connection_count, 1)

    async def test_at_the_cap_new_connections_replace_resting_ones(self) -> None:
        workers = await self.workers(self.accept_postings, sockets=2)
        workers.clock._steady = lambda: 0.0
        for _ in range(5):
            self.assertEqual((await self.post(workers)).status, 202)
        self.assertEqual((self.connection_count, workers.links.count), (5, 2))
        self.assertEqual(self.counters["link_end.resting"], 3)

    async def test_a_second_answer_is_never_taken_for_that_of_the_next_request(self) -> None:
        """Guards against taking a second answer for the next posting's, which then looked unsent.

        The second answer arrives in one read with the first, or separately after the link has rested.
        """
        declined = b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
        for is_separate in (False, True):

            def handler_for(is_separate: bool = is_separate) -> Handler:
                async def answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                    await reader.readuntil(b"\r\n\r\nx")
                    if self.connection_count > 1:
                        writer.write(ACCEPTED)
                        await reader.read()
                    writer.write(declined if is_separate else declined * 2)
                    await writer.drain()
                    self.first.set()
                    if is_separate:
                        await self.may_repeat.wait()
                        writer.write(declined)
                    await reader.read()

                return answers

            self.first, self.may_repeat = asyncio.Event(), asyncio.Event()
            workers = await self.workers(handler_for())
            if is_separate:
                self.assertEqual((await self.post(workers)).status, 503)
                link = workers.links.pool("w").idle_links[0]
                # The rest is over; the second answer arrives and its reader has not run yet.
                self.ahead += 0.06
                self.may_repeat.set()
                while not link.has_ended and not link.sock.has_unread_input():
                    await asyncio.sleep(0)
            else:
                with self.assertRaises(
                    ConnectionLostError
                ):  # two answers prove nothing: the posting may have run
                    await self.post(workers)
            self.ahead += 0.06
            self.assertEqual((await self.post(workers)).status, 202, is_separate)

    async def test_a_second_answer_to_a_probe_is_never_taken_for_that_of_the_next_posting(self) -> None:
        """Guards against taking a probe's second answer for the posting's.

        After the posting was sent: its own answer counts and the link is not reused. Before: another link is
        used. With 503, which may also answer a posting: it may have run, and the late 202 goes to no other
        request.
        """
        probe_answer = b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n"
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
                probes = 0
                while head := await reader.readuntil(b"\r\n\r\n"):  # raises when the link ends
                    if head.startswith(b"GET"):
                        writer.write(probe_answer % status)
                        if before:
                            await self.may_repeat.wait()
                            writer.write(probe_answer % status)
                        probes += 1
                        continue
                    if probes and not before:
                        writer.write(probe_answer % status)
                    probes = 0
                    await reader.readexactly(1)
                    writer.write(ACCEPTED)

            async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    await answers(reader, writer)

            with self.subTest(status=status, before=before):
                self.may_repeat = asyncio.Event()
                workers = await self.workers(handle)
                await workers.call("w", "GET", b"/health", [])
                link = workers.links.pool("w").idle_links[0]
                if before:
                    self.may_repeat.set()
                    while not link.has_ended and not link.sock.has_unread_input():
                        await asyncio.sleep(0)
                statuses = []
                for _ in expected:
                    try:
                        answer = await asyncio.wait_for(self.post(workers), TIMEOUT_SECONDS)
                        self.assertNotIn(
                            b"srv-declined", answer.headers, "no answer claims that the posting never ran"
                        )
                        statuses.append(answer.status)
                    except (
                        ConnectionLostError
                    ):  # in one read with the 202: indistinguishable, so the posting may have run
                        statuses.append(503)
                    self.ahead += 0.06
                self.assertEqual((statuses, self.connection_count), (expected, 2))
                self.assertEqual(self.counters["answer.stray"], int(status == b"200 OK" and not before))

    async def test_unread_input_on_an_idle_link_ends_it_before_reuse(self) -> None:
        """The input is in the kernel, or `recv_into` has returned it and the reader has not resumed."""
        workers = await self.workers(self.accept_postings)
        link: Any = None
        for case in ("unread", "taken"):
            await self.post(workers)
            link = workers.links.pool("w").idle_links[-1]
            self.ahead += 0.06
            if case == "unread":
                with mock.patch.object(CountingSocket, "has_unread_input", side_effect=[True, False]):
                    await self.post(workers)
            else:
                link.sock.received_bytes += 4
                await self.post(workers)
            self.assertTrue(link.has_ended, case)
        self.assertEqual((self.connection_count, self.counters["link_end.worker-stirred"]), (3, 2))

    async def test_an_answer_before_the_end_of_the_request_stops_it_and_it_has_not_run(self) -> None:
        async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            self.read = len(await reader.read())

        self.read = -1
        workers = await self.workers(answer_early)
        body = b"x" * 30_000_000  # more than the send buffer holds
        with self.assertRaises(RequestNotSentError):
            await self.post(workers, body)
        while self.read < 0:
            await asyncio.sleep(0.01)
        self.assertLess(self.read, len(body))
        self.assertEqual(self.counters["link_end.worker-early"], 1)

    async def test_a_request_is_sent_once_the_kernel_has_accepted_its_last_byte(self) -> None:
        """Guards against calling a posting unsent that its worker has received in full.

        uvloop resumes the task that awaits sock_sendall one iteration after the last send; the posting was
        cancelled in between.
        """
        workers = await self.workers(self.accept_postings)
        whole_before_and_after: list[tuple[bool, bool]] = []
        sendings: list[Sending] = []
        send = CountingSocket.send

        def send_observed(sock: CountingSocket, data: Any, flags: int = 0) -> int:
            before = sendings[0].is_complete if sendings else False
            count = send(sock, data, flags)
            # The sending task has not resumed yet.
            whole_before_and_after.append((before, sendings[0].is_complete if sendings else False))
            return count

        with mock.patch.object(CountingSocket, "send", send_observed):
            await workers.call("w", "POST", b"/render", [(b"Req-Id", b"a")], b"x", sendings.append)
        self.assertEqual(whole_before_and_after, [(False, True)])

    async def test_endless_answers_are_bounded_and_interim_ones_are_skipped(self) -> None:
        answers = iter(
            (
                b"HTTP/1.1 100 Continue\r\n\r\n" * 3 + ACCEPTED,
                b"HTTP/1.1 202 A\r\nX: " + b"y" * 40_000,
                b"HTTP/1.1 202 A\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 80_000,
            )
        )

        async def endless(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(next(answers))
            await reader.read()

        workers = await self.workers(endless)
        self.assertEqual((await self.post(workers)).status, 202)
        for _ in range(2):
            with self.assertRaises(ConnectionLostError):
                await asyncio.wait_for(self.post(workers), TIMEOUT_SECONDS)
        self.assertEqual(self.counters["link_end.worker-malformed"], 2)

    async def test_a_link_near_the_idle_limit_of_the_worker_is_not_reused(self) -> None:
        workers = await self.workers(self.accept_postings, idle=100 * MILLISECOND)
        await self.post(workers)
        await asyncio.sleep(0.07)
        await self.post(workers)
        self.assertEqual(self.connection_count, 2)
        await asyncio.sleep(0.07)
        workers.links.close_expired(workers.clock.now())
        self.assertEqual(workers.links.count, 0)

    async def test_a_link_that_the_worker_closed_is_not_reused(self) -> None:
        async def once(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(ACCEPTED)

        workers = await self.workers(once)
        await self.post(workers)
        await asyncio.sleep(0.02)
        self.assertEqual((await self.post(workers)).status, 202)
        self.assertEqual(self.connection_count, 2)

    async def test_a_link_carries_one_request_at_a_time_and_links_stay_within_the_cap(self) -> None:
        async def slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\nx"):
                counts.append(workers.links.count)
                await asyncio.sleep(0.02)
                writer.write(ACCEPTED)

        counts: list[int] = []
        workers = await self.workers(slow, sockets=2)
        answers = await asyncio.gather(*(self.post(workers) for _ in range(8)))
        self.assertEqual([answer.status for answer in answers], [202] * 8)
        self.assertLessEqual(max(counts), 2)  # at every instant, even while resting links are replaced

    async def test_a_silent_worker_delays_no_other_and_waiting_for_its_links_times_out(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        workers = await self.workers(silent, sockets=4)
        stuck = [asyncio.create_task(self.post(workers)) for _ in range(4)]
        await asyncio.sleep(0.02)
        with self.assertRaises(RequestNotSentError):
            await self.post(workers)
        workers.set_address("v", await self.peer(self.accept_postings))
        answer = await workers.call("v", "POST", b"/render", [], b"x")
        self.assertEqual(answer.status, 202)
        for task in stuck:
            task.cancel()
        await asyncio.gather(*stuck, return_exceptions=True)
        self.assertEqual(workers.links.pool("w").used_count, 0)

    async def test_requests_without_a_connection_have_not_run(self) -> None:
        workers = await self.workers(self.accept_postings)
        with socket.socket() as unresponsive, socket.socket() as first, socket.socket() as second:
            unresponsive.bind(("127.0.0.1", 0))
            workers.set_address("w", "{}:{}".format(*unresponsive.getsockname()))
            with self.assertRaises(RequestNotSentError):
                await self.post(workers)
            unresponsive.listen(0)
            for filler in (first, second):  # fills the accept queue: further connects get no answer
                filler.setblocking(False)
                filler.connect_ex(unresponsive.getsockname())
            await asyncio.sleep(0.02)
            with self.assertRaises(RequestNotSentError):
                await asyncio.wait_for(self.post(workers), TIMEOUT_SECONDS)
        workers.set_address("w", "no address")
        with self.assertRaises(RequestNotSentError):
            await self.post(workers)
        self.assertEqual((self.counters["connect.refused"], self.counters["connect.late"]), (2, 1))

    async def test_a_request_may_have_run_after_its_last_byte_but_not_before(self) -> None:
        async def abort(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        workers = await self.workers(abort)
        with self.assertRaises(ConnectionLostError):
            await self.post(workers)
        with self.assertRaises(RequestNotSentError):
            # More than the send buffer holds: the connection breaks midway.
            await self.post(workers, b"x" * 30_000_000)

    async def test_a_malformed_answer_ends_only_its_link(self) -> None:
        async def send_garbage(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\nx")
            writer.write(b"what?\r\n\r\n")

        workers = await self.workers(send_garbage)
        with self.assertRaises(ConnectionLostError):
            await self.post(workers)
        self.assertEqual(self.counters["link_end.worker-malformed"], 1)


class FrontTest(Peers):
    async def asyncSetUp(self) -> None:
        self.counters, clock = Counters(), Clock()
        config = terms.terms(SETTINGS)
        workers = Workers(ConnectionTimeouts(2000, 60_000), 8, clock, self.counters)
        service = TxnService(
            config, MessageDecoder(SETTINGS, config), 7, clock, workers, self.counters, lambda: None
        )
        service.listed(ListUpdate.COMPLETE, [ListRow(Worker("w"), "127.0.0.1:1")])
        self.front = Front(
            "127.0.0.1:0", 10, ClientLimits(10, 100_000, 100_000), service, clock, self.counters
        )
        self.addCleanup(self.front.sock.close)
        self.address = self.front.sock.getsockname()

    async def connect(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def test_at_the_limit_the_longest_idle_connection_is_evicted_for_a_new_one(self) -> None:
        ready = b"GET /ready HTTP/1.1\r\n\r\n"
        first, _ = await self.connect(ready)
        await first.readuntil(b"\r\n\r\n")
        for _ in range(3):
            reader, _ = await self.connect(ready)
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        self.assertEqual(await first.read(), b"")
        self.assertGreaterEqual(self.counters["visit_end.room"], 2)

    async def test_at_the_limit_a_connection_awaiting_its_first_request_is_not_evicted(self) -> None:
        fresh = [await self.connect(b"") for _ in range(2)]
        await asyncio.sleep(0.02)
        waiting, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.02)
        for reader, writer in fresh:
            writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        self.assertIn(b"200 OK", await asyncio.wait_for(waiting.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))

    async def test_without_descriptors_the_accept_loop_waits_and_resumes_later(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        waiting = socket.create_connection(self.address)
        waiting.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard))
            started_at = time.monotonic()
            await until(lambda: self.counters["accept.emfile"])
            await asyncio.sleep(0.2)
            elapsed = time.monotonic() - started_at
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        self.assertLessEqual(
            self.counters["accept.emfile"], 7 * max(1.0, elapsed / 0.2), "the accept loop spins"
        )
        waiting.setblocking(False)
        self.assertIn(
            b"200 OK",
            await asyncio.wait_for(asyncio.get_running_loop().sock_recv(waiting, 100), TIMEOUT_SECONDS),
        )
        waiting.close()

    async def test_a_peer_that_does_not_read_is_closed_and_others_are_served(self) -> None:
        with mock.patch.object(front_module, "WRITE_TIMEOUT", SECOND // 10):
            await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
            await until(lambda: self.front.connections)
            connection = next(iter(self.front.connections))
            connection._put(b"x" * 30_000_000)
            reader, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
            self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
            await until(lambda: self.counters["visit_end.unread"])
        self.assertEqual(self.counters["visit_end.unread"], 1)

    async def test_an_oversized_body_is_answered_413_while_the_client_is_still_writing(self) -> None:
        head = b"POST /render HTTP/1.1\r\nContent-Length: 900000\r\n\r\n"
        reader, _ = await self.connect(head + b"x" * 900_000)
        self.assertIn(b"413", await reader.readuntil(b"\r\n\r\n"))

    async def test_a_pipelined_request_may_arrive_in_pieces(self) -> None:
        job = (
            b"POST /render HTTP/1.1\r\nReq-Id: a\r\nReq-Kind: render\r\nReq-Owner: acme\r\n"
            b"Req-Deadline-Ms: 100\r\nContent-Length: 0\r\n\r\n"
        )
        reader, writer = await self.connect(job + b"GET /re")
        self.assertIn(b"503", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        await asyncio.sleep(0.02)
        writer.write(b"ady HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))

    async def test_a_fault_in_one_connection_ends_only_that_one(self) -> None:
        with mock.patch.object(self.front.service, "take", side_effect=ZeroDivisionError):
            reader, _ = await self.connect(b"POST /render HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
            self.assertEqual(await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS), b"")
        reader, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        self.assertEqual(self.counters["visit_end.fault"], 1)

    async def test_a_peer_that_closes_its_side_after_the_request_still_gets_the_answer(self) -> None:
        reader, writer = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        writer.write_eof()  # as a worker may after a callback; without the answer it repeats the callback
        self.assertIn(b"200 OK", await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS))

    async def test_silent_peers_and_partial_requests_time_out_and_idle_connections_stay(self) -> None:
        self.front.descriptor_limit = 20
        idle, writer = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
        await idle.readuntil(b"\r\n\r\n")
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
            self.assertEqual(await asyncio.wait_for(silent.read(), TIMEOUT_SECONDS), b"")
            await asyncio.sleep(0.05)
            self.front.sweep()
            for half in halves:
                self.assertIn(b"HTTP/1.1 408", await asyncio.wait_for(half.read(), TIMEOUT_SECONDS))
        writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(idle.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))

    async def test_a_peer_that_keeps_sending_reads_its_answer_and_its_input_is_discarded(self) -> None:
        reader, writer = await self.connect(b"POST /render HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
        for _ in range(60):
            writer.write(b"x" * 1_000_000)
            await asyncio.wait_for(writer.drain(), TIMEOUT_SECONDS)
        connection = next(iter(self.front.connections))
        self.assertEqual((self.front.held_body_bytes, len(connection.input)), (0, 0))
        self.assertIn(b"413", await asyncio.wait_for(reader.read(), TIMEOUT_SECONDS))

    async def test_bodies_that_exceed_their_total_limit_are_refused(self) -> None:
        head = b"POST /render HTTP/1.1\r\nContent-Length: 60000\r\n\r\n"
        first, _ = await self.connect(head + b"x" * 59_000)
        await until(lambda: self.front.held_body_bytes == 59_000)
        second, _ = await self.connect(head + b"x" * 59_000)
        self.assertIn(b"503", await asyncio.wait_for(second.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        await until(lambda: self.front.held_body_bytes == 59_000)
        for connection in list(self.front.connections):
            connection.end("closed")
        self.assertEqual((self.front.held_body_bytes, first.at_eof()), (0, False))

    async def test_heads_beyond_their_total_are_refused_if_large_and_usual_ones_are_served(self) -> None:
        """Guards against taking all memory for unfinished heads, and against refusing usual clients then."""
        self.front.descriptor_limit = 20
        large = b"POST /render HTTP/1.1\r\n" + b"X: %s\r\n" % (b"y" * 12_000)
        for _ in range(5):
            await self.connect(large)
        await until(lambda: self.counters["objection"])
        self.assertLess(self.front.held_head_bytes, 2 * self.front.limits.heads)
        usual, _ = await self.connect(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(usual.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        complete, _ = await self.connect(
            large.replace(b"y" * 12_000, b"y" * 11_000)
            + b"Req-Id: a\r\nReq-Owner: acme\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertIn(b"503", await asyncio.wait_for(complete.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        for connection in list(self.front.connections):
            connection.end("closed")
        self.assertEqual(self.front.held_head_bytes, 0)

    async def test_connections_without_txns_are_evicted_before_those_of_regular_peers(self) -> None:
        job = (
            b"POST /render HTTP/1.1\r\nReq-Id: a\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 10\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.front.descriptor_limit = 12
        usual, writer = await self.connect(job)
        self.assertIn(b"503", await asyncio.wait_for(usual.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        for _ in range(4):
            asked, _ = await self.connect(b"GET /ready HTTP/1.1\r\n\r\n")
            await asyncio.wait_for(asked.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS)
            await self.connect(b"")
        late, _ = await self.connect(job.replace(b": a\r", b": b\r"))
        self.assertIn(b"503", await asyncio.wait_for(late.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))
        writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        self.assertIn(b"200 OK", await asyncio.wait_for(usual.readuntil(b"\r\n\r\n"), TIMEOUT_SECONDS))


class WatchTest(Peers):
    async def watch(self, handler: Handler) -> list[tuple[ListUpdate, int]]:
        """Run one watch until it ends, and return the updates that it passed to the service."""
        updates: list[tuple[ListUpdate, int]] = []
        done = asyncio.Event()

        class RecordingService:
            words = MessageDecoder(SETTINGS, terms.terms(SETTINGS))

            def listed(self, update: ListUpdate, rows: list[ListRow]) -> None:
                updates.append((update, len(rows)))
                if update in (ListUpdate.FAILED, ListUpdate.SILENT):
                    done.set()

        self.counters = Counters()
        self.discovery = DiscoveryWatch(await self.peer(handler), 4, RecordingService(), self.counters)  # type: ignore[arg-type]
        with mock.patch.multiple(discovery_module, LIST_SILENCE_TIMEOUT=SECOND, FIRST=2 * SECOND):
            self.discovery.call_discovery()
            await asyncio.wait_for(done.wait(), TIMEOUT_SECONDS)
        await asyncio.sleep(0.1)  # no further update follows
        return updates

    @staticmethod
    def chunk(data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data)

    HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    LINE = b'{"index":5,"snapshot":true,"endpoints":[{"name":"w","status":"active","address":"x:1"}]}\n'

    async def test_heartbeats_keep_the_watch_open_and_silence_ends_it_without_a_new_request(self) -> None:
        async def send_heartbeats(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.call = await reader.readuntil(b"\r\n\r\n")
            writer.write(self.HEAD + self.chunk(self.LINE[:30]))
            for piece in (self.LINE[30:], b"\n", b"\n", b"\n"):
                await asyncio.sleep(0.4)  # together longer than the silence timeout
                writer.write(self.chunk(piece))
            await reader.read()

        # Each heartbeat is passed on, since it extends the validity of the list.
        heartbeat = (ListUpdate.CHANGES, 0)
        self.assertEqual(
            await self.watch(send_heartbeats),
            [(ListUpdate.COMPLETE, 1), heartbeat, heartbeat, heartbeat, (ListUpdate.SILENT, 0)],
        )
        self.assertIn(b"index=4 ", self.call)
        self.assertEqual(
            (self.discovery.index, self.connection_count, self.counters["watch_end.silent"]), (5, 1, 1)
        )

    async def test_a_watch_without_an_answer_ends_as_silent(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        self.assertEqual(await self.watch(silent), [(ListUpdate.SILENT, 0)])
        self.assertEqual(self.counters["watch_end.unanswered"], 1)

    async def test_a_failed_or_malformed_watch_is_reported_once(self) -> None:
        for data, code in (
            (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "status-503"),
            (b"", "closed"),
            (self.HEAD + self.chunk(b"{}\n"), "malformed"),
            (b"what?\r\n", "malformed"),
            (self.HEAD + self.chunk(self.LINE) + b"0\r\n\r\n", "ended"),
        ):

            async def respond(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes = data
            ) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(data)

            updates = await self.watch(respond)
            self.assertEqual(updates[-1], (ListUpdate.FAILED, 0))
            self.assertEqual((self.connection_count, self.counters[f"watch_end.{code}"]), (1, 1), code)


class ProbeTest(Peers):
    async def test_an_unanswered_probe_times_out(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()

        counters, clock, config = Counters(), Clock(), terms.terms(SETTINGS)
        workers = Workers(ConnectionTimeouts(50 * MILLISECOND, 60_000), 8, clock, counters)
        service = TxnService(
            config, MessageDecoder(SETTINGS, config), 7, clock, workers, counters, lambda: None
        )
        worker = Worker("w")
        service.listed(ListUpdate.COMPLETE, [ListRow(worker, await self.peer(silent))])
        outcomes: list[Outcome] = []
        service.loop.on_probe_result = lambda w, outcome, spent, report: outcomes.append(outcome)  # type: ignore[method-assign]  # recorded
        service.probe(worker)
        await until(lambda: outcomes)
        self.assertEqual(outcomes, [Outcome.TIMED_OUT])
