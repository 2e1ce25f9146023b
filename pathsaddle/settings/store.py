"""What keepers and members have on disk: rows at the highest committed revision they have, and a bounded log that led there.

No I/O: the driver keeps what `Write`s say (settings/sync.py) and hands in what it found. `append` takes a group whole or
raises; the log holds LOG groups at most, older ones are compacted into the rows.
"""

from __future__ import annotations

from collections.abc import Iterable

from pathsaddle.settings.active_terms import Terms
from pathsaddle.settings.documents import (
    ROWS,
    Group,
    Snapshot,
    Wrong,
    checked,
    digest_of,
    snapshot_of,
    value_of,
)

LOG = 1024  # groups


class Store:
    """revision, digest: of the highest group. terms: the rows there. log: the groups up to it, lowest first."""

    def __init__(
        self, snapshot: Snapshot | None = None, log: Iterable[Group] = (), *, keep: int = LOG
    ) -> None:
        """keep: groups in the log. Raises Wrong where they don't follow one another."""
        snapshot = snapshot or Snapshot(0, "")
        self.revision, self.digest, self.keep = snapshot.revision, snapshot.digest, keep
        self.terms = Terms(dict(snapshot.rows))
        self.log: tuple[tuple[str, Group], ...] = ()  # each with its digest
        for group in log:
            self.append(group)

    def copy(self) -> Store:
        made = Store.__new__(Store)
        made.revision, made.digest, made.keep = self.revision, self.digest, self.keep
        made.terms, made.log = self.terms, self.log
        return made

    def fits(self, group: Group) -> None:
        """Raises Wrong where it can't be the next."""
        checked(group)
        if (group.revision, group.before) != (self.revision + 1, self.digest):
            raise Wrong(
                f"{group.revision} after {group.before or 'nothing'} doesn't follow {self.revision} {self.digest}"
            )
        rows = len(self.terms)
        for put in group.puts:
            was = self.terms.get(put.key)
            rows += (put.value is not None) - (was is not None)
            if put.value is None and was is None:
                raise Wrong(f"{put.key} is to be removed and isn't there")
            if (
                put.value is None
                and put.key.startswith("members.")
                and not value_of(was or b"{}").get("gone")
            ):
                raise Wrong(f'{put.key} can be removed once it says "gone": true, and not before')
        if rows > ROWS:
            raise Wrong(f"{rows} rows, {ROWS} at most")

    def append(self, group: Group, terms: Terms | None = None) -> Terms:
        """Whole or not at all. terms: those after it, where they are made already. Raises Wrong."""
        self.fits(group)
        self.terms = terms if terms is not None else self.terms.after(group)
        self.revision, self.digest = group.revision, digest_of(group)
        self.log = (*self.log, (self.digest, group))[-self.keep :]
        return self.terms

    def replaced(self, snapshot: Snapshot) -> Terms:
        """By a snapshot of a higher revision; the log begins anew. Raises Wrong."""
        if snapshot.revision <= self.revision:
            raise Wrong(f"a snapshot of {snapshot.revision}, with {self.revision} here")
        self.revision, self.digest, self.log = snapshot.revision, snapshot.digest, ()
        self.terms = Terms(dict(snapshot.rows))
        return self.terms

    def since(self, revision: int) -> tuple[Group, ...] | None:
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
