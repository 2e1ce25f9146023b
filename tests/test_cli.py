"""Stories of the command line: what it loads, how it ends, and the smoke plan that every landing passes."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import httptools

from pathsaddle.emulator import plan as plans
from pathsaddle.experiment import run
from pathsaddle.experiment.compare import choose, compare
from pathsaddle.experiment.keep import Result, Store

ROOT = Path(__file__).parent.parent
HEAVY = (
    "click",
    "rich",
    "msgspec",
    "hdrh",
    "numpy",
    "matplotlib",
    "pathsaddle.cli",
    "pathsaddle.config",
    "pathsaddle.emulator",
    "pathsaddle.experiment",
)
LOOKS = f"""
import runpy, sys
sys.argv = ["x"]
try:
    runpy.run_module("pathsaddle", run_name="__main__")
except SystemExit as end:
    print(end.code, *[name for name in sys.modules if name.startswith({HEAVY!r})])
"""
SMALL = """
name = "small"
seconds = 4
seeds = "1..6"
[charter]
[[charter.schemes]]
name = "a"
semantics = "repeatable"
expiry = "2s"
[fleet]
dispatchers = 1
"""


def pathsaddle(*told: str, cwd: Path = ROOT, **more: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "pathsaddle", *told],
        cwd=cwd,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ, "PYTHONPATH": str(ROOT), **more},
    )


class CommandStory(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, text: str, name: str = "file.toml") -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def test_the_platforms_program_loads_nothing_of_the_command_line(self) -> None:
        done = subprocess.run(
            [sys.executable, "-c", LOOKS],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            env={name: value for name, value in os.environ.items() if name != "GW_CONFIG"},
        )
        self.assertEqual(done.stdout.strip(), "2")
        self.assertIn("GW_CONFIG does not say where the configuration is", done.stderr)

    def test_exit_codes(self) -> None:
        self.assertEqual(pathsaddle("--version").stdout.strip(), "pathsaddle, version 0.2.0")
        for told in (("nonsense",), ("check",), ("experiment", "run"), ("demo", "--seed", "x")):
            self.assertEqual(pathsaddle(*told).returncode, 2, told)
        bad = self.file("listen = 3\n")
        done = pathsaddle("serve", bad)
        self.assertEqual(done.returncode, 2)
        self.assertEqual(
            done.stderr.splitlines()[0],
            f"{bad}: listen: 3 stands there; write an address such as "
            '"127.0.0.1:8080" at listen [charter.wrong-kind]',
        )
        done = pathsaddle(
            "serve",
            self.file(
                'listen = "127.0.0.1:0"\ndiscovery = "127.0.0.1:9"\njobs = { path = "/nowhere/x.db" }\n'
                '[[schemes]]\nname = "a"\nsemantics = "repeatable"\nexpiry = "5s"\n'
            ),
        )
        self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
        self.assertIn("jobs.path: /nowhere/x.db", done.stderr)
        done = pathsaddle("experiment", "run", self.file(SMALL + '[[faults]]\nkind = "crash"\nat = "-1s"\n'))
        self.assertEqual(done.returncode, 2)
        self.assertIn('faults[0].at: "-1s" stands there', done.stderr)
        self.assertEqual(pathsaddle("check", "--plan", self.file(SMALL)).returncode, 0)

    def test_a_bound_that_does_not_hold_is_a_finding(self) -> None:
        path = self.file(SMALL + '[bounds]\np99 = "1ms"\n')
        done = pathsaddle("experiment", "run", path, "--seeds", "1", "--folder", str(self.folder))
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertIn("p99", done.stdout)

    def test_a_run_that_was_stopped_midway_goes_on_where_it_was(self) -> None:
        path = self.file(SMALL.replace("seconds = 4", "seconds = 120").replace("1..6", "1..4"))
        told = [
            sys.executable,
            "-m",
            "pathsaddle",
            "experiment",
            "run",
            path,
            "--folder",
            str(self.folder),
            "--jobs",
            "1",
        ]
        running = subprocess.Popen(
            told,
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
        store = Store(self.folder / "small.jsonl")
        while not store.read() and running.poll() is None:
            asyncio.run(asyncio.sleep(0.05))
        running.send_signal(signal.SIGINT)
        _, told_us = running.communicate(timeout=20)
        kept = len(store.read())
        self.assertEqual(running.returncode, 130, told_us)
        self.assertIn(f"{kept} of 4 runs are kept", told_us)
        with store.path.open("ab") as file:
            file.write(b'{"plan": "cut sh')
        done = pathsaddle("experiment", "run", path, "--folder", str(self.folder))
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn(f"{kept} of 4 runs are kept", done.stdout)
        self.assertEqual(len(store.read()), 4)
        self.assertEqual(pathsaddle("experiment", "report", str(store.path)).returncode, 0)
        page = store.path.with_suffix(".html").read_text()
        self.assertIn("data:image/png", page)
        self.assertIn("<td>base</td><td>4</td>", page)

    def test_an_interrupt_that_a_parsers_callback_swallows_ends_the_runs_all_the_same(self) -> None:
        class Swallows:
            def on_url(self, url: bytes) -> None:
                signal.raise_signal(signal.SIGINT)  # handled before it returns: the interrupt is raised here

        def work(task: run.Task) -> Any:
            with self.assertRaises(httptools.HttpParserError):
                httptools.HttpRequestParser(Swallows()).feed_data(b"GET / HTTP/1.1\r\n\r\n")

        whole = run.Run(plans.read(self.file(SMALL)), Store(self.folder / "small.jsonl"), jobs=1)
        before, ended = signal.getsignal(signal.SIGINT), []
        with (
            mock.patch.object(run, "_work", work),
            mock.patch.object(run.Run, "_ended", lambda _, i, *more: ended.append(i)),
            self.assertRaises(KeyboardInterrupt),
        ):
            whole.go()
        self.assertEqual(ended, [0])
        self.assertIs(signal.getsignal(signal.SIGINT), before)

    @unittest.skipUnless((ROOT / ".git").exists(), "no repository")
    def test_a_variant_may_be_a_commit_of_ours(self) -> None:
        def run(commit: str) -> subprocess.CompletedProcess[str]:
            path = self.file(SMALL + f'[[variants]]\nname = "then"\ncommit = "{commit}"\n')
            return pathsaddle("experiment", "run", path, "--seeds", "1", "--folder", str(self.folder))

        before_renames = "f469a1f"  # its control packages have other names
        known = subprocess.run(
            ["git", "cat-file", "-e", before_renames], cwd=ROOT, check=False, capture_output=True
        )
        for commit in ["HEAD"] + [before_renames] * (known.returncode == 0):
            done = run(commit)
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
            self.assertIn("then: 1 runs", done.stdout)
        self.assertEqual(run("0" * 40).returncode, 2)

    def test_a_trace_is_replayed_as_it_was(self) -> None:
        trace = self.file("0.5,a,100,\n0.5,a,2000,\n1.5,a,50,\n", "trace.csv")
        path = self.file(SMALL + f'[load]\nshape = "trace"\ntrace = "{trace}"\n[bounds]\nvalue = 0.6\n')
        events = self.folder / "events"
        done = pathsaddle("emulate", path, "--events", str(events))
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        wanted = [
            row["more"]["work"]
            for row in map(json.loads, events.read_text().splitlines())
            if row["what"] == "wanted"
        ]
        self.assertEqual(wanted, [1000, 20_000, 500])

    def test_compare_pairs_by_seed_and_a_loss_is_a_finding(self) -> None:
        def results(path: Path, value: float) -> str:
            for seed in range(1, 9):
                row = {"jobs": 100, "settled": 90, "p50": 10.0, "p99": 20.0}
                Store(path).add(
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
                        verdict={
                            "part": value + seed / 100,
                            "whole": row,
                            "tries": 100,
                            "declines": 0,
                            "postings": 100,
                            "findings": [],
                        },
                    )
                )
            return str(path)

        a, b = results(self.folder / "a.jsonl", 0.8), results(self.folder / "b.jsonl", 0.7)
        found = compare(choose(a), choose(b))[0]
        self.assertAlmostEqual(found.mean, -0.1)
        self.assertAlmostEqual(found.low, found.high)
        self.assertEqual(pathsaddle("experiment", "compare", a, b).returncode, 1)
        self.assertEqual(pathsaddle("experiment", "compare", b, a).returncode, 0)
        self.assertEqual(pathsaddle("experiment", "compare", a, str(self.folder / "none")).returncode, 2)

    def test_the_smoke_plans(self) -> None:
        for plan in ("smoke", "jobs-smoke", "vast-smoke", "untrue-smoke", "fleet-smoke"):
            done = pathsaddle("experiment", "run", f"experiments/{plan}.toml", "--folder", str(self.folder))
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
            self.assertIn("every rule kept, every bound held", done.stdout)


class ServeStory(unittest.IsolatedAsyncioTestCase):
    async def test_serve_by_a_charter_logs_as_json_rereads_and_ends(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "charter.toml"
            text = (
                'listen = "127.0.0.1:0"\ndiscovery = "127.0.0.1:9"\n[[schemes]]\nname = "a"\n'
                'semantics = "repeatable"\nexpiry = "5s"\n'
            )
            path.write_text(text)
            program = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pathsaddle",
                "serve",
                str(path),
                "--log-form",
                "json",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
            )
            self.addCleanup(lambda: program.returncode is None and program.kill())
            assert program.stderr is not None
            lines = []

            async def until(event: str) -> dict[str, object]:
                assert program.stderr is not None
                while True:
                    line = json.loads(await asyncio.wait_for(program.stderr.readline(), 10.0))
                    lines.append(line)
                    if line["event"] == event:
                        return dict(line)

            await until("serving")
            path.write_text("broken = ")
            program.send_signal(signal.SIGHUP)
            self.assertEqual((await until("not-reread"))["level"], "WARNING")
            path.write_text('seed = "1"\n' + text.replace("127.0.0.1:9", "127.0.0.1:10").replace("5s", "6s"))
            program.send_signal(signal.SIGHUP)
            self.assertEqual((await until("stays"))["key"], "seed")
            self.assertEqual((await until("reread"))["discovery"], "127.0.0.1:10")
            self.assertEqual(
                [line["key"] for line in lines if line["event"] == "stays"], ["seed"], "the expiry changes"
            )
            program.send_signal(signal.SIGINT)
            told = await until("stopped")
            self.assertEqual((told["unanswered"], told["text"]), (0, "stopped unanswered=0"))
            self.assertEqual(await asyncio.wait_for(program.wait(), 10.0), 0)


if __name__ == "__main__":
    unittest.main()
