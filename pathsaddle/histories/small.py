"""A failing history made small by itself: delta debugging (Zeller and Hildebrandt 2002) over members, then
what is judged together, then events, then time.

What is left must still be found under its name, by events that are among those of the first finding: leaving
out what excuses (a release, a fall of rights) makes other findings, and those are not what happened. Where a
checker knows that an event may explain another's answer (`Checker.stays`), it stays.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from typing import Any

from pathsaddle.histories.logs import MOMENTS, SECOND, Checker, Event, Finding, check

Row = tuple[int, Event]  # its place in the first history, which stays its name when its moment is changed
SELDOM = 200  # lines of one kind that are kept whole at first
MOST_PLAYS = 2_000  # checks of one history; beyond it what is reached by then is told


class Small:
    """Bound: at most MOST_PLAYS checks."""

    def __init__(self, events: Sequence[Event], make: Callable[[], Checker], finding: Finding) -> None:
        self.rows: list[Row] = list(enumerate(events))
        self.make, self.finding, self.plays = make, finding, 0
        places = {id(event): place for place, event in self.rows}
        self.accused = dict.fromkeys(places[id(event)] for event in finding.events if id(event) in places)
        checker = make()
        check([event for _, event in self.rows], [checker])
        # A register's call is named by its end and by its begin: both go or stay.
        self.fixed = dict.fromkeys(checker.stays(events, finding))
        self.rows_at = {place: event.at for place, event in self.rows}
        self.groups = {place: checker.group(event) for place, event in self.rows}
        self.own = dict.fromkeys(self.groups[place] for place in self.accused)

    def run(self) -> list[Event]:
        end = max((self.rows[place][1].at for place in self.accused), default=None)
        if end is not None:
            self._try([row for row in self.rows if row[1].at <= end])
        self._try(
            [row for row in self.rows if self.groups[row[0]] in self.own or self.groups[row[0]] is None]
        )
        self._near()
        self._fewer(lambda row: row[1].more.get("who"), True)
        self._fewer(self._txn, False)
        self._fewer(lambda row: row[0], False)
        self._time()
        return [event for _, event in self.rows]

    def _near(self) -> None:
        """Of a long history first what is near the accused, with what is told seldom (limits, charters,
        versions): else each of the plays that come reads all of it.
        """
        begin = min((self.rows_at[place] for place in self.accused), default=0)
        often: dict[str, int] = {}
        for _, event in self.rows:
            often[event.what] = often.get(event.what, 0) + 1
        near = SECOND // 10
        while near < begin and len(self.rows) > SELDOM:
            if self._try(
                [
                    row
                    for row in self.rows
                    if row[1].at >= begin - near
                    or row[0] in self.fixed
                    or often[row[1].what] <= SELDOM
                    or row[0] in self.accused
                ]
            ):
                return
            near *= 8

    def _txn(self, row: Row) -> Hashable:
        """What begins and ends one thing goes together."""
        more = row[1].more
        for name in ("op", "post", "txn", "step", "unit"):
            if isinstance(more.get(name), str | int):
                return name, more[name]
        return row[0]

    def _holds(self, rows: list[Row]) -> bool:
        self.plays += 1
        checker = self.make()
        check([event for _, event in rows], [checker])
        places = {id(event): place for place, event in rows}
        return any(
            finding.name == self.finding.name
            and all(places.get(id(event), -1) in self.accused for event in finding.events)
            for finding in checker.findings
        )

    def _try(self, rows: list[Row]) -> bool:
        if len(rows) == len(self.rows) or self.plays >= MOST_PLAYS or not self._holds(rows):
            return False
        self.rows = rows
        return True

    def _fewer(self, by: Callable[[Row], Hashable], whole: bool) -> None:
        """Leaves out parts by halves, quarters and so on. whole: a part holds what must stay, and may go as a
        whole only where it holds none of it.
        """
        names: dict[Hashable, None] = {}
        stay: dict[Hashable, None] = {}
        for row in self.rows:
            name = by(row)
            names[name] = None
            if row[0] in self.accused or row[0] in self.fixed:
                stay[name] = None
        left = [name for name in names if name not in stay]
        size = max(len(left) // 2, 1)
        while left and self.plays < MOST_PLAYS:
            gone = False
            for first in range(0, len(left), size):
                part = dict.fromkeys(left[first : first + size])
                if part and self._try([row for row in self.rows if by(row) not in part]):
                    left = [name for name in left if name not in part]
                    gone = True
                    break
            if gone:
                size = max(min(size, len(left) // 2), 1)
            elif size == 1:
                return
            else:
                size = max(size // 2, 1)

    def _time(self) -> None:
        """Cuts gaps between neighbouring moments, the longest first, and begins at nothing; order stays."""
        for cut in (1, 10, 100):
            moments = sorted({moment for _, event in self.rows for moment in _moments(event)})
            gaps = sorted(
                (
                    (after - before, before)
                    for before, after in zip([0, *moments], moments, strict=False)
                    if after - before > cut
                ),
                reverse=True,
            )
            shift: list[tuple[int, int]] = []
            for gap, before in gaps[:200]:
                if self.plays >= MOST_PLAYS:
                    return
                # Earlier cuts moved what lies behind them.
                begin = before - sum(by for at, by in shift if at < before)
                rows = [(place, _moved(event, begin, gap - cut)) for place, event in self.rows]
                if self._holds(rows):
                    self.rows = rows
                    shift.append((before, gap - cut))


def _moments(event: Event) -> list[int]:
    return [event.at, *(value for name in MOMENTS if isinstance(value := event.more.get(name), int))]


def _moved(event: Event, after: int, by: int) -> Event:
    def back(at: int) -> int:
        return at - by if at > after else at

    more: dict[str, Any] = {
        name: back(value) if name in MOMENTS and isinstance(value, int) else value
        for name, value in event.more.items()
    }
    return Event(back(event.at), event.what, more)


def small(events: Sequence[Event], make: Callable[[], Checker], finding: Finding) -> list[Event]:
    """The least history found in which this finding stands.
    make: a new checker with the bounds it was found by.
    """
    return Small(events, make, finding).run()


def members(events: Sequence[Event]) -> list[str]:
    """Who wrote, in the order in which they first did."""
    return list(dict.fromkeys(str(event.more.get("who")) for event in events))
