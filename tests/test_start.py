"""A process begins with an old `known`, or was stopped and goes on: nothing new goes to who has left meanwhile."""

import asyncio
import json
import signal

from tests.test_shutdown import Shutdown, job, one_answer


class OldKnown(Shutdown):
    """Its `known` has a worker that discovery's list has no more; discovery's answers are held back."""

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

    def line(self, index: int, whole: bool, *rows: dict[str, object]) -> bytes:
        said = json.dumps({"index": index, "snapshot": whole, "endpoints": list(rows)}).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(said), said)

    async def begins(self) -> None:
        """With w0 and w1 known from before."""
        workers = await self.workers(2)
        await self.start(*workers, ready=False)
        await self.gone()
        config = self.folder / "config.json"
        told = json.loads(config.read_text())
        told["known"] = {"index": 4, "snapshot": True, "endpoints": [self.row(0), self.row(1)]}
        config.write_text(json.dumps(told))
        while not self.calls.empty():
            self.calls.get_nowait()
        await self.spawn(config, {})

    async def called(self) -> asyncio.StreamWriter:
        return await asyncio.wait_for(self.calls.get(), 20.0)

    HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def connected(self, data: bytes) -> asyncio.StreamReader:
        async with asyncio.timeout(20.0):
            while True:
                try:
                    return (await self.connect(data))[0]
                except OSError:
                    await asyncio.sleep(0.02)

    async def served(self) -> None:
        async with asyncio.timeout(20.0):
            tries = 0
            while (await one_answer(await self.connected(job(f"c{tries}"))))[0] != 200:
                tries += 1
                await asyncio.sleep(0.05)

    async def test_nothing_goes_out_before_the_list_is_had_and_then_to_who_is_there(self) -> None:
        """zone+mass: 57 processes that were away for 18 s posted 105 times to workers that had left meanwhile."""
        await self.begins()
        answers = [await self.connected(job(f"a{i}")) for i in range(6)]
        discovery = await self.called()
        self.assertEqual(dict(self.begun), {})
        discovery.write(self.HEAD + self.line(9, True, self.row(1)))
        for answer in answers:
            status, _ = await asyncio.wait_for(one_answer(answer), 20.0)
            self.assertIn(status, (200, 503))
        self.assertGreater(sum(self.begun.values()), 0)
        self.assertEqual(self.at["w0"], 0)

    async def test_a_call_that_fails_proves_nothing_of_the_time_before_the_start(self) -> None:
        await self.begins()
        for i in range(2):
            discovery = await self.called()
            answer = await self.connected(job(f"b{i}", within=400))
            discovery.transport.abort()
            self.assertEqual((await asyncio.wait_for(one_answer(answer), 20.0))[0], 503)
            self.assertEqual(dict(self.begun), {})
        (await self.called()).write(self.HEAD + self.line(9, True, self.row(1)))
        await self.served()
        self.assertEqual(self.at["w0"], 0)

    async def test_stopped_and_going_on_it_reads_what_it_was_told_before_it_posts(self) -> None:
        await self.begins()
        discovery = await self.called()
        discovery.write(self.HEAD + self.line(9, True, self.row(0)))
        await self.served()
        before = self.at["w0"]
        self.program.send_signal(signal.SIGSTOP)
        try:
            discovery.write(self.line(10, False, self.row(0, "leaving")))
            await discovery.drain()
            answers = [await self.connected(job(f"d{i}", within=500)) for i in range(20)]
        finally:
            self.program.send_signal(signal.SIGCONT)
        for answer in answers:
            self.assertEqual((await asyncio.wait_for(one_answer(answer), 20.0))[0], 503)
        self.assertEqual(self.at["w0"], before)

    @property
    def at(self) -> dict[str, int]:
        """Postings that came whole, by worker."""
        return {name: self.worked.get(name, 0) for name in ("w0", "w1")}

    async def work(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, job upon job: the head that is read here tells whose it is."""
        story = self

        class Counting:
            async def readuntil(self, end: bytes) -> bytes:
                head = await reader.readuntil(end)
                if head.startswith(b"POST"):
                    story.worked[name] = story.worked.get(name, 0) + 1
                return head

            def __getattr__(self, asked: str) -> object:
                return getattr(reader, asked)

        await super().work(name, Counting(), writer)  # type: ignore[arg-type]

    worked: dict[str, int]

    def setUp(self) -> None:
        self.worked = {}
