"""Members' shared state on a ground of its own: one heap of moments, cores without drivers,
what is between them broken.

Why not the stage that runs whole dispatchers: hundreds of seeds with sixty members are wanted, and the cores
are free of I/O. Membership is played by the ground, worse than it is: each member hears of each death, return
and cut late by a time of its own, and now and then of a death that is none. All is drawn from the seed; the
log's moments are the ground's own time, so its judge needs no clock of a member's.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pathsaddle.event_log import EventLog
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.quota.shared_state import SPARE_TOPIC, SharedState
from pathsaddle.fleet.rate_limiter import SECOND, RateLimiter

BUDGET = "uses"
KEY = b"the ground's own secret"
KINDS = (
    "cut",
    "cut one way",
    "cut all",
    "loss",
    "double",
    "late",
    "slow",
    "stall",
    "kill",
    "lower life",
    "false death",
    "join",
)


@dataclass
class Plan:
    """One run. rate: of the budget; lease and seconds in seconds. loss: of all datagrams, always. faults: a
    second, in the whole fleet. drift: the most that a clock runs off. joiners: that come in one second, half
    way. hot: part of the members that want; mood: for how long the same ones, in seconds; want: how many
    times the budget they want together. others: what some members' charters say instead, by number.
    """

    members: int
    seed: int
    seconds: float = 30.0
    rate: int = 100
    lease: float = 4.0
    loss: float = 0.0
    faults: float = 0.5
    drift: float = 0.02
    joiners: int = 0
    hot: float = 0.3
    want: float = 1.5
    mood: tuple[float, float] = (2.0, 6.0)
    bytes: int = 24_000
    beat: float = 1.0
    kinds: tuple[str, ...] = KINDS[:-1]
    others: dict[int, int] = field(default_factory=dict)
    parts: dict[int, int] = field(default_factory=dict)
    quiet: bool = False  # no samples of records


def varied(members: int, seed: int, seconds: float = 30.0) -> Plan:
    """One of the many: another mix of everything for each seed."""
    chance = Random(f"plan {seed} {members}")
    plan = Plan(
        members,
        seed,
        seconds,
        rate=chance.choice((10, 100, 100, 300)),
        lease=chance.choice((2.0, 4.0, 4.0, 10.0)),
        faults=chance.choice((0.2, 0.5, 1.5)),
        hot=chance.choice((0.1, 0.3, 1.0)),
        want=chance.choice((1.5, 3.0)),
        drift=chance.choice((0.0, 0.01, 0.02, 0.02)),
        loss=chance.choice((0.0, 0.0, 0.2)),
    )
    if seed % 10 == 3:  # charters that differ: a budget that is lowered
        plan.others = {n: plan.rate // 2 for n in range(members) if chance.random() < 0.5}
    if seed % 50 == 7:
        plan.joiners = 100
    if seed % 25 == 9:  # all but one die
        plan.kinds, plan.faults = ("kill", "stall"), members * 0.5
    return plan


class Place:
    """One member's host: its clock, and its process, if it runs."""

    def __init__(self, ground: Ground, number: int) -> None:
        plan, chance = ground.plan, ground.chance
        self.ground, self.number, self.name = ground, number, f"d{number}"
        self.rate = 1 + plan.drift * (2 * chance.random() - 1)
        self.off = chance.randrange(10**9)
        self.shared: SharedState | None = None
        self.life = 0
        self.stopped = False
        self.waiting: list[tuple[Any, ...]] = []  # what came while it was stopped
        self.wake_at = -1
        self.step_at = -1
        self.rights = -1
        self.budget = 0  # as last told
        self.put = (0, 0)  # the last version of its records that is logged
        self.wants = 0.0  # uses a second
        self.cpu = 0.0
        self.view: dict[str, tuple[int, bool]] = {}  # what it was told of others

    def clock(self, at: int | None = None) -> int:
        return self.off + int((self.ground.now if at is None else at) * self.rate)

    def moment(self, mine: int) -> int:
        """The first moment of the ground at which its clock shows so much."""
        at = max(self.ground.now, int((mine - self.off) / self.rate) - 2)
        while self.clock(at) < mine:
            at += 1
        return at


class Ground:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.chance = plan, Random(f"state {plan.seed} {plan.members}")
        self.events = EventLog()
        self.now = 0
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.count = 0
        self.places: list[Place] = []
        self.cuts: dict[int, Callable[[int, int], bool]] = {}
        self.lossy = plan.loss
        self.doubling = 0.0
        self.late = 0.0
        self.slow = 0  # ticks: how much longer a datagram may take
        self.lives = 1000

    def at(self, when: int, what: Callable[..., None], *more: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, what, more))

    def log(self, what: str, **more: Any) -> None:
        self.events.add(self.now, what, **more)

    def part(self, number: int) -> int:
        rate = self.plan.others.get(number, self.plan.rate)
        return self.plan.parts.get(
            number,
            rate // self.plan.members + (number < rate % self.plan.members)
            if number < self.plan.members
            else 0,
        )

    # Processes.

    def begin(self, place: Place, lower: bool = False) -> None:
        plan = self.plan
        self.lives += 1
        life = place.life - 500 if lower else self.lives * 1000
        place.life = max(1, life)
        now = place.clock()
        rate = plan.others.get(place.number, plan.rate)
        chance = Random(f"{plan.seed} {place.name} {self.lives}")
        place.shared = SharedState(
            place.name,
            place.life,
            "f",
            KEY,
            RateLimiter(plan.bytes, 60, now),
            int(plan.beat * SECOND),
            {BUDGET: QuotaConfig(rate, self.part(place.number), int(plan.lease * SECOND))},
            chance,
            now,
        )
        place.stopped, place.waiting, place.rights, place.view = False, [], -1, {}
        self.log("member.began", who=place.name, life=place.life)
        if rate >= place.budget:
            self.budget(place, rate)
        else:
            # lowered: goes by it when what its old life lent has ended,
            # and what was used of that is a second past
            late = place.moment(now + int((plan.lease + 2.1) * SECOND * 1.02))
            self.at(late, self.budget, place, rate)
        place.shared.limiter.stir = lambda: None
        for other in self.places:
            if other.shared is not None and other is not place:
                self.at(self.now + self.chance.randrange(SECOND), self.tell, place, other, other.life, True)
                self.at(
                    self.now + self.chance.randrange(2 * SECOND), self.tell, other, place, place.life, True
                )
        if lower:  # as membership has it: others know a higher life, and soon it hears of that
            self.at(self.now + self.chance.randrange(SECOND, 4 * SECOND), self.claim, place, place.life)
        place.wake_at = self.now
        self.at(self.now, self.wake, place, place.life)
        self.rest(place)

    def budget(self, place: Place, rate: int) -> None:
        place.budget = rate
        self.log("share.budget", who=place.name, budget=BUDGET, units=rate)

    def claim(self, place: Place, life: int) -> None:
        if place.shared is None or place.life != life:
            return
        if place.stopped:
            place.waiting.append((self.claim, place, life))
            return
        self.lives += 1
        place.life = self.lives * 1000
        place.shared.on_new_incarnation(place.life, place.clock())
        self.log("member.began", who=place.name, life=place.life, claimed=True)
        for other in self.places:
            if other is not place:
                self.at(self.now + self.chance.randrange(SECOND), self.tell, other, place, place.life, True)
        place.wake_at = self.now
        self.at(self.now, self.wake, place, place.life)
        self.rest(place)

    def kill(self, place: Place) -> None:
        if place.shared is None:
            return
        place.shared = None
        self.log("member.ended", who=place.name, why="killed")
        for other in self.places:
            self.at(
                self.now + self.chance.randrange(SECOND, 9 * SECOND),
                self.tell,
                other,
                place,
                place.life,
                False,
            )

    def tell(self, place: Place, other: Place, life: int, there: bool) -> None:
        """A member's membership says that another's life is there, or is over."""
        if place.shared is None or place.stopped:
            if place.shared is not None:
                place.waiting.append((self.tell, place, other, life, there))
            return
        old = place.view.get(other.name, (0, False))
        if life < old[0]:
            return
        place.view[other.name] = life, there
        if there:
            place.shared.on_member_joined(other.name, life, other.name)
        else:
            place.shared.on_member_left(other.name, life)
        self.log("state.view", who=place.name, member=other.name, life=life, there=there)
        for name, over in place.shared.carry.over:
            self.log("state.over", who=place.name, member=name, life=over)
        place.shared.carry.over.clear()
        self.rest(place)

    # Moments of a process.

    def wake(self, place: Place, life: int) -> None:
        if place.shared is None or place.life != life or place.wake_at != self.now:
            return
        if place.stopped:
            place.waiting.append((self.again, place, life))
            return
        begun = time.process_time()
        place.shared.wake(place.clock())
        place.cpu += time.process_time() - begun
        place.wake_at = -1
        self.rest(place)

    def again(self, place: Place, life: int) -> None:
        place.wake_at = self.now
        self.wake(place, life)

    def hear(self, place: Place, data: bytes) -> None:
        if place.shared is None:
            return
        if place.stopped:
            if len(place.waiting) < 200:
                place.waiting.append((self.hear, place, data))
            return
        begun = time.process_time()
        place.shared.on_datagram(data, place.clock())
        place.cpu += time.process_time() - begun
        self.rest(place)

    def use(self, place: Place) -> None:
        """It uses what it may, at random; and comes again."""
        if place.wants > 0:
            self.at(self.now + max(1, int(self.chance.expovariate(place.wants) * SECOND)), self.use, place)
        if place.shared is None or place.stopped or place.wants <= 0:
            return
        self.step(place)  # what it may use from this very moment on is written before the use
        units = 1 if self.chance.random() < 0.9 else 3
        if place.shared.limiter.try_acquire(BUDGET, units, place.clock()):
            self.log("share.spend", who=place.name, budget=BUDGET, units=units)
        else:
            self.log("share.refused", who=place.name, budget=BUDGET, units=units)
        self.rest(place)

    def rest(self, place: Place) -> None:
        """After anything happened there: what it sends is on its way, its rights are logged,
        its next moments are set.
        """
        shared = place.shared
        if shared is None:
            return
        now = place.clock()
        mine = shared.carry.mine
        if (mine.incarnation, mine.complete_up_to) != place.put and mine.complete_up_to:
            place.put = mine.incarnation, mine.complete_up_to
            self.log("state.put", who=place.name, life=mine.incarnation, version=mine.complete_up_to)
        shared.say(now)
        for address, data in shared.out:
            self.send(place, int(address[1:]), data)
        shared.out.clear()
        shared.limiter.notes.clear()
        if not place.stopped:
            due = place.moment(shared.due(now))
            if not self.now <= place.wake_at <= due:
                place.wake_at = due
                self.at(due, self.wake, place, place.life)
        self.step(place)

    def step(self, place: Place, mine: int = -1) -> None:
        """Rights follow the clock, not the process: each change is logged at its very moment,
        also of one that stands still.
        """
        if place.shared is None or (mine >= 0 and place.step_at != mine):
            return
        now = place.clock()
        state = place.shared.limiter.budgets[BUDGET].state
        usable = state.usable(now)
        if usable != place.rights:
            place.rights = usable
            self.log("share.rights", who=place.name, budget=BUDGET, units=usable)
        changes = [lease.until for lease in state.lent] + [lease.until for lease in state.held]
        changes.append(state.earlier_leases_end())
        later = [until for until in changes if until > now]
        if later:
            when = place.moment(min(later))
            if when != place.step_at:
                place.step_at = when
                self.at(when, self.step, place, when)

    # What is between them.

    def send(self, place: Place, to: int, data: bytes) -> None:
        self.log("sent", who=place.name, bytes=len(data))
        chance = self.chance
        if (
            to >= len(self.places)
            or any(cut(place.number, to) for cut in self.cuts.values())
            or chance.random() < self.lossy
        ):
            return
        other = self.places[to]
        times = 2 if self.doubling and chance.random() < self.doubling else 1
        for _ in range(times):
            more = chance.randrange(self.slow) if self.slow else 0
            self.at(self.now + 5 + more + int(chance.expovariate(0.02)), self.hear, other, data)
        if self.late and chance.random() < self.late:  # once more, when all that it rests on is over
            self.at(self.now + int(chance.uniform(0.5, 60) * SECOND), self.hear, other, data)

    # Faults.

    def trouble(self) -> None:
        plan, chance = self.plan, self.chance
        self.at(self.now + max(1, int(chance.expovariate(plan.faults) * SECOND)), self.trouble)
        kind = chance.choice(plan.kinds)
        place = chance.choice(self.places)
        lasts = int(chance.choice((0.3, 2.0, 8.0, 15.0)) * (0.5 + chance.random()) * SECOND)
        self.strike(kind, place, lasts)

    def strike(self, kind: str, place: Place, lasts: int) -> None:
        chance, until = self.chance, self.now + lasts
        self.log("fault", kind=kind, of=place.name, lasts=lasts)
        if kind in ("cut", "cut one way", "cut all"):
            part = chance.choice((0.1, 0.34, 0.5)) * len(self.places)
            away = {n for n in range(len(self.places)) if chance.random() * len(self.places) < part} | {
                place.number
            }
            cut: Callable[[int, int], bool] = (
                (lambda one, other: True)
                if kind == "cut all"
                else (lambda one, other: one in away and other not in away)
                if kind == "cut one way"
                else (lambda one, other: (one in away) != (other in away))
            )
            key = self.count
            self.cuts[key] = cut
            self.at(until, self.joins, key)
            if lasts > 5 * SECOND:  # long enough for memberships to part
                for one in self.places:
                    for other in self.places:
                        if other is not one and other.shared is not None and cut(other.number, one.number):
                            self.at(
                                self.now + chance.randrange(4 * SECOND, 9 * SECOND),
                                self.tell,
                                one,
                                other,
                                other.life,
                                False,
                            )
                            self.at(until + chance.randrange(4 * SECOND, 9 * SECOND), self.back, one, other)
        elif kind == "loss":
            self.lossy = chance.uniform(0.2, 0.4)
            self.at(until, self.mend, "lossy", self.plan.loss)
        elif kind == "double":
            self.doubling = 0.3
            self.at(until, self.mend, "doubling", 0.0)
        elif kind == "late":
            self.late = 0.2
            self.at(until, self.mend, "late", 0.0)
        elif kind == "slow":
            self.slow = chance.choice((SECOND // 10, SECOND, 4 * SECOND))
            self.at(until, self.mend, "slow", 0)
        elif kind == "stall" and place.shared is not None:
            place.stopped = True
            self.at(until, self.go_on, place, place.life)
        elif kind in ("kill", "lower life") and place.shared is not None:
            self.kill(place)
            self.at(self.now + chance.choice((1, lasts)), self.restart, place, kind == "lower life")
        elif kind == "false death":
            other = chance.choice(self.places)
            if other is not place:
                self.tell(place, other, other.life, False)
                self.at(until, self.back, place, other)
        elif kind == "join":
            for _ in range(100):
                new = Place(self, len(self.places))
                self.places.append(new)
                self.at(self.now + chance.randrange(SECOND), self.begin, new)

    def joins(self, key: int) -> None:
        del self.cuts[key]

    def mend(self, what: str, value: float) -> None:
        setattr(self, what, value)

    def back(self, place: Place, other: Place) -> None:
        if other.shared is not None:
            self.tell(place, other, other.life, True)

    def restart(self, place: Place, lower: bool) -> None:
        if place.shared is None:
            self.begin(place, lower)

    def go_on(self, place: Place, life: int) -> None:
        if not place.stopped or place.life != life:
            return
        place.stopped = False
        waiting, place.waiting = place.waiting, []
        for what, *more in waiting:
            what(*more)
        self.rest(place)

    # A run.

    def moods(self) -> None:
        """Who wants how much: another few every few seconds."""
        plan, chance = self.plan, self.chance
        self.at(self.now + int(chance.uniform(*plan.mood) * SECOND), self.moods)
        hot = [place for place in self.places if chance.random() < plan.hot] or [chance.choice(self.places)]
        for place in self.places:
            old, place.wants = place.wants, plan.want * plan.rate / len(hot) if place in hot else 0.0
            if place.wants and not old:
                self.at(self.now + 1, self.use, place)

    def sample(self) -> None:
        """What a few of them show of the others' records, with its ages."""
        self.at(self.now + SECOND, self.sample)
        for place in self.chance.sample(self.places, min(5, len(self.places))):
            if place.shared is None or place.stopped:
                continue
            for shown in place.shared.carry.records(SPARE_TOPIC, place.clock()):
                if shown.member != place.name:
                    self.log(
                        "state.shown",
                        who=place.name,
                        member=shown.member,
                        life=shown.life,
                        version=shown.version,
                        least=shown.least,
                        most=shown.most,
                        sure=shown.confirmed_ago_ticks,
                    )

    def run(self) -> EventLog:
        plan = self.plan
        self.places = [Place(self, n) for n in range(plan.members)]
        for place in self.places:
            self.at(self.chance.randrange(SECOND // 2), self.begin, place)
        self.at(SECOND, self.moods)
        if plan.faults:
            self.at(2 * SECOND, self.trouble)
        if plan.joiners:
            # They have no part until the charters say so; what they use is lent to them.
            self.at(int(plan.seconds / 2 * SECOND), self.strike, "join", self.places[0], 0)
        if not plan.quiet:
            self.at(SECOND, self.sample)
        self.play(int(plan.seconds * SECOND))
        return self.events

    def play(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, more = heapq.heappop(self.heap)
            what(*more)
        self.now = until
