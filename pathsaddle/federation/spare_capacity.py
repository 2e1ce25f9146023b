"""What a region lends to foreigners: only what is free, its own jobs first, by shares on lease.

Bound: at no instant may all members of a region together take on more foreign jobs in a second than its
budget (`lend` of its capacity), whatever is lost, doubled or late (`fleet.quota.leases`); none is taken on
while own ones wait for room.

Each member has its part of the budget, and lends what it doesn't want to its fellows. A second is counted as
it slides: what was used in the last one is not lent on, and of what was borrowed only loans that run for a
further second count, so that no unit is used by two within one second. What doesn't fit is declined, which
proves to its sender that nothing ran.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from pathsaddle.federation.spec import Rule
from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT, Grant, QuotaLedger, QuotaRequest, new_ledger
from pathsaddle.scheduler_types import SECOND

LEASE = 4 * SECOND  # of a loan among members


@dataclass(frozen=True)
class ReleaseNotice:
    """The region's own workers as this member last had it. foreign: how many jobs of others they run; of: by
    scheme.
    """

    slots: int
    waiting: int
    foreign: int
    of: dict[str, int]


class SpareCapacityLender:
    """One member's part in it. No I/O; `out` is what it says to its fellows."""

    def __init__(self, name: str, life: int, part: int, now: int) -> None:
        self.shares: QuotaLedger = new_ledger(name, life, part, LEASE, now)
        # What an earlier life took on in the second before is not known here: none until that is past.
        self.opens = now + int(SECOND * (1 + MAX_CLOCK_DRIFT)) + 1
        self.used: deque[int] = deque()
        self.wanted = 0  # declined for want of a share since the last asking
        self.out: list[QuotaRequest | Grant] = []

    def _spent(self, now: int) -> int:
        while self.used and self.used[0] <= now - SECOND:
            self.used.popleft()
        return len(self.used)

    def usable(self, now: int) -> int:
        """In any second from now on."""
        if now < self.opens:
            return 0
        held = sum(lease.units for lease in self.shares.held if now + SECOND < lease.until)
        return self.shares.own(now) + held

    def until(self, now: int) -> tuple[int, int]:
        """Until when that stands if nothing more is heard, and what stands after."""
        ends = [lease.until - SECOND for lease in self.shares.held if now + SECOND < lease.until]
        return (min(ends) if ends else 1 << 60), self.shares.own(now)

    def asked(self, scheme: str, rule: Rule, here: str, free: ReleaseNotice, now: int) -> str:
        """Whether a foreign job is taken on now: an empty text, or why not."""
        if here not in rule.may:
            return "residency"
        if free.waiting:
            return "own-first"
        if free.slots <= 0 or free.of.get(scheme, 0) + 1 > rule.at_most * (free.slots + free.foreign):
            return "no-room"
        if self._spent(now) >= self.usable(now):
            self.wanted += 1
            return "no-share"
        self.used.append(now)
        return ""

    def asks(self, now: int) -> None:
        """Now and then: for what was missed."""
        if self.wanted:
            self.shares, want = self.shares.want(self.wanted, now)
            self.wanted = 0
            self.out.append(want)

    def hears(self, said: QuotaRequest | Grant, now: int) -> None:
        if isinstance(said, Grant):
            self.shares = self.shares.lent_by(said, now)
            return
        spare = self.shares.own(now) - self._spent(now) - self.wanted
        self.shares, lend = self.shares.asked_by(said, spare, now)
        if lend is not None:
            self.out.append(lend)


def parts(budget: int, members: int) -> list[int]:
    """Whole units that add up to the budget."""
    return [budget * (i + 1) // members - budget * i // members for i in range(members)]
