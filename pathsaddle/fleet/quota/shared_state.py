"""What one member shares with the others, put together for a driver: the carrying layer and the shares of
budgets.
"""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec

from pathsaddle.control_metrics import NullMeter
from pathsaddle.fleet.gossip.gossip import SHARES, Gossip
from pathsaddle.fleet.gossip.messages import (
    MAX_RECORD_BYTES,
    GossipMessage,
    GrantMessage,
    Packet,
    QuotaRequestMessage,
    ReleaseMessage,
)
from pathsaddle.fleet.quota.leases import Grant, QuotaRequest, Release
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig, QuotaLimiter
from pathsaddle.fleet.rate_limiter import RateLimiter

SPARE_TOPIC = "spare"  # the topic under which each tells what it would lend
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(dict[str, int]).decode


class SharedState:
    """Fed datagrams, moments and who is there; `out` is to be sent, `notes` of the limiter to be logged."""

    def __init__(
        self,
        name: str,
        life: int,
        fleet: str,
        key: bytes,
        rate_limiter: RateLimiter,
        beat: int,
        dealt: dict[str, QuotaConfig],
        chance: Random,
        now: int,
    ) -> None:
        self.carry = Gossip(name, life, fleet, key, rate_limiter, beat, chance, now)
        self.limiter = QuotaLimiter(name, life, dealt, chance, now)
        self.beat = beat
        self.told_due = now
        self.out = self.carry.out
        self.meter = NullMeter()

    def on_member_joined(self, name: str, life: int, address: str) -> None:
        self.carry.on_member_joined(name, life, address)
        self._there()

    def on_member_left(self, name: str, life: int) -> None:
        self.carry.on_member_left(name, life)
        self._there()

    def _there(self) -> None:
        self.limiter.there = [] if self.limiter.leaving else sorted(self.carry.peers)
        for spares in self.limiter.spares.values():
            for name in [name for name in spares if name not in self.carry.peers]:
                del spares[name]

    def on_new_incarnation(self, life: int, now: int) -> None:
        self.carry.on_new_incarnation(life, now)
        self.limiter.on_new_incarnation(life)

    def leave(self, now: int) -> None:
        """We end: what is held goes back."""
        self.limiter.leave(now)
        self.say(now)

    def on_datagram(self, data: bytes, now: int) -> None:
        packet = self.carry.on_datagram(data, now)
        if packet is None:
            return
        self.limiter.heard_at = now
        if packet.said:
            self.meter.runs("shares", lambda: self._hears(packet, now))
        self.say(now)

    def _hears(self, packet: Packet, now: int) -> None:
        limiter = self.limiter
        for said in packet.said:
            if isinstance(said, QuotaRequestMessage):
                limiter.asked(
                    said.budget,
                    QuotaRequest(packet.name, packet.life, said.number, said.units, said.renews),
                    now,
                )
            elif isinstance(said, ReleaseMessage):
                limiter.returned(said.budget, Release(packet.name, packet.life, said.number), now)
            elif isinstance(said, GrantMessage):
                limiter.lent(
                    said.budget,
                    Grant(
                        packet.name,
                        packet.life,
                        packet.to,
                        said.taker_life,
                        said.number,
                        said.units,
                        said.lease,
                    ),
                    now,
                )

    def wake(self, now: int) -> int:
        """Does what is due; when it wants to be called again."""
        self.meter.runs("shares", lambda: self._shares(now))
        self.say(now)
        self.carry.wake(now)
        return self.due(now)

    def _shares(self, now: int) -> None:
        limiter = self.limiter
        if now >= self.told_due and limiter.budgets:
            # Rarer among many, so that what all tell together stays the same.
            self.told_due = now + self.beat * (1 + len(self.carry.peers) // 10)
            self.carry.put(SPARE_TOPIC, self._spare(now), now)
            for name in limiter.spares:
                limiter.spares[name].clear()
            for shown in self.carry.records(SPARE_TOPIC, now):
                try:
                    told = _decode(shown.body)
                except msgspec.MsgspecError:
                    continue
                for name, units in told.items():
                    if name in limiter.spares and shown.member != self.carry.name:
                        limiter.spares[name][shown.member] = units
        limiter.wake(now)

    def _spare(self, now: int) -> bytes:
        """What it would lend, as far as a record has room: 16 budgets with names of over 22 characters have more to say
        than that, and a `put` that refused it ended the timer's turn each beat. What is left out is found by chance
        like what is long past: whoever asks also asks one who told of nothing.
        """
        spares = {name: self.limiter.spare(name, now) for name in list(self.limiter.budgets)[:16]}
        body = _encode(spares)
        if len(body) <= MAX_RECORD_BYTES:
            return body
        told: dict[str, int] = {}
        for name in sorted(spares, key=lambda name: -spares[name]):
            if len(_encode({**told, name: spares[name]})) <= MAX_RECORD_BYTES:
                told[name] = spares[name]
        self.carry.counts["spare untold"] = self.carry.counts.get("spare untold", 0) + len(spares) - len(told)
        return _encode(told)

    def due(self, now: int) -> int:
        due = min(self.limiter.due, self.carry.due(now))
        return max(now + 1, min(due, self.told_due) if self.limiter.budgets else due)

    def say(self, now: int) -> None:
        """Askings and loans go at once; what the rate_limiter refuses is lost like any datagram."""
        out, self.limiter.out = self.limiter.out, []
        to: dict[str, list[GossipMessage]] = {}
        for name, budget, said in out:
            to.setdefault(name, []).append(
                QuotaRequestMessage(budget, said.number, said.units, said.renews)
                if isinstance(said, QuotaRequest)
                else ReleaseMessage(budget, said.number)
                if isinstance(said, Release)
                else GrantMessage(budget, said.taker_life, said.number, said.units, said.lease)
            )
        for name, sayings in to.items():
            self.carry.send(name, sayings, now, SHARES)

    def view(self, now: int) -> dict[str, Any]:
        """Each budget as we hold it, times in milliseconds; of others what they last told,
        with its age as an interval.
        """
        budgets = []
        for name, one in self.limiter.budgets.items():
            state = one.state.at(now)
            budgets.append(
                {
                    "budget": name,
                    "rate": one.dealt.rate,
                    "part": one.dealt.part,
                    "usable": state.usable(now),
                    "free": self.limiter.free(name, now),
                    "taken": one.taken,
                    "refused": one.refused,
                    "alone": one.alone,
                    "lent": [
                        {"to": loan.key[0] or "-", "units": loan.units, "for": (loan.until - now) // 10}
                        for loan in state.lent
                    ],
                    "held": [
                        {"of": row[0], "units": row[3].units, "for": (row[3].until - now) // 10}
                        for row in state.held
                    ],
                }
            )
        others = []
        for shown in self.carry.records(SPARE_TOPIC, now):
            try:
                told = _decode(shown.body)
            except msgspec.MsgspecError:
                continue
            others.append(
                {
                    "member": shown.member,
                    "life": shown.life,
                    "spare": told,
                    "least": shown.least // 10,
                    "most": None if shown.most is None else shown.most // 10,
                    "sure": None if shown.sure is None else shown.sure // 10,
                }
            )
        return {
            "name": self.carry.name,
            "life": self.carry.mine.life,
            "counts": dict(sorted(self.carry.counts.items())),
            "budgets": budgets,
            "others": others,
        }
