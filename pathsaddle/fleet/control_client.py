"""Asks a running process at its control address, as `pathsaddle fleet` does."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

from pathsaddle.errors import FINDING, Error, why
from pathsaddle.net.service import pump

MOST = 4 << 20


class ControlUnreachableError(Error):
    """Of all that can stand between us and an answer."""

    code = FINDING


class MissingControlAddressError(ControlUnreachableError):
    name = "control.no-address"
    what = "{address!r} is no address"
    do = "say host:port as it stands at fleet.control in its charter, or the charter's path"


class NoHost(ControlUnreachableError):
    name = "control.no-host"
    what = "{address}: no host is known by that name"
    do = "say an IP address, as it stands at fleet.control in its charter"


class Unreached(ControlUnreachableError):
    name = "control.unreached"
    what = "{address}: nobody takes connections there ({why})"
    do = (
        "start the dispatcher that has {address} at fleet.control in its charter, on this machine (`pathsaddle serve "
        "CHARTER`), or say another's address"
    )


class Silent(ControlUnreachableError):
    name = "control.silent"
    what = "{address}: no answer to {word!r} in {within:g} s"
    do = "look in the log of the dispatcher there for `late` lines, or whether it is stopped, and ask again"


class Closed(ControlUnreachableError):
    name = "control.closed"
    what = "{address}: it closed without an answer to {word!r}"
    do = "ask again: it answers eight at a time, and is ending if its log says `stopping`"


class Garbled(ControlUnreachableError):
    name = "control.garbled"
    what = "{address}: what answers there speaks another language ({why})"
    do = "see that {address} is what stands at fleet.control, not at listen, in its charter"


class NoSuchWord(ControlUnreachableError):
    name = "control.no-such-word"
    what = "{address}: {why}"
    do = "let the dispatcher at {address} run the same release as this command"


class NoBudgets(ControlUnreachableError):
    name = "control.no-budgets"
    what = "{address}: {why}"
    do = "write the budgets that all members share in [fleet.budgets] of its charter, alike at all, and restart it"


class NotMetered(ControlUnreachableError):
    name = "control.unmetered"
    what = "{address}: {why}"
    do = "write `meter = true` in [control] of its charter, or take the key out, and restart it"


class Ended(ControlUnreachableError):
    name = "control.ended"
    what = "{address}: {why}"
    do = "report the trace at `fault-member` in the log of the dispatcher at {address}, and restart it"


class Faulted(ControlUnreachableError):
    name = "control.fault"
    what = "{address}: {why}"
    do = "report the trace at `fault-control` in the log of the dispatcher at {address}"


TOLD: dict[str, type[ControlUnreachableError]] = {
    kind.name: kind for kind in (NoSuchWord, NoBudgets, NotMetered, Ended, Faulted)
}


async def query(address: str, word: str, within: float) -> dict[str, Any]:
    """What it answers; raises an Unasked that says why it does not."""
    loop = asyncio.get_running_loop()
    try:
        sock, peer = pump.stream(address)
    except ValueError:
        raise MissingControlAddressError(address=address) from None
    told = b""
    try:
        async with asyncio.timeout(within):
            await loop.sock_connect(sock, peer)
            await loop.sock_sendall(sock, word.encode() + b"\n")
            while not told.endswith(b"\n") and len(told) < MOST:
                data = await loop.sock_recv(sock, 65_536)
                if not data:
                    break
                told += data
    except TimeoutError:
        raise Silent(address=address, word=word, within=within) from None
    except (socket.gaierror, UnicodeError):  # the latter where it could be no host's name at all
        raise NoHost(address=address) from None
    except (ConnectionResetError, BrokenPipeError):
        raise Closed(address=address, word=word) from None
    except OSError as fault:
        raise Unreached(address=address, why=_kernel(fault)) from None
    finally:
        sock.close()
    if not told:
        raise Closed(address=address, word=word)
    return _read(address, told)


def _kernel(fault: OSError) -> str:
    """Asyncio puts an address and a tuple where the kernel's word would stand."""
    import os

    return os.strerror(fault.errno).lower() if fault.errno else why(fault)


def _read(address: str, told: bytes) -> dict[str, Any]:
    try:
        answer = json.loads(told)
    except ValueError:
        raise Garbled(address=address, why=f"it begins with {told[:20]!r}") from None
    if not isinstance(answer, dict):
        raise Garbled(address=address, why=f"it says {told[:20]!r}")
    if "fault" in answer:
        raise TOLD.get(str(answer.get("name")), Faulted)(address=address, why=answer["fault"])
    return answer


def query_dispatcher(address: str, word: str, within: float = 2.0) -> dict[str, Any]:
    """The same, for who has no event loop."""
    return asyncio.run(query(address, word, within))
