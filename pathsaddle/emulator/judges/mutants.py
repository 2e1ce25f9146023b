"""Dispatchers that break a rule on purpose: each must be caught by the judge, and by name.

They are patches of the real program for one virtual run in this process; nothing of the program imports them.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from pathsaddle.fleet import anti_entropy
from pathsaddle.fleet.membership import Membership
from pathsaddle.fleet.messages import MemberRecord
from pathsaddle.fleet.rate_limiter import RateLimiter
from pathsaddle.jobs import admission, state_machine
from pathsaddle.jobs.completion import JobCompletion
from pathsaddle.jobs.state_machine import LeaseDecision, LeaseIntended, LeaseReport, decide_after_restart
from pathsaddle.jobs.store_commits import StoreCommits
from pathsaddle.jobs.store_rows import JobRecord
from pathsaddle.jobs.submitted_call import idempotency_key_of
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.scheduler import Scheduler
from pathsaddle.scheduler_types import SECOND, ListedState, Outcome, Posting, Semantics, Txn

Patches = list[Any]
FAR = 1 << 60


def _declines_anything() -> Patches:
    """A once-only txn is declined though it may have run."""
    return [mock.patch.object(Scheduler, "can_decline", lambda self, txn: True)]


def _posts_after_the_answer() -> Patches:
    """A txn that has its answer is posted once more."""
    answer = TxnService._answer

    def again(self: TxnService, txn: Txn, kind: str, *args: Any, **more: Any) -> None:
        entry = self.ledger[txn.tag]
        answer(self, txn, kind, *args, **more)
        if kind == "settled" and txn.postings and not self.stopping:
            worker = txn.postings[-1].worker
            target, head = entry.request.target, [(b"Req-Id", txn.tag.encode())]

            async def stray() -> None:
                with contextlib.suppress(Exception):
                    await self.workers.call(worker.tag, "POST", target, head, entry.request.body)

            self._events.call_later(0.2, lambda: self._start(stray()))

    return [mock.patch.object(TxnService, "_answer", again)]


def _repeats_outside_the_group() -> Patches:
    """A referenced txn that may have run goes to a worker that does not know its mark."""
    return [mock.patch.object(Scheduler, "shares_dedup_group", lambda self, scheme, one, other: True)]


def _repeats_after_the_window() -> Patches:
    """A referenced txn is posted again after the workers have forgotten its mark, and outside its group."""

    def until(self: Scheduler, txn: Txn, but: Posting | None = None) -> int:
        return FAR if len(txn.postings) - (but is not None) < self.max_postings else 0

    def silent(self: Scheduler, txn: Txn, posting: Posting) -> bool:
        return self.now - posting.sent_at > txn.scheme.window + SECOND // 10

    def look(self: Scheduler, posting: Posting) -> int:
        window = posting.txn.scheme.window
        return max(self.now + SECOND // 10, posting.sent_at + window + SECOND // 5) if window else FAR

    return [
        mock.patch.object(Scheduler, "postable_until", until),
        mock.patch.object(Scheduler, "should_move", silent),
        mock.patch.object(Scheduler, "recheck_at", look),
        mock.patch.object(Scheduler, "post_until", lambda self, txn: txn.expires_at),
    ]


def _repeats_once_only() -> Patches:
    """A once-only txn whose posting ended in doubt is posted again."""
    whole = Scheduler.postable_until

    def until(self: Scheduler, txn: Txn, but: Posting | None = None) -> int:
        if (
            txn.scheme.semantics is Semantics.ONCE_ONLY
            and len(txn.postings) - (but is not None) < self.max_postings
        ):
            return FAR
        return whole(self, txn, but)

    return [mock.patch.object(Scheduler, "postable_until", until)]


def _two_at_once() -> Patches:
    """A second copy goes out though the charter forbids two at once."""
    make = Scheduler.__init__

    def made(self: Scheduler, *args: Any) -> None:
        make(self, *args)
        self.allows_hedging = True

    return [mock.patch.object(Scheduler, "__init__", made)]


def _ignores_drains() -> Patches:
    """What the list says of a worker that leaves is not heard."""
    listed = TxnService.listed

    def deaf(self: TxnService, news: Any, rows: Any) -> None:
        for row in rows:
            if row.worker.listed_state is ListedState.DRAINING:
                row.worker.listed_state = ListedState.READY
        listed(self, news, rows)

    return [mock.patch.object(TxnService, "listed", deaf)]


def _floods_the_cold() -> Patches:
    """A worker that has just started gets as much as any other, and the next one, and the next."""
    return [
        mock.patch.object(Scheduler, "fits_slow_start", lambda self, book, txn: True),
        mock.patch.object(Scheduler, "free_slots", lambda self, book, *args: 9.0),
        mock.patch.object(Scheduler, "load", lambda self, book, *args: -float(book.worker.started_at or 0)),
    ]


def _answers_late() -> Patches:
    """A reversal is held back until its client's expiry has passed."""
    reverse = TxnService.reverse

    def held(self: TxnService, txn: Txn) -> None:
        entry = self.ledger[txn.tag]

        def now() -> None:
            if entry.answer is not None:
                self.ledger._entries[txn.tag] = entry
                reverse(self, txn)

        self._events.call_later(max(0, txn.expires_at - self.clock.now() + SECOND // 10) / SECOND, now)

    return [mock.patch.object(TxnService, "reverse", held)]


def _loses_some() -> Patches:
    """Now and then nobody gets the answer."""
    answer = TxnService._answer

    def lost(self: TxnService, txn: Txn, kind: str, *args: Any, **more: Any) -> None:
        if kind == "settled" and sum(map(ord, txn.tag)) % 50 == 0:
            self.ledger[txn.tag].answer = None
        answer(self, txn, kind, *args, **more)

    return [mock.patch.object(TxnService, "_answer", lost)]


def _makes_answers_up() -> Patches:
    """What ended in an error is answered as settled."""

    def settled(self: TxnService, txn: Txn) -> None:
        self._answer(txn, "settled", 200, b"done")

    return [mock.patch.object(TxnService, "reverse", settled)]


def _says_never_sent() -> Patches:
    """A connection that broke after the last byte is taken for one that never came up."""
    end = TxnService._end

    def unsure(self: TxnService, exchange: Any, outcome: Outcome, *args: Any) -> None:
        doubt = outcome in (Outcome.RESET, Outcome.ERROR)
        end(self, exchange, Outcome.UNCONNECTED if doubt else outcome, *args)

    return [mock.patch.object(TxnService, "_end", unsure)]


def _records_after_sending() -> Patches:
    """The intent is written while the posting is on its way already."""
    put = StoreCommits.put_until
    tasks: set[asyncio.Task[bool]] = set()

    async def later(self: StoreCommits, deadline: int, *writes: Any) -> bool:
        if isinstance(writes[0], LeaseIntended):
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, lambda: tasks.add(loop.create_task(put(self, FAR, *writes))))
            return True
        return await put(self, deadline, *writes)

    return [mock.patch.object(StoreCommits, "put_until", later)]


def _answers_before_recording() -> Patches:
    """The final answer is told, and written a second later."""
    record_end = JobCompletion._record_end

    async def told_first(self: JobCompletion, job: Any, ended: Any, end_commit: Any, notify: Any) -> None:
        job.end_commit = None
        notify(True)
        self._polling.answer_polls(job)
        end_commit.set_result(None)
        await asyncio.sleep(1.0)
        await record_end(self, job, ended, end_commit, lambda is_recorded: None)

    return [mock.patch.object(JobCompletion, "_record_end", told_first)]


def _checks_no_lease() -> Patches:
    """After a restart a lease whose worker can't say is taken never to have run."""

    def clear(report: LeaseReport, now: int, expires_at: int) -> LeaseDecision:
        if report is LeaseReport.UNKNOWN:
            return LeaseDecision.CLEAR
        return decide_after_restart(report, now, expires_at)

    return [mock.patch.object(state_machine, "decide_after_restart", clear)]


def _forgets_keys() -> Patches:
    """A submission under a known key is another job."""
    count = itertools.count()
    return [
        mock.patch.object(
            admission, "idempotency_key_of", lambda call: f"{idempotency_key_of(call)}-{next(count)}"
        )
    ]


def _loses_the_accepted() -> Patches:
    """The client is told that its job is taken on, and nothing of it is on disk."""
    put = StoreCommits.put

    def nothing(self: StoreCommits, *writes: Any) -> Any:
        return put(self, *(write for write in writes if not isinstance(write, JobRecord)))

    return [mock.patch.object(StoreCommits, "put", nothing)]


def _forgets_the_others() -> Patches:
    """Each dispatcher alone keeps under half of a cold worker's budget, as if nobody else sent there."""
    make = Scheduler.__init__

    def made(self: Scheduler, *args: Any) -> None:
        make(self, *args)
        self.dispatchers, self.uses_slow_start_turns = 1, False

    def newer(self: Scheduler, txn: Txn, near: Any, far: Any) -> bool:
        return near is None or (far.worker.started_at or 0) > (near.worker.started_at or 0)

    return [
        mock.patch.object(Scheduler, "__init__", made),
        mock.patch.object(Scheduler, "should_cross", newer),
        mock.patch.object(Scheduler, "free_slots", lambda self, book, *args: 9.0),
        mock.patch.object(Scheduler, "load", lambda self, book, *args: -float(book.worker.started_at or 0)),
    ]


def _hears_drains_late() -> Patches:
    """The list's news is taken up two seconds after it was told."""
    listed = TxnService.listed

    def late(self: TxnService, news: Any, rows: Any) -> None:
        self._events.call_later(2.0, listed, self, news, rows)

    return [mock.patch.object(TxnService, "listed", late)]


def _ignores_lives() -> Patches:
    """Whatever is told last is believed, of whichever life."""
    return [mock.patch.object(MemberRecord, "rank", property(lambda self: (0, 0, self.state)))]


def _blind_to_stalls() -> Patches:
    """Who stood still judges the others by that time."""
    return [mock.patch.object(Membership, "_detect_stall", lambda self, now: None)]


def _credits_old_lives() -> Patches:
    """A new life is taken to have been heard when the old one was."""
    learn = Membership.learn

    def credited(
        self: Membership, record: MemberRecord, now: int, source: str, is_page: bool = False
    ) -> None:
        old = self.members.get(record.name)
        learn(self, record, now, source, is_page)
        new = self.members.get(record.name)
        if old is not None and new is not None and new is not old:
            new.seen_at, new.seen_by_others_at = old.seen_at, old.seen_by_others_at

    return [mock.patch.object(Membership, "learn", credited)]


def _unbounded() -> Patches:
    """Nothing bounds what is sent, and pages are sent as fast as they come."""
    return [
        mock.patch.object(RateLimiter, "try_consume", lambda self, size, now, spare=0.0: True),
        mock.patch.object(anti_entropy, "COMPARE_PROBE_INTERVALS", 0.02),
        mock.patch.object(anti_entropy, "RECORDS_PER_PAGE", 1e9),
    ]


# By name: the patches, and the rules one of which the judge must name.
MUTANTS: dict[str, tuple[Callable[[], Patches], tuple[str, ...]]] = {
    "declines-anything": (_declines_anything, ("decline",)),
    "posts-after-the-answer": (_posts_after_the_answer, ("after",)),
    "repeats-outside-the-group": (_repeats_outside_the_group, ("repeat",)),
    "repeats-after-the-window": (_repeats_after_the_window, ("repeat",)),
    "repeats-once-only": (_repeats_once_only, ("repeat",)),
    "two-at-once": (_two_at_once, ("together",)),
    "ignores-drains": (_ignores_drains, ("drain",)),
    "floods-the-cold": (_floods_the_cold, ("cold",)),
    "answers-late": (_answers_late, ("late",)),
    "loses-some": (_loses_some, ("lost",)),
    "makes-answers-up": (_makes_answers_up, ("false",)),
    "says-never-sent": (_says_never_sent, ("repeat", "decline")),
}
JOB_MUTANTS: dict[str, tuple[Callable[[], Patches], tuple[str, ...]]] = {
    "records-after-sending": (_records_after_sending, ("ran-twice", "repeat", "lease")),
    "answers-before-recording": (_answers_before_recording, ("after", "changed")),
    "checks-no-lease": (_checks_no_lease, ("repeat",)),
    "forgets-keys": (_forgets_keys, ("changed",)),
    "loses-the-accepted": (_loses_the_accepted, ("forgotten",)),
}
FLEET_MUTANTS: dict[str, tuple[Callable[[], Patches], tuple[str, ...]]] = {
    "forgets-the-others": (_forgets_the_others, ("cold",)),
    "hears-drains-late": (_hears_drains_late, ("drain",)),
}

MEMBER_MUTANTS: dict[str, tuple[Callable[[], Patches], tuple[str, ...]]] = {
    "ignores-lives": (_ignores_lives, ("believed", "apart")),
    "blind-to-stalls": (_blind_to_stalls, ("accused",)),
    "credits-old-lives": (_credits_old_lives, ("heard",)),
    "unbounded": (_unbounded, ("traffic",)),
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """While it holds, dispatchers of this process are the mutant."""
    with contextlib.ExitStack() as stack:
        for patch in (MUTANTS | JOB_MUTANTS | FLEET_MUTANTS | MEMBER_MUTANTS)[name][0]():
            stack.enter_context(patch)
        yield
