"""Shared settings among keepers and members on the virtual ground: drawn faults, what they found, planted ones."""

import tempfile
import unittest
from pathlib import Path

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.emulator.hollow import settings as hollow
from pathsaddle.emulator.settings import smoke
from pathsaddle.emulator.settings.judge import judge
from pathsaddle.emulator.settings.mutants import MUTANTS, planted
from pathsaddle.emulator.settings.world import SECOND, Plan, World
from pathsaddle.event_log import Event

PLANS = Path(__file__).parent.parent / "experiments"


class Drawn(unittest.TestCase):
    def holds(self, plan: Plan, seed: int) -> World:
        world = World(plan, seed).run()
        self.assertEqual(
            [(one.bound, one.text) for one in judge(world.events.rows)], [], (plan.members, seed)
        )
        return world

    def test_every_bound_holds_through_drawn_faults(self) -> None:
        revisions = 0
        for seed in range(12):
            revisions += self.holds(Plan(astray=0.2), seed).cell.revision
        self.assertGreater(revisions, 100)

    def test_a_member_whose_disk_was_lost_acts_on_nothing_before_it_has_a_lease(self) -> None:
        """Found by these seeds: it had said what was on its disk, lost it, and on its way back from nothing acted on what
        was forbidden and told in force, on its word.
        """
        for plan, seed in ((Plan(), 9), (Plan(), 26), (Plan(members=20, regions=5, keepers=5), 3)):
            self.holds(plan, seed)

    def test_the_same_seed_is_the_same_run(self) -> None:
        self.assertEqual(World(Plan(), 5).run().events.digest(), World(Plan(), 5).run().events.digest())

    def test_with_nobody_to_answer_members_serve_on_by_what_they_have_and_nothing_comes_into_force(
        self,
    ) -> None:
        world = World(Plan(founded=True, faults=0.0, seconds=20.0, quiet=1.0, loss=0.0), 3)

        def all_go() -> None:
            for name in world.keepers:
                world.processes[name].die()

        world.at(8 * SECOND, all_go)
        rows = world.run().events.rows
        self.assertEqual(judge(rows, last=False), [])
        late = [event for event in rows if event.what == "acts" and event.at > 15 * SECOND]
        self.assertEqual({event.more["name"] for event in late}, {f"m{i}" for i in range(5)})
        self.assertFalse(any(event.more["leased"] for event in late))
        self.assertFalse(any(event.what == "force" and event.at > 9 * SECOND for event in rows))

    def test_who_was_away_for_long_gets_a_snapshot_where_the_log_no_longer_leads(self) -> None:
        world = World(Plan(founded=True, faults=0.0, seconds=60.0, changes=90.0, log=8, loss=0.0), 4)
        away = world.processes["m0"]
        world.at(5 * SECOND, away.die)
        world.at(50 * SECOND, away.begin)
        rows = world.run().events.rows
        self.assertEqual(judge(rows), [])
        self.assertGreater(world.cell.revision, 40)


class Judged(unittest.TestCase):
    def test_each_planted_fault_is_found_under_its_bound(self) -> None:
        for name, (bound, _, plan) in MUTANTS.items():
            with planted(name):
                found = any(
                    one.bound == bound
                    for seed in range(60)
                    for one in judge(World(plan, seed).run().events.rows, last=bound == "stuck")
                )
            self.assertTrue(found, name)

    def test_on_the_plans_of_the_planted_ones_nothing_is_found_without_them(self) -> None:
        for name, (bound, _, plan) in MUTANTS.items():
            for seed in range(2):
                self.assertEqual(judge(World(plan, seed).run().events.rows, last=bound == "stuck"), [], name)

    def test_good_histories_that_look_bad(self) -> None:
        """Alone on an older revision that the one in force allows; on an older one that a later loosening allows again."""

        def row(at: int, what: str, **more: object) -> Event:
            return Event(at, what, more)

        def acts(at: int, revision: int, value: int, leased: bool = False) -> Event:
            return row(
                at,
                "acts",
                name="m",
                life=1,
                revision=revision,
                digest=f"d{revision}",
                leased=leased,
                key="customers.a",
                value=f'{{"allowance":{value}}}',
                whole="",
            )

        def put(at: int, revision: int, value: int) -> Event:
            return row(
                at,
                "set",
                revision=revision,
                digest=f"d{revision}",
                whole=f"w{revision}",
                puts=[("customers.a", f'{{"allowance":{value}}}')],
            )

        good = [
            put(0, 1, 5),
            acts(1, 1, 5, True),
            put(2, 2, 9),
            row(3, "force", name="k", revision=2),
            acts(4, 1, 5),
        ]
        self.assertEqual(judge(good, last=False), [])
        again = [
            put(0, 1, 5),
            put(1, 2, 3),
            row(2, "force", name="k", revision=2),
            put(3, 3, 6),
            acts(4, 1, 5),
        ]
        self.assertEqual(judge(again, last=False), [])
        bad = [put(0, 1, 5), put(1, 2, 3), row(2, "force", name="k", revision=2), acts(4, 1, 5)]
        self.assertEqual([one.bound for one in judge(bad, last=False)], ["in-force"])
        leased = [put(0, 1, 5), put(1, 2, 9), row(2, "force", name="k", revision=2), acts(4, 1, 5, True)]
        self.assertEqual([one.bound for one in judge(leased, last=False)], ["in-force"])
        back = [put(0, 1, 5), put(1, 2, 9), acts(2, 2, 9), acts(3, 1, 5)]
        self.assertEqual([one.bound for one in judge(back, last=False)], ["back"])
        unborn = [put(0, 1, 5), acts(1, 2, 5), acts(2, 1, 6)]
        self.assertEqual([one.bound for one in judge(unborn, last=False)], ["unborn", "unborn"])


class Plans(unittest.TestCase):
    def test_plans_are_read_and_a_wrong_key_is_named(self) -> None:
        self.assertEqual(len(smoke.read(PLANS / "settings-smoke.toml").mutants), len(MUTANTS))
        smoke.read(PLANS / "settings.toml")
        wrong = Path(self.enterContext(tempfile.TemporaryDirectory())) / "wrong.toml"
        for text in (
            'ground = "settings"\nname = "x"\nmutants = ["no such"]\n',
            'ground = "settings"\nname = "x"\nseed = 3\n',
        ):
            wrong.write_text(text)
            with self.assertRaises(InvalidConfigError):
                smoke.read(wrong)

    def test_a_finding_is_an_exit_of_one(self) -> None:
        with planted("force told early"):
            self.assertEqual(smoke.play(smoke.Told("x", "settings", seeds=[smoke.Seeds(2)])), 1)
        self.assertEqual(smoke.play(smoke.Told("x", "settings", seeds=[smoke.Seeds(1)])), 0)


class Measured(unittest.TestCase):
    def test_every_figure_is_there_and_counts_are_the_same_for_the_same_seed(self) -> None:
        setting = hollow.Setting(regions=2, teams=20, seconds=15.0)
        one, two = (hollow.measure(6, 1, setting) for _ in range(2))
        self.assertEqual(set(one), set(hollow.FIGURES))
        self.assertEqual(
            {name: one[name] for name in hollow.COUNTED}, {name: two[name] for name in hollow.COUNTED}
        )
        self.assertGreater(one["in_force_p50_s"], 0.0)

    def test_what_a_member_sends_does_not_grow_with_members_nor_what_it_gets_with_settings(self) -> None:
        few, many = (
            hollow.measure(n, 1, hollow.Setting(regions=4, teams=40, seconds=20.0, loss=0.0)) for n in (8, 64)
        )
        self.assertLess(many["member_out_bytes_s"], 1.5 * few["member_out_bytes_s"])
        more = hollow.measure(8, 1, hollow.Setting(regions=4, teams=400, seconds=20.0, loss=0.0))
        self.assertLess(more["member_in_bytes_s"], 1.5 * few["member_in_bytes_s"])

    def test_at_four_hundred_a_minute_none_queues_and_all_are_in_force(self) -> None:
        """One after another half of them still waited when a minute was over, the first for 50 s."""
        world = World(
            Plan(
                regions=8,
                members=24,
                keepers=8,
                customers=40,
                changes=400.0,
                seconds=30.0,
                quiet=25.0,
                loss=0.01,
                faults=0.0,
                acts=False,
                lease=10.0,
                log=1024,
                founded=True,
            ),
            1,
        ).run()
        rows = [event for event in world.events.rows if event.what == "set" and event.at > 0]
        self.assertGreater(len(rows), 120)
        self.assertEqual((world.wanted, judge(world.events.rows)), ([], []))
        self.assertLess(max(event.at - event.more["born"] for event in rows), 2 * SECOND)
        took = smoke.waits(world)
        self.assertEqual(len(took), len(rows))
        self.assertLess(took[-1], 6.0)

    def test_who_comes_back_is_sent_no_more_in_a_second_than_control_may_take(self) -> None:
        """A region away for 20 s at 100 changes a minute: its members were sent 17.8 KB in one second when it was back."""
        back = hollow.measure(24, 1, hollow.Setting(regions=3, teams=200, seconds=45.0, lost=20.0))
        self.assertLess(back["member_in_most"], 13_000)
        self.assertEqual(back["never_in_force"], 0.0)


if __name__ == "__main__":
    unittest.main()
