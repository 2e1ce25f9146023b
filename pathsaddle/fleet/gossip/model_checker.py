"""Model checking of gossip: every order of events to a stated depth, with three members.

One of them, the writer, puts records of two topics and begins one new incarnation. Each step is one of: the
writer puts a record, or begins its new incarnation; a member hears from its membership of that incarnation; a
member disseminates what is new; a member starts an exchange with another; a message is delivered (and stays
in flight, to be delivered again). Nothing has to arrive.

Checked in each state: a member shows nothing of an incarnation whose end it was told; what it shows was
written; and of everything up to the version to which its records are complete, it lacks only what the writer
has replaced since. Ages are checked by the simulation (`emulator/state`). Called by the tests; no part of a
running dispatcher.
"""

from __future__ import annotations

import pickle
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import TypeAlias, TypeVar

from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.gossip.records import MemberRecords
from pathsaddle.fleet.quota.model_checker import InvariantViolationError

NAMES = ("a", "b", "c")
WRITER = "a"
TOPICS = ("s", "t")
KEY = b"k" * 16
INTERVAL_TICKS = 10
T = TypeVar("T")


class _FixedRandom:
    """Draws the same each time: the orders are all played."""

    def random(self) -> float:
        """The middle."""
        return 0.5

    def randrange(self, stop: int) -> int:
        """The first."""
        return 0

    def getrandbits(self, bits: int) -> int:
        """A number that fits into three bits."""
        return 7

    def choice(self, items: Sequence[T]) -> T:
        """The first."""
        return items[0]

    def sample(self, items: Sequence[T], count: int) -> Sequence[T]:
        """The first ones."""
        return items[:count]


class _UnlimitedRate:
    """A rate limiter that lets everything through."""

    def can_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        """Always."""
        return True

    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        """Always."""
        return True


@dataclass(frozen=True)
class InFlight:
    """A datagram that was sent and may be delivered at any later step, any number of times."""

    to: str
    data: bytes


StateKey: TypeAlias = tuple[object, ...]  # equal for states that behave alike
Step: TypeAlias = tuple[str, "State"]  # what happened, and the state after it
Change: TypeAlias = Callable[["State"], object]


@dataclass
class State:
    """All members and everything in flight.

    Attributes:
        members: by name.
        in_flight: in the order in which they were sent.
        written: the topics of the writer's versions, in order, by incarnation.
        known: the highest incarnation of the writer that each member was told of.
    """

    members: dict[str, Gossip]
    in_flight: dict[InFlight, None]
    written: dict[int, list[str]]
    known: dict[str, int]

    def key(self) -> StateKey:
        """What tells this state from others."""
        return (
            tuple(_member_key(self.members[name]) for name in NAMES),
            frozenset(self.in_flight),
            tuple(sorted(self.known.items())),
        )

    def collect(self) -> None:
        """What the members sent is in flight."""
        for member in self.members.values():
            for to, data in member.out:
                self.in_flight[InFlight(to, data)] = None
            member.out.clear()

    def violation(self) -> str:
        """Which invariant does not hold, in words; empty: all hold."""
        for name in NAMES[1:]:
            records = self.members[name].origins.get(WRITER)
            if records is not None and (violation := self._violation_at(name, records)):
                return violation
        return ""

    def _violation_at(self, name: str, records: MemberRecords) -> str:
        if records.incarnation < self.known[name]:
            return f"{name} shows incarnation {records.incarnation}, told of {self.known[name]}"
        topics, complete_up_to = self.written[records.incarnation], records.complete_up_to
        if complete_up_to > len(topics):
            return f"{name} is complete up to {complete_up_to} of {len(topics)}"
        for topic, record in records.records.items():
            if topics[record.version - 1] != topic:
                return f"{name} shows {topic} {record.version}, never written"
        for version in range(1, complete_up_to + 1):
            topic = topics[version - 1]
            held = records.records.get(topic)
            if topic not in topics[version:] and (held is None or held.version < version):
                return f"{name} is complete up to {complete_up_to} and lacks {topic} {version}"
        return ""


def _member_key(member: Gossip) -> StateKey:
    return (
        tuple(
            (
                name,
                records.incarnation,
                records.complete_up_to,
                tuple(sorted((topic, record.version) for topic, record in records.records.items())),
            )
            for name, records in sorted(member.origins.items())
        ),
        tuple(sorted((key.member, key.topic, times) for key, times in member.news.items())),
        tuple((exchange.sent_at, exchange.peer) for exchange in member.anti_entropy.pending.values()),
    )


def _new_member(name: str, incarnation: int) -> Gossip:
    member = Gossip(
        name,
        incarnation,
        "f",
        KEY,
        _UnlimitedRate(),  # type: ignore[arg-type]  # has the two methods that are called
        INTERVAL_TICKS,
        _FixedRandom(),  # type: ignore[arg-type]  # has the methods that are called
        0,
    )
    for other in NAMES:
        member.on_member_joined(other, 1, other)
    return member


def _after(state: State, change: Change) -> State:
    """The state after a change, of its own objects."""
    copy: State = pickle.loads(pickle.dumps(state, -1))  # of our own making
    change(copy)
    copy.collect()
    return copy


def _write(state: State, topic: str) -> None:
    writer = state.members[WRITER]
    topics = state.written[writer.mine.incarnation]
    topics.append(topic)
    writer.put(topic, str(len(topics)).encode(), 0)


def _restart(state: State) -> None:
    state.members[WRITER] = _new_member(WRITER, 2)
    state.written[2] = []


def _join(state: State, name: str) -> None:
    incarnation = state.members[WRITER].mine.incarnation
    state.members[name].on_member_joined(WRITER, incarnation, WRITER)
    state.known[name] = incarnation


def _disseminate(state: State, name: str) -> None:
    state.members[name].dissemination.run(0)


def _start_exchange(state: State, name: str, to: str) -> None:
    state.members[name].anti_entropy.start(0, to, "")


def _deliver(state: State, datagram: InFlight) -> None:
    state.members[datagram.to].on_datagram(datagram.data, 0)


def _writer_steps(state: State, max_writes: int) -> list[Step]:
    found: list[Step] = []
    incarnation = state.members[WRITER].mine.incarnation
    if sum(map(len, state.written.values())) < max_writes:
        found += [
            (f"{WRITER} writes {topic}", _after(state, partial(_write, topic=topic))) for topic in TOPICS
        ]
    if incarnation == 1 and state.written[1]:
        found.append((f"{WRITER} begins a new incarnation", _after(state, _restart)))
    for name in NAMES[1:]:
        if state.known[name] < incarnation:
            after = _after(state, partial(_join, name=name))
            found.append((f"{name} is told of {WRITER}/{incarnation}", after))
    return found


def _exchange_steps(state: State) -> list[Step]:
    found: list[Step] = []
    for name in NAMES:
        member = state.members[name]
        if member.news:
            found.append((f"{name} disseminates", _after(state, partial(_disseminate, name=name))))
        if member.anti_entropy.pending:
            continue
        for to in NAMES:
            if to != name:
                after = _after(state, partial(_start_exchange, name=name, to=to))
                found.append((f"{name} sends a digest to {to}", after))
    return found


def steps(state: State, max_writes: int) -> list[Step]:
    """Every next state, and what led to it."""
    found = _writer_steps(state, max_writes) + _exchange_steps(state)
    for datagram in state.in_flight:
        after = _after(state, partial(_deliver, datagram=datagram))
        found.append((f"{datagram.to} receives a datagram", after))
    return found


def check(depth: int, max_writes: int = 3) -> int:
    """How many states there are within `depth` steps.

    Raises:
        InvariantViolationError: an invariant does not hold in one; its text is the steps that led there.
    """
    first = State({name: _new_member(name, 1) for name in NAMES}, {}, {1: []}, dict.fromkeys(NAMES, 1))
    seen = {first.key()}
    frontier: list[tuple[State, tuple[str, ...]]] = [(first, ())]
    for _ in range(depth):
        following: list[tuple[State, tuple[str, ...]]] = []
        for state, path in frontier:
            for name, after in steps(state, max_writes):
                key = after.key()
                if key in seen:
                    continue
                seen.add(key)
                if violation := after.violation():
                    raise InvariantViolationError(f"{violation}: " + ", ".join((*path, name)))
                following.append((after, (*path, name)))
        frontier = following
    return len(seen)
