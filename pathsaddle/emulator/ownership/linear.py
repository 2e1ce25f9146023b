"""Checks linearizability: whether a register's calls can be put in one order that agrees with real time.

It reads the log alone (`reg.call`, `reg.end`). The register, as its users know it: (fencing token, holder,
revision, value). `take` raises the token by one and makes the caller its holder; `set`, under the token and
the revision that it names, changes the value; `renew` and `read` change nothing. A call without an end, or
with the outcome `unknown`, may take place at any later moment or never; one that was `refused` never did. The
search remembers what was tried, and tries calls with a known outcome before others (Wing and Gong's
algorithm, with Lowe's memory of states).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

from pathsaddle.event_log import Event

ALWAYS = 1 << 62  # the end of a call that has none
MAX_ATTEMPTS = 2_000_000  # steps of a search, then it is undecided
# Only so many of the next calls with a known outcome are looked at: histories are nearly sequential.
CANDIDATE_WINDOW = 200
PRUNING_WINDOW = 50


class RegisterState(NamedTuple):
    """What the register holds, as its users know it."""

    fencing_token: int
    holder: str
    revision: int
    value: str | None


@dataclass(slots=True)
class Call:
    """One call.

    Attributes:
        who: The caller.
        kind: `take`, `set`, `renew` or `read`.
        start: When it began.
        end: When it ended.
        is_certain: Whether its outcome is known.
        arguments: The members of its `reg.call`.
        result: The members of its `reg.end`.
    """

    who: str
    kind: str
    start: int
    end: int
    is_certain: bool
    arguments: dict[str, Any]
    result: dict[str, Any]

    def state_after(self, before: RegisterState) -> RegisterState | None:
        """Return the register's state after it; None: it cannot have taken place in the state before."""
        after = self._effect(before)
        if after is None or not self.is_certain:
            return after
        result = self.result
        reported = RegisterState(result["number"], result["owner"], result["revision"], result["value"])
        return after if after == reported else None

    def _effect(self, before: RegisterState) -> RegisterState | None:
        arguments = self.arguments
        if self.kind == "take":
            return RegisterState(before.fencing_token + 1, self.who, before.revision, before.value)
        if self.kind == "read":
            return before
        if arguments["number"] != before.fencing_token:
            return None
        if self.kind != "set":
            return before
        revision, value = arguments["revision"], arguments["value"]
        after = RegisterState(before.fencing_token, before.holder, revision + 1, value)
        # Where the revision is another one, the call may find its own earlier attempt.
        return after if revision == before.revision or after == before else None


def register_calls(events: Iterable[Event]) -> dict[str, list[Call]]:
    """Return the calls by key, as they began, without those that certainly had no effect."""
    by_key: dict[str, list[Call]] = {}
    open_calls: dict[str, Call] = {}
    without_effect: set[int] = set()
    for event in events:
        members = event.more
        if event.what == "reg.call":
            call = Call(members["who"], members["kind"], event.at, ALWAYS, False, members, {})
            open_calls[members["op"]] = call
            by_key.setdefault(members["key"], []).append(call)
        elif event.what == "reg.end" and members["op"] in open_calls:
            call = open_calls.pop(members["op"])
            if members["outcome"] == "ok":
                call.end, call.is_certain, call.result = event.at, True, members
            elif members["outcome"] == "refused" or call.kind in ("read", "renew"):
                without_effect.add(id(call))
    return {key: [call for call in rows if id(call) not in without_effect] for key, rows in by_key.items()}


class Position(NamedTuple):
    """A point to come back to: what has taken place (by bit), the state, what is left to try."""

    done: int
    state: RegisterState
    candidates: list[int]


class Search:
    """The search for an order of one key's calls."""

    def __init__(self, rows: list[Call]) -> None:
        self.rows = sorted(rows, key=lambda call: (call.start, call.end))
        self.certain = [index for index, call in enumerate(self.rows) if call.is_certain]
        # Tokens and revisions never go back: a state above what a later call was told leads nowhere.
        # A `set` may find its own earlier attempt, so that its revision stands there before it.
        self.needs = [
            (
                self.rows[index].result["number"] - (self.rows[index].kind == "take"),
                self.rows[index].result["revision"],
            )
            for index in self.certain
        ]

    def first_open(self, done: int, lowest: int) -> int:
        """Return the position, from `lowest` on, of the first certain call that has not taken place."""
        while lowest < len(self.certain) and done >> self.certain[lowest] & 1:
            lowest += 1
        return lowest

    def candidates(self, done: int, lowest: int) -> list[int]:
        """Return the calls that may take place next; the last is to be tried first."""
        rows = self.rows
        window = [
            index for index in self.certain[lowest : lowest + CANDIDATE_WINDOW] if not done >> index & 1
        ]
        first_end = min((rows[index].end for index in window), default=ALWAYS)
        uncertain = [
            index
            for index, call in enumerate(rows)
            if not done >> index & 1 and call.start <= first_end and not call.is_certain
        ]
        certain = [index for index in window if rows[index].start <= first_end]
        return uncertain[::-1] + certain[::-1]

    def leads_nowhere(self, after: RegisterState, lowest: int, done: int) -> bool:
        """Whether a call that is still to come was told less than this state has."""
        return any(
            self.needs[position][0] < after.fencing_token or self.needs[position][1] < after.revision
            for position in range(lowest, min(lowest + PRUNING_WINDOW, len(self.certain)))
            if not done >> self.certain[position] & 1
        )

    def run(self, max_attempts: int) -> str:
        """Return why there is no order; empty: there is one."""
        state, done, lowest = RegisterState(0, "", 0, None), 0, 0
        seen: set[tuple[int, RegisterState]] = set()
        path: list[Position] = []
        attempts = deepest = 0
        lowest = self.first_open(done, lowest)
        candidates = self.candidates(done, lowest)
        while lowest < len(self.certain):
            if not candidates:
                if not path:
                    return self._explain(deepest)
                done, state, candidates = path.pop()
                lowest = 0
                continue
            index = candidates.pop()
            after = self.rows[index].state_after(state)
            attempts += 1
            if attempts > max_attempts:
                return "undecided"
            reached = done | 1 << index
            if after is None or (reached, after) in seen or self.leads_nowhere(after, lowest, reached):
                continue
            seen.add((reached, after))
            path.append(Position(done, state, candidates))
            done, state = reached, after
            deepest = max(deepest, lowest)
            while lowest and not done >> self.certain[lowest - 1] & 1:
                lowest -= 1
            lowest = self.first_open(done, lowest)
            candidates = self.candidates(done, lowest)
        return ""

    def _explain(self, deepest: int) -> str:
        stuck = self.rows[self.certain[min(deepest, len(self.certain) - 1)]]
        return f"no order up to {stuck.kind} of {stuck.who} at {stuck.start}: {stuck.result}"


def check(events: Iterable[Event]) -> dict[str, str]:
    """Return, by key, why its calls have no order; empty: all have one."""
    found = {key: Search(rows).run(MAX_ATTEMPTS) for key, rows in register_calls(events).items()}
    return {key: reason for key, reason in found.items() if reason}
