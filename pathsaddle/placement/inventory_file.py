"""The inventory as an operator writes it (TOML): read, checked as a whole, and turned into an Inventory.

The program reads files with it; the emulator uses `read_toml` for its plans. Each error names its key and
what may stand there. The classes named ...Table are the tables of the file; their fields are its keys.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterable
from difflib import get_close_matches
from pathlib import Path
from typing import Any

import msgspec

from pathsaddle.errors import access, why
from pathsaddle.placement.errors import (
    InvalidInventoryError,
    InvalidTomlError,
    InventoryKeyError,
    InventoryUnreadableError,
)
from pathsaddle.placement.invariants import find_violations
from pathsaddle.placement.inventory import (
    DEFAULT_COLD_BUDGET,
    Demand,
    Inventory,
    Island,
    Kind,
    Target,
    Unit,
    UnitState,
)

UNLIMITED = 10**9  # what a limit is that the file leaves out


class KindTable(msgspec.Struct, forbid_unknown_fields=True):
    """One of [[kinds]]."""

    name: str
    slots: int
    power: int = 0
    ports: int = 0
    carries: int = 0


class IslandTable(msgspec.Struct, forbid_unknown_fields=True):
    """One of [[islands]]. `bays`: how many; they are named ISLAND/1, ISLAND/2 and so on."""

    name: str
    bays: int
    zone: str = ""
    power: int = UNLIMITED
    ports: int = UNLIMITED
    carries: int = UNLIMITED
    kinds: list[str] = []
    up: bool = True


class UnitTable(msgspec.Struct, forbid_unknown_fields=True):
    """One of [[units]]. `count`: so many alike, named NAME-1, NAME-2; only for units in no bay."""

    name: str
    kind: str
    state: UnitState = UnitState.HERE
    bay: str = ""
    count: int = 1


class DemandTable(msgspec.Struct, forbid_unknown_fields=True):
    """One of [[demand]]."""

    kind: str
    width: int
    low: int
    high: int


class TargetTable(msgspec.Struct, forbid_unknown_fields=True):
    """One of [[targets]]."""

    kind: str
    width: int


class InventoryTables(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file."""

    kinds: list[KindTable]
    islands: list[IslandTable]
    units: list[UnitTable] = []
    demand: list[DemandTable] = []
    targets: list[TargetTable] = []
    cold: int = DEFAULT_COLD_BUDGET


# What an operator does about each rule of `invariants`; {} is the file.
REMEDIES = {
    "unit-twice": "give each of [[units]] in {} a name of its own",
    "kind-unknown": "write at kind of that unit in {} one that [[kinds]] names",
    "bay-missing": "write at bay of that unit in {} where it is, or another state",
    "bay-unknown": "write at bay of that unit in {} one of its island's, "
    "ISLAND/1 to ISLAND/ and its number of bays",
    "bay-kept": "take bay of that unit out of {}, or write at state how it stands there",
    "bay-twice": "write at bay of one of both units in {} where it truly is",
    "kind-misplaced": "write at bay of that unit in {} one of another island, "
    "or add its kind to kinds of that island",
    "power-over": "write at power of that island in {} what it truly has, or take units out of its bays",
    "ports-over": "write at ports of that island in {} what it truly has, or take units out of its bays",
    "carries-over": "write at carries of that island in {} what it truly has, or take units out of its bays",
    "cold-over": "raise cold in {}, or write at state of units that serve `serving`",
}
TABLES: dict[str, type[msgspec.Struct]] = {
    "kinds": KindTable,
    "islands": IslandTable,
    "units": UnitTable,
    "demand": DemandTable,
    "targets": TargetTable,
}


def read_inventory(path: Path) -> Inventory:
    """Read and check an inventory file.

    Raises:
        InventoryUnreadableError: the file cannot be read.
        InvalidTomlError: it is not TOML.
        InventoryKeyError: a key is unknown or has a value of another type.
        InvalidInventoryError: the inventory contradicts itself or breaks a rule.
    """
    tables = read_toml(path)
    try:
        decoded = msgspec.convert(tables, InventoryTables)
    except msgspec.ValidationError as error:
        raise _key_error(path, error) from None
    return _InventoryBuilder(decoded, str(path)).build()


def read_toml(path: Path) -> dict[str, Any]:
    """Decode a TOML file; raise InventoryUnreadableError or InvalidTomlError."""
    try:
        return tomllib.loads(path.read_bytes().decode())
    except (OSError, UnicodeError) as error:
        reason = f"byte {error.start} is no UTF-8" if isinstance(error, UnicodeDecodeError) else why(error)
        raise InventoryUnreadableError("", access(error, path), file=path, why=reason) from None
    except tomllib.TOMLDecodeError as error:
        raise InvalidTomlError(file=path, why=why(error)) from None


def _key_error(path: Path, error: msgspec.ValidationError) -> InventoryKeyError:
    """Turn msgspec's sentence into one that names the key and the nearest one."""
    text, _, location = str(error).partition(" - at ")
    location = location.strip("`").removeprefix("$.") or "the file's top"
    unknown = text.split("`")[1] if "unknown field" in text else ""
    table = TABLES.get(location.partition("[")[0], InventoryTables)
    nearest = get_close_matches(unknown, table.__struct_fields__, 1) if unknown else []
    if nearest:
        remedy = f"write `{nearest[0]}` in place of `{unknown}` in {path}"
    elif unknown:
        remedy = f"take `{unknown}` out of {path}; docs/placement.md has all keys"
    else:
        remedy = f"write in {path} at {location} what docs/placement.md says of it"
    return InventoryKeyError(f"{path}: {location}: {why(ValueError(text))}", remedy)


class _InventoryBuilder:
    """Checks the tables in the order of the file, and makes the values of an Inventory of them."""

    def __init__(self, tables: InventoryTables, source: str) -> None:
        self.tables, self.source = tables, source
        self.kind_names = [table.name for table in tables.kinds]

    def build(self) -> Inventory:
        """Return the inventory; raise InvalidInventoryError for the first thing that is wrong."""
        self._check_unique("kinds", self.kind_names)
        self._check_unique("islands", [table.name for table in self.tables.islands])
        for kind in self.tables.kinds:
            self._check_kind(kind)
        inventory = Inventory(
            kinds=tuple(
                Kind(kind.name, kind.slots, kind.power, kind.ports, kind.carries)
                for kind in self.tables.kinds
            ),
            islands=tuple([self._island(table) for table in self.tables.islands]),
            units=tuple([unit for table in self.tables.units for unit in self._units(table)]),
            demand=tuple([self._demand(table) for table in self.tables.demand]),
            targets=tuple([self._target(table) for table in self.tables.targets]),
            cold_budget=self._cold_budget(),
        )
        for rule, detail in find_violations(inventory):
            raise InvalidInventoryError(
                f"{self.source}: {rule}: {detail}", REMEDIES[rule].format(self.source)
            )
        return inventory

    def _check_known(self, kind: str, key: str) -> None:
        if kind in self.kind_names:
            return
        nearest = get_close_matches(kind, self.kind_names, 1)
        raise InvalidInventoryError(
            f"{self.source}: {key}: no kind is called `{kind}`",
            f"write `{nearest[0]}` at {key} in {self.source}"
            if nearest
            else f"add it to [[kinds]] in {self.source}, "
            f"or write one of {', '.join(self.kind_names)} at {key}",
        )

    def _check_unique(self, key: str, names: list[str]) -> None:
        for name in names:
            if names.count(name) > 1:
                raise InvalidInventoryError(
                    f"{self.source}: {key}: `{name}` stands there twice",
                    f"give each of {key} in {self.source} a name of its own",
                )

    def _check_kind(self, kind: KindTable) -> None:
        for key, value, least in (
            ("slots", kind.slots, 1),
            ("power", kind.power, 0),
            ("ports", kind.ports, 0),
            ("carries", kind.carries, 0),
        ):
            if value < least:
                raise InvalidInventoryError(
                    f"{self.source}: kinds.{kind.name}.{key}: {value} stands there",
                    f"write {least} or more at {key} of that kind in {self.source}",
                )

    def _island(self, table: IslandTable) -> Island:
        for kind in table.kinds:
            self._check_known(kind, f"islands.{table.name}.kinds")
        if table.bays < 0:
            raise InvalidInventoryError(
                f"{self.source}: islands.{table.name}.bays: {table.bays}",
                f"write how many bays {table.name} has, 0 or more, in {self.source}",
            )
        return Island(
            name=table.name,
            zone=table.zone,
            bays=tuple(f"{table.name}/{n + 1}" for n in range(table.bays)),
            power=table.power,
            ports=table.ports,
            carries=table.carries,
            kinds=tuple(table.kinds),
            up=table.up,
        )

    def _units(self, table: UnitTable) -> Iterable[Unit]:
        self._check_known(table.kind, f"units.{table.name}.kind")
        if table.count != 1 and table.bay:
            raise InvalidInventoryError(
                f"{self.source}: units.{table.name}: {table.count} units in one bay",
                f"give each a row [[units]] with a bay of its own in {self.source}",
            )
        names = [table.name] if table.count == 1 else [f"{table.name}-{n + 1}" for n in range(table.count)]
        return [Unit(name, table.kind, table.state, table.bay) for name in names]

    def _demand(self, table: DemandTable) -> Demand:
        self._check_known(table.kind, "demand.kind")
        if not 0 <= table.low <= table.high or table.width < 1:
            raise InvalidInventoryError(
                f"{self.source}: demand of {table.kind}: "
                f"width {table.width}, low {table.low}, high {table.high}",
                f"write there in {self.source} 1 or more at width, "
                "and 0 or more and no more than high at low",
            )
        return Demand(table.kind, table.width, table.low, table.high)

    def _target(self, table: TargetTable) -> Target:
        self._check_known(table.kind, "targets.kind")
        return Target(table.kind, table.width)

    def _cold_budget(self) -> int:
        if self.tables.cold < 1:
            raise InvalidInventoryError(
                f"{self.source}: cold: {self.tables.cold}",
                f"write how many units may be cold at once, 1 or more, at cold in {self.source}",
            )
        return self.tables.cold
