"""Slope 6: how long urgent work waits for its start, against starts a second over the fleet.

Emulated: the program's own dispatchers on the virtual ground (`emulator.stage.virtual`), with emulated
workers, clients and list, in virtual time. The fleet grows with the rate, so that the load stays what the
setting says: as many workers as the rate fills at that load, and one dispatcher for each `each` starts a
second. Jobs run `run` on average, far shorter than the target's (11,000 running at 270 starts a second are
41 s each): a wait behind running jobs grows with them, so waits are told in milliseconds and in mean running
times.
"""

from __future__ import annotations

import contextlib
from typing import Annotated, Any, Literal

import msgspec

from pathsaddle.emulator.hollow.waits import keyed, percentile
from pathsaddle.event_log import Event

TICKS = 10_000  # in a second


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """load: the work that comes, as a part of what all slots can do.
    gate: whether each Scheduler has the overload gate beside it (`emulator.overload.gated`).
    zone_lost: whether all workers of one zone of four die at a third of the play, and come back cold after
        another.
    run: mean running time of a job, seconds. Urgent ones run as long as others.
    urgent: part of the jobs that are urgent.
    within: in which urgent work must have started, seconds.
    slots: of a worker.
    line: how many jobs may wait at a worker.
    each: starts a second for each dispatcher.
    patience: within how many mean running times the other jobs are to start.
    progress: seconds between a worker's notes on a running job.
    reports: where workers' reports of their load stand: in answers, or in looks (`probe`) as well.
    tells: whether workers tell when a job starts.
    keys: of how many keys, dealt in turn, each job has one, so that its keepers run it; 0: none has a key.
    seconds: how long jobs come, virtual.
    warm: from which second on they count.
    """

    load: Annotated[float, msgspec.Meta(gt=0, le=4)] = 0.9
    gate: bool = False
    zone_lost: bool = False
    run: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    urgent: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.1
    within: float = 8.6
    slots: Annotated[int, msgspec.Meta(ge=1)] = 4
    line: Annotated[int, msgspec.Meta(ge=0)] = 8
    each: Annotated[float, msgspec.Meta(gt=0)] = 30.0
    patience: Annotated[float, msgspec.Meta(gt=0)] = 2.0
    progress: Annotated[float, msgspec.Meta(ge=0)] = 2.0
    reports: Literal["answers", "probe"] = "answers"
    tells: bool = False
    keys: Annotated[int, msgspec.Meta(ge=0)] = 0
    seconds: Annotated[float, msgspec.Meta(gt=0)] = 12.0
    warm: Annotated[float, msgspec.Meta(ge=0)] = 3.0


FIGURES = {
    "dispatchers": ("1", "dispatchers in the play, emulated"),
    "workers": ("1", "workers in the play, emulated"),
    "slots": ("1", "slots of all workers, emulated"),
    "offered": ("1/s", "jobs that came a second after the warm-up, first tries, emulated"),
    "started": ("1/s", "jobs that came after the warm-up and started, a second of coming, emulated"),
    "urgent_jobs": ("1", "urgent jobs that came after the warm-up, emulated"),
    "urgent_p50_ms": (
        "ms",
        "urgent work's wait from its client's first try to its first start, median, emulated",
    ),
    "urgent_p99_ms": ("ms", "the same, 99th percentile"),
    "urgent_most_ms": ("ms", "the same, longest"),
    "urgent_held_p99_ms": (
        "ms",
        "of that, until its first start's posting came to a worker, 99th percentile",
    ),
    "urgent_line_p99_ms": ("ms", "of that, from there to the start, in the worker's line, 99th percentile"),
    "urgent_p99_runs": ("1", "the same, 99th percentile, in mean running times"),
    "urgent_unstarted": ("1", "part of the urgent jobs that never started, emulated"),
    "urgent_over": ("1", "part of the urgent jobs that started later than `within` or never, emulated"),
    "other_p50_ms": (
        "ms",
        "the other jobs' wait until their first start, median of those that started, emulated",
    ),
    "other_unstarted": ("1", "part of the other jobs that never started, emulated"),
    "declined": ("1", "part of all tries that were declined, emulated"),
    "value": ("1", "part of all value that was answered in time, emulated"),
    "turned_away": ("1", "postings that a worker turned away, for each job, emulated"),
    "findings": ("1", "breaks of the rules that the judge finds, emulated"),
}
COUNTED = frozenset(FIGURES)  # in virtual time: the same on every machine
ZONES = ["east", "west", "north", "south"]


def sizes(point: int, setting: Setting) -> tuple[int, int]:
    """Dispatchers and workers: as many as that many starts a second need at the setting's load, or, where
    that is above what can be served, as can serve the point; more come then than the point says.
    """
    slots = point * setting.run / min(1.0, setting.load)
    return (max(len(ZONES), round(point / setting.each)), max(len(ZONES), round(slots / setting.slots)))


def needs(point: int, setting: Setting) -> tuple[int, float]:
    return 1, 120.0 + 0.06 * point * setting.seconds


def table(point: int, setting: Setting) -> dict[str, Any]:
    """The play as a plan of the virtual ground."""
    dispatchers, workers = sizes(point, setting)
    rate = workers * setting.slots / setting.run * setting.load
    run = [f"{setting.run:g}s"] * 2
    expiry = f"{20 + 8 * setting.run:g}s"
    third = setting.warm + (setting.seconds - setting.warm) / 3
    lost = {
        "kind": "crash",
        "of": "south-*",
        "at": f"{third:g}s",
        "for": f"{(setting.seconds - setting.warm) / 3:g}s",
    }
    return {
        "name": "starts",
        "seconds": setting.seconds,
        "charter": {
            "zones": ZONES,
            "prices": {"cross": 0.01},
            "reports": {
                "progress": f"{setting.progress:g}s",
                "source": setting.reports,
                "starts": setting.tells,
            },
            "schemes": [
                {
                    "name": "urgent",
                    "semantics": "repeatable",
                    "sla": f"{setting.within:g}s",
                    "stretch": 1.0,
                    "expiry": expiry,
                    "value": 10.0,
                },
                {
                    "name": "usual",
                    "semantics": "repeatable",
                    "sla": f"{setting.patience * setting.run:g}s",
                    "stretch": 1.0,
                    "expiry": expiry,
                    "value": 1.0,
                },
            ],
        },
        "fleet": {
            "dispatchers": dispatchers,
            "workers": [
                {
                    "kind": zone,
                    "zones": [zone],
                    "slots": setting.slots,
                    "line": setting.line,
                    "count": max(1, workers // len(ZONES) + (i < workers % len(ZONES))),
                }
                for i, zone in enumerate(ZONES)
            ],
        },
        "load": {
            "rate": rate,
            "retries": 2,
            "jobs": {
                "urgent": {"part": setting.urgent, "run": run},
                "usual": {"part": 1.0 - setting.urgent, "run": run},
            },
        },
        "faults": [lost] if setting.zone_lost else [],
    }


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    from pathsaddle.emulator import stage
    from pathsaddle.emulator.judges.judge import judge
    from pathsaddle.emulator.plan import charter_of, of

    plan = of(table(point, setting), "starts")
    dispatchers, workers = sizes(point, setting)
    slots = workers * setting.slots
    with contextlib.ExitStack() as beside:
        beside.enter_context(keyed(setting.keys))
        if setting.gate:
            from pathsaddle.emulator.overload.gated import gated

            beside.enter_context(gated(slots / setting.run))
        rows = stage.virtual(plan, seed).events.rows
    verdict = judge(charter_of(plan), rows, 20)
    urgent, came = starts_of(rows, "urgent", int(setting.warm * TICKS))
    usual, others = starts_of(rows, "usual", int(setting.warm * TICKS))
    waits, other = sorted(at - first for first, _, at in urgent), sorted(at - first for first, _, at in usual)
    late = sum(wait > setting.within * TICKS for wait in waits)
    span = setting.seconds - setting.warm
    return {
        "dispatchers": dispatchers,
        "workers": workers,
        "slots": slots,
        "offered": (came + others) / span,
        "started": (len(urgent) + len(usual)) / span,
        "urgent_jobs": came,
        "urgent_p50_ms": percentile(waits, 0.5) / 10,
        "urgent_p99_ms": percentile(waits, 0.99) / 10,
        "urgent_most_ms": percentile(waits, 1.0) / 10,
        "urgent_held_p99_ms": percentile(sorted(posted - first for first, posted, _ in urgent), 0.99) / 10,
        "urgent_line_p99_ms": percentile(sorted(at - posted for _, posted, at in urgent), 0.99) / 10,
        "urgent_p99_runs": percentile(waits, 0.99) / TICKS / setting.run,
        "urgent_unstarted": 1.0 - len(urgent) / max(1, came),
        "urgent_over": (late + came - len(urgent)) / max(1, came),
        "other_p50_ms": percentile(other, 0.5) / 10,
        "other_unstarted": 1.0 - len(usual) / max(1, others),
        "declined": verdict.declines / max(1, verdict.tries),
        "value": verdict.whole.part,
        "turned_away": verdict.turned_away / max(1, verdict.whole.jobs),
        "findings": len(verdict.findings),
    }


def starts_of(rows: list[Event], scheme: str, since: int) -> tuple[list[tuple[int, int, int]], int]:
    """Of each job of a scheme that came since then and started: when its client first asked, when the posting
    came by which it first started, when that started (ticks); and how many came.
    """
    wanted: dict[int, int] = {}
    job_of: dict[str, int] = {}
    came: dict[tuple[str, str], int] = {}
    first: dict[int, tuple[int, int]] = {}
    for event in rows:  # not in the order of their moments, but each client's and each worker's own are
        more = event.more
        if event.what == "wanted" and more["scheme"] == scheme and event.at >= since:
            wanted[more["job"]] = event.at
        elif event.what == "asked":
            job_of[more["id"]] = more["job"]
        elif event.what == "came":
            came[more["id"], more["worker"]] = event.at
        elif event.what == "ran" and (job := job_of.get(more["id"])) is not None:
            start = (event.at, came[more["id"], more["worker"]])
            first[job] = min(start, first.get(job, start))
    found = [(at, first[job][1], first[job][0]) for job, at in wanted.items() if job in first]
    return found, len(wanted)
