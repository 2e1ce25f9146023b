"""The admission gate of one member: which requests and retries it admits, and what it tells the others.

The gate is free of I/O. It is handed the moments, what this member saw, and the others' records;
`encoded_summary` is what to tell the others. A member that hears nothing goes by its own share of the
capacity and by what its own attempts meet, and every bound of the package holds all the same
(docs/overload.md).

Recovery waits for no fixed time: the shed level falls as the totals do, and beyond the totals the capacity
factor rises while idle slots are seen and falls while queues are seen. What a trigger leaves behind (returns,
held requests, retries) is offered load like any other. It has its bands, and its retries come out of a
budget, so that it cannot sustain the overload that it comes from.

The driver, the scheduler's gate and the emulators call the gate. It never sends, sets no timer and draws no
random number.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from pathsaddle.fleet.overload.capacity_factor import CapacityFactor
from pathsaddle.fleet.overload.load_summary import LoadSummary, encode_summary, tenant_hash
from pathsaddle.fleet.overload.offered_load import OfferedLoad
from pathsaddle.fleet.overload.peer_summaries import PeerRecord, PeerSummaries, PeerSummary
from pathsaddle.fleet.overload.retry_advice import RetryAdvice
from pathsaddle.fleet.overload.retry_budgets import BudgetKind, Budgets, Limiter
from pathsaddle.fleet.overload.shed_level import LoadTotals, ShedLevel
from pathsaddle.fleet.overload.shed_rank import AdmissionRequest, rank_band, rank_hash
from pathsaddle.fleet.overload.tenant_excess import excess_shares
from pathsaddle.scheduler_types import SECOND

UPDATE_INTERVAL_TICKS = SECOND // 10
# Two hundred summaries each tenth of a second would take a fortieth of a core; three updates a second are
# enough.
MEMBERS_AT_FULL_PACE = 64  # with more of them updates are rarer
MAX_MISSED_UPDATES = 5  # after so many the level is updated before the next decision
REJECTION_WEIGHT = 0.05  # of the latest attempt in the rejection rate
MAX_REMEMBERED_WAITS = 2048  # rejected requests whose advised wait is remembered
MIN_CAPACITY_SLOTS = 1e-9  # keeps the idle share finite


@dataclass(frozen=True)
class GateOptions:
    """What the configuration says, alike at every member.

    Attributes:
        secret: The key of the rank hash.
        members: The number of members.
        middle_value: The value for a slot-tick in the middle of the scale.
        tenant_quotas: Slots that each tenant may keep busy over the fleet.
        returns_per_second: Advised returns in any second, over all members.
        min_wait_ticks: The shortest wait that is advised.
        max_wait_ticks: The longest wait that is advised.
    """

    secret: bytes
    members: int
    middle_value: float
    tenant_quotas: dict[str, float]
    returns_per_second: float
    min_wait_ticks: int
    max_wait_ticks: int


class Reason(StrEnum):
    """Why a request was rejected; the values stand in logs."""

    ADMITTED = ""
    BELOW_LEVEL = "level"
    TOO_EARLY = "early"  # it came back before its advised time
    TOO_LATE = "late"  # it can't be answered in time


@dataclass(slots=True)
class AdmissionVerdict:
    """The gate's answer to one request.

    Attributes:
        is_admitted: Whether it is admitted.
        shed_rank: Its rank.
        shed_level: The level that it was held against.
        is_over_quota: Whether it was taken to exceed its tenant's quota.
        retry_after_ticks: The wait that its client is advised; 0 where there is no advice.
        reason: Why it was rejected.
        period: The period of its rank hash.
    """

    is_admitted: bool
    shed_rank: float
    shed_level: float
    is_over_quota: bool = False
    retry_after_ticks: int = 0
    reason: Reason = Reason.ADMITTED
    period: int = 0


class RequestIdentity(NamedTuple):
    """By what a later try of the same request is recognized."""

    tenant: str
    key: str
    request_class: str

    @classmethod
    def of(cls, request: AdmissionRequest) -> RequestIdentity:
        """Return the identity of a request."""
        return cls(request.tenant, request.key, request.request_class)


class OverloadGate:
    """The gate of one member.

    Args:
        options: The fleet's options.
        name: This member's name, as the records carry it.
        number: Its number among the members by configuration, from 0.
        limiter: The quota limiter that holds the retry budgets.
        now: The current tick.

    Attributes:
        level: The shed level.
        capacity_factor: The correction of the capacity by own experience.
        offered: The load that clients offer to this member.
        peers: The summaries of the others.
        totals: What all fresh summaries add up to, as of the last update.
        excess_shares: By tenant, the share of its requests that is beyond its quota.
        advised: The ticks at which rejected requests were told to come back.
        updated_at: The tick of the last update.
    """

    def __init__(self, options: GateOptions, name: str, number: int, limiter: Limiter, now: int) -> None:
        self.options, self.name, self.updated_at = options, name, now
        self.member_share = 1.0 / options.members
        self.budgets = Budgets(limiter)
        phase = number / options.members
        self.retry_advice = RetryAdvice(
            options.returns_per_second, self.member_share, phase, options.max_wait_ticks
        )
        self.level = ShedLevel(now)
        self.capacity_factor = CapacityFactor()
        self.offered = OfferedLoad(options.tenant_quotas, now)
        self.tenant_hashes = {tenant: tenant_hash(tenant) for tenant in options.tenant_quotas}
        self.capacity_slots = self.idle_share = self.queue_per_slot = 0.0
        self.rejection_rate = 0.0
        self.peers = PeerSummaries()
        self.totals = LoadTotals([self.own_summary(now)], self.member_share)
        self.excess_shares: dict[str, float] = {}
        self.advised: dict[RequestIdentity, int] = {}
        self.update_interval_ticks = max(
            UPDATE_INTERVAL_TICKS, UPDATE_INTERVAL_TICKS * options.members // MEMBERS_AT_FULL_PACE
        )

    # What this member saw.

    def observe_workers(self, capacity_slots: float, idle_share: float, queue_per_slot: float) -> None:
        """Take what this member knows of the workers now.

        Args:
            capacity_slots: Slots that can be kept busy, the workers' pace included.
            idle_share: The share of them that is idle.
            queue_per_slot: Requests that wait, at the workers and here, for each slot of this member's share.
        """
        self.capacity_slots, self.idle_share, self.queue_per_slot = capacity_slots, idle_share, queue_per_slot

    def record_attempt(self, was_refused: bool) -> None:
        """Count the outcome of one attempt: whether the worker refused it as full."""
        self.rejection_rate += REJECTION_WEIGHT * (was_refused - self.rejection_rate)

    # What the others told.

    def store_records(self, records: Iterable[PeerRecord], now: int) -> None:
        """Take the others' records, as the gossip layer has them; this member's own is skipped."""
        for record in records:
            if record.member != self.name:
                self.peers.store_record(record, now)

    def store_summary(self, member: str, summary: PeerSummary) -> None:
        """Take one peer's summary that is decoded already."""
        self.peers.store_summary(member, summary)

    # What the others are told.

    def own_summary(self, now: int) -> LoadSummary:
        """Return this member's load."""
        tenants = self.offered.busiest_tenants(now)
        return LoadSummary(
            self.capacity_slots,
            self.capacity_factor.value,
            self.idle_share,
            self.queue_per_slot,
            self.offered.sustained.rate(now),
            [rate.rate(now) for rate in self.offered.by_band],
            {tenant_hash(tenant): slots for tenant, slots in tenants.items()},
        )

    def encoded_summary(self, now: int) -> bytes:
        """Return the record that the others are to be told."""
        return encode_summary(self.own_summary(now))

    # Updates.

    def update(self, now: int) -> int:
        """Derive the level anew and return the tick at which the next update is due."""
        self.updated_at = now
        totals = LoadTotals([self.own_summary(now), *self.peers.fresh(now)], self.member_share)
        self.totals = totals
        self.capacity_factor.update(totals, self.rejection_rate, self.level.value > 0.0)
        # The totals hold the factors as they were told; the level follows the totals.
        self.level.update(totals.target_level(), totals.visible_share, now)
        self.excess_shares = excess_shares(self.options.tenant_quotas, self.tenant_hashes, totals)
        self.retry_advice.forget_past(now)
        return now + self.update_interval_ticks

    # Decisions.

    def admit(self, request: AdmissionRequest, now: int) -> AdmissionVerdict:
        """Decide on a request; called once for each try, before its first attempt.

        After a pause of this process the level is updated first: the summaries have aged meanwhile.
        """
        if now - self.updated_at > MAX_MISSED_UPDATES * self.update_interval_ticks:
            self.update(now)
        fraction, period = rank_hash(self.options.secret, request, now)
        is_over_quota = self._is_over_quota(request, now)
        band = rank_band(request, self.options.middle_value, is_over_quota)
        shed_rank, level = band + fraction, self.level.value
        identity = RequestIdentity.of(request)
        is_early = now < self.advised.get(identity, 0)
        if not is_early:
            # Offered is what comes for the first time, or at its advised time: not what comes again at once.
            self.offered.record(request, band, now)
        if self._may_enter(request, shed_rank, is_early):
            self.advised.pop(identity, None)
            return AdmissionVerdict(True, shed_rank, level, is_over_quota, period=period)
        if shed_rank < level:
            reason = Reason.BELOW_LEVEL
        else:
            reason = Reason.TOO_EARLY if is_early else Reason.TOO_LATE
        wait_ticks = self.advised[identity] - now if is_early else self.advise_retry(request, now)
        return AdmissionVerdict(False, shed_rank, level, is_over_quota, wait_ticks, reason, period)

    def _is_over_quota(self, request: AdmissionRequest, now: int) -> bool:
        """Return whether the request is among those beyond its tenant's quota, by a hash of its own."""
        excess = self.excess_shares.get(request.tenant)
        return excess is not None and rank_hash(self.options.secret, request, now, b"over").fraction < excess

    def _may_enter(self, request: AdmissionRequest, shed_rank: float, is_early: bool) -> bool:
        """Return whether the request is admitted.

        While the fleet sheds, what can't be in time is rejected first, also where late answers earn
        something: at twice the capacity it took the room of what could be (0.81 of the value for 0.84, one
            that sees all, emulated). Else the mechanism decides. A request that
        comes before its advised time while a level stands waits for the rest of it: advice that need not be
        kept bunches.
        """
        level = self.level.value
        if shed_rank < level:
            return False
        is_shedding = level != 0.0
        if not request.can_be_in_time and (is_shedding or request.late_share <= 0.0):
            return False
        return not (is_early and level > 0.0)

    def advise_retry(self, request: AdmissionRequest, now: int) -> int:
        """Return the ticks that the client of a rejected request is told to wait; 0: no advice."""
        idle_share = self.totals.unused_slots() / max(MIN_CAPACITY_SLOTS, self.totals.capacity_slots)
        fraction = rank_hash(self.options.secret, request, now).fraction
        wait_ticks = self.retry_advice.advise(fraction, idle_share, self.options.min_wait_ticks, now)
        if wait_ticks:
            self.advised[RequestIdentity.of(request)] = now + wait_ticks
            if len(self.advised) > MAX_REMEMBERED_WAITS:
                del self.advised[next(iter(self.advised))]
        return wait_ticks

    def try_acquire(self, kind: BudgetKind, worker_group: str | None, now: int) -> bool:
        """Return whether something other than a first attempt may go out now; if so, it counts as sent."""
        return self.budgets.try_acquire(kind, worker_group, now)
