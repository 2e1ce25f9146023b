"""Durations and sizes as an operator writes them: "250ms", "64MiB".

The tables declare their keys as `Duration` and `Size`; `config/validation.py` decodes them with
`decode_quantity`.
"""

from __future__ import annotations

import re
from typing import Any

# In ticks, tenths of a millisecond.
DURATION_UNITS: dict[str, float] = {"us": 0.01, "ms": 10, "s": 10_000, "min": 600_000, "h": 36_000_000}
# In bytes.
SIZE_UNITS: dict[str, float] = {
    "B": 1,
    "kB": 1000,
    "KiB": 1 << 10,
    "MB": 1000_000,
    "MiB": 1 << 20,
    "GB": 10**9,
    "GiB": 1 << 30,
}
QUANTITY = re.compile(r"([0-9]{1,12}(?:[.][0-9]{1,6})?) ?([A-Za-z]+)")


class Duration(int):
    """A span of time in ticks, whole tenths of a millisecond."""


class Size(int):
    """A number of bytes."""


def parse_duration(text: object) -> Duration:
    """Reads a duration such as "250ms".

    Raises:
        ValueError: The text is no duration; it says what may stand there.
    """
    return Duration(round(_parse(text, DURATION_UNITS, "250ms")))


def parse_size(text: object) -> Size:
    """Reads a size such as "64MiB".

    Raises:
        ValueError: The text is no size; it says what may stand there.
    """
    return Size(round(_parse(text, SIZE_UNITS, "64MiB")))


def _parse(text: object, units: dict[str, float], example: str) -> float:
    match = QUANTITY.fullmatch(text) if isinstance(text, str) else None
    if match is None or match[2] not in units:
        raise ValueError(f'a number with a unit ({", ".join(units)}), such as "{example}"')
    return float(match[1]) * units[match[2]]


def decode_quantity(hint: type, value: Any) -> Any:
    """Decodes the types that TOML has no notation for; msgspec's `dec_hook`.

    Raises:
        NotImplementedError: The type is neither `Duration` nor `Size`.
        ValueError: The value is none of that type.
    """
    if hint is Duration:
        return parse_duration(value)
    if hint is Size:
        return parse_size(value)
    raise NotImplementedError(hint)


def format_quantity(value: object) -> str:
    """Formats a value as it would be written in the file."""
    if isinstance(value, Duration):
        return _format_duration(value)
    if isinstance(value, Size):
        return _format_size(value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(format_quantity(item) for item in value) + "]"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _format_duration(ticks: Duration) -> str:
    """In the largest unit of which it is a whole number, else in milliseconds."""
    for unit in ("h", "min", "s"):
        if ticks and ticks % DURATION_UNITS[unit] == 0:
            return f'"{ticks / DURATION_UNITS[unit]:g}{unit}"'
    return f'"{ticks / DURATION_UNITS["ms"]:g}ms"'


def _format_size(size_bytes: Size) -> str:
    """In the largest binary unit of which it is a whole number, else in bytes."""
    for unit, unit_bytes in (("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10)):
        if size_bytes and size_bytes % unit_bytes == 0:
            return f'"{size_bytes // unit_bytes}{unit}"'
    return f'"{size_bytes}B"'
