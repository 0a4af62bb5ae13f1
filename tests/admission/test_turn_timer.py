"""Tests of the controller's timer and of the wakeups for which it is set."""

from __future__ import annotations

from marlstep.admission.actions import SetTimer
from marlstep.admission.entry import Entry
from marlstep.admission.timing import NEVER
from marlstep.admission.turn_timer import TurnTimer
from marlstep.admission.wake_heap import WakeHeap
from tests.admission.entries import queued_entry


def test_a_timer_is_set_only_if_none_is_due_at_least_as_early() -> None:
    timer = TurnTimer()
    assert timer.arm(100, due=300) == [SetTimer(200, 300)]
    assert timer.arm(100, due=300) == []
    assert timer.arm(100, due=250) == [SetTimer(150, 250)]


def test_a_timer_that_is_due_already_is_set_for_the_next_microsecond() -> None:
    assert TurnTimer().arm(100, due=50) == [SetTimer(1, 101)]


def test_an_older_timer_does_not_clear_one_that_was_set_after_it() -> None:
    timer = TurnTimer()
    timer.arm(100, due=300)
    timer.arm(100, due=250)
    timer.mark_fired(300)
    assert timer.due_at == 250
    timer.mark_fired(250)
    assert timer.due_at == NEVER


def test_entries_are_returned_by_due_time_and_then_in_insertion_order() -> None:
    heap, first, second, third = WakeHeap(), *(queued_entry(id=name) for name in "abc")
    heap.add(third, 20)
    heap.add(first, 10)
    heap.add(second, 10)
    assert heap.next_due() == 10
    assert [heap.pop_due(20, lambda _: True) for _ in range(4)] == [first, second, third, None]
    assert heap.next_due() == NEVER


def test_entries_that_are_no_longer_current_are_dropped_even_before_they_are_due() -> None:
    heap, stale, current = WakeHeap(), queued_entry(id="stale"), queued_entry(id="current")
    heap.add(stale, 10)
    heap.add(current, 20)

    def is_current(entry: Entry) -> bool:
        return entry is current

    assert heap.pop_due(5, is_current) is None
    assert len(heap) == 1
