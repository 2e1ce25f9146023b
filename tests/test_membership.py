"""Membership: the hard cases in emulated runs, and what no order of datagrams may lead to."""

import unittest
from pathlib import Path
from random import Random

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pathsaddle.emulator import plan as plans
from pathsaddle.emulator import stage
from pathsaddle.emulator.judges.judge import judge
from pathsaddle.emulator.judges.mutants import MEMBER_MUTANTS, mutated
from pathsaddle.fleet import messages
from pathsaddle.fleet.gossip.gossip import Gossip
from pathsaddle.fleet.membership import MAX_MEMBERS, Membership, MembershipOptions, next_incarnation
from pathsaddle.fleet.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    DatagramRejectedError,
    MemberRecord,
    Message,
    MessageKind,
)
from pathsaddle.fleet.rate_limiter import RateLimiter

ROOT = Path(__file__).resolve().parent.parent
SECOND = 10_000
KEY = b"a key of sixteen bytes or more"


def table(seconds=60, dispatchers=7, fleet=None, **faults):
    """A plan of nothing but a fleet; each fault by its kind, with _ for -."""
    rows = [dict(row, kind=kind.rstrip("0123456789").replace("_", "-")) for kind, row in faults.items()]
    return plans.of(
        {
            "name": "story",
            "seconds": seconds,
            "only": "fleet",
            "faults": rows,
            "charter": {
                "zones": ["east", "west"],
                "schemes": [{"name": "any", "semantics": "repeatable", "expiry": "5s"}],
                "fleet": {"beat": "200ms", "patience": "60ms", **(fleet or {})},
            },
            "fleet": {
                "dispatchers": dispatchers,
                "network": {"near": "300us", "far": "4ms"},
                "parts": {"half": ["d0", "d1", "d2"], "most": ["d1", "d2", "d3", "d4", "d5", "d6"]},
            },
        },
        "story",
    )


class Play:
    """One run of a plan, judged."""

    def __init__(self, plan, seed=1):
        self.rows = stage.virtual(plan, seed).events.rows
        self.verdict = judge(plans.charter_of(plan), self.rows)

    def views(self, state, who=None, about=None):
        return [
            row
            for row in self.rows
            if row.what == "view"
            and row.more["state"] == state
            and who in (None, row.more["who"])
            and about in (None, row.more["about"])
        ]


class FleetTest(unittest.TestCase):
    """Every story's views are whole in the end, every bound holds (the judge's `apart`, `believed`, ...)."""

    def play(self, *args, seed=1, **more):
        play = Play(table(*args, **more), seed)
        self.assertEqual([f"{f.at} {f.rule} {f.text}" for f in play.verdict.findings[:5]], [])
        return play

    def test_what_is_cut_one_way_alone_is_asked_for_by_others_and_nobody_is_taken_for_dead(self):
        play = self.play(link_cut={"of": "d1", "among": "d4", "oneway": True, "at": "5s", "for": "20s"})
        self.assertEqual(play.views("dead"), [])

    def test_two_that_do_not_reach_each_other_know_of_each_other_by_the_rest(self):
        play = self.play(link_cut={"of": "d1", "among": "d4", "at": "5s", "for": "20s"})
        self.assertEqual(play.views("dead"), [])

    def test_two_halves_for_a_minute_are_whole_again_after_it(self):
        play = self.play(100, link_cut={"of": "half", "at": "5s", "for": "60s"})
        self.assertTrue(play.views("dead", "d0", "d5"))
        self.assertTrue(play.views("dead", "d5", "d0"))
        self.assertEqual(play.views("dead", "d0", "d1"), [])

    def test_a_member_that_stood_still_for_longer_than_any_wait_goes_on_and_is_taken_back_accusing_nobody(
        self,
    ):
        play = self.play(70, stall={"of": "d3", "at": "5s", "for": "30s"})
        self.assertTrue(play.views("dead", about="d3"))
        self.assertEqual(play.views("dead", who="d3"), [])

    def test_a_process_killed_and_back_at_once_is_another_incarnation(self):
        play = self.play(40, kill={"of": "d2", "at": "5s", "for": "100ms"})
        incarnations = {row.more["life"] for row in play.views("alive", "d5", "d2")}
        self.assertEqual(len(incarnations), 2)
        self.assertEqual(play.verdict.fleet["false"], 0)

    def test_a_clock_stepped_back_by_an_hour_on_an_empty_disk_is_refuted_and_comes_back_above(self):
        play = self.play(
            50,
            clock_step={"of": "d2", "how": "back", "strength": 3600, "at": "4s"},
            kill={"of": "d2", "how": "empty", "at": "5s", "for": "1s"},
        )
        own = [
            row.more["life"] for row in play.views("alive", "d2", "d2") if "refuted" not in row.more["why"]
        ]
        self.assertLess(own[1], own[0])
        self.assertGreater(own[2], own[0])

    def test_all_started_at_once_with_all_seeds_down_meet_when_one_is_up(self):
        play = self.play(60, fleet={"seeds": ["10.3.0.0:7100"]}, kill={"of": "d0", "at": "1ms", "for": "15s"})
        met = [row.at for row in play.views("alive", "d5", "d6")]
        self.assertGreater(met[0], 15 * SECOND)

    def test_a_minute_in_which_a_third_is_lost_takes_nobody_for_dead_for_long(self):
        self.play(100, link_lossy={"of": "*", "among": "*", "strength": 0.3, "at": "5s", "for": "60s"})

    def test_one_that_hears_nothing_accuses_and_shuts_out_nobody_else(self):
        play = self.play(70, link_cut={"of": "most", "among": "d0", "oneway": True, "at": "5s", "for": "25s"})
        self.assertEqual(
            [row for row in play.views("dead") if row.more["who"] != "d0" and row.more["about"] != "d0"], []
        )

    def test_one_that_hears_but_is_not_heard_knows_all_others_and_is_back_after_it(self):
        play = self.play(70, link_cut={"of": "d0", "among": "most", "oneway": True, "at": "5s", "for": "25s"})
        self.assertEqual(
            [row for row in play.views("dead") if row.more["who"] != "d0" and row.more["about"] != "d0"], []
        )

    def test_one_who_leaves_is_known_to_have_left_at_once_and_is_not_called_dead(self):
        play = self.play(40, term={"of": "d3", "at": "5s", "for": "25s"})
        told = [row.at for row in play.views("left", about="d3") if row.more["who"] != "d3"]
        self.assertEqual(len(told), 6)
        self.assertLess(max(told), 7 * SECOND)
        self.assertEqual(play.views("dead", about="d3"), [])

    def test_the_same_seed_is_the_same_run_to_the_byte(self):
        plan = table(20, kill={"rate": 12, "for": "1s"}, stall={"rate": 12, "for": "1s"})
        self.assertEqual(stage.virtual(plan, 3).digest, stage.virtual(plan, 3).digest)

    def test_each_mutant_is_caught_and_named_and_the_program_is_clean(self):
        plan = plans.read(ROOT / "experiments/fleet-mutants.toml")
        self.assertEqual(Play(plan).verdict.broken(), {})
        for name, (_, rules) in MEMBER_MUTANTS.items():
            with self.subTest(name), mutated(name):
                broken = Play(plan).verdict.broken()
                self.assertTrue([rule for rule in rules if rule in broken], broken)


def member(name, incarnation=0, seed=0, now=0, **options):
    record = MemberRecord(
        name, incarnation or next_incarnation(1000, 0, Random(seed)), 0, ALIVE, f"10.0.0.1:{name}", "here"
    )
    return Membership(record, MembershipOptions("f", KEY, **options), [], Random(seed), now)


class Between:
    """Cores and what they send one another, by address, without loss."""

    def __init__(self, *cores):
        self.at = {core.me.address: core for core in cores}
        self.now = 0

    def run(self, ticks):
        end = self.now + ticks
        while self.now < end:
            for core in list(self.at.values()):
                if core.next_wake_at <= self.now:
                    core.wake(self.now)
            for _ in range(50):
                sent = [one for core in self.at.values() for one in core.sender.out]
                for core in self.at.values():
                    core.sender.out = []
                for address, data in sent:
                    if address in self.at:
                        self.at[address].on_datagram(data, self.now)
            self.now += 100


class CoreTest(unittest.TestCase):
    def meet(self, *cores):
        for one in cores:
            for other in cores:
                if one is not other:
                    one.learn(other.me, 0, "told")
        return Between(*cores)

    def test_of_two_processes_under_one_name_one_falls_silent_and_the_other_stays(self):
        old, new, third = member("a", 5 << 10, 1), member("a", 6 << 10, 2), member("c", seed=3)
        new.table.me = MemberRecord("a", new.me.incarnation, 0, ALIVE, "10.0.0.9:a", "here")
        between = self.meet(old, third)
        between.run(5 * SECOND)
        between.at["10.0.0.9:a"] = new
        new.learn(third.me, between.now, "told")
        new.next_wake_at = between.now
        between.run(20 * SECOND)
        self.assertEqual((old.is_silent, new.is_silent), (True, False))
        self.assertEqual(third.members["a"].record.address, "10.0.0.9:a")

    def test_two_that_changed_places_are_found_where_they_are(self):
        a, b, c = member("a"), member("b", seed=1), member("c", seed=2)
        between = self.meet(a, b, c)
        between.run(5 * SECOND)
        again = [
            member("a", a.me.incarnation + 1024, 3, between.now),
            member("b", b.me.incarnation + 1024, 4, between.now),
        ]
        for core, address in zip(again, (b.me.address, a.me.address), strict=True):
            core.table.me = MemberRecord(core.me.name, core.me.incarnation, 0, ALIVE, address, "here")
            core.anti_entropy.seeds = [c.me.address]
            between.at[address] = core
        between.run(20 * SECOND)
        self.assertEqual([c.members[name].record.address for name in "ab"], [b.me.address, a.me.address])
        self.assertTrue(
            all(c.seen_within(core.me.name, core.me.incarnation, 5 * SECOND, between.now) for core in again)
        )

    def test_a_rejected_datagram_is_counted_by_its_reason_and_changes_nothing(self):
        core = member("a")
        other = member("b", seed=1)
        message = Message("f", other.me, 1, "a", MessageKind.PROBE, 7)
        good = messages.encode(message, KEY)
        newer = bytes((messages.FORM + 1,)) + good[1:-16]
        newer += messages.hmac.digest(KEY, newer, "sha256")[:16]
        cases = {
            "cut": good[:10],
            "stranger": messages.encode(message, b"another key, as long as it"),
            "newer": newer,
            "fleet": messages.encode(Message("g", other.me, 1, "a", MessageKind.PROBE), KEY),
            "misdirected": messages.encode(Message("f", other.me, 1, "z", MessageKind.PROBE), KEY),
        }
        for reason, data in cases.items():
            core.on_datagram(data, 1)
            self.assertEqual(core.counters.get(f"refused {reason}"), 1, reason)
        self.assertEqual((core.members, core.sender.out), ({}, []))
        core.on_datagram(good, 1)
        self.assertEqual(len(core.sender.out), 1)
        core.on_datagram(good, 2)
        core.on_datagram(good, 2)
        self.assertEqual(core.counters["refused repeated"], 1 + (len(core.sender.out) == 1))

    def test_an_answer_from_long_ago_makes_nobody_seen(self):
        a, b = member("a"), member("b", seed=1)
        between = self.meet(a, b)
        between.run(3 * SECOND)
        incarnation = b.me.incarnation
        self.assertTrue(a.seen_within("b", incarnation, 2 * SECOND, between.now))
        kept = [
            (address, data)
            for address, data in [
                (a.me.address, messages.encode(Message("f", b.me, 1 << 40, "a", MessageKind.ACK, 1), KEY))
            ]
        ]
        del between.at[b.me.address]
        heard = a.members["b"].seen_at
        between.run(5 * SECOND)
        a.on_datagram(kept[0][1], between.now)
        self.assertEqual(a.members["b"].seen_at, heard)
        self.assertFalse(a.seen_within("b", incarnation, 4 * SECOND, between.now))
        self.assertFalse(a.seen_within("b", incarnation + 1, 100 * SECOND, between.now))

    def test_each_further_accuser_is_disseminated_as_one_and_shortens_the_suspicion(self):
        core, others = member("a"), [member(name, seed=ord(name)) for name in "bcdef"]
        self.meet(core, *others)
        until, told = [], []
        for by in "bcd":
            core.learn(
                MemberRecord("f", others[4].me.incarnation, 0, SUSPECT, others[4].me.address, "here", by=by),
                10,
                by,
            )
            until.append(core.members["f"].suspicion_ends_at)
            told.append(core.members["f"].record.by)
        self.assertEqual(told, ["b", "c", "d"])
        self.assertTrue(until[0] > until[1] > until[2])
        core.learn(
            MemberRecord("f", others[4].me.incarnation, 0, SUSPECT, others[4].me.address, "here", by="b"),
            20,
            "b",
        )
        self.assertEqual(core.members["f"].suspicion_ends_at, until[2])

    def test_a_helper_without_an_answer_sends_a_nack_before_the_requesters_probe_ends(self):
        core, asker, gone = member("a"), member("b", seed=1), member("c", seed=2)
        self.meet(core, asker, gone)
        asked = messages.encode(Message("f", asker.me, 1, "a", MessageKind.INDIRECT_PROBE, 7, "c"), KEY)
        core.wake(0)
        core.on_datagram(asked, 50)
        self.assertLessEqual(core.due(50), 50 + core.options.probe_timeout)
        core.sender.out = []
        core.wake(50 + core.options.probe_timeout)
        self.assertIn(MessageKind.NACK, [messages.decode(data, KEY, "f").kind for _, data in core.sender.out])

    def test_a_member_that_nobody_answers_keeps_its_suspicions_local(self):
        a, others = member("a"), [member(name, seed=ord(name)) for name in "bcde"]
        between = self.meet(a, *others)
        between.run(3 * SECOND)
        for core in others:
            del between.at[core.me.address]
        sent = []
        for _ in range(600):
            between.now += 1000
            a.wake(between.now) if a.next_wake_at <= between.now else None
            sent += [row for _, data in a.sender.out for row in messages.decode(data, KEY, "f").records]
            a.sender.out = []
        self.assertEqual(a.is_alone(), True)
        self.assertLessEqual(len({row.name for row in sent if row.state in (SUSPECT, DEAD)}), 2)
        between.at = {core.me.address: core for core in (a, *others)}
        for core in others:
            core.next_wake_at = between.now
        between.run(60 * SECOND)
        self.assertEqual({m.record.state for m in a.members.values()}, {ALIVE})

    def test_an_accusation_is_disseminated_also_when_gossip_has_used_all_that_it_may(self):
        """25 members that told of their load twice a second: two in three of membership's datagrams went without
        news, nobody heard a second accuser, and a death was known after 27 s instead of 10.
        """
        for most in (12_000, 13_000, 24_000):
            with self.subTest(bytes=most):
                core, others = (
                    member("a", most_bytes=most),
                    [member(name, seed=ord(name)) for name in "bcdef"],
                )
                self.meet(core, *others)
                core.dissemination.pending.clear()
                gossip = Gossip("a", core.me.incarnation, "f", KEY, core.rate_limiter, SECOND, Random(1), 0)
                for one in others:
                    gossip.on_member_joined(one.me.name, one.me.incarnation, one.me.address)
                sent = -1
                while len(gossip.out) > sent:
                    sent = len(gossip.out)
                    for n in range(8):
                        gossip.put(f"t{n}", bytes([sent % 256]) * 300, 0)
                    gossip.anti_entropy.due = gossip.dissemination.due = 0
                    gossip.wake(0)
                self.assertGreater(gossip.counts["held back"], 0)
                core.learn(
                    MemberRecord(
                        "f", others[4].me.incarnation, 0, SUSPECT, others[4].me.address, "here", by="b"
                    ),
                    0,
                    "b",
                )
                core.detector.next_probe_at = 0
                core.wake(0)
                told = [
                    row.name for _, data in core.sender.out for row in messages.decode(data, KEY, "f").records
                ]
                self.assertIn("f", told)

    def test_the_dead_are_remembered_up_to_a_bound_and_a_name_that_comes_and_goes_takes_one_place(self):
        core = member("a", most_dead=8)
        for i in range(30):
            core.learn(MemberRecord(f"x{i}", 5, 0, ALIVE, "10.0.0.2:1", ""), i, "b")
            core.learn(MemberRecord(f"x{i}", 5, 0, DEAD, "10.0.0.2:1", ""), i, "b")
            core.wake(i * SECOND)
        for incarnation in range(200):
            core.learn(MemberRecord("comes", incarnation, 0, ALIVE, "10.0.0.2:2", ""), 300_000, "b")
            core.learn(MemberRecord("comes", incarnation, 0, LEFT, "10.0.0.2:2", ""), 300_000, "b")
        self.assertLessEqual(sum(not m.is_present for m in core.members.values()), 8)

    def test_no_second_holds_more_than_the_rate_limiter_allows(self):
        rng, rate_limiter, paid = Random(5), RateLimiter(6000, 20, 0), []
        for now in sorted(rng.randrange(10 * SECOND) for _ in range(4000)):
            if rate_limiter.try_consume(size := rng.randrange(60, 1200), now):
                paid.append((now, size))
        for now, _ in paid:
            inside = [size for at, size in paid if now <= at < now + SECOND]
            self.assertLessEqual(sum(inside), 6000)
            self.assertLessEqual(len(inside), 20)


NAMES = [f"m{i}" for i in range(5)]
RECORDS = st.builds(
    MemberRecord,
    st.sampled_from([*NAMES, "x", "y"]),
    st.integers(0, 4000),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from([f"10.0.0.1:{name}" for name in NAMES] + ["nowhere"]),
    st.just("here"),
)
STEPS = st.one_of(
    st.tuples(st.just("wake"), st.integers(0, 4), st.integers(0, 3 * SECOND)),
    st.tuples(st.just("carry"), st.integers(0, 10**6), st.integers(1, 3)),
    st.tuples(st.just("drop"), st.integers(0, 10**6), st.just(0)),
    st.tuples(
        st.just("says"),
        st.integers(0, 4),
        st.builds(
            Message,
            st.just("f"),
            RECORDS,
            st.integers(0, 200),
            st.sampled_from([*NAMES, ""]),
            st.integers(-1, 8),
            st.integers(0, 5),
            st.sampled_from(NAMES),
            st.sampled_from(["", "m2"]),
            st.sampled_from(["", "m3"]),
            st.lists(st.tuples(st.sampled_from(NAMES), st.integers(0, 9), st.integers(-9, 99)), max_size=3),
            st.lists(RECORDS, max_size=5),
        ),
    ),
    st.tuples(st.just("noise"), st.integers(0, 4), st.binary(max_size=1300)),
    st.tuples(st.just("leave"), st.integers(0, 4), st.just(0)),
)


class AnyOrderTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
    @given(st.lists(STEPS, max_size=60))
    def test_any_order_and_number_of_any_datagrams_leaves_a_member_valid_and_bounded(self, steps):
        now = 0
        cores = [member(name, 1024 * (i + 1), i) for i, name in enumerate(NAMES)]
        by_address = {core.me.address: core for core in cores}
        for core in cores[1:]:
            core.anti_entropy.seeds = [cores[0].me.address]
        air = []
        for what, which, more in steps:
            if what == "wake":
                now += more
                self.assertGreater(cores[which].wake(now), now)
            elif what == "carry" and air:
                address, data = air[which % len(air)]
                for _ in range(more):
                    if address in by_address:
                        by_address[address].on_datagram(data, now)
            elif what == "drop" and air:
                air.pop(which % len(air))
            elif what == "says":
                cores[which].on_datagram(messages.encode(more, KEY), now)
            elif what == "noise":
                cores[which].on_datagram(more, now)
            elif what == "leave":
                cores[which].leave(now)
            for core in cores:
                self.valid(core, now)
                air += core.sender.out
                core.sender.out, core.table.changes = [], []

    def valid(self, core, now):
        self.assertTrue(all(len(data) <= messages.MAX_DATAGRAM_BYTES for _, data in core.sender.out))
        for _, data in core.sender.out:
            messages.decode(data, KEY, "f")
        self.assertLess(len(core.members), MAX_MEMBERS)
        self.assertNotIn(core.me.name, core.members)
        self.assertLessEqual(set(core.dissemination.pending), set(core.members))
        self.assertLessEqual({m.record.name for m in core.suspicions.accused.values()}, set(core.members))
        self.assertTrue(
            all(
                m.suspicion_ends_at < 1 << 60 and m.record.state == SUSPECT
                for m in core.suspicions.accused.values()
            )
        )
        self.assertTrue(all(max(m.seen_at, m.seen_by_others_at) <= now for m in core.members.values()))
        self.assertEqual(core.size(), 1 + sum(m.is_present for m in core.members.values()))
        self.assertLessEqual(len(core.detector.indirect_probes), 256)
        self.assertIn(core.health, range(9))


class RejectionTest(unittest.TestCase):
    def test_no_bytes_but_a_peers_are_decoded(self):
        rng = Random(9)
        good = messages.encode(
            Message("f", MemberRecord("b", 1, 0, ALIVE, "h:1", "z"), 1, "a", MessageKind.PROBE), KEY
        )
        for _ in range(500):
            bad = bytearray(good)
            bad[rng.randrange(len(bad))] ^= 1 << rng.randrange(8)
            with self.assertRaises(DatagramRejectedError):
                messages.decode(bytes(bad), KEY, "f")
