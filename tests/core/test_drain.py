"""Drain: the grace period, and the responses before the process stops."""

from __future__ import annotations

import pytest

from marlstep.core.drain import STOP_MARGIN, grace_end
from marlstep.core.interfaces import ResponseStatus
from marlstep.units import SECOND
from tests.support.node import START, CoreDriver


def test_an_arrival_after_the_drain_grace_is_rejected_and_never_run() -> None:
    driver = CoreDriver()
    driver.core.drain(driver.clock.now() + 3.2 * SECOND)
    driver.clock.advance(2490)
    driver.submit(1)
    assert driver.backend.commands == [("start", "r1")]
    driver.clock.advance(20)
    assert driver.stopped_accepting
    driver.submit(2)
    assert driver.statuses(2) == [ResponseStatus.REJECTED]
    driver.clock.advance(600)
    assert driver.statuses(1) == [ResponseStatus.EXPIRED]
    assert driver.core.unanswered == 0


def test_frontends_stop_accepting_after_the_grace_or_before_the_stop_if_that_comes_first() -> None:
    assert grace_end(START + SECOND, START + 3 * SECOND) == START + SECOND
    assert grace_end(START + SECOND, START + SECOND) == START + SECOND - STOP_MARGIN


def test_requests_that_the_core_answers_before_the_stop_are_logged_by_stage(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # Guards against a stop whose log does not say whether the core or the controller gave the last responses.
    driver = CoreDriver()
    driver.submit(1)
    driver.core.respond_to_all()
    driver.core.respond_to_all()
    assert [record.message for record in caplog.records if record.levelname == "WARNING"] == [
        "requests unanswered before the stop: running: 1"
    ]
