"""Stand-ins for the second review: workers, the ways to them, discovery and clients, all on the loopback.

They follow the operators' protocol page and run in the process of a case. The project's own programs are
processes of their own, started by the command `run` of deploy/balancer.toml. All that is sent, answered and
run goes into a `Record`, which a case judges and writes to `record.txt`. Times are seconds of the monotonic
clock since the start of the record.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
BEAT_S = 2.0  # discovery's empty line while nothing changes
CALLBACK_TRIES = 10  # "ten times at most"
CALLBACK_WAIT_S = 1.0  # between two tries, and for an answer
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case
ACCEPTED, SETTLED, UNAVAILABLE = 202, 200, 503
LONGEST_S = 110.0  # of a case; a script may run for 120 s
SLACK_S = 0.05  # "each time limit is 50 ms longer"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.rows: list[dict[str, Any]] = []
        self.workers: list[Worker] = []  # those of the case, for its judge

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_at

    def add(self, what: str, **more: Any) -> dict[str, Any]:
        """Add a row."""
        row = {"t": round(self.now(), 4), "what": what, **more}
        self.rows.append(row)
        return row

    def of(self, what: str) -> list[dict[str, Any]]:
        """Return the rows of one kind."""
        return [row for row in self.rows if row["what"] == what]


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback that nobody has now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


@dataclass
class Message:
    """An HTTP message as it was read."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a Content-Length; None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    return Message(start, headers, body)


def answer_bytes(status: int, body: bytes = b"") -> bytes:
    """Return an HTTP answer."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


# Workers.


@dataclass(eq=False)
class Attempt:
    """One posting as its worker sees it.

    Attributes:
        came_at: When its last byte had come.
        taken_at: When the worker wrote the 202.
        over_at: When the worker was done with it; None: not yet.
        given_up_at: When a DELETE for it came, or its connection ended before the 202 was written.
        how: How it ended.
    """

    id: str
    worker: str
    number: int
    came_at: float
    taken_at: float | None = None
    over_at: float | None = None
    given_up_at: float | None = None
    how: str = ""


class Memory:
    """What a group of workers remembers against repeats of referenced txns."""

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._first: dict[str, float] = {}

    def is_repeat(self, mark: str, now: float) -> bool:
        """Return whether the mark came within the window, and remember it if not."""
        if mark in self._first and now - self._first[mark] < self.window_s:
            return True
        self._first[mark] = now
        return False


@dataclass
class WorkerManners:
    """How a worker behaves where the settings say it.

    Attributes:
        slots: How many jobs run at once; others wait in order.
        queue: How many may wait; more are turned away.
        progress_s: Between two notes of progress; 0: none.
        tells_start: Whether it tells that a job starts.
        idle_s: It closes a connection that stood idle for so long.
        fields: The names of the figures in its load reports; empty: no reports.
        reports_in_answers: Whether its final callbacks carry a report.
    """

    slots: int = 2
    queue: int = 8
    progress_s: float = 0.0
    tells_start: bool = False
    idle_s: float = 60.0
    fields: tuple[str, ...] = ()
    reports_in_answers: bool = False


class Worker:
    """A sound worker: takes jobs, runs them in order, tells what became of them.

    A job's body is JSON: `ms`, how long it runs, and `mark`, by which repeats are known.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        dispatcher: str,
        manners: WorkerManners,
        memory: Memory | None = None,
    ) -> None:
        self.record, self.name, self.manners, self.memory = record, name, manners, memory
        self.dispatcher = dispatcher  # where its callbacks go
        self.port = 0
        self.delay_s = 0.0  # of the way back to the dispatcher, for callbacks
        self.is_heard = asyncio.Event()  # whether its callbacks pass
        self.is_heard.set()
        self.attempts: list[Attempt] = []
        self.on_run: Callable[[Attempt], None] = lambda attempt: None
        self._running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._telling: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def report(self) -> dict[str, float]:
        """Return its load report."""
        waiting = sum(not one.done() for one in self._waiting)
        figures = {
            "x0": float(max(0, self.manners.slots - self._running)),
            "queue": float(waiting),
            "inflight": float(self._running + waiting),
        }
        return {name: figures[name] for name in self.manners.fields}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                async with asyncio.timeout(self.manners.idle_s):
                    call = await read_message(reader)
                if call is None:
                    return
                method, target, _ = call.start.split(" ")
                if method == "POST":
                    await self._take(call, reader, writer)
                elif method == "DELETE":
                    self._give_up(target.rpartition("/")[2])
                    writer.write(answer_bytes(204))
                else:
                    known = target in {"/health", "/status/load"}
                    body = json.dumps(self.report()).encode() if known else b""
                    writer.write(answer_bytes(SETTLED if known else 404, body))
                await writer.drain()
        except (TimeoutError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _take(self, call: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        attempt = Attempt(call.headers["req-id"], self.name, len(self.attempts), self.record.now())
        self.attempts.append(attempt)
        self.record.add(
            "posting",
            worker=self.name,
            id=attempt.id,
            attempt=attempt.number,
            lease=call.headers.get("job-lease"),
            deadline_ms=call.headers.get("req-deadline-ms"),
        )
        if reader.at_eof():
            attempt.given_up_at = self.record.now()
            self.record.add("closed-before-202", worker=self.name, id=attempt.id, attempt=attempt.number)
            return
        job = json.loads(call.body)
        is_repeat = self.memory is not None and self.memory.is_repeat(job["mark"], self.record.now())
        if self._running >= self.manners.slots and len(self._waiting) >= self.manners.queue:
            attempt.over_at, attempt.how = self.record.now(), "turned away"
            writer.write(b"HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
            self.record.add("turned-away", worker=self.name, id=attempt.id, attempt=attempt.number)
            return
        attempt.taken_at = self.record.now()
        writer.write(answer_bytes(ACCEPTED))
        self.record.add("202", worker=self.name, id=attempt.id, attempt=attempt.number)
        task = asyncio.create_task(self._run(attempt, job, is_repeat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _give_up(self, job_id: str) -> None:
        """A DELETE stops nothing, but gives the attempts up."""
        self.record.add("delete", worker=self.name, id=job_id)
        for attempt in self.attempts:
            if attempt.id == job_id and attempt.over_at is None and attempt.given_up_at is None:
                attempt.given_up_at = self.record.now()

    async def _run(self, attempt: Attempt, job: dict[str, Any], is_repeat: bool) -> None:
        if self._running >= self.manners.slots:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        self._running += 1
        self.record.add(
            "run", worker=self.name, id=attempt.id, attempt=attempt.number, mark=job["mark"], repeat=is_repeat
        )
        self.on_run(attempt)
        ends_at = self.record.now() + job["ms"] / 1000.0
        if self.manners.tells_start:
            self._tell(attempt, {"state": "started"})
        while (left := ends_at - self.record.now()) > 0:
            await asyncio.sleep(min(left, self.manners.progress_s or left))
            if self.manners.progress_s and self.record.now() < ends_at:
                share = 1.0 - (ends_at - self.record.now()) / (job["ms"] / 1000.0)
                self._tell(attempt, {"state": "running", "share": round(share, 3)})
        self._running -= 1
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        attempt.over_at, attempt.how = self.record.now(), "done"
        self.record.add("ran", worker=self.name, id=attempt.id, attempt=attempt.number, repeat=is_repeat)
        told: dict[str, Any] = {"state": "done", "result": f"{self.name} ran {job['mark']}"}
        if self.manners.reports_in_answers:
            told["load"] = self.report()
        self._tell(attempt, told)

    def _tell(self, attempt: Attempt, told: dict[str, Any]) -> None:
        task = asyncio.create_task(self.call_back({"id": attempt.id, "from": self.name, **told}))
        self._telling.add(task)
        task.add_done_callback(self._telling.discard)

    def drop_untold(self) -> None:
        """Its process has died: what it has not told yet is never told."""
        for task in self._telling:
            task.cancel()

    async def call_back(self, told: dict[str, Any]) -> None:
        """Send a callback until it is answered, ten times at most."""
        body = json.dumps(told).encode()
        data = b"POST /callback HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        for _ in range(CALLBACK_TRIES):
            await asyncio.sleep(self.delay_s)
            await self.is_heard.wait()
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(CALLBACK_WAIT_S):
                    host, _, port = self.dispatcher.rpartition(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                    try:
                        writer.write(data)
                        answer = await read_message(reader)
                    finally:
                        writer.close()
                if answer is not None and answer.start.split()[1] in {"200", "204"}:
                    self.record.add("told", worker=self.name, id=told["id"], state=told["state"])
                    return
            await asyncio.sleep(CALLBACK_WAIT_S)
        self.record.add("untold", worker=self.name, id=told["id"], state=told["state"])


class Way:
    """The way from a dispatcher to one worker: a relay that can be slow, or cut.

    A relay cannot delay the handshake of the kernel. After `hold_dials` its accept queue is kept full, so
    that new connections do not come up; those that are open go on, with the delay.
    """

    def __init__(self, port: int) -> None:
        self.target_port, self.port = port, 0
        self.delay_s = 0.0
        self._open = asyncio.Event()
        self._open.set()
        self._holds_dials = False
        self._fillers: list[socket.socket] = []
        self._sock = socket.socket()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._sock.bind((HOST, 0))
        self._sock.setblocking(False)
        self._sock.listen(64)
        self.port = int(self._sock.getsockname()[1])
        self._spawn(self._accept())

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def hold_dials(self) -> None:
        """From now on no new connection comes up."""
        self._holds_dials = True
        self._sock.listen(0)
        for _ in range(8):
            sock = socket.socket()
            sock.setblocking(False)
            self._fillers.append(sock)
            try:
                async with asyncio.timeout(0.1):
                    await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
            except TimeoutError:
                return
        raise CaseError("the accept queue of a way could not be filled")

    def release_dials(self) -> None:
        """New connections come up again."""
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()
        self._sock.listen(64)
        self._holds_dials = False

    async def cut(self) -> None:
        """Cut the machine off: open connections stay open and silent, new ones do not come up."""
        self._open.clear()
        await self.hold_dials()

    def mend(self) -> None:
        """What was sent meanwhile passes now, and new connections come up again."""
        self._open.set()
        self.release_dials()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if self._holds_dials:
                await asyncio.sleep(0.02)
                continue
            # Polled, not awaited: an accept that is pending when the queue is filled would empty it by one.
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            sock.setblocking(False)
            self._spawn(self._relay(loop, sock))

    async def _relay(self, loop: asyncio.AbstractEventLoop, near: socket.socket) -> None:
        far = socket.socket()
        far.setblocking(False)
        try:
            await loop.sock_connect(far, (HOST, self.target_port))
        except OSError:
            near.close()
            far.close()
            return
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self._pump(loop, near, far), self._pump(loop, far, near))
        near.close()
        far.close()

    async def _pump(
        self, loop: asyncio.AbstractEventLoop, source: socket.socket, target: socket.socket
    ) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def read() -> None:
            while True:
                try:
                    data = await loop.sock_recv(source, 65536)
                except OSError:
                    data = b""
                queue.put_nowait((loop.time() + self.delay_s, data))
                if not data:
                    return

        reading = asyncio.create_task(read())
        while True:
            due, data = await queue.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            await self._open.wait()
            try:
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    break
                await loop.sock_sendall(target, data)
            except OSError:
                break
        await reading


def overlaps(workers: list[Worker], same_worker_only: bool) -> list[str]:
    """Return a line for each second attempt of a request that came while an earlier one was out.

    An attempt is out until the worker is done with it, or it is given up: by a DELETE that came, or by the
    end of its connection before the 202 was written. `SLACK_S` is the protocol page's slack on time limits.

    Args:
        workers: All workers.
        same_worker_only: Copies are allowed, so that only a second attempt at one worker counts.
    """
    by_id: dict[str, list[Attempt]] = {}
    for worker in workers:
        for attempt in worker.attempts:
            by_id.setdefault(attempt.id, []).append(attempt)
    found = []
    for job_id, attempts in by_id.items():
        attempts.sort(key=lambda one: one.came_at)
        for i, first in enumerate(attempts):
            ends = [at for at in (first.over_at, first.given_up_at) if at is not None]
            for second in attempts[i + 1 :]:
                is_out = not ends or second.came_at + SLACK_S < min(ends)
                if is_out and (first.worker == second.worker or not same_worker_only):
                    found.append(
                        f"{job_id}: came to {first.worker} at {first.came_at:.3f}, was out there until "
                        f"{f'{min(ends):.3f}' if ends else 'the end'}, and came to {second.worker} "
                        f"at {second.came_at:.3f}"
                    )
    return found


# Discovery.


class Discovery:
    """The list of workers: whole, and as a watch."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries, self.index, self.port = entries, 1, 0
        self.is_down = False
        self._writers: dict[asyncio.StreamWriter, None] = {}

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = int(server.sockets[0].getsockname()[1])
        self._server = server

    def go_down(self) -> None:
        """Watches end, and calls are answered with 503."""
        self.is_down = True
        for writer in self._writers:
            writer.transport.abort()

    def come_back(self) -> None:
        """Calls are answered again."""
        self.is_down = False

    def _line(self) -> bytes:
        whole = {"index": self.index, "snapshot": True, "endpoints": self.entries}
        return json.dumps(whole).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = None
        try:
            call = await read_message(reader)
            if call is None:
                return
            if self.is_down:
                writer.write(answer_bytes(UNAVAILABLE))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self._line()
            while not self.is_down:
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                await asyncio.sleep(BEAT_S)
                line = b"\n"
        except ConnectionError:
            pass
        finally:
            self._writers.pop(writer, None)
            writer.close()


def entry(name: str, port: int, zone: str, group: int = 0) -> dict[str, Any]:
    """Return a worker's entry in discovery's list."""
    return {
        "name": name,
        "address": f"{HOST}:{port}",
        "zone": zone,
        "type": "m",
        "group": group,
        "status": "active",
        "weight": 1.0,
        "since_ms": 0,
    }


# Clients.


@dataclass
class Answer:
    """What a client got; status 0: its connection ended with no whole answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class Client:
    """A client's kept connection: one request at a time."""

    def __init__(self, record: Record, address: str) -> None:
        self.record, self.address = record, address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self.address.rpartition(":")
        self._streams = await asyncio.open_connection(host, int(port))

    def close(self) -> None:
        """End the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def call(self, method: str, target: str, headers: dict[str, str], body: bytes = b"") -> Answer:
        """Send a request and wait for its answer."""
        if self._streams is None:
            await self.connect()
        assert self._streams is not None
        reader, writer = self._streams
        lines = [f"{method} {target} HTTP/1.1", "Host: app.svc"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
        except ConnectionError:
            message = None
        if message is None:
            self.close()
            return Answer(0)
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(message.start.split()[1]), message.body, message.headers)

    async def job(
        self, job_id: str, scheme: str, ms: int, deadline_ms: int, headers: dict[str, str] | None = None
    ) -> Answer:
        """Hand in a job and wait for its answer; both are recorded."""
        body = json.dumps({"ms": ms, "mark": job_id}).encode()
        self.record.add("asked", id=job_id, scheme=scheme, ms=ms, deadline_ms=deadline_ms)
        told = {"Req-Id": job_id, "Req-Kind": scheme, "Req-Deadline-Ms": str(deadline_ms)}
        answer = await self.call("POST", f"/{scheme}", told | (headers or {}), body)
        self.record.add("answered", id=job_id, status=answer.status, body=answer.body.decode())
        return answer


# The project's own programs.


class Program:
    """A process of the project."""

    def __init__(self, words: list[str], folder: Path, name: str, environ: dict[str, str]) -> None:
        self.words, self.folder, self.name, self.environ = words, folder, name, environ
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it, from the root of the project."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self.words,
                cwd=ROOT,
                env=os.environ | self.environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, signal_number: int) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.process.send_signal(signal_number)

    async def wait(self, within_s: float) -> int | None:
        """Return its exit code, or None if it has not ended in time."""
        assert self.process is not None
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.01)
        return self.process.poll()

    def end(self) -> None:
        """Kill it."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log(self) -> str:
        """Return what it has written."""
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""


def run_command() -> str:
    """Return the command `run` of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def platform_dispatcher(folder: Path, name: str, config: dict[str, Any]) -> Program:
    """Return a dispatcher as the platform starts it, by `$GW_CONFIG`."""
    path = folder / f"{name}.json"
    path.write_text(json.dumps(config))
    (folder / f"{name}.tmp").mkdir(exist_ok=True)
    environ = {"GW_CONFIG": str(path), "GW_NAME": name, "TMPDIR": str(folder / f"{name}.tmp")}
    return Program(["/bin/sh", "-c", run_command()], folder, name, environ)


def charter_dispatcher(folder: Path, name: str, charter: str) -> Program:
    """Return a dispatcher as an operator starts it by a file: the command `run`, then `serve FILE`."""
    path = folder / f"{name}.toml"
    path.write_text(charter)
    return Program(["/bin/sh", "-c", f"{run_command()} serve {path}"], folder, name, {})


def module_program(folder: Path, name: str, module: str, *words: str) -> Program:
    """Return another program of the project, by the interpreter that `run` names."""
    python = run_command().removeprefix("exec ").split()[0]
    return Program([str(ROOT / python), "-m", module, *words], folder, name, {})


async def until(what: str, holds: Callable[[], bool], within_s: float = 20.0) -> None:
    """Wait until something holds.

    Raises:
        CaseError: It does not hold in time.
    """
    end = time.monotonic() + within_s
    while not holds():
        if time.monotonic() > end:
            raise CaseError(f"{what}: not within {within_s:g} s")
        await asyncio.sleep(0.02)


async def until_ready(address: str, within_s: float = 30.0) -> None:
    """Wait until a dispatcher answers 200 to `GET /ready`.

    Raises:
        CaseError: It does not in time.
    """
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            client = Client(Record(), address)
            answer = await client.call("GET", "/ready", {})
            client.close()
            if answer.status == SETTLED:
                return
        await asyncio.sleep(0.1)
    raise CaseError(f"the dispatcher at {address} was not ready within {within_s:g} s")


# Running a case.


@dataclass
class Case:
    """What a case runs with.

    Attributes:
        folder: A temporary folder.
        record: What happened.
        programs: The processes that were started; they are ended at the end.
    """

    folder: Path
    record: Record = field(default_factory=Record)
    programs: list[Program] = field(default_factory=list)

    def start(self, program: Program) -> Program:
        """Start a program of the project."""
        self.programs.append(program)
        program.start()
        return program


def run_case(case_folder: Path, play: Callable[[Case], Any], judge: Callable[[Record], list[str]]) -> int:
    """Play a case, judge its record, write `record.txt`, and return the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    with tempfile.TemporaryDirectory(prefix="pathsaddle-review-") as name:
        case = Case(Path(name))
        code, findings, why = NOT_RUN, [], ""
        try:
            asyncio.run(asyncio.wait_for(play(case), LONGEST_S))
            findings = judge(case.record)
            code = BROKEN if findings else HELD
        except (CaseError, OSError, TimeoutError) as fault:
            why = f"could not run: {type(fault).__name__}: {fault}"
            for program in case.programs:
                sys.stderr.write(f"--- {program.name}\n{program.log()[-2000:]}")
        finally:
            for program in case.programs:
                program.end()
            lines = [json.dumps(row) for row in case.record.rows]
            verdict = {BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: why}[code]
            trouble = "with the disruption" if HAS_TROUBLE else "without the disruption (TROUBLE=0)"
            text = "\n".join([f"# {trouble}: {verdict}", *(f"# {one}" for one in findings), *lines])
            (case_folder / "record.txt").write_text(text + "\n")
            if os.environ.get("REVIEW_LOGS"):
                for program in case.programs:
                    sys.stderr.write(f"--- {program.name}\n{program.log()}")
    sys.stdout.write("\n".join([f"{trouble}: {verdict}", *findings[:20]]) + "\n")
    return code
