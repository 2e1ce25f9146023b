"""The open txns and their postings, found by the ids that clients and workers use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from pathsaddle.net.memory.closed_ids import ClosedIds
from pathsaddle.net.wire.http import Message
from pathsaddle.scheduler_types import Outcome, Posting, Scheme, Txn

MAX_REFUSED_IDS_BYTES = 128 * 1024
Answer = Callable[[int, bytes, tuple[str, ...], bool], None]


class Sending(Protocol):
    """The transmission of one request to a worker."""

    @property
    def is_complete(self) -> bool:
        """Whether the kernel has accepted the last byte; from then on the request may have run."""


class ClientSocket(Protocol):
    """The socket of a client's connection."""

    def has_peer_closed(self) -> bool:
        """Return whether the next to be read is the client's close."""

    def has_unread_input(self) -> bool:
        """Return whether there is input that is not read yet, perhaps with a close behind it."""


@dataclass(slots=True, eq=False)
class KnownSending:
    """A transmission whose state is known without a socket of this process, as after a restart."""

    is_complete: bool = True


@dataclass(slots=True, eq=False)
class Exchange:
    """A posting in progress: what has been sent to its worker, and what the worker has answered."""

    posting: Posting
    entry: Entry
    timeout_ticks: int
    sending: Sending | None = None  # set from the first byte on
    is_accepted: bool = (
        False  # the worker answered 202: cancelling takes a request, closing no longer suffices
    )
    timer: asyncio.TimerHandle | None = None
    task: asyncio.Task[None] | None = None
    reported_outcome: Outcome | None = None  # in the callback that ended the posting; it may be repeated
    is_given_up: bool = False  # it is being withdrawn from its worker, and ends after that

    @property
    def is_sent(self) -> bool:
        """Whether the last byte is sent, so that the posting may have run.

        Decided by the bytes that the kernel has accepted: the sending task resumes only later.
        """
        return self.sending is not None and self.sending.is_complete

    def may_still_report(self, outcome: Outcome) -> bool:
        """Return whether the worker may yet send a callback with this outcome for the ended posting.

        A worker reports one outcome and repeats that callback until it is answered; the answer may be lost.
        If no callback has ended the posting, any may come, unless its request was never complete or its
        answer was a rejection.
        """
        if self.reported_outcome is not None:
            return outcome is self.reported_outcome
        return self.is_sent and self.posting.outcome is not Outcome.FULL


@dataclass(slots=True, eq=False)
class Entry:
    """A txn, the client's request as received, and the callback that answers its connection.

    `earlier_workers` names the workers that had postings of it under an earlier process, of which no exchange
    is known here; their callbacks may still come. `client` is the connection that the client waits on.
    """

    txn: Txn
    request: Message
    answer: Answer | None
    exchanges: list[Exchange] = field(default_factory=list)
    earlier_workers: frozenset[str] = frozenset()
    client: ClientSocket | None = None

    @property
    def has_client_left(self) -> bool:
        """Whether the next to be read of the client's connection is its close."""
        return self.answer is not None and self.client is not None and self.client.has_peer_closed()

    @property
    def has_unread_input(self) -> bool:
        """Whether the client has sent more than its request, which is not read yet."""
        return self.answer is not None and self.client is not None and self.client.has_unread_input()

    @property
    def is_done(self) -> bool:
        """Whether the txn is closed and none of its postings is in flight."""
        return self.txn.is_closed and not any(exchange.posting.is_in_flight for exchange in self.exchanges)


class Ledger:
    """The open txns by id, and the ids of closed ones.

    Attributes:
        closed_ids: Those of the closed ones that may have run, for as long as a repeat may come.
        refused_ids: Those of the last ones that never ran: a repeat of them does no harm, so that a flood of
            them takes no room from the others.
    """

    def __init__(self, now: Callable[[], int], id_lifetime: Callable[[Txn], int]) -> None:
        """Hold no txn yet.

        Args:
            now: Returns the time, in ticks.
            id_lifetime: Returns for how long the id of a txn that closes now must be known, in ticks.
        """
        self._now = now
        self._id_lifetime = id_lifetime
        self._entries: dict[str, Entry] = {}
        self.closed_ids, self.refused_ids = ClosedIds(), ClosedIds(MAX_REFUSED_IDS_BYTES)

    def has_seen(self, tag: str) -> bool:
        """Return whether a txn with this id is open, or was closed and may come again.

        Clients use a new id for each call. A call with an id that was used before belongs to someone else,
        and workers would take its postings for repeats of the first.
        """
        return tag in self._entries or tag in self.closed_ids or tag in self.refused_ids

    @property
    def is_full(self) -> bool:
        """Whether the id of one more txn could not be remembered without forgetting one that is needed."""
        return not self.closed_ids.has_room(len(self._entries), self._now())

    def __contains__(self, tag: str) -> bool:
        return tag in self._entries

    def __getitem__(self, tag: str) -> Entry:
        return self._entries[tag]

    def open(self, entry: Entry) -> None:
        """Add a txn."""
        self._entries[entry.txn.tag] = entry

    def close(self, entry: Entry) -> None:
        """Remove a txn if its final answer is sent and none of its postings is in flight; keep its id."""
        if entry.is_done and self._entries.pop(entry.txn.tag, None) is not None:
            self.remember(entry.txn, any(posting.may_have_run for posting in entry.txn.postings))
            # They refer back, so that all of it would be in memory until the garbage collector runs.
            entry.exchanges.clear()
            entry.txn.postings.clear()

    def remember(self, txn: Txn, may_have_run: bool) -> None:
        """Keep the id of a txn that is closed."""
        now = self._now()
        if may_have_run:
            self.closed_ids.add(txn.tag, now + self._id_lifetime(txn), now)
        else:
            self.refused_ids.add(txn.tag, now, now)

    def find_exchange(self, tag: str, worker: str) -> Exchange | None:
        """Return the posting in flight that a worker's callback refers to, if there is one."""
        entry = self._entries.get(tag)
        if entry is not None:
            for exchange in reversed(entry.exchanges):
                if exchange.posting.worker.tag == worker and exchange.posting.is_in_flight:
                    return exchange
        return None

    def is_ambiguous(self, exchange: Exchange, outcome: Outcome) -> bool:
        """Return whether a callback with this outcome may be about an earlier posting to the same worker.

        A callback names the txn and the worker, but not the posting.
        """
        worker = exchange.posting.worker
        return worker.tag in exchange.entry.earlier_workers or any(
            other.posting.worker is worker and other.may_still_report(outcome)
            for other in exchange.entry.exchanges
            if other is not exchange
        )

    def open_schemes(self) -> list[Scheme]:
        """Return the schemes under which the open txns were accepted, each once."""
        return list(dict.fromkeys(entry.txn.scheme for entry in self._entries.values()))

    def unanswered_entries(self) -> list[Entry]:
        """Return the txns that have no final answer yet."""
        return [entry for entry in self._entries.values() if not entry.txn.is_closed]
