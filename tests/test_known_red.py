"""KNOWN-RED.txt: planted trees with tests that fail, run as `.ci/run` does."""

import contextlib
import io
import tempfile
import textwrap
import unittest
from pathlib import Path

from tests.__main__ import failed_in, main
from tests.known_red import Entry, Result, parse, result_in

PLANTED = """
    import os, unittest
    class Case(unittest.TestCase):
        def test_good(self): pass
        def test_bad(self):
            "A story with a sentence."
            self.fail("on purpose")
        def test_parts(self):
            for part in (1, 2):
                with self.subTest(part=part): self.fail("on purpose")
        @unittest.skip("on purpose")
        def test_skipped(self): pass
"""
BAD, PARTS, GOOD, SKIPPED = (
    f"tests.test_planted.Case.test_{name}" for name in ("bad", "parts", "good", "skipped")
)


def block(test: str, fails: str = "always", seen: str = "a cause", issue: str = "36") -> str:
    """An entry of KNOWN-RED.txt."""
    return f"test: {test}\nfails: {fails}\ncommand: python -m tests, seed 7\nseen: {seen}\nissue: {issue}\n"


class Runs(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        (self.root / "tests").mkdir()
        self.plant("__init__", "")
        self.plant("test_planted", PLANTED)

    def plant(self, name: str, text: str) -> None:
        (self.root / f"tests/{name}.py").write_text(textwrap.dedent(text))

    def ends(self, code: int, *red: str, says: tuple[str, ...] = ()) -> None:
        if red:
            (self.root / "KNOWN-RED.txt").write_text("\n".join(red))
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            got = main(self.root)
        self.assertEqual(got, code, out.getvalue())
        for words in says:
            self.assertIn(words, out.getvalue())

    def test_without_the_file_whatever_fails_fails_the_run(self) -> None:
        self.ends(1, says=("== test_planted FAILED, end code 1", "1 passed, 3 failed"))

    def test_just_those_listed_are_passed_over_and_printed(self) -> None:
        self.ends(
            0,
            block(BAD, seen="a cause, with a comma: and a colon"),
            block(PARTS, issue="#7"),
            says=(
                f"known red, failed in this run, passed over: test: {BAD}; fails: always; command: python -m "
                "tests, seed 7; seen: a cause, with a comma: and a colon; issue: 36",
                f"known red, failed in this run, passed over: test: {PARTS}",
                "0 failed",
            ),
        )
        self.ends(1, block(BAD), says=("== test_planted FAILED",))

    def test_an_entry_that_fails_always_and_did_not_must_go(self) -> None:
        red = block(BAD), block(PARTS)
        for name, result in ((GOOD, "passed"), (SKIPPED, "did not run")):
            self.ends(
                1,
                *red,
                block(name),
                says=(
                    f"known red, {result} in this run, take it out, or have it run: test: {name}",
                    "1 failed",
                ),
            )

    def test_an_entry_that_fails_sometimes_is_passed_over_whether_it_fails_or_not(self) -> None:
        self.ends(
            0,
            block(BAD, "3 of 20 runs"),
            block(PARTS),
            block(GOOD, "1 of 5 runs"),
            says=(
                f"known red, failed in this run, passed over: test: {BAD}; fails: 3 of 20 runs",
                f"known red, passed in this run, passed over: test: {GOOD}; fails: 1 of 5 runs",
                "0 failed",
            ),
        )

    def test_an_entry_that_fails_sometimes_has_to_run(self) -> None:
        red = block(BAD), block(PARTS), block(SKIPPED, "1 of 5 runs")
        self.ends(1, *red, says=(f"did not run in this run, take it out, or have it run: test: {SKIPPED}",))

    def test_a_fourth_entry_fails_at_once(self) -> None:
        four = [block(name) for name in (BAD, PARTS, GOOD, SKIPPED)]
        self.ends(1, *four, says=("4 entries, 3 at most",))

    def test_an_entry_that_names_no_test_fails_at_once(self) -> None:
        for name in ("tests.test_planted.Case.test_gone", "tests.test_none.Case.test_bad"):
            for fails in ("always", "1 of 2 runs"):
                self.ends(1, block(name, fails), says=(f"names no test: test: {name}",))

    def test_what_else_breaks_beside_a_listed_one_is_no_known_red(self) -> None:
        red = block(BAD, "1 of 2 runs"), block(PARTS)
        for more in (
            "@classmethod\n    def tearDownClass(cls): raise OSError",
            "@classmethod\n    def tearDownClass(cls): os._exit(1)",
            "@unittest.expectedFailure\n    def test_better(self): pass",
            "@unittest.expectedFailure\n    def test_hidden(self): self.fail()",
        ):
            with self.subTest(more):
                self.plant("test_planted", textwrap.dedent(PLANTED) + f"    {more}\n")
                self.ends(1, *red, says=("== test_planted FAILED",))

    def test_a_file_that_can_not_be_loaded_fails(self) -> None:
        self.plant("test_other", "import nothing_of_that_name\n")
        self.ends(1, block(BAD), block(PARTS), says=("== test_other FAILED", "== test_planted: nothing but"))


class Reads(unittest.TestCase):
    def test_what_is_no_entry_is_said(self) -> None:
        whole = block(BAD)
        for text in (
            BAD,
            *(whole.replace(f"{line}\n", "") for line in whole.splitlines()),
            whole.replace("seen: a cause", "seen:"),
            block(BAD, issue="soon"),
            block("tests.test_x"),
            block("tests.test_x.Case"),
            block("elsewhere.test_x.Case.test_y"),
            block(BAD, "sometimes"),
            block(BAD, "0 of 5 runs"),
            block(BAD, "5 of 5 runs"),
            f"{BAD}, a cause, 36",
            whole + "more: x\n",
        ):
            self.assertEqual(len(parse(text)[1]), 1, text)
        self.assertEqual(len(parse(f"{whole}\n{block(BAD, '1 of 2 runs', issue='2')}")[1]), 1, "twice")
        self.assertEqual(parse("\n"), ([], []))
        self.assertEqual(
            parse(f"\n{whole}"), ([Entry(BAD, "always", "python -m tests, seed 7", "a cause", "36")], [])
        )

    def test_a_report_says_whether_a_test_ran(self) -> None:
        report = (
            f"test_good ({GOOD}) ... what it prints\nok\ntest_skipped ({SKIPPED})\nA sentence. ... skipped 'why'\n"
            f"test_bad ({BAD}) ... FAIL\n\n" + "=" * 70 + "\nskipped 'no'"
        )
        self.assertEqual(
            [result_in(report, test) for test in (GOOD, SKIPPED, PARTS)],
            [Result.PASSED, Result.NOT_RUN, Result.NOT_RUN],
        )

    def test_what_a_story_prints_is_no_report(self) -> None:
        said = f"FAIL: test_bad ({BAD})\n" + "=" * 70 + f"\nERROR: test_good ({GOOD})\n" + "-" * 70
        self.assertEqual(
            failed_in(1, f"{said}\nRan 2 tests in 0.1s\n\nFAILED (errors=1)\n"), ({GOOD}, 1, True)
        )
        self.assertEqual(
            failed_in(1, f"{said}\nRan 2 tests in 0.1s\n\nFAILED (failures=1, errors=1)\n")[2], False
        )
        self.assertEqual(failed_in(-9, said), ({GOOD}, 1, False))


if __name__ == "__main__":
    unittest.main()
