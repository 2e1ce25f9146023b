"""Three regions of dispatchers on the virtual ground: their cores, clients, the workers' capacity, keepers of the spec.

Each dispatcher runs the program's own cores (`Holder`, `Ways`, `Lender`); a region's workers are one pool that serves its own
first; the register is one cell that a keeper reaches where its region reaches one other. What happened is logged by
the vocabulary of histories, in true time (the moments in fields too), and judged from the log alone (`judge`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pathsaddle.emulator.events import Events
from pathsaddle.emulator.federation.ground import Clock, Ground
from pathsaddle.federation.lend import Free, Lender, parts
from pathsaddle.federation.spec import Spec, parse
from pathsaddle.federation.versions import Ask, Commit, Have, Holder, Keeper, Renewed, Version, holder
from pathsaddle.federation.ways import SOON, Job, Place, Ways
from pathsaddle.fleet.state.shares import DRIFT, Lend, Want
from pathsaddle.trade import MILLISECOND, SECOND

REGIONS = ["north", "south", "west"]
WORK = 4 * SECOND // 10  # the mean of a job
ON_TIME = 3 * SECOND
EXPIRY = 4 * SECOND
LEASE = 8 * SECOND  # on the spec
COLD = 3  # so many jobs a slot until a pool is warm
# kind of scheme: semantics, part of all, value, whether it may leave home
KINDS = {"lookup": ("repeatable", 0.5, 2.0, True), "sign": ("referenced", 0.2, 1.0, True),
         "charge": ("once-only", 0.2, 3.0, True), "vault": ("repeatable", 0.1, 1.0, False)}


@dataclass(frozen=True)
class Trouble:
    """kind: lost, cut (region -> to; no `to`: all its ways), slow, flap, surge, stale (its copies), spec (a new
    version: `text` made of the one before by `forbid`, a region taken out of all its foreigners' may, or `allow`, put
    back), stop (a member stands still)."""

    kind: str
    at: float
    long: float = 0.0
    region: str = ""
    to: str = ""
    more: float = 0.0
    killed: bool = False


@dataclass(frozen=True)
class Plan:
    """members: dispatchers a region. how: `on`; `off`: what isn't of this region is declined; `plain`: it is served as
    own, as by dispatchers that know of no regions."""

    members: int = 5
    load: float = 0.7
    seconds: int = 60
    how: str = "on"
    slots: int = 4
    at_most: float = 1.0
    lend: float = 0.8
    roam: float = 0.05
    troubles: tuple[Trouble, ...] = ()


def text_of(plan: Plan, forbidden: tuple[str, ...] = ()) -> str:
    """The spec of this world; `forbidden`: regions that lend to nobody."""
    lines = []
    for region in REGIONS:
        names = ", ".join(f'"{region}-{i}"' for i in range(plan.members))
        group = "atlantic" if region != "south" else "pacific"
        lines += [f"[regions.{region}]", f"members = [{names}]", f'group = "{group}"', f"lend = {plan.lend}"]
    for home in REGIONS:
        order = [region for region in REGIONS if region != home and region not in forbidden]
        for kind, (semantics, _, _, leaves) in KINDS.items():
            lines += [f"[schemes.{kind}-{home}]", f'semantics = "{semantics}"', f'home = "{home}"']
            if leaves and order:
                shown = ", ".join(f'"{region}"' for region in order)
                lines += [f'may = ["{home}", {shown}]', f"fail_over = [{shown}]", 'when = ["lost", "overloaded"]',
                          f"at_most = {plan.at_most}"]
            if kind == "lookup":
                lines += [f'data = "maps-{home}"', 'staleness = "12s"']
    for home in REGIONS:
        west = "west" if home != "west" else "north"
        lines += [f"[data.maps-{home}]", f'copies = {{ {home} = "0s", {west} = "5s" }}', "fetch = 0.15"]
    return "\n".join(lines) + "\n"


@dataclass(eq=False)
class Txn:
    """One txn at a dispatcher: of its own client, or another region's (`post`: by which it came, to answer by)."""

    tag: str
    scheme: str
    kind: str
    work: int
    expires: int  # true time
    job: Job
    answer: Callable[..., None]
    home: str
    done: bool = False
    tries: dict[str, Post] = field(default_factory=dict)
    reason: Place | None = None
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


@dataclass(eq=False)
class Piece:
    """A job in a pool."""

    own: bool
    scheme: str
    work: int
    post: str
    begins: Callable[[], bool]
    ends: Callable[[], None]
    gone: bool = False
    running: bool = False


class Pool:
    """A region's workers as one: so many slots, own jobs first, cold after a loss."""

    def __init__(self, world: World, region: str, slots: int) -> None:
        self.world, self.region, self.slots = world, region, slots
        self.own: deque[Piece] = deque()
        self.foreign: deque[Piece] = deque()
        self.running = 0
        self.of: dict[str, int] = {}
        self.epoch = 0
        self.warm = COLD * slots

    def wait(self) -> int:
        waiting = len(self.own)
        if self.running < self.slots and not waiting:
            return 0
        return int((waiting + 1) * WORK * self.slower() / self.slots)

    def slower(self) -> float:
        return 1.0 + 2.0 * max(0.0, 1 - self.warm / (COLD * self.slots))

    def free(self) -> Free:
        return Free(self.slots - self.running, len(self.own), sum(self.of.values()), self.of)

    def spare(self) -> int:
        return 0 if self.own else self.slots - self.running

    def put(self, piece: Piece) -> None:
        self.world.log("work.queued", who=f"{self.region}-workers", region=self.region, post=piece.post, own=piece.own)
        (self.own if piece.own else self.foreign).append(piece)
        self.go()

    def next(self) -> Piece | None:
        for queue in (self.own, self.foreign):
            while queue:
                piece = queue.popleft()
                if not piece.gone:
                    return piece
                self.left(piece)
        return None

    def left(self, piece: Piece) -> None:
        self.world.log("work.left", who=f"{self.region}-workers", region=self.region, post=piece.post)

    def go(self) -> None:
        while self.running < self.slots:
            piece = self.next()
            if piece is None:
                return
            if not piece.begins():
                self.left(piece)
                continue
            piece.running = True
            self.running += 1
            if not piece.own:
                self.of[piece.scheme] = self.of.get(piece.scheme, 0) + 1
            self.world.ground.after(int(piece.work * self.slower()), self.end, piece, self.epoch)

    def end(self, piece: Piece, epoch: int) -> None:
        if epoch != self.epoch or not piece.running:
            return
        self.stop(piece)
        piece.ends()

    def stop(self, piece: Piece) -> None:
        piece.running = False
        self.running -= 1
        self.world.log("work.ended", who=f"{self.region}-workers", region=self.region, post=piece.post)
        self.warm += 1
        if not piece.own:
            self.of[piece.scheme] -= 1
        self.go()

    def cancel(self, piece: Piece) -> None:
        """Its caller hung up: it is not begun, or its slot is free again."""
        piece.gone = True
        if piece.running:
            self.stop(piece)

    def lose(self) -> None:
        self.epoch += 1
        for piece in (*self.own, *self.foreign):
            self.left(piece)
        self.own.clear()
        self.foreign.clear()
        self.running, self.of, self.warm = 0, {}, 0


class Member:
    """One dispatcher. A life ends with its region; the next begins with the version on its disk."""

    def __init__(self, world: World, region: str, number: int, version: Version) -> None:
        self.world, self.region, self.name = world, region, f"{region}-{number}"
        self.number = number
        chance = world.ground.chance
        self.clock = Clock(chance.randrange(-36_000_000, 36_000_000), chance.uniform(-DRIFT / 2, DRIFT / 2))
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
        self.holder: Holder = holder(self.name, self.region, self.life, LEASE, self.disk)
        self.ways = Ways(self.name, self.region, [region for region in REGIONS if region != self.region])
        pool = world.pools[self.region]
        budget = int(self.disk.spec.regions[self.region].lend * pool.slots * SECOND / WORK)
        part = parts(budget, world.plan.members)[self.number]
        self.lender = Lender(self.name, self.life, part, now - (9 * SECOND if self.life == 1 else 0))
        self.born = now
        self.txns: dict[Txn, None] = {}
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
                (self.life, lambda life: call(*told) if self.up and life == self.life else None))
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
        world.ground.carries(self.region, region, world.keepers[region].asked, self, ask, self.holder.known[0])
        self.when(self.now() + LEASE // 5 + world.ground.chance.randint(0, SECOND // 4), self.renew, life)

    def offered(self, version: Version) -> None:
        before = self.holder
        self.holder = before.offered(version)
        if self.holder is not before:
            if self.holder.base is before.base:
                self.world.log("spec.version", who=self.name, state="offered", version=version.number)
            self.keep()

    def told(self, commit: Commit, keeper: KeeperMan) -> None:
        self.holder, have = self.holder.told(commit)
        self.keep()
        if have is not None:
            self.world.ground.carries(self.region, keeper.region, keeper.hears, have)

    def renewed(self, told: Renewed) -> None:
        before = self.holder
        self.holder = before.renewed(told, self.now())
        if self.holder is not before:
            self.keep()
            self.held()

    def keep(self) -> None:
        """On disk, synced, before any word of it is sent."""
        if self.holder.base is not self.disk:
            self.disk = self.holder.base
            self.held()

    def held(self) -> None:
        self.world.log("spec.version", who=self.name, state="held", version=self.holder.base.number,
                       until=self.clock.true(self.holder.until))

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
            world.ground.carries(region, self.region, self.gets, answer, pool.wait(), pool.spare(), world.ages(region))
        world.ground.carries(self.region, region, other.gets, heard)

        def late() -> None:
            if asked[0]:
                asked[0] = False
                self.ways.silent(region, now, self.now())
        self.when(now + self.ways.ways[region].patience() + MILLISECOND * 20, late)

    def word(self, fellow: str, word: dict[str, tuple[int, int]]) -> None:
        now = self.now()
        for region, (overdue, ago) in word.items():
            self.ways.word(region, fellow, overdue, now - int(ago * (1 + 2 * DRIFT)) - MILLISECOND, now)

    def says(self) -> None:
        out, self.lender.out = self.lender.out, []
        world = self.world
        for said in out:
            if isinstance(said, Lend):
                other = world.members[said.taker]
                self.tell_rights()  # a fall, before the units can be used elsewhere
                world.ground.carries(self.region, self.region, other.gets, other.shares, said)
            else:
                fellows = [m for m in world.by_region[self.region] if m is not self]
                for other in world.ground.chance.sample(fellows, min(3, len(fellows))):
                    world.ground.carries(self.region, self.region, other.gets, other.shares, said)

    def shares(self, said: Want | Lend) -> None:
        self.lender.hears(said, self.now())
        self.says()
        self.tell_rights()

    def tell_rights(self) -> None:
        now = self.now()
        until, floor = self.lender.until(now)
        told = (self.lender.usable(now), until)
        if told != self.rights:
            self.rights = told
            self.world.log("share.rights", who=self.name, budget=f"lend-{self.region}", units=told[0],
                           until=min(1 << 60, self.clock.true(until) + 2), floor=floor)

    # Txns.

    def takes(self, tag: str, scheme: str, home: str, answer: Callable[..., None]) -> Txn:
        world = self.world
        kind = KINDS[scheme.split("-")[0]][0]
        expires = world.ground.now + EXPIRY
        left = self.clock.own(expires) - 50 * MILLISECOND
        work = world.work[tag]
        txn = Txn(tag, scheme, kind, work, expires, Job(tag, scheme, WORK, left, self.region), answer, home)
        world.log("txn.taken", who=self.name, txn=tag, scheme=scheme, kind=kind, expiry=expires, home=home,
                  region=self.region, value=KINDS[scheme.split("-")[0]][2])
        self.txns[txn] = None
        self.when(left, self.expired, txn)
        self.consider(txn)
        return txn

    def expired(self, txn: Txn) -> None:
        if txn.done:
            return
        may_have = bool(txn.job.unknown or any(post.state == "open" for post in txn.tries.values()) or txn.piece)
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
        told = {} if reason is None else {"code": reason.code, "key": reason.key, "line": reason.line,
                                          "version": reason.version}
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
            self.run(txn, Place("run", "home", region=self.region))
            return
        self.ways.own_wait, self.ways.own_ages = pool.wait(), world.ages(self.region)
        base = self.holder.base
        place = self.ways.choose(txn.job, self.holder.rule(txn.scheme, now), base.spec, base.number, now)
        if place.what == "run" and txn.home != self.region:
            why = self.lender.asked(txn.scheme, self.holder.rule(txn.scheme, now), self.region, pool.free(), now)
            if why:
                if txn.job.origin != self.region:
                    self.counts[why] = self.counts.get(why, 0) + 1
                    self.answers(txn, "declined")
                    return
                txn.job.again[self.region] = now + SOON
                place = Place("hold", why, until=now + SOON, key=place.key, line=place.line,
                              version=place.version)
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
                self.when(place.until, self.consider, txn)
        elif place.what == "decline":
            self.answers(txn, "declined")

    def run(self, txn: Txn, place: Place) -> None:
        world = self.world
        post = f"{txn.tag}/{self.name}/here" if txn.job.origin == self.region else f"{txn.tag}/{self.name}/lent"
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
            world.log("region.ran", who=f"{self.region}-workers", by=self.name, region=self.region, txn=txn.tag,
                      post=post, kind=txn.kind, scheme=txn.scheme, home=txn.home)
            if rule.data is not None and world.plan.how == "on":
                ages = world.ages(self.region)
                age = 0 if place.fetch else ages.get(rule.data, 0)
                world.log("data.read", who=self.name, region=self.region, data=rule.data, scheme=txn.scheme,
                          txn=txn.tag, version=self.holder.base.number, age=age, fetched=place.fetch,
                          staleness=rule.staleness if rule.staleness is not None else 1 << 60)
            return True

        def ends() -> None:
            txn.piece = None
            self.answers(txn, "settled")
        txn.piece = Piece(txn.home == self.region or world.plan.how == "plain", txn.scheme, work, post, begins, ends)
        world.pools[self.region].put(txn.piece)

    def send(self, txn: Txn, place: Place) -> None:
        world, now, region = self.world, self.now(), place.region
        number = len(txn.tries)
        other = world.members[f"{region}-{world.ground.chance.randrange(world.plan.members)}"]
        post = Post(f"{txn.tag}/{self.name}/{number}", region, other.name, now, region != txn.home)
        txn.tries[post.post] = post
        self.ways.opened(region, post.lent)
        world.log("abroad.sent", who=self.name, post=post.post, txn=txn.tag, scheme=txn.scheme, kind=txn.kind,
                  origin=txn.job.origin, to=region, version=place.version, code=place.code, line=place.line,
                  home=txn.home, **{"from": self.region})
        way = self.ways.ways[region]
        # Time left is told as a span, less half the way: no two clocks need be equal.
        left = int((txn.job.left - now - (way.trip + way.off) / 2) / (1 + DRIFT)) - 10 * MILLISECOND
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
            world.ground.carries(self.region, sender.region, sender.gets, sender.answered, txn, post, outcome,
                                 self.now() - began[0], pool.wait(), pool.spare(), world.ages(self.region))
        origin = txn.job.origin
        lent = Txn(txn.tag, txn.scheme, txn.kind, txn.work, txn.expires,
                   Job(txn.tag, txn.scheme, WORK, now + left, origin), answer, txn.home)
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

    def answered(self, txn: Txn, post: str, outcome: str, took: int, wait: int, free: int,
                 ages: dict[str, int]) -> None:
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
        txn.job.again[post.region] = self.now() + 100 * MILLISECOND
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
            self.world.ground.carries(self.region, post.region, other.gets, other.looked, self, txn, post.post)
            self.when(now + self.ways.ways[post.region].patience() * (1 + post.looks), self.silent, txn, post)

    def looked(self, sender: Member, txn: Txn, post: str) -> None:
        lent = self.lent.get(post)
        ground = self.world.ground
        if lent is None:
            self.lent[post] = "declined"  # if it comes after this word, it is not begun
            age = int((self.now() - self.born) * (1 - DRIFT))
            ground.carries(self.region, sender.region, sender.gets, sender.never, txn, post, age)
        elif isinstance(lent, str):
            pool = self.world.pools[self.region]
            ground.carries(self.region, sender.region, sender.gets, sender.answered, txn, post, lent, 0,
                           pool.wait(), pool.spare(), self.world.ages(self.region))

    def never(self, txn: Txn, post: str, age: int) -> None:
        """It was never heard of by a life that was there before it was sent: it never ran, and never will."""
        tried = txn.tries.get(post)
        if tried is None or tried.state != "unknown" or age < (self.now() - tried.sent) * (1 + DRIFT):
            return
        self.end_of(txn, tried, "declined")


class KeeperMan:
    """A region's keeper: the core, its readings of the register, what it tells again."""

    def __init__(self, world: World, region: str) -> None:
        self.world, self.region = world, region
        self.began()

    def began(self) -> None:
        self.core = Keeper(LEASE, self.world.ground.now)
        self.up = True

    def read(self, then: Callable[[], None] | None = None) -> None:
        """Reaches the register if one other region can be asked and answers."""
        world, ground = self.world, self.world.ground
        for other in REGIONS:
            if other != self.region and world.alive[other] and ground.paths[self.region, other].up(ground.now):
                path = ground.paths[other, self.region]
                late = int(ground.paths[self.region, other].delay * path.slow)

                def at_register(path: Any = path, late: int = late) -> None:
                    version = world.register[-1]
                    if path.up(ground.now):
                        ground.after(late, came, version)

                def came(version: Version) -> None:
                    if not self.up:
                        return
                    # Texts of lower numbers are kept beside the register.
                    for one in world.register[:version.number]:
                        self.core = self.core.reads(one.number, one.digest, one, ground.now)
                    if then is not None:
                        then()
                ground.after(late, at_register)
                return

    def asked(self, member: Member, ask: Ask, known: int) -> None:
        if not self.up:
            return

        def then() -> None:
            ground = self.world.ground
            told = self.core.answers(ask)
            if known < told.number:
                ground.carries(self.region, member.region, member.gets, member.offered, self.core.history[-1])
            ground.carries(self.region, member.region, member.gets, member.renewed, told)
        self.read(then)

    def hears(self, have: Have) -> None:
        if self.up:
            self.core = self.core.hears(have)

    def beat(self) -> None:
        world, ground = self.world, self.world.ground
        if self.up:
            self.read()
            late = self.core.waits_for(ground.now)
            if self.core.known[0] > self.core.force and self.core.history:
                version = self.core.history[-1]
                told = dict(self.core.rows)
                behind = [name for name in world.members if told.get(name, 0) < version.number]
                for name in behind[:40]:
                    member = world.members[name]
                    ground.carries(self.region, member.region, member.gets, member.offered, version)
                    ground.carries(self.region, member.region, member.gets, member.told,
                                   Commit(version.number, version.digest), self)
            if not late:
                self.core = self.core.judged(ground.now)
                if self.core.force > world.forced:
                    world.forced = self.core.force
                    world.log("spec.version", who=f"keeper-{self.region}", state="force", version=world.forced)
        ground.after(SECOND // 2, self.beat)


class World:
    """One run. `events`: what happened."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.events = plan, Events()
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
        self.log("spec.version", who="register", state="committed", version=version.number, may=may, home=home, data=data)
        return version

    def ages(self, region: str) -> dict[str, int]:
        """How old each copy in a region is now: refreshed all the time, unless that has stopped."""
        found = {}
        for name, form in self.spec().data.items():
            if region in form.copies:
                since = self.frozen.get(region)
                found[name] = form.copies[region] + (self.ground.now - since if since is not None and
                                                     form.copies[region] else 0)
        return found

    def run(self) -> Events:
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
        """A committer in the north offers a new version, commits it half a second later, and maybe dies then."""
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
