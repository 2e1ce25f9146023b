"""What the parts of the job service share: made once by `JobService` and handed to each part."""

from __future__ import annotations

from dataclasses import dataclass

from pathsaddle.jobs.active_job import JobServiceOptions
from pathsaddle.jobs.job_host import JobHost
from pathsaddle.jobs.polling import JobPolling
from pathsaddle.jobs.registry import JobRegistry
from pathsaddle.jobs.run_queue import RunQueue
from pathsaddle.jobs.store_commits import StoreCommits
from pathsaddle.jobs.worker_client import WorkerClient


@dataclass(slots=True, frozen=True)
class JobContext:
    """The shared parts.

    Attributes:
        host: The request service.
        registry: The jobs in memory and the way to those on disk.
        commits: The way to the store for all writes.
        run_queue: The jobs that wait, and the slots before the decisions.
        polling: The clients who wait for a change.
        worker_client: The way to workers for what is about leases.
        options: What the configuration says of jobs.
    """

    host: JobHost
    registry: JobRegistry
    commits: StoreCommits
    run_queue: RunQueue
    polling: JobPolling
    worker_client: WorkerClient
    options: JobServiceOptions
