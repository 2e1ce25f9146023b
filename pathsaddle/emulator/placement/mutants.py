"""Programs that break one rule each, and the name under which the judge must find them."""

from __future__ import annotations

from pathsaddle.placement.inventory import UnitState
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import Plan, StepAction, is_done
from pathsaddle.placement.rollout import Rollout, RolloutStep, WithdrawStep


class Unrevised(PlacementState):
    """Reserves on what it saw, whatever is so by now."""

    def check_base(self, base: int) -> None:
        pass


class Unnumbered(PlacementState):
    """Lets any planner do what it likes, with whatever number."""

    def check_number(self, number: int) -> None:
        pass


class Unordered(PlacementState):
    """Takes the steps as they come."""

    def check_order(self, plan: Plan, step_index: int) -> None:
        pass


class Hasty(Rollout):
    """Takes out of service at once all that the plan takes out some time."""

    def due_steps(self, state: PlacementState, now: int) -> list[RolloutStep]:
        found = super().due_steps(state, now)
        plan = state.plan
        if plan is not None and plan.base == state.inventory.base:
            found += [
                WithdrawStep(step.unit, step.bay, at)
                for at, step in enumerate(plan.steps)
                if step.does is StepAction.WITHDRAW
                and not is_done(state.inventory, step)
                and state.inventory.unit_by_name[step.unit].state is UnitState.SERVING
            ]
        return found


class Impatient(Rollout):
    """Ends another's reservation as soon as it sees it."""

    def certain_lease_ticks(self) -> int:
        return 0


class Unbudgeted(PlacementState):
    """Warms whatever is installed."""

    def check_cold_budget(self) -> None:
        pass


# What breaks, by whose choice it shows (the solver's moves what serves),
# and the name under which it is found.
MUTANTS: dict[str, tuple[type[PlacementState], type[Rollout], str, str]] = {
    "reservation without revision": (Unrevised, Rollout, "greedy", "stale-revision"),
    "planner's number unchecked": (Unnumbered, Rollout, "greedy", "late-planner"),
    "step order ignored": (Unordered, Hasty, "plan", "step-order"),
    "lease not waited for": (PlacementState, Impatient, "greedy", "released-early"),
    "cold budget ignored": (Unbudgeted, Rollout, "greedy", "cold-over"),
}
