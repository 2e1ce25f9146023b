"""Model checking of the register: every order of events to a stated depth, and the bounds in each world.

Three voters, two candidates, one key, the very cores. A step is one of: a candidate begins a ballot, renews,
gives back or begins anew with nothing; a message is taken and stays under way, to come again, later, or
never; one is taken and its answer too; a moment passes; a voter is killed, and what it had not synced is
gone; a voter's disk is lost, and another tells it what it has. A voter's clock runs fast and a candidate's
slow, by what the stated drift allows.

Refusals are left out: they say which ballot is worth trying,
and here each new one is above all that there are.

Bounds: a number is told to one life once; numbers grow in the order in which they are told;
in no world may two act.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from pathsaddle.consensus.acceptor import EMPTY, Row
from pathsaddle.consensus.messages import Accepted, Message, Promise, Refused
from pathsaddle.consensus.proposer import CHOSEN, IDLE, PREPARING, Outbox, Proposer

LEASE = 100
SLOW, FAST = 50, 52  # what a moment is by a candidate's clock and by a voter's
VOTERS = ("v0", "v1", "v2")
Kept = tuple[object, ...]


class InvariantViolationError(AssertionError):
    """A bound does not hold; its text is how that came about."""


@dataclass(frozen=True, slots=True)
class Seat:
    """A voter: `disk`: what of its row is synced. starts: the highest start it knows of each. told: while it
    is being let in, by whom it was told; None: it takes part.
    """

    row: Row = EMPTY
    disk: Row = EMPTY
    start: int = 1
    starts: tuple[int, ...] = (1, 1, 1)
    told: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class World:
    seats: tuple[Seat, ...]
    bids: tuple[Proposer, ...]
    known: tuple[tuple[int, ...], ...]  # by candidate
    # sender, taker, its start, the starts it knows
    air: frozenset[tuple[str, str, int, tuple[int, ...], Message]]
    moments: int = 0
    numbers: tuple[tuple[int, int, int], ...] = ()  # (number, candidate, life) as they were told
    # what may still happen: ballots, renewals, gives, candidates' ends, kills, losses, moments
    left: tuple[int, ...] = ()


@dataclass(frozen=True)
class CheckerOptions:
    """How often each may happen in one history; `hasty`: voters answer before they sync (a mutant)."""

    ballots: int = 2
    renewals: int = 1
    gives: int = 0
    ends: int = 0
    kills: int = 1
    losses: int = 0
    moments: int = 3
    hasty: bool = False


def start(ways: CheckerOptions, bid: type[Proposer] = Proposer) -> World:
    bids = tuple(bid("k", f"c{i}", 1, LEASE, VOTERS) for i in range(2))
    return World(
        (Seat(),) * 3,
        bids,
        ((1, 1, 1),) * 2,
        frozenset(),
        0,
        (),
        (ways.ballots, ways.renewals, ways.gives, ways.ends, ways.kills, ways.losses, ways.moments),
    )


def _spent(world: World, which: int) -> tuple[int, ...]:
    return (*world.left[:which], world.left[which] - 1, *world.left[which + 1 :])


def _bid(world: World, i: int, bid: Proposer, out: Outbox, **more: object) -> World:
    before = world.bids[i]
    numbers = world.numbers
    if bid.number and bid.number != before.number:
        numbers = (*numbers, (bid.number, i, bid.life))
    air = world.air | {(bid.name, to, 0, world.known[i], message) for to, message in out}
    bids = (*world.bids[:i], bid, *world.bids[i + 1 :])
    return replace(world, bids=bids, numbers=numbers, air=air, **more)  # type: ignore[arg-type]


def _to_seat(
    world: World,
    v: int,
    message: Message,
    hasty: bool,
) -> tuple[World, tuple[str, str, int, tuple[int, ...], Message] | None]:
    """A voter takes a message: the world after it, and its answer."""
    seat = world.seats[v]
    if seat.told is not None:
        return world, None
    row, answer = seat.row.heard(message, world.moments * FAST)
    if row == seat.row and answer is None:
        return world, None
    after = replace(seat, row=row, disk=seat.disk if hasty else row)
    seats = (*world.seats[:v], after, *world.seats[v + 1 :])
    if isinstance(answer, Accepted | Promise) and not isinstance(answer, Refused):
        to = message.ballot.name  # type: ignore[union-attr]
        said = (VOTERS[v], to, seat.start, seat.starts, answer)
        return replace(world, seats=seats, air=world.air | {said}), said
    return replace(world, seats=seats), None


def _to_bid(world: World, i: int, said: tuple[str, str, int, tuple[int, ...], Message]) -> World:
    voter, _, number, starts, message = said
    known = tuple(max(a, b) for a, b in zip(world.known[i], starts, strict=True))
    world = replace(world, known=(*world.known[:i], known, *world.known[i + 1 :]))
    before = world.bids[i]
    bid, out = before.heard(
        voter,
        number,
        dict(zip(VOTERS, known, strict=True)),
        message,
        world.moments * 8 + 1,
        world.moments * SLOW,
    )
    return _bid(world, i, bid, out)


def steps(world: World, ways: CheckerOptions) -> list[tuple[str, World]]:
    """Every next world, and what led to it."""
    found: list[tuple[str, World]] = []
    slow, fast = world.moments * SLOW, world.moments * FAST
    left = world.left
    top = max(max(seat.row.promised.round for seat in world.seats), max(bid.round for bid in world.bids))
    for i, bid in enumerate(world.bids):
        if left[0] and (bid.phase in (IDLE, CHOSEN) or bid.lapsed(slow) is not bid):
            after, out = replace(bid, round=top).begin(slow)
            found.append((f"{bid.name} bids", _bid(world, i, after, out, left=_spent(world, 0))))
        if left[1] and bid.phase == CHOSEN:
            after, out = bid.again(world.moments * 8 + 2, slow)
            if out and after.phase == CHOSEN:
                found.append((f"{bid.name} renews", _bid(world, i, after, out, left=_spent(world, 1))))
        if left[2] and bid.phase == CHOSEN:
            after, out = bid.stopped()
            found.append((f"{bid.name} gives back", _bid(world, i, after, out, left=_spent(world, 2))))
        if left[3] and bid.phase != IDLE:
            after = type(bid)(bid.key, bid.name, bid.life + 1, bid.lease, bid.voters)
            found.append((f"{bid.name} begins anew", _bid(world, i, after, [], left=_spent(world, 3))))
    for said in world.air:
        sender, to, _, _, message = said
        what = f"{sender}>{to} {type(message).__name__} {message.ballot.round}"  # type: ignore[union-attr]
        if to in VOTERS:
            after_, answer = _to_seat(world, VOTERS.index(to), message, ways.hasty)
            if after_ is not world:
                found.append((what, after_))
            if answer is not None:
                found.append((what + " and back", _to_bid(after_, int(answer[1][1]), answer)))
        else:
            found.append((what, _to_bid(world, int(to[1]), said)))
    for v, seat in enumerate(world.seats):

        def with_seat(seat: Seat, which: int = -1, v: int = v) -> World:
            seats = (*world.seats[:v], seat, *world.seats[v + 1 :])
            return replace(world, seats=seats, left=_spent(world, which) if which >= 0 else left)

        if ways.hasty and seat.disk.kept != seat.row.kept:
            found.append((f"{VOTERS[v]} syncs", with_seat(replace(seat, disk=seat.row))))
        if left[4] and seat.told is None:
            row = seat.disk.begun(fast)
            found.append((f"{VOTERS[v]} is killed", with_seat(replace(seat, row=row, disk=row), 4)))
        if left[5] and seat.told is None and all(other.told is None for other in world.seats):
            number = max(other.starts[v] for other in world.seats) + 1
            starts = tuple(number if j == v else 0 for j in range(3))
            found.append(
                (f"{VOTERS[v]} loses its disk", with_seat(Seat(start=number, starts=starts, told=()), 5))
            )
        if seat.told is not None:
            for x, other in enumerate(world.seats):
                if x != v and x not in seat.told and other.told is None:
                    starts = tuple(seat.start if j == v else n for j, n in enumerate(other.starts))
                    row = seat.row.joined(*other.row.kept)
                    now = replace(
                        seat,
                        row=row,
                        disk=row,
                        told=(*seat.told, x),
                        starts=tuple(max(a, b) for a, b in zip(seat.starts, starts, strict=True)),
                    )
                    if len(seat.told) == 1:
                        row = row.begun(fast)
                        now = replace(now, row=row, disk=row, told=None)
                    seats = [*world.seats]
                    seats[v], seats[x] = now, replace(other, starts=starts)
                    found.append((f"{VOTERS[x]} tells {VOTERS[v]}", replace(world, seats=tuple(seats))))
    if left[6]:
        found.append(("a moment", replace(world, moments=world.moments + 1, left=_spent(world, 6))))
    return found


def _without_the_dead(world: World) -> World:
    """Messages that can never again change anything: below what their voter has promised for good, or for a
    ballot that is not its candidate's any more. Worlds that differ by these alone are one.
    """

    def lives(said: tuple[str, str, int, tuple[int, ...], Message]) -> bool:
        _, to, _, _, message = said
        if to in VOTERS:
            return message.ballot >= world.seats[VOTERS.index(to)].row.promised  # type: ignore[union-attr]
        bid = world.bids[int(to[1])]
        return message.ballot == bid.ballot and (  # type: ignore[union-attr]
            bid.phase == PREPARING if isinstance(message, Promise) else bid.phase != IDLE
        )

    air = frozenset(said for said in world.air if lives(said))
    return replace(world, air=air) if len(air) < len(world.air) else world


def broken(world: World) -> str:
    """What does not hold in this world; empty: all does."""
    numbers = [row[0] for row in world.numbers]
    if len(set(numbers)) < len(numbers):
        return "a number twice"
    if sorted(numbers) != numbers:
        return "numbers go back"
    if sum(1 for bid in world.bids if bid.fencing_token(world.moments * SLOW)) > 1:
        return "two may act"
    return ""


def check(
    depth: int, ways: CheckerOptions, first: World | None = None, bid: type[Proposer] = Proposer
) -> int:
    """How many worlds there are within `depth` steps of the first;
    raises Broken where a bound fails in one.
    """
    first = first or start(ways, bid)
    seen = {first}
    edge: list[tuple[World, tuple[str, ...]]] = [(first, ())]
    for _ in range(depth):
        following = []
        for world, path in edge:
            for name, after in steps(world, ways):
                if not ways.losses and not ways.hasty:
                    after = _without_the_dead(after)
                if after in seen:
                    continue
                seen.add(after)
                wrong = broken(after)
                if wrong:
                    raise InvariantViolationError(f"{wrong}: " + ", ".join((*path, name)))
                following.append((after, (*path, name)))
        edge = following
    return len(seen)


def owned(ways: CheckerOptions, bid: type[Proposer] = Proposer, who: int = 0) -> World:
    """A world to begin from: one candidate just became owner by two voters' word; all that was said is still
    under way, to come again, and to the third for the first time.
    """
    world = start(ways, bid)
    after, out = world.bids[who].begin(0)
    world = _bid(world, who, after, out, left=_spent(world, 0))
    for _ in range(2):
        for voter in VOTERS[:2]:
            for said in sorted(world.air, key=repr):
                if said[1] == voter and world.bids[who].phase != CHOSEN:
                    world, answer = _to_seat(world, VOTERS.index(voter), said[4], ways.hasty)
                    if answer is not None:
                        world = _to_bid(world, who, answer)
    assert world.bids[who].fencing_token(0)
    return world
