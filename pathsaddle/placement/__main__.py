"""`python -m pathsaddle.placement`: the program's entry. The commands are in `commands`."""

from __future__ import annotations

from pathsaddle.placement.commands import main

if __name__ == "__main__":
    main()
