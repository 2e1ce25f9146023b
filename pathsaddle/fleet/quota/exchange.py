"""Lends and borrows the units of quotas: when a member asks whom, what it grants, and what it gives back.

Owns the quotas of one member and the messages that it wants sent. `QuotaLimiter` adds the use of units and
the reload of configurations; `SharedState` delivers the messages. The bound on units is the ledger's
(`leases.py`); what this module decides only moves units. It performs no I/O; all randomness comes from one
Random.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TypeAlias

from pathsaddle.fleet.quota.events import PeersLost, PeersRestored, QuotaEvent
from pathsaddle.fleet.quota.leases import Grant, QuotaRequest, Release, new_ledger
from pathsaddle.fleet.quota.local_quota import (
    MIN_REQUEST_PAUSE_TICKS,
    WINDOW,
    LocalQuota,
    QuotaConfig,
)
from pathsaddle.fleet.rate_limiter import SECOND

MAX_REQUEST_PAUSE_TICKS = 16 * MIN_REQUEST_PAUSE_TICKS
PEERS_PER_REQUEST = 3  # asked at a time, one of them drawn from all
RENEW_AHEAD = 0.4  # of a lease: so long before its end it is asked to go on, if it is still wanted
MAX_TAKERS = 4096  # whose last request is remembered

QuotaMessage: TypeAlias = QuotaRequest | Grant | Release


class QuotaExchange:
    """One member's quotas, and its dealings with the others.

    Args:
        name: our member's name.
        incarnation: our member's incarnation.
        configs: by the quotas' names.
        rng: the one source of randomness.
        now: the start, in ticks.
        window: over which uses are counted, in ticks.

    Attributes:
        life: our member's incarnation.
        budgets: the quotas by name.
        spares: what other members last published to have left, by quota and member.
        there: who may be asked.
        heard_at: when any other member was heard last; the driver sets it.
        out: (member, quota, message) to be sent; the driver empties it.
        notes: events to be logged; the driver empties it.
        stir: called when there is something to send before the next `wake`.
        due: when `wake` is to be called.
    """

    def __init__(  # noqa: PLR0913, PLR0917  # what a member is told at its start
        self,
        name: str,
        incarnation: int,
        configs: dict[str, QuotaConfig],
        rng: Random,
        now: int,
        window: int = WINDOW,
    ) -> None:
        self.name, self.life, self.rng, self.started_at, self.window = name, incarnation, rng, now, window
        self.closed = self.leaving = False
        self.stir: Callable[[], None] = lambda: None
        self.due = now
        self.budgets = {
            quota: LocalQuota(
                quota, config, new_ledger(name, incarnation, config.part, config.lease, now, window), window
            )
            for quota, config in configs.items()
        }
        self.out: list[tuple[str, str, QuotaMessage]] = []
        self.notes: list[QuotaEvent] = []
        self.spares: dict[str, dict[str, int]] = {quota: {} for quota in configs}
        self.there: list[str] = []
        self.heard_at = now

    def wake(self, now: int) -> int:
        """Asks others where units are lacking; returns when it wants to be called again."""
        self.due = now + SECOND
        for quota in self.budgets.values():
            quota.forget_old(now)
            quota.state = quota.state.at(now)
            self._check_isolation(quota, now)
            self._release_or_renew(quota, now)
            if now >= quota.request_due:
                self._request(quota, now)
            elif quota.lacking(now) > 0:
                self.due = min(self.due, quota.request_due)
        return self.due

    def _check_isolation(self, quota: LocalQuota, now: int) -> None:
        """No other member was heard for a lease, while there are others: we go by our own part."""
        silent_ticks = now - self.heard_at
        is_isolated = bool(self.there) and silent_ticks > quota.dealt.lease
        if is_isolated != quota.is_isolated:
            quota.is_isolated = is_isolated
            usable = quota.state.usable(now)
            self.notes.append(
                PeersLost(quota.name, usable, silent_ticks)
                if is_isolated
                else PeersRestored(quota.name, usable)
            )

    # Borrowing.

    def _release_or_renew(self, quota: LocalQuota, now: int) -> None:
        """Releases units that are not wanted any more; asks wanted ones that end soon to go on."""
        soon = now + int(RENEW_AHEAD * quota.dealt.lease)
        unneeded = quota.unneeded(now, quota.state)
        for lease in quota.state.held:
            if lease.units <= unneeded:
                unneeded -= lease.units
                quota.state, release = quota.state.release(lease.number, now)
                self.out.append((lease.owner, quota.name, release))
            elif lease.until <= soon and not any(
                request.renews == lease.number for request in quota.state.pending
            ):
                quota.state, request = quota.state.want(lease.units, now, lease.number)
                self.out.append((lease.owner, quota.name, request))

    def _release_all(self, quota: LocalQuota, now: int) -> None:
        for lease in quota.state.held:
            quota.state, release = quota.state.release(lease.number, now)
            self.out.append((lease.owner, quota.name, release))

    def _request(self, quota: LocalQuota, now: int) -> None:
        """Asks for what is lacking: those that published the most, and one that is drawn.

        What was published may be long past, so that the drawn one may have more.
        """
        lacking = quota.lacking(now)
        if lacking <= 0:
            quota.request_pause_ticks = MIN_REQUEST_PAUSE_TICKS
            return
        quota.request_due = now + int(quota.request_pause_ticks * (0.5 + self.rng.random()))
        quota.request_pause_ticks = min(MAX_REQUEST_PAUSE_TICKS, 2 * quota.request_pause_ticks)
        self.due = min(self.due, quota.request_due)
        others = [name for name in self.there if name != self.name]
        if not others:
            return
        spares = self.spares[quota.name]
        lenders = sorted(
            (name for name in others if spares.get(name, 0) > 0), key=lambda name: -spares[name]
        )[: 3 * PEERS_PER_REQUEST]
        chosen = self.rng.sample(lenders, min(PEERS_PER_REQUEST - 1, len(lenders)))
        rest = [name for name in others if name not in chosen]
        chosen += self.rng.sample(rest, min(PEERS_PER_REQUEST - len(chosen), len(rest)))
        sharing = max(1, min(len(lenders), PEERS_PER_REQUEST - 1))
        for name in chosen:
            units = max(1, -(-lacking // sharing)) if name in lenders else lacking
            quota.state, request = quota.state.want(min(lacking, units), now)
            self.out.append((name, quota.name, request))

    def lent(self, quota_name: str, grant: Grant, now: int) -> None:
        """A grant arrives for a request of ours."""
        quota = self.budgets.get(quota_name)
        if quota is None or not 0 < grant.units <= quota.dealt.rate:
            return
        usable_before = quota.state.usable(now)
        quota.state = quota.state.lent_by(grant, now)
        if quota.state.usable(now) > usable_before:
            quota.request_pause_ticks = MIN_REQUEST_PAUSE_TICKS
            quota.request_due = min(quota.request_due, now + MIN_REQUEST_PAUSE_TICKS)

    # Lending.

    def asked(self, quota_name: str, request: QuotaRequest, now: int) -> None:
        """Another member asks: what we neither used in the last window nor wanted of late may be granted."""
        quota = self.budgets.get(quota_name)
        if quota is None or self.leaving or request.units <= 0 or now < self.started_at + self.window:
            return
        if (request.life, request.number) <= quota.answered.get(request.name, (0, 0)):  # twice, or late
            return
        quota.forget_old(now)
        ledger = quota.state.at(now)
        # What a lowered part does not cover any more is lacking, whatever else we hold.
        spare_units = min(quota.unneeded(now, ledger), ledger.own(now))
        quota.state, grant = ledger.asked_by(request, spare_units, now)
        if grant is not None:
            if len(quota.answered) >= MAX_TAKERS:
                del quota.answered[next(iter(quota.answered))]
            quota.answered[request.name] = request.life, request.number
            self.out.append((request.name, quota_name, grant))

    def returned(self, quota_name: str, release: Release, now: int) -> None:
        """Another member gives units of ours back."""
        quota = self.budgets.get(quota_name)
        if quota is not None:
            quota.state = quota.state.on_release(release, now)

    def spare(self, quota_name: str, now: int) -> int:
        """How many units we would grant now; published to the others, who may find them gone."""
        quota = self.budgets[quota_name]
        quota.forget_old(now)
        ledger = quota.state.at(now)
        if now < self.started_at + ledger.certain_lease_ticks():
            return 0
        free = ledger.lendable - ledger.granted_units()
        return max(0, min(free, ledger.own(now), quota.unneeded(now, ledger)))

    def on_new_incarnation(self, incarnation: int) -> None:
        """We have another incarnation: requests of the old one are answered to nobody.

        What is granted and held stays as it is.
        """
        self.life = incarnation
        for quota in self.budgets.values():
            quota.state = replace(quota.state, incarnation=incarnation, pending=())
