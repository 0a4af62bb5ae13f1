"""Tests of `[trace]` in an operator's file: each key is read, and errors name the key of the wrong value."""

from __future__ import annotations

from typing import Any

import pytest

from marlstep.config.readers import ConfigError
from marlstep.config.traces import read_trace
from marlstep.traces.default_mappings import DEFAULT_MAPPINGS
from marlstep.traces.settings_digest import settings_digest
from tests.cli.surface import read_golden
from tests.cli.trace_sections import COMPLETE, errors_of_unknown_keys, errors_of_wrong_values
from tests.traces.support import (
    REQUEST_CLASSES,
)

GOLDEN: dict[str, Any] = read_golden("trace_settings.json")


def test_a_wrong_value_of_each_key_is_reported_with_the_recorded_text() -> None:
    assert errors_of_wrong_values() == GOLDEN["wrong"]


def test_an_unknown_key_of_each_table_is_reported_with_the_recorded_text() -> None:
    assert errors_of_unknown_keys() == GOLDEN["unknown"]


@pytest.mark.parametrize("name", sorted(DEFAULT_MAPPINGS))
def test_the_defaults_of_a_format_keep_the_digest_that_schedules_store(name: str) -> None:
    assert settings_digest(DEFAULT_MAPPINGS[name]) == GOLDEN["digests"][name]


def test_a_complete_section_keeps_the_digest_that_schedules_store() -> None:
    config = read_trace(COMPLETE, "generic")
    columns = config.columns
    assert settings_digest(config.mapping) == GOLDEN["digests"]["complete"]
    assert columns is not None and columns.unit_us == 1_000 and not columns.has_header
    assert columns.all_columns() == ["at", "site", "3", "work", "gateway", "id", "phase"]


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ({"colour": 1}, "trace.colour is not known"),
        ({"format": "google-2019"}, "trace.format is google-2019, but the trace is read as google-2011"),
        ({"format": ["google-2011"]}, "trace.format must be one of"),
        ({"format": {}}, "trace.format must be one of"),
        ({"rules": [{"kinds": ["1"]}]}, r"trace.rules\[0\].class is missing"),
        ({"rules": [{"class": "x"}]}, r"trace.rules\[0\].class must be one of"),
        (
            {"rules": [{"class": REQUEST_CLASSES[0]}, {"class": REQUEST_CLASSES[1], "kinds": ["1"]}]},
            r"rules\[1\] is never reached",
        ),
        ({"work": {REQUEST_CLASSES[0]: {"least_ms": 5, "most_ms": 4}}}, "most_ms must not be under"),
        ({"scale": {"low": 3, "high": 3}}, "trace.scale.high must be above"),
        ({"tenants": {"mode": "some"}}, "trace.tenants.mode must be one of"),
        ({"columns": {"time": "t", "unit": "s"}}, "trace.columns is for the format generic"),
    ],
)
def test_the_error_for_an_invalid_section_names_its_key(raw: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError, match=message):
        read_trace(raw, "google-2011")
    with pytest.raises(ConfigError, match=r"trace\.columns is missing"):
        read_trace({}, "generic")
    with pytest.raises(ConfigError, match=r"trace\.columns\.unit must be one of"):
        read_trace({"columns": {"time": "t"}}, "generic")
    with pytest.raises(ConfigError, match=r"trace\.columns\.unit must be one of"):
        read_trace({"columns": {"time": "t", "unit": ["s"]}}, "generic")
