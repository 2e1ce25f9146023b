"""Where a txn stands among all of the fleet, worked out alike by whoever has it.

A standing is a number: a band (half an octave of value for each unit of work that is still to be done) and,
within the band, a draw from what identifies the txn to all. So the order of any two txns is the same at every
member, and a level cuts it at the same place wherever a client asks. The draw is keyed and changes each
period, or the same customers' keys would be shed all day; it changes for each of them at a moment of its own,
or a whole band would turn over at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import floor, log2

from pathsaddle.trade import SECOND

RANK_BANDS = 16  # half octaves: 256 to 1 from the least to the dearest that are told apart
MIDDLE = 8
OVER = 6.0  # bands that what is beyond its customer's share falls by: an eighth of the value
RANK_PERIOD = 10 * SECOND


@dataclass(slots=True)
class AdmissionRequest:
    """What a txn says of itself to the gate. Times in ticks."""

    customer: str
    key: str
    scheme: str
    value: float  # in time
    late: float  # what part of it a late answer earns
    work: float  # slot-ticks that it takes, as far as known
    left: int  # until its SLA time is over
    run: float  # ticks that it takes alone
    spent: float = 0.0  # slot-ticks already done for it that would be lost by declining
    back: bool = False  # its client has asked before


def rank_hash(secret: bytes, ask: AdmissionRequest, now: int, what: bytes = b"") -> tuple[float, int]:
    """A number from 0 to 1, and its period, that are the same at every member for as long as the period
    lasts. `now` by Unix time: clocks that differ by d disagree for d of each period,
    which changes the choice but no bound.
    """
    name = b"\0".join(part.encode() for part in (ask.customer, ask.key, ask.scheme))
    shift = int.from_bytes(blake2b(name, digest_size=4, key=secret).digest()) % RANK_PERIOD
    period = (now + shift) // RANK_PERIOD
    digest = blake2b(b"%b\0%d\0%b" % (name, period, what), digest_size=6, key=secret).digest()
    return int.from_bytes(digest) / (1 << 48), period


def rank_band(ask: AdmissionRequest, unit: float, over: bool) -> int:
    """0 to BANDS - 1. unit: value for a slot-tick that stands in the middle, alike at all."""
    earns = ask.value if ask.left >= ask.run else ask.value * ask.late
    # Work already done is no cost any more: what is nearly finished stands above what has yet to begin.
    cost = max(ask.work - ask.spent, 0.1 * ask.work, 1.0)
    if earns <= 0.0:
        return 0
    place = MIDDLE + 2 * log2(earns / (cost * unit)) - (OVER if over else 0.0)
    return min(RANK_BANDS - 1, max(0, floor(place)))
