"""Federation: residency against versions in force, one effect over all regions, one crossing."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Any

from pathsaddle.histories.logs import NEVER, Checker, Event

ONCE = "once-only"


@dataclass(slots=True, eq=False)
class Version:
    number: int
    may: dict[str, list[str]] | None = None  # by scheme: where its jobs may be posted; None: not told yet
    data: dict[str, list[str]] = field(default_factory=dict)  # by name: where it may be read
    committed: Event | None = None

    def allows(self, event: Event) -> bool:
        """A posting abroad, a run that names its dispatcher, or a read."""
        if self.may is None:
            return False
        if event.what == "data.read":
            return (
                event.more["data"] not in self.data or event.more["region"] in self.data[event.more["data"]]
            )
        return _place(event) in self.may.get(event.more["scheme"], ())

    def narrower(self, other: Version, event: Event) -> bool:
        """Than the other, for what this event is about."""
        if self.may is None or other.may is None:
            return False
        if event.what == "data.read":
            name = event.more["data"]
            return name not in other.data or all(
                place in other.data[name] for place in self.data.get(name, ())
            )
        scheme = event.more["scheme"]
        return all(place in other.may.get(scheme, ()) for place in self.may.get(scheme, ()))


def _place(event: Event) -> str:
    return str(event.more["to" if event.what == "abroad.sent" else "region"])


class Federation(Checker):
    """Finds `forbidden-region`, `tightening-ignored`, `loosened-early`, `beyond-lease`, `two-regions`,
    `crossed-twice`, `circle`, `crossed-again`, `stale-copy`, `force-early`, `own-after-foreign`.

    What may be used at a moment: any version that was committed by then and is not older than the newest that
    was reported in force before. What a member itself holds binds it at once, committed or not,
    where it is tighter.
    """

    name = "federation"

    def __init__(self, skew: int = 0) -> None:
        super().__init__(skew)
        self.versions: dict[int, Version] = {}
        # committed, and not older than what was in force when it was last asked
        self.live: list[Version] = []
        self.live_from = 0
        self.force: list[Event] = []  # in the order told, numbers that grow
        self.held: dict[str, Event] = {}
        self.told: dict[str, list[Event]] = {}  # of a member, the last few that it held
        self.regions: dict[str, str] = {}
        self.ended: dict[str, int] = {}
        self.offered: dict[str, list[Event]] = {}  # texts that a member has and that are not committed
        self.waiting: dict[str, dict[Hashable, Event]] = {}  # own jobs that wait in a region
        self.crossings: dict[Hashable, dict[Hashable, tuple[Event, str]]] = {}
        self.ran: dict[Hashable, Event] = {}
        self.on = {
            "member.began": self._began,
            "member.ended": self._ended,
            "spec.version": self._version,
            "abroad.sent": self._sent,
            "abroad.ended": self._abroad_ended,
            "data.read": self._read,
            "region.ran": self._ran,
            "spec.offered": self._offered,
            "work.queued": self._queued,
            "work.left": self._left,
            "work.ended": self._left,
        }

    def _began(self, event: Event) -> None:
        region = event.more.get("region")
        if region is not None:
            self.regions[event.more["who"]] = region
        self.held.pop(event.more["who"], None)

    def _ended(self, event: Event) -> None:
        self.ended[event.more["who"]] = event.at
        self.held.pop(event.more["who"], None)

    def _version(self, event: Event) -> None:
        more = event.more
        number, state, who = more["version"], more["state"], more["who"]
        version = self.versions.get(number)
        if version is None:
            version = self.versions[number] = Version(number)
        if "may" in more and version.may is None:
            version.may, version.data = more["may"], more.get("data", {})
        if state == "committed":
            if version.committed is None:
                version.committed = event
                self.live.append(version)
        elif state == "held":
            self.held[who] = event
            rows = self.told.setdefault(who, [])
            rows.append(event)
            del rows[:-FEW]
        elif state == "force":
            if not self.force or number > self.force[-1].more["version"]:
                self.force.append(event)
            self.later(self._force, event)
        else:
            raise ValueError(f"state {state!r}")

    def _offered(self, event: Event) -> None:
        version = self.versions.setdefault(event.more["version"], Version(event.more["version"]))
        if "may" in event.more and version.may is None:
            version.may, version.data = event.more["may"], event.more.get("data", {})
        rows = self.offered.setdefault(event.more["who"], [])
        rows.append(event)
        del rows[:-FEW]

    def _queued(self, event: Event) -> None:
        if event.more.get("own", True):
            self.waiting.setdefault(event.more["region"], {})[event.more["post"]] = event

    def _left(self, event: Event) -> None:
        self.waiting.get(event.more["region"], {}).pop(event.more["post"], None)

    def _force(self, event: Event) -> None:
        """Told in force: each member holds it, or its hold on an older one has surely ended."""
        number, slack = event.more["version"], 2 * self.skew
        for who, rows in self.told.items():
            stood = [row for row in rows if row.at <= event.at + slack]
            if not stood or self.ended.get(who, NEVER) >= stood[-1].at - slack:
                continue
            row = stood[-1]
            if row.more["version"] < number and row.more.get("until", 1 << 60) > event.at + slack:
                self.find(
                    "force-early",
                    f"version {number} was told in force while {who} still held {row.more['version']}",
                    row,
                    event,
                )

    def _sent(self, event: Event) -> None:
        more = event.more
        who, txn, origin, to = more["who"], more["txn"], more["origin"], more["to"]
        if to == origin:
            self.find("circle", f"{who} sent {txn} back to {origin}, from where it came", event)
        elif more["from"] != origin:
            self.find("crossed-twice", f"{who} in {more['from']} sent {txn} of {origin} on to {to}", event)
        rows = self.crossings.setdefault(txn, {})
        if more.get("kind") == ONCE:
            for sent, how in rows.values():
                if how != "declined" and sent.more["who"] == who:
                    self.find(
                        "crossed-again",
                        f"once-only {txn} crosses to {to} while {sent.more['post']} to "
                        f"{sent.more['to']} is {how}",
                        sent,
                        event,
                    )
                    break
        rows[more["post"]] = event, "open"
        self._go_by(event, True)

    def _abroad_ended(self, event: Event) -> None:
        rows = self.crossings.get(event.more["txn"], {})
        row = rows.get(event.more["post"])
        if row is not None:
            rows[event.more["post"]] = row[0], event.more["outcome"]

    def _read(self, event: Event) -> None:
        more = event.more
        if "age" in more and "staleness" in more and more["age"] > more["staleness"]:
            self.find(
                "stale-copy",
                f"{more['who']} read {more['data']} in {more['region']}, a copy "
                f"{more['age'] / 10:g} ms old where {more['staleness'] / 10:g} are allowed",
                event,
            )
        home = self.regions.get(more["who"])
        self._go_by(event, home is not None and home != more["region"])

    def _go_by(self, event: Event, abroad: bool) -> None:
        """By its own clock and order what it holds itself; by all versions once they are known."""
        more = event.more
        who = more.get("by", more["who"])
        # What a dispatcher did may stand in the log of whoever saw it done, by that one's clock.
        slack = 2 * self.skew if who != more["who"] else 0
        held = self.held.get(who)
        # Without a lease the home of the scheme is left, wherever the txn came from.
        abroad = abroad and ("home" not in more or more["home"] != _place(event))
        if abroad and held is not None and event.at - slack >= held.more.get("until", 1 << 60):
            self.find(
                "beyond-lease",
                f"{who} went abroad {(event.at - held.more['until']) / 10:g} ms after its hold on "
                "the spec had ended",
                held,
                event,
            )
        if (
            held is not None
            and held.at <= event.at - slack
            and more.get("version", 0) <= held.more["version"]
        ):
            version = self.versions[held.more["version"]]
            if version.may is not None and not version.allows(event):
                self.find(
                    "tightening-ignored",
                    f"{who} holds version {version.number} and went against it"
                    f"{self._by(event)}: {self._what(event)}",
                    held,
                    event,
                )
        for row in self.offered.get(who, ()):
            version = self.versions[row.more["version"]]
            if (
                version.may is not None
                and row.at <= event.at - slack
                and not version.allows(event)
                and version.number
                >= max(more.get("version", 0), held.more["version"] if held is not None else 0)
            ):
                self.find(
                    "tightening-ignored",
                    f"{who} had the text of version {version.number} and went against it"
                    f"{self._by(event)}: {self._what(event)}",
                    row,
                    event,
                )
                break
        if self.versions:
            self.later(self._allowed, event)

    @staticmethod
    def _by(event: Event) -> str:
        return f" by version {event.more['version']}" if "version" in event.more else ""

    @staticmethod
    def _what(event: Event) -> str:
        more: dict[str, Any] = event.more
        if event.what == "data.read":
            return f"{more['data']} read in {more['region']}"
        return f"{more['scheme']} posted to {_place(event)}"

    def _allowed(self, event: Event) -> None:
        slack = 2 * self.skew
        force = 0
        by: Event | None = None
        for row in reversed(self.force):
            if row.at + slack < event.at:
                force, by = row.more["version"], row
                break
        by_then = event.at + slack
        if force > self.live_from:
            self.live = [version for version in self.live if version.number >= force]
            self.live_from = force
        there = [
            version
            for version in self.live
            if version.committed is not None and version.committed.at <= by_then
        ]
        if "version" in event.more:
            used = self.versions.get(event.more["version"])
            if (used is None or used.committed is None or used.committed.at > by_then) and not (
                used is not None and there and used.narrower(there[-1], event)
            ):
                rows = [event] if used is None or used.committed is None else [event, used.committed]
                self.find(
                    "loosened-early", f"{self._what(event)}{self._by(event)}, which was not committed", *rows
                )
                return
        if not any(version.allows(event) for version in there):
            last = there[-1].committed if there else None
            rows = [row for row in (last, by, event) if row is not None]
            self.find(
                "forbidden-region",
                f"{self._what(event)}{self._by(event)}; {force or 'none'} was in force, and "
                "nothing since allows it",
                *rows,
            )

    def _ran(self, event: Event) -> None:
        region, home = event.more["region"], event.more.get("home")
        if "by" in event.more and "scheme" in event.more:
            self._go_by(event, home is not None)
        waiting = self.waiting.get(region)
        if waiting:
            waiting.pop(event.more["post"], None)
            if home is not None and home != region and waiting:
                self.find(
                    "own-after-foreign",
                    f"{region} began {event.more['txn']} of {home} while own work waited",
                    next(iter(waiting.values())),
                    event,
                )
        if event.more.get("kind") != ONCE:
            return
        first = self.ran.setdefault(event.more["txn"], event)
        if first.more["region"] != event.more["region"]:
            self.find(
                "two-regions",
                f"once-only {event.more['txn']} ran in {first.more['region']} and in {event.more['region']}",
                first,
                event,
            )


FEW = 32  # versions told by one member that are kept
