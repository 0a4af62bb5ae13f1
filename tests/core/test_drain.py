"""Drain: the grace period, and the responses before the process stops."""

from __future__ import annotations

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
