"""Two sets of results, seed by seed: paired differences with bootstrap intervals."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from pathsaddle.experiment.keep import NoResults, NoSeeds, Result, Store

RESAMPLES = 10_000
FIGURES: dict[str, tuple[Callable[[Result], float], bool]] = {  # and whether more is better
    "value": (lambda r: float(r.verdict["part"]), True),
    "settled": (lambda r: r.verdict["whole"]["settled"] / max(1, r.verdict["whole"]["jobs"]), True),
    "declined tries": (lambda r: r.verdict["declines"] / max(1, r.verdict["tries"]), False),
    "postings a try": (lambda r: r.verdict["postings"] / max(1, r.verdict["tries"]), False),
    "p50 ms": (lambda r: float(r.verdict["whole"]["p50"]), False),
    "p99 ms": (lambda r: float(r.verdict["whole"]["p99"]), False),
}


@dataclass(frozen=True)
class Difference:
    """What B has more than A of one figure: the mean over seeds, and where it lies in 95 of 100 resamples."""

    figure: str
    a: float
    b: float
    mean: float
    low: float
    high: float
    seeds: int


def choose(told: str) -> list[Result]:
    """Results of `FILE` or `FILE:VARIANT`, the last one of each seed; raises NoResults, Unkept."""
    path, _, variant = told.partition(":")
    found: dict[int, Result] = {}
    variant = variant or "base"
    for result in Store(Path(path)).read(must=True):
        if result.variant == variant and not result.fault:
            found[result.seed] = result
    if not found:
        raise NoResults(path=path, variant=f"the variant {variant!r}")
    return [found[seed] for seed in sorted(found)]


def compare(one: list[Result], other: list[Result], seed: int = 1) -> list[Difference]:
    """Raises NoSeeds where they have no seed in common."""
    import numpy as np

    a, b = {r.seed: r for r in one}, {r.seed: r for r in other}
    seeds = [s for s in sorted(a) if s in b]
    if not seeds:
        raise NoSeeds(a=f"{one[0].plan}:{one[0].variant}", b=f"{other[0].plan}:{other[0].variant}")
    chance = np.random.default_rng(seed)
    draws = chance.integers(0, len(seeds), (RESAMPLES, len(seeds)))
    found = []
    for name, (figure, _) in FIGURES.items():
        left = np.array([figure(a[s]) for s in seeds])
        right = np.array([figure(b[s]) for s in seeds])
        gaps = right - left
        low, high = np.percentile(gaps[draws].mean(axis=1), [2.5, 97.5])
        found.append(
            Difference(
                name,
                float(left.mean()),
                float(right.mean()),
                float(gaps.mean()),
                float(low),
                float(high),
                len(seeds),
            )
        )
    return found
