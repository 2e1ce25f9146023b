"""The bounds of shared settings, judged from the log alone: the settings' code is asked for nothing but which of two values
of one row allows more (`terms.allows`, proven apart by its own stories).

unborn: a member acts on what was never committed, or by more than its revision allows. back: on an older revision than
before, in one life or from its disk. in-force: after a revision was told in force, leased on an older one, or by what it
forbids and no later one allowed. whole: by a part of a group. bytes: over its rate_limiter in a second. stuck: after the quiet a
member that is there lacks the last revision or its lease, or the last revision isn't in force. verdict: a change is committed
twice, or by another revision than it was told, or though it was told that it isn't, or though it can't be (it removes what isn't
there), or behind another revision than it expected; or it was told committed and isn't.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pathsaddle.event_log import Event
from pathsaddle.settings.active_terms import permits


@dataclass(frozen=True)
class Finding:
    bound: str
    at: int
    text: str


def judge(rows: list[Event], last: bool = True) -> list[Finding]:
    """last: whether the run ended with a quiet long enough for all to be caught up."""
    found: list[Finding] = []
    committed: dict[int, tuple[str, str, int]] = {}  # revision -> digest, whole, when
    values: dict[str, list[tuple[int, int, bytes | None]]] = {}  # key -> (revision, when, value)
    force, force_at = 0, 0
    highest: dict[str, int] = {}
    expects: dict[int, int | None] = {}  # by a change's number
    made: dict[int, tuple[int, str]] = {}
    told: dict[int, str] = {}

    def finds(bound: str, at: int, text: str) -> None:
        found.append(Finding(bound, at, text))

    def value_at(key: str, revision: int) -> bytes | None:
        value = None
        for number, _, one in values.get(key, ()):
            if number <= revision:
                value = one
        return value

    for event in rows:
        more: dict[str, Any] = event.more
        if event.what == "set":
            number, revision = more.get("id", 0), more["revision"]
            if number:
                who = f"change {number}, committed as {revision}"
                if number in made:
                    finds("verdict", event.at, f"{who}: it was already, as {made[number][0]}")
                if number in told:
                    finds("verdict", event.at, f"{who}: it was told {told[number]}")
                if expects.get(number) not in (None, revision - 1):
                    finds("verdict", event.at, f"{who}: it expected {expects[number]}")
                if any(value is None and value_at(key, revision - 1) is None for key, value in more["puts"]):
                    finds("verdict", event.at, f"{who}: it removes what isn't there")
                made[number] = (revision, more["digest"])
            committed[revision] = (more["digest"], more["whole"], event.at)
            for key, value in more["puts"]:
                values.setdefault(key, []).append(
                    (more["revision"], event.at, None if value is None else value.encode())
                )
        elif event.what == "asked":
            expects[more["id"]] = more["expect"]
        elif event.what == "verdict":
            number = more["id"]
            told[number] = more["verdict"]
            if (more["verdict"] == "made") != (number in made) or (
                number in made and made[number] != (more["revision"], more["digest"])
            ):
                finds(
                    "verdict",
                    event.at,
                    f"change {number} is told {more['verdict']} at {more['revision']}, and is {made.get(number)}",
                )
        elif event.what == "disk-lost":
            highest.pop(more["name"], None)
        elif event.what == "force":
            if more["revision"] not in committed:
                finds("unborn", event.at, f"{more['revision']} is told in force and was never committed")
            if more["revision"] > force:
                force, force_at = more["revision"], event.at
        elif event.what == "acts":
            name, revision = more["name"], more["revision"]
            who = f"{name}, life {more['life']}, at {revision}"
            if committed.get(revision, ("",))[0] != more["digest"]:
                finds("unborn", event.at, f"{who}: no such revision was committed")
                continue
            if revision < highest.get(name, 0):
                finds("back", event.at, f"{who}: it was at {highest[name]}")
            highest[name] = max(highest.get(name, 0), revision)
            key = more["key"]
            used = None if more["value"] is None else more["value"].encode()
            if not permits(key, used, value_at(key, revision)):
                finds("unborn", event.at, f"{who}: {key} {used!r} is more than it allows")
            if more["whole"] and more["whole"] != committed[revision][1]:
                finds("whole", event.at, f"{who}: its rows are not those of the revision")
            if revision < force and event.at > force_at:
                if more["leased"]:
                    finds(
                        "in-force",
                        event.at,
                        f"{who}, leased, {event.at - force_at} ticks after {force} was told in force",
                    )
                later = [
                    one for number, when, one in values.get(key, ()) if number > force and when <= event.at
                ]
                if not any(permits(key, used, one) for one in (value_at(key, force), *later)):
                    finds("in-force", event.at, f"{who}: {key} {used!r}, which {force}, in force, forbids")
        elif event.what == "purse":
            if more["worst"] > more["most"]:
                finds(
                    "bytes",
                    event.at,
                    f"{more['name']} sent {more['worst']} bytes in a second, {more['most']} may be",
                )
        elif event.what == "ends" and last:
            if more["revision"] != max(committed) or not more["leased"]:
                finds(
                    "stuck",
                    event.at,
                    f"{more['name']} is at {more['revision']} of {max(committed)}, leased: {more['leased']}",
                )
        elif event.what == "over" and last and more["force"] != max(committed):
            finds("stuck", event.at, f"{max(committed)} is committed, {more['force']} in force")
    return found
