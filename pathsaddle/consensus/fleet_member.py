"""What `[fleet.owners]` of the configuration file says to a process; a dispatcher with a register.

`config/dispatcher.py` makes the member where the table is there; planners take the configuration alone.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import SystemRandom
from typing import Any

from pathsaddle.config.schema import Configuration
from pathsaddle.consensus.udp_driver import RegisterConfig, RegisterDriver
from pathsaddle.control_metrics import NullMeter
from pathsaddle.fleet.control_messages import ForeignReply
from pathsaddle.fleet.udp_driver import MembershipDriver


def register_config(configuration: Configuration, file: str = "the charter") -> RegisterConfig:
    """Return what a process is told by a configuration that has the table.

    Args:
        configuration: What was read from the operator's file.
        file: Where it stands, in words for an operator.
    """
    fleet = configuration.fleet
    assert fleet is not None
    table = fleet.owners
    assert table is not None
    zone = configuration.zone or configuration.zones[0]
    return RegisterConfig(
        name=configuration.name,
        fleet=fleet.name,
        fleet_key=fleet.key.encode(),
        acceptors=dict(table.voters),
        listen=table.listen,
        directory=Path(table.folder),
        lease_ticks=int(table.lease),
        keys={key: table.zones.get(key, zone) == zone for key in table.keys},
        max_bytes_per_second=table.bytes,
        max_datagrams_per_second=table.datagrams,
        file=file,
    )


class LeasingMembershipDriver(MembershipDriver):
    """A member of the fleet that has a `RegisterDriver`, which starts and ends with it."""

    def __init__(self, configuration: Configuration, *membership: Any) -> None:
        """Make both parts.

        Args:
            configuration: Of the register.
            membership: The arguments of `MembershipDriver`.
        """
        super().__init__(*membership)
        self.register = RegisterDriver(
            register_config(configuration, self.told.file), self.ground, SystemRandom(), self.counters
        )

    def metered(self, meter: NullMeter, control: Callable[[], ForeignReply]) -> None:
        """Count what both parts cost. `MembershipDriver` says what the arguments are."""
        super().metered(meter, control)
        self.register.meter = meter

    def begin(self) -> None:
        """Start both parts."""
        super().begin()
        self.register.begin()

    def leave(self) -> None:
        """Give all leases back and leave the fleet."""
        self.register.stop()
        super().leave()

    def end(self) -> None:
        """End both parts."""
        self.register.end()
        super().end()
