"""One member's gate: whether a txn is let in, whether a posting may go out, what it tells the others.

Free of I/O: it is fed moments, what this member saw and the others' records; `word` says what to tell. Where
nothing is heard it goes by its own part of what can be served and by what its own postings meet, and every
bound of the package holds all the same (docs/overload.md).

Out of it again. Nothing waits for a fixed time: the level falls as the sums do, and past the sums a trim
rises while slots are seen idle and falls while lines are seen. What a trigger leaves behind (returns, held
txns, repeats) is offered work like any other: it stands in its bands, its repeats in a budget,
and so can't keep up what it feeds on.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

from pathsaddle.fleet.overload import retry_budgets
from pathsaddle.fleet.overload.errors import InvalidSummaryError
from pathsaddle.fleet.overload.load_summary import (
    PUBLISH_INTERVAL,
    LoadSummary,
    decode_summary,
    encode_summary,
    rounded_figure,
)
from pathsaddle.fleet.overload.retry_advice import RetryAdvice
from pathsaddle.fleet.overload.retry_budgets import Budgets, Limiter
from pathsaddle.fleet.overload.shed_level import STALE, LoadTotals, ShedLevel, middle
from pathsaddle.fleet.overload.shed_rank import RANK_BANDS, AdmissionRequest, rank_band, rank_hash
from pathsaddle.trade import SECOND

# name, life, version, body, age at the least, at most
Row = tuple[str, int, int, bytes, tuple[int, int | None]]
REMEMBERS = SECOND  # over what time offered work is averaged, by band
STEADY = 4 * SECOND  # and all of it, against bursts
WAKES = SECOND // 10
# between which a trim stays; the mechanism may know workers to be smaller than they are
LEAST, MOST = 0.5, 1.5
LINE, IDLE = 0.25, 0.06  # waiting jobs a slot that are a line; free slots that are idle
# of a trim, a wake: as the line or the idle slots are long; four times that wound down to a half while a
# line of three seconds was worked off, and a fifth of all slots stood idle for ten
STEP = 0.01
HEARD = 0.9  # of all parts: less is a fleet cut in two, or half of it dead, which nobody can tell apart
MORE = 1.25  # over its share by less than that is what chance brings in a second
KNOWN = 2048  # declined txns that are remembered


@dataclass(frozen=True)
class GateOptions:
    """What the charter says, alike at every member.

    secret: keys the draw. unit: value for a slot-tick in the middle of the scale. allowances: slots that each
    customer may keep busy over the fleet. returns: advised returns in any second, over all members. longest,
    soonest: of an advice, ticks.
    """

    secret: bytes
    members: int
    unit: float
    allowances: dict[str, float]
    returns: float
    soonest: int
    longest: int


@dataclass(slots=True)
class AdmissionVerdict:
    let: bool
    stands: float  # the txn's standing
    level: float
    over: bool = False  # beyond its customer's share
    come_back: int = 0  # ticks; 0: no advice
    why: str = ""
    period: int = 0  # of its draw


class Fading:
    """A rate, of what is added, averaged over some time with the latest first."""

    __slots__ = ("at", "over", "sum")

    def __init__(self, now: int, over: int = REMEMBERS) -> None:
        self.sum, self.at, self.over = 0.0, now, over

    def add(self, amount: float, now: int) -> None:
        self.sum = self.sum * exp((self.at - now) / self.over) + amount
        self.at = now

    def rate(self, now: int) -> float:
        return self.sum * exp((self.at - now) / self.over) / self.over


class OverloadGate:
    """name: its own, as the records' rows name it. number: its place among the members by the charter,
    from 0.
    """

    def __init__(self, ways: GateOptions, name: str, number: int, limiter: Limiter, now: int) -> None:
        self.ways, self.name, self.now = ways, name, now
        self.part = 1.0 / ways.members
        self.budgets = Budgets(limiter)
        self.returns = RetryAdvice(ways.returns, self.part, number / ways.members, ways.longest)
        self.level = ShedLevel(now)
        self.offered = [Fading(now) for _ in range(RANK_BANDS)]
        self.steady = Fading(now, STEADY)
        self.customers: dict[str, Fading] = {}
        self.shorts_of = {who: rounded_figure(who) for who in ways.allowances}
        self.could = 0.0
        self.trim = 1.0
        # of the slots seen lately: free, and jobs waiting for each of our part
        self.idle, self.line = 0.0, 0.0
        self.turned = 0.0  # of the last postings, how many were turned away
        # (life, version, word, told at, the latest by our clock)
        self.heard: dict[str, tuple[int, int, LoadSummary, int]] = {}
        self.sums = LoadTotals([self.own(now)], self.part)
        self.overs: dict[str, float] = {}  # by customer: what part is beyond its share
        self.known: dict[tuple[str, str, str], int] = {}  # declined with advice: not before
        # Two hundred records each tenth of a second would be a fortieth of a core;
        # three times in a second is enough.
        self.every = max(WAKES, WAKES * ways.members // 64)

    # What this member saw.

    def sees(self, could: float, idle: float, line: float) -> None:
        """Of the workers as this member knows them now. could: slots that can be kept busy, pace included;
        idle: what part is free; line: jobs that wait, there and with us, for each slot of our part.
        """
        self.could, self.idle, self.line = could, idle, line

    def came_of(self, turned_away: bool) -> None:
        self.turned += 0.05 * (turned_away - self.turned)

    # What others told.

    def hears(self, rows: Iterable[Row], now: int) -> None:
        """The others' records as the fleet's layer has them. A record counts for STALE from when it was
        written at the earliest, or from when it came where nobody answers for that: who is not heard has its
        part, and nothing said of it is taken for word. An age too low makes a level older,
        and breaks no bound.
        """
        for name, life, version, body, (youngest, oldest) in rows:
            held = self.heard.get(name)
            if name == self.name or (held is not None and (life, version) <= held[:2]):
                continue
            try:
                self.heard[name] = (
                    life,
                    version,
                    decode_summary(body),
                    now - (youngest if oldest is None else oldest),
                )
            except InvalidSummaryError:
                continue

    def hears_read(self, name: str, life: int, version: int, word: LoadSummary, told: int) -> None:
        """The same, of one record that is read."""
        held = self.heard.get(name)
        if held is None or (life, version) > held[:2]:
            self.heard[name] = (life, version, word, told)

    # What it tells.

    def own(self, now: int) -> LoadSummary:
        rates = {who: rate for who, fading in self.customers.items() if (rate := fading.rate(now)) > 0.0}
        if len(rates) > PUBLISH_INTERVAL:
            rates = {
                who: rates[who]
                for who in sorted(rates, key=lambda who: (-rates[who], who))[:PUBLISH_INTERVAL]
            }
        return LoadSummary(
            self.could,
            self.trim,
            self.idle,
            self.line,
            self.steady.rate(now),
            [fading.rate(now) for fading in self.offered],
            {rounded_figure(who): rate for who, rate in rates.items()},
        )

    def word(self, now: int) -> bytes:
        return encode_summary(self.own(now))

    def wake(self, now: int) -> int:
        """Works out the level anew; when it wants to be called again."""
        self.now = now
        words = [self.own(now)]
        words += [word for _, _, word, told in self.heard.values() if now - told < STALE]
        self.sums = sums = LoadTotals(words, self.part)
        self.learns(sums)
        self.level.moves(sums.target(), sums.heard, now)
        self.shares(sums)
        self.returns.passes(now)
        return now + self.every

    def shares(self, sums: LoadTotals) -> None:
        """What part of each customer's txns is beyond its share. Where the middle customer is over its own,
        all shares grow by as much: a surge of everybody's is for the level to judge by value, and a flood of
        one does not move the middle. Heard in part, a customer has that part of its share,
        and more as trims tell of room.
        """
        ratios = {}
        for who, allowance in self.ways.allowances.items():
            rate = sums.customers.get(self.shorts_of[who], 0.0)
            ratios[who] = rate / (allowance * min(1.0, sums.heard * max(1.0, sums.trim)))
        scale = max(1.0, middle(ratios.values()))
        most = MORE * scale
        self.overs = {who: 1.0 - most / ratio for who, ratio in ratios.items() if ratio > most}

    def learns(self, sums: LoadTotals) -> None:
        """The trim: what its own postings meet, against what the sums said. It moves by steps, and up only
        while it is what binds: a trim that grew in quiet times would let all in when trouble comes.
        """
        if sums.line > LINE or self.turned > 0.2:
            self.trim *= 1.0 - STEP * min(3.0, max(1.0, sums.line / LINE))
        elif sums.idle > IDLE and sums.line < LINE / 2 and (self.level.stands > 0.0 or sums.heard < HEARD):
            # Cut off, idle slots are others' part that they do not want: learnt before it is missed.
            self.trim *= 1.0 + STEP * min(5.0, sums.idle / IDLE)
        elif self.level.stands == 0.0:
            self.trim += 0.05 * (1.0 - self.trim)
        # Ours follows the others': alone in its opinion it would only be clipped.
        if sums.heard > HEARD:
            self.trim += 0.05 * (sums.trim - self.trim)
        self.trim = min(MOST / sums.heard, max(LEAST, self.trim))

    # The question, and its answer.

    def lets_in(self, ask: AdmissionRequest, now: int) -> AdmissionVerdict:
        """Asked once for each try, before its first posting. Who stood still goes by what it knows now, not
        by what it worked out before: words have aged meanwhile.
        """
        if now - self.now > 5 * self.every:
            self.wake(now)
        place, period = rank_hash(self.ways.secret, ask, now)
        over = False
        if ask.customer in self.overs:
            over = rank_hash(self.ways.secret, ask, now, b"over")[0] < self.overs[ask.customer]
        in_band = rank_band(ask, self.ways.unit, over)
        stands, level = in_band + place, self.level.stands
        # Offered is what comes for the first time, or when it was told to: not what comes again at once.
        mark = (ask.customer, ask.key, ask.scheme)
        early = now < self.known.get(mark, 0)
        if not early:
            self.offered[in_band].add(ask.work, now)
            self.steady.add(ask.work, now)
            if ask.customer in self.ways.allowances:
                self.customers.setdefault(ask.customer, Fading(now)).add(ask.work, now)
        # While the fleet sheds, what can't be in time goes first, also where late answers earn something: at
        # 2x it took the room of what could be (0.81 of the value for 0.84, one that sees all, emulated). Else
        # the mechanism decides. Who comes before its time while a level stands waits out what it was told:
        # advice that need not be kept bunches.
        if (
            stands >= level
            and ((level == 0.0 and ask.late > 0.0) or ask.left >= ask.run)
            and not (early and level > 0.0)
        ):
            self.known.pop(mark, None)
            return AdmissionVerdict(True, stands, level, over, period=period)
        why = "level" if stands < level else "early" if early else "late"
        if early:
            return AdmissionVerdict(False, stands, level, over, self.known[mark] - now, why, period)
        wait = self.advises(ask, now)
        return AdmissionVerdict(False, stands, level, over, wait, why, period)

    def advises(self, ask: AdmissionRequest, now: int) -> int:
        """What the client of a txn that is declined now, whyever, is told: ticks to wait, 0: nothing."""
        free = self.sums.free() / max(1e-9, self.sums.could)
        wait = self.returns.advise(rank_hash(self.ways.secret, ask, now)[0], free, self.ways.soonest, now)
        if wait:
            self.known[ask.customer, ask.key, ask.scheme] = now + wait
            if len(self.known) > KNOWN:
                del self.known[next(iter(self.known))]
        return wait

    def goes_out(self, kind: str, worker: str | None, now: int) -> bool:
        """Whether a posting beyond the first, a trial, a look, a list call, a new connection may go."""
        return self.budgets.try_acquire(kind, worker, now)


def kind_of(again: bool, suspect: bool) -> str:
    """Which budget a posting asks: a first posting at a worker in good standing asks none."""
    return retry_budgets.TRIAL if suspect else retry_budgets.REPEAT if again else ""
