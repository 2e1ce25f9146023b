"""The program made wrong on purpose, each in one place: what the judge and the model checker are worth.

`found`: under which of the judge's names each must be found.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

import msgspec

from pathsaddle.consensus.acceptor import Row
from pathsaddle.consensus.messages import Accept, Message
from pathsaddle.consensus.proposer import Outbox, Proposer
from pathsaddle.emulator.ownership.ground import Disk, Ground


class ByArrival(Proposer):
    """Reckons a lease from the answer's arrival."""

    __slots__ = ()

    def heard(
        self, voter: str, start: int, known: Mapping[str, int], message: Message, ask: int, now: int
    ) -> tuple[Proposer, Outbox]:
        late = replace(self, asks=tuple((one, now) for one, _ in self.asks))
        return Proposer.heard(late, voter, start, known, message, ask, now)


class Reuses(Proposer):
    """Goes on with the number that its name had before it began anew."""

    __slots__ = ()

    def _promised(self, known: Mapping[str, int], ask: int, now: int) -> tuple[Proposer, Outbox]:
        bid, out = Proposer._promised(self, known, ask, now)
        before = max((row for row in self.promises), key=lambda row: row[2], default=None)
        if not out or bid.number or before is None or before[3].owner != self.name:
            return bid, out
        value = msgspec.structs.replace(bid.value, number=before[3].number)
        return replace(bid, value=value), [
            (to, Accept(m.key, m.ballot, value, m.ask)) for to, m in out if isinstance(m, Accept)
        ]


class Forgets(Row):
    """A voter that begins holds for nobody."""

    __slots__ = ()

    def begun(self, now: int) -> Row:
        return replace(self, until=0)


FOUND = {
    "answers-before-sync": ("leases-overlap", "number-twice", "number-back"),
    "lease-from-answer": ("leases-overlap",),
    "number-unchecked": ("effect-two-owners",),
    "number-reused": ("number-twice",),
    "gives-before-stopping": ("leases-overlap",),
    "holds-forgotten": ("leases-overlap",),
    "lost-disk-trusted": ("number-back", "number-twice", "leases-overlap"),
}


@contextmanager
def mutant(name: str) -> Iterator[None]:
    """While it lasts, grounds are made with it."""
    made = Ground.__init__

    def wrong(self: Ground, *told: object, **more: object) -> None:
        made(self, *told, **more)  # type: ignore[arg-type]
        self.hasty = name == "answers-before-sync"
        self.talkative = name == "gives-before-stopping"
        self.unfenced = "s1" if name == "number-unchecked" else ""

    patches: list[Any] = [mock.patch.object(Ground, "__init__", wrong)]
    if name == "lease-from-answer":
        patches.append(mock.patch("pathsaddle.consensus.lease_manager.Proposer", ByArrival))
    elif name == "number-reused":
        patches.append(mock.patch("pathsaddle.consensus.lease_manager.Proposer", Reuses))
    elif name == "holds-forgotten":
        patches.append(mock.patch.object(Row, "begun", Forgets.begun))
    elif name == "lost-disk-trusted":
        patches.append(
            mock.patch.object(Disk, "whole", property(lambda self: True, lambda self, value: None))
        )
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
