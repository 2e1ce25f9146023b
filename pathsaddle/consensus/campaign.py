"""One key for which this process campaigns: when to start a ballot, to renew, to back off, to release.

`LeaseManager` holds a campaign for each key and feeds it moments and messages. A campaign draws from the
manager's random generator, sends nothing itself and keeps no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import NamedTuple

from pathsaddle.consensus.events import (
    BallotEnded,
    BallotStarted,
    CommitOutcomeUnknown,
    Committed,
    LeaseAcquired,
    LeaseEvent,
    LeaseLost,
    LeaseRenewed,
    OperationKind,
    Outcome,
    OwnLeaseReleased,
)
from pathsaddle.consensus.messages import (
    Ballot,
    FencingToken,
    Incarnation,
    LeaseReleased,
    Outgoing,
    Refused,
    Release,
    RequestId,
    Revision,
    Ticks,
    possible_lease_end,
)
from pathsaddle.consensus.proposer import Change, Phase, Proposer, Reply

NEVER = 1 << 60  # a moment that does not come
MAX_PHASE_SENDS = 4  # how often a phase of a ballot is sent before the ballot is given up
RELEASE_SENDS = 2  # further times that a release is sent: a datagram may be lost
MAX_BACKOFF_DOUBLINGS = 12  # beyond it the lease bounds the backoff anyway
EARLY_RENEWAL_PART = 12  # of a lease: renewals due within it go together with those that are due
RENEWAL_PART = 3  # a lease is renewed after a third of it, so that a renewal may be lost and repeated
# Whoever is not preferred, or holds much already, comes later, by eighths of the span.
PREFERENCE_SPAN_PART = 8
MAX_HELD_EIGHTHS = 8


class Operation(NamedTuple):
    """The ballot under way, as histories name it."""

    operation_id: str
    kind: OperationKind


class PendingRelease(NamedTuple):
    """A release that is sent again."""

    ballot: Ballot
    sends_left: int


@dataclass
class SharedState:
    """What all campaigns of one lease manager share.

    Attributes:
        name: The name of this process.
        incarnation: Its incarnation.
        lease_ticks: The length of a lease.
        retry_ticks: After how long an unanswered request is sent again.
        rng: The one random generator.
        count_held_keys: Returns how many keys this process holds at a moment.
        known_incarnations: The highest known incarnation of each acceptor.
        messages: What is to be sent.
        events: What happened.
        last_request_id: The last one that was given out.
        is_stopping: The process ends: nothing is campaigned for any more.
        record_history: Whether events for checkers of histories are wanted.
    """

    name: str
    incarnation: Incarnation
    lease_ticks: Ticks
    retry_ticks: Ticks
    rng: Random
    count_held_keys: Callable[[Ticks], int]
    known_incarnations: dict[str, Incarnation] = field(default_factory=dict)
    messages: list[Outgoing] = field(default_factory=list)
    events: list[LeaseEvent] = field(default_factory=list)
    last_request_id: RequestId = 0
    is_stopping: bool = False
    record_history: bool = False

    def next_request_id(self) -> RequestId:
        """Return a number that no request of this incarnation had."""
        self.last_request_id += 1
        return self.last_request_id


class Campaign:
    """The campaign for one key.

    Attributes:
        key: The key.
        proposer: Its proposer; replaced with each step.
        is_preferred: Whether the key is wanted here, in this process's zone.
        next_wakeup: When `wake` is wanted.
    """

    def __init__(
        self, proposer: Proposer, is_preferred: bool, next_wakeup: Ticks, shared: SharedState
    ) -> None:
        self.key = proposer.key
        self.proposer = proposer
        self.is_preferred = is_preferred
        self.next_wakeup = next_wakeup
        self._shared = shared
        self._not_before: Ticks = 0  # after a release: no earlier ballot
        self._failed_ballots = 0
        self._phase_sends = 0
        self._pending_change: Change | None = None
        self._queued_change: Change | None = None
        self._pending_release: PendingRelease | None = None
        self._operation: Operation | None = None

    # What the process wants.

    def commit(self, data: bytes, now: Ticks) -> Revision:
        """Change the register's data; return the revision it will have, or 0 if that cannot be tried now."""
        if not self.proposer.fencing_token(now) or self._queued_change or self._pending_change:
            return 0
        self._queued_change = Change(self.proposer.value.revision + 1, data)
        self.next_wakeup = now
        return self._queued_change.revision

    def release(self, now: Ticks, reason: str) -> None:
        """Give the lease back, and do not campaign for two leases."""
        shared = self._shared
        fencing_token: FencingToken = self.proposer.fencing_token(now)
        ballot = self.proposer.ballot
        self._end_operation(self._abandoned())
        self.proposer, messages = self.proposer.stop()
        self._report_unknown_commits()
        if fencing_token:
            shared.events.append(OwnLeaseReleased(self.key, fencing_token, reason))
        if messages:
            shared.messages += messages
            self._pending_release = PendingRelease(ballot, RELEASE_SENDS)
        self._failed_ballots, self._not_before = 0, now + 2 * shared.lease_ticks
        self.next_wakeup = now + shared.retry_ticks

    # Moments.

    def wake(self, now: Ticks) -> None:
        """Do what is due."""
        self._expire(now)
        if self.next_wakeup > now and self.proposer.phase == Phase.IDLE:
            return
        if self._pending_release is not None:
            self._repeat_release(self._pending_release, now)
            return
        if self._shared.is_stopping:
            self.next_wakeup = NEVER
            return
        proposer = self.proposer
        if proposer.phase == Phase.CHOSEN and self._queued_change is None and not proposer.is_contested:
            self._renew(now)
        elif proposer.phase in (Phase.IDLE, Phase.CHOSEN):
            self._start_ballot(now)
        elif self._phase_sends >= MAX_PHASE_SENDS:
            self.proposer = replace(proposer, phase=Phase.IDLE)
            self._end_operation(_outcome_in(proposer.phase))
            self._back_off(now, 0)
        else:
            self._repeat(now, now + self._shared.retry_ticks)

    def is_early_renewal(self, now: Ticks) -> bool:
        """Whether the lease can be renewed a little early, together with others that are due."""
        early = now + self._shared.lease_ticks // EARLY_RENEWAL_PART
        return self.next_wakeup <= early and self.proposer.phase == Phase.CHOSEN and not self._phase_sends

    def _repeat_release(self, pending: PendingRelease, now: Ticks) -> None:
        shared = self._shared
        release = Release(self.key, pending.ballot)
        shared.messages += [Outgoing(acceptor, release) for acceptor in self.proposer.acceptors]
        if pending.sends_left > 1:
            self._pending_release = PendingRelease(pending.ballot, pending.sends_left - 1)
            self.next_wakeup = now + shared.retry_ticks
        else:
            self._pending_release = None
            self.next_wakeup = NEVER if shared.is_stopping else self._not_before

    def _renew(self, now: Ticks) -> None:
        proposer = self.proposer
        if now < self._renewal_time(proposer) - self._shared.lease_ticks // EARLY_RENEWAL_PART:
            self.next_wakeup = min(self._renewal_time(proposer), proposer.lease_end)
            return
        self._repeat(now, min(now + self._shared.retry_ticks, proposer.lease_end))

    def _repeat(self, now: Ticks, next_wakeup: Ticks) -> None:
        self.proposer, messages = self.proposer.repeat(self._shared.next_request_id(), now)
        self._phase_sends += 1
        self.next_wakeup = next_wakeup
        self._shared.messages += messages

    def _start_ballot(self, now: Ticks) -> None:
        data = None
        if self._queued_change is not None:
            self._pending_change, self._queued_change = self._queued_change, None
            data = self._pending_change.data
        self._end_operation(self._abandoned())
        self.proposer, messages = self.proposer.start_ballot(now, data)
        self._start_operation()
        self._not_before, self._phase_sends = now, 1
        self.next_wakeup = now + self._shared.retry_ticks
        self._shared.messages += messages

    def _renewal_time(self, proposer: Proposer) -> Ticks:
        """Return a third of the lease after the request that the lease is reckoned from."""
        lease_span = possible_lease_end(0, proposer.value.lease_ticks)
        return proposer.lease_end - lease_span + self._shared.lease_ticks // RENEWAL_PART

    def _back_off(self, now: Ticks, remaining_ticks: Ticks) -> None:
        """Back off with full jitter; where another's lease stands in the way, until a while after its end."""
        shared = self._shared
        if self.proposer.fencing_token(now):  # the lease holder has no time to lose
            self.next_wakeup = now + 1 + shared.rng.randrange(shared.retry_ticks)
        elif remaining_ticks:
            self._failed_ballots = 0
            span = shared.lease_ticks // PREFERENCE_SPAN_PART
            self.next_wakeup = now + remaining_ticks + self._turn_delay(now, span)
        else:
            self._failed_ballots = min(self._failed_ballots + 1, MAX_BACKOFF_DOUBLINGS)
            longest = min(shared.lease_ticks, 2 * shared.retry_ticks << self._failed_ballots)
            self.next_wakeup = now + 1 + shared.rng.randrange(longest)

    def _turn_delay(self, now: Ticks, span: Ticks) -> Ticks:
        """Draw when it is our turn at a free key: early where it is wanted, late where much is held."""
        delay = self._shared.rng.randrange(1, max(2, span))
        if not self.is_preferred:
            delay += span
        held = min(MAX_HELD_EIGHTHS, self._shared.count_held_keys(now))
        return delay + span * held // MAX_HELD_EIGHTHS

    # What acceptors answer.

    def on_message(self, reply: Reply, known: Mapping[str, Incarnation], now: Ticks) -> None:
        """Take in an acceptor's message about this key."""
        self._expire(now)
        shared = self._shared
        message = reply.message
        if isinstance(message, LeaseReleased):
            self._on_lease_released(now)
            return
        before = self.proposer
        after, messages = before.on_message(reply, known, shared.next_request_id(), now)
        self.proposer = after
        shared.messages += messages
        if after is before or self._pending_release is not None:
            return
        if after.phase == Phase.CHOSEN:
            self._on_chosen(before, after, now)
        elif before.phase == Phase.PREPARING and after.phase == Phase.ACCEPTING:
            self._phase_sends, self.next_wakeup = 1, now + shared.retry_ticks
        elif after.phase == Phase.IDLE and before.phase != Phase.IDLE:
            self._end_operation(_outcome_in(before.phase))
            if before.held_token and not after.held_token:
                shared.events.append(LeaseLost(self.key, before.held_token, "the register holds another"))
                self._report_unknown_commits()
            self._back_off(now, after.retry_after_ticks if isinstance(message, Refused) else 0)

    def _on_lease_released(self, now: Ticks) -> None:
        is_free_to_campaign = (
            self.proposer.phase == Phase.IDLE
            and self._pending_release is None
            and not self._shared.is_stopping
            and self._not_before <= now
        )
        if is_free_to_campaign:
            self._failed_ballots = 0
            delay = self._turn_delay(now, self._shared.retry_ticks // 4)
            self.next_wakeup = min(self.next_wakeup, now + delay)

    def _on_chosen(self, before: Proposer, after: Proposer, now: Ticks) -> None:
        events = self._shared.events
        is_newly_chosen = before.phase == Phase.ACCEPTING
        self._failed_ballots = 0
        if is_newly_chosen:
            self._end_operation(Outcome.OK)
            change = self._pending_change
            if change is not None and after.value.revision >= change.revision:
                events.append(Committed(self.key, after.held_token, change.revision))
                self._pending_change = None
        if after.held_token != before.held_token:
            events.append(LeaseAcquired(self.key, after.held_token, after.value.revision, after.lease_end))
        elif self._shared.record_history and after.lease_end > before.lease_end:
            events.append(LeaseRenewed(self.key, after.held_token, after.lease_end))
        if is_newly_chosen or after.lease_end > before.lease_end:
            self._phase_sends = 0
            self.next_wakeup = min(max(now + 1, self._renewal_time(after)), after.lease_end)
        if (after.is_contested and not before.is_contested) or self._queued_change is not None:
            self.next_wakeup = now

    def _expire(self, now: Ticks) -> None:
        before = self.proposer
        self.proposer = before.expire(now)
        if before.held_token and not self.proposer.held_token:
            self._shared.events.append(LeaseLost(self.key, before.held_token, "no majority renewed it"))
            self._end_operation(_outcome_in(before.phase))
            self._report_unknown_commits()
            self._back_off(now, 0)

    # Events.

    def _abandoned(self) -> Outcome:
        """How the ballot under way ends if it is given up now."""
        return _outcome_in(self.proposer.phase)

    def _start_operation(self) -> None:
        shared, proposer = self._shared, self.proposer
        if not shared.record_history:
            return
        kind = OperationKind.RENEW
        if not proposer.held_token:
            kind = OperationKind.TAKE
        elif proposer.change is not None:
            kind = OperationKind.SET
        operation_id = f"{shared.name}/{shared.incarnation}/{self.key}/{proposer.ballot.round}"
        self._operation = Operation(operation_id, kind)
        change = proposer.change if proposer.change is not None else Change(1, b"")
        shared.events.append(
            BallotStarted(self.key, operation_id, kind, proposer.held_token, change.revision - 1, change.data)
        )

    def _end_operation(self, outcome: Outcome) -> None:
        if self._operation is None:
            return
        value = self.proposer.value
        self._shared.events.append(
            BallotEnded(
                self.key,
                *self._operation,
                outcome,
                value.fencing_token,
                value.revision,
                value.data,
            )
        )
        self._operation = None

    def _report_unknown_commits(self) -> None:
        for change in (self._pending_change, self._queued_change):
            if change is not None:
                self._shared.events.append(CommitOutcomeUnknown(self.key, change.revision))
        self._pending_change = self._queued_change = None


def _outcome_in(phase: Phase) -> Outcome:
    """Return how a ballot ends that is given up in this phase: acceptors may have accepted it, or not."""
    return Outcome.UNKNOWN if phase == Phase.ACCEPTING else Outcome.REFUSED
