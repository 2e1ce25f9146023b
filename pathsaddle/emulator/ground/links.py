"""Hosts and the connections between them, in memory, for the virtual loop.

They behave as the kernel's do where the program can tell: what is sent arrives whole and in order or the
connection is reset; a peer that closes with bytes unread resets; a full buffer makes the sender wait; a
listener's queue that is full, or a host that is cut off, lets a connect hang; nobody there refuses it;
descriptors that are used up fail the next accept and the next socket with EMFILE.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
import hashlib
import socket
import struct
from collections import deque
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, cast

from pathsaddle.emulator.ground.moments import HOST, Linked, Moments, OwnClock, Process
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.ground import Environment
from pathsaddle.net.service.pump import CountingSocket
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire.terms import Peer, parse_peer

if TYPE_CHECKING:
    from pathsaddle.fleet.udp_driver import MembershipDriver
    from pathsaddle.net.memory.counters import Counters

BUFFER = 256 * 1024  # bytes under way in one direction before the sender waits
USUAL_DESCRIPTORS = 8  # a process's own at start: the loop's, the log's


class Host(Process):
    """One emulated process with what it has of the network: its sockets, its zone."""

    def __init__(self, net: Net, name: str, zone: str = "", descriptors: int = 1 << 20) -> None:
        super().__init__(name)
        self.net = net
        self.zone = zone
        self.most = descriptors
        self.sockets: dict[LinkedSocket, None] = {}
        self.datagrams: dict[Linked, None] = {}
        self.context = contextvars.copy_context()
        self.context.run(HOST.set, self)

    def run(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> asyncio.Task[Any]:
        """Starts a coroutine as this host's."""
        return self.context.run(lambda: self.net.loop.create_task(work()))

    def signal(self, sig: int) -> None:
        told = self.signals.get(sig)
        if self.alive and told is not None:
            told()

    def stall(self) -> None:
        """It stands still, as by SIGSTOP; Moments.go_on ends that."""
        self.stands = True

    def run_clock(self, rate: float) -> None:
        """Its monotonic clock runs at this rate from now on."""
        true = self.net.loop.true_time()
        mine = self.clock.mine(true) if self.clock is not None else true
        self.clock = OwnClock(true, mine, rate)

    def kill(self) -> None:
        """As by SIGKILL: nothing of it runs any more, its connections are reset."""
        if not self.alive:
            return
        self.alive = False
        self.waiting.clear()
        for sock in list(self.sockets):
            sock.vanish()
        for taker in list(self.datagrams):
            taker.vanish()
        # Closed here and now, in their order: the collector would do it at some moment of its own.
        for task in list(self.tasks):
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            coro = task.get_coro()
            if coro is not None:
                try:
                    coro.close()
                except RuntimeError:
                    pass  # one that went on all the same; its sockets are gone
        self.tasks.clear()


class Net:
    """Who listens where, and a digest of every byte that was sent."""

    def __init__(self, loop: Moments) -> None:
        self.loop = loop
        self.listeners: dict[Peer, LinkedSocket] = {}
        self.digest = hashlib.blake2b(digest_size=16)
        self.ports = 20_000
        self.connections = 0
        self.datagram: Callable[[Host], Linked] | None = (
            None  # a new socket for them, where there is a way to talk
        )
        self.parted: Callable[[Host, Host], bool] = lambda one, other: False  # no new connection comes up

    def stream(self, host: Host) -> LinkedSocket:
        if len(host.sockets) + USUAL_DESCRIPTORS >= host.most:
            raise OSError(errno.EMFILE, "too many open files")
        return LinkedSocket(self, host)

    def port(self) -> int:
        self.ports += 1
        return self.ports


class Side:
    """One end of a connection."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.inbound = bytearray()
        self.ended = False  # the peer has said its last
        self.fault: int | None = None
        self.closed = False  # at this end, for both directions
        self.said_last = False
        self.peer: Side
        self.reader: asyncio.Future[None] | None = None
        self.writer: asyncio.Future[None] | None = None  # of this end, waiting for room at the other

    def stir(self) -> None:
        for waiter in (self.reader, self.writer):
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def reset(self) -> None:
        """Both ends: this one is closed, the other will find out."""
        self.closed = True
        if self.peer.fault is None and not self.peer.closed:
            self.peer.fault = errno.ECONNRESET
        self.stir()
        self.peer.stir()


class LinkedSocket(Linked):
    """What the program takes for a TCP socket that doesn't block."""

    def __init__(self, net: Net, host: Host) -> None:
        self.net = net
        self.host = host
        self.side: Side | None = None
        self.address: Peer | None = None
        self.remote: Peer | None = None
        self.remote_host: Host | None = None
        self.queue: deque[LinkedSocket] = deque()
        self.backlog = 0
        self.accepting: deque[asyncio.Future[None]] = deque()
        self.knocking: deque[asyncio.Future[None]] = deque()
        self.open = True
        self.abrupt = False
        self.sent_bytes = self.received_bytes = 0  # bytes that have gone out here, and that were read
        host.sockets[self] = None

    # As of socket.socket.

    def setblocking(self, _: bool) -> None:
        pass

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            on, wait = struct.unpack("ii", value)
            self.abrupt = bool(on) and wait == 0

    def getsockname(self) -> Peer:
        return self.address or ("0.0.0.0", 0)

    def getpeername(self) -> Peer:
        if self.remote is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self.remote

    def bind(self, address: Peer) -> None:
        if address in self.net.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        self.address = address

    def listen(self, backlog: int = 128) -> None:
        assert self.address is not None
        self.backlog = backlog
        self.net.listeners[self.address] = self
        while self.knocking and len(self.queue) < backlog:
            self._let_in()

    def shutdown(self, how: int) -> None:
        side = self.side
        if side is None or side.closed:
            raise OSError(errno.ENOTCONN, "not connected")
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and not side.said_last:
            side.said_last = side.peer.ended = True
            side.peer.stir()
        if how == socket.SHUT_RDWR:
            side.ended = True
            side.stir()

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.host.sockets.pop(self, None)
        if self.address is not None and self.net.listeners.get(self.address) is self:
            del self.net.listeners[self.address]
            for waiting in self.queue:
                waiting.vanish()
            for knock in self.knocking:
                if not knock.done():
                    knock.set_exception(ConnectionRefusedError(errno.ECONNREFUSED, "refused"))
        side = self.side
        if side is None or side.closed:
            return
        if self.abrupt or side.inbound:
            side.reset()
        else:
            side.closed = True
            side.peer.ended = True
            side.stir()
            side.peer.stir()

    def has_unread_input(self) -> bool:
        side = self.side
        return side is None or bool(side.inbound) or side.fault is not None or side.closed or side.ended

    def has_peer_closed(self) -> bool:
        side = self.side
        return side is None or (not side.inbound and (side.fault is not None or side.closed or side.ended))

    def recv(self, most: int, flags: int = 0) -> bytes:
        """What lies here now; like a socket that doesn't block where nothing does."""
        side = self.side
        if side is None or side.closed or not self.open:
            raise OSError(errno.ENOTCONN, "not connected")
        if not side.inbound and side.fault is not None:
            raise ConnectionResetError(side.fault, "reset by peer")
        if not side.inbound and not side.ended:
            raise BlockingIOError(errno.EAGAIN, "nothing yet")
        part = bytes(side.inbound[:most])
        if not flags & socket.MSG_PEEK:
            del side.inbound[:most]
            if side.peer.writer is not None:
                side.peer.stir()
        return part

    def vanish(self) -> None:
        """Its process has died."""
        self.abrupt = True
        self.close()

    # As the loop's calls.

    async def connect(self, address: Peer) -> None:
        listener = self._reach(address)
        while listener is None or len(listener.queue) >= max(1, listener.backlog):
            knock: asyncio.Future[None] = self.net.loop.create_future()
            if listener is None:  # a machine that is cut off says nothing: until somebody gives up
                await knock
            else:
                listener.knocking.append(knock)
                await knock
            listener = self._reach(address)
        there = LinkedSocket(self.net, listener.host)
        listener.host.sockets.pop(there)  # no descriptor of its process before it is accepted
        self.net.connections += 1
        here, far = Side(self.net.connections), Side(-self.net.connections)
        here.peer, far.peer = far, here
        self.address = self.address or ("10.255.0.1", self.net.port())
        self.side, self.remote, self.remote_host = here, address, listener.host
        there.side, there.remote, there.remote_host = far, self.address, self.host
        there.address = address
        listener.queue.append(there)
        listener._accept_one()

    def _reach(self, address: Peer) -> LinkedSocket | None:
        listener = self.net.listeners.get(address)
        if listener is not None and self.net.parted(self.host, listener.host):
            return None
        if listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, f"nobody listens at {address[0]}:{address[1]}")
        return listener

    def _accept_one(self) -> None:
        while self.accepting and self.queue:
            waiter = self.accepting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _let_in(self) -> None:
        while self.knocking:
            knock = self.knocking.popleft()
            if not knock.done():
                knock.set_result(None)
                return

    async def accept(self) -> tuple[LinkedSocket, Peer]:
        while not self.queue:
            waiter: asyncio.Future[None] = self.net.loop.create_future()
            self.accepting.append(waiter)
            await waiter
            if not self.open:
                raise OSError(errno.EBADF, "closed")
        if len(self.host.sockets) + USUAL_DESCRIPTORS >= self.host.most:
            raise OSError(errno.EMFILE, "too many open files")
        sock = self.queue.popleft()
        self.host.sockets[sock] = None
        self._let_in()
        assert sock.remote is not None
        return sock, sock.remote

    async def recv_into(self, buf: memoryview) -> int:
        side = self.side
        if side is None or not self.open:
            raise OSError(errno.EBADF, "not connected")
        while not side.inbound:
            if side.fault is not None:
                raise ConnectionResetError(side.fault, "reset by peer")
            if side.closed:
                raise OSError(errno.EBADF, "closed")
            if side.ended:
                return 0
            side.reader = self.net.loop.create_future()
            try:
                await side.reader
            finally:
                side.reader = None
        count = min(len(buf), len(side.inbound))
        buf[:count] = side.inbound[:count]
        del side.inbound[:count]
        self.received_bytes += count
        if side.peer.writer is not None:
            side.peer.stir()
        return count

    async def sendall(self, data: Any) -> None:
        side = self.side
        if side is None or not self.open:
            raise OSError(errno.EBADF, "not connected")
        rest = memoryview(data)
        while len(rest):
            if side.fault is not None:
                raise ConnectionResetError(side.fault, "reset by peer")
            if side.closed or side.said_last:
                raise BrokenPipeError(errno.EPIPE, "closed")
            if side.peer.closed:
                side.fault = errno.ECONNRESET
                raise ConnectionResetError(errno.ECONNRESET, "closed by peer")
            room = BUFFER - len(side.peer.inbound)
            if room <= 0:
                side.writer = self.net.loop.create_future()
                try:
                    await side.writer
                finally:
                    side.writer = None
                continue
            part = rest[:room]
            self.net.digest.update(b"%d %d\n" % (self.net.loop._ns, side.number))
            self.net.digest.update(part)
            side.peer.inbound += part
            self.sent_bytes += len(part)
            rest = rest[len(part) :]
            side.peer.stir()


class VirtualGround(Environment):
    """What an emulated process takes from its host."""

    def __init__(
        self,
        host: Host,
        told: Callable[[], str] = lambda: "",
        service: Callable[..., TxnService] = TxnService,
        fellows: Callable[[VirtualGround, Counters], MembershipDriver | None] = lambda ground, counters: None,
    ) -> None:
        loop = host.net.loop
        super().__init__(Clock(loop.wall, loop.time))
        self.host = host
        self._told = told
        self._service = service
        self._fellows = fellows

    def datagrams(self, address: str) -> tuple[socket.socket, Peer]:
        assert self.host.net.datagram is not None
        return cast(socket.socket, self.host.net.datagram(self.host)), parse_peer(address)

    def fellows(self, counters: Counters) -> MembershipDriver | None:
        return self._fellows(self, counters)

    def stream(self, address: str) -> tuple[CountingSocket, Peer]:
        peer = parse_peer(address)
        return cast(CountingSocket, self.host.net.stream(self.host)), peer

    def service(self, *told: Any) -> TxnService:
        return self._service(*told)

    def descriptors(self) -> int:
        return len(self.host.sockets) + USUAL_DESCRIPTORS

    def memory_mb(self) -> float:
        """Memory is not emulated: a constant, so that a run depends on nothing but its seed."""
        return 30.0

    def told(self) -> str:
        return self._told()
