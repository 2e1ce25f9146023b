"""What shared settings put on the wire, on disk and at the control address is what commit f469a1f put there.

tests/data/settings.json was written by tests/data/write_settings.py on that commit.
"""

import asyncio
import hashlib
import json
import tempfile
import time
import unittest
from pathlib import Path
from random import Random
from unittest import mock

import msgspec

from pathsaddle.consensus.messages import Value
from pathsaddle.emulator.settings.world import Plan, World
from pathsaddle.settings import datagrams, events
from pathsaddle.settings.disk import SettingsDirectory
from pathsaddle.settings.documents import (
    Change,
    ChangeSet,
    RevisionId,
    decode_changeset,
    decode_snapshot,
    digest_of,
    encode_document,
    id_of,
)
from pathsaddle.settings.driver_config import DriverConfig
from pathsaddle.settings.messages import (
    AppliedAck,
    AppliedGroup,
    AppliedSummary,
    Chunk,
    ChunkManifest,
    ChunkRequest,
    CommitNotice,
    DocumentKind,
    LeaseRenewal,
    Proposal,
    ProposalAck,
    SyncRequest,
)
from pathsaddle.settings.output import DiskWrite
from pathsaddle.settings.register_session import VoterConfig, decode_register_value, encode_register_value
from pathsaddle.settings.server_driver import ConfigServerDriver
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber_driver import ConfigSubscriberDriver

GOLDEN = json.loads((Path(__file__).parent / "data" / "settings.json").read_text())
KEY = b"sixteen bytes or more"
D, E = "d" * 32, "e" * 32
ONE = ChangeSet(
    1,
    "",
    "ann",
    "first",
    1700000000000,
    (Change("customers.a", b'{"allowance":9}'), Change("zones", b'["x"]')),
)
TWO = ChangeSet(2, digest_of(ONE), "bob", "", 0, (Change("customers.a", None), Change("budgets.b", b"7")))
THREE = ChangeSet(3, digest_of(TWO), "ann", "third", 5, (Change("members.m", b'{"region":"r"}'),))
FOUR = ChangeSet(4, digest_of(THREE), "ann", "fourth", 6, (Change("budgets.b", b"8"),))
OTHER = ChangeSet(4, digest_of(THREE), "bob", "another", 7, (Change("budgets.b", b"6"),))
CHANGESET, SNAPSHOT = DocumentKind.CHANGESET, DocumentKind.SNAPSHOT
MESSAGES = {
    "sync request": SyncRequest("m", 7, 2, 3, D),
    "sync request, revision 0": SyncRequest("m", 7, 2, 0, ""),
    "lease renewal": LeaseRenewal("k", "m", 7, 2, 3, D),
    "proposal": Proposal("k", ONE),
    "proposal, following": Proposal("k", ONE, (TWO, THREE)),
    "proposal acknowledgement": ProposalAck("k", 3, D),
    "commit notice": CommitNotice("k", RevisionId(3, D)),
    "commit notice, change sets": CommitNotice("k", RevisionId(3, D), (ONE, TWO)),
    "applied acknowledgement": AppliedAck("m", 3, D),
    "applied summary": AppliedSummary("k", (AppliedGroup(1, D, ("m", "n")), AppliedGroup(2, E, ("o",)))),
    "chunk manifest": ChunkManifest("k", SNAPSHOT, D, RevisionId(3, E), 3000),
    "chunk manifest, proposal": ChunkManifest("k", CHANGESET, D, RevisionId(3, D), 3000, True),
    "chunk request": ChunkRequest("m", CHANGESET, D, 8, 5),
    "chunk": Chunk("k", SNAPSHOT, D, 2, b"x" * 40),
}
EVENTS = (
    events.RevisionApplied(3, D, tuple(f"budgets.b{i}" for i in range(20))),
    events.ProposalHeld(3, D, ("zones",)),
    events.LeaseObtained(3, D, 9),
    events.LeaseLost(3, D, 9),
    events.LeaseLost(0, "", 9),
    events.RevisionCommitted(3, D, ("zones",)),
    events.RevisionActivated(3, D),
    events.ProposalAcknowledged(3, D),
    events.HistoryDiverged(3, D, "w"),
    events.QueueFull("w", revision=3, digest=D),
    events.QueueFull("w", name="m"),
    events.ServerSilent("k", "w"),
    events.InputRejected("w", revision=3, digest=D, name="k"),
    events.InputRejected("w", digest=D),
)
SUBSCRIBER_REQUESTS = (
    b'{"word":"get"}',
    b'{"word":"get","key":"customers"}',
    b'{"word":"status"}',
    b'{"word":"nothing"}',
    b"[]",
    b"{",
)
SERVER_REQUESTS = (
    b'{"word":"get"}',
    b'{"word":"get","key":"budgets.b"}',
    b'{"word":"history"}',
    b'{"word":"history","most":2}',
    b'{"word":"history","most":0}',
    b'{"word":"status"}',
    b'{"word":"status","revision":3}',
    b'{"word":"status","revision":0}',
    b'{"word":"apply","rows":{"rules":{"nonsense":1}}}',
    b'{"word":"apply","rows":{"listen":1},"remove":["zones","zones"]}',
    b'{"word":"apply"}',
    b'{"word":"apply","rows":{"budgets.b":1},"reason":"' + b"x" * 201 + b'"}',
    b'{"word":"apply","rows":{"budgets.b":1},"within":"long"}',
    b'{"word":"other"}',
)
# As in write_settings.py: name, fields of Plan, seeds.
WORLDS = {
    "default": ({"seconds": 15.0, "quiet": 10.0}, 4),
    "astray": ({"changes": 400, "seconds": 10.0, "faults": 0.0, "astray": 0.2, "quiet": 10.0}, 2),
    "rough": ({"faults": 0.7, "loss": 0.15, "lease": 2.0, "quiet": 1.0}, 2),
    "bytes": ({"members": 20, "changes": 600, "keeper_bytes": 6000, "quiet": 1.0, "seconds": 10.0}, 2),
}


class GoldenWire(unittest.TestCase):
    def test_each_message_has_the_bytes_that_it_had_and_is_read_from_them(self):
        self.assertEqual(MESSAGES.keys(), GOLDEN["datagrams"].keys())
        for name, message in MESSAGES.items():
            with self.subTest(name):
                data = bytes.fromhex(GOLDEN["datagrams"][name])
                self.assertEqual(datagrams.encode(message, KEY), data)
                self.assertEqual(datagrams.decode(data, KEY), message)

    def test_documents_digests_and_the_registers_value_are_what_they_were(self):
        golden = GOLDEN["documents"]
        snapshot = Store(None, (ONE, TWO)).snapshot()
        self.assertEqual(digest_of(ONE), golden["digest"])
        for name, document, decode in (
            ("change set", ONE, decode_changeset),
            ("snapshot", snapshot, decode_snapshot),
            ("empty snapshot", Store().snapshot(), decode_snapshot),
        ):
            with self.subTest(name):
                self.assertEqual(encode_document(document).hex(), golden[name])
                self.assertEqual(decode(bytes.fromhex(golden[name])), document)
        data = encode_register_value(id_of(THREE), 120)
        self.assertEqual(data.hex(), GOLDEN["register"])
        self.assertEqual(decode_register_value(Value("k", 1, 1, 1, 1, data)), id_of(THREE))


class GoldenDirectory(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)

    def open(self, name):
        made = SettingsDirectory(self.root / name, "m", "members.m in x", max_log=2)
        self.addCleanup(made.close)
        return made

    def test_each_file_has_the_bytes_that_it_had(self):
        at_two = Store(None, (ONE, TWO)).snapshot()
        for name, batches in (
            ("snapshot and log", ([DiskWrite(ONE)], [DiskWrite(snapshot=at_two), DiskWrite(THREE)])),
            (
                "log and proposals",
                (
                    [DiskWrite(ONE), DiskWrite(TWO)],
                    [DiskWrite(THREE)],
                    [DiskWrite(FOUR, is_committed=False)],
                    [DiskWrite(OTHER, is_committed=False, replaced_digests=(digest_of(FOUR),))],
                ),
            ),
            ("compacted", ([DiskWrite(ONE), DiskWrite(TWO)], [DiskWrite(THREE), DiskWrite(FOUR)], [])),
        ):
            with self.subTest(name):
                directory = self.open(name)
                for batch in batches:
                    directory.write(batch)
                directory.next_incarnation(1700000000000)
                files = {path.name: path.read_bytes().hex() for path in (self.root / name).iterdir()}
                self.assertEqual(files, GOLDEN["directories"][name])

    def test_a_directory_of_that_commit_is_read(self):
        for name, last, proposals in (
            ("snapshot and log", THREE, []),
            ("log and proposals", THREE, [OTHER]),
            ("compacted", FOUR, []),
        ):
            with self.subTest(name):
                path = self.root / name
                path.mkdir()
                for file, data in GOLDEN["directories"][name].items():
                    (path / file).write_bytes(bytes.fromhex(data))
                directory = self.open(name)
                self.assertEqual((directory.store.id, directory.proposals), (id_of(last), proposals))
                self.assertEqual(directory.next_incarnation(5), 1700000000001)


class GoldenControl(unittest.TestCase):
    """At one fixed moment: 2,000 s after the machine's start, in the year 2023."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root, self.logged = Path(folder.name), []
        for patch in (
            mock.patch.object(time, "time_ns", return_value=1_700_000_000_000_000_000),
            mock.patch.object(time, "clock_gettime_ns", return_value=2_000_000_000_000),
        ):
            patch.start()
            self.addCleanup(patch.stop)

    def config(self, name, table):
        directory = SettingsDirectory(self.root / name, name, "x")
        directory.write([DiskWrite(one) for one in (ONE, TWO, THREE)])
        if name == "k":
            directory.write([DiskWrite(FOUR, is_committed=False)])
        directory.close()
        servers = {"k": "127.0.0.1:9", "l": "127.0.0.1:10"}
        return DriverConfig(name, "r", KEY, "127.0.0.1:0", servers, self.root / name, f"{table}.{name} in x")

    def log(self, event, **fields):
        if event != "driver.fault":
            self.logged.append([event, fields])

    def answers(self, driver, requests):
        async def ask():
            return [(await driver.control.answer_line(one)).decode().rstrip("\n") for one in requests]

        return asyncio.run(ask())

    def test_a_subscribers_answers_and_the_logs_members_are_what_they_were(self):
        driver = ConfigSubscriberDriver(self.config("m", "members"), Random(1), self.log)
        self.addCleanup(driver.directory.close)
        self.addCleanup(driver.sock.close)
        driver.directory.age_ms = lambda now: 1234
        for event in EVENTS:
            driver._log_event(event)
        self.assertEqual(json.dumps(self.logged), GOLDEN["control"]["log"])
        self.assertEqual(self.answers(driver, SUBSCRIBER_REQUESTS), GOLDEN["control"]["subscriber"])

    def test_a_servers_answers_and_the_change_sets_that_it_logs_are_what_they_were(self):
        voters = VoterConfig({"v": "127.0.0.1:9"}, "f", KEY, 5000, "127.0.0.1:0")
        driver = ConfigServerDriver(self.config("k", "keepers"), voters, Random(1), self.log)
        self.addCleanup(driver.directory.close)
        self.addCleanup(driver.sock.close)
        self.addCleanup(driver.register.channel.close)
        driver.core.on_message(SyncRequest("m", 7, 2, 2, digest_of(TWO)), 20_000_000)
        self.assertEqual(self.answers(driver, SERVER_REQUESTS), GOLDEN["control"]["server"])
        driver.logged_revision = 0
        driver._log_event(events.RevisionCommitted(3, digest_of(THREE), ("zones",)))
        self.assertEqual(json.dumps(self.logged), GOLDEN["control"]["server log"])


class GoldenWorlds(unittest.TestCase):
    """Each call into the cores, each datagram and each draw of their random generators has a part in a world's log."""

    def test_emulated_worlds_go_as_they_went(self):
        for name, (fields, seeds) in WORLDS.items():
            for seed in range(seeds):
                with self.subTest(name, seed=seed):
                    world = World(Plan(**fields), seed).run()
                    rows = [row for row in world.events.rows if row.what != "purse"]
                    digest = hashlib.blake2b(digest_size=12)
                    for row in rows:
                        digest.update(msgspec.json.encode(row))
                    digest.update(repr([one.sent for one in world.processes.values()]).encode())
                    self.assertEqual(
                        [len(rows), world.cell.revision, digest.hexdigest()],
                        GOLDEN["worlds"][f"{name} {seed}"],
                    )


if __name__ == "__main__":
    unittest.main()
