"""Gossip and quotas of members: records and their ages, documents, units and uses, under faults of the network."""

import unittest
from random import Random
from unittest import mock

import msgspec

from pathsaddle.emulator.state import mutants
from pathsaddle.emulator.state.ground import BUDGET, Ground, Plan, varied
from pathsaddle.emulator.state.judge import judge
from pathsaddle.fleet.gossip import model_checker
from pathsaddle.fleet.gossip.anti_entropy import MAX_DIGEST_ENTRIES
from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.gossip.messages import MAX_RECORD_BYTES, Digest, decode
from pathsaddle.fleet.gossip.records import MemberRecords, RecordStore
from pathsaddle.fleet.quota.leases import Grant, QuotaRequest
from pathsaddle.fleet.quota.model_checker import InvariantViolationError
from pathsaddle.fleet.quota.quota_limiter import WINDOW, QuotaConfig, QuotaLimiter
from pathsaddle.fleet.quota.shared_state import SPARE_TOPIC, SharedState
from pathsaddle.fleet.rate_limiter import SECOND, RateLimiter

KEY = b"sixteen bytes or more"


class SmallFleet:
    """Members with nothing between them but what a test lets through."""

    def __init__(self, *names, bytes_=24_000):
        self.now = 0
        self.all = {
            name: Gossip(name, 7, "f", KEY, RateLimiter(bytes_, 60, 0), SECOND, Random(name), 0)
            for name in names
        }
        for one in self.all.values():
            for name in names:
                one.on_member_joined(name, 7, name)
        self.lost = lambda sender, taker: False
        self.sent = dict.fromkeys(names, 0)

    def play(self, seconds):
        for _ in range(int(seconds * 50)):
            self.now += SECOND // 50
            for name, one in self.all.items():
                if one.due(self.now - 1) <= self.now:
                    one.wake(self.now)
            for name, one in self.all.items():
                out, one.out[:] = one.out[:], []
                for taker, data in out:
                    self.sent[name] += len(data)
                    if taker in self.all and not self.lost(name, taker):
                        self.all[taker].on_datagram(data, self.now)

    def bodies(self, name, topic="t"):
        return {shown.member: shown.body for shown in self.all[name].records(topic, self.now)}


class RecordTest(unittest.TestCase):
    def test_a_record_is_known_by_all_and_its_age_is_an_interval_that_holds_the_truth(self):
        fleet = SmallFleet("a", "b", "c", "d")
        fleet.play(5)
        fleet.all["a"].put("t", b"one", fleet.now)
        put = fleet.now
        fleet.play(5)
        for name in "bcd":
            [shown] = fleet.all[name].records("t", fleet.now)
            self.assertEqual(shown.body, b"one")
            self.assertLessEqual(shown.least, fleet.now - put)
            self.assertIsNotNone(shown.most)
            self.assertTrue(fleet.now - put <= shown.most <= fleet.now - put + 6 * SECOND, shown)
            self.assertLess(shown.confirmed_ago_ticks, 5 * SECOND)

    def test_a_record_that_was_only_disseminated_has_no_greatest_age_until_somebody_answers_for_it(self):
        fleet = SmallFleet("a", "b")
        fleet.lost = lambda sender, taker: sender == "b"  # b's questions are lost: it only ever hears
        fleet.all["a"].put("t", b"one", fleet.now)
        fleet.play(3)
        [shown] = fleet.all["b"].records("t", fleet.now)
        self.assertEqual((shown.body, shown.most, shown.confirmed_ago_ticks), (b"one", None, None))
        fleet.lost = lambda sender, taker: False
        fleet.play(4)
        self.assertIsNotNone(fleet.all["b"].records("t", fleet.now)[0].confirmed_ago_ticks)

    def test_gaps_are_repaired_by_anti_entropy_also_more_than_a_reply_holds(self):
        fleet = SmallFleet("a", "b", "c")
        fleet.lost = lambda sender, taker: "c" in (sender, taker)
        for n in range(20):
            fleet.all["a"].put(f"t{n}", bytes(300), fleet.now)
            fleet.play(0.5)
        self.assertEqual(fleet.all["c"].origins.get("a"), None)
        before = dict(fleet.sent)
        fleet.lost = lambda sender, taker: False
        fleet.play(12)
        self.assertEqual(fleet.all["c"].origins["a"].complete_up_to, 20)
        self.assertEqual(len(fleet.all["c"].origins["a"].records), 20)
        # No burst: what brought 6,000 bytes there was paid from the rate_limiter like all else.
        self.assertLess(max(fleet.sent[n] - before[n] for n in "abc"), 12 * 3000)

    def test_an_old_incarnation_ends_once_and_comes_back_by_no_late_message(self):
        fleet = SmallFleet("a", "b", "c")
        fleet.all["a"].put("t", b"old", fleet.now)
        fleet.all["a"].wake(fleet.now)
        late = [data for taker, data in fleet.all["a"].out if taker == "b"]
        fleet.play(3)
        b = fleet.all["b"]
        b.on_member_joined("a", 9, "a")
        b.on_member_joined("a", 9, "a")
        b.on_member_left("a", 7)
        self.assertEqual(b.over, [("a", 7)])
        self.assertEqual(b.records("t", fleet.now), [])
        self.assertTrue(late)
        for data in late:
            b.on_datagram(data, fleet.now)
        fleet.play(5)  # c still believes in the old one, and tells of it
        self.assertEqual(fleet.bodies("c"), {"a": b"old"})
        self.assertEqual(b.records("t", fleet.now), [])

    def test_a_member_taken_for_dead_by_mistake_comes_back_with_all_that_it_put(self):
        fleet = SmallFleet("a", "b")
        fleet.all["a"].put("t", b"one", fleet.now)
        fleet.play(3)
        fleet.all["b"].on_member_left("a", 7)
        self.assertEqual(fleet.bodies("b"), {})
        fleet.all["b"].on_member_joined("a", 7, "a")
        fleet.play(4)
        self.assertEqual(fleet.bodies("b"), {"a": b"one"})

    def test_a_member_with_another_incarnation_puts_all_its_records_again_in_it(self):
        fleet = SmallFleet("a", "b")
        fleet.all["a"].put("t", b"one", fleet.now)
        fleet.play(3)
        fleet.all["a"].on_new_incarnation(12, fleet.now)
        fleet.all["b"].on_member_joined("a", 12, "a")
        fleet.play(4)
        [shown] = fleet.all["b"].records("t", fleet.now)
        self.assertEqual((shown.life, shown.body), (12, b"one"))

    def test_a_datagram_of_no_member_is_counted_and_changes_nothing(self):
        fleet = SmallFleet("a", "b")
        b = fleet.all["b"]
        b.put("t", b"x", 0)
        b.wake(0)
        [data] = {data for _, data in b.out}
        for wrong, reason in ((data[:-1] + b"?", "stranger"), (data[:10], "cut"), (data, "misdirected")):
            b.on_datagram(wrong, 1)
            self.assertEqual(b.counts.pop(f"refused {reason}"), 1)
        fleet.all["a"].on_member_left("b", 7)
        fleet.all["a"].on_datagram(data, 1)
        self.assertEqual(fleet.all["a"].counts, {"refused unknown": 1})
        with self.assertRaises(ValueError):
            b.put("t", bytes(401), 0)


class TurnsTest(unittest.TestCase):
    """More names than a page holds: the first of 50 was compared once in 50 times, most in every second."""

    NAMES = tuple(f"m{n:02}" for n in range(50))

    def setUp(self):
        self.one = Gossip("m25", 7, "f", KEY, RateLimiter(24_000, 60, 0), SECOND, Random(5), 0)
        for name in self.NAMES:
            self.one.on_member_joined(name, 7, name)
            self.one.origins.setdefault(name, MemberRecords(7, complete_up_to=1))

    def compared(self, beats):
        """How often each name was, over so many beats; of how many comparisons."""
        times, pages = dict.fromkeys(self.NAMES, 0), 0
        for now in range(self.one.anti_entropy.due, self.one.anti_entropy.due + beats * SECOND, SECOND // 50):
            self.one.wake(now)
            for _, data in self.one.out:
                for message in decode(data, KEY, "f").messages:
                    if isinstance(message, Digest):
                        pages += 1
                        for entry in message.entries:
                            times[entry.member] += 1
            self.one.out.clear()
        return times, pages

    def test_each_name_is_compared_as_often_as_any_other(self):
        times, pages = self.compared(60)
        rounds = pages // -(-len(self.NAMES) // MAX_DIGEST_ENTRIES)
        self.assertGreater(rounds, 10)
        self.assertLessEqual(max(times.values()) - min(times.values()), 1, times)
        self.assertGreaterEqual(min(times.values()), rounds - 1)

    def test_a_digest_that_the_rate_limiter_refuses_is_not_the_names_turn(self):
        self.compared(1)
        before = self.one.anti_entropy.last_name
        self.one.rate_limiter.left[0] = -24_000  # and what a beat brings back
        self.one.wake(self.one.anti_entropy.due)
        self.assertEqual(
            (self.one.counts["held back"], self.one.anti_entropy.last_name, self.one.out), (1, before, [])
        )

    def test_names_that_leave_or_join_between_two_pages_take_no_others_turn(self):
        self.compared(1)
        self.one.on_member_left(
            self.one.anti_entropy.last_name or self.NAMES[-1], 7
        )  # that which the next page begins behind
        times, _ = self.compared(8)
        there = [times[name] for name in self.NAMES if name in self.one.origins]
        self.assertEqual(len(there), 49)
        self.assertGreaterEqual(min(there), 1)


class EveryOrderTest(unittest.TestCase):
    """Three members, one that writes two topics and restarts: exchanged, passed on, lost, duplicated, late."""

    def test_records_are_complete_as_stated_and_no_old_incarnation_is_shown_in_every_state_within_six_steps(
        self,
    ):
        count = model_checker.check(6)
        print(f"gossip: {count} states to depth 6", flush=True)
        self.assertGreater(count, 20_000)

    def test_mutants_that_break_it_are_found(self):
        apply_delta = RecordStore.apply_delta

        def over_gaps(self, delta, now, asked_at):
            has_new = apply_delta(self, delta, now, asked_at)
            member = self.members.get(delta.member)
            if member is not None and member.incarnation == delta.incarnation:
                member.complete_up_to = max(member.complete_up_to, delta.up_to_version)
            return has_new

        for name, instead in (
            ("apply_delta", over_gaps),
            ("observe_incarnation", mutants._all_incarnations),
        ):
            with (
                self.subTest(name),
                mock.patch.object(RecordStore, name, instead),
                self.assertRaises(InvariantViolationError),
            ):
                model_checker.check(5)


class DocumentTest(unittest.TestCase):
    def test_a_quarter_of_a_mebibyte_arrives_in_chunks_through_loss_and_is_verified_whole(self):
        fleet = SmallFleet("a", "b", "c")
        chance = Random(4)
        fleet.lost = lambda sender, taker: chance.random() < 0.2
        whole = Random(1).randbytes(256 << 10)
        digest = fleet.all["a"].keep(whole)
        for name in "bc":
            fleet.all[name].need(digest, "a", 0)
        fleet.play(90)
        self.assertEqual(fleet.all["b"].document(digest), whole)
        self.assertEqual(fleet.all["c"].document(digest), whole)
        self.assertLess(max(fleet.sent.values()), 90 * 24_000)
        with self.assertRaises(ValueError):
            fleet.all["a"].keep(bytes(1 + (256 << 10)))

    def test_a_corrupt_chunk_is_found_and_the_document_is_fetched_from_another(self):
        fleet = SmallFleet("a", "b", "c")
        whole = Random(1).randbytes(5000)
        digest = fleet.all["a"].keep(whole)
        fleet.all["c"].documents[digest] = bytes(5000)  # c tells something else under its digest
        fleet.all["b"].need(digest, "c", 0)
        fleet.play(30)
        self.assertGreaterEqual(fleet.all["b"].counts["document false"], 1)
        self.assertEqual(fleet.all["b"].document(digest), whole)


class LimiterTest(unittest.TestCase):
    def limiter(self, part, now=10 * SECOND, rate=10):
        one = QuotaLimiter("a", 1, {"r": QuotaConfig(rate, part, 10 * SECOND)}, Random(1), 0)
        return one, now

    def test_no_second_wherever_it_begins_holds_more_uses_than_there_are_units(self):
        one, now = self.limiter(4)
        taken = [at for at in range(now, now + 5 * SECOND, 97) if one.try_acquire("r", 1, at)]
        for at in taken:
            self.assertLessEqual(sum(at <= other < at + SECOND for other in taken), 4)
        self.assertGreater(len(taken), 16)
        self.assertFalse(one.try_acquire("r", 5, now + 9 * SECOND))

    def test_a_new_incarnation_uses_nothing_for_as_long_as_its_old_one_may_have_used_before(self):
        one, _ = self.limiter(4)
        self.assertEqual((one.free("r", WINDOW - 1), one.free("r", WINDOW)), (0, 2))

    def test_it_grants_what_it_neither_used_in_the_last_second_nor_wanted_of_late(self):
        one, now = self.limiter(6, 30 * SECOND)
        self.assertTrue(one.try_acquire("r", 4, now))
        one.asked("r", QuotaRequest("b", 3, 1, 9), now + 1)
        [(to, _, lend)] = one.out
        self.assertEqual((to, lend.units, one.free("r", now + 2)), ("b", 2, 0))
        one.asked("r", QuotaRequest("b", 3, 1, 9), now + 3)  # the same again
        self.assertEqual(len(one.out), 1)

    def test_a_stall_between_the_check_and_the_use_longer_than_the_lease_leaves_nothing_of_it_after(self):
        a, b = (QuotaLimiter(name, 1, {"r": QuotaConfig(10, 5, 4 * SECOND)}, Random(1), 0) for name in "ab")
        now = 30 * SECOND
        b.there = ["a"]
        self.assertTrue(b.try_acquire("r", 5, now))
        self.assertFalse(b.try_acquire("r", 2, now))
        [(_, _, want)] = b.out
        a.asked("r", want, now)
        [(_, _, lend)] = a.out
        b.lent("r", lend, now + 1)
        self.assertTrue(b.try_acquire("r", 2, now + 2))
        late = now + 5 * SECOND
        self.assertEqual((b.free("r", late), a.free("r", late)), (5, 3))
        self.assertEqual(a.free("r", late + 2 * SECOND), 5)

    def test_a_member_that_leaves_releases_what_it_holds_and_uses_its_own_to_the_end(self):
        b = QuotaLimiter("b", 1, {"r": QuotaConfig(10, 5, 10 * SECOND)}, Random(1), 0)
        b.there, now = ["a"], 30 * SECOND
        self.assertFalse(b.try_acquire("r", 7, now))
        [(_, _, want)] = b.out
        b.lent("r", Grant("a", 1, "b", 1, want.number, 2, 10 * SECOND), now)
        b.out.clear()
        b.leave(now + 1)
        self.assertEqual(
            ([(to, back.number) for to, _, back in b.out], b.free("r", now + 2)), ([("a", want.number)], 5)
        )

    def test_a_member_isolated_for_a_lease_reports_it_once_and_when_it_is_over(self):
        one, now = self.limiter(4)
        one.there = ["b"]
        one.wake(now)
        one.wake(now + SECOND)
        one.heard_at = now + SECOND
        one.wake(now + SECOND)
        self.assertEqual([note.what for note in one.notes], ["alone", "back"])

    def test_a_limiter_whose_name_another_process_has_too_uses_and_grants_nothing_more(self):
        one, now = self.limiter(6, 30 * SECOND)
        one.close()
        one.asked("r", QuotaRequest("b", 3, 1, 9), now)
        self.assertEqual((one.try_acquire("r", 1, now), one.out), (False, []))

    def test_what_is_invalid_in_a_configurations_quotas_is_reported(self):
        from pathsaddle.config.fleet import equal_part
        from pathsaddle.config.schema import FleetTable
        from pathsaddle.config.validation import InvalidConfigError, validate

        base = {"name": "f", "key": "sixteen bytes or more", "listen": "127.0.0.1:3"}
        validate(FleetTable, {**base, "budgets": {"repeats": 30}, "parts": {"repeats": 12}}, "x")
        for wrong, word in (
            ({"budgets": {"a b": 1}}, '"a b" stands there'),
            ({"budgets": {"a": 0}}, "at least 1"),
            ({"budgets": {"a": 3}, "parts": {"a": 4}}, "at most budgets.a (3)"),
            ({"budgets": {"a": 3}, "parts": {"b": 1}}, "a name of budgets (a)"),
            ({"lease": "1s"}, "write 2s to 10min"),
            ({"budgets": {f"b{n}": 1 for n in range(17)}}, "write 16 budgets at most"),
        ):
            with self.assertRaises(InvalidConfigError) as caught:
                validate(FleetTable, {**base, **wrong}, "x")
            self.assertIn(word, str(caught.exception))
        self.assertEqual([equal_part(10, 4, number) for number in range(4)], [3, 3, 2, 2])


class SpareTest(unittest.TestCase):
    """What a member publishes that it would lend fits into one record."""

    def told(self, length):
        names = [f"{n:02d}".ljust(length, "x") for n in range(16)]
        one = SharedState(
            "a",
            1,
            "f",
            KEY,
            RateLimiter(24_000, 60, 0),
            SECOND,
            {name: QuotaConfig(200, 20 + n, 10 * SECOND) for n, name in enumerate(names)},
            Random(1),
            0,
        )
        one.wake(60 * SECOND)  # long after its start, when all that may be lent is free
        body = one.carry.mine.records[SPARE_TOPIC].body
        self.assertLessEqual(len(body), MAX_RECORD_BYTES)
        return names, msgspec.msgpack.decode(body), one.carry.counts.get("spare untold", 0)

    def test_sixteen_quotas_with_the_longest_names_are_published_as_far_as_a_record_has_room_the_most_first(
        self,
    ):
        names, told, untold = self.told(32)
        self.assertEqual(len(told) + untold, 16)
        self.assertGreaterEqual(len(told), 10)
        self.assertEqual(set(told), set(names[-len(told) :]))
        self.assertEqual(told[names[-1]], 18)  # half of 35

    def test_names_that_fit_are_all_published(self):
        for length in (2, 21):
            names, told, untold = self.told(length)
            self.assertEqual((list(told), untold), (names, 0))


class HardTest(unittest.TestCase):
    """In simulation, by the judge: units at each instant, uses in each second, ages, incarnations."""

    def play(self, plan, *script):
        ground = Ground(plan)
        for second, what in script:
            ground.at(int(second * SECOND), what, ground)
        verdict = judge(ground.run().rows, plan.bytes)
        self.assertEqual(verdict.faults, [])
        return ground, verdict

    def calm(self, members, seed, **more):
        return Plan(members, seed, **{"faults": 0, "kinds": ("cut",), **more})

    @staticmethod
    def kill_of_owners(ground):
        """Each that has lent something just now: killed after sending."""
        for place in ground.places[1:]:
            if place.shared and place.shared.limiter.budgets[BUDGET].state.at(place.clock()).lent:
                ground.kill(place)
                ground.at(ground.now + 1, ground.restart, place, False)

    @staticmethod
    def kill_of_takers(ground):
        for place in ground.places:
            if place.shared and place.shared.limiter.budgets[BUDGET].state.at(place.clock()).held:
                ground.kill(place)
                ground.at(ground.now + 1, ground.restart, place, False)

    def test_a_third_receives_nothing_for_a_minute_and_uses_meanwhile(self):
        def cut(ground):
            ground.cuts[1] = lambda one, other: (one < 2) != (other < 2)

        def whole(ground):
            del ground.cuts[1]

        ground, _ = self.play(self.calm(6, 1, seconds=90, hot=1.0), (10, cut), (70, whole))
        apart = {
            e.more["who"]
            for e in ground.events.rows
            if e.what == "share.spend" and 30 * SECOND < e.at < 70 * SECOND
        }
        self.assertEqual(apart, {f"d{n}" for n in range(6)})

    def test_a_link_is_cut_one_way_while_units_are_lent(self):
        self.play(
            self.calm(4, 2, lease=2.0),
            *(
                (at, lambda ground, n=at: ground.strike("cut one way", ground.places[n % 4], 2 * SECOND))
                for at in range(6, 28, 3)
            ),
        )

    def test_owners_are_killed_after_a_grant_and_takers_before_its_end(self):
        for who in (self.kill_of_owners, self.kill_of_takers):
            ground, _ = self.play(self.calm(5, 3, lease=4.0), *((at, who) for at in range(6, 28, 2)))
            self.assertGreater(sum(e.what == "member.ended" for e in ground.events.rows), 3)

    def test_the_last_member_alive_has_its_part(self):
        def die(ground):
            for place in ground.places[1:]:
                ground.kill(place)

        ground, _ = self.play(self.calm(5, 4, lease=2.0), (10, die))
        self.assertEqual(
            ground.places[0].shared.limiter.budgets[BUDGET].state.usable(ground.places[0].clock()), 20
        )

    def test_two_hundred_members_for_a_quota_of_ten(self):
        ground, _ = self.play(
            self.calm(200, 5, rate=10, hot=0.02, seconds=20, lease=4.0, want=3.0, quiet=True)
        )
        users = {e.more["who"] for e in ground.events.rows if e.what == "share.spend"}
        self.assertTrue(any(int(name[1:]) >= 10 for name in users), users)  # who has no part was lent one

    def test_a_quota_is_lowered_by_configurations_that_differ_for_a_while(self):
        plan = self.calm(6, 6, hot=1.0, others={0: 50, 1: 50, 2: 50})

        def reread(ground):
            for n in (3, 4, 5):
                ground.kill(ground.places[n])
                plan.others[n] = 50
                ground.at(ground.now + 1, ground.restart, ground.places[n], False)

        ground, _ = self.play(plan, (12, reread))
        late = [e for e in ground.events.rows if e.at > 15 * SECOND and e.what == "share.spend"]
        self.assertLessEqual(
            max(
                sum(e.more["units"] for e in late if at <= e.at < at + SECOND)
                for at in range(15 * SECOND, 29 * SECOND, SECOND // 2)
            ),
            50,
        )

    def test_a_partition_flaps_faster_than_any_repair(self):
        def flap(ground):
            if ground.cuts.pop(1, None) is None:
                ground.cuts[1] = lambda one, other: (one < 3) != (other < 3)
            ground.at(ground.now + 3 * SECOND // 10, flap, ground)

        self.play(self.calm(6, 7, lease=2.0), (5, flap))

    def test_a_hundred_join_in_a_second(self):
        ground, verdict = self.play(
            self.calm(5, 8, joiners=100, seconds=24, quiet=True, hot=0.05, bytes=12_000)
        )
        self.assertLessEqual(verdict.most_bytes, 12_000)
        self.assertEqual(len(ground.places[0].shared.carry.peers), 104)

    def test_random_faults_of_all_kinds_break_no_invariant(self):
        """A fleet seeds; five hundred are an experiment (`python -m pathsaddle.emulator.state.smoke
        --seeds`).
        """
        for members, seeds in ((5, range(12)), (20, range(4)), (60, range(1))):
            for seed in seeds:
                with self.subTest(members=members, seed=seed):
                    self.assertEqual(judge(Ground(varied(members, seed)).run().rows).faults, [])

    def test_a_seed_plays_the_same_each_time(self):
        self.assertEqual(Ground(varied(5, 1)).run().digest(), Ground(varied(5, 1)).run().digest())


class MutantTest(unittest.TestCase):
    def test_each_mutant_is_caught_under_its_name(self):
        for name in mutants.MUTANTS:
            with self.subTest(name):
                mutants.caught(name)


if __name__ == "__main__":
    unittest.main()
