"""Named courses of trouble, and any: drawn from a seed."""

from __future__ import annotations

from random import Random

from pathsaddle.emulator.federation.world import REGIONS, Trouble

COURSES: dict[str, tuple[Trouble, ...]] = {
    "calm": (),
    "lost": (Trouble("lost", 15, 30, "north"),),
    "two-lost": (Trouble("lost", 15, 20, "north"), Trouble("lost", 15, 20, "south")),
    "lender-lost": (Trouble("lost", 12, 30, "north"), Trouble("lost", 20, 10, "west")),
    "cut": (Trouble("cut", 15, 20, "north"),),
    "one-way": (Trouble("cut", 15, 15, "north", "west"), Trouble("cut", 35, 15, "west", "north")),
    "slow": (Trouble("slow", 15, 20),),
    "flapping": (Trouble("flap", 15, 30, "north", more=1.0),),
    "surge": (Trouble("surge", 15, 20, "north", more=1.6),),
    "stale": (Trouble("stale", 8, 40, "west"), Trouble("lost", 20, 15, "north")),
    "tightened": (Trouble("cut", 12, 25, "south"), Trouble("lost", 16, 15, "north"),
                  Trouble("spec", 18, region="south"), Trouble("spec", 45)),
    "committer-killed": (Trouble("lost", 12, 25, "south"), Trouble("spec", 8, region="west"),
                         Trouble("spec", 25, killed=True), Trouble("spec", 40, region="south", killed=True)),
    "stopped": (Trouble("stop", 12, 12, "west"), Trouble("spec", 14, region="west"), Trouble("lost", 13, 8, "north")),
    "all": (Trouble("cut", 8, 15, "south"), Trouble("spec", 10, region="south"), Trouble("lost", 16, 12, "north"),
            Trouble("slow", 20, 5), Trouble("spec", 32), Trouble("cut", 38, 8, "west", "north"),
            Trouble("spec", 45, region="west", killed=True)),
}


def any_course(seed: int, seconds: int = 50) -> tuple[Trouble, ...]:
    """Three to eight troubles of any kind, at any time."""
    chance = Random(seed * 104729)
    found = []
    for _ in range(chance.randint(3, 8)):
        kind = chance.choice(("lost", "cut", "cut", "slow", "flap", "surge", "stale", "spec", "spec", "spec", "stop"))
        region, to = chance.choice(REGIONS), chance.choice((*REGIONS, ""))
        if kind == "stop":
            to = chance.choice((f"{region}-0", f"{region}-1", ""))
        elif kind != "cut" or to == region:
            to = ""
        if kind == "spec":
            region = chance.choice((*REGIONS, ""))
        found.append(Trouble(kind, chance.uniform(5, seconds - 5), chance.uniform(0.5, 20), region, to,
                             {"flap": chance.choice((0.3, 1.0, 3.0)), "surge": 1.6, "slow": 0.2}.get(kind, 0.0),
                             chance.random() < 0.3))
    return tuple(sorted(found, key=lambda one: one.at))
