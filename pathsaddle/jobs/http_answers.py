"""The JSON answers of the HTTP paths of jobs.

The names of members and their order are the protocol with clients and stay. The parts that clients' calls
lead to send their answers with these functions, which change no state.
"""

from __future__ import annotations

import base64
import json

import msgspec

from pathsaddle.jobs.active_job import ActiveJob
from pathsaddle.jobs.state_machine import Ticks
from pathsaddle.net.memory.ledger import Answer
from pathsaddle.scheduler_types import SECOND

RETRY_AFTER_FAILED_COMMIT: Ticks = SECOND
RETRY_WHILE_RECOVERING: Ticks = SECOND // 2


class JobAnswer(msgspec.Struct):
    """What a client is shown of its job; members that do not apply are left out."""

    id: str
    changes: int
    lease: int | msgspec.UnsetType = msgspec.UNSET
    state: str = "accepted"
    status: int | msgspec.UnsetType = msgspec.UNSET
    may_have_run: bool | msgspec.UnsetType = msgspec.UNSET
    result: str | msgspec.UnsetType = msgspec.UNSET
    result_base64: str | msgspec.UnsetType = msgspec.UNSET


class RefusalAnswer(msgspec.Struct):
    """Why a call cannot be served now."""

    why: str


def describe_job(job: ActiveJob) -> JobAnswer:
    """Return what a client is shown of its job: an end only once it is on disk."""
    machine = job.machine
    answer = JobAnswer(machine.job_id, job.change_count)
    if machine.leases:
        answer.lease = machine.leases[-1].number
    if job.is_open or machine.outcome is None:
        if machine.leases:
            answer.state = "cancelling" if machine.is_cancel_requested else "leased"
        return answer
    answer.state, answer.status = machine.outcome.value, machine.status
    answer.may_have_run = bool(machine.leases_in_doubt())
    try:
        answer.result = machine.result.decode()
    except UnicodeDecodeError:
        answer.result_base64 = base64.b64encode(machine.result).decode()
    return answer


def send_answer(answer: Answer, status: int, body: JobAnswer | RefusalAnswer, retry_after: Ticks = 0) -> None:
    """Answer a call with JSON, and with a `Retry-After` where one is given."""
    headers = ["Content-Type: application/json"]
    if retry_after:
        headers.append(f"Retry-After: {retry_after / SECOND:g}")
    answer(status, json.dumps(msgspec.to_builtins(body)).encode(), tuple(headers), True)


def send_job(answer: Answer, job: ActiveJob, status: int = 200) -> None:
    """Answer a call with a job as it is now."""
    send_answer(answer, status, describe_job(job))


def send_refusal(answer: Answer, reason: str, retry_after: Ticks = RETRY_AFTER_FAILED_COMMIT) -> None:
    """Answer a call with 503, the reason, and when to come back."""
    send_answer(answer, 503, RefusalAnswer(reason), retry_after)
