"""One key at one acceptor: Paxos' acceptor rules, and the lease that it holds for the lease holder.

`Acceptor` asks for a transition with each message and sees to it that the state is on disk before the answer
is sent. Free of I/O; never changed, only replaced, so that the model checker can explore it.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple

from pathsaddle.consensus.messages import (
    NO_BALLOT,
    NO_STATE,
    Accept,
    Accepted,
    Ballot,
    KeyState,
    LeaseReleased,
    Message,
    Prepare,
    Promise,
    Read,
    ReadReply,
    Refused,
    Release,
    Renew,
    Ticks,
    certain_lease_end,
)


class Transition(NamedTuple):
    """What a message makes of a key, and the answer; where `state` changed, the answer waits for the disk."""

    key: AcceptorKey
    answer: Message | None


@dataclass(frozen=True, slots=True)
class AcceptorKey:
    """An acceptor's part in one key.

    Attributes:
        state: What is on disk.
        lease_end: Until when it holds for the value's lease holder: the certain lease end.
        released: The ballot whose lease holder released its lease.
    """

    state: KeyState = NO_STATE
    lease_end: Ticks = 0
    released: Ballot = NO_BALLOT

    def after_restart(self, now: Ticks) -> AcceptorKey:
        """Return the key as an acceptor that starts has it: a whole lease is held for whoever is on disk.

        A renewal writes nothing, so an acceptor that starts cannot know how long it held; a whole lease from
        its start ends later than any that an earlier run of it can have held.
        """
        value = self.state.value
        lease_end = certain_lease_end(now, value.lease_ticks) if value.holder else 0
        return AcceptorKey(self.state, lease_end)

    def on_message(self, key: str, message: Message, now: Ticks) -> Transition:
        """Take in a proposer's or a reader's message about this key."""
        match message:
            case Prepare():
                return self._on_prepare(message, now)
            case Accept():
                return self._on_accept(message, now)
            case Renew():
                return self._on_renew(message, now)
            case Release():
                return self._on_release(message)
            case Read():
                state = self.state
                reply = ReadReply(key, message.request_id, state.promised, state.accepted, state.value)
                return Transition(self, reply)
        return Transition(self, None)

    def _on_prepare(self, message: Prepare, now: Ticks) -> Transition:
        ballot, state = message.ballot, self.state
        is_holder = (state.value.holder, state.value.incarnation) == (ballot.proposer, ballot.incarnation)
        if ballot < state.promised or (now < self.lease_end and not is_holder):
            return Transition(self, self._refusal(message.key, ballot, now))
        promised = self
        if ballot > state.promised:
            promised = replace(self, state=KeyState(ballot, state.accepted, state.value))
        return Transition(promised, Promise(message.key, ballot, state.accepted, state.value))

    def _on_accept(self, message: Accept, now: Ticks) -> Transition:
        # A lease that is held for another is no obstacle: a majority promised, so that lease has ended.
        ballot = message.ballot
        if ballot < self.state.promised:
            return Transition(self, self._refusal(message.key, ballot, now))
        answer = Accepted(message.key, ballot, message.request_id)
        if ballot == self.released:
            return Transition(self, answer)
        lease_end = max(
            self.lease_end if ballot == self.state.accepted else 0,
            certain_lease_end(now, message.value.lease_ticks),
        )
        accepted = replace(self, state=KeyState(ballot, ballot, message.value), lease_end=lease_end)
        return Transition(accepted, answer)

    def _on_renew(self, message: Renew, now: Ticks) -> Transition:
        state = self.state
        if message.ballot < state.promised:
            return Transition(self, self._refusal(message.key, message.ballot, now))
        if message.ballot != state.accepted or message.ballot == self.released:
            return Transition(self, None)
        lease_end = max(self.lease_end, certain_lease_end(now, state.value.lease_ticks))
        answer = Accepted(message.key, message.ballot, message.request_id)
        return Transition(replace(self, lease_end=lease_end), answer)

    def _on_release(self, message: Release) -> Transition:
        if message.ballot == self.state.accepted and message.ballot != self.released:
            released = replace(self, lease_end=0, released=message.ballot)
            return Transition(released, LeaseReleased(message.key))
        return Transition(self, None)

    def _refusal(self, key: str, ballot: Ballot, now: Ticks) -> Refused:
        state = self.state
        remaining_ticks = max(0, self.lease_end - now)
        return Refused(
            key, ballot, state.promised, remaining_ticks, state.value.holder, state.value.fencing_token
        )

    def merge(self, other: KeyState) -> AcceptorKey:
        """Return the key with what another acceptor has of it."""
        mine = self.state
        newer = other if other.accepted > mine.accepted else mine
        merged = KeyState(max(mine.promised, other.promised), newer.accepted, newer.value)
        return replace(self, state=merged)


EMPTY_KEY = AcceptorKey()
