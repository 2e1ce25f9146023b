"""The control address of a member: one line asks, one line of JSON answers, then the connection ends.

It listens on the loopback alone, where nobody signs in. It knows no membership: the driver hands in what
answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from pathsaddle.errors import why
from pathsaddle.fleet.control_messages import ControlFault, ControlQuery, ControlReply, encode_reply
from pathsaddle.fleet.fault_log import FaultLog, describe
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.scheduler_types import SECOND

CONNECTION_TICKS = 2 * SECOND  # for one query and its answer
MAX_CONNECTIONS = 8  # at a time; further ones are closed at once
MAX_QUERY_BYTES = 100
ACCEPT_RETRY_SECONDS = 0.5  # after a connection could not be accepted


class ControlEndpoint:
    """Answers queries on a listening socket, which it owns from then on."""

    def __init__(
        self,
        listener: socket.socket,
        address: str,
        answer: Callable[[ControlQuery], ControlReply],
        fault_log: FaultLog,
    ) -> None:
        self.listener, self.address, self.answer, self.fault_log = listener, address, answer, fault_log
        self._loop = asyncio.get_running_loop()
        self._connections = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def begin(self) -> None:
        """Listens from now on."""
        self.listener.listen(MAX_CONNECTIONS)
        self._start(self._accept())

    def end(self) -> None:
        """Ends all connections."""
        for task in self._tasks:
            task.cancel()
        self.listener.close()

    def reply(self, query_name: str) -> bytes:
        """Returns the answer to a query; a defect of ours is an answer too."""
        try:
            if query_name not in set(ControlQuery):
                known = ", ".join(ControlQuery)
                fault = ControlFault(
                    f"{query_name!r} was asked, and it knows {known}", "control.no-such-word"
                )
                return encode_reply(fault)
            return encode_reply(self.answer(ControlQuery(query_name)))
        except Exception as error:  # noqa: BLE001  # a defect of ours, whatever it is
            self.fault_log.report_control(error)
            return encode_reply(ControlFault(f"a fault of its own: {describe(error)}", "control.fault"))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self._loop.sock_accept(self.listener)
            except OSError as error:
                self.fault_log.counters.add("fleet.control")
                logbook.accept_failed(why=f"{self.address} (fleet.control): {why(error)}")
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            if self._connections >= MAX_CONNECTIONS:
                sock.close()
                continue
            sock.setblocking(False)
            self._start(self._serve(sock))

    async def _serve(self, sock: socket.socket) -> None:
        self._connections += 1
        try:
            async with asyncio.timeout(seconds(CONNECTION_TICKS)):
                received = b""
                while b"\n" not in received and len(received) < MAX_QUERY_BYTES:
                    data = await self._loop.sock_recv(sock, MAX_QUERY_BYTES)
                    if not data:
                        return
                    received += data
                query_name = received.split(b"\n")[0].decode("ascii", "replace").strip()
                await self._loop.sock_sendall(sock, self.reply(query_name) + b"\n")
        except (OSError, TimeoutError):
            pass  # the client is gone, or slow: it asks again
        finally:
            self._connections -= 1
            with contextlib.suppress(OSError):
                sock.close()
