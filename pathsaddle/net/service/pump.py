"""Socket helpers of the connection drivers: open sockets, count their bytes, write buffers to them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from pathsaddle.net.service.clock import seconds
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import Peer, parse_peer
from pathsaddle.scheduler_types import MILLISECOND

CLOSING_DESCRIPTORS = 8  # kept free for sockets that are being closed
DESCRIPTOR_RETRY_DELAY = 5 * MILLISECOND  # between checks for a free descriptor


class CountingSocket(socket.socket):
    """A socket that counts its bytes in the system calls themselves.

    A coroutine that awaits `sock_sendall` or `sock_recv_into` resumes one event loop iteration after the
    system call. A task that runs in between cannot tell from the coroutine's state which bytes were
    transferred; the counters tell it.

    Attributes:
        sent_bytes: The number of bytes that the kernel has accepted for sending.
        received_bytes: The number of bytes received from the peer, whether or not their reader has resumed.
    """

    __slots__ = ("received_bytes", "sent_bytes")

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.sent_bytes = self.received_bytes = 0

    def send(self, data: Any, flags: int = 0) -> int:
        """Send `data` and count the bytes that the kernel has accepted."""
        count = super().send(data, flags)
        self.sent_bytes += count
        return count

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into `buffer` and count the bytes."""
        count = super().recv_into(buffer, nbytes, flags)
        self.received_bytes += count
        return count

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds unread input: bytes, the end of the stream, or a reset."""
        try:
            self.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            pass
        return True

    def has_peer_closed(self) -> bool:
        """Return whether the next to be read is the end of the stream or a reset."""
        try:
            return not self.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True


class ClosingSockets:
    """The sockets whose connections have ended and that still hold their descriptors.

    A socket is closed one event loop iteration after its connection has ended, when its reading task has
    released the descriptor; otherwise a new connection could reuse its number.
    """

    def __init__(self) -> None:
        self.count = 0

    def close_soon(self, event_loop: asyncio.AbstractEventLoop, close: Callable[[], object]) -> None:
        """Call `close` in the next event loop iteration."""
        self.count += 1
        event_loop.call_soon(self._close, close)

    def _close(self, close: Callable[[], object]) -> None:
        self.count -= 1
        close()

    @property
    def unreserved_count(self) -> int:
        """How many there are beyond the descriptors that are kept free for them."""
        return max(0, self.count - CLOSING_DESCRIPTORS)

    async def wait_for_descriptor(self) -> None:
        """Wait until one of them is closed; without any, until a connection may have ended."""
        await asyncio.sleep(0 if self.count else seconds(DESCRIPTOR_RETRY_DELAY))


# Returns a new socket and the parsed address; simulations pass their own.
SocketFactory = Callable[[str], tuple[CountingSocket, Peer]]


def to_counting_socket(sock: Any) -> CountingSocket:
    """Return an accepted socket as a counting one.

    A simulated socket counts its own bytes and is returned unchanged.
    """
    if isinstance(sock, socket.socket) and not isinstance(sock, CountingSocket):
        return CountingSocket(sock.family, sock.type, sock.proto, fileno=sock.detach())
    counting_socket: CountingSocket = sock
    return counting_socket


def stream(address: str, kind: int = socket.SOCK_STREAM) -> tuple[CountingSocket, Peer]:
    """Return a non-blocking socket of the address's family, and the address as (host, port).

    Raises:
        ValueError: The text is not an address.
    """
    peer = parse_peer(address)  # before the socket, so that an invalid address does not leak a descriptor
    sock = CountingSocket(socket.AF_INET6 if ":" in peer[0] else socket.AF_INET, kind)
    sock.setblocking(False)
    return sock, peer


def outgoing(address: str, opening: SocketFactory = stream) -> tuple[CountingSocket, Peer]:
    """Return a socket for an outgoing connection, with TCP_NODELAY set, and the peer's (host, port)."""
    sock, peer = opening(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock, peer


async def drain(sock: socket.socket, ring: Ring, within: int | None = None) -> None:
    """Write the whole buffer to the socket, then shrink the buffer.

    Args:
        sock: The connected, non-blocking socket.
        ring: The buffer; it is empty when the function returns.
        within: The time limit in ticks for each contiguous part of the buffer; None for no limit.

    Raises:
        TimeoutError: The peer did not read a part within the limit.
        OSError: The connection broke.
    """
    event_loop = asyncio.get_running_loop()
    while ring:
        part = ring.data()
        if within is None:
            await event_loop.sock_sendall(sock, part)
        else:
            async with asyncio.timeout(seconds(within)):
                await event_loop.sock_sendall(sock, part)
        ring.drop(len(part))
    ring.release_if_empty()
