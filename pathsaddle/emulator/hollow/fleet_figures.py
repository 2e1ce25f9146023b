"""The figures that the hollow fleets' measures share: their descriptions, and which depend on the seed alone."""

from __future__ import annotations

from collections.abc import Iterable

from pathsaddle.emulator.hollow.fleet_ground import FleetSetting


def counted(figures: Iterable[str]) -> frozenset[str]:
    """All but processor times."""
    return frozenset(name for name in figures if not name.endswith("us_s"))


def peaked(costs: dict[str, float], name: str) -> dict[str, float]:
    return {
        f"{name}_out_s": costs["out_s"],
        f"{name}_most_out": costs["most_out"],
        f"{name}_most_in": costs["most_in"],
        f"{name}_us_s": costs["members_us"] + costs["shared_us"],
    }


def peak_figures(peaks: dict[str, str]) -> dict[str, tuple[str, str]]:
    """`peaks`: what happens in each, by its name."""
    return {
        f"{peak}_{figure}": (unit, f"{text}: {what} (hollow, emulated)")
        for peak, text in peaks.items()
        for figure, unit, what in (
            ("out_s", "bytes/s", "sent by a member, on the mean"),
            ("most_out", "bytes", "the most that any sends in any second"),
            ("most_in", "bytes", "the most that any takes in any second"),
            ("us_s", "us/s", "processor time of the cores per member"),
        )
    }


def needed(point: int, setting: FleetSetting) -> tuple[int, float]:
    """One process; measured 31 MiB at 10 members, 149 MiB at 200."""
    return 1, 40 + point * 0.3 + point * point * 0.002
