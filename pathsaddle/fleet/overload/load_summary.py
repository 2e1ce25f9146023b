"""What a member tells of its load: one record of at most 200 bytes, whatever its size or trouble.

Form: version, what it could serve, trim, what stood idle, what waited, all offered work over some seconds,
offered work by band, then the customers that offer most, each by a short hash. Rates are slot-ticks a tick,
that is, slots kept busy. A record that is none raises BadWord and is passed over.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from hashlib import blake2b
from math import isfinite

from pathsaddle.fleet.overload.errors import InvalidSummaryError
from pathsaddle.fleet.overload.shed_rank import RANK_BANDS

FORM = 1  # grows with the form
MAX_SUMMARY_BYTES = 200
PUBLISH_INTERVAL = 32  # customers
HEAD = struct.Struct(f"!BBfffff{RANK_BANDS}e")
CUSTOMER = struct.Struct("!He")
HIGHEST = 60_000.0  # what a half float holds


@dataclass(slots=True)
class LoadSummary:
    could: float  # slots of the whole fleet that it believes can be kept busy
    trim: float  # by how much its own experience corrects that
    free: float  # share of the slots it saw lately that stood idle
    line: float  # jobs that wait, for each slot of its part
    steady: float  # all offered work, over some seconds
    offered: list[float]  # by band, over the last one or so
    customers: dict[int, float] = field(default_factory=dict)

    @property
    def total(self) -> float:
        return sum(self.offered)


def rounded_figure(customer: str) -> int:
    return int.from_bytes(blake2b(customer.encode(), digest_size=2).digest())


def encode_summary(word: LoadSummary) -> bytes:
    rows = sorted(word.customers.items(), key=lambda row: (-row[1], row[0]))[:PUBLISH_INTERVAL]
    head = HEAD.pack(
        FORM,
        len(rows),
        word.could,
        word.trim,
        word.free,
        word.line,
        word.steady,
        *(min(HIGHEST, part) for part in word.offered),
    )
    return head + b"".join(CUSTOMER.pack(who, min(HIGHEST, rate)) for who, rate in rows)


def decode_summary(body: bytes) -> LoadSummary:
    """Raises BadWord."""
    try:
        form, count, could, trim, free, line, steady, *offered = HEAD.unpack_from(body)
        rows = [CUSTOMER.unpack_from(body, HEAD.size + CUSTOMER.size * i) for i in range(count)]
    except struct.error as fault:
        raise InvalidSummaryError(f"{len(body)} bytes are no record ({fault})") from None
    figures = [could, trim, free, line, steady, *offered, *(rate for _, rate in rows)]
    if (
        form != FORM
        or len(body) > MAX_SUMMARY_BYTES
        or not all(isfinite(part) and part >= 0.0 for part in figures)
    ):
        raise InvalidSummaryError(f"a record of form {form} with figures that are none")
    return LoadSummary(could, trim, free, line, steady, list(offered), dict(rows))
