"""What a config server has in common with the others: the committed change sets.

It learns of them and passes them on.

`server.py`'s ConfigServer is a Replica that takes messages. What is committed is learnt from readings of
the register, from other servers and from acknowledgements; documents that are lacking are fetched from
another server. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence

from pathsaddle.leased_versions import Version
from pathsaddle.settings.active_revision import ActiveRevisionTracker
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.applied_gossip import AppliedGossip
from pathsaddle.settings.catch_up import CatchUp
from pathsaddle.settings.documents import ChangeSet, InvalidDocumentError, RevisionId, Snapshot, digest_of
from pathsaddle.settings.events import HistoryDiverged, RevisionCommitted
from pathsaddle.settings.messages import AppliedAck
from pathsaddle.settings.output import DiskWrite
from pathsaddle.settings.proposals import ProposalStore
from pathsaddle.settings.proposer import Proposer
from pathsaddle.settings.register_readings import RegisterReadings
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber_state import rejection_of
from pathsaddle.settings.subscriber_table import SubscriberTable
from pathsaddle.settings.sync_peer import PeerConfig, PeerResources, SyncPeer
from pathsaddle.settings.timing import INITIAL_RETRY_TICKS, MAX_RETRY_TICKS, NEVER_DUE, backoff_ticks


class Replica(SyncPeer):
    """The parts of a server's core, and the committed change sets.

    Attributes:
        peers: The other servers.
        tracker: Which revision is committed, and which is active.
        proposer: What it proposes, and the change sets that are not committed.
        readings: Of the register, and the requests that they answer.
        catch_up: Who lacks something.
        gossip: The acknowledgements that are passed on.
        subscribers: Those that ask this server.
    """

    def __init__(
        self,
        config: PeerConfig,
        store: Store,
        resources: PeerResources,
        now: int,
        proposals: Sequence[ChangeSet] = (),
    ) -> None:
        """Begins by what its disk has.

        Args:
            config: What it is told.
            store: What its disk has as committed.
            resources: What it takes from its environment.
            now: Ticks.
            proposals: What its disk has besides, in the order in which they were written.
        """
        super().__init__(config, store, resources)
        self.peers = config.servers
        self.tracker = ActiveRevisionTracker(self.outbox, store, self.lease_ticks, now)
        self.subscribers = SubscriberTable()
        held = ProposalStore(self.outbox, store, proposals)
        self.proposer = Proposer(self.name, self.peers, self.outbox, held, self.subscribers)
        self.readings = RegisterReadings(now)
        self.catch_up = CatchUp(self.name, self.outbox, store, held)
        self.gossip = AppliedGossip(self.name, self.peers, self.outbox)
        self._fetch_due, self._fetch_tries = NEVER_DUE, 0  # of what another server has and this one lacks
        self._refresh_due, self._resend_due = now + self.lease_ticks // 2, now + INITIAL_RETRY_TICKS

    def _ask_for_more(self, server: str, before: int, now: int) -> None:
        """Says what is here, so that what follows is sent.

        It is said only if something came and something is still lacking.
        """
        if before < self.store.revision < self.tracker.committed.revision:
            self.outbox.send(server, AppliedAck(self.name, *self.store.id), now)

    def _fetch_from_peer(self, now: int) -> None:
        self._fetch_tries += 1
        self._fetch_due = (
            now + INITIAL_RETRY_TICKS + backoff_ticks(self.rng, self._fetch_tries, MAX_RETRY_TICKS)
        )
        if self.peers:
            self.outbox.send(self.rng.choice(self.peers), AppliedAck(self.name, *self.store.id), now)

    # What is committed

    def _learn_committed(self, committed: RevisionId, now: int) -> bool:
        """Takes that the register has, or had, this revision.

        Returns:
            False, after HistoryDiverged was reported, where another digest is here under that revision.
        """
        revision, digest = committed
        here = self.store.digest_at(revision) if revision <= self.store.revision else None
        if here is not None and here != digest:
            self.outbox.report(HistoryDiverged(revision, digest, f"{here} is on disk"))
            return False
        self.tracker.learn_committed(committed, now)
        taken: list[ChangeSet] = []
        for changeset in self.proposer.proposals.chain_to(self.tracker.committed):
            if not self._take(changeset, now):
                break
            taken.append(changeset)
        self._spread(taken, now)
        if self.tracker.is_complete:
            self._fetch_due, self._fetch_tries = NEVER_DUE, 0
            if self.readings.waiting:
                self.readings.is_wanted = True
        elif self._fetch_due == NEVER_DUE:
            self._fetch_from_peer(now)
        return True

    def _take(self, changeset: ChangeSet, now: int) -> bool:
        """Whether a change set that is surely committed was the next one; it is in the store then."""
        if changeset.revision != self.store.revision + 1:
            return False
        try:
            terms = self.store.append(changeset)
        except InvalidDocumentError as fault:
            self.outbox.report(rejection_of(changeset, self.store, fault))
            return False
        self.outbox.write(DiskWrite(changeset))
        self._add_version(terms, changeset.keys, now)
        self.proposer.on_committed(changeset, now)
        self.tracker.schedule(now)
        return True

    def _install_snapshot(self, snapshot: Snapshot, now: int) -> None:
        terms = self.store.replace(snapshot)
        self.outbox.write(DiskWrite(snapshot=snapshot))
        self.tracker.restart_history(snapshot.revision)
        self._add_version(terms, (), now)
        for name, subscriber in self.subscribers.records.items():
            self.catch_up.lagging[name] = subscriber.applied
        self.tracker.schedule(now)

    def _add_version(self, terms: ActiveTerms, keys: tuple[str, ...], now: int) -> None:
        self.tracker.add_version(Version(self.store.revision, self.store.digest, terms), now)
        self.proposer.proposals.drop_up_to(self.store.revision)
        self.outbox.report(RevisionCommitted(*self.store.id, keys))

    def _spread(self, changesets: Sequence[ChangeSet], now: int) -> None:
        """Sends what was taken just now, one after another, to the subscribers.

        Those that had what the first one follows are sent as many as go into one datagram (the first they
        may have, as a proposal); all else follows by what each acknowledges.
        """
        if not changesets:
            return
        first, digest = changesets[0], digest_of(changesets[0])
        before = RevisionId(first.revision - 1, first.previous_digest)
        for name, subscriber in list(self.subscribers.records.items()):
            if name in self.catch_up.lagging:
                continue
            if subscriber.applied != before:
                self.catch_up.lagging[name] = subscriber.applied
                continue
            lacking = changesets[1:] if subscriber.proposal_digest == digest else changesets
            if not self.outbox.send(name, self.catch_up.notice_of(lacking), now):
                self.catch_up.lagging[name] = subscriber.applied
        self.catch_up.pump(now)
