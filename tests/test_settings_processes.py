"""Shared settings as real processes: three keepers that vote, four members; SIGSTOP, kill -9, disks that are kept. What
members acted by is judged from their logs alone; each process dies with the test that started it."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from pathsaddle.emulator.events import Event, read
from pathsaddle.emulator.settings.judge import judge
from pathsaddle.errors import Error
from pathsaddle.settings.asking import ask
from pathsaddle.settings.forms import hashed
from tests.ports import tcp_port

ROOT = Path(__file__).resolve().parent.parent
KEEPERS = {"k0": "north", "k1": "south", "k2": "west"}
MEMBERS = {"m0": "north", "m1": "north", "m2": "south", "m3": "west"}
FOUNDING = "".join(f'[members.{name}]\nregion = "{region}"\n' for name, region in MEMBERS.items()) + "".join(
    f"[customers.c{i}]\nallowance = 100\n" for i in range(6))


def free(count, kind):
    """Addresses; each port is held until all are found, so that none comes twice."""
    if kind == socket.SOCK_STREAM:
        return [f"127.0.0.1:{tcp_port()}" for _ in range(count)]
    socks = [socket.socket(socket.AF_INET, kind) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    found = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]
    for sock in socks:
        sock.close()
    return found


class ProcessesStory(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.processes = Path(folder.name), {}
        udp = free(2 * len(KEEPERS) + len(MEMBERS), socket.SOCK_DGRAM)
        tcp = free(len(KEEPERS) + len(MEMBERS), socket.SOCK_STREAM)
        self.control = dict(zip((*KEEPERS, *MEMBERS), tcp, strict=True))
        lines = ['key = "sixteen bytes or more"', 'lease = "2s"', f'log = "{self.folder}/log"',
                 "[voters]", 'fleet = "f"', 'key = "sixteen other bytes"', 'lease = "600ms"',
                 "names = { " + ", ".join(f'{name} = "{udp.pop()}"' for name in KEEPERS) + " }"]
        for table, names in (("keepers", KEEPERS), ("members", MEMBERS)):
            for name, region in names.items():
                lines += [f"[{table}.{name}]", f'region = "{region}"', f'disk = "{self.folder}/{name}"',
                          f'control = "{self.control[name]}"', f'{"address" if name in KEEPERS else "listen"} = "{udp.pop()}"']
        self.ground = self.folder / "ground.toml"
        self.ground.write_text("\n".join(lines) + "\n")
        founding = [self.runs("-m", "pathsaddle.settings", "found", str(self.ground), "--keeper", name) for name in KEEPERS]
        for process in founding:
            self.assertEqual(process.wait(30), 0)
        for name in (*KEEPERS, *MEMBERS):
            self.starts(name)
        self.until(lambda: self.status("k0")["proved_ms"] is not None, "a majority of voters answers")
        done = self.cli("apply", self.file(FOUNDING), "--wait", "--reason", "the founding", "--at", str(self.ground))
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("in force", done.stdout)

    # Processes

    def runs(self, *words, **more):
        process = subprocess.Popen([sys.executable, *words], cwd=ROOT, start_new_session=True, text=True,
                                   **{"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL, **more})

        def end():
            if process.poll() is None:
                process.kill()
            process.communicate(timeout=10)
        self.addCleanup(end)
        return process

    def starts(self, name):
        words = ("keep", str(self.ground), "--keeper", name) if name in KEEPERS else (
            "follow", str(self.ground), "--member", name, "--acts", "25")
        self.processes[name] = self.runs("-m", "pathsaddle.settings", *words)

    def kills(self, *names):
        for name in names:
            self.processes[name].kill()
        for name in names:
            self.processes[name].wait(10)

    def signals(self, number, *names):
        for name in names:
            os.kill(self.processes[name].pid, number)

    def begins(self, *words):
        return self.runs("-m", "pathsaddle", "settings", *words, stdout=subprocess.PIPE, stderr=subprocess.PIPE)

    def cli(self, *words):
        process = self.begins(*words)
        out, err = process.communicate(timeout=60)
        return subprocess.CompletedProcess(words, process.returncode, out, err)

    def file(self, text):
        path = self.folder / f"change-{len(list(self.folder.glob('change-*')))}.toml"
        path.write_text(text)
        return str(path)

    # What is seen

    def status(self, name):
        """Of a process that may not be there, or not yet."""
        try:
            return ask(self.control[name], "status", 2.0)
        except Error as fault:
            return {"proved_ms": None, "revision": None, "force": None, "leased": None, "error": str(fault)}

    def rows(self):
        """All logs as one, by the moment; a last line may be half there."""
        found = []
        for path in sorted((self.folder / "log").glob("*.jsonl")):
            whole = path.read_bytes()
            path = self.folder / "read"
            path.write_bytes(whole[:whole.rfind(b"\n") + 1])
            found += read(path)
        return sorted(found, key=lambda row: row.at)

    def until(self, holds, what, bound=30.0):
        end, pause = time.monotonic() + bound, threading.Event()
        while time.monotonic() < end:
            found = holds()
            if found:
                return found
            pause.wait(0.05)
        self.fail(f"not within {bound} s: {what}; "
                  f"{ {name: self.status(name) for name, one in self.processes.items() if one.poll() is None} }")

    def acts(self, revision, *names, leased=True):
        """Until each of these logs an act by it."""
        def holds():
            rows = self.rows()
            return all(any(row.what == "acts" and row.more["who"] == name and row.more["revision"] >= revision
                           and row.more["leased"] >= leased for row in rows) for name in names)
        self.until(holds, f"{names} act by {revision}")

    def good(self):
        """The judge's word on all that members did, and no fault of ours."""
        rows, told, values = self.rows(), [], {}
        for row in rows:
            if row.what == "group" and row.more["revision"] not in {one.more["revision"] for one in told if one.what == "set"}:
                for key, value in row.more["puts"]:
                    if value is None:
                        values.pop(key, None)
                    else:
                        values[key] = value.encode()
                told.append(Event(row.at, "set", {**row.more, "whole": hashed(repr(sorted(values.items())).encode())}))
            elif row.what in ("force", "acts"):
                told.append(Event(row.at, row.what, {**row.more, "name": row.more["who"]}))
        self.assertEqual(judge(told, last=False), [])
        self.assertEqual([row for row in rows if row.what in ("driver.fault", "diverged", "refused", "full")], [])
        self.assertGreater(sum(one.what == "acts" for one in told), 50)
        return rows

    # Stories

    def test_two_authors_at_once_one_is_outrun_and_all_act_by_the_others_change(self):
        begun = [self.begins("apply", self.file(f"[customers.c0]\nallowance = {50 + i}\n"), "--expect", "1", "--reason", f"n{i}",
                             "--at", self.control[name], "--wait") for i, name in enumerate(("k0", "k1"))]
        done = [(process.communicate(timeout=60), process.returncode) for process in begun]
        self.assertEqual(sorted(code for _, code in done), [0, 1], done)
        outrun = next(err for (_, err), code in done if code)
        self.assertIn("[settings.outrun]", outrun)
        won = next(i for i, (_, code) in enumerate(done) if not code)
        self.assertIn(f"'n{won}'", outrun)
        self.acts(2, *MEMBERS)
        told = json.loads(self.cli("get", "customers.c0", "--at", str(self.ground), "--json").stdout)
        self.assertEqual((told["revision"], told["rows"]), (2, {"customers.c0": {"allowance": 50 + won}}))
        again = self.cli("apply", self.file(f"[customers.c0]\nallowance = {50 + won}\n"), "--at", self.control["k2"])
        self.assertEqual((again.returncode, "nothing changes" in again.stdout), (0, True), again)
        history = self.cli("history", "--at", self.control["k2"])
        self.assertRegex(history.stdout, rf"(?s)1 .* the founding .*\n2 .* n{won} .*customers.c0 = ")
        self.good()

    def test_a_member_stands_still_a_tightening_waits_for_it_by_name_and_is_in_force_once_it_goes_on(self):
        self.signals(signal.SIGSTOP, "m3")
        done = self.cli("apply", self.file("[customers.c1]\nallowance = 5\n"), "--wait", "--within", "3", "--at", str(self.ground))
        self.assertEqual(done.returncode, 1, done)
        self.assertIn("waits for m3", done.stdout)
        self.assertIn("[settings.waits]", done.stderr)
        self.acts(2, "m0", "m1", "m2")
        for name in KEEPERS:
            self.assertEqual(self.until(lambda name=name: self.status(name)["waits_for"] == ["m3"] and self.status(name),
                                        "all but one have said so")["force"], 1)
        shown = self.cli("status", "--at", self.control["k0"])
        self.assertRegex(shown.stdout, r"revision 2 waits for:\n +m3 +has revision 1")
        self.signals(signal.SIGCONT, "m3")
        for name in KEEPERS:
            self.until(lambda name=name: self.status(name)["force"] == 2, "in force")
        self.acts(2, "m3")
        self.good()

    def test_a_keeper_is_killed_others_serve_and_commit_and_it_comes_back_to_the_latest(self):
        self.kills("k0")
        done = self.cli("apply", self.file('[customers.c9]\nallowance = 9\n[customers.c2]\nallowance = 1\n'), "--wait",
                        "--at", str(self.ground))  # of which the first keeper doesn't answer
        self.assertEqual(done.returncode, 0, done)
        self.acts(2, *MEMBERS)
        self.starts("k0")
        self.until(lambda: (self.status("k0")["revision"], self.status("k0")["force"]) == (2, 2), "it has what it missed")
        done = self.cli("apply", self.file('remove = ["customers.c9"]\n'), "--expect", "2", "--wait", "--at", self.control["k0"])
        self.assertEqual(done.returncode, 0, done)
        self.acts(3, *MEMBERS)
        self.good()

    def test_without_a_majority_of_voters_it_is_said_and_nothing_is_left(self):
        self.signals(signal.SIGSTOP, "k1", "k2")
        with self.assertRaises(Error) as caught:
            ask(self.control["k0"], "apply", 20.0, rows={"customers.c3": {"allowance": 1}}, within=2.0)
        self.assertEqual((caught.exception.name, caught.exception.code), ("settings.no-majority", 1))
        self.assertIn("nothing was committed", str(caught.exception))
        self.until(lambda: not any(self.status(name)["leased"] for name in MEMBERS), "all go on alone")
        self.signals(signal.SIGCONT, "k1", "k2")
        done = self.cli("apply", self.file("[customers.c4]\nallowance = 7\n"), "--expect", "1", "--wait", "--at", self.control["k1"])
        self.assertEqual(done.returncode, 0, done)
        self.acts(2, *MEMBERS)
        told = ask(self.control["k2"], "get", key="customers")
        self.assertEqual([told["rows"][f"customers.c{i}"]["allowance"] for i in (3, 4)], [100, 7])
        self.assertEqual({row.more["digest"] for row in self.good() if row.what == "offered" and row.more["revision"] == 2},
                         {told["digest"]})  # the one that failed was offered to nobody

    def test_a_member_starts_with_every_keeper_gone_and_has_its_rows_and_says_how_old(self):
        done = self.cli("apply", self.file("[customers.c5]\nallowance = 3\n"), "--wait", "--at", str(self.ground))
        self.assertEqual(done.returncode, 0, done)
        self.kills(*KEEPERS, "m0")
        self.starts("m0")
        self.acts(2, "m0", leased=False)
        told = self.until(lambda: (one := self.status("m0"))["revision"] and one, "it answers")
        self.assertEqual((told["revision"], told["rows"], told["leased"], told["proved_ms"]), (2, 10, False, None))
        self.assertGreater(told["disk_age_ms"], 0)
        began = [row.more for row in self.rows() if row.what == "member.began" and row.more["who"] == "m0"][-1]
        self.assertEqual((began["revision"], began["rows"]), (2, 10))
        self.assertGreater(began["age_ms"], 0)
        rows = ask(self.control["m0"], "get", key="customers.c5")["rows"]
        self.assertEqual(rows, {"customers.c5": {"allowance": 3}})
        done = self.cli("status", "--at", str(self.ground))
        self.assertEqual((done.returncode, "[settings.unreached]" in done.stderr), (1, True), done)
        for name in KEEPERS:
            self.starts(name)
        self.until(lambda: self.status("m0")["leased"], "it has a lease again")
        self.good()


if __name__ == "__main__":
    unittest.main()
