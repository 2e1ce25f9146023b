"""What is kept and what is sent: ballots, values, messages,
and datagrams of messages signed with the fleet's key.

A datagram is a byte that names the form, msgpack of one `Said`, and the first 16 bytes of HMAC-SHA256 over
all before. Its first byte is none of `fleet/messages.py`'s forms: the two never read each other's.
Knows no socket.
"""

from __future__ import annotations

import hmac
import zlib
from collections.abc import Iterable, Iterator, Sequence

import msgspec
from msgspec import Struct

FORM = 0x41
SUM = 16
MAX_DATAGRAM_BYTES = (
    1460  # bytes of a datagram: the longest value with the longest names, in one piece on a usual link
)
MAX_VALUE_BYTES = 1024  # bytes that a value may carry: a digest and a revision, not the thing itself
MAX_NAME_BYTES = 64
MAX_VOTERS = 7
MAX_CLOCK_DRIFT = 0.02  # by how much a monotonic clock may run faster or slower than it should


def surely(lease: int) -> int:
    """A lease's length by a clock that may be fast: over by then for certain."""
    return int(lease * (1 + MAX_CLOCK_DRIFT)) + 2


def maybe(lease: int) -> int:
    """And by one that may be slow: not over until then for certain."""
    return int(lease * (1 - 2 * MAX_CLOCK_DRIFT)) - 1


class Ballot(Struct, array_like=True, frozen=True, order=True):
    """Of two the higher holds. `name`, `life`: whose it is; no two processes have both the same."""

    round: int
    name: str
    life: int


class Value(Struct, array_like=True, frozen=True):
    """What a register holds.

    number: grows with each owner and is never used twice. lease: its length in ticks. revision: grows with
    each change of `data`, which belongs to whoever owns the key and outlives its owners.
    """

    owner: str
    life: int
    number: int
    lease: int
    revision: int
    data: bytes


NO_BALLOT = Ballot(0, "", 0)
NO_VALUE = Value("", 0, 0, 0, 0, b"")


class Prepare(Struct, array_like=True, frozen=True, tag=1):
    key: str
    ballot: Ballot


class Promise(Struct, array_like=True, frozen=True, tag=2):
    """No lower ballot will be accepted here; the highest accepted and its value."""

    key: str
    ballot: Ballot
    accepted: Ballot
    value: Value


class Accept(Struct, array_like=True, frozen=True, tag=3):
    """ask: by it the answer is known to be one to this very asking."""

    key: str
    ballot: Ballot
    value: Value
    ask: int


class Renew(Struct, array_like=True, frozen=True, tag=4):
    """Renews: whoever accepted this ballot and promised none higher holds for its owner a whole lease from
    now.
    """

    key: str
    ballot: Ballot
    ask: int


class Accepted(Struct, array_like=True, frozen=True, tag=5):
    """To Accept and to Hold."""

    key: str
    ballot: Ballot
    ask: int


class Refused(Struct, array_like=True, frozen=True, tag=6):
    """promised: the highest promised here. left: ticks until a lease that stands in the way has ended
    here.
    """

    key: str
    ballot: Ballot
    promised: Ballot
    left: int
    owner: str
    number: int


class Release(Struct, array_like=True, frozen=True, tag=7):
    """The owner by this ballot has stopped for good: what is held for it may be let go."""

    key: str
    ballot: Ballot


class LeaseReleased(Struct, array_like=True, frozen=True, tag=8):
    """Given back: whoever was refused here may come now."""

    key: str


class Read(Struct, array_like=True, frozen=True, tag=9):
    key: str
    ask: int


class ReadReply(Struct, array_like=True, frozen=True, tag=10):
    """To Read."""

    key: str
    ask: int
    promised: Ballot
    accepted: Ballot
    value: Value


class SyncRequest(Struct, array_like=True, frozen=True, tag=11):
    """A voter begins: from now on it is the one with this number of starts.
    All keys after `after` are asked for.
    """

    start: int
    after: str


class SyncReply(Struct, array_like=True, frozen=True, tag=12):
    """start: of whom asked, as it said. known: the highest of it known here; higher than `start`: it must
    take a higher one. part: whether the teller takes part, or begins itself with a whole disk. last: the last
    key that this covers; empty: all that there are.
    """

    start: int
    known: int
    part: bool
    after: str
    last: str
    rows: list[tuple[str, Ballot, Ballot, Value]]


Message = (
    Prepare
    | Promise
    | Accept
    | Renew
    | Accepted
    | Refused
    | Release
    | LeaseReleased
    | Read
    | ReadReply
    | SyncRequest
    | SyncReply
)


class Envelope(Struct, array_like=True, frozen=True):
    """One datagram.

    group: a sum over the voters' names: who has others is not listened to.
    to: the name of whom it is meant for. start: a voter's number of starts. starts: the highest that it knows
    of each voter, in the order of their names.
    """

    fleet: str
    group: int
    name: str
    to: str
    start: int
    starts: list[int]
    messages: list[Message]


class DatagramRejectedError(ValueError):
    """A datagram that is not read; its text is the reason, one of REASONS. Never leaves the driver."""


REASONS = ("cut", "stranger", "fleet", "voters", "misdirected")
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


def group_checksum(voters: Iterable[str]) -> int:
    return zlib.crc32("\0".join(sorted(voters)).encode())


def size_of(message: Message) -> int:
    return len(_encode(message))


def encode(said: Envelope, key: bytes) -> bytes:
    body = bytes((FORM,)) + _encode(said)
    return body + hmac.digest(key, body, "sha256")[:SUM]


def pack_datagrams(said: Envelope, messages: Sequence[Message], key: bytes) -> Iterator[bytes]:
    """As few datagrams as hold them all, in order."""
    base = len(encode(msgspec.structs.replace(said, messages=[]), key)) + 4
    part: list[Message] = []
    size = base
    for message in messages:
        more = size_of(message)
        if part and size + more > MAX_DATAGRAM_BYTES:
            yield encode(msgspec.structs.replace(said, messages=part), key)
            part, size = [], base
        part.append(message)
        size += more
    if part:
        yield encode(msgspec.structs.replace(said, messages=part), key)


def decode(data: bytes, key: bytes, fleet: str, group: int, me: str) -> Envelope:
    """Raises Unread."""
    if len(data) <= 1 + SUM or len(data) > MAX_DATAGRAM_BYTES or data[0] != FORM:
        raise DatagramRejectedError("cut")
    body, told = data[:-SUM], data[-SUM:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:SUM], told):
        raise DatagramRejectedError("stranger")
    try:
        said = _decode(body[1:])
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise DatagramRejectedError("cut") from None
    if said.fleet != fleet:
        raise DatagramRejectedError("fleet")
    if said.group != group:
        raise DatagramRejectedError("voters")
    if said.to != me:
        raise DatagramRejectedError("misdirected")
    return said
