"""The operator's file is read as commit f469a1f read it: tests/data/config.json, written by tests/data/write_config.py."""

import dataclasses
import json
import tomllib
import unittest
from pathlib import Path
from typing import Any

from pathsaddle.cli.show import explained
from pathsaddle.config.fleet import membership_config
from pathsaddle.config.loader import platform_config
from pathsaddle.config.reload import reloaded
from pathsaddle.config.schema import RELOADABLE_KEYS, Configuration, changed_keys
from pathsaddle.config.validation import InvalidConfigError, explain_keys, validate

GOLDEN: dict[str, Any] = json.loads((Path(__file__).parent / "data/config.json").read_text())


def read(text: str) -> Configuration:
    return validate(Configuration, tomllib.loads(text), "case.toml")


def as_json(value: object) -> Any:
    return json.loads(json.dumps(value, default=bytes.decode))


class GoldenConfiguration(unittest.TestCase):
    maxDiff = None

    def test_each_file_gives_the_same_platform_json(self) -> None:
        for name, case in GOLDEN["valid"].items():
            with self.subTest(name):
                self.assertEqual(
                    json.dumps(platform_config(read(case["text"]))), json.dumps(case["platform"])
                )

    def test_each_file_gives_the_same_membership(self) -> None:
        for name, case in GOLDEN["valid"].items():
            with self.subTest(name):
                configuration = read(case["text"])
                member = (
                    None
                    if configuration.fleet is None
                    else as_json(dataclasses.astuple(membership_config(configuration, "case.toml")))
                )
                self.assertEqual(member, case["member"])

    def test_each_faulty_file_gives_the_same_lines_in_the_same_order(self) -> None:
        for name, case in GOLDEN["faulty"].items():
            with self.subTest(name):
                with self.assertRaises((InvalidConfigError, tomllib.TOMLDecodeError)) as caught:
                    read(case["text"])
                self.assertEqual(str(caught.exception).splitlines(), case["lines"])

    def test_the_explanation_of_the_keys_is_the_same(self) -> None:
        self.assertEqual(
            explained(explain_keys(Configuration), RELOADABLE_KEYS).splitlines(), GOLDEN["explain"]
        )

    def test_each_reload_takes_in_and_leaves_out_the_same_keys(self) -> None:
        for name, case in GOLDEN["reloaded"].items():
            with self.subTest(name):
                before, after = read(case["before"]), read(case["after"])
                served, stays = reloaded(before, after)
                self.assertEqual(list(stays.items()), list(case["stays"].items()))
                self.assertEqual(platform_config(served), case["platform"])
                self.assertEqual(changed_keys(before, after), case["changed"])


if __name__ == "__main__":
    unittest.main()
