"""What may stand at `[fleet.owners]`: who votes, and what this process stands for."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from pathsaddle.config.units import Duration


class Owners(Struct, kw_only=True, forbid_unknown_fields=True):
    """One owner at a time for a key of the fleet's work; off where the table is missing.

    voters: 3 or 5 names, each with the address (UDP) where it is asked; the same at all members. Whose `name` is among
      them votes.
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
        from pathsaddle.net.wire.terms import peer_of

        if len(self.voters) not in (3, 5):
            raise ValueError(
                f"voters: {len(self.voters)} stand there; 3 or 5 may, since a majority of them keeps each key"
            )
        for key, told in (
            ("listen", self.listen),
            *((f"voters.{name}", told) for name, told in self.voters.items()),
        ):
            try:
                if ":" in peer_of(told)[0]:
                    raise ValueError
            except ValueError:
                raise ValueError(f'{key}: "{told}" stands there; host:port of IPv4 may') from None
        for key in (*self.voters, *self.keys):
            if not 0 < len(key.encode()) <= 64:
                raise ValueError(f'"{key}" stands there; a name of 1 to 64 bytes may')
        if self.lease < 5000:
            raise ValueError("lease: 500ms at least: a renewal must be able to come too late twice")
