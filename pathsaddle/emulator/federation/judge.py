"""What a log of a federation shows: bounds that were broken, by name, and what was earned. Reads events
alone.

Knows the vocabulary of histories and nothing of the program: events in true time, as the virtual ground
writes them, or of processes whose clocks differ by at most `skew` ticks (then only what is sure is a
finding).
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from pathsaddle.event_log import Event
from pathsaddle.scheduler_types import SECOND

FAR = 1 << 60


class _Versions:
    """What was committed, in force, held and offered, as the log goes on."""

    def __init__(self) -> None:
        self.may: dict[int, dict[str, list[str]]] = {}
        self.data: dict[int, dict[str, list[str]]] = {}
        self.home: dict[int, dict[str, str]] = {}
        self.force = 0
        self.forced_at = 0
        self.held: dict[str, tuple[int, int]] = {}
        self.offered: dict[str, dict[int, None]] = {}

    def lawful(
        self, scheme: str, region: str, table: dict[int, dict[str, list[str]]], now: int, skew: int
    ) -> bool:
        """Whether the one in force, or one committed after it, allows it."""
        force = self.force if now > self.forced_at + 2 * skew else 0
        return any(number >= force and region in told.get(scheme, [region]) for number, told in table.items())


def judged(events: Iterable[Event], skew: int = 0) -> Counter[str]:
    """Name of the finding -> how often."""
    found: Counter[str] = Counter()
    versions = _Versions()
    ran: dict[str, str] = {}
    open_posts: dict[str, dict[str, None]] = {}
    waiting: dict[str, dict[str, None]] = {}
    budgets: dict[str, int] = {}
    rights: dict[str, dict[str, tuple[int, int, int]]] = {}
    spent: dict[str, list[int]] = {}
    for event in events:
        now, what, more = event.at, event.what, event.more
        who = more.get("who", "")
        if what == "spec.version":
            number = more["version"]
            if more["state"] == "committed":
                versions.may[number] = more["may"]
                versions.data[number] = more.get("data", {})
                versions.home[number] = more.get("home", {})
            elif more["state"] == "held":
                versions.held[who] = (number, more["until"])
                offers = versions.offered.get(who)
                if offers:
                    versions.offered[who] = {one: None for one in offers if one > number}
            elif more["state"] == "force":
                for held, until in versions.held.values():
                    if held < number and until > now + 2 * skew:
                        found["force-early"] += 1
                versions.force, versions.forced_at = max(versions.force, number), now
        elif what == "spec.offered":
            versions.offered.setdefault(who, {})[more["version"]] = None
        elif what == "member.began":
            versions.held.pop(who, None)
            versions.offered.pop(who, None)
        elif what == "member.ended":
            versions.held.pop(who, None)
            for table in rights.values():
                table.pop(who, None)
        elif what in ("abroad.sent", "region.ran"):
            scheme = more["scheme"]
            to = more["to"] if what == "abroad.sent" else more["region"]
            by = who if what == "abroad.sent" else more.get("by", who)
            if not versions.lawful(scheme, to, versions.may, now, skew):
                early = not any(to in told.get(scheme, [to]) for told in versions.may.values())
                found["loosened-early" if early else "forbidden-region"] += 1
            mine = versions.held.get(by)
            if mine is not None and mine[0] not in versions.may:
                found["loosened-early"] += 1  # it goes by what nobody has committed
            elif mine is not None:
                if to not in versions.may[mine[0]].get(scheme, [to]) or any(
                    to not in versions.may[one].get(scheme, [to])
                    for one in versions.offered.get(by, ())
                    if one in versions.may
                ):
                    found["tightening-ignored"] += 1
                if mine[1] + 2 * skew < now and to != versions.home[mine[0]].get(scheme, to):
                    found["beyond-lease"] += 1
            if what == "abroad.sent":
                if more["from"] != more["origin"]:
                    found["crossed-twice"] += 1
                if to in (more["origin"], more["from"]):
                    found["circle"] += 1
                posts = open_posts.setdefault(more["txn"], {})
                if more["kind"] == "once-only" and posts:
                    found["crossed-again"] += 1
                posts[more["post"]] = None
            else:
                if more["kind"] == "once-only":
                    if more["txn"] in ran:
                        found["two-regions" if ran[more["txn"]] != to else "ran-twice"] += 1
                    ran[more["txn"]] = to
                if more.get("home", to) != to and waiting.get(to):
                    found["own-after-foreign"] += 1
                waiting.get(to, {}).pop(more["post"], None)
        elif what == "abroad.ended":
            if more["outcome"] == "declined":
                open_posts.get(more["txn"], {}).pop(more["post"], None)
        elif what == "work.queued":
            if more["own"]:
                waiting.setdefault(more["region"], {})[more["post"]] = None
        elif what == "work.left":
            waiting.get(more["region"], {}).pop(more["post"], None)
        elif what == "data.read":
            if not versions.lawful(more["data"], more["region"], versions.data, now, skew):
                found["forbidden-region"] += 1
            if more["age"] > more["staleness"]:
                found["stale-copy"] += 1
        elif what == "share.budget":
            budgets[more["budget"]] = max(budgets.get(more["budget"], 0), more["units"])
        elif what == "share.rights":
            table = rights.setdefault(more["budget"], {})
            table[who] = (more["units"], more["until"], more.get("floor", 0))
            usable = sum(units if now < until else floor for units, until, floor in table.values())
            if usable > budgets[more["budget"]]:
                found["rights-over-budget"] += 1
        elif what == "share.spend":
            row = spent.setdefault(more["budget"], [])
            row.append(now)
            while row[0] <= now - SECOND:
                row.pop(0)
            if len(row) > budgets[more["budget"]]:
                found["spent-over-budget"] += 1
    return found


def earned(events: Iterable[Event], since: int = 0, until: int = FAR) -> dict[str, Any]:
    """Of txns whose clients came within [since, until): by home region: value offered, value settled in time,
    what was declined, of value taken at home (`own`) what was settled, and how many were sent abroad, in
    vain, fetched; all regions together under "all".
    """
    began: dict[str, tuple[int, str, str]] = {}
    regions: dict[str, dict[str, float]] = {}
    counts: Counter[str] = Counter()
    values = {"lookup": 2.0, "sign": 1.0, "charge": 3.0, "vault": 1.0}
    taken: dict[str, None] = {}
    sent: dict[str, str] = {}
    settled: dict[str, None] = {}
    for event in events:
        more = event.more
        if event.what == "client.began":
            if since <= event.at < until:
                began[more["txn"]] = (event.at, more["home"], more["scheme"])
                row = regions.setdefault(
                    more["home"],
                    {
                        "offered": 0.0,
                        "settled": 0.0,
                        "declared": 0.0,
                        "of_declared": 0.0,
                        "jobs": 0.0,
                        "own": 0.0,
                        "of_own": 0.0,
                    },
                )
                value = values[more["scheme"].split("-")[0]]
                row["offered"] += value
                if not more["scheme"].startswith("vault"):
                    row["declared"] += value
                    row["jobs"] += 1
        elif event.what == "txn.taken" and more["txn"] in began:
            if more["region"] == more["home"]:
                taken[more["txn"]] = None
                regions[more["home"]]["own"] += more["value"]
        elif event.what == "client.got" and more["txn"] in began:
            at, home, scheme = began[more["txn"]]
            counts[more["outcome"]] += 1
            if more["outcome"] == "settled" and event.at - at <= 3 * SECOND:
                regions[home]["settled"] += values[scheme.split("-")[0]]
                if more["txn"] in taken:
                    regions[home]["of_own"] += values[scheme.split("-")[0]]
                if not scheme.startswith("vault"):
                    regions[home]["of_declared"] += values[scheme.split("-")[0]]
        elif event.what == "abroad.sent":
            counts["abroad"] += since <= event.at < until
            sent[more["post"]] = more["txn"]
        elif event.what == "abroad.ended" and more["outcome"] == "settled":
            settled[more["post"]] = None
        elif event.what == "data.read":
            counts["fetched"] += bool(more.get("fetched")) and since <= event.at < until
    whole = {key: sum(row[key] for row in regions.values()) for key in ("offered", "settled")}
    return {
        "regions": regions,
        "counts": counts,
        "share": whole["settled"] / max(1.0, whole["offered"]),
        "in_vain": sum(post not in settled for post in sent),
    }


def lent(events: Iterable[Event], slots: int, since: int, until: int) -> dict[str, tuple[float, float, int]]:
    """By region: seconds of its slots that foreigners had within [since, until), that its own left free for
    them, and how many of theirs began then.
    """
    began: dict[str, tuple[int, str, bool]] = {}
    own: dict[str, int] = {}
    foreign: dict[str, int] = {}

    def ended(post: str, at: int) -> None:
        start, region, is_own = began.pop(post)
        table = own if is_own else foreign
        table[region] = table.get(region, 0) + max(0, min(at, until) - max(start, since))

    last = 0
    runs: Counter[str] = Counter()
    for event in events:
        last = event.at
        if event.what == "region.ran":
            runs[event.more["region"]] += event.more["home"] != event.more["region"] and since <= last < until
            began[event.more["post"]] = (
                event.at,
                event.more["region"],
                event.more["home"] == event.more["region"],
            )
        elif event.what == "work.ended" and event.more["post"] in began:
            ended(event.more["post"], event.at)
        elif event.what == "region.lost":
            for post in [post for post, row in began.items() if row[1] == event.more["region"]]:
                ended(post, event.at)
    for post in list(began):
        ended(post, last)
    whole = slots * (min(until, last) - since)
    return {
        region: (foreign.get(region, 0) / SECOND, (whole - own.get(region, 0)) / SECOND, runs[region])
        for region in sorted(own)
    }


def turned(events: Iterable[Event], region: str, lost: int, back: int) -> tuple[float, float]:
    """Seconds from the loss of a region until a job of it settled elsewhere, and from its return until
    nineteen of twenty of its jobs that began to run within a second did so at home; -1: never.
    """
    over = -1.0
    runs: list[tuple[int, bool]] = []
    for event in events:
        if event.what == "region.ran" and event.more.get("home") == region:
            home = event.more["region"] == region
            if over < 0 and event.at >= lost and not home:
                over = (event.at - lost) / SECOND
            if event.at >= back:
                runs.append((event.at, home))
    for start in range(back, back + 60 * SECOND, SECOND // 2):
        within = [home for at, home in runs if start <= at < start + SECOND]
        if within and sum(within) >= 0.95 * len(within):
            return over, (start - back) / SECOND
    return over, -1.0
