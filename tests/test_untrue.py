"""The emulator's faults have an effect: misreporting, flapping, one-sided workers, lossy and reaped links."""

import unittest
from collections import deque
from typing import Any

from pathsaddle.emulator import plan, stage
from pathsaddle.emulator.judges.judge import judge
from pathsaddle.emulator.served.workers import Worker
from pathsaddle.event_log import Event

BASE_PLAN: dict[str, Any] = {
    "name": "untrue",
    "seconds": 5,
    "charter": {
        "zones": ["east", "west"],
        "reports": {"fields": ["x0", "queue"], "progress": "500ms", "starts": True},
        "schemes": [{"name": "look", "semantics": "repeatable", "sla": "2s", "expiry": "4s"}],
    },
    "fleet": {"dispatchers": 2, "workers": [{"kind": "node", "count": 2, "slots": 2}]},
    "load": {"rate": 12, "jobs": {"look": {"run": ["200ms", "200ms"], "spread": 0, "hint": 0}}, "retries": 0},
}


def run_events(*faults: dict[str, Any], seed: int = 1) -> list[Event]:
    return stage.virtual(plan.of({**BASE_PLAN, "faults": list(faults)}, "story"), seed).events.rows


def matching(rows: list[Event], what: str, **fields: object) -> list[Event]:
    return [row for row in rows if row.what == what and all(row.more.get(k) == v for k, v in fields.items())]


class SilentWatchTest(unittest.TestCase):
    def test_silent_watches_break_no_drain_in_a_fleet_of_any_size(self) -> None:
        """Changes missed by a silent watch count as delivered 6 s later, while discovery and links work.

        A single dispatcher waits for half a second until it requests the list again. Among forty or more it
        had waited for up to 5 s.
        """
        for dispatchers in (2, 40, 120):
            overrides = {
                **BASE_PLAN,
                "seconds": 12,
                "fleet": {**BASE_PLAN["fleet"], "dispatchers": dispatchers, "roster_rate": 60},
                "load": {**BASE_PLAN["load"], "rate": 60},
                "faults": [
                    {"kind": "watch-silent", "at": "4s"},
                    {"kind": "drain", "of": "node-0", "at": "5s", "for": "5s"},
                ],
            }
            parsed_plan = plan.of(overrides, "story")
            rows = stage.virtual(parsed_plan, 1).events.rows
            self.assertGreater(len(matching(rows, "hushed")), dispatchers // 2)
            self.assertEqual([f.text for f in judge(plan.charter_of(parsed_plan), rows).findings], [])


class FaultInjectionTest(unittest.TestCase):
    def test_without_a_fault_every_posting_ends(self) -> None:
        rows = run_events()
        self.assertEqual(len(matching(rows, "came")), len(matching(rows, "ended", how="done")))

    def test_a_flapping_worker_is_listed_again_or_not_as_planned(self) -> None:
        for how, listed in (("crash", True), ("crash", False), ("silence", True), ("silence", False)):
            rows = run_events(
                {
                    "kind": "flap",
                    "how": how,
                    "of": "node-0",
                    "at": "500ms",
                    "for": "4s",
                    "turn": "1s",
                    "strength": 0.5,
                    "listed": listed,
                }
            )
            with self.subTest(how=how, listed=listed):
                self.assertGreater(len(matching(rows, "crashed", worker="node-0")), 1)
                self.assertGreater(len(matching(rows, "started_cold" if listed else "started_unlisted")), 1)
                self.assertEqual(bool(matching(rows, "changed", worker="node-0")), listed)

    def test_an_intermittently_hanging_worker_delays_jobs_without_crashing(self) -> None:
        rows = run_events(
            {
                "kind": "flap",
                "how": "hang",
                "of": "node-*",
                "at": "500ms",
                "for": "3s",
                "turn": "2s",
                "strength": 0.5,
            }
        )
        baseline = run_events()
        self.assertEqual(matching(rows, "crashed"), [])
        self.assertLess(
            len([r for r in matching(rows, "ended", how="done") if 5_000 < r.at < 35_000]),
            len([r for r in matching(baseline, "ended", how="done") if 5_000 < r.at < 35_000]),
        )

    def test_an_intermittently_failing_worker_returns_the_errors(self) -> None:
        rows = run_events(
            {"kind": "flap", "how": "errors", "of": "node-0", "at": "500ms", "for": "4s", "turn": "1s"}
        )
        failed = [row for row in matching(rows, "ended") if row.more["how"] in ("error", "failed")]
        self.assertEqual({row.more["worker"] for row in failed}, {"node-0"})

    def test_a_one_sided_fault_affects_only_the_named_dispatchers(self) -> None:
        for how in ("loss", "hole", "refuse"):
            rows = run_events(
                {
                    "kind": "one-sided",
                    "how": how,
                    "of": "node-*",
                    "among": "d0",
                    "at": "0ms",
                    "for": "9s",
                    "strength": 1.0,
                }
            )
            delivered = {row.more["id"] for row in matching(rows, "told", state="done")}
            results = {
                d: [row.more["id"] in delivered for row in matching(rows, "came", dispatcher=d)]
                for d in (0, 1)
            }
            with self.subTest(how):
                self.assertTrue(results[0])
                self.assertFalse(any(results[0]), "no result reaches the dispatcher")
                self.assertTrue(all(results[1]))

    def test_a_slow_link_and_a_slow_side_delay_and_lose_messages(self) -> None:
        def min_start_delay(rows: list[Event], dispatcher: int) -> float:
            started_at = {row.more["id"]: row.at for row in reversed(matching(rows, "told", state="started"))}
            waits = [
                started_at[row.more["id"]] - row.at
                for row in matching(rows, "came", dispatcher=dispatcher)
                if row.more["id"] in started_at
            ]
            return min(waits)

        slow = run_events(
            {
                "kind": "one-sided",
                "how": "slow",
                "of": "node-*",
                "among": "d0",
                "at": "0ms",
                "for": "9s",
                "extra": "60ms",
            }
        )
        self.assertGreater(min_start_delay(slow, 0), 600)
        self.assertLess(min_start_delay(slow, 1), 600)
        lossy = run_events(
            {"kind": "slow-link", "of": "east", "among": "west", "at": "0ms", "for": "9s", "strength": 1.0}
        )
        delivered = {row.more["id"] for row in matching(lossy, "told", state="done")}
        crossed = [
            row for row in matching(lossy, "came") if row.more["dispatcher"] != int(row.more["worker"][-1])
        ]
        self.assertTrue(crossed)
        self.assertFalse(
            delivered
            & {row.more["id"] for row in crossed}
            - {row.more["id"] for row in matching(lossy, "came") if row not in crossed}
        )

    def test_an_idle_connection_is_dropped_unnoticed(self) -> None:
        for how in ("reset", "silence"):
            rows = run_events(
                {"kind": "reap", "how": how, "of": "node-*", "at": "0ms", "for": "9s", "strength": 0.01}
            )
            with self.subTest(how):
                self.assertGreater(len(matching(rows, "came")), len(matching(rows, "ran")))

    def test_a_fault_starts_at_its_time_after_another(self) -> None:
        rows = run_events(
            {"kind": "slow", "of": "node-0", "at": "1s", "for": "1s"},
            {"kind": "lie", "how": "full", "of": "node-1", "after": "slow", "at": "1500ms", "for": "1s"},
        )
        self.assertEqual(
            [(row.at // 100, row.more["kind"]) for row in matching(rows, "fault")],
            [(100, "slow"), (250, "lie")],
        )

    def test_a_misreporting_worker_reports_as_planned(self) -> None:
        class MisreportingWorker(Worker):
            def __init__(self, how: str) -> None:
                self.world = type("W", (), {})()
                self.world.plan = plan.of(BASE_PLAN, "story")  # type: ignore[attr-defined]
                self.world.charter = plan.charter_of(self.world.plan)  # type: ignore[attr-defined]
                self.world.now = lambda: 10_000  # type: ignore[attr-defined]
                self.kind = plan.Machines(count=1, slots=4, line=8)
                self.late, self.lies, self.shown = 0, "", 1.0
                self.past = deque([(0, 3.0, 0, 1)])
                self.lie(how, 0.5)
                self.past.append((100, 0.0, 6, 10))

        reports = {how: MisreportingWorker(how).report() for how in ("zero", "low", "stuck", "full", "")}
        self.assertEqual(
            reports,
            {
                "zero": {"x0": 4.0, "queue": 0},
                "low": {"x0": 2.0, "queue": 3},
                "stuck": {"x0": 3.0, "queue": 0},
                "full": {"x0": 0.0, "queue": 8},
                "": {"x0": 0.0, "queue": 6},
            },
        )

    def test_an_unknown_form_of_a_fault_is_rejected(self) -> None:
        with self.assertRaisesRegex(Exception, "write reset or silence"):
            plan.of({**BASE_PLAN, "faults": [{"kind": "reap", "how": "hang", "at": "1s"}]}, "story")
        with self.assertRaisesRegex(Exception, "kind of another fault"):
            plan.of({**BASE_PLAN, "faults": [{"kind": "reap", "at": "1s", "after": "slow"}]}, "story")


if __name__ == "__main__":
    unittest.main()
