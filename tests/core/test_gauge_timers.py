"""Timers of the controller wait for fresh gauges, for a short time."""

from __future__ import annotations

from marlstep.admission.events import Event, TimerDue
from marlstep.core.gauge_timers import GAUGES_MAX_AGE, GAUGES_TIMEOUT, GaugeTimers, are_gauges_fresh
from marlstep.units import MILLISECOND
from tests.support.node import START, HandClock


class GaugeReader:
    def __init__(self) -> None:
        self.asked = 0

    def request_gauges(self) -> None:
        self.asked += 1


class TimersUnderTest:
    def __init__(self) -> None:
        self.clock, self.reader = HandClock(), GaugeReader()
        self.posted: list[Event] = []
        self.timers = GaugeTimers(self.clock.timeline, self.reader, self.posted.append)


def test_gauges_serve_a_timer_up_to_their_greatest_age() -> None:
    assert are_gauges_fresh(START, START + GAUGES_MAX_AGE)
    assert not are_gauges_fresh(START, START + GAUGES_MAX_AGE + MILLISECOND)
    assert not are_gauges_fresh(None, START)


def test_a_timer_without_fresh_gauges_waits_for_new_ones() -> None:
    test = TimersUnderTest()
    test.timers.set_timer(5 * MILLISECOND, 7)
    test.clock.advance(6)
    assert test.reader.asked == 1 and test.posted == []
    test.timers.record({"cpu": 0.5})
    assert test.posted == [TimerDue(7, {"cpu": 0.5})]
    test.clock.advance(1_000)  # the timeout of the wait does not post it again
    assert len(test.posted) == 1


def test_a_timer_whose_gauges_do_not_come_is_posted_with_the_last_ones_after_the_timeout() -> None:
    test = TimersUnderTest()
    test.timers.record({"cpu": 0.5})
    test.clock.advance(GAUGES_MAX_AGE / MILLISECOND + 1)
    test.timers.set_timer(0 * MILLISECOND, 7)
    test.timers.set_timer(0 * MILLISECOND, 8)
    test.clock.advance(GAUGES_TIMEOUT / MILLISECOND - 1)
    assert test.posted == []
    test.clock.advance(1)
    assert test.posted == [TimerDue(7, {"cpu": 0.5}), TimerDue(8, {"cpu": 0.5})]


def test_a_timer_with_fresh_gauges_asks_for_none() -> None:
    test = TimersUnderTest()
    test.timers.record({"cpu": 0.5})
    test.timers.set_timer(5 * MILLISECOND, 7)
    test.clock.advance(5)
    assert test.reader.asked == 0 and test.posted == [TimerDue(7, {"cpu": 0.5})]
