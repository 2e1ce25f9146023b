"""Slope 5 on sockets: a dispatcher's process with so many clients' calls at once, none of which is ever done.

Real: the program (`python -m pathsaddle`), measured from outside. Hollow: its workers and clients, in this
process. A worker says 202 to each posting and nothing more; a client makes one call on a connection of its
own and waits. What the limits on descriptors and memory let in stays open, the rest is answered at once; then
SIGTERM.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import msgspec

from pathsaddle.config.loader import platform_config
from pathsaddle.config.schema import Configuration
from pathsaddle.config.validation import validate
from pathsaddle.emulator.hollow.waits import percentile

READY_WITHIN = 15.0  # seconds
SETTLED_WITHIN = 15.0  # in which each call has come to a worker, or has its answer
ENDS_WITHIN = 15.0


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """workers: hollow ones, each with room for all.
    sockets: descriptors that the dispatcher is told that it may hold.
    memory_mb: and memory.
    body: bytes of a call's body.
    expiry: of each call, seconds; longer than the play.
    """

    workers: Annotated[int, msgspec.Meta(ge=1, le=500)] = 50
    sockets: Annotated[int, msgspec.Meta(ge=64)] = 1024
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 192
    body: Annotated[int, msgspec.Meta(ge=0)] = 200
    expiry: Annotated[float, msgspec.Meta(gt=0)] = 120.0


FIGURES = {
    "open": (
        "1",
        "calls that are with a worker and have no answer, real dispatcher, hollow workers and clients",
    ),
    "declined": ("1", "calls that were answered at once by 503 or 429"),
    "refused": ("1", "calls whose connection was closed or never came up"),
    "descriptors": ("1", "descriptors of the dispatcher's process then, real"),
    "rss_mib": ("MiB", "its resident memory then, real"),
    "rss_bytes_each": ("bytes", "how much that grew from before the calls, for each open one, real"),
    "taken_us": (
        "us",
        "its processor time from before the calls until all were with workers or answered, for each, real",
    ),
    "term_s": ("s", "from SIGTERM to its end, real"),
    "term_us": ("us", "its processor time from SIGTERM to shortly before its end, for each open call, real"),
    "term_answered": ("1", "part of the open calls that got an answer then"),
    "term_lost": ("1", "open calls whose connection ended with no answer"),
    "term_answer_p50_s": ("s", "from SIGTERM to an open call's answer, median, real"),
    "exit": ("1", "the process's exit code"),
}
COUNTED = frozenset({"open", "declined", "refused", "descriptors", "term_answered", "term_lost", "exit"})


def needs(point: int, setting: Setting) -> tuple[int, float]:
    return 2, 120.0 + 0.06 * point


class Worker(asyncio.Protocol):
    """Says 202 to all, has room without end, and never calls back."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.buffer = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end].lower()
            length = head.partition(b"content-length:")[2].partition(b"\r\n")[0].strip()
            whole = end + 4 + int(length or 0)
            if len(self.buffer) < whole:
                return
            self.buffer = self.buffer[whole:]
            if head.startswith(b"post"):
                self.transport.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
                self.play.posted += 1
                self.play.stir()
            elif head.startswith(b"get"):
                body = b'{"x0":100000,"queue":0,"inflight":0}'
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            else:
                self.transport.write(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n")


class Client(asyncio.Protocol):
    """One call; what it is answered, and when."""

    def __init__(self, play: Play, number: int) -> None:
        self.play, self.number = play, number
        self.status: int | None = None
        self.closed = False
        self.at = 0.0
        self.buffer = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        body = bytes(self.play.setting.body)
        transport.write(
            b"POST /usual HTTP/1.1\r\nHost: d\r\nReq-Id: c%d\r\nReq-Kind: usual\r\nReq-Deadline-Ms: %d\r\n"
            b"Req-Cost: 1000\r\nContent-Length: %d\r\n\r\n%s"
            % (self.number, int(self.play.setting.expiry * 1000), len(body), body)
        )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if self.status is None and b"\r\n" in self.buffer:
            self.status, self.at = int(self.buffer.split(b" ", 2)[1]), time.perf_counter()
            self.play.stir()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.play.stir()


class Play:
    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self.posted = 0
        self.clients: list[Client] = []
        self.news = asyncio.Event()

    def stir(self) -> None:
        self.news.set()

    async def until(self, done: Any, within: float) -> None:
        """Until it holds, or the time is up: then what is there is told as it is."""
        try:
            async with asyncio.timeout(within):
                while not done():
                    self.news.clear()
                    await self.news.wait()
        except TimeoutError:
            pass

    async def run(self, point: int, seed: int, folder: Path) -> dict[str, float]:
        loop, setting = asyncio.get_running_loop(), self.setting
        servers: list[asyncio.Server] = []
        process: asyncio.subprocess.Process | None = None
        try:
            rows = []
            for i in range(setting.workers):
                server = await loop.create_server(lambda: Worker(self), "127.0.0.1", 0, backlog=256)
                servers.append(server)
                rows.append(
                    {
                        "name": f"w{i}",
                        "address": f"127.0.0.1:{server.sockets[0].getsockname()[1]}",
                        "zone": "here",
                        "type": "m",
                        "group": 0,
                        "status": "active",
                        "weight": 1.0,
                        "since_ms": 0,
                    }
                )
            with socket.socket() as one:
                one.bind(("127.0.0.1", 0))
                port = one.getsockname()[1]
            charter = validate(
                Configuration,
                {
                    "listen": f"127.0.0.1:{port}",
                    "discovery": "127.0.0.1:9",
                    "seed": f"{seed:x}",
                    "limits": {"sockets": setting.sockets, "memory": f"{setting.memory_mb}MB"},
                    # Workers that say nothing are not given up: progress would be word that they work.
                    "reports": {"progress": "0s"},
                    "rules": {"ask_within": "1h"},
                    "schemes": [
                        {"name": "usual", "semantics": "repeatable", "expiry": f"{setting.expiry:g}s"}
                    ],
                },
                "open_sockets",
            )
            config = folder / "d.json"
            config.write_text(
                json.dumps(platform_config(charter, {"index": 1, "snapshot": True, "endpoints": rows})),
                encoding="utf-8",
            )
            with (folder / "log").open("wb") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "pathsaddle",
                    stderr=log,
                    stdout=log,
                    env={**os.environ, "GW_CONFIG": str(config), "PYTHONPATH": os.pathsep.join(sys.path)},
                )
            await self.ready(port)
            rss, cpu = resident(process.pid), spent(process.pid)
            for number in range(point):
                client = Client(self, number)
                self.clients.append(client)
                try:
                    await loop.create_connection(lambda c=client: c, "127.0.0.1", port)  # type: ignore[misc]
                except OSError:
                    client.closed = True
            await self.until(
                lambda: self.posted + sum(c.status is not None or c.closed for c in self.clients) >= point,
                SETTLED_WITHIN,
            )
            waiting = [c for c in self.clients if c.status is None and not c.closed]
            found: dict[str, float] = {
                "open": len(waiting),
                "declined": sum(c.status in (429, 503) for c in self.clients),
                "refused": sum(c.status is None and c.closed for c in self.clients),
                "descriptors": len(os.listdir(f"/proc/{process.pid}/fd")),
                "rss_mib": resident(process.pid) / 2**20,
                "rss_bytes_each": (resident(process.pid) - rss) / max(1, len(waiting)),
                "taken_us": (spent(process.pid) - cpu) / point * 1e6,
            }
            cpu, begun = spent(process.pid), time.perf_counter()
            process.send_signal(signal.SIGTERM)
            await self.until(lambda: all(c.status is not None or c.closed for c in waiting), ENDS_WITHIN)
            found["term_us"] = (spent(process.pid, cpu) - cpu) / max(1, len(waiting)) * 1e6
            async with asyncio.timeout(ENDS_WITHIN):
                code = await process.wait()
            answers = sorted(c.at - begun for c in waiting if c.status is not None)
            return {
                **found,
                "term_s": time.perf_counter() - begun,
                "exit": code,
                "term_answered": len(answers) / max(1, len(waiting)),
                "term_lost": len(waiting) - len(answers),
                "term_answer_p50_s": percentile(answers, 0.5),
            }
        finally:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            for client in self.clients:
                if hasattr(client, "transport"):
                    client.transport.abort()
            for server in servers:
                server.close()

    async def ready(self, port: int) -> None:
        async with asyncio.timeout(READY_WITHIN):
            while True:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: d\r\n\r\n")
                    line = await reader.readline()
                    writer.close()
                    if b" 200 " in line:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)


def resident(pid: int) -> int:
    """Bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]) * os.sysconf("SC_PAGE_SIZE")


def spent(pid: int, gone: float = 0.0) -> float:
    """Seconds of processor time; `gone` where the process is."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    except OSError:
        return gone
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Play(setting).run(point, seed, Path(folder)))
