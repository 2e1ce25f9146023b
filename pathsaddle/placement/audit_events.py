"""What a change of the book was, as events that a checker reads (the words of docs/histories.md). The keeper
writes them in the order in which changes became true. Pure.

Beside the common words: `island.lost`, `island.back`; `bay.leave`: the unit takes nothing new from now on;
`bay.fail`; `planner.did`: any other change by a planner, with its number; `plan.step` carries `widest`,
`target` and `why`; a reservation's `revision` and `now` are the book's `base`.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from pathsaddle.placement.errors import PlanRejectedError
from pathsaddle.placement.inventory import Island, State, Unit
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import PLACE, done

Row = tuple[str, dict[str, Any]]
KEEPER = "k"


def limits(island: Island) -> Row:
    return "island.limits", {
        "island": island.name,
        "zone": island.zone,
        "bays": len(island.bays),
        "power": island.power,
        "ports": island.ports,
        "carries": island.carries,
    }


def opening(book: PlacementState) -> list[Row]:
    """All that stands there at first."""
    rows = [limits(island) for island in book.inventory.islands]
    rows += [("cold.budget", {"units": book.inventory.cold})]
    for unit in book.inventory.units:
        rows.append(_needs(book, unit))
        if unit.bay:
            was = _bare(unit)
            # As it must have come about.
            for state in (State.INSTALLING, State.COLD) if unit.state is State.SERVING else ():
                rows += _moved(book, was, was := replace(unit, state=state))
            rows += _moved(book, was, unit)
    return rows


def _bare(unit: Unit) -> Unit:
    return Unit(unit.name, unit.kind, State.HERE)


def _needs(book: PlacementState, unit: Unit) -> Row:
    kind = book.inventory.kind[unit.kind]
    return "unit.needs", {
        "unit": unit.name,
        "kind": kind.name,
        "slots": kind.slots,
        "power": kind.power,
        "ports": kind.ports,
        "carries": kind.carries,
    }


def _moved(book: PlacementState, was: Unit, unit: Unit, **more: Any) -> list[Row]:
    """The rows of one unit's change."""
    rows: list[Row] = []
    named = {"unit": unit.name}
    if was.bay and was.bay != unit.bay:
        if was.state is not State.RESERVED:
            rows.append(("bay.out", named | {"bay": was.bay}))
        rows.append(("bay.release", named | {"bay": was.bay, "why": more.get("why", "word")}))
    if not unit.bay:
        return rows
    bay = named | {"bay": unit.bay, "island": book.inventory.island_of[unit.bay].name}
    if was.bay != unit.bay:
        # What an island found is no planner's doing: it is told under the number that counts.
        word = more.get("word", True)
        number = book.number if word else unit.number
        rows.append(
            (
                "bay.reserve",
                bay
                | {
                    "by": KEEPER if word else f"p{number}",
                    "number": number,
                    "taken": True,
                    "revision": more.get("base", book.inventory.base),
                    "now": more.get("now", book.inventory.base),
                    "word": word,
                },
            )
        )
    if unit.state is not was.state or was.bay != unit.bay:
        for state, what in (
            (State.INSTALLING, "bay.install"),
            (State.COLD, "bay.warm"),
            (State.SERVING, "bay.serve"),
            (State.FAILING, "bay.fail"),
            (State.WITHDRAWN, "bay.leave"),
        ):
            if unit.state is state:
                rows.append((what, bay | ({"step": more["step"]} if "step" in more else {})))
    return rows


def told(does: str, words: tuple[Any, ...], before: PlacementState, after: PlacementState) -> list[Row]:
    """From before a change to after it."""
    rows: list[Row] = []
    if does == "take":
        rows.append(("planner", {"number": words[0]}))
    if does == "replaced" and after.plan is not None:
        new = after.plan
        rows.append(
            (
                "plan.new",
                {
                    "plan": new.name,
                    "number": new.number,
                    "revision": new.base,
                    "by": new.by,
                    "gap": new.gap,
                    "steps": len(new.steps),
                    "notes": list(new.notes),
                },
            )
        )
    if does in ("renew", "lapse", "cold"):
        rows.append(("planner.did", {"does": does, "number": words[0]}))
    more: dict[str, Any] = {}
    if does in ("reserve", "withdraw"):
        number, base, name, at = words
        plan = before.plan
        assert plan is not None
        step = plan.steps[at]
        rows.append(
            (
                "plan.step",
                {
                    "plan": name,
                    "step": at,
                    "state": "begun",
                    "does": "reserve" if does == "reserve" else "release",
                    "unit": step.unit,
                    "bay": step.bay,
                    "number": number,
                    "widest": step.widest,
                    "target": plan.target,
                    "why": step.why,
                    "after": list(step.after),
                    "before": [
                        [plan.steps[one].does, plan.steps[one].unit, plan.steps[one].bay]
                        for one in step.after
                    ],
                },
            )
        )
        more = {"base": min(base, plan.base), "now": before.inventory.base, "word": False, "step": at}
    if does == "lapse":
        more = {"why": "lease"}
    known = {island.name: island for island in before.inventory.islands}
    for island in after.inventory.islands:
        was = known.get(island.name)
        if was != island:
            rows.append(limits(island))
            if (was is None or was.up) != island.up:
                rows.append(("island.back" if island.up else "island.lost", {"island": island.name}))
    for unit in after.inventory.units:
        old = before.inventory.unit.get(unit.name)
        if old is None:
            rows.append(_needs(after, unit))
        elif old is not unit and old != unit:
            rows += _moved(after, old, unit, **more)
    if does in ("warmed", "pulled", "replaced") and after.plan is not None:
        for at, step in enumerate(after.plan.steps):
            # Of a new plan, what became so between its look and now.
            if done(after.inventory, step) and (
                does == "replaced" or (step.unit == words[0] and not done(before.inventory, step))
            ):
                rows.append(
                    (
                        "plan.step",
                        {
                            "plan": after.plan.name,
                            "step": at,
                            "state": "done",
                            "unit": step.unit,
                            "does": "serve" if step.does == PLACE else "release",
                            "bay": step.bay,
                        },
                    )
                )
    return rows


def refused(does: str, words: tuple[Any, ...], before: PlacementState, why: PlanRejectedError) -> list[Row]:
    """What a planner asked for and did not get: nothing was changed."""
    rows: list[Row] = [("refused", {"does": does, "why": why.why, "more": str(why)})]
    if (
        does == "reserve"
        and before.plan is not None
        and words[2] == before.plan.name
        and before.plan.steps[words[3]].does == PLACE
    ):
        step = before.plan.steps[words[3]]
        island = before.inventory.island_of.get(step.bay)
        rows.append(
            (
                "bay.reserve",
                {
                    "unit": step.unit,
                    "bay": step.bay,
                    "island": island.name if island else "",
                    "by": f"p{words[0]}",
                    "number": words[0],
                    "revision": words[1],
                    "now": before.inventory.base,
                    "taken": False,
                },
            )
        )
    return rows
