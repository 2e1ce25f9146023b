"""How much a member may send: bytes and datagrams in any one second."""

from __future__ import annotations

SECOND = 10_000


class RateLimiter:
    """Bound: in any span of a second no more than `most_bytes` and `most_datagrams` are paid for, whoever asks.

    Half of each stands ready at once and half comes back over a second: what any second holds can't be more than
    both. `try_consume` with `spare` leaves that part of what stands ready to others: bulk must not silence answers.
    """

    def __init__(self, most_bytes: int, most_datagrams: int, now: int) -> None:
        self.rates = (most_bytes / 2, most_datagrams / 2)
        self.left = [most_bytes / 2, most_datagrams / 2]
        self.at = now

    def can_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        """Whether it would pay."""
        for i, rate in enumerate(self.rates):
            self.left[i] = min(rate, self.left[i] + rate * max(0, now - self.at) / SECOND)
        self.at = max(self.at, now)
        return self.left[0] - size >= spare * self.rates[0] and self.left[1] - 1 >= spare * self.rates[1]

    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        if not self.can_consume(size, now, spare):
            return False
        self.left[0] -= size
        self.left[1] -= 1
        return True
