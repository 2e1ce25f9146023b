"""Voters and candidates as real processes: kill -9, SIGSTOP, relays cut, disks lost and exchanged;
the judge reads their logs.
"""

import asyncio
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from random import Random

import msgspec

from pathsaddle.consensus.fencing import Fence
from pathsaddle.consensus.udp_driver import monotonic_ticks
from pathsaddle.emulator.events import Event
from pathsaddle.emulator.ground.air import Air, Blight
from pathsaddle.emulator.ground.ports import udp_places
from pathsaddle.emulator.ground.relays import Relays
from pathsaddle.emulator.ownership import linear
from pathsaddle.emulator.ownership.judge import judge
from pathsaddle.trade import SECOND

ROOT = Path(__file__).resolve().parent.parent
SECONDS = float(os.environ.get("OWNERSHIP_SECONDS", "15"))  # of random trouble; longer by hand
CHARTER = """name = "{name}"
listen = "127.0.0.1:0"
discovery = "127.0.0.1:9"
[[schemes]]
name = "a"
semantics = "repeatable"
expiry = "5s"
[log]
form = "json"
[fleet]
name = "f"
key = "sixteen bytes or more"
listen = "{fleet}"
[fleet.owners]
listen = "{own}"
folder = "{folder}"
lease = "600ms"
keys = [{keys}]
[fleet.owners.voters]
{voters}
"""


class Fleet:
    """Three voters, others that stand for the key `k`; what they send one another passes through relays."""

    def __init__(self, case, folder, members=3):
        self.case, self.folder = case, Path(folder)
        self.names = ["v0", "v1", "v2", *(f"m{i}" for i in range(members))]
        ports = udp_places(2 * len(self.names))
        self.own = dict(zip(self.names, ports[::2], strict=True))
        self.ours = dict(zip(self.names, ports[1::2], strict=True))
        self.air = Air(Random(1), lambda one, other: 0.0)
        self.relays = Relays(
            self.now, self.air, {name: (self.own[name], self.ours[name]) for name in self.names}
        )
        self.processes, self.files, self.events, self.heard = {}, [], [], {}
        self.fence, self.lives = Fence(), 0
        self.store = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.store.setblocking(False)
        self.store.bind(("127.0.0.1", 0))
        asyncio.get_running_loop().add_reader(self.store.fileno(), self.comes)
        for name in self.names:
            (self.folder / name).mkdir()
            voters = "\n".join(f'{voter} = "{self.ours[voter]}"' for voter in self.names[:3])
            self.charter(name).write_text(
                CHARTER.format(
                    fleet=udp_places(1)[0],
                    name=name,
                    own=self.own[name],
                    folder=self.folder / name,
                    voters=voters,
                    keys='"k"' if name[0] == "m" else "",
                )
            )

    def now(self):
        return monotonic_ticks()

    def charter(self, name):
        return self.folder / f"{name}.toml"

    def comes(self):
        try:
            while True:
                key, number, by, one = self.store.recv(200).decode().split()
                is_admitted = self.fence.admit(key, int(number)).is_admitted
                self.events.append(
                    Event(
                        monotonic_ticks(),
                        "effect",
                        {
                            "who": "s",
                            "key": key,
                            "number": int(number),
                            "by": by,
                            "taken": is_admitted,
                            "id": one,
                        },
                    )
                )
                if is_admitted:
                    self.heard[by] = monotonic_ticks()
        except OSError:
            pass

    def run(self, *words):
        with (self.folder / "said").open("ab") as said:
            process = subprocess.Popen(
                [sys.executable, "-m", *words],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=said,
                start_new_session=True,
            )

        def end():
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()

        self.case.addCleanup(end)
        return process

    def found(self):
        for process in [
            self.run("pathsaddle.ownership", "found", str(self.charter(name))) for name in self.names[:3]
        ]:
            self.case.assertEqual(process.wait(30), 0)

    def begin(self, name):
        self.lives += 1
        self.files.append(self.folder / f"{name}.{self.lives}.events")
        self.processes[name] = self.run(
            "pathsaddle.emulator.ownership.process",
            str(self.charter(name)),
            str(self.files[-1]),
            "{}:{}".format(*self.store.getsockname()),
        )

    def kill(self, *names):
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.processes[name].wait()
            self.events.append(Event(monotonic_ticks(), "member.ended", {"who": name, "why": "killed"}))

    async def until(self, holds, what):
        by = time.monotonic() + 30
        while not (found := holds()):
            if time.monotonic() > by:
                self.case.fail(f"{what}: not within 30 s; " + (self.folder / "said").read_text()[-3000:])
            await asyncio.sleep(0.02)
        return found

    async def owner(self, *others):
        """Whoever has effect from now on, and is none of `others`."""
        since = monotonic_ticks()
        return await self.until(
            lambda: next(
                (by for by, at in sorted(self.heard.items()) if at > since and by not in others), ""
            ),
            f"an owner that is none of {others}",
        )

    def told(self, word):
        return (self.folder / "said").read_text().count(f'"event": "{word}"')

    def cut(self, one, others, oneway=False):
        blight = Blight(frozenset(one), frozenset(others), oneway=oneway, lost=1.0)
        self.air.blights[blight] = None
        return blight

    async def end(self):
        """All are told to end; what their logs say when they have."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        await self.until(
            lambda: all(process.poll() is not None for process in self.processes.values()), "all end"
        )
        self.relays.end()
        asyncio.get_running_loop().remove_reader(self.store.fileno())
        self.store.close()
        history = self.history()
        verdict = judge(history, skew=2)
        self.case.assertEqual(verdict.findings, [])
        self.case.assertEqual(linear.check(history), {})
        self.case.assertGreater(
            sum(1 for event in history if event.what == "reg.end" and event.more["outcome"] == "ok"), 20
        )
        self.case.assertGreater(verdict.effects, 100)
        self.case.assertNotIn("fault-ownership", (self.folder / "said").read_text())
        return history

    def history(self):
        rows = list(self.events)
        for path in self.files:
            for line in path.read_bytes().splitlines():
                try:
                    rows.append(msgspec.json.decode(line, type=Event))
                except msgspec.DecodeError:
                    pass  # the last of one that was killed
        # Of one tick: who got a number wrote that before it acted, whatever receiver's line was read first.
        return sorted(rows, key=lambda event: (event.at, event.what == "effect"))


class ConsensusProcessTest(unittest.TestCase):
    def test_owners_stopped_killed_cut_off_and_sent_home_and_voters_whose_disks_are_gone(self):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self.story(folder))

    async def story(self, folder):
        fleet = Fleet(self, folder)
        fleet.found()
        for name in fleet.names:
            fleet.begin(name)
        first = await fleet.owner()

        # Stopped for longer than lease and takeover, then it goes on.
        fleet.processes[first].send_signal(signal.SIGSTOP)
        second = await fleet.owner(first)
        fleet.processes[first].send_signal(signal.SIGCONT)

        # The next is cut off: what it says to voters is lost, what they say to it comes.
        blight = fleet.cut([second], fleet.names[:3], oneway=True)
        third = await fleet.owner(second)
        fleet.air.blights.pop(blight)

        # Killed, and back under its name at once.
        fleet.kill(third)
        await fleet.owner(third)
        fleet.begin(third)

        # A voter back on an empty disk is let in; then it is needed for a majority.
        shutil.copytree(fleet.folder / "v2", fleet.folder / "copy")
        outs, ins = fleet.told("voter-out"), fleet.told("voter-in")
        fleet.kill("v0")
        shutil.rmtree(fleet.folder / "v0")
        (fleet.folder / "v0").mkdir()
        fleet.begin("v0")
        await fleet.until(lambda: fleet.told("voter-in") > ins, "the empty voter is let in")
        self.assertGreater(fleet.told("voter-out"), outs)
        fleet.kill("v1")
        await fleet.owner()
        fleet.begin("v1")

        # One back on an old disk, which is a copy.
        await fleet.until(lambda: fleet.told("voter-in") > ins + 1, "the killed voter is back")
        outs, ins = fleet.told("voter-out"), fleet.told("voter-in")
        fleet.kill("v2")
        shutil.rmtree(fleet.folder / "v2")
        shutil.copytree(fleet.folder / "copy", fleet.folder / "v2")
        fleet.begin("v2")
        await fleet.until(lambda: fleet.told("voter-in") > ins, "the voter with an old disk is let in")
        self.assertGreater(fleet.told("voter-out"), outs)

        # All voters at once; their disks are whole.
        fleet.kill(*fleet.names[:3])
        for name in fleet.names[:3]:
            fleet.begin(name)
        last = await fleet.owner()

        # SIGTERM: the next has it at once, not after the lease's end.
        asked = monotonic_ticks()
        fleet.processes[last].send_signal(signal.SIGTERM)
        await fleet.owner(last)
        self.assertLess(monotonic_ticks() - asked, 5 * SECOND)
        given = [
            event
            for event in fleet.history()
            if event.what == "lease.end" and event.more["who"] == last and event.more["why"] == "stopping"
        ]
        self.assertEqual(len(given), 1)

        history = await fleet.end()
        self.assertGreaterEqual(judge(history).owners, 5)

    def test_seven_processes_under_random_stops_cuts_and_kills(self):
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(self.random(folder, Random(20)))

    async def random(self, folder, chance):
        fleet = Fleet(self, folder, members=4)
        fleet.found()
        for name in fleet.names:
            fleet.begin(name)
        await fleet.owner()
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            kind, name = chance.choice(("stop", "stop", "cut", "oneway", "kill")), chance.choice(fleet.names)
            if kind != "cut" and chance.random() < 0.5:  # the owner, if there is one
                name = max(fleet.heard, key=lambda by: fleet.heard[by])
            span = chance.uniform(0.2, 2.0)
            if kind == "stop":
                fleet.processes[name].send_signal(signal.SIGSTOP)
                await asyncio.sleep(span)
                fleet.processes[name].send_signal(signal.SIGCONT)
            elif kind == "kill":
                fleet.kill(name)
                await asyncio.sleep(span / 4)
                fleet.begin(name)
            else:
                others = chance.sample(
                    [other for other in fleet.names if other != name], chance.randrange(1, 7)
                )
                blight = fleet.cut([name], others, oneway=kind == "oneway")
                await asyncio.sleep(span)
                fleet.air.blights.pop(blight)
            await asyncio.sleep(chance.uniform(0, 0.3))
        await fleet.owner()
        history = await fleet.end()
        self.assertGreater(judge(history).owners, 3)

    def test_dispatchers_that_vote_and_stand_themselves_have_one_owner_and_the_next_at_sigterm(self):
        with tempfile.TemporaryDirectory() as folder:
            names = ["v0", "v1", "v2"]
            own = dict(zip(names, udp_places(3), strict=True))
            rows = "\n".join(f'{name} = "{address}"' for name, address in own.items())
            processes = {}

            def end():
                for process in processes.values():
                    process.kill()
                    process.communicate()

            self.addCleanup(end)
            for name in names:
                (Path(folder) / name).mkdir()
                path = Path(folder) / f"{name}.toml"
                path.write_text(
                    CHARTER.format(
                        fleet=udp_places(1)[0],
                        name=name,
                        own=own[name],
                        folder=Path(folder) / name,
                        voters=rows,
                        keys='"k"',
                    )
                )
                subprocess.run(
                    [sys.executable, "-m", "pathsaddle.ownership", "found", str(path)], cwd=ROOT, check=True
                )
                with (Path(folder) / name / "said").open("wb") as said:
                    processes[name] = subprocess.Popen(
                        [sys.executable, "-m", "pathsaddle", "serve", str(path)],
                        cwd=ROOT,
                        stdout=said,
                        stderr=subprocess.STDOUT,
                    )

            def owners():
                return [
                    (name, line)
                    for name in names
                    for line in (Path(folder) / name / "said").read_text().splitlines()
                    if '"event": "owner"' in line
                ]

            async def until(count):
                async with asyncio.timeout(30):
                    while len(owners()) < count:
                        await asyncio.sleep(0.02)

            asyncio.run(until(1))
            ((first, line),) = owners()
            self.assertIn('"number": 1', line)
            processes[first].send_signal(signal.SIGTERM)
            asyncio.run(until(2))
            self.assertEqual(
                [
                    (name != first, '"number": 2' in line)
                    for name, line in owners()
                    if '"number": 1' not in line
                ],
                [(True, True)],
            )

    def test_a_voter_of_other_voters_and_a_second_founding_are_refused_with_what_to_do(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "charter.toml"
            voters = {name: address for name, address in zip("abc", udp_places(3), strict=True)}

            def ends(word, **names):
                rows = "\n".join(f'{name} = "{address}"' for name, address in names.items())
                path.write_text(
                    CHARTER.format(
                        fleet=udp_places(1)[0], name="a", own=voters["a"], folder=folder, voters=rows, keys=""
                    )
                )
                done = subprocess.run(
                    [sys.executable, "-m", "pathsaddle.ownership", word, str(path)],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=30,
                    check=False,
                )
                return done.returncode, done.stderr

            self.assertEqual(ends("found", **voters), (0, ""))
            code, said = ends("found", **voters)
            self.assertEqual(code, 2)
            self.assertIn("ownership.founded", said)
            changed = {"a": voters["a"], "b": voters["b"], "d": voters["c"]}
            code, said = ends("serve", **changed)
            self.assertEqual(code, 2)
            self.assertIn("write the same names at fleet.owners.voters", said)
            code, said = ends("serve", a=voters["a"])
            self.assertIn("3 or 5 may", said)
