"""The states that the model checker explores: acceptors, proposers, the network and a budget of events.

`model_checker.py` says what may happen; this module carries a step out, by the cores themselves.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import NamedTuple

from pathsaddle.consensus.acceptor_key import EMPTY_KEY, AcceptorKey
from pathsaddle.consensus.messages import (
    Accept,
    Accepted,
    FencingToken,
    Incarnation,
    Prepare,
    Promise,
    Release,
    Renew,
    Ticks,
)
from pathsaddle.consensus.proposer import Proposer, Reply, Step

KEY = "k"
LEASE_TICKS = 100
# How far a step of time moves a proposer's clock, and an acceptor's: apart by what the drift allows.
SLOW_STEP_TICKS, FAST_STEP_TICKS = 50, 52
ACCEPTORS = ("v0", "v1", "v2")
PROPOSERS = ("c0", "c1")
# Request numbers of one state: 8 for each step of time, one for answers and one for renewals.
REQUESTS_PER_STEP, ANSWER_REQUEST, RENEWAL_REQUEST = 8, 1, 2

BallotMessage = Prepare | Promise | Accept | Accepted | Renew | Release


class Kind(IntEnum):
    """Kinds of events that are limited; an index into `State.budget`."""

    BALLOT = 0
    RENEWAL = 1
    RELEASE = 2
    RESTART = 3
    KILL = 4
    DISK_LOSS = 5
    TIME = 6


@dataclass(frozen=True)
class CheckerOptions:
    """How often each kind of event may happen in one history.

    Attributes:
        ballots: Ballots that are started.
        renewals: Leases that are renewed.
        releases: Leases that are released.
        restarts: Proposers that restart.
        kills: Acceptors that are killed.
        disk_losses: Acceptors that lose their disk.
        time_steps: Steps of time.
        answer_before_sync: Acceptors answer before they sync: a mutant.
    """

    ballots: int = 2
    renewals: int = 1
    releases: int = 0
    restarts: int = 0
    kills: int = 1
    disk_losses: int = 0
    time_steps: int = 3
    answer_before_sync: bool = False


class Packet(NamedTuple):
    """A message under way, with the incarnations that its envelope would tell."""

    sender: str
    receiver: str
    incarnation: Incarnation
    known_incarnations: tuple[Incarnation, ...]
    message: BallotMessage


class Acquisition(NamedTuple):
    """A fencing token and who acquired it."""

    fencing_token: FencingToken
    proposer: int
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class AcceptorState:
    """One acceptor.

    Attributes:
        key: Its part in the key.
        disk: What of it is synced.
        incarnation: Its own.
        known_incarnations: The highest that it knows of each acceptor.
        synced_from: While it rejoins, who sent it their state; None: it participates.
    """

    key: AcceptorKey = EMPTY_KEY
    disk: AcceptorKey = EMPTY_KEY
    incarnation: Incarnation = 1
    known_incarnations: tuple[Incarnation, ...] = (1, 1, 1)
    synced_from: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class State:
    """The whole system at one moment.

    Attributes:
        acceptors: All acceptors.
        proposers: All proposers.
        known_incarnations: By proposer: the highest incarnation it knows of each acceptor.
        network: What is under way.
        time_steps: How many steps of time have passed.
        acquisitions: Fencing tokens in the order in which they were acquired.
        budget: What may still happen, by `Kind`.
    """

    acceptors: tuple[AcceptorState, ...]
    proposers: tuple[Proposer, ...]
    known_incarnations: tuple[tuple[Incarnation, ...], ...]
    network: frozenset[Packet]
    time_steps: int = 0
    acquisitions: tuple[Acquisition, ...] = ()
    budget: tuple[int, ...] = ()

    @property
    def slow_now(self) -> Ticks:
        """The moment by the proposers' clocks."""
        return self.time_steps * SLOW_STEP_TICKS

    @property
    def fast_now(self) -> Ticks:
        """The moment by the acceptors' clocks."""
        return self.time_steps * FAST_STEP_TICKS

    def spend(self, kind: Kind) -> State:
        """Return the state with one event less of this kind to come."""
        left = self.budget[kind] - 1
        return replace(self, budget=(*self.budget[:kind], left, *self.budget[kind + 1 :]))

    def with_acceptor(self, index: int, acceptor: AcceptorState) -> State:
        """Return the state with another acceptor."""
        return replace(self, acceptors=(*self.acceptors[:index], acceptor, *self.acceptors[index + 1 :]))

    def with_proposer(self, index: int, step: Step) -> State:
        """Return the state after a proposer's step: its acquisitions count, its messages are under way."""
        proposer, before = step.proposer, self.proposers[index]
        acquisitions = self.acquisitions
        if proposer.held_token and proposer.held_token != before.held_token:
            acquired = Acquisition(proposer.held_token, index, proposer.incarnation)
            acquisitions = (*acquisitions, acquired)
        known = self.known_incarnations[index]
        sent = {
            Packet(proposer.name, receiver, 0, known, message)
            for receiver, message in step.messages
            if isinstance(message, BallotMessage)
        }
        proposers = (*self.proposers[:index], proposer, *self.proposers[index + 1 :])
        return replace(self, proposers=proposers, acquisitions=acquisitions, network=self.network | sent)


class Delivery(NamedTuple):
    """The state after an acceptor received a message, and its answer."""

    state: State
    answer: Packet | None


def deliver_to_acceptor(state: State, packet: Packet, answer_before_sync: bool) -> Delivery:
    """Let an acceptor receive a message."""
    index = ACCEPTORS.index(packet.receiver)
    acceptor = state.acceptors[index]
    if acceptor.synced_from is not None:
        return Delivery(state, None)
    key, answer = acceptor.key.on_message(KEY, packet.message, state.fast_now)
    if key == acceptor.key and answer is None:
        return Delivery(state, None)
    disk = acceptor.disk if answer_before_sync else key
    after = state.with_acceptor(index, replace(acceptor, key=key, disk=disk))
    if not isinstance(answer, Accepted | Promise):
        return Delivery(after, None)
    answer_packet = Packet(
        packet.receiver,
        packet.message.ballot.proposer,
        acceptor.incarnation,
        acceptor.known_incarnations,
        answer,
    )
    return Delivery(replace(after, network=after.network | {answer_packet}), answer_packet)


def deliver_to_proposer(state: State, packet: Packet) -> State:
    """Let a proposer receive an answer."""
    index = PROPOSERS.index(packet.receiver)
    before = state.known_incarnations
    known = tuple(max(pair) for pair in zip(before[index], packet.known_incarnations, strict=True))
    state = replace(state, known_incarnations=(*before[:index], known, *before[index + 1 :]))
    step = state.proposers[index].on_message(
        Reply(packet.sender, packet.incarnation, packet.message),
        dict(zip(ACCEPTORS, known, strict=True)),
        state.time_steps * REQUESTS_PER_STEP + ANSWER_REQUEST,
        state.slow_now,
    )
    return state.with_proposer(index, step)
