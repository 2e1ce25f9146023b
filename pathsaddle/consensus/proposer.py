"""One key as one that stands for it sees it: ballots in two phases, a lease, and what it may act under.

Bound: a number is owned from one moment to one other, by one life, and is never owned again; while it is
owned a majority of voters holds for it. The lease is reckoned from before the asking, by a clock that may be
slow. No I/O; never changed, only replaced.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from pathsaddle.consensus.messages import (
    NO_BALLOT,
    NO_VALUE,
    Accept,
    Accepted,
    Ballot,
    Message,
    Prepare,
    Promise,
    Refused,
    Release,
    Renew,
    Value,
    maybe,
)

IDLE, PREPARING, ACCEPTING, CHOSEN = range(4)
ASKS = 8  # askings that may still be answered
Outbox = list[tuple[str, Message]]


@dataclass(frozen=True, slots=True)
class Proposer:
    """round: the highest seen. value: what is proposed under `ballot`, or chosen by it. votes: (voter, its
    start, when we sent the newest asking that it answered). number: may be acted under before `until`; 0:
    none. left: where the last ballot was refused, after how many ticks it may be worth another.
    """

    key: str
    name: str
    life: int
    lease: int
    voters: tuple[str, ...]
    round: int = 0
    phase: int = IDLE
    ballot: Ballot = NO_BALLOT
    promises: tuple[tuple[str, int, Ballot, Value], ...] = ()
    refusals: tuple[tuple[str, int], ...] = ()
    value: Value = NO_VALUE
    votes: tuple[tuple[str, int, int], ...] = ()
    asks: tuple[tuple[int, int], ...] = ()
    number: int = 0
    until: int = 0
    put: tuple[int, bytes] | None = None
    left: int = 0
    shaken: bool = False  # a voter has promised a higher ballot: renewals there are in vain

    @property
    def need(self) -> int:
        return len(self.voters) // 2 + 1

    def fencing_token(self, now: int) -> int:
        """The number, 0 where it may not. Asked for just before each effect, never remembered."""
        return self.number if now < self.until else 0

    def lapsed(self, now: int) -> Proposer:
        """A lease that ended has ended for good: no late answer brings it back,
        nor does a ballot begun under it end well.
        """
        if self.number and now >= self.until:
            return replace(self, number=0, phase=IDLE, put=None, left=0)
        return self

    def begin(self, now: int, put: bytes | None = None) -> tuple[Proposer, Outbox]:
        """A new ballot: to own the key, or, owning it, to go on or to change its data."""
        bid = self.lapsed(now)
        ballot = Ballot(bid.round + 1, bid.name, bid.life)
        bid = replace(
            bid,
            round=ballot.round,
            phase=PREPARING,
            ballot=ballot,
            promises=(),
            refusals=(),
            votes=(),
            asks=(),
            shaken=False,
            put=bid.put if put is None else (bid.value.revision + 1, put),
        )
        return bid, [(voter, Prepare(bid.key, ballot)) for voter in bid.voters]

    def again(self, ask: int, now: int) -> tuple[Proposer, Outbox]:
        """Says what it said to whom it has no answer from; of a chosen ballot: renews it at all."""
        bid = self.lapsed(now)
        if bid.phase == PREPARING:
            there = {row[0] for row in bid.promises}
            return bid, [(voter, Prepare(bid.key, bid.ballot)) for voter in bid.voters if voter not in there]
        if bid.phase not in (ACCEPTING, CHOSEN):
            return bid, []
        there = {row[0] for row in bid.votes}
        bid = replace(bid, asks=(*bid.asks, (ask, now))[-ASKS:])
        return bid, [
            (
                voter,
                Renew(bid.key, bid.ballot, ask)
                if voter in there and bid.phase == CHOSEN
                else Accept(bid.key, bid.ballot, bid.value, ask),
            )
            for voter in bid.voters
        ]

    def heard(
        self, voter: str, start: int, known: Mapping[str, int], message: Message, ask: int, now: int
    ) -> tuple[Proposer, Outbox]:
        """`start`: of the voter, as its answer says; `known`: the highest of each that any voter told. `ask`:
        a number for an asking that may come of it.
        """
        bid = self.lapsed(now)
        if voter not in bid.voters or start < known.get(voter, 0):
            return bid, []
        if isinstance(message, Promise) and message.ballot == bid.ballot and bid.phase == PREPARING:
            rows = [row for row in bid.promises if row[0] != voter]
            bid = replace(bid, promises=(*rows, (voter, start, message.accepted, message.value)))
            return bid._promised(known, ask, now)
        if (
            isinstance(message, Accepted)
            and message.ballot == bid.ballot
            and bid.phase in (ACCEPTING, CHOSEN)
        ):
            sent = dict(bid.asks).get(message.ask)
            if sent is None:
                return bid, []
            sent = max([sent, *(row[2] for row in bid.votes if row[:2] == (voter, start))])
            bid = replace(bid, votes=(*(row for row in bid.votes if row[0] != voter), (voter, start, sent)))
            return bid._accepted(known, now), []
        if isinstance(message, Refused) and message.ballot == bid.ballot and bid.phase != IDLE:
            bid = replace(bid, round=max(bid.round, message.promised.round))
            if bid.phase == CHOSEN:
                return replace(bid, shaken=bid.shaken or message.promised > bid.ballot), []
            rest = [row for row in bid.refusals if row[0] != voter]
            bid = replace(bid, refusals=(*rest, (voter, message.left)))
            if len(bid.voters) - len(bid.refusals) < bid.need:
                bid = replace(bid, phase=IDLE, left=min(left for _, left in bid.refusals))
            return bid, []
        return bid, []

    def _promised(self, known: Mapping[str, int], ask: int, now: int) -> tuple[Proposer, Outbox]:
        there = [row for row in self.promises if row[1] >= known.get(row[0], 0)]
        if len(there) < self.need:
            return self, []
        value = max(there, key=lambda row: row[2])[3]
        bid = self
        if bid.number:
            if (value.owner, value.life, value.number) != (bid.name, bid.life, bid.number):
                # Voters that lost more than may be lost: whatever came of it, we are not it.
                return replace(bid, number=0, phase=IDLE, put=None), []
            if bid.put is not None and value.revision < bid.put[0]:
                value = Value(value.owner, value.life, value.number, bid.lease, *bid.put)
        else:
            value = Value(bid.name, bid.life, value.number + 1, bid.lease, value.revision, value.data)
        bid = replace(bid, phase=ACCEPTING, value=value, refusals=(), votes=(), asks=((ask, now),))
        return bid, [(voter, Accept(bid.key, bid.ballot, value, ask)) for voter in bid.voters]

    def _accepted(self, known: Mapping[str, int], now: int) -> Proposer:
        sent = sorted((row[2] for row in self.votes if row[1] >= known.get(row[0], 0)), reverse=True)
        if len(sent) < self.need:
            return self
        until = sent[self.need - 1] + maybe(self.value.lease)
        if self.phase == CHOSEN:
            return replace(self, until=max(self.until, until))
        if now >= until:  # chosen too late: another ballot, another number
            return replace(self, phase=IDLE, left=0, put=None)
        until = max(until, self.until) if self.number else until
        return replace(self, phase=CHOSEN, number=self.value.number, until=until, put=None)

    def stopped(self) -> tuple[Proposer, Outbox]:
        """Acts no more from this moment; then what is held for it may be let go."""
        out: Outbox = []
        if self.phase in (ACCEPTING, CHOSEN):
            out = [(voter, Release(self.key, self.ballot)) for voter in self.voters]
        return replace(self, number=0, until=0, phase=IDLE, put=None, promises=(), votes=(), asks=()), out
