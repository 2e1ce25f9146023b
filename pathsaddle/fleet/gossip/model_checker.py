"""Model checking of what carrying rests on: every order of events to a stated depth, with three members.

One of them writes records of two topics and begins one new life. Each step: it writes, it begins anew,
somebody hears from its membership of that life, somebody passes on what is new, somebody compares with
another, a message is taken (and stays under way, to come again). Nothing has to arrive. Checked in each
world: of a life whose end a member was told it shows nothing; what it shows was written; and of all up to
`seen` it lacks only what its writer has replaced since. Ages are the ground's to check.
"""

from __future__ import annotations

import pickle
from dataclasses import dataclass
from typing import Any

from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.quota.model_checker import InvariantViolationError

NAMES = ("a", "b", "c")  # "a" writes


class _Chance:
    """No chance: the orders are all played."""

    def random(self) -> float:
        return 0.5

    def randrange(self, most: int) -> int:
        return 0

    def getrandbits(self, bits: int) -> int:
        return 7

    def choice(self, rows: list[Any]) -> Any:
        return rows[0]

    def sample(self, rows: list[Any], most: int) -> list[Any]:
        return rows[:most]


class _Purse:
    def can_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        return True

    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        return True


@dataclass
class World:
    members: dict[str, Gossip]
    air: dict[tuple[str, bytes], None]  # (to, what)
    written: dict[int, list[str]]  # life -> the topics of its versions, in order
    told: dict[str, int]  # the highest life of the writer that each was told of

    def key(self) -> Any:
        def of(one: Gossip) -> Any:
            return (
                tuple(
                    (name, o.life, o.seen, tuple(sorted((t, r.version) for t, r in o.records.items())))
                    for name, o in sorted(one.origins.items())
                ),
                tuple(sorted(one.news.items())),
                tuple(one.asked.values()),
            )

        return (
            tuple(of(self.members[name]) for name in NAMES),
            frozenset(self.air),
            tuple(sorted(self.told.items())),
        )

    def collect(self) -> None:
        for one in self.members.values():
            for to, data in one.out:
                self.air[to, data] = None
            one.out.clear()

    def broken(self) -> str:
        for name in NAMES[1:]:
            origin = self.members[name].origins.get("a")
            if origin is None:
                continue
            if origin.life < self.told[name]:
                return f"{name} shows life {origin.life}, told of {self.told[name]}"
            topics = self.written[origin.life]
            if origin.seen > len(topics):
                return f"{name} has seen {origin.seen} of {len(topics)}"
            for topic, record in origin.records.items():
                if topics[record.version - 1] != topic:
                    return f"{name} shows {topic} {record.version}, never written"
            for version in range(1, origin.seen + 1):
                topic = topics[version - 1]
                held = origin.records.get(topic)
                if topic not in topics[version:] and (held is None or held.version < version):
                    return f"{name} has seen {origin.seen} and lacks {topic} {version}"
        return ""


def _carry(name: str, life: int) -> Gossip:
    one = Gossip(name, life, "f", b"k" * 16, _Purse(), 10, _Chance(), 0)  # type: ignore[arg-type]
    for other in NAMES:
        one.on_member_joined(other, 1, other)
    return one


def _copy(world: World) -> World:
    made: World = pickle.loads(pickle.dumps(world, -1))  # of our own making
    return made


def steps(world: World, writes: int) -> list[tuple[str, World]]:
    found = []

    def after(name: str, do: Any) -> None:
        made = _copy(world)
        do(made)
        made.collect()
        found.append((name, made))

    life = world.members["a"].mine.life
    if sum(map(len, world.written.values())) < writes:
        for topic in ("s", "t"):

            def write(made: World, topic: str = topic) -> None:
                made.written[life].append(topic)
                made.members["a"].put(topic, str(len(made.written[life])).encode(), 0)

            after(f"a writes {topic}", write)
    if life == 1 and world.written[1]:

        def anew(made: World) -> None:
            made.members["a"] = _carry("a", 2)
            made.written[2] = []

        after("a begins anew", anew)
    for name in NAMES[1:]:
        if world.told[name] < life:

            def tell(made: World, name: str = name) -> None:
                made.members[name].on_member_joined("a", life, "a")
                made.told[name] = life

            after(f"{name} is told of a/{life}", tell)
    for name in NAMES:
        if world.members[name].news:
            after(f"{name} passes on", lambda made, name=name: made.members[name]._pass_on(0))
        for to in NAMES:
            if to != name and not world.members[name].asked:
                after(
                    f"{name} compares with {to}",
                    lambda made, name=name, to=to: made.members[name]._compare(0, to, ""),
                )
    for to, data in world.air:
        after(f"{to} takes a message", lambda made, to=to, data=data: made.members[to].on_datagram(data, 0))
    return found


def check(depth: int, writes: int = 3) -> int:
    """How many worlds there are within `depth` steps; raises Exceeded where one is broken."""
    first = World({name: _carry(name, 1) for name in NAMES}, {}, {1: []}, dict.fromkeys(NAMES, 1))
    seen, edge = {first.key()}, [(first, ())]
    for _ in range(depth):
        following: list[tuple[World, tuple[str, ...]]] = []
        for world, path in edge:
            for name, after in steps(world, writes):
                key = after.key()
                if key in seen:
                    continue
                seen.add(key)
                fault = after.broken()
                if fault:
                    raise InvariantViolationError(f"{fault}: " + ", ".join((*path, name)))
                following.append((after, (*path, name)))
        edge = following  # type: ignore[assignment]  # paths of any length
    return len(seen)
