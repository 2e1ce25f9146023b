"""Stand-ins for the platform, clients and workers, by the operators' protocol page.

Every case of the review starts a dispatcher with the `run` line of the deploy file and speaks to it over the
loopback. The stand-ins keep connections, answer at once and repeat a callback until it is answered, ten times
at most. They record what they sent and received in the case's `record.txt`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CALLBACK_TRIES = 10  # as the protocol page says
CALLBACK_TIMEOUT = 5.0  # seconds that a worker waits for the answer to a callback
CALLBACK_PAUSE = 1.0  # seconds between two tries of a callback
BEAT_INTERVAL = 2.0  # seconds between the empty lines of a watch
START_TIMEOUT = 30.0  # seconds in which a dispatcher has to be ready
EXIT_TIMEOUT = 8.0  # seconds after SIGTERM before SIGKILL
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case
OK, ACCEPTED, NO_CONTENT = 200, 202, 204
Headers = dict[str, str]
SECOND_NS = 1_000_000_000

has_trouble = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of `record.txt`, each with the seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._begun_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._begun_at

    def line(self, text: str) -> float:
        """Write a line, and return its time."""
        now = self.now()
        self._file.write(f"{now:9.3f} {text}\n")
        return now


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Read one HTTP message with a Content-Length: its first line, its headers in lower case, its body.

    Raises:
        EOFError: The connection ended before the message was whole.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def response(status: int, body: bytes = b"", extra: str = "") -> bytes:
    """Return the bytes of an HTTP answer."""
    length = "" if status == NO_CONTENT else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} X\r\n{extra}{length}\r\n".encode("latin-1") + body


def job(request_id: str, scheme: str, deadline_ms: int, body: bytes = b"", extra: str = "") -> bytes:
    """Return the bytes of a client's request."""
    head = (
        f"POST /{scheme} HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {request_id}\r\nReq-Kind: {scheme}\r\n"
        f"Req-Owner: acme\r\nReq-Deadline-Ms: {deadline_ms}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def free_port() -> int:
    """Return a free TCP port of the loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A listener whose connections are served one message after another, and closed at the end."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    async def listen(self) -> None:
        """Listen on a free port of the loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def start(self, work: Awaitable[None]) -> None:
        """Run a coroutine that is cancelled when the server ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End the listener, its connections and its tasks."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class Discovery(Server):
    """Discovery: the list of workers and the watch on it."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.index = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Condition()

    async def put(self, name: str, address: str, **fields: Any) -> None:
        """Add a worker to the list, or change its entry, and tell the watches."""
        row = {
            "name": name,
            "address": address,
            "zone": "a",
            "type": "gen3",
            "group": 0,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }
        async with self._changed:
            self.rows[name] = {**row, **fields}
            self.index += 1
            self.record.line(f"discovery lists {name} {self.rows[name]['status']}")
            self._changed.notify_all()

    def _list(self) -> bytes:
        found = {"index": self.index, "snapshot": True, "endpoints": list(self.rows.values())}
        return json.dumps(found).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call; a watch stays open and has the whole list after each change."""
        first, _, _ = await read_message(reader)
        if "stream=1" not in first:
            writer.write(response(OK, self._list()))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = -1
        while True:
            line = (self._list() if self.index != told else b"") + b"\n"
            told = self.index
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
            await writer.drain()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(BEAT_INTERVAL), self._changed:
                    await self._changed.wait_for(lambda told=told: self.index != told)  # type: ignore[misc]


class Worker(Server):
    """A worker: `on_job` decides what becomes of each attempt; `load` is its load report."""

    def __init__(self, name: str, record: Record, callbacks_to: str) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.callbacks_to = callbacks_to
        self.load: Callable[[], str] = lambda: "x0=2,waiting=0,active=0"
        self.on_job: Callable[[Worker, str, Headers], tuple[int, str]] = lambda worker, request_id, headers: (
            ACCEPTED,
            "",
        )
        self.attempts = 0
        self._kept: list[Connection] = []
        self.is_quiet = False  # callbacks that are answered at once stand in no record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer attempts, withdrawals and probes, one after another."""
        while True:
            first, headers, _ = await read_message(reader)
            method, path, *_ = first.split()
            if method == "POST":
                self.attempts += 1
                status, extra = self.on_job(self, headers.get("req-id", ""), headers)
                writer.write(response(status, extra=extra))
            elif method == "DELETE":
                self.record.line(f"{self.name} is told to give up {path}")
                writer.write(response(NO_CONTENT))
            else:
                writer.write(response(OK, self.load().encode()))
            await writer.drain()

    async def call_back(self, request_id: str, state: str, **fields: Any) -> None:
        """Tell what became of a job, again and again until it is answered, ten times at most."""
        body = json.dumps({"id": request_id, "from": self.name, "state": state, **fields}).encode()
        for number in range(1, CALLBACK_TRIES + 1):
            if not self.is_quiet:
                self.record.line(f"{self.name} calls back: {request_id} {state} (try {number})")
            try:
                async with asyncio.timeout(CALLBACK_TIMEOUT):
                    status = await self._call(body)
                if status in (OK, NO_CONTENT):
                    if not self.is_quiet:
                        self.record.line(f"{self.name} has its answer to: {request_id} {state}")
                    return
            except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError) as fault:
                self.record.line(
                    f"{self.name} has no answer to: {request_id} {state}: {type(fault).__name__}"
                )
            await asyncio.sleep(CALLBACK_PAUSE)

    async def _call(self, body: bytes) -> int:
        """Make one callback on a kept connection, or on a new one, and return the status of its answer."""
        host, _, port = self.callbacks_to.rpartition(":")
        while self._kept and self._kept[-1].reader.at_eof():
            self._kept.pop().writer.close()
        connection = self._kept.pop() if self._kept else await Connection(int(port), host).open()
        head = f"POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            status, _, headers = await connection.call(head.encode() + body)
        except BaseException:
            connection.writer.close()
            raise
        if headers.get("connection", "") == "close":
            connection.writer.close()
        else:
            self._kept.append(connection)
        return status

    async def close(self) -> None:
        """End the listener, its connections and its tasks."""
        await super().close()
        for connection in self._kept:
            connection.writer.close()


class Connection:
    """A connection to the dispatcher, of a client or of a worker that calls back."""

    def __init__(self, port: int, host: str = "127.0.0.1") -> None:
        self._host, self._port = host, port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def open(self) -> Connection:
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection(self._host, self._port)
        return self

    async def call(self, request: bytes) -> tuple[int, bytes, Headers]:
        """Send a request and wait for its answer."""
        self.writer.write(request)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, Headers]:
        """Wait for the next answer."""
        first, headers, body = await read_message(self.reader)
        return int(first.split()[1]), body, headers


def scheme(name: str, semantics: str, expiry: float, **fields: Any) -> dict[str, Any]:
    """Return a scheme of the settings; `expiry` is in seconds."""
    row = {
        "Expiry": int(expiry * SECOND_NS),
        "Group": "all",
        "Name": name,
        "OverdueValue": 0.25,
        "Semantics": semantics,
        "SlaTime": 800_000_000,
        "Streaming": False,
        "Value": 3.0,
        "Window": 5 * SECOND_NS,
    }
    return {**row, **fields}


def settings(schemes: list[dict[str, Any]], **limits: Any) -> dict[str, Any]:
    """Return settings of the form and figures that the wire page shows for a small deployment."""
    return {
        "Azs": ["a"],
        "Balancers": 1,
        "Clients": {"MarksRetry": False},
        "Customers": [{"AllowancePerS": 27.0, "Name": "acme", "Portion": 1.0}],
        "Discovery": "subscribe",
        "ExcessValue": 0.1,
        "FamilyInfo": {
            "ClassKind": [-1] * len(schemes),
            "ClassPriority": [0] * len(schemes),
            "ClassStretch": [1.25] * len(schemes),
            "Progress": 2 * SECOND_NS,
            "QueueOrder": "fifo",
            "ReportX0": "free slots",
            "TellsStart": False,
        },
        "Kinds": ["gen3", "gen2"],
        "Limits": {
            "Cancelling": True,
            "ConnectTimeout": 250_000_000,
            "CpuUsPerRequest": 0.0,
            "CpuUsPerS": 500_000,
            "IdleClose": 60 * SECOND_NS,
            "MaxPostings": 4,
            "MaxRetryAfter": 2 * SECOND_NS,
            "MayDuplicate": True,
            "OpenCap": 20000,
            "Peers": False,
            "Probing": True,
            "RetryAfter": True,
            "StreamsPerConn": 1,
            **limits,
        },
        "Me": 0,
        "ObjectiveMix": {"Whole": 0.6, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.1},
        "Obligations": {
            "AnswerSlack": 8_000_000,
            "AskEvery": 10 * SECOND_NS,
            "ColdShare": 0.3,
            "DrainGrace": 500_000_000,
            "Fall": 2 * SECOND_NS,
            "FallMultiple": 4.0,
            "RampTime": 9 * SECOND_NS,
        },
        "Period": 2_000_000,
        "Prices": {"Connection": 0.0, "CrossZone": 0.12, "LateFail": 0.03, "Probe": 0.002, "Waste": 0.02},
        "Report": {"Fields": ["x0", "waiting", "active"], "Source": "answers"},
        "Schemes": schemes,
        "Stage": 0,
        "Tiers": ["calc-fleet"],
        "ValueBasis": "work",
        "WeightSource": "none",
        "Workload": "jobs",
        "Zone": 0,
    }


class Dispatcher:
    """The project's dispatcher, started as the deploy file says."""

    def __init__(
        self, record: Record, folder: Path, discovery: str, told: dict[str, Any], **limits: int
    ) -> None:
        self.record = record
        self.port = free_port()
        self._folder = folder
        self._log = folder / "dispatcher.log"
        self._process: asyncio.subprocess.Process | None = None
        self._config = folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": f"{time.time_ns() & 0xFFFFFFFFFFFF:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **limits},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": told,
        }
        self._config.write_text(json.dumps(config))

    @property
    def address(self) -> str:
        """Where clients and callbacks connect."""
        return f"127.0.0.1:{self.port}"

    @property
    def pid(self) -> int:
        """The process's id; 0 before the start."""
        return 0 if self._process is None else self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while it runs."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start it and wait until it is ready.

        Raises:
            RuntimeError: It is not ready in time.
        """
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {**os.environ, "GW_CONFIG": str(self._config), "TMPDIR": str(self._folder)}
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.line(f"dispatcher started: {run}")
        give_up_at = self.record.now() + START_TIMEOUT
        while self.record.now() < give_up_at and self.exit_code is None:
            with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
                connection = await Connection(self.port).open()
                status, _, _ = await connection.call(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                connection.writer.close()
                if status == OK:
                    self.record.line("dispatcher is ready")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the dispatcher is not ready")

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        if self._process is not None and self._process.returncode is None:
            self.record.line(f"dispatcher gets {number.name}")
            self._process.send_signal(number)

    async def stop(self) -> None:
        """End it, and put its last counters into the record."""
        if self._process is None:
            return
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(EXIT_TIMEOUT):
                await self._process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()
        self.record.line(f"dispatcher ended with {self._process.returncode}")
        for line in self._log.read_text(errors="replace").splitlines()[-3:]:
            self.record.line(f"log: {line}")


def run_case(folder: Path, case: Callable[[Record, Path], Awaitable[int]], limit: float = 110.0) -> None:
    """Run a case in a temporary folder, and exit with its code."""
    record = Record(folder)
    record.line(f"trouble: {'yes' if has_trouble else 'no'}")

    async def bounded(temporary: Path) -> int:
        """Run the case within its time; a SIGTERM ends it, and with it what it has started."""
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit):
            return await case(record, temporary)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(bounded(Path(temporary)))
    except (Exception, asyncio.CancelledError) as fault:  # noqa: BLE001  # whatever kept the case from running
        record.line(f"the case could not run: {type(fault).__name__}: {fault}")
        code = NOT_RUN
    record.line(f"exit {code}")
    print((folder / "record.txt").read_text())
    sys.exit(code)
