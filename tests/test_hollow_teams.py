"""Stories of the measures against teams, budgets and changes: every figure comes, and nothing is left running."""

import asyncio
import math
import os
import tempfile
import unittest
from pathlib import Path
from random import Random

import msgspec

from pathsaddle.emulator.hollow import budgets, changes, serving, teams


def children() -> list[int]:
    """Processes whose parent is this one, ended ones that nobody waited for among them."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            parent = int(stat.read_text(encoding="ascii").rpartition(")")[2].split()[1])
        except OSError:  # it has just ended
            continue
        if parent == os.getpid():
            found.append(int(stat.parent.name))
    return sorted(found)


class MeasureStory(unittest.TestCase):
    def measured(self, module, point, setting):
        before = children()
        found = module.measure(point, 1, setting)
        self.assertEqual(children(), before)
        self.assertEqual(set(found), set(module.FIGURES))
        self.assertTrue(all(math.isfinite(value) for value in found.values()), found)
        self.assertLessEqual(module.COUNTED, set(module.FIGURES))
        processes, memory = module.needs(point, setting)
        self.assertGreaterEqual(processes, 1)
        self.assertGreater(memory, 0)
        return found


class TeamsStory(MeasureStory):
    def test_a_few_teams_give_every_figure(self):
        found = self.measured(teams, 20, teams.Setting(txns=100, before=20.0, after=5.0))
        self.assertEqual(found["refused_budgets"], 4)  # 16 may stand there
        self.assertLess(found["even_over"], 0.1)
        self.assertLess(found["share_there"], 0.1)  # of 200 dispatchers each grants its own part
        self.assertEqual(found["share_right_s"], 5.0)

    def test_settings_grow_with_teams_and_what_is_counted_comes_out_alike(self):
        one, two = (len(teams.charter_text(count)) for count in (100, 200))
        self.assertAlmostEqual(two / one, 2, delta=0.1)
        setting = teams.Setting(before=20.0, after=5.0)
        self.assertEqual(teams.moved(20, 3, setting), teams.moved(20, 3, setting))

    def test_where_one_dispatcher_is_all_there_is_a_share_is_right_at_once(self):
        found = teams.moved(20, 1, teams.Setting(dispatchers=1, busy=100.0, before=10.0, after=5.0))
        self.assertEqual(found["share_there"], 1.0)
        self.assertLess(found["share_right_s"], 0.2)  # by the team's first txn after the move

    def test_the_skew_draws_the_first_most_often(self):
        skew, chance = teams.Teams(50, 1.1), Random(1)
        drawn = [skew.draw(chance) for _ in range(2000)]
        self.assertGreater(drawn.count(0), 2 * drawn.count(9))
        self.assertGreater(drawn.count(9), 0)
        self.assertAlmostEqual(sum(skew.parts), 1.0)


class BudgetsStory(MeasureStory):
    def test_a_few_budgets_give_every_figure_alike_each_time(self):
        setting = budgets.Setting(members=4, seconds=3.0)
        found = self.measured(budgets, 18, setting)
        again = budgets.measure(18, 1, setting)
        self.assertEqual(
            {name: found[name] for name in budgets.COUNTED}, {name: again[name] for name in budgets.COUNTED}
        )
        self.assertGreater(found["met"], 0.5)
        self.assertLessEqual(found["spare_bytes"], 400)

    def test_where_all_others_are_idle_every_want_is_met(self):
        found = budgets.measure(3, 1, budgets.Setting(members=4, idle=3, seconds=3.0))
        self.assertEqual(found["met"], 1.0)


class ChangesStory(MeasureStory):
    def test_a_round_of_two_dispatchers_gives_every_figure(self):
        found = self.measured(
            changes,
            3700,
            changes.Setting(dispatchers=2, workers=2, run=0.02, clients=2, teams=3, takers=4, document=9000),
        )
        # All 4 did before customers and schemes came into service; a budget does, as the first of a charter without [fleet].
        self.assertEqual(found["kinds_by_restart"], 2)
        self.assertGreater(found["asked"], 0)
        self.assertEqual(found["restarts_a_day"], 3700 * 200)
        self.assertLess(found["record_s"], found["document_s"])

    def test_what_is_reckoned_follows_from_what_was_run(self):
        found = changes.reckoned(
            1000, changes.Setting(), {"restart_s": 3.0, "restart_most_s": 4.0, "unserved_a_restart": 6.0}
        )
        self.assertEqual(found["in_force_s"], 40.0)  # ten parts of four seconds
        self.assertEqual(found["in_force_worst_s"], 80.0)
        self.assertAlmostEqual(found["rounds_under_way"], 40_000 / 86_400)
        self.assertAlmostEqual(found["out_part"], 3_000 / 86_400)
        self.assertAlmostEqual(found["unserved_part"], 6_000 / (20.0 * 86_400))

    def test_carrying_is_the_same_each_time_and_longer_for_more(self):
        few, many = (changes.Setting(takers=takers, document=9000) for takers in (3, 8))
        self.assertEqual(changes.carried(few, 1), changes.carried(few, 1))
        self.assertLess(changes.carried(few, 1)[0], changes.carried(many, 1)[0])


class ServingStory(unittest.TestCase):
    def test_a_dispatcher_that_refuses_its_file_is_not_waited_for(self):
        async def begin(folder: Path) -> None:
            ground = serving.Ground(folder, 1, 0, 0.0, lambda number, listen, discovery: {"listen": listen})
            try:
                await ground.begin()
                ground.dispatchers[0].begin()
                await ground.dispatchers[0].ready()
            finally:
                await ground.end()

        before = children()
        with tempfile.TemporaryDirectory() as folder, self.assertRaises(serving.NotReady) as caught:
            asyncio.run(begin(Path(folder)))
        self.assertIn("charter", str(caught.exception))
        self.assertEqual(children(), before)


class PlansStory(unittest.TestCase):
    def test_the_plans_settings_are_the_measures_own_and_what_they_need_is_allowed(self):
        import tomllib

        for module in (budgets, changes, teams):
            name = module.__name__.rpartition(".")[2]
            plan = tomllib.loads(Path(f"experiments/scale/{name}.toml").read_text(encoding="utf-8"))
            setting = msgspec.convert(plan.get("setting", {}), module.Setting)
            for point in plan["points"]:
                processes, memory = module.needs(point, setting)
                self.assertLessEqual(processes, plan["processes"])
                self.assertLessEqual(memory, plan["memory_mib"])
            for slope in plan["slopes"]:
                self.assertIn(slope["figure"], module.FIGURES)
                if "bound" in slope:
                    self.assertIn(slope["figure"], module.COUNTED)
                    self.assertIn(slope["bound"]["point"], plan["short"])


if __name__ == "__main__":
    unittest.main()
