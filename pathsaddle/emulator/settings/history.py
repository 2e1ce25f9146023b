"""A run's log as a history of the form in docs/histories.md, for the checker that knows nothing of the settings' code.

What was committed stands in it only as keepers saw it: a call once a majority of keepers has the group (its answer is never
heard here, so it stays unknown), a reading once the register told it. The ground's own word (`set`) is written of the
founding alone. Of members it says what they acted on: what one is only told on its way back from a lost disk (`applied`,
before it has a lease) it goes by for nothing, and may lose again.
"""

from __future__ import annotations

from typing import Any

import msgspec

from pathsaddle.emulator.settings.world import World
from pathsaddle.event_log import Event


def _value(text: str | None) -> Any:
    return None if text is None else msgspec.json.decode(text)


def history(world: World) -> list[Event]:
    """In the order of `at`, true time. A run that is over."""
    rows: list[Event] = []
    calls = 0
    begun: dict[str, None] = {}  # digests

    def says(at: int, what: str, who: str, **more: Any) -> None:
        rows.append(Event(at, what, {"who": who, **more}))

    def begins(at: int, who: str, digest: str) -> str:
        nonlocal calls
        calls += 1
        begun[digest] = None
        group, op = world.groups[digest], f"{who}/{calls}"
        puts = {
            put.key: None if put.value is None else msgspec.json.decode(put.value) for put in group.changes
        }
        says(
            at,
            "settings.call",
            who,
            op=op,
            revision=group.revision,
            digest=digest,
            before=group.previous_digest,
            puts=puts,
        )
        return op

    for event in world.events.rows:
        more, at = event.more, event.at
        who = more.get("name", "")
        told = {"revision": more.get("revision"), "digest": more.get("digest")}
        if event.what == "set" and world.groups[more["digest"]].author == "founder":
            op = begins(at, "founder", more["digest"])
            says(at, "settings.end", "founder", op=op, outcome="ok")
        elif event.what == "kept":
            # With all that came with it, none of which was begun before.
            before = [more["digest"]]
            while (other := world.groups[before[-1]].previous_digest) not in begun:
                before.append(other)
            for digest in reversed(before):
                begins(at, who, digest)
        elif event.what == "committed":
            says(at, "settings.read", who, **told)
        elif event.what == "force":
            says(at, "settings.force", who, **told)
        elif event.what == "acts":
            says(
                at,
                "settings.act",
                who,
                key=more["key"],
                value=_value(more["value"]),
                leased=more["leased"],
                **told,
            )
            if more["whole"]:  # nothing offered in hand
                says(
                    at,
                    "settings.rows",
                    who,
                    rows={key: _value(value) for key, value in more["seen"].items()},
                    **told,
                )
        elif event.what == "begins":
            says(at, "member.began", who, life=more["life"])
        elif event.what == "dies":
            says(at, "member.ended", who, why="killed")
        elif event.what == "disk-lost":
            says(at, "disk.lost", who)
    return rows
