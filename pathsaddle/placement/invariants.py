"""The rules that never break, as one pure function over an inventory: what it says is wrong, by name.

Bounds: one unit a bay and one bay a unit; no island over power, ports or what its switches carry; no unit
where its kind may not be; no more units cold at once than the fleet's cold budget. Whoever holds a bay counts
in full from its reservation until it is pulled, running or not.
"""

from __future__ import annotations

from pathsaddle.placement.inventory import HOLDS, Inventory, State


def violations(inventory: Inventory) -> list[tuple[str, str]]:
    """(name of the rule, what breaks it); none: all hold."""
    found = []
    held: dict[str, str] = {}
    sums: dict[str, list[int]] = {island.name: [0, 0, 0] for island in inventory.islands}
    seen: dict[str, bool] = {}
    cold = 0
    for unit in inventory.units:
        if unit.name in seen:
            found.append(("unit-twice", f"unit {unit.name} stands there twice"))
        seen[unit.name] = True
        kind = inventory.kind.get(unit.kind)
        if kind is None:
            found.append(("kind-unknown", f"unit {unit.name}: no kind {unit.kind}"))
            continue
        cold += unit.state is State.COLD
        if not unit.bay:
            if unit.state in HOLDS and unit.state not in (State.FAILING, State.WITHDRAWN):
                found.append(("bay-missing", f"unit {unit.name} is {unit.state} in no bay"))
            continue
        island = inventory.island_of.get(unit.bay)
        if island is None:
            found.append(("bay-unknown", f"unit {unit.name}: no island has bay {unit.bay}"))
            continue
        if unit.state not in HOLDS:
            found.append(("bay-kept", f"unit {unit.name} is {unit.state} and has bay {unit.bay}"))
        if unit.bay in held:
            found.append(("bay-twice", f"bay {unit.bay}: {held[unit.bay]} and {unit.name}"))
        held[unit.bay] = unit.name
        if not island.holds(kind.name):
            found.append(("kind-misplaced", f"unit {unit.name} of {kind.name} in {island.name}"))
        for at, draws in enumerate((kind.power, kind.ports, kind.carries)):
            sums[island.name][at] += draws
    for island in inventory.islands:
        for name, limit, drawn in zip(
            ("power", "ports", "carries"),
            (island.power, island.ports, island.carries),
            sums[island.name],
            strict=True,
        ):
            if drawn > limit:
                found.append((f"{name}-over", f"island {island.name}: {drawn} of {limit}"))
    if cold > inventory.cold:
        found.append(("cold-over", f"{cold} units are cold at once, {inventory.cold} may be"))
    return found
