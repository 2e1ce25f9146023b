"""Slope 5, the store of durable jobs: its file, its memory and its recovery, against the jobs that it keeps.

Real: the program's own store (`jobs.store`) on a file, and a dispatcher's process that takes it over. All but
a few jobs have ended and are within their retention, each as a client hands it in: a head, a body, one lease,
a final answer. What they stand for: 30,000 a day with a month kept are 900,000.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from itertools import islice
from pathlib import Path
from random import Random
from typing import Annotated, Any

import msgspec

from pathsaddle.jobs.state_machine import JobEnded, JobOutcome, LeaseIntended
from pathsaddle.jobs.store import Store
from pathsaddle.jobs.store_rows import DeleteEndedJobs, JobRecord, StoreWrite
from pathsaddle.jobs.store_writer import EmulatedDiskWriter
from pathsaddle.scheduler_types import SECOND, Semantics

DAY = 24 * 3600 * SECOND
READY_WITHIN = 50.0  # seconds


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """body: bytes of a call's body.
    result: bytes of a final answer.
    open: how many of the jobs have not ended.
    group: how many writes go into one commit.
    forgets: what part of the ended ones is past its retention, at the end of a play.
    serves: whether a dispatcher's process takes the store over, too.
    memory_mb: what that process is told that it may take.
    """

    body: Annotated[int, msgspec.Meta(ge=0)] = 200
    result: Annotated[int, msgspec.Meta(ge=0)] = 200
    open: Annotated[int, msgspec.Meta(ge=0)] = 100
    group: Annotated[int, msgspec.Meta(ge=1)] = 64
    forgets: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1 / 30
    serves: bool = True
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 192


FIGURES = {
    "file_bytes": ("bytes", "the store's file once all is in it, real"),
    "bytes_a_job": ("bytes", "of that, for each job kept, real"),
    "held_bytes": (
        "bytes",
        "what opening the store as a dispatcher does leaves in memory, by the allocator, real",
    ),
    "write_us": (
        "us",
        "processor time to write an ended job (accepted, lease, final) behind all others, real, without syncs",
    ),
    "open_s": ("s", "processor time of opening the store as a dispatcher does, real"),
    "read_us": (
        "us",
        "time to read an ended job back, by its id, median of 1,000 drawn, real, file in page cache",
    ),
    "read_most_us": ("us", "the most of these, real"),
    "key_us": ("us", "time to find the job of a key, median of 1,000 drawn, real, file in page cache"),
    "forget_s": ("s", "time of the one commit that lets go of `forgets` of the jobs, real, without syncs"),
    "forgotten": ("1", "jobs let go"),
    "left": ("1", "jobs left after that, read again"),
    "ready_s": ("s", "from the start of a dispatcher's process to its word that it has recovered, real"),
    "rss_mib": ("MiB", "that process's resident memory then, real"),
    "most_rss_mib": ("MiB", "the most that it had until then, real"),
}
COUNTED = frozenset({"file_bytes", "bytes_a_job", "held_bytes", "forgotten", "left"})
TIMED = 5_000  # jobs written last, by the store as it is; those before them with a large cache, to be done in time
PLANTED = 4_096  # of those in one commit
LOOKED_AT = 1_000


def needs(point: int, setting: Setting) -> tuple[int, float]:
    return 2, 500.0 + 0.006 * min(point, setting.open)


def writes(count: int, seed: int, setting: Setting, now: int) -> list[list[StoreWrite]]:
    """Each job's records, by `written`."""
    return list(written(count, seed, setting, now))


def written(count: int, seed: int, setting: Setting, now: int) -> Iterator[list[StoreWrite]]:
    """Each job's records; ended ones ended evenly over the last 30 days, the open ones came last."""
    chance = Random(f"{seed} jobs")
    head = (
        json.dumps(
            [
                "/usual",
                [
                    ["Req-Kind", "usual"],
                    ["Req-Owner", "team-000"],
                    ["Req-Cost", "1000"],
                    ["Content-Type", "application/json"],
                ],
            ]
        ).encode()
        + b"\n"
    )
    for i in range(count):
        at = now - 30 * DAY + int(29.9 * DAY * i / count)
        tag = f"{chance.getrandbits(128):032x}"
        ended = i < count - setting.open
        rows: list[StoreWrite] = [
            JobRecord(
                tag,
                f"team-{i % 750:03}",
                f"key-{seed}-{i}",
                chance.randbytes(16),
                Semantics.REPEATABLE,
                at,
                (at if ended else now) + 3600 * SECOND,
                head + chance.randbytes(setting.body),
            )
        ]
        if ended:
            rows.append(LeaseIntended(tag, at + 100, 1, f"worker-{i % 1900:04}"))
            rows.append(
                JobEnded(
                    tag,
                    at + 41 * SECOND,
                    outcome=JobOutcome.SUCCEEDED,
                    status=200,
                    result=chance.randbytes(setting.result),
                )
            )
        yield rows


def store_at(path: Path) -> Store:
    """Without syncs: what they cost is the disk's, not a matter of how much is kept."""
    return Store(
        path, EmulatedDiskWriter(asyncio.new_event_loop(), Random(1), 0.0), use_lock=False, synchronous="OFF"
    )


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    import tracemalloc

    with tempfile.TemporaryDirectory() as space:
        path = Path(space) / "jobs.db"
        now = int(time.time() * SECOND)
        rows = written(point, seed, setting, now)
        timed = min(point, TIMED)
        chance = Random(f"{seed} looks")
        ended = max(0, point - setting.open)
        looked = {chance.randrange(ended): True for _ in range(LOOKED_AT if ended else 0)}
        tags: list[JobRecord] = []
        store = store_at(path)
        store.open()
        assert store._database is not None
        store._database.execute("PRAGMA cache_size = -200000")
        for group in batched(islice(enumerate(rows), point - timed), PLANTED):
            store._commit([write for _, job in group for write in job])
            tags += [accepted(job) for i, job in group if i in looked]
        close(store)
        last = list(rows)
        tags += [accepted(job) for i, job in enumerate(last, point - timed) if i in looked]
        store = store_at(path)
        store.open(include_ended=False)
        begun = time.process_time()
        for i in range(0, timed, setting.group):
            store._commit([write for job in last[i : i + setting.group] for write in job])
        wrote = time.process_time() - begun
        close(store)
        del last
        size = path.stat().st_size
        store = store_at(path)
        begun = time.process_time()
        found = store.open(include_ended=False)
        opened = time.process_time() - begun
        reads = [spent(store.find_ended, one.job_id) for one in tags]
        keys = [spent(store.find_by_key, one.owner, one.key) for one in tags]
        close(store)
        del found
        store = store_at(path)
        tracemalloc.start()
        try:
            found = store.open(include_ended=False)
            held = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        del found
        close(store)
        served = (
            serve(path, setting) if setting.serves else {"ready_s": 0.0, "rss_mib": 0.0, "most_rss_mib": 0.0}
        )
        store = store_at(path)
        store.open(include_ended=False)
        begun = time.perf_counter()
        store._commit([DeleteEndedJobs(now - 30 * DAY + int(29.9 * DAY * setting.forgets))])
        forgot = time.perf_counter() - begun
        close(store)
        store = store_at(path)
        left = len(store.open(include_ended=False)) + store.count_ended()
        close(store)
    return {
        "file_bytes": size,
        "bytes_a_job": size / point,
        "held_bytes": held,
        "write_us": wrote / timed * 1e6,
        "open_s": opened,
        "read_us": median(reads),
        "read_most_us": max(reads, default=0.0),
        "key_us": median(keys),
        "forget_s": forgot,
        "forgotten": point - left,
        "left": left,
        **served,
    }


def accepted(job: list[StoreWrite]) -> JobRecord:
    first = job[0]
    assert isinstance(first, JobRecord)
    return first


def median(spans: list[float]) -> float:
    """0 where there are none, since no job has ended."""
    return sorted(spans)[len(spans) // 2] if spans else 0.0


def spent(look: Callable[..., object], *told: object) -> float:
    """Us of one look that has to find something."""
    begun = time.perf_counter()
    found = look(*told)
    took = (time.perf_counter() - begun) * 1e6
    if found is None:
        raise RuntimeError(f"{told}: not found")
    return took


def batched(rows: Iterator[Any], count: int) -> Iterator[list[Any]]:
    while group := list(islice(rows, count)):
        yield group


def close(store: Store) -> None:
    store.close()
    store.writer.event_loop.close()  # type: ignore[attr-defined]


def serve(path: Path, setting: Setting) -> dict[str, float]:
    """A dispatcher's process that takes the store over; there is no worker and no list for it."""
    table: dict[str, Any] = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "log": {"form": "json"},
        "limits": {"memory": f"{setting.memory_mb}MiB"},
        "schemes": [{"name": "usual", "semantics": "repeatable", "expiry": "2h"}],
        "jobs": {"path": str(path), "retention": "720h"},
    }
    config = path.with_name("d.json")
    config.write_text(json.dumps(table), encoding="utf-8")
    begun = time.perf_counter()
    process = subprocess.Popen(
        [sys.executable, "-m", "pathsaddle", "serve", str(config)],
        stderr=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    try:
        assert process.stderr is not None
        told, last = False, b""
        for line in process.stderr:
            last = line
            with contextlib.suppress(ValueError):
                told = json.loads(line).get("event") == "recovered"
            if told or time.perf_counter() - begun > READY_WITHIN:
                break
        if not told:
            raise RuntimeError(
                f"the dispatcher did not recover within {READY_WITHIN:g} s; it said {last!r} last"
            )
        took = time.perf_counter() - begun
        status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
        sizes = {
            line.partition(":")[0]: line.split()[1] for line in status.splitlines() if line.startswith("Vm")
        }
        return {
            "ready_s": took,
            "rss_mib": int(sizes["VmRSS"]) / 1024,
            "most_rss_mib": int(sizes["VmHWM"]) / 1024,
        }
    finally:
        process.kill()
        process.wait()
        if process.stderr is not None:
            process.stderr.close()
