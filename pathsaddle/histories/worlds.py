"""Right histories, by seeded chance: small models of what each checker judges,
in which nothing wrong ever happens.

They know the truth (one clock, one state) and write what members would, each by its own clock that is off by
at most `skew`. What looks bad and is right comes about in them by itself: outcomes that are never known,
effects that come when their owner is long another, loans that end while their taker stands,
versions that arrive in any order.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import Any

from pathsaddle.histories.logs import MOMENTS, SECOND, Event, in_order

MS = SECOND // 1000


class World:
    """Things to do by time, and what was written. Ends once `size` events are."""

    def __init__(self, chance: Random, size: int) -> None:
        self.chance, self.size = chance, size
        self.events: list[Event] = []
        self.now = 0
        self._todo: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    def say(self, what: str, **more: Any) -> None:
        self.events.append(Event(self.now, what, more))

    def then(self, after: int, act: Callable[..., None], *args: Any) -> None:
        self._order += 1
        heappush(self._todo, (self.now + max(after, 0), self._order, act, args))

    def some(self, most: int) -> int:
        return int(self.chance.random() * most) + 1

    def run(self) -> list[Event]:
        while self._todo and len(self.events) < self.size:
            self.now, _, act, args = heappop(self._todo)
            act(*args)
        return self.events


class RegisterWorld(World):
    """Five members, keys, a register that leases; receivers that refuse lower numbers."""

    LEASE = 5 * SECOND
    STILL = 0.03  # how often a member stands still

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.names = [f"m{i}" for i in range(5)]
        keys = max(2, size // 2000)
        self.keys = [f"key{i}" for i in range(keys)]
        # number, owner, value, revision, when the lease has surely ended
        self.state: dict[str, list[Any]] = {key: [0, "", None, 0, -1] for key in self.keys}
        self.seen: dict[tuple[str, str], tuple[int, int]] = {}
        self.held: dict[tuple[str, str], tuple[int, int]] = {}  # number, until
        self.fences: dict[tuple[str, str], int] = {}
        self.ops = 0
        self.pace = max(1, 50 * SECOND // keys // 50)
        for name in self.names:
            self.then(self.some(SECOND), self.move, name)

    def move(self, who: str) -> None:
        if self.chance.random() < self.STILL:
            self.then(self.some(8 * SECOND), self.move, who)
            return
        key = self.chance.choice(self.keys)
        kinds = ["take", "read", "read", "set"]
        if (who, key) in self.held:
            kinds = ["renew", "renew", "give", "read", "set", "set"]
        kind = self.chance.choice(kinds)
        self.ops += 1
        op = f"{who}/{self.ops}"
        number, revision = self.seen.get((who, key), (0, 0))
        more: dict[str, Any] = {}
        if kind == "set":
            more = {"value": self.ops, "number": number, "revision": revision}
        elif kind in ("renew", "give"):
            more = {"number": self.held[who, key][0]}
        if kind == "give":
            del self.held[who, key]
            self.say("lease.end", who=who, key=key, number=more["number"])
        self.say("reg.call", who=who, op=op, key=key, kind=kind, **more)
        fate = self.chance.random()
        arrives, back = self.some(30 * MS), self.some(30 * MS)
        if fate < 0.04:  # never known, and it comes whenever it likes, or never
            if fate < 0.02:
                self.then(self.some(20 * SECOND), self.arrive, who, op, key, kind, more, self.now, None)
            if fate < 0.03:
                self.then(SECOND, self.end, who, op, {"outcome": "unknown"})
            self.then(SECOND, self.move, who)
            return
        self.then(arrives, self.arrive, who, op, key, kind, more, self.now, back)

    def arrive(
        self, who: str, op: str, key: str, kind: str, more: dict[str, Any], called: int, back: int | None
    ) -> None:
        state = self.state[key]
        fine = True
        if kind == "take":
            fine = state[1] in ("", who) or state[4] < self.now
            if fine:
                state[0] += self.chance.choice((1, 1, 3))
                state[1], state[4] = who, self.now + self.LEASE + SECOND // 4
        elif kind in ("renew", "give"):
            fine = state[0] == more["number"] and state[1] == who
            if fine and kind == "renew":
                state[4] = self.now + self.LEASE + SECOND // 4
            elif fine:
                state[1], state[4] = "", -1
        elif kind == "set":
            fine = state[0] == more["number"] and state[3] == more["revision"]
            if fine:
                state[2], state[3] = more["value"], state[3] + 1
        if back is None:
            return
        told = {
            "outcome": "ok" if fine else "refused",
            "number": state[0],
            "owner": state[1],
            "value": state[2],
            "revision": state[3],
        }
        self.then(back, self.end, who, op, told, key, kind, called)

    def end(
        self, who: str, op: str, told: dict[str, Any], key: str = "", kind: str = "", called: int = 0
    ) -> None:
        self.say("reg.end", who=who, op=op, **told)
        if not kind:
            return
        self.seen[who, key] = told["number"], told["revision"]
        if told["outcome"] == "ok" and kind in ("take", "renew"):
            until = called + self.LEASE
            self.held[who, key] = told["number"], until
            self.say("lease", who=who, key=key, number=told["number"], **{"from": self.now, "until": until})
            self.then(self.some(until - self.now), self.act, who, key, told["number"])
        elif kind == "renew" and (who, key) in self.held:
            del self.held[who, key]
            self.say("lease.end", who=who, key=key, number=told["number"])
        self.then(self.some(self.pace), self.move, who)

    def act(self, who: str, key: str, number: int) -> None:
        held = self.held.get((who, key))
        if held is None or held[0] != number or held[1] <= self.now:
            return
        self.ops += 1
        self.say("act", who=who, key=key, number=number, id=self.ops)
        self.then(
            self.some(8 * SECOND),
            self.effect,
            self.chance.choice(("w1", "w2", "w3")),
            who,
            key,
            number,
            self.ops,
        )

    def effect(self, receiver: str, who: str, key: str, number: int, name: int) -> None:
        taken = number >= self.fences.get((receiver, key), 0)
        if taken:
            self.fences[receiver, key] = number
        self.say("effect", who=receiver, key=key, number=number, by=who, taken=taken, id=name)


class SharesWorld(World):
    """Units that move on lease; each is spent once a second at most, wherever it is.
    And what is open at once.
    """

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.names = [f"m{i}" for i in range(6)]
        self.budgets = [f"b{i}" for i in range(max(1, size // 50_000))]
        # owner, holder, its loan's end or None, when spent last or how much is open
        self.units: dict[str, list[list[Any]]] = {}
        self.dead: dict[str, None] = {}
        for budget in self.budgets:
            self.units[budget] = [[name, name, None, -SECOND, False] for name in self.names for _ in range(5)]
            for name in self.names:
                self.say("share.budget", who=name, budget=budget, units=30)
                self.say("share.budget", who=name, budget=f"{budget}-open", units=30, kind="open")
                self.say("share.rights", who=name, budget=budget, units=5)
            self.then(1, self.lend, budget)
            self.then(1, self.spend, budget)
            self.then(1, self.open, budget)
        self.then(5 * SECOND, self.fall)

    def tell(self, budget: str, name: str) -> None:
        mine = [unit for unit in self.units[budget] if unit[1] == name]
        ends = sorted(unit[2] for unit in mine if unit[2] is not None)
        more = {}
        if ends:
            more = {"until": ends[0], "floor": len(mine) - len(ends)}  # of later loans it tells anew
        self.say("share.rights", who=name, budget=budget, units=len(mine), **more)

    def lend(self, budget: str) -> None:
        self.then(self.some(SECOND // 2), self.lend, budget)
        owner, taker = self.chance.sample(self.names, 2)
        free = [unit for unit in self.units[budget] if unit[0] == unit[1] == owner]
        if owner in self.dead or taker in self.dead or len(free) < 2:
            return
        moved = free[: self.some(len(free) - 1)]
        end = self.now + self.some(3 * SECOND) + SECOND
        for unit in moved:
            unit[1] = ""
        self.tell(budget, owner)
        lost = self.chance.random() < 0.1
        if not lost:
            self.then(self.some(SECOND // 2), self.arrive, budget, taker, moved, end)
        self.then(end - self.now + SECOND // 10, self.home, budget, owner, moved)

    def arrive(self, budget: str, taker: str, moved: list[list[Any]], end: int) -> None:
        if taker in self.dead:
            return
        for unit in moved:
            unit[1], unit[2] = taker, end
        self.tell(budget, taker)
        self.then(end - self.now, self.over, budget, taker, moved)

    def over(self, budget: str, taker: str, moved: list[list[Any]]) -> None:
        for unit in moved:
            unit[1], unit[2] = "", None
        if taker not in self.dead and self.chance.random() < 0.5:
            self.tell(budget, taker)  # or it stands still, and its line says itself when that was over

    def home(self, budget: str, owner: str, moved: list[list[Any]]) -> None:
        for unit in moved:
            unit[1], unit[2] = owner, None
        if owner not in self.dead:
            self.tell(budget, owner)

    def spend(self, budget: str) -> None:
        self.then(self.some(20 * MS), self.spend, budget)
        unit = self.chance.choice(self.units[budget])
        if unit[1] and unit[1] not in self.dead and self.now - unit[3] >= SECOND:
            unit[3] = self.now
            self.say("share.spend", who=unit[1], budget=budget, units=1)

    def open(self, budget: str) -> None:
        self.then(self.some(20 * MS), self.open, budget)
        unit = self.chance.choice(self.units[budget])
        if unit[0] in self.dead or unit[0] not in self.names:
            return
        unit[4] = not unit[4]
        self.say("share.spend", who=unit[0], budget=f"{budget}-open", units=1 if unit[4] else -1)

    def fall(self) -> None:
        self.then(self.some(20 * SECOND), self.fall)
        name = self.chance.choice(self.names)
        if name in self.dead:
            return
        self.dead[name] = None
        self.say("member.ended", who=name, why="killed")
        for units in self.units.values():
            for unit in units:
                if unit[0] == name:
                    unit[4] = False
        self.then(self.some(2 * SECOND), self.rise, name)

    def rise(self, name: str) -> None:
        del self.dead[name]
        self.say("member.began", who=name)
        for budget, units in self.units.items():
            for unit in units:
                if unit[1] == name and unit[0] != name:
                    unit[1], unit[2] = "", None  # a new life does not know what was lent to the old one
            self.tell(budget, name)


class CountsWorld(World):
    """Members count; some say what all counted at some moment of late."""

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.names = [f"m{i}" for i in range(6)]
        self.own = dict.fromkeys(self.names, 0)
        self.past: list[tuple[int, int]] = [(0, 0)]
        self.then(1, self.count)
        self.then(SECOND, self.tell)

    def count(self) -> None:
        self.then(self.some(20 * MS), self.count)
        name = self.chance.choice(self.names)
        self.own[name] = max(0, self.own[name] + self.chance.choice((-2, -1, 1, 2, 3)))
        self.say("count.true", who=name, name="open", units=self.own[name])
        self.past.append((self.now, sum(self.own.values())))

    def tell(self) -> None:
        self.then(self.some(20 * MS), self.tell)
        when, sum_ = self.past[max(0, len(self.past) - self.some(200))]
        wide = self.chance.randrange(3)
        self.say(
            "count.told",
            who=self.chance.choice(self.names),
            name="open",
            low=sum_ - wide,
            high=sum_ + wide,
            age=self.now - when,
        )


class SheddingWorld(World):
    """One level that moves, each member's view of it late; what identifies a txn decides within the band."""

    VALUE, PACE, LAG, RETURNS, BAND = 0.5, 5.0, SECOND // 2, 60, 1.0  # in bands

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.names = [f"m{i}" for i in range(8)]
        self.level, self.past = 10.0, [(0, 10.0)]
        self.waits: dict[tuple[Any, ...], int] = {}
        self.room: dict[int, int] = {}
        self.txns = 0
        self.then(1, self.move)
        for _ in self.names:
            self.then(self.some(100), self.arrive, None)

    def move(self) -> None:
        self.then(SECOND // 20, self.move)
        self.level = max(1.0, self.level + (self.chance.random() - 0.5) * self.PACE / 10)
        self.past.append((self.now, self.level))
        del self.past[:-400]

    def view(self) -> float:
        """Of some moment of the last LAG ticks."""
        when = self.now - self.chance.randrange(self.LAG)
        level = self.past[0][1]
        for at, stood in reversed(self.past):
            if at <= when:
                level = stood
                break
        return level

    def arrive(self, again: tuple[Any, ...] | None) -> None:
        if again is None:
            self.then(self.some(10 * MS), self.arrive, None)
        who = self.chance.choice(self.names)
        self.txns += 1
        if again is None:
            key = self.chance.randrange(100_000)
            standing = self.chance.randrange(20) + key % 100 / 100
            again = ("north" if key % 3 else "south", key, "render", standing)
        customer, key, scheme, standing = again
        period = self.now // (30 * SECOND)
        name = {"txn": self.txns, "customer": customer, "key": key, "scheme": scheme, "period": period}
        level = self.view()
        waits = self.waits.get((customer, key, scheme, period), -1)
        if waits > self.now:  # known anywhere as one that was told to wait
            self.say("shed.out", who=who, standing=standing, level=level, wait=0, why="waits", **name)
        elif standing < level:
            wait = self.wait()
            if wait:
                self.waits[customer, key, scheme, period] = self.now + wait
                self.then(wait, self.back, who, dict(name), self.now, again)
            self.say("shed.out", who=who, standing=standing, level=level, wait=wait, **name)
        else:
            self.say("shed.in", who=who, standing=standing, level=level, **name)

    def wait(self) -> int:
        """A half second in which a third of a second's returns have room still: three of them make any
        second.
        """
        for _ in range(4):
            wait = SECOND + self.some(6 * SECOND)
            half = (self.now + wait) // (SECOND // 2)
            if self.room.get(half, 0) < self.RETURNS // 3:
                self.room[half] = self.room.get(half, 0) + 1
                return wait
        return 0

    def back(self, who: str, name: dict[str, Any], told: int, again: tuple[Any, ...]) -> None:
        self.say("shed.back", who=who, declined=told, until=self.now, obeys=True, **name)
        self.arrive(again)


class PlacementWorld(World):
    """Islands, one keeper of reservations, three planners that take turns and wake late,
    walkers that install.
    """

    COLD = 2

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.limits: dict[str, dict[str, int]] = {}
        self.used: dict[str, dict[str, int]] = {}
        self.bays: dict[str, str] = {}  # bay: unit
        self.held: dict[str, tuple[str, str, int]] = {}  # unit: bay, island, until
        self.needs: dict[str, dict[str, int]] = {}
        for i in range(8):
            island = f"i{i}"
            self.limits[island] = {"bays": 8, "ports": 22, "power": 30, "carries": 1000}
            self.used[island] = dict.fromkeys(("bays", "ports", "power", "carries"), 0)
            self.say("island.limits", who="k", island=island, **self.limits[island])
        for i in range(80):
            unit = f"u{i}"
            self.needs[unit] = {"ports": 2 + i % 4, "power": 3 + i % 5, "carries": 10}
            self.say("unit.needs", who="k", unit=unit, kind="quick", **self.needs[unit])
        self.revision, self.number = 1, 0
        self.planners = {f"p{i}": (0, 0) for i in range(3)}  # number, revision that it has read
        self.steps = 0
        self.cold: dict[str, None] = {}
        self.say("cold.budget", who="k", units=self.COLD)
        self.then(1, self.plans)
        self.then(2, self.reserve)
        self.then(SECOND, self.lapse)

    def plans(self) -> None:
        self.then(self.some(3 * SECOND), self.plans)
        self.number += 1
        who = self.chance.choice(list(self.planners))
        self.planners[who] = self.number, self.revision
        self.say("planner", who=who, number=self.number)
        self.say("plan.new", who=who, plan=self.number, number=self.number, revision=self.revision)

    def reserve(self) -> None:
        self.then(self.some(20 * MS), self.reserve)
        who = self.chance.choice(list(self.planners))
        number, revision = self.planners[who]
        if number == self.number and self.chance.random() < 0.9:
            revision = self.revision
        unit, island = self.chance.choice(list(self.needs)), self.chance.choice(list(self.limits))
        bay = f"{island}/{self.chance.randrange(8)}"
        used, limits, needs = self.used[island], self.limits[island], {"bays": 1, **self.needs[unit]}
        taken = (
            number == self.number
            and revision == self.revision
            and unit not in self.held
            and bay not in self.bays
            and all(used[what] + needs[what] <= limits[what] for what in limits)
        )
        until = self.now + 5 * SECOND + self.some(20 * SECOND)
        self.say(
            "bay.reserve",
            who="k",
            unit=unit,
            bay=bay,
            island=island,
            by=who,
            number=number,
            revision=revision,
            now=self.revision,
            taken=taken,
            until=until,
        )
        self.planners[who] = number, self.revision
        if not taken:
            return
        self.revision += 1
        self.bays[bay], self.held[unit] = unit, (bay, island, until)
        for what in limits:
            used[what] += needs[what]
        self.steps += 3
        plan, first = self.number, self.steps
        self.then(self.some(SECOND), self.walk, f"walk{plan % 2}", plan, first, unit, bay, 0)

    def walk(self, who: str, plan: int, first: int, unit: str, bay: str, step: int) -> None:
        held = self.held.get(unit)
        if held is None or held[0] != bay or held[2] < self.now + 3 * SECOND:
            return
        if step == 1 and not self.room():
            self.then(self.some(SECOND // 10), self.walk, who, plan, first, unit, bay, step)
            return
        if step == 1:
            self.cold[unit] = None
        elif step == 2:
            self.cold.pop(unit, None)
        does = ("install", "warm", "serve")[step]
        after = [first + step - 1] if step else []
        self.say(
            "plan.step",
            who=who,
            plan=plan,
            step=first + step,
            state="begun",
            does=does,
            unit=unit,
            bay=bay,
            after=after,
        )
        self.say(f"bay.{does}", who=who, unit=unit, bay=bay, number=plan)
        self.then(self.some(SECOND // 10), self.walked, who, plan, first, unit, bay, step)

    def room(self) -> bool:
        return len(self.cold) < self.COLD

    def walked(self, who: str, plan: int, first: int, unit: str, bay: str, step: int) -> None:
        self.say("plan.step", who=who, plan=plan, step=first + step, state="done")
        if step < 2:
            self.then(self.some(SECOND // 10), self.walk, who, plan, first, unit, bay, step + 1)

    def lapse(self) -> None:
        self.then(self.some(SECOND // 10), self.lapse)
        for unit, (bay, island, until) in list(self.held.items()):
            over = until <= self.now
            if not over and self.chance.random() < 0.98:
                continue
            if not over:
                self.say("bay.out", who="walk0", unit=unit, bay=bay)
            self.say("bay.release", who="k", unit=unit, bay=bay, why="lease" if over else "word")
            self.revision += 1
            del self.bays[bay], self.held[unit]
            self.cold.pop(unit, None)
            for what, needs in {"bays": 1, **self.needs[unit]}.items():
                self.used[island][what] -= needs


class FederationWorld(World):
    """Three regions, versions that come to members in any order and late,
    members that are cut off for a while.
    """

    REGIONS, LEASE = ("north", "west", "south"), 3 * SECOND

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.members = {f"{region}{i}": region for region in self.REGIONS for i in range(3)}
        self.versions: list[dict[str, Any]] = []
        self.held: dict[str, tuple[int, int]] = {}  # version, until
        self.cut: dict[str, int] = {}
        self.force, self.txns = 0, 0
        for name, region in self.members.items():
            self.say("member.began", who=name, region=region)
        self.then(1, self.commit)
        for name in self.members:
            self.then(self.some(100), self.renew, name)
            self.then(self.some(SECOND), self.send, name)
        self.then(SECOND, self.lose)

    def commit(self) -> None:
        self.then(self.some(6 * SECOND), self.commit)
        may = {
            scheme: [region for region in self.REGIONS if self.chance.random() < 0.6]
            for scheme in ("render", "sign")
        }
        data = {"textures": [region for region in self.REGIONS if self.chance.random() < 0.7]}
        self.versions.append({"may": may, "data": data})
        self.say("spec.version", who="k", version=len(self.versions), state="committed", may=may, data=data)

    def renew(self, name: str) -> None:
        self.then(SECOND // 2 + self.some(SECOND // 2), self.renew, name)
        if self.cut.get(name, -1) > self.now:
            return
        version = max(self.held.get(name, (0, 0))[0], len(self.versions) - self.chance.choice((0, 0, 0, 1)))
        if version < max(1, self.force):
            return
        self.held[name] = version, self.now + self.LEASE
        self.say("spec.version", who=name, version=version, state="held", until=self.now + self.LEASE)
        for number in range(self.force + 1, len(self.versions) + 1):
            if all(
                held >= number or until + SECOND // 2 < self.now for held, until in self.held.values()
            ) and len(self.held) == len(self.members):
                self.force = number
                self.say("spec.version", who="k", version=number, state="force")

    def lose(self) -> None:
        self.then(self.some(2 * SECOND), self.lose)
        self.cut[self.chance.choice(list(self.members))] = self.now + self.some(6 * SECOND)

    def send(self, name: str, again: tuple[Any, ...] | None = None) -> None:
        if again is None:
            self.then(self.some(300 * MS), self.send, name)
        version, until = self.held.get(name, (0, 0))
        if until <= self.now:
            return
        home, rules = self.members[name], self.versions[version - 1]
        if again is None:
            self.txns += 1
            again = self.txns, self.chance.choice(("render", "sign"))
        txn, scheme = again
        places = [region for region in rules["may"][scheme] if region != home]
        if self.chance.random() < 0.3 and rules["data"]["textures"]:
            self.say(
                "data.read",
                who=name,
                region=self.chance.choice(rules["data"]["textures"]),
                data="textures",
                scheme=scheme,
                txn=txn,
                version=version,
                age=self.some(SECOND),
                staleness=SECOND,
            )
        if not places:
            return
        to = self.chance.choice(places)
        self._order += 1
        post = f"{txn}/{self._order}"
        kind = "once-only" if scheme == "sign" else "repeatable"
        self.say(
            "abroad.sent",
            who=name,
            post=post,
            txn=txn,
            scheme=scheme,
            kind=kind,
            origin=home,
            to=to,
            version=version,
            **{"from": home},
        )
        fate = self.chance.choice(("settled", "declined", "unknown", "unknown, ran"))
        self.then(self.some(SECOND // 2), self.arrive, name, again, post, kind, to, fate)

    def arrive(self, name: str, again: tuple[Any, ...], post: str, kind: str, to: str, fate: str) -> None:
        if fate in ("settled", "unknown, ran"):
            self.say("region.ran", who=f"worker-{to}", region=to, txn=again[0], post=post, kind=kind)
        self.then(self.some(SECOND // 2), self.ended, name, again, post, kind, fate)

    def ended(self, name: str, again: tuple[Any, ...], post: str, kind: str, fate: str) -> None:
        outcome = "unknown" if fate.startswith("unknown") else fate
        self.say("abroad.ended", who=name, post=post, txn=again[0], outcome=outcome)
        if outcome == "declined" or (outcome == "unknown" and kind == "repeatable"):
            self.send(name, again)


class TxnsWorld(World):
    """Dispatchers, workers, clients: postings that break, are repeated where they may be,
    answers that are lost.
    """

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.names = [f"m{i}" for i in range(5)]
        self.down: dict[str, int] = {}
        self.lives = dict.fromkeys(self.names, 0)
        self.txns = 0
        for name in self.names:
            self.then(self.some(100), self.take, name)
        self.then(5 * SECOND, self.kill)

    def kill(self) -> None:
        self.then(self.some(20 * SECOND), self.kill)
        name = self.chance.choice(self.names)
        if self.down.get(name, -1) < self.now:
            self.say("member.ended", who=name, why="killed")
            self.lives[name] += 1
            self.down[name] = self.now + self.some(3 * SECOND)

    def take(self, who: str) -> None:
        self.then(self.some(300 * MS), self.take, who)
        if self.down.get(who, -1) >= self.now:
            return
        self.txns += 1
        kind = self.chance.choice(("repeatable", "referenced", "once-only"))
        txn = f"{who}/{self.txns}"
        self.say("txn.taken", who=who, txn=txn, scheme=kind, kind=kind, expiry=self.now + 8 * SECOND)
        self.post(who, self.lives[who], txn, kind, 0)

    def post(self, who: str, life: int, txn: str, kind: str, tries: int) -> None:
        if self.lives[who] != life:
            return
        worker = f"w{self.chance.randrange(6)}"
        post = f"{txn}/{tries}"
        more = {"group": "east"} if kind == "referenced" else {}
        self.say("post.sent", who=who, post=post, txn=txn, worker=worker, kind=kind, **more)
        fate = self.chance.choice(("settled", "settled", "declined", "broken", "broken, ran"))
        self.then(self.some(SECOND // 10), self.reach, who, life, txn, kind, post, worker, fate, tries)

    def reach(
        self, who: str, life: int, txn: str, kind: str, post: str, worker: str, fate: str, tries: int
    ) -> None:
        if fate in ("settled", "broken, ran"):
            self.say("post.ran", who=worker, post=post, txn=txn, kind=kind)
        else:
            self.say("post.dropped", who=worker, post=post, txn=txn)
        self.then(self.some(SECOND // 10), self.ended, who, life, txn, kind, post, fate, tries)

    def ended(self, who: str, life: int, txn: str, kind: str, post: str, fate: str, tries: int) -> None:
        if self.lives[who] != life:
            if self.chance.random() < 0.5:
                self.say("client.got", who="c1", txn=txn, outcome="none")
            return
        outcome = "unknown" if fate.startswith("broken") else fate
        self.say("post.ended", who=who, post=post, txn=txn, outcome=outcome)
        again = outcome == "declined" or (outcome == "unknown" and kind != "once-only")
        if again and tries < 3:
            self.post(who, life, txn, kind, tries + 1)
            return
        answer = {"settled": "settled", "declined": "declined", "unknown": "failed"}[outcome]
        self.say("txn.answer", who=who, txn=txn, outcome=answer)
        got = answer if self.chance.random() < 0.9 else "none"
        self.then(self.some(10 * MS), self.got, txn, got)

    def got(self, txn: str, outcome: str) -> None:
        self.say("client.got", who="c1", txn=txn, outcome=outcome)


class SettingsWorld(World):
    """Keepers that commit groups one after the other, some of them at once; answers that are lost; members that have
    what reached them, on leases, and go by it without one as well; disks that are lost.
    """

    LEASE = 3 * SECOND

    def __init__(self, chance: Random, size: int) -> None:
        super().__init__(chance, size)
        self.members = [f"m{i}" for i in range(5)]
        self.keepers = [f"k{i}" for i in range(3)]
        self.keys = [f"customers.c{i}" for i in range(6)]
        self.line: list[dict[str, Any]] = []  # digest, puts, rows of each committed group
        self.held: dict[str, tuple[int, int]] = {}  # revision, until
        self.cut: dict[str, int] = {}
        self.force, self.ops = 0, 0
        self.call("k0", self.drawn(self.keys), "ok")
        for name in self.members:
            self.then(SECOND + self.some(100), self.renew, name)
            self.then(SECOND + self.some(SECOND), self.act, name)
        self.then(SECOND, self.commit)
        self.then(2 * SECOND, self.lose)

    def drawn(self, keys: list[str]) -> dict[str, Any]:
        # 0 sets no limit.
        return {key: {"allowance": self.chance.choice((0, *range(1, 20)))} for key in keys}

    def commit(self) -> None:
        self.then(self.some(SECOND), self.commit)
        for keeper in self.chance.sample(self.keepers, self.chance.choice((1, 1, 2))):
            puts = self.drawn(self.chance.sample(self.keys, self.chance.choice((1, 1, 2, 3))))
            if self.chance.random() < 0.2:
                puts[next(iter(puts))] = None
            self.call(keeper, puts, self.chance.choice(("ok", "ok", "ok", "ok", "unheard", "lost")))

    def call(self, keeper: str, puts: dict[str, Any], fate: str) -> None:
        self.ops += 1
        group = {
            "op": f"{keeper}/{self.ops}",
            "revision": len(self.line) + 1,
            "digest": f"d{self.ops}",
            "before": self.line[-1]["digest"] if self.line else "",
            "puts": puts,
        }
        self.say("settings.call", who=keeper, **group)
        if fate != "lost":
            self.then(self.some(50 * MS), self.arrive, keeper, group, fate)

    def arrive(self, keeper: str, group: dict[str, Any], fate: str) -> None:
        """At the register, which takes it if it comes after the last."""
        taken = len(self.line) + 1 == group["revision"]
        if taken:
            self.append(group)
            if self.chance.random() < 0.5:
                self.then(self.some(50 * MS), self.read, self.chance.choice(self.keepers), group)
        if fate == "ok":
            self.then(self.some(50 * MS), self.end, keeper, group, "ok" if taken else "refused")
        elif self.chance.random() < 0.5:
            self.then(SECOND, self.end, keeper, group, "unknown")

    def append(self, group: dict[str, Any]) -> None:
        rows = {**(self.line[-1]["rows"] if self.line else {}), **group["puts"]}
        self.line.append({"digest": group["digest"], "puts": group["puts"], "rows": rows})

    def end(self, keeper: str, group: dict[str, Any], outcome: str) -> None:
        self.say("settings.end", who=keeper, op=group["op"], outcome=outcome)

    def read(self, keeper: str, group: dict[str, Any]) -> None:
        self.say("settings.read", who=keeper, revision=group["revision"], digest=group["digest"])

    def newest(self, name: str) -> int:
        return max(
            1, self.held.get(name, (0, 0))[0], self.force, len(self.line) - self.chance.choice((0, 0, 0, 1))
        )

    def renew(self, name: str) -> None:
        self.then(SECOND // 2 + self.some(SECOND // 2), self.renew, name)
        if self.cut.get(name, -1) <= self.now:
            self.held[name] = self.newest(name), self.now + self.LEASE
            self.judge()

    def judge(self) -> None:
        """In force: who is behind has no lease, and nothing that it may do was withdrawn."""
        for number in range(self.force + 1, len(self.line) + 1):
            if all(
                revision >= number or (until < self.now and self.stands(revision, number))
                for revision, until in self.held.values()
            ):
                self.force = number
                self.say("settings.force", who="k1", revision=number, digest=self.line[number - 1]["digest"])

    def stands(self, revision: int, number: int) -> bool:
        old, new = (self.line[one - 1]["rows"] for one in (revision, number))

        def most(row: dict[str, Any] | None) -> int:
            return 0 if row is None else row["allowance"] or 1000

        return all(most(old[key]) <= most(new[key]) for key in self.keys)

    def act(self, name: str) -> None:
        self.then(self.some(200 * MS), self.act, name)
        if name not in self.held:
            return
        revision, until = self.held[name]
        group = self.line[revision - 1]
        key = self.chance.choice(self.keys)
        told = {"revision": revision, "digest": group["digest"]}
        self.say(
            "settings.act",
            who=name,
            key=key,
            value=self.value(name, group["rows"][key]),
            leased=until > self.now,
            **told,
        )
        if self.chance.random() < 0.3:
            self.say(
                "settings.rows", who=name, rows={key: group["rows"][key] for key in group["puts"]}, **told
            )

    def value(self, name: str, row: dict[str, Any] | None) -> dict[str, Any] | None:
        """Less, where an offer that is not committed says so."""
        return {"allowance": 1} if row is not None and self.chance.random() < 0.1 else row

    def lose(self) -> None:
        self.then(self.some(2 * SECOND), self.lose)
        name = self.chance.choice(self.members)
        self.cut[name] = self.now + self.some(8 * SECOND)
        if name in self.held and self.chance.random() < 0.5:
            self.say("member.ended", who=name, why="killed")
            self.restart(name, self.chance.random() < 0.3)

    def restart(self, name: str, lost: bool) -> None:
        self.held[name] = self.held[name][0], self.now
        if lost:
            self.say("disk.lost", who=name)
            del self.held[name]
        self.say("member.began", who=name)


WORLDS: dict[str, type[World]] = {
    "register": RegisterWorld,
    "shares": SharesWorld,
    "counts": CountsWorld,
    "shedding": SheddingWorld,
    "placement": PlacementWorld,
    "federation": FederationWorld,
    "txns": TxnsWorld,
    "settings": SettingsWorld,
}


def by_clocks(events: list[Event], chance: Random, skew: int) -> list[Event]:
    """As members with clocks of their own would have written it, each off by up to `skew`."""
    if not skew:
        return in_order(events)
    names = sorted({str(event.more["who"]) for event in events})
    off = {name: chance.randint(-skew, skew) for name in names}
    rows = []
    for event in events:
        by = off[str(event.more["who"])]
        more = {
            name: value + by if name in MOMENTS and isinstance(value, int) else value
            for name, value in event.more.items()
        }
        rows.append(Event(event.at + by, event.what, more))
    return in_order(rows)


def right(name: str, seed: int, size: int, skew: int = 0) -> list[Event]:
    """A right history of about so many events."""
    chance = Random(f"{name}/{seed}")
    return by_clocks(WORLDS[name](chance, size).run(), chance, skew)
