"""What the charter's `[fleet.owners]` says, as a process is told it; and a dispatcher that votes and owns."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

from pathsaddle.config.schema import Charter
from pathsaddle.consensus.udp_driver import Register, Told
from pathsaddle.control_metrics import Unmetered
from pathsaddle.fleet.udp_driver import Fellows


def told(charter: Charter, file: str = "the charter") -> Told:
    fleet = charter.fleet
    assert fleet is not None and fleet.owners is not None
    owners, zone = fleet.owners, charter.zone or charter.zones[0]
    return Told(
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


class OwningFellows(Fellows):
    """A member of the fleet that has a `Register` too."""

    def __init__(self, charter: Charter, *more: Any) -> None:
        super().__init__(*more)
        self.register = Register(told(charter, self.told.file), self.ground, SystemRandom(), self.counters)

    def metered(self, meter: Unmetered, control: Callable[[], dict[str, Any]]) -> None:
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
