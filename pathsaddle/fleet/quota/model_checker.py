"""Model checking of quota ledgers and of the uses that they allow: every order of events to a stated depth.

Members with a part each, one lease length. Each step is one of: a member asks, asks for a lease to go on, or
releases one; a message is delivered (and stays in flight, to be delivered again); a period passes for all, or
for all but one whose clock falls behind (by one part in SLOW_PART, which is within the drift that the ledger
allows for); a member is killed and begins a new incarnation with nothing; and with uses, a member makes one,
where the limiter's rule lets it.

Checked in each state: usable units at that instant, and uses in any second, are no more than the quota.
Called by the tests; no part of a running dispatcher.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TypeAlias

from pathsaddle.fleet.quota.leases import Grant, QuotaLedger, QuotaRequest, Release, new_ledger

PERIOD_TICKS = 100
LEASE_TICKS = 300
SLOW_PART = 60
WINDOW = 100  # ticks: of uses, by a member's clock
SECOND_TICKS = 98  # of uses, by the true clock
REQUESTED_UNITS = 2
REMEMBERED_PERIODS = 2  # uses before them are out of any second

Message: TypeAlias = QuotaRequest | Grant | Release


class InvariantViolationError(AssertionError):
    """An invariant does not hold; the text is the steps that led there."""


@dataclass(frozen=True)
class ModelUse:
    """One use: who made it in which incarnation, by its clock and in which period."""

    member: int
    incarnation: int
    at: int
    period: int


@dataclass(frozen=True)
class State:
    """All members and everything in flight.

    Attributes:
        members: their ledgers.
        clocks: each member's own, in ticks.
        in_flight: messages that may be delivered at any later step, any number of times.
        quota: the units of all members together.
        periods: how many have passed.
        uses: of the last REMEMBERED_PERIODS.
    """

    members: tuple[QuotaLedger, ...]
    clocks: tuple[int, ...]
    in_flight: frozenset[Message]
    quota: int
    periods: int = 0
    uses: tuple[ModelUse, ...] = ()

    def usable_units(self) -> int:
        """Units that are usable now, at all members together."""
        return sum(ledger.usable(clock) for ledger, clock in zip(self.members, self.clocks, strict=True))

    def uses_in_second(self) -> int:
        """Uses of the last second, at all members together."""
        return sum((self.periods - use.period) * PERIOD_TICKS < SECOND_TICKS for use in self.uses)

    def uses_in_window(self, member: int) -> int:
        """What a member counts back from now: the uses of its own incarnation."""
        incarnation, since = self.members[member].incarnation, self.clocks[member] - WINDOW
        return sum(
            use.member == member and use.incarnation == incarnation and use.at > since for use in self.uses
        )

    def violation(self) -> str:
        """Which invariant does not hold, in words; empty: all hold."""
        if (units := self.usable_units()) > self.quota:
            return f"{units} units of {self.quota}"
        if (uses := self.uses_in_second()) > self.quota:
            return f"{uses} uses of {self.quota} in a second"
        return ""


@dataclass(frozen=True)
class Limits:
    """How many requests and new incarnations a member makes at most, and whether uses are made."""

    requests: int
    restarts: int
    has_uses: bool = False


Step: TypeAlias = tuple[str, State]  # what happened, and the state after it


def first_state(parts: tuple[int, ...], guard_ticks: int = 0) -> State:
    """All members began long ago."""
    return State(
        tuple(
            new_ledger(f"m{i}", 1, part, LEASE_TICKS, -10 * LEASE_TICKS, guard_ticks)
            for i, part in enumerate(parts)
        ),
        (0,) * len(parts),
        frozenset(),
        sum(parts),
    )


def _with_member(state: State, i: int, ledger: QuotaLedger, *sent: Message) -> State:
    """The state in which member i has that ledger and has sent those messages."""
    return replace(
        state,
        members=(*state.members[:i], ledger, *state.members[i + 1 :]),
        in_flight=state.in_flight.union(sent) if sent else state.in_flight,
    )


def _own_steps(state: State, i: int, limits: Limits) -> list[Step]:
    """What member i may do by itself."""
    ledger, clock, used = state.members[i], state.clocks[i], state.uses_in_window(i)
    name = ledger.name
    found: list[Step] = []
    if ledger.asked < limits.requests:
        after, request = ledger.want(REQUESTED_UNITS, clock)
        found.append((f"{name} asks", _with_member(state, i, after, request)))
    for lease in ledger.at(clock).held:
        if ledger.asked <= limits.requests:
            after, request = ledger.want(lease.units, clock, lease.number)
            found.append((f"{name} asks {lease.owner} to go on", _with_member(state, i, after, request)))
        if not limits.has_uses or used <= ledger.usable(clock) - lease.units:
            after, release = ledger.release(lease.number, clock)
            found.append((f"{name} releases to {lease.owner}", _with_member(state, i, after, release)))
    if ledger.incarnation <= limits.restarts:
        new = new_ledger(name, ledger.incarnation + 1, ledger.part, LEASE_TICKS, clock, ledger.guard_ticks)
        found.append((f"{name} begins a new incarnation", _with_member(state, i, new)))
    if limits.has_uses and used < ledger.usable(clock) and clock >= ledger.started_at + WINDOW:
        recent = (use for use in state.uses if use.period >= state.periods - REMEMBERED_PERIODS)
        use = ModelUse(i, ledger.incarnation, clock, state.periods)
        found.append((f"{name} uses one", replace(state, uses=(*recent, use))))
    return found


def _deliveries(state: State, i: int) -> list[Step]:
    """Every message that changes something when member i receives it."""
    ledger, clock = state.members[i], state.clocks[i]
    spare_units = min(ledger.part, ledger.usable(clock) - state.uses_in_window(i))
    found: list[Step] = []
    for message in sorted(state.in_flight, key=repr):
        if isinstance(message, QuotaRequest):
            found += _request_delivery(state, i, message, spare_units)
        elif isinstance(message, Grant) and message.taker == ledger.name:
            after = ledger.lent_by(message, clock)
            if after != ledger:
                name = f"{ledger.name} takes {message.units} of {message.owner}"
                found.append((name, _with_member(state, i, after)))
        elif isinstance(message, Release) and message.taker != ledger.name:
            after = ledger.on_release(message, clock)
            if after != ledger:
                name = f"{ledger.name} has back from {message.taker}"
                found.append((name, _with_member(state, i, after)))
    return found


def _request_delivery(state: State, i: int, request: QuotaRequest, spare_units: int) -> list[Step]:
    ledger, clock = state.members[i], state.clocks[i]
    if request.name == ledger.name or clock < ledger.started_at + ledger.guard_ticks:
        return []
    after, grant = ledger.asked_by(request, spare_units, clock)
    if grant is None:
        return []
    name = f"{ledger.name} grants {grant.units} to {request.name}"
    return [(name, _with_member(state, i, after, grant))]


def _time_steps(state: State) -> list[Step]:
    """A period passes, for all or with one clock slow."""
    periods = state.periods + 1
    clocks = tuple(clock + PERIOD_TICKS for clock in state.clocks)
    found: list[Step] = [("a period passes", replace(state, clocks=clocks, periods=periods))]
    for slow in range(len(clocks)):
        # Within a lease a slow clock falls behind by what the stated drift allows.
        behind = clocks[slow] - PERIOD_TICKS // SLOW_PART
        after = replace(state, periods=periods, clocks=(*clocks[:slow], behind, *clocks[slow + 1 :]))
        found.append((f"a period passes, m{slow} slow", after))
    return found


def steps(state: State, limits: Limits) -> list[Step]:
    """Every next state, and what led to it."""
    found: list[Step] = []
    for i in range(len(state.members)):
        found += _own_steps(state, i, limits)
        found += _deliveries(state, i)
    return found + _time_steps(state)


def check(
    depth: int,
    parts: tuple[int, ...] = (2, 2, 2),
    requests: int = 1,
    restarts: int = 1,
    *,
    uses: bool = False,
) -> int:
    """How many states there are within `depth` steps.

    Args:
        depth: in steps.
        parts: of each member, in units.
        requests: of each member at most.
        restarts: of each member at most.
        uses: whether members make uses, and these are checked as well.

    Raises:
        InvariantViolationError: an invariant does not hold in one; its text is the steps that led there.
    """
    limits = Limits(requests, restarts, uses)
    first = first_state(parts, WINDOW if uses else 0)
    seen = {first}
    frontier: list[tuple[State, tuple[str, ...]]] = [(first, ())]
    for _ in range(depth):
        following: list[tuple[State, tuple[str, ...]]] = []
        for state, path in frontier:
            for name, after in steps(state, limits):
                if after in seen:
                    continue
                seen.add(after)
                if violation := after.violation():
                    raise InvariantViolationError(f"{violation}: " + ", ".join((*path, name)))
                following.append((after, (*path, name)))
        frontier = following
    return len(seen)
