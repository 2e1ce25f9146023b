"""What a plan of owners says, in virtual time; figures last; exit 0 only if every bound holds.

python -m pathsaddle experiment run experiments/owner-smoke.toml
python -m pathsaddle.emulator.ownership.smoke PLAN [--seeds N] [--first N] [--members N] [--voters N] [--only trouble]
"""

from __future__ import annotations

import argparse
import sys
import time
from random import Random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from pathsaddle.config.schema import ConfigTable, Count
from pathsaddle.config.units import Duration
from pathsaddle.config.validation import InvalidConfigError, NotAllowedValueError, load_toml, validate
from pathsaddle.emulator.ownership import linear
from pathsaddle.emulator.ownership.faults import troubled
from pathsaddle.emulator.ownership.ground import Ground, MemberHost
from pathsaddle.emulator.ownership.judge import judge
from pathsaddle.emulator.ownership.mutants import FOUND, mutant
from pathsaddle.trade import MILLISECOND, SECOND

FAULTS = ("kill", "stop", "cut", "sigterm")
# Where ways are good, until another owns the key: a lease by a voter's fast clock, the spread of those that
# come after it, a ballot outbid and another. From SIGTERM: a spread and two ballots.
BOUND = {fault: (lambda lease: lease * 3 // 2 + SECOND // 2) for fault in FAULTS} | {
    "sigterm": lambda lease: lease // 4 + SECOND // 2
}


def trouble(seeds: list[int], members: int, voters: int, seconds: int) -> tuple[list[str], dict[str, int]]:
    wrong, sums = [], {"effects": 0, "refused": 0, "owners": 0, "calls": 0}
    for seed in seeds:
        ground = troubled(seed, members, seconds, voters=voters, keys=1 + seed % 2)
        verdict = judge(ground.events.rows)
        wrong += [f"seed {seed}: {name}: {text}" for name, text in verdict.findings[:3]]
        wrong += [
            f"seed {seed}: register-not-linearizable: {why}"
            for why in linear.check(ground.events.rows).values()
        ]
        for key in ground.keys:
            if not any(
                isinstance(host, MemberHost) and host.owner.fencing_token(key, host.now())
                for host in ground.hosts.values()
            ):
                wrong.append(f"seed {seed}: {key} has no owner after the calm")
        for name, more in (
            ("effects", verdict.effects),
            ("refused", verdict.refused),
            ("owners", verdict.owners),
            ("calls", sum(map(len, linear.calls(ground.events.rows).values()))),
        ):
            sums[name] += more
    return wrong, sums


def without(fault: str, lease: int, seed: int) -> int:
    """Ticks in which nobody may act: from the fault on (cut: from the owner's own last moment)."""
    ground = Ground(seed, members=5, lease=lease, pause=0, unpreferred=2)
    chance = Random(seed)
    ground.run(3 * lease + chance.randrange(lease))

    def owner() -> str:
        return next(
            (
                name
                for name, host in ground.hosts.items()
                if isinstance(host, MemberHost)
                and host.up
                and ground.at >= host.stood
                and host.owner.fencing_token("k0", host.now())
            ),
            "",
        )

    name = owner()
    host = ground.hosts[name]
    assert isinstance(host, MemberHost)
    begun = ground.at
    if fault == "kill":
        host.kill()
    elif fault == "stop":
        host.stood = ground.at + 10 * lease
    elif fault == "cut":
        for voter in ground.voters:
            ground.cuts[name, voter] = ground.cuts[voter, name] = None
    else:
        host.terminate()
    while owner() in ("", name) and ground.at < begun + 20 * lease:
        if owner() == name:
            begun = ground.at + 1
        ground.run(ground.at + MILLISECOND)
    return ground.at - begun


def renewals(keys: int, lease: int = 3 * SECOND) -> dict[str, float]:
    """By second, of one owner with so many keys."""
    ground = Ground(1, members=1, keys=keys, lease=lease, pause=0, off=0.0)
    ground.run(2 * lease)
    ground.weigh, ground.bytes, sent, syncs = True, 0, ground.sent, ground.syncs
    begun = time.process_time()
    ground.run(ground.at + 5 * lease)
    spent, span = time.process_time() - begun, 5 * lease / SECOND
    return {
        "messages": (ground.sent - sent) / span,
        "bytes": ground.bytes / span,
        "syncs": (ground.syncs - syncs) / span,
        "cpu_ms": spent * 1000 / span,
    }


class Plan(ConfigTable):
    """A plan of owners.

    ground: owners.
    name: how it is called.
    about: what it is to show.
    first: seed of trouble.
    seeds: how many from there.
    members: of a fleet.
    voters: among them.
    seconds: of trouble; then calm.
    large: seeds with 40 members.
    kept: further seeds that found something once.
    plays: of each fault at each length of lease.
    leases: how long a key is held without renewal.
    keys: of one owner, whose renewals are counted.
    mutants: planted faults, each with a seed that finds it.
    """

    name: str
    ground: Literal["owners"] = "owners"
    about: str = ""
    first: int = 0
    seeds: Annotated[int, Meta(ge=0)] = 0
    members: Count = 5
    voters: Count = 3
    seconds: Count = 40
    large: Annotated[int, Meta(ge=0)] = 0
    kept: list[int] = msgspec.field(default_factory=list)
    plays: Count = 20
    leases: list[Duration] = msgspec.field(default_factory=list)
    keys: list[Count] = msgspec.field(default_factory=list)
    mutants: dict[str, int] = msgspec.field(default_factory=dict)


def read(path: str) -> Plan:
    """A plan, checked whole. Raises Faulty."""
    plan = validate(Plan, load_toml(path), path)
    if unknown := [
        NotAllowedValueError(path, f"mutants.{name}", shown=repr(name), may=f"one of {', '.join(FOUND)}")
        for name in plan.mutants
        if name not in FOUND
    ]:
        raise InvalidConfigError([*unknown])
    return plan


def main(words: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="pathsaddle.emulator.ownership.smoke",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("plan")
    for word in ("seeds", "first", "members", "voters"):
        parser.add_argument(f"--{word}", type=int)
    parser.add_argument("--only", choices=("trouble",))
    said = parser.parse_args(words)
    try:
        plan = read(said.plan)
    except InvalidConfigError as fault:
        print(fault, file=sys.stderr)
        return 2
    return play(
        msgspec.structs.replace(
            plan,
            **{
                word: getattr(said, word)
                for word in ("seeds", "first", "members", "voters")
                if getattr(said, word) is not None
            },
        ),
        said.only is not None,
    )


def play(plan: Plan, trouble_alone: bool = False) -> int:
    """The end code: 0 only if every bound holds; figures printed last."""
    wrong, figures, begun = [], [], time.monotonic()

    seeds = [*range(plan.first, plan.first + plan.seeds), *([] if trouble_alone else plan.kept)]
    for members, some in ((plan.members, seeds), (40, [] if trouble_alone else list(range(plan.large)))):
        if some:
            faults, sums = trouble(some, members, plan.voters, plan.seconds)
            wrong += faults
            figures.append(
                f"{len(some)} seeds of {plan.seconds} s of trouble, {members} members, "
                f"{plan.voters} voters: " + ", ".join(f"{value} {name}" for name, value in sums.items())
            )
    if not trouble_alone:
        for name, seed in plan.mutants.items():
            with mutant(name):
                ground = troubled(seed)
            found = [one for one, _ in judge(ground.events.rows).findings if one in FOUND[name]]
            if found:
                figures.append(f"mutant {name}: {found[0]}")
            else:
                wrong.append(f"mutant {name} was not found at seed {seed}")
        for lease in plan.leases:
            for fault in FAULTS:
                spans = sorted(without(fault, lease, seed) for seed in range(plan.plays))
                if spans[-1] > BOUND[fault](lease):
                    wrong.append(
                        f"{spans[-1] / 10:.0f} ms without an owner after {fault} with a lease of "
                        f"{lease / 10:.0f} ms"
                    )
                figures.append(
                    f"lease {lease / 10:.0f} ms, {fault}: without an owner p50 "
                    f"{spans[len(spans) // 2] / 10:.0f}, "
                    f"p99 {spans[len(spans) * 99 // 100] / 10:.0f}, most {spans[-1] / 10:.0f} ms"
                )
        for keys in plan.keys:
            cost = renewals(keys)
            if cost["syncs"]:
                wrong.append(f"{cost['syncs']} syncs a second for renewals alone")
            figures.append(
                f"{keys} keys, lease 3 s: {cost['messages']:.0f} messages, {cost['bytes']:.0f} "
                f"bytes, "
                f"{cost['syncs']:.0f} syncs, {cost['cpu_ms']:.2f} ms of CPU a second (owner and 3 "
                f"voters, emulated)"
            )
    for text in wrong:
        print(f"BROKEN {text}")
    for text in figures:
        print(text)
    print(f"{plan.name}: {'broken' if wrong else 'every bound holds'}, {time.monotonic() - begun:.1f} s")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
