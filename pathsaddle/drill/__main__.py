"""python -m pathsaddle.drill: speak the bench's wire on standard input and output."""

import sys

from pathsaddle.drill.codec import Malformed
from pathsaddle.drill.stand import Stand


def main() -> int:
    try:
        Stand(sys.stdin, sys.stdout).run()
    except Malformed as fault:
        print(f"pathsaddle.drill: {fault}", file=sys.stderr)
        return 1
    return 0


sys.exit(main())
