"""The inventory as an operator writes it (TOML), checked whole: each fault names its key and what may stand
there."""

from __future__ import annotations

import tomllib
from difflib import get_close_matches
from pathlib import Path

import msgspec

from pathsaddle.placement.check import broken
from pathsaddle.placement.faults import Unreadable, Untrue
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
    power: int = 10 ** 9
    ports: int = 10 ** 9
    carries: int = 10 ** 9
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


KEYS = ("kinds", "islands", "units", "demand", "targets", "cold", "name", "slots", "power", "ports", "carries", "bays",
        "zone", "up", "kind", "state", "bay", "count", "width", "low", "high")


def read(path: Path) -> Inventory:
    """Raises Unreadable or Untrue, with what an operator can do."""
    try:
        told = tomllib.loads(path.read_text())
    except OSError as fault:
        raise Unreadable(f"{path}: {fault.strerror}", "name a file that is there and that this user may read") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as fault:
        raise Unreadable(f"{path}: {fault}", "set the file right at that line: it is not TOML") from None
    try:
        file = msgspec.convert(told, File)
    except msgspec.ValidationError as fault:
        text = str(fault)
        wrong = text.split("`")[1] if "unknown field" in text else ""
        near = get_close_matches(wrong, KEYS, 1) if wrong else []
        raise Unreadable(f"{path}: {text}", f"did you mean `{near[0]}`?" if near else
                         "set that key right; docs/placement.md lists all") from None
    return inventory_of(file, str(path))


def inventory_of(file: File, where: str) -> Inventory:
    kinds = tuple(Kind(row.name, row.slots, row.power, row.ports, row.carries) for row in file.kinds)
    names = [kind.name for kind in kinds]

    def known(kind: str, key: str) -> None:
        if kind not in names:
            near = get_close_matches(kind, names, 1)
            raise Untrue(f"{where}: {key}: no kind `{kind}`", f"did you mean `{near[0]}`?" if near else
                         "add it to [[kinds]], or name one of " + ", ".join(names))
    for what, rows in (("kinds", names), ("islands", [row.name for row in file.islands])):
        for name in rows:
            if rows.count(name) > 1:
                raise Untrue(f"{where}: {what}: `{name}` stands there twice", "give each a name of its own")
    for kind in kinds:
        if kind.slots < 1 or min(kind.power, kind.ports, kind.carries) < 0:
            raise Untrue(f"{where}: kinds.{kind.name}: slots must be 1 or more, the rest 0 or more", "set them right")
    islands = []
    for row in file.islands:
        for at in row.kinds:
            known(at, f"islands.{row.name}.kinds")
        if row.bays < 0:
            raise Untrue(f"{where}: islands.{row.name}.bays: {row.bays}", "say how many bays it has: 0 or more")
        islands.append(Island(row.name, row.zone, tuple(f"{row.name}/{n + 1}" for n in range(row.bays)),
                              row.power, row.ports, row.carries, tuple(row.kinds), row.up))
    units = []
    for one in file.units:
        known(one.kind, f"units.{one.name}.kind")
        if one.count != 1 and one.bay:
            raise Untrue(f"{where}: units.{one.name}: {one.count} units in one bay", "give each a row with its own bay")
        units += [Unit(one.name if one.count == 1 else f"{one.name}-{n + 1}", one.kind, one.state, one.bay)
                  for n in range(one.count)]
    for asked in file.demand:
        known(asked.kind, "demand.kind")
        if not 0 <= asked.low <= asked.high or asked.width < 1:
            raise Untrue(f"{where}: demand of {asked.kind}: width {asked.width}, low {asked.low}, high {asked.high}",
                         "width is 1 or more, and low at most high")
    for target in file.targets:
        known(target.kind, "targets.kind")
    if file.cold < 1:
        raise Untrue(f"{where}: cold: {file.cold}", "say how many units may be cold at once: 1 or more")
    inventory = Inventory(kinds, tuple(islands), tuple(units),
                          tuple(Demand(row.kind, row.width, row.low, row.high) for row in file.demand),
                          tuple(Target(row.kind, row.width) for row in file.targets), cold=file.cold)
    for name, what in broken(inventory):
        raise Untrue(f"{where}: {name}: {what}", "set those rows right: this can't be so")
    return inventory
