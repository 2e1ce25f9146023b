"""Histories that found something, kept as files: a first line that says what is expected,
then an event a line.

The first line is an event too: `history`, with checker, expects (a finding's name, or "" where nothing may be
found), skew, bounds, about, commit (the title of the change that mended its cause; "" while it is not).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pathsaddle.errors import why
from pathsaddle.histories.checkers import CHECKERS, checker
from pathsaddle.histories.faults import Headless
from pathsaddle.histories.logs import BROKEN, Event, Finding, check, read, write


@dataclass
class Kept:
    checker: str
    expects: str
    events: Sequence[Event]
    skew: int = 0
    bounds: dict[str, Any] = field(default_factory=dict)
    about: str = ""
    commit: str = ""

    def findings(self) -> list[Finding]:
        return check(list(self.events), [checker(self.checker, self.skew, **self.bounds)])

    def holds(self) -> bool:
        """What is expected is found, or nothing where nothing is."""
        names = [finding.name for finding in self.findings()]
        return self.expects in names if self.expects else not names

    def write(self, path: Path) -> None:
        head = Event(
            0,
            "history",
            {
                "who": "history",
                "checker": self.checker,
                "expects": self.expects,
                "skew": self.skew,
                "bounds": self.bounds,
                "about": self.about,
                "commit": self.commit,
            },
        )
        write(path, [head, *self.events])


def read_kept(path: Path) -> Kept:
    """Raises Headless where the file is none, or what `read` raises."""
    events = read(path)
    try:
        head = events[0]
        if head.what != "history" or head.more["checker"] not in CHECKERS:
            raise ValueError(f"{head.what!r} stands there, of checker {head.more.get('checker', '')!r}")
        more = head.more
        return Kept(
            more["checker"],
            more["expects"],
            events[1:],
            more["skew"],
            more["bounds"],
            more["about"],
            more["commit"],
        )
    except (*BROKEN, IndexError) as fault:
        said = (
            "it holds no event"
            if isinstance(fault, IndexError)
            else (f"it lacks {fault}" if isinstance(fault, KeyError) else why(fault))
        )
        raise Headless(file=path, why=said) from fault
