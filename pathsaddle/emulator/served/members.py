"""The members of a fleet on the emulated network: their disks, their changes in the event log, their samples.

`emulator/stage.py` and `emulator/membership/stage.py` start the members; this module makes their drivers and logs what they
believe. It judges nothing: `emulator/judges/fleet_judge.py` reads the log.
"""

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

SAMPLE_SECONDS = 1.0  # between samples of when members claim to have seen others; a quarter of it among few
FEW_MEMBERS = 10
MAX_SAMPLED = 40  # members, and others of each, in one sample; of more some are drawn
MAX_SEEDS = 3  # that a plan's fleet has where it names none


class Disk(IncarnationStore):
    """The incarnations on an emulated disk: on it at once, since the file is synced before anything is told."""

    def __init__(self) -> None:
        super().__init__(None, "")
        self.incarnations: list[int] = []

    def last(self) -> int:
        """Returns the last incarnation; 0 where none is on the disk."""
        return self.incarnations[-1] if self.incarnations else 0

    def keep(self, incarnation: int) -> None:
        """Stores an incarnation."""
        self.incarnations.append(incarnation)

    def lose(self, how: str) -> None:
        """Loses what the disk holds: `empty` all, `old` all but the first incarnation."""
        if how == "empty":
            self.incarnations.clear()
        elif how == "old":
            del self.incarnations[1:]


class Fleet:
    """All members of one run, whichever simulation runs them.

    Attributes:
        disks: By the dispatcher's number; a disk outlives its processes.
        drivers: Those that run.
        start_counts: How often each dispatcher was started.
        hosts: The host of each driver.
    """

    def __init__(self, world: World, net: Net, air: Air) -> None:
        self.world, self.net, self.air = world, net, air
        net.datagram = Datagrams(net.loop, air).socket
        self.disks: dict[int, Disk] = {}
        self.drivers: dict[int, MembershipDriver] = {}
        self.start_counts: dict[int, int] = {}
        self.hosts: dict[int, Host] = {}

    def address(self, dispatcher: int) -> str:
        """Returns where a dispatcher takes datagrams."""
        return f"10.3.{dispatcher >> 8}.{dispatcher & 255}:7100"

    def fellows(
        self, dispatcher: int, environment: VirtualGround, counters: Counters, zone: str
    ) -> MembershipDriver:
        """Returns the driver of a new process of a dispatcher, with a random generator of its own."""
        from pathsaddle.config.fleet import membership_config

        plan = self.world.plan
        config = charter_of(plan, name=f"d{dispatcher}", zone=zone)
        assert config.fleet is not None
        config.fleet.listen = self.address(dispatcher)
        if not config.fleet.seeds:
            seeds = range(min(plan.fleet.dispatchers, MAX_SEEDS))
            config.fleet.seeds = [self.address(number) for number in seeds]
        count = self.start_counts[dispatcher] = self.start_counts.get(dispatcher, 0) + 1
        rng = self.world.chance(f"member {dispatcher} {count}")
        disk = self.disks.setdefault(dispatcher, Disk())
        driver = MembershipDriver(membership_config(config), environment, disk, rng, counters)
        driver.quiet = True
        driver.on_change.append(lambda change: self._log_change(dispatcher, change))
        self.drivers[dispatcher], self.hosts[dispatcher] = driver, environment.host
        return driver

    def _log_change(self, dispatcher: int, change: MembershipChange) -> None:
        self.world.add(
            "view",
            who=f"d{dispatcher}",
            about=change.name,
            life=change.incarnation,
            state=STATES[change.state],
            why=change.why,
        )

    def gone(self, dispatcher: int) -> None:
        """Forgets the driver of a process that has ended."""
        self.drivers.pop(dispatcher, None)

    async def sample(self) -> None:
        """Logs when members claim to have seen others; the judge compares it with which of them ran."""
        rng = self.world.chance("samples")
        while True:
            is_small = len(self.disks) <= FEW_MEMBERS
            await asyncio.sleep(SAMPLE_SECONDS / 4 if is_small else SAMPLE_SECONDS)
            running = sorted(self.drivers)
            for number in running if len(running) <= MAX_SAMPLED else rng.sample(running, MAX_SAMPLED):
                ages = self._ages(number)
                if len(ages) > MAX_SAMPLED:
                    ages = rng.sample(ages, MAX_SAMPLED)
                self.world.add("heard", who=f"d{number}", of=ages)

    def _ages(self, number: int) -> list[tuple[str, int, int]]:
        """Returns (name, incarnation, ticks since it was last seen) by the member's own clock, which may drift."""
        driver = self.drivers[number]
        now = self.hosts[number].context.run(driver.clock.now)
        members = driver.core.members.items()
        return [(name, m.record.incarnation, now - m.last_seen) for name, m in members if m.last_seen > 0]

    def end(self) -> None:
        """Logs what each member has sent."""
        for name, meter in self.air.meters.items():
            self.world.add(
                "traffic",
                who=name,
                bytes=meter.bytes,
                datagrams=meter.datagrams,
                most_bytes=meter.most(0),
                most_datagrams=meter.most(1),
            )
