"""The scale rig: plays a measure at growing sizes, each play in a process of its own, and fits laws to its
figures.

A plan (`ground = "scale"`) names a measure, a module of emulator/hollow/ with Setting, FIGURES, COUNTED,
needs() and measure(). A play gets a session of its own; whatever is left of it when it ends, faults, takes
too long or too much, or when the rig is interrupted, is ended. What is kept with the same digest is not
played again.
"""

from __future__ import annotations

import hashlib
import importlib
import importlib.util
import json
import math
import os
import secrets
import selectors
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from types import FrameType, ModuleType
from typing import IO, Annotated, Any, Literal

import msgspec
from msgspec import Meta

from pathsaddle.config.schema import ConfigTable, Count
from pathsaddle.config.validation import (
    ConfigKeyError,
    InvalidConfigError,
    NotAllowedValueError,
    display_value,
    load_toml,
    validate,
)
from pathsaddle.errors import Error, access, why
from pathsaddle.experiment.keep import ROOT, Unkept, commit_of, machine
from pathsaddle.experiment.slope import Slope, fit, judged, number, told

PACKAGE = "pathsaddle.emulator.hollow"
PROCESSES, MEMORY_MIB = (
    300,
    12 * 1024,
)  # the rig's own limits: half of a machine's memory, a few hundred processes
PATIENCE = 75.0  # seconds for one play: sixty by the rig's interface, and its start
GRACE = 1.0  # seconds that what a play started has to end behind it
LOOKS = 1.0  # seconds between two looks at what a play takes
MARK = "PATHSADDLE_PLAY"  # in the environment of all that a play starts, also in sessions of their own
KEPT = "experiments/scale/kept"


class NeedsMore(ConfigKeyError):
    name = "experiment.needs-more"
    what = "{point} needs {amount:g} {unit} by measure {measure}, and {allowed:g} are allowed by {by}"
    do = "take {point} out at {path}, or {raised}"


class NoMeasure(ConfigKeyError):
    name = "experiment.no-measure"
    what = "{shown} stands there, and {why}"
    do = "write at {path} the name of a module of {package} that has {parts}"


class NotCounted(ConfigKeyError):
    name = "experiment.not-counted"
    what = "a bound stands there, and {figure} depends on the machine's speed"
    do = "take {path} out, or bound one of {counted}"


class NoShort(Error):
    name = "experiment.no-short"
    what = "{file}: short: none stands there, so the plan has no short form"
    do = "write some of its points at short in {file}, or run it without --short"


Law = Literal["constant", "n", "nlogn", "n2"]  # LAWS of slope.py


class Bound(ConfigTable):
    """What a figure must show at one point, in every play.

    point: one of the plan's points.
    most: the largest that the figure may be there.
    least: the smallest.
    """

    point: Count
    most: float | None = None
    least: float | None = None


class Grows(ConfigTable):
    """A figure that gets a law.

    figure: one of the measure's.
    law: the candidates.
    bound: what it must show; of figures that do not depend on the machine's speed alone.
    """

    figure: str
    law: list[Law] = msgspec.field(default_factory=lambda: ["constant", "n", "nlogn", "n2"])
    bound: Bound | None = None


class Plan(ConfigTable):
    """A plan of the scale rig.

    ground: scale.
    name: how it is called, as its file.
    about: what it is to show.
    measure: the module of emulator/hollow/ that plays it.
    against: what the points count.
    points: the sizes; a law takes 4 at least, the last 8 times the first.
    plays: of each point, with the seeds 1, 2 ...
    processes: the most at once.
    memory_mib: the most at once.
    short: points of the short form, played once each, by which CI holds the bounds.
    setting: what the measure is told.
    slopes: which figures get a law.
    """

    ground: Literal["scale"]
    name: str
    measure: str
    against: str
    points: Annotated[list[Count], Meta(min_length=1)]
    processes: Annotated[int, Meta(ge=1, le=PROCESSES)]
    memory_mib: Annotated[float, Meta(gt=0, le=MEMORY_MIB)]
    about: str = ""
    plays: Count = 3
    short: list[Count] = msgspec.field(default_factory=list)
    setting: dict[str, Any] = msgspec.field(default_factory=dict)
    slopes: list[Grows] = msgspec.field(default_factory=list)


PARTS = ("Setting", "FIGURES", "COUNTED", "needs", "measure")


class Kept(msgspec.Struct):
    """One play as it is kept."""

    plan: str
    digest: str
    point: int
    seed: int
    figures: dict[str, float]
    took: float  # seconds of real time
    commit: str
    machine: str
    when: str
    fault: str = ""


@dataclass
class Scale:
    """A plan that was read, with its measure and its measure's setting."""

    plan: Plan
    module: Any  # a module with PARTS
    setting: Any
    source: str  # the digest of the module's source
    package: str = PACKAGE

    def digest(self, point: int) -> str:
        """Of all that a play's figures hang on beside its seed, as far as the plan and its measure tell
        it.
        """
        text = [self.plan.measure, point, msgspec.to_builtins(self.setting), self.source]
        return hashlib.blake2b(msgspec.json.encode(text, order="sorted"), digest_size=8).hexdigest()


def read(path: str | Path, package: str = PACKAGE) -> Scale:
    """The plan in a file and its measure; raises Faulty with all that is wrong, also with what its plays
    need.
    """
    return of(load_toml(path), str(path), package)


def of(table: dict[str, Any], file: str, package: str = PACKAGE) -> Scale:
    plan = validate(Plan, table, file)
    faults: list[ConfigKeyError] = []
    if plan.name != Path(file).stem:
        faults.append(
            ConfigKeyError(
                file,
                "name",
                f"{display_value(plan.name)} stands there, and the file is called {Path(file).name}",
                f'write name = "{Path(file).stem}", or rename the file',
            )
        )
    for i, point in enumerate(plan.short):
        if point not in plan.points:
            faults.append(
                NotAllowedValueError(
                    file, f"short[{i}]", shown=str(point), may=f"some of {listed(plan.points)}"
                )
            )
    try:
        module = measure_of(plan.measure, file, package)
    except InvalidConfigError as fault:
        raise InvalidConfigError([*faults, *fault.faults]) from None
    setting: Any = None
    try:
        setting = validate(module.Setting, plan.setting, file)
    except InvalidConfigError as fault:
        faults += [
            type(one)(file, f"setting.{one.path}" if one.path != "-" else "setting", one.what, one.do)
            for one in fault.faults
        ]
    faults += [
        fault
        for i, grows in enumerate(plan.slopes)
        for fault in unfit(plan, grows, f"slopes[{i}]", module, file)
    ]
    if setting is not None:
        faults += [
            fault
            for i, point in enumerate(plan.points)
            for fault in too_much(plan, point, i, module, setting, file)
        ]
    if faults:
        raise InvalidConfigError(faults)
    spec = importlib.util.find_spec(module.__name__)
    source = Path(spec.origin).read_bytes() if spec is not None and spec.origin else b""
    return Scale(plan, module, setting, hashlib.blake2b(source, digest_size=8).hexdigest(), package)


def measure_of(name: str, file: str, package: str) -> ModuleType:
    """The module that a measure's name stands for; raises Faulty."""
    told = {
        "shown": display_value(name),
        "package": package.replace(".", "/") + "/",
        "parts": ", ".join(PARTS),
    }
    if not name.isidentifier() or importlib.util.find_spec(f"{package}.{name}") is None:
        raise InvalidConfigError([NoMeasure(file, "measure", why="no such module is there", **told)])
    try:
        module = importlib.import_module(f"{package}.{name}")
    except Exception as fault:  # whatever it is: the plan can't be played
        raise InvalidConfigError(
            [NoMeasure(file, "measure", why=f"it can't be loaded: {why(fault)}", **told)]
        ) from fault
    if missing := [part for part in PARTS if not hasattr(module, part)]:
        raise InvalidConfigError(
            [NoMeasure(file, "measure", why=f"the module has no {', '.join(missing)}", **told)]
        )
    return module


def unfit(plan: Plan, grows: Grows, path: str, module: Any, file: str) -> list[ConfigKeyError]:
    """What is wrong with a slope of the plan."""
    faults: list[ConfigKeyError] = []
    if grows.figure not in module.FIGURES:
        faults.append(
            NotAllowedValueError(
                file,
                f"{path}.figure",
                shown=display_value(grows.figure),
                may=f"one of {listed(module.FIGURES)}",
            )
        )
    if grows.bound is not None:
        if grows.bound.point not in plan.points:
            faults.append(
                NotAllowedValueError(
                    file,
                    f"{path}.bound.point",
                    shown=str(grows.bound.point),
                    may=f"one of {listed(plan.points)}",
                )
            )
        if grows.bound.most is None and grows.bound.least is None:
            faults.append(
                ConfigKeyError(
                    file,
                    f"{path}.bound",
                    "neither most nor least stands there",
                    f"write one of them at {path}.bound",
                )
            )
        if grows.figure in module.FIGURES and grows.figure not in module.COUNTED:
            faults.append(
                NotCounted(file, f"{path}.bound", figure=grows.figure, counted=listed(sorted(module.COUNTED)))
            )
    return faults


def too_much(plan: Plan, point: int, i: int, module: Any, setting: Any, file: str) -> list[ConfigKeyError]:
    """What a play needs beyond what the plan, or the rig, allows."""
    faults: list[ConfigKeyError] = []
    for amount, unit, key, allowed, most in zip(
        module.needs(point, setting),
        ("processes", "MiB"),
        ("processes", "memory_mib"),
        (plan.processes, plan.memory_mib),
        (PROCESSES, MEMORY_MIB),
        strict=True,
    ):
        if amount > allowed:
            by, raised = (
                (f"{key} of the plan", f"write {math.ceil(amount)} at {key}")
                if amount <= most
                else ("the rig on any machine", "have its measure need less a point")
            )
            faults.append(
                NeedsMore(
                    file,
                    f"points[{i}]",
                    point=f"{point} {plan.against}",
                    amount=amount,
                    unit=unit,
                    measure=plan.measure,
                    allowed=allowed if amount <= most else most,
                    by=by,
                    raised=raised,
                )
            )
    return faults


def listed(names: Any) -> str:
    return ", ".join(map(str, names)) or "none"


class Store:
    """A file of plays, one a line."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> list[Kept]:
        """A line that a break cut short is passed over. Raises Unkept."""
        if not self.path.exists():
            return []
        try:
            lines = self.path.read_bytes().splitlines()
        except OSError as fault:
            raise Unkept("", access(fault, self.path), path=self.path, why=why(fault)) from None
        found = []
        for line in lines:
            with suppress(msgspec.DecodeError):
                found.append(msgspec.json.decode(line, type=Kept))
        return found

    def add(self, kept: Kept) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        cut = self.path.exists() and self.path.read_bytes()[-1:] not in (b"", b"\n")
        with self.path.open("ab") as file:
            file.write((b"\n" if cut else b"") + msgspec.json.encode(kept) + b"\n")
            file.flush()
            os.fsync(file.fileno())


def processes(session: int, mark: str) -> list[tuple[int, float]]:
    """(id, MiB of its own) of each process in a session or with a mark in its environment; nothing without
    /proc.
    """
    found: list[tuple[int, float]] = []
    page = os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    for name in os.listdir("/proc") if os.path.isdir("/proc") else ():
        if not name.isdigit() or int(name) == os.getpid():
            continue
        with suppress(OSError, ValueError, IndexError):
            rest = Path(f"/proc/{name}/stat").read_bytes().rpartition(b")")[2].split()
            if rest[0] in (b"Z", b"X"):
                continue
            if int(rest[3]) == session or mark.encode() in Path(f"/proc/{name}/environ").read_bytes():
                resident, shared = map(int, Path(f"/proc/{name}/statm").read_bytes().split()[1:3])
                found.append((int(name), (resident - shared) * page))
    return found


@dataclass
class Play:
    """One play under way."""

    point: int
    seed: int
    process: subprocess.Popen[bytes]
    mark: str
    out: IO[bytes]
    said: IO[bytes]  # its standard error
    begun: float
    fd: int  # of its process
    looked: float = 0.0
    fault: str = ""

    @classmethod
    def start(cls, scale: Scale, point: int, seed: int) -> Play:
        mark = secrets.token_hex(8)
        # No pipes: they would stay open in what is left behind. Closed by `close`.
        out, said = tempfile.TemporaryFile(), tempfile.TemporaryFile()  # noqa: SIM115
        task = {
            "package": scale.package,
            "measure": scale.plan.measure,
            "point": point,
            "seed": seed,
            "setting": msgspec.to_builtins(scale.setting),
        }
        path = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH", ""))))
        process = subprocess.Popen(
            [sys.executable, "-m", "pathsaddle.experiment.scale"],
            stdin=subprocess.PIPE,
            stdout=out,
            stderr=said,
            start_new_session=True,
            env={**os.environ, "PYTHONPATH": path, MARK: mark},
        )
        play = cls(point, seed, process, mark, out, said, time.monotonic(), os.pidfd_open(process.pid))
        assert process.stdin is not None
        with suppress(BrokenPipeError):  # it ended at once: its standard error says why
            process.stdin.write(json.dumps(task).encode() + b"\n")
            process.stdin.flush()  # and stays open: its end tells the play that the rig is gone
        return play

    def end(self) -> int:
        """Ends the play and all that is left of it; how many others were."""
        mark = f"{MARK}={self.mark}"
        # What ends by itself right behind its play, as multiprocessing's tracker does, was not left behind.
        grace = time.monotonic() + (GRACE if self.process.poll() is not None and not self.fault else 0.0)
        self.process.kill()
        self.process.wait()
        while time.monotonic() < grace and processes(self.process.pid, mark):
            time.sleep(0.02)
        count, tries = 0, 0
        while (left := processes(self.process.pid, mark)) and tries < 50:
            count, tries = max(count, len(left)), tries + 1
            for pid, _ in left:
                with suppress(ProcessLookupError, PermissionError):
                    os.kill(pid, signal.SIGKILL)
            time.sleep(0.02)  # until the kernel has them ended
        return count

    def close(self) -> None:
        os.close(self.fd)
        self.out.close()
        self.said.close()
        if self.process.stdin is not None:
            with suppress(BrokenPipeError):
                self.process.stdin.close()

    def looks(self, plan: Plan, patience: float) -> None:
        """Finds a fault where it takes more time, processes or memory than it may."""
        if time.monotonic() - self.begun > patience:
            self.fault = f"took more than {patience:g} s"
            return
        there = processes(self.process.pid, f"{MARK}={self.mark}")
        memory = sum(mib for _, mib in there)
        if len(there) > plan.processes:
            self.fault = f"{len(there)} processes at once, and processes = {plan.processes} in the plan"
        elif memory > plan.memory_mib:
            self.fault = f"{memory:.0f} MiB at once, and memory_mib = {plan.memory_mib:g} in the plan"

    def result(self, scale: Scale, left: int, commit: str) -> Kept:
        took = time.monotonic() - self.begun
        self.out.seek(0)
        self.said.seek(0)
        figures: dict[str, float] = {}
        fault, told = self.fault, self.out.read()
        try:
            answer = json.loads(told)
            figures, fault = answer["figures"], fault or answer["fault"]
        except ValueError:
            fault = fault or f"ended with code {self.process.returncode} and no figures"
        if not fault and left:
            fault = f"left {left} processes behind, which the rig ended"
        if fault:
            figures, fault = (
                {},
                "\n".join(filter(None, (fault, self.said.read().decode(errors="replace")[-1500:]))),
            )
        return Kept(
            plan=scale.plan.name,
            digest=scale.digest(self.point),
            point=self.point,
            seed=self.seed,
            figures=figures,
            took=round(took, 3),
            commit=commit,
            machine=machine(),
            when=datetime.now(UTC).isoformat(timespec="seconds"),
            fault=fault,
        )


class Stopped(KeyboardInterrupt):
    """SIGTERM: the plays under way are ended as by Ctrl-C."""


@dataclass
class Rig:
    """All plays of a plan. store: none of the short form's are kept."""

    scale: Scale
    store: Store | None
    short: bool = False
    fresh: bool = False
    jobs: int = 1
    patience: float = PATIENCE
    results: dict[tuple[int, int], Kept] = field(default_factory=dict)

    def __post_init__(self) -> None:
        plan = self.scale.plan
        points, seeds = (plan.short, 1) if self.short else (plan.points, plan.plays)
        self.tasks = [(point, seed) for point in points for seed in range(1, seeds + 1)]
        if self.store is not None and not self.fresh:
            for kept in self.store.read():
                if (
                    (kept.point, kept.seed) in self.tasks
                    and not kept.fault
                    and kept.digest == self.scale.digest(kept.point)
                ):
                    self.results[kept.point, kept.seed] = kept
        # As many at once as the plan allows together: its limits are the machine's, not one play's.
        need = [self.scale.module.needs(point, self.scale.setting) for point in points]
        most = min(
            (
                int(min(plan.processes / max(1, count), plan.memory_mib / max(1e-9, mib)))
                for count, mib in need
            ),
            default=1,
        )
        self.jobs = max(1, min(self.jobs, most))

    @property
    def left(self) -> list[tuple[int, int]]:
        return [task for task in self.tasks if task not in self.results]

    def go(self, tell: Callable[[Kept], None] = lambda kept: None) -> list[Kept]:
        """All results, in the plan's order. Interrupted or faulted, nothing of a play goes on, and what ended
        is kept.
        """
        waiting, commit = self.left, commit_of()
        running: dict[int, Play] = {}

        def stopped(number: int, frame: FrameType | None) -> None:
            raise Stopped

        before = (
            signal.signal(signal.SIGTERM, stopped)
            if threading.current_thread() is threading.main_thread()
            else None
        )
        selector = selectors.DefaultSelector()
        try:
            while waiting or running:
                while waiting and len(running) < self.jobs:
                    play = Play.start(self.scale, *waiting.pop(0))
                    running[play.fd] = play
                    selector.register(play.fd, selectors.EVENT_READ)
                ended = [running[key.fd] for key, _ in selector.select(min(LOOKS, self.patience))]
                for play in running.values():
                    if play not in ended and time.monotonic() - play.looked >= LOOKS / 2:
                        play.looked = time.monotonic()
                        play.looks(self.scale.plan, self.patience)
                        if play.fault:
                            ended.append(play)
                for play in ended:
                    left = play.end()
                    selector.unregister(play.fd)
                    kept = play.result(self.scale, left, commit)
                    del running[play.fd]
                    play.close()
                    self.results[kept.point, kept.seed] = kept
                    if self.store is not None:
                        self.store.add(kept)
                    tell(kept)
        finally:
            for play in running.values():
                play.end()
                play.close()
            selector.close()
            if before is not None:
                signal.signal(signal.SIGTERM, before)
        return [self.results[task] for task in self.tasks]


def by_point(results: list[Kept], figure: str) -> dict[float, list[float]]:
    """A figure's plays, by their point; faulted ones left out."""
    plays: dict[float, list[float]] = {}
    for kept in results:
        if not kept.fault and figure in kept.figures:
            plays.setdefault(float(kept.point), []).append(kept.figures[figure])
    return plays


def failings(scale: Scale, results: list[Kept]) -> list[str]:
    """Plays that faulted, and bounds that do not hold."""
    found = [
        f"{kept.point} {scale.plan.against}, seed {kept.seed}: {kept.fault.splitlines()[0]}"
        for kept in results
        if kept.fault
    ]
    for grows in scale.plan.slopes:
        bound = grows.bound
        for kept in results if bound is not None else ():
            if bound is None or kept.point != bound.point or kept.fault:
                continue
            value = kept.figures.get(grows.figure)
            who = f"{kept.point} {scale.plan.against}, seed {kept.seed}: {grows.figure}"
            if value is None:
                found.append(f"{who} was not told")
            elif bound.most is not None and value > bound.most:
                found.append(f"{who} {number(value)}, at most {number(bound.most)} is stated")
            elif bound.least is not None and value < bound.least:
                found.append(f"{who} {number(value)}, at least {number(bound.least)} is stated")
    return found


def slope_lines(scale: Scale, results: list[Kept]) -> list[str]:
    """What each slope is, in words; and where there are too few points for one."""
    lines = []
    for grows in scale.plan.slopes:
        unit = scale.module.FIGURES[grows.figure][0]
        plays = by_point(results, grows.figure)
        means = ", ".join(
            f"{point:g}: {number(sum(values) / len(values))}" for point, values in plays.items()
        )
        try:
            slope: Slope = fit(f"{scale.plan.name}.{grows.figure}", plays, grows.law)
        except Error as fault:
            lines += [f"{grows.figure} ({unit}): {means}", f"    no law: {fault.what}"]
            continue
        rest = "; ".join(filter(None, (judged(slope), f"unexplained {slope.unexplained:.2%}")))
        lines.append(f"{grows.figure} ({unit}): {told(slope)}; {means}")
        lines.append(
            f"    {rest}, worst {slope.worst:.1%} at {slope.worst_at:g}; plays differ by {slope.spread:.1%} "
            "at most"
        )
    return lines


def perform(task: dict[str, Any]) -> dict[str, Any]:
    """One play, in this process."""
    try:
        module = importlib.import_module(f"{task['package']}.{task['measure']}")
        setting = msgspec.convert(task["setting"], module.Setting)
        figures = {
            name: float(value) for name, value in module.measure(task["point"], task["seed"], setting).items()
        }
    except BaseException as fault:  # noqa: BLE001  # told in the result, whatever it is
        return {"figures": {}, "fault": f"{fault!r}\n{traceback.format_exc()[-2000:]}"}
    wrong = [name for name in figures if name not in module.FIGURES]
    wrong += [f"{name} = {value}" for name, value in figures.items() if not math.isfinite(value)]
    return {
        "figures": figures,
        "fault": f"figures that FIGURES does not name, or no numbers: {', '.join(wrong)}" if wrong else "",
    }


def main() -> None:
    """A play: its task is a line on standard input, whose end means that the rig is gone."""
    answer = os.dup(1)
    os.dup2(2, 1)  # what a measure prints is no figure
    line = sys.stdin.buffer.readline()

    def gone() -> None:
        while os.read(0, 4096):
            pass
        os.killpg(0, signal.SIGKILL)

    threading.Thread(target=gone, daemon=True).start()
    told = json.dumps(perform(json.loads(line))).encode()
    while told:
        told = told[os.write(answer, told) :]
    os._exit(0)  # no thread of a measure's keeps it


if __name__ == "__main__":
    main()
