"""Tests of the record of callers' last requests."""

from __future__ import annotations

from marlstep.admission.caller_activity import MAX_CALLERS, RETENTION_FACTOR, CallerActivity
from marlstep.admission.timing import SECOND_US


def test_count_returns_recent_callers_and_those_with_several_requests() -> None:
    callers = CallerActivity()
    callers.record(1, now=100)
    callers.record(2, now=200)
    callers.record(2, now=300)
    assert callers.count(since=0) == (2, 1)
    assert callers.count(since=100) == (1, 1)


def test_a_forgotten_caller_is_counted_from_zero_again() -> None:
    callers = CallerActivity()
    callers.record(1, now=100)
    callers.forget(1)
    callers.record(1, now=200)
    assert callers.count(since=0) == (1, 0)


def test_inactive_callers_are_forgotten_after_the_retention_time() -> None:
    callers = CallerActivity()
    callers.record(1, now=0)
    retention_us = RETENTION_FACTOR * (SECOND_US + SECOND_US)
    callers.forget_inactive(retention_us - 1, load_signal_lifetime_us=SECOND_US)
    assert 1 in callers.last_seen
    callers.forget_inactive(retention_us, load_signal_lifetime_us=SECOND_US)
    assert 1 not in callers.last_seen


def test_the_latest_callers_are_remembered_up_to_a_limit() -> None:
    # Guards against memory that grows with the numbers that clients choose for themselves.
    callers = CallerActivity()
    for number in range(MAX_CALLERS + 100):
        callers.record(0, now=number)
        callers.record(number, now=number)
    assert len(callers.last_seen) == MAX_CALLERS
    assert callers.count(since=99) == (MAX_CALLERS, 1)
    assert 0 in callers.last_seen and MAX_CALLERS + 99 in callers.last_seen
