"""Plays a plan of the shared state's ground and prints its figures last; exit 0 only if every bound held.

    python -m pathsaddle experiment run experiments/shared-smoke.toml
    python -m pathsaddle.emulator.state.smoke experiments/shared-smoke.toml --seeds 500 --members 20 --first 0

With --seeds only those seeds of random faults are played, and judged. Entirely virtual: the same figures
every time, but for the processor's time.
"""

from __future__ import annotations

import argparse
import sys
from dataclasses import dataclass, field
from typing import Literal

import msgspec

from pathsaddle.config.schema import ConfigTable, Count, Part
from pathsaddle.config.validation import InvalidConfigError, NotAllowedValueError, load_toml, validate
from pathsaddle.emulator.state import mutants
from pathsaddle.emulator.state.ground import Ground, Place, Plan, varied
from pathsaddle.emulator.state.judge import judge
from pathsaddle.fleet.rate_limiter import SECOND

PART = 10  # units of each member where it is measured


class Seeds(ConfigTable):
    """Random faults of all kinds: from which seed, how many."""

    members: Count
    first: int
    count: Count


class Measured(ConfigTable):
    """A fleet without faults but loss."""

    members: Count
    loss: Part = 0.0
    wants: Count = 6


class Smoke(ConfigTable):
    """ground: shared. name, about: of the plan. mutants: by name, each of which must be found."""

    name: str
    about: str
    seeds: list[Seeds]
    measured: list[Measured]
    mutants: list[str] = msgspec.field(default_factory=list)
    ground: Literal["shared"] = "shared"


@dataclass
class Figures:
    """Of a measured fleet: milliseconds, bytes and parts."""

    first: list[float] = field(default_factory=list)  # from a want until the first unit of another's
    whole: list[float] = field(default_factory=list)  # until all that was wanted
    known: list[float] = field(default_factory=list)  # from a record's writing until all have it
    failed: int = 0  # wants not met in full within their time
    bytes: float = 0.0  # a member a second
    cpu: float = 0.0  # microseconds a member a second
    idle: float = 0.0


class Wanting(Ground):
    """One member after the other wants twice its part; meanwhile records are written and looked for."""

    def __init__(self, plan: Plan) -> None:
        super().__init__(plan)
        self.figures = Figures()
        self.wanted: tuple[Place, int, bool] | None = None
        self.written: tuple[str, int, int, dict[str, None]] | None = None

    def moods(self) -> None:
        if self.wanted is not None:
            self.wanted[0].wants = 0.0
            self.figures.failed += not self.wanted[2]
        self.at(self.now + int(self.plan.mood[0] * SECOND), self.moods)
        place = self.chance.choice(
            [place for place in self.places if self.wanted is None or place is not self.wanted[0]]
        )
        place.wants = 2.5 * PART
        self.wanted = place, self.now, False
        self.at(self.now + 1, self.use, place)

    def rest(self, place: Place) -> None:
        super().rest(place)
        if self.wanted is not None and place is self.wanted[0] and not self.wanted[2]:
            ms = (self.now - self.wanted[1]) / 10
            if (
                place.rights > PART
                and len(self.figures.first) <= len(self.figures.whole) + self.figures.failed
            ):
                self.figures.first.append(ms)
            if place.rights >= 2 * PART:
                self.figures.whole.append(ms)
                self.wanted = place, self.wanted[1], True
        if self.written is not None and place.shared is not None:
            name, version, at, missing = self.written
            origin = place.shared.carry.origins.get(name)
            record = origin.records.get("t") if origin is not None else None
            if place.name in missing and record is not None and record.version >= version:
                del missing[place.name]
                if not missing:
                    self.figures.known.append((self.now - at) / 10)
                    self.written = None

    def write(self) -> None:
        self.at(self.now + int(1.5 * SECOND), self.write)
        if self.written is not None and self.now - self.written[2] < 10 * SECOND:
            return
        place = self.chance.choice(self.places)
        if place.shared is not None:
            version = place.shared.carry.put("t", str(self.now).encode(), place.clock())
            self.written = place.name, version, self.now, {p.name: None for p in self.places}
            self.rest(place)


def measure(members: int, loss: float, wants: int, seed: int = 1) -> Figures:
    """Wants of 5 s each, after the first lease: from then on every unit may be lent."""
    begun, mood = 12.0, 5.0
    plan = Plan(
        members,
        seed,
        begun + wants * mood,
        rate=PART * members,
        lease=10.0,
        loss=loss,
        faults=0,
        mood=(mood, mood),
        quiet=True,
    )
    ground = Wanting(plan)
    ground.places = [Place(ground, n) for n in range(members)]
    for place in ground.places:
        ground.at(ground.chance.randrange(SECOND // 2), ground.begin, place)
    ground.at(int(begun * SECOND), ground.moods)
    ground.at(int(begun * SECOND), ground.write)
    ground.play(int(begun * SECOND) - 1)
    for place in ground.places:
        place.cpu = 0.0
    bytes_before = len(ground.events.rows)
    ground.play(int(plan.seconds * SECOND) - 1)
    figures, span = ground.figures, wants * mood * members
    figures.failed += ground.wanted is not None and not ground.wanted[2]
    figures.bytes = sum(e.more["bytes"] for e in ground.events.rows[bytes_before:] if e.what == "sent") / span
    figures.cpu = sum(place.cpu for place in ground.places) / span * 1e6
    verdict = judge(ground.events.rows, idle_from=int(begun * SECOND))
    if verdict.faults:
        raise SystemExit(f"BROKEN {verdict.faults[0]}")
    figures.idle = verdict.idle / (plan.rate * wants * mood * SECOND)
    return figures


def part(values: list[float], which: float) -> str:
    return f"{sorted(values)[min(len(values) - 1, int(which * len(values)))]:.0f}" if values else "-"


def play_seeds(members: int, first: int, count: int) -> tuple[int, int, int, int]:
    """(broken, uses, records whose ages were checked, the most bytes of a member in any second);
    prints what is broken.
    """
    broken = spent = checked = most = 0
    for seed in range(first, first + count):
        verdict = judge(Ground(varied(members, seed)).run().rows)
        broken += bool(verdict.faults)
        spent, checked, most = spent + verdict.spent, checked + verdict.checked, max(most, verdict.most_bytes)
        for fault in verdict.faults[:2]:
            print(f"BROKEN members {members} seed {seed}: {fault}", flush=True)
    print(
        f"seeds {first} to {first + count - 1} of random faults, {members} members: broken {broken}, uses "
        f"{spent}, "
        f"ages checked {checked}, bytes of one in a second at most {most}",
        flush=True,
    )
    return broken, spent, checked, most


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("plan")
    words.add_argument("--seeds", type=int)
    words.add_argument("--first", type=int, default=0)
    words.add_argument("--members", type=int, default=5)
    told = words.parse_args()
    try:
        plan = read(told.plan)
    except InvalidConfigError as faulty:
        print(faulty, file=sys.stderr)
        return 2
    if told.seeds:
        return int(play_seeds(told.members, told.first, told.seeds)[0] > 0)
    return play(plan)


def read(path: str) -> Smoke:
    """A plan, checked whole. Raises Faulty."""
    plan = validate(Smoke, load_toml(path), path)
    if unknown := [name for name in plan.mutants if name not in mutants.MUTANTS]:
        raise InvalidConfigError(
            [
                NotAllowedValueError(
                    path, "mutants", shown=repr(name), may=f"some of {', '.join(mutants.MUTANTS)}"
                )
                for name in unknown
            ]
        )
    return plan


def play(plan: Smoke) -> int:
    """The end code: 0 only if every bound held; figures printed last."""
    broken = sum(play_seeds(one.members, one.first, one.count)[0] for one in plan.seeds)
    for name in plan.mutants:
        try:
            played, found = mutants.caught(name)
            print(f"mutant {name}: found after {played} seeds: {found}", flush=True)
        except AssertionError as fault:
            broken += 1
            print(f"BROKEN mutant {fault}", flush=True)
    for one in plan.measured:
        f = measure(one.members, one.loss, one.wants)
        print(
            f"members {one.members} loss {one.loss:g}: first unit ms p50 {part(f.first, 0.5)} p99 "
            f"{part(f.first, 0.99)}, all "
            f"p50 {part(f.whole, 0.5)} p99 {part(f.whole, 0.99)} (of {one.wants}, not met {f.failed}); known "
            f"by all ms p50 "
            f"{part(f.known, 0.5)} p99 {part(f.known, 0.99)} (of {len(f.known)}); bytes {f.bytes:.0f}, cpu "
            f"us {f.cpu:.0f} a "
            f"member a second; usable nowhere {f.idle:.3f}",
            flush=True,
        )
    print(f"{plan.name}: broken {broken}")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
