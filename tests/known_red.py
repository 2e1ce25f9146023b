"""KNOWN-RED.txt: the tests that may fail until their known fault is mended.

An entry is a block of five lines, and a blank line follows each:

    test: tests.test_x.Class.test_y
    fails: always, or K of N runs
    command: how to run it, with its seed
    seen: what was seen
    issue: a number

The run of all tests passes over the failures of just these tests and prints the entries. It fails on an entry that is
malformed or names no test, on a test that is said to fail always and did not, and on one that did not run.
"""

import re
import subprocess
import sys
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

KNOWN_RED = "KNOWN-RED.txt"
MAX_ENTRIES = 3
FIELDS = ("test", "fails", "command", "seen", "issue")
TEST = re.compile(r"tests\.test_\w+\.\w+\.test_\w+")
FREQUENCY = re.compile(r"always|([1-9]\d*) of (\d+) runs")
ISSUE = re.compile(r"#?\d+")
# Run in a process of its own, since loading a test module runs it: which of these names are no single test.
FIND_MISSING = """
import sys, unittest
for name in sys.argv[1:]:
    loader = unittest.TestLoader()
    found = loader.loadTestsFromName(name)
    if loader.errors or [case.id() for case in found] != [name]:
        print(name)
"""


class Result(Enum):
    """What became of a listed test in a run."""

    FAILED = "failed"
    PASSED = "passed"
    NOT_RUN = "did not run"


@dataclass(frozen=True)
class Entry:
    """A known failure."""

    test: str
    fails: str
    command: str
    seen: str
    issue: str

    @property
    def fails_always(self) -> bool:
        return self.fails == "always"

    def accepts(self, result: Result) -> bool:
        """Whether the run of all tests may pass with this result of the test."""
        return result is Result.FAILED or (result is Result.PASSED and not self.fails_always)

    def __str__(self) -> str:
        return "; ".join(f"{field}: {getattr(self, field)}" for field in FIELDS)


def find_fault(entry: Entry) -> str | None:
    """Return what is wrong with an entry's values."""
    frequency = FREQUENCY.fullmatch(entry.fails)
    if not TEST.fullmatch(entry.test):
        return "`test` is no tests.test_x.Class.test_y"
    if frequency is None or (frequency[1] and int(frequency[1]) >= int(frequency[2])):
        return "`fails` is neither `always` nor `K of N runs` with K less than N"
    if not ISSUE.fullmatch(entry.issue):
        return "`issue` is no number"
    return None


def parse(text: str) -> tuple[list[Entry], list[str]]:
    """Return the entries, and what is wrong with the file."""
    entries: list[Entry] = []
    faults = []
    blocks = [block for block in re.split(r"\n\s*\n", text.strip()) if block]
    for block in blocks:
        pairs = [line.partition(":") for line in block.splitlines()]
        values = {name.strip(): value.strip() for name, _, value in pairs}
        if tuple(name.strip() for name, _, _ in pairs) != FIELDS or not all(values.values()):
            faults.append(f"is no block of {', '.join(FIELDS)}: {block.splitlines()[0]}")
            continue
        entry = Entry(**values)
        fault = find_fault(entry)
        if fault is not None:
            faults.append(f"{fault}: {entry}")
        elif entry.test in (other.test for other in entries):
            faults.append(f"stands there twice: {entry}")
        else:
            entries.append(entry)
    if len(blocks) > MAX_ENTRIES:
        faults.append(f"{len(blocks)} entries, {MAX_ENTRIES} at most")
    return entries, faults


def read(root: Path) -> tuple[list[Entry], list[str]]:
    """Return the entries of a tree, and what is wrong with them; none where the tree has no such file."""
    file = root / KNOWN_RED
    if not file.exists():
        return [], []
    entries, faults = parse(file.read_text(encoding="utf-8"))
    if entries:
        loaded = subprocess.run(
            [sys.executable, "-c", FIND_MISSING, *(entry.test for entry in entries)],
            cwd=root,
            check=False,
            stdout=subprocess.PIPE,
            text=True,
            stdin=subprocess.DEVNULL,
        )
        missing = loaded.stdout.split() if loaded.returncode == 0 else [entry.test for entry in entries]
        faults += [f"names no test: {entry}" for entry in entries if entry.test in missing]
    return entries, faults


def result_in(report: str, test: str) -> Result:
    """Return what a verbose report of unittest says of a test that is not among its failures."""
    name = test.rpartition(".")[2]
    begin = re.search(rf"^{name} \({re.escape(test)}\)", report, re.MULTILINE)
    if begin is None:
        return Result.NOT_RUN
    rest = report[begin.end() :]
    end = re.search(r"^(?:test_\w+ \(|={70}$|-{70}$)", rest, re.MULTILINE)
    own_part = rest[: end.start()] if end else rest
    is_skipped = re.search(r"\bskipped ['\"]", own_part) is not None
    return Result.NOT_RUN if is_skipped else Result.PASSED
