"""Hollow members: what a measure returns, that the virtual ground's counts hang on the seed alone, that nothing of a
play on sockets is left when it ends or fails.
"""

import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from pathsaddle.emulator.hollow import (
    members,
    members_load,
    members_peaks,
    owners,
    owners_peaks,
    places,
    sockets_members,
)

ROOT = Path(__file__).resolve().parent.parent


def children():
    """Processes that this one started and that have not been waited for, by their ids."""
    found = []
    for task in Path("/proc/self/task").iterdir():
        found += (task / "children").read_text().split()
    return found


class PlacesStory(unittest.TestCase):
    def test_a_way_is_as_long_as_what_lies_between(self):
        some = places.places(50)
        self.assertEqual(len({place.zone for place in some}), places.ZONES)
        self.assertEqual(len({place.region for place in some}), places.REGIONS)
        self.assertEqual(some[0].way(some[25]), places.WITHIN_ZONE)
        self.assertEqual(some[0].way(some[8]), places.WITHIN_REGION)
        self.assertEqual(some[0].way(some[1]), places.BETWEEN)
        self.assertEqual(len({place.address for place in places.places(400)}), 400)


class VirtualStory(unittest.TestCase):
    MEASURES = (
        (members, 6, {}),
        (members_peaks, 6, {"apart": 20.0}),
        (members_load, 6, {}),
        (owners, 6, {"rest": 5.0}),
        (owners, 2, {"against": "keys", "members": 6, "rest": 5.0}),
    )

    def test_each_measure_returns_all_its_figures_and_the_same_seed_the_same_counts(self):
        for measure, point, more in self.MEASURES:
            with self.subTest(measure=measure.__name__, **more):
                setting = measure.Setting(**more)
                one, again = (measure.measure(point, 3, setting) for _ in range(2))
                self.assertEqual(sorted(one), sorted(measure.FIGURES))
                self.assertLess(measure.COUNTED, set(measure.FIGURES))
                self.assertEqual(
                    {name: one[name] for name in measure.COUNTED},
                    {name: again[name] for name in measure.COUNTED},
                )
                other = measure.measure(point, 4, setting)
                self.assertNotEqual(
                    [one[name] for name in sorted(measure.COUNTED)],
                    [other[name] for name in sorted(measure.COUNTED)],
                )
                processes, memory = measure.needs(point, setting)
                self.assertEqual(processes, 1)
                self.assertGreater(memory, 0)

    def test_owners_peaks_hang_on_the_seed_alone_and_each_is_seen(self):
        setting = owners_peaks.Setting(settle=6.0, watched=10.0, each=1.5)
        one, again = (owners_peaks.measure(6, 3, setting) for _ in range(2))
        self.assertEqual((one, sorted(one)), (again, sorted(owners_peaks.FIGURES)))
        self.assertGreater(one["new_unowned_s"], 0.0)
        self.assertGreater(one["release_lost"], 0.0)
        self.assertEqual((one["slow_unowned_s"], one["slow_lost"]), (0.0, 0.0), "four of five are enough")

    def test_at_rest_nobody_is_taken_for_dead_and_all_know_all(self):
        told = members.measure(8, 1, members.Setting())
        self.assertEqual((told["wrong_deaths"], told["rows_kept"]), (0.0, 7.0))
        self.assertLess(told["most_out"], members.Setting().most_bytes)
        self.assertGreater(told["bytes_out_s"], told["carried_out_s"])
        self.assertGreater(told["death_known_p50_s"], 1.0)

    def test_what_a_way_loses_does_not_arrive(self):
        told = members.measure(8, 1, members.Setting(loss=0.05))
        self.assertLess(told["bytes_in_s"], told["bytes_out_s"])

    def test_a_change_is_known_after_two_ways_there_and_back_and_two_syncs(self):
        told = owners.measure(6, 1, owners.Setting(rest=20.0))
        self.assertAlmostEqual(
            told["commit_p50_s"], 4 * places.BETWEEN + 2 * owners.Setting().sync, delta=0.01
        )
        self.assertEqual(told["reads_failed"], 0.0)
        self.assertGreater(told["voter_syncs_s"], 0.0)


class SocketsStory(unittest.TestCase):
    def test_a_play_returns_all_its_figures_and_leaves_no_process(self):
        setting = sockets_members.Setting(shard=3, settle=3.0, rest=2.0)
        told = sockets_members.measure(5, 1, setting)
        self.assertEqual(sorted(told), sorted(sockets_members.FIGURES))
        for name in (
            "cpu_us_s",
            "bytes_out_s",
            "datagrams_out_s",
            "real_us_s",
            "alone_us_s",
            "real_bytes_out_s",
        ):
            self.assertGreater(told[name], 0.0, name)
        self.assertEqual(sockets_members.needs(5, setting)[0], 5)
        self.assertEqual(children(), [])

    def test_a_play_that_fails_leaves_no_process_either(self):
        silent = mock.patch.object(
            sockets_members.Real, "_until", side_effect=sockets_members.NoAnswer("nothing")
        )
        with silent, self.assertRaises(sockets_members.NoAnswer):
            sockets_members.measure(3, 1, sockets_members.Setting(settle=0.0, rest=0.0))
        self.assertEqual(children(), [])

    def test_a_process_with_members_ends_when_nobody_speaks_to_it(self):
        told = '{"first": 0, "addresses": ["127.0.0.1:0"], "seed": 1, "setting": {}}'
        done = subprocess.run(
            [sys.executable, "-m", sockets_members.__name__, told],
            cwd=ROOT,
            timeout=60,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertIn("r0-z00-d000", done.stdout)


if __name__ == "__main__":
    unittest.main()
