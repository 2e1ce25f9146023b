"""What config servers and subscribers have on disk.

That is the entries at their highest committed revision, and a bounded log.

The log has the change sets that led there. The driver writes what `DiskWrite`s say (output.py) and hands in
what it found. `append` takes a change set whole or raises; the log holds MAX_LOG_CHANGESETS at most, older
ones are compacted into the entries. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import (
    MAX_ENTRIES,
    Change,
    ChangeSet,
    InvalidDocumentError,
    Link,
    RevisionId,
    Snapshot,
    decode_value,
    digest_of,
    snapshot_of,
    validated,
)

MAX_LOG_CHANGESETS = 1024


class Store:
    """Entries at one revision, and the change sets that led there.

    Attributes:
        revision: Of the highest change set.
        digest: Of that change set.
        terms: The entries there.
        log: The change sets up to it, lowest first, each with its digest.
        max_log: How many change sets stay in the log.
    """

    def __init__(
        self,
        snapshot: Snapshot | None = None,
        log: Iterable[ChangeSet] = (),
        *,
        max_log: int = MAX_LOG_CHANGESETS,
    ) -> None:
        """Begins by a snapshot and the change sets after it.

        Raises:
            InvalidDocumentError: They do not follow one another.
        """
        snapshot = snapshot or Snapshot(0, "")
        self.revision, self.digest, self.max_log = snapshot.revision, snapshot.digest, max_log
        self.terms = ActiveTerms(dict(snapshot.entries))
        self.log: tuple[tuple[str, ChangeSet], ...] = ()
        for changeset in log:
            self.append(changeset)

    @property
    def id(self) -> RevisionId:
        """The revision and digest of the highest change set."""
        return RevisionId(self.revision, self.digest)

    @property
    def next_link(self) -> Link:
        """The place of the change set that may come next."""
        return Link(self.revision + 1, self.digest)

    def copy(self) -> Store:
        """Returns another store with the same content."""
        copied = Store.__new__(Store)
        copied.revision, copied.digest, copied.max_log = self.revision, self.digest, self.max_log
        copied.terms, copied.log = self.terms, self.log
        return copied

    def check_next(self, changeset: ChangeSet) -> None:
        """Raises InvalidDocumentError where the change set can't be the next."""
        validated(changeset)
        if changeset.link != self.next_link:
            raise InvalidDocumentError(
                f"{changeset.revision} after {changeset.previous_digest or 'nothing'} doesn't follow "
                f"{self.revision} {self.digest}"
            )
        count = len(self.terms)
        for change in changeset.changes:
            before = self.terms.get(change.key)
            count += (change.value is not None) - (before is not None)
            if change.value is None:
                _check_removal(change, before)
        if count > MAX_ENTRIES:
            raise InvalidDocumentError(f"{count} rows, {MAX_ENTRIES} at most")

    def append(self, changeset: ChangeSet, terms: ActiveTerms | None = None) -> ActiveTerms:
        """Takes the next change set, whole or not at all.

        Args:
            changeset: The next.
            terms: The entries after it, where they are computed already.

        Returns:
            The entries after it.

        Raises:
            InvalidDocumentError: It can't be the next.
        """
        self.check_next(changeset)
        self.terms = terms if terms is not None else self.terms.after(changeset)
        self.revision, self.digest = changeset.revision, digest_of(changeset)
        self.log = (*self.log, (self.digest, changeset))[-self.max_log :]
        return self.terms

    def replace(self, snapshot: Snapshot) -> ActiveTerms:
        """Takes a snapshot of a higher revision in place of all; the log begins anew.

        Returns:
            The entries there.

        Raises:
            InvalidDocumentError: Its revision is no higher.
        """
        if snapshot.revision <= self.revision:
            raise InvalidDocumentError(f"a snapshot of {snapshot.revision}, with {self.revision} here")
        self.revision, self.digest, self.log = snapshot.revision, snapshot.digest, ()
        self.terms = ActiveTerms(dict(snapshot.entries))
        return self.terms

    def changesets_after(self, revision: int) -> tuple[ChangeSet, ...] | None:
        """Returns the change sets after a revision, lowest first; None: some of them are compacted away."""
        first = self.revision - len(self.log)
        if revision < first:
            return None
        return tuple(changeset for _, changeset in self.log[revision - first :])

    def changeset_named(self, digest: str) -> ChangeSet | None:
        """Returns the change set of the log that has this digest."""
        return next((changeset for one, changeset in reversed(self.log) if one == digest), None)

    def digest_at(self, revision: int) -> str | None:
        """Returns the digest of a revision; None where it is not known any more, or not yet."""
        if revision == self.revision:
            return self.digest
        index = revision - (self.revision - len(self.log))
        if index == 0 and self.log:
            return self.log[0][1].previous_digest
        return self.log[index - 1][0] if 0 < index <= len(self.log) else None

    def snapshot(self) -> Snapshot:
        """Returns all entries as a document."""
        return snapshot_of(self.revision, self.digest, self.terms.rows())


def _check_removal(change: Change, before: bytes | None) -> None:
    if before is None:
        raise InvalidDocumentError(f"{change.key} is to be removed and isn't there")
    if change.key.startswith("members.") and not decode_value(before).get("gone"):
        raise InvalidDocumentError(f'{change.key} can be removed once it says "gone": true, and not before')
