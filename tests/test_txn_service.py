"""Stories of the door: one outcome for each posting, one answer for each txn. No socket is open."""

import asyncio
import dataclasses
import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import Entry, Sending, Whole
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.txn_service import TxnService
from pathsaddle.net.service.workers import Lost, NeverSent
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import Row, Words
from pathsaddle.net.wire.http import Broken, Message
from pathsaddle.scheduler_types import SECOND, ListedState, ListUpdate, Outcome, Posting, Semantics, Worker
from tests.fakehost import SETTINGS


class PlayedCall:
    """One call to a worker, played by the story."""

    def __init__(self, worker: str, method: str, begins: Callable[[Sending], None]) -> None:
        self.worker, self.method, self.begins = worker, method, begins
        self.sending = Whole(False)
        self.reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self.withheld = False
        self.headers: list[tuple[bytes, bytes]] = []

    def write(self) -> None:
        try:
            self.begins(self.sending)
        except Exception as why:  # noqa: BLE001  # whatever it is goes on to whoever asked
            self.withheld = True
            self.reply.set_exception(why)
        else:
            self.sending.whole = True


class PlayedWorkers:
    connect_within = SECOND // 20

    def __init__(self) -> None:
        self.links = self
        self.calls: list[PlayedCall] = []

    def located(self, worker: str, address: str) -> None:
        pass

    def forget(self, worker: str) -> None:
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
        self.calls.append(PlayedCall(worker, method, begins))
        self.calls[-1].headers = headers
        return await self.calls[-1].reply


class TxnServiceStory(unittest.IsolatedAsyncioTestCase):
    def open(
        self, allows_hedging: bool = True, workers: int = 1, delisted_workers_usable: bool = False
    ) -> None:
        limits = {**SETTINGS["Limits"], "MayDuplicate": allows_hedging, "Probing": False}
        duty = {**SETTINGS["Obligations"], "DroppedStayOpen": delisted_workers_usable}
        told = {**SETTINGS, "Limits": limits, "Obligations": duty}
        known = terms.terms(told)
        self.played: Any = PlayedWorkers()
        self.answers: list[tuple[int, bytes, tuple[str, ...]]] = []
        self.counters = Counters()
        self.service = TxnService(
            known, Words(told, known), 7, Clock(), self.played, self.counters, lambda: None
        )
        self.rows = [Row(Worker(f"w{n}"), "x:1") for n in range(workers)]
        self.service.listed(ListUpdate.WHOLE, self.rows)

    async def ask(self, tag: str = "a", kind: str = "render", within: str = "5000") -> Entry:
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
        await self.settle()
        return entry

    async def settle(self, time: float = 0.0) -> None:
        for _ in range(5):
            await asyncio.sleep(time / 5)

    async def back(self, state: str, tag: str = "a", worker: str = "w0", result: str = "done") -> None:
        told = {"id": tag, "from": worker, "state": state, "share": 0.5, "result": result}
        self.service.called_back(self.service.words.callback(json.dumps(told).encode()))
        await self.settle()

    async def replies(self, call: PlayedCall, status: int, **headers: bytes) -> None:
        call.reply.set_result(
            Message(
                status=status,
                headers={name.replace("_", "-").encode(): value for name, value in headers.items()},
            )
        )
        await self.settle()

    async def test_taken_then_done_is_settled_with_the_workers_result(self) -> None:
        self.open()
        entry = await self.ask()
        self.played.calls[0].write()
        await self.replies(self.played.calls[0], 202)
        await self.back("running")
        self.assertEqual(entry.txn.postings[0].progress, 0.5)
        await self.back("done")
        self.assertEqual(self.answers, [(200, b"done", ())])
        self.assertNotIn("a", self.service.ledger)

    async def test_what_a_connection_came_up_too_late_for_is_withheld_at_its_first_byte(self) -> None:
        """Decided in time, and a dial of 1.5 s later the worker had started anew, the window had closed, or the
        client's time was over.
        """
        for late in ("anew", "window", "expired", "in time"):
            self.open()
            entry = await self.ask(within="700")
            txn, posting = entry.txn, entry.txn.postings[0]
            if late == "anew":
                row = Worker("w0", started_at=self.service.clock.now())
                self.service.listed(ListUpdate.CHANGES, [Row(row, "x:1")])
            elif late == "window":
                txn.scheme = dataclasses.replace(txn.scheme, semantics=Semantics.REFERENCED, window=SECOND)
                before = Posting(
                    txn, posting.worker, 0, self.service.loop.now - SECOND, outcome=Outcome.RESET
                )
                txn.postings.insert(0, before)
            elif late == "expired":
                txn.expires_at = self.service.clock.now()
            self.played.calls[0].write()
            self.assertEqual(self.played.calls[0].withheld, late != "in time", late)
            await self.settle()
            if late != "in time":
                self.assertIs(posting.outcome, Outcome.MOOT, late)

    async def test_a_worker_is_told_what_is_left_at_the_first_byte_not_when_its_connection_was_asked_for(
        self,
    ) -> None:
        """A dial of a second, and the worker hoped for a second longer than the client would wait."""
        self.open()
        entry = await self.ask(within="5000")
        entry.txn.postings[0].sent_at -= SECOND  # the dial took so long
        self.played.calls[0].write()
        self.assertLessEqual(int(dict(self.played.calls[0].headers)[b"Req-Deadline-Ms"]), 4000)

    async def test_given_up_after_its_last_byte_it_may_have_run_whatever_our_task_has_seen(self) -> None:
        """The kernel had taken all of it, and who wrote it had not resumed: its client was told to come again."""
        self.open()
        entry = await self.ask(kind="charge", within="100")
        call = self.played.calls[0]
        call.begins(call.sending)
        call.sending.whole = True
        await self.settle(0.3)
        self.assertIs(entry.txn.postings[0].outcome, Outcome.TIMED_OUT)
        self.assertEqual([answer[0] for answer in self.answers], [500])

    async def test_handed_back_is_no_proof_where_an_earlier_posting_of_it_went_to_that_worker(self) -> None:
        """One callback names the txn and the worker, not which of two postings there it is about."""
        self.open()
        entry = await self.ask()
        self.played.calls[0].write()
        self.played.calls[0].reply.set_exception(Lost("reset"))
        await self.settle(0.2)
        self.assertEqual(len(self.played.calls), 2)
        self.played.calls[1].write()
        await self.back("returned")
        self.assertTrue(all(posting.may_have_run for posting in entry.txn.postings))

    async def test_done_before_the_202_and_told_again_counts_once(self) -> None:
        self.open()
        await self.ask()
        self.played.calls[0].write()
        await self.back("done")
        await self.back("done")
        await self.replies(self.played.calls[0], 202)
        await self.back("lost")
        self.assertEqual(self.answers, [(200, b"done", ())])
        self.assertEqual((self.counters["outcome.settled"], self.counters["callback.stray"]), (1, 2))

    async def test_callbacks_of_nobody_and_from_a_worker_that_has_no_posting_change_nothing(self) -> None:
        self.open()
        await self.ask()
        self.played.calls[0].write()
        await self.back("done", tag="b")
        await self.back("done", worker="w9")
        await self.back("exploded")
        self.assertEqual(self.answers, [])

    async def test_the_end_of_an_earlier_posting_does_not_end_the_one_after_it(self) -> None:
        self.open(workers=2)
        entry = await self.ask()
        first = self.played.calls[0]
        first.write()
        await self.replies(first, 503, srv_declined=b"1")
        second = self.played.calls[1]
        self.assertNotEqual(second.worker, first.worker)
        second.write()
        await self.back("lost", worker=first.worker)
        self.assertTrue(entry.txn.postings[1].is_in_flight)

    async def test_a_break_before_the_last_byte_is_no_connection_and_after_it_a_reset(self) -> None:
        for written, counted in ((False, "outcome.unconnected"), (True, "outcome.reset")):
            self.open()
            await self.ask(kind="charge")
            if written:
                self.played.calls[0].write()
            self.played.calls[0].reply.set_exception(Lost("x") if written else NeverSent("x"))
            await self.settle()
            self.assertEqual(self.counters[counted], 1)
            # Once-only: what may have run is reversed at once, what never ran may be posted again.
            self.assertEqual([answer[0] for answer in self.answers], [500] if written else [])

    async def test_time_up_before_the_202_closes_and_after_it_withdraws(self) -> None:
        for taken in (False, True):
            self.open()
            await self.ask(within="60")
            first = self.played.calls[0]
            first.write()
            if taken:
                await self.replies(first, 202)
            await self.settle(0.1)
            self.assertEqual(len(self.answers), 1)
            self.assertEqual(self.counters["outcome.timed_out"], 1)
            self.assertEqual([call.method for call in self.played.calls[1:]], ["DELETE"] if taken else [])
            self.assertEqual(first.reply.cancelled(), not taken)

    async def test_where_two_at_once_are_forbidden_the_withdrawal_comes_before_the_outcome(self) -> None:
        self.open(allows_hedging=False)
        entry = await self.ask()
        self.played.calls[0].write()
        await self.replies(self.played.calls[0], 202)
        posting: Posting = entry.txn.postings[0]
        self.service.cancel(posting)
        await self.settle()
        self.assertTrue(posting.is_in_flight, "the worker has not been told yet")
        self.played.calls[1].write()
        await self.replies(self.played.calls[1], 204)
        self.assertEqual(self.counters["outcome.cancelled"], 1)

    async def test_before_the_202_the_end_of_the_connection_has_time_to_arrive_first(self) -> None:
        self.open(allows_hedging=False)
        posting = (await self.ask()).txn.postings[0]
        self.played.calls[0].write()
        self.service.cancel(posting)
        await self.settle()
        self.assertTrue(self.played.calls[0].reply.cancelled() and posting.is_in_flight)
        await self.settle(0.06)
        self.assertEqual(self.counters["outcome.cancelled"], 1)

    async def test_nothing_is_written_for_a_client_that_left_while_we_connected(self) -> None:
        self.open()
        self.service.hang_up(await self.ask())
        self.played.calls[0].write()
        await self.settle()
        self.assertTrue(self.played.calls[0].withheld)
        self.assertEqual((self.counters["outcome.moot"], self.answers), (1, []))
        self.assertNotIn("a", self.service.ledger)

    async def test_nothing_is_written_to_a_worker_that_was_told_to_drain_while_we_connected(self) -> None:
        self.open()
        await self.ask()
        self.rows[0].worker.listed_state = ListedState.DRAINING
        self.service.listed(ListUpdate.CHANGES, self.rows)
        self.played.calls[0].write()
        await self.settle()
        self.assertTrue(self.played.calls[0].withheld)

    async def test_where_dropped_workers_stay_open_a_posting_is_withheld_by_a_draining_alone(self) -> None:
        for stay_open, told, withheld in (
            (True, ["GONE"], False),
            (False, ["GONE"], True),
            (True, ["DRAINING", "GONE"], True),
        ):
            self.open(delisted_workers_usable=stay_open)
            await self.ask()
            for standing in told:
                self.service.listed(
                    ListUpdate.CHANGES, [Row(Worker("w0", listed_state=ListedState[standing]), "x:1")]
                )
            self.played.calls[0].write()
            await self.settle()
            self.assertIs(self.played.calls[0].withheld, withheld, (stay_open, told))

    async def test_an_id_that_is_open_or_over_is_not_taken_again(self) -> None:
        self.open()
        await self.ask()
        with self.assertRaises(Broken):
            await self.ask()
        self.played.calls[0].write()
        await self.back("done")
        with self.assertRaises(Broken):
            await self.ask()
        self.assertEqual((len(self.played.calls), len(self.answers)), (1, 1))

    async def test_what_two_workers_call_unusable_is_answered_and_no_worker_is_shut_for_it(self) -> None:
        self.open(workers=3)
        await self.ask("bad")
        for call in self.played.calls:  # grows as the next is posted
            call.write()
            await self.replies(call, 400)
        self.assertEqual((len(self.played.calls), [answer[0] for answer in self.answers]), (2, [500]))
        books = self.service.loop.scheduler.workers.values()
        self.assertEqual([book.ejected_until for book in books], [0, 0, 0])

    async def test_a_worker_alone_in_calling_it_unusable_is_shut(self) -> None:
        self.open(workers=2)
        await self.ask()
        self.played.calls[0].write()
        await self.replies(self.played.calls[0], 400)
        self.played.calls[1].write()
        await self.back("done", worker=self.played.calls[1].worker)
        failed = {
            worker.tag: book.consecutive_failures
            for worker, book in self.service.loop.scheduler.workers.items()
        }
        self.assertEqual(failed, {self.played.calls[0].worker: 1, self.played.calls[1].worker: 0})

    async def test_a_fault_in_the_decisions_reverses_one_txn_and_the_next_is_served(self) -> None:
        self.open()
        with mock.patch.object(self.service.loop.scheduler, "appraise", side_effect=ZeroDivisionError):
            await self.ask("bad")
        await self.ask("good")
        self.assertEqual([answer[0] for answer in self.answers], [500])
        self.assertEqual(self.counters["fault"], 1)
        self.played.calls[0].write()
        await self.back("done", tag="good")
        self.assertEqual([answer[0] for answer in self.answers], [500, 200])

    async def test_a_fault_in_a_turn_costs_one_txn_its_life_and_not_its_answer(self) -> None:
        self.open()
        with mock.patch.object(self.service.loop.scheduler, "on_posting_sent", side_effect=ZeroDivisionError):
            await self.ask("bad")
        self.assertEqual([answer[0] for answer in self.answers], [500])
        await self.settle(0.03)
        self.assertFalse(self.service.ledger.unanswered())
        await self.ask("good")
        self.played.calls[-1].write()
        await self.back("done", tag="good")
        self.assertEqual([answer[0] for answer in self.answers], [500, 200])

    async def test_told_to_end_it_answers_what_runs_by_then_and_what_still_comes(self) -> None:
        self.open()
        await self.ask("runs", kind="charge")
        self.played.calls[0].write()
        self.service.stop(self.service.clock.now() + 600)
        await self.ask("comes")
        await self.settle(0.1)
        self.assertEqual(sorted(answer[0] for answer in self.answers), [500, 503])
        self.assertFalse(self.service.ready)

    async def test_a_decline_tells_when_to_come_back_and_no_worker_is_not_ready(self) -> None:
        self.open(workers=0)
        self.assertFalse(self.service.ready)
        await self.ask(within="30")
        await self.settle(0.05)
        self.assertEqual(self.answers, [(503, b"", ("Retry-After: 2.0000",))])

    async def test_events_that_wait_together_share_one_turn(self) -> None:
        self.open()
        await self.settle()
        turns, turn = [], self.service.loop.run_pending
        self.service.loop.run_pending = lambda: (turns.append(1), turn())[1]  # type: ignore[method-assign]
        for tag in ("a", "b", "c"):
            self.service.take(
                Message(b"POST", b"/render", headers={b"req-id": tag.encode(), b"req-owner": b"acme"}),
                lambda *_: None,
            )
        await self.settle()
        self.assertEqual(len(turns), 1)
