"""What the command line prints: tables of a run's figures, of its rules, of faults."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any

from rich.console import Console
from rich.table import Table

from pathsaddle.emulator.judges.judge import RULES, Row, Verdict
from pathsaddle.event_log import Event

TABLES = ("a table", "a table each")  # of which each key is said by itself
MEANS = {
    "lost": "1 each txn taken has an answer",
    "late": "1 before its expiry",
    "twice": "1 one answer alone",
    "after": "1 nothing is sent after it",
    "repeat": "2 no effect twice",
    "decline": "2 declined only if harmless",
    "together": "2 never two at once where forbidden",
    "drain": "3 drains are kept",
    "cold": "4 no cold worker pushed over",
    "forgotten": "5 no job taken on is forgotten",
    "changed": "5 one end and one id a job",
    "ran-twice": "5 no once-only job runs twice",
    "lease": "5 leases only grow",
    "false": "- no answer that no worker gave",
    "bad": "- bad clients are sent away in time",
    "fault": "- no fault of the program",
    "unknown": "6 a death is known to all in time",
    "believed": "6 nobody is believed dead who is there",
    "apart": "6 after trouble all views are whole",
    "accused": "6 who stood still accuses nobody",
    "heard": "6 nobody is heard who was not there",
    "traffic": "6 what is sent is bounded",
}


def figures(console: Console, verdict: Verdict, title: str) -> None:
    table = Table(title=title, title_justify="left")
    for name in (
        "",
        "txns",
        "settled in time",
        "settled",
        "declined",
        "reversed",
        "unanswered",
        "value",
        "p50 ms",
        "p99 ms",
    ):
        table.add_column(name, justify="left" if not name else "right")

    def add(name: str, row: Row, style: str = "") -> None:
        table.add_row(
            name,
            str(row.jobs),
            str(row.in_time),
            str(row.settled),
            str(row.declined),
            str(row.reversed),
            str(row.unanswered),
            f"{row.part:.3f}",
            f"{row.p50:.0f}",
            f"{row.p99:.0f}",
            style=style,
        )

    for name, row in verdict.schemes.items():
        add(name, row)
    if len(verdict.customers) > 1:
        table.add_section()
        for name, row in verdict.customers.items():
            add(name or "nobody", row)
    table.add_section()
    add("all", verdict.whole, "bold")
    console.print(table)
    console.print(
        f"tries {verdict.tries}, postings {verdict.postings}, turned away {verdict.turned_away}; "
        f"faults: {', '.join(f'{n} {kind}' for kind, n in verdict.faults.items()) or 'none'}"
    )


def fleet(console: Console, told: dict[str, Any]) -> None:
    """What members of a fleet knew of one another."""
    known = sorted(told["known"])
    console.print(
        f"fleet: {told['deaths']} deaths, known to all after ms: "
        + (
            f"{known[len(known) // 2]:.0f} at the middle, {known[-1]:.0f} at most"
            if known
            else "none was to be known"
        )
        + f"; accused wrongly {told['false']} times, believed dead wrongly {told['wrong']}; "
        f"{told['rate']:.0f} bytes a second and member, {told['most_bytes']} bytes and {told['most_datagrams']} "
        "datagrams in the worst second of any"
    )


def saw(console: Console, events: Iterable[Event]) -> None:
    """What each member saw of the others, in the order in which it did."""
    rows: dict[str, list[str]] = {}
    for event in sorted(events, key=lambda one: one.at):
        if event.what == "view" and event.more["who"] != event.more["about"]:
            rows.setdefault(event.more["who"], []).append(
                f"{event.at / 10_000:.1f} s {event.more['about']} {event.more['state']}"
            )
        elif event.what in ("blight", "killed", "stalled", "goes_on"):
            console.print(
                f"{event.at / 10_000:.1f} s {event.what} "
                f"{event.more.get('one', event.more.get('dispatcher'))} {event.more.get('other', '')}",
                markup=False,
                highlight=False,
            )
    for who, told in sorted(rows.items()):
        console.print(f"{who} saw: {'; '.join(told)}", markup=False, highlight=False)


def rules(console: Console, verdict: Verdict, most: int = 10) -> None:
    broken = verdict.broken()
    table = Table(title="Rules", title_justify="left")
    table.add_column("rule")
    table.add_column("kept")
    for rule in RULES:
        if MEANS[rule].startswith("6") and not verdict.fleet:
            continue
        table.add_row(MEANS[rule], "yes" if rule not in broken else f"[red]no, {broken[rule]} times[/red]")
    console.print(table)
    for finding in verdict.findings[:most]:
        console.print(f"  {finding.at / 10_000:.4f} s  {finding.rule}: {finding.text}", markup=False)
    if len(verdict.findings) > most:
        console.print(f"  ... and {len(verdict.findings) - most} more")


def explained(rows: Iterable[tuple[str, str, str, str]], in_service: Collection[str] = ()) -> str:
    """The keys of a file as a page in Markdown. in_service: those that may change there, in a column of their own."""
    lines = ["| key | what may stand there | default | meaning |", "| --- | --- | --- | --- |"]
    if in_service:
        lines = [
            "| key | what may stand there | default | in service | meaning |",
            "| --- | --- | --- | --- | --- |",
        ]
    for key, kind, default, meaning in rows:
        line = (
            f"| `{key}` | {kind} | {f'`{default}`' if default and default != 'must be given' else default} | "
        )
        if in_service:
            line += "| " if kind in TABLES else "yes | " if key.partition("[]")[0] in in_service else "no | "
        lines.append(f"{line}{meaning} |")
    return "\n".join(line.replace("  ", " ") for line in lines)


def faults(console: Console, fault: Any) -> None:
    for one in fault.faults:
        console.print(str(one), markup=False, highlight=False, soft_wrap=True)
