"""A fleet of hollow members on the virtual ground: one process, no sockets, virtual time.

Each member is the program's own driver (`fleet/udp_driver.py`) with its cores for membership, carrying and shares, and
no txns. Ways are those of `places.py`. Bytes and datagrams are counted where they leave and arrive; processor time
around the cores' calls alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Generic, TypeVar

import msgspec

from pathsaddle.emulator.ground.air import Air, Blight
from pathsaddle.emulator.ground.links import Host, Net, VirtualGround
from pathsaddle.emulator.ground.moments import Moments
from pathsaddle.emulator.hollow.fleet_tally import Metered, Spent, most
from pathsaddle.emulator.hollow.places import Place, places
from pathsaddle.emulator.served.members import Disk
from pathsaddle.fleet.membership import MembershipChange, MembershipOptions
from pathsaddle.fleet.messages import DEAD, MemberRecord
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.quota.shared_state import SPARE_TOPIC
from pathsaddle.fleet.rate_limiter import SECOND
from pathsaddle.fleet.udp_driver import MembershipConfig, MembershipDriver
from pathsaddle.net.memory.counters import Counters

KEY = b"the hollow fleet's own secret"
GUARD = 2.0  # seconds behind a first lease after which a new life lends (shares.py), and some more
LOOK = 0.05  # seconds between looks at what all know: by so much a span may be told too long


class FleetSetting(msgspec.Struct, forbid_unknown_fields=True):
    """Spans in seconds. loss: of all datagrams. budgets: that all share. lease: of units lent; none are, but a new
    life tells what it would lend only after one. most_bytes: fleet.bytes. patience: for spans that end when all know
    something.
    """

    loss: float = 0.0
    beat: float = 1.0
    wait_for_answer: float = 0.3
    most_bytes: int = 24_000
    budgets: int = 1
    lease: float = 1.0
    settle: float = 2.0
    patience: float = 90.0


class Member:
    """A hollow member's place: its disk, and the process that runs there now, if one does."""

    def __init__(self, place: Place) -> None:
        self.place, self.disk, self.start_count = place, Disk(), 0
        self.host: Host | None = None
        self.driver: MembershipDriver | None = None


def introduced(some: list[MembershipDriver], rows: list[MemberRecord], lease: float) -> None:
    """They know all of these, as if they had met long ago; nothing of that is news. What each would lend is told
    once, when the first lease has ended.
    """
    for driver in some:
        core, now = driver.core, driver.clock.now()
        for row in rows:
            if row.name != core.me.name:
                core.learn(row, now, "the play")
        core.dissemination.pending.clear()
        if driver.shared is not None:
            driver.shared.told_due = now + int((1.1 * lease + GUARD) * SECOND)


class HollowFleet:
    def __init__(self, count: int, seed: int, setting: FleetSetting, loop: Moments) -> None:
        self.setting, self.seed, self.loop = setting, seed, loop
        self.rng = Random(f"{seed}/hollow")
        self.members = [Member(place) for place in places(count)]
        self.by_name = {member.place.name: member for member in self.members}
        self.net = Net(loop)
        self.air = Air(
            Random(f"{seed}/air"), lambda one, other: self.by_name[one].place.way(self.by_name[other].place)
        )
        self.datagrams = Metered(loop, self.air)
        self.net.datagram = self.datagrams.socket
        everybody = frozenset(self.by_name)
        if setting.loss:
            self.air.blights[Blight(everybody, everybody, lost=setting.loss)] = None
        self.spent = Spent("members", "shared")
        self.wrong = 0  # judgements of members that run
        self.blame = True
        self.held = 0  # what the purses of those that ended had refused

    # Processes.

    def begin(self, member: Member) -> None:
        setting, place = self.setting, member.place
        member.start_count += 1
        host = member.host = Host(self.net, place.name, place.zone)
        options = MembershipOptions(
            "hollow",
            KEY,
            int(setting.beat * SECOND),
            int(setting.wait_for_answer * SECOND),
            setting.most_bytes,
        )
        count = len(self.members)
        quotas = {
            f"budget-{n:03}": QuotaConfig(10 * count, 10, int(setting.lease * SECOND))
            for n in range(setting.budgets)
        }
        seeds = [one.place.address for one in self.members[:3]]
        config = MembershipConfig(
            place.name, place.zone, place.address, place.address, seeds, "", options, budgets=quotas
        )

        def begin_driver() -> MembershipDriver:
            driver = MembershipDriver(
                config,
                VirtualGround(host),
                member.disk,
                Random(f"{self.seed}/{place.name}/{member.start_count}"),
                Counters(),
            )
            driver.quiet = True
            driver.on_change.append(self._changed)
            self.spent.around("members", driver.core, "on_datagram", "wake", "due", "leave")
            if driver.shared is not None:
                self.spent.around(
                    "shared",
                    driver.shared,
                    "on_datagram",
                    "wake",
                    "due",
                    "say",
                    "on_member_joined",
                    "on_member_left",
                    "on_new_incarnation",
                    "leave",
                )
            driver.begin()
            return driver

        member.driver = host.context.run(begin_driver)

    def introduce(self) -> None:
        """All begin and know all, as if they had met long ago; nothing of that is news."""
        for member in self.members:
            self.begin(member)
        introduced(self.running(), [driver.core.me for driver in self.running()], self.setting.lease)

    def _changed(self, change: MembershipChange) -> None:
        about = self.by_name.get(change.name)
        if (
            self.blame
            and change.state == DEAD
            and about is not None
            and about.driver is not None
            and about.driver.life == change.incarnation
        ):
            self.wrong += 1

    def end(self, member: Member, leaves: bool) -> None:
        """As by SIGKILL, or with the word that it leaves."""
        host, driver = member.host, member.driver
        if host is None or driver is None:
            return
        if leaves:
            host.context.run(driver.leave)
            host.context.run(driver.end)
        self.held += self._held(driver)
        host.kill()
        member.host = member.driver = None

    @staticmethod
    def _held(driver: MembershipDriver) -> int:
        shared = driver.shared.carry.counts.get("held back", 0) if driver.shared is not None else 0
        return driver.core.counters.get("held back", 0) + shared

    def held_back(self) -> int:
        return self.held + sum(map(self._held, self.running()))

    def running(self) -> list[MembershipDriver]:
        return [member.driver for member in self.members if member.driver is not None]

    # What all know.

    def whole(self) -> bool:
        """Whether each knows each that runs, in its life, nobody else as there, and whom it may carry for."""
        running = self.running()
        if any(driver.core.size() != len(running) for driver in running):
            return False
        incarnations = {driver.core.me.name: driver.core.me.incarnation for driver in running}
        for driver in running:
            for name, incarnation in incarnations.items():
                member = driver.core.members.get(name)
                if name != driver.core.me.name and (
                    member is None or not member.is_present or member.record.incarnation != incarnation
                ):
                    return False
            if driver.shared is not None and len(driver.shared.carry.peers) != len(running) - 1:
                return False
        return True

    def knows_dead(self, name: str, incarnation: int) -> bool:
        for driver in self.running():
            member = driver.core.members.get(name)
            if member is not None and member.is_present and member.record.incarnation <= incarnation:
                return False
        return True

    def has_record(self, name: str, topic: str, body: bytes) -> bool:
        for driver in self.running():
            assert driver.shared is not None
            origin = driver.shared.carry.origins.get(name)
            record = origin.records.get(topic) if origin is not None else None
            if record is None or record.body != body:
                return False
        return True

    def carried(self) -> bool:
        """Whether each has of each other what it would lend, and nothing is passed on any more."""
        count = len(self.running())
        for driver in self.running():
            carry = driver.shared.carry if driver.shared is not None else None
            if driver.core.dissemination.pending or carry is None or carry.news:
                return False
            if sum(SPARE_TOPIC in origin.records for origin in carry.origins.values()) != count:
                return False
        return True

    async def rested(self) -> None:
        """Nothing is new any more, and some seconds behind that."""
        await self.until(self.carried)
        await asyncio.sleep(self.setting.settle)

    async def until(self, known: Callable[[], bool]) -> float:
        """Seconds until it is so; the setting's patience where it never is."""
        begun = self.loop.true_time()
        while not known() and self.loop.true_time() - begun < self.setting.patience:
            await asyncio.sleep(LOOK)
        return self.loop.true_time() - begun

    # What is measured.

    def mark(self) -> float:
        """A span begins."""
        for tally in self.datagrams.tallies.values():
            tally.clear()
        self.spent.clear()
        return self.loop.true_time()

    def costs(self, begun: float) -> dict[str, float]:
        span, count = self.loop.true_time() - begun, len(self.members)
        tallies = self.datagrams.tallies.values()
        out, into = (
            sum(sum(bins.values()) for bins in every)
            for every in ([t.out for t in tallies], [t.into for t in tallies])
        )
        return {
            "out_s": out / span / count,
            "in_s": into / span / count,
            "carried_s": sum(tally.carried for tally in tallies) / span / count,
            "datagrams_s": sum(tally.datagrams for tally in tallies) / span / count,
            "most_out": float(max(most(tally.out) for tally in tallies)),
            "most_in": float(max(most(tally.into) for tally in tallies)),
            "members_us": self.spent.ns["members"] / 1000 / span / count,
            "shared_us": self.spent.ns["shared"] / 1000 / span / count,
        }

    def puts(self, member: Member, topic: str, body: bytes) -> None:
        """As a user of carrying does: the driver passes it on at its next moment."""
        host, driver = member.host, member.driver
        if host is not None and driver is not None and driver.shared is not None:
            carry = driver.shared.carry
            host.context.run(lambda: carry.put(topic, body, driver.clock.now()))

    def close(self) -> None:
        for member in self.members:
            if member.host is not None:
                member.host.kill()


Its = TypeVar("Its", bound=FleetSetting)


class Play(Generic[Its]):
    """One play of a measure on this ground, in virtual time; `run` fills `figures`."""

    def __init__(self, point: int, seed: int, setting: Its) -> None:
        self.setting, self.figures = setting, dict[str, float]()
        # Abstract: what the loop leaves out, nobody calls.
        self.fleet = HollowFleet(point, seed, setting, Moments())  # type: ignore[abstract]

    async def run(self) -> None:
        raise NotImplementedError

    def played(self, names: Iterable[str]) -> dict[str, float]:
        """These figures; the fleet ends whatever happens. RuntimeError: a fault that nobody caught."""
        fleet = self.fleet
        try:
            fleet.loop.run_until_complete(self.run())
        finally:
            fleet.close()
            fleet.loop.close()
        if fleet.loop.faults:
            raise RuntimeError(f"a fault that nobody caught: {fleet.loop.faults[0]}")
        return {name: self.figures[name] for name in names}
