"""Model checking of shares on lease: every order of events to a stated depth, and the bound at each instant.

Three members with a part each, one lease; each step is one of: somebody asks, a message is taken (and stays under way, to
come again), a moment passes for all, or for all but one whose clock stands (one in `SLOW` at most, which is within the
drift that the shares allow for), one is killed and begins anew with nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from pathsaddle.fleet.state.shares import Lend, State, Want, born

MOMENT = 100  # ticks
LEASE = 300
SLOW = 60


class Exceeded(AssertionError):
    """The bound does not hold; its text is how that came about."""


@dataclass(frozen=True)
class World:
    members: tuple[State, ...]
    clocks: tuple[int, ...]  # each member's own
    air: frozenset[Want | Lend]
    budget: int
    moments: int = 0

    def usable(self) -> int:
        return sum(state.usable(clock) for state, clock in zip(self.members, self.clocks, strict=True))


def start(parts: tuple[int, ...]) -> World:
    """All were born long ago."""
    return World(tuple(born(f"m{i}", 1, part, LEASE, -10 * LEASE) for i, part in enumerate(parts)),
                 (0,) * len(parts), frozenset(), sum(parts))


def steps(world: World, wants: int, lives: int) -> list[tuple[str, World]]:
    """Every next world, and what led to it."""
    found = []

    def member(i: int, state: State, air: frozenset[Want | Lend] | None = None) -> World:
        return replace(world, members=(*world.members[:i], state, *world.members[i + 1:]),
                       air=world.air if air is None else air)

    for i, (state, clock) in enumerate(zip(world.members, world.clocks, strict=True)):
        if state.asked < wants:
            after, want = state.want(2, clock)
            found.append((f"{state.name} asks", member(i, after, world.air | {want})))
        if state.life <= lives:
            found.append((f"{state.name} begins anew", member(i, born(state.name, state.life + 1, state.part, LEASE, clock))))
        for message in sorted(world.air, key=repr):
            if isinstance(message, Want) and message.name != state.name:
                after, lend = state.asked_by(message, state.part, clock)
                if lend is not None:
                    found.append((f"{state.name} lends {lend.units} to {message.name}", member(i, after, world.air | {lend})))
            elif isinstance(message, Lend) and message.taker == state.name:
                after = state.lent_by(message, clock)
                if after != state:
                    found.append((f"{state.name} takes {message.units} of {message.owner}", member(i, after)))
    found.append(("a moment", replace(world, clocks=tuple(clock + MOMENT for clock in world.clocks),
                                      moments=world.moments + 1)))
    for slow in range(len(world.clocks)):
        # Of a clock that runs slow: within a lease it falls behind by what the stated drift allows.
        behind = MOMENT - MOMENT // SLOW
        found.append((f"a moment, m{slow} slow", replace(world, moments=world.moments + 1, clocks=tuple(
            clock + (behind if i == slow else MOMENT) for i, clock in enumerate(world.clocks)))))
    return found


def check(depth: int, parts: tuple[int, ...] = (2, 2, 2), wants: int = 1, lives: int = 1) -> int:
    """How many worlds there are within `depth` steps; raises Exceeded where the bound fails in one."""
    first = start(parts)
    seen, edge = {first}, [(first, ())]
    for _ in range(depth):
        following: list[tuple[World, tuple[str, ...]]] = []
        for world, path in edge:
            for name, after in steps(world, wants, lives):
                if after in seen:
                    continue
                seen.add(after)
                if after.usable() > after.budget:
                    raise Exceeded(f"{after.usable()} units of {after.budget}: " + ", ".join((*path, name)))
                following.append((after, (*path, name)))
        edge = following  # type: ignore[assignment]  # paths of any length
    return len(seen)
