"""HTTP/1.1 as the emulated peers speak it; apart from the program's own machines, so that a fault there shows."""

from __future__ import annotations

from dataclasses import dataclass, field

import httptools


@dataclass(slots=True)
class Said:
    """One whole call or answer, and when its first and last bytes came."""

    method: str = ""
    target: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep: bool = True
    begun: int = 0
    whole: int = 0


class Hearing:
    """Fed bytes and moments, it gives whole messages; raises httptools.HttpParserError on what is none."""

    def __init__(self, calls: bool) -> None:
        self.calls = calls
        self.parser = httptools.HttpRequestParser(self) if calls else httptools.HttpResponseParser(self)
        self.done: list[Said] = []
        self.part: Said | None = None
        self.now = 0

    def feed(self, data: bytes, now: int) -> list[Said]:
        self.now = now
        self.parser.feed_data(data)
        done, self.done = self.done, []
        return done

    def on_message_begin(self) -> None:
        self.part = Said(begun=self.now)

    def on_url(self, url: bytes) -> None:
        assert self.part is not None
        self.part.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.part is not None
        self.part.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        assert self.part is not None
        self.part.body += body

    def on_message_complete(self) -> None:
        assert self.part is not None
        if isinstance(self.parser, httptools.HttpRequestParser):
            self.part.method = self.parser.get_method().decode()
        else:
            self.part.status = self.parser.get_status_code()
        self.part.keep = self.parser.should_keep_alive()
        self.part.whole = self.now
        self.done.append(self.part)
        self.part = None


def call(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: emulated"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def answer(status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} As-Is"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
