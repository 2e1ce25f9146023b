"""Named counters of a process, which it logs on a signal and at its exit."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts of events and maxima of gauges, by name."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._maxima: dict[str, float] = {}

    def add(self, name: str, times: int = 1) -> None:
        """Increment a counter."""
        self._counts[name] += times

    def most(self, name: str, value: float) -> None:
        """Record a value of a gauge, of which the largest is kept."""
        self._maxima[name] = max(value, self._maxima.get(name, value))

    def __getitem__(self, name: str) -> int:
        return self._counts[name]

    def text(self) -> str:
        """Return all counters, then all maxima, as `name=value` sorted by name."""
        counts = [f"{name}={count}" for name, count in sorted(self._counts.items())]
        return " ".join(counts + [f"{name}={value:g}" for name, value in sorted(self._maxima.items())])
