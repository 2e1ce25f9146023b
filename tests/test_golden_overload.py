"""Golden data of overload control: what commit f469a1f wrote and decided is what today's code writes and decides.

`tests/data/write_overload.py` wrote the data on that commit.
"""

from __future__ import annotations

import json
import unittest
from dataclasses import astuple
from pathlib import Path
from random import Random
from typing import Any

from pathsaddle.emulator.overload.ground import Ground
from pathsaddle.emulator.overload.plan import Plan, Trouble
from pathsaddle.fleet.overload.admission_gate import GateOptions, OverloadGate
from pathsaddle.fleet.overload.load_summary import LoadSummary, decode_summary, encode_summary, tenant_hash
from pathsaddle.fleet.overload.peer_summaries import PeerRecord
from pathsaddle.fleet.overload.retry_budgets import BudgetKind
from pathsaddle.fleet.overload.shed_rank import AdmissionRequest, rank_band, rank_hash
from pathsaddle.scheduler_types import SECOND

SECRET = b"a golden secret"
GOLDEN: dict[str, Any] = json.loads((Path(__file__).parent / "data" / "overload.json").read_text())


class TwoOfThree:
    """A limiter that grants two of three."""

    def __init__(self) -> None:
        self.count = 0

    def try_acquire(self, budget: str, units: int, now: int) -> bool:
        self.count += 1
        return self.count % 3 != 0


def fields(summary: LoadSummary) -> list[Any]:
    tenants = [list(item) for item in sorted(summary.tenant_slots.items())]
    return [*astuple(summary)[:6], tenants]


class GoldenData(unittest.TestCase):
    maxDiff = 1000

    def test_summaries_have_the_same_bytes_and_decode_to_the_same_values(self) -> None:
        self.assertEqual(3, len(GOLDEN["summaries"]))
        for row in GOLDEN["summaries"]:
            capacity, factor, idle, queue, sustained, offered, tenants = row["fields"]
            summary = LoadSummary(capacity, factor, idle, queue, sustained, offered, dict(tenants))
            body = encode_summary(summary)
            self.assertEqual(row["bytes"], body.hex())
            self.assertEqual(row["read"], fields(decode_summary(body)))

    def test_tenants_have_the_same_hashes(self) -> None:
        for tenant, expected in GOLDEN["short"]:
            self.assertEqual(expected, tenant_hash(tenant))

    def test_requests_have_the_same_rank(self) -> None:
        self.assertEqual(15, len(GOLDEN["ranks"]))
        for row in GOLDEN["ranks"]:
            request, now = AdmissionRequest(*row["request"]), row["now"]
            self.assertEqual(row["hash"], list(rank_hash(SECRET, request, now)))
            self.assertEqual(row["hash_over"], list(rank_hash(SECRET, request, now, b"over")))
            self.assertEqual(row["bands"], [rank_band(request, 0.001, over) for over in (False, True)])

    def test_a_gate_decides_and_publishes_the_same(self) -> None:
        rng, now = Random(7), 0
        quotas = {f"c{n}": 10.0 for n in range(4)}
        options = GateOptions(SECRET, 4, 0.001, quotas, 20.0, SECOND // 2, 8 * SECOND)
        gate = OverloadGate(options, "d1", 1, TwoOfThree(), 0)
        answers: list[list[Any]] = []
        published, levels = [], []
        for step in range(80):
            now += SECOND // 10
            if step % 5 == 0:
                gate.store_records(self.records(step), now)
            gate.observe_workers(40.0, 0.1 if step > 40 else 0.0, 0.5 if step < 20 else 0.0)
            gate.record_attempt(step % 7 == 0)
            gate.update(now)
            excess = [list(item) for item in sorted(gate.excess_shares.items())]
            levels.append([gate.level.value, gate.capacity_factor.value, excess])
            for _ in range(6):
                request = AdmissionRequest(
                    f"c{rng.randrange(4)}",
                    f"k{rng.randrange(40)}",
                    "s",
                    rng.choice((0.2, 1.0, 4.0, 20.0)),
                    0.3,
                    float(rng.randrange(500, 4000)),
                    rng.randrange(500, SECOND),
                    2000.0,
                )
                answers.append(list(astuple(gate.admit(request, now))))
            answers.append(
                [
                    gate.try_acquire(BudgetKind.REPEAT, "w1", now),
                    gate.try_acquire(BudgetKind.LOOK, None, now),
                ]
            )
            published.append(gate.encoded_summary(now).hex())
        golden = GOLDEN["course"]
        self.assertEqual(golden["levels"], levels)
        self.assertEqual(golden["answers"], answers)
        self.assertEqual(golden["published"], published[::8])
        self.assertEqual(golden["refused"], gate.budgets.refused)

    def records(self, step: int) -> list[PeerRecord]:
        total = 30.0 if step < 30 else 2.0
        offered = [total if band == 8 else 0.5 for band in range(16)]
        tenants = {tenant_hash("c0"): 9.0 * (step < 30), tenant_hash("c1"): 1.0}
        body = encode_summary(LoadSummary(40.0, 1.0, 0.0, 0.0, total, offered, tenants))
        return [PeerRecord(f"d{n}", 1, step + 1, body, 0, None if n == 3 else 100) for n in range(4)]

    def test_an_emulated_run_has_the_same_log(self) -> None:
        plan = Plan(
            name="golden", seconds=4.0, members=6, load=1.8, again=3, troubles=[Trouble("cut", 1.0, 2.0)]
        )
        self.assertEqual(GOLDEN["run"]["digest"], Ground(plan, 3).run().digest())


if __name__ == "__main__":
    unittest.main()
