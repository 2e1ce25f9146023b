"""Plays a plan of overload on its virtual ground, judges each run from its log alone,
and prints the figures last.

`python -m pathsaddle experiment run experiments/overload-smoke.toml`; it ends with 0 only if every
bound held in every run and each mutant was found under its name.
`python -m pathsaddle.emulator.overload.smoke PLAN --policy NAME` plays a baseline instead; `--json` prints rows.
"""

from __future__ import annotations

import json
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec

from pathsaddle.emulator.overload.ground import Ground
from pathsaddle.emulator.overload.judge import Judge, cut_off
from pathsaddle.emulator.overload.plan import POLICIES, Plan, Smoke, of
from pathsaddle.fleet.overload.errors import InvalidPlanError

AT_ONCE = min(8, os.cpu_count() or 4)


def judged(plan: Plan, seed: int) -> Judge:
    judge = Judge()
    judge.read(Ground(plan, seed).run().rows)
    return judge


def play(plan: Plan, seed: int) -> dict[str, Any]:
    """One run's row: what broke, and the figures. cut: what those cut off earned against each alone."""
    began = time.process_time()
    judge = judged(plan, seed)
    cpu = time.process_time() - began
    row: dict[str, Any] = {
        "plan": plan.name,
        "seed": seed,
        "policy": plan.policy,
        "mutant": plan.mutant,
        "cpu": cpu,
    }
    if judge.by_member and plan.policy == "fleet":
        row["cut"] = cut_off(judge, judged(msgspec.structs.replace(plan, policy="alone"), seed))
    row |= {
        "broken": judge.broken,
        "first": [
            f"{bound} at {at / 10_000:.2f} s: {what}"
            for bound in judge.broken
            for bound_, at, what in judge.found
            if bound_ == bound
        ][:4],
    }
    return row | asdict(judge.figures)


def main(words: list[str]) -> int:
    options = [word for word in words if word.startswith("--")]
    names = [word for word in words if not word.startswith("--")]
    if not names:
        raise InvalidPlanError(
            "no plan is named", "name its file after the command, such as experiments/overload-smoke.toml"
        )
    smoke = of(Path(names[0]))
    policy = names[1] if "--policy" in options and len(names) > 1 else ""
    if policy and policy not in POLICIES:
        raise InvalidPlanError(
            f"--policy: no policy is called {policy!r}", f"write after --policy one of {', '.join(POLICIES)}"
        )
    return run(smoke, policy, "--json" in options)


def run(smoke: Smoke, policy: str = "", as_json: bool = False) -> int:
    """The end code: 0 only if every bound held and each mutant was found; figures printed last."""
    began = time.monotonic()
    runs = [
        (msgspec.structs.replace(plan, policy=policy) if policy else plan, seed)
        for plan in smoke.plans
        for seed in smoke.seeds
    ]
    by_name = {plan.name: plan for plan in smoke.plans}
    mutants = (
        []
        if policy
        else [
            (msgspec.structs.replace(by_name[on], mutant=mutant), smoke.seeds[0])
            for mutant, (_, on) in smoke.mutants.items()
        ]
    )
    with ProcessPoolExecutor(AT_ONCE) as pool:
        rows = list(pool.map(play, *zip(*runs + mutants, strict=True)))
    good = True
    for row in rows:
        if as_json:
            print(json.dumps(row))
        if row["mutant"]:
            bound, _ = smoke.mutants[row["mutant"]]
            caught = bound in row["broken"]
            good = good and caught
            print(
                f"mutant {row['mutant']}: {'found' if caught else 'NOT FOUND'} under {bound} "
                f"({row['broken']})"
            )
        elif row["broken"] and policy in ("", "fleet"):
            good = False
            print(f"BROKEN {row['plan']} seed {row['seed']}: {'; '.join(row['first'])}")
    print(
        f"{'plan':<14}{'earned':>8}{'spread':>15}{'on time':>9}{'inverted':>10}{'least':>7}{'wasted':>8}"
        f"{'repeats':>9}{'trials':>8}{'looks':>8}{'back s':>8}{'cut':>7}{'B/s':>8}{'cpu s':>7}"
    )
    for plan in smoke.plans:
        mine = [row for row in rows if row["plan"] == plan.name and not row["mutant"]]
        parts = [row["earned"] / row["offered"] for row in mine]

        def mean(name: str, of: list[dict[str, Any]] = mine) -> float:
            return sum(float(row[name]) for row in of) / len(of)

        backs = [row["back"] for row in mine]
        back = "-" if min(backs) < -1 else "never" if min(backs) < 0 else f"{max(backs):.2f}"
        cut = f"{min(row['cut'] for row in mine):.3f}" if "cut" in mine[0] else "-"
        print(
            f"{plan.name:<14}{sum(parts) / len(parts):>8.3f}{f'{min(parts):.3f}..{max(parts):.3f}':>15}"
            f"{mean('on_time') / mean('offered'):>9.3f}{mean('inverted') / mean('offered'):>10.3f}"
            f"{mean('least'):>7.2f}{mean('wasted'):>8.4f}{mean('repeats'):>9.0f}{mean('trials'):>8.0f}"
            f"{mean('looks'):>8.0f}{back:>8}{cut:>7}{mean('bytes'):>8.0f}{mean('cpu'):>7.2f}"
        )
    held = "all bounds held" if good else "BROKEN"
    print(
        f"{len(rows)} runs in {time.monotonic() - began:.1f} s, emulated: "
        f"{policy + ', not judged' if policy not in ('', 'fleet') else held}"
    )
    return 0 if good else 1


if __name__ == "__main__":
    try:
        sys.exit(main(sys.argv[1:]))
    except InvalidPlanError as fault:
        print(fault, file=sys.stderr)
        sys.exit(fault.code)
