"""Random trouble for owners, drawn from a seed: what may happen to hosts, links and disks,
and never more than is allowed.

Allowed is: anything to anybody, but the disk of one voter at a time lost, torn or exchanged for an older
copy, and only while all others have theirs. A majority of lost disks is a matter for the operator
(docs/ownership.md).
"""

from __future__ import annotations

from random import Random

from pathsaddle.emulator.ownership.ground import Disk, Ground, MemberHost, VoterHost
from pathsaddle.trade import MILLISECOND, SECOND

KINDS = (
    "cut",
    "cut-owner",
    "lag-owner",
    "oneway",
    "split",
    "stall",
    "stall-owner",
    "kill",
    "kill-owner",
    "kill-voters",
    "kill-syncing",
    "terminate",
    "disk-lost",
    "disk-old",
    "disk-torn",
    "disk-slow",
    "disk-full",
    "spell",
    "spell",
)


class Trouble:
    """From now until `until` one fault after another; then all is mended."""

    def __init__(self, ground: Ground, chance: Random, until: int) -> None:
        self.ground, self.chance, self.until = ground, chance, until
        self.counts: dict[str, int] = {}
        self.copies: dict[str, Disk] = {}
        self.next()

    def next(self) -> None:
        ground = self.ground
        if ground.at >= self.until:
            self.mend()
            return
        kind = self.chance.choice(KINDS)
        if self.does(kind):
            self.counts[kind] = self.counts.get(kind, 0) + 1
        ground.put(ground.at + self.chance.randrange(100 * MILLISECOND, 2500 * MILLISECOND), self.next)

    def mend(self) -> None:
        ground = self.ground
        ground.cuts.clear()
        ground.lags.clear()
        ground.lost = ground.doubled = ground.late = 0.0
        ground.slow = 0
        for host in list(ground.hosts.values()):
            host.stood = min(host.stood, ground.at)
            if isinstance(host, VoterHost):
                host.disk.delay, host.disk.full = 5, False
            self.up(host.name)

    def up(self, name: str) -> None:
        host = self.ground.hosts[name]
        if not host.up:
            host.stood = 0
            host.begin()

    def owner(self) -> str:
        """Whoever owns a key, or any member."""
        ground = self.ground
        names = [
            name
            for name, host in ground.hosts.items()
            if isinstance(host, MemberHost) and host.up and host.owner.owned(host.now())
        ]
        return self.chance.choice(names or [name for name in ground.hosts if name not in ground.voters])

    def kill(self, name: str, longest: int = 5 * SECOND) -> None:
        ground = self.ground
        ground.hosts[name].kill()
        ground.put(ground.at + self.chance.randrange(50 * MILLISECOND, longest), lambda: self.up(name))

    def await_owner(self, read: int, until: int) -> None:
        """The moment at which the next one owns a key."""
        ground = self.ground
        fresh = any(event.what == "lease" and event.more.get("fresh") for event in ground.events.rows[read:])
        if fresh or ground.at >= until:
            self.kill_syncing()
        else:
            read = len(ground.events.rows)
            ground.put(ground.at + 1, lambda: self.await_owner(read, until))

    def kill_syncing(self) -> None:
        """All voters, while a slow disk has not what they took last; they are back at once."""
        for name in self.ground.voters:
            host = self.ground.hosts[name]
            assert isinstance(host, VoterHost)
            host.disk.delay = 5
            self.kill(name, 100 * MILLISECOND)

    def cut(self, ways: list[tuple[str, str]], span: int) -> None:
        ground = self.ground
        ground.cuts.update(dict.fromkeys(ways))

        def ends() -> None:
            for way in ways:
                ground.cuts.pop(way, None)

        ground.put(ground.at + span, ends)

    def does(self, kind: str) -> bool:
        ground, chance = self.ground, self.chance
        names, span = list(ground.hosts), chance.randrange(200 * MILLISECOND, 6 * SECOND)
        if kind in ("cut", "cut-owner", "oneway"):
            one = {self.owner()} if kind == "cut-owner" else set(chance.sample(names, chance.randrange(1, 4)))
            others = [name for name in names if name not in one]
            if kind == "cut-owner" and chance.random() < 0.5:
                others = list(ground.voters)
            ways = [(a, b) for a in sorted(one) for b in others]
            back = [(b, a) for a, b in ways]
            self.cut(chance.choice((ways, back)) if kind == "oneway" else ways + back, span)
        elif kind == "lag-owner":
            # What voters answer comes late; then nothing that the owner says arrives.
            name = self.owner()
            back = [(voter, name) for voter in ground.voters]
            ground.lags.update(dict.fromkeys(back, chance.randrange(1000, 9000)))
            ground.put(
                ground.at + 2 * SECOND,
                lambda: self.cut([(name, voter) for voter in ground.voters], 2 * SECOND),
            )
            ground.put(ground.at + 4 * SECOND, ground.lags.clear)
        elif kind == "split":
            side = {name: chance.randrange(2 + (chance.random() < 0.3)) for name in names}
            self.cut([(a, b) for a in names for b in names if side[a] != side[b]], span)
        elif kind.startswith("stall"):
            host = ground.hosts[self.owner() if kind == "stall-owner" else chance.choice(names)]
            host.stood = max(host.stood, ground.at + span)
        elif kind == "kill-voters":
            for name in ground.voters:
                self.kill(name)
        elif kind == "kill-syncing":
            for name in ground.voters:
                host = ground.hosts[name]
                assert isinstance(host, VoterHost)
                host.disk.delay = chance.randrange(100 * MILLISECOND, 400 * MILLISECOND)
            self.kill(self.owner())
            self.await_owner(len(ground.events.rows), ground.at + 4 * SECOND)
        elif kind.startswith("kill"):
            self.kill(self.owner() if kind == "kill-owner" else chance.choice(names))
        elif kind == "terminate":
            name = self.owner()
            host = ground.hosts[name]
            assert isinstance(host, MemberHost)
            host.terminate()
            ground.put(ground.at + chance.randrange(2 * SECOND, 5 * SECOND), lambda: self.up(name))
        elif kind == "spell":
            ground.slow = chance.choice((0, 0, 2000, 6000))
            ground.lost, ground.doubled, ground.late = (
                chance.choice((0.0, 0.1, 0.4)),
                chance.choice((0.0, 0.2)),
                chance.choice((0.0, 0.02)),
            )
        else:
            return self.disk(kind, ground.hosts[chance.choice(ground.voters)], span)
        return True

    def disk(self, kind: str, host: object, span: int) -> bool:
        ground, chance = self.ground, self.chance
        assert isinstance(host, VoterHost)
        disk = host.disk
        if kind == "disk-slow":
            disk.delay = chance.randrange(100 * MILLISECOND, 3 * SECOND)
            ground.put(ground.at + span, lambda: setattr(host.disk, "delay", 5))
            return True
        if kind == "disk-full":
            disk.full = True
            ground.put(ground.at + span, lambda: setattr(host.disk, "full", False))
            return True
        copy = self.copies.get(host.name)
        self.copies[host.name] = disk.copy()
        if not all(
            isinstance(other, VoterHost) and other.disk.whole
            for name, other in ground.hosts.items()
            if name in ground.voters
        ):
            return False
        if kind == "disk-old" and copy is None:
            return False
        self.kill(host.name)
        if kind == "disk-old" and copy is not None:
            host.disk = copy.copy()
        elif kind == "disk-torn":
            host.disk = Disk(
                {key: kept for key, kept in disk.rows.items() if chance.random() < 0.5},
                dict(disk.starts),
                disk.start,
            )
        else:
            host.disk = Disk()
        host.disk.whole = False
        return True


def troubled(
    seed: int,
    members: int = 5,
    seconds: int = 40,
    calm: int = 15,
    voters: int = 3,
    keys: int = 1,
    lease: int = SECOND,
) -> Ground:
    """A run: so many seconds of trouble, then of calm."""
    ground = Ground(seed, members=members, voters=voters, keys=keys, lease=lease, unpreferred=members // 2)
    Trouble(ground, Random(seed * 7919 + 1), seconds * SECOND)
    ground.run((seconds + calm) * SECOND)
    return ground
