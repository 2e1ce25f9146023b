"""The subscribers that ask one config server. Used by `server.py` and `proposer.py`. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from pathsaddle.settings.documents import RevisionId

MAX_SUBSCRIBERS = 1024  # that a server answers


@dataclass(frozen=True)
class SubscriberRecord:
    """A subscriber that asks this server.

    Attributes:
        requested_at: When it last did, in ticks.
        applied: What it has, by its own acknowledgement.
        proposal_digest: Of the last proposal that was sent to it.
    """

    requested_at: int
    applied: RevisionId
    proposal_digest: str = ""


class SubscriberTable:
    """The records by name, MAX_SUBSCRIBERS at most."""

    def __init__(self) -> None:
        """Starts empty: subscribers make themselves known."""
        self.records: dict[str, SubscriberRecord] = {}

    def can_add(self, name: str) -> bool:
        """Whether the subscriber is there, or may come."""
        return len(self.records) < MAX_SUBSCRIBERS or name in self.records

    def on_request(self, name: str, applied: RevisionId, now: int) -> None:
        """Notes that a subscriber asked; what it has counts here if it is a new one."""
        record = self.records.get(name)
        self.records[name] = (
            replace(record, requested_at=now) if record is not None else SubscriberRecord(now, applied)
        )

    def on_applied(self, name: str, applied: RevisionId) -> bool:
        """Notes what a subscriber has; whether it is one that asks here."""
        record = self.records.get(name)
        if record is None:
            return False
        if record.applied != applied:
            self.records[name] = replace(record, applied=applied)
        return True

    def on_proposal_sent(self, name: str, digest: str) -> None:
        """Notes the last proposal that was sent to a subscriber."""
        self.records[name] = replace(self.records[name], proposal_digest=digest)

    def forget_before(self, requested_at: int) -> None:
        """Forgets those that last asked at that time, in ticks, or earlier."""
        self.records = {
            name: record for name, record in self.records.items() if record.requested_at > requested_at
        }
