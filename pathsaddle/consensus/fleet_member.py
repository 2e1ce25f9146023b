"""What the charter's `[fleet.owners]` says, as a process is told it; and a dispatcher that votes and owns."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

from pathsaddle.config.schema import Configuration
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver
from pathsaddle.control_metrics import NullMeter
from pathsaddle.fleet.udp_driver import MembershipDriver


def register_config(charter: Configuration, file: str = "the charter") -> RegisterConfig:
    fleet = charter.fleet
    assert fleet is not None and fleet.owners is not None
    owners, zone = fleet.owners, charter.zone or charter.zones[0]
    return RegisterConfig(
        charter.name,
        fleet.name,
        fleet.key.encode(),
        dict(owners.voters),
        owners.listen,
        Path(owners.folder),
        int(owners.lease),
        {key: owners.zones.get(key, zone) == zone for key in owners.keys},
        owners.bytes,
        owners.datagrams,
        file,
    )


class LeasingMembershipDriver(MembershipDriver):
    """A member of the fleet that has a `Register` too."""

    def __init__(self, charter: Configuration, *more: Any) -> None:
        super().__init__(*more)
        self.register = RegisterDriver(
            register_config(charter, self.told.file), self.ground, SystemRandom(), self.counters
        )

    def metered(self, meter: NullMeter, control: Callable[[], dict[str, Any]]) -> None:
        super().metered(meter, control)
        self.register.meter = meter

    def begin(self) -> None:
        super().begin()
        self.register.begin()

    def leave(self) -> None:
        self.register.stop()
        super().leave()

    def end(self) -> None:
        self.register.end()
        super().end()
