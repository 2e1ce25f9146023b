"""Model checking of shares on lease and of what is used by them: every order of events to a stated depth.

Members with a part each, one lease. Each step is one of: somebody asks, asks for a loan to go on, gives one
back, a message is taken (and stays under way, to come again), a moment passes for all, or for all but one
whose clock falls behind (one in `SLOW` at most, which is within the drift that the shares allow for), one is
killed and begins anew with nothing; and with `uses`, one makes a use, where the limiter's rule lets it.
Bounds: usable shares at each instant, uses in any second.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from pathsaddle.fleet.quota.leases import Grant, QuotaLedger, QuotaRequest, Release, new_ledger

MOMENT = 100  # ticks
LEASE = 300
SLOW = 60
WINDOW = 100  # of uses, by a member's clock
SECOND = 98  # of uses, by the true one

Message = QuotaRequest | Grant | Release


class InvariantViolationError(AssertionError):
    """The bound does not hold; its text is how that came about."""


@dataclass(frozen=True)
class World:
    members: tuple[QuotaLedger, ...]
    clocks: tuple[int, ...]  # each member's own
    air: frozenset[Message]
    budget: int
    moments: int = 0
    # (who, its life, its clock, moment) of the last two moments
    uses: tuple[tuple[int, int, int, int], ...] = ()

    def usable(self) -> int:
        return sum(state.usable(clock) for state, clock in zip(self.members, self.clocks, strict=True))

    def used(self) -> int:
        return sum(self.moments * MOMENT - at * MOMENT < SECOND for *_, at in self.uses)

    def using(self, i: int) -> int:
        """What a member counts back from now: its life's own uses."""
        state, clock = self.members[i], self.clocks[i]
        return sum(who == i and life == state.life and at > clock - WINDOW for who, life, at, _ in self.uses)


def start(parts: tuple[int, ...], guard: int = 0) -> World:
    """All were born long ago."""
    return World(
        tuple(new_ledger(f"m{i}", 1, part, LEASE, -10 * LEASE, guard) for i, part in enumerate(parts)),
        (0,) * len(parts),
        frozenset(),
        sum(parts),
    )


def steps(world: World, wants: int, lives: int, uses: bool = False) -> list[tuple[str, World]]:
    """Every next world, and what led to it."""
    found = []

    def member(i: int, state: QuotaLedger, air: frozenset[Message] | None = None) -> World:
        return replace(
            world,
            members=(*world.members[:i], state, *world.members[i + 1 :]),
            air=world.air if air is None else air,
        )

    for i, (state, clock) in enumerate(zip(world.members, world.clocks, strict=True)):
        name, using = state.name, world.using(i)
        if state.asked < wants:
            after, want = state.want(2, clock)
            found.append((f"{name} asks", member(i, after, world.air | {want})))
        for owner, _, number, loan in state.at(clock).held:
            if state.asked <= wants:
                after, want = state.want(loan.units, clock, number)
                found.append((f"{name} asks {owner} to go on", member(i, after, world.air | {want})))
            if not uses or using <= state.usable(clock) - loan.units:
                after, back = state.returns(number, clock)
                found.append((f"{name} gives back to {owner}", member(i, after, world.air | {back})))
        if state.life <= lives:
            found.append(
                (
                    f"{name} begins anew",
                    member(i, new_ledger(name, state.life + 1, state.part, LEASE, clock, state.guard)),
                )
            )
        if uses and using < state.usable(clock) and clock >= state.started_at + WINDOW:
            found.append(
                (
                    f"{name} uses one",
                    replace(
                        world,
                        uses=(
                            *(row for row in world.uses if row[3] >= world.moments - 2),
                            (i, state.life, clock, world.moments),
                        ),
                    ),
                )
            )
        spare = min(state.part, state.usable(clock) - using)
        for message in sorted(world.air, key=repr):
            if (
                isinstance(message, QuotaRequest)
                and message.name != name
                and clock >= state.started_at + state.guard
            ):
                after, lend = state.asked_by(message, spare, clock)
                if lend is not None:
                    found.append(
                        (f"{name} lends {lend.units} to {message.name}", member(i, after, world.air | {lend}))
                    )
            elif isinstance(message, Grant) and message.taker == name:
                after = state.lent_by(message, clock)
                if after != state:
                    found.append((f"{name} takes {message.units} of {message.owner}", member(i, after)))
            elif isinstance(message, Release) and message.taker != name:
                after = state.returned(message, clock)
                if after != state:
                    found.append((f"{name} has back from {message.taker}", member(i, after)))
    found.append(
        (
            "a moment",
            replace(world, clocks=tuple(clock + MOMENT for clock in world.clocks), moments=world.moments + 1),
        )
    )
    for slow in range(len(world.clocks)):
        # Of a clock that runs slow: within a lease it falls behind by what the stated drift allows.
        behind = MOMENT - MOMENT // SLOW
        found.append(
            (
                f"a moment, m{slow} slow",
                replace(
                    world,
                    moments=world.moments + 1,
                    clocks=tuple(
                        clock + (behind if i == slow else MOMENT) for i, clock in enumerate(world.clocks)
                    ),
                ),
            )
        )
    return found


def check(
    depth: int, parts: tuple[int, ...] = (2, 2, 2), wants: int = 1, lives: int = 1, uses: bool = False
) -> int:
    """How many worlds there are within `depth` steps; raises Exceeded where a bound fails in one."""
    first = start(parts, WINDOW if uses else 0)
    seen, edge = {first}, [(first, ())]
    for _ in range(depth):
        following: list[tuple[World, tuple[str, ...]]] = []
        for world, path in edge:
            for name, after in steps(world, wants, lives, uses):
                if after in seen:
                    continue
                seen.add(after)
                if after.usable() > after.budget:
                    raise InvariantViolationError(
                        f"{after.usable()} units of {after.budget}: " + ", ".join((*path, name))
                    )
                if after.used() > after.budget:
                    raise InvariantViolationError(
                        f"{after.used()} uses of {after.budget} in a second: " + ", ".join((*path, name))
                    )
                following.append((after, (*path, name)))
        edge = following  # type: ignore[assignment]  # paths of any length
    return len(seen)
