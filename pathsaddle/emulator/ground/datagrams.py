"""Datagrams between hosts of the virtual ground: lost, late, doubled and out of order as the air has it.

As the kernel's: what comes waits in a buffer of bounded length, also while its process stands still, and what does
not fit there is gone; nothing tells the sender.
"""

from __future__ import annotations

import asyncio
import contextvars
import errno
from collections import deque
from typing import Any

from pathsaddle.emulator.ground.air import Air
from pathsaddle.emulator.ground.links import Host
from pathsaddle.emulator.ground.moments import HOST, Linked, Moments
from pathsaddle.net.wire.terms import Peer

WAITING = 256  # datagrams in a socket's buffer


class Datagrams:
    """Who takes datagrams where."""

    def __init__(self, loop: Moments, air: Air) -> None:
        self.loop, self.air = loop, air
        self.bound: dict[Peer, LinkedDatagrams] = {}
        self.context = contextvars.copy_context()  # nobody's: what is under way arrives whoever stands still
        self.context.run(HOST.set, None)

    def socket(self, host: Host) -> LinkedDatagrams:
        return LinkedDatagrams(self, host)

    def carry(self, sender: Host, data: bytes, address: Peer) -> None:
        self.air.sent(sender.name, self.loop.true_time(), len(data))
        there = self.bound.get(address)
        if there is None:
            return
        for delay in self.air.copies(sender.name, there.host.name):
            self.loop.call_later(delay, self._arrive, address, data, context=self.context)

    def _arrive(self, address: Peer, data: bytes) -> None:
        there = self.bound.get(address)
        if there is not None:
            there.arrives(data)


class LinkedDatagrams(Linked):
    """What the program takes for a UDP socket that doesn't block."""

    def __init__(self, net: Datagrams, host: Host) -> None:
        self.net, self.host = net, host
        self.address: Peer | None = None
        self.inbox: deque[bytes] = deque()
        self.reader: asyncio.Future[None] | None = None
        self.open = True
        host.datagrams[self] = None

    def bind(self, address: Peer) -> None:
        if address in self.net.bound:
            raise OSError(errno.EADDRINUSE, "address in use")
        self.address = address
        self.net.bound[address] = self

    def sendto(self, data: bytes, address: Peer) -> int:
        if not self.open:
            raise OSError(errno.EBADF, "closed")
        self.net.carry(self.host, bytes(data), address)
        return len(data)

    def arrives(self, data: bytes) -> None:
        if len(self.inbox) < WAITING:
            self.inbox.append(data)
            if self.reader is not None and not self.reader.done():
                self.reader.set_result(None)

    def recv(self, size: int) -> bytes:
        if not self.inbox:
            raise BlockingIOError(errno.EAGAIN, "nothing there")
        return self.inbox.popleft()[:size]

    async def recv_into(self, buf: Any) -> int:
        while not self.inbox:
            self.reader = self.net.loop.create_future()
            try:
                await self.reader
            finally:
                self.reader = None
        data = self.recv(len(buf))
        buf[: len(data)] = data
        return len(data)

    def close(self) -> None:
        self.open = False
        self.host.datagrams.pop(self, None)
        if self.address is not None and self.net.bound.get(self.address) is self:
            del self.net.bound[self.address]

    def vanish(self) -> None:
        self.close()
