"""A history as lanes: time goes down, each member has a column, what contradicts each other is marked."""

from __future__ import annotations

from collections.abc import Sequence
from textwrap import wrap

from pathsaddle.histories.logs import MOMENTS, Event, Finding
from pathsaddle.histories.small import members

WIDE = 110
NARROWEST = 16
QUIET = ("who",)
MARK = "►"


def _word(event: Event) -> str:
    parts = []
    for name, value in event.more.items():
        if name in QUIET or value is None:
            continue
        if name in MOMENTS and isinstance(value, int):
            value = f"{value / 10:g}ms"
        parts.append(f"{name} {value}")
    return f"{event.what} " + ", ".join(parts)


def lanes(events: Sequence[Event], finding: Finding | None = None, width: int = WIDE) -> str:
    """Text, a line for each part of an event; at most `width` wide while there are few members."""
    names = members(events)
    if not names:
        return "nothing happened"
    column = max(NARROWEST, (width - 10) // len(names) - 2)
    accused = [] if finding is None else [(event.at, event.what, event.more) for event in finding.events]
    lines = [] if finding is None else [str(finding), ""]
    lines.append("        ms  " + "  ".join(name[:column].ljust(column) for name in names).rstrip())
    lines.append("            " + "  ".join("-" * column for _ in names))
    for event in events:
        place = names.index(str(event.more.get("who")))
        mark = MARK if (event.at, event.what, event.more) in accused else " "
        for number, part in enumerate(wrap(_word(event), column - 2) or [""]):
            cells = ["·".ljust(column)] * len(names)
            cells[place] = ((mark if not number else " ") + " " + part).ljust(column)
            moment = f"{event.at / 10:10.1f}" if not number else " " * 10
            lines.append(f"{moment}  " + "  ".join(cells).rstrip())
    return "\n".join(lines)
