"""Voters, candidates and a place of effect in virtual time: the cores themselves run,
everything under them is made here.

A host has a clock that may be off, may be stopped and go on, may be killed; a voter has a disk that keeps
what was synced and any part of what was not. What is sent meets cuts by ordered pair, loss, doubling, and
copies that come minutes late. One seed, one run.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from pathsaddle.consensus.acceptor import Acceptor, DiskWrite
from pathsaddle.consensus.fencing import Fence
from pathsaddle.consensus.lease_manager import LeaseManager
from pathsaddle.consensus.messages import Ballot, Message, Value, size_of
from pathsaddle.emulator.events import Events
from pathsaddle.trade import MILLISECOND, SECOND


@dataclass
class Disk:
    """What of a voter is synced."""

    rows: dict[str, tuple[Ballot, Ballot, Value]] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)
    start: int = 0
    whole: bool = True
    delay: int = 5  # ticks that a sync takes
    full: bool = False

    def write(self, writes: list[DiskWrite], name: str) -> None:
        for one in writes:
            if one.kept is not None:
                self.rows[one.key] = one.kept
            elif one.voter == name:
                self.start, self.whole = one.start, one.whole
            else:
                self.starts[one.voter] = one.start

    def copy(self) -> Disk:
        return Disk(dict(self.rows), dict(self.starts), self.start, self.whole, self.delay)


class Host:
    """rate: of its clock. stood: until when it stands still."""

    def __init__(self, ground: Ground, name: str, rate: float) -> None:
        self.ground, self.name, self.rate = ground, name, rate
        self.offset = ground.chance.randrange(1 << 30)
        self.up, self.stood, self.lives = True, 0, 0

    def now(self) -> int:
        return int(self.ground.at * self.rate) + self.offset

    def true(self, moment: int) -> int:
        """When its clock shows `moment`."""
        return -int(-(moment - self.offset) / self.rate // 1)

    def later(self, ticks: int, act: Callable[[], None]) -> None:
        """By its own clock; not if this life has ended; not while it stands."""
        life = self.lives

        def due() -> None:
            if not self.up or life != self.lives:
                return
            if self.ground.at < self.stood:
                self.ground.put(self.stood, due)
            else:
                act()

        self.ground.put(self.ground.at + max(1, int(ticks / self.rate) + 1), due)

    def wakes(self, due: int, act: Callable[[], None]) -> None:
        self.later(max(1, due - self.now()), act)


class VoterHost(Host):
    def __init__(self, ground: Ground, name: str, rate: float) -> None:
        super().__init__(ground, name, rate)
        self.disk = Disk()
        self.inbox: list[tuple[str, int, dict[str, int], Message]] = []
        self.syncing: tuple[list[DiskWrite], list[tuple[str, Message]]] | None = None
        self.begin()

    def begin(self) -> None:
        self.up, self.lives = True, self.lives + 1
        self.inbox, self.syncing = [], None
        disk = self.disk
        start = max(disk.start + 1, self.ground.at)
        self.voter = Acceptor(
            self.name, self.ground.voters, disk.rows, disk.starts, start, disk.whole, self.now()
        )
        self.tick()

    def tick(self) -> None:
        self.voter.wake(self.now())
        self.flush()
        if not self.voter.part:
            self.wakes(self.voter.due(), self.tick)

    def take(self, sender: str, start: int, starts: dict[str, int], message: Message) -> None:
        if len(self.inbox) < 4096:
            self.inbox.append((sender, start, starts, message))
        if self.syncing is None:
            self.turn()

    def turn(self) -> None:
        inbox, self.inbox = self.inbox, []
        parted = self.voter.part
        for sender, _, starts, message in inbox:
            self.voter.learn(starts, self.now())
            self.voter.heard(sender, message, self.now())
        self.flush()
        if parted and not self.voter.part:
            self.tick()

    def flush(self) -> None:
        voter = self.voter
        if self.syncing is not None:
            return
        writes, voter.writes = voter.writes, []
        out, voter.out = voter.out, []
        if not writes:
            self.ground.says(self, out)
            return
        self.syncing = writes, out
        if self.ground.hasty:
            self.ground.says(self, out)
        self.later(self.disk.delay, self.synced)

    def synced(self) -> None:
        assert self.syncing is not None
        writes, out = self.syncing
        self.syncing = None
        if self.disk.full:
            self.kill()
            self.ground.put(self.ground.at + SECOND, self.again)
            return
        self.disk.write(writes, self.name)
        self.ground.syncs += 1
        if not self.ground.hasty:
            self.ground.says(self, out)
        if self.inbox or self.voter.writes:
            self.turn()

    def again(self) -> None:
        if not self.up:
            self.begin()

    def kill(self) -> None:
        """Of what was not synced any part may stand."""
        if not self.up:
            return
        self.up = False
        if self.syncing is not None:
            writes = self.syncing[0]
            self.disk.write(writes[: self.ground.chance.randrange(len(writes) + 1)], self.name)
            self.syncing = None


class MemberHost(Host):
    """A candidate for all keys; while it owns one it acts: looks,
    and a while later its effect is on its way.
    """

    def __init__(self, ground: Ground, name: str, rate: float, prefers: bool) -> None:
        super().__init__(ground, name, rate)
        self.prefers = prefers
        self.begin()

    def begin(self) -> None:
        self.up, self.lives = True, self.lives + 1
        self.alarm = 0
        ground = self.ground
        self.owner = LeaseManager(
            self.name, ground.at * 64 + self.lives, ground.voters, ground.lease, ground.chance
        )
        self.owner.histories = True
        for key in ground.keys:
            self.owner.stand(key, self.now(), self.prefers)
        self.tick()
        if ground.pause:
            self.later(ground.chance.randrange(1, ground.pause), self.work)

    def tick(self) -> None:
        self.owner.wake(self.now())
        self.flush()

    def flush(self) -> None:
        owner = self.owner
        happened, owner.happened = owner.happened, []
        for one in happened:
            self.ground.told(self, one)
        out, owner.out = owner.out, []
        self.ground.says(self, out)
        due = owner.due()
        if due < 1 << 60:
            self.alarm += 1
            alarm = self.alarm

            def ring() -> None:
                if alarm == self.alarm:
                    self.tick()

            self.wakes(due, ring)

    def take(self, sender: str, start: int, starts: dict[str, int], message: Message) -> None:
        self.owner.learn(starts)
        self.owner.heard(sender, start, message, self.now())
        self.flush()

    def work(self) -> None:
        ground = self.ground
        for key in ground.keys:
            number = self.owner.fencing_token(key, self.now())
            if number:
                ground.log("act", self.name, key=key, number=number)
                # What lies between the look and the byte: little, or as long as it is stopped.
                self.later(ground.chance.randrange(1, 3), partial(self.effect, key, number))
                if ground.chance.random() < 0.1:
                    self.owner.put(key, b"%d" % ground.at, self.now())
            elif ground.chance.random() < 0.02:
                ask = self.owner.read(key, self.now())
                if ask:
                    ground.log(
                        "reg.call", self.name, op=f"{self.name}/{self.owner.life}/{ask}", key=key, kind="read"
                    )
        self.flush()
        self.later(ground.pause, self.work)

    def effect(self, key: str, number: int) -> None:
        for store in self.ground.stores:
            for delay in self.ground.copies(self.name, store):
                self.ground.put(
                    self.ground.at + delay, partial(self.ground.comes, store, key, number, self.name)
                )

    def kill(self) -> None:
        if self.up:
            self.up = False
            self.ground.log("member.ended", self.name, why="killed")

    def terminate(self) -> None:
        """SIGTERM: gives back, says so for a while, ends."""
        if not self.up or self.ground.at < self.stood:
            return
        if self.ground.talkative:
            for key in self.owner.owned(self.now()):
                there = self.owner.standing[key]
                self.owner.out += there.bid.stopped()[1]
            self.flush()
        else:
            self.owner.stop(self.now())
            self.flush()
        self.later(3 * self.owner.pace, self.kill)


class Ground:
    """lost, doubled, late: parts of what is sent; `late`: comes again up to two minutes later. hasty,
    talkative, unfenced: what mutants break.
    """

    def __init__(
        self,
        seed: int,
        members: int = 5,
        voters: int = 3,
        keys: int = 1,
        lease: int = SECOND,
        off: float = 0.01,
        pause: int = 60 * MILLISECOND,
        unpreferred: int = 0,
    ) -> None:
        self.chance = Random(seed)
        self.at, self.turns, self.heap = 0, 0, list[tuple[int, int, Callable[[], None]]]()
        self.events = Events()
        self.lease, self.pause = lease, pause
        self.voters = [f"v{i}" for i in range(voters)]
        self.keys = [f"k{i}" for i in range(keys)]
        self.stores = ["s0", "s1"]
        self.fences = {store: Fence(lasting=True) for store in self.stores}
        self.cuts: dict[tuple[str, str], None] = {}
        self.lags: dict[tuple[str, str], int] = {}  # ticks longer, by way
        self.lost = self.doubled = self.late = 0.0
        self.slow = 0  # up to so many ticks longer, each its own
        self.sent = self.bytes = self.syncs = 0
        self.weigh = False
        self.hasty = self.talkative = False
        self.unfenced = ""

        def rate() -> float:
            return 1 + self.chance.choice((-off, off, self.chance.uniform(-off, off)))

        self.hosts: dict[str, VoterHost | MemberHost] = {}
        for name in self.voters:
            self.hosts[name] = VoterHost(self, name, rate())
        for i in range(members):
            self.hosts[f"m{i}"] = MemberHost(self, f"m{i}", rate(), i >= unpreferred)

    # Time.

    def put(self, at: int, act: Callable[[], None]) -> None:
        self.turns += 1
        heapq.heappush(self.heap, (max(at, self.at), self.turns, act))

    def run(self, until: int) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.at, _, act = heapq.heappop(self.heap)
            act()
        self.at = until

    # What lies between.

    def copies(self, sender: str, taker: str) -> list[int]:
        chance = self.chance.random
        if (sender, taker) in self.cuts:
            return []
        delays = [] if self.lost and chance() < self.lost else [5 + int(30 * chance() ** 4)]
        if delays and (sender, taker) in self.lags:
            delays[0] += self.lags[sender, taker]
        if delays and self.slow:
            delays[0] += int(self.slow * chance())
        if self.doubled and chance() < self.doubled:
            delays.append(int(SECOND * chance()))
        if self.late and chance() < self.late:
            delays.append(int(120 * SECOND * chance()))
        return delays

    def says(self, host: Host, out: list[tuple[str, Message]]) -> None:
        if not out:
            return
        start, starts = 0, {}
        if isinstance(host, VoterHost):
            start, starts = host.voter.start, dict(host.voter.starts)
        elif isinstance(host, MemberHost):
            starts = dict(host.owner.known)
        for to, message in out:
            self.sent += 1
            if self.weigh:
                self.bytes += size_of(message)
            for delay in self.copies(host.name, to):
                self.put(self.at + delay, partial(self.brings, host.name, to, start, starts, message))

    def brings(self, sender: str, to: str, start: int, starts: dict[str, int], message: Message) -> None:
        host = self.hosts.get(to)
        if host is None or not host.up:
            return
        if self.at < host.stood:
            self.put(host.stood, lambda: self.brings(sender, to, start, starts, message))
            return
        host.take(sender, start, starts, message)

    def comes(self, store: str, key: str, number: int, by: str) -> None:
        fence = self.fences[store]
        let_in = fence.look(key, number).let_in or store == self.unfenced
        self.log("effect", store, key=key, number=number, by=by, taken=let_in)

    # What the judge reads: true time, since it is the ground that writes.

    def log(self, what: str, who: str, **more: Any) -> None:
        self.events.add(self.at, what, who=who, **more)

    def told(self, host: MemberHost, one: Any) -> None:
        more: dict[str, Any] = {"key": one.key, "number": one.number}
        life = host.owner.life
        if one.what in ("owner", "held"):
            self.log(
                "lease",
                host.name,
                **more,
                life=life,
                until=host.true(one.until),
                fresh=one.what == "owner",
                **{"from": self.at},
            )
        elif one.what in ("lost", "given"):
            self.log("lease.end", host.name, **more, life=life, why=one.why)
        elif one.what == "call":
            more = {"op": one.op, "key": one.key, "kind": one.kind}
            if one.kind != "take":
                more["number"] = one.number
            if one.kind == "set":
                more |= {"value": one.data.decode(), "revision": one.revision}
            self.log("reg.call", host.name, **more)
        elif one.what == "end":
            more = {"op": one.op, "outcome": one.why}
            if one.why == "ok":
                more |= {
                    "number": one.number,
                    "owner": host.name,
                    "revision": one.revision,
                    "value": one.data.decode() or None,
                }
            self.log("reg.end", host.name, **more)
        elif one.what == "read":
            more = {
                "op": f"{host.name}/{life}/{one.ask}",
                "outcome": "unknown" if one.value is None else "ok",
            }
            if one.value is not None:
                more |= {
                    "number": one.value.number,
                    "owner": one.value.owner,
                    "revision": one.value.revision,
                    "value": one.value.data.decode() or None,
                    "lapsed": False,
                }
            self.log("reg.end", host.name, **more)
