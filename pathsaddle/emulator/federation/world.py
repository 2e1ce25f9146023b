"""Three regions of dispatchers on the virtual ground: their cores, clients, the workers' capacity, keepers of
the spec.

Each dispatcher runs the program's own cores (`Holder`, `Ways`, `Lender`); a region's workers are one pool
that serves its own first; the register is one cell that a keeper reaches where its region reaches one other.
What happened is logged by the vocabulary of histories, in true time (the moments in fields too), and judged
from the log alone (`judge`).
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from pathsaddle.emulator.federation.ground import Ground
from pathsaddle.emulator.federation.keepers import KeeperMan
from pathsaddle.emulator.federation.member import Member, Txn
from pathsaddle.emulator.federation.plans import KINDS, REGIONS, WORK, Plan, Trouble, text_of
from pathsaddle.emulator.federation.pool import Pool
from pathsaddle.event_log import EventLog
from pathsaddle.federation.spec import Spec, parse
from pathsaddle.leased_versions import Version
from pathsaddle.scheduler_types import SECOND


class World:
    """One run. `events`: what happened."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.events = plan, EventLog()
        self.ground = Ground(REGIONS, seed)
        self.clients = Random(seed * 7919 + 1)  # the same clients whatever the variant does with chance
        self.alive = dict.fromkeys(REGIONS, True)
        self.work: dict[str, int] = {}
        self.surge = dict.fromkeys(REGIONS, 1.0)
        self.refreshed: dict[tuple[str, str], int] = {}
        self.frozen: dict[str, int] = {}
        self.forced = 0
        self.waiting: dict[str, list[tuple[int, Callable[[int], None]]]] = {}
        self.register: list[Version] = []
        self.commit(text_of(plan))
        self.pools = {region: Pool(self, region, plan.slots * plan.members) for region in REGIONS}
        self.keepers = {region: KeeperMan(self, region) for region in REGIONS}
        self.members: dict[str, Member] = {}
        self.by_region: dict[str, list[Member]] = {region: [] for region in REGIONS}
        for region in REGIONS:
            for i in range(plan.members):
                member = Member(self, region, i, self.register[0])
                self.members[member.name] = member
                self.by_region[region].append(member)

    def log(self, what: str, **more: Any) -> None:
        self.events.add(self.ground.now, what, **more)

    def spec(self) -> Spec:
        return self.register[-1].spec

    def commit(self, text: str) -> Version:
        spec = parse(text)
        version = Version(len(self.register) + 1, spec.digest, spec)
        self.register.append(version)
        may = {name: sorted(spec.rule(name, "").may) for name in sorted(spec.schemes)}
        home = {name: form.home for name, form in sorted(spec.schemes.items())}
        data = {name: sorted(spec.readable(name)) for name in sorted(spec.data)}
        self.log(
            "spec.version",
            who="register",
            state="committed",
            version=version.number,
            may=may,
            home=home,
            data=data,
        )
        return version

    def ages(self, region: str) -> dict[str, int]:
        """How old each copy in a region is now: refreshed all the time, unless that has stopped."""
        found = {}
        for name, form in self.spec().data.items():
            if region in form.copies:
                since = self.frozen.get(region)
                found[name] = int(form.copies[region]) + (
                    self.ground.now - since if since is not None and form.copies[region] else 0
                )
        return found

    def run(self) -> EventLog:
        ground, plan = self.ground, self.plan
        for member in self.members.values():
            member.began()
        if plan.how == "on":
            for keeper in self.keepers.values():
                ground.after(ground.chance.randint(0, SECOND // 2), keeper.beat)
        for trouble in plan.troubles:
            self.trouble(trouble)
        for region in REGIONS:
            self.arrive(region, 0)
        ground.run((plan.seconds + 6) * SECOND)
        return self.events

    def arrive(self, region: str, number: int) -> None:
        """One client, and the moment of the next."""
        if self.ground.now >= self.plan.seconds * SECOND:
            return
        chance = self.clients
        rate = self.plan.load * self.plan.slots * self.plan.members / WORK
        draw, at, kind = chance.random(), 0.0, "vault"
        for name, (_, part, _, _) in KINDS.items():
            at += part
            if draw < at:
                kind = name
                break
        tag = f"{region}/{number}"
        self.work[tag] = int(WORK * chance.uniform(0.5, 1.5))
        where, hang = chance.random(), chance.random()
        others = [other for other in REGIONS if other != region]
        other, door = others[int(chance.random() * 2)], int(chance.random() * self.plan.members)
        roams = where < self.plan.roam and self.plan.how != "off"
        self.comes(tag, f"{kind}-{region}", region, other if roams else region, other, door, hang)
        gap = chance.expovariate(rate)
        if self.surge[region] > 1.0:
            gap /= self.surge[region]
        self.ground.after(max(1, int(gap)), self.arrive, region, number + 1)

    def comes(self, tag: str, scheme: str, home: str, to: str, other: str, door: int, hang: float) -> None:
        self.log("client.began", who="c", txn=tag, scheme=scheme, home=home)
        if not self.alive[to]:
            rest = [region for region in REGIONS if region != to and self.alive[region]]
            if not rest:
                self.log("client.got", who="c", txn=tag, outcome="none")
                return
            to = other if other in rest else rest[0]
            # It finds nobody there and turns to another region.
            self.ground.after(3 * SECOND // 10, self.knocks, tag, scheme, home, to, door, hang)
            return
        self.knocks(tag, scheme, home, to, door, hang)

    def knocks(self, tag: str, scheme: str, home: str, to: str, door: int, hang: float) -> None:
        member = self.members[f"{to}-{door}"]
        if not member.up:
            self.log("client.got", who="c", txn=tag, outcome="none")
            return
        kept: list[Txn] = []

        def answer(outcome: str, told: dict[str, Any]) -> None:
            self.log("txn.answer", who=member.name, txn=tag, outcome=outcome, **told)
            self.log("client.got", who="c", txn=tag, outcome=outcome)

        def take() -> None:
            kept.append(member.takes(tag, scheme, home, answer))

        member.gets(take)
        if hang < 0.005:
            self.ground.after(SECOND // 4, lambda: member.hung_up(kept[0]) if kept and member.up else None)

    # Trouble.

    def trouble(self, it: Trouble) -> None:
        at, end = int(it.at * SECOND), int((it.at + it.long) * SECOND)
        ground = self.ground
        if it.kind in ("cut", "flap"):
            period = int(it.more * SECOND) if it.kind == "flap" else 0
            for (a, b), path in ground.paths.items():
                if it.region in (a, b) and (not it.to or (a, b) == (it.region, it.to)):
                    path.cuts.append((at, end, period))
        elif it.kind == "slow":

            def slow(loss: float, factor: float) -> None:
                for path in ground.paths.values():
                    path.loss, path.slow = loss, factor

            ground.at(at, slow, it.more or 0.1, 3.0)
            ground.at(end, slow, 0.0, 1.0)
        elif it.kind == "lost":
            for (a, b), path in ground.paths.items():
                if it.region in (a, b):
                    path.cuts.append((at, end, 0))
            ground.at(at, self.lose, it.region)
            ground.at(end, self.back, it.region)
        elif it.kind == "surge":
            ground.at(at, self.surge.__setitem__, it.region, it.more or 1.6)
            ground.at(end, self.surge.__setitem__, it.region, 1.0)
        elif it.kind == "stale":

            def freeze(on: bool) -> None:
                if on:
                    self.frozen[it.region] = ground.now
                else:
                    self.frozen.pop(it.region, None)

            ground.at(at, freeze, True)
            ground.at(end, freeze, False)
        elif it.kind == "spec":
            ground.at(at, self.respec, (it.region,) if it.region else (), it.killed)
        elif it.kind == "stop":
            for member in self.members.values():
                if member.name == it.to or (not it.to and member.region == it.region):
                    ground.at(at, self.stop, member)
                    ground.at(end, self.goes_on, member)

    def stop(self, member: Member) -> None:
        member.stopped = True

    def goes_on(self, member: Member) -> None:
        member.stopped = False
        for life, call in self.waiting.pop(member.name, []):
            call(life)

    def lose(self, region: str) -> None:
        self.alive[region] = False
        self.log("region.lost", who="ground", region=region)
        for member in self.by_region[region]:
            member.killed()
        self.pools[region].lose()
        self.keepers[region].up = False

    def back(self, region: str) -> None:
        self.alive[region] = True
        self.log("region.back", who="ground", region=region)
        for member in self.by_region[region]:
            member.began()
        self.keepers[region].began()

    def respec(self, forbidden: tuple[str, ...], killed: bool) -> None:
        """A committer in the north offers a new version, commits it half a second later, and maybe dies
        then.
        """
        text = text_of(self.plan, forbidden) + f"# {len(self.register) + 1}\n"
        spec = parse(text)
        version = Version(len(self.register) + 1, spec.digest, spec)
        for member in self.members.values():
            self.ground.carries("north", member.region, member.gets, member.offered, version)

        def commits() -> None:
            self.commit(text)
            if killed:
                self.keepers["north"].up = False
                self.ground.after(3 * SECOND, self.keepers["north"].began)

        self.ground.after(SECOND // 2, commits)
