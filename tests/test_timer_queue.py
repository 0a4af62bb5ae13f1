"""Timer queue: timers run in order, and a timer that raises or is cancelled does not affect others."""

import functools

from marlstep.units import MILLISECOND, SECOND
from tests.support.node import START, ManualClock


def test_timers_run_in_order_and_cancelled_ones_never() -> None:
    clock, calls = ManualClock(), list[int]()
    timers = [
        clock.timeline.at(START + ms * MILLISECOND, functools.partial(calls.append, ms)) for ms in (3, 1, 2)
    ]
    clock.timeline.cancel(timers[2])
    clock.timeline.cancel(timers[2])
    clock.advance(5)
    assert calls == [1, 3] and len(clock.timeline) == 0
    clock.timeline.cancel(timers[0])  # cancelling a timer that has run does nothing
    assert len(clock.timeline) == 0


def test_a_timer_that_raises_does_not_stop_others() -> None:
    # Guards against an exception in one callback that leaves the alarm unset, so that all later responses fail.
    clock, calls = ManualClock(), list[int]()
    clock.timeline.at(START, lambda: calls.append(1 // 0))
    clock.timeline.at(START, lambda: calls.append(2))
    clock.timeline.at(START + SECOND, lambda: calls.append(3))
    clock.advance(2000)
    assert calls == [2, 3]


def test_many_cancelled_timers_do_not_accumulate() -> None:
    clock = ManualClock()
    for _ in range(1000):
        clock.timeline.cancel(clock.timeline.at(START + SECOND, lambda: None))
    assert len(clock.timeline._heap) < 200
