#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review, after the build of deploy/balancer.toml. They are
# Python, stand in these files alone, and need nothing beyond the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python - review/standins_{2,3}.py review/{6,7,8,9,10}/case.py <<'PY'
import pathlib
import sys

for path in map(pathlib.Path, sys.argv[1:]):
    compile(path.read_text(), str(path), "exec")
    print("built", path)
PY
