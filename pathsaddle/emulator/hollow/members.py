"""What a place among N dispatchers costs: hollow members on the virtual ground (emulated; `fleet_ground.py`).

All know all at the start, as if they had met long ago. One play goes through rest, records told, deaths. What
happens when many come and go is `members_peaks.py`'s, and when all tell of their load `members_load.py`'s.

Counts, bytes and spans are of virtual time and depend on the seed alone; only processor time depends on the machine.
"""

from __future__ import annotations

import asyncio
from functools import partial
from statistics import median

from pathsaddle.emulator.hollow.fleet_figures import counted, needed, peak_figures, peaked
from pathsaddle.emulator.hollow.fleet_ground import FleetSetting, Member, Play

TOPIC = "told"
FEW = 10  # members of whom one is killed; five of fifty and more


class Setting(FleetSetting, forbid_unknown_fields=True):
    """rest: for how long it is measured, in seconds. records, deaths: how many are timed."""

    rest: float = 16.0
    records: int = 10
    deaths: int = 5


FIGURES: dict[str, tuple[str, str]] = {
    "bytes_out_s": (
        "bytes/s",
        "sent by a hollow member at rest, on the mean, membership and carrying (emulated)",
    ),
    "bytes_in_s": ("bytes/s", "taken by a hollow member at rest, on the mean (emulated)"),
    "carried_out_s": ("bytes/s", "of bytes_out_s what carrying and shares send (hollow, emulated)"),
    "datagrams_out_s": ("1/s", "datagrams that a hollow member sends at rest, on the mean (emulated)"),
    "most_out": ("bytes", "the most that any hollow member sends in any second at rest (emulated)"),
    "most_in": ("bytes", "the most that any hollow member takes in any second at rest (emulated)"),
    "members_us_s": ("us/s", "processor time of the membership's core per hollow member at rest (emulated)"),
    "shared_us_s": ("us/s", "processor time of carrying and shares per hollow member at rest (emulated)"),
    "record_known_p50_s": (
        "s",
        "from a record's writing until all members have it, median (hollow, emulated)",
    ),
    "record_known_most_s": ("s", "the same, the longest (hollow, emulated)"),
    "death_known_p50_s": ("s", "from a kill until all members take it for dead, median (hollow, emulated)"),
    "death_known_most_s": ("s", "the same, the longest (hollow, emulated)"),
    "rows_kept": ("count", "rows of other members that a hollow member keeps, on the mean (emulated)"),
    "records_kept": ("count", "carried records that a hollow member keeps, on the mean (emulated)"),
    "held_back_s": (
        "1/s",
        "datagrams that a member's purse refused, over the whole play, mean (hollow, emulated)",
    ),
    "wrong_deaths": ("count", "judgements `dead` of members that ran (hollow, emulated)"),
} | peak_figures({"deaths": "a few are killed, two seconds apart, until all know"})
COUNTED = counted(FIGURES)
needs = needed


class Played(Play[Setting]):
    async def run(self) -> None:
        fleet = self.fleet
        fleet.introduce()
        await fleet.rested()
        await self.rest()
        await self.records()
        running, count = fleet.running(), len(fleet.members)
        self.figures["rows_kept"] = sum(len(driver.core.members) for driver in running) / count
        self.figures["records_kept"] = (
            sum(
                len(origin.records)
                for driver in running
                if driver.shared is not None
                for origin in driver.shared.carry.origins.values()
            )
            / count
        )
        await self.deaths()
        self.figures["held_back_s"] = fleet.held_back() / count / fleet.loop.true_time()
        self.figures["wrong_deaths"] = float(fleet.wrong)

    async def rest(self) -> None:
        begun = self.fleet.mark()
        await asyncio.sleep(self.setting.rest)
        costs = self.fleet.costs(begun)
        self.figures |= {
            "bytes_out_s": costs["out_s"],
            "bytes_in_s": costs["in_s"],
            "carried_out_s": costs["carried_s"],
            "datagrams_out_s": costs["datagrams_s"],
            "most_out": costs["most_out"],
            "most_in": costs["most_in"],
            "members_us_s": costs["members_us"],
            "shared_us_s": costs["shared_us"],
        }

    async def records(self) -> None:
        fleet = self.fleet
        spans: list[float] = []
        for number in range(self.setting.records):
            member, body = fleet.rng.choice(fleet.members), b"%d" % number
            fleet.puts(member, TOPIC, body)
            spans.append(await fleet.until(partial(fleet.has_record, member.place.name, TOPIC, body)))
        self.figures["record_known_p50_s"], self.figures["record_known_most_s"] = median(spans), max(spans)

    async def deaths(self) -> None:
        fleet = self.fleet
        spans: list[float] = []
        some = fleet.rng.sample(fleet.members, max(1, min(self.setting.deaths, len(fleet.members) // FEW)))

        async def death(member: Member, after: float) -> None:
            await asyncio.sleep(after)
            assert member.driver is not None
            name, incarnation = member.place.name, member.driver.life
            fleet.end(member, leaves=False)
            spans.append(await fleet.until(partial(fleet.knows_dead, name, incarnation)))

        begun = fleet.mark()
        await asyncio.gather(*(death(member, 2.0 * n) for n, member in enumerate(some)))
        self.figures |= peaked(fleet.costs(begun), "deaths")
        self.figures["death_known_p50_s"], self.figures["death_known_most_s"] = median(spans), max(spans)


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` hollow members; bytes, counts and spans are of virtual time."""
    return Played(point, seed, setting).played(FIGURES)
