"""The capacity factor: by how much a member's own experience corrects the capacity that the summaries state.

What is believed of the workers may be wrong: they may be slower than thought, or half of the fleet may not be
visible. The factor falls while queues are seen and rises while slots are seen idle, by small steps. The
admission gate owns it.
"""

from __future__ import annotations

from pathsaddle.fleet.overload.shed_level import LoadTotals

MIN_FACTOR, MAX_FACTOR = 0.5, 1.5  # the mechanism may believe workers to be smaller than they are
LONG_QUEUE_PER_SLOT = 0.25  # waiting requests for each slot: above it the fleet is overloaded
HIGH_IDLE_SHARE = 0.06  # above it slots are idle
HIGH_REJECTION_RATE = 0.2  # of the last attempts: above it workers are overloaded
# A step, by the queue's length or the idle share. Four times that size halved the factor while a queue of
# three seconds was worked off, and a fifth of all slots was idle for ten seconds.
STEP = 0.01
MAX_FALL_STEPS, MAX_RISE_STEPS = 3.0, 5.0
FOLLOW_RATE = 0.05  # the share of the distance that is covered at each update
MOST_VISIBLE_SHARE = (
    0.9  # less is a partitioned fleet, or one of which half is dead: nobody can tell these apart
)


class CapacityFactor:
    """One member's capacity factor.

    Attributes:
        value: The factor; 1.0 where the stated capacity is right.
    """

    def __init__(self) -> None:
        self.value = 1.0

    def update(self, totals: LoadTotals, rejection_rate: float, is_shedding: bool) -> None:
        """Move the factor by what the totals and the member's own attempts show.

        It rises only while it is what limits admission: a factor that grew in quiet times would admit
        everything when trouble comes.

        Args:
            totals: The totals of the fresh summaries.
            rejection_rate: The share of this member's last attempts that workers refused as full.
            is_shedding: Whether the shed level is above zero.
        """
        queue, idle = totals.queue_per_slot, totals.idle_share
        is_partitioned = totals.visible_share < MOST_VISIBLE_SHARE
        if queue > LONG_QUEUE_PER_SLOT or rejection_rate > HIGH_REJECTION_RATE:
            self.value *= 1.0 - STEP * min(MAX_FALL_STEPS, max(1.0, queue / LONG_QUEUE_PER_SLOT))
        elif idle > HIGH_IDLE_SHARE and queue < LONG_QUEUE_PER_SLOT / 2 and (is_shedding or is_partitioned):
            # In a partition idle slots are the shares of others that these do not use: better learnt before
            # they are missed.
            self.value *= 1.0 + STEP * min(MAX_RISE_STEPS, idle / HIGH_IDLE_SHARE)
        elif not is_shedding:
            self.value += FOLLOW_RATE * (1.0 - self.value)
        # The factor follows those of the others: one that differs from all others would only be clipped by
        # them.
        if totals.visible_share > MOST_VISIBLE_SHARE:
            self.value += FOLLOW_RATE * (totals.capacity_factor - self.value)
        self.value = min(MAX_FACTOR / totals.visible_share, max(MIN_FACTOR, self.value))
