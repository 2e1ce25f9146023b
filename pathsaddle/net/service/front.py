"""The listener and its accepted connections, which carry clients' requests and workers' callbacks."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Iterable
from dataclasses import dataclass

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Entry
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.service.pump import CountingSocket, SocketFactory, drain, stream, to_counting_socket
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.http import HttpError, Message, ServerProtocol
from pathsaddle.net.wire.ring import Ring
from pathsaddle.scheduler_types import MILLISECOND, SECOND

LISTEN_BACKLOG = 1024
NO_ROOM_FOR_HEAD = "no room for so large a head now"
NO_ROOM_FOR_SLOW_REQUEST = "no room for so slow a request now"
WRITE_TIMEOUT = 10 * SECOND  # for a peer to read what is written to it
MAX_UNREAD_ANSWER_BYTES = 16 * 1024  # per connection; at this size the peer's further requests wait
REQUEST_TIMEOUT = 5 * SECOND // 2  # for a complete request, from the accept or its first byte
LINGER_IDLE_TIMEOUT = SECOND  # without input; the lingering peer has then read its answer
LINGER_TIMEOUT = 5 * SECOND  # for which a lingering connection reads and discards input
SHUTDOWN_LINGER_TIMEOUT = 100 * MILLISECOND  # the same during the shutdown
FIRST_BYTE_TIMEOUT = SECOND // 5  # for a new connection's first bytes; it is not evicted earlier
CATCH_UP_DELAY = 10 * MILLISECOND  # for the reading task to catch up after a stall of the process
# Accept errors which mean that the process or the machine is out of descriptors or memory.
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# An accept fails because of that connection alone; the next accept may succeed.
CONNECTION_ERRNOS = (errno.ECONNABORTED, errno.EPROTO)
UNPROVEN_DIVISOR = 8  # up to this part of the connections may be unproven while idle proven ones are evicted
MAX_ACCEPT_DELAY = SECOND  # by which a request's time is shortened where connections wait to be accepted
FULL_LULL = 100 * MILLISECOND  # after so long without a lack of room nobody has waited for it
ACCEPT_RETRY_DELAY = 50 * MILLISECOND  # after a failed accept, and between attempts to free a descriptor


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """The limits that the process's memory sets for clients.

    Attributes:
        connections: The largest number of accepted connections.
        bodies: The largest sum of request bodies, in bytes.
        heads: The sum of the memory of request heads, in bytes, beyond which larger heads than `head_share`
            are refused.
    """

    connections: int
    bodies: int
    heads: int

    @property
    def head_share(self) -> int:
        """The memory that the heads of one connection may always take, in bytes."""
        return self.heads // self.connections


class ClientConnection:
    """One accepted connection."""

    def __init__(self, front: Front, sock: CountingSocket, peer: str) -> None:
        self.front = front
        self.sock = sock
        self.peer = peer
        self.read_bytes = 0  # how many of the bytes in `sock.received_bytes` the reading task has seen
        self.machine = ServerProtocol()
        self.input, self.output = Ring(), Ring()
        self.entry: Entry | None = None  # the txn whose answer the client waits for
        self.calls = 0
        self.is_worker = False  # it has carried callbacks; it stays open until the process ends
        self.idle_since = front.clock.now()
        self.last_read_at = self.idle_since  # when the last bytes arrived
        # When the next request began to arrive, or the peer may have connected; None: not yet.
        self.began_at: int | None = self.idle_since - front.accept_delay(self.idle_since)
        self.held_body_bytes = 0  # its part of `Front.held_body_bytes`
        self.held_head_bytes = 0  # its part of `Front.held_head_bytes`
        self.lingers_since: int | None = None  # when this side was shut down; input is then discarded
        self.peer_has_closed = False  # the peer closed its side while an answer was being written
        self.code: str | None = None  # the reason code, once the connection has ended
        self._is_processing = False  # a loop is already processing the input
        self._events = asyncio.get_running_loop()
        self._writer: asyncio.Task[None] | None = None
        self._buffer_drained = asyncio.Event()
        self._reader = self._events.create_task(self._read())

    @property
    def has_unseen(self) -> bool:
        """Whether bytes were received that the reading task has not seen yet, possibly a whole request."""
        return self.sock.received_bytes != self.read_bytes

    @property
    def is_idle(self) -> bool:
        """Whether no request or answer is in progress and no input is waiting."""
        return not (
            self.machine.is_busy
            or self.machine.has_partial_request
            or self.input
            or self.output
            or self.has_unseen
        )

    @property
    def has_unread_input(self) -> bool:
        """Whether unread input is waiting, which closing the connection would lose.

        Without such input an idle connection is closed at once, without lingering, since no answer is in
        transit. A request that arrives after the close is reset unread, which tells its client that the
        request was not taken.
        """
        return self.has_unseen or self.sock.has_unread_input()

    def is_awaiting_first_request(self, now: int) -> bool:
        """Return whether the connection is so new that its first request may still be in transit.

        Closing it without an answer would harm the client as much as closing one that carries a request.
        """
        return not self.calls and self.lingers_since is None and now - self.last_read_at < FIRST_BYTE_TIMEOUT

    @property
    def is_proven(self) -> bool:
        """Whether it has carried a txn or a callback; regular peers send one first of all."""
        return self not in self.front.unproven

    @property
    def arriving_since(self) -> int | None:
        """Since when the bytes of a request have been arriving, if that is all that is in progress."""
        machine = self.machine
        if self.began_at is None or not machine.has_partial_request:
            return None
        if machine.is_busy or machine.is_closed or self.output:
            return None
        return max(self.began_at, self.idle_since)

    def shed(self) -> None:
        """Refuse the request that is arriving; what still comes of it is discarded."""
        self.front.lingering[self] = None
        self.machine.reject(503, NO_ROOM_FOR_SLOW_REQUEST)
        self.process_input()

    async def _read(self) -> None:
        """Read until the connection ends, also while a request waits for its answer.

        Only a reader notices that the peer has left. A FIN counts as a hang-up, as the protocol demands, even
        if the peer could still read: the waiting request is abandoned and later ones are dropped. An answer
        that is already being written is written completely.
        """
        machine = self.machine
        try:
            while True:
                while self.input.is_full and not machine.is_busy:
                    self._buffer_drained.clear()
                    await self._buffer_drained.wait()
                if self.input.is_full:
                    # The buffer is full behind a waiting request. Further input is read and dropped, and the
                    # answer says so with `Connection: close`. Left unread, it would hide the peer's FIN until
                    # the answer.
                    machine.discard_rest()
                is_discarding = machine.is_closed or machine.is_discarding
                count = await self._events.sock_recv_into(
                    self.sock, self.front.discard_buffer if is_discarding else self.input.free_space()
                )
                self.read_bytes += count
                self.last_read_at = self.front.clock.now()
                if is_discarding and count:
                    continue
                if not count and self.output and not machine.is_busy:
                    machine.is_closed = self.peer_has_closed = True  # the writer ends the connection
                    return
                if not count:
                    code = self.end_code()
                    break
                self.input.fill(count)
                self.process_input()
                if self.code is not None:
                    return  # another read would outlive the descriptor
        except ConnectionError:
            code = (
                "hung-up" if machine.is_busy else "reset" if self.lingers_since is None else self.end_code()
            )
        except OSError:
            code = "error"
        except asyncio.CancelledError:
            return
        self.end(code)

    def end_code(self) -> str:
        """Return the reason code for a connection that the peer has closed or whose lingering is over."""
        machine = self.machine
        if machine.is_closed:
            return "malformed" if machine.fault else "last-answer"
        return "hung-up" if machine.is_busy else "cut-off" if machine.has_partial_request else "closed"

    def process_input(self) -> None:
        """Process the buffered input; an exception ends only this connection."""
        try:
            self._is_processing = True
            self._process_input()
            self._is_processing = False
        except Exception as fault:  # noqa: BLE001  # a fault ends only this connection
            logbook.fault_client(fault, peer=self.peer)
            self.end("fault")

    def _process_input(self) -> None:
        """Parse and handle requests; input behind a request that waits for its answer stays in the buffer."""
        machine = self.machine
        while not machine.is_closed and self.code is None:
            if len(self.output) >= MAX_UNREAD_ANSWER_BYTES:
                break  # the peer reads none of its answers; the writer resumes this loop
            call = machine.next_request()
            if call is not None:
                self.calls += 1
                self._handle_request(call)
            elif machine.is_busy or not self.input:
                break
            else:
                chunk = self.input.data()
                machine.feed(chunk)
                self.input.drop(len(chunk))
                self.front.update_held_bytes(self)
                self._put(machine.take_interim_response())
        objection = machine.error_response()
        if objection:
            self.front.counters.add("objection")
            self.front.update_held_bytes(self)
            self._put(objection)
        while machine.is_closed and self.input:
            self.input.drop(len(self.input.data()))
        if self.began_at is None and not machine.is_busy and (machine.has_partial_request or self.input):
            self.began_at = self.front.clock.now()
        self._buffer_drained.set()

    def _handle_request(self, call: Message) -> None:
        self.began_at = None
        try:
            path = call.target.partition(b"?")[0]
            if path == forms.READY:
                self._answer(200 if self.front.service.ready else 503)
            elif call.method != b"POST" and not self.front.service.takes(call):
                raise HttpError(405, "jobs come by POST")
            elif path == forms.CALLBACK:
                callback = self.front.service.words.decode_callback(call.body)
                if callback.worker in self.front.service.known:
                    self.is_worker = True
                    self.front.mark_proven(self)
                self.front.service.receive_callback(callback, self.answer)
            elif self.front.exceeds_head_limit(self):
                raise HttpError(503, NO_ROOM_FOR_HEAD)
            else:
                # `take` may call `answer` before it returns.
                self.entry = None
                entry = self.front.service.take(call, self.answer)
                self.front.mark_proven(self)
                if entry is not None and entry.answer is not None:
                    self.entry = entry
                    entry.client = self.sock
        except HttpError as fault:
            self.front.counters.add(f"malformed.{fault.status}")
            self._answer(fault.status, str(fault).encode())

    def answer(self, status: int, body: bytes, headers: tuple[str, ...], keep: bool) -> None:
        """Write the final answer of the waiting request."""
        self.entry = None
        if self.code is None:
            self._answer(status, body, headers, keep)
            if not self._is_processing:
                self._events.call_soon(self.process_input)

    def _answer(
        self, status: int, body: bytes = b"", headers: tuple[str, ...] = (), keep: bool = True
    ) -> None:
        keep = self.is_worker or (keep and not self.front.is_stopping)
        self._put(self.machine.respond(status, body, headers, keep))
        self.idle_since = self.front.clock.now()
        self.front.update_held_bytes(self)

    def _put(self, data: bytes) -> None:
        if data and self.code is None:
            self.output.put(data)
            if self._writer is None:
                self._writer = self._events.create_task(self._write())

    async def _write(self) -> None:
        try:
            await drain(self.sock, self.output, WRITE_TIMEOUT)
            self._writer = None
            if self.peer_has_closed:
                self.end(self.end_code())
            elif self.machine.is_closed:
                # A lingering close: a close with unread input would reset the connection and lose the answer.
                # Input is discarded from now on; lingering connections are the first to be evicted.
                self.sock.shutdown(socket.SHUT_WR)
                self.lingers_since = self.last_read_at = self.front.clock.now()
                self.front.lingering[self] = None
            elif self.is_idle:
                self.front.on_descriptor_freed()
            elif not self.machine.is_busy:
                self.process_input()
        except TimeoutError:
            self.end("unread")
        except OSError:
            self.end("unwritten")
        except asyncio.CancelledError:
            pass

    def check_timeouts(self, now: int) -> None:
        """Enforce the time limits on peers that are silent or never finish a request or their input."""
        if self.lingers_since is not None:
            if now - self.last_read_at >= LINGER_IDLE_TIMEOUT or now - self.lingers_since >= LINGER_TIMEOUT:
                self.end(self.end_code())
        elif (
            self.began_at is not None and now - self.began_at >= REQUEST_TIMEOUT and not self.machine.is_busy
        ):
            if self.has_unread_input:
                # The input has arrived but is unread, so this process stalled, not the peer. The peer gets
                # one short delay only; otherwise it could extend the limit by trickling bytes.
                self._events.call_later(seconds(CATCH_UP_DELAY), self._time_out_request, self.began_at)
            else:
                self._time_out_request(self.began_at)

    def _time_out_request(self, since: int) -> None:
        if self.code is not None or self.began_at != since or self.machine.is_busy:
            return
        if self.machine.has_partial_request or self.calls:
            self.machine.reject(408, "the rest of the call did not come")
            self.process_input()
        elif not self.machine.is_closed:
            self.end("silent")

    def eviction_priority(self, now: int) -> int:
        """Return the eviction priority: 0 means never, and higher values are evicted first."""
        machine = self.machine
        if machine.is_busy or self.output:
            return 0
        if machine.is_closed:
            since = self.last_read_at if self.lingers_since is None else self.lingers_since
            return 3 if now - since >= FIRST_BYTE_TIMEOUT else 0
        if self.has_unseen:
            return 0
        if self.calls and not machine.has_partial_request and not self.input:
            return 1 if self.is_proven else 4
        # No request yet: the first one may be in transit and would be lost.
        return 2 if not self.is_proven and now - self.last_read_at >= FIRST_BYTE_TIMEOUT else 0

    def end(self, code: str) -> None:
        """Close the connection and abandon the txn that waits on it.

        Args:
            code: The reason code, for the log and the counters.
        """
        if self.code is not None:
            return
        self.code = code
        for task in (self._reader, self._writer):
            if task is not None and task is not asyncio.current_task():
                task.cancel()
        self.front.on_connection_ended(self)
        self.machine.release()
        self.front.closing_sockets.close_soon(self._events, self._close)
        entry, self.entry = self.entry, None
        if entry is not None:
            self.front.service.hang_up(entry)

    def _close(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.sock.close()


class Front:
    """The listener and the limits that its connections share."""

    def __init__(
        self,
        listen: str,
        descriptor_limit: int,
        limits: ClientLimits,
        service: TxnService,
        clock: Clock,
        counters: Counters,
        opening: SocketFactory = stream,
    ) -> None:
        self.service = service
        self.closing_sockets = service.workers.closing_sockets
        self.clock = clock
        self.counters = counters
        self.descriptor_limit = descriptor_limit  # for accepted connections and links to workers together
        self.limits = limits
        self.connections: dict[ClientConnection, None] = {}
        self.unproven: dict[ClientConnection, None] = {}  # those that have carried no txn or callback yet
        self.lingering: dict[ClientConnection, None] = {}  # those that read on only to discard
        self.held_body_bytes = 0  # bytes of the bodies of incomplete and open requests
        self.held_head_bytes = 0  # memory of their heads
        self.discard_buffer = memoryview(bytearray(64 * 1024))  # shared by all connections
        self.is_stopping = False
        self._descriptor_freed = asyncio.Event()
        self._is_shut = False  # no further connection is accepted
        self._full_since = self._last_full_at = 0  # when connections had to wait to be accepted
        self.sock, address = opening(listen)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(LISTEN_BACKLOG)
        self._accepting = asyncio.get_running_loop().create_task(self._accept())

    async def _accept(self) -> None:
        event_loop = asyncio.get_running_loop()
        while not self._is_shut:
            try:
                while self.closing_sockets.unreserved_count:
                    await self.closing_sockets.wait_for_descriptor()
                sock, address = await event_loop.sock_accept(self.sock)
            except Exception as fault:  # noqa: BLE001  # the next accept may succeed
                code = fault.errno or 0 if isinstance(fault, OSError) else 0
                self.counters.add(f"accept.{errno.errorcode.get(code, 'error').lower()}")
                logbook.accept_failed(why=fault)
                # Evict only if resources are short: a peer that left before its accept must cost no other
                # peer its connection.
                if code in RESOURCE_ERRNOS and not self.evict_connection():
                    self.service.workers.links.close_oldest()
                if code not in CONNECTION_ERRNOS:
                    await asyncio.sleep(seconds(ACCEPT_RETRY_DELAY))
                continue
            self.add_connection(sock, address)
            if len(self.connections) > self.max_connections:
                self._note_lack_of_room()
            while len(self.connections) > self.max_connections and not self.evict_connection():
                # Wait for a connection to end instead of repeating an accept that fails.
                self._descriptor_freed.clear()
                try:
                    async with asyncio.timeout(seconds(ACCEPT_RETRY_DELAY)):
                        await self._descriptor_freed.wait()
                except TimeoutError:
                    pass  # a new connection may have become evictable
                self._note_lack_of_room()

    def add_connection(self, accepted: socket.socket, address: tuple[str, int]) -> None:
        """Set up an accepted connection; one that cannot be set up is closed."""
        self.counters.add("accepted")
        sock: socket.socket = accepted
        try:
            sock = to_counting_socket(accepted)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except Exception as fault:  # noqa: BLE001  # a fault ends only this connection
            self.counters.add("visit_end.unwelcome")
            logbook.client_end(code="unwelcome", peer=f"{address[0]}:{address[1]}", calls=0)
            if not isinstance(fault, OSError):
                logbook.fault_client(fault, peer=f"{address[0]}:{address[1]}")
            sock.close()
            return
        connection = ClientConnection(self, sock, f"{address[0]}:{address[1]}")
        self.connections[connection] = self.unproven[connection] = None
        self.counters.most("visits_most", len(self.connections))

    def accept_delay(self, now: int) -> int:
        """Return for how long a connection that is accepted now may have waited for it, in ticks."""
        if now - self._last_full_at >= FULL_LULL:
            return 0
        return min(now - self._full_since, MAX_ACCEPT_DELAY)

    def _note_lack_of_room(self) -> None:
        now = self.clock.now()
        if now - self._last_full_at >= FULL_LULL:
            self._full_since = now
        self._last_full_at = now

    @property
    def max_connections(self) -> int:
        """The connection limit: bounded by memory and by the descriptors that worker links may use.

        Lingering connections hold no request: as many again of them fit into the memory.
        """
        links = self.service.workers.links
        by_memory = self.limits.connections + min(len(self.lingering), self.limits.connections)
        return min(by_memory, self.descriptor_limit - max(links.max_links, links.count))

    def evict_connection(self) -> bool:
        """Evict one connection and return whether there was one to evict.

        Lingering connections go first, then unproven ones, which have carried no txn or callback yet. If none
        of those is evictable, an idle proven one goes, as long as there are few unproven ones: room is needed
        for new connections that carry a request. Beyond that the accept loop retries. Otherwise hundreds of
        unproven connections would push out the idle connections of all regular peers. Within each group, the
        highest priority goes first; of equal priorities, the connection that has been idle for the longest.
        Where none can go, the slowest request on an unproven connection is refused: hundreds of slow writers
        would otherwise keep others waiting in the accept queue.
        """
        now = self.clock.now()
        candidates = [self.unproven]
        if len(self.unproven) <= max(1, self.max_connections // UNPROVEN_DIVISOR):
            candidates.append(self.connections)
        lingering = {
            connection: None
            for connection in self.connections
            if connection.lingers_since is not None and connection.eviction_priority(now)
        }
        return any(
            self._evict_one_of(group, now) for group in (lingering, *candidates)
        ) or self._shed_slowest(now)

    def _shed_slowest(self, now: int) -> bool:
        """Refuse the request that has been arriving for longest; return whether there was a slow one."""
        slow = [
            connection
            for connection in self.unproven
            if connection.arriving_since is not None and now - connection.arriving_since >= FIRST_BYTE_TIMEOUT
        ]
        if not slow:
            return False
        min(slow, key=lambda connection: connection.arriving_since or 0).shed()
        return True

    def _evict_one_of(self, connections: Iterable[ClientConnection], now: int) -> bool:
        """Evict the connection with the highest eviction priority; return whether one was evictable."""
        for connection in sorted(
            connections,
            reverse=True,
            key=lambda connection: (connection.eviction_priority(now), -connection.idle_since),
        ):
            if not connection.eviction_priority(now):
                break
            if connection.machine.is_closed or not connection.has_unread_input:
                connection.end("room")
                return True
        return False

    def ensure_free_descriptor(self) -> bool:
        """Return whether a worker connection can have a descriptor; evict an idle client if necessary.

        The first connection to each worker is allowed beyond `links.max_links`. Without this check, those
        connections and the clients' together could exceed the descriptor limit. The descriptor of an evicted
        connection is returned to the kernel one event loop iteration later: until then, those beyond the
        reserve (`ClosingSockets`) count as used.
        """
        if self.open_count >= self.descriptor_limit:
            self.evict_connection()
        return self.open_count + self.closing_sockets.unreserved_count < self.descriptor_limit

    @property
    def open_count(self) -> int:
        """How many accepted connections and links to workers are open."""
        return self.service.workers.links.count + len(self.connections)

    def mark_proven(self, connection: ClientConnection) -> None:
        """Mark a connection as one of a regular peer."""
        if connection in self.unproven:
            del self.unproven[connection]
            self.on_descriptor_freed()  # an idle connection may be evictable now

    def update_held_bytes(self, connection: ClientConnection) -> None:
        """Update the sums of all bodies and heads; refuse this request with 503 if one of them is too large.

        Of the heads, only those over their share are refused: a regular request is small and keeps its turn.
        """
        machine = connection.machine
        self.held_body_bytes += machine.held_bytes - connection.held_body_bytes
        self.held_head_bytes += machine.held_head_bytes - connection.held_head_bytes
        connection.held_body_bytes, connection.held_head_bytes = machine.held_bytes, machine.held_head_bytes
        if machine.partial is None:
            return
        if self.held_body_bytes > self.limits.bodies:
            machine.reject(503, "no room for this body now")
        elif self.exceeds_head_limit(connection):
            machine.reject(503, NO_ROOM_FOR_HEAD)

    def exceeds_head_limit(self, connection: ClientConnection) -> bool:
        """Return whether memory for heads is short and this connection's heads take more than their share."""
        return (
            self.held_head_bytes > self.limits.heads and connection.held_head_bytes > self.limits.head_share
        )

    def sweep(self) -> None:
        """Enforce the time limits of all connections."""
        now = self.clock.now()
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def on_connection_ended(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.pop(connection, None)
        self.unproven.pop(connection, None)
        self.lingering.pop(connection, None)
        self.held_body_bytes -= connection.held_body_bytes
        self.held_head_bytes -= connection.held_head_bytes
        connection.held_body_bytes = connection.held_head_bytes = 0
        self.counters.add(f"visit_end.{connection.code}")
        logbook.client_end(code=connection.code, peer=connection.peer, calls=connection.calls)
        self.on_descriptor_freed()

    async def close_listener(self) -> None:
        """Close the listener.

        Connections in the kernel's accept queue are accepted first, since closing the listener would reset
        them. Later ones are refused at once, and their clients use another dispatcher.
        """
        self._is_shut = True
        is_kernel_socket = isinstance(self.sock, socket.socket)
        if is_kernel_socket:
            asyncio.get_running_loop().remove_reader(self.sock)
        for _ in range(2):  # let `_accept` first set up a connection that it has just accepted
            await asyncio.sleep(0)
        self._accepting.cancel()
        try:
            while is_kernel_socket and await self._wait_for_descriptor():
                self.add_connection(*self.sock.accept())
        except OSError:
            pass  # the queue is empty, or no descriptor is left
        self.sock.close()

    async def _wait_for_descriptor(self) -> bool:
        """Return whether an accepted connection can have a descriptor once those being closed are free."""
        while not self.ensure_free_descriptor():
            if not self.closing_sockets.count:
                return False
            await self.closing_sockets.wait_for_descriptor()
        return True

    def is_in_use(self) -> bool:
        """Return whether an open connection may still carry a client's next or first txn."""
        now = self.clock.now()
        return any(
            connection.machine.is_busy
            or connection.output
            or connection.is_awaiting_first_request(now)
            or (connection.is_proven and not connection.is_worker and not connection.machine.is_closed)
            for connection in self.connections
        )

    def close_idle_connections(self) -> bool:
        """Close idle client connections; return whether only worker connections with nothing pending remain.

        No client or worker waits for an answer any more then.
        """
        now = self.clock.now()
        for connection in list(self.connections):
            if connection.lingers_since is not None:
                if now - connection.lingers_since >= SHUTDOWN_LINGER_TIMEOUT:
                    connection.end(connection.end_code())
            elif (
                connection.is_idle
                and not connection.is_worker
                and not connection.is_awaiting_first_request(now)
                and not connection.has_unread_input
            ):
                connection.end("stopping")
        return all(
            connection.is_worker and not connection.output and not connection.has_unread_input
            for connection in self.connections
        )

    def on_descriptor_freed(self) -> None:
        """Wake the accept loop: a connection has ended, has become idle or is proven."""
        self._descriptor_freed.set()
