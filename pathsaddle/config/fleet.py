"""Translates `[fleet]` of the configuration to what membership and quotas are configured with.

The dispatcher (`config/assembly.py`) and the emulator's members call it; nothing here opens a socket or a
file.
"""

from __future__ import annotations

from pathsaddle.config.schema import Configuration, FleetTable
from pathsaddle.fleet.membership import MembershipOptions
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.udp_driver import MembershipConfig


def membership_config(configuration: Configuration, file: str = "the charter") -> MembershipConfig:
    """Makes the configuration of this member.

    Args:
        configuration: A configuration with a table `[fleet]`.
        file: The file's name, for errors of the member.
    """
    fleet = _fleet_of(configuration)
    options = MembershipOptions(
        fleet.name,
        fleet.key.encode(),
        int(fleet.beat),
        int(fleet.patience),
        fleet.bytes,
        fleet.datagrams,
        lifeguard=fleet.lifeguard,
    )
    return MembershipConfig(
        configuration.name,
        configuration.zone or configuration.zones[0],
        fleet.listen,
        fleet.address or fleet.listen,
        list(fleet.seeds),
        fleet.control,
        options,
        file,
        quota_configs(configuration) or None,
    )


def quota_configs(configuration: Configuration) -> dict[str, QuotaConfig]:
    """Makes the configuration of each quota, by name, with this member's share of it.

    Args:
        configuration: A configuration with a table `[fleet]`.
    """
    fleet = _fleet_of(configuration)
    return {
        name: QuotaConfig(
            rate,
            fleet.parts.get(name, equal_part(rate, configuration.dispatchers, configuration.number)),
            int(fleet.lease),
        )
        for name, rate in fleet.budgets.items()
    }


def equal_part(rate: int, members: int, number: int) -> int:
    """One member's share of a quota that is shared out equally.

    Args:
        rate: The quota, in units a second.
        members: How many members share it.
        number: Which of them this is, from 0; the first ones get the remainder, one unit each.

    Returns:
        The share, in units a second; those of all members add up to the quota.
    """
    return rate // members + (number < rate % members)


def _fleet_of(configuration: Configuration) -> FleetTable:
    assert configuration.fleet is not None, "a caller asked for a member of no fleet"
    return configuration.fleet
