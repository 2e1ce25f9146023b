"""python -m pathsaddle.ownership found CHARTER: begins a voter's register, once in its life.
python -m pathsaddle.ownership serve CHARTER: votes and stands for the charter's keys, and nothing else,
until SIGTERM.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from random import SystemRandom

from pathsaddle.config.loader import read_configuration
from pathsaddle.config.schema import Configuration
from pathsaddle.consensus.acceptor_log import create_log
from pathsaddle.consensus.errors import MissingTableError
from pathsaddle.consensus.fleet_member import register_config
from pathsaddle.consensus.udp_driver import RegisterDriver
from pathsaddle.errors import Error
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Ground


async def serve(register: RegisterDriver) -> None:
    stop = asyncio.Event()
    events = asyncio.get_running_loop()
    events.add_signal_handler(signal.SIGTERM, stop.set)
    events.add_signal_handler(signal.SIGINT, stop.set)
    register.begin()
    logbook.serving()
    await stop.wait()
    register.stop()
    await asyncio.sleep(3 * register.owner.pace / 10_000)
    register.end()


def main(words: list[str]) -> int:
    if len(words) != 2 or words[0] not in ("found", "serve"):
        print(__doc__, file=sys.stderr)
        return 2
    try:
        charter: Configuration = read_configuration(Path(words[1]))
    except Error as fault:
        print(fault, file=sys.stderr)
        return fault.code
    if charter.fleet is None or charter.fleet.owners is None:
        print(missing := MissingTableError(charter=words[1]), file=sys.stderr)
        return missing.code
    logbook.open_log(charter.log.level, charter.log.form)
    try:
        if words[0] == "found":
            create_log(Path(charter.fleet.owners.folder), charter.name, charter.fleet.owners.voters)
        else:
            asyncio.run(
                serve(
                    RegisterDriver(register_config(charter, words[1]), Ground(), SystemRandom(), Counters())
                )
            )
    except Error as fault:
        print(fault, file=sys.stderr)
        return fault.code
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
