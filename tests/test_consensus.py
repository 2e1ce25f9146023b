"""One lease holder at a time: the register, its leases and its acceptors under faults, and mutants of them."""

import asyncio
import errno
import shutil
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from pathsaddle.consensus import model_checker
from pathsaddle.consensus.acceptor import Acceptor
from pathsaddle.consensus.acceptor_log import FILE_NAME, MIN_COMPACTION_BYTES, AcceptorLog, create_log
from pathsaddle.consensus.errors import VoterSetMismatchError
from pathsaddle.consensus.events import ReadCompleted
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
    KeyState,
    Promise,
    Value,
    acceptor_set_checksum,
    decode,
    pack_datagrams,
)
from pathsaddle.consensus.model_checker import InvariantViolationError
from pathsaddle.consensus.model_state import CheckerOptions
from pathsaddle.consensus.stored_state import KeyWrite, OwnIncarnationWrite, PeerIncarnationWrite, StoredState
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver
from pathsaddle.emulator.ownership import linear
from pathsaddle.emulator.ownership.faults import layout_with_faults, run_with_faults
from pathsaddle.emulator.ownership.hosts import Disk
from pathsaddle.emulator.ownership.judge import judge
from pathsaddle.emulator.ownership.mutants import LeaseFromAnswer, ReusedToken, mutant
from pathsaddle.emulator.ownership.simulation import Layout, Simulation
from pathsaddle.event_log import Event
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Environment as Machine
from pathsaddle.scheduler_types import SECOND


def lease_holder(simulation, key="k0"):
    return next(
        (
            name
            for name, host in simulation.hosts.items()
            if name[0] == "m" and host.is_up and host.lease_manager.fencing_token(key, host.now())
        ),
        "",
    )


class SimulationTest(unittest.TestCase):
    def check_invariants(self, simulation):
        verdict = judge(simulation.events.rows)
        self.assertEqual(verdict.findings, [])
        self.assertEqual(linear.check(simulation.events.rows), {})
        return verdict

    def started(self, **layout):
        simulation = Simulation(1, Layout(**layout))
        simulation.run(3 * SECOND)
        first = lease_holder(simulation)
        self.assertTrue(first)
        return simulation, first

    def test_under_random_faults_no_instant_has_two_lease_holders_and_calm_has_one(self):
        refused = 0
        for seed, members, acceptors in (
            *((seed, 5, 3) for seed in range(16)),
            (16, 5, 5),
            (17, 5, 5),
            (18, 40, 3),
        ):
            with self.subTest(seed=seed, members=members):
                simulation = run_with_faults(seed, layout_with_faults(members, acceptors, 1 + seed % 2))
                refused += self.check_invariants(simulation).refused
                self.assertTrue(all(lease_holder(simulation, key) for key in simulation.keys))
        self.assertGreater(refused, 10)

    def test_each_mutant_is_found_under_its_name(self):
        for name, seed, finding in MUTANTS:
            with self.subTest(mutant=name), mutant(name):
                names = [one for one, _ in judge(run_with_faults(seed).events.rows).findings]
                self.assertIn(finding, names)

    def test_a_lease_holder_paused_between_its_look_and_its_effect_does_no_harm(self):
        simulation, first = self.started()
        host = simulation.hosts[first]
        while not (
            simulation.events.rows[-1].what == "act" and simulation.events.rows[-1].more["who"] == first
        ):
            simulation.run(simulation.now + 1)
        host.paused_until = simulation.now + 5 * SECOND
        simulation.run(simulation.now + 8 * SECOND)
        verdict = self.check_invariants(simulation)
        self.assertEqual(verdict.refused, 2)  # at each of the two stores
        self.assertNotIn(lease_holder(simulation), ("", first))

    def test_a_lease_holder_cut_off_from_all_acceptors_but_not_from_the_receiver_stops_by_itself(self):
        for oneway in (False, True):
            simulation, first = self.started()
            for acceptor in simulation.acceptors:
                simulation.cut_links[first, acceptor] = None
                if not oneway:
                    simulation.cut_links[acceptor, first] = None
            simulation.run(simulation.now + 4 * SECOND)
            self.assertNotIn(lease_holder(simulation), ("", first))
            self.assertEqual(self.check_invariants(simulation).refused, 0)

    def test_acceptors_split_two_and_one_go_on_and_one_and_one_and_one_stop_all_for_a_minute(self):
        simulation, _ = self.started()
        for acceptor in simulation.acceptors[1:]:
            simulation.cut_links[simulation.acceptors[0], acceptor] = simulation.cut_links[
                acceptor, simulation.acceptors[0]
            ] = None
        for member in ("m0", "m1"):  # on the side of the one
            for acceptor in simulation.acceptors[1:]:
                simulation.cut_links[member, acceptor] = simulation.cut_links[acceptor, member] = None
        simulation.run(simulation.now + 60 * SECOND)
        self.assertIn(lease_holder(simulation), ("m2", "m3", "m4"))
        for i in range(5):
            for j, acceptor in enumerate(simulation.acceptors):
                if i % 3 != j:
                    simulation.cut_links[f"m{i}", acceptor] = None
        simulation.run(simulation.now + 60 * SECOND)
        self.assertEqual(lease_holder(simulation), "")
        simulation.cut_links.clear()
        simulation.run(simulation.now + 3 * SECOND)
        self.assertTrue(lease_holder(simulation))
        self.check_invariants(simulation)

    def test_all_acceptors_killed_at_once_the_lease_holder_stays(self):
        simulation, first = self.started()
        for acceptor in simulation.acceptors:
            simulation.hosts[acceptor].kill()
            simulation.hosts[acceptor].start()
        simulation.run(simulation.now + 5 * SECOND)
        self.assertEqual(lease_holder(simulation), first)
        self.check_invariants(simulation)

    def test_answers_duplicated_and_late_by_minutes_bring_no_lease_back(self):
        simulation, _ = self.started(members=3)
        simulation.duplication, simulation.late_copies = 0.3, 0.3
        for _ in range(12):
            host = simulation.hosts[lease_holder(simulation) or "m0"]
            host.paused_until = simulation.now + 2 * SECOND
            simulation.run(simulation.now + 10 * SECOND)
        self.assertGreater(self.check_invariants(simulation).owners, 8)

    def test_a_lost_disk_rejoins_by_two_and_two_lost_disks_stop_all_rather_than_reuse_fencing_tokens(self):
        simulation, _ = self.started()
        one, other = simulation.hosts["v0"], simulation.hosts["v1"]

        def lose_disk(host):
            host.kill()
            host.disk = Disk(is_intact=False)
            host.start()

        lose_disk(one)
        simulation.run(simulation.now + 2 * SECOND)
        self.assertTrue(one.acceptor.is_participating and one.disk.is_intact)
        self.assertEqual(
            one.disk.keys["k0"].value.fencing_token,
            simulation.hosts["v2"].disk.keys["k0"].value.fencing_token,
        )
        lose_disk(one)
        lose_disk(other)
        simulation.run(simulation.now + 30 * SECOND)
        self.assertFalse(one.acceptor.is_participating or other.acceptor.is_participating)
        self.assertEqual(lease_holder(simulation), "")
        self.check_invariants(simulation)

    def test_a_disk_put_back_from_before_its_last_start_is_known_by_the_others_incarnations(self):
        simulation, _ = self.started()
        host = simulation.hosts["v0"]
        copy = host.disk.copy()
        host.kill()
        host.start()
        simulation.run(simulation.now + 3 * SECOND)
        before = host.acceptor.incarnation
        host.kill()
        host.disk = copy  # whole by all that it can see itself; its clock stands before its last start
        with mock.patch.object(simulation, "now", copy.incarnation):
            host.start()
        self.assertTrue(host.acceptor.is_intact and host.acceptor.incarnation < before)
        simulation.run(simulation.now + SECOND)
        self.assertGreater(host.acceptor.incarnation, before)
        self.assertTrue(host.acceptor.is_participating)
        self.check_invariants(simulation)

    def test_an_acceptors_disk_full_or_seconds_slow_leaves_the_others_to_go_on(self):
        simulation, first = self.started()
        simulation.hosts["v0"].disk.is_full = True
        simulation.hosts["v1"].disk.sync_ticks = 0
        simulation.run(simulation.now + 5 * SECOND)
        simulation.hosts["v0"].disk.is_full, simulation.hosts["v0"].disk.sync_ticks = False, 3 * SECOND
        simulation.run(simulation.now + 20 * SECOND)
        self.assertEqual(lease_holder(simulation), first)
        self.check_invariants(simulation)

    def test_two_proposers_that_outbid_each_other_come_to_an_end(self):
        for seed in range(20):
            simulation = Simulation(seed, Layout(members=2))
            simulation.max_extra_delay = 1000  # ballots last longer than what they wait at first
            simulation.run(10 * SECOND)
            self.assertTrue(lease_holder(simulation), seed)
            self.check_invariants(simulation)

    def test_a_lease_released_at_sigterm_is_held_by_the_next_in_a_tenth_of_it(self):
        simulation, first = self.started(lease_ticks=10 * SECOND)
        begun = simulation.now
        simulation.hosts[first].terminate()
        while not lease_holder(simulation):
            simulation.run(simulation.now + 10)
            self.assertLess(simulation.now - begun, SECOND)
        self.check_invariants(simulation)

    def test_the_preferred_member_comes_first_and_no_lease_holder_that_lives_is_replaced(self):
        for seed in range(10):
            simulation = Simulation(seed, Layout(members=4, not_preferred=3))
            simulation.run(2 * SECOND)
            self.assertEqual(lease_holder(simulation), "m3")
            simulation.hosts["m3"].kill()
            simulation.run(simulation.now + 4 * SECOND)
            other = lease_holder(simulation)
            simulation.hosts["m3"].start()
            simulation.run(simulation.now + 10 * SECOND)
            self.assertEqual(lease_holder(simulation), other)

    def test_a_thousand_keys_whose_lease_holder_dies_have_others_soon(self):
        simulation = Simulation(
            3, Layout(members=1, keys=1000, work_interval_ticks=0, lease_ticks=3 * SECOND)
        )
        simulation.run(5 * SECOND)
        host = simulation.hosts["m0"]
        self.assertEqual(len(host.lease_manager.held_keys(host.now())), 1000)
        sent, syncs = simulation.sent, simulation.syncs
        simulation.run(simulation.now + 10 * SECOND)
        self.assertLess(simulation.syncs - syncs, 5, "renewals sync nothing")
        self.assertLess(simulation.sent - sent, 1000 * 6 * 13)
        host.kill()
        host.start()
        simulation.run(simulation.now + 8 * SECOND)
        self.assertEqual(len(host.lease_manager.held_keys(host.now())), 1000)
        self.assertEqual(judge(simulation.events.rows).findings, [])

    def test_a_history_that_is_not_linearizable_is_found_and_one_that_only_looks_so_is_not(self):
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


class ModelCheckerTest(unittest.TestCase):
    def test_in_every_order_of_events_to_the_stated_depth_the_invariants_hold(self):
        for name, depth, options, first in (
            ("from nothing", 6, CheckerOptions(), None),
            ("from an owner", 6, CheckerOptions(), model_checker.state_with_lease_holder(CheckerOptions())),
            (
                "given back, begun anew",
                5,
                CheckerOptions(releases=1, restarts=1, kills=0),
                model_checker.state_with_lease_holder(CheckerOptions(releases=1, restarts=1, kills=0)),
            ),
            (
                "a disk lost",
                4,
                CheckerOptions(disk_losses=1),
                model_checker.state_with_lease_holder(CheckerOptions(disk_losses=1)),
            ),
        ):
            with self.subTest(name):
                states = model_checker.check(depth, options, first)
                print(f"ownership, {name}: {states} worlds to depth {depth}")
                self.assertGreater(states, 2000)

    def test_mutants_are_found_by_the_model_checker_too(self):
        with self.assertRaisesRegex(InvariantViolationError, "a number twice"):
            options = CheckerOptions(answer_before_sync=True, kills=2, time_steps=0, renewals=0, ballots=2)
            model_checker.check(
                5, options, self.state_after(options, model_checker.Proposer, "v0 is killed", "v1 is killed")
            )
        late = CheckerOptions(kills=0, renewals=0)
        with self.assertRaisesRegex(InvariantViolationError, "two may act"):
            # One acceptor's answer is there; a moment later the other's counts from its arrival.
            self.check_with_late_answers(late, LeaseFromAnswer)
        self.check_with_late_answers(late, model_checker.Proposer)
        options = CheckerOptions(kills=0, renewals=0, restarts=1)
        with self.assertRaisesRegex(InvariantViolationError, "a number twice"):
            model_checker.check(
                5,
                options,
                self.state_after(options, ReusedToken, "c0 begins anew", "a moment", "a moment", "a moment"),
                ReusedToken,
            )

    def check_with_late_answers(self, options, proposer):
        """Let the answers to an accepted ballot come a step of time late; from there on, explore all orders."""
        state = model_checker.initial_state(options, proposer)
        state = state.with_proposer(0, state.proposers[0].start_ballot(0))
        for prefix in (
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
            state = next(
                (
                    after
                    for name, after in model_checker.next_events(state, options)
                    if name.startswith(prefix)
                ),
                state,
            )
            if model_checker.violation(state):
                raise InvariantViolationError(model_checker.violation(state))
        model_checker.check(3, options, state, proposer)

    def state_after(self, options, proposer, *names):
        """Return the state with a lease holder, after these events."""
        state = model_checker.state_with_lease_holder(options, proposer)
        for wanted in names:
            state = next(after for name, after in model_checker.next_events(state, options) if name == wanted)
        return state


class StorageTest(unittest.TestCase):
    ACCEPTORS = ("a", "b", "c")
    STATE = KeyState(Ballot(2, "m", 7), Ballot(1, "m", 7), Value("m", 7, 3, 1000, 1, b"x" * 100))

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        create_log(self.directory, "a", self.ACCEPTORS)

    def opened(self):
        log = AcceptorLog(self.directory, "a", self.ACCEPTORS)
        self.addCleanup(log.close)
        return log

    def test_what_was_synced_is_read_back_intact(self):
        log = self.opened()
        self.assertTrue(log.stored.is_intact)
        log.append(
            [
                KeyWrite("k", self.STATE),
                PeerIncarnationWrite("b", 9),
                OwnIncarnationWrite("a", 5, is_intact=True),
            ]
        )
        stored = self.opened().stored
        self.assertEqual(
            (stored.keys, stored.peer_incarnations, stored.incarnation, stored.is_intact),
            ({"k": self.STATE}, {"b": 9}, 5, True),
        )

    def test_torn_anywhere_cut_empty_gone_or_a_copy_it_is_not_intact(self):
        log = self.opened()
        log.append([KeyWrite("k", self.STATE), OwnIncarnationWrite("a", 5, is_intact=True)])
        path = self.directory / FILE_NAME
        good = path.read_bytes()

        def check_spoilt(data):
            path.write_bytes(data)  # in place: the same inode
            stored = self.opened().stored
            self.assertFalse(stored.is_intact)
            self.assertFalse(self.opened().stored.is_intact, "nor the next time")

        for at in range(3, len(good), 11):
            path.write_bytes(good)
            check_spoilt(good[:at])
            check_spoilt(good[:at] + bytes((good[at] ^ 1,)) + good[at + 1 :])
        check_spoilt(b"")
        path.write_bytes(good)
        path.unlink()
        self.assertFalse(self.opened().stored.is_intact)
        shutil.rmtree(self.directory)
        self.directory.mkdir()
        create_log(self.directory, "a", self.ACCEPTORS)
        copy = path.read_bytes()
        path.unlink()  # the next file may get its inode again
        path.write_bytes(copy)
        self.assertIn("copy", self.opened().stored.damage)

    def test_a_write_that_failed_leaves_what_was_there(self):
        log = self.opened()
        log.append([OwnIncarnationWrite("a", 5, is_intact=True)])
        with (
            mock.patch("os.fdatasync", side_effect=OSError(errno.ENOSPC, "full")),
            self.assertRaises(OSError),
        ):
            log.append([KeyWrite("k", self.STATE)])
        stored = self.opened().stored
        self.assertEqual((stored.keys, stored.is_intact, stored.incarnation), ({}, True, 5))

    def test_it_stays_small(self):
        log = self.opened()
        with mock.patch("os.fdatasync"):
            for i in range(2 * MIN_COMPACTION_BYTES // 100):
                log.append(
                    [KeyWrite("k", KeyState(Ballot(i, "m", 7), self.STATE.accepted, self.STATE.value))]
                )
        self.assertLess((self.directory / FILE_NAME).stat().st_size, MIN_COMPACTION_BYTES + 1000)
        self.assertEqual(self.opened().stored.keys["k"].promised.round, i)

    def test_another_set_of_acceptors_is_refused(self):
        with self.assertRaises(VoterSetMismatchError) as caught:
            AcceptorLog(self.directory, "a", ("a", "b", "d"))
        self.assertIn("fleet.owners.voters", caught.exception.do)


class PartsTest(unittest.TestCase):
    def test_a_fence_refuses_lower_fencing_tokens_and_says_what_to_write(self):
        fence = Fence(is_durable=True)
        self.assertEqual(fence.admit("k", 3).write, ("k", 3))
        self.assertEqual((fence.admit("k", 3).is_admitted, fence.admit("k", 3).write), (True, None))
        self.assertFalse(fence.admit("k", 2).is_admitted)
        self.assertFalse(fence.admit("j", 0).is_admitted)
        self.assertEqual(fence.refused, {"k": 1, "j": 1})

    def test_the_longest_value_fits_a_datagram_and_one_with_another_key_is_rejected(self):
        name = "n" * 64
        value = Value(name, 1 << 61, 1 << 40, 30_000, 1 << 40, bytes(MAX_VALUE_BYTES))
        ballot = Ballot(1 << 30, name, 1 << 61)
        envelope = Envelope("fleet", acceptor_set_checksum("abc"), "a", "m", 1 << 61, [1 << 61] * 5, [])
        messages = [Promise("k" * 64, ballot, ballot, value), Accept("k" * 64, ballot, value, 1 << 30)]
        datagrams = list(pack_datagrams(envelope, messages, b"key"))
        self.assertTrue(
            all(len(data) <= MAX_DATAGRAM_BYTES for data in datagrams), [len(data) for data in datagrams]
        )
        decoded = [
            m
            for data in datagrams
            for m in decode(data, b"key", "fleet", envelope.acceptor_checksum, "m").messages
        ]
        self.assertEqual(decoded, messages)
        for wrong in (
            (b"kez", "fleet", envelope.acceptor_checksum, "m"),
            (b"key", "other", envelope.acceptor_checksum, "m"),
            (b"key", "fleet", 1, "m"),
            (b"key", "fleet", envelope.acceptor_checksum, "n"),
        ):
            with self.assertRaises(DatagramRejectedError):
                decode(datagrams[0], *wrong)

    def test_data_is_committed_by_the_lease_holder_alone_and_read_from_a_majority(self):
        simulation = Simulation(5, Layout(members=2, work_interval_ticks=0))
        simulation.run(2 * SECOND)
        name = lease_holder(simulation)
        host, other = simulation.hosts[name], simulation.hosts["m1" if name == "m0" else "m0"]
        self.assertEqual(other.lease_manager.commit("k0", b"theirs", other.now()), 0)
        self.assertEqual(host.lease_manager.commit("k0", b"digest/1", host.now()), 1)
        host.wake()
        simulation.run(simulation.now + SECOND)
        events = []
        simulation.on_lease_event = lambda host, event: events.append(event)
        other.lease_manager.read("k0", other.now())
        other.flush()
        simulation.run(simulation.now + SECOND // 10)
        values = [event.value for event in events if isinstance(event, ReadCompleted)]
        self.assertEqual(
            [(value.holder, value.revision, value.data) for value in values], [(name, 1, b"digest/1")]
        )

    def test_an_acceptor_answers_nothing_before_it_participates_and_nothing_it_did_not_write(self):
        acceptor = Acceptor("a", "abc", StoredState(is_intact=True), 1, 0)
        acceptor.on_message("m", Accept("k", Ballot(1, "m", 1), Value("m", 1, 1, 100, 0, b""), 1), 0)
        self.assertEqual(acceptor.messages, [])
        acceptor.wake(2 * SECOND)
        self.assertTrue(acceptor.is_participating)
        acceptor.writes.clear()
        acceptor.on_message("m", Accept("k", Ballot(1, "m", 1), Value("m", 1, 1, 100, 0, b""), 1), 0)
        self.assertEqual([one.key for one in acceptor.writes], ["k"])
        acceptor.on_message("x", Accept("k", Ballot(2, "m", 1), Value("m", 1, 1, 100, 0, b""), 1), 0)
        self.assertEqual(len(acceptor.writes), 1, "a ballot of another's name")

    def test_without_a_campaign_there_is_no_lease(self):
        manager = LeaseManager("m", 1, "abc", 1000, Random(1))
        self.assertEqual((manager.fencing_token("k", 0), manager.next_wakeup()), (0, 1 << 60))
        self.assertEqual((NO_VALUE.fencing_token, NO_BALLOT.round), (0, 0))


class DriverTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_defect_on_a_wakeup_is_logged_and_the_next_wakeup_is_set_all_the_same(self):
        """A defect after the lease manager's part left the timer unset: nothing was renewed any more, unseen."""
        with tempfile.TemporaryDirectory() as directory:
            acceptors = {name: f"127.0.0.1:{port}" for port, name in enumerate("abc", 1)}
            register = RegisterDriver(
                RegisterConfig(
                    "m",
                    "f",
                    b"sixteen bytes or more",
                    acceptors,
                    "127.0.0.1:0",
                    Path(directory),
                    SECOND,
                    {"k": True},
                ),
                Machine(),
                Random(1),
                Counters(),
            )
            with (
                mock.patch.object(register, "_flush", side_effect=ZeroDivisionError("of ours")),
                mock.patch.object(logbook, "fault_ownership") as log_fault,
            ):
                register.begin()
            self.addCleanup(register.end)
            log_fault.assert_called_once()
            self.assertGreater(register._alarm.when(), asyncio.get_running_loop().time())
            register._wake()
            self.assertFalse(register.lease_manager.has_output())  # what waits is sent after all
