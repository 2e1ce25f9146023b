"""The form of what the fleet's shared state says in a datagram: under the fleet's seal,
told apart by its first byte.

A packet holds any number of sayings for one taker. What can't be used is refused with the reason by which it
is counted.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from pathsaddle.fleet.messages import CARRIED, MAX_DATAGRAM_BYTES, SUM, DatagramRejectedError, opened, sealed

MAX_RECORD_BYTES = 400  # bytes of a record at most
PIECE = 900  # bytes of a document in one datagram
DIGEST = 32


class Told(Struct, array_like=True, frozen=True):
    """A record. least, most: how old it is by its teller's clock; most -1: not known."""

    topic: str
    version: int
    body: bytes
    least: int
    most: int


class Delta(Struct, array_like=True, frozen=True):
    """Of one member's life: whoever has all up to `since` has all up to `upto` with these."""

    name: str
    life: int
    since: int
    upto: int
    records: list[Told]


class Row(Struct, array_like=True, frozen=True):
    """All up to `seen` of a member's life are here; at some moment of the last `ago` ticks it had no later
    ones (-1: not known).
    """

    name: str
    life: int
    seen: int
    ago: int


class News(Struct, array_like=True, tag=0, frozen=True):
    deltas: list[Delta]


class Digest(Struct, array_like=True, tag=1, frozen=True):
    """The rows are all that its sender has of names after `first` up to `last`;
    an empty `last`: to the end.
    """

    echo: int
    first: str
    last: str
    rows: list[Row]


class DigestReply(Struct, array_like=True, tag=2, frozen=True):
    """What the answering one has better, and its rows of whom it has heard later or lacks something."""

    echo: int
    rows: list[Row]
    deltas: list[Delta]
    more: bool


class Ask(Struct, array_like=True, tag=3, frozen=True):
    """For so many pieces of a document: of those whose bits stand in `lacks` (none: any),
    whichever are there.
    """

    digest: bytes
    most: int
    lacks: bytes = b""


class Piece(Struct, array_like=True, tag=4, frozen=True):
    """size: of the whole."""

    digest: bytes
    size: int
    number: int
    data: bytes


class QuotaRequestMessage(Struct, array_like=True, tag=5, frozen=True):
    """A `shares.Want` of the packet's sender."""

    budget: str
    number: int
    units: int
    renews: int = 0


class GrantMessage(Struct, array_like=True, tag=6, frozen=True):
    """A `shares.Lend` of the packet's sender to its taker."""

    budget: str
    taker_life: int
    number: int
    units: int
    lease: int


class ReleaseMessage(Struct, array_like=True, tag=7, frozen=True):
    """A `shares.Back` of the packet's sender."""

    budget: str
    number: int


GossipMessage = (
    News | Digest | DigestReply | Ask | Piece | QuotaRequestMessage | GrantMessage | ReleaseMessage
)


class Packet(Struct, array_like=True, frozen=True):
    fleet: str
    name: str
    life: int
    to: str
    said: list[GossipMessage]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Packet).decode
ROOM = MAX_DATAGRAM_BYTES - SUM - 1


def size_of(saying: Struct) -> int:
    return len(_encode(saying))


def encode(packet: Packet, key: bytes) -> bytes:
    return sealed(CARRIED, _encode(packet), key)


def decode(data: bytes, key: bytes, fleet: str) -> Packet:
    """Raises Refused."""
    form, told = opened(data, key)
    if form != CARRIED:
        raise DatagramRejectedError("newer")
    try:
        packet = _decode(told)
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise DatagramRejectedError("cut") from None
    if packet.fleet != fleet:
        raise DatagramRejectedError("fleet")
    if not packet.name or not 0 <= packet.life < 1 << 62:
        raise DatagramRejectedError("cut")
    return packet
