"""What a core wants done, and the outbox in which a core collects it.

Disk writes come first, then messages, then events.

The order is the contract with the driver: first all writes, in order, and a sync of the disk; only then the
messages, in order; then the events. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from msgspec import Struct

from pathsaddle.settings.documents import ChangeSet, Snapshot
from pathsaddle.settings.events import Event
from pathsaddle.settings.messages import Message


class DiskWrite(Struct, frozen=True):
    """Something to be put on disk and synced before any message of the same output is sent.

    Attributes:
        changeset: Is appended to the committed log, or kept beside it as a proposal (a server's).
        snapshot: Takes the place of entries and log; later change sets follow it.
        is_committed: Whether `changeset` belongs to the log.
        replaced_digests: Of the proposals that made room for this one.
    """

    changeset: ChangeSet | None = None
    snapshot: Snapshot | None = None
    is_committed: bool = True
    replaced_digests: tuple[str, ...] = ()


class AddressedMessage(NamedTuple):
    """A message, and the server or subscriber to which it goes."""

    recipient: str
    message: Message


class Output(Struct, frozen=True):
    """What one or several calls of a core want done, in this order.

    Attributes:
        writes: To be put on disk and synced.
        messages: To be sent then, each with its recipient's name.
        events: What happened.
    """

    writes: tuple[DiskWrite, ...]
    messages: tuple[AddressedMessage, ...]
    events: tuple[Event, ...]


class SendBudget(Protocol):
    """What pays for datagrams; `fleet.rate_limiter.RateLimiter` does it."""

    def try_consume(self, size: int, now: int, spare: float = 0.0) -> bool:
        """Takes `size` bytes and one datagram, if `spare` of what stands ready is left then.

        Returns whether it did.
        """


class Outbox:
    """Collects a core's output, and pays for its messages."""

    def __init__(self, rate_limiter: SendBudget, size_of: Callable[[Message], int]) -> None:
        """Starts empty.

        Args:
            rate_limiter: Of this process, for all that it sends of settings.
            size_of: The bytes that a message takes with its envelope.
        """
        self.rate_limiter, self.size_of = rate_limiter, size_of
        self.writes: list[DiskWrite] = []
        self.messages: list[AddressedMessage] = []
        self.events: list[Event] = []

    def write(self, write: DiskWrite) -> None:
        """Adds a disk write."""
        self.writes.append(write)

    def report(self, event: Event) -> None:
        """Adds an event."""
        self.events.append(event)

    def send(self, recipient: str, message: Message, now: int, reserve: float = 0.0) -> bool:
        """Adds a message if the rate limiter pays for it.

        Args:
            recipient: A server's or subscriber's name.
            message: What is sent.
            now: Ticks.
            reserve: The part of what the limiter has ready that is left to others.

        Returns:
            Whether it was paid for; if not, nothing was added.
        """
        if not self.rate_limiter.try_consume(self.size_of(message), now, reserve):
            return False
        self.messages.append(AddressedMessage(recipient, message))
        return True

    def take(self) -> Output:
        """Returns what was collected since the last call, and empties the outbox."""
        output = Output(tuple(self.writes), tuple(self.messages), tuple(self.events))
        self.writes, self.messages, self.events = [], [], []
        return output
