"""python -m pathsaddle.emulator.ownership.smoke PLAN [--seeds N] [--first N] [--members N] [--voters N]
[--only trouble]: what a plan says, in virtual time; figures last; exit 0 only if every bound holds."""

from __future__ import annotations

import argparse
import sys
import time
import tomllib
from pathlib import Path
from random import Random
from typing import Any

from pathsaddle.charter.units import duration
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
    "sigterm": lambda lease: lease // 4 + SECOND // 2}


def trouble(seeds: list[int], members: int, voters: int, seconds: int) -> tuple[list[str], dict[str, int]]:
    wrong, sums = [], {"effects": 0, "refused": 0, "owners": 0, "calls": 0}
    for seed in seeds:
        ground = troubled(seed, members, seconds, voters=voters, keys=1 + seed % 2)
        verdict = judge(ground.events.rows)
        wrong += [f"seed {seed}: {name}: {text}" for name, text in verdict.findings[:3]]
        wrong += [f"seed {seed}: register-not-linearizable: {why}"
                  for why in linear.check(ground.events.rows).values()]
        for key in ground.keys:
            if not any(isinstance(host, MemberHost) and host.owner.may_act(key, host.now())
                       for host in ground.hosts.values()):
                wrong.append(f"seed {seed}: {key} has no owner after the calm")
        for name, more in (("effects", verdict.effects), ("refused", verdict.refused),
                           ("owners", verdict.owners),
                           ("calls", sum(map(len, linear.calls(ground.events.rows).values())))):
            sums[name] += more
    return wrong, sums


def without(fault: str, lease: int, seed: int) -> int:
    """Ticks in which nobody may act: from the fault on (cut: from the owner's own last moment)."""
    ground = Ground(seed, members=5, lease=lease, pause=0, unpreferred=2)
    chance = Random(seed)
    ground.run(3 * lease + chance.randrange(lease))

    def owner() -> str:
        return next((name for name, host in ground.hosts.items() if isinstance(host, MemberHost) and host.up
                     and ground.at >= host.stood and host.owner.may_act("k0", host.now())), "")
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
    return {"messages": (ground.sent - sent) / span, "bytes": ground.bytes / span,
            "syncs": (ground.syncs - syncs) / span,
            "cpu_ms": spent * 1000 / span}


def main(words: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="pathsaddle.emulator.ownership.smoke", description=__doc__)
    parser.add_argument("plan", type=Path)
    for word in ("seeds", "first", "members", "voters"):
        parser.add_argument(f"--{word}", type=int)
    parser.add_argument("--only", choices=("trouble",))
    said = parser.parse_args(words)
    plan: dict[str, Any] = tomllib.loads(said.plan.read_text())
    plan |= {word: getattr(said, word) for word in ("seeds", "first", "members", "voters")
             if getattr(said, word) is not None}
    wrong, figures, begun = [], [], time.monotonic()

    seeds = [*range(plan["first"], plan["first"] + plan["seeds"]), *([] if said.only else plan["kept"])]
    for members, some in ((plan["members"], seeds), (40, [] if said.only else list(range(plan["large"])))):
        if some:
            faults, sums = trouble(some, members, plan["voters"], plan["seconds"])
            wrong += faults
            figures.append(f"{len(some)} seeds of {plan['seconds']} s of trouble, {members} members, "
                           f"{plan['voters']} voters: "
                           + ", ".join(f"{value} {name}" for name, value in sums.items()))
    if not said.only:
        for name, seed in plan["mutants"].items():
            with mutant(name):
                ground = troubled(seed)
            found = [one for one, _ in judge(ground.events.rows).findings if one in FOUND[name]]
            if found:
                figures.append(f"mutant {name}: {found[0]}")
            else:
                wrong.append(f"mutant {name} was not found at seed {seed}")
        for lease in map(duration, plan["leases"]):
            for fault in FAULTS:
                spans = sorted(without(fault, lease, seed) for seed in range(plan["plays"]))
                if spans[-1] > BOUND[fault](lease):
                    wrong.append(f"{spans[-1] / 10:.0f} ms without an owner after {fault} with a lease of "
                                 f"{lease / 10:.0f} ms")
                figures.append(f"lease {lease / 10:.0f} ms, {fault}: without an owner p50 "
                               f"{spans[len(spans) // 2] / 10:.0f}, "
                               f"p99 {spans[len(spans) * 99 // 100] / 10:.0f}, most {spans[-1] / 10:.0f} ms")
        for keys in plan["keys"]:
            cost = renewals(keys)
            if cost["syncs"]:
                wrong.append(f"{cost['syncs']} syncs a second for renewals alone")
            figures.append(f"{keys} keys, lease 3 s: {cost['messages']:.0f} messages, {cost['bytes']:.0f} "
                           f"bytes, "
                           f"{cost['syncs']:.0f} syncs, {cost['cpu_ms']:.2f} ms of CPU a second (owner and 3 "
                           f"voters, emulated)")
    for text in wrong:
        print(f"BROKEN {text}")
    for text in figures:
        print(text)
    print(f"{plan['name']}: {'broken' if wrong else 'every bound holds'}, {time.monotonic() - begun:.1f} s")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
