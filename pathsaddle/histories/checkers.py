"""All checkers by their names: what a ground, a test or the command line asks."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pathsaddle.histories.federation import Federation
from pathsaddle.histories.logs import Checker, Event, Finding, check, in_order
from pathsaddle.histories.placement import Placement
from pathsaddle.histories.register import Register
from pathsaddle.histories.settings import Settings
from pathsaddle.histories.shares import Counts, Shares
from pathsaddle.histories.shedding import Shedding
from pathsaddle.histories.txns import Txns

CHECKERS: dict[str, Callable[..., Checker]] = {
    "register": Register,
    "shares": Shares,
    "counts": Counts,
    "shedding": Shedding,
    "placement": Placement,
    "federation": Federation,
    "txns": Txns,
    "settings": Settings,
}


def checker(name: str, skew: int = 0, **bounds: Any) -> Checker:
    """A new checker by its name. bounds: those of its __init__. Raises KeyError, TypeError."""
    return CHECKERS[name](skew, **bounds)


def judged(
    events: Iterable[Event],
    skew: int = 0,
    bounds: Mapping[str, Mapping[str, Any]] | None = None,
    only: Iterable[str] = tuple(CHECKERS),
) -> list[Finding]:
    """All that is found in the logs of one run, put in order here. skew: ticks by which any clock may be off
    true time. bounds: of checkers by name, that they can't know (`Shedding`).
    """
    rows = in_order(events)
    told = bounds or {}
    return check(rows, [checker(name, skew, **told.get(name, {})) for name in only])
