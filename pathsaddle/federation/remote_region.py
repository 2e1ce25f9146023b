"""A member's dealings with other regions, as a process: evidence, shares among fellows, and jobs without
work.

Carries `Ways` and `Lender` in datagrams: small askings to other regions, words of them to fellows, wants and
loans. The jobs of the drill (`jobs` a second, taken as a client's would be) go where the choice sends them
and leave an effect in the log, `region.ran`, nothing else: by them lost regions, cut ways and lost answers
are judged with real processes. A dispatcher's own jobs go by its own calls, with the same three questions:
`choose`, `asked`, `never`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from pathsaddle.federation.datagrams import ANSWER, JOB, LOOK, NEVER, PING, PONG, SHARE, WORD, Said
from pathsaddle.federation.routing import SOON, RegionRouter, RoutedRequest
from pathsaddle.federation.spare_capacity import ReleaseNotice, SpareCapacityLender, parts
from pathsaddle.federation.spec import Rule
from pathsaddle.fleet.quota.leases import MAX_CLOCK_DRIFT, Grant, QuotaRequest
from pathsaddle.leased_versions import VersionSubscriber
from pathsaddle.scheduler_types import MILLISECOND, SECOND

WORK = 10 * MILLISECOND  # what a drill's job is taken to need
PATIENCE = 20 * SECOND // 10  # of its caller
MOST = 4096  # jobs of others that are remembered, to drop repeats of and to tell what became of them


class Process(Protocol):
    """What it takes from the process that it is part of."""

    name: str
    region: str
    life: int
    holder: VersionSubscriber
    chance: Any

    def now(self) -> int: ...

    def log(self, what: str, at: int | None = None, **more: Any) -> None: ...

    def say(self, whom: str, kind: int, **more: Any) -> None: ...


@dataclass(eq=False)
class Txn:
    job: RoutedRequest
    home: str
    kind: str
    done: bool = False
    posts: dict[str, Sent] = field(default_factory=dict)


@dataclass(eq=False)
class Sent:
    post: str
    region: str
    member: str
    at: int
    lent: bool
    state: str = "open"
    looks: int = 0


class Abroad:
    """capacity: jobs a second that this region's workers do. regions: region -> its members, this one's among
    them.
    """

    def __init__(self, process: Process, regions: dict[str, list[str]], capacity: float) -> None:
        self.process, self.regions = process, regions
        here = process.region
        self.ways = RegionRouter(process.name, here, [region for region in sorted(regions) if region != here])
        fellows = sorted(regions[here])
        form = process.holder.base.spec.regions.get(here)
        budget = int((form.lend if form is not None else 0.0) * capacity)
        self.capacity = int(capacity)
        self.born = process.now()
        self.free: Callable[[], ReleaseNotice] = lambda: ReleaseNotice(self.capacity, 0, 0, {})
        self.lender = SpareCapacityLender(
            process.name, process.life, parts(budget, len(fellows))[fellows.index(process.name)], self.born
        )
        self.budget = budget
        self.rights = -1, 0
        self.pings: dict[int, tuple[str, int]] = {}
        self.count = 0
        self.txns: dict[str, Txn] = {}
        self.lent: dict[str, str] = {}
        process.log("share.budget", budget=f"lend-{here}", units=budget)
        self.tell()

    def tell(self) -> None:
        now = self.process.now()
        until, floor = self.lender.until(now)
        rights = (self.lender.usable(now), until)
        if rights != self.rights:
            self.rights = rights
            self.process.log(
                "share.rights",
                now,
                budget=f"lend-{self.process.region}",
                units=rights[0],
                until=rights[1],
                floor=floor,
            )

    # Evidence and shares.

    def beat(self) -> None:
        process, now = self.process, self.process.now()
        for region in self.ways.ways:
            if self.regions[region]:
                self.count += 1
                self.pings[self.count] = (region, now)
                process.say(process.chance.choice(sorted(self.regions[region])), PING, echo=self.count)
                self.later(self.ways.ways[region].patience(), self.unanswered, self.count)
        fellows = [name for name in sorted(self.regions[process.region]) if name != process.name]
        if fellows:
            word = {region: (way.overdue, now - way.heard) for region, way in self.ways.ways.items()}
            process.say(process.chance.choice(fellows), WORD, data=msgspec.msgpack.encode(word))
        self.lender.asks(now)
        self.flush()

    def flush(self) -> None:
        out, self.lender.out = self.lender.out, []
        process = self.process
        for said in out:
            if isinstance(said, Grant):
                self.tell()  # a fall, before the units can be used elsewhere
                process.say(said.taker, SHARE, data=msgspec.msgpack.encode(("lend", said)))
            else:
                fellows = [name for name in sorted(self.regions[process.region]) if name != process.name]
                for name in process.chance.sample(fellows, min(3, len(fellows))):
                    process.say(name, SHARE, data=msgspec.msgpack.encode(("want", said)))
        self.tell()

    def unanswered(self, echo: int) -> None:
        row = self.pings.pop(echo, None)
        if row is not None:
            self.ways.silent(*row, self.process.now())

    @staticmethod
    def later(ticks: int, call: Callable[..., None], *told: Any) -> None:
        asyncio.get_running_loop().call_later(ticks / SECOND, call, *told)

    # Jobs.

    def takes(self) -> None:
        """A client's txn for each scheme."""
        process = self.process
        self.count += 1
        spec = process.holder.base.spec
        for scheme, form in sorted(spec.schemes.items()):
            now = process.now()
            tag = f"{process.name}/{process.life}/{self.count}/{scheme}"
            txn = Txn(
                RoutedRequest(tag, scheme, WORK, now + PATIENCE, process.region), form.home, form.semantics
            )
            self.txns[tag] = txn
            process.log(
                "txn.taken", now, txn=tag, scheme=scheme, kind=txn.kind, expiry=now + PATIENCE + SECOND
            )
            self.later(PATIENCE + SECOND, self.expired, txn)
            self.consider(txn)

    def consider(self, txn: Txn) -> None:
        if txn.done:
            return
        process, now = self.process, self.process.now()
        holder, job = process.holder, txn.job
        rule = holder.rule(job.scheme, now)
        place = self.ways.choose(job, rule, holder.base.spec, holder.base.number, now)
        if place.what == "run" and self.runs(job.tag, f"{job.tag}/here", job.scheme, txn.home, now):
            self.answers(txn, "settled")
        elif place.what in ("run", "hold"):
            self.later(SOON, self.consider, txn)
        elif place.what == "decline":
            self.answers(
                txn, "declined", code=place.code, key=place.key, line=place.line, version=place.version
            )
        elif place.what == "send":
            member = process.chance.choice(sorted(self.regions[place.region]))
            sent = Sent(f"{job.tag}/{len(txn.posts)}", place.region, member, now, place.region != txn.home)
            txn.posts[sent.post] = sent
            self.ways.opened(place.region, sent.lent)
            process.log(
                "abroad.sent",
                now,
                post=sent.post,
                txn=job.tag,
                scheme=job.scheme,
                kind=txn.kind,
                origin=process.region,
                to=place.region,
                version=place.version,
                home=txn.home,
                code=place.code,
                line=place.line,
                **{"from": process.region},
            )
            process.say(
                member,
                JOB,
                scheme=job.scheme,
                home=txn.home,
                region=process.region,
                data=sent.post.encode(),
                number=place.version,
            )
            self.later(self.ways.ways[place.region].patience() + WORK, self.silent, txn, sent)

    def runs(self, tag: str, post: str, scheme: str, home: str, now: int) -> bool:
        """Begins a job here if it may: the one place where an effect is."""
        process = self.process
        rule = process.holder.rule(scheme, now)
        if process.region not in rule.may:
            process.log("job.refused", now, txn=tag, scheme=scheme, version=process.holder.base.number)
            return False
        if home != process.region and self.lent_to(scheme, rule, self.free(), now):
            return False
        process.log(
            "region.ran",
            now,
            by=process.name,
            region=process.region,
            txn=tag,
            post=post,
            kind=rule.semantics,
            scheme=scheme,
            home=home,
        )
        return True

    def lent_to(self, scheme: str, rule: Rule, free: ReleaseNotice, now: int) -> str:
        """An empty text where a foreign job is let in now, and counted; else why not."""
        why = self.lender.asked(scheme, rule, self.process.region, free, now)
        if not why:
            self.tell()
            self.process.log("share.spend", now, budget=f"lend-{self.process.region}", units=1)
        return why

    def answers(self, txn: Txn, outcome: str, **more: Any) -> None:
        if not txn.done:
            txn.done = True
            self.process.log("txn.answer", txn=txn.job.tag, outcome=outcome, **more)
        if all(sent.state in ("settled", "declined") for sent in txn.posts.values()):
            self.txns.pop(txn.job.tag, None)

    def expired(self, txn: Txn) -> None:
        self.answers(
            txn,
            "failed" if any(sent.state in ("open", "unknown") for sent in txn.posts.values()) else "declined",
        )
        for sent in txn.posts.values():
            if sent.state == "open":
                self.ways.ended(sent.region, "gone", sent.lent, self.process.now())
        self.txns.pop(txn.job.tag, None)

    def silent(self, txn: Txn, sent: Sent) -> None:
        if sent.state not in ("open", "unknown") or txn.job.tag not in self.txns:
            return
        now = self.process.now()
        if sent.state == "open":
            sent.state = "unknown"
            self.process.log("abroad.ended", now, post=sent.post, txn=txn.job.tag, outcome="unknown")
            self.ways.ended(sent.region, "unknown", sent.lent, now)
            self.ways.silent(sent.region, sent.at, now)
            txn.job.unknown.append(sent.region)
            self.consider(txn)
        if sent.looks < 5:
            sent.looks += 1
            self.process.say(sent.member, LOOK, data=sent.post.encode())
            self.later(self.ways.ways[sent.region].patience() * (1 + sent.looks), self.silent, txn, sent)

    def ended(self, post: str, outcome: str) -> None:
        txn = self.txns.get(post.rpartition("/")[0])
        sent = txn.posts.get(post) if txn is not None else None
        if txn is None or sent is None or sent.state not in ("open", "unknown"):
            return
        now = self.process.now()
        if sent.state == "open":
            self.ways.ended(sent.region, outcome, sent.lent, now)
        sent.state = outcome
        self.process.log("abroad.ended", now, post=post, txn=txn.job.tag, outcome=outcome)
        if outcome == "settled":
            self.answers(txn, "settled")
            return
        if sent.region in txn.job.unknown:
            txn.job.unknown.remove(sent.region)
        txn.job.again[sent.region] = now + int(self.ways.ways[sent.region].trip)
        self.consider(txn)

    def heard(self, said: Said) -> None:
        process, now = self.process, self.process.now()
        if said.kind == PING:
            free = self.free()
            process.say(said.name, PONG, echo=said.echo, size=0 if free.waiting else max(0, free.slots))
        elif said.kind == PONG:
            row = self.pings.pop(said.echo, None)
            if row is not None:
                self.ways.answered(row[0], row[1], now, 0, 0, said.size, {})
        elif said.kind == WORD:
            word = msgspec.msgpack.decode(said.data, type=dict[str, tuple[int, int]])
            for region, (overdue, ago) in word.items():
                if region in self.ways.ways:
                    heard = now - int(max(0, ago) * (1 + 2 * MAX_CLOCK_DRIFT)) - MILLISECOND
                    self.ways.word(region, said.name, overdue, heard, now)
        elif said.kind == SHARE:
            what, told = msgspec.msgpack.decode(said.data, type=tuple[str, dict[str, Any]])
            share: QuotaRequest | Grant = (
                msgspec.convert(told, Grant) if what == "lend" else msgspec.convert(told, QuotaRequest)
            )
            self.lender.hears(share, now)
            self.flush()
        elif said.kind == JOB:
            self.asked(said, now)
        elif said.kind == ANSWER:
            self.ended(said.data.decode(), "settled" if said.first else "declined")
        elif said.kind == LOOK:
            post = said.data.decode()
            if post in self.lent:
                process.say(said.name, ANSWER, data=said.data, first=int(self.lent[post] == "settled"))
            else:
                self.remember(post, "declined")  # if it comes after this word, it is not begun
                process.say(
                    said.name,
                    NEVER,
                    data=said.data,
                    size=min(8 << 20, int((now - self.born) * (1 - MAX_CLOCK_DRIFT))),
                )
        elif said.kind == NEVER:
            post = said.data.decode()
            txn = self.txns.get(post.rpartition("/")[0])
            sent = txn.posts.get(post) if txn is not None else None
            if sent is not None and said.size > (now - sent.at) * (1 + MAX_CLOCK_DRIFT):
                self.ended(post, "declined")

    def asked(self, said: Said, now: int) -> None:
        """Another region's job: begun once, or declined; its answer is told again to who looks."""
        post = said.data.decode()
        if post not in self.lent:
            tag = post.rpartition("/")[0]
            holder = self.process.holder
            job = RoutedRequest(tag, said.scheme, WORK, now + PATIENCE, said.region)
            place = self.ways.choose(
                job, holder.rule(said.scheme, now), holder.base.spec, holder.base.number, now
            )
            ran = place.what == "run" and self.runs(tag, post, said.scheme, said.home, now)
            self.remember(post, "settled" if ran else "declined")
        self.process.say(said.name, ANSWER, data=said.data, first=int(self.lent[post] == "settled"))

    def remember(self, post: str, outcome: str) -> None:
        """Who is forgotten here was sent longer ago than its caller waits, at the rate at which others may
        send.
        """
        self.lent[post] = outcome
        if len(self.lent) > MOST:
            del self.lent[next(iter(self.lent))]
