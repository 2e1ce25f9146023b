"""Dispatchers' places in a fleet on the virtual ground: their disks, their events."""

from __future__ import annotations

import asyncio

from pathsaddle.emulator.ground.air import Air
from pathsaddle.emulator.ground.datagrams import Datagrams
from pathsaddle.emulator.ground.links import Host, Net, VirtualGround
from pathsaddle.emulator.plan import charter_of
from pathsaddle.emulator.served.world import World
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.membership import MembershipChange
from pathsaddle.fleet.messages import STATES
from pathsaddle.fleet.udp_driver import MembershipDriver
from pathsaddle.net.memory.counters import Counters

SAMPLE = 1.0  # seconds between looks at what members claim to have heard; a quarter of it among few
FEW, MANY = 10, 40  # members; of more than many only some are looked at


class Disk(IncarnationStore):
    """A folder's last life: kept at once, since the file is synced before anything is told."""

    def __init__(self) -> None:
        super().__init__(None, "")
        self.kept: list[int] = []

    def last(self) -> int:
        return self.kept[-1] if self.kept else 0

    def keep(self, life: int) -> None:
        self.kept.append(life)

    def lose(self, how: str) -> None:
        if how == "empty":
            self.kept.clear()
        elif how == "old":
            del self.kept[1:]


class Fleet:
    """All members of one run, whoever runs them."""

    def __init__(self, world: World, net: Net, air: Air) -> None:
        self.world, self.net, self.air = world, net, air
        net.datagram = Datagrams(net.loop, air).socket
        self.disks: dict[int, Disk] = {}
        self.now: dict[int, MembershipDriver] = {}  # who runs
        self.begun: dict[int, int] = {}
        self.hosts: dict[int, Host] = {}

    def address(self, dispatcher: int) -> str:
        return f"10.3.{dispatcher >> 8}.{dispatcher & 255}:7100"

    def fellows(
        self, dispatcher: int, ground: VirtualGround, counters: Counters, zone: str
    ) -> MembershipDriver:
        from pathsaddle.config.fleet import membership_config as fellow

        plan = self.world.plan
        charter = charter_of(plan, name=f"d{dispatcher}", zone=zone)
        assert charter.fleet is not None
        charter.fleet.listen = self.address(dispatcher)
        if not charter.fleet.seeds:
            few = [0, 1, 2] if plan.fleet.dispatchers > 3 else range(plan.fleet.dispatchers)
            charter.fleet.seeds = [self.address(d) for d in few]
        count = self.begun[dispatcher] = self.begun.get(dispatcher, 0) + 1
        chance = self.world.chance(f"member {dispatcher} {count}")
        disk = self.disks.setdefault(dispatcher, Disk())
        made = MembershipDriver(fellow(charter), ground, disk, chance, counters)
        made.quiet = True
        made.on_change.append(lambda change: self._tell(dispatcher, change))
        self.now[dispatcher], self.hosts[dispatcher] = made, ground.host
        return made

    def _tell(self, dispatcher: int, change: MembershipChange) -> None:
        self.world.add(
            "view",
            who=f"d{dispatcher}",
            about=change.name,
            life=change.incarnation,
            state=STATES[change.state],
            why=change.why,
        )

    def gone(self, dispatcher: int) -> None:
        self.now.pop(dispatcher, None)

    async def sample(self) -> None:
        """What members claim to have heard, by the run's own time: the judge holds it against who was there."""
        chance = self.world.chance("samples")
        while True:
            await asyncio.sleep(SAMPLE / 4 if len(self.disks) <= FEW else SAMPLE)
            running = sorted(self.now)
            for d in running if len(running) <= MANY else chance.sample(running, MANY):
                core = self.now[d].core
                # By its own clock, which may not run as the run's does.
                now = self.hosts[d].context.run(self.now[d].clock.now)
                told = [
                    (name, m.record.incarnation, now - m.last_seen)
                    for name, m in core.members.items()
                    if m.last_seen > 0
                ]
                if len(told) > MANY:
                    told = chance.sample(told, MANY)
                self.world.add("heard", who=f"d{d}", of=told)

    def end(self) -> None:
        for name, meter in self.air.meters.items():
            self.world.add(
                "traffic",
                who=name,
                bytes=meter.bytes,
                datagrams=meter.datagrams,
                most_bytes=meter.most(0),
                most_datagrams=meter.most(1),
            )
