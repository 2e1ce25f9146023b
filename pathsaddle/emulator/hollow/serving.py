"""Real dispatchers and lean peers for them: a list, workers and clients by script, in the measure's own process.

The dispatchers are processes of the program, told by charters; the peers are hollow: a worker says 202 and has each
job done after a fixed time, the list says one whole list and then beats, a client keeps one connection and sends at
fixed moments. Loopback only; all that is started ends with `Ground.end`.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pathsaddle.emulator.stage import ends_with_us
from pathsaddle.errors import FINDING, Error

LENGTH = re.compile(rb"content-length: ([0-9]+)", re.IGNORECASE)
TAG = re.compile(rb"req-id: ([^\r]+)", re.IGNORECASE)
READY_IN = 20.0  # seconds in which a dispatcher must be ready, on whatever machine
BEAT = 2.0  # seconds between the list's signs of life
ROOT = Path(__file__).resolve().parents[3]


class NotReady(Error):
    name = "scale.not-ready"
    what = "the dispatcher at {listen} is not ready after {seconds:g} s: {last}"
    do = "run the plan again on a quieter machine; if that does not help, report it with the commit it ran"
    code = FINDING


def ports(count: int) -> list[int]:
    """So many that nobody has now, on the loopback."""
    held = [socket.socket() for _ in range(count)]
    try:
        for one in held:
            one.bind(("127.0.0.1", 0))
        return [int(one.getsockname()[1]) for one in held]
    finally:
        for one in held:
            one.close()


def rss_mib(pid: int) -> float:
    """What of a process stands in memory now, MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


class Process:
    """One dispatcher: its charter's file, its log, and, while it runs, its process."""

    def __init__(self, number: int, file: Path, listen: str) -> None:
        self.number, self.file, self.listen = number, file, listen
        self.log = file.with_suffix(".log")
        self.process: subprocess.Popen[bytes] | None = None

    def begin(self) -> None:
        """Starts it; the log goes on where the last life's ended."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "pathsaddle", "serve", str(self.file)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                preexec_fn=ends_with_us,  # noqa: PLW1509  # a measure has no threads
                env={**os.environ, "PYTHONPATH": str(ROOT)},
            )

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """At once, whatever it does."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def said(self) -> int:
        """How much of its log is there."""
        return self.log.stat().st_size if self.log.exists() else 0

    async def says(self, text: str, since: int = 0) -> float:
        """Waits until its log has a line with this after so many bytes; the moment at which it was seen."""
        begun = time.perf_counter()
        while True:
            with self.log.open("rb") as log:
                log.seek(since)
                seen = log.read()
            if any(text.encode() in line for line in seen.splitlines()):
                return time.perf_counter()
            self._patient(begun, seen)
            await asyncio.sleep(0.001)

    async def ready(self) -> float:
        """Waits until it says that it is ready; the moment at which it said so."""
        begun = time.perf_counter()
        while True:
            try:
                if await self.asked() == 200:
                    return time.perf_counter()
            except (OSError, asyncio.IncompleteReadError):
                pass
            self._patient(begun, b"")
            await asyncio.sleep(0.005)

    async def asked(self) -> int:
        """What its /ready answers now; raises OSError or IncompleteReadError where nobody does."""
        host, _, port = self.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split()[1])
        finally:
            writer.close()

    def _patient(self, begun: float, seen: bytes) -> None:
        over = self.process is not None and self.process.poll() is not None
        if over or time.perf_counter() - begun > READY_IN:
            lines = (seen or self.log.read_bytes()).splitlines()
            raise NotReady(
                listen=self.listen,
                seconds=time.perf_counter() - begun,
                last=lines[-1].decode(errors="replace")[:200] if lines else "it has said nothing",
            )


class _Worker(asyncio.Protocol):
    """One connection of one dispatcher to one worker."""

    def __init__(self, name: str, run: float, back: Back) -> None:
        self.name, self.run, self.back = name.encode(), run, back
        self.buffer = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head, match = self.buffer[:end], LENGTH.search(self.buffer[:end])
            whole = end + 4 + (int(match[1]) if match else 0)
            if len(self.buffer) < whole:
                return
            self.buffer = self.buffer[whole:]
            tag = TAG.search(head)
            if not head.startswith(b"POST") or tag is None:
                self.transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"x0":8,"queue":0}')
                continue
            self.transport.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            asyncio.get_running_loop().call_later(
                self.run,
                self.back.tell,
                (
                    b'{"id":"%s","from":"%s","state":"done","result":"ok","load":{"x0":8,"queue":0,"inflight":0}}'
                    % (tag[1], self.name)
                ),
            )


class Back:
    """Callbacks to one dispatcher, each on a connection that is kept while it lasts; tried for a while."""

    KEPT = 4

    def __init__(self, listen: str, tasks: set[asyncio.Task[None]]) -> None:
        self.listen, self.tasks = listen, tasks
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    def tell(self, body: bytes) -> None:
        task = asyncio.get_running_loop().create_task(self._tell(body))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _tell(self, body: bytes) -> None:
        host, _, port = self.listen.rpartition(":")
        for _ in range(20):
            try:
                reader, writer = (
                    self.idle.pop() if self.idle else await asyncio.open_connection(host, int(port))
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                writer.write(
                    b"POST /callback HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                )
                head = await reader.readuntil(b"\r\n\r\n")
                match = LENGTH.search(head)
                await reader.readexactly(int(match[1]) if match else 0)
            except (OSError, asyncio.IncompleteReadError):
                writer.close()
                continue
            if len(self.idle) < self.KEPT and b"close" not in head.lower():
                self.idle.append((reader, writer))
            else:
                writer.close()
            return

    def end(self) -> None:
        for _, writer in self.idle:
            writer.close()


class Client:
    """Sends at fixed moments on one kept connection, to its own dispatcher; where nobody takes the connection, to
    the next one. Counted by how each txn ended, in `Ground.ends`:

    settled; declined (429 and 503: try again); refused (other answers); broken (taken, and no whole answer);
    turned_away (no dispatcher took a connection). `moved` counts those that went to another than its own.
    """

    def __init__(self, ground: Ground, number: int, scheme: str, owner: str, every: float) -> None:
        self.ground, self.number, self.every = ground, number, every
        self.head = (
            f"POST /{scheme} HTTP/1.1\r\nHost: d\r\nReq-Kind: {scheme}\r\n"
            + (f"Req-Owner: {owner}\r\n" if owner else "")
            + "Req-Cost: 1000\r\nContent-Length: 2\r\nReq-Id: "
        ).encode()
        self.kept: tuple[int, asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self) -> None:
        """Until it is cancelled."""
        events = asyncio.get_running_loop()
        due, count = events.time() + self.every * (self.number % 97) / 97, 0
        try:
            while True:
                await asyncio.sleep(max(0.0, due - events.time()))
                due, count = due + self.every, count + 1
                self.ground.ends["asked"] += 1
                begun = events.time()
                how = await self._ask(f"c{self.number}-{count}")
                self.ground.ends[how] += 1
                if how == "settled":
                    self.ground.times.append(events.time() - begun)
        finally:
            self._drop()

    def _drop(self) -> None:
        if self.kept is not None:
            self.kept[2].close()
            self.kept = None

    async def _ask(self, tag: str) -> str:
        dispatchers = self.ground.dispatchers
        home = self.number % len(dispatchers)
        if self.kept is not None and (self.kept[1].at_eof() or self.kept[0] != home):
            self._drop()
        if self.kept is None:
            for step in range(len(dispatchers)):
                at = (home + step) % len(dispatchers)
                host, _, port = dispatchers[at].listen.rpartition(":")
                try:
                    self.kept = at, *await asyncio.open_connection(host, int(port))
                    break
                except OSError:
                    continue
            else:
                return "turned_away"
        at, reader, writer = self.kept
        self.ground.ends["moved"] += at != home
        try:
            writer.write(self.head + f"{tag}\r\n\r\n{{}}".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            match = LENGTH.search(head)
            await reader.readexactly(int(match[1]) if match else 0)
        except (OSError, asyncio.IncompleteReadError):
            self._drop()
            return "broken"
        if b"close" in head.lower():
            self._drop()
        status = head.split()[1]
        return "settled" if status == b"200" else "declined" if status in (b"429", b"503") else "refused"


class Ground:
    """Some dispatchers' peers. `charter(number, listen, discovery)` gives each dispatcher's charter as a table,
    which is written as JSON.
    """

    def __init__(
        self,
        folder: Path,
        dispatchers: int,
        workers: int,
        run: float,
        charter: Callable[[int, str, str], dict[str, Any]],
    ) -> None:
        self.folder, self.workers, self.run, self.charter = folder, workers, run, charter
        self.ends: Counter[str] = Counter()
        self.times: list[float] = []  # seconds that settled txns took
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers: list[asyncio.Server] = []
        self.dispatchers = [
            Process(d, folder / f"d{d}.json", f"127.0.0.1:{port}")
            for d, port in enumerate(ports(dispatchers))
        ]
        self.backs = [Back(one.listen, self.tasks) for one in self.dispatchers]

    async def begin(self) -> None:
        """The peers stand; the dispatchers' charters are written and none of them runs."""
        events = asyncio.get_running_loop()
        for dispatcher, back in zip(self.dispatchers, self.backs, strict=True):
            rows = []
            for w in range(self.workers):
                name = f"w{w}"
                server = await events.create_server(
                    lambda n=name, b=back: _Worker(n, self.run, b),  # type: ignore[misc]
                    "127.0.0.1",
                    0,
                )
                self.servers.append(server)
                rows.append(
                    {
                        "name": name,
                        "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
                        "zone": "here",
                        "type": "m",
                        "group": 0,
                        "status": "active",
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                )
            line = json.dumps({"index": 1, "snapshot": True, "endpoints": rows}).encode() + b"\n"
            discovery = await asyncio.start_server(self._list(line), "127.0.0.1", 0)
            self.servers.append(discovery)
            self.tell(
                dispatcher,
                self.charter(
                    dispatcher.number, dispatcher.listen, f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}"
                ),
            )

    def tell(self, dispatcher: Process, table: dict[str, Any]) -> None:
        """Its charter from now on, for whoever reads the file next."""
        other = dispatcher.file.with_suffix(".new")
        other.write_text(json.dumps(table), encoding="utf-8")
        other.replace(dispatcher.file)

    def _list(self, line: bytes) -> Any:
        async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)
                )
                while True:
                    await asyncio.sleep(BEAT)
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.close()

        return watch

    async def restart(self, dispatcher: Process) -> tuple[float, float]:
        """SIGTERM, its end, the new one ready: seconds until it ended, and from then until the new one is ready."""
        assert dispatcher.process is not None
        begun = time.perf_counter()
        dispatcher.signal(signal.SIGTERM)
        while dispatcher.process.poll() is None:
            await asyncio.sleep(0.002)
        ended = time.perf_counter()
        dispatcher.begin()
        return ended - begun, await dispatcher.ready() - ended

    async def end(self) -> None:
        """Everything that was started, whatever state it is in."""
        for dispatcher in self.dispatchers:
            dispatcher.end()
        for server in self.servers:
            server.close()
        for back in self.backs:
            back.end()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
