"""Shared settings at growing sizes: the program's keepers and members (settings/server.py, subscriber.py) on the virtual ground, emulated.

A keeper a region, ways of 1 ms within a region and 80 ms between two, clocks off by up to 2%. All have the rows from
before; changes come at the rate that the setting says.
"""

from __future__ import annotations

import time

import msgspec

from pathsaddle.emulator.settings.smoke import at, waits
from pathsaddle.emulator.settings.world import SECOND, Plan, Process, World, worst
from pathsaddle.settings.documents import encode_document
from pathsaddle.settings.messages import Message


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """against: what a point is: members, or changes a minute. changes: a minute, seconds: of them; lost: for how many seconds
    of these, from the tenth on, one region hears nobody and nobody hears it; 0: none.
    """

    against: str = "members"
    members: int = 200
    regions: int = 8
    teams: int = 750
    changes: float = 100.0
    seconds: float = 60.0
    lost: float = 0.0
    loss: float = 0.01


FIGURES: dict[str, tuple[str, str]] = {
    "in_force_p50_s": ("s", "emulated: from a commit until some keeper tells it in force, half of them"),
    "in_force_p99_s": ("s", "emulated: the same, 99 of 100"),
    "in_force_most_s": ("s", "emulated: the same, the last"),
    "never_in_force": ("changes", "emulated: commits that no keeper had told in force by the end"),
    "known_most_s": (
        "s",
        "emulated: from a commit until the last member that was reached the whole time acts by it or a later one",
    ),
    "member_out_bytes_s": ("B/s", "emulated: a member sends, mean over members and time, envelope included"),
    "member_out_most": ("B", "emulated: the most that a member sends in any second"),
    "member_in_bytes_s": ("B/s", "emulated: a member is sent, mean over members and time"),
    "member_in_most": ("B", "emulated: the most that a member is sent in any second"),
    "keeper_out_bytes_s": ("B/s", "emulated: a keeper sends, mean"),
    "keeper_out_most": ("B", "emulated: the most that a keeper sends in any second"),
    "between_regions_bytes_s": ("B/s", "emulated: over all ways between regions"),
    "change_bytes": ("B", "of one change as it is kept and sent, mean"),
    "member_us_s": ("us/s", "processor time of a member's calls alone, mean, in an emulation"),
    "keeper_us_s": ("us/s", "processor time of a keeper's calls alone, mean, in an emulation"),
}
COUNTED = frozenset(name for name in FIGURES if not name.endswith("_us_s"))


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB)."""
    members = point if setting.against == "members" else setting.members
    return 1, 150.0 + 1.5 * members


class Metered(World):
    """Counts what comes to each and crosses regions, and the time of calls."""

    def __init__(self, plan: Plan, seed: int) -> None:
        super().__init__(plan, seed)
        self.came: dict[str, list[tuple[int, int]]] = {name: [] for name in self.processes}
        self.between = 0
        self.spent = {True: 0.0, False: 0.0}
        for process in self.processes.values():
            turn = process.turn

            def timed(does, process=process, turn=turn):  # type: ignore[no-untyped-def]
                begun = time.thread_time()
                turn(does)
                self.spent[process.keeper] += time.thread_time() - begun

            process.turn = timed  # type: ignore[method-assign]

    def send(self, process: Process, recipient: str, message: Message) -> None:
        super().send(process, recipient, message)
        size = process.sent[-1][1]
        self.came[recipient].append((self.now, size))
        if self.processes[recipient].region != process.region:
            self.between += size


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play."""
    members = point if setting.against == "members" else setting.members
    changes = float(point) if setting.against == "changes" else setting.changes
    regions = min(setting.regions, max(1, members))
    plan = Plan(
        regions=regions,
        members=members,
        keepers=regions,
        customers=setting.teams,
        changes=changes,
        seconds=setting.seconds,
        quiet=25.0,
        loss=setting.loss,
        doubled=0.0,
        faults=0.0,
        acts=False,
        lease=10.0,
        log=1024,
        founded=True,
    )
    world = Metered(plan, seed)
    away = world.regions[-1]
    if setting.lost:
        ways = [pair for one in world.regions[:-1] for pair in ((one, away), (away, one))]
        world.at(10 * SECOND, lambda: world.cut.update(ways))
        world.at(int((10 + setting.lost) * SECOND), lambda: world.cut.difference_update(ways))
    world.run()
    lasted = world.until / SECOND
    took = waits(world)
    since = {
        event.more["revision"]: event.at
        for event in world.events.rows
        if event.what == "set" and event.at > 0
    }
    last: dict[int, int] = {}
    for event in world.events.rows:
        if event.what == "applied" and event.more["name"].startswith("m"):
            region = world.processes[event.more["name"]].region
            if not setting.lost or region != away:
                for revision in [one for one in since if one <= event.more["revision"]]:
                    if event.more["revision"] == revision:
                        last[revision] = max(last.get(revision, 0), event.at)
    own = [process for process in world.processes.values() if not process.keeper]
    keepers = [process for process in world.processes.values() if process.keeper]
    sizes = [
        len(encode_document(group)) for digest, group in world.groups.items() if group.author != "founder"
    ]
    return {
        "in_force_p50_s": at(took, 0.5),
        "in_force_p99_s": at(took, 0.99),
        "in_force_most_s": at(took, 1.0),
        "never_in_force": float(len(since) - len(took)),
        "known_most_s": max(
            ((when - since[revision]) / SECOND for revision, when in last.items()), default=0.0
        ),
        "member_out_bytes_s": sum(size for one in own for _, size in one.sent) / len(own) / lasted,
        "member_out_most": float(max(worst(one.sent) for one in own)),
        "member_in_bytes_s": sum(size for one in own for _, size in world.came[one.name]) / len(own) / lasted,
        "member_in_most": float(max(worst(world.came[one.name]) for one in own)),
        "keeper_out_bytes_s": sum(size for one in keepers for _, size in one.sent) / len(keepers) / lasted,
        "keeper_out_most": float(max(worst(one.sent) for one in keepers)),
        "between_regions_bytes_s": world.between / lasted,
        "change_bytes": sum(sizes) / max(1, len(sizes)),
        "member_us_s": 1e6 * world.spent[False] / len(own) / lasted,
        "keeper_us_s": 1e6 * world.spent[True] / len(keepers) / lasted,
    }
