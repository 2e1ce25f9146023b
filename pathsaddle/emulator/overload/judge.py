"""Whether the bounds of docs/overload.md held in a run: worked out from its events alone.

It knows no member's code. The names of the bounds are those under which a run that breaks one is found:

- budgets: repeats, trials and looks, over all members and at each worker, in any second,
  within what the log says.
- returns: no second holds more advised returns than the log says.
- same: one identity has one draw at every member for as long as its period lasts.
- level: who was let in stood at its member's level or above it, who was declined by the level stood below.
- inversion: among members that hear each other, none is declined by the level that stands over one that is
  let in at the same time (SLOT) by more than VIEWS bands and what a level may rise between two moments; the
  first seconds after a trouble are let be (SETTLES).
- pace: no member's level moves faster than it may.
- turns: no member's level turns by more than SWING bands more than TURNS times in any ten seconds.
- share: nothing of a customer that offers less than its share is taken to be over it.
- cut: members that hear nobody lose at most 1% against the same run with each alone.
- back: so long after the last trouble what comes earns 0.95 of what it earned before the first,
  in any two seconds on.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

from pathsaddle.event_log import Event

SECOND = 10_000
SLOT = SECOND // 4
VIEWS = 1.0
SETTLES = 4 * SECOND
SWING, TURNS = 1.5, 7
RISES, FALLS = 12.0, 4.0
BOUNDS = ("budgets", "returns", "same", "level", "inversion", "pace", "turns", "share", "cut", "back")
WINDOW = 2 * SECOND


@dataclass
class Figures:
    """offered: value of all first tries; earned, on_time: what of it clients got; wasted: part of the
    workers' work that earned nothing; inverted: value that the same work would have earned more, dearest
    first; least: least served customer against the mean; back: seconds from the last trouble's end to 0.95,
    -1: not in this run, -2: not to be told from it.
    """

    offered: float = 0.0
    earned: float = 0.0
    on_time: float = 0.0
    wasted: float = 0.0
    inverted: float = 0.0
    least: float = 1.0
    postings: int = 0
    repeats: int = 0
    trials: int = 0
    looks: int = 0
    declined: int = 0
    back: float = -2.0
    widest: float = 0.0  # inversion found, bands
    turns: int = 0  # most in ten seconds
    most_returns: int = 0  # in any second
    bytes: float = 0.0  # a second and member


def most_in(moments: list[int], span: int) -> int:
    """The most moments that any span holds, its end left out."""
    most, first = 0, 0
    for last, moment in enumerate(moments):
        while moment - moments[first] >= span:
            first += 1
        most = max(most, last - first + 1)
    return most


@dataclass
class Judge:
    found: list[tuple[str, int, str]] = field(default_factory=list)
    figures: Figures = field(default_factory=Figures)
    by_member: dict[str, tuple[float, float]] = field(default_factory=dict)  # (offered, earned) while cut off

    def breaks(self, bound: str, at: int, what: str) -> None:
        self.found.append((bound, at, what))

    @property
    def broken(self) -> list[str]:
        return [bound for bound in BOUNDS if any(row[0] == bound for row in self.found)]

    def read(self, rows: Iterable[Event]) -> None:
        events = list(rows)
        by: dict[str, list[Event]] = {}
        for event in events:
            by.setdefault(event.what, []).append(event)
        plan = by["overload.plan"][0].more
        shed = [event for event in events if event.what in ("shed.in", "shed.out")]
        self.troubles = self._troubles(by, plan)
        self._value(by, plan)
        self._budgets(by)
        if plan["policy"] != "fleet":
            return
        self._returns(by, plan)
        self._same(shed)
        self._levels(by)
        self._inversion(shed, plan["members"])
        self._share(shed, plan)

    def _troubles(
        self, by: dict[str, list[Event]], plan: dict[str, Any]
    ) -> list[tuple[int, int, str, list[str]]]:
        rows = [
            (event.at, event.at + event.more["long"], event.more["kind"], event.more["members"])
            for event in by.get("fault", [])
        ]
        if plan.get("surge"):
            rows.append((int(plan["surge"][0] * SECOND), int(plan["surge"][1] * SECOND), "surge", []))
        return sorted(rows, key=lambda row: row[:2])

    # What came of it.

    def _value(self, by: dict[str, list[Event]], plan: dict[str, Any]) -> None:
        figures, end = self.figures, by["overload.end"][0].at
        jobs = {event.more["job"]: event for event in by.get("client.first", [])}
        earned: dict[int, float] = {}
        work = waste = 0.0
        for event in by.get("ran", []):
            work += event.more["work"]
            if event.more["good"]:
                earned[event.more["job"]] = event.more["earned"]
                figures.on_time += (
                    event.more["earned"]
                    if event.more["earned"] >= jobs[event.more["job"]].more["value"]
                    else 0.0
                )
            else:
                waste += event.more["work"]
        figures.wasted = waste / work if work else 0.0
        figures.offered = sum(event.more["value"] for event in jobs.values())
        figures.earned = sum(earned.values())
        kinds = [event.more["kind"] for event in by.get("post.sent", [])]
        figures.postings, figures.looks = len(kinds), len(by.get("look", []))
        figures.repeats, figures.trials = kinds.count("repeat"), kinds.count("trial")
        figures.declined = len(by.get("shed.out", []))
        figures.bytes = by["overload.end"][0].more["bytes"] / plan["members"] / (end / SECOND)
        # By the second of the first try: what was served,
        # against the dearest that the same work could have been.
        slots: dict[int, list[Event]] = {}
        for event in jobs.values():
            slots.setdefault(event.at // SECOND, []).append(event)
        for rows in slots.values():
            left = float(sum(event.more["work"] for event in rows if event.more["job"] in earned))
            best = 0.0
            for event in sorted(rows, key=lambda row: -row.more["value"] / row.more["work"]):
                best += event.more["value"] * min(1.0, left / event.more["work"])
                left = max(0.0, left - event.more["work"])
            figures.inverted += best - sum(
                event.more["value"] for event in rows if event.more["job"] in earned
            )
        customers: dict[str, list[float]] = {}
        for event in jobs.values():
            row = customers.setdefault(event.more["customer"], [0.0, 0.0])
            row[0] += event.more["value"]
            row[1] += earned.get(event.more["job"], 0.0)
        if figures.earned:
            mean = figures.earned / figures.offered
            figures.least = min(got / offered for offered, got in customers.values()) / mean
        self._cut(jobs, earned)
        self._back(jobs, by, plan, end)

    def _cut(self, jobs: dict[int, Event], earned: dict[int, float]) -> None:
        for since, until, kind, members in self.troubles:
            if kind != "cut":
                continue
            for event in jobs.values():
                if since <= event.at < until and event.more["member"] in members:
                    offered, got = self.by_member.get(event.more["member"], (0.0, 0.0))
                    self.by_member[event.more["member"]] = (
                        offered + event.more["value"],
                        got + earned.get(event.more["job"], 0.0),
                    )

    def _back(
        self, jobs: dict[int, Event], by: dict[str, list[Event]], plan: dict[str, Any], end: int
    ) -> None:
        if not self.troubles:
            return
        begins, ends = self.troubles[0][0], max(row[1] for row in self.troubles)
        order = sorted(jobs.values(), key=lambda event: event.at)
        moments = [event.at for event in order]

        ran = [(event.at, event.more["earned"]) for event in by.get("ran", []) if event.more["good"]]
        when = [at for at, _ in ran]

        def part(since: int, until: int) -> float:
            """Earned in that time, by whoever comes, against what came for the first time."""
            offered = sum(
                float(event.more["value"])
                for event in order[bisect_left(moments, since) : bisect_left(moments, until)]
            )
            got = sum(float(value) for _, value in ran[bisect_left(when, since) : bisect_left(when, until)])
            return got / max(1.0, offered)

        before = min(1.0, part(SECOND, begins))
        last = end - 3 * SECOND  # what comes later may still be on its way
        if ends + 2 * WINDOW > last:
            return  # too short a run to tell
        steps = range(ends, last - WINDOW, SECOND // 4)
        # What a trigger left behind, worked off late, looks like a return for two seconds: it has to stay.
        back = next((at for at in steps if min(part(at, at + WINDOW), part(at, last)) >= 0.95 * before), None)
        self.figures.back = (back - ends) / SECOND if back is not None else -1.0
        within = plan["back_within"]
        if within and (back is None or back - ends > within * SECOND):
            self.breaks(
                "back",
                ends,
                f"{self.figures.back:.1f} s; {part(ends, last):.3f} of what came since, {before:.3f} before",
            )

    # Bounds.

    def _budgets(self, by: dict[str, list[Event]]) -> None:
        units = {event.more["budget"]: event.more["units"] for event in by.get("share.budget", [])}
        used: dict[str, list[int]] = {}
        rows = [(event.at, event.more["kind"], event.more["worker"]) for event in by.get("post.sent", [])]
        rows += [(event.at, "look", event.more["worker"]) for event in by.get("look", [])]
        for at, kind, worker in sorted(rows):
            used.setdefault(kind, []).append(at)
            used.setdefault(f"{kind}.{worker}", []).append(at)
        for budget, whole in units.items():
            if (most := most_in(used.get(budget, []), SECOND)) > whole:
                self.breaks("budgets", 0, f"{budget}: {most} in a second of {whole}")

    def _returns(self, by: dict[str, list[Event]], plan: dict[str, Any]) -> None:
        told: dict[tuple[str, str, int], None] = {}
        for event in by.get("shed.out", []):
            if event.more["wait"]:
                told[event.more["key"], event.more["scheme"], event.at + event.more["wait"]] = None
        self.figures.most_returns = most = most_in(sorted(row[2] for row in told), SECOND)
        if most > plan["returns"]:
            self.breaks("returns", 0, f"{most} advised into a second of {plan['returns']}")

    def _same(self, shed: list[Event]) -> None:
        draws: dict[tuple[str, str, str, int], float] = {}
        for event in shed:
            more = event.more
            if more.get("why", "level") != "level":
                continue
            place = more["standing"] % 1.0
            before = draws.setdefault((more["customer"], more["key"], more["scheme"], more["period"]), place)
            if abs(before - place) > 1e-6:
                self.breaks(
                    "same", event.at, f"{more['txn']} at {more['who']}: {place:.3f}, elsewhere {before:.3f}"
                )
            if event.what == "shed.in" and more["standing"] < more["level"]:
                self.breaks(
                    "level",
                    event.at,
                    f"{more['txn']} let in at {more['standing']:.2f} under {more['level']:.2f}",
                )
            if event.what == "shed.out" and more["standing"] >= more["level"]:
                self.breaks(
                    "level", event.at, f"{more['txn']} out at {more['standing']:.2f} over {more['level']:.2f}"
                )

    def _levels(self, by: dict[str, list[Event]]) -> None:
        levels: dict[str, list[tuple[int, float]]] = {}
        for event in by.get("shed.level", []):
            levels.setdefault(event.more["who"], []).append((event.at, event.more["level"]))
        for who, rows in levels.items():
            turning: list[int] = []
            mark, way = rows[0][1], 0
            for (since, old), (at, new) in pairwise(rows):
                spent = min(SECOND, at - since + 1) / SECOND
                if new - old > RISES * spent + 0.01 or old - new > FALLS * spent + 0.01:
                    self.breaks("pace", at, f"{who}: {old:.2f} to {new:.2f} in {spent:.2f} s")
                # A turn counts once it has gone SWING bands the other way.
                if (way >= 0 and new > mark) or (way <= 0 and new < mark):
                    way = way or (1 if new > mark else -1)
                    mark = new
                elif abs(new - mark) >= SWING:
                    turning.append(at)
                    mark, way = new, -way
            most = most_in(turning, 10 * SECOND)
            self.figures.turns = max(self.figures.turns, most)
            if most > TURNS:
                self.breaks("turns", turning[0], f"{who}: {most} in ten seconds")

    def _inversion(self, shed: list[Event], members: int) -> None:
        views = VIEWS + RISES * max(1, members // 64) / 10
        slots: dict[int, tuple[float, float, str]] = {}
        apart = [
            (since, until + SETTLES, others)
            for since, until, kind, others in self.troubles
            if kind in ("cut", "stall")
        ]
        upset = [(since, since + SETTLES) for since, *_ in self.troubles]
        upset += [(until, until + SETTLES) for _, until, *_ in self.troubles]
        upset.append((0, SETTLES))
        for event in shed:
            more, at = event.more, event.at
            if any(since <= at < until for since, until in upset) or any(
                since <= at < until and more["who"] in others for since, until, others in apart
            ):
                continue
            high, low, who = slots.get(at // SLOT, (-99.0, 99.0, ""))
            if event.what == "shed.in":
                low = min(low, more["standing"])
            elif more["why"] == "level" and more["standing"] > high:
                high, who = more["standing"], more["who"]
            slots[at // SLOT] = high, low, who
        for slot, (high, low, who) in slots.items():
            self.figures.widest = max(self.figures.widest, high - low)
            if high - low > views:
                self.breaks(
                    "inversion", slot * SLOT, f"{who}: {high:.2f} declined, {low:.2f} let in elsewhere"
                )

    def _share(self, shed: list[Event], plan: dict[str, Any]) -> None:
        came: dict[str, list[tuple[int, float]]] = {}
        for event in shed:
            came.setdefault(event.more["customer"], []).append((event.at, event.more["work"]))
        apart = [
            (since, until + SETTLES, members)
            for since, until, kind, members in self.troubles
            if kind in ("cut", "stall")
        ]
        killed = [(since, len(members)) for since, _, kind, members in self.troubles if kind == "kill"]
        for customer, rows in came.items():
            moments = [at for at, _ in rows]
            sums = [0.0]
            for _, work in rows:
                sums.append(sums[-1] + work)
            for event in shed:
                if (
                    event.more["customer"] != customer
                    or not event.more["over"]
                    or event.at < 5 * SECOND
                    or any(
                        since <= event.at < until and event.more["who"] in members
                        for since, until, members in apart
                    )
                ):
                    continue  # who hears nobody goes by its part
                # Over any of the last spans that views may be made from it would have to have been within.
                spans = [
                    (sums[bisect_left(moments, event.at)] - sums[bisect_left(moments, event.at - span)])
                    / span
                    for span in (SECOND, 2 * SECOND, 5 * SECOND)
                ]
                # Whoever hears a part of the fleet, dead or cut off, goes by that part of a share.
                lost = sum(count for since, count in killed if since <= event.at)
                if max(spans) < 0.7 * plan["allowance"] * (1.0 - lost / plan["members"]):
                    self.breaks(
                        "share", event.at, f"{event.more['txn']} of {customer} is taken for over its share"
                    )


def cut_off(on: Judge, alone: Judge) -> float:
    """What those that were cut off earned, against the same alone; breaks `cut` where that is under 0.99."""
    got = sum(earned for _, earned in on.by_member.values())
    other = sum(earned for _, earned in alone.by_member.values())
    part = got / other if other else 1.0
    if part < 0.99:
        on.breaks("cut", 0, f"those cut off earned {part:.3f} of what each alone does")
    return part
