"""The txn service ends each posting with one outcome and each txn with one answer. No socket is opened."""

import asyncio
import dataclasses
import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import MAX_REFUSED_IDS_BYTES, Entry, KnownSending, Sending
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import ConnectionLostError, RequestNotSentError
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import ListRow, MessageDecoder
from pathsaddle.net.wire.http import HttpError, Message
from pathsaddle.scheduler_types import (
    SECOND,
    ListedState,
    ListUpdate,
    LoadReport,
    Outcome,
    Posting,
    Semantics,
    Worker,
)
from tests.fakehost import SETTINGS

TIMEOUT_SECONDS = 30.0  # for anything that a test waits for, even on a busy machine


class FakeCall:
    """One request to a worker, whose progress the test controls."""

    def __init__(self, worker: str, method: str, begins: Callable[[Sending], None]) -> None:
        self.worker, self.method, self.begins = worker, method, begins
        self.sending = KnownSending(False)
        self.reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.withheld = False
        self.headers: list[tuple[bytes, bytes]] = []

    def write(self) -> None:
        try:
            self.begins(self.sending)
        except Exception as fault:  # noqa: BLE001  # any exception reaches the awaiting caller
            self.withheld = True
            self.reply.set_exception(fault)
        else:
            self.sending.is_complete = True


class PlayedWorkers:
    """Stands in for `Workers` and records the requests."""

    connect_timeout = SECOND // 20

    def __init__(self) -> None:
        self.links = self
        self.calls: list[FakeCall] = []

    def set_address(self, worker: str, address: str) -> None:
        pass

    def remove_worker(self, worker: str) -> None:
        pass

    async def call(
        self,
        worker: str,
        method: str,
        target: bytes,
        headers: Any,
        body: bytes = b"",
        begins: Callable[[Sending], None] = lambda sending: None,
    ) -> Message:
        self.calls.append(FakeCall(worker, method, begins))
        self.calls[-1].headers = headers
        return await self.calls[-1].reply


class TxnServiceTest(unittest.IsolatedAsyncioTestCase):
    def open(
        self, allows_hedging: bool = True, workers: int = 1, delisted_workers_usable: bool = False
    ) -> None:
        limits = {**SETTINGS["Limits"], "MayDuplicate": allows_hedging, "Probing": False}
        obligations = {**SETTINGS["Obligations"], "DroppedStayOpen": delisted_workers_usable}
        settings = {**SETTINGS, "Limits": limits, "Obligations": obligations}
        config = terms.terms(settings)
        self.fake_workers: Any = PlayedWorkers()
        self.answers: list[tuple[int, bytes, tuple[str, ...]]] = []
        self.counters = Counters()
        self.service = TxnService(
            config,
            MessageDecoder(settings, config),
            7,
            Clock(),
            self.fake_workers,
            self.counters,
            lambda: None,
        )
        self.rows = [ListRow(Worker(f"w{n}"), "x:1") for n in range(workers)]
        self.service.listed(ListUpdate.COMPLETE, self.rows)

    async def ask(self, tag: str = "a", kind: str = "render", within: str = "5000") -> Entry:
        entry = self.take(tag, kind, within)
        await self.settle()
        return entry

    def take(self, tag: str, kind: str = "render", within: str = "5000") -> Entry:
        call = Message(
            b"POST",
            f"/{kind}".encode(),
            headers={
                b"req-id": tag.encode(),
                b"req-kind": kind.encode(),
                b"req-owner": b"acme",
                b"req-deadline-ms": within.encode(),
            },
        )
        entry = self.service.take(call, lambda *answer: self.answers.append(answer[:3]))
        assert entry is not None
        return entry

    async def settle(self, time: float = 0.0) -> None:
        for _ in range(5):
            await asyncio.sleep(time / 5)

    async def until(self, is_true: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not is_true():
                await self.settle(0.01)

    async def send_callback(
        self, state: str, tag: str = "a", worker: str = "w0", result: str = "done"
    ) -> None:
        callback = {"id": tag, "from": worker, "state": state, "share": 0.5, "result": result}
        self.service.apply_callback(self.service.words.decode_callback(json.dumps(callback).encode()))
        await self.settle()

    async def send_reply(self, call: FakeCall, status: int, **headers: bytes) -> None:
        call.reply.set_result(
            Message(
                status=status,
                headers={name.replace("_", "-").encode(): value for name, value in headers.items()},
            )
        )
        await self.settle()

    async def test_accepted_then_done_settles_with_the_result_of_the_worker(self) -> None:
        self.open()
        entry = await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_reply(self.fake_workers.calls[0], 202)
        await self.send_callback("running")
        self.assertEqual(entry.txn.postings[0].progress, 0.5)
        await self.send_callback("done")
        self.assertEqual(self.answers, [(200, b"done", ())])
        self.assertNotIn("a", self.service.ledger)

    async def test_a_closed_txn_and_its_postings_do_not_keep_each_other_in_memory(self) -> None:
        """Guards against a kill for memory: its request stayed until the garbage collector ran."""
        self.open()
        entry = await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_callback("done")
        self.assertEqual((entry.is_done, entry.exchanges, entry.txn.postings), (True, [], []))

    async def test_an_id_whose_client_left_is_not_run_again_after_thousands_of_others(self) -> None:
        """A once-only request ran twice: its id was forgotten after 4,096 others, within seconds."""
        self.open()
        entry = await self.ask("left", "charge")
        self.fake_workers.calls[0].write()
        self.service.hang_up(entry)
        await self.send_callback("failed", "left")
        for number in range(5000):
            self.service.hang_up(await self.ask(f"other-{number}"))
        with self.assertRaises(HttpError) as refused:
            await self.ask("left", "charge")
        self.assertEqual(refused.exception.status, 409)

    async def test_where_no_more_ids_can_be_remembered_new_requests_are_refused(self) -> None:
        """Forgetting an id that may come again would be the worse end."""
        self.open()
        ledger, txn = self.service.ledger, (await self.ask()).txn
        ledger.closed_ids.max_bytes = 0
        count = 0
        while not ledger.is_full:
            ledger.remember(dataclasses.replace(txn, tag=str(count)), may_have_run=True)
            count += 1
        with self.assertRaises(HttpError) as refused:
            await self.ask("new")
        self.assertEqual((refused.exception.status, self.counters["ids.full"]), (503, 1))
        self.assertTrue(all(ledger.has_seen(str(number)) for number in range(count)))

    async def test_a_flood_of_requests_that_never_run_takes_no_room_from_ids_that_may_have_run(self) -> None:
        """One client's flood under ever new ids would otherwise have all others refused."""
        self.open(workers=0)
        self.service.ledger.closed_ids.max_bytes = 0
        for number in range(20_000):
            self.service.hang_up(self.take(f"flood-{number}"))
        self.assertFalse(self.service.ledger.is_full)
        self.assertLessEqual(self.service.ledger.refused_ids.size_bytes, MAX_REFUSED_IDS_BYTES)

    async def test_a_posting_whose_reason_ended_while_connecting_is_withheld(self) -> None:
        """Guards against sending a posting whose reason ended while its connection was opened.

        After a connect time of 1.5 s the worker had restarted, the deduplication window had closed, or the
        txn had expired.
        """
        for change in ("restarted", "window", "expired", "in time"):
            self.open()
            entry = await self.ask(within="700")
            txn, posting = entry.txn, entry.txn.postings[0]
            if change == "restarted":
                row = Worker("w0", started_at=self.service.clock.now())
                self.service.listed(ListUpdate.CHANGES, [ListRow(row, "x:1")])
            elif change == "window":
                txn.scheme = dataclasses.replace(txn.scheme, semantics=Semantics.REFERENCED, window=SECOND)
                before = Posting(
                    txn, posting.worker, 0, self.service.loop.now - SECOND, outcome=Outcome.RESET
                )
                txn.postings.insert(0, before)
            elif change == "expired":
                txn.expires_at = self.service.clock.now()
            self.fake_workers.calls[0].write()
            self.assertEqual(self.fake_workers.calls[0].withheld, change != "in time", change)
            await self.settle()
            if change != "in time":
                self.assertIs(posting.outcome, Outcome.MOOT, change)

    async def test_the_deadline_header_holds_the_time_that_remains_at_the_first_byte(
        self,
    ) -> None:
        """Guards against counting the deadline from the start: one second of connect time was added to it."""
        self.open()
        entry = await self.ask(within="5000")
        entry.txn.postings[0].sent_at -= SECOND  # the connect time
        self.fake_workers.calls[0].write()
        self.assertLessEqual(int(dict(self.fake_workers.calls[0].headers)[b"Req-Deadline-Ms"]), 4000)

    async def test_a_posting_timed_out_after_its_last_byte_may_have_run(self) -> None:
        """Guards against calling such a posting unsent.

        The kernel had accepted the last byte, the writing task had not resumed, and the client was told to
        retry.
        """
        self.open()
        entry = await self.ask(kind="charge", within="100")
        call = self.fake_workers.calls[0]
        call.begins(call.sending)
        call.sending.is_complete = True
        posting = entry.txn.postings[0]
        await self.settle(0.3)
        self.assertIs(posting.outcome, Outcome.TIMED_OUT)
        self.assertEqual([answer[0] for answer in self.answers], [500])

    async def test_returned_proves_nothing_after_an_earlier_posting_to_the_same_worker(self) -> None:
        """A callback names the txn and the worker, but not which of two postings there it refers to."""
        self.open()
        entry = await self.ask()
        self.fake_workers.calls[0].write()
        self.fake_workers.calls[0].reply.set_exception(ConnectionLostError("reset"))
        await self.settle(0.2)
        self.assertEqual(len(self.fake_workers.calls), 2)
        self.fake_workers.calls[1].write()
        await self.send_callback("returned")
        self.assertTrue(all(posting.may_have_run for posting in entry.txn.postings))

    async def ask_until_second_posting(self, kind: str, state: str) -> Entry:
        """Have a txn's first posting end by a callback with this state, and its second one accepted."""
        entry = await self.ask(kind=kind)
        for number in range(2):
            await self.until(lambda number=number: len(self.fake_workers.calls) > number)
            self.fake_workers.calls[number].write()
            await self.send_reply(self.fake_workers.calls[number], 202)
            if not number:
                await self.send_callback(state)
                worker, room = entry.txn.postings[0].worker, LoadReport(free_slots=2.0)
                self.service.loop.on_probe_result(worker, Outcome.SETTLED, 0, room)
                self.service.loop.run_pending()
        return entry

    async def test_a_repeated_returned_does_not_end_the_next_posting_at_that_worker(self) -> None:
        """Guards against running a once-only txn twice.

        A worker repeats `returned` until it is answered. The repeat was taken for the outcome of its next
        posting, which was running, and the txn was posted to another worker.
        """
        self.open()
        entry = await self.ask_until_second_posting("charge", "returned")
        await self.send_callback("returned")
        self.assertTrue(entry.txn.postings[1].is_in_flight)
        self.assertEqual((len(self.fake_workers.calls), self.counters["callback.ambiguous"]), (2, 1))
        await self.send_callback("done")
        self.assertEqual(self.answers, [(200, b"done", ())])

    async def test_a_repeated_failure_withdraws_the_next_posting_before_another_begins(self) -> None:
        """Guards against two postings at once: a repeated `failed` or `lost` ended one that was running."""
        for state in ("returned", "failed", "lost"):
            with self.subTest(state):
                self.open(allows_hedging=False)
                entry = await self.ask_until_second_posting("render", state)
                await self.send_callback(state)
                self.assertEqual([call.method for call in self.fake_workers.calls[2:]], ["DELETE"])
                self.assertTrue(entry.txn.postings[1].is_in_flight)
                await self.send_callback(state)
                self.fake_workers.calls[2].write()
                await self.send_reply(self.fake_workers.calls[2], 204)
                self.assertFalse(entry.txn.postings[1].is_in_flight)
                await self.until(lambda: len(self.fake_workers.calls) > 3)
                self.assertEqual(self.fake_workers.calls[3].method, "POST")

    async def test_a_callback_that_repeats_no_earlier_one_ends_its_posting(self) -> None:
        """The worker has reported `returned` for the first posting, so that `lost` is about the second."""
        self.open()
        entry = await self.ask_until_second_posting("charge", "returned")
        posting = entry.txn.postings[1]
        await self.send_callback("lost")
        self.assertIs(posting.outcome, Outcome.RESET)
        self.assertEqual([answer[0] for answer in self.answers], [500])

    async def test_a_callback_before_the_last_byte_of_its_posting_is_stray(self) -> None:
        """Guards against taking an earlier posting's callback for one that is still being written."""
        self.open()
        entry = await self.ask_until_second_posting("charge", "returned")
        self.fake_workers.calls[1].sending.is_complete = False
        await self.send_callback("lost")
        self.assertTrue(entry.txn.postings[1].is_in_flight)
        self.assertEqual(self.counters["callback.stray"], 1)

    async def test_done_before_the_202_and_repeated_counts_once(self) -> None:
        self.open()
        await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_callback("done")
        await self.send_callback("done")
        await self.send_reply(self.fake_workers.calls[0], 202)
        await self.send_callback("lost")
        self.assertEqual(self.answers, [(200, b"done", ())])
        self.assertEqual((self.counters["outcome.settled"], self.counters["callback.stray"]), (1, 2))

    async def test_callbacks_that_match_no_posting_change_nothing(self) -> None:
        self.open()
        await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_callback("done", tag="b")
        await self.send_callback("done", worker="w9")
        await self.send_callback("exploded")
        self.assertEqual(self.answers, [])

    async def test_a_callback_for_an_earlier_posting_does_not_end_the_next_one(self) -> None:
        self.open(workers=2)
        entry = await self.ask()
        first = self.fake_workers.calls[0]
        first.write()
        await self.send_reply(first, 503, srv_declined=b"1")
        second = self.fake_workers.calls[1]
        self.assertNotEqual(second.worker, first.worker)
        second.write()
        await self.send_callback("lost", worker=first.worker)
        self.assertTrue(entry.txn.postings[1].is_in_flight)

    async def test_a_break_before_the_last_byte_is_unconnected_and_after_it_a_reset(self) -> None:
        for written, counted in ((False, "outcome.unconnected"), (True, "outcome.reset")):
            self.open()
            await self.ask(kind="charge")
            if written:
                self.fake_workers.calls[0].write()
            self.fake_workers.calls[0].reply.set_exception(
                ConnectionLostError("x") if written else RequestNotSentError("x")
            )
            await self.settle()
            self.assertEqual(self.counters[counted], 1)
            # Once-only: a txn that may have run is reversed at once, one that never ran may be posted again.
            self.assertEqual([answer[0] for answer in self.answers], [500] if written else [])

    async def test_a_timeout_before_the_202_closes_the_connection_and_after_it_withdraws(self) -> None:
        for accepted in (False, True):
            self.open()
            await self.ask(within="60")
            first = self.fake_workers.calls[0]
            first.write()
            if accepted:
                await self.send_reply(first, 202)
            await self.settle(0.1)
            self.assertEqual(len(self.answers), 1)
            self.assertEqual(self.counters["outcome.timed_out"], 1)
            self.assertEqual(
                [call.method for call in self.fake_workers.calls[1:]], ["DELETE"] if accepted else []
            )
            self.assertEqual(first.reply.cancelled(), not accepted)

    async def test_without_hedging_a_posting_ends_only_after_its_withdrawal(self) -> None:
        self.open(allows_hedging=False)
        entry = await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_reply(self.fake_workers.calls[0], 202)
        posting: Posting = entry.txn.postings[0]
        self.service.cancel(posting)
        await self.settle()
        self.assertTrue(posting.is_in_flight, "the worker has not received the withdrawal yet")
        self.fake_workers.calls[1].write()
        await self.send_reply(self.fake_workers.calls[1], 204)
        self.assertEqual(self.counters["outcome.cancelled"], 1)

    async def test_without_hedging_a_posting_before_its_202_ends_after_the_close_has_propagated(self) -> None:
        self.open(allows_hedging=False)
        posting = (await self.ask()).txn.postings[0]
        self.fake_workers.calls[0].write()
        self.service.cancel(posting)
        await self.settle()
        self.assertTrue(self.fake_workers.calls[0].reply.cancelled() and posting.is_in_flight)
        await self.settle(0.06)
        self.assertEqual(self.counters["outcome.cancelled"], 1)

    async def test_nothing_is_written_for_a_client_that_left_while_connecting(self) -> None:
        self.open()
        self.service.hang_up(await self.ask())
        self.fake_workers.calls[0].write()
        await self.settle()
        self.assertTrue(self.fake_workers.calls[0].withheld)
        self.assertEqual((self.counters["outcome.moot"], self.answers), (1, []))
        self.assertNotIn("a", self.service.ledger)

    async def test_nothing_is_written_to_a_worker_that_began_to_drain_while_connecting(self) -> None:
        self.open()
        await self.ask()
        self.rows[0].worker.listed_state = ListedState.DRAINING
        self.service.listed(ListUpdate.CHANGES, self.rows)
        self.fake_workers.calls[0].write()
        await self.settle()
        self.assertTrue(self.fake_workers.calls[0].withheld)

    async def test_with_delisted_workers_usable_only_draining_withholds_a_posting(self) -> None:
        for stay_open, states, withheld in (
            (True, ["GONE"], False),
            (False, ["GONE"], True),
            (True, ["DRAINING", "GONE"], True),
        ):
            self.open(delisted_workers_usable=stay_open)
            await self.ask()
            for state in states:
                self.service.listed(
                    ListUpdate.CHANGES, [ListRow(Worker("w0", listed_state=ListedState[state]), "x:1")]
                )
            self.fake_workers.calls[0].write()
            await self.settle()
            self.assertIs(self.fake_workers.calls[0].withheld, withheld, (stay_open, states))

    async def test_an_id_that_is_open_or_closed_is_refused(self) -> None:
        self.open()
        await self.ask()
        with self.assertRaises(HttpError):
            await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_callback("done")
        with self.assertRaises(HttpError):
            await self.ask()
        self.assertEqual((len(self.fake_workers.calls), len(self.answers)), (1, 1))

    async def test_a_txn_that_two_workers_reject_is_reversed_and_ejects_no_worker(self) -> None:
        self.open(workers=3)
        await self.ask("bad")
        for call in self.fake_workers.calls:  # grows with each posting
            call.write()
            await self.send_reply(call, 400)
        self.assertEqual((len(self.fake_workers.calls), [answer[0] for answer in self.answers]), (2, [500]))
        worker_states = self.service.loop.scheduler.workers.values()
        self.assertEqual([worker_state.ejected_until for worker_state in worker_states], [0, 0, 0])

    async def test_a_worker_that_alone_rejects_a_txn_is_charged_a_failure(self) -> None:
        self.open(workers=2)
        await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_reply(self.fake_workers.calls[0], 400)
        self.fake_workers.calls[1].write()
        await self.send_callback("done", worker=self.fake_workers.calls[1].worker)
        failed = {
            worker.tag: worker_state.consecutive_failures
            for worker, worker_state in self.service.loop.scheduler.workers.items()
        }
        self.assertEqual(failed, {self.fake_workers.calls[0].worker: 1, self.fake_workers.calls[1].worker: 0})

    async def test_a_scheduler_fault_reverses_one_txn_and_the_next_is_served(self) -> None:
        self.open()
        with mock.patch.object(self.service.loop.scheduler, "register_txn", side_effect=ZeroDivisionError):
            await self.ask("bad")
        await self.ask("good")
        self.assertEqual([answer[0] for answer in self.answers], [500])
        self.assertEqual(self.counters["fault"], 1)
        self.fake_workers.calls[0].write()
        await self.send_callback("done", tag="good")
        self.assertEqual([answer[0] for answer in self.answers], [500, 200])

    async def test_a_fault_in_a_scheduling_pass_reverses_one_txn_and_answers_it(self) -> None:
        self.open()
        with mock.patch.object(self.service.loop.scheduler, "on_posting_sent", side_effect=ZeroDivisionError):
            await self.ask("bad")
        self.assertEqual([answer[0] for answer in self.answers], [500])
        await self.settle(0.03)
        self.assertFalse(self.service.ledger.unanswered_entries())
        await self.ask("good")
        self.fake_workers.calls[-1].write()
        await self.send_callback("done", tag="good")
        self.assertEqual([answer[0] for answer in self.answers], [500, 200])

    async def test_a_stopping_service_answers_open_and_new_txns_by_its_deadline(self) -> None:
        self.open()
        await self.ask("runs", kind="charge")
        self.fake_workers.calls[0].write()
        self.service.stop(self.service.clock.now() + 600)
        await self.ask("comes")
        await self.settle(0.1)
        self.assertEqual(sorted(answer[0] for answer in self.answers), [500, 503])
        self.assertFalse(self.service.ready)

    async def test_a_decline_sets_retry_after_and_without_workers_the_service_is_not_ready(self) -> None:
        self.open(workers=0)
        self.assertFalse(self.service.ready)
        await self.ask(within="30")
        await self.settle(0.05)
        self.assertEqual(self.answers, [(503, b"", ("Retry-After: 2.0000",))])

    async def test_a_malformed_report_is_counted_and_its_answer_still_counts(self) -> None:
        self.open(workers=2)
        await self.ask()
        self.fake_workers.calls[0].write()
        await self.send_reply(
            self.fake_workers.calls[0], 503, srv_declined=b"1", srv_load=b"x0=" + b"9" * 400
        )
        self.assertEqual((self.counters["report.malformed"], self.counters["outcome.full"]), (1, 1))
        self.assertEqual((self.counters["fault"], len(self.fake_workers.calls)), (0, 2))

    async def test_events_due_together_share_one_scheduling_pass(self) -> None:
        self.open()
        await self.settle()
        passes, run_pending = [], self.service.loop.run_pending
        self.service.loop.run_pending = lambda: (passes.append(1), run_pending())[1]  # type: ignore[method-assign]
        for tag in ("a", "b", "c"):
            self.service.take(
                Message(b"POST", b"/render", headers={b"req-id": tag.encode(), b"req-owner": b"acme"}),
                lambda *_: None,
            )
        await self.settle()
        self.assertEqual(len(passes), 1)
