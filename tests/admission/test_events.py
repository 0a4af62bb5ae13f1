"""Tests of the JSON form in which two processes exchange measurements."""

from __future__ import annotations

import json

from marlstep.admission.events import Measurements

STORED = (
    '{"limit": 2.5, "base_us": 300.0, "call_usual_us": 40.0, "call_mean_us": 50.0, '
    '"means_us": {"low": 7.0, "high": 0.0}}'
)


def test_measurements_are_written_under_their_stored_names_in_their_order() -> None:
    measured = Measurements(2.5, 300.0, 40.0, 50.0, {"low": 7.0, "high": 0.0})
    assert json.dumps(measured.to_json()) == STORED
    assert Measurements.from_mapping(json.loads(STORED)) == measured


def test_absent_and_implausible_values_read_as_not_measured() -> None:
    raw = {"limit": True, "base_us": -1, "call_usual_us": 1e13, "means_us": {"low": "x", 3: 4}, "more": 1}
    assert Measurements.from_mapping(raw) == Measurements(mean_run_us={"low": 0.0, "3": 4.0})
