"""python -m pathsaddle.histories: prove the checkers by a plan, check a folder of logs,
show a history as lanes.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from pathsaddle.errors import access, why
from pathsaddle.histories.checkers import CHECKERS, checker
from pathsaddle.histories.faults import HistoryError, UnknownChecker, UnknownKey, Unwritable, WrongValue
from pathsaddle.histories.keeping import Kept, read_kept
from pathsaddle.histories.lanes import lanes
from pathsaddle.histories.logs import (
    SECOND,
    Checker,
    Clocks,
    Event,
    Finding,
    check,
    in_order,
    read_folder,
)
from pathsaddle.histories.small import small
from pathsaddle.histories.smoke import million, read_plan, run, table

STATED = "history.toml"  # in a folder of logs: skew_ms, and a table of bounds for each checker
SHOWN = 20  # findings of one name that are printed


@click.group(help="Or name a plan (.toml) to prove the checkers by it.")
def commands() -> None:
    pass


def stated(folder: Path) -> tuple[int, dict[str, dict[str, Any]]]:
    """Skew in ticks, and bounds by checker. Raises HistoryError."""
    path = folder / STATED
    if not path.is_file():
        return 0, {}
    told = table(path)
    skew = told.pop("skew_ms", 0)
    if isinstance(skew, bool) or not isinstance(skew, int | float) or skew < 0:
        raise WrongValue(file=path, key="skew_ms", shown=repr(skew), may="milliseconds, 0 or more,")
    for name, bounds in told.items():
        if name not in CHECKERS:
            raise UnknownKey(file=path, key=name, known=f"skew_ms, {', '.join(CHECKERS)}")
        if not isinstance(bounds, dict):
            raise WrongValue(file=path, key=name, shown=repr(bounds), may="a table of that checker's bounds")
    return int(skew * SECOND / 1000 + 0.5), told


def made(path: Path, name: str, skew: int, bounds: dict[str, Any]) -> Checker:
    try:
        return checker(name, skew, **bounds)
    except TypeError as fault:
        unknown = next((key for key in bounds if repr(key) in str(fault)), ", ".join(bounds))
        raise UnknownKey(
            file=path, key=f"{name}.{unknown}", known=f"the bounds of {name} in docs/histories.md"
        ) from fault


def told(findings: list[Finding], counts: dict[str, int]) -> None:
    shown: dict[str, int] = {}
    for finding in findings:
        shown[finding.name] = shown.get(finding.name, 0) + 1
        if shown[finding.name] <= SHOWN:
            click.echo(str(finding))
    for name, count in counts.items():
        click.echo(f"{name}: {count} found" if count else f"{name}: holds")


@commands.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--only", help="names of checkers, with commas between them")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="a folder: the first of each name, made small, goes there"
)
@click.option("--lanes", "show", is_flag=True, help="the first of each name, made small, as lanes")
def check_folder(folder: Path, only: str | None, keep: Path | None, show: bool) -> None:
    """All checkers over a folder of logs (or one file); 1 where something is found."""
    files = read_folder(folder)
    skew, bounds = stated(folder) if folder.is_dir() else (0, {})
    names = only.split(",") if only else list(CHECKERS)
    for name in names:
        if name not in CHECKERS:
            raise UnknownChecker(where="--only", shown=repr(name), known=", ".join(CHECKERS))
    clocks = Clocks(skew)
    findings = clocks.run(files)
    events = in_order(event for file in files for event in file)
    counts = {"clocks": clocks.found}
    for name in names:
        judge = made(folder / STATED, name, skew, bounds.get(name, {}))
        findings += check(events, [judge])
        counts[name] = judge.found
    told(findings, counts)
    if keep is not None or show:
        firsts = {finding.name: finding for finding in reversed(findings) if finding.checker in CHECKERS}
        for finding in firsts.values():
            less(events, finding, skew, bounds.get(finding.checker, {}), keep, show)
    click.echo(f"{len(events)} events of {len(files)} files, {len(findings)} found")
    sys.exit(int(bool(findings)))


def less(
    events: list[Event], finding: Finding, skew: int, bounds: dict[str, Any], keep: Path | None, show: bool
) -> None:
    def make() -> Checker:
        return checker(finding.checker, skew, **bounds)

    rows = small(events, make, finding)
    again = [row for row in check(rows, [make()]) if row.name == finding.name]
    if show:
        click.echo("\n" + lanes(rows, again[0] if again else None) + "\n")
    if keep is not None:
        path = keep / f"{finding.checker}-{finding.name}.jsonl"
        try:
            keep.mkdir(parents=True, exist_ok=True)
            Kept(finding.checker, finding.name, rows, skew, bounds, finding.says).write(path)
        except OSError as fault:
            raise Unwritable(
                "",
                f"name a folder instead of the file {keep}" if keep.is_file() else access(fault, keep, keep),
                folder=keep,
                why=why(fault),
            ) from None
        click.echo(f"kept as {path}")


@commands.command("show")
@click.argument("file", type=click.Path(path_type=Path))
def show_file(file: Path) -> None:
    """A kept history as lanes, with what is found in it."""
    kept = read_kept(file)
    findings = kept.findings()
    click.echo(lanes(kept.events, findings[0] if findings else None))
    sys.exit(int(not kept.holds()))


@commands.command("measure")
@click.option("--events", default=1_000_000, show_default=True)
def measure(events: int) -> None:
    """Seconds of processor time for a million events of each checker."""
    for name in CHECKERS:
        click.echo(f"{name:<12}{million(name, events):>8.1f} s")


def main(words: list[str]) -> int:
    try:
        if len(words) == 1 and words[0].endswith(".toml"):
            return int(not run(read_plan(Path(words[0])), click.echo))
        commands.main(words, prog_name="python -m pathsaddle.histories")
    except HistoryError as fault:
        click.echo(str(fault), err=True)
        return fault.code
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
