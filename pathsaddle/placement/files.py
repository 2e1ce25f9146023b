"""The inventory as an operator writes it (TOML), checked whole: each fault names its key and what may stand
there.
"""

from __future__ import annotations

import tomllib
from difflib import get_close_matches
from pathlib import Path
from typing import Any

import msgspec

from pathsaddle.errors import access, why
from pathsaddle.placement.errors import Key, NoToml, Unreadable, Untrue
from pathsaddle.placement.invariants import violations
from pathsaddle.placement.inventory import Demand, Inventory, Island, Kind, State, Target, Unit


class KindRow(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    slots: int
    power: int = 0
    ports: int = 0
    carries: int = 0


class IslandRow(msgspec.Struct, forbid_unknown_fields=True):
    """bays: how many; they are named ISLAND/1, ISLAND/2 and so on. A limit that is left out binds nothing."""

    name: str
    bays: int
    zone: str = ""
    power: int = 10**9
    ports: int = 10**9
    carries: int = 10**9
    kinds: list[str] = []
    up: bool = True


class UnitRow(msgspec.Struct, forbid_unknown_fields=True):
    """count: so many alike, named NAME-1, NAME-2; only for units in no bay."""

    name: str
    kind: str
    state: State = State.HERE
    bay: str = ""
    count: int = 1


class DemandRow(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    width: int
    low: int
    high: int


class TargetRow(msgspec.Struct, forbid_unknown_fields=True):
    kind: str
    width: int


class File(msgspec.Struct, forbid_unknown_fields=True):
    kinds: list[KindRow]
    islands: list[IslandRow]
    units: list[UnitRow] = []
    demand: list[DemandRow] = []
    targets: list[TargetRow] = []
    cold: int = 4


# What is done about each rule of `check.broken`.
MENDS = {
    "unit-twice": "give each of [[units]] in {} a name of its own",
    "kind-unknown": "write at kind of that unit in {} one that [[kinds]] names",
    "bay-missing": "write at bay of that unit in {} where it is, or another state",
    "bay-unknown": "write at bay of that unit in {} one of its island's, ISLAND/1 to ISLAND/ and its number of bays",
    "bay-kept": "take bay of that unit out of {}, or write at state how it stands there",
    "bay-twice": "write at bay of one of both units in {} where it truly is",
    "kind-misplaced": "write at bay of that unit in {} one of another island, or add its kind to kinds of that island",
    "power-over": "write at power of that island in {} what it truly has, or take units out of its bays",
    "ports-over": "write at ports of that island in {} what it truly has, or take units out of its bays",
    "carries-over": "write at carries of that island in {} what it truly has, or take units out of its bays",
    "cold-over": "raise cold in {}, or write at state of units that serve `serving`",
}
ROWS: dict[str, type[msgspec.Struct]] = {
    "kinds": KindRow,
    "islands": IslandRow,
    "units": UnitRow,
    "demand": DemandRow,
    "targets": TargetRow,
}


def read(path: Path) -> Inventory:
    """Raises Unreadable, NoToml, Key or Untrue."""
    told = table(path)
    try:
        file = msgspec.convert(told, File)
    except msgspec.ValidationError as fault:
        text, _, at = str(fault).partition(" - at ")
        at = at.strip("`").removeprefix("$.") or "the file's top"
        wrong = text.split("`")[1] if "unknown field" in text else ""
        row = ROWS.get(at.partition("[")[0], File)
        near = get_close_matches(wrong, row.__struct_fields__, 1) if wrong else []
        raise Key(
            f"{path}: {at}: {why(ValueError(text))}",
            f"write `{near[0]}` in place of `{wrong}` in {path}"
            if near
            else f"take `{wrong}` out of {path}; docs/placement.md has all keys"
            if wrong
            else f"write in {path} at {at} what docs/placement.md says of it",
        ) from None
    return inventory_of(file, str(path))


def table(path: Path) -> dict[str, Any]:
    """Raises Unreadable or NoToml."""
    try:
        return tomllib.loads(path.read_bytes().decode())
    except (OSError, UnicodeError) as fault:
        said = f"byte {fault.start} is no UTF-8" if isinstance(fault, UnicodeDecodeError) else why(fault)
        raise Unreadable("", access(fault, path), file=path, why=said) from None
    except tomllib.TOMLDecodeError as fault:
        raise NoToml(file=path, why=why(fault)) from None


def inventory_of(file: File, where: str) -> Inventory:
    kinds = tuple(Kind(row.name, row.slots, row.power, row.ports, row.carries) for row in file.kinds)
    names = [kind.name for kind in kinds]

    def known(kind: str, key: str) -> None:
        if kind not in names:
            near = get_close_matches(kind, names, 1)
            raise Untrue(
                f"{where}: {key}: no kind is called `{kind}`",
                f"write `{near[0]}` at {key} in {where}"
                if near
                else f"add it to [[kinds]] in {where}, or write one of {', '.join(names)} at {key}",
            )

    for what, rows in (("kinds", names), ("islands", [row.name for row in file.islands])):
        for name in rows:
            if rows.count(name) > 1:
                raise Untrue(
                    f"{where}: {what}: `{name}` stands there twice",
                    f"give each of {what} in {where} a name of its own",
                )
    for kind in kinds:
        if kind.slots < 1 or min(kind.power, kind.ports, kind.carries) < 0:
            key, least = (
                ("slots", 1)
                if kind.slots < 1
                else next((key, 0) for key in ("power", "ports", "carries") if getattr(kind, key) < 0)
            )
            raise Untrue(
                f"{where}: kinds.{kind.name}.{key}: {getattr(kind, key)} stands there",
                f"write {least} or more at {key} of that kind in {where}",
            )
    islands = []
    for row in file.islands:
        for at in row.kinds:
            known(at, f"islands.{row.name}.kinds")
        if row.bays < 0:
            raise Untrue(
                f"{where}: islands.{row.name}.bays: {row.bays}",
                f"write how many bays {row.name} has, 0 or more, in {where}",
            )
        islands.append(
            Island(
                row.name,
                row.zone,
                tuple(f"{row.name}/{n + 1}" for n in range(row.bays)),
                row.power,
                row.ports,
                row.carries,
                tuple(row.kinds),
                row.up,
            )
        )
    units = []
    for one in file.units:
        known(one.kind, f"units.{one.name}.kind")
        if one.count != 1 and one.bay:
            raise Untrue(
                f"{where}: units.{one.name}: {one.count} units in one bay",
                f"give each a row [[units]] with a bay of its own in {where}",
            )
        units += [
            Unit(one.name if one.count == 1 else f"{one.name}-{n + 1}", one.kind, one.state, one.bay)
            for n in range(one.count)
        ]
    for asked in file.demand:
        known(asked.kind, "demand.kind")
        if not 0 <= asked.low <= asked.high or asked.width < 1:
            raise Untrue(
                f"{where}: demand of {asked.kind}: width {asked.width}, low {asked.low}, high {asked.high}",
                f"write there in {where} 1 or more at width, and 0 or more and no more than high at low",
            )
    for target in file.targets:
        known(target.kind, "targets.kind")
    if file.cold < 1:
        raise Untrue(
            f"{where}: cold: {file.cold}",
            f"write how many units may be cold at once, 1 or more, at cold in {where}",
        )
    inventory = Inventory(
        kinds,
        tuple(islands),
        tuple(units),
        tuple(Demand(row.kind, row.width, row.low, row.high) for row in file.demand),
        tuple(Target(row.kind, row.width) for row in file.targets),
        cold=file.cold,
    )
    for name, what in violations(inventory):
        raise Untrue(f"{where}: {name}: {what}", MENDS[name].format(where))
    return inventory
