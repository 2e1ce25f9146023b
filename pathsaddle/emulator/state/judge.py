"""Adds up rights and spending at every instant, and holds what members show of each other against what was,
from the log alone.

Reads events by the vocabulary of histories (`share.*`, `member.*`) and, for the carrying layer, `state.put`
(who, life, version: a record of its own is written), `state.shown` (who sees member's life at that version,
least, most, sure: ticks), `state.view` (who was told that member's life is there or over), `state.over` (who
tells its users that it is over), `sent`. Knows nothing of the program's code. Moments are one clock's; clocks
of members, in which ages are told, may be `drift` off.
"""

from __future__ import annotations

import bisect
import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from pathsaddle.event_log import Event

SECOND = 10_000


@dataclass
class Verdict:
    faults: list[str] = field(default_factory=list)
    most_rights: int = 0  # of all at an instant, in parts of the budget
    most_spent: int = 0  # in any second
    budget: int = 0
    spent: int = 0
    refused: int = 0
    idle: float = 0.0  # of the budget in ticks: usable nowhere
    most_bytes: int = 0  # of one member in any second
    checked: int = 0  # records' ages held against the truth

    def add(self, name: str, at: int, text: str) -> None:
        if len(self.faults) < 20:
            self.faults.append(f"{name} at {at / SECOND:.4f} s: {text}")


class _Sums:
    """Rights and spending of one budget."""

    def __init__(self, name: str, verdict: Verdict, idle_from: int) -> None:
        self.name, self.verdict, self.idle_from = name, verdict, idle_from
        self.told: dict[str, int] = {}  # the budget by each one's charter
        self.rights: dict[str, int] = {}
        # (until, in which order told, who, units, which telling)
        self.ends: list[tuple[int, int, str, int, int]] = []
        self.count = 0
        self.tellings: dict[str, int] = {}
        self.last: dict[str, int] = {}  # when who last had a right
        self.sum = 0
        self.at = 0
        self.window: deque[tuple[int, int]] = deque()
        self.spent = 0

    def budget(self) -> int:
        return max(self.told.values(), default=0)

    def pass_to(self, at: int) -> None:
        while self.ends and self.ends[0][0] <= at:
            until, _, who, floor, telling = heapq.heappop(self.ends)
            if self.tellings.get(who) == telling:
                self._idle(until)
                self.set(who, floor, until)
        self._idle(at)

    def _idle(self, at: int) -> None:
        self.verdict.idle += max(0, self.budget() - self.sum) * max(0, at - max(self.at, self.idle_from))
        self.at = at

    def set(self, who: str, units: int, at: int) -> None:
        old = self.rights.get(who, 0)
        if old > 0:
            self.last[who] = at
        self.rights[who] = units
        self.sum += units - old
        if units > old and self.sum > self.budget():
            self.verdict.add(
                "rights-over-budget",
                at,
                f"{self.sum} of {self.budget()} {self.name} usable, {units} at {who}",
            )
        self.verdict.most_rights = max(self.verdict.most_rights, self.sum)

    def rights_told(self, at: int, more: dict[str, Any]) -> None:
        who = more["who"]
        self.tellings[who] = self.tellings.get(who, 0) + 1
        self.set(who, more["units"], at)
        # What it falls to, and when, though its process may stand still; `steps` tells more than one fall.
        falls = more.get("steps") or ([(more["until"], more.get("floor", 0))] if "until" in more else [])
        for until, units in falls:
            self.count += 1  # two that end at one moment fall in the order in which they are told
            heapq.heappush(self.ends, (until, self.count, who, units, self.tellings[who]))

    def spend(self, at: int, who: str, units: int) -> None:
        while self.window and self.window[0][0] <= at - SECOND:
            self.spent -= self.window.popleft()[1]
        self.window.append((at, units))
        self.spent += units
        self.verdict.spent += units
        self.verdict.most_spent = max(self.verdict.most_spent, self.spent)
        if self.spent > self.budget():
            self.verdict.add(
                "spent-over-budget",
                at,
                f"{self.spent} of {self.budget()} {self.name} in a second, last by {who}",
            )
        if not self.rights.get(who, 0) and self.last.get(who, -SECOND - 1) < at - SECOND:
            self.verdict.add("spent-without-rights", at, f"{units} {self.name} by {who}")


def judge(
    events: Iterable[Event], most_bytes: int = 24_000, drift: float = 0.02, idle_from: int = 0
) -> Verdict:
    """`idle_from`: since when what is usable nowhere is added up."""
    verdict = Verdict()
    sums: dict[str, _Sums] = {}
    rows = sorted(events, key=lambda event: event.at)
    puts: dict[tuple[str, int], list[tuple[int, int]]] = {}  # (member, life) -> (version, when)
    for event in rows:
        if event.what == "state.put":
            puts.setdefault((event.more["who"], event.more["life"]), []).append(
                (event.more["version"], event.at)
            )
    views: dict[tuple[str, str], tuple[int, bool]] = {}
    over: dict[tuple[str, str], int] = {}
    sent: dict[str, deque[tuple[int, int]]] = {}
    bytes_: dict[str, int] = {}
    for event in rows:
        at, what, more = event.at, event.what, event.more
        if what.startswith("share."):
            one = sums.get(more["budget"])
            if one is None:
                one = sums[more["budget"]] = _Sums(more["budget"], verdict, idle_from)
            one.pass_to(at)
            if what == "share.budget":
                one.told[more["who"]] = more["units"]
                verdict.budget = max(verdict.budget, more["units"])
            elif what == "share.rights":
                one.rights_told(at, more)
            elif what == "share.spend":
                one.spend(at, more["who"], more["units"])
            else:
                verdict.refused += more["units"]
        elif what in ("member.ended", "member.began"):
            who = more["who"]
            if what == "member.ended" or not more.get("claimed"):
                for one in sums.values():
                    one.pass_to(at)
                    one.rights_told(at, {"who": who, "units": 0})
                for pair in [pair for pair in views if pair[0] == who]:
                    del views[pair]
                for pair in [pair for pair in over if pair[0] == who]:
                    del over[pair]
        elif what == "state.view":
            pair = more["who"], more["member"]
            if views.get(pair, (0, True))[0] <= more["life"]:
                views[pair] = more["life"], more["there"]
            if more["there"]:
                over.pop(pair, None)
        elif what == "state.over":
            pair = more["who"], more["member"]
            if over.get(pair, -1) >= more["life"]:
                verdict.add(
                    "ended-twice", at, f"{more['who']} tells the end of {more['member']}/{more['life']} again"
                )
            over[pair] = more["life"]
        elif what == "state.shown":
            _shown(at, more, puts, views, drift, verdict)
        elif what == "sent":
            who, size = more["who"], more["bytes"]
            row = sent.setdefault(who, deque())
            row.append((at, size))
            bytes_[who] = bytes_.get(who, 0) + size
            while row[0][0] <= at - SECOND * (1 - drift):
                bytes_[who] -= row.popleft()[1]
            verdict.most_bytes = max(verdict.most_bytes, bytes_[who])
            if bytes_[who] > most_bytes:
                verdict.add("sent-too-much", at, f"{bytes_[who]} bytes in a second by {who}")
    return verdict


def _shown(
    at: int,
    more: dict[str, Any],
    puts: dict[tuple[str, int], list[tuple[int, int]]],
    views: dict[tuple[str, str], tuple[int, bool]],
    drift: float,
    verdict: Verdict,
) -> None:
    who, member, life, version = more["who"], more["member"], more["life"], more["version"]
    told, there = views.get((who, member), (0, False))
    whose = f"{who} shows {member}/{life} version {version}"
    if life < told or (life == told and not there):
        verdict.add("old-life", at, f"{whose}, though told that {told} is {'there' if there else 'over'}")
    rows = puts.get((member, life), [])
    place = bisect.bisect_left(rows, (version, 0))
    if place == len(rows) or rows[place][0] != version or rows[place][1] > at:
        verdict.add("never-put", at, whose)
        return
    verdict.checked += 1
    age = at - rows[place][1]
    if more["least"] > age * (1 + drift) + 2 or (
        more["most"] is not None and more["most"] < age * (1 - drift) - 2
    ):
        verdict.add("age-outside", at, f"{whose} as {more['least']} to {more['most']} old, it is {age}")
    if more["sure"] is not None and place + 1 < len(rows):
        next_put = rows[place + 1][1]
        if next_put < at - more["sure"] / (1 - drift) - 2:
            verdict.add(
                "sure-outside",
                at,
                f"{whose} as the last {more['sure']} ago, it was replaced {at - next_put} ago",
            )
