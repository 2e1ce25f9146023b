"""Rates that all members together must not exceed, as one member asks for them: just before each use,
`try_acquire`.

Bound: in any second the units taken by all members together are no more than the budget, whatever is lost,
doubled or late, whoever stops, restarts or is cut off, as long as no clock runs off by more than DRIFT and
the parts add up to the budget.

Why. A unit is one use a second. At each instant it is usable at one member at most (`shares.py`), and there
it is used once in any WINDOW, a second by a clock taken to be fast: so much is counted back from each use,
and what stands there is what is usable at that instant less it. Where a unit changes its place it was not
used for a WINDOW: an owner lends only what it did not use within the last one; a lease's end is followed by a
WINDOW (`guard`) before its owner has it again; a new life uses nothing for its first one. So no border of
seconds lets a burst through: a second may begin anywhere.

A process that stands still between `try_acquire` and the use itself moves that one use: n members that stood still
may bring n uses, one each, into a second that is not theirs. Nothing that asks beforehand can prevent that;
`try_acquire` asked after the stall is refused what has ended in it.

Changed in service (`retune`) the bound is the greatest rate by which any member goes, and for one that was lowered or taken
out the old rate until the last loan made under it is surely over: no more than a lease and two WINDOWs after the last
member has heard. Raised or new it is used at once: who raises it has said that all may. Why. Equal parts of a lower rate
are each no greater, and what a lower part has lent beyond itself is what the old one had; so at each instant owners' parts
and loans are no more than the old parts. A loan that the new part doesn't cover is not renewed. A budget taken out leaves
its loans to run out; put in again it begins as in a new life (`new_ledger`), with numbers beyond the old ones.

Floor: who hears nothing has its part less what it lent, all of it a lease later. No I/O;
all chance comes from one Random.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from pathsaddle.fleet.quota.leases import (
    MAX_CLOCK_DRIFT,
    Grant,
    QuotaLedger,
    QuotaRequest,
    Release,
    new_ledger,
)
from pathsaddle.fleet.rate_limiter import SECOND

WINDOW = int(SECOND * (1 + MAX_CLOCK_DRIFT)) + 1
PAUSE = SECOND // 10  # between askings for one budget at least; twice as long after each that brought nothing
LONGEST = 16 * PAUSE
ASKED = 3  # others at a time
QUIET = SECOND  # so long back the own need is looked at before anything is lent
AHEAD = 0.4  # of a lease: so long before a loan ends it is asked to go on, if it is still wanted
LIVES = 4096


@dataclass(frozen=True)
class QuotaConfig:
    """What the charter says of one budget: its rate in units a second, our part of it, its lease in ticks."""

    rate: int
    part: int
    lease: int


@dataclass(frozen=True)
class Note:
    """For the log: what is `short`, `alone` or `back`."""

    what: str
    budget: str
    usable: int
    why: str


@dataclass(slots=True)
class QuotaBudget:
    name: str
    dealt: QuotaConfig
    state: QuotaLedger
    spent: deque[tuple[int, int]] = field(default_factory=deque)  # (when, units) of the last WINDOW
    sum: int = 0
    wants: deque[tuple[int, int]] = field(default_factory=deque)  # (when, units) of those refused
    need: int = 0  # the most that was wanted in a WINDOW of late
    need_at: int = 0
    ask_due: int = 0
    pause: int = PAUSE
    answered: dict[str, tuple[int, int]] = field(default_factory=dict)  # taker -> (its life, its last number)
    refused: int = 0
    taken: int = 0
    short_at: int = -(1 << 60)
    alone: bool = False


class QuotaLimiter:
    """Several budgets. `out`: (member, budget, what), to be sent; `notes`: to be logged."""

    def __init__(
        self,
        name: str,
        life: int,
        dealt: dict[str, QuotaConfig],
        chance: Random,
        now: int,
        window: int = WINDOW,
    ) -> None:
        self.name, self.life, self.chance, self.started_at, self.window = name, life, chance, now, window
        self.closed = self.leaving = False
        # called when there is something to send before the next `wake`
        self.stir: Callable[[], None] = lambda: None
        self.due = now  # when it wants to be woken
        self.budgets = {
            budget: QuotaBudget(budget, told, new_ledger(name, life, told.part, told.lease, now, window))
            for budget, told in dealt.items()
        }
        self.numbered = 0  # the highest number of an asking for a budget that was taken out
        self.out: list[tuple[str, str, QuotaRequest | Grant | Release]] = []
        self.notes: list[Note] = []
        # what others last told to have left
        self.spares: dict[str, dict[str, int]] = {budget: {} for budget in dealt}
        self.there: list[str] = []  # who may be asked
        self.heard_at = now

    # Using.

    def try_acquire(self, budget: str, units: int, now: int) -> bool:
        """Whether so many uses may be made now; asked just before them, it counts them as made.
        KeyError: no such budget.
        """
        one = self.budgets[budget]
        if units <= self.free(budget, now):
            one.spent.append((now, units))
            one.sum += units
            one.taken += units
            self._wish(one, 0, now)
            return True
        one.refused += units
        self._wish(one, units, now)
        if now >= one.ask_due:
            self._ask(one, now)
            if self.out:
                self.stir()
        if now - one.short_at >= 10 * SECOND:
            one.short_at = now
            self.notes.append(Note("short", budget, one.state.usable(now), f"{one.need} wanted in a second"))
        return False

    def free(self, budget: str, now: int) -> int:
        """How many `try_acquire` would grant now."""
        one = self.budgets[budget]
        self._clear(one, now)
        if (
            self.closed or now < self.started_at + self.window
        ):  # what an earlier life used just before it ended
            return 0
        return max(0, one.state.usable(now) - one.sum)

    def close(self) -> None:
        """Our name is another process's too: nothing is used, asked for or lent any more."""
        self.closed = self.leaving = True
        self.there = []

    def retune(self, dealt: dict[str, QuotaConfig], now: int) -> None:
        """These budgets from now on, with these rates and parts; see the module's head for the bound meanwhile."""
        for name in [name for name in self.budgets if name not in dealt]:
            gone = self.budgets.pop(name)
            self._returns_all(gone, now)
            self.numbered = max(self.numbered, gone.state.asked)
            del self.spares[name]
        for name, told in dealt.items():
            one = self.budgets.get(name)
            if one is None:
                state = new_ledger(self.name, self.life, told.part, told.lease, now, self.window)
                self.budgets[name] = QuotaBudget(name, told, replace(state, asked=self.numbered))
                self.spares[name] = {}
            elif one.dealt != told:
                one.dealt, one.state = told, replace(one.state, part=told.part)
                one.need = min(one.need, told.rate)
        self.due = now

    def _returns_all(self, one: QuotaBudget, now: int) -> None:
        for owner, _, number, _ in one.state.held:
            one.state, back = one.state.returns(number, now)
            self.out.append((owner, one.name, back))

    def leave(self, now: int) -> None:
        """We end: what we hold goes back at once, and its owner lets it rest;
        our own part is used to the end.
        """
        self.leaving, self.there = True, []
        for one in self.budgets.values():
            self._returns_all(one, now)

    def _clear(self, one: QuotaBudget, now: int) -> None:
        while one.spent and one.spent[0][0] <= now - self.window:
            one.sum -= one.spent.popleft()[1]
        while one.wants and one.wants[0][0] <= now - self.window:
            one.wants.popleft()

    def _wish(self, one: QuotaBudget, units: int, now: int) -> None:
        """The most wanted at a time, of the last QUIET or two."""
        if units:
            one.wants.append((now, units))
            if len(one.wants) > 512:  # of a storm as many say enough
                one.wants.popleft()
        need = one.sum + min(sum(units for _, units in one.wants), one.dealt.rate)
        if need >= one.need or now - one.need_at > QUIET:
            one.need, one.need_at = min(need, one.dealt.rate), now

    def _needed(self, one: QuotaBudget, now: int) -> int:
        """Wanted of late; nothing where nobody asked for QUIET."""
        return one.need if now - one.need_at <= 2 * QUIET else one.sum

    # Lending and borrowing.

    def wake(self, now: int) -> int:
        """Asks others where it runs short; when it wants to be called again."""
        self.due = now + SECOND
        for one in self.budgets.values():
            self._clear(one, now)
            one.state = one.state.at(now)
            self._fallback(one, now)
            self._give_back(one, now)
            if now >= one.ask_due:
                self._ask(one, now)
            elif self._lack(one, now) > 0:
                self.due = min(self.due, one.ask_due)
        return self.due

    def _lack(self, one: QuotaBudget, now: int) -> int:
        return self._needed(one, now) - one.state.usable(now)

    def _give_back(self, one: QuotaBudget, now: int) -> None:
        """What is not wanted any more goes back before its time; what is and ends soon is asked to go on."""
        soon = now + int(AHEAD * one.dealt.lease)
        left = one.state.usable(now) - max(one.sum, self._needed(one, now))
        for owner, _, number, loan in one.state.held:
            if loan.units <= left:
                left -= loan.units
                one.state, back = one.state.returns(number, now)
                self.out.append((owner, one.name, back))
            elif loan.until <= soon and not any(row[2] == number for row in one.state.open):
                one.state, want = one.state.want(loan.units, now, number)
                self.out.append((owner, one.name, want))

    def _ask(self, one: QuotaBudget, now: int) -> None:
        """Those who told to have the most left, then whom chance names: what was told may be long past."""
        lack = self._lack(one, now)
        if lack <= 0:
            one.pause = PAUSE
            return
        one.ask_due = now + int(one.pause * (0.5 + self.chance.random()))
        one.pause = min(LONGEST, 2 * one.pause)
        self.due = min(self.due, one.ask_due)
        told = self.spares[one.name]
        there = [name for name in self.there if name != self.name]
        if not there:
            return
        rich = sorted((name for name in there if told.get(name, 0) > 0), key=lambda name: -told[name])[
            : 3 * ASKED
        ]
        whom = self.chance.sample(rich, min(ASKED - 1, len(rich)))
        others = [name for name in there if name not in whom]
        whom += self.chance.sample(others, min(ASKED - len(whom), len(others)))
        for name in whom:
            units = max(1, -(-lack // max(1, min(len(rich), ASKED - 1)))) if name in rich else lack
            one.state, want = one.state.want(min(lack, units), now)
            self.out.append((name, one.name, want))

    def asked(self, budget: str, want: QuotaRequest, now: int) -> None:
        """Another asks. What we did not use in the last window and have not wanted of late may go."""
        one = self.budgets.get(budget)
        if one is None or self.leaving or want.units <= 0 or now < self.started_at + self.window:
            return
        life, number = one.answered.get(want.name, (0, 0))
        if (want.life, want.number) <= (life, number):  # twice, or late
            return
        self._clear(one, now)
        state = one.state.at(now)
        spare = state.usable(now) - max(one.sum, self._needed(one, now))
        # What a lowered part doesn't cover any more is lacking, whatever else we hold.
        spare = min(spare, state.own(now))
        one.state, lend = state.asked_by(want, spare, now)
        if lend is not None:
            if len(one.answered) >= LIVES:
                del one.answered[next(iter(one.answered))]
            one.answered[want.name] = want.life, want.number
            self.out.append((want.name, budget, lend))

    def lent(self, budget: str, lend: Grant, now: int) -> None:
        """An answer to our asking."""
        one = self.budgets.get(budget)
        if one is None or not 0 < lend.units <= one.dealt.rate:
            return
        before = one.state.usable(now)
        one.state = one.state.lent_by(lend, now)
        if one.state.usable(now) > before:
            one.pause, one.ask_due = PAUSE, min(one.ask_due, now + PAUSE)

    def returned(self, budget: str, back: Release, now: int) -> None:
        one = self.budgets.get(budget)
        if one is not None:
            one.state = one.state.returned(back, now)

    def spare(self, budget: str, now: int) -> int:
        """What it would lend now: told to the others, who may find it gone."""
        one = self.budgets[budget]
        self._clear(one, now)
        state = one.state.at(now)
        if now < self.started_at + state._surely():
            return 0
        free = state.lendable - sum(loan.units for loan in state.lent)
        return max(0, min(free, state.own(now), state.usable(now) - max(one.sum, self._needed(one, now))))

    def on_new_incarnation(self, life: int) -> None:
        """We have another life: askings of the old one are answered to nobody;
        what is lent and held stays as it is.
        """
        self.life = life
        for one in self.budgets.values():
            one.state = replace(one.state, life=life, open=())

    def _fallback(self, one: QuotaBudget, now: int) -> None:
        """Nobody was heard for a lease while there are others: we go by our own part."""
        alone = bool(self.there) and now - self.heard_at > one.dealt.lease
        if alone != one.alone:
            one.alone = alone
            self.notes.append(
                Note(
                    "alone" if alone else "back",
                    one.name,
                    one.state.usable(now),
                    f"nobody heard for {(now - self.heard_at) // 10} ms" if alone else "others are heard",
                )
            )
