"""Seven real processes that make uses by the program's own driver, through cuts, loss, stops and kills;
one verdict.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from pathsaddle.emulator.ground.ports import udp_ports
from pathsaddle.emulator.state.judge import Event, judge
from tests.ports import tcp_port

ROOT = Path(__file__).resolve().parent.parent


class ProcessTest(unittest.TestCase):
    def test_seven_processes_never_use_more_than_the_quota_through_seven_kinds_of_faults(self):
        process = subprocess.Popen(
            [sys.executable, "-m", "pathsaddle.emulator.state.processes", "--seconds", "28"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            start_new_session=True,
        )
        self.addCleanup(process.stdout.close)
        try:
            said, _ = process.communicate(timeout=90)
        finally:
            if process.poll() is None:
                os.killpg(process.pid, signal.SIGKILL)
                process.wait()
        self.assertEqual(process.returncode, 0, said)
        self.assertIn("halves, loss, oneway, owner, stall, taker, third", said)

    def test_the_quotas_of_a_running_dispatcher_are_shown(self):
        with tempfile.TemporaryDirectory() as folder:
            listen, control = udp_ports(1)[0], tcp_port()
            path = Path(folder) / "charter.toml"
            path.write_text(f"""name = "alone"
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
listen = "127.0.0.1:{listen}"
control = "127.0.0.1:{control}"
[fleet.budgets]
repeats = 30
[fleet.parts]
repeats = 12
""")
            process = subprocess.Popen(
                [sys.executable, "-m", "pathsaddle", "serve", str(path)],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            try:
                for line in process.stdout:
                    if json.loads(line)["event"] == "serving":
                        break
                ask = [sys.executable, "-m", "pathsaddle", "fleet", "show", "budgets", str(path)]
                told = json.loads(
                    subprocess.run(
                        [*ask, "--json"], cwd=ROOT, capture_output=True, timeout=30, check=True
                    ).stdout
                )
                [one] = told["budgets"]
                self.assertEqual(
                    (one["budget"], one["rate"], one["part"], one["usable"]), ("repeats", 30, 12, 6)
                )
                table = subprocess.run(
                    ask, cwd=ROOT, capture_output=True, text=True, timeout=30, check=True
                ).stdout
                self.assertIn("repeats", table)
            finally:
                process.kill()
                process.communicate()


class JudgeTest(unittest.TestCase):
    """Planted histories, each found under its name; and two good ones that look bad."""

    def judged(self, *rows):
        return [
            fault.split(" ")[0] for fault in judge([Event(at, what, more) for at, what, more in rows]).faults
        ]

    def rights(self, at, who, units, **more):
        return at, "share.rights", {"who": who, "budget": "b", "units": units, **more}

    def spend(self, at, who, units=1):
        return at, "share.spend", {"who": who, "budget": "b", "units": units}

    def test_planted_violations_are_found(self):
        told = (0, "share.budget", {"who": "a", "budget": "b", "units": 3})
        put = (0, "state.put", {"who": "a", "life": 1, "version": 1})
        again = (9_000, "state.put", {"who": "a", "life": 1, "version": 2})

        def shown(at, version=1, least=0, most=None, sure=None):
            return (
                at,
                "state.shown",
                {
                    "who": "b",
                    "member": "a",
                    "life": 1,
                    "version": version,
                    "least": least,
                    "most": most,
                    "sure": sure,
                },
            )

        view = (5_000, "state.view", {"who": "b", "member": "a", "life": 1, "there": False})
        over = {"who": "b", "member": "a", "life": 1}
        for name, *rows in (
            ("rights-over-budget", told, self.rights(1, "a", 2), self.rights(2, "b", 2)),
            (
                "spent-over-budget",
                told,
                self.rights(1, "a", 3),
                self.spend(2, "a", 3),
                self.spend(10_000, "a"),
            ),
            ("spent-without-rights", told, self.rights(1, "a", 1, until=10), self.spend(11_000, "a")),
            ("old-life", put, view, shown(6_000)),
            ("never-put", put, shown(5, version=2)),
            ("age-outside", put, shown(10_000, least=10_400)),
            ("age-outside", put, shown(10_000, most=9_500)),
            ("sure-outside", put, again, shown(20_000, sure=5_000)),
            ("ended-twice", (1, "state.over", over), (2, "state.over", over)),
            (
                "sent-too-much",
                (1, "sent", {"who": "a", "bytes": 20_000}),
                (2, "sent", {"who": "a", "bytes": 5_000}),
            ),
        ):
            self.assertEqual(self.judged(*rows), [name], name)

    def test_valid_histories_that_look_bad_pass(self):
        told = (0, "share.budget", {"who": "a", "budget": "b", "units": 3})
        self.assertEqual(
            self.judged(
                # two loans that end at once
                told,
                self.rights(1, "a", 3, steps=[(10, 2), (10, 0)]),
                self.rights(11, "b", 3),
                self.spend(5, "a", 3),
                self.spend(10_005, "b", 3),  # just a second later
                (10_010, "member.ended", {"who": "b"}),
                self.rights(10_020, "c", 3),
            ),
            [],
        )
        self.assertEqual(
            self.judged(
                (0, "state.put", {"who": "a", "life": 1, "version": 1}),
                (5, "state.view", {"who": "b", "member": "a", "life": 1, "there": False}),
                (6, "state.view", {"who": "b", "member": "a", "life": 1, "there": True}),
                (
                    7,
                    "state.shown",
                    {"who": "b", "member": "a", "life": 1, "version": 1, "least": 0, "most": 7, "sure": 3},
                ),
            ),
            [],
        )


if __name__ == "__main__":
    unittest.main()
