"""pathsaddle jobs: looks at a store of durable jobs, copies it, puts a copy in its place."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING, TypeAlias

import click

from pathsaddle.scheduler_types import SECOND

if TYPE_CHECKING:
    from pathsaddle.jobs.state_machine import JobStateMachine
    from pathsaddle.jobs.store_rows import StoredJob

JsonValue: TypeAlias = bool | int | float | str | list["JsonValue"] | dict[str, "JsonValue"] | None


@click.group()
def jobs() -> None:
    """Look at, copy and restore the store of durable jobs (docs/jobs.md)."""


def _state_of(machine: JobStateMachine) -> str:
    """Return the state of a job as clients are told it."""
    if machine.outcome is not None:
        return machine.outcome.value
    if machine.is_cancel_requested:
        return "cancelling"
    return "leased" if machine.leases else "accepted"


def _describe(job: StoredJob) -> dict[str, JsonValue]:
    """Return the JSON members of a job; times are seconds since the Unix epoch."""
    record, machine = job
    return {
        "id": machine.job_id,
        "owner": record.owner,
        "key": record.key,
        "semantics": machine.semantics.name.lower(),
        "state": _state_of(machine),
        "accepted": machine.accepted_at / SECOND,
        "expires": machine.expires_at / SECOND,
        "leases": [
            {
                "number": lease.number,
                "worker": lease.worker,
                "at": lease.intended_at / SECOND,
                "never_ran": lease.never_ran,
            }
            for lease in machine.leases
        ],
        "status": machine.status,
        "bytes": len(machine.result),
    }


@jobs.command("list")
@click.argument("store", type=click.Path(dir_okay=False))
@click.option("--open", "open_", is_flag=True, help="Only those without their end.")
def list_(store: str, open_: bool) -> None:
    """All jobs in a STORE, one JSON object a line."""
    from pathsaddle.jobs.maintenance import read_jobs

    for job in read_jobs(Path(store)):
        if not open_ or job.machine.is_open:
            click.echo(json.dumps(_describe(job)))


@jobs.command()
@click.argument("store", type=click.Path(dir_okay=False))
@click.argument("job")
def show(store: str, job: str) -> None:
    """One JOB of a STORE, with its result."""
    from pathsaddle.jobs.errors import JobNotFoundError
    from pathsaddle.jobs.maintenance import read_jobs

    found = next((one for one in read_jobs(Path(store)) if one.machine.job_id == job), None)
    if found is None:
        raise JobNotFoundError(path=store, job=job)
    result = found.machine.result.decode(errors="replace")
    click.echo(json.dumps({**_describe(found), "result": result}, indent=1))


@jobs.command()
@click.argument("store", type=click.Path(dir_okay=False))
def verify(store: str) -> None:
    """All that is wrong in a STORE; exit 1 if anything is."""
    from pathsaddle.jobs import maintenance

    findings = maintenance.verify(Path(store))
    for finding in findings:
        click.echo(finding)
    click.echo(f"{store}: {len(findings)} findings" if findings else f"{store}: nothing is wrong")
    sys.exit(1 if findings else 0)


@jobs.command()
@click.argument("store", type=click.Path(dir_okay=False))
@click.argument("copy", type=click.Path(dir_okay=False))
def backup(store: str, copy: str) -> None:
    """Copy a STORE to COPY while it is in use; COPY is there whole or not at all."""
    from pathsaddle.jobs import maintenance

    maintenance.backup(Path(store), Path(copy))
    click.echo(copy)


@jobs.command()
@click.argument("copy", type=click.Path(dir_okay=False))
@click.argument("store", type=click.Path(dir_okay=False))
def restore(copy: str, store: str) -> None:
    """Put a COPY in a STORE's place. Its dispatcher must not run; what the store held until now is kept beside it.

    Jobs accepted, or ended, after the copy was made are not in it: a once-only job that the copy shows open is
    asked for at its worker, and reversed where that can't say.
    """
    from pathsaddle.jobs import maintenance

    maintenance.restore(Path(copy), Path(store))
    click.echo(store)
