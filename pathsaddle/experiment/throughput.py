"""How many txns one dispatcher settles a second, and what a txn costs it: closed loop, real processes.

The dispatcher has one core to itself. Clients and workers are as lean as they can be and run in processes of
their own, so that they are not what is measured; if they are the bottleneck all the same, the CPU a txn tells.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import re
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path
from random import Random
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from pathsaddle.config.loader import platform_config
from pathsaddle.emulator.plan import Plan, charter_of, varied
from pathsaddle.errors import FINDING, Error
from pathsaddle.experiment.keep import ROOT, commit_of, machine
from pathsaddle.experiment.run import tree

PARTS = 2  # processes for the workers, and as many for the clients
WARM = 1.0  # seconds before anything counts
LENGTH = re.compile(rb"content-length: ([0-9]+)", re.IGNORECASE)
TAG = re.compile(rb"Req-Id: ([^\r]+)")
MOST = 60_000_000  # microseconds


class NeverReady(Error):
    name = "experiment.never-ready"
    what = "the dispatcher at {listen} is not ready after 10 s"
    do = "run it again on a quieter machine; if that does not help, report it with the commit it ran"
    code = FINDING


class _Worker(asyncio.Protocol):
    """Says 202 and has the job done at once, on a connection of its own back to the dispatcher."""

    def __init__(self, name: bytes, back: _Back) -> None:
        self.name = name
        self.back = back
        self.buffer = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = self.buffer[:end]
            match = LENGTH.search(head)
            whole = end + 4 + (int(match[1]) if match else 0)
            if len(self.buffer) < whole:
                return
            self.buffer = self.buffer[whole:]
            if not head.startswith(b"POST"):
                self.transport.write(b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"x0":8,"queue":0}')
                continue
            tag = TAG.search(head)
            assert tag is not None
            self.transport.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
            self.back.tell(
                b'{"id":"%s","from":"%s","state":"done","result":"ok","load":{"x0":8,"queue":0,'
                b'"inflight":0}}' % (tag[1], self.name)
            )


class _Back(asyncio.Protocol):
    """One kept connection for callbacks: one call at a time, the others wait their turn."""

    def __init__(self) -> None:
        self.waiting: list[bytes] = []
        self.out = False
        self.transport: Any = None
        self.buffer = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._next()

    def tell(self, body: bytes) -> None:
        self.waiting.append(body)
        self._next()

    def _next(self) -> None:
        if self.waiting and not self.out and self.transport is not None and not self.transport.is_closing():
            self.out = True
            body = self.waiting.pop(0)
            self.transport.write(
                b"POST /callback HTTP/1.1\r\nHost: d\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            )

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        if b"\r\n\r\n" in self.buffer:
            self.buffer = b""
            self.out = False
            self._next()


def _workers(part: int, count: int, pipe: Connection) -> None:
    """One process's share of the workers; says their addresses."""
    import uvloop

    async def run() -> None:
        loop = asyncio.get_running_loop()
        rows, backs = [], []
        for i in range(count):
            name = f"w{part}-{i}"
            back = _Back()
            backs.append(back)
            server = await loop.create_server(
                lambda n=name, b=back: _Worker(n.encode(), b),  # type: ignore[misc]
                "127.0.0.1",
                0,
                backlog=64,
            )
            rows.append((name, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
        pipe.send(rows)
        host, _, port = (await loop.run_in_executor(None, pipe.recv)).rpartition(
            ":"
        )  # the dispatcher listens
        for back in backs[:64]:
            await loop.create_connection(lambda b=back: b, host, int(port))  # type: ignore[misc]
        for i, back in enumerate(backs[64:]):  # the dispatcher's descriptors are for more than callbacks
            back.tell = backs[i % 64].tell  # type: ignore[method-assign]
        await loop.run_in_executor(None, pipe.recv)

    uvloop.run(run())


class _Client(asyncio.Protocol):
    def __init__(self, name: str, scheme: str, owner: str, times: list[float], every: float) -> None:
        self.name, self.number, self.times = name, 0, times
        self.every, self.due = (
            every,
            0.0,
        )  # seconds between calls; 0: the next as soon as the last has its answer
        self.head = (
            f"POST /{scheme} HTTP/1.1\r\nHost: d\r\nReq-Kind: {scheme}\r\n"
            + (f"Req-Owner: {owner}\r\n" if owner else "")
            + "Req-Deadline-Ms: 5000\r\nReq-Cost: 1000\r\nContent-Length: 2\r\nReq-Id: "
        ).encode()
        self.buffer = b""
        self.failed = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.due = time.perf_counter()
        self._ask()

    def _ask(self) -> None:
        self.number += 1
        # From when it was due: what a slow answer before it delayed counts for it too.
        self.begun = self.due if self.every else time.perf_counter()
        self.transport.write(self.head + f"{self.name}-{self.number}\r\n\r\n{{}}".encode())

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        end = self.buffer.find(b"\r\n\r\n")
        match = LENGTH.search(self.buffer[:end]) if end >= 0 else None
        if match and len(self.buffer) >= end + 4 + int(match[1]):
            if self.buffer.startswith(b"HTTP/1.1 200"):
                self.times.append(time.perf_counter() - self.begun)
            else:
                self.failed += 1
            self.buffer = b""
            self.due += self.every
            left = self.due - time.perf_counter() if self.every else 0.0
            if left > 0:
                asyncio.get_running_loop().call_later(left, self._ask)
            else:
                self._ask()


def _clients(
    part: int,
    count: int,
    listen: str,
    scheme: str,
    owner: str,
    seconds: float,
    every: float,
    pipe: Connection,
) -> None:
    import uvloop

    async def run() -> tuple[list[float], int, float]:
        host, _, port = listen.rpartition(":")
        times: list[float] = []
        made = [_Client(f"c{part}-{i}", scheme, owner, times, every) for i in range(count)]
        for client in made:
            await asyncio.sleep(every / count)
            await asyncio.get_running_loop().create_connection(lambda c=client: c, host, int(port))  # type: ignore[misc]
        await asyncio.sleep(WARM)
        pipe.send("warm")
        times.clear()
        before = sum(client.failed for client in made)
        begun = time.perf_counter()
        await asyncio.sleep(seconds)
        took = time.perf_counter() - begun
        return list(times), sum(client.failed for client in made) - before, took

    pipe.send(uvloop.run(run()))


def _cpu(pid: int) -> float:
    """Seconds of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory_mb(pid: int) -> float:
    resident, shared = Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1:3]
    return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure(
    plan: Plan, workers: int, clients: int, seconds: float, root: Path = ROOT, rate: float = 0.0
) -> dict[str, float]:
    """One measurement of the program in a tree; raises RuntimeError where the dispatcher is never ready."""
    import socket

    charter = charter_of(plan)
    context = multiprocessing.get_context("spawn")
    peers: list[tuple[Any, Connection]] = []
    rows: list[tuple[str, str]] = []
    process = None
    space = tempfile.mkdtemp()
    commits = size = 0
    try:
        for part in range(PARTS):
            here, there = context.Pipe()
            count = workers // PARTS + (part < workers % PARTS)
            peer = context.Process(target=_workers, args=(part, count, there), daemon=True)
            peer.start()
            peers.append((peer, here))
        for _, pipe in peers:
            rows += pipe.recv()
        # Chosen only now: a thousand workers' own listeners took a port that was chosen before them.
        with socket.socket() as one:
            one.bind(("127.0.0.1", 0))
            listen = f"127.0.0.1:{one.getsockname()[1]}"
        mine = charter_of(plan, listen=listen, discovery="127.0.0.1:9", limits={"sockets": 8192})
        known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [
                {
                    "name": name,
                    "address": address,
                    "zone": charter.zones[0],
                    "type": "m",
                    "group": 0,
                    "status": "active",
                    "weight": 1.0,
                    "since_ms": 0,
                }
                for name, address in rows
            ],
        }
        folder = Path(space)
        config, command = folder / "d.json", [sys.executable, "-m", "pathsaddle"]
        config.write_text(json.dumps(platform_config(mine, known)), encoding="utf-8")
        if charter.jobs is not None:
            discovery, address = _discovery(known, context)
            peers.append((discovery, peers[0][1]))
            config.write_text(
                json.dumps(
                    {
                        **plan.charter,
                        "listen": listen,
                        "discovery": address,
                        "limits": {"sockets": 8192},
                        "jobs": {**plan.charter["jobs"], "path": str(folder / "jobs.db")},
                    }
                ),
                encoding="utf-8",
            )
            command += ["serve", str(config)]
        with (folder / "log").open("wb") as log:
            process = subprocess.Popen(
                command,
                cwd=root,
                stderr=log,
                env={**os.environ, "GW_CONFIG": str(config), "PYTHONPATH": str(root)},
            )
        _ready(listen)
        for peer, pipe in peers[:PARTS]:
            pipe.send(listen)
        asking: list[tuple[Any, Connection]] = []
        for part in range(PARTS):
            here, there = context.Pipe()
            count = clients // PARTS + (part < clients % PARTS)
            peer = context.Process(
                target=_clients,
                args=(
                    part,
                    count,
                    listen,
                    charter.schemes[0].name,
                    charter.customers[0].name if charter.customers else "",
                    seconds,
                    clients / rate if rate else 0.0,
                    there,
                ),
                daemon=True,
            )
            peer.start()
            asking.append((peer, here))
        for _, pipe in asking:
            pipe.recv()
        before, begun = _cpu(process.pid), time.perf_counter()
        told_all = [pipe.recv() for _, pipe in asking]
        used, span = _cpu(process.pid) - before, time.perf_counter() - begun
        memory = _memory_mb(process.pid)
        peers += asking
    finally:
        if process is not None:
            process.send_signal(signal.SIGTERM if charter.jobs is not None else signal.SIGKILL)
            process.wait()
            commits, size = _stored(Path(space))
        shutil.rmtree(space, ignore_errors=True)
        for peer, _ in peers:
            peer.terminate()
            peer.join()
    histogram = HdrHistogram(1, MOST, 3)
    count = sum(len(times) for times, _, _ in told_all)
    for times, _, _ in told_all:
        for one_time in times:
            histogram.record_value(max(1, int(one_time * 1e6)))
    return {
        "workers": workers,
        "clients": clients,
        "settled": count,
        "failed": sum(f for _, f, _ in told_all),
        "rate": count / seconds,
        "cpu_us": used / span * 1e6 / max(1e-9, count / seconds),
        "core": used / span,
        "p50_ms": histogram.get_value_at_percentile(50) / 1e3,
        "p99_ms": histogram.get_value_at_percentile(99) / 1e3,
        "memory_mb": memory,
        "asked": rate,
        "commits": commits,
        "bytes": size,
    }


def _stored(folder: Path) -> tuple[int, int]:
    """How many commits the dispatcher made in all, and bytes of store a job."""
    found = re.search(r"jobs.commits=([0-9.e+]+)", (folder / "log").read_text(errors="replace"))
    store = folder / "jobs.db"
    if found is None or not store.exists():
        return 0, 0
    import sqlite3

    jobs = sqlite3.connect(store).execute("SELECT count(*) FROM jobs").fetchone()[0]
    return int(float(found[1])), store.stat().st_size // max(1, jobs)


def _tell_list(listening: Any, line: bytes) -> None:
    """A discovery server that tells one list and then keeps its watches alive."""

    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(line), line)
            )
            while True:
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def run() -> None:
        server = await asyncio.start_server(watch, sock=listening)
        await server.serve_forever()

    asyncio.run(run())


def _discovery(known: dict[str, Any], context: Any) -> tuple[Any, str]:
    import socket

    listening = socket.socket()
    listening.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    line = json.dumps(known).encode() + b"\n"
    process = multiprocessing.get_context("fork").Process(
        target=_tell_list, args=(listening, line), daemon=True
    )
    process.start()
    return process, address


def recover(plan: Plan, jobs: int) -> dict[str, float]:
    """How long a dispatcher takes over a store of so many open jobs that were never posted."""
    from pathsaddle.jobs.store import Store
    from pathsaddle.jobs.store_rows import JobRecord
    from pathsaddle.jobs.store_writer import EmulatedDiskWriter
    from pathsaddle.scheduler_types import SECOND, Semantics

    with tempfile.TemporaryDirectory() as space:
        folder = Path(space)
        store = Store(
            folder / "jobs.db", EmulatedDiskWriter(asyncio.new_event_loop(), Random(1), 0.0), use_lock=False
        )
        store.open()
        now = int(time.time() * SECOND)
        scheme = plan.charter["schemes"][0]["name"]
        head = json.dumps([f"/{scheme}", [["Req-Id", "%s"], ["Req-Cost", "1000"]]])
        store._commit(
            [
                JobRecord(
                    f"j{i}",
                    "",
                    f"k{i}",
                    b"d" * 16,
                    Semantics.REPEATABLE,
                    now,
                    now + 600 * SECOND,
                    (head % f"j{i}").encode() + b"\n" + b"x" * 200,
                )
                for i in range(jobs)
            ]
        )
        store.close()
        size = (folder / "jobs.db").stat().st_size
        config = folder / "d.json"
        config.write_text(
            json.dumps(
                {
                    **plan.charter,
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:9",
                    "log": {"form": "json"},
                    "jobs": {"path": str(folder / "jobs.db")},
                }
            ),
            encoding="utf-8",
        )
        begun = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, "-m", "pathsaddle", "serve", str(config)], cwd=ROOT, stderr=subprocess.PIPE
        )
        assert process.stderr is not None
        ms = 0.0
        try:
            for line in process.stderr:
                told_line = json.loads(line)
                if told_line.get("event") == "recovered":
                    ms = float(told_line["ms"])
                    break
            whole = time.perf_counter() - begun
            memory = _memory_mb(process.pid)
        finally:
            process.kill()
            process.wait()
        return {
            "jobs": jobs,
            "recovered_ms": ms,
            "from_start_s": whole,
            "bytes_a_job": size / jobs,
            "memory_mb": memory,
        }


def _ready(listen: str) -> None:
    import urllib.error
    import urllib.request

    for _ in range(200):
        try:
            with urllib.request.urlopen(f"http://{listen}/ready", timeout=1.0) as answer:
                if answer.status == 200:
                    return
        except (OSError, urllib.error.URLError):
            time.sleep(0.05)
    raise NeverReady(listen=listen)


def run(plan: Plan, path: Path) -> int:
    """All measurements of a plan, shown and kept; 1 where nothing was settled in one."""
    assert plan.throughput is not None
    rows: list[dict[str, Any]] = []
    click.echo(
        f"{plan.name}: {machine()}, commit {commit_of()}; one dispatcher on a core of its own, loopback, "
        f"{plan.throughput.clients} clients, {plan.seconds:g} s each"
    )
    if plan.throughput.recovery:
        for jobs in plan.throughput.recovery:
            for _ in range(plan.throughput.times):
                rows.append(recover(plan, jobs))
                click.echo(
                    f"{jobs:7} open jobs: recovered in {rows[-1]['recovered_ms']:.0f} ms, "
                    f"{rows[-1]['from_start_s']:.2f} s from the process's start, "
                    f"{rows[-1]['bytes_a_job']:.0f} bytes a job, {rows[-1]['memory_mb']:.0f} MB"
                )
        _keep(plan, path, rows)
        return 0
    trees = {"base": (plan, ROOT, commit_of())}
    for variant in plan.variants:
        root, name = (
            tree(variant.commit, "sockets", path.parent / "trees") if variant.commit else (ROOT, commit_of())
        )
        trees[variant.name] = (varied(plan, variant), root, name)
    click.echo(
        "variant   workers  asked   txns/s  CPU us/txn   core   p50 ms   p99 ms  memory MB  failed  "
        "commits/txn  bytes/job"
    )
    for workers in plan.throughput.workers:
        for rate in plan.throughput.rates:
            found: dict[str, list[dict[str, float]]] = {name: [] for name in trees}
            for _ in range(plan.throughput.times):
                for name, (other, root, commit) in trees.items():  # in turn: the machine's speed changes
                    row = measure(other, workers, plan.throughput.clients, plan.seconds, root, rate)
                    found[name].append(row)
                    rows.append({"variant": name, "commit": commit, **row})
                    click.echo(_line(name, row))
            for name, those in found.items():
                click.echo(
                    _line(name, {key: statistics.median(row[key] for row in those) for key in those[0]})
                    + "  median"
                )
    _keep(plan, path, rows)
    return 0 if all(kept["settled"] for kept in rows) else 1


def _line(name: str, row: dict[str, float]) -> str:
    each = row["commits"] / max(1.0, row["settled"] * (1 + WARM / 4))
    return (
        f"{name:9} {row['workers']:7.0f} {row['asked']:6.0f} {row['rate']:8.0f} {row['cpu_us']:11.1f} "
        f"{row['core']:6.2f} {row['p50_ms']:8.2f} {row['p99_ms']:8.2f} {row['memory_mb']:10.1f} "
        f"{row['failed']:7.0f} {each:12.2f} {row['bytes']:10.0f}"
    )


def _keep(plan: Plan, path: Path, rows: list[dict[str, Any]]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("a", encoding="utf-8") as file:
        for kept in rows:
            file.write(json.dumps({"plan": plan.name, "machine": machine(), **kept}) + "\n")
