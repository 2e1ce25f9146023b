"""Case 9: a dispatcher that restarts without the list sends a durable job to a worker that is running it."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402  # the stand-ins stand beside the cases
    ACCEPTED,
    HAS_TROUBLE,
    HOST,
    SETTLED,
    Case,
    CaseError,
    Client,
    Discovery,
    Record,
    Worker,
    WorkerManners,
    charter_dispatcher,
    entry,
    free_port,
    overlaps,
    run_case,
    until_ready,
)

JOBS = 6
JOB_MS = 26000
RUNS_FOR_S = 3.0  # before the dispatcher dies
DEAD_FOR_S = 1.5  # "come back after 1.3 to 7.4 s"
OUTAGE_S = 10.5  # "out of reach for 10 to 23 s"
PATIENCE_S = 60.0
DISPATCHERS = 3  # of which one dies: a third, "up to 46%"
CHARTER = """name = "n{number}"
listen = "{listen}"
discovery = "{discovery}"
seed = "8c1f30d27a5be964"
dispatchers = 3
number = {number}
[[schemes]]
name = "phase-calc"
semantics = "repeatable"
sla = "2500ms"
stretch = 1.25
expiry = "60s"
late_value = 0.5
[jobs]
path = "{store}"
"""


async def follow(record: Record, client: Client, job_ids: list[str]) -> None:
    """Ask for each job until it has ended."""
    end, open_ids = record.now() + PATIENCE_S, list(job_ids)
    while open_ids and record.now() < end:
        for job_id in list(open_ids):
            answer = await client.call("GET", f"/jobs/{job_id}", {})
            job = json.loads(answer.body) if answer.status == SETTLED else {}
            if job.get("state") not in {None, "accepted", "leased"}:
                record.add("ended", **job)
                open_ids.remove(job_id)
        await asyncio.sleep(0.5)


async def play(case: Case) -> None:
    """Jobs run at two calc nodes; their dispatcher dies and is back while the roster is out of reach."""
    record = case.record
    address = f"{HOST}:{free_port()}"
    manners = WorkerManners(
        slots=6, progress_s=2.0, fields=("x0", "queue", "inflight"), reports_in_answers=True
    )
    record.workers = [Worker(record, f"w{i}", address, manners) for i in range(2)]
    for worker in record.workers:
        await worker.start()
    discovery = Discovery([entry(worker.name, worker.port, "here") for worker in record.workers])
    await discovery.start()
    charters = [
        CHARTER.format(
            number=number,
            listen=address if number == 0 else f"{HOST}:{free_port()}",
            discovery=f"{HOST}:{discovery.port}",
            store=case.folder / f"jobs-{number}.db",
        )
        for number in range(DISPATCHERS)
    ]
    dispatcher, *_ = [
        case.start(charter_dispatcher(case.folder, f"n{number}", charter))
        for number, charter in enumerate(charters)
    ]
    await until_ready(address)
    client = Client(record, address)
    job_ids = []
    for i in range(JOBS):
        told = {"Idempotency-Key": f"k{i}", "Req-Deadline-Ms": "60000", "Req-Cost": str(JOB_MS * 1000)}
        body = json.dumps({"ms": JOB_MS, "mark": f"k{i}"}).encode()
        answer = await client.call("POST", "/jobs/phase-calc", told, body)
        record.add("submitted", status=answer.status, body=answer.body.decode())
        if answer.status != ACCEPTED:
            raise CaseError(f"a job was not accepted: {answer.status}")
        job_ids.append(json.loads(answer.body)["id"])
    await asyncio.sleep(RUNS_FOR_S)

    if HAS_TROUBLE:
        discovery.go_down()
        record.add("roster", reach="out")
        dispatcher.end()
        record.add("killed")
        await asyncio.sleep(DEAD_FOR_S)
        case.start(charter_dispatcher(case.folder, "n0", charters[0]))
        record.add("restarted")
        await asyncio.sleep(OUTAGE_S - DEAD_FOR_S)
        discovery.come_back()
        record.add("roster", reach="back")
        await until_ready(address)
        client = Client(record, address)
    await follow(record, client, job_ids)
    await asyncio.sleep(1.0)


def judge(record: Record) -> list[str]:
    """One worker gets one attempt of a request at a time; copies at other workers are allowed here."""
    return overlaps(record.workers, same_worker_only=True)


if __name__ == "__main__":
    sys.exit(run_case(HERE, play, judge))
