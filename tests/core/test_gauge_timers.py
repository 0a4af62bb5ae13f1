"""Timers of the controller, which wait a short time for fresh gauge readings."""

from __future__ import annotations

from marlstep.admission.events import Event, TimerDue
from marlstep.core.gauge_timers import GAUGES_MAX_AGE, GAUGES_TIMEOUT, GaugeTimers, are_gauges_fresh
from marlstep.units import MILLISECOND
from tests.support.node import START, ManualClock


class FakeGaugeSource:
    def __init__(self) -> None:
        self.request_count = 0

    def request_gauges(self) -> None:
        self.request_count += 1


class TimersUnderTest:
    def __init__(self) -> None:
        self.clock, self.source = ManualClock(), FakeGaugeSource()
        self.posted: list[Event] = []
        self.timers = GaugeTimers(self.clock.timeline, self.source, self.posted.append)


def test_gauges_are_fresh_up_to_their_maximum_age() -> None:
    assert are_gauges_fresh(START, START + GAUGES_MAX_AGE)
    assert not are_gauges_fresh(START, START + GAUGES_MAX_AGE + MILLISECOND)
    assert not are_gauges_fresh(None, START)


def test_a_timer_without_fresh_gauges_waits_for_new_ones() -> None:
    fixture = TimersUnderTest()
    fixture.timers.set_timer(5 * MILLISECOND, 7)
    fixture.clock.advance(6)
    assert fixture.source.request_count == 1 and fixture.posted == []
    fixture.timers.record({"cpu": 0.5})
    assert fixture.posted == [TimerDue(7, {"cpu": 0.5})]
    fixture.clock.advance(1_000)  # the timeout of the wait does not post it again
    assert len(fixture.posted) == 1


def test_a_timer_without_new_gauges_is_posted_with_the_last_ones_after_the_timeout() -> None:
    fixture = TimersUnderTest()
    fixture.timers.record({"cpu": 0.5})
    fixture.clock.advance(GAUGES_MAX_AGE / MILLISECOND + 1)
    fixture.timers.set_timer(0 * MILLISECOND, 7)
    fixture.timers.set_timer(0 * MILLISECOND, 8)
    fixture.clock.advance(GAUGES_TIMEOUT / MILLISECOND - 1)
    assert fixture.posted == []
    fixture.clock.advance(1)
    assert fixture.posted == [TimerDue(7, {"cpu": 0.5}), TimerDue(8, {"cpu": 0.5})]


def test_a_timer_with_fresh_gauges_requests_no_reading() -> None:
    fixture = TimersUnderTest()
    fixture.timers.record({"cpu": 0.5})
    fixture.timers.set_timer(5 * MILLISECOND, 7)
    fixture.clock.advance(5)
    assert fixture.source.request_count == 0 and fixture.posted == [TimerDue(7, {"cpu": 0.5})]
