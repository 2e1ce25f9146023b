"""Asks a running process at its control address, as `pathsaddle fleet` does."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from pathsaddle.net.service import pump

MOST = 4 << 20


async def ask(address: str, word: str, within: float) -> dict[str, Any]:
    """What it answers; raises OSError where nobody answers within so many seconds, ValueError where it says why not."""
    loop = asyncio.get_running_loop()
    sock, peer = pump.stream(address)
    try:
        async with asyncio.timeout(within):
            await loop.sock_connect(sock, peer)
            await loop.sock_sendall(sock, word.encode() + b"\n")
            told = b""
            while not told.endswith(b"\n") and len(told) < MOST:
                data = await loop.sock_recv(sock, 65_536)
                if not data:
                    break
                told += data
    except TimeoutError:
        raise OSError(f"{address}: no answer in {within:g} s") from None
    finally:
        sock.close()
    answer = json.loads(told)
    if not isinstance(answer, dict) or "fault" in answer:
        raise ValueError(answer.get("fault", "no answer") if isinstance(answer, dict) else "no answer")
    return answer


def asked(address: str, word: str, within: float = 2.0) -> dict[str, Any]:
    return asyncio.run(ask(address, word, within))
