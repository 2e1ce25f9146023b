"""Writes `overload.json` beside this file: golden data of `pathsaddle/fleet/overload/` as of commit f469a1f.

Run it with a checkout of f469a1f as the current directory and on the path, never with later code, whose names differ:
`PYTHONPATH=. python .../write_overload.py`. What it holds: the bytes of load summaries (all fields set, defaults, capped), the
rank hash and band of several requests, the answers of one gate to a fixed course of requests and summaries, the summaries that
this gate published, and the digest of the log of one emulated run.
"""

from __future__ import annotations

import json
from dataclasses import astuple
from pathlib import Path
from random import Random

from pathsaddle.emulator.overload.ground import Ground
from pathsaddle.emulator.overload.plan import Plan, Trouble
from pathsaddle.fleet.overload.gate import Gate, Ways
from pathsaddle.fleet.overload.standing import Ask, band, drawn
from pathsaddle.fleet.overload.word import Word, packed, read, short

SECOND = 10_000
SECRET = b"a golden secret"


class Limiter:
    """Grants two of three."""

    def __init__(self) -> None:
        self.count = 0

    def takes(self, budget: str, units: int, now: int) -> bool:
        self.count += 1
        return self.count % 3 != 0


def summaries() -> list[object]:
    every = [
        Word(
            48.5,
            1.25,
            0.0625,
            0.5,
            31.5,
            [0.25 * n for n in range(16)],
            {short(f"c{n}"): 0.5 * n for n in range(5)},
        ),
        Word(0.0, 1.0, 0.0, 0.0, 0.0, [0.0] * 16),
        Word(1e9, 2.0, 0.5, 1e9, 1e9, [1e9] * 16, {n: 1e9 - n for n in range(40)}),
    ]
    return [
        {
            "fields": [*astuple(one)[:6], sorted(one.customers.items())],
            "bytes": packed(one).hex(),
            "read": [*astuple(read(packed(one)))[:6], sorted(read(packed(one)).customers.items())],
        }
        for one in every
    ]


def requests() -> list[list[object]]:
    return [
        ["c0", "k0", "s0", 1.0, 0.3, 2000.0, 10_000, 2000.0, 0.0, False],
        ["", "7 1.0 None", "1", 12.5, 0.0, 400.0, 100, 2000.0, 0.0, False],
        ["c1", "a key of \u00fcmlauts", "s1", 4.0, 0.3, 2000.0, 10_000, 2000.0, 1500.0, True],
        ["c2", "k", "s2", 0.0, 1.0, 1.0, -5, 3.0, 0.0, False],
        ["c3", "k", "s3", 1e6, 1.0, 1.0, 50, 3.0, 0.0, False],
    ]


def ranks() -> list[object]:
    rows = []
    for fields in requests():
        ask = Ask(*fields)
        for now in (0, 123_456, 17_000_000_000_000):
            rows.append(
                {
                    "request": fields,
                    "now": now,
                    "hash": drawn(SECRET, ask, now),
                    "hash_over": drawn(SECRET, ask, now, b"over"),
                    "bands": [band(ask, 0.001, False), band(ask, 0.001, True)],
                }
            )
    return rows


def course() -> dict[str, object]:
    """One gate of four; its peers offer much for three seconds, then little."""
    random, now = Random(7), 0
    gate = Gate(
        Ways(SECRET, 4, 0.001, {f"c{n}": 10.0 for n in range(4)}, 20.0, SECOND // 2, 8 * SECOND),
        "d1",
        1,
        Limiter(),
        0,
    )
    answers, published, levels = [], [], []
    for step in range(80):
        now += SECOND // 10
        if step % 5 == 0:
            total = 30.0 if step < 30 else 2.0
            offered = [total if n == 8 else 0.5 for n in range(16)]
            body = packed(
                Word(40.0, 1.0, 0.0, 0.0, total, offered, {short("c0"): 9.0 * (step < 30), short("c1"): 1.0})
            )
            gate.hears([(f"d{n}", 1, step + 1, body, (0, None if n == 3 else 100)) for n in range(4)], now)
        gate.sees(40.0, 0.1 if step > 40 else 0.0, 0.5 if step < 20 else 0.0)
        gate.came_of(step % 7 == 0)
        gate.wake(now)
        levels.append([gate.level.stands, gate.trim, sorted(gate.overs.items())])
        for _ in range(6):
            ask = Ask(
                f"c{random.randrange(4)}",
                f"k{random.randrange(40)}",
                "s",
                random.choice((0.2, 1.0, 4.0, 20.0)),
                0.3,
                float(random.randrange(500, 4000)),
                random.randrange(500, SECOND),
                2000.0,
            )
            given = gate.lets_in(ask, now)
            answers.append(
                [given.let, given.stands, given.level, given.over, given.come_back, given.why, given.period]
            )
        answers.append([gate.goes_out("repeat", "w1", now), gate.goes_out("look", None, now)])
        published.append(gate.word(now).hex())
    return {
        "answers": answers,
        "published": published[::8],
        "levels": levels,
        "refused": gate.budgets.refused,
    }


def run() -> dict[str, object]:
    plan = Plan(name="golden", seconds=4.0, members=6, load=1.8, again=3, troubles=[Trouble("cut", 1.0, 2.0)])
    return {"digest": Ground(plan, 3).run().digest()}


if __name__ == "__main__":
    golden = {
        "commit": "f469a1f",
        "summaries": summaries(),
        "short": [[c, short(c)] for c in ("c0", "", "7", "\u00fc")],
        "ranks": ranks(),
        "course": course(),
        "run": run(),
    }
    Path(__file__).with_name("overload.json").write_text(json.dumps(golden, separators=(",", ":")) + "\n")
