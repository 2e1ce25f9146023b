"""What a plan's `ground` names: who reads such a plan and who plays it. One command runs them all.

    python -m pathsaddle experiment run PLAN

virtual and sockets play the whole program among emulated peers (emulator/plan.py), scale measures at growing
sizes (experiment/scale.py); the others have programs of their own, which are loaded when one of their plans
is.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pathsaddle.config.validation import (
    InvalidConfigError,
    NotAllowedValueError,
    WrongTypeError,
    display_value,
    load_toml,
)


@dataclass(frozen=True)
class Program:
    """read: a plan's file, checked whole; raises Error. play: what was read; its end code, figures printed
    last.
    """

    read: Callable[[str], Any]
    play: Callable[[Any], int]


def shared() -> Program:
    from pathsaddle.emulator.state import smoke

    return Program(smoke.read, smoke.play)


def owners() -> Program:
    from pathsaddle.emulator.ownership import smoke

    return Program(smoke.read, smoke.play)


def overload() -> Program:
    from pathsaddle.emulator.overload import plan, smoke

    return Program(lambda path: plan.of(Path(path)), smoke.run)


def placement() -> Program:
    from pathsaddle.emulator.placement import smoke

    return Program(lambda path: smoke.read(Path(path)), smoke.play)


def federation() -> Program:
    from pathsaddle.emulator.federation import smoke

    return Program(smoke.read, smoke.play)


def histories() -> Program:
    from pathsaddle.histories import smoke

    return Program(lambda path: smoke.read_plan(Path(path)), lambda plan: int(not smoke.run(plan, print)))


def settings() -> Program:
    from pathsaddle.emulator.settings import smoke

    return Program(smoke.read, smoke.play)


PROGRAMS: dict[str, Callable[[], Program]] = {
    "shared": shared,
    "owners": owners,
    "overload": overload,
    "placement": placement,
    "federation": federation,
    "histories": histories,
    "settings": settings,
}
EMULATED = ("virtual", "sockets")
OPTIONS: dict[str, tuple[str, ...]] = {  # that the command takes for a plan of each
    **dict.fromkeys(EMULATED, ("folder", "ground", "jobs", "seeds", "fresh")),
    "scale": ("folder", "jobs", "fresh", "short"),
    **dict.fromkeys(PROGRAMS, ()),
}


def told(path: str | Path) -> tuple[dict[str, Any], str]:
    """A plan's table and its ground; none stands for virtual. Raises Faulty."""
    table = load_toml(path)
    ground = table.get("ground", EMULATED[0])
    if not isinstance(ground, str):
        raise InvalidConfigError(
            [WrongTypeError(str(path), "ground", shown=display_value(ground), may="a text")]
        )
    if ground not in OPTIONS:
        raise InvalidConfigError(
            [
                NotAllowedValueError(
                    str(path), "ground", shown=display_value(ground), may=f"one of {', '.join(OPTIONS)}"
                )
            ]
        )
    return table, ground


def read(path: str | Path) -> tuple[str, Any]:
    """(ground, the plan) of whatever ground, checked whole; a target of capacity counts as one. Raises
    Error.
    """
    from pathsaddle.emulator import plan as emulated
    from pathsaddle.experiment import capacity, scale

    if is_target(path):
        return "target", capacity.read(path)
    table, ground = told(path)
    if ground in EMULATED:
        return ground, emulated.of(table, str(path))
    if ground == "scale":
        return ground, scale.of(table, str(path)).plan
    return ground, PROGRAMS[ground]().read(str(path))


def is_target(path: str | Path) -> bool:
    """Whether a file is no plan but a size to plan for, which has numbers and rows and no ground."""
    table = load_toml(path)
    return "ground" not in table and "numbers" in table


def named(ground: str, plan: Any) -> tuple[str, str]:
    """(name, what it is to show) of a plan that `read` gave."""

    def of(key: str) -> str:
        value = plan.get(key, "") if isinstance(plan, dict) else getattr(plan, key, "")
        return str(value)

    return of("name"), of("about") or of("name")
