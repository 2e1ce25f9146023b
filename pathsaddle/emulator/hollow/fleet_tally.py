"""Counts what the members of a hollow fleet send, take and compute; used by its emulated network (`fleet_ground.py`)."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from pathsaddle.emulator.ground.air import BINS, Air
from pathsaddle.emulator.ground.datagrams import Datagrams
from pathsaddle.emulator.ground.links import Host
from pathsaddle.emulator.ground.moments import Moments
from pathsaddle.fleet.messages import CARRIED
from pathsaddle.net.wire.terms import Peer


class Tally:
    """What one member sent and took, by tenths of a second since the last `clear` of the fleet."""

    def __init__(self) -> None:
        self.out: dict[int, int] = {}
        self.into: dict[int, int] = {}
        self.carried = self.datagrams = 0

    def clear(self) -> None:
        self.out.clear()
        self.into.clear()
        self.carried = self.datagrams = 0


def most(bins: dict[int, int]) -> int:
    """Over any second that begins with a tenth."""
    return max((sum(bins.get(first + i, 0) for i in range(BINS)) for first in bins), default=0)


class Metered(Datagrams):
    """Counts for each host what it sends and what reaches it."""

    def __init__(self, loop: Moments, air: Air) -> None:
        super().__init__(loop, air)
        self.tallies: dict[str, Tally] = {}

    def tally(self, name: str) -> Tally:
        return self.tallies.setdefault(name, Tally())

    def carry(self, sender: Host, data: bytes, address: Peer) -> None:
        tally, at = self.tally(sender.name), int(self.loop.true_time() * BINS)
        tally.out[at] = tally.out.get(at, 0) + len(data)
        tally.datagrams += 1
        if data[0] == CARRIED:
            tally.carried += len(data)
        there = self.bound.get(address)
        if there is not None:
            for delay in self.air.copies(sender.name, there.host.name):
                self.loop.call_later(delay, self._arrive, address, data, context=self.context)

    def _arrive(self, address: Peer, data: bytes) -> None:
        there = self.bound.get(address)
        if there is not None:
            tally, at = self.tally(there.host.name), int(self.loop.true_time() * BINS)
            tally.into[at] = tally.into.get(at, 0) + len(data)
            there.arrives(data)


class Spent:
    """Processor time inside the cores' calls, the outermost alone: what one core calls of itself counts once."""

    def __init__(self, *whose: str) -> None:
        self.ns = dict.fromkeys(whose, 0)
        self.inside = False

    def around(self, whose: str, core: object, *calls: str) -> None:
        for name in calls:
            setattr(core, name, self._timed(whose, getattr(core, name)))

    def _timed(self, whose: str, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*args: Any) -> Any:
            if self.inside:
                return call(*args)
            self.inside, begun = True, time.thread_time_ns()
            try:
                return call(*args)
            finally:
                self.ns[whose] += time.thread_time_ns() - begun
                self.inside = False

        return timed

    def clear(self) -> None:
        self.ns = dict.fromkeys(self.ns, 0)
