"""The spec's members as real processes, and what is between them broken: cut off, SIGSTOP, SIGKILL.
Histories are judged from the logs alone; each process dies with the test that started it.
"""

import hashlib
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from pathsaddle.emulator.federation.judge import judged
from pathsaddle.emulator.ground.ports import udp_ports
from pathsaddle.event_log import read
from pathsaddle.federation import datagrams

ROOT = Path(__file__).resolve().parent.parent
NAMES = {"n0": "north", "n1": "north", "w0": "west", "s0": "south"}
SPEC = """[regions.north]
members = ["n0", "n1"]
[regions.west]
members = ["w0"]
[regions.south]
members = ["s0"]
[schemes.a]
home = "north"
may = ["north"{0}]
fail_over = [{1}]
"""
JOBS = """[regions.north]
members = ["n0", "n1"]
[regions.west]
members = ["w0"]
[regions.south]
members = ["s0"]
[schemes.once]
semantics = "once-only"
home = "west"
may = ["north", "west", "south"]
fail_over = ["south", "north"]
at_most = 1.0
[schemes.again]
home = "west"
may = ["north", "west", "south"]
fail_over = ["south", "north"]
at_most = 1.0
"""
SKEW = 100  # ticks: one machine, one clock, and the time between a look at it and the line in the log


def spec(*regions):
    listed = ", ".join(f'"{region}"' for region in regions)
    return SPEC.format(", " + listed if listed else "", listed)


class Relay:
    """All that is sent to one process passes here, until it is cut."""

    def __init__(self, to):
        self.to, self.cut, self.over = ("127.0.0.1", to), False, False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.thread = threading.Thread(target=self.carry, daemon=True)
        self.thread.start()

    def carry(self):
        while not self.over:
            if select.select([self.sock], [], [], 0.1)[0]:
                data = self.sock.recv(2048)
                if not self.cut:
                    self.sock.sendto(data, self.to)

    def end(self):
        self.over = True
        self.thread.join(5)
        self.sock.close()


class Processes(unittest.TestCase):
    drives, first = "drill = 20.0", spec("west", "south")

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.specs, self.processes, self.relays = {}, {}, {}
        lines = [
            'key = "sixteen bytes or more"',
            'lease = "2s"',
            self.drives,
            f'register = "{self.folder}/register"',
            f'spec = "{self.folder}/first.toml"',
            f'log = "{self.folder}/log"',
        ]
        for kind, names in (("members", NAMES), ("keepers", ("k0", "k1"))):
            for name in names:
                port = udp_ports(1)[0]
                relay = self.relays[name] = Relay(port)
                self.addCleanup(relay.end)
                lines += [
                    f"[{kind}.{name}]",
                    f'address = "127.0.0.1:{relay.port}"',
                    f'listen = "127.0.0.1:{port}"',
                ]
                if kind == "members":
                    lines += [f'region = "{NAMES[name]}"', f'disk = "{self.folder}/disk"']
        self.ground = self.folder / "ground.toml"
        self.ground.write_text("\n".join(lines) + "\n")
        (self.folder / "first.toml").write_text(self.first)
        self.run_one("commit", str(self.ground), str(self.folder / "first.toml"), "--offer", "0.1").wait(20)
        for name in ("k0", "k1"):
            self.start("keeper", name)
        self.until(
            lambda rows: any(row.what == "spec.version" for row in rows), "a keeper has read version 1"
        )
        for name in NAMES:
            self.start("member", name)
        self.until(
            lambda rows: all(
                any(
                    row.what == "spec.version"
                    and row.more["state"] == "held"
                    and row.more["until"] > row.at
                    and row.more["who"] == name
                    for row in rows
                )
                for name in NAMES
            ),
            "everybody has a lease",
        )

    def run_one(self, *words):
        process = subprocess.Popen(
            [sys.executable, "-m", "pathsaddle.federation", *words],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            start_new_session=True,
        )

        def end():
            if process.poll() is None:
                process.kill()
            process.wait(10)

        self.addCleanup(end)
        return process

    def start(self, kind, name):
        self.processes[name] = self.run_one(kind, str(self.ground), name)

    def commit(self, number, *regions, offer="0.6"):
        path = self.folder / f"spec-{number}.toml"
        path.write_text(spec(*regions) + f"# {number}\n")
        return self.run_one("commit", str(self.ground), str(path), "--offer", offer)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait(10)

    def rows(self):
        """All logs as one; a last line may be half there."""
        found = []
        for path in sorted((self.folder / "log").glob("*.jsonl")):
            whole = path.read_bytes()
            path = self.folder / "read.jsonl"
            path.write_bytes(whole[: whole.rfind(b"\n") + 1])
            found += read(path)
        return sorted(found, key=lambda row: row.at)

    def until(self, holds, what, bound=30.0):
        end = time.monotonic() + bound
        pause = threading.Event()
        while time.monotonic() < end:
            rows = self.rows()
            if holds(rows):
                return rows
            pause.wait(0.1)
        self.fail(f"not within {bound} s: {what}")

    def forced(self, number):
        def holds(rows):
            return any(
                row.what == "spec.version" and row.more["state"] == "force" and row.more["version"] >= number
                for row in rows
            )

        return self.until(holds, f"version {number} in force")

    def committed(self, number):
        path = self.folder / "register" / f"{number:09}.toml"
        self.until(lambda rows: path.exists(), f"version {number} is committed")

    def held(self, name, number, rows, after=0):
        return any(
            row.what == "spec.version"
            and row.more["state"] == "held"
            and row.more["version"] == number
            and row.more["who"] == name
            and row.at > after
            for row in rows
        )

    def good(self):
        rows = self.rows()
        self.assertEqual(dict(judged(rows, SKEW)), {})
        self.assertEqual([row for row in rows if row.what == "driver.fault"], [])
        return rows


class ProcessesStory(Processes):
    """What the rule allows is sent, all the time, to all regions."""

    def test_tightened_while_one_is_cut_off_and_one_stopped_for_longer_than_the_lease(self):
        for name in ("w0",):
            self.relays[name].cut = True
        os.kill(self.processes["s0"].pid, signal.SIGSTOP)
        began = time.monotonic()
        self.commit(2, "south")
        self.forced(2)
        self.assertGreater(
            time.monotonic() - began, 2.0
        )  # no word of two of them: not before the lease's end
        self.relays["w0"].cut = False
        os.kill(self.processes["s0"].pid, signal.SIGCONT)
        rows = self.until(lambda rows: self.held("w0", 2, rows) and self.held("s0", 2, rows), "both have it")
        forced = next(
            row.at
            for row in rows
            if row.what == "spec.version" and row.more["state"] == "force" and row.more["version"] == 2
        )
        rows = self.good()
        self.assertFalse(
            [
                row
                for row in rows
                if row.what == "region.ran" and row.more["region"] == "west" and row.at > forced + SKEW
            ]
        )
        silent = [
            row
            for row in rows
            if row.what == "abroad.sent"
            and row.more["who"] == "w0"
            and row.at > forced
            and row.more["to"] == "west"
        ]
        self.assertEqual(silent, [])

    def test_loosened_by_a_committer_that_is_killed_before_it_tells_and_a_keeper_with_it(self):
        self.commit(2)
        self.forced(2)
        committer = self.commit(3, "south", offer="0.5")
        self.committed(3)
        committer.kill()
        self.kill("k0")
        rows = self.until(lambda rows: all(self.held(name, 3, rows) for name in NAMES), "all go by it")
        register = (self.folder / "register" / "000000003.toml").read_bytes()
        self.assertIn(b"# 3", register)
        early = [
            row
            for row in rows
            if row.what == "abroad.sent" and row.more["to"] == "west" and row.more["version"] >= 2
        ]
        self.assertEqual(early, [])
        self.good()

    def test_kill_9_and_back_with_the_old_disk_while_two_versions_are_about(self):
        disk = self.folder / "disk" / "n1-000000001.toml"
        old = disk.read_bytes()
        self.kill("n1")
        self.commit(2, "west")
        self.forced(2)
        back = time.monotonic()
        disk.write_bytes(old)
        self.start("member", "n1")
        rows = self.until(lambda rows: self.held("n1", 2, rows), "it learns of the new one")
        wrong = [
            row
            for row in rows
            if row.what == "abroad.sent"
            and row.more["who"] == "n1"
            and row.more["to"] == "south"
            and row.at > back * 10_000
        ]
        self.assertEqual(wrong, [])
        self.good()

    def test_cut_one_way_each_in_turn_and_then_ways_that_flap(self):
        keepers, members = [self.relays[name] for name in ("k0", "k1")], [self.relays[name] for name in NAMES]

        def abroad(rows):
            return [row.at for row in rows if row.what == "abroad.sent" and row.more["to"] != "north"]

        def quiet(rows):
            return time.monotonic() * 10_000 - abroad(rows)[-1] > 10_000

        self.until(abroad, "jobs go abroad")
        for relay in keepers:
            relay.cut = True  # askings are lost; what keepers tell of themselves comes

        self.until(quiet, "home alone")
        self.commit(2, "west")
        self.forced(2)
        for relay in keepers:
            relay.cut = False
        for relay in members:
            relay.cut = True  # answers are lost
        self.until(quiet, "home alone still")
        pause = threading.Event()
        committer = self.commit(3, "south", "west")
        for i in range(20):
            for relay in (*keepers, *members):
                relay.cut = i % 2 == 0
            pause.wait(0.15)
        committer.wait(20)
        for relay in (*keepers, *members):
            relay.cut = False
        self.forced(3)
        self.until(lambda rows: all(self.held(name, 3, rows) for name in NAMES), "all go by it")
        self.good()

    def test_a_spec_of_five_thousand_tables_comes_in_pieces_past_lost_ones(self):
        path = self.folder / "large.toml"
        path.write_text(
            spec("west")
            + "".join(f'[data.d{i}]\ncopies = {{ north = "0s" }}\nfetch = 0.25\n' for i in range(5000))
        )
        self.run_one("commit", str(self.ground), str(path), "--offer", "0.2")
        self.committed(2)
        self.relays["w0"].cut = True
        self.until(lambda rows: self.held("n0", 2, rows), "one has it", 60)
        self.relays["w0"].cut = False
        self.until(lambda rows: all(self.held(name, 2, rows) for name in NAMES), "all have it", 60)
        self.forced(2)
        self.good()


class AbroadStory(Processes):
    """Jobs without work, each with an effect in the log, by the choice and the lenders of real processes."""

    drives, first = "jobs = 10.0", JOBS

    def ran(self, rows, region, after=0, by=""):
        """Txns taken elsewhere that ran there."""
        return [
            row
            for row in rows
            if row.what == "region.ran"
            and row.more["region"] == region
            and row.at > after
            and (not by or row.more["txn"].startswith(by))
        ]

    def now(self):
        return time.monotonic() * 10_000

    def test_a_region_is_lost_and_comes_back_and_then_the_lender_is_lost(self):
        self.until(
            lambda rows: self.ran(rows, "west", by="n0"), "north's clients are served at home, in the west"
        )
        self.kill("w0")
        lost = self.now()
        self.until(lambda rows: len(self.ran(rows, "south", lost, "n0")) > 5, "south lends")
        self.kill("s0")
        lost = self.now()
        self.until(lambda rows: len(self.ran(rows, "north", lost, "n0")) > 5, "the last lends")
        self.start("member", "w0")
        self.start("member", "s0")
        back = self.now()
        self.until(lambda rows: len(self.ran(rows, "west", back, "n0")) > 20, "home again")
        self.good()

    def test_cut_one_way_each_in_turn_the_answer_of_a_once_only_job_is_lost_on_the_way_back(self):
        self.until(
            lambda rows: self.ran(rows, "west", by="s0"), "south's clients are served at home, in the west"
        )
        self.relays["s0"].cut = True  # what the south sends comes, the answers don't
        cut = self.now()

        def unknown(rows):
            ran = {
                row.more["txn"]
                for row in self.ran(rows, "west", cut, "s0")
                if row.more["kind"] == "once-only"
            }
            return [
                row
                for row in rows
                if row.what == "txn.answer" and row.more["txn"] in ran and row.more["outcome"] == "failed"
            ]

        self.until(unknown, "it ran, and its caller is told that nobody knows")
        self.relays["s0"].cut = False
        self.relays["w0"].cut = True  # now what others send to the west is lost
        cut = self.now()
        self.until(lambda rows: len(self.ran(rows, "south", cut, "s0")) > 5, "the next in order")
        self.relays["w0"].cut = False
        back = self.now()
        self.until(lambda rows: len(self.ran(rows, "west", back, "s0")) > 20, "home again")
        rows = self.good()
        ran = [
            row.more["txn"] for row in rows if row.what == "region.ran" and row.more["kind"] == "once-only"
        ]
        self.assertEqual(len(ran), len(set(ran)))
        declined = {
            row.more["txn"] for row in rows if row.what == "txn.answer" and row.more["outcome"] == "declined"
        }
        self.assertFalse(declined & set(ran))


class DoorStory(unittest.TestCase):
    """What comes from outside: datagrams of strangers, files that are wrong."""

    def test_a_datagram_that_is_cut_a_strangers_or_of_another_form_is_refused_by_its_reason(self):
        data = datagrams.encode(datagrams.Said("n", 1, datagrams.ASK, echo=3), b"k" * 16)
        self.assertEqual(datagrams.decode(data, b"k" * 16).echo, 3)
        for why, bad, key in (
            ("cut", data[:9], b"k" * 16),
            ("stranger", data, b"x" * 16),
            ("stranger", data[:-1] + b"!", b"k" * 16),
            ("cut", data + bytes(1200), b"k" * 16),
        ):
            with self.subTest(why), self.assertRaisesRegex(datagrams.Refused, why):
                datagrams.decode(bad, key)

    def test_a_text_in_pieces_counts_when_it_is_whole_and_is_what_its_digest_says(self):
        text = bytes(range(256)) * 9
        digest = hashlib.blake2b(text, digest_size=16).hexdigest()
        for told, found in ((digest, text), ("f" * 32, None)):
            pieces = datagrams.Pieces()
            self.assertEqual(pieces.begin(2, told, len(text)), 0)
            last = [
                pieces.took(
                    datagrams.Said(
                        "k",
                        1,
                        datagrams.TEXT,
                        number=2,
                        digest=told,
                        size=len(text),
                        first=i,
                        data=text[i * 1024 : (i + 1) * 1024],
                    )
                )
                for i in (2, 0, 0, 1)
            ]
            self.assertEqual(last, [None, None, None, found])

    def test_the_command_line_tells_each_fault_and_what_to_do(self):
        with tempfile.TemporaryDirectory() as folder:
            good, bad, ground = (Path(folder) / name for name in ("good.toml", "bad.toml", "ground.toml"))
            good.write_text(spec("west"))
            bad.write_text(spec("wset"))
            ground.write_text('key = "short"\nregister = "r"\nspec = "s"\nlog = "l"\n[members]\n[keepers]\n')
            for words, code, says in (
                (("check", good), 0, "1 schemes, 3 regions"),
                (("check", bad), 2, "the nearest known is west"),
                (("compare", good, good), 0, ""),
                (("member", ground, "n0"), 2, "[federation.key]"),
            ):
                done = subprocess.run(
                    [sys.executable, "-m", "pathsaddle.federation", *map(str, words)],
                    cwd=ROOT,
                    capture_output=True,
                    text=True,
                    timeout=60,
                    check=False,
                )
                self.assertEqual((done.returncode, says in done.stdout + done.stderr), (code, True), done)


if __name__ == "__main__":
    unittest.main()
