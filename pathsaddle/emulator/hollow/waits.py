"""What several measures on the virtual ground make of clients and of times."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from math import ceil
from unittest import mock

from pathsaddle.emulator.served.clients import Clients, Wish


def percentile(ordered: Sequence[float], part: float) -> float:
    """The least value that a part of them does not pass (nearest rank); 0 of none."""
    return float(ordered[max(0, ceil(part * len(ordered)) - 1)]) if ordered else 0.0


@contextlib.contextmanager
def keyed(keys: int) -> Iterator[None]:
    """While it holds, emulated jobs have one of so many keys, dealt in turn; 0: none, and any worker will do.
    The emulator's own give each job a key of its own, so that it goes to a few keepers whatever room is
    elsewhere.
    """

    def target_of(self: Clients, wish: Wish) -> str:
        return f"/{wish.scheme.name}" + (f"?k={wish.number % keys}" if keys else "")

    with mock.patch.object(Clients, "target_of", target_of):
        yield
