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
from pathsaddle.cli.stop import Defect, Interrupted, NoPlans, Usage, writable
from pathsaddle.errors import Error

SECONDS = click.FloatRange(min=0, min_open=True)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="pathsaddle")
def cli() -> None:
    """A dispatcher that pushes jobs to the worker with the least backlogged work of their type."""


@cli.command()
@click.argument("charter", type=click.Path(dir_okay=False))
@click.option("--log-form", type=click.Choice(["text", "json"]), help="Instead of what the charter says.")
def serve(charter: str, log_form: str | None) -> None:
    """Serve by the operator's CHARTER, in the foreground, until SIGTERM or Ctrl-C. SIGHUP rereads it."""
    from pathsaddle.config.dispatcher import ConfiguredDispatcher
    from pathsaddle.net.service import logbook, start

    ground = ConfiguredDispatcher(Path(charter), log_form)
    ground.open_log()
    try:
        start.run(ground)
    except Error as fault:  # from here on by the log, in the form that its reader wants
        logbook.refused(name=fault.name, what=fault.what, do=fault.do)
        sys.exit(fault.code)


@cli.command()
@click.argument("file", type=click.Path(dir_okay=False), required=False)
@click.option(
    "--explain", is_flag=True, help="Print every key with what may stand there, default and meaning."
)
@click.option("--plan", is_flag=True, help="FILE is a plan of an experiment; with --explain: a plan's keys.")
def check(file: str | None, explain: bool, plan: bool) -> None:
    """Check a charter, or a plan, and say all that is wrong in it, one line a fault."""
    from pathsaddle.cli.show import explained
    from pathsaddle.config.loader import read_configuration
    from pathsaddle.config.schema import RELOADABLE_KEYS, Configuration
    from pathsaddle.config.validation import explain_keys as rows
    from pathsaddle.emulator import plan as plans

    if explain:
        click.echo(explained(rows(plans.Plan)) if plan else explained(rows(Configuration), RELOADABLE_KEYS))
        if plan:
            from pathsaddle.experiment import scale

            click.echo(f"\nOf the ground scale:\n\n{explained(rows(scale.Plan))}")
    if file is None:
        if not explain:
            raise click.UsageError("neither a FILE nor --explain is said")
        return
    if plan:
        from pathsaddle.experiment import grounds

        grounds.read(file)
    else:
        read_configuration(file)
    click.echo(f"{file}: nothing is wrong")


def _one(
    path: Path, ground: str, seed: int, events: str | None, seconds: float | None, log: str | None
) -> int:
    """One run of a plan, shown."""
    from rich.console import Console

    from pathsaddle.cli import show
    from pathsaddle.emulator import plan as plans
    from pathsaddle.emulator import stage
    from pathsaddle.emulator.judges.judge import judge
    from pathsaddle.experiment.run import SLACK

    console = Console(width=None if sys.stdout.isatty() else 110)
    plan = plans.read(str(path))
    keep_events = writable("--events", events)
    keep_log = writable("--log", log, folder=ground == "sockets")
    if seconds is not None:
        plan.seconds = seconds
    begun = time.perf_counter()
    what = (
        "nothing but the fleet"
        if plan.only
        else (f"{len(plans.worker_names(plan))} workers, {plan.load.rate:g} jobs a second")
    )
    console.print(
        f"{plan.name}: {plan.fleet.dispatchers} dispatchers, {what}, for {plan.seconds:g} s, ground {ground}, "
        f"seed {seed}"
    )
    try:
        if ground == "virtual":
            outcome = stage.virtual(plan, seed, keep_log)
        else:
            outcome = stage.sockets(plan, seed, keep_log)
    except KeyboardInterrupt:
        raise Interrupted(
            at=f"after {time.perf_counter() - begun:.1f} s of the run; its dispatchers are ended, "
            "nothing is judged",
            rest="the same command runs it anew",
        ) from None
    took = time.perf_counter() - begun
    verdict = judge(plans.charter_of(plan), outcome.events.rows, SLACK[ground])
    if plan.only != "fleet":
        show.figures(console, verdict, f"{plan.name}, emulated")
    if verdict.fleet and plan.fleet.dispatchers <= 9 and not plan.only:
        show.saw(console, outcome.events.rows)
    if verdict.fleet:
        show.fleet(console, verdict.fleet)
    show.rules(console, verdict)
    if keep_events is not None:
        outcome.events.write(keep_events)
    console.print(f"took {took:.1f} s; {len(outcome.events.rows)} events, digest {outcome.digest}")
    short = verdict.whole.part < plan.bounds.value
    if short:
        console.print(f"value {verdict.whole.part:.3f}, at least {plan.bounds.value:g} is stated")
    return 0 if verdict.kept and not short else 1


@cli.command()
@click.option("--virtual", is_flag=True, help="In virtual time instead of on real sockets.")
@click.option("--fleet", is_flag=True, help="Instead: five that talk, a partition and its end, one killed.")
@click.option("--seed", default=7, show_default=True)
@click.option("--seconds", type=SECONDS, help="Shorter or longer than the plan's.")
@click.option("--events", type=click.Path(dir_okay=False), help="Keep the event log here.")
@click.option("--log", type=click.Path(), help="Keep the dispatchers' logs: a file, or on sockets a folder.")
def demo(
    virtual: bool, fleet: bool, seed: int, seconds: float | None, events: str | None, log: str | None
) -> None:
    """Four dispatchers, twelve workers, clients and discovery, with a frozen worker, a drained one and a
    killed dispatcher; prints what became of the jobs and whether each rule was kept.
    """
    import pathsaddle.emulator

    path = Path(pathsaddle.emulator.__file__).parent / ("demo-fleet.toml" if fleet else "demo.toml")
    sys.exit(_one(path, "virtual" if virtual else "sockets", seed, events, seconds, log))


@cli.command()
@click.argument("plan", type=click.Path(dir_okay=False))
@click.option("--ground", type=click.Choice(["sockets", "virtual"]), help="Instead of what the plan says.")
@click.option("--seed", type=int, help="Instead of the plan's first.")
@click.option("--seconds", type=SECONDS)
@click.option("--events", type=click.Path(dir_okay=False), help="Keep the event log here.")
@click.option("--log", type=click.Path(), help="Keep the dispatchers' logs: a file, or on sockets a folder.")
def emulate(
    plan: str,
    ground: str | None,
    seed: int | None,
    seconds: float | None,
    events: str | None,
    log: str | None,
) -> None:
    """Run a PLAN once, and show what became of it."""
    from pathsaddle.emulator import plan as plans

    told = plans.read(plan)
    sys.exit(
        _one(
            Path(plan),
            ground or told.ground,
            told.all_seeds[0] if seed is None else seed,
            events,
            seconds,
            log,
        )
    )


@cli.group()
def experiment() -> None:
    """Run plans over seeds and variants, compare and report what is kept of them."""


def _store(folder: str | None, name: str) -> Any:
    from pathsaddle.experiment.keep import Store

    return Store(Path(folder or "runs") / f"{name}.jsonl")


FOLDER = click.option(
    "--folder", help="Where results are kept: by default `runs`, for the ground scale `kept` beside the plan."
)


@experiment.command("run")
@click.argument("plan", type=click.Path(dir_okay=False))
@FOLDER
@click.option(
    "--ground", type=click.Choice(["sockets", "virtual"]), help="Instead of what a plan of these two says."
)
@click.option(
    "--jobs",
    type=click.IntRange(min=1),
    help="Runs side by side; by default one a core, on sockets and the ground scale one.",
)
@click.option("--seeds", help="Instead of the plan's: such as 1..20 or 3,5.")
@click.option("--fresh", is_flag=True, help="Run again what is kept already.")
@click.option(
    "--short", is_flag=True, help="On the ground scale: its short points, once each, for its bounds."
)
def run(plan: str, **said: Any) -> None:
    """Run a PLAN, whatever its ground; exit 1 unless every rule is kept and the plan's bounds hold."""
    from pathsaddle.experiment import grounds

    table, ground = grounds.told(plan)
    unfit = [f"--{name}" for name, value in said.items() if value and name not in grounds.OPTIONS[ground]]
    if unfit:
        raise click.UsageError(f"{', '.join(unfit)}: a plan of the ground {ground} takes no such option")
    if ground == "scale":
        sys.exit(_scale(plan, table, said["folder"], said["jobs"], said["fresh"], said["short"]))
    if ground in grounds.PROGRAMS:
        program = grounds.PROGRAMS[ground]()
        sys.exit(program.play(program.read(plan)))
    sys.exit(
        _emulated(plan, said["folder"] or "runs", said["ground"], said["jobs"], said["seeds"], said["fresh"])
    )


def _scale(
    path: str, table: dict[str, Any], folder: str | None, jobs: int | None, fresh: bool, short: bool
) -> int:
    """A plan of the scale rig; slopes last."""
    from pathsaddle.experiment import scale

    told = scale.of(table, path)
    name = told.plan.name
    if short and not told.plan.short:
        raise scale.NoShort(file=path)
    store = None
    if not short or folder:
        where = writable("--folder", folder or str(Path(path).parent / "kept"), folder=True)
        store = scale.Store(Path(where or "") / f"{name}.jsonl")
    rig = scale.Rig(told, store, short=short, fresh=fresh or short, jobs=jobs or 1)
    kept, begun = len(rig.results), time.perf_counter()
    if kept:
        click.echo(f"{kept} of {len(rig.tasks)} plays are kept from before")

    def tell(one: scale.Kept) -> None:
        click.echo(
            f"{len(rig.results)}/{len(rig.tasks)} {one.point} {told.plan.against}, seed {one.seed}: "
            f"{one.took:.1f} s{', ' + one.fault.splitlines()[0] if one.fault else ''}"
        )

    try:
        results = rig.go(tell)
    except KeyboardInterrupt:
        raise Interrupted(
            at=f"{len(rig.results)} of {len(rig.tasks)} plays have ended"
            f"{' and are kept' if store is not None else ''}, nothing of the others goes on",
            rest="the same command plays the rest",
        ) from None
    found = scale.failings(told, results)
    bounds = [grows.bound.point for grows in told.plan.slopes if grows.bound is not None]
    checked = sum(point in [one.point for one in results] for point in bounds)
    for text in found:
        click.echo(text)
    for line in scale.slope_lines(told, results):
        click.echo(line)
    click.echo(
        f"{name}{', short form' if short else ''}: {len(results)} plays in {time.perf_counter() - begun:.1f} s, "
        f"{checked} of {len(bounds)} bounds checked: {f'{len(found)} findings' if found else 'every one held'}"
    )
    return 1 if found else 0


def _emulated(
    path: str, folder: str, ground: str | None, jobs: int | None, seeds: str | None, fresh: bool
) -> int:
    """A plan of the emulator, over its seeds and variants."""
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

    from pathsaddle.emulator import plan as plans
    from pathsaddle.experiment.report import groups, quantiles, spread
    from pathsaddle.experiment.run import Run, failings, whole_digest

    told = plans.read(path)
    writable("--folder", folder, folder=True)
    if told.throughput is not None:
        from pathsaddle.experiment import throughput

        return throughput.run(told, _store(folder, told.name).path)
    begun = time.perf_counter()
    console = Console(width=None if sys.stdout.isatty() else 110)
    whole = Run(told, _store(folder, told.name), ground, fresh, jobs, _seeds(seeds))
    kept = len(whole.results)
    if kept:
        console.print(f"{kept} of {len(whole.tasks)} runs are kept from before")
    try:
        with Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeElapsedColumn(),
            console=console,
            disable=not sys.stdout.isatty(),
        ) as bar:
            line = bar.add_task(told.name, total=len(whole.tasks), completed=kept)
            results = whole.go(lambda result: bar.update(line, advance=1))
    except KeyboardInterrupt:
        raise Interrupted(
            at=f"{len(whole.results)} of {len(whole.tasks)} runs are kept",
            rest=f"the same command runs the other {len(whole.left)}",
        ) from None
    took = time.perf_counter() - begun
    for variant, rs in groups(results).items():
        click.echo(
            f"{variant}: {len(rs)} runs, value {spread([r.verdict['part'] for r in rs])}, p99 ms "
            f"{spread([r.verdict['whole']['p99'] for r in rs], '.0f')}, postings a try "
            f"{spread([r.verdict['postings'] / max(1, r.verdict['tries']) for r in rs], '.2f')}, faults "
            f"{sum(sum(r.verdict['faults'].values()) for r in rs)}, runs with a broken rule "
            f"{sum(not r.kept for r in rs)}"
        )
        spent = [1e3 * r.verdict["cpu"] / max(1, r.verdict["tries"]) for r in rs if r.verdict.get("cpu")]
        if spent:
            click.echo(f"{variant}: processor ms a try, start included {spread(spent)}")
        seen = [r.verdict["fleet"] for r in rs if r.verdict.get("fleet")]
        if seen:
            known = sorted(ms for one in seen for ms in one["known"])
            first = sorted(ms for one in seen for ms in one["first"])
            click.echo(
                f"{variant}: fleet: {sum(one['deaths'] for one in seen)} deaths, {sum(one['unaware'] for one in seen)} "
                f"not known to all before the return; first seen ms {quantiles(first)}, known to all ms "
                f"{quantiles(known)}; accused wrongly a run {spread([float(one['false']) for one in seen], '.0f')}"
                f", bytes a second and member {spread([one['rate'] for one in seen], '.0f')}, in the worst "
                f"second {max(one['most_bytes'] for one in seen)}"
            )
    found = failings(told, results)
    for text in found[:20]:
        click.echo(text)
    if len(found) > 20:
        click.echo(f"... and {len(found) - 20} more")
    click.echo(
        f"{told.name}: {len(results)} runs in {took:.1f} s, digest {whole_digest(results)}: "
        + ("every rule kept, every bound held" if not found else f"{len(found)} findings")
    )
    return 1 if found else 0


def _seeds(told: str | None) -> list[int] | None:
    if told is None:
        return None
    try:
        if ".." in told:
            first, last = told.split("..")
            seeds = list(range(int(first), int(last) + 1))
        else:
            seeds = [int(part) for part in told.split(",")]
    except ValueError:
        seeds = []
    if not seeds:
        raise click.UsageError(f"--seeds {told} names no seeds; such as 1..20 or 3,5 does")
    return seeds


@experiment.command()
@click.argument("target", type=click.Path(dir_okay=False))
@click.option(
    "--kept",
    type=click.Path(file_okay=False),
    help="Where results are kept; by default `kept` beside TARGET.",
)
@click.option("--partial", is_flag=True, help="List rows without results as not measured, instead of ending.")
@click.option(
    "--page", type=click.Path(dir_okay=False), help="Write the tables into this page, between its two marks."
)
def capacity(target: str, kept: str | None, partial: bool, page: str | None) -> None:
    """What each role costs at the size that TARGET tells, from kept results: tables, worst fit first."""
    from pathsaddle.experiment import capacity as rows

    made, notes = rows.tables(target, kept, partial)
    for note in notes:
        click.echo(note, err=True)
    if page is None:
        click.echo(made)
        return
    whole = rows.paged(rows.read_page(Path(page)), made, page)
    path = writable("--page", page)
    if path is not None:
        path.write_text(whole, encoding="utf-8")
        click.echo(page)


@experiment.command()
@click.argument("a")
@click.argument("b")
@click.option(
    "--loss",
    type=click.FloatRange(min=0),
    default=0.03,
    show_default=True,
    help="Of value that B may have less than A.",
)
def compare(a: str, b: str, loss: float) -> None:
    """Paired differences of B against A, each FILE or FILE:VARIANT; exit 1 where B loses more than --loss."""
    from pathsaddle.experiment.compare import choose
    from pathsaddle.experiment.compare import compare as paired

    found = paired(choose(a), choose(b))
    for d in found:
        click.echo(
            f"{d.figure:16} {d.a:10.3f} {d.b:10.3f}  {d.mean:+.4f} [{d.low:+.4f} to {d.high:+.4f}] "
            f"over {d.seeds} seeds"
        )
    if found[0].mean < -loss:
        click.echo(f"B loses {-found[0].mean:.3f} of value, more than {loss:g}")
        sys.exit(1)


@experiment.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--out", type=click.Path(dir_okay=False), help="By default beside FILE, as .html")
@click.option(
    "--png", type=click.Path(dir_okay=False), help="The plots as files too, numbered: NAME-1.png ..."
)
def report(file: str, out: str | None, png: str | None) -> None:
    """One HTML page with tables and plots of the results in FILE; of the last commit that each variant ran on."""
    from pathsaddle.experiment.keep import NoResults, Store
    from pathsaddle.experiment.report import groups, write

    results = Store(Path(file)).read(must=True)
    last: dict[tuple[str, int], Any] = {}
    for result in results:
        last[result.variant, result.seed] = result
    if not groups(list(last.values())):
        raise NoResults(path=file, variant="any variant")
    path = Path(out) if out else Path(file).with_suffix(".html")
    writable("--out", str(path))
    if png:
        writable("--png", str(Path(png).with_name(Path(png).stem + "-1.png")))
    write(list(last.values()), path, Path(png) if png else None)
    click.echo(str(path))


@experiment.command("list")
@FOLDER
@click.option("--plans", default="experiments", show_default=True)
def list_(folder: str, plans: str) -> None:
    """The plans that are here, and what is kept of each."""
    from pathsaddle.experiment import grounds, scale

    found = [*sorted(Path(plans).glob("*.toml")), *sorted(Path(plans).glob("scale/*.toml"))]
    if not found:
        raise NoPlans(folder=plans)
    for path in found:
        try:
            ground, told = grounds.read(path)
        except Error as fault:
            click.echo(f"{path}: {next(iter(getattr(fault, 'faults', [])), fault)}")
            continue
        name, about = grounds.named(ground, told)
        if ground in grounds.EMULATED:
            kept = _store(folder, name).read()
            what = f"{len(told.all_seeds)} seeds, {len(told.variants) + 1} variants; {len(kept)} results kept"
        elif ground == "scale":
            kept = scale.Store(Path(folder or path.parent / "kept") / f"{name}.jsonl").read()
            what = f"scale, {len(told.points)} points, {told.plays} plays; {len(kept)} plays kept"
        else:
            what = f"a target of {len(told.rows)} rows" if ground == "target" else ground
        click.echo(f"{path}: {about} ({what})")


def main() -> int:
    from pathsaddle.cli.fleet import fleet
    from pathsaddle.cli.jobs import jobs
    from pathsaddle.cli.settings import settings

    cli.add_command(jobs)
    cli.add_command(fleet)
    cli.add_command(settings)
    try:
        cli.main(standalone_mode=False)
    except click.exceptions.Abort:
        return _ended(Interrupted(at="before it was done", rest="the same command begins anew"))
    except click.ClickException as fault:
        return _ended(_usage(fault))
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 0
    except Error as fault:
        return _ended(fault)
    except Exception as fault:  # noqa: BLE001  # a defect of ours: with its trace, and by its name
        import traceback

        traceback.print_exc()
        return _ended(Defect(command=_command(None), why=f"{type(fault).__name__}: {fault}"))
    return 0


def _ended(fault: Error) -> int:
    click.echo(str(fault), err=True)
    return fault.code


def _command(context: click.Context | None) -> str:
    """As the operator would say it, whatever way the program was started."""
    if context is None:
        return " ".join(["pathsaddle", *sys.argv[1:3]])
    names = []
    while context is not None and context.parent is not None:
        names.append(context.info_name or "")
        context = context.parent
    return " ".join(["pathsaddle", *reversed(names)])


def _usage(fault: click.ClickException) -> Error:
    context = getattr(fault, "ctx", None)
    command = _command(context) if context is not None else "pathsaddle"
    pieces = " ".join(context.command.collect_usage_pieces(context)) if context is not None else "COMMAND"
    text = fault.format_message().rstrip(".")
    return Usage(command=command, why=text[:1].lower() + text[1:], usage=f"{command} {pieces}")
