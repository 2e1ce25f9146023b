#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python and need only what the deploy file's `build` has installed: here they are
# compiled once, without writing anything, so that a text that can't run fails here.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py */case.py; do
  ../.venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
