"""Where hollow members stand: regions, their zones, and how long a datagram takes from one to another.

The target's places: 8 regions with 25 zones. Members are dealt out over the zones in turn, so that a zone has a
25th of them and a region about an eighth.
"""

from __future__ import annotations

from dataclasses import dataclass

REGIONS, ZONES = 8, 25
WITHIN_ZONE, WITHIN_REGION, BETWEEN = 0.001, 0.010, 0.080  # seconds, one way


@dataclass(frozen=True)
class Place:
    """`name`: as long as operators' names are, since each datagram holds some."""

    number: int

    @property
    def zone_number(self) -> int:
        return self.number % ZONES

    @property
    def region(self) -> int:
        return self.zone_number % REGIONS

    @property
    def zone(self) -> str:
        return f"r{self.region}-z{self.zone_number:02}"

    @property
    def name(self) -> str:
        return f"{self.zone}-d{self.number:03}"

    @property
    def address(self) -> str:
        return f"10.3.{self.number >> 8}.{self.number & 255}:7100"

    def way(self, other: Place) -> float:
        """Seconds that a datagram takes to the other."""
        if self.zone_number == other.zone_number:
            return WITHIN_ZONE
        return WITHIN_REGION if self.region == other.region else BETWEEN


def places(count: int) -> list[Place]:
    return [Place(number) for number in range(count)]
