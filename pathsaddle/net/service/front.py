"""The listener, and one thin driver for each connection that it accepts: clients and workers' callbacks."""

from __future__ import annotations

import asyncio
import errno
import socket
from dataclasses import dataclass

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Entry
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.service.pump import Opening, Tallied, drain, stream, tallied
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.http import Broken, Called, Message
from pathsaddle.net.wire.ring import Ring
from pathsaddle.scheduler_types import MILLISECOND, SECOND

BACKLOG = 1024
UNREAD = 10 * SECOND  # time in which a peer must take what is written to it
AHEAD = (
    16 * 1024
)  # bytes of answers that wait for their reader: no further call of his is taken before they went
COMES = 5 * SECOND // 2  # in which a call must be here whole, from the accept or from its first byte
QUIET = SECOND  # of silence after which a peer whose call was no good is taken to have our answer
LINGER = 5 * SECOND  # and for so long what it still sends is read and thrown away
LAST = 100 * MILLISECOND  # and no longer than this when we are about to end
FIRST = SECOND // 5  # in which a stranger's first bytes come, if any do: not closed for room before
HEARING = 10 * MILLISECOND  # in which our reader gets to what the kernel holds, after a stall of ours
FULL = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # an accept fails for want of room, here or beyond
ITS_OWN = (
    errno.ECONNABORTED,
    errno.EPROTO,
)  # or for what has become of that one connection: the next may be had
NO_ROOM = 50 * MILLISECOND  # between accepts that the kernel fails, and between looks for room


@dataclass(slots=True, frozen=True)
class Room:
    """What memory allows of what clients bring."""

    connections: int
    bodies: int


class ClientConnection:
    """One accepted connection."""

    def __init__(self, front: Front, sock: Tallied, peer: str) -> None:
        self.front = front
        self.sock = sock
        self.peer = peer
        self.taken = 0  # bytes that the reading task has resumed with, of those in `sock.taken`
        self.machine = Called()
        self.inward, self.outward = Ring(), Ring()
        self.entry: Entry | None = None  # the txn that waits for its answer here
        self.calls = 0
        self.worker = False  # it has brought a worker's callbacks: it stays open until we end
        self.since: int | None = front.clock.now()  # when the next call began to come; None: none did
        self.idle_since = self.since
        self.heard = self.since  # when the last bytes came
        self.held = 0  # bytes of its bodies that count for us all
        self.lingers: int | None = None  # since when our side is shut and what still comes is thrown away
        self.said_last = False  # the peer has closed its side, and an answer was on its way
        self.code: str | None = None
        self._at_work = False  # the next call is looked at anyway, once this one is served
        self._events = asyncio.get_running_loop()
        self._writer: asyncio.Task[None] | None = None
        self._read_on = asyncio.Event()
        self._reader = self._events.create_task(self._read())

    @property
    def crossing(self) -> bool:
        """The kernel has handed us bytes and the reading task has not resumed: a whole call, maybe."""
        return self.sock.taken != self.taken

    @property
    def idle(self) -> bool:
        return not (self.machine.busy or self.machine.midway or self.inward or self.outward or self.crossing)

    @property
    def unheard(self) -> bool:
        """The peer has said something that we have not looked at: a close now would throw it away.

        Nothing unheard, the idle connection is closed at once and not shut and read out: no answer is on its way,
        and a call that crosses the close is reset unread, by which its client knows that it was not taken.
        """
        return self.crossing or self.sock.stirred()

    def fresh(self, now: int) -> bool:
        """Just accepted: its first call may be on its way, and a new connection closed unanswered costs as much."""
        return not self.calls and self.lingers is None and now - self.heard < FIRST

    @property
    def known(self) -> bool:
        """It has brought a txn or a callback, as usual peers do first of all."""
        return self not in self.front.strangers

    async def _read(self) -> None:
        """Reads as long as the connection is open, whatever waits for an answer: only a reader sees that its peer has
        gone. A FIN is a hang-up, as the protocol has it, also from one that may still read: what it waits for is
        given up, what it sent behind that is dropped. Only an answer already on its way is written to its end.
        """
        machine = self.machine
        try:
            while True:
                while self.inward.full and not machine.busy:
                    self._read_on.clear()
                    await self._read_on.wait()
                if self.inward.full:
                    # No room behind a call that waits: the rest is read and dropped, and the answer says so by its
                    # `Connection: close`. Left unread, the end of the peer had not been seen before the answer.
                    machine.spill()
                wasted = machine.over or machine.spilt
                count = await self._events.sock_recv_into(
                    self.sock, self.front.waste if wasted else self.inward.space()
                )
                self.taken += count
                self.heard = self.front.clock.now()
                if wasted and count:
                    continue
                if not count and self.outward and not machine.busy:
                    machine.over = self.said_last = True  # it may still read: the writer ends it
                    return
                if not count:
                    code = self.left()
                    break
                self.inward.fill(count)
                self.work()
                if self.code is not None:
                    return  # a read begun now would outlive the descriptor
        except ConnectionError:
            code = "hung-up" if machine.busy else "reset" if self.lingers is None else self.left()
        except OSError:
            code = "error"
        except asyncio.CancelledError:
            return
        self.end(code)

    def left(self) -> str:
        """What it means that the peer has closed, or that we wait no longer for it to do so."""
        machine = self.machine
        if machine.over:
            return "malformed" if machine.fault else "last-answer"
        return "hung-up" if machine.busy else "cut-off" if machine.midway else "closed"

    def work(self) -> None:
        try:
            self._at_work = True
            self._work()
            self._at_work = False
        except Exception as fault:  # noqa: BLE001  # whatever it is ends this connection alone
            logbook.fault_client(fault, peer=self.peer)
            self.end("fault")

    def _work(self) -> None:
        """Bytes to calls, calls to answers; bytes behind a call that waits for its answer stay here."""
        machine = self.machine
        while not machine.over and self.code is None:
            if len(self.outward) >= AHEAD:
                break  # answers to one who sends call upon call and reads none of them: the writer comes back here
            call = machine.next()
            if call is not None:
                self.calls += 1
                self._serve(call)
            elif machine.busy or not self.inward:
                break
            else:
                part = self.inward.data()
                machine.feed(part)
                self.inward.drop(len(part))
                self.front.weigh(self)
                self._put(machine.go_on())
        objection = machine.objection()
        if objection:
            self.front.counters.add("objection")
            self.front.weigh(self)
            self._put(objection)
        while machine.over and self.inward:
            self.inward.drop(len(self.inward.data()))
        if self.since is None and not machine.busy and (machine.midway or self.inward):
            self.since = self.front.clock.now()
        self._read_on.set()

    def _serve(self, call: Message) -> None:
        self.since = None
        try:
            path = call.target.partition(b"?")[0]
            if path == forms.READY:
                self._answer(200 if self.front.service.ready else 503)
            elif call.method != b"POST" and not self.front.service.takes(call):
                raise Broken(405, "jobs come by POST")
            elif path == forms.CALLBACK:
                told = self.front.service.words.callback(call.body)
                if told.worker in self.front.service.known:
                    self.worker = True
                    self.front.knows(self)
                self.front.service.heard(told, self.answer)
            else:
                # The answer may come before take() returns.
                self.entry = None
                entry = self.front.service.take(call, self.answer)
                self.front.knows(self)
                if entry is not None and entry.answer is not None:
                    self.entry = entry
        except Broken as fault:
            self.front.counters.add(f"malformed.{fault.status}")
            self._answer(fault.status, str(fault).encode())

    def answer(self, status: int, body: bytes, headers: tuple[str, ...], keep: bool) -> None:
        """The final answer of the txn that waits here."""
        self.entry = None
        if self.code is None:
            self._answer(status, body, headers, keep)
            if not self._at_work:
                self._events.call_soon(self.work)

    def _answer(
        self, status: int, body: bytes = b"", headers: tuple[str, ...] = (), keep: bool = True
    ) -> None:
        keep = self.worker or (keep and not self.front.stopping)
        self._put(self.machine.answer(status, body, headers, keep))
        self.idle_since = self.front.clock.now()
        self.front.weigh(self)

    def _put(self, data: bytes) -> None:
        if data and self.code is None:
            self.outward.put(data)
            if self._writer is None:
                self._writer = self._events.create_task(self._write())

    async def _write(self) -> None:
        try:
            await drain(self.sock, self.outward, UNREAD)
            self._writer = None
            if self.said_last:
                self.end(self.left())
            elif self.machine.over:
                # A lingering close: with bytes unread, the kernel would reset the connection and our answer with it.
                # What is read from now on is thrown away; for room it is closed first of all.
                self.sock.shutdown(socket.SHUT_WR)
                self.lingers = self.heard = self.front.clock.now()
            elif self.idle:
                self.front.freed()
            elif not self.machine.busy:
                self.work()
        except TimeoutError:
            self.end("unread")
        except OSError:
            self.end("unwritten")
        except asyncio.CancelledError:
            pass

    def look(self, now: int) -> None:
        """Against peers that say nothing, never end a call, or never end to send."""
        if self.lingers is not None:
            if now - self.heard >= QUIET or now - self.lingers >= LINGER:
                self.end(self.left())
        elif self.since is not None and now - self.since >= COMES and not self.machine.busy:
            if self.unheard:
                # We stood still, not the peer. Once only: drops that come one by one must not put it off for ever.
                self._events.call_later(seconds(HEARING), self._overdue, self.since)
            else:
                self._overdue(self.since)

    def _overdue(self, since: int) -> None:
        if self.code is not None or self.since != since or self.machine.busy:
            return
        if self.machine.midway or self.calls:
            self.machine.object(408, "the rest of the call did not come")
            self.work()
        elif not self.machine.over:
            self.end("silent")

    def spare(self, now: int) -> int:
        """How readily it is closed for room: 0 not at all, then the higher the sooner."""
        machine = self.machine
        if machine.busy or self.outward:
            return 0
        if machine.over:
            return 3 if now - self.heard >= FIRST else 0
        if self.crossing:
            return 0
        if self.calls and not machine.midway and not self.inward:
            return 1 if self.known else 4
        # One that has brought no call yet: its first may be on its way, and would be lost.
        return 2 if not self.known and now - self.heard >= FIRST else 0

    def end(self, code: str) -> None:
        if self.code is not None:
            return
        self.code = code
        for task in (self._reader, self._writer):
            if task is not None and task is not asyncio.current_task():
                task.cancel()
        self.front.ended(self)
        # Not before the tasks have let go of the descriptor, or a new connection may get its number.
        self._events.call_soon(self._close)
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
    def __init__(
        self,
        listen: str,
        free: int,
        room: Room,
        service: TxnService,
        clock: Clock,
        counters: Counters,
        opening: Opening = stream,
    ) -> None:
        self.service = service
        self.clock = clock
        self.counters = counters
        self.free = free  # descriptors for accepted connections and for those to workers
        self.room = room
        self.connections: dict[ClientConnection, None] = {}
        self.strangers: dict[ClientConnection, None] = {}  # those that have brought nothing of use yet
        self.held = 0  # bytes of bodies, of calls that are coming or open
        self.waste = memoryview(bytearray(64 * 1024))  # where what nobody will read goes, from all of them
        self.stopping = False
        self._room = asyncio.Event()
        self._shut = False  # nobody new any more
        self.sock, address = opening(listen)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self._accepting = asyncio.get_running_loop().create_task(self._accept())

    async def _accept(self) -> None:
        events = asyncio.get_running_loop()
        while not self._shut:
            try:
                sock, address = await events.sock_accept(self.sock)
            except Exception as fault:  # noqa: BLE001  # whatever it is, the next ones are accepted
                code = fault.errno or 0 if isinstance(fault, OSError) else 0
                self.counters.add(f"accept.{errno.errorcode.get(code, 'error').lower()}")
                logbook.accept_failed(why=fault)
                # Nobody pays with his connection for a peer that went before it was accepted.
                if code in FULL and not self.make_room():
                    self.service.workers.links.let_go_oldest()
                if code not in ITS_OWN:
                    await asyncio.sleep(seconds(NO_ROOM))
                continue
            self.welcome(sock, address)
            while len(self.connections) > self.most and not self.make_room():
                # Wait for one to end instead of asking the kernel over and over for what it can't give.
                self._room.clear()
                try:
                    async with asyncio.timeout(seconds(NO_ROOM)):
                        await self._room.wait()
                except TimeoutError:
                    pass  # by now somebody's time for first bytes may be over

    def welcome(self, given: socket.socket, address: tuple[str, int]) -> None:
        self.counters.add("accepted")
        sock: socket.socket = given
        try:
            sock = tallied(given)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except Exception as fault:  # noqa: BLE001  # a fault in one connection ends it alone, here too
            self.counters.add("visit_end.unwelcome")
            logbook.client_end(code="unwelcome", peer=f"{address[0]}:{address[1]}", calls=0)
            if not isinstance(fault, OSError):
                logbook.fault_client(fault, peer=f"{address[0]}:{address[1]}")
            sock.close()
            return
        connection = ClientConnection(self, sock, f"{address[0]}:{address[1]}")
        self.connections[connection] = self.strangers[connection] = None
        self.counters.most("visits_most", len(self.connections))

    @property
    def most(self) -> int:
        """What links to workers do not hold, or may yet, as far as memory allows."""
        links = self.service.workers.links
        return min(self.room.connections, self.free - max(links.most, links.count))

    def make_room(self) -> bool:
        """One is closed: first one that has had its last answer, then, as long as there are strangers, that one of
        them whose leaving costs least, if need be in a moment. By hundreds they had cut off all usual peers' idle
        connections; these go after them, the longest idle first.
        """
        now = self.clock.now()
        leaving = [
            connection
            for connection in self.connections
            if connection.lingers is not None and connection.spare(now)
        ]
        for connection in sorted(
            leaving or self.strangers or self.connections,
            reverse=True,
            key=lambda connection: (connection.spare(now), -connection.idle_since),
        ):
            if not connection.spare(now):
                break
            if connection.machine.over or not connection.unheard:
                connection.end("room")
                return True
        return False

    def spare_descriptor(self) -> bool:
        """Whether there is one for a connection to a worker that is not counted yet; if need be, an idle client's is
        closed for it. The first connection to each worker may always come up, beyond `links.most`: without this they
        and clients' together could pass what we have. The kernel gets it back a turn later, out of SPARE till then.
        """
        if self.service.workers.links.count + len(self.connections) >= self.free:
            self.make_room()
        return self.service.workers.links.count + len(self.connections) < self.free

    def knows(self, connection: ClientConnection) -> None:
        self.strangers.pop(connection, None)

    def weigh(self, connection: ClientConnection) -> None:
        """Bodies together are bounded: each may be short enough, and all of them too much for us."""
        self.held += connection.machine.held - connection.held
        connection.held = connection.machine.held
        if self.held > self.room.bodies and connection.machine.part is not None:
            connection.machine.object(503, "no room for this body now")

    def sweep(self) -> None:
        now = self.clock.now()
        for connection in list(self.connections):
            connection.look(now)

    def ended(self, connection: ClientConnection) -> None:
        self.connections.pop(connection, None)
        self.strangers.pop(connection, None)
        self.held -= connection.held
        connection.held = 0
        self.counters.add(f"visit_end.{connection.code}")
        logbook.client_end(code=connection.code, peer=connection.peer, calls=connection.calls)
        self.freed()

    async def shut(self) -> None:
        """Nobody new any more. Whoever the kernel has let in by now is taken, since the end of the listener would reset
        him; those who come later are refused at once, and their clients go elsewhere.
        """
        self._shut = True
        kernels = isinstance(self.sock, socket.socket)
        if kernels:
            asyncio.get_running_loop().remove_reader(self.sock)
        for _ in range(2):  # one that was accepted in this very turn is welcomed first
            await asyncio.sleep(0)
        self._accepting.cancel()
        try:
            while kernels:
                self.welcome(*self.sock.accept())
        except OSError:
            pass  # no more of them, or no descriptor for one
        self.sock.close()

    def in_use(self) -> bool:
        """Whether a connection is open on which a client's next txn may come, or a first one is about to."""
        now = self.clock.now()
        return any(
            connection.machine.busy
            or connection.outward
            or connection.fresh(now)
            or (connection.known and not connection.worker and not connection.machine.over)
            for connection in self.connections
        )

    def quiet(self) -> bool:
        """Closes what is idle; whether nothing is left that a client, or a worker for its callback, waits on."""
        now = self.clock.now()
        for connection in list(self.connections):
            if connection.lingers is not None:
                if now - connection.lingers >= LAST:
                    connection.end(connection.left())
            elif (
                connection.idle
                and not connection.worker
                and not connection.fresh(now)
                and not connection.unheard
            ):
                connection.end("stopping")
        return all(
            connection.worker and not connection.outward and not connection.unheard
            for connection in self.connections
        )

    def freed(self) -> None:
        self._room.set()
