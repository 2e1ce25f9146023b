"""The whole program on its virtual ground, each dispatcher's Choice with the gate and without: one plan, paired.

`python -m pathsaddle.experiment.overload PLAN.toml RATE [SEED...]`, with the rate that can be served, txns a second.
Under the four rules as the emulator's judge has them; how the gates hear of one another: `emulator.overload.gated`.
"""

from __future__ import annotations

import sys
import tomllib
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from pathsaddle.emulator.overload.gated import gated
from pathsaddle.experiment.run import Task, perform


def one(plan: dict[str, Any], seed: int, rate: float) -> dict[str, Any]:
    """Rate 0: without the gate."""
    task = Task(plan, {"name": "base"}, seed, "virtual", "", ".")
    if not rate:
        result = perform(task)
    else:
        with gated(rate):
            result = perform(task)
    return result.verdict | {"fault": result.fault}


def main(words: list[str]) -> int:
    plan = tomllib.loads(Path(words[0]).read_text(encoding="utf-8"))
    rate = float(words[1])
    seeds = [int(word) for word in words[2:]] or list(plan["seeds"])
    with ProcessPoolExecutor(4) as pool:
        off = list(pool.map(one, [plan] * len(seeds), seeds, [0.0] * len(seeds)))
        on = list(pool.map(one, [plan] * len(seeds), seeds, [rate] * len(seeds)))
    good = True
    for seed, alone, fleet in zip(seeds, off, on, strict=True):
        findings = fleet.get("findings") or []
        good = good and not findings and not fleet["fault"]
        parts = [row["whole"]["value"] / row["whole"]["asked_value"] for row in (alone, fleet)]
        print(
            f"seed {seed}: value in time off {parts[0]:.3f}, on {parts[1]:.3f}; findings off "
            f"{len(alone.get('findings') or [])}, on {len(findings)} {findings[:2]} {fleet['fault'][-300:]}"
        )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
