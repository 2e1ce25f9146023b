"""pathsaddle fleet: asks a running dispatcher what it believes of the others."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import click


def _asked(charter: str, word: str) -> Any:
    """By the control address that a charter names, or that stands in its place."""
    from pathsaddle.charter.told import read
    from pathsaddle.cli.stop import NoControl
    from pathsaddle.fleet.asking import NoAddress, asked
    address = charter
    if not Path(charter).exists() and not charter.endswith((".toml", ".json")) and "/" not in charter and (
            not charter.rpartition(":")[1]):
        raise NoAddress(address=charter)
    if not charter.rpartition(":")[2].isdigit():
        told = read(charter)
        if told.fleet is None or not told.fleet.control:
            raise NoControl(charter=charter)
        address = told.fleet.control
    return asked(address, word)


@click.group()
def fleet() -> None:
    """Ask a running dispatcher about the fleet (docs/membership.md)."""


def _ago(ms: int | None) -> str:
    return "never" if ms is None else f"{ms / 1000:.1f} s"


@fleet.command()
@click.argument("charter")
@click.option("--json", "as_json", is_flag=True, help="All that it says, as one JSON object.")
def members(charter: str, as_json: bool) -> None:
    """Who is in the fleet, as the dispatcher of CHARTER (or at HOST:PORT) sees it, and when it heard of each."""
    told = _asked(charter, "members")
    if as_json:
        click.echo(json.dumps(told))
        return
    from rich.console import Console
    from rich.table import Table
    state = "silent: its name is another's too" if told["silent"] else (
        "alone: nobody answers it" if told["alone"] else f"own health {told['health']} (0 is well)")
    table = Table(title=f"fleet {told['fleet']} as {told['name']}/{told['life']} in {told['zone']} sees it; {state}",
                  title_justify="left")
    for name in ("member", "zone", "address", "state", "for", "heard", "by others", "life"):
        table.add_column(name)
    for row in told["members"]:
        table.add_row(row["name"], row["zone"], row["address"], row["state"], _ago(row["for"]), _ago(row["heard"]),
                      _ago(row["heard_by"]), str(row["life"]))
    Console(width=120).print(table)
