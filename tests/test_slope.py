"""Stories of the slopes: the law that made the points is found, and what is left unexplained is told."""

import math
import unittest
from random import Random

from pathsaddle.experiment.slope import LAWS, FewPoints, fit, judged, number, told

POINTS = (60, 120, 240, 480, 960, 1900)


def made(law: str, a: float, b: float, noise: float = 0.0, plays: int = 3, seed: int = 1):
    chance = Random(seed)
    return {
        n: [(a + b * LAWS[law](n)) * (1 + chance.uniform(-noise, noise)) for _ in range(plays)]
        for n in POINTS
    }


class Fitting(unittest.TestCase):
    def test_each_law_is_found_with_its_numbers(self):
        for law, b in (("constant", 0.0), ("n", 0.5), ("nlogn", 0.1), ("n2", 0.01)):
            with self.subTest(law):
                slope = fit("f", made(law, 7.0, b))
                self.assertEqual(slope.law, law)
                self.assertAlmostEqual(slope.a, 7.0, 6)
                self.assertAlmostEqual(slope.b, b, 9)
                self.assertLess(slope.unexplained, 1e-9)
                self.assertEqual(slope.rivals, [])

    def test_noise_does_not_make_a_faster_law_of_a_slow_one(self):
        for seed in range(40):
            slope = fit("f", made("constant", 100.0, 0.0, noise=0.03, seed=seed))
            self.assertLess(abs(slope.at(1900) / 100 - 1), 0.06, (seed, slope.law))
            slope = fit("f", made("n", 5.0, 1.0, noise=0.03, seed=seed))
            self.assertIn(slope.law, ("n", "nlogn"))
            self.assertIn("constant", [law for law, margin in slope.margins.items() if margin > 2], seed)
            self.assertIn("n2", [law for law, margin in slope.margins.items() if margin > 2], seed)
            if slope.law != "n":
                self.assertIn("n", slope.rivals)  # and is named as not ruled out

    def test_a_slower_law_wins_where_a_faster_one_is_hardly_better(self):
        slope = fit("f", made("n", 5.0, 1.0, noise=0.02), ["nlogn", "n"])
        self.assertEqual(list(slope.errors), ["n", "nlogn"])
        least = min(slope.errors.values())
        self.assertEqual(slope.law, "n" if slope.errors["n"] <= 1.1 * least else "nlogn")

    def test_what_is_left_unexplained(self):
        plays = {n: [1000.0 + n] for n in POINTS}
        plays[240] = [1000.0 + 240 + 50, 1000.0 + 240 + 70]
        slope = fit("f", plays)
        self.assertEqual(slope.worst_at, 240)
        self.assertGreater(slope.unexplained, 0.005)
        self.assertEqual(slope.plays, 1)
        self.assertAlmostEqual(slope.spread, 20 / 1300)

    def test_predictions_say_how_far_beyond_they_are(self):
        slope = fit("f", {n: [2.0 * n] for n in (10, 20, 40, 80)})
        at, between, beyond = slope.predicts(40), slope.predicts(50), slope.predicts(240)
        self.assertTrue(at.measured)
        self.assertEqual((between.measured, between.beyond), (False, 50 / 80))
        self.assertAlmostEqual(beyond.value, 480.0)
        self.assertEqual(beyond.beyond, 3.0)

    def test_at_a_measured_point_what_was_measured_stands(self):
        plays = {n: [2.0 * n] for n in (10, 20, 40, 80)} | {20: [50.0, 54.0]}
        self.assertEqual(fit("f", plays).predicts(20).value, 52.0)

    def test_too_few_points_or_too_near(self):
        for plays in (
            {},
            {10: [1.0]},
            {10: [1.0], 20: [1.0], 80: [1.0]},
            {n: [1.0] for n in (10, 20, 40, 79)},
            {10: [1.0], 20: [1.0], 40: [1.0], 80: []},
        ):
            with self.subTest(plays), self.assertRaises(FewPoints) as caught:
                fit("p.f", plays)
            self.assertIn("p.f", str(caught.exception))

    def test_a_figure_that_is_nought_everywhere(self):
        slope = fit("f", {n: [0.0, 0.0] for n in POINTS})
        self.assertEqual(
            (slope.law, slope.a, slope.unexplained, slope.worst, slope.spread),
            ("constant", 0.0, 0.0, 0.0, 0.0),
        )

    def test_words(self):
        slope = fit("f", made("n2", -3.0, 0.25))
        self.assertEqual(told(slope), "-3.00 + 0.250 n²")
        self.assertIn("ruled out constant", judged(slope))
        self.assertEqual(
            [number(x) for x in (0, 0.0123456, 3.14159, 45678.9, -1.5, math.inf)],
            ["0", "0.0123", "3.14", "45,700", "-1.50", "inf"],
        )


if __name__ == "__main__":
    unittest.main()
