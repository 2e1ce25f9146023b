"""A rate that is averaged over an exponentially decaying window. The offered load is made of these."""

from __future__ import annotations

from math import exp


class DecayingRate:
    """The rate at which amounts were added, with the latest weighing most.

    Args:
        now: The tick at which it begins with nothing.
        window_ticks: The time constant of the decay.
    """

    __slots__ = ("sum", "updated_at", "window_ticks")

    def __init__(self, now: int, window_ticks: int) -> None:
        self.sum, self.updated_at, self.window_ticks = 0.0, now, window_ticks

    def add(self, amount: float, now: int) -> None:
        """Add an amount at a tick."""
        self.sum = self.sum * exp((self.updated_at - now) / self.window_ticks) + amount
        self.updated_at = now

    def rate(self, now: int) -> float:
        """Return the amount a tick."""
        return self.sum * exp((self.updated_at - now) / self.window_ticks) / self.window_ticks
