"""A dispatcher's part in shared settings, in the process that serves.

A revision is in service before the member says Have: where it can't come into service the fault is logged, the member ends
and falls silent, and keepers name this dispatcher as the one that they wait for. It serves on by what it had.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.errors import Error
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import Fellows
from pathsaddle.settings.cluster_file import ClusterFile, entry_named, load_cluster_file
from pathsaddle.settings.driver import ActiveSettings, ConfigSubscriberDriver, DriverConfig
from pathsaddle.settings.sync import nearest_servers


def driver_config(ground: ClusterFile, file: str, name: str) -> DriverConfig:
    """A member as the file of keepers has it, keepers of its region first. Raises BadFile."""
    row = entry_named(file, "members", ground.members, name)
    near = nearest_servers({one: keeper.region for one, keeper in ground.keepers.items()}, name, row.region)
    return DriverConfig(
        name,
        row.region,
        ground.key.encode(),
        row.listen,
        {one: ground.keepers[one].address for one in near},
        Path(row.disk),
        f"members.{name} in {file}",
        int(ground.lease),
        row.control,
    )


def log_error(fault: Error) -> None:
    """A line each, where it holds several."""
    for one in fault.faults if isinstance(fault, InvalidConfigError) else [fault]:
        logbook.refused(name=one.name, what=one.what, do=one.do)


class DispatcherSubscription:
    """What the dispatcher begins and ends; its fleet, where it has one, goes with it. `applies` takes a revision into
    service, whole or not at all, and raises an Error where it can't.
    """

    def __init__(self, file: str, name: str, applies: Callable[[ActiveSettings], None]) -> None:
        """Raises Faulty, BadFile, NoDisk, and what net/service/place.py says of an address."""
        self.applies = applies
        self.fellows: Fellows | None = None
        self.refused = False  # a revision: its fault was logged, and is none of ours
        self.member = ConfigSubscriberDriver(
            driver_config(load_cluster_file(file), file, name), SystemRandom(), self._tell
        )
        self.member.hear.append(self._hears)
        self._beginning: asyncio.Task[None] | None = None
        self._ending: asyncio.Task[None] | None = None

    def _tell(self, what: str, **more: Any) -> None:
        if what != "driver.fault":
            logbook.note(text=f"settings {what} " + " ".join(f"{key}={value}" for key, value in more.items()))
        elif not self.refused:
            logbook.refused(name="settings.defect", what=more["why"], do=f"report its trace: {more['trace']}")

    def _hears(self, acting: ActiveSettings) -> None:
        try:
            self.applies(acting)
        except Error as fault:
            log_error(fault)
            self.refused = True
            raise

    def begin(self) -> None:
        if self.fellows is not None:
            self.fellows.begin()
        self._beginning = asyncio.get_running_loop().create_task(self._begins())

    async def _begins(self) -> None:
        try:
            await self.member.begin()
        except Exception as fault:  # noqa: BLE001  # jobs go on by what was in service
            self.member.core = None  # nothing is said any more
            if isinstance(fault, Error):
                log_error(fault)
            else:
                logbook.fault_task(fault)

    def leave(self) -> None:
        """The member ends first: what comes from now on is for the next start, and until then keepers wait."""
        self._ending = asyncio.get_running_loop().create_task(self._ends())
        if self.fellows is not None:
            self.fellows.leave()

    async def _ends(self) -> None:
        assert self._beginning is not None
        await self._beginning
        try:
            await self.member.end()
        except Exception as fault:  # noqa: BLE001  # the process ends all the same
            logbook.fault_task(fault)

    def end(self) -> None:
        if self.fellows is not None:
            self.fellows.end()
