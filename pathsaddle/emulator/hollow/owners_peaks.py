"""What owners are through at the peaks: all voters new at once, a release of members a tenth at a time, one slow voter.
The play is `owners.py`'s, with askings and changes all along (hollow, emulated).

Each peak begins at rest: voters are killed at one moment and begin anew from their disks a while later; members are
told to end, a tenth of them at a time, and begin anew; one voter's disk and its ways take longer.
"""

from __future__ import annotations

from functools import partial
from typing import Annotated

import msgspec

from pathsaddle.emulator.hollow.fleet_tally import most
from pathsaddle.emulator.hollow.owners import TENTH, OwnersGround, part, sizes
from pathsaddle.emulator.hollow.owners import Setting as Rest
from pathsaddle.emulator.ownership.hosts import AcceptorHost, MemberHost
from pathsaddle.scheduler_types import SECOND

LOOK = SECOND // 20  # between looks at who owns: by so much a span may be told too long


class Setting(Rest, forbid_unknown_fields=True):
    """Spans in seconds. down: of voters and of members. watched: from a peak's begin. each: between two tenths. slow:
    added to each way from and to the slow voter. sync_slow: that its disk takes.
    """

    down: Annotated[float, msgspec.Meta(gt=0)] = 2.0
    watched: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    each: Annotated[float, msgspec.Meta(gt=0)] = 3.0
    slow: Annotated[float, msgspec.Meta(ge=0)] = 0.5
    sync_slow: Annotated[float, msgspec.Meta(ge=0)] = 0.2


PEAKS = {
    "new": "all voters new at once",
    "release": "members restarted, a tenth at a time",
    "slow": "one voter of five slow",
}
FIGURES: dict[str, tuple[str, str]] = {
    f"{peak}_{figure}": (unit, f"{text}: {what} (hollow, emulated)")
    for peak, text in PEAKS.items()
    for figure, unit, what in (
        ("unowned_s", "s", "the longest time for which a key had no owner"),
        ("lost", "1", "how often a key went from owner to owner, or to none"),
        ("most_in", "bytes", "the most that any voter takes in any second"),
        ("most_out", "bytes", "the most that any voter sends in any second"),
        (
            "commit_p99_s",
            "s",
            "from a change's asking until its owner knows it is taken, all but one in a hundred",
        ),
        ("failed", "part", "of all changes those refused, or whose outcome nobody can say"),
    )
}
COUNTED = frozenset(FIGURES)  # in virtual time: the same on every machine


def needs(point: int, setting: Setting) -> tuple[int, float]:
    members, keys = sizes(point, setting)
    return 1, 60 + members * 0.1 * (1 + keys)


def watched(ground: OwnersGround, span: float) -> dict[str, float]:
    """What is seen from now on."""
    ground.clear()
    ground.commits.clear()
    ground.changed = ground.refused = 0
    owners = {key: ground.owner(key) for key in ground.keys}
    since = dict.fromkeys(ground.keys, ground.now)
    longest, lost, until = 0, 0, ground.now + int(span * SECOND)
    while ground.now < until:
        ground.run(ground.now + LOOK)
        for key in ground.keys:
            before, now = owners[key], ground.owner(key)
            lost += now is not before and before is not None
            if now is not None:
                since[key] = ground.now
            longest = max(longest, ground.now - since[key])
            owners[key] = now
    voters = [ground.tallies[name] for name in ground.acceptors]
    return {
        "unowned_s": longest / SECOND,
        "lost": float(lost),
        "most_in": float(max(most(tally.into) for tally in voters)),
        "most_out": float(max(most(tally.out) for tally in voters)),
        "commit_p99_s": part(ground.commits, 0.99),
        "failed": ground.refused / max(1, ground.changed),
    }


def new(ground: OwnersGround, setting: Setting) -> float:
    for name in ground.acceptors:
        host = ground.hosts[name]
        assert isinstance(host, AcceptorHost)
        host.kill()
        ground.call_at(ground.now + int(setting.down * SECOND), host.start_if_down)
    return setting.watched


def release(ground: OwnersGround, setting: Setting) -> float:
    members = ground.members()
    for turn in range(10):
        for host in members[turn::10]:
            at = ground.now + int(turn * setting.each * SECOND)
            ground.call_at(at, host.terminate)
            ground.call_at(at + int(setting.down * SECOND), partial(again, host))
    return 10 * setting.each + setting.down


def again(host: MemberHost) -> None:
    host.kill()  # if it has not ended by itself
    host.start()


def slow(ground: PeaksGround, setting: Setting) -> float:
    name = ground.acceptors[0]
    host = ground.hosts[name]
    assert isinstance(host, AcceptorHost)
    host.disk.sync_ticks = int(setting.sync_slow * SECOND)
    ground.behind[name] = int(setting.slow * SECOND)
    return setting.watched


class PeaksGround(OwnersGround):
    """behind: ticks longer that each way from and to a host takes."""

    def __init__(self, point: int, seed: int, setting: Rest) -> None:
        self.behind: dict[str, int] = {}
        super().__init__(point, seed, setting)

    def delays(self, sender: str, receiver: str) -> list[int]:
        more = self.behind.get(sender, 0) + self.behind.get(receiver, 0)
        return [delay + more for delay in super().delays(sender, receiver)]


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play: each peak in turn, with a rest before it."""
    found: dict[str, float] = {}
    ground = PeaksGround(point, seed, setting)
    ground.run(int(setting.settle * SECOND))
    ground.again(setting.asks * len(ground.members()), ground.asks)
    ground.again(setting.changes, ground.changes)
    for peak, strikes in (("new", new), ("release", release), ("slow", slow)):
        ground.run(ground.now + int(setting.settle * SECOND) + TENTH)
        span = strikes(ground, setting)
        found |= {f"{peak}_{name}": value for name, value in watched(ground, span).items()}
    return {name: found[name] for name in FIGURES}
