"""A run from its start to its end, on either ground: the same peers, the same plan, the same events."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

from loguru import logger

from pathsaddle.config.loader import platform_config
from pathsaddle.emulator.faults.faults import ServedFaults
from pathsaddle.emulator.ground.air import Air
from pathsaddle.emulator.ground.links import Host, Net, VirtualGround
from pathsaddle.emulator.ground.moments import Moments
from pathsaddle.emulator.ground.relays import Relays
from pathsaddle.emulator.plan import SECRET, Plan, charter_of, worker_names
from pathsaddle.emulator.served.clients import Clients, FrontLayer
from pathsaddle.emulator.served.discovery import DiscoveryServer
from pathsaddle.emulator.served.workers import Memories, Worker
from pathsaddle.emulator.served.world import TICKS, Hosts, Sites, SocketSites, VirtualSites, World
from pathsaddle.event_log import EventLog
from pathsaddle.net.service.txn_service import TxnService

if TYPE_CHECKING:  # earlier commits of ours, over which this is laid, have no jobs
    from pathsaddle.emulator.membership.stage import MembersStage
    from pathsaddle.emulator.served.members import Fleet
    from pathsaddle.fleet.udp_driver import MembershipDriver
    from pathsaddle.jobs.store import Store
    from pathsaddle.jobs.store_writer import EmulatedDiskWriter
    from pathsaddle.net.memory.counters import Counters

ROOT = Path(__file__).resolve().parent.parent.parent
AFTER = 3.0  # seconds on top of the longest expiry and its tries in which all must have ended
ENDS_IN = 8.0  # seconds in which a dispatcher that was told to end must be gone


class Stage:
    """What both grounds share: who is there, and how a run goes."""

    def __init__(self, world: World, sites: Sites) -> None:
        self.world = world
        self.sites = sites
        plan = world.plan
        self.numbers = list(range(plan.fleet.dispatchers))
        self.told: dict[int, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.disks: dict[int, EmulatedDiskWriter] = {}  # of dispatchers with a store, on the virtual ground
        self.air = Air(world.chance("air"), lambda one, other: 0.0)

    async def start(self, dispatcher: int, again: bool = False) -> None:
        """A dispatcher's process; `again`: it has nothing but an old list."""
        raise NotImplementedError

    def kill(self, dispatcher: int) -> None:
        raise NotImplementedError

    def signal(self, dispatcher: int, sig: int) -> None:
        raise NotImplementedError

    async def gone(self, dispatcher: int) -> None:
        """Until it has ended, or was ended for taking too long."""
        raise NotImplementedError

    def lose(self, dispatcher: int, how: str) -> None:
        """What became of a killed one's state folder: synced, empty, or old."""

    def stall(self, dispatcher: int) -> None:
        raise NotImplementedError

    def go_on(self, dispatcher: int) -> None:
        raise NotImplementedError

    def clock_step(self, dispatcher: int, seconds: float) -> None:
        """The virtual ground's alone: no machine's clock is ours to set."""

    def clock_rate(self, dispatcher: int, rate: float) -> None:
        """The same."""

    def parted(self) -> None:
        """The weather's cuts have changed."""

    def sampled(self) -> None:
        """Looks begin at what members of a fleet claim to have heard."""

    async def finish(self) -> None:
        """All processes end."""

    def build(self) -> None:
        plan, charter = self.world.plan, self.world.charter
        for d in self.numbers:
            self.told[d] = {"listen": self.sites.listen_of(d)}
        memories = Memories()
        names = iter(worker_names(plan))
        number = 0
        cells: dict[
            tuple[int, str, int], int
        ] = {}  # a cell's number is its own in the whole fleet, as in real lists
        for k, kind in enumerate(plan.fleet.workers):
            zones = kind.zones or charter.zones
            for i in range(kind.count):
                addresses = [self.sites.address("worker", d, number) for d in self.numbers]
                name, zone = next(names), zones[i % len(zones)]
                cell = cells.setdefault((k, zone, i // len(zones) // kind.cell), len(cells))
                self.workers[name] = Worker(
                    self.world, self.sites, memories, name, kind, zone, cell, addresses
                )
                number += 1
        self.discovery = DiscoveryServer(self.world, self.sites, self.workers)
        self.discovery.wall = self.wall()
        seeds = self.world.chance("dispatchers")
        for d in self.numbers:
            mine = charter_of(
                plan,
                name=f"d{d}",
                listen=self.sites.listen_of(d),
                number=d,
                discovery=self.discovery.addresses[d],
                zone=self.sites.zone_of(d),
                seed=f"{seeds.getrandbits(64):016x}",
            )
            self.told[d] = platform_config(mine, self.discovery.known(d))
        self.front = FrontLayer(self.world, self.sites)
        self.clients = Clients(self.world, self.sites, self.front)
        self.faults = ServedFaults(
            self.world,
            self.sites.place("faults", "").start,
            self,
            self.air,
            self.front.died,
            self.parted,
            self.workers,
            self.discovery,
            self.clients,
            self.tell,
        )

    def wall(self) -> float:
        """Unix time at the run's moment 0."""
        raise NotImplementedError

    def tell(self, dispatcher: int) -> None:
        """Its operator writes where discovery is now."""
        self.told[dispatcher]["discovery"] = self.discovery.addresses[dispatcher]

    async def play(self) -> None:
        """The whole run; its events are the world's."""
        plan, world = self.world.plan, self.world
        self.build()
        for d in self.numbers:
            await self.start(d)
        async with asyncio.timeout(30.0):
            await asyncio.gather(*(self.front.ready(d) for d in self.numbers))
        world.begun = world.loop.time()
        self.discovery.wall = self.wall()
        for name, worker in self.workers.items():
            world.add(
                "worker",
                name=name,
                zone=worker.zone,
                cell=worker.cell,
                slots=worker.kind.slots,
                speed=worker.speed,
            )
        for d in self.numbers:
            world.add("ready", dispatcher=d)
        self.faults.begin()
        self.sampled()
        if plan.load.bad:
            self.clients.places[world.charter.zones[0]].start(self.clients.misbehave(plan.seconds))
        await self.clients.arrivals(plan.seconds)
        longest = max(s.expiry for s in world.charter.schemes) / TICKS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((longest + 1.0) * (plan.load.retries + 1) + AFTER):
                await self.clients.idle.wait()
        world.add("end", open=self.clients.open)
        await self.finish()


class VirtualStage(Hosts, Stage):
    """Several dispatchers' unchanged `net` code on one virtual loop."""

    def __init__(self, world: World, net: Net) -> None:
        super().__init__(world, VirtualSites(world.charter.zones, net))
        self.net = net
        self.hosts: dict[int, Host] = {}
        self.ends: dict[int, asyncio.Task[Any]] = {}
        self.folder = tempfile.TemporaryDirectory()
        self.stores: dict[int, Store] = {}
        self.lives = 0
        zones = world.charter.zones
        self.air = Air(
            world.chance("air"),
            lambda one, other: world.weather.delay(
                zones[int(one[1:]) % len(zones)], zones[int(other[1:]) % len(zones)]
            ),
        )
        self.fleet: Fleet | None = None
        if world.charter.fleet is not None:
            from pathsaddle.emulator.served.members import Fleet

            self.fleet = Fleet(world, net, self.air)
        net.parted = lambda one, other: world.weather.parted(one.zone, other.zone, one.name, other.name)

    def wall(self) -> float:
        return self.net.loop.wall()

    async def start(self, dispatcher: int, again: bool = False) -> None:
        told = self.told[dispatcher]
        if again and self.world.plan.fleet.old_list == "death":
            told["known"] = self.discovery.known(dispatcher)
        host = Host(self.net, f"d{dispatcher}", self.sites.zone_of(dispatcher), told["limits"]["sockets"])
        host.wall_off = self.hosts[dispatcher].wall_off if dispatcher in self.hosts else 0.0
        self.hosts[dispatcher] = host
        self.world.add("started", dispatcher=dispatcher)
        self.ends[dispatcher] = host.run(lambda: self._life(host, dispatcher))
        if again:
            self.front.place.start(self.front.ready(dispatcher))

    async def _life(self, host: Host, dispatcher: int) -> None:
        from pathsaddle.net.service.start import Dispatcher
        from pathsaddle.net.wire.birth import birth

        ground = VirtualGround(
            host,
            lambda: json.dumps(self.told[dispatcher]),
            lambda *told: self._service(dispatcher, *told),
            lambda ground, counters: self._fellows(dispatcher, ground, counters),
        )
        try:
            await Dispatcher(birth(ground.told()), ground).run()
            self.world.add("ended_itself", dispatcher=dispatcher)
        except Exception as fault:
            self.world.add("died", dispatcher=dispatcher, why=repr(fault))
            raise

    def _fellows(self, dispatcher: int, ground: VirtualGround, counters: Counters) -> MembershipDriver | None:
        if self.fleet is None:
            return None
        return self.fleet.fellows(dispatcher, ground, counters, self.sites.zone_of(dispatcher))

    def _service(self, dispatcher: int, *told: Any) -> TxnService:
        jobs = self.world.charter.jobs
        if jobs is None:
            return TxnService(*told)
        from pathsaddle.jobs.job_service import JobService, JobServiceOptions
        from pathsaddle.jobs.store import Store
        from pathsaddle.jobs.store_writer import EmulatedDiskWriter

        self.lives += 1
        chance = self.world.chance(f"disk {dispatcher} {self.lives}")
        disk = self.disks[dispatcher] = EmulatedDiskWriter(
            self.net.loop, chance, self.world.plan.fleet.sync / TICKS
        )
        store = self.stores[dispatcher] = Store(
            Path(self.folder.name) / f"d{dispatcher}.db", disk, use_lock=False, synchronous="OFF"
        )
        return JobService(
            *told,
            store=store,
            rng=chance,
            options=JobServiceOptions(
                jobs.lease, jobs.retention, jobs.longest_poll, jobs.recover_within, jobs.margin
            ),
        )

    def _pull_the_plug(self, dispatcher: int) -> None:
        """Its process is gone, and of what its disk had not synced perhaps a part."""
        self.hosts[dispatcher].kill()
        if self.fleet is not None:
            self.fleet.gone(dispatcher)
        disk, store = self.disks.pop(dispatcher, None), self.stores.pop(dispatcher, None)
        if disk is not None and store is not None:
            disk.crash()
            store.close()

    def kill(self, dispatcher: int) -> None:
        self.world.add("killed", dispatcher=dispatcher)
        self._pull_the_plug(dispatcher)

    def sampled(self) -> None:
        if self.fleet is not None:
            self.front.place.start(self.fleet.sample())

    def lose(self, dispatcher: int, how: str) -> None:
        if self.fleet is not None:
            self.fleet.disks[dispatcher].lose(how)

    def signal(self, dispatcher: int, sig: int) -> None:
        self.hosts[dispatcher].signal(sig)

    async def gone(self, dispatcher: int) -> None:
        await asyncio.wait([self.ends[dispatcher]], timeout=ENDS_IN)
        if not self.ends[dispatcher].done():
            self.world.add("overdue", dispatcher=dispatcher)
        # Its process is over: whatever tasks are left end with it.
        self._pull_the_plug(dispatcher)

    async def finish(self) -> None:
        if self.fleet is not None:
            self.fleet.end()
        for dispatcher in self.hosts:
            self._pull_the_plug(dispatcher)
        self.folder.cleanup()


class SocketStage(Stage):
    """Real processes on the loopback, in real time."""

    def __init__(self, world: World, folder: Path, command: list[str], root: Path) -> None:
        super().__init__(world, SocketSites(world.charter.zones, world.loop))
        self.folder = folder
        self.command = command
        self.root = root
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.expected_ends: set[asyncio.subprocess.Process] = set()  # those that were told to end, or killed
        self.relays: Relays | None = None
        self.first_life: dict[int, bytes] = {}
        # The platform's file has no word for a store or a fleet.
        self.chartered = world.charter.jobs is not None or world.charter.fleet is not None

    def wall(self) -> float:
        import time

        return time.time() - (self.world.loop.time() - self.world.begun)

    async def start(self, dispatcher: int, again: bool = False) -> None:
        if dispatcher in self.processes:
            await self.processes[dispatcher].wait()  # a killed process may still hold its ports for a while
        if again and self.world.plan.fleet.old_list == "death":
            self.told[dispatcher]["known"] = self.discovery.known(dispatcher)
        if self.world.charter.fleet is not None and self.relays is None:
            self.relays = Relays(
                self.world.now,
                self.air,
                {
                    f"d{d}": (self.sites.address("member", d, 0), self.sites.address("relay", d, 0))
                    for d in self.numbers
                },
            )
        self.tell_file(dispatcher)
        self.world.add("started", dispatcher=dispatcher)
        with (self.folder / f"d{dispatcher}.log").open("ab") as log:
            command = self.command
            if self.chartered:
                command = [
                    sys.executable,
                    "-m",
                    "pathsaddle",
                    "serve",
                    str(self.folder / f"d{dispatcher}.json"),
                ]
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self.root,
                stderr=log,
                stdout=log,
                preexec_fn=ends_with_us,
                env={**os.environ, "GW_CONFIG": str(self.folder / f"d{dispatcher}.json")},
            )
        self.processes[dispatcher] = process
        self.front.place.start(self._watch(dispatcher, process))
        if again:
            self.front.place.start(self.front.ready(dispatcher))

    async def _watch(self, dispatcher: int, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if process not in self.expected_ends:
            self.world.add("died", dispatcher=dispatcher, why=f"exit {code}")
        elif code == 0:
            self.world.add("ended_itself", dispatcher=dispatcher)

    def tell_file(self, dispatcher: int) -> None:
        path = self.folder / f"d{dispatcher}.json"
        other = path.with_suffix(".new")
        text = json.dumps(self.told[dispatcher])
        if self.chartered:
            told, plan = self.told[dispatcher], self.world.plan.charter
            table = {
                **plan,
                "name": f"d{dispatcher}",
                "listen": told["listen"],
                "discovery": told["discovery"],
                "seed": told["seed"],
                "number": dispatcher,
                "dispatchers": len(self.numbers),
                "zone": self.sites.zone_of(dispatcher),
            }
            if "jobs" in plan:
                table["jobs"] = {**plan["jobs"], "path": str(self.folder / f"d{dispatcher}.db")}
            if "fleet" in plan:
                state = self.folder / f"state{dispatcher}"
                state.mkdir(exist_ok=True)
                table["log"] = {**plan.get("log", {}), "form": "json"}
                table["fleet"] = {
                    "name": "emulated",
                    "key": SECRET,
                    "listen": self.sites.address("member", dispatcher, 0),
                    "address": self.sites.address("relay", dispatcher, 0),
                    "folder": str(state),
                    "seeds": [self.sites.address("relay", d, 0) for d in self.numbers[:3]],
                    "control": self.sites.address("control", dispatcher, 0),
                    **plan["fleet"],
                }
            text = json.dumps(table)
        other.write_text(text, encoding="utf-8")
        other.replace(path)

    def tell(self, dispatcher: int) -> None:
        super().tell(dispatcher)
        self.tell_file(dispatcher)

    def kill(self, dispatcher: int) -> None:
        self.world.add("killed", dispatcher=dispatcher)
        self.expected_ends.add(self.processes[dispatcher])
        self.signal(dispatcher, signal.SIGKILL)

    def signal(self, dispatcher: int, sig: int) -> None:
        if sig == signal.SIGTERM:
            self.expected_ends.add(self.processes[dispatcher])
        with contextlib.suppress(ProcessLookupError):
            self.processes[dispatcher].send_signal(sig)

    async def gone(self, dispatcher: int) -> None:
        try:
            async with asyncio.timeout(ENDS_IN):
                await self.processes[dispatcher].wait()
        except TimeoutError:
            self.world.add("overdue", dispatcher=dispatcher)
            self.kill(dispatcher)

    def lose(self, dispatcher: int, how: str) -> None:
        path = self.folder / f"state{dispatcher}" / f"d{dispatcher}.life"
        if path.exists():
            first = self.first_life.setdefault(dispatcher, path.read_bytes())
            if how == "empty":
                path.unlink()
            elif how == "old":
                path.write_bytes(first)

    def stall(self, dispatcher: int) -> None:
        self.world.add("stalled", dispatcher=dispatcher)
        self.signal(dispatcher, signal.SIGSTOP)

    def go_on(self, dispatcher: int) -> None:
        self.world.add("goes_on", dispatcher=dispatcher)
        self.signal(dispatcher, signal.SIGCONT)

    def sampled(self) -> None:
        if self.world.charter.fleet is not None:
            for d in self.numbers:
                self.front.place.start(self._sample(d))

    async def _sample(self, dispatcher: int) -> None:
        """Asks a member now and then what it claims to have heard, as its operator would."""
        from pathsaddle.fleet.control_client import ControlUnreachableError, query

        address = self.sites.address("control", dispatcher, 0)
        while True:
            await asyncio.sleep(1.0)
            begun = self.world.now()
            try:
                told = await query(address, "members", 1.0)
            except ControlUnreachableError:
                continue
            of = [
                (m["name"], m["life"], min(ages) * 10)
                for m in told["members"]
                if (ages := [age for age in (m["heard"], m["heard_by"]) if age is not None])
            ]
            self.world.events.add(begun, "heard", who=f"d{dispatcher}", of=of, took=self.world.now() - begun)

    def _read_logs(self) -> None:
        """What members logged of what they believe, as events of the run."""
        from datetime import datetime

        wall = self.wall()
        for d in self.numbers:
            path = self.folder / f"d{d}.log"
            if not path.exists():
                continue
            for line in path.read_bytes().splitlines():
                try:
                    row = json.loads(line)
                    event = row["event"]
                    at = int((datetime.fromisoformat(row["time"]).timestamp() - wall) * TICKS)
                except (ValueError, KeyError, TypeError):
                    continue
                if event in ("fleet-member", "fleet-self", "fleet-doubled"):
                    state = row.get("now", "left" if event == "fleet-doubled" else "alive")
                    self.world.events.add(
                        at,
                        "view",
                        who=f"d{d}",
                        about=row["member"],
                        life=row["life"],
                        state=state,
                        why=row["why"],
                    )

    def parted(self) -> None:
        weather = self.world.weather
        for worker in self.workers.values():
            if worker.place.alive:
                for d, listener in enumerate(worker.listeners):
                    cut = weather.parted(worker.zone, self.sites.zone_of(d), worker.name)
                    (listener.deafen if cut else listener.hear)()
        if self.discovery.place.alive:
            for d, listener in enumerate(self.discovery.listeners):
                (listener.deafen if weather.parted("", self.sites.zone_of(d)) else listener.hear)()

    async def finish(self) -> None:
        for d, process in self.processes.items():
            if process.returncode is None:
                with contextlib.suppress(OSError):
                    spent = (
                        Path(f"/proc/{process.pid}/stat")
                        .read_text(encoding="ascii")
                        .rpartition(")")[2]
                        .split()
                    )
                    self.world.add(
                        "cpu",
                        dispatcher=d,
                        seconds=(int(spent[11]) + int(spent[12])) / os.sysconf("SC_CLK_TCK"),
                    )
                self.expected_ends.add(process)
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        if self.relays is not None:
            self.relays.end()
            self.relays = None
            self._read_logs()
            for name, meter in self.air.meters.items():
                self.world.add(
                    "traffic",
                    who=name,
                    bytes=meter.bytes,
                    datagrams=meter.datagrams,
                    most_bytes=meter.most(0),
                    most_datagrams=meter.most(1),
                )


def ends_with_us() -> None:
    """In a child before its program begins: it is killed when we die, however that comes (prctl's PR_SET_PDEATHSIG)."""
    import ctypes

    ctypes.CDLL(None).prctl(1, int(signal.SIGKILL), 0, 0, 0)


class Outcome:
    """What is left of a run."""

    def __init__(self, events: EventLog, digest: str, steps: int, connections: int) -> None:
        self.events = events
        self.digest = digest
        self.steps = steps
        self.connections = connections


@contextlib.contextmanager
def logged(world: World, path: Path | None) -> Iterator[None]:
    """The program's log of a virtual run: faults become events, the rest goes to a file if one is given."""
    from pathsaddle.emulator.ground.moments import HOST

    def where() -> str:
        host = HOST.get()
        return host.name if host is not None else "-"

    logger.remove()
    logger.add(
        lambda message: world.add("fault_logged", host=where(), text=str(message)[:2000]),
        level="ERROR",
        format="{message}",
        backtrace=False,
        diagnose=False,
    )
    if path is not None:
        logger.add(
            path,
            level="INFO",
            format=lambda _: f"{world.loop.time():.4f} {where()} {{level}} {{message}}\n",
            mode="w",
        )
    try:
        yield
    finally:
        logger.remove()
        logger.add(sys.stderr, level="INFO")


def virtual(plan: Plan, seed: int, log: Path | None = None) -> Outcome:
    """One run in virtual time; raises Spinning where the program does not yield."""
    charter = charter_of(plan)
    loop = Moments()  # type: ignore[abstract]  # what is left out, nobody here calls
    net = Net(loop)
    world = World(plan, charter, seed, loop)
    stage: VirtualStage | MembersStage
    if plan.only == "fleet":
        from pathsaddle.emulator.membership.stage import MembersStage

        stage = MembersStage(world, net)
    else:
        stage = VirtualStage(world, net)
    with logged(world, log):
        try:
            loop.run_until_complete(stage.play())
        finally:
            for host in list(stage.hosts.values()):
                host.kill()
            loop.close()
    for fault in loop.faults:
        world.add("uncaught", text=fault)
    return Outcome(world.events, world.events.digest(net.digest.digest()), loop.steps, net.connections)


def sockets(
    plan: Plan, seed: int, folder: Path | None = None, command: list[str] | None = None, root: Path = ROOT
) -> Outcome:
    """One run with real processes on the loopback, in real time."""
    import uvloop

    charter = charter_of(plan)
    faults: list[str] = []

    async def run(where: Path) -> World:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: faults.append(f"{context.get('message')}: {context.get('exception')!r}")
        )
        world = World(plan, charter, seed, loop)
        stage = SocketStage(world, where, command or [sys.executable, "-m", "pathsaddle"], root)
        try:
            await stage.play()
        finally:
            await stage.finish()
        return world

    with tempfile.TemporaryDirectory() as place:
        where = folder or Path(place)
        where.mkdir(parents=True, exist_ok=True)
        world = uvloop.run(run(where))
    for fault in faults:
        world.events.add(0, "uncaught", text=fault)
    return Outcome(world.events, world.events.digest(), 0, 0)
