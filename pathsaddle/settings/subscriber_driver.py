"""The driver of a subscriber.

It hands settings that are on disk to those who listen, and answers at its control address.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from pathsaddle.consensus.udp_driver import monotonic_ticks
from pathsaddle.settings.active_settings import ActiveSettings
from pathsaddle.settings.control_messages import (
    Answer,
    GetRequest,
    Request,
    SubscriberEntries,
    SubscriberView,
)
from pathsaddle.settings.driver_config import DriverConfig
from pathsaddle.settings.subscriber import ConfigSubscriber
from pathsaddle.settings.sync_peer import PeerResources
from pathsaddle.settings.udp_driver import LogEvent, SettingsDriver

TICKS_PER_MS = 10


class ConfigSubscriberDriver(SettingsDriver[ConfigSubscriber]):
    """A dispatcher's part of shared settings, or that of a subscriber that runs alone.

    Attributes:
        acting: By what the process acts: on disk, and taken into service by each listener.
        listeners: Called with each ActiveSettings once it is on disk, and with the first at `begin`.
    """

    def __init__(self, config: DriverConfig, rng: Random, log: LogEvent) -> None:
        """As SettingsDriver; `acting` is what the disk has."""
        self.listeners: list[Callable[[ActiveSettings], None]] = []
        super().__init__(config, rng, log)
        assert self.core is not None
        self.acting = self._acting_by(self.core)

    async def begin(self) -> None:
        """Hands what the disk has to the listeners, then begins."""
        self.log(
            "member.began",
            life=self.incarnation,
            revision=self.acting.revision,
            digest=self.acting.digest,
            rows=len(self.acting.rows),
            age_ms=self.directory.age_ms(time.time()),
        )
        for listener in self.listeners:
            listener(self.acting)
        await super().begin()

    def is_leased(self) -> bool:
        """Whether what it acts by was the latest, by a lease that still runs."""
        core = self.core
        if core is None:
            return False
        return core.is_leased(monotonic_ticks()) and core.state.applied == (
            self.acting.revision,
            self.acting.digest,
        )

    @property
    def request_kinds(self) -> tuple[str, ...]:
        """The requests that it answers at its control address."""
        return ("get", "status")

    async def answer(self, request: Request) -> Answer:
        """Answers a request at the control address."""
        if isinstance(request, GetRequest):
            entries = request.select(self.acting.rows)
            return SubscriberEntries(self.acting.revision, self.acting.digest, self.is_leased(), entries)
        return self.status()

    def status(self) -> SubscriberView:
        """Returns what `status` answers."""
        assert self.core is not None
        now = monotonic_ticks()
        status = self.core.status(now)
        age = status.proof_age_ticks
        return SubscriberView(
            self.config.name,
            self.config.region,
            self.incarnation,
            self.acting.revision,
            self.acting.digest,
            len(self.acting.rows),
            status.committed_revision,
            self.is_leased(),
            max(0, status.lease_end - now) // TICKS_PER_MS if status.is_leased else 0,
            None if age is None else age // TICKS_PER_MS,
            status.proposed_revisions,
            status.server,
            self.directory.age_ms(time.time()),
            dict(self.rejected),
        )

    def _make_core(self) -> ConfigSubscriber:
        return ConfigSubscriber(
            self._peer_config(tuple(self.config.servers)),
            self.directory.store,
            PeerResources(self.rng, self.rate_limiter),
            monotonic_ticks(),
        )

    def _acting_by(self, core: ConfigSubscriber) -> ActiveSettings:
        state = core.state
        if not state.is_proven:
            return ActiveSettings()
        return ActiveSettings(
            *state.applied, state.entries(), bool(state.versions.offers), state.versions.base.spec
        )

    def _act(self, acting: ActiveSettings) -> None:
        if acting != self.acting:
            self.acting = acting
            for listener in self.listeners:
                listener(acting)
