"""The gates of all dispatchers of one play on the virtual ground, each beside its Scheduler, with their mail among them.

Records and loans go among them in this process, late by LATE and never lost: what is played here is the gate beside
the real mechanism; troubles between members are `ground`'s and `processes`'.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest import mock

from pathsaddle.fleet.overload.admission_gate import GateOptions, OverloadGate
from pathsaddle.fleet.overload.load_summary import decode_summary
from pathsaddle.fleet.overload.peer_summaries import PeerSummary
from pathsaddle.fleet.overload.retry_budgets import BudgetKind
from pathsaddle.fleet.overload.scheduler_gate import WORKER_GROUPS, SchedulerAdmissionGate
from pathsaddle.fleet.quota.leases import Grant, QuotaRequest, Release
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig, QuotaLimiter
from pathsaddle.scheduler import Scheduler
from pathsaddle.scheduler_types import SECOND, Txn

LATE = 3 * SECOND // 10
TELLS = SECOND // 2


@dataclass
class Mail:
    """Who is there, and what is on its way to each."""

    members: dict[str, Told] = field(default_factory=dict)


class Told(SchedulerAdmissionGate):
    """Beside a Scheduler, with its mail."""

    def __init__(self, core: OverloadGate, limiter: QuotaLimiter, mail: Mail) -> None:
        super().__init__(core)
        self.limiter, self.mail = limiter, mail
        self.inbox: deque[tuple[int, str, int, int, bytes]] = deque()
        self.tell_at, self.version = 0, 0

    def update_if_due(self, choice: Scheduler) -> None:
        now = choice.now
        while self.inbox and self.inbox[0][0] + LATE <= now:
            at, name, life, version, body = self.inbox.popleft()
            self.core.store_summary(name, PeerSummary(life, version, decode_summary(body), at))
        super().update_if_due(choice)
        if now >= self.tell_at:
            self.tell_at, self.version = now + TELLS, self.version + 1
            body = self.core.encoded_summary(now)
            for name, other in self.mail.members.items():
                if name != self.core.name:
                    other.inbox.append((now, self.core.name, self.limiter.life, self.version, body))
        if now >= self.limiter.due:
            self.limiter.there, self.limiter.heard_at = list(self.mail.members), now
            self.limiter.wake(now)
        self.says(now)

    def permits_posting(self, txn: Txn, worker: Any, choice: Scheduler) -> bool:
        goes = super().permits_posting(txn, worker, choice)
        self.says(choice.now)
        return goes

    def says(self, now: int) -> None:
        out, self.limiter.out = self.limiter.out, []
        for name, budget, said in out:
            other = self.mail.members.get(name)
            if other is None:
                continue
            if isinstance(said, QuotaRequest):
                other.limiter.asked(budget, said, now)
                other.says(now)
            elif isinstance(said, Grant):
                other.limiter.lent(budget, said, now)
            elif isinstance(said, Release):
                other.limiter.returned(budget, said, now)


@contextlib.contextmanager
def gated(rate: float) -> Iterator[None]:
    """While it holds, each Scheduler that is made has a gate. rate: txns a second that can be served, which budgets are
    parts of: repeats a fifth, trials a twentieth, looks as many as six a txn, since they come by threes.
    """
    mail, begin = Mail(), Scheduler.__init__

    def made(self: Scheduler, terms: Any, seed: int, now: int, door: Any, gate: Any = None) -> None:
        begin(self, terms, seed, now, door, gate)
        name = f"d{terms.number}"
        wholes: dict[str, float] = {
            BudgetKind.REPEAT: rate / 5,
            BudgetKind.TRIAL: rate / 20,
            BudgetKind.LOOK: 6 * rate,
        }
        wholes |= {
            f"{kind}.w{place}": 2 * whole / WORKER_GROUPS
            for kind, whole in wholes.items()
            for place in range(WORKER_GROUPS)
        }
        dealt = {}
        for budget, whole in wholes.items():
            units = max(2, int(whole))
            dealt[budget] = QuotaConfig(
                units, units // terms.dispatchers + (terms.number < units % terms.dispatchers), 4 * SECOND
            )
        # A process that starts anew is another life: its earlier one's loans may still be out.
        life = now
        limiter = QuotaLimiter(name, life, dealt, Random(f"{seed} limiter"), now)
        sla = sum(scheme.sla_time for scheme in terms.schemes) / len(terms.schemes)
        value = sum(scheme.value for scheme in terms.schemes) / len(terms.schemes)
        ways = GateOptions(
            b"one plan's key",
            terms.dispatchers,
            value / sla,
            {
                str(customer.index): customer.quota_rate * sla / SECOND
                for customer in terms.customers
                if customer.quota_rate
            },
            rate / 10,
            SECOND // 2,
            max(SECOND, terms.max_retry_after),
        )
        core = OverloadGate(ways, name, terms.number, limiter, now)
        self.gate = mail.members[name] = Told(core, limiter, mail)

    keeps = Scheduler.housekeeping

    def kept(self: Scheduler) -> int:
        if isinstance(self.gate, Told):
            self.gate.update_if_due(self)
        return keeps(self)

    with mock.patch.object(Scheduler, "__init__", made), mock.patch.object(Scheduler, "housekeeping", kept):
        yield
