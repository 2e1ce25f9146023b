"""What the dispatcher asks workers about leases, and how it tells them that a job is withdrawn.

The leases, the recovery and the cancellation use it. It changes no job's state; what a report means is
decided by `state_machine`.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus

from pathsaddle.jobs.state_machine import Lease, LeaseReport
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.service.workers import ConnectionLostError, RequestNotSentError, Workers

REPORTS_BY_STATE = {"running": LeaseReport.RUNNING, "failed": LeaseReport.FAILED}  # by the protocol's states


@dataclass(slots=True, frozen=True)
class LeaseAnswer:
    """What a worker says of a lease, and the job's result where it has one."""

    report: LeaseReport
    result: bytes = b""


UNKNOWN = LeaseAnswer(LeaseReport.UNKNOWN)


class WorkerClient:
    """The calls to workers that are about leases and not attempts."""

    def __init__(self, workers: Workers, counters: Counters) -> None:
        self._workers = workers
        self._counters = counters

    async def query_lease(self, job_id: str, lease: Lease) -> LeaseAnswer:
        """Ask a lease's worker what became of it, and to refuse it from now on where it never began.

        Workers that know nothing of this answer 404 without a fence, or not at all: `LeaseReport.UNKNOWN`.
        """
        target = b"/jobs/%s?fence=%d" % (job_id.encode(), lease.number)
        try:
            async with asyncio.timeout(seconds(self._workers.connect_timeout)):
                answer = await self._workers.call(lease.worker, "GET", target, [], is_query=True)
        except (RequestNotSentError, ConnectionLostError, TimeoutError):
            return UNKNOWN
        try:
            document = json.loads(answer.body) if answer.status == HTTPStatus.OK else {}
            state = document.get("state")
            if state == "done":
                return LeaseAnswer(LeaseReport.DONE, str(document.get("result", "")).encode())
            if state == "never" and document.get("fence") == lease.number:
                return LeaseAnswer(LeaseReport.NEVER_RAN)
        except (ValueError, AttributeError):
            return UNKNOWN
        return LeaseAnswer(REPORTS_BY_STATE.get(str(state), LeaseReport.UNKNOWN))

    async def withdraw(self, job_id: str, worker: str) -> None:
        """Tell a worker that a job is withdrawn; whether it has heard of it is only counted."""
        self._counters.add("withdrawal")
        try:
            async with asyncio.timeout(seconds(self._workers.connect_timeout)):
                await self._workers.call(worker, "DELETE", b"/jobs/" + job_id.encode(), [])
        except (RequestNotSentError, ConnectionLostError, TimeoutError):
            self._counters.add("withdrawal.unanswered")
