"""Model checking of settings: every order of events to a stated depth, and the bounds in each world.

Members act by revision 1 under a lease; two groups follow, each of which changes two rows alike: one tightens, one loosens,
in either order; one after another, or both as one batch, which the register takes at once. A step is one of: the register
takes the next group (or all), the keeper proposes it (or all), begins or ends a reading, judges
what is in force, is killed and begins again with its disk; a member asks, or is killed and begins again with its
disk; a message is taken (and stays under way: it may come again, later, in any order, or never); a moment passes for all,
or for all but one whose clock is slow.

The bounds, by name: `unborn`, `back`, `in-force`, `whole`, as in settings/sync.py. The machines are the program's own; what
they write is on disk when what they send leaves. Timers are not followed: what they would do, to ask or to say again, is
a step or a message taken twice. The purse pays all.
"""

from __future__ import annotations

import copy
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from pathsaddle import leased_versions
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import Change, ChangeSet, canonical, digest_of
from pathsaddle.settings.store import Store
from pathsaddle.settings.sync import (
    Client,
    ConfigServer,
    ConfigSubscriber,
    DiskWrite,
    Happened,
    LeaseRenewal,
    Message,
    SyncPeer,
)

LEASE = 300
MOMENT = 160
SLOW = 50  # of so many ticks one is lost by a slow clock
TIGHTER, LOOSER = (10, 5, 8), (10, 20, 5)  # allowances of revisions 1, 2, 3
PAIR = ("customers.a", "customers.b")


class InvariantViolationError(AssertionError):
    """A bound does not hold; its text is which, and how that came about."""


class _Ample:
    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        return True


class Line:
    """What is committed, one after another: groups, their digests, and the rows after each, reckoned apart from the
    program's store.
    """

    def __init__(self, members: int, allowances: Iterable[int]) -> None:
        self.groups: list[ChangeSet] = []
        self.rows: list[dict[str, bytes]] = [{}]
        self.digests = [""]
        for i, allowance in enumerate(allowances):
            puts = [Change(key, canonical({"allowance": allowance})) for key in PAIR]
            if not i:
                puts += [Change(f"members.m{n}", canonical({"region": "north"})) for n in range(members)]
            group = ChangeSet(i + 1, self.digests[-1], "model", "", 0, tuple(puts))
            self.groups.append(group)
            self.digests.append(digest_of(group))
            self.rows.append(self.rows[-1] | {put.key: put.value for put in puts if put.value is not None})
        self.terms = [ActiveTerms(rows) for rows in self.rows]

    def store(self, revision: int) -> Store:
        return Store(None, self.groups[:revision])


@dataclass(frozen=True)
class World:
    """batch: what follows is proposed and committed together. clocks: each member's own, and the keeper's at the end. disks: of members; disk: the keeper's, with its offers.
    reading: the number of one that has begun, and what the register had then. force: the highest told.
    """

    line: Line
    members: tuple[ConfigSubscriber, ...]
    disks: tuple[Store, ...]
    keeper: ConfigServer
    disk: tuple[Store, tuple[ChangeSet, ...]]
    clocks: tuple[int, ...]
    air: frozenset[tuple[str, Message]]
    register: int = 1
    batch: bool = False
    reading: tuple[int, int] | None = None
    force: int = 1
    lives: int = 0

    def key(self) -> Hashable:
        """All that what comes next depends on."""
        members = tuple(
            (one.life, one.holder, one.store.revision, tuple(one.pending), tuple(one.held), one.lag_tries > 0)
            for one in self.members
        )
        one = self.keeper
        keeper = (
            one.life,
            one.core,
            one.core.learnt,
            one.store.revision,
            tuple(one.offers),
            tuple(sorted(one.clients.items(), key=_first)),
            tuple(one.waiting.items()),
            tuple((number, tuple(asked.items())) for number, asked in one.answering.items()),
            one.proposal is not None,
        )
        return (
            members,
            tuple(disk.revision for disk in self.disks),
            keeper,
            self.disk[0].revision,
            len(self.disk[1]),
            self.clocks,
            self.air,
            self.register,
            self.reading,
            self.force,
            self.lives,
        )


def _first(row: tuple[str, Any]) -> tuple[str, int]:
    return row[0], 0


def clone(machine: Any) -> Any:
    """As it is now; what can't be changed is shared."""
    made = copy.copy(machine)
    for key, value in vars(made).items():
        if isinstance(value, (dict, list, Store)):
            setattr(made, key, value.copy())
    return made


def stored(disk: Store, writes: Iterable[DiskWrite]) -> Store:
    """What is on disk after it."""
    found = [write for write in writes if write.committed]
    if not found:
        return disk
    disk = disk.copy()
    for write in found:
        if write.snapshot is not None:
            disk.replaced(write.snapshot)
        elif write.group is not None:
            disk.append(write.group)
    return disk


def start(line: Line, members: int, batch: bool = False) -> World:
    """Everybody took a lease on revision 1 in this moment, and said so; revision 2 is offered, in a batch with all others."""
    held = []
    for i in range(members):
        member = _member(f"m{i}", 1, line.store(1), 0)
        member.asks(0)
        member.heard(LeaseRenewal("k", member.name, 1, 1, 1, line.digests[1]), 0)
        member.ready()
        held.append(member)
    keeper = _keeper(1, line.store(1), (), 0)
    for i in range(members):
        keeper.core = keeper.core.hears(leased_versions.AppliedAck(f"m{i}", 1, line.digests[1]))
        keeper.clients[f"m{i}"] = Client(0, (1, line.digests[1]))
    keeper.core = replace(keeper.core, force=1)
    keeper.propose(line.groups[1], 0, line.groups[2:] if batch else ())
    ready = keeper.ready()
    offers = tuple(write.group for write in ready.writes if write.group is not None)
    return World(
        line,
        tuple(held),
        tuple(line.store(1) for _ in held),
        keeper,
        (line.store(1), offers),
        (0,) * (members + 1),
        frozenset(ready.out),
        batch=batch,
    )


def _member(name: str, life: int, disk: Store, now: int) -> ConfigSubscriber:
    return ConfigSubscriber(name, "north", life, disk.copy(), ("k",), Random(0), _Ample(), now, LEASE)


def _keeper(life: int, disk: Store, offers: tuple[ChangeSet, ...], now: int) -> ConfigServer:
    return ConfigServer("k", "north", life, disk.copy(), (), Random(0), _Ample(), now, LEASE, offers)


def steps(world: World, asks: int, lives: int) -> list[tuple[str, World]]:
    """Every next world, and what led to it."""
    found: list[tuple[str, World]] = []
    line, now = world.line, world.clocks[-1]

    def sent(
        machine: SyncPeer,
    ) -> tuple[frozenset[tuple[str, Message]], tuple[DiskWrite, ...], tuple[Happened, ...]]:
        ready = machine.ready()
        return world.air.union(ready.out) if ready.out else world.air, ready.writes, ready.told

    def member(name: str, i: int, state: ConfigSubscriber, **more: Any) -> None:
        air, writes, _ = sent(state)
        found.append(
            (
                name,
                replace(
                    world,
                    members=(*world.members[:i], state, *world.members[i + 1 :]),
                    air=air,
                    disks=(*world.disks[:i], stored(world.disks[i], writes), *world.disks[i + 1 :]),
                    **more,
                ),
            )
        )

    def keeper(name: str, state: ConfigServer, **more: Any) -> None:
        air, writes, told = sent(state)
        store, offers = world.disk
        offers = (
            *offers,
            *(write.group for write in writes if not write.committed and write.group is not None),
        )
        force = max([world.force, *(one.revision for one in told if one.what == "force")])
        found.append(
            (
                name,
                replace(
                    world, keeper=state, air=air, disk=(stored(store, writes), offers), force=force, **more
                ),
            )
        )

    following = line.groups[world.register :][: None if world.batch else 1]
    last = following[-1].revision if following else 0
    if following and all(group in world.disk[1] for group in following):
        found.append((f"the register takes {last}", replace(world, register=last)))
    if (
        following
        and world.keeper.store.revision == world.register
        and not all(group in world.disk[1] for group in following)
    ):
        state = clone(world.keeper)
        state.propose(following[0], now, following[1:])
        keeper(f"the keeper proposes {last}", state)
    if world.reading is None:
        state = clone(world.keeper)
        keeper("a reading begins", state, reading=(state.begins(now), world.register))
    else:
        number, then = world.reading
        for revision in dict.fromkeys((then, world.register)):
            state = clone(world.keeper)
            state.read(number, revision, line.digests[revision], now)
            keeper(f"it read {revision}", state, reading=None)
    if world.keeper.core.force < world.keeper.core.known[0]:
        state = clone(world.keeper)
        state.judges(now)
        if state.core.force > world.keeper.core.force:
            keeper("the keeper judges", state)
    if world.lives < lives:
        keeper(
            "the keeper begins again",
            _keeper(world.keeper.life + 1, *world.disk, now),
            reading=None,
            lives=world.lives + 1,
        )
    for i, (one, clock) in enumerate(zip(world.members, world.clocks, strict=False)):
        if one.holder.echo < asks + 1:
            state = clone(one)
            state.asks(clock)
            member(f"{one.name} asks", i, state)
        if world.lives < lives:
            member(
                f"{one.name} begins again",
                i,
                _member(one.name, one.life + 1, world.disks[i], clock),
                lives=world.lives + 1,
            )
    for to, said in sorted(world.air, key=repr):
        if to == "k":
            state = clone(world.keeper)
            state.heard(said, now)
            keeper(f"the keeper hears {type(said).__name__} of {said.name}", state)
        else:
            i = int(to[1:])
            state = clone(world.members[i])
            state.heard(said, world.clocks[i])
            member(f"{to} hears {type(said).__name__}", i, state)
    for slow in range(-1, len(world.clocks)):
        found.append(
            (
                f"a moment, clock {slow} slow" if slow >= 0 else "a moment",
                replace(
                    world,
                    clocks=tuple(
                        clock + (MOMENT - MOMENT // SLOW if i == slow else MOMENT)
                        for i, clock in enumerate(world.clocks)
                    ),
                ),
            )
        )
    return found


def breach(before: World | None, world: World) -> str:
    """Which bound does not hold in this instant, and how; empty: all do."""
    line = world.line
    for i, (one, clock) in enumerate(zip(world.members, world.clocks, strict=False)):
        base, disk, rows = one.holder.base, world.disks[i], one.rows(clock)
        if base.number > world.register or base.digest != line.digests[base.number]:
            return f"unborn: {one.name} acts by {base.number} with {world.register} committed"
        if rows.get(PAIR[0]) != rows.get(PAIR[1]) or base.spec.rows() != line.rows[base.number]:
            return f"whole: {one.name} acts by a part of a group"
        if disk.terms.rows() != line.rows[disk.revision]:
            return f"whole: {one.name} has a part of a group on disk"
        mine = ActiveTerms(rows)
        if mine.withdrawn(line.terms[base.number], ""):
            return f"unborn: {one.name} does what {base.number} doesn't allow"
        if before is not None:
            old = before.members[i]
            if disk.revision != base.number:
                return f"back: {one.name} acts by {base.number} with {disk.revision} on disk"
            if disk.revision < before.disks[i].revision or base.number < (
                old.holder.base.number if old.life == one.life else before.disks[i].revision
            ):
                return f"back: {one.name} went from {old.holder.base.number} to {base.number}"
        if base.number < world.force and (one.leased(clock) or mine.withdrawn(line.terms[world.force], "")):
            return f"in-force: {one.name} acts by {base.number} with {world.force} in force"
    return ""


def check_all(
    depth: int,
    members: int = 2,
    asks: int = 1,
    lives: int = 1,
    *,
    allowances: tuple[int, ...] = TIGHTER,
    first: World | None = None,
    batch: bool = False,
) -> int:
    """How many worlds there are within `depth` steps of the start; raises Forbidden where a bound fails in one."""
    world = first or start(Line(members, allowances), members, batch)
    seen: dict[Hashable, None] = {world.key(): None}
    edge: list[tuple[World, tuple[Any, ...]]] = [(world, ())]
    for _ in range(depth):
        following = []
        for at, way in edge:
            for name, after in steps(at, asks, lives):
                key = after.key()
                if key in seen:
                    continue
                seen[key] = None
                here = (way, name)
                wrong = breach(at, after)
                if wrong:
                    raise InvariantViolationError(f"{wrong}: " + ", ".join(_path(here)))
                following.append((after, here))
        edge = following
    return len(seen)


def drive_to(world: World, *names: str, asks: int = 1, lives: int = 0) -> World:
    """By the first step of each name that changes anything."""
    for name in names:
        here = world.key()
        world = next(
            after for found, after in steps(world, asks, lives) if found == name and after.key() != here
        )
    return world


def left_behind(members: int = 2) -> World:
    """LOOSER's revision 2 is in force by the end of leases: m0 has heard nothing of it and acts by 1, alone. What was before
    2 is cut from the keeper's history; 3, which forbids what both allow, is proposed.
    """
    words = [
        word
        for i in range(1, members)
        for word in (f"m{i} hears CommitNotice", f"the keeper hears AppliedAck of m{i}")
    ]
    return drive_to(
        start(Line(members, LOOSER), members),
        "the register takes 2",
        "a reading begins",
        "it read 2",
        *words,
        "a moment",
        "a moment",
        "the keeper judges",
        "the keeper proposes 3",
    )


def walk(
    seed: int,
    length: int = 60,
    members: int = 3,
    asks: int = 8,
    lives: int = 4,
    allowances: tuple[int, ...] = TIGHTER,
    batch: bool = False,
) -> World:
    """One order of events, far longer than all can be tried, drawn by chance; where it ended. Raises Forbidden."""
    chance = Random(seed)
    world = start(Line(members, allowances), members, batch)
    path: list[str] = []
    for _ in range(length):
        here = world.key()
        found = [row for row in steps(world, asks, lives) if row[1].key() != here]
        moments = [row for row in found if row[0].startswith("a moment")]
        others = [row for row in found if not row[0].startswith("a moment")]
        before = world
        # Time goes on now and then: else every lease is over before a message is taken.
        name, world = chance.choice(moments if not others or chance.random() < 0.1 else others)
        path.append(name)
        wrong = breach(before, world)
        if wrong:
            raise InvariantViolationError(f"{wrong}: " + ", ".join(path))
    return world


def _path(way: tuple[Any, ...]) -> list[str]:
    names: list[str] = []
    while way:
        way, name = way
        names.append(name)
    return names[::-1]
