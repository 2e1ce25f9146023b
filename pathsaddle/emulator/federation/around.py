"""The world as its members, keepers and pools see it: neither knows the other's whole."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from pathsaddle.emulator.federation.ground import Ground
from pathsaddle.emulator.federation.plans import Plan
from pathsaddle.leased_versions import AppliedAck, Version


class KeeperMan(Protocol):
    @property
    def region(self) -> str: ...

    def hears(self, have: AppliedAck) -> None: ...


class World(Protocol):
    plan: Plan
    ground: Ground
    forced: int  # the highest version told in force
    register: list[Version]
    waiting: dict[str, list[tuple[int, Callable[[int], None]]]]  # by member, of those that stand still
    alive: dict[str, bool]  # regions
    work: dict[str, int]  # of each txn, ticks

    @property
    def pools(self) -> dict[str, Any]:
        """The workers of each region, a Pool each."""

    @property
    def members(self) -> dict[str, Any]:
        """By name, a Member each."""

    @property
    def by_region(self) -> dict[str, list[Any]]: ...

    @property
    def keepers(self) -> dict[str, Any]:
        """By region, a KeeperMan each."""

    def log(self, what: str, **more: Any) -> None: ...

    def ages(self, region: str) -> dict[str, int]:
        """How old each copy of data is there, ticks."""
