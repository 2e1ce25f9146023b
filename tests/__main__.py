"""All stories, some files at a time, each file in a process of its own: `python -m tests`. Exit code 1 where one fails.

One after the other they take seven minutes, most of it waiting for real processes. Weighed: unittest-parallel hands
cases between processes by pickling, which those with an event loop refuse.
"""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

HERE = Path(__file__).resolve().parent
AT_ONCE = max(1, min(4, (os.cpu_count() or 1) // 2))


def told(name: str) -> tuple[str, int, str]:
    done = subprocess.run([sys.executable, "-m", "unittest", "-v", f"tests.{name}"], cwd=HERE.parent, check=False,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, stdin=subprocess.DEVNULL)
    return name, done.returncode, done.stdout


def main() -> int:
    # Those that start many processes take longest, and begin first.
    names = sorted((path.stem for path in HERE.glob("test_*.py")), key=lambda name: ("processes" not in name, name))
    passed = failed = 0
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for name, code, said in pool.map(told, names):
            print(f"== {name}\n{said}", flush=True)
            ran = sum(map(int, re.findall(r"^Ran (\d+) tests? in", said, re.MULTILINE)))
            bad = sum(map(int, re.findall(r"(?:failures|errors|unexpected successes)=(\d+)", said))) or int(code != 0)
            passed, failed = passed + max(0, ran - bad), failed + bad
            if code:
                print(f"== {name} FAILED, end code {code}", flush=True)
    print(f"{passed} passed, {failed} failed")
    return int(failed > 0 or not passed)


if __name__ == "__main__":
    sys.exit(main())
