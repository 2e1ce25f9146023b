"""Model checking of versions on lease: every order of events to a stated depth, and the bound at each
instant.

Members hold version 1 and a lease on it; version 2 forbids west and allows south. A step is one of: the
register takes 2, a keeper reads it, or is killed and another begins (also between the two), somebody asks, a
message is taken (and stays under way: it may come again, later, in any order, or never), a moment passes for
all or for all but one whose clock is slow, a member is killed and begins anew with the disk it had at first.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import cache
from random import Random

from pathsaddle.federation.spec import parse
from pathsaddle.leased_versions import (
    AppliedAck,
    CommitNotice,
    LeaseRenewal,
    Offer,
    SyncRequest,
    Version,
    VersionServer,
    VersionSubscriber,
    new_subscriber,
)

LEASE = 300
MOMENT = 160
SLOW = 50  # of so many ticks one is lost by a slow clock
Message = Offer | CommitNotice | AppliedAck | SyncRequest | LeaseRenewal


@cache
def rank(message: Message) -> str:
    return repr(message)


class InvariantViolationError(AssertionError):
    """The bound does not hold; its text is how that came about."""


def versions(members: int, home: str = "north", moved: str = "north") -> tuple[Version, Version]:
    """1 and 2. `moved`: where version 2 has home; another than `home` is the case that needs everybody's
    word.
    """
    names = ", ".join(f'"m{i}"' for i in range(members))
    regions = (
        f'[regions.north]\nmembers = [{names}]\n[regions.west]\nmembers = ["w"]\n'
        '[regions.south]\nmembers = ["s"]\n'
    )

    def spec(number: int, at: str, to: str) -> Version:
        text = f'{regions}[schemes.a]\nhome = "{at}"\nmay = ["{at}", "{to}"]\nfail_over = ["{to}"]\n'
        made = parse(text)
        return Version(number, made.digest, made)

    return spec(1, home, "west"), spec(2, moved, "south" if moved == home else "west")


@dataclass(frozen=True)
class World:
    members: tuple[VersionSubscriber, ...]
    clocks: tuple[int, ...]  # each member's own, and the keeper's at the end
    keeper: VersionServer
    air: frozenset[Message]
    register: int = 1
    forced: bool = False
    lives: int = 0  # begun anew so far, keepers among them


def start(one: Version, two: Version, members: int) -> World:
    """Everybody took a lease on version 1 in this moment; version 2 is offered."""
    held = []
    for i in range(members):
        state, _ = new_subscriber(f"m{i}", "north", 1, LEASE, one).asks(0)
        held.append(state.renewed(LeaseRenewal(state.name, 1, 1, 1, one.digest), 0))
    # The others of the spec have said that they have it, as soon as it is committed.
    others = (("s", 2), ("w", 2))
    keeper = VersionServer(LEASE, 0, (1, one.digest), (one,), 0, others)
    return World(tuple(held), (0,) * (members + 1), keeper, frozenset((Offer(two),)))


def steps(world: World, one: Version, two: Version, asks: int, lives: int) -> list[tuple[str, World]]:
    """Every next world, and what led to it."""
    found: list[tuple[str, World]] = []
    now = world.clocks[-1]
    committed = two if world.register == 2 else one

    def member(i: int, state: VersionSubscriber, *more: Message) -> World:
        return replace(
            world,
            members=(*world.members[:i], state, *world.members[i + 1 :]),
            air=world.air.union(more) if more else world.air,
        )

    def read(keeper: VersionServer) -> VersionServer:
        return keeper.reads(committed.number, committed.digest, committed, now)

    if world.register == 1:
        found.append(("the register takes 2", replace(world, register=2)))
    after = read(world.keeper)
    if after is not world.keeper:
        found.append(
            (
                "the keeper reads",
                replace(
                    world, keeper=after, air=world.air | {CommitNotice(committed.number, committed.digest)}
                ),
            )
        )
    if world.lives < lives:
        found.append(
            (
                "another keeper",
                replace(
                    world,
                    lives=world.lives + 1,
                    keeper=read(VersionServer(LEASE, now, history=(one,), rows=(("s", 2), ("w", 2)))),
                ),
            )
        )
    judged = world.keeper.judged(now)
    if judged.force == 2 and not world.forced:
        found.append(("told in force", replace(world, keeper=judged, forced=True)))
    order = sorted(world.air, key=rank)
    for i, (state, clock) in enumerate(zip(world.members, world.clocks, strict=False)):
        if state.echo < asks + 1:
            asking, ask = state.asks(clock)
            found.append((f"{state.name} asks", member(i, asking, ask)))
        if world.lives < lives:
            anew = new_subscriber(state.name, state.here, state.life + 1, LEASE, one)
            found.append((f"{state.name} begins anew", replace(member(i, anew), lives=world.lives + 1)))
        for message in order:
            if isinstance(message, Offer):
                took = state.offered(message.version)
                if took is not state:
                    have = took.has()
                    found.append(
                        (
                            f"{state.name} takes the offer",
                            member(i, took, *((have,) if have and have.number > 1 else ())),
                        )
                    )
            elif isinstance(message, CommitNotice):
                took, have = state.told(message)
                if took is not state or (have is not None and have not in world.air):
                    found.append(
                        (
                            f"{state.name} is told of {message.number}",
                            member(i, took, *((have,) if have else ())),
                        )
                    )
            elif isinstance(message, LeaseRenewal) and message.name == state.name:
                took = state.renewed(message, clock)
                if took != state:
                    found.append((f"{state.name} renewed with {message.number}", member(i, took)))
    for message in order:
        if isinstance(message, SyncRequest):
            answer = after.answers(message)
            if answer not in world.air:
                found.append(
                    (
                        f"{message.name} is answered {answer.number}",
                        replace(world, keeper=after, air=world.air | {answer}),
                    )
                )
        elif isinstance(message, AppliedAck):
            heard = world.keeper.hears(message)
            if heard is not world.keeper:
                found.append((f"the keeper hears {message.name}", replace(world, keeper=heard)))
    for slow in range(-1, len(world.clocks)):
        found.append(
            (
                f"a moment, clock {slow} slow" if slow >= 0 else "a moment",
                replace(
                    world,
                    clocks=tuple(
                        clock + (MOMENT - MOMENT // SLOW if i == slow else MOMENT)
                        for i, clock in enumerate(world.clocks)
                    ),
                ),
            )
        )
    return found


def breach(world: World) -> str:
    """What is wrong in this instant; empty: nothing."""
    for state, clock in zip(world.members, world.clocks, strict=False):
        may = state.rule("a", clock).may
        if world.forced and not may <= {"north", "south"}:
            return f"{state.name} may post to {', '.join(sorted(may))} with 2 in force"
        if world.register == 1 and "south" in may:
            return f"{state.name} may post to south before 2 is committed"
    return ""


def check(
    depth: int,
    members: int = 3,
    asks: int = 1,
    lives: int = 2,
    *,
    moved: str = "north",
    first: World | None = None,
) -> int:
    """How many worlds there are within `depth` steps; raises Forbidden where the bound fails in one. `moved`
    as in `versions`: with "south" version 2 forbids north itself, which no lease's end makes safe; begun anew
    with an old disk is then left out, since the word is kept on disk before it is sent.
    """
    one, two = versions(members, moved=moved)
    world = first or start(one, two, members)
    seen, edge = {world}, [(world, None)]
    trail: dict[World, tuple[World | None, str]] = {world: (None, "")}
    for _ in range(depth):
        following = []
        for at, _ in edge:
            for name, after in steps(at, one, two, asks, lives):
                if after in seen:
                    continue
                seen.add(after)
                trail[after] = (at, name)
                wrong = breach(after) if moved == "north" else _moved(after)
                if wrong:
                    raise InvariantViolationError(f"{wrong}: " + ", ".join(_path(trail, after)))
                following.append((after, None))
        edge = following
    return len(seen)


def walk(seed: int, length: int = 60, members: int = 3, asks: int = 6, lives: int = 4) -> int:
    """One order of events, far longer than all can be tried, drawn by chance; how many steps were taken. Raises
    Forbidden.
    """
    chance = Random(seed)
    one, two = versions(members)
    world = start(one, two, members)
    path: list[str] = []
    for _ in range(length):
        found = steps(world, one, two, asks, lives)
        moments = [row for row in found if row[0].startswith("a moment")]
        others = [row for row in found if not row[0].startswith("a moment")]
        # Time goes on now and then: else every lease is over before a message is taken.
        name, world = chance.choice(moments if not others or chance.random() < 0.2 else others)
        path.append(name)
        wrong = breach(world)
        if wrong:
            raise InvariantViolationError(f"{wrong}: " + ", ".join(path))
    return len(path)


def _moved(world: World) -> str:
    for state, clock in zip(world.members, world.clocks, strict=False):
        if world.forced and not state.rule("a", clock).may <= {"south", "west"}:
            return f"{state.name} goes on at the home that 2 withdrew"
    return ""


def _path(trail: dict[World, tuple[World | None, str]], world: World) -> list[str]:
    names: list[str] = []
    at: World | None = world
    while at is not None:
        at, name = trail[at]
        names.append(name)
    return names[::-1][1:]
