"""The wire formats on bytes alone, without sockets."""

import gc
import json
import unittest
import weakref

from pathsaddle.net.wire import forms, terms
from pathsaddle.net.wire.forms import MessageDecoder
from pathsaddle.net.wire.http import (
    MAX_BODY_BYTES,
    MAX_HEADERS,
    ClientProtocol,
    HttpError,
    Message,
    ServerProtocol,
)
from pathsaddle.net.wire.ring import INITIAL_BYTES, Ring
from pathsaddle.scheduler_types import ListedState, ListUpdate, Outcome, Semantics
from tests.fakehost import SETTINGS

REQUEST = (
    b"POST /render?k=7f HTTP/1.1\r\nHost: app.svc\r\nReq-Id: a1\r\nReq-Kind: render\r\nReq-Owner: acme\r\n"
    b"Req-Deadline-Ms: 480\r\nReq-Cost: 1234\r\nReq-Extra: slots=2,memory=1.5\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)


def words() -> MessageDecoder:
    return MessageDecoder(SETTINGS, terms.terms(SETTINGS))


def parse_requests(*pieces: bytes) -> ServerProtocol:
    machine = ServerProtocol()
    for piece in pieces:
        machine.feed(piece)
    return machine


class RingTest(unittest.TestCase):
    def test_bytes_keep_their_order_through_wraparound_and_growth(self) -> None:
        ring, written, read = Ring(), bytearray(), bytearray()
        for i in range(200):
            piece = bytes([i]) * (1 + i * 37 % 3000)
            ring.put(piece)
            written += piece
            part = ring.data()[: 1 + i * 53 % 2500]
            read += part
            ring.drop(len(part))
        while ring:
            read += ring.data()
            ring.drop(len(ring.data()))
        self.assertEqual(read, written)

    def test_a_full_buffer_has_no_space_and_an_empty_one_frees_its_growth(self) -> None:
        ring = Ring()
        ring.put(b"x" * INITIAL_BYTES)
        self.assertTrue(ring.is_full)
        self.assertEqual(len(ring.free_space()), 0)
        ring.put(b"y" * 3 * INITIAL_BYTES)
        ring.drop(len(ring.data()))
        ring.release_if_empty()
        self.assertEqual(len(ring.free_space()), INITIAL_BYTES)
        ring.release_if_empty()
        self.assertFalse(ring.is_full)

    def test_a_pending_read_stays_valid_while_the_bytes_before_it_are_dropped(self) -> None:
        ring = Ring()
        ring.put(b"abc")
        pending = ring.free_space()
        ring.drop(3)
        pending[:2] = b"de"
        ring.fill(2)
        self.assertEqual(bytes(ring.data()), b"de")


class CalledTest(unittest.TestCase):
    def test_a_request_split_anywhere_is_the_same_request(self) -> None:
        for cut in range(1, len(REQUEST)):
            call = parse_requests(REQUEST[:cut], REQUEST[cut:]).next_request()
            assert call is not None
            self.assertEqual(
                (call.method, call.target, call.body, call.headers[b"req-id"], call.keep_alive),
                (b"POST", b"/render?k=7f", b"hello", b"a1", True),
            )

    def test_the_next_request_is_returned_after_the_response_to_the_one_before(self) -> None:
        machine = parse_requests(REQUEST + REQUEST.replace(b"a1", b"a2"))
        self.assertIsNotNone(machine.next_request())
        self.assertIsNone(machine.next_request())
        self.assertIn(b"Content-Length: 2\r\n\r\nok", machine.respond(200, b"ok"))
        second = machine.next_request()
        self.assertEqual(second and second.headers[b"req-id"], b"a2")

    def test_the_response_to_connection_close_says_close(self) -> None:
        machine = parse_requests(REQUEST.replace(b"Host", b"Connection: close\r\nHost"))
        machine.next_request()
        self.assertIn(b"Connection: close", machine.respond(200))
        self.assertTrue(machine.is_closed)

    def test_bodies_up_to_64_kib_are_accepted_and_larger_ones_get_413_in_either_framing(self) -> None:
        def request_of(size: int) -> bytes:
            return REQUEST.replace(b"Content-Length: 5", b"Content-Length: %d" % size)[:-5] + b"x" * size

        request = parse_requests(request_of(MAX_BODY_BYTES)).next_request()
        self.assertEqual(request and len(request.body), MAX_BODY_BYTES)
        chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
        chunked = REQUEST.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
        for too_large in (request_of(MAX_BODY_BYTES + 1), chunked + chunk * 3):
            machine = parse_requests(too_large)
            self.assertIsNone(machine.next_request())
            self.assertTrue(machine.error_response().startswith(b"HTTP/1.1 413"))
        request = parse_requests(chunked + chunk * 2 + b"0\r\n\r\n").next_request()
        self.assertEqual(request and len(request.body), MAX_BODY_BYTES)

    def test_malformed_bytes_get_400_after_the_responses_to_the_requests_before_them(self) -> None:
        machine = parse_requests(REQUEST + b"\x00what is this\r\n\r\n")
        self.assertIsNotNone(machine.next_request())
        self.assertEqual(machine.error_response(), b"")
        machine.respond(200)
        self.assertTrue(machine.error_response().startswith(b"HTTP/1.1 400"))
        self.assertTrue(machine.is_closed)

    def test_ambiguous_framing_and_unknown_versions_are_rejected(self) -> None:
        content_length, chunked = b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n"
        for head, status in (
            (content_length + chunked, 400),
            (chunked + content_length, 400),
            (content_length * 2, 400),
            (content_length + b" a: b\r\n", 400),
            (chunked.replace(b": ", b" : "), 400),
            (b"Transfer-Encoding: gzip, chunked\r\n", 501),
            (b"Content-Length: -5\r\n", 400),
            (b"Content-Length: 60000000 \r\n", 413),
            (b"Content-Length: " + b"9" * 30 + b"\r\n", 400),
            (content_length + b"Req-Id: b2\r\n", 400),
        ):
            machine = parse_requests(REQUEST.replace(content_length, head))
            self.assertIsNone(machine.next_request(), head)
            self.assertTrue(machine.error_response().startswith(b"HTTP/1.1 %d" % status), head)
        for version, status in ((b"HTTP/2.0", 505), (b"HTTP/1.9", 400), (b"", 400)):
            machine = parse_requests(REQUEST.replace(b"HTTP/1.1", version))
            self.assertIsNone(machine.next_request())
            self.assertTrue(machine.error_response().startswith(b"HTTP/1.1 %d" % status))

    def test_trailer_fields_do_not_change_the_headers(self) -> None:
        call = parse_requests(
            REQUEST.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
            + b"5\r\nhello\r\n0\r\nReq-Id: b2\r\n\r\n"
        ).next_request()
        self.assertEqual(call and (call.headers[b"req-id"], call.body), (b"a1", b"hello"))
        self.assertNotIn((b"Req-Id", b"b2"), call and call.raw_headers)

    def test_an_endless_line_or_chunk_header_is_rejected_before_it_takes_memory(self) -> None:
        chunked = REQUEST.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5]
        for start, piece, status in (
            (b"GET / HTTP/1.1\r\nX: ", b"y" * 1000, 431),
            (b"GET /", b"y" * 1000, 431),
            (chunked + b"1;", b"y" * 1000, 413),
            (chunked + b"0\r\nX: ", b"y" * 1000, 413),
        ):
            machine, fed_bytes = parse_requests(start), 0
            while not machine.error_response():
                machine.feed(piece)
                fed_bytes += len(piece)
                self.assertLess(fed_bytes, 600_000)
            self.assertEqual(machine.fault and machine.fault.status, status)

    def test_headers_over_16_kib_get_431(self) -> None:
        machine = parse_requests(b"GET / HTTP/1.1\r\n", b"X: " + b"y" * 20000 + b"\r\nZ: 1\r\n")
        self.assertTrue(machine.error_response().startswith(b"HTTP/1.1 431"))

    def test_more_header_lines_than_a_head_may_have_get_431_however_short(self) -> None:
        """Guards against heads of many short lines, each of which takes far more memory than its bytes."""
        for lines, status in ((MAX_HEADERS, 0), (MAX_HEADERS + 1, 431)):
            machine = parse_requests(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * lines + b"\r\n")
            self.assertEqual(machine.fault and machine.fault.status, status or None)
        trailers = REQUEST.replace(b"Content-Length: 5", b"Transfer-Encoding: chunked")[:-5] + b"0\r\n"
        machine = parse_requests(trailers + b"a:\r\n" * (MAX_HEADERS + 1) + b"\r\n")
        self.assertEqual(machine.fault and machine.fault.status, 431)

    def test_a_request_counts_as_held_until_its_response(self) -> None:
        """The memory of heads: of one that is coming in, of those that wait, and of the unanswered one."""
        machine = parse_requests(REQUEST * 2 + REQUEST[:60])
        sizes = [machine.held_head_bytes]
        for _ in range(2):
            machine.next_request()
            machine.respond(200)
            sizes.append(machine.held_head_bytes)
        self.assertEqual(sorted(sizes, reverse=True), sizes)
        self.assertGreater(sizes[2], 0)
        machine.feed(b"\0")
        self.assertTrue(machine.error_response())
        self.assertEqual((machine.held_head_bytes, machine.held_bytes), (0, 0))

    def test_a_client_that_expects_100_continue_gets_it_once(self) -> None:
        machine = parse_requests(REQUEST[:-5].replace(b"Host", b"Expect: 100-continue\r\nHost"))
        self.assertTrue(machine.take_interim_response().startswith(b"HTTP/1.1 100"))
        self.assertEqual(machine.take_interim_response(), b"")
        machine.feed(b"hello")
        self.assertIsNotNone(machine.next_request())


class ReleaseTest(unittest.TestCase):
    """Memory of a connection is free when it ends, whenever the garbage collector runs next."""

    def setUp(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)

    def test_a_released_connection_holds_neither_parser_nor_bytes(self) -> None:
        """Guards against a kill for memory: parser and connection kept each other, with a head's text."""
        server, client = parse_requests(b"POST / HTTP/1.1\r\nX: " + b"y" * 9000), ClientProtocol(streams=True)
        client.send_request("GET", b"/", "x", [])
        client.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n[1,2,")
        for protocol in (server, client):
            protocol.release()
        self.assertEqual((server.held_bytes, server.held_head_bytes, client.stream_buffer), (0, 0, b""))
        held = [weakref.ref(server), weakref.ref(client)]
        del server, client, protocol
        self.assertEqual([one() for one in held], [None, None])

    def test_a_last_answer_drops_what_was_read_behind_its_request(self) -> None:
        """What lingers after its last answer holds no memory: only its input is discarded."""
        server = parse_requests(REQUEST + REQUEST + b"POST /render HTTP/1.1\r\nX: " + b"y" * 9000)
        self.assertIsNotNone(server.next_request())
        server.discard_rest()
        server.respond(200)
        self.assertEqual(
            (server.held_bytes, server.held_head_bytes, server.has_partial_request), (0, 0, False)
        )


class CallingTest(unittest.TestCase):
    def test_a_response_split_anywhere_is_the_same_response(self) -> None:
        answer = (
            b"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nSrv-Load: inflight=7,queue=2,x0=0.5\r\n"
            b"Content-Length: 2\r\n\r\nno"
        )
        for cut in range(1, len(answer)):
            machine = ClientProtocol()
            machine.send_request("POST", b"/render", "w:1", [])
            response = machine.feed(answer[:cut]) or machine.feed(answer[cut:])
            assert response is not None
            self.assertEqual(forms.outcome_of(response), Outcome.FULL)
            report = words().extract_report(response)
            self.assertEqual(
                report and (report.held_slots, report.queued_jobs, report.free_slots), (7.0, 2.0, 0.5)
            )

    def test_a_response_with_too_many_header_lines_is_rejected(self) -> None:
        machine = ClientProtocol()
        machine.send_request("GET", b"/", "x:1", [])
        with self.assertRaises(HttpError):
            machine.feed(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * (MAX_HEADERS + 1) + b"\r\n")

    def test_a_response_without_a_request_is_rejected(self) -> None:
        with self.assertRaises(HttpError):
            ClientProtocol().feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def test_only_202_accepts_a_posting_and_only_a_marked_503_or_504_declines_it(self) -> None:
        declined = {b"srv-declined": b"1"}
        for status, headers, outcome in (
            (202, {}, None),
            (503, declined, Outcome.FULL),
            (504, declined, Outcome.FULL),
            (503, {}, Outcome.ERROR),
            (500, {}, Outcome.ERROR),
            (200, {}, Outcome.ERROR),
            (429, {}, Outcome.ERROR),
            (400, {}, Outcome.UNUSABLE),
            (404, declined, Outcome.UNUSABLE),
        ):
            self.assertEqual(forms.outcome_of(Message(status=status, headers=headers)), outcome)

    def test_list_records_split_anywhere_are_the_same_and_empty_lines_are_heartbeats(self) -> None:
        record = (
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
        stream = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"".join(
            b"%x\r\n%s\r\n" % (len(piece), piece)
            for piece in (record[i : i + 7] for i in range(0, len(record), 7))
        )
        for cut in range(1, len(stream)):
            machine = ClientProtocol(streams=True)
            machine.send_request("GET", forms.watch_target(41), "d:1", [])
            machine.feed(stream[:cut])
            records = machine.records()
            machine.feed(stream[cut:])
            records += machine.records()
            self.assertEqual(len(records), 2)
            index, update, rows = words().decode_list_line(records[0])
            worker = rows[0].worker
            self.assertEqual((index, update, rows[0].address), (43, ListUpdate.CHANGES, "10.1.0.18:8000"))
            self.assertEqual(
                (worker.zone, worker.machine, worker.cell, worker.listed_state, worker.started_at),
                (1, 1, 3, ListedState.DRAINING, 12345670),
            )

    def test_a_list_record_may_be_indented_and_worker_names_may_hold_braces(self) -> None:
        """Read line by line, an indented record was malformed, and each new watch ended at its first line."""
        record = {
            "index": 43,
            "snapshot": True,
            "endpoints": [
                {"name": name, "address": name, "zone": "a", "type": "m2", "status": "active"}
                for name in ("w}{", 'w"}\\', "w")
            ],
        }
        for indent in (None, 0, 2):
            body = json.dumps(record, indent=indent).encode() + b"\n\n"
            stream = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(body), body)
            for cut in range(1, len(stream)):
                machine = ClientProtocol(streams=True)
                machine.send_request("GET", forms.watch_target(0), "d:1", [])
                machine.feed(stream[:cut])
                records = machine.records()
                machine.feed(stream[cut:])
                records += machine.records()
                self.assertEqual((len(records), records[1]), (2, b""))
                self.assertEqual(
                    [row.address for row in words().decode_list_line(records[0])[2]], ["w}{", 'w"}\\', "w"]
                )

    def test_an_endless_list_record_is_rejected_before_it_takes_memory(self) -> None:
        machine = ClientProtocol(streams=True)
        machine.send_request("GET", forms.watch_target(0), "d:1", [])
        machine.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        with self.assertRaises(HttpError):
            for _ in range(80):
                machine.feed(b"10000\r\n" + b'{"a":\n'.ljust(65_536) + b"\r\n")
                machine.records()


class FormsTest(unittest.TestCase):
    def test_a_worker_with_an_unknown_status_is_draining_and_other_entries_stay_valid(self) -> None:
        _, _, rows = words().decode_list(
            {
                "index": 1,
                "endpoints": [{"name": "a", "status": "dreaming"}, {"name": "b", "status": "active"}],
            }
        )
        self.assertEqual([row.worker.listed_state for row in rows], [ListedState.DRAINING, ListedState.READY])

    def test_a_request_becomes_a_txn_with_its_deadline_rounded_down(self) -> None:
        call = parse_requests(REQUEST.replace(b"480", b"480.06")).next_request()
        assert call is not None
        txn = words().decode_txn(call, 1000)
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

    def test_a_posting_forwards_the_client_headers_except_those_of_the_connection(self) -> None:
        call = parse_requests(
            REQUEST.replace(b"Host", b"Idempotency-Key: k1\r\nConnection: keep-alive\r\nHost")
        ).next_request()
        assert call is not None
        headers = forms.posting_headers(call, 799)
        # Without Idempotency-Key the worker could not recognise a repeat.
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

    def test_an_invalid_request_is_rejected_with_the_status_of_its_fault(self) -> None:
        invalid_numbers = [b"soon", b"inf", b"nan", b"", b"-5", b"1_0", b"9" * 12, b"9" * 23, b"1e400", b"+1"]
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
            *((b"480", number, 400) for number in invalid_numbers),
        ):
            call = parse_requests(REQUEST.replace(old, new)).next_request()
            assert call is not None
            with self.assertRaises(HttpError) as rejected:
                words().decode_txn(call, 0)
            self.assertEqual(rejected.exception.status, status)

    def test_a_callback_carries_result_and_load_and_a_malformed_one_is_rejected(self) -> None:
        callback = words().decode_callback(
            b'{"id":"a1","from":"s-1","state":"done","result":"\\u00e9","load":{"x0":1,"util":0.5}}'
        )
        self.assertEqual((callback.tag, callback.worker), ("a1", "s-1"))
        self.assertEqual((callback.outcome, callback.is_progress), (Outcome.SETTLED, False))
        self.assertEqual(callback.result, "é".encode())
        self.assertEqual(callback.report and callback.report.free_slots, 1.0)
        for body in (b"", b"[]", b"{", b'{"id":"a1"}', b'{"id":1,"from":2,"state":"running","share":"x"}'):
            with self.assertRaises(HttpError):
                words().decode_callback(body)

    def test_a_load_report_is_json_or_text_and_a_malformed_or_all_zero_one_is_none(self) -> None:
        for body in (b'{"x0":2,"queue":1}', b'{"load":{"x0":2,"waiting":1}}', b"x0=2, queue=1"):
            report = words().extract_report(Message(status=200, body=body))
            self.assertEqual(report and (report.free_slots, report.queued_jobs), (2.0, 1.0))
        for body in (b"", b"OK", b"{", b"x0=?", b"err_rps=0,rps=0.000,waiting=0,x0=0"):
            self.assertIsNone(words().extract_report(Message(status=200, body=body)))

    def test_a_report_or_callback_with_an_impossible_number_is_malformed_and_no_fault(self) -> None:
        """Guards against an OverflowError out of the decoder, and against nan in the scheduler's estimates."""
        huge = b"9" * 400
        bodies = (
            b'{"x0":%s}' % huge,
            b'{"x0":1e999}',
            b'{"x0":NaN}',
            b"x0=inf",
            b"x0=?",
            b'{"x0":[1]}',
            b"{",
            b'{"load":' + b"[" * 20_000,
        )
        for body in bodies:
            decoder, reasons = words(), []
            decoder.on_malformed_report = reasons.append
            self.assertIsNone(decoder.extract_report(Message(status=200, body=body)), body[:20])
            self.assertEqual(len(reasons), 1, body[:20])
        callback = words().decode_callback(b'{"id":"a","from":"w","state":"done","load":{"x0":%s}}' % huge)
        self.assertEqual((callback.outcome, callback.report), (Outcome.SETTLED, None))
        for share in (huge, b"NaN", b"Infinity"):
            with self.assertRaises(HttpError):
                words().decode_callback(b'{"id":"a","from":"w","state":"running","share":%s}' % share)
