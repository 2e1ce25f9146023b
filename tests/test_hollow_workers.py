"""Stories of the hollow peers of slope 1: they answer the program's own client side as the protocol wants, and the
measures return what they name and leave nothing behind.
"""

import asyncio
import math
import os
import time
import unittest
from pathlib import Path
from random import Random
from unittest import mock

import httptools

from pathsaddle.config.loader import platform_settings
from pathsaddle.emulator.ground import speech
from pathsaddle.emulator.ground.speech import Hearing
from pathsaddle.emulator.hollow import outside, scan, workers
from pathsaddle.emulator.hollow.served import Back, Clients, HollowList, Workers
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.service.discovery import DiscoveryWatch
from pathsaddle.net.service.workers import ConnectionLostError, RequestNotSentError
from pathsaddle.net.service.workers import Workers as Links
from pathsaddle.net.wire import forms, terms
from pathsaddle.net.wire.forms import Callback, MessageDecoder
from pathsaddle.net.wire.terms import ConnectionTimeouts
from pathsaddle.scheduler_types import SECOND, ListedState, ListUpdate, Outcome

SHORT = workers.Setting(
    rate=50.0, run=0.02, rest=0.2, steady=0.4, changes=4, changes_rate=50.0, cold=0.4, full=0.4
)
CHARTER = workers.charter(SHORT, "127.0.0.1:1", "127.0.0.1:1")


def children() -> list[int]:
    """Processes that this one started and that have not ended."""
    found = []
    for name in os.listdir("/proc"):
        if name.isdigit():
            try:
                rest = Path(f"/proc/{name}/stat").read_bytes().rpartition(b")")[2].split()
            except OSError:
                continue
            if int(rest[1]) == os.getpid() and rest[0] != b"Z":
                found.append(int(name))
    return found


class Peers(unittest.IsolatedAsyncioTestCase):
    async def until(self, holds) -> None:
        async with asyncio.timeout(10.0):
            while not holds():
                await asyncio.sleep(0.002)

    async def hollow(self, count: int, slots: int = 1, waiting: int = 1, run: float = 0.02) -> Workers:
        made = Workers(CHARTER, count, slots, waiting, run, ["z00"])
        self.addCleanup(made.end)
        await made.open()
        return made


class TheHollowWorker(Peers):
    """Against the program's own links to workers and its own reading of what workers say."""

    async def asyncSetUp(self) -> None:
        self.told: list[Callback] = []
        given = platform_settings(CHARTER)
        known = terms.terms(given)
        self.words = MessageDecoder(given, known)
        self.links = Links(ConnectionTimeouts(20_000, 600_000), 64, Clock(), Counters())
        self.addCleanup(
            lambda: [self.links.links.close_idle(worker, "over") for worker in self.links.addresses]
        )
        self.server = await asyncio.start_server(self.door, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.answers = True
        self.doors: list[asyncio.StreamWriter] = []

    async def door(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Where callbacks come."""
        hearing = Hearing(calls=True)
        self.doors.append(writer)
        try:
            while data := await reader.read(65536):
                for said in hearing.feed(data, 0):
                    self.assertEqual((said.method, said.target), ("POST", "/callback"))
                    if self.answers:
                        self.told.append(self.words.decode_callback(said.body))
                        writer.write(speech.answer(204))
        except (OSError, httptools.HttpParserError, asyncio.CancelledError):
            pass
        writer.close()

    async def hollow(self, count: int, slots: int = 1, waiting: int = 1, run: float = 0.02) -> Workers:
        made = await super().hollow(count, slots, waiting, run)
        made.dispatcher = self.server.sockets[0].getsockname()
        for row in made.rows:
            self.links.set_address(row["name"], row["address"])
        return made

    async def post(self, worker: str, tag: str, cost: int = 20):
        return await self.links.call(
            worker, "POST", b"/task", [(b"Req-Id", tag.encode()), (b"Req-Cost", b"%d" % cost)], b"{}"
        )

    async def test_a_posting_is_taken_runs_and_is_called_back_with_a_report(self) -> None:
        await self.hollow(2)
        answer = await self.post("w00001", "a")
        self.assertIsNone(forms.outcome_of(answer))
        await self.until(lambda: self.told)
        (word,) = self.told
        self.assertEqual((word.tag, word.worker, word.outcome), ("a", "w00001", Outcome.SETTLED))
        self.assertEqual((word.report.free_slots, word.report.queued_jobs), (1.0, 0.0))

    async def test_one_runs_one_waits_the_third_is_turned_away_with_word_of_its_load(self) -> None:
        await self.hollow(1)
        first, second = await self.post("w00000", "a", 5000), await self.post("w00000", "b")
        self.assertEqual((first.status, second.status), (202, 202))
        third = await self.post("w00000", "c")
        self.assertIs(forms.outcome_of(third), Outcome.FULL)
        report = self.words.extract_report(third)
        self.assertEqual((report.free_slots, report.queued_jobs), (0.0, 1.0))

    async def test_a_look_tells_what_runs(self) -> None:
        made = await self.hollow(1, slots=2)
        await self.post("w00000", "a", 5000)
        answer = await self.links.call("w00000", "GET", forms.probe_target(True), [])
        self.assertIs(forms.probe_outcome(answer), Outcome.SETTLED)
        self.assertEqual((self.words.extract_report(answer).free_slots, made.looked), (1.0, 1))

    async def test_what_waits_is_withdrawn_by_delete(self) -> None:
        made = await self.hollow(1)
        await self.post("w00000", "a", 5000)
        await self.post("w00000", "b")
        answer = await self.links.call("w00000", "DELETE", forms.cancellation_target("b"), [])
        self.assertEqual((answer.status, len(made.all[0].line)), (204, 0))

    async def test_a_death_ends_its_connections_and_its_agent_tells_what_is_lost(self) -> None:
        made = await self.hollow(1)
        await self.post("w00000", "a", 5000)
        made.all[0].dies()
        with self.assertRaises((RequestNotSentError, ConnectionLostError)):
            for _ in range(3):  # a link that broke unseen may be tried first
                await self.post("w00000", "b")
        await self.until(lambda: self.told)
        self.assertEqual([(word.tag, word.outcome) for word in self.told], [("a", Outcome.RESET)])

    async def test_a_new_start_is_at_the_old_address_told_since_when_and_slow(self) -> None:
        made = await self.hollow(2)
        address, before = made.rows[1]["address"], time.time() * 1000 - 1
        await made.restart([1])
        self.assertEqual(made.rows[1]["address"], address)
        self.assertGreater(made.rows[1]["since_ms"], before)
        self.assertLess(made.all[1].able(), 1.0)
        self.assertEqual(made.all[0].able(), 1.0)
        self.assertEqual((await self.post("w00001", "a")).status, 202)

    async def test_callbacks_go_one_at_a_time_on_one_kept_connection(self) -> None:
        made = await self.hollow(1, slots=8)
        for n in range(8):
            await self.post("w00000", f"t{n}")
        await self.until(lambda: len(self.told) == 8)
        self.assertEqual(sorted(word.tag for word in self.told), [f"t{n}" for n in range(8)])
        self.assertEqual((len(self.doors), made.called_back), (1, 8))

    async def test_two_callbacks_due_in_one_turn_of_the_event_loop_share_the_connection(self) -> None:
        """On a busy machine both timers fire at once: each opened a connection, and the first was told three times."""
        made = await self.hollow(1)
        back = Back(made)
        for n in range(8):
            back.tell(b'{"id":"t%d","from":"w00000","state":"done","result":"ok"}' % n)
        await self.until(lambda: made.called_back >= 8)
        self.assertEqual([word.tag for word in self.told], [f"t{n}" for n in range(8)])
        self.assertEqual((len(self.doors), made.called_back, made.tally.given), (1, 8, 1))
        back.end()

    async def test_a_callback_whose_connection_ends_unanswered_comes_again_and_is_counted(self) -> None:
        made = await self.hollow(1)
        self.answers = False
        await self.post("w00000", "a")
        await self.until(lambda: self.doors and made.all[0].back.asked)
        self.answers = True
        self.doors[0].close()
        await self.until(lambda: self.told)
        self.assertEqual((self.told[0].tag, made.tally.refused), ("a", 1))

    async def test_a_callback_is_tried_a_few_times_and_no_more(self) -> None:
        made = await self.hollow(1)
        self.server.close()
        await self.server.wait_closed()
        with mock.patch("pathsaddle.emulator.hollow.served.AGAIN", 0.001):
            back = Back(made)
            back.tell(b"{}")
            await self.until(lambda: not back.queue and not back.busy)
        self.assertEqual(made.tally.refused, 11)

    async def test_clients_count_what_became_of_each_call(self) -> None:
        made = await self.hollow(1)
        statuses = iter([200, 503, 500])

        async def answers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            hearing = Hearing(calls=True)
            while data := await reader.read(65536):
                for said in hearing.feed(data, 0):
                    self.assertEqual((said.method, said.target), ("POST", "/task"))
                    status = next(statuses, 0)
                    if not status:
                        writer.close()
                        return
                    writer.write(speech.answer(status))

        server = await asyncio.start_server(answers, "127.0.0.1", 0)
        self.addCleanup(server.close)
        made.dispatcher = server.sockets[0].getsockname()
        clients = Clients(made, "task", 0.02, 1)
        for n in range(4):
            await clients.ask()
            await self.until(lambda n=n: clients.asked == n + 1 and not clients.open)
        self.assertEqual((clients.settled, clients.declined, clients.failed, clients.broken), (1, 1, 1, 1))
        self.assertEqual((made.tally.given, made.tally.refused), (1, 1))


class TheHollowList(Peers):
    """Against the program's own watch."""

    async def watched(self, index: int, count: int = 5) -> HollowList:
        made = await self.hollow(count)
        told = HollowList(made.rows)
        self.addCleanup(told.end)
        self.heard: list[tuple[ListUpdate, list[str]]] = []
        given = platform_settings(CHARTER)

        class TxnService:
            words = MessageDecoder(given, terms.terms(given))

            def listed(service, news, rows) -> None:
                self.heard.append((news, [row.worker.tag for row in rows]))
                self.rows = rows

        self.discovery = discovery = DiscoveryWatch(await told.open(), index, TxnService(), Counters())
        self.discovery.call_discovery()
        self.addCleanup(discovery.stop, "over")
        await self.until(lambda: self.heard)
        return told

    async def test_who_knows_no_version_of_it_gets_the_whole_list_then_changes(self) -> None:
        told = await self.watched(1)
        self.assertEqual(self.heard.pop(), (ListUpdate.COMPLETE, [f"w0000{n}" for n in range(5)]))
        told.rows["w00003"]["status"] = "leaving"
        told.change("w00003")
        await self.until(lambda: self.heard)
        self.assertEqual(self.heard, [(ListUpdate.CHANGES, ["w00003"])])
        self.assertIs(self.rows[0].worker.listed_state, ListedState.DRAINING)
        self.assertEqual(self.discovery.index, told.index)

    async def test_who_watches_again_gets_what_it_missed(self) -> None:
        told = await self.watched(1)
        self.discovery.stop("a cut")
        await self.until(lambda: not told.watching)
        told.change("w00001")
        told.change("w00001")
        told.change("w00002")
        self.heard.clear()
        self.discovery.call_discovery()
        await self.until(lambda: self.heard)
        self.assertEqual(self.heard, [(ListUpdate.CHANGES, ["w00001", "w00002"])])

    async def test_the_whole_list_again_leaves_out_who_is_gone(self) -> None:
        told = await self.watched(1)
        self.heard.clear()
        told.rows["w00000"]["status"] = "left"
        told.whole()
        await self.until(lambda: self.heard)
        self.assertEqual(self.heard, [(ListUpdate.COMPLETE, [f"w0000{n}" for n in range(1, 5)])])

    async def test_a_change_is_as_long_whatever_the_list_is(self) -> None:
        sizes = []
        for count in (5, 200):
            told = await self.watched(1, count)
            told.change("w00003")
            sizes.append(told.change_bytes)
        self.assertLess(sizes[1] - sizes[0], 4)  # a port may have a digit more


class TheMeasureOfWorkers(unittest.TestCase):
    def test_a_small_point_returns_every_figure_and_leaves_no_process(self) -> None:
        before = children()
        found = workers.measure(20, 1, SHORT)
        self.assertEqual(sorted(found), sorted(workers.FIGURES))
        self.assertTrue(all(map(math.isfinite, found.values())), found)
        self.assertEqual(children(), before)
        self.assertEqual(found["faults"], 0.0)
        self.assertEqual(found["workers_connected"], 20.0)
        self.assertLessEqual(found["descriptors_most"], SHORT.sockets)
        # One row with its frame, and twenty of them.
        self.assertLess(found["list_bytes_per_change"], 200.0)
        self.assertGreater(found["list_bytes_whole"], 20 * 100.0)
        self.assertGreater(found["rss_mib"], found["pss_mib"])

    def test_a_dispatcher_that_never_gets_ready_is_ended_too(self) -> None:
        before = children()
        with mock.patch.object(workers, "READY_IN", 0.0), self.assertRaises(workers.NeverReady):
            workers.measure(2, 1, SHORT)
        self.assertEqual(children(), before)

    def test_what_it_names_is_what_it_counts(self) -> None:
        for module in (workers, scan):
            self.assertLessEqual(module.COUNTED, set(module.FIGURES))
            processes, mib = module.needs(1900, module.Setting())
            self.assertLessEqual((processes <= 2, mib <= 400), (True, True))


class TheMeasureOfTheScan(unittest.TestCase):
    def test_every_figure_and_the_same_counts_for_a_seed(self) -> None:
        setting = scan.Setting(txns=20, looks=3, held=4)
        one, other = (scan.measure(30, 3, setting) for _ in range(2))
        self.assertEqual(sorted(one), sorted(scan.FIGURES))
        counts = [
            name for name in sorted(scan.COUNTED) if "bytes_per" not in name
        ]  # memory of the interpreter's own
        self.assertEqual([one[name] for name in counts], [other[name] for name in counts])
        self.assertEqual(one["unsettled"], 0.0)
        self.assertGreaterEqual(one["scanned_per_txn"], 30.0)

    def test_its_door_plays_what_choice_asks_for(self) -> None:
        door = scan.scan(scan.Setting(), 1, 12)
        self.assertEqual((door.settled, door.ended, len(door.loop.scheduler.workers)), (64, 0, 12))
        self.assertGreater(door.now, 100 * SECOND)


class SeenFromOutside(unittest.TestCase):
    def test_processor_time_grows_by_what_is_spent(self) -> None:
        before, own = outside.cpu_seconds(os.getpid()), time.process_time()
        sum(Random(1).random() for _ in range(200_000))
        spent, mine = outside.cpu_seconds(os.getpid()) - before, time.process_time() - own
        self.assertGreater(spent, 0.0)
        self.assertGreaterEqual(mine, spent * 0.5)

    def test_memory_and_descriptors(self) -> None:
        rss, pss = outside.memory_mib(os.getpid())
        self.assertGreaterEqual(rss, pss)
        before = outside.descriptors(os.getpid())
        with open(os.devnull):
            self.assertEqual(outside.descriptors(os.getpid()), before + 1)
