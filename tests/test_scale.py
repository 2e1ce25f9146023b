"""Stories of the scale rig: what it refuses at once, what it keeps, and that nothing of a play is left
behind.
"""

import os
import select
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import get_args

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.experiment import scale
from pathsaddle.experiment.slope import LAWS

ROOT = Path(__file__).parent.parent
PACKAGE = "tests.measures"
PLAN = """
ground = "scale"
name = "trouble"
measure = "trouble"
against = "members"
points = [1, 2, 4, 8]
plays = 2
processes = 20
memory_mib = 1000
short = [1, 8]
[setting]
folder = "{folder}"
how = "{how}"
[[slopes]]
figure = "size"
{bound}
[[slopes]]
figure = "speed"
"""


class Rigging(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, text: str, name: str = "trouble.toml") -> str:
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def plan(self, how: str = "", bound: str = "", **changes: str) -> scale.Scale:
        text = PLAN.format(folder=self.folder, how=how, bound=bound)
        for key, value in changes.items():
            line = next(line for line in text.splitlines() if line.startswith(f"{key} = "))
            text = text.replace(line, f"{key} = {value}")
        return scale.read(self.file(text), PACKAGE)

    def one(self, how: str, **changes: str) -> scale.Scale:
        return self.plan(how, **{"points": "[1]", "plays": "1", "short": "[]"} | changes)


class Refusals(Rigging):
    def refused(self, name: str, /, *words: str, **changes: str) -> None:
        with self.assertRaises(InvalidConfigError) as caught:
            self.plan(**changes)
        said = str(caught.exception)
        self.assertIn(f"[{name}]", said)
        for word in ("trouble.toml", *words):
            self.assertIn(word, said)

    def test_more_than_the_rig_allows(self):
        self.refused("charter.out-of-bounds", "processes", "301", "at most 300", processes="301")
        self.refused("charter.out-of-bounds", "memory_mib", "at most 12288", memory_mib="12289")
        self.assertEqual(self.plan(processes="300", memory_mib="12288").plan.processes, 300)

    def test_a_measure_that_needs_more_than_the_plan_says(self):
        self.refused(
            "experiment.needs-more",
            "points[3]",
            "8 members",
            "8 processes",
            "5 are allowed",
            "write 8 at processes",
            processes="5",
        )
        self.refused(
            "experiment.needs-more",
            "points[3]",
            "400 MiB",
            "399 are allowed",
            "write 400 at memory_mib",
            memory_mib="399",
        )

    def test_a_measure_that_needs_more_than_the_rig_allows(self):
        self.refused(
            "experiment.needs-more",
            "points[1]",
            "301 members",
            "300 are allowed by the rig",
            points="[8, 301]",
            processes="300",
            memory_mib="12288",
            short="[]",
        )

    def test_keys_and_names(self):
        self.refused("charter.unknown-key", "point", "points", against='"m"\npoint = 3')
        self.refused("charter.unknown-key", "setting.hwo", folder='""\nhwo = 1')
        self.refused("charter.wrong-kind", "setting.folder", "a text", folder="3")
        self.refused(
            "charter.not-among", "slopes[1].figure", "size, speed", figure='"x"\n[[slopes]]\nfigure = "y"'
        )
        self.refused("charter.not-among", "short[0]", "1, 2, 4, 8", short="[3]")
        self.refused("charter.wrong", "name", "trouble.toml", name='"other"')
        self.refused("charter.too-short", "points", points="[]", short="[]")

    def test_a_plan_may_name_each_law(self):
        self.assertEqual(get_args(scale.Law), tuple(LAWS))

    def test_measures_that_are_none(self):
        self.refused(
            "experiment.no-measure", "nonesuch", "no such module", "tests/measures/", measure='"nonesuch"'
        )
        self.refused("experiment.no-measure", "no such module", measure='"a.b"')
        self.refused("experiment.no-measure", "has no Setting, COUNTED, needs, measure", measure='"partial"')
        self.refused("experiment.no-measure", "can't be loaded", "the disk is gone", measure='"unloadable"')

    def test_bounds(self):
        for bound, name, *words in (
            (
                "bound = {point = 8, most = 1.0}\n[[slopes]]\nfigure = 'speed'\nbound = {point = 8, most = 1.0}",
                "experiment.not-counted",
                "slopes[1].bound",
                "speed depends on the machine's speed",
                "bound one of size",
            ),
            ("bound = {point = 3, most = 1.0}", "charter.not-among", "slopes[0].bound.point", "1, 2, 4, 8"),
            ("bound = {point = 8}", "charter.wrong", "neither most nor least"),
        ):
            with self.subTest(bound), self.assertRaises(InvalidConfigError) as caught:
                self.plan(bound=bound)
            self.assertIn(f"[{name}]", str(caught.exception))
            for word in words:
                self.assertIn(word, str(caught.exception))


class Plays(Rigging):
    def ended(self, *names: str) -> None:
        """Nothing of these goes on: what the rig ended is gone when it says so."""
        for name in names:
            pid = int((self.folder / name).read_text())
            state = Path(f"/proc/{pid}/stat")
            gone = not state.exists() or state.read_text().rpartition(")")[2].split()[0] in "ZX"
            self.assertTrue(gone, name)

    def test_kept_resumed_and_played_anew(self):
        plan, store = self.plan(), scale.Store(self.folder / "trouble.jsonl")
        told: list[scale.Kept] = []
        rig = scale.Rig(plan, store)
        results = rig.go(told.append)
        self.assertEqual(
            [(one.point, one.seed) for one in results], [(n, s) for n in (1, 2, 4, 8) for s in (1, 2)]
        )
        self.assertEqual(told, results)
        self.assertEqual([one.fault for one in results], [""] * 8)
        self.assertEqual(store.read(), results)
        self.assertEqual(scale.by_point(results, "size"), {1: [1, 1], 2: [2, 2], 4: [4, 4], 8: [8, 8]})
        with store.path.open("ab") as file:
            file.write(b'{"plan": "trouble", "dig')  # a break cut this line short
        again = scale.Rig(plan, store)
        self.assertEqual(again.left, [])
        self.assertEqual(again.go(), results)
        self.assertEqual(len(scale.Rig(plan, store, fresh=True).left), 8)
        # A further play and point: only these. Another setting or measure: all.
        self.assertEqual(scale.Rig(self.plan(plays="3"), store).left, [(n, 3) for n in (1, 2, 4, 8)])
        self.assertEqual(scale.Rig(self.plan(points="[1, 3]", short="[]"), store).left, [(3, 1), (3, 2)])
        self.assertEqual(len(scale.Rig(self.plan(folder='"x"'), store).left), 8)
        plan.source = "another text"
        self.assertEqual(len(scale.Rig(plan, store).left), 8)

    def test_slopes_and_bounds(self):
        plan = self.plan(bound="bound = {point = 8, most = 7.0}")
        rig = scale.Rig(plan, None, short=True)
        results = rig.go()
        self.assertEqual([(one.point, one.seed) for one in results], [(1, 1), (8, 1)])
        self.assertEqual(
            scale.failings(plan, results), ["8 members, seed 1: size 8.00, at most 7.00 is stated"]
        )
        self.assertIn(
            "no law: trouble.size: 2 points from 1 to 8 give no law",
            "\n".join(scale.slope_lines(plan, results)),
        )
        plan = self.plan(bound="bound = {point = 8, least = 9.0}")
        self.assertEqual(
            scale.failings(plan, results), ["8 members, seed 1: size 8.00, at least 9.00 is stated"]
        )
        self.assertEqual(scale.failings(self.plan(bound="bound = {point = 8, most = 8.0}"), results), [])
        whole = scale.Rig(plan, None).go()
        lines = scale.slope_lines(plan, whole)
        self.assertTrue(lines[0].startswith("size (bytes): 0 + 1.00 n; 1: 1.00, 2: 2.00"), lines)

    def test_a_play_that_breaks_is_told_with_its_trace_and_the_others_go_on(self):
        for how, words in (
            ("breaks", "no such size"),
            ("dies", "code 7"),
            ("no number", "size = nan"),
            ("leaves", "left 2 processes behind"),
        ):
            with self.subTest(how):
                plan, store = self.one(how), scale.Store(self.folder / f"{how}.jsonl")
                (kept,) = scale.Rig(plan, store).go()
                self.assertIn(words, kept.fault)
                self.assertEqual(kept.figures, {})
                self.ended("play", "child", "apart")
                self.assertEqual(len(scale.failings(plan, [kept])), 1)
                self.assertEqual(len(scale.Rig(plan, store).left), 1)  # a faulted one is played again

    def test_what_ends_by_itself_right_behind_its_play_was_not_left_behind(self):
        (kept,) = scale.Rig(self.one("a moment"), None).go()
        self.assertEqual((kept.fault, kept.figures), ("", {"size": 1.0, "speed": 2.0}))

    def test_a_play_that_hangs_is_ended_with_all_it_started(self):
        (kept,) = scale.Rig(self.one("hangs"), None, patience=2.0).go()
        self.assertIn("took more than 2 s", kept.fault)
        self.ended("play", "child", "apart")

    def test_a_play_that_takes_more_than_the_plan_says_is_ended(self):
        (kept,) = scale.Rig(self.one("hangs", processes="2"), None).go()
        self.assertIn("3 processes at once, and processes = 2", kept.fault)
        self.ended("play", "child", "apart")
        (kept,) = scale.Rig(self.one("takes", memory_mib="60"), None).go()
        self.assertIn("MiB at once, and memory_mib = 60", kept.fault)
        self.ended("play", "child", "apart")

    def test_side_by_side_within_the_plans_limits(self):
        self.assertEqual(scale.Rig(self.plan(), None, jobs=8).jobs, 2)  # 8 of 20 processes, 400 of 1,000 MiB
        rig = scale.Rig(self.plan(points="[1, 2]", short="[]"), None, jobs=4)
        self.assertEqual([one.fault for one in rig.go()], [""] * 4)

    def test_an_interrupt_leaves_nothing_behind(self):
        for told in (signal.SIGINT, signal.SIGTERM, signal.SIGKILL):
            with self.subTest(told.name):
                for name in ("play", "child", "apart", "all-told"):
                    (self.folder / name).unlink(missing_ok=True)
                os.mkfifo(self.folder / "all-told")
                started = self.opened(os.open(self.folder / "all-told", os.O_RDONLY | os.O_NONBLOCK))
                path = self.file(PLAN.format(folder=self.folder, how="hangs", bound=""))
                code = (
                    "from pathsaddle.experiment import scale\n"
                    f"scale.Rig(scale.read({path!r}, {PACKAGE!r}), None).go()"
                )
                rig = subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, stderr=subprocess.DEVNULL)
                try:
                    self.until(started)
                    over = [
                        self.opened(os.pidfd_open(int((self.folder / name).read_text())))
                        for name in ("play", "child")
                    ]
                    rig.send_signal(told)
                    rig.wait(30)
                    if told is not signal.SIGKILL:
                        self.ended("play", "child", "apart")
                    else:  # nobody is left to look: the play ends itself, with its group
                        self.until(*over)
                finally:
                    rig.kill()
                    rig.wait()
                    for name in ("child", "apart", "play"):
                        if (self.folder / name).exists() and not self.gone(name):
                            os.kill(int((self.folder / name).read_text()), signal.SIGKILL)

    def gone(self, name: str) -> bool:
        try:
            self.ended(name)
        except AssertionError:
            return False
        return True

    def until(self, *readable: int) -> None:
        """Each of these descriptors can be read: a process is over, or something was written."""
        for one in readable:
            self.assertTrue(select.select([one], [], [], 30)[0], "it did not come")

    def opened(self, fd: int) -> int:
        self.addCleanup(os.close, fd)
        return fd


class Command(Rigging):
    def run_it(self, *told: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "pathsaddle", "experiment", "run", *told],
            cwd=ROOT,
            check=False,
            capture_output=True,
            text=True,
            timeout=120,
        )

    def test_the_rigs_own_check_short_and_whole(self):
        done = self.run_it("experiments/scale/tally.toml", "--short")
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("2 of 2 bounds checked: every one held", done.stdout)
        for first in (True, False):
            done = self.run_it("experiments/scale/tally.toml", "--folder", str(self.folder))
            self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
            self.assertEqual("10 of 10 plays are kept from before" in done.stdout, not first)
            self.assertIn("bytes (bytes): 0 + 84.0 n", done.stdout)
            self.assertIn("n² (over 1000 times the error)", done.stdout)

    def test_a_bound_that_does_not_hold_is_a_finding(self):
        text = (ROOT / "experiments/scale/tally.toml").read_text()
        done = self.run_it(self.file(text.replace("most = 28.0", "most = 27.0"), "tally.toml"), "--short")
        self.assertEqual(done.returncode, 1, done.stdout + done.stderr)
        self.assertIn("10 members, seed 1: longest 28.0, at most 27.0 is stated", done.stdout)

    def test_words_that_do_not_fit(self):
        text = (ROOT / "experiments/scale/tally.toml").read_text()
        done = self.run_it(self.file(text.replace("short = [10, 200]", ""), "tally.toml"), "--short")
        self.assertEqual(done.returncode, 2)
        self.assertIn("[experiment.no-short]", done.stderr)
        done = self.run_it("experiments/scale/tally.toml", "--seeds", "1..3")
        self.assertEqual(done.returncode, 2)
        self.assertIn("--seeds", done.stderr)
        done = self.run_it("experiments/smoke.toml", "--short")
        self.assertEqual(done.returncode, 2)
        self.assertIn("--short", done.stderr)


if __name__ == "__main__":
    unittest.main()
