"""Who decides at one member of an emulated run: the program's gate, its mutants,
and what is published elsewhere.

Each baseline is as small as its source allows, with the constants printed there:
- whole: one dispatcher that sees all at first hand, with the gate: what the aim is held against.
- alone: each dispatcher as today; all come and go as they like, advice is the longest for all.
- dagor: Zhou and others, SoCC 2018: each server its own level of compound priority (business, then user by
  hash), from its mean queuing time over a second or 2,000 calls; down by 5%, up by 1%.
- breakwater: Cho and others, OSDI 2020: servers' queue delay makes credits; here each member holds credits in
  flight, grown by a hundredth of the pool, cut by a
  fiftieth of the excess of delay over its aim.
- throttle: client-side throttling, SRE book, chapter 21: refuse with chance (requests - 2 accepts) /
  (requests + 1).
- finagle: its retry budget: 20% of calls over 10 s, and 10 a second besides.
- envoy: its retry budget: 20% of active calls, at least three at once.
- doorman: YouTube's: leases of capacity from one master by proportional share; out of reach, an even part.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from random import Random

import msgspec

from pathsaddle.emulator.overload.around import Member
from pathsaddle.emulator.overload.leases import Leases
from pathsaddle.emulator.overload.plan import Plan
from pathsaddle.fleet.overload import load_summary
from pathsaddle.fleet.overload.admission_gate import AdmissionVerdict, GateOptions, OverloadGate
from pathsaddle.fleet.overload.peer_summaries import PeerSummary
from pathsaddle.fleet.overload.retry_budgets import BudgetKind
from pathsaddle.fleet.overload.shed_level import ShedLevel
from pathsaddle.fleet.overload.shed_rank import RANK_BANDS, AdmissionRequest, rank_band, rank_hash
from pathsaddle.scheduler_types import MILLISECOND, SECOND

SECRET = b"an emulated fleet's key"
COME_BACK = SECOND  # today's advice: the same for all
RUN, MEAN_VALUE = SECOND // 5, 4.75


@dataclass(slots=True)
class Decided:
    let: bool
    stands: float = 0.0
    level: float = 0.0
    come_back: int = COME_BACK
    why: str = "room"
    over: bool = False
    period: int = 0


LET = Decided(True)


class Policy:
    """Alone, as today; what others are made from."""

    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        self.plan, self.member, self.number = plan, member, number
        self.chance = Random(f"{member.ground.seed} {number} policy")
        self.tells = 1.0

    def asks(self, ask: AdmissionRequest, now: int) -> Decided:
        return LET

    def gives_up(self, ask: AdmissionRequest, now: int) -> Decided:
        return Decided(False)

    def goes_out(self, kind: BudgetKind, worker: str, now: int) -> bool:
        return True

    def posts(self, now: int) -> bool:
        return True

    def came_of(self, what: str, waited: int, now: int) -> None: ...

    def tick(self, now: int) -> None: ...


def gate_options(plan: Plan) -> GateOptions:
    slots = plan.workers * plan.slots
    share = slots / plan.customers
    return GateOptions(
        SECRET,
        plan.members,
        MEAN_VALUE / RUN,
        {f"c{c}": 1.25 * share for c in range(plan.customers)},
        0.1 * slots / 0.2,
        SECOND // 2,
        8 * SECOND,
    )


def units_of(plan: Plan) -> dict[str, int]:
    """Each budget in units a second: repeats a fifth of what can be served, looks three a txn,
    trials a handful.
    """
    rate = plan.workers * plan.slots * SECOND // RUN
    units: dict[str, int] = {
        BudgetKind.REPEAT: rate // 5,
        BudgetKind.LOOK: 3 * rate,
        BudgetKind.TRIAL: max(4, rate // 20),
    }
    for w in range(plan.workers):
        units |= {
            f"{BudgetKind.REPEAT}.w{w}": max(4, rate // 5 * 2 // plan.workers),
            f"{BudgetKind.LOOK}.w{w}": max(4, rate * 6 // plan.workers),
            f"{BudgetKind.TRIAL}.w{w}": 4,
        }
    return units


class Fleet(Policy):
    """The program's gate, its budgets on leases and its records, over the ground's ways."""

    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        super().__init__(plan, member, number)
        if plan.policy == "whole":
            plan = msgspec.structs.replace(plan, members=1)
        ground, units = member.ground, units_of(plan)
        self.leases = Leases(member, units, plan.members, self.chance)
        for budget, whole in units.items() if number == 0 else ():
            ground.events.add(0, "share.budget", who=member.name, budget=budget, units=whole)
        self.gate = OverloadGate(gate_options(plan), member.name, number, self.leases, 0)
        self.version = 0
        self.counted: deque[tuple[int, BudgetKind]] = deque()  # of the mutant that counts by arrival
        # Two hundred tell once a second, few twice: bytes stay what they are.
        self.tell_every = SECOND // 2 if plan.members < 100 else SECOND
        self.tell_at = self.chance.randrange(self.tell_every)
        self.wake_at = 0
        if plan.mutant == "jumpy":
            self.gate.level = Jumpy(0)

    def asks(self, ask: AdmissionRequest, now: int) -> Decided:
        given = self.gate.admit(ask, now)
        if self.plan.mutant == "dice":
            given.shed_rank = int(given.shed_rank) + self.chance.random()
            given.is_admitted = given.shed_rank >= given.shed_level
        elif self.plan.mutant == "unspread" and not given.is_admitted:
            given.retry_after_ticks = COME_BACK
        return of(given)

    def gives_up(self, ask: AdmissionRequest, now: int) -> Decided:
        return Decided(False, come_back=self.gate.advise_retry(ask, now))

    def goes_out(self, kind: BudgetKind, worker: str, now: int) -> bool:
        if self.plan.mutant == "arrival":
            # Each goes by what it counts itself to have come over all: the whole budget, whoever came first.
            while self.counted and self.counted[0][0] <= now - SECOND:
                self.counted.popleft()
            if sum(one == kind for _, one in self.counted) >= units_of(self.plan)[kind] // 4:
                return False
            self.counted.append((now, kind))
            self.leases.spent(kind, 1)
            self.leases.spent(f"{kind}.{worker}", 1)
            return True
        return self.gate.try_acquire(kind, worker, now)

    def came_of(self, what: str, waited: int, now: int) -> None:
        self.gate.record_attempt(what == "full")

    def tick(self, now: int) -> None:
        member, gate, ground = self.member, self.gate, self.member.ground
        if now >= self.wake_at:
            gate.observe_workers(*member.sees())
            self.wake_at = gate.update(now)
            ground.events.add(now, "shed.level", who=member.name, level=gate.level.value)
        if now >= self.tell_at and self.tells > 0.0:
            self.tell_at = now + self.tell_every
            self.version += 1
            version, told = self.version, gate.own_summary(now)
            if self.tells != 1.0:
                told.offered_slots = [slots * self.tells for slots in told.offered_slots]
                told.capacity_slots *= self.tells
                told.sustained_slots *= self.tells
            body = load_summary.encode_summary(told)
            read = load_summary.decode_summary(body)
            name = member.name
            ground.tells(member, lambda other: fleet(other).hears(name, version, read, now), len(body))
        self.leases.tick(now)

    def hears(self, name: str, version: int, told: load_summary.LoadSummary, at: int) -> None:
        self.gate.store_summary(name, PeerSummary(1, version, told, at))


def fleet(member: Member) -> Fleet:
    assert isinstance(member.policy, Fleet)
    return member.policy


class Jumpy(ShedLevel):
    """The mutant: it stands wherever the sums say, at once."""

    def update(self, target: float, visible_share: float, now: int) -> float:
        self.value = target
        return target


def of(given: AdmissionVerdict) -> Decided:
    return Decided(
        given.is_admitted,
        given.shed_rank,
        given.shed_level,
        given.retry_after_ticks,
        given.reason.value,
        given.is_over_quota,
        given.period,
    )


class Dagor(Policy):
    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        super().__init__(plan, member, number)
        self.level = 0.0
        self.waits: list[int] = []
        self.counts = [0] * (RANK_BANDS * 16)
        self.begun = 0

    def asks(self, ask: AdmissionRequest, now: int) -> Decided:
        # Business priority first, then the user's, by a hash that turns over each hour.
        place = rank_band(ask, MEAN_VALUE / RUN, False) + rank_hash(SECRET, ask, now)[0]
        self.counts[int(place * 16)] += 1
        if place >= self.level:
            return LET
        return Decided(False, place, self.level)

    def came_of(self, what: str, waited: int, now: int) -> None:
        self.waits.append(waited if what == "settled" else SECOND)

    def tick(self, now: int) -> None:
        if now - self.begun < SECOND and len(self.waits) < 2000:
            return
        total = sum(self.counts)
        if self.waits and total:
            crowded = sum(self.waits) / len(self.waits) > 20 * MILLISECOND
            let = sum(self.counts[int(self.level * 16) :])
            wanted = 0.95 * let if crowded else let + 0.01 * total
            place, kept = len(self.counts), 0
            while place > 0 and kept + self.counts[place - 1] <= wanted:
                place -= 1
                kept += self.counts[place]
            self.level = place / 16
        self.begun, self.waits, self.counts = now, [], [0] * len(self.counts)


class Breakwater(Policy):
    AIM = 80 * MILLISECOND

    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        super().__init__(plan, member, number)
        self.pool = plan.workers * plan.slots / plan.members
        self.out, self.worst = 0, 0

    def asks(self, ask: AdmissionRequest, now: int) -> Decided:
        return LET if self.out < max(1.0, self.pool) else Decided(False)

    def posts(self, now: int) -> bool:
        if self.out >= max(1.0, self.pool):
            return False
        self.out += 1
        return True

    def came_of(self, what: str, waited: int, now: int) -> None:
        self.out = max(0, self.out - 1)
        self.worst = max(self.worst, waited if what == "settled" else 2 * self.AIM)

    def tick(self, now: int) -> None:
        if self.worst <= self.AIM:
            self.pool += max(0.01 * self.pool, 0.1 / self.plan.members)
        else:
            self.pool *= max(0.5, 1.0 - 0.02 * (self.worst - self.AIM) / self.AIM)
        self.pool = min(4.0 * self.plan.workers * self.plan.slots, self.pool)
        self.worst = 0


class Throttle(Policy):
    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        super().__init__(plan, member, number)
        self.requests: deque[int] = deque()
        self.accepts: deque[int] = deque()

    def asks(self, ask: AdmissionRequest, now: int) -> Decided:
        for row in (self.requests, self.accepts):
            while row and row[0] < now - 30 * SECOND:
                row.popleft()
        refuse = (len(self.requests) - 2.0 * len(self.accepts)) / (len(self.requests) + 1)
        self.requests.append(now)
        return LET if self.chance.random() >= refuse else Decided(False)

    def came_of(self, what: str, waited: int, now: int) -> None:
        if what == "settled":
            self.accepts.append(now)


class Finagle(Policy):
    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        super().__init__(plan, member, number)
        self.calls: deque[int] = deque()
        self.again: deque[int] = deque()

    def asks(self, ask: AdmissionRequest, now: int) -> Decided:
        self.calls.append(now)
        return LET

    def goes_out(self, kind: BudgetKind, worker: str, now: int) -> bool:
        if kind == BudgetKind.LOOK:
            return True
        for row in (self.calls, self.again):
            while row and row[0] < now - 10 * SECOND:
                row.popleft()
        if len(self.again) >= 0.2 * len(self.calls) + 100:
            return False
        self.again.append(now)
        return True


class Envoy(Policy):
    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        super().__init__(plan, member, number)
        self.again: deque[int] = deque()

    def goes_out(self, kind: BudgetKind, worker: str, now: int) -> bool:
        if kind == BudgetKind.LOOK:
            return True
        while self.again and self.again[0] < now - RUN:  # a retry is active for about a run
            self.again.popleft()
        if len(self.again) >= max(3.0, 0.2 * (sum(self.member.out) + len(self.member.held))):
            return False
        self.again.append(now)
        return True


class Doorman(Policy):
    """One master deals capacity by what each wants; the first member's object keeps what all share."""

    REFRESH = 5 * SECOND

    def __init__(self, plan: Plan, member: Member, number: int) -> None:
        super().__init__(plan, member, number)
        self.rate = plan.workers * plan.slots * SECOND / RUN / plan.members
        self.purse, self.at, self.came, self.refreshed = 2.0, 0, 0, 0

    def asks(self, ask: AdmissionRequest, now: int) -> Decided:
        self.came += 1
        self.purse = min(max(2.0, self.rate), self.purse + self.rate * (now - self.at) / SECOND)
        self.at = now
        if self.purse < 1.0:
            return Decided(False)
        self.purse -= 1.0
        return LET

    def tick(self, now: int) -> None:
        if now - self.refreshed < self.REFRESH:
            return
        ground = self.member.ground
        wants = [p.came for m in ground.members if m.alive and isinstance(p := m.policy, Doorman)]
        whole = self.plan.workers * self.plan.slots * SECOND / RUN
        if self.number not in ground.cut:
            self.rate = whole * (self.came + 0.1) / (sum(wants) + 0.1 * len(wants))
        else:
            self.rate = whole / self.plan.members
        self.came, self.refreshed = self.came // 2, now


KINDS: dict[str, type[Policy]] = {
    "alone": Policy,
    "whole": Fleet,
    "fleet": Fleet,
    "dagor": Dagor,
    "breakwater": Breakwater,
    "throttle": Throttle,
    "finagle": Finagle,
    "envoy": Envoy,
    "doorman": Doorman,
}


def policy(plan: Plan, member: Member, number: int) -> Policy:
    return KINDS[plan.policy](plan, member, number)
