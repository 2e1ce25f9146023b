"""Ballots, values and messages of the replicated register, and the datagrams that carry them.

A datagram is one byte that names its type, msgpack of one `Envelope`, and the first 16 bytes of HMAC-SHA256
over all of that, made with the fleet's key. The type byte is none of those of `fleet/messages.py`, so that
neither protocol decodes the other's datagrams. All structs are msgpack arrays: the order of their fields is
the wire format, and their names are free. The proposer, the acceptor and the driver use this module; it opens
no socket and reads no clock.
"""

from __future__ import annotations

import hmac
import zlib
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import msgspec
from msgspec import Struct

DATAGRAM_TYPE = 0x41
MAC_BYTES = 16
# The longest value with the longest names fits into one datagram, which fits into one packet of a usual link.
MAX_DATAGRAM_BYTES = 1460
MAX_VALUE_BYTES = 1024  # a value carries a digest and a revision, not the thing itself
MAX_NAME_BYTES = 64
MAX_VOTERS = 7
MAX_CLOCK_DRIFT = 0.02  # the part by which a monotonic clock may run faster or slower than it should
MESSAGE_LIST_HEADER_BYTES = 4  # by how much the header of a msgpack array may outgrow that of an empty one

Ticks = int  # tenths of a millisecond of a monotonic clock; a span, or a moment of the local clock
Incarnation = int  # the number of one run of a process under one name; grows with each
FencingToken = int  # grows with each lease holder of a key; 0: none
Revision = int  # grows with each change of a register's data; 0: never changed
RequestId = int  # ties an answer to the request that it answers


def certain_lease_end(started_at: Ticks, lease_ticks: Ticks) -> Ticks:
    """Return the moment after which a lease is over by any clock, on a local clock that may be fast."""
    return started_at + int(lease_ticks * (1 + MAX_CLOCK_DRIFT)) + 2


def possible_lease_end(started_at: Ticks, lease_ticks: Ticks) -> Ticks:
    """Return the moment before which a lease stands by any clock, on a local clock that may be slow."""
    return started_at + int(lease_ticks * (1 - 2 * MAX_CLOCK_DRIFT)) - 1


class Ballot(Struct, array_like=True, frozen=True, order=True):
    """Paxos' number of a proposal. The higher of two ballots wins.

    Attributes:
        round: The round, by which ballots are ordered first.
        proposer: The name of the process that proposes.
        incarnation: Its incarnation; no two processes share both name and incarnation.
    """

    round: int
    proposer: str
    incarnation: Incarnation


class Value(Struct, array_like=True, frozen=True):
    """What a register holds.

    Attributes:
        holder: The name of the lease holder.
        incarnation: The lease holder's incarnation.
        fencing_token: Grows with each lease holder and is never used twice.
        lease_ticks: The length of the lease.
        revision: Grows with each change of `data`.
        data: Changed by the lease holder alone; it outlives the lease.
    """

    holder: str
    incarnation: Incarnation
    fencing_token: FencingToken
    lease_ticks: Ticks
    revision: Revision
    data: bytes

    @property
    def number(self) -> FencingToken:
        """The fencing token under its former name, by which `settings/` reads it."""
        return self.fencing_token


NO_BALLOT = Ballot(0, "", 0)
NO_VALUE = Value("", 0, 0, 0, 0, b"")


class KeyState(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What an acceptor must never forget of one key.

    Attributes:
        promised: The highest ballot that was promised; none lower is accepted any more.
        accepted: The highest ballot that was accepted.
        value: The value that was accepted with it.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value = NO_VALUE


NO_STATE = KeyState()


class Prepare(Struct, array_like=True, frozen=True, tag=1):
    """Paxos' phase 1a: a proposer asks for a promise to its ballot."""

    key: str
    ballot: Ballot


class Promise(Struct, array_like=True, frozen=True, tag=2):
    """Paxos' phase 1b: no lower ballot will be accepted; with the highest accepted ballot and its value."""

    key: str
    ballot: Ballot
    accepted: Ballot
    value: Value


class Accept(Struct, array_like=True, frozen=True, tag=3):
    """Paxos' phase 2a: a proposer asks the acceptor to accept a value under a promised ballot."""

    key: str
    ballot: Ballot
    value: Value
    request_id: RequestId


class Renew(Struct, array_like=True, frozen=True, tag=4):
    """An acceptor that accepted this ballot, and promised none higher, holds a whole lease from now on."""

    key: str
    ballot: Ballot
    request_id: RequestId


class Accepted(Struct, array_like=True, frozen=True, tag=5):
    """Paxos' phase 2b: the answer to `Accept` and to `Renew`."""

    key: str
    ballot: Ballot
    request_id: RequestId


class Refused(Struct, array_like=True, frozen=True, tag=6):
    """The acceptor does not follow a ballot.

    Attributes:
        key: The key.
        ballot: The ballot that is refused.
        promised: The highest ballot that was promised here.
        remaining_ticks: Until a lease that stands in the way has ended here; 0 where none does.
        holder: Who holds that lease.
        fencing_token: Its fencing token.
    """

    key: str
    ballot: Ballot
    promised: Ballot
    remaining_ticks: Ticks
    holder: str
    fencing_token: FencingToken


class Release(Struct, array_like=True, frozen=True, tag=7):
    """The lease holder by this ballot has stopped for good; acceptors may end its lease early."""

    key: str
    ballot: Ballot


class LeaseReleased(Struct, array_like=True, frozen=True, tag=8):
    """Sent to those that were refused because of a lease: it was released, and they may campaign again."""

    key: str


class Read(Struct, array_like=True, frozen=True, tag=9):
    """Asks an acceptor for its state of a key."""

    key: str
    request_id: RequestId


class ReadReply(Struct, array_like=True, frozen=True, tag=10):
    """The answer to `Read`."""

    key: str
    request_id: RequestId
    promised: Ballot
    accepted: Ballot
    value: Value


class SyncRequest(Struct, array_like=True, frozen=True, tag=11):
    """An acceptor that starts asks another for its state.

    Attributes:
        incarnation: The sender's; from now on the receiver counts on no lower one.
        after: Keys up to and including this one are here already.
    """

    incarnation: Incarnation
    after: str


class SyncedKey(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One key with its state, as one acceptor hands it to another."""

    key: str
    promised: Ballot
    accepted: Ballot
    value: Value

    @property
    def state(self) -> KeyState:
        """The state without the key."""
        return KeyState(self.promised, self.accepted, self.value)


class SyncReply(Struct, array_like=True, frozen=True, tag=12):
    """One page of the state of an acceptor, for another one that starts.

    Attributes:
        incarnation: As it stood in the request.
        known_incarnation: The highest of the receiver's that is known; if it is higher, the receiver must
            exceed it.
        is_participating: Whether the sender takes part; otherwise it starts itself, with an intact disk.
        after: As it stood in the request.
        last_key: The last key of this page; empty if no further page follows.
        keys: The page, in the order of the keys.
    """

    incarnation: Incarnation
    known_incarnation: Incarnation
    is_participating: bool
    after: str
    last_key: str
    keys: list[SyncedKey]


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
# What acceptors receive; all other messages are for a lease manager.
TO_ACCEPTOR = (Prepare, Accept, Renew, Release, Read, SyncRequest, SyncReply)


class Outgoing(NamedTuple):
    """A message and the name of the process that it is for."""

    receiver: str
    message: Message


class Envelope(Struct, array_like=True, frozen=True):
    """The content of one datagram.

    Attributes:
        fleet: The fleet's name.
        acceptor_checksum: `acceptor_set_checksum` of the acceptors' names; a datagram with another one is
            rejected.
        sender: The name of the sending process.
        receiver: The name of the process that it is for.
        incarnation: The sender's incarnation as an acceptor; 0 if it sends as a lease manager.
        known_incarnations: The highest that the sender knows of each acceptor, in the order of their names.
        messages: One or more messages.
    """

    fleet: str
    acceptor_checksum: int
    sender: str
    receiver: str
    incarnation: Incarnation
    known_incarnations: list[Incarnation]
    messages: list[Message]


class DatagramRejectedError(ValueError):
    """A datagram that is not decoded; its text is the reason, one of REASONS. It never leaves the driver."""


REASONS = ("cut", "stranger", "fleet", "voters", "misdirected")  # as counters name them
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


def acceptor_set_checksum(acceptors: Iterable[str]) -> int:
    """Return a checksum of the names of all acceptors, whatever their order."""
    return zlib.crc32("\0".join(sorted(acceptors)).encode())


def encoded_size(message: Message) -> int:
    """Return the bytes that a message takes in a datagram."""
    return len(_encode(message))


def encode(envelope: Envelope, key: bytes) -> bytes:
    """Return the datagram of an envelope, signed with the fleet's key."""
    body = bytes((DATAGRAM_TYPE,)) + _encode(envelope)
    return body + hmac.digest(key, body, "sha256")[:MAC_BYTES]


def pack_datagrams(envelope: Envelope, messages: Sequence[Message], key: bytes) -> Iterator[bytes]:
    """Yield as few datagrams as carry all messages in their order.

    Args:
        envelope: Has all but the messages.
        messages: What is to be sent.
        key: The fleet's key.
    """
    empty_size = len(encode(msgspec.structs.replace(envelope, messages=[]), key)) + MESSAGE_LIST_HEADER_BYTES
    batch: list[Message] = []
    size = empty_size
    for message in messages:
        added = encoded_size(message)
        if batch and size + added > MAX_DATAGRAM_BYTES:
            yield encode(msgspec.structs.replace(envelope, messages=batch), key)
            batch, size = [], empty_size
        batch.append(message)
        size += added
    if batch:
        yield encode(msgspec.structs.replace(envelope, messages=batch), key)


def decode(data: bytes, key: bytes, fleet: str, acceptor_checksum: int, receiver: str) -> Envelope:
    """Return the envelope of a datagram.

    Args:
        data: The datagram's bytes.
        key: The fleet's key.
        fleet: The fleet's name.
        acceptor_checksum: `acceptor_set_checksum` of this process's own configuration.
        receiver: The name of this process.

    Raises:
        DatagramRejectedError: It is too short, too long, not signed with the key, not well-formed, or not for
            us.
    """
    if len(data) <= 1 + MAC_BYTES or len(data) > MAX_DATAGRAM_BYTES or data[0] != DATAGRAM_TYPE:
        raise DatagramRejectedError("cut")
    body, signature = data[:-MAC_BYTES], data[-MAC_BYTES:]
    if not hmac.compare_digest(hmac.digest(key, body, "sha256")[:MAC_BYTES], signature):
        raise DatagramRejectedError("stranger")
    try:
        envelope = _decode(body[1:])
    except (msgspec.DecodeError, msgspec.ValidationError):
        raise DatagramRejectedError("cut") from None
    if envelope.fleet != fleet:
        raise DatagramRejectedError("fleet")
    if envelope.acceptor_checksum != acceptor_checksum:
        raise DatagramRejectedError("voters")
    if envelope.receiver != receiver:
        raise DatagramRejectedError("misdirected")
    return envelope
