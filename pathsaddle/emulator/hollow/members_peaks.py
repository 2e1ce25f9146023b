"""What it costs N dispatchers when many come and go at once: hollow members on the virtual ground (emulated;
`fleet_ground.py`).

One play: all begin within a second; a release restarts a tenth at once; a zone is lost and comes back; a region is
apart for a minute and comes back. Bytes and spans are of virtual time and depend on the seed alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from pathsaddle.emulator.ground.air import Blight
from pathsaddle.emulator.hollow.fleet_figures import counted, needed, peak_figures, peaked
from pathsaddle.emulator.hollow.fleet_ground import FleetSetting, Member, Play


class Setting(FleetSetting, forbid_unknown_fields=True):
    """away: between the leaving of a released member and its new life. zone_lost, apart: for how long."""

    away: float = 2.0
    zone_lost: float = 20.0
    apart: float = 60.0


FIGURES: dict[str, tuple[str, str]] = {
    "met_s": ("s", "from the start of all within one second until each knows each (hollow, emulated)"),
    "release_known_s": (
        "s",
        "from a tenth's leaving until all know all in their new lives (hollow, emulated)",
    ),
    "zone_known_s": ("s", "from a lost zone's return until all know all (hollow, emulated)"),
    "region_known_s": ("s", "from the end of a region's minute apart until all know all (hollow, emulated)"),
    "held_back_s": (
        "1/s",
        "datagrams that a member's purse refused, over the whole play, mean (hollow, emulated)",
    ),
    "wrong_deaths": ("count", "judgements `dead` of members that ran, but for the region apart (emulated)"),
} | peak_figures(
    {
        "start": "all begin within a second, until all know all",
        "release": "a tenth leaves at once and is back two seconds later, until all know",
        "zone": "a zone is killed, is back later, until all know",
        "region": "a region is apart for a minute, then until all know all",
    }
)
COUNTED = counted(FIGURES)
needs = needed


class Played(Play[Setting]):
    async def run(self) -> None:
        fleet = self.fleet
        await self.peak("start", self.start)
        await fleet.rested()
        await self.peak("release", self.release)
        await fleet.rested()
        await self.peak("zone", self.zone)
        await fleet.rested()
        fleet.blame = False
        await self.peak("region", self.region)
        self.figures["held_back_s"] = fleet.held_back() / len(fleet.members) / fleet.loop.true_time()
        self.figures["wrong_deaths"] = float(fleet.wrong)

    async def peak(self, name: str, does: Callable[[], Awaitable[None]]) -> None:
        begun = self.fleet.mark()
        await does()
        self.figures |= peaked(self.fleet.costs(begun), name)

    async def start(self) -> None:
        fleet = self.fleet
        order = fleet.rng.sample(fleet.members, len(fleet.members))
        for member in order:
            fleet.begin(member)
            await asyncio.sleep(1.0 / len(order))
        self.figures["met_s"] = 1.0 + await fleet.until(fleet.whole)

    async def away(self, some: list[Member], leaves: bool, span: float) -> float:
        """They end and begin again; seconds from their return until all know all."""
        for member in some:
            self.fleet.end(member, leaves)
        await asyncio.sleep(span)
        for member in some:
            self.fleet.begin(member)
        return await self.fleet.until(self.fleet.whole)

    async def release(self) -> None:
        fleet, span = self.fleet, self.setting.away
        some = fleet.rng.sample(fleet.members, max(1, len(fleet.members) // 10))
        self.figures["release_known_s"] = span + await self.away(some, True, span)

    async def zone(self) -> None:
        zone = self.fleet.members[0].place.zone
        some = [member for member in self.fleet.members if member.place.zone == zone]
        self.figures["zone_known_s"] = await self.away(some, False, self.setting.zone_lost)

    async def region(self) -> None:
        fleet = self.fleet
        region = fleet.members[-1].place.region
        apart = frozenset(m.place.name for m in fleet.members if m.place.region == region)
        cut = Blight(apart, frozenset(fleet.by_name) - apart, lost=1.0)
        fleet.air.blights[cut] = None
        await asyncio.sleep(self.setting.apart)
        del fleet.air.blights[cut]
        self.figures["region_known_s"] = await fleet.until(fleet.whole)


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` hollow members; bytes, counts and spans are of virtual time."""
    return Played(point, seed, setting).played(FIGURES)
