"""The command `python -m pathsaddle.ownership`, which founds a voter's register or runs a voter.

Called by an operator; `pathsaddle/ownership/` is the entry of that name. It owns the process from its
configuration file to SIGTERM and decides nothing.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from random import SystemRandom

from pathsaddle.config.loader import read_configuration
from pathsaddle.consensus.acceptor_log import create_log
from pathsaddle.consensus.errors import MissingTableError
from pathsaddle.consensus.fleet_member import register_config
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver
from pathsaddle.errors import Error
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Environment
from pathsaddle.scheduler_types import SECOND

USAGE = """python -m pathsaddle.ownership found CHARTER: begins a voter's register, once in its life.
python -m pathsaddle.ownership serve CHARTER: votes and stands for the charter's keys, and nothing else,
until SIGTERM."""
USAGE_CODE = 2
STOP_PACES = 3  # between stop and end: a release is sent so often that one datagram may be lost


async def serve(register: RegisterDriver) -> None:
    """Run a register until SIGTERM or SIGINT, then give its leases back."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    register.begin()
    logbook.serving()
    await stop.wait()
    register.stop()
    await asyncio.sleep(STOP_PACES * register.lease_manager.pace / SECOND)
    register.end()


def run(command: str, config: RegisterConfig) -> None:
    """Carry out a command. Raises Error."""
    if command == "found":
        create_log(config.directory, config.name, config.acceptors)
    else:
        asyncio.run(serve(RegisterDriver(config, Environment(), SystemRandom(), Counters())))


def main(arguments: list[str]) -> int:
    """Carry out the command and return the process's end code."""
    match arguments:
        case [("found" | "serve") as command, file]:
            pass
        case _:
            print(USAGE, file=sys.stderr)
            return USAGE_CODE
    try:
        configuration = read_configuration(Path(file))
        if configuration.fleet is None or configuration.fleet.owners is None:
            raise MissingTableError(charter=file)
        logbook.open_log(configuration.log.level, configuration.log.form)
        run(command, register_config(configuration, file))
    except Error as error:
        print(error, file=sys.stderr)
        return error.code
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
