"""Passes new records on at once, a few times by each member, so that anti-entropy only repairs what was lost.

Owns the timer of dissemination; which records are new stands in `RecordStore.undisseminated`. `Gossip` calls
it. It answers nothing and performs no I/O.
"""

from __future__ import annotations

from math import ceil, log10
from typing import NamedTuple

from pathsaddle.fleet.gossip.messages import Delta, Dissemination, size_of
from pathsaddle.fleet.gossip.records import RecordKey
from pathsaddle.fleet.gossip.sending import DISSEMINATION_RESERVE, GossipContext

TIMES_PER_MAGNITUDE = (
    3  # each record is passed on so many times the logarithm of the fleet's size, as in SWIM
)
FANOUT = 2  # peers at a time
ROUNDS_PER_INTERVAL = 5  # of dissemination, in one interval of anti-entropy


class _Selection(NamedTuple):
    """What one datagram passes on: the records that count as sent, and their deltas."""

    keys: list[RecordKey]
    deltas: list[Delta]


class Disseminator:
    """Sends new records to peers drawn at random, those first that were sent least often.

    Args:
        context: what the parts of gossip share.
        now: the start.
    """

    def __init__(self, context: GossipContext, now: int) -> None:
        self.store, self.sender, self.rng = context.store, context.sender, context.rng
        self.round_ticks = context.interval_ticks // ROUNDS_PER_INTERVAL
        self.due = now

    def schedule(self, at: int) -> None:
        """There is a new record: it is passed on at `at` or earlier."""
        self.due = min(self.due, at)

    def run(self, now: int) -> None:
        """One round: as many new records as fit, to FANOUT peers."""
        self.due = now + self.round_ticks
        names, pending = sorted(self.store.peers), self.store.undisseminated
        if not names or not pending:
            pending.clear()
            return
        max_times = TIMES_PER_MAGNITUDE * ceil(log10(len(names) + 2))
        for to in self.rng.sample(names, min(FANOUT, len(names))):
            keys, deltas = self._select(to, now)
            if deltas and not self.sender.send(to, [Dissemination(deltas)], now, DISSEMINATION_RESERVE):
                return
            for key in keys:
                pending[key] += 1
                if pending[key] >= max_times:
                    del pending[key]
            if not pending:
                return

    def _select(self, to: str, now: int) -> _Selection:
        """The records that fit, and their deltas without those of the recipient itself."""
        pending = self.store.undisseminated
        remaining_bytes = self.sender.max_message_bytes(to)
        keys: list[RecordKey] = []
        deltas: list[Delta] = []
        for key in sorted(pending, key=pending.__getitem__):
            delta = self.store.delta_of(key, now)
            remaining_bytes -= size_of(delta)
            if remaining_bytes < 0:
                break
            keys.append(key)
            if key.member != to:
                deltas.append(delta)
        return _Selection(keys, deltas)
