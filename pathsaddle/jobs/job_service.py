"""The door with a store behind it: the same decisions, but each step is on disk before the next byte leaves.

It stands in the plain TxnService's place where the charter has a `[jobs]` table. What it does is told by `life`,
which knows no I/O; what it posts, and to whom, is decided by Choice as ever. While the store can't be written new
jobs are declined at once with the reason, what is open goes on, and the log says so.
"""

from __future__ import annotations

import asyncio
import base64
import json
import sqlite3
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from pathsaddle.jobs import state_machine
from pathsaddle.jobs.state_machine import End, JobRecord, JobStateMachine, Kind, Lease, Next, Word
from pathsaddle.jobs.store import Accepted, Forget, Store, StoreFencedError, tell_done
from pathsaddle.jobs.submitted_call import PATH, as_txn, digest, key_of, pack, unpack
from pathsaddle.net.memory.ledger import Answer, Entry, Exchange, Whole
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import seconds
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import Lost, NeverSent
from pathsaddle.net.wire.forms import Callback, Words
from pathsaddle.net.wire.http import Broken, Message
from pathsaddle.trade import MILLISECOND, SECOND, Outcome, Posting, Report, Semantics, Txn

AGAIN = SECOND // 10  # between tries of a commit that failed
ILL = SECOND  # after a failed commit: new jobs are declined at once
BEHIND = SECOND  # of waiting for one commit beyond which new jobs are declined
SLICE = 100  # jobs taken up again between two turns of the loop
FORGETS = (
    60 * SECOND
)  # at most between two lettings go: an eighth of a month's jobs at once keeps the disk for seconds
FULL_TOLD = 60 * SECOND  # between two log lines of memory that is full of open jobs
ASKED = 64  # workers asked at a time after a restart
LIVE = 512  # jobs that stand before the decisions at once; the others wait in order
FAULTS = (sqlite3.Error, OSError)
ENDED = 1000  # bytes of memory that an ended job takes beside its result (kept/jobs_store.jsonl: 1,460 with a call)
# Bytes of memory that an open job takes beside its call: 2,860 with one of 200 bytes in the dearest of three plays at
# 30,000 (kept/jobs_store-open.jsonl). Beyond the bound that follows two of three took twice as much a job.
OPEN = 3000
ENDS = {"settled": End.SETTLED, "declined": End.DECLINED, "reversed": End.REVERSED}


@dataclass(slots=True, frozen=True)
class JobServiceOptions:
    """What the charter says of jobs, in ticks. ended: bytes that the ended ones may take of our memory; the others'
    are read from disk when they are asked for. open: bytes that the open ones may take, beyond which new ones are
    declined; what was accepted before stays, also over a restart.
    """

    lease: int
    retention: int
    longest_poll: int
    recover_within: int
    margin: int
    ended: int = 4_000_000
    open: int = 96_000_000


@dataclass(slots=True, eq=False)
class Kept:
    """A job and what this process has of it."""

    job: JobStateMachine
    told: Accepted
    words: Words | None = None  # by which it was accepted, until it stands before the decisions
    entry: Entry | None = None
    polls: list[tuple[Answer, asyncio.TimerHandle]] = field(default_factory=list)
    running: bool = False
    accepting: asyncio.Future[None] | None = None  # it is not on disk yet
    pending: asyncio.Future[None] | None = None  # its end is known here and not on disk yet

    @property
    def open(self) -> bool:
        """To its clients: until its end is on disk."""
        return self.job.open or self.pending is not None

    @property
    def changes(self) -> int:
        return self.job.changes - (self.pending is not None)


class JobService(TxnService):
    def __init__(self, *told: Any, store: Store, ways: JobServiceOptions, chance: Random) -> None:
        # First of all: where the store can't be had nothing has been asked of the event loop yet.
        self.born_with: list[tuple[Accepted, JobStateMachine]] = store.open(ended=False)
        super().__init__(*told)
        self.store = store
        self.ways = ways
        self.chance = chance
        self.jobs: dict[str, Kept] = {}
        self.by_key: dict[tuple[str, str], Kept] = {}
        # Ended, on disk and in memory too, the oldest first. All of a month's were: 251 MiB at 100,000 of 192 told.
        self.ended: deque[Kept] = deque()
        self.ended_bytes = 0
        self.open_bytes = 0  # as reckoned: grows with the open jobs, and their calls
        self.full_told = -FULL_TOLD
        self.on_disk = store.ended_count()  # at our start: about so many are on disk alone
        self.waiting: deque[Kept] = deque()  # accepted, and not before the decisions yet
        self.live = 0
        self._admitting = False
        self.count = 0
        self.recovered = False
        self.listed_once = asyncio.Event()
        self.ill_until = 0
        self.behind: deque[int] = deque()  # since when commits wait, the oldest first
        self.early: list[tuple[Callback, Answer]] = []  # callbacks that came before we were ready for them
        self.commit: asyncio.Future[None] | None = None  # of the final answer that an event just led to

    # The store.

    def _put(self, *writes: Any) -> asyncio.Future[None]:
        begun = self.clock.now()
        self.behind.append(begun)
        done = self.store.put(*writes)
        done.add_done_callback(lambda _: self._put_done(begun, done))
        return done

    def _put_done(self, begun: int, done: asyncio.Future[None]) -> None:
        self.behind.remove(begun)
        self.counters.most("jobs.commit_ms_most", (self.clock.now() - begun) / MILLISECOND)
        if not done.cancelled() and (fault := done.exception()) is not None:
            if not isinstance(fault, StoreFencedError) and self.clock.now() >= self.ill_until:
                logbook.store_ill(why=fault)
            elif isinstance(fault, StoreFencedError) and not self.ill_until >= 1 << 60:
                logbook.store_lost(why=fault)
            self.counters.add("jobs.commit_failed")
            self.ill_until = 1 << 60 if isinstance(fault, StoreFencedError) else self.clock.now() + ILL

    async def _surely(self, until: int, *writes: Any) -> bool:
        """Until it is on disk, or the store is another's, or the time is up."""
        while True:
            try:
                await asyncio.shield(self._put(*writes))
                return True
            except StoreFencedError:
                return False
            except FAULTS:
                if self.clock.now() + AGAIN >= until:
                    return False
                await asyncio.sleep(seconds(AGAIN))

    def _closed_for_new(self) -> str | None:
        """Why no new job is taken on now."""
        now = self.clock.now()
        if self.store.fenced:
            return "the store is another process's now"
        if not self.recovered:
            return "recovering"
        if now < self.ill_until:
            return "the store can't be written"
        if self.behind and now - self.behind[0] > BEHIND:
            return "the store is slow"
        if self.open_bytes >= self.ways.open:
            self.counters.add("jobs.full")
            if now >= self.full_told + FULL_TOLD:
                self.full_told = now
                logbook.note(
                    text=f"new jobs are declined: the open ones take {self.open_bytes} bytes of the {self.ways.open} "
                    "that limits.memory leaves them"
                )
            return "as many jobs are open as its memory has room for"
        return None

    def _opened(self, kept: Kept) -> None:
        self.jobs[kept.job.tag] = kept
        self.open_bytes += OPEN + len(kept.told.call)

    def _no_more_open(self, kept: Kept) -> None:
        self.open_bytes -= OPEN + len(kept.told.call)

    @property
    def ready(self) -> bool:
        return super().ready and self.recovered and not self.store.fenced

    # Start and recovery.

    async def begin(self) -> None:
        """Takes up what is open: asks the workers what became of their leases, then lets the decisions go on."""
        begun = self.clock.now()
        open_jobs = []
        for told, job in self.born_with:
            kept = Kept(job, told)
            self._opened(kept)
            if told.key is not None:
                self.by_key[told.owner, told.key] = kept
            job.expires = state_machine.expires_after_restart(job.accepted, job.expires, begun)
            open_jobs.append(kept)
        self.born_with = []
        for text in self.store.set_aside:
            logbook.job_set_aside(what=text)
        doubtful = [kept for kept in open_jobs if kept.job.in_doubt()]
        if doubtful:
            try:
                async with asyncio.timeout(seconds(self.ways.recover_within)):
                    await self.listed_once.wait()
            except TimeoutError:
                pass  # the list we were started with has to do
        gate = asyncio.Semaphore(ASKED)

        async def ask(kept: Kept) -> None:
            async with gate:
                try:
                    await self._take_up(kept)
                except (
                    Broken,
                    ValueError,
                ):  # its scheme is gone since: that job alone waits for its worker's word
                    self._start(self._wait_for_word(kept))

        for i in range(0, len(doubtful), SLICE):
            await asyncio.gather(*(ask(kept) for kept in doubtful[i : i + SLICE]))
        for i, kept in enumerate(open_jobs):
            if kept.job.open and kept.entry is None and not kept.job.in_doubt():
                if kept.job.cancel:
                    self._cancel_at_last(kept)
                elif kept.told.key is None:
                    self._end_job(kept, End.CANCELLED, 499, b"")  # its caller is gone with our last life
                else:
                    self._line_up(kept)
            if i % SLICE == 0:
                await asyncio.sleep(0)
        self.recovered = True
        logbook.recovered(
            jobs=len(self.jobs) + self.on_disk,
            open=len(open_jobs),
            asked=len(doubtful),
            ms=(self.clock.now() - begun) // MILLISECOND,
        )
        early, self.early = self.early, []
        for told_back, answer in early:
            self.heard(told_back, answer)
        self._start(self._sweep())

    def listed(self, news: Any, rows: Any) -> None:
        super().listed(news, rows)
        if news.name in ("WHOLE", "CHANGES"):
            self.listed_once.set()

    async def _take_up(self, kept: Kept) -> None:
        """A job with leases in doubt: each worker is asked, and what it says becomes the postings' state."""
        job = kept.job
        if job.cancel:
            self._cancel_at_last(kept)
            return
        entry = self._entry(kept)
        postings = []
        for i, lease in enumerate(job.leases):
            worker = self.known.get(lease.worker)
            if worker is None:
                continue  # its word may still come, as a late result
            posting = Posting(entry.txn, worker, i, lease.at, taken=lease.at)
            exchange = Exchange(posting, entry, 1 << 60, begun=True, sending=Whole(), accepted=True)
            entry.exchanges.append(exchange)
            postings.append(posting)
            if lease.never_ran:
                posting.outcome = Outcome.MOOT
                continue
            word, result = await self._ask(job, lease)
            if not job.open:  # its result came meanwhile
                self._let_go(entry)
                return
            follows = state_machine.after_restart(word, self.clock.now(), job.expires)
            self.counters.add(f"jobs.after_restart.{follows.name.lower()}")
            if follows is Next.SETTLE:
                self._settle(kept, result)
                self._let_go(entry)
                return
            if follows is Next.CLEAR:
                self._clear(job, lease)
                posting.outcome = Outcome.MOOT
            elif follows is Next.DOUBT:
                posting.outcome = Outcome.RESET
            else:
                self._start(self._heartbeat(kept, exchange, lease))
        for number, posting in enumerate(postings):
            posting.number = number
        out = any(posting.out for posting in postings)
        if kept.told.key is None and not job.in_doubt():
            self._let_go(entry)
            self._end_job(kept, End.CANCELLED, 499, b"")
        elif kept.told.key is None or (not out and self._may_not_again(job)):
            # Its caller is gone with our last life and may ask anew, or nobody on the list has it: no more
            # postings, and whatever is still heard of it counts until its expiry.
            self._let_go(entry)
            self._start(self._wait_for_word(kept))
        else:
            self._go(kept, entry, postings)

    def _cancel_at_last(self, kept: Kept) -> None:
        """Its client's wish is on disk and we died before it was met."""
        for lease in kept.job.in_doubt():
            if lease.worker in self.known:
                self._start(self._tell_withdrawn(kept.job.tag, lease.worker))
        self._end_job(kept, End.CANCELLED, 410, b"")

    async def _tell_withdrawn(self, tag: str, worker: str) -> None:
        self.counters.add("withdrawal")
        try:
            async with asyncio.timeout(seconds(self.workers.connect_within)):
                await self.workers.call(worker, "DELETE", b"/jobs/" + tag.encode(), [])
        except (NeverSent, Lost, TimeoutError):
            self.counters.add("withdrawal.unanswered")

    @staticmethod
    def _may_not_again(job: JobStateMachine) -> bool:
        return job.semantics is not Semantics.REPEATABLE and bool(job.in_doubt())

    async def _wait_for_word(self, kept: Kept) -> None:
        """Nobody on the list has it and it may have run: its worker may come back before its expiry."""
        job = kept.job
        while job.open and self.clock.now() < job.expires - self.ways.margin:
            await asyncio.sleep(
                seconds(min(self.ways.lease, max(MILLISECOND, job.expires - self.clock.now()))) / 2
            )
            for lease in job.in_doubt():
                if job.open and lease.worker in self.known:
                    word, result = await self._ask(job, lease)
                    if job.open and word is Word.DONE:
                        self._settle(kept, result)
        if job.open:
            self._end_job(kept, End.REVERSED, 500, b"")

    async def _ask(self, job: JobStateMachine, lease: Lease) -> tuple[Word, bytes]:
        """The worker's own word on a lease; those that know none of this say 404 without a fence, or nothing."""
        try:
            async with asyncio.timeout(seconds(self.workers.connect_within)):
                answer = await self.workers.call(
                    lease.worker, "GET", b"/jobs/%s?fence=%d" % (job.tag.encode(), lease.number), []
                )
        except (NeverSent, Lost, TimeoutError):
            return Word.NONE, b""
        try:
            told = json.loads(answer.body) if answer.status == 200 else {}
            state = told.get("state")
            if state == "done":
                return Word.DONE, str(told.get("result", "")).encode()
            if state == "never" and told.get("fence") == lease.number:
                return Word.NEVER, b""
            word = {"running": Word.RUNNING, "failed": Word.FAILED}.get(str(state), Word.NONE)
            return word, b""
        except (ValueError, AttributeError):
            return Word.NONE, b""

    def _entry(self, kept: Kept) -> Entry:
        """The txn of a job; raises Broken where the store's call is none any more."""
        job = kept.job
        call = unpack(kept.told.call)
        txn = (kept.words or self.words).txn(call, self.clock.now())
        txn.expires = job.expires - self.ways.margin
        entry, kept.words = Entry(txn, call, None), None
        kept.entry = entry
        self.ledger.open(entry)
        return entry

    def _go(self, kept: Kept, entry: Entry, postings: list[Posting]) -> None:
        if not kept.job.open:
            self._let_go(entry)
            return
        kept.running = True
        self.live += 1
        self._at()
        self._guard(entry.txn, lambda: self.loop.resume(entry.txn, postings))

    def _let_go(self, entry: Entry) -> None:
        """A job that ended before the decisions took it up again: they know nothing of its postings."""
        for exchange in entry.exchanges:
            exchange.posting.outcome = exchange.posting.outcome or Outcome.MOOT
        entry.txn.closed = True
        self.ledger.close(entry)

    # What clients bring.

    def takes(self, call: Message) -> bool:
        return call.method in (b"GET", b"DELETE") and call.target.startswith(PATH)

    def take(self, call: Message, answer: Answer) -> Entry | None:
        if call.target.startswith(PATH):
            if call.method == b"POST":
                self._submit(call, answer)
            elif call.method == b"GET":
                self._status(call, answer)
            else:
                self._cancel_job(call, answer)
            return None
        why = self._closed_for_new()
        if why is not None:
            self.counters.add("jobs.closed")
            self._say(answer, 503, {"why": why}, come_back=SECOND)
            return None
        self._at()
        txn = self.words.txn(call, self.loop.now)
        if txn.tag in self.jobs or self.ledger.knows(txn.tag) or self._known_on_disk(txn.tag):
            raise Broken(409, "this id is not new")
        told = Accepted(
            txn.tag,
            self._owner(call),
            None,
            digest(call),
            txn.scheme.semantics,
            txn.arrived,
            txn.expires,
            pack(call),
        )
        kept = Kept(
            JobStateMachine(txn.tag, txn.scheme.semantics, txn.arrived, txn.expires), told, running=True
        )
        self._opened(kept)
        # In order before its first intent, which is waited for: it needs no wait of its own.
        self._put(told)
        txn.expires -= min(self.ways.margin, (txn.expires - txn.arrived) // 2)
        if self.stopping is not None:
            txn.cut_to(self.stopping)
        entry = kept.entry = Entry(txn, call, answer)
        self.ledger.open(entry)
        self.counters.add("txn.taken")
        self.live += 1
        self._guard(txn, lambda: self.loop.arrive(txn))
        return entry

    @staticmethod
    def _owner(call: Message) -> str:
        return call.text(b"req-owner") or ""

    def _submit(self, call: Message, answer: Answer) -> None:
        """202 and the job's id; under the same key the same job, and 409 where it is another."""
        key, owner, what = key_of(call), self._owner(call), digest(call)
        known = self.by_key.get((owner, key)) or self._handed_in(owner, key)
        if known is not None:
            if known.told.digest != what:
                raise Broken(409, "this key is another job's")
            self._start(self._accepted_before(known, answer))
            return
        why = self._closed_for_new() or ("we are to end" if self.stopping is not None else None)
        if why is not None:
            self.counters.add("jobs.closed")
            self._say(answer, 503, {"why": why}, come_back=SECOND)
            return
        self.count += 1
        tag = f"j{self.store.epoch:x}-{self.count:x}-{self.chance.getrandbits(32):08x}"
        inner = as_txn(call, tag)
        txn = self.words.txn(inner, self.clock.now())
        told = Accepted(tag, owner, key, what, txn.scheme.semantics, txn.arrived, txn.expires, pack(inner))
        kept = Kept(JobStateMachine(tag, txn.scheme.semantics, txn.arrived, txn.expires), told, self.words)
        self.by_key[owner, key] = kept
        self._opened(kept)
        self.counters.add("jobs.submitted")
        # From here, not from the task: the same submission may come again before that has had its first turn.
        kept.accepting = self._put(told)
        self._start(self._accept(kept, kept.accepting, answer))

    async def _accept(self, kept: Kept, accepting: asyncio.Future[None], answer: Answer) -> None:
        try:
            await asyncio.shield(accepting)
        except (*FAULTS, StoreFencedError) as fault:
            # Whether it is on disk is not known for a fault in the sync: under its key it may come again.
            if self.jobs.pop(kept.job.tag, None) is not None:
                self._no_more_open(kept)
            self.by_key.pop((kept.told.owner, kept.told.key or ""), None)
            self._say(answer, 503, {"why": f"the store can't be written: {fault}"[:200]}, come_back=SECOND)
            return
        kept.accepting = None
        kept.job.changes += 1
        self._say(answer, 202, self._shown(kept))
        self._line_up(kept)

    async def _accepted_before(self, kept: Kept, answer: Answer) -> None:
        """The same submission again; its first may not be on disk yet."""
        if kept.accepting is not None:
            await asyncio.wait([kept.accepting])
        if kept.job.tag not in self.jobs and kept.job.open:
            self._say(answer, 503, {"why": "the store can't be written"}, come_back=SECOND)
            return
        self._say(answer, 202, self._shown(kept))

    def _line_up(self, kept: Kept) -> None:
        self.waiting.append(kept)
        self._admit()

    def _admit(self) -> None:
        """The first that waits comes before the decisions as soon as there is room; one past its expiry is
        declined: it was never posted.
        """
        self._admitting = False
        while self.waiting and self.live < LIVE:
            kept = self.waiting.popleft()
            if not kept.job.open:
                continue
            if self.clock.now() >= kept.job.expires - self.ways.margin:
                self._end_job(kept, End.DECLINED, 503, b"")
                continue
            try:
                entry = kept.entry or self._entry(kept)
            except (Broken, ValueError) as fault:
                self._end_job(kept, End.REVERSED, getattr(fault, "status", 400), str(fault).encode())
                continue
            self._go(kept, entry, [])

    def _status(self, call: Message, answer: Answer) -> None:
        path, _, query = call.target.partition(b"?")
        tag = path[len(PATH) :].decode("latin-1")
        asked = dict(part.split("=", 1) for part in query.decode("latin-1").split("&") if "=" in part)
        if not self.recovered:
            self._say(answer, 503, {"why": "recovering"}, come_back=SECOND // 2)
            return
        kept = self.jobs.get(tag) or self._ended_on_disk(tag)
        if kept is None or self._owner(call) != kept.told.owner:
            raise Broken(404, "no such job")
        try:
            wait = min(self.ways.longest_poll, int(float(asked.get("wait_ms", "0")) * MILLISECOND))
            since = int(asked.get("since", "-1"))
        except ValueError:
            raise Broken(400, "wait_ms and since are numbers") from None
        if wait > 0 and kept.open and kept.changes <= since:
            handle = self._events.call_later(seconds(wait), self._poll_over, kept, answer)
            kept.polls.append((answer, handle))
            return
        self._say(answer, 200, self._shown(kept))

    def _poll_over(self, kept: Kept, answer: Answer) -> None:
        kept.polls = [poll for poll in kept.polls if poll[0] is not answer]
        self._say(answer, 200, self._shown(kept))

    def _changed(self, kept: Kept) -> None:
        polls, kept.polls = kept.polls, []
        for answer, handle in polls:
            handle.cancel()
            self._say(answer, 200, self._shown(kept))

    def _cancel_job(self, call: Message, answer: Answer) -> None:
        if not self.recovered:
            self._say(answer, 503, {"why": "recovering"}, come_back=SECOND // 2)
            return
        tag = call.target.partition(b"?")[0][len(PATH) :].decode("latin-1")
        kept = self.jobs.get(tag) or self._ended_on_disk(tag)
        if kept is None or self._owner(call) != kept.told.owner:
            raise Broken(404, "no such job")
        if not kept.job.open or kept.job.cancel:
            if kept.pending is not None:
                kept.pending.add_done_callback(lambda _: self._say(answer, 200, self._shown(kept)))
                return
            self._say(answer, 200, self._shown(kept))
        else:
            self._start(self._cancelled(kept, answer))

    async def _cancelled(self, kept: Kept, answer: Answer) -> None:
        """The wish is on disk, what is out is withdrawn, and the job's end is that it was cancelled; whether it
        ran all the same is told by its last lease.
        """
        job = kept.job
        if not await self._surely(
            self.clock.now() + SECOND, JobRecord(Kind.CANCEL, job.tag, self.clock.now())
        ):
            self._say(answer, 503, {"why": "the store can't be written"}, come_back=SECOND)
            return
        if job.open:
            job.apply(JobRecord(Kind.CANCEL, job.tag, self.clock.now()))
            entry = kept.entry
            if entry is not None and not entry.txn.closed:
                for exchange in entry.exchanges:
                    if exchange.posting.out and not exchange.posting.cancelled:
                        exchange.posting.cancelled = True
                        self.cancel(exchange.posting)
                self._at()
                self._guard(entry.txn, lambda: self.loop.hang_up(entry.txn))
            done = self._end_job(kept, End.CANCELLED, 410, b"")
            if done is not None:
                await asyncio.wait([done])
        self._say(answer, 200, self._shown(kept))

    # Ended jobs: some of them in memory, all on disk.

    def _has_ended(self, kept: Kept) -> None:
        """Its end is on disk: nothing that was needed to post it is kept, and of the ended ones only the last."""
        self._no_more_open(kept)
        kept.entry, kept.told.call = None, b""
        self.ended.append(kept)
        self.ended_bytes += ENDED + len(kept.job.result)
        while self.ended_bytes > self.ways.ended:
            oldest = self.ended.popleft()
            self.ended_bytes -= ENDED + len(oldest.job.result)
            self._let_fall(oldest)
            self.on_disk += 1

    def _let_fall(self, kept: Kept) -> None:
        self.jobs.pop(kept.job.tag, None)
        if kept.told.key is not None and self.by_key.get((kept.told.owner, kept.told.key)) is kept:
            del self.by_key[kept.told.owner, kept.told.key]

    def _ended_on_disk(self, tag: str) -> Kept | None:
        """One that is not in memory any more, or ended before our start. Raises Broken where it can't be read."""
        if not self.on_disk:
            return None
        self.counters.add("jobs.read_back")
        try:
            found = self.store.ended(tag)
        except state_machine.InvalidTransitionError as fault:
            logbook.job_set_aside(what=str(fault))
            return None
        except FAULTS as fault:
            raise self._unread(fault) from None
        return None if found is None else Kept(found[1], found[0])

    def _known_on_disk(self, tag: str) -> bool:
        try:
            return bool(self.on_disk) and self.store.knows(tag)
        except FAULTS as fault:
            raise self._unread(fault) from None

    def _handed_in(self, owner: str, key: str) -> Kept | None:
        """The ended job that has this key. One that has not ended stands in memory, or its `accept` failed."""
        if not self.on_disk or not self.recovered:
            return None
        try:
            tag = self.store.under(owner, key)
        except FAULTS as fault:
            raise self._unread(fault) from None
        return None if tag is None or tag in self.jobs else self._ended_on_disk(tag)

    def _unread(self, fault: Exception) -> Broken:
        self.counters.add("jobs.unread")
        return Broken(503, f"the store can't be read: {fault}"[:200])

    @staticmethod
    def _shown(kept: Kept) -> dict[str, Any]:
        job = kept.job
        shown: dict[str, Any] = {"id": job.tag, "changes": kept.changes}
        if job.leases:
            shown["lease"] = job.leases[-1].number
        if kept.open or job.end is None:
            shown["state"] = "accepted" if not job.leases else "cancelling" if job.cancel else "leased"
            return shown
        shown["state"], shown["status"] = job.end.value, job.status
        shown["may_have_run"] = bool(job.in_doubt())
        try:
            shown["result"] = job.result.decode()
        except UnicodeDecodeError:
            shown["result_base64"] = base64.b64encode(job.result).decode()
        return shown

    def _say(self, answer: Answer, status: int, told: dict[str, Any], come_back: int = 0) -> None:
        headers = ["Content-Type: application/json"]
        if come_back:
            headers.append(f"Retry-After: {come_back / SECOND:g}")
        answer(status, json.dumps(told).encode(), tuple(headers), True)

    # One posting: its intent first.

    async def _carry(self, exchange: Exchange) -> None:
        posting = exchange.posting
        kept = self.jobs.get(posting.txn.tag)
        if kept is None or not kept.job.open:
            self._end(exchange, Outcome.MOOT)
            return
        job = kept.job
        record = JobRecord(Kind.INTENT, job.tag, self.clock.now(), job.next_number, posting.worker.tag)
        job.apply(record)
        lease = job.leases[-1]
        if not await self._surely(posting.sent + exchange.within - MILLISECOND, record):
            lease.never_ran = True
            self._end(exchange, Outcome.MOOT)
            return
        self._changed(kept)
        if not posting.out or posting.txn.closed or self.store.fenced:
            self._clear(job, lease)
            self._end(exchange, Outcome.MOOT)
            return
        exchange.entry.call.headers[b"job-lease"] = b"%d" % lease.number
        exchange.entry.call.lines = [
            pair for pair in exchange.entry.call.lines if pair[0].lower() != b"job-lease"
        ]
        exchange.entry.call.lines.append((b"Job-Lease", b"%d" % lease.number))
        self._start(self._heartbeat(kept, exchange, lease))
        await super()._carry(exchange)

    def _end(
        self, exchange: Exchange, outcome: Outcome, report: Report | None = None, result: bytes = b""
    ) -> None:
        posting = exchange.posting
        kept = self.jobs.get(posting.txn.tag)
        if kept is not None and posting.out and outcome.never_ran:
            lease = kept.job.lease_of(posting.worker.tag, None)
            if lease is not None and not lease.never_ran:
                self._clear(kept.job, lease)
        super()._end(exchange, outcome, report, result)

    def _clear(self, job: JobStateMachine, lease: Lease) -> None:
        record = JobRecord(Kind.CLEAR, job.tag, number=lease.number)
        job.apply(record)
        self._put(record)

    async def _heartbeat(self, kept: Kept, exchange: Exchange, lease: Lease) -> None:
        """While the lease is out: a sign of life renews it, silence for its time has its worker asked."""
        posting, job = exchange.posting, kept.job
        asked = self.clock.now()
        while posting.out and job.open:
            last = max(posting.sent, posting.noted or 0, asked)
            left = last + self.ways.lease - self.clock.now()
            if left > 0:
                await asyncio.sleep(seconds(left))
                continue
            if not exchange.sent:
                return
            word, result = await self._ask(job, lease)
            asked = self.clock.now()
            if not posting.out or not job.open:
                return
            follows = state_machine.lapsed(word, job.semantics, asked, job.expires)
            self.counters.add(f"jobs.lapsed.{follows.name.lower()}")
            if follows is Next.SETTLE:
                self._end(exchange, Outcome.SETTLED, result=result)
            elif follows is Next.CLEAR:
                self._clear(job, lease)
                self._end(exchange, Outcome.MOOT)
            elif follows is Next.DOUBT:
                self._end(exchange, Outcome.TIMED_OUT)
            elif follows is Next.RESUME:
                self._at()
                self._guard(posting.txn, lambda: self.loop.news(posting, False, 0.0))

    # What workers bring.

    def heard(self, told: Callback, answer: Answer) -> None:
        """204 only once what it led to is on disk: a worker that has its 204 will not say it again."""
        if not self.recovered and told.outcome is not None:
            self.early.append((told, answer))
            return
        self.commit = None
        self.called_back(told)
        commit, self.commit = self.commit, None
        kept = self.jobs.get(told.tag)
        if commit is None and kept is not None and told.outcome is not None:
            commit = kept.pending
        if commit is None:
            answer(204, b"", (), True)
        else:
            commit.add_done_callback(
                lambda done: answer(
                    204 if not done.cancelled() and done.exception() is None else 503, b"", (), True
                )
            )

    def called_back(self, told: Callback) -> None:
        kept = self.jobs.get(told.tag)
        exchange = self.ledger.exchange(told.tag, told.worker)
        if (
            kept is not None
            and kept.job.open
            and exchange is None
            and told.outcome is Outcome.SETTLED
            and kept.job.lease_of(told.worker, None) is not None
        ):
            # A lease that was given up, and its worker has done the job all the same.
            self.counters.add("jobs.late_result")
            self._settle(kept, told.result)
            return
        if kept is not None and not kept.job.open and told.outcome is not None:
            self.counters.add("jobs.after_end")
        super().called_back(told)

    def _settle(self, kept: Kept, result: bytes) -> None:
        entry = kept.entry
        if entry is not None and not entry.txn.closed and entry.txn.run is not None:
            self._answer(entry.txn, "settled", 200, result)
            self._at()
            self._guard(entry.txn, lambda: self.loop.hang_up(entry.txn))
        else:
            self._end_job(kept, End.SETTLED, 200, result)

    # The one final answer.

    def _answer(
        self,
        txn: Txn,
        kind: str,
        status: int,
        body: bytes = b"",
        headers: tuple[str, ...] = (),
        keep: bool = True,
    ) -> None:
        kept = self.jobs.get(txn.tag)
        if kept is None:
            super()._answer(txn, kind, status, body, headers, keep)
            return
        entry = self.ledger[txn.tag]
        answer, entry.answer = entry.answer, None
        self.counters.add(f"txn.{kind}")

        def tell(fine: bool) -> None:
            if answer is not None:
                if fine:
                    answer(status, body, headers, keep)
                else:  # nothing can be promised of it: nobody will ever know what became of it here
                    answer(500, b"", (), keep)

        self._end_job(kept, ENDS[kind], status, body, tell)
        self._events.call_soon(self.ledger.close, entry)

    def hang_up(self, entry: Entry) -> None:
        """The client of a call is gone: as ever, nothing more is done for it, and the store says so."""
        super().hang_up(entry)
        kept = self.jobs.get(entry.txn.tag)
        if kept is not None and kept.job.open:
            self._end_job(kept, End.CANCELLED, 499, b"")

    def _end_job(
        self, kept: Kept, end: End, status: int, body: bytes, tell: Callable[[bool], None] = lambda fine: None
    ) -> asyncio.Future[None] | None:
        """On disk first, then whoever waits is told. Nothing that comes later makes another end of it."""
        job = kept.job
        if not job.open:
            return None
        record = JobRecord(Kind.FINAL, job.tag, self.clock.now(), end=end, status=status, result=body)
        job.apply(record)
        kept.pending = self.commit = self._events.create_future()
        if kept.running:
            kept.running = False
            self.live -= 1
        self.counters.add(f"jobs.{end.value}")
        self._start(self._ending(kept, record, kept.pending, tell))
        if self.waiting and not self._admitting:
            # Not from here: a thousand that are past their expiry would each end the next one, in depth.
            self._admitting = True
            self._events.call_soon(self._admit)
        return kept.pending

    async def _ending(
        self, kept: Kept, record: JobRecord, pending: asyncio.Future[None], tell: Callable[[bool], None]
    ) -> None:
        """A caller that waits is told that nothing is known where its expiry comes before the disk is done."""
        told = False
        while True:
            put = self._put(record)
            if not told:
                left = kept.job.expires - self.clock.now()
                await asyncio.wait([put], timeout=max(0.0, seconds(left)))
                if not put.done():
                    told = True
                    self.counters.add("jobs.unrecorded_in_time")
                    tell(False)
            try:
                await put
                break
            except StoreFencedError as fault:
                if not told:
                    tell(False)
                tell_done(pending, fault)
                return
            except FAULTS:
                left = kept.job.expires - self.clock.now()
                await asyncio.sleep(seconds(AGAIN if told else max(0, min(AGAIN, left))))
        kept.pending = None
        tell_done(pending, None)
        if not told:
            tell(True)
        self._changed(kept)
        self._has_ended(kept)

    async def _sweep(self) -> None:
        """Ended jobs are kept for the retention."""
        due = self.clock.now()
        while True:
            await asyncio.sleep(1.0)
            now = self.clock.now()
            late = [kept for kept in self.waiting if now >= kept.job.expires - self.ways.margin]
            if late:  # never before the decisions, so never posted: said now, not when there would be room
                self.waiting = deque(
                    kept for kept in self.waiting if now < kept.job.expires - self.ways.margin
                )
                for kept in late:
                    self._end_job(kept, End.DECLINED, 503, b"")
            if now < due:
                continue
            due = now + max(SECOND, min(FORGETS, self.ways.retention // 8))
            before = now - self.ways.retention
            gone = [kept for kept in self.ended if kept.job.ended < before]
            self.ended = deque(kept for kept in self.ended if kept.job.ended >= before)
            for kept in gone:
                self.ended_bytes -= ENDED + len(kept.job.result)
                self._let_fall(kept)
            if gone or self.on_disk:
                self._put(Forget(before))

    def stop(self, by: int) -> None:
        """Who waits on a connection gets its answer; jobs that were handed in stay open for whoever comes next."""
        self.stopping = by
        self._at()
        for entry in self.ledger.unanswered():
            if entry.answer is not None:
                self._guard(entry.txn, lambda entry=entry: self.loop.hasten(entry.txn, by))  # type: ignore[misc]

    async def finish(self) -> None:
        self.store.close()
        self.counters.most("jobs.commits", self.store.commits)
        self.counters.most("jobs.records", self.store.written)
