"""The program made wrong on purpose, each in one place, to show what the checkers are worth.

`FOUND` says under which of the names of `judge.py` each must be found.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

import msgspec

from pathsaddle.consensus.acceptor_key import AcceptorKey
from pathsaddle.consensus.messages import Accept, Incarnation, Outgoing, RequestId, Ticks
from pathsaddle.consensus.proposer import OpenRequest, Proposer, Reply, Step
from pathsaddle.emulator.ownership.hosts import Disk
from pathsaddle.emulator.ownership.simulation import Layout, Simulation


class LeaseFromAnswer(Proposer):
    """Reckons a lease from the answer's arrival."""

    __slots__ = ()

    def on_message(
        self, reply: Reply, known: Mapping[str, Incarnation], request_id: RequestId, now: Ticks
    ) -> Step:
        """Take in an acceptor's message as if all requests were sent now."""
        requests = tuple(OpenRequest(request.request_id, now) for request in self.open_requests)
        late = replace(self, open_requests=requests)
        return Proposer.on_message(late, reply, known, request_id, now)


class ReusedToken(Proposer):
    """Goes on with the fencing token that its name had before it restarted."""

    __slots__ = ()

    def propose_if_promised(
        self, known: Mapping[str, Incarnation], request_id: RequestId, now: Ticks
    ) -> Step:
        """Go on to phase 2, with the earlier fencing token."""
        step = Proposer.propose_if_promised(self, known, request_id, now)
        before = max(self.promises, key=lambda promise: promise.accepted, default=None)
        if (
            not step.messages
            or step.proposer.held_token
            or before is None
            or before.value.holder != self.name
        ):
            return step
        value = msgspec.structs.replace(step.proposer.value, fencing_token=before.value.fencing_token)
        return Step(
            replace(step.proposer, value=value),
            [
                Outgoing(receiver, Accept(message.key, message.ballot, value, message.request_id))
                for receiver, message in step.messages
                if isinstance(message, Accept)
            ],
        )


def forget_lease(key: AcceptorKey, now: Ticks) -> AcceptorKey:
    """Restart an acceptor's key without the lease that it may have held."""
    return replace(key, lease_end=0)


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
    """While it lasts, simulations are made with the mutant."""
    make = Simulation.__init__

    def make_wrong(self: Simulation, seed: int, layout: Layout | None = None) -> None:
        """Make a simulation and break it."""
        make(self, seed, layout)
        self.answer_before_sync = name == "answers-before-sync"
        self.release_before_stop = name == "gives-before-stopping"
        self.unfenced_store = "s1" if name == "number-unchecked" else ""

    patches: list[Any] = [mock.patch.object(Simulation, "__init__", make_wrong)]
    if name == "lease-from-answer":
        patches.append(mock.patch("pathsaddle.consensus.lease_manager.Proposer", LeaseFromAnswer))
    elif name == "number-reused":
        patches.append(mock.patch("pathsaddle.consensus.lease_manager.Proposer", ReusedToken))
    elif name == "holds-forgotten":
        patches.append(mock.patch.object(AcceptorKey, "after_restart", forget_lease))
    elif name == "lost-disk-trusted":
        trusted = property(lambda self: True, lambda self, value: None)
        patches.append(mock.patch.object(Disk, "is_intact", trusted))
    with ExitStack() as stack:
        for patch in patches:
            stack.enter_context(patch)
        yield
