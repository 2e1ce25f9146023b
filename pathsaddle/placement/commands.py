"""The commands of `python -m pathsaddle.placement` (docs/placement.md): plan, walk, tell, history.

It is a program of its own: planning takes a processor for seconds, which no dispatcher has.
"""

from __future__ import annotations

import signal
import sys
import threading
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

import click
import msgspec

from pathsaddle.errors import Error
from pathsaddle.event_log import Event
from pathsaddle.placement import changes
from pathsaddle.placement.changes import Change
from pathsaddle.placement.clocks import wall_clock_ticks
from pathsaddle.placement.inventory import Inventory, Unit, UnitState
from pathsaddle.placement.inventory_file import read_inventory
from pathsaddle.placement.ledger import Ledger, MemoryLedger
from pathsaddle.placement.ledger_file import LedgerFile, create_ledger
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan_text import format_plan
from pathsaddle.placement.planner import (
    LeadershipLostError,
    Planner,
    PlannerOptions,
    SupersededError,
    make_solver_plan,
)
from pathsaddle.placement.planner_events import EventPrinter, LeadershipLost, PlannerEnded

LEADERSHIP_POLL_S = 0.02  # between two looks at the key, while another planner has it
EXIT_SUPERSEDED = 1
WALK_HELP = """Walks the plan of LEDGER: reserves, says what is to be installed, warmed and pulled, plans
anew where it must.

Each line is one event. Who does the work by hand answers with `tell`.
"""
TELL_HELP = """Tells LEDGER what is so: put UNIT BAY, warmed UNIT, dead UNIT, pulled UNIT, cleared BAY, here
UNIT KIND, ordered UNIT KIND, lost ISLAND, back ISLAND; inventory FILE: its islands, demand and targets.
"""
FILE_PATH = click.Path(path_type=Path)


class _CommandGroup(click.Group):
    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Take what is no command for a file to plan for."""
        if args and args[0] not in self.commands:
            args = ["plan", *args]
        return super().resolve_command(ctx, args)

    def invoke(self, ctx: click.Context) -> object:
        """Run the command; print an operator's error in one line and end with its code."""
        try:
            result: object = super().invoke(ctx)
        except Error as error:
            click.echo(str(error), err=True)
            ctx.exit(error.code)
        return result


@click.command(cls=_CommandGroup)
def main() -> None:
    """Placement of new hardware (docs/placement.md)."""


@main.command("plan")
@click.argument("file", type=FILE_PATH)
@click.option("--seconds", default=10.0, show_default=True, help="How long it may think.")
@click.option("--json", "as_json", is_flag=True, help="The plan as one JSON object.")
@click.option("--ledger", type=FILE_PATH, help="Keep the inventory and the plan there: a new file.")
def plan_command(file: Path, seconds: float, as_json: bool, ledger: Path | None) -> None:
    """The plan for the inventory in FILE (also without the word `plan`)."""
    inventory = read_inventory(file)
    target: Ledger = (
        create_ledger(ledger, inventory, wall_clock_ticks)
        if ledger is not None
        else MemoryLedger(PlacementState(inventory))
    )
    state = target.apply(changes.BeginPlanner(target.read().number + 1))
    plan = make_solver_plan(state, state.number, seconds)
    target.apply(changes.ReplacePlan(plan))
    click.echo(msgspec.json.encode(plan).decode() if as_json else format_plan(plan))


@main.command("walk", help=WALK_HELP)
@click.argument("ledger", type=FILE_PATH)
@click.option(
    "--number", type=int, help="This planner's, from whoever says who plans; else the next of the ledger."
)
@click.option(
    "--charter",
    "config_path",
    type=FILE_PATH,
    help="With [fleet.owners]: its voters say who plans, and under which number.",
)
@click.option("--name", default="planner", show_default=True)
@click.option(
    "--lease", default=60.0, show_default=True, help="Seconds for which it keeps a bay without renewing."
)
@click.option("--seconds", default=10.0, show_default=True, help="How long it may think.")
@click.option("--once", "ends_when_done", is_flag=True, help="End when nothing is left to do.")
def walk_command(  # noqa: PLR0913, PLR0917 -- one argument for each option, as click calls it
    ledger: Path,
    number: int | None,
    config_path: Path | None,
    name: str,
    lease: float,
    seconds: float,
    ends_when_done: bool,
) -> None:
    """Run planners over the ledger, under one number or under each that the acceptors give."""
    if config_path is not None and number is not None:
        raise click.UsageError("--number or --charter: the voters say the number")
    stopped = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stopped.set())
    ledger_file = LedgerFile(ledger, wall_clock_ticks)
    printer = EventPrinter(sys.stdout.buffer, name, wall_clock_ticks)
    options = PlannerOptions(lease, seconds, ends_when_done)

    def run_planner(planner_number: int, may_act: Callable[[], bool]) -> None:
        """Run one planner until it is stopped, done, or may act no more."""
        Planner(ledger_file, planner_number, may_act=may_act, printer=printer, options=options).run(stopped)

    if config_path is not None:
        _walk_as_leader(config_path, run_planner, printer, stopped)
        return
    try:
        run_planner(number if number is not None else ledger_file.read().number + 1, lambda: True)
    except SupersededError as error:
        _exit_superseded(printer, error)


def _walk_as_leader(
    config_path: Path,
    run_planner: Callable[[int, Callable[[], bool]], None],
    printer: EventPrinter,
    stopped: threading.Event,
) -> None:
    """Run a planner under each number for which the acceptors make this process the leader."""
    # Sockets and the fleet's configuration are loaded only where they are asked for.
    from pathsaddle.placement.leadership import PlannerLeadership

    leadership = PlannerLeadership(config_path)
    leadership.start()
    try:
        while not stopped.is_set():
            number = leadership.fencing_token()
            if not number:
                stopped.wait(LEADERSHIP_POLL_S)
                continue
            try:
                run_planner(number, partial(leadership.is_leading, number))
                return
            except LeadershipLostError:
                printer.write(LeadershipLost(number))
            except SupersededError as error:
                if leadership.is_leading(number):  # the ledger has a number that no acceptor gave
                    _exit_superseded(printer, error)
                printer.write(LeadershipLost(number))
    finally:
        leadership.stop()


def _exit_superseded(printer: EventPrinter, error: SupersededError) -> None:
    printer.write(PlannerEnded("number", str(error)))
    sys.exit(EXIT_SUPERSEDED)


# The arguments of each report, by their kind.
REPORT_ARGUMENTS = {
    "put": ("unit", "bay"),
    "warmed": ("unit",),
    "dead": ("unit",),
    "pulled": ("unit",),
    "cleared": ("bay",),
    "here": ("unit", "kind"),
    "ordered": ("unit", "kind"),
    "lost": ("island",),
    "back": ("island",),
}
REPORTS_OF_NEW_UNITS = ("here", "ordered", "put", "pulled")


@main.command("tell", help=TELL_HELP)
@click.argument("ledger", type=FILE_PATH)
@click.argument("report", type=click.Choice([*REPORT_ARGUMENTS, "inventory"]))
@click.argument("more", nargs=-1)
def tell_command(ledger: Path, report: str, more: tuple[str, ...]) -> None:
    """Apply a report, or the islands, demand and targets of an inventory file."""
    ledger_file = LedgerFile(ledger, wall_clock_ticks)
    inventory = ledger_file.read().inventory
    if report != "inventory":
        _check_arguments(inventory, report, more)
        ledger_file.apply(_report(inventory, report, more))
        return
    if len(more) != 1:
        raise click.UsageError("inventory FILE")
    update = read_inventory(Path(more[0]))
    for island in update.islands:
        ledger_file.apply(changes.ChangeIsland(island))
    ledger_file.apply(changes.ChangeDemand(update.demand, update.targets))


def _check_arguments(inventory: Inventory, report: str, values: tuple[str, ...]) -> None:
    """Reject a wrong number of arguments, and names that the ledger does not have."""
    arguments = REPORT_ARGUMENTS[report]
    if len(values) != len(arguments):
        raise click.UsageError(f"{report} " + " ".join(argument.upper() for argument in arguments))
    known = {
        "unit": inventory.unit_by_name.keys(),
        "kind": inventory.kind_by_name.keys(),
        "bay": inventory.island_by_bay.keys(),
        "island": {island.name for island in inventory.islands},
    }
    for argument, value in zip(arguments, values, strict=True):
        if argument == "unit" and report in REPORTS_OF_NEW_UNITS:
            continue
        if value not in known[argument]:
            raise click.UsageError(f"the ledger has no {argument} {value}")


def _report(inventory: Inventory, report: str, values: tuple[str, ...]) -> Change:
    """Return the change that a report makes."""
    if report in ("here", "ordered"):
        state = UnitState.HERE if report == "here" else UnitState.ORDERED
        return changes.AddUnits((Unit(values[0], values[1], state),))
    if report in ("lost", "back"):
        island = next(island for island in inventory.islands if island.name == values[0])
        return changes.ChangeIsland(replace(island, up=report == "back"))
    if report == "put":
        return changes.ReportUnitFound(*values)
    reports: dict[str, Callable[[str], Change]] = {
        "warmed": changes.ReportUnitWarm,
        "dead": changes.ReportUnitDead,
        "pulled": changes.ReportUnitPulled,
        "cleared": changes.ReportBayCleared,
    }
    return reports[report](values[0])


@main.command("history")
@click.argument("ledger", type=FILE_PATH)
def history_command(ledger: Path) -> None:
    """What became true in LEDGER, one event a line, for a checker."""
    for event in LedgerFile(ledger, wall_clock_ticks).audit_events():
        sys.stdout.buffer.write(msgspec.json.encode(Event(event.at, event.what, event.more)) + b"\n")
