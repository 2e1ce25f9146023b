"""The command `python -m pathsaddle.ownership`: the entry of `pathsaddle.consensus` under its former name."""

import sys

from pathsaddle.consensus.__main__ import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
