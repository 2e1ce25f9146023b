"""A client's call as bytes in the store and back, and what a submission says beside its txn."""

from __future__ import annotations

import hashlib
import json
import re

from pathsaddle.net.wire.http import Broken, Message

KEY = re.compile(r"[!-~]{1,128}")
PATH = b"/jobs/"
# Whatever else comes in a submission's head goes on to the worker like a call's.
NOT_OURS = (b"idempotency-key", b"req-id")


def pack(call: Message) -> bytes:
    head = json.dumps(
        [
            call.target.decode("latin-1"),
            [[name.decode("latin-1"), value.decode("latin-1")] for name, value in call.lines],
        ]
    )
    return head.encode() + b"\n" + call.body


def unpack(data: bytes) -> Message:
    """Raises ValueError where it is no packed call."""
    head, _, body = data.partition(b"\n")
    target, lines = json.loads(head)
    pairs = [(str(name).encode("latin-1"), str(value).encode("latin-1")) for name, value in lines]
    return Message(
        b"POST",
        target.encode("latin-1"),
        headers={name.lower(): value for name, value in pairs},
        lines=pairs,
        body=body,
    )


def key_of(call: Message) -> str:
    """The client's own word for the job, under which it may be handed in again; raises Broken."""
    key = call.text(b"idempotency-key")
    if key is None or not KEY.fullmatch(key):
        raise Broken(400, "no Idempotency-Key of 1 to 128 visible characters")
    return key


def as_txn(call: Message, tag: str) -> Message:
    """The call that goes to the worker for a submission: its scheme's path, and our id."""
    lines = [(name, value) for name, value in call.lines if name.lower() not in NOT_OURS]
    lines.append((b"Req-Id", tag.encode()))
    return Message(
        b"POST",
        b"/" + call.target[len(PATH) :],
        headers={n.lower(): v for n, v in lines},
        lines=lines,
        body=call.body,
    )


def digest(call: Message) -> bytes:
    """Of all that makes two submissions the same job."""
    told = [
        call.target,
        *(
            name.lower() + b":" + value
            for name, value in sorted(call.lines)
            if name.lower().startswith(b"req-")
            and name.lower() not in NOT_OURS
            and name.lower() != b"req-retry"
        ),
        b"",
        call.body,
    ]
    return hashlib.blake2b(b"\n".join(told), digest_size=16).digest()
