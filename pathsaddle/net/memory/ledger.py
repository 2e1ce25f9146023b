"""The open txns and postings: ids to objects, and one outcome for each posting."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from pathsaddle.net.wire.http import Message
from pathsaddle.scheduler_types import Posting, Scheme, Txn

SPENT = 4096  # ids of txns that are over: as many as come in the longest expiry, and no memory to speak of
Answer = Callable[[int, bytes, tuple[str, ...], bool], None]


class Sending(Protocol):
    """The bytes of one call on their way."""

    @property
    def whole(self) -> bool:
        """Whether the kernel has taken the last of them: from then on the call may have run."""


@dataclass(slots=True, eq=False)
class Whole:
    """What is known by other means than a socket of ours to be with its worker, or not."""

    whole: bool = True


@dataclass(slots=True, eq=False)
class Exchange:
    """A posting on its way: what a worker has been sent for it, and what came back."""

    posting: Posting
    entry: Entry
    within: int
    begun: bool = False  # its first byte is out
    sending: Sending | None = None  # from its first byte on
    accepted: bool = False  # the worker has said 202: it is withdrawn by a call, no more by closing
    alarm: asyncio.TimerHandle | None = None
    task: asyncio.Task[None] | None = None

    @property
    def sent(self) -> bool:
        """Its last byte is out, by what the kernel took and not by where a task of ours stands: it may have run."""
        return self.sending is not None and self.sending.whole


@dataclass(slots=True, eq=False)
class Entry:
    """A txn as it came, and the connection that waits for its answer."""

    txn: Txn
    call: Message
    answer: Answer | None
    exchanges: list[Exchange] = field(default_factory=list)

    @property
    def done(self) -> bool:
        return self.txn.is_closed and not any(exchange.posting.is_in_flight for exchange in self.exchanges)


class Ledger:
    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._spent: dict[str, None] = {}

    def knows(self, tag: str) -> bool:
        """Open, or over lately. An id is new with every call: what runs again under an old one is somebody
        else's, and its postings would be taken for repeats of the first.
        """
        return tag in self._entries or tag in self._spent

    def __contains__(self, tag: str) -> bool:
        return tag in self._entries

    def __getitem__(self, tag: str) -> Entry:
        return self._entries[tag]

    def open(self, entry: Entry) -> None:
        self._entries[entry.txn.tag] = entry

    def close(self, entry: Entry) -> None:
        """Forgotten once the final answer is out and nothing runs for it any more."""
        if entry.done and self._entries.pop(entry.txn.tag, None) is not None:
            self._spent[entry.txn.tag] = None
            if len(self._spent) > SPENT:
                del self._spent[next(iter(self._spent))]

    def exchange(self, tag: str, worker: str) -> Exchange | None:
        """The posting that a worker's callback speaks of: the one that is out there, if any."""
        entry = self._entries.get(tag)
        if entry is not None:
            for exchange in reversed(entry.exchanges):
                if exchange.posting.worker.tag == worker and exchange.posting.is_in_flight:
                    return exchange
        return None

    def ambiguous(self, exchange: Exchange) -> bool:
        """Whether an earlier posting to the same worker was given up or lost: word from there may be about that one."""
        return any(
            other.posting.worker is exchange.posting.worker and other.posting.may_have_run
            for other in exchange.entry.exchanges
            if other is not exchange
        )

    def schemes(self) -> list[Scheme]:
        """By which something here was taken that is not over yet."""
        return list(dict.fromkeys(entry.txn.scheme for entry in self._entries.values()))

    def unanswered(self) -> list[Entry]:
        return [entry for entry in self._entries.values() if not entry.txn.is_closed]
