"""Case 2: some hundreds of clients that stop inside a request's head take more than the memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import string
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402  # the stand-ins lie beside the cases, in no package

MEMORY_MB = 128  # of the 32 to 192 MB that the pages name; 192 are passed too
BAD_CLIENTS = 330  # less than the third of 1,024 descriptors that clients hold at most for requests
HEAD_BYTES = 16_200  # that a bad client sends of its head before it stops
USUAL_CLIENTS = 10
BEGINS_AT, LASTS = 2.0, 8.0  # seconds
OWED_WITHIN = 3.0  # seconds in which a bad client is owed an error or a close
LOOK_INTERVAL = 0.02  # seconds between two looks of the platform at the memory
PAGE = 4096
TOKEN_CHARACTERS = string.ascii_lowercase + string.digits + "!#$%&'*+-.^_`|~"


def half_a_head() -> bytes:
    """Return the beginning of a request whose head has many short lines and no end."""
    lengths = (itertools.product(TOKEN_CHARACTERS, repeat=length) for length in (2, 3))
    names = map("".join, itertools.chain.from_iterable(lengths))
    head = b"POST /prop-lookup HTTP/1.1\r\nHost: app.svc\r\n"
    while len(head) < HEAD_BYTES:
        head += f"{next(names)}:\r\n".encode()
    return head


class Platform:
    """The platform's limit: over `memory_mb` the dispatcher is killed."""

    def __init__(self, record: s.Record, dispatcher: s.Dispatcher) -> None:
        self.record = record
        self.dispatcher = dispatcher
        self.peak = 0.0
        self.is_killed = False

    def memory(self) -> float:
        """Return the dispatcher's own resident pages, without those that it shares, in MB."""
        try:
            text = Path(f"/proc/{self.dispatcher.pid}/statm").read_text()
        except OSError:
            return 0.0
        resident, shared = text.split()[1:3]
        return (int(resident) - int(shared)) * PAGE / 1e6

    async def watch(self) -> None:
        """Look at the memory until the dispatcher has ended."""
        while self.dispatcher.exit_code is None:
            memory = self.memory()
            self.peak = max(self.peak, memory)
            if memory > MEMORY_MB and not self.is_killed:
                self.is_killed = True
                self.record.line(f"platform: {memory:.0f} MB are over the limit of {MEMORY_MB} MB: killed")
                self.dispatcher.send_signal(signal.SIGKILL)
            await asyncio.sleep(LOOK_INTERVAL)


class Clients:
    """The usual clients, and the bad ones."""

    def __init__(self, record: s.Record, dispatcher: s.Dispatcher) -> None:
        self.record = record
        self.dispatcher = dispatcher
        self.answered = self.lost = self.ended = 0

    async def usual(self, number: int, until: float) -> None:
        """Send one job after another on a connection."""
        connection = await s.Connection(self.dispatcher.port).open()
        count = 0
        while self.record.now() < until:
            count += 1
            try:
                await connection.call(s.job(f"u{number:x}-{count:x}", "prop-lookup", 10000, b"x"))
                self.answered += 1
            except (OSError, EOFError, asyncio.IncompleteReadError) as fault:
                self.lost += 1
                self.record.line(f"usual client {number}: job {count} LOST: {type(fault).__name__}")
                return
        connection.writer.close()

    async def bad(self, head: bytes) -> None:
        """Send half a head and stay, as long as the dispatcher lets it."""
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError, TimeoutError):
            connection = await s.Connection(self.dispatcher.port).open()
            connection.writer.write(head)
            async with asyncio.timeout(2 * OWED_WITHIN):
                await connection.reader.read()
            connection.writer.close()
        self.ended += 1


def take(worker: s.Worker, request_id: str, _headers: s.Headers) -> tuple[int, str]:
    """Run a job for half a second."""

    async def run() -> None:
        """Run the job to its end."""
        await asyncio.sleep(0.5)
        await worker.call_back(request_id, "done", result=f"done {request_id}")

    worker.start(run())
    return s.ACCEPTED, ""


async def case(record: s.Record, folder: Path) -> int:
    """Serve the usual clients while the bad ones come, and see whether the dispatcher stays alive."""
    discovery = s.Discovery(record)
    await discovery.listen()
    told = s.settings([s.scheme("prop-lookup", "safe", 10.0)])
    dispatcher = s.Dispatcher(record, folder, discovery.address, told, memory_mb=MEMORY_MB)
    workers = [
        s.Worker(name, record, dispatcher.address) for name in ("s-0badcafe", "s-5be2a07c", "s-77c01a2b")
    ]
    for worker in workers:
        worker.is_quiet = True
        worker.on_job = take
        worker.load = lambda: "x0=8,waiting=0,active=1"
        await worker.listen()
        await discovery.put(worker.name, worker.address)
    try:
        await dispatcher.start()
        platform, clients = Platform(record, dispatcher), Clients(record, dispatcher)
        watch = asyncio.create_task(platform.watch())
        record.line(f"at rest: {platform.memory():.0f} MB; {USUAL_CLIENTS} usual clients begin")
        until = record.now() + LASTS
        tasks = [asyncio.create_task(clients.usual(number, until)) for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(BEGINS_AT)
        if s.has_trouble:
            head = half_a_head()
            record.line(f"TROUBLE: {BAD_CLIENTS} clients send {len(head)} bytes of a head each, and stay")
            tasks += [asyncio.create_task(clients.bad(head)) for _ in range(BAD_CLIENTS)]
        await asyncio.gather(*tasks)
        code = dispatcher.exit_code
        record.line(
            f"jobs answered: {clients.answered}, lost: {clients.lost}; bad clients ended: {clients.ended}"
        )
        record.line(f"peak: {platform.peak:.0f} MB of {MEMORY_MB} MB; the dispatcher runs: {code is None}")
    finally:
        await dispatcher.stop()
        for server in (*workers, discovery):
            await server.close()
    await watch
    if not clients.answered:
        return s.NOT_RUN
    return s.BROKEN if code is not None or clients.lost else s.HELD


s.run_case(FOLDER, case)
