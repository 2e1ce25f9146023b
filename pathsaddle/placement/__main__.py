"""python -m pathsaddle.placement FILE: the plan for an inventory. With a ledger: keep it, walk it, tell it
what is so.

A program of its own: planning takes a processor for seconds, which no dispatcher has.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import click
import msgspec

from pathsaddle.emulator.events import Event
from pathsaddle.errors import Error
from pathsaddle.placement.errors import PlanRejectedError, Unusable
from pathsaddle.placement.files import read
from pathsaddle.placement.inventory import State, Unit
from pathsaddle.placement.ledger import File, Memory, made
from pathsaddle.placement.placement_state import PlacementState
from pathsaddle.placement.plan import Plan, plan_of
from pathsaddle.placement.problem import Counts, Problem
from pathsaddle.placement.rollout import Rollout, RolloutStep
from pathsaddle.trade import SECOND

LOOK = 0.1  # seconds between looks at the ledger
AGAIN = 60
Tell = Callable[..., None]


def ticks() -> int:
    return time.time_ns() * SECOND // 10**9


def steady() -> int:
    """A clock that goes on while this process stands still, and that nobody sets."""
    return time.clock_gettime_ns(getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)) * SECOND // 10**9


def chosen(problem: Problem, seconds: float) -> tuple[Counts, str, float]:
    # The solver is loaded here alone, in a planner's process.
    from pathsaddle.placement.solver import planned

    answer = planned(problem, seconds, time.monotonic)
    return answer.counts, answer.by, answer.gap


def shown(plan: Plan) -> str:
    rows = [
        f"plan {plan.name}: {len(plan.steps)} steps, by {plan.by}, at most {100 * plan.gap:.1f}% from the bound"
    ]
    for at, step in enumerate(plan.steps):
        wide = ", ".join(f"{kind} {width}" for kind, width in step.widest.items())
        rows.append(
            f"{at + 1:5} {step.does:8} {step.unit} {'in' if step.does == 'place' else 'out of'} {step.bay}"
            f"   fits after a loss: {wide}" + (f"   BELOW THE TARGET: {step.why}" if step.why else "")
        )
    rows.append(
        "at the end a job fits after a loss of: "
        + ", ".join(f"{kind} {width}" for kind, width in plan.reaches.items())
    )
    return "\n".join([*rows, *(f"note: {note}" for note in plan.notes)])


class Group(click.Group):
    def resolve_command(self, ctx: click.Context, args: list[str]) -> Any:
        """What is no command is a file to plan for."""
        if args and args[0] not in self.commands:
            args = ["plan", *args]
        return super().resolve_command(ctx, args)

    def invoke(self, ctx: click.Context) -> Any:
        try:
            return super().invoke(ctx)
        except Error as fault:
            click.echo(str(fault), err=True)
            ctx.exit(fault.code)


@click.command(cls=Group)
def main() -> None:
    """Placement of new hardware (docs/placement.md)."""


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--seconds", default=10.0, show_default=True, help="How long it may think.")
@click.option("--json", "as_json", is_flag=True, help="The plan as one JSON object.")
@click.option(
    "--ledger", type=click.Path(path_type=Path), help="Keep the inventory and the plan there: a new file."
)
def plan(file: Path, seconds: float, as_json: bool, ledger: Path | None) -> None:
    """The plan for the inventory in FILE (also without the word `plan`)."""
    inventory = read(file)
    kept = made(ledger, inventory, ticks) if ledger is not None else Memory(PlacementState(inventory))
    book = kept.do("take", kept.read().number + 1)
    found = plan_of(book.inventory, book.number, book.plan, lambda problem: chosen(problem, seconds))
    kept.do("replaced", found)
    click.echo(msgspec.json.encode(found).decode() if as_json else shown(found))


@main.command()
@click.argument("ledger", type=click.Path(path_type=Path))
@click.option(
    "--number", type=int, help="This planner's, from whoever says who plans; else the next of the ledger."
)
@click.option(
    "--charter",
    type=click.Path(path_type=Path),
    help="With [fleet.owners]: its voters say who plans, and under which number.",
)
@click.option("--name", default="planner", show_default=True)
@click.option(
    "--lease", default=60.0, show_default=True, help="Seconds for which it keeps a bay without renewing."
)
@click.option("--seconds", default=10.0, show_default=True, help="How long it may think.")
@click.option("--once", is_flag=True, help="End when nothing is left to do.")
def walk(
    ledger: Path,
    number: int | None,
    charter: Path | None,
    name: str,
    lease: float,
    seconds: float,
    once: bool,
) -> None:
    """Walks the plan of LEDGER: reserves, says what is to be installed, warmed and pulled, plans anew where
    it must.

    Each line is one event. Who does the work by hand answers with `tell`.
    """
    if charter is not None and number is not None:
        raise click.UsageError("--number or --charter: the voters say the number")
    ended = threading.Event()
    for one in (signal.SIGTERM, signal.SIGINT):
        signal.signal(one, lambda *_: ended.set())

    def tell(what: str, /, **more: Any) -> None:
        sys.stdout.buffer.write(msgspec.json.encode(Event(ticks(), what, {"who": name} | more)) + b"\n")
        sys.stdout.buffer.flush()

    kept = File(ledger, ticks)
    if charter is None:
        mine = number if number is not None else kept.read().number + 1
        try:
            walked(kept, mine, lambda: True, tell, ended, lease, seconds, once)
        except Ended as why:
            tell("planner.ended", why="number", more=str(why))
            sys.exit(1)
        return
    from pathsaddle.placement.leadership import Owning  # sockets and voters, where they are asked for alone

    owning = Owning(charter)
    owning.begin()
    try:
        while not ended.is_set():
            mine = owning.number()
            if not mine:
                ended.wait(LOOK / 5)
                continue
            try:
                walked(kept, mine, partial(owning.owns, mine), tell, ended, lease, seconds, once)
                return
            except Lost:
                tell("planner.lost", number=mine)
            except Ended as why:
                if owning.owns(mine):  # the ledger has a number that no voter gave
                    tell("planner.ended", why="number", more=str(why))
                    sys.exit(1)
                tell("planner.lost", number=mine)
    finally:
        owning.end()


def walked(
    kept: File,
    number: int,
    may: Callable[[], bool],
    tell: Tell,
    ended: threading.Event,
    lease: float,
    seconds: float,
    once: bool,
) -> None:
    """Under one number, to the end. may: asked just before each change. Raises Ended, Lost."""
    try:
        book = kept.do("take", number)
    except PlanRejectedError as why:
        raise Ended(str(why)) from None
    walker = Rollout(number, int(lease * SECOND))
    tell("planner", number=number)
    ordered: dict[tuple[str, str, str], int] = {}
    while not ended.is_set():
        try:
            orders = round_(kept, walker, tell, ordered, seconds, may)
        except Unusable as fault:
            # Nothing is heard of the book: what is reserved goes on while its lease runs, and nothing new begins.
            tell("unheard", what=fault.what, do=fault.do)
            book = kept.cache or book
            for order in walker.unheard(book.inventory, steady()):
                said(order, walker, tell, ordered)
            continue
        book = kept.cache or book
        if once and not orders and walker.over(book):
            return
        ended.wait(LOOK)


class Ended(Exception):
    """A later planner has begun. Steers `walk` alone."""


class Lost(Exception):
    """The voters' lease on the key is over: nothing more under this number. Steers `walk` alone."""


def said(order: RolloutStep, walker: Rollout, tell: Tell, ordered: dict[tuple[str, str, str], int]) -> None:
    """To those who install: again each AGAIN seconds until it is done, and harmless then."""
    key, now = (order.does, order.unit, order.bay), steady()
    if key not in ordered or now >= ordered[key] + AGAIN * SECOND:
        ordered[key] = now
        tell("order", does=order.does, unit=order.unit, bay=order.bay, number=walker.number)


def round_(
    kept: File,
    walker: Rollout,
    tell: Tell,
    ordered: dict[tuple[str, str, str], int],
    seconds: float,
    may: Callable[[], bool],
) -> list[RolloutStep]:
    """One look, and all that is due by it. Raises Ended, Lost, Unusable."""
    book = kept.read()
    orders = walker.due(book, steady())
    for order in orders:
        words: tuple[Any, ...]
        if order.does == "stop":
            raise Ended(f"{book.number} has begun")
        if not may():
            raise Lost
        if order.does in ("install", "warm", "pull"):
            said(order, walker, tell, ordered)
            continue
        if order.does == "plan":
            tell("plan.began", revision=book.inventory.base, number=walker.number)
            words = (
                "replaced",
                plan_of(book.inventory, walker.number, book.plan, lambda problem: chosen(problem, seconds)),
            )
        elif order.does in ("reserve", "withdraw"):
            assert book.plan is not None
            words = (order.does, walker.number, book.inventory.base, book.plan.name, order.step)
        elif order.does == "renew":
            words = ("renew", walker.number)
        elif order.does == "lapse":
            words = ("lapse", walker.number, order.unit, order.renewed)
        else:
            words = (order.does, walker.number, order.unit)
        asked = steady()
        if not may():  # planning took its time
            raise Lost
        try:
            after = kept.do(*words)
        except PlanRejectedError as why:
            if why.why != "budget":
                tell("refused", does=order.does, why=why.why, unit=order.unit, number=walker.number)
            if why.why == "number":
                raise Ended(str(why)) from None
            if why.why in ("base", "plan"):
                break
            continue
        if order.does == "renew":
            walker.renewed(after.inventory, asked)
        elif order.does == "reserve":
            walker.held(order.unit, asked)
        tell("did", does=order.does, unit=order.unit, bay=order.bay, number=walker.number)
    return orders


WORDS = {
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


@main.command()
@click.argument("ledger", type=click.Path(path_type=Path))
@click.argument("word", type=click.Choice([*WORDS, "inventory"]))
@click.argument("more", nargs=-1)
def tell(ledger: Path, word: str, more: tuple[str, ...]) -> None:
    """Tells LEDGER what is so: put UNIT BAY, warmed UNIT, dead UNIT, pulled UNIT, cleared BAY, here UNIT
    KIND, ordered UNIT KIND, lost ISLAND, back ISLAND; inventory FILE: its islands, demand and targets.
    """
    kept = File(ledger, ticks)
    book = kept.read()
    if word == "inventory":
        if len(more) != 1:
            raise click.UsageError("inventory FILE")
        told = read(Path(more[0]))
        for island in told.islands:
            kept.do("island", island)
        kept.do("asked", told.demand, told.targets)
        return
    if len(more) != len(WORDS[word]):
        raise click.UsageError(f"{word} " + " ".join(one.upper() for one in WORDS[word]))
    for one, value in zip(WORDS[word], more, strict=True):
        known: Any = {
            "unit": book.inventory.unit,
            "kind": book.inventory.kind,
            "bay": book.inventory.island_of,
            "island": {island.name: island for island in book.inventory.islands},
        }[one]
        if value not in known and not (one == "unit" and word in ("here", "ordered", "put", "pulled")):
            raise click.UsageError(f"the ledger has no {one} {value}")
    if word in ("here", "ordered"):
        kept.do("came", Unit(more[0], more[1], State.HERE if word == "here" else State.ORDERED))
    elif word in ("lost", "back"):
        island = next(island for island in book.inventory.islands if island.name == more[0])
        kept.do("island", replace(island, up=word == "back"))
    else:
        kept.do(word, *more)


@main.command()
@click.argument("ledger", type=click.Path(path_type=Path))
def history(ledger: Path) -> None:
    """What became true in LEDGER, one event a line, for a checker."""
    for at, what, more in File(ledger, ticks).story():
        sys.stdout.buffer.write(msgspec.json.encode(Event(at, what, more)) + b"\n")


if __name__ == "__main__":
    main()
