"""Datagrams, answers and order of messages are those of commit f469a1f (tests/data/write_gossip.py)."""

import hashlib
import json
import unittest
from pathlib import Path
from random import Random

from pathsaddle.fleet.gossip.messages import (
    Chunk,
    ChunkRequest,
    Delta,
    Digest,
    DigestEntry,
    DigestReply,
    Dissemination,
    Envelope,
    GrantMessage,
    QuotaRequestMessage,
    ReleaseMessage,
    WireRecord,
    decode,
    encode,
)
from pathsaddle.fleet.quota.quota_limiter import QuotaConfig
from pathsaddle.fleet.quota.shared_state import SharedState
from pathsaddle.fleet.rate_limiter import RateLimiter

GOLDEN = json.loads((Path(__file__).parent / "data" / "gossip.json").read_text())
SECOND = 10_000
KEY = b"sixteen bytes or more"
DOCUMENT = bytes(range(32))
DELTA = Delta("b", 9, 3, 5, [WireRecord("spare", 5, b"body", 12, 345), WireRecord("level", 4, b"", 0, -1)])
ENTRIES = [DigestEntry("a", 7, 1, 0), DigestEntry("b", 9, 5, 1234), DigestEntry("c", 1, 0, -1)]
MESSAGES = {
    "news": Dissemination([DELTA]),
    "news, empty": Dissemination([]),
    "digest": Digest(1 << 52, "a", "c", ENTRIES),
    "digest, empty": Digest(0, "", "", []),
    "digest reply": DigestReply(1 << 52, ENTRIES, [DELTA], True),
    "digest reply, empty": DigestReply(0, [], [], False),
    "chunk request": ChunkRequest(DOCUMENT, 8, b"\x03\xff"),
    "chunk request, default": ChunkRequest(DOCUMENT, 1),
    "chunk": Chunk(DOCUMENT, 2000, 1, bytes(900)),
    "quota request": QuotaRequestMessage("gpu", 17, 40, 16),
    "quota request, default": QuotaRequestMessage("gpu", 17, 40),
    "grant": GrantMessage("gpu", 9, 17, 20, 100_000),
    "release": ReleaseMessage("gpu", 17),
}


def play() -> tuple[str, dict[str, str]]:
    """As `play` of the script that wrote the data, by today's names."""
    names = ("a", "b", "c", "d")
    cores = {
        name: SharedState(
            name,
            7,
            "f",
            KEY,
            RateLimiter(24_000, 60, 0),
            SECOND,
            {"gpu": QuotaConfig(100, 25, 4 * SECOND), "net": QuotaConfig(8, 2, 10 * SECOND)},
            Random(name),
            0,
        )
        for name in names
    }
    for core in cores.values():
        for name in names:
            core.on_member_joined(name, 7, f"at {name}")
    loss, trace, views = Random(5), hashlib.sha256(), {}
    document = cores["a"].carry.keep(Random(1).randbytes(20_000))
    for step in range(3000):
        now = step * SECOND // 50
        if step == 500:
            for name in "bcd":
                cores[name].carry.need(document, "a", now)
        if step == 1200:
            cores["b"].on_new_incarnation(8, now)
            for name in "acd":
                cores[name].on_member_joined("b", 8, "at b")
        if step == 1800:
            cores["c"].limiter.retune({"gpu": QuotaConfig(80, 20, 4 * SECOND)}, now)
        if step == 2000:
            for name in "acd":
                cores[name].on_member_left("b", 8)
            cores["b"].leave(now)
        if step % 7 == 0:
            cores["abcd"[step // 400 % 4]].limiter.try_acquire("gpu", 6, now)
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
                    cores[address[3:]].on_datagram(data, now)
        if step in (700, 1500, 1900, 2999):
            views.update({f"{name} at {step}": json.dumps(core.view(now)) for name, core in cores.items()})
    trace.update(json.dumps([core.carry.rng.random() for core in cores.values()]).encode())
    return trace.hexdigest(), views


class GoldenTest(unittest.TestCase):
    def test_each_datagram_decodes_to_the_same_values_and_is_written_with_the_same_bytes(self):
        envelopes = {label: [message] for label, message in MESSAGES.items()}
        envelopes["all together"] = [message for label, message in MESSAGES.items() if label != "chunk"]
        self.assertEqual(set(envelopes), set(GOLDEN["datagrams"]))
        for label, messages in envelopes.items():
            with self.subTest(label):
                data = bytes.fromhex(GOLDEN["datagrams"][label])
                envelope = Envelope("f", "a", 7, "b", messages)
                self.assertEqual(decode(data, KEY, "f"), envelope)
                self.assertEqual(encode(envelope, KEY), data)

    def test_four_members_exchange_the_same_datagrams_and_answer_with_the_same_json(self):
        trace, views = play()
        for label, view in GOLDEN["views"].items():
            with self.subTest(label):
                self.assertEqual(views[label], view)
        self.assertEqual(trace, GOLDEN["trace"])


if __name__ == "__main__":
    unittest.main()
