"""Write the golden data of the durable jobs: tests/data/jobs.json and tests/data/jobs.db.

The data were written once by the code of commit f469a1f and are compared with what today's code writes in
tests/test_golden_jobs.py. The script runs only on that commit, whose modules are named `life`, `call` and `txn_service`:

    git worktree add before f469a1f
    cd before && PYTHONPATH=. python path/to/tests/data/write_jobs.py OUT_FOLDER

The steps that are recorded stand in tests/data/jobs_steps.py, which both sides use.
"""

import asyncio
import contextlib
import json
import sqlite3
import sys
import tempfile
from pathlib import Path

import jobs_steps

from pathsaddle.jobs import call as submitted_call
from pathsaddle.jobs.life import End, Kind, Record
from pathsaddle.jobs.store import Accepted, Store, ThreadWriter, backup, final_sum
from pathsaddle.net.wire.http import Message
from pathsaddle.trade import Semantics
from tests.test_jobs import TxnServiceStory

ENDS = {
    "settled": End.SETTLED,
    "declined": End.DECLINED,
    "reversed": End.REVERSED,
    "cancelled": End.CANCELLED,
}


def write_of(step: dict) -> Accepted | Record:
    """One write of the former store."""
    kind = step["kind"]
    if kind == "accept":
        return Accepted(
            step["job"],
            step["owner"],
            step["key"],
            bytes.fromhex(step["digest"]),
            Semantics[step["semantics"]],
            step["accepted"],
            step["expires"],
            bytes.fromhex(step["call"]),
        )
    if kind == "intent":
        return Record(Kind.INTENT, step["job"], step["at"], step["number"], step["worker"])
    if kind == "clear":
        return Record(Kind.CLEAR, step["job"], number=step["number"])
    if kind == "cancel":
        return Record(Kind.CANCEL, step["job"], step["at"])
    return Record(
        Kind.FINAL,
        step["job"],
        step["at"],
        end=ENDS[step["end"]],
        status=step["status"],
        result=bytes.fromhex(step["result"]),
    )


async def write_store(path: Path) -> None:
    """One commit for each step, so that the file's bytes depend on nothing else."""
    store = Store(path, ThreadWriter())
    store.open()
    for step in jobs_steps.STORE_STEPS:
        await store.put(write_of(step))
    store.close()


def calls() -> list[dict]:
    """Submitted calls with the bytes in the store, the call to the worker and the digest."""
    found = []
    for lines, target, body in jobs_steps.CALLS:
        pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in lines]
        call = Message(
            b"POST",
            target.encode("latin-1"),
            headers={n.lower(): v for n, v in pairs},
            raw_headers=pairs,
            body=bytes.fromhex(body),
        )
        inner = submitted_call.as_txn(call, "j1-1-00000001")
        found.append(
            jobs_steps.call_row(
                call,
                submitted_call.pack(call),
                submitted_call.pack(inner),
                submitted_call.digest(call),
                submitted_call.key_of(call),
            )
        )
    return found


def main(out: Path) -> None:
    out.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        asyncio.run(write_store(folder / "jobs.db"))
        backup(folder / "jobs.db", out / "jobs.db")
        with contextlib.closing(sqlite3.connect(out / "jobs.db")) as db:
            dump = list(db.iterdump())
        commands = jobs_steps.commands(folder, Path.cwd(), sys.executable)
    finals = [write_of(step) for step in jobs_steps.STORE_STEPS if step["kind"] == "final"]
    sums = {
        "accept": [write_of(step).sum for step in jobs_steps.STORE_STEPS if step["kind"] == "accept"],
        "final": [final_sum(record) for record in finals],
    }
    story = TxnServiceStory()
    story.setUp()

    def counters() -> str:
        return story.service.counters.text()

    answers = jobs_steps.http_answers(
        jobs_steps.Harness(
            start=story.starts,
            begin=story.begins,
            die=story.dies,
            wait=story.passes,
            call=story.call,
            report=story.played.words.__setitem__,
            counters=counters,
        )
    )
    story.doCleanups()
    data = {
        "commit": "f469a1f",
        "sqlite": sqlite3.sqlite_version,
        "dump": dump,
        "sums": sums,
        "calls": calls(),
        "commands": commands,
        "http": answers,
    }
    (out / "jobs.json").write_text(json.dumps(data, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main(Path(sys.argv[1]).resolve())
