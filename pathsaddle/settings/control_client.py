"""Asks a running config server or subscriber at its control address.

It sends and receives one line of JSON, without an event loop.

Called by `pathsaddle settings`. It decodes JSON and checks no member of an answer but `error`.
"""

from __future__ import annotations

import json
import socket
from typing import Any

from pathsaddle.errors import CATALOGUE, Error, why
from pathsaddle.net.wire.terms import parse_peer
from pathsaddle.settings.errors import ChangeRejectedError, ServerDefectError, ServerUnreachableError

MAX_ANSWER_BYTES = 64 << 20


def query(address: str, request: str, patience: float = 5.0, **members: object) -> dict[str, Any]:
    """Asks, and returns the answer.

    Args:
        address: host:port of the control address.
        request: What is asked: `get`, `apply`, `history` or `status`.
        patience: Seconds for each step of it.
        **members: Further members of the request.

    Returns:
        The members of the answer.

    Raises:
        ServerUnreachableError: There is no answer.
        Error: The answer is an error; it is raised as it was there.
    """
    received = b""
    try:
        peer = parse_peer(address)
        with socket.create_connection((peer[0], peer[1]), timeout=patience) as sock:
            sock.sendall(json.dumps({"word": request, **members}).encode() + b"\n")
            while not received.endswith(b"\n") and len(received) < MAX_ANSWER_BYTES:
                data = sock.recv(1 << 16)
                if not data:
                    break
                received += data
    except (OSError, ValueError) as fault:
        raise ServerUnreachableError(address=address, word=request, why=why(fault)) from None
    try:
        answer = json.loads(received)
    except ValueError:
        raise ServerUnreachableError(
            address=address, word=request, why="what it says is no JSON" if received else "it closed"
        ) from None
    if not isinstance(answer, dict):
        raise ServerUnreachableError(address=address, word=request, why="what it says is no answer")
    if "error" in answer:
        raise _decode_error(address, answer["error"])
    return answer


def _decode_error(address: str, members: dict[str, Any]) -> Error:
    name, lines = str(members.get("name", "")), members.get("lines")
    if name == ServerDefectError.name or name not in CATALOGUE:
        return ServerDefectError(address=address, why=f"{members.get('what', '')} [{name}]")
    if name == ChangeRejectedError.name and lines:
        return ChangeRejectedError([str(line) for line in lines])
    error = Error(str(members.get("what", "")), str(members.get("do", "")), name)
    error.code = int(members.get("code", 1))
    return error
