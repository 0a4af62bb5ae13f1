"""Deadlines, slots and the stream's end: what the rest stands on."""

import functools

import pytest

from marlstep.slots import SlotTable, TableFullError
from marlstep.units import MILLISECOND, SECOND, instant, instant_us, span, span_us, whole_ms
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


def test_a_handle_is_good_until_its_slot_is_given_back() -> None:
    table = SlotTable[str](2)
    first = table.add("a")
    assert table.free(first) and not table.free(first)
    second = table.add("b")
    assert table.get(first) is None and table.get(second) == "b" and list(table) == ["b"]
    table.add("c")
    with pytest.raises(TableFullError):
        table.add("d")


def test_units_come_back_whole_and_waits_are_rounded_up() -> None:
    assert instant(instant_us(START)) == START and span(span_us(SECOND)) == SECOND
    assert [whole_ms(span(us)) for us in (0, 1, 1000, 1001)] == [0, 1, 1, 2]
