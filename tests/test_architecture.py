"""docs/ARCHITECTURE.md names modules that exist, and each program's entry can be imported from where it says."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


class ArchitecturePageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.page = (ROOT / "docs" / "ARCHITECTURE.md").read_text(encoding="utf-8")

    def test_every_named_module_and_package_exists(self) -> None:
        named = set(re.findall(r"`([a-z_]+(?:/[a-z_]+)*(?:\.py|/))`", self.page))
        self.assertGreater(len(named), 40)
        missing = {
            name for name in named if not any((base / name).exists() for base in (ROOT / "pathsaddle", ROOT))
        }
        self.assertEqual(missing, set())

    def test_every_linked_page_exists(self) -> None:
        for page in (ROOT / "README.md", ROOT / "CONTRIBUTING.md", ROOT / "docs" / "ARCHITECTURE.md"):
            linked = re.findall(r"\]\(([\w./-]+\.md)\)", page.read_text(encoding="utf-8"))
            self.assertGreater(len(linked), 1, page)
            self.assertEqual([name for name in linked if not (page.parent / name).exists()], [], page)

    def test_every_package_of_the_program_is_named(self) -> None:
        packages = {path.parent.name for path in (ROOT / "pathsaddle").glob("*/__init__.py")} - {"ownership"}
        self.assertEqual(
            {name for name in packages if f"{name}/" not in self.page and f"`{name}`" not in self.page}, set()
        )


if __name__ == "__main__":
    unittest.main()
