"""What a dispatcher on sockets is told at its start, read once and turned into what the program uses."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from pathsaddle.errors import Error, why
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import Row, Words
from pathsaddle.net.wire.terms import Amiss, Reach, Told, peer_of
from pathsaddle.scheduler_types import SECOND, SchedulerConfig

WHERE = "GW_CONFIG"  # the variable that says where the rest stands
USUAL_SOCKETS = 1024  # where no limit is told: what a process gets by itself on most machines
LEAST_SOCKETS, LEAST_MB = 64, 21.0  # a charter's bound, and what the program itself takes, measured


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
    what = "what GW_CONFIG names can't be used: {key}: {why}"
    do = "mend {key} in the file that $GW_CONFIG names, by docs/settings.md"


@dataclass(slots=True)
class Birth:
    listen: str
    discovery: str
    seed: int
    sockets: int
    memory_mb: float
    terms: SchedulerConfig
    words: Words
    reach: Reach
    index: int  # the version of the list as last had, maybe old, and its rows
    rows: list[Row]


def moved_to(text: str) -> str:
    """Where discovery is by the file as it stands now; raises NoForm, Lacks, Unfit where it does not say.

    Everything else in it holds from the start to the end: open txns stand on it.
    """
    return _discovery(_table(text))


def _discovery(told: dict[str, Any]) -> str:
    where = told.get("discovery")
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
    if not isinstance(told.get("listen"), str):
        raise Lacks(key="listen")
    _discovery(told)
    try:
        return born(told)
    except Amiss as fault:
        raise Unfit(key=fault.key, why=fault.why) from None


def born(told: dict[str, Any]) -> Birth:
    """From what is told, in the platform's form, whichever file said it; raises Amiss."""
    given = {} if told.get("settings") is None else told["settings"]
    seed, limits = _seed(told), Told(told.get("limits"), "limits")
    sockets, memory_mb = limits.whole("sockets") or USUAL_SOCKETS, limits.number("memory_mb") or float("inf")
    if sockets < LEAST_SOCKETS:
        raise limits.amiss("sockets", f"a number of {LEAST_SOCKETS} at least, or none,")
    if memory_mb < LEAST_MB:
        raise limits.amiss("memory_mb", f"a number of {LEAST_MB:g} at least, or none,")
    known = terms.terms(given)
    if given and not known.schemes:
        raise Told(given, "settings").amiss("Schemes", "one scheme at least")
    # A list that comes unasked on the bench's wire comes over a watch here, and that has to be asked for.
    known.list_needs_subscription, known.has_watch_heartbeats, known.is_list_pushed = (
        True,
        True,
        given.get("Discovery") == "automatic",
    )
    known.list_poll_interval = known.list_poll_interval or 10 * SECOND
    words = Words(given, known)
    index, rows = _known(words, Told(told.get("known"), "known"))
    return Birth(
        told["listen"],
        told["discovery"],
        seed,
        sockets,
        memory_mb,
        known,
        words,
        terms.reach(given),
        index,
        rows,
    )


def _seed(told: dict[str, Any]) -> int:
    seed = told.get("seed")
    if seed is None or seed == "":
        return 0
    try:
        if type(seed) not in (str, int):
            raise ValueError
        return int(str(seed), 16)
    except ValueError:
        raise Told(told, "").amiss("seed", "a hexadecimal number") from None


def _known(words: Words, told: Told) -> tuple[int, list[Row]]:
    """The list as last had. Which of its hundreds of rows can't be read is looked for only once one can't."""
    index, rows = told.whole("index"), told.entries("endpoints")
    try:
        return index, words.list({"index": index, "endpoints": rows})[2]
    except (LookupError, TypeError, ValueError, AttributeError, OverflowError):
        for i, row in enumerate(rows):
            try:
                words.list({"index": index, "endpoints": [row]})
            except (LookupError, TypeError, ValueError, AttributeError, OverflowError):
                may = "a worker with its name, and with numbers for group, weight and since_ms,"
                raise told.amiss("endpoints", may, i) from None
        raise
