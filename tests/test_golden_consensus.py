"""Today's consensus sends, stores, answers and does what commit f469a1f did (tests/data/write_consensus.py)."""

import json
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

import msgspec

from pathsaddle.consensus import acceptor_host, acceptor_log, messages, udp_driver
from pathsaddle.consensus.acceptor_log import AcceptorLog, create_log
from pathsaddle.consensus.messages import (
    NO_BALLOT,
    NO_VALUE,
    Ballot,
    Envelope,
    KeyState,
    SyncedKey,
    Value,
    acceptor_set_checksum,
    decode,
    encode,
    pack_datagrams,
)
from pathsaddle.consensus.stored_state import KeyWrite, OwnIncarnationWrite, PeerIncarnationWrite, StoredState
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver
from pathsaddle.emulator.ownership.faults import layout_with_faults, run_with_faults
from pathsaddle.fleet.incarnation_store import IncarnationStore
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Environment as Machine

GOLDEN = json.loads((Path(__file__).parent / "data" / "consensus.json").read_text())
FLEET_KEY = b"sixteen bytes or more"
ACCEPTORS = ("a", "b", "c")
BALLOT, ACCEPTED = Ballot(9, "m", 1 << 60), Ballot(7, "n", 5)
VALUE = Value("m", 1 << 60, 12, 30_000, 4, b"\0digest\xff")
NOW = 10_000_000
MESSAGES = {
    "Prepare": messages.Prepare("key", BALLOT),
    "Promise": messages.Promise("key", BALLOT, ACCEPTED, VALUE),
    "Promise, of nothing": messages.Promise("key", BALLOT, NO_BALLOT, NO_VALUE),
    "Accept": messages.Accept("key", BALLOT, VALUE, 77),
    "Renew": messages.Renew("key", BALLOT, 78),
    "Accepted": messages.Accepted("key", BALLOT, 78),
    "Refused": messages.Refused("key", BALLOT, ACCEPTED, 250, "n", 11),
    "Release": messages.Release("key", BALLOT),
    "LeaseReleased": messages.LeaseReleased("key"),
    "Read": messages.Read("key", 5),
    "ReadReply": messages.ReadReply("key", 5, BALLOT, ACCEPTED, VALUE),
    "SyncRequest": messages.SyncRequest(8, "after"),
    "SyncReply": messages.SyncReply(8, 9, True, "after", "last", [SyncedKey("key", BALLOT, ACCEPTED, VALUE)]),
    "SyncReply, empty": messages.SyncReply(8, 8, False, "", "", []),
}
WRITES = [
    [OwnIncarnationWrite("a", 5, True)],
    [KeyWrite("key", KeyState(BALLOT, ACCEPTED, VALUE)), PeerIncarnationWrite("b", 9)],
    [KeyWrite("other", KeyState(BALLOT, NO_BALLOT, NO_VALUE)), PeerIncarnationWrite("c", 2)],
    [KeyWrite("key", KeyState(BALLOT, BALLOT, VALUE)), OwnIncarnationWrite("a", 6, True)],
]


def envelope_of(*content):
    checksum = acceptor_set_checksum(ACCEPTORS)
    return Envelope("fleet", checksum, "m", "a", 3, [1, 2, 1 << 50], list(content))


class GoldenConsensusTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def test_each_message_has_the_same_bytes_and_is_decoded_to_the_same_values(self):
        self.assertEqual({*MESSAGES, "all, thrice"}, {*GOLDEN["datagrams"]})
        for name, message in MESSAGES.items():
            with self.subTest(name):
                (text,) = GOLDEN["datagrams"][name]
                envelope = envelope_of(message)
                self.assertEqual(encode(envelope, FLEET_KEY).hex(), text)
                checksum = envelope.acceptor_checksum
                self.assertEqual(decode(bytes.fromhex(text), FLEET_KEY, "fleet", checksum, "a"), envelope)

    def test_many_messages_are_packed_into_the_same_datagrams(self):
        datagrams = pack_datagrams(envelope_of(), [*MESSAGES.values()] * 3, FLEET_KEY)
        self.assertEqual([data.hex() for data in datagrams], GOLDEN["datagrams"]["all, thrice"])

    def test_an_acceptors_log_has_the_same_bytes_appended_and_rewritten(self):
        path = self.directory / "register.log"
        identity = acceptor_log.FileIdentity(11, 22)
        with mock.patch.object(acceptor_log, "file_identity", return_value=identity):
            create_log(self.directory, "a", ACCEPTORS)
            log = AcceptorLog(self.directory, "a", ACCEPTORS)
            for writes in WRITES:
                log.append(writes)
            log.close()
            appended = path.read_bytes()
            self.assertEqual(appended.hex(), GOLDEN["log"]["appended"])
            path.write_bytes(appended[:-1])
            AcceptorLog(self.directory, "a", ACCEPTORS).close()
            self.assertEqual(path.read_bytes().hex(), GOLDEN["log"]["rewritten after a torn end"])

    def test_an_acceptors_log_of_then_is_read_to_the_same_state(self):
        (self.directory / "register.log").write_bytes(bytes.fromhex(GOLDEN["log"]["appended"]))
        identity = acceptor_log.FileIdentity(11, 22)
        with mock.patch.object(acceptor_log, "file_identity", return_value=identity):
            log = AcceptorLog(self.directory, "a", ACCEPTORS)
        self.addCleanup(log.close)
        keys = {
            "key": KeyState(BALLOT, BALLOT, VALUE),
            "other": KeyState(BALLOT, NO_BALLOT, NO_VALUE),
        }
        self.assertEqual(log.stored, StoredState(keys, {"b": 9, "c": 2}, 6, True, ""))

    def test_a_process_answers_the_same_json(self):
        create_log(self.directory, "a", ("a",))
        config = RegisterConfig(
            "a", "fleet", FLEET_KEY, {"a": "127.0.0.1:9"}, "127.0.0.1:0", self.directory, 30_000
        )
        for module, name, value in (
            (udp_driver, "monotonic_ticks", NOW),
            (acceptor_host, "monotonic_ticks", NOW),
            (udp_driver, "next_incarnation", 1234),
            (acceptor_host, "next_incarnation", 1234),
        ):
            patch = mock.patch.object(module, name, return_value=value)
            patch.start()
            self.addCleanup(patch.stop)
        register = RegisterDriver(config, Machine(), Random(1), Counters())
        self.addCleanup(register.host.close)
        self.addCleanup(register.channel.close)
        self.assertEqual(msgspec.to_builtins(register.view()), GOLDEN["control answers"]["at start"])
        manager, acceptor = register.lease_manager, register.host.acceptor
        manager.campaign("key", NOW)
        acceptor.wake(NOW)
        manager.wake(NOW + 4000)
        while manager.has_output() or acceptor.messages:
            manager.take_events()
            for _, message in manager.take_messages():
                acceptor.on_message("a", message, NOW)
            replies, acceptor.messages = acceptor.messages, []
            for _, message in replies:
                manager.on_message("a", acceptor.incarnation, message, NOW + 4000)
        self.assertEqual(msgspec.to_builtins(register.view()), GOLDEN["control answers"]["lease holder"])

    def test_the_incarnation_file_is_the_same(self):
        IncarnationStore(self.directory, "a.owner").keep(123456789)
        files = {path.name: path.read_text() for path in self.directory.iterdir()}
        self.assertEqual(files, GOLDEN["incarnation file"])

    def test_whole_histories_are_the_same_by_draws_order_and_moments(self):
        for seed, members, acceptors, keys in ((1, 5, 3, 1), (2, 5, 3, 2), (3, 5, 5, 1), (4, 12, 3, 3)):
            with self.subTest(seed=seed):
                layout = layout_with_faults(members, acceptors, keys)
                digest = run_with_faults(seed, layout, 20, 5).events.digest()
                name = f"seed {seed}, {members} members, {acceptors} voters, {keys} keys"
                self.assertEqual(digest, GOLDEN["event digests"][name])
