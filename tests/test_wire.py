"""Stories of the wire on bytes alone: no socket is opened here."""

import json
import unittest

from pathsaddle.net.wire import forms, terms
from pathsaddle.net.wire.forms import Words
from pathsaddle.net.wire.http import MAX_BODY_BYTES, Broken, Called, Calling, Message
from pathsaddle.net.wire.ring import INITIAL_BYTES, Ring
from pathsaddle.scheduler_types import ListedState, ListUpdate, Outcome, Semantics
from tests.fakehost import SETTINGS

JOB = (
    b"POST /render?k=7f HTTP/1.1\r\nHost: app.svc\r\nReq-Id: a1\r\nReq-Kind: render\r\nReq-Owner: acme\r\n"
    b"Req-Deadline-Ms: 480\r\nReq-Cost: 1234\r\nReq-Extra: slots=2,memory=1.5\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)


def words() -> Words:
    return Words(SETTINGS, terms.terms(SETTINGS))


def called(*pieces: bytes) -> Called:
    machine = Called()
    for piece in pieces:
        machine.feed(piece)
    return machine


class RingStory(unittest.TestCase):
    def test_bytes_come_out_as_they_went_in_round_the_end_and_through_growth(self) -> None:
        ring, went, came = Ring(), bytearray(), bytearray()
        for turn in range(200):
            piece = bytes([turn]) * (1 + turn * 37 % 3000)
            ring.put(piece)
            went += piece
            part = ring.data()[: 1 + turn * 53 % 2500]
            came += part
            ring.drop(len(part))
        while ring:
            came += ring.data()
            ring.drop(len(ring.data()))
        self.assertEqual(came, went)

    def test_a_full_one_offers_no_space_and_an_empty_one_gives_growth_back(self) -> None:
        ring = Ring()
        ring.put(b"x" * INITIAL_BYTES)
        self.assertTrue(ring.full)
        self.assertEqual(len(ring.space()), 0)
        ring.put(b"y" * 3 * INITIAL_BYTES)
        ring.drop(len(ring.data()))
        ring.rest()
        self.assertEqual(len(ring.space()), INITIAL_BYTES)
        ring.rest()
        self.assertFalse(ring.full)

    def test_bytes_read_while_those_before_them_were_dropped_are_kept_in_place(self) -> None:
        ring = Ring()
        ring.put(b"abc")
        pending = ring.space()
        ring.drop(3)
        pending[:2] = b"de"
        ring.fill(2)
        self.assertEqual(bytes(ring.data()), b"de")


class CalledStory(unittest.TestCase):
    def test_bytes_split_anywhere_are_the_same_call(self) -> None:
        for cut in range(1, len(JOB)):
            call = called(JOB[:cut], JOB[cut:]).next()
            assert call is not None
            self.assertEqual(
                (call.method, call.target, call.body, call.headers[b"req-id"], call.keep),
                (b"POST", b"/render?k=7f", b"hello", b"a1", True),
            )

    def test_one_call_at_a_time_and_the_next_after_its_answer(self) -> None:
        machine = called(JOB + JOB.replace(b"a1", b"a2"))
        self.assertIsNotNone(machine.next())
        self.assertIsNone(machine.next())
        self.assertIn(b"Content-Length: 2\r\n\r\nok", machine.answer(200, b"ok"))
        second = machine.next()
        self.assertEqual(second and second.headers[b"req-id"], b"a2")

    def test_a_caller_that_wants_the_connection_closed_is_told_so(self) -> None:
        machine = called(JOB.replace(b"Host", b"Connection: close\r\nHost"))
        machine.next()
        self.assertIn(b"Connection: close", machine.answer(200))
        self.assertTrue(machine.over)

    def test_bodies_to_64_kib_pass_and_more_is_413_however_it_is_framed(self) -> None:
        def sized(size: int) -> bytes:
            return JOB.replace(b"Content-Length: 5", b"Content-Length: %d" % size)[:-5] + b"x" * size

        whole = called(sized(MAX_BODY_BYTES)).next()
        self.assertEqual(whole and len(whole.body), MAX_BODY_BYTES)
        chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
        chunked = JOB.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
        for much in (sized(MAX_BODY_BYTES + 1), chunked + chunk * 3):
            machine = called(much)
            self.assertIsNone(machine.next())
            self.assertTrue(machine.objection().startswith(b"HTTP/1.1 413"))
        whole = called(chunked + chunk * 2 + b"0\r\n\r\n").next()
        self.assertEqual(whole and len(whole.body), MAX_BODY_BYTES)

    def test_malformed_bytes_are_400_after_the_calls_before_them(self) -> None:
        machine = called(JOB + b"\x00what is this\r\n\r\n")
        self.assertIsNotNone(machine.next())
        self.assertEqual(machine.objection(), b"")
        machine.answer(200)
        self.assertTrue(machine.objection().startswith(b"HTTP/1.1 400"))
        self.assertTrue(machine.over)

    def test_what_hides_another_call_or_is_half_understood_is_never_a_call(self) -> None:
        framed, chunked = b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n"
        for head, status in (
            (framed + chunked, 400),
            (chunked + framed, 400),
            (framed * 2, 400),
            (framed + b" a: b\r\n", 400),
            (chunked.replace(b": ", b" : "), 400),
            (b"Transfer-Encoding: gzip, chunked\r\n", 501),
            (b"Content-Length: -5\r\n", 400),
            (b"Content-Length: 60000000 \r\n", 413),
            (b"Content-Length: " + b"9" * 30 + b"\r\n", 400),
            (framed + b"Req-Id: b2\r\n", 400),
        ):
            machine = called(JOB.replace(framed, head))
            self.assertIsNone(machine.next(), head)
            self.assertTrue(machine.objection().startswith(b"HTTP/1.1 %d" % status), head)
        for version, status in ((b"HTTP/2.0", 505), (b"HTTP/1.9", 400), (b"", 400)):
            machine = called(JOB.replace(b"HTTP/1.1", version))
            self.assertIsNone(machine.next())
            self.assertTrue(machine.objection().startswith(b"HTTP/1.1 %d" % status))

    def test_a_trailer_changes_nothing_of_what_was_said_in_the_head(self) -> None:
        call = called(
            JOB.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
            + b"5\r\nhello\r\n0\r\nReq-Id: b2\r\n\r\n"
        ).next()
        self.assertEqual(call and (call.headers[b"req-id"], call.body), (b"a1", b"hello"))
        self.assertNotIn((b"Req-Id", b"b2"), call and call.lines)

    def test_a_line_or_framing_without_end_is_objected_to_before_it_takes_memory(self) -> None:
        chunked = JOB.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
        for begins, piece, status in (
            (b"GET / HTTP/1.1\r\nX: ", b"y" * 1000, 431),
            (b"GET /", b"y" * 1000, 431),
            (chunked + b"1;", b"y" * 1000, 413),
            (chunked + b"0\r\nX: ", b"y" * 1000, 413),
        ):
            machine, fed = called(begins), 0
            while not machine.objection():
                machine.feed(piece)
                fed += len(piece)
                self.assertLess(fed, 600_000)
            self.assertEqual(machine.fault and machine.fault.status, status)

    def test_a_head_without_end_is_refused(self) -> None:
        machine = called(b"GET / HTTP/1.1\r\n", b"X: " + b"y" * 20000 + b"\r\nZ: 1\r\n")
        self.assertTrue(machine.objection().startswith(b"HTTP/1.1 431"))

    def test_a_caller_that_waits_for_continue_gets_it(self) -> None:
        machine = called(JOB[:-5].replace(b"Host", b"Expect: 100-continue\r\nHost"))
        self.assertTrue(machine.go_on().startswith(b"HTTP/1.1 100"))
        self.assertEqual(machine.go_on(), b"")
        machine.feed(b"hello")
        self.assertIsNotNone(machine.next())


class CallingStory(unittest.TestCase):
    def test_an_answer_split_anywhere_is_the_same_answer(self) -> None:
        answer = (
            b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nSrv-Load: inflight=7,queue=2,x0=0.5\r\n"
            b"Content-Length: 2\r\n\r\nno"
        )
        for cut in range(1, len(answer)):
            machine = Calling()
            machine.ask("POST", b"/render", "w:1", [])
            came = machine.feed(answer[:cut]) or machine.feed(answer[cut:])
            assert came is not None
            self.assertEqual(forms.outcome_of(came), Outcome.FULL)
            report = words().report_in(came)
            self.assertEqual(
                report and (report.held_slots, report.queued_jobs, report.free_slots), (7.0, 2.0, 0.5)
            )

    def test_bytes_without_a_call_are_no_answer(self) -> None:
        with self.assertRaises(Broken):
            Calling().feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def test_only_202_takes_a_posting_and_only_a_marked_503_says_it_never_ran(self) -> None:
        marked = {b"srv-declined": b"1"}
        for status, headers, outcome in (
            (202, {}, None),
            (503, marked, Outcome.FULL),
            (504, marked, Outcome.FULL),
            (503, {}, Outcome.ERROR),
            (500, {}, Outcome.ERROR),
            (200, {}, Outcome.ERROR),
            (429, {}, Outcome.ERROR),
            (400, {}, Outcome.UNUSABLE),
            (404, marked, Outcome.UNUSABLE),
        ):
            self.assertEqual(forms.outcome_of(Message(status=status, headers=headers)), outcome)

    def test_lines_of_the_list_split_anywhere_and_empty_ones_are_beats(self) -> None:
        row = (
            json.dumps(
                {
                    "index": 43,
                    "snapshot": False,
                    "endpoints": [
                        {
                            "name": "s-1",
                            "address": "10.1.0.18:8000",
                            "zone": "b",
                            "type": "m2",
                            "group": 3,
                            "status": "leaving",
                            "weight": 0.5,
                            "since_ms": 1234567,
                        }
                    ],
                }
            ).encode()
            + b"\n\n"
        )
        flow = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
            b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (row[i : i + 7] for i in range(0, len(row), 7))
        )
        for cut in range(1, len(flow)):
            machine = Calling(streams=True)
            machine.ask("GET", forms.watch_target(41), "d:1", [])
            machine.feed(flow[:cut])
            lines = machine.records()
            machine.feed(flow[cut:])
            lines += machine.records()
            self.assertEqual(len(lines), 2)
            index, news, rows = words().list_line(lines[0])
            worker = rows[0].worker
            self.assertEqual((index, news, rows[0].address), (43, ListUpdate.CHANGES, "10.1.0.18:8000"))
            self.assertEqual(
                (worker.zone, worker.machine, worker.cell, worker.listed_state, worker.started_at),
                (1, 1, 3, ListedState.DRAINING, 12345670),
            )

    def test_a_list_may_come_indented_and_a_worker_may_be_called_by_a_brace(self) -> None:
        """Read a line at a time, each of its lines was malformed: the watch ended at the first, again and again."""
        told = {
            "index": 43,
            "snapshot": True,
            "endpoints": [
                {"name": name, "address": name, "zone": "a", "type": "m2", "status": "active"}
                for name in ("w}{", 'w"}\\', "w")
            ],
        }
        for indent in (None, 0, 2):
            body = json.dumps(told, indent=indent).encode() + b"\n\n"
            flow = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(body), body)
            for cut in range(1, len(flow)):
                machine = Calling(streams=True)
                machine.ask("GET", forms.watch_target(0), "d:1", [])
                machine.feed(flow[:cut])
                records = machine.records()
                machine.feed(flow[cut:])
                records += machine.records()
                self.assertEqual((len(records), records[1]), (2, b""))
                self.assertEqual(
                    [row.address for row in words().list_line(records[0])[2]], ["w}{", 'w"}\\', "w"]
                )

    def test_an_object_without_end_is_refused_before_it_takes_memory(self) -> None:
        machine = Calling(streams=True)
        machine.ask("GET", forms.watch_target(0), "d:1", [])
        machine.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self.assertRaises(Broken):
            for _ in range(80):
                machine.feed(b"10000\r\n" + b'{"a":\n'.ljust(65_536) + b"\r\n")
                machine.records()


class FormsStory(unittest.TestCase):
    def test_a_status_that_nobody_knows_spoils_no_line_and_gets_nothing_new(self) -> None:
        _, _, rows = words().list(
            {
                "index": 1,
                "endpoints": [{"name": "a", "status": "dreaming"}, {"name": "b", "status": "active"}],
            }
        )
        self.assertEqual([row.worker.listed_state for row in rows], [ListedState.DRAINING, ListedState.READY])

    def test_a_call_becomes_a_txn_with_every_time_on_the_safe_side(self) -> None:
        call = called(JOB.replace(b"480", b"480.06")).next()
        assert call is not None
        txn = words().txn(call, 1000)
        self.assertEqual(
            (txn.tag, txn.expires_at, txn.hint, txn.slots, txn.memory, txn.is_retry),
            ("a1", 1000 + 4800, 13, 2.0, 1.5, False),
        )
        self.assertIs(txn.scheme.semantics, Semantics.REPEATABLE)
        self.assertEqual(
            [forms.key_of(target) for target in (b"/x", b"/x?k=", b"/x?a=1&k=u7&k=u8", b"/x?kk=1")],
            [None, None, "u7", None],
        )
        self.assertEqual(txn.customer and txn.customer.index, 0)

    def test_what_a_client_says_goes_on_but_for_what_belongs_to_its_connection(self) -> None:
        call = called(JOB.replace(b"Host", b"Idempotency-Key: k1\r\nConnection: keep-alive\r\nHost")).next()
        assert call is not None
        headers = forms.posting_headers(call, 799)  # without its mark a repeat would not be known there
        self.assertEqual(
            headers,
            [
                (b"Idempotency-Key", b"k1"),
                (b"Req-Id", b"a1"),
                (b"Req-Kind", b"render"),
                (b"Req-Owner", b"acme"),
                (b"Req-Cost", b"1234"),
                (b"Req-Extra", b"slots=2,memory=1.5"),
                (b"Req-Deadline-Ms", b"79"),
            ],
        )

    def test_what_is_no_txn_is_refused_by_the_reason(self) -> None:
        figures = [b"soon", b"inf", b"nan", b"", b"-5", b"1_0", b"9" * 12, b"9" * 23, b"1e400", b"+1"]
        for old, new, status in (
            (b"Req-Id: a1", b"X: 1", 400),
            (b"Req-Id: a1", b"Req-Id: a 1", 400),
            (b"Req-Id: a1", b"Req-Id: " + b"a" * 200, 400),
            (b"Req-Kind: render", b"Req-Kind: x", 404),
            (b"Req-Kind: render", b"Req-Kind: charge", 400),
            (b"/render", b"/", 404),
            (b"acme", b"nobody", 403),
            (b"slots=2", b"slots=nan", 400),
            (b"slots=2", b"slots=0", 400),
            (b"memory=1.5", b"memory=inf", 400),
            (b"1234", b"-1", 400),
            *((b"480", figure, 400) for figure in figures),
        ):
            call = called(JOB.replace(old, new)).next()
            assert call is not None
            with self.assertRaises(Broken) as refused:
                words().txn(call, 0)
            self.assertEqual(refused.exception.status, status)

    def test_a_callback_carries_result_and_load_and_a_broken_one_is_refused(self) -> None:
        told = words().callback(
            b'{"id":"a1","from":"s-1","state":"done","result":"\\u00e9","load":{"x0":1,"util":0.5}}'
        )
        self.assertEqual((told.tag, told.worker), ("a1", "s-1"))
        self.assertEqual((told.outcome, told.note), (Outcome.SETTLED, False))
        self.assertEqual(told.result, "é".encode())
        self.assertEqual(told.report and told.report.free_slots, 1.0)
        for body in (b"", b"[]", b"{", b'{"id":"a1"}', b'{"id":1,"from":2,"state":"running","share":"x"}'):
            with self.assertRaises(Broken):
                words().callback(body)

    def test_both_forms_of_a_load_report_and_one_that_is_none(self) -> None:
        for body in (b'{"x0":2,"queue":1}', b'{"load":{"x0":2,"waiting":1}}', b"x0=2, queue=1"):
            report = words().report_in(Message(status=200, body=body))
            self.assertEqual(report and (report.free_slots, report.queued_jobs), (2.0, 1.0))
        for body in (b"", b"OK", b"{", b"x0=?", b"err_rps=0,rps=0.000,waiting=0,x0=0"):
            self.assertIsNone(words().report_in(Message(status=200, body=body)))
