"""The program's limiter over the ground's lossy ways: who asks whom goes as datagrams do,
and each use is an event.
"""

from __future__ import annotations

from random import Random

from pathsaddle.emulator.overload.around import Member
from pathsaddle.fleet.quota.leases import Grant, QuotaRequest, Release
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig, QuotaLimiter
from pathsaddle.scheduler_types import SECOND

LEASE = 4 * SECOND
LIFE = 1


class Leases:
    """One member's rights to all budgets; the gate's Limiter."""

    def __init__(self, member: Member, units: dict[str, int], members: int, chance: Random) -> None:
        self.member = member
        dealt, first = {}, 0
        for budget, whole in units.items():
            # What doesn't come out even goes to the next members for each budget, the same by everyone's
            # reckoning: where a worker's budget holds less than one for each, all hold some at some workers.
            dealt[budget] = QuotaConfig(
                whole, whole // members + ((member.number - first) % members < whole % members), LEASE
            )
            first = (first + whole % members) % members
        # All have been there for long: what a life before may have lent is no longer out.
        self.core = QuotaLimiter(member.name, LIFE, dealt, chance, -4 * LEASE)
        self.core.there = [f"d{number}" for number in range(members)]

    def try_acquire(self, budget: str, units: int, now: int) -> bool:
        taken = self.core.try_acquire(budget, units, now)
        if taken:
            self.spent(budget, units)
        self.says()
        return taken

    def spent(self, budget: str, units: int) -> None:
        ground = self.member.ground
        ground.events.add(ground.now, "share.spend", who=self.member.name, budget=budget, units=units)

    def tick(self, now: int) -> None:
        if now >= self.core.due:
            self.core.wake(now)
            self.says()

    def says(self) -> None:
        out, self.core.out = self.core.out, []
        for name, budget, said in out:
            self.member.ground.asks(self.member, int(name[1:]), budget, said)

    def heard(self, budget: str, said: QuotaRequest | Grant | Release, now: int) -> None:
        core = self.core
        core.heard_at = now
        if isinstance(said, QuotaRequest):
            core.asked(budget, said, now)
        elif isinstance(said, Grant):
            core.lent(budget, said, now)
        else:
            core.returned(budget, said, now)
        self.says()
