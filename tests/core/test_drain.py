"""Drain: the grace period, and the responses before the process stops."""

from __future__ import annotations

from marlstep.core.drain import STOP_MARGIN, grace_end
from marlstep.core.interfaces import ResponseStatus
from marlstep.units import SECOND
from tests.support.node import START, Desk


def test_an_arrival_after_the_drain_grace_is_rejected_and_never_run() -> None:
    desk = Desk()
    desk.core.drain(desk.clock.now() + 3.2 * SECOND)
    desk.clock.advance(2490)
    desk.submit(1)
    assert desk.backend.told == [("start", "r1")]
    desk.clock.advance(20)
    assert desk.stopped
    desk.submit(2)
    assert desk.verdicts(2) == [ResponseStatus.REJECTED]
    desk.clock.advance(600)
    assert desk.verdicts(1) == [ResponseStatus.EXPIRED]
    assert desk.core.unanswered == 0


def test_frontends_stop_accepting_after_the_grace_or_before_the_stop_if_that_comes_first() -> None:
    assert grace_end(START + SECOND, START + 3 * SECOND) == START + SECOND
    assert grace_end(START + SECOND, START + SECOND) == START + SECOND - STOP_MARGIN
