"""A change that waits for its answer, and the errors by which it may be answered.

Used by `change_committer.py`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from pathsaddle.errors import Error
from pathsaddle.settings.commit_round import PendingChange
from pathsaddle.settings.control_messages import ChangeOutcome
from pathsaddle.settings.documents import ChangeSet, RevisionId
from pathsaddle.settings.errors import ChangeRejectedError, NoQuorumError, ValidationError


@dataclass(eq=False)
class QueuedChange(PendingChange):
    """A change that waits for its answer.

    Attributes:
        deadline: Seconds of the monotonic clock.
        outcome: Its answer.
        changeset: As what it is proposed now.
        is_sent: Whether the register has been asked to take it, so that it may be committed whatever is
            heard.
    """

    deadline: float = 0.0
    outcome: asyncio.Future[ChangeOutcome] = field(default_factory=asyncio.Future)
    changeset: ChangeSet | None = None
    is_sent: bool = False

    def fail(self, error: Error) -> None:
        """Answers with an error, if it is not answered yet."""
        if not self.outcome.done():
            self.outcome.set_exception(error)

    def resolve(self, committed: RevisionId, has_changed: bool) -> None:
        """Answers that it is committed, or changes nothing, if it is not answered yet."""
        if not self.outcome.done():
            self.outcome.set_result(ChangeOutcome(*committed, has_changed))


def rejected(fault: object) -> ChangeRejectedError:
    """Returns the error for a change that can't be made, with one line for the fault."""
    line = ValidationError(str(fault), "change that in what is applied, or see docs/settings-store.md")
    return ChangeRejectedError([str(line)])


def outcome_unknown(change: QueuedChange) -> NoQuorumError:
    """Returns the error for a change of which nobody can say whether it was committed."""
    revision, digest = change.attempts[-1]
    return NoQuorumError(
        f"no majority of the voters answers: whether revision {revision} was committed can't be told",
        f"start those of voters.names that are down, then see whether `pathsaddle settings "
        f"history` has {digest[:8]}",
    )
