"""What the charter's `[fleet]` says, as a member is told it."""

from __future__ import annotations

from pathsaddle.config.schema import Charter
from pathsaddle.fleet.membership import Ways
from pathsaddle.fleet.quota.quota_limiter import Dealt
from pathsaddle.fleet.udp_driver import Told


def told(charter: Charter, file: str = "the charter") -> Told:
    fleet = charter.fleet
    assert fleet is not None
    ways = Ways(
        fleet.name,
        fleet.key.encode(),
        int(fleet.beat),
        int(fleet.patience),
        fleet.bytes,
        fleet.datagrams,
        lifeguard=fleet.lifeguard,
    )
    budgets = dealt(charter) or None
    return Told(
        charter.name,
        charter.zone or charter.zones[0],
        fleet.listen,
        fleet.address or fleet.listen,
        list(fleet.seeds),
        fleet.control,
        ways,
        file,
        budgets,
    )


def dealt(charter: Charter) -> dict[str, Dealt]:
    """The budgets with this member's parts, by name."""
    fleet = charter.fleet
    assert fleet is not None
    return {
        name: Dealt(
            rate,
            fleet.parts.get(name, equal_part(rate, charter.dispatchers, charter.number)),
            int(fleet.lease),
        )
        for name, rate in fleet.budgets.items()
    }


def equal_part(rate: int, members: int, number: int) -> int:
    """Of a budget dealt equally: the first ones have what does not divide."""
    return rate // members + (number < rate % members)
