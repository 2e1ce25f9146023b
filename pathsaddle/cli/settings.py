"""pathsaddle settings: reads and changes what all dispatchers share, by a keeper (docs/settings-store.md)."""

from __future__ import annotations

import getpass
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

from pathsaddle.errors import Error

F = TypeVar("F", bound=Callable[..., Any])
PAUSE = 0.2  # seconds between two looks at whether a revision is in force


def _options(call: F) -> F:
    call = click.option("--json", "as_json", is_flag=True, help="All that it says, as one JSON object.")(call)
    return click.option(
        "--at",
        envvar="PATHSADDLE_SETTINGS",
        required=True,
        metavar="FILE|HOST:PORT",
        help="The file of keepers, or the control address of one. [env: PATHSADDLE_SETTINGS]",
    )(call)


def _addresses(at: str) -> list[str]:
    if at.rpartition(":")[2].isdigit() and not Path(at).exists():
        return [at]
    from pathsaddle.settings.cluster_file import load_cluster_file
    from pathsaddle.settings.errors import ClusterFileError

    found = [row.control for row in load_cluster_file(at).keepers.values() if row.control]
    if not found:
        raise ClusterFileError(
            f"{at}: no keeper has a control address", f"write one at keepers.NAME.control in {at}"
        )
    return found


def _asked(at: str, word: str, patience: float = 5.0, **more: Any) -> tuple[str, dict[str, Any]]:
    """Of the first keeper that answers; who it is."""
    from pathsaddle.settings.control_client import query
    from pathsaddle.settings.errors import ServerUnreachableError

    addresses = _addresses(at)
    for address in addresses:
        try:
            return address, query(address, word, patience, **more)
        except ServerUnreachableError as fault:
            # Nobody took the connection: nothing was asked. Of anything else nobody knows what came of it.
            if address == addresses[-1] or not _unheard(fault):
                raise
    raise AssertionError


def _unheard(fault: Error) -> bool:
    return "refused" in str(fault.told.get("why", ""))


@click.group()
def settings() -> None:
    """Read and change the settings that all dispatchers share (docs/settings-store.md)."""


@settings.command()
@click.argument("key", default="")
@_options
def get(key: str, at: str, as_json: bool) -> None:
    """The rows that are committed: all, that of KEY, or those of a table."""
    _, told = _asked(at, "get", key=key)
    if as_json:
        click.echo(json.dumps(told))
        return
    for one, value in told["rows"].items():
        click.echo(f"{one} = {json.dumps(value)}")
    click.echo(f"revision {told['revision']}, {told['digest'] or 'nothing yet'}, {_proved(told)}")


def _proved(told: dict[str, Any]) -> str:
    ago = told.get("proved_ms")
    return (
        "no majority of voters has proved that it is the latest"
        if ago is None
        else f"proved the latest {ago / 1000:.1f} s ago"
    )


@settings.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--expect", type=click.IntRange(min=0), help="Only if this is still the latest revision.")
@click.option("--reason", default="", help="For who reads the history.")
@click.option("--author", default="", help="Instead of the user's name.")
@click.option("--wait/--no-wait", default=False, help="Until it is in force everywhere.")
@click.option("--within", default=30.0, help="Seconds that it may take to be in force, with --wait.")
@_options
def apply(
    file: str, expect: int | None, reason: str, author: str, wait: bool, within: float, at: str, as_json: bool
) -> None:
    """Commit the rows of FILE, all or none: [customers.NAME], [schemes.NAME], [budgets], [members.NAME], zones, [rules],
    and `remove = [keys]`.
    """
    from pathsaddle.config.validation import load_toml
    from pathsaddle.settings.changes import changes_from_tables, parse_change_file
    from pathsaddle.settings.errors import NotYetActiveError

    rows, remove = parse_change_file(load_toml(file))
    changes_from_tables(rows, remove)
    begun = time.monotonic()
    address, told = _asked(
        at,
        "apply",
        20.0,
        rows=rows,
        remove=remove,
        expect=expect,
        reason=reason,
        author=author or getpass.getuser(),
    )
    if not as_json:
        click.echo(
            f"revision {told['revision']} is committed, {told['digest']}"
            if told["changed"]
            else f"nothing changes: revision {told['revision']} has it"
        )
    if wait:
        state = _forced(address, told["revision"], begun + within, not as_json)
        told |= {"in_force": state["in_force"], "waits_for": state["waits_for"]}
        if as_json:
            click.echo(json.dumps(told))
        if not state["in_force"]:
            raise NotYetActiveError(
                revision=told["revision"],
                within=within,
                names=", ".join(state["waits_for"]) or "leases to end",
            )
        if not as_json:
            click.echo(f"in force after {time.monotonic() - begun:.2f} s")
    elif as_json:
        click.echo(json.dumps(told))


def _forced(address: str, revision: int, until: float, shows: bool) -> dict[str, Any]:
    from pathsaddle.settings.control_client import query

    shown: list[str] | None = None
    while True:
        state = query(address, "status", revision=revision)
        if state["in_force"] or time.monotonic() >= until:
            return state
        if shows and state["waits_for"] != shown:
            shown = state["waits_for"]
            click.echo(
                f"waits for {', '.join(shown[:16]) or 'leases to end'}{f' and {len(shown) - 16} more' if len(shown) > 16 else ''}"
            )
        time.sleep(PAUSE)


@settings.command()
@click.option("--most", default=50, help="Groups, the latest.")
@_options
def history(most: int, at: str, as_json: bool) -> None:
    """Who changed what, when and why."""
    _, told = _asked(at, "history", most=most)
    if as_json:
        click.echo(json.dumps(told))
        return
    for group in told["groups"]:
        when = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(group["at"] / 1000))
        click.echo(
            f"{group['revision']}  {when}  {group['author']}  {group['reason'] or '-'}  {group['digest']}"
        )
        for key, value in group["puts"].items():
            click.echo(f"    {key} {'goes' if value is None else '= ' + json.dumps(value)}")


@settings.command()
@_options
def status(at: str, as_json: bool) -> None:
    """What is committed, what is in force, and who is waited for."""
    _, told = _asked(at, "status")
    if as_json:
        click.echo(json.dumps(told))
        return
    if "force" not in told:  # a member's
        left = (
            f"leased for {told['left_ms'] / 1000:.1f} s more" if told["leased"] else "alone: it has no lease"
        )
        click.echo(
            f"member {told['name']} acts by revision {told['revision']} of {told['known']}, {left}, asks {told['keeper']}"
        )
        return
    click.echo(
        f"keeper {told['name']}: revision {told['revision']} of {told['known']}, in force: {told['force']}, {_proved(told)}"
    )
    click.echo(
        f"{len(told['members'])} members, {len(told['clients'])} ask here, {told['queue']} wait for what they lack"
    )
    if told["waits_for"]:
        click.echo(f"revision {told['known']} waits for:")
        for name in told["waits_for"]:
            click.echo(f"    {name}  {_has(told, name)}")


def _has(told: dict[str, Any], name: str) -> str:
    if name == "?":
        return f"the text of revision {told['known']} at this keeper"
    has = told["rows"].get(name)
    return "said nothing yet" if has is None else f"has revision {has}"
