"""The watch on discovery's list: one connection, made when the decisions ask for it and at no other time."""

from __future__ import annotations

import asyncio

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.service.pump import Opening, Tallied, outgoing, stream
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.http import MOST_RECORD, Broken, Calling
from pathsaddle.net.wire.ring import Ring
from pathsaddle.scheduler_types import LIST_SILENCE_TIMEOUT, SECOND, ListUpdate

COMES_UP = SECOND  # in which discovery's machine must take our connection
# In which a call, its connection and all, must bring its first line: discovery gives up on callers sooner, and two that
# hang, with the wait between, are over before what we hold stands no more.
FIRST = 13 * SECOND // 5
READ = 64 * 1024  # bytes at once of what is read out of a watch that ends


class Watch:
    """One connection to discovery: what has come on it, told line by line in the order in which it was written.

    Whatever its index says: discovery wrote it last, and what it has written is told. A place whose versions begin
    elsewhere, or that was set back, gives the whole list to a version that it does not know.
    """

    def __init__(self, discovery: DiscoveryWatch, sock: Tallied) -> None:
        self.discovery, self.sock = discovery, sock
        self.machine, self.inward = Calling(streams=True), Ring()
        self.known = discovery.index  # the version that was asked for
        self.counted = 0  # bytes of it that have been fed
        self.lines = 0  # that have come, beats among them
        self.heard = (
            asyncio.get_running_loop().time()
        )  # when the last of them was read; before any: when it was called
        self.ended = ""  # how, where the answer itself says so

    def comes(self, count: int) -> None:
        """So many bytes stand in the ring."""
        self.inward.fill(count)
        part = self.inward.data()
        self.counted += count
        try:
            self.feed(part)
        finally:
            self.inward.drop(len(part))

    def feed(self, part: memoryview | bytes) -> None:
        try:
            if self.machine.feed(part) is not None:
                self.ended = "ended"
        finally:  # lines that were whole before bytes that make no sense have been told
            if self.machine.status == 200:
                self._tell()
            elif self.machine.status:
                self.ended = f"status-{self.machine.status}"

    def _tell(self) -> None:
        for record in self.machine.records():
            if self.lines or self.known or record.strip():  # no beat stands for a whole list
                self.lines, self.heard = self.lines + 1, asyncio.get_running_loop().time()
            if record.strip():
                self.discovery.index, news, rows = self.discovery.service.words.list_line(record)
                self.discovery.service.listed(news, rows)
            elif self.lines:
                # Nothing has changed since our version, or the line before.
                self.discovery.service.listed(ListUpdate.CHANGES, [])

    def read_out(self) -> bool:
        """What has reached us by now is what was told, also what the kernel has handed over while its reader has not
        resumed, and never will; whether there was a line. Bounded against a peer that pours.
        """
        came, before = 0, self.lines
        if self.sock.taken > self.counted:
            came = self.sock.taken - self.counted
            self.comes(came)
        while came < MOST_RECORD and not self.ended:
            try:
                part = self.sock.recv(READ)
            except OSError:  # nothing more for now, or it has gone
                break
            if not part:
                break
            came += len(part)
            self.feed(part)
        self.counted = self.sock.taken
        return self.lines > before


class DiscoveryWatch:
    def __init__(
        self, address: str, index: int, service: TxnService, counters: Counters, opening: Opening = stream
    ) -> None:
        self.opening = opening
        self.address = address
        self.index = index  # the version of the list that we hold
        self.service = service
        self.counters = counters
        self._watch: Watch | None = None
        self._task: asyncio.Task[None] | None = None

    def ask(self) -> None:
        """A call that is still out is given up for the new one."""
        self.stop("replaced")
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def catch_up(self) -> None:
        """Before something new goes out: what discovery has written to us by now counts as told, and after a stall of
        our own it lies in the socket while a posting decided before it resumes first.
        """
        watch = self._watch
        if watch is not None and (watch.sock.taken > watch.counted or watch.sock.stirred()):
            try:
                watch.read_out()
            except Broken as fault:
                logbook.no_list(why=fault)  # its reader meets the same parser, and ends the watch
                watch.ended = "malformed"

    def move(self, address: str) -> None:
        """Another address, maybe with versions of its own: asked for whole, and when the module says so. What the old
        place had told comes first.
        """
        if address != self.address:
            self.stop("moved")
            self.address, self.index = address, 0
            self.service.listed(ListUpdate.MOVED, [])

    def stop(self, why: str) -> None:
        watch, self._watch = self._watch, None
        if watch is not None:
            try:
                watch.read_out()
            except Broken as fault:
                logbook.no_list(why=fault)
            except Exception as fault:  # noqa: BLE001  # whatever it is, the next watch must come
                logbook.fault_watch(fault)
        if self._task is not None:
            self._task.cancel(why)

    async def _follow(self) -> None:
        code, sock, address = "fault", None, self.address
        begun = asyncio.get_running_loop().time()
        try:
            sock, peer = outgoing(address, self.opening)
            code = await self._listen(sock, peer, begun)
        except OSError as fault:  # among them a connection that does not come up in time
            code = "reset" if isinstance(fault, ConnectionResetError) else "unreachable"
        except Broken as fault:
            code = "malformed"
            logbook.no_list(why=fault)
        except asyncio.CancelledError as why:
            code = str(why)
            raise
        except Exception as fault:  # noqa: BLE001  # whatever it is ends this watch alone
            logbook.fault_watch(fault)
        finally:
            self.counters.add(f"watch_end.{code}")
            logbook.discovery_end(code=code, peer=address, index=self.index)
            if sock is not None:
                asyncio.get_running_loop().call_soon(sock.close)
        self._watch = None
        self.service.listed(ListUpdate.SILENT if code in ("silent", "unanswered") else ListUpdate.FAILED, [])

    async def _listen(self, sock: Tallied, peer: tuple[str, int], begun: float) -> str:
        """Until the watch ends; says how."""
        events = asyncio.get_running_loop()
        async with asyncio.timeout(seconds(COMES_UP)):
            await events.sock_connect(sock, peer)
        watch = self._watch = Watch(self, sock)
        watch.heard = begun
        await events.sock_sendall(
            sock, watch.machine.ask("GET", forms.watch_target(self.index), self.address, [])
        )
        while not watch.ended:
            # Bytes that never make a line are no word.
            within, lines = LIST_SILENCE_TIMEOUT if watch.lines else FIRST, watch.lines
            try:
                async with asyncio.timeout_at(watch.heard + seconds(within)):
                    count = await events.sock_recv_into(sock, watch.inward.space())
                if not count:
                    return "closed"
                if sock.taken > watch.counted:  # else it was read before its reader resumed
                    watch.comes(sock.taken - watch.counted)
            except TimeoutError:
                # After a stall of our own the time is up before what has come is read. A machine that is cut off says
                # nothing, and what it would have told counts as told all the same.
                if not watch.read_out() and watch.lines == lines:
                    return watch.ended or ("silent" if watch.machine.status else "unanswered")
        return watch.ended
