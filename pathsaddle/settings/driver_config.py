"""What a config server's or subscriber's driver is told, and the socket that it opens by that."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from pathlib import Path

from pathsaddle.net.service.ground import Environment
from pathsaddle.net.service.place import bind_error
from pathsaddle.settings.timing import DEFAULT_LEASE_TICKS

RECEIVE_BUFFER_BYTES = 1 << 20


@dataclass
class DriverConfig:
    """What a driver is told.

    Attributes:
        name: Of this process.
        region: Where it runs.
        key: The secret of servers and subscribers.
        listen: host:port where it takes datagrams.
        servers: The servers' addresses by name, nearest first.
        directory: Of this process alone.
        location: The table and file where all this stands (`TABLE in FILE`), for an operator.
        lease_ticks: The subscribers'.
        control: host:port of the control address on the loopback; empty: none.
        max_bytes_per_second: That it sends.
        max_datagrams_per_second: That it sends.
    """

    name: str
    region: str
    key: bytes
    listen: str
    servers: dict[str, str]
    directory: Path
    location: str
    lease_ticks: int = DEFAULT_LEASE_TICKS
    control: str = ""
    max_bytes_per_second: int = 13_000
    max_datagrams_per_second: int = 200


def bind_socket(config: DriverConfig) -> socket.socket:
    """Returns a socket that is bound to the configured address; raises Error (net/service/place.py)."""
    sock = None
    try:
        sock, address = Environment().datagrams(config.listen)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(address)
    except (OSError, ValueError) as fault:
        if sock is not None:
            sock.close()
        table, _, file = config.location.partition(" in ")
        raise bind_error(fault, f"{table}.listen", config.listen, file) from None
    return sock
