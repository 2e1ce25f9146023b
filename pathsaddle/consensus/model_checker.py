"""Model checking of the register: every order of events to a stated depth, all invariants in each state.

Three acceptors, two proposers, one key, and the cores themselves. A step is one of: a proposer starts a
ballot, renews, releases its lease or restarts with nothing; a message is received and stays under way, to
come again, later, or never; one is received and its answer too; time passes; an acceptor is killed, and what
it had not synced is gone; an acceptor's disk is lost, and another sends it what it has. An acceptor's clock
runs fast and a proposer's slow, by what the stated drift allows.

Refusals are left out: they say which ballot is worth trying, and here each new one is above all that there
are.

Invariants: a fencing token is held by one incarnation once; fencing tokens grow in the order in which they
are acquired; in no state may two proposers act. Only tests use this module.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import NamedTuple

from pathsaddle.consensus.messages import Ballot, Promise
from pathsaddle.consensus.model_state import (
    ACCEPTORS,
    KEY,
    LEASE_TICKS,
    PROPOSERS,
    RENEWAL_REQUEST,
    REQUESTS_PER_STEP,
    AcceptorState,
    CheckerOptions,
    Kind,
    Packet,
    State,
    deliver_to_acceptor,
    deliver_to_proposer,
)
from pathsaddle.consensus.proposer import Phase, Proposer, Step

# An acceptor that lost its disk participates again once so many others sent their state.
SYNC_QUORUM = 2


class InvariantViolationError(AssertionError):
    """An invariant does not hold; its text says which, and by what steps that came about."""


class Event(NamedTuple):
    """What happened, in words, and the state after it."""

    name: str
    state: State


def initial_state(options: CheckerOptions, proposer: type[Proposer] = Proposer) -> State:
    """Return the state in which nothing has happened; `proposer`: its class, for mutants."""
    return State(
        (AcceptorState(),) * len(ACCEPTORS),
        tuple(proposer(KEY, name, 1, LEASE_TICKS, ACCEPTORS) for name in PROPOSERS),
        ((1, 1, 1),) * len(PROPOSERS),
        frozenset(),
        budget=(
            options.ballots,
            options.renewals,
            options.releases,
            options.restarts,
            options.kills,
            options.disk_losses,
            options.time_steps,
        ),
    )


def next_events(state: State, options: CheckerOptions) -> list[Event]:
    """Return every event that may happen next."""
    events = [*_proposer_events(state), *_network_events(state, options)]
    for index in range(len(ACCEPTORS)):
        events += _acceptor_events(state, options, index)
    if state.budget[Kind.TIME]:
        later = replace(state, time_steps=state.time_steps + 1)
        events.append(Event("a moment", later.spend(Kind.TIME)))
    return events


def _proposer_events(state: State) -> Iterator[Event]:
    now, budget = state.slow_now, state.budget
    promised_rounds = [acceptor.key.state.promised.round for acceptor in state.acceptors]
    highest_round = max(*promised_rounds, *(proposer.round for proposer in state.proposers))
    for index, proposer in enumerate(state.proposers):
        can_start = proposer.phase in (Phase.IDLE, Phase.CHOSEN)
        if budget[Kind.BALLOT] and (can_start or proposer.expire(now) is not proposer):
            step = replace(proposer, round=highest_round).start_ballot(now)
            yield Event(f"{proposer.name} bids", state.with_proposer(index, step).spend(Kind.BALLOT))
        if budget[Kind.RENEWAL] and proposer.phase == Phase.CHOSEN:
            step = proposer.repeat(state.time_steps * REQUESTS_PER_STEP + RENEWAL_REQUEST, now)
            if step.messages and step.proposer.phase == Phase.CHOSEN:
                after = state.with_proposer(index, step).spend(Kind.RENEWAL)
                yield Event(f"{proposer.name} renews", after)
        if budget[Kind.RELEASE] and proposer.phase == Phase.CHOSEN:
            after = state.with_proposer(index, proposer.stop()).spend(Kind.RELEASE)
            yield Event(f"{proposer.name} gives back", after)
        if budget[Kind.RESTART] and proposer.phase != Phase.IDLE:
            restarted = type(proposer)(KEY, proposer.name, proposer.incarnation + 1, LEASE_TICKS, ACCEPTORS)
            after = state.with_proposer(index, Step(restarted, [])).spend(Kind.RESTART)
            yield Event(f"{proposer.name} begins anew", after)


def _network_events(state: State, options: CheckerOptions) -> Iterator[Event]:
    for packet in state.network:
        message = packet.message
        name = f"{packet.sender}>{packet.receiver} {type(message).__name__} {message.ballot.round}"
        if packet.receiver in PROPOSERS:
            yield Event(name, deliver_to_proposer(state, packet))
            continue
        after, answer = deliver_to_acceptor(state, packet, options.answer_before_sync)
        if after is not state:
            yield Event(name, after)
        if answer is not None:
            yield Event(name + " and back", deliver_to_proposer(after, answer))


def _acceptor_events(state: State, options: CheckerOptions, index: int) -> Iterator[Event]:
    acceptor, name = state.acceptors[index], ACCEPTORS[index]
    if options.answer_before_sync and acceptor.disk.state != acceptor.key.state:
        yield Event(f"{name} syncs", state.with_acceptor(index, replace(acceptor, disk=acceptor.key)))
    if acceptor.synced_from is not None:
        yield from _sync_events(state, index, acceptor.synced_from)
        return
    if state.budget[Kind.KILL]:
        key = acceptor.disk.after_restart(state.fast_now)
        killed = state.with_acceptor(index, replace(acceptor, key=key, disk=key))
        yield Event(f"{name} is killed", killed.spend(Kind.KILL))
    if state.budget[Kind.DISK_LOSS] and all(other.synced_from is None for other in state.acceptors):
        incarnation = max(other.known_incarnations[index] for other in state.acceptors) + 1
        known = tuple(incarnation if other == index else 0 for other in range(len(ACCEPTORS)))
        lost = AcceptorState(incarnation=incarnation, known_incarnations=known, synced_from=())
        yield Event(f"{name} loses its disk", state.with_acceptor(index, lost).spend(Kind.DISK_LOSS))


def _sync_events(state: State, index: int, synced_from: tuple[int, ...]) -> Iterator[Event]:
    """One of the others sends an acceptor that rejoins all of its state."""
    acceptor = state.acceptors[index]
    for other_index, other in enumerate(state.acceptors):
        if other_index == index or other_index in synced_from or other.synced_from is not None:
            continue
        known_there = tuple(
            acceptor.incarnation if position == index else known
            for position, known in enumerate(other.known_incarnations)
        )
        key = acceptor.key.merge(other.key.state)
        rejoining: tuple[int, ...] | None = (*synced_from, other_index)
        if len(synced_from) + 1 == SYNC_QUORUM:
            key, rejoining = key.after_restart(state.fast_now), None
        known = tuple(max(pair) for pair in zip(acceptor.known_incarnations, known_there, strict=True))
        after = state.with_acceptor(
            index, AcceptorState(key, key, acceptor.incarnation, known, rejoining)
        ).with_acceptor(other_index, replace(other, known_incarnations=known_there))
        yield Event(f"{ACCEPTORS[other_index]} tells {ACCEPTORS[index]}", after)


def _without_dead_packets(state: State) -> State:
    """Drop messages that can never again change anything; states that differ by these alone are one.

    These are messages below what their acceptor has promised for good, or for a ballot that is not their
    proposer's newest any more.
    """

    def is_alive(packet: Packet) -> bool:
        """Whether a message may still change anything."""
        ballot: Ballot = packet.message.ballot
        if packet.receiver in ACCEPTORS:
            acceptor = state.acceptors[ACCEPTORS.index(packet.receiver)]
            return ballot >= acceptor.key.state.promised
        proposer = state.proposers[PROPOSERS.index(packet.receiver)]
        if isinstance(packet.message, Promise):
            return ballot == proposer.ballot and proposer.phase == Phase.PREPARING
        return ballot == proposer.ballot and proposer.phase != Phase.IDLE

    network = frozenset(packet for packet in state.network if is_alive(packet))
    return replace(state, network=network) if len(network) < len(state.network) else state


def violation(state: State) -> str:
    """Return which invariant does not hold in this state; empty: all hold."""
    tokens = [acquisition.fencing_token for acquisition in state.acquisitions]
    if len(set(tokens)) < len(tokens):
        return "a number twice"
    if sorted(tokens) != tokens:
        return "numbers go back"
    if sum(1 for proposer in state.proposers if proposer.fencing_token(state.slow_now)) > 1:
        return "two may act"
    return ""


def check(
    depth: int,
    options: CheckerOptions,
    first: State | None = None,
    proposer: type[Proposer] = Proposer,
) -> int:
    """Explore all states within `depth` events of the first one.

    Args:
        depth: How many events.
        options: What may happen.
        first: Where to begin; by default where nothing has happened.
        proposer: The class of proposers, for mutants.

    Returns:
        How many states there are.

    Raises:
        InvariantViolationError: An invariant fails in one of them.
    """
    first = first or initial_state(options, proposer)
    seen = {first}
    frontier: list[tuple[State, tuple[str, ...]]] = [(first, ())]
    for _ in range(depth):
        following = []
        for state, path in frontier:
            for name, reached in next_events(state, options):
                after = reached
                if not options.disk_losses and not options.answer_before_sync:
                    after = _without_dead_packets(reached)
                if after in seen:
                    continue
                seen.add(after)
                if broken := violation(after):
                    raise InvariantViolationError(f"{broken}: " + ", ".join((*path, name)))
                following.append((after, (*path, name)))
        frontier = following
    return len(seen)


def state_with_lease_holder(
    options: CheckerOptions, proposer: type[Proposer] = Proposer, index: int = 0
) -> State:
    """Return a state to begin from: one proposer just got the lease by the answers of two acceptors.

    All that was sent is still under way, to come again, and to the third acceptor for the first time.
    """
    state = initial_state(options, proposer)
    state = state.with_proposer(index, state.proposers[index].start_ballot(0)).spend(Kind.BALLOT)
    for _ in range(2):  # both phases
        for acceptor in ACCEPTORS[:2]:
            for packet in sorted(state.network, key=repr):
                if packet.receiver == acceptor and state.proposers[index].phase != Phase.CHOSEN:
                    state, answer = deliver_to_acceptor(state, packet, options.answer_before_sync)
                    if answer is not None:
                        state = deliver_to_proposer(state, answer)
    assert state.proposers[index].fencing_token(0)
    return state
