"""What a process is told of the replicated register at its start."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from pathsaddle.consensus.messages import Ticks


@dataclass
class RegisterConfig:
    """The configuration of one process.

    Attributes:
        name: The name of this process. It is an acceptor where the name is among the acceptors.
        fleet: The fleet's name.
        fleet_key: With which datagrams are signed.
        acceptors: The address of each acceptor, by name; `voters` in files.
        listen: This process's own address (UDP).
        directory: The operator's directory for the acceptor's log and the incarnation; `folder` in files.
        lease_ticks: The length of a lease.
        keys: What this process campaigns for, and whether it is preferred there.
        max_bytes_per_second: How much it may send.
        max_datagrams_per_second: How many datagrams it may send.
        file: Where all this stands, in words for an operator.
    """

    name: str
    fleet: str
    fleet_key: bytes
    acceptors: dict[str, str]
    listen: str
    directory: Path
    lease_ticks: Ticks
    keys: dict[str, bool] = field(default_factory=dict)
    max_bytes_per_second: int = 200_000
    max_datagrams_per_second: int = 600
    file: str = "the charter"
