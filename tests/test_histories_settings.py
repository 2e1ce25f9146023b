"""Histories of shared settings: what one unknown answer leaves open, and runs of the virtual ground as such histories.

That planted faults are found and right ones pass is held for all checkers alike by tests/test_histories.py.
"""

import random
import unittest
from itertools import product

from pathsaddle.emulator.settings.history import history
from pathsaddle.emulator.settings.judge import judge
from pathsaddle.emulator.settings.mutants import MUTANTS, planted
from pathsaddle.emulator.settings.world import Plan, World
from pathsaddle.histories.logs import Event, check
from pathsaddle.histories.planted import PLANTED, wrong
from pathsaddle.histories.settings import Settings
from pathsaddle.histories.worlds import right


def found(rows: list[Event], skew: int = 0) -> list[str]:
    return [finding.name for finding in check(rows, [Settings(skew)])]


def call(
    at: int, revision: int, allowance: int | None, digest: str = "", before: str = "", who: str = "k"
) -> Event:
    digest = digest or f"d{revision}"
    return Event(
        at,
        "settings.call",
        {
            "who": who,
            "op": f"{digest}/{at}",
            "revision": revision,
            "digest": digest,
            "before": before or f"d{revision - 1}",
            "puts": {
                "customers.a": None if allowance is None else {"allowance": allowance},
                "customers.b": {"allowance": 1},
            },
        },
    )


def end(at: int, of: Event, outcome: str) -> Event:
    return Event(at, "settings.end", {"who": of.more["who"], "op": of.more["op"], "outcome": outcome})


def act(
    at: int, revision: int, allowance: int, digest: str = "", leased: bool = False, who: str = "a"
) -> Event:
    return Event(
        at,
        "settings.act",
        {
            "who": who,
            "revision": revision,
            "digest": digest or f"d{revision}",
            "leased": leased,
            "key": "customers.a",
            "value": {"allowance": allowance},
        },
    )


def force(at: int, revision: int, digest: str = "", who: str = "k") -> Event:
    return Event(at, "settings.force", {"who": who, "revision": revision, "digest": digest or f"d{revision}"})


class Unknown(unittest.TestCase):
    def test_one_of_two_that_nobody_answered_may_be_gone_by_and_not_both(self) -> None:
        rows = [call(0, 1, 5), call(10, 2, 9, "x", "d1"), call(11, 2, 3, "y", "d1", who="l")]
        self.assertEqual(found([*rows, act(30, 2, 9, "x")]), [])
        self.assertEqual(found([*rows, act(30, 2, 3, "y")]), [])
        self.assertEqual(found([*rows, act(30, 2, 9, "x"), act(31, 2, 3, "y", who="b")]), ["two-digests"])

    def test_what_is_proven_later_decides_what_was_done_before(self) -> None:
        """By an answer, by a reading, by a later group that names the other."""
        one, other = call(10, 2, 9, "x", "d1"), call(11, 2, 3, "y", "d1", who="l")
        rows = [call(0, 1, 5), one, other, act(30, 2, 9, "x")]
        self.assertEqual(found([*rows, end(90, other, "ok")]), ["never-committed"])
        self.assertEqual(found([*rows, end(90, one, "refused")]), ["never-committed"])
        self.assertEqual(found([*rows, end(90, one, "unknown")]), [])
        told = Event(90, "settings.read", {"who": "l", "revision": 2, "digest": "y"})
        self.assertEqual(found([*rows, told]), ["never-committed"])
        after = call(80, 3, 4, before="y", who="l")
        self.assertEqual(found([*rows, after]), [])
        self.assertEqual(found([*rows, after, end(90, after, "ok")]), ["never-committed"])

    def test_a_refused_call_leaves_the_same_group_open_that_another_call_began(self) -> None:
        one, again = call(10, 2, 9), call(20, 2, 9)
        rows = [call(0, 1, 5), one, end(15, one, "refused"), again, act(30, 2, 9)]
        self.assertEqual(found(rows), [])
        self.assertEqual(found([*rows, end(40, again, "refused")]), ["never-committed"])
        # And it can't have been committed by the first of them.
        early = [call(0, 1, 5), one, act(15, 2, 9), end(16, one, "refused"), again]
        self.assertEqual(found(early), ["before-commit"])

    def test_a_later_group_allows_again_unless_it_turns_out_never_committed(self) -> None:
        later = call(30, 3, 7)
        rows = [call(0, 1, 5), call(10, 2, 3), force(20, 2), later, act(40, 1, 5)]
        self.assertEqual(found(rows), [])
        self.assertEqual(found([*rows, end(50, later, "refused")]), ["forbidden-in-force"])
        other = call(45, 3, 2, "z", "d2", who="l")
        self.assertEqual(found([*rows, other, end(50, other, "ok")]), ["forbidden-in-force"])
        # Allowed by one that began only afterwards.
        self.assertEqual(found([*rows[:3], act(25, 1, 5), call(30, 3, 7)]), ["forbidden-in-force"])

    def test_of_two_lines_a_group_is_held_against_its_own(self) -> None:
        rows = [
            call(0, 1, 5),
            call(10, 2, 9, "x", "d1"),
            call(11, 2, 3, "y", "d1", who="l"),
            call(20, 3, None, before="y"),
        ]
        rows[3].more["puts"] = {"customers.c": {"allowance": 1}}
        self.assertEqual(found([*rows, act(30, 3, 3)]), [])
        self.assertEqual(found([*rows, act(30, 3, 9)]), ["more-than-allowed"])


def plainly(rows: list[Event]) -> bool:
    """Whether any line of groups, one a revision from the lowest on, is what all of these tell: all tried."""
    refused = {
        row.more["op"] for row in rows if row.what == "settings.end" and row.more["outcome"] == "refused"
    }
    calls = [row for row in rows if row.what == "settings.call"]
    by_op = {row.more["op"]: row for row in calls}
    told = []
    for row in rows:
        if row.what in ("settings.act", "settings.read", "settings.force"):
            told.append((row.at, row.more["revision"], row.more["digest"]))
        elif row.what == "settings.end" and row.more["outcome"] == "ok":
            one = by_op[row.more["op"]].more
            told.append((row.at, one["revision"], one["digest"]))
    revisions = sorted({row.more["revision"] for row in calls})
    texts = [
        [None, *dict.fromkeys(row.more["digest"] for row in calls if row.more["revision"] == one)]
        for one in revisions
    ]
    for line in product(*texts):
        chosen = dict(zip(revisions, line, strict=True))
        committed, before, now, right = {}, None, 0, True
        for number in range(revisions[0], revisions[-1] + 1):
            digest = chosen.get(number)
            if digest is None:
                break
            able = [row for row in calls if (row.more["revision"], row.more["digest"]) == (number, digest)]
            begun = [row.at for row in able if row.more["op"] not in refused]
            if not begun or (before is not None and able[0].more["before"] != before):
                right = False
                break
            now = max(now, min(begun))
            committed[number, digest], before = now, digest
        if right and all(committed.get((number, digest), at + 1) <= at for at, number, digest in told):
            return True
    return False


class AnyLine(unittest.TestCase):
    def drawn(self, chance: random.Random) -> list[Event]:
        rows: list[Event] = []
        texts = [(1, "a", ""), (2, "b", "a"), (2, "c", "a"), (3, "d", "b"), (3, "e", "c"), (3, "f", "b")]
        for op, (number, digest, before) in enumerate(chance.choices(texts, k=chance.randint(2, 6))):
            at = chance.randrange(10) if chance.random() < 0.3 else 2 * number
            rows.append(
                Event(
                    at,
                    "settings.call",
                    {
                        "who": "k",
                        "op": op,
                        "revision": number,
                        "digest": digest,
                        "before": before,
                        "puts": {},
                    },
                )
            )
            outcome = chance.choice(("ok", "refused", "unknown", "unknown", "", ""))
            if outcome:
                rows.append(
                    Event(
                        at + chance.randint(1, 6), "settings.end", {"who": "k", "op": op, "outcome": outcome}
                    )
                )
        for number, digest, _ in chance.choices(texts, k=chance.randint(0, 2)):
            at, what = (
                chance.randint(4, 16),
                chance.choice(("settings.act", "settings.read", "settings.force")),
            )
            more = {"who": f"m{len(rows)}", "revision": number, "digest": digest}
            if what == "settings.act":
                more.update(key="zones.z", value={}, leased=False)
            rows.append(Event(at, what, more))
        return sorted(rows, key=lambda row: row.at)

    def test_what_was_committed_is_judged_as_by_trying_every_line(self) -> None:
        chance, answers = random.Random(5), {True: 0, False: 0}
        for _ in range(3000):
            rows = self.drawn(chance)
            truth = plainly(rows)
            self.assertEqual(not found(rows), truth, "\n".join(map(str, rows)))
            answers[truth] += 1
        self.assertGreater(min(answers.values()), 300)


class Orders(unittest.TestCase):
    def test_only_what_is_surely_later_accuses(self) -> None:
        rows = [call(0, 1, 5), call(10, 2, 3), force(1000, 2)]
        for at, leased, expected in (
            (1000, True, []),
            (1020, True, []),
            (1021, True, ["leased-behind", "forbidden-in-force"]),
            (1021, False, ["forbidden-in-force"]),
        ):
            self.assertEqual(found([*rows, act(at, 1, 5, leased=leased)], 10), expected, at)
        # By one and the same writer the order is its own.
        self.assertEqual(found([*rows, act(1001, 1, 5, who="k")], 10), ["forbidden-in-force"])

    def test_gone_by_before_its_call_began(self) -> None:
        rows = [call(0, 1, 5), act(100, 2, 9), call(120, 2, 9)]
        self.assertEqual(found(rows, 10), [])
        self.assertEqual(found(rows, 9), ["before-commit"])
        # Nor can one be committed before the one that it comes after.
        self.assertEqual(found([call(0, 2, 9), act(10, 2, 9), call(20, 1, 5)]), ["before-commit"])

    def test_back_in_one_life_and_over_two_unless_the_disk_was_lost(self) -> None:
        rows = [call(0, 1, 5), call(10, 2, 9), act(20, 2, 9)]
        self.assertEqual(found([*rows, act(30, 1, 5)]), ["went-back"])
        began = Event(25, "member.began", {"who": "a", "life": 2})
        self.assertEqual(found([*rows, began, act(30, 1, 5)]), ["went-back"])
        self.assertEqual(found([*rows, Event(25, "disk.lost", {"who": "a"}), began, act(30, 1, 5)]), [])
        self.assertEqual(found([*rows, act(30, 1, 5, who="b")]), [])

    def test_a_log_that_begins_in_the_middle_accuses_nobody_of_what_stood_before(self) -> None:
        rows = [
            call(0, 7, 5),
            Event(
                5, "settings.rows", {"who": "a", "revision": 7, "digest": "d7", "rows": {"customers.z": None}}
            ),
        ]
        rows[0].more["puts"] = {"customers.c": {"allowance": 5}}
        self.assertEqual(found([*rows, act(10, 7, 9)]), [])
        begins = [call(0, 1, 5), act(10, 1, 9)]
        begins[0].more["puts"] = {"customers.c": {"allowance": 5}}
        self.assertEqual(found(begins), ["more-than-allowed"])

    def test_rows_of_other_tables_have_no_order_here(self) -> None:
        rows = [call(0, 1, 5), act(10, 1, 9)]
        for event, value in ((rows[0], {"rules.cold": {"cold_share": 0.1}}), (rows[1], "rules.cold")):
            event.more["puts" if event is rows[0] else "key"] = value
        self.assertEqual(found(rows), [])
        seen = Event(
            20,
            "settings.rows",
            {"who": "a", "revision": 1, "digest": "d1", "rows": {"rules.cold": {"cold_share": 0.2}}},
        )
        self.assertEqual(found([*rows, seen]), ["group-in-part"])

    def test_a_line_that_lacks_a_field_is_found_and_ends_nothing(self) -> None:
        good = [
            call(0, 1, 5),
            call(10, 2, 3),
            end(15, call(10, 2, 3), "ok"),
            force(20, 2),
            act(30, 2, 3),
            Event(
                31,
                "settings.rows",
                {"who": "a", "revision": 2, "digest": "d2", "rows": {"customers.a": {"allowance": 3}}},
            ),
            Event(40, "settings.read", {"who": "k", "revision": 2, "digest": "d2"}),
            Event(50, "disk.lost", {"who": "a"}),
        ]
        self.assertEqual(found(good), [])
        for place, event in enumerate(good):
            for name in event.more:
                for value in (None, [], {}, "x", 1.5):
                    more = {key: one for key, one in event.more.items() if key != name}
                    rows = [*good[:place], Event(event.at, event.what, more), *good[place + 1 :]]
                    self.assertIn("log-broken", found(rows), (event.what, name))
                    more[name] = value
                    found(rows)  # whatever is found, nothing is raised

    def test_no_planted_history_ends_the_checker_when_lines_of_it_are_missing(self) -> None:
        chance = random.Random(3)
        for kind in PLANTED["settings"]:
            _, rows = wrong("settings", kind, 1, 600, 0)
            for _ in range(5):
                found([row for row in rows if chance.random() < 0.7], 20)


class Ground(unittest.TestCase):
    def test_runs_under_drawn_faults_are_right_histories(self) -> None:
        acted = 0
        for seed in (0, 3, 8, 9):
            rows = history(World(Plan(), seed).run())
            self.assertEqual([str(finding) for finding in check(rows, [Settings()])], [], seed)
            acted += sum(event.what == "settings.act" for event in rows)
        self.assertGreater(acted, 1000)

    def test_mutants_of_the_program_are_found_by_the_log_alone(self) -> None:
        for name, names in (
            ("force told early", {"leased-behind", "forbidden-in-force"}),
            ("a group by halves", {"group-in-part"}),
            ("an offer widens", {"more-than-allowed"}),
            ("the word before the disk", {"went-back"}),
        ):
            _, _, plan = MUTANTS[name]
            with planted(name):
                seen = {one for seed in range(3) for one in found(history(World(plan, seed).run()))}
            self.assertTrue(names & seen, (name, seen))

    def test_it_says_of_each_run_what_the_judge_of_the_ground_says(self) -> None:
        """Which has the ground's own word of what was committed when."""
        verdicts = set()
        for name in ("force told early", "the word before the disk", "a lease from its answer on"):
            _, _, plan = MUTANTS[name]
            for seed in range(4):
                with planted(name):
                    world = World(plan, seed).run()
                bad = bool([one for one in judge(world.events.rows, last=False) if one.bound != "bytes"])
                self.assertEqual(bool(found(history(world))), bad, (name, seed))
                verdicts.add(bad)
        self.assertEqual(verdicts, {True, False})


class Right(unittest.TestCase):
    def test_what_makes_it_hard_is_in_the_right_worlds(self) -> None:
        rows = right("settings", 1, 3000)
        kinds = {event.more["outcome"] for event in rows if event.what == "settings.end"}
        self.assertEqual(kinds, {"ok", "refused", "unknown"})
        ended = {event.more["op"] for event in rows if event.what == "settings.end"}
        self.assertTrue(
            any(event.more["op"] not in ended for event in rows[:2000] if event.what == "settings.call")
        )
        told, behind = 0, 0
        for event in rows:
            if event.what == "settings.force":
                told = event.more["revision"]
            behind += event.what == "settings.act" and event.more["revision"] < told
        self.assertGreater(behind, 0)
        self.assertTrue(any(event.what == "disk.lost" for event in rows))


if __name__ == "__main__":
    unittest.main()
