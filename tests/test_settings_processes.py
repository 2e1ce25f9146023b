"""Shared settings as real processes: three keepers that vote, four members; SIGSTOP, kill -9, disks that are kept. What
members acted by is judged from their logs alone; each process dies with the test that started it.
"""

import asyncio
import contextlib
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from random import Random

from pathsaddle.emulator.ground.air import Air, Blight, Meter
from pathsaddle.emulator.ground.ports import udp_places
from pathsaddle.emulator.ground.relays import Relays
from pathsaddle.emulator.settings.judge import judge
from pathsaddle.errors import Error
from pathsaddle.event_log import Event, read
from pathsaddle.net.wire.terms import parse_peer
from pathsaddle.settings.control_client import query
from pathsaddle.settings.documents import content_hash
from tests.ports import tcp_port

ROOT = Path(__file__).resolve().parent.parent
MIN_APPLICATIONS = 50  # logged by all members, for a judgement of them to mean something
KEEPERS = {"k0": "north", "k1": "south", "k2": "west"}
MEMBERS = {"m0": "north", "m1": "north", "m2": "south", "m3": "west"}
FOUNDING = "".join(f'[members.{name}]\nregion = "{region}"\n' for name, region in MEMBERS.items()) + "".join(
    f"[customers.c{i}]\nallowance = 100\n" for i in range(6)
)


def free(count, kind):
    """Addresses that no other process is given."""
    if kind == socket.SOCK_STREAM:
        return [f"127.0.0.1:{tcp_port()}" for _ in range(count)]
    return udp_places(count)


class Ways(Relays):
    """What keepers and members say to one another, through sockets of ours, in a thread of its own: ways that are cut, and what
    each sent and got in any second. Voters' ways are their own.
    """

    def __init__(self, ways):
        self.began = time.monotonic()
        self.got = {name: Meter() for name in ways}
        self.events = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.events.run_forever)
        self.thread.start()
        air = Air(Random(1), lambda sender, taker: 0.0)
        air.meters = {name: Meter() for name in ways}
        asyncio.run_coroutine_threadsafe(self.binds(air, ways), self.events).result(10)

    async def binds(self, air, ways):
        super().__init__(lambda: int((time.monotonic() - self.began) * 10_000), air, ways)

    def _go(self, sender, taker, data):
        self.got[taker].add(self.now() / 10_000, len(data))
        super()._go(sender, taker, data)

    def cut(self, sender, taker):
        """One way; the blight, to be mended by."""
        blight = Blight(frozenset((sender,)), frozenset((taker,)), oneway=True, lost=1.0)
        self.does(lambda: self.air.blights.update({blight: None}))
        return blight

    def mend(self, blight):
        self.does(lambda: self.air.blights.pop(blight))

    def does(self, call):
        async def there():
            call()

        asyncio.run_coroutine_threadsafe(there(), self.events).result(10)

    def end(self):
        self.does(super().end)
        self.events.call_soon_threadsafe(self.events.stop)
        self.thread.join(10)
        self.events.close()


class VotersWays:
    """Voters' ways: each has an address of ours. Who comes there gets a socket of its own here, as behind a translated
    address, since who commits stands for the register by a port that nobody knows before. `cut`: (sender, taker) names whose
    datagrams are lost; anybody else is "": a keeper's committing too, whosever it is.
    """

    def __init__(self, ways):
        self.own = {name: parse_peer(own) for name, (own, _) in ways.items()}
        self.names = {peer: name for name, peer in self.own.items()}
        self.cuts, self.lost, self.guests, self.over = set(), 0, {}, False
        self.selector = selectors.DefaultSelector()
        for name, (_, ours) in ways.items():
            self.opens(
                parse_peer(ours), lambda sock, data, source, taker=name: self.comes(sock, data, source, taker)
            )
        self.thread = threading.Thread(target=self.carries)
        self.thread.start()

    def opens(self, where, does):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind(where)
        self.selector.register(sock, selectors.EVENT_READ, does)
        return sock

    def carries(self):
        while not self.over:
            for key, _ in self.selector.select(0.1):
                with contextlib.suppress(OSError):
                    key.data(key.fileobj, *key.fileobj.recvfrom(65_536))

    def comes(self, sock, data, source, taker):
        if (source, taker) not in self.guests:
            self.guests[source, taker] = self.opens(
                ("127.0.0.1", 0),
                lambda _, data, __: self.goes(sock, data, source, taker, self.names.get(source, "")),
            )
        self.goes(self.guests[source, taker], data, self.own[taker], self.names.get(source, ""), taker)

    def goes(self, sock, data, to, sender, taker):
        if (sender, taker) in self.cuts:
            self.lost += 1
        else:
            sock.sendto(data, to)

    def cut(self, *ways):
        """So long as the block lasts."""

        @contextlib.contextmanager
        def block():
            self.cuts |= set(ways)
            try:
                yield
            finally:
                self.cuts -= set(ways)

        return block()

    def end(self):
        self.over = True
        self.thread.join(10)
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()
        self.selector.close()


class Stand(unittest.TestCase):
    relayed = False
    voters_relayed = False

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.processes = Path(folder.name), {}
        udp = free(4 * len(KEEPERS) + 2 * len(MEMBERS), socket.SOCK_DGRAM)
        votes = {name: (udp.pop(), udp.pop()) for name in KEEPERS}
        tcp = free(len(KEEPERS) + len(MEMBERS), socket.SOCK_STREAM)
        self.control = dict(zip((*KEEPERS, *MEMBERS), tcp, strict=True))
        lines = [
            'key = "sixteen bytes or more"',
            'lease = "2s"',
            f'log = "{self.folder}/log"',
            "[voters]",
            'fleet = "f"',
            'key = "sixteen other bytes"',
            'lease = "600ms"',
            "names = { " + ", ".join(f'{name} = "{ours}"' for name, (_, ours) in votes.items()) + " }",
        ]
        own = {name: udp.pop() for name in (*KEEPERS, *MEMBERS)}
        ours = {name: udp.pop() if self.relayed else own[name] for name in own}
        for table, names in (("keepers", KEEPERS), ("members", MEMBERS)):
            for name, region in names.items():
                lines += [
                    f"[{table}.{name}]",
                    f'region = "{region}"',
                    f'disk = "{self.folder}/{name}"',
                    f'control = "{self.control[name]}"',
                    f'listen = "{own[name]}"',
                ]
                lines += [f'address = "{ours[name]}"'] * (name in KEEPERS)
                if name in KEEPERS and self.voters_relayed:
                    lines.append(f'votes_at = "{votes[name][0]}"')
        if self.relayed:
            self.ways = Ways({name: (own[name], ours[name]) for name in own})
            self.addCleanup(self.ways.end)
        if self.voters_relayed:
            self.voters = VotersWays(votes)
            self.addCleanup(self.voters.end)
        self.ground = self.folder / "ground.toml"
        self.ground.write_text("\n".join(lines) + "\n")
        founding = [
            self.runs("-m", "pathsaddle.settings", "found", str(self.ground), "--keeper", name)
            for name in KEEPERS
        ]
        for process in founding:
            self.assertEqual(process.wait(30), 0)
        for name in (*KEEPERS, *MEMBERS):
            self.starts(name)
        self.until(lambda: self.status("k0")["proved_ms"] is not None, "a majority of voters answers")
        done = self.cli(
            "apply", self.file(FOUNDING), "--wait", "--reason", "the founding", "--at", str(self.ground)
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("in force", done.stdout)

    # Processes

    def runs(self, *words, **more):
        process = subprocess.Popen(
            [sys.executable, *words],
            cwd=ROOT,
            start_new_session=True,
            text=True,
            **{"stdout": subprocess.DEVNULL, "stderr": subprocess.DEVNULL, **more},
        )

        def end():
            if process.poll() is None:
                process.kill()
            process.communicate(timeout=10)

        self.addCleanup(end)
        return process

    def starts(self, name):
        words = (
            ("keep", str(self.ground), "--keeper", name)
            if name in KEEPERS
            else ("follow", str(self.ground), "--member", name, "--acts", "25")
        )
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
        return self.runs(
            "-m", "pathsaddle", "settings", *words, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )

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
            return query(self.control[name], "status", 2.0)
        except Error as fault:
            return {"proved_ms": None, "revision": None, "force": None, "leased": None, "error": str(fault)}

    def rows(self):
        """All logs as one, by the moment; a last line may be half there."""
        found = []
        for path in sorted((self.folder / "log").glob("*.jsonl")):
            whole = path.read_bytes()
            path = self.folder / "read"
            path.write_bytes(whole[: whole.rfind(b"\n") + 1])
            found += read(path)
        return sorted(found, key=lambda row: row.at)

    def until(self, holds, what, bound=30.0):
        end, pause = time.monotonic() + bound, threading.Event()
        while time.monotonic() < end:
            found = holds()
            if found:
                return found
            pause.wait(0.05)
        self.fail(
            f"not within {bound} s: {what}; "
            f"{ {name: self.status(name) for name, one in self.processes.items() if one.poll() is None} }"
        )

    def acts(self, revision, *names, leased=True):
        """Until each of these logs an act by it."""

        def holds():
            rows = self.rows()
            return all(
                any(
                    row.what == "acts"
                    and row.more["who"] == name
                    and row.more["revision"] >= revision
                    and row.more["leased"] >= leased
                    for row in rows
                )
                for name in names
            )

        self.until(holds, f"{names} act by {revision}")

    def good(self):
        """The judge's word on all that members did, and no fault of ours.

        The members go on until they have logged enough to judge: a busy machine makes them slow.
        """
        self.until(
            lambda: sum(row.what == "acts" for row in self.rows()) > MIN_APPLICATIONS,
            f"more than {MIN_APPLICATIONS} applications are logged",
        )
        rows, told, values = self.rows(), [], {}
        for row in rows:
            if row.what == "group" and row.more["revision"] not in {
                one.more["revision"] for one in told if one.what == "set"
            }:
                for key, value in row.more["puts"]:
                    if value is None:
                        values.pop(key, None)
                    else:
                        values[key] = value.encode()
                told.append(
                    Event(
                        row.at,
                        "set",
                        {**row.more, "whole": content_hash(repr(sorted(values.items())).encode())},
                    )
                )
            elif row.what in ("force", "acts"):
                told.append(Event(row.at, row.what, {**row.more, "name": row.more["who"]}))
        self.assertEqual(judge(told, last=False), [])
        self.assertEqual(
            [row for row in rows if row.what in ("driver.fault", "diverged", "refused", "full")], []
        )
        self.assertGreater(sum(one.what == "acts" for one in told), MIN_APPLICATIONS)
        return rows


class ProcessesStory(Stand):
    def test_two_authors_at_once_one_is_outrun_and_all_act_by_the_others_change(self):
        begun = [
            self.begins(
                "apply",
                self.file(f"[customers.c0]\nallowance = {50 + i}\n"),
                "--expect",
                "1",
                "--reason",
                f"n{i}",
                "--at",
                self.control[name],
                "--wait",
            )
            for i, name in enumerate(("k0", "k1"))
        ]
        done = [(process.communicate(timeout=60), process.returncode) for process in begun]
        self.assertEqual(sorted(code for _, code in done), [0, 1], done)
        outrun = next(err for (_, err), code in done if code)
        self.assertIn("[settings.outrun]", outrun)
        won = next(i for i, (_, code) in enumerate(done) if not code)
        self.assertIn(f"'n{won}'", outrun)
        self.acts(2, *MEMBERS)
        told = json.loads(self.cli("get", "customers.c0", "--at", str(self.ground), "--json").stdout)
        self.assertEqual((told["revision"], told["rows"]), (2, {"customers.c0": {"allowance": 50 + won}}))
        again = self.cli(
            "apply", self.file(f"[customers.c0]\nallowance = {50 + won}\n"), "--at", self.control["k2"]
        )
        self.assertEqual((again.returncode, "nothing changes" in again.stdout), (0, True), again)
        history = self.cli("history", "--at", self.control["k2"])
        self.assertRegex(history.stdout, rf"(?s)1 .* the founding .*\n2 .* n{won} .*customers.c0 = ")
        self.good()

    def test_a_member_stands_still_a_tightening_waits_for_it_by_name_and_is_in_force_once_it_goes_on(self):
        self.signals(signal.SIGSTOP, "m3")
        done = self.cli(
            "apply",
            self.file("[customers.c1]\nallowance = 5\n"),
            "--wait",
            "--within",
            "3",
            "--at",
            str(self.ground),
        )
        self.assertEqual(done.returncode, 1, done)
        self.assertIn("waits for m3", done.stdout)
        self.assertIn("[settings.waits]", done.stderr)
        self.acts(2, "m0", "m1", "m2")
        for name in KEEPERS:
            self.assertEqual(
                self.until(
                    lambda name=name: self.status(name)["waits_for"] == ["m3"] and self.status(name),
                    "all but one have said so",
                )["force"],
                1,
            )
        shown = self.cli("status", "--at", self.control["k0"])
        self.assertRegex(shown.stdout, r"revision 2 waits for:\n +m3 +has revision 1")
        self.signals(signal.SIGCONT, "m3")
        for name in KEEPERS:
            self.until(lambda name=name: self.status(name)["force"] == 2, "in force")
        self.acts(2, "m3")
        self.good()

    def test_a_keeper_is_killed_others_serve_and_commit_and_it_comes_back_to_the_latest(self):
        self.kills("k0")
        done = self.cli(
            "apply",
            self.file("[customers.c9]\nallowance = 9\n[customers.c2]\nallowance = 1\n"),
            "--wait",
            "--at",
            str(self.ground),
        )  # of which the first keeper doesn't answer
        self.assertEqual(done.returncode, 0, done)
        self.acts(2, *MEMBERS)
        self.starts("k0")
        self.until(
            lambda: (self.status("k0")["revision"], self.status("k0")["force"]) == (2, 2),
            "it has what it missed",
        )
        done = self.cli(
            "apply",
            self.file('remove = ["customers.c9"]\n'),
            "--expect",
            "2",
            "--wait",
            "--at",
            self.control["k0"],
        )
        self.assertEqual(done.returncode, 0, done)
        self.acts(3, *MEMBERS)
        self.good()

    def test_without_a_majority_of_voters_it_is_said_and_nothing_is_left(self):
        self.signals(signal.SIGSTOP, "k1", "k2")
        with self.assertRaises(Error) as caught:
            query(self.control["k0"], "apply", 20.0, rows={"customers.c3": {"allowance": 1}}, within=2.0)
        self.assertEqual((caught.exception.name, caught.exception.code), ("settings.no-majority", 1))
        self.assertIn("nothing was committed", str(caught.exception))
        self.until(lambda: not any(self.status(name)["leased"] for name in MEMBERS), "all go on alone")
        self.signals(signal.SIGCONT, "k1", "k2")
        done = self.cli(
            "apply",
            self.file("[customers.c4]\nallowance = 7\n"),
            "--expect",
            "1",
            "--wait",
            "--at",
            self.control["k1"],
        )
        self.assertEqual(done.returncode, 0, done)
        self.acts(2, *MEMBERS)
        told = query(self.control["k2"], "get", key="customers")
        self.assertEqual([told["rows"][f"customers.c{i}"]["allowance"] for i in (3, 4)], [100, 7])
        self.assertEqual(
            {
                row.more["digest"]
                for row in self.good()
                if row.what == "offered" and row.more["revision"] == 2
            },
            {told["digest"]},
        )  # the one that failed was offered to nobody

    def test_a_member_starts_with_every_keeper_gone_and_has_its_rows_and_says_how_old(self):
        done = self.cli(
            "apply", self.file("[customers.c5]\nallowance = 3\n"), "--wait", "--at", str(self.ground)
        )
        self.assertEqual(done.returncode, 0, done)
        self.kills(*KEEPERS, "m0")
        self.starts("m0")
        self.acts(2, "m0", leased=False)
        told = self.until(lambda: (one := self.status("m0"))["revision"] and one, "it answers")
        self.assertEqual(
            (told["revision"], told["rows"], told["leased"], told["proved_ms"]), (2, 10, False, None)
        )
        self.assertGreater(told["disk_age_ms"], 0)
        began = [row.more for row in self.rows() if row.what == "member.began" and row.more["who"] == "m0"][
            -1
        ]
        self.assertEqual((began["revision"], began["rows"]), (2, 10))
        self.assertGreater(began["age_ms"], 0)
        rows = query(self.control["m0"], "get", key="customers.c5")["rows"]
        self.assertEqual(rows, {"customers.c5": {"allowance": 3}})
        done = self.cli("status", "--at", str(self.ground))
        self.assertEqual((done.returncode, "[settings.unreached]" in done.stderr), (1, True), done)
        for name in KEEPERS:
            self.starts(name)
        self.until(lambda: self.status("m0")["leased"], "it has a lease again")
        self.good()

    def test_authors_that_wait_are_committed_together_and_who_is_refused_or_outrun_leaves_the_others_whole(
        self,
    ):
        asked = [
            {"rows": {f"customers.c{i}": {"allowance": 10 + i}}, "reason": f"n{i}"} for i in range(6)
        ] + [
            {"rows": {"customers.c0": {"allowance": 1}}, "expect": 0, "reason": "late"},
            {"rows": {}, "remove": ["customers.nobody"], "reason": "no such"},
            {"rows": {"rules": {"nonsense": 1}}, "reason": "no rule"},
        ]
        told = {}

        def author(one):
            try:
                told[one["reason"]] = query(self.control["k0"], "apply", 40.0, within=30.0, **one)
            except Error as fault:
                told[one["reason"]] = fault

        authors = [threading.Thread(target=author, args=(one,)) for one in asked]
        for one in authors:
            one.start()
        for one in authors:
            one.join(60)
        self.assertEqual(
            [told[name].name for name in ("late", "no such", "no rule")],
            ["settings.outrun", "settings.refused", "settings.refused"],
        )
        self.assertEqual(sorted(told[f"n{i}"]["revision"] for i in range(6)), list(range(2, 8)))
        self.acts(7, *MEMBERS)
        rows = query(self.control["k2"], "get", key="customers")["rows"]
        self.assertEqual([rows[f"customers.c{i}"]["allowance"] for i in range(6)], list(range(10, 16)))
        groups = {row.more["revision"]: row.more["reason"] for row in self.good() if row.what == "group"}
        self.assertEqual(
            {revision: groups[revision] for revision in range(2, 8)},
            {told[f"n{i}"]["revision"]: f"n{i}" for i in range(6)},
        )


class VotersWaysStory(Stand):
    """What voters say to one another and to who commits is lost, one way or both; settings' own ways stand."""

    voters_relayed = True

    def changes(self, at, revision, key, most, within=30.0):
        told = query(self.control[at], "apply", within + 10.0, rows={key: {"allowance": most}}, within=within)
        self.assertEqual((told["revision"], told["changed"]), (revision, True))

    def test_one_voter_of_three_hears_nobody_or_is_heard_by_nobody_and_changes_go_on(self):
        others = {name: [one for one in ("", *KEEPERS) if one != name] for name in KEEPERS}
        with self.voters.cut(*((one, "k1") for one in others["k1"])):  # it hears nobody, and is heard
            self.changes("k0", 2, "customers.c0", 11)
            self.acts(2, *MEMBERS)
        with self.voters.cut(*(("k2", one) for one in others["k2"])):  # nobody hears it
            self.changes("k0", 3, "customers.c1", 12)
            self.acts(3, *MEMBERS)
        with self.voters.cut(("k0", "k1"), ("k1", "k2")):  # of the three pairs one has both its ways
            self.changes("k0", 4, "customers.c2", 13)
            self.acts(4, *MEMBERS)
        self.assertGreater(self.voters.lost, 0)
        self.changes("k1", 5, "customers.c3", 14)
        self.acts(5, *MEMBERS)
        self.good()

    def test_no_voter_hears_who_commits_nothing_is_committed_and_members_go_on(self):
        with self.voters.cut(*(("", name) for name in KEEPERS)), self.assertRaises(Error) as caught:
            query(self.control["k0"], "apply", 20.0, rows={"customers.c0": {"allowance": 1}}, within=2.0)
        self.assertEqual(caught.exception.name, "settings.no-majority")
        self.assertEqual({self.status(name)["revision"] for name in MEMBERS}, {1})
        self.changes("k1", 2, "customers.c1", 2)
        self.acts(2, *MEMBERS)
        rows = query(self.control["m0"], "get", key="customers")["rows"]
        self.assertEqual([rows[f"customers.c{i}"]["allowance"] for i in (0, 1)], [100, 2])
        self.good()

    def test_who_commits_hears_no_voter_and_what_may_have_been_taken_is_told_as_such_or_never_was(self):
        """The answers are lost, not the askings: a change may stand in the register while its author hears nothing."""
        with self.voters.cut(*((name, "") for name in KEEPERS)), self.assertRaises(Error) as caught:
            query(self.control["k0"], "apply", 20.0, rows={"customers.c0": {"allowance": 1}}, within=2.0)
        self.assertEqual(caught.exception.name, "settings.no-majority")
        self.changes("k1", 2, "customers.c1", 2)  # nobody owned the key, so nothing had been taken
        self.acts(2, *MEMBERS)
        self.good()

    def test_each_voter_hears_one_of_the_two_others_and_a_change_may_stand_though_nobody_can_tell(self):
        """No pair has both its ways, so no keeper has a majority that answers; who commits reaches all three."""
        with self.voters.cut(("k0", "k1"), ("k1", "k2"), ("k2", "k0")), self.assertRaises(Error) as caught:
            query(self.control["k0"], "apply", 20.0, rows={"customers.c0": {"allowance": 1}}, within=3.0)
        self.assertEqual(caught.exception.name, "settings.no-majority")
        told = query(self.control["k1"], "apply", 40.0, rows={"customers.c0": {"allowance": 1}}, within=30.0)
        self.assertEqual(
            told["revision"], 2, "applied again it is the same change, whether the first stood or not"
        )
        if "nothing was committed" in str(caught.exception):
            self.assertTrue(told["changed"])
        self.acts(2, *MEMBERS)
        self.assertEqual(
            {
                row.more["puts"][0][0]
                for row in self.good()
                if row.what == "group" and row.more["revision"] == 2
            },
            {"customers.c0"},
        )

    def test_all_voters_ways_are_cut_for_longer_than_a_lease_and_nobody_goes_back(self):
        every = [(one, other) for one in ("", *KEEPERS) for other in ("", *KEEPERS)]
        self.changes("k0", 2, "customers.c0", 5)
        self.acts(2, *MEMBERS)
        with self.voters.cut(*every):
            self.until(
                lambda: not any(self.status(name)["leased"] for name in MEMBERS),
                "nobody proves anything any more",
            )
            self.assertEqual({self.status(name)["revision"] for name in MEMBERS}, {2})
        self.until(lambda: all(self.status(name)["leased"] for name in MEMBERS), "they have leases again")
        self.changes("k2", 3, "customers.c0", 6)
        self.acts(3, *MEMBERS)
        self.good()


class WaysStory(Stand):
    relayed = True

    def changes(self, at, revision, **rows):
        """Committed at that keeper as that revision."""
        told = query(
            self.control[at],
            "apply",
            40.0,
            rows={f"customers.{name}": {"allowance": most} for name, most in rows.items()},
            within=30.0,
        )
        self.assertEqual((told["revision"], told["changed"]), (revision, True))

    def in_force(self, revision, *names):
        for name in names:
            self.until(
                lambda name=name: self.status(name)["force"] == revision, f"{revision} in force, by {name}"
            )

    def test_single_ways_are_cut_and_who_hears_or_is_heard_by_another_keeper_has_each_change(self):
        cut = self.ways.cut("k0", "m0")  # m0 is heard, and hears nothing of its keeper
        self.until(lambda: self.status("m0")["keeper"] != "k0", "it asks another")
        self.changes("k0", 2, c0=5)
        self.in_force(2, *KEEPERS)
        self.acts(2, *MEMBERS)
        self.ways.mend(cut)

        cut = self.ways.cut("m1", "k0")  # m1 hears its keeper, and isn't heard
        self.until(lambda: self.status("m1")["keeper"] != "k0", "it asks another")
        self.changes("k0", 3, c1=5)
        self.in_force(3, *KEEPERS)
        self.acts(3, *MEMBERS)
        self.ways.mend(cut)

        self.assertNotIn("m2", [*self.status("k0")["clients"], *self.status("k2")["clients"]])
        cuts = [self.ways.cut("k1", name) for name in ("k0", "k2")]  # what m2 says to have goes to k1 alone
        self.changes("k0", 4, c2=5)
        self.in_force(4, "k1")
        for name in ("k0", "k2"):
            self.until(
                lambda name=name: self.status(name)["waits_for"] == ["m2"], f"{name} knows of all but one"
            )
            self.assertEqual(self.status(name)["force"], 3)
        for cut in cuts:
            self.ways.mend(cut)
        self.in_force(4, *KEEPERS)

        cuts = [self.ways.cut("k0", "k1"), self.ways.cut("k2", "k1")]  # k1 hears the voters, and no keeper
        self.changes("k0", 5, c3=5)
        self.until(lambda: self.status("k1")["known"] == 5, "it reads that there is one")
        self.assertEqual((self.status("k1")["revision"], self.status("k1")["waits_for"]), (4, ["?"]))
        self.in_force(5, "k0", "k2")  # who asked k1 asks another
        self.acts(5, *MEMBERS)
        for cut in cuts:
            self.ways.mend(cut)
        self.in_force(5, "k1")
        self.good()

    def test_a_keeper_dies_between_offer_and_change_and_what_was_offered_never_was(self):
        """What keepers answer to the one that commits is cut off: all have its offer on disk, and the register isn't asked."""
        cuts = [self.ways.cut(name, "k0") for name in ("k1", "k2")]
        told = []

        def author(i):
            with self.assertRaises(Error) as caught:
                query(
                    self.control["k0"],
                    "apply",
                    40.0,
                    rows={f"customers.c{i}": {"allowance": 1 + i}},
                    within=30.0,
                )
            told.append(caught.exception.name)

        authors = [threading.Thread(target=author, args=(i,)) for i in range(3)]
        for one in authors:
            one.start()
        for name in ("k1", "k2", *MEMBERS):
            self.until(lambda name=name: 2 in self.status(name)["offers"], f"{name} holds the offer")
        self.kills("k0")
        for one in authors:
            one.join(60)
        self.assertEqual(told, ["settings.unreached"] * 3)
        for cut in cuts:
            self.ways.mend(cut)
        held = query(self.control["m0"], "get", key="customers")
        self.assertEqual(
            (held["revision"], sorted(row["allowance"] for row in held["rows"].values())[1:]), (1, [100] * 5)
        )
        self.assertEqual({self.status(name)["known"] for name in ("k1", "k2")}, {1})
        self.changes("k1", 2, c4=7)  # what it may do until then is what both allow
        self.acts(2, *MEMBERS)
        rows = query(self.control["m0"], "get", key="customers")["rows"]
        self.assertEqual(
            [rows[f"customers.c{i}"]["allowance"] for i in range(6)], [100, 100, 100, 100, 7, 100]
        )
        self.starts("k0")  # with the offer on its disk
        self.until(
            lambda: (self.status("k0")["revision"], self.status("k0")["force"]) == (2, 2),
            "it has what it missed",
        )
        self.changes("k0", 3, c0=50)
        self.in_force(3, *KEEPERS)
        self.acts(3, *MEMBERS)
        self.good()

    def test_a_hundred_changes_within_a_minute_all_in_force_and_no_second_over_what_a_process_may_send(self):
        """Drawn moments over 20 s, three times as close as they may come; some rows twice, most at one keeper; a thread each."""
        chance, began, told = Random(7), time.monotonic(), {}
        ended, pause = [], threading.Event()

        def author(number, moment, at, key, most):
            pause.wait(max(0.0, began + moment - time.monotonic()))
            try:
                told[number] = query(
                    self.control[at],
                    "apply",
                    40.0,
                    rows={key: {"allowance": most}},
                    author="drawn",
                    reason=f"change {number}",
                    within=30.0,
                )
            except Error as fault:
                told[number] = fault
            ended.append(time.monotonic())

        drawn = sorted(chance.uniform(0.0, 20.0) for _ in range(100))
        authors = [
            threading.Thread(
                target=author,
                args=(
                    i,
                    moment,
                    "k1" if i % 10 == 9 else "k0",
                    f"customers.c{chance.randrange(12)}",
                    1000 + i,
                ),
            )
            for i, moment in enumerate(drawn)
        ]
        for one in authors:
            one.start()
        for one in authors:
            one.join(100)
        self.assertEqual([one for one in told.values() if isinstance(one, Error) or not one["changed"]], [])
        self.assertEqual(sorted(one["revision"] for one in told.values()), list(range(2, 102)))
        self.assertLess(max(ended) - began, 60.0)
        self.in_force(101, *KEEPERS)
        self.acts(101, *MEMBERS)
        self.took = time.monotonic() - began
        groups = {row.more["revision"]: row.more["reason"] for row in self.good() if row.what == "group"}
        self.assertEqual(
            {revision: groups[revision] for revision in range(2, 102)},
            {one["revision"]: f"change {number}" for number, one in told.items()},
        )
        for name in MEMBERS:
            self.assertLess(self.ways.air.meters[name].most(0), 13_000, name)
            self.assertLess(self.ways.got[name].most(0), 13_000, name)
        for name in KEEPERS:
            self.assertLess(self.ways.air.meters[name].most(0), 200_000, name)


if __name__ == "__main__":
    unittest.main()
