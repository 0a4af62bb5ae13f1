"""The longest idempotency window of a class since a time, over changes of settings in a row."""

from __future__ import annotations

from dataclasses import replace

from marlstep.admission.settings import ClassSettings, Effect
from marlstep.core.idempotency_windows import IdempotencyWindows
from marlstep.simulator.configuration import read_settings
from marlstep.units import SECOND, ZERO, span_us
from tests.support.node import SETTINGS, START

DEADLINE = 4 * SECOND


def class_with_window(name: str, seconds: int) -> ClassSettings:
    return replace(
        read_settings(SETTINGS).classes[0],
        name=name,
        effect=Effect.KEYED,
        idempotency_window_us=span_us(seconds * SECOND),
        deadline_us=span_us(DEADLINE),
    )


def test_the_window_in_force_counts_whenever_the_work_ran() -> None:
    windows = IdempotencyWindows([class_with_window("book", 3)])
    assert windows.longest_since("book", START) == 3 * SECOND and windows.longest_since("open", START) == ZERO
    windows.change([class_with_window("book", 20)], START)
    assert windows.longest_since("book", START - 5 * SECOND) == 20 * SECOND


def test_a_class_that_was_away_returns_with_its_new_window_for_earlier_work() -> None:
    # Guards against a comparison with the last settings alone, which do not have the class.
    windows = IdempotencyWindows([class_with_window("book", 3)])
    windows.change([], START)
    assert windows.longest_since("book", START) == 3 * SECOND
    assert windows.longest_since("book", START + SECOND) == ZERO
    windows.change([class_with_window("book", 20)], START + 2 * SECOND)
    assert windows.longest_since("book", START - SECOND) == 20 * SECOND


def test_each_window_since_the_work_ran_counts_and_none_before() -> None:
    windows = IdempotencyWindows([class_with_window("book", 3)])
    for second, window in enumerate((20, 5, 4), 1):
        windows.change([class_with_window("book", window)], START + second * SECOND)
    # 20 s were stated from second 1 to second 2, 5 s from then to second 3.
    since = {second: windows.longest_since("book", START + second * SECOND) for second in (0, 2, 3, 4)}
    assert since == {0: 20 * SECOND, 2: 20 * SECOND, 3: 5 * SECOND, 4: 4 * SECOND}
    assert windows.longest("book") == 20 * SECOND


def test_past_windows_are_forgotten_once_no_repeat_can_arrive_within_them() -> None:
    windows = IdempotencyWindows([class_with_window("book", 3)])
    for second in range(100):
        windows.change([class_with_window("book", 3 + second % 2)], START + second * SECOND)
    assert len(windows._past["book"]) <= (4 * SECOND + 2 * DEADLINE) // SECOND + 1
