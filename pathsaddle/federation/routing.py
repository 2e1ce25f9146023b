"""Where a txn goes: the region's choice of one dispatcher, free of I/O; and what it believes of each way out.

A region is `lost` to us, never dead: askings (of jobs, and small ones that cost no work) went unanswered,
ours and our fellows', and nobody heard from it since. It is `back` by answers in a row, more of them each
time that it was lost again before much had been settled; then what goes there grows by what is settled there,
and shrinks by silence. No span of time stands for either. So a way that flaps faster than that stays out, and
a fleet doesn't go home in one leap.

Rules that hold whatever is believed: only where the rule (`versions.Holder.rule`) allows; a txn of another
region's client is never sent on (one crossing, so no circle); what may have run is sent again only if that
can't double an effect: anywhere if repeatable, within one group if referenced, nowhere if once-only. A
decline proves that nothing ran, a silence doesn't.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from pathsaddle.federation.spec import Rule, Spec
from pathsaddle.scheduler_types import MILLISECOND, SECOND

IN_A_ROW = 4  # unanswered askings, ours and our fellows', by which a region is lost
BACK = 3  # answers in a row by which it is back
MOST_BACK = 48
FIRST = 0.1  # of what belongs there goes there as it comes back
GROWS = 1.1  # with each txn settled there
PROVEN = 100  # txns settled there undo one doubling of BACK
WORD = 3 * SECOND  # a fellow's word is of use so long
LEAST = 0.1  # of a window: one try in ten trips, to a region that declined all before it
NEVER = -1 << 60  # clocks begin anywhere, also far below zero
SOON = 25 * MILLISECOND  # a held txn is looked at again: a slot may be free
AHEAD = 20 * MILLISECOND  # kept of the time left for what no estimate covers


@dataclass(slots=True)
class Way:
    """One other region, as this dispatcher knows it. Times in ticks.

    trip: there and back, without the work; smoothed, with its mean deviation `off`. wait, free, ages: as last
    told there, at `told`. window: how many txns of ours may be open there; `open`: are;
    below one, one at a time and not before `next`. overdue: askings
    unanswered in a row, the first of which went out at `first`. trust: which part of what belongs there goes
    there.
    """

    trip: float = 100.0 * MILLISECOND
    off: float = 50.0 * MILLISECOND
    wait: int = 0
    free: int = 1
    told: int = NEVER
    ages: dict[str, int] = field(default_factory=dict)
    window: float = 2.0
    next: int = NEVER
    open: int = 0
    overdue: int = 0
    first: int = NEVER
    heard: int = NEVER
    lost: bool = False
    row: int = 0  # answers in a row while lost
    need: int = BACK
    trust: float = 1.0
    settled: int = 0
    # of the last 64 fellows that said something
    words: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # fellow -> (overdue, heard, told)

    def room(self, now: int) -> bool:
        """Whether one more of ours may be abroad there; none where nothing was free when it last told of
        itself.
        """
        return self.free > 0 and self.open < self.window and (self.window >= 1 or now >= self.next)

    def patience(self) -> int:
        """How long an answer may take beyond its work."""
        return int(self.trip + 4 * self.off) + AHEAD


@dataclass(slots=True)
class RoutedRequest:
    """A txn as the choice sees it. left: until when an answer counts. work: expected, ticks. origin: whose
    client's. unknown: regions where it may have run. tried: declined there and not asked again before
    `again`.
    """

    tag: str
    scheme: str
    work: int
    left: int
    origin: str
    unknown: list[str] = field(default_factory=list)
    again: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Candidate:
    """What becomes of a txn now. what: `run` (in this region), `send` (to `region`), `hold` (until `until`),
    `decline`, `wait-out` (it may have run: neither again nor declined). code: the reason; key, line, version:
    of the spec.
    """

    what: str
    code: str
    region: str = ""
    until: int = 0
    fetch: bool = False
    key: str = ""
    line: int = 0
    version: int = 0


Placer = Callable[..., Candidate]


class RegionRouter:
    """Bound: see the rules above; each is asked in `choose` and nowhere else.

    here, members: this region, and how many dispatchers it has. others: all further ones.
    """

    def __init__(self, name: str, here: str, others: list[str]) -> None:
        self.name, self.here = name, here
        self.ways = {region: Way() for region in others}
        self.turns = 0  # how often a region was lost or back here
        self.own_wait = 0  # of this region's own workers, ticks
        self.own_ages: dict[str, int] = {}

    # Evidence.

    def answered(
        self, region: str, asked: int, now: int, took: int, wait: int, free: int, ages: Mapping[str, int]
    ) -> None:
        """An answer to an asking of ours that went out at `asked`, `took` of it was work or waiting there."""
        way = self.ways[region]
        trip = max(1, now - asked - took)
        way.off += (abs(trip - way.trip) - way.off) / 8
        way.trip += (trip - way.trip) / 8
        way.wait, way.free, way.told, way.ages = wait, free, now, dict(ages)
        way.heard = max(way.heard, asked)
        if asked >= way.first:
            way.overdue = 0
        if way.lost:
            way.row += 1
            if way.row >= way.need:
                way.lost, way.trust, way.window = False, FIRST, 2.0
                self.turns += 1

    def silent(self, region: str, asked: int, now: int) -> None:
        """No answer within patience to what went out at `asked`."""
        way = self.ways[region]
        way.row = 0
        if way.overdue == 0:
            way.first = asked
        way.overdue += 1
        way.off = min(way.off * 1.25, 2.0 * SECOND)
        self._judge(way, now)

    def word(self, region: str, fellow: str, overdue: int, heard: int, now: int) -> None:
        """A fellow of this region says how many of its askings went unanswered in a row, and after which
        moment (of our clock, its age made longer by the drift) it was last answered.
        """
        way = self.ways[region]
        way.words[fellow] = (overdue, heard, now)
        if len(way.words) > 64:
            del way.words[next(iter(way.words))]
        self._judge(way, now)

    def _judge(self, way: Way, now: int) -> None:
        if way.lost or not way.overdue:
            return
        fresh = [row for row in way.words.values() if now - row[2] < WORD]
        theirs = 0 if any(row[1] > way.first for row in fresh) else sum(min(2, row[0]) for row in fresh)
        if way.overdue + theirs < IN_A_ROW:
            return
        if way.settled < PROVEN:
            way.need = min(way.need * 2, MOST_BACK)
        way.lost, way.row, way.trust, way.settled = True, 0, 0.0, 0
        self.turns += 1

    def opened(self, region: str, lent: bool) -> None:
        """lent: it is abroad there. What goes home is bounded by trust, not by what that region lends to
        others.
        """
        self.ways[region].open += lent

    def ended(self, region: str, outcome: str, lent: bool, now: int) -> None:
        """settled, declined (nothing ran), unknown, or gone: nobody waits for it any more, which says
        nothing.
        """
        way = self.ways[region]
        way.open -= lent
        if outcome == "settled":
            way.settled += 1
            way.trust = min(1.0, max(way.trust, FIRST) * GROWS) if not way.lost else 0.0
            way.window = min(max(way.window, 1.0) + lent, 4096.0)
            if way.settled % PROVEN == 0 and way.need > BACK:
                way.need //= 2
        elif outcome == "declined" and lent:
            way.window = max(LEAST, way.window / 2)
            way.next = now + int(way.trip / way.window)
        elif outcome == "unknown":
            way.window = max(1.0, way.window / 2)
            way.trust /= 2

    # The choice.

    def choose(self, job: RoutedRequest, rule: Rule, spec: Spec, version: int, now: int) -> Candidate:
        def place(what: str, code: str, key: str, **more: object) -> Candidate:
            return Candidate(
                what,
                code,
                key=f"schemes.{job.scheme}.{key}",
                line=spec.line(job.scheme, key),
                version=version,
                **more,  # type: ignore[arg-type]
            )

        if job.unknown and rule.semantics == "once-only":
            return place("wait-out", "may-have-run", "semantics")
        if job.origin != self.here:
            # Another region's dispatcher sent it: here or nowhere.
            if self.here not in rule.may:
                return place("decline", "residency", "may")
            return self._here(job, rule, spec, place, now, "home" if rule.home == self.here else "lent")
        why = ""
        home = self.ways.get(rule.home)
        if rule.home in rule.may and self._group(job, rule, spec, rule.home):
            if rule.home == self.here:
                if now + self.own_wait + job.work + AHEAD <= job.left:
                    return self._here(job, rule, spec, place, now, "home")
                why = "overloaded"
            elif home is None or home.lost or _spread(job.tag) >= home.trust:
                why = "lost"
            else:
                fits = now + self._cost(home, job, now) <= job.left
                if fits and now >= job.again.get(rule.home, NEVER):
                    return place("send", "home", "home", region=rule.home)
                why = "overloaded"
        else:
            why = "lost" if job.unknown else "residency"
        if why in rule.when:
            found = self._abroad(job, rule, spec, now)
            if found is not None:
                region, fetch = found
                if region == self.here:
                    return self._here(job, rule, spec, place, now, why)
                return place("send", why, "fail_over", region=region, fetch=fetch)
            wait = self._again(job, rule, now)
            if wait:
                return place("hold", f"{why}-no-room", "fail_over", until=wait)
        if rule.home == self.here and rule.home in rule.may and not job.unknown:
            return place("decline", f"{why}-no-way", "when" if why not in rule.when else "fail_over")
        if why == "lost" and job.left - now > job.work + 200 * MILLISECOND:
            return place(
                "hold",
                "lost-home-alone",
                "when" if why not in rule.when else "fail_over",
                until=min(now + 100 * MILLISECOND, job.left),
            )
        if job.unknown and rule.semantics == "referenced":
            return place("wait-out", "may-have-run", "semantics")
        return place(
            "decline",
            f"{why}-no-way" if why != "residency" else "residency",
            "may" if why == "residency" else "fail_over",
        )

    def _here(
        self, job: RoutedRequest, rule: Rule, spec: Spec, place: Placer, now: int, code: str
    ) -> Candidate:
        """In this region, if its data may be had."""
        if rule.data is not None:
            age = self._age(spec, rule.data, self.here, now)
            if age is None or (rule.staleness is not None and age > rule.staleness):
                if rule.stale == "decline" and age is not None:
                    return place("decline", "stale", "stale")
                if rule.stale == "wait" and age is not None:
                    later = now + 200 * MILLISECOND
                    if later + job.work > job.left:
                        return place("decline", "stale", "stale")
                    return place("hold", "stale", "stale", until=later)
                return place("run", code, "data", region=self.here, fetch=True)
        return place("run", code, "home" if code == "home" else "fail_over", region=self.here)

    def _abroad(self, job: RoutedRequest, rule: Rule, spec: Spec, now: int) -> tuple[str, bool] | None:
        """The first in the spec's order that can do it in time; one that has a fresh copy before one that
        must fetch.
        """
        after: tuple[str, bool] | None = None
        for region in rule.order:
            if (
                region not in rule.may
                or now < job.again.get(region, NEVER)
                or not self._group(job, rule, spec, region)
            ):
                continue
            if region == self.here:
                cost = job.work + AHEAD
            else:
                way = self.ways.get(region)
                if way is None or way.lost or not way.room(now):
                    continue
                cost = self._cost(way, job, now)
            fetch = False
            if rule.data is not None:
                age = self._age(spec, rule.data, region, now)
                fetch = age is None or (rule.staleness is not None and age > rule.staleness)
                if fetch and rule.stale != "fetch" and age is not None:
                    continue
                cost += int(spec.data[rule.data].fetch * SECOND) if fetch and rule.data in spec.data else 0
            if now + cost > job.left:
                continue
            if not fetch:
                return region, False
            after = after or (region, True)
        return after

    def _again(self, job: RoutedRequest, rule: Rule, now: int) -> int:
        """Until when it is held, if there is time to be held: one that declined may have room again."""
        soon = now + SOON
        return soon if soon + job.work + 2 * AHEAD <= job.left and rule.order else 0

    def _cost(self, way: Way, job: RoutedRequest, now: int) -> int:
        told = max(0, way.wait - max(0, now - way.told))
        return int(way.trip + way.off) + told + job.work + AHEAD

    def _age(self, spec: Spec, data: str, region: str, now: int) -> int | None:
        """How old the copy there is; as told, and older by the time since; None: there is none."""
        form = spec.data.get(data)
        if form is None or region not in form.copies:
            return None
        if region == self.here:
            return self.own_ages.get(data, form.copies[region])
        way = self.ways.get(region)
        if way is None or data not in way.ages:
            return form.copies[region]
        return max(form.copies[region], way.ages[data] + now - way.told)

    def _group(self, job: RoutedRequest, rule: Rule, spec: Spec, region: str) -> bool:
        """Whether posting there can't double an effect."""
        if not job.unknown or rule.semantics == "repeatable":
            return True
        if rule.semantics == "once-only" or region not in spec.regions:
            return False
        group = spec.regions[region].group
        return bool(group) and all(
            one in spec.regions and spec.regions[one].group == group for one in job.unknown
        )


def _spread(tag: str) -> float:
    """In [0, 1), the same at every dispatcher: not each one's dice."""
    return int.from_bytes(hashlib.blake2b(tag.encode(), digest_size=4).digest(), "big") / (1 << 32)
