"""pathsaddle fleet: asks a running dispatcher what it believes of the others."""

from __future__ import annotations

import json
from typing import Any

import click


def _asked(charter: str, word: str) -> Any:
    """By the control address that a charter names, or that stands in its place."""
    from pathsaddle.charter.told import read
    from pathsaddle.cli.main import Stop, checked
    from pathsaddle.fleet.asking import asked
    address = charter
    if not charter.rpartition(":")[2].isdigit():
        told = checked(read, charter)
        if told.fleet is None or not told.fleet.control:
            raise Stop(f"{charter}: fleet.control: none stands there, so nobody can ask", 2)
        address = told.fleet.control
    try:
        return asked(address, word)
    except OSError as fault:
        raise Stop(f"{address}: can't be asked: {fault}", 1) from None
    except ValueError as fault:
        raise Stop(f"{address}: {fault}", 1) from None


@click.group()
def fleet() -> None:
    """Ask a running dispatcher about the fleet (docs/membership.md)."""


def _ago(ms: int | None) -> str:
    return "never" if ms is None else f"{ms / 1000:.1f} s"


@fleet.command()
@click.argument("what", type=click.Choice(["budgets"]))
@click.argument("charter")
@click.option("--json", "as_json", is_flag=True, help="All that it says, as one JSON object.")
def show(what: str, charter: str, as_json: bool) -> None:
    """What the dispatcher of CHARTER (or at HOST:PORT) shares with others: who holds how much of each budget, how old
    that word is (docs/shared-state.md)."""
    told = _asked(charter, what)
    if as_json:
        click.echo(json.dumps(told))
        return
    from rich.console import Console
    from rich.table import Table
    table = Table(title=f"budgets as {told['name']}/{told['life']} holds them", title_justify="left")
    for name in ("budget", "rate", "part", "usable", "free", "taken", "refused", "lent to", "held of", "others may lend"):
        table.add_column(name)
    for row in told["budgets"]:
        spare = [f"{one['member']} {one['spare'][row['budget']]} ({_ago(one['least'])} to {_ago(one['most'])})"
                 for one in told["others"] if one["member"] != told["name"] and one["spare"].get(row["budget"])]
        table.add_row(row["budget"] + (" (alone)" if row["alone"] else ""),
                      *(str(row[key]) for key in ("rate", "part", "usable", "free", "taken", "refused")),
                      *("\n".join(f"{one[whom]} {one['units']} for {one['for'] / 1000:.1f} s" for one in row[key])
                        for key, whom in (("lent", "to"), ("held", "of"))), "\n".join(spare[:16]))
    Console(width=160).print(table)


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
