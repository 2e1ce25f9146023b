"""Specs and plans through the voters' register, all real processes: two committers at once, one that was stopped, voters killed."""

import os
import shutil
import signal
import sqlite3
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from random import Random

from pathsaddle.emulator.federation.judge import judged
from pathsaddle.emulator.ground.ports import udp_places
from pathsaddle.emulator.ownership import linear
from pathsaddle.emulator.ownership.judge import judge
from pathsaddle.emulator.placement.judge import judged as placed
from pathsaddle.event_log import Event, read
from pathsaddle.placement.changes import ReportUnitFound, ReportUnitWarm
from pathsaddle.placement.clocks import wall_clock_ticks
from pathsaddle.placement.invariants import find_violations
from pathsaddle.placement.inventory import UnitState
from pathsaddle.placement.ledger_file import create_ledger
from tests.test_consensus_processes import CHARTER
from tests.test_placement_processes import Hands, Planner, inventory

ROOT = Path(__file__).resolve().parent.parent
SPEC = """[regions.north]
members = ["n0"]
[regions.west]
members = ["w0"]
[schemes.a]
home = "north"
may = ["north"{0}]
fail_over = [{1}]
"""
SKEW = 100
VOTERS = ("v0", "v1", "v2")
SECONDS = float(os.environ.get("JOINED_SECONDS", "0"))  # of random trouble, by hand


class Joined(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.running, self.pause = {}, threading.Event()
        self.addCleanup(self.end)
        self.voters = dict(zip(VOTERS, udp_places(3), strict=True))
        self.rows_of_voters = "\n".join(f'{name} = "{address}"' for name, address in self.voters.items())
        for name in VOTERS:
            charter = self.charter(name, self.voters[name], "")
            self.ran("pathsaddle.ownership", "found", charter).wait(20)
            self.voter(name)

    def charter(self, name, own, keys):
        path = self.folder / f"{name}.toml"
        (self.folder / name).mkdir(exist_ok=True)
        path.write_text(
            CHARTER.format(
                fleet="127.0.0.1:9",
                name=name,
                own=own,
                folder=self.folder / name,
                voters=self.rows_of_voters,
                keys=keys,
            )
        )
        return path

    def ran(self, *words):
        process = subprocess.Popen(
            [sys.executable, "-m", *map(str, words)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            start_new_session=True,
        )
        self.running[process.pid] = process
        return process

    def voter(self, name):
        self.running[name] = self.ran("pathsaddle.ownership", "serve", self.folder / f"{name}.toml")

    def end(self):
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
            if not process.stdout.closed:
                process.communicate(timeout=10)

    def until(self, holds, what, bound=30.0):
        end = time.monotonic() + bound
        while time.monotonic() < end:
            found = holds()
            if found:
                return found
            self.pause.wait(0.05)
        self.fail(f"not within {bound} s: {what}")


class SpecStory(Joined):
    def setUp(self):
        super().setUp()
        lines = [
            'key = "sixteen bytes or more"',
            'lease = "1s"',
            "drill = 20.0",
            f'spec = "{self.folder}/1.toml"',
            f'log = "{self.folder}/log"',
            "[voters]",
            'fleet = "f"',
            'key = "sixteen bytes or more"',
            'lease = "600ms"',
            "[voters.names]",
            self.rows_of_voters,
        ]
        ports = udp_places(5)
        for name, address in zip(("k0", "k1", "k2"), ports, strict=False):
            lines += [f"[keepers.{name}]", f'address = "{address}"', f'disk = "{self.folder}/{name}"']
        for name, region, address in (("n0", "north", ports[3]), ("w0", "west", ports[4])):
            lines += [
                f"[members.{name}]",
                f'region = "{region}"',
                f'address = "{address}"',
                f'disk = "{self.folder}/disk"',
            ]
        self.ground = self.folder / "ground.toml"
        self.ground.write_text("\n".join(lines) + "\n")
        for name in ("k0", "k1", "k2"):
            self.running[name] = self.ran("pathsaddle.federation", "keeper", self.ground, name)
        self.ends(self.commit(1), 0, "version 1")
        for name in ("n0", "w0"):
            self.ran("pathsaddle.federation", "member", self.ground, name)
        self.held(1)

    def commit(self, number, *regions, offer=0.1, wait=30.0):
        path = self.folder / f"{number}.toml"
        listed = ", ".join(f'"{region}"' for region in regions)
        path.write_text(SPEC.format(", " * bool(regions) + listed, listed) + f"# {number}\n")
        return self.ran(
            "pathsaddle.federation", "commit", self.ground, path, "--offer", offer, "--wait", wait
        )

    def ends(self, process, code, *words):
        out, err = process.communicate(timeout=40)
        self.assertEqual(process.returncode, code, (out, err))
        for word in words:
            self.assertIn(word, (out + err).decode())

    def rows(self):
        found = []
        for path in sorted((self.folder / "log").glob("*.jsonl")):
            whole = path.read_bytes()
            part = self.folder / "part.jsonl"
            part.write_bytes(whole[: whole.rfind(b"\n") + 1])
            found += read(part)
        return sorted(found, key=lambda row: row.at)

    def held(self, number, after=0):
        """Both go by it, with a lease."""
        self.until(
            lambda: (
                {
                    row.more["who"]
                    for row in self.rows()
                    if row.what == "spec.version"
                    and row.at > after
                    and row.more["state"] == "held"
                    and row.more["version"] == number
                    and row.more["until"] > row.at
                }
                == {"n0", "w0"}
            ),
            f"all go by {number}",
        )

    def owns(self, after):
        self.until(
            lambda: any(row.what == "lease" and row.at > after for row in self.rows()),
            "a committer owns the key",
        )

    def committed(self):
        return {
            row.more["version"]
            for row in self.rows()
            if row.what == "spec.version" and row.more["state"] == "committed"
        }

    def good(self):
        rows = self.rows()
        self.assertEqual(dict(judged(rows, SKEW)), {})
        self.assertEqual(judge(rows, SKEW).findings, [])
        self.assertEqual(linear.check(rows), {})
        self.assertEqual([row for row in rows if row.what == "driver.fault"], [])
        return rows

    def test_two_commit_at_once_one_is_stopped_as_owner_and_refused_by_number_when_it_wakes(self):
        one, other = self.commit(2, "west", offer=0.5), self.commit(22, offer=0.5)
        codes = sorted(((process.wait(40), process) for process in (one, other)), key=lambda row: row[0])
        self.ends(codes[0][1], 0, "version 2")
        self.ends(codes[1][1], 1, "federation.spec-outrun", "commit again")
        self.held(2)

        after = self.rows()[-1].at
        late = self.commit(3, offer=1.0)
        self.owns(after)
        late.send_signal(signal.SIGSTOP)
        self.ends(self.commit(33, "west"), 0, "version 3")
        late.send_signal(signal.SIGCONT)
        self.ends(late, 1, "federation.spec-outrun")
        self.held(3)
        self.assertEqual(self.committed(), {1, 2, 3})
        for name in ("k0", "k1", "k2"):  # each has the text that was committed, and it alone
            path = self.folder / name / "000000003.toml"
            self.until(path.exists, f"{name} keeps version 3")
            self.assertIn("# 33", path.read_text())

        # A keeper back on an empty disk has its texts from the others, by the digests that the voters hold.
        self.running["k2"].kill()
        self.running["k2"].communicate(timeout=10)
        shutil.rmtree(self.folder / "k2")
        self.running["k2"] = self.ran("pathsaddle.federation", "keeper", self.ground, "k2")
        self.until(
            lambda: (
                [path.name for path in sorted((self.folder / "k2").glob("0*.toml"))]
                == [f"{number:09}.toml" for number in (1, 2, 3)]
            ),
            "k2 has all three again",
        )
        numbers = [row.more["number"] for row in self.good() if row.what == "lease"]
        self.assertGreaterEqual(len(set(numbers)), 5)

    def test_with_a_majority_of_voters_killed_nothing_is_committed_or_loosened_and_then_it_goes_on(self):
        after = self.rows()[-1].at
        amid = self.commit(2, "west", offer=1.0, wait=2.5)
        self.owns(after)
        for name in VOTERS[:2]:
            self.running[name].kill()
            self.running[name].communicate(timeout=10)
        killed = self.rows()[-1].at
        self.ends(amid, 2, "federation.voters", "nothing was committed")
        rows = self.rows()
        leases = [
            row.more["until"] for row in rows if row.what == "spec.version" and row.more["state"] == "held"
        ]
        self.assertLess(
            max(leases), killed + 15_000
        )  # nobody's lease grew on a reading that nobody could prove
        self.assertEqual(self.committed(), {1})
        self.assertFalse([row for row in rows if row.what == "abroad.sent" and row.more["to"] == "west"])
        for name in VOTERS[:2]:
            self.voter(name)
        self.held(1, rows[-1].at)
        self.ends(self.commit(2, "west"), 0, "version 2")
        self.held(2)
        self.until(
            lambda: any(row.what == "region.ran" and row.more["region"] == "west" for row in self.rows()),
            "it runs in west",
        )
        self.good()

    @unittest.skipUnless(SECONDS, "JOINED_SECONDS=60: random trouble, by hand")
    def test_committers_stopped_and_killed_and_voters_and_keepers_killed_at_random(self):
        chance, committers, count = Random(33), {}, 1
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            for _ in range(chance.randrange(1, 4)):
                count += 1
                committers[count] = self.commit(count, *chance.choice(((), ("west",))), offer=0.2)
            name = chance.choice((*VOTERS, "k0", "k1", "k2", "", ""))
            if name:
                self.running[name].kill()
                self.running[name].communicate(timeout=10)
            for process in (process for process in committers.values() if process.poll() is None):
                kind = chance.choice(("stop", "stop", "kill", "", ""))
                if kind:
                    self.pause.wait(chance.uniform(0, 1.0))
                    process.send_signal(signal.SIGSTOP if kind == "stop" else signal.SIGKILL)
            self.pause.wait(chance.uniform(0, 2.0))
            if name.startswith("v"):
                self.voter(name)
            elif name:
                self.running[name] = self.ran("pathsaddle.federation", "keeper", self.ground, name)
            for process in committers.values():
                if process.poll() is None:
                    process.send_signal(signal.SIGCONT)
        ends = dict.fromkeys((0, 2, -9), 0)
        told = {}
        for mine, process in committers.items():
            out, err = process.communicate(timeout=60)
            ends[process.returncode] += 1
            if process.returncode == 0:
                number = int(out.split()[2].strip(b","))
                self.assertNotIn(number, told)
                told[number] = mine
            else:
                self.assertTrue(process.returncode == -9 or b"federation." in err, err)
        last = max(told)
        paths = [self.folder / name / f"{last:09}.toml" for name in ("k0", "k1", "k2")]
        self.until(lambda: all(path.exists() for path in paths), "all keepers have the last that was told")
        for number, mine in told.items():  # what was told to be committed is what is committed, everywhere
            for name in ("k0", "k1", "k2"):
                path = self.folder / name / f"{number:09}.toml"
                self.until(path.exists, f"{name} has {number}")
                self.assertTrue(path.read_text().endswith(f"# {mine}\n"))
        self.good()
        print(f"{len(committers)} committers: {ends[0]} committed, {ends[2]} refused, {ends[-9]} killed")


class PlanStory(Joined):
    def setUp(self):
        super().setUp()
        self.path = self.folder / "placement.db"
        self.ledger = create_ledger(self.path, inventory(20, 6, 4, 20), wall_clock_ticks)
        self.addCleanup(self.ledger.close)
        self.hands = Hands(self.ledger)

    def planner(self, name, *words):
        charter = self.charter(name, udp_places(1)[0], '"plan"')
        planner = Planner(self.path, name, 1.0, "--charter", str(charter), "--seconds", "1", *words)
        self.addCleanup(planner.end)
        return planner

    def stopped(self, planner):
        """Outside a commit: inside one it bars the ledger for all."""
        other = sqlite3.connect(self.path, isolation_level=None, timeout=0.5)
        self.addCleanup(other.close)
        for _ in range(50):
            planner.sent(signal.SIGSTOP)
            try:
                other.execute("BEGIN IMMEDIATE")
                other.execute("ROLLBACK")
                return
            except sqlite3.OperationalError:
                planner.sent(signal.SIGCONT)
                planner.next()
        self.fail("fifty times inside a commit")

    def walked(self, planner):
        while (event := planner.lines.get(timeout=60)) is not None:
            self.hands.obey(event)
        self.assertEqual(planner.process.wait(60), 0)

    def good(self):
        found = self.ledger.read().inventory
        self.assertEqual(sum(unit.state is UnitState.SERVING for unit in found.units), 24)
        self.assertEqual(find_violations(found), [])
        story = [Event(at, what, more) for at, what, more in self.ledger.audit_events()]
        self.assertEqual(placed(story), [])

    def test_a_planner_that_stood_still_is_followed_and_reserves_nothing_when_it_wakes(self):
        first = self.planner("p0")
        self.assertEqual(first.until("planner").more["number"], 1)
        first.until("did", "reserve")
        self.stopped(first)
        second = self.planner("p1", "--once")
        self.assertEqual(second.until("planner").more["number"], 2)
        second.until("did", "plan", self.hands)
        first.sent(signal.SIGCONT)
        # What it printed before it was stopped may still lie in the pipe; then its only word is that it lost the key.
        while (event := first.next()).what not in ("planner.lost", "planner", "planner.ended"):
            self.assertIn((event.what, event.more.get("number")), [("did", 1), ("order", 1), ("refused", 1)])
        self.assertEqual((event.what, event.more["number"]), ("planner.lost", 1))
        self.walked(second)
        self.assertGreaterEqual(first.until("planner").more["number"], 3)  # given back, it was next
        self.good()

    def test_with_a_majority_of_voters_killed_a_planner_reserves_no_more_until_they_are_back(self):
        planner = self.planner("p0", "--once")
        planner.until("did", "reserve")
        for name in VOTERS[1:]:
            self.running[name].kill()
            self.running[name].communicate(timeout=10)
        planner.until("planner.lost", None, self.hands)
        # Nobody else took the ledger: its number alone would let the planner go on.
        self.assertEqual(self.ledger.read().number, 1)
        for unit in self.ledger.read().inventory.units:  # there is room for the next
            if unit.state is UnitState.RESERVED:
                self.ledger.apply(ReportUnitFound(unit.name, unit.bay))
                self.ledger.apply(ReportUnitWarm(unit.name))
        self.assertTrue(planner.lines.empty())
        for name in VOTERS[1:]:
            self.voter(name)
        event = planner.next()
        self.assertEqual((event.what, event.more.get("number")), ("planner", 2))
        self.walked(planner)
        self.good()
