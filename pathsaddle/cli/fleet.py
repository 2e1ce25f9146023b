"""pathsaddle fleet: asks a running dispatcher what it believes of the others."""

from __future__ import annotations

import json
from io import StringIO
from pathlib import Path
from typing import Any

import click


def _asked(charter: str, word: str) -> Any:
    """By the control address that a charter names, or that stands in its place."""
    from pathsaddle.cli.stop import NoControl
    from pathsaddle.config.loader import read_configuration
    from pathsaddle.fleet.control_client import MissingControlAddressError, query_dispatcher

    address = charter
    if (
        not Path(charter).exists()
        and not charter.endswith((".toml", ".json"))
        and "/" not in charter
        and (not charter.rpartition(":")[1])
    ):
        raise MissingControlAddressError(address=charter)
    if not charter.rpartition(":")[2].isdigit():
        told = read_configuration(charter)
        if told.fleet is None or not told.fleet.control:
            raise NoControl(charter=charter)
        address = told.fleet.control
    return query_dispatcher(address, word)


@click.group()
def fleet() -> None:
    """Ask a running dispatcher about the fleet (docs/membership.md)."""


def _ago(ms: int | None) -> str:
    return "never" if ms is None else f"{ms / 1000:.1f} s"


@fleet.command()
@click.argument("what", type=click.Choice(["budgets", "control"]))
@click.argument("charter")
@click.option("--json", "as_json", is_flag=True, help="All that it says, as one JSON object.")
def show(what: str, charter: str, as_json: bool) -> None:
    """budgets: what the dispatcher of CHARTER (or at HOST:PORT) shares with others, who holds how much of each, how old
    that word is (docs/shared-state.md). control: what control costs it, by what it was for (docs/running.md).
    """
    told = _asked(charter, what)
    if as_json:
        click.echo(json.dumps(told))
        return
    if what == "control":
        click.echo(_control(told))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"budgets as {told['name']}/{told['life']} holds them", title_justify="left")
    for name in (
        "budget",
        "rate",
        "part",
        "usable",
        "free",
        "taken",
        "refused",
        "lent to",
        "held of",
        "others may lend",
    ):
        table.add_column(name)
    for row in told["budgets"]:
        spare = [
            f"{one['member']} {one['spare'][row['budget']]} ({_ago(one['least'])} to {_ago(one['most'])})"
            for one in told["others"]
            if one["member"] != told["name"] and one["spare"].get(row["budget"])
        ]
        table.add_row(
            row["budget"] + (" (alone)" if row["alone"] else ""),
            *(str(row[key]) for key in ("rate", "part", "usable", "free", "taken", "refused")),
            *(
                "\n".join(f"{one[whom]} {one['units']} for {one['for'] / 1000:.1f} s" for one in row[key])
                for key, whom in (("lent", "to"), ("held", "of"))
            ),
            "\n".join(spare[:16]),
        )
    Console(width=160).print(table)


def _control(told: dict[str, Any]) -> str:
    """A row a purpose, the dearest first; what grows with txns stands below the sum."""
    from rich.console import Console
    from rich.table import Table

    budget = told["budget"]
    bounds = [
        f"{budget['core']:g} of a core" if budget["core"] is not None else "",
        f"{budget['bytes']} bytes a second" if budget["bytes"] is not None else "",
    ]
    table = Table(
        title=f"control of {told['name']}/{told['life']} over {told['seconds']:.0f} s, memory {told['memory_mb']:.1f} MB "
        f"({told['memory_mb_at_start']:.1f} at the start); budget: {', '.join(filter(None, bounds)) or 'none'}",
        title_justify="left",
    )
    for name in (
        "for",
        "calls",
        "of a core",
        "us",
        "most us in a second",
        "bytes in a second",
        "most",
        "bytes out a second",
        "most ",
    ):
        table.add_column(name)

    def row(name: str, one: dict[str, Any]) -> None:
        table.add_row(
            name,
            str(one.get("calls", "")),
            f"{one['core']:.5f}",
            str(one["us"]),
            str(one["most_us"]),
            f"{one['in_s']:.1f}",
            str(one["most_in"]),
            f"{one['out_s']:.1f}",
            str(one["most_out"]),
        )

    parts = sorted(told["purposes"].items(), key=lambda part: -part[1]["us"])
    for name, one in parts:
        if not one["txns"]:
            row(name, one)
    row("all of these", told["control"])
    for name, one in parts:
        if one["txns"]:
            row(f"{name} (with txns)", one)
    console = Console(width=160, record=True, file=StringIO())
    console.print(table)
    return console.export_text()


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

    state = (
        "silent: its name is another's too"
        if told["silent"]
        else ("alone: nobody answers it" if told["alone"] else f"own health {told['health']} (0 is well)")
    )
    table = Table(
        title=f"fleet {told['fleet']} as {told['name']}/{told['life']} in {told['zone']} sees it; {state}",
        title_justify="left",
    )
    for name in ("member", "zone", "address", "state", "for", "heard", "by others", "life"):
        table.add_column(name)
    for row in told["members"]:
        table.add_row(
            row["name"],
            row["zone"],
            row["address"],
            row["state"],
            _ago(row["for"]),
            _ago(row["heard"]),
            _ago(row["heard_by"]),
            str(row["life"]),
        )
    Console(width=120).print(table)
