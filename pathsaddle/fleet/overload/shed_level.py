"""The shed level, below whose rank requests are rejected at once.

Every member that knows the same totals derives the same level.

Invariants, each with the test of `tests/test_overload.py` that breaks it where it does not hold:

- Difference: two members whose totals lead to levels t and u differ at most by |t - u| + 2 x
  `DEADBAND_BANDS`, once each has had |t - u| / `MAX_FALL_BANDS_PER_SECOND` seconds. Totals that differ by a
  share e of the capacity, where marginal bands hold at least a share m of it, lead to levels that differ by e
  / m bands (`AdmissionGate.test_the_same_request_is_shed_by_each_member_with_the_same_totals`).
- Influence: whatever one member's summary says, it counts in the offered load as at most `MAX_LOAD_TO_MEDIAN`
  times what the median member offers, or as that member's share of the capacity where that is more; in the
  capacity it counts as one of n values of a mean, clipped to half and twice the median
  (`Levels.test_a_member_that_claims_a_hundred_times_its_load_has_little_influence`).
- Pace: in any second a level rises by at most `MAX_RISE_BANDS_PER_SECOND` and falls by at most
  `MAX_FALL_BANDS_PER_SECOND` (`Levels.test_a_level_keeps_its_pace_also_after_a_pause`).
- Deadband: while the target is within `DEADBAND_BANDS` of the level, the level stays. Where only a share of
  the fleet is visible, the deadband is divided by the root of that share (ten times as wide at a hundredth),
  and the level moves slower by that root, down to a quarter
  (`Levels.test_totals_that_fluctuate_within_the_deadband_do_not_move_the_level`).

A member that is not heard keeps its share of the capacity: the others divide theirs among themselves, and
what their capacity factors teach them above it.

The admission gate calls this module with fresh summaries; it reads no clock and sends nothing.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from pathsaddle.fleet.overload.load_summary import LoadSummary, TenantHash
from pathsaddle.fleet.overload.shed_rank import RANK_BANDS
from pathsaddle.scheduler_types import SECOND

MAX_RISE_BANDS_PER_SECOND = 12.0  # harm comes quickly
MAX_FALL_BANDS_PER_SECOND = 4.0  # the whole scale in four seconds: trust comes back slowly
DEADBAND_BANDS = 0.1
MIN_VISIBLE_SHARE = 0.001  # keeps the deadband finite
MIN_PACE = 0.25  # of the whole pace, however little of the fleet is visible
MAX_LOAD_TO_MEDIAN = 2.0
MAX_QUEUE_PER_SLOT = 8.0  # the longest queue that a summary may claim
SUMMARY_TTL_TICKS = 4 * SECOND  # an older summary is ignored


def median(values: Iterable[float]) -> float:
    """Return the median; 0.0 of no values."""
    rows = sorted(values)
    return (rows[(len(rows) - 1) // 2] + rows[len(rows) // 2]) / 2 if rows else 0.0


class LoadTotals:
    """What the summaries add up to, for one member at one moment.

    Args:
        summaries: All fresh summaries, the member's own included.
        member_share: The share of the fleet that each member is, by configuration.

    Attributes:
        visible_share: The share of the fleet that the totals come from, from 0 to 1.
        capacity_slots: Slots of the whole fleet, a clipped mean.
        capacity_factor: The clipped mean of the members' factors.
        queue_per_slot: The mean queue.
        idle_share: The mean idle share.
        offered_slots: Offered load by band.
        tenant_slots: Offered load by tenant.
    """

    def __init__(self, summaries: Sequence[LoadSummary], member_share: float) -> None:
        count = max(1, len(summaries))
        self.visible_share = min(1.0, member_share * len(summaries))
        middle = median(summary.capacity_slots for summary in summaries)
        capacities = [min(2.0 * middle, max(0.5 * middle, summary.capacity_slots)) for summary in summaries]
        self.capacity_slots = sum(capacities) / count
        middle = median(summary.capacity_factor for summary in summaries)
        factors = [min(1.5 * middle, max(0.67 * middle, summary.capacity_factor)) for summary in summaries]
        self.capacity_factor = sum(factors) / count
        # At a member with few requests a single one that waits is a long queue: only the mean of all is
        # meaningful.
        self.queue_per_slot = (
            sum(min(MAX_QUEUE_PER_SLOT, summary.queue_per_slot) for summary in summaries) / count
        )
        self.idle_share = sum(min(1.0, summary.idle_share) for summary in summaries) / count
        scales = self._credible_scales(summaries, member_share)
        self.offered_slots = _offered_slots(summaries, scales)
        self.tenant_slots: dict[TenantHash, float] = {}
        for summary, scale in zip(summaries, scales, strict=True):
            for tenant, slots in summary.tenant_slots.items():
                self.tenant_slots[tenant] = self.tenant_slots.get(tenant, 0.0) + slots * scale

    def _credible_scales(self, summaries: Sequence[LoadSummary], member_share: float) -> list[float]:
        """Return the factor of each summary's load.

        A member that claims a hundred times its load counts as a busy one.
        """
        most = max(
            MAX_LOAD_TO_MEDIAN * median(summary.total_slots for summary in summaries),
            member_share * self.capacity_slots,
        )
        return [
            min(1.0, most / summary.total_slots) if summary.total_slots > most else 1.0
            for summary in summaries
        ]

    @property
    def usable_slots(self) -> float:
        """Slots for the visible members, corrected by the capacity factor."""
        return self.capacity_slots * self.visible_share * self.capacity_factor

    def target_level(self) -> float:
        """Return the lowest level above which the offered load fits; 0.0 where all of it does."""
        left_slots = self.usable_slots
        for band in reversed(range(RANK_BANDS)):
            offered = self.offered_slots[band]
            if offered > left_slots:
                return band + 1.0 - max(0.0, left_slots) / offered
            left_slots -= offered
        return 0.0

    def unused_slots(self) -> float:
        """Return the slots that the offered load leaves idle."""
        return max(0.0, self.usable_slots - sum(self.offered_slots))


def _offered_slots(summaries: Sequence[LoadSummary], scales: Sequence[float]) -> list[float]:
    """Return the offered load by band.

    A burst of a second is no overload, since queues take it up, and a second that is quieter than those
    before it counts at once. So the lesser of the last second's and the sustained load is taken, of the
    total: taken of each member's own few requests it would be far below the truth.
    """
    if all(scale == 1.0 for scale in scales):
        rows: list[list[float]] = [summary.offered_slots for summary in summaries]
    else:
        rows = [
            [slots * scale for slots in summary.offered_slots] if scale < 1.0 else summary.offered_slots
            for summary, scale in zip(summaries, scales, strict=True)
        ]
    offered = [sum(column) for column in zip(*rows, strict=False)] if rows else [0.0] * RANK_BANDS
    total = sum(offered)
    sustained = sum(summary.sustained_slots * scale for summary, scale in zip(summaries, scales, strict=True))
    if 0.0 < sustained < total:
        return [slots * sustained / total for slots in offered]
    return offered


class ShedLevel:
    """The level of one member, which follows its target at a limited pace.

    Attributes:
        value: The level, in bands: from 0.0, where nothing is shed.
        updated_at: The tick of the last update.
    """

    def __init__(self, now: int) -> None:
        self.value = 0.0
        self.updated_at = now

    def update(self, target: float, visible_share: float, now: int) -> float:
        """Move towards the target and return the level.

        Args:
            target: The level that the totals call for. A target of 0.0 is reached whatever the deadband, so
                that the level does not stay just above it.
            visible_share: The share of the fleet that the totals come from. Few requests fluctuate more than
                many, by the root.
            now: The current tick. A pause of this process counts as one second at most.
        """
        pace = min(SECOND, max(0, now - self.updated_at)) / SECOND
        self.updated_at = max(self.updated_at, now)
        distance = target - self.value
        if abs(distance) > DEADBAND_BANDS / max(MIN_VISIBLE_SHARE, visible_share) ** 0.5 or target == 0.0:
            pace *= max(MIN_PACE, visible_share**0.5)
            step = max(-MAX_FALL_BANDS_PER_SECOND * pace, distance)
            self.value += min(MAX_RISE_BANDS_PER_SECOND * pace, step)
        return self.value
