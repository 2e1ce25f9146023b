"""What keepers and members have on disk: rows at the highest committed revision they have, and a bounded log that led there.

No I/O: the driver keeps what `Write`s say (settings/sync.py) and hands in what it found. `append` takes a group whole or
raises; the log holds LOG groups at most, older ones are compacted into the rows.
"""

from __future__ import annotations

from collections.abc import Iterable

from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import (
    MAX_ENTRIES,
    ChangeSet,
    InvalidDocumentError,
    Snapshot,
    decode_value,
    digest_of,
    snapshot_of,
    validated,
)

LOG = 1024  # groups


class Store:
    """revision, digest: of the highest group. terms: the rows there. log: the groups up to it, lowest first."""

    def __init__(
        self, snapshot: Snapshot | None = None, log: Iterable[ChangeSet] = (), *, keep: int = LOG
    ) -> None:
        """keep: groups in the log. Raises Wrong where they don't follow one another."""
        snapshot = snapshot or Snapshot(0, "")
        self.revision, self.digest, self.keep = snapshot.revision, snapshot.digest, keep
        self.terms = ActiveTerms(dict(snapshot.rows))
        self.log: tuple[tuple[str, ChangeSet], ...] = ()  # each with its digest
        for group in log:
            self.append(group)

    def copy(self) -> Store:
        made = Store.__new__(Store)
        made.revision, made.digest, made.keep = self.revision, self.digest, self.keep
        made.terms, made.log = self.terms, self.log
        return made

    def fits(self, group: ChangeSet) -> None:
        """Raises Wrong where it can't be the next."""
        validated(group)
        if (group.revision, group.before) != (self.revision + 1, self.digest):
            raise InvalidDocumentError(
                f"{group.revision} after {group.before or 'nothing'} doesn't follow {self.revision} {self.digest}"
            )
        rows = len(self.terms)
        for put in group.puts:
            was = self.terms.get(put.key)
            rows += (put.value is not None) - (was is not None)
            if put.value is None and was is None:
                raise InvalidDocumentError(f"{put.key} is to be removed and isn't there")
            if (
                put.value is None
                and put.key.startswith("members.")
                and not decode_value(was or b"{}").get("gone")
            ):
                raise InvalidDocumentError(
                    f'{put.key} can be removed once it says "gone": true, and not before'
                )
        if rows > MAX_ENTRIES:
            raise InvalidDocumentError(f"{rows} rows, {MAX_ENTRIES} at most")

    def append(self, group: ChangeSet, terms: ActiveTerms | None = None) -> ActiveTerms:
        """Whole or not at all. terms: those after it, where they are made already. Raises Wrong."""
        self.fits(group)
        self.terms = terms if terms is not None else self.terms.after(group)
        self.revision, self.digest = group.revision, digest_of(group)
        self.log = (*self.log, (self.digest, group))[-self.keep :]
        return self.terms

    def replaced(self, snapshot: Snapshot) -> ActiveTerms:
        """By a snapshot of a higher revision; the log begins anew. Raises Wrong."""
        if snapshot.revision <= self.revision:
            raise InvalidDocumentError(f"a snapshot of {snapshot.revision}, with {self.revision} here")
        self.revision, self.digest, self.log = snapshot.revision, snapshot.digest, ()
        self.terms = ActiveTerms(dict(snapshot.rows))
        return self.terms

    def since(self, revision: int) -> tuple[ChangeSet, ...] | None:
        """The groups after it, lowest first; None: compacted away."""
        first = self.revision - len(self.log)
        if revision < first:
            return None
        return tuple(group for _, group in self.log[revision - first :])

    def digest_at(self, revision: int) -> str | None:
        """None where it isn't known any more, or not yet."""
        if revision == self.revision:
            return self.digest
        at = revision - (self.revision - len(self.log))
        if at == 0 and self.log:
            return self.log[0][1].before
        return self.log[at - 1][0] if 0 < at <= len(self.log) else None

    def snapshot(self) -> Snapshot:
        return snapshot_of(self.revision, self.digest, self.terms.rows())
