"""The core of a config server.

It holds the documents, serves subscribers, proposes change sets and judges what is active.

Several servers at once do no harm; driven by `server_driver.py`. What a driver must do besides
`sync_peer.py`:

- Whenever `readings.is_wanted` and no reading of the register runs: call `begin_read(now)` and only after
  that begin one by a majority of voters. Report it by `on_read(number, committed, now)` with the number
  that `begin_read` gave, or, where nothing was proven, by `on_read_failed(number, now)`. Requests that came
  before `begin_read` are answered by it, no others. After an own change of the register's value has been
  acknowledged: a reading at once.
- Proposals on disk: those of revisions that were committed meanwhile may go; the latest MAX_PROPOSALS
  others stay. Hand them in at the start in the order in which they were written.

No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct

from pathsaddle import leased_versions
from pathsaddle.settings.chunks import CompleteTransfer
from pathsaddle.settings.documents import ChangeSet, RevisionId
from pathsaddle.settings.events import (
    QueueFull,
)
from pathsaddle.settings.messages import (
    AppliedAck,
    AppliedSummary,
    Chunk,
    ChunkManifest,
    ChunkRequest,
    CommitNotice,
    LeaseRenewal,
    Message,
    Proposal,
    ProposalAck,
    SyncRequest,
)
from pathsaddle.settings.register_readings import ReadingNumber
from pathsaddle.settings.replica import Replica
from pathsaddle.settings.subscriber_table import MAX_SUBSCRIBERS
from pathsaddle.settings.timing import INITIAL_RETRY_TICKS

FORGET_LEASES = 2  # leases after which a subscriber that asks no more is forgotten


class ServerStatus(Struct, frozen=True):
    """What an operator is told of a server.

    Attributes:
        revision: The highest committed one whose document is here.
        digest: Of that revision.
        committed_revision: The highest that is known to be committed.
        active_revision: The highest that was proven to be active.
        waits_for: Who keeps the highest committed one from being active.
        acknowledged: By subscriber, the revision that it said to have.
        queue_length: Subscribers and servers that wait for what they lack.
        proposed_revisions: Held and not known to be committed.
    """

    revision: int
    digest: str
    committed_revision: int
    active_revision: int
    waits_for: tuple[str, ...]
    acknowledged: dict[str, int]
    queue_length: int
    proposed_revisions: tuple[int, ...]


class ConfigServer(Replica):
    """Serves subscribers and other servers, and proposes change sets.

    Sync requests are answered by readings of the register.
    """

    # Events

    def on_message(self, message: Message, now: int) -> int:
        """Takes a message of a subscriber or of another server; returns when `wake` is due."""
        if isinstance(message, SyncRequest):
            self._on_sync_request(message, now)
        elif isinstance(message, AppliedAck):
            self._on_applied(message.sender, RevisionId(message.revision, message.digest), now)
        elif isinstance(message, AppliedSummary):
            for group in message.groups:
                self._record_applied(group.names, RevisionId(group.revision, group.digest), now)
        elif isinstance(message, ChunkRequest):
            self.catch_up.chunk_requests[message.sender] = message
            self.catch_up.pump(now)
        elif message.sender in self.peers:
            self._on_server_message(message, now)
        return self._next_due()

    def wake(self, now: int) -> int:
        """Does what is due; returns when it is due next."""
        self.readings.update(now)
        if not self.tracker.is_complete and now >= self._fetch_due:
            self._fetch_from_peer(now)
        self.proposer.repeat(now)
        if now >= self.gossip.due:
            self._gossip(list(self.gossip.fresh), now)
            self.gossip.finish_repeat(now)
        if now >= self._refresh_due:
            self._refresh(now)
        if now >= self._resend_due:
            self._resend(now)
        self.chunks.retry_overdue(now)
        if self.tracker.is_due(now):
            self.tracker.judge(now)
        self.catch_up.pump(now)
        return self._next_due()

    def begin_read(self, now: int) -> ReadingNumber:
        """Notes that a reading of the register begins after this call; returns its number."""
        return self.readings.begin(now)

    def on_read(self, number: ReadingNumber, committed: RevisionId, now: int) -> int:
        """Takes what a majority of voters proved by a reading; returns when `wake` is due."""
        requests = self.readings.finish(number)
        if not self._learn_committed(committed, now):
            return self._next_due()
        if not self.tracker.is_complete:
            # It says nothing of what it can't serve; who asked is answered once the document is there, or
            # asks another.
            self.readings.put_back(requests)
            return self._next_due()
        for request in requests.values():
            renewal = self.tracker.versions.answers(
                leased_versions.SyncRequest(request.sender, request.incarnation, request.echo)
            )
            message = LeaseRenewal(
                self.name, renewal.name, renewal.life, renewal.echo, renewal.number, renewal.digest
            )
            if not self.outbox.send(request.sender, message, now):
                self.outbox.report(QueueFull("the purse: a renewal was dropped", name=request.sender))
        return self._next_due()

    def on_read_failed(self, number: ReadingNumber, now: int) -> int:
        """Takes that a reading proved nothing; returns when `wake` is due."""
        self.readings.put_back(self.readings.finish(number))
        return self._next_due()

    def status(self, now: int) -> ServerStatus:
        """Returns what an operator is told of it."""
        return ServerStatus(
            self.store.revision,
            self.store.digest,
            self.tracker.committed.revision,
            self.tracker.active_revision,
            self.tracker.awaited_subscribers(now),
            self.tracker.acknowledged(),
            self.catch_up.queue_length,
            tuple(sorted(changeset.revision for changeset in self.proposer.proposals.held.values())),
        )

    # Proposing

    def fits_one_round(self, changesets: Sequence[ChangeSet]) -> bool:
        """Whether these, one after another, may be proposed together: one alone always may."""
        return self.proposer.fits_one_round(changesets)

    def propose(self, changesets: Sequence[ChangeSet], now: int) -> int:
        """Proposes change sets to servers, and the first of them to subscribers.

        ProposalAcknowledged is reported once a majority of servers has all of them on disk. The caller owns
        the register's key and has looked that what the first one follows is the latest revision.

        Args:
            changesets: To be committed together, all or none; `fits_one_round` says whether they may.
            now: Ticks.

        Returns:
            When `wake` is due.

        Raises:
            InvalidDocumentError: They can't be committed, do not go together, or there is no room for them.
        """
        self.proposer.propose(changesets, now)
        return self._next_due()

    def withdraw(self) -> None:
        """Proposes no more: the register refused, or time is over.

        Subscribers keep what they heard until a commit.
        """
        self.proposer.round = None

    # Messages of other servers

    def _on_server_message(self, message: Message, now: int) -> None:
        if isinstance(message, Proposal):
            self._on_proposal(message, now)
        elif isinstance(message, ProposalAck):
            self.proposer.on_ack(message)
        elif isinstance(message, CommitNotice):
            before = self.store.revision
            taken = [one for one in message.changesets if self._take(one, now)]
            self._spread(taken, now)
            self._learn_committed(message.committed, now)
            self._ask_for_more(message.sender, before, now)
        elif isinstance(message, ChunkManifest):
            if message.target.revision > self.store.revision:
                if not message.is_proposal:
                    self._learn_committed(message.target, now)
                self.chunks.start(message, now)
        elif isinstance(message, Chunk):
            transfer = self.chunks.accept(message, now)
            if transfer is not None:
                self._on_document(transfer, now)

    def _on_proposal(self, proposal: Proposal, now: int) -> None:
        held = self.proposer.on_proposal(proposal, now)
        if held is None:
            return
        if held == self.tracker.committed:
            self._learn_committed(held, now)
        self.proposer.acknowledge(proposal.sender, held, now)

    def _on_document(self, transfer: CompleteTransfer, now: int) -> None:
        found, before = self.chunks.decode(transfer), self.store.revision
        sender = transfer.manifest.sender
        if isinstance(found, ChangeSet):
            if transfer.manifest.is_proposal:
                self._on_proposal(Proposal(sender, found), now)
                return
            if self._take(found, now):
                self._spread([found], now)
        elif found is not None and found.revision > self.store.revision:
            self._install_snapshot(found, now)
        self._learn_committed(self.tracker.committed, now)
        self._ask_for_more(sender, before, now)

    # Subscribers

    def _on_sync_request(self, request: SyncRequest, now: int) -> None:
        if not self.subscribers.can_add(request.sender):
            self.outbox.report(
                QueueFull(f"{MAX_SUBSCRIBERS} members are served: it is not answered", name=request.sender)
            )
            return
        applied = RevisionId(request.revision, request.digest)
        self.readings.add(request, now)
        self.subscribers.on_request(request.sender, applied, now)
        self._on_applied(request.sender, applied, now)

    def _on_applied(self, name: str, applied: RevisionId, now: int) -> None:
        if self.subscribers.on_applied(name, applied) and name not in self.peers:
            self.gossip.add(self._record_applied((name,), applied, now), now)
        if applied.revision < self.store.revision or (
            applied.revision == self.store.revision and applied.digest != self.store.digest
        ):
            self.catch_up.enqueue(name, applied)
            self.catch_up.pump(now)

    def _record_applied(self, names: Iterable[str], applied: RevisionId, now: int) -> list[str]:
        """Takes what subscribers have; returns those of whom it is news."""
        if applied.revision > self.tracker.committed.revision:
            self._learn_committed(applied, now)  # who has it knows that it is committed
        return self.tracker.record_applied(names, applied, now)

    def _gossip(self, names: Iterable[str], now: int) -> None:
        self.gossip.send(names, self.tracker.acknowledged(), self.tracker.acknowledged_digests(), now)

    def _refresh(self, now: int) -> None:
        """Forgets who asks no more, and passes on all acknowledgements again."""
        self._refresh_due = now + int(self.lease_ticks / 2 * self.rng.uniform(0.8, 1.2))
        self.subscribers.forget_before(now - FORGET_LEASES * self.lease_ticks)
        self._gossip(list(self.subscribers.records), now)

    def _resend(self, now: int) -> None:
        """Lets those be sent again what they lack that have not acknowledged it."""
        self._resend_due = now + INITIAL_RETRY_TICKS
        for name, subscriber in self.subscribers.records.items():
            if (
                subscriber.applied != self.store.id
                and subscriber.applied.revision <= self.store.revision
                and now < subscriber.requested_at + self.lease_ticks
            ):
                self.catch_up.lagging.setdefault(name, subscriber.applied)

    def _next_due(self) -> int:
        return min(
            self.readings.next_due(),
            self.gossip.due,
            self._refresh_due,
            self._resend_due,
            self.catch_up.due,
            self._fetch_due,
            self.proposer.next_due(),
            self.tracker.next_due(),
            self.chunks.next_due(),
        )
