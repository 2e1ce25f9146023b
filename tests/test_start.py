"""A dispatcher that starts with an outdated list, or resumes after a stop, posts to no worker that left."""

import asyncio
import json
import signal

from tests.test_shutdown import Shutdown, job, one_answer


class OutdatedList(Shutdown):
    """The `known` list has a worker that discovery's list lacks; the tests write discovery's answers."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.calls: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def tells_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        self.calls.put_nowait(writer)
        await reader.read()

    def row(self, i: int, status: str = "active") -> dict[str, object]:
        return {
            "name": f"w{i}",
            "address": self.listed[i],
            "zone": "a",
            "type": "m1",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }

    def line(self, index: int, is_snapshot: bool, *rows: dict[str, object]) -> bytes:
        data = json.dumps({"index": index, "snapshot": is_snapshot, "endpoints": list(rows)}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(data), data)

    async def start_with_known(self) -> None:
        """Start the process with w0 and w1 in its `known` list."""
        workers = await self.workers(2)
        await self.start(*workers, ready=False)
        await self.gone()
        config = self.folder / "config.json"
        config_json = json.loads(config.read_text())
        config_json["known"] = {"index": 4, "snapshot": True, "endpoints": [self.row(0), self.row(1)]}
        config.write_text(json.dumps(config_json))
        while not self.calls.empty():
            self.calls.get_nowait()
        await self.spawn(config, {})

    async def discovery_call(self) -> asyncio.StreamWriter:
        return await asyncio.wait_for(self.calls.get(), 20.0)

    HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def connect_with_retry(self, data: bytes) -> asyncio.StreamReader:
        async with asyncio.timeout(20.0):
            while True:
                try:
                    return (await self.connect(data))[0]
                except OSError:
                    await asyncio.sleep(0.02)

    async def wait_until_serving(self) -> None:
        async with asyncio.timeout(20.0):
            attempts = 0
            while (await one_answer(await self.connect_with_retry(job(f"c{attempts}"))))[0] != 200:
                attempts += 1
                await asyncio.sleep(0.05)

    async def test_no_posting_is_sent_before_the_list_is_received_and_then_only_to_listed_workers(
        self,
    ) -> None:
        """A list that is out of date after a restart must not be used.

        In the scenario zone+mass, 57 processes that were stopped for 18 s posted 105 times to departed ones.
        """
        await self.start_with_known()
        answers = [await self.connect_with_retry(job(f"a{i}")) for i in range(6)]
        discovery = await self.discovery_call()
        self.assertEqual(dict(self.received_postings), {})
        discovery.write(self.HEAD + self.line(9, True, self.row(1)))
        for answer in answers:
            status, _ = await asyncio.wait_for(one_answer(answer), 20.0)
            self.assertIn(status, (200, 503))
        self.assertGreater(sum(self.received_postings.values()), 0)
        self.assertEqual(self.postings_by_worker["w0"], 0)

    async def test_a_failed_call_to_discovery_does_not_validate_the_known_list(self) -> None:
        await self.start_with_known()
        for i in range(2):
            discovery = await self.discovery_call()
            answer = await self.connect_with_retry(job(f"b{i}", within=400))
            discovery.transport.abort()
            self.assertEqual((await asyncio.wait_for(one_answer(answer), 20.0))[0], 503)
            self.assertEqual(dict(self.received_postings), {})
        (await self.discovery_call()).write(self.HEAD + self.line(9, True, self.row(1)))
        await self.wait_until_serving()
        self.assertEqual(self.postings_by_worker["w0"], 0)

    async def test_a_resumed_process_applies_received_list_updates_before_it_posts(self) -> None:
        await self.start_with_known()
        discovery = await self.discovery_call()
        discovery.write(self.HEAD + self.line(9, True, self.row(0)))
        await self.wait_until_serving()
        before = self.postings_by_worker["w0"]
        self.program.send_signal(signal.SIGSTOP)
        try:
            discovery.write(self.line(10, False, self.row(0, "leaving")))
            await discovery.drain()
            answers = [await self.connect_with_retry(job(f"d{i}", within=500)) for i in range(20)]
        finally:
            self.program.send_signal(signal.SIGCONT)
        for answer in answers:
            self.assertEqual((await asyncio.wait_for(one_answer(answer), 20.0))[0], 503)
        self.assertEqual(self.postings_by_worker["w0"], before)

    @property
    def postings_by_worker(self) -> dict[str, int]:
        """How many postings each worker has received, by their heads."""
        return {name: self.posting_counts.get(name, 0) for name in ("w0", "w1")}

    async def work(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; count the postings of this worker by the heads that are read."""
        test_case = self

        class CountingReader:
            async def readuntil(self, end: bytes) -> bytes:
                head = await reader.readuntil(end)
                if head.startswith(b"POST"):
                    test_case.posting_counts[name] = test_case.posting_counts.get(name, 0) + 1
                return head

            def __getattr__(self, attribute: str) -> object:
                return getattr(reader, attribute)

        await super().work(name, CountingReader(), writer)  # type: ignore[arg-type]

    posting_counts: dict[str, int]

    def setUp(self) -> None:
        self.posting_counts = {}
