"""Checks the invariants of leases and fencing tokens, by the log alone.

Invariants: in no instant have two members a key's lease, or act on it with effect. A finding is a name and
what shows it. The module knows nothing of ballots, acceptors or the program; moments are those of whoever
wrote the log.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from pathsaddle.event_log import Event


class Finding(NamedTuple):
    """The name of what is wrong, and what shows it."""

    name: str
    text: str


class Gap(NamedTuple):
    """A span in which nobody might act for a key, in ticks."""

    start: int
    end: int


class LeaseId(NamedTuple):
    """A lease: a key and its fencing token."""

    key: str
    fencing_token: int


class Holder(NamedTuple):
    """Who holds a lease; the incarnation is as the log states it."""

    name: str
    incarnation: Any


@dataclass(slots=True)
class LeaseSpan:
    """From when until when a lease stood."""

    start: int
    end: int


@dataclass
class Verdict:
    """What a log shows.

    Attributes:
        findings: What is wrong.
        effects: How many effects arrived.
        refused: Those that came too late and were refused; each was counted.
        owners: How many leases there were.
        gaps: By key: the spans in which nobody might act.
    """

    findings: list[Finding] = field(default_factory=list)
    effects: int = 0
    refused: int = 0
    owners: int = 0
    gaps: dict[str, list[Gap]] = field(default_factory=dict)


class LeaseInvariantChecker:
    """Reads events in the order of the log.

    Attributes:
        verdict: What the events up to now show.
        skew_ticks: By how much any writer's moments may be off.
    """

    def __init__(self, skew_ticks: int) -> None:
        self.verdict, self.skew_ticks = Verdict(), skew_ticks
        self._holders: dict[LeaseId, Holder] = {}
        self._spans: dict[LeaseId, LeaseSpan] = {}
        self._ended: set[LeaseId] = set()
        self._latest_tokens: dict[str, int] = {}  # by key
        self._admitted_tokens: dict[tuple[str, str], int] = {}  # by receiver and key: the highest

    def add(self, event: Event) -> None:
        """Take in the next event."""
        match event.what:
            case "lease":
                self._on_lease(event)
            case "lease.end":
                self._on_lease_end(event)
            case "member.ended":
                self._on_member_ended(event)
            case "act":
                self._on_act(event)
            case "effect":
                self._on_effect(event)

    def finish(self) -> Verdict:
        """Compare the leases of each key with one another and return the verdict."""
        by_key: dict[str, list[tuple[int, int, int]]] = {}
        for (key, fencing_token), span in self._spans.items():
            by_key.setdefault(key, []).append((span.start, span.end, fencing_token))
        for key, rows in by_key.items():
            gaps = self.verdict.gaps[key] = []
            latest_end = 0
            for start, end, fencing_token in sorted(rows):
                if start + 2 * self.skew_ticks < latest_end:
                    self._report(
                        "leases-overlap", f"{key}: {fencing_token} from {start}, another until {latest_end}"
                    )
                elif latest_end and start > latest_end:
                    gaps.append(Gap(latest_end, start))
                latest_end = max(latest_end, end)
        return self.verdict

    def _report(self, name: str, text: str) -> None:
        self.verdict.findings.append(Finding(name, text))

    def _on_lease(self, event: Event) -> None:
        members = event.more
        key, fencing_token = members["key"], members["number"]
        lease = LeaseId(key, fencing_token)
        holder = Holder(members["who"], members.get("life"))
        if self._holders.setdefault(lease, holder) != holder or lease in self._ended:
            first = tuple(self._holders[lease])
            text = f"{key} {fencing_token}: {first} and {tuple(holder)} at {event.at}"
            self._report("number-twice", text)
        span = self._spans.get(lease)
        if span is not None:
            span.end = max(span.end, members["until"])
            return
        self.verdict.owners += 1
        self._spans[lease] = LeaseSpan(event.at, members["until"])
        latest = self._latest_tokens.get(key, 0)
        if fencing_token <= latest:
            self._report("number-back", f"{key}: {fencing_token} after {latest} at {event.at}")
        self._latest_tokens[key] = max(fencing_token, latest)

    def _end(self, lease: LeaseId, at: int) -> None:
        self._ended.add(lease)
        span = self._spans.get(lease)
        if span is not None:
            span.end = min(span.end, at)

    def _on_lease_end(self, event: Event) -> None:
        self._end(LeaseId(event.more["key"], event.more["number"]), event.at)

    def _on_member_ended(self, event: Event) -> None:
        for lease, holder in self._holders.items():
            if holder.name == event.more["who"] and lease not in self._ended:
                self._end(lease, event.at)

    def _on_act(self, event: Event) -> None:
        name = event.more["who"]
        lease = LeaseId(event.more["key"], event.more["number"])
        span = self._spans.get(lease)
        is_leased = span is not None and event.at < span.end + self.skew_ticks
        if not is_leased or self._holders[lease].name != name:
            self._report("act-without-lease", f"{name} {tuple(lease)} at {event.at}")

    def _on_effect(self, event: Event) -> None:
        members = event.more
        self.verdict.effects += 1
        if not members["taken"]:
            self.verdict.refused += 1
            return
        receiver, sender = members["who"], members["by"]
        lease = LeaseId(members["key"], members["number"])
        seen = self._admitted_tokens.get((receiver, lease.key), 0)
        if lease.fencing_token < seen:
            self._report(
                "effect-two-owners", f"{sender} {tuple(lease)} at {receiver} after {seen} at {event.at}"
            )
        if lease not in self._holders or self._holders[lease].name != sender:
            self._report("effect-unfenced", f"{sender} {tuple(lease)} at {event.at}")
        self._admitted_tokens[receiver, lease.key] = max(lease.fencing_token, seen)


def judge(events: Iterable[Event], skew: int = 0) -> Verdict:
    """Check a log.

    Args:
        events: In the order of the log.
        skew: By how much any writer's moments may be off, in ticks.
    """
    checker = LeaseInvariantChecker(skew)
    for event in events:
        checker.add(event)
    return checker.finish()
