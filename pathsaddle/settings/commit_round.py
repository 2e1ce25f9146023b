"""Plans the next round through the register.

The plan says which of the waiting changes are committed together, and which verdict the others get.

A round has change sets one after another, each a revision of its own with its author and reason. The
register takes the last one's digest, which stands for all of them: all or none. A verdict (nothing changes,
revision conflict, rejected) is computed from what is committed alone, never from what may be: a change that
can't stand behind the others of this round is left for the next one, and is there before them. So each
change gets the verdict that it would have got one after another: first those given here, then the round's
change sets in their order. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Generic, TypeVar

from pathsaddle.errors import Error
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import Change, ChangeSet, InvalidDocumentError, RevisionId
from pathsaddle.settings.store import Store

MAX_CHAIN = 1000  # change sets of one round that are followed back; a round has far fewer


class Verdict(StrEnum):
    """What became of a change; the values stand in the emulator's logs."""

    ALREADY_COMMITTED = "made"
    UNCHANGED = "same"
    REVISION_CONFLICT = "outrun"
    REJECTED = "refused"


@dataclass(eq=False)
class PendingChange:
    """A change that waits.

    Attributes:
        changes: Of entries, each key once.
        author: For people.
        reason: For people.
        created_ms: Milliseconds since 1970 UTC, for people.
        expected_revision: Which it must follow; None: any.
        attempts: The change sets, by revision and digest, as which it was proposed in rounds whose outcome
            is unknown.
    """

    changes: tuple[Change, ...]
    author: str = ""
    reason: str = ""
    created_ms: int = 0
    expected_revision: int | None = None
    attempts: list[RevisionId] = field(default_factory=list)


C = TypeVar("C", bound=PendingChange)


@dataclass(frozen=True)
class RoundVerdict(Generic[C]):
    """What became of one change.

    Attributes:
        change: The change.
        verdict: ALREADY_COMMITTED (by an earlier attempt, as `committed`), UNCHANGED, REVISION_CONFLICT or
            REJECTED.
        committed: The attempt that was committed, else the latest committed revision.
        reason: Why it is rejected.
    """

    change: C
    verdict: Verdict
    committed: RevisionId
    reason: Error | InvalidDocumentError | None = None


@dataclass(frozen=True)
class PlannedChange(Generic[C]):
    """A change, and the change set as which it is to be committed."""

    change: C
    changeset: ChangeSet


@dataclass(frozen=True)
class CommitRound(Generic[C]):
    """The next round; all changes that are in neither list wait for a later one.

    Attributes:
        verdicts: Of the changes that are settled without it.
        planned: What it commits, one after another.
    """

    verdicts: tuple[RoundVerdict[C], ...]
    planned: tuple[PlannedChange[C], ...]

    @property
    def changesets(self) -> tuple[ChangeSet, ...]:
        """What it commits."""
        return tuple(one.changeset for one in self.planned)


def plan_round(
    store: Store,
    waiting: Iterable[C],
    check_entries: Callable[[ActiveTerms], None],
    fits_one_round: Callable[[Sequence[ChangeSet]], bool],
) -> CommitRound[C]:
    """Returns what to commit next, and which changes are settled already.

    Args:
        store: All that is committed; it is not changed.
        waiting: The changes, the first ones first.
        check_entries: Raises Error where entries do not fit together.
        fits_one_round: Whether change sets may go together.
    """
    state = store.copy()
    verdicts: list[RoundVerdict[C]] = []
    planned: list[PlannedChange[C]] = []
    for change in waiting:
        committed = next(
            (one for one in change.attempts if store.digest_at(one.revision) == one.digest), None
        )
        if committed is not None:
            verdicts.append(RoundVerdict(change, Verdict.ALREADY_COMMITTED, committed))
            continue
        changeset = next_changeset(state, change)
        reason: Error | InvalidDocumentError | None = None
        if not is_expected(change, state.revision):
            verdict = Verdict.REVISION_CONFLICT
        elif changeset is None:
            verdict = Verdict.UNCHANGED
        elif planned and not fits_one_round([*(one.changeset for one in planned), changeset]):
            break  # no later one comes before it
        elif (reason := _append_if_valid(state, changeset, check_entries)) is None:
            planned.append(PlannedChange(change, changeset))
            continue
        else:
            verdict = Verdict.REJECTED
        if not planned:
            verdicts.append(RoundVerdict(change, verdict, store.id, reason))
    return CommitRound(tuple(verdicts), tuple(planned))


def _append_if_valid(
    state: Store, changeset: ChangeSet, check_entries: Callable[[ActiveTerms], None]
) -> Error | InvalidDocumentError | None:
    """Appends the next change set; returns why it can't be the next."""
    try:
        state.check_next(changeset)
        terms = state.terms.after(changeset)
        check_entries(terms)
    except (Error, InvalidDocumentError) as fault:
        return fault
    state.append(changeset, terms)
    return None


def is_expected(change: PendingChange, revision: int) -> bool:
    """Whether the change may follow this revision."""
    return change.expected_revision is None or change.expected_revision == revision


def next_changeset(store: Store, change: PendingChange) -> ChangeSet | None:
    """Returns the change as the change set after the store, without what is so already.

    It is None where all of it is so already.
    """
    changes = tuple(
        one for one in change.changes if store.terms.get(one.key) != one.value or _is_vain(store, one)
    )
    if not changes:
        return None
    return ChangeSet(*store.next_link, change.author, change.reason, change.created_ms, changes)


def _is_vain(store: Store, change: Change) -> bool:
    """Whether it removes what is not there; that is kept in the change set, and rejected."""
    return change.value is None and store.terms.get(change.key) is None


def changesets_between(
    last: str, first: str, find: Callable[[str], ChangeSet | None]
) -> tuple[ChangeSet, ...]:
    """Returns the change sets after the digest `first` up to the digest `last`.

    Args:
        last: The digest of the last one.
        first: The digest before the first one.
        find: A change set by its digest.

    Returns:
        They, lowest first; none where `last` does not lead back to `first`.
    """
    found: list[ChangeSet] = []
    while last != first:
        changeset = find(last)
        if changeset is None or len(found) > MAX_CHAIN:
            return ()
        found.append(changeset)
        last = changeset.previous_digest
    return tuple(reversed(found))
