"""How much of each tenant's load is beyond its quota.

The admission gate calls it with the totals of each update; it keeps no state.
"""

from __future__ import annotations

from collections.abc import Mapping

from pathsaddle.fleet.overload.load_summary import TenantHash
from pathsaddle.fleet.overload.shed_level import LoadTotals, median

TOLERANCE = 1.25  # over its quota by less than that is what chance brings in a second


def excess_shares(
    quotas: Mapping[str, float], hashes: Mapping[str, TenantHash], totals: LoadTotals
) -> dict[str, float]:
    """Return the share of each tenant's requests that is beyond its quota, for those that exceed it.

    Where the median tenant exceeds its quota, all quotas grow by as much: a surge of all tenants is for the
    shed level to judge by value, and a flood of one does not move the median. Where a share of the fleet is
    visible, a tenant has that share of its quota, and more as the capacity factor tells of room.

    Args:
        quotas: By tenant, the slots that it may keep busy over the fleet.
        hashes: The hash of each of these tenants.
        totals: The totals of the fresh summaries.
    """
    visible_share = min(1.0, totals.visible_share * max(1.0, totals.capacity_factor))
    ratios = {
        tenant: totals.tenant_slots.get(hashes[tenant], 0.0) / (quota * visible_share)
        for tenant, quota in quotas.items()
    }
    limit = TOLERANCE * max(1.0, median(ratios.values()))
    return {tenant: 1.0 - limit / ratio for tenant, ratio in ratios.items() if ratio > limit}
