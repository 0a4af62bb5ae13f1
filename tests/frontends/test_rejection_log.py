"""The rate limit of log lines about rejected client input."""

from __future__ import annotations

import pytest

from marlstep.frontends.rejection_log import MAX_LINES_PER_SECOND, RejectionLog
from marlstep.units import SECOND
from tests.support.node import START


def test_only_the_first_rejections_of_a_second_are_logged_and_the_rest_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rejection_log = RejectionLog(START)
    for _ in range(MAX_LINES_PER_SECOND + 3):
        rejection_log.write("request rejected", "unknown command", START)
    rejection_log.write("request rejected", "unknown command", START + SECOND)
    line = "request rejected: reason=unknown command"
    expected = [line] * MAX_LINES_PER_SECOND + ["rejections not logged: count=3", line]
    assert [record.getMessage() for record in caplog.records] == expected
