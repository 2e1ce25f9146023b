"""Runs a plan of federated regions on the virtual ground: `python -m pathsaddle experiment run PLAN`.

Each course of trouble, load and seed is played off, plain and on with the same clients; each log is judged
alone. Figures come last; exit 0 only if every bound holds, 1 for one that doesn't, 2 for a plan that can't be
used.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from contextlib import AbstractContextManager, nullcontext
from typing import Any, Literal

import msgspec

from pathsaddle.config.validation import InvalidConfigError, NotAllowedValueError, load_toml, validate
from pathsaddle.emulator.federation.judge import earned, judged, lent, turned
from pathsaddle.emulator.federation.mutants import MUTANTS, mutant, shown_in
from pathsaddle.emulator.federation.plans import COURSES, Plan, any_course
from pathsaddle.emulator.federation.world import World
from pathsaddle.emulator.steps import Steps
from pathsaddle.federation.model_checker import InvariantViolationError
from pathsaddle.federation.model_checker import check as every_order
from pathsaddle.scheduler_types import SECOND

HOWS = ("off", "plain", "on")


class BoundsForm(msgspec.Struct, kw_only=True):
    """What must hold beside the judge's findings.

    lenders: the most that a region that lost nothing may lose of its own value against off.
    of_free: the least of what free capacity abroad could serve that is served, where a region is lost.
    over: seconds until the first job of a lost region runs elsewhere. home: until 95% run at home once
      it is back.
    turns: how often a dispatcher may take a region for lost or back in one course, on the mean.
    lines: the most lines of Python that the courses on (at the first load and seed) and the model of versions
      run together, as `emulator/steps.py` counts them: the same on any machine. Not said: not counted.
    """

    lenders: float = 0.01
    of_free: float = 0.8
    over: float = 3.0
    home: float = 12.0
    turns: float = 4.0
    lines: int | None = None


class SmokeForm(msgspec.Struct, kw_only=True):
    """A plan.

    name, about: told with its figures. members: dispatchers a region. seconds: of each run. loads,
    seeds, courses: each
    with each; hows: the variants. any: seeds of courses drawn by chance, judged, not measured; kept:
    further ones of them that found something. mutants:
    seeds that each
    mutant may need until it is found; 0: none are run. depth: of the model of versions, with three
    members.
    bounds: beside the judge's. ground: federation.
    """

    name: str
    ground: Literal["federation"] = "federation"
    about: str = ""
    members: int = 5
    seconds: int = 60
    loads: list[float] = msgspec.field(default_factory=lambda: [0.7])
    seeds: list[int] = msgspec.field(default_factory=lambda: [1])
    courses: list[str] = msgspec.field(default_factory=lambda: ["lost"])
    hows: list[str] = msgspec.field(default_factory=lambda: ["off", "on"])
    any: int = 0
    kept: list[int] = []
    mutants: int = 0
    depth: int = 0
    bounds: BoundsForm = msgspec.field(default_factory=BoundsForm)


def spread(values: list[float], digits: int = 3) -> str:
    if not values:
        return "-"
    mean = sum(values) / len(values)
    return f"{mean:.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"


def says(line: str) -> None:
    print(line, flush=True)


def played(plan: SmokeForm, course: str, at: float, how: str, seed: int) -> dict[str, Any]:
    """One run's figures, within the trouble: from the first one's beginning to the last one's end."""
    troubles = COURSES[course]
    world = World(Plan(members=plan.members, load=at, how=how, troubles=troubles, seconds=plan.seconds), seed)
    rows = world.run().rows
    since = int(min((one.at for one in troubles), default=0) * SECOND)
    until = int(max((one.at + one.long for one in troubles), default=plan.seconds) * SECOND)
    got = earned(rows, since, until)
    lost = sorted({one.region for one in troubles if one.kind == "lost"})
    touched = {one.region for one in troubles} | {one.to for one in troubles}
    regions = {region: row["of_own"] / max(1.0, row["own"]) for region, row in sorted(got["regions"].items())}
    figures: dict[str, Any] = {
        "share": got["share"],
        "regions": regions,
        "counts": got["counts"],
        "in_vain": got["in_vain"],
        "broken": judged(rows) if how == "on" else Counter(),
        "touched": touched,
        "lost": lost,
        "turns": sum(member.ways.turns for member in world.members.values()) / len(world.members),
    }
    if len(lost) == 1 and course == "lost":
        slots = 4 * plan.members
        first = troubles[0]
        begin, end = int(first.at * SECOND), int((first.at + first.long) * SECOND)
        table = lent(rows, slots, begin, end)
        free = sum(row[1] for region, row in table.items() if region != lost[0])
        used = sum(row[0] for region, row in table.items() if region != lost[0])
        row = earned(rows, begin, end)["regions"][lost[0]]
        # What each of them truly took there, its fetch included.
        needed = (
            row["jobs"] * used / max(1, sum(told[2] for region, told in table.items() if region != lost[0]))
        )
        figures["used"] = used / max(1e-9, free)
        figures["of_free"] = row["of_declared"] / row["declared"] / min(1.0, free / max(1e-9, needed))
        figures["over"], figures["home"] = turned(rows, lost[0], begin, end)
    return figures


def counting(bounds: BoundsForm, steps: Steps, first: bool = True) -> AbstractContextManager[object]:
    """Only where a bound asks for it: what is counted takes three times as long."""
    return steps if first and bounds.lines is not None else nullcontext()


def run(plan: SmokeForm) -> list[str]:
    """All that doesn't hold; prints the figures."""
    wrong: list[str] = []
    bounds, steps = plan.bounds, Steps()
    for course in plan.courses:
        for at in plan.loads:
            table: dict[str, list[dict[str, Any]]] = {how: [] for how in plan.hows}
            for seed in plan.seeds:
                for how in plan.hows:
                    first = how == "on" and (at, seed) == (plan.loads[0], plan.seeds[0])
                    with counting(bounds, steps, first):
                        found = played(plan, course, at, how, seed)
                    table[how].append(found)
                    for name, count in sorted(found["broken"].items()):
                        wrong.append(f"{course} at {at}, seed {seed}: {name}, {count} times")
            told = [f"{course} at {at}:"]
            told += [f"value {how} {spread([row['share'] for row in table[how]])}" for how in plan.hows]
            on = table.get("on", [])
            for how in plan.hows if "off" in table else ():
                losses = [
                    off["regions"][region] - row["regions"][region]
                    for off, row in zip(table["off"], table[how], strict=True)
                    for region in sorted(row["regions"])
                    if region not in row["touched"]
                ]
                if losses and how != "off":
                    told.append(f"lenders lose {how} {spread(losses, 4)}")
                    if how == "on" and sum(losses) / len(losses) > bounds.lenders:
                        wrong.append(
                            f"{course} at {at}: lenders lose {sum(losses) / len(losses):.4f} of their own"
                        )
            if on and "of_free" in on[0]:
                figures = [row["of_free"] for row in on]
                told += [
                    f"of what free capacity could serve {spread(figures)}",
                    f"of its time used {spread([row['used'] for row in on])}",
                    f"failing over {spread([row['over'] for row in on], 2)} s",
                    f"home {spread([row['home'] for row in on], 1)} s",
                ]
                if sum(figures) / len(figures) < bounds.of_free:
                    wrong.append(
                        f"{course} at {at}: {sum(figures) / len(figures):.3f} of what free capacity could serve"
                    )
                if any(not 0 <= row["over"] <= bounds.over for row in on):
                    wrong.append(f"{course} at {at}: failing over took more than {bounds.over} s")
                if any(not 0 <= row["home"] <= bounds.home for row in on):
                    wrong.append(f"{course} at {at}: going home took more than {bounds.home} s")
            if on:
                told += [
                    f"crossings {spread([row['counts']['abroad'] for row in on], 0)}",
                    f"in vain {spread([row['in_vain'] for row in on], 0)}",
                    f"fetches {spread([row['counts']['fetched'] for row in on], 0)}",
                    f"turns {spread([row['turns'] for row in on], 1)}",
                ]
                if sum(row["turns"] for row in on) / len(on) > bounds.turns:
                    wrong.append(f"{course} at {at}: regions are taken for lost and back too often")
            says("  ".join(told))
    for seed in [*range(1, plan.any + 1), *plan.kept]:
        world = World(
            Plan(
                seconds=50, members=3 + seed % 4, load=(0.5, 0.7, 0.85)[seed % 3], troubles=any_course(seed)
            ),
            seed,
        )
        for name, count in sorted(judged(world.run().rows).items()):
            wrong.append(f"any course, seed {seed}: {name}, {count} times")
    if plan.any:
        says(f"any course: {plan.any} seeds judged, and {plan.kept}")
    if plan.depth:
        try:
            with counting(bounds, steps):
                worlds = every_order(plan.depth, 3)
            says(f"versions: {worlds} worlds to depth {plan.depth}")
        except InvariantViolationError as fault:
            wrong.append(f"versions: {fault}")
    for name, (_, finding) in MUTANTS.items():
        caught = ""
        for seed in range(1, plan.mutants + 1) if finding != "model" else ():
            with mutant(name):
                found_by = judged(World(shown_in(name), seed).run().rows)
            if found_by[finding]:
                caught = f"seed {seed}, {found_by[finding]} times"
                break
        if finding == "model" or not plan.mutants:
            continue  # a matter of a few steps in one order: tests/test_federation.py
        says(f"mutant {name}: {finding}: {caught or 'NOT FOUND'}")
        if not caught:
            wrong.append(f"mutant {name} is not found under {finding}")
    if bounds.lines is not None:
        says(f"lines run by the courses on and the model: {steps.lines}, at most {bounds.lines} are stated")
        if steps.lines > bounds.lines:
            wrong.append(f"the courses on and the model ran {steps.lines} lines, more than {bounds.lines}")
    return wrong


def main() -> int:
    if len(sys.argv) != 2:
        print("usage: python -m pathsaddle.emulator.federation.smoke PLAN", file=sys.stderr)
        return 2
    try:
        plan = read(sys.argv[1])
    except InvalidConfigError as fault:
        print(fault, file=sys.stderr)
        return 2
    return play(plan)


def read(path: str) -> SmokeForm:
    """A plan, checked whole. Raises Faulty."""
    plan = validate(SmokeForm, load_toml(path), path)
    if unknown := [
        NotAllowedValueError(path, key, shown=repr(name), may=f"some of {', '.join(known)}")
        for key, told, known in (("courses", plan.courses, COURSES), ("hows", plan.hows, HOWS))
        for name in told
        if name not in known
    ]:
        raise InvalidConfigError([*unknown])
    return plan


def play(plan: SmokeForm) -> int:
    """The end code: 0 only if every bound held; figures printed last."""
    began = time.process_time()
    wrong = run(plan)
    took = time.process_time() - began
    for line in wrong:
        print(f"BROKEN {line}")
    print(f"{plan.name} (emulated): {len(wrong)} bounds broken, {took:.1f} s of processor time")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
