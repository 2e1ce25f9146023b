"""The ids of durable jobs: no two dispatchers, lives or stores may give one id to two jobs."""

import asyncio
import contextlib
import json
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pathsaddle.config.dispatcher import ConfiguredDispatcher
from pathsaddle.jobs.job_service import JobService
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.wire.birth import birth
from pathsaddle.net.wire.forms import ListRow
from pathsaddle.net.wire.http import Message
from pathsaddle.scheduler_types import ListUpdate, Worker
from tests.test_config_reload import BASE
from tests.test_txn_service import PlayedWorkers

JOBS = 20


@contextlib.contextmanager
def job_service(folder: Path, **configuration: Any) -> Iterator[JobService]:
    """The service of a dispatcher that is configured as operators do it, ready for submissions."""
    path = folder / "charter.json"
    path.write_text(json.dumps({**BASE, "jobs": {"path": str(folder / "jobs.db")}, **configuration}))
    dispatcher = ConfiguredDispatcher(path)
    dispatcher.open_log = lambda: None  # type: ignore[method-assign]  # the log of the tests stays as it is
    born = birth(dispatcher.told())
    workers: Any = PlayedWorkers()
    service = dispatcher.service(
        born.scheduler, born.decoder, born.seed, Clock(), workers, Counters(), lambda: None
    )
    assert isinstance(service, JobService)
    service.listed(ListUpdate.COMPLETE, [ListRow(Worker("w0"), "x:1")])
    service.recovery.is_done = True
    try:
        yield service
    finally:
        service.store.close()


async def submitted_ids(service: JobService) -> list[str]:
    """The ids that clients are told for some submissions, each under a key of its own."""
    told: list[str] = []
    for number in range(JOBS):
        headers = {b"req-owner": b"acme", b"idempotency-key": b"k%d" % number}
        call = Message(b"POST", b"/jobs/charge", headers=headers, raw_headers=list(headers.items()))
        service.take(call, lambda status, body, *_: told.append(json.loads(body)["id"]))
    async with asyncio.timeout(20.0):
        await asyncio.gather(*service._tasks)
    assert len(told) == JOBS
    return told


class JobIds(unittest.IsolatedAsyncioTestCase):
    def folder(self) -> Path:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return Path(directory.name)

    async def ids(self, folder: Path, **configuration: Any) -> list[str]:
        with job_service(folder, **configuration) as service:
            return await submitted_ids(service)

    async def test_dispatchers_with_one_seed_give_no_job_the_same_id(self) -> None:
        """Two clients' jobs had one id: the second got the first one's result, and never ran (review/6)."""
        for seeds in ({}, {"seed": "7"}):
            ids = [
                job_id
                for name in ("n0", "n1", "n2")
                for job_id in await self.ids(self.folder(), name=name, **seeds)
            ]
            self.assertEqual(len(set(ids)), 3 * JOBS, seeds)

    async def test_a_store_that_was_lost_or_restored_gives_no_id_again(self) -> None:
        """Workers still know the ids of before: the same store file, begun anew, repeated all of them."""
        folder = self.folder()
        before = await self.ids(folder)
        for file in folder.glob("jobs.db*"):
            file.unlink()
        self.assertFalse(set(before) & set(await self.ids(folder)))
