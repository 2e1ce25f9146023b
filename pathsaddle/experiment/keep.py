"""Results as lines of JSON, each with all that tells whether it may stand for a run: plan, variant, seed, ground,
commit, machine. A run that is there already is not run again.
"""

from __future__ import annotations

import hashlib
import os
import platform
import subprocess
from pathlib import Path
from typing import Any

import msgspec

from pathsaddle.emulator.plan import Plan, Variant, plain
from pathsaddle.errors import Error, access, why


class Unkept(Error):
    name = "experiment.unreadable"
    what = "{path}: results can't be read: {why}"


class NoResults(Error):
    name = "experiment.no-results"
    what = "{path}: no result of {variant} that came to its end is in it"
    do = "name a file and a variant with results, FILE:VARIANT (`pathsaddle experiment list`, `experiment run PLAN`)"


class NoSeeds(Error):
    name = "experiment.no-common-seed"
    what = "{a} and {b} have no seed in common, so nothing can be paired"
    do = "run both with the same seeds: `pathsaddle experiment run PLAN --seeds 1..20`"


class NoCommit(Error):
    name = "experiment.no-commit"
    what = "variants: no commit {commit!r} is in this clone"
    do = "`git fetch` it, or write a commit that `git log` shows at commit of that variant"


class NoProgram(Error):
    name = "experiment.no-program"
    what = "variants: commit {commit} has no pathsaddle/ in it"
    do = "write a later commit at commit of that variant"


class NoGround(Error):
    name = "experiment.no-ground"
    what = "variants: commit {commit} is from before the virtual ground"
    do = "run it with --ground sockets, or write a later commit at commit of that variant"


ROOT = Path(__file__).resolve().parent.parent.parent


class Result(msgspec.Struct, kw_only=True):
    """One run: what it was, and the judge's word."""

    plan: str
    digest: str  # of the plan as it ran, so that another text's results are not taken for it
    variant: str
    seed: int
    ground: str
    commit: str
    machine: str
    when: str
    took: float  # seconds of real time
    events: str  # the event log's digest
    verdict: dict[str, Any]
    fault: str = ""  # the run did not come to its end
    lines: int | None = None  # of Python that the run took, where they were counted

    @property
    def key(self) -> tuple[str, str, str, int, str, str]:
        return self.plan, self.digest, self.variant, self.seed, self.ground, self.commit

    @property
    def kept(self) -> bool:
        return not self.fault and not self.verdict.get("findings")


def machine() -> str:
    """Not by name: what it is like."""
    return f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"


def commit_of(root: Path = ROOT) -> str:
    """The checkout's commit, with + where files differ from it; empty outside a repository."""
    try:
        name = subprocess.run(
            ["git", "rev-parse", "--short=10", "HEAD"], cwd=root, capture_output=True, text=True, check=True
        ).stdout.strip()
        dirty = subprocess.run(
            ["git", "status", "--porcelain", "--", "pathsaddle"],
            cwd=root,
            text=True,
            capture_output=True,
            check=True,
        ).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return ""
    if not dirty:
        return name
    # Two dirty states differ: their text is part of the name.
    changed = subprocess.run(
        ["git", "diff", "HEAD", "--", "pathsaddle"], cwd=root, capture_output=True, check=False
    ).stdout
    return f"{name}+{hashlib.blake2b(changed, digest_size=4).hexdigest()}"


def digest_of(plan: Plan, variant: Variant) -> str:
    """Seeds and bounds don't change a run, nor do the other variants."""
    told = plain(plan)
    for key in ("seeds", "found", "bounds", "variants", "about", "ground"):
        told.pop(key, None)
    told["variant"] = msgspec.to_builtins(variant)
    return hashlib.blake2b(msgspec.json.encode(told, order="sorted"), digest_size=8).hexdigest()


class Store:
    """A file of results; each is there whole or not at all."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self, must: bool = False) -> list[Result]:
        """A last line that a break cut short is passed over. `must`: it has to be there. Raises Unkept."""
        if not must and not self.path.exists():
            return []
        found = []
        try:
            told = self.path.read_bytes()
        except OSError as fault:
            raise Unkept("", access(fault, self.path), path=self.path, why=why(fault)) from None
        for line in told.splitlines():
            try:
                found.append(msgspec.json.decode(line, type=Result))
            except msgspec.DecodeError:
                continue
        return found

    def add(self, result: Result) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        cut = self.path.exists() and self.path.read_bytes()[-1:] not in (b"", b"\n")
        with self.path.open("ab") as file:
            file.write((b"\n" if cut else b"") + msgspec.json.encode(result) + b"\n")
            file.flush()
            os.fsync(file.fileno())
