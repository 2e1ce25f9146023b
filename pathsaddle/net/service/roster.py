"""The watch on discovery's list: one connection, made when the decisions ask for it and at no other time."""

from __future__ import annotations

import asyncio
import socket

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.service.desk import Desk
from pathsaddle.net.service.pump import Opening, outgoing, stream
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.http import Broken, Calling
from pathsaddle.net.wire.ring import Ring
from pathsaddle.trade import LIST_SILENT, SECOND, ListNews

COMES_UP = SECOND  # in which discovery's machine must take our connection
FIRST = 4 * SECOND  # in which it must begin to answer: it gives up by itself on calls that waited too long


class Roster:
    def __init__(self, address: str, index: int, desk: Desk, counters: Counters,
                 opening: Opening = stream) -> None:
        self.opening = opening
        self.address = address
        self.index = index  # the version of the list that we hold
        self.desk = desk
        self.counters = counters
        self._task: asyncio.Task[None] | None = None

    def ask(self) -> None:
        """A call that is still out is given up for the new one."""
        self.stop("replaced")
        self._task = asyncio.get_running_loop().create_task(self._follow())

    def move(self, address: str) -> None:
        """Another address, maybe with versions of its own: asked for whole, and when the module says so."""
        if address != self.address:
            self.address, self.index = address, 0
            self.stop("moved")
            self.desk.listed(ListNews.MOVED, [])

    def stop(self, why: str) -> None:
        if self._task is not None:
            self._task.cancel(why)

    async def _follow(self) -> None:
        code, sock, address = "fault", None, self.address
        try:
            sock, peer = outgoing(address, self.opening)
            code = await self._watch(sock, peer)
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
        self.desk.listed(ListNews.SILENT if code in ("silent", "unanswered") else ListNews.FAILED, [])

    async def _watch(self, sock: socket.socket, peer: tuple[str, int]) -> str:
        """Until the watch ends; says how."""
        events, machine, inward = asyncio.get_running_loop(), Calling(streams=True), Ring()
        async with asyncio.timeout(seconds(COMES_UP)):
            await events.sock_connect(sock, peer)
        call = machine.ask("GET", forms.watch_target(self.index), self.address, [])
        await events.sock_sendall(sock, call)
        while True:
            try:
                async with asyncio.timeout(seconds(LIST_SILENT if machine.status else FIRST)):
                    count = await events.sock_recv_into(sock, inward.space())
            except TimeoutError:
                # A machine that is cut off says nothing, and what it would have told counts as told all the same.
                return "silent" if machine.status else "unanswered"
            if not count:
                return "closed"
            inward.fill(count)
            part = inward.data()
            end = machine.feed(part)
            inward.drop(len(part))
            if machine.status not in (0, 200):
                return f"status-{machine.status}"
            for record in machine.records():
                if record.strip():
                    self.index, news, rows = self.desk.words.list_line(record)
                    self.desk.listed(news, rows)
            if end is not None:
                return "ended"

