"""The options of membership, as the configuration file's `[fleet]` table sets them (`config/fleet.py`)."""

from __future__ import annotations

from dataclasses import dataclass

from pathsaddle.fleet.rate_limiter import SECOND


@dataclass
class MembershipOptions:
    """What an operator may choose; times are in ticks.

    Attributes:
        fleet: The fleet's name.
        key: The fleet's secret, with which every datagram is authenticated.
        probe_interval: The time between two probes.
        probe_timeout: How long a direct answer is awaited before other members are asked to probe.
        most_bytes: How many bytes may be sent in any second.
        most_datagrams: How many datagrams may be sent in any second.
        most_dead: How many dead members are remembered.
        forget: How long a dead member is remembered at most.
        lifeguard: Local health, independent accusers and telling the accused first; off only to measure their
            effect.
    """

    fleet: str
    key: bytes
    probe_interval: int = SECOND
    probe_timeout: int = 3 * SECOND // 10
    most_bytes: int = 24_000
    most_datagrams: int = 60
    most_dead: int = 1024
    forget: int = 600 * SECOND
    lifeguard: bool = True
