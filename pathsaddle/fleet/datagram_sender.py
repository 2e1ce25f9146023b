"""Makes the datagrams that a member sends: fills them with records to pass on, and keeps the rate limit.

A part of the rate limit is reserved by importance: probes and answers come first, then records to pass on,
pages that answer, and pages that ask. All of them come before gossip (`fleet/gossip/gossip.py`), which uses
whatever is left.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pathsaddle.fleet.dissemination import Dissemination
from pathsaddle.fleet.last_seen_log import LastSeenLog
from pathsaddle.fleet.messages import (
    ALIVE,
    MAX_DATAGRAM_BYTES,
    OVERHEAD,
    AddressedDatagram,
    MemberRecord,
    Message,
    MessageKind,
    SeenAge,
    encode,
    size_of,
)
from pathsaddle.fleet.rate_limiter import RateLimiter

DISSEMINATION_RESERVE = 0.25  # share of the rate limit that records to pass on leave to others
HEADER_BYTES = 150  # room for a message's other fields
SEEN_AGE_BYTES = 40  # room for one `SeenAge`


@dataclass(slots=True)
class Draft:
    """A datagram to be made.

    Attributes:
        address: Where it goes.
        recipient: The name of the member there; empty where only its address is known.
        kind: The kind of message.
        echo: See `Message.echo`.
        subject: See `Message.subject`.
        after: See `Message.after`.
        up_to: See `Message.up_to`.
        records: Records that it has to contain.
        reserve: The share of the rate limit that it leaves to others.
        seen: Reports that it has to contain; None: answers report who was seen lately, other kinds nothing.
    """

    address: str
    recipient: str
    kind: MessageKind
    echo: int = 0
    subject: str = ""
    after: str = ""
    up_to: str = ""
    records: list[MemberRecord] = field(default_factory=list)
    reserve: float = 0.0
    seen: list[SeenAge] | None = None


class DatagramSender:
    """Encodes drafts into the list of datagrams that the driver sends.

    Attributes:
        out: (address, datagram) to be sent now, in this order.
    """

    def __init__(
        self, dissemination: Dissemination, last_seen_log: LastSeenLog, rate_limiter: RateLimiter
    ) -> None:
        self.dissemination, self.last_seen_log, self.rate_limiter = dissemination, last_seen_log, rate_limiter
        self.table = dissemination.table
        self.number = 0
        self.out: list[AddressedDatagram] = []

    def send(self, draft: Draft, now: int) -> bool:
        """Makes one datagram and has it sent.

        Returns:
            Whether it is sent; False: the rate limit has nothing left for it in this second.
        """
        table, options = self.table, self.table.options
        if table.is_silent:
            return False
        seen = self._seen_ages(draft, now)
        records = self._records(draft, seen, now)
        self.number += 1
        message = Message(
            options.fleet,
            table.me,
            self.number,
            draft.recipient,
            draft.kind,
            draft.echo,
            draft.subject,
            draft.after,
            draft.up_to,
            seen,
            records,
        )
        data = encode(message, options.key)
        if len(data) > MAX_DATAGRAM_BYTES or not self.rate_limiter.try_consume(len(data), now, draft.reserve):
            table.count("held back")
            return False
        for record in records:
            self.dissemination.note_sent(record.name)
        self.out.append((draft.address, data))
        return True

    def send_to(
        self, record: MemberRecord, kind: MessageKind, now: int, echo: int, subject: str = ""
    ) -> None:
        """Sends a message to the member that a record is of, as far as the rate limit allows."""
        self.send(Draft(record.address, record.name, kind, echo, subject), now)

    def _seen_ages(self, draft: Draft, now: int) -> list[SeenAge]:
        if draft.seen is not None:
            return draft.seen
        if draft.kind in (MessageKind.ACK, MessageKind.PAGE_REPLY):
            return self.last_seen_log.recent_ages(now)
        return []

    def _records(self, draft: Draft, seen: list[SeenAge], now: int) -> list[MemberRecord]:
        """Returns the draft's records, what the recipient is accused of, and records to pass on."""
        records = list(draft.records)
        member = self.table.members.get(draft.recipient)
        if (
            member is not None
            and member.record.state != ALIVE
            and not member.is_local
            and self.table.options.lifeguard
        ):
            records.append(member.record)  # the accused is told first (Lifeguard)
        free_bytes = MAX_DATAGRAM_BYTES - OVERHEAD - HEADER_BYTES - size_of(self.table.me)
        free_bytes -= len(draft.after) + len(draft.up_to) + SEEN_AGE_BYTES * len(seen)
        free_bytes -= sum(map(size_of, records))
        # Probes and answers before dissemination: two hundred members that began at once had nothing left to
        # answer with.
        if self.rate_limiter.can_consume(MAX_DATAGRAM_BYTES, now, DISSEMINATION_RESERVE):
            excluded = {record.name for record in records}
            records += self.dissemination.select(draft.recipient, free_bytes, excluded)
        return records
