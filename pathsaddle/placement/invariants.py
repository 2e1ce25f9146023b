"""The rules that a placement never breaks, as one pure function over an inventory.

One unit a bay and one bay a unit; no island over its limits of power, ports or switch capacity; no unit on
an island that may not hold its kind; no more units cold at once than the cold budget. A unit that holds a
bay counts in full from its reservation until it is pulled. `inventory_file` and `ledger_file` check an
operator's inventory with it, the tests every result. `PlacementState` keeps the rules by its own checks at
each change; it does not call this module.
"""

from __future__ import annotations

from typing import NamedTuple

from pathsaddle.placement.inventory import BAY_HOLDING_STATES, Inventory, Kind, Unit, UnitState


class Violation(NamedTuple):
    """One broken rule: its stable name, and what breaks it, in words."""

    rule: str
    detail: str


def find_violations(inventory: Inventory) -> list[Violation]:
    """Return every broken rule; an empty list means that all rules hold."""
    violations: list[Violation] = []
    unit_by_bay: dict[str, str] = {}
    names: set[str] = set()
    kinds_by_island: dict[str, list[Kind]] = {island.name: [] for island in inventory.islands}
    cold = 0
    for unit in inventory.units:
        if unit.name in names:
            violations.append(Violation("unit-twice", f"unit {unit.name} stands there twice"))
        names.add(unit.name)
        kind = inventory.kind_by_name.get(unit.kind)
        if kind is None:
            violations.append(Violation("kind-unknown", f"unit {unit.name}: no kind {unit.kind}"))
            continue
        cold += unit.state is UnitState.COLD
        violations += _check_unit(inventory, unit, unit_by_bay)
        island = inventory.island_by_bay.get(unit.bay) if unit.bay else None
        if island is not None:
            unit_by_bay[unit.bay] = unit.name
            kinds_by_island[island.name].append(kind)
    violations += _check_islands(inventory, kinds_by_island)
    if cold > inventory.cold_budget:
        violations.append(
            Violation("cold-over", f"{cold} units are cold at once, {inventory.cold_budget} may be")
        )
    return violations


def _check_unit(inventory: Inventory, unit: Unit, unit_by_bay: dict[str, str]) -> list[Violation]:
    """Check one unit against its bay and the units before it."""
    if not unit.bay:
        if unit.state in BAY_HOLDING_STATES and unit.state not in (UnitState.FAILING, UnitState.WITHDRAWN):
            return [Violation("bay-missing", f"unit {unit.name} is {unit.state} in no bay")]
        return []
    island = inventory.island_by_bay.get(unit.bay)
    if island is None:
        return [Violation("bay-unknown", f"unit {unit.name}: no island has bay {unit.bay}")]
    violations = []
    if unit.state not in BAY_HOLDING_STATES:
        violations.append(Violation("bay-kept", f"unit {unit.name} is {unit.state} and has bay {unit.bay}"))
    if unit.bay in unit_by_bay:
        violations.append(Violation("bay-twice", f"bay {unit.bay}: {unit_by_bay[unit.bay]} and {unit.name}"))
    if not island.can_hold(unit.kind):
        violations.append(Violation("kind-misplaced", f"unit {unit.name} of {unit.kind} in {island.name}"))
    return violations


def _check_islands(inventory: Inventory, kinds_by_island: dict[str, list[Kind]]) -> list[Violation]:
    """Check what the units of each island draw against its limits."""
    violations = []
    for island in inventory.islands:
        kinds = kinds_by_island[island.name]
        for name, limit, drawn in (
            ("power", island.power, sum(kind.power for kind in kinds)),
            ("ports", island.ports, sum(kind.ports for kind in kinds)),
            ("carries", island.carries, sum(kind.carries for kind in kinds)),
        ):
            if drawn > limit:
                violations.append(Violation(f"{name}-over", f"island {island.name}: {drawn} of {limit}"))
    return violations
