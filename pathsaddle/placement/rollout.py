"""The owner's walk over the plan: what is to be done next, from the book as it was last seen. Free of I/O.

It keeps almost nothing: what is done is read off the book, so that whoever takes over, or comes back after a
kill, goes on from what is there. What it keeps are its leases: until when it may surely have a bay installed
with no word from the book, and since when it has seen another's reservation stand unrenewed.

Bound: an install is told to an island only while the lease may not have ended for certain, by a slow clock
from before the reservation was asked for; another's reservation is ended only when it surely did, by a fast
clock from after it was seen. Clocks need not agree, only not run off by more than DRIFT.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pathsaddle.placement.inventory import COMING, Inventory, State
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import PLACE, done, waits

DRIFT = 0.02  # as for the fleet's leases
AHEAD = 4  # how many units are reserved beyond those that may be cold at once


@dataclass(frozen=True)
class RolloutStep:
    """does: `stop` (a later planner has begun), `plan`, `renew`, `lapse`, `reserve`, `withdraw`, `cold`: to
    the book; `install`, `warm`, `pull`: to the island of `bay`, with the number, and harmless when told
    again.
    """

    does: str
    unit: str = ""
    bay: str = ""
    step: int = -1
    renewed: int = 0


@dataclass
class Rollout:
    """One planner's, under one number. lease: ticks."""

    number: int
    lease: int
    hold: dict[str, int] = field(default_factory=dict)  # unit: until when it may be installed
    watched: dict[str, tuple[int, int, int]] = field(default_factory=dict)  # unit: (number, renewed, since)

    def surely(self) -> int:
        return -int(-self.lease * (1 + DRIFT) // 1) + 1

    def maybe(self) -> int:
        return int(self.lease * (1 - 2 * DRIFT)) - 1

    def held(self, unit: str, asked: int) -> None:
        """The book has reserved or renewed it; `asked`: the moment before that was asked for."""
        self.hold[unit] = asked + self.maybe()

    def renewed(self, inventory: Inventory, asked: int) -> None:
        for unit in inventory.units:
            if unit.state is State.RESERVED and unit.number == self.number:
                self.held(unit.name, asked)

    def unheard(self, inventory: Inventory, now: int) -> list[RolloutStep]:
        """With no word from the book: what it has reserved it still has installed, while its lease runs."""
        return [
            RolloutStep("install", unit.name, unit.bay)
            for unit in inventory.units
            if unit.state is State.RESERVED
            and unit.number == self.number
            and now < self.hold.get(unit.name, now)
        ]

    def over(self, book: PlacementState) -> bool:
        """All steps of the plan that counts are done, and nothing is on its way in or out."""
        plan, inventory = book.plan, book.inventory
        return (
            plan is not None
            and plan.base == inventory.base
            and all(done(inventory, step) for step in plan.steps)
            and not any(
                unit.state in COMING or (unit.state is State.WITHDRAWN and unit.bay)
                for unit in inventory.units
            )
        )

    def due(self, book: PlacementState, now: int) -> list[RolloutStep]:
        inventory, plan = book.inventory, book.plan
        if book.number > self.number:
            return [RolloutStep("stop")]
        found: list[RolloutStep] = []
        watched: dict[str, tuple[int, int, int]] = {}
        busy = renew = 0
        for unit in inventory.units:
            if unit.state is State.RESERVED:
                busy += 1
                if unit.number == self.number:
                    if now < self.hold.get(unit.name, now):
                        found.append(RolloutStep("install", unit.name, unit.bay))
                    renew += now >= self.hold.get(unit.name, 0) - self.maybe() // 2
                    continue
                seen = self.watched.get(unit.name)
                if seen is None or seen[:2] != (unit.number, unit.renewed):
                    seen = (unit.number, unit.renewed, now)
                watched[unit.name] = seen
                if now >= seen[2] + self.surely():
                    found.append(RolloutStep("lapse", unit.name, renewed=unit.renewed))
            elif unit.state is State.INSTALLING:
                busy += 1
                found.append(RolloutStep("cold", unit.name, unit.bay))
            elif unit.state is State.COLD:
                found.append(RolloutStep("warm", unit.name, unit.bay))
            elif unit.state is State.WITHDRAWN and unit.bay:
                found.append(RolloutStep("pull", unit.name, unit.bay))
        self.watched = watched
        if renew:
            found.insert(0, RolloutStep("renew"))
        if plan is None or plan.base != inventory.base:
            return [*found, RolloutStep("plan")]
        for at, step in enumerate(plan.steps):
            unit = inventory.unit[step.unit]
            if step.does == PLACE:
                if (
                    unit.state is State.HERE
                    and busy < inventory.cold + AHEAD
                    and not waits(inventory, plan, at)
                ):
                    found.append(RolloutStep("reserve", unit.name, step.bay, at))
                    busy += 1
            elif done(inventory, step):
                continue
            elif unit.state is State.FAILING and not unit.bay:
                found.append(
                    RolloutStep("pull", unit.name, step.bay)
                )  # it is where it should not be, and holds nothing
            elif unit.state in (State.SERVING, State.FAILING) and not waits(inventory, plan, at):
                found.append(RolloutStep("withdraw", unit.name, step.bay, at))
        return found
