"""The operator's file: all errors reported together, the translation to the platform's JSON, and a reload."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any, ClassVar
from unittest import mock

from pathsaddle.cli.show import explained
from pathsaddle.config.dispatcher import ConfiguredDispatcher
from pathsaddle.config.loader import platform_config, read_configuration
from pathsaddle.config.schema import RELOADABLE_KEYS, Configuration
from pathsaddle.config.units import format_quantity, parse_duration, parse_size
from pathsaddle.config.validation import InvalidConfigError, explain_keys, load_toml
from pathsaddle.emulator import plan
from pathsaddle.experiment import capacity, scale
from pathsaddle.net.service import logbook
from pathsaddle.net.wire.birth import birth
from pathsaddle.scheduler_types import Semantics

ROOT = Path(__file__).parent.parent
GOOD = """
listen = "127.0.0.1:8080"
discovery = "127.0.0.1:9090"
[[schemes]]
name = "charge"
semantics = "once-only"
sla = "400ms"
expiry = "8s"
"""


class OperatorsFile(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "charter.toml"

    def errors_of(self, text: str) -> list[str]:
        self.path.write_text(text)
        with self.assertRaises(InvalidConfigError) as caught:
            read_configuration(self.path)
        return [f"{fault.path}: {fault.text}" for fault in caught.exception.faults]

    def test_all_errors_are_reported_at_once_with_the_nearest_key(self) -> None:
        found = self.errors_of(
            GOOD.replace('"400ms"', '"400"') + "vlaue = 3\n[limits]\nsockets = 3\nmemory = 7\n"
        )
        self.assertEqual(len(found), 4)
        self.assertIn(
            "schemes[0].vlaue: no such key; the nearest known key is value; rename schemes[0].vlaue or take "
            "it out",
            found,
        )
        self.assertIn(
            'schemes[0].sla: "400" stands there; write a duration such as "250ms" at schemes[0].sla', found
        )
        self.assertIn(
            "limits.sockets: 3 stands there; write a whole number at least 64 at limits.sockets", found
        )
        self.assertIn('limits.memory: 7 stands there; write a size such as "64MiB" at limits.memory', found)

    def test_a_missing_key_invalid_toml_and_an_absent_file(self) -> None:
        self.assertIn(
            'discovery: is missing; write an address such as "127.0.0.1:8080" at discovery',
            self.errors_of('listen = "a:1"\n'),
        )
        self.assertIn("is not TOML: ", self.errors_of("listen = ")[0])
        self.path.unlink()
        with self.assertRaises(InvalidConfigError):
            read_configuration(self.path)

    def test_dropped_stay_open_reaches_the_terms(self) -> None:
        for text, is_open in (("", False), ("[rules]\ndropped_stay_open = true\n", True)):
            self.path.write_text(GOOD + text)
            self.assertIs(
                birth(
                    json.dumps(platform_config(read_configuration(self.path)))
                ).scheduler.delisted_workers_usable,
                is_open,
            )

    def test_contradictions_are_reported(self) -> None:
        self.assertIn(
            "a referenced scheme needs a window", self.errors_of(GOOD.replace("once-only", "referenced"))[0]
        )
        self.assertIn("less than dispatchers", self.errors_of("number = 1\n" + GOOD)[0])
        self.assertIn("it names no port", self.errors_of(GOOD.replace("127.0.0.1:8080", "here"))[0])
        self.assertIn("stands there twice", self.errors_of(GOOD + GOOD[GOOD.index("[[") :])[0])

    def test_units(self) -> None:
        for text, ticks in (("250ms", 2500), ("1.5s", 15_000), ("2min", 1_200_000), ("1h", 36_000_000)):
            self.assertEqual(parse_duration(text), ticks)
            self.assertEqual(parse_duration(json.loads(format_quantity(parse_duration(text)))), ticks)
        self.assertEqual(parse_size("64MiB"), 64 << 20)
        for bad in ("5", "s", "-5s", "1e3s", "5 parsecs", 5, None, "٣s"):
            with self.assertRaises(ValueError):
                parse_duration(bad)

    def test_the_file_and_the_platforms_json_give_the_same_terms(self) -> None:
        self.path.write_text(GOOD)
        one = birth(json.dumps(platform_config(read_configuration(self.path))))
        settings = {
            "Azs": ["here"],
            "Discovery": "subscribe",
            "Period": 2_000_000,
            "Schemes": [
                {
                    "Name": "charge",
                    "Semantics": "unsafe",
                    "SlaTime": 400_000_000,
                    "Expiry": 8_000_000_000,
                    "Value": 1.0,
                }
            ],
        }
        other = birth(
            json.dumps({"listen": "127.0.0.1:8080", "discovery": "127.0.0.1:9090", "settings": settings})
        )
        self.assertEqual((one.listen, one.discovery), (other.listen, other.discovery))
        a, b = one.scheduler.schemes[0], other.scheduler.schemes[0]
        self.assertEqual((a.semantics, a.sla_time, a.expiry), (Semantics.ONCE_ONLY, 4000, 80_000))
        self.assertEqual((a.semantics, a.sla_time, a.expiry), (b.semantics, b.sla_time, b.expiry))
        self.assertTrue(one.scheduler.list_needs_subscription and other.scheduler.list_needs_subscription)

    def test_a_reload_takes_over_what_may_change_and_names_the_keys_that_stay(self) -> None:
        self.path.write_text(GOOD)
        dispatcher = ConfiguredDispatcher(self.path)
        with (
            mock.patch.object(logbook, "stays") as unchanged,
            mock.patch.object(logbook, "open_log") as opened,
        ):
            self.path.write_text('[log]\nlevel = "WARNING"\n[limits]\nsockets = 128\n')
            with self.assertRaises(InvalidConfigError):
                dispatcher.moved()
            self.assertEqual(
                dispatcher.configuration.discovery, "127.0.0.1:9090", "a broken file changes nothing"
            )
            self.path.write_text(
                GOOD.replace("9090", "9091").replace("8080", "8081").replace("400ms", "401ms")
                + '[log]\nlevel = "WARNING"\n[limits]\nsockets = 128\n'
            )
            self.assertEqual(dispatcher.moved(), "127.0.0.1:9091")
            self.assertEqual(
                [call.kwargs["key"] for call in unchanged.call_args_list], ["listen", "limits.sockets"]
            )
            self.assertEqual(
                (dispatcher.configuration.schemes[0].sla, dispatcher.configuration.limits.sockets),
                (4010, 1024),
            )
            opened.assert_called_once_with("WARNING", "text")
        self.assertIn('"127.0.0.1:8080"', dispatcher.told())

    def test_the_pages_hold_what_explain_prints(self) -> None:
        for explanation, page in (
            (explained(explain_keys(Configuration), RELOADABLE_KEYS), "charter.md"),
            (explained(explain_keys(plan.Plan)), "plan.md"),
            (explained(explain_keys(scale.Plan)), "plan.md"),
            (explained(explain_keys(capacity.Target)), "scale.md"),
        ):
            self.assertIn(explanation, (ROOT / "docs" / page).read_text(), f"docs/{page} is old")

    def test_the_example_is_valid(self) -> None:
        read_configuration(ROOT / "deploy/charter.example.toml")

    def test_the_catalogue_of_log_lines_and_the_on_call_page_agree(self) -> None:
        page = (ROOT / "docs/on-call.md").read_text().partition("## The log")[2].partition("###")[0]
        rows = {
            line.split("|")[1].strip().strip("`"): line.split("|")[2].strip()
            for line in page.splitlines()
            if line.startswith("| `")
        }
        self.assertEqual(sorted(rows), sorted(logbook.CATALOGUE))
        for name, line in logbook.CATALOGUE.items():
            stem = line.text.partition("{")[0].strip()
            self.assertIn(stem, rows[name], name)
            if line.level != "INFO":
                self.assertIn(line.level.lower(), rows[name], name)


class PlanFile(unittest.TestCase):
    GOOD: ClassVar[dict[str, Any]] = {
        "name": "p",
        "seconds": 1,
        "charter": {"schemes": [{"name": "a", "semantics": "repeatable", "expiry": "5s"}]},
    }

    def errors_of(self, **more: object) -> str:
        with self.assertRaises(InvalidConfigError) as caught:
            plan.of({**self.GOOD, **more}, "p.toml")
        return "\n".join(map(str, caught.exception.faults))

    def test_a_wrong_plan_is_refused_before_anything_starts(self) -> None:
        self.assertIn(
            'faults[0].at: "-3s" stands there; write a duration',
            self.errors_of(faults=[{"kind": "freeze", "at": "-3s"}]),
        )
        self.assertIn(
            "no worker is called so", self.errors_of(faults=[{"kind": "freeze", "at": "1s", "of": "nobody"}])
        )
        self.assertIn("one of freeze, crash", self.errors_of(faults=[{"kind": "frees", "at": "1s"}]))
        self.assertIn("either at or rate", self.errors_of(faults=[{"kind": "freeze"}]))
        self.assertIn("load.jobs.b: no such scheme", self.errors_of(load={"jobs": {"b": {}}}))
        self.assertIn(
            "variants[0]: reach.conect: no such key; the nearest known key is connect",
            self.errors_of(variants=[{"name": "v", "charter": {"reach": {"conect": "1s"}}}]),
        )
        self.assertIn("seeds", self.errors_of(seeds="9..3"))

    def test_the_plans_of_the_repository_are_valid(self) -> None:
        for path in (ROOT / "experiments").glob("*.toml"):
            if "charter" in load_toml(
                path
            ):  # what has none is the plan of a ground of its own, checked where it is played
                plan.read(path)


if __name__ == "__main__":
    unittest.main()
