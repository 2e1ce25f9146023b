"""The ground under three regions: one heap of moments, ways that are slow, lossy, cut or flapping, clocks
that run off.

Deterministic: all chance comes from one Random, same seed, same events. Times in ticks; `Clock` is a member's
own.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pathsaddle.scheduler_types import MILLISECOND


@dataclass(frozen=True)
class Clock:
    """A monotonic clock that started anywhere and runs off by `rate`."""

    offset: int
    rate: float

    def own(self, true: int) -> int:
        return self.offset + int(true * (1 + self.rate))

    def true(self, own: int) -> int:
        return int((own - self.offset) / (1 + self.rate))


@dataclass
class Path:
    """One direction between two regions. cuts: (from, until, period): down then; with a period: every other
    of it.
    """

    delay: int
    jitter: int
    loss: float = 0.0
    doubled: float = 0.01
    slow: float = 1.0
    cuts: list[tuple[int, int, int]] = field(default_factory=list)

    def up(self, now: int) -> bool:
        return not any(
            since <= now < until and (not period or (now - since) // period % 2 == 0)
            for since, until, period in self.cuts
        )


class Ground:
    def __init__(self, regions: list[str], seed: int) -> None:
        self.now = 0
        self.chance = Random(seed)
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        self.paths = {
            (a, b): Path(30 * MILLISECOND + 10 * MILLISECOND * (i + j), 6 * MILLISECOND)
            for i, a in enumerate(regions)
            for j, b in enumerate(regions)
            if a != b
        }

    def at(self, moment: int, call: Callable[..., None], *told: Any) -> None:
        self._count += 1
        heapq.heappush(self._heap, (max(moment, self.now), self._count, call, told))

    def after(self, ticks: int, call: Callable[..., None], *told: Any) -> None:
        self.at(self.now + ticks, call, *told)

    def carries(self, a: str, b: str, call: Callable[..., None], *told: Any) -> None:
        """A message from region to region: late, lost, doubled as the way has it; within one: soon."""
        if a == b:
            self.after(self.chance.randint(MILLISECOND // 2, 2 * MILLISECOND), call, *told)
            return
        path = self.paths[a, b]
        for _ in range(2 if self.chance.random() < path.doubled else 1):
            if path.up(self.now) and self.chance.random() >= path.loss:
                late = int(path.slow * (path.delay + self.chance.expovariate(1 / path.jitter)))
                self.after(late, call, *told)

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call, told = heapq.heappop(self._heap)
            call(*told)
        self.now = until
