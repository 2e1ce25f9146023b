"""Whether a register's calls can be put in one order that agrees with real time,
as if each took place in one moment.

Reads the log alone (`reg.call`, `reg.end`). The register, as its users know it: (number, owner, revision,
value); `take` makes the number greater by one and the caller its owner; `set`, under the number and revision
that it names, changes the value; `renew` and `read` change nothing. A call without an end, or ended
`unknown`, may take place at any later moment or never; one `refused` never did. Search with memory of what
was tried, sure calls before unknown ones.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from pathsaddle.emulator.events import Event

State = tuple[int, str, int, str | None]
ALWAYS = 1 << 62


@dataclass(slots=True)
class Call:
    who: str
    kind: str
    call: int
    end: int
    sure: bool
    told: dict[str, Any]
    ended: dict[str, Any]

    def after(self, state: State) -> State | None:
        """None: it can't have taken place in this state."""
        number, owner, revision, value = state
        if self.kind == "take":
            made: State = (number + 1, self.who, revision, value)
        elif self.kind == "set":
            if self.told["number"] != number or (
                self.told["revision"] != revision and self.told["value"] != value
            ):
                return None
            again = self.told["revision"] != revision  # it finds its own earlier try
            made = (number, owner, self.told["revision"] + 1, self.told["value"])
            if again and made != state:
                return None
        else:
            if self.kind == "renew" and self.told["number"] != number:
                return None
            made = state
        if self.sure and made != (
            self.ended["number"],
            self.ended["owner"],
            self.ended["revision"],
            self.ended["value"],
        ):
            return None
        return made


def calls(events: Iterable[Event]) -> dict[str, list[Call]]:
    """By key, in the order in which they began."""
    found: dict[str, list[Call]] = {}
    open_: dict[str, Call] = {}
    refused: dict[int, None] = {}
    for event in events:
        more = event.more
        if event.what == "reg.call":
            call = open_[more["op"]] = Call(more["who"], more["kind"], event.at, ALWAYS, False, more, {})
            found.setdefault(more["key"], []).append(call)
        elif event.what == "reg.end" and more["op"] in open_:
            call = open_.pop(more["op"])
            if more["outcome"] == "ok":
                call.end, call.sure, call.ended = event.at, True, more
            elif more["outcome"] == "refused" or call.kind in ("read", "renew"):
                refused[id(call)] = None
    return {key: [call for call in rows if id(call) not in refused] for key, rows in found.items()}


def unlinear(rows: list[Call], most: int = 2_000_000) -> str:
    """Why one key's calls have no such order; empty: they have one."""
    rows = sorted(rows, key=lambda call: (call.call, call.end))
    sure = [i for i, call in enumerate(rows) if call.sure]
    state: State = (0, "", 0, None)
    done = 0  # by bit
    seen: set[tuple[int, State]] = set()
    path: list[tuple[int, State, list[int]]] = []

    def next_of(done: int, low: int) -> tuple[list[int], int]:
        while low < len(sure) and done >> sure[low] & 1:
            low += 1
        first = min((rows[i].end for i in sure[low : low + 200] if not done >> i & 1), default=ALWAYS)
        maybe = [
            i for i in range(len(rows)) if not done >> i & 1 and rows[i].call <= first and not rows[i].sure
        ]
        certain = [i for i in sure[low : low + 200] if not done >> i & 1 and rows[i].call <= first]
        return maybe[::-1] + certain[::-1], low  # the last is tried first

    # Numbers and revisions never go back: a state above what a call that is still to come was told leads
    # nowhere. A `set` may find its own earlier try, so that its revision stands there before it.
    needs = [(rows[i].ended["number"] - (rows[i].kind == "take"), rows[i].ended["revision"]) for i in sure]

    def leads_nowhere(after: State, low: int, done: int) -> bool:
        return any(
            needs[j][0] < after[0] or needs[j][1] < after[2]
            for j in range(low, min(low + 50, len(sure)))
            if not done >> sure[j] & 1
        )

    low, tried, deepest = 0, 0, 0
    choices, low = next_of(done, low)
    while True:
        if low >= len(sure):
            return ""
        while choices:
            i = choices.pop()
            after = rows[i].after(state)
            tried += 1
            if tried > most:
                return "undecided"
            if after is None or (done | 1 << i, after) in seen or leads_nowhere(after, low, done | 1 << i):
                continue
            seen.add((done | 1 << i, after))
            path.append((done, state, choices))
            done, state = done | 1 << i, after
            deepest = max(deepest, low)
            lower = low
            while lower and not done >> sure[lower - 1] & 1:
                lower -= 1
            choices, low = next_of(done, lower)
            break
        else:
            if not path:
                stuck = rows[sure[min(deepest, len(sure) - 1)]]
                return f"no order up to {stuck.kind} of {stuck.who} at {stuck.call}: {stuck.ended}"
            done, state, choices = path.pop()
            low = 0


def check(events: Iterable[Event]) -> dict[str, str]:
    """By key, why it has none; empty: all have."""
    found = {key: unlinear(rows) for key, rows in calls(events).items()}
    return {key: why for key, why in found.items() if why}
