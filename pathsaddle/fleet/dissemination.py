"""SWIM's dissemination: records that have changed are passed on with the datagrams that are sent anyway."""

from __future__ import annotations

from math import ceil, log10

from pathsaddle.fleet.member_table import MemberTable
from pathsaddle.fleet.messages import MemberRecord, size_of

RETRANSMIT_MULTIPLIER = (
    4  # a record is sent so many times the logarithm of the fleet's size (memberlist's factor)
)


class Dissemination:
    """Which members' records are still to be passed on.

    Attributes:
        pending: By member's name, how often its record has been sent.
    """

    def __init__(self, table: MemberTable) -> None:
        self.table = table
        self.pending: dict[str, int] = {}

    def spread(self, name: str) -> None:
        """Has a member's record passed on from now on."""
        self.pending[name] = 0

    def drop(self, name: str) -> None:
        """Stops passing on a member's record."""
        self.pending.pop(name, None)

    def select(self, recipient: str, free_bytes: int, excluded: set[str]) -> list[MemberRecord]:
        """Returns the records that were sent least often so far, as many as there is room for.

        Our own record is in each datagram. A judgement that we keep to ourselves is not sent, nor is a record
        to the member that it is about.
        """
        records: list[MemberRecord] = []
        for name in sorted(self.pending, key=self.pending.__getitem__):
            member = self.table.members.get(name)
            if member is None or member.is_local or name in excluded or name == recipient:
                continue
            free_bytes -= size_of(member.record)
            if free_bytes < 0:
                break
            records.append(member.record)
        return records

    def note_sent(self, name: str) -> None:
        """Counts that a record was sent; it is dropped once it was sent often enough."""
        if name not in self.pending:
            return
        self.pending[name] += 1
        if self.pending[name] >= RETRANSMIT_MULTIPLIER * ceil(log10(self.table.size() + 1)):
            del self.pending[name]
