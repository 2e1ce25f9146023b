"""An acceptor: what it promised and accepted for each key, for whom it holds leases, and how it rejoins.

Invariant: of the acceptors that participate, none promises a ballot to anybody else while it holds a lease,
and none answers before what it answers by is on its disk. Broken by the mutants `holds-forgotten` and
`answers-before-sync`, and found by `tests/test_consensus.py`.

The core is free of I/O: `on_message` takes one message at one moment; what `writes` holds must be on disk
before anything of `messages` is sent. An acceptor whose disk write failed is made anew from its disk.

Why a lease needs no disk write. A renewal changes neither ballot nor value. An acceptor that starts does not
know what it held; it holds a whole lease, from its start, for the lease holder that is on its disk. That ends
later than any lease that an earlier run of it can have held.

How an acceptor rejoins. Each start of an acceptor has an incarnation above all earlier ones, and each of its
answers carries it. An acceptor that starts asks the others. Each of them writes the incarnation down, then
sends all that it promised and accepted, and from then on states the incarnation in all its answers. A
proposer that gathers a majority counts no answer of an incarnation that another acceptor of this majority
knows to be over. So for any majority with an answer that was forgotten, one of its other acceptors is among
those that sent their state: either it took part in the majority before that, then what it sent stands here;
or after, then the forgotten answer does not count. That needs so many others that they meet the rest of any
majority: `sync_quorum`. An acceptor whose own disk is intact may start with fewer, once it waited for them:
it forgot nothing. One whose disk is lost, torn or a copy may never. The test that breaks this trusts a lost
disk (mutant `lost-disk-trusted`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pathsaddle.consensus.acceptor_key import EMPTY_KEY, AcceptorKey
from pathsaddle.consensus.messages import (
    Accept,
    Incarnation,
    LeaseReleased,
    Message,
    Outgoing,
    Prepare,
    Refused,
    Release,
    Renew,
    SyncedKey,
    SyncReply,
    SyncRequest,
    Ticks,
    encoded_size,
)
from pathsaddle.consensus.stored_state import (
    DiskWrite,
    KeyWrite,
    OwnIncarnationWrite,
    PeerIncarnationWrite,
    StoredState,
)
from pathsaddle.scheduler_types import MILLISECOND

SYNC_RETRY_TICKS = 200 * MILLISECOND  # between two requests of an acceptor that starts
SYNC_PATIENCE_TICKS = 1000 * MILLISECOND  # how long one with an intact disk waits for enough of the others
MAX_WAITERS = 64  # processes per key that are told when its lease is released
MAX_KEYS = 10_000  # messages for further keys are dropped: memory and disk stay bounded
MAX_SYNC_PAGE_BYTES = (
    1100  # keys in one answer to an acceptor that starts; with its envelope it fits a datagram
)
NEVER = 1 << 60  # a moment that does not come


class SyncPage(NamedTuple):
    """Some of an acceptor's keys, in order, and the last of them; empty: no further page follows."""

    keys: list[SyncedKey]
    last_key: str


class Acceptor:
    """One acceptor of the configuration.

    Attributes:
        writes: What must be on disk before `messages` are sent.
        messages: What is to be sent.
        keys: Its part in each key.
        incarnations: The highest known incarnation of each acceptor.
        is_participating: Whether it promises and accepts.
        is_intact: Whether its disk holds all that it ever answered by.
        dropped: How many messages were dropped, by reason.
    """

    def __init__(
        self,
        name: str,
        acceptors: Iterable[str],
        stored: StoredState,
        incarnation: Incarnation,
        now: Ticks,
    ) -> None:
        """Start an acceptor.

        Args:
            name: Its name.
            acceptors: The names of all acceptors.
            stored: What its disk holds.
            incarnation: Of this start; it is raised above the disk's own where that is higher.
            now: The moment.
        """
        self.name, self.acceptors = name, tuple(sorted(acceptors))
        self.keys = {key: AcceptorKey(state).after_restart(now) for key, state in stored.keys.items()}
        self.incarnations = {
            acceptor: stored.peer_incarnations.get(acceptor, 0) for acceptor in self.acceptors
        }
        self.incarnation = max(incarnation, self.incarnations[name] + 1)
        self.is_intact = stored.is_intact
        self.incarnations[name] = self.incarnation
        self.writes: list[DiskWrite] = [OwnIncarnationWrite(name, self.incarnation, self.is_intact)]
        self.messages: list[Outgoing] = []
        self.dropped: dict[str, int] = {}
        # Of the others: so many meet the rest of any majority that this acceptor is in.
        self.sync_quorum = len(self.acceptors) // 2 + 1
        self.is_participating = False
        self._waiters: dict[str, dict[str, None]] = {}
        self._synced_up_to: dict[str, str | None] = {}  # by acceptor: the last key it sent; None: it sent all
        self._started_at = self._next_sync = now

    def next_wakeup(self) -> Ticks:
        """Return when `wake` is wanted."""
        return NEVER if self.is_participating else self._next_sync

    def wake(self, now: Ticks) -> None:
        """While it starts: ask the acceptors that have not sent all of their state."""
        if self.is_participating or now < self._next_sync:
            return
        self._next_sync = now + SYNC_RETRY_TICKS
        is_out_of_patience = self.is_intact and now - self._started_at >= SYNC_PATIENCE_TICKS
        if len(self.acceptors) == 1 or is_out_of_patience:
            self._start_participating(now)
            return
        for acceptor in self.acceptors:
            if acceptor != self.name and self._synced_up_to.get(acceptor, "") is not None:
                request = SyncRequest(self.incarnation, self._synced_up_to.get(acceptor) or "")
                self.messages.append(Outgoing(acceptor, request))

    def learn_incarnations(self, incarnations: Mapping[str, Incarnation], now: Ticks) -> None:
        """Take in the incarnations that another process knows of.

        If it knows a higher one of ours than ours, our disk is older than it was: rejoin with a still higher
        one.
        """
        if incarnations.get(self.name, 0) <= self.incarnation:
            return
        self.incarnation = self.incarnations[self.name] = incarnations[self.name] + 1
        self.is_intact = self.is_participating = False
        self._synced_up_to.clear()
        self.messages.clear()
        self.writes.append(OwnIncarnationWrite(self.name, self.incarnation, is_intact=False))
        self._next_sync = now

    def on_message(self, sender: str, message: Message, now: Ticks) -> None:
        """Take in a message of another process."""
        if isinstance(message, SyncRequest):
            self._on_sync_request(sender, message)
        elif isinstance(message, SyncReply):
            self._on_sync_reply(sender, message, now)
        elif self.is_participating:
            self._on_key_message(sender, message, now)
        else:
            self._count_dropped("out")

    def _count_dropped(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _on_key_message(self, sender: str, message: Message, now: Ticks) -> None:
        key = getattr(message, "key", "")
        if isinstance(message, Prepare | Accept | Renew | Release) and message.ballot.proposer != sender:
            return
        before = self.keys.get(key, EMPTY_KEY)
        if before is EMPTY_KEY and len(self.keys) >= MAX_KEYS:
            self._count_dropped("full")
            return
        after, answer = before.on_message(key, message, now)
        if after is not before:
            self.keys[key] = after
            if after.state != before.state:
                self.writes.append(KeyWrite(key, after.state))
        if isinstance(answer, LeaseReleased):
            for waiter in self._waiters.pop(key, {}):
                self.messages.append(Outgoing(waiter, answer))
        elif answer is not None:
            if isinstance(answer, Refused) and answer.remaining_ticks:
                waiters = self._waiters.setdefault(key, {})
                if len(waiters) < MAX_WAITERS:
                    waiters[sender] = None
            self.messages.append(Outgoing(sender, answer))

    # Rejoining.

    def _on_sync_request(self, sender: str, request: SyncRequest) -> None:
        """Answer if we participate, or start with an intact disk: that holds all that we ever answered."""
        if sender not in self.incarnations or sender == self.name:
            return
        if not (self.is_participating or self.is_intact):
            return
        if request.incarnation > self.incarnations[sender]:
            self.incarnations[sender] = request.incarnation
            self.writes.append(PeerIncarnationWrite(sender, request.incarnation))
        known = self.incarnations[sender]
        page = SyncPage([], "")
        if request.incarnation == known:
            page = self._sync_page(request.after)
        self.messages.append(
            Outgoing(
                sender,
                SyncReply(
                    request.incarnation, known, self.is_participating, request.after, page.last_key, page.keys
                ),
            )
        )

    def _sync_page(self, after: str) -> SyncPage:
        """Return the keys after `after`, as many as fit one answer."""
        page: list[SyncedKey] = []
        size = 0
        for key in sorted(key for key in self.keys if key > after):
            state = self.keys[key].state
            synced = SyncedKey(key, state.promised, state.accepted, state.value)
            size += encoded_size(SyncReply(0, 0, True, "", "", [synced]))
            if page and size > MAX_SYNC_PAGE_BYTES:
                return SyncPage(page, page[-1].key)
            page.append(synced)
        return SyncPage(page, "")

    def _on_sync_reply(self, sender: str, reply: SyncReply, now: Ticks) -> None:
        if self.is_participating or sender not in self.incarnations or sender == self.name:
            return
        if reply.incarnation != self.incarnation:
            return
        if reply.known_incarnation > self.incarnation:
            self.learn_incarnations({self.name: reply.known_incarnation}, now)
            return
        # A sender that starts itself may have an old disk; it cannot heal a lost one.
        if not (self.is_intact or reply.is_participating):
            return
        if self._synced_up_to.get(sender, "") != reply.after:  # a page that is here already, or out of turn
            return
        for synced in reply.keys:
            before = self.keys.get(synced.key, EMPTY_KEY)
            after = before.merge(synced.state)
            if after.state != before.state:
                self.writes.append(KeyWrite(synced.key, after.state))
            self.keys[synced.key] = after
        self._synced_up_to[sender] = reply.last_key or None
        if reply.last_key:
            self.messages.append(Outgoing(sender, SyncRequest(self.incarnation, reply.last_key)))
        elif sum(1 for last in self._synced_up_to.values() if last is None) >= self.sync_quorum:
            self._start_participating(now)

    def _start_participating(self, now: Ticks) -> None:
        """From here on it takes part; every lease that it may ever have held it holds from now on."""
        self.is_participating = True
        self.keys = {key: state.after_restart(now) for key, state in self.keys.items()}
        self.writes.append(OwnIncarnationWrite(self.name, self.incarnation, is_intact=True))
        self.is_intact = True
