"""Writes tests/data/settings.json: what shared settings put on the wire, on disk and at the control address.

It runs on the program as it was at commit f469a1f, whose names it uses, from a clone's root:

    .venv/bin/python PATH/write_settings.py PATH/settings.json

tests/test_golden_settings.py builds the same values with today's code and compares bytes, JSON and event logs.
"""

import asyncio
import hashlib
import json
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from unittest import mock

import msgspec

sys.path.insert(0, str(Path.cwd()))

from pathsaddle.emulator.settings.world import Plan, World
from pathsaddle.settings import sync, wire
from pathsaddle.settings.disk import Folder
from pathsaddle.settings.driver import Electorate, KeeperProcess, MemberDriver, Told, packed
from pathsaddle.settings.forms import Group, Put, digest_of, encoded
from pathsaddle.settings.store import Store

KEY = b"sixteen bytes or more"
D = "d" * 32
ONE = Group(
    1, "", "ann", "first", 1700000000000, (Put("customers.a", b'{"allowance":9}'), Put("zones", b'["x"]'))
)
TWO = Group(2, digest_of(ONE), "bob", "", 0, (Put("customers.a", None), Put("budgets.b", b"7")))
THREE = Group(3, digest_of(TWO), "ann", "third", 5, (Put("members.m", b'{"region":"r"}'),))
FOUR = Group(4, digest_of(THREE), "ann", "fourth", 6, (Put("budgets.b", b"8"),))
OTHER = Group(4, digest_of(THREE), "bob", "another", 7, (Put("budgets.b", b"6"),))

MESSAGES = {
    "sync request": sync.Asking("m", 7, 2, 3, D),
    "sync request, revision 0": sync.Asking("m", 7, 2, 0, ""),
    "lease renewal": sync.Renewal("k", "m", 7, 2, 3, D),
    "proposal": sync.Offer("k", ONE),
    "proposal, following": sync.Offer("k", ONE, (TWO, THREE)),
    "proposal acknowledgement": sync.Kept("k", 3, D),
    "commit notice": sync.Commit("k", (3, D)),
    "commit notice, change sets": sync.Commit("k", (3, D), (ONE, TWO)),
    "applied acknowledgement": sync.Have("m", 3, D),
    "applied summary": sync.Haves("k", ((1, D, ("m", "n")), (2, "e" * 32, ("o",)))),
    "chunk manifest": sync.Announce("k", sync.SNAPSHOT, D, (3, "e" * 32), 3000),
    "chunk manifest, proposal": sync.Announce("k", sync.GROUP, D, (3, D), 3000, True),
    "chunk request": sync.Want("m", sync.GROUP, D, 8, 5),
    "chunk": sync.Piece("k", sync.SNAPSHOT, D, 2, b"x" * 40),
}
EVENTS = {
    "applied": sync.Happened("applied", 3, D, tuple(f"budgets.b{i}" for i in range(20))),
    "offered": sync.Happened("offered", 3, D, ("zones",)),
    "leased": sync.Happened("leased", 3, D, until=9),
    "alone": sync.Happened("alone", 3, D, until=9),
    "alone, nothing": sync.Happened("alone", 0, "", until=9),
    "committed": sync.Happened("committed", 3, D, ("zones",)),
    "force": sync.Happened("force", 3, D),
    "kept": sync.Happened("kept", 3, D),
    "diverged": sync.Happened("diverged", 3, D, why="w"),
    "full": sync.Happened("full", 3, D, why="w"),
    "full, name": sync.Happened("full", name="m", why="w"),
    "silent": sync.Happened("silent", name="k", why="w"),
    "refused": sync.Happened("refused", 3, D, name="k", why="w"),
    "refused, digest": sync.Happened("refused", digest=D, why="w"),
}
SUBSCRIBER_REQUESTS = (
    b'{"word":"get"}',
    b'{"word":"get","key":"customers"}',
    b'{"word":"status"}',
    b'{"word":"nothing"}',
    b"[]",
    b"{",
)
SERVER_REQUESTS = (
    b'{"word":"get"}',
    b'{"word":"get","key":"budgets.b"}',
    b'{"word":"history"}',
    b'{"word":"history","most":2}',
    b'{"word":"history","most":0}',
    b'{"word":"status"}',
    b'{"word":"status","revision":3}',
    b'{"word":"status","revision":0}',
    b'{"word":"apply","rows":{"rules":{"nonsense":1}}}',
    b'{"word":"apply","rows":{"listen":1},"remove":["zones","zones"]}',
    b'{"word":"apply"}',
    b'{"word":"apply","rows":{"budgets.b":1},"reason":"' + b"x" * 201 + b'"}',
    b'{"word":"apply","rows":{"budgets.b":1},"within":"long"}',
    b'{"word":"other"}',
)
# Name: fields of Plan, seeds. What happened is logged by the emulated world in true time: each call into the cores, each
# datagram and each draw of their random generator has a part in it.
WORLDS = {
    "default": ({"seconds": 15.0, "quiet": 10.0}, 4),
    "astray": ({"changes": 400, "seconds": 10.0, "faults": 0.0, "astray": 0.2, "quiet": 10.0}, 2),
    "rough": ({"faults": 0.7, "loss": 0.15, "lease": 2.0, "quiet": 1.0}, 2),
    "bytes": ({"members": 20, "changes": 600, "keeper_bytes": 6000, "quiet": 1.0, "seconds": 10.0}, 2),
}


def written(path, writes):
    """The files of one directory, after a batch of writes each."""
    folder = Folder(path, "m", "members.m in x", keep=2)
    for batch in writes:
        folder.write(batch)
    folder.life(1700000000000)
    folder.close()
    return {one.name: one.read_bytes().hex() for one in sorted(path.iterdir())}


def directories(root):
    """Of a subscriber that got a snapshot, of a server with a proposal, of one whose log was compacted."""
    at_two = Store(None, (ONE, TWO)).snapshot()
    return {
        "snapshot and log": written(
            root / "a", [[sync.Write(ONE)], [sync.Write(snapshot=at_two), sync.Write(THREE)]]
        ),
        "log and proposals": written(
            root / "b",
            [
                [sync.Write(ONE), sync.Write(TWO)],
                [sync.Write(THREE)],
                [sync.Write(FOUR, committed=False)],
                [sync.Write(OTHER, committed=False, over=(digest_of(FOUR),))],
            ],
        ),
        "compacted": written(
            root / "c", [[sync.Write(ONE), sync.Write(TWO)], [sync.Write(THREE), sync.Write(FOUR)], []]
        ),
    }


def answers(driver, requests):
    async def ask():
        return [json.dumps(await driver._answer(one)) for one in requests]

    found = asyncio.run(ask())
    driver.sock.close()
    driver.folder.close()
    return found


def control(root):
    """At one fixed moment: 2,000 s after the machine's start, in the year 2023."""
    for name in ("m", "k"):
        folder = Folder(root / name, name, "x")
        folder.write([sync.Write(one) for one in (ONE, TWO, THREE)])
        if name == "k":
            folder.write([sync.Write(FOUR, committed=False)])
        folder.close()
    keepers = {"k": "127.0.0.1:9", "l": "127.0.0.1:10"}
    told = Told("m", "r", KEY, "127.0.0.1:0", keepers, root / "m", "members.m in x")
    logged = []
    with (
        mock.patch.object(time, "time_ns", return_value=1_700_000_000_000_000_000),
        mock.patch.object(time, "clock_gettime_ns", return_value=2_000_000_000_000),
    ):
        member = MemberDriver(told, Random(1), lambda what, **more: logged.append([what, more]))
        member.folder.age = lambda now: 1234
        for event in EVENTS.values():
            member._tells(event)
        found = {"log": json.dumps(logged), "subscriber": answers(member, SUBSCRIBER_REQUESTS)}
        voters = Electorate({"v": "127.0.0.1:9"}, "f", KEY, 5000, "127.0.0.1:0")
        told = Told("k", "r", KEY, "127.0.0.1:0", keepers, root / "k", "keepers.k in x")
        logged.clear()
        keeper = KeeperProcess(told, voters, Random(1), lambda what, **more: logged.append([what, more]))
        keeper.core.heard(sync.Asking("m", 7, 2, 2, digest_of(TWO)), 20_000_000)
        found["server"] = answers(keeper, SERVER_REQUESTS)
        keeper.logged = 0
        keeper._tells(sync.Happened("committed", 3, digest_of(THREE), ("zones",)))
        logged = [row for row in logged if row[0] != "driver.fault"]
        found["server log"] = json.dumps(logged)
        keeper.register.sock.close()
    return found


def worlds():
    found = {}
    for name, (fields, seeds) in WORLDS.items():
        for seed in range(seeds):
            world = World(Plan(**fields), seed).run()
            digest = hashlib.blake2b(digest_size=12)
            rows = [row for row in world.events.rows if row.what not in ("purse", "rate_limiter")]
            for row in rows:
                digest.update(msgspec.json.encode(row))
            digest.update(repr([one.sent for one in world.processes.values()]).encode())
            found[f"{name} {seed}"] = [len(rows), world.cell[0], digest.hexdigest()]
    return found


def main():
    with tempfile.TemporaryDirectory() as path:
        root = Path(path)
        found = {
            "commit": "f469a1f",
            "datagrams": {name: wire.encode(said, KEY).hex() for name, said in MESSAGES.items()},
            "documents": {
                "change set": encoded(ONE).hex(),
                "digest": digest_of(ONE),
                "snapshot": encoded(Store(None, (ONE, TWO)).snapshot()).hex(),
                "empty snapshot": encoded(Store().snapshot()).hex(),
            },
            "register": packed(3, digest_of(THREE), 120).hex(),
            "directories": directories(root),
            "control": control(root),
            "worlds": worlds(),
        }
    Path(sys.argv[1]).write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main()
