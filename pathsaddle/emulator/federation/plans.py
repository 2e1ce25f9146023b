"""What is played: how large, how loaded, the spec of it, named courses of trouble, and any: drawn from a
seed.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from pathsaddle.scheduler_types import SECOND

REGIONS = ["north", "south", "west"]
WORK = 4 * SECOND // 10  # the mean of a job
ON_TIME = 3 * SECOND
EXPIRY = 4 * SECOND
LEASE = 8 * SECOND  # on the spec
COLD = 3  # so many jobs a slot until a pool is warm
# kind of scheme: semantics, part of all, value, whether it may leave home
KINDS = {
    "lookup": ("repeatable", 0.5, 2.0, True),
    "sign": ("referenced", 0.2, 1.0, True),
    "charge": ("once-only", 0.2, 3.0, True),
    "vault": ("repeatable", 0.1, 1.0, False),
}


@dataclass(frozen=True)
class Trouble:
    """kind: lost, cut (region -> to; no `to`: all its ways), slow, flap, surge, stale (its copies),
    spec (a new
    version: `text` made of the one before by `forbid`, a region taken out of all its foreigners' may,
      or `allow`, put
    back), stop (a member stands still).
    """

    kind: str
    at: float
    long: float = 0.0
    region: str = ""
    to: str = ""
    more: float = 0.0
    killed: bool = False


@dataclass(frozen=True)
class Plan:
    """members: dispatchers a region. how: `on`; `off`: what isn't of this region is declined; `plain`: it is
    served as own, as by dispatchers that know of no regions.
    """

    members: int = 5
    load: float = 0.7
    seconds: int = 60
    how: str = "on"
    slots: int = 4
    at_most: float = 1.0
    lend: float = 0.8
    roam: float = 0.05
    troubles: tuple[Trouble, ...] = ()


def text_of(plan: Plan, forbidden: tuple[str, ...] = ()) -> str:
    """The spec of this world; `forbidden`: regions that lend to nobody."""
    lines = []
    for region in REGIONS:
        names = ", ".join(f'"{region}-{i}"' for i in range(plan.members))
        group = "atlantic" if region != "south" else "pacific"
        lines += [f"[regions.{region}]", f"members = [{names}]", f'group = "{group}"', f"lend = {plan.lend}"]
    for home in REGIONS:
        order = [region for region in REGIONS if region != home and region not in forbidden]
        for kind, (semantics, _, _, leaves) in KINDS.items():
            lines += [f"[schemes.{kind}-{home}]", f'semantics = "{semantics}"', f'home = "{home}"']
            if leaves and order:
                shown = ", ".join(f'"{region}"' for region in order)
                lines += [
                    f'may = ["{home}", {shown}]',
                    f"fail_over = [{shown}]",
                    'when = ["lost", "overloaded"]',
                    f"at_most = {plan.at_most}",
                ]
            if kind == "lookup":
                lines += [f'data = "maps-{home}"', 'staleness = "12s"']
    for home in REGIONS:
        west = "west" if home != "west" else "north"
        lines += [f"[data.maps-{home}]", f'copies = {{ {home} = "0s", {west} = "5s" }}', "fetch = 0.15"]
    return "\n".join(lines) + "\n"


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
    "tightened": (
        Trouble("cut", 12, 25, "south"),
        Trouble("lost", 16, 15, "north"),
        Trouble("spec", 18, region="south"),
        Trouble("spec", 45),
    ),
    "partition": (Trouble("cut", 12, 25, "south"), Trouble("spec", 18, region="south"), Trouble("spec", 42)),
    "committer-killed": (
        Trouble("lost", 12, 25, "south"),
        Trouble("spec", 8, region="west"),
        Trouble("spec", 25, killed=True),
        Trouble("spec", 40, region="south", killed=True),
    ),
    "stopped": (
        Trouble("stop", 12, 12, "west"),
        Trouble("spec", 14, region="west"),
        Trouble("lost", 13, 8, "north"),
    ),
    "all": (
        Trouble("cut", 8, 15, "south"),
        Trouble("spec", 10, region="south"),
        Trouble("lost", 16, 12, "north"),
        Trouble("slow", 20, 5),
        Trouble("spec", 32),
        Trouble("cut", 38, 8, "west", "north"),
        Trouble("spec", 45, region="west", killed=True),
    ),
}


def any_course(seed: int, seconds: int = 50) -> tuple[Trouble, ...]:
    """Three to eight troubles of any kind, at any time."""
    chance = Random(seed * 104729)
    found = []
    for _ in range(chance.randint(3, 8)):
        kind = chance.choice(
            ("lost", "cut", "cut", "slow", "flap", "surge", "stale", "spec", "spec", "spec", "stop")
        )
        region, to = chance.choice(REGIONS), chance.choice((*REGIONS, ""))
        if kind == "stop":
            to = chance.choice((f"{region}-0", f"{region}-1", ""))
        elif kind != "cut" or to == region:
            to = ""
        if kind == "spec":
            region = chance.choice((*REGIONS, ""))
        found.append(
            Trouble(
                kind,
                chance.uniform(5, seconds - 5),
                chance.uniform(0.5, 20),
                region,
                to,
                {"flap": chance.choice((0.3, 1.0, 3.0)), "surge": 1.6, "slow": 0.2}.get(kind, 0.0),
                chance.random() < 0.3,
            )
        )
    return tuple(sorted(found, key=lambda one: one.at))
