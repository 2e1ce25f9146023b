"""Writes tests/data/membership.json from the text of commit f469a1f, before any renaming.

Run from a clone of that commit with its own interpreter: `python write_membership.py OUTPUT`. The names that it
imports are that commit's; `tests/test_golden_membership.py` uses only `play` and `FIELDS`, which need none of them.

The file holds a datagram of every kind of message (all fields set, and all defaults), the incarnation file, a
control answer to `members`, and, for a few seeds, what a fleet on a lossy stand-in network sent: the number of
datagrams, their digest in order, the digest of all changes and the counters.
"""

import hashlib
import json
import sys
import tempfile
from pathlib import Path
from random import Random
from types import SimpleNamespace

SECOND = 10_000
KEY = b"a key of sixteen bytes or more"
MEMBERS = 36
SEEDS = (1, 2, 3)
ROW = ["north-1", (5 << 40) + 3, 7, 1, "10.1.4.7:7100", "east", 2, "north-2"]
PLAIN_ROW = ["b", 1, 0, 0, "h:1", "z", 1, ""]
FIELDS = {
    "full": [1 << 33, "north-9", (1 << 53) - 1, "north-3", "a", "m", [["north-4", 1 << 41, 12]]],
    "default": [1, "", 0, "", "", "", []],
}
KINDS = ("PING", "ACK", "ASK", "RELAYED", "MISSED", "PAGE", "PAGED")


def play(make, hear, seed, seconds=70):
    """A fleet of `MEMBERS` on a lossy network in virtual time; what it sent, as figures and digests.

    make(name, incarnation, address, seeds, rng, now, lifeguard) makes a core; hear(core, data, now) gives it a datagram;
    both differ between the old text and the new. Losses, copies, delays, a partition, a stall, kills, restarts
    under a lower and a higher incarnation, two processes of one name, leaves and noise are all part of it.
    """
    rng = Random(f"net/{seed}")
    names = [f"m{i:02}" for i in range(MEMBERS)]
    seeds = ["10.0.0.0:1", "10.0.0.1:1"]
    cores, due, sent, changes, total = {}, {}, hashlib.sha256(), hashlib.sha256(), 0
    ended = []

    def begin(i, incarnation, now, address=None):
        address = address or f"10.0.0.{i}:1"
        if address in cores:
            ended.append(cores[address])
        lifeguard = not (seed == SEEDS[-1] and i % 9 == 0)
        core = make(
            names[i], incarnation, address, seeds, Random(f"{seed}/{address}/{incarnation}"), now, lifeguard
        )
        cores[address], due[address] = core, now

    def flush(address, core, now):
        nonlocal total
        out, core.out = core.out, []
        for to, data in out:
            total += 1
            sent.update(f"{now} {address} {to} {len(data)} ".encode() + data)
            if to not in cores or rng.random() < 0.12:
                continue
            halves = (int(address.split(".")[3].split(":")[0]) < MEMBERS // 2) != (
                int(to.split(".")[3].split(":")[0]) < MEMBERS // 2
            )
            if halves and 20 * SECOND < now < 32 * SECOND:
                continue
            for _ in range(1 + (rng.random() < 0.05)):
                air.append((now + rng.randrange(1, 900), len(air), to, data))
        made, core.changes = core.changes, []
        for change in made:
            changes.update(f"{change.at} {address} {change}\n".encode())

    air = []
    plan = {
        10 * SECOND: lambda now: (cores.pop("10.0.0.5:1"), begin(5, 4 << 10, now)),
        12 * SECOND: lambda now: begin(6, 90 << 40, now),
        14 * SECOND: lambda now: begin(7, 91 << 40, now, "10.0.0.100:1"),
        36 * SECOND: lambda now: cores.pop("10.0.0.8:1"),
        40 * SECOND: lambda now: (cores["10.0.0.9:1"].leave(now),),
        42 * SECOND: lambda now: hear(cores["10.0.0.2:1"], b"noise" * 30, now),
    }
    for i in range(MEMBERS):
        begin(i, (10 + i) << 20, 0)
    for now in range(0, seconds * SECOND, 100):
        if now in plan:
            plan[now](now)
        arrived = sorted(one for one in air if one[0] <= now)
        air[:] = [one for one in air if one[0] > now]
        for _, _, to, data in arrived:
            core = cores.get(to)
            if core is not None and not (to == "10.0.0.3:1" and 15 * SECOND < now < 24 * SECOND):
                hear(core, data, now)
                flush(to, core, now)
                due[to] = min(due[to], core.due(now))
        for address, core in list(cores.items()):
            if now >= due[address] and not (address == "10.0.0.3:1" and 15 * SECOND < now < 24 * SECOND):
                due[address] = core.wake(now)
                flush(address, core, now)
    counts = {}
    for core in [*ended, *cores.values()]:
        for reason, count in core.counts.items():
            counts[reason] = counts.get(reason, 0) + count
    view = [
        (core.me.name, core.health, core.silent, core.alone(), core.size(), sorted(core.members))
        for core in cores.values()
    ]
    return {
        "datagrams": total,
        "sent": sent.hexdigest(),
        "changes": changes.hexdigest(),
        "view": hashlib.sha256(repr(view).encode()).hexdigest(),
        "counts": dict(sorted(counts.items())),
    }


def control_answer(make, hear, view):
    """The answer to `members` of a core that has heard of three others; view(core) gives the JSON members."""
    core = make("a", 5 << 10, "10.0.0.1:1", [], Random(4), 0, True)
    other = make("b", 6 << 10, "10.0.0.2:1", ["10.0.0.1:1"], Random(5), 0, True)
    third = make("c", 7 << 10, "10.0.0.3:1", ["10.0.0.1:1"], Random(6), 0, True)
    cores = {"10.0.0.1:1": core, "10.0.0.2:1": other, "10.0.0.3:1": third}
    for now in range(0, 8 * SECOND, 100):
        if now == 5 * SECOND:
            del cores["10.0.0.3:1"]
        for one in cores.values():
            one.wake(now)
        for _ in range(10):
            out = [datagram for one in cores.values() for datagram in one.out]
            for one in cores.values():
                one.out = []
            for to, data in out:
                if to in cores:
                    hear(cores[to], data, now)
    return view(core, 8 * SECOND)


def main(output):
    """Imports the old names and writes the file."""
    from pathsaddle.fleet import wire
    from pathsaddle.fleet.driver import Fellows
    from pathsaddle.fleet.lives import Lives
    from pathsaddle.fleet.members import Membership, Ways, life_of

    def make(name, incarnation, address, seeds, rng, now, lifeguard):
        ways = Ways(
            "f", KEY, most_bytes=9000, most_datagrams=40, most_dead=3, forget=20 * SECOND, lifeguard=lifeguard
        )
        return Membership(wire.Row(name, incarnation, 0, 0, address, "here"), ways, seeds, rng, now)

    def hear(core, data, now):
        core.heard(data, now)

    def view(core, now):
        driver = SimpleNamespace(core=core, clock=SimpleNamespace(now=lambda: now))
        return Fellows.view(driver)

    datagrams = {}
    for kind in KINDS:
        number = getattr(wire, kind)
        for case, (count, to, echo, about, first, last, heard) in FIELDS.items():
            row = wire.Row(*(ROW if case == "full" else PLAIN_ROW))
            rows = [wire.Row(*PLAIN_ROW), row] if case == "full" else []
            heard_rows = [tuple(one) for one in heard]
            said = wire.Said("f", row, count, to, number, echo, about, first, last, heard_rows, rows)
            datagrams[f"{kind} {case}"] = wire.encode(said, KEY).hex()
    with tempfile.TemporaryDirectory() as folder:
        Lives(Path(folder), "a").keep(123456789012345)
        files = {path.name: path.read_text("ascii") for path in Path(folder).iterdir()}
    golden = {
        "commit": "f469a1f",
        "datagrams": datagrams,
        "files": files,
        "lives": [life_of(ms, last, Random(ms)) for ms, last in ((1000, 0), (1000, 5 << 20), (1 << 40, 9))],
        "members": control_answer(make, hear, view),
        "plays": {str(seed): play(make, hear, seed) for seed in SEEDS},
    }
    Path(output).write_text(json.dumps(golden, indent=1) + "\n", encoding="ascii")


if __name__ == "__main__":
    main(sys.argv[1])
