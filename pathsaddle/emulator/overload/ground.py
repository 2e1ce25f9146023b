"""Members, workers and clients on a ground of their own, small enough for two hundred members in seconds.

The decisions under test are the program's (`pathsaddle.fleet.overload`, `fleet.quota.leases`); where a txn
goes is plain here: the room that is believed, with looks, holding the dearest first, as `Scheduler` does in more
words. Everything that peers see is an event; the judge reads nothing else. One seeded generator for each
part, so that the same clients come whatever the policy.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp
from random import Random

from pathsaddle.emulator.overload.plan import Plan, Trouble
from pathsaddle.emulator.overload.policies import Decided, Policy, fleet, gate_options, policy
from pathsaddle.event_log import EventLog
from pathsaddle.fleet.overload.retry_budgets import BudgetKind, budget_kind
from pathsaddle.fleet.overload.shed_rank import AdmissionRequest
from pathsaddle.fleet.quota.leases import Grant, QuotaRequest, Release
from pathsaddle.scheduler_types import MILLISECOND, SECOND

VALUES = (1.0, 2.0, 4.0, 12.0)  # by scheme
LATE = 0.3  # what a late answer earns
RUN = SECOND // 5  # the mean
SLA = SECOND
PATIENCE = 2 * SECOND  # a client hangs up after that
EXPIRY = 20 * SECOND  # and comes again no later than that after its first try
ROOM = 3  # waiting jobs for each slot of a worker
POSTINGS = 4
POKE = 30 * MILLISECOND  # how often held txns are looked at
WAY = 2 * MILLISECOND
LISTED = SECOND  # how long the list takes to tell of a worker


@dataclass(slots=True, eq=False)
class Job:
    """A client's txn over all its tries."""

    number: int
    customer: str
    key: str
    scheme: int
    value: float
    run: int
    first: int
    tries: int = 0
    over: bool = False  # answered, or given up
    current: Try | None = None


@dataclass(slots=True, eq=False)
class Try:
    job: Job
    member: Member
    at: int
    name: str
    ask: AdmissionRequest
    postings: int = 0
    closed: bool = False
    held: bool = False


@dataclass(slots=True, eq=False)
class Worker:
    name: str
    number: int
    slots: int
    up: bool = True
    slow: float = 1.0
    life: int = 0
    running: int = 0
    line: list[tuple[Try, int]] = field(default_factory=list)

    @property
    def room(self) -> float:
        return float(self.slots - self.running - len(self.line)) if self.up else -99.0


class Member:
    def __init__(self, ground: Ground, number: int) -> None:
        self.ground, self.number, self.name = ground, number, f"d{number}"
        plan = ground.plan
        self.policy: Policy = policy(plan, self, number)
        count = plan.workers
        self.room = [0.0] * count
        self.told = [-SECOND] * count
        self.out = [0] * count
        self.listed = [True] * count
        self.shut = [0] * count
        self.failed = [0] * count
        self.usual = 1.0
        self.purse = 10.0  # looks, as the Scheduler's probes: so many for each txn that comes
        self.held: list[tuple[float, int, Try]] = []
        self.poking = False
        self.alive, self.stalled = True, False
        self.inbox: list[Callable[[], None]] = []

    # Txns.

    def offered(self, one: Try) -> None:
        now = self.ground.now
        self.purse = min(20.0, self.purse + 0.5)
        decided = self.policy.asks(one.ask, now)
        if not decided.let:
            self.declines(one, decided)
            return
        self.ground.lets(self, one, decided)
        if not self.places(one):
            self.holds(one)

    def declines(self, one: Try, decided: Decided) -> None:
        one.closed = True
        self.ground.declined(self, one, decided)

    def holds(self, one: Try) -> None:
        late = self.ground.now > one.job.first + SLA - one.job.run
        rank = -one.job.value * (LATE if late else 1.0) / one.job.run
        one.held = True
        insort(self.held, (rank, one.at, one), key=lambda row: row[:2])
        if not self.poking:
            self.poking = True
            self.ground.after(POKE, self.pokes)

    def pokes(self) -> None:
        """Held txns, the dearest first; what can't be in time is declined at once,
        unless late answers are all it has.
        """
        self.poking = False
        if not self.alive:
            return
        now, kept, failed = self.ground.now, [], 0
        for row in self.held:
            one = row[2]
            if one.closed:
                continue
            in_time = one.at <= one.job.first + SLA - one.job.run
            if now > (one.job.first + SLA if in_time else one.at + PATIENCE) - one.job.run:
                one.held = False
                self.declines(one, self.policy.gives_up(one.ask, now))
                continue
            if failed < 2 and self.places(one):
                one.held = False
                continue
            failed += 1
            kept.append(row)
        self.held = kept
        if kept and not self.poking:
            self.poking = True
            self.ground.after(POKE, self.pokes)

    def believed(self, worker: int, now: int) -> float:
        if self.ground.plan.policy == "whole":
            there = self.ground.workers[worker]
            return float(there.slots - self.out[worker]) if there.up else -99.0
        # Out since the report counts whole: a rough guess is all that is wanted here.
        kept = exp((self.told[worker] - now) / (0.3 * SECOND))
        return self.usual + (self.room[worker] - self.usual) * kept - self.out[worker] * (1.0 - kept)

    def places(self, one: Try) -> bool:
        now, ground = self.ground.now, self.ground
        if one.postings >= POSTINGS:
            self.declines(one, self.policy.gives_up(one.ask, now))
            return True
        rooms = [
            (self.believed(w, now), ground.chance.random(), w)
            for w in range(len(self.room))
            if self.listed[w] and self.shut[w] <= now
        ]
        if not rooms:
            return False
        rooms.sort(reverse=True)
        if now - self.told[rooms[0][2]] > SECOND // 10 and ground.plan.policy != "whole":
            # Two looks, at the most promising that they may go to.
            left = 2
            for _, _, w in rooms:
                if not left or self.purse < 1.0:
                    break
                if now - self.told[w] > SECOND // 10 and self.policy.goes_out(BudgetKind.LOOK, f"w{w}", now):
                    left -= 1
                    self.purse -= 1.0
                    ground.events.add(now, "look", who=self.name, worker=f"w{w}")
                    if ground.reaches(self.number, w):
                        self.reported(w)
            rooms = [(self.believed(w, now), tie, w) for _, tie, w in rooms]
            rooms.sort(reverse=True)
        for room, _, best in rooms:
            if room < 0.3:
                return False
            # What a budget refuses at one worker may have a place at the next.
            kind = budget_kind(bool(one.postings), bool(self.failed[best]))
            if kind and not self.policy.goes_out(kind, f"w{best}", now):
                continue
            if not self.policy.posts(now):
                return False
            one.postings += 1
            self.out[best] += 1
            self.room[best] -= 1.0
            ground.posts(self, one, best, kind or "first")
            return True
        return False

    def reported(self, w: int) -> None:
        self.room[w], self.told[w] = self.ground.workers[w].room, self.ground.now
        self.usual += 0.05 * (max(-8.0, min(4.0, self.room[w])) - self.usual)

    # What comes of postings.

    def answered(self, one: Try, w: int, what: str, waited: int) -> None:
        now = self.ground.now
        self.out[w] -= 1
        if what in ("settled", "full"):
            self.reported(w)
            self.failed[w] = 0
        else:
            self.failed[w] += 1
            self.shut[w] = now + min(4 * SECOND, 20 * MILLISECOND << min(self.failed[w], 10))
        self.policy.came_of(what, waited, now)
        if one.closed or what == "settled":
            return
        if not self.places(one):
            self.holds(one)

    def sees(self) -> tuple[float, float, float]:
        """Slots that may be kept busy; what part of those seen lately is idle,
        and jobs in line for each slot.
        """
        plan, now = self.ground.plan, self.ground.now
        could = plan.slots * sum(self.listed)
        fresh = [self.room[w] / plan.slots for w in range(plan.workers) if now - self.told[w] < SECOND]
        held = len(self.held) * len(self.ground.members) / (plan.slots * plan.workers)
        if not fresh:
            return float(could), 0.0, held
        return (
            float(could),
            sum(max(0.0, room) for room in fresh) / len(fresh),
            held + sum(max(0.0, -room) for room in fresh) / len(fresh),
        )


class Ground:
    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.seed = plan, seed
        self.now = 0
        self.events = EventLog()
        self.due: list[tuple[int, int, Callable[[], object]]] = []
        self.count = 0
        self.jobs = 0
        self.bytes = 0
        self.chance = Random(f"{seed} ways")
        self.arrivals = Random(f"{seed} arrivals")
        self.coming = Random(f"{seed} again")
        self.workers = [Worker(f"w{w}", w, plan.slots) for w in range(plan.workers)]
        self.cut: dict[int, bool] = {}  # member: whether one way only
        self.lossy = 0.0
        self.sick: dict[int, None] = {}
        count = 1 if plan.policy == "whole" else plan.members
        self.members = [Member(self, number) for number in range(count)]
        weights = Random(f"{seed} weights")
        self.weights = [1.0 + plan.skew * weights.paretovariate(1.5) for _ in self.members]
        self.running = list(self.members)
        self.sums: list[float] = []  # of the weights of those that run
        self.end = int(plan.seconds * SECOND)

    # Time.

    def after(self, ticks: int, call: Callable[[], object]) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.now + max(0, ticks), self.count, call))

    def to(self, member: Member, call: Callable[[], None]) -> None:
        """What reaches a member that stands still waits before its door; one that ended has none."""
        if member.stalled:
            member.inbox.append(call)
        elif member.alive:
            call()

    def run(self) -> EventLog:
        plan = self.plan
        capacity = plan.workers * plan.slots
        self.events.add(
            0,
            "overload.plan",
            who="k",
            name=plan.name,
            seed=self.seed,
            policy=plan.policy,
            members=len(self.members),
            slots=capacity,
            load=plan.load,
            surge=plan.surge,
            back_within=plan.back_within,
            returns=gate_options(plan).returns_per_second,
            allowance=min(gate_options(plan).tenant_quotas.values()),
        )
        for member in self.members:
            self.events.add(0, "member.began", who=member.name)
            self.after(self.chance.randrange(SECOND // 10), lambda m=member: self.ticks(m))  # type: ignore[misc]
        for trouble in plan.troubles:
            self.after(int(trouble.at * SECOND), lambda t=trouble: self.begins(t))  # type: ignore[misc]
        self.after(0, self.arrives)
        while self.due and self.due[0][0] <= self.end:
            self.now, _, call = heapq.heappop(self.due)
            call()
        self.now = self.end
        self.events.add(self.end, "overload.end", who="k", bytes=self.bytes)
        return self.events

    def ticks(self, member: Member) -> None:
        if not member.alive:
            return
        if not member.stalled:
            member.policy.tick(self.now)
        self.after(SECOND // 10, lambda: self.ticks(member))

    # Clients.

    def load(self) -> float:
        surge = self.plan.surge
        if surge is not None and surge[0] * SECOND <= self.now < surge[1] * SECOND:
            return surge[2]
        return self.plan.load

    def arrives(self) -> None:
        chance, plan = self.arrivals, self.plan
        # Drawn at four times capacity and thinned: a surge changes nobody else's draws.
        each = plan.workers * plan.slots / RUN * 4.0
        flooded = chance.random() < plan.flood
        customer = 0 if flooded else chance.randrange(plan.customers)
        key, scheme = chance.randrange(1 << 20), chance.randrange(len(VALUES))
        run = max(RUN // 8, min(4 * RUN, int(chance.lognormvariate(-0.32, 0.8) * RUN)))
        thinned, at, wait = chance.random(), chance.random(), chance.expovariate(each)
        if thinned < self.load() / 4.0:
            self.jobs += 1
            job = Job(self.jobs, f"c{customer}", f"k{key}", scheme, VALUES[scheme], run, self.now)
            self.tries(job, at)
        self.after(max(1, int(wait)), self.arrives)

    def tries(self, job: Job, at: float) -> None:
        if len(self.sums) != len(self.running):
            self.sums = list(accumulate(self.weights[member.number] for member in self.running))
        member = self.running[min(len(self.sums) - 1, bisect_left(self.sums, at * self.sums[-1]))]
        job.tries += 1
        left = job.first + SLA - self.now
        ask = AdmissionRequest(
            job.customer,
            job.key,
            f"s{job.scheme}",
            job.value,
            LATE,
            float(job.run),
            left,
            job.run,
            is_retry=job.tries > 1,
        )
        one = Try(job, member, self.now, f"{job.number}/{job.tries}", ask)
        job.current = one
        if job.tries == 1:
            self.events.add(
                self.now,
                "client.first",
                who="c",
                job=job.number,
                customer=job.customer,
                value=job.value,
                work=job.run,
                member=member.name,
            )
        self.after(WAY, lambda: self.to(member, lambda: None if one.closed else member.offered(one)))
        self.after(PATIENCE, lambda: self.hangs_up(one))

    def hangs_up(self, one: Try) -> None:
        if not one.job.over and one.job.current is one:
            one.closed = True
            self.again(one, 0)

    def again(self, one: Try, advised: int, period: int = 0) -> None:
        job, plan = one.job, self.plan
        backoff = SECOND // 2 << min(job.tries - 1, 4)
        # Without advice it goes by its own, as clients do: doubling,
        # and spread unless the plan says otherwise.
        wait = advised or (backoff if plan.bunched else int(backoff * (0.5 + self.coming.random())))
        at = self.coming.random()
        job.current = None
        if (plan.again >= 0 and job.tries > plan.again) or self.now + wait > job.first + EXPIRY:
            job.over = True
            return
        declared = self.now

        def comes() -> None:
            if advised:
                self.events.add(
                    self.now,
                    "shed.back",
                    who="c",
                    txn=f"{job.number}/{job.tries + 1}",
                    customer=job.customer,
                    key=job.key,
                    scheme=f"s{job.scheme}",
                    period=period,
                    declined=declared,
                    until=declared + advised,
                    obeys=True,
                )
            self.tries(job, at)

        self.after(wait, comes)

    # What members do, as the log has it.

    def lets(self, member: Member, one: Try, decided: Decided) -> None:
        ask = one.ask
        self.events.add(
            self.now,
            "shed.in",
            who=member.name,
            txn=one.name,
            customer=ask.tenant,
            key=ask.key,
            scheme=ask.request_class,
            period=decided.period,
            standing=decided.stands,
            level=decided.level,
            over=decided.over,
            left=ask.time_left_ticks,
            work=ask.work_slot_ticks,
        )

    def declined(self, member: Member, one: Try, decided: Decided) -> None:
        ask = one.ask
        self.events.add(
            self.now,
            "shed.out",
            who=member.name,
            txn=one.name,
            customer=ask.tenant,
            key=ask.key,
            scheme=ask.request_class,
            period=decided.period,
            standing=decided.stands,
            level=decided.level,
            wait=decided.come_back,
            why=decided.why,
            over=decided.over,
            work=ask.work_slot_ticks,
        )
        self.after(WAY, lambda: None if one.job.over else self.again(one, decided.come_back, decided.period))

    def reaches(self, member: int, worker: int) -> bool:
        return self.workers[worker].up and not (member in self.sick and worker % 3 == 0)

    def posts(self, member: Member, one: Try, w: int, kind: str) -> None:
        self.events.add(
            self.now,
            "post.sent",
            who=member.name,
            post=f"{one.name}/{one.postings}",
            txn=one.name,
            worker=f"w{w}",
            kind=kind,
        )
        self.after(WAY, lambda: self.gets(member, one, w, self.now))

    def back(self, member: Member, one: Try, w: int, what: str, after: int, waited: int = 0) -> None:
        self.after(after, lambda: self.to(member, lambda: member.answered(one, w, what, waited)))

    def gets(self, member: Member, one: Try, w: int, sent: int) -> None:
        worker = self.workers[w]
        if not worker.up:
            self.back(member, one, w, "unconnected", WAY)
        elif not self.reaches(member.number, w):
            self.back(member, one, w, "error", 20 * MILLISECOND)
        elif worker.running >= worker.slots and len(worker.line) >= ROOM * worker.slots:
            self.back(member, one, w, "full", WAY)
        else:
            worker.line.append((one, sent))
            self.starts(worker)

    def starts(self, worker: Worker) -> None:
        while worker.up and worker.line and worker.running < worker.slots:
            one, sent = worker.line.pop(0)
            worker.running += 1
            spent = int(one.job.run * worker.slow)
            waited, life = self.now - sent, worker.life
            self.after(spent, lambda o=one, s=waited, n=life: self.ends(worker, o, s, n))  # type: ignore[misc]

    def ends(self, worker: Worker, one: Try, waited: int, life: int) -> None:
        if worker.life != life:
            self.back(one.member, one, worker.number, "reset", WAY)
            return
        worker.running -= 1
        job = one.job
        good = not job.over and job.current is one and one.member.alive
        in_time = self.now + WAY <= job.first + SLA
        earned = job.value * (1.0 if in_time else LATE) if good else 0.0
        self.events.add(
            self.now,
            "ran",
            who=worker.name,
            txn=one.name,
            job=job.number,
            work=job.run,
            good=good,
            earned=earned,
            customer=job.customer,
            standing=0.0,
        )
        if good:
            job.over = True
            one.closed = True
        self.back(one.member, one, worker.number, "settled", WAY, waited)
        self.starts(worker)

    # Troubles.

    def members_of(self, trouble: Trouble) -> list[Member]:
        count = max(1, round(trouble.share * len(self.members)))
        if trouble.most:
            return sorted(self.running, key=lambda m: (-self.weights[m.number], m.number))[:count]
        return self.running[:count]

    def begins(self, trouble: Trouble) -> None:
        long = int(trouble.for_ * SECOND)
        workers = self.workers[: max(1, round(trouble.share * len(self.workers)))]
        members = self.members_of(trouble)
        self.events.add(
            self.now,
            "fault",
            who="k",
            kind=trouble.kind,
            long=long,
            oneway=trouble.oneway,
            members=[member.name for member in members],
        )
        self.after(long, lambda: self.events.add(self.now, "fault_over", who="k", kind=trouble.kind))
        match trouble.kind:
            case "lose":
                self.loses(workers, long)
            case "flap":
                for second in range(0, long, 2 * SECOND):
                    self.after(second, lambda: self.loses(workers, SECOND))
            case "slow":
                self.slows(workers, trouble.strength)
                self.after(long, lambda: self.slows(workers, 1.0))
            case "cut":
                for member in members:
                    self.cut[member.number] = trouble.oneway
                self.after(long, self.cut.clear)
            case "lossy":
                self.lossy = trouble.share
                self.after(long, lambda: setattr(self, "lossy", 0.0))
            case "sick":
                self.sick = {member.number: None for member in self.members[: (len(self.members) + 1) // 2]}
                self.after(long, self.sick.clear)
            case "lies" | "mute":
                for member in members:
                    member.policy.tells = trouble.strength if trouble.kind == "lies" else 0.0
                    self.after(long, lambda m=member: setattr(m.policy, "tells", 1.0))  # type: ignore[misc]
            case "kill":
                for member in members:
                    member.alive = False
                    self.running.remove(member)
                    self.events.add(self.now, "member.ended", who=member.name, why="killed")
            case "stall":
                for member in members:
                    member.stalled = True
                    self.after(long, lambda m=member: self.wakes(m))  # type: ignore[misc]

    def wakes(self, member: Member) -> None:
        member.stalled = False
        inbox, member.inbox = member.inbox, []
        for call in inbox:
            call()

    def slows(self, workers: list[Worker], times: float) -> None:
        for worker in workers:
            worker.slow = times

    def loses(self, workers: list[Worker], long: int) -> None:
        for worker in workers:
            worker.up, worker.life = False, worker.life + 1
            for one, _ in worker.line:
                self.back(one.member, one, worker.number, "reset", WAY)
            worker.line.clear()
            worker.running = 0
            self.after(long, lambda w=worker: self.rises(w))  # type: ignore[misc]
            if long > LISTED:
                self.after(LISTED, lambda w=worker: self.lists(w))  # type: ignore[misc]

    def rises(self, worker: Worker) -> None:
        worker.up = True
        self.after(LISTED, lambda: self.lists(worker))

    def lists(self, worker: Worker) -> None:
        for member in self.members:
            if worker.up and not member.listed[worker.number]:
                member.failed[worker.number] = member.shut[worker.number] = 0
            member.listed[worker.number] = worker.up

    # Records among members.

    def tells(self, member: Member, send: Callable[[Member], None], size: int) -> None:
        """A record to all the others, by way of others: late by some hundred ms, lost to some,
        none through a cut.
        """
        self.bytes += size * (len(self.members) - 1)
        if self.cut.get(member.number) is False:
            return
        after = int(self.chance.uniform(0.05, 0.5) * SECOND)
        lost = self.chance.randrange(1000)

        def arrives() -> None:
            for other in self.members:
                if other is member or not other.alive or other.number in self.cut:
                    continue
                if self.lossy and (lost + 37 * other.number) % 100 < 100 * self.lossy:
                    continue
                self.to(other, lambda o=other: send(o))  # type: ignore[misc]

        self.after(after, arrives)

    def asks(self, one: Member, other: int, budget: str, said: QuotaRequest | Grant | Release) -> None:
        """A datagram to one member, of the limiter's."""
        self.bytes += 60
        if one.number in self.cut or other in self.cut or self.chance.random() < self.lossy:
            return
        target = self.members[other]
        self.after(
            int(self.chance.uniform(0.001, 0.02) * SECOND),
            lambda: self.to(target, lambda: fleet(target).leases.heard(budget, said, self.now)),
        )
