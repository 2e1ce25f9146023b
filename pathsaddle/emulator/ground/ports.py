"""Ports of the loopback for programs that are started here, which nobody else is given meanwhile."""

from __future__ import annotations

import os
import socket
from pathlib import Path
from random import Random

from pathsaddle.errors import FINDING, Error

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LEAST = 10_000  # below are other programs' well-known ones
_HELD: list[socket.socket] = []


class NoPort(Error):
    name = "emulator.no-port"
    what = "none of the UDP ports from {least} to {most} is free for a program that is started here"
    do = "end what holds them (`ss -ulnp`), or what other runs left behind"
    code = FINDING


def udp_ports(count: int) -> list[int]:
    """Ports that programs can bind for datagrams until this process ends.

    They lie below those that the kernel deals out, so that no socket bound to port 0 gets one: a port that was bound and
    closed again was another's before its program began, some forty of which start side by side in the stories. Against
    other processes that look here each is claimed by a TCP socket of the same number, bound and not listening, which the
    kernel gives to one of them. Raises NoPort.
    """
    most = int(RANGE.read_text(encoding="ascii").split()[0]) - 1 if RANGE.exists() else 32_767
    found: list[int] = []
    first = Random(os.getpid()).randrange(
        LEAST, most + 1
    )  # which ones they are decides nothing: processes look apart
    for port in (*range(first, most + 1), *range(LEAST, first)):
        if len(found) == count:
            break
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", port))
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", port))
        except OSError:
            claim.close()
            continue
        _HELD.append(claim)
        found.append(port)
    if len(found) < count:
        raise NoPort(least=LEAST, most=most)
    return found


def udp_places(count: int) -> list[str]:
    """The same as addresses."""
    return [f"127.0.0.1:{port}" for port in udp_ports(count)]
