"""Tests of the retry, timeout and skip policy of downstream calls."""

from __future__ import annotations

import pytest

from marlstep.admission.call_policy import (
    CALL_TIMEOUT_FACTOR,
    MAX_CALL_ATTEMPTS,
    MAX_CALL_ATTEMPTS_NEVER_RAN,
    CallRetryPolicy,
    attempt_timeout_us,
    backoff_us,
    latest_useful_reply_at,
    min_reserve_us,
    reserve_timeout_us,
)


def test_an_attempt_that_may_have_taken_effect_is_repeated_for_idempotent_requests_only() -> None:
    assert CallRetryPolicy.of_request(True, True).max_attempts == MAX_CALL_ATTEMPTS
    assert CallRetryPolicy.of_request(False, True).max_attempts == 1


def test_a_call_that_is_needed_is_attempted_more_often_while_it_never_ran() -> None:
    assert CallRetryPolicy.of_request(False, False).max_attempts_never_ran == MAX_CALL_ATTEMPTS_NEVER_RAN
    assert CallRetryPolicy.of_request(False, True).max_attempts_never_ran == MAX_CALL_ATTEMPTS


@pytest.mark.parametrize(
    ("attempts", "attempts_never_ran", "exhausted"),
    [(0, 0, False), (1, 2, False), (2, 0, True), (0, 3, True)],
)
def test_attempts_are_exhausted_by_either_count(
    attempts: int, attempts_never_ran: int, exhausted: bool
) -> None:
    policy = CallRetryPolicy(max_attempts=2, max_attempts_never_ran=3)
    assert policy.is_exhausted(attempts, attempts_never_ran) is exhausted


def test_the_backoff_doubles_with_each_attempt_that_never_ran() -> None:
    assert [backoff_us(rejected, tick_us=10) for rejected in range(5)] == [10, 10, 20, 40, 80]


def test_a_reply_is_useful_until_the_deadline_if_the_call_is_needed() -> None:
    assert latest_useful_reply_at(9_000, 5_000, can_skip_call=False, remaining_us=700) == 9_000


def test_a_reply_must_leave_time_within_the_objective_if_the_call_can_be_skipped() -> None:
    assert latest_useful_reply_at(9_000, 5_000, can_skip_call=True, remaining_us=700) == 4_300
    assert latest_useful_reply_at(4_000, 5_000, can_skip_call=True, remaining_us=700) == 4_000


def test_the_attempt_timeout_doubles_with_each_attempt() -> None:
    first = attempt_timeout_us(100.0, attempts=0)
    assert first == CALL_TIMEOUT_FACTOR * 100.0
    assert attempt_timeout_us(100.0, attempts=2) == 4 * first


def test_a_call_may_use_half_of_the_reserve_but_always_the_time_of_a_call_that_is_not_slow() -> None:
    assert reserve_timeout_us(300, 5_001.0) == 2_500
    assert reserve_timeout_us(300, 100.0) == 300


def test_a_small_reserve_must_be_full_before_a_call() -> None:
    assert min_reserve_us(1_000.0, 300, 200) == 500
    assert min_reserve_us(400.0, 300, 200) == 400.0
