"""python -m pathsaddle.histories: prove the checkers by a plan, check a folder of logs,
show a history as lanes."""

from __future__ import annotations

import sys
import tomllib
from pathlib import Path
from typing import Any

import click

from pathsaddle.histories.checkers import CHECKERS, checker
from pathsaddle.histories.keeping import Kept, read_kept
from pathsaddle.histories.lanes import lanes
from pathsaddle.histories.logs import (
    SECOND,
    Checker,
    Clocks,
    Event,
    Finding,
    HistoryError,
    check,
    in_order,
    read_folder,
)
from pathsaddle.histories.small import small
from pathsaddle.histories.smoke import million, read_plan, run

STATED = "history.toml"  # in a folder of logs: skew_ms, and a table of bounds for each checker
SHOWN = 20  # findings of one name that are printed


@click.group(help="Or name a plan (.toml) to prove the checkers by it.")
def commands() -> None:
    pass


def stated(folder: Path) -> tuple[int, dict[str, dict[str, Any]]]:
    """skew in ticks, and bounds by checker. Raises HistoryError."""
    path = folder / STATED
    if not path.is_file():
        return 0, {}
    try:
        told = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise HistoryError("bounds-malformed", f"{path}: {fault}", f"mend {path} where it says") from fault
    skew = told.pop("skew_ms", 0)
    if isinstance(skew, bool) or not isinstance(skew, int | float) or skew < 0:
        raise HistoryError("bounds-wrong-value", f"{path}: skew_ms = {skew!r}",
                           "write skew_ms as milliseconds, 0 or more")
    for name in told:
        if name not in CHECKERS:
            raise HistoryError("bounds-unknown-key", f"{path}: {name}",
                               f"take {name} out; known are skew_ms, {', '.join(CHECKERS)}")
    return int(skew * SECOND / 1000 + 0.5), told


def made(path: Path, name: str, skew: int, bounds: dict[str, Any]) -> Checker:
    try:
        return checker(name, skew, **bounds)
    except TypeError as fault:
        raise HistoryError("bounds-unknown-key", f"{path}: [{name}]: {fault}",
                           f"keep to the bounds of {name} that docs/histories.md names") from fault


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
@click.option("--keep", type=click.Path(path_type=Path),
              help="a folder: the first of each name, made small, goes there")
@click.option("--lanes", "show", is_flag=True, help="the first of each name, made small, as lanes")
def check_folder(folder: Path, only: str | None, keep: Path | None, show: bool) -> None:
    """All checkers over a folder of logs (or one file); 1 where something is found."""
    files = read_folder(folder)
    skew, bounds = stated(folder) if folder.is_dir() else (0, {})
    names = only.split(",") if only else list(CHECKERS)
    for name in names:
        if name not in CHECKERS:
            raise HistoryError("check-unknown", name, f"name one of {', '.join(CHECKERS)} after --only")
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


def less(events: list[Event], finding: Finding, skew: int, bounds: dict[str, Any], keep: Path | None,
         show: bool) -> None:
    def make() -> Checker:
        return checker(finding.checker, skew, **bounds)

    rows = small(events, make, finding)
    again = [row for row in check(rows, [make()]) if row.name == finding.name]
    if show:
        click.echo("\n" + lanes(rows, again[0] if again else None) + "\n")
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        path = keep / f"{finding.checker}-{finding.name}.jsonl"
        Kept(finding.checker, finding.name, rows, skew, bounds, finding.says).write(path)
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
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
