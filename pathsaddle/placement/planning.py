"""Making a plan: the inventory as numbers, an allocation, and the order of steps to it.

The program and the emulator call `make_plan`; it does no I/O. The allocation is computed by a function that
is handed in, so that the solver is loaded only where it is used.
"""

from __future__ import annotations

from pathsaddle.placement.inventory import Inventory
from pathsaddle.placement.plan import Plan
from pathsaddle.placement.problem import ChooseCounts, assess, build_problem
from pathsaddle.placement.step_order import order_steps


def make_plan(inventory: Inventory, number: int, previous: Plan | None, choose: ChooseCounts) -> Plan:
    """Make a plan for an inventory.

    Args:
        inventory: what there is.
        number: the fencing token of the planner.
        previous: the plan before; differing from it has a price.
        choose: from a problem to a allocation.
    """
    problem = build_problem(inventory, None if previous is None else previous.wanted)
    allocation = choose(problem)
    ordered = order_steps(inventory, problem, allocation.counts)
    names = [kind.name for kind in problem.kinds]
    return Plan(
        name=f"{number}/{inventory.base}",
        number=number,
        base=inventory.base,
        steps=ordered.steps,
        wanted={
            island.name: dict(zip(names, allocation.counts[i], strict=True))
            for i, island in enumerate(problem.islands)
        },
        target=dict(zip(names, problem.target_width, strict=True)),
        reaches=dict(zip(names, assess(problem, allocation.counts).widest, strict=True)),
        by=allocation.method,
        gap=allocation.gap,
        notes=ordered.notes,
    )
