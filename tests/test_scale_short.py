"""The short form of each plan of the scale rig that states a bound: counts, bytes and sizes, on any machine."""

import subprocess
import sys
import unittest
from pathlib import Path

from pathsaddle.experiment import scale

ROOT = Path(__file__).parent.parent
PLANS = [path for path in sorted((ROOT / "experiments/scale").glob("*.toml")) if path.name != "target.toml"]


class ShortForms(unittest.TestCase):
    def test_each_bound_is_at_a_point_of_the_short_form(self):
        for path in PLANS:
            plan = scale.read(path).plan
            for grows in plan.slopes:
                with self.subTest(path.name, figure=grows.figure):
                    self.assertTrue(grows.bound is None or grows.bound.point in plan.short)

    def test_the_short_forms_hold_their_bounds(self):
        for path in PLANS:
            if not scale.read(path).plan.short:
                continue
            with self.subTest(path.name):
                done = subprocess.run(
                    [sys.executable, "-m", "pathsaddle", "experiment", "run", str(path), "--short"],
                    cwd=ROOT,
                    check=False,
                    capture_output=True,
                    text=True,
                    timeout=300,
                )
                self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
                self.assertIn("every one held", done.stdout)


if __name__ == "__main__":
    unittest.main()
