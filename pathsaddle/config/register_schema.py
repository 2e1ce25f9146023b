"""What may stand at `[fleet.owners]`: the acceptors, and the keys that this process campaigns for.

`config/member_tables.py` has the table; `pathsaddle/consensus` is what it configures.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from pathsaddle.config.units import Duration

ACCEPTOR_COUNTS = (3, 5)  # a majority of them stays when one, or two, are gone
MAX_NAME_BYTES = 64  # of an acceptor or a key: they go into datagrams
MIN_LEASE = Duration(5000)  # 500 ms: a renewal must be able to come too late twice


class Owners(Struct, kw_only=True, forbid_unknown_fields=True):
    """One owner at a time for a key of the fleet's work; off where the table is missing.

    voters: 3 or 5 names, each with the address (UDP) where it is asked; the same at all members. Whose `name`
      is among them votes.
    listen: where this process takes datagrams of owners and voters, host:port (UDP).
    folder: where a voter keeps its register and each its last life, on a disk that lasts.
    lease: how long an owner that says nothing stays owner; it renews at a third.
    keys: what this process stands for.
    zones: keys with the zone where their owner is wanted; others stand for them later.
    bytes: that this process sends in any second at most, for owners and voters.
    datagrams: that it sends so in any second at most.
    """

    voters: dict[str, str]
    listen: str
    folder: str
    lease: Duration = Duration(30_000)
    keys: list[str] = field(default_factory=list)
    zones: dict[str, str] = field(default_factory=dict)
    bytes: Annotated[int, Meta(ge=20_000)] = 200_000
    datagrams: Annotated[int, Meta(ge=60)] = 600

    def __post_init__(self) -> None:
        """Checks the keys against each other.

        Raises:
            ValueError: The first contradiction, as `key: what`.
        """
        if len(self.voters) not in ACCEPTOR_COUNTS:
            raise ValueError(
                f"voters: {len(self.voters)} stand there; 3 or 5 may, since a majority of them keeps each key"
            )
        _check_ipv4("listen", self.listen)
        for name, address in self.voters.items():
            _check_ipv4(f"voters.{name}", address)
        for name in (*self.voters, *self.keys):
            if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
                raise ValueError(f'"{name}" stands there; a name of 1 to 64 bytes may')
        if self.lease < MIN_LEASE:
            raise ValueError("lease: 500ms at least: a renewal must be able to come too late twice")


def _check_ipv4(key: str, address: str) -> None:
    """Raises ValueError where the address is none, or is one of IPv6."""
    from pathsaddle.net.wire.terms import parse_peer

    try:
        is_ipv6 = ":" in parse_peer(address)[0]
    except ValueError:
        is_ipv6 = True
    if is_ipv6:
        raise ValueError(f'{key}: "{address}" stands there; host:port of IPv4 may')
