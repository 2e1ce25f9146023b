"""Stories of what an operator is told: each error raised by its real cause, its sentence read; the page that lists them;
defects inside the membership's core, caught at its driver.
"""

import asyncio
import contextlib
import errno
import importlib
import io
import json
import os
import pickle
import pkgutil
import re
import signal
import socket
import sqlite3
import struct
import subprocess
import sys
import tempfile
import threading
import unittest
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any, Self
from unittest import mock

import pathsaddle
from pathsaddle import errors
from pathsaddle.cli.main import main
from pathsaddle.config.loader import read_configuration
from pathsaddle.config.validation import ConfigKeyError, InvalidConfigError
from pathsaddle.consensus.acceptor_log import create_log as begins_register
from pathsaddle.emulator import stage
from pathsaddle.emulator.ground import ports
from pathsaddle.emulator.ground.ports import udp_places
from pathsaddle.emulator.hollow import control
from pathsaddle.emulator.hollow import workers as hollow
from pathsaddle.experiment import scale, slope, throughput
from pathsaddle.experiment.keep import Result, Store
from pathsaddle.experiment.run import tree
from pathsaddle.federation.disk import FolderRegister
from pathsaddle.federation.spec import load as load_spec
from pathsaddle.federation.spec import parse
from pathsaddle.federation.udp_driver import ground_of
from pathsaddle.fleet import control_client
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.fleet.membership import MembershipOptions
from pathsaddle.fleet.udp_driver import MAX_TIMER_FAILURES, MembershipConfig, MembershipDriver
from pathsaddle.histories.logs import write
from pathsaddle.histories.planted import wrong
from pathsaddle.jobs.errors import StoreSchemaTooNewError
from pathsaddle.jobs.store import Store as JobStore
from pathsaddle.jobs.store_writer import ThreadWriter
from pathsaddle.leased_versions import Version
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Environment
from pathsaddle.net.service.place import bind_error
from pathsaddle.settings.changes import changes_from_tables
from pathsaddle.settings.cluster_file import load_cluster_file as settings_ground
from pathsaddle.settings.driver_config import DriverConfig as SettingsTold
from pathsaddle.settings.register_session import VoterConfig
from pathsaddle.settings.server_driver import ConfigServerDriver

ROOT = Path(__file__).resolve().parent.parent
GOOD = 'listen = "127.0.0.1:0"\ndiscovery = "127.0.0.1:9"\nname = "d"\n'
SCHEME = '[[schemes]]\nname = "a"\nsemantics = "repeatable"\nexpiry = "5s"\n'
FLEET = '[fleet]\nname = "f"\nkey = "sixteen bytes or more"\nlisten = "127.0.0.1:7"\n'
PLAN = (
    'name = "p"\nseconds = 2\n[fleet]\ndispatchers = 1\n[charter]\n[[charter.schemes]]\nname = "a"\n'
    'semantics = "repeatable"\nexpiry = "2s"\n'
)
KEY = "sixteen bytes or more"
KNOWN: set[str] = set()  # names that some story here has met, each by its cause
RAN: set[str] = set()  # the stories that have run


def load_all() -> None:
    for found in pkgutil.walk_packages(pathsaddle.__path__, "pathsaddle."):
        if not found.name.endswith("__main__"):
            importlib.import_module(found.name)


class Reading(unittest.TestCase):
    """What all stories here do: bring an error about, and read it."""

    def setUp(self) -> None:
        RAN.add(self.id())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, text: str, name: str = "c.toml") -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def reads(self, said: str, name: str, *words: object) -> None:
        """The sentence has what happened, what can be done with the very thing meant, and its name; no bare word of
        the kernel's or the library's.
        """
        KNOWN.add(name)
        self.assertIn(f" [{name}]", said)
        line = next(line for line in said.splitlines() if f"[{name}]" in line)
        self.assertIn("; ", line)
        for word in words:
            self.assertIn(str(word), line)
        for bare in ("Errno", "Traceback", "Error(", "{", "None"):
            self.assertNotIn(bare, line)

    def command(self, *told: str) -> tuple[int, str]:
        said = io.StringIO()
        with (
            contextlib.redirect_stderr(said),
            contextlib.redirect_stdout(io.StringIO()),
            mock.patch.object(sys, "argv", ["pathsaddle", *told]),
        ):
            try:
                code = main()
            except SystemExit as end:
                code = int(end.code or 0)
        return code, said.getvalue()

    def says(self, told: tuple[str, ...], code: int, name: str, *words: object) -> None:
        got, said = self.command(*told)
        self.assertEqual(got, code, said)
        self.reads(said, name, *words)

    def process(self, *told: str, **more: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "pathsaddle", *told],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
            env={**os.environ, **more},
        )
        return done.returncode, done.stderr


def places(count: int, kind: int = socket.SOCK_STREAM) -> list[str]:
    """Addresses that nobody has; each is held until all are found."""
    if kind == socket.SOCK_DGRAM:
        return udp_places(count)
    with contextlib.ExitStack() as held:
        socks = [held.enter_context(socket.socket(socket.AF_INET, kind)) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{sock.getsockname()[1]}" for sock in socks]


class Keepers:
    """Keepers of shared settings that vote, in a thread of their own."""

    def __init__(self, ground: Path, count: int) -> None:
        form = settings_ground(str(ground))
        self.made: list[ConfigServerDriver] = []
        for i in range(count):
            row = form.keepers[f"k{i}"]
            folder = Path(row.disk)
            folder.mkdir(exist_ok=True)
            begins_register(folder, f"k{i}", form.voters.names)
            told = SettingsTold(
                f"k{i}",
                "r",
                KEY.encode(),
                row.address,
                {name: one.address for name, one in form.keepers.items()},
                folder,
                f"keepers.k{i} in {ground}",
                20_000,
                row.control,
                200_000,
                1000,
            )
            electorate = VoterConfig(form.voters.names, "f", KEY.encode(), 5000, form.voters.names[f"k{i}"])
            self.made.append(ConfigServerDriver(told, electorate, Random(i), lambda what, **more: None))
        self.up = dict.fromkeys(range(count), True)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def runs(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def __enter__(self) -> Self:
        self.thread.start()
        for one in self.made:
            self.runs(one.begin())
        return self

    def stops(self, *which: int) -> None:
        for i in which:
            if self.up.pop(i, False):
                self.runs(self.made[i].end())

    def __exit__(self, *_: object) -> None:
        self.stops(*list(self.up))
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)
        self.loop.close()


class CharterStory(Reading):
    CASES = (
        (
            GOOD + SCHEME + FLEET.replace("sixteen bytes or more", "short"),
            "charter.too-short",
            "fleet.key",
            "of 5 characters",
            "write 16 characters at least",
        ),
        (
            GOOD.replace("127.0.0.1:0", "x") + SCHEME,
            "charter.no-address",
            ": listen: ",
            '"x"',
            "names no port",
        ),
        (GOOD.replace("127.0.0.1:0", "1.2.3:4") + SCHEME, "charter.no-address", "no IPv4 address"),
        (GOOD.replace("127.0.0.1:0", "a:66000") + SCHEME, "charter.no-address", "no port of 0 to 65535"),
        (GOOD.replace("127.0.0.1:0", "::1:80") + SCHEME, "charter.no-address", "in brackets"),
        (
            GOOD + SCHEME + FLEET.replace("127.0.0.1:7", "[::1]:7"),
            "charter.no-address",
            "fleet.listen",
            "IPv4",
        ),
        (
            GOOD + SCHEME + FLEET + 'seeds = ["10.0.0.1:7", "y"]\n',
            "charter.no-address",
            "fleet.seeds[1]",
            '"y"',
        ),
        (
            GOOD + SCHEME + FLEET + 'control = "10.0.0.1:7"\n',
            "charter.not-loopback",
            "fleet.control",
            "127.0.0.1",
        ),
        (GOOD + SCHEME + FLEET.replace("127.0.0.1:7", "0.0.0.0:7"), "charter.not-reached", "fleet.address"),
        (GOOD + SCHEME + FLEET + 'patience = "600ms"\n', "charter.patience", '"600ms"', "half of the beat"),
        (GOOD.replace('name = "d"', "dispatchers = 2") + SCHEME + FLEET, "charter.needs-name", "at name"),
        (
            GOOD + SCHEME.replace("repeatable", "referenced"),
            "charter.needs-window",
            "schemes[0].window",
            '"6s"',
        ),
        (GOOD + SCHEME + SCHEME, "charter.twice", "schemes", '"a"'),
        (GOOD + SCHEME + "[limits]\nsockets = 3\n", "charter.out-of-bounds", "limits.sockets", "at least 64"),
        (GOOD + SCHEME + "[limits]\nmemory = 7\n", "charter.wrong-kind", "limits.memory", "64MiB"),
        (GOOD + SCHEME + '[log]\nform = "xml"\n', "charter.not-among", "log.form", '"text" or "json"'),
        (GOOD + SCHEME + "[limit]\n", "charter.unknown-key", "limit", "nearest known key is limits"),
        (GOOD, "charter.missing", "schemes", "[[schemes]]"),
        ("listen = ", "charter.no-form", "TOML"),
        (GOOD + SCHEME + '"a\\nb" = 1\n', "charter.unknown-key", r"a\u000ab"),
        (
            GOOD.replace('"d"', '"%s"' % ("x" * 400)) + SCHEME + FLEET,
            "charter.not-among",
            "xxx... stands there",
        ),
        (GOOD + SCHEME + '[jobs]\npath = ""\n', "charter.no-path", "jobs.path", "path of a file"),
        (GOOD + SCHEME + '[jobs]\npath = "/var/"\n', "charter.no-path", '"/var/"'),
        (GOOD + SCHEME + FLEET + 'folder = "a\\u0000"\n', "charter.no-path", "fleet.folder"),
        (GOOD.replace('"d"', '"a/b"') + SCHEME + FLEET, "charter.not-among", "at name", "1 to 64 letters"),
        (GOOD + SCHEME + FLEET.replace('"f"', '""'), "charter.not-among", "fleet.name"),
        (GOOD + SCHEME + FLEET + 'seeds = ["10.0.0.1:0"]\n', "charter.out-of-bounds", "fleet.seeds[0]"),
        (GOOD + SCHEME + FLEET + 'control = "127.0.0.1:0"\n', "charter.out-of-bounds", "fleet.control"),
        (GOOD + SCHEME + '[limits]\nmemory = "1MB"\n', "charter.out-of-bounds", "limits.memory", "32MB"),
    )

    def test_each_fault_of_a_charter_says_what_to_write_at_which_key(self) -> None:
        for text, name, *words in self.CASES:
            with self.subTest(name=name, words=words):
                path = self.file(text)
                self.says(("check", path), 2, name, path, *words)

    def test_a_secret_is_not_printed(self) -> None:
        _, said = self.command(
            "check", self.file(GOOD + SCHEME + FLEET.replace("sixteen bytes or more", "hush hush"))
        )
        self.assertNotIn("hush", said)

    def test_all_of_one_forms_contradictions_are_told_at_once(self) -> None:
        code, said = self.command(
            "check",
            self.file(GOOD.replace('"d"', '"d"\nnumber = 3\nzone = "nowhere"\nseed = "xyz"') + SCHEME),
        )
        self.assertEqual((code, len(said.splitlines())), (2, 3), said)

    def test_files_that_are_none(self) -> None:
        for told in (
            ("check",),
            ("check", "--plan"),
            ("serve",),
            ("emulate",),
            ("experiment", "run"),
            ("fleet", "members"),
        ):
            missing = str(self.folder / "none.toml")
            self.says(
                (*told, missing), 2, "charter.unreadable", missing, "no such file", "a file that is there"
            )
        path = self.folder / "bytes.toml"
        path.write_bytes(b"listen = \xff")
        self.says(("check", str(path)), 2, "charter.no-text", "byte 9", "UTF-8")
        self.says(("check", self.file("{", "c.json")), 2, "charter.no-form", "JSON")

    def test_plans(self) -> None:
        for text, name, *words in (
            (
                PLAN + "[[faults]]\nkind = 'freeze'\nat = '1s'\nof = 'nobody'\n",
                "charter.wrong",
                "faults[0].of",
                "node-0 to node-7",
            ),
            (PLAN + "[[faults]]\nkind = 'freeze'\n", "charter.wrong", "faults[0]", 'at = "5s"'),
            (
                PLAN.replace("[charter]", "lag = ['1s', '2s', '3s']\n[charter]"),
                "charter.too-long",
                "fleet.lag",
                "2 values at most",
            ),
            (
                PLAN + f"[load]\nshape = 'trace'\ntrace = '{self.folder}/no.csv'\n",
                "charter.wrong",
                "load.trace",
                "no.csv",
                "no such file",
            ),
            (
                PLAN
                + f"[load]\nshape = 'trace'\ntrace = '{self.file('1,a,2,', 't')}'\n"
                + "[[faults]]\nkind='x'\n",
                "charter.wrong",
                "faults[0].kind",
                "freeze",
            ),
        ):
            with self.subTest(words=words):
                self.says(("emulate", self.file(text)), 2, name, *words)
        bad = self.file("0.5,a,100,\n0.6,b,100,\n", "t")
        self.says(
            ("emulate", self.file(PLAN + f"[load]\nshape = 'trace'\ntrace = '{bad}'\n")),
            2,
            "charter.wrong",
            "line 2",
            "0.6,b,100,",
        )

    def test_a_faults_sentence_is_whole_after_a_way_between_processes(self) -> None:
        path = self.file(GOOD)
        with self.assertRaises(InvalidConfigError) as caught:
            read_configuration(path)
        again = pickle.loads(pickle.dumps(caught.exception))
        self.assertEqual(str(again), str(caught.exception))
        self.assertEqual(again.faults[0].path, "schemes")
        KNOWN.add("charter.faulty")
        self.assertIsInstance(ConfigKeyError("f", "k", "3 stands there; a text may"), errors.Error)
        self.assertEqual(ConfigKeyError("f", "k", "3 stands there; a text may").do, "write a text at k")


class StartStory(Reading):
    def refused(self, text: str, name: str, *words: object) -> None:
        path = self.file(text)
        code, said = self.process("serve", path)
        self.assertEqual((code, len(said.splitlines())), (2, 1), said)
        self.assertIn(" ERROR ", said)  # by the log
        self.reads(said, name, *words)

    def test_addresses_that_cant_be_had_are_told_by_their_own_key(self) -> None:
        for kind, key in (
            (socket.SOCK_STREAM, "listen"),
            (socket.SOCK_DGRAM, "fleet.listen"),
            (socket.SOCK_STREAM, "fleet.control"),
        ):
            with socket.socket(socket.AF_INET, kind) as taken, self.subTest(key):
                taken.bind(("127.0.0.1", 0))
                if kind == socket.SOCK_STREAM:
                    taken.listen()
                address = f"127.0.0.1:{taken.getsockname()[1]}"
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                    other.bind(("127.0.0.1", 0))
                    free = f"127.0.0.1:{other.getsockname()[1]}"
                text = {
                    "listen": GOOD.replace("127.0.0.1:0", address) + SCHEME,
                    "fleet.listen": GOOD + SCHEME + FLEET.replace("127.0.0.1:7", address),
                    "fleet.control": GOOD
                    + SCHEME
                    + FLEET.replace("127.0.0.1:7", free)
                    + f'control = "{address}"\n',
                }[key]
                self.refused(text, "address.taken", f": {key}: {address}", f"at {key} in", "c.toml")
        self.refused(
            GOOD.replace("127.0.0.1:0", "192.0.2.1:80") + SCHEME, "address.not-ours", "192.0.2.1:80", "listen"
        )
        self.refused(
            GOOD.replace("127.0.0.1:0", "nosuchhost.invalid:80") + SCHEME, "address.no-host", "nosuchhost"
        )
        config = self.file('{"listen": "x", "discovery": "127.0.0.1:9"}', "config.json")
        self.reads(str(self.process(GW_CONFIG=config)[1]), "address.none", "'x'", "config.json")
        # Root may have low ports, and some kernels give them to all: the kernel's word itself, as it would come.
        self.reads(
            str(
                bind_error(PermissionError(errno.EACCES, "Permission denied"), "listen", "127.0.0.1:80", "c")
            ),
            "address.forbidden",
            "above 1023",
        )
        self.reads(
            str(bind_error(OSError(errno.EMFILE, "Too many open files"), "listen", "127.0.0.1:80", "c")),
            "address.unusable",
            "too many open files",
        )

    def test_folders_and_stores_that_cant_be_had(self) -> None:
        none = f"{self.folder}/none"
        self.refused(
            GOOD + SCHEME + FLEET + f'folder = "{none}"\n', "fleet.no-folder", f"make the folder {none}"
        )
        self.refused(
            GOOD + SCHEME + f'[jobs]\npath = "{none}/x.db"\n',
            "store.unusable",
            "jobs.path",
            f"make the folder {none}",
        )
        self.refused(
            GOOD + SCHEME + f'[jobs]\npath = "{self.file("no base", "x.db")}"\n',
            "store.no-database",
            "jobs.path",
            "jobs restore",
        )

    def test_as_json_the_line_has_its_parts(self) -> None:
        code, said = self.process(
            "serve", "--log-form", "json", self.file(GOOD.replace("127.0.0.1:0", "192.0.2.1:80") + SCHEME)
        )
        told = json.loads(said)
        self.assertEqual(
            (code, told["event"], told["level"], told["name"]), (2, "refused", "ERROR", "address.not-ours")
        )
        self.assertIn("at listen in", told["do"])

    def test_the_platforms_own_start(self) -> None:
        for text, name, *words in (
            (None, "start.unreadable", "GW_CONFIG", "no such file"),
            ("listen = 1", "start.no-form", "pathsaddle serve"),
            ("{}", "start.lacks", "listen"),
            ('{"listen": "127.0.0.1:0", "discovery": "x:1", "seed": "g"}', "start.unfit", "'g'"),
        ):
            path = str(self.folder / "none") if text is None else self.file(text, "config.json")
            with self.subTest(name):
                code, said = self.process(GW_CONFIG=path)
                self.assertEqual((code, len(said.splitlines())), (2, 1), said)
                self.reads(said, name, *words)
                if name != "start.unfit":  # whose seed nobody reads again
                    with mock.patch.dict(os.environ, GW_CONFIG=path), self.assertRaises(errors.Error):
                        Environment().moved()  # as SIGHUP would

    def test_the_base_type_imports_nothing(self) -> None:
        text = (ROOT / "pathsaddle/errors.py").read_text()
        self.assertEqual(re.findall(r"^\s*(?:import|from) .*", text, re.MULTILINE), [])


class StoreStory(Reading):
    def test_stores(self) -> None:
        path, none = self.folder / "jobs.db", str(self.folder / "none.db")
        held = JobStore(path, ThreadWriter())
        held.open()
        self.addCleanup(held.close)
        for word in (("list",), ("verify",), ("show",), ("backup",), ("restore",)):
            more = ("x",) if word[0] in ("show", "backup", "restore") else ()
            self.says(("jobs", *word, none, *more), 2, "store.no-file", none, "jobs.path")
        self.says(("jobs", "show", str(path), "x"), 2, "store.no-job", "no job x", "jobs.retention")
        copy = str(self.folder / "copy.db")
        self.assertEqual(self.command("jobs", "backup", str(path), copy)[0], 0)
        self.says(("jobs", "restore", copy, str(path)), 2, "store.in-use", path, "end that process")
        self.says(("jobs", "backup", str(path), none + "/x"), 2, "store.unusable", none, "make the folder")
        self.says(("jobs", "restore", copy, none + "/x"), 2, "store.unusable", none, "make the folder")
        bad = self.file("no database", "bad.db")
        for word in ("list", "backup", "restore"):
            self.says(("jobs", word, bad, *(() if word == "list" else (copy,))), 2, "store.no-database", bad)
        code, _ = self.command("jobs", "verify", bad)
        self.assertEqual(code, 1)  # what is wrong in a store is what verify is to find

    def test_a_store_of_a_later_release(self) -> None:
        path = self.folder / "new.db"
        with contextlib.closing(sqlite3.connect(path)) as db:
            db.execute("PRAGMA user_version = 99")
        with self.assertRaises(StoreSchemaTooNewError) as caught:
            JobStore(path, ThreadWriter()).open()
        self.reads(str(caught.exception), "store.newer", path, "99", "the release that wrote")


class CommandStory(Reading):
    def test_usage(self) -> None:
        for told, word in (
            (("nonsense",), "no such command"),
            (("check",), "neither a FILE"),
            (("serve",), "CHARTER"),
            (("demo", "--seed", "x"), "integer"),
            (("demo", "--seconds", "-1"), "x>0"),
            (("experiment", "run", self.file(PLAN), "--seeds", "3..1", "--folder", str(self.folder)), "3..1"),
        ):
            self.says(told, 2, "cli.usage", word, "--help", "pathsaddle")

    def test_what_cant_be_written_is_told_before_the_run(self) -> None:
        plan, here = self.file(PLAN), self.file("", "here")
        with mock.patch.object(stage, "virtual", side_effect=AssertionError("it ran")):
            for told in (
                ("emulate", plan, "--events", f"{here}/e"),
                ("emulate", plan, "--log", f"{here}/l"),
                ("experiment", "run", plan, "--jobs", "1", "--folder", here),
            ):
                self.says(told, 2, "cli.unwritable", told[-2], told[-1])

    def test_an_interrupt_and_a_defect(self) -> None:
        plan = self.file(PLAN)
        with mock.patch.object(stage, "virtual", side_effect=lambda *_: signal.raise_signal(signal.SIGINT)):
            self.says(("emulate", plan), 130, "cli.interrupted", "the same command")
        with mock.patch.object(stage, "virtual", side_effect=ZeroDivisionError("of ours")):
            code, said = self.command("emulate", plan)
        self.assertEqual(code, 1)
        self.assertIn("Traceback", said)
        self.reads(said, "cli.defect", "pathsaddle emulate", "report it")

    def test_the_scale_rig(self) -> None:
        tally = (ROOT / "experiments/scale/tally.toml").read_text()
        for old, new, name, *words in (
            ("processes = 2", "processes = 301", "charter.out-of-bounds", "processes", "at most 300"),
            (
                "memory_mib = 300",
                "memory_mib = 50",
                "experiment.needs-more",
                "points[0]",
                "10 members",
                "50 are allowed",
            ),
            ('"tally"\nag', '"none"\nag', "experiment.no-measure", "measure", "emulator/hollow/"),
            ('"scale"', '"moon"', "charter.not-among", "ground", '"moon"', "virtual", "scale"),
            ('"scale"', "3", "charter.wrong-kind", "ground", "a text"),
        ):
            self.says(
                ("experiment", "run", self.file(tally.replace(old, new), "tally.toml")),
                2,
                name,
                "tally.toml",
                *words,
            )
        short = self.file(tally.replace("short =", "# short ="), "tally.toml")
        self.says(("experiment", "run", short, "--short"), 2, "experiment.no-short", short)
        text = (
            'ground = "scale"\nname = "c"\nmeasure = "trouble"\nagainst = "m"\npoints = [1]\nprocesses = 1\n'
            'memory_mib = 50\n[[slopes]]\nfigure = "speed"\nbound = {point = 1, most = 1.0}\n'
        )
        with self.assertRaises(InvalidConfigError) as caught:
            scale.read(self.file(text), "tests.measures")
        self.reads(str(caught.exception), "experiment.not-counted", "slopes[0].bound", "speed", "size")
        with self.assertRaises(errors.Error) as few:
            slope.fit("p.f", {10: [1.0], 20: [2.0]})
        self.reads(str(few.exception), "experiment.few-points", "p.f", "2 points from 10 to 20")

    def test_capacity(self) -> None:
        ours = (ROOT / "experiments/scale/target.toml").read_text()
        numbers = ours[: ours.index("[[assumptions]]")]
        row = (
            '[[rows]]\nrole = "worker"\nwhat = "w"\nfigure = "tally.bytes"\nat = "workers"\nlimit = 3\n'
            'mechanism = "scheduler.py"\n'
        )
        target = self.file(numbers + row, "target.toml")
        self.says(
            ("experiment", "capacity", target),
            2,
            "experiment.no-slope",
            "target.toml: rows[0].figure",
            "tally.bytes",
            "tally.toml",
        )
        self.says(
            ("experiment", "capacity", self.file(numbers + row + "limits = 3\n", "target.toml")),
            2,
            "charter.unknown-key",
            "rows[0].limits",
            "limit",
        )
        target, none = self.file(numbers + row, "target.toml"), str(self.folder / "none.md")
        for page, name in (
            (none, "experiment.no-page"),
            (self.file("no marks\n", "page.md"), "experiment.no-marks"),
        ):
            self.says(("experiment", "capacity", target, "--partial", "--page", page), 2, name, page)

    def test_experiments(self) -> None:
        for name, seed in (("a", 1), ("b", 2)):
            Store(self.folder / name).add(
                Result(
                    plan="p",
                    digest="",
                    variant="base",
                    seed=seed,
                    ground="virtual",
                    commit="",
                    machine="",
                    when="",
                    took=0.0,
                    events="",
                    verdict={},
                )
            )
        a, b, none = (str(self.folder / name) for name in ("a", "b", "none"))
        self.says(("experiment", "compare", a, b), 2, "experiment.no-common-seed", "--seeds")
        self.says(("experiment", "compare", a, a + ":other"), 2, "experiment.no-results", "'other'", a)
        self.says(("experiment", "report", self.file("", "empty")), 2, "experiment.no-results", "empty")
        self.says(("experiment", "compare", a, none), 2, "experiment.unreadable", none)
        self.says(("experiment", "compare", a, str(self.folder)), 2, "experiment.unreadable", "folder")
        self.says(
            ("experiment", "list", "--plans", str(self.folder / "no")), 2, "experiment.no-plans", "--plans"
        )
        self.says(
            (
                "experiment",
                "run",
                self.file(PLAN + '[[variants]]\nname = "v"\ncommit = "nonesuch"\n'),
                "--folder",
                str(self.folder),
            ),
            2,
            "experiment.no-commit",
            "'nonesuch'",
            "git fetch",
        )
        with mock.patch.object(throughput.time, "sleep"), self.assertRaises(throughput.NeverReady) as caught:
            throughput._ready("127.0.0.1:9")
        self.reads(str(caught.exception), "experiment.never-ready", "127.0.0.1:9", "quieter machine")
        with mock.patch.object(hollow, "READY_IN", 0.0), self.assertRaises(hollow.NeverReady) as hollowed:
            hollow.measure(2, 1, hollow.Setting())
        self.reads(str(hollowed.exception), "hollow.never-ready", "0 s", "quieter machine")
        with (
            mock.patch.object(ports, "LEAST", 1 << 16),
            mock.patch.object(ports, "Random") as one,
            self.assertRaises(ports.NoPort) as taken,
        ):
            one.return_value.randrange.return_value = 1 << 16
            udp_places(1)
        self.reads(str(taken.exception), "emulator.no-port", "65536", "ss -ulnp")
        with mock.patch.object(control, "LONGEST", 0.0), self.assertRaises(control.NoMeter) as unmetered:
            control.measure(2, 1, control.Setting(members=0))
        self.reads(str(unmetered.exception), "hollow.no-meter", "0 s", "quieter machine")

    @unittest.skipUnless((ROOT / ".git").exists(), "no repository")
    def test_commits_that_cant_run(self) -> None:
        def git(*told: str) -> str:
            done = subprocess.run(
                ["git", "-c", "user.name=x", "-c", "user.email=x@x", *told],
                cwd=ROOT,
                text=True,
                capture_output=True,
                check=True,
                input="",
            )
            return done.stdout.strip()

        bare = git("commit-tree", "-m", "nothing", git("mktree"))  # a commit of no branch
        with self.assertRaises(errors.Error) as caught:
            tree(bare, "virtual", self.folder)
        self.reads(str(caught.exception), "experiment.no-program", bare[:10])
        package = git("rev-parse", "HEAD:pathsaddle/net/wire")
        done = subprocess.run(
            ["git", "mktree"],
            cwd=ROOT,
            text=True,
            capture_output=True,
            check=True,
            input=f"040000 tree {package}\tpathsaddle\n",
        )
        old = git("commit-tree", "-m", "old", done.stdout.strip())
        with self.assertRaises(errors.Error) as caught:
            tree(old, "virtual", self.folder)
        self.reads(str(caught.exception), "experiment.no-ground", old[:10], "--ground sockets")


def fellows(folder: Path, control: str = "") -> MembershipDriver:
    told = MembershipConfig(
        "a",
        "here",
        "127.0.0.1:0",
        "127.0.0.1:0",
        [],
        control,
        MembershipOptions("f", b"sixteen bytes or more", 500, 150),
    )
    made = MembershipDriver(told, Environment(), IncarnationStore(folder, "a"), Random(1), Counters())
    made.quiet = True
    return made


class AskingStory(Reading):
    def asks(self, address: str, name: str, *words: object) -> None:
        with self.assertRaises(control_client.ControlUnreachableError) as caught:
            control_client.query_dispatcher(address, "members", 0.3)
        self.assertEqual(caught.exception.code, 1)
        self.reads(str(caught.exception), name, address, *words)

    def test_nobody_there(self) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))  # and not listening
            address = f"127.0.0.1:{sock.getsockname()[1]}"
            self.asks(address, "control.unreached", "connection refused", "fleet.control", "pathsaddle serve")
            path = self.file(GOOD + SCHEME + FLEET + f'control = "{address}"\n')
            self.says(("fleet", "members", path), 1, "control.unreached", address)
            sock.listen()
            self.asks(address, "control.silent", "0.3 s", "stopped")
        self.says(
            ("fleet", "members", self.file(GOOD + SCHEME + FLEET)), 2, "fleet.no-control", 'control = "127.'
        )
        self.says(("fleet", "members", "127.0.0.1:99999"), 1, "control.no-address", "99999", "host:port")
        self.says(("fleet", "members", "here"), 1, "control.no-address", "'here'")
        self.says(("fleet", "members", "x..y:9"), 1, "control.no-host", "x..y:9")

    def test_somebody_else_there(self) -> None:
        async def meets(said: bytes | None) -> str:
            async def answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readline()
                if said is None:
                    writer.transport.abort()  # with a reset, for what it lingers
                else:
                    writer.write(said)
                    writer.close()

            server = await asyncio.start_server(answers, "127.0.0.1", 0)
            server.sockets[0].setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", said is None, 0)
            )
            async with server:
                with self.assertRaises(control_client.ControlUnreachableError) as caught:
                    await control_client.query(
                        f"127.0.0.1:{server.sockets[0].getsockname()[1]}", "members", 5.0
                    )
                return str(caught.exception)

        for said in (b"", None):
            self.reads(asyncio.run(meets(said)), "control.closed", "without an answer", "eight at a time")
        self.reads(asyncio.run(meets(b"HTTP/1.1 400 Bad\r\n\r\n")), "control.garbled", "not at listen")
        self.reads(asyncio.run(meets(b"[1]\n")), "control.garbled", "[1]")


class DriverStory(unittest.IsolatedAsyncioTestCase):
    """A defect of ours inside the core, put there by hand: the driver says so and goes on, or ends and says so."""

    async def asyncSetUp(self) -> None:
        RAN.add(self.id())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.control = f"127.0.0.1:{sock.getsockname()[1]}"
        self.fellows = fellows(Path(folder.name), self.control)
        self.addCleanup(self.fellows.end)
        self.heard = asyncio.Event()  # of a log line
        self.lines: list[tuple[str, dict[str, object]]] = []
        for name in ("fault_member", "fault_control", "fault_hearer"):
            patch = mock.patch.object(logbook, name, self.logs(name))
            patch.start()
            self.addCleanup(patch.stop)
        self.unheard: list[dict[str, object]] = []  # what reached the event loop: nothing may
        asyncio.get_running_loop().set_exception_handler(lambda _, context: self.unheard.append(context))

    def logs(self, name: str) -> object:
        def line(fault: Exception, **fields: object) -> None:
            self.assertIsInstance(fault, Exception)
            self.lines.append((name, fields))
            self.heard.set()

        return line

    async def ask(self, word: str) -> str:
        with self.assertRaises(control_client.ControlUnreachableError) as caught:
            await control_client.query(self.control, word, 5.0)
        KNOWN.add(caught.exception.name)
        return str(caught.exception)

    async def logged(self) -> dict[str, object]:
        await asyncio.wait_for(self.heard.wait(), 10.0)
        self.heard.clear()
        return self.lines[-1][1]

    async def test_a_datagram_that_breaks_the_core_is_dropped_and_the_next_is_read(self) -> None:
        read_ = asyncio.Event()

        def heard(data: bytes, now: int) -> None:
            if data == b"bad":
                raise KeyError("of ours")
            read_.set()

        self.fellows.begin()
        with (
            mock.patch.object(self.fellows.core, "on_datagram", heard),
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock,
        ):
            for data in (b"bad", b"good"):
                sock.sendto(data, self.fellows.sock.getsockname())
            told = await self.logged()
            await asyncio.wait_for(read_.wait(), 10.0)
        self.assertEqual((told["step"], told["why"]), ("a datagram", "KeyError: 'of ours'"))
        self.assertEqual(self.fellows.counters["fleet.fault"], 1)
        self.assertEqual(self.unheard, [])

    async def test_of_a_burst_longer_than_one_turn_each_datagram_is_heard(self) -> None:
        """The last of each turn's 64 was read and thrown away."""
        heard, all_ = [], asyncio.Event()

        def hear(data: bytes, now: int) -> None:
            heard.append(data)
            if data == b"199":
                all_.set()

        with (
            mock.patch.object(self.fellows.core, "on_datagram", hear),
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock,
        ):
            for n in range(200):
                sock.sendto(b"%d" % n, self.fellows.sock.getsockname())
            self.fellows.begin()
            await asyncio.wait_for(all_.wait(), 10.0)
        self.assertEqual(len(heard), 200)

    async def test_a_timer_that_fails_is_tried_again_after_a_beat(self) -> None:
        woke, wake = asyncio.Event(), self.fellows.core.wake

        def once(now: int) -> int:
            if not self.lines:
                raise ZeroDivisionError
            woke.set()
            return wake(now)

        begun = self.fellows.clock.now()
        with mock.patch.object(self.fellows.core, "wake", once):
            self.fellows.begin()
            self.assertIn("tried again", str((await self.logged())["then"]))
            self.fellows.timer.schedule(0)  # as datagrams in a burst would
            self.assertGreaterEqual(
                self.fellows.timer.due_at, begun + self.fellows.told.options.probe_interval
            )
            await asyncio.wait_for(woke.wait(), 10.0)
        self.assertEqual((self.fellows.ended, self.unheard), ("", []))

    async def test_a_timer_that_always_fails_ends_the_membership_visibly(self) -> None:
        self.fellows.told.options.probe_interval = 10  # a millisecond
        with mock.patch.object(self.fellows.core, "wake", side_effect=ZeroDivisionError("of ours")):
            self.fellows.begin()
            async with asyncio.timeout(10.0):
                while not self.fellows.ended:
                    await self.logged()
        self.assertEqual(self.lines[-1][1]["then"], "the membership has ended, jobs go on")
        self.assertEqual(len(self.lines), 2)  # a second line within a second would say nothing new
        self.assertEqual(self.fellows.counters["fleet.fault"], MAX_TIMER_FAILURES)
        said = await self.ask("members")
        self.assertIn("ZeroDivisionError: of ours", said)
        self.assertIn("[control.ended]", said)
        self.assertEqual(self.fellows.sock.fileno(), -1)
        self.fellows.leave()  # the process ends as ever
        self.assertEqual(self.unheard, [])

    async def test_an_answer_that_breaks_is_told_to_who_asked_and_the_next_is_answered(self) -> None:
        self.fellows.begin()
        with mock.patch.object(self.fellows, "view", side_effect=KeyError("of ours")):
            said = await self.ask("members")
        self.assertIn("[control.fault]", said)
        self.assertEqual(self.lines[0][0], "fault_control")
        self.assertEqual((await control_client.query(self.control, "members", 5.0))["name"], "a")
        self.assertIn("[control.no-budgets]", await self.ask("budgets"))
        self.assertIn("[control.unmetered]", await self.ask("control"))
        self.assertIn("'nonsense' was asked, and it knows members", said := await self.ask("nonsense"))
        self.assertIn("same release", said)

    async def test_a_hearer_that_breaks_keeps_no_other_from_hearing(self) -> None:
        # On a busy machine half a second may pass between the making and the beginning: then a second change follows at
        # once, that the process stood still.
        broken, heard = [], []

        def breaks(change: object) -> None:
            broken.append(change)
            raise KeyError("of ours")

        self.fellows.on_change += [breaks, heard.append]
        self.fellows.begin()
        self.assertEqual((await self.logged())["member"], "a")
        self.assertEqual(
            [change.why.partition(" for ")[0] for change in heard], ["began", "stood still"][: len(heard)]
        )
        self.assertEqual((heard, len(self.lines), self.unheard), (broken, len(broken), []))
        self.assertTrue(heard)

    async def test_a_word_of_leaving_that_breaks_does_not_keep_the_process_from_ending(self) -> None:
        self.fellows.begin()
        with mock.patch.object(self.fellows.core, "leave", side_effect=KeyError("of ours")):
            self.fellows.leave()
        self.assertIn("leave", str(self.lines[-1][1]["step"]))


class PartsStory(Reading):
    """Programs of their own beside the command line: as an operator starts them, a file or a folder at a time."""

    INVENTORY = (
        '[[kinds]]\nname = "gpu"\nslots = 8\n[[islands]]\nname = "a"\nbays = 1\n'
        '[[units]]\nname = "n"\nkind = "gpu"\n'
    )
    GROUND = (
        'key = "sixteen bytes or more"\nregister = "{0}/r"\nspec = "{0}/spec"\nlog = "{0}/log"\n'
        '[members.m]\nregion = "north"\naddress = "127.0.0.1:1"\ndisk = "{0}/disk"\n'
        '[keepers.k]\naddress = "192.0.2.1:80"\n'
    )
    SPEC = '[regions.north]\nmembers = ["m"]\n[schemes.a]\nhome = "north"\n'

    def tells(self, module: str, told: tuple[str, ...], code: int, name: str, *words: object) -> None:
        with self.subTest(module=module, told=told, name=name):
            done = subprocess.run(
                [sys.executable, "-m", f"pathsaddle.{module}", *told],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
                timeout=60,
            )
            self.assertEqual(done.returncode, code, done.stderr)
            self.assertNotIn("Traceback", done.stderr)
            self.assertTrue(done.stderr.splitlines()[0].endswith("]"), done.stderr)
            self.reads(done.stderr, name, *words)

    def test_placement(self) -> None:
        none, ledger, good = str(self.folder / "none"), str(self.folder / "l.db"), self.file(self.INVENTORY)
        for told, name, *words in (
            ((none,), "placement.unreadable", none, "a file that is there"),
            ((self.file("[", "t"),), "placement.no-toml", "mend that place of"),
            (
                (self.file(self.INVENTORY.replace("bays", "bay"), "k"),),
                "placement.key",
                "islands[",
                "write `bays` in place of `bay`",
            ),
            (
                (self.file(self.INVENTORY.replace("slots = 8", "slots = 'x'"), "v"),),
                "placement.key",
                "kinds[",
                ".slots",
            ),
            (
                (self.file(self.INVENTORY.replace("8", "0"), "z"),),
                "placement.untrue",
                "kinds.gpu.slots",
                "write 1",
            ),
            (
                (self.file(self.INVENTORY + 'bay = "a/2"\n', "b"),),
                "placement.untrue",
                "no island has bay a/2",
                "at bay of that unit",
            ),
            (("walk", none), "placement.ledger", "--ledger " + none),
            (("tell", good, "inventory", good), "placement.ledger", "not a database"),
            ((good, "--ledger", good), "placement.ledger", "stands there already", "tell " + good),
            ((good, "--ledger", none + "/x"), "placement.ledger", "make the folder " + none),
        ):
            self.tells("placement", told, 2, name, *words)
        self.assertFalse(Path(ledger).exists())
        done = subprocess.run(
            [sys.executable, "-m", "pathsaddle.placement", good, "--ledger", ledger],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            timeout=60,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        with contextlib.closing(sqlite3.connect(ledger)) as db, db:
            db.execute("DELETE FROM parts WHERE name = 'kinds'")
            db.execute("DROP TABLE story")
        for told in (("tell", ledger, "dead", "n"), ("history", ledger)):
            self.tells("placement", told, 2, "placement.ledger", "is damaged", "a copy from before")

    def test_ownership(self) -> None:
        folder, taken = self.folder / "v", socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(taken.close)
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        rows = "".join(f'{name} = "127.0.0.1:{port + n}"\n' for n, name in enumerate(("d", "e", "f")))
        text = (
            GOOD + SCHEME + FLEET + f'[fleet.owners]\nlisten = "127.0.0.1:{port}"\nfolder = "{folder}"\n'
            f"[fleet.owners.voters]\n{rows}"
        )
        good = self.file(text, "good")
        self.tells("ownership", ("found", str(folder)), 2, "charter.unreadable", folder)
        self.tells(
            "ownership",
            ("found", self.file(GOOD + SCHEME + FLEET)),
            2,
            "ownership.no-table",
            "[fleet.owners]",
        )
        self.tells(
            "ownership",
            ("found", good),
            2,
            "ownership.no-disk",
            f"make the folder {folder}",
            "fleet.owners.folder",
        )
        folder.mkdir()
        done = subprocess.run(
            [sys.executable, "-m", "pathsaddle.ownership", "found", good],
            cwd=ROOT,
            check=False,
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.tells("ownership", ("found", good), 2, "ownership.founded", "once in its life")
        self.tells(
            "ownership",
            ("serve", self.file(text.replace("f = ", "g = "), "other")),
            2,
            "ownership.other-voters",
            "fleet.owners.voters",
        )
        self.tells("ownership", ("serve", good), 2, "address.taken", "fleet.owners.listen", good)

    def test_federation(self) -> None:
        none, spec = str(self.folder / "none"), self.file(self.SPEC, "spec")
        text = self.GROUND.format(self.folder)
        ground, number = self.file(text, "ground"), iter(range(99))

        def other(old: str, new: str) -> str:
            self.assertIn(old, text)
            return self.file(text.replace(old, new), f"ground{next(number)}")

        for told, name, *words in (
            (("check", none), "charter.unreadable", none),
            (("check", self.file("[", "t")), "charter.no-form", "TOML"),
            (
                ("check", self.file(self.SPEC.replace('home = "north"', 'home = "nroth"'), "c")),
                "federation.contradiction",
                "schemes.a.home",
                "nearest known is north",
                "write one",
            ),
            (("check", self.file("#" * (1 << 23) + "#", "big")), "federation.spec-size", "split", "big"),
            (("member", none, "m"), "charter.unreadable", none),
            (("member", ground, "n"), "federation.no-member", "members.n", "[members.n] to " + ground, ": m"),
            (("keeper", ground, "x"), "federation.no-member", "keepers.x", ": k"),
            (("keeper", ground, "k"), "address.not-ours", "keepers.k.address in " + ground),
            (
                ("member", other("sixteen bytes or more", "hush"), "m"),
                "federation.key",
                "of 4 characters",
                "at key in",
            ),
            (("member", other("127.0.0.1:1", "x"), "m"), "federation.address", "members.m.address", "'x'"),
            (("commit", ground, spec, "--listen", "x"), "federation.address", "--listen"),
            (
                (
                    "member",
                    self.file(
                        f'{text}[voters]\nfleet = "f"\nkey = "{KEY}"\n[voters.names]\na = "127.0.0.1:1"\n',
                        "both",
                    ),
                    "m",
                ),
                "federation.voters",
                "both register and [voters]",
                "not both",
            ),
            (
                ("member", other(f"{self.folder}/disk", spec), "m"),
                "federation.folder",
                "members.m.disk",
                "the file " + spec,
            ),
            (("keeper", other(f"{self.folder}/r", spec + "/x"), "k"), "federation.folder", "at register in"),
            (("member", other(f"{self.folder}/log", spec), "m"), "federation.folder", "at log in"),
        ):
            self.tells("federation", told, 2, name, *words)
        one, two = (
            Version(1, made.digest, made) for made in map(parse, (self.SPEC, self.SPEC + "at_most = 0.1\n"))
        )
        register = FolderRegister(self.folder / "register", ground)
        register.commit(one)
        with self.assertRaises(errors.Error) as caught:
            register.commit(two)
        self.reads(
            str(caught.exception),
            "federation.spec-outrun",
            "compare",
            self.folder / "register/000000001.toml",
        )
        self.assertEqual(caught.exception.code, 1)
        for call, name in (
            (lambda: load_spec(none), "federation.spec-faulty"),
            (lambda: ground_of(none), "federation.ground-faulty"),
        ):
            with self.assertRaises(errors.Error) as caught:
                call()
            self.assertEqual((caught.exception.name, none in caught.exception.do), (name, True))
            KNOWN.add(name)  # printed by the log alone; a command prints each of its faults

    def test_settings(self) -> None:
        ground, control, udp = self.folder / "ground.toml", places(3), places(6, socket.SOCK_DGRAM)
        text = (
            f'key = "{KEY}"\n[voters]\nfleet = "f"\nkey = "{KEY}"\nlease = "500ms"\n[voters.names]\n'
            + "".join(f'k{i} = "{udp[i]}"\n' for i in range(3))
            + "".join(
                f'[keepers.k{i}]\nregion = "r"\naddress = "{udp[3 + i]}"\ndisk = "{self.folder}/k{i}"\ncontrol = "{control[i]}"\n'
                for i in range(3)
            )
        )
        ground.write_text(text)
        number = iter(range(99))

        def other(old: str, new: str) -> str:
            self.assertIn(old, text)
            return self.file(text.replace(old, new), f"ground{next(number)}")

        for told, name, *words in (
            (("keep", str(self.folder / "none")), "charter.unreadable"),
            (("keep", other(KEY, "hush")), "settings.file", "key"),
            (("keep", str(ground), "--keeper", "x"), "settings.file", "keepers.x", "k0, k1, k2"),
            (("follow", str(ground), "--member", "m"), "settings.file", "[members.m]"),
            (("keep", other(udp[3], "x")), "settings.file", "keepers.k0.address", "host:port"),
            (("keep", other(control[0], "10.0.0.1:9")), "settings.file", "keepers.k0.control", "loopback"),
            (("keep", other('"500ms"', '"10ms"')), "settings.file", "500ms at least"),
            (("keep", other(f'k2 = "{udp[2]}"\n', "")), "settings.file", "voters.names"),
            (
                ("found", other(f"{self.folder}/k0", f"{ground}/x"), "--keeper", "k0"),
                "settings.disk",
                "keepers.k0.disk",
            ),
            (
                ("keep", other(f"{self.folder}/k0", f"{ground}/x"), "--keeper", "k0"),
                "settings.disk",
                "keepers.k0 in",
            ),
            (
                ("keep", other(udp[3], "192.0.2.1:9"), "--keeper", "k0"),
                "address.not-ours",
                "keepers.k0.listen",
            ),
        ):
            self.tells("settings", told, 2, name, *words)
        good = self.file("[members.m]\nregion = 'r'\n[customers.a]\nallowance = 2\n", "good")
        apply, at = ("settings", "apply"), ("--at", str(ground))
        self.says((*apply, good, *at), 1, "settings.unreached", control[2], "--at")
        self.says((*apply, good, "--at", "x:y"), 2, "charter.unreadable", "x:y")
        self.says((*apply, good, "--at", other("control", "#")), 2, "settings.file", "keepers.NAME.control")
        for change, name, *words in (
            ("listen = 'x:1'", "settings.restart", "listen", "restart them"),
            ("[x]", "settings.unfit", "x", "known are"),
            ("[customers.a]\nalowance = 1", "charter.unknown-key", "customers.a", "alowance"),
            ("", "settings.unfit"),
            ("[customers]\na = 1", "charter.wrong-kind"),
            ("[budgets]\nb = 0", "charter.out-of-bounds"),
            ("remove = ['x']", "settings.unfit", "'x'"),
            ("remove = 3", "settings.unfit", "a list"),
            ("zones = 3", "settings.unfit", "zones: a list of names"),
            ("customers = 3", "settings.unfit", "by name"),
            ("remove = ['zones']\nzones = ['a']", "settings.unfit", "second time"),
            (f"[rules]\nask_within = '{'1' * 5000}s'", "settings.unfit", "4096 at most"),
        ):
            self.says((*apply, self.file(change, "wrong"), *at), 1, name, *words)
        code, said = self.command(*apply, self.file("listen = 'x:1'\nname = 'y'\n", "wrong"), *at)
        self.assertEqual((code, len(said.splitlines())), (1, 2), said)
        with self.assertRaises(errors.Error) as caught:
            changes_from_tables({"listen": 1}, [])
        self.assertEqual(caught.exception.name, "settings.refused")
        KNOWN.add("settings.refused")  # a command prints each of its lines
        with Keepers(ground, 3) as keepers:
            self.says(
                (*apply, good, *at, "--wait", "--within", "0.5"),
                1,
                "settings.waits",
                "revision 1",
                "waits for m",
                "members.NAME",
            )
            self.says((*apply, good, *at, "--expect", "0"), 1, "settings.outrun", "revision 1", "--expect 1")
            self.says(
                (*apply, self.file("remove = ['members.m']", "wrong"), *at),
                1,
                "settings.unfit",
                "members.m can be removed",
            )
            self.says(
                (*apply, self.file("remove = ['customers.b']", "wrong"), *at),
                1,
                "settings.unfit",
                "customers.b",
            )
            with mock.patch.object(keepers.made[0], "status", side_effect=ValueError("ours")):
                self.says(("settings", "status", *at), 1, "settings.defect", "ours", control[0])
            keepers.stops(1, 2)
            with mock.patch("pathsaddle.settings.control_messages.CHANGE_TIMEOUT_SECONDS", 1.0):
                self.says(
                    (*apply, self.file("[customers.b]", "b"), *at),
                    1,
                    "settings.no-majority",
                    "nothing was committed",
                )
        (self.folder / "k0/log").write_bytes(b"x" * 99)
        self.tells(
            "settings",
            ("keep", str(ground), "--keeper", "k0"),
            2,
            "settings.disk",
            "move the folder away",
            "keepers.k0 in",
        )

    def test_a_dispatchers_start_says_the_same_by_its_log(self) -> None:
        self.file(self.SPEC, "spec")
        ground = self.file(self.GROUND.format(self.folder), "ground")
        for where, member, name, *words in (
            (str(self.folder / "none"), "m", "federation.ground-faulty", "no such file"),
            (ground, "n", "federation.no-member", f"[members.n] to {ground}"),
        ):
            charter = self.file(GOOD + SCHEME + f'[federation]\nground = "{where}"\nmember = "{member}"\n')
            code, said = self.process("serve", charter)
            self.assertEqual((code, len(said.splitlines())), (2, 1), said)
            self.reads(said, name, *words)

    def test_histories(self) -> None:
        logs, none = self.folder / "logs", str(self.folder / "none")
        logs.mkdir()
        event = '{"at":1,"what":"act","more":{"who":"a","key":"k","number":1}}\n'
        (logs / "a.jsonl").write_text(event)
        bad = self.file("{\n" + event, "bad.jsonl")
        for told, name, *words in (
            (("check", none), "histories.no-logs", none),
            (("show", none), "histories.unreadable", none),
            (("check", bad), "histories.malformed", "line 1", bad),
            (("show", str(logs / "a.jsonl")), "histories.headless", "check " + str(logs / "a.jsonl")),
            (("check", str(logs), "--only", "x"), "histories.unknown-checker", "'x'", "at --only"),
            ((none + ".toml",), "histories.unreadable", none),
            ((self.file("[", "a.toml"),), "histories.no-toml", "a.toml"),
            ((self.file("sede = 1", "b.toml"),), "histories.unknown-key", "sede", "b.toml"),
            ((self.file("seeds = 'x'", "d.toml"),), "histories.wrong-value", "'x'", "at seeds in"),
            ((self.file("checks = ['x']", "e.toml"),), "histories.unknown-checker", "checks in", "e.toml"),
        ):
            self.tells("histories", told, 2, name, *words)
        for text, name, *words in (
            ("skew_ms = -1", "histories.wrong-value", "skew_ms"),
            ("[shedding]\nvalu = 1", "histories.unknown-key", "shedding.valu"),
            ("shedding = 1", "histories.wrong-value", "a table"),
        ):
            (logs / "history.toml").write_text(text)
            self.tells("histories", ("check", str(logs)), 2, name, "history.toml", *words)
        _, events = wrong("txns", "once-again", 3, 2000)
        write(logs / "a.jsonl", events)
        self.tells(
            "histories",
            ("check", str(logs / "a.jsonl"), "--keep", bad),
            2,
            "histories.unwritable",
            "--keep",
            bad,
        )

    def test_plans_of_the_emulated_parts(self) -> None:
        none, broken = str(self.folder / "none"), self.file("[", "t")
        for part, missing, no_form in (
            ("federation", "charter.unreadable", "charter.no-form"),
            ("state", "charter.unreadable", "charter.no-form"),
            ("placement", "placement.unreadable", "placement.no-toml"),
            ("overload", "overload.plan", "overload.plan"),
        ):
            self.tells(f"emulator.{part}.smoke", (none,), 2, missing, none)
            self.tells(f"emulator.{part}.smoke", (broken,), 2, no_form, broken, "TOML")
        for part, text, name, *words in (
            ("federation", 'name = "x"\ncourses = ["y"]\n', "charter.not-among", "courses", "'y'"),
            ("placement", "seeds = 'x'", "placement.key", "seeds", "a list"),
            ("placement", "seeds = [1]\npolicies = ['y']\n", "placement.key", "policies", "`y`"),
            ("overload", "name = 'x'\nseeds = [1]\n[[plans]]\nname = 3\n", "overload.plan", "plans[0].name"),
            (
                "overload",
                "name = 'x'\nseeds = [1]\n[[plans]]\nname = 'p'\npolicy = 'y'\n",
                "overload.plan",
                "at policy of p",
            ),
        ):
            self.tells(f"emulator.{part}.smoke", (self.file(text),), 2, name, "c.toml", *words)


class TheWhole(unittest.TestCase):
    """Runs after this file's stories, by its name's place: what they met is held against the catalogue."""

    OURS = (
        "charter",
        "cli",
        "experiment",
        "federation",
        "fleet",
        "histories",
        "jobs",
        "net",
        "ownership",
        "placement",
        "settings",
    )

    def test_the_page_lists_every_error_with_its_words(self) -> None:
        load_all()
        page = (ROOT / "docs/errors.md").read_text()
        rows = {line.split("|")[1].strip(" `"): line for line in page.splitlines() if line.startswith("| `")}
        for name, kind in sorted(errors.CATALOGUE.items()):
            with self.subTest(name):
                self.assertIn(row(kind), rows.get(name, "no row"))
        self.assertEqual([name for name in rows if name not in errors.CATALOGUE], [])
        self.assertEqual(list(rows), sorted(rows))

    def test_names_are_stable_words_and_two_errors_never_share_one(self) -> None:
        load_all()
        for name in errors.CATALOGUE:
            self.assertRegex(name, r"^[a-z]+([.-][a-z]+)+$")
        with self.assertRaises(TypeError):
            type("Other", (errors.Error,), {"name": "charter.missing"})

    def test_each_error_was_met_by_its_cause(self) -> None:
        ours = {name for name, kind in errors.CATALOGUE.items() if kind.__module__.split(".")[1] in self.OURS}
        stories = {
            f"{kind.__module__}.{kind.__qualname__}.{name}"
            for kind in (*Reading.__subclasses__(), DriverStory)
            for name in dir(kind)
            if name.startswith("test_")
        }
        if stories - RAN:
            self.skipTest("not all stories of this file have run")
        self.assertEqual(sorted(ours - KNOWN), [])


def row(kind: type[errors.Error]) -> str:
    """An error's line of the page, but for its name. Whose sentence is handed in whole is told by its docstring."""

    def shown(text: str) -> str:
        return re.sub(r"{([a-z_]+)[^}]*}", lambda match: match[1].upper(), text).replace("|", "/")

    whole = (
        "" if kind.what or kind.__doc__ is None else kind.__doc__.split("\n\n")[0].replace("\n", " ").strip()
    )
    do = shown(kind.do) or ("as it says" if whole else "by the kernel's word, see above")
    return f"| {whole or shown(kind.what)} | {do} | {kind.code} |"


if __name__ == "__main__":
    unittest.main()
