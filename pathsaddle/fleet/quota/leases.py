"""A rate that all members together must not exceed, dealt out in shares,
and what is not wanted lent for a time.

Bound: at no instant do usable shares add up to more than the budget, whatever is lost, doubled or late,
whoever stops, restarts or is cut off, for any number of members,
as long as no clock runs off by more than DRIFT.

Why. Each unit belongs to one member, by the charter's parts, which add up to the budget or less. Its owner
uses it or lends it. Lent, it counts as spent at the owner until a lease has surely ended: from after the
promise, by a clock taken to be fast. At the taker it is usable from its arrival until the lease may have
ended: from before the asking, by a clock taken to be slow. So no unit is usable at two places at once, and
nothing has to arrive for that. A new life of an owner does not know what the old one lent: what may be lent
at all (half, a single unit whole) is out of its use until any such lease has ended.

A loan is renewed while it runs: the same units stay out at the owner, and stand at the taker once, the new in
place of the old. Returned, they are out of the taker's use before it says so, and of the owner's until what
was done with them has rested. An asking is answered once and taken once: what comes twice or late finds its
number used, its lease over or its life ended.

Floor: who hears nothing has its own part less what it lent, all of it again one lease later. Idle at most:
what is lent to one that stopped, for one lease. No I/O; times are ticks of a clock handed in,
that goes on while a process stands.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

MAX_CLOCK_DRIFT = 0.02  # by how much a clock may run faster or slower than it should


@dataclass(frozen=True)
class QuotaRequest:
    """Asks for so many units. number: grows with each asking of a life; an answer names it. renews: the
    number of a loan that is to go on; 0: none.
    """

    name: str
    life: int
    number: int
    units: int
    renews: int = 0


@dataclass(frozen=True)
class Grant:
    """Units of `owner` for the asking that `number` names, for `lease` ticks from then."""

    owner: str
    life: int
    taker: str
    taker_life: int
    number: int
    units: int
    lease: int


@dataclass(frozen=True)
class Release:
    """Units that the taker no longer uses, of the loan with that number."""

    taker: str
    life: int
    number: int


@dataclass(frozen=True)
class Lease:
    units: int
    until: int  # of one's own clock
    key: tuple[str, int, int] = ("", 0, 0)  # (taker, its life, number) at its owner


@dataclass(frozen=True)
class QuotaLedger:
    """All that a member knows of one budget; never changed, only replaced."""

    name: str
    life: int
    part: int  # its units by the charter
    lease: int
    started_at: int
    asked: int = 0  # the number of its last asking
    # (number, when asked, renews) of those that may still be answered
    open: tuple[tuple[int, int, int], ...] = ()
    lent: tuple[Lease, ...] = ()
    held: tuple[tuple[str, int, int, Lease], ...] = ()  # (owner, its life, number, what)

    # ticks that a unit rests at its owner after a lease: so long ago it was last used elsewhere
    guard: int = 0

    @property
    def lendable(self) -> int:
        """Half, a single unit whole: 200 members for a budget of ten have no halves to lend."""
        return (self.part + 1) // 2

    def _surely(self) -> int:
        """A lease's length by a clock that may be fast: over by then for certain,
        and what was done in it rested.
        """
        return -int(-(self.lease + self.guard) * (1 + MAX_CLOCK_DRIFT) // 1) + 1

    def _maybe(self) -> int:
        """And by one that may be slow: not over until then for certain."""
        return int(self.lease * (1 - 2 * MAX_CLOCK_DRIFT)) - 1

    def at(self, now: int) -> QuotaLedger:
        """What has ended is let go."""
        lent = tuple(loan for loan in self.lent if now < loan.until)
        held = tuple(row for row in self.held if now < row[3].until)
        open_ = tuple(row for row in self.open if now < row[1] + self._maybe())
        if (lent, held, open_) == (self.lent, self.held, self.open):
            return self
        return replace(self, lent=lent, held=held, open=open_)

    def own(self, now: int) -> int:
        """Of its own part what it may use now."""
        lent = sum(loan.units for loan in self.lent if now < loan.until)
        if now < self.started_at + self._surely():
            # An earlier life may have lent as much as may be lent.
            return self.part - max(lent, self.lendable)
        return self.part - lent

    def usable(self, now: int) -> int:
        """What it may use at this moment. Asked for just before each use, never remembered."""
        return self.own(now) + sum(row[3].units for row in self.held if now < row[3].until)

    def want(self, units: int, now: int, renews: int = 0) -> tuple[QuotaLedger, QuotaRequest]:
        state = self.at(now)
        number = state.asked + 1
        return (
            replace(state, asked=number, open=(*state.open, (number, now, renews))[-16:]),
            QuotaRequest(state.name, state.life, number, units, renews),
        )

    def asked_by(self, want: QuotaRequest, spare: int, now: int) -> tuple[QuotaLedger, Grant | None]:
        """Another asks; `spare`: how many of its units this one does not want itself; under 0, so many it
        lacks. One asking is answered once: what comes twice, or again while its loan runs, gets nothing.
        """
        state = self.at(now)
        key = (want.name, want.life, want.number)
        if (
            want.name == self.name
            or now < state.started_at + state._surely()
            or any(loan.key == key for loan in state.lent)
        ):
            return state, None
        if want.renews:
            return state._renewed(want, key, spare, now)
        free = state.lendable - sum(loan.units for loan in state.lent)
        units = min(want.units, spare, free)
        if units <= 0:
            return state, None
        return (
            replace(state, lent=(*state.lent, Lease(units, now + state._surely(), key))),
            state._lend(key, units),
        )

    def _renewed(
        self, want: QuotaRequest, key: tuple[str, int, int], spare: int, now: int
    ) -> tuple[QuotaLedger, Grant | None]:
        old = next((loan for loan in self.lent if loan.key == (want.name, want.life, want.renews)), None)
        units = min(want.units, old.units, old.units + spare) if old is not None else 0
        if old is None or units <= 0:
            return self, None
        rest = [loan for loan in self.lent if loan is not old]
        if units < old.units:  # until the taker has heard of it, it may use them all
            rest.append(replace(old, units=old.units - units, key=("", 0, 0)))
        return replace(self, lent=(*rest, Lease(units, now + self._surely(), key))), self._lend(key, units)

    def _lend(self, key: tuple[str, int, int], units: int) -> Grant:
        return Grant(self.name, self.life, *key, units, self.lease)

    def lent_by(self, lend: Grant, now: int) -> QuotaLedger:
        """An answer: taken once, by the life that asked, while its lease surely runs."""
        state = self.at(now)
        asked = next((row for row in state.open if row[0] == lend.number), None)
        if (
            asked is None
            or (lend.taker, lend.taker_life) != (state.name, state.life)
            or lend.lease != state.lease
        ):
            return state
        # Whatever life its owner has by now: it still counts the loan once.
        held = tuple(row for row in state.held if not asked[2] or (row[0], row[2]) != (lend.owner, asked[2]))
        loan = Lease(lend.units, asked[1] + state._maybe())
        return replace(
            state,
            held=(*held, (lend.owner, lend.life, lend.number, loan)),
            open=tuple(row for row in state.open if row is not asked),
        ).at(now)

    def returns(self, number: int, now: int) -> tuple[QuotaLedger, Release]:
        """What the taker gives back before its time; what would renew it is not taken any more."""
        state = self.at(now)
        return (
            replace(
                state,
                held=tuple(row for row in state.held if row[2] != number),
                open=tuple(row for row in state.open if row[2] != number),
            ),
            Release(state.name, state.life, number),
        )

    def returned(self, back: Release, now: int) -> QuotaLedger:
        """Its owner has it again when what was done with it has rested."""
        state = self.at(now)
        rested = now + int(self.guard * (1 + MAX_CLOCK_DRIFT)) + 1
        return replace(
            state,
            lent=tuple(
                replace(loan, until=min(loan.until, rested))
                if loan.key == (back.taker, back.life, back.number)
                else loan
                for loan in state.lent
            ),
        )


def new_ledger(name: str, life: int, part: int, lease: int, now: int, guard: int = 0) -> QuotaLedger:
    """A member's life begins; it has no state but what the charter says."""
    return QuotaLedger(name, life, part, lease, now, guard=guard)
