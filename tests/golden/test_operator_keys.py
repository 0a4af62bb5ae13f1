"""`[fleet]` of the operator's file: every key keeps its meaning, and errors name the key as stored."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from tests.golden.everything import fleet_section, operator_config
from tests.golden.files import read_golden
from tests.golden.sections import config_error, read_section, with_key

GOLDEN: dict[str, Any] = read_golden("sections.json")
KEYS: dict[str, list[str]] = GOLDEN["keys"]


def test_a_complete_section_is_read_to_the_stored_values(tmp_path: Path) -> None:
    assert read_section(tmp_path) == GOLDEN["complete"]


def test_a_section_with_only_required_keys_is_read_to_the_stored_defaults(tmp_path: Path) -> None:
    assert read_section(tmp_path, minimal=True) == GOLDEN["least"]


def test_the_complete_section_has_every_stored_key(tmp_path: Path) -> None:
    section = fleet_section(tmp_path)
    assert set(section) == set(KEYS["fleet"])
    assert set(section["members"]) == set(KEYS["fleet.members"])
    assert set(section["rules"]) == set(KEYS["fleet.rules"])
    for row in section["rules"]["documents"].values():
        assert set(row) == set(KEYS["fleet.rules.documents.settings"])
    assert {key for row in section["tasks"].values() for key in row} == set(KEYS["fleet.tasks.sweep"])


@pytest.mark.parametrize("path", KEYS)
def test_the_error_for_an_unknown_key_names_the_key(path: str, tmp_path: Path) -> None:
    operator = with_key(operator_config(tmp_path), path, "colour", 1)
    assert config_error(operator) == GOLDEN["unknown"][path] != ""


@pytest.mark.parametrize("path", KEYS)
def test_the_error_for_an_invalid_value_names_its_key(path: str, tmp_path: Path) -> None:
    for key in KEYS[path]:
        error = config_error(with_key(operator_config(tmp_path), path, key, []))
        assert error == GOLDEN["wrong"][f"{path}.{key}"], key
