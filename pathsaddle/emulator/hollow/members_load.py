"""What it costs N dispatchers that each tells of its load: hollow members on the virtual ground (emulated;
`fleet_ground.py`).

Records go out at the pace at which the overload gate's driver tells them (`fleet/overload/driver.py`): twice a second,
rarer among many. All know all at the start. After a span of it one member is killed while the others tell on: what
membership has to say shares a rate_limiter with all this.
"""

from __future__ import annotations

import asyncio
from functools import partial
from statistics import median

from pathsaddle.emulator.hollow.fleet_figures import counted, needed, peak_figures, peaked
from pathsaddle.emulator.hollow.fleet_ground import LOOK, FleetSetting, Play

TOPIC = "load"
TELLS = 0.5  # seconds: as fleet/overload/driver.py, rarer among many


class Setting(FleetSetting, forbid_unknown_fields=True):
    """load_bytes: of the record by which each tells its load. load: for how long before one is killed, in seconds."""

    load_bytes: int = 100
    load: float = 6.0


FIGURES: dict[str, tuple[str, str]] = {
    "told_s": ("1/s", "load records that the whole fleet writes (hollow, emulated)"),
    "load_late_p50_s": (
        "s",
        "age of others' load at a member, after all told theirs for a while, median (emulated)",
    ),
    "load_late_most_s": ("s", "the same, the longest; the whole span where none had come (hollow, emulated)"),
    "load_death_known_s": (
        "s",
        "from a kill until all know of it, while all tell of their load (hollow, emulated)",
    ),
    "held_back_s": (
        "1/s",
        "datagrams that a member's purse refused while all tell, on the mean (hollow, emulated)",
    ),
    "wrong_deaths": ("count", "judgements `dead` of members that ran (hollow, emulated)"),
} | peak_figures({"load": "each tells a load record at the pace of the overload gate's driver"})
COUNTED = counted(FIGURES)
needs = needed


class Played(Play[Setting]):
    def __init__(self, point: int, seed: int, setting: Setting) -> None:
        super().__init__(point, seed, setting)
        self.written: dict[tuple[str, bytes], float] = {}  # when, by whose and what

    async def run(self) -> None:
        fleet, setting = self.fleet, self.setting
        fleet.introduce()
        await fleet.rested()
        held, begun = fleet.held_back(), fleet.mark()
        telling = asyncio.get_running_loop().create_task(self.tell())
        await asyncio.sleep(setting.load)
        self.figures |= peaked(fleet.costs(begun), "load")
        self.figures["told_s"] = len(self.written) / setting.load
        self.figures["held_back_s"] = (fleet.held_back() - held) / len(fleet.members) / setting.load
        late = self.late(begun)
        self.figures["load_late_p50_s"], self.figures["load_late_most_s"] = median(late), max(late)
        await self.death()
        self.figures["wrong_deaths"] = float(fleet.wrong)
        telling.cancel()

    async def tell(self) -> None:
        fleet = self.fleet
        between = max(TELLS, TELLS * len(fleet.members) / 64)
        begun = fleet.loop.true_time()
        due = {member: begun + fleet.rng.random() * between for member in fleet.members}
        while True:
            at = fleet.loop.true_time()
            for member, when in due.items():
                if at >= when:
                    due[member] = when + between
                    body = fleet.rng.randbytes(self.setting.load_bytes)
                    self.written[member.place.name, body] = at
                    fleet.puts(member, TOPIC, body)
            await asyncio.sleep(LOOK)

    def late(self, begun: float) -> list[float]:
        """Of each of each other: how long ago it wrote what is known of it; since the begin where nothing is."""
        now, spans = self.fleet.loop.true_time(), []
        for driver in self.fleet.running():
            assert driver.shared is not None
            for name in self.fleet.by_name:
                origin = driver.shared.carry.origins.get(name)
                record = origin.records.get(TOPIC) if origin is not None else None
                if name != driver.core.me.name:
                    spans.append(now - (self.written[name, record.body] if record is not None else begun))
        return spans

    async def death(self) -> None:
        fleet = self.fleet
        member = fleet.rng.choice(fleet.members)
        assert member.driver is not None
        name, incarnation = member.place.name, member.driver.life
        fleet.end(member, leaves=False)
        self.figures["load_death_known_s"] = await fleet.until(partial(fleet.knows_dead, name, incarnation))


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` hollow members; bytes, counts and spans are of virtual time."""
    return Played(point, seed, setting).played(FIGURES)
