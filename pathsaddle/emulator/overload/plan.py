"""What an emulated run of overload is told. Times in seconds in the file, in ticks in the world."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from pathsaddle.errors import access, why
from pathsaddle.fleet.overload.errors import InvalidPlanError

POLICIES = ("alone", "fleet", "whole", "dagor", "breakwater", "throttle", "finagle", "envoy", "doorman")
MUTANTS = ("jumpy", "dice", "arrival", "unspread")


class Trouble(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """lose: workers die, and come back. slow: workers are strength times slower. flap: workers lost each
    second. cut: members hear nobody and are heard by nobody; oneway: they hear nobody. kill: members end,
    their clients come to the rest. stall: members stand still. lies, mute: members tell strength times their
    load, or nothing. sick: the workers swallow what the first half of the members sends. lossy: so many
    records are lost. share: of members or workers. most: the members with the most load.
    """

    kind: Literal["lose", "slow", "flap", "cut", "kill", "stall", "lies", "mute", "sick", "lossy"]
    at: float
    for_: float = msgspec.field(name="for", default=10.0)
    share: float = 0.34
    strength: float = 100.0
    oneway: bool = False
    most: bool = False


class Plan(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """load: of capacity, as first tries. surge: (from, to, load) instead. again: how often a client comes
    again; -1: without end. skew: how uneven the members' loads are;
    flood: what part the first customer sends.
    """

    name: str
    seconds: float = 30.0
    members: int = 40
    workers: int = 12
    slots: int = 4
    load: float = 0.8
    surge: tuple[float, float, float] | None = None
    again: int = 3
    customers: int = 8
    skew: float = 0.0
    flood: float = 0.0
    bunched: bool = False  # all that come again on their own wait the same time
    troubles: list[Trouble] = msgspec.field(default_factory=list)
    # seconds from the last trouble or surge to 0.95 of the value before; 0: not judged
    back_within: float = 0.0
    policy: str = "fleet"
    mutant: str = ""


class Smoke(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    ground: Literal["overload"] = "overload"
    name: str
    about: str = ""
    seeds: list[int]
    plans: list[Plan]
    # (bound that is to break, on which plan)
    mutants: dict[str, tuple[str, str]] = msgspec.field(default_factory=dict)


def of(path: Path) -> Smoke:
    """Raises BadPlan."""
    try:
        smoke = msgspec.toml.decode(path.read_bytes(), type=Smoke)
    except OSError as fault:
        raise InvalidPlanError(f"{path}: can't be read: {why(fault)}", access(fault, path)) from None
    except msgspec.ValidationError as fault:
        text, _, at = str(fault).partition(" - at ")
        at = at.strip("`").removeprefix("$.") or "its top"
        raise InvalidPlanError(
            f"{path}: {at}: {why(ValueError(text))}",
            f"write what {at} may hold, as experiments/overload-smoke.toml shows, in {path}",
        ) from None
    except UnicodeDecodeError as fault:
        raise InvalidPlanError(f"{path}: byte {fault.start} is no UTF-8", access(fault, path)) from None
    except msgspec.DecodeError as fault:
        raise InvalidPlanError(f"{path}: is not TOML: {why(fault)}", f"mend that place of {path}") from None
    for plan in smoke.plans:
        for key, told, known in (("policy", plan.policy, POLICIES), ("mutant", plan.mutant, ("", *MUTANTS))):
            if told not in known:
                raise InvalidPlanError(
                    f"{path}: plans: {plan.name}: no {key} is called {told!r}",
                    f"write one of {', '.join(filter(None, known))} at {key} of {plan.name} in {path}",
                )
    names = [plan.name for plan in smoke.plans]
    for mutant, (_, on) in smoke.mutants.items():
        if mutant not in MUTANTS or on not in names:
            raise InvalidPlanError(
                f"{path}: mutants.{mutant}: there is no such mutant, or no plan is called {on!r}",
                f"write one of {', '.join(MUTANTS)} there, and one of {', '.join(names)} as its plan",
            )
    if not smoke.seeds or not smoke.plans:
        raise InvalidPlanError(
            f"{path}: seeds, plans: nothing is to be played", f"write a seed and a plan at least in {path}"
        )
    return smoke
