"""pathsaddle: the command line.

Exit codes: 0; 1 for a finding; 2 for usage or a bad file; 130 when it was interrupted.
"""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from typing import Any

import click

from pathsaddle import __version__

INTERRUPTED = 130


class Stop(click.ClickException):
    """Ends with its code."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.exit_code: int = code  # type: ignore[misc]

    def show(self, file: Any = None) -> None:
        click.echo(self.message, err=True)


def checked(read: Any, path: str) -> Any:
    """A file's object, or an end with one line a fault."""
    from pathsaddle.charter.check import Faulty
    try:
        return read(path)
    except Faulty as fault:
        raise Stop("\n".join(map(str, fault.faults)), 2) from None


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="pathsaddle")
def cli() -> None:
    """A dispatcher that pushes jobs to the worker with the least backlogged work of their type."""


@cli.command()
@click.argument("charter", type=click.Path(dir_okay=False))
@click.option("--log-form", type=click.Choice(["text", "json"]), help="Instead of what the charter says.")
def serve(charter: str, log_form: str | None) -> None:
    """Serve by the operator's CHARTER, in the foreground, until SIGTERM or Ctrl-C. SIGHUP rereads it."""
    from pathsaddle.charter.check import Faulty
    from pathsaddle.charter.ground import CharterGround
    from pathsaddle.federation.faults import FederationFault
    from pathsaddle.fleet.lives import NoFolder
    from pathsaddle.jobs.store import Unusable
    from pathsaddle.net.service import start
    try:
        ground = CharterGround(Path(charter), log_form)
    except Faulty as fault:
        raise Stop("\n".join(map(str, fault.faults)), 2) from None
    ground.open_log()
    try:
        start.run(ground)
    except Unusable as fault:
        raise Stop(f"{charter}: jobs.path: {fault}", 2) from None
    except FederationFault as fault:
        raise Stop(f"{charter}: federation: {fault}", 2) from None
    except NoFolder as fault:
        raise Stop(f"{charter}: fleet.folder: {fault}", 2) from None
    except OSError as fault:
        raise Stop(f"{charter}: listen: can't be had: {fault}", 2) from None


@cli.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@click.option("--explain", is_flag=True, help="Print every key with what may stand there, default and meaning.")
@click.option("--plan", is_flag=True, help="FILE is a plan of an experiment; with --explain: a plan's keys.")
def check(file: str | None, explain: bool, plan: bool) -> None:
    """Check a charter, or a plan, and say all that is wrong in it, one line a fault."""
    from pathsaddle.charter.check import explain as rows
    from pathsaddle.charter.form import Charter
    from pathsaddle.charter.told import read
    from pathsaddle.cli.show import explained
    from pathsaddle.emulator import plan as plans
    if explain:
        click.echo(explained(rows(plans.Plan if plan else Charter)))
    if file is None:
        if not explain:
            raise click.UsageError("a FILE, or --explain")
        return
    checked(plans.read if plan else read, file)
    click.echo(f"{file}: nothing is wrong")


def _one(path: Path, ground: str, seed: int, events: str | None, seconds: float | None, log: str | None) -> int:
    """One run of a plan, shown."""
    from rich.console import Console

    from pathsaddle.cli import show
    from pathsaddle.emulator import plan as plans
    from pathsaddle.emulator import stage
    from pathsaddle.emulator.judge import judge
    from pathsaddle.experiment.run import SLACK
    console = Console(width=None if sys.stdout.isatty() else 110)
    plan = checked(plans.read, str(path))
    if seconds is not None:
        plan.seconds = seconds
    begun = time.perf_counter()
    what = "nothing but the fleet" if plan.only else (
        f"{len(plans.worker_names(plan))} workers, {plan.load.rate:g} jobs a second")
    console.print(f"{plan.name}: {plan.fleet.dispatchers} dispatchers, {what}, for {plan.seconds:g} s, ground {ground}, "
                  f"seed {seed}")
    try:
        if ground == "virtual":
            outcome = stage.virtual(plan, seed, Path(log) if log else None)
        else:
            outcome = stage.sockets(plan, seed, Path(log) if log else None)
    except KeyboardInterrupt:
        raise Stop(f"interrupted after {time.perf_counter() - begun:.1f} s of the run: its dispatchers are ended, "
                   "nothing is judged", INTERRUPTED) from None
    took = time.perf_counter() - begun
    verdict = judge(plans.charter_of(plan), outcome.events.rows, SLACK[ground])
    if plan.only != "fleet":
        show.figures(console, verdict, f"{plan.name}, emulated")
    if verdict.fleet and plan.fleet.dispatchers <= 9 and not plan.only:
        show.saw(console, outcome.events.rows)
    if verdict.fleet:
        show.fleet(console, verdict.fleet)
    show.rules(console, verdict)
    if events:
        outcome.events.write(Path(events))
    console.print(f"took {took:.1f} s; {len(outcome.events.rows)} events, digest {outcome.digest}")
    short = verdict.whole.part < plan.bounds.value
    if short:
        console.print(f"value {verdict.whole.part:.3f}, at least {plan.bounds.value:g} is stated")
    return 0 if verdict.kept and not short else 1


@cli.command()
@click.option("--virtual", is_flag=True, help="In virtual time instead of on real sockets.")
@click.option("--fleet", is_flag=True, help="Instead: five that talk, a partition and its end, one killed.")
@click.option("--seed", default=7, show_default=True)
@click.option("--seconds", type=float, help="Shorter or longer than the plan's.")
@click.option("--events", type=click.Path(dir_okay=False), help="Keep the event log here.")
@click.option("--log", type=click.Path(), help="Keep the dispatchers' logs: a file, or on sockets a folder.")
def demo(virtual: bool, fleet: bool, seed: int, seconds: float | None, events: str | None, log: str | None) -> None:
    """Four dispatchers, twelve workers, clients and a roster, with a frozen worker, a drained one and a killed
    dispatcher; prints what became of the jobs and whether each rule was kept."""
    import pathsaddle.emulator
    path = Path(pathsaddle.emulator.__file__).parent / ("demo-fleet.toml" if fleet else "demo.toml")
    sys.exit(_one(path, "virtual" if virtual else "sockets", seed, events, seconds, log))


@cli.command()
@click.argument("plan", type=click.Path(dir_okay=False))
@click.option("--ground", type=click.Choice(["sockets", "virtual"]), help="Instead of what the plan says.")
@click.option("--seed", type=int, help="Instead of the plan's first.")
@click.option("--seconds", type=float)
@click.option("--events", type=click.Path(dir_okay=False), help="Keep the event log here.")
@click.option("--log", type=click.Path(), help="Keep the dispatchers' logs: a file, or on sockets a folder.")
def emulate(plan: str, ground: str | None, seed: int | None, seconds: float | None, events: str | None,
            log: str | None) -> None:
    """Run a PLAN once, and show what became of it."""
    from pathsaddle.emulator import plan as plans
    told = checked(plans.read, plan)
    sys.exit(_one(Path(plan), ground or told.ground, told.all_seeds[0] if seed is None else seed, events, seconds,
                  log))


@cli.group()
def experiment() -> None:
    """Run plans over seeds and variants, compare and report what is kept of them."""


def _store(folder: str, name: str) -> Any:
    from pathsaddle.experiment.keep import Store
    return Store(Path(folder) / f"{name}.jsonl")


FOLDER = click.option("--folder", default="runs", show_default=True, help="Where results are kept.")


@experiment.command("run")
@click.argument("plan", type=click.Path(dir_okay=False))
@FOLDER
@click.option("--ground", type=click.Choice(["sockets", "virtual"]), help="Instead of what the plan says.")
@click.option("--jobs", type=int, help="Runs side by side; by default one a core, on sockets one.")
@click.option("--seeds", help="Instead of the plan's: such as 1..20 or 3,5.")
@click.option("--fresh", is_flag=True, help="Run again what is kept already.")
def run(plan: str, folder: str, ground: str | None, jobs: int | None, seeds: str | None, fresh: bool) -> None:
    """Run all seeds and variants of a PLAN; exit 1 unless every rule is kept and the plan's bounds hold."""
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

    from pathsaddle.emulator import plan as plans
    from pathsaddle.experiment.report import groups, quantiles, spread
    from pathsaddle.experiment.run import Run, failings, whole_digest
    told = checked(plans.read, plan)
    if told.throughput is not None:
        from pathsaddle.experiment import throughput
        sys.exit(throughput.run(told, _store(folder, told.name).path))
    begun = time.perf_counter()
    console = Console(width=None if sys.stdout.isatty() else 110)
    try:
        whole = Run(told, _store(folder, told.name), ground, fresh, jobs, _seeds(seeds))
    except ValueError as fault:
        raise Stop(f"{plan}: {fault}", 2) from None
    kept = len(whole.results)
    if kept:
        console.print(f"{kept} of {len(whole.tasks)} runs are kept from before")
    try:
        with Progress(TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn(),
                      console=console, disable=not sys.stdout.isatty()) as bar:
            line = bar.add_task(told.name, total=len(whole.tasks), completed=kept)
            results = whole.go(lambda result: bar.update(line, advance=1))
    except KeyboardInterrupt:
        raise Stop(f"interrupted: {len(whole.results)} of {len(whole.tasks)} runs are kept, the other "
                   f"{len(whole.left)} are run by the same command", INTERRUPTED) from None
    took = time.perf_counter() - begun
    for variant, rs in groups(results).items():
        click.echo(f"{variant}: {len(rs)} runs, value {spread([r.verdict['part'] for r in rs])}, p99 ms "
                   f"{spread([r.verdict['whole']['p99'] for r in rs], '.0f')}, postings a try "
                   f"{spread([r.verdict['postings'] / max(1, r.verdict['tries']) for r in rs], '.2f')}, faults "
                   f"{sum(sum(r.verdict['faults'].values()) for r in rs)}, runs with a broken rule "
                   f"{sum(not r.kept for r in rs)}")
        spent = [1e3 * r.verdict["cpu"] / max(1, r.verdict["tries"]) for r in rs if r.verdict.get("cpu")]
        if spent:
            click.echo(f"{variant}: processor ms a try, start included {spread(spent)}")
        seen = [r.verdict["fleet"] for r in rs if r.verdict.get("fleet")]
        if seen:
            known = sorted(ms for one in seen for ms in one["known"])
            first = sorted(ms for one in seen for ms in one["first"])
            click.echo(f"{variant}: fleet: {sum(one['deaths'] for one in seen)} deaths, {sum(one['unaware'] for one in seen)} "
                       f"not known to all before the return; first seen ms {quantiles(first)}, known to all ms "
                       f"{quantiles(known)}; accused wrongly a run {spread([float(one['false']) for one in seen], '.0f')}"
                       f", bytes a second and member {spread([one['rate'] for one in seen], '.0f')}, in the worst "
                       f"second {max(one['most_bytes'] for one in seen)}")
    found = failings(told, results, took if not kept else 0.0)
    for text in found[:20]:
        click.echo(text)
    if len(found) > 20:
        click.echo(f"... and {len(found) - 20} more")
    click.echo(f"{told.name}: {len(results)} runs in {took:.1f} s, digest {whole_digest(results)}: "
               + ("every rule kept, every bound held" if not found else f"{len(found)} findings"))
    sys.exit(1 if found else 0)


def _seeds(told: str | None) -> list[int] | None:
    if told is None:
        return None
    try:
        if ".." in told:
            first, last = told.split("..")
            return list(range(int(first), int(last) + 1))
        return [int(part) for part in told.split(",")]
    except ValueError:
        raise click.UsageError(f"--seeds {told}: such as 1..20 or 3,5") from None


@experiment.command()
@click.argument("a")
@click.argument("b")
@click.option("--loss", default=0.03, show_default=True, help="Of value that B may have less than A.")
def compare(a: str, b: str, loss: float) -> None:
    """Paired differences of B against A, each FILE or FILE:VARIANT; exit 1 where B loses more than --loss."""
    from pathsaddle.experiment.compare import choose
    from pathsaddle.experiment.compare import compare as paired
    try:
        found = paired(choose(a), choose(b))
    except ValueError as fault:
        raise Stop(str(fault), 2) from None
    for d in found:
        click.echo(f"{d.figure:16} {d.a:10.3f} {d.b:10.3f}  {d.mean:+.4f} [{d.low:+.4f} to {d.high:+.4f}] "
                   f"over {d.seeds} seeds")
    if found[0].mean < -loss:
        click.echo(f"B loses {-found[0].mean:.3f} of value, more than {loss:g}")
        sys.exit(1)


@experiment.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--out", type=click.Path(dir_okay=False), help="By default beside FILE, as .html")
@click.option("--png", type=click.Path(dir_okay=False), help="The plots as files too, numbered: NAME-1.png ...")
def report(file: str, out: str | None, png: str | None) -> None:
    """One HTML page with tables and plots of the results in FILE; of the last commit that each variant ran on."""
    from pathsaddle.experiment.keep import Store
    from pathsaddle.experiment.report import write
    last: dict[tuple[str, int], Any] = {}
    for result in Store(Path(file)).read():
        last[result.variant, result.seed] = result
    path = Path(out) if out else Path(file).with_suffix(".html")
    try:
        write(list(last.values()), path, Path(png) if png else None)
    except ValueError as fault:
        raise Stop(f"{file}: {fault}", 2) from None
    click.echo(str(path))


@experiment.command("list")
@FOLDER
@click.option("--plans", default="experiments", show_default=True)
def list_(folder: str, plans: str) -> None:
    """The plans that are here, and what is kept of each."""
    from pathsaddle.charter.check import Faulty
    from pathsaddle.emulator import plan as forms
    for path in sorted(Path(plans).glob("*.toml")):
        try:
            told = forms.read(path)
        except Faulty as fault:
            click.echo(f"{path}: {fault.faults[0]}")
            continue
        kept = _store(folder, told.name).read()
        click.echo(f"{path}: {told.about or told.name} ({len(told.all_seeds)} seeds, {len(told.variants) + 1} "
                   f"variants; {len(kept)} results kept)")


def main() -> int:
    from pathsaddle.cli.fleet import fleet
    from pathsaddle.cli.jobs import jobs
    cli.add_command(jobs)
    cli.add_command(fleet)
    try:
        cli.main(standalone_mode=False)
    except click.exceptions.Abort:
        click.echo("interrupted", err=True)
        return INTERRUPTED
    except click.ClickException as fault:
        fault.show()
        return fault.exit_code
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    return 0
