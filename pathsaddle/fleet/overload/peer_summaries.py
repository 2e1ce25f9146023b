"""The latest load summary of each peer.

The admission gate owns it; the driver and the emulators hand in records.
"""

from __future__ import annotations

from dataclasses import dataclass

from pathsaddle.fleet.overload.errors import InvalidSummaryError
from pathsaddle.fleet.overload.load_summary import LoadSummary, decode_summary
from pathsaddle.fleet.overload.shed_level import SUMMARY_TTL_TICKS


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """One gossip record under the topic of load, as the gossip layer has it.

    Attributes:
        member: The name of the member that wrote it.
        incarnation: The incarnation of that member.
        version: The version of the record within the incarnation.
        body: The encoded load summary.
        min_age_ticks: The least age that the record can have.
        max_age_ticks: The greatest age that it can have; None where that is unknown.
    """

    member: str
    incarnation: int
    version: int
    body: bytes
    min_age_ticks: int
    max_age_ticks: int | None


@dataclass(frozen=True, slots=True)
class PeerSummary:
    """A decoded summary.

    Attributes:
        incarnation: The incarnation of the member that wrote it.
        version: The version of its record within the incarnation.
        summary: The summary.
        written_at: The tick at which it was written at the earliest.
    """

    incarnation: int
    version: int
    summary: LoadSummary
    written_at: int


class PeerSummaries:
    """The latest summary of each peer, by name.

    A member that is not heard keeps its share of the capacity; nothing that others say of it counts. An age
    that is stated too low makes the level older and breaks no bound.
    """

    def __init__(self) -> None:
        self.latest: dict[str, PeerSummary] = {}

    def store_record(self, record: PeerRecord, now: int) -> None:
        """Store a record unless a later one is known; skip it where it can't be decoded.

        The summary counts for `SUMMARY_TTL_TICKS` from when it was written at the earliest, or from when it
        came where that is unknown.
        """
        if not self._is_later(record.member, record.incarnation, record.version):
            return
        try:
            summary = decode_summary(record.body)
        except InvalidSummaryError:
            return
        age_ticks = record.min_age_ticks if record.max_age_ticks is None else record.max_age_ticks
        self.latest[record.member] = PeerSummary(record.incarnation, record.version, summary, now - age_ticks)

    def store_summary(self, member: str, summary: PeerSummary) -> None:
        """Store a summary that is decoded already, unless a later one is known."""
        if self._is_later(member, summary.incarnation, summary.version):
            self.latest[member] = summary

    def fresh(self, now: int) -> list[LoadSummary]:
        """Return the summaries that still count."""
        return [peer.summary for peer in self.latest.values() if now - peer.written_at < SUMMARY_TTL_TICKS]

    def _is_later(self, member: str, incarnation: int, version: int) -> bool:
        known = self.latest.get(member)
        return known is None or (incarnation, version) > (known.incarnation, known.version)
