"""Whether a fleet's members kept the bounds of docs/membership.md: worked out from the events alone.

It knows no member's code. Who was there, cut off or standing still is taken from the ground's word; what each
believed from its own. The bounds, for n members and a beat:

- unknown: a death is believed by all that run and are connected within `known`; the same for who has left.
- believed: nobody believes dead who runs and is connected, but for as long after the last trouble.
- apart: that long after the last trouble every view is whole: who runs is alive to all, by its present life.
- accused: nobody who stood still accuses others within a beat of going on.
- heard: nobody claims to have heard a member's life after it ended, nor from before it began but for the time that
  a question may have been open (ten beats, a second of way): it was there at some moment after the one named.
- traffic: in no second does a member send more than it may.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import log2, log10

from pathsaddle.config.schema import FleetTable
from pathsaddle.event_log import Event

FAR = 1 << 60
SECOND = 10_000
LINKS = ("link-cut", "link-lossy", "link-slow", "link-doubles", "link-shuffles", "stall", "clock-rate")
DRIFT = 0.03  # what ages that were told may be off by, clocks' and the telling's
RULES = ("unknown", "believed", "apart", "accused", "heard", "traffic")


def bound(n: int, beat: int) -> int:
    """Ticks from the end of trouble until all views are whole: the longest suspicion, how long news spreads, and
    how long a member that was unwell takes until it is well (45 beats: nine of one, eight, seven ...).
    """
    return int(beat * (24 * max(1.0, log10(max(2, n))) + 4 * log2(max(2, n)) + 60))


@dataclass
class Figures:
    """What came out, times in ms."""

    deaths: int = 0
    unaware: int = 0  # of them, how many some did not know of until it was back
    first: list[float] = field(default_factory=list)  # from each death until one member believes it
    known: list[float] = field(default_factory=list)  # until all do
    false: int = 0  # accusations of who ran and was connected, one a member and accusation
    wrong: int = 0  # beliefs in the death of one who ran, one a member
    rate: float = 0.0  # bytes a second and member, over the run
    most_bytes: int = 0  # in any second, of any member
    most_datagrams: int = 0
    views: int = 0


class FleetJudge:
    def __init__(self, told: FleetTable, n: int, slack: int) -> None:
        self.told, self.n, self.slack = told, n, slack
        self.beat = int(told.beat)
        self.bound = bound(n, self.beat) + slack
        self.runs: dict[str, list[list[int]]] = {}  # by name: [from, to] of its runs
        self.lives: dict[str, list[tuple[int, int]]] = {}  # (from, life)
        self.views: dict[tuple[str, str], list[tuple[int, int, str]]] = {}
        self.stalls: dict[str, list[list[int]]] = {}
        self.trouble: list[list[int]] = []
        self.open_trouble: list[int] = []
        self.samples: list[tuple[int, str, list[tuple[str, int, int]], int]] = []
        self.ends: list[tuple[int, str, bool]] = []  # (when, who, told)
        self.found: list[tuple[str, int, str]] = []
        self.figures = Figures()
        self.end = 0
        self.asked_to_end: dict[str, None] = {}
        self.silent: dict[str, int] = {}
        self.bytes = 0

    def read(self, events: Iterable[Event]) -> None:
        for event in sorted(events, key=lambda one: one.at):
            self.end = max(self.end, event.at)
            at, more = event.at, event.more
            name = f"d{more['dispatcher']}" if "dispatcher" in more else ""
            if event.what == "started":
                self.runs.setdefault(name, []).append([at, FAR])
            elif event.what in ("killed", "ended_itself") and self.runs.get(name):
                if self.runs[name][-1][1] == FAR:
                    self.runs[name][-1][1] = at
                    self.ends.append((at, name, event.what == "ended_itself"))
            elif event.what == "stalled":
                self.stalls.setdefault(name, []).append([at, FAR])
            elif event.what == "goes_on" and self.stalls.get(name):
                self.stalls[name][-1][1] = at
            elif event.what == "fault" and more["kind"] in LINKS:
                self.open_trouble.append(at)
            elif event.what == "fault_over" and more["kind"] in LINKS and self.open_trouble:
                # Troubles that overlap are one: which of them ended does not matter.
                self.trouble.append([self.open_trouble.pop(0), at])
            elif event.what == "view":
                self._view(at, more["who"], more["about"], more["life"], more["state"], more["why"])
            elif event.what == "heard":
                self.samples.append((at, more["who"], more["of"], more.get("took", 0)))
            elif event.what == "traffic":
                self._traffic(at, more["who"], more["bytes"], more["most_bytes"], more["most_datagrams"])
            elif event.what == "end":
                self.end = at

    def _view(self, at: int, who: str, about: str, life: int, state: str, why: str) -> None:
        if who == about:
            if state == "left" and "name too" in why:
                self.silent[who] = at
            elif state == "alive" and (not self.lives.get(who) or self.lives[who][-1][1] != life):
                self.lives.setdefault(who, []).append((at, life))
            return
        self.views.setdefault((who, about), []).append((at, life, state))
        self.figures.views += 1
        if state == "suspect" and "says" not in why and self._runs(about, at) and not self._stands(about, at):
            self.figures.false += 1
            for begun, over in self.stalls.get(who, ()):
                if over <= at <= over + self.beat and not self._troubled(
                    over - self.beat, at, but=(begun, over)
                ):
                    self._finds(
                        "accused", at, f"{who} stood still and accuses {about}, which was there: {why}"
                    )

    def _traffic(self, at: int, who: str, size: int, most: int, datagrams: int) -> None:
        self.bytes += size
        self.figures.most_bytes = max(self.figures.most_bytes, most)
        self.figures.most_datagrams = max(self.figures.most_datagrams, datagrams)
        if most > self.told.bytes or datagrams > self.told.datagrams:
            self._finds(
                "traffic",
                at,
                f"{who} sent {most} bytes, {datagrams} datagrams in one second; "
                f"{self.told.bytes} and {self.told.datagrams} are its bounds",
            )

    def _finds(self, rule: str, at: int, text: str) -> None:
        self.found.append((rule, at, text))

    def _runs(self, name: str, at: int) -> bool:
        return any(begun <= at < over for begun, over in self.runs.get(name, ()))

    def _stands(self, name: str, at: int) -> bool:
        return any(begun <= at < over + self.beat for begun, over in self.stalls.get(name, ()))

    def _troubled(self, begun: int, over: int, but: tuple[int, int] | None = None) -> bool:
        return any(t[0] < over and t[1] > begun and (but is None or tuple(t) != but) for t in self.trouble)

    def _life(self, name: str, at: int) -> int | None:
        told = self.lives.get(name, [])
        place = bisect_right(told, at, key=lambda row: row[0])
        return told[place - 1][1] if place else None

    def verdict(self) -> Figures:
        self.trouble += [[begun, FAR] for begun in self.open_trouble]
        self._beliefs()
        self._deaths()
        self._whole()
        self._heard()
        members = max(1, len(self.runs))
        self.figures.rate = self.bytes / members / max(0.001, self.end / SECOND)
        return self.figures

    def _beliefs(self) -> None:
        """Who runs and is connected is believed dead by nobody, but for `bound` after trouble or its own start."""
        for (who, about), rows in self.views.items():
            for i, (at, _, state) in enumerate(rows):
                if state not in ("dead", "left"):
                    continue
                until = rows[i + 1][0] if i + 1 < len(rows) else self.end
                for begun, over in self.runs.get(about, ()):
                    for began, ended in self.runs.get(who, ()):
                        first, last = (
                            max(at, begun, began),
                            min(until, over, ended, self.silent.get(about, FAR)),
                        )
                        if first >= last:
                            continue
                        self.figures.wrong += at >= begun
                        for t in [*self.trouble, [begun, begun], [began, began]]:
                            if t[0] - self.beat <= first <= t[1] + self.bound:
                                first = max(first, t[1] + self.bound if t[1] < FAR else FAR)
                        if first < last:
                            self._finds(
                                "believed",
                                first,
                                f"{who} believes {about} {state} since {at / SECOND:.1f} s and it runs",
                            )

    def _deaths(self) -> None:
        for at, name, told in self.ends:
            again = next((begun for begun, _ in self.runs[name] if begun > at), FAR)
            until = min(at + self.bound, again, self.end)  # it may be back before all have to know
            life = self._life(name, at)
            times, unaware = [], 0
            for who, runs in self.runs.items():
                if who == name or not any(
                    b <= max(SECOND, at - self.bound // 2) and e >= until for b, e in runs
                ):
                    continue
                rows = self.views.get((who, name), [])
                when = next(
                    (t for t, its, state in rows if its == life and state in ("dead", "left") and t >= at),
                    None,
                )
                if when is None and rows and rows[-1][2] in ("dead", "left") and rows[-1][0] <= at:
                    continue
                if when is not None and when <= until:
                    times.append((when - at) / 10)
                    continue
                unaware += 1
                if until == at + self.bound < self.end and not self._troubled(at - self.bound, until):
                    self._finds("unknown", until, f"{who} does not know that {name} is gone")
            if not told:
                self.figures.deaths += 1
                self.figures.unaware += unaware > 0
                self.figures.first += [min(times)] if times else []
                self.figures.known += [max(times)] if not unaware and times else []

    def _whole(self) -> None:
        last = max(
            [t[1] for t in self.trouble if t[1] < FAR]
            + [b for runs in self.runs.values() for b, _ in runs]
            + [at for at, _, _ in self.ends],
            default=0,
        )
        if any(t[1] == FAR for t in self.trouble) or last + self.bound > self.end:
            return
        there = [name for name in self.runs if self._runs(name, self.end - 1) and name not in self.silent]
        for who in there:
            for about in there:
                if who == about:
                    continue
                rows = self.views.get((who, about))
                life = self._life(about, self.end)
                if not rows or rows[-1][2] not in ("alive", "suspect") or rows[-1][1] != life:
                    self._finds(
                        "apart",
                        self.end,
                        f"{who} sees {about} as {rows[-1][1:] if rows else 'nobody'}, and it runs as {life}",
                    )

    def _heard(self) -> None:
        for at, who, told, took in self.samples:
            for name, life, ago in told:
                born = [begun for begun, its in self.lives.get(name, ()) if its == life]
                if not born:
                    self._finds("heard", at, f"{who} heard a life of {name} that never was: {life}")
                    continue
                first = at - ago * (1 + DRIFT) - self.slack - 20
                later = at + took - ago * (1 - DRIFT) + self.slack + 20
                over = next((end for _, end in self.runs.get(name, ()) if born[0] < end), FAR)
                if later + SECOND + 10 * self.beat < born[0] or first > over:
                    self._finds(
                        "heard",
                        at,
                        f"{who} claims to have heard {name}/{life} {ago / SECOND:.2f} s ago, and "
                        f"that life was there from {born[0] / SECOND:.2f} to {over / SECOND:.2f} s",
                    )


def judge_fleet(told: FleetTable, n: int, events: Iterable[Event], slack: int) -> FleetJudge:
    judge = FleetJudge(told, n, slack)
    judge.read(events)
    judge.verdict()
    return judge
