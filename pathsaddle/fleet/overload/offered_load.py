"""The load that clients offer to one member: by band, in total and by tenant.

The admission gate owns it and records each request once.
"""

from __future__ import annotations

from collections.abc import Collection

from pathsaddle.fleet.overload.decaying_rate import DecayingRate
from pathsaddle.fleet.overload.load_summary import MAX_TENANTS
from pathsaddle.fleet.overload.shed_rank import RANK_BANDS, AdmissionRequest
from pathsaddle.scheduler_types import SECOND

LOAD_WINDOW_TICKS = SECOND  # over which offered load is averaged
SUSTAINED_WINDOW_TICKS = 4 * SECOND  # over which all of it is averaged besides, against bursts


class OfferedLoad:
    """Decaying averages of offered load, in slots kept busy.

    Args:
        tenants: The tenants that have a quota; only these are counted one by one.
        now: The tick at which it begins with nothing.
    """

    def __init__(self, tenants: Collection[str], now: int) -> None:
        self.tenants = tenants
        self.by_band = [DecayingRate(now, LOAD_WINDOW_TICKS) for _ in range(RANK_BANDS)]
        self.sustained = DecayingRate(now, SUSTAINED_WINDOW_TICKS)
        self.by_tenant: dict[str, DecayingRate] = {}

    def record(self, request: AdmissionRequest, band: int, now: int) -> None:
        """Count a request that was offered at a tick."""
        work = request.work_slot_ticks
        self.by_band[band].add(work, now)
        self.sustained.add(work, now)
        if request.tenant in self.tenants:
            self.by_tenant.setdefault(request.tenant, DecayingRate(now, LOAD_WINDOW_TICKS)).add(work, now)

    def busiest_tenants(self, now: int) -> dict[str, float]:
        """Return the load of the tenants that offer most, as many as a load summary holds."""
        loads = {tenant: load for tenant, rate in self.by_tenant.items() if (load := rate.rate(now)) > 0.0}
        if len(loads) <= MAX_TENANTS:
            return loads
        busiest = sorted(loads, key=lambda tenant: (-loads[tenant], tenant))[:MAX_TENANTS]
        return {tenant: loads[tenant] for tenant in busiest}
