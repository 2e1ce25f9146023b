"""One run: keepers and members of shared settings, the program's own machines (`settings/sync.py`), in virtual time.

The register is one cell that a keeper reads and changes where its region reaches most voters' regions. Each
process has a disk that keeps what was synced, a clock of its own that runs off by up to 2%, and a rate_limiter; each message
takes the way's time, may be lost, doubled or overtaken. Faults come from the ground alone. What happened is logged in
true time and judged from the log (`judge.py`): what was committed, by which rows each member acted when, what was
told in force, each datagram's size.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from pathsaddle.emulator.events import Events
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.settings import commit_round
from pathsaddle.settings.commit_round import ALREADY_COMMITTED, PendingChange
from pathsaddle.settings.documents import (
    Change,
    ChangeSet,
    InvalidDocumentError,
    Snapshot,
    canonical,
    content_hash,
    digest_of,
)
from pathsaddle.settings.store import Store
from pathsaddle.settings.sync import (
    ConfigServer,
    ConfigSubscriber,
    DiskWrite,
    Message,
    nearest_servers,
    size_of,
)

SECOND = 10_000
NEAR = SECOND // 1000  # one way, within a region
COMMIT = SECOND // 20  # what a change of the register takes, and a reading
HOLD = 2 * SECOND  # after which another keeper takes over who commits
ACT = SECOND // 4  # between two acts of a member


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """regions, members (in all), keepers (one a region, of the first). seconds: of changes and faults. quiet: afterwards,
    in which nothing fails. changes: a minute. customers: at the start. loss, doubled: of each message. way: milliseconds
    one way between two regions. faults: mean seconds between two; 0: none. bytes, keeper_bytes, datagrams: each process's
    rate_limiter. lease: seconds. acts: whether members act. drift: by which clocks run off. founded: whether members' disks have the founding groups. log:
    groups that a store keeps. astray: of the changes, what part is no good (a row is to be removed that isn't there) or
    goes by a revision of a moment ago (`--expect`).
    """

    regions: int = 3
    members: int = 5
    keepers: int = 3
    seconds: float = 30.0
    quiet: float = 30.0
    changes: float = 30.0
    customers: int = 12
    loss: float = 0.02
    doubled: float = 0.02
    way: float = 80.0
    faults: float = 3.0
    bytes: int = 13_000
    keeper_bytes: int = 200_000
    datagrams: int = 200
    lease: float = 4.0
    acts: bool = True
    drift: float = 0.02
    founded: bool = False
    log: int = 64  # groups that a store keeps: few, so that snapshots are met
    astray: float = 0.0


@dataclass
class Disk:
    snapshot: Snapshot | None = None
    log: list[ChangeSet] = field(default_factory=list)
    offers: list[ChangeSet] = field(default_factory=list)

    def write(self, one: DiskWrite) -> None:
        if one.snapshot is not None:
            self.snapshot, self.log = one.snapshot, []
        elif one.group is not None and one.committed:
            self.log.append(one.group)
        elif one.group is not None:
            self.offers.append(one.group)

    def store(self, keep: int) -> Store:
        return Store(self.snapshot, self.log, keep=keep)


class Process:
    """A machine, its disk, its clock, its rate_limiter."""

    def __init__(self, world: World, name: str, region: str, keeper: bool) -> None:
        self.world, self.name, self.region, self.keeper = world, name, region, keeper
        self.disk, self.life, self.up, self.held_until = Disk(), 0, False, 0
        self.rate = 1.0 + world.plan.drift * (2 * world.chance.random() - 1)
        self.skew = world.chance.randrange(100 * SECOND)
        self.machine: ConfigSubscriber | ConfigServer
        self.waking = -1
        self.inbox: list[Message] = []
        self.sent: list[tuple[int, int]] = []

    def now(self) -> int:
        return self.skew + int(self.world.now * self.rate)

    def begins(self) -> None:
        plan, world = self.world.plan, self.world
        self.life, self.up, self.inbox = self.life + 1, True, []
        most = plan.keeper_bytes if self.keeper else plan.bytes
        rate_limiter = RateLimiter(most, plan.datagrams * (5 if self.keeper else 1), self.now())
        store, lease = self.disk.store(plan.log), int(plan.lease * SECOND)
        chance = Random(world.chance.getrandbits(64))
        if self.keeper:
            peers = [name for name in world.keepers if name != self.name]
            self.machine = ConfigServer(
                self.name,
                self.region,
                self.life,
                store,
                peers,
                chance,
                rate_limiter,
                self.now(),
                lease,
                offers=self.disk.offers,
            )
        else:
            near = nearest_servers(world.keepers, self.name, self.region)
            self.machine = ConfigSubscriber(
                self.name, self.region, self.life, store, near, chance, rate_limiter, self.now(), lease
            )
        world.log("begins", name=self.name, life=self.life, revision=store.revision, keeper=self.keeper)
        self.turn(lambda now: now)

    def dies(self) -> None:
        self.up = False
        self.world.log("dies", name=self.name)

    def turn(self, does: Callable[[int], int]) -> None:
        """One call into the machine and what it made: disk first, then datagrams, then the register."""
        if not self.up:
            return
        does(self.now())
        due = self.machine.wake(self.now())
        self.effects()
        if isinstance(self.machine, ConfigServer) and self.machine.wants_reading:
            self.world.reads(self)
        self.wakes(due)

    def effects(self) -> None:
        made = self.machine.ready()
        for write in made.writes:
            self.disk.write(write)
        for to, said in made.out:
            self.world.sends(self, to, said)
        for told in made.told:
            if told.what in ("applied", "force", "committed", "diverged", "kept", "full"):
                self.world.log(
                    told.what,
                    name=self.name,
                    life=self.life,
                    revision=told.revision,
                    digest=told.digest,
                    why=told.why,
                )
            if told.what == "kept":
                self.world.kept(self, told.revision, told.digest)

    def wakes(self, due: int) -> None:
        at = self.world.now + max(1, int((due - self.now()) / self.rate) + 1)
        if at < self.world.until:
            self.waking += 1
            mine, life = self.waking, self.life
            self.world.at(at, lambda: self.woken(mine, life))

    def woken(self, mine: int, life: int) -> None:
        if mine == self.waking and life == self.life and self.up:
            if self.world.now < self.held_until:
                self.world.at(self.held_until, lambda: self.woken(mine, life))
                return
            self.turn(lambda now: now)

    def heard(self, said: Message) -> None:
        if not self.up:
            return
        if self.world.now < self.held_until:  # stopped: it lies in the socket
            if len(self.inbox) < 256:
                self.inbox.append(said)
            return
        self.turn(lambda now: self.machine.heard(said, now))

    def stops(self, until: int) -> None:
        self.held_until = until
        self.world.log("stops", name=self.name, until=until)

        def goes_on() -> None:
            inbox, self.inbox = self.inbox, []
            for said in inbox:
                self.heard(said)

        self.world.at(until, goes_on)

    def acts(self) -> None:
        """By some row, as a dispatcher does with each txn."""
        if self.up and self.world.now >= self.held_until and isinstance(self.machine, ConfigSubscriber):
            now = self.now()
            member, rows = self.machine, self.machine.rows(now)
            base, leased = member.holder.base, member.leased(now)
            if base.number and member.proven:
                key = self.world.chance.choice(self.world.keys)
                told = rows.get(key)
                whole = "" if member.holder.offers else content_hash(repr(sorted(rows.items())).encode())
                last = self.world.groups.get(base.digest)
                seen = {
                    put.key: None if (row := rows.get(put.key)) is None else row.decode()
                    for put in (last.puts if last is not None and whole else ())
                }
                self.world.log(
                    "acts",
                    name=self.name,
                    life=self.life,
                    revision=base.number,
                    digest=base.digest,
                    leased=leased,
                    key=key,
                    value=None if told is None else told.decode(),
                    whole=whole,
                    seen=seen,
                )
        self.world.at(self.world.now + ACT, self.acts)


class World:
    """One run. `events`: what happened; `run()` plays it to its end."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.chance, self.events = plan, Random(seed), Events()
        self.now, self.order = 0, 0
        self.dues: list[tuple[int, int, Callable[[], None]]] = []
        self.busy = int(plan.seconds * SECOND)
        self.until = self.busy + int(plan.quiet * SECOND)
        self.regions = [f"r{i}" for i in range(plan.regions)]
        self.voters = self.regions[:3] if plan.regions < 5 else self.regions[:5]
        self.cut: set[tuple[str, str]] = set()  # (from, to) regions; only asked, never walked
        self.loss = plan.loss
        self.cell: tuple[int, str] = (0, "")
        self.committer, self.proposed_at = "", 0
        self.proposing: tuple[
            tuple[PendingChange, ChangeSet], ...
        ] = ()  # one round, of those that are wanted
        self.keys = [f"customers.c{i}" for i in range(plan.customers)]
        self.rows: dict[str, bytes] = {}
        self.keepers: dict[str, str] = {f"k{i}": self.regions[i % plan.regions] for i in range(plan.keepers)}
        self.processes: dict[str, Process] = {}
        for name, region in self.keepers.items():
            self.processes[name] = Process(self, name, region, True)
        for i in range(plan.members):
            self.processes[f"m{i}"] = Process(self, f"m{i}", self.regions[i % plan.regions], False)
        self.names = list(self.processes)
        self.wanted: list[PendingChange] = []
        self.asked: list[int] = []  # when, by number - 1, which is each change's `at`
        self.aside = Random(f"{seed} astray")
        self.changed_at: dict[int, int] = {}

    def log(self, what: str, **more: Any) -> None:
        self.events.add(self.now, what, **more)

    def at(self, when: int, does: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.dues, (when, self.order, does))

    # The ways

    def sends(self, process: Process, to: str, said: Message) -> None:
        process.sent.append((self.now, size_of(said)))
        other = self.processes[to]
        if (process.region, other.region) in self.cut:
            return
        way = NEAR if process.region == other.region else int(self.plan.way * SECOND / 1000)
        for _ in range(1 + (self.chance.random() < self.plan.doubled)):
            if self.chance.random() >= self.loss:
                self.at(self.now + int(way * (1 + self.chance.random())), lambda: other.heard(said))

    def reaches(self, region: str) -> bool:
        """Most voters, there and back."""
        reached = [
            one for one in self.voters if (region, one) not in self.cut and (one, region) not in self.cut
        ]
        return 2 * len(reached) > len(self.voters)

    # The register

    def reads(self, keeper: Process) -> None:
        machine, life = keeper.machine, keeper.life
        assert isinstance(machine, ConfigServer)
        number = machine.begins(keeper.now())

        def proves() -> None:
            found = self.cell if self.reaches(keeper.region) else None

            def told() -> None:
                if keeper.life == life and keeper.up and keeper.machine is machine:
                    if found is None:
                        keeper.turn(lambda now: machine.unread(number, now))
                    else:
                        keeper.turn(lambda now: machine.read(number, *found, now))

            self.at(self.now + COMMIT + self.chance.randrange(COMMIT), told)

        self.at(self.now + COMMIT + self.chance.randrange(COMMIT), proves)

    def kept(self, keeper: Process, revision: int, digest: str) -> None:
        """Its change of the register goes out: taken if it is still the last owner and nothing came between. With the last
        of a round's groups all are committed in this moment.
        """
        life, before = keeper.life, self.cell

        def changes() -> None:
            if self.committer != keeper.name or not self.reaches(keeper.region) or self.cell != before:
                return
            groups = commit_round.changesets_between(digest, before[1], self.groups.get)
            if not groups or groups[0].revision != before[0] + 1:
                return
            self.cell = (revision, digest)
            for group in groups:
                for put in group.puts:
                    if put.value is None:
                        self.rows.pop(put.key, None)
                    else:
                        self.rows[put.key] = put.value
                self.changed_at[group.revision] = self.now
                self.log(
                    "set",
                    revision=group.revision,
                    digest=digest_of(group),
                    id=group.at,
                    born=self.asked[group.at - 1],
                    puts=[(put.key, None if put.value is None else put.value.decode()) for put in group.puts],
                    whole=content_hash(repr(sorted(self.rows.items())).encode()),
                )

            def told() -> None:
                if keeper.life == life and keeper.up:
                    self.reads(keeper)

            self.at(self.now + COMMIT, told)

        self.at(self.now + COMMIT, changes)

    # Authors

    def authors(self) -> None:
        """What is wanted is proposed at a keeper that can commit, again at another where nothing came of it."""
        if self.wanted:
            last = self.processes.get(self.committer)
            if self.proposing and self.cell[0] >= self.proposing[0][1].revision:
                if self.cell == self.proposed():
                    for change, group in self.proposing:
                        self.tells(change, ALREADY_COMMITTED, group.revision, digest_of(group))
                self.proposing = ()
            elif self.proposing and self.now >= self.proposed_at + HOLD:
                if last is not None and isinstance(last.machine, ConfigServer) and last.up:
                    last.machine.withdraw(last.now())
                self.committer, self.proposing = "", ()
            if self.wanted and not self.proposing:
                self.proposes()
        if self.wanted or self.now < self.busy:
            self.at(self.now + SECOND // 20, self.authors)

    def proposed(self) -> tuple[int, str]:
        return self.proposing[-1][1].revision, digest_of(self.proposing[-1][1])

    def tells(self, change: PendingChange, what: str, revision: int, digest: str) -> None:
        self.wanted.remove(change)
        self.log("verdict", id=change.at, verdict=what, revision=revision, digest=digest)

    def proposes(self) -> None:
        able = [
            name
            for name in self.keepers
            if self.processes[name].up
            and self.processes[name].held_until <= self.now
            and self.reaches(self.keepers[name])
        ]
        ready = [
            name
            for name in able
            if (store := self.processes[name].machine.store) and (store.revision, store.digest) == self.cell
        ]
        if not ready:
            return
        self.committer = self.committer if self.committer in ready else self.chance.choice(ready)
        process = self.processes[self.committer]
        machine = process.machine
        assert isinstance(machine, ConfigServer)
        found = commit_round.plan_round(machine.store, self.wanted, lambda terms: None, machine.joins)
        for told in found.told:
            self.tells(told.change, told.what, told.revision, told.digest)
        if not found.taken:
            return
        for change, group in found.taken:
            digest = digest_of(group)
            self.groups[digest] = group
            change.tried = [*(one for one in change.tried if one[1] != digest), (group.revision, digest)]
        self.proposing, self.proposed_at = found.taken, self.now
        groups = found.groups
        try:
            process.turn(lambda now: machine.propose(groups[0], now, groups[1:]))
        except InvalidDocumentError:
            self.proposing = ()

    groups: dict[str, ChangeSet]

    def change(self) -> None:
        """One to four rows: quotas up and down, a customer gone and back."""
        drawn: dict[str, bytes | None] = {}
        there = {**self.rows}
        for one in self.wanted:
            for put in one.puts:
                if put.value is None:
                    there.pop(put.key, None)
                else:
                    there[put.key] = put.value
        for _ in range(self.chance.choice((1, 1, 1, 2, 4))):
            key = self.chance.choice(self.keys)
            if key in there and self.chance.random() < 0.15 and len(there) > 4:
                drawn[key] = None
            else:
                drawn[key] = canonical({"allowance": self.chance.randrange(1, 100)})
        puts = tuple(Change(key, value) for key, value in drawn.items() if value is not None or key in there)
        if puts:
            expect = None
            if self.aside.random() < self.plan.astray:
                if self.aside.random() < 0.5:
                    expect = self.cell[0]
                else:
                    puts = (*puts, Change("customers.nobody", None))
            self.asked.append(self.now)
            self.wanted.append(PendingChange(puts, "author", "drawn", len(self.asked), expect))
            self.log("asked", id=len(self.asked), expect=expect)

    def changes(self) -> None:
        if self.now < self.busy:
            self.change()
            self.at(
                self.now + 1 + int(60 * SECOND / self.plan.changes * self.chance.expovariate(1.0)),
                self.changes,
            )

    # Faults

    def fault(self) -> None:
        if self.now >= self.busy:
            return
        kind = self.chance.choice(
            ("kill", "kill", "kill", "stop", "stop", "cut", "one-way", "loss", "lost-disk", "keepers")
        )
        name = self.chance.choice(self.names)
        process = self.processes[name]
        lasts = int(SECOND * (0.2 + 8 * self.chance.random() ** 2))
        over = min(self.now + lasts, self.busy)
        self.log("fault", kind=kind, name=name, lasts=lasts)
        if kind in ("kill", "lost-disk") and process.up:
            process.dies()
            if kind == "lost-disk" and not process.keeper:
                process.disk = Disk()
                self.log("disk-lost", name=name)
            self.at(over, lambda: process.begins() if not process.up else None)
        elif kind == "keepers":
            for other in list(self.keepers)[: (len(self.keepers) + 1) // 2]:
                keeper = self.processes[other]
                if keeper.up:
                    keeper.dies()
                    self.at(over, lambda keeper=keeper: keeper.begins() if not keeper.up else None)  # type: ignore[misc]
        elif kind == "stop":
            process.stops(over)
        elif kind in ("cut", "one-way"):
            one, two = (
                self.chance.sample(self.regions, 2) if len(self.regions) > 1 else (self.regions * 2)[:2]
            )
            ways = [(one, two)] if kind == "one-way" else [(one, two), (two, one)]
            self.cut.update(ways)
            self.at(over, lambda: self.cut.difference_update(ways))
        elif kind == "loss":
            self.loss = 0.3
            self.at(over, lambda: setattr(self, "loss", self.plan.loss))
        self.at(self.now + 1 + int(self.plan.faults * SECOND * self.chance.expovariate(1.0)), self.fault)

    def run(self) -> World:
        self.groups = {}
        first = [
            Change(f"members.{name}", canonical({"region": process.region}))
            for name, process in self.processes.items()
            if not process.keeper
        ]
        rows = [Change(key, canonical({"allowance": 50})) for key in self.keys]
        puts = first + rows
        # The first groups stand at all keepers from the founding on, as one snapshot of each would.
        for start in range(0, len(puts), 32):
            group = ChangeSet(
                self.cell[0] + 1, self.cell[1], "founder", "founding", 0, tuple(puts[start : start + 32])
            )
            self.cell = (group.revision, digest_of(group))
            self.groups[self.cell[1]] = group
            for put in group.puts:
                assert put.value is not None
                self.rows[put.key] = put.value
            for name, process in self.processes.items():
                if process.keeper or self.plan.founded:
                    process.disk.log.append(group)
            self.log(
                "set",
                revision=group.revision,
                digest=self.cell[1],
                puts=[(put.key, (put.value or b"").decode()) for put in group.puts],
                whole=content_hash(repr(sorted(self.rows.items())).encode()),
            )
        for process in self.processes.values():
            self.at(self.chance.randrange(SECOND), process.begins)
            if not process.keeper and self.plan.acts:
                self.at(SECOND + self.chance.randrange(ACT), process.acts)
        self.at(2 * SECOND, self.changes)
        self.at(2 * SECOND, self.authors)
        if self.plan.faults:
            self.at(3 * SECOND, self.fault)
        self.at(self.busy, self.calms)
        while self.dues and self.dues[0][0] < self.until:
            self.now, _, does = heapq.heappop(self.dues)
            does()
        self.now = self.until
        for name, process in self.processes.items():
            if not process.keeper:
                member = process.machine
                assert isinstance(member, ConfigSubscriber)
                self.log(
                    "ends", name=name, revision=member.holder.base.number, leased=member.leased(process.now())
                )
        self.log(
            "over",
            revision=self.cell[0],
            force=max(
                process.machine.core.force
                for process in self.processes.values()
                if isinstance(process.machine, ConfigServer)
            ),
            wanted=len(self.wanted),
        )
        for name, process in self.processes.items():
            self.log(
                "rate_limiter",
                name=name,
                most=self.plan.keeper_bytes if process.keeper else self.plan.bytes,
                worst=worst(process.sent),
            )
        return self

    def calms(self) -> None:
        self.cut.clear()
        self.loss = 0.0


def worst(sent: list[tuple[int, int]]) -> int:
    """The most bytes in any span of a second."""
    most, total, first = 0, 0, 0
    for at, size in sent:
        total += size
        while sent[first][0] <= at - SECOND:
            total -= sent[first][1]
            first += 1
        most = max(most, total)
    return most
