"""What the charter's `[fleet]` says, as a member is told it."""

from __future__ import annotations

from pathsaddle.config.schema import Configuration
from pathsaddle.fleet.membership import MembershipOptions
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.udp_driver import MembershipConfig


def membership_config(charter: Configuration, file: str = "the charter") -> MembershipConfig:
    fleet = charter.fleet
    assert fleet is not None
    ways = MembershipOptions(
        fleet.name,
        fleet.key.encode(),
        int(fleet.beat),
        int(fleet.patience),
        fleet.bytes,
        fleet.datagrams,
        lifeguard=fleet.lifeguard,
    )
    budgets = quota_configs(charter) or None
    return MembershipConfig(
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


def quota_configs(charter: Configuration) -> dict[str, QuotaConfig]:
    """The budgets with this member's parts, by name."""
    fleet = charter.fleet
    assert fleet is not None
    return {
        name: QuotaConfig(
            rate,
            fleet.parts.get(name, equal_part(rate, charter.dispatchers, charter.number)),
            int(fleet.lease),
        )
        for name, rate in fleet.budgets.items()
    }


def equal_part(rate: int, members: int, number: int) -> int:
    """Of a budget dealt equally: the first ones have what does not divide."""
    return rate // members + (number < rate % members)
