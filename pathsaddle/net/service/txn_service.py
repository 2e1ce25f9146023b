"""The door between the decisions and the sockets: it alone knows which id is which object.

It does what the loop orders and tells it what came of that; it decides nothing. Events that wait together are
told one by one and share one turn.
"""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Answer, Entry, Exchange, Ledger, Sending
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.service.workers import Lost, NeverSent, Workers
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.forms import Callback, Row, Words
from pathsaddle.net.wire.http import Broken, Message
from pathsaddle.scheduler_driver import SchedulerDriver
from pathsaddle.scheduler_types import (
    MILLISECOND,
    ListedState,
    ListUpdate,
    LoadReport,
    Outcome,
    Posting,
    SchedulerConfig,
    Txn,
    Worker,
)

AFTER_FAULT = 10 * MILLISECOND  # until the next turn: not at once, against spinning on the same fault
ON_ITS_WAY = 50 * MILLISECOND  # in which the end of a connection reaches a worker


class Withheld(Exception):
    """Between the order and the first byte the reason to send has gone."""


class TxnService:
    def __init__(
        self,
        terms: SchedulerConfig,
        words: Words,
        seed: int,
        clock: Clock,
        workers: Workers,
        counters: Counters,
        watch: Callable[[], None],
    ) -> None:
        self.two_at_once = terms.allows_hedging
        self.dropped_stay_open = terms.delisted_workers_usable
        self.look_target = forms.look_target(terms.reports_in_probes)
        self.words = words
        self.clock = clock
        self.workers = workers
        self.counters = counters
        self.watch = watch
        self.catch_up: Callable[[], None] = lambda: None  # reads what the list's watch has brought by now
        self.looks: Callable[[Worker], Coroutine[Any, Any, None]] = self._look  # what one is; maybe metered
        self.ledger = Ledger()
        self.known: dict[str, Worker] = {}
        self.stopping: int | None = None  # by when everything must be answered, once we are to end
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._turning = False
        self._alarm: asyncio.TimerHandle | None = None
        self._events = asyncio.get_running_loop()
        self.loop = SchedulerDriver(self, terms, seed, clock.now())
        workers.broke = self.broke

    # What the loop asks of a door.

    def post(self, posting: Posting, within: int) -> None:
        txn = posting.txn
        entry = self.ledger[txn.tag]
        left = txn.expires_at - self.clock.now()
        exchange = Exchange(posting, entry, min(within, left) if within else left)
        entry.exchanges.append(exchange)
        self.counters.add("posting")
        exchange.alarm = self._events.call_later(max(0.0, seconds(exchange.within)), self._late, exchange)
        exchange.task = self._start(self._carry(exchange))

    def cancel(self, posting: Posting) -> None:
        exchange = self.ledger[posting.txn.tag].exchanges[posting.number]
        if not posting.is_in_flight:
            return
        if exchange.accepted:
            self._start(self._withdraw(exchange))
        else:
            self._give_up(exchange)  # no byte goes out after this; what has gone, the socket has counted
            # The end of the connection takes its time, and the next copy may have a shorter way.
            self._events.call_later(
                seconds(ON_ITS_WAY if exchange.sent and not self.two_at_once else 0),
                self._end,
                exchange,
                Outcome.CANCELLED if exchange.sent else Outcome.MOOT,
            )

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        self._answer(txn, "declined", 503, b"", forms.come_back_header(come_back), keep=not elsewhere)

    def reverse(self, txn: Txn) -> None:
        self._answer(txn, "reversed", 500)

    def probe(self, worker: Worker) -> None:
        self.counters.add("probe")
        self._start(self.looks(worker))

    def subscribe(self) -> None:
        self.counters.add("watch")
        self._events.call_soon(self.watch)

    def wake(self, delay: int) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
        due = self.loop.now + delay
        self._alarm = self._events.call_later(seconds(max(1, due - self.clock.now())), self._woken, due)

    def note(self, text: str) -> None:
        logbook.note(text=text)

    # What the sockets bring.

    async def begin(self) -> None:
        """Before anything is taken or posted; here nothing is left from before our start."""

    async def finish(self) -> None:
        """Everything has been answered: we end."""

    def takes(self, call: Message) -> bool:
        """Whether a call that is no POST has a meaning here."""
        return False

    def take(self, call: Message, answer: Answer) -> Entry | None:
        """A client's call, whole; raises Broken where it is no txn. None: it is answered by and by, and no
        txn hangs on its connection.
        """
        self._at()
        txn = self.words.txn(call, self.loop.now)
        if self.ledger.knows(txn.tag):
            raise Broken(409, "this id is not new")
        if self.stopping is not None:
            txn.shorten_deadline(self.stopping)
        entry = Entry(txn, call, answer)
        self.ledger.open(entry)
        self.counters.add("txn.taken")
        self._guard(txn, lambda: self.loop.start_txn(txn))
        return entry

    def hang_up(self, entry: Entry) -> None:
        entry.answer = None
        if entry.txn.is_closed:
            return
        self.counters.add("txn.hung_up")
        self._at()
        self._guard(entry.txn, lambda: self.loop.abandon_txn(entry.txn))
        self.ledger.close(entry)

    def heard(self, told: Callback, answer: Answer) -> None:
        """A worker's callback, whole: answered at once, whatever it is about."""
        answer(204, b"", (), True)
        self.called_back(told)

    def called_back(self, told: Callback) -> None:
        """Counts once: what is not about a posting that is out has been said before, or too late."""
        self.counters.add(f"callback.{told.name}")
        exchange = self.ledger.exchange(told.tag, told.worker)
        if exchange is None or not exchange.begun:
            self.counters.add("callback.stray")
        elif told.outcome is not None:
            outcome = told.outcome
            if outcome.never_ran and self.ledger.ambiguous(exchange):
                outcome = Outcome.ERROR  # of which of its postings there it speaks nobody knows: no proof
            self._end(exchange, outcome, told.report, told.result)
        elif told.note:
            self._at()
            posting = exchange.posting
            self._guard(posting.txn, lambda: self.loop.on_progress(posting, told.started, told.level))

    def listed(self, news: ListUpdate, rows: list[Row]) -> None:
        told = []
        for row in rows:
            known = self.known.setdefault(row.worker.tag, row.worker)
            if known is not row.worker:
                known.update_from(row.worker)
            self.workers.located(known.tag, row.address)
            told.append(known)
        self._at()
        self._guard(None, lambda: self.loop.on_list_update(news, told))
        for worker in self.known.values():
            if worker.listed_state is ListedState.GONE and not worker.can_receive_postings(
                self.dropped_stay_open
            ):
                self.workers.links.forget(worker.tag)

    def broke(self, worker: str) -> None:
        """A connection to it was ended from over there."""
        known = self.known.get(worker)
        if known is not None:
            self._at()
            self._guard(None, lambda: self.loop.on_connection_broken(known))

    def stop(self, by: int) -> None:
        """We are to end: every txn must have its answer by then, whatever its client would wait."""
        self.stopping = by
        self._at()
        for entry in self.ledger.unanswered():
            self._guard(entry.txn, partial(self.loop.shorten_deadline, entry.txn, by))

    def retune(self, terms: SchedulerConfig, words: Words) -> None:
        """Other terms from the next call on, between two events; no txn that is open is touched. Raises nothing: what
        could be amiss was found before (`config/reload.py`).
        """
        self._at()
        self.words, self.dropped_stay_open = words, terms.delisted_workers_usable
        self.loop.scheduler.update_config(
            terms, [scheme for scheme in self.ledger.schemes() if scheme not in terms.schemes]
        )

    @property
    def ready(self) -> bool:
        """Whether a worker is known that can be posted to: the front sends nobody before, and who is held meanwhile
        could be served elsewhere. Once a call has failed it's said all the same: others may have no list either.
        """
        return (
            self.stopping is None
            and self.loop.is_list_settled(self.clock.now())
            and any(w.listed_state is ListedState.READY for w in self.known.values())
        )

    # One posting, from its order to its one outcome.

    async def _carry(self, exchange: Exchange) -> None:
        posting, call = exchange.posting, exchange.entry.call
        headers: list[tuple[bytes, bytes]] = []

        def begins(sending: Sending) -> None:
            # Connecting took time: its client may have gone, the worker been told to go or started anew.
            self.catch_up()
            self.loop.set_now(self.clock.now())
            if not self.loop.can_begin_posting(posting):
                self.counters.add("posting.withheld")
                raise Withheld
            exchange.begun, exchange.sending = True, sending
            # What is left now: told as of the order, a worker hoped for as much longer as the dial had taken.
            headers.extend(forms.posting_headers(call, posting.sent_at + exchange.within - self.clock.now()))

        try:
            answer = await self.workers.call(
                posting.worker.tag, "POST", call.target, headers, call.body, begins
            )
        except Withheld:
            self._end(exchange, Outcome.MOOT)
        except NeverSent:
            self._end(exchange, Outcome.UNCONNECTED)
        except Lost:
            self._end(exchange, Outcome.RESET)
        else:
            outcome = forms.outcome_of(answer)
            if outcome is None:
                exchange.accepted = True
                if posting.is_in_flight:
                    self._at()
                    self._guard(posting.txn, lambda: self.loop.on_posting_accepted(posting))
            else:
                self._end(exchange, outcome, self.words.report_in(answer))

    def _late(self, exchange: Exchange) -> None:
        """The time it was given is up: no worker that got it in full can be said not to have run it."""
        if exchange.posting.is_in_flight:
            if exchange.accepted:
                self._start(self._delete(exchange))
            else:
                self._give_up(exchange)  # first: whether its last byte is out is settled by that
            self._end(exchange, Outcome.TIMED_OUT if exchange.sent else Outcome.MOOT)

    def _give_up(self, exchange: Exchange) -> None:
        if exchange.task is not None:
            exchange.task.cancel()  # closes the connection: before the 202 that is how a posting is withdrawn

    async def _withdraw(self, exchange: Exchange) -> None:
        """Where two at once are forbidden the next must not start before this one is known withdrawn."""
        if await self._delete(exchange) or self.two_at_once:
            self._end(exchange, Outcome.CANCELLED)

    async def _delete(self, exchange: Exchange) -> bool:
        """Whether the worker has been told in full that the posting is given up."""
        told: list[Sending] = []
        self.counters.add("withdrawal")
        try:
            async with asyncio.timeout(seconds(self.workers.connect_within)):
                await self.workers.call(
                    exchange.posting.worker.tag,
                    "DELETE",
                    forms.withdrawal_target(exchange.posting.txn.tag),
                    [],
                    begins=told.append,
                )
        except (NeverSent, Lost, TimeoutError) as fault:
            self.counters.add("withdrawal.unanswered")
            if isinstance(fault, Lost):
                return False  # a reset may have overtaken it on its way
        return any(sending.whole for sending in told)

    def _end(
        self, exchange: Exchange, outcome: Outcome, report: LoadReport | None = None, result: bytes = b""
    ) -> None:
        posting = exchange.posting
        if not posting.is_in_flight:
            return
        if exchange.alarm is not None:
            exchange.alarm.cancel()
        if exchange.sent and not exchange.accepted and exchange.task is not None:
            # Its end overtook the 202, which may never come now.
            self._events.call_later(seconds(self.workers.connect_within), exchange.task.cancel)
        self.counters.add(f"outcome.{outcome.name.lower()}")
        txn = posting.txn
        self._at()
        if outcome is Outcome.SETTLED and not txn.is_closed:
            self._answer(txn, "settled", 200, result)
        closes = outcome is Outcome.SETTLED or txn.is_closed
        spent = self.loop.now - posting.sent_at
        self._guard(txn, lambda: self.loop.on_posting_ended(posting, outcome, spent, closes, report))
        self.ledger.close(exchange.entry)

    async def _look(self, worker: Worker) -> None:
        begun = self.clock.now()
        outcome, report = Outcome.TIMED_OUT, None
        try:
            async with asyncio.timeout(seconds(self.workers.connect_within)):
                answer = await self.workers.call(worker.tag, "GET", self.look_target, [])
            outcome, report = forms.look_outcome(answer), self.words.report_in(answer)
        except TimeoutError:
            pass
        except NeverSent:
            outcome = Outcome.UNCONNECTED
        except Lost:
            outcome = Outcome.RESET
        self.counters.add(f"probe.{outcome.name.lower()}")
        self._at()
        spent = self.loop.now - begun
        self._guard(None, lambda: self.loop.on_probe_result(worker, outcome, spent, report))

    # Driving the loop.

    def _at(self) -> None:
        self.loop.set_now(self.clock.now())
        if not self._turning:
            self._turning = True
            self._events.call_soon(self._turn)

    def _turn(self) -> None:
        self._turning = False
        self.loop.set_now(self.clock.now())
        if self._guard(None, self.loop.run_pending):
            return
        # Whose life has ended in the fault gets its answer; the rest of the turn is made up for.
        for entry in self.ledger.unanswered():
            if (
                entry.txn.lifecycle is None
                or inspect.getgeneratorstate(entry.txn.lifecycle) == inspect.GEN_CLOSED
            ):
                self._drop(entry.txn)
        self._events.call_later(seconds(AFTER_FAULT), self._at)

    def _woken(self, due: int) -> None:
        now = self.clock.now()
        if now < due:  # timers count whole milliseconds and may come early; the loop would sleep on
            self._alarm = self._events.call_later(seconds(due - now) + 0.0005, self._woken, due)
            return
        self._at()
        self.loop.on_wakeup()

    def _guard(self, txn: Txn | None, act: Callable[[], None]) -> bool:
        """A fault in the decisions about one txn reverses that one; the others go on."""
        try:
            act()
            return True
        except Exception as fault:  # noqa: BLE001  # whatever it is ends this txn alone
            self.counters.add("fault")
            logbook.fault_decisions(fault)
            if txn is not None and not txn.is_closed:
                self._drop(txn)
            return False

    def _drop(self, txn: Txn) -> None:
        self.reverse(txn)
        self.loop.abandon_txn(txn)

    def _answer(
        self,
        txn: Txn,
        kind: str,
        status: int,
        body: bytes = b"",
        headers: tuple[str, ...] = (),
        keep: bool = True,
    ) -> None:
        entry = self.ledger[txn.tag]
        answer, entry.answer = entry.answer, None
        if answer is not None:
            self.counters.add(f"txn.{kind}")
            answer(status, body, headers, keep)
        # The loop closes the txn right after this; whatever is still out keeps the entry.
        self._events.call_soon(self.ledger.close, entry)

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self._events.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._finished)
        return task

    def _finished(self, task: asyncio.Task[None]) -> None:
        del self._tasks[task]
        if not task.cancelled() and (fault := task.exception()) is not None:
            self.counters.add("fault")
            logbook.fault_task(fault)
