"""A planner's number from the fleet's voters: one owner at a time of the key `plan` (`pathsaddle.consensus`).

Bound: nothing is reserved after the lease on the key ended by this process's own clock, looked at just before each change. What
stops between that look and the change is met by the ledger alone, which refuses a number lower than one that it has seen.

The register has a thread of its own: planning takes a processor for seconds, and a lease must be renewed meanwhile.
"""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path
from random import SystemRandom

from pathsaddle.config.loader import read_configuration
from pathsaddle.consensus.fleet_member import register_config
from pathsaddle.consensus.udp_driver import RegisterDriver
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.ground import Ground
from pathsaddle.placement.errors import Unreadable
from pathsaddle.trade import SECOND

KEY = "plan"


class Owning:
    def __init__(self, charter: Path) -> None:
        """Raises Unreadable, and what the charter's check and ownership's Register do."""
        made = read_configuration(charter)
        if made.fleet is None or made.fleet.owners is None or KEY not in made.fleet.owners.keys:
            raise Unreadable(
                f"{charter}: fleet.owners.keys has no {KEY!r}",
                f'write keys = ["{KEY}"] into [fleet.owners] of {charter}, as docs/ownership.md shows',
            )
        self.register = RegisterDriver(
            register_config(made, str(charter)), Ground(), SystemRandom(), Counters()
        )
        self.events = asyncio.new_event_loop()
        self.events.call_soon(self.register.begin)
        self.thread = threading.Thread(target=self.events.run_forever, name="register", daemon=True)

    def begin(self) -> None:
        self.thread.start()

    def number(self) -> int:
        """To be put on a change that begins now; 0: none may. From any thread: a bid is never changed, only replaced."""
        return self.register.fencing_token(KEY)

    def owns(self, number: int) -> bool:
        return self.number() == number

    def end(self) -> None:
        """The key is given back, so that the next planner needn't wait for the lease's end."""
        self.events.call_soon_threadsafe(self.register.stop)
        asyncio.run_coroutine_threadsafe(
            asyncio.sleep(2 * self.register.owner.pace / SECOND), self.events
        ).result()
        self.events.call_soon_threadsafe(self.register.end)
        self.events.call_soon_threadsafe(self.events.stop)
        self.thread.join()
