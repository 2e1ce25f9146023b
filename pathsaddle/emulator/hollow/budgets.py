"""What becomes of the 17th budget, and of the 256th: units lent where they are wanted, by how many budgets there are.

Emulated, in virtual time: the shared state's own cores (records carried, shares on lease) and purses, a few members,
datagrams on their way for as long and none lost. The charter's checker takes 16 budgets; here the cores are built with
more, to see what the cap keeps from happening.
"""

from __future__ import annotations

import heapq
import statistics
import time
from random import Random
from typing import Annotated

import msgspec
from msgspec import Meta

from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.quota.shared_state import SPARE_TOPIC, SharedState
from pathsaddle.fleet.rate_limiter import SECOND, RateLimiter

TOLD = 16  # budgets of which a member tells what it would lend


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """members: of the fleet. idle: of these, the last ones, who want nothing; all others but the one that wants more use
    their own part. part: units a second of each budget that each has. seconds: for how long some are wanted. way: seconds
    of a datagram. bytes: that a member may send a second. lease: seconds. step: seconds between uses.
    """

    members: int = 12
    idle: Annotated[int, Meta(ge=1)] = 1
    part: int = 20
    seconds: float = 8.0
    way: float = 0.005
    bytes: int = 24_000
    lease: float = 10.0
    step: float = 0.05


FIGURES: dict[str, tuple[str, str]] = {
    "met": (
        "part",
        (
            "emulated: of the units wanted beyond the own part, one member wanting of each budget and as many lending as "
            "are idle, how many of those that may be lent it had at the end"
        ),
    ),
    "met_told": ("part", "emulated: the same for the first 16 budgets, whose spare units are told to all"),
    "met_last": ("part", "emulated: the same for the last 8 budgets"),
    "first_s": (
        "s",
        (
            "emulated: from the first want until a unit of another's is usable, the middle budget; the length of "
            "the run where none ever is"
        ),
    ),
    "bytes_s": ("bytes/s", "emulated: that a member sent on the mean for records and shares"),
    "spare_bytes": (
        "bytes",
        "emulated: the longest record by which a member tells what it would lend, 400 at most",
    ),
    "cpu_us_s": (
        "us/s",
        "emulated: processor time of a member's cores for each second, without what uses themselves take",
    ),
    "take_us": ("us", "emulated: processor time of one use, asked for just before it"),
}
COUNTED = frozenset(FIGURES) - {"cpu_us_s", "take_us"}


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB) of one play with `point` budgets."""
    return 1, 70.0 + point * setting.members * 0.02


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play with `point` budgets; the n-th is wanted by member n modulo the number of those that aren't idle, at twice its part."""
    names = [f"d{i}" for i in range(setting.members)]
    budgets = [f"b{i:04d}" for i in range(point)]
    rate, lease = setting.part * setting.members, int(setting.lease * SECOND)
    cores = {
        name: SharedState(
            name,
            1,
            "scale",
            b"0123456789abcdef",
            RateLimiter(setting.bytes, 60, 0),
            SECOND,
            {budget: QuotaConfig(rate, setting.part, lease) for budget in budgets},
            Random(f"{seed} {name}"),
            0,
        )
        for name in names
    }
    for name, core in cores.items():
        for other in names:
            if other != name:
                core.on_member_joined(other, 1, other)
    rest = int(1.02 * (lease + 1.02 * SECOND)) + 2 * SECOND  # a new life lends nothing before that
    end, step, way = (
        rest + int(setting.seconds * SECOND),
        int(setting.step * SECOND),
        int(setting.way * SECOND),
    )
    busy = names[: len(names) - setting.idle]
    uses = [(budget, busy[i % len(busy)]) for i, budget in enumerate(budgets)]  # who wants twice its part
    wanted, many = (
        min(setting.part, setting.idle * ((setting.part + 1) // 2)),
        max(1, round(setting.part * setting.step)),
    )
    due, now, count, sent, spare_bytes, spent = dict.fromkeys(names, 0), 0, 0, 0, 0, 0.0
    first: dict[str, int] = {}
    heap: list[tuple[int, int, str, bytes]] = []
    uses_due, turns, taking = rest, 0, 0.0
    while True:
        name = min(names, key=due.__getitem__)
        now = min(due[name], uses_due, heap[0][0] if heap else end)
        if now >= end:
            break
        before = time.process_time()
        if heap and heap[0][0] == now:
            name, gram = heapq.heappop(heap)[2:]
            cores[name].on_datagram(gram, now)
            fed = [name]
        elif due[name] == now:
            cores[name].wake(now)
            fed = [name]
        else:
            uses_due += step
            turns += 1
            for budget, who in uses:
                for name in busy:
                    if name == who or turns % 20:  # the others use just what they have in a window
                        cores[name].limiter.try_acquire(budget, many, now)
                cores[who].limiter.try_acquire(budget, many, now)
                limiter = cores[who].limiter
                if budget not in first and limiter.budgets[budget].state.usable(now) > setting.part:
                    first[budget] = now - rest
            taking += time.process_time() - before
            before = time.process_time()
            for core in cores.values():
                core.say(now)
            fed = names
        for name in fed:
            core = cores[name]
            for to, gram in core.out:
                count += 1
                sent += len(gram) if now >= rest else 0
                heapq.heappush(heap, (now + way, count, to, gram))
            core.out.clear()
            due[name] = core.due(now)
            if (record := core.carry.mine.records.get(SPARE_TOPIC)) is not None:
                spare_bytes = max(spare_bytes, len(record.body))
        if now >= rest:
            spent += time.process_time() - before
    had = [
        min(1.0, max(0, cores[who].limiter.budgets[budget].state.usable(end) - setting.part) / wanted)
        for budget, who in uses
    ]
    shares = setting.seconds * setting.members
    return {
        "met": statistics.fmean(had),
        "met_told": statistics.fmean(had[:TOLD]),
        "met_last": statistics.fmean(had[-8:]),
        "first_s": statistics.median(first.get(budget, end - rest) for budget in budgets) / SECOND,
        "bytes_s": sent / shares,
        "spare_bytes": float(spare_bytes),
        "cpu_us_s": 1e6 * spent / shares,
        "take_us": 1e6
        * taking
        / sum(
            budget.acquired_units + budget.refused_units
            for core in cores.values()
            for budget in core.limiter.budgets.values()
        )
        * many,
    }
