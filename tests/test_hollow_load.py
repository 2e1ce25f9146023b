"""Stories of the scale rig's measures of load: starts, gangs, open txns, the store of durable jobs."""

import tomllib
import unittest
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from pathsaddle.emulator.hollow import gangs, jobs_store, open_sockets, open_txns, starts, starts_peaks
from pathsaddle.emulator.hollow.waits import percentile
from pathsaddle.event_log import Event
from pathsaddle.scheduler_types import SECOND

PLANS = Path(__file__).resolve().parent.parent / "experiments" / "scale"


class Measures(unittest.TestCase):
    def plays(self, measure: ModuleType, point: int, seed: int = 1, **setting: object) -> dict[str, float]:
        found: dict[str, float] = measure.measure(point, seed, measure.Setting(**setting))
        self.assertEqual(sorted(found), sorted(measure.FIGURES))
        for name, figure in found.items():
            self.assertIsInstance(figure, int | float, name)
        return found

    def plays_alike(self, measure: ModuleType, point: int, **setting: object) -> dict[str, float]:
        """On the virtual ground the same seed gives the same figures, all of them."""
        found = self.plays(measure, point, **setting)
        self.assertEqual(found, self.plays(measure, point, **setting))
        return found


class Starts(Measures):
    def test_urgent_work_starts_and_the_same_seed_gives_the_same_figures(self) -> None:
        found = self.plays_alike(starts, 20, seconds=5.0, warm=1.0)
        self.assertGreater(found["urgent_jobs"], 0)
        self.assertEqual((found["urgent_unstarted"], found["urgent_over"], found["findings"]), (0.0, 0.0, 0))
        self.assertLessEqual(found["urgent_p50_ms"], found["urgent_p99_ms"])
        self.assertLessEqual(found["urgent_p99_ms"], found["urgent_most_ms"])

    def test_beyond_what_can_be_served_the_usual_work_is_what_is_declined(self) -> None:
        found = self.plays(starts, 20, load=2.0, seconds=6.0, warm=1.0)
        self.assertGreater(found["offered"], 30.0)
        self.assertGreater(found["declined"], 0.0)
        self.assertGreater(found["other_unstarted"], found["urgent_unstarted"])

    def test_the_gate_and_a_lost_zone_play_as_well(self) -> None:
        found = self.plays_alike(starts, 20, gate=True, zone_lost=True, seconds=6.0, warm=1.0)
        self.assertEqual(found["findings"], 0)

    def test_work_with_a_key_each_waits_in_its_keepers_lines(self) -> None:
        # What is measured by it is a way of the program: who changes it finds the figures of docs changed.
        anywhere = self.plays(starts, 30, seconds=8.0, warm=2.0)
        keyed = self.plays(starts, 30, seconds=8.0, warm=2.0, keys=1_000_000)
        self.assertGreater(keyed["urgent_line_p99_ms"], anywhere["urgent_line_p99_ms"])

    def test_a_wait_counts_from_the_first_try_to_the_first_start(self) -> None:
        rows = [
            Event(100, "wanted", {"job": 1, "scheme": "urgent"}),
            Event(110, "asked", {"id": "a", "job": 1}),
            Event(120, "came", {"id": "a", "worker": "x"}),
            Event(400, "asked", {"id": "b", "job": 1}),
            Event(500, "came", {"id": "b", "worker": "y"}),
            Event(600, "ran", {"id": "b", "worker": "y"}),
            Event(700, "ran", {"id": "a", "worker": "x"}),
            Event(90, "wanted", {"job": 2, "scheme": "urgent"}),
            Event(200, "wanted", {"job": 3, "scheme": "urgent"}),
            Event(210, "wanted", {"job": 4, "scheme": "usual"}),
        ]
        self.assertEqual(starts.starts_of(rows, "urgent", 100), ([(100, 500, 600)], 2))


class Gangs(Measures):
    def test_a_set_that_fits_a_worker_starts_at_once(self) -> None:
        found = self.plays_alike(
            gangs,
            2,
            workers=2,
            slots=8,
            dispatchers=2,
            load=0.5,
            run=1.0,
            seconds=5.0,
            warm=1.0,
            patience=4.0,
        )
        self.assertEqual((found["whole"], found["together"], found["findings"]), (1.0, 1.0, 0))

    def test_a_set_that_no_worker_can_hold_is_held_and_then_declined(self) -> None:
        found = self.plays(
            gangs,
            16,
            workers=2,
            slots=8,
            dispatchers=2,
            load=0.5,
            run=1.0,
            seconds=5.0,
            warm=1.0,
            patience=4.0,
        )
        self.assertEqual((found["whole"], found["declined"], found["tries"]), (0.0, 1.0, 0.0))
        self.assertGreaterEqual(found["answer_p50_ms"], 4000.0)

    def test_as_many_txns_of_one_slot_start_one_by_one(self) -> None:
        found = self.plays_alike(
            gangs,
            8,
            form="set",
            workers=4,
            slots=4,
            dispatchers=2,
            load=0.5,
            run=1.0,
            seconds=5.0,
            warm=1.0,
            patience=4.0,
        )
        self.assertEqual(found["whole"], 1.0)
        self.assertGreater(found["last_most_ms"], 0.0)
        self.assertGreater(found["idle_own"], 0.0)

    def test_slots_free_behind_a_line_are_counted(self) -> None:
        setting = gangs.Setting(workers=1, slots=4, warm=0.0, seconds=1.0)
        rows = [
            Event(0, "came", {"id": "a", "worker": "x", "slots": 3.0}),
            Event(0, "ran", {"id": "a", "worker": "x"}),
            Event(2000, "came", {"id": "b", "worker": "x", "slots": 4.0}),
            Event(6000, "ended", {"id": "a", "worker": "x"}),
            Event(6000, "ran", {"id": "b", "worker": "x"}),
        ]
        busy, behind = gangs.slots_of(rows, setting)
        self.assertAlmostEqual(busy, (3 * 6000 + 4 * 4000) / 40_000)
        self.assertAlmostEqual(behind, 4000 / 40_000)


class OpenTxns(Measures):
    def test_all_are_open_cost_a_few_kilobytes_and_have_their_answer_in_time(self) -> None:
        found = self.plays(open_txns, 200, workers=10)
        self.assertEqual((found["posted"], found["held"], found["answered"]), (200, 200, 1.0))
        for name in ("posted_bytes", "held_bytes"):
            self.assertTrue(500 < found[name] < 20_000, found)

    def test_a_process_lets_in_what_its_limits_allow_and_answers_all_at_its_end(self) -> None:
        found = self.plays(open_sockets, 100, workers=4, sockets=128)
        self.assertEqual(found["open"] + found["declined"] + found["refused"], 100)
        self.assertTrue(0 < found["open"] < 100, found)
        self.assertLessEqual(found["descriptors"], 128)
        self.assertEqual((found["term_answered"], found["term_lost"], found["exit"]), (1.0, 0, 0))


class JobsStore(Measures):
    def test_all_that_is_kept_is_read_again_and_what_is_past_its_retention_is_let_go(self) -> None:
        found = self.plays(jobs_store, 300, open=30, forgets=0.5)
        self.assertEqual(found["forgotten"] + found["left"], 300)
        self.assertTrue(140 <= found["forgotten"] <= 155, found)
        self.assertAlmostEqual(found["bytes_a_job"], found["file_bytes"] / 300)

    def test_ended_jobs_ended_over_the_last_month_and_open_ones_can_still_be_done(self) -> None:
        now = 100 * jobs_store.DAY
        rows = jobs_store.writes(50, 1, jobs_store.Setting(open=5), now)
        self.assertEqual([len(job) for job in rows], [3] * 45 + [1] * 5)
        self.assertTrue(all(now - 30 * jobs_store.DAY <= job[0].accepted_at <= now for job in rows))
        self.assertTrue(all(job[0].expires_at >= now + 3600 * SECOND for job in rows[45:]))


class StartsPeaks(Measures):
    def test_a_hundredth_of_the_workers_is_slow_and_a_release_takes_each_once(self) -> None:
        slow = starts_peaks.Setting(load=0.9, run=2.0, slots=1)
        self.assertEqual([row["of"] for row in starts_peaks.troubles(90, slow)], ["east-0", "east-25"])
        release = starts_peaks.Setting(peak="release")
        rows = starts_peaks.troubles(90, release)
        self.assertEqual(sorted(row["of"] for row in rows), sorted(starts_peaks.names(90, release)))
        moments = [row["at"] for row in rows]
        self.assertEqual(len(dict.fromkeys(moments)), 10)
        self.assertLessEqual(max(moments.count(at) for at in moments), len(rows) // 10 + 1)

    def test_the_troubles_are_in_the_play_and_the_measure_is_starts_again_after_it(self) -> None:
        more = {"seconds": 5.0, "warm": 2.0, "load": 0.8}
        found = self.plays(starts_peaks, 12, peak="release", **more)
        calm = self.plays(starts, 12, **more)
        self.assertNotEqual([found[name] for name in sorted(found)], [calm[name] for name in sorted(calm)])
        self.assertEqual((found["workers"], found["findings"]), (calm["workers"], 0))


class Plans(unittest.TestCase):
    """Each plan of these measures fits its measure; the rig's own checks are its own tests'."""

    def test_settings_points_slopes_and_bounds_are_the_measures(self) -> None:
        measures: dict[str, Any] = {
            "starts": starts,
            "starts_peaks": starts_peaks,
            "gangs": gangs,
            "open_txns": open_txns,
            "open_sockets": open_sockets,
            "jobs_store": jobs_store,
        }
        seen = []
        for path in sorted(PLANS.glob("*.toml")):
            plan = tomllib.loads(path.read_text(encoding="utf-8"))
            measure = measures.get(plan.get("measure", ""))
            if measure is None:
                continue
            seen.append(plan["measure"])
            with self.subTest(path.name):
                setting = msgspec.convert(plan.get("setting", {}), measure.Setting)
                self.assertEqual(plan["name"], path.stem)
                for point in plan["points"]:
                    processes, mib = measure.needs(point, setting)
                    self.assertLessEqual(processes, plan["processes"])
                    self.assertLessEqual(mib, plan["memory_mib"], point)
                for slope in plan.get("slopes", []):
                    self.assertIn(slope["figure"], measure.FIGURES)
                    if "bound" in slope:
                        self.assertIn(slope["figure"], measure.COUNTED)
                        self.assertIn(slope["bound"]["point"], plan["short"])
        self.assertEqual(set(seen), set(measures))


class Percentiles(unittest.TestCase):
    def test_nearest_rank(self) -> None:
        ordered = list(range(1, 101))
        self.assertEqual([percentile(ordered, part) for part in (0.5, 0.99, 1.0)], [50.0, 99.0, 100.0])
        self.assertEqual((percentile([7], 0.5), percentile([], 0.5)), (7.0, 0.0))


if __name__ == "__main__":
    unittest.main()
