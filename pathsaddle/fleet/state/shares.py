"""A rate that all members together must not exceed, dealt out in shares, and what is not wanted lent for a time.

Bound: at no instant do usable shares add up to more than the budget, whatever is lost, doubled or late, whoever stops,
restarts or is cut off, for any number of members, as long as no clock runs off by more than DRIFT.

Why. Each unit belongs to one member, by the charter's parts, which add up to the budget or less. Its owner uses it or
lends it. Lent, it counts as spent at the owner until a lease has surely ended: from after the promise, by a clock taken
to be fast. At the taker it is usable from its arrival until the lease may have ended: from before the asking, by a clock
taken to be slow. So no unit is usable at two places at once, and nothing has to arrive for that. A new life of an owner
does not know what the old one lent: what may be lent at all (half, a single unit whole) is out of its use until any such
lease has ended.

Floor: who hears nothing has its own part less what it lent, all of it again one lease later. Idle at most: what is lent
to one that stopped, for one lease. No I/O; times are ticks of a clock handed in, that goes on while a process stands.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

DRIFT = 0.02  # by how much a clock may run faster or slower than it should


@dataclass(frozen=True)
class Want:
    """Asks for so many units. number: grows with each asking of a life; an answer names it."""

    name: str
    life: int
    number: int
    units: int


@dataclass(frozen=True)
class Lend:
    """Units of `owner` for the asking that `number` names, for `lease` ticks from then."""

    owner: str
    life: int
    taker: str
    taker_life: int
    number: int
    units: int
    lease: int


@dataclass(frozen=True)
class Loan:
    units: int
    until: int  # of one's own clock


@dataclass(frozen=True)
class State:
    """All that a member knows of one budget; never changed, only replaced."""

    name: str
    life: int
    part: int  # its units by the charter
    lease: int
    born: int
    asked: int = 0  # the number of its last asking
    open: tuple[tuple[int, int], ...] = ()  # (number, when asked) of those that may still be answered
    lent: tuple[Loan, ...] = ()
    given: tuple[tuple[str, int, int], ...] = ()  # (taker, its life, number) answered, while the lease runs
    held: tuple[tuple[str, int, int, Loan], ...] = ()  # (owner, its life, number, what)

    guard: int = 0  # ticks that a unit rests at its owner after a lease: so long ago it was last used elsewhere

    @property
    def lendable(self) -> int:
        """Half, a single unit whole: 200 members for a budget of ten have no halves to lend."""
        return (self.part + 1) // 2

    def _surely(self) -> int:
        """A lease's length by a clock that may be fast: over by then for certain, and what was done in it rested."""
        return -int(-(self.lease + self.guard) * (1 + DRIFT) // 1) + 1

    def _maybe(self) -> int:
        """And by one that may be slow: not over until then for certain."""
        return int(self.lease * (1 - 2 * DRIFT)) - 1

    def at(self, now: int) -> State:
        """What has ended is let go."""
        lent = tuple(loan for loan in self.lent if now < loan.until)
        held = tuple(row for row in self.held if now < row[3].until)
        given = self.given if lent else ()
        open_ = tuple(row for row in self.open if now < row[1] + self._maybe())
        if (lent, held, given, open_) == (self.lent, self.held, self.given, self.open):
            return self
        return replace(self, lent=lent, held=held, given=given, open=open_)

    def own(self, now: int) -> int:
        """Of its own part what it may use now."""
        lent = sum(loan.units for loan in self.lent if now < loan.until)
        if now < self.born + self._surely():
            # An earlier life may have lent as much as may be lent.
            return self.part - max(lent, self.lendable)
        return self.part - lent

    def usable(self, now: int) -> int:
        """What it may use at this moment. Asked for just before each use, never remembered."""
        return self.own(now) + sum(row[3].units for row in self.held if now < row[3].until)

    def want(self, units: int, now: int) -> tuple[State, Want]:
        state = self.at(now)
        number = state.asked + 1
        return (replace(state, asked=number, open=(*state.open, (number, now))[-8:]),
                Want(state.name, state.life, number, units))

    def asked_by(self, want: Want, spare: int, now: int) -> tuple[State, Lend | None]:
        """Another asks; `spare`: how many of its units this one does not want itself. One asking is answered once:
        what comes twice, or again while its loan runs, gets nothing."""
        state = self.at(now)
        key = (want.name, want.life, want.number)
        free = state.lendable - sum(loan.units for loan in state.lent)
        units = min(want.units, spare, free)
        if units <= 0 or want.name == state.name or key in state.given or now < state.born + state._surely():
            return state, None
        loan = Loan(units, now + state._surely())
        return (replace(state, lent=(*state.lent, loan), given=(*state.given, key)),
                Lend(state.name, state.life, want.name, want.life, want.number, units, state.lease))

    def lent_by(self, lend: Lend, now: int) -> State:
        """An answer: taken once, by the life that asked, while its lease surely runs."""
        state = self.at(now)
        asked = dict(state.open).get(lend.number)
        if asked is None or (lend.taker, lend.taker_life) != (state.name, state.life) or lend.lease != state.lease:
            return state
        if any(row[:3] == (lend.owner, lend.life, lend.number) for row in state.held):
            return state
        loan = Loan(lend.units, asked + state._maybe())
        return replace(state, held=(*state.held, (lend.owner, lend.life, lend.number, loan))).at(now)


def born(name: str, life: int, part: int, lease: int, now: int, guard: int = 0) -> State:
    """A member's life begins; it has no state but what the charter says."""
    return State(name, life, part, lease, now, guard=guard)
