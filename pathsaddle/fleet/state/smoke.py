"""`python -m pathsaddle.fleet.state.smoke experiments/shared-smoke.toml`: the ground's plan under the name of what it proves."""

import sys

if __name__ == "__main__":
    from pathsaddle.emulator.state.smoke import main
    sys.exit(main())
