"""Runs a plan's seeds and variants over the cores; what is kept already is not run again."""

from __future__ import annotations

import contextlib
import gc
import hashlib
import io
import json
import multiprocessing
import os
import shutil
import signal
import subprocess
import sys
import tarfile
import time
import traceback
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from types import FrameType
from typing import Any

import msgspec

from pathsaddle.emulator import stage
from pathsaddle.emulator.judges.judge import judge
from pathsaddle.emulator.plan import Plan, Variant, charter_of, of, plain, varied
from pathsaddle.emulator.steps import Steps
from pathsaddle.experiment.baseline import instead
from pathsaddle.experiment.keep import (
    ROOT,
    NoCommit,
    NoGround,
    NoProgram,
    Result,
    Store,
    commit_of,
    digest_of,
    machine,
)

SLACK = {"virtual": 20, "sockets": 500}  # ticks by which the judge's limits are longer
OURS = ("emulator", "config", "experiment", "cli")  # laid over an earlier commit for the virtual ground
SHARED_MODULES = ("errors.py", "event_log.py")
BASE = Variant(name="base")


@dataclass(frozen=True)
class Task:
    """One run to be made: a plan as plain data, so that it can go to another process or an older tree."""

    plan: dict[str, Any]
    variant: dict[str, Any]
    seed: int
    ground: str
    commit: str
    root: str  # of the tree that it runs in


def perform(task: Task) -> Result:
    """One run and its verdict, in this process; what goes wrong is told in the result."""
    begun = time.perf_counter()
    plan = of(task.plan, "plan")
    variant = msgspec.convert(task.variant, Variant)
    other = varied(plan, variant)
    digest, verdict, fault, steps = "", {}, "", Steps()
    counted = (
        plan.bounds.lines is not None
        and task.ground == "virtual"
        and variant.name == BASE.name
        and task.seed == plan.all_seeds[0]
    )
    try:
        if task.ground == "virtual":
            if counted:
                gc.collect()  # else what an earlier run has left is ended, and counted, within this one
            with instead(variant.policy), steps if counted else contextlib.nullcontext():
                outcome = stage.virtual(other, task.seed)
        else:
            command = [sys.executable, "-m", "pathsaddle"]
            if variant.policy:
                command = [sys.executable, "-m", "pathsaddle.experiment.baseline", variant.policy]
            outcome = stage.sockets(other, task.seed, command=command, root=Path(task.root))
        digest = outcome.digest
        verdict = judge(charter_of(other), outcome.events.rows, SLACK[task.ground]).plain()
    except KeyboardInterrupt:
        raise
    except BaseException as what:  # noqa: BLE001  # also Spinning: the other runs go on
        fault = f"{what!r}\n{traceback.format_exc()[-2000:]}"
    return Result(
        plan=plan.name,
        digest=digest_of(plan, variant),
        variant=variant.name,
        seed=task.seed,
        ground=task.ground,
        commit=task.commit,
        machine=machine(),
        when=datetime.now(UTC).isoformat(timespec="seconds"),
        took=time.perf_counter() - begun,
        events=digest,
        verdict=verdict,
        fault=fault,
        lines=steps.lines if counted else None,
    )


def tree(commit: str, ground: str, where: Path) -> tuple[Path, str]:
    """A tree with an earlier commit's program, and that commit's name; raises NoCommit, NoProgram, NoGround.

    On the virtual ground today's emulator is laid over it; a commit from before `scheduler.py` runs under its own
    emulator. Commits from before the virtual ground run on sockets alone.
    """
    name = subprocess.run(
        ["git", "rev-parse", "--short=10", f"{commit}^{{commit}}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    if not name:
        raise NoCommit(commit=commit)
    root = where / f"{name}-{ground}"
    shutil.rmtree(root, ignore_errors=True)
    done = subprocess.run(["git", "archive", name, "pathsaddle"], cwd=ROOT, capture_output=True, check=False)
    if done.returncode:
        raise NoProgram(commit=name)
    packed = done.stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(root, filter="data")
    if ground == "virtual":
        if not (root / "pathsaddle/net/service/ground.py").exists():
            raise NoGround(commit=name)
        # A tree from before the scheduler's present names stays whole: today's emulator can't drive its decisions.
        if (root / "pathsaddle" / "scheduler.py").exists():
            for package in OURS:
                shutil.rmtree(root / "pathsaddle" / package, ignore_errors=True)
                shutil.copytree(ROOT / "pathsaddle" / package, root / "pathsaddle" / package)
            for module in SHARED_MODULES:
                shutil.copy(ROOT / "pathsaddle" / module, root / "pathsaddle")
    return root, name


def elsewhere(task: Task) -> Result:
    """A run in an earlier commit's tree, by a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "pathsaddle.experiment.run"],
        cwd=task.root,
        check=False,
        input=json.dumps(task.__dict__).encode(),
        capture_output=True,
        env={**os.environ, "PYTHONPATH": task.root},
    )
    if done.returncode:
        told = done.stderr.decode(errors="replace")[-2000:]
        plan, variant = of(task.plan, "plan"), msgspec.convert(task.variant, Variant)
        return Result(
            plan=plan.name,
            digest=digest_of(plan, variant),
            variant=variant.name,
            seed=task.seed,
            ground=task.ground,
            commit=task.commit,
            machine=machine(),
            when=datetime.now(UTC).isoformat(timespec="seconds"),
            took=0.0,
            events="",
            verdict={},
            fault=told,
        )
    return msgspec.json.decode(done.stdout, type=Result)


def _work(task: Task) -> Result:
    return perform(task) if task.root == str(ROOT) or task.ground == "sockets" else elsewhere(task)


@contextlib.contextmanager
def interrupts() -> Iterator[list[int]]:
    """Keeps that an interrupt came: raised inside a parser's callback, httptools makes a parser's error of it, which
    an emulated peer takes for bad bytes, and the runs went on as if nobody had asked.
    """
    asked: list[int] = []

    def heard(number: int, frame: FrameType | None) -> None:
        asked.append(number)
        signal.default_int_handler(number, frame)

    try:
        before = signal.signal(signal.SIGINT, heard)
    except ValueError:  # not the main thread: nobody interrupts it
        yield asked
        return
    try:
        yield asked
    finally:
        signal.signal(signal.SIGINT, before)


class Run:
    """A plan's whole set of runs."""

    def __init__(
        self,
        plan: Plan,
        store: Store,
        ground: str | None = None,
        fresh: bool = False,
        jobs: int | None = None,
        seeds: list[int] | None = None,
    ) -> None:
        self.plan = plan
        self.store = store
        self.ground = ground or plan.ground
        self.jobs = jobs or max(1, (os.cpu_count() or 1) if self.ground == "virtual" else 1)
        self.variants = [BASE, *plan.variants]
        self.seeds = seeds or plan.all_seeds
        here = commit_of()
        told = plain(plan)
        self.tasks: list[Task] = []
        self.keys: list[tuple[str, str, str, int, str, str]] = []
        for variant in self.variants:
            root, name = ROOT, here
            if variant.commit:
                root, name = tree(variant.commit, self.ground, store.path.parent / "trees")
            for seed in self.seeds:
                self.tasks.append(
                    Task(told, msgspec.to_builtins(variant), seed, self.ground, name, str(root))
                )
                self.keys.append((plan.name, digest_of(plan, variant), variant.name, seed, self.ground, name))
        kept = {} if fresh else {result.key: result for result in store.read() if not result.fault}
        self.results: dict[int, Result] = {i: kept[key] for i, key in enumerate(self.keys) if key in kept}

    @property
    def left(self) -> list[int]:
        return [i for i in range(len(self.tasks)) if i not in self.results]

    def go(self, tell: Callable[[Result], None] = lambda result: None) -> list[Result]:
        """All results, in the plan's order. Interrupted, what has ended is kept."""
        if self.jobs == 1:
            with interrupts() as asked:
                for i in self.left:
                    self._ended(i, _work(self.tasks[i]), tell)
                    if asked:
                        raise KeyboardInterrupt
            return [self.results[i] for i in range(len(self.tasks))]
        # Not forked: a child must not inherit what this process has under way.
        context = multiprocessing.get_context("spawn")
        pool = ProcessPoolExecutor(min(self.jobs, max(1, len(self.left))), mp_context=context)
        try:
            open_runs: dict[Future[Result], int] = {pool.submit(_work, self.tasks[i]): i for i in self.left}
            while open_runs:
                done, _ = wait(open_runs, return_when=FIRST_COMPLETED)
                for future in sorted(done, key=lambda one: open_runs[one]):
                    self._ended(open_runs.pop(future), future.result(), tell)
        except BaseException:
            with contextlib.suppress(Exception):
                for process in list(pool._processes.values()):
                    process.terminate()
            pool.shutdown(wait=False, cancel_futures=True)
            raise
        pool.shutdown()
        return [self.results[i] for i in range(len(self.tasks))]

    def _ended(self, i: int, result: Result, tell: Callable[[Result], None]) -> None:
        self.results[i] = result
        self.store.add(result)
        tell(result)


def failings(plan: Plan, results: list[Result]) -> list[str]:
    """What a plan's results do not hold of what it states: rules for all that is ours, bounds for the plan as it
    stands. A baseline's rules are judged like any other's.
    """
    found = []
    bounds = plan.bounds
    for result in results:
        who = f"{result.variant}, seed {result.seed}"
        if result.fault:
            found.append(f"{who}: did not end: {result.fault.splitlines()[0]}")
            continue
        broken = sorted({finding["rule"] for finding in result.verdict["findings"]})
        if broken:
            found.append(f"{who}: rules broken: {', '.join(broken)}")
        if result.variant != BASE.name:
            continue
        whole = result.verdict["whole"]
        tries = max(1, result.verdict["tries"])
        if result.verdict["part"] < bounds.value:
            found.append(f"{who}: value {result.verdict['part']:.3f}, at least {bounds.value:g} is stated")
        if whole["settled"] < bounds.settled * whole["jobs"]:
            found.append(
                f"{who}: {whole['settled'] / max(1, whole['jobs']):.3f} of the jobs settled, at least "
                f"{bounds.settled:g} is stated"
            )
        if result.verdict["declines"] > bounds.declined * tries:
            found.append(
                f"{who}: {result.verdict['declines'] / tries:.3f} of the tries declined, at most "
                f"{bounds.declined:g} is stated"
            )
        if bounds.lines is not None and result.lines is not None and result.lines > bounds.lines:
            found.append(f"{who}: {result.lines} lines run, at most {bounds.lines} are stated")
        known = max(result.verdict.get("fleet", {}).get("known", ()), default=0.0)
        if bounds.known is not None and known > bounds.known / 10:
            found.append(
                f"{who}: a death known to all after {known:.0f} ms, at most {bounds.known / 10:.0f} is stated"
            )
        if bounds.p99 is not None and whole["p99"] > bounds.p99 / 10:
            found.append(f"{who}: p99 {whole['p99']:.0f} ms, at most {bounds.p99 / 10:.0f} is stated")
    return found


def whole_digest(results: list[Result]) -> str:
    """Of all runs together: the same for the same text, plan and seeds on the virtual ground."""
    return hashlib.blake2b("".join(result.events for result in results).encode(), digest_size=8).hexdigest()


if __name__ == "__main__":
    told = Task(**json.load(sys.stdin))
    sys.stdout.buffer.write(msgspec.json.encode(perform(told)))
