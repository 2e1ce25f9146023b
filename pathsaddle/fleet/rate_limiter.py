"""How much a process may send: token buckets for bytes and datagrams that all of its senders share."""

from __future__ import annotations

SECOND = 10_000  # ticks


class RateLimiter:
    """Bounds what is sent: in any span of a second at most `most_bytes` and `most_datagrams`, whoever sends.

    Half of each is available at once and half comes back over a second, so what any second holds can't be
    more than both. A caller that sends bulk passes `spare`, the share of what can be available that it leaves
    to others: bulk must not silence answers. Broken by the mutant `unbounded` (`tests/test_membership.py`).

    Attributes:
        rates: Bytes and datagrams that come back in a second, which is also the most that is available at
            once.
        left: Bytes and datagrams that are available at `at`.
        at: The latest moment at which somebody asked, in ticks.
    """

    def __init__(self, most_bytes: int, most_datagrams: int, now: int) -> None:
        self.rates = (most_bytes / 2, most_datagrams / 2)
        self.left = [most_bytes / 2, most_datagrams / 2]
        self.at = now

    def can_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        """Says whether a datagram of `size` bytes may be sent now, leaving the share `spare` to others."""
        for i, rate in enumerate(self.rates):
            self.left[i] = min(rate, self.left[i] + rate * max(0, now - self.at) / SECOND)
        self.at = max(self.at, now)
        return self.left[0] - size >= spare * self.rates[0] and self.left[1] - 1 >= spare * self.rates[1]

    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        """Takes a datagram of `size` bytes from what is available, if `can_consume` allows it."""
        if not self.can_consume(size, now, spare):
            return False
        self.left[0] -= size
        self.left[1] -= 1
        return True
