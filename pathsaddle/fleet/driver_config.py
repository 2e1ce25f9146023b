"""What a member's driver is given at its start: the operator's choices, and what the machine offers."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Protocol

from pathsaddle.fleet.options import MembershipOptions
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.wire.terms import Peer

OpenedSocket = tuple[socket.socket, Peer]  # unbound, without blocking; and the parsed address


class Environment(Protocol):
    """What the driver takes from the machine."""

    clock: Clock

    def stream(self, address: str) -> OpenedSocket:
        """Returns a TCP socket without blocking, and the parsed address."""
        ...

    def datagrams(self, address: str) -> OpenedSocket:
        """Returns a UDP socket without blocking, and the parsed address."""
        ...


@dataclass
class MembershipConfig:
    """A member as its operator wants it.

    Attributes:
        name: Its name, unique in the fleet.
        zone: Its zone.
        listen: Where it takes datagrams, `host:port`.
        address: Where others send them, as they reach it.
        seeds: Addresses at which members of the fleet may be found.
        control: Where `pathsaddle fleet` asks; empty: nowhere.
        options: The options of the protocol.
        file: The file in which all this stands, for errors.
        budgets: The quotas that all members share, by name; None: nothing is shared.
    """

    name: str
    zone: str
    listen: str
    address: str
    seeds: list[str]
    control: str
    options: MembershipOptions
    file: str = "the charter"
    budgets: dict[str, QuotaConfig] | None = None
