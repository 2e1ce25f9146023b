"""All tests, some files at a time, each file in a process of its own: `python -m tests`. Exit code 1 where one fails.

One after the other they take seven minutes, most of it waiting for real processes. Weighed: unittest-parallel hands
cases between processes by pickling, which those with an event loop refuse.

KNOWN-RED.txt at the root, where there is one, names the tests that may fail until they are mended (tests/known_red.py).
"""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests import known_red
from tests.known_red import KNOWN_RED, Result

ROOT = Path(__file__).resolve().parent.parent
AT_ONCE = max(1, min(4, (os.cpu_count() or 1) // 2))
# A failure's head in unittest's report: its rule tells it from what a test prints.
HEAD = re.compile(r"^={70}\n(?:FAIL|ERROR): [^\n]*?\(([\w.]+)\)", re.MULTILINE)


def failed_in(code: int, said: str) -> tuple[set[str], int, bool]:
    """Of one file's report: which tests failed, how many failures are counted, and whether there is nothing else that
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


def main(root: Path = ROOT) -> int:
    entries, faults = known_red.read(root)
    for fault in faults:
        print(f"{KNOWN_RED}: {fault}")
    if faults:
        return 1
    # Those that start many processes take longest, and begin first.
    names = sorted(
        (path.stem for path in (root / "tests").glob("test_*.py")),
        key=lambda name: ("processes" not in name, name),
    )
    passed = failed = 0
    results = dict.fromkeys((entry.test for entry in entries), Result.NOT_RUN)
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for name, code, said in pool.map(lambda name: run(root, name), names):
            print(f"== {name}\n{said}", flush=True)
            ran = sum(map(int, re.findall(r"^Ran (\d+) tests? in", said, re.MULTILINE)))
            tests, bad, whole = failed_in(code, said)
            passed += max(0, ran - bad)
            for test in results:
                if test.startswith(f"tests.{name}."):
                    results[test] = Result.FAILED if test in tests else known_red.result_in(said, test)
            if whole and tests <= results.keys():
                print(f"== {name}: nothing but known red failed", flush=True)
            elif code or bad:
                failed += bad
                print(f"== {name} FAILED, end code {code}", flush=True)
    for entry in entries:
        result = results[entry.test]
        verdict = "passed over" if entry.accepts(result) else "take it out, or have it run"
        print(f"known red, {result.value} in this run, {verdict}: {entry}")
        failed += not entry.accepts(result)
    print(f"{passed} passed, {failed} failed")
    return int(failed > 0 or not passed)


if __name__ == "__main__":
    sys.exit(main())
