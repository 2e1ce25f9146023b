"""The core of a subscriber.

It asks config servers for its lease and for what it lacks, and acknowledges what it applied.

A dispatcher's part of shared settings, driven by `subscriber_driver.py`. What it applies is
`subscriber_state.py`'s; which server it asks and when, `server_selection.py`'s. A subscriber at revision 0
has no disk, or never heard of any change set: nothing of shared settings allows it anything yet, and a
driver serves nothing by them before revision 1. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from pathsaddle import leased_versions
from pathsaddle.settings.chunks import CompleteTransfer
from pathsaddle.settings.documents import ChangeSet, RevisionId, id_of
from pathsaddle.settings.events import ServerSilent
from pathsaddle.settings.messages import (
    AppliedAck,
    Chunk,
    ChunkManifest,
    CommitNotice,
    DocumentKind,
    LeaseRenewal,
    Message,
    Proposal,
    SyncRequest,
)
from pathsaddle.settings.server_selection import ServerSelection
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber_state import MAX_PENDING_CHANGESETS, SubscriberState
from pathsaddle.settings.sync_peer import PeerConfig, PeerResources, SyncPeer
from pathsaddle.settings.timing import INITIAL_RETRY_TICKS, MAX_RETRY_TICKS, NEVER_DUE, backoff_ticks


class SubscriberStatus(Struct, frozen=True):
    """What an operator is told of a subscriber.

    Attributes:
        revision: By which it acts.
        digest: Of that revision.
        committed_revision: The highest that it knows to be committed.
        is_leased: Whether it has a lease.
        lease_end: Of its lease, in ticks; means nothing without one.
        proof_age_ticks: Since a server last proved what is committed; None in an incarnation where none did.
        proposed_revisions: Proposed and not settled.
        server: Whom it asks.
    """

    revision: int
    digest: str
    committed_revision: int
    is_leased: bool
    lease_end: int
    proof_age_ticks: int | None
    proposed_revisions: tuple[int, ...]
    server: str


class ConfigSubscriber(SyncPeer):
    """Applies change sets in order and whole, asks for its lease, says what it has.

    Attributes:
        state: By what it acts.
        selection: Which server is asked, and when.
        lag_due: When the servers are told again that something is lacking, in ticks.
        lag_tries: How often they were told so of the same revision.
        proved_at: When the last request that was answered went out, in ticks.
    """

    def __init__(self, config: PeerConfig, store: Store, resources: PeerResources, now: int) -> None:
        """Begins by what its disk has.

        Args:
            config: What it is told.
            store: What its disk has, committed alone, or an empty one.
            resources: What it takes from its environment.
            now: Ticks.
        """
        super().__init__(config, store, resources)
        self.state = SubscriberState(config, store, self.outbox)
        self.selection = ServerSelection(config.servers, config.lease_ticks, self.rng, now)
        self.lag_due, self.lag_tries = NEVER_DUE, 0
        self.proved_at: int | None = None

    def is_leased(self, now: int) -> bool:
        """Whether it has a lease on the highest revision that it knows to be committed."""
        return self.state.versions.leased(now)

    def status(self, now: int) -> SubscriberStatus:
        """Returns what an operator is told of it."""
        versions = self.state.versions
        return SubscriberStatus(
            versions.base.number,
            versions.base.digest,
            versions.known[0],
            self.is_leased(now),
            versions.until,
            None if self.proved_at is None else now - self.proved_at,
            tuple(sorted(one.number for one in versions.offers)),
            self.selection.current,
        )

    def on_message(self, message: Message, now: int) -> int:
        """Takes a message of a server; returns when `wake` is due."""
        if isinstance(message, LeaseRenewal):
            self._on_renewal(message, now)
        elif isinstance(message, CommitNotice):
            self._on_committed(message.committed, message.changesets, message.sender, now)
        elif isinstance(message, Proposal):
            self._on_proposal(message.changeset, message.sender, now)
        elif isinstance(message, ChunkManifest):
            self._on_manifest(message, now)
        elif isinstance(message, Chunk):
            transfer = self.chunks.accept(message, now)
            if transfer is not None:
                self._on_document(transfer, now)
        return self._next_due(now)

    def wake(self, now: int) -> int:
        """Does what is due; returns when it is due next."""
        selection = self.selection
        if selection.has_timed_out(now):
            silent = selection.current
            selection.leave_silent_server(now)
            self.outbox.report(ServerSilent(silent, f"{selection.current} is asked next"))
        selection.return_if_due(now)
        if now >= selection.retry_due:
            selection.retry_due = NEVER_DUE
            self.request_sync(now)
        if now >= selection.request_due:
            self.request_sync(now)
        if self.state.is_behind() and now >= self.lag_due:
            self._report_lag(now)
        self.chunks.retry_overdue(now)
        return self._next_due(now)

    def request_sync(self, now: int) -> None:
        """Asks the current server for a lease and for what is lacking."""
        state = self.state
        state.versions, request = state.versions.asks(now)
        self.outbox.send(
            self.selection.current,
            SyncRequest(self.name, self.incarnation, request.echo, *state.applied),
            now,
        )
        self.selection.on_request_sent(now)

    def _on_renewal(self, renewal: LeaseRenewal, now: int) -> None:
        if (renewal.subscriber, renewal.incarnation) != (self.name, self.incarnation):
            return
        before = self.store.revision
        requested_at = dict(self.state.versions.open).get(renewal.echo)
        self.state.learn_committed(RevisionId(renewal.revision, renewal.digest))
        self.state.versions = self.state.versions.renewed(
            leased_versions.LeaseRenewal(
                renewal.subscriber, renewal.incarnation, renewal.echo, renewal.revision, renewal.digest
            ),
            now,
        )
        if requested_at is not None:
            self.proved_at = requested_at if self.proved_at is None else max(self.proved_at, requested_at)
            self.selection.on_answer(now)
        self._update_lag_timer(now)
        if requested_at is not None and self.store.revision > before:
            self._acknowledge(renewal.sender, before, now)

    def _on_committed(
        self, committed: RevisionId, changesets: Iterable[ChangeSet], sender: str, now: int
    ) -> None:
        before = self.store.revision
        for changeset in changesets:
            held = self.state.proposals.get(changeset.previous_digest)
            if held is not None:  # what a committed change set follows is committed
                self.state.queue_committed(held)
            self.state.queue_committed(changeset)
        self.state.apply_pending()
        self.state.learn_committed(committed)
        self._acknowledge(sender, before, now)

    def _on_proposal(self, changeset: ChangeSet, sender: str, now: int) -> None:
        proposed = id_of(changeset)
        if proposed == self.state.versions.known and changeset.revision > self.store.revision:
            self._on_committed(proposed, (changeset,), sender, now)
        else:
            self.state.hold_proposal(changeset)

    def _on_manifest(self, manifest: ChunkManifest, now: int) -> None:
        revision = manifest.target.revision
        if revision <= self.store.revision:
            return
        if manifest.is_proposal:
            if revision != self.store.revision + 1 or not self.state.can_hold_proposal():
                return
        else:
            before = self.store.revision
            self.state.learn_committed(manifest.target)
            self._acknowledge(manifest.sender, before, now)
            if revision <= self.store.revision:
                return
            if (
                manifest.kind == DocumentKind.CHANGESET
                and revision > self.store.revision + MAX_PENDING_CHANGESETS
            ):
                return
        self.chunks.start(manifest, now)

    def _on_document(self, transfer: CompleteTransfer, now: int) -> None:
        found, before = self.chunks.decode(transfer), self.store.revision
        sender = transfer.manifest.sender
        if isinstance(found, ChangeSet):
            if transfer.manifest.is_proposal:
                self._on_proposal(found, sender, now)
                return
            self.state.queue_committed(found)
            self.state.apply_pending()
        elif found is not None and found.revision > self.store.revision:
            self.state.install_snapshot(found)
        self._acknowledge(sender, before, now)

    def _acknowledge(self, server: str, before: int, now: int) -> None:
        """Says what it has.

        Where it lacks something it says so no oftener than it gets on or a wait is over: else a document
        that does not fit would go to and fro for ever.

        Args:
            server: Who is told.
            before: The store's revision before what is acknowledged.
            now: Ticks.
        """
        self._update_lag_timer(now)
        if not self.state.is_behind() or self.store.revision > before:
            self.outbox.send(server, AppliedAck(self.name, *self.state.applied), now)
            if self.state.is_behind():
                self.lag_due, self.lag_tries = now + INITIAL_RETRY_TICKS, 0
        elif now >= self.lag_due - INITIAL_RETRY_TICKS and not self.lag_tries:
            self._report_lag(now, server)

    def _update_lag_timer(self, now: int) -> None:
        if not self.state.is_behind():
            self.lag_due, self.lag_tries = NEVER_DUE, 0
        elif self.lag_due == NEVER_DUE:
            self.lag_due, self.lag_tries = now + INITIAL_RETRY_TICKS, 0

    def _report_lag(self, now: int, server: str = "") -> None:
        """Says what it has, so that what comes after it is sent."""
        self.outbox.send(server or self.selection.current, AppliedAck(self.name, *self.state.applied), now)
        self.lag_tries += 1
        self.lag_due = now + INITIAL_RETRY_TICKS + backoff_ticks(self.rng, self.lag_tries, MAX_RETRY_TICKS)

    def _next_due(self, now: int) -> int:
        is_leased = self.is_leased(now)
        self.state.update_lease(is_leased)
        return min(
            self.selection.next_due(),
            self.lag_due,
            self.state.versions.ends() if is_leased else NEVER_DUE,
            self.chunks.next_due(),
        )
