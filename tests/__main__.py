"""All stories, some files at a time, each file in a process of its own: `python -m tests`. Exit code 1 where one fails.

One after the other they take seven minutes, most of it waiting for real processes. Weighed: unittest-parallel hands
cases between processes by pickling, which those with an event loop refuse.

KNOWN-RED.txt at the root, where there is one, names the stories that may fail until they are mended: a line each,
`tests.test_x.Class.test_y, cause, issue`. Just these are passed over, and printed with their lines. Three lines at most;
a fourth, one that is no such line, or one that names no story, fails at once. So does, at the end, a line whose story
did not fail: it has gone green, or was skipped, and the line hides the next fault there.
"""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
AT_ONCE = max(1, min(4, (os.cpu_count() or 1) // 2))
KNOWN_RED, MOST_RED = "KNOWN-RED.txt", 3
# A failure's head in unittest's report: its rule tells it from what a story prints.
HEAD = re.compile(r"^={70}\n(?:FAIL|ERROR): [^\n]*?\(([\w.]+)\)", re.MULTILINE)
# In a process of the tree's own, since loading one runs it: which of these names are no single story.
LOADS = """
import sys, unittest
for name in sys.argv[1:]:
    loader = unittest.TestLoader()
    found = loader.loadTestsFromName(name)
    if loader.errors or [case.id() for case in found] != [name]:
        print(name)
"""


@dataclass(frozen=True)
class Red:
    """A line of KNOWN-RED.txt."""

    test: str
    cause: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}, {self.cause}, {self.issue}"


def listed(text: str) -> tuple[list[Red], list[str]]:
    """The lines, and what is wrong with them."""
    reds, wrong = [], []
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    for line in lines:
        match = re.fullmatch(r"(tests\.test_\w+\.\w+\.test_\w+)\s*,\s*(\S.*?)\s*,\s*(#?\d+)", line)
        if match is None:
            wrong.append(f"is no `tests.test_x.Class.test_y, cause, issue`: {line}")
        elif match[1] in (red.test for red in reds):
            wrong.append(f"stands there twice: {line}")
        else:
            reds.append(Red(*match.groups()))
    if len(lines) > MOST_RED:
        wrong.append(f"{len(lines)} lines, {MOST_RED} at most")
    return reds, wrong


def failed_in(code: int, said: str) -> tuple[set[str], int, bool]:
    """Of one file's report: which stories failed, how many failures are counted, and whether there is nothing else that
    its end code can come from than these.
    """
    heads = HEAD.findall(said)
    last = said.rpartition("\nRan ")[2]
    counted = sum(map(int, re.findall(r"(?:failures|errors)=(\d+)", last)))
    count = sum(map(int, re.findall(r"(?:failures|errors|unexpected successes)=(\d+)", last)))
    whole = code == 1 and 0 < counted == count == len(heads) and re.match(r"\d+ tests? in", last) is not None
    return set(heads), count or int(code != 0), whole


def run(root: Path, name: str) -> tuple[str, int, str]:
    done = subprocess.run(
        [sys.executable, "-m", "unittest", "-v", f"tests.{name}"],
        cwd=root,
        check=False,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        stdin=subprocess.DEVNULL,
    )
    return name, done.returncode, done.stdout


def known_red(root: Path) -> tuple[list[Red], list[str]]:
    file = root / KNOWN_RED
    if not file.exists():
        return [], []
    reds, wrong = listed(file.read_text(encoding="utf-8"))
    if reds:
        loaded = subprocess.run(
            [sys.executable, "-c", LOADS, *(red.test for red in reds)],
            cwd=root,
            check=False,
            stdout=subprocess.PIPE,
            text=True,
            stdin=subprocess.DEVNULL,
        )
        missing = loaded.stdout.split() if loaded.returncode == 0 else [red.test for red in reds]
        wrong += [f"names no story: {red}" for red in reds if red.test in missing]
    return reds, wrong


def main(root: Path = ROOT) -> int:
    reds, wrong = known_red(root)
    for fault in wrong:
        print(f"{KNOWN_RED}: {fault}")
    if wrong:
        return 1
    # Those that start many processes take longest, and begin first.
    names = sorted(
        (path.stem for path in (root / "tests").glob("test_*.py")),
        key=lambda name: ("processes" not in name, name),
    )
    passed = failed = 0
    met: set[str] = set()
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for name, code, said in pool.map(lambda name: run(root, name), names):
            print(f"== {name}\n{said}", flush=True)
            ran = sum(map(int, re.findall(r"^Ran (\d+) tests? in", said, re.MULTILINE)))
            tests, bad, whole = failed_in(code, said)
            passed += max(0, ran - bad)
            met |= tests
            if whole and tests <= {red.test for red in reds}:
                print(f"== {name}: nothing but known red failed", flush=True)
            elif code or bad:
                failed += bad
                print(f"== {name} FAILED, end code {code}", flush=True)
    for red in reds:
        print(
            f"known red, {'passed over' if red.test in met else 'but it did not fail: take the line out'}: {red}"
        )
        failed += red.test not in met
    print(f"{passed} passed, {failed} failed")
    return int(failed > 0 or not passed)


if __name__ == "__main__":
    sys.exit(main())
