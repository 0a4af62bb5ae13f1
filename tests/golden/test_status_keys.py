"""The JSON that operators see keeps its nested keys and the types of its values."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.golden.files import read_golden
from tests.golden.shapes import empty_paths, shape_lines
from tests.golden.shown import GETS, commands, other_commands, pages

GOLDEN: dict[str, dict[str, list[str]]] = read_golden("shapes.json")


@pytest.mark.parametrize(
    ("name", "make"), [("pages", pages), ("commands", commands), ("other commands", other_commands)]
)
def test_json_shown_to_operators_has_the_stored_shape(
    name: str, make: Callable[[Path], dict[str, Any]], tmp_path: Path
) -> None:
    shapes = {title: shape_lines(value) for title, value in make(tmp_path).items()}
    assert list(shapes) == list(GOLDEN[name])
    for title, lines in shapes.items():
        assert lines == GOLDEN[name][title], title


def test_every_page_has_a_stored_shape() -> None:
    assert {f"GET /v1/{path}" for path in GETS} <= set(GOLDEN["pages"])


def test_only_the_listed_lists_and_objects_were_empty_when_the_pages_were_stored() -> None:
    """The elements of an empty list or object would have no stored shape, so no test would cover them."""
    empty = {
        f"{title} {path}" for title, lines in GOLDEN["pages"].items() for path in empty_paths(lines)
    }  # fmt: skip
    assert empty == set(read_golden("empty.json"))
