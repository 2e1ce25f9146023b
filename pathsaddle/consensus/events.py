"""What happens inside a lease manager, one class for each kind of event.

`LeaseManager` appends them to its output; the driver logs them and hands them to its listeners. The last
three kinds exist only where a history is recorded, for the checkers of histories.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from pathsaddle.consensus.messages import FencingToken, RequestId, Revision, Ticks, Value


class OperationKind(StrEnum):
    """What a ballot is for, as histories name it."""

    TAKE = "take"  # get the lease
    RENEW = "renew"  # keep it
    SET = "set"  # change the register's data


class Outcome(StrEnum):
    """How a ballot ended, as histories name it."""

    OK = "ok"
    REFUSED = "refused"  # it certainly had no effect
    UNKNOWN = "unknown"  # it may have an effect now, later or never


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This process became the lease holder of a key; `lease_end` is the possible lease end as it stands."""

    key: str
    fencing_token: FencingToken
    revision: Revision
    lease_end: Ticks


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease ended against this process's will."""

    key: str
    fencing_token: FencingToken
    reason: str


@dataclass(frozen=True, slots=True)
class OwnLeaseReleased:
    """This process gave its lease back."""

    key: str
    fencing_token: FencingToken
    reason: str


@dataclass(frozen=True, slots=True)
class Committed:
    """A change of the register's data was chosen."""

    key: str
    fencing_token: FencingToken
    revision: Revision


@dataclass(frozen=True, slots=True)
class CommitOutcomeUnknown:
    """The lease ended while a change was under way; nobody can say whether it was, or will be, chosen."""

    key: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class ReadCompleted:
    """A read ended. `value` is None where no majority answered in time."""

    key: str
    request_id: RequestId
    value: Value | None


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Recorded for histories: the lease was extended to `lease_end`."""

    key: str
    fencing_token: FencingToken
    lease_end: Ticks


@dataclass(frozen=True, slots=True)
class BallotStarted:
    """Recorded for histories: a ballot began.

    `revision` and `data`: before and after the change, if it is one.
    """

    key: str
    operation_id: str
    kind: OperationKind
    fencing_token: FencingToken
    revision: Revision
    data: bytes


@dataclass(frozen=True, slots=True)
class BallotEnded:
    """Recorded for histories: how a ballot ended, and the register's value as the proposer knows it."""

    key: str
    operation_id: str
    kind: OperationKind
    outcome: Outcome
    fencing_token: FencingToken
    revision: Revision
    data: bytes


LeaseEvent = (
    LeaseAcquired
    | LeaseLost
    | OwnLeaseReleased
    | Committed
    | CommitOutcomeUnknown
    | ReadCompleted
    | LeaseRenewed
    | BallotStarted
    | BallotEnded
)
