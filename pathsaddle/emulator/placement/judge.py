"""The bounds of placement, from the event log alone: it knows nothing of books, plans or worlds.

One unit a bay, one bay a unit, no island over a limit, no more cold than may be: at every instant. No
reservation under a number lower than one that came before, none on what is no longer so, none ended by a
lease that may still run. No step before those it waits for; at each step the widest job of each kind fits as
the target says, whichever island is lost, or as wide as the step said beforehand, with its reason. Words:
docs/histories.md and `placement.audit_events`.
"""

from __future__ import annotations

from collections.abc import Iterable

from pathsaddle.event_log import Event

Finding = tuple[int, str, str]  # at, name, what


class _Seen:
    def __init__(self) -> None:
        self.limits: dict[str, dict[str, int]] = {}
        self.needs: dict[str, dict[str, int]] = {}
        self.slots: dict[str, tuple[str, int]] = {}
        self.holder: dict[str, str] = {}  # bay: unit
        self.bay: dict[str, str] = {}
        self.island: dict[str, str] = {}  # of a bay
        self.serving: dict[str, str] = {}  # unit: island
        self.cold: dict[str, bool] = {}
        self.budget: int | None = None
        self.lost: dict[str, bool] = {}
        self.top = 0
        self.holds: dict[str, int] = {}
        self.inside: dict[str, str] = {}  # bay: unit, by the islands' own word

    def widest(self, kind: str) -> int:
        sums: dict[str, int] = {}
        for unit, island in self.serving.items():
            if self.slots[unit][0] == kind and not self.lost.get(island):
                sums[island] = sums.get(island, 0) + self.slots[unit][1]
        return sorted([0, 0, *sums.values()])[-2]


def judged(events: Iterable[Event]) -> list[Finding]:
    seen = _Seen()
    found: list[Finding] = []
    begun: Event | None = None
    for event in events:
        at, what, more = event.at, event.what, event.more

        def bad(name: str, text: str, at: int = at) -> None:
            found.append((at, name, text))

        unit, bay = more.get("unit", ""), more.get("bay", "")
        if what == "island.limits":
            seen.limits[more["island"]] = {
                key: more[key] for key in ("power", "ports", "carries") if key in more
            }
        elif what == "unit.needs":
            seen.needs[unit] = {key: more.get(key, 0) for key in ("power", "ports", "carries")}
            seen.slots[unit] = (more.get("kind", ""), more.get("slots", 1))
        elif what == "cold.budget":
            seen.budget = more["units"]
        elif what == "planner" and more["who"] == "k":
            if more["number"] <= seen.top:
                bad("late-planner", f"{more['number']} began after {seen.top}")
            seen.top = max(seen.top, more["number"])
        elif what in ("planner.did", "plan.new"):
            if more["number"] < seen.top:
                bad("late-planner", f"{more.get('does', 'a plan')} under {more['number']} after {seen.top}")
        elif what == "bay.hold":
            seen.holds[unit] = max(seen.holds.get(unit, 0), more["until"])
        elif what == "plan.step" and more["state"] == "begun":
            begun = event
            if more["number"] < seen.top:
                bad(
                    "late-planner",
                    f"step {more['step']} of {more['plan']} under {more['number']} after {seen.top}",
                )
            for does, one, where in more.get("before", ()):
                if not (
                    seen.serving.get(one) and seen.bay.get(one) == where
                    if does == "place"
                    else seen.bay.get(one) != where
                ):
                    bad("step-order", f"step {more['step']} of {more['plan']} before {does} {one} at {where}")
            if more["does"] == "reserve":
                _fits(seen, event, found)
        elif what == "bay.reserve" and more["taken"]:
            if bay in seen.holder:
                bad("bay-twice", f"{bay}: {seen.holder[bay]} and {unit}")
            if unit in seen.bay:
                bad("unit-twice", f"{unit}: {seen.bay[unit]} and {bay}")
            if not more.get("word"):
                if more["number"] < seen.top:
                    bad("late-planner", f"{unit} in {bay} under {more['number']} after {seen.top}")
                if more["revision"] < more["now"]:
                    bad("stale-revision", f"{unit} in {bay} on {more['revision']}, it was {more['now']}")
            seen.holder[bay], seen.bay[unit], seen.island[bay] = unit, bay, more["island"]
            for key, limit in seen.limits.get(more["island"], {}).items():
                drawn = sum(
                    seen.needs[one][key]
                    for where, one in seen.holder.items()
                    if seen.island[where] == more["island"]
                )
                if drawn > limit:
                    bad("island-over", f"{more['island']}: {key} {drawn} of {limit}")
        elif what == "bay.release":
            if more["why"] == "lease" and at < seen.holds.get(unit, 0):
                bad("released-early", f"{unit} in {bay}: held until {seen.holds[unit]}")
            if seen.holder.get(bay) == unit:
                del seen.holder[bay]
            if seen.bay.get(unit) == bay:
                del seen.bay[unit]
            seen.serving.pop(unit, None)
            seen.cold.pop(unit, None)
        elif what in ("bay.install", "bay.warm", "bay.serve"):
            if seen.holder.get(bay) != unit:
                bad("unreserved", f"{unit} in {bay}: {what}")
            seen.cold.pop(unit, None)
            if what == "bay.warm":
                seen.cold[unit] = True
                if seen.budget is not None and len(seen.cold) > seen.budget:
                    bad("cold-over", f"{len(seen.cold)} of {seen.budget}")
            if what == "bay.serve":
                seen.serving[unit] = more["island"]
        elif what in ("bay.leave", "bay.fail"):
            seen.serving.pop(unit, None)
            seen.cold.pop(unit, None)
            if what == "bay.leave" and begun is not None and begun.more["unit"] == unit:
                _fits(seen, begun, found)
        elif what in ("island.lost", "island.back"):
            seen.lost[more["island"]] = what == "island.lost"
        elif what == "island.in":
            if bay in seen.inside:
                bad("bay-twice", f"{bay}: {seen.inside[bay]} and {unit} are both in it")
            seen.inside[bay] = unit
        elif what == "island.out":
            seen.inside.pop(bay, None)
    return found


def _fits(seen: _Seen, step: Event, found: list[Finding]) -> None:
    for kind, width in step.more["target"].items():
        said, fits = step.more["widest"][kind], seen.widest(kind)
        text = f"step {step.more['step']} of {step.more['plan']}: {kind}: {fits} fit, "
        if fits < min(width, said):
            found.append((step.at, "widest-broken", f"{text}{min(width, said)} were to"))
        if said < width and not step.more["why"]:
            found.append((step.at, "widest-unsaid", f"{text}the target is {width}, and no reason was told"))
