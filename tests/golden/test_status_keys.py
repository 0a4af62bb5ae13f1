"""The JSON that operators are shown: its keys, nested, and the types of its values, as they were."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.golden.files import read_golden
from tests.golden.shapes import bare, written
from tests.golden.shown import GETS, commands, other_commands, pages

GOLDEN: dict[str, dict[str, list[str]]] = read_golden("shapes.json")


@pytest.mark.parametrize(
    ("name", "make"), [("pages", pages), ("commands", commands), ("other commands", other_commands)]
)
def test_what_is_shown_has_the_stored_shape(
    name: str, make: Callable[[Path], dict[str, Any]], tmp_path: Path
) -> None:
    found = {what: written(told) for what, told in make(tmp_path).items()}
    assert list(found) == list(GOLDEN[name])
    for what, lines in found.items():
        assert lines == GOLDEN[name][what], what


def test_every_page_is_there() -> None:
    assert {f"GET /v1/{path}" for path in GETS} <= set(GOLDEN["pages"])


def test_no_list_and_no_table_of_a_page_was_empty_when_it_was_stored() -> None:
    """Else the shape of what it holds would be held by nothing."""
    empty = {
        f"{what} {path}" for what, lines in GOLDEN["pages"].items() for path in bare(lines)
    }  # fmt: skip
    assert empty == set(read_golden("empty.json"))
