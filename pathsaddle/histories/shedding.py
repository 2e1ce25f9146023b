"""Shedding: who was let in and who was declined, over all members, by what identifies a txn to all."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from heapq import heappop, heappush

from pathsaddle.histories.logs import NEVER, SECOND, Checker, Event

TURN = 60 * SECOND  # identities that nothing was told of for one to two of these are forgotten
FEW = 8  # rows kept of one identity, each way


def identity(event: Event) -> tuple[Hashable, ...]:
    more = event.more
    return more["customer"], more["key"], more["scheme"], more["period"]


class Known:
    """What is known of one identity: (level, standing, event) let in and declined;
    until when it was told to wait.
    """

    __slots__ = ("declined", "draw", "let_in", "until", "waits")

    def __init__(self) -> None:
        self.let_in: list[tuple[float, float, Event]] = []
        self.declined: list[tuple[float, float, Event]] = []
        self.until = NEVER
        self.waits: Event | None = None
        self.draw: tuple[float, Event] | None = None


class Shedding(Checker):
    """Finds `inversion`, `identity-split`, `let-in-against-advice`, `back-early`, `advice-bunched`,
    `draw-differs`, `against-level`.

    value, pace (a second), lag (ticks): the stated difference of views: two members' levels differ at most by
    value + pace * (time between them + lag). No value: inversions are not judged. window: ticks within which
    two decisions are held against each other.
    returns: how many advised returns one second may hold; 0 = not judged.

    Why that is the bound: were every member's level that of the fleet some moment of the last `lag` ticks,
    and did the fleet's level move by no more than `pace`, two decisions could not lie further apart.
    Bound: identities of one to two TURNs, the decisions of one window.
    """

    name = "shedding"

    def __init__(
        self,
        skew: int = 0,
        value: float | None = None,
        pace: float = 0,
        lag: int = 0,
        window: int = SECOND,
        returns: int = 0,
        settles: int = 0,
        strict: bool = False,
        band: float = 0,
    ) -> None:
        super().__init__(skew)
        self.pace, self.window, self.returns = pace / SECOND, window, returns
        self.allowed = float("inf") if value is None else value + self.pace * (lag + 2 * skew)
        self.settles, self.strict, self.band = settles, strict, band
        self.upset: list[tuple[int, int]] = [(NEVER, settles)] if settles else []
        self.upset_members: dict[str, list[tuple[int, int]]] = {}
        # Greatest declined and least let in of the window,
        # each as it stands against the pace: monotone queues.
        self.outs: deque[tuple[int, float, Event]] = deque()
        self.ins: deque[tuple[int, float, Event]] = deque()
        self.levels: dict[str, float] = {}
        self.known: dict[Hashable, Known] = {}
        self.older: dict[Hashable, Known] = {}
        self.turn = 0
        self.due: list[tuple[int, int, Event]] = []
        self.order = 0
        self.back: deque[tuple[int, Event]] = deque()
        self.bunched = False
        self.on = {
            "shed.level": self._level,
            "shed.in": self._in,
            "shed.out": self._out,
            "shed.back": self._back,
            "fault": self._fault,
        }

    def _level(self, event: Event) -> None:
        self.levels[event.more["who"]] = event.more["level"]

    def _get(self, event: Event) -> Known:
        if event.at // TURN != self.turn:
            self.turn, self.older, self.known = event.at // TURN, self.known, {}
        name = identity(event)
        known = self.known.get(name)
        if known is None:
            known = self.known[name] = self.older.get(name) or Known()
        return known

    def _by(self, event: Event) -> float | None:
        level = event.more.get("level")
        return self.levels.get(event.more["who"]) if level is None else level

    def _fault(self, event: Event) -> None:
        end = event.at + event.more.get("long", 0)
        self.upset += [(event.at, event.at + self.settles), (end, end + self.settles)]
        for who in event.more.get("members", ()):
            self.upset_members.setdefault(who, []).append((event.at, end + self.settles))

    def _settled(self, event: Event) -> bool:
        return not any(since <= event.at < until for since, until in self.upset) and not any(
            since <= event.at < until for since, until in self.upset_members.get(event.more["who"], ())
        )

    def _decided(self, event: Event, known: Known, level: float | None, let: bool) -> None:
        """By its own level, and by the draw that its identity has everywhere."""
        standing = event.more["standing"]
        if self.strict and level is not None and let != (standing >= level):
            self.find(
                "against-level",
                f"{event.more['who']} {'let in' if let else 'declined'} {event.more['txn']} of "
                f"standing {standing:g} by level {level:g}",
                event,
            )
        if self.band:
            draw = standing % self.band
            if known.draw is None:
                known.draw = draw, event
            else:
                apart = abs(known.draw[0] - draw)
                if min(apart, self.band - apart) > 1e-6:
                    self.find(
                        "draw-differs",
                        f"{'/'.join(map(str, identity(event)))} draws {known.draw[0]:.3f} at "
                        f"{known.draw[1].more['who']} and {draw:.3f} at {event.more['who']}",
                        known.draw[1],
                        event,
                    )

    def _in(self, event: Event) -> None:
        at, more, known = event.at, event.more, self._get(event)
        self._returned(at)
        if more.get("forced"):
            return
        standing = more["standing"]
        if known.waits is not None and at < known.until - 2 * self.skew:
            self.find(
                "let-in-against-advice",
                f"{more['who']} let in {more['txn']}, which {known.waits.more['who']} had "
                f"told to wait {(known.until - at) / 10:g} ms more",
                known.waits,
                event,
            )
        level = self._by(event)
        self._decided(event, known, level, True)
        if level is not None:
            for by, stood, out in known.declined:
                if by <= level and stood >= standing:
                    self._split(event, out)
                    break
            if len(known.let_in) < FEW:
                known.let_in.append((level, standing, event))
        if self.upset and not self._settled(event):
            return
        outs, stands = self.outs, standing - self.pace * at
        while outs and outs[0][0] < at - self.window:
            outs.popleft()
        if outs and outs[0][1] - self.pace * at - self.allowed > standing:
            self._inversion(event, outs[0][2])
        while self.ins and self.ins[-1][1] >= stands:
            self.ins.pop()
        self.ins.append((at, stands, event))

    def _out(self, event: Event) -> None:
        at, more, known = event.at, event.more, self._get(event)
        self._returned(at)
        wait = more["wait"]
        if wait > 0:
            if at + wait > known.until:
                known.until, known.waits = at + wait, event
            if self.returns:
                self.order += 1
                heappush(self.due, (at + wait, self.order, event))
        if more.get("why", "level") != "level":
            return
        standing, level = more["standing"], self._by(event)
        self._decided(event, known, level, False)
        if level is not None:
            for by, stood, let in known.let_in:
                if level <= by and standing >= stood:
                    self._split(let, event)
                    break
            if len(known.declined) < FEW:
                known.declined.append((level, standing, event))
        if self.upset and not self._settled(event):
            return
        ins = self.ins
        while ins and ins[0][0] < at - self.window:
            ins.popleft()
        if ins and standing - self.pace * at - self.allowed > ins[0][1]:
            self._inversion(ins[0][2], event)
        stands = standing + self.pace * at
        while self.outs and self.outs[-1][1] <= stands:
            self.outs.pop()
        self.outs.append((at, stands, event))

    def _inversion(self, let: Event, out: Event) -> None:
        self.find(
            "inversion",
            f"{out.more['who']} declined {out.more['txn']} of standing {out.more['standing']:g}, "
            f"{let.more['who']} let in {let.more['txn']} of {let.more['standing']:g}, "
            f"{abs(let.at - out.at) / 10:g} ms apart",
            *sorted((let, out), key=lambda row: row.at),
        )

    def _split(self, let: Event, out: Event) -> None:
        self.find(
            "identity-split",
            f"{'/'.join(map(str, identity(let)))} was let in by {let.more['who']} "
            f"({let.more['txn']}) and declined by {out.more['who']} ({out.more['txn']}), whose level "
            f"was no higher",
            *sorted((let, out), key=lambda row: row.at),
        )

    def _back(self, event: Event) -> None:
        more = event.more
        until = more.get("until", NEVER)
        if more.get("obeys") and event.at < until - 2 * self.skew:
            self.find(
                "back-early",
                f"{more['txn']} is back {(until - event.at) / 10:g} ms before it was told to be",
                event,
            )

    def _returned(self, at: int) -> None:
        """Advised returns that fall due are counted; all of them up to now are known, since a wait is never
        less than nothing.
        """
        while self.due and self.due[0][0] < at - 2 * self.skew:
            when, _, event = heappop(self.due)
            self.back.append((when, event))
            while self.back[0][0] <= when - max(SECOND - 2 * self.skew, 1):
                self.back.popleft()
            if len(self.back) <= self.returns:
                self.bunched = False
            elif not self.bunched:
                self.bunched = True
                self.find(
                    "advice-bunched",
                    f"{len(self.back)} were told to be back within the second before "
                    f"{when / 10:g} ms; {self.returns} have room",
                    *(row[1] for row in self.back),
                )

    def done(self) -> None:
        super().done()
        self._returned(1 << 62)
