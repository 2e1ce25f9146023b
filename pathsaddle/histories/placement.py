"""Placement: one unit a bay and one bay a unit, what an island bears, the order of steps,
planners that wake late.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Any

from pathsaddle.histories.logs import NEVER, Checker, Event

BEARS = ("ports", "power", "carries")
# what must have been done to a unit in its bay before
NEEDS = {"bay.warm": "bay.install", "bay.serve": "bay.warm"}
Place = tuple[Hashable, Hashable]  # unit, bay


class Placement(Checker):
    """Finds `bay-twice`, `unit-twice`, `island-over`, `step-order`, `late-planner`, `stale-revision`,
    `unreserved`, `released-early`, `cold-over`.

    Where reservations are kept one process decides, so what concerns one keeper is judged by its own order;
    between keepers, planners and walkers only what is surely apart accuses.
    """

    name = "placement"

    def __init__(self, skew: int = 0) -> None:
        super().__init__(skew)
        self.limits: dict[str, dict[str, Any]] = {}
        self.needs: dict[Hashable, dict[str, Any]] = {}
        self.bays: dict[Hashable, Event] = {}  # who holds it
        self.units: dict[Hashable, dict[Hashable, Event]] = {}  # the bays that a unit holds
        self.released: dict[Place, tuple[Event | None, Event | None]] = {}  # reserved last, released last
        self.islands: dict[str, dict[Hashable, Event]] = {}
        self.sums: dict[str, dict[str, float]] = {}
        self.numbers: dict[str, tuple[int, Event]] = {}
        self.last: dict[tuple[str, Place], int] = {}  # when a unit was last installed, warmed, taken out
        # till when a walker takes a unit's reservation to hold
        self.holds: dict[Hashable, tuple[int, Event]] = {}
        self.budget: Event | None = None  # how many may be cold at once
        self.cold: dict[Place, Event] = {}
        self.warmed: dict[Place, int] = {}  # when a unit last served, left or was released
        self.done_steps: dict[Hashable, dict[Hashable, Event]] = {}
        self.on = {
            "island.limits": self._limits,
            "unit.needs": self._needs,
            "bay.reserve": self._reserve,
            "bay.release": self._release,
            "bay.install": self._walked,
            "bay.warm": self._walked,
            "bay.serve": self._walked,
            "bay.out": self._out,
            "bay.leave": self._out,
            "bay.fail": self._out,
            "bay.hold": self._hold,
            "planner": self._planner,
            "planner.did": self._planner,
            "plan.new": self._planner,
            "cold.budget": self._cold_budget,
            "plan.step": self._step,
        }

    def _limits(self, event: Event) -> None:
        self.limits[event.more["island"]] = event.more

    def _needs(self, event: Event) -> None:
        self.needs[event.more["unit"]] = event.more

    def _planner(self, event: Event) -> None:
        """By the order of whoever writes it, the keeper above all: numbers only grow."""
        who, number = event.more["who"], event.more["number"]
        top = self.numbers.get(who)
        if top is not None and number < top[0]:
            self.find(
                "late-planner",
                f"{who} let {event.more.get('does', 'a plan')} by {number} after {top[0]}",
                top[1],
                event,
            )
        else:
            self.numbers[who] = number, event

    def _cold_budget(self, event: Event) -> None:
        event.more["units"] + 0  # a number, or the line is broken
        self.budget = event

    def _warm(self, event: Event) -> None:
        """Counted late, and no more once it may have served: what is over was so for certain."""
        place = event.more["unit"], event.more["bay"]
        if self.warmed.get(place, NEVER) >= event.at - 2 * self.skew:
            return
        self.cold[place] = event
        if self.budget is not None and len(self.cold) > self.budget.more["units"]:
            self.find(
                "cold-over",
                f"{len(self.cold)} units are cold at once, {self.budget.more['units']} may be",
                self.budget,
                *self.cold.values(),
            )

    def _warmed(self, place: Place, at: int) -> None:
        self.warmed[place] = at
        self.cold.pop(place, None)

    def _reserve(self, event: Event) -> None:
        more = event.more
        if not more["taken"]:
            return
        keeper, unit, bay, number = more["who"], more["unit"], more["bay"], more["number"]
        top = self.numbers.get(keeper)
        if more.get("word"):
            pass  # an island told that the unit is there: nobody decided that
        elif top is not None and number < top[0]:
            self.find(
                "late-planner",
                f"{keeper} took a reservation by {more['by']} with number {number} after one with {top[0]}",
                top[1],
                event,
            )
        else:
            self.numbers[keeper] = number, event
        if not more.get("word") and more["revision"] < more["now"]:
            self.find(
                "stale-revision",
                f"{more['by']} reserved {bay} on revision {more['revision']}, {keeper} had {more['now']}",
                event,
            )
        holder = self.bays.get(bay)
        if holder is not None and holder.more["unit"] != unit:
            self.find(
                "bay-twice", f"{bay} is held by {holder.more['unit']} and given to {unit}", holder, event
            )
        self.bays[bay] = event
        bays = self.units.setdefault(unit, {})
        for other, row in bays.items():
            if other == bay:
                continue
            if row.more["who"] == keeper:
                self._two(row, event)
            else:
                self.later(self._units, event)
        again = bays.get(bay)
        bays[bay] = event
        self.released[unit, bay] = event, self.released.get((unit, bay), (None, None))[1]
        if again is None:
            self._bear(event)

    def _bear(self, event: Event) -> None:
        island, unit = event.more["island"], event.more["unit"]
        rows = self.islands.setdefault(island, {})
        sums = self.sums.setdefault(island, dict.fromkeys(("bays", *BEARS), 0))
        rows[unit, event.more["bay"]] = event
        sums["bays"] += 1
        needs, limits = self.needs.get(unit, {}), self.limits.get(island, {})
        for what in BEARS:
            sums[what] += needs.get(what, 0)
        for what in ("bays", *BEARS):
            if (
                what in limits
                and sums[what] > limits[what] + 1e-9
                and (what == "bays" or needs.get(what, 0) > 0)
            ):
                self.find(
                    "island-over",
                    f"{island} bears {limits[what]:g} {what}, {sums[what]:g} are reserved",
                    *rows.values(),
                )
                break

    def _two(self, first: Event, second: Event) -> None:
        self.find(
            "unit-twice",
            f"{second.more['unit']} holds {first.more['bay']} and is given {second.more['bay']}",
            first,
            second,
        )

    def _units(self, event: Event) -> None:
        """Another keeper had given the same unit a bay: was it surely not released before?"""
        unit, bay = event.more["unit"], event.more["bay"]
        bays = self.units.get(unit, {})
        if bays.get(bay) is not event:
            return
        for other, row in bays.items():
            if other != bay and row.at <= event.at:
                self._two(row, event)
                return

    def _release(self, event: Event) -> None:
        more = event.more
        unit, bay = more["unit"], more["bay"]
        row = self.units.get(unit, {}).get(bay)
        if row is None:
            return
        until, told = self.holds.pop(unit, (NEVER, row))
        if row.more.get("until", NEVER) > until:
            until, told = row.more["until"], row
        # A hold is told by the clock of who has it.
        if more.get("why") == "lease" and event.at < until - (0 if told is row else 2 * self.skew):
            self.find(
                "released-early",
                f"{bay} was taken from {unit} {(until - event.at) / 10:g} ms before its lease ended",
                told,
                event,
            )
        self._warmed((unit, bay), event.at)
        del self.units[unit][bay]
        if self.bays.get(bay) is row:
            del self.bays[bay]
        self.released[unit, bay] = self.released[unit, bay][0], event
        island = row.more["island"]
        if self.islands.get(island, {}).pop((unit, bay), None) is not None:
            sums, needs = self.sums[island], self.needs.get(unit, {})
            sums["bays"] -= 1
            for what in BEARS:
                sums[what] -= needs.get(what, 0)

    def _hold(self, event: Event) -> None:
        until = event.more["until"]
        if until > self.holds.get(event.more["unit"], (NEVER, event))[0]:
            self.holds[event.more["unit"]] = until, event

    def _walked(self, event: Event) -> None:
        if event.what == "bay.warm":
            self.later(self._warm, event)
        elif event.what == "bay.serve":
            self._warmed((event.more["unit"], event.more["bay"]), event.at)
        if event.what != "bay.serve":
            self.last[event.what, (event.more["unit"], event.more["bay"])] = event.at
        self.later(self._in_order, event)

    def _out(self, event: Event) -> None:
        self.last["bay.out", (event.more["unit"], event.more["bay"])] = event.at
        self._warmed((event.more["unit"], event.more["bay"]), event.at)

    def _in_order(self, event: Event) -> None:
        unit, bay = event.more["unit"], event.more["bay"]
        slack = 2 * self.skew
        reserved, released = self.released.get((unit, bay), (None, None))
        if reserved is None or reserved.at > event.at + slack:
            self.find("unreserved", f"{event.what} of {unit} in {bay}: no reservation is kept for it", event)
        elif released is not None and reserved.at <= released.at < event.at - slack:
            self.find(
                "unreserved",
                f"{event.what} of {unit} in {bay} {(event.at - released.at) / 10:g} ms after its "
                "reservation ended",
                reserved,
                released,
                event,
            )
        before = NEEDS.get(event.what)
        if before is None:
            return
        did = self.last.get((before, (unit, bay)), NEVER)
        out = self.last.get(("bay.out", (unit, bay)), NEVER)
        if did == NEVER or did > event.at + slack or did < out < event.at - slack:
            self.find("step-order", f"{event.what} of {unit} in {bay} without {before} before it", event)

    def _step(self, event: Event) -> None:
        more = event.more
        if more["state"] == "done":
            self.done_steps.setdefault(more["plan"], {})[more["step"]] = event
        elif more["state"] == "begun" and more.get("after"):
            self.later(self._after, event)

    def _after(self, event: Event) -> None:
        more = event.more
        steps = self.done_steps.get(more["plan"], {})
        for step in more["after"]:
            row = steps.get(step)
            if row is None or row.at > event.at + 2 * self.skew:
                self.find(
                    "step-order",
                    f"step {more['step']} of plan {more['plan']} began and {step} was not done",
                    event,
                )
                return
