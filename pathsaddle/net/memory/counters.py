"""What was taken, sent, answered and how connections ended: counted, and printed on a signal and at exit."""

from __future__ import annotations

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._most: dict[str, float] = {}

    def add(self, name: str, times: int = 1) -> None:
        self._counts[name] += times

    def most(self, name: str, value: float) -> None:
        self._most[name] = max(value, self._most.get(name, value))

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def text(self) -> str:
        counts = [f"{name}={count}" for name, count in sorted(self._counts.items())]
        return " ".join(counts + [f"{name}={value:g}" for name, value in sorted(self._most.items())])
