"""A plan: its steps, what must be done before each, and what fits at each.

`planning` makes plans, `placement_state` and `rollout` go by them. The fields of Step and Plan are stored
as JSON in the ledger and printed by the program, so their names are part of the file format.

Invariant: at each step the widest job of each kind fits as the target says, whichever one island is lost,
    or the plan said beforehand that it cannot, how wide a job then fits, and why. Only units that serve are
    counted: what is on its way counts when it serves. Test:
    `test_a_full_fleet_moves_one_at_a_time_and_never_below_the_announced_width`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from pathsaddle.placement.inventory import Inventory, UnitState


class StepAction(StrEnum):
    """What a step does. The values are stored and printed."""

    ADD = "place"  # reserve the bay, install, warm up and serve
    WITHDRAW = "withdraw"  # drain the unit and pull it


@dataclass(frozen=True)
class Step:
    """One step of a plan.

    Attributes:
        does: what is done with the unit.
        unit: its name.
        bay: the bay that it comes into or leaves.
        widest: by kind, slots of the widest job that surely fits from this step's beginning on until the
            next step that withdraws, whichever island is lost. Units added between them are not counted,
            since they come up side by side.
        why: the reason where that is less than the target.
        after: the indexes of the steps that must be done before this one may begin.
    """

    does: StepAction
    unit: str
    bay: str
    widest: dict[str, int]
    why: str = ""
    after: tuple[int, ...] = ()


@dataclass(frozen=True)
class Plan:
    """The steps to what was chosen.

    Attributes:
        name: unique.
        number: the fencing token of the planner that made it.
        base: the base of the inventory that it was made for.
        steps: in the order in which they may begin.
        wanted: units by island and kind at the end.
        target: by kind, the slots of the widest job that must fit.
        reaches: by kind, the slots of the widest job that fits at the end, whichever island is lost.
        by: the method that chose.
        gap: the distance from the solver's bound, as a part of the bound.
        notes: for people.
    """

    name: str
    number: int
    base: int
    steps: tuple[Step, ...]
    wanted: dict[str, dict[str, int]]
    target: dict[str, int]
    reaches: dict[str, int]
    by: str
    gap: float
    notes: tuple[str, ...] = ()


def is_done(inventory: Inventory, step: Step) -> bool:
    """Return whether the step's unit serves in its bay, or has left it."""
    unit = inventory.unit_by_name.get(step.unit)
    if unit is None:
        return False
    if step.does is StepAction.ADD:
        return unit.bay == step.bay and unit.state is UnitState.SERVING
    return unit.bay != step.bay and (step.bay, step.unit) not in inventory.blocked


def must_wait(inventory: Inventory, plan: Plan, step_index: int) -> bool:
    """Return whether a step that must be done before this one is not done."""
    return any(not is_done(inventory, plan.steps[before]) for before in plan.steps[step_index].after)
