"""Queries a running process at its control address, as `pathsaddle fleet` does.

A query is one line with one of `control_messages.ControlQuery`; the answer is one line with a JSON object.
Whatever stands between us and an answer is a `ControlUnreachableError` with a remedy for the operator.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
from typing import Any

from pathsaddle.errors import FINDING, Error, why
from pathsaddle.net.service import pump

MAX_ANSWER_BYTES = 4 << 20  # beyond any answer: 4,096 members of 300 bytes each are 1.2 MB
READ_BYTES = 65_536
QUOTED_BYTES = 20  # of an answer that is no JSON object, in an error's text

ControlAnswer = dict[
    str, Any
]  # a decoded JSON object; its members are those of `control_messages` and of other packages


class ControlUnreachableError(Error):
    """Base of all that can stand between us and an answer."""

    code = FINDING


class MissingControlAddressError(ControlUnreachableError):
    """What was given is no address."""

    name = "control.no-address"
    what = "{address!r} is no address"
    do = "say host:port as it stands at fleet.control in its charter, or the charter's path"


class ControlHostUnknownError(ControlUnreachableError):
    """The host of the address has no IP address."""

    name = "control.no-host"
    what = "{address}: no host is known by that name"
    do = "say an IP address, as it stands at fleet.control in its charter"


class ControlConnectionError(ControlUnreachableError):
    """No connection could be made."""

    name = "control.unreached"
    what = "{address}: nobody takes connections there ({why})"
    do = (
        "start the dispatcher that has {address} at fleet.control in its charter, on this machine "
        "(`pathsaddle serve CHARTER`), or say another's address"
    )


class ControlTimeoutError(ControlUnreachableError):
    """No answer came in time."""

    name = "control.silent"
    what = "{address}: no answer to {word!r} in {within:g} s"
    do = "look in the log of the dispatcher there for `late` lines, or whether it is stopped, and ask again"


class ControlClosedError(ControlUnreachableError):
    """The connection ended without an answer."""

    name = "control.closed"
    what = "{address}: it closed without an answer to {word!r}"
    do = "ask again: it answers eight at a time, and is ending if its log says `stopping`"


class ControlAnswerError(ControlUnreachableError):
    """The answer is not one JSON object."""

    name = "control.garbled"
    what = "{address}: what answers there speaks another language ({why})"
    do = "see that {address} is what stands at fleet.control, not at listen, in its charter"


class ControlQueryUnknownError(ControlUnreachableError):
    """The dispatcher does not know this query."""

    name = "control.no-such-word"
    what = "{address}: {why}"
    do = "let the dispatcher at {address} run the same release as this command"


class NoQuotasError(ControlUnreachableError):
    """The dispatcher shares no quotas."""

    name = "control.no-budgets"
    what = "{address}: {why}"
    do = (
        "write the budgets that all members share in [fleet.budgets] of its charter, alike at all, "
        "and restart it"
    )


class NotMeteredError(ControlUnreachableError):
    """The dispatcher does not meter what control costs it."""

    name = "control.unmetered"
    what = "{address}: {why}"
    do = "write `meter = true` in [control] of its charter, or take the key out, and restart it"


class MembershipEndedError(ControlUnreachableError):
    """The dispatcher's membership has ended by a defect."""

    name = "control.ended"
    what = "{address}: {why}"
    do = "report the trace at `fault-member` in the log of the dispatcher at {address}, and restart it"


class ControlFaultError(ControlUnreachableError):
    """The dispatcher failed to answer by a defect."""

    name = "control.fault"
    what = "{address}: {why}"
    do = "report the trace at `fault-control` in the log of the dispatcher at {address}"


ERRORS: dict[str, type[ControlUnreachableError]] = {
    kind.name: kind
    for kind in (
        ControlQueryUnknownError,
        NoQuotasError,
        NotMeteredError,
        MembershipEndedError,
        ControlFaultError,
    )
}  # that a dispatcher answers with, by their stable name


async def query(address: str, query_name: str, within: float) -> ControlAnswer:
    """Returns the answer to a query.

    Args:
        address: `host:port` of `fleet.control`.
        query_name: What is asked, one of `control_messages.ControlQuery`.
        within: How long the whole query may take, in seconds.

    Raises:
        ControlUnreachableError: There is no answer, or the dispatcher answers that it can't tell.
    """
    loop = asyncio.get_running_loop()
    try:
        sock, peer = pump.stream(address)
    except ValueError:
        raise MissingControlAddressError(address=address) from None
    try:
        async with asyncio.timeout(within):
            await loop.sock_connect(sock, peer)
            await loop.sock_sendall(sock, query_name.encode() + b"\n")
            received = await _receive(loop, sock)
    except TimeoutError:
        raise ControlTimeoutError(address=address, word=query_name, within=within) from None
    except (socket.gaierror, UnicodeError):  # the latter where it could be no host's name at all
        raise ControlHostUnknownError(address=address) from None
    except (ConnectionResetError, BrokenPipeError):
        raise ControlClosedError(address=address, word=query_name) from None
    except OSError as error:
        raise ControlConnectionError(address=address, why=_reason(error)) from None
    finally:
        sock.close()
    if not received:
        raise ControlClosedError(address=address, word=query_name)
    return _decode(address, received)


async def _receive(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bytes:
    """Returns all up to the end of the line, or of the connection."""
    received = b""
    while not received.endswith(b"\n") and len(received) < MAX_ANSWER_BYTES:
        data = await loop.sock_recv(sock, READ_BYTES)
        if not data:
            break
        received += data
    return received


def _reason(error: OSError) -> str:
    """Returns the kernel's words; asyncio puts an address and a tuple in their place."""
    return os.strerror(error.errno).lower() if error.errno else why(error)


def _decode(address: str, received: bytes) -> ControlAnswer:
    try:
        answer = json.loads(received)
    except ValueError:
        raise ControlAnswerError(address=address, why=f"it begins with {received[:QUOTED_BYTES]!r}") from None
    if not isinstance(answer, dict):
        raise ControlAnswerError(address=address, why=f"it says {received[:QUOTED_BYTES]!r}")
    if "fault" in answer:
        raise ERRORS.get(str(answer.get("name")), ControlFaultError)(address=address, why=answer["fault"])
    return answer


def query_dispatcher(address: str, query_name: str, within: float = 2.0) -> ControlAnswer:
    """Returns the answer to a query, for a caller that has no event loop; see `query`."""
    return asyncio.run(query(address, query_name, within))
