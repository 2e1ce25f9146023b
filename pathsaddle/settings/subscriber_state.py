"""By what a subscriber acts: committed entries, narrowed by the proposals that it holds.

Its disk's part of them is written by way of the outbox.

Change sets are applied in order and whole, and are written before anything is said of them. `subscriber.py`
feeds it from messages; leases and proposals are judged by `leased_versions.py`. It sends nothing itself. No
I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from pathsaddle import leased_versions
from pathsaddle.leased_versions import Version, VersionSubscriber
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import ChangeSet, InvalidDocumentError, RevisionId, Snapshot, digest_of
from pathsaddle.settings.events import (
    HistoryDiverged,
    InputRejected,
    LeaseLost,
    LeaseObtained,
    ProposalHeld,
    QueueFull,
    RevisionApplied,
)
from pathsaddle.settings.output import DiskWrite, Outbox
from pathsaddle.settings.store import Store
from pathsaddle.settings.sync_peer import PeerConfig

# Bounded; where a bound is reached, QueueFull is reported.
MAX_HELD_PROPOSALS = 4  # change sets that are not committed
MAX_PENDING_CHANGESETS = 64  # committed change sets that wait for one before them


@dataclass(frozen=True)
class _EffectiveEntries:
    """The entries that follow from one base and the proposals held, computed once."""

    base: Version[ActiveTerms]
    proposals: tuple[Version[ActiveTerms], ...]
    entries: Mapping[str, bytes]


class SubscriberState:
    """The revision by which a subscriber acts, the proposals that narrow it, and its lease.

    Attributes:
        versions: The state of `leased_versions`: base, proposals, lease.
        pending: Committed change sets that wait for one before them, by revision.
        proposals: Change sets that are not committed, by digest.
        is_proven: Whether it may act at all. A disk that is empty may have been lost after something on it
            was acknowledged, and what the subscriber gets on the way to the latest revision may long be
            forbidden. It acts on nothing, and writes nothing, until it has had a lease.
        was_leased: Whether it had a lease when that was looked at last.
    """

    def __init__(self, config: PeerConfig, store: Store, outbox: Outbox) -> None:
        """Begins by what the disk has.

        Args:
            config: Of the subscriber.
            store: What its disk has, committed alone, or an empty one.
            outbox: Where writes and events go.
        """
        self.store, self.outbox = store, outbox
        self.versions: VersionSubscriber[ActiveTerms] = leased_versions.new_subscriber(
            config.name,
            config.region,
            config.incarnation,
            config.lease_ticks,
            Version(store.revision, store.digest, store.terms),
        )
        self.pending: dict[int, ChangeSet] = {}
        self.proposals: dict[str, ChangeSet] = {}
        self.is_proven = store.revision > 0
        self.was_leased = False
        self._effective: _EffectiveEntries | None = None

    @property
    def applied(self) -> RevisionId:
        """The committed revision by which it acts."""
        return RevisionId(self.versions.base.number, self.versions.base.digest)

    def is_behind(self) -> bool:
        """Whether a higher revision is known to be committed than the applied one."""
        return self.applied != self.versions.known

    def entries(self) -> Mapping[str, bytes]:
        """Returns the entries by which it acts: the committed ones narrowed by proposals.

        There are none before it is proven.

        The mapping must not be changed; after any change it is another object.
        """
        if not self.is_proven:
            return {}
        versions, found = self.versions, self._effective
        if found is None or found.base is not versions.base or found.proposals is not versions.offers:
            found = self._effective = _EffectiveEntries(
                versions.base, versions.offers, versions.narrowest(lambda terms: terms).rows()
            )
        return found.entries

    def learn_committed(self, committed: RevisionId) -> None:
        """Takes note of a committed revision, the highest or a lower one.

        A proposal that is held and is the one committed is applied here, and written as any other change
        set: by `leased_versions` alone the subscriber would act by what is not on its disk.
        """
        if committed.digest in self.proposals:
            self.queue_committed(self.proposals[committed.digest])
            self.apply_pending()
        self.versions = self.versions.told(leased_versions.CommitNotice(*committed))[0]

    def queue_committed(self, changeset: ChangeSet) -> None:
        """Keeps a committed change set until those before it are there."""
        if changeset.revision <= self.store.revision or changeset.revision in self.pending:
            return
        if len(self.pending) >= MAX_PENDING_CHANGESETS:
            self.outbox.report(
                QueueFull(
                    f"groups that wait for {self.store.revision + 1}: it is dropped",
                    revision=changeset.revision,
                )
            )
            return
        self.pending[changeset.revision] = changeset

    def apply_pending(self) -> None:
        """Applies what follows the store, in order.

        All that waits is dropped where one of them can't be applied.
        """
        while (changeset := self.pending.pop(self.store.revision + 1, None)) is not None:
            try:
                self._apply(changeset)
            except InvalidDocumentError as fault:
                self.outbox.report(rejection_of(changeset, self.store, fault))
                self.pending.clear()
        for revision in [one for one in self.pending if one <= self.store.revision]:
            del self.pending[revision]

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Takes a snapshot of a higher revision in place of all that is there."""
        old = self.store.terms
        terms = self.store.replace(snapshot)
        if self.is_proven:
            self.outbox.write(DiskWrite(snapshot=snapshot))
        self._set_base(
            Version(snapshot.revision, snapshot.digest, terms),
            [key for key in old.differing(terms) if old.get(key) != terms.get(key)],
        )
        self.apply_pending()

    def can_hold_proposal(self) -> bool:
        """Whether one more proposal would be held."""
        return len(self.versions.offers) < MAX_HELD_PROPOSALS

    def hold_proposal(self, changeset: ChangeSet) -> None:
        """Narrows by a change set that is not committed, if it would be the next."""
        digest = digest_of(changeset)
        if (
            changeset.link != self.store.next_link
            or any((one.number, one.digest) == (changeset.revision, digest) for one in self.versions.offers)
            or changeset.revision <= self.versions.known[0]
        ):
            return
        if not self.can_hold_proposal():
            self.outbox.report(
                QueueFull(
                    f"{MAX_HELD_PROPOSALS} offers are held: it is left",
                    revision=changeset.revision,
                    digest=digest,
                )
            )
            return
        try:
            self.store.check_next(changeset)
        except InvalidDocumentError as fault:
            self.outbox.report(InputRejected(str(fault), revision=changeset.revision, digest=digest))
            return
        self.versions = self.versions.offered(
            Version(changeset.revision, digest, self.store.terms.after(changeset))
        )
        self.proposals[digest] = changeset
        self.outbox.report(ProposalHeld(changeset.revision, digest, changeset.keys))

    def update_lease(self, is_leased: bool) -> None:
        """Reports that a lease began or ended; the first one proves an empty disk's subscriber."""
        base = self.versions.base
        if is_leased and not self.is_proven:
            self.is_proven, self._effective = True, None
            self.outbox.write(DiskWrite(snapshot=self.store.snapshot()))
            self.outbox.report(RevisionApplied(*self.applied, tuple(sorted(base.spec.rows()))))
        if is_leased != self.was_leased:
            self.was_leased = is_leased
            kind = LeaseObtained if is_leased else LeaseLost
            self.outbox.report(kind(*self.applied, self.versions.until))

    def _apply(self, changeset: ChangeSet) -> None:
        """Applies the next change set whole; raises InvalidDocumentError where it is not the next."""
        digest = digest_of(changeset)
        held = next(
            (one for one in self.versions.offers if (one.number, one.digest) == (changeset.revision, digest)),
            None,
        )
        terms = self.store.append(changeset, held.spec if held is not None else None)
        if self.is_proven:
            self.outbox.write(DiskWrite(changeset))
        self._set_base(held or Version(changeset.revision, digest, terms), changeset.keys)

    def _set_base(self, version: Version[ActiveTerms], keys: Iterable[str]) -> None:
        old = self.versions
        self.versions = old.caught_up(version)
        # Proposals no longer hold where their revision is settled, or where what they narrowed was of older
        # entries.
        offers = tuple(one for one in self.versions.offers if one.number > version.number)
        self.proposals = {
            digest: changeset
            for digest, changeset in self.proposals.items()
            if changeset.revision > version.number
        }
        if offers != self.versions.offers:
            self.versions = replace(self.versions, offers=offers)
        narrowed = {key for one in old.offers for key in old.base.spec.differing(one.spec)}
        self.outbox.report(
            RevisionApplied(version.number, version.digest, tuple(sorted(narrowed.union(keys))))
        )


def rejection_of(
    changeset: ChangeSet, store: Store, fault: InvalidDocumentError
) -> HistoryDiverged | InputRejected:
    """Returns the event for a committed change set that can't be applied.

    Either there is another history here, or the change set is faulty.
    """
    kind = HistoryDiverged if changeset.previous_digest != store.digest else InputRejected
    return kind(revision=changeset.revision, digest=digest_of(changeset), reason=str(fault))
