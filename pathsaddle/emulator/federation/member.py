"""One dispatcher of the virtual ground: the program's cores, and what goes to and from them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pathsaddle.emulator.federation.around import KeeperMan, World
from pathsaddle.emulator.federation.ground import Clock
from pathsaddle.emulator.federation.plans import EXPIRY, KINDS, LEASE, ON_TIME, REGIONS, WORK
from pathsaddle.emulator.federation.pool import Piece
from pathsaddle.federation.routing import SOON, Candidate, RegionRouter, RoutedRequest
from pathsaddle.federation.spare_capacity import SpareCapacityLender, parts
from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT, Grant, QuotaRequest
from pathsaddle.leased_versions import CommitNotice, LeaseRenewal, Version, VersionSubscriber, new_subscriber
from pathsaddle.scheduler_types import MILLISECOND, SECOND


@dataclass(eq=False)
class Txn:
    """One txn at a dispatcher: of its own client, or another region's (`post`: by which it came, to answer
    by).
    """

    tag: str
    scheme: str
    kind: str
    work: int
    expires: int  # true time
    job: RoutedRequest
    answer: Callable[..., None]
    home: str
    done: bool = False
    tries: dict[str, Post] = field(default_factory=dict)
    reason: Candidate | None = None
    piece: Piece | None = None


@dataclass(eq=False)
class Post:
    post: str
    region: str
    member: str
    sent: int  # own clock
    lent: bool  # abroad there, not at home
    state: str = "open"
    looks: int = 0


class Member:
    """One dispatcher. A life ends with its region; the next begins with the version on its disk."""

    def __init__(self, world: World, region: str, number: int, version: Version) -> None:
        self.world, self.region, self.name = world, region, f"{region}-{number}"
        self.number = number
        chance = world.ground.chance
        self.clock = Clock(
            chance.randrange(-36_000_000, 36_000_000),
            chance.uniform(-MAX_CLOCK_DRIFT / 2, MAX_CLOCK_DRIFT / 2),
        )
        self.disk = version
        self.life = 0
        self.up = False
        self.stopped = False
        self.counts: dict[str, int] = {}

    def began(self) -> None:
        self.life += 1
        self.up = True
        world, now = self.world, self.now()
        world.log("member.began", who=self.name, life=self.life, region=self.region)
        self.holder: VersionSubscriber = new_subscriber(self.name, self.region, self.life, LEASE, self.disk)
        self.ways = RegionRouter(
            self.name, self.region, [region for region in REGIONS if region != self.region]
        )
        pool = world.pools[self.region]
        budget = int(self.disk.spec.regions[self.region].lend * pool.slots * SECOND / WORK)
        part = parts(budget, world.plan.members)[self.number]
        self.lender = SpareCapacityLender(
            self.name, self.life, part, now - (9 * SECOND if self.life == 1 else 0)
        )
        self.born = now
        self.txns: dict[Txn, None] = {}
        self.waits: dict[Txn, None] = {}
        self.lent: dict[str, Txn | str] = {}
        self.rights: tuple[int, int] = (-1, 0)
        world.log("share.budget", who=self.name, budget=f"lend-{self.region}", units=budget)
        self.held()
        self.tell_rights()
        self.renew(self.life)
        world.ground.after(world.ground.chance.randint(0, SECOND // 2), self.beat, self.life)

    def now(self) -> int:
        return self.clock.own(self.world.ground.now)

    def killed(self) -> None:
        self.up = False
        self.world.log("member.ended", who=self.name, why="killed")
        for txn in self.txns:
            txn.done = True

    def when(self, own: int, call: Callable[..., None], *told: Any) -> None:
        """At a moment of its own clock, if that life still is."""

        def go(life: int) -> None:
            if not self.up or life != self.life:
                return
            if self.stopped:
                self.world.waiting.setdefault(self.name, []).append((life, go))
                return
            call(*told)

        self.world.ground.at(self.clock.true(own) + 1, go, self.life)

    def gets(self, call: Callable[..., None], *told: Any) -> None:
        """A message has come to its machine."""
        if not self.up:
            return
        if self.stopped:
            self.world.waiting.setdefault(self.name, []).append(
                (self.life, lambda life: call(*told) if self.up and life == self.life else None)
            )
            return
        call(*told)

    # The spec.

    def renew(self, life: int) -> None:
        if not self.up or life != self.life:
            return
        self.holder, ask = self.holder.asks(self.now())
        # Its own region's keeper, every third time another's: who is cut off from one may reach another.
        region = self.region if ask.echo % 3 else REGIONS[ask.echo // 3 % 3]
        world = self.world
        world.ground.carries(
            self.region, region, world.keepers[region].asked, self, ask, self.holder.known[0]
        )
        self.when(self.now() + LEASE // 5 + world.ground.chance.randint(0, SECOND // 4), self.renew, life)

    def offered(self, version: Version) -> None:
        before = self.holder
        self.holder = before.offered(version)
        if self.holder is not before:
            if self.holder.base is before.base:
                self.world.log("spec.offered", who=self.name, version=version.number)
            self.keep()

    def told(self, commit: CommitNotice, keeper: KeeperMan) -> None:
        self.holder, have = self.holder.told(commit)
        self.keep()
        if have is not None:
            self.world.ground.carries(self.region, keeper.region, keeper.hears, have)

    def renewed(self, told: LeaseRenewal) -> None:
        before = self.holder
        self.holder = before.renewed(told, self.now())
        if self.holder is not before:
            self.keep()

    def keep(self) -> None:
        """On disk, synced, before any word of it is sent."""
        self.disk = self.holder.base
        if (self.holder.base.number, self.holder.ends()) != self.shown:
            self.held()

    def held(self) -> None:
        self.shown = self.holder.base.number, self.holder.ends()
        self.world.log(
            "spec.version",
            who=self.name,
            state="held",
            version=self.shown[0],
            until=self.clock.true(self.shown[1]),
        )

    # Evidence, and shares among fellows.

    def beat(self, life: int) -> None:
        """Now and then: an asking of each other region that costs no work, a word to a fellow, shares."""
        if not self.up or life != self.life:
            return
        world, chance, now = self.world, self.world.ground.chance, self.now()
        if world.plan.how == "on":
            for region in self.ways.ways:
                self.asks(region)
            fellow = world.members[f"{self.region}-{chance.randrange(world.plan.members)}"]
            if fellow is not self:
                word = {region: (way.overdue, now - way.heard) for region, way in self.ways.ways.items()}
                world.ground.carries(self.region, self.region, fellow.gets, fellow.word, self.name, word)
            self.lender.asks(now)
            self.says()
            self.tell_rights()
        pace = max(SECOND // 4, world.plan.members * SECOND // 50)
        self.when(now + chance.randint(pace * 3 // 4, pace * 5 // 4), self.beat, life)

    def asks(self, region: str) -> None:
        world, now = self.world, self.now()
        other = world.members[f"{region}-{world.ground.chance.randrange(world.plan.members)}"]
        asked = [True]
        life = self.life

        def answer(wait: int, free: int, ages: dict[str, int]) -> None:
            if asked[0] and life == self.life:
                asked[0] = False
                self.ways.answered(region, now, self.now(), 0, wait, free, ages)

        def heard() -> None:
            pool = world.pools[region]
            world.ground.carries(
                region, self.region, self.gets, answer, pool.wait(), pool.spare(), world.ages(region)
            )

        world.ground.carries(self.region, region, other.gets, heard)

        def late() -> None:
            if asked[0]:
                asked[0] = False
                self.ways.silent(region, now, self.now())

        self.when(now + self.ways.ways[region].patience() + MILLISECOND * 20, late)

    def word(self, fellow: str, word: dict[str, tuple[int, int]]) -> None:
        now = self.now()
        for region, (overdue, ago) in word.items():
            self.ways.word(
                region, fellow, overdue, now - int(ago * (1 + 2 * MAX_CLOCK_DRIFT)) - MILLISECOND, now
            )

    def says(self) -> None:
        out, self.lender.out = self.lender.out, []
        world = self.world
        for said in out:
            if isinstance(said, Grant):
                other = world.members[said.taker]
                self.tell_rights()  # a fall, before the units can be used elsewhere
                world.ground.carries(self.region, self.region, other.gets, other.shares, said)
            else:
                fellows = [m for m in world.by_region[self.region] if m is not self]
                for other in world.ground.chance.sample(fellows, min(3, len(fellows))):
                    world.ground.carries(self.region, self.region, other.gets, other.shares, said)

    def shares(self, said: QuotaRequest | Grant) -> None:
        self.lender.hears(said, self.now())
        self.says()
        self.tell_rights()

    def tell_rights(self) -> None:
        now = self.now()
        until, floor = self.lender.until(now)
        told = (self.lender.usable(now), until)
        if told != self.rights:
            self.rights = told
            self.world.log(
                "share.rights",
                who=self.name,
                budget=f"lend-{self.region}",
                units=told[0],
                until=min(1 << 60, self.clock.true(until) + 2),
                floor=floor,
            )

    # Txns.

    def takes(self, tag: str, scheme: str, home: str, answer: Callable[..., None]) -> Txn:
        world = self.world
        kind = KINDS[scheme.split("-")[0]][0]
        expires = world.ground.now + EXPIRY
        left = self.clock.own(world.ground.now + ON_TIME) - 50 * MILLISECOND
        work = world.work[tag]
        txn = Txn(
            tag,
            scheme,
            kind,
            work,
            expires,
            RoutedRequest(tag, scheme, WORK, left, self.region),
            answer,
            home,
        )
        world.log(
            "txn.taken",
            who=self.name,
            txn=tag,
            scheme=scheme,
            kind=kind,
            expiry=expires,
            home=home,
            region=self.region,
            value=KINDS[scheme.split("-")[0]][2],
        )
        self.txns[txn] = None
        self.when(self.clock.own(expires) - 50 * MILLISECOND, self.expired, txn)
        self.consider(txn)
        return txn

    def expired(self, txn: Txn) -> None:
        if txn.done:
            return
        may_have = bool(
            txn.job.unknown or any(post.state == "open" for post in txn.tries.values()) or txn.piece
        )
        if txn.piece is not None:
            self.world.pools[self.region].cancel(txn.piece)
        self.answers(txn, "failed" if may_have else "declined")

    def answers(self, txn: Txn, outcome: str) -> None:
        if txn.done:
            return
        txn.done = True
        self.txns.pop(txn, None)
        for post in txn.tries.values():
            self.cancel(post)
        reason = txn.reason
        told = (
            {}
            if reason is None
            else {"code": reason.code, "key": reason.key, "line": reason.line, "version": reason.version}
        )
        txn.answer(outcome, told)

    def hung_up(self, txn: Txn) -> None:
        """Its client has closed: told on to where it is."""
        if txn.done or txn.piece is not None:
            return
        self.world.log("hang.up", who=self.name, txn=txn.tag)
        for post in txn.tries.values():
            self.cancel(post)
        txn.done = True
        self.txns.pop(txn, None)

    def cancel(self, post: Post) -> None:
        """Told on; that it ran or not is not known from then on."""
        if post.state in ("open", "unknown"):
            if post.state == "open":
                self.ways.ended(post.region, "gone", post.lent, self.now())
            post.state = "gone"
            other = self.world.members[post.member]
            self.world.ground.carries(self.region, post.region, other.gets, other.cancelled, post.post)

    def hold(self, txn: Txn) -> None:
        """At its source, until there is room: dear ones first, then those with the least time."""
        if not self.waits:
            self.when(self.now() + SOON, self.look)
        self.waits[txn] = None

    def look(self) -> None:
        """The first few that are refused speak for the rest; who can't end in time any more is answered at
        once.
        """
        now, refused = self.now(), 0
        held = sorted(
            self.waits, key=lambda txn: (-KINDS[txn.scheme.split("-")[0]][2], txn.job.left, txn.tag)
        )
        self.waits = {}
        for txn in held:
            if txn.done:
                continue
            late = now + WORK + 4 * SOON > txn.job.left
            if refused < 4 or late:
                self.consider(txn)
                refused += txn in self.waits
            else:
                self.hold(txn)

    def consider(self, txn: Txn) -> None:
        if txn.done:
            return
        now, world = self.now(), self.world
        pool = world.pools[self.region]
        if world.plan.how != "on":
            own = txn.home == self.region or world.plan.how == "plain"
            if not own or now + pool.wait() + WORK > txn.job.left:
                self.answers(txn, "declined")
                return
            self.run(txn, Candidate("run", "home", region=self.region))
            return
        self.ways.own_wait, self.ways.own_ages = pool.wait(), world.ages(self.region)
        base = self.holder.base
        place = self.ways.choose(txn.job, self.holder.rule(txn.scheme, now), base.spec, base.number, now)
        if place.what == "run" and txn.home != self.region:
            why = self.lender.asked(
                txn.scheme, self.holder.rule(txn.scheme, now), self.region, pool.free(), now
            )
            if why:
                if txn.job.origin != self.region:
                    self.counts[why] = self.counts.get(why, 0) + 1
                    self.answers(txn, "declined")
                    return
                txn.job.again[self.region] = now + SOON
                place = Candidate(
                    "hold", why, until=now + SOON, key=place.key, line=place.line, version=place.version
                )
            else:
                self.tell_rights()
                world.log("share.spend", who=self.name, budget=f"lend-{self.region}", units=1)
        self.counts[place.code] = self.counts.get(place.code, 0) + 1
        txn.reason = place
        if place.what == "run":
            self.run(txn, place)
        elif place.what == "send":
            self.send(txn, place)
        elif place.what == "hold":
            if txn.job.origin != self.region:
                self.answers(txn, "declined")  # held at its source
            else:
                self.hold(txn)
        elif place.what == "decline":
            self.answers(txn, "declined")

    def run(self, txn: Txn, place: Candidate) -> None:
        world = self.world
        post = (
            f"{txn.tag}/{self.name}/here" if txn.job.origin == self.region else f"{txn.tag}/{self.name}/lent"
        )
        work = txn.work + (int(0.15 * SECOND) if place.fetch else 0)

        def begins() -> bool:
            if txn.done or not self.up:
                return False
            rule = self.holder.rule(txn.scheme, self.now())
            if world.plan.how == "on" and self.region not in rule.may:
                # The spec was tightened while it waited.
                txn.piece = None
                self.answers(txn, "declined")
                return False
            world.log(
                "region.ran",
                who=f"{self.region}-workers",
                by=self.name,
                region=self.region,
                txn=txn.tag,
                post=post,
                kind=txn.kind,
                scheme=txn.scheme,
                home=txn.home,
            )
            if rule.data is not None and world.plan.how == "on":
                ages = world.ages(self.region)
                age = 0 if place.fetch else ages.get(rule.data, 0)
                world.log(
                    "data.read",
                    who=self.name,
                    region=self.region,
                    data=rule.data,
                    scheme=txn.scheme,
                    txn=txn.tag,
                    version=self.holder.base.number,
                    age=age,
                    fetched=place.fetch,
                    staleness=rule.staleness if rule.staleness is not None else 1 << 60,
                )
            return True

        def ends() -> None:
            txn.piece = None
            self.answers(txn, "settled")

        txn.piece = Piece(
            txn.home == self.region or world.plan.how == "plain", txn.scheme, work, post, begins, ends
        )
        world.pools[self.region].put(txn.piece)

    def send(self, txn: Txn, place: Candidate) -> None:
        world, now, region = self.world, self.now(), place.region
        number = len(txn.tries)
        other = world.members[f"{region}-{world.ground.chance.randrange(world.plan.members)}"]
        post = Post(f"{txn.tag}/{self.name}/{number}", region, other.name, now, region != txn.home)
        txn.tries[post.post] = post
        self.ways.opened(region, post.lent)
        world.log(
            "abroad.sent",
            who=self.name,
            post=post.post,
            txn=txn.tag,
            scheme=txn.scheme,
            kind=txn.kind,
            origin=txn.job.origin,
            to=region,
            version=place.version,
            code=place.code,
            line=place.line,
            home=txn.home,
            **{"from": self.region},
        )
        way = self.ways.ways[region]
        # Time left is told as a span, less half the way: no two clocks need be equal.
        left = int((txn.job.left - now - (way.trip + way.off) / 2) / (1 + MAX_CLOCK_DRIFT)) - 10 * MILLISECOND
        world.ground.carries(self.region, region, other.gets, other.asked, self, post.post, txn, left)
        told = max(0, way.wait - (now - way.told))
        self.when(now + way.patience() + told + int(1.6 * WORK), self.silent, txn, post)

    def asked(self, sender: Member, post: str, txn: Txn, left: int) -> None:
        """Another region's dispatcher sends a job, by the call that clients use."""
        if post in self.lent:
            return  # doubled on the way, or told to be gone before it came
        now, world = self.now(), self.world
        began = [now]

        def answer(outcome: str, told: dict[str, Any]) -> None:
            self.lent[post] = outcome
            pool = world.pools[self.region]
            world.ground.carries(
                self.region,
                sender.region,
                sender.gets,
                sender.answered,
                txn,
                post,
                outcome,
                self.now() - began[0],
                pool.wait(),
                pool.spare(),
                world.ages(self.region),
            )

        origin = txn.job.origin
        lent = Txn(
            txn.tag,
            txn.scheme,
            txn.kind,
            txn.work,
            txn.expires,
            RoutedRequest(txn.tag, txn.scheme, WORK, now + left, origin),
            answer,
            txn.home,
        )
        self.lent[post] = lent
        if txn.home == self.region and now + world.pools[self.region].wait() + WORK > now + left:
            self.answers(lent, "declined")
            return
        self.consider(lent)

    def cancelled(self, post: str) -> None:
        lent = self.lent.get(post)
        if lent is None:
            self.lent[post] = "declined"
        elif isinstance(lent, Txn) and not lent.done and lent.piece is not None:
            ran = lent.piece.running
            self.world.log("hang.told", who=self.name, post=post)
            self.world.pools[self.region].cancel(lent.piece)
            lent.done = True
            self.lent[post] = "reversed" if ran else "declined"

    def answered(
        self, txn: Txn, post: str, outcome: str, took: int, wait: int, free: int, ages: dict[str, int]
    ) -> None:
        tried = txn.tries.get(post)
        if tried is None or tried.state in ("settled", "declined", "gone"):
            return
        now = self.now()
        self.ways.answered(tried.region, tried.sent, now, took, wait, free, ages)
        if tried.state == "open":
            self.ways.ended(tried.region, outcome if outcome == "settled" else "declined", tried.lent, now)
        self.end_of(txn, tried, "settled" if outcome == "settled" else "declined")

    def end_of(self, txn: Txn, post: Post, outcome: str) -> None:
        post.state = outcome
        self.world.log("abroad.ended", who=self.name, post=post.post, txn=txn.tag, outcome=outcome)
        if outcome == "settled":
            self.answers(txn, "settled")
            return
        if post.region in txn.job.unknown:
            txn.job.unknown.remove(post.region)  # it is proven now that this one never ran
        txn.job.again[post.region] = self.now() + int(self.ways.ways[post.region].trip)
        self.consider(txn)

    def silent(self, txn: Txn, post: Post) -> None:
        """Nothing came: it may have run. The same dispatcher is asked what became of it, now and then."""
        if post.state not in ("open", "unknown") or txn.done:
            return
        now = self.now()
        if post.state == "open":
            post.state = "unknown"
            self.world.log("abroad.ended", who=self.name, post=post.post, txn=txn.tag, outcome="unknown")
            self.ways.ended(post.region, "unknown", post.lent, now)
            self.ways.silent(post.region, post.sent, now)
            txn.job.unknown.append(post.region)
            self.consider(txn)
        if post.looks < 5 and not txn.done:
            post.looks += 1
            other = self.world.members[post.member]
            self.world.ground.carries(
                self.region, post.region, other.gets, other.looked, self, txn, post.post
            )
            self.when(now + self.ways.ways[post.region].patience() * (1 + post.looks), self.silent, txn, post)

    def looked(self, sender: Member, txn: Txn, post: str) -> None:
        lent = self.lent.get(post)
        ground = self.world.ground
        if lent is None:
            self.lent[post] = "declined"  # if it comes after this word, it is not begun
            age = int((self.now() - self.born) * (1 - MAX_CLOCK_DRIFT))
            ground.carries(self.region, sender.region, sender.gets, sender.never, txn, post, age)
        elif isinstance(lent, str):
            pool = self.world.pools[self.region]
            ground.carries(
                self.region,
                sender.region,
                sender.gets,
                sender.answered,
                txn,
                post,
                lent,
                0,
                pool.wait(),
                pool.spare(),
                self.world.ages(self.region),
            )

    def never(self, txn: Txn, post: str, age: int) -> None:
        """It was never heard of by a life that was there before it was sent: it never ran, and never will."""
        tried = txn.tries.get(post)
        if (
            tried is None
            or tried.state != "unknown"
            or age < (self.now() - tried.sent) * (1 + MAX_CLOCK_DRIFT)
        ):
            return
        self.end_of(txn, tried, "declined")
