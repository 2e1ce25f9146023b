"""Our own two sites: each stands for its own side, and the operators' files are laid whole or not at all."""

import shutil
import subprocess
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SITES = ROOT / "deploy/sites"
THEIRS = ("real.json", "wire.json", "unlock.txt")


def site(name: str) -> dict[str, Any]:
    return tomllib.loads((SITES / f"{name}.toml").read_text())


def names(told: dict[str, Any]) -> set[str]:
    listed = [told, *told["tier"], *told["tier"][0]["kind"], *told["class"], *told.get("tenant", [])]
    return {entry["name"] for entry in listed} | set(told["net"]["zones"])


class SiteStory(unittest.TestCase):
    def test_one_is_long_once_only_work_pushed_without_tenants(self) -> None:
        told = site("kolari-castings")
        effects = [scheme["effect"] for scheme in told["class"]]
        self.assertGreater(effects.count("unsafe"), len(effects) / 2)
        self.assertTrue(
            all(scheme["work_ms"][0] >= 500 and scheme["deadline_ms"] >= 10_000 for scheme in told["class"])
        )
        self.assertEqual((told["discovery"]["mode"], "tenant" in told), ("push", False))

    def test_the_other_is_short_referenced_work_asked_for_and_never_two_at_once(self) -> None:
        told = site("pemba-quotes")
        self.assertEqual({scheme["effect"] for scheme in told["class"]}, {"keyed"})
        self.assertIn("cell", {scheme["group"] for scheme in told["class"]})
        # A window past the expiry would never close on a txn, and its clock would never be put to the test.
        self.assertTrue(all(scheme["window_ms"] < scheme["deadline_ms"] <= 2_500 for scheme in told["class"]))
        self.assertEqual((told["discovery"]["mode"], told["allow"]["second_copies"]), ("ask", False))
        self.assertAlmostEqual(sum(tenant["share"] for tenant in told["tenant"]), 1)

    def test_nothing_is_called_the_same_at_both(self) -> None:
        self.assertEqual(names(site("kolari-castings")) & names(site("pemba-quotes")), set())


class LayStory(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.ours, self.given = Path(folder.name) / "ours", Path(folder.name) / "given with a space"
        self.ours.mkdir()
        self.given.mkdir()
        shutil.copy(SITES / "lay", self.ours)
        for name in THEIRS:
            (self.given / name).write_text(f"first {name}")
            (self.given / name).chmod(0o444)

    def lay(self, *folders: str) -> int:
        command = [str(self.ours / "lay"), *folders]
        return subprocess.run(command, check=False, timeout=30, capture_output=True).returncode

    def laid(self) -> dict[str, str]:
        return {path.name: path.read_text() for path in self.ours.iterdir() if path.name != "lay"}

    def test_a_later_delivery_takes_the_place_of_the_one_before(self) -> None:
        self.assertEqual(self.lay(str(self.given)), 0)
        self.assertEqual(self.laid(), {name: f"first {name}" for name in THEIRS})
        for name in THEIRS:
            (self.given / name).chmod(0o644)
            (self.given / name).write_text(f"second {name}")
        self.assertEqual(self.lay(str(self.given)), 0)
        self.assertEqual(self.laid(), {name: f"second {name}" for name in THEIRS})

    def test_a_folder_that_lacks_one_lays_none(self) -> None:
        for name in THEIRS:
            with self.subTest(name):
                (self.given / name).rename(self.given / "away")
                self.assertEqual(self.lay(str(self.given)), 1)
                self.assertEqual(self.laid(), {})
                (self.given / "away").rename(self.given / name)

    def test_no_folder_is_a_wrong_call(self) -> None:
        self.assertEqual(self.lay(), 2)

    def test_what_is_laid_is_not_ours_to_commit(self) -> None:
        kept_out = (ROOT / ".gitignore").read_text().splitlines()
        for name in THEIRS:
            self.assertIn(f"deploy/sites/{name}", kept_out)
