"""HTTP/1.1 as two state machines without I/O: the server side and the client side of a connection."""

from __future__ import annotations

import re
from collections import deque
from dataclasses import dataclass, field

import httptools

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100  # lines of a head; each takes far more memory than its text if that is short
HEADER_OVERHEAD_BYTES = 240  # memory of one header besides its text: its objects, and its place in the tables
MESSAGE_OVERHEAD_BYTES = 400  # memory of a message besides its headers and its body
MAX_RECORD_BYTES = 4 * 1024 * 1024  # bytes of a worker list of some twenty thousand workers
MAX_RAW_BYTES = 8 * MAX_BODY_BYTES  # head, body and chunk framing; many small chunks multiply the framing
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
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # a JSON string, which never spans lines
# A request that repeats one of these or a `req-` header is rejected: it is unclear which value counts.
SINGLE_HEADERS = (b"host", b"content-type")


class HttpError(Exception):
    """A received message is rejected: it is malformed, exceeds a limit or cannot be served.

    `status` is the HTTP status to answer with.
    """

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Message:
    """A complete request or response."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    raw_headers: list[tuple[bytes, bytes]] = field(default_factory=list)  # as received, to be forwarded
    body: bytes = b""
    keep_alive: bool = True
    head_memory_bytes: int = 0  # an estimate of the memory that its head takes

    def text(self, name: bytes) -> str | None:
        """Return the value of a header by its lower-case name, or None if it is missing."""
        value = self.headers.get(name)
        return None if value is None else value.decode("latin-1")


def head_memory(text_bytes: int, headers: int) -> int:
    """Return an estimate of the memory in bytes that a head takes.

    Args:
        text_bytes: The length of its text; names are held as received and in lower case.
        headers: The number of its header lines.
    """
    return MESSAGE_OVERHEAD_BYTES + 2 * text_bytes + HEADER_OVERHEAD_BYTES * headers


class MessageParser:
    """Assembles messages from the callbacks of httptools, and enforces the size limits while bytes arrive."""

    def __init__(self) -> None:
        self.messages: deque[Message] = deque()
        self.partial: Message | None = None  # the message that is being received
        self.has_head = False  # whether its head is complete
        self.raw_bytes = 0  # its bytes so far, with those that httptools buffers until a line is complete
        self.head_bytes = 0
        self.header_count = 0  # trailer fields included
        self.body = bytearray()  # of the message that is being received
        self.fault: HttpError | None = None
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = None

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.partial, self.has_head, self.raw_bytes, self.head_bytes = Message(), False, 0, 0
        self.header_count, self.body = 0, bytearray()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        assert self.partial is not None
        self._count_head_bytes(len(url))
        self.partial.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailer fields are ignored."""
        assert self.partial is not None
        self._count_head_bytes(len(name) + len(value))
        self.header_count += 1
        if self.header_count > MAX_HEADERS:
            self._reject(431, f"over {MAX_HEADERS} header lines")
        if self.has_head:
            return  # a trailer field must not change the head, which has been processed
        self.partial.headers[name.lower()] = value
        self.partial.raw_headers.append((name, value))

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        if len(self.body) + len(chunk) > MAX_BODY_BYTES:
            self._reject(413, "body over 64 KiB")
        self.body += chunk

    def on_message_complete(self) -> None:
        """Queue the complete message."""
        assert self.partial is not None
        self.partial.body = bytes(self.body)
        self.partial.head_memory_bytes = head_memory(self.head_bytes, self.header_count)
        self.finish(self.partial)
        self.messages.append(self.partial)
        self.partial, self.body = None, bytearray()

    def finish(self, message: Message) -> None:
        """Set the fields of a complete message that only the parser knows."""
        raise NotImplementedError

    def release(self) -> None:
        """Drop what was received and the parser, which may hold the text of a head; nothing more is parsed.

        The parser and this object refer to each other. Otherwise their memory would stay in use until the
        garbage collector runs, which counts objects and not their bytes.
        """
        self._parser = None
        self.partial, self.body = None, bytearray()
        self.messages.clear()

    def _count_head_bytes(self, count: int) -> None:
        self.head_bytes += count
        if self.head_bytes > MAX_HEAD_BYTES:
            self._reject(431, "head over 16 KiB")

    def reject(self, status: int, why: str) -> HttpError:
        """Reject the message that is being received; the first rejection is kept and returned."""
        self.fault = self.fault or HttpError(status, why)
        return self.fault

    def _reject(self, status: int, why: str) -> None:
        raise self.reject(status, why)

    def _parse(self, data: bytes | memoryview) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400, "no other protocol is spoken here")
        except httptools.HttpParserError as fault:
            self.reject(400, str(fault)[:80])


class ServerProtocol(MessageParser):
    """The server side of one connection: requests in, responses out, one at a time."""

    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpRequestParser(self)
        self.held_bytes = 0  # body bytes of the partial, the queued and the unanswered request
        self.is_busy = False  # whether a request was handed out and not answered yet
        self.is_closed = False  # whether the last response was sent, so that nothing more is read
        self.is_discarding = False  # whether bytes after the unanswered request are discarded
        self._keep_alive = True
        self._body_bytes = 0  # of the unanswered request
        self._head_bytes = 0  # memory of its head
        self._complete_head_bytes = 0  # memory of the heads of the queued and the unanswered request
        self._interim_response = b""  # to be sent before the client sends the body

    @property
    def _request_parser(self) -> httptools.HttpRequestParser:
        assert isinstance(self._parser, httptools.HttpRequestParser)
        return self._parser

    def release(self) -> None:
        """Drop what was received; of the unanswered request nothing is held here."""
        super().release()
        self.held_bytes, self._complete_head_bytes = self._body_bytes, self._head_bytes

    def feed(self, data: bytes | memoryview) -> None:
        """Parse received bytes; a malformed or oversized request sets `fault`."""
        if self.fault is None and not self.is_closed:
            self._parse(data)
            self.raw_bytes += len(data)
            max_bytes, status = (MAX_RAW_BYTES, 413) if self.has_head else (MAX_HEAD_BYTES, 431)
            if self.partial is not None and self.raw_bytes > max_bytes:
                self.reject(status, "a head or framing without end")

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body and count its bytes as held."""
        super().on_body(chunk)
        self.held_bytes += len(chunk)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header.

        Raises:
            HttpError: A header that must be unique is repeated, or the head exceeds its size limit.
        """
        assert self.partial is not None
        lower = name.lower()
        is_repeated = not self.has_head and lower in self.partial.headers
        if is_repeated and (lower in SINGLE_HEADERS or lower.startswith(b"req-")):
            self._reject(400, "a header twice")
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the HTTP version, the body framing and the announced body length.

        Raises:
            HttpError: One of them is invalid, not supported or over the limit.
        """
        assert self.partial is not None
        self.has_head = True
        version, headers = self._request_parser.get_http_version(), self.partial.headers
        if version not in ("1.0", "1.1"):
            self._reject(505, "neither HTTP/1.0 nor HTTP/1.1")
        if (coding := headers.get(b"transfer-encoding")) is not None:
            # Against request smuggling: if a message states its length in two ways, a peer that uses the
            # other one sees a second request inside the body.
            if b"content-length" in headers or version == "1.0":
                self._reject(400, "two lengths, or one that HTTP/1.0 has not")
            if coding.strip().lower() != b"chunked":
                self._reject(501, "no coding but chunked is undone here")
        length = headers.get(b"content-length", b"0").strip()
        if length.isdigit() and int(length) > MAX_BODY_BYTES:
            self._reject(413, "body over 64 KiB")
        if self.partial.headers.get(b"expect", b"").lower() == b"100-continue":
            self._interim_response = b"HTTP/1.1 100 Continue\r\n\r\n"

    def finish(self, message: Message) -> None:
        """Set the method and whether the connection stays open, and count its head as held."""
        self._complete_head_bytes += message.head_memory_bytes
        message.method = self._request_parser.get_method()
        message.keep_alive = self._request_parser.should_keep_alive()
        self._interim_response = b""

    @property
    def held_head_bytes(self) -> int:
        """An estimate of the memory of the heads of the partial, the queued and the unanswered request."""
        if self.partial is None:
            return self._complete_head_bytes
        # Until the head is complete, a part of its text may be buffered without being counted as a header.
        text_bytes = self.head_bytes if self.has_head else self.raw_bytes
        return self._complete_head_bytes + head_memory(text_bytes, self.header_count)

    @property
    def has_partial_request(self) -> bool:
        """Whether a request is partly received or queued: a close would lose it."""
        return self.partial is not None or bool(self.messages)

    def take_interim_response(self) -> bytes:
        """Return the interim response `100 Continue` once if the client waits for it, else empty bytes."""
        response, self._interim_response = self._interim_response, b""
        return response

    def next_request(self) -> Message | None:
        """Return the next request if the one before it is answered, else None."""
        if self.is_busy or self.is_closed or not self.messages:
            return None
        self.is_busy = True
        call = self.messages.popleft()
        self._keep_alive, self._body_bytes = call.keep_alive, len(call.body)
        self._head_bytes = call.head_memory_bytes
        return call

    def discard_rest(self) -> None:
        """Discard all bytes after the unanswered request, whose response then closes the connection."""
        assert self.is_busy
        self.is_discarding, self._keep_alive = True, False

    def error_response(self) -> bytes:
        """Return the error response to a rejected request.

        Empty if no request is rejected, while a request before it is unanswered, and after the last response.
        """
        if self.fault is None or self.is_busy or self.is_closed or self.messages:
            return b""
        self.is_busy, self._keep_alive = True, False
        return self.respond(self.fault.status, str(self.fault).encode())

    def respond(
        self, status: int, body: bytes = b"", headers: tuple[str, ...] = (), keep: bool = True
    ) -> bytes:
        """Return the bytes of the response to the unanswered request."""
        assert self.is_busy and not self.is_closed
        self.is_busy = False
        self.held_bytes -= self._body_bytes
        self._complete_head_bytes -= self._head_bytes
        self._head_bytes = 0
        self._body_bytes = 0
        self.is_closed = not (keep and self._keep_alive)
        if self.is_closed:
            self.release()
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", *headers]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        if self.is_closed:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class ClientProtocol(MessageParser):
    """The client side of one connection: one request out, one response in, then the next."""

    def __init__(self, streams: bool = False) -> None:
        super().__init__()
        self._parser = httptools.HttpResponseParser(self)
        self.is_streaming = streams  # whether `records` returns the body as it arrives
        self.status = 0  # of the response, once its head is complete
        self.stream_buffer = bytearray()
        # Of a JSON object that is still incomplete: its lines so far and the number of its open braces.
        self.partial_record, self.open_braces = bytearray(), 0
        self.is_awaiting_response = False  # whether a request is sent and not answered yet
        self.has_extra_bytes = False  # whether the read that completed the last response held more bytes
        self.extra_responses: list[Message] = []  # the complete responses among those

    def send_request(
        self, method: str, target: bytes, host: str, headers: list[tuple[bytes, bytes]], body: bytes = b""
    ) -> bytes:
        """Return the bytes of a request, and expect its response."""
        self.is_awaiting_response, self.status, self.has_extra_bytes, self.extra_responses = (
            True,
            0,
            False,
            [],
        )
        lines = [method.encode() + b" " + target + b" HTTP/1.1", b"Host: " + host.encode()]
        lines += [name + b": " + value for name, value in headers]
        if body or method == "POST":
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def feed(self, data: bytes | memoryview) -> Message | None:
        """Parse received bytes and return the response if it is complete.

        Raises:
            HttpError: The bytes are not a valid response, exceed a limit, or arrived without a request.
        """
        if not self.is_awaiting_response:
            raise HttpError(400, "received a response without a request")
        self._parse(data)
        self.raw_bytes += len(data)
        if (
            self.partial is not None
            and self.raw_bytes > (MAX_RAW_BYTES if self.has_head else MAX_HEAD_BYTES)
            and not (self.is_streaming and self.has_head)
        ):
            self.reject(400, "response exceeds the size limit")
        if self.fault is not None:
            raise self.fault
        if not self.messages:
            return None
        self.is_awaiting_response = False
        answer = self.messages.popleft()
        # A second response must not stay queued: it would be taken for the response to the next request.
        self.has_extra_bytes = bool(self.messages) or self.partial is not None
        self.extra_responses = [*self.messages]
        self.messages.clear()
        return answer

    def on_message_complete(self) -> None:
        """Queue the complete response, unless it is an interim one (1xx)."""
        super().on_message_complete()
        if 100 <= self.messages[-1].status < 200:
            self.messages.pop()

    @property
    def _response_parser(self) -> httptools.HttpResponseParser:
        assert isinstance(self._parser, httptools.HttpResponseParser)
        return self._parser

    def on_headers_complete(self) -> None:
        """Record the status."""
        self.has_head, self.status = True, self._response_parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body, or buffer it for `records`."""
        if self.is_streaming:
            self.stream_buffer += chunk
        else:
            super().on_body(chunk)

    def finish(self, message: Message) -> None:
        """Set the status and whether the connection stays open."""
        message.status = self._response_parser.get_status_code()
        message.keep_alive = self._response_parser.should_keep_alive()

    def release(self) -> None:
        """Drop what was received, an incomplete record included."""
        super().release()
        self.stream_buffer, self.partial_record = bytearray(), bytearray()

    def records(self) -> list[bytes]:
        """Return the JSON objects that are complete by now in a streamed response.

        An object takes one line, or several if it is indented. An empty line between objects is a heartbeat
        and yields an empty record.

        Raises:
            HttpError: An incomplete object exceeds MAX_RECORD_BYTES bytes.
        """
        *lines, rest = bytes(self.stream_buffer).split(b"\n")
        found = []
        for line in lines:
            self.partial_record += line
            unquoted = JSON_STRING.sub(b"", line)
            self.open_braces += unquoted.count(b"{") - unquoted.count(b"}")
            if self.open_braces <= 0:
                found.append(bytes(self.partial_record))
                self.partial_record, self.open_braces = bytearray(), 0
        self.stream_buffer = bytearray(rest)
        if len(self.partial_record) + len(rest) > MAX_RECORD_BYTES:
            raise HttpError(400, f"a list record exceeds {MAX_RECORD_BYTES} bytes")
        return found
