"""The placement state: what is placed where, the current plan, and the checks that every change makes.

`changes` makes new states from it, `ledger` keeps it, `rollout` reads it. It does no I/O.

Invariants, each with the test that breaks it:

- A planner's change is made only under the highest fencing token that ever began:
  `test_the_first_planner_wakes_after_another_took_over`.
- A step is taken only of the current plan, on the base that the plan was made for:
  `test_nothing_is_reserved_on_a_stale_inventory`.
- One unit a bay, one bay a unit, no island over a limit, no more cold units than the budget: `Rules` and
  `Virtual` in
  tests/test_placement.py.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from pathsaddle.placement.errors import PlanRejectedError, RejectionReason
from pathsaddle.placement.inventory import Inventory, Kind, Unit, UnitState
from pathsaddle.placement.plan import Plan, Step, StepAction, must_wait
from pathsaddle.placement.problem import Capacity, draw_of


@dataclass(frozen=True)
class PlacementState:
    """What is placed where, at one revision.

    Attributes:
        inventory: what there is.
        number: the highest fencing token that any planner began with; 0: none has begun.
        plan: the current plan.
    """

    inventory: Inventory
    number: int = 0
    plan: Plan | None = None

    def check_number(self, number: int) -> None:
        """Reject a planner that is not the latest."""
        if number != self.number:
            raise PlanRejectedError(RejectionReason.NUMBER, f"{number}, and {self.number} has begun")

    def check_base(self, base: int) -> None:
        """Reject what was made for another base of the inventory."""
        if base != self.inventory.base:
            raise PlanRejectedError(RejectionReason.BASE, f"reckoned on {base}, now {self.inventory.base}")

    def check_order(self, plan: Plan, step_index: int) -> None:
        """Reject a step whose predecessors are not done."""
        if must_wait(self.inventory, plan, step_index):
            raise PlanRejectedError(
                RejectionReason.ORDER, f"step {step_index} of {plan.name} waits for one before it"
            )

    def check_cold_budget(self) -> None:
        """Reject one more cold unit than the budget allows."""
        cold = sum(unit.state is UnitState.COLD for unit in self.inventory.units)
        if cold >= self.inventory.cold_budget:
            raise PlanRejectedError(
                RejectionReason.BUDGET, f"{cold} units are cold, {self.inventory.cold_budget} may be"
            )

    def check_step(self, ticket: StepTicket, action: StepAction) -> Step:
        """Return the step that a planner wants to take; reject it unless it is one of the current plan."""
        self.check_number(ticket.number)
        self.check_base(ticket.base)
        plan, at = self.plan, ticket.step_index
        if (
            plan is None
            or plan.name != ticket.plan_name
            or not 0 <= at < len(plan.steps)
            or plan.steps[at].does != action
        ):
            raise PlanRejectedError(
                RejectionReason.PLAN,
                f"step {at} of {ticket.plan_name}, and {plan.name if plan else 'none'} counts",
            )
        # Not the base that the planner says it looked at, but the one its plan was made for: a look at a
        # newer state between two steps does not make an old plan new.
        self.check_base(plan.base)
        self.check_order(plan, at)
        return plan.steps[at]

    def check_bay(self, unit: Unit, bay: str) -> None:
        """Reject a bay that is not free, or an island that cannot have one more unit of this kind."""
        inventory = self.inventory
        island = inventory.island_by_bay.get(bay)
        if island is None or not island.up:
            raise PlanRejectedError(RejectionReason.BAY, f"{bay} is on no island that is up")
        if bay in inventory.unit_by_bay or inventory.is_blocked(bay):
            raise PlanRejectedError(RejectionReason.BAY, f"{bay} is held or blocked")
        if not island.can_hold(unit.kind):
            raise PlanRejectedError(RejectionReason.LIMIT, f"{island.name} holds no {unit.kind}")
        holders = [inventory.unit_by_bay[name] for name in island.bays if name in inventory.unit_by_bay]
        drawn = _total_draw(inventory.kind_by_name[holder.kind] for holder in (*holders, unit))
        for limit, draw, name in (
            (island.power, drawn.power, "power"),
            (island.ports, drawn.ports, "ports"),
            (island.carries, drawn.carries, "carries"),
        ):
            if draw > limit:
                raise PlanRejectedError(RejectionReason.LIMIT, f"{island.name}: {name} {draw} of {limit}")

    def unit(self, name: str) -> Unit:
        """Return a unit by its name; reject an unknown one."""
        unit = self.inventory.unit_by_name.get(name)
        if unit is None:
            raise PlanRejectedError(RejectionReason.STATE, f"no unit {name}")
        return unit

    def with_units(self, *units: Unit) -> PlacementState:
        """Return the next revision, with these units in place of those of the same names."""
        return self.with_inventory(replace(self.inventory, units=self._merge(units)))

    def with_unforeseen(self, *units: Unit, inventory: Inventory | None = None) -> PlacementState:
        """Return the next revision and base: what no plan foresaw.

        Args:
            units: in place of those of the same names.
            inventory: this inventory with other changes than those of units; None: it has none.
        """
        changed = replace(inventory or self.inventory, units=self._merge(units), base=self.inventory.base + 1)
        return self.with_inventory(changed)

    def with_inventory(self, inventory: Inventory) -> PlacementState:
        """Return the next revision, with another inventory."""
        return replace(self, inventory=replace(inventory, revision=self.inventory.revision + 1))

    def _merge(self, units: tuple[Unit, ...]) -> tuple[Unit, ...]:
        unit_by_name = dict(self.inventory.unit_by_name)
        unit_by_name.update((unit.name, unit) for unit in units)
        return tuple(unit_by_name.values())


@dataclass(frozen=True)
class StepTicket:
    """Which step a planner wants to take.

    Attributes:
        number: the planner's fencing token.
        base: the base of the inventory that it looked at.
        plan_name: the plan.
        step_index: the step's index in the plan.
    """

    number: int
    base: int
    plan_name: str
    step_index: int


def _total_draw(kinds: Iterable[Kind]) -> Capacity:
    draws = [draw_of(kind) for kind in kinds]
    return Capacity(
        sum(draw.power for draw in draws),
        sum(draw.ports for draw in draws),
        sum(draw.carries for draw in draws),
    )
