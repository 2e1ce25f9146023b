"""HTTP/1.1 as two state machines that are fed bytes: the side that is called and the side that calls."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass, field

import httptools

MOST_BODY = 64 * 1024
MOST_HEAD = 16 * 1024
MOST_RECORD = 4 * 1024 * 1024  # of the list: some twenty thousand workers
MOST_RAW = 8 * MOST_BODY  # with its framing, in however small chunks
REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # of JSON: none goes on over the end of a line
ONCE = (b"host", b"content-type")  # and all that speak of the job: said twice, which one counts is a guess


class Broken(Exception):
    """What came is not HTTP, or more of it than is taken; `status` is the answer it deserves."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Message:
    """One call or one answer, whole."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    lines: list[tuple[bytes, bytes]] = field(default_factory=list)  # the same as they came, to be passed on
    body: bytes = b""
    keep: bool = True

    def text(self, name: bytes) -> str | None:
        value = self.headers.get(name)
        return None if value is None else value.decode("latin-1")


class Reader:
    """What httptools calls back, gathered into messages; bounds are kept while the bytes come."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()
        self.part: Message | None = None  # the message under way
        self.headed = False  # its head is here whole
        self.fed = 0  # bytes of it so far, as they came: the parser keeps a line until its end is here
        self.head = 0
        self.size = 0
        self.chunks: list[bytes] = []
        self.fault: Broken | None = None

    def on_message_begin(self) -> None:
        self.part, self.headed, self.fed, self.head = Message(), False, 0, 0
        self.size, self.chunks = 0, []

    def on_url(self, url: bytes) -> None:
        assert self.part is not None
        self._head(len(url))
        self.part.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.part is not None
        self._head(len(name) + len(value))
        if self.headed:
            return  # a trailer, behind what was read as the head: it changes nothing any more
        self.part.headers[name.lower()] = value
        self.part.lines.append((name, value))

    def on_body(self, chunk: bytes) -> None:
        self.size += len(chunk)
        if self.size > MOST_BODY:
            self._object(413, "body over 64 KiB")
        self.chunks.append(chunk)

    def on_message_complete(self) -> None:
        assert self.part is not None
        self.part.body = b"".join(self.chunks)
        self.finish(self.part)
        self.messages.append(self.part)
        self.part, self.chunks = None, []

    def finish(self, message: Message) -> None:
        raise NotImplementedError

    def _head(self, count: int) -> None:
        self.head += count
        if self.head > MOST_HEAD:
            self._object(431, "head over 16 KiB")

    def object(self, status: int, why: str) -> Broken:
        """The message under way will not be taken, whatever more of it comes."""
        self.fault = self.fault or Broken(status, why)
        return self.fault

    def _object(self, status: int, why: str) -> None:
        raise self.object(status, why)

    def _parse(
        self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes | memoryview
    ) -> None:
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.object(400, "no other protocol is spoken here")
        except httptools.HttpParserError as fault:
            self.object(400, str(fault)[:80])


class Called(Reader):
    """The called side of one connection: calls in, answers out, one at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpRequestParser(self)
        self.held = 0  # bytes of bodies: of the part under way, of whole calls, of the one not answered yet
        self.busy = False  # a call is out of here and not answered yet
        self.over = False  # nothing more will be read or answered
        self.spilt = False  # bytes behind the call under way were thrown away: calls that were never taken
        self._keep = True
        self._weight = 0
        self._hold_back = b""  # what the caller must see before it goes on sending

    def feed(self, data: bytes | memoryview) -> None:
        if self.fault is None and not self.over:
            self._parse(self._parser, data)
            self.fed += len(data)
            most, status = (MOST_RAW, 413) if self.headed else (MOST_HEAD, 431)
            if self.part is not None and self.fed > most:
                self.object(status, "a head or framing without end")

    def on_body(self, chunk: bytes) -> None:
        super().on_body(chunk)
        self.held += len(chunk)

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.part is not None
        lower = name.lower()
        twice = not self.headed and lower in self.part.headers
        if twice and (lower in ONCE or lower.startswith(b"req-")):
            self._object(400, "a header twice")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        assert self.part is not None
        self.headed = True
        version, headers = self._parser.get_http_version(), self.part.headers
        if version not in ("1.0", "1.1"):
            self._object(505, "neither HTTP/1.0 nor HTTP/1.1")
        if (coding := headers.get(b"transfer-encoding")) is not None:
            # Both lengths may hide another call in the body, from whoever believes the other of the two.
            if b"content-length" in headers or version == "1.0":
                self._object(400, "two lengths, or one that HTTP/1.0 has not")
            if coding.strip().lower() != b"chunked":
                self._object(501, "no coding but chunked is undone here")
        length = headers.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > MOST_BODY:
            self._object(413, "body over 64 KiB")
        if self.part.headers.get(b"expect", b"").lower() == b"100-continue":
            self._hold_back = b"HTTP/1.1 100 Continue\r\n\r\n"

    def finish(self, message: Message) -> None:
        message.method = self._parser.get_method()
        message.keep = self._parser.should_keep_alive()
        self._hold_back = b""

    @property
    def midway(self) -> bool:
        """Part of a call is here: closing now would lose it."""
        return self.part is not None or bool(self.messages)

    def go_on(self) -> bytes:
        told, self._hold_back = self._hold_back, b""
        return told

    def next(self) -> Message | None:
        """The next call, once the one before has its answer."""
        if self.busy or self.over or not self.messages:
            return None
        self.busy = True
        call = self.messages.popleft()
        self._keep, self._weight = call.keep, len(call.body)
        return call

    def spill(self) -> None:
        """What comes behind the call under way is not kept: its answer will be the last."""
        assert self.busy
        self.spilt, self._keep = True, False

    def objection(self) -> bytes:
        """The answer to bytes that are no call, after all whole calls before them have theirs."""
        if self.fault is None or self.busy or self.over or self.messages:
            return b""
        self.busy, self._keep, self._weight = True, False, self.held
        self.part, self.chunks = None, []
        return self.answer(self.fault.status, str(self.fault).encode())

    def answer(
        self, status: int, body: bytes = b"", headers: tuple[str, ...] = (), keep: bool = True
    ) -> bytes:
        """The bytes of the one answer to the call under way."""
        assert self.busy and not self.over
        self.busy = False
        self.held -= self._weight
        self.over = not (keep and self._keep)
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", *headers]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        if self.over:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Calling(Reader):
    """The calling side of one connection: one call out, one answer in, then the next."""

    def __init__(self, streams: bool = False) -> None:
        super().__init__()
        self._parser = httptools.HttpResponseParser(self)
        self.streams = streams  # body bytes are handed on as they come, not gathered
        self.status = 0  # of an answer whose head is here
        self.flow = bytearray()
        self.record, self.depth = (
            bytearray(),
            0,
        )  # of an object that is not yet whole: its lines, its open braces
        self.asked = False
        self.more = False  # something came behind the last answer in one piece with it
        self.behind: list[Message] = []  # what of that is whole

    def ask(
        self, method: str, target: bytes, host: str, headers: list[tuple[bytes, bytes]], body: bytes = b""
    ) -> bytes:
        self.asked, self.status, self.more, self.behind = True, 0, False, []
        lines = [method.encode() + b" " + target + b" HTTP/1.1", b"Host: " + host.encode()]
        lines += [name + b": " + value for name, value in headers]
        if body or method == "POST":
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def feed(self, data: bytes | memoryview) -> Message | None:
        """Raises Broken where the bytes are no answer to a call that was made."""
        if not self.asked:
            raise Broken(400, "an answer to nothing")
        self._parse(self._parser, data)
        self.fed += len(data)
        if (
            self.part is not None
            and self.fed > (MOST_RAW if self.headed else MOST_HEAD)
            and not (self.streams and self.headed)
        ):
            self.object(400, "an answer without end")
        if self.fault is not None:
            raise self.fault
        if not self.messages:
            return None
        self.asked = False
        answer = self.messages.popleft()
        # Kept, a second answer would have been the first thing that the next call got.
        self.more = bool(self.messages) or self.part is not None
        self.behind = [*self.messages]
        self.messages.clear()
        return answer

    def on_message_complete(self) -> None:
        super().on_message_complete()
        if 100 <= self.messages[-1].status < 200:
            self.messages.pop()  # on the way to the answer

    def on_headers_complete(self) -> None:
        self.headed, self.status = True, self._parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        if self.streams:
            self.flow += chunk
        else:
            super().on_body(chunk)

    def finish(self, message: Message) -> None:
        message.status = self._parser.get_status_code()
        message.keep = self._parser.should_keep_alive()

    def records(self) -> list[bytes]:
        """The whole objects that have come of a streamed answer, each on one line or indented over several; an empty
        one for each empty line between them, a sign of life. Raises Broken where one does not end.
        """
        *lines, rest = bytes(self.flow).split(b"\n")
        found = []
        for line in lines:
            self.record += line
            bare = STRING.sub(b"", line)
            self.depth += bare.count(b"{") - bare.count(b"}")
            if self.depth <= 0:
                found.append(bytes(self.record))
                self.record, self.depth = bytearray(), 0
        self.flow = bytearray(rest)
        if len(self.record) + len(rest) > MOST_RECORD:
            raise Broken(400, f"an object of over {MOST_RECORD} bytes")
        return found
