"""What all drivers do with sockets: addresses to sockets, rings to sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from pathsaddle.net.service.clock import seconds
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import Peer, peer_of

Opening = Callable[[str], tuple[socket.socket, Peer]]  # how sockets are come by: the kernel's, or others


def stream(address: str, kind: int = socket.SOCK_STREAM) -> tuple[socket.socket, Peer]:
    """A socket of the address's family, and the address as sockets want it."""
    peer = peer_of(address)  # first: what is no address must not cost a descriptor
    sock = socket.socket(socket.AF_INET6 if ":" in peer[0] else socket.AF_INET, kind)
    sock.setblocking(False)
    return sock, peer


def outgoing(address: str, opening: Opening = stream) -> tuple[socket.socket, Peer]:
    sock, peer = opening(address)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock, peer


async def drain(sock: socket.socket, ring: Ring, within: int | None = None) -> None:
    """Writes all that the ring holds; what it took for a long message is given back."""
    while ring:
        part = ring.data()
        async with asyncio.timeout(None if within is None else seconds(within)):
            await asyncio.get_running_loop().sock_sendall(sock, part)
        ring.drop(len(part))
    ring.rest()
