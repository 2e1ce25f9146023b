"""The tables of a dispatcher among others: its fleet, other regions, and shared settings.

`config/schema.py` puts them together. The docstrings are printed by `check --explain` and stand in
docs/charter.md.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, field

from pathsaddle.config.errors import InvalidValueError
from pathsaddle.config.field_types import (
    MILLISECOND_TICKS,
    SECOND_TICKS,
    ConfigTable,
    Count,
    DirectoryPath,
    FilePath,
    Ipv4Address,
    Secret,
)
from pathsaddle.config.fleet_checks import (
    check_control_is_local,
    check_control_port,
    check_fleet_name,
    check_lease,
    check_listen,
    check_probe_times,
    check_quota_shares,
    check_quotas,
    check_reachable,
    check_seeds,
)
from pathsaddle.config.register_schema import Owners
from pathsaddle.config.units import Duration


class FleetTable(ConfigTable):
    """This dispatcher among others: who else is there, told by datagrams; off where the table is missing.

    name: the fleet's; datagrams of another are not read.
    key: the secret that all members share, 16 characters at least; whoever has it can speak as any member.
    listen: where datagrams come, host:port (UDP).
    address: where other members send them, if that is not `listen`.
    seeds: addresses of other members, by which a fleet is found at the start; none: whoever names us finds
      us.
    folder: where the number of the last life is kept, on a disk that lasts; none: the clock alone numbers
      lives.
    control: where `pathsaddle fleet` asks, host:port, on the loopback; none: nowhere.
    beat: between two probes of this member; the shorter, the sooner a death is known and the more is sent.
    patience: how long a direct answer is waited for before others are asked; over the usual way there and
      back.
    bytes: that this member sends in any second at most.
    datagrams: that it sends in any second at most.
    lifeguard: own health, witnesses and the word to the accused; off only to measure what they bring.
    budgets: rates in units a second that all members together keep, by name; none: nothing is shared.
    parts: this member's units of a budget, where they are not equal parts by `number` of `dispatchers`; all
      members' parts together must not pass the budget.
    lease: for how long units that are not wanted are lent to others.
    owners: one owner at a time for a key of the fleet's work; off where the table is missing.
    """

    name: str
    key: Secret
    listen: Ipv4Address
    address: Ipv4Address = ""
    seeds: list[Ipv4Address] = field(default_factory=list)
    folder: DirectoryPath = ""
    control: Ipv4Address = ""
    beat: Duration = Duration(SECOND_TICKS)
    patience: Duration = Duration(300 * MILLISECOND_TICKS)
    bytes: Annotated[int, Meta(ge=6000)] = 24_000
    datagrams: Annotated[int, Meta(ge=16)] = 60
    lifeguard: bool = True
    budgets: dict[str, Annotated[int, Meta(ge=1, le=1_000_000)]] = field(default_factory=dict)
    parts: dict[str, Annotated[int, Meta(ge=0)]] = field(default_factory=dict)
    lease: Duration = Duration(10 * SECOND_TICKS)
    owners: Owners | None = None

    def amiss(self) -> Iterator[InvalidValueError]:
        """See `ConfigTable.amiss`."""
        yield from check_control_is_local(self.control)
        yield from check_fleet_name(self.name)
        yield from check_control_port(self.control)
        yield from check_seeds(self.seeds)
        yield from check_reachable(self.address or self.listen)
        yield from check_listen(self.listen)
        yield from check_probe_times(self.beat, self.patience)
        yield from check_quotas(self.budgets)
        yield from check_quota_shares(self.parts, self.budgets)
        yield from check_lease(self.lease)


class Federation(ConfigTable):
    """Other regions, by the spec that `ground` names.

    ground: the file of the federation's members and keepers (docs/federation.md).
    member: this dispatcher's name there.
    doors: region -> where its dispatchers take clients' calls, host:port.
    room: how many txns may be open here before nothing is lent to other regions.
    """

    ground: str
    member: str
    doors: dict[str, list[str]] = field(default_factory=dict)
    room: Count = 64


class Settings(ConfigTable):
    """Settings that all dispatchers share, changed at keepers; off where the table is missing.

    ground: the file of keepers, voters and members (docs/settings-store.md).
    member: this dispatcher's name there, as at members.NAME.
    """

    ground: FilePath
    member: str
