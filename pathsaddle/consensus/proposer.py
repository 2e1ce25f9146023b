"""One key as one proposer sees it: ballots in two phases, a lease, and a fencing token to act under.

Invariant: a fencing token is held for one span of time, by one incarnation, and never again; while it is
held, a majority of acceptors holds the lease for it. The lease is reckoned from before the request was sent,
by a clock that may be slow. Broken by the mutants `lease-from-answer` and `number-reused`, and found by
`tests/test_consensus.py`.

A proposer is free of I/O and is never changed, only replaced, so that any thread may ask it for its fencing
token. `campaign.py` decides when it starts and repeats ballots.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import NamedTuple

from pathsaddle.consensus.messages import (
    NO_BALLOT,
    NO_VALUE,
    Accept,
    Accepted,
    Ballot,
    FencingToken,
    Incarnation,
    Message,
    Outgoing,
    Prepare,
    Promise,
    Refused,
    Release,
    Renew,
    RequestId,
    Revision,
    Ticks,
    Value,
    possible_lease_end,
)

MAX_OPEN_REQUESTS = 8  # requests of one ballot that may still be answered


class Phase(IntEnum):
    """Where a proposer's newest ballot stands."""

    IDLE = 0
    PREPARING = 1
    ACCEPTING = 2
    CHOSEN = 3


class Change(NamedTuple):
    """New data of a register, and the revision that it will have."""

    revision: Revision
    data: bytes


class Reply(NamedTuple):
    """A message of an acceptor, with the acceptor's incarnation as its envelope states it."""

    acceptor: str
    incarnation: Incarnation
    message: Message


class ReceivedPromise(NamedTuple):
    """One acceptor's promise to the newest ballot."""

    acceptor: str
    incarnation: Incarnation
    accepted: Ballot
    value: Value


class ReceivedRefusal(NamedTuple):
    """One acceptor's refusal of the newest ballot."""

    acceptor: str
    remaining_ticks: Ticks


class ReceivedAccept(NamedTuple):
    """One acceptor's acceptance; `sent_at` is when the newest request that it answered was sent."""

    acceptor: str
    incarnation: Incarnation
    sent_at: Ticks


class OpenRequest(NamedTuple):
    """A request that may still be answered."""

    request_id: RequestId
    sent_at: Ticks


class Step(NamedTuple):
    """The proposer after a step, and what it sends."""

    proposer: Proposer
    messages: list[Outgoing]


@dataclass(frozen=True, slots=True)
class Proposer:
    """The state of one proposer for one key.

    Attributes:
        key: The key.
        name: The name of this process.
        incarnation: Its incarnation.
        lease_ticks: The length of the leases that it proposes.
        acceptors: The names of all acceptors.
        round: The highest round seen.
        phase: Where the newest ballot stands.
        ballot: The newest ballot.
        promises: Who promised it.
        refusals: Who refused it.
        value: What is proposed under the ballot, or was chosen by it.
        accepts: Who accepted it.
        open_requests: The newest requests to accept or to renew.
        held_token: The fencing token that may be acted under before `lease_end`; 0: none.
        lease_end: The possible lease end.
        change: The change that the ballot is to make.
        retry_after_ticks: Where the last ballot was refused, after how many ticks another may be worth it.
        is_contested: An acceptor promised a higher ballot, so that renewals are in vain there.
    """

    key: str
    name: str
    incarnation: Incarnation
    lease_ticks: Ticks
    acceptors: tuple[str, ...]
    round: int = 0
    phase: Phase = Phase.IDLE
    ballot: Ballot = NO_BALLOT
    promises: tuple[ReceivedPromise, ...] = ()
    refusals: tuple[ReceivedRefusal, ...] = ()
    value: Value = NO_VALUE
    accepts: tuple[ReceivedAccept, ...] = ()
    open_requests: tuple[OpenRequest, ...] = ()
    held_token: FencingToken = 0
    lease_end: Ticks = 0
    change: Change | None = None
    retry_after_ticks: Ticks = 0
    is_contested: bool = False

    @property
    def majority(self) -> int:
        """How many acceptors are a majority."""
        return len(self.acceptors) // 2 + 1

    def fencing_token(self, now: Ticks) -> FencingToken:
        """Return the fencing token that may be acted under, or 0.

        It is to be asked for just before each effect and never to be remembered.
        """
        return self.held_token if now < self.lease_end else 0

    def expire(self, now: Ticks) -> Proposer:
        """Return the proposer without a lease that has ended.

        The end is final: no late answer brings the lease back, nor does a ballot succeed that was begun under
        it.
        """
        if self.held_token and now >= self.lease_end:
            return replace(self, held_token=0, phase=Phase.IDLE, change=None, retry_after_ticks=0)
        return self

    def start_ballot(self, now: Ticks, data: bytes | None = None) -> Step:
        """Start a new ballot: to get the lease, or, having it, to keep it or to change the data."""
        current = self.expire(now)
        ballot = Ballot(current.round + 1, current.name, current.incarnation)
        started = replace(
            current,
            round=ballot.round,
            phase=Phase.PREPARING,
            ballot=ballot,
            promises=(),
            refusals=(),
            accepts=(),
            open_requests=(),
            is_contested=False,
            change=current.change if data is None else Change(current.value.revision + 1, data),
        )
        prepare = Prepare(started.key, ballot)
        return Step(started, [Outgoing(acceptor, prepare) for acceptor in started.acceptors])

    def repeat(self, request_id: RequestId, now: Ticks) -> Step:
        """Send each acceptor again what it has not answered; a chosen ballot is renewed at all of them."""
        current = self.expire(now)
        if current.phase == Phase.PREPARING:
            promised = {promise.acceptor for promise in current.promises}
            prepare = Prepare(current.key, current.ballot)
            return Step(
                current,
                [Outgoing(acceptor, prepare) for acceptor in current.acceptors if acceptor not in promised],
            )
        if current.phase not in (Phase.ACCEPTING, Phase.CHOSEN):
            return Step(current, [])
        accepted = {accept.acceptor for accept in current.accepts}
        requests = (*current.open_requests, OpenRequest(request_id, now))[-MAX_OPEN_REQUESTS:]
        current = replace(current, open_requests=requests)
        return Step(
            current,
            [
                Outgoing(
                    acceptor,
                    Renew(current.key, current.ballot, request_id)
                    if acceptor in accepted and current.phase == Phase.CHOSEN
                    else Accept(current.key, current.ballot, current.value, request_id),
                )
                for acceptor in current.acceptors
            ],
        )

    def on_message(
        self, reply: Reply, known: Mapping[str, Incarnation], request_id: RequestId, now: Ticks
    ) -> Step:
        """Take in an acceptor's message.

        Args:
            reply: The message and who sent it.
            known: The highest incarnation of each acceptor that any acceptor told.
            request_id: For a request that this may lead to.
            now: The moment.
        """
        current = self.expire(now)
        message = reply.message
        if reply.acceptor not in current.acceptors or reply.incarnation < known.get(reply.acceptor, 0):
            return Step(current, [])
        if isinstance(message, Promise) and message.ballot == current.ballot:
            if current.phase != Phase.PREPARING:
                return Step(current, [])
            others = [promise for promise in current.promises if promise.acceptor != reply.acceptor]
            promise = ReceivedPromise(reply.acceptor, reply.incarnation, message.accepted, message.value)
            current = replace(current, promises=(*others, promise))
            return current.propose_if_promised(known, request_id, now)
        if isinstance(message, Accepted) and message.ballot == current.ballot:
            return Step(current.with_accept(reply, message, known, now), [])
        if isinstance(message, Refused) and message.ballot == current.ballot:
            return Step(current.with_refusal(reply.acceptor, message), [])
        return Step(current, [])

    def propose_if_promised(
        self, known: Mapping[str, Incarnation], request_id: RequestId, now: Ticks
    ) -> Step:
        """Go on to phase 2 with a majority of promises: propose the highest accepted value or its successor.

        Counted are only promises of incarnations that no other acceptor knows to be over.
        """
        valid = [
            promise for promise in self.promises if promise.incarnation >= known.get(promise.acceptor, 0)
        ]
        if len(valid) < self.majority:
            return Step(self, [])
        value = self._next_value(max(valid, key=lambda promise: promise.accepted).value)
        if value is None:
            # Acceptors lost more than may be lost: whatever came of it, the lease is not ours.
            return Step(replace(self, held_token=0, phase=Phase.IDLE, change=None), [])
        proposing = replace(
            self,
            phase=Phase.ACCEPTING,
            value=value,
            refusals=(),
            accepts=(),
            open_requests=(OpenRequest(request_id, now),),
        )
        accept = Accept(self.key, self.ballot, value, request_id)
        return Step(proposing, [Outgoing(acceptor, accept) for acceptor in self.acceptors])

    def _next_value(self, value: Value) -> Value | None:
        """Return what to propose after the value that a majority knows; None: we have lost the lease."""
        if not self.held_token:
            token = value.fencing_token + 1
            return Value(self.name, self.incarnation, token, self.lease_ticks, value.revision, value.data)
        if (value.holder, value.incarnation, value.fencing_token) != (
            self.name,
            self.incarnation,
            self.held_token,
        ):
            return None
        if self.change is None or value.revision >= self.change.revision:
            return value
        return Value(value.holder, value.incarnation, value.fencing_token, self.lease_ticks, *self.change)

    def with_accept(
        self, reply: Reply, message: Accepted, known: Mapping[str, Incarnation], now: Ticks
    ) -> Proposer:
        """Count an acceptance of the newest ballot, if it answers an open request."""
        sent_at = dict(self.open_requests).get(message.request_id)
        if sent_at is None or self.phase not in (Phase.ACCEPTING, Phase.CHOSEN):
            return self
        acceptor, incarnation = reply.acceptor, reply.incarnation
        earlier = [
            accept.sent_at
            for accept in self.accepts
            if (accept.acceptor, accept.incarnation) == (acceptor, incarnation)
        ]
        newest = ReceivedAccept(acceptor, incarnation, max([sent_at, *earlier]))
        others = [accept for accept in self.accepts if accept.acceptor != acceptor]
        return replace(self, accepts=(*others, newest)).choose_if_accepted(known, now)

    def choose_if_accepted(self, known: Mapping[str, Incarnation], now: Ticks) -> Proposer:
        """With a majority of acceptances the value is chosen; the lease starts at their oldest request."""
        sent = sorted(
            (
                accept.sent_at
                for accept in self.accepts
                if accept.incarnation >= known.get(accept.acceptor, 0)
            ),
            reverse=True,
        )
        if len(sent) < self.majority:
            return self
        lease_end = possible_lease_end(sent[self.majority - 1], self.value.lease_ticks)
        if self.phase == Phase.CHOSEN:
            return replace(self, lease_end=max(self.lease_end, lease_end))
        if now >= lease_end:  # chosen too late: another ballot, another fencing token
            return replace(self, phase=Phase.IDLE, retry_after_ticks=0, change=None)
        return replace(
            self,
            phase=Phase.CHOSEN,
            held_token=self.value.fencing_token,
            lease_end=max(lease_end, self.lease_end) if self.held_token else lease_end,
            change=None,
        )

    def with_refusal(self, acceptor: str, message: Refused) -> Proposer:
        """Count a refusal of the newest ballot; when no majority is left, the ballot is given up."""
        if self.phase == Phase.IDLE:
            return self
        current = replace(self, round=max(self.round, message.promised.round))
        if current.phase == Phase.CHOSEN:
            return replace(current, is_contested=current.is_contested or message.promised > current.ballot)
        others = [refusal for refusal in current.refusals if refusal.acceptor != acceptor]
        refusals = (*others, ReceivedRefusal(acceptor, message.remaining_ticks))
        current = replace(current, refusals=refusals)
        if len(current.acceptors) - len(refusals) < current.majority:
            retry_after_ticks = min(refusal.remaining_ticks for refusal in refusals)
            current = replace(current, phase=Phase.IDLE, retry_after_ticks=retry_after_ticks)
        return current

    def stop(self) -> Step:
        """Act no more from this moment on; then acceptors may end the lease early."""
        messages: list[Outgoing] = []
        if self.phase in (Phase.ACCEPTING, Phase.CHOSEN):
            release = Release(self.key, self.ballot)
            messages = [Outgoing(acceptor, release) for acceptor in self.acceptors]
        stopped = replace(
            self,
            held_token=0,
            lease_end=0,
            phase=Phase.IDLE,
            change=None,
            promises=(),
            accepts=(),
            open_requests=(),
        )
        return Step(stopped, messages)
