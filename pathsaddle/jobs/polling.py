"""`GET /jobs/ID`: a client asks for its job and may wait for a change.

The job service hands in the calls; completion and leases report changes. Polling changes no job's state.
"""

from __future__ import annotations

from dataclasses import dataclass

from pathsaddle.jobs.active_job import ActiveJob, PendingPoll
from pathsaddle.jobs.http_answers import RETRY_WHILE_RECOVERING, send_job, send_refusal
from pathsaddle.jobs.job_host import JobHost
from pathsaddle.jobs.registry import JobRegistry
from pathsaddle.jobs.state_machine import Ticks
from pathsaddle.jobs.submitted_call import JOBS_PATH, owner_of
from pathsaddle.net.memory.ledger import Answer
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.wire.http import HttpError, Message
from pathsaddle.scheduler_types import MILLISECOND


@dataclass(slots=True, frozen=True)
class PollOptions:
    """How long a status request waits, and the number of changes that its client knows."""

    wait_ticks: Ticks
    since_change: int


def job_id_of(call: Message) -> str:
    """Return the id in the path of a call."""
    return call.target.partition(b"?")[0][len(JOBS_PATH) :].decode("latin-1")


def poll_options_of(call: Message, longest_poll_ticks: Ticks) -> PollOptions:
    """Return what the query of a call says.

    Raises:
        HttpError: `wait_ms` or `since` is no number (400).
    """
    query = call.target.partition(b"?")[2].decode("latin-1")
    fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
    try:
        wait_ticks = min(longest_poll_ticks, int(float(fields.get("wait_ms", "0")) * MILLISECOND))
        return PollOptions(wait_ticks, int(fields.get("since", "-1")))
    except ValueError:
        raise HttpError(400, "wait_ms and since are numbers") from None


def find_own_job(registry: JobRegistry, call: Message) -> ActiveJob:
    """Return the job that a call is about.

    Raises:
        HttpError: There is none, or it is another tenant's (404), or the store cannot be read (503).
    """
    job = registry.find(job_id_of(call))
    if job is None or owner_of(call) != job.record.owner:
        raise HttpError(404, "no such job")
    return job


class JobPolling:
    """Answers status requests, at once or after a change."""

    def __init__(self, host: JobHost, registry: JobRegistry, longest_poll_ticks: Ticks) -> None:
        self._host = host
        self._registry = registry
        self._longest_poll_ticks = longest_poll_ticks

    def take_status_call(self, call: Message, answer: Answer) -> None:
        """Answer a status request; one with `wait_ms` waits until the changes are past its `since`.

        Raises:
            HttpError: There is no such job of this tenant, or the query is malformed.
        """
        if not self._host.is_recovered:
            send_refusal(answer, "recovering", RETRY_WHILE_RECOVERING)
            return
        job = find_own_job(self._registry, call)
        options = poll_options_of(call, self._longest_poll_ticks)
        if options.wait_ticks > 0 and job.is_open and job.change_count <= options.since_change:
            delay = seconds(options.wait_ticks)
            timer = self._host.event_loop.call_later(delay, self._on_timeout, job, answer)
            job.polls.append(PendingPoll(answer, timer))
            return
        send_job(answer, job)

    def answer_polls(self, job: ActiveJob) -> None:
        """Answer all who wait for a change of a job."""
        polls, job.polls = job.polls, []
        for poll in polls:
            poll.timer.cancel()
            send_job(poll.answer, job)

    @staticmethod
    def _on_timeout(job: ActiveJob, answer: Answer) -> None:
        job.polls = [poll for poll in job.polls if poll.answer is not answer]
        send_job(answer, job)
