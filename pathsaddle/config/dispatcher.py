"""The environment of a dispatcher that an operator's file configures, instead of the platform's JSON.

`pathsaddle serve` makes one and hands it to `net/service/start.py`, which asks it for the JSON, the service,
the watch on the endpoint list and membership, and on SIGHUP to read the file again. Shared settings arrive
here too. All changes go through `reload`, between two events of the event loop.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from pathsaddle.config.assembly import ServiceArguments, build_membership, build_service
from pathsaddle.config.loader import platform_config, read_configuration
from pathsaddle.config.reload import apply_reload, reloaded
from pathsaddle.config.schema import Configuration
from pathsaddle.errors import Error
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.ground import Environment, FleetParticipant
from pathsaddle.net.service.txn_service import TxnService

if TYPE_CHECKING:
    from pathsaddle.config.metering import DispatcherMetering
    from pathsaddle.fleet.udp_driver import MembershipDriver
    from pathsaddle.settings.active_settings import ActiveSettings
    from pathsaddle.settings.dispatcher_subscription import DispatcherSubscription


class ConfiguredDispatcher(Environment):
    """What a dispatcher takes from its machine and from its operator's file.

    Attributes:
        path: The operator's file.
        configuration: What the dispatcher serves by now: the file as far as it is in service, with the
            entries of shared settings in place of its own.
    """

    def __init__(self, path: Path, log_form: str | None = None) -> None:
        """Reads the file.

        Args:
            path: The operator's file.
            log_form: "text" or "json", where the command line says it instead of the file.

        Raises:
            InvalidConfigError: The file can't be read, or something is wrong in it.
        """
        super().__init__()
        self.path = path
        self.log_form = log_form
        self.configuration = read_configuration(path)
        self._file_configuration = (
            self.configuration
        )  # the file as far as it is in service, without shared settings
        self._service: TxnService | None = None
        self._membership: MembershipDriver | None = None
        self._subscription: DispatcherSubscription | None = None
        self._entries: dict[str, bytes] = {}  # the entries of shared settings that are in service
        self._metering: DispatcherMetering | None = None

    # The start, as `net/service/start.py` asks for it.

    def file(self) -> str:
        """The operator's file, by the name that the operator gave."""
        return str(self.path)

    def told(self) -> str:
        """The platform's JSON for this dispatcher.

        Raises:
            Error: Shared settings can't be had, or do not fit the file.
        """
        if self.configuration.settings is not None and self._subscription is None:
            self._subscribe(self.configuration.settings.ground, self.configuration.settings.member)
        return json.dumps(platform_config(self.configuration))

    def service(self, *arguments: Any) -> TxnService:
        """The service that decides requests, built with the fields of `ServiceArguments`."""
        return self._start_service(ServiceArguments(*arguments))

    def watch(self, address: str, index: int, service: TxnService, counters: Counters) -> DiscoveryWatch:
        """The watch on the endpoint list, which is metered where the configuration asks for it."""
        if self._metering is None:
            return super().watch(address, index, service, counters)
        from pathsaddle.config.metering import MeteredStream, MeteredWatch

        stream = MeteredStream(self._metering.meter, self.stream)
        return MeteredWatch(stream, address, index, service, counters)

    def fellows(self, counters: Counters) -> FleetParticipant | None:
        """What begins and ends with the dispatcher: membership, and the subscription to shared settings.

        Returns:
            One part for both, or for the one that is configured; None without either.
        """
        self._membership = build_membership(self.configuration, self.file(), self, counters)
        if self._metering is not None:
            if self._membership is not None:
                self._membership.metered(self._metering.meter, self._metering.view)
            if self._subscription is not None:
                self._subscription.member.meter = self._metering.meter
        if self._subscription is None:
            return self._membership
        self._subscription.fellows = self._membership
        return self._subscription

    def open_log(self) -> None:
        """Opens the log in the level and form of the configuration, or again when they change."""
        sink = [self._metering.write_log_line] if self._metering is not None else []
        log = self.configuration.log
        logbook.open_log(log.level, self.log_form or log.form, *sink)

    def _start_service(self, arguments: ServiceArguments) -> TxnService:
        if self.configuration.control.meter:
            from pathsaddle.config.metering import DispatcherMetering, MeteredWords

            self._metering = DispatcherMetering(
                self.configuration.control, arguments.counters, self.memory_mb
            )
            self._metering.meter_log()
            self.open_log()
            arguments = arguments._replace(words=MeteredWords.of(arguments.words, self._metering.meter))
        self._service = self._build_service(arguments)
        if self._metering is not None:
            self._metering.meter_worker_probes(self._service)
        return self._service

    def _build_service(self, arguments: ServiceArguments) -> TxnService:
        meter = self._metering.meter if self._metering is not None else None
        return build_service(self.configuration, self.path, arguments, meter)

    # Changes in service.

    def moved(self) -> str:
        """Reads the file again, takes over what may change in service, and logs the keys that stay.

        Returns:
            The address of discovery.

        Raises:
            InvalidConfigError: Something is wrong in the file; nothing has changed.
        """
        wanted = read_configuration(self.path)
        unchanged: dict[str, str] = {}
        if self._subscription is not None:
            self._file_configuration, unchanged = reloaded(self._file_configuration, wanted)
            wanted = self._file_configuration
            if self._entries:
                wanted = self._with_entries(self._file_configuration, self._entries)
        for key in unchanged | self.reload(wanted):
            logbook.stays(key=key)
        return self.configuration.discovery

    def reload(self, wanted: Configuration) -> dict[str, str]:
        """Takes a checked configuration into service as far as possible, between two events.

        Args:
            wanted: What the dispatcher should serve by.

        Returns:
            The keys that stay as they were, each with the reason.
        """
        before = self.configuration
        self.configuration, unchanged = reloaded(before, wanted)
        if self._service is not None:
            apply_reload(self._service, before, self.configuration)
        if self._membership is not None:
            from pathsaddle.config.fleet import quota_configs

            self._membership.retune(quota_configs(self.configuration))
        if self._metering is not None:
            self._metering.budget = self.configuration.control
        if before.log.level != self.configuration.log.level:
            self.open_log()
        return unchanged

    # Shared settings.

    def _subscribe(self, cluster_file: str, member: str) -> None:
        """Opens the subscription, and takes over the entries that it has on disk.

        It happens before anything is built by the configuration, so that the dispatcher serves by them from
        its first request on; what asks for a restart was given one. An entry that does not fit the file ends
        the start: to serve without it would fall back behind what this member has acknowledged.

        Raises:
            Error: The cluster file or the directory can't be used, or entries don't fit the file.
        """
        from pathsaddle.settings.dispatcher_subscription import DispatcherSubscription

        self._subscription = DispatcherSubscription(cluster_file, member, self._apply_settings)
        acting = self._subscription.member.acting
        if acting.revision:
            self.configuration = self._with_entries(self._file_configuration, acting.rows)
            self._entries = dict(acting.rows)

    def _apply_settings(self, acting: ActiveSettings) -> None:
        """Takes a revision of shared settings into service, whole or not at all.

        A proposal that can't come into service is skipped: what it withdraws becomes active once this member
        acknowledges its commit, and the commit is refused then.

        Raises:
            Error: The revision does not fit the file, or asks for a restart.
        """
        if not acting.revision:
            return
        source = f"revision {acting.revision}"
        try:
            self._apply_entries(acting.rows, f"{source} with an offer" if acting.offers else source)
        except Error as error:
            if not acting.offers or acting.terms is None:
                raise
            from pathsaddle.settings.dispatcher_subscription import log_error

            log_error(error)
            self._apply_entries(acting.terms.rows(), source)

    def _apply_entries(self, entries: Mapping[str, bytes], source: str) -> None:
        """Takes entries into service, all or none; `source` names them in errors."""
        if entries == self._entries:
            return
        wanted = self._with_entries(self._file_configuration, entries)
        _, unchanged = reloaded(self.configuration, wanted)
        if unchanged:
            from pathsaddle.settings.errors import ValidationError

            raise ValidationError(
                f"{source} of shared settings can't come into service: "
                + "; ".join(f"{key}: {reason}" for key, reason in unchanged.items()),
                f"restart the dispatcher of {self.path}",
            )
        self.reload(wanted)
        self._entries = dict(entries)

    def _with_entries(self, configuration: Configuration, entries: Mapping[str, bytes]) -> Configuration:
        """Puts entries of shared settings in place of the file's own tables.

        The tables that are in service are reused where their entries have not changed: there may be hundreds,
        of which one has.

        Raises:
            InvalidConfigError: The entries don't fit the file.
        """
        from pathsaddle.settings.configuration import NAMED_TABLES, configuration_with

        in_service = {
            key: value for key, value in self._entries.items() if key.partition(".")[0] in NAMED_TABLES
        }
        if in_service:
            configuration = replace(
                configuration, customers=self.configuration.customers, schemes=self.configuration.schemes
            )
        return configuration_with(configuration, entries, in_service)
