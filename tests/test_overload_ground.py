"""Hard cases of overload in the emulator, checked from the log alone; and the checker itself, by planted histories."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from pathsaddle.emulator.overload.ground import Ground
from pathsaddle.emulator.overload.judge import Judge, cut_off, most_in
from pathsaddle.emulator.overload.plan import Plan, Trouble
from pathsaddle.event_log import Event
from pathsaddle.scheduler_types import SECOND


def check_run(seed: int = 1, **plan_fields: Any) -> Judge:
    plan = Plan(**({"name": "story", "seconds": 14.0, "members": 12} | plan_fields))
    checker = Judge()
    checker.read(Ground(plan, seed).run().rows)
    return checker


class HardCases(unittest.TestCase):
    def check_invariants(self, **plan_fields: Any) -> Judge:
        checker = check_run(**plan_fields)
        self.assertEqual([], checker.found[:3])
        return checker

    def test_the_same_seed_is_the_same_run(self) -> None:
        one, other = (
            Ground(Plan(name="same", seconds=4.0, members=5, load=1.5), 3).run().digest() for _ in range(2)
        )
        self.assertEqual(one, other)

    def test_a_third_partitioned_off_at_twice_capacity_loses_nothing_by_the_gate(self) -> None:
        plan_fields: dict[str, Any] = {"load": 2.0, "troubles": [Trouble("cut", 4.0, 7.0)]}
        gated, alone = check_run(**plan_fields), check_run(policy="alone", **plan_fields)
        self.assertGreater(cut_off(gated, alone), 1.0)
        self.assertEqual([], gated.found)

    def test_a_partition_in_quiet_times_costs_less_than_a_hundredth(self) -> None:
        plan_fields: dict[str, Any] = {"load": 0.7, "skew": 0.5, "troubles": [Trouble("cut", 4.0, 7.0, 0.3)]}
        gated, alone = check_run(**plan_fields), check_run(policy="alone", **plan_fields)
        self.assertGreaterEqual(cut_off(gated, alone), 0.99)

    def test_after_a_surge_with_persistent_clients_the_fleet_recovers_and_members_alone_do_not(self) -> None:
        plan_fields: dict[str, Any] = {
            "seconds": 24.0,
            "load": 0.9,
            "again": -1,
            "surge": (5.0, 11.0, 3.0),
            "back_within": 5.0,
        }
        self.check_invariants(**plan_fields)
        self.assertEqual(["back"], check_run(policy="alone", **plan_fields).broken)

    def test_the_most_loaded_member_pauses_and_resumes_with_an_old_level(self) -> None:
        self.check_invariants(load=2.0, skew=1.0, troubles=[Trouble("stall", 4.0, 6.0, 0.05, most=True)])

    def test_half_of_the_members_are_killed_and_their_clients_come_to_the_rest(self) -> None:
        gated = self.check_invariants(load=1.5, troubles=[Trouble("kill", 5.0, 0.1, 0.5)])
        alone = check_run(load=1.5, policy="alone", troubles=[Trouble("kill", 5.0, 0.1, 0.5)])
        self.assertGreater(gated.figures.earned, 1.1 * alone.figures.earned)

    def test_one_tenant_sends_nine_tenths_and_the_others_keep_their_share(self) -> None:
        flood = self.check_invariants(load=2.0, flood=0.9)
        self.assertGreater(flood.figures.least, 0.9)

    def test_a_member_with_false_summaries_and_one_with_none_have_little_influence(self) -> None:
        quiet = self.check_invariants(load=1.2)
        for trouble in (Trouble("lies", 4.0, 8.0, 0.05), Trouble("mute", 4.0, 8.0, 0.05)):
            other = self.check_invariants(load=1.2, troubles=[trouble])
            self.assertGreater(other.figures.earned, 0.96 * quiet.figures.earned)

    def test_capacity_that_flaps_each_second_does_not_make_the_level_flap(self) -> None:
        self.assertLessEqual(
            self.check_invariants(load=1.2, troubles=[Trouble("flap", 4.0, 8.0)]).figures.turns, 4
        )

    def test_trials_due_at_all_members_at_once_after_workers_come_back_fit_their_budget(self) -> None:
        # No member reaches the workers: each has failed there, and tries again as soon as the fault ends.
        run = self.check_invariants(
            seconds=16.0,
            load=0.7,
            members=40,
            troubles=[Trouble("sick", 4.0, 5.0), Trouble("cut", 4.0, 5.0, 1.0)],
        )
        self.assertGreater(run.figures.trials, 0)

    def test_the_level_is_reached_and_left_many_times(self) -> None:
        self.check_invariants(
            seconds=20.0, load=1.0, troubles=[Trouble("slow", 2.0 * n, 1.0, 0.5, 1.5) for n in range(2, 9)]
        )

    def test_200_members_at_a_request_a_second_each(self) -> None:
        run = self.check_invariants(seconds=6.0, members=200, load=0.83)
        self.assertGreater(run.figures.earned, 0.9 * run.figures.offered)


class Mutants(unittest.TestCase):
    def test_each_mutant_breaks_the_invariant_that_it_is_meant_to(self) -> None:
        lossy_partition = [Trouble("cut", 4.0, 10.0, oneway=True), Trouble("lossy", 4.0, 10.0, 0.3)]
        for mutant, invariant, plan_fields in (
            ("jumpy", "turns", {"load": 1.0, "troubles": lossy_partition, "members": 40, "seconds": 17.0}),
            ("dice", "same", {"load": 2.0}),
            ("arrival", "budgets", {"load": 1.2, "troubles": [Trouble("flap", 4.0, 8.0)], "members": 40}),
            ("unspread", "returns", {"load": 2.0}),
        ):
            with self.subTest(mutant):
                self.assertIn(invariant, check_run(mutant=mutant, **plan_fields).broken)


def event(at_s: float, what: str, member: str = "d0", **members: Any) -> Event:
    return Event(int(at_s * SECOND), what, {"who": member} | members)


def decision(
    at_s: float,
    is_admitted: bool,
    shed_rank: float,
    level: float,
    member: str = "d0",
    key: str = "k",
    **members: Any,
) -> Event:
    return event(
        at_s,
        "shed.in" if is_admitted else "shed.out",
        member,
        **(
            {
                "txn": f"{key}{at_s}",
                "customer": "c0",
                "key": key,
                "scheme": "s",
                "period": 1,
                "standing": shed_rank,
                "level": level,
                "over": False,
                "work": 10,
                "wait": 0,
                "why": "level",
            }
            | members
        ),
    )


class Planted(unittest.TestCase):
    PLAN = event(
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

    def broken_invariants(self, *events: Event) -> list[str]:
        checker = Judge()
        checker.read(
            [
                self.PLAN,
                event(0, "share.budget", budget="repeat", units=2),
                *events,
                event(60, "overload.end", bytes=0),
            ]
        )
        return checker.broken

    def test_a_plain_history_breaks_no_invariant(self) -> None:
        self.assertEqual(
            [],
            self.broken_invariants(
                decision(20, True, 9.5, 8.0),
                decision(20, False, 7.9, 8.0, key="l"),
                event(21, "post.sent", kind="repeat", worker="w0"),
                event(21, "post.sent", kind="repeat", worker="w0"),
                event(22, "post.sent", kind="repeat", worker="w0"),
            ),
        )

    def test_bad_histories_break_the_invariant_that_they_are_planted_for(self) -> None:
        retries = [event(20 + n / 10, "post.sent", kind="repeat", worker="w0") for n in range(3)]
        self.assertEqual(["budgets"], self.broken_invariants(*retries))
        self.assertEqual(
            ["inversion"],
            self.broken_invariants(decision(20, False, 9.5, 9.9), decision(20, True, 7.1, 7.0, "d1", "l")),
        )
        self.assertEqual(
            ["same"],
            self.broken_invariants(decision(20, False, 8.5, 8.6), decision(22, False, 8.2, 8.6, "d1")),
        )
        self.assertEqual(["level"], self.broken_invariants(decision(20, True, 8.5, 8.6)))
        self.assertEqual(
            ["returns"],
            self.broken_invariants(
                *(decision(20 + n, False, 1.0, 2.0, key=f"k{n}", wait=(9 - n) * SECOND) for n in range(4))
            ),
        )
        self.assertEqual(
            ["pace"],
            self.broken_invariants(event(20, "shed.level", level=0.0), event(20.1, "shed.level", level=4.0)),
        )
        self.assertEqual(
            ["turns"],
            self.broken_invariants(*(event(20 + n, "shed.level", level=3.0 * (n % 2)) for n in range(12))),
        )
        self.assertEqual(
            ["share"],
            self.broken_invariants(
                *(decision(20 + n, False, 1.0, 2.0, key=f"k{n}", over=True) for n in range(2))
            ),
        )

    def test_good_histories_that_look_bad_break_no_invariant(self) -> None:
        # Another second, another period, a member that is cut off, a slow rise.
        self.assertEqual(
            [], self.broken_invariants(decision(20, False, 9.5, 9.9), decision(21, True, 7.1, 7.0, "d1", "l"))
        )
        self.assertEqual(
            [],
            self.broken_invariants(
                decision(20, False, 8.5, 8.6), decision(22, False, 8.2, 8.6, "d1", period=2)
            ),
        )
        self.assertEqual(
            [],
            self.broken_invariants(
                event(18, "fault", "k", kind="cut", long=5 * SECOND, members=["d0"]),
                decision(22.5, False, 9.5, 9.9),
                decision(22.5, True, 7.1, 7.0, "d1", "l"),
            ),
        )
        self.assertEqual(
            [], self.broken_invariants(event(20, "shed.level", level=0.0), event(21, "shed.level", level=4.0))
        )

    def test_the_most_in_a_span_excludes_its_end(self) -> None:
        self.assertEqual(2, most_in([0, 5, 10, 15], 10))


class Plans(unittest.TestCase):
    def test_a_plan_with_an_unknown_key_is_rejected(self) -> None:
        with self.assertRaises(msgspec.ValidationError):
            msgspec.convert({"name": "x", "memebrs": 3}, Plan)


if __name__ == "__main__":
    unittest.main()
