"""What dispatchers' processes send one another passes through here, on the loopback: the air's faults on real sockets.

Each member has an address of ours under which the others know it. What comes there is told apart by its sender's own
socket, meets the air, and goes on from our address for that sender. A process knows addresses; of us it knows nothing.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from pathsaddle.emulator.ground.air import Air
from pathsaddle.net.wire.terms import Peer, parse_peer

MOST = 65_536
AT_ONCE = 64


class Relays:
    def __init__(self, now: Callable[[], int], air: Air, ways: dict[str, tuple[str, str]]) -> None:
        """`now`: the run's clock, ticks. `ways`: by name, (its own address, ours for it)."""
        self.now, self.air = now, air
        self.loop = asyncio.get_running_loop()
        self.own: dict[str, Peer] = {name: parse_peer(own) for name, (own, _) in ways.items()}
        self.names = {peer: name for name, peer in self.own.items()}
        self.sockets: dict[str, socket.socket] = {}
        for name, (_, ours) in ways.items():
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            sock.bind(parse_peer(ours))
            self.sockets[name] = sock
            self.loop.add_reader(sock.fileno(), self._come, name, sock)

    def _come(self, taker: str, sock: socket.socket) -> None:
        for _ in range(AT_ONCE):
            try:
                data, source = sock.recvfrom(MOST)
            except OSError:  # nothing there; or a member's port that nobody has just now
                return
            sender = self.names.get(source)
            if sender is None:
                continue
            self.air.sent(sender, self.now() / 10_000, len(data))
            for delay in self.air.copies(sender, taker):
                if delay > 0:
                    self.loop.call_later(delay, self._go, sender, taker, data)
                else:
                    self._go(sender, taker, data)

    def _go(self, sender: str, taker: str, data: bytes) -> None:
        sock = self.sockets.get(sender)
        if sock is not None:
            try:
                sock.sendto(data, self.own[taker])
            except OSError:
                pass  # as on any way: lost

    def end(self) -> None:
        for sock in self.sockets.values():
            self.loop.remove_reader(sock.fileno())
            sock.close()
        self.sockets.clear()


class Streams:
    """The same for a TCP address: what two processes say on a connection, late, cut, or never brought up.

    As the kernel's: while the way is cut nothing moves and nobody is told; lost parts come late instead, since TCP
    sends them again.
    """

    def __init__(self, air: Air, sender: str, taker: str, ours: str, own: str) -> None:
        self.air, self.ends = air, (sender, taker)
        self.own = parse_peer(own)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(parse_peer(ours))
        self.sock.listen(64)
        self.loop = asyncio.get_running_loop()
        self.tasks: dict[asyncio.Task[None], None] = {}
        self._start(self._accept())

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))

    async def _accept(self) -> None:
        while True:
            sock, _ = await self.loop.sock_accept(self.sock)
            sock.setblocking(False)
            self._start(self._carry(sock))

    async def _open(self, sender: str, taker: str) -> None:
        while not self.air.open(sender, taker):
            await asyncio.sleep(0.02)

    async def _carry(self, near: socket.socket) -> None:
        sender, taker = self.ends
        far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        far.setblocking(False)
        try:
            await self._open(sender, taker)
            await self.loop.sock_connect(far, self.own)
            await asyncio.gather(self._pass(near, far, sender, taker), self._pass(far, near, taker, sender))
        except OSError:
            pass
        finally:
            near.close()
            far.close()

    async def _pass(self, come: socket.socket, go: socket.socket, sender: str, taker: str) -> None:
        while data := await self.loop.sock_recv(come, MOST):
            times = 0
            while not (copies := self.air.copies(sender, taker)):
                times += 1
                await asyncio.sleep(min(1.0, 0.05 * 2 ** min(times, 5)))
            await asyncio.sleep(copies[0])
            await self.loop.sock_sendall(go, data)
        go.shutdown(socket.SHUT_WR)

    def end(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self.sock.close()
