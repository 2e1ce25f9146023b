"""Sends gossip's and quotas' messages: builds the datagram and pays for it from membership's rate limiter.

Owns the list of outgoing datagrams. All parts of gossip, and `quota/shared_state.py` by way of `Gossip.send`,
send through it. It never sends more than the rate limiter allows and performs no I/O: the driver empties
`out`.

Invariant: bytes and datagrams in a second are bounded by the rate limiter together with everything else that
the member sends; the end of a partition adds nothing to it (judge `sent-too-much`;
`test_gaps_are_mended...`).
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from pathsaddle.fleet.gossip import counters
from pathsaddle.fleet.gossip.messages import (
    MAX_PAYLOAD_BYTES,
    Envelope,
    GossipMessage,
    encode,
)
from pathsaddle.fleet.gossip.records import RecordStore
from pathsaddle.fleet.messages import MAX_DATAGRAM_BYTES
from pathsaddle.fleet.rate_limiter import RateLimiter

# The part of the rate limiter's capacity that each kind of message leaves to others: probes, their answers
# and quotas come first, then the rest of membership's messages, then anti-entropy, dissemination and chunks.
# Gossip spends all that it may while many members publish much: as long as less was left than membership's
# dissemination needs, no suspicion was passed on and each lasted its longest.
QUOTA_RESERVE = 0.1
ANTI_ENTROPY_RESERVE = 0.45
DISSEMINATION_RESERVE = 0.5
CHUNK_RESERVE = 0.6
ENVELOPE_BYTES = 24  # of an envelope besides its names: the incarnation and the length fields


class GossipSender:
    """Turns messages into signed datagrams for one recipient each.

    Args:
        store: knows our incarnation and the peers' addresses, and counts messages that were held back.
        fleet: the fleet's name.
        key: the fleet's secret.
        rate_limiter: shared with membership.
    """

    def __init__(self, store: RecordStore, fleet: str, key: bytes, rate_limiter: RateLimiter) -> None:
        self.store, self.fleet, self.key, self.rate_limiter = store, fleet, key, rate_limiter
        self.out: list[tuple[str, bytes]] = []  # (address, datagram)

    def send(self, to: str, messages: list[GossipMessage], now: int, reserve: float) -> bool:
        """Queues one datagram; False: there is no such peer, or the rate limiter has nothing left for it."""
        peer = self.store.peers.get(to)
        if peer is None:
            return False
        data = encode(
            Envelope(self.fleet, self.store.name, self.store.own.incarnation, to, messages), self.key
        )
        if len(data) > MAX_DATAGRAM_BYTES or not self.rate_limiter.try_consume(len(data), now, reserve):
            self.store.counts[counters.HELD_BACK] += 1
            return False
        self.out.append((peer.address, data))
        return True

    def can_send_chunk(self, now: int) -> bool:
        """Whether the rate limiter would let a chunk through at `now`."""
        return self.rate_limiter.can_consume(MAX_PAYLOAD_BYTES, now, CHUNK_RESERVE)

    def max_message_bytes(self, to: str) -> int:
        """How much room a datagram to that peer has for messages."""
        return MAX_PAYLOAD_BYTES - len(self.fleet) - len(self.store.name) - len(to) - ENVELOPE_BYTES


@dataclass(frozen=True)
class GossipContext:
    """What the parts of one member's gossip share.

    Attributes:
        store: the records that the member knows.
        sender: by which all messages are sent.
        interval_ticks: between two anti-entropy exchanges, on the mean.
        rng: the one source of randomness.
    """

    store: RecordStore
    sender: GossipSender
    interval_ticks: int
    rng: Random
