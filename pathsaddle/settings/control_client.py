"""Asks a running keeper, or member, at its control address: a line of JSON each way, for who has no event loop."""

from __future__ import annotations

import json
import socket
from typing import Any

from pathsaddle.errors import CATALOGUE, Error, why
from pathsaddle.net.wire.terms import peer_of
from pathsaddle.settings.errors import ChangeRejectedError, ServerDefectError, ServerUnreachableError

MOST = 64 << 20  # bytes of an answer


def query(address: str, word: str, patience: float = 5.0, **more: Any) -> dict[str, Any]:
    """What it answers. patience: seconds for each step of it. Raises Unreached, and whatever error of the family it answers with."""
    told = b""
    try:
        peer = peer_of(address)
        with socket.create_connection((peer[0], peer[1]), timeout=patience) as sock:
            sock.sendall(json.dumps({"word": word, **more}).encode() + b"\n")
            while not told.endswith(b"\n") and len(told) < MOST:
                data = sock.recv(1 << 16)
                if not data:
                    break
                told += data
    except (OSError, ValueError) as fault:
        raise ServerUnreachableError(address=address, word=word, why=why(fault)) from None
    try:
        answer = json.loads(told)
    except ValueError:
        raise ServerUnreachableError(
            address=address, word=word, why="what it says is no JSON" if told else "it closed"
        ) from None
    if not isinstance(answer, dict):
        raise ServerUnreachableError(address=address, word=word, why="what it says is no answer")
    if "error" in answer:
        raise _error(address, answer["error"])
    return answer


def _error(address: str, told: dict[str, Any]) -> Error:
    """As it was there."""
    name, lines = str(told.get("name", "")), told.get("lines")
    if name == ServerDefectError.name or name not in CATALOGUE:
        return ServerDefectError(address=address, why=f"{told.get('what', '')} [{name}]")
    if name == ChangeRejectedError.name and lines:
        return ChangeRejectedError([str(line) for line in lines])
    made = Error(str(told.get("what", "")), str(told.get("do", "")), name)
    made.code = int(told.get("code", 1))
    return made
