"""The operator's configuration file as a whole: one field for each key and table at its top.

The tables stand in `config/serving_tables.py`, `config/member_tables.py` and `config/register_schema.py`,
checks of keys against each other in `config/checks.py` and `config/fleet_checks.py`. A later subsystem adds a
table by adding a field to `Configuration`. `check --explain` and docs/charter.md are made from the
docstrings.

Names of the other modules that packages import can be imported from here too.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, field

from pathsaddle.config.checks import (
    DEFAULT_NAME,
    check_address_given,
    check_home_zone,
    check_jobs,
    check_machine,
    check_member_names,
    check_number,
    check_request_classes_given,
    check_seed,
    check_unique,
    check_zones_given,
)
from pathsaddle.config.errors import (
    InvalidValueError,
    NameRequiredError,
    NotLoopbackError,
    TooSlowError,
    UnreachableAddressError,
    WindowRequiredError,
)
from pathsaddle.config.field_types import MILLISECOND_TICKS, Address, ConfigTable, Count, Part
from pathsaddle.config.member_tables import Federation, FleetTable, Settings
from pathsaddle.config.register_schema import Owners
from pathsaddle.config.reloadable_keys import RELOADABLE_KEYS, changed_keys
from pathsaddle.config.serving_tables import (
    Allowed,
    Control,
    Jobs,
    Limits,
    Log,
    Prices,
    Reach,
    Reports,
    RequestClassTable,
    Rules,
    TenantTable,
)
from pathsaddle.config.units import Duration

__all__ = [
    "RELOADABLE_KEYS",
    "Address",
    "Allowed",
    "ConfigTable",
    "Configuration",
    "Control",
    "Count",
    "Federation",
    "FleetTable",
    "Jobs",
    "Limits",
    "Log",
    "NameRequiredError",
    "NotLoopbackError",
    "Owners",
    "Part",
    "Prices",
    "Reach",
    "Reports",
    "RequestClassTable",
    "Rules",
    "Settings",
    "TenantTable",
    "TooSlowError",
    "UnreachableAddressError",
    "WindowRequiredError",
    "changed_keys",
]


class Configuration(ConfigTable):
    """One dispatcher, as its operator wants it.

    name: its name, in its log.
    listen: where clients and workers' callbacks connect, host:port.
    discovery: where the list of workers is watched, host:port.
    seed: hexadecimal; all chance comes from it.
    number: which of the dispatchers this is, from 0.
    dispatchers: how many there are.
    zones: the zones' names; workers elsewhere are in further ones.
    zone: the one that this dispatcher is in.
    machines: the kinds of machine that schemes may ask for.
    tick: the decisions' finest step of time.
    limits: what the process may take of its machine.
    schemes: the kinds of job.
    customers: who sends them; none: anybody.
    rules: the figures of the rules.
    allowed: what a dispatcher may do.
    reports: what workers tell of themselves.
    prices: what things cost.
    reach: connections to workers.
    log: what is logged.
    control: what control may cost.
    jobs: durable jobs; off where the table is missing.
    fleet: other dispatchers, and who of them is there; off where the table is missing.
    federation: other regions; off where the table is missing.
    settings: what all dispatchers share, changed without a restart; off where the table is missing.
    """

    listen: Address
    discovery: Address
    schemes: list[RequestClassTable]
    name: str = DEFAULT_NAME
    seed: str = "0"
    number: Annotated[int, Meta(ge=0)] = 0
    dispatchers: Count = 1
    zones: list[str] = field(default_factory=lambda: ["here"])
    zone: str | None = None
    machines: list[str] = field(default_factory=list)
    tick: Duration = Duration(2 * MILLISECOND_TICKS)
    limits: Limits = field(default_factory=Limits)
    customers: list[TenantTable] = field(default_factory=list)
    rules: Rules = field(default_factory=Rules)
    allowed: Allowed = field(default_factory=Allowed)
    reports: Reports = field(default_factory=Reports)
    prices: Prices = field(default_factory=Prices)
    reach: Reach = field(default_factory=Reach)
    log: Log = field(default_factory=Log)
    control: Control = field(default_factory=Control)
    jobs: Jobs | None = None
    fleet: FleetTable | None = None
    federation: Federation | None = None
    settings: Settings | None = None

    def home_zone(self) -> str:
        """The zone that this dispatcher is in: the first one, where the file names none as its own."""
        return self.zone if self.zone is not None else self.zones[0]

    def amiss(self) -> Iterator[InvalidValueError]:
        """See `ConfigTable.amiss`."""
        request_classes = [request_class.name for request_class in self.schemes]
        yield from check_address_given("listen", self.listen)
        yield from check_address_given("discovery", self.discovery)
        yield from check_seed(self.seed)
        yield from check_number(self.number, self.dispatchers)
        yield from check_request_classes_given(request_classes)
        yield from check_unique("schemes", request_classes)
        yield from check_unique("zones", self.zones)
        yield from check_unique("customers", [tenant.name for tenant in self.customers])
        yield from check_unique("machines", self.machines)
        yield from check_zones_given(self.zones)
        if self.fleet is not None:
            zone = self.zone or "".join(self.zones[:1])
            yield from check_member_names(self.name, self.dispatchers, zone)
        if self.jobs is not None:
            yield from check_jobs(request_classes, self.federation is not None)
        yield from check_home_zone(self.zone, self.zones)
        for index, request_class in enumerate(self.schemes):
            yield from check_machine(index, request_class.machine, self.machines)
