"""Planner leadership: a planner's number from the fleet's acceptors.

One lease holder at a time has the key `plan` (`pathsaddle.consensus`).

The `walk` command uses it when it is given the operator's configuration. Invariant: nothing is reserved
after the lease on the key ended by this process's own clock, looked at just before each change. What stops
between that look and the change is met by the ledger alone, which rejects a number lower than one that it
has seen. Test: `test_a_planner_that_stood_still_is_followed_and_reserves_nothing_when_it_wakes` in
tests/test_joined.py.

The register runs on a thread of its own: planning takes a processor for seconds, and a lease must be
renewed meanwhile.
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
from pathsaddle.net.service.ground import Environment
from pathsaddle.placement.errors import InventoryUnreadableError
from pathsaddle.scheduler_types import SECOND

PLANNER_KEY = "plan"


class PlannerLeadership:
    """The lease on the planner's key, held or campaigned for.

    Args:
        config_path: the operator's configuration file.

    Raises:
        InventoryUnreadableError: the configuration does not name the key. Errors of the configuration and
            of the
            register are raised as they are.
    """

    def __init__(self, config_path: Path) -> None:
        config = read_configuration(config_path)
        if config.fleet is None or config.fleet.owners is None or PLANNER_KEY not in config.fleet.owners.keys:
            raise InventoryUnreadableError(
                f"{config_path}: fleet.owners.keys has no {PLANNER_KEY!r}",
                f'write keys = ["{PLANNER_KEY}"] into [fleet.owners] of {config_path}, '
                "as docs/ownership.md shows",
            )
        self._register = RegisterDriver(
            register_config(config, str(config_path)), Environment(), SystemRandom(), Counters()
        )
        self._loop = asyncio.new_event_loop()
        self._loop.call_soon(self._register.begin)
        self._thread = threading.Thread(target=self._loop.run_forever, name="register", daemon=True)

    def start(self) -> None:
        """Start to campaign for the key."""
        self._thread.start()

    def fencing_token(self) -> int:
        """Return the number for a change that begins now; 0: this process may not act.

        It may be called from any thread: the register never changes a proposal, it only replaces it.
        """
        return self._register.fencing_token(PLANNER_KEY)

    def is_leading(self, number: int) -> bool:
        """Return whether a change under this number may begin now."""
        return self.fencing_token() == number

    def stop(self) -> None:
        """Give the key back, so that the next planner need not wait for the lease to end; end the thread."""
        self._loop.call_soon_threadsafe(self._register.stop)
        asyncio.run_coroutine_threadsafe(
            asyncio.sleep(2 * self._register.owner.pace / SECOND), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._register.end)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
