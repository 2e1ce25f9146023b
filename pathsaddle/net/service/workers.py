"""The connections to workers: one call at a time on each, written and read by a thin driver."""

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
from pathsaddle.net.service.pump import Opening, Tallied, drain, outgoing, stream
from pathsaddle.net.wire.http import Broken, Calling, Message
from pathsaddle.net.wire.ring import Ring
from pathsaddle.net.wire.terms import Reach
from pathsaddle.scheduler_types import MILLISECOND

# A second answer to a call may come some milliseconds after the first; answers name no call, so a connection rests for
# the protocol's slack before the next one: what comes in its rest ends it, what comes later is the next call's own.
REST = 50 * MILLISECOND


class NeverSent(Exception):
    """The call's last byte was not written: whatever it asked for has not run."""


class Lost(Exception):
    """The connection broke after the last byte: whatever the call asked for may have run."""


class Bytes:
    """One call's bytes on a connection: whole once the kernel has taken the last of them."""

    __slots__ = ("due", "sock")

    def __init__(self, sock: Tallied) -> None:
        self.sock = sock
        self.due: int | None = None  # what the socket will have given by then; None: they have not begun

    @property
    def whole(self) -> bool:
        return self.due is not None and self.sock.given >= self.due


class Link:
    """One connection to a worker."""

    def __init__(
        self, sock: Tallied, peer: str, counters: Counters, broke: Callable[[], None] = lambda: None
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.counters = counters
        self.broke = broke
        self.machine = Calling()
        self.inward, self.outward = Ring(), Ring()
        self.idle_since = 0
        self.calls = 0
        self.ended = False
        self.rests = False
        self._method = ""  # of the call that is out, or was
        self._looked = False  # the call before it was a look
        self._strayed = False  # an answer came that was not to the call that was out
        self._read_in = 0  # bytes that have come, as far as the reader knows
        self._sending: Bytes | None = None
        self._answer: asyncio.Future[Message] | None = None
        self._loop = asyncio.get_running_loop()
        self._reader = self._loop.create_task(self._read())

    @property
    def sound(self) -> bool:
        return not (self.ended or self._strayed) and self.sock.taken == self._read_in

    @property
    def usable(self) -> bool:
        return self.sound and not self.sock.stirred()

    async def write(self, method: str, data: bytes, sending: Bytes) -> None:
        """Raises OSError where the last byte did not go out."""
        self.calls += 1
        self._looked, self._method = self._method == "GET", method
        # Nothing that answers a look can pass for an answer to a posting: no rest is needed after one.
        self.rests = method != "GET"
        self._answer = self._loop.create_future()
        self._sending, sending.due = sending, self.sock.given + len(data)
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
                self._read_in += count
                while self.inward:
                    part = self.inward.data()
                    answer = self.machine.feed(part)
                    self.inward.drop(len(part))
                    if answer is not None and not self._takes(answer):
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

    def _takes(self, answer: Message) -> bool:
        """An answer has come whole; whether the connection goes on."""
        if self._looked and self._method == "POST" and answer.status == 200:
            # No posting is answered so: the look before it was answered twice. The posting's own answer may have come in
            # one piece with that, whole: dropped with it, the posting waited until it was given up.
            self._strayed = True
            self.counters.add("answer.stray")
            behind, self.machine.behind = self.machine.behind, []
            if len(behind) == 1 and self.machine.part is None:
                self.machine.more = False
                return self._takes(behind[0])
            if behind:
                self.end("worker-more")  # which of them is meant nobody knows
            self.machine.asked = True
        elif self._sending is not None and not self._sending.whole:
            # To a call that is not there yet: whoever's it is, no byte more goes out, and so the call has not run.
            self.end("worker-early")
        elif self.machine.more or self.inward:
            # Something behind it: which of the two is meant nobody knows, and a decline is no proof.
            if self._answer is not None and not self._answer.done() and answer.status == 202:
                self._answer.set_result(answer)
            self.end("worker-more")
        else:
            if self._answer is not None and not self._answer.done():
                self._answer.set_result(answer)
            if not answer.keep:
                self.end("worker-last")
        return not self.ended

    def end(self, code: str) -> None:
        if self.ended:
            return
        self.ended = True
        if self._sending is not None and not self._sending.whole:
            # Now, not with the close: a writer that is not done must find out, and its last byte must not go.
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
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
    def __init__(
        self, reach: Reach, sockets: int, clock: Clock, counters: Counters, opening: Opening = stream
    ) -> None:
        self.opening = opening
        self.clock = clock
        self.counters = counters
        self.connect_within = reach.connect_within
        self.broke: Callable[[str], None] = lambda worker: None  # told whose connection was ended from there
        margin = max(500, reach.idle_within // 10)
        self.links: Links[Link] = Links(sockets, max(0, reach.idle_within - margin), REST)
        self.make_room: Callable[[], object] = lambda: (
            None
        )  # asked for a descriptor before each new connection
        self.addresses: dict[str, str] = {}

    def located(self, worker: str, address: str) -> None:
        if address and self.addresses.get(worker) != address:
            self.links.drop_idle(worker, "worker-moved")
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
    ) -> Message:
        """One call and its answer. `begins` is told right before the first byte and may raise to stop it; what it
        is given says later whether the last one is out.
        """
        pool = self.links.pool(worker)
        link = await self._take(worker)
        try:
            sending = Bytes(link.sock)
            begins(sending)
            try:
                call = link.machine.ask(method, target, self.addresses[worker], headers, body)
                await link.write(method, call, sending)
            except OSError as fault:
                link.end("worker-unwritten")
                if sending.whole:
                    raise Lost(str(fault)) from None
                raise NeverSent(str(fault)) from None
            if method == "POST":
                self.counters.add("posting.sent")
            return await link.answer()
        finally:
            # Given up midway: the answer may still come, so nothing else may be asked here.
            if link.machine.asked:
                link.end("given-up")
            self.links.put_back(pool, link, self.clock.now())

    async def _take(self, worker: str) -> Link:
        pool = self.links.pool(worker)
        link = self.links.take(pool, self.clock.now())
        if link is not None:
            return link  # as nearly always: a timer that nobody waits for would cost more than all of this
        try:
            async with asyncio.timeout(seconds(self.connect_within)):
                while True:
                    link = self.links.take(pool, self.clock.now())
                    if link is not None:
                        return link
                    if self.links.may_open(pool):
                        break
                    if not self.links.gives_up_resting(pool):
                        await self.links.turn(pool)
                return await self._open(worker)
        except TimeoutError:
            self.counters.add("connect.late")
            raise NeverSent("no connection in time") from None
        except (OSError, ValueError, KeyError) as fault:  # also an address that is none, or not told
            self.counters.add("connect.refused")
            raise NeverSent(str(fault)) from None

    async def _open(self, worker: str) -> Link:
        pool = self.links.pool(worker)
        self.make_room()
        pool.used += 1
        address = self.addresses[worker]
        sock = None
        try:
            sock, peer = outgoing(address, self.opening)
            await asyncio.get_running_loop().sock_connect(sock, peer)
        except BaseException:
            if sock is not None:
                asyncio.get_running_loop().call_soon(sock.close)
            self.links.release(pool)
            raise
        self.counters.add("connect.made")
        return Link(sock, f"{worker}@{address}", self.counters, lambda: self.broke(worker))
