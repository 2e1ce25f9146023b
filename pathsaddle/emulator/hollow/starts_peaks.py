"""Slope 6 at two peaks: one worker in a hundred slow, and a release of all workers a tenth at a time.

The play, its fleet and its figures are `starts.py`'s (emulated); here stand the troubles alone. A slow worker is one
of which another program takes most: it takes work on, says that it has room, and does it late. A release drains a
tenth of the workers at a time; each ends when its jobs have, and begins anew, cold.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal
from unittest import mock

import msgspec

from pathsaddle.emulator.hollow import starts
from pathsaddle.emulator.hollow.starts import COUNTED, FIGURES, ZONES

__all__ = ["COUNTED", "FIGURES", "Setting", "measure", "needs"]


class Setting(starts.Setting, forbid_unknown_fields=True):
    """peak: which. taken: of a slow worker's machine by another program. one_in: so many workers one is slow, and one
    at the least.
    """

    peak: Literal["slow", "release"] = "slow"
    taken: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.9
    one_in: Annotated[int, msgspec.Meta(ge=1)] = 100


def needs(point: int, setting: Setting) -> tuple[int, float]:
    return starts.needs(point, setting)


def names(point: int, setting: Setting) -> list[str]:
    """The workers, as the plan's stage calls them, by zones in turn."""
    counts = {row["kind"]: row["count"] for row in starts.table(point, setting)["fleet"]["workers"]}
    return [f"{zone}-{i}" for i in range(max(counts.values())) for zone in ZONES if i < counts[zone]]


def troubles(point: int, setting: Setting) -> list[dict[str, Any]]:
    workers, span = names(point, setting), setting.seconds - setting.warm
    if setting.peak == "slow":
        return [
            {
                "kind": "slow",
                "of": name,
                "strength": setting.taken,
                "at": f"{setting.warm:g}s",
                "for": f"{span:g}s",
            }
            for name in workers[:: setting.one_in]
        ]
    tenth = span / 10
    return [
        {"kind": "drain", "of": name, "at": f"{setting.warm + turn * tenth:g}s", "for": f"{tenth / 2:g}s"}
        for turn in range(10)
        for name in workers[turn::10]
    ]


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play, in a process of its own: `starts`'s whole, with these troubles in its plan."""
    table = starts.table(point, setting) | {"faults": troubles(point, setting)}
    with mock.patch.object(starts, "table", lambda *_: table):
        return starts.measure(point, seed, setting)
