"""The one book of what is where: what planners do to it and what islands tell. Pure; `ledger` keeps it on a
disk.

Bounds. A planner's change is made only under the highest number that ever came here, and a step only of the
plan that counts, on the base that it was reckoned on. One unit a bay, one bay a unit, no island over a limit,
no more cold units than may be: checked at each change that could break it. A reservation ends only by word
(the island's) or by a lease that surely ended, as the one that ends it measured by its own clock (`walk`).

What islands tell is true whatever any plan says: it is never refused. Where it contradicts the book, the bay
is blocked until it is cleared up.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from pathsaddle.placement.errors import PlanRejectedError
from pathsaddle.placement.inventory import Demand, Inventory, Island, State, Target, Unit
from pathsaddle.placement.plan import PLACE, WITHDRAW, Plan, waits

SAME = 0.1  # demand that differs by this part of it, or by one job, from what a plan was reckoned on doesn't end it


@dataclass(frozen=True)
class PlacementState:
    inventory: Inventory
    number: int = 0  # the highest that any planner came with
    plan: Plan | None = None

    # What planners do. All raise Refused, with nothing changed.

    def take(self, number: int) -> PlacementState:
        """A planner begins, with a number that nobody had."""
        if number <= self.number:
            raise PlanRejectedError("number", f"{number} comes after {self.number}")
        return replace(self, number=number, inventory=self._with())

    def replaced(self, plan: Plan) -> PlacementState:
        """The plan, whole, in place of the one before."""
        self._number(plan.number)
        self._base(plan.base)
        return replace(self, plan=plan, inventory=self._with())

    def reserve(self, number: int, base: int, name: str, at: int) -> PlacementState:
        """The bay of step `at` is kept for its unit, for the planner `number`."""
        plan, unit = self._step(number, base, name, at, PLACE)
        bay = plan.steps[at].bay
        if unit.state is not State.HERE:
            raise PlanRejectedError("state", f"{unit.name} is {unit.state}")
        self._room(unit, bay)
        return self._changed(replace(unit, state=State.RESERVED, bay=bay, number=number, renewed=0))

    def renew(self, number: int) -> PlacementState:
        """All reservations of this planner: their leases begin anew."""
        self._number(number)
        mine = [
            replace(unit, renewed=unit.renewed + 1)
            for unit in self.inventory.units
            if unit.state is State.RESERVED and unit.number == number
        ]
        return self._changed(*mine)

    def lapse(self, number: int, name: str, renewed: int) -> PlacementState:
        """Another's reservation ends: its lease surely did, as this planner saw it stand since that
        renewal.
        """
        self._number(number)
        unit = self._unit(name)
        if unit.state is not State.RESERVED or unit.renewed != renewed or unit.number >= number:
            raise PlanRejectedError(
                "lease", f"{name} is {unit.state}, renewed {unit.renewed} times by {unit.number}"
            )
        return self._changed(replace(unit, state=State.HERE, bay=""), base=True)

    def cold(self, number: int, name: str) -> PlacementState:
        """It may be warmed, if the fleet's cold budget has room."""
        self._number(number)
        unit = self._unit(name)
        if unit.state is not State.INSTALLING:
            raise PlanRejectedError("state", f"{name} is {unit.state}")
        cold = sum(one.state is State.COLD for one in self.inventory.units)
        if cold >= self.inventory.cold:
            raise PlanRejectedError("budget", f"{cold} units are cold, {self.inventory.cold} may be")
        return self._changed(replace(unit, state=State.COLD))

    def withdraw(self, number: int, base: int, name: str, at: int) -> PlacementState:
        """The unit of step `at` takes nothing new; its bay is held until it is pulled."""
        _, unit = self._step(number, base, name, at, WITHDRAW)
        if unit.state not in (State.SERVING, State.FAILING):
            raise PlanRejectedError("state", f"{unit.name} is {unit.state}")
        return self._changed(replace(unit, state=State.WITHDRAWN))

    # What islands and stores tell. Told again, nothing changes.

    def came(self, *units: Unit) -> PlacementState:
        """Ordered, or here: a batch is told at once."""
        known = self.inventory.unit
        new = [
            unit
            for unit in units
            if unit.name not in known
            or (known[unit.name].state is State.ORDERED and unit.state is not State.ORDERED)
        ]
        return self._changed(*new, base=any(unit.state is not State.ORDERED for unit in new)) if new else self

    def put(self, name: str, bay: str) -> PlacementState:
        """An island finds this unit in this bay."""
        unit = self.inventory.unit.get(name)
        if unit is not None and unit.bay == bay:
            if unit.state is State.RESERVED:
                return self._changed(replace(unit, state=State.INSTALLING))
            return self
        if (bay, name) in self.inventory.blocked:
            return self
        loose = unit is not None and (not unit.bay or unit.state is State.RESERVED)
        if unit is not None and loose and unit.fit:
            try:
                self._room(unit, bay)
            except PlanRejectedError:
                pass
            else:
                return self._changed(replace(unit, state=State.INSTALLING, bay=bay), base=True)
        rows = []
        if unit is not None and loose:
            rows.append(replace(unit, state=State.FAILING, bay=""))
        other = self.inventory.holder.get(bay)
        if other is not None and other.state is State.RESERVED:
            rows.append(replace(other, state=State.HERE, bay=""))
        return self._changed(*rows, base=True, blocked=(*self.inventory.blocked, (bay, name)))

    def warmed(self, name: str) -> PlacementState:
        unit = self.inventory.unit.get(name)
        if unit is None or unit.state is not State.COLD:
            return self
        return self._changed(replace(unit, state=State.SERVING))

    def dead(self, name: str) -> PlacementState:
        """It does not work, wherever it is."""
        unit = self.inventory.unit.get(name)
        if unit is None or not unit.fit:
            return self
        state = State.FAILING if unit.bay and unit.state is not State.RESERVED else State.WITHDRAWN
        return self._changed(
            replace(unit, fit=False, state=state, bay=unit.bay if state is State.FAILING else ""), base=True
        )

    def pulled(self, name: str) -> PlacementState:
        """It is out of its bay, or of the bay where it should not have been."""
        unit = self.inventory.unit.get(name)
        blocked = tuple(row for row in self.inventory.blocked if row[1] != name)
        if unit is None or unit.state not in (State.WITHDRAWN, State.FAILING):
            return self if blocked == self.inventory.blocked else self._changed(base=True, blocked=blocked)
        if unit.state is State.WITHDRAWN and not unit.bay:
            return self
        # What a step withdrew was foreseen; what is pulled otherwise was not.
        foreseen = blocked == self.inventory.blocked and unit.state is State.WITHDRAWN
        state = State.HERE if unit.fit else State.WITHDRAWN
        return self._changed(replace(unit, state=state, bay=""), base=not foreseen, blocked=blocked)

    def cleared(self, bay: str) -> PlacementState:
        """Nothing is in that bay that should not be."""
        blocked = tuple(row for row in self.inventory.blocked if row[0] != bay)
        if blocked == self.inventory.blocked:
            return self
        rows = [
            replace(unit, state=State.HERE)
            for _, name in self.inventory.blocked
            if _ == bay
            for unit in (self.inventory.unit.get(name),)
            if unit is not None and unit.state is State.FAILING and not unit.bay
        ]
        return self._changed(*rows, base=True, blocked=blocked)

    def island(self, told: Island) -> PlacementState:
        """New, lost, back, or with other limits. Reservations there end where it is lost: that is its
        word.
        """
        known = {island.name: island for island in self.inventory.islands}
        if known.get(told.name) == told:
            return self
        rows = (
            []
            if told.up
            else [
                replace(unit, state=State.HERE, bay="")
                for unit in self.inventory.units
                if unit.state is State.RESERVED and unit.bay in told.bays
            ]
        )
        known[told.name] = told
        return self._changed(*rows, base=True, islands=tuple(known.values()))

    def asked(self, demand: tuple[Demand, ...], targets: tuple[Target, ...]) -> PlacementState:
        """What dispatchers count, and the charter's targets. A small change ends no plan: it is let be until
        it has grown.
        """
        if demand == self.inventory.demand and targets == self.inventory.targets:
            return self
        old = {(row.kind, row.width): row.high for row in self.inventory.demand}
        new = {(row.kind, row.width): row.high for row in demand}
        same = (
            targets == self.inventory.targets
            and old.keys() == new.keys()
            and all(abs(new[key] - was) <= max(1, SAME * was) for key, was in old.items())
        )
        if same:
            return self
        return self._changed(base=True, demand=demand, targets=targets)

    # Guards.

    def _number(self, number: int) -> None:
        if number != self.number:
            raise PlanRejectedError("number", f"{number}, and {self.number} has begun")

    def _base(self, base: int) -> None:
        if base != self.inventory.base:
            raise PlanRejectedError("base", f"reckoned on {base}, now {self.inventory.base}")

    def _order(self, plan: Plan, at: int) -> None:
        if waits(self.inventory, plan, at):
            raise PlanRejectedError("order", f"step {at} of {plan.name} waits for one before it")

    def _room(self, unit: Unit, bay: str) -> None:
        island = self.inventory.island_of.get(bay)
        if island is None or not island.up:
            raise PlanRejectedError("bay", f"{bay} is on no island that is up")
        if bay in self.inventory.holder or any(row[0] == bay for row in self.inventory.blocked):
            raise PlanRejectedError("bay", f"{bay} is held or blocked")
        if not island.holds(unit.kind):
            raise PlanRejectedError("limit", f"{island.name} holds no {unit.kind}")
        there = [
            self.inventory.kind[one.kind]
            for name in island.bays
            for one in (self.inventory.holder.get(name),)
            if one is not None
        ]
        there.append(self.inventory.kind[unit.kind])
        for limit, drawn, name in (
            (island.power, sum(kind.power for kind in there), "power"),
            (island.ports, sum(kind.ports for kind in there), "ports"),
            (island.carries, sum(kind.carries for kind in there), "carries"),
        ):
            if drawn > limit:
                raise PlanRejectedError("limit", f"{island.name}: {name} {drawn} of {limit}")

    def _step(self, number: int, base: int, name: str, at: int, does: str) -> tuple[Plan, Unit]:
        self._number(number)
        self._base(base)
        plan = self.plan
        if plan is None or plan.name != name or not 0 <= at < len(plan.steps) or plan.steps[at].does != does:
            raise PlanRejectedError(
                "plan", f"step {at} of {name}, and {plan.name if plan else 'none'} counts"
            )
        # Not what the planner says that it looked at, but what its plan was reckoned on: a look between two steps at
        # a newer book does not make an old plan new.
        self._base(plan.base)
        self._order(plan, at)
        return plan, self._unit(plan.steps[at].unit)

    def _unit(self, name: str) -> Unit:
        unit = self.inventory.unit.get(name)
        if unit is None:
            raise PlanRejectedError("state", f"no unit {name}")
        return unit

    def _with(self) -> Inventory:
        return replace(self.inventory, revision=self.inventory.revision + 1)

    def _changed(self, *units: Unit, base: bool = False, **more: object) -> PlacementState:
        rows = dict(self.inventory.unit)
        for unit in units:
            rows[unit.name] = unit
        return replace(
            self,
            inventory=replace(
                self.inventory,
                units=tuple(rows.values()),
                revision=self.inventory.revision + 1,
                base=self.inventory.base + base,
                **more,  # type: ignore[arg-type]  # fields by name
            ),
        )
