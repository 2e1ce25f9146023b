"""Reads the log alone: whether in any instant two members were owner, or acted as owner with effect.

A finding is a name and what shows it. Knows nothing of ballots, voters or the program;
moments are the ground's.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from pathsaddle.emulator.events import Event


@dataclass
class Verdict:
    findings: list[tuple[str, str]] = field(default_factory=list)
    effects: int = 0
    refused: int = 0  # effects that came too late and were refused, each of them counted
    owners: int = 0
    # by key: spans in which nobody might act
    gaps: dict[str, list[tuple[int, int]]] = field(default_factory=dict)

    def longest(self, since: int = 0) -> int:
        return max(
            (end - begin for rows in self.gaps.values() for begin, end in rows if begin >= since), default=0
        )


def judge(events: Iterable[Event], skew: int = 0) -> Verdict:
    """`skew`: by how much any writer's moments may be off, in ticks."""
    verdict = Verdict()
    found = verdict.findings
    whose: dict[tuple[str, int], tuple[str, Any]] = {}  # (key, number): who, its life
    spans: dict[tuple[str, int], list[int]] = {}  # from, until, as it stands
    latest: dict[str, int] = {}  # key: the number told last
    ended: dict[tuple[str, int], int] = {}
    seen: dict[tuple[str, str], int] = {}  # (receiver, key): highest effect let in
    for event in events:
        more = event.more
        if event.what == "lease":
            key, number = more["key"], more["number"]
            one = key, number
            owner = more["who"], more.get("life")
            if whose.setdefault(one, owner) != owner or one in ended:
                found.append(("number-twice", f"{key} {number}: {whose[one]} and {owner} at {event.at}"))
            if one not in spans:
                verdict.owners += 1
                spans[one] = [event.at, more["until"]]
                if number <= latest.get(key, 0):
                    found.append(("number-back", f"{key}: {number} after {latest[key]} at {event.at}"))
                latest[key] = max(number, latest.get(key, 0))
            else:
                spans[one][1] = max(spans[one][1], more["until"])
        elif event.what == "lease.end":
            one = more["key"], more["number"]
            ended[one] = event.at
            if one in spans:
                spans[one][1] = min(spans[one][1], event.at)
        elif event.what == "member.ended":
            for (key, number), (name, _) in whose.items():
                if name == more["who"] and (key, number) not in ended:
                    ended[key, number] = event.at
                    spans[key, number][1] = min(spans[key, number][1], event.at)
        elif event.what == "act":
            one = more["key"], more["number"]
            if one not in spans or event.at >= spans[one][1] + skew or whose[one][0] != more["who"]:
                found.append(("act-without-lease", f"{more['who']} {one} at {event.at}"))
        elif event.what == "effect":
            verdict.effects += 1
            where = more["who"], more["key"]
            one = more["key"], more["number"]
            if not more["taken"]:
                verdict.refused += 1
                continue
            if more["number"] < seen.get(where, 0):
                found.append(
                    (
                        "effect-two-owners",
                        f"{more['by']} {one} at {more['who']} after {seen[where]} at {event.at}",
                    )
                )
            if one not in whose or whose[one][0] != more["by"]:
                found.append(("effect-unfenced", f"{more['by']} {one} at {event.at}"))
            seen[where] = max(more["number"], seen.get(where, 0))
    by_key: dict[str, list[tuple[int, int, int]]] = {}
    for (key, number), (begin, until) in spans.items():
        by_key.setdefault(key, []).append((begin, until, number))
    for key, rows in by_key.items():
        rows.sort()
        gaps = verdict.gaps[key] = []
        end = 0
        for begin, until, number in rows:
            if begin + 2 * skew < end:
                found.append(("leases-overlap", f"{key}: {number} from {begin}, another until {end}"))
            elif end and begin > end:
                gaps.append((end, begin))
            end = max(end, until)
    return verdict
