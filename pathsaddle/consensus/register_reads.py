"""Reads of registers: what a majority of acceptors holds at one moment.

Free of I/O; `LeaseManager` feeds it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from pathsaddle.consensus.events import ReadCompleted
from pathsaddle.consensus.messages import (
    NO_BALLOT,
    NO_VALUE,
    Ballot,
    Incarnation,
    ReadReply,
    RequestId,
    Ticks,
    Value,
)

MAX_OPEN_READS = 256


class ReadAnswer(NamedTuple):
    """What one acceptor holds."""

    incarnation: Incarnation
    accepted: Ballot
    value: Value


@dataclass(slots=True)
class OpenRead:
    """A read that waits for a majority."""

    key: str
    sent_at: Ticks
    answers: dict[str, ReadAnswer] = field(default_factory=dict)


class RegisterReads:
    """All reads under way, oldest first."""

    def __init__(self, acceptor_count: int, timeout_ticks: Ticks) -> None:
        self._acceptor_count = acceptor_count
        self._timeout_ticks = timeout_ticks
        self._open: dict[RequestId, OpenRead] = {}

    def is_full(self) -> bool:
        """Whether no further read may start."""
        return len(self._open) >= MAX_OPEN_READS

    def start(self, request_id: RequestId, key: str, now: Ticks) -> None:
        """Start a read; the caller sends `Read` to all acceptors."""
        self._open[request_id] = OpenRead(key, now)

    def next_timeout(self) -> Ticks | None:
        """Return when the oldest read times out."""
        oldest = next(iter(self._open.values()), None)
        return oldest.sent_at + self._timeout_ticks if oldest is not None else None

    def time_out(self, now: Ticks) -> list[ReadCompleted]:
        """End the reads that no majority answered in time."""
        late = [
            request_id for request_id, read in self._open.items() if now >= read.sent_at + self._timeout_ticks
        ]
        return [ReadCompleted(self._open.pop(request_id).key, request_id, None) for request_id in late]

    def on_reply(
        self, acceptor: str, incarnation: Incarnation, reply: ReadReply, known: Mapping[str, Incarnation]
    ) -> ReadCompleted | None:
        """Take in an answer; a read ends once a majority accepted a value under one ballot.

        That value was the register's when the read started, or came later. Answers of incarnations that are
        known to be over do not count.
        """
        read = self._open.get(reply.request_id)
        if read is None or read.key != reply.key:
            return None
        read.answers[acceptor] = ReadAnswer(incarnation, reply.accepted, reply.value)
        valid = [answer for name, answer in read.answers.items() if answer.incarnation >= known.get(name, 0)]
        for answer in valid:
            agreeing = sum(1 for other in valid if other.accepted == answer.accepted)
            if agreeing > self._acceptor_count // 2:
                del self._open[reply.request_id]
                value = NO_VALUE if answer.accepted == NO_BALLOT else answer.value
                return ReadCompleted(reply.key, reply.request_id, value)
        return None
