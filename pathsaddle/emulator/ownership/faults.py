"""Random faults for a simulation, drawn from a seed: of hosts, links and disks, within what is allowed.

Allowed is anything to anybody, but the disk of one acceptor at a time lost, torn or exchanged for an older
copy, and only while all others have theirs. A majority of lost disks is a matter for the operator
(docs/ownership.md).
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from pathsaddle.emulator.ownership.hosts import DEFAULT_SYNC_TICKS, AcceptorHost, Disk, MemberHost
from pathsaddle.emulator.ownership.simulation import Layout, Simulation
from pathsaddle.scheduler_types import MILLISECOND, SECOND

# A kind that stands twice is drawn twice as often.
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
FAULT_INTERVAL_TICKS = (100 * MILLISECOND, 2500 * MILLISECOND)
SPAN_TICKS = (200 * MILLISECOND, 6 * SECOND)  # how long a fault lasts
DOWN_TICKS = 50 * MILLISECOND  # a killed process is down so long at least
ACCEPTORS_ONLY_PROBABILITY = 0.5  # a lease holder is cut off from the acceptors alone
THIRD_SIDE_PROBABILITY = 0.3  # a split may have three sides
KEY_SURVIVAL_PROBABILITY = 0.5  # of each key on a torn disk
RNG_PRIME = 7919  # keeps the faults' random numbers apart from the simulation's

Link = tuple[str, str]


class FaultInjector:
    """From now until `until` one fault after another; then all is repaired.

    Attributes:
        counts: How often each kind happened.
    """

    def __init__(self, simulation: Simulation, rng: Random, until: int) -> None:
        self.simulation, self.rng, self.until = simulation, rng, until
        self.counts: dict[str, int] = {}
        self._copies: dict[str, Disk] = {}
        self.inject_next()

    def inject_next(self) -> None:
        """Draw a fault and when the next one comes."""
        simulation = self.simulation
        if simulation.now >= self.until:
            self.repair()
            return
        kind = self.rng.choice(KINDS)
        if self._inject(kind):
            self.counts[kind] = self.counts.get(kind, 0) + 1
        simulation.call_at(simulation.now + self.rng.randrange(*FAULT_INTERVAL_TICKS), self.inject_next)

    def repair(self) -> None:
        """End all faults and start all hosts that are down."""
        simulation = self.simulation
        simulation.cut_links.clear()
        simulation.link_lags.clear()
        simulation.loss = simulation.duplication = simulation.late_copies = 0.0
        simulation.max_extra_delay = 0
        for host in list(simulation.hosts.values()):
            host.paused_until = min(host.paused_until, simulation.now)
            if isinstance(host, AcceptorHost):
                host.disk.sync_ticks, host.disk.is_full = DEFAULT_SYNC_TICKS, False
            self._start(host.name)

    # Parts of faults.

    def _start(self, name: str) -> None:
        host = self.simulation.hosts[name]
        if not host.is_up:
            host.paused_until = 0
            host.start()

    def _draw_lease_holder(self) -> str:
        """Return the name of a lease holder, or of any member."""
        simulation = self.simulation
        names = [
            name
            for name, host in simulation.hosts.items()
            if isinstance(host, MemberHost) and host.is_up and host.lease_manager.held_keys(host.now())
        ]
        members = [name for name in simulation.hosts if name not in simulation.acceptors]
        return self.rng.choice(names or members)

    def _kill(self, name: str, longest: int = 5 * SECOND) -> None:
        simulation = self.simulation
        simulation.hosts[name].kill()
        simulation.call_at(
            simulation.now + self.rng.randrange(DOWN_TICKS, longest), lambda: self._start(name)
        )

    def _acceptor_host(self, name: str) -> AcceptorHost:
        host = self.simulation.hosts[name]
        assert isinstance(host, AcceptorHost)
        return host

    def _cut(self, links: list[Link], span: int) -> None:
        simulation = self.simulation
        simulation.cut_links.update(dict.fromkeys(links))

        def repair() -> None:
            """End this cut."""
            for link in links:
                simulation.cut_links.pop(link, None)

        simulation.call_at(simulation.now + span, repair)

    def _await_acquisition(self, read: int, until: int) -> None:
        """Wait until the next lease is acquired, then kill the acceptors while they sync."""
        simulation = self.simulation
        rows = simulation.events.rows
        is_acquired = any(event.what == "lease" and event.more.get("fresh") for event in rows[read:])
        if is_acquired or simulation.now >= until:
            self._kill_syncing_acceptors()
        else:
            position = len(rows)
            simulation.call_at(simulation.now + 1, lambda: self._await_acquisition(position, until))

    def _kill_syncing_acceptors(self) -> None:
        """Kill all acceptors while a slow disk has not what they took last; they are back at once."""
        for name in self.simulation.acceptors:
            self._acceptor_host(name).disk.sync_ticks = DEFAULT_SYNC_TICKS
            self._kill(name, 100 * MILLISECOND)

    # Kinds of faults. Each draws its numbers in a fixed order.

    def _inject(self, kind: str) -> bool:
        """Inject a fault; whether it was possible."""
        names, span = list(self.simulation.hosts), self.rng.randrange(*SPAN_TICKS)
        injectors: dict[str, Callable[[], None]] = {
            "cut": lambda: self._cut_hosts(kind, names, span),
            "cut-owner": lambda: self._cut_hosts(kind, names, span),
            "oneway": lambda: self._cut_hosts(kind, names, span),
            "lag-owner": self._lag_lease_holder,
            "split": lambda: self._split(names, span),
            "stall": lambda: self._pause(self.rng.choice(names), span),
            "stall-owner": lambda: self._pause(self._draw_lease_holder(), span),
            "kill": lambda: self._kill(self.rng.choice(names)),
            "kill-owner": lambda: self._kill(self._draw_lease_holder()),
            "kill-voters": self._kill_acceptors,
            "kill-syncing": self._kill_while_syncing,
            "terminate": self._terminate_lease_holder,
            "spell": self._draw_network_conditions,
        }
        if kind in injectors:
            injectors[kind]()
            return True
        return self._inject_disk_fault(
            kind, self._acceptor_host(self.rng.choice(self.simulation.acceptors)), span
        )

    def _cut_hosts(self, kind: str, names: list[str], span: int) -> None:
        rng = self.rng
        if kind == "cut-owner":
            cut_off = {self._draw_lease_holder()}
        else:
            cut_off = set(rng.sample(names, rng.randrange(1, 4)))
        others = [name for name in names if name not in cut_off]
        if kind == "cut-owner" and rng.random() < ACCEPTORS_ONLY_PROBABILITY:
            others = list(self.simulation.acceptors)
        links = [(a, b) for a in sorted(cut_off) for b in others]
        back = [(b, a) for a, b in links]
        self._cut(rng.choice((links, back)) if kind == "oneway" else links + back, span)

    def _lag_lease_holder(self) -> None:
        """Let what acceptors answer come late; then let nothing arrive that the lease holder sends."""
        simulation = self.simulation
        name = self._draw_lease_holder()
        back = [(acceptor, name) for acceptor in simulation.acceptors]
        simulation.link_lags.update(dict.fromkeys(back, self.rng.randrange(1000, 9000)))
        links = [(name, acceptor) for acceptor in simulation.acceptors]
        simulation.call_at(simulation.now + 2 * SECOND, lambda: self._cut(links, 2 * SECOND))
        simulation.call_at(simulation.now + 4 * SECOND, simulation.link_lags.clear)

    def _split(self, names: list[str], span: int) -> None:
        rng = self.rng
        side = {name: rng.randrange(2 + (rng.random() < THIRD_SIDE_PROBABILITY)) for name in names}
        self._cut([(a, b) for a in names for b in names if side[a] != side[b]], span)

    def _pause(self, name: str, span: int) -> None:
        host = self.simulation.hosts[name]
        host.paused_until = max(host.paused_until, self.simulation.now + span)

    def _kill_acceptors(self) -> None:
        for name in self.simulation.acceptors:
            self._kill(name)

    def _kill_while_syncing(self) -> None:
        simulation = self.simulation
        for name in simulation.acceptors:
            sync_ticks = self.rng.randrange(100 * MILLISECOND, 400 * MILLISECOND)
            self._acceptor_host(name).disk.sync_ticks = sync_ticks
        self._kill(self._draw_lease_holder())
        self._await_acquisition(len(simulation.events.rows), simulation.now + 4 * SECOND)

    def _terminate_lease_holder(self) -> None:
        simulation = self.simulation
        name = self._draw_lease_holder()
        host = simulation.hosts[name]
        assert isinstance(host, MemberHost)
        host.terminate()
        down = self.rng.randrange(2 * SECOND, 5 * SECOND)
        simulation.call_at(simulation.now + down, lambda: self._start(name))

    def _draw_network_conditions(self) -> None:
        simulation, rng = self.simulation, self.rng
        simulation.max_extra_delay = rng.choice((0, 0, 2000, 6000))
        simulation.loss = rng.choice((0.0, 0.1, 0.4))
        simulation.duplication = rng.choice((0.0, 0.2))
        simulation.late_copies = rng.choice((0.0, 0.02))

    def _inject_disk_fault(self, kind: str, host: AcceptorHost, span: int) -> bool:
        simulation, disk = self.simulation, host.disk
        if kind == "disk-slow":
            disk.sync_ticks = self.rng.randrange(100 * MILLISECOND, 3 * SECOND)
            simulation.call_at(
                simulation.now + span, lambda: setattr(host.disk, "sync_ticks", DEFAULT_SYNC_TICKS)
            )
            return True
        if kind == "disk-full":
            disk.is_full = True
            simulation.call_at(simulation.now + span, lambda: setattr(host.disk, "is_full", False))
            return True
        return self._damage_disk(kind, host)

    def _damage_disk(self, kind: str, host: AcceptorHost) -> bool:
        simulation, disk = self.simulation, host.disk
        copy = self._copies.get(host.name)
        self._copies[host.name] = disk.copy()
        if not all(self._acceptor_host(name).disk.is_intact for name in simulation.acceptors):
            return False
        if kind == "disk-old" and copy is None:
            return False
        self._kill(host.name)
        if kind == "disk-old" and copy is not None:
            host.disk = copy.copy()
        elif kind == "disk-torn":
            keys = {
                key: state for key, state in disk.keys.items() if self.rng.random() < KEY_SURVIVAL_PROBABILITY
            }
            host.disk = Disk(keys, dict(disk.peer_incarnations), disk.incarnation)
        else:
            host.disk = Disk()
        host.disk.is_intact = False
        return True


def layout_with_faults(members: int = 5, acceptors: int = 3, keys: int = 1) -> Layout:
    """Return the layout of runs with faults: half of the members are not preferred."""
    return Layout(members=members, acceptors=acceptors, keys=keys, not_preferred=members // 2)


def run_with_faults(
    seed: int, layout: Layout | None = None, fault_seconds: int = 40, calm_seconds: int = 15
) -> Simulation:
    """Run a simulation with faults for a while, then with none; by default with `layout_with_faults()`."""
    simulation = Simulation(seed, layout or layout_with_faults())
    FaultInjector(simulation, Random(seed * RNG_PRIME + 1), fault_seconds * SECOND)
    simulation.run((fault_seconds + calm_seconds) * SECOND)
    return simulation
