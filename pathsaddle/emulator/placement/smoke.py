"""python -m pathsaddle experiment run PLAN (ground = "placement"): worlds of islands over seeds and policies, judged from
their logs alone.

Figures last; exits 0 only if every bound of the plan holds and each mutant is found under its name, 2 for a
bad file.
"""

from __future__ import annotations

import sys
from dataclasses import fields
from pathlib import Path
from statistics import mean
from typing import Annotated, Any, Literal

import msgspec

from pathsaddle.emulator.placement.judge import judged
from pathsaddle.emulator.placement.mutants import MUTANTS
from pathsaddle.emulator.placement.policies import POLICIES
from pathsaddle.emulator.placement.world import Site, Trouble, World
from pathsaddle.errors import why
from pathsaddle.placement.errors import InventoryKeyError, PlacementError
from pathsaddle.placement.inventory_file import read_toml

KEYS = ("ground", "name", "about", "seeds", "policies", "mutants", "site", "trouble", "bounds")
BOUNDS = ("broken", "work", "gap")


class Mutants(msgspec.Struct):
    seeds: int
    site: Site = Site()
    trouble: Trouble = Trouble()


AtLeastOne = msgspec.Meta(min_length=1)
SHAPES: tuple[tuple[str, Any, str], ...] = (  # key, what stands there, in words
    ("ground", Literal["placement"], '"placement"'),
    ("seeds", Annotated[list[int], AtLeastOne], "a list of one whole number or more"),
    ("policies", Annotated[list[str], AtLeastOne], "a list of one policy or more"),
    ("site", Site, "a table of numbers as docs/placement.md has them"),
    ("trouble", Trouble, "a table of numbers as docs/placement.md has them"),
    ("bounds", dict[str, float], "a table of numbers"),
    ("mutants", Mutants, "a table with seeds, a whole number, and site and trouble as above"),
)


def read(path: Path) -> dict[str, Any]:
    """A plan, whole. Raises InventoryUnreadableError, InvalidTomlError or InventoryKeyError."""
    told = read_toml(path)
    for key, kind, may in SHAPES:
        if key not in told and key not in ("seeds", "policies"):
            continue
        try:
            msgspec.convert(told.get(key, []), kind)
        except msgspec.ValidationError as fault:
            text, _, at = str(fault).partition(" - at ")
            raise InventoryKeyError(
                f"{path}: {key}{at.strip('`').removeprefix('$')}: {why(ValueError(text))}",
                f"write {may} at {key} in {path}",
            ) from None
    site, trouble = (
        tuple(one.name for one in fields(Site) if one.name != "trouble"),
        tuple(one.name for one in fields(Trouble)),
    )
    mutants = told.get("mutants", {})
    for name, rows, keys in (
        ("", told, KEYS),
        ("site.", told.get("site", {}), site),
        ("trouble.", told.get("trouble", {}), trouble),
        ("bounds.", told.get("bounds", {}), BOUNDS),
        ("mutants.", mutants, ("seeds", "site", "trouble")),
        ("mutants.site.", mutants.get("site", {}), site),
        ("mutants.trouble.", mutants.get("trouble", {}), trouble),
    ):
        for key in rows:
            if key not in keys:
                raise InventoryKeyError(
                    f"{path}: {name}{key}: no such key",
                    f"take {name}{key} out of {path}; known are {', '.join(keys)}",
                )
    for policy in told.get("policies", ()):
        if policy not in POLICIES:
            raise InventoryKeyError(
                f"{path}: policies: no policy is called `{policy}`",
                f"write some of {', '.join(POLICIES)} at policies in {path}",
            )
    return told


def run(told: dict[str, Any]) -> tuple[list[str], bool]:
    """(lines, whether all bounds hold)."""
    lines: list[str] = []
    trouble = Trouble(**told.get("trouble", {}))
    site = Site(trouble=trouble, **told.get("site", {}))
    bounds = told.get("bounds", {})
    holds, broken, gap, least = True, 0, 0.0, 1.0
    figures: dict[str, list[dict[str, float]]] = {}
    for seed in told["seeds"]:
        for policy in told["policies"]:
            world = World(site, seed, POLICIES[policy]).ran()
            found = judged(world.events.rows)
            broken += len(found)
            for at, name, what in found[:5]:
                lines.append(f"BROKEN seed {seed}, {policy}, at {at}: {name}: {what}")
            measured = world.measured()
            figures.setdefault(policy, []).append(measured)
            if policy == "plan":
                least = min(least, measured["work"])
                gap = max(
                    [gap, *(event.more["gap"] for event in world.events.rows if event.what == "plan.new")]
                )
    # On ground of their own: long walks and planners that stand still,
    # with little else that would end a plan first.
    mutants = told.get("mutants", {})
    theirs = Site(trouble=Trouble(**mutants.get("trouble", {})), **mutants.get("site", {}))
    for name, (book, walk, policy, want) in MUTANTS.items() if mutants else ():
        caught = next(
            (
                seed
                for seed in range(1, mutants["seeds"] + 1)
                if want
                in {
                    row[1]
                    for row in judged(
                        World(theirs, seed, POLICIES[policy], book=book, walk=walk).ran().events.rows
                    )
                }
            ),
            0,
        )
        holds = holds and caught > 0
        lines.append(
            f"mutant {name}: " + (f"found as {want}, seed {caught}" if caught else f"NOT FOUND as {want}")
        )
    names = list(next(iter(figures.values()))[0])
    lines.append(f"{'emulated, mean over seeds':26}" + "".join(f"{name:>10}" for name in names))
    for policy, rows in figures.items():
        lines.append(f"{policy:26}" + "".join(f"{mean(row[name] for row in rows):10.3f}" for name in names))
    for name, value, bound, good in (
        ("broken", broken, bounds.get("broken", 0), broken <= bounds.get("broken", 0)),
        ("work", least, bounds.get("work", 0.0), least >= bounds.get("work", 0.0)),
        ("gap", gap, bounds.get("gap", 1.0), gap <= bounds.get("gap", 1.0)),
    ):
        holds = holds and good
        lines.append(f"{'holds' if good else 'FAILS'}  {name} {value:.4g} (bound {bound})")
    return lines, holds


def main(words: list[str]) -> int:
    if len(words) != 1:
        print("usage: python -m pathsaddle.emulator.placement.smoke PLAN", file=sys.stderr)
        return 2
    try:
        told = read(Path(words[0]))
    except PlacementError as fault:
        print(fault, file=sys.stderr)
        return fault.code
    return play(told)


def play(told: dict[str, Any]) -> int:
    """The end code: 0 only if all bounds hold; figures printed last."""
    lines, holds = run(told)
    print("\n".join(lines))
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
