"""The client's call as bytes in the store and back, and what a submission says beside its request.

The admission encodes calls, the queue decodes them when a job is to run. The module never reads a clock or a
store.
"""

from __future__ import annotations

import hashlib
import json
import re

from pathsaddle.net.wire.http import HttpError, Message

IDEMPOTENCY_KEY = re.compile(r"[!-~]{1,128}")
JOBS_PATH = b"/jobs/"
# All other headers of a submission go on to the worker like those of a call.
HEADERS_NOT_FORWARDED = (b"idempotency-key", b"req-id")
DIGEST_SIZE_BYTES = 16


def encode_call(call: Message) -> bytes:
    """Return a call as it is stored: a line of JSON with target and headers, then the body."""
    head = json.dumps(
        [
            call.target.decode("latin-1"),
            [[name.decode("latin-1"), value.decode("latin-1")] for name, value in call.raw_headers],
        ]
    )
    return head.encode() + b"\n" + call.body


def decode_call(data: bytes) -> Message:
    """Return the call that `encode_call` has stored.

    Raises:
        ValueError: The bytes are no stored call.
    """
    head, _, body = data.partition(b"\n")
    target, lines = json.loads(head)
    pairs = [(str(name).encode("latin-1"), str(value).encode("latin-1")) for name, value in lines]
    return Message(
        b"POST",
        target.encode("latin-1"),
        headers={name.lower(): value for name, value in pairs},
        raw_headers=pairs,
        body=body,
    )


def idempotency_key_of(call: Message) -> str:
    """Return the key under which the client may submit the same job again.

    Raises:
        HttpError: The call has no key, or none that may be one.
    """
    key = call.text(b"idempotency-key")
    if key is None or not IDEMPOTENCY_KEY.fullmatch(key):
        raise HttpError(400, "no Idempotency-Key of 1 to 128 visible characters")
    return key


def owner_of(call: Message) -> str:
    """Return the tenant that a call is from; empty where it names none."""
    return call.text(b"req-owner") or ""


def to_worker_call(call: Message, job_id: str) -> Message:
    """Return the call that goes to the worker: the path of the request class, and the job's id."""
    lines = [(name, value) for name, value in call.raw_headers if name.lower() not in HEADERS_NOT_FORWARDED]
    lines.append((b"Req-Id", job_id.encode()))
    return Message(
        b"POST",
        b"/" + call.target[len(JOBS_PATH) :],
        headers={name.lower(): value for name, value in lines},
        raw_headers=lines,
        body=call.body,
    )


def digest_of(call: Message) -> bytes:
    """Return the digest of all that makes two submissions the same job: target, `Req-` headers and body."""
    parts = [
        call.target,
        *(
            name.lower() + b":" + value
            for name, value in sorted(call.raw_headers)
            if name.lower().startswith(b"req-")
            and name.lower() not in HEADERS_NOT_FORWARDED
            and name.lower() != b"req-retry"
        ),
        b"",
        call.body,
    ]
    return hashlib.blake2b(b"\n".join(parts), digest_size=DIGEST_SIZE_BYTES).digest()
