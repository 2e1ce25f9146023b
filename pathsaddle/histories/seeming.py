"""Right histories, written by hand, that a hasty reader would accuse: every checker has to let them pass."""

from __future__ import annotations

from typing import Any

from pathsaddle.histories.logs import SECOND, Event, in_order


def looks_wrong(name: str) -> dict[str, list[Event]]:
    """Right histories that a hasty reader would accuse; by what they look like."""
    return {
        kind: in_order([Event(at, what, dict(more)) for at, what, more in rows])
        for kind, rows in LOOKS_WRONG[name].items()
    }


def _call(at: int, who: str, op: str, kind: str, **more: Any) -> tuple[int, str, dict[str, Any]]:
    return at, "reg.call", {"who": who, "op": op, "key": "plan", "kind": kind, **more}


def _end(at: int, who: str, op: str, outcome: str, **more: Any) -> tuple[int, str, dict[str, Any]]:
    return at, "reg.end", {"who": who, "op": op, "outcome": outcome, **more}


def _say(at: int, what: str, who: str, **more: Any) -> tuple[int, str, dict[str, Any]]:
    return at, what, {"who": who, **more}


_ID = {"customer": "north", "key": 7, "scheme": "render", "period": 1}
_MAY = {
    "may": {"render": ["north", "west"], "sign": ["north", "west"]},
    "data": {"textures": ["north", "west"]},
}


def _group(
    at: int, revision: int, allowance: int | None, op: str = "", who: str = "k", **more: Any
) -> tuple[int, str, dict[str, Any]]:
    """A call by which customer a gets that allowance; its digest is d and its op's name."""
    op = op or str(revision)
    row = None if allowance is None else {"allowance": allowance}
    return (
        at,
        "settings.call",
        {
            "who": who,
            "op": op,
            "revision": revision,
            "digest": f"d{op}",
            "before": f"d{revision - 1}",
            "puts": {"customers.a": row},
            **more,
        },
    )


def _goes_by(
    at: int, who: str, op: str, allowance: int, leased: bool = False
) -> tuple[int, str, dict[str, Any]]:
    return (
        at,
        "settings.act",
        {
            "who": who,
            "revision": int(op[0]),
            "digest": f"d{op}",
            "key": "customers.a",
            "value": {"allowance": allowance},
            "leased": leased,
        },
    )


_HOME = {"may": {"render": ["north"], "sign": ["north"]}, "data": {"textures": ["north"]}}

LOOKS_WRONG: dict[str, dict[str, list[tuple[int, str, dict[str, Any]]]]] = {
    "register": {
        "a take that nobody answered is there an hour later": [
            _call(0, "a", "1", "take"),
            _end(10, "a", "1", "unknown"),
            _call(20, "b", "2", "take"),
            _end(30, "b", "2", "ok", number=1, owner="b"),
            _call(40, "b", "3", "read"),
            _end(50, "b", "3", "ok", number=1, owner="b"),
            _call(3600 * SECOND, "b", "4", "read"),
            _end(3600 * SECOND + 9, "b", "4", "ok", number=2, owner="a"),
        ],
        "a read that began first saw the new, one that ended later the old": [
            _call(0, "a", "1", "take"),
            _call(1, "b", "2", "read"),
            _call(2, "c", "3", "read"),
            _end(5, "b", "2", "ok", number=1, owner="a"),
            _end(9, "c", "3", "ok", number=0, owner=""),
            _end(20, "a", "1", "ok", number=1, owner="a"),
        ],
        "a refused call that tells a number from before another's end": [
            _call(0, "a", "1", "take"),
            _call(1, "b", "2", "take"),
            _end(5, "a", "1", "ok", number=4, owner="a"),
            _end(9, "b", "2", "refused", number=0, owner=""),
        ],
        "a lower number at a receiver that saw no higher one, and refused at the other": [
            _say(0, "effect", "w1", key="plan", number=2, by="b", taken=True),
            _say(5, "effect", "w2", key="plan", number=1, by="a", taken=True),
            _say(9, "effect", "w1", key="plan", number=1, by="a", taken=False),
        ],
        "a lease given up in the moment in which the next begins": [
            _say(0, "lease", "a", key="plan", number=1, **{"from": 0, "until": 900}),
            _say(500, "lease", "b", key="plan", number=2, **{"from": 500, "until": 1400}),
            _say(500, "lease.end", "a", key="plan", number=1),
        ],
        "two unknown sets, of which the later came to be first": [
            _call(0, "a", "1", "take"),
            _end(1, "a", "1", "ok", number=1, owner="a"),
            _call(2, "a", "2", "set", value="x"),
            _end(3, "a", "2", "unknown"),
            _call(4, "a", "3", "set", value="y"),
            _end(5, "a", "3", "unknown"),
            _call(6, "b", "4", "read"),
            _end(7, "b", "4", "ok", value="y"),
            _call(8, "b", "5", "read"),
            _end(9, "b", "5", "ok", value="x"),
        ],
    },
    "shares": {
        "a part falls at one and rises at another in one moment": [
            _say(0, "share.budget", "a", budget="looks", units=10),
            _say(0, "share.rights", "a", budget="looks", units=10),
            _say(50, "share.rights", "b", budget="looks", units=4, until=90, floor=0),
            _say(50, "share.rights", "a", budget="looks", units=6),
            _say(90, "share.rights", "a", budget="looks", units=10),
        ],
        "charters that differ for a while": [
            _say(0, "share.budget", "a", budget="looks", units=10),
            _say(0, "share.budget", "b", budget="looks", units=10),
            _say(0, "share.rights", "a", budget="looks", units=5),
            _say(0, "share.rights", "b", budget="looks", units=5),
            _say(9, "share.budget", "a", budget="looks", units=6),
            _say(9, "share.rights", "a", budget="looks", units=3),
        ],
        "a whole second's rights spent at its end and again at the next one's": [
            _say(0, "share.budget", "a", budget="looks", units=3),
            _say(0, "share.rights", "a", budget="looks", units=3),
            _say(9_999, "share.spend", "a", budget="looks", units=3),
            _say(19_999, "share.spend", "a", budget="looks", units=3),
        ],
        "spent by a right that was told away just before": [
            _say(0, "share.budget", "a", budget="looks", units=3),
            _say(0, "share.rights", "a", budget="looks", units=3),
            _say(500, "share.rights", "a", budget="looks", units=0),
            _say(600, "share.spend", "a", budget="looks", units=1),
        ],
    },
    "counts": {
        "an interval that held only where its age begins": [
            _say(0, "count.true", "a", name="open", units=5),
            _say(5_000, "count.true", "a", name="open", units=50),
            _say(9_000, "count.told", "b", name="open", low=5, high=6, age=4_500),
        ],
        "a part dropped with its member, and told as before within the age": [
            _say(0, "count.true", "a", name="open", units=5),
            _say(5_000, "member.ended", "a", why="killed"),
            _say(5_500, "count.told", "b", name="open", low=5, high=5, age=1_000),
            _say(9_000, "count.told", "b", name="open", low=0, high=0, age=1_000),
        ],
        "a sum passed through": [
            _say(0, "count.true", "a", name="open", units=1),
            _say(10, "count.true", "a", name="open", units=9),
            _say(20, "count.true", "a", name="open", units=1),
            _say(30, "count.told", "b", name="open", low=9, high=9, age=25),
        ],
    },
    "shedding": {
        "a dear one declined for want of room beside a cheap one let in": [
            _say(0, "shed.in", "a", txn=1, standing=0.1, level=0.0, **_ID),
            _say(5, "shed.out", "b", txn=2, standing=2.0, level=0.0, wait=0, why="room", **{**_ID, "key": 8}),
        ],
        "the same identity in the next period": [
            _say(0, "shed.out", "a", txn=1, standing=1.0, level=1.1, wait=0, **_ID),
            _say(5, "shed.in", "b", txn=2, standing=1.0, level=0.9, **{**_ID, "period": 2}),
        ],
        "a cheap one let in because it may have run": [
            _say(0, "shed.out", "a", txn=1, standing=1.0, level=1.1, wait=500, **_ID),
            _say(5, "shed.in", "b", txn=2, standing=0.1, level=1.1, forced=True, **_ID),
        ],
        "levels that differ by no more than is stated": [
            _say(0, "shed.out", "a", txn=1, standing=1.3, level=1.31, wait=0, **_ID),
            _say(5, "shed.in", "b", txn=2, standing=1.11, level=1.1, **{**_ID, "key": 9}),
        ],
        "declined first, let in once the level had fallen": [
            _say(0, "shed.out", "a", txn=1, standing=1.0, level=1.1, wait=500, **_ID),
            _say(500, "shed.in", "b", txn=2, standing=1.0, level=0.95, **_ID),
        ],
    },
    "placement": {
        "an old planner that wakes late and is refused": [
            _say(
                0,
                "bay.reserve",
                "k",
                unit="u1",
                bay="b1",
                island="i",
                by="p2",
                number=2,
                revision=1,
                now=1,
                taken=True,
            ),
            _say(
                9,
                "bay.reserve",
                "k",
                unit="u2",
                bay="b1",
                island="i",
                by="p1",
                number=1,
                revision=1,
                now=2,
                taken=False,
            ),
        ],
        "a bay given to the next in the moment in which it is released": [
            _say(
                0,
                "bay.reserve",
                "k",
                unit="u1",
                bay="b1",
                island="i",
                by="p",
                number=1,
                revision=1,
                now=1,
                taken=True,
            ),
            _say(9, "bay.release", "k", unit="u1", bay="b1", why="word"),
            _say(
                9,
                "bay.reserve",
                "k",
                unit="u2",
                bay="b1",
                island="i",
                by="p",
                number=1,
                revision=3,
                now=3,
                taken=True,
            ),
        ],
        "a limit lowered under what is reserved": [
            _say(0, "island.limits", "k", island="i", bays=8, ports=10),
            _say(0, "unit.needs", "k", unit="u1", ports=6),
            _say(
                1,
                "bay.reserve",
                "k",
                unit="u1",
                bay="b1",
                island="i",
                by="p",
                number=1,
                revision=1,
                now=1,
                taken=True,
            ),
            _say(9, "island.limits", "k", island="i", bays=8, ports=4),
        ],
        "the same reservation again": [
            _say(0, "island.limits", "k", island="i", bays=1),
            _say(
                0,
                "bay.reserve",
                "k",
                unit="u1",
                bay="b1",
                island="i",
                by="p",
                number=1,
                revision=1,
                now=1,
                taken=True,
            ),
            _say(
                9,
                "bay.reserve",
                "k",
                unit="u1",
                bay="b1",
                island="i",
                by="p",
                number=1,
                revision=2,
                now=2,
                taken=True,
            ),
        ],
    },
    "federation": {
        "an old version used after a tighter one was committed, before that is in force": [
            _say(0, "spec.version", "k", version=1, state="committed", **_MAY),
            _say(1, "spec.version", "a", version=1, state="held", until=900),
            _say(9, "spec.version", "k", version=2, state="committed", **_HOME),
            _say(
                20,
                "abroad.sent",
                "a",
                post="1",
                txn="1",
                scheme="render",
                origin="north",
                to="west",
                version=1,
                **{"from": "north"},
            ),
        ],
        "in force while one holds an older version whose lease has ended": [
            _say(0, "spec.version", "k", version=1, state="committed", **_MAY),
            _say(1, "spec.version", "a", version=1, state="held", until=500),
            _say(2, "spec.version", "b", version=1, state="held", until=900),
            _say(9, "spec.version", "k", version=2, state="committed", **_HOME),
            _say(20, "spec.version", "b", version=2, state="held", until=2000),
            _say(600, "spec.version", "k", version=2, state="force"),
        ],
        "a once-only job that crosses again once it was declined": [
            _say(0, "spec.version", "k", version=1, state="committed", **_MAY),
            _say(
                9,
                "abroad.sent",
                "a",
                post="1",
                txn="1",
                scheme="sign",
                kind="once-only",
                origin="north",
                to="west",
                version=1,
                **{"from": "north"},
            ),
            _say(20, "abroad.ended", "a", post="1", txn="1", outcome="declined"),
            _say(
                21,
                "abroad.sent",
                "a",
                post="2",
                txn="1",
                scheme="sign",
                kind="once-only",
                origin="north",
                to="west",
                version=1,
                **{"from": "north"},
            ),
        ],
        "a region forbidden by a version and allowed by the next": [
            _say(0, "spec.version", "k", version=1, state="committed", **_HOME),
            _say(5, "spec.version", "k", version=1, state="force"),
            _say(9, "spec.version", "k", version=2, state="committed", **_MAY),
            _say(
                20,
                "abroad.sent",
                "a",
                post="1",
                txn="1",
                scheme="render",
                origin="north",
                to="west",
                version=2,
                **{"from": "north"},
            ),
        ],
    },
    "settings": {
        "a call that nobody answered, and a member goes by it": [
            _group(0, 1, 5),
            _say(1, "settings.end", "k", op="1", outcome="ok"),
            _group(10, 2, 9),
            _goes_by(50, "a", "2", 9),
            _say(90, "settings.end", "k", op="2", outcome="unknown"),
        ],
        "two calls for one revision that nobody answered, of which the next group names one": [
            _group(0, 1, 5),
            _group(10, 2, 9, "2"),
            _group(11, 2, 3, "2x", "l"),
            _goes_by(30, "a", "2x", 3),
            _group(40, 3, 4, before="d2x"),
            _say(60, "settings.end", "k", op="3", outcome="ok"),
            _goes_by(70, "a", "3", 4),
        ],
        "the same group again once the first call was refused by a register that could not be reached": [
            _group(0, 1, 5),
            _say(9, "settings.end", "k", op="1", outcome="refused"),
            _group(10, 1, 5, "1b", digest="d1"),
            _goes_by(30, "a", "1", 5),
        ],
        "alone, on an older one that the one in force allows": [
            _group(0, 1, 5),
            _goes_by(5, "a", "1", 5, True),
            _group(10, 2, 9),
            _say(20, "settings.force", "k", revision=2, digest="d2"),
            _goes_by(90, "a", "1", 5),
        ],
        "alone, by what was forbidden and is allowed again by one not yet answered": [
            _group(0, 1, 5),
            _group(10, 2, 3),
            _say(20, "settings.force", "k", revision=2, digest="d2"),
            _group(30, 3, 7),
            _goes_by(40, "a", "1", 5),
        ],
        "no limit at all, by an allowance of 0": [
            _group(0, 1, 5),
            _group(10, 2, 0),
            _say(20, "settings.force", "k", revision=2, digest="d2"),
            _goes_by(40, "a", "1", 5),
        ],
        "anybody may, where there is no customer left": [
            _group(0, 1, 5),
            _group(10, 2, None),
            _say(20, "settings.force", "k", revision=2, digest="d2"),
            _goes_by(40, "a", "1", 5),
        ],
        "back to an older one with an empty disk": [
            _group(0, 1, 5),
            _group(10, 2, 9),
            _goes_by(20, "a", "2", 9, True),
            _say(30, "disk.lost", "a"),
            _goes_by(40, "a", "1", 5, True),
            _goes_by(50, "a", "2", 9, True),
        ],
        "leased on the older in the moment in which the newer is told in force": [
            _group(0, 1, 5),
            _group(10, 2, 3),
            _goes_by(20, "a", "1", 5, True),
            _say(20, "settings.force", "k", revision=2, digest="d2"),
        ],
    },
    "txns": {
        "once-only again after a decline, and it ran once": [
            _say(0, "txn.taken", "a", txn="1", scheme="pay", kind="once-only", expiry=900),
            _say(1, "post.sent", "a", post="1/1", txn="1", worker="w1", kind="once-only"),
            _say(9, "post.ended", "a", post="1/1", txn="1", outcome="declined"),
            _say(10, "post.sent", "a", post="1/2", txn="1", worker="w2", kind="once-only"),
            _say(20, "post.ran", "w2", post="1/2", txn="1", kind="once-only"),
            _say(30, "post.ended", "a", post="1/2", txn="1", outcome="settled"),
            _say(31, "txn.answer", "a", txn="1", outcome="settled"),
            _say(40, "client.got", "c", txn="1", outcome="none"),
        ],
        "it ran, and its client was told that it failed": [
            _say(0, "txn.taken", "a", txn="1", scheme="pay", kind="once-only", expiry=900),
            _say(1, "post.sent", "a", post="1/1", txn="1", worker="w1", kind="once-only"),
            _say(9, "post.ran", "w1", post="1/1", txn="1", kind="once-only"),
            _say(20, "post.ended", "a", post="1/1", txn="1", outcome="unknown"),
            _say(21, "txn.answer", "a", txn="1", outcome="failed"),
            _say(30, "client.got", "c", txn="1", outcome="failed"),
        ],
        "no answer from one that was killed, and a late one from one that was stopped": [
            _say(0, "txn.taken", "a", txn="1", scheme="look", kind="repeatable", expiry=900),
            _say(0, "txn.taken", "b", txn="2", scheme="look", kind="repeatable", expiry=900),
            _say(100, "member.ended", "a", why="killed"),
            _say(2000, "txn.answer", "b", txn="2", outcome="failed"),
            _say(2001, "member.stood", "b", **{"from": 200, "until": 1990}),
        ],
        "a repeatable job that ran three times": [
            _say(0, "txn.taken", "a", txn="1", scheme="look", kind="repeatable", expiry=900),
            _say(1, "post.sent", "a", post="1/1", txn="1", worker="w1", kind="repeatable"),
            _say(2, "post.sent", "a", post="1/2", txn="1", worker="w2", kind="repeatable"),
            _say(5, "post.ran", "w1", post="1/1", txn="1", kind="repeatable"),
            _say(6, "post.ran", "w2", post="1/2", txn="1", kind="repeatable"),
            _say(7, "post.ran", "w2", post="1/2", txn="1", kind="repeatable"),
            _say(900, "txn.answer", "a", txn="1", outcome="settled"),
        ],
    },
}
