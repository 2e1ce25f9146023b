"""What a dispatcher on sockets is told at its start, read once and turned into what the program uses."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from pathsaddle.errors import Error, why
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import Row, Words
from pathsaddle.net.wire.terms import Reach, peer_of
from pathsaddle.trade import SECOND, Terms

WHERE = "GW_CONFIG"  # the variable that says where the rest stands


class Unreadable(Error):
    name = "start.unreadable"
    what = "what GW_CONFIG names, {file!r}, can't be read: {why}"
    do = "let GW_CONFIG name a file of JSON that is there and that the user who runs this may read"


class NoForm(Error):
    name = "start.no-form"
    what = "what GW_CONFIG names is no JSON object: {why}"
    do = "let $GW_CONFIG name a file of the form that README.md shows (a charter goes with `pathsaddle serve CHARTER`)"


class Lacks(Error):
    name = "start.lacks"
    what = "what GW_CONFIG names says nothing of {key}"
    do = "write {key} in the file that $GW_CONFIG names, as README.md says"


class Unfit(Error):
    name = "start.unfit"
    what = "what GW_CONFIG names can't be used: {why}"
    do = "mend {key} in the file that $GW_CONFIG names, by README.md"


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
    """Where discovery is by the file as it stands now; raises NoForm, Lacks, Unfit where it does not say.

    Everything else in it holds from the start to the end: open txns stand on it.
    """
    where = _table(text).get("discovery")
    if not isinstance(where, str):
        raise Lacks(key="discovery")
    try:
        peer_of(where)
    except ValueError as fault:
        raise Unfit(key="discovery", why=why(fault)) from None
    return where


def _table(text: str) -> dict[str, Any]:
    try:
        told = json.loads(text)
    except (ValueError, RecursionError) as fault:
        raise NoForm(why=why(fault)) from None
    if not isinstance(told, dict):
        raise NoForm(why=f"a {type(told).__name__} stands there")
    return told


def birth(text: str) -> Birth:
    """Raises NoForm, Lacks, Unfit."""
    told = _table(text)
    for key in ("listen", "discovery"):
        if key not in told:
            raise Lacks(key=key)
    try:
        return born(told)
    except (LookupError, TypeError, ValueError, AttributeError) as fault:
        # Which of its many figures it was, only the fault itself says.
        raise Unfit(key="that", why=f"{type(fault).__name__} {fault}") from None


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
