"""pathsaddle jobs: looks at a store of durable jobs, copies it, puts a copy in its place."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click


@click.group()
def jobs() -> None:
    """Look at, copy and restore the store of durable jobs (docs/jobs.md)."""


def _shown(told: Any, job: Any) -> dict[str, Any]:
    return {
        "id": job.tag,
        "owner": told.owner,
        "key": told.key,
        "semantics": job.semantics.name.lower(),
        "state": job.end.value
        if job.end
        else "cancelling"
        if job.cancel
        else "leased"
        if job.leases
        else "accepted",
        "accepted": job.accepted / 1e4,
        "expires": job.expires / 1e4,
        "leases": [
            {
                "number": lease.number,
                "worker": lease.worker,
                "at": lease.at / 1e4,
                "never_ran": lease.never_ran,
            }
            for lease in job.leases
        ],
        "status": job.status,
        "bytes": len(job.result),
    }


@jobs.command("list")
@click.argument("store", type=click.Path(dir_okay=False))
@click.option("--open", "open_", is_flag=True, help="Only those without their end.")
def list_(store: str, open_: bool) -> None:
    """All jobs in a STORE, one JSON object a line."""
    from pathsaddle.jobs.store import rows

    for told, job in rows(Path(store)):
        if not open_ or job.open:
            click.echo(json.dumps(_shown(told, job)))


@jobs.command()
@click.argument("store", type=click.Path(dir_okay=False))
@click.argument("job")
def show(store: str, job: str) -> None:
    """One JOB of a STORE, with its result."""
    from pathsaddle.jobs.store import JobNotFoundError, rows

    found = [(told, one) for told, one in rows(Path(store)) if one.tag == job]
    if not found:
        raise JobNotFoundError(path=store, job=job)
    told, one = found[0]
    click.echo(json.dumps({**_shown(told, one), "result": one.result.decode(errors="replace")}, indent=1))


@jobs.command()
@click.argument("store", type=click.Path(dir_okay=False))
def verify(store: str) -> None:
    """All that is wrong in a STORE; exit 1 if anything is."""
    import sys

    from pathsaddle.jobs.store import verify as look

    found = look(Path(store))
    for text in found:
        click.echo(text)
    click.echo(f"{store}: {len(found)} findings" if found else f"{store}: nothing is wrong")
    sys.exit(1 if found else 0)


@jobs.command()
@click.argument("store", type=click.Path(dir_okay=False))
@click.argument("copy", type=click.Path(dir_okay=False))
def backup(store: str, copy: str) -> None:
    """Copy a STORE to COPY while it is in use; COPY is there whole or not at all."""
    from pathsaddle.jobs.store import backup as make

    make(Path(store), Path(copy))
    click.echo(copy)


@jobs.command()
@click.argument("copy", type=click.Path(dir_okay=False))
@click.argument("store", type=click.Path(dir_okay=False))
def restore(copy: str, store: str) -> None:
    """Put a COPY in a STORE's place. Its dispatcher must not run; what the store held until now is kept beside it.

    Jobs accepted, or ended, after the copy was made are not in it: a once-only job that the copy shows open is
    asked for at its worker, and reversed where that can't say.
    """
    from pathsaddle.jobs.store import restore as put

    put(Path(copy), Path(store))
    click.echo(store)
