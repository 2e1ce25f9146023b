"""What a dispatcher takes from the machine under it: time, sockets, its own size, the file that tells it.

All of it is handed in, so that the same code stands on another ground too, where time is virtual and
connections are in memory.
"""

from __future__ import annotations

import os
import socket
from typing import Any, Protocol

from pathsaddle.errors import why
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import pump
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire.birth import WHERE, Unreadable, moved_to
from pathsaddle.net.wire.terms import Peer


class Fellows(Protocol):
    """Our place among other dispatchers, as this layer knows it: what it is lies above (pathsaddle/fleet)."""

    def begin(self) -> None: ...

    def leave(self) -> None:
        """Tells the others that we go on purpose."""

    def end(self) -> None: ...


class Ground:
    """The kernel's."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()

    def stream(self, address: str) -> tuple[pump.Tallied, Peer]:
        """A new TCP socket that doesn't block, and the address as it wants it; ValueError where it is none."""
        return pump.stream(address)

    def datagrams(self, address: str) -> tuple[socket.socket, Peer]:
        """The same for UDP."""
        return pump.stream(address, socket.SOCK_DGRAM)

    def fellows(self, counters: Counters) -> Fellows | None:
        """Our place among other dispatchers, where the operator wants one."""
        return None

    def service(self, *told: Any) -> TxnService:
        """The door behind which txns are decided; one with a store where the operator wants it."""
        return TxnService(*told)

    def watch(self, address: str, index: int, service: TxnService, counters: Counters) -> DiscoveryWatch:
        """The watch on discovery's list; one whose cost is metered where an operator serves."""
        return DiscoveryWatch(address, index, service, counters, self.stream)

    def descriptors(self) -> int:
        """How many are in use."""
        return len(os.listdir("/proc/self/fd"))

    def memory_mb(self) -> float:
        """Our own: what libraries' files take is shared with all who run them."""
        with open("/proc/self/statm", encoding="ascii") as file:
            resident, shared = file.read().split()[1:3]
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def file(self) -> str:
        """The file that tells us, by the name that its operator knows."""
        return os.environ.get(WHERE, "")

    def moved(self) -> str:
        """Where discovery is by the file as it stands now; raises an Error where it can't say."""
        return moved_to(self.told())

    def told(self) -> str:
        """What the dispatcher is told, as it stands now; raises Unreadable."""
        try:
            with open(os.environ[WHERE], encoding="utf-8") as file:
                return file.read()
        except (OSError, UnicodeDecodeError) as fault:
            raise Unreadable(file=self.file(), why=why(fault)) from None
