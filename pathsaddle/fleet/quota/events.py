"""What happens inside the quota limiter and is worth a line in the log, one class for each kind.

The limiter appends them to `QuotaLimiter.notes`; the driver (`fleet/udp_driver.py`) counts and logs them.
`what` and `why` are members of the log line `fleet-budget`, and `what` the end of the counter
`fleet.budget.*`; they must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar, TypeAlias

TICKS_PER_MILLISECOND = 10


@dataclass(frozen=True)
class QuotaShort:
    """A use was refused: more is wanted than is usable; reported every ten seconds at most."""

    what: ClassVar[str] = "short"
    budget: str
    usable: int
    wanted: int  # units a second

    @property
    def why(self) -> str:
        """The reason, for the log."""
        return f"{self.wanted} wanted in a second"


@dataclass(frozen=True)
class PeersLost:
    """No other member was heard for a lease: we go by our own part."""

    what: ClassVar[str] = "alone"
    budget: str
    usable: int
    silent_ticks: int

    @property
    def why(self) -> str:
        """The reason, for the log."""
        return f"nobody heard for {self.silent_ticks // TICKS_PER_MILLISECOND} ms"


@dataclass(frozen=True)
class PeersRestored:
    """Other members are heard again."""

    what: ClassVar[str] = "back"
    budget: str
    usable: int

    @property
    def why(self) -> str:
        """The reason, for the log."""
        return "others are heard"


QuotaEvent: TypeAlias = QuotaShort | PeersLost | PeersRestored
