"""What lies between dispatchers: faults by ordered pair, the same on both grounds; and how much each one sends.

A datagram from one to another meets every rule that names the pair. It knows names alone: on the virtual ground
they are hosts', on sockets those of the relays' ends.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

BINS = 10  # of a second, by which what is sent is summed up


@dataclass(eq=False)
class Blight:
    """Trouble from some to some, one way, or back too.

    lost, doubled: parts of what is sent. extra: seconds longer. shuffle: up to so many seconds longer, each its own,
    so that what was sent later may come earlier.
    """

    one: frozenset[str]
    other: frozenset[str]
    oneway: bool = False
    lost: float = 0.0
    doubled: float = 0.0
    extra: float = 0.0
    shuffle: float = 0.0

    def meets(self, sender: str, taker: str) -> bool:
        return (sender in self.one and taker in self.other) or (
            not self.oneway and taker in self.one and sender in self.other
        )


class Meter:
    """Counts what one sender has sent: bytes and datagrams by tenth of a second, and in all.

    One thread may add while another reads: a reader works on a copy that is taken between two additions.
    """

    def __init__(self) -> None:
        self.bins: dict[int, list[int]] = {}
        self.bytes = self.datagrams = 0
        self._lock = threading.Lock()

    def add(self, at: float, size: int) -> None:
        """Count one datagram of `size` bytes, sent `at` seconds after the start."""
        with self._lock:
            row = self.bins.setdefault(int(at * BINS), [0, 0])
            row[0] += size
            row[1] += 1
            self.bytes += size
            self.datagrams += 1

    def most(self, which: int) -> int:
        """Return the most sent within any `BINS` neighbouring bins: bytes (`which` 0) or datagrams (`which` 1)."""
        with self._lock:
            counts = {first: row[which] for first, row in self.bins.items()}
        return max((sum(counts.get(first + i, 0) for i in range(BINS)) for first in counts), default=0)


class Air:
    def __init__(self, chance: Random, delay: Callable[[str, str], float]) -> None:
        """`delay`: seconds from one to another where nothing is wrong."""
        self.chance, self.delay = chance, delay
        self.blights: dict[Blight, None] = {}
        self.meters: dict[str, Meter] = {}

    def copies(self, sender: str, taker: str) -> list[float]:
        """After how many seconds what is sent now arrives, once for each time that it does."""
        times, extra, shuffle, random = 1, 0.0, 0.0, self.chance.random
        for blight in self.blights:
            if not blight.meets(sender, taker):
                continue
            if blight.lost and random() < blight.lost:
                times = 0
            if blight.doubled and random() < blight.doubled:
                times *= 2
            extra += blight.extra
            shuffle += blight.shuffle
        return [self.delay(sender, taker) + extra + shuffle * random() for _ in range(times)]

    def open(self, sender: str, taker: str) -> bool:
        """Whether anything at all gets through."""
        return all(blight.lost < 1.0 for blight in self.blights if blight.meets(sender, taker))

    def sent(self, sender: str, at: float, size: int) -> None:
        meter = self.meters.get(sender)
        if meter is None:
            meter = self.meters[sender] = Meter()
        meter.add(at, size)
