"""The form of what members send one another: one datagram, at most 1,200 bytes, signed with the fleet's key.

A byte that names the form, then msgpack (one array), then the first 16 bytes of HMAC-SHA256 over all before. What
can't be used is refused with the reason by which it is counted; nothing of it is believed. Knows no socket.
"""

from __future__ import annotations

import hmac

import msgspec
from msgspec import Struct

FORM = 1  # of this text; a datagram of a higher one is not read
MAX_DATAGRAM_BYTES = 1200  # bytes: under what passes a usual link in one piece
SUM = 16
CARRIED = (
    2  # what is not membership's (fleet/state): not read by members that tell a lower form of themselves
)

ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")
PING, ACK, ASK, RELAYED, MISSED, PAGE, PAGED = range(7)


class MemberRecord(Struct, array_like=True, frozen=True):
    """What is told of one member. Of two rows for a name the one with the higher (life, count, state) holds.

    life: the number of one run of its process; a restart under the same name has a higher one.
    count: grows each time that the member itself refutes what is said of it.
    by: who said so, where it is suspected or dead.
    form: the highest form of datagrams that it reads.
    """

    name: str
    life: int
    count: int
    state: int
    address: str
    zone: str
    form: int = FORM
    by: str = ""

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.life, self.count, self.state


class Message(Struct, array_like=True, frozen=True):
    """One datagram.

    me: its sender's own row.
    number: grows with each datagram of a life; repeats are known by it.
    to: the name of whom it is meant for.
    echo: by what an answer is known to be one to this question.
    about: who is to be asked (ASK), or has or has not answered (RELAYED, MISSED).
    first, last: PAGE, PAGED: the rows are all that the sender has of names after `first` up to `last`; an empty
      `last`: to the end.
    heard: (name, life, ticks ago) of members that the answering one has heard from; RELAYED: of whom it asked.
    """

    fleet: str
    me: MemberRecord
    number: int
    to: str
    kind: int
    echo: int = 0
    about: str = ""
    first: str = ""
    last: str = ""
    heard: list[tuple[str, int, int]] = []
    rows: list[MemberRecord] = []


class DatagramRejectedError(ValueError):
    """A datagram that is not read; its text is the reason, one of REASONS."""


REASONS = ("cut", "newer", "stranger", "fleet", "repeated", "misdirected")
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode
OVERHEAD = 1 + SUM


def size_of(row: MemberRecord) -> int:
    return len(_encode(row))


def sealed(form: int, told: bytes, key: bytes) -> bytes:
    body = bytes((form,)) + told
    return body + hmac.digest(key, body, "sha256")[:SUM]


def opened(data: bytes, key: bytes) -> tuple[int, bytes]:
    """Its form and what it holds; raises Refused."""
    if len(data) <= OVERHEAD or len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramRejectedError("cut")
    body, told = data[:-SUM], data[-SUM:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SUM], told):
        # One of another form can't be told from noise without its sum; one whose sum is right is a fellow's.
        raise DatagramRejectedError("stranger")
    return body[0], body[1:]


def encode(said: Message, key: bytes) -> bytes:
    return sealed(FORM, _encode(said), key)


def decode(data: bytes, key: bytes, fleet: str) -> Message:
    """Raises Refused."""
    form, told = opened(data, key)
    if form > FORM:
        raise DatagramRejectedError("newer")
    try:
        said = _decode(told)
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise DatagramRejectedError("cut") from None
    if said.fleet != fleet:
        raise DatagramRejectedError("fleet")
    if any(
        row.state not in range(4)
        or not 0 <= row.life < 1 << 62
        or not 0 <= row.count < 1 << 62
        or not row.name
        for row in (said.me, *said.rows)
    ):
        raise DatagramRejectedError("cut")
    return said
