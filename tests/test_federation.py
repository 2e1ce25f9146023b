"""The spec of a federation: checked whole, compared, in force by rule; every order of events to a depth."""

import unittest
from dataclasses import replace

from pathsaddle.emulator.federation.mutants import IN_MODEL, mutant
from pathsaddle.emulator.steps import Steps
from pathsaddle.federation.errors import InvalidSpecError
from pathsaddle.federation.model_checker import InvariantViolationError, check, versions, walk
from pathsaddle.federation.spec import parse
from pathsaddle.leased_versions import (
    CommitNotice,
    LeaseRenewal,
    Version,
    VersionChange,
    VersionServer,
    certain_lease_end,
    compare_versions,
    new_subscriber,
)

LEASE = 10_000
REGIONS = """[regions.north]
members = ["n0", "n1"]
[regions.west]
members = ["w0"]
[regions.south]
members = ["s0"]
repeats = true
"""
RENDER = """[schemes.render]
home = "north"
may = ["north", "west"]
fail_over = ["west"]
when = ["lost", "overloaded"]
at_most = 0.3
data = "textures"
staleness = "30s"
[data.textures]
copies = { north = "0s", west = "5s" }
fetch = 0.4
"""
HEAD = '[schemes.a]\nhome = "north"\n'
OUT = 'may = ["north", "west"]\nfail_over = ["west"]\n'
CONTRADICTIONS = (
    (HEAD + 'may = ["north"]\nfail_over = ["west"]\n', "a.fail_over", "where it may not be; add 'west'"),
    (HEAD + 'may = ["north", "wset"]\nfail_over = ["west"]\n', "a.may", "the nearest known is west"),
    (HEAD + 'may = ["west"]\nfail_over = ["west"]\n', "a.home", "add 'north' there or move home"),
    (HEAD + 'may = ["north", "west"]\nfail_over = ["west", "north"]\n', "a.fail_over", "a circle; take"),
    (HEAD + 'may = ["north", "west"]\nfail_over = ["west", "west"]\n', "a.fail_over", "a circle; leave"),
    (HEAD + 'may = ["north", "west"]\n', "a.may", "add schemes.a.fail_over"),
    (HEAD + 'staleness = "3s"\n', "a.staleness", "staleness of nothing"),
    (HEAD + 'data = "maps"\n', "a.data", "nobody has a data 'maps'"),
    (
        HEAD + 'semantics = "once-only"\nmay = ["north", "south"]\nfail_over = ["south"]\n',
        "a.may",
        "could run twice in south",
    ),
    (HEAD + OUT + "when = []\n", "a.when", 'write "lost"'),
    ("[regions.east]\nmembers = []\n", "regions.east.members", "a region that nobody has"),
    ('[regions.east]\nmembers = ["n0"]\n', "regions.east.members", "'n0' is of north already"),
    (
        HEAD + 'data = "d"\nstaleness = "1s"\n[data.d]\ncopies = { west = "5s" }\n',
        "a.staleness",
        "no copy in data.d.copies is ever as young",
    ),
    (HEAD + 'data = "d"\n[data.d]\ncopies = {}\n', "data.d.copies", "no copy stands anywhere"),
    (
        HEAD + 'data = "d"\n[data.d]\nmay = ["west"]\ncopies = { west = "5s" }\n',
        "a.may",
        "data.d.may forbids",
    ),
)


class SpecStory(unittest.TestCase):
    def faults(self, text):
        with self.assertRaises(InvalidSpecError) as caught:
            parse(REGIONS + text, "f.toml")
        return caught.exception.lines

    def test_the_spec_of_the_page_is_read_and_a_reason_finds_its_line(self):
        spec = parse(REGIONS + RENDER)
        rule = spec.rule("render", "north")
        self.assertEqual(
            (sorted(rule.may), rule.order, rule.staleness), (["north", "west"], ("west",), 300_000)
        )
        line = spec.text.splitlines()[spec.line("render", "fail_over") - 1]
        self.assertEqual(line, 'fail_over = ["west"]')
        self.assertEqual(spec.rule("unnamed", "west").may, {"west"})

    def test_all_that_is_wrong_comes_in_one_go_a_line_each_with_the_nearest_key(self):
        lines = self.faults(HEAD + 'fail_ower = ["west"]\nat_most = 3\n[schemes.b]\nmay = []\n')
        self.assertEqual(len(lines), 3)
        self.assertIn("the nearest known key is fail_over", lines[0])
        self.assertIn("schemes.b.home: is missing", lines[2])

    def test_each_contradiction_is_a_fault_that_says_what_to_change(self):
        for text, key, says in CONTRADICTIONS:
            with self.subTest(key=key, says=says):
                lines = self.faults(text)
                self.assertTrue(any(key in line and says in line for line in lines), lines)

    def test_five_thousand_schemes_all_wrong_are_told_whole_and_soon(self):
        data = "".join(f'[data.d{i}]\ncopies = {{ north = "0s" }}\n' for i in range(100))

        def lines(count):
            body = "".join(
                f'[schemes.s{i}]\nhome = "north"\n{OUT}data = "d{i % 100}"\n' for i in range(count)
            )
            with Steps() as steps:
                one = parse(REGIONS + body + data)
                two = parse(REGIONS + body.replace('"west"', '"south"') + data)
                changes = compare_versions(one, two)
                self.assertEqual(len(self.faults(body.replace('["west"]', '["wset"]') + data)), count)
            self.assertEqual((len(changes), sum(row.tightens for row in changes)), (2 * count, count))
            return steps.lines

        few, many = lines(500), lines(5000)
        self.assertLess(many, 10 * few, "no more for each of many")
        self.assertLess(many, 28_600_000)  # 22.9 million are run; 1.25 times as many


class VersionsStory(unittest.TestCase):
    def held(self):
        one, two = versions(1)
        state, ask = new_subscriber("m0", "north", 1, LEASE, one).asks(0)
        return one, two, state.renewed(LeaseRenewal("m0", 1, ask.echo, 1, one.digest), 5)

    def test_comparing_tells_tightenings_and_loosenings_for_each_scheme_and_region(self):
        one, two = versions(1)
        self.assertEqual(
            compare_versions(one.spec, two.spec),
            [VersionChange("a", "south", "may", False), VersionChange("a", "west", "may", True)],
        )
        less = parse(one.spec.text + "at_most = 0.1\n")
        self.assertEqual(compare_versions(one.spec, less), [VersionChange("a", "", "at_most", True)])

    def test_a_tightening_binds_at_once_and_a_loosening_when_it_is_committed(self):
        _, two, state = self.held()
        self.assertEqual(state.rule("a", 10).may, {"north", "west"})
        state = state.offered(two)
        self.assertEqual(state.rule("a", 10).may, {"north"})
        self.assertEqual(state.told(CommitNotice(2, two.digest))[0].rule("a", 10).may, {"north", "south"})

    def test_who_hears_nothing_beyond_its_lease_is_home_alone_and_so_is_a_new_life_with_an_old_disk(self):
        one, _, state = self.held()
        self.assertEqual(state.rule("a", LEASE).may, {"north"})
        self.assertEqual(new_subscriber("m0", "north", 2, LEASE, one).rule("a", 6).may, {"north"})

    def test_a_lease_counts_from_the_asking_and_what_answers_an_older_life_or_is_lower_is_nothing(self):
        one, two, state = self.held()
        self.assertEqual(state.renewed(LeaseRenewal("m0", 1, 1, 1, one.digest), 9000).until, state.until)
        state, ask = state.asks(100)
        self.assertEqual(state.renewed(LeaseRenewal("m0", 0, ask.echo, 1, one.digest), 200), state)
        later, _ = state.offered(two).told(CommitNotice(2, two.digest))
        self.assertEqual(later.renewed(LeaseRenewal("m0", 1, ask.echo, 1, one.digest), 200), later)

    def test_a_number_whose_text_is_missing_leaves_home_alone_until_the_very_text_comes(self):
        one, two, state = self.held()
        state, have = state.told(CommitNotice(2, two.digest))
        self.assertIsNone(have)
        self.assertEqual(state.rule("a", 10).may, {"north"})
        self.assertIs(state.offered(Version(2, "another", one.spec)), state)
        self.assertEqual(state.offered(two).rule("a", 10).may, {"north", "south"})

    def test_a_member_started_with_another_first_text_is_home_alone_until_it_has_the_committed_one(self):
        one, _, _ = self.held()
        other = Version(1, "mine", one.spec)
        state, ask = new_subscriber("m0", "north", 1, LEASE, other).asks(0)
        state = state.renewed(LeaseRenewal("m0", 1, ask.echo, 1, one.digest), 5)
        self.assertEqual(state.rule("a", 10).may, {"north"})
        self.assertEqual(state.offered(one).rule("a", 10).may, {"north", "west"})

    def test_in_force_needs_each_ones_word_or_a_leases_end_and_a_home_withdrawn_needs_the_word(self):
        one, two = versions(1)
        keeper = VersionServer(LEASE, 0).reads(1, one.digest, one, 0).reads(2, two.digest, two, 50)
        self.assertEqual(keeper.waits_for(60), ("m0", "s", "w"))
        self.assertEqual(keeper.judged(50 + certain_lease_end(LEASE)).force, 2)
        _, moved = versions(1, moved="south")
        keeper = VersionServer(LEASE, 0).reads(1, one.digest, one, 0).reads(2, moved.digest, moved, 50)
        self.assertEqual(keeper.waits_for(100 * LEASE), ("m0", "s", "w"))
        self.assertEqual(replace(keeper, gone=("m0", "w")).waits_for(100 * LEASE), ("s",))

    def test_of_two_texts_under_one_number_both_narrow_until_one_is_committed(self):
        one, two, state = self.held()
        rival = Version(2, "rival", parse(one.spec.text + "at_most = 0.2\n"))
        state = state.offered(rival).offered(two)
        self.assertEqual(state.rule("a", 10).at_most, 0.2)
        state, _ = state.told(CommitNotice(2, two.digest))
        self.assertEqual((state.base.digest, state.offers), (two.digest, ()))


class EveryOrderStory(unittest.TestCase):
    """Loss, doubling, reordering, restarts with the old disk, slow clocks, dead keepers."""

    def test_at_no_instant_after_in_force_may_anybody_do_what_is_forbidden(self):
        self.assertGreater(check(5, 3), 40_000)
        self.assertGreater(check(7, 1), 10_000)

    def test_nor_in_orders_far_longer_drawn_by_chance(self):
        self.assertEqual(sum(walk(seed) for seed in range(300)), 300 * 60)

    def test_a_home_that_is_withdrawn_is_left_before_in_force(self):
        self.assertGreater(check(6, 2, lives=0, moved="south"), 1000)

    def test_every_mutant_is_found(self):
        for name in IN_MODEL:
            with self.subTest(name), mutant(name), self.assertRaises(InvariantViolationError):
                check(9, 1, lives=1)


if __name__ == "__main__":
    unittest.main()
