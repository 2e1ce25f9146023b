"""What a plan of owners says, in virtual time; figures last; exit 0 only if every bound holds.

python -m pathsaddle experiment run experiments/owner-smoke.toml python -m pathsaddle.emulator.ownership.smoke
PLAN [--seeds N] [--first N] [--members N] [--voters N] [--only trouble]
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from pathsaddle.config.schema import ConfigTable, Count
from pathsaddle.config.units import Duration
from pathsaddle.config.validation import InvalidConfigError, NotAllowedValueError, load_toml, validate
from pathsaddle.consensus.messages import Ticks
from pathsaddle.emulator.ownership import linear
from pathsaddle.emulator.ownership.faults import layout_with_faults, run_with_faults
from pathsaddle.emulator.ownership.hosts import MemberHost
from pathsaddle.emulator.ownership.judge import judge
from pathsaddle.emulator.ownership.mutants import FOUND, mutant
from pathsaddle.emulator.ownership.simulation import Layout, Simulation
from pathsaddle.scheduler_types import MILLISECOND, SECOND

FAULTS = ("kill", "stop", "cut", "sigterm")
USAGE_CODE = 2
LARGE_FLEET = 40
TOTALS = ("effects", "refused", "owners", "calls")  # in the order in which they are printed
MAX_FINDINGS = 3  # of one seed
TICKS_PER_MILLISECOND = 10


def longest_allowed_gap(fault: str, lease_ticks: Ticks) -> Ticks:
    """Return for how long a key may have no lease holder after a fault, where links are good.

    A lease by an acceptor's fast clock, the spread of those that come after it, a ballot that is outbid and
    another. From SIGTERM: a spread and two ballots.
    """
    if fault == "sigterm":
        return lease_ticks // 4 + SECOND // 2
    return lease_ticks * 3 // 2 + SECOND // 2


@dataclass
class FaultRuns:
    """What runs with faults gave."""

    findings: list[str] = field(default_factory=list)
    totals: Counter[str] = field(default_factory=Counter)


def run_seeds(seeds: list[int], members: int, acceptors: int, fault_seconds: int) -> FaultRuns:
    """Run simulations with faults and check their logs."""
    runs = FaultRuns()
    for seed in seeds:
        simulation = run_with_faults(
            seed, layout_with_faults(members, acceptors, 1 + seed % 2), fault_seconds
        )
        rows = simulation.events.rows
        verdict = judge(rows)
        runs.findings += [f"seed {seed}: {name}: {text}" for name, text in verdict.findings[:MAX_FINDINGS]]
        runs.findings += [
            f"seed {seed}: register-not-linearizable: {reason}" for reason in linear.check(rows).values()
        ]
        runs.findings += [
            f"seed {seed}: {key} has no owner after the calm"
            for key in simulation.keys
            if not lease_holder(simulation, key)
        ]
        runs.totals["effects"] += verdict.effects
        runs.totals["refused"] += verdict.refused
        runs.totals["owners"] += verdict.owners
        runs.totals["calls"] += sum(map(len, linear.register_calls(rows).values()))
    return runs


def lease_holder(simulation: Simulation, key: str) -> str:
    """Return the name of the member that may act for a key now, or nothing."""
    for name, host in simulation.hosts.items():
        if isinstance(host, MemberHost) and host.lease_manager.fencing_token(key, host.now()):
            return name
    return ""


def active_lease_holder(simulation: Simulation) -> str:
    """Return the name of the member that runs, is not paused and may act for the first key, or nothing."""
    for name, host in simulation.hosts.items():
        is_active = isinstance(host, MemberHost) and host.is_up and simulation.now >= host.paused_until
        if is_active and isinstance(host, MemberHost) and host.lease_manager.fencing_token("k0", host.now()):
            return name
    return ""


def measure_gap(fault: str, lease_ticks: Ticks, seed: int) -> Ticks:
    """Return for how long nobody may act after a fault (cut: after the lease holder's own last moment)."""
    layout = Layout(lease_ticks=lease_ticks, work_interval_ticks=0, not_preferred=2)
    simulation = Simulation(seed, layout)
    rng = Random(seed)
    simulation.run(3 * lease_ticks + rng.randrange(lease_ticks))
    name = active_lease_holder(simulation)
    host = simulation.hosts[name]
    assert isinstance(host, MemberHost)
    start = simulation.now
    if fault == "kill":
        host.kill()
    elif fault == "stop":
        host.paused_until = simulation.now + 10 * lease_ticks
    elif fault == "cut":
        for acceptor in simulation.acceptors:
            simulation.cut_links[name, acceptor] = simulation.cut_links[acceptor, name] = None
    else:
        host.terminate()
    while active_lease_holder(simulation) in ("", name) and simulation.now < start + 20 * lease_ticks:
        if active_lease_holder(simulation) == name:
            start = simulation.now + 1
        simulation.run(simulation.now + MILLISECOND)
    return simulation.now - start


@dataclass
class RenewalCost:
    """What one lease holder's renewals cost in a second, the lease holder and three acceptors together."""

    messages: float
    bytes: float
    syncs: float
    cpu_ms: float


def measure_renewals(keys: int, lease_ticks: Ticks = 3 * SECOND) -> RenewalCost:
    """Measure what the renewals of so many keys cost."""
    layout = Layout(members=1, keys=keys, lease_ticks=lease_ticks, work_interval_ticks=0, clock_error=0.0)
    simulation = Simulation(1, layout)
    simulation.run(2 * lease_ticks)
    simulation.count_bytes, simulation.sent_bytes = True, 0
    sent, syncs = simulation.sent, simulation.syncs
    start = time.process_time()
    simulation.run(simulation.now + 5 * lease_ticks)
    cpu_seconds, seconds = time.process_time() - start, 5 * lease_ticks / SECOND
    return RenewalCost(
        (simulation.sent - sent) / seconds,
        simulation.sent_bytes / seconds,
        (simulation.syncs - syncs) / seconds,
        cpu_seconds * 1000 / seconds,
    )


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
    """Return a plan that is valid. Raises InvalidConfigError."""
    plan = validate(Plan, load_toml(path), path)
    if unknown := [
        NotAllowedValueError(path, f"mutants.{name}", shown=repr(name), may=f"one of {', '.join(FOUND)}")
        for name in plan.mutants
        if name not in FOUND
    ]:
        raise InvalidConfigError([*unknown])
    return plan


def main(arguments: list[str]) -> int:
    """Run the plan that the arguments name and return the end code."""
    parser = argparse.ArgumentParser(
        prog="pathsaddle.emulator.ownership.smoke",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("plan")
    for name in ("seeds", "first", "members", "voters"):
        parser.add_argument(f"--{name}", type=int)
    parser.add_argument("--only", choices=("trouble",))
    options = parser.parse_args(arguments)
    try:
        plan = read(options.plan)
    except InvalidConfigError as error:
        print(error, file=sys.stderr)
        return USAGE_CODE
    return play(
        msgspec.structs.replace(
            plan,
            **{
                name: getattr(options, name)
                for name in ("seeds", "first", "members", "voters")
                if getattr(options, name) is not None
            },
        ),
        options.only is not None,
    )


@dataclass
class Report:
    """What a plan's run found wrong, and its figures."""

    findings: list[str] = field(default_factory=list)
    figures: list[str] = field(default_factory=list)


def play(plan: Plan, only_faults: bool = False) -> int:
    """Run a plan, print its figures last, and return the end code: 0 only if every invariant holds."""
    report, start = Report(), time.monotonic()
    _run_faults(plan, report, only_faults)
    if not only_faults:
        _run_mutants(plan, report)
        _measure_gaps(plan, report)
        _measure_costs(plan, report)
    for text in report.findings:
        print(f"BROKEN {text}")
    for text in report.figures:
        print(text)
    result = "broken" if report.findings else "every bound holds"
    print(f"{plan.name}: {result}, {time.monotonic() - start:.1f} s")
    return 1 if report.findings else 0


def _run_faults(plan: Plan, report: Report, only_faults: bool) -> None:
    seeds = [*range(plan.first, plan.first + plan.seeds), *([] if only_faults else plan.kept)]
    large_seeds = [] if only_faults else list(range(plan.large))
    for members, some in ((plan.members, seeds), (LARGE_FLEET, large_seeds)):
        if some:
            runs = run_seeds(some, members, plan.voters, plan.seconds)
            report.findings += runs.findings
            report.figures.append(
                f"{len(some)} seeds of {plan.seconds} s of trouble, {members} members, "
                f"{plan.voters} voters: " + ", ".join(f"{runs.totals[name]} {name}" for name in TOTALS)
            )


def _run_mutants(plan: Plan, report: Report) -> None:
    for name, seed in plan.mutants.items():
        with mutant(name):
            simulation = run_with_faults(seed)
        found = [one for one, _ in judge(simulation.events.rows).findings if one in FOUND[name]]
        if found:
            report.figures.append(f"mutant {name}: {found[0]}")
        else:
            report.findings.append(f"mutant {name} was not found at seed {seed}")


def _measure_gaps(plan: Plan, report: Report) -> None:
    for lease in plan.leases:
        for fault in FAULTS:
            gaps = sorted(measure_gap(fault, lease, seed) for seed in range(plan.plays))
            lease_ms = lease / TICKS_PER_MILLISECOND
            p50, p99, longest = (
                gap / TICKS_PER_MILLISECOND
                for gap in (gaps[len(gaps) // 2], gaps[len(gaps) * 99 // 100], gaps[-1])
            )
            if gaps[-1] > longest_allowed_gap(fault, lease):
                report.findings.append(
                    f"{longest:.0f} ms without an owner after {fault} with a lease of {lease_ms:.0f} ms"
                )
            report.figures.append(
                f"lease {lease_ms:.0f} ms, {fault}: without an owner p50 {p50:.0f}, "
                f"p99 {p99:.0f}, most {longest:.0f} ms"
            )


def _measure_costs(plan: Plan, report: Report) -> None:
    for keys in plan.keys:
        cost = measure_renewals(keys)
        if cost.syncs:
            report.findings.append(f"{cost.syncs} syncs a second for renewals alone")
        report.figures.append(
            f"{keys} keys, lease 3 s: {cost.messages:.0f} messages, {cost.bytes:.0f} bytes, "
            f"{cost.syncs:.0f} syncs, {cost.cpu_ms:.2f} ms of CPU a second (owner and 3 voters, emulated)"
        )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
