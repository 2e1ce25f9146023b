"""Case 1: a callback `returned` that is repeated counts for the next attempt, which runs."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins as s  # noqa: E402  # the stand-ins lie beside the cases, in no package

RUN_TIME = 3.0  # seconds that the job runs
FULL_TIME = 0.3  # seconds after its first attempt in which the first worker is full
OTHER_FULL_TIME = 0.9  # the same for the other worker
REQUEST_ID = "9b1f03aa5c7e2d41"


class CallbackPath(s.Server):
    """The way of one worker's callbacks to the dispatcher; it loses the first answer that it carries."""

    def __init__(self, record: s.Record, target: str) -> None:
        super().__init__()
        self.record = record
        self.target = target
        self.is_to_break = s.has_trouble

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one call and its answer."""
        host, _, port = self.target.rpartition(":")
        first, headers, body = await s.read_message(reader)
        to_reader, to_writer = await asyncio.open_connection(host, int(port))
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        to_writer.write(f"{first}\r\n{lines}\r\n".encode() + body)
        answer, _, _ = await s.read_message(to_reader)
        to_writer.close()
        if self.is_to_break:
            self.is_to_break = False
            self.record.line(f"TROUBLE: connection reset before the answer {answer!r} to {body.decode()}")
            s.reset(writer)
            return
        writer.write(s.response(int(answer.split()[1])))
        await writer.drain()


class Fleet:
    """Two workers: the one that gets the first attempt hands it back, full, and has room soon after."""

    def __init__(self, record: s.Record) -> None:
        self.record = record
        self.first: s.Worker | None = None
        self.begun_at = 0.0
        self.runs: list[str] = []
        self.has_run_elsewhere = False

    def is_full(self, worker: s.Worker) -> bool:
        """Return whether a worker has no room now."""
        if self.first is None:
            return False
        limit = FULL_TIME if worker is self.first else OTHER_FULL_TIME
        return self.record.now() < self.begun_at + limit

    def load(self, worker: s.Worker) -> str:
        """Return a worker's load report."""
        return "x0=0,waiting=1,active=2" if self.is_full(worker) else "x0=2,waiting=0,active=0"

    def take(self, worker: s.Worker, request_id: str, _headers: s.Headers) -> tuple[int, str]:
        """Take an attempt: turn it away, hand it back, or run it."""
        if self.first is None:
            self.first, self.begun_at = worker, self.record.now()
            self.record.line(f"{worker.name} takes attempt 1 of {request_id} and hands it back unstarted")
            worker.start(worker.call_back(request_id, "returned", load={"x0": 0, "waiting": 1, "active": 2}))
            return s.ACCEPTED, ""
        if self.is_full(worker):
            self.record.line(f"{worker.name} turns {request_id} away: full")
            return 503, "Srv-Declined: 1\r\nSrv-Load: x0=0,waiting=1,active=2\r\n"
        self.runs.append(worker.name)
        self.record.line(f"{worker.name} takes {request_id} and RUNS it (run {len(self.runs)})")
        worker.start(self.run(worker, request_id))
        return s.ACCEPTED, ""

    async def run(self, worker: s.Worker, request_id: str) -> None:
        """Run a job to its end."""
        await asyncio.sleep(RUN_TIME)
        await worker.call_back(request_id, "done", result=f"done by {worker.name}")


async def case(record: s.Record, folder: Path) -> int:
    """Send one once-only job, and count how often it runs and what its client is told."""
    discovery = s.Discovery(record)
    await discovery.listen()
    told = s.settings([s.scheme("metered-export", "unsafe", 20.0)])
    dispatcher = s.Dispatcher(record, folder, discovery.address, told)
    path = CallbackPath(record, dispatcher.address)
    await path.listen()
    fleet = Fleet(record)
    workers = [s.Worker(name, record, path.address) for name in ("s-0badcafe", "s-5be2a07c")]
    for worker in workers:
        worker.on_job = fleet.take
        worker.load = lambda worker=worker: fleet.load(worker)  # type: ignore[misc]
        await worker.listen()
        await discovery.put(worker.name, worker.address)
    try:
        await dispatcher.start()
        client = await s.Connection(dispatcher.port).open()
        record.line(f"client sends {REQUEST_ID}: metered-export, once-only, 20 s")
        request = s.job(REQUEST_ID, "metered-export", 20000, b"export", "Req-Cost: 3000000\r\n")
        status, body, _ = await client.call(request)
        record.line(f"client is answered {status} {body!r}")
        await asyncio.sleep(RUN_TIME + 1.0)
    finally:
        await dispatcher.stop()
        for server in (*workers, path, discovery):
            await server.close()
    if not fleet.runs:
        record.line("the job never ran: nothing shown")
        return s.NOT_RUN
    is_refused = status in (429, 503)
    record.line(
        f"runs of the once-only job: {len(fleet.runs)} {fleet.runs}; refused while it ran: {is_refused}"
    )
    return s.BROKEN if len(fleet.runs) > 1 or is_refused else s.HELD


s.run_case(FOLDER, case)
