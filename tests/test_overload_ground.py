"""Hard cases of overload on its ground, judged from the log alone; and the judge,
by histories that are bad.
"""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from pathsaddle.emulator.events import Event
from pathsaddle.emulator.overload.ground import Ground
from pathsaddle.emulator.overload.judge import Judge, cut_off, most_in
from pathsaddle.emulator.overload.plan import Plan, Trouble
from pathsaddle.trade import SECOND


def judged(seed: int = 1, **more: Any) -> Judge:
    plan = Plan(**({"name": "story", "seconds": 14.0, "members": 12} | more))
    judge = Judge()
    judge.read(Ground(plan, seed).run().rows)
    return judge


class Stories(unittest.TestCase):
    def holds(self, **more: Any) -> Judge:
        judge = judged(**more)
        self.assertEqual([], judge.found[:3])
        return judge

    def test_the_same_seed_is_the_same_run(self) -> None:
        one, other = (
            Ground(Plan(name="same", seconds=4.0, members=5, load=1.5), 3).run().digest() for _ in range(2)
        )
        self.assertEqual(one, other)

    def test_a_third_hears_nothing_at_twice_capacity_and_loses_nothing_by_it(self) -> None:
        more: dict[str, Any] = {"load": 2.0, "troubles": [Trouble("cut", 4.0, 7.0)]}
        on, alone = judged(**more), judged(policy="alone", **more)
        self.assertGreater(cut_off(on, alone), 1.0)
        self.assertEqual([], on.found)

    def test_cut_off_in_quiet_times_loses_no_hundredth(self) -> None:
        more: dict[str, Any] = {"load": 0.7, "skew": 0.5, "troubles": [Trouble("cut", 4.0, 7.0, 0.3)]}
        on, alone = judged(**more), judged(policy="alone", **more)
        self.assertGreaterEqual(cut_off(on, alone), 0.99)

    def test_after_a_surge_with_clients_without_end_it_is_back_where_alone_it_stays_down(self) -> None:
        more: dict[str, Any] = {
            "seconds": 24.0,
            "load": 0.9,
            "again": -1,
            "surge": (5.0, 11.0, 3.0),
            "back_within": 5.0,
        }
        self.holds(**more)
        self.assertEqual(["back"], judged(policy="alone", **more).broken)

    def test_the_member_with_the_most_load_stands_still_and_wakes_with_an_old_level(self) -> None:
        self.holds(load=2.0, skew=1.0, troubles=[Trouble("stall", 4.0, 6.0, 0.05, most=True)])

    def test_half_are_killed_and_their_clients_come_to_the_rest(self) -> None:
        killed = self.holds(load=1.5, troubles=[Trouble("kill", 5.0, 0.1, 0.5)])
        alone = judged(load=1.5, policy="alone", troubles=[Trouble("kill", 5.0, 0.1, 0.5)])
        self.assertGreater(killed.figures.earned, 1.1 * alone.figures.earned)

    def test_one_customer_sends_nine_tenths_and_the_others_keep_their_share(self) -> None:
        flood = self.holds(load=2.0, flood=0.9)
        self.assertGreater(flood.figures.least, 0.9)

    def test_a_liar_and_a_mute_move_little(self) -> None:
        quiet = self.holds(load=1.2)
        for trouble in (Trouble("lies", 4.0, 8.0, 0.05), Trouble("mute", 4.0, 8.0, 0.05)):
            other = self.holds(load=1.2, troubles=[trouble])
            self.assertGreater(other.figures.earned, 0.96 * quiet.figures.earned)

    def test_capacity_flaps_each_second_and_the_level_does_not(self) -> None:
        self.assertLessEqual(self.holds(load=1.2, troubles=[Trouble("flap", 4.0, 8.0)]).figures.turns, 4)

    def test_trials_due_at_all_members_in_one_moment_after_workers_come_back_fit_their_budget(self) -> None:
        # Sick for all: each member has failed there, and each wants to try again as soon as the trouble ends.
        back = self.holds(
            seconds=16.0,
            load=0.7,
            members=40,
            troubles=[Trouble("sick", 4.0, 5.0), Trouble("cut", 4.0, 5.0, 1.0)],
        )
        self.assertGreater(back.figures.trials, 0)

    def test_level_reached_and_left_many_times(self) -> None:
        self.holds(
            seconds=20.0, load=1.0, troubles=[Trouble("slow", 2.0 * n, 1.0, 0.5, 1.5) for n in range(2, 9)]
        )

    def test_200_members_at_a_txn_a_second_each(self) -> None:
        two = self.holds(seconds=6.0, members=200, load=0.83)
        self.assertGreater(two.figures.earned, 0.9 * two.figures.offered)


class Mutants(unittest.TestCase):
    def test_each_breaks_the_bound_that_is_named_for_it(self) -> None:
        noisy = [Trouble("cut", 4.0, 10.0, oneway=True), Trouble("lossy", 4.0, 10.0, 0.3)]
        for mutant, bound, more in (
            ("jumpy", "turns", {"load": 1.0, "troubles": noisy, "members": 40, "seconds": 17.0}),
            ("dice", "same", {"load": 2.0}),
            ("arrival", "budgets", {"load": 1.2, "troubles": [Trouble("flap", 4.0, 8.0)], "members": 40}),
            ("unspread", "returns", {"load": 2.0}),
        ):
            with self.subTest(mutant):
                self.assertIn(bound, judged(mutant=mutant, **more).broken)


def line(at: float, what: str, who: str = "d0", **more: Any) -> Event:
    return Event(int(at * SECOND), what, {"who": who} | more)


def shed(
    at: float, let: bool, stands: float, level: float, who: str = "d0", key: str = "k", **more: Any
) -> Event:
    return line(
        at,
        "shed.in" if let else "shed.out",
        who,
        **(
            {
                "txn": f"{key}{at}",
                "customer": "c0",
                "key": key,
                "scheme": "s",
                "period": 1,
                "standing": stands,
                "level": level,
                "over": False,
                "work": 10,
                "wait": 0,
                "why": "level",
            }
            | more
        ),
    )


class Planted(unittest.TestCase):
    PLAN = line(
        0,
        "overload.plan",
        "k",
        policy="fleet",
        members=2,
        surge=None,
        back_within=0.0,
        returns=3.0,
        allowance=10.0,
    )

    def found(self, *rows: Event) -> list[str]:
        judge = Judge()
        judge.read(
            [
                self.PLAN,
                line(0, "share.budget", budget="repeat", units=2),
                *rows,
                line(60, "overload.end", bytes=0),
            ]
        )
        return judge.broken

    def test_a_plain_history_is_good(self) -> None:
        self.assertEqual(
            [],
            self.found(
                shed(20, True, 9.5, 8.0),
                shed(20, False, 7.9, 8.0, key="l"),
                line(21, "post.sent", kind="repeat", worker="w0"),
                line(21, "post.sent", kind="repeat", worker="w0"),
                line(22, "post.sent", kind="repeat", worker="w0"),
            ),
        )

    def test_bad_ones_are_found_under_their_names(self) -> None:
        rows = [line(20 + n / 10, "post.sent", kind="repeat", worker="w0") for n in range(3)]
        self.assertEqual(["budgets"], self.found(*rows))
        self.assertEqual(
            ["inversion"], self.found(shed(20, False, 9.5, 9.9), shed(20, True, 7.1, 7.0, "d1", "l"))
        )
        self.assertEqual(["same"], self.found(shed(20, False, 8.5, 8.6), shed(22, False, 8.2, 8.6, "d1")))
        self.assertEqual(["level"], self.found(shed(20, True, 8.5, 8.6)))
        self.assertEqual(
            ["returns"],
            self.found(
                *(shed(20 + n, False, 1.0, 2.0, key=f"k{n}", wait=(9 - n) * SECOND) for n in range(4))
            ),
        )
        self.assertEqual(
            ["pace"], self.found(line(20, "shed.level", level=0.0), line(20.1, "shed.level", level=4.0))
        )
        self.assertEqual(
            ["turns"], self.found(*(line(20 + n, "shed.level", level=3.0 * (n % 2)) for n in range(12)))
        )
        self.assertEqual(
            ["share"], self.found(*(shed(20 + n, False, 1.0, 2.0, key=f"k{n}", over=True) for n in range(2)))
        )

    def test_good_ones_that_look_bad_are_let_be(self) -> None:
        # Another second, another period, a member that is cut off, a slow rise.
        self.assertEqual([], self.found(shed(20, False, 9.5, 9.9), shed(21, True, 7.1, 7.0, "d1", "l")))
        self.assertEqual([], self.found(shed(20, False, 8.5, 8.6), shed(22, False, 8.2, 8.6, "d1", period=2)))
        self.assertEqual(
            [],
            self.found(
                line(18, "fault", "k", kind="cut", long=5 * SECOND, members=["d0"]),
                shed(22.5, False, 9.5, 9.9),
                shed(22.5, True, 7.1, 7.0, "d1", "l"),
            ),
        )
        self.assertEqual([], self.found(line(20, "shed.level", level=0.0), line(21, "shed.level", level=4.0)))

    def test_the_most_in_a_span_leaves_its_end_out(self) -> None:
        self.assertEqual(2, most_in([0, 5, 10, 15], 10))


class Plans(unittest.TestCase):
    def test_a_plan_says_which_key_is_wrong(self) -> None:
        with self.assertRaises(msgspec.ValidationError):
            msgspec.convert({"name": "x", "memebrs": 3}, Plan)


if __name__ == "__main__":
    unittest.main()
