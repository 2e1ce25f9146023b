"""Shared settings between the machines and the world: datagrams, and a folder that crashes leave as they will."""

import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from pathsaddle.settings import datagrams, disk
from pathsaddle.settings.disk import SettingsDirectory
from pathsaddle.settings.documents import Change, ChangeSet, RevisionId, canonical, digest_of
from pathsaddle.settings.errors import StorageError
from pathsaddle.settings.messages import (
    CHUNK_BYTES,
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
    size_of,
)
from pathsaddle.settings.output import DiskWrite
from pathsaddle.settings.proposals import MAX_PROPOSALS
from pathsaddle.settings.store import Store

CHANGESET = DocumentKind.CHANGESET
KEY = b"sixteen bytes or more"


def line(count, first=1, before=""):
    """Groups that follow one another."""
    found = []
    for revision in range(first, first + count):
        changeset = ChangeSet(
            revision,
            before,
            "a",
            "r",
            0,
            (Change(f"customers.c{revision % 7}", canonical({"allowance": revision})),),
        )
        found.append(changeset)
        before = digest_of(changeset)
    return found


class WireStory(unittest.TestCase):
    D = "d" * 32

    def message(self):
        changeset = line(1)[0]
        return [
            SyncRequest("m", 1, 2, 3, self.D),
            SyncRequest("m", 1, 2, 0, ""),
            LeaseRenewal("k", "m", 1, 2, 3, self.D),
            Proposal("k", changeset),
            ProposalAck("k", 1, self.D),
            CommitNotice("k", RevisionId(1, self.D), (changeset,)),
            AppliedAck("m", 1, self.D),
            AppliedSummary("k", (AppliedGroup(1, self.D, ("m", "n")),)),
            ChunkManifest("k", CHANGESET, self.D, RevisionId(1, self.D), 3000, True),
            ChunkRequest("m", CHANGESET, self.D, 0, 8),
            Chunk("k", CHANGESET, self.D, 2, b"x" * CHUNK_BYTES),
        ]

    def test_each_message_comes_as_it_went_and_takes_the_bytes_that_the_rate_limiter_paid(self):
        for message in self.message():
            with self.subTest(type(message).__name__):
                data = datagrams.encode(message, KEY)
                self.assertEqual(datagrams.decode(data, KEY), message)
                self.assertEqual(len(data), size_of(message))

    def test_what_is_cut_a_strangers_of_another_form_or_means_nothing_is_refused_by_its_reason(self):
        data = datagrams.encode(self.message()[0], KEY)
        with mock.patch.object(datagrams, "FORM", 84):
            newer = datagrams.encode(self.message()[0], KEY)
        bad = [
            ("cut", data[:9]),
            ("stranger", data[:-1] + bytes((data[-1] ^ 1,))),
            ("cut", data + bytes(1200)),
            ("newer", newer),
        ]
        for message in (
            SyncRequest("", 1, 2, 3, self.D),
            SyncRequest("m" * 65, 1, 2, 3, self.D),
            AppliedAck("m", 0, self.D),
            AppliedAck("m", 3, ""),
            AppliedAck("m", -1, ""),
            CommitNotice("k", RevisionId(1, "")),
            Chunk("k", 2, self.D, 0, b"x"),
            Chunk("k", CHANGESET, self.D, -1, b""),
            Chunk("k", CHANGESET, self.D, 0, b"x" * (CHUNK_BYTES + 1)),
            ChunkRequest("m", CHANGESET, self.D, 0, 0),
            ChunkManifest("k", CHANGESET, "d", RevisionId(1, self.D), 3),
            AppliedSummary("k", (AppliedGroup(1, "x", ("m",)),)),
        ):
            bad.append(("cut", datagrams.encode(message, KEY)))
        for why, one in bad:
            with self.subTest(why), self.assertRaisesRegex(datagrams.DatagramRejectedError, why):
                datagrams.decode(one, KEY)
        with self.assertRaisesRegex(datagrams.DatagramRejectedError, "stranger"):
            datagrams.decode(data, b"another key of ours")

    def test_bytes_that_chance_changed_are_refused_and_nothing_else_is_raised(self):
        rng = random.Random(7)
        for _ in range(2000):
            body = bytearray(bytes((datagrams.FORM,)) + msgspec.msgpack.encode(rng.choice(self.message())))
            for _ in range(rng.randrange(1, 4)):
                body[rng.randrange(len(body))] = rng.randrange(256)
            data = bytes(body) + datagrams.hmac.digest(KEY, bytes(body), "sha256")[:16]
            try:
                datagrams.decode(data, KEY)
            except datagrams.DatagramRejectedError as why:
                self.assertIn(str(why), datagrams.REJECTION_REASONS)


class DirectoryStory(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "m0"

    def directory(self, max_log=1024):
        made = SettingsDirectory(self.path, "m0", "members.m0.disk in ground.toml", max_log=max_log)
        self.addCleanup(made.close)
        return made

    def test_what_was_written_is_there_again_and_the_incarnation_grows(self):
        directory, changesets = self.directory(), line(5)
        directory.write([DiskWrite(one) for one in changesets[:3]])
        directory.write([DiskWrite(changesets[3]), DiskWrite(changesets[4], is_committed=False)])
        self.assertEqual(directory.next_incarnation(50), 50)
        again = self.directory()
        self.assertEqual((again.store.revision, again.store.digest), (4, digest_of(changesets[3])))
        self.assertEqual([one for _, one in again.store.log], changesets[:4])
        self.assertEqual(again.proposals, changesets[4:])
        self.assertEqual([again.next_incarnation(50), again.next_incarnation(60)], [51, 60])

    def test_a_snapshot_takes_the_place_of_rows_and_log_and_what_follows_follows_it(self):
        directory, changesets = self.directory(), line(9)
        there = Store(None, changesets[:7])
        directory.write([DiskWrite(one) for one in changesets[:3]])
        directory.write([DiskWrite(snapshot=there.snapshot()), DiskWrite(changesets[7])])
        again = self.directory()
        self.assertEqual((again.store.revision, len(again.store.log)), (8, 1))
        self.assertEqual(again.store.snapshot(), Store(None, changesets[:8]).snapshot())

    def test_a_crash_between_the_snapshots_rename_and_the_logs_leaves_the_snapshot(self):
        directory, changesets = self.directory(), line(9)
        directory.write([DiskWrite(one) for one in changesets[:7]])
        directory._replace_file(
            "snapshot", disk.frame(disk.encode_document(Store(None, changesets[:5]).snapshot()))
        )
        again = self.directory()
        self.assertEqual((again.store.revision, [one for _, one in again.store.log]), (7, changesets[5:7]))
        directory._replace_file(
            "snapshot", disk.frame(disk.encode_document(Store(None, changesets[:9]).snapshot()))
        )
        self.assertEqual((self.directory().store.revision, self.directory().store.log), (9, ()))

    def test_proposals_keep_their_order_the_latest_few_and_go_with_their_revision(self):
        directory, first = self.directory(), line(1)[0]
        proposals = [
            ChangeSet(2, digest_of(first), "a", str(i), i, first.changes) for i in range(MAX_PROPOSALS + 3)
        ]
        directory.write([DiskWrite(first)])
        for one in proposals:
            directory.write([DiskWrite(one, is_committed=False)])
        self.assertEqual(self.directory().proposals, proposals[-MAX_PROPOSALS:])
        directory.write([DiskWrite(proposals[0])])
        self.assertEqual(self.directory().proposals, [])

    def test_the_log_is_compacted_and_stays_bounded(self):
        directory, changesets = self.directory(max_log=4), line(40)
        sizes = []
        for one in changesets:
            directory.write([DiskWrite(one)])
            sizes.append((self.path / "log").stat().st_size)
        again = self.directory(max_log=4)
        self.assertEqual(again.store.snapshot(), Store(None, changesets).snapshot())
        self.assertEqual([one for _, one in again.store.log], changesets[-4:])
        self.assertLessEqual(max(sizes), 10 * sizes[0] + 320)

    def test_cut_anywhere_in_the_last_frame_all_before_it_is_there_and_the_tail_is_gone_for_good(self):
        directory, changesets = self.directory(), line(4)
        directory.write([DiskWrite(one) for one in changesets[:2]])
        before = (self.path / "log").stat().st_size
        directory.write([DiskWrite(one) for one in changesets[2:]])
        whole = (self.path / "log").read_bytes()
        torn = [whole[:at] for at in range(before, len(whole))]
        torn += [
            whole[:at] + bytes(len(whole) - at) for at in range(before + disk.HEADER_BYTES, len(whole) - 1, 7)
        ]
        torn += [whole[:before] + bytes(64)]
        for data in torn:
            (self.path / "log").write_bytes(data)
            again = self.directory()
            self.assertEqual(again.store.revision, 2)
            self.assertEqual((self.path / "log").stat().st_size, before)
            again.write([DiskWrite(changesets[2])])
            self.assertEqual(self.directory().store.revision, 3)

    def test_anything_else_that_is_wrong_is_an_error_that_says_where_and_what_to_do(self):
        directory, changesets = self.directory(), line(6)
        directory.write([DiskWrite(changesets[0])])
        directory.write([DiskWrite(changesets[1])])
        directory.write([DiskWrite(changesets[2]), DiskWrite(changesets[4], is_committed=False)])
        log, proposals = (self.path / "log").read_bytes(), (self.path / "offers").read_bytes()
        rng = random.Random(3)
        one = len(disk.frame(disk._encode([disk.encode_document(changesets[0])])))
        for at in sorted(rng.sample(range(2 * one), 60)):
            with self.subTest(at), self.assertRaises(StorageError) as caught:
                (self.path / "log").write_bytes(log[:at] + bytes((log[at] ^ 0x11,)) + log[at + 1 :])
                self.directory()
            self.assertIn("members.m0.disk in ground.toml", str(caught.exception))
            self.assertEqual((self.path / "log").stat().st_size, len(log))  # left for who looks into it
        (self.path / "log").write_bytes(log)
        for name, data in (
            ("offers", proposals[:-1]),
            ("snapshot", b"x"),
            ("snapshot", disk.frame(b"x")),
            ("snapshot", disk.frame(disk.encode_document(Store(None, line(1, 1)).snapshot())) * 2),
            ("log", log[one:]),
            ("log", log + log[:one]),
        ):
            with self.subTest(name), self.assertRaises(StorageError):
                (self.path / name).write_bytes(data)
                self.directory()
            (self.path / "offers").write_bytes(proposals)
            (self.path / "log").write_bytes(log)
            (self.path / "snapshot").unlink(missing_ok=True)
        self.assertEqual(self.directory().store.revision, 3)

    def test_a_disk_that_refuses_is_an_error_of_the_family(self):
        directory = self.directory()
        with (
            mock.patch.object(disk.os, "fsync", side_effect=OSError(28, "No space left on device")),
            self.assertRaises(StorageError) as caught,
        ):
            directory.write([DiskWrite(line(1)[0])])
        self.assertIn("no space left", str(caught.exception))
        (self.path.parent / "file").write_text("")
        with self.assertRaises(StorageError):
            SettingsDirectory(self.path.parent / "file", "m0", "x")


if __name__ == "__main__":
    unittest.main()
