"""The meter of control: what each purpose cost is counted once, and shown where an operator asks."""

import asyncio
import json
import unittest
from types import SimpleNamespace
from unittest import mock

from pathsaddle.cli.fleet import _control
from pathsaddle.config.loader import platform_settings
from pathsaddle.config.metering import MINUTE, DispatcherMetering, MeteredStream, MeteredWatch, MeteredWords
from pathsaddle.config.schema import Control
from pathsaddle.control_metrics import PURPOSES, REQUEST_PURPOSES, ControlMeter, NullMeter
from pathsaddle.emulator.hollow import control
from pathsaddle.emulator.hollow.workers import charter
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service import logbook
from pathsaddle.net.wire import terms
from pathsaddle.net.wire.forms import MessageDecoder
from pathsaddle.net.wire.http import Message

S = 1_000_000_000


class FakeClocks:
    """Processor time and steady time, advanced by hand."""

    def __init__(self) -> None:
        self.thread = self.steady = 0
        self.meter = ControlMeter(lambda: self.thread, lambda: self.steady)

    def advance(self, ns: int) -> None:
        self.thread += ns
        self.steady += ns

    def spent(self) -> dict[str, int]:
        return {purpose: one.ns for purpose, one in self.meter.spent.items() if one.ns}


class Meter(unittest.TestCase):
    def setUp(self) -> None:
        self.clocks = FakeClocks()
        self.meter = self.clocks.meter

    def test_a_nested_call_counts_for_its_own_purpose_alone(self) -> None:
        def carry() -> None:
            self.clocks.advance(30)
            self.meter.runs("shares", lambda: self.clocks.advance(50))
            self.clocks.advance(20)

        def wake() -> None:
            self.clocks.advance(100)
            self.meter.runs("carrying", carry)
            self.meter.runs("log", lambda: self.clocks.advance(7))

        self.meter.runs("membership", wake)
        self.assertEqual(self.clocks.spent(), {"membership": 100, "carrying": 50, "shares": 50, "log": 7})
        self.assertEqual(self.meter.all.ns, 200, "what grows with txns is no part of control")

    def test_a_call_that_raises_is_counted_and_leaves_no_frame(self) -> None:
        def fail() -> None:
            self.clocks.advance(10)
            raise ValueError

        for _ in range(2):
            with self.assertRaises(ValueError):
                self.meter.runs("list", fail)
        self.meter.runs("owners", lambda: self.clocks.advance(5))
        self.assertEqual(self.clocks.spent(), {"list": 20, "owners": 5})
        self.assertFalse(self.meter.within("list"))

    def test_the_most_of_a_second_and_the_sum(self) -> None:
        for second, size in ((0, 100), (0, 200), (1, 250), (3, 10)):
            self.clocks.steady = second * S
            self.meter.came("list", size)
            self.meter.went("membership", size)
        view = self.meter.view()
        self.assertEqual((view["purposes"]["list"]["in"], view["purposes"]["list"]["most_in"]), (560, 300))
        self.assertEqual((view["control"]["out"], view["control"]["most_out"]), (560, 300))
        self.assertEqual(view["control"]["in_s"], round(560 / 3, 1))

    def test_a_purpose_that_cost_nothing_is_not_shown(self) -> None:
        self.assertEqual(self.meter.view()["purposes"], {})

    def test_its_memory_does_not_grow(self) -> None:
        for n in range(10_000):
            self.clocks.steady = n * S // 7
            self.meter.came("list", n)
        self.assertEqual(len(self.meter.spent), len(PURPOSES))
        self.assertEqual((self.meter._nested_ns, self.meter._purposes), ([], []))

    def test_the_null_meter_makes_the_call_and_counts_nothing(self) -> None:
        none = NullMeter()
        none.came("list", 5)
        none.went("list", 5)
        self.assertEqual(none.runs("list", lambda: 7), 7)


class Steps(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clocks = FakeClocks()
        self.meter = self.clocks.meter
        self.steps_counted = 0

    def count_step(self) -> None:
        self.steps_counted += 1

    async def test_each_step_counts_and_waiting_does_not(self) -> None:
        gate: asyncio.Future[int] = asyncio.get_running_loop().create_future()

        async def work() -> int:
            self.clocks.advance(10)
            got = await gate
            self.clocks.advance(20)
            return got

        task = asyncio.create_task(self.meter.steps("list", work(), self.count_step))
        await asyncio.sleep(0)
        self.clocks.advance(1000)  # of others
        gate.set_result(3)
        self.assertEqual(await task, 3)
        self.assertEqual((self.clocks.spent(), self.steps_counted), ({"list": 30}, 2))

    async def test_a_cancellation_reaches_the_coroutine_with_its_message_and_the_last_step_counts(
        self,
    ) -> None:
        reasons = []

        async def work() -> None:
            try:
                await asyncio.get_running_loop().create_future()
            except asyncio.CancelledError as cancelled:
                reasons.append(str(cancelled))
                self.clocks.advance(40)
                raise

        task = asyncio.create_task(self.meter.steps("looks", work()))
        await asyncio.sleep(0)
        task.cancel("replaced")
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertEqual((reasons, self.clocks.spent()), (["replaced"], {"looks": 40}))

    async def test_a_timeout_within_the_coroutine_ends_its_own_block_alone(self) -> None:
        async def work() -> str:
            try:
                async with asyncio.timeout(0):
                    await asyncio.get_running_loop().create_future()
            except TimeoutError:
                return "late"
            return "never"

        self.assertEqual(await asyncio.create_task(self.meter.steps("list", work())), "late")

    async def test_an_exception_of_the_coroutine_is_raised(self) -> None:
        async def work() -> None:
            await asyncio.sleep(0)
            raise OSError("gone")

        with self.assertRaises(OSError):
            await self.meter.steps("list", work(), self.count_step)
        self.assertEqual(self.steps_counted, 2)


class Budget(unittest.TestCase):
    """A budget that is exceeded is logged with what took most: once a minute, and counted each time."""

    def setUp(self) -> None:
        self.clocks = FakeClocks()
        self.counters = Counters()
        with mock.patch("pathsaddle.config.metering.ControlMeter", lambda: self.clocks.meter):
            self.metered = DispatcherMetering(Control(core=0.036, bytes=1000), self.counters, lambda: 30.0)
        self.lines: list[dict[str, str]] = []
        patched = mock.patch.object(logbook, "control_over", lambda **fields: self.lines.append(fields))
        patched.start()
        self.addCleanup(patched.stop)

    def count_second(self, second: int, bytes_in: int, bytes_out: int = 0, us: int = 0) -> None:
        self.clocks.steady = second * S
        self.clocks.meter.came("list", bytes_in)
        self.clocks.meter.went("membership", bytes_out)
        self.clocks.meter.runs(
            "carrying", lambda: setattr(self.clocks, "thread", self.clocks.thread + us * 1000)
        )

    def test_a_second_over_the_bytes_is_logged_once_a_minute_and_counted_each_time(self) -> None:
        for second in range(70):
            self.count_second(second, 1001 if second in (3, 4, 65) else 1000)
        self.assertEqual(
            [line["how"] for line in self.lines], ["1001 bytes received in one second of 1000"] * 2
        )
        self.assertEqual({line["most"] for line in self.lines}, {"list"})
        self.assertEqual(self.counters["control.over.received"], 3)

    def test_sent_bytes_have_the_same_budget(self) -> None:
        self.count_second(0, 0, 1500)
        self.count_second(1, 0)
        self.assertEqual(
            [(line["how"], line["most"]) for line in self.lines],
            [("1500 bytes sent in one second of 1000", "membership")],
        )

    def test_a_minute_over_its_share_of_a_core_is_logged(self) -> None:
        for second in range(2 * MINUTE + 1):
            self.count_second(second, 0, 0, 35_000 if second < MINUTE else 37_000)
        self.assertEqual([line["most"] for line in self.lines], ["carrying"])
        self.assertIn("0.0370 of a core over a minute of 0.036", self.lines[0]["how"])

    def test_what_took_most_is_of_that_minute_and_not_of_the_whole_run(self) -> None:
        self.clocks.meter.runs(
            "list", lambda: setattr(self.clocks, "thread", 9 * S)
        )  # long ago, and never since
        self.count_second(MINUTE, 0)
        self.lines.clear()
        for second in range(MINUTE, 3 * MINUTE + 1):
            self.count_second(second, 0, 0, 40_000)
        self.assertEqual({line["most"] for line in self.lines}, {"carrying"})

    def test_the_counters_have_each_purpose(self) -> None:
        self.count_second(0, 700, 300, 50)
        self.count_second(1, 0)
        self.assertEqual(
            (
                self.counters["control.list.in"],
                self.counters["control.membership.out"],
                self.counters["control.carrying.us"],
            ),
            (700, 300, 50),
        )

    def test_a_changed_budget_applies_from_the_next_second_on(self) -> None:
        self.count_second(0, 900)
        self.metered.budget = Control(bytes=800)
        self.count_second(1, 0)
        self.assertEqual(len(self.lines), 1)

    def test_the_operators_table_has_a_row_for_each_purpose_and_the_sum(self) -> None:
        self.count_second(0, 900, 10, 50)
        text = _control({"name": "n0", "life": 1, **json.loads(json.dumps(self.metered.view()))})
        for word in (
            "list",
            "membership",
            "carrying",
            "all of these",
            "0.036 of a core",
            "1000 bytes a second",
        ):
            self.assertIn(word, text)


class MeteredParts(unittest.TestCase):
    def setUp(self) -> None:
        self.meter = ControlMeter()
        settings = platform_settings(charter(control.Setting(), "127.0.0.1:1", "127.0.0.1:1"))
        self.words = MeteredWords.of(MessageDecoder(settings, terms.terms(settings)), self.meter)

    def test_reports_are_read_and_stay_metered_when_terms_change(self) -> None:
        changed = self.words.with_changes({}, {})
        self.assertIsInstance(changed, MeteredWords)
        report = changed.report({"x0": 2.0, "queue": 1})
        self.assertIsNotNone(report)
        self.assertEqual(
            (self.meter.spent["reports"].calls, self.meter.spent["reports"].got),
            (1, len('{"x0": 2.0, "queue": 1}')),
        )

    def test_an_answer_to_a_probe_counts_for_looks_and_one_to_an_attempt_does_not(self) -> None:
        answer = Message(
            status=200, raw_headers=[(b"srv-load", b"x0=2,queue=1")], headers={b"srv-load": b"x0=2,queue=1"}
        )
        self.words.extract_report(answer)
        self.assertEqual(self.meter.spent["looks"].got, 0)
        self.meter.runs("looks", lambda: self.words.extract_report(answer))
        self.assertEqual(
            self.meter.spent["looks"].got, len("HTTP/1.1 200 OK\r\n\r\n") + len("srv-load: x0=2,queue=1\r\n")
        )

    def test_bytes_of_each_connection_of_the_watch_are_counted_once(self) -> None:
        socks = [SimpleNamespace(received_bytes=0, sent_bytes=0) for _ in range(2)]
        opened = iter(socks)
        stream = MeteredStream(self.meter, lambda address: (next(opened), ("a", 1)))
        watch = MeteredWatch(stream, "a:1", 0, SimpleNamespace(), Counters())
        watch.opening("a:1")
        socks[0].received_bytes, socks[0].sent_bytes = 100, 40
        stream.count_bytes()
        stream.count_bytes()
        socks[0].received_bytes = 130
        watch.opening("a:1")
        socks[1].received_bytes = 7
        stream.count_bytes()
        self.assertEqual((self.meter.spent["list"].got, self.meter.spent["list"].said), (137, 40))


class RealDispatcher(unittest.TestCase):
    def test_its_list_is_counted_to_the_byte_and_no_more_time_than_the_process_took(self) -> None:
        """One play of the measure: a real `serve` with hollow peers, asked at its control address."""
        found = control.measure(60, 1, control.Setting(rest=0.5, steady=1.0, changes=10, changes_rate=50.0))
        self.assertEqual(found["faults"], 0)
        self.assertEqual(found["list_bytes_untold"], 0, "what the hollow list wrote and the meter has not")
        self.assertEqual(found["list_in"], found["list_bytes_whole"] + found["list_bytes_rest"])
        self.assertGreater(found["txns"], 10)
        self.assertEqual(found["over_the_process"], 0, "purposes took more than the whole process")
        for figure in ("list_us", "membership_us", "log_us"):
            self.assertGreater(found[figure], 0, figure)

    def test_the_purposes_that_grow_with_requests_are_named(self) -> None:
        self.assertEqual(REQUEST_PURPOSES, ("reports", "looks", "log"))


if __name__ == "__main__":
    unittest.main()
