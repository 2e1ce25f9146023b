"""The watch on discovery's worker list: one connection at a time, opened when the scheduler asks."""

from __future__ import annotations

import asyncio

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.service.pump import CountingSocket, SocketFactory, outgoing, stream
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.http import MAX_RECORD_BYTES, ClientProtocol, HttpError
from pathsaddle.net.wire.ring import Ring
from pathsaddle.scheduler_types import LIST_SILENCE_TIMEOUT, SECOND, ListUpdate

CONNECT_TIMEOUT = SECOND
# The longest time from the start of a call, connecting included, to its first line. If discovery refuses a
# call, it does so earlier than this. Two successive calls that hang, with the delay between them, end before
# the current list expires.
FIRST = 13 * SECOND // 5
READ_SIZE_BYTES = 64 * 1024  # the most that one read in `drain_socket` returns


class WatchConnection:
    """One connection to discovery; applies its lines in the order in which discovery wrote them.

    A line applies whatever its index is, because discovery wrote it last. A server that was set back, or
    whose versions start elsewhere, does not know the requested version and sends the whole list.
    """

    def __init__(self, discovery: DiscoveryWatch, sock: CountingSocket) -> None:
        self.discovery, self.sock = discovery, sock
        self.http, self.receive_ring = ClientProtocol(streams=True), Ring()
        self.requested_index = discovery.index  # the version that the call asks for
        self.parsed_bytes = 0  # of the bytes that the socket has received
        self.line_count = 0  # heartbeats included
        # When the last line was read; before the first one, when the call began.
        self.last_line_at = asyncio.get_running_loop().time()
        self.end_code = ""  # set once the answer itself ends the watch

    def receive(self, count: int) -> None:
        """Parse `count` bytes that the kernel has written to the ring."""
        self.receive_ring.fill(count)
        data = self.receive_ring.data()
        self.parsed_bytes += count
        try:
            self.feed(data)
        finally:
            self.receive_ring.drop(len(data))

    def feed(self, data: memoryview | bytes) -> None:
        """Parse `data` and apply the lines that it completes.

        Raises:
            HttpError: The bytes are not valid HTTP.
        """
        try:
            if self.http.feed(data) is not None:
                self.end_code = "ended"
        finally:  # complete lines that precede malformed bytes still apply
            if self.http.status == 200:
                self._apply_lines()
            elif self.http.status:
                self.end_code = f"status-{self.http.status}"

    def _apply_lines(self) -> None:
        for record in self.http.records():
            # A heartbeat says that nothing has changed. If the call asks for the whole list (index 0), a
            # heartbeat before the first line therefore says nothing, and it does not count.
            if self.line_count or self.requested_index or record.strip():
                self.line_count, self.last_line_at = self.line_count + 1, asyncio.get_running_loop().time()
            if record.strip():
                self.discovery.index, update, rows = self.discovery.service.words.decode_list_line(record)
                self.discovery.service.listed(update, rows)
            elif self.line_count:
                # A heartbeat: nothing has changed since the requested version, or since the last line.
                self.discovery.service.listed(ListUpdate.CHANGES, [])

    def drain_socket(self) -> bool:
        """Parse everything that has arrived, and return whether a line was among it.

        This includes bytes that are already in the ring, but whose reader, `_receive_updates`, has not
        resumed yet; if the watch is being stopped, it never will. The amount read is bounded in case the peer
        keeps sending.
        """
        received, lines_before = 0, self.line_count
        if self.sock.received_bytes > self.parsed_bytes:
            received = self.sock.received_bytes - self.parsed_bytes
            self.receive(received)
        while received < MAX_RECORD_BYTES and not self.end_code:
            try:
                data = self.sock.recv(READ_SIZE_BYTES)
            except OSError:  # no more data for now, or the connection is lost
                break
            if not data:
                break
            received += len(data)
            self.feed(data)
        self.parsed_bytes = self.sock.received_bytes
        return self.line_count > lines_before


class DiscoveryWatch:
    """Follows discovery's list over one connection at a time and passes its updates to the txn service."""

    def __init__(
        self,
        address: str,
        index: int,
        service: TxnService,
        counters: Counters,
        opening: SocketFactory = stream,
    ) -> None:
        self.opening = opening
        self.address = address
        self.index = index  # the version of the list that is held
        self.service = service
        self.counters = counters
        self._watch: WatchConnection | None = None
        self._task: asyncio.Task[None] | None = None

    def call_discovery(self) -> None:
        """Call discovery; a call that is still open is replaced."""
        self.stop("replaced")
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def catch_up(self) -> None:
        """Apply the updates that have arrived, before a posting is sent.

        An update counts as received once discovery has written it. If the process was stopped for a while,
        unread updates wait in the socket, and the task of a posting that was decided earlier may resume
        before the task of the watch.
        """
        watch = self._watch
        if watch is not None and (
            watch.sock.received_bytes > watch.parsed_bytes or watch.sock.has_unread_input()
        ):
            try:
                watch.drain_socket()
            except HttpError as fault:
                logbook.no_list(why=fault)  # the reader feeds the same parser and ends the watch
                watch.end_code = "malformed"

    def move(self, address: str) -> None:
        """Switch to another address of discovery, after the updates that the old one has sent.

        The new server may number its versions differently, so the next call asks for the whole list. The
        scheduler decides when to call.
        """
        if address != self.address:
            self.stop("moved")
            self.address, self.index = address, 0
            self.service.listed(ListUpdate.REDIRECTED, [])

    def stop(self, why: str) -> None:
        """Apply the updates that have arrived and end the current call, with `why` as its end code."""
        watch, self._watch = self._watch, None
        if watch is not None:
            try:
                watch.drain_socket()
            except HttpError as fault:
                logbook.no_list(why=fault)
            except Exception as fault:  # noqa: BLE001  # no defect may keep the next call from starting
                logbook.fault_watch(fault)
        if self._task is not None:
            self._task.cancel(why)

    async def _follow(self) -> None:
        code, sock, address = "fault", None, self.address
        started_at = asyncio.get_running_loop().time()
        try:
            sock, peer = outgoing(address, self.opening)
            code = await self._receive_updates(sock, peer, started_at)
        except OSError as fault:  # including a connect timeout
            code = "reset" if isinstance(fault, ConnectionResetError) else "unreachable"
        except HttpError as fault:
            code = "malformed"
            logbook.no_list(why=fault)
        except asyncio.CancelledError as why:
            code = str(why)
            raise
        except Exception as fault:  # noqa: BLE001  # a defect ends this call alone
            logbook.fault_watch(fault)
        finally:
            self.counters.add(f"watch_end.{code}")
            logbook.discovery_end(code=code, peer=address, index=self.index)
            if sock is not None:
                asyncio.get_running_loop().call_soon(sock.close)
        self._watch = None
        self.service.listed(ListUpdate.SILENT if code in ("silent", "unanswered") else ListUpdate.FAILED, [])

    async def _receive_updates(self, sock: CountingSocket, peer: tuple[str, int], started_at: float) -> str:
        """Connect and receive updates until the watch ends; return its end code."""
        events = asyncio.get_running_loop()
        async with asyncio.timeout(seconds(CONNECT_TIMEOUT)):
            await events.sock_connect(sock, peer)
        watch = self._watch = WatchConnection(self, sock)
        try:
            return await self._follow_watch(watch, started_at)
        finally:
            watch.http.release()

    async def _follow_watch(self, watch: WatchConnection, started_at: float) -> str:
        """Receive updates over an open connection until the watch ends; return its end code."""
        events, sock = asyncio.get_running_loop(), watch.sock
        watch.last_line_at = started_at
        await events.sock_sendall(
            sock, watch.http.send_request("GET", forms.watch_target(self.index), self.address, [])
        )
        while not watch.end_code:
            # Only complete lines extend the timeout; bytes that never form one do not.
            timeout, lines = LIST_SILENCE_TIMEOUT if watch.line_count else FIRST, watch.line_count
            try:
                async with asyncio.timeout_at(watch.last_line_at + seconds(timeout)):
                    count = await events.sock_recv_into(sock, watch.receive_ring.free_space())
                if not count:
                    return "closed"
                if sock.received_bytes > watch.parsed_bytes:  # else drain_socket has parsed them
                    watch.receive(sock.received_bytes - watch.parsed_bytes)
            except TimeoutError:
                # If the process was stopped for a while, the timeout fires before the loop has read the
                # bytes that have arrived, so read them first. A server that is cut off falls silent; the
                # scheduler still counts its later updates as received.
                if not watch.drain_socket() and watch.line_count == lines:
                    return watch.end_code or ("silent" if watch.http.status else "unanswered")
        return watch.end_code
