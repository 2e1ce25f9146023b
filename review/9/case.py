"""Case 9: a referenced txn is sent to another region after its workers have forgotten it, and runs twice."""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402  # the stand-ins stand beside the cases
    HAS_TROUBLE,
    HOST,
    SLACK_S,
    Attempt,
    Case,
    CaseError,
    Client,
    Discovery,
    Memory,
    Record,
    Worker,
    WorkerManners,
    charter_dispatcher,
    entry,
    free_port,
    module_program,
    run_case,
    until,
    until_ready,
)

WINDOW_S = 2.5  # for which workers remember a txn
SILENT_S = 3.2  # of a turn of 10 s at most: "of which 32 to 51% is bad"
HELD_UP_S = 0.15  # "a dispatcher that is held up for up to 0.15 s between reading its clock and writing"
JOB_MS = 240
SCHEME = "repayment"
REGIONS = {"n": "north", "w": "west"}
SPEC = """[regions.north]
members = ["n"]
group = "all-sites"
[regions.west]
members = ["w"]
group = "all-sites"
[schemes.repayment]
semantics = "referenced"
home = "north"
may = ["north", "west"]
fail_over = ["west"]
when = ["lost", "overloaded"]
at_most = 1.0
"""
CHARTER = """name = "{name}"
listen = "{listen}"
discovery = "{discovery}"
seed = "8c1f30d27a5be964"
[[schemes]]
name = "repayment"
semantics = "referenced"
sla = "1s"
stretch = 2.5
expiry = "10s"
late_value = 0.3
group = "all"
window = "2500ms"
[reports]
progress = "0s"
[federation]
ground = "{folder}/ground.toml"
member = "{name}"
doors = {{ {other} = ["{door}"] }}
"""


def write_ground(folder: Path) -> Path:
    """Write the file of the federation's members and keeper."""
    lines = [
        'key = "sixteen bytes or more"',
        'lease = "5s"',
        f'register = "{folder}/register"',
        f'spec = "{folder}/spec.toml"',
        f'log = "{folder}/log"',
        "capacity = 100.0",
    ]
    for name, region in REGIONS.items():
        lines += [
            f"[members.{name}]",
            f'region = "{region}"',
            f'disk = "{folder}/disk-{name}"',
            f'address = "{HOST}:{free_port(socket.SOCK_DGRAM)}"',
        ]
    lines += ["[keepers.k]", f'address = "{HOST}:{free_port(socket.SOCK_DGRAM)}"']
    (folder / "spec.toml").write_text(SPEC)
    (folder / "ground.toml").write_text("\n".join(lines) + "\n")
    return folder / "ground.toml"


def is_joined(folder: Path) -> bool:
    """Whether both members have the spec, and west may lend."""
    held, lends = set(), set()
    for path in (folder / "log").glob("*.jsonl"):
        for line in path.read_text().splitlines():
            if not line.endswith("}"):
                continue
            row = json.loads(line)
            more = row["more"]
            if row["what"] == "spec.version" and more.get("state") == "held" and more["until"] > row["at"]:
                held.add(more["who"])
            if row["what"] == "share.rights" and more.get("units"):
                lends.add(more["who"])
    return held == set(REGIONS) and "w" in lends


async def start_federation(case: Case, workers: dict[str, list[Worker]], doors: dict[str, str]) -> None:
    """Commit the spec, start keeper and dispatchers, and wait until they have found each other."""
    folder = case.folder
    ground = write_ground(folder)
    words = ["commit", str(ground), str(folder / "spec.toml"), "--offer", "0.1"]
    commit = case.start(module_program(folder, "commit", "pathsaddle.federation", *words))
    if await commit.wait(20.0) != 0:
        raise CaseError("the spec was not committed")
    case.start(module_program(folder, "keeper", "pathsaddle.federation", "keeper", str(ground), "k"))
    for name, other in (("n", "w"), ("w", "n")):
        for worker in workers[name]:
            await worker.start()
        discovery = Discovery([entry(one.name, one.port, "here") for one in workers[name]])
        await discovery.start()
        charter = CHARTER.format(
            name=name,
            listen=doors[name],
            discovery=f"{HOST}:{discovery.port}",
            folder=folder,
            other=REGIONS[other],
            door=doors[other],
        )
        case.start(charter_dispatcher(folder, name, charter))
    for door in doors.values():
        await until_ready(door)
    await until("the federation", lambda: is_joined(folder), 30.0)


class Fall:
    """One worker falls silent as it runs the txn; then the machine's agent sees that its process has died."""

    def __init__(self, record: Record, workers: list[Worker]) -> None:
        self.record = record
        self.task: asyncio.Task[None] | None = None
        for worker in workers:
            worker.on_run = lambda attempt, worker=worker: self._on_run(worker, attempt)

    def _on_run(self, worker: Worker, attempt: Attempt) -> None:
        if HAS_TROUBLE and attempt.id == "the-one" and self.task is None:
            self.task = asyncio.create_task(self._fall(worker, attempt))

    async def _fall(self, worker: Worker, attempt: Attempt) -> None:
        worker.is_heard.clear()
        self.record.add("silent", worker=worker.name)
        await asyncio.sleep(SILENT_S)
        attempt.how = "lost"
        worker.drop_untold()
        worker.is_heard.set()
        self.record.add("died", worker=worker.name)
        await worker.call_back({"id": attempt.id, "from": worker.name, "state": "lost"})


async def play(case: Case) -> None:
    """Two regions of one dispatcher and two workers each; a worker runs a txn, falls silent, and has died."""
    record = case.record
    doors = {name: f"{HOST}:{free_port()}" for name in REGIONS}
    memory = Memory(WINDOW_S)
    manners = WorkerManners(slots=2, fields=("x0", "queue", "inflight"), reports_in_answers=True)
    workers = {
        name: [Worker(record, f"{name}{i}", doors[name], manners, memory) for i in range(2)]
        for name in REGIONS
    }
    record.workers = [worker for group in workers.values() for worker in group]
    await start_federation(case, workers, doors)

    client = Client(record, doors["n"])
    for i in range(4):
        await client.job(f"usual-{i}", SCHEME, JOB_MS, 8000)
    fall = Fall(record, workers["n"])
    await client.job("the-one", SCHEME, JOB_MS, 8000)
    if fall.task is not None:
        await fall.task
    await asyncio.sleep(0.5)


def judge(record: Record) -> list[str]:
    """Later sends only while the workers remember the first that may have run; one effect a txn."""
    found = []
    attempts = sorted(
        (one for worker in record.workers for one in worker.attempts if one.id == "the-one"),
        key=lambda one: one.came_at,
    )
    for later in attempts[1:]:
        after = later.came_at - attempts[0].came_at
        if after > WINDOW_S + SLACK_S + HELD_UP_S:
            found.append(
                f"the-one may have run at {attempts[0].worker}, and was sent to {later.worker} {after:.3f} s "
                f"later; the workers remember it for {WINDOW_S:g} s"
            )
    effects = [row for row in record.of("ran") if row["id"] == "the-one" and not row["repeat"]]
    if len(effects) > 1:
        found.append(f"the-one had its effect {len(effects)} times: {[row['worker'] for row in effects]}")
    return found


if __name__ == "__main__":
    sys.exit(run_case(HERE, play, judge))
