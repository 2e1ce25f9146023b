"""A dispatcher's part in shared settings, in the process that serves.

A revision is in service before the subscriber acknowledges it. Where it can't come into service the fault
is logged, the subscriber ends and falls silent, and servers name this dispatcher as the one that they wait
for. It serves on by what it had. Made by `config/dispatcher.py`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom

from pathsaddle.config.validation import InvalidConfigError
from pathsaddle.errors import Error
from pathsaddle.net.service import logbook
from pathsaddle.net.service.ground import FleetParticipant
from pathsaddle.settings.active_settings import ActiveSettings
from pathsaddle.settings.cluster_file import ClusterFile, entry_named, load_cluster_file
from pathsaddle.settings.driver_config import DriverConfig
from pathsaddle.settings.server_selection import nearest_servers
from pathsaddle.settings.subscriber_driver import ConfigSubscriberDriver


def driver_config(cluster: ClusterFile, path: str, name: str) -> DriverConfig:
    """Returns what a subscriber is told, as the file of servers has it; servers of its region come first.

    Args:
        cluster: The file.
        path: Where it is, for errors.
        name: The subscriber, as at `members.NAME`.

    Raises:
        ClusterFileError: There is no such subscriber.
    """
    entry = entry_named(path, "members", cluster.members, name)
    regions = {server: one.region for server, one in cluster.keepers.items()}
    return DriverConfig(
        name,
        entry.region,
        cluster.key.encode(),
        entry.listen,
        {server: cluster.keepers[server].address for server in nearest_servers(regions, name, entry.region)},
        Path(entry.disk),
        f"members.{name} in {path}",
        int(cluster.lease),
        entry.control,
    )


def log_error(fault: Error) -> None:
    """Logs an error, with a line for each where it holds several."""
    for one in fault.faults if isinstance(fault, InvalidConfigError) else [fault]:
        logbook.refused(name=one.name, what=one.what, do=one.do)


class DispatcherSubscription:
    """What the dispatcher begins and ends; its fleet, where it has one, goes with it.

    Attributes:
        member: The subscriber's driver.
        fellows: The dispatcher's fleet, or none.
        is_rejected: Whether a revision could not come into service: its fault was logged, and is none of
            ours.
    """

    def __init__(self, path: str, name: str, apply: Callable[[ActiveSettings], None]) -> None:
        """Reads the file of servers and the subscriber's directory.

        Args:
            path: Of the file of servers.
            name: The subscriber, as at `members.NAME`.
            apply: Takes a revision into service, whole or not at all, and raises an Error where it can't.

        Raises:
            InvalidConfigError: The file is faulty.
            ClusterFileError: It says what can't be meant, or names no such subscriber.
            StorageError: The directory can't be read, or is not as it was written.
            Error: The address can't be had (net/service/place.py).
        """
        self.fellows: FleetParticipant | None = None
        self.is_rejected = False
        self.member = ConfigSubscriberDriver(
            driver_config(load_cluster_file(path), path, name), SystemRandom(), self._log
        )
        self.member.listeners.append(self._on_settings)
        self._apply = apply
        self._beginning: asyncio.Task[None] | None = None
        self._ending: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Begins the fleet and the subscriber."""
        if self.fellows is not None:
            self.fellows.begin()
        self._beginning = asyncio.get_running_loop().create_task(self._begin_subscriber())

    def leave(self) -> None:
        """Ends the subscriber first, then leaves the fleet.

        What comes from now on is for the next start, and until then servers wait.
        """
        self._ending = asyncio.get_running_loop().create_task(self._end_subscriber())
        if self.fellows is not None:
            self.fellows.leave()

    def end(self) -> None:
        """Ends the fleet."""
        if self.fellows is not None:
            self.fellows.end()

    def _log(self, event: str, **fields: object) -> None:
        if event != "driver.fault":
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            logbook.note(text=f"settings {event} {text}")
        elif not self.is_rejected:
            logbook.refused(
                name="settings.defect", what=fields["why"], do=f"report its trace: {fields['trace']}"
            )

    def _on_settings(self, acting: ActiveSettings) -> None:
        try:
            self._apply(acting)
        except Error as fault:
            log_error(fault)
            self.is_rejected = True
            raise

    async def _begin_subscriber(self) -> None:
        try:
            await self.member.begin()
        except Exception as fault:  # noqa: BLE001  # requests go on by what was in service
            self.member.core = None  # nothing is said any more
            if isinstance(fault, Error):
                log_error(fault)
            else:
                logbook.fault_task(fault)

    async def _end_subscriber(self) -> None:
        assert self._beginning is not None
        await self._beginning
        try:
            await self.member.end()
        except Exception as fault:  # noqa: BLE001  # the process ends all the same
            logbook.fault_task(fault)
