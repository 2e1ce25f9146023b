"""Programs that break one rule each, and the name under which the judge must find them."""

from __future__ import annotations

from dataclasses import replace

from pathsaddle.placement.inventory import State
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import WITHDRAW, Plan, done
from pathsaddle.placement.rollout import Rollout, RolloutStep


class Unrevised(PlacementState):
    """Reserves on what it saw, whatever is so by now."""

    def _base(self, base: int) -> None:
        pass


class Unnumbered(PlacementState):
    """Lets any planner do what it likes, with whatever number."""

    def _number(self, number: int) -> None:
        pass


class Unordered(PlacementState):
    """Takes the steps as they come."""

    def _order(self, plan: Plan, at: int) -> None:
        pass


class Hasty(Rollout):
    """Takes out of service at once all that the plan takes out some time."""

    def due(self, book: PlacementState, now: int) -> list[RolloutStep]:
        found = super().due(book, now)
        plan = book.plan
        if plan is not None and plan.base == book.inventory.base:
            found += [
                RolloutStep("withdraw", step.unit, step.bay, at)
                for at, step in enumerate(plan.steps)
                if step.does == WITHDRAW
                and not done(book.inventory, step)
                and book.inventory.unit[step.unit].state is State.SERVING
            ]
        return found


class Impatient(Rollout):
    """Ends another's reservation as soon as it sees it."""

    def surely(self) -> int:
        return 0


class Unbudgeted(PlacementState):
    """Warms whatever is installed."""

    def cold(self, number: int, name: str) -> PlacementState:
        self._number(number)
        unit = self._unit(name)
        return self._changed(replace(unit, state=State.COLD)) if unit.state is State.INSTALLING else self


# What breaks, by whose choice it shows (the solver's moves what serves),
# and the name under which it is found.
MUTANTS: dict[str, tuple[type[PlacementState], type[Rollout], str, str]] = {
    "reservation without revision": (Unrevised, Rollout, "greedy", "stale-revision"),
    "planner's number unchecked": (Unnumbered, Rollout, "greedy", "late-planner"),
    "step order ignored": (Unordered, Hasty, "plan", "step-order"),
    "lease not waited for": (PlacementState, Impatient, "greedy", "released-early"),
    "cold budget ignored": (Unbudgeted, Rollout, "greedy", "cold-over"),
}
