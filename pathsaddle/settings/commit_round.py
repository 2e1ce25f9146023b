"""Which of the changes that wait are committed together in the next round through the register, and what the others are told.

A round has groups one after another, each a revision of its own with its author and reason; the register takes the last
one's digest, which stands for all of them: all or none. What a change is told (nothing changes, outrun, refused) is
reckoned by what is committed alone, never by what may be: who can't stand behind the others of this round is left for the
next one, and is there before them. So each is told what it would have been told one after another: first those told here,
then the round's groups in their order. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from pathsaddle.errors import Error
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import Change, ChangeSet, InvalidDocumentError
from pathsaddle.settings.store import Store

ALREADY_COMMITTED, UNCHANGED, REVISION_CONFLICT, REJECTED = "made", "same", "outrun", "refused"


@dataclass(eq=False)
class PendingChange:
    """One that waits. expect: the revision which it must follow, or any. tried: the groups, by revision and digest, as which
    it was proposed in rounds of which nobody could say what came.
    """

    puts: tuple[Change, ...]
    author: str = ""
    reason: str = ""
    at: int = 0
    expect: int | None = None
    tried: list[tuple[int, str]] = field(default_factory=list)


C = TypeVar("C", bound=PendingChange)


@dataclass(frozen=True)
class RoundVerdict(Generic[C]):
    """what: MADE (an earlier try was committed, as `revision`, `digest`), SAME (it would change nothing), OUTRUN, REFUSED (why).
    revision, digest: else the latest committed.
    """

    change: C
    what: str
    revision: int
    digest: str
    why: Error | InvalidDocumentError | None = None


@dataclass(frozen=True)
class CommitRound(Generic[C]):
    """told: what is settled without it. taken: what it commits. All others wait for the next."""

    told: tuple[RoundVerdict[C], ...]
    taken: tuple[tuple[C, ChangeSet], ...]

    @property
    def groups(self) -> tuple[ChangeSet, ...]:
        return tuple(group for _, group in self.taken)


def plan_round(
    store: Store,
    waiting: Iterable[C],
    fits: Callable[[ActiveTerms], None],
    joins: Callable[[Sequence[ChangeSet]], bool],
) -> CommitRound[C]:
    """store: all that is committed, not changed here. fits: raises Error where rows don't fit together. joins: whether groups
    may go together.
    """
    at = store.copy()
    told: list[RoundVerdict[C]] = []
    taken: list[tuple[C, ChangeSet]] = []
    for change in waiting:
        made = next((one for one in change.tried if store.digest_at(one[0]) == one[1]), None)
        what, why = "", None
        group: ChangeSet | None = None
        if made is not None:
            told.append(RoundVerdict(change, ALREADY_COMMITTED, *made))
            continue
        if expects(change, at.revision):
            group = next_changeset(at, change)
            if group is None:
                what = UNCHANGED
            elif taken and not joins([*(one for _, one in taken), group]):
                break  # no later one comes before it
            else:
                try:
                    at.fits(group)
                    terms = at.terms.after(group)
                    fits(terms)
                except (Error, InvalidDocumentError) as fault:
                    what, why = REJECTED, fault
                else:
                    at.append(group, terms)
                    taken.append((change, group))
        else:
            what = REVISION_CONFLICT
        if what and not taken:
            told.append(RoundVerdict(change, what, store.revision, store.digest, why))
    return CommitRound(tuple(told), tuple(taken))


def expects(change: PendingChange, revision: int) -> bool:
    return change.expect is None or change.expect == revision


def next_changeset(store: Store, change: PendingChange) -> ChangeSet | None:
    """As the group after what `store` has, without what is so already. None: all of it is."""
    puts = tuple(
        put
        for put in change.puts
        if store.terms.get(put.key) != put.value or (put.value is None and store.terms.get(put.key) is None)
    )
    return (
        ChangeSet(store.revision + 1, store.digest, change.author, change.reason, change.at, puts)
        if puts
        else None
    )


def changesets_between(
    last: str, first: str, groups: Callable[[str], ChangeSet | None]
) -> tuple[ChangeSet, ...]:
    """The groups from behind the digest `first` to `last`, by their `before`; none where that doesn't lead there."""
    found: list[ChangeSet] = []
    while last != first:
        group = groups(last)
        if group is None or len(found) > 1000:
            return ()
        found.append(group)
        last = group.before
    return tuple(reversed(found))
