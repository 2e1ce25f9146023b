"""What config servers and subscribers have in common.

Both have a name, a store, an outbox, and documents that come in chunks.

The cores know no I/O. What a driver must do:

- Hand in each message, decoded and from a known sender, by `on_message(message, now)`. Call `wake(now)`
  when the time that the last call returned has come; each call returns the next one. Sooner does no harm,
  later delays and breaks nothing.
- After each call take `take_output()`: first do all of its writes, in order, and sync the disk; only then
  send its messages, in order; then act by its events. An applied acknowledgement, or a sync request, names
  what is on disk: sent before the sync, a subscriber that starts again from its older disk would act on
  what was proven to be over. Where the disk can't be written: send nothing of that output, and end the
  process.
- `now`: ticks of a tenth of a millisecond of one monotonic clock that goes on while the process stands
  still and drifts by less than 2% (MAX_CLOCK_DRIFT). The incarnation is higher than that of any earlier run
  under the name: the wall clock in milliseconds will do, but for a clock that was set back, so the last one
  is kept on disk.
- The rate limiter is this process's own, for all that it sends of settings. What it does not pay for waits
  in a queue (catch-up, repeats) or is dropped (answers: they are asked for again). A limiter of less than
  4,800 bytes a second never pays for a whole datagram of catch-up (half stands ready, half of that is left
  to answers): give it more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from pathsaddle.settings.chunks import ChunkReceiver
from pathsaddle.settings.messages import Message, size_of
from pathsaddle.settings.output import Outbox, Output, SendBudget
from pathsaddle.settings.store import Store
from pathsaddle.settings.timing import DEFAULT_LEASE_TICKS


@dataclass(frozen=True)
class PeerConfig:
    """What a core is told at its start.

    Attributes:
        name: Of this process.
        region: Where it runs.
        incarnation: Of this run; higher than that of any earlier one under the name.
        servers: For a subscriber all servers, nearest first, one at least; for a server the others.
        lease_ticks: Of the subscribers; for a server the longest of them.
    """

    name: str
    region: str
    incarnation: int
    servers: tuple[str, ...]
    lease_ticks: int = DEFAULT_LEASE_TICKS


@dataclass(frozen=True)
class PeerResources:
    """What a core takes from its environment.

    Attributes:
        rng: One seeded generator; all that is drawn comes from it.
        rate_limiter: Pays for all that is sent.
        size_of: The bytes that a message takes with its envelope.
    """

    rng: Random
    rate_limiter: SendBudget
    size_of: Callable[[Message], int] = size_of


class SyncPeer:
    """The base of ConfigServer and ConfigSubscriber."""

    def __init__(self, config: PeerConfig, store: Store, resources: PeerResources) -> None:
        """Takes over the store: it is the core's from now on."""
        self.name, self.region, self.incarnation = config.name, config.region, config.incarnation
        self.lease_ticks = config.lease_ticks
        self.store, self.rng = store, resources.rng
        self.outbox = Outbox(resources.rate_limiter, resources.size_of)
        self.chunks = ChunkReceiver(self.name, self.outbox, self.rng)

    def take_output(self) -> Output:
        """Returns what was collected since the last call, and empties it."""
        return self.outbox.take()
