"""What all drivers do with sockets: addresses to sockets, rings to sockets, and what the kernel has done by now."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from pathsaddle.net.service.clock import seconds
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import Peer, peer_of


class Tallied(socket.socket):
    """A socket that counts what has crossed it at the very system call.

    Whoever waits for `sock_sendall` or `sock_recv_into` resumes a turn of the event loop after the call: what another
    task decides in between by where that coroutine stands is wrong. `given` is how many bytes the kernel has taken of
    us, `taken` how many of its peer's we have, whether or not their reader has resumed.
    """

    __slots__ = ("given", "taken")

    def __init__(self, *args: Any, **named: Any) -> None:
        super().__init__(*args, **named)
        self.given = self.taken = 0

    def send(self, data: Any, flags: int = 0) -> int:
        count = super().send(data, flags)
        self.given += count
        return count

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        count = super().recv_into(buffer, nbytes, flags)
        self.taken += count
        return count

    def stirred(self) -> bool:
        """Whether something of the peer's lies here unread: bytes, its end, or a reset."""
        try:
            self.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            pass
        return True


Opening = Callable[[str], tuple[Tallied, Peer]]  # how sockets are come by: the kernel's, or others


def tallied(sock: Any) -> Tallied:
    """An accepted socket, counting; what is none of the kernel's counts by itself."""
    if isinstance(sock, socket.socket) and not isinstance(sock, Tallied):
        return Tallied(sock.family, sock.type, sock.proto, fileno=sock.detach())
    counting: Tallied = sock
    return counting


def stream(address: str, kind: int = socket.SOCK_STREAM) -> tuple[Tallied, Peer]:
    """A socket of the address's family that doesn't block, and the address as sockets want it."""
    peer = peer_of(address)  # first: what is no address must not cost a descriptor
    sock = Tallied(socket.AF_INET6 if ":" in peer[0] else socket.AF_INET, kind)
    sock.setblocking(False)
    return sock, peer


def outgoing(address: str, opening: Opening = stream) -> tuple[Tallied, Peer]:
    sock, peer = opening(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock, peer


async def drain(sock: socket.socket, ring: Ring, within: int | None = None) -> None:
    """Writes all that the ring holds; what it took for a long message is given back."""
    loop = asyncio.get_running_loop()
    while ring:
        part = ring.data()
        if within is None:
            await loop.sock_sendall(sock, part)
        else:
            async with asyncio.timeout(seconds(within)):
                await loop.sock_sendall(sock, part)
        ring.drop(len(part))
    ring.rest()
