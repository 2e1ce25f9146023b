"""Stories of the emulator's untrue reports, flapping and one-sided workers, lossy ways and reaped connections: each shows."""

import unittest
from collections import deque
from typing import Any

from pathsaddle.emulator import plan, stage
from pathsaddle.emulator.judges.judge import judge
from pathsaddle.emulator.served.workers import Worker
from pathsaddle.event_log import Event

BASE: dict[str, Any] = {
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


def events(*faults: dict[str, Any], seed: int = 1) -> list[Event]:
    return stage.virtual(plan.of({**BASE, "faults": list(faults)}, "story"), seed).events.rows


def of(rows: list[Event], what: str, **more: object) -> list[Event]:
    return [row for row in rows if row.what == what and all(row.more.get(k) == v for k, v in more.items())]


class SilentWatches(unittest.TestCase):
    def test_watches_fall_silent_and_no_drain_is_broken_whatever_the_size_of_the_fleet(self) -> None:
        """What they miss counts as told 6 s later, come or not; discovery and ways are well meanwhile. Alone a call
        after a silence waits half a second, among forty or more it had waited for up to 5 s.
        """
        for many in (2, 40, 120):
            given = {
                **BASE,
                "seconds": 12,
                "fleet": {**BASE["fleet"], "dispatchers": many, "roster_rate": 60},
                "load": {**BASE["load"], "rate": 60},
                "faults": [
                    {"kind": "watch-silent", "at": "4s"},
                    {"kind": "drain", "of": "node-0", "at": "5s", "for": "5s"},
                ],
            }
            told = plan.of(given, "story")
            rows = stage.virtual(told, 1).events.rows
            self.assertGreater(len(of(rows, "hushed")), many // 2)
            self.assertEqual([f.text for f in judge(plan.charter_of(told), rows).findings], [])


class UntrueStory(unittest.TestCase):
    def test_without_a_fault_all_that_came_ends(self) -> None:
        rows = events()
        self.assertEqual(len(of(rows, "came")), len(of(rows, "ended", how="done")))

    def test_a_worker_flaps_and_the_list_follows_or_does_not(self) -> None:
        for how, listed in (("crash", True), ("crash", False), ("silence", True), ("silence", False)):
            rows = events(
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
                self.assertGreater(len(of(rows, "crashed", worker="node-0")), 1)
                self.assertGreater(len(of(rows, "started_cold" if listed else "started_unlisted")), 1)
                self.assertEqual(bool(of(rows, "changed", worker="node-0")), listed)

    def test_a_worker_that_hangs_by_turns_takes_jobs_and_starts_none_and_is_back(self) -> None:
        rows = events(
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
        usual = events()
        self.assertEqual(of(rows, "crashed"), [])
        self.assertLess(
            len([r for r in of(rows, "ended", how="done") if 5_000 < r.at < 35_000]),
            len([r for r in of(usual, "ended", how="done") if 5_000 < r.at < 35_000]),
        )

    def test_errors_by_turns(self) -> None:
        rows = events(
            {"kind": "flap", "how": "errors", "of": "node-0", "at": "500ms", "for": "4s", "turn": "1s"}
        )
        failed = [row for row in of(rows, "ended") if row.more["how"] in ("error", "failed")]
        self.assertEqual({row.more["worker"] for row in failed}, {"node-0"})

    def test_a_one_sided_worker_is_bad_for_those_dispatchers_alone(self) -> None:
        for how in ("loss", "hole", "refuse"):
            rows = events(
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
            told = {row.more["id"] for row in of(rows, "told", state="done")}
            by = {d: [row.more["id"] in told for row in of(rows, "came", dispatcher=d)] for d in (0, 1)}
            with self.subTest(how):
                self.assertTrue(by[0])
                self.assertFalse(any(by[0]), "nothing that it asked for is told to it")
                self.assertTrue(all(by[1]))

    def test_a_slow_way_and_a_slow_side_take_longer_and_lose(self) -> None:
        def starts(rows: list[Event], dispatcher: int) -> float:
            told = {row.more["id"]: row.at for row in reversed(of(rows, "told", state="started"))}
            waits = [
                told[row.more["id"]] - row.at
                for row in of(rows, "came", dispatcher=dispatcher)
                if row.more["id"] in told
            ]
            return min(waits)

        slow = events(
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
        self.assertGreater(starts(slow, 0), 600)
        self.assertLess(starts(slow, 1), 600)
        lossy = events(
            {"kind": "slow-link", "of": "east", "among": "west", "at": "0ms", "for": "9s", "strength": 1.0}
        )
        told = {row.more["id"] for row in of(lossy, "told", state="done")}
        crossed = [row for row in of(lossy, "came") if row.more["dispatcher"] != int(row.more["worker"][-1])]
        self.assertTrue(crossed)
        self.assertFalse(
            told
            & {row.more["id"] for row in crossed}
            - {row.more["id"] for row in of(lossy, "came") if row not in crossed}
        )

    def test_a_connection_that_stood_idle_is_dropped_unseen(self) -> None:
        for how in ("reset", "silence"):
            rows = events(
                {"kind": "reap", "how": how, "of": "node-*", "at": "0ms", "for": "9s", "strength": 0.01}
            )
            with self.subTest(how):
                self.assertGreater(len(of(rows, "came")), len(of(rows, "ran")))

    def test_a_trouble_follows_another_by_its_time(self) -> None:
        rows = events(
            {"kind": "slow", "of": "node-0", "at": "1s", "for": "1s"},
            {"kind": "lie", "how": "full", "of": "node-1", "after": "slow", "at": "1500ms", "for": "1s"},
        )
        self.assertEqual(
            [(row.at // 100, row.more["kind"]) for row in of(rows, "fault")], [(100, "slow"), (250, "lie")]
        )

    def test_what_a_liar_reports(self) -> None:
        class Liar(Worker):
            def __init__(self, how: str) -> None:
                self.world = type("W", (), {})()
                self.world.plan = plan.of(BASE, "story")  # type: ignore[attr-defined]
                self.world.charter = plan.charter_of(self.world.plan)  # type: ignore[attr-defined]
                self.world.now = lambda: 10_000  # type: ignore[attr-defined]
                self.kind = plan.Machines(count=1, slots=4, line=8)
                self.late, self.lies, self.shown = 0, "", 1.0
                self.past = deque([(0, 3.0, 0, 1)])
                self.lie(how, 0.5)
                self.past.append((100, 0.0, 6, 10))

        told = {how: Liar(how).report() for how in ("zero", "low", "stuck", "full", "")}
        self.assertEqual(
            told,
            {
                "zero": {"x0": 4.0, "queue": 0},
                "low": {"x0": 2.0, "queue": 3},
                "stuck": {"x0": 3.0, "queue": 0},
                "full": {"x0": 0.0, "queue": 8},
                "": {"x0": 0.0, "queue": 6},
            },
        )

    def test_a_form_that_a_fault_does_not_have_is_told(self) -> None:
        with self.assertRaisesRegex(Exception, "write reset or silence"):
            plan.of({**BASE, "faults": [{"kind": "reap", "how": "hang", "at": "1s"}]}, "story")
        with self.assertRaisesRegex(Exception, "kind of another fault"):
            plan.of({**BASE, "faults": [{"kind": "reap", "at": "1s", "after": "slow"}]}, "story")


if __name__ == "__main__":
    unittest.main()
