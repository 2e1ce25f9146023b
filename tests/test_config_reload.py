"""Changes in service: what takes effect at once, what open requests keep, and what asks for a restart."""

import asyncio
import contextlib
import dataclasses
import json
import signal
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

from pathsaddle.cli.show import TABLES
from pathsaddle.config.dispatcher import ConfiguredDispatcher
from pathsaddle.config.fleet import equal_part
from pathsaddle.config.loader import platform_config
from pathsaddle.config.reload import RESTART_REASONS, reloaded, restart_reasons
from pathsaddle.config.schema import RELOADABLE_KEYS, Configuration
from pathsaddle.config.validation import InvalidConfigError, explain_keys, validate
from pathsaddle.fleet.quota.leases import Grant, HeldLease, QuotaRequest, Release
from pathsaddle.fleet.quota.quota_limiter import WINDOW, QuotaConfig, QuotaLimiter
from pathsaddle.fleet.rate_limiter import SECOND as TICKS
from pathsaddle.jobs.job_service import JobService, JobServiceOptions
from pathsaddle.jobs.store import Store
from pathsaddle.jobs.store_writer import ThreadWriter
from pathsaddle.net.memory.counters import Counters
from pathsaddle.net.service.clock import Clock
from pathsaddle.net.wire.birth import birth
from pathsaddle.net.wire.forms import ListRow
from pathsaddle.net.wire.http import HttpError, Message
from pathsaddle.scheduler_types import SECOND, ListUpdate, Outcome, Worker
from pathsaddle.settings import configuration
from tests.fakehost import FakeHost, scheme
from tests.test_program import ROOT
from tests.test_shutdown import Shutdown, job, one_answer
from tests.test_txn_service import PlayedWorkers

BASE: dict[str, Any] = {
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "schemes": [
        {"name": "render", "semantics": "repeatable", "sla": "2s", "expiry": "10s"},
        {"name": "charge", "semantics": "once-only", "sla": "2s", "expiry": "10s"},
    ],
    "customers": [{"name": "acme", "allowance": 50.0}, {"name": "zeta", "allowance": 4.0}],
    "allowed": {"probe": False},
}
FLEET = {"name": "f", "key": "sixteen bytes or more", "listen": "127.0.0.1:7199", "budgets": {"gpu": 30}}


def configuration_of(**more: Any) -> Configuration:
    return validate(Configuration, {**BASE, **more}, "the charter")


class ReloadInService(unittest.IsolatedAsyncioTestCase):
    """A configured dispatcher with a service, without any socket."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "charter.json"

    def begin(self, build: Callable[..., Any] | None = None, **more: Any) -> None:
        self.path.write_text(json.dumps({**BASE, **more}))
        self.dispatcher = ConfiguredDispatcher(self.path)
        self.dispatcher.open_log = lambda: None  # type: ignore[method-assign]
        if build is not None:
            self.dispatcher._build_service = build  # type: ignore[method-assign]
        born = birth(self.dispatcher.told())
        self.played: Any = PlayedWorkers()
        self.answers: list[tuple[int, bytes]] = []
        self.service = self.dispatcher.service(
            born.scheduler, born.decoder, 7, Clock(), self.played, Counters(), lambda: None
        )
        self.service.listed(ListUpdate.COMPLETE, [ListRow(Worker(f"w{n}"), "x:1") for n in range(4)])

    def reload(self, **more: Any) -> dict[str, str]:
        return self.dispatcher.reload(configuration_of(**more))

    def ask(self, tag: str, kind: str = "render", owner: str = "acme") -> Any:
        call = Message(
            b"POST",
            f"/{kind}".encode(),
            headers={b"req-id": tag.encode(), b"req-kind": kind.encode(), b"req-owner": owner.encode()},
        )
        return self.service.take(call, lambda *answer: self.answers.append(answer[:2]))

    def refused(self, tag: str, kind: str = "render", owner: str = "acme") -> int:
        with self.assertRaises(HttpError) as caught:
            self.ask(tag, kind, owner)
        return caught.exception.status

    async def settle(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def done(self, tag: str) -> None:
        for call in self.played.calls:
            if not call.reply.done():
                call.write()
                call.reply.set_result(Message(status=202))
        await self.settle()
        worker = self.service.ledger[tag].txn.postings[-1].worker.tag
        self.service.apply_callback(
            self.service.words.decode_callback(
                json.dumps({"id": tag, "from": worker, "state": "done", "result": "well"}).encode()
            )
        )
        await self.settle()

    async def test_a_tenant_is_added_and_removed_while_its_open_requests_end_by_their_terms(self) -> None:
        self.begin()
        self.assertEqual(self.refused("a", owner="nova"), 403)
        self.reload(customers=[*BASE["customers"], {"name": "nova", "allowance": 9.0}])
        entry = self.ask("b", owner="nova")
        await self.settle()
        posting = entry.txn.postings[0]
        self.reload()
        self.assertEqual(self.refused("c", owner="nova"), 403)
        await self.done("b")
        self.assertEqual((self.answers, posting.outcome), ([(200, b"well")], Outcome.SETTLED))
        self.ask("d")

    async def test_a_request_class_is_changed_and_removed_under_open_requests(self) -> None:
        self.begin()
        old, gone = self.ask("a"), self.ask("b", "charge")
        await self.settle()
        expires, was = old.txn.expires_at, old.txn.scheme
        changed = {**BASE["schemes"][0], "expiry": "1s", "sla": "500ms", "value": 3.0}
        self.reload(schemes=[changed])
        self.reload(
            schemes=[changed, {"name": "sign", "semantics": "referenced", "window": "3s", "expiry": "4s"}]
        )
        self.assertEqual(self.refused("c", "charge"), 404)
        young, fresh = self.ask("d"), self.ask("e", "sign")
        self.assertEqual(
            (old.txn.expires_at, old.txn.scheme.expiry, young.txn.scheme.expiry),
            (expires, 10 * SECOND, SECOND),
        )
        self.assertIs(old.txn.scheme, was)
        self.assertEqual(was.index, young.txn.scheme.index)
        self.assertEqual(len({one.txn.scheme.index for one in (old, gone, young, fresh)}), 3)
        await self.settle()
        for tag in "abde":
            await self.done(tag)
        self.assertEqual(self.answers, [(200, b"well")] * 4)
        runs = self.service.loop.scheduler.run_times
        self.assertEqual(list(runs[young.txn.scheme]), list(runs[was]))
        self.reload(schemes=BASE["schemes"][:1])
        self.assertEqual(
            len(self.service.loop.scheduler.run_times), 1, "what nobody goes by any more is forgotten"
        )

    async def test_unchanged_request_classes_and_tenants_stay_the_same_objects(self) -> None:
        self.begin()
        words = self.service.words
        self.reload(
            customers=[{"name": "acme", "allowance": 1.0}, BASE["customers"][1]], rules={"cold_share": 0.5}
        )
        self.assertIs(self.service.words.schemes["render"], words.schemes["render"])
        self.assertIs(self.service.words.customers["acme"], words.customers["acme"])
        self.assertEqual(words.customers["acme"].quota_rate, 1.0)
        self.assertEqual(self.service.loop.scheduler.slow_start_share, 0.5)

    async def test_a_wrong_file_changes_nothing_and_every_error_is_reported(self) -> None:
        self.begin()
        words, served = self.service.words, self.dispatcher.configuration
        self.path.write_text(
            json.dumps(
                {
                    **BASE,
                    "customers": [{"name": "acme", "allowance": -1}],
                    "schemes": [{"name": "render", "semantics": "never", "expiry": "1s"}],
                }
            )
        )
        with self.assertRaises(InvalidConfigError) as caught:
            self.dispatcher.moved()
        self.assertEqual(
            [fault.path for fault in caught.exception.faults],
            ["schemes[0].semantics", "customers[0].allowance"],
        )
        self.assertIs(self.service.words, words)
        self.assertIs(self.dispatcher.configuration, served)

    async def test_a_key_that_does_not_fit_an_unchanged_one_stays_too(self) -> None:
        self.begin()
        wanted = [{**BASE["schemes"][0], "machine": "m9"}]
        unchanged = self.reload(machines=["m9"], schemes=wanted, discovery="127.0.0.1:10")
        self.assertEqual(sorted(unchanged), ["machines", "schemes"])
        self.assertEqual(self.dispatcher.configuration.discovery, "127.0.0.1:10")
        self.ask("a", "charge")

    async def test_quotas_of_a_reloaded_file_reach_the_member_with_its_share(self) -> None:
        self.begin(fleet=FLEET)
        limiter = QuotaLimiter("d0", 1, {"gpu": QuotaConfig(30, 30, 10 * TICKS)}, Random(1), 0)
        self.dispatcher._membership = mock.Mock(retune=lambda dealt: limiter.retune(dealt, 1))
        self.reload(fleet={**FLEET, "budgets": {"gpu": 20, "cpu": 9}})
        self.assertEqual(
            {name: one.dealt for name, one in limiter.budgets.items()},
            {"gpu": QuotaConfig(20, 20, 10 * TICKS), "cpu": QuotaConfig(9, 9, 10 * TICKS)},
        )
        self.assertEqual(limiter.budgets["gpu"].state.part, 20)

    async def test_a_first_fleet_table_asks_for_a_restart_with_all_its_keys(self) -> None:
        """Its quotas were once taken over into a table that was not there, which failed at SIGHUP."""
        self.begin()
        self.reload(fleet=FLEET, customers=[{"name": "acme", "allowance": 3.0}])
        self.assertIsNone(self.dispatcher.configuration.fleet)

    async def test_a_waiting_durable_job_is_served_by_the_terms_under_which_it_was_accepted(self) -> None:
        path = self.path.with_name("jobs.db")
        self.begin(
            lambda arguments: JobService(
                *arguments,
                store=Store(path, ThreadWriter()),
                options=JobServiceOptions(20 * SECOND, 3600 * SECOND, SECOND, SECOND, 500),
                rng=Random(1),
            )
        )
        self.service.recovery.is_done = True
        said = {b"req-kind": b"charge", b"req-owner": b"zeta", b"idempotency-key": b"k"}
        call = Message(b"POST", b"/jobs/charge", headers=said, raw_headers=list(said.items()))
        self.service.take(call, lambda *answer: self.answers.append(answer[:2]))
        job = next(iter(self.service.registry.jobs.values()))
        self.reload(customers=BASE["customers"][:1], schemes=BASE["schemes"][:1])
        self.assertEqual(self.service.run_queue.open_entry(job).txn.scheme.expiry, 10 * SECOND)
        self.assertIsNone(job.request_parser, "old words are not kept with what has ended")
        async with asyncio.timeout(20.0):
            await asyncio.gather(*self.service._tasks)


class TenantQuota(unittest.TestCase):
    def over(self, host: Any, customer: Any, rate: int, seconds: int) -> int:
        """How many of its txns were over its share."""
        found = 0
        for n in range(rate * seconds):
            txn = host.ask(f"{customer.index}-{host.now}-{n}", customer=customer)
            found += txn.is_over_share
            host.passes(SECOND // rate)
        return found

    def test_a_quota_changed_under_load_binds_from_the_next_request_on(self) -> None:
        served = configuration_of(customers=[{"name": "acme", "allowance": 20.0}])
        made = birth(json.dumps(platform_config(served))).scheduler
        host = FakeHost(*made.schemes, customers=made.customers)
        acme = made.customers[0]
        self.assertEqual(self.over(host, acme, 10, 10), 0)
        account = host.loop.scheduler.customer_usage[acme]
        acme.quota_rate = 2.0
        host.loop.scheduler.update_config(made)
        self.assertIs(host.loop.scheduler.customer_usage[acme], account)
        lowered = self.over(host, acme, 10, 20)
        self.assertGreater(lowered, 100, "eight in ten are beyond it")
        acme.quota_rate = 20.0
        host.loop.scheduler.update_config(made)
        host.passes(SECOND)
        self.assertEqual(self.over(host, acme, 10, 10), 0)

    def test_a_longer_fall_time_holds_back_from_workers_that_warm_up_until_it_has_passed(self) -> None:
        made = birth(json.dumps(platform_config(configuration_of()))).scheduler
        host = FakeHost(scheme())
        choice = host.loop.scheduler
        host.passes(5 * SECOND)
        host.loop.set_now(host.now)
        made.overload_window = 4 * SECOND
        choice.update_config(made)
        self.assertEqual(choice.history_start, host.now)
        made.overload_window = SECOND
        host.passes(SECOND)
        host.loop.set_now(host.now)
        choice.update_config(made)
        self.assertEqual(choice.history_start, host.now - SECOND)


class KeysThatAskForARestart(unittest.TestCase):
    def named(self, before: dict[str, Any], after: dict[str, Any]) -> list[str]:
        found = configuration.restart_required(configuration_of(**before), configuration_of(**after))
        self.assertEqual(
            found,
            [
                f"{key}: {why}"
                for key, why in restart_reasons(configuration_of(**before), configuration_of(**after)).items()
            ],
        )
        for line in found:
            self.assertTrue(line.partition(": ")[2], line)
        return [line.partition(":")[0] for line in found]

    def test_each_key_that_asks_for_a_restart_is_named(self) -> None:
        for after, key in (
            ({"listen": "127.0.0.1:1"}, "listen"),
            ({"tick": "3ms"}, "tick"),
            ({"seed": "ab"}, "seed"),
            ({"limits": {"open": 9}}, "limits.open"),
            ({"jobs": {"path": "x.db"}}, "jobs.path"),
            ({"customers": []}, "customers"),
            ({"zones": ["there"]}, "zones"),
            ({"rules": {"ask_within": "1s"}}, "rules.ask_within"),
            ({"reach": {"idle": "1s"}}, "reach.idle"),
        ):
            self.assertIn(key, self.named({}, after))
        self.assertEqual(self.named({"fleet": {**FLEET, "budgets": {}}}, {"fleet": FLEET}), ["fleet.budgets"])
        self.assertEqual(
            self.named({"fleet": FLEET}, {"fleet": {**FLEET, "listen": "127.0.0.1:7198"}}), ["fleet.listen"]
        )

    def test_keys_that_may_change_ask_for_no_restart(self) -> None:
        self.assertEqual(
            self.named(
                {"fleet": FLEET},
                {
                    "fleet": {**FLEET, "budgets": {"gpu": 20, "cpu": 9}},
                    "zones": ["here", "there"],
                    "rules": {"cold_time": "8s"},
                    "customers": BASE["customers"][:1],
                    "schemes": BASE["schemes"][:1],
                    "allowed": {"probe": False, "postings": 2},
                },
            ),
            [],
        )

    def test_every_key_may_change_or_has_its_reason(self) -> None:
        for key, kind, _, _ in explain_keys(Configuration):
            if kind not in TABLES and key.partition("[]")[0] not in RELOADABLE_KEYS:
                parts = key.split(".")
                self.assertTrue(
                    any(".".join(parts[:n]) in RESTART_REASONS for n in range(1, len(parts) + 1)), key
                )
        before = configuration_of(fleet=FLEET, name="d0")
        self.assertEqual(reloaded(before, before), (before, {}))


class SharedEntries(unittest.TestCase):
    def test_entries_encoded_and_decoded_give_the_same_configuration(self) -> None:
        one = configuration_of(
            fleet=FLEET, name="d0", rules={"cold_time": "1234567.8ms"}, zones=["here", "b"]
        )
        rows = configuration.entries_of(one)
        self.assertEqual(
            sorted(rows),
            [
                "budgets.gpu",
                "customers.acme",
                "customers.zeta",
                "rules",
                "schemes.charge",
                "schemes.render",
                "zones",
            ],
        )
        back = configuration.configuration_with(one, rows)
        self.assertEqual(configuration.entries_of(back), rows)
        self.assertEqual(configuration.changed_entries(one, back), [])
        anew = configuration.configuration_with(configuration_of(fleet=FLEET, name="d0"), rows)
        self.assertEqual(anew.rules.cold_time, 12_345_678)

    def test_all_errors_name_their_entry_and_nothing_is_changed(self) -> None:
        one = configuration_of(fleet=FLEET, name="d0")
        rows = configuration.entries_of(one)
        bad = {
            **rows,
            "customers.acme": b'{"allowance":-1,"portoin":0.1}',
            "schemes.render": b'{"expiry":"5s"}',
            "budgets.gpu": b'"many"',
            "rules": b'{"cold_share":2}',
            "colour": b'"blue"',
            "zones": b"{",
            "members.d0": b"{}",
        }
        with self.assertRaises(InvalidConfigError) as caught:
            configuration.configuration_with(one, bad)
        self.assertEqual(
            sorted(fault.path for fault in caught.exception.faults),
            [
                "budgets.gpu",
                "colour",
                "customers.acme.allowance",
                "customers.acme.portoin",
                "rules.cold_share",
                "schemes.render.semantics",
                "zones",
                "zones",
            ],
        )
        self.assertEqual(configuration.entries_of(one), rows)
        with self.assertRaises(InvalidConfigError) as caught:
            configuration.configuration_with(
                one, {**rows, "schemes.render": b'{"expiry":"5s","machine":"m9","semantics":"repeatable"}'}
            )
        self.assertEqual([fault.path for fault in caught.exception.faults], ["schemes.render.machine"])

    def test_an_unchanged_entry_is_not_decoded_again(self) -> None:
        one = configuration_of()
        rows = configuration.entries_of(one)
        two = configuration.configuration_with(
            one, {**rows, "customers.acme": b'{"allowance":7,"portion":0}'}, rows
        )
        self.assertIs(two.schemes[1], one.schemes[0])
        self.assertEqual(
            configuration.changed_entries(one, two), [("customers.acme", b'{"allowance":7.0,"portion":0.0}')]
        )


class FleetQuota(unittest.TestCase):
    MEMBERS, LEASE = 5, 2 * TICKS

    def setUp(self) -> None:
        self.now, self.chance = 0, Random(3)
        self.limiters = [
            QuotaLimiter(f"m{n}", 1, {"b": self.dealt(100, n)}, Random(n), 0) for n in range(self.MEMBERS)
        ]
        for limiter in self.limiters:
            limiter.there = [other.name for other in self.limiters]

    def dealt(self, rate: int, number: int) -> QuotaConfig:
        return QuotaConfig(rate, equal_part(rate, self.MEMBERS, number), self.LEASE)

    def passes(self, ticks: int, bound: int) -> int:
        """Two members want all; at no instant is more usable than the bound. The most that was lent."""
        most = 0
        for _ in range(ticks // 500):
            self.now += 500
            for limiter in self.limiters[:2]:
                if "b" in limiter.budgets:
                    limiter.try_acquire("b", 5, self.now)
            for limiter in self.limiters:
                limiter.heard_at = self.now
                limiter.wake(self.now)
            for limiter in self.limiters:
                out, limiter.out = limiter.out, []
                for to, budget, said in out:
                    other = next(one for one in self.limiters if one.name == to)
                    if isinstance(said, QuotaRequest):
                        other.asked(budget, said, self.now)
                    elif isinstance(said, Grant):
                        other.lent(budget, said, self.now)
                    elif isinstance(said, Release) and self.chance.random() < 0.5:
                        other.returned(budget, said, self.now)
            states = [one.budgets["b"].state for one in self.limiters if "b" in one.budgets]
            self.assertLessEqual(sum(max(0, state.usable(self.now)) for state in states), bound)
            most = max(most, sum(loan.units for state in states for loan in state.lent))
        return most

    def test_lowered_under_leases_the_old_rate_binds_until_the_last_ends_then_the_new_one(self) -> None:
        self.assertGreater(self.passes(20 * TICKS, 100), 10)
        for n, limiter in enumerate(self.limiters):  # one after the other hears of it
            limiter.retune({"b": self.dealt(40, n)}, self.now)
            self.passes(TICKS // 2, 100)
        self.passes(int(1.1 * (self.LEASE + WINDOW)) + TICKS, 100)
        self.passes(20 * TICKS, 40)
        self.limiters[0].retune({"b": self.dealt(100, 0)}, self.now)
        self.assertGreaterEqual(
            self.limiters[0].budgets["b"].state.usable(self.now), 10, "raised, it is had at once"
        )

    def test_a_lowered_share_renews_no_more_than_itself_whatever_else_it_holds(self) -> None:
        self.now = 10 * TICKS
        owner, taker = self.limiters[0], self.limiters[1]
        owner.asked("b", QuotaRequest(taker.name, 1, 1, 10), self.now)
        self.assertEqual([said.units for _, _, said in owner.out if isinstance(said, Grant)], [10])
        one = owner.budgets["b"]
        one.state = dataclasses.replace(one.state, held=(HeldLease("m2", 1, 1, 20, self.now + 100 * TICKS),))
        owner.retune({"b": self.dealt(20, 0)}, self.now)
        owner.asked("b", QuotaRequest(taker.name, 1, 2, 10, renews=1), self.now)
        self.assertEqual([said.units for _, _, said in owner.out if isinstance(said, Grant)], [10, 4])

    def test_removed_and_added_again_a_quota_uses_nothing_that_may_still_be_leased(self) -> None:
        self.passes(20 * TICKS, 100)
        asked = self.limiters[0].budgets["b"].state.asked
        for limiter in self.limiters:
            limiter.retune({}, self.now)
        with self.assertRaises(KeyError):
            self.limiters[0].try_acquire("b", 1, self.now)
        for n, limiter in enumerate(self.limiters):
            limiter.retune({"b": self.dealt(100, n)}, self.now)
            self.assertLessEqual(limiter.budgets["b"].state.usable(self.now), 10)
        self.assertGreaterEqual(self.limiters[0].budgets["b"].state.asked, asked)
        self.passes(20 * TICKS, 100)


class Sighup(Shutdown):
    """The program with an operator's file, and SIGHUP."""

    def write_file(self, *customers: str, **more: Any) -> None:
        (self.folder / "charter.json").write_text(
            json.dumps(
                {
                    **BASE,
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": self.discovery,
                    "customers": [{"name": name, "allowance": 50.0} for name in customers],
                    **more,
                }
            )
        )

    async def begins(self) -> None:
        self.listed = await self.workers(1)
        self.discovery = await self.listen(self.tells_list)
        self.write_file("acme")
        self.program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pathsaddle",
            "serve",
            str(self.folder / "charter.json"),
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.gone)
        async with asyncio.timeout(20.0):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.call(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                        return
                await asyncio.sleep(0.02)

    async def test_a_new_tenant_is_served_after_sighup_and_connections_and_open_requests_stay(self) -> None:
        await self.begins()
        nova = job("n", within=9000).replace(b"acme", b"nova")
        self.assertEqual((await self.call(nova))[0], 403)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(job("written-1", within=9000))
        async with asyncio.timeout(20.0):
            await self.event(self.came, "written-1").wait()
        self.write_file("nova")
        self.program.send_signal(signal.SIGHUP)
        await self.says(b"configuration read again")
        self.assertEqual(
            await asyncio.wait_for(self.call(nova.replace(b"Id: n", b"Id: n2")), 20.0), (200, b"HELLO")
        )
        self.assertEqual((await self.call(job("x")))[0], 403)
        self.event(self.told, "written-1").set()
        async with asyncio.timeout(20.0):
            self.assertEqual(await one_answer(reader), (200, b"HELLO"), "taken, it ends by its terms")
            writer.write(nova.replace(b"Id: n", b"Id: n3"))
            self.assertEqual(await one_answer(reader), (200, b"HELLO"), "on the same connection")
        writer.close()
        self.write_file("acme", seed="ff")
        self.program.send_signal(signal.SIGHUP)
        await self.says(b"seed can't change in service")
        self.program.send_signal(signal.SIGTERM)
        async with asyncio.timeout(30.0):
            self.assertEqual(await self.program.wait(), 0)


if __name__ == "__main__":
    unittest.main()
