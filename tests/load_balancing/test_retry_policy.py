"""Tests of the retry policy: whether a request is sent to another server."""

from __future__ import annotations

import pytest

from marlstep.load_balancing.retry_policy import (
    MIN_CONNECT_TIMEOUT,
    MIN_REMAINING_TIME,
    AttemptOutcome,
    RetryPolicy,
)
from marlstep.units import MICROSECOND, MILLISECOND, SECOND
from tests.support.pools import START

DEADLINE = START + SECOND
NEVER_RAN = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.REJECTED)


def make_policy(is_idempotent: bool = False, max_attempts: int = 3) -> RetryPolicy:
    """Return the policy of a request that had one attempt, at the server with handle 1."""
    return RetryPolicy(is_idempotent, max_attempts, DEADLINE).attempt_started(1)


@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_attempt_that_never_ran_is_followed_by_another(
    outcome: AttemptOutcome, is_idempotent: bool
) -> None:
    next_policy = make_policy(is_idempotent).next_attempt(outcome, START)
    assert next_policy is not None and next_policy.attempted_servers == {1} and not next_policy.may_have_run


def test_a_lost_connection_is_retried_once_and_only_where_the_request_is_idempotent() -> None:
    assert make_policy().next_attempt(AttemptOutcome.CONNECTION_LOST, START) is None
    next_policy = make_policy(is_idempotent=True).next_attempt(AttemptOutcome.CONNECTION_LOST, START)
    assert next_policy is not None and next_policy.may_have_run
    second = next_policy.attempt_started(2)
    assert second.may_have_run and second.next_attempt(AttemptOutcome.CONNECTION_LOST, START) is None
    assert second.next_attempt(AttemptOutcome.CONNECT_FAILED, START) is not None  # it never ran


@pytest.mark.parametrize("outcome", [AttemptOutcome.SUCCEEDED, AttemptOutcome.CANCELLED])
def test_a_response_or_a_cancellation_ends_the_request(outcome: AttemptOutcome) -> None:
    assert make_policy(is_idempotent=True).next_attempt(outcome, START) is None


def test_there_are_no_more_attempts_than_allowed() -> None:
    last = make_policy(max_attempts=2).attempt_started(2)
    assert last.next_attempt(AttemptOutcome.CONNECT_FAILED, START) is None


def test_nothing_is_retried_with_too_little_time_to_the_deadline() -> None:
    latest_retry_at = DEADLINE - MIN_REMAINING_TIME
    assert make_policy().next_attempt(AttemptOutcome.CONNECT_FAILED, latest_retry_at) is not None
    assert make_policy().next_attempt(AttemptOutcome.CONNECT_FAILED, latest_retry_at + MICROSECOND) is None


def test_a_policy_is_not_changed_by_an_attempt() -> None:
    first = RetryPolicy(True, 3, DEADLINE)
    first.attempt_started(1).next_attempt(AttemptOutcome.CONNECTION_LOST, START)
    assert first == RetryPolicy(True, 3, DEADLINE)


def test_the_connect_timeout_is_shortened_to_the_time_left_before_the_deadline() -> None:
    assert make_policy().connect_timeout(START, 200 * MILLISECOND) == 200 * MILLISECOND
    assert make_policy().connect_timeout(DEADLINE - 50 * MILLISECOND, SECOND) == 50 * MILLISECOND
    assert make_policy().connect_timeout(DEADLINE + SECOND, SECOND) == MIN_CONNECT_TIMEOUT
