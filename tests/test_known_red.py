"""Stories of KNOWN-RED.txt: planted trees with stories that fail, run as `.ci/run` does."""

import contextlib
import io
import tempfile
import textwrap
import unittest
from pathlib import Path

from tests.__main__ import failed_in, listed, main

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
BAD, PARTS, GOOD = (f"tests.test_planted.Case.test_{name}" for name in ("bad", "parts", "good"))


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
            (self.root / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in red))
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
            f"{BAD}, a cause, with a comma, 36",
            f"{PARTS}, another, #7",
            says=(
                f"known red, passed over: {BAD}, a cause, with a comma, 36",
                f"known red, passed over: {PARTS}",
                "0 failed",
            ),
        )
        self.ends(1, f"{BAD}, a cause, 36", says=("== test_planted FAILED",))

    def test_a_line_whose_story_did_not_fail_must_go(self) -> None:
        red = f"{BAD}, a, 1", f"{PARTS}, a, 1"
        for name in (GOOD, "tests.test_planted.Case.test_skipped"):
            self.ends(
                1, *red, f"{name}, a, 1", says=(f"but it did not fail: take the line out: {name}", "1 failed")
            )

    def test_a_fourth_line_fails_at_once(self) -> None:
        four = [f"{name}, a, 1" for name in (BAD, PARTS, GOOD, "tests.test_planted.Case.test_skipped")]
        self.ends(1, *four, says=("4 lines, 3 at most",))

    def test_a_line_that_names_no_story_fails_at_once(self) -> None:
        for name in ("tests.test_planted.Case.test_gone", "tests.test_none.Case.test_bad"):
            self.ends(1, f"{name}, a, 1", says=(f"names no story: {name}",))

    def test_what_else_breaks_beside_a_listed_one_is_no_known_red(self) -> None:
        red = f"{BAD}, a, 1", f"{PARTS}, a, 1"
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
        self.ends(
            1, f"{BAD}, a, 1", f"{PARTS}, a, 1", says=("== test_other FAILED", "== test_planted: nothing but")
        )


class Reads(unittest.TestCase):
    def test_what_is_no_line_is_said(self) -> None:
        for line in (
            BAD,
            f"{BAD}, cause",
            f"{BAD}, , 36",
            f"{BAD}, cause, soon",
            "tests.test_x, cause, 36",
            "tests.test_x.Case, cause, 36",
            "elsewhere.test_x.Case.test_y, cause, 36",
            f"{BAD}, 36",
        ):
            self.assertEqual(len(listed(line)[1]), 1, line)
        self.assertEqual(len(listed(f"{BAD}, a, 1\n\n{BAD}, b, 2\n")[1]), 1, "twice")
        self.assertEqual(listed("\n"), ([], []))

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
