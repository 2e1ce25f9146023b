"""Proposes change sets to the other config servers and to subscribers, and holds those that others propose.

A proposal is committed by a change of the register, which is not made here (`change_committer.py`). Used by
`server.py` alone. No I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from pathsaddle.settings.catch_up import manifest_of
from pathsaddle.settings.documents import ChangeSet, InvalidDocumentError, RevisionId, digest_of, id_of
from pathsaddle.settings.events import InputRejected, ProposalAcknowledged
from pathsaddle.settings.messages import MAX_DATAGRAM_BYTES, CommitNotice, Message, Proposal, ProposalAck
from pathsaddle.settings.output import Outbox
from pathsaddle.settings.proposals import (
    MAX_PROPOSALS,
    MAX_ROUND_CHANGESETS,
    PendingRound,
    ProposalStore,
    check_proposal,
)
from pathsaddle.settings.store import Store
from pathsaddle.settings.subscriber_table import SubscriberTable
from pathsaddle.settings.timing import INITIAL_RETRY_TICKS, NEVER_DUE

REPEAT_TICKS = (
    INITIAL_RETRY_TICKS // 2
)  # until a proposal is sent again to a server that has not acknowledged it


class Proposer:
    """What one server proposes, and what it holds of others' proposals.

    Attributes:
        peers: The other servers.
        proposals: The change sets that are held.
        subscribers: Who is sent the next change set ahead of its commit.
        round: What this server proposes now.
    """

    def __init__(
        self,
        name: str,
        peers: Sequence[str],
        outbox: Outbox,
        proposals: ProposalStore,
        subscribers: SubscriberTable,
    ) -> None:
        """Proposes nothing yet."""
        self.name, self.peers, self.outbox = name, tuple(peers), outbox
        self.proposals, self.subscribers = proposals, subscribers
        self.round: PendingRound | None = None

    @property
    def store(self) -> Store:
        """What is committed, as far as this server has it."""
        return self.proposals.store

    def fits_one_round(self, changesets: Sequence[ChangeSet]) -> bool:
        """Whether these, one after another, may be proposed together: one alone always may."""
        return len(changesets) == 1 or (
            len(changesets) <= MAX_ROUND_CHANGESETS
            and self.outbox.size_of(self._proposal_of(changesets)) <= MAX_DATAGRAM_BYTES
        )

    def propose(self, changesets: Sequence[ChangeSet], now: int) -> None:
        """As `ConfigServer.propose`; raises InvalidDocumentError."""
        if not self.fits_one_round(changesets):
            raise InvalidDocumentError(f"{len(changesets)} groups, which don't go out together")
        store = self.store.copy()
        for one in changesets:
            store.append(one)
        if not self.hold(changesets, now):
            raise InvalidDocumentError(f"{MAX_PROPOSALS} offers are held that no reading has settled")
        self.round = PendingRound(tuple(changesets), store.digest, (self.name,), now + REPEAT_TICKS)
        for name in self.peers:
            self._send(name, changesets, now)
        self._report_acknowledged()

    def repeat(self, now: int) -> None:
        """Sends the proposal again, when that is due, to the servers that have not acknowledged it."""
        pending = self.round
        if pending is None or now < pending.due:
            return
        self.round = replace(pending, due=now + REPEAT_TICKS)
        for name in self.peers:
            if name not in pending.acknowledged_by:
                self._send(name, pending.changesets, now)

    def on_ack(self, ack: ProposalAck) -> None:
        """Takes that another server has the whole proposal on disk."""
        pending = self.round
        if pending is not None and ack.digest == pending.digest and ack.sender not in pending.acknowledged_by:
            self.round = replace(pending, acknowledged_by=(*pending.acknowledged_by, ack.sender))
            self._report_acknowledged()

    def on_proposal(self, proposal: Proposal, now: int) -> RevisionId | None:
        """Holds another server's proposal, and acknowledges it.

        Returns:
            The last change set's revision where the proposal is new and held now; None otherwise.
        """
        changesets = (proposal.changeset, *proposal.following)
        last = id_of(changesets[-1])
        if last.revision <= self.store.revision:
            if self.store.digest_at(last.revision) == last.digest:
                self.acknowledge(proposal.sender, last, now)
            return None
        if all(digest_of(one) in self.proposals.held for one in changesets):
            self.acknowledge(proposal.sender, last, now)
            return None
        try:
            check_proposal(changesets)
        except InvalidDocumentError as fault:
            self.outbox.report(
                InputRejected(str(fault), revision=last.revision, digest=last.digest, name=proposal.sender)
            )
            return None
        new = tuple(one for one in changesets if one.revision > self.store.revision)
        return last if self.hold(new, now) else None

    def acknowledge(self, server: str, proposed: RevisionId, now: int) -> None:
        """Tells another server that its proposal is on disk."""
        self.outbox.send(server, ProposalAck(self.name, *proposed), now)

    def hold(self, changesets: Sequence[ChangeSet], now: int) -> bool:
        """Whether all are on disk when what is sent leaves; none, if there is no room for one."""
        added = self.proposals.hold(changesets)
        if added is None:
            return False
        for changeset in added:
            if changeset.link == self.store.next_link:
                self._send_to_subscribers(changeset, now)
        return True

    def on_committed(self, changeset: ChangeSet, now: int) -> None:
        """Ends the round once its last change set, or a rival of one, is committed.

        The servers are told of the former.
        """
        pending = self.round
        if (
            pending is None
            or changeset.revision < pending.changesets[0].revision
            or changeset in pending.changesets[:-1]
        ):
            return
        self.round = None
        committed = id_of(changeset)
        if pending.digest == committed.digest:
            for name in self.peers:
                self.outbox.send(name, CommitNotice(self.name, committed), now)

    def next_due(self) -> int:
        """When `repeat` has something to do next, in ticks."""
        return NEVER_DUE if self.round is None else self.round.due

    def _report_acknowledged(self) -> None:
        pending = self.round
        majority = (len(self.peers) + 1) // 2 + 1
        if pending is not None and not pending.is_reported and len(pending.acknowledged_by) >= majority:
            self.round = replace(pending, is_reported=True)
            self.outbox.report(ProposalAcknowledged(pending.changesets[-1].revision, pending.digest))

    def _proposal_of(self, changesets: Sequence[ChangeSet]) -> Proposal:
        return Proposal(self.name, changesets[0], tuple(changesets[1:]))

    def _send(self, name: str, changesets: Sequence[ChangeSet], now: int) -> bool:
        message: Message = self._proposal_of(changesets)
        if self.outbox.size_of(message) > MAX_DATAGRAM_BYTES:  # one alone
            message = manifest_of(self.name, changesets[0], is_proposal=True)
        return self.outbox.send(name, message, now)

    def _send_to_subscribers(self, changeset: ChangeSet, now: int) -> None:
        """Proposes the next change set to those that have all before it.

        Where it is not paid for it is left: a proposal is a favour, the commit comes by itself.
        """
        digest = digest_of(changeset)
        for name, subscriber in list(self.subscribers.records.items()):
            if subscriber.applied == self.store.id and self._send(name, (changeset,), now):
                self.subscribers.on_proposal_sent(name, digest)
