"""Dispatchers' places in a fleet on the virtual ground: their disks, their events; and a run of nothing else."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from pathsaddle.emulator.air import Air
from pathsaddle.emulator.datagrams import Datagrams
from pathsaddle.emulator.faults import Faults
from pathsaddle.emulator.links import Host, Hosts, Net, VirtualGround
from pathsaddle.emulator.plan import charter_of
from pathsaddle.emulator.world import World
from pathsaddle.fleet.driver import Fellows
from pathsaddle.fleet.lives import Lives
from pathsaddle.fleet.members import Change
from pathsaddle.fleet.wire import STATES
from pathsaddle.net.memory.counters import Counters

if TYPE_CHECKING:
    from pathsaddle.emulator.workers import Worker

SAMPLE = 1.0  # seconds between looks at what members claim to have heard; a quarter of it among few
FEW, MANY = 10, 40  # members; of more than many only some are looked at


class Disk(Lives):
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
        net.datagrams = Datagrams(net.loop, air)
        self.disks: dict[int, Disk] = {}
        self.now: dict[int, Fellows] = {}  # who runs
        self.begun: dict[int, int] = {}
        self.hosts: dict[int, Host] = {}

    def address(self, dispatcher: int) -> str:
        return f"10.3.{dispatcher >> 8}.{dispatcher & 255}:7100"

    def fellows(self, dispatcher: int, ground: VirtualGround, counters: Counters, zone: str) -> Fellows:
        from pathsaddle.charter.fellows import told as fellow
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
        made = Fellows(fellow(charter), ground, disk, chance, counters)
        made.quiet = True
        made.on_change.append(lambda change: self._tell(dispatcher, change))
        self.now[dispatcher], self.hosts[dispatcher] = made, ground.host
        return made

    def _tell(self, dispatcher: int, change: Change) -> None:
        self.world.add("view", who=f"d{dispatcher}", about=change.name, life=change.life, state=STATES[change.state],
                       why=change.why)

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
                told = [(name, m.row.life, now - m.last_heard) for name, m in core.members.items() if m.last_heard > 0]
                if len(told) > MANY:
                    told = chance.sample(told, MANY)
                self.world.add("heard", who=f"d{d}", of=told)

    def end(self) -> None:
        for name, meter in self.air.meters.items():
            self.world.add("traffic", who=name, bytes=meter.bytes, datagrams=meter.datagrams,
                           most_bytes=meter.most(0), most_datagrams=meter.most(1))


class Nobody:
    """No front layer: there are no clients."""

    def died(self, dispatcher: int) -> None:
        pass


class MembersStage(Hosts):
    """A run of members alone, each a host with its own driver."""

    def __init__(self, world: World, net: Net) -> None:
        self.world, self.net = world, net
        self.numbers = list(range(world.plan.fleet.dispatchers))
        self.workers: dict[str, Worker] = {}
        self.disks: dict[int, Any] = {}
        self.front = Nobody()
        zones = world.charter.zones
        self.zones = {f"d{d}": zones[d % len(zones)] for d in self.numbers}
        self.air = Air(world.chance("air"), lambda one, other: world.weather.delay(self.zones[one], self.zones[other]))
        self.fleet = Fleet(world, net, self.air)
        self.hosts: dict[int, Host] = {}
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.faults = Faults(world, self)  # type: ignore[arg-type]  # of a stage, what the fleet's faults need

    def place(self, name: str, zone: str) -> Any:
        return self

    def start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self.world.loop.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    def start(self, what: Any, again: bool = False) -> Any:
        """A task of the ground's, or a dispatcher by its number."""
        return self._begin(what) if isinstance(what, int) else self.start_task(what)

    async def _begin(self, dispatcher: int) -> None:
        off = self.hosts[dispatcher].wall_off if dispatcher in self.hosts else 0.0
        host = Host(self.net, f"d{dispatcher}", self.zones[f"d{dispatcher}"])
        host.wall_off = off
        self.hosts[dispatcher] = host
        self.world.add("started", dispatcher=dispatcher)
        host.run(lambda: self._life(host, dispatcher))

    async def _life(self, host: Host, dispatcher: int) -> None:
        ground = VirtualGround(host)
        fellows = self.fleet.fellows(dispatcher, ground, Counters(), host.zone)
        ended = asyncio.Event()
        self.world.loop.add_signal_handler(signal.SIGTERM, ended.set)
        fellows.begin()
        await ended.wait()
        fellows.leave()
        fellows.end()
        self.world.add("ended_itself", dispatcher=dispatcher)
        self.fleet.gone(dispatcher)

    def kill(self, dispatcher: int) -> None:
        self.world.add("killed", dispatcher=dispatcher)
        self.hosts[dispatcher].kill()
        self.fleet.gone(dispatcher)

    def lose(self, dispatcher: int, how: str) -> None:
        self.fleet.disks[dispatcher].lose(how)

    def signal(self, dispatcher: int, sig: int) -> None:
        self.hosts[dispatcher].signal(sig)

    async def gone(self, dispatcher: int) -> None:
        await asyncio.sleep(1.0)
        self.hosts[dispatcher].kill()

    async def play(self) -> None:
        world, plan = self.world, self.world.plan
        world.begun = self.net.loop.true_time()
        self.faults.begin()
        for d in self.numbers:
            await self._begin(d)
        sampling = self.start_task(self.fleet.sample())
        await asyncio.sleep(plan.seconds)
        world.add("end", open=0)
        self.fleet.end()
        sampling.cancel()
        for host in self.hosts.values():
            host.kill()
        for task in list(self.tasks):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(0)
