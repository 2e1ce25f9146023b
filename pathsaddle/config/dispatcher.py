"""A dispatcher told by an operator's charter instead of the platform's JSON; from `born` on both go one road."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from random import Random, SystemRandom
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from pathsaddle.config.loader import platform_config, read_configuration
from pathsaddle.config.reload import apply_reload, reloaded
from pathsaddle.config.schema import Configuration
from pathsaddle.errors import Error
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.ground import Ground
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.wire.forms import Words

if TYPE_CHECKING:
    from pathsaddle.config.metering import DispatcherMetering
    from pathsaddle.fleet.udp_driver import MembershipDriver
    from pathsaddle.net.service.ground import Fellows as Beside
    from pathsaddle.settings.active_settings import ActiveSettings
    from pathsaddle.settings.dispatcher_subscription import DispatcherSubscription

ENDED_PART, OPEN_PART = 16, 2  # of the memory that we are told: what ended jobs may take, and open ones


class ConfiguredDispatcher(Ground):
    def __init__(self, path: Path, form: str | None = None) -> None:
        super().__init__()
        self.path = path
        self.form = form  # of the log, where the command line says it
        self.charter = read_configuration(path)  # by which we serve
        self._service: TxnService | None = None
        self._fellows: MembershipDriver | None = None
        self._file = self.charter  # what it says as far as it is in service, shared settings aside
        self._sharing: DispatcherSubscription | None = None
        self._rows: dict[str, bytes] = {}  # shared settings' that are in service
        self._metered: DispatcherMetering | None = None

    def file(self) -> str:
        return str(self.path)

    def told(self) -> str:
        if self.charter.settings is not None and self._sharing is None:
            self._shares()
        return json.dumps(platform_config(self.charter))

    def _shares(self) -> None:
        """Before anything is built by the charter: what it has on disk it serves by from the first call on, and what asks
        for a restart was given one. Raises Faulty where the rows don't fit this charter: to serve without them would go back
        behind what it has said to have.
        """
        from pathsaddle.settings.dispatcher_subscription import DispatcherSubscription

        shared = self.charter.settings
        assert shared is not None
        self._sharing = DispatcherSubscription(shared.ground, shared.member, self._applies)
        acting = self._sharing.member.acting
        if acting.revision:
            self.charter = self._with(self._file, acting.rows)
            self._rows = dict(acting.rows)

    def service(self, terms: Any, words: Words, *told: Any) -> TxnService:
        """As `net` asks for it: terms, words, seed, clock, workers, counters, the asking for the list."""
        if self.charter.control.meter:
            from pathsaddle.config.metering import DispatcherMetering, MeteredWords

            self._metered = DispatcherMetering(self.charter.control, told[3], self.memory_mb)
            self._metered.begins()
            self.open_log()
            words = MeteredWords.of(words, self._metered.meter)
        self._service = self._made(terms, words, *told)
        if self._metered is not None:
            self._metered.service(self._service)
        return self._service

    def watch(self, address: str, index: int, service: TxnService, counters: Counters) -> DiscoveryWatch:
        if self._metered is None:
            return super().watch(address, index, service, counters)
        from pathsaddle.config.metering import MeteredWatch

        return MeteredWatch(self._metered.meter, address, index, service, counters, self.stream)

    def _made(self, *told: Any) -> TxnService:
        if self.charter.federation is not None:
            from pathsaddle.federation.request_handler import FederatedRequestHandler
            from pathsaddle.federation.udp_driver import MemberProcess, ground_of

            regions = self.charter.federation
            member = MemberProcess(ground_of(regions.ground), regions.member, serving=True)
            if self._metered is not None:
                member.meter = self._metered.meter
            return FederatedRequestHandler(*told, member=member, doors=regions.doors, room=regions.room)
        if self.charter.jobs is None:
            return TxnService(*told)
        from pathsaddle.jobs.job_service import JobService, JobServiceOptions
        from pathsaddle.jobs.store import Store, StoreUnusableError, ThreadWriter

        jobs = self.charter.jobs
        try:
            return JobService(
                *told,
                store=Store(Path(jobs.path), ThreadWriter()),
                ways=JobServiceOptions(
                    jobs.lease,
                    jobs.retention,
                    jobs.longest_poll,
                    jobs.recover_within,
                    jobs.margin,
                    self.charter.limits.memory // ENDED_PART,
                    self.charter.limits.memory // OPEN_PART,
                ),
                chance=Random(self.charter.seed),
            )
        except StoreUnusableError as fault:  # the store knows its file alone
            raise type(fault)(f"{self.path}: jobs.path: {fault.what}", fault.do) from None

    def fellows(self, counters: Counters) -> Beside | None:
        self._fellows = self._joined(counters)
        if self._metered is not None:
            if self._fellows is not None:
                self._fellows.metered(self._metered.meter, self._metered.view)
            if self._sharing is not None:
                self._sharing.member.meter = self._metered.meter
        if self._sharing is None:
            return self._fellows
        self._sharing.fellows = self._fellows
        return self._sharing

    def _joined(self, counters: Counters) -> MembershipDriver | None:
        if self.charter.fleet is None:
            return None
        from pathsaddle.config.fleet import membership_config as fellow
        from pathsaddle.fleet.incarnation_store import IncarnationStore
        from pathsaddle.fleet.udp_driver import MembershipDriver

        folder = self.charter.fleet.folder
        told = fellow(self.charter, self.file())
        if self.charter.fleet.owners is not None:
            from pathsaddle.consensus.fleet_member import LeasingMembershipDriver

            return LeasingMembershipDriver(
                self.charter,
                told,
                self,
                IncarnationStore(Path(folder) if folder else None, told.name),
                SystemRandom(),
                counters,
            )
        return MembershipDriver(
            told,
            self,
            IncarnationStore(Path(folder) if folder else None, told.name),
            SystemRandom(),
            counters,
        )

    def open_log(self) -> None:
        sink = [self._metered.writes] if self._metered is not None else []
        logbook.open_log(self.charter.log.level, self.form or self.charter.log.form, *sink)

    def moved(self) -> str:
        """The file again: what may change in service does, what may not is named and stays."""
        wanted = read_configuration(self.path)
        stays: dict[str, str] = {}
        if self._sharing is not None:
            self._file, stays = reloaded(self._file, wanted)
            wanted = self._with(self._file, self._rows) if self._rows else self._file
        for key in stays | self.retune(wanted):
            logbook.stays(key=key)
        return self.charter.discovery

    def _with(self, file: Configuration, rows: Mapping[str, bytes]) -> Configuration:
        """The file's charter with the rows in place of its own. Raises Faulty."""
        from pathsaddle.settings.configuration import NAMED_TABLES, configuration_with

        stands = {key: value for key, value in self._rows.items() if key.partition(".")[0] in NAMED_TABLES}
        if stands:  # hundreds of rows aren't read again for one that has changed
            file = replace(file, customers=self.charter.customers, schemes=self.charter.schemes)
        return configuration_with(file, rows, stands)

    def _applies(self, acting: ActiveSettings) -> None:
        """A revision of shared settings, whole or not at all. An offer that can't come into service is passed over: what it
        withdraws is in force once we say to have its commit, and at that it is refused. Raises Faulty, Unfit.
        """
        if not acting.revision:
            return
        try:
            self._takes(acting.rows, f"revision {acting.revision}{' with an offer' if acting.offers else ''}")
        except Error as fault:
            if not acting.offers or acting.terms is None:
                raise
            from pathsaddle.settings.dispatcher_subscription import log_error

            log_error(fault)
            self._takes(acting.terms.rows(), f"revision {acting.revision}")

    def _takes(self, rows: Mapping[str, bytes], which: str) -> None:
        if rows == self._rows:
            return
        wanted = self._with(self._file, rows)
        _, stays = reloaded(self.charter, wanted)
        if stays:
            from pathsaddle.settings.errors import ValidationError

            raise ValidationError(
                f"{which} of shared settings can't come into service: "
                + "; ".join(f"{key}: {why}" for key, why in stays.items()),
                f"restart the dispatcher of {self.path}",
            )
        self.retune(wanted)
        self._rows = dict(rows)

    def retune(self, wanted: Configuration) -> dict[str, str]:
        """Takes a checked charter into service as far as that can be, between two events; the keys that stay, each with
        the reason.
        """
        before, (self.charter, stays) = self.charter, reloaded(self.charter, wanted)
        if self._service is not None:
            apply_reload(self._service, before, self.charter)
        if self._fellows is not None:
            from pathsaddle.config.fleet import quota_configs

            self._fellows.retune(quota_configs(self.charter))
        if self._metered is not None:
            self._metered.budget = self.charter.control
        if before.log.level != self.charter.log.level:
            self.open_log()
        return stays
