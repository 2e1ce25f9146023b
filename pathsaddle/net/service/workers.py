"""The connections to workers; each carries one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Sending
from pathsaddle.net.memory.links import Links
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.service.pump import (
    ClosingSockets,
    CountingSocket,
    SocketFactory,
    drain,
    outgoing,
    stream,
)
from pathsaddle.net.wire.http import ClientProtocol, HttpError, Message
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import ConnectionTimeouts
from pathsaddle.scheduler_types import MILLISECOND

# A worker may send a second answer some milliseconds after the first, and HTTP answers do not name their
# request. A connection therefore rests after each answer. Bytes that arrive meanwhile end the connection;
# bytes that arrive later belong to the next request.
REST_AFTER_ANSWER = 50 * MILLISECOND


class RequestNotSentError(Exception):
    """The last byte of the request was not written, so the request has not run."""


class ConnectionLostError(Exception):
    """The connection broke after the last byte of the request, so the request may have run."""


class RequestTransmission:
    """The transmission of one request on a connection."""

    __slots__ = ("end_offset", "sock")

    def __init__(self, sock: CountingSocket) -> None:
        self.sock = sock
        self.end_offset: int | None = None  # `sock.sent_bytes` after the last byte; None before the first

    @property
    def is_complete(self) -> bool:
        """Whether the kernel has accepted the last byte of the request."""
        return self.end_offset is not None and self.sock.sent_bytes >= self.end_offset


class Link:
    """One connection to a worker."""

    def __init__(
        self,
        sock: CountingSocket,
        peer: str,
        counters: Counters,
        closing_sockets: ClosingSockets,
        on_broken: Callable[[], None] = lambda: None,
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.counters = counters
        self.closing_sockets = closing_sockets
        self.on_broken = on_broken
        self.machine = ClientProtocol()
        self.input, self.output = Ring(), Ring()
        self.idle_since = 0
        self.calls = 0
        self.has_ended = False
        self.needs_cooldown = False
        self._method = ""  # of the current request, or of the last one
        self._is_probe = False  # that request is a probe
        self._previous_was_probe = False  # the request before it was a probe
        self._has_stray_answer = False  # an answer arrived that was not for the current request
        self._read_bytes = 0  # how many of the bytes in `sock.received_bytes` the reading task has seen
        self._sending: RequestTransmission | None = None
        self._answer: asyncio.Future[Message] | None = None
        self._event_loop = asyncio.get_running_loop()
        self._reader = self._event_loop.create_task(self._read())

    @property
    def is_sound(self) -> bool:
        """Whether the link is open and everything received on it was an answer to its request."""
        return not (self.has_ended or self._has_stray_answer) and self.sock.received_bytes == self._read_bytes

    @property
    def is_usable(self) -> bool:
        """Whether the link is sound and the kernel holds no unread input for it."""
        return self.is_sound and not self.sock.has_unread_input()

    async def write(self, method: str, is_query: bool, data: bytes, sending: RequestTransmission) -> None:
        """Write one request.

        Args:
            method: The HTTP method.
            is_query: Whether it is a GET that is no probe.
            data: The whole request.
            sending: Tracks whether the last byte is written.

        Raises:
            OSError: The connection broke while the request was written.
        """
        self.calls += 1
        self._previous_was_probe, self._method = self._is_probe, method
        # The answer to a probe cannot be mistaken for the answer to a posting: no rest is needed after a
        # probe. Queries are sent only on links that have rested all the same (`Links.acquire`).
        self._is_probe = method == "GET" and not is_query
        self.needs_cooldown = not self._is_probe
        self._answer = self._event_loop.create_future()
        self._sending, sending.end_offset = sending, self.sock.sent_bytes + len(data)
        self.output.put(data)
        await drain(self.sock, self.output)

    async def answer(self) -> Message:
        """Wait for the answer to the request.

        Raises:
            ConnectionLostError: The connection ended before the answer.
        """
        assert self._answer is not None
        try:
            return await self._answer
        finally:
            self._answer = None

    async def _read(self) -> None:
        code = "fault"
        try:
            while count := await self._event_loop.sock_recv_into(self.sock, self.input.free_space()):
                self.input.fill(count)
                self._read_bytes += count
                while self.input:
                    chunk = self.input.data()
                    answer = self.machine.feed(chunk)
                    self.input.drop(len(chunk))
                    if answer is not None and not self._handle_answer(answer):
                        return  # another read would outlive the descriptor
            code = "worker-closed"
        except OSError as fault:
            code = "worker-reset" if isinstance(fault, ConnectionError) else "worker-error"
        except HttpError:
            code = "worker-malformed"
        except asyncio.CancelledError:
            code = "stopping"
        except Exception as fault:  # noqa: BLE001  # a fault ends only this connection
            logbook.fault_worker(fault, peer=self.peer)
        self.end(code)

    def _handle_answer(self, answer: Message) -> bool:
        """Handle a complete answer and return whether the connection stays open."""
        if self._previous_was_probe and self._method == "POST" and answer.status == 200:
            # A posting is never answered with 200: this is a second answer to the probe before it. The
            # posting's own answer may have arrived in the same read. Dropping it would leave the posting
            # waiting for its timeout.
            self._has_stray_answer = True
            self.counters.add("answer.stray")
            later_answers, self.machine.extra_responses = self.machine.extra_responses, []
            if len(later_answers) == 1 and self.machine.partial is None:
                self.machine.has_extra_bytes = False
                return self._handle_answer(later_answers[0])
            if later_answers:
                self.end("worker-more")  # the posting's answer cannot be told from the others
            self.machine.is_awaiting_response = True
        elif self._sending is not None and not self._sending.is_complete:
            # The answer precedes the end of the request. No further byte is written, so the request has not
            # run.
            self.end("worker-early")
        elif self.machine.has_extra_bytes or self.input:
            # More bytes follow the answer, so it is unclear which answer belongs to the request. Only a 202
            # is passed on: a decline would not prove that the request has not run.
            if self._answer is not None and not self._answer.done() and answer.status == 202:
                self._answer.set_result(answer)
            self.end("worker-more")
        else:
            if self._answer is not None and not self._answer.done():
                self._answer.set_result(answer)
            if not answer.keep_alive:
                self.end("worker-last")
        return not self.has_ended

    def end(self, code: str) -> None:
        """Close the connection; a request without an answer fails with `ConnectionLostError`.

        Args:
            code: The reason code, for the log and the counters.
        """
        if self.has_ended:
            return
        self.has_ended = True
        if self._sending is not None and not self._sending.is_complete:
            # The socket is closed only in a later event loop iteration. A pending write must fail now, before
            # it can send the last byte.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        self.counters.add(f"link_end.{code}")
        if code in ("worker-reset", "worker-closed"):
            self.on_broken()
        logbook.worker_end(code=code, peer=self.peer, calls=self.calls)
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(ConnectionLostError(code))
            self._answer.exception()  # marks it as retrieved: a failed write raises its own error instead
        self._reader.cancel()
        self.closing_sockets.close_soon(self._event_loop, self._close)

    def _close(self) -> None:
        self.sock.close()
        self.machine.release()


class Workers:
    """The connections to all workers, and the workers' addresses."""

    def __init__(
        self,
        reach: ConnectionTimeouts,
        sockets: int,
        clock: Clock,
        counters: Counters,
        opening: SocketFactory = stream,
    ) -> None:
        self.open_socket = opening
        self.clock = clock
        self.counters = counters
        self.connect_timeout = reach.connect_timeout
        # Called with the worker's name when the worker's side ended a connection.
        self.on_connection_broken: Callable[[str], None] = lambda worker: None
        idle_margin = max(500, reach.idle_timeout // 10)
        self.links: Links[Link] = Links(sockets, max(0, reach.idle_timeout - idle_margin), REST_AFTER_ANSWER)
        self.closing_sockets = ClosingSockets()
        # Called before each new connection, to free a descriptor for it; returns whether there is one.
        self.free_descriptor: Callable[[], bool] = lambda: True
        self.addresses: dict[str, str] = {}

    def set_address(self, worker: str, address: str) -> None:
        """Set a worker's address; a change closes its idle connections."""
        if address and self.addresses.get(worker) != address:
            self.links.close_idle(worker, "worker-moved")
            self.addresses[worker] = address
            self.links.pool(worker)

    async def call(
        self,
        worker: str,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        begins: Callable[[Sending], None] = lambda sending: None,
        is_query: bool = False,
    ) -> Message:
        """Send one request to a worker and return its answer.

        Args:
            worker: The worker's name.
            method: The HTTP method.
            target: The request target.
            headers: The request headers; `begins` may still add some.
            body: The request body.
            begins: Called right before the first byte is written. An exception that it raises stops the
                request. Its argument tells later whether the last byte is written.
            is_query: Whether it is a GET whose answer must be its own, unlike a probe's: HTTP answers do not
                name their request, and a worker may answer one twice.

        Raises:
            RequestNotSentError: The request has not run.
            ConnectionLostError: The request may have run.
        """
        pool = self.links.pool(worker)
        link = await self._acquire_link(worker, is_query)
        try:
            sending = RequestTransmission(link.sock)
            begins(sending)
            try:
                call = link.machine.send_request(method, target, self.addresses[worker], headers, body)
                await link.write(method, is_query, call, sending)
            except OSError as fault:
                link.end("worker-unwritten")
                if sending.is_complete:
                    raise ConnectionLostError(str(fault)) from None
                raise RequestNotSentError(str(fault)) from None
            if method == "POST":
                self.counters.add("posting.sent")
            return await link.answer()
        finally:
            # The request was cancelled: its answer may still arrive, so the connection cannot be reused.
            if link.machine.is_awaiting_response:
                link.end("given-up")
            self.links.put_back(pool, link, self.clock.now())

    async def _acquire_link(self, worker: str, is_query: bool) -> Link:
        pool = self.links.pool(worker)
        link = self.links.acquire(pool, self.clock.now(), is_query)
        if link is not None:
            return link  # the common case: without the timer, which costs more than the rest of the method
        try:
            async with asyncio.timeout(seconds(self.connect_timeout)):
                while True:
                    link = self.links.acquire(pool, self.clock.now(), is_query)
                    if link is not None:
                        return link
                    if self.links.try_make_room(pool):
                        if self.free_descriptor():
                            break
                        await self.closing_sockets.wait_for_descriptor()
                    elif not self.links.close_cooling(pool):
                        await self.links.wait_for_link(pool)
                return await self._open_link(worker)
        except TimeoutError:
            self.counters.add("connect.late")
            raise RequestNotSentError("no connection in time") from None
        except (OSError, ValueError, KeyError) as fault:  # also an invalid or unknown address
            self.counters.add("connect.refused")
            raise RequestNotSentError(str(fault)) from None

    async def _open_link(self, worker: str) -> Link:
        pool = self.links.pool(worker)
        pool.used_count += 1
        address = self.addresses[worker]
        sock = None
        try:
            sock, peer = outgoing(address, self.open_socket)
            await asyncio.get_running_loop().sock_connect(sock, peer)
        except BaseException:
            if sock is not None:
                self.closing_sockets.close_soon(asyncio.get_running_loop(), sock.close)
            self.links.release_slot(pool)
            raise
        self.counters.add("connect.made")
        return Link(
            sock,
            f"{worker}@{address}",
            self.counters,
            self.closing_sockets,
            lambda: self.on_connection_broken(worker),
        )
