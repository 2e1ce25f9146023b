"""The environment of a dispatcher: clock, sockets, its own resource use, and its configuration file.

The dispatcher receives all of it as an object, so that the same code also runs on virtual time and in-memory
connections.
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
from pathsaddle.net.wire.birth import WHERE, UnreadableConfigError, read_discovery_address
from pathsaddle.net.wire.terms import Peer


class FleetParticipant(Protocol):
    """The dispatcher's part in a fleet of dispatchers, as this layer sees it (see `pathsaddle/fleet`)."""

    def begin(self) -> None:
        """Start taking part in the fleet."""
        ...

    def leave(self) -> None:
        """Announce to the other dispatchers that this one leaves on purpose."""

    def end(self) -> None:
        """Stop, and release the resources."""
        ...


class Environment:
    """The environment that the operating system's kernel provides."""

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or Clock()

    def stream(self, address: str) -> tuple[pump.CountingSocket, Peer]:
        """Return a new non-blocking TCP socket and the address in the form that it takes.

        Raises:
            ValueError: `address` is not an address.
        """
        return pump.stream(address)

    def datagrams(self, address: str) -> tuple[socket.socket, Peer]:
        """Return a new non-blocking UDP socket and the address in the form that it takes.

        Raises:
            ValueError: `address` is not an address.
        """
        return pump.stream(address, socket.SOCK_DGRAM)

    def fellows(self, counters: Counters) -> FleetParticipant | None:
        """Return the dispatcher's part in a fleet, or None where none is configured."""
        return None

    def service(self, *arguments: Any) -> TxnService:
        """Return the service that decides txns; with a job store where one is configured."""
        return TxnService(*arguments)

    def watch(self, address: str, index: int, service: TxnService, counters: Counters) -> DiscoveryWatch:
        """Return the watch on discovery's list; a metered one where metering is configured."""
        return DiscoveryWatch(address, index, service, counters, self.stream)

    def descriptors(self) -> int:
        """Return how many file descriptors the process has open."""
        return len(os.listdir("/proc/self/fd"))

    def memory_mb(self) -> float:
        """Return the resident memory of the process without shared pages, such as those of libraries."""
        with open("/proc/self/statm", encoding="ascii") as file:
            resident, shared = file.read().split()[1:3]
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def file(self) -> str:
        """Return the path of the configuration file, as the operator gave it."""
        return os.environ.get(WHERE, "")

    def moved(self) -> str:
        """Read the configuration file again and return discovery's address.

        Raises:
            Error: The file can't be read, or has no valid address of discovery.
        """
        return read_discovery_address(self.told())

    def told(self) -> str:
        """Read the configuration file.

        Raises:
            Unreadable: The file can't be read.
        """
        try:
            with open(os.environ[WHERE], encoding="utf-8") as file:
                return file.read()
        except (OSError, UnicodeDecodeError) as fault:
            raise UnreadableConfigError(file=self.file(), why=why(fault)) from None
