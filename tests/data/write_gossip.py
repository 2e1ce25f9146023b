"""Writes tests/data/gossip.json by the code of commit f469a1f, before its names changed.

Run at a checkout of that commit, with its interpreter: `python write_gossip.py > gossip.json`. The file holds a
datagram of every kind of message, the answers to `fleet show budgets`, and a digest of every datagram that four
members exchange in a minute of virtual time, so that the order of messages and of random draws is compared as well.
"""

import hashlib
import json
from random import Random

from pathsaddle.fleet.purse import Purse
from pathsaddle.fleet.state.form import (
    Ask,
    Compare,
    Compared,
    Delta,
    Lent,
    News,
    Packet,
    Piece,
    Returned,
    Row,
    Told,
    Wanted,
    encode,
)
from pathsaddle.fleet.state.limiter import Dealt
from pathsaddle.fleet.state.shared import Shared

SECOND = 10_000
KEY = b"sixteen bytes or more"
DIGEST = bytes(range(32))
DELTA = Delta("b", 9, 3, 5, [Told("spare", 5, b"body", 12, 345), Told("level", 4, b"", 0, -1)])
ROWS = [Row("a", 7, 1, 0), Row("b", 9, 5, 1234), Row("c", 1, 0, -1)]
MESSAGES = {
    "news": News([DELTA]),
    "news, empty": News([]),
    "digest": Compare(1 << 52, "a", "c", ROWS),
    "digest, empty": Compare(0, "", "", []),
    "digest reply": Compared(1 << 52, ROWS, [DELTA], True),
    "digest reply, empty": Compared(0, [], [], False),
    "chunk request": Ask(DIGEST, 8, b"\x03\xff"),
    "chunk request, default": Ask(DIGEST, 1),
    "chunk": Piece(DIGEST, 2000, 1, bytes(900)),
    "quota request": Wanted("gpu", 17, 40, 16),
    "quota request, default": Wanted("gpu", 17, 40),
    "grant": Lent("gpu", 9, 17, 20, 100_000),
    "release": Returned("gpu", 17),
}


def play() -> tuple[str, dict[str, str]]:
    """The digest of all datagrams of four members, and the answers of each to `budgets` at a few moments."""
    names = ("a", "b", "c", "d")
    cores = {
        name: Shared(
            name,
            7,
            "f",
            KEY,
            Purse(24_000, 60, 0),
            SECOND,
            {"gpu": Dealt(100, 25, 4 * SECOND), "net": Dealt(8, 2, 10 * SECOND)},
            Random(name),
            0,
        )
        for name in names
    }
    for core in cores.values():
        for name in names:
            core.joined(name, 7, f"at {name}")
    loss, trace, views = Random(5), hashlib.sha256(), {}
    document = cores["a"].carry.keep(Random(1).randbytes(20_000))
    for step in range(3000):
        now = step * SECOND // 50
        if step == 500:
            for name in "bcd":
                cores[name].carry.need(document, "a", now)
        if step == 1200:
            cores["b"].claimed(8, now)
            for name in "acd":
                cores[name].joined("b", 8, "at b")
        if step == 1800:
            cores["c"].limiter.retune({"gpu": Dealt(80, 20, 4 * SECOND)}, now)
        if step == 2000:
            for name in "acd":
                cores[name].ended("b", 8)
            cores["b"].leave(now)
        if step % 7 == 0:
            cores["abcd"[step // 400 % 4]].limiter.takes("gpu", 6, now)
        for name, core in cores.items():
            if core.due(now - 1) <= now:
                core.wake(now)
            for note in core.limiter.notes:
                trace.update(repr((now, name, note.what, note.budget, note.usable, note.why)).encode())
            core.limiter.notes.clear()
        for name, core in cores.items():
            core.say(now)
            out, core.out[:] = core.out[:], []
            for address, data in out:
                trace.update(f"{now} {name} {address} ".encode() + data)
                if loss.random() >= 0.1:
                    cores[address[3:]].heard(data, now)
        if step in (700, 1500, 1900, 2999):
            views.update({f"{name} at {step}": json.dumps(core.view(now)) for name, core in cores.items()})
    trace.update(json.dumps([core.carry.chance.random() for core in cores.values()]).encode())
    return trace.hexdigest(), views


def main() -> None:
    datagrams = {
        label: encode(Packet("f", "a", 7, "b", [message]), KEY).hex() for label, message in MESSAGES.items()
    }
    datagrams["all together"] = encode(
        Packet("f", "a", 7, "b", [m for label, m in MESSAGES.items() if label != "chunk"]), KEY
    ).hex()
    trace, views = play()
    print(json.dumps({"commit": "f469a1f", "datagrams": datagrams, "trace": trace, "views": views}, indent=1))


if __name__ == "__main__":
    main()
