"""The judge proven: each deliberate rule breaker is caught and named, the program itself is not."""

import contextlib
import multiprocessing
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from pathsaddle.emulator import plan, stage
from pathsaddle.emulator.judges.judge import Judge, judge
from pathsaddle.emulator.judges.mutants import FLEET_MUTANTS, JOB_MUTANTS, MUTANTS, mutated
from pathsaddle.event_log import Event

ROOT = Path(__file__).parent.parent
PLAN = ROOT / "experiments/mutants.toml"
FLEET = ROOT / "experiments/vast-smoke.toml"
JOBS = ROOT / "experiments/jobs-mutants.toml"


def broken_by(name: str, path: Path = PLAN) -> dict[str, int]:
    told = plan.read(path)
    if name == "two-at-once":
        told.charter["allowed"] = {"two_at_once": False}
    # Three seeds in eight give a second copy its chance, and which ones changes with any change of what decides.
    broken: dict[str, int] = {}
    for seed in range(1, 17) if name == "two-at-once" else told.all_seeds[:1]:
        with mutated(name) if name else contextlib.nullcontext():
            outcome = stage.virtual(told, seed)
        broken = judge(plan.charter_of(told), outcome.events.rows).broken()
        if broken:
            break
    return broken


class MutantStory(unittest.TestCase):
    def test_each_mutant_is_caught_and_named_and_the_program_is_clean(self) -> None:
        names = ["", *MUTANTS]
        with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
            found = dict(zip(names, pool.map(broken_by, names), strict=True))
        self.assertEqual(found.pop(""), {})
        for name, broken in found.items():
            with self.subTest(name):
                for rule in MUTANTS[name][1][:1]:
                    self.assertIn(rule, broken)

    def test_each_mutant_of_durable_jobs_and_of_a_fleet_is_caught(self) -> None:
        for path, mutants in ((JOBS, JOB_MUTANTS), (FLEET, FLEET_MUTANTS)):
            names = ["", *mutants]
            with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
                found = dict(zip(names, pool.map(broken_by, names, [path] * len(names)), strict=True))
            self.assertEqual(found.pop(""), {})
            for name, broken in found.items():
                with self.subTest(name):
                    self.assertTrue([rule for rule in mutants[name][1] if rule in broken], broken)


class JudgeStory(unittest.TestCase):
    """What the judge excuses, and what not, from events written by hand."""

    def setUp(self) -> None:
        self.charter = plan.charter_of(plan.read(PLAN))
        self.events: list[Event] = []
        self.add(0, "started", dispatcher=0)

    def add(self, at: int, what: str, **more: object) -> None:
        self.events.append(Event(at, what, more))

    def asked(self, tag: str, at: int, scheme: str = "charge") -> None:
        self.add(
            at,
            "wanted",
            job=len(self.events),
            scheme=scheme,
            work=100,
            slots=1.0,
            customer="north",
            due=at + 9000,
            zone="east",
        )
        self.add(
            at, "asked", id=tag, job=len(self.events) - 1, dispatcher=0, scheme=scheme, expires=at + 80_000
        )

    def came(self, tag: str, at: int, worker: str = "w", zone: str = "east") -> None:
        self.add(
            at, "came", id=tag, worker=worker, dispatcher=0, begun=at, work=100, slots=1.0, zone=zone, cell=0
        )

    def answered(self, tag: str, at: int, how: str = "settled") -> None:
        self.add(at, "answered", id=tag, how=how, seen=at, status=0)

    def broken(self) -> dict[str, int]:
        return judge(self.charter, self.events, 20).broken()

    def test_no_answer_is_excused_by_a_hang_up_and_by_the_dispatchers_death_alone(self) -> None:
        self.asked("left", 0)
        self.add(50, "hung_up", id="left", early=True)
        self.asked("waits", 0)
        self.add(82_000, "hung_up", id="waits", early=False)
        self.assertEqual(self.broken(), {"lost": 1})
        self.add(40_000, "killed", dispatcher=0)
        self.assertEqual(self.broken(), {})

    def test_a_second_answer_and_one_too_late(self) -> None:
        self.asked("a", 0)
        self.answered("a", 100)
        self.answered("a", 200)
        self.asked("b", 0)
        self.answered("b", 80_100, "reversed")
        self.assertEqual(self.broken(), {"twice": 1, "late": 1})

    def test_once_only_again_is_harmless_only_once_it_is_known_not_to_have_run(self) -> None:
        self.asked("a", 0)
        self.came("a", 100)
        self.add(200, "turned_away", id="a", worker="w")
        self.came("a", 300, "x")
        self.answered("a", 900)
        self.assertEqual(self.broken(), {})
        self.asked("b", 0)
        self.came("b", 100)
        self.came("b", 300, "x")
        self.add(400, "turned_away", id="b", worker="w")
        self.answered("b", 900)
        self.assertEqual(self.broken(), {"repeat": 1})

    def test_drains_count_from_the_moment_of_being_told(self) -> None:
        for i, at in enumerate((5_000, 14_000, 16_000)):
            self.asked(f"a{i}", at - 10)
            self.came(f"a{i}", at)
            self.answered(f"a{i}", at + 10)
        self.add(9_000, "changed", worker="w", status="leaving")
        self.add(10_000, "told_list", dispatcher=0, worker="w", status="leaving")
        self.assertEqual(self.broken(), {"drain": 1})

    def test_where_dropped_workers_stay_open_gone_alone_binds_nobody_and_draining_does(self) -> None:
        self.asked("a", 20_000)
        self.came("a", 20_010)
        self.answered("a", 20_020)
        self.add(9_000, "changed", worker="w", status="left")
        self.add(10_000, "told_list", dispatcher=0, worker="w", status="left")
        self.assertEqual(self.broken(), {"drain": 1})
        self.charter.rules.dropped_stay_open = True
        self.assertEqual(self.broken(), {})
        self.add(8_000, "told_list", dispatcher=0, worker="w", status="leaving")
        self.assertEqual(self.broken(), {"drain": 1})

    def test_a_silent_watch_counts_as_told_after_its_time(self) -> None:
        self.add(0, "watched", dispatcher=0)
        self.add(10_000, "changed", worker="w", status="left")
        for at in (60_000, 90_000):
            self.asked(f"a{at}", at - 10)
            self.came(f"a{at}", at)
            self.answered(f"a{at}", at + 10)
        self.assertEqual(self.broken(), {"drain": 1})

    def test_a_list_out_of_reach_tells_nothing_as_long_as_it_is_asked_for(self) -> None:
        self.add(10_000, "changed", worker="w", status="left")
        for at in range(0, 200_000, 20_000):
            self.add(at, "asked_list", dispatcher=0)
        self.asked("a", 150_000)
        self.came("a", 150_010)
        self.answered("a", 150_020)
        self.assertEqual(self.broken(), {})

    def test_events_are_read_in_the_order_of_their_moments(self) -> None:
        self.asked("a", 0)
        self.add(
            300, "came", id="a", worker="w", dispatcher=0, begun=300, work=1, slots=1.0, zone="e", cell=0
        )
        self.add(100, "hung_up", id="a", early=True)
        one = Judge(self.charter)
        one.read(reversed(self.events))
        self.assertEqual(one.verdict().broken(), {"after": 1})


if __name__ == "__main__":
    unittest.main()
