"""Shared settings' drivers in one event loop: what happens when their own parts fail."""

import asyncio
import tempfile
import time
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from pathsaddle.consensus.udp_driver import monotonic_ticks
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.settings.disk import SettingsDirectory
from pathsaddle.settings.documents import Change, ChangeSet, RevisionId, canonical, digest_of
from pathsaddle.settings.driver_config import DriverConfig
from pathsaddle.settings.errors import StorageError
from pathsaddle.settings.messages import AppliedAck, CommitNotice
from pathsaddle.settings.output import DiskWrite
from pathsaddle.settings.subscriber import ConfigSubscriber
from pathsaddle.settings.subscriber_driver import ConfigSubscriberDriver

KEY = b"sixteen bytes or more"
ONE = ChangeSet(1, "", "a", "r", 0, (Change("customers.a", canonical({"allowance": 9})),))
TWO = ChangeSet(2, digest_of(ONE), "a", "r", 0, (Change("customers.a", canonical({"allowance": 5})),))


class DriverStory(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path, self.seen, self.sent = Path(directory.name) / "m", [], []
        disk = SettingsDirectory(self.path, "m", "x")
        disk.write([DiskWrite(ONE)])
        disk.close()
        config = DriverConfig("m", "r", KEY, "127.0.0.1:0", {"k": "127.0.0.1:9"}, self.path, "members.m in x")
        self.driver = ConfigSubscriberDriver(
            config, Random(1), lambda what, **more: self.seen.append((what, more))
        )
        self.acting = []
        self.driver.listeners.append(lambda acting: self.acting.append(acting.revision))
        await self.driver.begin()

        async def ends():
            await self.driver.end()

        self.addAsyncCleanup(ends)
        sends = self.driver.sock
        self.driver.sock = mock.Mock(wraps=sends, sendto=lambda data, peer: self.sent.append(data))

    async def until(self, holds, bound=20.0):
        end = time.monotonic() + bound
        while not holds():
            self.assertLess(time.monotonic(), end, self.seen)
            await asyncio.sleep(0.01)

    def commits(self):
        self.driver.on_message(CommitNotice("k", RevisionId(2, digest_of(TWO)), (TWO,)))

    async def test_it_acts_and_speaks_by_a_revision_once_that_is_on_disk_and_not_before(self):
        write = self.driver.directory.write
        gate = asyncio.Event()
        loop = asyncio.get_running_loop()

        def slow(writes):
            asyncio.run_coroutine_threadsafe(gate.wait(), loop).result(20)
            write(writes)

        with mock.patch.object(self.driver.directory, "write", slow):
            self.commits()
            await self.until(lambda: self.driver.is_syncing)
            before = list(self.sent)
            self.driver._on_timer()
            self.assertEqual(
                (self.acting, self.driver.acting.revision, self.driver.is_leased()), ([1], 1, False)
            )
            self.assertEqual(self.sent, before)
            gate.set()
            await self.until(lambda: self.driver.acting.revision == 2)
        self.assertEqual(self.acting, [1, 2])
        self.assertGreater(len(self.sent), len(before))

    async def test_a_fault_of_the_core_is_told_by_name_and_it_is_made_anew_from_its_disk(self):
        life = self.driver.incarnation
        with mock.patch.object(ConfigSubscriber, "_on_committed", side_effect=ZeroDivisionError("ours")):
            self.commits()
        self.assertEqual(
            [more["why"] for what, more in self.seen if what == "driver.fault"], ["ZeroDivisionError: ours"]
        )
        self.assertEqual(
            (self.driver.core, self.driver.is_leased(), self.driver.acting.revision), (None, False, 1)
        )
        await self.until(lambda: self.driver.core is not None)
        self.assertGreater(self.driver.incarnation, life)
        self.commits()
        await self.until(lambda: self.acting == [1, 2])

    async def test_a_disk_that_fails_ends_it_with_nothing_said_of_it_and_what_it_acted_by_stays(self):
        sent = []
        with (
            mock.patch.object(self.driver.directory, "write", side_effect=StorageError("full", "make room")),
            mock.patch.object(self.driver, "_carry_out", side_effect=lambda made, acting: sent.append(made)),
        ):
            self.commits()
            await self.until(self.driver.ended.is_set)
        self.assertFalse([one for made in sent for _, one in made.messages if isinstance(one, AppliedAck)])
        self.assertEqual((self.acting, self.driver.acting.revision, self.driver.is_leased()), ([1], 1, False))
        self.assertIsInstance(self.driver.fault, StorageError)
        again = SettingsDirectory(self.path, "m", "x")
        self.addCleanup(again.close)
        self.assertEqual(again.store.revision, 1)

    async def test_what_could_not_be_taken_into_service_is_never_said_to_be(self):
        self.driver.listeners.append(mock.Mock(side_effect=KeyError("theirs")))
        self.sent.clear()
        with mock.patch("pathsaddle.settings.udp_driver.encode", side_effect=lambda sent, key: sent):
            self.commits()
            await self.until(self.driver.ended.is_set)
        self.assertEqual([one for one in self.sent if isinstance(one, AppliedAck)], [])
        self.assertIn("revision 2 could not be taken into service", str(self.driver.fault))
        self.assertFalse(self.driver.is_leased())

    async def test_all_that_it_sends_is_paid_by_its_rate_limiter(self):
        self.driver.rate_limiter = self.driver.core.outbox.rate_limiter = RateLimiter(
            100, 1, monotonic_ticks()
        )  # half of it: not one asking
        self.sent.clear()
        for _ in range(5):
            self.driver.turn(lambda core, now: core.request_sync(now) or now)
        self.assertEqual(self.sent, [])


if __name__ == "__main__":
    unittest.main()
