"""Durations and sizes as an operator writes them: "250ms", "64MiB"."""

from __future__ import annotations

import re
from typing import Any

UNITS = {"us": 0.01, "ms": 10, "s": 10_000, "min": 600_000, "h": 36_000_000}
SIZES = {"B": 1, "kB": 1000, "KiB": 1 << 10, "MB": 1000_000, "MiB": 1 << 20, "GB": 10**9, "GiB": 1 << 30}
QUANTITY = re.compile(r"([0-9]{1,12}(?:[.][0-9]{1,6})?) ?([A-Za-z]+)")


class Duration(int):
    """A span of time in whole tenths of a millisecond."""


class Size(int):
    """A count of bytes."""


def _read(text: Any, units: dict[str, float], example: str) -> float:
    match = QUANTITY.fullmatch(text) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        raise ValueError(f'a number with a unit ({", ".join(units)}), such as "{example}"')
    return float(match[1]) * units[match[2]]


def parse_duration(text: Any) -> Duration:
    """Raises ValueError that says what may stand there."""
    return Duration(round(_read(text, UNITS, "250ms")))


def parse_size(text: Any) -> Size:
    return Size(round(_read(text, dict(SIZES), "64MiB")))


def hook(kind: type, told: Any) -> Any:
    """For msgspec: the types that TOML has no word for."""
    if kind is Duration:
        return parse_duration(told)
    if kind is Size:
        return parse_size(told)
    raise NotImplementedError(kind)


def format_quantity(value: Any) -> str:
    """A value the way it would stand in the file."""
    if isinstance(value, Duration):
        for unit, ticks in (("h", 36_000_000), ("min", 600_000), ("s", 10_000), ("ms", 10)):
            if (value and value % ticks == 0) or unit == "ms":
                return f'"{value / ticks:g}{unit}"'
    if isinstance(value, Size):
        for unit in ("GiB", "MiB", "KiB"):
            if value and value % SIZES[unit] == 0:
                return f'"{value // SIZES[unit]}{unit}"'
        return f'"{value}B"'
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(format_quantity(item) for item in value) + "]"
    return f"{value:g}" if isinstance(value, float) else str(value)
