"""A member and its ground, as whoever decides there sees them: neither knows the other's whole."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from typing import Any, Protocol

from pathsaddle.event_log import EventLog


class Around(Protocol):
    now: int

    @property
    def seed(self) -> int: ...

    @property
    def events(self) -> EventLog: ...

    @property
    def members(self) -> Sequence[Any]:
        """All of them, each a Member."""

    @property
    def cut(self) -> Collection[int]:
        """Numbers of those that hear nobody."""

    def tells(self, member: Any, send: Callable[[Any], None], size: int) -> None: ...

    def asks(self, one: Any, other: int, budget: str, said: Any) -> None: ...


class Member(Protocol):
    number: int
    name: str

    @property
    def ground(self) -> Around: ...

    @property
    def policy(self) -> Any: ...

    @property
    def out(self) -> Sequence[int]:
        """Postings out, by worker."""

    @property
    def held(self) -> Sequence[Any]: ...

    def sees(self) -> tuple[float, float, float]:
        """Slots that may be kept busy; what part of those seen lately is idle; jobs in line for each slot."""
