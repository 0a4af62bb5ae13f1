"""The timer queue: deadlines fall due in order, and one that fails or is cancelled takes no other along."""

import functools

from marlstep.units import MILLISECOND, SECOND
from tests.support.node import START, HandClock


def test_deadlines_fall_due_in_order_and_cancelled_ones_never() -> None:
    clock, seen = HandClock(), list[int]()
    deadlines = [
        clock.timeline.at(START + ms * MILLISECOND, functools.partial(seen.append, ms)) for ms in (3, 1, 2)
    ]
    clock.timeline.cancel(deadlines[2])
    clock.timeline.cancel(deadlines[2])
    clock.advance(5)
    assert seen == [1, 3] and len(clock.timeline) == 0
    clock.timeline.cancel(deadlines[0])  # when over, a cancel does nothing
    assert len(clock.timeline) == 0


def test_a_deadline_that_fails_takes_no_other_along() -> None:
    # Guards against one fault in a callback leaving the alarm unset, and with it every later answer.
    clock, seen = HandClock(), list[int]()
    clock.timeline.at(START, lambda: seen.append(1 // 0))
    clock.timeline.at(START, lambda: seen.append(2))
    clock.timeline.at(START + SECOND, lambda: seen.append(3))
    clock.advance(2000)
    assert seen == [2, 3]


def test_many_cancelled_deadlines_do_not_pile_up() -> None:
    clock = HandClock()
    for _ in range(1000):
        clock.timeline.cancel(clock.timeline.at(START + SECOND, lambda: None))
    assert len(clock.timeline._heap) < 200
