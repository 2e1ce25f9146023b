"""Acceptors and members as real processes: kill -9, SIGSTOP, relays cut, disks lost and exchanged.

The invariant checkers read their logs.
"""

import asyncio
import json
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
from pathsaddle.emulator.ground.air import Air, Blight
from pathsaddle.emulator.ground.ports import udp_places
from pathsaddle.emulator.ground.relays import Relays
from pathsaddle.emulator.ownership import linear
from pathsaddle.emulator.ownership.judge import judge
from pathsaddle.event_log import Event
from pathsaddle.scheduler_types import SECOND

ROOT = Path(__file__).resolve().parent.parent
SECONDS = float(os.environ.get("OWNERSHIP_SECONDS", "15"))  # of random trouble; longer by hand
LOG_FRAME_BYTES = 12  # before each record of an acceptor's log: its length and its checksum
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


def accepted_in(log):
    """Return (key, owner, number) of each accepted value in the whole records of an acceptor's log."""
    rows, at = [], 0
    while at + LOG_FRAME_BYTES <= len(log):
        size = int.from_bytes(log[at : at + 4], "big")
        body = log[at + LOG_FRAME_BYTES : at + LOG_FRAME_BYTES + size]
        at += LOG_FRAME_BYTES + size
        if len(body) < size:
            break  # its acceptor is just writing it
        record = msgspec.msgpack.decode(body)
        if record[0] and isinstance(record[1], list):
            _, _, (owner, _, number, *_) = record[1]
            if number:
                rows.append((record[0], owner, number))
    return rows


class Fleet:
    """Three acceptors, and members that campaign for the key `k`; relays carry what they send one another."""

    def __init__(self, case, directory, members=3):
        self.case, self.directory = case, Path(directory)
        self.names = ["v0", "v1", "v2", *(f"m{i}" for i in range(members))]
        ports = udp_places(2 * len(self.names))
        self.addresses = dict(zip(self.names, ports[::2], strict=True))
        self.relayed_addresses = dict(zip(self.names, ports[1::2], strict=True))
        self.air = Air(Random(1), lambda one, other: 0.0)
        self.relays = Relays(
            self.now,
            self.air,
            {name: (self.addresses[name], self.relayed_addresses[name]) for name in self.names},
        )
        self.processes, self.files, self.events, self.last_effects = {}, [], [], {}
        self.fence, self.starts = Fence(), 0
        self.store = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.store.setblocking(False)
        self.store.bind(("127.0.0.1", 0))
        asyncio.get_running_loop().add_reader(self.store.fileno(), self.receive_effects)
        for name in self.names:
            (self.directory / name).mkdir()
            voters = "\n".join(
                f'{acceptor} = "{self.relayed_addresses[acceptor]}"' for acceptor in self.names[:3]
            )
            self.config_file(name).write_text(
                CHARTER.format(
                    fleet=udp_places(1)[0],
                    name=name,
                    own=self.addresses[name],
                    folder=self.directory / name,
                    voters=voters,
                    keys='"k"' if name[0] == "m" else "",
                )
            )

    def now(self):
        return monotonic_ticks()

    def config_file(self, name):
        return self.directory / f"{name}.toml"

    def receive_effects(self):
        try:
            while True:
                key, number, by, effect_id = self.store.recv(200).decode().split()
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
                            "id": effect_id,
                        },
                    )
                )
                if is_admitted:
                    self.last_effects[by] = monotonic_ticks()
        except OSError:
            pass

    def run(self, *arguments):
        with (self.directory / "stderr").open("ab") as stderr:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=stderr,
                start_new_session=True,
            )

        def end():
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()

        self.case.addCleanup(end)
        return process

    def found_registers(self):
        for process in [
            self.run("pathsaddle.ownership", "found", str(self.config_file(name))) for name in self.names[:3]
        ]:
            self.case.assertEqual(process.wait(30), 0)

    def start(self, name):
        self.starts += 1
        self.files.append(self.directory / f"{name}.{self.starts}.events")
        self.processes[name] = self.run(
            "pathsaddle.emulator.ownership.process",
            str(self.config_file(name)),
            str(self.files[-1]),
            "{}:{}".format(*self.store.getsockname()),
        )

    def kill(self, *names):
        for name in names:
            self.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.processes[name].wait()
            self.events.append(Event(monotonic_ticks(), "member.ended", {"who": name, "why": "killed"}))

    async def wait_until(self, condition, what):
        by = time.monotonic() + 30
        while not (result := condition()):
            if time.monotonic() > by:
                self.case.fail(f"{what}: not within 30 s; " + (self.directory / "stderr").read_text()[-3000:])
            await asyncio.sleep(0.02)
        return result

    async def lease_holder(self, *others):
        """Return who has effect from now on, and is none of `others`."""
        since = monotonic_ticks()
        return await self.wait_until(
            lambda: next(
                (by for by, at in sorted(self.last_effects.items()) if at > since and by not in others), ""
            ),
            f"a lease holder that is none of {others}",
        )

    def count_logged(self, event):
        return (self.directory / "stderr").read_text().count(f'"event": "{event}"')

    def cut(self, cut_off, others, oneway=False):
        blight = Blight(frozenset(cut_off), frozenset(others), oneway=oneway, lost=1.0)
        self.air.blights[blight] = None
        return blight

    async def end(self):
        """End all processes, check their logs, and return the history."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        await self.wait_until(
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
        self.case.assertNotIn("fault-ownership", (self.directory / "stderr").read_text())
        return history

    def history(self):
        rows = list(self.events)
        for path in self.files:
            for line in path.read_bytes().splitlines():
                try:
                    rows.append(msgspec.json.decode(line, type=Event))
                except msgspec.DecodeError:
                    pass  # the last of one that was killed
        # Of one tick: who got a fencing token wrote that before it acted, whatever line was read first.
        return sorted(rows, key=lambda event: (event.at, event.what == "effect"))


class ConsensusProcessTest(unittest.TestCase):
    def test_lease_holders_paused_killed_cut_off_and_terminated_and_acceptors_with_lost_disks(self):
        with tempfile.TemporaryDirectory() as directory:
            asyncio.run(self.run_all_faults(directory))

    async def run_all_faults(self, directory):
        fleet = Fleet(self, directory)
        fleet.found_registers()
        for name in fleet.names:
            fleet.start(name)
        first = await fleet.lease_holder()

        # Stopped for longer than lease and takeover, then it goes on.
        fleet.processes[first].send_signal(signal.SIGSTOP)
        second = await fleet.lease_holder(first)
        fleet.processes[first].send_signal(signal.SIGCONT)

        # The next is cut off: what it sends to acceptors is lost, what they send to it arrives.
        blight = fleet.cut([second], fleet.names[:3], oneway=True)
        third = await fleet.lease_holder(second)
        fleet.air.blights.pop(blight)

        # Killed, and back under its name at once.
        fleet.kill(third)
        await fleet.lease_holder(third)
        fleet.start(third)

        # An acceptor back on an empty disk rejoins; then it is needed for a majority.
        shutil.copytree(fleet.directory / "v2", fleet.directory / "copy")
        left, rejoined = fleet.count_logged("voter-out"), fleet.count_logged("voter-in")
        fleet.kill("v0")
        shutil.rmtree(fleet.directory / "v0")
        (fleet.directory / "v0").mkdir()
        fleet.start("v0")
        await fleet.wait_until(
            lambda: fleet.count_logged("voter-in") > rejoined, "the empty acceptor rejoins"
        )
        self.assertGreater(fleet.count_logged("voter-out"), left)
        fleet.kill("v1")
        await fleet.lease_holder()
        fleet.start("v1")

        # One back on an old disk, which is a copy.
        await fleet.wait_until(
            lambda: fleet.count_logged("voter-in") > rejoined + 1, "the killed acceptor is back"
        )
        left, rejoined = fleet.count_logged("voter-out"), fleet.count_logged("voter-in")
        fleet.kill("v2")
        shutil.rmtree(fleet.directory / "v2")
        shutil.copytree(fleet.directory / "copy", fleet.directory / "v2")
        fleet.start("v2")
        await fleet.wait_until(
            lambda: fleet.count_logged("voter-in") > rejoined, "the acceptor with an old disk rejoins"
        )
        self.assertGreater(fleet.count_logged("voter-out"), left)

        # All acceptors at once; their disks are intact.
        fleet.kill(*fleet.names[:3])
        for name in fleet.names[:3]:
            fleet.start(name)
        last = await fleet.lease_holder()

        # SIGTERM: the next has it at once, not after the lease's end.
        terminated_at = monotonic_ticks()
        fleet.processes[last].send_signal(signal.SIGTERM)
        await fleet.lease_holder(last)
        self.assertLess(monotonic_ticks() - terminated_at, 5 * SECOND)
        released = [
            event
            for event in fleet.history()
            if event.what == "lease.end" and event.more["who"] == last and event.more["why"] == "stopping"
        ]
        self.assertEqual(len(released), 1)

        history = await fleet.end()
        self.assertGreaterEqual(judge(history).owners, 5)

    def test_seven_processes_under_random_pauses_cuts_and_kills(self):
        with tempfile.TemporaryDirectory() as directory:
            asyncio.run(self.run_random_faults(directory, Random(20)))

    async def run_random_faults(self, directory, rng):
        fleet = Fleet(self, directory, members=4)
        fleet.found_registers()
        for name in fleet.names:
            fleet.start(name)
        await fleet.lease_holder()
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            kind, name = rng.choice(("stop", "stop", "cut", "oneway", "kill")), rng.choice(fleet.names)
            if kind != "cut" and rng.random() < 0.5:  # the lease holder, if there is one
                name = max(fleet.last_effects, key=lambda by: fleet.last_effects[by])
            span = rng.uniform(0.2, 2.0)
            if kind == "stop":
                fleet.processes[name].send_signal(signal.SIGSTOP)
                await asyncio.sleep(span)
                fleet.processes[name].send_signal(signal.SIGCONT)
            elif kind == "kill":
                fleet.kill(name)
                await asyncio.sleep(span / 4)
                fleet.start(name)
            else:
                others = rng.sample([other for other in fleet.names if other != name], rng.randrange(1, 7))
                blight = fleet.cut([name], others, oneway=kind == "oneway")
                await asyncio.sleep(span)
                fleet.air.blights.pop(blight)
            await asyncio.sleep(rng.uniform(0, 0.3))
        await fleet.lease_holder()
        history = await fleet.end()
        self.assertGreater(judge(history).owners, 3)

    def test_dispatchers_that_are_acceptors_and_campaign_have_one_lease_holder_and_the_next_at_sigterm(self):
        with tempfile.TemporaryDirectory() as directory:
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
                (Path(directory) / name).mkdir()
                path = Path(directory) / f"{name}.toml"
                path.write_text(
                    CHARTER.format(
                        fleet=udp_places(1)[0],
                        name=name,
                        own=own[name],
                        folder=Path(directory) / name,
                        voters=rows,
                        keys='"k"',
                    )
                )
                subprocess.run(
                    [sys.executable, "-m", "pathsaddle.ownership", "found", str(path)], cwd=ROOT, check=True
                )
                with (Path(directory) / name / "stderr").open("wb") as output:
                    processes[name] = subprocess.Popen(
                        [sys.executable, "-m", "pathsaddle", "serve", str(path)],
                        cwd=ROOT,
                        stdout=output,
                        stderr=subprocess.STDOUT,
                    )

            def logged_owners():
                return [
                    (name, json.loads(line)["number"])
                    for name in names
                    for line in (Path(directory) / name / "stderr").read_text().splitlines()
                    if '"event": "owner"' in line
                ]

            async def until(count):
                async with asyncio.timeout(30):
                    while len(logged_owners()) < count:
                        await asyncio.sleep(0.02)

            def accepted_owners():
                """Return the owner and the number of each proposal that an acceptor has accepted for the key."""
                logs = [(Path(directory) / name / "register.log").read_bytes() for name in names]
                return {
                    (owner, number) for log in logs for key, owner, number in accepted_in(log) if key == "k"
                }

            asyncio.run(until(1))
            ((first, first_number),) = logged_owners()
            processes[first].send_signal(signal.SIGTERM)
            asyncio.run(until(2))
            ((second, second_number),) = [row for row in logged_owners() if row != (first, first_number)]
            self.assertNotEqual(second, first)
            self.assertGreater(second_number, first_number)
            # A proposal that is accepted too late uses up its number without a holder; no number is left out.
            accepted = accepted_owners()
            self.assertLessEqual({(first, first_number), (second, second_number)}, accepted)
            numbers = {number for _, number in accepted}
            self.assertEqual(sorted(numbers), list(range(1, max(numbers) + 1)))

    def test_another_set_of_acceptors_and_a_second_founding_are_refused_with_what_to_do(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "charter.toml"
            voters = {name: address for name, address in zip("abc", udp_places(3), strict=True)}

            def run_command(command, **names):
                rows = "\n".join(f'{name} = "{address}"' for name, address in names.items())
                path.write_text(
                    CHARTER.format(
                        fleet=udp_places(1)[0],
                        name="a",
                        own=voters["a"],
                        folder=directory,
                        voters=rows,
                        keys="",
                    )
                )
                done = subprocess.run(
                    [sys.executable, "-m", "pathsaddle.ownership", command, str(path)],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=30,
                    check=False,
                )
                return done.returncode, done.stderr

            self.assertEqual(run_command("found", **voters), (0, ""))
            code, stderr = run_command("found", **voters)
            self.assertEqual(code, 2)
            self.assertIn("ownership.founded", stderr)
            changed = {"a": voters["a"], "b": voters["b"], "d": voters["c"]}
            code, stderr = run_command("serve", **changed)
            self.assertEqual(code, 2)
            self.assertIn("write the same names at fleet.owners.voters", stderr)
            code, stderr = run_command("serve", a=voters["a"])
            self.assertIn("3 or 5 may", stderr)
