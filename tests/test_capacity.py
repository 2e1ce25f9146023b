"""Stories of the capacity tables: worst fit first, each figure says how it is known, and the page is what is
kept.
"""

import json
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.experiment.capacity import (
    BEGIN,
    END,
    MARK,
    NoMarks,
    NoPage,
    NoSlope,
    paged,
    read,
    read_page,
    tables,
)

ROOT = Path(__file__).parent.parent
NUMBERS = """
name = "small"
[numbers]
workers = 100
accelerators = 200
jobs_per_day = 86400
starts_per_second = 10
open_tasks = 500
gang = 8
teams = 20
urgent_seconds = 5
regions = 2
zones = 4
changes_per_day = 864
in_force_seconds = 20
control_core = 0.05
memory_mb = 64
bytes_per_second = 10000
machines = 4
failures_per_day = 1
replaced_per_day = 10
[[assumptions]]
key = "dispatchers"
what = "dispatchers"
value = 40
reason = "as today"
if_twice = "twice the messages"
[[assumptions]]
what = "skew"
value = "few send most"
reason = "it is so"
if_twice = "more so"
"""
BYTES = """
[[rows]]
role = "dispatcher"
what = "bytes"
figure = "tally.bytes"
at = "dispatchers"
limit = "bytes_per_second"
mechanism = "fleet/membership.py"
"""


class Told(unittest.TestCase):
    """The plan tally beside a target: y = 84 n, y = 28 n (n - 1), y = 28."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "tally.toml").write_text((ROOT / "experiments/scale/tally.toml").read_text())
        (self.folder / "kept").mkdir()
        self.keep((10, 20, 50, 100, 200))

    def keep(self, points, **more) -> None:
        rows = [
            {
                "plan": "tally",
                "digest": "",
                "point": n,
                "seed": seed,
                "took": 0.1,
                "commit": "c0ffee",
                "machine": "m",
                "when": "2026-12-02T00:00:00+00:00",
                "fault": "",
                "figures": {"bytes": 84.0 * n, "whole_bytes": 28.0 * n * (n - 1), "longest": 28.0},
            }
            | more
            for n in points
            for seed in (1, 2)
        ]
        with (self.folder / "kept/tally.jsonl").open("a") as file:
            file.writelines(json.dumps(row) + "\n" for row in rows)

    def target(self, *rows: str, numbers: str = NUMBERS) -> Path:
        path = self.folder / "target.toml"
        path.write_text(numbers + "".join(rows))
        return path

    def row(self, made: str, *words: str) -> list[str]:
        """The cells of the one line that has all words."""
        lines = [
            line for line in made.splitlines() if line.startswith("|") and all(word in line for word in words)
        ]
        self.assertEqual(len(lines), 1, (words, made))
        return [cell.strip() for cell in lines[0].strip("|").split("|")]

    def test_worst_first_and_what_nothing_carries_before_all(self):
        made, notes = tables(
            self.target(
                BYTES,
                BYTES.replace("bytes", "longest", 2)
                .replace("tally.bytes", "tally.longest")
                .replace('limit = "bytes_per_second"', "limit = 14"),
                '[[rows]]\nrole = "operator"\nwhat = "gangs"\ncarrier = false\ninstead = "they wait"\nhurts_at = "8 slots"\n',
                '[[rows]]\nrole = "store"\nwhat = "jobs"\nvalue = 100.0\nsource = "docs/jobs.md"\nlimit = 150\n'
                'mechanism = "jobs/store.py"\n',
            )
        )
        heads = [line for line in made.splitlines() if line.startswith("###")]
        self.assertEqual(
            heads,
            [
                "### What nothing carries",
                "### What is carried, worst fit first",
                "### Assumptions",
                "### Slopes",
                "### Plays",
            ],
        )
        carried = made[made.index(heads[1]) : made.index(heads[2])]
        fits = re.findall(r"^\| \**([0-9.]+)\** \|", carried, re.MULTILINE)
        self.assertEqual(fits, ["0.500", "1.50", "2.98"])
        self.assertIn("| **0.500** |", carried)
        self.assertEqual(self.row(made, "gangs")[:4], ["operator", "gangs", "they wait", "8 slots"])
        self.assertIn("reckoned: docs/jobs.md", self.row(made, "jobs/store.py"))
        self.assertEqual(
            notes, ["tally: 10 of 10 kept plays are of another text of the measure or its setting"]
        )
        self.assertIn("c0ffee", self.row(made, "`tally`"))

    def test_how_a_figure_is_known(self):
        def known(at: str, figure: str = "tally.bytes") -> tuple[str, str]:
            made, _ = tables(self.target(BYTES.replace('"dispatchers"', at).replace("tally.bytes", figure)))
            cells = self.row(made, "fleet/membership.py")
            return cells[3], cells[5]

        self.assertEqual(
            known("50"),
            ("4,200", "hollow; measured at 50 members, 2 plays or more that differ by 0.0% at most"),
        )
        self.assertEqual(
            known('"dispatchers"'), ("3,360", "hollow; at 40 members, between measured points, by 0 + 84.0 n")
        )
        value, how = known("500")
        self.assertEqual(value, "42,000")
        self.assertIn(
            "extrapolated to 500 members from 10, 20, 50, 100, 200 by 0 + 84.0 n, 2.5 times beyond the last",
            how,
        )
        self.assertNotIn(MARK, how)
        self.assertNotIn(MARK, known("600")[1])
        self.assertIn(f"3 times beyond the last {MARK}", known("601")[1])
        self.assertIn(f"10 times beyond the last {MARK}", known("2000", "tally.whole_bytes")[1])

    def test_a_law_that_is_not_ruled_out_is_told_with_what_it_says(self):
        (self.folder / "kept/tally.jsonl").unlink()
        for n, value in ((10, 101.0), (20, 99.0), (50, 102.0), (100, 99.0), (200, 101.0)):
            self.keep((n,), figures={"bytes": value})
        made, _ = tables(self.target(BYTES.replace('"dispatchers"', "400")))
        self.assertRegex(
            self.row(made, "fleet/membership.py")[5],
            "by constant, 100, 2 times beyond the last; not ruled out: 1",
        )
        self.assertIn(
            "not ruled out n (", self.row(made, "`tally.bytes`", "constant, 100", "bytes, hollow")[5]
        )

    def test_factors(self):
        made, _ = tables(
            self.target(
                BYTES.replace(
                    'limit = "bytes_per_second"',
                    'at_factor = 2.5\nat_reason = "a peak"\ntimes = ["changes_per_day"]\nper = ["machines"]\n'
                    'factor = 1.1574074074074073e-05\nfactor_reason = "a day\'s seconds"\nlimit = "bytes_per_second"\nleast = true',
                )
            )
        )
        cells = self.row(made, "fleet/membership.py")
        self.assertEqual(
            (cells[0], cells[3], cells[4]), ("**0.00210**", "21.0", "at least 10,000 (bytes_per_second)")
        )
        self.assertIn("measured at 100 members", cells[5])
        for words in (
            "2.5 times dispatchers: a peak",
            "times changes_per_day",
            "divided by machines",
            "a day's seconds",
        ):
            self.assertIn(words, cells[5])

    def test_assumptions_and_what_twice_as_much_does(self):
        made, _ = tables(self.target(BYTES))
        self.assertEqual(
            self.row(made, "as today"),
            ["dispatchers", "40.0", "as today", "twice the messages", "dispatcher, bytes: fits 1.49"],
        )
        self.assertEqual(self.row(made, "few send most")[-1], "-")

    def test_the_last_whole_play_counts_and_those_that_never_ended_are_told(self):
        self.keep((50,), figures={"bytes": 9000.0})
        self.keep((20,), figures={}, fault="broke")  # there is a whole one
        made, _ = tables(self.target(BYTES.replace('"dispatchers"', "50")))
        self.assertEqual(self.row(made, "fleet/membership.py")[3], "9,000")
        self.assertEqual(self.row(made, "`tally`")[1:3], ["10", "0"])
        text = (self.folder / "tally.toml").read_text()
        (self.folder / "tally.toml").write_text(text.replace("200]\npl", "200, 400]\npl"))
        self.keep((400,), figures={}, fault="broke")
        made, _ = tables(self.target(BYTES))
        self.assertEqual(self.row(made, "`tally`")[1:3], ["10", "2"])

    def test_missing_slopes(self):
        for figure, *words in (
            ("nonesuch.bytes", "there is no plan nonesuch.toml"),
            ("tally.nonesuch", "has no such figure", "bytes, whole_bytes, longest"),
        ):
            path = self.target(BYTES.replace("tally.bytes", figure))
            with self.subTest(figure), self.assertRaises(NoSlope) as caught:
                tables(path)
            for word in ("target.toml: rows[0].figure", figure, *words):
                self.assertIn(word, str(caught.exception))
            made, _ = tables(path, partial=True)
            self.assertIn(words[0], self.row(made, f"`{figure}`")[3])
        (self.folder / "kept/tally.jsonl").unlink()
        path = self.target(BYTES)
        for points, word in (
            ((), "no play of it is kept"),
            ((10, 200), "2 points from 10 to 200 give no law"),
        ):
            self.keep(points)
            with self.subTest(points), self.assertRaises(NoSlope) as caught:
                tables(path)
            self.assertIn(word, str(caught.exception))
            self.assertIn("pathsaddle experiment run", str(caught.exception))
        (self.folder / "tally.toml").write_text('ground = "scale"')
        with self.assertRaises(NoSlope) as caught:
            tables(path)
        self.assertIn("its plan can't be used: is missing", str(caught.exception))

    def test_a_target_that_is_wrong(self):
        carrier = BYTES + "carrier = false\n"
        for text, name, *words in (
            (
                NUMBERS.replace("gang = 8", "gangs = 8") + BYTES,
                "charter.unknown-key",
                "numbers.gangs",
                "gang",
            ),
            (NUMBERS.replace("gang = 8", "") + BYTES, "charter.missing", "numbers.gang"),
            (
                NUMBERS.replace("workers = 100", "workers = 0") + BYTES,
                "charter.out-of-bounds",
                "numbers.workers",
            ),
            (NUMBERS, "charter.missing", "rows"),
            (
                NUMBERS + BYTES.replace('"dispatchers"', '"gans"'),
                "charter.not-among",
                "rows[0].at",
                '"gans"',
                "dispatchers",
            ),
            (NUMBERS + BYTES.replace('"bytes_per_second"', '"b"'), "charter.not-among", "rows[0].limit"),
            (NUMBERS + BYTES + 'times = ["x"]\n', "charter.not-among", "rows[0].times[0]"),
            (NUMBERS + BYTES + 'per = ["x"]\n', "charter.not-among", "rows[0].per[0]"),
            (NUMBERS + BYTES + "factor = 2\n", "charter.missing", "rows[0].factor_reason"),
            (NUMBERS + BYTES + "at_factor = 2\n", "charter.missing", "rows[0].at_reason"),
            (NUMBERS + BYTES + "value = 2\nsource = 's'\n", "charter.wrong", "rows[0].value"),
            (
                NUMBERS + BYTES.replace('figure = "tally.bytes"', "value = 2"),
                "charter.missing",
                "rows[0].source",
            ),
            (NUMBERS + BYTES.replace('figure = "tally.bytes"', ""), "charter.missing", "rows[0].figure"),
            (
                NUMBERS + BYTES.replace('"tally.bytes"', '"tally"'),
                "charter.wrong-kind",
                "rows[0].figure",
                "PLAN.FIGURE",
            ),
            (NUMBERS + BYTES.replace('at = "dispatchers"', ""), "charter.missing", "rows[0].at"),
            (NUMBERS + BYTES.replace('limit = "bytes_per_second"', ""), "charter.missing", "rows[0].limit"),
            (
                NUMBERS + BYTES.replace('mechanism = "fleet/membership.py"', ""),
                "charter.missing",
                "rows[0].mechanism",
            ),
            (NUMBERS + carrier, "charter.missing", "rows[0].instead", "rows[0].hurts_at"),
            (
                NUMBERS.replace('key = "dispatchers"', 'key = "gang"') + BYTES,
                "charter.twice",
                "assumptions[0].key",
            ),
            (
                NUMBERS.replace("value = 40", 'value = "x"') + BYTES,
                "charter.wrong-kind",
                "assumptions[0].value",
            ),
        ):
            with self.subTest(words), self.assertRaises(InvalidConfigError) as caught:
                read(self.target(numbers=text))
            for word in ("target.toml", f"[{name}]", *words):
                self.assertIn(word, str(caught.exception))

    def test_the_page_between_its_marks(self):
        page = f"before\n{BEGIN}\nold\n{END}\nafter\n"
        once = paged(page, "new\n", "p")
        self.assertEqual(once, f"before\n{BEGIN}\n\nnew\n\n{END}\nafter\n")
        self.assertEqual(paged(once, "new\n", "p"), once)
        for bad in ("", BEGIN, END + BEGIN, page + page, BEGIN + page):
            with self.subTest(bad), self.assertRaises(NoMarks):
                paged(bad, "new\n", "p")
        with self.assertRaises(NoPage):
            read_page(self.folder / "none")

    def test_the_command(self):
        def command(*told: str) -> subprocess.CompletedProcess[str]:
            return subprocess.run(
                [sys.executable, "-m", "pathsaddle", "experiment", "capacity", *told],
                cwd=ROOT,
                check=False,
                capture_output=True,
                text=True,
                timeout=60,
            )

        target = str(self.target(BYTES))
        done = command(target)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("| 2.98 | dispatcher | bytes |", done.stdout)
        page = self.folder / "page.md"
        page.write_text(f"{BEGIN}\n{END}\n")
        self.assertEqual(command(target, "--page", str(page)).returncode, 0)
        self.assertIn(done.stdout.strip(), page.read_text())
        done = command(target, "--kept", str(self.folder / "none"))
        self.assertEqual((done.returncode, done.stdout), (2, ""))
        self.assertIn("[experiment.no-slope]", done.stderr)
        self.assertIn(
            "Not measured yet", command(target, "--kept", str(self.folder / "none"), "--partial").stdout
        )


class OurPage(unittest.TestCase):
    """docs/CAPACITY.md is what the kept results say; nothing is measured here."""

    def test_the_page_is_made_of_the_kept_results(self):
        page = (ROOT / "docs/CAPACITY.md").read_text()
        made, _ = tables(ROOT / "experiments/scale/target.toml", partial=True)
        self.assertEqual(
            paged(page, made, "docs/CAPACITY.md"),
            page,
            "docs/CAPACITY.md is old: `pathsaddle experiment "
            "capacity experiments/scale/target.toml --partial --page docs/CAPACITY.md`",
        )

    def test_the_numbers_are_the_operators(self):
        numbers = read(ROOT / "experiments/scale/target.toml").numbers
        self.assertEqual(
            (
                numbers.workers,
                numbers.accelerators,
                numbers.jobs_per_day,
                numbers.starts_per_second,
                numbers.open_tasks,
                numbers.gang,
                numbers.teams,
                numbers.urgent_seconds,
                numbers.regions,
                numbers.zones,
                numbers.changes_per_day,
                numbers.in_force_seconds,
                numbers.control_core,
                numbers.memory_mb,
                numbers.bytes_per_second,
                numbers.machines,
                numbers.failures_per_day,
                numbers.replaced_per_day,
            ),
            (1900, 3700, 30_000, 270, 11_000, 64, 750, 8.6, 8, 25, 3700, 18, 0.036, 64, 13_000, 16, 29, 770),
        )

    def test_each_mechanism_is_there(self):
        for row in read(ROOT / "experiments/scale/target.toml").rows:
            for part in filter(None, row.mechanism.split(", ")):
                self.assertTrue((ROOT / "pathsaddle" / part).exists(), part)


if __name__ == "__main__":
    unittest.main()
