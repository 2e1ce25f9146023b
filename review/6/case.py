"""Case 6: two dispatchers give two clients' jobs one id; the second client gets the first one's result."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import (  # noqa: E402  # the stand-ins stand beside the cases
    ACCEPTED,
    OK,
    CouldNotRunError,
    Program,
    Stage,
    Worker,
    call,
    main,
    request_bytes,
    with_trouble,
)

DISPATCHERS = 5
WORK = 0.2  # seconds; "120 to 240 ms of running on average"
WINDOW = 2.5  # seconds; "the loan workers of one site drop a repeat for 2.5 s"
DOWN = 0.2  # seconds from the kill to the new start; "0.2 to 1.5" down, and a start takes time, too
# The figures of highland-loans. No seed is named, so that the default counts.
CHARTER = """
name = "{name}"
listen = "{listen}"
discovery = "{discovery}"
dispatchers = 5
number = {number}

[limits]
sockets = 256
memory = "192MiB"

[[schemes]]
name = "repayment"
semantics = "referenced"
group = "zone"
window = "2500ms"
sla = "2s"
stretch = 2.5
expiry = "5s"
value = 10

[allowed]
postings = 5

[jobs]
path = "{folder}/{name}.db"
"""


async def submit(stage: Stage, dispatcher: Program, client: str) -> str:
    """Submit a client's job, and return the id that it is told."""
    headers = {"Idempotency-Key": f"key-of-{client}", "Req-Cost": f"{WORK * 1e6:.0f}"}
    data = request_bytes("POST", "/jobs/repayment", headers, f"repayment of {client}".encode())
    answer = await call(dispatcher.address, data)
    stage.record.add(f"{client} submits at {dispatcher.name}: {answer.status} {answer.body.decode()}")
    if answer.status != ACCEPTED:
        raise CouldNotRunError(f"{client}'s job was not accepted")
    return str(json.loads(answer.body)["id"])


async def poll(stage: Stage, dispatcher: Program, client: str, job_id: str) -> str | None:
    """Wait for the end of a client's job, and return its result; None where it has none."""
    state: dict[str, object] = {}
    while state.get("state", "accepted") in {"accepted", "leased"}:
        target = f"/jobs/{job_id}?wait_ms=5000&since={state.get('changes', 0)}"
        answer = await call(dispatcher.address, request_bytes("GET", target, {}))
        if answer.status != OK:
            raise CouldNotRunError(f"{client}'s poll: {answer.status}")
        state = json.loads(answer.body)
    stage.record.add(f"{client} is answered: {state}")
    return str(state["result"]) if state["state"] == "settled" else None


async def case(stage: Stage) -> bool:
    """Return whether each client got the result of its own job."""
    worker = Worker(stage.record, "loan-worker-1", work_s=WORK, remembers_s=WINDOW)
    dispatchers = [
        await stage.start_by_charter(f"n{number}", CHARTER, [worker], number=str(number))
        for number in range(DISPATCHERS)
    ]
    first, second = dispatchers[:2]
    results = {}
    job_id = await submit(stage, first, "client-1")
    results["client-1"] = await poll(stage, first, "client-1", job_id)
    if with_trouble():
        await first.kill()
    # The front deals the next client out to a dispatcher that lives.
    where = second if with_trouble() else first
    job_id = await submit(stage, where, "client-2")
    results["client-2"] = await poll(stage, where, "client-2", job_id)
    if with_trouble():
        await asyncio.sleep(DOWN)
        await first.start()
        await first.wait_until_ready()
    stage.record.add(f"run: {[body.decode() for _, body, _ in worker.runs]}")
    is_kept = True
    for client, result in results.items():
        if result not in {None, f"result for repayment of {client}"}:
            stage.record.add(f"{client} got {result!r}, which was made for another job")
            is_kept = False
    return is_kept


main(case, HERE)
