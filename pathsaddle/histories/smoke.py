"""A plan that proves the checkers: what is planted is found under its name, what is right passes,
and how long it took.

A plan of its own form: the emulator's plans run the program, these checkers know nothing of it.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from pathlib import Path
from time import perf_counter, process_time
from typing import Any

from pathsaddle.errors import access, why
from pathsaddle.histories.checkers import CHECKERS
from pathsaddle.histories.faults import NoToml, UnknownChecker, UnknownKey, Unreadable, WrongValue
from pathsaddle.histories.logs import check
from pathsaddle.histories.planted import PLANTED, proving, wrong
from pathsaddle.histories.seeming import looks_wrong
from pathsaddle.histories.small import small
from pathsaddle.histories.worlds import right


@dataclass
class Plan:
    """seeds: how many of each. events: of a history. skew: ticks that clocks are off, each seed without and
    with. small: the most events that a history made small may have left. timed: events by which the seconds
    for a million are measured. million, seconds: what that and the whole run may take. ground: histories.
    """

    ground: str = "histories"
    name: str = ""
    about: str = ""
    checks: list[str] = field(default_factory=lambda: list(CHECKERS))
    seeds: int = 3
    events: int = 3000
    skew: int = 50
    small: int = 30
    timed: int = 50_000
    million: float = 20.0
    seconds: float = 40.0


MAY: dict[type, str] = {
    str: "a text",
    list: "a list of checkers' names",
    int: "a whole number, 1 or more",
    float: "seconds, 0 or more",
}


def table(path: Path) -> dict[str, Any]:
    """Raises Unreadable or NoToml."""
    try:
        return tomllib.loads(path.read_bytes().decode())
    except (OSError, UnicodeError) as fault:
        said = f"byte {fault.start} is no UTF-8" if isinstance(fault, UnicodeDecodeError) else why(fault)
        raise Unreadable("", access(fault, path), file=path, why=said) from fault
    except tomllib.TOMLDecodeError as fault:
        raise NoToml(file=path, why=why(fault)) from fault


def read_plan(path: Path) -> Plan:
    """Raises HistoryError with the key that is wrong."""
    told = table(path)
    plan = Plan()
    known = {each.name: type(getattr(plan, each.name)) for each in fields(Plan)}
    for key, value in told.items():
        if key not in known:
            raise UnknownKey(file=path, key=key, known=", ".join(known))
        if not isinstance(value, (int, float) if known[key] is float else known[key]) or (
            isinstance(value, bool)
            or (known[key] in (int, float) and value < 0)
            or (key == "events" and value < 1)
        ):
            raise WrongValue(file=path, key=key, shown=repr(value), may=MAY[known[key]])
        setattr(plan, key, value)
    if plan.ground != "histories":
        raise WrongValue(file=path, key="ground", shown=repr(plan.ground), may='"histories"')
    for name in plan.checks:
        if name not in CHECKERS:
            raise UnknownChecker(where=f"checks in {path}", shown=repr(name), known=", ".join(CHECKERS))
    return plan


def run(plan: Plan, say: Callable[[str], None]) -> bool:
    """Says a line for each that does not hold, figures last; whether all held."""
    began, cpu = perf_counter(), process_time()
    bad = 0
    rows = []
    for name in plan.checks:
        found = played = passed = 0
        for kind in PLANTED[name]:
            for seed in range(plan.seeds):
                for skew in (0, plan.skew):
                    expected, events = wrong(name, kind, seed, plan.events, skew)
                    names = {finding.name for finding in check(events, [proving(name, skew)])}
                    played += 1
                    found += expected in names
                    if expected not in names:
                        say(
                            f"MISSED {name}: {kind}, seed {seed}, skew {skew}: {expected} is not among "
                            f"{', '.join(sorted(names)) or 'nothing'}"
                        )
        bad += played - found
        looks = looks_wrong(name)
        rights = [(kind, events, 0) for kind, events in looks.items()]
        rights += [
            (f"seed {seed}", right(name, seed, plan.events, skew), skew)
            for seed in range(2 * plan.seeds)
            for skew in (0, plan.skew)
        ]
        for kind, events, skew in rights:
            findings = check(events, [proving(name, skew)])
            passed += not findings
            if findings:
                say(f"WRONGLY ACCUSED {kind}, skew {skew}: {findings[0]}")
        bad += len(rights) - passed
        left = _smallest(name, plan)
        if left > plan.small:
            bad += 1
            say(f"NOT SMALL {name}: {left} events are left")
        took = million(name, plan.timed)
        if took > plan.million:
            bad += 1
            say(f"SLOW {name}: {took:.1f} s for a million events")
        rows.append((name, len(PLANTED[name]), found, played, passed, len(rights), left, took))
    whole = perf_counter() - began
    if process_time() - cpu > plan.seconds:
        bad += 1
        say(f"SLOW: {process_time() - cpu:.0f} s, {plan.seconds:g} are allowed")
    say(f"{'checker':<12}{'kinds':>6}{'found':>10}{'passed':>10}{'small':>7}{'s a million':>13}")
    for name, kinds, found, played, passed, of, left, took in rows:
        say(f"{name:<12}{kinds:>6}{f'{found}/{played}':>10}{f'{passed}/{of}':>10}{left:>7}{took:>13.1f}")
    say(
        f"{whole:.1f} s, {process_time() - cpu:.1f} s of processor time; "
        f"{'every bound holds' if not bad else f'{bad} do not hold'}"
    )
    return not bad


def _smallest(name: str, plan: Plan) -> int:
    """How many events are left of one planted history that was made small by itself."""
    kind = next(iter(PLANTED[name]))
    expected, events = wrong(name, kind, 0, plan.events, 0)
    findings = [row for row in check(events, [proving(name)]) if row.name == expected]
    return len(small(events, lambda: proving(name), findings[0])) if findings else len(events)


def million(name: str, events: int, seed: int = 0) -> float:
    """Seconds of processor time that a million events of a right history take, by so many."""
    rows: list[Any] = right(name, seed, events)
    began = process_time()
    check(rows, [proving(name)])
    return (process_time() - began) / len(rows) * 1e6
