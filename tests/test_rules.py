"""Stories of the four rules: one answer, no effect twice, drains kept, cold workers spared."""

import unittest

from pathsaddle.scheduler_types import SECOND, DeduplicationGroup, ListedState, ListUpdate, Outcome
from tests.fakehost import ONCE_ONLY, REFERENCED, FakeHost, idle, scheme


class OneAnswer(unittest.TestCase):
    def test_a_silent_fleet_still_yields_one_answer_before_the_expiry(self) -> None:
        host = FakeHost(scheme(ONCE_ONLY))
        host.ask("a")
        host.passes(10 * SECOND)
        self.assertEqual(host.answers, {"a": ["reversed"]})

    def test_no_worker_at_all_is_declined(self) -> None:
        host = FakeHost(workers=0)
        host.ask("a")
        host.passes(10 * SECOND)
        self.assertEqual(host.answers, {"a": ["declined"]})

    def test_told_to_end_what_can_not_run_by_then_is_declined_at_once_and_what_can_is_not(self) -> None:
        host = FakeHost(scheme(sla_time=5 * SECOND), workers=0)
        for tag, run in (("long", 3 * SECOND), ("short", SECOND // 2)):
            host.loop.shorten_deadline(host.ask(tag, hint=run), host.now + 2 * SECOND)
        host.passes(SECOND // 10)
        self.assertEqual(host.answers, {"long": ["declined"]})
        host.passes(2 * SECOND)
        self.assertEqual(host.answers, {"long": ["declined"], "short": ["declined"]})
        self.assertEqual(host.sent_on, ["long", "short"], "elsewhere they may still be in time")

    def test_nothing_follows_a_hang_up(self) -> None:
        host = FakeHost(workers=0)
        txn = host.ask("a")
        host.loop.abandon_txn(txn)
        host.list(ListUpdate.CHANGES, *FakeHost().workers)
        host.passes(10 * SECOND)
        self.assertEqual((host.posted, host.answers), ([], {}))


class NoEffectTwice(unittest.TestCase):
    def test_once_only_moves_on_after_a_rejection_but_not_after_an_error(self) -> None:
        host = FakeHost(scheme(ONCE_ONLY))
        host.ask("a")
        host.end(host.posted[0], Outcome.FULL)
        host.passes(SECOND // 2)
        self.assertEqual(len(host.posted), 2)
        host.end(host.posted[1], Outcome.ERROR)  # nothing more may be done for it: it is told so at once
        self.assertEqual((len(host.posted), host.answers), (2, {"a": ["reversed"]}))

    def test_a_referenced_repeat_stays_in_its_group_and_window(self) -> None:
        host = FakeHost(scheme(REFERENCED, group=DeduplicationGroup.CELL, window=2 * SECOND), workers=4)
        for index, worker in enumerate(host.workers):
            worker.cell = index % 2
        host.ask("a")
        first = host.posted[0]
        host.end(first, Outcome.ERROR)
        host.passes(SECOND)
        self.assertEqual(host.posted[1].worker.cell, first.worker.cell)
        host.passes(SECOND)
        host.end(host.posted[1], Outcome.RESET)
        host.passes(10 * SECOND)
        self.assertEqual((len(host.posted), host.answers), (2, {"a": ["reversed"]}))


class DrainsKept(unittest.TestCase):
    def test_a_held_txn_does_not_go_to_a_worker_that_drains(self) -> None:
        host = FakeHost(workers=1)
        host.standing(host.workers[0], ListedState.DRAINING)
        host.ask("a")
        host.passes(SECOND)
        self.assertEqual(host.posted, [])

    def test_a_worker_missing_from_the_whole_list_is_gone(self) -> None:
        host = FakeHost(workers=2)
        host.list(ListUpdate.WHOLE, host.workers[1])
        for tag in "abcdef":
            host.ask(tag)
            host.end(host.posted[-1], report=idle())
        self.assertEqual({p.worker for p in host.posted}, {host.workers[1]})

    def test_where_dropped_workers_stay_open_one_that_is_gone_is_posted_to_once_it_shows_life(self) -> None:
        host = FakeHost(workers=1, delisted_workers_usable=True, reports_in_answers=False, can_probe=True)
        host.passes(SECOND // 10)
        host.list(ListUpdate.WHOLE)
        host.ask("a")
        host.passes(SECOND // 4)
        self.assertEqual(host.posted, [], "nobody has heard of it since")
        host.tell(host.workers[0], idle())
        host.passes(SECOND // 4)
        self.assertEqual([p.worker for p in host.posted], host.workers)

    def test_where_dropped_workers_stay_open_a_draining_binds_also_after_it_is_gone(self) -> None:
        for last in (ListedState.GONE, None):
            host = FakeHost(workers=1, delisted_workers_usable=True, reports_in_answers=False, can_probe=True)
            host.standing(host.workers[0], ListedState.DRAINING)
            if last is not None:
                host.standing(host.workers[0], last)
            else:
                host.list(ListUpdate.WHOLE)
            looked = len(host.probes)
            host.tell(host.workers[0], idle())
            host.ask("a")
            host.passes(SECOND)
            self.assertEqual((host.posted, len(host.probes)), ([], looked))
            host.standing(host.workers[0], ListedState.READY)
            host.tell(host.workers[0], idle())
            host.ask("b")
            host.passes(SECOND // 10)
            self.assertNotEqual(host.posted, [])


class ColdSpared(unittest.TestCase):
    def test_a_cold_worker_gets_no_more_than_our_part(self) -> None:
        host = FakeHost(workers=1, dispatchers=2)
        host.now += 3 * SECOND
        host.workers[0].started_at = host.now
        host.list(ListUpdate.CHANGES, host.workers[0])
        for tag in "abcdefghij":
            host.ask(tag, hint=SECOND // 2)
            for posting in host.posted:
                if posting.is_in_flight:
                    host.end(posting, report=idle())
        self.assertLessEqual(sum(p.txn.hint or 0 for p in host.posted), 4 * 0.3 * 2 * 2 * SECOND / 2)

    def test_hundreds_of_dispatchers_take_turns_with_whole_jobs(self) -> None:
        """An even share of a cold worker held no job and nobody sent any; in any span the sum must hold: it falls at
        N + 3 root N + 3 mean jobs, N being what the settings allow it, and two thirds are used at the worst.
        """
        sent = []
        for number in range(40):
            host = FakeHost(workers=1, dispatchers=40, number=number)
            host.now += 3 * SECOND
            host.workers[0].started_at = host.now
            host.list(ListUpdate.CHANGES, host.workers[0])
            for _ in range(16):
                host.ask("a", hint=SECOND // 4)
                host.passes(SECOND // 2)
                for posting in host.posted:
                    if posting.is_in_flight:
                        host.end(posting, report=idle())
            sent += [
                posting.sent_at - host.workers[0].started_at
                for posting in host.posted
                if posting.sent_at < host.workers[0].started_at + 8 * SECOND
            ]
        self.assertGreaterEqual(len(sent), 4)
        for at in sent:
            span = [other for other in sent if at <= other < at + 2 * SECOND]
            allowed = 4 * (0.3 + 0.7 * at / (9 * SECOND)) * 2 * 2 * SECOND / (SECOND // 4)  # in mean jobs
            self.assertLessEqual(len(span), (allowed + 3 * allowed**0.5 + 3) * 2 / 3)

    def test_a_dozen_dispatchers_without_hints_use_a_cold_worker_and_stay_under_its_budget(self) -> None:
        """Two at once had more than they had jobs for: a worker that came back cold stood idle for most of nine
        seconds. Dealt out in whole jobs, the sum of all of them must hold in any span, at the worst moment; each
        has seen other runs, so that no two agree on how many have their turn.
        """
        sent = []
        for number in range(11):
            host = FakeHost(
                workers=1, dispatchers=11, number=number, overload_multiple=2.5, slow_start_share=0.32
            )
            worker = host.workers[0]
            for _ in range(8):  # a mean run of a quarter of a second, over all of them
                host.ask("before")
                host.passes(SECOND // 4 + (number - 5) * SECOND // 40)
                host.end(host.posted[-1], report=idle(3.0))
            before = len(host.posted)
            worker.started_at = host.now
            host.list(ListUpdate.CHANGES, worker)
            while host.now < worker.started_at + 8 * SECOND:
                host.ask("a")
                host.passes(SECOND // 10)
                for posting in host.posted:
                    if posting.is_in_flight and host.now >= posting.sent_at + SECOND // 4:
                        host.end(posting, report=idle(3.0))
            sent += [posting.sent_at - worker.started_at for posting in host.posted[before:]]
        per_span = []
        for at in sent:
            span = [other for other in sent if at <= other < at + 2 * SECOND]
            able = 0.32 + 0.68 * at / (9 * SECOND)
            self.assertLessEqual(len(span) * SECOND // 4, 2.5 * able * 3 * 2 * SECOND)
            per_span.append(len(span))
        self.assertGreater(max(per_span[: len(sent) // 2]), 6, "and it is used")

    def test_our_own_restart_does_not_renew_the_part(self) -> None:
        host = FakeHost(workers=1, news=ListUpdate.REMEMBERED)
        host.workers[0].started_at = host.now - SECOND
        host.list(ListUpdate.CHANGES, host.workers[0])
        host.ask("a", hint=SECOND // 10)
        host.passes(SECOND)
        self.assertEqual(host.posted, [])

    def test_a_worker_that_may_have_risen_while_the_list_is_lost_is_cold(self) -> None:
        """Virtual seeds 48, 213 and 245: it had died and come back, and the list said nothing of it."""

        def whole_job(lost: bool, broke: bool) -> bool:
            host = FakeHost(workers=1, list_needs_subscription=True, dispatchers=4)
            host.passes(3 * SECOND)
            host.ask("first", hint=SECOND // 10)
            host.end(host.posted[0], report=idle())
            if lost:
                host.list(ListUpdate.FAILED)
            if broke:
                host.loop.on_connection_broken(host.workers[0])
            host.ask("big", hint=4 * SECOND, lasts=60 * SECOND)
            host.passes(SECOND)
            return len(host.posted) > 1

        self.assertTrue(whole_job(lost=True, broke=False))
        self.assertTrue(whole_job(lost=False, broke=True))
        self.assertFalse(whole_job(lost=True, broke=True))

    def test_it_is_cold_no_longer_than_one_that_is_listed_as_new(self) -> None:
        host = FakeHost(workers=1, list_needs_subscription=True, dispatchers=4)
        host.passes(3 * SECOND)
        host.list(ListUpdate.FAILED)
        host.loop.on_connection_broken(host.workers[0])
        host.ask("small", hint=SECOND // 10)
        host.end(host.posted[0], report=idle())
        host.passes(10 * SECOND)
        host.ask("big", hint=4 * SECOND, lasts=60 * SECOND)
        host.passes(SECOND)
        self.assertEqual(len(host.posted), 2)


if __name__ == "__main__":
    unittest.main()
