"""One run: config servers and subscribers, the program's own cores (`settings/server.py`, `subscriber.py`), in virtual time.

The register is one cell that a server reads and changes where its region reaches most voters' regions. Each process has a
disk that keeps what was synced, a clock of its own that drifts by up to 2%, and a rate limiter; each message takes the
network's time, may be lost, doubled or overtaken. Faults come from the emulated environment alone. What happened is logged
in true time and judged from the log (`judge.py`): what was committed, by which entries each subscriber acted when, what was
proven active, each datagram's size. Plans and logs keep their words: a server is a keeper there, a subscriber a member.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from pathsaddle.event_log import EventLog
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.settings import commit_round
from pathsaddle.settings.commit_round import PendingChange, PlannedChange, Verdict
from pathsaddle.settings.documents import (
    INITIAL_REVISION,
    Change,
    ChangeSet,
    InvalidDocumentError,
    RevisionId,
    Snapshot,
    canonical,
    content_hash,
    digest_of,
    id_of,
)
from pathsaddle.settings.events import Event, ProposalAcknowledged
from pathsaddle.settings.messages import Message, size_of
from pathsaddle.settings.output import DiskWrite
from pathsaddle.settings.server import ConfigServer
from pathsaddle.settings.server_selection import nearest_servers
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber import ConfigSubscriber
from pathsaddle.settings.sync_peer import PeerConfig, PeerResources

SECOND = 10_000
NEAR = SECOND // 1000  # one way, within a region
COMMIT = SECOND // 20  # what a change of the register takes, and a reading
HOLD = 2 * SECOND  # after which another keeper takes over who commits
ACT = SECOND // 4  # between two acts of a member
LOGGED = (
    "applied",
    "force",
    "committed",
    "diverged",
    "kept",
    "full",
)  # of the cores' events, by name in the log


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
    proposals: list[ChangeSet] = field(default_factory=list)

    def write(self, one: DiskWrite) -> None:
        if one.snapshot is not None:
            self.snapshot, self.log = one.snapshot, []
        elif one.changeset is not None and one.is_committed:
            self.log.append(one.changeset)
        elif one.changeset is not None:
            self.proposals.append(one.changeset)

    def store(self, max_log: int) -> Store:
        return Store(self.snapshot, self.log, max_log=max_log)


class Process:
    """A machine, its disk, its clock, its rate_limiter."""

    def __init__(self, world: World, name: str, region: str, keeper: bool) -> None:
        self.world, self.name, self.region, self.keeper = world, name, region, keeper
        self.disk, self.incarnation, self.up, self.held_until = Disk(), 0, False, 0
        self.rate = 1.0 + world.plan.drift * (2 * world.rng.random() - 1)
        self.skew = world.rng.randrange(100 * SECOND)
        self.core: ConfigSubscriber | ConfigServer
        self.waking = -1
        self.inbox: list[Message] = []
        self.sent: list[tuple[int, int]] = []

    def now(self) -> int:
        return self.skew + int(self.world.now * self.rate)

    def begin(self) -> None:
        plan, world = self.world.plan, self.world
        self.incarnation, self.up, self.inbox = self.incarnation + 1, True, []
        most = plan.keeper_bytes if self.keeper else plan.bytes
        rate_limiter = RateLimiter(most, plan.datagrams * (5 if self.keeper else 1), self.now())
        store, lease = self.disk.store(plan.log), int(plan.lease * SECOND)
        resources = PeerResources(Random(world.rng.getrandbits(64)), rate_limiter)
        if self.keeper:
            servers = [name for name in world.keepers if name != self.name]
        else:
            servers = nearest_servers(world.keepers, self.name, self.region)
        config = PeerConfig(self.name, self.region, self.incarnation, tuple(servers), lease)
        if self.keeper:
            self.core = ConfigServer(config, store, resources, self.now(), self.disk.proposals)
        else:
            self.core = ConfigSubscriber(config, store, resources, self.now())
        world.log(
            "begins", name=self.name, life=self.incarnation, revision=store.revision, keeper=self.keeper
        )
        self.turn(lambda now: now)

    def die(self) -> None:
        self.up = False
        self.world.log("dies", name=self.name)

    def turn(self, does: Callable[[int], int]) -> None:
        """One call into the machine and what it made: disk first, then datagrams, then the register."""
        if not self.up:
            return
        does(self.now())
        due = self.core.wake(self.now())
        self.carry_out()
        if isinstance(self.core, ConfigServer) and self.core.readings.is_wanted:
            self.world.read_register(self)
        self.wake_at(due)

    def carry_out(self) -> None:
        output = self.core.take_output()
        for write in output.writes:
            self.disk.write(write)
        for recipient, message in output.messages:
            self.world.send(self, recipient, message)
        for event in output.events:
            if event.log_name in LOGGED:
                self.log_event(event)
            if isinstance(event, ProposalAcknowledged):
                self.world.change_register(self, RevisionId(event.revision, event.digest))

    def log_event(self, event: Event) -> None:
        fields = event.log_fields()
        self.world.log(
            event.log_name,
            name=self.name,
            life=self.incarnation,
            revision=fields.get("revision", 0),
            digest=fields.get("digest", ""),
            why=fields.get("why", ""),
        )

    def wake_at(self, due: int) -> None:
        at = self.world.now + max(1, int((due - self.now()) / self.rate) + 1)
        if at < self.world.until:
            self.waking += 1
            mine, incarnation = self.waking, self.incarnation
            self.world.at(at, lambda: self.on_timer(mine, incarnation))

    def on_timer(self, mine: int, incarnation: int) -> None:
        if mine == self.waking and incarnation == self.incarnation and self.up:
            if self.world.now < self.held_until:
                self.world.at(self.held_until, lambda: self.on_timer(mine, incarnation))
                return
            self.turn(lambda now: now)

    def on_message(self, message: Message) -> None:
        if not self.up:
            return
        if self.world.now < self.held_until:  # stopped: it lies in the socket
            if len(self.inbox) < 256:
                self.inbox.append(message)
            return
        self.turn(lambda now: self.core.on_message(message, now))

    def stop(self, until: int) -> None:
        self.held_until = until
        self.world.log("stops", name=self.name, until=until)

        def go_on() -> None:
            inbox, self.inbox = self.inbox, []
            for message in inbox:
                self.on_message(message)

        self.world.at(until, go_on)

    def act(self) -> None:
        """By some entry, as a dispatcher does with each request."""
        if self.up and self.world.now >= self.held_until and isinstance(self.core, ConfigSubscriber):
            state, rows = self.core.state, self.core.state.entries()
            base, leased = state.versions.base, self.core.is_leased(self.now())
            if base.number and state.is_proven:
                key = self.world.rng.choice(self.world.keys)
                told = rows.get(key)
                whole = "" if state.versions.offers else content_hash(repr(sorted(rows.items())).encode())
                last = self.world.groups.get(base.digest)
                seen = {
                    key: None if (row := rows.get(key)) is None else row.decode()
                    for key in (last.keys if last is not None and whole else ())
                }
                self.world.log(
                    "acts",
                    name=self.name,
                    life=self.incarnation,
                    revision=base.number,
                    digest=base.digest,
                    leased=leased,
                    key=key,
                    value=None if told is None else told.decode(),
                    whole=whole,
                    seen=seen,
                )
        self.world.at(self.world.now + ACT, self.act)


class World:
    """One run. `events`: what happened; `run()` plays it to its end."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.rng, self.events = plan, Random(seed), EventLog()
        self.now, self.order = 0, 0
        self.dues: list[tuple[int, int, Callable[[], None]]] = []
        self.busy = int(plan.seconds * SECOND)
        self.until = self.busy + int(plan.quiet * SECOND)
        self.regions = [f"r{i}" for i in range(plan.regions)]
        self.voters = self.regions[:3] if plan.regions < 5 else self.regions[:5]
        self.cut: set[tuple[str, str]] = set()  # (from, to) regions; only asked, never walked
        self.loss = plan.loss
        self.cell = INITIAL_REVISION
        self.committer, self.proposed_at = "", 0
        self.proposing: tuple[PlannedChange[PendingChange], ...] = ()  # one round, of those that are wanted
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
        self.asked: list[int] = []  # when, by number - 1, which is each change's `created_ms`
        self.aside = Random(f"{seed} astray")
        self.changed_at: dict[int, int] = {}

    def log(self, what: str, **more: Any) -> None:
        self.events.add(self.now, what, **more)

    def at(self, when: int, does: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.dues, (when, self.order, does))

    # The ways

    def send(self, process: Process, recipient: str, message: Message) -> None:
        process.sent.append((self.now, size_of(message)))
        other = self.processes[recipient]
        if (process.region, other.region) in self.cut:
            return
        way = NEAR if process.region == other.region else int(self.plan.way * SECOND / 1000)
        for _ in range(1 + (self.rng.random() < self.plan.doubled)):
            if self.rng.random() >= self.loss:
                self.at(self.now + int(way * (1 + self.rng.random())), lambda: other.on_message(message))

    def reaches(self, region: str) -> bool:
        """Most voters, there and back."""
        reached = [
            one for one in self.voters if (region, one) not in self.cut and (one, region) not in self.cut
        ]
        return 2 * len(reached) > len(self.voters)

    # The register

    def read_register(self, keeper: Process) -> None:
        core, incarnation = keeper.core, keeper.incarnation
        assert isinstance(core, ConfigServer)
        number = core.begin_read(keeper.now())

        def proves() -> None:
            found = self.cell if self.reaches(keeper.region) else None

            def told() -> None:
                if keeper.incarnation == incarnation and keeper.up and keeper.core is core:
                    if found is None:
                        keeper.turn(lambda now: core.on_read_failed(number, now))
                    else:
                        keeper.turn(lambda now: core.on_read(number, found, now))

            self.at(self.now + COMMIT + self.rng.randrange(COMMIT), told)

        self.at(self.now + COMMIT + self.rng.randrange(COMMIT), proves)

    def change_register(self, keeper: Process, committed: RevisionId) -> None:
        """Its change of the register goes out: taken if it is still the last owner and nothing came between. With the last
        of a round's change sets all are committed in this moment.
        """
        incarnation, before = keeper.incarnation, self.cell

        def changes() -> None:
            if self.committer != keeper.name or not self.reaches(keeper.region) or self.cell != before:
                return
            groups = commit_round.changesets_between(committed.digest, before.digest, self.groups.get)
            if not groups or groups[0].revision != before.revision + 1:
                return
            self.cell = committed
            for group in groups:
                for put in group.changes:
                    if put.value is None:
                        self.rows.pop(put.key, None)
                    else:
                        self.rows[put.key] = put.value
                self.changed_at[group.revision] = self.now
                self.log(
                    "set",
                    revision=group.revision,
                    digest=digest_of(group),
                    id=group.created_ms,
                    born=self.asked[group.created_ms - 1],
                    puts=[
                        (put.key, None if put.value is None else put.value.decode()) for put in group.changes
                    ],
                    whole=content_hash(repr(sorted(self.rows.items())).encode()),
                )

            def told() -> None:
                if keeper.incarnation == incarnation and keeper.up:
                    self.read_register(keeper)

            self.at(self.now + COMMIT, told)

        self.at(self.now + COMMIT, changes)

    # Authors

    def authors(self) -> None:
        """What is wanted is proposed at a keeper that can commit, again at another where nothing came of it."""
        if self.wanted:
            last = self.processes.get(self.committer)
            if self.proposing and self.cell.revision >= self.proposing[0].changeset.revision:
                if self.cell == self.proposed():
                    for one in self.proposing:
                        self.settle(one.change, Verdict.ALREADY_COMMITTED, id_of(one.changeset))
                self.proposing = ()
            elif self.proposing and self.now >= self.proposed_at + HOLD:
                if last is not None and isinstance(last.core, ConfigServer) and last.up:
                    last.core.withdraw()
                self.committer, self.proposing = "", ()
            if self.wanted and not self.proposing:
                self.propose()
        if self.wanted or self.now < self.busy:
            self.at(self.now + SECOND // 20, self.authors)

    def proposed(self) -> RevisionId:
        return id_of(self.proposing[-1].changeset)

    def settle(self, change: PendingChange, verdict: Verdict, committed: RevisionId) -> None:
        self.wanted.remove(change)
        self.log(
            "verdict",
            id=change.created_ms,
            verdict=verdict.value,
            revision=committed.revision,
            digest=committed.digest,
        )

    def propose(self) -> None:
        able = [
            name
            for name in self.keepers
            if self.processes[name].up
            and self.processes[name].held_until <= self.now
            and self.reaches(self.keepers[name])
        ]
        ready = [name for name in able if self.processes[name].core.store.id == self.cell]
        if not ready:
            return
        self.committer = self.committer if self.committer in ready else self.rng.choice(ready)
        process = self.processes[self.committer]
        core = process.core
        assert isinstance(core, ConfigServer)
        found = commit_round.plan_round(core.store, self.wanted, lambda terms: None, core.fits_one_round)
        for one in found.verdicts:
            self.settle(one.change, one.verdict, one.committed)
        if not found.planned:
            return
        for planned in found.planned:
            proposed = id_of(planned.changeset)
            self.groups[proposed.digest] = planned.changeset
            change = planned.change
            change.attempts = [*(one for one in change.attempts if one.digest != proposed.digest), proposed]
        self.proposing, self.proposed_at = found.planned, self.now
        try:
            process.turn(lambda now: core.propose(found.changesets, now))
        except InvalidDocumentError:
            self.proposing = ()

    groups: dict[str, ChangeSet]

    def change(self) -> None:
        """One to four rows: quotas up and down, a customer gone and back."""
        drawn: dict[str, bytes | None] = {}
        there = {**self.rows}
        for one in self.wanted:
            for put in one.changes:
                if put.value is None:
                    there.pop(put.key, None)
                else:
                    there[put.key] = put.value
        for _ in range(self.rng.choice((1, 1, 1, 2, 4))):
            key = self.rng.choice(self.keys)
            if key in there and self.rng.random() < 0.15 and len(there) > 4:
                drawn[key] = None
            else:
                drawn[key] = canonical({"allowance": self.rng.randrange(1, 100)})
        puts = tuple(Change(key, value) for key, value in drawn.items() if value is not None or key in there)
        if puts:
            expect = None
            if self.aside.random() < self.plan.astray:
                if self.aside.random() < 0.5:
                    expect = self.cell.revision
                else:
                    puts = (*puts, Change("customers.nobody", None))
            self.asked.append(self.now)
            self.wanted.append(PendingChange(puts, "author", "drawn", len(self.asked), expect))
            self.log("asked", id=len(self.asked), expect=expect)

    def changes(self) -> None:
        if self.now < self.busy:
            self.change()
            self.at(
                self.now + 1 + int(60 * SECOND / self.plan.changes * self.rng.expovariate(1.0)),
                self.changes,
            )

    # Faults

    def fault(self) -> None:
        if self.now >= self.busy:
            return
        kind = self.rng.choice(
            ("kill", "kill", "kill", "stop", "stop", "cut", "one-way", "loss", "lost-disk", "keepers")
        )
        name = self.rng.choice(self.names)
        process = self.processes[name]
        lasts = int(SECOND * (0.2 + 8 * self.rng.random() ** 2))
        over = min(self.now + lasts, self.busy)
        self.log("fault", kind=kind, name=name, lasts=lasts)
        if kind in ("kill", "lost-disk") and process.up:
            process.die()
            if kind == "lost-disk" and not process.keeper:
                process.disk = Disk()
                self.log("disk-lost", name=name)
            self.at(over, lambda: process.begin() if not process.up else None)
        elif kind == "keepers":
            for other in list(self.keepers)[: (len(self.keepers) + 1) // 2]:
                keeper = self.processes[other]
                if keeper.up:
                    keeper.die()
                    self.at(over, lambda keeper=keeper: keeper.begin() if not keeper.up else None)  # type: ignore[misc]
        elif kind == "stop":
            process.stop(over)
        elif kind in ("cut", "one-way"):
            one, two = self.rng.sample(self.regions, 2) if len(self.regions) > 1 else (self.regions * 2)[:2]
            ways = [(one, two)] if kind == "one-way" else [(one, two), (two, one)]
            self.cut.update(ways)
            self.at(over, lambda: self.cut.difference_update(ways))
        elif kind == "loss":
            self.loss = 0.3
            self.at(over, lambda: setattr(self, "loss", self.plan.loss))
        self.at(self.now + 1 + int(self.plan.faults * SECOND * self.rng.expovariate(1.0)), self.fault)

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
                self.cell.revision + 1,
                self.cell.digest,
                "founder",
                "founding",
                0,
                tuple(puts[start : start + 32]),
            )
            self.cell = id_of(group)
            self.groups[self.cell.digest] = group
            for put in group.changes:
                assert put.value is not None
                self.rows[put.key] = put.value
            for name, process in self.processes.items():
                if process.keeper or self.plan.founded:
                    process.disk.log.append(group)
            self.log(
                "set",
                revision=group.revision,
                digest=self.cell.digest,
                puts=[(put.key, (put.value or b"").decode()) for put in group.changes],
                whole=content_hash(repr(sorted(self.rows.items())).encode()),
            )
        for process in self.processes.values():
            self.at(self.rng.randrange(SECOND), process.begin)
            if not process.keeper and self.plan.acts:
                self.at(SECOND + self.rng.randrange(ACT), process.act)
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
                member = process.core
                assert isinstance(member, ConfigSubscriber)
                self.log(
                    "ends",
                    name=name,
                    revision=member.state.applied.revision,
                    leased=member.is_leased(process.now()),
                )
        self.log(
            "over",
            revision=self.cell.revision,
            force=max(
                process.core.tracker.active_revision
                for process in self.processes.values()
                if isinstance(process.core, ConfigServer)
            ),
            wanted=len(self.wanted),
        )
        for name, process in self.processes.items():
            self.log(
                "purse",
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
