"""What a plan's `ground` names: who reads such a plan and who plays it. One command runs them all.

    python -m pathsaddle experiment run PLAN
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pathsaddle.charter.check import Faulty, NotAmong, WrongKind, load, shown


@dataclass(frozen=True)
class Program:
    """read: a plan, checked whole; raises Error. play: its end code, figures printed last."""

    read: Callable[[str], Any]
    play: Callable[[Any], int]


PROGRAMS: dict[str, Program] = {}
EMULATED = ("virtual", "sockets")
OPTIONS = {**{ground: ("folder", "ground", "jobs", "seeds", "fresh") for ground in EMULATED},
           "scale": ("folder", "jobs", "fresh", "short"),
           **{ground: () for ground in PROGRAMS}}  # that the command takes for a plan of each


def told(path: str | Path) -> tuple[dict[str, Any], str]:
    """A plan's table and its ground; none stands for virtual. Raises Faulty."""
    table = load(path)
    ground = table.get("ground", "virtual")
    if not isinstance(ground, str):
        raise Faulty([WrongKind(str(path), "ground", shown=shown(ground), may="a text")])
    if ground not in OPTIONS:
        raise Faulty([NotAmong(str(path), "ground", shown=shown(ground), may=f"one of {', '.join(OPTIONS)}")])
    return table, ground
