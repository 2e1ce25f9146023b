"""What the charter's `[fleet]` says, as a member is told it."""

from __future__ import annotations

from pathsaddle.charter.form import Charter
from pathsaddle.fleet.driver import Told
from pathsaddle.fleet.members import Ways


def told(charter: Charter, file: str = "the charter") -> Told:
    fleet = charter.fleet
    assert fleet is not None
    ways = Ways(fleet.name, fleet.key.encode(), int(fleet.beat), int(fleet.patience), fleet.bytes, fleet.datagrams,
                lifeguard=fleet.lifeguard)
    return Told(charter.name, charter.zone or charter.zones[0], fleet.listen, fleet.address or fleet.listen,
                list(fleet.seeds), fleet.control, ways, file)
