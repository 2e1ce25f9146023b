"""The start configuration: an invalid value is rejected by its key, and a missing one has its default.

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
from pathsaddle.net.wire.birth import InvalidKeyError, MissingKeyError, StartConfig, birth
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
MISSING = object()  # marks a key that is left out
SCHEME = ("settings", "Schemes", 0)
LIMITS = ("settings", "Limits")
OBLIGATIONS = ("settings", "Obligations")
NAN, INFINITY = math.nan, math.inf


def config_with(*path: Any, to: Any) -> str:
    """Return the text of a valid configuration with one key set to another value."""
    config = deepcopy(GOOD)
    section: Any = config
    for step in path[:-1]:
        section = section.setdefault(step, {}) if isinstance(section, dict) else section[step]
    if to is MISSING:
        section.pop(path[-1], None)
    else:
        section[path[-1]] = to
    return json.dumps(config)


def key_name(path: tuple[Any, ...]) -> str:
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path).lstrip(".")


# Invalid values by key.
INVALID_VALUES: tuple[tuple[tuple[Any, ...], tuple[Any, ...]], ...] = (
    (("seed",), ("xyz", 1.5, True, [])),
    (("limits",), ([], "many")),
    (("limits", "sockets"), (-1, 63, 1.5, NAN, INFINITY, "1024", True, 1 << 64)),
    (("limits", "memory_mb"), (-1, 7, NAN, INFINITY, "192")),
    (("known",), ([], 3)),
    (("known", "index"), (-1, "7", NAN)),
    (("known", "endpoints"), ({}, "w")),
    (
        ("known", "endpoints", 0),
        (None, 3, {}, {**WORKER, "group": "x"}, {**WORKER, "since_ms": NAN}, {**WORKER, "weight": "heavy"}),
    ),
    (("settings",), ([], [1], "x", 3)),
    (("settings", "Schemes"), ([], None, MISSING, {}, "render")),
    (SCHEME, (None, "render", [])),
    ((*SCHEME, "Name"), (None, MISSING, "", 3)),
    (("settings", "Schemes", 1, "Name"), ("render",)),
    ((*SCHEME, "Semantics"), ("keyd", "Safe", 1, True)),
    ((*SCHEME, "Group"), ("block", 0, ["all"])),
    ((*SCHEME, "Expiry"), (0, None, MISSING, -1, NAN, INFINITY, "10s", 1 << 64, True)),
    ((*SCHEME, "SlaTime"), (-1, NAN, "1s")),
    ((*SCHEME, "Window"), (-1, INFINITY, "1s")),
    ((*SCHEME, "Value"), (-0.1, NAN, INFINITY, "1")),
    ((*SCHEME, "OverdueValue"), (-0.1, NAN)),
    ((*SCHEME, "AimStretch"), (-1, "2")),
    (("settings", "Customers"), ({}, "acme")),
    (("settings", "Customers", 0), (None, 1)),
    (("settings", "Customers", 0, "Name"), (None, MISSING, "", 7)),
    (("settings", "Customers", 0, "AllowancePerS"), (-1, NAN, "50")),
    (("settings", "Customers", 0, "Portion"), (-1, INFINITY)),
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
    ((*LIMITS, "MaxPostings"), (-1, 0.5, "4", INFINITY)),
    ((*LIMITS, "OpenCap"), (-1, NAN)),
    ((*LIMITS, "ConnectTimeout"), (-1, INFINITY, "250ms")),
    ((*LIMITS, "IdleClose"), (-1, NAN)),
    ((*LIMITS, "MaxRetryAfter"), (-1, "2s")),
    ((*LIMITS, "MayDuplicate"), (1, "false", [])),
    ((*LIMITS, "Cancelling"), ("no",)),
    ((*LIMITS, "Probing"), (0,)),
    ((*LIMITS, "RetryAfter"), ("yes",)),
    ((*OBLIGATIONS, "ColdShare"), (-0.1, 1.1, NAN, "0.3")),
    ((*OBLIGATIONS, "FallMultiple"), (-1, INFINITY)),
    ((*OBLIGATIONS, "RampTime"), (-1, "9s")),
    ((*OBLIGATIONS, "Fall"), (-1, NAN)),
    ((*OBLIGATIONS, "AskEvery"), (-1, "10s")),
    ((*OBLIGATIONS, "AnswerSlack"), (-1,)),
    ((*OBLIGATIONS, "DrainGrace"), (-1, INFINITY)),
    ((*OBLIGATIONS, "DroppedStayOpen"), ("true",)),
    (("settings", "Prices", "CrossZone"), (-0.1, NAN, "cheap")),
    (("settings", "Prices", "Probe"), (-0.1,)),
    (("settings", "Report", "Source"), (1, [])),
    (("settings", "FamilyInfo", "ClassStretch"), (1.25, {})),
    (("settings", "FamilyInfo", "ClassKind"), (-1,)),
    (("settings", "FamilyInfo", "Progress"), (-1, "2s")),
    (("settings", "FamilyInfo", "TellsStart"), ("yes",)),
    (("settings", "FamilyInfo", "QueueOrder"), (3,)),
)


class RejectionTest(unittest.TestCase):
    def test_an_invalid_value_is_rejected_and_its_key_named(self) -> None:
        for path, values in INVALID_VALUES:
            for value in values:
                with self.subTest(key_name(path), value=value), self.assertRaises(InvalidKeyError) as raised:
                    birth(config_with(*path, to=value))
                message = str(raised.exception)
                self.assertIn(f"can't be used: {key_name(path)}: ", message)
                self.assertIn(f"; mend {key_name(path)} in the file that $GW_CONFIG names", message)

    def test_an_invalid_entry_of_a_list_parallel_to_the_schemes_is_named_by_its_index(self) -> None:
        for key, value in (
            ("ClassStretch", [1.25, "2"]),
            ("ClassStretch", [1, NAN]),
            ("ClassKind", [0, 2]),
            ("ClassKind", [0, 0.5]),
            ("ClassKind", [0, True]),
        ):
            with self.subTest(key, value=value), self.assertRaises(InvalidKeyError) as raised:
                birth(config_with("settings", "FamilyInfo", key, to=value))
            self.assertIn(f"settings.FamilyInfo.{key}[1]: ", str(raised.exception))

    def test_listen_and_discovery_are_required(self) -> None:
        for key in ("listen", "discovery"):
            for value in (MISSING, None, 7):
                with self.subTest(key, value=value), self.assertRaises(MissingKeyError) as raised:
                    birth(config_with(key, to=value))
                self.assertIn(key, str(raised.exception))
        with self.assertRaises(InvalidKeyError) as malformed:
            birth(config_with("discovery", to="nowhere"))
        self.assertIn("mend discovery", str(malformed.exception))

    def test_the_program_names_the_key_on_one_line_and_exits_with_2(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            config_file = Path(directory) / "config.json"
            config_file.write_text(config_with(*SCHEME, "Semantics", to="keyd"))
            process = subprocess.run(
                [sys.executable, "-m", "pathsaddle"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
                timeout=60,
                env={**os.environ, "GW_CONFIG": str(config_file)},
            )
        self.assertEqual((process.returncode, process.stderr.count("\n")), (2, 1), process.stderr)
        self.assertIn(
            "settings.Schemes[0].Semantics: 'keyd' was given where one of safe, keyed, unsafe is expected; "
            "mend settings.Schemes[0].Semantics in",
            process.stderr,
        )

    def test_the_bench_message_is_checked_by_the_same_keys(self) -> None:
        """The bench's first message holds the settings alone, and its schemes need no names."""
        settings = deepcopy(SETTINGS)
        del settings["Schemes"][0]["Name"]
        self.assertEqual(len(terms.terms(settings).schemes), 2)
        settings["Schemes"][1]["Expiry"] = "soon"
        with self.assertRaisesRegex(terms.InvalidSettingError, r"settings\.Schemes\[1\]\.Expiry"):
            terms.terms(settings)


def parse_with(*path: Any, to: Any) -> StartConfig:
    return birth(config_with(*path, to=to))


class DefaultsTest(unittest.TestCase):
    """Missing, null and 0 all mean "not set" where the platform cannot express it otherwise."""

    UNSET = (MISSING, None, 0)

    def test_resource_limits_and_seed(self) -> None:
        for value in self.UNSET:
            self.assertEqual(parse_with("limits", "sockets", to=value).sockets, 1024)
            self.assertEqual(parse_with("limits", "memory_mb", to=value).memory_mb, INFINITY)
        for value in (MISSING, None):
            self.assertEqual(parse_with("limits", to=value).sockets, 1024)
        for value in (MISSING, None, "", 0):
            self.assertEqual(parse_with("seed", to=value).seed, 0)
        self.assertEqual(parse_with("seed", to="ff").seed, 255)

    def test_the_last_known_list(self) -> None:
        for value in (MISSING, None, {}, {"index": None, "endpoints": None}):
            parsed = parse_with("known", to=value)
            self.assertEqual((parsed.list_index, parsed.list_rows), (0, []))
        minimal = parse_with(
            "known", "endpoints", to=[{"name": "w", "weight": None, "group": None, "since_ms": None}]
        ).list_rows[0]
        self.assertEqual(
            (minimal.worker.weight, minimal.worker.cell, minimal.worker.started_at), (1.0, 0, None)
        )

    def test_a_scheme(self) -> None:
        for value in self.UNSET:
            scheme = parse_with(*SCHEME, "SlaTime", to=value).scheduler.schemes[0]
            self.assertEqual(scheme.sla_time, scheme.expiry)
            scheme = parse_with(*SCHEME, "Window", to=value).scheduler.schemes[0]
            self.assertEqual((scheme.window, scheme.value), (0, 1.0))
        for value in (MISSING, None, ""):
            self.assertIs(
                parse_with(*SCHEME, "Semantics", to=value).scheduler.schemes[0].semantics, Semantics.ONCE_ONLY
            )
            self.assertIs(
                parse_with(*SCHEME, "Group", to=value).scheduler.schemes[0].group, DeduplicationGroup.ALL
            )

    def test_limits_and_rules(self) -> None:
        for value in self.UNSET:
            self.assertEqual(parse_with(*LIMITS, "MaxPostings", to=value).scheduler.max_postings, 1)
            self.assertEqual(parse_with(*LIMITS, "OpenCap", to=value).scheduler.max_open_txns, 1 << 60)
            self.assertEqual(parse_with(*LIMITS, "MaxRetryAfter", to=value).scheduler.max_retry_after, 0)
            self.assertEqual(parse_with(*LIMITS, "ConnectTimeout", to=value).timeouts.connect_timeout, SECOND)
            self.assertEqual(parse_with(*LIMITS, "IdleClose", to=value).timeouts.idle_timeout, 60 * SECOND)
            self.assertEqual(
                parse_with(*OBLIGATIONS, "AskEvery", to=value).scheduler.list_poll_interval, 10 * SECOND
            )
            self.assertEqual(parse_with(*OBLIGATIONS, "RampTime", to=value).scheduler.slow_start_time, 0)
            self.assertEqual(parse_with("settings", "Balancers", to=value).scheduler.dispatchers, 1)
        for key in ("Limits", "Obligations", "Prices", "Report", "FamilyInfo", "Customers", "Azs", "Kinds"):
            for value in (MISSING, None):
                with self.subTest(key, value=value):
                    self.assertEqual(len(parse_with("settings", key, to=value).scheduler.schemes), 2)

    def test_unknown_values_of_optional_features_count_as_missing(self) -> None:
        parsed = parse_with("settings", "Report", to={"Source": "dreams", "Fields": ["x0", "mood"]}).scheduler
        self.assertFalse(parsed.reports_in_answers or parsed.reports_in_probes)
        self.assertFalse(
            parse_with("settings", "FamilyInfo", "QueueOrder", to="lottery").scheduler.allows_backfill
        )
        self.assertFalse(parse_with("settings", "ValueBasis", to="weight").scheduler.value_by_work)
        self.assertEqual(len(parse_with("settings", "SomethingNew", to={"x": 1}).scheduler.schemes), 2)

    def test_a_duration_shorter_than_a_tick_is_not_taken_for_not_set(self) -> None:
        self.assertEqual(parse_with(*LIMITS, "ConnectTimeout", to=50_000).timeouts.connect_timeout, 1)
        self.assertEqual(parse_with(*OBLIGATIONS, "AskEvery", to=1).scheduler.list_poll_interval, 1)
        self.assertEqual(parse_with(*SCHEME, "Expiry", to=1).scheduler.schemes[0].expiry, 1)
        self.assertEqual(
            parse_with(*SCHEME, "Window", to=99_999).scheduler.schemes[0].window,
            0,
            "no repeat beyond a window",
        )

    def test_the_longest_duration_means_for_ever(self) -> None:
        forever = (1 << 63) - 1
        self.assertEqual(parse_with(*SCHEME, "Expiry", to=forever).scheduler.schemes[0].expiry, terms.LONGEST)
        self.assertGreater(parse_with(*LIMITS, "IdleClose", to=forever).timeouts.idle_timeout, terms.LONGEST)
        self.assertGreater(
            parse_with(*OBLIGATIONS, "AskEvery", to=forever).scheduler.list_poll_interval, terms.LONGEST
        )

    def test_the_dispatcher_count_covers_the_own_number(self) -> None:
        """With a smaller count a dispatcher took another's share of what a cold worker can take."""
        for value in (*self.UNSET, 2, 4):
            config = json.loads(config_with("settings", "Me", to=3))
            if value is MISSING:
                del config["settings"]["Balancers"]
            else:
                config["settings"]["Balancers"] = value
            self.assertEqual(birth(json.dumps(config)).scheduler.dispatchers, 4)


class SettingsPageTest(unittest.TestCase):
    def test_the_page_has_a_row_for_each_key_with_invalid_values(self) -> None:
        page = (ROOT / "docs/settings.md").read_text(encoding="utf-8").partition("## The constants")[0]
        cells = [line.split("|")[1] for line in page.splitlines() if line.startswith("| ")]
        documented = set(re.findall(r"[A-Za-z_]+", " ".join(cells)))
        for path, _ in INVALID_VALUES:
            name = next(step for step in reversed(path) if isinstance(step, str))
            with self.subTest(key_name(path)):
                self.assertTrue(name in documented, f"no row for {name}")


if __name__ == "__main__":
    unittest.main()
