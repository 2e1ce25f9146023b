"""A referenced txn that may have run, and the other regions: only while workers recognize its repeat."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest import mock

from pathsaddle.emulator.ground.links import Host, Net
from pathsaddle.emulator.ground.moments import Moments
from pathsaddle.federation.request_handler import FederatedRequestHandler
from pathsaddle.federation.routing import RegionRouter
from pathsaddle.federation.spec import parse
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.memory.ledger import KnownSending
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.workers import ConnectionLostError
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import ListRow, MessageDecoder
from pathsaddle.net.wire.http import HttpError, Message
from pathsaddle.scheduler_types import MILLISECOND, SECOND, ListUpdate, Worker
from tests.fakehost import SETTINGS

NS_PER_TICK = 100_000
WINDOW = 2 * SECOND
EXPIRY = 8 * SECOND
SPEC = """
[regions.north]
members = ["n0"]
group = "g"
[regions.west]
members = ["w0"]
group = "g"
[regions.east]
members = ["e0"]
group = "g"
[schemes.book]
semantics = "referenced"
home = "north"
may = ["north", "west", "east"]
fail_over = ["west", "east"]
when = ["lost", "overloaded"]
"""
FULL, LOST, TAKEN = "full", "connection lost", "taken"
DECLINED, DECLINED_NEVER_RAN, SERVED = "declined", "declined, never ran", "served"


@dataclass
class Sent:
    """One request that reached a worker or another region's door."""

    to: str
    at: int
    told_ticks: int


class ScriptedWorkers:
    """Workers and doors that answer by a script; what each was sent is kept."""

    connect_timeout = SECOND
    on_connection_broken: Any = None

    def __init__(self, now: Callable[[], int]) -> None:
        self.now = now
        self.sent: list[Sent] = []
        self.answers: dict[str, list[str]] = {}
        self.delays: dict[str, float] = {}  # seconds before a connection is there
        self.links = mock.Mock()

    def set_address(self, worker: str, address: str) -> None:
        pass

    async def call(
        self,
        worker: str,
        method: str,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        begins: Any = lambda sending: None,
    ) -> Message:
        if method != "POST":
            return Message(status=200)
        await asyncio.sleep(self.delays.get(worker, 0.0))
        sending = KnownSending(False)
        begins(sending)
        sending.is_complete = True
        told = int(dict(headers)[b"Req-Deadline-Ms"])
        self.sent.append(Sent(worker, self.now(), told * MILLISECOND))
        answer = self.answers[worker].pop(0)
        if answer == LOST:
            raise ConnectionLostError("reset")
        if answer == FULL:
            return Message(status=503, headers={b"srv-declined": b"1"})
        if answer == DECLINED:
            return Message(status=503)
        if answer == DECLINED_NEVER_RAN:
            return Message(status=503, headers={b"crossed-never-ran": b"1"})
        return Message(status=200, body=b"there") if answer == SERVED else Message(status=202)


class RepeatWindow(unittest.TestCase):
    """North's dispatcher, its one worker, and the doors of two other regions, in virtual time."""

    def setUp(self) -> None:
        self.moments = Moments()  # type: ignore[abstract]
        self.host = Host(Net(self.moments), "n0")
        self.clock = Clock(self.moments.wall, self.moments.time)
        self.workers = ScriptedWorkers(self.clock.now)
        self.answers: list[tuple[int, tuple[str, ...]]] = []

    def run_work(self, work: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        task = self.host.run(work)

        async def wait() -> None:
            await task

        self.moments.run_until_complete(wait())

    def advance(self, time: float) -> None:
        self.moments.run_until_complete(asyncio.sleep(time))

    def start(self, group: str = "all", here: str = "north") -> None:
        row = {
            "Name": "book",
            "Semantics": "keyed",
            "Group": group,
            "SlaTime": SECOND // 4 * NS_PER_TICK,
            "Expiry": EXPIRY * NS_PER_TICK,
            "Window": WINDOW * NS_PER_TICK,
            "Value": 1.0,
        }
        settings = {**SETTINGS, "Schemes": [row]}
        spec = parse(SPEC)
        holder = SimpleNamespace(
            base=SimpleNamespace(spec=spec, number=1), rule=lambda scheme, now: spec.rule(scheme, here)
        )
        abroad = SimpleNamespace(
            ways=RegionRouter("n0", here, [one for one in spec.regions if one != here]),
            lent_to=lambda *asked: "",
            free=None,
        )
        member: Any = SimpleNamespace(
            name="n0",
            region=here,
            holder=holder,
            abroad=abroad,
            now=self.clock.now,
            log=lambda *row, **more: None,
            chance=Random(1),
        )

        async def make() -> None:
            known = terms.terms(settings)
            self.service = FederatedRequestHandler(
                known,
                MessageDecoder(settings, known),
                7,
                self.clock,
                self.workers,
                Counters(),
                lambda: None,
                member=member,
                doors={region: [f"{region}:1"] for region in spec.regions if region != here},
                room=64,
            )
            self.service.listed(ListUpdate.COMPLETE, [ListRow(Worker("w0"), "x:1")])

        self.run_work(make)

    def call(self, **more: str) -> None:
        lines = {
            "Req-Id": "the-one",
            "Req-Owner": "acme",
            "Req-Deadline-Ms": str(EXPIRY // MILLISECOND),
            **more,
        }
        headers = [(name.encode(), value.encode()) for name, value in lines.items()]
        message = Message(
            b"POST", b"/book", headers={name.lower(): value for name, value in headers}, raw_headers=headers
        )

        async def take() -> None:
            self.entry = self.service.take(
                message, lambda status, body, lines, keep: self.answers.append((status, lines))
            )

        self.run_work(take)

    def report_lost(self) -> None:
        async def call_back() -> None:
            body = b'{"id": "the-one", "from": "w0", "state": "lost"}'
            self.service.receive_callback(self.service.words.decode_callback(body), lambda *told: None)

        self.run_work(call_back)

    def sent_to(self, *names: str) -> list[Sent]:
        return [sent for sent in self.workers.sent if sent.to in names]

    def run_at_home_and_lose(self, seconds: float) -> None:
        """Its worker takes the txn, is silent for a while, and has died; what comes to it after is turned away."""
        self.start()
        self.workers.answers["w0"] = [TAKEN, *[FULL] * 99]
        self.call()
        self.advance(seconds)
        self.assertEqual(len(self.sent_to("w0")), 1)
        self.report_lost()

    def test_it_does_not_cross_after_its_window(self) -> None:
        """It was sent to another region 0.7 s after workers had forgotten it, and ran twice (review/9)."""
        self.run_at_home_and_lose(2.7)
        self.advance(9.0)
        self.assertEqual(len(self.workers.sent), 1)
        self.assertIn(self.answers[0][0], (500, 503))
        self.assertEqual(len(self.answers), 1)

    def test_within_its_window_it_crosses_and_is_told_no_more_time_than_the_window_leaves(self) -> None:
        """The other region may hold it and post it late: the time that it is told ends before the window."""
        self.workers.answers["door:west:1"] = [SERVED]
        self.run_at_home_and_lose(1.0)
        self.advance(9.0)
        first, crossed = self.sent_to("w0")[0], self.sent_to("door:west:1")[0]
        self.assertLessEqual(crossed.at + crossed.told_ticks, first.at + WINDOW)
        self.assertEqual(self.answers, [(200, ())])

    def test_a_connection_that_takes_long_leaves_less_time_to_tell_or_none(self) -> None:
        """The time left was reckoned before connecting, and was told too long by the time that took."""
        for seconds, crossings in ((0.3, 1), (2.0, 0)):
            with self.subTest(seconds):
                self.setUp()
                self.workers.answers["door:west:1"] = [SERVED]
                self.workers.delays["door:west:1"] = self.workers.delays["door:east:1"] = seconds
                self.run_at_home_and_lose(0.2)
                self.advance(9.0)
                crossed = self.sent_to("door:west:1", "door:east:1")
                self.assertEqual(len(crossed), crossings)
                for one in crossed:
                    self.assertLessEqual(one.at + one.told_ticks, self.sent_to("w0")[0].at + WINDOW)

    def test_what_a_region_lost_goes_to_a_further_one_only_within_the_window_of_the_first_send(self) -> None:
        """A silence abroad may hide a run there: the window counts from the call to that region."""
        self.start()
        self.workers.answers = {"w0": [FULL] * 99, "door:west:1": [LOST] * 9, "door:east:1": [SERVED]}
        self.call()
        self.advance(9.0)
        west, east = self.sent_to("door:west:1")[0], self.sent_to("door:east:1")[0]
        self.assertLessEqual(east.at + east.told_ticks, west.at + WINDOW)
        self.assertEqual(self.answers[0][0], 200)

    def test_a_decline_from_another_region_is_no_proof_that_nothing_ran_unless_it_says_so(self) -> None:
        """Where all workers drop repeats a region may decline what it has run; it was sent on without limit."""
        for decline, is_limited in ((DECLINED, True), (DECLINED_NEVER_RAN, False)):
            with self.subTest(decline):
                self.setUp()
                self.start()
                self.workers.answers = {"w0": [FULL] * 99, "door:west:1": [decline], "door:east:1": [SERVED]}
                self.call()
                self.advance(9.0)
                west, east = self.sent_to("door:west:1")[0], self.sent_to("door:east:1")[0]
                self.assertEqual(east.at + east.told_ticks <= west.at + WINDOW, is_limited)

    def test_what_only_a_part_of_the_workers_drops_repeats_of_goes_to_no_further_region(self) -> None:
        """Workers of a further region are in other zones: none of them knows a repeat of what a region lost."""
        self.start(group="zone")
        self.workers.answers = {"w0": [FULL] * 99, "door:west:1": [LOST], "door:east:1": [SERVED]}
        self.call()
        self.advance(9.0)
        self.assertEqual(len(self.sent_to("door:west:1")), 1)
        self.assertEqual(self.sent_to("door:east:1"), [])
        self.assertEqual(self.answers, [(500, ())])

    def test_the_id_of_a_txn_that_only_another_region_saw_is_known_after_its_client_left(self) -> None:
        """It was sent there a second time: no ledger here had it, and another door may not know it either."""
        self.start(here="west")
        self.workers.answers["door:north:1"] = [TAKEN, SERVED]
        self.workers.delays["door:north:1"] = 1.0
        self.call()
        self.advance(0.5)
        assert self.entry is not None
        self.service.hang_up(self.entry)
        with self.assertRaises(HttpError) as refused:
            self.call()
        self.assertEqual(refused.exception.status, 409)

    def test_a_decline_to_another_region_says_whether_it_may_have_run(self) -> None:
        """The other side of that proof: only a region where no attempt may have run gives it."""
        for answer, is_proof in ((FULL, True), (LOST, False)):
            with self.subTest(answer):
                self.setUp()
                self.start()
                self.workers.answers["w0"] = [answer] * 99
                self.call(**{"Crossed-From": "west"})
                self.advance(9.0)
                [(status, lines)] = self.answers
                self.assertEqual((status, "Crossed-Never-Ran: 1" in lines), (503, is_proof))
                self.assertEqual(self.sent_to("door:west:1", "door:east:1"), [])


if __name__ == "__main__":
    unittest.main()
