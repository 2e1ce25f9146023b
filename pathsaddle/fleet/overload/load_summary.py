"""The load summary: what one dispatcher tells the others of its load, in one record of at most 200 bytes.

The record holds, in this order: format version, number of tenants, capacity, capacity factor, idle share,
queue, sustained load, offered load by band, then the tenants that offer most, each by a short hash. Loads are
slot-ticks a tick, that is, slots kept busy. All numbers are big-endian; the last two kinds are half floats.
This module owns the format and keeps no state; the gate calls it.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from hashlib import blake2b
from math import isfinite
from typing import TypeAlias

from pathsaddle.fleet.overload.errors import InvalidSummaryError
from pathsaddle.fleet.overload.shed_rank import RANK_BANDS

TenantHash: TypeAlias = int  # two bytes of a tenant's name

FORMAT_VERSION = 1  # the first byte; a new form gets the next number
MAX_SUMMARY_BYTES = 200  # what the gossip layer can carry for each member
MAX_TENANTS = 32  # the busiest ones; more do not fit into MAX_SUMMARY_BYTES
HEADER = struct.Struct(f"!BBfffff{RANK_BANDS}e")
TENANT_LOAD = struct.Struct("!He")
MAX_HALF_FLOAT = 60_000.0  # below the largest finite half float


@dataclass(slots=True)
class LoadSummary:
    """One member's load and its view of the workers.

    Attributes:
        capacity_slots: Slots of the whole fleet that the member believes can be kept busy.
        capacity_factor: By how much the member's own experience corrects that.
        idle_share: Share of the slots that it saw lately that were idle.
        queue_per_slot: Requests that wait, for each slot of the member's share.
        sustained_slots: All offered load, averaged over some seconds.
        offered_slots: Offered load by band, averaged over about one second.
        tenant_slots: Offered load by tenant.
    """

    capacity_slots: float
    capacity_factor: float
    idle_share: float
    queue_per_slot: float
    sustained_slots: float
    offered_slots: list[float]
    tenant_slots: dict[TenantHash, float] = field(default_factory=dict)

    @property
    def total_slots(self) -> float:
        """The offered load of all bands."""
        return sum(self.offered_slots)


def tenant_hash(tenant: str) -> TenantHash:
    """Return the short hash by which summaries name a tenant."""
    return int.from_bytes(blake2b(tenant.encode(), digest_size=2).digest())


def encode_summary(summary: LoadSummary) -> bytes:
    """Return the record; only the `MAX_TENANTS` busiest tenants are in it."""
    tenants = sorted(summary.tenant_slots.items(), key=lambda row: (-row[1], row[0]))[:MAX_TENANTS]
    header = HEADER.pack(
        FORMAT_VERSION,
        len(tenants),
        summary.capacity_slots,
        summary.capacity_factor,
        summary.idle_share,
        summary.queue_per_slot,
        summary.sustained_slots,
        *(min(MAX_HALF_FLOAT, slots) for slots in summary.offered_slots),
    )
    return header + b"".join(
        TENANT_LOAD.pack(tenant, min(MAX_HALF_FLOAT, slots)) for tenant, slots in tenants
    )


def decode_summary(body: bytes) -> LoadSummary:
    """Return the summary that a record holds.

    Raises:
        InvalidSummaryError: The record has another format, is too short or too long, or holds a number that
        is negative or not finite.
    """
    try:
        version, count, capacity, factor, idle, queue, sustained, *offered = HEADER.unpack_from(body)
        tenants = [TENANT_LOAD.unpack_from(body, HEADER.size + TENANT_LOAD.size * i) for i in range(count)]
    except struct.error as error:
        raise InvalidSummaryError(f"{len(body)} bytes are no load summary ({error})") from None
    numbers = [capacity, factor, idle, queue, sustained, *offered, *(slots for _, slots in tenants)]
    is_valid = all(isfinite(number) and number >= 0.0 for number in numbers)
    if version != FORMAT_VERSION or len(body) > MAX_SUMMARY_BYTES or not is_valid:
        raise InvalidSummaryError(f"a load summary of format {version} with invalid numbers")
    return LoadSummary(capacity, factor, idle, queue, sustained, list(offered), dict(tenants))
