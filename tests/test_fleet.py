"""Stories of what forty dispatchers do that one does not: each is safe alone and harmful together."""

import unittest
from collections import deque

from pathsaddle.scheduler_types import (
    LIST_NOTIFIED_AFTER,
    LIST_SILENCE_TIMEOUT,
    SECOND,
    ListUpdate,
    LoadReport,
    Outcome,
    Worker,
)
from tests.fakehost import ONCE_ONLY, FakeHost, full, scheme

MOMENT = SECOND // 100


class SlowList:
    """A list service that works through calls in turn, five a second, also those that have waited two
    seconds and were told so; who comes behind four seconds' work finds no place.
    """

    def __init__(self, hosts: list[FakeHost], rate: int = 5) -> None:
        self.hosts, self.rate = hosts, rate
        self.falls: dict[int, list[FakeHost]] = {}  # whose watch is taken for dead, so long after the start
        self.queue: deque[tuple[int, FakeHost, bool]] = deque()
        self.watching: dict[int, int] = {}  # who has the list, and since when
        self.calls = 0

    def plays(self, time: int) -> None:
        now = begun = self.hosts[0].now
        asked = [host.subscribed for host in self.hosts] if self.falls else [0] * len(self.hosts)
        done = now
        while now < begun + time:
            now += MOMENT
            for host in self.falls.pop(now - begun, []):
                host.list(ListUpdate.SILENT)
            for number, host in enumerate(self.hosts):
                host.passes(MOMENT)
                if host.subscribed > asked[number]:
                    asked[number] = host.subscribed
                    self.calls += 1
                    if len(self.queue) < 4 * self.rate:
                        self.queue.append((now, host, True))
                    else:
                        host.list(ListUpdate.FAILED)
            for place, (at, host, waits) in enumerate(self.queue):
                if waits and now - at > 2 * SECOND:
                    self.queue[place] = (at, host, False)
                    host.list(ListUpdate.FAILED)
            if self.queue and now >= done + SECOND // self.rate:
                done = now
                _, host, waits = self.queue.popleft()
                if waits:
                    host.list(ListUpdate.WHOLE, *host.workers)
                    self.watching[self.hosts.index(host)] = now - begun


class TheList(unittest.TestCase):
    def test_forty_births_at_once_all_get_the_list(self) -> None:
        """Killed together in a release and born together, 28 of 40 asked in one moment, were told to come
        again and did, twice a second each: discovery answered none of 486 calls in 38 s.
        """
        for beats in (False, True):  # on the simulator, on sockets
            hosts = [
                FakeHost(
                    list_needs_subscription=True,
                    has_watch_heartbeats=beats,
                    dispatchers=40,
                    number=n,
                    seed=n,
                    news=ListUpdate.REMEMBERED,
                )
                for n in range(40)
            ]
            service = SlowList(hosts)
            service.plays(25 * SECOND)
            self.assertEqual(len(service.watching), 40, beats)
            self.assertLess(service.calls, 100, beats)

    def test_watches_that_fall_silent_are_asked_for_anew_before_what_they_missed_counts_as_told(self) -> None:
        """Discovery answered all the while, in 17 ms; the wait after an outage on top of 3 s of silence had 3 to 7
        postings at draining workers, the first 0.6 s after the change counted as told. 72 calls in one second
        stood in no queue there.
        """
        for many, rate in ((2, 5), (40, 25), (200, 72)):
            hosts = [
                FakeHost(list_needs_subscription=True, dispatchers=many, number=n, seed=n)
                for n in range(many)
            ]
            service = SlowList(hosts, rate)
            for n, host in enumerate(hosts):
                # Each had its last line at a moment of its own, up to a beat before all fell silent.
                last = (2 * SECOND - 2 * SECOND * n // many) // MOMENT * MOMENT
                service.falls.setdefault(LIST_SILENCE_TIMEOUT - last, []).append(host)
            service.plays(LIST_NOTIFIED_AFTER)
            self.assertEqual(len(service.watching), many)
            self.assertLessEqual(service.calls, 1.1 * many)

    def test_a_call_that_nobody_answers_is_made_again_in_the_same_time(self) -> None:
        """Its connection came up in the moment in which the watches fell silent: it counts as one of them."""
        for seed in range(20):
            host = FakeHost(
                list_needs_subscription=True, dispatchers=200, seed=seed, news=ListUpdate.REMEMBERED
            )
            while not host.subscribed:
                host.passes(MOMENT)
            host.passes(4 * SECOND)
            host.list(ListUpdate.SILENT)
            host.passes(SECOND // 2 + MOMENT)
            self.assertEqual(host.subscribed, 2, seed)

    def test_one_alone_asks_at_once(self) -> None:
        """Nobody else is there to be spread from."""
        self.assertEqual(FakeHost(list_needs_subscription=True, news=ListUpdate.REMEMBERED).subscribed, 1)


class Word(unittest.TestCase):
    def test_a_few_jumps_of_others_load_make_no_word_late(self) -> None:
        """Each sees a worker once in seconds, and others' load has moved meanwhile by as much as one's own few
        postings: a third of all postings of forty dispatchers went by "late" word, half of those were turned
        away.
        """
        late = 0
        for seed in range(40):
            host = FakeHost(workers=2, seed=seed)
            chance = host.loop.scheduler.random
            for n in range(16):
                for part in "abcd":
                    host.ask(f"{n}{part}")
                for posting in [p for p in host.posted if p.is_in_flight and chance() < 0.6]:
                    host.passes(int(chance() * SECOND // 2))
                    held = chance() * 2.0  # whatever the thirty-nine others have there in this moment
                    host.end(
                        posting, report=LoadReport(free_slots=4.0 - held, queued_jobs=0.0, held_slots=held)
                    )
            host.loop.scheduler.judge_age()
            late += host.loop.scheduler.age > SECOND // 10
        self.assertLess(late, 5)


class ColdWorkers(unittest.TestCase):
    def test_whose_turn_it_is_finds_the_cold_worker_idle(self) -> None:
        """Six in ten workers were replaced at once and two thirds of the new ones had no txn in nine seconds: an
        even part for each of forty holds no job, and a new worker was taken to be as full as its zone.
        """
        posted = []
        for number in (2, 3, 16):
            host = FakeHost(workers=1, dispatchers=40, number=number)
            host.loop.scheduler.read(host.loop.scheduler.workers[host.workers[0]], full(4.0))
            host.passes(3 * SECOND)
            new = Worker("new", started_at=host.now - 4 * SECOND, name_hash=0)
            host.list(ListUpdate.CHANGES, new)
            host.loop.scheduler.read(host.loop.scheduler.workers[host.workers[0]], full(4.0))
            host.ask("a", hint=SECOND * 7 // 10)
            posted.append([p.worker.tag for p in host.posted])
        self.assertEqual(posted, [["new"], [], ["new"]])


class Errors(unittest.TestCase):
    def test_a_worker_that_failed_stays_out_until_our_next_turn_there(self) -> None:
        """Few txns each: a worker that had failed one 40 ms ago was free again long before the next posting, and
        forty dispatchers met nine failing workers 346 times, 94 would have told them all.
        """
        slow = {"sla_time": 6 * SECOND, "expiry": 20 * SECOND}
        host = FakeHost(scheme(**slow), scheme(ONCE_ONLY, index=1, **slow), workers=2)
        for tag in "abc":  # one txn in two seconds
            host.ask(tag)
            host.passes(2 * SECOND)
            host.end(host.posted[-1], Outcome.ERROR if tag == "c" else Outcome.SETTLED)
        bad = host.posted[2].worker
        self.assertNotEqual(host.posted[3].worker, bad)  # what failed is posted again, elsewhere
        host.end(host.posted[3])
        for tag in "de":
            host.passes(SECOND)
            host.ask(tag, of=1)
        self.assertNotIn(bad, [p.worker for p in host.posted[3:]])

    def test_what_an_error_loses_goes_where_one_has_ended_well(self) -> None:
        """Nine workers failed quickly and showed free slots: each of forty dispatchers learnt that of each by a
        txn of its own, and a once-only one was lost with it.
        """
        host = FakeHost(scheme(), scheme(ONCE_ONLY, index=1), workers=12)
        for tag in "abcde":
            host.ask(tag, of=tag != "a")
            host.passes(SECOND)
            host.end(host.posted[-1])
        self.assertEqual({p.worker.tag for p in host.posted[1:]}, {host.posted[0].worker.tag})


class LostZone(unittest.TestCase):
    def test_three_that_break_speak_for_their_zone(self) -> None:
        """Five seconds before the list said so fifteen workers of a zone were gone: 393 postings found that out,
        up to four of one txn, and the txn was declined.
        """
        host = FakeHost(workers=12)
        for worker in host.workers[6:]:
            worker.zone = 1
        for n in range(80):
            host.ask(f"{n}")
            while host.posted[-1].is_in_flight:
                # Six settled first; then the zone is lost, and from the fortieth on it is back.
                lost = host.posted[-1].worker.zone == 1 and 5 < n < 40
                host.passes(0 if lost else SECOND // 4)
                host.end(host.posted[-1], Outcome.UNCONNECTED if lost else Outcome.SETTLED)
        broke = [p for p in host.posted if p.outcome is Outcome.UNCONNECTED]
        self.assertLessEqual(len(broke), 12)
        self.assertGreater(sum(p.worker.zone == 1 for p in host.posted[-30:]), 5)
