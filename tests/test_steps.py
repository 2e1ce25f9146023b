"""What a run costs, as a count: what it sees, that it is the same again, and the bounds that stand on it."""

import contextlib
import io
import sys
import tempfile
import unittest
from pathlib import Path

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.emulator import plan as plans
from pathsaddle.emulator.federation import smoke
from pathsaddle.emulator.steps import Steps
from pathsaddle.experiment.keep import Store
from pathsaddle.experiment.run import Run, failings

SMALL = """
name = "small"
seconds = 2
[charter]
[[charter.schemes]]
name = "a"
semantics = "repeatable"
expiry = "2s"
[fleet]
dispatchers = 1
"""


def scan(size: int) -> int:
    found = 0
    for one in range(size):
        if one > size:
            found += 1
    return found


def comprehended(size: int) -> list[int]:
    return [one for one in range(size) if one > size]


def nested(size: int) -> int:
    return sum(scan(3) for _ in range(size))


class Counts(unittest.TestCase):
    def lines(self, call, size):
        with Steps() as steps:
            call(size)
        return steps.lines

    def test_a_loop_that_calls_nothing_is_seen_and_the_count_is_the_same_again(self):
        for call in (scan, comprehended, nested):
            with self.subTest(call.__name__):
                few, many = self.lines(call, 1000), self.lines(call, 2000)
                self.assertEqual(few, self.lines(call, 1000))
                self.assertGreater(many, 1.9 * few)

    def test_only_what_runs_within_is_counted_and_who_traced_before_goes_on(self):
        seen = []
        before = sys.gettrace()

        def other(frame, event, told):
            seen.append(frame.f_code.co_name)

        steps = Steps()
        sys.settrace(other)
        try:
            scan(9)
            with steps:
                comprehended(9)
            scan(9)
        finally:
            sys.settrace(before)
        self.assertEqual((seen.count("scan"), seen.count("comprehended")), (2, 0))
        so_far = steps.lines
        scan(9)
        with contextlib.suppress(ZeroDivisionError), steps:
            raise ZeroDivisionError
        self.assertLess(so_far, steps.lines)
        self.assertLess(steps.lines, so_far + 9)
        self.assertIs(sys.gettrace(), before)


class Bounds(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, text):
        path = self.folder / "t.toml"
        path.write_text(text)
        return str(path)

    def federation(self, lines):
        said = io.StringIO()
        with contextlib.redirect_stdout(said):
            bounds = smoke.BoundsForm(lines=lines)
            code = smoke.play(smoke.SmokeForm(name="t", courses=[], depth=2, bounds=bounds))
        return code, said.getvalue()

    def test_a_federation_plan_fails_beyond_its_lines_and_says_how_many_they_were(self):
        self.federation(100)  # what is imported or worked out once is behind it
        code, said = self.federation(100)
        lines = int(said.partition("the model ran ")[2].partition(" ")[0])
        self.assertEqual(code, 1)
        self.assertGreater(lines, 1000)
        self.assertIn(f"BROKEN the courses on and the model ran {lines} lines, more than 100", said)
        self.assertEqual([self.federation(lines + more)[0] for more in (-1, 0)], [1, 0])

    def test_a_plan_of_the_virtual_ground_fails_beyond_its_lines(self):
        def found(lines):
            plan = plans.read(self.file(f"{SMALL}[bounds]\nlines = {lines}\n"))
            results = Run(plan, Store(self.folder / "none"), fresh=True, jobs=1).go()
            return failings(plan, results), results[0].lines

        found(100)  # what is imported or worked out once is behind it
        wrong, lines = found(100)
        self.assertGreater(lines, 1000)
        self.assertEqual(wrong, [f"base, seed 1: {lines} lines run, at most 100 are stated"])
        within, again = found(lines + lines // 1000)
        self.assertEqual(within, [])
        # Nearly: 4 of 553,372 differed. When garbage is collected is no run's own.
        self.assertAlmostEqual(again, lines, delta=lines // 1000)

    def test_the_key_that_stood_for_time_is_refused(self):
        for read, text in ((smoke.read, 'name = "t"\nground = "federation"\n'), (plans.read, SMALL)):
            with self.assertRaises(InvalidConfigError) as caught:
                read(self.file(f"{text}[bounds]\nseconds = 40\n"))
            self.assertIn("bounds.seconds", str(caught.exception))
            self.assertIn("charter.unknown-key", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
