"""The periodic status log line: increments of counters, and current values of gauges."""

from __future__ import annotations

import pytest

from marlstep.status_log import STATUS_INTERVAL, StatusLog, format_counters
from marlstep.units import MILLISECOND
from tests.support.node import CoreDriver


def test_counters_are_sorted_by_name_and_contain_no_spaces() -> None:
    assert format_counters({"runs": 2, "without rules": 1, "done": 3}) == "done=3 runs=2 without_rules=1"


def test_a_status_without_counts_is_idle() -> None:
    assert format_counters({}) == "idle"


def test_each_line_counts_since_the_previous_one(caplog: pytest.LogCaptureFixture) -> None:
    driver = CoreDriver()
    StatusLog(driver.core, driver.clock.timeline, lambda: 5).start()
    with caplog.at_level("INFO", "marlstep"):
        for count in (2, 0):
            driver.core.counts["read"] += count
            driver.clock.advance(STATUS_INTERVAL / MILLISECOND)
    lines = [record.getMessage() for record in caplog.records if record.getMessage().startswith("status: ")]
    assert lines == [
        "status: read=2 in_flight=0 advertised=- connections=5",
        "status: idle in_flight=0 advertised=- connections=5",
    ]
