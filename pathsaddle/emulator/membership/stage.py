"""A run of members alone, from its start to its end, with the faults of its plan."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Coroutine
from typing import Any

from pathsaddle.emulator.faults.faults import Faults
from pathsaddle.emulator.ground.air import Air
from pathsaddle.emulator.ground.links import Host, Net, VirtualGround
from pathsaddle.emulator.served.members import Fleet
from pathsaddle.emulator.served.world import Hosts, World
from pathsaddle.net.memory.counters import Counters


class MembersStage(Hosts):
    """A run of members alone, each a host with its own driver; faults act on it as `Hosts`."""

    def __init__(self, world: World, net: Net) -> None:
        self.world, self.net = world, net
        self.numbers = list(range(world.plan.fleet.dispatchers))
        self.disks: dict[int, Any] = {}  # none: members have no stores
        zones = world.charter.zones
        self.zones = {f"d{d}": zones[d % len(zones)] for d in self.numbers}
        self.air = Air(
            world.chance("air"), lambda one, other: world.weather.delay(self.zones[one], self.zones[other])
        )
        self.fleet = Fleet(world, net, self.air)
        self.hosts: dict[int, Host] = {}
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.faults = Faults(world, self.start_task, self, self.air)

    def start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task of the run, which `play` cancels at its end."""
        task = self.world.loop.create_task(work)
        self.tasks[task] = None
        task.add_done_callback(lambda done: self.tasks.pop(done, None))
        return task

    async def start(self, dispatcher: int, again: bool = False) -> None:
        """Starts a member on a new host; its wall clock keeps the error of the host before."""
        off = self.hosts[dispatcher].wall_off if dispatcher in self.hosts else 0.0
        host = Host(self.net, f"d{dispatcher}", self.zones[f"d{dispatcher}"])
        host.wall_off = off
        self.hosts[dispatcher] = host
        self.world.add("started", dispatcher=dispatcher)
        host.run(lambda: self._run_member(host, dispatcher))

    async def _run_member(self, host: Host, dispatcher: int) -> None:
        driver = self.fleet.fellows(dispatcher, VirtualGround(host), Counters(), host.zone)
        ended = asyncio.Event()
        self.world.loop.add_signal_handler(signal.SIGTERM, ended.set)
        driver.begin()
        await ended.wait()
        driver.leave()
        driver.end()
        self.world.add("ended_itself", dispatcher=dispatcher)
        self.fleet.gone(dispatcher)

    def kill(self, dispatcher: int) -> None:
        """Ends a member at once, as SIGKILL does."""
        self.world.add("killed", dispatcher=dispatcher)
        self.hosts[dispatcher].kill()
        self.fleet.gone(dispatcher)

    def lose(self, dispatcher: int, how: str) -> None:
        """Loses what the disk holds: `empty` all, `old` all but the first incarnation."""
        self.fleet.disks[dispatcher].lose(how)

    def signal(self, dispatcher: int, sig: int) -> None:
        """Sends a signal to a member."""
        self.hosts[dispatcher].signal(sig)

    async def gone(self, dispatcher: int) -> None:
        """Kills the host of a member that has ended, a second later."""
        await asyncio.sleep(1.0)
        self.hosts[dispatcher].kill()

    async def play(self) -> None:
        """Runs the plan from its start to its end."""
        world, plan = self.world, self.world.plan
        world.begun = self.net.loop.true_time()
        self.faults.begin()
        for d in self.numbers:
            await self.start(d)
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
