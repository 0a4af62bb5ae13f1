"""docs/crossings.md names only tests that exist, and names every test of this package."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "crossings.md").read_text("utf-8")
NAMED_ON_PAGE = set(re.findall(r"`(test_\w+)`", PAGE))
OWN_FILE = Path(__file__).name


def find_test_functions(package: str) -> set[str]:
    """Return the names of the test functions in a package under `tests`."""
    paths = [path for path in (ROOT / "tests" / package).glob("test_*.py") if path.name != OWN_FILE]
    return {
        name
        for path in paths
        for name in re.findall(r"^def (test_\w+)", path.read_text("utf-8"), re.MULTILINE)
    }


def test_each_test_that_the_page_names_exists() -> None:
    assert (
        NAMED_ON_PAGE
        - find_test_functions("races")
        - find_test_functions("core")
        - find_test_functions("hot_restart")
        == set()
    )


def test_each_race_test_stands_on_the_page() -> None:
    assert find_test_functions("races") - NAMED_ON_PAGE == set()


def test_each_file_that_the_page_names_exists() -> None:
    files = set(re.findall(r"`(tests/[\w/]+\.py)`", PAGE))
    assert files and not [name for name in files if not (ROOT / name).exists()]
