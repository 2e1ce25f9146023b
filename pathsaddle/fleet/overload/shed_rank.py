"""The shed rank of a request: its place among all requests of the fleet, the same at every dispatcher.

A shed rank is a number. Its integer part is a band: half an octave of value for each unit of work that is
still to be done. Its fractional part is a hash of what identifies the request everywhere (tenant, key and
class). The order of any two requests is therefore the same at every member, and a shed level cuts that order
at the same place wherever a client asks.

The hash is keyed and changes each period, since otherwise the same tenants' keys would be shed all day. It
changes for each request at a moment of its own, since otherwise a whole band would be reordered at once.

The admission gate calls this module. It keeps no state and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import floor, log2
from typing import NamedTuple

from pathsaddle.scheduler_types import SECOND

RANK_BANDS = (
    16  # half octaves: value for work may differ by 256 to 1 before two requests share the outermost band
)
MIDDLE_BAND = 8  # of a request that has exactly the middle value for its work
OVER_QUOTA_PENALTY_BANDS = 6.0  # an eighth of the value
RANK_PERIOD_TICKS = 10 * SECOND  # how long a request keeps its hash
MIN_COST_SHARE = 0.1  # of the work: below it a nearly finished request would get an unbounded rank


@dataclass(slots=True)
class AdmissionRequest:
    """What the gate has to know of one request.

    Attributes:
        tenant: Who the request is billed to; empty where it is nobody.
        key: The affinity key, or what stands in for it.
        request_class: The class of the request.
        value: What an answer in time earns.
        late_share: The share of `value` that a late answer earns, from 0 to 1.
        work_slot_ticks: Slot-ticks that the request takes, as far as known.
        time_left_ticks: Ticks until its latency objective is missed.
        run_ticks: Ticks that it takes on an idle worker.
        spent_slot_ticks: Slot-ticks already spent on it, which a rejection would waste.
        is_retry: Whether its client has sent it before.
    """

    tenant: str
    key: str
    request_class: str
    value: float
    late_share: float
    work_slot_ticks: float
    time_left_ticks: int
    run_ticks: float
    spent_slot_ticks: float = 0.0
    is_retry: bool = False

    @property
    def can_be_in_time(self) -> bool:
        """Whether the latency objective can still be met."""
        return self.time_left_ticks >= self.run_ticks


class RankHash(NamedTuple):
    """A request's keyed hash, from 0 to 1, and the number of the period for which it holds."""

    fraction: float
    period: int


def rank_hash(secret: bytes, request: AdmissionRequest, now: int, purpose: bytes = b"") -> RankHash:
    """Return the request's hash, which is the same at every member for as long as the period lasts.

    Args:
        secret: The fleet's key.
        request: The request; only what identifies it is used.
        now: Ticks of Unix time. Clocks that differ by d disagree for d of each period, which changes who is
            shed but breaks no bound.
        purpose: Separates independent hashes of one request.
    """
    identity = b"\0".join(part.encode() for part in (request.tenant, request.key, request.request_class))
    shift_ticks = int.from_bytes(blake2b(identity, digest_size=4, key=secret).digest()) % RANK_PERIOD_TICKS
    period = (now + shift_ticks) // RANK_PERIOD_TICKS
    digest = blake2b(b"%b\0%d\0%b" % (identity, period, purpose), digest_size=6, key=secret).digest()
    return RankHash(int.from_bytes(digest) / (1 << 48), period)


def rank_band(request: AdmissionRequest, middle_value: float, is_over_quota: bool) -> int:
    """Return the request's band, from 0 to `RANK_BANDS` - 1.

    Args:
        request: The request.
        middle_value: The value for one slot-tick that belongs to `MIDDLE_BAND`; the same at all members.
        is_over_quota: Whether the request exceeds its tenant's quota.
    """
    value = request.value if request.can_be_in_time else request.value * request.late_share
    # Work that is already done costs nothing more: a nearly finished request ranks above one that has not
    # begun.
    work = request.work_slot_ticks
    cost_slot_ticks = max(work - request.spent_slot_ticks, MIN_COST_SHARE * work, 1.0)
    if value <= 0.0:
        return 0
    penalty = OVER_QUOTA_PENALTY_BANDS if is_over_quota else 0.0
    band = MIDDLE_BAND + 2 * log2(value / (cost_slot_ticks * middle_value)) - penalty
    return min(RANK_BANDS - 1, max(0, floor(band)))
