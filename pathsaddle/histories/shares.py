"""Budgets dealt out: the sums of usable rights, of spending and of what is open, at every instant;
and counts.

A right counts from the moment at which it surely is held to the one until which it surely is: a rise `skew`
after it was told, a fall `skew` before. So what is summed was truly held at once,
and a sum over the budget accuses nobody wrongly.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush

from pathsaddle.histories.logs import NEVER, SECOND, Checker, Event, Finding

ROWS = 60  # of spending that a finding shows: the last
KEPT = 600 * SECOND  # how long a sum of counts is remembered: no interval is told with a greater age
BUCKET = 1_000  # ticks over which the sums of counts are kept by their least and greatest


@dataclass(slots=True, eq=False)
class Held:
    """What one member may use, as it last told. steps: (until, what stands then),
    each no more than before.
    """

    event: Event
    units: float
    steps: tuple[tuple[int, float], ...] = ()
    version: int = 0
    last: int = NEVER  # when it last had any

    def at(self, now: int, just: bool = True) -> float:
        """just: of that very moment, what ends then has ended."""
        units = self.units
        for until, left in self.steps:
            if until > now or (until == now and not just):
                break
            units = left
        return units

    def over(self) -> int:
        """When it has none of it any more, as it told."""
        return next((until for until, left in self.steps if left <= 0), 1 << 60) if self.units > 0 else NEVER


@dataclass(slots=True, eq=False)
class Budget:
    name: str
    kind: str = "rate"
    per: int = SECOND
    charters: dict[str, Event] = field(default_factory=dict)  # what each member goes by
    most: float = 0
    before: float = 0  # what was more, and till when it still counts
    before_until: int = NEVER
    rights: float = 0
    held: dict[str, Held] = field(default_factory=dict)
    surely: dict[str, float] = field(default_factory=dict)
    over: bool = False
    spent: deque[Event] = field(default_factory=deque)
    sum: float = 0
    open: float = 0
    opened: dict[str, tuple[float, Event]] = field(default_factory=dict)  # by whom, and its last word of it
    spent_over: bool = False

    def charter(self) -> list[Event]:
        """The greatest, by which all are judged."""
        return [max(self.charters.values(), key=lambda row: row.more["units"])] if self.charters else []

    def allowed(self, at: int) -> float:
        return max(self.most, self.before) if at <= self.before_until else self.most


class Shares(Checker):
    """Finds `rights-over-budget`, `spent-over-budget`, `spent-without-rights`."""

    name = "shares"

    def __init__(self, skew: int = 0) -> None:
        super().__init__(skew)
        self.budgets: dict[str, Budget] = {}
        # (when, falls before rises, order, budget, who, by how much, version of what is held or -1, kind)
        self.steps: list[tuple[int, int, int, Budget, str, float, int, str]] = []
        self.order = 0
        self.on = {
            "share.budget": self._budget,
            "share.rights": self._rights,
            "share.spend": self._spend,
            "member.ended": self._ended,
        }

    def group(self, event: Event) -> Hashable:
        return event.more.get("budget")

    def _get(self, name: str) -> Budget:
        budget = self.budgets.get(name)
        if budget is None:
            budget = self.budgets[name] = Budget(name)
        return budget

    def _budget(self, event: Event) -> None:
        more = event.more
        self._until(event.at - self.skew)
        budget = self._get(more["budget"])
        budget.kind, budget.per = more.get("kind", "rate"), more.get("per", SECOND)
        if budget.kind not in ("rate", "open"):
            raise ValueError(f"kind {budget.kind!r}")
        more["units"] + 0  # a number, or the line is broken
        budget.charters[more["who"]] = event
        most = max(row.more["units"] for row in budget.charters.values())
        if most < budget.most:
            # Until a window has passed in which the greater one held, it is what that window is held to.
            budget.before, budget.before_until = (
                budget.allowed(event.at),
                event.at + budget.per + 2 * self.skew,
            )
        budget.most = most

    def _push(self, at: int, budget: Budget, who: str, units: float, version: int, kind: str) -> None:
        self.order += 1
        heappush(self.steps, (at, int(units > 0), self.order, budget, who, units, version, kind))

    def _rights(self, event: Event) -> None:
        more = event.more
        self._until(event.at - self.skew)
        rows = more.get("steps")
        if rows is None:
            rows = [(more["until"], more.get("floor", 0))] if more.get("until") is not None else []
        steps, left = [], more["units"]
        for until, then in rows:
            left = min(left, then)  # what is told to rise by itself is told again when it does
            steps.append((until, left))
        self._hold(self._get(more["budget"]), more["who"], event, more["units"], tuple(steps))

    def _hold(
        self, budget: Budget, who: str, event: Event, units: float, steps: tuple[tuple[int, float], ...]
    ) -> None:
        held = budget.held.get(who)
        if held is None:
            held = budget.held[who] = Held(event, 0)
        stood = held.at(event.at, False)  # what ended before is added up already
        if held.at(event.at) > 0 or stood > 0:
            held.last = event.at
        elif held.units > 0:
            held.last = max(held.last, held.over())
        held.version += 1
        if units < stood:
            self._push(event.at - self.skew, budget, who, units - stood, -1, "rights")
        elif units > stood:
            self._push(event.at + self.skew, budget, who, units - stood, -1, "rights")
        held.event, held.units, held.steps = event, units, steps
        for until, left in steps:
            if left < units:
                self._push(
                    max(until, event.at) - self.skew, budget, who, left - units, held.version, "rights"
                )
                units = left

    def _spend(self, event: Event) -> None:
        more = event.more
        self._until(event.at - self.skew)
        budget, who, units = self._get(more["budget"]), more["who"], more["units"]
        if units > 0 and budget.held:
            self._by_right(budget, who, event)
        if budget.kind == "open":
            budget.opened[who] = budget.opened.get(who, (0, event))[0] + units, event
            self._push(event.at + (self.skew if units > 0 else -self.skew), budget, who, units, -1, "open")
            return
        budget.spent.append(event)
        budget.sum += units
        since = event.at - max(budget.per - 2 * self.skew, 1)
        while budget.spent[0].at <= since:
            budget.sum -= budget.spent.popleft().more["units"]
        allowed = budget.allowed(event.at)
        if budget.sum <= allowed + 1e-9 or not budget.charters:
            budget.spent_over = False
        elif not budget.spent_over:
            budget.spent_over = True
            self.find(
                "spent-over-budget",
                f"{budget.name}: {budget.sum:g} spent within {budget.per / 10:g} ms, {allowed:g} are there",
                *budget.charter(),
                *list(budget.spent)[-ROWS:],
            )

    def _by_right(self, budget: Budget, who: str, event: Event) -> None:
        """Its own clock: no skew."""
        held = budget.held.get(who)
        if held is not None and held.at(event.at) > 0:
            return
        had = max(held.last, held.over()) if held is not None else NEVER
        if had < event.at - budget.per:
            rows = (held.event, event) if held is not None else (event,)
            self.find(
                "spent-without-rights",
                f"{who} spends {event.more['units']:g} of {budget.name} and has had no "
                f"right for {budget.per / 10:g} ms",
                *rows,
            )

    def _ended(self, event: Event) -> None:
        self._until(event.at - self.skew)
        who = event.more["who"]
        for budget in self.budgets.values():
            held = budget.held.get(who)
            if held is not None:
                self._hold(budget, who, event, 0, ())
            opened = budget.opened.pop(who, None)
            if opened is not None and opened[0] > 0:
                self._push(event.at - self.skew, budget, who, -opened[0], -1, "open")

    def _until(self, at: int) -> None:
        """Adds up all that surely stood before that moment. What comes yet can't change it."""
        steps = self.steps
        while steps and steps[0][0] < at:
            when, _, _, budget, who, units, version, kind = heappop(steps)
            if kind == "open":
                budget.open += units
                if budget.open <= budget.allowed(when) + 1e-9:
                    budget.spent_over = False
                elif units > 0 and budget.charters and not budget.spent_over:
                    budget.spent_over = True
                    self.find(
                        "spent-over-budget",
                        f"{budget.name}: {budget.open:g} open at once at {when / 10:g} ms, "
                        f"{budget.allowed(when):g} are there",
                        *budget.charter(),
                        *[row for units, row in budget.opened.values() if units > 0],
                    )
                continue
            if version >= 0 and version != budget.held[who].version:
                continue  # it was told anew before its end
            budget.rights += units
            budget.surely[who] = budget.surely.get(who, 0) + units
            if budget.rights <= budget.allowed(when) + 1e-9:
                budget.over = False
            elif units > 0 and budget.charters and not budget.over:
                budget.over = True
                rows = [held.event for name, held in budget.held.items() if budget.surely.get(name, 0) > 0]
                self.find(
                    "rights-over-budget",
                    f"{budget.name}: {budget.rights:g} usable at once at {when / 10:g} ms by "
                    f"{sum(units > 0 for units in budget.surely.values())} members, "
                    f"{budget.allowed(when):g} "
                    "are there",
                    *budget.charter(),
                    *rows,
                )

    def done(self) -> None:
        super().done()
        self._until(1 << 62)


class Counts(Checker):
    """Finds `count-outside`: a told interval that held the true sum at no moment of its age.

    Sums are kept by their least and greatest in each tenth of a second, which only widens what is allowed.
    Bound: for each name as many tenths of a second as KEPT holds.
    """

    name = "counts"

    def __init__(self, skew: int = 0) -> None:
        super().__init__(skew)
        self.true: dict[str, dict[str, float]] = {}
        self.sums: dict[str, float] = {}
        # bucket, least, greatest, all that moved
        self.past: dict[str, deque[tuple[int, float, float, float]]] = {}
        self.on = {"count.true": self._true, "count.told": self._told, "member.ended": self._ended}

    def group(self, event: Event) -> Hashable:
        return event.more.get("name")

    def stays(self, events: Sequence[Event], finding: Finding) -> list[int]:
        """Each member's last word before the age begins and its last one in it: what it counted between only
        adds to the sums that were there.
        """
        told = finding.events[0]
        first = (
            (told.at - told.more["age"] - 2 * self.skew) // BUCKET - 4 * self.skew // BUCKET - 2
        ) * BUCKET
        last: dict[tuple[str, bool], int] = {}
        for place, event in enumerate(events):
            if event.at > told.at + 2 * self.skew:
                break
            if event.what == "member.ended" or (
                event.what == "count.true" and event.more["name"] == told.more["name"]
            ):
                last[event.more["who"], event.at < first] = place
        return list(last.values())

    def _true(self, event: Event) -> None:
        self._set(event, event.more["name"], event.more["units"])

    def _ended(self, event: Event) -> None:
        for name, rows in self.true.items():
            if event.more["who"] in rows:
                self._set(event, name, 0)

    def _set(self, event: Event, name: str, units: float) -> None:
        rows = self.true.setdefault(name, {})
        sum_ = self.sums.get(name, 0)
        self.sums[name] = after = sum_ + units - rows.get(event.more["who"], 0)
        rows[event.more["who"]] = units
        past = self.past.setdefault(name, deque([(-1, sum_, sum_, 0)]))
        bucket, moved = event.at // BUCKET, 0.0
        if past[-1][0] == bucket:
            _, least, most, moved = past.pop()
        else:
            least = most = sum_
        past.append((bucket, min(least, after), max(most, after), moved + abs(after - sum_)))
        while len(past) > 1 and past[1][0] < bucket - KEPT // BUCKET:
            past.popleft()

    def _told(self, event: Event) -> None:
        self.later(self._judge_told, event)

    def _judge_told(self, event: Event) -> None:
        name, low, high = event.more["name"], event.more["low"], event.more["high"]
        first = (event.at - event.more["age"] - 2 * self.skew) // BUCKET
        last = (event.at + 2 * self.skew) // BUCKET
        past = self.past.get(name, deque([(-1, 0.0, 0.0, 0.0)]))
        least, most = float("inf"), float("-inf")
        near = 4 * self.skew // BUCKET + 1 if self.skew else 0
        moves: deque[tuple[int, float]] = deque()
        for bucket, small, great, moved in reversed(past):
            if bucket > last + near:
                continue
            # By clocks that differ a rise of one and a fall of another may have come in either order.
            moves.append((bucket, moved))
            while moves[0][0] > bucket + 2 * near:
                moves.popleft()
            slack = sum(row[1] for row in moves) if near else 0
            least, most = min(least, small - slack), max(most, great + slack)
            if bucket < first - near:
                break
        if most < low or least > high:
            self.find(
                "count-outside",
                f"{event.more['who']} told {low:g} to {high:g} of {name}; in the last "
                f"{event.more['age'] / 10:g} ms it was {least:g} to {most:g}",
                event,
            )
