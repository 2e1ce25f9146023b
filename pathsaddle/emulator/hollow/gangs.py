"""Slope 7: what becomes of a set of slots that a job wants at once, against how many.

Emulated: the program's own dispatchers on the virtual ground, with emulated workers, clients and list, in
virtual time. The program carries no set over several workers: a txn has one worker at a time (`trade.Post`),
and its slots are held against what one worker has (`Scheduler.required_slots`). So a set can only come in one of two
forms, and both are measured:

- "one": one txn of so many slots, which one worker must have free at once;
- "set": as many txns of one slot each, sent in one moment, that nothing ties together: whoever starts first
  holds its slot while it waits for the last. Here each runs its own time from its own start; whether all ran
  at one moment and what stood idle until the last had started is reckoned from the log.

Beside them come jobs of one slot, so that the load is what the setting says. Workers start the first of their
line as soon as it fits, and who waits behind it waits.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Annotated, Any, Literal

import msgspec

from pathsaddle.emulator.hollow.waits import keyed, percentile
from pathsaddle.event_log import Event

TICKS = 10_000  # in a second


class Setting(msgspec.Struct, forbid_unknown_fields=True):
    """form: how a set comes: as one txn of so many slots, or as so many txns of one slot at once.
    slots: of each worker.
    workers: how many.
    dispatchers: how many.
    load: all work that comes, as a part of what all slots can do.
    part: of that, what the sets ask for; fewer than `least` sets are never sent, whatever that makes of the
        load.
    least: sets that come after the warm-up, at least.
    run: mean running time, seconds, of sets and of the others.
    patience: seconds within which a start is in time; a set that has none by then is given up.
    line: how many jobs may wait at a worker.
    seconds: until when sets come, virtual; jobs of one slot come for `patience` longer, so that no set starts
        only because the load has ended.
    warm: from which second on sets come.
    """

    form: Literal["one", "set"] = "one"
    slots: Annotated[int, msgspec.Meta(ge=1)] = 64
    workers: Annotated[int, msgspec.Meta(ge=1)] = 4
    dispatchers: Annotated[int, msgspec.Meta(ge=1)] = 4
    load: Annotated[float, msgspec.Meta(gt=0, le=2)] = 0.9
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3
    least: Annotated[int, msgspec.Meta(ge=1)] = 6
    run: Annotated[float, msgspec.Meta(gt=0)] = 4.0
    patience: Annotated[float, msgspec.Meta(gt=0)] = 20.0
    line: Annotated[int, msgspec.Meta(ge=0)] = 8
    seconds: Annotated[float, msgspec.Meta(gt=0)] = 25.0
    warm: Annotated[float, msgspec.Meta(ge=0)] = 5.0


FIGURES = {
    "sets": ("1", "sets that came, emulated"),
    "whole": ("1", "part of the sets of which every slot started, emulated"),
    "together": ("1", "part of the sets whose slots all ran at one moment, emulated"),
    "declined": ("1", "part of the sets of which a txn ended declined, emulated"),
    "unanswered": ("1", "part of the sets of which a txn ended with no answer or reversed, emulated"),
    "answer_p50_ms": (
        "ms",
        "time until the first such word, of sets that did not start whole, median, emulated",
    ),
    "tries": ("1", "postings of sets that a worker turned away, for each set, emulated"),
    "last_p50_ms": (
        "ms",
        "from a set's coming to the start of its last slot, median of whole ones, emulated",
    ),
    "last_p99_ms": ("ms", "the same, 99th percentile"),
    "last_most_ms": ("ms", "the same, longest"),
    "last_p50_runs": ("1", "the same, median, in mean running times"),
    "idle_own": (
        "1",
        "slots of a set that had started and waited for its last, as a part of what it asked for, emulated",
    ),
    "idle_behind": (
        "1",
        "part of all slots that were free at a worker in whose line somebody waited, emulated",
    ),
    "single_p50_ms": ("ms", "wait of the jobs of one slot until their start, median, emulated"),
    "single_p99_ms": ("ms", "the same, 99th percentile"),
    "single_unstarted": ("1", "part of the jobs of one slot that never started, emulated"),
    "busy": ("1", "part of all slots that ran something after the warm-up, emulated"),
    "findings": ("1", "breaks of the rules that the judge finds, emulated"),
}
COUNTED = frozenset(FIGURES)  # in virtual time: the same on every machine


def needs(point: int, setting: Setting) -> tuple[int, float]:
    return 1, 120.0 + 0.06 * setting.workers * setting.slots * setting.load / setting.run * (
        setting.seconds + setting.patience
    )


def trace(point: int, seed: int, setting: Setting) -> tuple[list[tuple[float, str, float]], int]:
    """The play's jobs (seconds, scheme, milliseconds of work), in their order, and how many sets are among
    them: these come evenly apart, jobs of one slot at random.
    """
    chance = Random(f"{seed} gangs")
    slots = setting.workers * setting.slots
    span = setting.seconds - setting.warm
    sets = max(setting.least, round(setting.load * setting.part * slots * span / setting.run / point))
    left = max(0.05 * setting.load, setting.load - sets * point * setting.run / slots / span)
    rows: list[tuple[float, str, float]] = []
    now, rate = 0.0, setting.load * slots / setting.run
    while now < setting.seconds + setting.patience:
        now += chance.expovariate(rate)
        # Before the sets come and after, the singles alone make the load.
        if not setting.warm <= now < setting.seconds or chance.random() < left / setting.load:
            rows.append((now, "single", 1000 * setting.run * chance.lognormvariate(-0.125, 0.5)))
    for number in range(sets):
        at = setting.warm + span * (number + chance.random()) / sets
        # All of one set run as long: they work on one thing.
        work = 1000 * setting.run * chance.lognormvariate(-0.125, 0.5)
        rows += [(at, "gang", work)] * (point if setting.form == "set" else 1)
    return sorted(rows, key=lambda row: row[0]), sets


def table(point: int, setting: Setting, path: str) -> dict[str, Any]:
    """The play as a plan of the virtual ground."""
    times = {
        "semantics": "repeatable",
        "sla": f"{setting.patience:g}s",
        "stretch": 1.0,
        "expiry": f"{setting.patience + 8 * setting.run:g}s",
    }
    return {
        "name": "gangs",
        "seconds": setting.seconds + setting.patience + 1.0,
        "charter": {
            "zones": ["here"],
            "schemes": [
                {"name": "gang", "value": float(point), **times},
                {"name": "single", "value": 1.0, **times},
            ],
        },
        "fleet": {
            "dispatchers": setting.dispatchers,
            "workers": [
                {"kind": "node", "slots": setting.slots, "line": setting.line, "count": setting.workers}
            ],
        },
        "load": {
            "shape": "trace",
            "trace": path,
            "retries": 0,
            "jobs": {"gang": {"slots": float(point) if setting.form == "one" else 1.0}, "single": {}},
        },
    }


def measure(point: int, seed: int, setting: Setting) -> dict[str, float]:
    from pathsaddle.emulator import stage
    from pathsaddle.emulator.judges.judge import judge
    from pathsaddle.emulator.plan import charter_of, of

    jobs, sets = trace(point, seed, setting)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "trace.csv"
        path.write_text(
            "".join(f"{at:.6f},{scheme},{work:.4f},\n" for at, scheme, work in jobs), encoding="utf-8"
        )
        plan = of(table(point, setting, str(path)), "gangs")
        with keyed(0):
            rows = stage.virtual(plan, seed).events.rows
    findings = judge(charter_of(plan), rows, 20).findings
    return {
        **figures(rows, [scheme for _, scheme, _ in jobs], point, setting),
        "sets": sets,
        "findings": len(findings),
    }


class Lived:
    """What became of one job by the log: when it came, started, ended, was last answered and how."""

    def __init__(self, at: int, work: int) -> None:
        self.at, self.work = at, work
        self.start: int | None = None
        self.end = 0
        self.answer, self.how = 0, ""
        self.turned_away = 0


def lived(rows: list[Event]) -> dict[int, Lived]:
    """By a job's number."""
    jobs: dict[int, Lived] = {}
    job_of: dict[str, Lived] = {}
    for event in rows:
        more = event.more
        if event.what == "wanted":
            jobs[more["job"]] = Lived(event.at, more["work"])
        elif event.what == "asked":
            job_of[more["id"]] = jobs[more["job"]]
        elif (job := job_of.get(more.get("id", ""))) is None:
            continue
        elif event.what == "ran" and job.start is None:
            job.start = event.at
        elif event.what == "ended":
            job.end = event.at
        elif event.what == "answered":
            job.answer, job.how = event.at, more["how"]
        elif event.what == "turned_away":
            job.turned_away += 1
    return jobs


def figures(rows: list[Event], schemes: list[str], point: int, setting: Setting) -> dict[str, float]:
    jobs = lived(rows)
    # A job's number is its place in the trace: the clients send it in that order.
    singles = [jobs[n + 1] for n, scheme in enumerate(schemes) if scheme == "single"]
    singles = [job for job in singles if setting.warm * TICKS <= job.at < setting.seconds * TICKS]
    gang = [jobs[n + 1] for n, scheme in enumerate(schemes) if scheme == "gang"]
    size = point if setting.form == "set" else 1
    sets = [gang[at : at + size] for at in range(0, len(gang), size)]
    whole = [one for one in sets if all(job.start is not None for job in one)]
    last = sorted(max(job.start or 0 for job in one) - one[0].at for one in whole)
    parts = [
        sum(max(job.start or 0 for job in one) - (job.start or 0) for job in one)
        / sum(job.work for job in one)
        for one in whole
    ]
    together = sum(min(job.end for job in one) >= max(job.start or 0 for job in one) for one in whole)
    broken = [one for one in sets if any(job.start is None for job in one)]
    words = sorted(
        min(job.answer for job in one if job.start is None) - one[0].at
        for one in broken
        if all(job.how for job in one)
    )
    waits = sorted(job.start - job.at for job in singles if job.start is not None)
    count = max(1, len(sets))

    def share(of: Callable[[Lived], bool]) -> float:
        return sum(any(map(of, one)) for one in sets) / count

    busy, behind = slots_of(rows, setting)
    return {
        "whole": len(whole) / count,
        "together": together / count,
        "declined": share(lambda job: job.how == "declined"),
        "unanswered": share(lambda job: job.how not in ("declined", "settled")),
        "answer_p50_ms": percentile(words, 0.5) / 10,
        "tries": sum(job.turned_away for one in sets for job in one) / count,
        "last_p50_ms": percentile(last, 0.5) / 10,
        "last_p99_ms": percentile(last, 0.99) / 10,
        "last_most_ms": percentile(last, 1.0) / 10,
        "last_p50_runs": percentile(last, 0.5) / TICKS / setting.run,
        "idle_own": sum(parts) / max(1, len(parts)),
        "idle_behind": behind,
        "single_p50_ms": percentile(waits, 0.5) / 10,
        "single_p99_ms": percentile(waits, 0.99) / 10,
        "single_unstarted": 1.0 - len(waits) / max(1, len(singles)),
        "busy": busy,
    }


def slots_of(rows: list[Event], setting: Setting) -> tuple[float, float]:
    """While sets come: what part of all slots ran something, and what part was free at a
    worker in whose line somebody waited.
    """
    since, until = int(setting.warm * TICKS), int(setting.seconds * TICKS)
    used: dict[str, float] = {}  # by worker: slots in use, jobs in line, and the moment of its last change
    line: dict[str, int] = {}
    changed: dict[str, int] = {}
    wants: dict[tuple[str, str], float] = {}
    running: dict[tuple[str, str], None] = {}
    busy = behind = 0.0
    ticks = sorted(
        (event for event in rows if event.what in ("came", "ran", "ended", "turned_away", "withdrawn")),
        key=lambda event: event.at,
    )

    def passes(worker: str, now: int) -> None:
        nonlocal busy, behind
        span = max(0, min(now, until) - max(changed.get(worker, since), since))
        busy += span * used.get(worker, 0.0)
        if line.get(worker, 0) > 0:
            behind += span * (setting.slots - used.get(worker, 0.0))
        changed[worker] = max(now, since)

    for event in ticks:
        worker, key = event.more["worker"], (event.more["id"], event.more["worker"])
        passes(worker, event.at)
        if event.what == "came":
            wants[key] = event.more["slots"]
            line[worker] = line.get(worker, 0) + 1
        elif event.what == "ran" and key in wants:
            running[key] = None
            line[worker] -= 1
            used[worker] = used.get(worker, 0.0) + wants[key]
        elif event.what == "ended" and key in running:
            del running[key]
            used[worker] -= wants.pop(key)
        elif event.what != "ran" and key in wants and key not in running:  # it left the line without a start
            del wants[key]
            line[worker] -= 1
    for worker in list(changed):
        passes(worker, until)
    whole = max(1, until - since) * setting.workers * setting.slots
    return busy / whole, behind / whole
