"""Tests of dispatchers in numbers: behaviour that is harmless in one and harmful in forty together."""

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

STEP = SECOND // 100


class SlowList:
    """A list service that answers calls in order, five per second.

    A call fails for its caller after 2 s but still takes its turn; calls beyond 4 s of work are refused.
    """

    def __init__(self, hosts: list[FakeHost], calls_per_second: int = 5) -> None:
        self.hosts, self.calls_per_second = hosts, calls_per_second
        # By ticks since the start: the hosts whose watch is then found silent.
        self.silences: dict[int, list[FakeHost]] = {}
        self.queue: deque[tuple[int, FakeHost, bool]] = deque()  # (called at, caller, whether it still waits)
        self.watching: dict[int, int] = {}  # by host number: when it got the list
        self.calls = 0

    def run(self, ticks: int) -> None:
        now = start = self.hosts[0].now
        subscribed = [host.subscribed for host in self.hosts] if self.silences else [0] * len(self.hosts)
        last_answer_at = now
        while now < start + ticks:
            now += STEP
            for host in self.silences.pop(now - start, []):
                host.list(ListUpdate.SILENT)
            for number, host in enumerate(self.hosts):
                host.passes(STEP)
                if host.subscribed > subscribed[number]:
                    subscribed[number] = host.subscribed
                    self.calls += 1
                    if len(self.queue) < 4 * self.calls_per_second:
                        self.queue.append((now, host, True))
                    else:
                        host.list(ListUpdate.FAILED)
            for index, (called_at, host, is_waiting) in enumerate(self.queue):
                if is_waiting and now - called_at > 2 * SECOND:
                    self.queue[index] = (called_at, host, False)
                    host.list(ListUpdate.FAILED)
            if self.queue and now >= last_answer_at + SECOND // self.calls_per_second:
                last_answer_at = now
                _, host, is_waiting = self.queue.popleft()
                if is_waiting:
                    host.list(ListUpdate.COMPLETE, *host.workers)
                    self.watching[self.hosts.index(host)] = now - start


class WorkerListTest(unittest.TestCase):
    def test_forty_dispatchers_started_together_all_get_the_list(self) -> None:
        """Guards against calls in step: after a release 28 of 40 dispatchers called at the same moment, were
        refused and retried twice per second each; discovery answered none of 486 calls in 38 s.
        """
        for has_heartbeats in (False, True):  # on the simulator, on sockets
            hosts = [
                FakeHost(
                    list_needs_subscription=True,
                    has_watch_heartbeats=has_heartbeats,
                    dispatchers=40,
                    number=n,
                    seed=n,
                    news=ListUpdate.CACHED,
                )
                for n in range(40)
            ]
            service = SlowList(hosts)
            service.run(25 * SECOND)
            self.assertEqual(len(service.watching), 40, has_heartbeats)
            self.assertLess(service.calls, 100, has_heartbeats)

    def test_silent_watches_are_renewed_before_missed_changes_become_binding(self) -> None:
        """Guards against a retry delay on top of the 3 s of silence: it sent 3 to 7 postings to draining
        workers, the first 0.6 s after the change was binding, though discovery answered in 17 ms all the
        while. There 72 calls within one second did not queue.
        """
        for count, calls_per_second in ((2, 5), (40, 25), (200, 72)):
            hosts = [
                FakeHost(list_needs_subscription=True, dispatchers=count, number=n, seed=n)
                for n in range(count)
            ]
            service = SlowList(hosts, calls_per_second)
            for n, host in enumerate(hosts):
                # Each received its last line at a different moment, up to 2 s before all fell silent.
                last_line_ago = (2 * SECOND - 2 * SECOND * n // count) // STEP * STEP
                service.silences.setdefault(LIST_SILENCE_TIMEOUT - last_line_ago, []).append(host)
            service.run(LIST_NOTIFIED_AFTER)
            self.assertEqual(len(service.watching), count)
            self.assertLessEqual(service.calls, 1.1 * count)

    def test_an_unanswered_call_is_repeated_as_soon_as_a_silent_watch(self) -> None:
        """Guards against a late repeat: a call whose connection is set up as the watches fall silent is one
        of them.
        """
        for seed in range(20):
            host = FakeHost(list_needs_subscription=True, dispatchers=200, seed=seed, news=ListUpdate.CACHED)
            while not host.subscribed:
                host.passes(STEP)
            host.passes(4 * SECOND)
            host.list(ListUpdate.SILENT)
            host.passes(SECOND // 2 + STEP)
            self.assertEqual(host.subscribed, 2, seed)

    def test_a_single_dispatcher_calls_immediately(self) -> None:
        """Guards against a delay that only spreads the calls of several dispatchers."""
        self.assertEqual(FakeHost(list_needs_subscription=True, news=ListUpdate.CACHED).subscribed, 1)


class ReportAgeTest(unittest.TestCase):
    def test_jumps_in_the_load_of_others_do_not_make_reports_look_old(self) -> None:
        """Guards against overestimating the age of reports. A dispatcher sees a worker every few seconds, and
        the load of others changes meanwhile by as much as its own few postings: a third of all postings of
        forty dispatchers relied on reports judged old, and half of those were rejected.
        """
        misjudged = 0
        for seed in range(40):
            host = FakeHost(workers=2, seed=seed)
            random = host.loop.scheduler.random
            for n in range(16):
                for letter in "abcd":
                    host.ask(f"{n}{letter}")
                for posting in [p for p in host.posted if p.is_in_flight and random() < 0.6]:
                    host.passes(int(random() * SECOND // 2))
                    held_slots = random() * 2.0  # slots that the other 39 dispatchers hold there now
                    host.end(
                        posting,
                        report=LoadReport(
                            free_slots=4.0 - held_slots, queued_jobs=0.0, held_slots=held_slots
                        ),
                    )
            host.loop.scheduler.update_report_age()
            misjudged += host.loop.scheduler.report_age > SECOND // 10
        self.assertLess(misjudged, 5)


class WarmUpTest(unittest.TestCase):
    def test_the_dispatcher_whose_turn_it_is_posts_to_a_worker_that_is_warming_up(self) -> None:
        """Guards against idle new workers: after six in ten workers were replaced at once, two thirds of the
        new ones got no txn in 9 s. A fortieth of a new worker's capacity fits no job, and it was assumed to
        be as full as its zone.
        """
        posted = []
        for number in (2, 3, 16):
            host = FakeHost(workers=1, dispatchers=40, number=number)
            host.loop.scheduler.apply_report(host.loop.scheduler.workers[host.workers[0]], full(4.0))
            host.passes(3 * SECOND)
            new = Worker("new", started_at=host.now - 4 * SECOND, name_hash=0)
            host.list(ListUpdate.CHANGES, new)
            host.loop.scheduler.apply_report(host.loop.scheduler.workers[host.workers[0]], full(4.0))
            host.ask("a", hint=SECOND * 7 // 10)
            posted.append([p.worker.tag for p in host.posted])
        self.assertEqual(posted, [["new"], [], ["new"]])


class ErrorBackoffTest(unittest.TestCase):
    def test_a_failed_worker_gets_no_posting_until_the_backoff_ends(self) -> None:
        """Guards against a backoff that is shorter than the time between postings: with few txns each, a
        backoff of 40 ms was over long before the next posting, and forty dispatchers sent 346 postings to
        nine failing workers, where 94 would have informed all of them.
        """
        slow = {"sla_time": 6 * SECOND, "expiry": 20 * SECOND}
        host = FakeHost(scheme(**slow), scheme(ONCE_ONLY, index=1, **slow), workers=2)
        for tag in "abc":  # one txn every 2 s
            host.ask(tag)
            host.passes(2 * SECOND)
            host.end(host.posted[-1], Outcome.ERROR if tag == "c" else Outcome.SETTLED)
        failed_worker = host.posted[2].worker
        self.assertNotEqual(
            host.posted[3].worker, failed_worker
        )  # the failed txn is posted again, to another worker
        host.end(host.posted[3])
        for tag in "de":
            host.passes(SECOND)
            host.ask(tag, of=1)
        self.assertNotIn(failed_worker, [p.worker for p in host.posted[3:]])

    def test_once_only_txns_go_to_a_worker_where_a_txn_has_settled(self) -> None:
        """Guards against losing once-only txns: nine workers failed quickly and reported free slots, so each
        of forty dispatchers learnt of each failure by a txn of its own, and a once-only txn was lost that
        way.
        """
        host = FakeHost(scheme(), scheme(ONCE_ONLY, index=1), workers=12)
        for tag in "abcde":
            host.ask(tag, of=tag != "a")
            host.passes(SECOND)
            host.end(host.posted[-1])
        self.assertEqual({p.worker.tag for p in host.posted[1:]}, {host.posted[0].worker.tag})


class LostZoneTest(unittest.TestCase):
    def test_three_broken_connections_mark_their_zone_as_lost(self) -> None:
        """Guards against trying each worker of a lost zone: fifteen workers were gone 5 s before the list
        said so; 393 postings failed there, up to four of one txn, which was then declined.
        """
        host = FakeHost(workers=12)
        for worker in host.workers[6:]:
            worker.zone = 1
        for n in range(80):
            host.ask(f"{n}")
            while host.posted[-1].is_in_flight:
                # Six txns settle first; then the zone is lost, and from the fortieth txn on it is back.
                is_lost = host.posted[-1].worker.zone == 1 and 5 < n < 40
                host.passes(0 if is_lost else SECOND // 4)
                host.end(host.posted[-1], Outcome.UNCONNECTED if is_lost else Outcome.SETTLED)
        failed = [p for p in host.posted if p.outcome is Outcome.UNCONNECTED]
        self.assertLessEqual(len(failed), 12)
        self.assertGreater(sum(p.worker.zone == 1 for p in host.posted[-30:]), 5)
