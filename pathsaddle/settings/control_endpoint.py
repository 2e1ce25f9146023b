"""The control address: one line of JSON asks, one line of JSON answers, then the connection closes.

On the loopback alone; nobody signs in. Requests are decoded to typed ones and handed to the driver; its
errors become answers. The endpoint knows nothing of servers and subscribers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec

from pathsaddle.errors import Error
from pathsaddle.settings.control_messages import (
    Answer,
    ApplyRequest,
    ErrorAnswer,
    GetRequest,
    HistoryRequest,
    Request,
    StatusRequest,
)
from pathsaddle.settings.errors import ValidationError

TALK_TIMEOUT_SECONDS = 5.0  # for the request's line, and for taking the answer's
MAX_REQUEST_BYTES = 4 << 20
MAX_CONNECTIONS = 16

_DECODERS: dict[str, Callable[[Mapping[str, Any]], Request]] = {
    "get": GetRequest.decode,
    "apply": ApplyRequest.decode,
    "history": HistoryRequest.decode,
    "status": StatusRequest.decode,
}


class ControlHandler(Protocol):
    """What a driver offers at its control address."""

    @property
    def request_kinds(self) -> tuple[str, ...]:
        """The requests that it answers."""

    def check_available(self) -> None:
        """Raises NoQuorumError where it can't answer now."""

    async def answer(self, request: Request) -> Answer:
        """Answers a request; raises Error."""

    def report_fault(self, fault: BaseException) -> None:
        """Logs a defect of ours."""


class ControlEndpoint:
    """Takes connections, MAX_CONNECTIONS at once; further ones are closed without an answer."""

    def __init__(self, handler: ControlHandler) -> None:
        """Listens to nobody yet."""
        self.handler = handler
        self._server: asyncio.Server | None = None
        self._connections = 0

    async def start(self, host: str, port: int) -> None:
        """Begins to listen; raises OSError."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_REQUEST_BYTES)

    def close(self) -> None:
        """Takes no further connections."""
        if self._server is not None:
            self._server.close()

    async def answer_line(self, line: bytes) -> bytes:
        """Returns the line that answers a line."""
        return json.dumps(msgspec.to_builtins(await self._answer(line))).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections += 1
        try:
            if self._connections > MAX_CONNECTIONS:
                return
            async with asyncio.timeout(TALK_TIMEOUT_SECONDS):
                line = await reader.readline()
            if not line:
                return
            writer.write(await self.answer_line(line))
            async with asyncio.timeout(TALK_TIMEOUT_SECONDS):
                await writer.drain()
        except (OSError, ValueError, TimeoutError):  # ValueError: a line too long
            pass
        finally:
            self._connections -= 1
            with contextlib.suppress(Exception):
                writer.close()

    async def _answer(self, line: bytes) -> Answer:
        try:
            members = json.loads(line)
            kind = members.get("word") if isinstance(members, dict) else None
            kinds = self.handler.request_kinds
            if kind not in kinds:
                raise ValidationError("no such word", f"ask one of {', '.join(kinds)}")
            self.handler.check_available()
            return await self.handler.answer(_DECODERS[kind](members))
        except Error as fault:
            return ErrorAnswer.of(fault)
        except Exception as fault:  # noqa: BLE001  # a defect of ours ends this answer alone
            self.handler.report_fault(fault)
            return ErrorAnswer.of_defect(fault)
