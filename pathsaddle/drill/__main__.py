"""python -m pathsaddle.drill: speak the bench's wire on standard input and output."""

import sys

from pathsaddle.drill.codec import MalformedLineError
from pathsaddle.drill.stand import BenchServer


def main() -> int:
    """Serve standard input until it ends; return the exit code."""
    try:
        BenchServer(sys.stdin, sys.stdout).run()
    except MalformedLineError as error:
        print(f"pathsaddle.drill: {error}", file=sys.stderr)
        return 1
    return 0


sys.exit(main())
