"""What one member shares with the others, put together for a driver: gossip and quotas.

Owns the translation between quota messages and datagrams, and the record by which each member publishes what
it would lend. The driver (`fleet/udp_driver.py`) feeds it datagrams, moments and membership, and sends what
stands in `out`. It performs no I/O.
"""

from __future__ import annotations

from random import Random

import msgspec

from pathsaddle.control_metrics import NullMeter
from pathsaddle.fleet.gossip import counters
from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.gossip.messages import (
    MAX_RECORD_BYTES,
    Envelope,
    GossipMessage,
    GrantMessage,
    QuotaRequestMessage,
    ReleaseMessage,
)
from pathsaddle.fleet.gossip.sending import QUOTA_RESERVE
from pathsaddle.fleet.quota.exchange import QuotaMessage
from pathsaddle.fleet.quota.leases import Grant, QuotaRequest, Release
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig, QuotaLimiter
from pathsaddle.fleet.quota.view import SPARE_TOPIC, StateView, build_view, decode_spare
from pathsaddle.fleet.rate_limiter import RateLimiter

__all__ = ["SPARE_TOPIC", "SharedState"]

MAX_PUBLISHED_QUOTAS = 16  # as many as a configuration may name
PEERS_PER_INTERVAL = 10  # among more peers each publishes more rarely, so that all together send the same
_encode_spare = msgspec.msgpack.Encoder().encode


class SharedState:
    """Gossip and quotas of one member.

    Args:
        name: our member's name.
        incarnation: our member's incarnation.
        fleet: the fleet's name.
        key: the fleet's secret, which signs datagrams.
        rate_limiter: shared with membership.
        interval_ticks: between two anti-entropy exchanges, on the mean.
        configs: of the quotas, by name.
        rng: the one source of randomness.
        now: the start, in ticks.

    Attributes:
        carry: gossip.
        limiter: the quotas; its `notes` are to be logged.
        told_due: when what we would lend is published next.
        out: (address, datagram) to be sent; the driver empties it.
        meter: measures what quotas cost, apart from gossip.
    """

    def __init__(  # noqa: PLR0913, PLR0917  # the driver's interface: what a member is told at its start
        self,
        name: str,
        incarnation: int,
        fleet: str,
        key: bytes,
        rate_limiter: RateLimiter,
        interval_ticks: int,
        configs: dict[str, QuotaConfig],
        rng: Random,
        now: int,
    ) -> None:
        self.carry = Gossip(name, incarnation, fleet, key, rate_limiter, interval_ticks, rng, now)
        self.limiter = QuotaLimiter(name, incarnation, configs, rng, now)
        self.interval_ticks = interval_ticks
        self.told_due = now
        self.out = self.carry.out
        self.meter = NullMeter()

    # Who is alive, as membership reports it.

    def on_member_joined(self, name: str, incarnation: int, address: str) -> None:
        """Membership takes this incarnation for alive, for the first time or again."""
        self.carry.on_member_joined(name, incarnation, address)
        self._update_peers()

    def on_member_left(self, name: str, incarnation: int) -> None:
        """Membership takes this incarnation for over."""
        self.carry.on_member_left(name, incarnation)
        self._update_peers()

    def _update_peers(self) -> None:
        self.limiter.there = [] if self.limiter.leaving else sorted(self.carry.peers)
        for spares in self.limiter.spares.values():
            for name in [name for name in spares if name not in self.carry.peers]:
                del spares[name]

    def on_new_incarnation(self, incarnation: int, now: int) -> None:
        """We have another incarnation."""
        self.carry.on_new_incarnation(incarnation, now)
        self.limiter.on_new_incarnation(incarnation)

    def leave(self, now: int) -> None:
        """We end: what we hold is released."""
        self.limiter.leave(now)
        self.say(now)

    # Messages.

    def on_datagram(self, data: bytes, now: int) -> None:
        """Handles a datagram, whatever it holds; one that is rejected is counted."""
        envelope = self.carry.on_datagram(data, now)
        if envelope is None:
            return
        self.limiter.heard_at = now
        if envelope.messages:
            self.meter.runs("shares", lambda: self._on_quota_messages(envelope, now))
        self.say(now)

    def _on_quota_messages(self, envelope: Envelope, now: int) -> None:
        sender, incarnation, limiter = envelope.sender, envelope.incarnation, self.limiter
        for message in envelope.messages:
            if isinstance(message, QuotaRequestMessage):
                request = QuotaRequest(sender, incarnation, message.number, message.units, message.renews)
                limiter.asked(message.quota, request, now)
            elif isinstance(message, ReleaseMessage):
                limiter.returned(message.quota, Release(sender, incarnation, message.number), now)
            elif isinstance(message, GrantMessage):
                grant = Grant(
                    sender,
                    incarnation,
                    envelope.recipient,
                    message.taker_incarnation,
                    message.number,
                    message.units,
                    message.lease_ticks,
                )
                limiter.lent(message.quota, grant, now)

    def say(self, now: int) -> None:
        """Sends the limiter's messages at once; what the rate limiter refuses is lost like any datagram."""
        out, self.limiter.out = self.limiter.out, []
        by_recipient: dict[str, list[GossipMessage]] = {}
        for name, quota, message in out:
            by_recipient.setdefault(name, []).append(_to_wire(quota, message))
        for name, messages in by_recipient.items():
            self.carry.send(name, messages, now, QUOTA_RESERVE)

    # Time.

    def wake(self, now: int) -> int:
        """Does what is due; returns when it wants to be called again."""
        self.meter.runs("shares", lambda: self._run_quotas(now))
        self.say(now)
        self.carry.wake(now)
        return self.due(now)

    def due(self, now: int) -> int:
        """When `wake` is to be called, in ticks; always after `now`."""
        due = min(self.limiter.due, self.carry.due(now))
        return max(now + 1, min(due, self.told_due) if self.limiter.budgets else due)

    def _run_quotas(self, now: int) -> None:
        if now >= self.told_due and self.limiter.budgets:
            self.told_due = now + self.interval_ticks * (1 + len(self.carry.peers) // PEERS_PER_INTERVAL)
            self.carry.put(SPARE_TOPIC, self._spare_body(now), now)
            self._read_spares(now)
        self.limiter.wake(now)

    def _read_spares(self, now: int) -> None:
        """What the others published to have left."""
        spares = self.limiter.spares
        for by_member in spares.values():
            by_member.clear()
        for record in self.carry.records(SPARE_TOPIC, now):
            try:
                published = decode_spare(record.body)
            except msgspec.MsgspecError:
                continue
            for quota, units in published.items():
                if quota in spares and record.member != self.carry.name:
                    spares[quota][record.member] = units

    def _spare_body(self, now: int) -> bytes:
        """What we would lend, as far as it fits into one record.

        16 quotas with names of over 22 characters do not fit, and a `put` that refused them ended the timer's
        turn each time. What is left out is found by chance, like what is long past: a member that asks also
        asks one that published nothing.
        """
        spares = {
            name: self.limiter.spare(name, now) for name in list(self.limiter.budgets)[:MAX_PUBLISHED_QUOTAS]
        }
        body = _encode_spare(spares)
        if len(body) <= MAX_RECORD_BYTES:
            return body
        published: dict[str, int] = {}
        for name in sorted(spares, key=lambda name: -spares[name]):
            if len(_encode_spare({**published, name: spares[name]})) <= MAX_RECORD_BYTES:
                published[name] = spares[name]
        self.carry.counts[counters.SPARE_NOT_PUBLISHED] += len(spares) - len(published)
        return _encode_spare(published)

    def view(self, now: int) -> StateView:
        """The answer to `fleet show budgets`."""
        return build_view(self.carry, self.limiter, now)


def _to_wire(quota: str, message: QuotaMessage) -> GossipMessage:
    if isinstance(message, QuotaRequest):
        return QuotaRequestMessage(quota, message.number, message.units, message.renews)
    if isinstance(message, Release):
        return ReleaseMessage(quota, message.number)
    return GrantMessage(quota, message.taker_life, message.number, message.units, message.lease)
