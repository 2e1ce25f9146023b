"""Stand-ins for the cases: discovery, workers, clients and the platform, by the operators' protocol page.

They live in the process of a case, on loopback addresses and the real clock; the dispatchers are processes of
their own, started by the `run` line of the deploy file. Where a page is silent the stand-ins act as a sound
peer would.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
OK, ACCEPTED, NO_CONTENT, NOT_FOUND = 200, 202, 204, 404
CALLBACK_TRIES = 10  # PROTOCOL: "It tries each call until it is answered, ten times at most"
CALLBACK_PATIENCE = 1.0  # seconds for the answer to one try
CALLBACK_PAUSE = 0.1  # seconds between two tries
BEAT = 2.0  # seconds; PROTOCOL: "While nothing changes, an empty line comes every 2 s"
READY_WITHIN = 30.0  # seconds; FLEET: a dispatcher is ready within 30 s
CASE_WITHIN = 100.0  # seconds; the issue: a case runs for 120 seconds at most
# Below the ports that the system deals out by itself, so that nothing else gets one while a process restarts.
FIRST_PORT, LAST_PORT = 12_000, 30_000


class CouldNotRunError(Exception):
    """The case could not be set up; that says nothing of the rule."""


def with_trouble() -> bool:
    """Return whether the disruption is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback that nobody has now."""
    for _ in range(1000):
        port = random.randint(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port
    raise CouldNotRunError("no free port")


class Record:
    """What was sent, answered and run, in order, for `record.txt`."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Add a line with the time."""
        self.lines.append(f"{self.now():8.3f}  {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


@dataclass
class HttpMessage:
    """One request or one answer."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read one whole message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rest)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(first, headers, body)


def request_bytes(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of one request."""
    rows = {"Host": "app.svc", **headers, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


def answer_bytes(status: int, body: bytes = b"") -> bytes:
    """Return the bytes of one answer."""
    return f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def call(address: str, data: bytes) -> HttpMessage:
    """Send one request on a connection of its own, and return its answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(data)
        return await read_message(reader)
    finally:
        writer.close()


@dataclass(eq=False)
class Worker:
    """A worker: it takes jobs, begins each at once and tells its end by a callback.

    Attributes:
        record: Where all is written down.
        name: Its name in the list.
        work_s: The seconds that a job runs.
        slots: The jobs that it reports to run at once.
        answer_delay: The seconds from a request to its answer.
        second_answer_after: The seconds after an answer at which the same answer comes once more on that
            connection; None: never.
        remembers_s: For so many seconds it drops a repeat of a request, by its id: the result of the one
            effect is told again.
        make_result: What a request's result is.
        ports: Where it listens, by the dispatcher that this address is for.
        runs: The id, the body and the beginning of each effect.
        results: The results of ended jobs, by id.
    """

    record: Record
    name: str
    work_s: float = 1.0
    slots: int = 8
    answer_delay: float = 0.0
    second_answer_after: float | None = None
    remembers_s: float = 0.0
    make_result: Callable[[HttpMessage], str] = lambda request: f"result for {request.body.decode()}"
    ports: dict[str, int] = field(default_factory=dict)
    runs: list[tuple[str, bytes, float]] = field(default_factory=list)
    results: dict[str, str] = field(default_factory=dict)
    _tasks: set[asyncio.Future[None]] = field(default_factory=set)
    _done: dict[str, asyncio.Event] = field(default_factory=dict)

    async def listen(self, callbacks_to: str) -> None:
        """Listen at an address of its own for one dispatcher, whose callbacks go to `callbacks_to`."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, callbacks_to)

        port = free_port()
        await asyncio.start_server(serve, HOST, port)
        self.ports[callbacks_to] = port

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something beside the rest."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def held(self) -> int:
        """The jobs that have begun and not ended."""
        return len({tag for tag, _, _ in self.runs}) - len(self.results)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, callbacks_to: str
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                if self.answer_delay:
                    await asyncio.sleep(self.answer_delay)
                status, body = self._take(request, callbacks_to)
                data = answer_bytes(status, body)
                writer.write(data)
                self.record.add(f"{self.name} answers {request.method} {request.target}: {status} {body!r}")
                if self.second_answer_after is not None:
                    self.spawn(self._answer_again(writer, data, request))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_again(self, writer: asyncio.StreamWriter, data: bytes, request: HttpMessage) -> None:
        await asyncio.sleep(self.second_answer_after or 0.0)
        if not writer.is_closing():
            writer.write(data)
            self.record.add(f"{self.name} answers {request.method} {request.target} a second time")

    def _take(self, request: HttpMessage, callbacks_to: str) -> tuple[int, bytes]:
        if request.method == "POST":
            tag = request.headers["req-id"]
            since = self.record.now() - self.remembers_s
            if any(tag == one and at > since for one, _, at in self.runs):
                self.record.add(f"{self.name} drops {request.target} {request.body!r}: {tag} is a repeat")
                self.spawn(self._tell_known(tag, callbacks_to))
                return ACCEPTED, b""
            self.runs.append((tag, request.body, self.record.now()))
            self.record.add(f"{self.name} runs {tag} {request.body!r}")
            self.spawn(self._run(tag, self.make_result(request), callbacks_to))
            return ACCEPTED, b""
        if request.method == "GET" and request.target.startswith("/jobs/"):
            return self._tell_lease(request.target)
        if request.method == "GET" and request.target == "/status/load":
            free = max(0, self.slots - self.held)
            return OK, f"x0={free},queue=0,inflight={self.held}".encode()
        is_known = request.method == "DELETE" or request.target == "/health"
        return (OK if is_known else NOT_FOUND), b""

    def _tell_lease(self, target: str) -> tuple[int, bytes]:
        """What became of a lease (the project's docs/jobs.md, "After a restart")."""
        tag, _, fence = target.removeprefix("/jobs/").partition("?fence=")
        if tag in self.results:
            told: dict[str, Any] = {"state": "done", "result": self.results[tag]}
        elif any(tag == one for one, _, _ in self.runs):
            told = {"state": "running"}
        else:
            told = {"state": "never", "fence": int(fence)}
        return OK, json.dumps(told).encode()

    async def _run(self, tag: str, result: str, callbacks_to: str) -> None:
        await asyncio.sleep(self.work_s)
        self.results[tag] = result
        self._done.setdefault(tag, asyncio.Event()).set()
        self.record.add(f"{self.name} has done {tag}: {result!r}")
        await self._tell({"id": tag, "from": self.name, "state": "done", "result": result}, callbacks_to)

    async def _tell_known(self, tag: str, callbacks_to: str) -> None:
        await self._done.setdefault(tag, asyncio.Event()).wait()
        told = {"id": tag, "from": self.name, "state": "done", "result": self.results[tag]}
        await self._tell(told, callbacks_to)

    async def _tell(self, what: dict[str, Any], callbacks_to: str) -> None:
        data = request_bytes("POST", "/callback", {}, json.dumps(what).encode())
        for _ in range(CALLBACK_TRIES):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                async with asyncio.timeout(CALLBACK_PATIENCE):
                    answer = await call(callbacks_to, data)
                if answer.status in (OK, NO_CONTENT):
                    return
            await asyncio.sleep(CALLBACK_PAUSE)
        self.record.add(f"{self.name} gives up its callback for {what['id']}")


class Discovery:
    """The list of workers for one dispatcher, which does not change while a case runs."""

    def __init__(self, workers: list[Worker], dispatcher: str) -> None:
        """Make the list as that dispatcher, by its address, is to have it."""
        self.port = free_port()
        self.list = {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": worker.name,
                    "address": f"{HOST}:{worker.ports[dispatcher]}",
                    "zone": "a",
                    "type": "m1",
                    "group": 1,
                    "status": "active",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for worker in workers
            ],
        }

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def chunk(data: bytes) -> None:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

        try:
            request = await read_message(reader)
            if "stream=1" in request.target:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                chunk(json.dumps(self.list).encode() + b"\n")
                while True:
                    await asyncio.sleep(BEAT)
                    chunk(b"\n")
                    await writer.drain()
            writer.write(answer_bytes(OK, json.dumps(self.list).encode()))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Program:
    """One process of the project, started by a line of the shell as the platform does."""

    def __init__(self, record: Record, folder: Path, name: str, words: str) -> None:
        """Take what is needed to start it.

        Args:
            record: Where all is written down.
            folder: A temporary folder.
            name: Its name in the record.
            words: What stands behind the deploy file's `run` line.
        """
        self.record, self.name = record, name
        self.line = f"{tomllib.loads((ROOT / 'deploy/balancer.toml').read_text())['run']}{words}"
        self.environment = {**os.environ, "TMPDIR": str(folder)}
        self.log_path = folder / f"{name}.log"
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        """Where a dispatcher's clients connect."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.line, cwd=ROOT, env=self.environment, stdout=log, stderr=log
            )
        self.record.add(f"{self.name} is started")

    async def wait_until_ready(self) -> None:
        """Wait until a dispatcher says that it can serve."""
        deadline = time.monotonic() + READY_WITHIN
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await call(self.address, request_bytes("GET", "/ready", {}))).status == OK:
                    self.record.add(f"{self.name} is ready")
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} is not ready: {self.log_path.read_text()[-2000:]}")

    async def kill(self) -> None:
        """Kill it."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
            self.record.add(f"{self.name} is killed")


@dataclass
class Stage:
    """What a case has to work with.

    Attributes:
        record: Where all is written down.
        folder: A temporary folder.
        programs: The processes to end with the case.
    """

    record: Record
    folder: Path
    programs: list[Program] = field(default_factory=list)

    async def start_by_charter(self, name: str, charter: str, workers: list[Worker], **more: str) -> Program:
        """Start a dispatcher by an operator's file, in which {listen} and the like are filled in."""
        path = self.folder / f"{name}.toml"
        program = Program(self.record, self.folder, name, f" serve {path}")
        self.programs.append(program)
        for worker in workers:
            await worker.listen(program.address)
        discovery = Discovery(workers, program.address)
        await discovery.start()
        told = {"name": name, "listen": program.address, "discovery": discovery.address, **more}
        path.write_text(charter.format(folder=self.folder, **told))
        await program.start()
        await program.wait_until_ready()
        return program


def main(case: Callable[[Stage], Awaitable[bool]], here: Path) -> None:
    """Run a case, write its record, end all that it started, and exit as the cases do.

    Args:
        case: Returns whether the rule held.
        here: The case's folder.
    """
    record = Record(here / "record.txt")

    async def run(folder: str) -> int:
        stage = Stage(record, Path(folder))
        try:
            async with asyncio.timeout(CASE_WITHIN):
                return HELD if await case(stage) else BROKEN
        except (CouldNotRunError, OSError, TimeoutError) as fault:
            record.add(f"{type(fault).__name__}: {fault}")
            return COULD_NOT_RUN
        finally:
            for program in stage.programs:
                await program.kill()
            await asyncio.sleep(0.1)  # for the stand-ins to see the ends of their connections

    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(run(folder))
    record.add({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "the case could not run"))
    record.write()
    print("\n".join(record.lines[-8:]))
    sys.exit(code)
