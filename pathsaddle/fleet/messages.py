"""The datagrams of membership: their types, their encoding and their authentication.

One datagram is at most `MAX_DATAGRAM_BYTES` long: a byte that names the format, one msgpack array, then the
first `SUM` bytes of an HMAC-SHA256 with the fleet's key over all before it. A datagram that can't be
authenticated or decoded raises `DatagramRejectedError` with the reason by which it is counted, and nothing in
it is believed.

This module translates the wire's field order into names: msgpack arrays carry no names, so every field below
may be renamed, but none may be moved. `fleet/gossip/messages.py` uses the same seal with the format
`CARRIED`. The module never opens a socket.
"""

from __future__ import annotations

import hmac
from enum import IntEnum

import msgspec
from msgspec import Struct

FORM = 1  # the format of this module's datagrams; a datagram of a higher format is not decoded
MAX_DATAGRAM_BYTES = 1200  # below what a usual link carries without fragmentation
SUM = 16  # bytes of the HMAC that are sent
CARRIED = 2  # the format of gossip and quotas; it is sent only to members that announce at least this format

_MAX_COUNTER = 1 << 62  # incarnations and refutation counts from the wire are below this


class MemberState(IntEnum):
    """SWIM's states of a member, in the order in which one overrides another."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


ALIVE, SUSPECT, DEAD, LEFT = MemberState
STATES = ("alive", "suspect", "dead", "left")  # by state, as logs and control answers name them


class MessageKind(IntEnum):
    """The kinds of messages, by their number on the wire."""

    PROBE = 0
    ACK = 1
    INDIRECT_PROBE = 2  # asks the recipient to probe another member on behalf of the sender
    INDIRECT_ACK = 3  # the member that was probed on another's behalf has answered
    NACK = 4  # it has not answered in time (Lifeguard); with echo 0 only the records in the message matter
    PAGE_REQUEST = 5  # one page of an anti-entropy exchange
    PAGE_REPLY = 6


Rank = tuple[int, int, int]  # incarnation, refutations, state
AddressedDatagram = tuple[str, bytes]  # where it goes, and its bytes
OpenedDatagram = tuple[int, bytes]  # its format and its payload


class MemberRecord(Struct, array_like=True, frozen=True):
    """What is known of one member. Of two records for a name, the one with the higher `rank` wins.

    Attributes:
        name: The member's name, unique in the fleet.
        incarnation: The number of one run of its process; a restart under the same name has a higher one.
        refutations: How often this incarnation has refuted what was said of it.
        state: A `MemberState`; an integer because a datagram is validated as a whole (`decode`).
        address: `host:port` at which other members reach it.
        zone: The zone in which it runs.
        form: The highest datagram format that it decodes.
        by: The member that says so, where the state is not `ALIVE`.
    """

    name: str
    incarnation: int
    refutations: int
    state: int
    address: str
    zone: str
    form: int = FORM
    by: str = ""

    @property
    def rank(self) -> Rank:
        """The order of precedence between records of the same name."""
        return self.incarnation, self.refutations, self.state


class SeenAge(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """How long ago a member surely ran, as the sender of a message reports it.

    Attributes:
        name: The member that was seen.
        incarnation: Its incarnation that was seen.
        age_ticks: How long before this message was made, at most.
    """

    name: str
    incarnation: int
    age_ticks: int


class Message(Struct, array_like=True, frozen=True):
    """One datagram.

    Attributes:
        fleet: The fleet's name; a datagram of another fleet is rejected.
        sender: The sender's own record.
        number: Grows with each datagram of an incarnation; repeats are recognized by it.
        recipient: The name of the member for whom it is meant; empty where only an address is known.
        kind: A `MessageKind`; messages of a kind that is not known count as taken, and only their records are
            used.
        echo: A random number by which an answer is matched to its question.
        subject: INDIRECT_PROBE: the member to be probed. INDIRECT_ACK, NACK: the member that did or did not
            answer.
        after: PAGE_REQUEST, PAGE_REPLY: the records are all that the sender has of names above this one, ...
        up_to: ... up to and including this one; empty: to the end.
        seen: Members that the sender has seen. INDIRECT_ACK: the member that was probed.
        records: Records of other members.
    """

    fleet: str
    sender: MemberRecord
    number: int
    recipient: str
    kind: int
    echo: int = 0
    subject: str = ""
    after: str = ""
    up_to: str = ""
    seen: list[SeenAge] = []
    records: list[MemberRecord] = []


class DatagramRejectedError(ValueError):
    """A datagram that is not used; the error's text is the reason, one of `REASONS`."""


REASONS = ("cut", "newer", "stranger", "fleet", "repeated", "misdirected")
OVERHEAD = 1 + SUM  # bytes of the format and of the HMAC
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def size_of(record: MemberRecord) -> int:
    """Returns how many bytes a record takes in a datagram."""
    return len(_encode(record))


def sealed(form: int, payload: bytes, key: bytes) -> bytes:
    """Returns a datagram of the format `form` around a payload, authenticated with the fleet's key."""
    body = bytes((form,)) + payload
    return body + hmac.digest(key, body, "sha256")[:SUM]


def opened(data: bytes, key: bytes) -> OpenedDatagram:
    """Returns the format and the payload of a datagram.

    Raises:
        DatagramRejectedError: Its length is impossible, or it was not made with this key.
    """
    if len(data) <= OVERHEAD or len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramRejectedError("cut")
    body, digest = data[:-SUM], data[-SUM:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SUM], digest):
        # Without a right digest a datagram of another format can't be told from noise; with one it is a
        # peer's.
        raise DatagramRejectedError("stranger")
    return body[0], body[1:]


def encode(message: Message, key: bytes) -> bytes:
    """Returns the datagram of a message; the caller checks its length."""
    return sealed(FORM, _encode(message), key)


def decode(data: bytes, key: bytes, fleet: str) -> Message:
    """Returns the message of a datagram of this fleet.

    Raises:
        DatagramRejectedError: The datagram can't be authenticated or decoded, or belongs to another fleet.
    """
    form, payload = opened(data, key)
    if form > FORM:
        raise DatagramRejectedError("newer")
    try:
        message = _decode(payload)
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise DatagramRejectedError("cut") from None
    if message.fleet != fleet:
        raise DatagramRejectedError("fleet")
    if not all(map(_is_valid, (message.sender, *message.records))):
        raise DatagramRejectedError("cut")
    return message


def _is_valid(record: MemberRecord) -> bool:
    return (
        record.state in range(len(MemberState))
        and 0 <= record.incarnation < _MAX_COUNTER
        and 0 <= record.refutations < _MAX_COUNTER
        and bool(record.name)
    )
