"""The connections to workers: one call at a time on each, written and read by a thin driver."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.links import Links
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.service.pump import Opening, drain, outgoing, stream
from pathsaddle.net.wire.http import Broken, Calling, Message
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import Reach


class NeverSent(Exception):
    """The call's last byte was not written: whatever it asked for has not run."""


class Lost(Exception):
    """The connection broke after the last byte: whatever the call asked for may have run."""


class Link:
    """One connection to a worker."""

    def __init__(self, sock: socket.socket, peer: str, counters: Counters,
                 broke: Callable[[], None] = lambda: None) -> None:
        self.sock = sock
        self.peer = peer
        self.counters = counters
        self.broke = broke
        self.machine = Calling()
        self.inward, self.outward = Ring(), Ring()
        self.idle_since = 0
        self.calls = 0
        self.ended = False
        self._answer: asyncio.Future[Message] | None = None
        self._loop = asyncio.get_running_loop()
        self._reader = self._loop.create_task(self._read())

    @property
    def usable(self) -> bool:
        return not self.ended

    async def write(self, data: bytes) -> None:
        """Raises OSError where the last byte did not go out."""
        self.calls += 1
        self._answer = self._loop.create_future()
        self.outward.put(data)
        await drain(self.sock, self.outward)

    async def answer(self) -> Message:
        assert self._answer is not None
        try:
            return await self._answer
        finally:
            self._answer = None

    async def _read(self) -> None:
        code = "fault"
        try:
            while count := await self._loop.sock_recv_into(self.sock, self.inward.space()):
                self.inward.fill(count)
                while self.inward:
                    part = self.inward.data()
                    answer = self.machine.feed(part)
                    self.inward.drop(len(part))
                    if answer is not None:
                        if self._answer is not None and not self._answer.done():
                            self._answer.set_result(answer)
                        if not answer.keep:
                            self.end("worker-last")
                            return  # a read begun now would outlive the descriptor
            code = "worker-closed"
        except OSError as fault:
            code = "worker-reset" if isinstance(fault, ConnectionError) else "worker-error"
        except Broken:
            code = "worker-malformed"
        except asyncio.CancelledError:
            code = "stopping"
        except Exception as fault:  # noqa: BLE001  # whatever it is ends this connection alone
            logbook.fault_worker(fault, peer=self.peer)
        self.end(code)

    def end(self, code: str) -> None:
        if self.ended:
            return
        self.ended = True
        self.counters.add(f"link_end.{code}")
        if code in ("worker-reset", "worker-closed"):
            self.broke()
        logbook.worker_end(code=code, peer=self.peer, calls=self.calls)
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(Lost(code))
            self._answer.exception()  # a writer that never comes to ask for it has its own error
        self._reader.cancel()
        # Not before the reader has let go of the descriptor, or a new connection may get its number.
        self._loop.call_soon(self.sock.close)


class Workers:
    def __init__(self, reach: Reach, sockets: int, clock: Clock, counters: Counters,
                 opening: Opening = stream) -> None:
        self.opening = opening
        self.clock = clock
        self.counters = counters
        self.connect_within = reach.connect_within
        self.broke: Callable[[str], None] = lambda worker: None  # told whose connection was ended from there
        margin = max(500, reach.idle_within // 10)
        self.links: Links[Link] = Links(sockets, max(0, reach.idle_within - margin))
        self.addresses: dict[str, str] = {}

    def located(self, worker: str, address: str) -> None:
        if address and self.addresses.get(worker) != address:
            self.links.drop_idle(worker, "worker-moved")
            self.addresses[worker] = address
            self.links.shelf(worker)

    async def call(self, worker: str, method: str, target: bytes, headers: list[tuple[bytes, bytes]],
                   body: bytes = b"", begins: Callable[[], None] = lambda: None,
                   sent: Callable[[], None] = lambda: None) -> Message:
        """One call and its answer. `begins` is asked right before the first byte and may raise to stop it."""
        shelf = self.links.shelf(worker)
        link = await self._take(worker)
        try:
            begins()
            try:
                await link.write(link.machine.ask(method, target, self.addresses[worker], headers, body))
            except OSError as fault:
                link.end("worker-unwritten")
                raise NeverSent(str(fault)) from None
            sent()
            return await link.answer()
        finally:
            # Given up midway: the answer may still come, so nothing else may be asked here.
            if link.machine.asked:
                link.end("given-up")
            self.links.put_back(shelf, link, self.clock.now())

    async def _take(self, worker: str) -> Link:
        shelf = self.links.shelf(worker)
        try:
            async with asyncio.timeout(seconds(self.connect_within)):
                while True:
                    link = self.links.take(shelf, self.clock.now())
                    if link is not None:
                        return link
                    if self.links.may_open(shelf):
                        break
                    await self.links.turn(shelf)
                return await self._open(worker)
        except TimeoutError:
            self.counters.add("connect.late")
            raise NeverSent("no connection in time") from None
        except (OSError, ValueError, KeyError) as fault:  # also an address that is none, or not told
            self.counters.add("connect.refused")
            raise NeverSent(str(fault)) from None

    async def _open(self, worker: str) -> Link:
        shelf = self.links.shelf(worker)
        shelf.used += 1
        address = self.addresses[worker]
        sock = None
        try:
            sock, peer = outgoing(address, self.opening)
            await asyncio.get_running_loop().sock_connect(sock, peer)
        except BaseException:
            if sock is not None:
                asyncio.get_running_loop().call_soon(sock.close)
            self.links.release(shelf)
            raise
        self.counters.add("connect.made")
        return Link(sock, f"{worker}@{address}", self.counters, lambda: self.broke(worker))
