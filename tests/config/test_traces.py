"""`[trace]` of an operator's file: each key is read, and a wrong value is named by its key."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.config.traces import check_trace
from marlstep.traces.compiling import settings_digest
from marlstep.traces.mapping import DEFAULTS
from tests.cli.surface import read_golden
from tests.cli.trace_sections import COMPLETE, errors_of_unknown_keys, errors_of_wrong_values

GOLDEN: dict[str, Any] = read_golden("trace_settings.json")


def test_a_wrong_value_of_each_key_is_reported_with_the_recorded_text() -> None:
    assert errors_of_wrong_values() == GOLDEN["wrong"]


def test_an_unknown_key_of_each_table_is_reported_with_the_recorded_text() -> None:
    assert errors_of_unknown_keys() == GOLDEN["unknown"]


@pytest.mark.parametrize("name", sorted(DEFAULTS))
def test_the_defaults_of_a_format_keep_the_digest_that_schedules_store(name: str) -> None:
    assert settings_digest(DEFAULTS[name]) == GOLDEN["digests"][name]


def test_a_complete_section_keeps_the_digest_that_schedules_store() -> None:
    settings, columns = check_trace(COMPLETE, "generic")
    assert settings_digest(settings) == GOLDEN["digests"]["complete"]
    assert columns is not None and columns.unit_us == 1_000 and not columns.header
    assert columns.named() == ["at", "site", "3", "work", "gateway", "id", "phase"]
