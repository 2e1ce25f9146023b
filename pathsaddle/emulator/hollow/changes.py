"""How a change of configuration comes into force today, and what so many of them a day cost: by file and restart.

Run: a fleet of a few real dispatchers with hollow peers. A file is changed and SIGHUP sent: which kinds of change that
brings into force. Then each dispatcher is restarted, one after the other, with clients at work: how long each takes
and what becomes of the txns meanwhile. Reckoned from that, and called so: a larger fleet, a tenth at a time, at so
many changes a day and at a peak of a hundred in a minute. Emulated (the carrying layer's own cores and purses in
virtual time): how long the whole settings take as a document, against a record that names a change.
"""

from __future__ import annotations

import asyncio
import heapq
import signal
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from pathsaddle.emulator.hollow.serving import Client, Ground, Process
from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.rate_limiter import SECOND, RateLimiter

DAY = 86_400.0
KINDS = ("quota", "scheme", "budget", "limit")
STAYS = "can't change in service"


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """dispatchers: real ones, restarted one after the other. workers, run: theirs, and seconds a job takes there.
    clients, rate: of each dispatcher, kept connections and txns a second. teams: in each charter.
    members: of the fleet that is reckoned. part: of it that is restarted at a time. peak: changes in the worst minute.
    takers, document: of the emulated carrying: members, and bytes of the whole settings. gram_way: seconds of a
    datagram's way. bytes: that a member may send a second.
    """

    dispatchers: int = 5
    workers: int = 8
    run: float = 0.2
    clients: int = 4
    rate: float = 20.0
    teams: int = 50
    members: int = 200
    part: float = 0.1
    peak: int = 100
    takers: int = 20
    document: int = 51_000
    gram_way: float = 0.01
    bytes: int = 24_000


FIGURES: dict[str, tuple[str, str]] = {
    "kinds_by_restart": (
        "kinds",
        (
            "of quota, scheme, budget and limit, how many a reread file leaves as they were at a "
            "real dispatcher, so that only a restart brings them"
        ),
    ),
    "reread_s": ("s", "SIGHUP to all real dispatchers until the last has said that it read its file again"),
    "end_s": ("s", "mean over real dispatchers with clients at work: SIGTERM until the process has ended"),
    "ready_s": ("s", "mean over real dispatchers: start of the new process until it says that it is ready"),
    "restart_s": ("s", "mean over real dispatchers: both together"),
    "restart_most_s": ("s", "the longest of them"),
    "idle_restart_s": ("s", "one real dispatcher without clients: SIGTERM until the new one is ready"),
    "asked": ("txns", "sent by hollow clients while all real dispatchers are restarted, one after the other"),
    "unserved": ("txns", "of these not settled: declined, refused, broken or turned away by all"),
    "declined": ("txns", "of the unserved those answered 429 or 503, whose clients may try again elsewhere"),
    "broken": ("txns", "of the unserved those taken and left without a whole answer"),
    "moved": (
        "txns",
        "of these sent to another dispatcher than the client's own, since that one took no connection",
    ),
    "unserved_a_restart": ("txns", "unserved for each restart of a real dispatcher"),
    "restarts_a_day": (
        "restarts",
        "reckoned: changes a day times the members of the fleet, each change by itself",
    ),
    "in_force_s": (
        "s",
        (
            "reckoned: from the first SIGTERM of a round until all members run the change, a part of them "
            "at a time, each part as long as the longest real restart"
        ),
    ),
    "in_force_worst_s": (
        "s",
        (
            "reckoned: the same for a change that just missed a round, all waiting changes taken by the "
            "next one"
        ),
    ),
    "rounds_under_way": (
        "rounds",
        (
            "reckoned: changes a day times the length of a round over a day; above 1 they can't be "
            "brought in one by one at all"
        ),
    ),
    "out_part": (
        "part",
        "reckoned: of its time that each dispatcher spends on ending and starting, each change by itself",
    ),
    "unserved_part": (
        "part",
        (
            "reckoned: of a day's txns those unserved, each change by itself, at the run's rate for each "
            "dispatcher"
        ),
    ),
    "peak_s": ("s", "reckoned: until the last change of the worst minute is in force, each by itself"),
    "document_s": (
        "s",
        "emulated: until the last taker has the whole settings as a document from one member",
    ),
    "record_s": ("s", "emulated: until the last taker has the record that names it"),
    "document_bytes_s": (
        "bytes/s",
        ("reckoned: what each member would be sent, at the mean, if each change came as the whole settings"),
    ),
    "peak_document_bytes_s": ("bytes/s", "reckoned: the same in the worst minute"),
}
COUNTED = frozenset(
    {
        "kinds_by_restart",
        "restarts_a_day",
        "document_s",
        "record_s",
        "document_bytes_s",
        "peak_document_bytes_s",
    }
)


def needs(point: int, setting: Setting) -> tuple[int, float]:
    """(processes, MiB) of one play; the changes a day are reckoned with and ask for nothing."""
    return 1 + setting.dispatchers, 80.0 + 45.0 * setting.dispatchers


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    """One play for `point` changes a day."""
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(_restarts(Path(folder), seed, setting))
    found |= reckoned(point, setting, found)
    found["document_s"], found["record_s"] = carried(setting, seed)
    return found


def reckoned(point: int, setting: Setting, found: dict[str, float]) -> dict[str, float]:
    """What follows from the restarts that were run, for a larger fleet and so many changes a day."""
    parts = -(-setting.members // max(1, int(setting.members * setting.part)))
    round_s = parts * found["restart_most_s"]
    return {
        "restarts_a_day": float(point * setting.members),
        "in_force_s": round_s,
        "in_force_worst_s": 2 * round_s,
        "rounds_under_way": point * round_s / DAY,
        "out_part": point * found["restart_s"] / DAY,
        "unserved_part": point * found["unserved_a_restart"] / (setting.rate * DAY),
        "peak_s": setting.peak * round_s,
        "document_bytes_s": setting.document * point / DAY,
        "peak_document_bytes_s": setting.document * setting.peak / 60.0,
    }


def charter(setting: Setting, seed: int, number: int, listen: str, discovery: str) -> dict[str, Any]:
    """One dispatcher's file, as a table."""
    return {
        "name": f"d{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "number": number,
        "dispatchers": setting.dispatchers,
        "zones": ["here"],
        "schemes": [{"name": "render", "semantics": "repeatable", "sla": "2s", "expiry": "5s"}],
        "customers": [
            {"name": f"t{i}", "allowance": 1000.0, "portion": 1.0 / setting.teams}
            for i in range(setting.teams)
        ],
    }


def changed(table: dict[str, Any], kind: str) -> dict[str, Any]:
    """The same file with one thing changed."""
    if kind == "quota":
        return {**table, "customers": [{**table["customers"][0], "allowance": 7.0}, *table["customers"][1:]]}
    if kind == "scheme":
        return {**table, "schemes": [{**table["schemes"][0], "sla": "1s"}]}
    if kind == "budget":
        return {
            **table,
            "fleet": {
                "name": "scale",
                "key": "0123456789abcdef",
                "listen": "127.0.0.1:0",
                "address": "127.0.0.1:9",
                "budgets": {"looks": 10},
            },
        }
    return {**table, "limits": {"open": 77}}


async def _restarts(folder: Path, seed: int, setting: Setting) -> dict[str, float]:
    ground = Ground(
        folder,
        setting.dispatchers,
        setting.workers,
        setting.run,
        lambda number, listen, discovery: charter(setting, seed, number, listen, discovery),
    )
    clients: list[asyncio.Task[None]] = []
    chance = Random(seed)
    try:
        await ground.begin()
        for one in ground.dispatchers:
            one.begin()
        for one in ground.dispatchers:
            await one.ready()
        found = {"kinds_by_restart": float(await _kinds(ground)), "reread_s": await _reread(ground)}
        found["idle_restart_s"] = sum(await ground.restart(ground.dispatchers[0]))
        every = setting.clients / setting.rate
        for number in range(setting.clients * setting.dispatchers):
            client_of = chance.randrange(setting.teams)
            clients.append(
                asyncio.get_running_loop().create_task(
                    Client(ground, number, "render", f"t{client_of}", every).run()
                )
            )
        await asyncio.sleep(1.0)
        ground.ends.clear()
        spans = [await ground.restart(one) for one in ground.dispatchers]
        await asyncio.sleep(0.5)
        ends = dict(ground.ends)
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        await ground.end()
    whole = [sum(span) for span in spans]
    unserved = sum(ends.get(how, 0) for how in ("declined", "refused", "broken", "turned_away"))
    return found | {
        "end_s": sum(end for end, _ in spans) / len(spans),
        "ready_s": sum(ready for _, ready in spans) / len(spans),
        "restart_s": sum(whole) / len(whole),
        "restart_most_s": max(whole),
        "asked": float(ends.get("asked", 0)),
        "unserved": float(unserved),
        "declined": float(ends.get("declined", 0)),
        "broken": float(ends.get("broken", 0)),
        "moved": float(ends.get("moved", 0)),
        "unserved_a_restart": unserved / len(spans),
    }


async def _kinds(ground: Ground) -> int:
    """Of each kind of change whether a reread file leaves it as it was; by the dispatcher's own log."""
    one, left = ground.dispatchers[0], 0
    table = msgspec.json.decode(one.file.read_bytes())
    for kind in KINDS:
        since = one.said()
        ground.tell(one, changed(table, kind))
        one.signal(signal.SIGHUP)
        await one.says("configuration read again", since)
        with one.log.open("rb") as log:
            log.seek(since)
            left += STAYS.encode() in log.read()
    ground.tell(one, table)
    return left


async def _reread(ground: Ground) -> float:
    """All are told to read their files again: until the last has."""
    marks: list[tuple[Process, int]] = [(one, one.said()) for one in ground.dispatchers]
    begun = time.perf_counter()
    for one in ground.dispatchers:
        one.signal(signal.SIGHUP)
    return max([await one.says("configuration read again", since) for one, since in marks]) - begun


def carried(setting: Setting, seed: int, most: float = 900.0) -> tuple[float, float]:
    """Emulated seconds until the last member has the document, and the record that names it: the carrying layer's
    own cores and purses, every datagram on its way for as long, none lost. `most`: given up after so long.
    """
    names = [f"d{i:03d}" for i in range(setting.takers)]
    cores = {
        name: Gossip(
            name,
            1,
            "scale",
            b"0123456789abcdef",
            RateLimiter(setting.bytes, 60, 0),
            SECOND,
            Random(f"{seed} {name}"),
            0,
        )
        for name in names
    }
    for name, core in cores.items():
        for other in names:
            if other != name:
                core.on_member_joined(other, 1, other)
    first = cores[names[0]]
    digest = first.keep(Random(seed).randbytes(setting.document))
    first.put("settings", digest, 0)
    way, count, now = int(setting.gram_way * SECOND), 0, 0
    due, knows, has = dict.fromkeys(names, 0), {names[0]: 0}, {names[0]: 0}
    heap: list[tuple[int, int, str, bytes | None]] = []
    for name in names:
        count += 1
        heapq.heappush(heap, (0, count, name, None))
    while heap and len(has) < len(names) and now < most * SECOND:
        now, _, name, data = heapq.heappop(heap)
        core = cores[name]
        if data is not None:
            core.on_datagram(data, now)
        elif due[name] == now:
            core.wake(now)
        else:
            continue  # of a timer that was set anew since
        if name not in knows and any(shown.member == names[0] for shown in core.records("settings", now)):
            knows[name] = now
            core.need(digest, names[0], now)
        if name not in has and digest in core.documents:
            has[name] = now
        for to, gram in core.out:
            count += 1
            heapq.heappush(heap, (now + way, count, to, gram))
        core.out.clear()
        wanted = core.due(now)
        if due[name] <= now or wanted < due[name]:
            due[name] = wanted
            count += 1
            heapq.heappush(heap, (wanted, count, name, None))
    return max(has.values()) / SECOND if len(has) == len(names) else most, max(knows.values()) / SECOND
