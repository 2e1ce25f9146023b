"""Which revision is active by one config server's knowledge, and who is waited for.

A revision is active once it is proven that it is applied by, or withdrawn from, every subscriber that holds
a lease. The proof is `leased_versions.VersionServer`'s; here are its inputs (committed revisions,
acknowledgements of subscribers) and the times at which it is judged again. Used by `server.py` alone; it
sends nothing. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from pathsaddle import leased_versions
from pathsaddle.leased_versions import Version, VersionServer
from pathsaddle.settings.active_terms import ActiveTerms
from pathsaddle.settings.documents import RevisionId
from pathsaddle.settings.events import RevisionActivated
from pathsaddle.settings.output import Outbox
from pathsaddle.settings.store import Store
from pathsaddle.settings.timing import NEVER_DUE, SECOND

MAX_REVOCATION_HISTORY = 256  # revisions that are not active of which a server knows what they withdrew
JUDGE_DELAY_TICKS = (
    SECOND // 20
)  # from an acknowledgement to the next judgement, which takes in those that follow


class ActiveRevisionTracker:
    """Judges from time to time which revision is active, and reports RevisionActivated.

    Attributes:
        versions: The committed revisions that may still count, and what subscribers acknowledged.
        judge_due: When it is judged again, in ticks.
    """

    def __init__(self, outbox: Outbox, store: Store, lease_ticks: int, now: int) -> None:
        """Begins by what the store has; nothing is active yet.

        Args:
            outbox: Where events go.
            store: What is committed, as far as the server has it.
            lease_ticks: Of the subscribers, the longest of them.
            now: Ticks.
        """
        self.outbox, self.store, self.lease_ticks = outbox, store, lease_ticks
        version = Version(store.revision, store.digest, store.terms)
        self.versions: VersionServer[ActiveTerms] = VersionServer(
            lease_ticks,
            now,
            store.id,
            (version,),
            now,
            begins=store.revision,
            learnt=((store.revision, now),),
        )
        self.judge_due, self._evaluated_at = NEVER_DUE, now
        self._memo: dict[tuple[int, str], int] = {}  # of this line of revisions, for `judged_each`
        self._update_retired()

    @property
    def committed(self) -> RevisionId:
        """The highest revision that is known to be committed, with its change set here or not."""
        return RevisionId(*self.versions.known)

    @property
    def active_revision(self) -> int:
        """The highest revision that was proven to be active; 0: none yet."""
        return self.versions.force

    @property
    def is_complete(self) -> bool:
        """Whether the store has all that is known to be committed."""
        return self.versions.known == self.store.id

    def learn_committed(self, committed: RevisionId, now: int) -> None:
        """Takes note of a committed revision whose change set may be lacking here."""
        if committed.revision > self.versions.known[0]:
            self.versions = self.versions.reads(*committed, None, now)

    def add_version(self, version: Version[ActiveTerms], now: int) -> None:
        """Takes in the entries of the store's new revision."""
        self.versions = self.versions.reads(version.number, version.digest, version, now)
        self._update_retired()

    def restart_history(self, revision: int) -> None:
        """Forgets what was before a snapshot.

        That is not known here any more: a subscriber that has acknowledged nothing from that revision on is
        waited for.
        """
        self.versions = replace(self.versions, history=(), begins=revision)

    def record_applied(self, names: Iterable[str], applied: RevisionId, now: int) -> list[str]:
        """Takes in that subscribers have a revision.

        Args:
            names: The subscribers; those that the committed entries do not name are passed over.
            applied: What they have.
            now: Ticks.

        Returns:
            Those of whom this says something new.
        """
        before, news = self.versions, []
        members = self.store.terms.members()
        for name in names:
            if name in members:
                old = self.versions
                self.versions = old.hears(leased_versions.AppliedAck(name, *applied))
                if self.versions is not old:
                    news.append(name)
        if self.versions is not before:
            self.schedule(now)
        return news

    def schedule(self, now: int) -> None:
        """Asks for a judgement soon."""
        self.judge_due = min(self.judge_due, now + JUDGE_DELAY_TICKS)

    def is_due(self, now: int) -> bool:
        """Whether it is to be judged now."""
        return now >= self.next_due()

    def judge(self, now: int) -> None:
        """Reports the highest revision that is active by now, if that is a new one."""
        before, self.judge_due, self._evaluated_at = self.versions.force, NEVER_DUE, now
        self.versions = self.versions.judged_each(now, self._memo)
        active = self.versions.force
        if active > before:
            digest = next(one.digest for one in self.versions.history if one.number == active)
            self.outbox.report(RevisionActivated(active, digest))
        if active > before or len(self.versions.history) > MAX_REVOCATION_HISTORY:
            self._cut_history()

    def awaited_subscribers(self, now: int) -> tuple[str, ...]:
        """Who keeps the highest committed revision from being active, by name.

        "?": this server lacks a document.
        """
        return () if self.active_revision >= self.versions.known[0] else self.versions.waits_for(now)

    def acknowledged(self) -> dict[str, int]:
        """The highest revision that each subscriber has acknowledged, by name."""
        return dict(self.versions.rows)

    def acknowledged_digests(self) -> dict[int, str]:
        """The digests of the revisions that subscribers have acknowledged, of those that are known here."""
        known = {one.number: one.digest for one in self.versions.history}
        return {
            revision: digest
            for revision in dict(self.versions.rows).values()
            if (digest := known.get(revision) or self.store.digest_at(revision)) is not None
        }

    def next_due(self) -> int:
        """When it is to be judged next, in ticks."""
        return min(self.judge_due, self._leases_over_due())

    def _leases_over_due(self) -> int:
        """When the leases on what is below some inactive revision are surely over.

        It is the first such time since the last judgement.
        """
        return next(
            (
                at
                for at in (
                    at + leased_versions.certain_lease_end(self.lease_ticks)
                    for number, at in self.versions.learnt
                    if number > self.versions.force
                )
                if at > self._evaluated_at
            ),
            NEVER_DUE,
        )

    def _cut_history(self) -> None:
        self.versions = self.versions.cut(MAX_REVOCATION_HISTORY)
        self._memo = {key: last for key, last in self._memo.items() if key[0] >= self.versions.begins}
        members = self.store.terms.members()
        if len(self.versions.rows) > len(members):
            self.versions = replace(
                self.versions, rows=tuple(row for row in self.versions.rows if row[0] in members)
            )

    def _update_retired(self) -> None:
        """Whose newest entry, in what is kept of the past, says that it never starts again with its disk."""
        retired: dict[str, bool] = {}
        last: Mapping[str, str] | None = None
        for one in reversed(self.versions.history):
            members = one.spec.members()
            if members is last:
                continue
            last = members
            retired = {**dict.fromkeys(one.spec.retired(), True), **dict.fromkeys(last, False), **retired}
        names = tuple(sorted(name for name, is_retired in retired.items() if is_retired))
        if names != self.versions.gone:
            self.versions = replace(self.versions, gone=names)
