"""One owner at a time: what the register, its leases and its voters go through,
and who would be found doing it wrong.
"""

import asyncio
import errno
import shutil
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from pathsaddle.consensus import model_checker
from pathsaddle.consensus.acceptor import Acceptor, DiskWrite
from pathsaddle.consensus.acceptor_log import LARGE, NAME, AcceptorLog, create_log
from pathsaddle.consensus.errors import VoterSetMismatchError
from pathsaddle.consensus.fencing import Fence
from pathsaddle.consensus.lease_manager import LeaseManager
from pathsaddle.consensus.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_VALUE_BYTES,
    NO_BALLOT,
    NO_VALUE,
    Accept,
    Ballot,
    DatagramRejectedError,
    Envelope,
    Promise,
    Value,
    decode,
    group_checksum,
    pack_datagrams,
)
from pathsaddle.consensus.model_checker import CheckerOptions, InvariantViolationError
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver
from pathsaddle.emulator.events import Event
from pathsaddle.emulator.ownership import linear
from pathsaddle.emulator.ownership.faults import troubled
from pathsaddle.emulator.ownership.ground import Disk, Ground
from pathsaddle.emulator.ownership.judge import judge
from pathsaddle.emulator.ownership.mutants import ByArrival, Reuses, mutant
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Ground as Machine
from pathsaddle.trade import SECOND


def owner_of(ground, key="k0"):
    return next(
        (
            name
            for name, host in ground.hosts.items()
            if name[0] == "m" and host.up and host.owner.fencing_token(key, host.now())
        ),
        "",
    )


class GroundStory(unittest.TestCase):
    def holds(self, ground):
        verdict = judge(ground.events.rows)
        self.assertEqual(verdict.findings, [])
        self.assertEqual(linear.check(ground.events.rows), {})
        return verdict

    def begun(self, **more):
        ground = Ground(more.pop("seed", 1), **more)
        ground.run(3 * SECOND)
        first = owner_of(ground)
        self.assertTrue(first)
        return ground, first

    def test_under_random_trouble_no_instant_has_two_owners_and_calm_has_one(self):
        refused = 0
        for seed, members, voters in (
            *((seed, 5, 3) for seed in range(16)),
            (16, 5, 5),
            (17, 5, 5),
            (18, 40, 3),
        ):
            with self.subTest(seed=seed, members=members):
                ground = troubled(seed, members, voters=voters, keys=1 + seed % 2)
                refused += self.holds(ground).refused
                self.assertTrue(all(owner_of(ground, key) for key in ground.keys))
        self.assertGreater(refused, 10)

    def test_each_mutant_is_found_under_its_name(self):
        for name, seed, finding in MUTANTS:
            with self.subTest(mutant=name), mutant(name):
                names = [one for one, _ in judge(troubled(seed).events.rows).findings]
                self.assertIn(finding, names)

    def test_an_owner_stopped_between_its_look_and_its_effect_harms_nobody(self):
        ground, first = self.begun()
        host = ground.hosts[first]
        while not (ground.events.rows[-1].what == "act" and ground.events.rows[-1].more["who"] == first):
            ground.run(ground.at + 1)
        host.stood = ground.at + 5 * SECOND
        ground.run(ground.at + 8 * SECOND)
        verdict = self.holds(ground)
        self.assertEqual(verdict.refused, 2)  # at each of the two stores
        self.assertNotIn(owner_of(ground), ("", first))

    def test_an_owner_cut_off_from_all_voters_but_not_from_the_place_of_effect_stops_by_itself(self):
        for oneway in (False, True):
            ground, first = self.begun()
            for voter in ground.voters:
                ground.cuts[first, voter] = None
                if not oneway:
                    ground.cuts[voter, first] = None
            ground.run(ground.at + 4 * SECOND)
            self.assertNotIn(owner_of(ground), ("", first))
            self.assertEqual(self.holds(ground).refused, 0)

    def test_voters_split_two_and_one_go_on_and_one_and_one_and_one_stop_all_for_a_minute(self):
        ground, _ = self.begun()
        for voter in ground.voters[1:]:
            ground.cuts[ground.voters[0], voter] = ground.cuts[voter, ground.voters[0]] = None
        for member in ("m0", "m1"):  # on the side of the one
            for voter in ground.voters[1:]:
                ground.cuts[member, voter] = ground.cuts[voter, member] = None
        ground.run(ground.at + 60 * SECOND)
        self.assertIn(owner_of(ground), ("m2", "m3", "m4"))
        for i in range(5):
            for j, voter in enumerate(ground.voters):
                if i % 3 != j:
                    ground.cuts[f"m{i}", voter] = None
        ground.run(ground.at + 60 * SECOND)
        self.assertEqual(owner_of(ground), "")
        ground.cuts.clear()
        ground.run(ground.at + 3 * SECOND)
        self.assertTrue(owner_of(ground))
        self.holds(ground)

    def test_all_voters_killed_at_once_the_owner_stays_owner(self):
        ground, first = self.begun()
        for voter in ground.voters:
            ground.hosts[voter].kill()
            ground.hosts[voter].begin()
        ground.run(ground.at + 5 * SECOND)
        self.assertEqual(owner_of(ground), first)
        self.holds(ground)

    def test_answers_doubled_and_late_by_minutes_bring_nothing_back(self):
        ground, _ = self.begun(members=3)
        ground.doubled, ground.late = 0.3, 0.3
        for _ in range(12):
            host = ground.hosts[owner_of(ground) or "m0"]
            host.stood = ground.at + 2 * SECOND
            ground.run(ground.at + 10 * SECOND)
        self.assertGreater(self.holds(ground).owners, 8)

    def test_a_lost_disk_is_let_in_by_two_and_two_lost_disks_stop_all_rather_than_begin_numbers_anew(self):
        ground, _ = self.begun()
        one, other = ground.hosts["v0"], ground.hosts["v1"]

        def loses(host):
            host.kill()
            host.disk = Disk(whole=False)
            host.begin()

        loses(one)
        ground.run(ground.at + 2 * SECOND)
        self.assertTrue(one.voter.part and one.disk.whole)
        self.assertEqual(one.disk.rows["k0"][2].number, ground.hosts["v2"].disk.rows["k0"][2].number)
        loses(one)
        loses(other)
        ground.run(ground.at + 30 * SECOND)
        self.assertFalse(one.voter.part or other.voter.part)
        self.assertEqual(owner_of(ground), "")
        self.holds(ground)

    def test_a_disk_put_back_from_before_its_last_start_is_known_by_the_others_numbers(self):
        ground, _ = self.begun()
        host = ground.hosts["v0"]
        copy = host.disk.copy()
        host.kill()
        host.begin()
        ground.run(ground.at + 3 * SECOND)
        before = host.voter.start
        host.kill()
        host.disk = copy  # whole by all that it can see itself; its clock stands before its last start
        with mock.patch.object(ground, "at", copy.start):
            host.begin()
        self.assertTrue(host.voter.whole and host.voter.start < before)
        ground.run(ground.at + SECOND)
        self.assertGreater(host.voter.start, before)
        self.assertTrue(host.voter.part)
        self.holds(ground)

    def test_a_voters_disk_full_or_seconds_slow_leaves_the_others_to_go_on(self):
        ground, first = self.begun()
        ground.hosts["v0"].disk.full = True
        ground.hosts["v1"].disk.delay = 0
        ground.run(ground.at + 5 * SECOND)
        ground.hosts["v0"].disk.full, ground.hosts["v0"].disk.delay = False, 3 * SECOND
        ground.run(ground.at + 20 * SECOND)
        self.assertEqual(owner_of(ground), first)
        self.holds(ground)

    def test_two_candidates_that_outbid_each_other_come_to_an_end(self):
        for seed in range(20):
            ground = Ground(seed, members=2)
            ground.slow = 1000  # ballots last longer than what they wait at first
            ground.run(10 * SECOND)
            self.assertTrue(owner_of(ground), seed)
            self.holds(ground)

    def test_given_back_at_sigterm_the_next_has_it_in_a_tenth_of_the_lease(self):
        ground, first = self.begun(lease=10 * SECOND)
        begun = ground.at
        ground.hosts[first].terminate()
        while not owner_of(ground):
            ground.run(ground.at + 10)
            self.assertLess(ground.at - begun, SECOND)
        self.holds(ground)

    def test_where_a_key_is_wanted_comes_first_and_nobody_who_lives_is_turned_out(self):
        for seed in range(10):
            ground = Ground(seed, members=4, unpreferred=3)
            ground.run(2 * SECOND)
            self.assertEqual(owner_of(ground), "m3")
            ground.hosts["m3"].kill()
            ground.run(ground.at + 4 * SECOND)
            other = owner_of(ground)
            ground.hosts["m3"].begin()
            ground.run(ground.at + 10 * SECOND)
            self.assertEqual(owner_of(ground), other)

    def test_a_thousand_keys_whose_owner_dies_have_others_soon(self):
        ground = Ground(3, members=1, keys=1000, pause=0, lease=3 * SECOND)
        ground.run(5 * SECOND)
        host = ground.hosts["m0"]
        self.assertEqual(len(host.owner.owned(host.now())), 1000)
        sent, syncs = ground.sent, ground.syncs
        ground.run(ground.at + 10 * SECOND)
        self.assertLess(ground.syncs - syncs, 5, "renewals sync nothing")
        self.assertLess(ground.sent - sent, 1000 * 6 * 13)
        host.kill()
        host.begin()
        ground.run(ground.at + 8 * SECOND)
        self.assertEqual(len(host.owner.owned(host.now())), 1000)
        self.assertEqual(judge(ground.events.rows).findings, [])

    def test_a_history_that_is_none_is_found_and_one_that_only_looks_so_is_not(self):
        def call(at, op, kind, **more):
            return Event(at, "reg.call", {"who": op[0], "op": op, "key": "k", "kind": kind, **more})

        def end(at, op, number, owner, revision=0, value=None, outcome="ok"):
            return Event(
                at,
                "reg.end",
                {
                    "who": op[0],
                    "op": op,
                    "outcome": outcome,
                    "number": number,
                    "owner": owner,
                    "revision": revision,
                    "value": value,
                },
            )

        lost = [
            call(1, "a1", "take"),
            end(2, "a1", 1, "a"),
            call(3, "a2", "set", number=1, revision=0, value="x"),
            end(4, "a2", 1, "a", 1, "x"),
            call(5, "b1", "read"),
            end(6, "b1", 1, "a"),
        ]
        self.assertIn("k", linear.check(lost))
        twice = [call(1, "a1", "take"), end(2, "a1", 1, "a"), call(3, "b1", "take"), end(4, "b1", 1, "b")]
        self.assertIn("k", linear.check(twice))
        # The set's end was never heard; it took place all the same,
        # after a later call had seen nothing of it.
        late = [
            call(1, "a1", "take"),
            end(2, "a1", 1, "a"),
            call(3, "a2", "set", number=1, revision=0, value="x"),
            call(4, "b1", "read"),
            end(5, "b1", 1, "a"),
            call(6, "b2", "read"),
            end(7, "b2", 1, "a", 1, "x"),
        ]
        self.assertEqual(linear.check(late), {})


MUTANTS = (
    ("answers-before-sync", 11, "number-twice"),
    ("lease-from-answer", 28, "leases-overlap"),
    ("number-unchecked", 0, "effect-two-owners"),
    ("number-reused", 0, "number-twice"),
    ("gives-before-stopping", 3, "leases-overlap"),
    ("holds-forgotten", 3, "leases-overlap"),
    ("lost-disk-trusted", 22, "number-twice"),
)


class ModelStory(unittest.TestCase):
    def test_in_every_order_of_events_to_the_stated_depth_the_bounds_hold(self):
        for name, depth, ways, first in (
            ("from nothing", 6, CheckerOptions(), None),
            ("from an owner", 6, CheckerOptions(), model_checker.owned(CheckerOptions())),
            (
                "given back, begun anew",
                5,
                CheckerOptions(gives=1, ends=1, kills=0),
                model_checker.owned(CheckerOptions(gives=1, ends=1, kills=0)),
            ),
            ("a disk lost", 4, CheckerOptions(losses=1), model_checker.owned(CheckerOptions(losses=1))),
        ):
            with self.subTest(name):
                worlds = model_checker.check(depth, ways, first)
                print(f"ownership, {name}: {worlds} worlds to depth {depth}")
                self.assertGreater(worlds, 2000)

    def test_what_is_wrong_is_found_by_the_model_too(self):
        with self.assertRaisesRegex(InvariantViolationError, "a number twice"):
            ways = CheckerOptions(hasty=True, kills=2, moments=0, renewals=0, ballots=2)
            model_checker.check(
                5, ways, self.through(ways, model_checker.Proposer, "v0 is killed", "v1 is killed")
            )
        late = CheckerOptions(kills=0, renewals=0)
        with self.assertRaisesRegex(InvariantViolationError, "two may act"):
            # One voter's answer is there; a moment later the other's counts from its arrival.
            self.slowly(late, ByArrival)
        self.slowly(late, model_checker.Proposer)
        ways = CheckerOptions(kills=0, renewals=0, ends=1)
        with self.assertRaisesRegex(InvariantViolationError, "a number twice"):
            model_checker.check(
                5,
                ways,
                self.through(ways, Reuses, "c0 begins anew", "a moment", "a moment", "a moment"),
                Reuses,
            )

    def slowly(self, ways, bid):
        """The answers to an accepted ballot come a moment later than they were said; from there on,
        all orders.
        """
        world = model_checker.start(ways, bid)
        after, out = world.bids[0].begin(0)
        world = model_checker._bid(world, 0, after, out)
        for word in (
            "c0>v0 Prepare",
            "c0>v1 Prepare",
            "v0>c0 Promise",
            "v1>c0 Promise",
            "c0>v0 Accept",
            "c0>v1 Accept",
            "a moment",
            "v0>c0 Accepted",
            "v1>c0 Accepted",
            "a moment",
            "c1 bids",
            "c1>v0 Prepare 2 and back",
            "c1>v1 Prepare 2 and back",
            "c1>v0 Accept 2 and back",
            "c1>v1 Accept 2 and back",
        ):
            world = next(
                (after for name, after in model_checker.steps(world, ways) if name.startswith(word)), world
            )
            if model_checker.broken(world):
                raise InvariantViolationError(model_checker.broken(world))
        model_checker.check(3, ways, world, bid)

    def through(self, ways, bid, *words):
        """An owner, and what happened then."""
        world = model_checker.owned(ways, bid)
        for word in words:
            world = next(after for name, after in model_checker.steps(world, ways) if name == word)
        return world


class DiskStory(unittest.TestCase):
    VOTERS = ("a", "b", "c")
    KEPT = (Ballot(2, "m", 7), Ballot(1, "m", 7), Value("m", 7, 3, 1000, 1, b"x" * 100))

    def setUp(self):
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        self.folder = Path(held.name)
        create_log(self.folder, "a", self.VOTERS)

    def opened(self):
        log = AcceptorLog(self.folder, "a", self.VOTERS)
        self.addCleanup(log.close)
        return log

    def test_what_was_synced_is_there_whole(self):
        log = self.opened()
        self.assertTrue(log.held.whole)
        log.append(
            [
                DiskWrite("k", self.KEPT),
                DiskWrite(voter="b", start=9),
                DiskWrite(voter="a", start=5, whole=True),
            ]
        )
        held = self.opened().held
        self.assertEqual(
            (held.rows, held.starts, held.start, held.whole), ({"k": self.KEPT}, {"b": 9}, 5, True)
        )

    def test_torn_anywhere_cut_empty_gone_or_a_copy_it_is_not_whole(self):
        log = self.opened()
        log.append([DiskWrite("k", self.KEPT), DiskWrite(voter="a", start=5, whole=True)])
        path = self.folder / NAME
        good = path.read_bytes()

        def spoilt(data):
            path.write_bytes(data)  # in place: the same inode
            held = self.opened().held
            self.assertFalse(held.whole)
            self.assertFalse(self.opened().held.whole, "nor the next time")

        for at in range(3, len(good), 11):
            path.write_bytes(good)
            spoilt(good[:at])
            spoilt(good[:at] + bytes((good[at] ^ 1,)) + good[at + 1 :])
        spoilt(b"")
        path.write_bytes(good)
        path.unlink()
        self.assertFalse(self.opened().held.whole)
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        create_log(self.folder, "a", self.VOTERS)
        copy = path.read_bytes()
        path.unlink()  # the next file may get its inode again
        path.write_bytes(copy)
        self.assertIn("copy", self.opened().held.why)

    def test_a_write_that_failed_leaves_what_was_there(self):
        log = self.opened()
        log.append([DiskWrite(voter="a", start=5, whole=True)])
        with (
            mock.patch("os.fdatasync", side_effect=OSError(errno.ENOSPC, "full")),
            self.assertRaises(OSError),
        ):
            log.append([DiskWrite("k", self.KEPT)])
        held = self.opened().held
        self.assertEqual((held.rows, held.whole, held.start), ({}, True, 5))

    def test_it_stays_small(self):
        log = self.opened()
        with mock.patch("os.fdatasync"):
            for i in range(2 * LARGE // 100):
                log.append([DiskWrite("k", (Ballot(i, "m", 7), *self.KEPT[1:]))])
        self.assertLess((self.folder / NAME).stat().st_size, LARGE + 1000)
        self.assertEqual(self.opened().held.rows["k"][0].round, i)

    def test_other_voters_are_refused(self):
        with self.assertRaises(VoterSetMismatchError) as caught:
            AcceptorLog(self.folder, "a", ("a", "b", "d"))
        self.assertIn("fleet.owners.voters", caught.exception.do)


class SmallStory(unittest.TestCase):
    def test_the_place_of_effect_refuses_lower_numbers_and_says_what_to_sync(self):
        fence = Fence(lasting=True)
        self.assertEqual(fence.look("k", 3).sync, ("k", 3))
        self.assertEqual((fence.look("k", 3).let_in, fence.look("k", 3).sync), (True, None))
        self.assertFalse(fence.look("k", 2).let_in)
        self.assertFalse(fence.look("j", 0).let_in)
        self.assertEqual(fence.refused, {"k": 1, "j": 1})

    def test_the_longest_value_fits_a_datagram_and_a_strangers_is_not_read(self):
        name = "n" * 64
        value = Value(name, 1 << 61, 1 << 40, 30_000, 1 << 40, bytes(MAX_VALUE_BYTES))
        ballot = Ballot(1 << 30, name, 1 << 61)
        said = Envelope("fleet", group_checksum("abc"), "a", "m", 1 << 61, [1 << 61] * 5, [])
        messages = [Promise("k" * 64, ballot, ballot, value), Accept("k" * 64, ballot, value, 1 << 30)]
        whole = list(pack_datagrams(said, messages, b"key"))
        self.assertTrue(all(len(data) <= MAX_DATAGRAM_BYTES for data in whole), [len(data) for data in whole])
        told = [m for data in whole for m in decode(data, b"key", "fleet", said.group, "m").messages]
        self.assertEqual(told, messages)
        for wrong in (
            (b"kez", "fleet", said.group, "m"),
            (b"key", "other", said.group, "m"),
            (b"key", "fleet", 1, "m"),
            (b"key", "fleet", said.group, "n"),
        ):
            with self.assertRaises(DatagramRejectedError):
                decode(whole[0], *wrong)

    def test_data_is_changed_by_its_owner_alone_and_read_from_a_majority(self):
        ground = Ground(5, members=2, pause=0)
        ground.run(2 * SECOND)
        name = owner_of(ground)
        host, other = ground.hosts[name], ground.hosts["m1" if name == "m0" else "m0"]
        self.assertEqual(other.owner.put("k0", b"theirs", other.now()), 0)
        self.assertEqual(host.owner.put("k0", b"digest/1", host.now()), 1)
        host.tick()
        ground.run(ground.at + SECOND)
        heard = []
        ground.told = lambda host, one: heard.append(one)
        other.owner.read("k0", other.now())
        other.flush()
        ground.run(ground.at + SECOND // 10)
        read = [one.value for one in heard if one.what == "read"]
        self.assertEqual([(one.owner, one.revision, one.data) for one in read], [(name, 1, b"digest/1")])

    def test_a_voter_says_nothing_before_it_may_and_nothing_it_did_not_write(self):
        voter = Acceptor("a", "abc", {}, {}, 1, True, 0)
        voter.heard("m", Accept("k", Ballot(1, "m", 1), Value("m", 1, 1, 100, 0, b""), 1), 0)
        self.assertEqual(voter.out, [])
        voter.wake(2 * SECOND)
        self.assertTrue(voter.part)
        voter.writes.clear()
        voter.heard("m", Accept("k", Ballot(1, "m", 1), Value("m", 1, 1, 100, 0, b""), 1), 0)
        self.assertEqual([one.key for one in voter.writes], ["k"])
        voter.heard("x", Accept("k", Ballot(2, "m", 1), Value("m", 1, 1, 100, 0, b""), 1), 0)
        self.assertEqual(len(voter.writes), 1, "a ballot of another's name")

    def test_who_stands_for_nothing_owns_nothing(self):
        owner = LeaseManager("m", 1, "abc", 1000, Random(1))
        self.assertEqual((owner.fencing_token("k", 0), owner.due()), (0, 1 << 60))
        self.assertEqual((NO_VALUE.number, NO_BALLOT.round), (0, 0))


class DriverStory(unittest.IsolatedAsyncioTestCase):
    async def test_a_fault_in_a_moment_is_logged_and_the_next_moment_is_set_all_the_same(self):
        """A fault behind the owner's part of a moment left the timer unset: nothing was renewed any more, unseen."""
        with tempfile.TemporaryDirectory() as folder:
            voters = {name: f"127.0.0.1:{port}" for port, name in enumerate("abc", 1)}
            register = RegisterDriver(
                RegisterConfig(
                    "m",
                    "f",
                    b"sixteen bytes or more",
                    voters,
                    "127.0.0.1:0",
                    Path(folder),
                    SECOND,
                    {"k": True},
                ),
                Machine(),
                Random(1),
                Counters(),
            )
            with (
                mock.patch.object(register, "_flush", side_effect=ZeroDivisionError("of ours")),
                mock.patch.object(logbook, "fault_ownership") as told,
            ):
                register.begin()
            self.addCleanup(register.end)
            told.assert_called_once()
            self.assertGreater(register._alarm.when(), asyncio.get_running_loop().time())
            register._wake()
            self.assertEqual(register.owner.out, [])  # it says what it has to say again
