"""Overload as one: the decisions, each promise with the story that breaks it."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import unittest
from random import Random
from types import SimpleNamespace
from unittest import mock

from pathsaddle.control_metrics import NullMeter
from pathsaddle.fleet.overload import driver
from pathsaddle.fleet.overload.admission_gate import GateOptions, OverloadGate, RequestIdentity
from pathsaddle.fleet.overload.errors import InvalidSummaryError
from pathsaddle.fleet.overload.load_summary import (
    MAX_SUMMARY_BYTES,
    MAX_TENANTS,
    LoadSummary,
    decode_summary,
    encode_summary,
    tenant_hash,
)
from pathsaddle.fleet.overload.peer_summaries import PeerRecord
from pathsaddle.fleet.overload.retry_advice import RetryAdvice
from pathsaddle.fleet.overload.retry_budgets import BudgetKind
from pathsaddle.fleet.overload.scheduler_gate import SchedulerAdmissionGate
from pathsaddle.fleet.overload.shed_level import (
    DEADBAND_BANDS,
    MAX_FALL_BANDS_PER_SECOND,
    MAX_RISE_BANDS_PER_SECOND,
    LoadTotals,
    ShedLevel,
)
from pathsaddle.fleet.overload.shed_rank import (
    RANK_BANDS,
    RANK_PERIOD_TICKS,
    AdmissionRequest,
    rank_band,
    rank_hash,
)
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.trade import SECOND, Outcome, Scheme
from tests.fakehost import ONCE_ONLY, FakeHost, idle, scheme


class Free:
    """A limiter that refuses what it is told to."""

    def __init__(self, *refuses: str) -> None:
        self.refuses, self.asked = refuses, list[str]()

    def try_acquire(self, budget: str, units: int, now: int) -> bool:
        self.asked.append(budget)
        return budget not in self.refuses


def ask(
    value: float = 1.0,
    key: str = "k",
    customer: str = "c0",
    work: float = 2000.0,
    left: int = SECOND,
    **more: object,
) -> AdmissionRequest:
    return AdmissionRequest(customer, key, "s0", value, 0.3, work, left, 2000, **more)  # type: ignore[arg-type]


def ways(members: int = 4, **more: float) -> GateOptions:
    return GateOptions(
        b"secret",
        members,
        0.001,
        {f"c{c}": 10.0 for c in range(4)},
        more.get("returns", 20.0),
        SECOND // 2,
        8 * SECOND,
    )


def word(total: float, could: float = 40.0, at: int = 8, **customers: float) -> LoadSummary:
    offered = [0.0] * RANK_BANDS
    offered[at] = total
    return LoadSummary(
        could, 1.0, 0.0, 0.0, total, offered, {tenant_hash(who): rate for who, rate in customers.items()}
    )


class Standings(unittest.TestCase):
    def test_the_dearer_work_stands_higher_and_what_is_over_its_share_lower(self) -> None:
        self.assertGreater(rank_band(ask(4.0), 0.001, False), rank_band(ask(1.0), 0.001, False))
        self.assertGreater(rank_band(ask(1.0, work=500.0), 0.001, False), rank_band(ask(1.0), 0.001, False))
        self.assertLess(rank_band(ask(4.0), 0.001, True), rank_band(ask(4.0), 0.001, False))

    def test_work_already_spent_raises_and_time_run_out_lowers(self) -> None:
        self.assertGreater(
            rank_band(ask(spent_slot_ticks=1500.0), 0.001, False), rank_band(ask(), 0.001, False)
        )
        self.assertLess(rank_band(ask(left=100), 0.001, False), rank_band(ask(), 0.001, False))
        self.assertEqual(
            0, rank_band(AdmissionRequest("c", "k", "s", 5.0, 0.0, 2000.0, 100, 2000), 0.001, False)
        )

    def test_a_draw_is_the_same_at_all_for_its_period_and_another_in_the_next(self) -> None:
        place, period = rank_hash(b"secret", ask(), 3 * RANK_PERIOD_TICKS)
        # Of two moments half a period apart one at least stands in the same period as the first.
        same = [
            rank_hash(b"secret", ask(), 3 * RANK_PERIOD_TICKS + off)
            for off in (-RANK_PERIOD_TICKS // 2, RANK_PERIOD_TICKS // 2)
        ]
        self.assertIn((place, period), same)
        self.assertNotEqual(place, rank_hash(b"secret", ask(), 4 * RANK_PERIOD_TICKS)[0])
        self.assertNotEqual(place, rank_hash(b"another", ask(), 3 * RANK_PERIOD_TICKS)[0])

    def test_a_period_ends_at_another_moment_for_each(self) -> None:
        periods = {rank_hash(b"secret", ask(key=f"k{n}"), RANK_PERIOD_TICKS * 7 // 2)[1] for n in range(40)}
        self.assertEqual({3, 4}, periods)


class Words(unittest.TestCase):
    def test_a_record_of_the_busiest_member_fits_two_hundred_bytes(self) -> None:
        told = LoadSummary(
            1e9, 2.0, 0.5, 1e9, 1e9, [1e9] * RANK_BANDS, dict.fromkeys(range(500), 1000000000.0)
        )
        body = encode_summary(told)
        self.assertLessEqual(len(body), MAX_SUMMARY_BYTES)
        self.assertEqual(MAX_TENANTS, len(decode_summary(body).tenant_slots))

    def test_no_bytes_harm_a_reader(self) -> None:
        chance = Random(5)
        good = encode_summary(word(3.0, c1=1.0))
        for _ in range(2000):
            body = bytearray(good[: chance.randrange(len(good) + 1)])
            for _ in range(chance.randrange(4)):
                if body:
                    body[chance.randrange(len(body))] = chance.randrange(256)
            try:
                told = decode_summary(bytes(body))
            except InvalidSummaryError:
                pass  # and nothing else is raised
            else:
                self.assertTrue(0.0 <= told.total_slots < 1e7)


class Levels(unittest.TestCase):
    def test_what_fits_is_let_in_whole(self) -> None:
        self.assertEqual(0.0, LoadTotals([word(9.0) for _ in range(4)], 0.25).target_level())

    def test_the_marginal_band_is_cut_where_the_rest_fits(self) -> None:
        # 60 offered of band 8 and 20 of band 12; 40 can be served: 20 of 60 are let in.
        words = [word(15.0) for _ in range(4)]
        for told in words:
            told.offered_slots[12] = 5.0
            told.sustained_slots = 20.0
        self.assertAlmostEqual(8.0 + 40.0 / 60.0, LoadTotals(words, 0.25).target_level())

    def test_one_that_tells_a_hundred_times_its_load_moves_little(self) -> None:
        honest = LoadTotals([word(9.0) for _ in range(20)], 0.05)
        lied = LoadTotals([word(9.0) for _ in range(19)] + [word(900.0)], 0.05)
        self.assertLessEqual(sum(lied.offered_slots), 1.06 * sum(honest.offered_slots))
        could = LoadTotals([word(9.0) for _ in range(19)] + [word(9.0, could=4e6)], 0.05)
        self.assertLessEqual(could.capacity_slots, 1.06 * honest.capacity_slots)

    def test_a_burst_is_no_overload_and_its_end_counts_at_once(self) -> None:
        words = [word(15.0) for _ in range(4)]
        for told in words:
            told.sustained_slots = 9.0
        self.assertEqual(0.0, LoadTotals(words, 0.25).target_level())
        quiet = [word(9.0) for _ in range(4)]
        for told in quiet:
            told.sustained_slots = 15.0
        self.assertEqual(0.0, LoadTotals(quiet, 0.25).target_level())

    def test_who_hears_nothing_goes_by_its_part(self) -> None:
        alone = LoadTotals([word(20.0)], 0.25)
        self.assertEqual(10.0, alone.usable_slots)
        self.assertAlmostEqual(8.5, alone.target_level())

    def test_a_level_keeps_its_pace_and_a_stall_is_no_licence_to_leap(self) -> None:
        level = ShedLevel(0)
        self.assertLessEqual(level.update(16.0, 1.0, SECOND // 10), MAX_RISE_BANDS_PER_SECOND / 10 + 1e-9)
        up = level.value
        level.update(16.0, 1.0, 90 * SECOND)
        self.assertLessEqual(level.value - up, MAX_RISE_BANDS_PER_SECOND)
        top = level.value
        level.update(0.0, 1.0, 90 * SECOND + SECOND // 10)
        self.assertAlmostEqual(top - MAX_FALL_BANDS_PER_SECOND / 10, level.value)

    def test_sums_that_tremble_do_not_move_it(self) -> None:
        level = ShedLevel(0)
        level.update(4.0, 1.0, SECOND)
        stood = level.value
        for n in range(50):
            level.update(4.0 + (DEADBAND_BANDS * 0.9) * (-1) ** n, 1.0, SECOND + n)
        self.assertEqual(stood, level.value)


class Spreads(unittest.TestCase):
    def test_all_members_advice_together_fits_any_second(self) -> None:
        """All clients told the same wait came back as one; here 200 members decline 40 each in one moment."""
        for members in (1, 5, 40, 200):
            told = []
            for number in range(members):
                returns = RetryAdvice(24.0, 1 / members, number / members, 8 * SECOND)
                for n in range(8000 // members):
                    if wait := returns.advise(Random(number * 1000 + n).random(), 1.0, SECOND // 2, 12_345):
                        told.append(12_345 + wait)
            told.sort()
            for n, moment in enumerate(told[:-24]):
                self.assertGreaterEqual(told[n + 24] - moment, SECOND // 2 if members == 1 else 1)
            seconds = [
                sum(second * SECOND <= moment < (second + 1) * SECOND for moment in told)
                for second in range(1, 10)
            ]
            self.assertLessEqual(max(seconds), 13)
            self.assertGreater(len(told), 40)

    def test_little_free_means_few_told_to_come(self) -> None:
        counts = []
        for free in (0.0, 1.0):
            returns = RetryAdvice(200.0, 1.0, 0.0, 8 * SECOND)
            counts.append(sum(returns.advise(0.5, free, SECOND // 2, 0) > 0 for _ in range(2000)))
        self.assertLess(counts[0], counts[1] / 5)
        self.assertGreater(counts[0], 0)


class Gates(unittest.TestCase):
    def gate(
        self, name: str = "d0", members: int = 4, now: int = 0, limiter: Free | None = None
    ) -> OverloadGate:
        gate = OverloadGate(ways(members), name, int(name[1:]), limiter or Free(), now)
        gate.observe_workers(40.0, 0.0, 0.0)
        return gate

    def crowd(
        self, gate: OverloadGate, now: int, total: float = 30.0, version: int = 1, **customers: float
    ) -> None:
        body = encode_summary(word(total, **customers))
        gate.store_records([PeerRecord(f"d{n}", 1, version, body, 0, 100) for n in range(1, 4)], now)

    def stands(self, gate: OverloadGate, now: int, seconds: int) -> int:
        for step in range(seconds * 10):
            now += SECOND // 10
            gate.update(now)
        return now

    def test_the_same_txn_is_shed_by_each_member_that_knows_the_same(self) -> None:
        one, other = self.gate("d0"), self.gate("d3")
        for gate in (one, other):
            body = encode_summary(word(30.0))
            gate.store_records([PeerRecord(f"d{n}", 1, 1, body, 0, 0) for n in range(4)], 0)
            self.stands(gate, 0, 2)
        self.assertGreater(one.level.value, 7.0)
        for n in range(200):
            first, second = (
                one.admit(ask(2.0, key=f"k{n}"), 21_000),
                other.admit(ask(2.0, key=f"k{n}"), 21_000),
            )
            self.assertEqual((first.is_admitted, first.shed_rank), (second.is_admitted, second.shed_rank))

    def test_a_next_try_within_its_advised_wait_is_told_the_rest_of_it_and_counted_once(self) -> None:
        gate = self.gate()
        self.crowd(gate, 0)
        now = self.stands(gate, 0, 2)
        low = next(a for n in range(99) if not gate.admit(a := ask(0.2, key=f"k{n}"), now).is_admitted)
        wait = gate.advised[RequestIdentity.of(low)] - now
        offered = sum(rate.sum for rate in gate.offered.by_band)
        again = gate.admit(low, now + 100)
        self.assertEqual((False, wait - 100), (again.is_admitted, again.retry_after_ticks))
        self.assertLessEqual(sum(rate.sum for rate in gate.offered.by_band), offered)

    def test_one_that_comes_before_its_time_waits_it_out_while_a_level_stands_and_no_longer(self) -> None:
        gate = self.gate()
        self.crowd(gate, 0)
        now = self.stands(gate, 0, 2)
        low = next(a for n in range(99) if not gate.admit(a := ask(0.2, key=f"k{n}"), now).is_admitted)
        gate.level.value = 0.1
        self.assertEqual((False, "early"), ((given := gate.admit(low, now + 10)).is_admitted, given.reason))
        gate.level.value = 0.0
        self.assertTrue(gate.admit(low, now + 20).is_admitted)

    def test_words_that_age_are_worth_nothing_and_an_older_version_changes_nothing(self) -> None:
        gate = self.gate()
        self.crowd(gate, 0, version=7)
        gate.store_records(
            [
                PeerRecord("d1", 1, 6, encode_summary(word(9000.0)), 0, 0),
                PeerRecord("d2", 1, 9, b"none", 0, 0),
            ],
            0,
        )
        self.assertEqual(30.0, gate.peers.latest["d1"].summary.total_slots)
        now = self.stands(gate, 0, 2)
        self.assertGreater(gate.level.value, 7.0)
        self.stands(gate, now, 8)
        self.assertEqual(0.0, gate.level.value)

    def test_a_flood_of_one_customer_is_over_and_a_surge_of_all_is_not(self) -> None:
        gate = self.gate()
        self.crowd(gate, 0, c0=20.0, c1=2.0, c2=2.0, c3=2.0)
        gate.update(1)
        self.assertEqual(["c0"], list(gate.excess_shares))
        self.crowd(gate, 0, version=2, c0=20.0, c1=20.0, c2=20.0, c3=20.0)
        gate.update(2)
        self.assertEqual({}, gate.excess_shares)

    def test_cut_off_it_learns_of_the_others_idle_part_and_unlearns_it_by_lines(self) -> None:
        gate = self.gate()
        gate.observe_workers(40.0, 0.3, 0.0)
        now = self.stands(gate, 0, 10)
        self.assertGreater(gate.capacity_factor.value, 3.9)
        gate.observe_workers(40.0, 0.0, 1.0)
        self.stands(gate, now, 10)
        self.assertLess(gate.capacity_factor.value, 1.0)

    def test_a_budget_of_the_worker_refuses_before_the_fleets_is_asked(self) -> None:
        limiter = Free("repeat.w1")
        gate = self.gate(limiter=limiter)
        self.assertFalse(gate.try_acquire(BudgetKind.REPEAT, "w1", 0))
        self.assertEqual(["repeat.w1"], limiter.asked)
        self.assertTrue(gate.try_acquire(BudgetKind.REPEAT, "w2", 0))
        self.assertEqual(1, gate.budgets.refused[BudgetKind.REPEAT])


class BesideAChoice(unittest.TestCase):
    """The gate beside a real Choice."""

    def host(self, limiter: Free | None = None, *schemes: Scheme) -> FakeHost:
        host = FakeHost(*(schemes or (scheme(), scheme(ONCE_ONLY, index=1))))
        core = OverloadGate(ways(1), "d0", 0, limiter or Free(), host.now)
        host.loop.choice.gate = SchedulerAdmissionGate(core)
        self.core = core
        return host

    def shut(self, host: FakeHost) -> None:
        """The level stands over everything, and stays there."""
        self.core.level.value = 99.0
        self.core.level.update = lambda target, visible_share, now: 99.0  # type: ignore[method-assign]

    def test_what_is_below_the_level_is_declined_at_once_with_advice_and_never_posted(self) -> None:
        host = self.host()
        self.shut(host)
        host.ask("a")
        self.assertEqual(([], {"a": ["declined"]}), (host.posted, host.answers))
        self.assertEqual(1, len(self.core.advised))

    def test_rule_2_comes_first_a_txn_that_may_have_run_is_never_declined_by_the_level(self) -> None:
        host = self.host()
        host.ask("a", of=1)
        self.shut(host)
        host.end(host.posted[0], Outcome.RESET)
        host.passes(10 * SECOND)
        self.assertEqual({"a": ["reversed"]}, host.answers)

    def test_a_repeat_waits_for_its_budget_and_a_first_posting_never_asks(self) -> None:
        limiter = Free("repeat")
        host = self.host(limiter)
        host.ask("a")
        self.assertEqual(1, len(host.posted))
        self.assertNotIn("repeat", limiter.asked)
        host.end(host.posted[0], Outcome.ERROR)
        host.passes(SECOND // 10)
        self.assertEqual(1, len(host.posted))
        limiter.refuses = ()
        host.passes(SECOND // 2)
        self.assertEqual(2, len(host.posted))

    def test_the_mechanisms_room_is_what_the_gate_is_told(self) -> None:
        host = self.host()
        for worker in host.workers:
            host.tell(worker, idle(2.0))
        host.passes(SECOND // 5)
        host.ask("a")
        self.assertGreaterEqual(self.core.capacity_slots, 4.0)
        self.assertEqual(0.0, self.core.level.value)


class Off(unittest.TestCase):
    def test_the_mechanism_loads_nothing_of_it(self) -> None:
        look = (
            "import sys, pathsaddle.loop, pathsaddle.cli.main, pathsaddle.net.service.start;"
            "print([name for name in sys.modules if 'overload' in name])"
        )
        out = subprocess.run(
            [sys.executable, "-c", look], capture_output=True, text=True, check=True, timeout=60
        )
        self.assertEqual("[]", out.stdout.strip())


class DriverStory(unittest.IsolatedAsyncioTestCase):
    async def test_a_fault_in_a_moment_is_logged_and_the_next_moment_is_set_all_the_same(self) -> None:
        """It ended the level's timer unseen: the gate went on by the level that stood, for good."""
        fellows = SimpleNamespace(
            counters=Counters(),
            meter=NullMeter(),
            clock=SimpleNamespace(now=lambda: 7 * SECOND),
            shared=SimpleNamespace(carry=SimpleNamespace(records=lambda topic, now: [], put=mock.Mock())),
        )
        gate = mock.Mock(options=SimpleNamespace(members=3))
        gate.update.side_effect = [ZeroDivisionError("of ours"), 8 * SECOND]
        levels = driver.ShedLevelDriver(fellows, gate, mock.Mock(), mock.Mock())  # type: ignore[arg-type]
        self.addCleanup(levels.stop)
        with mock.patch.object(logbook, "fault_level") as told:
            levels.start()
        self.assertEqual(fellows.counters["fleet.fault"], 1)
        self.assertIn("of ours", told.call_args.kwargs["why"])
        assert levels._timer is not None
        self.assertGreater(levels._timer.when(), asyncio.get_running_loop().time())
        levels._on_timer()
        fellows.shared.carry.put.assert_called_once()


if __name__ == "__main__":
    unittest.main()
