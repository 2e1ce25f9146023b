"""The change sets that a config server holds and that are not committed, as far as it knows.

This server may be one of the few that have the text of a change set which is committed next, so what may
still count is never dropped. Used by `server.py` and `catch_up.py`. It sends nothing. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from pathsaddle.settings.documents import ChangeSet, InvalidDocumentError, RevisionId, digest_of, validated
from pathsaddle.settings.events import ProposalHeld, QueueFull
from pathsaddle.settings.output import DiskWrite, Outbox
from pathsaddle.settings.store import Store

MAX_PROPOSALS = 16  # that a server holds; reached, QueueFull is reported
# Change sets that are proposed, and committed, together: half of MAX_PROPOSALS, so that a server that has
# not yet heard of the last ones committed has room for the next.
MAX_ROUND_CHANGESETS = 8


@dataclass(frozen=True)
class PendingRound:
    """What a server proposes now.

    Attributes:
        changesets: One after another.
        digest: Of the last one.
        acknowledged_by: The servers that have all of them on disk.
        due: When the proposal is repeated, in ticks.
        is_reported: Whether ProposalAcknowledged was reported.
    """

    changesets: tuple[ChangeSet, ...]
    digest: str
    acknowledged_by: tuple[str, ...]
    due: int
    is_reported: bool = False


class _NewProposal(NamedTuple):
    """A change set that is to be held, with the digests of those that make room for it."""

    changeset: ChangeSet
    digest: str
    replaced_digests: tuple[str, ...]


class ProposalStore:
    """Holds proposals, the oldest first, MAX_PROPOSALS at most.

    Attributes:
        held: Change sets by digest.
    """

    def __init__(self, outbox: Outbox, store: Store, found: Sequence[ChangeSet]) -> None:
        """Begins by what the disk has.

        Args:
            outbox: Where writes and events go.
            store: What is committed, as far as this server has it.
            found: On disk, in the order in which they were written; those of revisions that the store has
                are left.
        """
        self.outbox, self.store = outbox, store
        held = {digest_of(changeset): changeset for changeset in found if changeset.revision > store.revision}
        self.held = dict(list(held.items())[-MAX_PROPOSALS:])

    def hold(self, changesets: Sequence[ChangeSet]) -> tuple[ChangeSet, ...] | None:
        """Holds change sets, all or none; they are on disk when what is sent afterwards leaves.

        Returns:
            Those that were not held before; None where there is no room for one.
        """
        plan = self._plan(changesets)
        if plan is None:
            return None
        for changeset, digest, replaced_digests in plan:
            for replaced in replaced_digests:
                self.outbox.report(
                    QueueFull(
                        f"{MAX_PROPOSALS} offers: the oldest goes",
                        revision=self.held.pop(replaced).revision,
                        digest=replaced,
                    )
                )
            self.held[digest] = changeset
            self.outbox.write(DiskWrite(changeset, is_committed=False, replaced_digests=replaced_digests))
            self.outbox.report(ProposalHeld(changeset.revision, digest, changeset.keys))
        return tuple(one.changeset for one in plan)

    def drop_up_to(self, revision: int) -> None:
        """Drops the proposals of revisions up to a committed one."""
        self.held = {
            digest: changeset for digest, changeset in self.held.items() if changeset.revision > revision
        }

    def chain_to(self, committed: RevisionId) -> list[ChangeSet]:
        """Returns the held change sets that lead from the store to a committed revision.

        It is empty if one is missing.
        """
        chain: list[ChangeSet] = []
        changeset = self.held.get(committed.digest)
        while changeset is not None:
            chain.append(changeset)
            previous = changeset.previous_digest
            changeset = self.held.get(previous) if previous != self.store.digest else None
        if not chain or chain[-1].link != self.store.next_link:
            return []
        return chain[::-1]

    def _plan(self, changesets: Sequence[ChangeSet]) -> list[_NewProposal] | None:
        held = dict(self.held)
        plan: list[_NewProposal] = []
        for changeset in changesets:
            digest = digest_of(changeset)
            if digest in held:
                continue
            replaced: tuple[str, ...] = ()
            if len(held) >= MAX_PROPOSALS:
                oldest = _oldest_replaceable(held, changeset)
                if oldest is None:
                    self.outbox.report(
                        QueueFull(
                            f"{MAX_PROPOSALS} offers that may count: it is left",
                            revision=changeset.revision,
                            digest=digest,
                        )
                    )
                    return None
                replaced = (oldest,)
                del held[oldest]
            held[digest] = changeset
            plan.append(_NewProposal(changeset, digest, replaced))
        return plan


def check_proposal(changesets: Sequence[ChangeSet]) -> None:
    """Checks change sets that came as one proposal.

    Raises InvalidDocumentError where they can't be committed together.
    """
    if len(changesets) > MAX_ROUND_CHANGESETS:
        raise InvalidDocumentError(f"{len(changesets)} groups, {MAX_ROUND_CHANGESETS} at most together")
    for one, after in zip(changesets, (*changesets[1:], None), strict=True):
        validated(one)
        if after is not None and after.link != (one.revision + 1, digest_of(one)):
            raise InvalidDocumentError(f"{after.revision} doesn't follow {one.revision}, with which it came")


def _ancestors(held: Mapping[str, ChangeSet], changeset: ChangeSet) -> Iterator[RevisionId]:
    """Yields the revisions of the held change sets which one follows."""
    seen: set[str] = set()
    ancestor = held.get(changeset.previous_digest)
    while ancestor is not None and (digest := digest_of(ancestor)) not in seen:
        seen.add(digest)
        yield RevisionId(ancestor.revision, digest)
        ancestor = held.get(ancestor.previous_digest)


def _oldest_replaceable(held: Mapping[str, ChangeSet], changeset: ChangeSet) -> str | None:
    """The digest of the oldest proposal that surely never counts, or None.

    That is a rival of the change set's own revision (its proposer has looked and found none committed, and
    owns the register's key), or of a revision which it follows. All else may be committed.
    """
    ancestors = {one.digest: one.revision for one in _ancestors(held, changeset)}
    decided = {changeset.revision, *ancestors.values()}
    return next(
        (digest for digest, one in held.items() if digest not in ancestors and one.revision in decided), None
    )
