"""What a planned restart must not cost, worked out from the events alone, as the judge does and beside it.

The judge excuses a txn whose dispatcher had ended: a process that was killed can't answer. One that was told
to end can, so that excuse is gone here. All else is the judge's, postings for a client that has left among it
(`after`).

- shut: a txn whose call has crossed whole gets a whole answer, though its dispatcher was told to end, unless
  its client left or the process was killed. Where the close and a call on a kept connection cross (`crossed`),
  its client sends it once more: fair only if nothing of the first was sent on.
- turned-out: a new connection on which a whole call lay was closed with no answer, by a dispatcher told to end:
  more than one try in `ONE_IN`.
- slow-end: who is told to end has ended within the longest expiry, or `MOST_EXPIRY` if that is less, and
  `ENDS_WITHIN`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pathsaddle.config.schema import Configuration
from pathsaddle.emulator.judges.judge import FAR, SECOND, Finding
from pathsaddle.event_log import Event

ENDS_WITHIN = 7 * SECOND // 10
MOST_EXPIRY = 3 * SECOND
ONE_IN = 200
RULES = ("shut", "turned-out", "slow-end")


class Crossings:
    """Reads events in any order; `verdict` once."""

    def __init__(self, charter: Configuration, slack: int = 20) -> None:
        longest = max((scheme.expiry for scheme in charter.schemes), default=MOST_EXPIRY)
        self.ends_within = min(MOST_EXPIRY, longest) + ENDS_WITHIN + slack
        self.asked: dict[str, Event] = {}
        self.answered: set[str] = set()
        self.left: set[str] = set()
        self.crossed: set[str] = set()
        self.sent_on: dict[str, str] = {}
        self.stops: dict[int, list[int]] = {}
        self.ends: dict[int, list[tuple[int, bool]]] = {}  # when a process was over, and whether by itself
        self.over = FAR  # when the run was
        self.findings: list[Finding] = []

    def read(self, events: Iterable[Event]) -> None:
        for event in sorted(events, key=lambda event: event.at):
            handle = getattr(self, "_" + event.what, None)
            if handle is not None:
                handle(event, event.more)

    def _asked(self, event: Event, more: dict[str, Any]) -> None:
        self.asked[more["id"]] = event

    def _answered(self, event: Event, more: dict[str, Any]) -> None:
        self.answered.add(more["id"])

    def _crossed(self, event: Event, more: dict[str, Any]) -> None:
        self.crossed.add(more["id"])

    def _hung_up(self, event: Event, more: dict[str, Any]) -> None:
        if more["early"]:  # else it was there until long past its expiry
            self.left.add(more["id"])

    def _came(self, event: Event, more: dict[str, Any]) -> None:
        self.sent_on.setdefault(more["id"], more["worker"])

    def _stopping(self, event: Event, more: dict[str, Any]) -> None:
        self.stops.setdefault(more["dispatcher"], []).append(event.at)

    def _ended_itself(self, event: Event, more: dict[str, Any]) -> None:
        self.ends.setdefault(more["dispatcher"], []).append((event.at, True))

    def _killed(self, event: Event, more: dict[str, Any]) -> None:
        self.ends.setdefault(more["dispatcher"], []).append((event.at, False))

    _died = _overdue = _killed

    def _end(self, event: Event, more: dict[str, Any]) -> None:
        self.over = event.at

    def _end_after(self, dispatcher: int, at: int) -> tuple[int, bool]:
        return next((end for end in self.ends.get(dispatcher, []) if end[0] >= at), (FAR, True))

    def _told_to_end(self, dispatcher: int, at: int) -> int | None:
        """When the life that it was in at that moment was told to end; none: never, or it was killed."""
        end, itself = self._end_after(dispatcher, at)
        before = max((when for when, _ in self.ends.get(dispatcher, []) if when < at), default=-1)
        stops = [stop for stop in self.stops.get(dispatcher, []) if before < stop <= end]
        return stops[0] if stops and itself else None

    def _unanswered(self) -> None:
        turned_out = []
        for tag, event in self.asked.items():
            if tag in self.answered or tag in self.left or (tag in self.crossed and tag not in self.sent_on):
                continue
            dispatcher = event.more["dispatcher"]
            stop = self._told_to_end(dispatcher, event.at)
            if stop is None:
                continue  # no restart had to do with it: the judge's
            when = f"{abs(event.at - stop) / SECOND:.3f} s {'before' if event.at < stop else 'after'}"
            where = f"was sent on to {self.sent_on[tag]}" if tag in self.sent_on else "was not sent on"
            text = (
                f"{event.more['scheme']} {tag} crossed {when} d{dispatcher} was told to end, {where}, "
                "has no answer"
            )
            if event.more.get("kept", True) or tag in self.sent_on:
                self.findings.append(Finding("shut", event.at, text))
            else:
                turned_out.append(Finding("turned-out", event.at, text))
        if len(turned_out) * ONE_IN > len(self.asked):
            self.findings += turned_out

    def _ends(self) -> None:
        for dispatcher, stops in self.stops.items():
            for stop in stops:
                end, _ = self._end_after(dispatcher, stop)
                if min(end, self.over) - stop > self.ends_within:
                    took = (min(end, self.over) - stop) / SECOND
                    self.findings.append(
                        Finding("slow-end", stop, f"d{dispatcher} took over {took:.2f} s to end")
                    )

    def verdict(self) -> list[Finding]:
        self._unanswered()
        self._ends()
        return sorted(self.findings, key=lambda finding: finding.at)


def judge_crossings(charter: Configuration, events: Iterable[Event], slack: int = 20) -> list[Finding]:
    """`slack` as the judge's."""
    one = Crossings(charter, slack)
    one.read(events)
    return one.verdict()
