"""Overload control: the decisions, each invariant with the test that breaks it."""

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
from pathsaddle.scheduler_types import SECOND, Outcome, Scheme
from tests.fakehost import ONCE_ONLY, FakeHost, idle, scheme


class FakeLimiter:
    """A limiter that refuses the budgets it was created with, and records what it was asked for."""

    def __init__(self, *refused_budgets: str) -> None:
        self.refused_budgets, self.requested = refused_budgets, list[str]()

    def try_acquire(self, budget: str, units: int, now: int) -> bool:
        self.requested.append(budget)
        return budget not in self.refused_budgets


def make_request(
    value: float = 1.0,
    key: str = "k",
    tenant: str = "c0",
    work_slot_ticks: float = 2000.0,
    time_left_ticks: int = SECOND,
    **others: object,
) -> AdmissionRequest:
    return AdmissionRequest(tenant, key, "s0", value, 0.3, work_slot_ticks, time_left_ticks, 2000, **others)  # type: ignore[arg-type]


def make_options(members: int = 4, returns_per_second: float = 20.0) -> GateOptions:
    return GateOptions(
        b"secret",
        members,
        0.001,
        {f"c{c}": 10.0 for c in range(4)},
        returns_per_second,
        SECOND // 2,
        8 * SECOND,
    )


def make_summary(
    total_slots: float, capacity_slots: float = 40.0, band: int = 8, **tenants: float
) -> LoadSummary:
    offered = [0.0] * RANK_BANDS
    offered[band] = total_slots
    return LoadSummary(
        capacity_slots,
        1.0,
        0.0,
        0.0,
        total_slots,
        offered,
        {tenant_hash(tenant): slots for tenant, slots in tenants.items()},
    )


class ShedRanks(unittest.TestCase):
    def test_more_value_for_the_work_ranks_higher_and_over_quota_ranks_lower(self) -> None:
        self.assertGreater(
            rank_band(make_request(4.0), 0.001, False), rank_band(make_request(1.0), 0.001, False)
        )
        self.assertGreater(
            rank_band(make_request(1.0, work_slot_ticks=500.0), 0.001, False),
            rank_band(make_request(1.0), 0.001, False),
        )
        self.assertLess(rank_band(make_request(4.0), 0.001, True), rank_band(make_request(4.0), 0.001, False))

    def test_spent_work_raises_the_rank_and_too_little_time_lowers_it(self) -> None:
        self.assertGreater(
            rank_band(make_request(spent_slot_ticks=1500.0), 0.001, False),
            rank_band(make_request(), 0.001, False),
        )
        self.assertLess(
            rank_band(make_request(time_left_ticks=100), 0.001, False),
            rank_band(make_request(), 0.001, False),
        )
        self.assertEqual(
            0, rank_band(AdmissionRequest("c", "k", "s", 5.0, 0.0, 2000.0, 100, 2000), 0.001, False)
        )

    def test_a_hash_is_the_same_at_all_members_for_its_period_and_differs_in_the_next(self) -> None:
        fraction, period = rank_hash(b"secret", make_request(), 3 * RANK_PERIOD_TICKS)
        # Of two moments half a period apart at least one is in the same period as the first.
        nearby = [
            rank_hash(b"secret", make_request(), 3 * RANK_PERIOD_TICKS + off)
            for off in (-RANK_PERIOD_TICKS // 2, RANK_PERIOD_TICKS // 2)
        ]
        self.assertIn((fraction, period), nearby)
        self.assertNotEqual(fraction, rank_hash(b"secret", make_request(), 4 * RANK_PERIOD_TICKS)[0])
        self.assertNotEqual(fraction, rank_hash(b"another", make_request(), 3 * RANK_PERIOD_TICKS)[0])

    def test_the_period_of_each_request_ends_at_a_moment_of_its_own(self) -> None:
        periods = {
            rank_hash(b"secret", make_request(key=f"k{n}"), RANK_PERIOD_TICKS * 7 // 2)[1] for n in range(40)
        }
        self.assertEqual({3, 4}, periods)


class LoadSummaries(unittest.TestCase):
    def test_the_summary_of_the_busiest_member_fits_two_hundred_bytes(self) -> None:
        summary = LoadSummary(
            1e9, 2.0, 0.5, 1e9, 1e9, [1e9] * RANK_BANDS, dict.fromkeys(range(500), 1000000000.0)
        )
        body = encode_summary(summary)
        self.assertLessEqual(len(body), MAX_SUMMARY_BYTES)
        self.assertEqual(MAX_TENANTS, len(decode_summary(body).tenant_slots))

    def test_damaged_bytes_raise_nothing_but_invalid_summary(self) -> None:
        rng = Random(5)
        good = encode_summary(make_summary(3.0, c1=1.0))
        for _ in range(2000):
            body = bytearray(good[: rng.randrange(len(good) + 1)])
            for _ in range(rng.randrange(4)):
                if body:
                    body[rng.randrange(len(body))] = rng.randrange(256)
            try:
                summary = decode_summary(bytes(body))
            except InvalidSummaryError:
                pass  # and nothing else is raised
            else:
                self.assertTrue(0.0 <= summary.total_slots < 1e7)


class Levels(unittest.TestCase):
    def test_load_that_fits_is_admitted_entirely(self) -> None:
        self.assertEqual(0.0, LoadTotals([make_summary(9.0) for _ in range(4)], 0.25).target_level())

    def test_the_marginal_band_is_cut_where_the_rest_fits(self) -> None:
        # 60 offered of band 8 and 20 of band 12; 40 can be served: 20 of 60 are let in.
        summaries = [make_summary(15.0) for _ in range(4)]
        for summary in summaries:
            summary.offered_slots[12] = 5.0
            summary.sustained_slots = 20.0
        self.assertAlmostEqual(8.0 + 40.0 / 60.0, LoadTotals(summaries, 0.25).target_level())

    def test_a_member_that_claims_a_hundred_times_its_load_has_little_influence(self) -> None:
        honest = LoadTotals([make_summary(9.0) for _ in range(20)], 0.05)
        distorted = LoadTotals([make_summary(9.0) for _ in range(19)] + [make_summary(900.0)], 0.05)
        self.assertLessEqual(sum(distorted.offered_slots), 1.06 * sum(honest.offered_slots))
        inflated = LoadTotals(
            [make_summary(9.0) for _ in range(19)] + [make_summary(9.0, capacity_slots=4e6)], 0.05
        )
        self.assertLessEqual(inflated.capacity_slots, 1.06 * honest.capacity_slots)

    def test_a_burst_is_no_overload_and_its_end_counts_at_once(self) -> None:
        summaries = [make_summary(15.0) for _ in range(4)]
        for summary in summaries:
            summary.sustained_slots = 9.0
        self.assertEqual(0.0, LoadTotals(summaries, 0.25).target_level())
        quiet = [make_summary(9.0) for _ in range(4)]
        for summary in quiet:
            summary.sustained_slots = 15.0
        self.assertEqual(0.0, LoadTotals(quiet, 0.25).target_level())

    def test_a_member_that_hears_nothing_goes_by_its_share(self) -> None:
        alone = LoadTotals([make_summary(20.0)], 0.25)
        self.assertEqual(10.0, alone.usable_slots)
        self.assertAlmostEqual(8.5, alone.target_level())

    def test_a_level_keeps_its_pace_also_after_a_pause(self) -> None:
        level = ShedLevel(0)
        self.assertLessEqual(level.update(16.0, 1.0, SECOND // 10), MAX_RISE_BANDS_PER_SECOND / 10 + 1e-9)
        risen = level.value
        level.update(16.0, 1.0, 90 * SECOND)
        self.assertLessEqual(level.value - risen, MAX_RISE_BANDS_PER_SECOND)
        top = level.value
        level.update(0.0, 1.0, 90 * SECOND + SECOND // 10)
        self.assertAlmostEqual(top - MAX_FALL_BANDS_PER_SECOND / 10, level.value)

    def test_totals_that_fluctuate_within_the_deadband_do_not_move_the_level(self) -> None:
        level = ShedLevel(0)
        level.update(4.0, 1.0, SECOND)
        level_before = level.value
        for n in range(50):
            level.update(4.0 + (DEADBAND_BANDS * 0.9) * (-1) ** n, 1.0, SECOND + n)
        self.assertEqual(level_before, level.value)


class RetryAdviceSpread(unittest.TestCase):
    def test_all_members_advice_together_fits_any_second(self) -> None:
        """Clients that were all advised the same wait came back at once; here 200 members reject 40 each in one tick."""
        for members in (1, 5, 40, 200):
            returns = []
            for number in range(members):
                advice = RetryAdvice(24.0, 1 / members, number / members, 8 * SECOND)
                for n in range(8000 // members):
                    if wait := advice.advise(Random(number * 1000 + n).random(), 1.0, SECOND // 2, 12_345):
                        returns.append(12_345 + wait)
            returns.sort()
            for n, moment in enumerate(returns[:-24]):
                self.assertGreaterEqual(returns[n + 24] - moment, SECOND // 2 if members == 1 else 1)
            seconds = [
                sum(second * SECOND <= moment < (second + 1) * SECOND for moment in returns)
                for second in range(1, 10)
            ]
            self.assertLessEqual(max(seconds), 13)
            self.assertGreater(len(returns), 40)

    def test_with_few_idle_slots_few_returns_are_advised(self) -> None:
        counts = []
        for free in (0.0, 1.0):
            advice = RetryAdvice(200.0, 1.0, 0.0, 8 * SECOND)
            counts.append(sum(advice.advise(0.5, free, SECOND // 2, 0) > 0 for _ in range(2000)))
        self.assertLess(counts[0], counts[1] / 5)
        self.assertGreater(counts[0], 0)


class AdmissionGate(unittest.TestCase):
    def make_gate(
        self, name: str = "d0", members: int = 4, now: int = 0, limiter: FakeLimiter | None = None
    ) -> OverloadGate:
        gate = OverloadGate(make_options(members), name, int(name[1:]), limiter or FakeLimiter(), now)
        gate.observe_workers(40.0, 0.0, 0.0)
        return gate

    def store_peers(
        self, gate: OverloadGate, now: int, total_slots: float = 30.0, version: int = 1, **tenants: float
    ) -> None:
        body = encode_summary(make_summary(total_slots, **tenants))
        gate.store_records([PeerRecord(f"d{n}", 1, version, body, 0, 100) for n in range(1, 4)], now)

    def run_updates(self, gate: OverloadGate, now: int, seconds: int) -> int:
        for step in range(seconds * 10):
            now += SECOND // 10
            gate.update(now)
        return now

    def test_the_same_request_is_shed_by_each_member_with_the_same_totals(self) -> None:
        one, other = self.make_gate("d0"), self.make_gate("d3")
        for gate in (one, other):
            body = encode_summary(make_summary(30.0))
            gate.store_records([PeerRecord(f"d{n}", 1, 1, body, 0, 0) for n in range(4)], 0)
            self.run_updates(gate, 0, 2)
        self.assertGreater(one.level.value, 7.0)
        for n in range(200):
            first, second = (
                one.admit(make_request(2.0, key=f"k{n}"), 21_000),
                other.admit(make_request(2.0, key=f"k{n}"), 21_000),
            )
            self.assertEqual((first.is_admitted, first.shed_rank), (second.is_admitted, second.shed_rank))

    def test_a_try_within_its_advised_wait_is_advised_the_rest_and_counted_once(self) -> None:
        gate = self.make_gate()
        self.store_peers(gate, 0)
        now = self.run_updates(gate, 0, 2)
        low = next(
            a for n in range(99) if not gate.admit(a := make_request(0.2, key=f"k{n}"), now).is_admitted
        )
        wait = gate.advised[RequestIdentity.of(low)] - now
        offered = sum(rate.sum for rate in gate.offered.by_band)
        again = gate.admit(low, now + 100)
        self.assertEqual((False, wait - 100), (again.is_admitted, again.retry_after_ticks))
        self.assertLessEqual(sum(rate.sum for rate in gate.offered.by_band), offered)

    def test_a_try_before_its_advised_time_is_rejected_only_while_the_fleet_sheds(self) -> None:
        gate = self.make_gate()
        self.store_peers(gate, 0)
        now = self.run_updates(gate, 0, 2)
        low = next(
            a for n in range(99) if not gate.admit(a := make_request(0.2, key=f"k{n}"), now).is_admitted
        )
        gate.level.value = 0.1
        self.assertEqual((False, "early"), ((given := gate.admit(low, now + 10)).is_admitted, given.reason))
        gate.level.value = 0.0
        self.assertTrue(gate.admit(low, now + 20).is_admitted)

    def test_summaries_expire_and_an_older_version_changes_nothing(self) -> None:
        gate = self.make_gate()
        self.store_peers(gate, 0, version=7)
        gate.store_records(
            [
                PeerRecord("d1", 1, 6, encode_summary(make_summary(9000.0)), 0, 0),
                PeerRecord("d2", 1, 9, b"none", 0, 0),
            ],
            0,
        )
        self.assertEqual(30.0, gate.peers.latest["d1"].summary.total_slots)
        now = self.run_updates(gate, 0, 2)
        self.assertGreater(gate.level.value, 7.0)
        self.run_updates(gate, now, 8)
        self.assertEqual(0.0, gate.level.value)

    def test_a_flood_of_one_tenant_exceeds_its_quota_and_a_surge_of_all_does_not(self) -> None:
        gate = self.make_gate()
        self.store_peers(gate, 0, c0=20.0, c1=2.0, c2=2.0, c3=2.0)
        gate.update(1)
        self.assertEqual(["c0"], list(gate.excess_shares))
        self.store_peers(gate, 0, version=2, c0=20.0, c1=20.0, c2=20.0, c3=20.0)
        gate.update(2)
        self.assertEqual({}, gate.excess_shares)

    def test_in_a_partition_idle_slots_raise_the_capacity_factor_and_queues_lower_it(self) -> None:
        gate = self.make_gate()
        gate.observe_workers(40.0, 0.3, 0.0)
        now = self.run_updates(gate, 0, 10)
        self.assertGreater(gate.capacity_factor.value, 3.9)
        gate.observe_workers(40.0, 0.0, 1.0)
        self.run_updates(gate, now, 10)
        self.assertLess(gate.capacity_factor.value, 1.0)

    def test_the_budget_of_a_worker_group_refuses_before_the_fleets_is_asked(self) -> None:
        limiter = FakeLimiter("repeat.w1")
        gate = self.make_gate(limiter=limiter)
        self.assertFalse(gate.try_acquire(BudgetKind.REPEAT, "w1", 0))
        self.assertEqual(["repeat.w1"], limiter.requested)
        self.assertTrue(gate.try_acquire(BudgetKind.REPEAT, "w2", 0))
        self.assertEqual(1, gate.budgets.refused[BudgetKind.REPEAT])


class SchedulerGate(unittest.TestCase):
    """The gate of a real Choice."""

    def make_host(self, limiter: FakeLimiter | None = None, *schemes: Scheme) -> FakeHost:
        host = FakeHost(*(schemes or (scheme(), scheme(ONCE_ONLY, index=1))))
        core = OverloadGate(make_options(1), "d0", 0, limiter or FakeLimiter(), host.now)
        host.loop.scheduler.gate = SchedulerAdmissionGate(core)
        self.core = core
        return host

    def shed_everything(self, host: FakeHost) -> None:
        """Put the level above every rank, and keep it there."""
        self.core.level.value = 99.0
        self.core.level.update = lambda target, visible_share, now: 99.0  # type: ignore[method-assign]

    def test_a_request_below_the_level_is_rejected_at_once_with_advice_and_never_sent(self) -> None:
        host = self.make_host()
        self.shed_everything(host)
        host.ask("a")
        self.assertEqual(([], {"a": ["declined"]}), (host.posted, host.answers))
        self.assertEqual(1, len(self.core.advised))

    def test_rule_2_comes_first_a_request_that_may_have_run_is_never_shed(self) -> None:
        host = self.make_host()
        host.ask("a", of=1)
        self.shed_everything(host)
        host.end(host.posted[0], Outcome.RESET)
        host.passes(10 * SECOND)
        self.assertEqual({"a": ["reversed"]}, host.answers)

    def test_a_retry_waits_for_its_budget_and_a_first_attempt_takes_from_none(self) -> None:
        limiter = FakeLimiter("repeat")
        host = self.make_host(limiter)
        host.ask("a")
        self.assertEqual(1, len(host.posted))
        self.assertNotIn("repeat", limiter.requested)
        host.end(host.posted[0], Outcome.ERROR)
        host.passes(SECOND // 10)
        self.assertEqual(1, len(host.posted))
        limiter.refused_budgets = ()
        host.passes(SECOND // 2)
        self.assertEqual(2, len(host.posted))

    def test_the_gate_observes_the_schedulers_capacity(self) -> None:
        host = self.make_host()
        for worker in host.workers:
            host.tell(worker, idle(2.0))
        host.passes(SECOND // 5)
        host.ask("a")
        self.assertGreaterEqual(self.core.capacity_slots, 4.0)
        self.assertEqual(0.0, self.core.level.value)


class WithoutAGate(unittest.TestCase):
    def test_the_program_loads_nothing_of_the_package(self) -> None:
        code = (
            "import sys, pathsaddle.scheduler_driver, pathsaddle.cli.main, pathsaddle.net.service.start;"
            "print([name for name in sys.modules if 'overload' in name])"
        )
        out = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
        )
        self.assertEqual("[]", out.stdout.strip())


class Driver(unittest.IsolatedAsyncioTestCase):
    async def test_an_error_in_an_update_is_logged_and_the_next_update_is_set_all_the_same(self) -> None:
        """Such an error once ended the timer unseen, and the gate kept its last level for good."""
        membership = SimpleNamespace(
            counters=Counters(),
            meter=NullMeter(),
            clock=SimpleNamespace(now=lambda: 7 * SECOND),
            shared=SimpleNamespace(carry=SimpleNamespace(records=lambda topic, now: [], put=mock.Mock())),
        )
        gate = mock.Mock(options=SimpleNamespace(members=3))
        gate.update.side_effect = [ZeroDivisionError("of ours"), 8 * SECOND]
        level_driver = driver.ShedLevelDriver(membership, gate, mock.Mock(), mock.Mock())  # type: ignore[arg-type]
        self.addCleanup(level_driver.stop)
        with mock.patch.object(logbook, "fault_level") as logged:
            level_driver.start()
        self.assertEqual(membership.counters["fleet.fault"], 1)
        self.assertIn("of ours", logged.call_args.kwargs["why"])
        assert level_driver._timer is not None
        self.assertGreater(level_driver._timer.when(), asyncio.get_running_loop().time())
        level_driver._on_timer()
        membership.shared.carry.put.assert_called_once()


if __name__ == "__main__":
    unittest.main()
