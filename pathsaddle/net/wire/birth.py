"""What a dispatcher on sockets is told at its start, read once and turned into what the program uses."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import Row, Words
from pathsaddle.net.wire.terms import Reach, peer_of
from pathsaddle.trade import SECOND, Terms

WHERE = "GW_CONFIG"  # the variable that says where the rest stands


@dataclass(slots=True)
class Birth:
    listen: str
    discovery: str
    seed: int
    sockets: int
    memory_mb: float
    terms: Terms
    words: Words
    reach: Reach
    index: int  # the version of the list as last had, maybe old, and its rows
    rows: list[Row]


def moved_to(text: str) -> str:
    """Where discovery is by the file as it stands now; raises ValueError where it does not say.

    Everything else in it holds from the start to the end: open txns stand on it.
    """
    told = json.loads(text)
    where = told.get("discovery") if isinstance(told, dict) else None
    if not isinstance(where, str):
        raise ValueError("it names no discovery")  # noqa: TRY004  # the file's fault, not a caller's
    peer_of(where)
    return where


def birth(text: str) -> Birth:
    return born(json.loads(text))


def born(told: dict[str, Any]) -> Birth:
    """From what is told, in the platform's form, whichever file said it."""
    given, limits = told.get("settings") or {}, told.get("limits") or {}
    known = terms.terms(given)
    # A list that comes unasked on the bench's wire comes over a watch here, and that has to be asked for.
    known.must_ask = True
    known.ask_within = known.ask_within or 10 * SECOND
    words = Words(given, known)
    index, _, rows = words.list(told.get("known") or {"index": 0})
    return Birth(str(told["listen"]), str(told["discovery"]), int(str(told.get("seed") or "0"), 16),
                 int(limits.get("sockets") or 1024), float(limits.get("memory_mb") or "inf"),
                 known, words, terms.reach(given), index, rows)
