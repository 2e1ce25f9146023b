"""The transport between the scheduler and the sockets; it maps the ids of txns and workers to objects.

The service carries out what the scheduler driver decides and reports the results to it; it makes no
decisions. Events that are due together are reported one by one and share one scheduling pass.
"""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable, Coroutine
from enum import Enum
from functools import partial
from typing import Any

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Answer, Entry, Exchange, Ledger, Sending
from pathsaddle.net.service import logbook
from pathsaddle.net.service.clock import Clock, seconds
from pathsaddle.net.service.workers import ConnectionLostError, RequestNotSentError, Workers
from pathsaddle.net.wire import forms
from pathsaddle.net.wire.forms import Callback, ListRow, MessageDecoder
from pathsaddle.net.wire.http import HttpError, Message
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

FAULT_RETRY_DELAY = 10 * MILLISECOND  # an immediate retry could spin on the same fault
READ_AHEAD_TIME = 50 * MILLISECOND  # for which a posting waits for input behind its request to be read
MAX_READ_AHEAD_TURNS = 1000  # of the event loop, where its clock stands still
WITHDRAWAL_RETRY_DELAY = 200 * MILLISECOND
CLOSE_PROPAGATION_DELAY = 50 * MILLISECOND  # how long the end of a connection takes to reach a worker


class PostingWithheldError(Exception):
    """After its start and before its first byte, a posting lost the reason to be sent; it is not sent."""


class Withdrawal(Enum):
    """What became of the request that withdraws a posting."""

    ANSWERED = "the worker answered it"
    DELIVERED = "the worker has received it in full"
    FAILED = "the worker may not have received it"


class TxnService:
    """Runs txns: takes requests from clients, sends postings to workers, and answers the clients.

    It is the `Transport` of a `SchedulerDriver`, which makes the decisions.
    """

    def __init__(
        self,
        config: SchedulerConfig,
        words: MessageDecoder,
        seed: int,
        clock: Clock,
        workers: Workers,
        counters: Counters,
        watch: Callable[[], None],
    ) -> None:
        self.two_at_once = config.allows_hedging
        self.dropped_stay_open = config.delisted_workers_usable
        self.look_target = forms.probe_target(config.reports_in_probes)
        self.words = words
        words.on_malformed_report = self._on_malformed_report
        self.clock = clock
        self.workers = workers
        self.counters = counters
        self.watch = watch
        self.catch_up: Callable[[], None] = lambda: None  # handles the list updates that have arrived by now
        # Probes a worker; metering wraps it.
        self.looks: Callable[[Worker], Coroutine[Any, Any, None]] = self._probe
        self.ledger = Ledger(clock.now, self.id_lifetime)
        self.known: dict[str, Worker] = {}
        self.stopping: int | None = None  # when the shutdown must have answered every txn; None while running
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._is_pass_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._events = asyncio.get_running_loop()
        self.loop = SchedulerDriver(self, config, seed, clock.now())
        workers.on_connection_broken = self.broke

    # The transport of the scheduler driver.

    def post(self, posting: Posting, within: int) -> None:
        """Send a posting to its worker.

        Args:
            posting: The posting to send.
            within: The time limit in ticks; 0 for the txn's own expiry.
        """
        txn = posting.txn
        entry = self.ledger[txn.tag]
        remaining = txn.expires_at - self.clock.now()
        exchange = Exchange(posting, entry, min(within, remaining) if within else remaining)
        entry.exchanges.append(exchange)
        self.counters.add("posting")
        exchange.timer = self._events.call_later(
            max(0.0, seconds(exchange.timeout_ticks)), self._time_out, exchange
        )
        exchange.task = self._start(self._carry(exchange))

    def cancel(self, posting: Posting) -> None:
        """Withdraw a posting.

        A worker that has accepted it with 202 is sent a DELETE. Before that, closing the connection withdraws
        the posting; without hedging a DELETE follows, since a 202 may be on its way.
        """
        if posting.is_in_flight:
            self._give_up(self.ledger[posting.txn.tag].exchanges[posting.number], Outcome.CANCELLED)

    def decline(self, txn: Txn, come_back: int, elsewhere: bool) -> None:
        """Answer a txn with 503.

        Args:
            txn: The txn to decline.
            come_back: The delay in ticks for the Retry-After header; 0 for no header.
            elsewhere: Whether the client should retry at another dispatcher; its connection is then closed.
        """
        self._answer(txn, "declined", 503, b"", forms.retry_after_header(come_back), keep=not elsewhere)

    def reverse(self, txn: Txn) -> None:
        """Answer a txn with 500: it may have run, and no result will follow."""
        self._answer(txn, "reversed", 500)

    def probe(self, worker: Worker) -> None:
        """Start a health probe of a worker."""
        self.counters.add("probe")
        self._start(self.looks(worker))

    def subscribe(self) -> None:
        """Start a watch on discovery's list."""
        self.counters.add("watch")
        self._events.call_soon(self.watch)

    def wake(self, delay: int) -> None:
        """Set the driver's timer to `delay` ticks after its current time; an earlier setting is replaced."""
        if self._timer is not None:
            self._timer.cancel()
        due = self.loop.now + delay
        self._timer = self._events.call_later(seconds(max(1, due - self.clock.now())), self._on_timer, due)

    def note(self, text: str) -> None:
        """Write a note of the scheduler to the log."""
        logbook.note(text=text)

    # Events from the sockets.

    async def begin(self) -> None:
        """Recover the state of earlier runs before the first request; the base service keeps none."""

    async def finish(self) -> None:
        """Release resources after the last answer; the base service holds none."""

    def takes(self, call: Message) -> bool:
        """Return whether the service handles a request with a method other than POST."""
        return False

    def take(self, call: Message, answer: Answer) -> Entry | None:
        """Take a client's complete request.

        Args:
            call: The request.
            answer: Sends the answer to the client.

        Returns:
            The entry of the txn that the client's connection waits for; None where the request is answered
            without one.

        Raises:
            HttpError: The request is not a valid txn, or its id is not new.
        """
        self._at()
        txn = self.words.decode_txn(call, self.loop.now)
        self.check_id(txn.tag)
        if self.stopping is not None:
            txn.shorten_deadline(self.stopping)
        entry = Entry(txn, call, answer)
        self.ledger.open(entry)
        self.counters.add("txn.taken")
        self._guard(txn, lambda: self.loop.start_txn(txn))
        return entry

    def check_id(self, tag: str) -> None:
        """Check that a request with this id may be taken.

        Raises:
            HttpError: The id is not new (409), or it could not be remembered (503).
        """
        if self.ledger.has_seen(tag):
            raise HttpError(409, "this id is not new")
        if self.ledger.is_full:
            self.counters.add("ids.full")
            raise HttpError(503, "no room to remember this id")

    @staticmethod
    def id_lifetime(txn: Txn) -> int:
        """Return for how long the id of a closed txn must be known, in ticks.

        Its client may send it again for as long as it would have waited for the answer.
        """
        return max(txn.scheme.expiry, txn.expires_at - txn.arrived_at)

    def hang_up(self, entry: Entry) -> None:
        """Abandon a txn whose client has closed its connection."""
        entry.answer = None
        if entry.txn.is_closed:
            return
        self.counters.add("txn.hung_up")
        self._at()
        self._guard(entry.txn, lambda: self.loop.abandon_txn(entry.txn))
        self.ledger.close(entry)

    def end_if_client_left(self, entry: Entry) -> None:
        """Abandon a txn whose client has closed its connection, which its reader has not seen yet."""
        if entry.has_client_left:
            self.counters.add("txn.left_unread")
            self.hang_up(entry)

    async def read_ahead(self, entry: Entry) -> None:
        """Let the reader of the client's connection reach the end of what has arrived behind the request.

        A client that sent much and left is otherwise noticed only after an attempt for it has begun: while
        its bytes fill the kernel's buffers, its close has not even arrived.
        """
        deadline = self.clock.now() + READ_AHEAD_TIME
        for _ in range(MAX_READ_AHEAD_TURNS):
            if not entry.has_unread_input or entry.has_client_left or self.clock.now() >= deadline:
                break
            await asyncio.sleep(0)

    def receive_callback(self, callback: Callback, answer: Answer) -> None:
        """Answer a worker's complete callback at once, then apply it."""
        answer(204, b"", (), True)
        self.apply_callback(callback)

    def apply_callback(self, callback: Callback) -> None:
        """Apply a callback; a duplicate or late one matches no posting in flight and is only counted."""
        self.counters.add(f"callback.{callback.state_name}")
        exchange = self.ledger.find_exchange(callback.tag, callback.worker)
        if exchange is None or not exchange.is_sent:
            self.counters.add("callback.stray")  # a worker knows nothing of a request before its last byte
        elif callback.outcome is Outcome.SETTLED:
            self._end(exchange, Outcome.SETTLED, callback.report, callback.result)
        elif callback.outcome is not None:
            self._on_failure_reported(exchange, callback.outcome, callback.report)
        elif callback.is_progress:
            self._at()
            posting = exchange.posting
            self._guard(
                posting.txn, lambda: self.loop.on_progress(posting, callback.has_started, callback.progress)
            )

    def _on_malformed_report(self, reason: str) -> None:
        """Count a load report that cannot be decoded, and log ever fewer of them."""
        self.counters.add("report.malformed")
        count = self.counters["report.malformed"]
        if count & (count - 1) == 0:
            logbook.report_malformed(count=count, why=reason)

    def _on_failure_reported(self, exchange: Exchange, outcome: Outcome, report: LoadReport | None) -> None:
        """End a posting that its worker reports as failed or returned, if the callback is surely about it.

        A callback that may be about an earlier posting at that worker proves nothing: this posting may be
        running. It is given up at the worker before the txn is posted again; a txn that may not be posted
        again keeps waiting for its result.
        """
        if not self.ledger.is_ambiguous(exchange, outcome):
            exchange.reported_outcome = outcome
            self._end(exchange, outcome, report)
            return
        self.counters.add("callback.ambiguous")
        self._at()
        if self.loop.can_post_after(exchange.posting):
            self._give_up(exchange, Outcome.ERROR if outcome.never_ran else outcome)

    def listed(self, update: ListUpdate, rows: list[ListRow]) -> None:
        """Apply an update of discovery's list: addresses here, states in the scheduler."""
        listed_workers = []
        for row in rows:
            known = self.known.setdefault(row.worker.tag, row.worker)
            if known is not row.worker:
                known.update_from(row.worker)
            self.workers.set_address(known.tag, row.address)
            listed_workers.append(known)
        self._at()
        self._guard(None, lambda: self.loop.on_list_update(update, listed_workers))
        for worker in self.known.values():
            if worker.listed_state is ListedState.GONE and not worker.can_receive_postings(
                self.dropped_stay_open
            ):
                self.workers.links.remove_worker(worker.tag)

    def broke(self, worker: str) -> None:
        """Report to the scheduler that a worker ended a connection."""
        known = self.known.get(worker)
        if known is not None:
            self._at()
            self._guard(None, lambda: self.loop.on_connection_broken(known))

    def stop(self, by: int) -> None:
        """Begin the shutdown: shorten the deadline of every open and later txn to `by`."""
        self.stopping = by
        self._at()
        for entry in self.ledger.unanswered_entries():
            self._guard(entry.txn, partial(self.loop.shorten_deadline, entry.txn, by))

    def retune(self, config: SchedulerConfig, words: MessageDecoder) -> None:
        """Apply a new configuration to later requests; open txns keep theirs.

        It raises nothing: `config/reload.py` has checked the configuration.
        """
        self._at()
        self.words, self.dropped_stay_open = words, config.delisted_workers_usable
        words.on_malformed_report = self._on_malformed_report
        self.loop.scheduler.update_config(
            config, [scheme for scheme in self.ledger.open_schemes() if scheme not in config.schemes]
        )

    @property
    def ready(self) -> bool:
        """Whether the service can serve new requests.

        A worker must be listed as ready, and the first list must have arrived or its request have failed.
        Until then the load balancer sends clients to dispatchers that can serve them. After a failed request
        the service does not wait for the list any longer, since the other dispatchers may have none either.
        """
        return (
            self.stopping is None
            and self.loop.is_list_settled(self.clock.now())
            and any(w.listed_state is ListedState.READY for w in self.known.values())
        )

    # One posting, from its start to its only outcome.

    async def _carry(self, exchange: Exchange) -> None:
        posting, call = exchange.posting, exchange.entry.request
        headers: list[tuple[bytes, bytes]] = []

        def begin_sending(sending: Sending) -> None:
            """Check again that the posting may be sent, since opening the connection has taken time.

            The client may have left meanwhile, or the worker may drain or have restarted.
            """
            self.catch_up()
            self.loop.set_now(self.clock.now())
            self.end_if_client_left(exchange.entry)
            if not self.loop.can_begin_posting(posting):
                self.counters.add("posting.withheld")
                raise PostingWithheldError
            exchange.sending = sending
            # The remaining time is computed at the first byte, since the worker counts it from the request's
            # arrival. Computed at the start of the posting, it would let the worker keep working longer than
            # the client waits, by the connect time.
            headers.extend(
                forms.posting_headers(call, posting.sent_at + exchange.timeout_ticks - self.clock.now())
            )

        await self.read_ahead(exchange.entry)
        try:
            answer = await self.workers.call(
                posting.worker.tag, "POST", call.target, headers, call.body, begin_sending
            )
        except PostingWithheldError:
            self._end(exchange, Outcome.MOOT)
        except RequestNotSentError:
            self._end(exchange, Outcome.UNCONNECTED)
        except ConnectionLostError:
            self._end(exchange, Outcome.RESET)
        else:
            outcome = forms.outcome_of(answer)
            if outcome is None:
                exchange.is_accepted = True
                if posting.is_in_flight:
                    self._at()
                    self._guard(posting.txn, lambda: self.loop.on_posting_accepted(posting))
            else:
                self._end(exchange, outcome, self.words.extract_report(answer))

    def _time_out(self, exchange: Exchange) -> None:
        """End a posting at its time limit; one that its worker has received in full may have run."""
        if exchange.posting.is_in_flight:
            if exchange.is_accepted:
                self._start(self._send_withdrawal(exchange))
            else:
                self._abort_request(exchange)  # before `is_sent` is read: no byte is sent after this
            self._end(exchange, Outcome.TIMED_OUT if exchange.is_sent else Outcome.MOOT)

    def _abort_request(self, exchange: Exchange) -> None:
        if exchange.task is not None:
            exchange.task.cancel()  # closes the connection, which withdraws a posting before its 202

    def _give_up(self, exchange: Exchange, outcome: Outcome) -> None:
        """Withdraw a posting from its worker, and end it with this outcome after that."""
        if exchange.is_given_up:
            return
        exchange.is_given_up = True
        if not exchange.is_accepted:
            self._abort_request(exchange)  # no byte is sent after this; the socket has counted those before
        if not exchange.is_sent:
            self._events.call_soon(self._end, exchange, Outcome.MOOT)
        elif exchange.is_accepted or not self.two_at_once:
            self._start(self._withdraw(exchange, outcome))
        else:
            self._end_unconfirmed(exchange, outcome)

    def _end_unconfirmed(self, exchange: Exchange, outcome: Outcome) -> None:
        """End a posting, and keep its worker from another of the same txn until the withdrawal is answered.

        A 202 may be on its way: the worker runs the posting then, whether or not the connection is closed.
        """
        exchange.posting.may_still_run = True
        self._start(self._confirm_withdrawal(exchange))
        self._events.call_soon(self._end, exchange, outcome)

    async def _confirm_withdrawal(self, exchange: Exchange) -> None:
        """Send the withdrawal of a posting until it is answered, as long as its txn may be posted again."""
        while not exchange.posting.txn.is_closed:
            started_at = self.clock.now()
            if await self._send_withdrawal(exchange) is Withdrawal.ANSWERED:
                self._at()
                self.loop.on_withdrawal_answered(exchange.posting, self.clock.now() - started_at)
                return
            await asyncio.sleep(seconds(WITHDRAWAL_RETRY_DELAY))

    async def _withdraw(self, exchange: Exchange, outcome: Outcome) -> None:
        """Withdraw a posting by a request; without hedging an accepted one ends only once that has arrived.

        One that is not accepted has been withdrawn by the end of its connection, unless a 202 was on its way:
        then the worker runs it, and only the request ends it. Where no request arrives within the connect
        timeout, the end of the connection has to do.
        """
        started_at = self.clock.now()
        result = await self._send_withdrawal(exchange)
        duration = self.clock.now() - started_at
        if not exchange.is_accepted:
            if result is Withdrawal.ANSWERED:
                self.loop.on_withdrawal_answered(exchange.posting, duration)
            # The next posting may reach its worker sooner than the end of the connection reaches this one.
            await asyncio.sleep(seconds(max(0, CLOSE_PROPAGATION_DELAY - duration)))
        if result is not Withdrawal.FAILED:
            self._end(exchange, outcome)
        elif self.two_at_once or not exchange.is_accepted:
            self._end_unconfirmed(exchange, outcome)

    async def _send_withdrawal(self, exchange: Exchange) -> Withdrawal:
        """Send the withdrawal of a posting."""
        sendings: list[Sending] = []
        self.counters.add("withdrawal")
        try:
            async with asyncio.timeout(seconds(self.workers.connect_timeout)):
                await self.workers.call(
                    exchange.posting.worker.tag,
                    "DELETE",
                    forms.cancellation_target(exchange.posting.txn.tag),
                    [],
                    begins=sendings.append,
                )
        except (RequestNotSentError, ConnectionLostError, TimeoutError) as fault:
            self.counters.add("withdrawal.unanswered")
            if not isinstance(fault, ConnectionLostError) and any(one.is_complete for one in sendings):
                return Withdrawal.DELIVERED
            return Withdrawal.FAILED  # a worker may have reset the connection before it read the request
        return Withdrawal.ANSWERED

    def _end(
        self, exchange: Exchange, outcome: Outcome, report: LoadReport | None = None, result: bytes = b""
    ) -> None:
        posting = exchange.posting
        if not posting.is_in_flight:
            return
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.is_sent and not exchange.is_accepted and exchange.task is not None:
            # The callback arrived before the 202, which may never follow.
            self._events.call_later(seconds(self.workers.connect_timeout), exchange.task.cancel)
        self.counters.add(f"outcome.{outcome.name.lower()}")
        txn = posting.txn
        self._at()
        if outcome is Outcome.SETTLED and not txn.is_closed:
            self._answer(txn, "settled", 200, result)
        closes = outcome is Outcome.SETTLED or txn.is_closed
        duration = self.loop.now - posting.sent_at
        self._guard(txn, lambda: self.loop.on_posting_ended(posting, outcome, duration, closes, report))
        self.ledger.close(exchange.entry)

    async def _probe(self, worker: Worker) -> None:
        started_at = self.clock.now()
        outcome, report = Outcome.TIMED_OUT, None
        try:
            async with asyncio.timeout(seconds(self.workers.connect_timeout)):
                answer = await self.workers.call(worker.tag, "GET", self.look_target, [])
            outcome, report = forms.probe_outcome(answer), self.words.extract_report(answer)
        except TimeoutError:
            pass
        except RequestNotSentError:
            outcome = Outcome.UNCONNECTED
        except ConnectionLostError:
            outcome = Outcome.RESET
        self.counters.add(f"probe.{outcome.name.lower()}")
        self._at()
        duration = self.loop.now - started_at
        self._guard(None, lambda: self.loop.on_probe_result(worker, outcome, duration, report))

    # Driving the scheduler.

    def _at(self) -> None:
        self.loop.set_now(self.clock.now())
        if not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            self._events.call_soon(self._run_pass)

    def _run_pass(self) -> None:
        self._is_pass_scheduled = False
        self.loop.set_now(self.clock.now())
        if self._guard(None, self.loop.run_pending):
            return
        # A txn whose lifecycle the fault has ended is answered; the rest of the pass is repeated.
        for entry in self.ledger.unanswered_entries():
            if (
                entry.txn.lifecycle is None
                or inspect.getgeneratorstate(entry.txn.lifecycle) == inspect.GEN_CLOSED
            ):
                self._reverse_and_abandon(entry.txn)
        self._events.call_later(seconds(FAULT_RETRY_DELAY), self._at)

    def _on_timer(self, due: int) -> None:
        now = self.clock.now()
        if now < due:  # timers have a resolution of 1 ms and may fire early; the driver would ignore them
            self._timer = self._events.call_later(seconds(due - now) + 0.0005, self._on_timer, due)
            return
        self._at()
        self.loop.on_wakeup()

    def _guard(self, txn: Txn | None, act: Callable[[], None]) -> bool:
        """Run `act` and return whether it succeeded; an exception reverses only the txn that it concerns."""
        try:
            act()
            return True
        except Exception as fault:  # noqa: BLE001  # a fault ends only this txn
            self.counters.add("fault")
            logbook.fault_decisions(fault)
            if txn is not None and not txn.is_closed:
                self._reverse_and_abandon(txn)
            return False

    def _reverse_and_abandon(self, txn: Txn) -> None:
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
        # The driver closes the txn after this call. Postings that are still in flight keep the entry.
        self._events.call_soon(self.ledger.close, entry)

    def _start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = self._events.create_task(work)
        self._tasks[task] = None
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        del self._tasks[task]
        if not task.cancelled() and (fault := task.exception()) is not None:
            self.counters.add("fault")
            logbook.fault_task(fault)
