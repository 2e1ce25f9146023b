"""Stories of what is told at the start: what can't be meant is refused by its very key, all else has its stated default.

The rows are those of docs/settings.md.
"""

import json
import math
import os
import re
import subprocess
import sys
import tempfile
import unittest
from copy import deepcopy
from pathlib import Path
from typing import Any

from pathsaddle.net.wire import terms
from pathsaddle.net.wire.birth import Birth, Lacks, Unfit, birth
from pathsaddle.scheduler_types import SECOND, DeduplicationGroup, Semantics
from tests.fakehost import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
WORKER = {
    "name": "w",
    "address": "127.0.0.1:1",
    "zone": "a",
    "type": "m1",
    "group": 0,
    "status": "active",
    "weight": 1.0,
    "since_ms": 0,
}
GOOD: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"index": 7, "snapshot": True, "endpoints": [WORKER]},
    "settings": SETTINGS,
}
GONE = object()
SCHEME = ("settings", "Schemes", 0)
LIMITS = ("settings", "Limits")
DUTY = ("settings", "Obligations")
NAN, FAR = math.nan, math.inf


def told(*way: Any, to: Any) -> str:
    """What is told, but for one key."""
    whole = deepcopy(GOOD)
    part: Any = whole
    for step in way[:-1]:
        part = part.setdefault(step, {}) if isinstance(part, dict) else part[step]
    if to is GONE:
        part.pop(way[-1], None)
    else:
        part[way[-1]] = to
    return json.dumps(whole)


def path(way: tuple[Any, ...]) -> str:
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in way).lstrip(".")


# What can't be meant: the key, and what stands there.
REFUSED: tuple[tuple[tuple[Any, ...], tuple[Any, ...]], ...] = (
    (("seed",), ("xyz", 1.5, True, [])),
    (("limits",), ([], "many")),
    (("limits", "sockets"), (-1, 63, 1.5, NAN, FAR, "1024", True, 1 << 64)),
    (("limits", "memory_mb"), (-1, 7, NAN, FAR, "192")),
    (("known",), ([], 3)),
    (("known", "index"), (-1, "7", NAN)),
    (("known", "endpoints"), ({}, "w")),
    (
        ("known", "endpoints", 0),
        (None, 3, {}, {**WORKER, "group": "x"}, {**WORKER, "since_ms": NAN}, {**WORKER, "weight": "heavy"}),
    ),
    (("settings",), ([], [1], "x", 3)),
    (("settings", "Schemes"), ([], None, GONE, {}, "render")),
    (SCHEME, (None, "render", [])),
    ((*SCHEME, "Name"), (None, GONE, "", 3)),
    (("settings", "Schemes", 1, "Name"), ("render",)),
    ((*SCHEME, "Semantics"), ("keyd", "Safe", 1, True)),
    ((*SCHEME, "Group"), ("block", 0, ["all"])),
    ((*SCHEME, "Expiry"), (0, None, GONE, -1, NAN, FAR, "10s", 1 << 64, True)),
    ((*SCHEME, "SlaTime"), (-1, NAN, "1s")),
    ((*SCHEME, "Window"), (-1, FAR, "1s")),
    ((*SCHEME, "Value"), (-0.1, NAN, FAR, "1")),
    ((*SCHEME, "OverdueValue"), (-0.1, NAN)),
    ((*SCHEME, "AimStretch"), (-1, "2")),
    (("settings", "Customers"), ({}, "acme")),
    (("settings", "Customers", 0), (None, 1)),
    (("settings", "Customers", 0, "Name"), (None, GONE, "", 7)),
    (("settings", "Customers", 0, "AllowancePerS"), (-1, NAN, "50")),
    (("settings", "Customers", 0, "Portion"), (-1, FAR)),
    (("settings", "Azs"), ("a", {})),
    (("settings", "Azs", 1), ("a", 3, None)),
    (("settings", "Kinds", 1), ("m1", 3)),
    (("settings", "Balancers"), (-1, 1.5, NAN, "4", True, 1 << 64)),
    (("settings", "Me"), (-1, "n0")),
    (("settings", "Zone"), (-1, 2, "a")),
    (("settings", "Period"), (-1, "2ms")),
    (("settings", "Discovery"), ("push", 1)),
    (("settings", "ExcessValue"), (-1, NAN)),
    (("settings", "ValueBasis"), (1, ["work"])),
    (("settings", "Limits"), ([1], 4)),
    ((*LIMITS, "MaxPostings"), (-1, 0.5, "4", FAR)),
    ((*LIMITS, "OpenCap"), (-1, NAN)),
    ((*LIMITS, "ConnectTimeout"), (-1, FAR, "250ms")),
    ((*LIMITS, "IdleClose"), (-1, NAN)),
    ((*LIMITS, "MaxRetryAfter"), (-1, "2s")),
    ((*LIMITS, "MayDuplicate"), (1, "false", [])),
    ((*LIMITS, "Cancelling"), ("no",)),
    ((*LIMITS, "Probing"), (0,)),
    ((*LIMITS, "RetryAfter"), ("yes",)),
    ((*DUTY, "ColdShare"), (-0.1, 1.1, NAN, "0.3")),
    ((*DUTY, "FallMultiple"), (-1, FAR)),
    ((*DUTY, "RampTime"), (-1, "9s")),
    ((*DUTY, "Fall"), (-1, NAN)),
    ((*DUTY, "AskEvery"), (-1, "10s")),
    ((*DUTY, "AnswerSlack"), (-1,)),
    ((*DUTY, "DrainGrace"), (-1, FAR)),
    ((*DUTY, "DroppedStayOpen"), ("true",)),
    (("settings", "Prices", "CrossZone"), (-0.1, NAN, "cheap")),
    (("settings", "Prices", "Probe"), (-0.1,)),
    (("settings", "Report", "Source"), (1, [])),
    (("settings", "FamilyInfo", "ClassStretch"), (1.25, {})),
    (("settings", "FamilyInfo", "ClassKind"), (-1,)),
    (("settings", "FamilyInfo", "Progress"), (-1, "2s")),
    (("settings", "FamilyInfo", "TellsStart"), ("yes",)),
    (("settings", "FamilyInfo", "QueueOrder"), (3,)),
)


class Refused(unittest.TestCase):
    def test_what_cant_be_meant_is_refused_by_its_very_key(self) -> None:
        for way, values in REFUSED:
            for value in values:
                with self.subTest(path(way), value=value), self.assertRaises(Unfit) as met:
                    birth(told(*way, to=value))
                said = str(met.exception)
                self.assertIn(f"can't be used: {path(way)}: ", said)
                self.assertIn(f"; mend {path(way)} in the file that $GW_CONFIG names", said)

    def test_an_entry_beside_the_schemes_is_named_by_its_place(self) -> None:
        for key, value in (
            ("ClassStretch", [1.25, "2"]),
            ("ClassStretch", [1, NAN]),
            ("ClassKind", [0, 2]),
            ("ClassKind", [0, 0.5]),
            ("ClassKind", [0, True]),
        ):
            with self.subTest(key, value=value), self.assertRaises(Unfit) as met:
                birth(told("settings", "FamilyInfo", key, to=value))
            self.assertIn(f"settings.FamilyInfo.{key}[1]: ", str(met.exception))

    def test_where_to_listen_and_to_watch_must_be_said(self) -> None:
        for key in ("listen", "discovery"):
            for value in (GONE, None, 7):
                with self.subTest(key, value=value), self.assertRaises(Lacks) as met:
                    birth(told(key, to=value))
                self.assertIn(key, str(met.exception))
        with self.assertRaises(Unfit) as bad:
            birth(told("discovery", to="nowhere"))
        self.assertIn("mend discovery", str(bad.exception))

    def test_the_program_ends_with_the_key_on_one_line_and_code_2(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "config.json"
            file.write_text(told(*SCHEME, "Semantics", to="keyd"))
            done = subprocess.run(
                [sys.executable, "-m", "pathsaddle"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
                timeout=60,
                env={**os.environ, "GW_CONFIG": str(file)},
            )
        self.assertEqual((done.returncode, done.stderr.count("\n")), (2, 1), done.stderr)
        self.assertIn(
            "settings.Schemes[0].Semantics: 'keyd' stands there, and one of safe, keyed, unsafe belongs there; "
            "mend settings.Schemes[0].Semantics in",
            done.stderr,
        )

    def test_the_bench_is_told_by_the_same_names(self) -> None:
        """Its first message is the settings alone, and its schemes need no names."""
        settings = deepcopy(SETTINGS)
        del settings["Schemes"][0]["Name"]
        self.assertEqual(len(terms.terms(settings).schemes), 2)
        settings["Schemes"][1]["Expiry"] = "soon"
        with self.assertRaisesRegex(terms.Amiss, r"settings\.Schemes\[1\]\.Expiry"):
            terms.terms(settings)


def born(*way: Any, to: Any) -> Birth:
    return birth(told(*way, to=to))


class Defaults(unittest.TestCase):
    """Missing, null and 0 are all "not set" where the platform has no other way to say so."""

    UNSET = (GONE, None, 0)

    def test_what_the_process_may_take(self) -> None:
        for value in self.UNSET:
            self.assertEqual(born("limits", "sockets", to=value).sockets, 1024)
            self.assertEqual(born("limits", "memory_mb", to=value).memory_mb, FAR)
        for value in (GONE, None):
            self.assertEqual(born("limits", to=value).sockets, 1024)
        for value in (GONE, None, "", 0):
            self.assertEqual(born("seed", to=value).seed, 0)
        self.assertEqual(born("seed", to="ff").seed, 255)

    def test_the_list_as_last_had(self) -> None:
        for value in (GONE, None, {}, {"index": None, "endpoints": None}):
            got = born("known", to=value)
            self.assertEqual((got.index, got.rows), (0, []))
        bare = born(
            "known", "endpoints", to=[{"name": "w", "weight": None, "group": None, "since_ms": None}]
        ).rows[0]
        self.assertEqual((bare.worker.weight, bare.worker.cell, bare.worker.started_at), (1.0, 0, None))

    def test_a_scheme(self) -> None:
        for value in self.UNSET:
            scheme = born(*SCHEME, "SlaTime", to=value).terms.schemes[0]
            self.assertEqual(scheme.sla_time, scheme.expiry)
            scheme = born(*SCHEME, "Window", to=value).terms.schemes[0]
            self.assertEqual((scheme.window, scheme.value), (0, 1.0))
        for value in (GONE, None, ""):
            self.assertIs(
                born(*SCHEME, "Semantics", to=value).terms.schemes[0].semantics, Semantics.ONCE_ONLY
            )
            self.assertIs(born(*SCHEME, "Group", to=value).terms.schemes[0].group, DeduplicationGroup.ALL)

    def test_limits_and_rules(self) -> None:
        for value in self.UNSET:
            self.assertEqual(born(*LIMITS, "MaxPostings", to=value).terms.max_postings, 1)
            self.assertEqual(born(*LIMITS, "OpenCap", to=value).terms.max_open_txns, 1 << 60)
            self.assertEqual(born(*LIMITS, "MaxRetryAfter", to=value).terms.max_retry_after, 0)
            self.assertEqual(born(*LIMITS, "ConnectTimeout", to=value).reach.connect_within, SECOND)
            self.assertEqual(born(*LIMITS, "IdleClose", to=value).reach.idle_within, 60 * SECOND)
            self.assertEqual(born(*DUTY, "AskEvery", to=value).terms.list_poll_interval, 10 * SECOND)
            self.assertEqual(born(*DUTY, "RampTime", to=value).terms.slow_start_time, 0)
            self.assertEqual(born("settings", "Balancers", to=value).terms.dispatchers, 1)
        for key in ("Limits", "Obligations", "Prices", "Report", "FamilyInfo", "Customers", "Azs", "Kinds"):
            for value in (GONE, None):
                with self.subTest(key, value=value):
                    self.assertEqual(len(born("settings", key, to=value).terms.schemes), 2)

    def test_words_that_steer_no_rule_are_as_if_missing_where_we_dont_know_them(self) -> None:
        got = born("settings", "Report", to={"Source": "dreams", "Fields": ["x0", "mood"]}).terms
        self.assertFalse(got.reports_in_answers or got.reports_in_probes)
        self.assertFalse(born("settings", "FamilyInfo", "QueueOrder", to="lottery").terms.allows_backfill)
        self.assertFalse(born("settings", "ValueBasis", to="weight").terms.value_by_work)
        self.assertEqual(len(born("settings", "SomethingNew", to={"x": 1}).terms.schemes), 2)

    def test_a_span_shorter_than_a_tick_is_not_taken_for_none_at_all(self) -> None:
        self.assertEqual(born(*LIMITS, "ConnectTimeout", to=50_000).reach.connect_within, 1)
        self.assertEqual(born(*DUTY, "AskEvery", to=1).terms.list_poll_interval, 1)
        self.assertEqual(born(*SCHEME, "Expiry", to=1).terms.schemes[0].expiry, 1)
        self.assertEqual(
            born(*SCHEME, "Window", to=99_999).terms.schemes[0].window, 0, "no repeat beyond a window"
        )

    def test_for_ever_may_be_meant(self) -> None:
        ever = (1 << 63) - 1
        self.assertEqual(born(*SCHEME, "Expiry", to=ever).terms.schemes[0].expiry, terms.LONGEST)
        self.assertGreater(born(*LIMITS, "IdleClose", to=ever).reach.idle_within, terms.LONGEST)
        self.assertGreater(born(*DUTY, "AskEvery", to=ever).terms.list_poll_interval, terms.LONGEST)

    def test_one_more_than_our_own_number_are_there_at_least(self) -> None:
        """Told of fewer, it took another's part of what a cold worker bears for its own."""
        for value in (*self.UNSET, 2, 4):
            whole = json.loads(told("settings", "Me", to=3))
            if value is GONE:
                del whole["settings"]["Balancers"]
            else:
                whole["settings"]["Balancers"] = value
            self.assertEqual(birth(json.dumps(whole)).terms.dispatchers, 4)


class Page(unittest.TestCase):
    def test_it_has_a_row_for_each_key_that_is_refused_somewhere(self) -> None:
        page = (ROOT / "docs/settings.md").read_text(encoding="utf-8").partition("## The constants")[0]
        cells = [line.split("|")[1] for line in page.splitlines() if line.startswith("| ")]
        named = set(re.findall(r"[A-Za-z_]+", " ".join(cells)))
        for way, _ in REFUSED:
            name = next(step for step in reversed(way) if isinstance(step, str))
            with self.subTest(path(way)):
                self.assertTrue(name in named, f"no row for {name}")


if __name__ == "__main__":
    unittest.main()
