"""python -m pathsaddle experiment run PLAN (ground = "settings"): worlds of keepers and members over seeds, judged from their
logs alone, each mutant found under its bound, figures last. Exits 0 only if no bound is broken and every mutant is found.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from pathsaddle.config.validation import (
    InvalidConfigError,
    NotAllowedValueError,
    WrongTypeError,
    display_value,
    load_toml,
)
from pathsaddle.emulator.settings.judge import judge
from pathsaddle.emulator.settings.mutants import MUTANTS, planted
from pathsaddle.emulator.settings.world import SECOND, Plan, World


class Seeds(msgspec.Struct, forbid_unknown_fields=True):
    """count worlds from seed `first` on, of that plan."""

    count: int
    first: int = 0
    plan: Plan = Plan()


class Told(msgspec.Struct, forbid_unknown_fields=True):
    """mutants: by name, each played on its own plan over `tries` seeds until it is found. depth: of the model checking."""

    name: str
    ground: str
    about: str = ""
    seeds: list[Seeds] = []
    mutants: list[str] = []
    tries: int = 60
    depth: int = 0


def read(path: str | Path) -> Told:
    """Raises Faulty."""
    try:
        told = msgspec.convert(load_toml(path), Told)
    except msgspec.ValidationError as fault:
        text, _, at = str(fault).partition(" - at ")
        raise InvalidConfigError(
            [
                WrongTypeError(
                    str(path),
                    at.strip("`").removeprefix("$.") or "plan",
                    shown="a value",
                    may=f"what docs/settings-store.md says ({text})",
                )
            ]
        ) from None
    for name in told.mutants:
        if name not in MUTANTS:
            raise InvalidConfigError(
                [
                    NotAllowedValueError(
                        str(path), "mutants", shown=display_value(name), may=f"of {', '.join(MUTANTS)}"
                    )
                ]
            )
    return told


def waits(world: World) -> list[float]:
    """Seconds from each commit until it, or a later one, was told in force somewhere; those that never were are left out."""
    since = {
        event.more["revision"]: event.at
        for event in world.events.rows
        if event.what == "set" and event.at > 0
    }
    found: dict[int, float] = {}
    for event in world.events.rows:
        if event.what == "force":
            for revision, at in since.items():
                if revision <= event.more["revision"] and revision not in found:
                    found[revision] = (event.at - at) / SECOND
    return sorted(found.values())


def play(told: Told) -> int:
    """0, or 1 for a finding."""
    broken = 0
    for one in told.seeds:
        took: list[float] = []
        count = bad = 0
        for seed in range(one.first, one.first + one.count):
            world = World(one.plan, seed).run()
            findings = judge(world.events.rows)
            for finding in findings[:2]:
                print(f"members {one.plan.members}, seed {seed}: {finding.bound}: {finding.text}")
            bad += bool(findings)
            count += world.cell.revision
            took += waits(world)
        took.sort()
        broken += bad
        print(
            f"members {one.plan.members}: {one.count} seeds, {count} revisions, {bad} with a broken bound; in force after "
            f"p50 {at(took, 0.5):.2f}, p99 {at(took, 0.99):.2f}, most {at(took, 1.0):.2f} s (emulated, faults among them)"
        )
    for name in told.mutants:
        bound, _, plan = MUTANTS[name]
        with planted(name):
            found = next(
                (
                    seed
                    for seed in range(told.tries)
                    if any(
                        one.bound == bound
                        for one in judge(World(plan, seed).run().events.rows, last=bound == "stuck")
                    )
                ),
                None,
            )
        broken += found is None
        print(
            f"mutant {name!r}: "
            + (f"not found in {told.tries} seeds" if found is None else f"{bound}, by seed {found}")
        )
    print("every bound holds, every mutant is found" if not broken else f"{broken} findings")
    return int(broken > 0)


def at(sorted_values: list[float], part: float) -> float:
    return (
        sorted_values[min(len(sorted_values) - 1, int(part * len(sorted_values)))] if sorted_values else 0.0
    )
